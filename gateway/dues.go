package gateway

import "container/heap"

// due is something to do at a time. Exactly one of the last three says what.
type due struct {
	at   float64
	seq  uint64 // equals come due in the order in which they were set
	slot int    // its place in the heap, -1 when it is in none

	a         *attempt // its time-out, or what cancelled it
	cancelled bool
	j         *job   // its last possible landing
	name      string // the module's timer
}

// dues is a heap by time from which an entry can be taken out, so that it holds
// only what is still awaited.
type dues struct {
	heap dueHeap
	seq  uint64
}

func (h *dues) push(d *due) {
	h.seq++
	d.seq = h.seq
	heap.Push(&h.heap, d)
}

// remove takes d out, if it is in.
func (h *dues) remove(d *due) {
	if d.slot >= 0 {
		heap.Remove(&h.heap, d.slot)
	}
}

// first returns the earliest entry, nil if there is none.
func (h *dues) first() *due {
	if len(h.heap) == 0 {
		return nil
	}
	return h.heap[0]
}

// dueHeap implements heap.Interface and keeps each entry's slot.
type dueHeap []*due

func (h dueHeap) Len() int { return len(h) }

func (h dueHeap) Less(i, k int) bool {
	return h[i].at < h[k].at || h[i].at == h[k].at && h[i].seq < h[k].seq
}

func (h dueHeap) Swap(i, k int) {
	h[i], h[k] = h[k], h[i]
	h[i].slot, h[k].slot = i, k
}

func (h *dueHeap) Push(x any) {
	d := x.(*due)
	d.slot = len(*h)
	*h = append(*h, d)
}

func (h *dueHeap) Pop() any {
	last := len(*h) - 1
	d := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	d.slot = -1
	return d
}
