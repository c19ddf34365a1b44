package policy

import "math"

// Token buckets: this host's part of the reserve, rate and limit in each volume's plan.

// volumeBuckets returns the token buckets of q's volume at this host, refilled to the present. On
// first use they are created, with the reserve and the fair share full.
func (p *scheduler) volumeBuckets(q Request, plan *Plan) *volumeBuckets {
	v := p.volumes[q.Volume]
	if v == nil {
		v = &volumeBuckets{plan: plan, refilledAt: p.now, limitedAt: math.Inf(-1)}
		p.volumes[q.Volume] = v
		p.setBuckets(v, divisor(q.Hosts, q.Fraction))
		v.fairLevel, v.reserveLevel = v.fairCap, v.reserveCap
		// This host may have spent its part just before a restart, or other hosts before they
		// gave it up: count only what has filled since.
		v.limitLevel = min(v.limitFloor+v.limitRate*(p.now-max(p.startedAt, q.FractionSince))/1000, v.limitCap)
	}
	seconds := (p.now - v.refilledAt) / 1000
	v.reserveLevel = min(v.reserveLevel+v.reserveRate*seconds, v.reserveCap)
	v.limitLevel = max(v.limitLevel, min(v.limitLevel+v.limitRate*seconds, v.limitCap-v.pending))
	v.fairLevel = min(v.fairLevel+v.fairRate*seconds, v.fairCap)
	v.refilledAt, v.lastUsed = p.now, p.now
	return v
}

// setBuckets sets the fill rates and capacities for one of that many equal parts of the plan.
func (p *scheduler) setBuckets(v *volumeBuckets, parts float64) {
	plan := v.plan
	v.divisor = parts
	v.reserveRate, v.limitRate, v.fairRate = plan.Reserve/parts, plan.Limit/parts, fairRateFactor*plan.Rate/parts
	v.reserveCap, v.limitCap = plan.Reserve/parts+p.settings.MaxUnits, plan.Burst/parts
	v.limitFloor = min(plan.Limit*(arrivalSkew+p.settings.Rules.MaxSendDelay)/1000-plan.Overdraft, 0) / parts
	v.fairCap = max(v.fairRate*fairBurstSeconds, 2*p.settings.MaxUnits)
}

// resizeBuckets gives a volume another plan or another part of it. Tokens left in the limit's
// bucket are kept up to the new capacity; none are added, since a larger part may have been spent
// at other hosts. Without a limit before, none are left. Pending units count as left, since they
// may be refunded, and are then taken from the new bucket.
func (p *scheduler) resizeBuckets(v *volumeBuckets, plan *Plan, parts float64) {
	remaining := v.limitLevel + v.pending - v.limitFloor
	if v.plan.Limit <= 0 {
		remaining = 0
	}
	v.plan = plan
	p.setBuckets(v, parts)
	v.limitLevel = v.limitFloor + min(remaining, v.limitCap-v.limitFloor) - v.pending
}

// valueRequest sets the value of each of r's units: in full inside the volume's reserve, by
// FairFactor inside its fair share, by SpareFactor beyond it.
func (p *scheduler) valueRequest(r *request) {
	plan := &p.settings.Plans[r.flow]
	factor := p.settings.SpareFactor
	if plan.Reserve > 0 && r.vol.reserveLevel >= r.Units {
		r.vol.reserveLevel -= r.Units
		factor = 1
	} else if r.vol.fairLevel >= r.Units || plan.Rate == 0 {
		r.vol.fairLevel -= r.Units
		factor = p.settings.FairFactor
	}
	r.value = r.class.Value * plan.Price * factor
	r.rank = r.value * (1 + rankJitter*p.rng.Float64())
	p.unitsSinceUpdate += r.Units
	p.recentUnits.addN(r.Units, p.now, burstMemory)
	p.recentDemand = append(p.recentDemand[max(len(p.recentDemand)-maxNewerDemand, 0):], demand{r.rank, r.Units})
}

// withinLimit reports whether the limit of r's volume lets r go from this host; if not, it sets a
// timer for when the bucket will have filled far enough.
func (p *scheduler) withinLimit(r *request, sh *shard) bool {
	if r.vol.plan.Limit <= 0 || r.charged {
		return true
	}
	v := p.volumeBuckets(r.Request, r.vol.plan)
	r.vol = v // the old record may have been dropped as idle
	if deficit := v.limitFloor + r.Units - v.limitLevel; deficit > 0 {
		p.limitOpensAt, v.limitedAt = p.now+deficit/v.limitRate*1000, p.now
		p.setTimer(p.limitOpensAt+answerMargin, nil, sh)
		return false
	}
	return true
}

// chargeLimit takes r's units from the limit of its volume, once. They are pending until the
// outcome is known, and the bucket does not refill their place meanwhile: a refund would exceed the
// limit.
func (p *scheduler) chargeLimit(r *request) {
	if r.charged {
		return
	}
	r.charged = true
	if r.vol.plan.Limit <= 0 {
		return
	}
	r.vol.limitLevel -= r.Units // just refilled by withinLimit
	if p.settings.Rules.MaxSendDelay > 0 {
		r.pending = r.Units
		r.vol.pending += r.Units
	}
}

// settlePending ends the pending state of r's units, after its attempt has ended.
func (p *scheduler) settlePending(r *request) {
	p.volumeBuckets(r.Request, r.vol.plan) // refill first, with the units still pending
	r.vol.pending = max(r.vol.pending-r.pending, 0)
	r.pending = 0
}

// refundLimit has a request that reached no node charged again at its next attempt, since the
// bucket has filled meanwhile. Its units are returned only if no connection was made; otherwise it
// is less sure that they were not used.
func (p *scheduler) refundLimit(r *request, o Result) {
	if p.settings.Rules.MaxSendDelay <= 0 || r.reachedNode || !r.charged {
		return
	}
	if r.charged = false; o == NoConnection && r.vol.plan.Limit > 0 {
		r.vol.limitLevel = min(r.vol.limitLevel+r.Units, r.vol.limitCap)
	}
}

// volumeBuckets are the token buckets of one volume at this host: levels and capacities in units,
// rates in units a second.
type volumeBuckets struct {
	plan                     *Plan
	lastUsed                 float64
	reserveLevel, limitLevel float64
	reserveRate, reserveCap  float64
	limitRate, limitCap      float64
	pending                  float64 // charged to the limit by attempts without an outcome, refundable
	limitFloor               float64 // lowest limitLevel after a charge; not above 0
	divisor                  float64 // equal parts of the plan, of which this host has one
	fairLevel, fairRate      float64
	fairCap                  float64
	refilledAt               float64
	limitedAt                float64 // when the limit last delayed a request
}

// divisor returns the number of equal parts into which a plan is split, of which each host has one.
func divisor(hosts int, fraction float64) float64 {
	if fraction <= 0 {
		fraction = 1
	}
	return float64(max(hosts, 1)) / fraction
}

// updateDivisor applies a change of the hosts that share a volume's plan, or of the fraction they
// have.
func (p *scheduler) updateDivisor(e VolumeChanged) {
	v := p.volumes[e.Volume]
	if v == nil {
		return
	}
	p.volumeBuckets(Request{Volume: e.Volume}, v.plan) // refill at the old rates
	p.resizeBuckets(v, v.plan, divisor(e.Hosts, e.Fraction))
	p.recheckLimited()
}

// recheckLimited dispatches from all shards again after a change that may let limited requests go.
func (p *scheduler) recheckLimited() {
	for _, sh := range p.shards {
		sh.clearLimitHolds()
		p.dispatchWaiting(sh)
	}
}
