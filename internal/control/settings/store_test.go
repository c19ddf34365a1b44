package settings

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"

	"merlinhitch/internal/storage/audit"
)

func testKey(t *testing.T, b byte) *Key {
	t.Helper()
	k, err := NewKey(bytes.Repeat([]byte{b}, 32))
	if err != nil {
		t.Fatal(err)
	}
	return k
}

func exampleWithSecrets() *Settings {
	s := Example(3, 9)
	s.Target.Chap = []Chap{{"posto", "a secret that is long"}, {"balcao", "another that is long"}}
	s.Target.Mutual = &Chap{"gateway", "the target's own secret"}
	return s
}

func openStore(t *testing.T, file string, k *Key) *Store {
	t.Helper()
	st, err := Open(file, k)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { st.Close() })
	return st
}

func mustChange(t *testing.T, st *Store, f func(s *Settings)) *Settings {
	t.Helper()
	s := *st.Get()
	s.Plans = append([]Plan(nil), s.Plans...)
	f(&s)
	accepted, err := st.Change(&s, Author{Who: "ines", Why: "test", TimeMS: 1}, false)
	if err != nil {
		t.Fatal(err)
	}
	return accepted
}

// No secret is in clear in the snapshot, the audit log or an answer. Only the same key opens
// them.
func TestSecretsAreSealed(t *testing.T) {
	dir := t.TempDir()
	file := filepath.Join(dir, "settings")
	if _, err := openStore(t, filepath.Join(dir, "other"), nil).Put(exampleWithSecrets()); !errors.Is(err, ErrNoKey) {
		t.Errorf("without a key: %v", err)
	}
	st := openStore(t, file, testKey(t, 1))
	if _, err := st.Put(exampleWithSecrets()); err != nil {
		t.Fatal(err)
	}
	mustChange(t, st, func(s *Settings) { s.Plans[0].Limit = 44 })
	srv := httptest.NewServer(Handler(st, func(*http.Request) Author { return Author{Who: "x"} }, func() int64 { return 1 }))
	defer srv.Close()
	for _, page := range []string{"/settings", "/settings/log", "/settings/at?version=1", "/settings/diff?from=1&to=2"} {
		response, err := http.Get(srv.URL + page)
		if err != nil {
			t.Fatal(err)
		}
		var body bytes.Buffer
		body.ReadFrom(response.Body)
		response.Body.Close()
		if response.StatusCode != http.StatusOK || strings.Contains(body.String(), "that is long") || strings.Contains(body.String(), "own secret") {
			t.Errorf("%s: %d %s", page, response.StatusCode, body.String())
		}
	}
	st.Close()
	for _, f := range []string{file, file + auditSuffix} {
		b, err := os.ReadFile(f)
		if err != nil || bytes.Contains(b, []byte("that is long")) || bytes.Contains(b, []byte("own secret")) {
			t.Errorf("%s contains a secret in clear, or error %v", f, err)
		}
	}
	var seal *SealError
	if _, err := Open(file, testKey(t, 2)); !errors.As(err, &seal) {
		t.Errorf("another key: %v", err)
	}
	if _, err := Open(file, nil); !errors.Is(err, ErrNoKey) {
		t.Errorf("no key: %v", err)
	}
	s := openStore(t, file, testKey(t, 1)).Get()
	if s.Target.Chap[1].Secret != "another that is long" || s.Target.Mutual.Secret != "the target's own secret" {
		t.Errorf("%+v", s.Target)
	}
}

// Settings that are read and submitted again keep their secrets; a new user with a
// placeholder is a fault.
func TestPlaceholderKeepsSecret(t *testing.T) {
	st := openStore(t, "", testKey(t, 1))
	current, err := st.Put(exampleWithSecrets())
	if err != nil {
		t.Fatal(err)
	}
	edited := current.Redacted()
	edited.Target.Chap[0], edited.Target.Chap[1] = edited.Target.Chap[1], Chap{"posto", "a new secret for posto"}
	if current, err = st.Put(edited); err != nil || current.Target.Chap[0].Secret != "another that is long" || current.Target.Chap[1].Secret != "a new secret for posto" {
		t.Fatalf("%v, %+v", err, current)
	}
	edited = current.Redacted()
	edited.Target.Chap = append(edited.Target.Chap, Chap{"novo", SecretPlaceholder})
	var faults *FaultsError
	if _, err := st.Put(edited); !errors.As(err, &faults) || faults.Faults[0].Path != "target.chap[2].secret" {
		t.Errorf("%v", err)
	}
}

