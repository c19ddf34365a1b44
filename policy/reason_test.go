package policy

import "testing"

// why returns the reason of a request's end, ReasonNone where it has none.
func (g *rig) why(id string) Reason {
	for _, a := range g.acts {
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
	for want, play := range map[Reason]func(g *rig) string{
		ReasonNoNode: func(g *rig) string {
			g.list(Node{Addr: "n0", Health: Draining})
			return g.ask("read", "high", "", 1)
		},
		ReasonLimit: func(g *rig) string {
			var last string
			for range 60 {
				last = g.ask("read", "low", "", 1)
			}
			return last
		},
		ReasonAttemptOut: func(g *rig) string { return g.ask("once", "high", "", 1) },
		ReasonOutcomeUnknown: func(g *rig) string {
			id := g.ask("once", "high", "", 1)
			g.answer(id, ConnectionLost)
			return id
		},
		ReasonAttemptsUsed: func(g *rig) string {
			id := g.ask("read", "high", "", 1)
			for range 3 {
				g.answer(id, ServerError)
			}
			return id
		},
		ReasonKeyOrder: func(g *rig) string {
			g.ask("turns", "high", "k", 1)
			return g.ask("turns", "high", "k", 1)
		},
		ReasonNodeHeld: func(g *rig) string {
			s := settings()
			s.Limits.MaxAttempts = 0
			g.do(SettingsChanged{s})
			id := g.ask("read", "high", "", 1)
			for range 60 {
				if r := g.p.requests[id]; r != nil && r.outstanding > 0 {
					g.answer(id, NoConnection)
				}
				g.pass(20)
			}
			return id
		},
	} {
		g := newRig(settings())
		id := play(g)
		g.pass(1200)
		if got := g.why(id); got != want {
			t.Errorf("%v, want %v", got, want)
		}
	}
	for r := range Reason(ReasonCount) {
		if r.String() == "" {
			t.Errorf("reason %d has no name", r)
		}
	}
}
