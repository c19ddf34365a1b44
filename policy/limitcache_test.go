package policy

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// schedulerPair are two schedulers of one seed; the second looks through every queue at every
// send, as if nothing were remembered of limits.
type schedulerPair struct {
	t                *testing.T
	cached, uncached *harness
}

func newSchedulerPair(t *testing.T) *schedulerPair {
	s := testSettings()
	s.Plans[0].Limit, s.Plans[0].Burst, s.Plans[0].Overdraft = 40, 8, 4
	tw := &schedulerPair{t, newHarness(s), newHarness(s)}
	tw.uncached.beforeEvent = func() {
		for _, sh := range tw.uncached.scheduler.shards {
			sh.deferredLimitedUntil = 0
			for i := range sh.flows {
				sh.flows[i].limitedUntil = 0
			}
		}
	}
	tw.applyToBoth(func(g *harness) { g.setNodes(Node{Addr: "n0", Health: Ready}) })
	return tw
}

// applyToBoth does the same to the two, whose timers are their own, and compares what they
// decided and when. Timers are left out: without memory some are set for times that
// nothing comes of.
func (tw *schedulerPair) applyToBoth(f func(g *harness)) {
	tw.t.Helper()
	var acts [2][]Action
	var when [2][]float64
	for k, g := range []*harness{tw.cached, tw.uncached} {
		g.actions, g.actionTimes = nil, nil
		f(g)
		for i, a := range g.actions {
			if _, timer := a.(SetTimer); !timer {
				switch s := a.(type) {
				case Send: // its end is reckoned from the moment of sending
					s.TimeoutAt = 0
					a = s
				case Refuse: // the reason tells when a limit was last looked at, and decides nothing
					s.Cause = ReasonNone
					a = s
				case Fail:
					s.Cause = ReasonNone
					a = s
				}
				acts[k], when[k] = append(acts[k], a), append(when[k], g.actionTimes[i])
			}
		}
	}
	if !slices.Equal(acts[0], acts[1]) || !slices.EqualFunc(when[0], when[1], func(x, y float64) bool { return math.Abs(x-y) < 1e-3 }) {
		tw.t.Fatalf("%v at %v\n%v at %v without memory", acts[0], when[0], acts[1], when[1])
	}
}

// What is remembered of limits changes no decision.
func TestLimitCacheChangesNoDecision(t *testing.T) {
	total := 0
	for seed := range uint64(60) {
		rng := rand.New(rand.NewPCG(seed, 1))
		tw := newSchedulerPair(t)
		sends := 0
		for k := range 1500 {
			wait := rng.Float64() * 8
			tw.applyToBoth(func(g *harness) { g.advance(wait) })
			now := tw.cached.now
			var ev Event
			switch x := rng.IntN(10); {
			case x < 6:
				plan := "low"
				if rng.IntN(4) == 0 {
					plan = "high"
				}
				ev = Request{ID: fmt.Sprintf("%016x", k), Class: []string{"read", "write", "turns"}[rng.IntN(3)], Plan: plan, Key: fmt.Sprint(rng.IntN(4)), Volume: fmt.Sprint(plan, rng.IntN(3)), Units: 1 + float64(rng.IntN(4)), Expires: now + 1000, Hosts: 1}
			case x < 9 && len(tw.cached.scheduler.shards) > 0 && len(tw.cached.scheduler.shards[0].outstanding) > 0:
				r := tw.cached.scheduler.shards[0].outstanding[0]
				sends++
				res := []Result{Served, Served, Served, Served, ServerError, Rejected, NoAnswer, ConnectionLost}[rng.IntN(8)]
				ev = Outcome{ID: r.ID, Node: "n0", Attempt: r.attempts - 1, Done: res == Served, Elapsed: now - r.sentAt, Result: res}
			case rng.IntN(20) == 0:
				started := 0.0
				if rng.IntN(2) == 0 {
					started = now
				}
				ev = NodeList{Full: true, Nodes: []Node{{Addr: "n0", Health: Ready, Started: started}}}
			default:
				continue
			}
			tw.applyToBoth(func(g *harness) { g.handle(ev) })
		}
		total += sends
	}
	if total < 3000 {
		t.Fatalf("only %d sends", total)
	}
}

// BenchmarkLimitedQueue is the cost of an event while a limit holds thousands of requests:
// the time with what is remembered over the time without.
func BenchmarkLimitedQueue(b *testing.B) {
	run := func(forget bool) time.Duration {
		s := testSettings()
		s.Plans[0].Limit, s.Plans[0].Burst, s.Plans[0].Overdraft = 0.001, 8, 4
		g := newHarness(s)
		g.setNodes(Node{Addr: "n0", Health: Ready})
		for k := range 5000 {
			g.handle(Request{ID: fmt.Sprintf("l%d", k), Class: "read", Plan: "low", Volume: "v", Units: 4, Expires: g.now + 1e9, Hosts: 1})
		}
		begin := time.Now()
		for k := range 1000 {
			g.now += 0.1
			if forget {
				g.scheduler.shards[0].flows[0].limitedUntil, g.scheduler.shards[0].deferredLimitedUntil = 0, 0
			}
			g.handle(Request{ID: fmt.Sprintf("h%d", k), Class: "write", Plan: "high", Volume: "w", Units: 1, Expires: g.now + 1000, Hosts: 1})
			for _, r := range slices.Clone(g.scheduler.shards[0].outstanding) {
				g.endAttempt(r.ID, Served)
			}
		}
		return time.Since(begin)
	}
	for b.Loop() {
		b.ReportMetric(float64(run(false))/float64(run(true)), "remembered/forgotten")
	}
}
