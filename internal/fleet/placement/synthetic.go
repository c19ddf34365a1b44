package placement

import (
	"fmt"
	"math/rand/v2"
)

// SyntheticProblem returns a random problem for benchmarks: nodeCount nodes in three halls and eight
// volumes per node, all with copies. Demand without copies is half of the total capacity, rates
// differ by up to a factor of ten, and the loss of any hall must be survived.
func SyntheticProblem(nodeCount int, seed uint64) *Problem {
	rng := rand.New(rand.NewPCG(seed, 5))
	problem := &Problem{Parts: 8, SurviveHallLoss: true, Tiers: []Tier{{Name: "basico", Value: 1}, {Name: "normal", Value: 3}, {Name: "prioritario", Value: 6, Reserve: 1}}}
	capacity := 0.0
	for i := range nodeCount {
		node := Node{Name: fmt.Sprintf("n%d", i), Hall: fmt.Sprintf("hall-%c", 'a'+i%3), Capacity: 100 + 50*rng.Float64(), Cost: 1 + rng.Float64()}
		capacity += node.Capacity
		problem.Nodes = append(problem.Nodes, node)
	}
	demand := 0.0
	for i := range 8 * nodeCount {
		volume := Volume{Name: fmt.Sprintf("v%d", i), Tier: rng.IntN(3), Rate: 1 + 9*rng.Float64()*rng.Float64(), WriteFraction: 0.3, MaxNodes: 1 + rng.IntN(4), Copies: 2}
		demand += volume.Rate
		problem.Volumes = append(problem.Volumes, volume)
	}
	for i := range problem.Volumes {
		problem.Volumes[i].Rate *= 0.5 * capacity / demand
	}
	return problem
}
