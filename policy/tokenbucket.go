package policy

import "math"

// Token buckets: what a volume has of its plan's reserve, rate and limit at this host.

func (p *scheduler) volume(q Request, plan *Plan) *volume {
	v := p.vols[q.Volume]
	if v == nil {
		v = &volume{plan: plan, at: p.now, heldAt: math.Inf(-1)}
		p.vols[q.Volume] = v
		p.divide(v, parts(q.Hosts, q.Fraction))
		v.due, v.reserve = v.dueCap, v.resCap
		// This host may have spent its part just before it was restarted, or others what
		// of it was theirs: count only on what has filled since.
		v.limit = min(v.limFloor+v.limFill*(p.now-max(p.born, q.FractionSince))/1000, v.limCap)
	}
	s := (p.now - v.at) / 1000
	v.reserve = min(v.reserve+v.resFill*s, v.resCap)
	v.limit = max(v.limit, min(v.limit+v.limFill*s, v.limCap-v.pending))
	v.due = min(v.due+v.dueFill*s, v.dueCap)
	v.at, v.seen = p.now, p.now
	return v
}

// divide gives a volume this host's part of what its plan has.
func (p *scheduler) divide(v *volume, h float64) {
	plan := v.plan
	v.parts = h
	v.resFill, v.limFill, v.dueFill = plan.Reserve/h, plan.Limit/h, dueTimes*plan.Rate/h
	v.resCap, v.limCap = plan.Reserve/h+p.s.MaxUnits, plan.Burst/h
	v.limFloor = min(plan.Limit*(bunching+p.s.Rules.MaxSendDelay)/1000-plan.Overdraft, 0) / h
	v.dueCap = max(v.dueFill*spread, 2*p.s.MaxUnits)
}

// redivide gives a volume another part of its plan, or another plan. What is left of the
// old one stays, as far as the new one holds it: what it gains may have been spent
// elsewhere. Where nothing was limited, nothing is left that was counted. What is pending
// counts as left, for it may come back, and is taken from what the new part holds.
func (p *scheduler) redivide(v *volume, plan *Plan, h float64) {
	left := v.limit + v.pending - v.limFloor
	if v.plan.Limit <= 0 {
		left = 0
	}
	v.plan = plan
	p.divide(v, h)
	v.limit = v.limFloor + min(left, v.limCap-v.limFloor) - v.pending
}

// rate sets what r's units are worth: in full inside the volume's reserve,
// then inside its weighted share of the node, then as spare.
func (p *scheduler) rate(r *request) {
	plan := &p.s.Plans[r.flow]
	part := p.s.SpareFactor
	if plan.Reserve > 0 && r.vol.reserve >= r.Units {
		r.vol.reserve -= r.Units
		part = 1
	} else if r.vol.due >= r.Units || plan.Rate == 0 {
		r.vol.due -= r.Units
		part = p.s.FairFactor
	}
	r.value = r.class.Value * plan.Price * part
	r.rank = r.value * (1 + worthDither*p.rng.Float64())
	p.asked += r.Units
	p.recentUnits.addSome(r.Units, p.now, burstSpan)
	p.recent = append(p.recent[max(len(p.recent)-recentMost, 0):], ask{r.rank, r.Units})
}

// limitOK holds a limited volume to this host's part of the limit.
func (p *scheduler) limitOK(r *request, sh *shard) bool {
	if r.vol.plan.Limit <= 0 || r.charged {
		return true
	}
	v := p.volume(r.Request, r.vol.plan)
	r.vol = v // it may have been forgotten since, and begun anew
	if lack := v.limFloor + r.Units - v.limit; lack > 0 {
		p.heldAt, v.heldAt = p.now+lack/v.limFill*1000, p.now
		p.setTimer(p.heldAt+guard, nil, sh)
		return false
	}
	return true
}

// charge takes r's units from its volume's limit. Until it is known whether they pass they are
// pending: what comes back must not find that the bucket has filled in their place.
func (p *scheduler) charge(r *request) {
	if r.charged {
		return
	}
	r.charged = true
	if r.vol.plan.Limit <= 0 {
		return
	}
	r.vol.limit -= r.Units // limitOK has just brought it up to now
	if p.s.Rules.MaxSendDelay > 0 {
		r.pending = r.Units
		r.vol.pending += r.Units
	}
}

// settleCharge has the units of an attempt that ended no longer pending.
func (p *scheduler) settleCharge(r *request) {
	p.volume(r.Request, r.vol.plan) // what has filled until now
	r.vol.pending = max(r.vol.pending-r.pending, 0)
	r.pending = 0
}

// uncharge has a request that never passed take its units anew when it does, for the store has
// filled meanwhile. What found no connection has them back; of the rest that is less sure.
func (p *scheduler) uncharge(r *request, o Result) {
	if p.s.Rules.MaxSendDelay <= 0 || r.reached || !r.charged {
		return
	}
	if r.charged = false; o == NoConnection && r.vol.plan.Limit > 0 {
		r.vol.limit = min(r.vol.limit+r.Units, r.vol.limCap)
	}
}

// volume is what one volume is due through this host.
type volume struct {
	plan            *Plan
	seen            float64
	reserve, limit  float64 // levels, in units
	resFill, resCap float64
	limFill, limCap float64
	pending         float64 // of the limit, taken by attempts of which it is not known whether they pass
	limFloor        float64
	parts           float64 // of which this host has one
	due, dueFill    float64
	dueCap          float64
	at              float64 // time of the levels
	heldAt          float64 // when its limit last held a request
}

// parts is of how many equal parts a host has one.
func parts(hosts int, share float64) float64 {
	if share <= 0 {
		share = 1
	}
	return float64(max(hosts, 1)) / share
}

// repart gives a volume another part of what its plan has.
func (p *scheduler) repart(e VolumeChanged) {
	v := p.vols[e.Volume]
	if v == nil {
		return
	}
	p.volume(Request{Volume: e.Volume}, v.plan) // levels of now
	p.redivide(v, v.plan, parts(e.Hosts, e.Fraction))
	p.lookAgain()
}

// lookAgain has everything looked at that a limit may have held.
func (p *scheduler) lookAgain() {
	for _, sh := range p.shards {
		sh.forgetHeld()
		p.pumpWaiting(sh)
	}
}
