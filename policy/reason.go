package policy

// Reason is why the policy gave a request its final answer: what prevented its service at that
// time. It is for reports only.
type Reason int

// The reasons, in order of precedence.
const (
	ReasonNone           Reason = iota
	ReasonAttemptOut            // an attempt was outstanding
	ReasonOutcomeUnknown        // it may have run and must not be repeated at its node
	ReasonAttemptsUsed          // its attempts were used up
	ReasonNoNode                // no node of its shard accepted requests
	ReasonLimit                 // its volume's limit held requests within the last second
	ReasonBudget                // the retry budget was spent
	ReasonKeyOrder              // an earlier request of its key was active, or the key's hold-off lasted
	ReasonNodeHeld              // its node was backed off from after rejections, failures or time-outs
	ReasonCold                  // its node was warming up
	ReasonOverload              // it was deferred, or other requests waited at its shard
	ReasonTime                  // no other reason: its time was over
	reasonEnd
)

// ReasonCount is the number of reasons.
const ReasonCount = int(reasonEnd)

func (r Reason) String() string {
	return [ReasonCount]string{"none", "attempt_out", "outcome_unknown", "attempts_used",
		"no_node", "limit", "budget", "key",
		"node_held", "cold", "overload", "time"}[r]
}

// reasonFor returns the reason for ending r now.
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
	case r.attempts == 0 && p.now-r.tokenBuckets.limitedAt < samplePeriod:
		return ReasonLimit
	case r.isRetry() && !p.withinRetryBudget():
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