// After a crash between audit record and snapshot, the accepted change is in force. A
// snapshot ahead of its audit log is refused.
func TestOpenAfterCrashBeforeSnapshot(t *testing.T) {
	file := filepath.Join(t.TempDir(), "settings")
	k := testKey(t, 1)
	st := openStore(t, file, k)
	if _, err := st.Put(exampleWithSecrets()); err != nil {
		t.Fatal(err)
	}
	old, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	for i := range 5 {
		mustChange(t, st, func(s *Settings) { s.Plans[0].Limit = float64(50 + i) })
	}
	want := st.Get()
	st.Close()
	for name, snapshot := range map[string][]byte{"the first snapshot": old, "no snapshot": nil} {
		os.Remove(file)
		if snapshot != nil {
			if err := os.WriteFile(file, snapshot, 0o600); err != nil {
				t.Fatal(err)
			}
		}
		st := openStore(t, file, k)
		got := st.Get()
		if d, err := Diff(got, want, k); err != nil || len(d) > 0 || got.Version != want.Version {
			t.Errorf("%s: version %d, %v, %v", name, got.Version, d, err)
		}
		if _, err := st.Verify(); err != nil {
			t.Error(err)
		}
		st.Close()
	}
	var damaged *DamagedError
	if err := os.Remove(file + auditSuffix); err != nil {
		t.Fatal(err)
	}
	st = openStore(t, file, k) // a snapshot without an audit log
	if c, err := st.Verify(); err != nil || c.Seq != 1 || c.Version != want.Version {
		t.Errorf("%+v, %v", c, err)
	}
	st.Close()
	ahead := *want
	ahead.Version += 3
	if err := Save(file, &ahead, k); err != nil {
		t.Fatal(err)
	}
	if _, err := Open(file, k); !errors.As(err, &damaged) {
		t.Errorf("a snapshot ahead of its record: %v", err)
	}
}

// A change is accepted although the snapshot can't be written.
func TestChangeAcceptedWithoutSnapshot(t *testing.T) {
	dir := filepath.Join(t.TempDir(), "d")
	if err := os.Mkdir(dir, 0o700); err != nil {
		t.Fatal(err)
	}
	st := openStore(t, filepath.Join(dir, "settings"), nil)
	if _, err := st.Put(Example(3, 9)); err != nil {
		t.Fatal(err)
	}
	if err := os.RemoveAll(dir); err != nil {
		t.Fatal(err)
	}
	accepted := mustChange(t, st, func(s *Settings) { s.Plans[0].Limit = 44 })
	if st.PersistError() == nil || accepted.Version != 2 {
		t.Errorf("%v, version %d", st.PersistError(), accepted.Version)
	}
}

// A stale change is refused with the changes accepted since and the collisions; one without
// collisions is merged on request.
func TestStaleChangeReportsCollisions(t *testing.T) {
	st := openStore(t, "", nil)
	if _, err := st.Put(Example(3, 9)); err != nil {
		t.Fatal(err)
	}
	base := st.Get()
	first, second, third := *base, *base, *base
	first.Plans, second.Plans = append([]Plan(nil), base.Plans...), append([]Plan(nil), base.Plans...)
	first.Plans[0].Limit, second.Plans[0].Limit = 41, 42
	third.Limits.MaxOpen++
	if _, err := st.Change(&first, Author{Who: "ines"}, false); err != nil {
		t.Fatal(err)
	}
	var stale *StaleError
	if _, err := st.Change(&second, Author{Who: "rui"}, true); !errors.As(err, &stale) || len(stale.Theirs) != 1 || len(stale.Collisions) != 1 ||
		stale.Collisions[0].Theirs.Path != fmt.Sprintf("plans[%s].limit", base.Plans[0].Name) || string(stale.Collisions[0].Mine.New) != "42" {
		t.Fatalf("%+v", err)
	}
	if _, err := st.Change(&third, Author{Who: "rui"}, false); !errors.As(err, &stale) || len(stale.Collisions) != 0 || !strings.Contains(err.Error(), "can be merged") {
		t.Fatalf("%+v", err)
	}
	merged, err := st.Change(&third, Author{Who: "rui"}, true)
	if err != nil || merged.Plans[0].Limit != 41 || merged.Limits.MaxOpen != base.Limits.MaxOpen+1 || merged.Version != 3 {
		t.Fatalf("%v, %+v", err, merged)
	}
	unknown := *base
	unknown.Version = 77
	if _, err := st.Change(&unknown, Author{}, true); !errors.As(err, &stale) || stale.Theirs != nil {
		t.Errorf("unknown version: %v", err)
	}
}

