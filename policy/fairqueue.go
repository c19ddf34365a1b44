package policy

import (
	"cmp"
	"math"
	"slices"
)

// Start-time fair queueing of plans at a shard.

// list keeps requests in the order in which they came; each can be taken out at
// once by its slot, and the gaps are closed when they are half of all.
type list struct {
	all  []*request // nil: a gap
	gaps int
}

func (l *list) add(r *request) {
	r.list, r.slot = l, len(l.all)
	l.all = append(l.all, r)
}

func (l *list) remove(r *request) {
	l.all[r.slot], r.list = nil, nil
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

func (l *list) len() int { return len(l.all) - l.gaps }

// flow is a plan at a shard.
type flow struct {
	finish   float64
	queue    []*request // by worth
	heldTill float64    // limits hold all of the queue but the fresh until then
	fresh    []*request // that came since
}

// rounding is more, in ms, than the same moment differs by when it is reckoned from two
// others.
const rounding = 1e-6

// next is the dearest of the queue that may go; one that its limit holds is passed over.
// Where limits hold all of it, only what comes is looked at until the first of them lets
// one go: a long queue of limited volumes costs its shard nothing.
func (f *flow) next(p *scheduler, sh *shard) *request {
	if p.now < f.heldTill-rounding && len(f.fresh) <= len(f.queue)+poolMost {
		if r := f.newcomer(p, sh); r != nil {
			return r
		}
		p.setTimer(f.heldTill+guard, nil, sh)
		return nil
	}
	clear(f.fresh)
	f.fresh, f.heldTill = f.fresh[:0], 0
	held, till := 0, math.Inf(1)
	for _, r := range f.queue {
		p.heldAt = 0
		if p.may(r, sh) {
			return r
		}
		if p.heldAt > 0 {
			held, till = held+1, min(till, p.heldAt)
		}
	}
	if held == len(f.queue) && held > 0 {
		f.heldTill = till
	}
	return nil
}

// newcomer is the dearest of the fresh that may go. Those that limits hold join the rest.
func (f *flow) newcomer(p *scheduler, sh *shard) (best *request) {
	kept := f.fresh[:0]
	for _, r := range f.fresh {
		if !r.queued || r.list != nil {
			continue // sent, parked or over
		}
		p.heldAt = 0
		if p.may(r, sh) {
			if best == nil || byWorth(r, best) < 0 {
				best = r
			}
		} else if p.heldAt > 0 {
			f.heldTill = min(f.heldTill, p.heldAt)
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
	id      int
	node    *node
	ready   []*node // that hold the shard and may be sent to
	listed  bool    // the list that is being taken in changes something here
	touched bool    // what a new object would wait here has changed since cost was reckoned
	cost    float64 // see shardIndex
	slot    int     // its place among the quiet ones and one more; 0: it is none
	flows   []flow
	vtime   float64
	retries list
	parked  list
	room    []*request // for a walk
	// load is the units in the flows and retries; nothing there is due before
	// firstAim, nothing parked leaves before firstEnd: bounds that shed renews.
	load     float64
	firstAim float64
	firstEnd float64
	filed    int // counts what was queued,
	aside    int // and what was parked
	// Limits hold all of the parked that would be seen until asideTill, as long as the
	// mark is the same.
	asideTill float64
	asideMark [2]int
	walked    float64 // time of the last whole walk
	out       []*request
	waiting   int
	depth     float64
	timerAt   float64 // earliest timer that was set
	fit       *rlsEstimator
	got       gathered
	took      gathered // the same of what was served alone
	quick     bool     // what the ceiling would put there still meets the aim, one by one
	wasFull   bool     // depth held something back in this second
	lastY     float64
	passed    float64 // when the last that was served was sent
}

// mark changes with whatever comes to the parked or leaves them.
func (sh *shard) mark() [2]int { return [2]int{sh.aside, sh.parked.len()} }

// forgetHeld has everything looked at anew that a limit holds.
func (sh *shard) forgetHeld() {
	sh.asideTill = 0
	for i := range sh.flows {
		sh.flows[i].heldTill = 0
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
			f.finish = max(f.finish, sh.vtime)
		}
		i, _ := slices.BinarySearchFunc(f.queue, r, func(x, r *request) int {
			return cmp.Or(byWorth(x, r), -1) // behind its equals
		})
		f.queue, f.fresh = slices.Insert(f.queue, i, r), append(f.fresh, r)
	}
	sh.load += r.Units
	sh.filed++
	sh.firstAim = min(sh.firstAim, r.aimAt)
	p.pump(sh)
}

// remove takes r out of whatever queue it is in.
func (sh *shard) remove(r *request) {
	if !r.queued {
		return
	}
	r.queued = false
	sh.waiting--
	if r.list != &sh.parked {
		sh.unload(r)
	}
	if r.list != nil {
		r.list.remove(r)
		return
	}
	f := &sh.flows[r.flow]
	i, _ := slices.BinarySearchFunc(f.queue, r, byWorth)
	for f.queue[i] != r { // equals stand together
		i++
	}
	f.queue = slices.Delete(f.queue, i, i+1)
}

func (sh *shard) unload(r *request) {
	sh.load -= r.Units
	if sh.waiting == sh.parked.len() {
		sh.load, sh.firstAim = 0, math.Inf(1)
	}
}

// shard returns the queue of shard id, made if need be.
func (p *scheduler) shard(id int) *shard {
	i, ok := slices.BinarySearchFunc(p.shards, id, func(sh *shard, id int) int {
		return cmp.Compare(sh.id, id)
	})
	if !ok {
		sh := &shard{id: id, firstAim: math.Inf(1), firstEnd: math.Inf(1)}
		sh.flows = make([]flow, len(p.s.Plans))
		p.resetDepth(sh)
		p.shards = slices.Insert(p.shards, i, sh)
	}
	return p.shards[i]
}
