package policy

import (
	"cmp"
	"container/heap"
	"math"
)

// Routing of new objects, which any node can take, to the shard with the lowest cost.

// selectShard returns the shard with that number; for a new object, whose number is negative, the
// one with the lowest cost.
func (p *scheduler) selectShard(id int) *shard {
	if id >= 0 {
		return p.shard(id)
	}
	p.reinsertIdle()
	best, lowest := p.index.idle.peek()
	for _, sh := range p.index.touched {
		if cost, ok := p.placementCost(sh); ok && (best == nil || cost < lowest ||
			cost == lowest && sh.id < best.id) {
			best, lowest = sh, cost
		}
	}
	if best == nil {
		return p.shard(0)
	}
	return best
}

// placementCost returns the cost of a new object at sh: its expected wait and service time in ms,
// raised where only a fraction may be sent or attempts fail. It returns false if none may be sent there.
func (p *scheduler) placementCost(sh *shard) (float64, bool) {
	p.visits++
	if sh.node == nil || sh.node.suspect {
		return 0, false
	}
	// The capacity of a cold or busy node is kept for requests that only it can serve.
	queued := float64(sh.waiting + len(sh.outstanding))
	cost := (p.expectedWait(sh, queued) + p.expectedServiceTime(sh)) /
		max(min(p.admittedFraction(sh), 1), minFraction)
	// A node that fails fast has a short queue, which would otherwise attract new objects.
	successFraction := 1 - sh.node.errorFraction(p.now)
	return cost / (successFraction * successFraction), true
}

// shardIndex finds the shard with the lowest placement cost without a walk over all of them. An
// idle shard keeps its cost from the last event there or the last second; touched shards are
// checked one by one.
type shardIndex struct {
	idle    shardHeap
	touched []*shard // cost out of date, or requests waiting or outstanding
}

// markTouched records that the placement cost of sh may have changed.
func (p *scheduler) markTouched(sh *shard) {
	if !sh.touched {
		sh.touched = true
		p.index.touched = append(p.index.touched, sh)
	}
}

// reinsertIdle returns the touched shards that are idle again to the heap, at their present cost.
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

// rebuildIndex recomputes the costs of all shards.
func (p *scheduler) rebuildIndex() {
	idx := &p.index
	clear(idx.touched)
	idx.touched, idx.idle = idx.touched[:0], idx.idle[:0]
	for _, sh := range p.shards {
		sh.touched, sh.heapSlot = false, 0
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

// shardHeap is a heap of shards by cost, then by number.
type shardHeap []*shard

func (c shardHeap) peek() (*shard, float64) {
	if len(c) == 0 {
		return nil, math.Inf(1)
	}
	return c[0], c[0].cost
}

func (c *shardHeap) remove(sh *shard) {
	if sh.heapSlot > 0 {
		heap.Remove(c, sh.heapSlot-1)
	}
}

func (c shardHeap) Len() int { return len(c) }

func (c shardHeap) Less(i, j int) bool {
	return cmp.Or(cmp.Compare(c[i].cost, c[j].cost), cmp.Compare(c[i].id, c[j].id)) < 0
}

func (c shardHeap) Swap(i, j int) {
	c[i], c[j] = c[j], c[i]
	c[i].heapSlot, c[j].heapSlot = i+1, j+1
}

func (c *shardHeap) Push(x any) {
	sh := x.(*shard)
	*c = append(*c, sh)
	sh.heapSlot = len(*c)
}

func (c *shardHeap) Pop() any {
	last := len(*c) - 1
	sh := (*c)[last]
	(*c)[last] = nil
	*c = (*c)[:last]
	sh.heapSlot = 0
	return sh
}
