package timerqueue

import (
	"math"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// Timers come in order of Due, then of Push, and removed timers do not come. Removing a
// timer twice is harmless.
func TestOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var h Queue[int]
		var all []*Timer[int]
		for i, at := range rapid.SliceOfN(rapid.IntRange(0, 9), 0, 50).Draw(t, "times") {
			e := &Timer[int]{Due: float64(at), Value: i}
			h.Push(e)
			all = append(all, e)
		}
		var want []*Timer[int]
		for _, e := range all {
			if rapid.Bool().Draw(t, "out") {
				h.Remove(e)
				h.Remove(e)
			} else {
				want = append(want, e)
			}
		}
		slices.SortStableFunc(want, func(a, b *Timer[int]) int { return int(a.Due - b.Due) })
		for _, e := range want {
			if h.First() != e {
				t.Fatal("First is not the next timer in order of Due and Push")
			}
			h.Remove(e)
		}
		if h.First() != nil || len(h.All()) != 0 {
			t.Fatal("queue not empty after all timers were removed")
		}
		for _, e := range want {
			h.Push(e)
		}
		for _, e := range want {
			if h.NextDue() != e.Due || h.PopDue(e.Due-1) != nil || h.PopDue(e.Due) != e {
				t.Fatal("PopDue does not return the timer exactly from its due time on")
			}
		}
		if !math.IsInf(h.NextDue(), 1) || h.PopDue(math.MaxFloat64) != nil {
			t.Fatal("empty queue still has a due timer")
		}
	})
}
