package rollout_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"

	"merlinhitch/internal/control/settings"
	"merlinhitch/internal/fleet/roll"
	"merlinhitch/internal/fleet/rollout"
	"merlinhitch/internal/runtime/env"
)

// rolling is hosts with an admin API each, cut off after so many calls.
type rolling struct {
	t      *testing.T
	mu     sync.Mutex
	stores []*settings.Store
	hosts  []*rollout.Host
	calls  int
	cut    int  // calls that are answered; -1: all
	lose   bool // the call at the cut takes effect, its answer is lost
	bad    map[int]bool
	reads  []int
	each   func()
}

func newRolling(t *testing.T, n int) *rolling {
	s := &rolling{t: t, cut: -1, bad: map[int]bool{}, reads: make([]int, n)}
	for i := range n {
		st, err := settings.Open("", nil)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := st.Put(settings.Example(n, 3)); err != nil {
			t.Fatal(err)
		}
		inner := settings.Handler(st, func(r *http.Request) settings.Author { return settings.Author{Who: r.URL.Query().Get("who")} }, func() int64 { return 0 })
		srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { s.serve(i, inner, w, r) }))
		t.Cleanup(srv.Close)
		api := settings.NewAPI(srv.Listener.Addr().String())
		t.Cleanup(api.Close)
		s.stores = append(s.stores, st)
		s.hosts = append(s.hosts, &rollout.Host{Name: fmt.Sprintf("h%d", i), API: api})
	}
	return s
}

// mend has calls answered again.
func (s *rolling) mend() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cut = -1
}

func (s *rolling) serve(i int, inner http.Handler, w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
	if s.cut >= 0 && s.calls > s.cut {
		if s.lose && s.calls == s.cut+1 {
			inner.ServeHTTP(httptest.NewRecorder(), r)
		}
		panic(http.ErrAbortHandler)
	}
	if r.URL.Path != "/status" {
		inner.ServeHTTP(w, r)
		if s.each != nil {
			s.each()
		}
		return
	}
	// Each reading is 100 requests on; at a host that is bad under the new limit, half
	// of them are refused.
	s.reads[i]++
	n := uint64(s.reads[i] * 100)
	f := roll.Figures{Taken: n, Served: n, InAim: n}
	if s.bad[i] && s.stores[i].Get().Plans[0].Limit == 20 {
		f.Refused, f.Served, f.InAim = n/2, n/2, n/2
	}
	json.NewEncoder(w).Encode(map[string]any{"Zone": fmt.Sprintf("hall-%d", i%2), "Figures": f})
}

// limit is the units a second that a limited volume may have over all hosts now, and
// whether two versions are in force.
func (s *rolling) limit() (sum float64, mixed bool) {
	old, now := 0, 0
	for _, st := range s.stores {
		set := st.Get()
		if set.Plans[0].Limit == 40 {
			old++
		} else {
			now++
		}
		held := set.Effective()
		v := &held.Volumes[0]
		p := held.Plans[0]
		sum += p.Limit / float64(set.HostCount(0, v))
	}
	return sum, old > 0 && now > 0
}

func (s *rolling) from() *settings.Settings { return settings.Example(len(s.stores), 3) }

// to lowers the limit and has the first volume come through more hosts.
func (s *rolling) to(limit float64) *settings.Settings {
	t := s.from()
	t.Plans[0].Limit, t.Volumes[0].Hosts = limit, nil
	for i := range s.stores {
		t.Volumes[0].Hosts = append(t.Volumes[0].Hosts, i)
	}
	return t
}

func (s *rolling) check(limit float64) {
	s.t.Helper()
	for i, st := range s.stores {
		if set := st.Get(); set.Plans[0].Limit != limit || set.Roll != nil {
			s.t.Errorf("host %d has a limit of %v and roll %+v", i, set.Plans[0].Limit, set.Roll)
		}
	}
}

func everywhere(n int) (hosts []int) {
	for i := range n {
		hosts = append(hosts, i)
	}
	return hosts
}

