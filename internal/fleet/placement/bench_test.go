package placement

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkSolve measures the time and the gap of the highest utilization for large problems.
func BenchmarkSolve(b *testing.B) {
	for _, nodeCount := range []int{10, 47, 200, 1000} {
		b.Run(fmt.Sprintf("nodes=%d", nodeCount), func(b *testing.B) {
			for b.Loop() {
				problem := SyntheticProblem(nodeCount, 1)
				startTime := time.Now()
				result, err := Solve(problem, Options{Stop: func() bool { return time.Since(startTime) > 30*time.Second }})
				if err != nil {
					b.Fatal(err)
				}
				b.ReportMetric(100*result.Gap(), "%gap")
				b.ReportMetric(result.Objective.LossUse, "loss-use")
				b.ReportMetric(result.Objective.Unmet, "unmet")
			}
		})
	}
}
