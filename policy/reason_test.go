package policy

import "testing"

// endReason returns the reason of a request's final answer, ReasonNone if it has none.
func (h *harness) endReason(id string) Reason {
	for _, a := range h.actions {
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

// Each scenario must end a request with its reason, and every reason must have a name.
func TestReasons(t *testing.T) {
	for want, scenario := range map[Reason]func(h *harness) string{
		ReasonNoNode: func(h *harness) string {
			h.setNodes(Node{Addr: "n0", Health: Draining})
			return h.submit("read", "high", "", 1)
		},
		ReasonLimit: func(h *harness) string {
			var last string
			for range 60 {
				last = h.submit("read", "low", "", 1)
			}
			return last
		},
		ReasonAttemptOut: func(h *harness) string { return h.submit("once", "high", "", 1) },
		ReasonOutcomeUnknown: func(h *harness) string {
			id := h.submit("once", "high", "", 1)
			h.endAttemptFast(id, ConnectionLost)
			return id
		},
		ReasonAttemptsUsed: func(h *harness) string {
			id := h.submit("read", "high", "", 1)
			for range 3 {
				h.endAttemptFast(id, ServerError)
			}
			return id
		},
		ReasonKeyOrder: func(h *harness) string {
			h.submit("turns", "high", "k", 1)
			return h.submit("turns", "high", "k", 1)
		},
		ReasonNodeHeld: func(h *harness) string {
			s := testSettings()
			s.Limits.MaxAttempts = 0
			h.handle(SettingsChanged{s})
			id := h.submit("read", "high", "", 1)
			for range 60 {
				if r := h.scheduler.requests[id]; r != nil && r.outstanding > 0 {
					h.endAttemptFast(id, NoConnection)
				}
				h.advance(20)
			}
			return id
		},
	} {
		h := newHarness(testSettings())
		id := scenario(h)
		h.advance(1200)
		if got := h.endReason(id); got != want {
			t.Errorf("reason %v, want %v", got, want)
		}
	}
	for r := range Reason(ReasonCount) {
		if r.String() == "" {
			t.Errorf("reason %d has no name", r)
		}
	}
}
