package settings

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"testing"

	"merlinhitch/internal/protocol/scsi"
)

func TestExampleIsValid(t *testing.T) {
	for _, n := range [][2]int{{1, 1}, {3, 9}, {170, 47}} {
		if err := Example(n[0], n[1]).Check(); err != nil {
			t.Errorf("%v: %v", n, err)
		}
	}
}

// Every fault is found, at its path, and all of them at once.
func TestFaultsByPath(t *testing.T) {
	cases := map[string]func(*Settings){
		"hosts":                     func(s *Settings) { s.Hosts = 0 },
		"unit_bytes":                func(s *Settings) { s.UnitBytes = 1 },
		"classes":                   func(s *Settings) { s.Classes = nil },
		"classes[1].name":           func(s *Settings) { s.Classes[1].Name = "Bad Name" },
		"classes[2].name":           func(s *Settings) { s.Classes[2].Name = s.Classes[1].Name },
		"classes[0].effect":         func(s *Settings) { s.Classes[0].Effect = "sometimes" },
		"classes[0].match.ops[0]":   func(s *Settings) { s.Classes[0].Effect = "safe" },
		"classes[1].match.ops[0]":   func(s *Settings) { s.Classes[1].Match.Ops[0] = "erase" },
		"classes[1].window_ms":      func(s *Settings) { s.Classes[1].DedupWindow = 100 },
		"classes[1].group":          func(s *Settings) { s.Classes[1].DedupScope = "rack" },
		"classes[3].aim_ms":         func(s *Settings) { s.Classes[3].LatencyTarget = 9000 },
		"classes[1].match.plans[0]": func(s *Settings) { s.Classes[1].Match.Plans = []string{"gold"} },
		"plans[0].burst":            func(s *Settings) { s.Plans[0].Burst = 1 },
		"plans[1].limit":            func(s *Settings) { s.Plans[1].Overdraft = 3 },
		"plans[2].weight":           func(s *Settings) { s.Plans[2].Weight = 0 },
		"rules.cold_from":           func(s *Settings) { s.Rules.ColdCapacity = 2 },
		"rules.budget.span_ms":      func(s *Settings) { s.Rules.Budget.Window = 0 },
		"limits.copies":             func(s *Settings) { s.Limits.Duplicates = true },
		"volumes[3].plan":           func(s *Settings) { s.Volumes[3].Plan = "gold" },
		"volumes[3].block_size":     func(s *Settings) { s.Volumes[3].BlockSize = 1000 },
		"volumes[4].layout[1]":      func(s *Settings) { s.Volumes[4].Layout[1] = 99 },
		"volumes[4].hosts[1]":       func(s *Settings) { s.Volumes[4].Hosts[1] = s.Volumes[4].Hosts[0] },
		"plans[0].copied":           func(s *Settings) { s.Plans[0].WriteAck = "sometimes" },
		"regions.lease_ms":          func(s *Settings) { s.Regions = &Regions{LeaseTime: 1, PeerTimeout: 1000, Hosts: []int{0, 1, 0}} },
		"regions.drift": func(s *Settings) {
			s.Regions = &Regions{LeaseTime: 3000, PeerTimeout: 1000, Drift: 1, Hosts: []int{0, 1, 0}}
		},
		"regions.hosts":         func(s *Settings) { s.Regions = &Regions{LeaseTime: 3000, PeerTimeout: 1000, Hosts: []int{0, 1}} },
		"regions.hosts[1]":      func(s *Settings) { s.Regions = &Regions{LeaseTime: 3000, PeerTimeout: 1000, Hosts: []int{0, 2, 1}} },
		"placement.domain":      func(s *Settings) { s.Placement.FailureDomain = "rack" },
		"nodes[2].region":       func(s *Settings) { s.Nodes[2].Region = 2 },
		"target.prefix":         func(s *Settings) { s.Target.Prefix = "eui.1" },
		"target.chap[0].secret": func(s *Settings) { s.Target.Chap = []Chap{{"u", "short"}} },
		"target.mutual.secret": func(s *Settings) {
			s.Target.Chap, s.Target.Mutual = []Chap{{"u", "the same secret"}}, &Chap{"v", "the same secret"}
		},
	}
	all := Example(3, 9)
	for path, spoil := range cases {
		s := Example(3, 9)
		spoil(s)
		var fe *FaultsError
		if err := s.Check(); !errors.As(err, &fe) || fe.Faults[0].Path != path {
			t.Errorf("%s: %v", path, err)
		}
	}
	all.Hosts, all.Volumes[3].Plan, all.Plans[2].Weight = 0, "gold", 0
	var fe *FaultsError
	if err := all.Check(); !errors.As(err, &fe) || len(fe.Faults) < 3 {
		t.Errorf("three faults: %v", err)
	}
}

