package policy

import "math"

// Dispatch: which request is sent next to a shard's node, and the checks before every send.

// hasCapacity reports whether the depth bound admits another attempt.
func (p *scheduler) hasCapacity(sh *shard) bool {
	return float64(len(sh.outstanding)+1) <= max(math.Round(sh.depth), 1)
}

// dispatchWaiting dispatches sh if requests wait there.
func (p *scheduler) dispatchWaiting(sh *shard) {
	if sh.waiting > 0 {
		p.dispatch(sh)
	}
}

// dispatch sheds excess load at sh and sends to its node what the depth bound and the rules admit.
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

// selectNext returns the next request that may be sent, nil if there is none: retries first, then
// the flow with the smallest start tag, then deferred requests.
func (p *scheduler) selectNext(sh *shard) *request {
	for _, r := range sh.retries.entries {
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
		sh.virtualTime = best.finishTag // the start tag of pick
		best.finishTag += pick.Units / p.shares.share[pick.flow]
		return pick
	}
	// Deferred requests are sent only to a node that has nothing outstanding from this host and
	// answers nearly as fast as an unloaded one: a late answer has little value and would delay
	// requests of other hosts that are still in time. A node that meets the target even at
	// maxDepth also counts as idle. A node that was loaded from the start is mistaken for idle.
	idle := sh.meetsTargetAtMaxDepth ||
		len(sh.outstanding) == 0 && p.meanServiceTime(sh) <= idleFactor*p.unloadedServiceTime
	if !idle || p.admittedFraction(sh) < 1 {
		return nil
	}
	// Limits still hold back all requests that would be examined.
	if p.now < sh.deferredLimitedUntil-timeEpsilon && sh.deferredSeen == sh.deferredState() {
		p.setTimer(sh.deferredLimitedUntil+answerMargin, nil, sh)
		return nil
	}
	examined, limited, opensAt := 0, 0, math.Inf(1)
	for _, r := range sh.deferred.entries {
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
	if sh.deferredSeen, sh.deferredLimitedUntil = sh.deferredState(), 0; limited > 0 &&
		limited == min(examined, longQueue) {
		sh.deferredLimitedUntil = opensAt
	}
	return pick
}

// maySend reports whether all rules admit sending r to sh's node now. Every send passes it. If r's
// volume limit holds r, limitOpensAt is set.
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
	if r.isRetry() && !p.withinRetryBudget() {
		return false
	}
	if c := p.keyQueueOf(r); c != nil && (c.members[0] != r || p.now < c.blockedUntil) {
		p.setTimer(max(c.blockedUntil, p.now+answerMargin), nil, sh)
		return false
	}
	if !p.withinLimit(r, sh) {
		return false
	}
	coldBudget, fraction, slowStart := p.slowStart(n)
	if !slowStart {
		return true
	}
	// Sends from before a restart of this host are not counted.
	if allowedFrom := p.startedAt + p.coldWindow(); n.coldSince < p.startedAt && p.now < allowedFrom {
		p.setTimer(allowedFrom, nil, sh)
		return false
	}
	recentSends, units := n.recentSends.since(p.now - p.coldWindow())
	if units+r.Units <= coldBudget {
		return true
	}
	if recentSends > 0 {
		p.setTimer(n.recentSends.oldest()+p.coldWindow()+p.settings.Tick, nil, sh)
		return false
	}
	return r.attempts == 0 && p.inTopFraction(r, fraction)
}

// send starts an attempt of r at sh's node and records it.
func (p *scheduler) send(sh *shard, r *request) {
	n := sh.node
	p.markTouched(sh)
	sh.remove(r)
	if p.chargeLimit(r); r.isRetry() && p.settings.Rules.HasBudget {
		p.recentRetries.add(p.now, 1)
	}
	n.recentSends.add(p.now, r.Units)
	n.recentSends.since(p.now - p.coldWindow())
	r.attempts++
	r.outstanding++
	r.sentAt, r.sentTo, r.sentColdSince, r.givenUp = p.now, n, n.coldSince, false
	sh.outstanding = append(sh.outstanding, r)
	p.emit(Send{ID: r.ID, Node: n.Addr, TimeoutAt: p.timeoutAt(r, sh), StartBy: p.startBy(r)})
}

// startBy returns the latest time at which an attempt that waits for its connection may start. It
// is counted as sent now, so it must not start much later, and a repeat must start while the nodes
// still drop repeats.
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

// timeoutAt returns when to give up an attempt that may be repeated; 0: at the request's expiry.
// Without it a lost answer or a hung process would occupy depth until the client leaves, and make
// the node look slow. If only this node is slow, its work on the attempt is lost.
func (p *scheduler) timeoutAt(r *request, sh *shard) float64 {
	if r.class.Effect == NonIdempotent || r.class.Streamed {
		return 0
	}
	return min(p.now+max(stuckTargets*r.class.LatencyTarget,
		stuckServiceTimes*p.meanServiceTime(sh)), r.Expires)
}
