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

// gatewaySettings are those of one gateway of three before nine disk servers.
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

// timedOutcome is an outcome on its way.
type timedOutcome struct {
	at      float64
	outcome Outcome
}

type outcomeHeap []timedOutcome

func (r outcomeHeap) Len() int           { return len(r) }
func (r outcomeHeap) Less(i, j int) bool { return r[i].at < r[j].at }
func (r outcomeHeap) Swap(i, j int)      { r[i], r[j] = r[j], r[i] }
func (r *outcomeHeap) Push(x any)        { *r = append(*r, x.(timedOutcome)) }
func (r *outcomeHeap) Pop() any {
	old := *r
	x := old[len(old)-1]
	*r = old[:len(old)-1]
	return x
}

// idleFleetSim answers every attempt after 1 ms, but turns 2% of the first ones away.
type idleFleetSim struct {
	scheduler Scheduler
	rng       *rand.Rand
	now       float64
	outcomes  outcomeHeap
	timers    outcomeHeap // Outcome.ID is the timer's name
	attempts  map[string]int
	countFrom int // requests from this number on are counted
	unserved  int // of them, refused or failed
}

func (f *idleFleetSim) handle(ev Event) {
	for _, a := range f.scheduler.Handle(f.now, ev) {
		switch a := a.(type) {
		case Send:
			n := f.attempts[a.ID]
			f.attempts[a.ID]++
			o := Outcome{ID: a.ID, Node: a.Node, Attempt: n, Done: true, Elapsed: 1, Result: Served}
			if n == 0 && f.rng.Float64() < 0.02 {
				o.Done, o.Result = false, Rejected
			}
			heap.Push(&f.outcomes, timedOutcome{f.now + 1, o})
		case Refuse:
			f.countUnserved(a.ID)
		case Fail:
			f.countUnserved(a.ID)
		case SetTimer:
			heap.Push(&f.timers, timedOutcome{f.now + max(a.Delay, 0.001), Outcome{ID: a.Name}})
		}
	}
}

func (f *idleFleetSim) countUnserved(id string) {
	delete(f.attempts, id)
	if n, err := strconv.Atoi(id); err == nil && n >= f.countFrom {
		f.unserved++
	}
}

// runUntil plays everything that comes due before t.
func (f *idleFleetSim) runUntil(t float64) {
	for {
		nextOut, nextTimer := t, t
		if len(f.outcomes) > 0 {
			nextOut = f.outcomes[0].at
		}
		if len(f.timers) > 0 {
			nextTimer = f.timers[0].at
		}
		switch {
		case nextOut >= t && nextTimer >= t:
			f.now = t
			return
		case nextOut <= nextTimer:
			r := heap.Pop(&f.outcomes).(timedOutcome)
			f.now = r.at
			if r.outcome.Result == Served {
				delete(f.attempts, r.outcome.ID)
			}
			f.handle(r.outcome)
		default:
			r := heap.Pop(&f.timers).(timedOutcome)
			f.now = r.at
			f.handle(TimerFired{Name: r.outcome.ID})
		}
	}
}

// offerLoad asks for that rate a second for so many ms and returns the requests asked.
func (f *idleFleetSim) offerLoad(rate, span float64, from int) int {
	end := f.now + span
	n := from
	for {
		next := f.now + f.rng.ExpFloat64()*1000/rate
		if next >= end {
			f.runUntil(end)
			return n - from
		}
		f.runUntil(next)
		n++
		v := f.rng.IntN(40)
		class, plan := "read", "normal"
		if f.rng.Float64() < 0.3 {
			class = "write"
		}
		if v%2 == 1 {
			plan = "prioritario"
		}
		f.handle(Request{ID: strconv.Itoa(n), Class: class, Plan: plan, Volume: "v" + strconv.Itoa(v), Shard: f.rng.IntN(9),
			Units: float64(1 + f.rng.IntN(3)), Expires: f.now + 2000, Hosts: 3, Write: class == "write"})
	}
}

func newIdleFleetSim() *idleFleetSim {
	f := &idleFleetSim{scheduler: New(gatewaySettings(), 1), rng: rand.New(rand.NewPCG(1, 2)), now: 1000, attempts: map[string]int{}}
	var nodes []Node
	for i := range 9 {
		nodes = append(nodes, Node{Addr: fmt.Sprintf("n%d", i), Health: Ready, Shard: i, Weight: 1})
	}
	f.handle(NodeList{Full: true, Nodes: nodes})
	return f
}

// BenchmarkRate measures the module at a gateway's rates: its cost for a request
// and, of an idle fleet, the part refused after the first two seconds.
func BenchmarkRate(b *testing.B) {
	for _, rate := range []float64{500, 5000, 50000} {
		b.Run(fmt.Sprintf("rate=%.0f", rate), func(b *testing.B) {
			var asked, turned int
			var took time.Duration
			for b.Loop() {
				f := newIdleFleetSim()
				n := f.offerLoad(rate, 2000, 0)
				f.countFrom = n + 1
				begin := time.Now()
				asked += f.offerLoad(rate, 3000, n)
				took += time.Since(begin)
				f.runUntil(f.now + 5000) // to the end of all that was asked
				turned += f.unserved
			}
			b.ReportMetric(float64(took.Microseconds())/float64(asked), "us/request")
			b.ReportMetric(100*float64(turned)/float64(asked), "%refused")
		})
	}
}

