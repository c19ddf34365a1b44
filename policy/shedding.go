package policy

import (
	"cmp"
	"math"
	"slices"
)

// Load shedding: what cannot be served in its aim waits for an idle node or is refused.

// part is how much of what this host is asked for at sh may go, dearest first: a
// depth below 1, or what a node that warms up bears of the demand to expect.
func (p *scheduler) part(sh *shard) float64 {
	_, bears, _ := p.shardSlowStart(sh)
	return min(sh.depth, bears)
}

// priceFor is the worth above which lies that part of what was asked of late.
func (p *scheduler) priceFor(part float64) float64 {
	if part >= 1 {
		return 0
	}
	price, _ := valueCutoff(p.ranked, part)
	return price
}

// waitFor is the wait of a request with `ahead` mean requests before it.
func (p *scheduler) waitFor(sh *shard, ahead float64) float64 {
	return ahead * p.expectedServiceTime(sh) / max(sh.depth, 1)
}

// byWorth orders a plan's requests, and the shedding: under overload the
// earliest aim first would serve old cheap reads before fresh dear ones.
func byWorth(a, b *request) int {
	return cmp.Or(cmp.Compare(b.value, a.value), cmp.Compare(a.aimAt, b.aimAt))
}

// shed parks what cannot be served within its aim, lowest worth first: the
// queue is walked from the highest worth down, and who finds too much before it
// is parked. The parked go only when nothing else waits.
//
// The walk is left out where its outcome is known: where all that waits, one
// after the other, still meets the earliest aim. One that is long is made once in
// walkGap; a queue that long comes only with thousands of requests a second.
func (p *scheduler) shed(sh *shard) {
	service, price := p.expectedServiceTime(sh), p.priceFor(p.part(sh))
	most := max(p.base*(p.largest/p.s.MeanUnits-1), 0)
	calm := price == 0 && p.now+p.waitFor(sh, sh.load/p.s.MeanUnits)+service+most+guard <= sh.firstAim
	stay := p.now+service+most+guard <= sh.firstEnd
	if calm && stay || sh.waiting > longQueue && p.now-sh.walked < walkGap {
		return
	}
	sh.walked = p.now
	p.shedQueues(sh, service, price)
	p.shedParked(sh, service)
}

func (p *scheduler) shedQueues(sh *shard, service, price float64) {
	_, bears, warming := p.shardSlowStart(sh)
	room := sh.room
	sh.room = nil // what is let go of may bring another walk in the midst of this one
	all := sh.dearest(room)
	ahead, first := 0.0, math.Inf(1)
	filed := sh.filed
	look := func(r *request) {
		switch {
		case r == nil || !r.queued: // ended or sent while an earlier one was let go of
		case r.rank < price, warming && !p.inTopFraction(r, bears):
			sh.wasFull = true
			p.park(sh, r)
		case p.now+ahead*service/max(sh.depth, 1)+service+p.extra(r) > r.aimAt:
			p.park(sh, r)
		default:
			ahead += r.Units / p.s.MeanUnits
			first = min(first, r.aimAt)
		}
	}
	for _, r := range slices.Clone(sh.retries.all) {
		look(r)
	}
	for _, r := range all {
		look(r)
	}
	clear(all)
	sh.room = all
	if sh.filed == filed { // nothing came meanwhile that this walk has not seen
		sh.firstAim = first
	}
}

// shedParked: what cannot be answered before its client leaves would be wasted
// work, and clients with short tries come again at once: they are told to stay
// away. It also clears queues before a stalled node; a node that recovers within
// a request's time could still have served it late.
func (p *scheduler) shedParked(sh *shard, service float64) {
	first, aside := math.Inf(1), sh.aside
	for _, r := range slices.Clone(sh.parked.all) {
		switch {
		case r == nil || !r.queued:
		case p.now+service+p.extra(r) > r.Expires:
			p.end(r)
		default:
			first = min(first, r.Expires)
		}
	}
	if sh.aside == aside {
		sh.firstEnd = first
	}
}

// park sets r aside, or refuses it at once where it blocks its key.
func (p *scheduler) park(sh *shard, r *request) {
	sh.remove(r)
	if c := p.chainOf(r); c != nil && c.live > 1 {
		p.end(r)
		return
	}
	r.queued = true
	sh.waiting++
	sh.parked.add(r)
	sh.aside++
	sh.firstEnd = min(sh.firstEnd, r.Expires)
}

// ask is what a request asked for and would earn a unit.
type ask struct{ worth, units float64 }

// dearest returns what waits in the shard's flows by worth: the flows, each in
// that order, are merged; equals go by flow.
func (sh *shard) dearest(buf []*request) []*request {
	heads := make([][]*request, len(sh.flows))
	for i := range sh.flows {
		heads[i] = sh.flows[i].queue
	}
	for buf = buf[:0]; ; {
		best := -1
		for i, h := range heads {
			if len(h) > 0 && (best < 0 || byWorth(h[0], heads[best][0]) < 0) {
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
