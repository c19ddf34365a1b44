// Package placement works out, ahead of time, which volume lies on which nodes:
// shares of each volume at each node, with copies in other halls, inside capacity,
// pins, bans and drains, the best by goals in a stated order, or the constraints
// that contradict each other where there is none. docs/placement.md has the model
// in formulas.
//
// It is a core: no I/O, no clock but the one that it is handed as a stop, no
// randomness. The same problem gives the same answer.
package placement

import (
	"cmp"
	"fmt"
	"math"
	"slices"
)

// Node is a place for data.
type Node struct {
	Name     string
	Hall     string
	Capacity float64 // units a second that it may be given
	Cost     float64 // of a unit a second carried there
	Draining bool    // keeps at most what it has
}

// Tier is what a volume has bought.
type Tier struct {
	Name    string
	Value   float64 // of a unit a second of demand that is met
	Reserve float64 // part of each volume's demand that must be met, 0 to 1
}

// Volume is something to place.
type Volume struct {
	Name          string
	Tier          int     // index
	Rate          float64 // units a second
	WriteFraction float64 // part of the rate that its copies carry too
	MaxNodes      int     // nodes that its data may lie on, copies apart
	MinHalls      int     // halls that it must lie in, where it is placed whole; 0: any
	Copies        int     // 1, or 2: each piece has a copy in another hall
	PinnedNodes   []int   // nodes that must hold some of it
	ExcludedNodes []int   // nodes that may hold none of it, nor of its copies
	// IgnoreReserve has its tier's reserve not bind this volume.
	IgnoreReserve bool
}

// Problem is an instance. Shares are multiples of 1/Parts.
type Problem struct {
	Nodes   []Node
	Tiers   []Tier
	Volumes []Volume
	Parts   int
	// SurviveHallLoss asks that the load which moves when any one hall is lost still fits.
	SurviveHallLoss bool
	// ExemptHalls are halls whose loss need not be survived all the same.
	ExemptHalls []string
	// Current is the layout in force, nil if there is none.
	Current Layout
}

// Piece is some parts of a volume on a node, with their copy on another (-1: none).
type Piece struct{ Node, Copy, Parts int }

// Layout is the pieces of each volume, by the number of their nodes.
type Layout [][]Piece

// Objective is what a layout is judged by, in this order, each the smaller the
// better.
type Objective struct {
	Unmet   float64 // worth of the demand that has no place
	Use     float64 // highest load of a node over its capacity
	LossUse float64 // the same after the loss of the worst hall
	Cost    float64
	Moves   float64 // units a second that lie elsewhere than in force
}

// tolerance is what sums of the same figures in another order may differ by.
const tolerance = 1e-9

func compareFloat(a, b float64) int {
	if math.Abs(a-b) <= tolerance*max(1, math.Abs(a), math.Abs(b)) {
		return 0
	}
	return cmp.Compare(a, b)
}

// Compare orders objectives; 0 where no goal tells them apart.
func (o Objective) Compare(other Objective) int {
	return cmp.Or(compareFloat(o.Unmet, other.Unmet), compareFloat(o.Use, other.Use), compareFloat(o.LossUse, other.LossUse),
		compareFloat(o.Cost, other.Cost), compareFloat(o.Moves, other.Moves))
}

// ProblemError says what makes an instance no instance.
type ProblemError struct{ Path, Reason string }

func (e *ProblemError) Error() string { return "placement: " + e.Path + ": " + e.Reason }

// Validate checks that the figures mean something; it does not ask whether there
// is a layout.
func (p *Problem) Validate() error {
	problemError := func(path, format string, args ...any) error {
		return &ProblemError{path, fmt.Sprintf(format, args...)}
	}
	finite := func(v float64) bool { return v >= 0 && !math.IsInf(v, 1) }
	if p.Parts < 1 || p.Parts > 1024 {
		return problemError("parts", "is %d, must be from 1 to 1024", p.Parts)
	}
	if len(p.Nodes) == 0 {
		return problemError("nodes", "is empty")
	}
	for i, n := range p.Nodes {
		if !finite(n.Capacity) || !finite(n.Cost) {
			return problemError(fmt.Sprintf("nodes[%d]", i), "capacity or cost is negative or not finite")
		}
	}
	for i, t := range p.Tiers {
		if !finite(t.Value) || !(t.Reserve >= 0 && t.Reserve <= 1) {
			return problemError(fmt.Sprintf("tiers[%d]", i), "worth is negative or reserve not from 0 to 1")
		}
	}
	for i, v := range p.Volumes {
		path := fmt.Sprintf("volumes[%d]", i)
		switch {
		case v.Tier < 0 || v.Tier >= len(p.Tiers):
			return problemError(path+".tier", "there is no tier %d", v.Tier)
		case !finite(v.Rate):
			return problemError(path+".rate", "is negative or not finite")
		case !(v.WriteFraction >= 0 && v.WriteFraction <= 1):
			return problemError(path+".writes", "is not from 0 to 1")
		case v.MaxNodes < 1:
			return problemError(path+".max_nodes", "is below 1")
		case v.Copies != 1 && v.Copies != 2:
			return problemError(path+".copies", "is neither 1 nor 2")
		}
		for _, n := range slices.Concat(v.PinnedNodes, v.ExcludedNodes) {
			if n < 0 || n >= len(p.Nodes) {
				return problemError(path, "there is no node %d", n)
			}
		}
	}
	if p.Current != nil && len(p.Current) != len(p.Volumes) {
		return problemError("current", "has %d volumes of %d", len(p.Current), len(p.Volumes))
	}
	return nil
}

// minParts is the number of parts of v that must be placed.
func (p *Problem) minParts(v int) int {
	if p.Volumes[v].IgnoreReserve {
		return 0
	}
	return int(math.Ceil(p.Tiers[p.Volumes[v].Tier].Reserve*float64(p.Parts) - tolerance))
}

// partRate is the load of one part of v.
func (p *Problem) partRate(v int) float64 { return p.Volumes[v].Rate / float64(p.Parts) }

// currentParts is the number of parts of v that lie on n now, as data and as copies.
func (p *Problem) currentParts(v, n int) (data, copies int) {
	if p.Current == nil {
		return 0, 0
	}
	return partsOnNode(p.Current[v], n)
}

// partsOnNode is the number of parts of a volume's pieces that lie on n, as data and as
// copies.
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

// mustSurvive tells whether the loss of that hall must be mustSurvive.
func (p *Problem) mustSurvive(hall string) bool {
	return p.SurviveHallLoss && !slices.Contains(p.ExemptHalls, hall)
}

// indexHalls numbers the indexHalls by their first node.
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
