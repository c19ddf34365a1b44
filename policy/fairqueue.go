package policy

import (
	"cmp"
	"math"
	"slices"
)

// Start-time fair queueing of plans at a shard.

// fifo is a list of requests in order of arrival. Removal by slot takes constant amortized time: it
// leaves a gap, and the list is compacted when more than half of it is gaps.
type fifo struct {
	entries []*request // nil: a gap
	gaps    int
}

func (l *fifo) add(r *request) {
	r.fifo, r.slot = l, len(l.entries)
	l.entries = append(l.entries, r)
}

func (l *fifo) remove(r *request) {
	l.entries[r.slot], r.fifo = nil, nil
	if l.gaps++; 2*l.gaps > len(l.entries) {
		l.gaps = 0
		kept := l.entries[:0]
		for _, x := range l.entries {
			if x != nil {
				x.slot = len(kept)
				kept = append(kept, x)
			}
		}
		clear(l.entries[len(kept):])
		l.entries = kept
	}
}

func (l *fifo) len() int { return len(l.entries) - l.gaps }

// flow is the queue of one plan at a shard.
type flow struct {
	finishTag    float64    // finish tag of the last request sent, start tag of the next
	queue        []*request // by value, see byValue
	limitedUntil float64    // until then volume limits hold all of queue except fresh
	fresh        []*request // requests queued since limitedUntil was set
}

// timeEpsilon is a tolerance for rounding errors in times, ms.
const timeEpsilon = 1e-6

// next returns the request of highest value that may be sent, nil if there is none. While volume
// limits hold the whole queue, only newly queued requests are examined until the first limit
// admits a request, so that a long queue of limited volumes isn't scanned at each dispatch. fresh also
// holds requests that have left the queue; if they get too many, the whole queue is examined again.
func (f *flow) next(p *scheduler, sh *shard) *request {
	if p.now < f.limitedUntil-timeEpsilon && len(f.fresh) <= len(f.queue)+maxNewerSamples {
		if r := f.nextFresh(p, sh); r != nil {
			return r
		}
		p.setTimer(f.limitedUntil+answerMargin, nil, sh)
		return nil
	}
	clear(f.fresh)
	f.fresh, f.limitedUntil = f.fresh[:0], 0
	limited, opensAt := 0, math.Inf(1)
	for _, r := range f.queue {
		p.limitOpensAt = 0
		if p.maySend(r, sh) {
			return r
		}
		if p.limitOpensAt > 0 {
			limited, opensAt = limited+1, min(opensAt, p.limitOpensAt)
		}
	}
	if limited == len(f.queue) && limited > 0 {
		f.limitedUntil = opensAt
	}
	return nil
}

// nextFresh returns the request of highest value among the fresh ones that may be sent. Those that
// limits hold stop being fresh and bring limitedUntil forward if necessary.
func (f *flow) nextFresh(p *scheduler, sh *shard) (best *request) {
	kept := f.fresh[:0]
	for _, r := range f.fresh {
		if !r.queued || r.fifo != nil {
			continue // sent, deferred or ended
		}
		p.limitOpensAt = 0
		if p.maySend(r, sh) {
			if best == nil || byValue(r, best) < 0 {
				best = r
			}
		} else if p.limitOpensAt > 0 {
			f.limitedUntil = min(f.limitedUntil, p.limitOpensAt)
			continue
		}
		kept = append(kept, r)
	}
	clear(f.fresh[len(kept):])
	f.fresh = kept
	return best
}

