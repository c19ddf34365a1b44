package policy

import "math"

// Dispatch: what goes next to a shard's node, and the one gate before every send.

// hasCapacity tells whether the depth bound lets one more go.
func (p *scheduler) hasCapacity(sh *shard) bool {
	return float64(len(sh.out)+1) <= max(math.Round(sh.depth), 1)
}

// pumpWaiting is pump where something waits.
func (p *scheduler) pumpWaiting(sh *shard) {
	if sh.waiting > 0 {
		p.pump(sh)
	}
}

// pump sends what may go to sh's node.
func (p *scheduler) pump(sh *shard) {
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
		if n.suspect && len(sh.out) > 0 {
			return
		}
		if !p.hasCapacity(sh) {
			sh.wasFull = true
			return
		}
		r := p.choose(sh)
		if r == nil {
			return
		}
		p.send(sh, r)
	}
}

// choose picks the next request that the rules let go: further attempts, then
// smallest start tag, then the parked.
func (p *scheduler) choose(sh *shard) *request {
	for _, r := range sh.retries.all {
		if r != nil && p.may(r, sh) {
			return r
		}
	}
	var best *flow
	var pick *request
	for i := range sh.flows {
		f := &sh.flows[i]
		if best != nil && f.finish >= best.finish {
			continue
		}
		if r := f.next(p, sh); r != nil {
			best, pick = f, r
		}
	}
	if best != nil {
		sh.vtime = best.finish // the start tag of what goes
		best.finish += pick.Units / p.shares.share[pick.flow]
		return pick
	}
	// The parked go only to a node with nothing of ours that also answers nearly
	// as quickly as it does unloaded: a late answer earns little and would delay
	// what is due through other hosts. A node first met under load looks idle.
	// A quick one with room to spare is as good as idle.
	idle := sh.quick || len(sh.out) == 0 && p.meanServiceTime(sh) <= idleTimes*p.base
	if !idle || p.part(sh) < 1 {
		return nil
	}
	if p.now < sh.asideTill-rounding && sh.asideMark == sh.mark() { // limits hold all that would be seen
		p.setTimer(sh.asideTill+guard, nil, sh)
		return nil
	}
	seen, held, till := 0, 0, math.Inf(1)
	for _, r := range sh.parked.all {
		if r == nil {
			continue
		}
		if seen++; seen > longQueue {
			break
		}
		better := pick == nil || (r.aimAt > p.now) && (pick.aimAt <= p.now) || r.value > pick.value
		if p.heldAt = 0; better && p.may(r, sh) {
			pick = r
		} else if p.heldAt > 0 {
			held, till = held+1, min(till, p.heldAt)
		}
	}
	if sh.asideMark, sh.asideTill = sh.mark(), 0; held > 0 && held == min(seen, longQueue) {
		sh.asideTill = till
	}
	return pick
}

// may is the one gate before every send: it holds each rule.
func (p *scheduler) may(r *request, sh *shard) bool {
	n := sh.node
	if r.done || n == nil || n.excluded {
		return false
	}
	if most := r.terms.Limits.MaxAttempts; most > 0 && r.attempts >= most {
		return false
	}
	if r.out > 0 || r.ran && !p.repeatable(r, n) {
		return false
	}
	if r.attempts > 0 && !p.inBudget() {
		return false
	}
	if c := p.chainOf(r); c != nil && (c.members[0] != r || p.now < c.restTo) {
		p.setTimer(max(c.restTo, p.now+guard), nil, sh)
		return false
	}
	if !p.withinLimit(r, sh) {
		return false
	}
	budget, part, slowStart := p.slowStart(n)
	if !slowStart {
		return true
	}
	if rest := p.born + p.coldWindow(); n.coldSince < p.born && p.now < rest { // this host may have been restarted
		p.setTimer(rest, nil, sh)
		return false
	}
	recentSends, units := n.recentSends.since(p.now - p.coldWindow())
	if units+r.Units <= budget {
		return true
	}
	if recentSends > 0 {
		p.setTimer(n.recentSends.oldest()+p.coldWindow()+p.s.Tick, nil, sh)
		return false
	}
	return r.attempts == 0 && p.inTopFraction(r, part)
}

func (p *scheduler) send(sh *shard, r *request) {
	n := sh.node
	p.markTouched(sh)
	sh.remove(r)
	if p.chargeLimit(r); r.attempts > 0 && p.s.Rules.HasBudget {
		p.resends.add(p.now, 1)
	}
	n.recentSends.add(p.now, r.Units)
	n.recentSends.since(p.now - p.coldWindow())
	r.attempts++
	r.out++
	r.sentAt, r.sentTo, r.sentCold, r.givenUp = p.now, n, n.coldSince, false
	sh.out = append(sh.out, r)
	p.do(Send{ID: r.ID, Node: n.Addr, TimeoutAt: p.until(r, sh), StartBy: p.by(r)})
}

// by is when an attempt has to have begun that may wait for its connection: what was counted
// as sent now is not to pass much later, and no repeat goes when none is dropped any more.
func (p *scheduler) by(r *request) float64 {
	by := math.Inf(1)
	if late := p.s.Rules.MaxSendDelay; late > 0 {
		by = p.now + late
	}
	if r.ran && r.class.Effect == Keyed {
		by = min(by, p.dropped(r))
	}
	return by
}

// until is when to give an attempt up that may be repeated: an answer lost on its
// way, or a process that hangs, would else hold depth until the client leaves,
// and make the node look as slow. Where only this node is slow it costs work.
func (p *scheduler) until(r *request, sh *shard) float64 {
	if r.class.Effect == NonIdempotent || r.class.Streamed {
		return 0
	}
	return min(p.now+max(stuckAims*r.class.LatencyTarget, stuckTimes*p.meanServiceTime(sh)), r.Expires)
}
