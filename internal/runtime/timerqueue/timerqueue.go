// Package timerqueue holds what comes due at a time, from which a timer can be taken
// out, so that it holds only what is still awaited. It knows no clock.
package timerqueue

import (
	"container/heap"
	"math"
)

// Timer is something to do at a time, in whatever unit its owner counts. A timer is in
// one queue at a time.
type Timer[T any] struct {
	Due     float64
	Value   T
	seq     uint64 // equals come due in the order in which they were set
	heapPos int    // its place in the heap and one more; 0 when it is in none
}

// Queue orders entries by time. The zero value is empty.
type Queue[T any] struct {
	timers timerHeap[T]
	seq    uint64
}

// Push enters e.
func (h *Queue[T]) Push(e *Timer[T]) {
	h.seq++
	e.seq = h.seq
	heap.Push(&h.timers, e)
}

// Remove takes e out, if it is in.
func (h *Queue[T]) Remove(e *Timer[T]) {
	if e.heapPos > 0 {
		heap.Remove(&h.timers, e.heapPos-1)
	}
}

// First is the earliest entry, nil if there is none.
func (h *Queue[T]) First() *Timer[T] {
	if len(h.timers) == 0 {
		return nil
	}
	return h.timers[0]
}

// NextDue is when the earliest entry comes due, +Inf where there is none.
func (h *Queue[T]) NextDue() float64 {
	if len(h.timers) == 0 {
		return math.Inf(1)
	}
	return h.timers[0].Due
}

// PopDue takes out the earliest entry that is due by now, nil if there is none.
func (h *Queue[T]) PopDue(now float64) *Timer[T] {
	e := h.First()
	if e == nil || e.Due > now {
		return nil
	}
	h.Remove(e)
	return e
}

// All lists the entries, in no order that means anything. It is the heap's own.
func (h *Queue[T]) All() []*Timer[T] { return h.timers }

type timerHeap[T any] []*Timer[T]

func (h timerHeap[T]) Len() int { return len(h) }

func (h timerHeap[T]) Less(i, k int) bool {
	return h[i].Due < h[k].Due || h[i].Due == h[k].Due && h[i].seq < h[k].seq
}

func (h timerHeap[T]) Swap(i, k int) {
	h[i], h[k] = h[k], h[i]
	h[i].heapPos, h[k].heapPos = i+1, k+1
}

func (h *timerHeap[T]) Push(x any) {
	e := x.(*Timer[T])
	*h = append(*h, e)
	e.heapPos = len(*h)
}

func (h *timerHeap[T]) Pop() any {
	last := len(*h) - 1
	e := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	e.heapPos = 0
	return e
}
