package policy

import (
	"cmp"
	"math"
	"slices"
)

// Load shedding: requests that can't be served within their latency target wait for an idle node
// or are refused.

// admittedFraction returns the fraction of its requests that this host may send to sh, highest
// value first; 1 or more: all. It is limited by a depth below 1 and by slow start.
func (p *scheduler) admittedFraction(sh *shard) float64 {
	_, coldFraction, _ := p.shardSlowStart(sh)
	return min(sh.depth, coldFraction)
}

// minAdmittedRank returns the least rank within the highest-ranked fraction of the recent demand; 0 if
// all of it is admitted.
func (p *scheduler) minAdmittedRank(fraction float64) float64 {
	if fraction >= 1 {
		return 0
	}
	cutoff, _ := rankCutoff(p.rankedDemand, fraction)
	return cutoff
}

// expectedWait returns the queueing delay, ms, of a request that has ahead requests of mean size before
// it.
func (p *scheduler) expectedWait(sh *shard, ahead float64) float64 {
	return ahead * p.expectedServiceTime(sh) / max(sh.depth, 1)
}

// byValue orders requests by descending value, equal ones by target time. Earliest target first would,
// under overload, serve old requests of low value before new ones of high value.
func byValue(a, b *request) int {
	return cmp.Or(cmp.Compare(b.value, a.value), cmp.Compare(a.targetTime, b.targetTime))
}

// shed defers requests that can't be served within their latency target. It walks the retries and
// then the flows from the highest value down and defers each request that has too much work ahead
// of it. Deferred requests are sent only if no other request may be. It then ends deferred requests
// that can't be answered before they expire.
//
// The walk is skipped if the bounds show that it would change nothing. A queue longer than
// longQueue is walked at most once per minWalkInterval.
func (p *scheduler) shed(sh *shard) {
	serviceTime, minRank := p.expectedServiceTime(sh), p.minAdmittedRank(p.admittedFraction(sh))
	maxExtra := max(p.unloadedServiceTime*(p.maxUnitsSeen/p.settings.MeanUnits-1), 0)
	allInTime := minRank == 0 &&
		p.now+p.expectedWait(sh, sh.queuedUnits/p.settings.MeanUnits)+serviceTime+maxExtra+answerMargin <=
			sh.earliestTarget
	noneExpire := p.now+serviceTime+maxExtra+answerMargin <= sh.earliestExpiry
	if allInTime && noneExpire || sh.waiting > longQueue && p.now-sh.lastWalk < minWalkInterval {
		return
	}
	sh.lastWalk = p.now
	p.shedQueues(sh, serviceTime, minRank)
	p.shedDeferred(sh, serviceTime)
}

// shedQueues defers requests in sh's retries and flows that rank below minRank, exceed the slow
// start of its node or would miss their target time.
func (p *scheduler) shedQueues(sh *shard, serviceTime, minRank float64) {
	_, coldFraction, warming := p.shardSlowStart(sh)
	walkBuffer := sh.walkBuffer
	sh.walkBuffer = nil // ending a request may start a nested walk
	entries := sh.queuedByValue(walkBuffer)
	ahead, earliest := 0.0, math.Inf(1)
	enqueueCount := sh.enqueueCount
	check := func(r *request) {
		switch {
		case r == nil || !r.queued: // ended or sent by a nested call
		case r.rank < minRank, warming && !p.inTopFraction(r, coldFraction):
			sh.depthLimited = true
			p.deferRequest(sh, r)
		case p.now+ahead*serviceTime/max(sh.depth, 1)+serviceTime+p.extraServiceTime(r) > r.targetTime:
			p.deferRequest(sh, r)
		default:
			ahead += r.Units / p.settings.MeanUnits
			earliest = min(earliest, r.targetTime)
		}
	}
	for _, r := range slices.Clone(sh.retries.entries) {
		check(r)
	}
	for _, r := range entries {
		check(r)
	}
	clear(entries)
	sh.walkBuffer = entries
	if sh.enqueueCount == enqueueCount { // no request was queued that this walk has not seen
		sh.earliestTarget = earliest
	}
}

// shedDeferred ends deferred requests that can't be answered before they expire. Serving them would
// be wasted work, and a refusal keeps clients with short time-outs from retrying at once. It also
// clears the queue of a stalled node, at the cost of requests that it could still have served late.
func (p *scheduler) shedDeferred(sh *shard, serviceTime float64) {
	earliest, deferCount := math.Inf(1), sh.deferCount
	for _, r := range slices.Clone(sh.deferred.entries) {
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

// deferRequest moves r to the deferred requests. If r blocks other requests of its key, it ends r
// instead.
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

// demand is the rank and size of a request that arrived.
type demand struct{ rank, units float64 }

// queuedByValue merges the queues of the shard's flows into one in the order of byValue; equal
// requests are ordered by flow. It reuses buf.
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
