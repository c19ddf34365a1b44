package policy

import (
	"fmt"
	"slices"
)

// testSettings returns the settings of a single host with an unlimited and a limited plan.
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

// harness drives the scheduler of one host with a simulated clock and records its actions.
type harness struct {
	scheduler    *scheduler
	now          float64
	actions      []Action
	timers       map[string]float64 // time at which each pending timer fires
	requestCount int
	actionTimes  []float64 // time of each action
	// beforeEvent, if set, is called before each event.
	beforeEvent func()
}

// newHarness returns a harness at 1000 ms with one ready node, n0, for shard 0.
func newHarness(settings Settings) *harness {
	h := &harness{scheduler: newScheduler(settings, 1), now: 1000, timers: map[string]float64{}}
	h.setNodes(Node{Addr: "n0", Health: Ready, Shard: 0, Zone: "z"})
	return h
}

// handle passes ev to the scheduler at the current time and records the actions.
func (h *harness) handle(ev Event) []Action {
	if h.beforeEvent != nil {
		h.beforeEvent()
	}
	emitted := slices.Clone(h.scheduler.Handle(h.now, ev))
	for _, a := range emitted {
		h.actionTimes = append(h.actionTimes, h.now)
		if t, ok := a.(SetTimer); ok {
			h.timers[t.Name] = h.now + t.Delay
		}
	}
	h.actions = append(h.actions, emitted...)
	return emitted
}

// setNodes replaces the node list.
func (h *harness) setNodes(nodes ...Node) []Action {
	return h.handle(NodeList{Full: true, Nodes: nodes})
}

// submit sends a request for shard 0 that expires in 1000 ms, with the plan's name as volume, and
// returns its ID.
func (h *harness) submit(class, plan, key string, units float64) string {
	h.requestCount++
	id := fmt.Sprintf("%016x", h.requestCount)
	h.handle(Request{ID: id, Class: class, Plan: plan, Volume: plan, Units: units, Key: key,
		Expires: h.now + 1000, Hosts: 1})
	return id
}

// advance moves the clock forward by duration, ms, and fires the timers that come due.
func (h *harness) advance(duration float64) {
	for end := h.now + duration; ; {
		nextTimer, nextTime := "", end
		for _, timer := range []string{"second", "wake"} {
			if fireTime, ok := h.timers[timer]; ok && fireTime <= nextTime {
				nextTimer, nextTime = timer, fireTime
			}
		}
		h.now = nextTime
		if nextTimer == "" {
			return
		}
		delete(h.timers, nextTimer)
		h.handle(TimerFired{nextTimer})
	}
}

// endAttempt reports the end, after 20 ms, of a request's last attempt at n0.
func (h *harness) endAttempt(id string, result Result) {
	attempts := h.sendCount(id)
	h.handle(Outcome{ID: id, Node: "n0", Attempt: attempts - 1, Done: result == Served, Elapsed: 20, Result: result})
}

// sendCount returns the number of attempts that were sent for a request.
func (h *harness) sendCount(id string) (n int) {
	for _, a := range h.actions {
		if send, ok := a.(Send); ok && send.ID == id {
			n++
		}
	}
	return n
}

// finalAnswers returns "refuse" or "fail" for each final answer of a request, concatenated.
func (h *harness) finalAnswers(id string) string {
	answers := ""
	for _, a := range h.actions {
		switch a := a.(type) {
		case Refuse:
			if a.ID == id {
				answers += "refuse"
			}
		case Fail:
			if a.ID == id {
				answers += "fail"
			}
		}
	}
	return answers
}
