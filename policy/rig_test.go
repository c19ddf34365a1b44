package policy

import (
	"fmt"
	"slices"
)

func settings() Settings {
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

// rig drives one scheduler and keeps what it did.
type rig struct {
	p    *scheduler
	now  float64
	acts []Action
	at   map[string]float64
	n    int
	when []float64 // of acts
	// before, if set, is called before each event.
	before func()
}

func newRig(s Settings) *rig {
	g := &rig{p: newScheduler(s, 1), now: 1000, at: map[string]float64{}}
	g.list(Node{Addr: "n0", Health: Ready, Shard: 0, Zone: "z"})
	return g
}

func (g *rig) do(ev Event) []Action {
	if g.before != nil {
		g.before()
	}
	got := slices.Clone(g.p.Handle(g.now, ev))
	for _, a := range got {
		g.when = append(g.when, g.now)
		if t, ok := a.(SetTimer); ok {
			g.at[t.Name] = g.now + t.Delay
		}
	}
	g.acts = append(g.acts, got...)
	return got
}

func (g *rig) list(n ...Node) []Action { return g.do(NodeList{Full: true, Nodes: n}) }

func (g *rig) ask(class, plan, key string, units float64) string {
	g.n++
	id := fmt.Sprintf("%016x", g.n)
	g.do(Request{ID: id, Class: class, Plan: plan, Volume: plan, Units: units, Key: key,
		Expires: g.now + 1000, Hosts: 1})
	return id
}

// pass lets time go by, firing timers.
func (g *rig) pass(d float64) {
	for end := g.now + d; ; {
		name, at := "", end
		for _, n := range []string{"second", "wake"} {
			if t, ok := g.at[n]; ok && t <= at {
				name, at = n, t
			}
		}
		g.now = at
		if name == "" {
			return
		}
		delete(g.at, name)
		g.do(TimerFired{name})
	}
}

func (g *rig) end(id string, res Result) {
	n := g.sends(id)
	g.do(Outcome{ID: id, Node: "n0", Attempt: n - 1, Done: res == Served, Elapsed: 20, Result: res})
}

func (g *rig) sends(id string) (n int) {
	for _, a := range g.acts {
		if s, ok := a.(Send); ok && s.ID == id {
			n++
		}
	}
	return n
}

func (g *rig) final(id string) string {
	got := ""
	for _, a := range g.acts {
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
