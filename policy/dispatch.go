package policy

import "math"

// Dispatch: what goes next to a shard's node, and the one gate before every send.

// hasCapacity tells whether the depth bound lets one more go.
func (p *scheduler) hasCapacity(sh *shard) bool {
	return float64(len(sh.outstanding)+1) <= max(math.Round(sh.depth), 1)
}

// dispatchWaiting is pump where something waits.
func (p *scheduler) dispatchWaiting(sh *shard) {
	if sh.waiting > 0 {
		p.dispatch(sh)
	}
}

// dispatch sends what may go to sh's node.
func (p *scheduler) dispatch(sh *shard) {
	p.visits++
	p.shed(sh)
	for sh.waiting > 0 {
		n := sh.node
		if n == nil {
			return
		}
		if p.now < n.backoffEnd {
			p.setTimer(n.backoffEnd, nil, sh)
			return
		}
		if n.suspect && len(sh.outstanding) > 0 {
			return
		}
		if !p.hasCapacity(sh) {
			sh.depthLimited = true
			return
		}
		r := p.selectNext(sh)
		if r == nil {
			return
		}
		p.send(sh, r)
	}
}

// selectNext picks the next request that the rules let go: further attempts, then
// smallest start tag, then the parked.
func (p *scheduler) selectNext(sh *shard) *request {
	for _, r := range sh.retries.all {
		if r != nil && p.maySend(r, sh) {
			return r
		}
	}
	var best *flow
	var pick *request
	for i := range sh.flows {
		f := &sh.flows[i]
		if best != nil && f.finishTag >= best.finishTag {
			continue
		}
		if r := f.next(p, sh); r != nil {
			best, pick = f, r
		}
	}
	if best != nil {
		sh.virtualTime = best.finishTag // the start tag of what goes
		best.finishTag += pick.Units / p.shares.share[pick.flow]
		return pick
	}
	// The parked go only to a node with nothing of ours that also answers nearly
	// as quickly as it does unloaded: a late answer earns little and would delay
	// what is due through other hosts. A node first met under load looks idle.
	// A quick one with room to spare is as good as idle.
	idle := sh.meetsTargetAtMaxDepth || len(sh.outstanding) == 0 && p.meanServiceTime(sh) <= idleFactor*p.unloadedServiceTime
	if !idle || p.admittedFraction(sh) < 1 {
		return nil
	}
	if p.now < sh.deferredLimitedUntil-rounding && sh.deferredSeen == sh.deferredState() { // limits hold all that would be seen
		p.setTimer(sh.deferredLimitedUntil+answerMargin, nil, sh)
		return nil
	}
	examined, limited, opensAt := 0, 0, math.Inf(1)
	for _, r := range sh.deferred.all {
		if r == nil {
			continue
		}
		if examined++; examined > longQueue {
			break
		}
		better := pick == nil || (r.targetTime > p.now) && (pick.targetTime <= p.now) || r.value > pick.value
		if p.limitOpensAt = 0; better && p.maySend(r, sh) {
			pick = r
		} else if p.limitOpensAt > 0 {
			limited, opensAt = limited+1, min(opensAt, p.limitOpensAt)
		}
	}
	if sh.deferredSeen, sh.deferredLimitedUntil = sh.deferredState(), 0; limited > 0 && limited == min(examined, longQueue) {
		sh.deferredLimitedUntil = opensAt
	}
	return pick
}

// maySend is the one gate before every send: it holds each rule.
func (p *scheduler) maySend(r *request, sh *shard) bool {
	n := sh.node
	if r.done || n == nil || n.excluded {
		return false
	}
	if maxAttempts := r.arrivalSettings.Limits.MaxAttempts; maxAttempts > 0 && r.attempts >= maxAttempts {
		return false
	}
	if r.outstanding > 0 || r.mayHaveRun && !p.mayRepeat(r, n) {
		return false
	}
	if r.attempts > 0 && !p.withinBudget() {
		return false
	}
	if c := p.keyQueueOf(r); c != nil && (c.members[0] != r || p.now < c.blockedUntil) {
		p.setTimer(max(c.blockedUntil, p.now+answerMargin), nil, sh)
		return false
	}
	if !p.withinLimit(r, sh) {
		return false
	}
	budget, fraction, slowStart := p.slowStart(n)
	if !slowStart {
		return true
	}
	if allowedFrom := p.startedAt + p.coldWindow(); n.coldSince < p.startedAt && p.now < allowedFrom { // this host may have been restarted
		p.setTimer(allowedFrom, nil, sh)
		return false
	}
	recentSends, units := n.recentSends.since(p.now - p.coldWindow())
	if units+r.Units <= budget {
		return true
	}
	if recentSends > 0 {
		p.setTimer(n.recentSends.oldest()+p.coldWindow()+p.settings.Tick, nil, sh)
		return false
	}
	return r.attempts == 0 && p.inTopFraction(r, fraction)
}

func (p *scheduler) send(sh *shard, r *request) {
	n := sh.node
	p.markTouched(sh)
	sh.remove(r)
	if p.chargeLimit(r); r.attempts > 0 && p.settings.Rules.HasBudget {
		p.resends.add(p.now, 1)
	}
	n.recentSends.add(p.now, r.Units)
	n.recentSends.since(p.now - p.coldWindow())
	r.attempts++
	r.outstanding++
	r.sentAt, r.sentTo, r.sentColdAt, r.givenUp = p.now, n, n.coldSince, false
	sh.outstanding = append(sh.outstanding, r)
	p.emit(Send{ID: r.ID, Node: n.Addr, TimeoutAt: p.timeoutAt(r, sh), StartBy: p.startBy(r)})
}

// startBy is when an attempt has to have begun that may wait for its connection: what was counted
// as sent now is not to pass much later, and no repeat goes when none is dropped any more.
func (p *scheduler) startBy(r *request) float64 {
	startBy := math.Inf(1)
	if maxDelay := p.settings.Rules.MaxSendDelay; maxDelay > 0 {
		startBy = p.now + maxDelay
	}
	if r.mayHaveRun && r.class.Effect == Keyed {
		startBy = min(startBy, p.dedupUntil(r))
	}
	return startBy
}

// timeoutAt is when to give an attempt up that may be repeated: an answer lost on its
// way, or a process that hangs, would else hold depth timeoutAt the client leaves,
// and make the node look as slow. Where only this node is slow it costs work.
func (p *scheduler) timeoutAt(r *request, sh *shard) float64 {
	if r.class.Effect == NonIdempotent || r.class.Streamed {
		return 0
	}
	return min(p.now+max(stuckTargets*r.class.LatencyTarget, stuckServiceTimes*p.meanServiceTime(sh)), r.Expires)
}
