package policy

import (
	"cmp"
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"testing"
	"time"
)

// gatewaySettings returns the settings of one of three gateways in front of nine disk servers.
func gatewaySettings() Settings {
	return Settings{Hosts: 3, Tick: 1, Shards: 9, MeanUnits: 2, MaxUnits: 6, FairFactor: 1, SpareFactor: 0.05,
		Classes: []Class{
			{Name: "read", Value: 2, LateValue: 0.1, LatencyTarget: 300, Deadline: 2000, Effect: Idempotent},
			{Name: "write", Value: 3, LateValue: 0.15, LatencyTarget: 500, Deadline: 4000, Effect: Keyed, DedupWindow: 6000},
		},
		Plans:  []Plan{{Name: "normal", Price: 1, Weight: 3, Rate: 5}, {Name: "prioritario", Price: 1.5, Weight: 6, Rate: 8}},
		Limits: Limits{MaxAttempts: 4, RetryAfter: 500},
		Rules: Rules{AnswerSlack: 8, DrainGrace: 500, OverloadFactor: 2, OverloadWindow: 1500, ColdCapacity: 0.2, WarmUpTime: 17000, ColdUnits: 26,
			HasBudget: true, BudgetBase: 3, BudgetRatio: 0.25, BudgetWindow: 5000}}
}

// timedOutcome is an outcome to be delivered, or a timer to be fired, at dueAt.
type timedOutcome struct {
	dueAt   float64
	outcome Outcome
}

// outcomeHeap is a heap.Interface with the earliest entry first.
type outcomeHeap []timedOutcome

func (h outcomeHeap) Len() int           { return len(h) }
func (h outcomeHeap) Less(i, j int) bool { return h[i].dueAt < h[j].dueAt }
func (h outcomeHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *outcomeHeap) Push(x any)        { *h = append(*h, x.(timedOutcome)) }
func (h *outcomeHeap) Pop() any {
	old := *h
	x := old[len(old)-1]
	*h = old[:len(old)-1]
	return x
}

// idleFleetSim simulates one host and nodes that answer every attempt after 1 ms, but reject 2% of the
// first attempts.
type idleFleetSim struct {
	scheduler Scheduler
	rng       *rand.Rand
	now       float64
	outcomes  outcomeHeap
	timers    outcomeHeap    // with the timer's name as Outcome.ID
	attempts  map[string]int // sent for each request that is not over
	countFrom int            // lowest number of a request that unserved counts
	unserved  int            // requests that were refused or failed
}

func (sim *idleFleetSim) handle(ev Event) {
	for _, a := range sim.scheduler.Handle(sim.now, ev) {
		switch a := a.(type) {
		case Send:
			attempt := sim.attempts[a.ID]
			sim.attempts[a.ID]++
			outcome := Outcome{ID: a.ID, Node: a.Node, Attempt: attempt, Done: true, Elapsed: 1, Result: Served}
			if attempt == 0 && sim.rng.Float64() < 0.02 {
				outcome.Done, outcome.Result = false, Rejected
			}
			heap.Push(&sim.outcomes, timedOutcome{sim.now + 1, outcome})
		case Refuse:
			sim.countUnserved(a.ID)
		case Fail:
			sim.countUnserved(a.ID)
		case SetTimer:
			heap.Push(&sim.timers, timedOutcome{sim.now + max(a.Delay, 0.001), Outcome{ID: a.Name}})
		}
	}
}

// countUnserved counts a request that was refused or failed.
func (sim *idleFleetSim) countUnserved(id string) {
	delete(sim.attempts, id)
	if n, err := strconv.Atoi(id); err == nil && n >= sim.countFrom {
		sim.unserved++
	}
}

// runUntil delivers the outcomes and fires the timers that are due before end.
func (sim *idleFleetSim) runUntil(end float64) {
	for {
		nextOutcome, nextTimer := end, end
		if len(sim.outcomes) > 0 {
			nextOutcome = sim.outcomes[0].dueAt
		}
		if len(sim.timers) > 0 {
			nextTimer = sim.timers[0].dueAt
		}
		switch {
		case nextOutcome >= end && nextTimer >= end:
			sim.now = end
			return
		case nextOutcome <= nextTimer:
			due := heap.Pop(&sim.outcomes).(timedOutcome)
			sim.now = due.dueAt
			if due.outcome.Result == Served {
				delete(sim.attempts, due.outcome.ID)
			}
			sim.handle(due.outcome)
		default:
			due := heap.Pop(&sim.timers).(timedOutcome)
			sim.now = due.dueAt
			sim.handle(TimerFired{Name: due.outcome.ID})
		}
	}
}

