package policy

import (
	"cmp"
	"math"
	"slices"
)

// Start-time fair queueing of plans at a shard.

// fifo keeps requests in the order in which they came; each can be taken out at
// once by its slot, and the gaps are closed when they are half of all.
type fifo struct {
	all  []*request // nil: a gap
	gaps int
}

func (l *fifo) add(r *request) {
	r.fifo, r.slot = l, len(l.all)
	l.all = append(l.all, r)
}

func (l *fifo) remove(r *request) {
	l.all[r.slot], r.fifo = nil, nil
	if l.gaps++; 2*l.gaps > len(l.all) {
		l.gaps = 0
		kept := l.all[:0]
		for _, x := range l.all {
			if x != nil {
				x.slot = len(kept)
				kept = append(kept, x)
			}
		}
		clear(l.all[len(kept):])
		l.all = kept
	}
}

func (l *fifo) len() int { return len(l.all) - l.gaps }

// flow is a plan at a shard.
type flow struct {
	finishTag    float64
	queue        []*request // by worth
	limitedUntil float64    // limits hold all of the queue but the fresh until then
	fresh        []*request // that came since
}

// timeEpsilon is more, in ms, than the same moment differs by when it is reckoned from two
// others.
const timeEpsilon = 1e-6

// next is the dearest of the queue that may go; one that its limit holds is passed over.
// Where limits hold all of it, only what comes is looked at until the first of them lets
// one go: a long queue of limited volumes costs its shard nothing.
func (f *flow) next(p *scheduler, sh *shard) *request {
	if p.now < f.limitedUntil-timeEpsilon && len(f.fresh) <= len(f.queue)+maxNewerAnswers {
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

// nextFresh is the dearest of the fresh that may go. Those that limits hold join the rest.
func (f *flow) nextFresh(p *scheduler, sh *shard) (best *request) {
	kept := f.fresh[:0]
	for _, r := range f.fresh {
		if !r.queued || r.fifo != nil {
			continue // sent, parked or over
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

// shard holds the queue of the node that has the shard.
type shard struct {
	id          int
	node        *node
	ready       []*node // that hold the shard and may be sent to
	changed     bool    // the list that is being taken in changes something here
	touched     bool    // what a new object would wait here has changed since cost was reckoned
	cost        float64 // see shardIndex
	heapSlot    int     // its place among the quiet ones and one more; 0: it is none
	flows       []flow
	virtualTime float64
	retries     fifo
	deferred    fifo
	walkBuffer  []*request // for a walk
	// queuedUnits is the units in the flows and retries; nothing there is due before
	// firstAim, nothing parked leaves before firstEnd: bounds that shed renews.
	queuedUnits    float64
	earliestTarget float64
	earliestExpiry float64
	enqueueCount   int // counts what was queued,
	deferCount     int // and what was parked
	// Limits hold all of the parked that would be seen until deferredLimitedUntil, as long as the
	// mark is the same.
	deferredLimitedUntil  float64
	deferredSeen          [2]int
	lastWalk              float64 // time of the last whole walk
	outstanding           []*request
	waiting               int
	depth                 float64
	timerAt               float64 // earliest timer that was set
	depthModel            *rlsEstimator
	serviceTime           decayingMean
	servedTime            decayingMean // the same of what was served alone
	meetsTargetAtMaxDepth bool         // what the ceiling would put there still meets the aim, one by one
	depthLimited          bool         // depth held something back in this second
	prevOutput            float64
	lastServedSend        float64 // when the last that was served was sent
}

// deferredState changes with whatever comes to the parked or leaves them.
func (sh *shard) deferredState() [2]int { return [2]int{sh.deferCount, sh.deferred.len()} }

// clearLimitHolds has everything looked at anew that a limit holds.
func (sh *shard) clearLimitHolds() {
	sh.deferredLimitedUntil = 0
	for i := range sh.flows {
		sh.flows[i].limitedUntil = 0
	}
}

// enqueue files r at its shard; further attempts go first.
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
			return cmp.Or(byValue(x, r), -1) // behind its equals
		})
		f.queue, f.fresh = slices.Insert(f.queue, i, r), append(f.fresh, r)
	}
	sh.queuedUnits += r.Units
	sh.enqueueCount++
	sh.earliestTarget = min(sh.earliestTarget, r.targetTime)
	p.dispatch(sh)
}

// remove takes r out of whatever queue it is in.
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
	for f.queue[i] != r { // equals stand together
		i++
	}
	f.queue = slices.Delete(f.queue, i, i+1)
}

func (sh *shard) subtractQueued(r *request) {
	sh.queuedUnits -= r.Units
	if sh.waiting == sh.deferred.len() {
		sh.queuedUnits, sh.earliestTarget = 0, math.Inf(1)
	}
}

// shard returns the queue of shard id, made if need be.
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
