package policy

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// answer ends an attempt of a request that is out.
func (g *rig) answer(id string, r Result) {
	g.do(Outcome{ID: id, Node: "n0", Done: r == Served, Elapsed: 5, Result: r})
}

// A limit changed ten times a second, at eight times its rate: what passes stays under
// the integral of the limit and one store, and falls short of it by no more than the
// stores that were cut away.
func TestALimitThatChangesAllTheTime(t *testing.T) {
	for seed := range uint64(5) {
		s := settings()
		s.Classes[0].Deadline = 1000
		g := newRig(s)
		r := rand.New(rand.NewPCG(seed, 3))
		units, passed, integral, cut := map[string]float64{}, 0.0, 0.0, 0.0
		begin, from := s.Plans[0], 0
		for range 600 { // a minute
			next := settings()
			next.Plans[0].Limit = 4 + float64(r.IntN(33))
			next.Plans[0].Burst = 2 + float64(r.IntN(9))
			if v := g.p.volumes["low"]; v != nil {
				g.p.volumeBuckets(Request{Volume: "low"}, v.plan)
				floor := min(next.Plans[0].Limit*arrivalSkew/1000-next.Plans[0].Overdraft, 0)
				cut += max(v.limitLevel-v.limitFloor-(next.Plans[0].Burst-floor), 0)
			}
			g.do(SettingsChanged{next})
			for range 16 { // of 1 unit each 100 ms: eight times the mean limit
				id := g.ask("read", "low", "", 1)
				units[id] = 1
			}
			g.pass(100)
			integral += next.Plans[0].Limit / 10
			for ; from < len(g.acts); from++ { // also what an answer lets go
				if x, ok := g.acts[from].(Send); ok {
					passed += units[x.ID]
					g.answer(x.ID, Served)
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
func TestARequestKeepsItsTerms(t *testing.T) {
	g := newRig(settings())
	old := g.ask("read", "high", "", 2)
	next := settings()
	next.Limits.MaxAttempts, next.Limits.RetryAfter = 1, 900
	next.Classes[0] = Class{Name: "read", Value: 2, LatencyTarget: 300, Deadline: 1000, Effect: NonIdempotent}
	g.do(SettingsChanged{next})
	g.answer(old, ConnectionLost)
	g.pass(200)
	if n := g.sends(old); n != 2 {
		t.Errorf("%d attempts of a read that was safe when it was taken", n)
	}
	g.answer(old, Served)
	fresh := g.ask("read", "high", "", 2)
	g.answer(fresh, ConnectionLost)
	g.pass(600)
	if n := g.sends(fresh); n > 1 {
		t.Errorf("%d attempts of a request that is unsafe and may have one", n)
	}
}

// Where nothing was limited nothing may be counted on: a limit that is new begins empty.
func TestANewLimitBeginsEmpty(t *testing.T) {
	g := newRig(settings())
	g.ask("read", "high", "", 2)
	next := settings()
	next.Plans[1].Limit, next.Plans[1].Burst, next.Plans[1].Overdraft = 10, 40, 0
	g.pass(20000)
	g.do(SettingsChanged{next})
	before := len(g.acts)
	for range 10 {
		g.ask("read", "high", "", 2)
	}
	sends := 0
	for _, a := range g.acts[before:] {
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
func TestALimitLoweredBelowWhatIsOut(t *testing.T) {
	g := newRig(settings())
	first := g.ask("read", "low", "", 1)
	g.pass(500)
	g.answer(first, Served)
	g.pass(5000) // the store is full
	ids := []string{}
	for range 6 {
		ids = append(ids, g.ask("read", "low", "", 1))
	}
	out := 0
	for _, id := range ids {
		out += g.sends(id)
	}
	if out < 4 {
		t.Fatalf("only %d are out", out)
	}
	next := settings()
	next.Plans[0].Limit, next.Plans[0].Burst, next.Plans[0].Overdraft = 2, 1, 0
	g.do(SettingsChanged{next})
	v := g.p.volumes["low"]
	if v.limitLevel > 1 || v.limitLevel < v.limitFloor {
		t.Errorf("the store holds %v after the change, its floor is %v", v.limitLevel, v.limitFloor)
	}
	for _, id := range ids {
		g.answer(id, Served)
	}
	late := g.ask("read", "low", "", 1)
	g.pass(990)
	if g.sends(late) != 0 && v.limitLevel < v.limitFloor {
		t.Errorf("sent from a store of %v, its floor is %v", v.limitLevel, v.limitFloor)
	}
}

// What was learnt stays when settings change, and a plan that goes and comes keeps its
// requests.
func TestWhatWasLearntStays(t *testing.T) {
	g := newRig(settings())
	for range 200 {
		id := g.ask("read", "high", "", 2)
		g.pass(20)
		g.answer(id, Served)
	}
	share, depth, got := slices.Clone(g.p.shares.share), g.p.shards[0].depth, g.p.shards[0].serviceTime
	theta := slices.Clone(g.p.shares.models[1].theta)
	next := settings()
	next.Plans = append(next.Plans, Plan{Name: "mid", Price: 1, Weight: 1})
	g.do(SettingsChanged{next})
	if g.p.shards[0].depth != depth || g.p.shards[0].serviceTime != got {
		t.Error("the depth was forgotten")
	}
	if f := g.p.shares.models[1]; f.theta[0] != theta[0] || f.theta[2] != theta[2] || f.theta[3] != 0 || f.theta[4] != theta[3] {
		t.Errorf("%v became %v", theta, f.theta)
	}
	sum := 0.0
	for _, x := range g.p.shares.share {
		sum += x
	}
	if math.Abs(sum-1) > 1e-9 || g.p.shares.share[0]/g.p.shares.share[1] != share[0]/share[1] {
		t.Errorf("%v became %v", share, g.p.shares.share)
	}
	waiting := g.ask("read", "mid", "", 2)
	next.Plans = next.Plans[:2]
	g.do(SettingsChanged{next})
	g.pass(100)
	if g.sends(waiting) != 1 {
		t.Error("a request whose plan is gone was not sent")
	}
	for n := range 50 { // plans that come and go don't pile up
		next := settings()
		next.Plans = append(next.Plans, Plan{Name: fmt.Sprint("p", n), Price: 1, Weight: 1})
		g.do(SettingsChanged{next})
		id := g.ask("read", next.Plans[2].Name, "", 1)
		g.answer(id, Served)
		g.pass(1200)
	}
	if n := len(g.p.settings.Plans); n > 5 {
		t.Errorf("%d plans are kept", n)
	}
}

// Whatever settings come when, each request has one end in time.
func TestOneEndWhateverIsRevised(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := newRig(settings())
		due := map[string]float64{}
		for range rapid.IntRange(5, 60).Draw(t, "steps") {
			switch rapid.IntRange(0, 3).Draw(t, "what") {
			case 0:
				s := settings()
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
				g.do(SettingsChanged{s})
			case 1, 2:
				id := g.ask(rapid.SampledFrom([]string{"read", "write", "once", "turns"}).Draw(t, "class"),
					rapid.SampledFrom([]string{"low", "high", "x", "y"}).Draw(t, "plan"), "k", 1)
				due[id] = g.now + 1000
			case 3:
				ids := make([]string, 0, len(g.p.requests))
				for id, r := range g.p.requests {
					if r.outstanding > 0 {
						ids = append(ids, id)
					}
				}
				slices.Sort(ids)
				for _, id := range ids {
					g.answer(id, rapid.SampledFrom([]Result{Served, ConnectionLost, Rejected, NoAnswer}).Draw(t, "result"))
				}
			}
			g.pass(float64(rapid.IntRange(0, 300).Draw(t, "pass")))
		}
		g.pass(3000)
		for id := range due {
			if r := g.p.requests[id]; r != nil && !r.done {
				t.Fatalf("%s has no end", id)
			}
		}
	})
}
