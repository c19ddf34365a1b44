package timerqueue

import (
	"math"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// Entries come by time and, at equal times, as they were set; those taken out don't come.
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
				t.Fatal("wrong order")
			}
			h.Remove(e)
		}
		if h.First() != nil || len(h.All()) != 0 {
			t.Fatal("something is left")
		}
		for _, e := range want {
			h.Push(e)
		}
		for _, e := range want {
			if h.NextDue() != e.Due || h.PopDue(e.Due-1) != nil || h.PopDue(e.Due) != e {
				t.Fatal("not taken when it is due")
			}
		}
		if !math.IsInf(h.NextDue(), 1) || h.PopDue(math.MaxFloat64) != nil {
			t.Fatal("something is due still")
		}
	})
}