// While two versions are in force the limit over all hosts is the stricter, whether it
// goes up or down, and a roll that is cut off anywhere is taken up by another operator.
func TestARollIsTakenUpWhereverItWasCutOff(t *testing.T) {
	w := env.NewReal()
	limits, losses := []float64{20, 80}, []bool{false, true}
	if testing.Short() {
		limits, losses = limits[:1], losses[1:]
	}
	for _, limit := range limits {
		for _, lose := range losses {
			for cut := 0; ; cut++ {
				s := newRolling(t, 4)
				from, to := s.from(), s.to(limit)
				from.Volumes[0].Hosts = everywhere(4)
				for _, st := range s.stores {
					x := *from
					x.Version = 1
					if _, err := st.Put(&x); err != nil {
						t.Fatal(err)
					}
				}
				s.each = func() {
					if sum, mixed := s.limit(); mixed && sum > min(limit, 40)+1e-9 {
						t.Errorf("limit %v, cut %d: %v units a second while two versions are in force", limit, cut, sum)
					}
				}
				s.cut, s.lose = cut, lose
				err := rollout.Roll(context.Background(), w, s.hosts, from, to, rollout.RollOptions{ID: "r1", Who: "ines"})
				whole := err == nil
				s.mend()
				if err := rollout.Roll(context.Background(), w, s.hosts, from, to, rollout.RollOptions{ID: "r1", Who: "rui"}); err != nil {
					t.Fatalf("limit %v, cut %d: %v", limit, cut, err)
				}
				s.check(limit)
				if whole {
					t.Logf("limit %v: cut off at each of %d calls", limit, cut)
					break
				}
			}
		}
	}
}

// Figures that fall at the first host: all go back, and a cut roll is taken back on request.
func TestARollGoesBack(t *testing.T) {
	s := newRolling(t, 4)
	s.bad[0] = true
	var back *rollout.BackError
	from, to := s.from(), s.to(20)
	err := rollout.Roll(context.Background(), env.NewReal(), s.hosts, from, to, rollout.RollOptions{ID: "r1"})
	if !errors.As(err, &back) || len(back.Left) > 0 || !strings.Contains(err.Error(), "refused 0.5") {
		t.Fatal(err)
	}
	s.check(40)
	if v := s.stores[3].Get().Version; v != 3 { // prepared, and out of it
		t.Errorf("host 3 is at version %d", v)
	}
	s = newRolling(t, 4)
	s.cut = 30
	if rollout.Roll(context.Background(), env.NewReal(), s.hosts, from, to, rollout.RollOptions{ID: "r1"}) == nil {
		t.Fatal("it was not cut off")
	}
	s.mend()
	if err := rollout.Return(context.Background(), env.NewReal(), s.hosts, from, to, rollout.RollOptions{ID: "r1", Who: "rui"}); err != nil {
		t.Fatal(err)
	}
	s.check(40)
}

// Another operator's change in the midst stops a roll, and is named.
func TestARollMeetsAnotherChange(t *testing.T) {
	s := newRolling(t, 3)
	x := *s.stores[2].Get()
	x.Limits.MaxOpen = 77
	if _, err := s.stores[2].Put(&x); err != nil {
		t.Fatal(err)
	}
	var strange *rollout.StrangeError
	err := rollout.Roll(context.Background(), env.NewReal(), s.hosts, s.from(), s.to(20), rollout.RollOptions{ID: "r1"})
	if !errors.As(err, &strange) || strange.Host != "h2" || !strings.Contains(err.Error(), "limits.max_open") {
		t.Fatal(err)
	}
	if s.stores[0].Get().Roll != nil {
		t.Error("the roll had begun")
	}
}

func TestJudge(t *testing.T) {
	f := func(served, inAim, refused, failed uint64) roll.Figures {
		return roll.Figures{Taken: served + refused + failed, Served: served, InAim: inAim, Refused: refused, Failed: failed}
	}
	good := f(100, 95, 0, 0)
	for name, x := range map[string]struct {
		after       roll.Figures
		known, back bool
	}{
		"as before":       {f(1000, 950, 0, 0), true, false},
		"too few":         {f(20, 0, 0, 0), false, false},
		"late":            {f(100, 80, 0, 0), true, true},
		"refused":         {f(85, 84, 15, 0), true, true},
		"a few failures":  {f(97, 94, 0, 3), true, true},
		"one failure":     {f(99, 94, 0, 1), true, false},
		"a little slower": {f(100, 90, 0, 0), true, false},
	} {
		if v := roll.Judge(good, x.after); v.Known != x.known || v.Back != x.back {
			t.Errorf("%s: %+v", name, v)
		}
	}
	if d := f(10, 10, 0, 0).Since(f(100, 90, 0, 0)); d != f(10, 10, 0, 0) {
		t.Errorf("a host that started anew: %+v", d)
	}
}
