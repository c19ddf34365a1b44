package placement

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkSolve measures large instances: time and the proved gap of the highest
// use.
func BenchmarkSolve(b *testing.B) {
	for _, nodes := range []int{10, 47, 200, 1000} {
		b.Run(fmt.Sprintf("nodes=%d", nodes), func(b *testing.B) {
			for b.Loop() {
				p := SyntheticProblem(nodes, 1)
				begin := time.Now()
				r, err := Solve(p, Options{Stop: func() bool { return time.Since(begin) > 30*time.Second }})
				if err != nil {
					b.Fatal(err)
				}
				b.ReportMetric(100*r.Gap(), "%gap")
				b.ReportMetric(r.Objective.LossUse, "loss-use")
				b.ReportMetric(r.Objective.Unmet, "unmet")
			}
		})
	}
}
