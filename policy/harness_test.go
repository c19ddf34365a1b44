package policy

import (
	"fmt"
	"slices"
)

func testSettings() Settings {
	return Settings{
		Hosts: 1, Zone: "z", Tick: 1, MeanUnits: 2, MaxUnits: 4, FairFactor: 1, SpareFactor: 0.1,
		Classes: []Class{
			{Name: "read", Value: 2, LatencyTarget: 300, Deadline: 1000, Effect: Idempotent},
			{Name: "write", Value: 3, LatencyTarget: 500, Deadline: 2000, Effect: Keyed, DedupWindow: 800},
			{Name: "once", Value: 1, LatencyTarget: 500, Deadline: 2000, Effect: NonIdempotent},
			{Name: "turns", Value: 1, LatencyTarget: 500, Deadline: 2000, Effect: Idempotent, Ordered: true},
		},
		Plans: []Plan{
			{Name: "low", Price: 1, Weight: 1, Limit: 10, Burst: 8, Overdraft: 2},
			{Name: "high", Price: 2, Weight: 3},
		},
		Limits: Limits{MaxAttempts: 3, Duplicates: true, RetryAfter: 500},
		Rules: Rules{AnswerSlack: 8, DrainGrace: 500, OverloadWindow: 1000, ColdCapacity: 0.2, WarmUpTime: 10000,
			ColdUnits: 20, KeyHoldoff: 200},
	}
}

// harness drives one scheduler and keeps what it did.
type harness struct {
	scheduler    *scheduler
	now          float64
	actions      []Action
	timers       map[string]float64
	requestCount int
	actionTimes  []float64 // of acts
	// beforeEvent, if set, is called beforeEvent each event.
	beforeEvent func()
}

func newHarness(s Settings) *harness {
	g := &harness{scheduler: newScheduler(s, 1), now: 1000, timers: map[string]float64{}}
	g.setNodes(Node{Addr: "n0", Health: Ready, Shard: 0, Zone: "z"})
	return g
}

func (g *harness) handle(ev Event) []Action {
	if g.beforeEvent != nil {
		g.beforeEvent()
	}
	got := slices.Clone(g.scheduler.Handle(g.now, ev))
	for _, a := range got {
		g.actionTimes = append(g.actionTimes, g.now)
		if t, ok := a.(SetTimer); ok {
			g.timers[t.Name] = g.now + t.Delay
		}
	}
	g.actions = append(g.actions, got...)
	return got
}

func (g *harness) setNodes(n ...Node) []Action { return g.handle(NodeList{Full: true, Nodes: n}) }

func (g *harness) submit(class, plan, key string, units float64) string {
	g.requestCount++
	id := fmt.Sprintf("%016x", g.requestCount)
	g.handle(Request{ID: id, Class: class, Plan: plan, Volume: plan, Units: units, Key: key,
		Expires: g.now + 1000, Hosts: 1})
	return id
}

// advance lets time go by, firing timers.
func (g *harness) advance(d float64) {
	for end := g.now + d; ; {
		name, at := "", end
		for _, n := range []string{"second", "wake"} {
			if t, ok := g.timers[n]; ok && t <= at {
				name, at = n, t
			}
		}
		g.now = at
		if name == "" {
			return
		}
		delete(g.timers, name)
		g.handle(TimerFired{name})
	}
}

func (g *harness) endAttempt(id string, res Result) {
	n := g.sendCount(id)
	g.handle(Outcome{ID: id, Node: "n0", Attempt: n - 1, Done: res == Served, Elapsed: 20, Result: res})
}

func (g *harness) sendCount(id string) (n int) {
	for _, a := range g.actions {
		if s, ok := a.(Send); ok && s.ID == id {
			n++
		}
	}
	return n
}

func (g *harness) finalAnswers(id string) string {
	got := ""
	for _, a := range g.actions {
		switch a := a.(type) {
		case Refuse:
			if a.ID == id {
				got += "refuse"
			}
		case Fail:
			if a.ID == id {
				got += "fail"
			}
		}
	}
	return got
}
