package policy

import "math"

// Slow start: how much may be sent to a node that has just started. All hosts together have to stay
// within what such a node can take, without communicating.

const (
	// coldMarginSigmas is the number of standard deviations by which the load from all hosts stays
	// below the overload threshold of a cold node: about one overload window in 100,000 exceeds it,
	// and a fleet can have hundreds of cold nodes, each for about ten windows.
	coldMarginSigmas = 4.5
	// smallColdCapacity is the capacity, in requests, below which the overload threshold lies three
	// standard deviations above it instead of two.
	smallColdCapacity = 30.0
	// rateSmoothing is the weight of the newest second in this host's smoothed rate. rateMemory is
	// the equivalent averaging time, ms: 2/rateSmoothing - 1 seconds.
	rateSmoothing = 0.1
	rateMemory    = 19_000.0
	// burstMemory is the time constant, ms, of the recent rate, which shows a burst sooner than the
	// smoothed rate does.
	burstMemory = 1000.0
)

// slowStart reports whether n is warming up, the units that this host may send to it within
// coldWindow, and the fraction of its requests that it may send where that budget is less than a
// request. All hosts together may send Rules.ColdUnits to a node that has just started. This total
// grows linearly, as the node's capacity does from ColdCapacity to 1 over WarmUpTime, one
// OverloadWindow late.
//
// With many hosts the budget of each is less than a request. A host then sends, one request at a
// time, the fraction by which the total has to be below the demand expected at the node: this
// host's own rate times the number of hosts, spread over the shards. A host with more than the
// average load sends a smaller fraction, so that the sum holds.
func (p *scheduler) slowStart(n *node) (budget, fraction float64, warming bool) {
	age, rules := p.now-n.coldSince, p.settings.Rules
	if age >= rules.WarmUpTime {
		return 0, 1, false
	}
	growth := 1.0
	if rules.ColdCapacity > 0 && rules.WarmUpTime > 0 {
		growth += (1 - rules.ColdCapacity) / rules.ColdCapacity *
			max(age-rules.OverloadWindow, 0) / rules.WarmUpTime
	}
	safeUnits, hosts := rules.ColdUnits*growth, float64(p.settings.Hosts)
	demand := p.demandRate() * hosts / float64(max(p.settings.Shards, len(p.shards))) *
		rules.OverloadWindow / samplePeriod
	return safeUnits / hosts,
		min(maxColdMean(safeUnits/p.settings.MeanUnits)*p.settings.MeanUnits/demand, 1), true
}

// shardSlowStart is slowStart for the node that serves sh; without one, nothing is warming up.
func (p *scheduler) shardSlowStart(sh *shard) (budget, fraction float64, warming bool) {
	if sh.node == nil {
		return 0, 1, false
	}
	return p.slowStart(sh.node)
}

// maxColdMean returns the mean number of requests that all hosts together may send within
// Rules.OverloadWindow, so that their sum hardly ever overloads a node of that capacity, in
// requests. The overload threshold is c + 2 sqrt(c) + 2 for a capacity c, and c + 3 sqrt(c) + 3
// below smallColdCapacity. The sum over many independent hosts is Poisson distributed: its standard
// deviation is the square root of its mean.
func maxColdMean(capacity float64) float64 {
	overload := capacity + 2*math.Sqrt(capacity) + 2
	if capacity < smallColdCapacity {
		overload = capacity + 3*math.Sqrt(capacity) + 3
	}
	sqrtMean := (math.Sqrt(coldMarginSigmas*coldMarginSigmas+4*overload) - coldMarginSigmas) / 2
	return min(sqrtMean*sqrtMean, capacity)
}

// inTopFraction reports whether r belongs to the most valuable fraction of this host's requests.
// With few requests the cutoff leaves more than that fraction above it; a random draw, made once
// for each request, reduces these to the fraction.
func (p *scheduler) inTopFraction(r *request, fraction float64) bool {
	if fraction >= 1 {
		return true
	}
	cutoff, above := rankCutoff(p.rankedDemand, fraction)
	if fraction <= 0 || r.rank < cutoff {
		return false
	}
	if r.draw == 0 {
		r.draw = 1 - p.rng.Float64()
	}
	return r.draw*above <= fraction
}

// updateArrivalRate updates this host's smoothed rate of units a second, once a second: the plain mean
// since the start, until the exponentially weighted mean takes over.
func (p *scheduler) updateArrivalRate() {
	elapsed := max(p.now-p.rateUpdatedAt, 1)
	rate := p.unitsSinceUpdate * samplePeriod / elapsed
	p.arrivalRate += max(rateSmoothing, min(elapsed/max(p.now-p.startedAt, 1), 1)) * (rate - p.arrivalRate)
	p.unitsSinceUpdate, p.rateUpdatedAt = 0, p.now
}

// demandRate returns the expected demand in units a second, +Inf while nothing is known: the
// smoothed rate, or the recent rate less its standard deviation if that is higher.
//
// The smoothed rate counts one request more than arrived, because the fraction that is sent has the
// count as its divisor: for a Poisson count k with mean m, the mean of 1/(k+1) is below 1/m, that
// of 1/k above it.
func (p *scheduler) demandRate() float64 {
	knownSpan := min(p.rateUpdatedAt-p.startedAt, rateMemory)
	if knownSpan <= 0 {
		return math.Inf(1)
	}
	recentRate := p.recentUnits.value(p.now, burstMemory) * samplePeriod / burstMemory
	recentRequests := recentRate / p.settings.MeanUnits
	stdDev := math.Sqrt(recentRequests * samplePeriod / (2 * burstMemory)) // of a decaying count
	return max(p.arrivalRate+p.settings.MeanUnits*samplePeriod/knownSpan,
		recentRate-p.settings.MeanUnits*stdDev)
}

// coldWindow is the age in ms up to which an attempt counts towards the budget of a cold node: it
// may leave up to MaxSendDelay after it was sent.
func (p *scheduler) coldWindow() float64 {
	return p.settings.Rules.OverloadWindow + p.settings.Rules.MaxSendDelay + p.settings.Tick
}
