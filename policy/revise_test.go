package policy

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// endAttemptFast reports the end, after 5 ms, of a request's outstanding attempt at n0.
func (h *harness) endAttemptFast(id string, result Result) {
	h.handle(Outcome{ID: id, Node: "n0", Done: result == Served, Elapsed: 5, Result: result})
}

// While a limit changes ten times a second, at eight times its load, the units sent must stay below the
// integral of the limit plus one bucket. They may fall short of it by what shrinking buckets discard.
func TestLimitUnderFrequentChanges(t *testing.T) {
	for seed := range uint64(5) {
		s := testSettings()
		s.Classes[0].Deadline = 1000
		h := newHarness(s)
		rng := rand.New(rand.NewPCG(seed, 3))
		unitsByID, sentUnits, limitIntegral, discarded := map[string]float64{}, 0.0, 0.0, 0.0
		initialPlan, examined := s.Plans[0], 0
		for range 600 { // a minute
			next := testSettings()
			next.Plans[0].Limit = 4 + float64(rng.IntN(33))
			next.Plans[0].Burst = 2 + float64(rng.IntN(9))
			if buckets := h.scheduler.volumes["low"]; buckets != nil {
				h.scheduler.volumeBuckets(Request{Volume: "low"}, buckets.plan)
				limitFloor := min(next.Plans[0].Limit*arrivalSkew/1000-next.Plans[0].Overdraft, 0)
				discarded += max(buckets.limitLevel-buckets.limitFloor-(next.Plans[0].Burst-limitFloor), 0)
			}
			h.handle(SettingsChanged{next})
			for range 16 { // of 1 unit, each 100 ms: eight times the mean limit
				id := h.submit("read", "low", "", 1)
				unitsByID[id] = 1
			}
			h.advance(100)
			limitIntegral += next.Plans[0].Limit / 10
			for ; examined < len(h.actions); examined++ { // including sends that an outcome causes
				if send, ok := h.actions[examined].(Send); ok {
					sentUnits += unitsByID[send.ID]
					h.endAttemptFast(send.ID, Served)
				}
			}
		}
		maxSent := limitIntegral + initialPlan.Burst + initialPlan.Overdraft
		minSent := limitIntegral - discarded - initialPlan.Burst - 2 // one request may wait for tokens, and one is for rounding
		if sentUnits > maxSent || sentUnits < minSent {
			t.Errorf("seed %d: sent %.1f units, integral of the limit %.1f, want %.1f to %.1f", seed, sentUnits, limitIntegral, minSent, maxSent)
		}
		t.Logf("seed %d: sent %.0f units, integral of the limit %.1f, bounds %.1f to %.1f (%.1f units discarded by shrinking buckets)", seed, sentUnits, limitIntegral, minSent, maxSent, discarded)
	}
}

// A request must keep the number of attempts and the class that were in force when it arrived.
func TestRequestKeepsSettingsOfItsArrival(t *testing.T) {
	h := newHarness(testSettings())
	earlier := h.submit("read", "high", "", 2)
	next := testSettings()
	next.Limits.MaxAttempts, next.Limits.RetryAfter = 1, 900
	next.Classes[0] = Class{Name: "read", Value: 2, LatencyTarget: 300, Deadline: 1000, Effect: NonIdempotent}
	h.handle(SettingsChanged{next})
	h.endAttemptFast(earlier, ConnectionLost)
	h.advance(200)
	if n := h.sendCount(earlier); n != 2 {
		t.Errorf("%d attempts of a read that was idempotent when it arrived, want 2", n)
	}
	h.endAttemptFast(earlier, Served)
	later := h.submit("read", "high", "", 2)
	h.endAttemptFast(later, ConnectionLost)
	h.advance(600)
	if n := h.sendCount(later); n > 1 {
		t.Errorf("%d attempts of a non-idempotent request with MaxAttempts 1, want at most 1", n)
	}
}

// The bucket of a new limit must start empty, since earlier units were not charged.
func TestNewLimitStartsEmpty(t *testing.T) {
	h := newHarness(testSettings())
	h.submit("read", "high", "", 2)
	next := testSettings()
	next.Plans[1].Limit, next.Plans[1].Burst, next.Plans[1].Overdraft = 10, 40, 0
	h.advance(20000)
	h.handle(SettingsChanged{next})
	before := len(h.actions)
	for range 10 {
		h.submit("read", "high", "", 2)
	}
	sends := 0
	for _, a := range h.actions[before:] {
		if _, ok := a.(Send); ok {
			sends++
		}
	}
	if sends > 0 {
		t.Errorf("%d sends at the start of a limit, want none", sends)
	}
}

// When a limit is lowered below the units that are outstanding, these must not be charged again, and
// nothing more may be sent until the bucket has refilled.
func TestLimitLoweredBelowOutstanding(t *testing.T) {
	h := newHarness(testSettings())
	first := h.submit("read", "low", "", 1)
	h.advance(500)
	h.endAttemptFast(first, Served)
	h.advance(5000) // the bucket is full
	ids := []string{}
	for range 6 {
		ids = append(ids, h.submit("read", "low", "", 1))
	}
	outstanding := 0
	for _, id := range ids {
		outstanding += h.sendCount(id)
	}
	if outstanding < 4 {
		t.Fatalf("%d requests outstanding, want at least 4", outstanding)
	}
	next := testSettings()
	next.Plans[0].Limit, next.Plans[0].Burst, next.Plans[0].Overdraft = 2, 1, 0
	h.handle(SettingsChanged{next})
	buckets := h.scheduler.volumes["low"]
	if buckets.limitLevel > 1 || buckets.limitLevel < buckets.limitFloor {
		t.Errorf("limit level %v after the change, want at most 1 and at least the floor %v", buckets.limitLevel, buckets.limitFloor)
	}
	for _, id := range ids {
		h.endAttemptFast(id, Served)
	}
	later := h.submit("read", "low", "", 1)
	h.advance(990)
	if h.sendCount(later) != 0 && buckets.limitLevel < buckets.limitFloor {
		t.Errorf("sent at limit level %v, want at least the floor %v", buckets.limitLevel, buckets.limitFloor)
	}
}

