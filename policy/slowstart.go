package policy

import "math"

// Slow start: what may go to a node that has just started. All hosts together have to stay
// within what such a node bears, and they don't talk.

const (
	// coldMarginSigmas is how many standard deviations the sum of what independent hosts send stays
	// below the load at which a cold node falls: a fleet has hundreds of cold nodes, each for
	// some ten windows of Rules.FallTime. At 4.5 one window in some hundred thousand is over.
	coldMarginSigmas = 4.5
	// smallColdLoad is the budget, in requests, below which the load at which a node falls has
	// three standard deviations in it, and not two.
	smallColdLoad = 30.0
	// rateSmoothing is a second's pull on the smoothed rate of this host, and rateSpan the time, in
	// ms, that such a rate is a mean of: 2/rateSmoothing - 1 seconds.
	rateSmoothing = 0.1
	rateMemory    = 19_000.0
	// burstMemory is the memory, in ms, that shows a burst before the smoothed rate does.
	burstMemory = 1000.0
)

// slowStart tells whether n is still warming up, and the units that this host may
// send it within any Rules.FallTime. All hosts together may send ColdUnits at
// the least capacity; that capacity grows no slower than evenly over ColdTime.
//
// With many hosts that is less than a request. Then a host lets go that part of
// what it is asked for which the budget bears of the demand to expect at a node,
// one request at a time: its own rate over all nodes, for all hosts. Hosts that
// have more than others to send let a smaller part go, so the sum holds.
func (p *scheduler) slowStart(n *node) (budget, fraction float64, warming bool) {
	age, rules := p.now-n.coldSince, p.s.Rules
	if age >= rules.WarmUpTime {
		return 0, 1, false
	}
	growth := 1.0
	if rules.ColdCapacity > 0 && rules.WarmUpTime > 0 {
		growth += (1 - rules.ColdCapacity) / rules.ColdCapacity * max(age-rules.OverloadWindow, 0) / rules.WarmUpTime
	}
	safeUnits, hosts := rules.ColdUnits*growth, float64(p.s.Hosts)
	demand := p.demandRate() * hosts / float64(max(p.s.Shards, len(p.shards))) * rules.OverloadWindow / period
	return safeUnits / hosts, min(maxColdMean(safeUnits/p.s.MeanUnits)*p.s.MeanUnits/demand, 1), true
}

// shardSlowStart is cold for the node that has the shard.
func (p *scheduler) shardSlowStart(sh *shard) (budget, fraction float64, warming bool) {
	if sh.node == nil {
		return 0, 1, false
	}
	return p.slowStart(sh.node)
}

// maxColdMean is how many requests all hosts may send in the mean within Rules.FallTime, so
// that chance hardly ever takes their sum to where a node that bears n falls: n + 2 root n
// + 2, below fewCold n + 3 root n + 3. The sum of what many hosts send by chance is spread
// as Poisson's law has it: by the root of its mean.
func maxColdMean(capacity float64) float64 {
	overload := capacity + 2*math.Sqrt(capacity) + 2
	if capacity < smallColdLoad {
		overload = capacity + 3*math.Sqrt(capacity) + 3
	}
	sqrtMean := (math.Sqrt(coldMarginSigmas*coldMarginSigmas+4*overload) - coldMarginSigmas) / 2
	return min(sqrtMean*sqrtMean, capacity)
}

// inTopFraction tells whether r is of the dearest part of what this host is asked for. Of few
// requests the cut between them leaves more above it than that part: as much the fewer of
// those go, by lot.
func (p *scheduler) inTopFraction(r *request, fraction float64) bool {
	if fraction >= 1 {
		return true
	}
	cutoff, above := valueCutoff(p.ranked, fraction)
	if fraction <= 0 || r.rank < cutoff {
		return false
	}
	if r.drawn == 0 {
		r.drawn = 1 - p.rng.Float64()
	}
	return r.drawn*above <= fraction
}

// updateOwnRate takes in what was asked since it last did, once a second: the mean since the
// start until that is long enough ago, and then a fading one.
func (p *scheduler) updateOwnRate() {
	elapsed := max(p.now-p.ratedAt, 1)
	rate := p.asked * period / elapsed
	p.ownRate += max(rateSmoothing, min(elapsed/max(p.now-p.born, 1), 1)) * (rate - p.ownRate)
	p.asked, p.ratedAt = 0, p.now
}

// demandRate is the units a second to reckon with, +Inf where nothing is known: the long
// rate, or the rate of this moment as far as it is over that by more than chance. One request
// more is counted than came: of k requests by Poisson's law with the mean m, the mean of
// 1/(k+1) is below 1/m, while that of 1/k is above, and the part that goes is such a quotient.
func (p *scheduler) demandRate() float64 {
	knownSpan := min(p.ratedAt-p.born, rateMemory)
	if knownSpan <= 0 {
		return math.Inf(1)
	}
	recentRate := p.recentUnits.value(p.now, burstMemory) * period / burstMemory
	recentRequests := recentRate / p.s.MeanUnits
	stdDev := math.Sqrt(recentRequests * period / (2 * burstMemory)) // of a fading sum
	return max(p.ownRate+p.s.MeanUnits*period/knownSpan, recentRate-p.s.MeanUnits*stdDev)
}

// coldWindow is how long ago an attempt may have been decided that still counts at a cold node.
func (p *scheduler) coldWindow() float64 {
	return p.s.Rules.OverloadWindow + p.s.Rules.MaxSendDelay + p.s.Tick
}
