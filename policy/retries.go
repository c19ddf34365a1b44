package policy

// Retries: when a request may be sent again, and the budget of that.

// mayRepeat tells whether r, which may have run, may be sent to n.
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

func (p *scheduler) withinRetryBudget() bool {
	used, allowed := p.retryBudget()
	return !p.settings.Rules.HasBudget || used+1 <= allowed
}

// retryBudget is how many attempts beyond the first there were, and may be, within its span.
func (p *scheduler) retryBudget() (used, allowed float64) {
	rules := &p.settings.Rules
	windowStart := p.now - rules.BudgetWindow
	resends, _ := p.resends.since(windowStart - p.settings.Tick - rules.MaxSendDelay) // they count where they pass
	arrivals, _ := p.arrivals.since(windowStart + p.settings.Tick)
	return float64(resends), rules.BudgetBase + rules.BudgetRatio*float64(arrivals)
}

// dedupUntil is until when repeats of r, which may have run, are surely dedupUntil.
func (p *scheduler) dedupUntil(r *request) float64 {
	return r.mayHaveRunAt + r.class.DedupWindow - p.settings.Tick - answerMargin
}

// cancelOvertaken gives up what others overtook that were sent several service times later: its answer
// is lost. In a pause nothing overtakes. A cancel may leave a copy at work: only where two may.
func (p *scheduler) cancelOvertaken(sh *shard) {
	for _, r := range sh.outstanding {
		lost := r.sentAt+stuckServiceTimes*p.meanServiceTime(sh) < sh.lastServedSend && r.class.Effect != NonIdempotent
		if lost && p.settings.Limits.Cancel && p.settings.Limits.Duplicates && !r.givenUp && !r.done && !r.class.Streamed {
			r.givenUp = true
			p.emit(CancelAttempt{r.ID, r.attempts - 1})
		}
	}
}
