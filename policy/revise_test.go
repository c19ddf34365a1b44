package policy

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// endAttemptFast ends an attempt of a request that is out.
func (g *harness) endAttemptFast(id string, r Result) {
	g.handle(Outcome{ID: id, Node: "n0", Done: r == Served, Elapsed: 5, Result: r})
}

// A limit changed ten times a second, at eight times its rate: what passes stays under
// the integral of the limit and one store, and falls short of it by no more than the
// stores that were cut away.
func TestLimitUnderFrequentChanges(t *testing.T) {
	for seed := range uint64(5) {
		s := testSettings()
		s.Classes[0].Deadline = 1000
		g := newHarness(s)
		r := rand.New(rand.NewPCG(seed, 3))
		units, passed, integral, cut := map[string]float64{}, 0.0, 0.0, 0.0
		begin, from := s.Plans[0], 0
		for range 600 { // a minute
			next := testSettings()
			next.Plans[0].Limit = 4 + float64(r.IntN(33))
			next.Plans[0].Burst = 2 + float64(r.IntN(9))
			if v := g.scheduler.volumes["low"]; v != nil {
				g.scheduler.volumeBuckets(Request{Volume: "low"}, v.plan)
				floor := min(next.Plans[0].Limit*arrivalSkew/1000-next.Plans[0].Overdraft, 0)
				cut += max(v.limitLevel-v.limitFloor-(next.Plans[0].Burst-floor), 0)
			}
			g.handle(SettingsChanged{next})
			for range 16 { // of 1 unit each 100 ms: eight times the mean limit
				id := g.submit("read", "low", "", 1)
				units[id] = 1
			}
			g.advance(100)
			integral += next.Plans[0].Limit / 10
			for ; from < len(g.actions); from++ { // also what an answer lets go
				if x, ok := g.actions[from].(Send); ok {
					passed += units[x.ID]
					g.endAttemptFast(x.ID, Served)
				}
			}
		}
		most := integral + begin.Burst + begin.Overdraft
		least := integral - cut - begin.Burst - 2 // a request may stand before the gate, and one lies within rounding
		if passed > most || passed < least {
			t.Errorf("seed %d: %.1f units passed, the integral is %.1f, bounds %.1f and %.1f", seed, passed, integral, least, most)
		}
		t.Logf("seed %d: %.0f units passed, integral of the limit %.1f, bounds %.1f to %.1f (%.1f units of stores cut away)", seed, passed, integral, least, most, cut)
	}
}

// A request ends under what it was taken under: attempts and class.
func TestRequestKeepsSettingsOfItsArrival(t *testing.T) {
	g := newHarness(testSettings())
	old := g.submit("read", "high", "", 2)
	next := testSettings()
	next.Limits.MaxAttempts, next.Limits.RetryAfter = 1, 900
	next.Classes[0] = Class{Name: "read", Value: 2, LatencyTarget: 300, Deadline: 1000, Effect: NonIdempotent}
	g.handle(SettingsChanged{next})
	g.endAttemptFast(old, ConnectionLost)
	g.advance(200)
	if n := g.sendCount(old); n != 2 {
		t.Errorf("%d attempts of a read that was safe when it was taken", n)
	}
	g.endAttemptFast(old, Served)
	fresh := g.submit("read", "high", "", 2)
	g.endAttemptFast(fresh, ConnectionLost)
	g.advance(600)
	if n := g.sendCount(fresh); n > 1 {
		t.Errorf("%d attempts of a request that is unsafe and may have one", n)
	}
}

// Where nothing was limited nothing may be counted on: a limit that is new begins empty.
func TestNewLimitStartsEmpty(t *testing.T) {
	g := newHarness(testSettings())
	g.submit("read", "high", "", 2)
	next := testSettings()
	next.Plans[1].Limit, next.Plans[1].Burst, next.Plans[1].Overdraft = 10, 40, 0
	g.advance(20000)
	g.handle(SettingsChanged{next})
	before := len(g.actions)
	for range 10 {
		g.submit("read", "high", "", 2)
	}
	sends := 0
	for _, a := range g.actions[before:] {
		if _, ok := a.(Send); ok {
			sends++
		}
	}
	if sends > 0 {
		t.Errorf("%d sends at the moment a limit began", sends)
	}
}

// A limit that is lowered below what is out: what is out goes on, nothing more goes until
// the store has filled, and nothing is charged again.
func TestLimitLoweredBelowOutstanding(t *testing.T) {
	g := newHarness(testSettings())
	first := g.submit("read", "low", "", 1)
	g.advance(500)
	g.endAttemptFast(first, Served)
	g.advance(5000) // the store is full
	ids := []string{}
	for range 6 {
		ids = append(ids, g.submit("read", "low", "", 1))
	}
	out := 0
	for _, id := range ids {
		out += g.sendCount(id)
	}
	if out < 4 {
		t.Fatalf("only %d are out", out)
	}
	next := testSettings()
	next.Plans[0].Limit, next.Plans[0].Burst, next.Plans[0].Overdraft = 2, 1, 0
	g.handle(SettingsChanged{next})
	v := g.scheduler.volumes["low"]
	if v.limitLevel > 1 || v.limitLevel < v.limitFloor {
		t.Errorf("the store holds %v after the change, its floor is %v", v.limitLevel, v.limitFloor)
	}
	for _, id := range ids {
		g.endAttemptFast(id, Served)
	}
	late := g.submit("read", "low", "", 1)
	g.advance(990)
	if g.sendCount(late) != 0 && v.limitLevel < v.limitFloor {
		t.Errorf("sent from a store of %v, its floor is %v", v.limitLevel, v.limitFloor)
	}
}

