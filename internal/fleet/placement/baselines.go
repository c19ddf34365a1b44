package placement

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Baseline layouts to compare the solver with. They place copies in another hall and observe
// ExcludedNodes, but may violate any other constraint; Check reports which.

// RoundRobin starts each volume at the next node in turn.
func RoundRobin(problem *Problem) Layout {
	next := 0
	return equalPieces(problem, func(int) int { next++; return next - 1 })
}

// ByNameHash starts each volume at the node that the hash of its name selects.
func ByNameHash(problem *Problem) Layout {
	return equalPieces(problem, func(v int) int { return int(xxhash.Sum64String(problem.Volumes[v].Name) % uint64(len(problem.Nodes))) })
}

// LargestFirst places volumes whole, in descending order of rate, each on the node with the most
// free capacity. Copies are placed likewise.
func LargestFirst(problem *Problem) Layout {
	hallOf, _ := problem.indexHalls()
	freeCapacity := make([]float64, len(problem.Nodes))
	for n := range freeCapacity {
		freeCapacity[n] = problem.Nodes[n].Capacity
	}
	order := make([]int, len(problem.Volumes))
	for v := range order {
		order[v] = v
	}
	slices.SortStableFunc(order, func(a, b int) int { return cmp.Compare(problem.Volumes[b].Rate, problem.Volumes[a].Rate) })
	mostFree := func(v int, excluded func(n int) bool) int {
		bestNode := -1
		for n := range problem.Nodes {
			if !excluded(n) && !slices.Contains(problem.Volumes[v].ExcludedNodes, n) && (bestNode < 0 || freeCapacity[n] > freeCapacity[bestNode]) {
				bestNode = n
			}
		}
		return bestNode
	}
	layout := make(Layout, len(problem.Volumes))
	for _, v := range order {
		volume := &problem.Volumes[v]
		n := mostFree(v, func(int) bool { return false })
		if n < 0 {
			continue
		}
		piece := Piece{n, -1, problem.Parts}
		freeCapacity[n] -= volume.Rate
		if volume.Copies == 2 {
			if piece.Copy = mostFree(v, func(c int) bool { return hallOf[c] == hallOf[n] }); piece.Copy < 0 {
				continue
			}
			freeCapacity[piece.Copy] -= volume.Rate * volume.WriteFraction
		}
		layout[v] = []Piece{piece}
	}
	return layout
}

// equalPieces divides each volume evenly over MaxNodes consecutive nodes, starting at firstNode(v).
// Parts that fall on an excluded node are left out.
func equalPieces(problem *Problem, firstNode func(v int) int) Layout {
	hallOf, _ := problem.indexHalls()
	layout := make(Layout, len(problem.Volumes))
	for v := range problem.Volumes {
		volume := &problem.Volumes[v]
		start := firstNode(v)
		nodeCount := min(volume.MaxNodes, problem.Parts, len(problem.Nodes))
		for i := range nodeCount {
			n := (start + i) % len(problem.Nodes)
			piece := Piece{n, -1, problem.Parts / nodeCount}
			if i < problem.Parts%nodeCount {
				piece.Parts++
			}
			for offset := 1; offset < len(problem.Nodes) && volume.Copies == 2 && piece.Copy < 0; offset++ {
				if copyNode := (n + offset) % len(problem.Nodes); hallOf[copyNode] != hallOf[n] && !slices.Contains(volume.ExcludedNodes, copyNode) {
					piece.Copy = copyNode
				}
			}
			if !slices.Contains(volume.ExcludedNodes, n) {
				layout[v] = append(layout[v], piece)
			}
		}
	}
	return layout
}
