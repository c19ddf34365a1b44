package policy

// Retries: when a request may be sent again, and the budget of that.

// repeatable tells whether r, which may have run, may be sent to n.
func (p *scheduler) repeatable(r *request, n *node) bool {
	switch r.class.Effect {
	case Idempotent:
		return true
	case Keyed:
		if p.now > p.dropped(r) {
			return false
		}
		switch r.class.DedupScope {
		case DedupAll:
			return true
		case DedupZone:
			return n == r.ranNode || n.Zone != "" && n.Zone == r.ranNode.Zone
		default:
			return n.Shard == r.ranNode.Shard
		}
	}
	return false
}

func (p *scheduler) inBudget() bool {
	used, may := p.budget()
	return !p.s.Rules.HasBudget || used+1 <= may
}

// budget is how many attempts beyond the first there were, and may be, within its span.
func (p *scheduler) budget() (used, may float64) {
	ru := &p.s.Rules
	old := p.now - ru.BudgetWindow
	resends, _ := p.resends.since(old - p.s.Tick - ru.MaxSendDelay) // they count where they pass
	taken, _ := p.taken.since(old + p.s.Tick)
	return float64(resends), ru.BudgetBase + ru.BudgetRatio*float64(taken)
}

// dropped is until when repeats of r, which may have run, are surely dropped.
func (p *scheduler) dropped(r *request) float64 {
	return r.ranAt + r.class.DedupWindow - p.s.Tick - guard
}

// giveUpOvertaken gives up what others overtook that were sent several service times later: its answer
// is lost. In a pause nothing overtakes. A cancel may leave a copy at work: only where two may.
func (p *scheduler) giveUpOvertaken(sh *shard) {
	for _, r := range sh.out {
		lost := r.sentAt+stuckTimes*p.meanServiceTime(sh) < sh.passed && r.class.Effect != NonIdempotent
		if lost && p.s.Limits.Cancel && p.s.Limits.Duplicates && !r.givenUp && !r.done && !r.class.Streamed {
			r.givenUp = true
			p.do(CancelAttempt{r.ID, r.attempts - 1})
		}
	}
}
