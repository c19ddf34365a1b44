package policy

// Reason is why a request was given its final answer by the module. It says what stood in
// its way at the end, and decides nothing.
type Reason int

// The reasonEnd, the first that holds.
const (
	ReasonNone           Reason = iota
	ReasonAttemptOut            // an attempt of it was still without an answer
	ReasonOutcomeUnknown        // it may have run, and its class does not let it run twice
	ReasonAttemptsUsed          // its attempts are used up
	ReasonNoNode                // its shard had no node that it might be sent to
	ReasonLimit                 // its volume's limit held it
	ReasonBudget                // the budget of further attempts was spent
	ReasonKeyOrder              // an earlier request of its key stood before it, or the key rested
	ReasonNodeHeld              // its node had just refused, failed or not answered others
	ReasonCold                  // its node was warming up
	ReasonOverload              // dearer requests stood before it, for longer than it had
	ReasonTime                  // there was no time left for it
	reasonEnd
)

// ReasonCount is the number of reasons.
const ReasonCount = int(reasonEnd)

func (r Reason) String() string {
	return [ReasonCount]string{"none", "attempt_out", "outcome_unknown", "attempts_used",
		"no_node", "limit", "budget", "key",
		"node_held", "cold", "overload", "time"}[r]
}

// reasonFor finds the reason of a request that is about to end.
func (p *scheduler) reasonFor(r *request) Reason {
	sh, n := r.shard, r.shard.node
	var c *keyQueue
	if r.class.Ordered {
		c = p.keyQueues[r.Key]
	}
	switch {
	case r.outstanding > 0:
		return ReasonAttemptOut
	case r.mayHaveRun && n != nil && !p.mayRepeat(r, n):
		return ReasonOutcomeUnknown
	case r.arrivalSettings.Limits.MaxAttempts > 0 && r.attempts >= r.arrivalSettings.Limits.MaxAttempts:
		return ReasonAttemptsUsed
	case n == nil || n.excluded:
		return ReasonNoNode
	case r.attempts == 0 && p.now-r.vol.limitedAt < samplePeriod:
		return ReasonLimit
	case r.attempts > 0 && !p.withinRetryBudget():
		return ReasonBudget
	case c != nil && len(c.members) > 0 && (c.members[0] != r || p.now < c.blockedUntil):
		return ReasonKeyOrder
	case p.now < n.backoffEnd || n.suspect:
		return ReasonNodeHeld
	}
	if _, _, slowStart := p.slowStart(n); slowStart {
		return ReasonCold
	}
	if r.fifo == &sh.deferred || sh.waiting > 1 {
		return ReasonOverload
	}
	return ReasonTime
}
