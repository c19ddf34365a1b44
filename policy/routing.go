package policy

import (
	"cmp"
	"container/heap"
	"math"
)

// Routing of new objects, which any node can take: to the shard where the wait is shortest.

// selectShard picks the queue: the shard's own, or for a new object the one where
// the wait is shortest.
func (p *scheduler) selectShard(id int) *shard {
	if id >= 0 {
		return p.shard(id)
	}
	p.reinsertIdle()
	best, lowest := p.index.idle.peek()
	for _, sh := range p.index.touched {
		if cost, ok := p.placementCost(sh); ok && (best == nil || cost < lowest || cost == lowest && sh.id < best.id) {
			best, lowest = sh, cost
		}
	}
	if best == nil {
		return p.shard(0)
	}
	return best
}

// placementCost is what a new object would wait at sh, by the part of it that may go; false if
// none is to go there.
func (p *scheduler) placementCost(sh *shard) (float64, bool) {
	p.visits++
	if sh.node == nil || sh.node.suspect {
		return 0, false
	}
	// What a cold or busy node may take is for what must go there.
	queued := float64(sh.waiting + len(sh.outstanding))
	cost := (p.expectedWait(sh, queued) + p.expectedServiceTime(sh)) / max(min(p.admittedFraction(sh), 1), minFraction)
	// Quick errors leave a node's queue empty: what it fails would else come there first.
	successFraction := 1 - sh.node.errorFraction(p.now)
	return cost / (successFraction * successFraction), true
}

// shardIndex finds the shard of least cost without a walk over all of them. A shard where
// nothing waits and nothing is out keeps the cost that it had when something last happened
// there, or at the last second; the others are looked at one by one.
type shardIndex struct {
	idle    shardHeap
	touched []*shard // something has happened there since, or is under way
}

// markTouched notes that what a new object would wait at sh has changed.
func (p *scheduler) markTouched(sh *shard) {
	if !sh.touched {
		sh.touched = true
		p.index.touched = append(p.index.touched, sh)
	}
}

// reinsertIdle takes the touched shards that are quiet again back by their costs.
func (p *scheduler) reinsertIdle() {
	idx := &p.index
	busy := idx.touched[:0]
	for _, sh := range idx.touched {
		idx.idle.remove(sh)
		if sh.busy() {
			busy = append(busy, sh)
			continue
		}
		sh.touched = false
		if cost, ok := p.placementCost(sh); ok {
			sh.cost = cost
			heap.Push(&idx.idle, sh)
		}
	}
	clear(idx.touched[len(busy):])
	idx.touched = busy
}

// rebuildIndex reckons all costs anew.
func (p *scheduler) rebuildIndex() {
	idx := &p.index
	clear(idx.touched)
	idx.touched, idx.idle = idx.touched[:0], idx.idle[:0]
	for _, sh := range p.shards {
		sh.touched, sh.slot = false, 0
		if sh.busy() {
			p.markTouched(sh)
		} else if cost, ok := p.placementCost(sh); ok {
			sh.cost = cost
			idx.idle.Push(sh)
		}
	}
	heap.Init(&idx.idle)
}

func (sh *shard) busy() bool { return sh.waiting+len(sh.outstanding) > 0 }

// shardHeap is a heap of shards, the least cost first; equals go by number.
type shardHeap []*shard

func (c shardHeap) peek() (*shard, float64) {
	if len(c) == 0 {
		return nil, math.Inf(1)
	}
	return c[0], c[0].cost
}

func (c *shardHeap) remove(sh *shard) {
	if sh.slot > 0 {
		heap.Remove(c, sh.slot-1)
	}
}

func (c shardHeap) Len() int { return len(c) }

func (c shardHeap) Less(i, j int) bool {
	return cmp.Or(cmp.Compare(c[i].cost, c[j].cost), cmp.Compare(c[i].id, c[j].id)) < 0
}

func (c shardHeap) Swap(i, j int) {
	c[i], c[j] = c[j], c[i]
	c[i].slot, c[j].slot = i+1, j+1
}

func (c *shardHeap) Push(x any) {
	sh := x.(*shard)
	*c = append(*c, sh)
	sh.slot = len(*c)
}

func (c *shardHeap) Pop() any {
	last := len(*c) - 1
	sh := (*c)[last]
	(*c)[last] = nil
	*c = (*c)[:last]
	sh.slot = 0
	return sh
}