// offerLoad submits requests, numbered from lastID+1 on, at that rate a second for duration ms, and returns
// their number.
func (sim *idleFleetSim) offerLoad(rate, duration float64, lastID int) int {
	end := sim.now + duration
	id := lastID
	for {
		next := sim.now + sim.rng.ExpFloat64()*1000/rate
		if next >= end {
			sim.runUntil(end)
			return id - lastID
		}
		sim.runUntil(next)
		id++
		volume := sim.rng.IntN(40)
		class, plan := "read", "normal"
		if sim.rng.Float64() < 0.3 {
			class = "write"
		}
		if volume%2 == 1 {
			plan = "prioritario"
		}
		sim.handle(Request{ID: strconv.Itoa(id), Class: class, Plan: plan, Volume: "v" + strconv.Itoa(volume), Shard: sim.rng.IntN(9),
			Units: float64(1 + sim.rng.IntN(3)), Expires: sim.now + 2000, Hosts: 3, Write: class == "write"})
	}
}

// newIdleFleetSim returns a simulation of nine nodes.
func newIdleFleetSim() *idleFleetSim {
	sim := &idleFleetSim{scheduler: New(gatewaySettings(), 1), rng: rand.New(rand.NewPCG(1, 2)), now: 1000, attempts: map[string]int{}}
	var nodes []Node
	for i := range 9 {
		nodes = append(nodes, Node{Addr: fmt.Sprintf("n%d", i), Health: Ready, Shard: i, Weight: 1})
	}
	sim.handle(NodeList{Full: true, Nodes: nodes})
	return sim
}

// BenchmarkRate measures the scheduler at a gateway's rates: the cost of a request, and the percentage
// that ends unserved with an idle fleet after the first two seconds.
func BenchmarkRate(b *testing.B) {
	for _, rate := range []float64{500, 5000, 50000} {
		b.Run(fmt.Sprintf("rate=%.0f", rate), func(b *testing.B) {
			var requests, unserved int
			var elapsed time.Duration
			for b.Loop() {
				sim := newIdleFleetSim()
				warmUp := sim.offerLoad(rate, 2000, 0)
				sim.countFrom = warmUp + 1
				start := time.Now()
				requests += sim.offerLoad(rate, 3000, warmUp)
				elapsed += time.Since(start)
				sim.runUntil(sim.now + 5000) // until every request has ended
				unserved += sim.unserved
			}
			b.ReportMetric(float64(elapsed.Microseconds())/float64(requests), "us/request")
			b.ReportMetric(100*float64(unserved)/float64(requests), "%refused")
		})
	}
}

// At thousands of requests a second, a backoff after each of a few rejections would keep an idle fleet
// from work, and so would a depth that rises only by small steps.
func TestIdleFleetAtHighRate(t *testing.T) {
	sim := newIdleFleetSim()
	warmUp := sim.offerLoad(20000, 3000, 0)
	sim.countFrom = warmUp + 1
	requests := sim.offerLoad(20000, 1000, warmUp)
	sim.runUntil(sim.now + 5000)
	if sim.unserved*100 > requests {
		t.Errorf("%d of %d requests unserved by an idle fleet, want at most 1 in 100", sim.unserved, requests)
	}
}

// A node that rejects most attempts must be left alone for a while, at any rate of requests.
func TestBackoffFromFullNode(t *testing.T) {
	sim := newIdleFleetSim()
	sim.offerLoad(20000, 3000, 0)
	sh := sim.scheduler.(*scheduler).shards[0]
	for range 200 { // as if the node had just rejected a whole queue
		sh.node.rejectedShort.add(sim.now, rejectSpan)
	}
	sim.handle(Request{ID: "x", Class: "read", Plan: "normal", Volume: "v", Shard: 0, Units: 1, Expires: sim.now + 2000, Hosts: 3})
	sim.handle(Outcome{ID: "x", Node: sh.node.Addr, Result: Rejected})
	if sh.node.backoffEnd <= sim.now {
		t.Error("no backoff after most attempts were rejected, want one")
	}
}

