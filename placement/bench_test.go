package placement

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// fleet is an instance of that many nodes in three halls with eight volumes a node,
// half of what the nodes can do asked for, rates spread tenfold.
func fleet(nodes int, seed uint64) *Problem {
	rng := rand.New(rand.NewPCG(seed, 5))
	p := &Problem{Parts: 8, Survive: true, Tiers: []Tier{{Name: "basico", Worth: 1}, {Name: "normal", Worth: 3}, {Name: "prioritario", Worth: 6, Reserve: 1}}}
	capacity := 0.0
	for i := range nodes {
		n := Node{Name: fmt.Sprintf("n%d", i), Hall: fmt.Sprintf("hall-%c", 'a'+i%3), Capacity: 100 + 50*rng.Float64(), Cost: 1 + rng.Float64()}
		capacity += n.Capacity
		p.Nodes = append(p.Nodes, n)
	}
	total := 0.0
	for i := range 8 * nodes {
		v := Volume{Name: fmt.Sprintf("v%d", i), Tier: rng.IntN(3), Rate: 1 + 9*rng.Float64()*rng.Float64(), Writes: 0.3, MaxNodes: 1 + rng.IntN(4), Copies: 2}
		total += v.Rate
		p.Volumes = append(p.Volumes, v)
	}
	for i := range p.Volumes {
		p.Volumes[i].Rate *= 0.5 * capacity / total
	}
	return p
}

// BenchmarkSolve measures large instances: time and the proved gap of the highest
// use.
func BenchmarkSolve(b *testing.B) {
	for _, nodes := range []int{10, 47, 200, 1000} {
		b.Run(fmt.Sprintf("nodes=%d", nodes), func(b *testing.B) {
			for b.Loop() {
				p := fleet(nodes, 1)
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
