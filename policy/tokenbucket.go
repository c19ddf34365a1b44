package policy

import "math"

// Token buckets: what a volume has of its plan's reserve, rate and limit at this host.

func (p *scheduler) volumeBuckets(q Request, plan *Plan) *volumeBuckets {
	v := p.vols[q.Volume]
	if v == nil {
		v = &volumeBuckets{plan: plan, refilledAt: p.now, heldAt: math.Inf(-1)}
		p.vols[q.Volume] = v
		p.setBuckets(v, divisor(q.Hosts, q.Fraction))
		v.fairLevel, v.reserveLevel = v.fairCap, v.reserveCap
		// This host may have spent its part just before it was restarted, or others what
		// of it was theirs: count only on what has filled since.
		v.limitLevel = min(v.limitFloor+v.limitRate*(p.now-max(p.born, q.FractionSince))/1000, v.limitCap)
	}
	seconds := (p.now - v.refilledAt) / 1000
	v.reserveLevel = min(v.reserveLevel+v.reserveRate*seconds, v.reserveCap)
	v.limitLevel = max(v.limitLevel, min(v.limitLevel+v.limitRate*seconds, v.limitCap-v.pending))
	v.fairLevel = min(v.fairLevel+v.fairRate*seconds, v.fairCap)
	v.refilledAt, v.lastUsed = p.now, p.now
	return v
}

// setBuckets gives a volume this host's part of what its plan has.
func (p *scheduler) setBuckets(v *volumeBuckets, parts float64) {
	plan := v.plan
	v.divisor = parts
	v.reserveRate, v.limitRate, v.fairRate = plan.Reserve/parts, plan.Limit/parts, dueTimes*plan.Rate/parts
	v.reserveCap, v.limitCap = plan.Reserve/parts+p.s.MaxUnits, plan.Burst/parts
	v.limitFloor = min(plan.Limit*(bunching+p.s.Rules.MaxSendDelay)/1000-plan.Overdraft, 0) / parts
	v.fairCap = max(v.fairRate*spread, 2*p.s.MaxUnits)
}

// resizeBuckets gives a volume another part of its plan, or another plan. What is left of the
// old one stays, as far as the new one holds it: what it gains may have been spent
// elsewhere. Where nothing was limited, nothing is left that was counted. What is pending
// counts as left, for it may come back, and is taken from what the new part holds.
func (p *scheduler) resizeBuckets(v *volumeBuckets, plan *Plan, parts float64) {
	remaining := v.limitLevel + v.pending - v.limitFloor
	if v.plan.Limit <= 0 {
		remaining = 0
	}
	v.plan = plan
	p.setBuckets(v, parts)
	v.limitLevel = v.limitFloor + min(remaining, v.limitCap-v.limitFloor) - v.pending
}

// valueRequest sets what r's units are worth: in full inside the volume's reserve,
// then inside its weighted share of the node, then as spare.
func (p *scheduler) valueRequest(r *request) {
	plan := &p.s.Plans[r.flow]
	factor := p.s.SpareFactor
	if plan.Reserve > 0 && r.vol.reserveLevel >= r.Units {
		r.vol.reserveLevel -= r.Units
		factor = 1
	} else if r.vol.fairLevel >= r.Units || plan.Rate == 0 {
		r.vol.fairLevel -= r.Units
		factor = p.s.FairFactor
	}
	r.value = r.class.Value * plan.Price * factor
	r.rank = r.value * (1 + worthDither*p.rng.Float64())
	p.asked += r.Units
	p.recentUnits.addSome(r.Units, p.now, burstMemory)
	p.recent = append(p.recent[max(len(p.recent)-recentMost, 0):], ask{r.rank, r.Units})
}

// withinLimit holds a limited volume to this host's part of the limit.
func (p *scheduler) withinLimit(r *request, sh *shard) bool {
	if r.vol.plan.Limit <= 0 || r.charged {
		return true
	}
	v := p.volumeBuckets(r.Request, r.vol.plan)
	r.vol = v // it may have been forgotten since, and begun anew
	if deficit := v.limitFloor + r.Units - v.limitLevel; deficit > 0 {
		p.heldAt, v.heldAt = p.now+deficit/v.limitRate*1000, p.now
		p.setTimer(p.heldAt+guard, nil, sh)
		return false
	}
	return true
}

// chargeLimit takes r's units from its volume's limit. Until it is known whether they pass they are
// pending: what comes back must not find that the bucket has filled in their place.
func (p *scheduler) chargeLimit(r *request) {
	if r.charged {
		return
	}
	r.charged = true
	if r.vol.plan.Limit <= 0 {
		return
	}
	r.vol.limitLevel -= r.Units // limitOK has just brought it up to now
	if p.s.Rules.MaxSendDelay > 0 {
		r.pending = r.Units
		r.vol.pending += r.Units
	}
}

// settlePending has the units of an attempt that ended no longer pending.
func (p *scheduler) settlePending(r *request) {
	p.volumeBuckets(r.Request, r.vol.plan) // what has filled until now
	r.vol.pending = max(r.vol.pending-r.pending, 0)
	r.pending = 0
}

// refundLimit has a request that never passed take its units anew when it does, for the store has
// filled meanwhile. What found no connection has them back; of the rest that is less sure.
func (p *scheduler) refundLimit(r *request, o Result) {
	if p.s.Rules.MaxSendDelay <= 0 || r.reached || !r.charged {
		return
	}
	if r.charged = false; o == NoConnection && r.vol.plan.Limit > 0 {
		r.vol.limitLevel = min(r.vol.limitLevel+r.Units, r.vol.limitCap)
	}
}

// volumeBuckets is what one volumeBuckets is due through this host.
type volumeBuckets struct {
	plan                     *Plan
	lastUsed                 float64
	reserveLevel, limitLevel float64 // levels, in units
	reserveRate, reserveCap  float64
	limitRate, limitCap      float64
	pending                  float64 // of the limit, taken by attempts of which it is not known whether they pass
	limitFloor               float64
	divisor                  float64 // of which this host has one
	fairLevel, fairRate      float64
	fairCap                  float64
	refilledAt               float64 // time of the levels
	heldAt                   float64 // when its limit last held a request
}

// divisor is of how many equal divisor a host has one.
func divisor(hosts int, fraction float64) float64 {
	if fraction <= 0 {
		fraction = 1
	}
	return float64(max(hosts, 1)) / fraction
}

// updateDivisor gives a volume another part of what its plan has.
func (p *scheduler) updateDivisor(e VolumeChanged) {
	v := p.vols[e.Volume]
	if v == nil {
		return
	}
	p.volumeBuckets(Request{Volume: e.Volume}, v.plan) // levels of now
	p.resizeBuckets(v, v.plan, divisor(e.Hosts, e.Fraction))
	p.recheckLimited()
}

// recheckLimited has everything looked at that a limit may have held.
func (p *scheduler) recheckLimited() {
	for _, sh := range p.shards {
		sh.forgetHeld()
		p.pumpWaiting(sh)
	}
}