// What the scheduler keeps of the past must not grow with its running time.
func TestMemoryIsBounded(t *testing.T) {
	sim := newIdleFleetSim()
	lastID := sim.offerLoad(5000, 8000, 0)
	recordCount := func() int {
		p := sim.scheduler.(*scheduler)
		total := len(p.timers) + len(p.recentArrivals.entries) + len(p.recentRetries.entries) + len(p.requests) + len(p.serviceSamples)
		for _, n := range p.nodes {
			total += len(n.recentSends.entries)
		}
		for _, sh := range p.shards {
			total += len(sh.deferred.entries) + len(sh.retries.entries)
		}
		return total
	}
	before := recordCount()
	sim.offerLoad(5000, 8000, lastID)
	if after := recordCount(); after > before+before/2 {
		t.Errorf("%d records after 8 s, %d after 16 s, want at most half as many again", before, after)
	}
}

// While fractions of a limit move between two hosts under overload, the hosts together must never exceed
// the limit. What one gives up must be used, and requests that waited under a large fraction must not
// wait forever under a small one.
func TestLimitHoldsWhileFractionsMove(t *testing.T) {
	s := testSettings()
	s.Plans[0].Limit, s.Plans[0].Burst, s.Plans[0].Overdraft = 40, 8, 4
	var hosts [2]*harness
	for i := range hosts {
		hosts[i] = newHarness(s)
		hosts[i].now = 100
	}
	const negligible = 1e-9
	fractions := [2]float64{0.5, 0.5}
	since := [2]float64{}
	type limitedSend struct{ sentAt, units float64 }
	var sends []limitedSend
	rng := rand.New(rand.NewPCG(5, 5))
	for step := range 4000 {
		for i, h := range hosts {
			h.requestCount++
			id := fmt.Sprint(i, "-", h.requestCount)
			h.handle(Request{ID: id, Class: "read", Plan: "low", Volume: "v", Units: 1 + float64(rng.IntN(3)), Expires: h.now + 400, Hosts: 1, Fraction: fractions[i], FractionSince: since[i]})
			h.advance(5)
			for k := 0; k < len(h.actions); k++ { // including sends caused by the last VolumeChanged
				if send, ok := h.actions[k].(Send); ok {
					sends = append(sends, limitedSend{h.actionTimes[k], h.scheduler.requests[send.ID].Units})
					h.handle(Outcome{ID: send.ID, Node: "n0", Attempt: 0, Done: true, Elapsed: 1, Result: Served})
				}
			}
			h.actions, h.actionTimes = h.actions[:0], h.actionTimes[:0]
		}
		if step%300 != 299 {
			continue
		}
		// Fractions are reduced first and only then increased elsewhere.
		next := [][2]float64{{0.5, 0.5}, {1, negligible}, {negligible, 1}, {0.25, 0.5}}[rng.IntN(4)]
		for i, h := range hosts {
			fractions[i] = min(fractions[i], next[i])
			h.handle(VolumeChanged{"v", 1, fractions[i]})
		}
		for i, h := range hosts {
			if next[i] > fractions[i] {
				fractions[i], since[i] = next[i], h.now
				h.handle(VolumeChanged{"v", 1, fractions[i]})
			}
		}
	}
	slices.SortStableFunc(sends, func(a, b limitedSend) int { return cmp.Compare(a.sentAt, b.sentAt) })
	level, levelAt, total := s.Plans[0].Burst, 0.0, 0.0
	for _, send := range sends {
		level, levelAt = min(level+s.Plans[0].Limit*(send.sentAt-levelAt)/1000, s.Plans[0].Burst)-send.units, send.sentAt
		if total += send.units; level < -s.Plans[0].Overdraft-1e-9 {
			t.Fatalf("%.2f units below the limit's empty bucket at %.0f ms, want at most the overdraft", -level, send.sentAt)
		}
	}
	if allowed := s.Plans[0].Limit * hosts[0].now / 1000; total < 0.6*allowed {
		t.Errorf("sent %.0f units, want at least 0.6 of the %.0f that the limit admits", total, allowed)
	}
}