// At thousands of requests a second a node that turns a few away is not full: a
// pause for each of them would keep an idle fleet from work, and a depth that
// rises by the law's small steps would take a minute to give it enough.
func TestIdleFleetAtHighRate(t *testing.T) {
	f := newIdleFleetSim()
	n := f.offerLoad(20000, 3000, 0)
	f.countFrom = n + 1
	asked := f.offerLoad(20000, 1000, n)
	f.runUntil(f.now + 5000)
	if f.unserved*100 > asked {
		t.Errorf("%d of %d refused by an idle fleet", f.unserved, asked)
	}
}

// A node that turns most away is left alone, at any rate.
func TestBackoffFromFullNode(t *testing.T) {
	f := newIdleFleetSim()
	f.offerLoad(20000, 3000, 0)
	sh := f.scheduler.(*scheduler).shards[0]
	for range 200 { // a whole queue stands before what comes now
		sh.node.rejectedShort.add(f.now, rejectSpan)
	}
	f.handle(Request{ID: "x", Class: "read", Plan: "normal", Volume: "v", Shard: 0, Units: 1, Expires: f.now + 2000, Hosts: 3})
	f.handle(Outcome{ID: "x", Node: sh.node.Addr, Result: Rejected})
	if sh.node.backoffEnd <= f.now {
		t.Error("not left alone")
	}
}

// What the module remembers of the past does not grow with the time that it runs.
func TestMemoryIsBounded(t *testing.T) {
	f := newIdleFleetSim()
	n := f.offerLoad(5000, 8000, 0)
	size := func() int {
		p := f.scheduler.(*scheduler)
		all := len(p.timers) + len(p.arrivals.all) + len(p.resends.all) + len(p.requests) + len(p.answers)
		for _, nd := range p.nodes {
			all += len(nd.recentSends.all)
		}
		for _, sh := range p.shards {
			all += len(sh.deferred.all) + len(sh.retries.all)
		}
		return all
	}
	before := size()
	f.offerLoad(5000, 8000, n)
	if after := size(); after > before+before/2 {
		t.Errorf("%d records after 8 s, %d after 16 s", before, after)
	}
}

// A limit's parts pass between two hosts again and again: whatever is asked of both, they
// never pass it together, what is given back is spent, and nothing that a large part held
// waits for a small one's pace for ever.
func TestLimitHoldsWhileFractionsMove(t *testing.T) {
	s := testSettings()
	s.Plans[0].Limit, s.Plans[0].Burst, s.Plans[0].Overdraft = 40, 8, 4
	var rigs [2]*harness
	for i := range rigs {
		rigs[i] = newHarness(s)
		rigs[i].now = 100
	}
	const none = 1e-9
	parts := [2]float64{0.5, 0.5}
	since := [2]float64{}
	type passed struct{ at, units float64 }
	var all []passed
	rng := rand.New(rand.NewPCG(5, 5))
	for step := range 4000 {
		for i, g := range rigs {
			g.requestCount++
			id := fmt.Sprint(i, "-", g.requestCount)
			g.handle(Request{ID: id, Class: "read", Plan: "low", Volume: "v", Units: 1 + float64(rng.IntN(3)), Expires: g.now + 400, Hosts: 1, Fraction: parts[i], FractionSince: since[i]})
			g.advance(5)
			for k := 0; k < len(g.actions); k++ { // those of the last change too
				if s, ok := g.actions[k].(Send); ok {
					all = append(all, passed{g.actionTimes[k], g.scheduler.requests[s.ID].Units})
					g.handle(Outcome{ID: s.ID, Node: "n0", Attempt: 0, Done: true, Elapsed: 1, Result: Served})
				}
			}
			g.actions, g.actionTimes = g.actions[:0], g.actionTimes[:0]
		}
		if step%300 != 299 {
			continue
		}
		// First everyone gives up what it is to have no more, then others get it.
		next := [][2]float64{{0.5, 0.5}, {1, none}, {none, 1}, {0.25, 0.5}}[rng.IntN(4)]
		for i, g := range rigs {
			parts[i] = min(parts[i], next[i])
			g.handle(VolumeChanged{"v", 1, parts[i]})
		}
		for i, g := range rigs {
			if next[i] > parts[i] {
				parts[i], since[i] = next[i], g.now
				g.handle(VolumeChanged{"v", 1, parts[i]})
			}
		}
	}
	slices.SortStableFunc(all, func(a, b passed) int { return cmp.Compare(a.at, b.at) })
	level, at, total := s.Plans[0].Burst, 0.0, 0.0
	for _, x := range all {
		level, at = min(level+s.Plans[0].Limit*(x.at-at)/1000, s.Plans[0].Burst)-x.units, x.at
		if total += x.units; level < -s.Plans[0].Overdraft-1e-9 {
			t.Fatalf("%.2f units below the limit at %.0f", -level, x.at)
		}
	}
	if asked := s.Plans[0].Limit * rigs[0].now / 1000; total < 0.6*asked {
		t.Errorf("%.0f units passed, the limit bears %.0f", total, asked)
	}
}

