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
	At   float64
	What T
	seq  uint64 // equals come due in the order in which they were set
	slot int    // its place in the heap and one more; 0 when it is in none
}

// Queue orders entries by time. The zero value is empty.
type Queue[T any] struct {
	all entries[T]
	seq uint64
}

// Push enters e.
func (h *Queue[T]) Push(e *Timer[T]) {
	h.seq++
	e.seq = h.seq
	heap.Push(&h.all, e)
}

// Remove takes e out, if it is in.
func (h *Queue[T]) Remove(e *Timer[T]) {
	if e.slot > 0 {
		heap.Remove(&h.all, e.slot-1)
	}
}

// First is the earliest entry, nil if there is none.
func (h *Queue[T]) First() *Timer[T] {
	if len(h.all) == 0 {
		return nil
	}
	return h.all[0]
}

// Next is when the earliest entry comes due, +Inf where there is none.
func (h *Queue[T]) Next() float64 {
	if len(h.all) == 0 {
		return math.Inf(1)
	}
	return h.all[0].At
}

// Take takes out the earliest entry that is due by now, nil if there is none.
func (h *Queue[T]) Take(now float64) *Timer[T] {
	e := h.First()
	if e == nil || e.At > now {
		return nil
	}
	h.Remove(e)
	return e
}

// All lists the entries, in no order that means anything. It is the heap's own.
func (h *Queue[T]) All() []*Timer[T] { return h.all }

type entries[T any] []*Timer[T]

func (h entries[T]) Len() int { return len(h) }

func (h entries[T]) Less(i, k int) bool {
	return h[i].At < h[k].At || h[i].At == h[k].At && h[i].seq < h[k].seq
}

func (h entries[T]) Swap(i, k int) {
	h[i], h[k] = h[k], h[i]
	h[i].slot, h[k].slot = i+1, k+1
}

func (h *entries[T]) Push(x any) {
	e := x.(*Timer[T])
	*h = append(*h, e)
	e.slot = len(*h)
}

func (h *entries[T]) Pop() any {
	last := len(*h) - 1
	e := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	e.slot = 0
	return e
}
