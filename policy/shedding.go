package policy

import (
	"cmp"
	"math"
	"slices"
)

// Load shedding: what cannot be served in its aim waits for an idle node or is refused.

// admittedFraction is how much of what this host is asked for at sh may go, dearest first: a
// depth below 1, or what a node that warms up bears of the demand to expect.
func (p *scheduler) admittedFraction(sh *shard) float64 {
	_, coldFraction, _ := p.shardSlowStart(sh)
	return min(sh.depth, coldFraction)
}

// minAdmittedValue is the worth above which lies that part of what was asked of late.
func (p *scheduler) minAdmittedValue(fraction float64) float64 {
	if fraction >= 1 {
		return 0
	}
	cutoff, _ := valueCutoff(p.rankedDemand, fraction)
	return cutoff
}

// expectedWait is the wait of a request with `ahead` mean requests before it.
func (p *scheduler) expectedWait(sh *shard, ahead float64) float64 {
	return ahead * p.expectedServiceTime(sh) / max(sh.depth, 1)
}

// byValue orders a plan's requests, and the shedding: under overload the
// earliest aim first would serve old cheap reads before fresh dear ones.
func byValue(a, b *request) int {
	return cmp.Or(cmp.Compare(b.value, a.value), cmp.Compare(a.targetTime, b.targetTime))
}

// shed parks what cannot be served within its aim, lowest worth first: the
// queue is walked from the highest worth down, and who finds too much before it
// is parked. The parked go only when nothing else waits.
//
// The walk is left out where its outcome is known: where all that waits, one
// after the other, still meets the earliest aim. One that is long is made once in
// walkGap; a queue that long comes only with thousands of requests a second.
func (p *scheduler) shed(sh *shard) {
	serviceTime, minValue := p.expectedServiceTime(sh), p.minAdmittedValue(p.admittedFraction(sh))
	maxExtra := max(p.unloadedServiceTime*(p.maxUnits/p.settings.MeanUnits-1), 0)
	allInTime := minValue == 0 && p.now+p.expectedWait(sh, sh.queuedUnits/p.settings.MeanUnits)+serviceTime+maxExtra+answerMargin <= sh.earliestTarget
	noneExpire := p.now+serviceTime+maxExtra+answerMargin <= sh.earliestExpiry
	if allInTime && noneExpire || sh.waiting > longQueue && p.now-sh.lastWalk < minWalkInterval {
		return
	}
	sh.lastWalk = p.now
	p.shedQueues(sh, serviceTime, minValue)
	p.shedDeferred(sh, serviceTime)
}

func (p *scheduler) shedQueues(sh *shard, serviceTime, minValue float64) {
	_, coldFraction, warming := p.shardSlowStart(sh)
	walkBuffer := sh.walkBuffer
	sh.walkBuffer = nil // what is let go of may bring another walk in the midst of this one
	all := sh.queuedByValue(walkBuffer)
	ahead, earliest := 0.0, math.Inf(1)
	enqueueCount := sh.enqueueCount
	check := func(r *request) {
		switch {
		case r == nil || !r.queued: // ended or sent while an earlier one was let go of
		case r.rank < minValue, warming && !p.inTopFraction(r, coldFraction):
			sh.depthLimited = true
			p.deferRequest(sh, r)
		case p.now+ahead*serviceTime/max(sh.depth, 1)+serviceTime+p.extraServiceTime(r) > r.targetTime:
			p.deferRequest(sh, r)
		default:
			ahead += r.Units / p.settings.MeanUnits
			earliest = min(earliest, r.targetTime)
		}
	}
	for _, r := range slices.Clone(sh.retries.all) {
		check(r)
	}
	for _, r := range all {
		check(r)
	}
	clear(all)
	sh.walkBuffer = all
	if sh.enqueueCount == enqueueCount { // nothing came meanwhile that this walk has not seen
		sh.earliestTarget = earliest
	}
}

// shedDeferred: what cannot be answered before its client leaves would be wasted
// work, and clients with short tries come again at once: they are told to stay
// away. It also clears queues before a stalled node; a node that recovers within
// a request's time could still have served it late.
func (p *scheduler) shedDeferred(sh *shard, serviceTime float64) {
	earliest, deferCount := math.Inf(1), sh.deferCount
	for _, r := range slices.Clone(sh.deferred.all) {
		switch {
		case r == nil || !r.queued:
		case p.now+serviceTime+p.extraServiceTime(r) > r.Expires:
			p.end(r)
		default:
			earliest = min(earliest, r.Expires)
		}
	}
	if sh.deferCount == deferCount {
		sh.earliestExpiry = earliest
	}
}

// deferRequest sets r aside, or refuses it at once where it blocks its key.
func (p *scheduler) deferRequest(sh *shard, r *request) {
	sh.remove(r)
	if c := p.keyQueueOf(r); c != nil && c.active > 1 {
		p.end(r)
		return
	}
	r.queued = true
	sh.waiting++
	sh.deferred.add(r)
	sh.deferCount++
	sh.earliestExpiry = min(sh.earliestExpiry, r.Expires)
}

// demand is what a request asked for and would earn a unit.
type demand struct{ value, units float64 }

// queuedByValue returns what waits in the shard's flows by worth: the flows, each in
// that order, are merged; equals go by flow.
func (sh *shard) queuedByValue(buf []*request) []*request {
	heads := make([][]*request, len(sh.flows))
	for i := range sh.flows {
		heads[i] = sh.flows[i].queue
	}
	for buf = buf[:0]; ; {
		best := -1
		for i, h := range heads {
			if len(h) > 0 && (best < 0 || byValue(h[0], heads[best][0]) < 0) {
				best = i
			}
		}
		if best < 0 {
			return buf
		}
		buf = append(buf, heads[best][0])
		heads[best] = heads[best][1:]
	}
}