// Units charged by attempts that found no connection must be refunded, but not those that the full bucket
// would have discarded meanwhile: the units sent must keep to the limit in every window.
func TestUnitsThatComeBackFillNothing(t *testing.T) {
	s := testSettings()
	s.Rules.MaxSendDelay, s.Limits.MaxAttempts = 300, 4
	s.Plans[0] = Plan{Name: "low", Price: 1, Weight: 1, Limit: 17, Burst: 36, Overdraft: 6}
	h := newHarness(s)
	nodes := []Node{{Addr: "n0", Health: Ready, Shard: 0, Zone: "z"}}
	for shard := 1; shard <= 60; shard++ { // none of them can be reached
		nodes = append(nodes, Node{Addr: fmt.Sprint("cut", shard), Health: Ready, Shard: shard, Zone: "z"})
	}
	h.setNodes(nodes...)
	submit := func(shard int, units float64) {
		h.requestCount++
		h.handle(Request{ID: fmt.Sprint("r", h.requestCount), Class: "read", Plan: "low", Volume: "v", Shard: shard, Units: units, Expires: h.now + 1000, Hosts: 1})
	}
	type pendingOutcome struct {
		deliverAt float64
		outcome   Outcome
	}
	var pending []pendingOutcome
	level, refilledAt, minLevel, passedCount := 36.0, h.now, 0.0, 0
	examined := len(h.actions)
	collectSends := func() {
		for ; examined < len(h.actions); examined++ {
			send, ok := h.actions[examined].(Send)
			if !ok {
				continue
			}
			r := h.scheduler.requests[send.ID]
			end := pendingOutcome{h.now + 250, Outcome{ID: send.ID, Node: send.Node, Result: NoConnection, Attempt: r.attempts - 1, Elapsed: 250}}
			if send.Node == "n0" {
				level = min(36, level+17*(h.now-refilledAt)/1000) - r.Units
				refilledAt, minLevel, passedCount = h.now, min(minLevel, level), passedCount+1
				end = pendingOutcome{h.now + 20, Outcome{ID: send.ID, Node: send.Node, Result: Served, Done: true, Attempt: r.attempts - 1, Elapsed: 20}}
			}
			pending = append(pending, end)
		}
	}
	for step := range 9000 {
		h.advance(1)
		collectSends()
		for i := 0; i < len(pending); i++ {
			if pending[i].deliverAt <= h.now {
				due := pending[i]
				pending = slices.Delete(pending, i, i+1)
				i--
				h.handle(due.outcome)
				collectSends()
			}
		}
		if step > 1000 && step%80 == 0 {
			submit(1+step/80%60, 4)
		}
		if step > 3000 && step%20 == 0 {
			submit(0, 1)
		}
		collectSends()
	}
	if minLevel < -6 || passedCount < 100 {
		t.Errorf("%d requests sent to n0, lowest bucket level %.1f; want at least 100 and at least -6", passedCount, minLevel)
	}
}

// Units that were charged while this host had the whole limit, and are refunded when it has a third, must
// not exceed that third.
func TestRefundUnderSmallerFraction(t *testing.T) {
	s := testSettings()
	s.Rules.MaxSendDelay, s.Limits.MaxAttempts = 300, 4
	s.Plans[0] = Plan{Name: "low", Price: 1, Weight: 1, Limit: 17, Burst: 36, Overdraft: 6}
	nodes := []Node{{Addr: "n0", Health: Ready, Shard: 0, Zone: "z"}}
	for shard := 1; shard <= 5; shard++ {
		nodes = append(nodes, Node{Addr: fmt.Sprint("cut", shard), Health: Ready, Shard: shard, Zone: "z"})
	}
	h := newHarness(s)
	h.setNodes(nodes...)
	h.advance(5000)
	submit := func(shard int, units float64, hosts int) string {
		h.requestCount++
		id := fmt.Sprint("r", h.requestCount)
		h.handle(Request{ID: id, Class: "read", Plan: "low", Volume: "v", Shard: shard, Units: units, Expires: h.now + 1000, Hosts: hosts})
		return id
	}
	var unreachable []string
	for shard := 1; shard <= 5; shard++ {
		unreachable = append(unreachable, submit(shard, 4, 1))
	}
	passedUnits := 0.0
	submitMany := func() {
		for range 40 {
			id := submit(0, 1, 3)
			if h.sendCount(id) > 0 {
				passedUnits++
				h.endAttempt(id, Served)
			}
		}
	}
	submitMany() // spends the third
	for i, id := range unreachable {
		h.handle(Outcome{ID: id, Node: fmt.Sprint("cut", i+1), Result: NoConnection, Done: true, Elapsed: 250})
	}
	submitMany() // and the refund
	if allowed := 36.0/3 + 6.0/3; passedUnits > allowed {
		t.Errorf("sent %v units at once, want at most %v", passedUnits, allowed)
	}
}