func TestParse(t *testing.T) {
	good, _ := json.Marshal(Example(2, 3))
	if _, err := Parse(bytes.NewReader(good)); err != nil {
		t.Fatal(err)
	}
	for text, want := range map[string]string{
		strings.Replace(string(good), `"hosts":2`, `"hosts":"two"`, 1): "hosts",
		strings.Replace(string(good), `"hosts":2`, `"hostess":2`, 1):   "unknown field",
		string(good) + string(good):                                    "more than one value",
		string(good[:100]):                                             "unexpected EOF",
	} {
		if _, err := Parse(strings.NewReader(text)); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%.40s...: %v, want %q", text, err, want)
		}
	}
}

func FuzzParse(f *testing.F) {
	b, _ := json.Marshal(Example(2, 3))
	f.Add(b)
	f.Fuzz(func(t *testing.T, b []byte) {
		s, err := Parse(bytes.NewReader(b))
		if err != nil {
			return
		}
		for i := range s.Volumes {
			v := &s.Volumes[i]
			for p := range v.Segments(0, uint32(min(v.Blocks, 1000))) {
				if p.Shard < 0 || p.Shard >= s.Shards {
					t.Fatalf("shard %d", p.Shard)
				}
			}
		}
	})
}

func TestSegments(t *testing.T) {
	v := &Volume{ExtentBlocks: 10, Layout: []int{3, 5, 5}}
	got := slices.Collect(v.Segments(5, 50))
	want := []Segment{{3, 5, 5, 0}, {5, 10, 20, 1}, {3, 30, 10, 3}, {5, 40, 15, 4}}
	if len(got) != len(want) {
		t.Fatalf("%+v", got)
	}
	for i := range want {
		if got[i] != want[i] {
			t.Errorf("part %d: %+v, want %+v", i, got[i], want[i])
		}
	}
}

func TestClass(t *testing.T) {
	s := Example(3, 9)
	for _, c := range []struct {
		op   scsi.Op
		size int
		plan string
		want string
	}{
		{scsi.Read, 4096, "basico", "card-read"}, {scsi.Read, 65536, "normal", "card-read"}, {scsi.Read, 65537, "normal", "bulk-read"},
		{scsi.Write, 4096, "prioritario", "txn-write"}, {scsi.Write, 4096, "basico", "claim-write"}, {scsi.CompareAndWrite, 4096, "basico", "swap"},
	} {
		if k := s.Class(c.op, c.size, c.plan); k == nil || k.Name != c.want {
			t.Errorf("%v of %d on %s: %+v", c.op, c.size, c.plan, k)
		}
	}
	if s.Class(scsi.Flush, 0, "basico") != nil {
		t.Error("a flush has a class")
	}
}

