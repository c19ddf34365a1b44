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

// Every fault is reported at its path, and all of them together.
func TestFaultPaths(t *testing.T) {
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
	for path, invalidate := range cases {
		s := Example(3, 9)
		invalidate(s)
		var faults *FaultsError
		if err := s.Check(); !errors.As(err, &faults) || faults.Faults[0].Path != path {
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
	valid, _ := json.Marshal(Example(2, 3))
	if _, err := Parse(bytes.NewReader(valid)); err != nil {
		t.Fatal(err)
	}
	for text, want := range map[string]string{
		strings.Replace(string(valid), `"hosts":2`, `"hosts":"two"`, 1): "hosts",
		strings.Replace(string(valid), `"hosts":2`, `"hostess":2`, 1):   "unknown field",
		string(valid) + string(valid):                                   "more than one value",
		string(valid[:100]):                                             "unexpected EOF",
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
		t.Error("flush has a class, want none")
	}
}

// A snapshot is loaded completely or reported as missing or damaged.
func TestDamagedSnapshot(t *testing.T) {
	file := filepath.Join(t.TempDir(), "settings")
	if _, err := Load(file, nil); !errors.Is(err, ErrNoSnapshot) {
		t.Fatalf("no snapshot: %v", err)
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
	complete, _ := os.ReadFile(file)
	var damaged *DamagedError
	for n := 0; n < len(complete); n += 97 {
		os.WriteFile(file, complete[:n], 0o666)
		if _, err := Load(file, nil); !errors.As(err, &damaged) {
			t.Fatalf("truncated at %d: %v", n, err)
		}
		flipped := bytes.Clone(complete)
		flipped[n] ^= 0x10
		os.WriteFile(file, flipped, 0o666)
		if _, err := Load(file, nil); !errors.As(err, &damaged) {
			t.Fatalf("bit flipped at %d: %v", n, err)
		}
		if _, err := Open(file, nil); !errors.As(err, &damaged) {
			t.Fatalf("damaged snapshot was opened: %v", err)
		}
	}
	if leftover, _ := filepath.Glob(filepath.Join(filepath.Dir(file), ".settings-*")); len(leftover) > 0 {
		t.Errorf("temporary files left: %v", leftover)
	}
}

// Of concurrent changes made from the same version, exactly one is accepted.
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
		t.Error("got settings before the first change")
	}
	var versions []uint64
	st.Watch(func(s *Settings) { versions = append(versions, s.Version) })
	var mu sync.Mutex
	accepted := 0
	var clients sync.WaitGroup
	for range 8 {
		clients.Go(func() {
			if _, err := api.Put(ctx, Example(3, 9), ChangeOptions{}); err == nil {
				mu.Lock()
				accepted++
				mu.Unlock()
			}
		})
	}
	clients.Wait()
	current, err := api.Get(ctx)
	if accepted != 1 || err != nil || current.Version != 1 || len(versions) != 1 {
		t.Fatalf("%d accepted, %v, %v, watcher got versions %v", accepted, current, err, versions)
	}
	current.Plans[0].Limit = 1e12
	var fe *FaultsError
	if _, err := api.Put(ctx, current, ChangeOptions{}); !errors.As(err, &fe) || fe.Faults[0].Path != "plans[0].limit" {
		t.Errorf("faulty settings: %v", err)
	}
	current.Plans[0].Limit = 44
	if current, err = api.Put(ctx, current, ChangeOptions{}); err != nil || current.Version != 2 {
		t.Fatalf("%v", err)
	}
	st.Close()
	if reopened, err := Open(file, nil); err != nil || reopened.Close() != nil || reopened.Get().Version != 2 || reopened.Get().Plans[0].Limit != 44 {
		t.Errorf("after reopening: %v", err)
	}
}

// A disk server that is cold by its own clock must not be warm by a host's faster clock,
// which would overload it.
func TestColdTimesAllowForClockDrift(t *testing.T) {
	s := Example(4, 8)
	s.Regions = &Regions{LeaseTime: 8000, PeerTimeout: 2000, Drift: 0.1, Hosts: []int{0, 1, 0, 1}}
	p := s.Policy(0, "")
	fast, slow := 1+s.Regions.Drift, 1-s.Regions.Drift
	if p.Rules.WarmUpTime/fast < s.Rules.WarmUpTime/slow-1e-9 || p.Rules.OverloadWindow/fast < s.Rules.OverloadWindow/slow-1e-9 {
		t.Errorf("warm-up %v ms, overload window %v ms: too short by a fast clock", p.Rules.WarmUpTime, p.Rules.OverloadWindow)
	}
	s.Regions = nil
	if p := s.Policy(0, ""); p.Rules.WarmUpTime != s.Rules.WarmUpTime {
		t.Errorf("warm-up %v ms without regions, want it unchanged", p.Rules.WarmUpTime)
	}
}
