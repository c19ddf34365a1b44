// Package timerqueue implements a priority queue of timers, ordered by due time, from which
// any timer can be removed. It reads no clock: callers pass the present time.
package timerqueue

import (
	"container/heap"
	"math"
)

// Timer is an entry of a Queue. Due is in the unit of the queue's user, and must not change
// while the timer is queued. A timer may be in at most one queue.
type Timer[T any] struct {
	Due     float64
	Value   T
	seq     uint64 // breaks ties: timers with equal Due come in the order of Push
	heapPos int    // index in the heap plus one, 0 if not queued
}

// Queue is a queue of timers ordered by Due, and by the order of Push among equal ones. The
// zero value is empty. It is not safe for concurrent use.
type Queue[T any] struct {
	timers timerHeap[T]
	seq    uint64
}

// Push adds e, which must not be queued.
func (h *Queue[T]) Push(e *Timer[T]) {
	h.seq++
	e.seq = h.seq
	heap.Push(&h.timers, e)
}

// Remove removes e, if it is queued. If e is queued, it must be in h.
func (h *Queue[T]) Remove(e *Timer[T]) {
	if e.heapPos > 0 {
		heap.Remove(&h.timers, e.heapPos-1)
	}
}

// First returns the earliest timer without removing it, or nil if the queue is empty.
func (h *Queue[T]) First() *Timer[T] {
	if len(h.timers) == 0 {
		return nil
	}
	return h.timers[0]
}

// NextDue returns the due time of the earliest timer, or +Inf if the queue is empty.
func (h *Queue[T]) NextDue() float64 {
	if len(h.timers) == 0 {
		return math.Inf(1)
	}
	return h.timers[0].Due
}

// PopDue removes and returns the earliest timer if it is due at now, or returns nil.
func (h *Queue[T]) PopDue(now float64) *Timer[T] {
	e := h.First()
	if e == nil || e.Due > now {
		return nil
	}
	h.Remove(e)
	return e
}

// All returns the queued timers in unspecified order. The slice is the queue's own storage:
// the caller must not modify it or keep it across other calls.
func (h *Queue[T]) All() []*Timer[T] { return h.timers }

// timerHeap implements heap.Interface and keeps heapPos of each timer up to date.
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
