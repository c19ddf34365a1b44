// Package placement assigns volumes to nodes. It divides each volume into parts and places them,
// with copies in other halls, subject to node capacity, pinned and excluded nodes and draining.
// Layouts are compared by a lexicographic objective. If no layout is feasible, FindConflict
// returns a minimal set of contradictory constraints. docs/placement.md states the model.
//
// The package does no I/O and, apart from SyntheticProblem, uses no randomness; it reads no clock
// except through Options.Stop. Equal problems give equal results unless Stop ends a search.
//
// In the code, v is the index of a volume and n that of a node. Rates are in units per second.
package placement

import (
	"cmp"
	"fmt"
	"math"
	"slices"
)

// Node is a disk server that can hold data.
type Node struct {
	Name     string
	Hall     string
	Capacity float64 // largest load, units/s
	Cost     float64 // per unit/s of load
	Draining bool    // gets no parts beyond those of the current layout
}

// Tier is a service class of volumes.
type Tier struct {
	Name    string
	Value   float64 // of each unit/s of demand that is placed
	Reserve float64 // fraction of each volume's demand that must be placed, 0 to 1
}

// Volume is a volume to place.
type Volume struct {
	Name          string
	Tier          int     // index in Problem.Tiers
	Rate          float64 // units/s
	WriteFraction float64 // fraction of the rate that its copies carry too
	MaxNodes      int     // largest number of nodes for its data, not counting copies
	MinHalls      int     // least number of halls for its data if it is placed whole; 0 or 1: any
	Copies        int     // 1: data only; 2: each piece has a copy in another hall
	PinnedNodes   []int   // nodes that must hold data of it if any of it is placed
	ExcludedNodes []int   // nodes that may hold neither data nor copies of it
	// IgnoreReserve exempts the volume from its tier's reserve.
	IgnoreReserve bool
}

// Problem is an instance of the placement problem.
type Problem struct {
	Nodes   []Node
	Tiers   []Tier
	Volumes []Volume
	Parts   int // number of equal parts of each volume
	// SurviveHallLoss requires that the load still fits after the loss of any one hall.
	SurviveHallLoss bool
	// ExemptHalls are the halls that SurviveHallLoss does not cover.
	ExemptHalls []string
	// Current is the layout in force, or nil.
	Current Layout
}

// Piece is a number of parts of a volume on Node, with their copy on node Copy (-1: none).
type Piece struct{ Node, Copy, Parts int }

// Layout holds the pieces of each volume, in the order of Problem.Volumes.
type Layout [][]Piece

// Objective holds the goals of a layout in lexicographic order; smaller is better.
type Objective struct {
	Unmet   float64 // value of the demand that is not placed
	Use     float64 // highest utilization (load divided by capacity) of a node
	LossUse float64 // the same after the loss of any one hall that must be survived
	Cost    float64 // sum of load times Node.Cost
	Moves   float64 // rate, units/s, of data and copies that are not where Current has them
}

// tolerance is the rounding error up to which two floating-point sums count as equal.
const tolerance = 1e-9

func compareFloat(a, b float64) int {
	if math.Abs(a-b) <= tolerance*max(1, math.Abs(a), math.Abs(b)) {
		return 0
	}
	return cmp.Compare(a, b)
}

// Compare returns -1, 0 or +1 by the first goal in which o and other differ by more than tolerance.
func (o Objective) Compare(other Objective) int {
	return cmp.Or(compareFloat(o.Unmet, other.Unmet), compareFloat(o.Use, other.Use), compareFloat(o.LossUse, other.LossUse),
		compareFloat(o.Cost, other.Cost), compareFloat(o.Moves, other.Moves))
}

// ProblemError reports an invalid field of a Problem.
type ProblemError struct{ Path, Reason string }

func (e *ProblemError) Error() string { return "placement: " + e.Path + ": " + e.Reason }

// Validate checks that values are in range and indices exist, not that the problem is feasible.
func (p *Problem) Validate() error {
	problemError := func(path, format string, args ...any) error {
		return &ProblemError{path, fmt.Sprintf(format, args...)}
	}
	finite := func(v float64) bool { return v >= 0 && !math.IsInf(v, 1) }
	if p.Parts < 1 || p.Parts > 1024 {
		return problemError("parts", "is %d, want 1 to 1024", p.Parts)
	}
	if len(p.Nodes) == 0 {
		return problemError("nodes", "is empty")
	}
	for i, n := range p.Nodes {
		if !finite(n.Capacity) || !finite(n.Cost) {
			return problemError(fmt.Sprintf("nodes[%d]", i), "capacity and cost must be finite and at least 0")
		}
	}
	for i, t := range p.Tiers {
		if !finite(t.Value) || !(t.Reserve >= 0 && t.Reserve <= 1) {
			return problemError(fmt.Sprintf("tiers[%d]", i), "value must be finite and at least 0, reserve from 0 to 1")
		}
	}
	for i, v := range p.Volumes {
		path := fmt.Sprintf("volumes[%d]", i)
		switch {
		case v.Tier < 0 || v.Tier >= len(p.Tiers):
			return problemError(path+".tier", "tier %d does not exist", v.Tier)
		case !finite(v.Rate):
			return problemError(path+".rate", "must be finite and at least 0")
		case !(v.WriteFraction >= 0 && v.WriteFraction <= 1):
			return problemError(path+".writes", "must be from 0 to 1")
		case v.MaxNodes < 1:
			return problemError(path+".max_nodes", "must be at least 1")
		case v.Copies != 1 && v.Copies != 2:
			return problemError(path+".copies", "must be 1 or 2")
		}
		for _, n := range slices.Concat(v.PinnedNodes, v.ExcludedNodes) {
			if n < 0 || n >= len(p.Nodes) {
				return problemError(path, "node %d does not exist", n)
			}
		}
	}
	if p.Current != nil && len(p.Current) != len(p.Volumes) {
		return problemError("current", "has %d volumes, want %d", len(p.Current), len(p.Volumes))
	}
	return nil
}

// minParts returns the number of parts of v that must be placed.
func (p *Problem) minParts(v int) int {
	if p.Volumes[v].IgnoreReserve {
		return 0
	}
	return int(math.Ceil(p.Tiers[p.Volumes[v].Tier].Reserve*float64(p.Parts) - tolerance))
}

// partRate returns the rate of one part of v, units/s.
func (p *Problem) partRate(v int) float64 { return p.Volumes[v].Rate / float64(p.Parts) }

// currentParts returns the number of parts of v on n in the layout in force, as data and as copies.
func (p *Problem) currentParts(v, n int) (data, copies int) {
	if p.Current == nil {
		return 0, 0
	}
	return partsOnNode(p.Current[v], n)
}

// partsOnNode returns the number of parts of the pieces that are on n, as data and as copies.
func partsOnNode(pieces []Piece, n int) (data, copies int) {
	for _, piece := range pieces {
		if piece.Node == n {
			data += piece.Parts
		}
		if piece.Copy == n {
			copies += piece.Parts
		}
	}
	return data, copies
}

// mustSurvive reports whether the load must still fit after the loss of hall.
func (p *Problem) mustSurvive(hall string) bool {
	return p.SurviveHallLoss && !slices.Contains(p.ExemptHalls, hall)
}

// indexHalls returns the hall index of each node and the names of the halls, both in the order of
// the halls' first nodes.
func (p *Problem) indexHalls() (hallOf []int, names []string) {
	for _, n := range p.Nodes {
		i := slices.Index(names, n.Hall)
		if i < 0 {
			i = len(names)
			names = append(names, n.Hall)
		}
		hallOf = append(hallOf, i)
	}
	return hallOf, names
}