// With concurrent clients, each accepted change is once in the audit log, no refused one is,
// and every former version can be restored.
func TestConcurrentChanges(t *testing.T) {
	st := openStore(t, filepath.Join(t.TempDir(), "settings"), nil)
	if _, err := st.Put(Example(3, 9)); err != nil {
		t.Fatal(err)
	}
	srv := httptest.NewServer(Handler(st, func(r *http.Request) Author { return Author{Who: r.URL.Query().Get("who")} }, func() int64 { return 1 }))
	defer srv.Close()
	var mu sync.Mutex
	accepted, refused := map[string]uint64{}, map[string]bool{}
	var operators sync.WaitGroup
	for op := range 4 {
		operators.Go(func() {
			api := NewAPI(strings.TrimPrefix(srv.URL, "http://"))
			defer api.Close()
			for n := range 25 {
				s, err := api.Get(context.Background())
				if err != nil {
					t.Error(err)
					return
				}
				s.Plans[op%len(s.Plans)].Limit = float64(1000 + 100*op + n)
				why := fmt.Sprintf("%d/%d", op, n)
				now, err := api.Put(context.Background(), s, ChangeOptions{Who: "op", Why: why, Merge: n%2 == 0})
				mu.Lock()
				if err == nil {
					accepted[why] = now.Version
				} else {
					refused[why] = true
				}
				mu.Unlock()
			}
		})
	}
	operators.Wait()
	log, err := st.Log(1, 1000)
	if err != nil || len(log) != len(accepted)+1 {
		t.Fatalf("%d records for %d accepted, %v", len(log), len(accepted), err)
	}
	for _, r := range log[1:] {
		if accepted[r.Why] != r.Version || refused[r.Why] {
			t.Errorf("%+v: accepted as %d", r, accepted[r.Why])
		}
	}
	var tree any = map[string]any{}
	for _, r := range log {
		if tree, err = audit.Apply(ListKeys, tree, r.Changes); err != nil || audit.StateHash(tree) != r.State {
			t.Fatalf("record %d does not give its recorded state: %v", r.Seq, err)
		}
		settings, err := st.AtVersion(r.Version)
		if err != nil {
			t.Fatal(err)
		}
		if got, err := settings.tree(nil); err != nil || audit.StateHash(got) != r.State {
			t.Errorf("version %d differs from its recorded state: %v", r.Version, err)
		}
	}
	if now, err := st.Revert(1, Author{Who: "rui"}); err != nil || now.Version != uint64(len(log))+1 {
		t.Fatal(now, err)
	}
	if d, err := st.DiffVersions(1, st.Get().Version); err != nil || len(d) > 0 {
		t.Errorf("%v, %v", d, err)
	}
	var unknown *UnknownVersionError
	if _, err := st.Revert(9999, Author{}); !errors.As(err, &unknown) {
		t.Error(err)
	}
}

// The API answers any request and puts no faulty settings in force.
func FuzzHandler(f *testing.F) {
	valid, err := json.Marshal(Example(1, 1))
	if err != nil {
		f.Fatal(err)
	}
	f.Add("PUT", "/settings?merge=1&why=x", valid)
	f.Add("GET", "/settings/at?version=1", []byte{})
	f.Add("GET", "/settings/diff?from=1&to=-1", []byte{})
	f.Add("POST", "/settings/revert?to=18446744073709551615", []byte{})
	f.Add("PUT", "/settings", []byte(`{"version":1,"plans":[{}]}`))
	f.Fuzz(func(t *testing.T, method, target string, body []byte) {
		st, err := Open("", nil)
		if err != nil {
			t.Fatal(err)
		}
		h := Handler(st, func(*http.Request) Author { return Author{Who: ""} }, func() int64 { return 0 })
		for range 2 {
			r, err := http.NewRequest(method, "http://gateway"+target, bytes.NewReader(body))
			if err != nil {
				return
			}
			w := httptest.NewRecorder()
			h.ServeHTTP(w, r)
			if w.Code < 200 || w.Code > 599 {
				t.Fatal(w.Code)
			}
			if s := st.Get(); s != nil && s.checkComplete() != nil {
				t.Fatal(s.checkComplete())
			}
		}
	})
}
