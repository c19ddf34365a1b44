package policy

import "testing"

// endReason returns the reason of a request's end, ReasonNone where it has none.
func (g *harness) endReason(id string) Reason {
	for _, a := range g.actions {
		switch a := a.(type) {
		case Refuse:
			if a.ID == id {
				return a.Cause
			}
		case Fail:
			if a.ID == id {
				return a.Cause
			}
		}
	}
	return ReasonNone
}

// Each reason by a request that meets just that.
func TestReasons(t *testing.T) {
	for want, play := range map[Reason]func(g *harness) string{
		ReasonNoNode: func(g *harness) string {
			g.setNodes(Node{Addr: "n0", Health: Draining})
			return g.submit("read", "high", "", 1)
		},
		ReasonLimit: func(g *harness) string {
			var last string
			for range 60 {
				last = g.submit("read", "low", "", 1)
			}
			return last
		},
		ReasonAttemptOut: func(g *harness) string { return g.submit("once", "high", "", 1) },
		ReasonOutcomeUnknown: func(g *harness) string {
			id := g.submit("once", "high", "", 1)
			g.endAttemptFast(id, ConnectionLost)
			return id
		},
		ReasonAttemptsUsed: func(g *harness) string {
			id := g.submit("read", "high", "", 1)
			for range 3 {
				g.endAttemptFast(id, ServerError)
			}
			return id
		},
		ReasonKeyOrder: func(g *harness) string {
			g.submit("turns", "high", "k", 1)
			return g.submit("turns", "high", "k", 1)
		},
		ReasonNodeHeld: func(g *harness) string {
			s := testSettings()
			s.Limits.MaxAttempts = 0
			g.handle(SettingsChanged{s})
			id := g.submit("read", "high", "", 1)
			for range 60 {
				if r := g.scheduler.requests[id]; r != nil && r.outstanding > 0 {
					g.endAttemptFast(id, NoConnection)
				}
				g.advance(20)
			}
			return id
		},
	} {
		g := newHarness(testSettings())
		id := play(g)
		g.advance(1200)
		if got := g.endReason(id); got != want {
			t.Errorf("%v, want %v", got, want)
		}
	}
	for r := range Reason(ReasonCount) {
		if r.String() == "" {
			t.Errorf("reason %d has no name", r)
		}
	}
}