// Units that attempts hold which find no connection come back, but not what the bucket would
// have lost to its cap meanwhile: what passes keeps to the limit in every window.
func TestUnitsThatComeBackFillNothing(t *testing.T) {
	s := testSettings()
	s.Rules.MaxSendDelay, s.Limits.MaxAttempts = 300, 4
	s.Plans[0] = Plan{Name: "low", Price: 1, Weight: 1, Limit: 17, Burst: 36, Overdraft: 6}
	g := newHarness(s)
	nodes := []Node{{Addr: "n0", Health: Ready, Shard: 0, Zone: "z"}}
	for shard := 1; shard <= 60; shard++ { // none of them can be reached
		nodes = append(nodes, Node{Addr: fmt.Sprint("cut", shard), Health: Ready, Shard: shard, Zone: "z"})
	}
	g.setNodes(nodes...)
	ask := func(shard int, units float64) {
		g.requestCount++
		g.handle(Request{ID: fmt.Sprint("r", g.requestCount), Class: "read", Plan: "low", Volume: "v", Shard: shard, Units: units, Expires: g.now + 1000, Hosts: 1})
	}
	type ending struct {
		at float64
		o  Outcome
	}
	var out []ending
	level, filled, lowest, passed := 36.0, g.now, 0.0, 0
	seen := len(g.actions)
	take := func() {
		for ; seen < len(g.actions); seen++ {
			send, ok := g.actions[seen].(Send)
			if !ok {
				continue
			}
			r := g.scheduler.requests[send.ID]
			end := ending{g.now + 250, Outcome{ID: send.ID, Node: send.Node, Result: NoConnection, Attempt: r.attempts - 1, Elapsed: 250}}
			if send.Node == "n0" {
				level = min(36, level+17*(g.now-filled)/1000) - r.Units
				filled, lowest, passed = g.now, min(lowest, level), passed+1
				end = ending{g.now + 20, Outcome{ID: send.ID, Node: send.Node, Result: Served, Done: true, Attempt: r.attempts - 1, Elapsed: 20}}
			}
			out = append(out, end)
		}
	}
	for step := range 9000 {
		g.advance(1)
		take()
		for i := 0; i < len(out); i++ {
			if out[i].at <= g.now {
				end := out[i]
				out = slices.Delete(out, i, i+1)
				i--
				g.handle(end.o)
				take()
			}
		}
		if step > 1000 && step%80 == 0 {
			ask(1+step/80%60, 4)
		}
		if step > 3000 && step%20 == 0 {
			ask(0, 1)
		}
		take()
	}
	if lowest < -6 || passed < 100 {
		t.Errorf("%d passed, the bucket fell to %.1f, -6 is allowed", passed, lowest)
	}
}

// Units that were taken under a larger part of the limit and come back find the smaller one.
func TestRefundUnderSmallerFraction(t *testing.T) {
	s := testSettings()
	s.Rules.MaxSendDelay, s.Limits.MaxAttempts = 300, 4
	s.Plans[0] = Plan{Name: "low", Price: 1, Weight: 1, Limit: 17, Burst: 36, Overdraft: 6}
	nodes := []Node{{Addr: "n0", Health: Ready, Shard: 0, Zone: "z"}}
	for shard := 1; shard <= 5; shard++ {
		nodes = append(nodes, Node{Addr: fmt.Sprint("cut", shard), Health: Ready, Shard: shard, Zone: "z"})
	}
	g := newHarness(s)
	g.setNodes(nodes...)
	g.advance(5000)
	ask := func(shard int, units float64, hosts int) string {
		g.requestCount++
		id := fmt.Sprint("r", g.requestCount)
		g.handle(Request{ID: id, Class: "read", Plan: "low", Volume: "v", Shard: shard, Units: units, Expires: g.now + 1000, Hosts: hosts})
		return id
	}
	var cut []string
	for shard := 1; shard <= 5; shard++ {
		cut = append(cut, ask(shard, 4, 1))
	}
	passed := 0.0
	flood := func() {
		for range 40 {
			id := ask(0, 1, 3)
			if g.sendCount(id) > 0 {
				passed++
				g.endAttempt(id, Served)
			}
		}
	}
	flood() // what the smaller part has
	for i, id := range cut {
		g.handle(Outcome{ID: id, Node: fmt.Sprint("cut", i+1), Result: NoConnection, Done: true, Elapsed: 250})
	}
	flood() // and what came back
	if part := 36.0/3 + 6.0/3; passed > part {
		t.Errorf("%v units passed at once, its part is %v", passed, part)
	}
}
