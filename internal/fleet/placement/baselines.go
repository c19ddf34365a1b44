package placement

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Layouts as they are made without a solver, to compare with. They keep copies in
// another hall and bans, and look at nothing else; Check tells what they break.

// RoundRobin gives volumes their nodes in turn.
func RoundRobin(p *Problem) Layout {
	next := 0
	return equalPieces(p, func(int) int { next++; return next - 1 })
}

// ByNameHash gives a volume the nodes after the hash of its name.
func ByNameHash(p *Problem) Layout {
	return equalPieces(p, func(v int) int { return int(xxhash.Sum64String(p.Volumes[v].Name) % uint64(len(p.Nodes))) })
}

// LargestFirst gives volumes whole, the largest first, to the nodes with the most
// room by then, and their copies likewise.
func LargestFirst(p *Problem) Layout {
	hall, _ := p.indexHalls()
	room := make([]float64, len(p.Nodes))
	for n := range room {
		room[n] = p.Nodes[n].Capacity
	}
	order := make([]int, len(p.Volumes))
	for v := range order {
		order[v] = v
	}
	slices.SortStableFunc(order, func(a, b int) int { return cmp.Compare(p.Volumes[b].Rate, p.Volumes[a].Rate) })
	widest := func(v int, not func(n int) bool) int {
		best := -1
		for n := range p.Nodes {
			if !not(n) && !slices.Contains(p.Volumes[v].ExcludedNodes, n) && (best < 0 || room[n] > room[best]) {
				best = n
			}
		}
		return best
	}
	l := make(Layout, len(p.Volumes))
	for _, v := range order {
		vol := &p.Volumes[v]
		n := widest(v, func(int) bool { return false })
		if n < 0 {
			continue
		}
		pc := Piece{n, -1, p.Parts}
		room[n] -= vol.Rate
		if vol.Copies == 2 {
			if pc.Copy = widest(v, func(c int) bool { return hall[c] == hall[n] }); pc.Copy < 0 {
				continue
			}
			room[pc.Copy] -= vol.Rate * vol.WriteFraction
		}
		l[v] = []Piece{pc}
	}
	return l
}

// equalPieces lays each volume in equal pieces on its most nodes from a first one on.
func equalPieces(p *Problem, first func(v int) int) Layout {
	hall, _ := p.indexHalls()
	l := make(Layout, len(p.Volumes))
	for v := range p.Volumes {
		vol := &p.Volumes[v]
		at := first(v)
		nodes := min(vol.MaxNodes, p.Parts, len(p.Nodes))
		for i := range nodes {
			n := (at + i) % len(p.Nodes)
			pc := Piece{n, -1, p.Parts / nodes}
			if i < p.Parts%nodes {
				pc.Parts++
			}
			for c := 1; c < len(p.Nodes) && vol.Copies == 2 && pc.Copy < 0; c++ {
				if k := (n + c) % len(p.Nodes); hall[k] != hall[n] && !slices.Contains(vol.ExcludedNodes, k) {
					pc.Copy = k
				}
			}
			if !slices.Contains(vol.ExcludedNodes, n) {
				l[v] = append(l[v], pc)
			}
		}
	}
	return l
}
