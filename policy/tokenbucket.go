package policy

import "math"

// Token buckets: this host's part of the reserve, rate and limit in each volume's plan.

// volumeBuckets returns the token buckets of req's volume at this host, refilled to the present. On
// first use they are created, with the reserve and the fair share full.
func (p *scheduler) volumeBuckets(req Request, plan *Plan) *volumeBuckets {
	buckets := p.volumes[req.Volume]
	if buckets == nil {
		buckets = &volumeBuckets{plan: plan, refilledAt: p.now, limitedAt: math.Inf(-1)}
		p.volumes[req.Volume] = buckets
		p.setBuckets(buckets, divisor(req.Hosts, req.Fraction))
		buckets.fairLevel, buckets.reserveLevel = buckets.fairCap, buckets.reserveCap
		// This host may have spent its part just before a restart, or other hosts before they
		// gave it up: count only what has filled since.
		buckets.limitLevel = min(buckets.limitFloor+
			buckets.limitRate*(p.now-max(p.startedAt, req.FractionSince))/1000, buckets.limitCap)
	}
	seconds := (p.now - buckets.refilledAt) / 1000
	buckets.reserveLevel = min(buckets.reserveLevel+buckets.reserveRate*seconds, buckets.reserveCap)
	buckets.limitLevel = max(buckets.limitLevel,
		min(buckets.limitLevel+buckets.limitRate*seconds, buckets.limitCap-buckets.pending))
	buckets.fairLevel = min(buckets.fairLevel+buckets.fairRate*seconds, buckets.fairCap)
	buckets.refilledAt, buckets.lastUsed = p.now, p.now
	return buckets
}

// setBuckets sets the fill rates and capacities for one of that many equal parts of the plan.
func (p *scheduler) setBuckets(buckets *volumeBuckets, parts float64) {
	plan := buckets.plan
	buckets.divisor = parts
	buckets.reserveRate, buckets.limitRate, buckets.fairRate =
		plan.Reserve/parts, plan.Limit/parts, fairRateFactor*plan.Rate/parts
	buckets.reserveCap, buckets.limitCap = plan.Reserve/parts+p.settings.MaxUnits, plan.Burst/parts
	buckets.limitFloor = min(plan.Limit*(arrivalSkew+p.settings.Rules.MaxSendDelay)/1000-plan.Overdraft,
		0) / parts
	buckets.fairCap = max(buckets.fairRate*fairBurstSeconds, 2*p.settings.MaxUnits)
}

// resizeBuckets gives a volume another plan or another part of it. Tokens left in the limit's
// bucket are kept up to the new capacity; none are added, since a larger part may have been spent
// at other hosts. Without a limit before, none are left. Pending units count as left, since they
// may be refunded, and are then taken from the new bucket.
func (p *scheduler) resizeBuckets(buckets *volumeBuckets, plan *Plan, parts float64) {
	remaining := buckets.limitLevel + buckets.pending - buckets.limitFloor
	if buckets.plan.Limit <= 0 {
		remaining = 0
	}
	buckets.plan = plan
	p.setBuckets(buckets, parts)
	buckets.limitLevel = buckets.limitFloor +
		min(remaining, buckets.limitCap-buckets.limitFloor) - buckets.pending
}

// valueRequest sets the value of each of r's units: in full inside the volume's reserve, by
// FairFactor inside its fair share, by SpareFactor beyond it.
func (p *scheduler) valueRequest(r *request) {
	plan := &p.settings.Plans[r.flow]
	factor := p.settings.SpareFactor
	if plan.Reserve > 0 && r.tokenBuckets.reserveLevel >= r.Units {
		r.tokenBuckets.reserveLevel -= r.Units
		factor = 1
	} else if r.tokenBuckets.fairLevel >= r.Units || plan.Rate == 0 {
		r.tokenBuckets.fairLevel -= r.Units
		factor = p.settings.FairFactor
	}
	r.value = r.class.Value * plan.Price * factor
	r.rank = r.value * (1 + rankJitter*p.rng.Float64())
	p.unitsSinceUpdate += r.Units
	p.recentUnits.addN(r.Units, p.now, burstMemory)
	p.recentDemand = append(p.recentDemand[max(len(p.recentDemand)-maxNewerDemand, 0):],
		demand{r.rank, r.Units})
}

// withinLimit reports whether the limit of r's volume admits r at this host; if not, it sets a
// timer for when the bucket will have filled far enough.
func (p *scheduler) withinLimit(r *request, sh *shard) bool {
	if r.tokenBuckets.plan.Limit <= 0 || r.charged {
		return true
	}
	buckets := p.volumeBuckets(r.Request, r.tokenBuckets.plan)
	r.tokenBuckets = buckets // the old record may have been dropped as idle
	if deficit := buckets.limitFloor + r.Units - buckets.limitLevel; deficit > 0 {
		p.limitOpensAt, buckets.limitedAt = p.now+deficit/buckets.limitRate*1000, p.now
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
	if r.tokenBuckets.plan.Limit <= 0 {
		return
	}
	r.tokenBuckets.limitLevel -= r.Units // just refilled by withinLimit
	if p.settings.Rules.MaxSendDelay > 0 {
		r.pending = r.Units
		r.tokenBuckets.pending += r.Units
	}
}

// settlePending ends the pending state of r's units, after its attempt has ended.
func (p *scheduler) settlePending(r *request) {
	p.volumeBuckets(r.Request, r.tokenBuckets.plan) // refill first, with the units still pending
	r.tokenBuckets.pending = max(r.tokenBuckets.pending-r.pending, 0)
	r.pending = 0
}

// refundLimit has a request that reached no node charged again at its next attempt, since the
// bucket has filled meanwhile. Its units are returned only if no connection was made; otherwise it
// is less certain that they were not used.
func (p *scheduler) refundLimit(r *request, result Result) {
	if p.settings.Rules.MaxSendDelay <= 0 || r.reachedNode || !r.charged {
		return
	}
	if r.charged = false; result == NoConnection && r.tokenBuckets.plan.Limit > 0 {
		r.tokenBuckets.limitLevel = min(r.tokenBuckets.limitLevel+r.Units, r.tokenBuckets.limitCap)
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
func (p *scheduler) updateDivisor(change VolumeChanged) {
	buckets := p.volumes[change.Volume]
	if buckets == nil {
		return
	}
	p.volumeBuckets(Request{Volume: change.Volume}, buckets.plan) // refill at the old rates
	p.resizeBuckets(buckets, buckets.plan, divisor(change.Hosts, change.Fraction))
	p.recheckLimited()
}

// recheckLimited dispatches from all shards again after a change that may admit limited requests.
func (p *scheduler) recheckLimited() {
	for _, sh := range p.shards {
		sh.clearLimitHolds()
		p.dispatchWaiting(sh)
	}
}
