package policy

// Retries: when a request may be sent again, and the retry budget.

// mayRepeat reports whether r, which may have run, may be sent to n.
func (p *scheduler) mayRepeat(r *request, n *node) bool {
	switch r.class.Effect {
	case Idempotent:
		return true
	case Keyed:
		if p.now > p.dedupUntil(r) {
			return false
		}
		switch r.class.DedupScope {
		case DedupAll:
			return true
		case DedupZone:
			return n == r.mayHaveRunOn || n.Zone != "" && n.Zone == r.mayHaveRunOn.Zone
		default:
			return n.Shard == r.mayHaveRunOn.Shard
		}
	}
	return false
}

// isRetry reports whether the next attempt of r counts towards the retry budget.
func (r *request) isRetry() bool { return r.attempts > 0 || r.Resubmitted }

// withinRetryBudget reports whether the budget admits one more retry.
func (p *scheduler) withinRetryBudget() bool {
	used, allowed := p.retryBudget()
	return !p.settings.Rules.HasBudget || used+1 <= allowed
}

// retryBudget returns the number of retries sent within BudgetWindow and the number allowed. Both
// err on the safe side by a tick.
func (p *scheduler) retryBudget() (used, allowed float64) {
	rules := &p.settings.Rules
	windowStart := p.now - rules.BudgetWindow
	// An attempt may start up to MaxSendDelay after its Send.
	recentRetries, _ := p.recentRetries.since(windowStart - p.settings.Tick - rules.MaxSendDelay)
	recentArrivals, _ := p.recentArrivals.since(windowStart + p.settings.Tick)
	return float64(recentRetries), rules.BudgetBase + rules.BudgetRatio*float64(recentArrivals)
}

// dedupUntil returns the time up to which the nodes are certain to drop repeats of r, which may have
// run.
func (p *scheduler) dedupUntil(r *request) float64 {
	return r.mayHaveRunAt + r.class.DedupWindow - p.settings.Tick - answerMargin
}

// cancelOvertaken cancels attempts overtaken by one that was sent several service times later, since
// their answers are presumed lost. During a pause of the node nothing is overtaken. A cancelled attempt
// may still be running, so this needs Limits.Duplicates.
func (p *scheduler) cancelOvertaken(sh *shard) {
	for _, r := range sh.outstanding {
		lost := r.sentAt+stuckServiceTimes*p.meanServiceTime(sh) < sh.lastServedSend &&
			r.class.Effect != NonIdempotent
		if lost && p.settings.Limits.Cancel && p.settings.Limits.Duplicates &&
			!r.givenUp && !r.done && !r.class.Streamed {
			r.givenUp = true
			p.emit(CancelAttempt{r.ID, r.attempts - 1})
		}
	}
}