// A change of settings must keep learned state and the requests of removed plans, and plans that are
// added and removed must not accumulate.
func TestSettingsChangeKeepsLearnedState(t *testing.T) {
	h := newHarness(testSettings())
	for range 200 {
		id := h.submit("read", "high", "", 2)
		h.advance(20)
		h.endAttemptFast(id, Served)
	}
	shares, depth, serviceTime := slices.Clone(h.scheduler.shares.share), h.scheduler.shards[0].depth, h.scheduler.shards[0].serviceTime
	theta := slices.Clone(h.scheduler.shares.models[1].theta)
	next := testSettings()
	next.Plans = append(next.Plans, Plan{Name: "mid", Price: 1, Weight: 1})
	h.handle(SettingsChanged{next})
	if h.scheduler.shards[0].depth != depth || h.scheduler.shards[0].serviceTime != serviceTime {
		t.Error("depth or service time changed with the settings, want the learned ones")
	}
	if model := h.scheduler.shares.models[1]; model.theta[0] != theta[0] || model.theta[2] != theta[2] || model.theta[3] != 0 || model.theta[4] != theta[3] {
		t.Errorf("model parameters %v became %v, want the same with 0 for the new plan", theta, model.theta)
	}
	sum := 0.0
	for _, share := range h.scheduler.shares.share {
		sum += share
	}
	if math.Abs(sum-1) > 1e-9 || h.scheduler.shares.share[0]/h.scheduler.shares.share[1] != shares[0]/shares[1] {
		t.Errorf("shares %v became %v, want a sum of 1 and the old ratio", shares, h.scheduler.shares.share)
	}
	waiting := h.submit("read", "mid", "", 2)
	next.Plans = next.Plans[:2]
	h.handle(SettingsChanged{next})
	h.advance(100)
	if h.sendCount(waiting) != 1 {
		t.Error("a request whose plan was removed was not sent")
	}
	for n := range 50 { // each adds a plan and removes the one before
		next := testSettings()
		next.Plans = append(next.Plans, Plan{Name: fmt.Sprint("p", n), Price: 1, Weight: 1})
		h.handle(SettingsChanged{next})
		id := h.submit("read", next.Plans[2].Name, "", 1)
		h.endAttemptFast(id, Served)
		h.advance(1200)
	}
	if n := len(h.scheduler.settings.Plans); n > 5 {
		t.Errorf("%d plans kept, want at most 5", n)
	}
}

// Every request must end, whichever settings change while it waits or has an attempt outstanding.
func TestRequestsEndAcrossSettingsChanges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := newHarness(testSettings())
		expiries := map[string]float64{}
		for range rapid.IntRange(5, 60).Draw(t, "steps") {
			switch rapid.IntRange(0, 3).Draw(t, "event") {
			case 0:
				s := testSettings()
				for i := range s.Plans {
					s.Plans[i].Limit = float64(rapid.SampledFrom([]int{0, 1, 20}).Draw(t, "limit"))
					s.Plans[i].Burst = float64(rapid.IntRange(1, 30).Draw(t, "burst"))
				}
				if rapid.Bool().Draw(t, "add plan") {
					s.Plans = append(s.Plans, Plan{Name: rapid.SampledFrom([]string{"x", "y"}).Draw(t, "name"), Weight: 1, Price: 3})
				}
				if rapid.Bool().Draw(t, "remove plan") {
					s.Plans = s.Plans[1:]
				}
				s.Limits.MaxAttempts = rapid.IntRange(1, 3).Draw(t, "attempts")
				s.Rules.HasBudget, s.Rules.BudgetBase, s.Rules.BudgetWindow = rapid.Bool().Draw(t, "budget"), 2, 5000
				h.handle(SettingsChanged{s})
			case 1, 2:
				id := h.submit(rapid.SampledFrom([]string{"read", "write", "once", "turns"}).Draw(t, "class"),
					rapid.SampledFrom([]string{"low", "high", "x", "y"}).Draw(t, "plan"), "k", 1)
				expiries[id] = h.now + 1000
			case 3:
				ids := make([]string, 0, len(h.scheduler.requests))
				for id, r := range h.scheduler.requests {
					if r.outstanding > 0 {
						ids = append(ids, id)
					}
				}
				slices.Sort(ids)
				for _, id := range ids {
					h.endAttemptFast(id, rapid.SampledFrom([]Result{Served, ConnectionLost, Rejected, NoAnswer}).Draw(t, "result"))
				}
			}
			h.advance(float64(rapid.IntRange(0, 300).Draw(t, "elapsed")))
		}
		h.advance(3000)
		for id := range expiries {
			if r := h.scheduler.requests[id]; r != nil && !r.done {
				t.Fatalf("request %s has not ended 3 s after the last event", id)
			}
		}
	})
}
