package policy

import (
	"fmt"
	"math"
	"slices"
	"testing"
)

// The estimator must find the gain of a first-order plant with input u and output y, and the
// control law must bring its output to the reference.
func TestPlantIsIdentifiedAndControlled(t *testing.T) {
	model := newRLS([]float64{0, 0.1, 0}, forgettingFactor, maxCovTrace)
	u, y, want := 2.0, 0.0, 0.6
	for k := range 250 {
		last := y
		y = 0.2*last + 0.1*u + 0.05
		model.update([]float64{last, u, 1}, y)
		predicted := model.theta[0]*y + model.theta[1]*u + model.theta[2]
		u += controlStep([][]float64{{model.theta[1]}}, []float64{want - predicted}, 0.05)[0]
		u += 0.2 * float64(k%3-1) // excitation
	}
	if math.Abs(model.theta[1]-0.1) > 0.02 || math.Abs(y-want) > 0.05 {
		t.Errorf("gain %v, want 0.1; output %v, want 0.6", model.theta[1], y)
	}
}

// Depth and shares must stay within their bounds, whatever the outcomes.
func TestRegulatorsStayInBounds(t *testing.T) {
	for _, res := range []Result{Served, ServerError, NoConnection, NoAnswer} {
		h := newHarness(testSettings())
		for range 300 {
			for range 4 {
				h.submit("read", "high", "", 2)
			}
			for _, r := range slices.Clone(h.scheduler.shards[0].outstanding) {
				h.endAttempt(r.ID, res)
			}
			h.advance(50)
		}
		d := h.scheduler.shards[0].depth
		if !(d >= minTotalDepth && d <= maxDepth) {
			t.Errorf("result %d: depth %v is out of bounds", res, d)
		}
		sum := 0.0
		for _, share := range h.scheduler.shares.share {
			if !(share > 0) {
				t.Errorf("result %d: share %v, want more than 0", res, share)
			}
			sum += share
		}
		if math.Abs(sum-1) > 0.1 {
			t.Errorf("result %d: shares add up to %v, want 1", res, sum)
		}
	}
}

// BenchmarkSecond runs one second of traffic; its cost must not grow with the number of hosts.
func BenchmarkSecond(b *testing.B) {
	for _, hosts := range []int{5, 230} {
		b.Run(fmt.Sprint(hosts, "hosts"), func(b *testing.B) {
			s := testSettings()
			s.Hosts = hosts
			h := newHarness(s)
			for range b.N {
				for range 20 {
					id := h.submit("read", "high", "", 2)
					if h.sendCount(id) > 0 {
						h.endAttempt(id, Served)
					}
					h.actions = h.actions[:0]
					h.advance(50)
				}
			}
		})
	}
}