// What was learnt stays when settings change, and a plan that goes and comes keeps its
// requests.
func TestSettingsChangeKeepsLearnedState(t *testing.T) {
	g := newHarness(testSettings())
	for range 200 {
		id := g.submit("read", "high", "", 2)
		g.advance(20)
		g.endAttemptFast(id, Served)
	}
	share, depth, got := slices.Clone(g.scheduler.shares.share), g.scheduler.shards[0].depth, g.scheduler.shards[0].serviceTime
	theta := slices.Clone(g.scheduler.shares.models[1].theta)
	next := testSettings()
	next.Plans = append(next.Plans, Plan{Name: "mid", Price: 1, Weight: 1})
	g.handle(SettingsChanged{next})
	if g.scheduler.shards[0].depth != depth || g.scheduler.shards[0].serviceTime != got {
		t.Error("the depth was forgotten")
	}
	if f := g.scheduler.shares.models[1]; f.theta[0] != theta[0] || f.theta[2] != theta[2] || f.theta[3] != 0 || f.theta[4] != theta[3] {
		t.Errorf("%v became %v", theta, f.theta)
	}
	sum := 0.0
	for _, x := range g.scheduler.shares.share {
		sum += x
	}
	if math.Abs(sum-1) > 1e-9 || g.scheduler.shares.share[0]/g.scheduler.shares.share[1] != share[0]/share[1] {
		t.Errorf("%v became %v", share, g.scheduler.shares.share)
	}
	waiting := g.submit("read", "mid", "", 2)
	next.Plans = next.Plans[:2]
	g.handle(SettingsChanged{next})
	g.advance(100)
	if g.sendCount(waiting) != 1 {
		t.Error("a request whose plan is gone was not sent")
	}
	for n := range 50 { // plans that come and go don't pile up
		next := testSettings()
		next.Plans = append(next.Plans, Plan{Name: fmt.Sprint("p", n), Price: 1, Weight: 1})
		g.handle(SettingsChanged{next})
		id := g.submit("read", next.Plans[2].Name, "", 1)
		g.endAttemptFast(id, Served)
		g.advance(1200)
	}
	if n := len(g.scheduler.settings.Plans); n > 5 {
		t.Errorf("%d plans are kept", n)
	}
}

// Whatever settings come when, each request has one end in time.
func TestOneFinalAnswerAcrossSettingsChanges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := newHarness(testSettings())
		due := map[string]float64{}
		for range rapid.IntRange(5, 60).Draw(t, "steps") {
			switch rapid.IntRange(0, 3).Draw(t, "what") {
			case 0:
				s := testSettings()
				for i := range s.Plans {
					s.Plans[i].Limit = float64(rapid.SampledFrom([]int{0, 1, 20}).Draw(t, "limit"))
					s.Plans[i].Burst = float64(rapid.IntRange(1, 30).Draw(t, "burst"))
				}
				if rapid.Bool().Draw(t, "more") {
					s.Plans = append(s.Plans, Plan{Name: rapid.SampledFrom([]string{"x", "y"}).Draw(t, "name"), Weight: 1, Price: 3})
				}
				if rapid.Bool().Draw(t, "fewer") {
					s.Plans = s.Plans[1:]
				}
				s.Limits.MaxAttempts = rapid.IntRange(1, 3).Draw(t, "attempts")
				s.Rules.HasBudget, s.Rules.BudgetBase, s.Rules.BudgetWindow = rapid.Bool().Draw(t, "budget"), 2, 5000
				g.handle(SettingsChanged{s})
			case 1, 2:
				id := g.submit(rapid.SampledFrom([]string{"read", "write", "once", "turns"}).Draw(t, "class"),
					rapid.SampledFrom([]string{"low", "high", "x", "y"}).Draw(t, "plan"), "k", 1)
				due[id] = g.now + 1000
			case 3:
				ids := make([]string, 0, len(g.scheduler.requests))
				for id, r := range g.scheduler.requests {
					if r.outstanding > 0 {
						ids = append(ids, id)
					}
				}
				slices.Sort(ids)
				for _, id := range ids {
					g.endAttemptFast(id, rapid.SampledFrom([]Result{Served, ConnectionLost, Rejected, NoAnswer}).Draw(t, "result"))
				}
			}
			g.advance(float64(rapid.IntRange(0, 300).Draw(t, "pass")))
		}
		g.advance(3000)
		for id := range due {
			if r := g.scheduler.requests[id]; r != nil && !r.done {
				t.Fatalf("%s has no end", id)
			}
		}
	})
}