// A snapshot is found whole, found missing, or found damaged, never half used.
func TestDamagedSnapshot(t *testing.T) {
	file := filepath.Join(t.TempDir(), "settings")
	if _, err := Load(file, nil); !errors.Is(err, ErrNoSnapshot) {
		t.Fatalf("none: %v", err)
	}
	s := Example(3, 9)
	s.Version = 4
	if err := Save(file, s, nil); err != nil {
		t.Fatal(err)
	}
	got, err := Load(file, nil)
	if err != nil || got.Version != 4 || len(got.Volumes) != len(s.Volumes) {
		t.Fatalf("%+v, %v", got, err)
	}
	whole, _ := os.ReadFile(file)
	var de *DamagedError
	for n := 0; n < len(whole); n += 97 {
		os.WriteFile(file, whole[:n], 0o666)
		if _, err := Load(file, nil); !errors.As(err, &de) {
			t.Fatalf("torn at %d: %v", n, err)
		}
		turned := bytes.Clone(whole)
		turned[n] ^= 0x10
		os.WriteFile(file, turned, 0o666)
		if _, err := Load(file, nil); !errors.As(err, &de) {
			t.Fatalf("a bit turned at %d: %v", n, err)
		}
		if _, err := Open(file, nil); !errors.As(err, &de) {
			t.Fatalf("opened though damaged: %v", err)
		}
	}
	if left, _ := filepath.Glob(filepath.Join(filepath.Dir(file), ".settings-*")); len(left) > 0 {
		t.Errorf("left behind: %v", left)
	}
}

// Of changes made from the same version, one is accepted.
func TestOneChangePerVersion(t *testing.T) {
	file := filepath.Join(t.TempDir(), "settings")
	st, err := Open(file, nil)
	if err != nil {
		t.Fatal(err)
	}
	srv := httptest.NewServer(Handler(st, func(r *http.Request) Author { return Author{Who: r.URL.Query().Get("who")} }, func() int64 { return 7 }))
	defer srv.Close()
	api := NewAPI(strings.TrimPrefix(srv.URL, "http://"))
	defer api.Close()
	ctx := context.Background()
	if _, err := api.Get(ctx); err == nil {
		t.Error("settings before the first")
	}
	var told []uint64
	st.Watch(func(s *Settings) { told = append(told, s.Version) })
	var mu sync.Mutex
	won := 0
	var all sync.WaitGroup
	for range 8 {
		all.Go(func() {
			if _, err := api.Put(ctx, Example(3, 9), ChangeOptions{}); err == nil {
				mu.Lock()
				won++
				mu.Unlock()
			}
		})
	}
	all.Wait()
	now, err := api.Get(ctx)
	if won != 1 || err != nil || now.Version != 1 || len(told) != 1 {
		t.Fatalf("%d accepted, %v, %v, told %v", won, now, err, told)
	}
	now.Plans[0].Limit = 1e12
	var fe *FaultsError
	if _, err := api.Put(ctx, now, ChangeOptions{}); !errors.As(err, &fe) || fe.Faults[0].Path != "plans[0].limit" {
		t.Errorf("faulty: %v", err)
	}
	now.Plans[0].Limit = 44
	if now, err = api.Put(ctx, now, ChangeOptions{}); err != nil || now.Version != 2 {
		t.Fatalf("%v", err)
	}
	st.Close()
	if again, err := Open(file, nil); err != nil || again.Close() != nil || again.Get().Version != 2 || again.Get().Plans[0].Limit != 44 {
		t.Errorf("after a start: %v", err)
	}
}

// Clocks of a service over two regions run apart: a server that is cold by its own clock
// was warm by a host's, which went 10% faster, and was pushed over.
func TestColdTimesAllowForClockDrift(t *testing.T) {
	s := Example(4, 8)
	s.Regions = &Regions{LeaseTime: 8000, PeerTimeout: 2000, Drift: 0.1, Hosts: []int{0, 1, 0, 1}}
	p := s.Policy(0, "")
	fast, slow := 1+s.Regions.Drift, 1-s.Regions.Drift
	if p.Rules.WarmUpTime/fast < s.Rules.WarmUpTime/slow-1e-9 || p.Rules.OverloadWindow/fast < s.Rules.OverloadWindow/slow-1e-9 {
		t.Errorf("cold for %v ms and counted over %v ms of a fast clock", p.Rules.WarmUpTime, p.Rules.OverloadWindow)
	}
	s.Regions = nil
	if p := s.Policy(0, ""); p.Rules.WarmUpTime != s.Rules.WarmUpTime {
		t.Errorf("%v where clocks do not matter", p.Rules.WarmUpTime)
	}
}
