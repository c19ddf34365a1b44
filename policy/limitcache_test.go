package policy

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// schedulerPair holds two schedulers with the same seed. In the second one, the cached times at which
// limits open are cleared before each event, so that it examines every queue at every dispatch.
type schedulerPair struct {
	t                *testing.T
	cached, uncached *harness
}

// newSchedulerPair returns a pair with a limited plan and one ready node.
func newSchedulerPair(t *testing.T) *schedulerPair {
	s := testSettings()
	s.Plans[0].Limit, s.Plans[0].Burst, s.Plans[0].Overdraft = 40, 8, 4
	pair := &schedulerPair{t, newHarness(s), newHarness(s)}
	pair.uncached.beforeEvent = func() {
		for _, sh := range pair.uncached.scheduler.shards {
			sh.deferredLimitedUntil = 0
			for i := range sh.flows {
				sh.flows[i].limitedUntil = 0
			}
		}
	}
	pair.applyToBoth(func(h *harness) { h.setNodes(Node{Addr: "n0", Health: Ready}) })
	return pair
}

// applyToBoth applies the same calls to both schedulers, each with its own timers, and compares their
// actions and the times of these. SetTimer is left out: without the cache some timers are set that
// lead to no action.
func (pair *schedulerPair) applyToBoth(apply func(h *harness)) {
	pair.t.Helper()
	var actions [2][]Action
	var times [2][]float64
	for k, h := range []*harness{pair.cached, pair.uncached} {
		h.actions, h.actionTimes = nil, nil
		apply(h)
		for i, a := range h.actions {
			if _, isTimer := a.(SetTimer); !isTimer {
				switch action := a.(type) {
				case Send: // depends on the time of the send, which is compared with a tolerance
					action.TimeoutAt = 0
					a = action
				case Refuse: // depends on when a limit was last examined, which decides nothing
					action.Cause = ReasonNone
					a = action
				case Fail:
					action.Cause = ReasonNone
					a = action
				}
				actions[k], times[k] = append(actions[k], a), append(times[k], h.actionTimes[i])
			}
		}
	}
	if !slices.Equal(actions[0], actions[1]) || !slices.EqualFunc(times[0], times[1], func(x, y float64) bool { return math.Abs(x-y) < 1e-3 }) {
		pair.t.Fatalf("actions %v at %v\nwant %v at %v, as without cached limit times", actions[0], times[0], actions[1], times[1])
	}
}

// Caching the times at which limits open must not change any decision.
func TestLimitCacheChangesNoDecision(t *testing.T) {
	total := 0
	for seed := range uint64(60) {
		rng := rand.New(rand.NewPCG(seed, 1))
		pair := newSchedulerPair(t)
		ended := 0
		for k := range 1500 {
			elapsed := rng.Float64() * 8
			pair.applyToBoth(func(h *harness) { h.advance(elapsed) })
			now := pair.cached.now
			var ev Event
			switch draw := rng.IntN(10); {
			case draw < 6:
				plan := "low"
				if rng.IntN(4) == 0 {
					plan = "high"
				}
				ev = Request{ID: fmt.Sprintf("%016x", k), Class: []string{"read", "write", "turns"}[rng.IntN(3)], Plan: plan, Key: fmt.Sprint(rng.IntN(4)), Volume: fmt.Sprint(plan, rng.IntN(3)), Units: 1 + float64(rng.IntN(4)), Expires: now + 1000, Hosts: 1}
			case draw < 9 && len(pair.cached.scheduler.shards) > 0 && len(pair.cached.scheduler.shards[0].outstanding) > 0:
				r := pair.cached.scheduler.shards[0].outstanding[0]
				ended++
				result := []Result{Served, Served, Served, Served, ServerError, Rejected, NoAnswer, ConnectionLost}[rng.IntN(8)]
				ev = Outcome{ID: r.ID, Node: "n0", Attempt: r.attempts - 1, Done: result == Served, Elapsed: now - r.sentAt, Result: result}
			case rng.IntN(20) == 0:
				started := 0.0
				if rng.IntN(2) == 0 {
					started = now
				}
				ev = NodeList{Full: true, Nodes: []Node{{Addr: "n0", Health: Ready, Started: started}}}
			default:
				continue
			}
			pair.applyToBoth(func(h *harness) { h.handle(ev) })
		}
		total += ended
	}
	if total < 3000 {
		t.Fatalf("%d attempts ended with all seeds, want at least 3000", total)
	}
}

// BenchmarkLimitedQueue measures what caching the times at which limits open saves while a limit holds
// thousands of requests: the ratio of the time of an event with the cache to that without.
func BenchmarkLimitedQueue(b *testing.B) {
	run := func(uncached bool) time.Duration {
		s := testSettings()
		s.Plans[0].Limit, s.Plans[0].Burst, s.Plans[0].Overdraft = 0.001, 8, 4
		h := newHarness(s)
		h.setNodes(Node{Addr: "n0", Health: Ready})
		for k := range 5000 {
			h.handle(Request{ID: fmt.Sprintf("l%d", k), Class: "read", Plan: "low", Volume: "v", Units: 4, Expires: h.now + 1e9, Hosts: 1})
		}
		start := time.Now()
		for k := range 1000 {
			h.now += 0.1
			if uncached {
				h.scheduler.shards[0].flows[0].limitedUntil, h.scheduler.shards[0].deferredLimitedUntil = 0, 0
			}
			h.handle(Request{ID: fmt.Sprintf("h%d", k), Class: "write", Plan: "high", Volume: "w", Units: 1, Expires: h.now + 1000, Hosts: 1})
			for _, r := range slices.Clone(h.scheduler.shards[0].outstanding) {
				h.endAttempt(r.ID, Served)
			}
		}
		return time.Since(start)
	}
	for b.Loop() {
		b.ReportMetric(float64(run(false))/float64(run(true)), "remembered/forgotten")
	}
}