// shard is the queue in front of the node that serves one shard.
type shard struct {
	id          int
	node        *node   // serves the shard now; nil: no node does
	ready       []*node // nodes that hold the shard and may be sent to
	changed     bool    // the node list being applied affects it
	touched     bool    // cost may be out of date
	cost        float64 // see shardIndex
	heapSlot    int     // its position in the index's heap plus one; 0: not in it
	flows       []flow  // by number of the plan
	virtualTime float64 // start tag of the last request sent from a flow
	retries     fifo    // requests that had an attempt before
	deferred    fifo    // requests that can't be served in time, see shed
	walkBuffer  []*request
	// queuedUnits is the sum of units in flows and retries. earliestTarget is a lower bound of
	// the target times there, earliestExpiry one of the expiry of deferred requests; each walk by
	// shed renews them.
	queuedUnits    float64
	earliestTarget float64
	earliestExpiry float64
	enqueueCount   int // calls of enqueue so far
	deferCount     int // requests deferred so far
	// Volume limits hold all deferred requests that would be examined until
	// deferredLimitedUntil, as long as deferredState equals deferredSeen.
	deferredLimitedUntil  float64
	deferredSeen          [2]int
	lastWalk              float64    // time of the last walk by shed
	outstanding           []*request // requests with an attempt at the node
	waiting               int        // requests in flows, retries and deferred
	depth                 float64    // bound on outstanding; below 1: fraction of requests that may be sent
	timerAt               float64    // earliest timer that is set
	depthModel            *rlsEstimator
	serviceTime           decayingMean // for a request of mean size
	servedTime            decayingMean // of served attempts only, whatever their size
	meetsTargetAtMaxDepth bool         // maxDepth requests served one after the other would be in time
	depthLimited          bool         // the depth bound delayed a request since the last second
	prevOutput            float64      // output of depthModel at the last sample
	lastServedSend        float64      // latest send time among served attempts
}

// deferredState returns a value that changes whenever a request is deferred or a deferred one leaves.
func (sh *shard) deferredState() [2]int { return [2]int{sh.deferCount, sh.deferred.len()} }

// clearLimitHolds makes the next dispatch examine all requests that limits held.
func (sh *shard) clearLimitHolds() {
	sh.deferredLimitedUntil = 0
	for i := range sh.flows {
		sh.flows[i].limitedUntil = 0
	}
}

// enqueue queues r at its shard, as a retry or in its flow, and dispatches.
func (p *scheduler) enqueue(r *request) {
	sh := r.shard
	r.queued = true
	sh.waiting++
	p.markTouched(sh)
	if r.attempts > 0 {
		sh.retries.add(r)
	} else {
		f := &sh.flows[r.flow]
		if len(f.queue) == 0 {
			f.finishTag = max(f.finishTag, sh.virtualTime)
		}
		i, _ := slices.BinarySearchFunc(f.queue, r, func(x, r *request) int {
			return cmp.Or(byValue(x, r), -1) // after equal requests
		})
		f.queue, f.fresh = slices.Insert(f.queue, i, r), append(f.fresh, r)
	}
	sh.queuedUnits += r.Units
	sh.enqueueCount++
	sh.earliestTarget = min(sh.earliestTarget, r.targetTime)
	p.dispatch(sh)
}

// remove removes r from the queue that it is in, if any.
func (sh *shard) remove(r *request) {
	if !r.queued {
		return
	}
	r.queued = false
	sh.waiting--
	if r.fifo != &sh.deferred {
		sh.subtractQueued(r)
	}
	if r.fifo != nil {
		r.fifo.remove(r)
		return
	}
	f := &sh.flows[r.flow]
	i, _ := slices.BinarySearchFunc(f.queue, r, byValue)
	for f.queue[i] != r { // equal requests are adjacent
		i++
	}
	f.queue = slices.Delete(f.queue, i, i+1)
}

// subtractQueued subtracts r from queuedUnits. If only deferred requests are left, it resets
// queuedUnits and earliestTarget, so that rounding errors do not add up.
func (sh *shard) subtractQueued(r *request) {
	sh.queuedUnits -= r.Units
	if sh.waiting == sh.deferred.len() {
		sh.queuedUnits, sh.earliestTarget = 0, math.Inf(1)
	}
}

// shard returns the shard with that id and creates it if necessary.
func (p *scheduler) shard(id int) *shard {
	i, ok := slices.BinarySearchFunc(p.shards, id, func(sh *shard, id int) int {
		return cmp.Compare(sh.id, id)
	})
	if !ok {
		sh := &shard{id: id, earliestTarget: math.Inf(1), earliestExpiry: math.Inf(1)}
		sh.flows = make([]flow, len(p.settings.Plans))
		p.resetDepth(sh)
		p.shards = slices.Insert(p.shards, i, sh)
	}
	return p.shards[i]
}
