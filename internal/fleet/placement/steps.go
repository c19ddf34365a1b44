package placement

import (
	"fmt"
	"slices"
)

// Step is one change on the way to a layout: parts of a volume that go from one
// piece's place to another's.
type Step struct {
	Volume   int
	From, To Piece // To.Parts go; From has what it was taken from, -1 where nothing was placed
	Moved    float64
}

// BlockedError says that no further step keeps capacity, spread and the amount.
type BlockedError struct {
	Volumes    []string // that still lie otherwise than they should
	StepsFound int      // steps that could be made
}

func (e *BlockedError) Error() string {
	return fmt.Sprintf("placement: after %d steps none is left for %d volumes, first %s", e.StepsFound, len(e.Volumes), e.Volumes[0])
}

// maxDetours bounds the steps that lead away from the target, to make room.
const maxDetours = 64

// Steps orders the way from one layout to another so that after each step no node
// is over its capacity, with any hall lost if that is asked for, no volume loses
// its spread, and no step moves more than most units a second. On its way a volume
// may lie on one node more than it may at the end. A new target that arrives
// half-way starts from where things stand. Where no order is found the steps that
// were are returned with a *BlockedError.
func Steps(problem *Problem, from, to Layout, maxMoved float64) ([]Step, error) {
	search := &stepSearch{problem: problem, state: newState(problem), current: make(Layout, len(from)), target: to, maxMoved: maxMoved}
	for v := range from {
		search.current[v] = slices.Clone(from[v])
		for _, piece := range from[v] {
			search.state.addPiece(v, piece, 1)
		}
	}
	for detours := 0; ; {
		search.state.ignoreHallLoss = false
		if search.findStep(false) {
			continue
		}
		remaining := search.remainingVolumes()
		if len(remaining) == 0 {
			return search.steps, nil
		}
		if search.relaxHallLoss() && search.findStep(false) {
			continue
		}
		search.state.ignoreHallLoss = false
		if detours++; detours > maxDetours || !search.findStep(true) {
			return search.steps, &BlockedError{remaining, len(search.steps)}
		}
	}
}

// stepSearch is where a layout stands on its way.
type stepSearch struct {
	problem            *Problem
	state              *state
	current            Layout
	target             Layout
	maxMoved           float64
	steps              []Step
	maxLossUtilization float64 // use after the worst loss, before a loose step
}

// relaxHallLoss lets the next step pass by the loss of a hall, as long as the worst loss gets
// no worse, where the layout as it stands does not survive it anyway.
func (w *stepSearch) relaxHallLoss() bool {
	_, w.maxLossUtilization = w.state.maxUtilization()
	w.state.ignoreHallLoss = w.maxLossUtilization > 1+tolerance
	return w.state.ignoreHallLoss
}

// lossNotIncreased holds a loose step to the worst loss before it.
func (w *stepSearch) lossNotIncreased() bool {
	if !w.state.ignoreHallLoss {
		return true
	}
	_, lossUse := w.state.maxUtilization()
	return lossUse <= w.maxLossUtilization+tolerance
}

// parts of v at that place.
func partsAt(pieces []Piece, node, copy int) int {
	for _, piece := range pieces {
		if piece.Node == node && piece.Copy == copy {
			return piece.Parts
		}
	}
	return 0
}

// remainingVolumes names the volumes that are not where they should be.
func (w *stepSearch) remainingVolumes() (out []string) {
	for v := range w.current {
		if w.differsFromTarget(v) {
			out = append(out, w.problem.Volumes[v].Name)
		}
	}
	return out
}

func (w *stepSearch) differsFromTarget(v int) bool {
	if len(w.current[v]) != len(w.target[v]) {
		return true
	}
	return slices.ContainsFunc(w.target[v], func(piece Piece) bool { return partsAt(w.current[v], piece.Node, piece.Copy) != piece.Parts })
}

// findStep makes one step: towards the target, or as a detour to any node with room.
func (w *stepSearch) findStep(detour bool) bool {
	for v := range w.current {
		if !w.differsFromTarget(v) {
			continue
		}
		for _, source := range w.sources(v) {
			for _, target := range w.targets(v, source, detour) {
				if w.tryStep(v, source, target) {
					return true
				}
			}
		}
	}
	return false
}

// sources are the pieces that have more than they should; nothing, where too few
// parts are placed.
func (w *stepSearch) sources(v int) (out []Piece) {
	placed, wanted := 0, 0
	for _, piece := range w.current[v] {
		placed += piece.Parts
		if surplus := piece.Parts - partsAt(w.target[v], piece.Node, piece.Copy); surplus > 0 {
			out = append(out, Piece{piece.Node, piece.Copy, surplus})
		}
	}
	for _, piece := range w.target[v] {
		wanted += piece.Parts
	}
	if placed < wanted {
		out = append(out, Piece{-1, -1, wanted - placed})
	}
	return out
}

// targets are where parts may go: to pieces that have too few, or away for good
// where too many are placed; a detour goes to any node, its copy with it.
func (w *stepSearch) targets(v int, source Piece, detour bool) (out []Piece) {
	if detour {
		if source.Node < 0 {
			return nil
		}
		for n := range w.problem.Nodes {
			if n == source.Node || n == source.Copy || w.problem.Nodes[n].Draining || slices.Contains(w.problem.Volumes[v].ExcludedNodes, n) ||
				source.Copy >= 0 && w.state.hallOf[n] == w.state.hallOf[source.Copy] {
				continue
			}
			out = append(out, Piece{n, source.Copy, source.Parts})
		}
		return out
	}
	placed, wanted := 0, 0
	for _, piece := range w.target[v] {
		wanted += piece.Parts
		if missing := piece.Parts - partsAt(w.current[v], piece.Node, piece.Copy); missing > 0 {
			out = append(out, Piece{piece.Node, piece.Copy, min(missing, source.Parts)})
		}
	}
	// What can stay on its node does: on one that drains it could not come back.
	slices.SortStableFunc(out, func(a, b Piece) int {
		switch {
		case a.Node == source.Node && b.Node != source.Node:
			return -1
		case b.Node == source.Node && a.Node != source.Node:
			return 1
		}
		return 0
	})
	for _, piece := range w.current[v] {
		placed += piece.Parts
	}
	if placed > wanted && source.Node >= 0 {
		out = append(out, Piece{-1, -1, min(placed-wanted, source.Parts)})
	}
	return out
}

// tryStep moves as many parts as the amount lets it, if what it leaves behind holds.
func (w *stepSearch) tryStep(v int, source, target Piece) bool {
	ratePerPart := 0.0 // what one part moves
	if target.Node >= 0 && target.Node != source.Node {
		ratePerPart += w.problem.partRate(v)
	}
	if target.Copy >= 0 && target.Copy != source.Copy {
		ratePerPart += w.problem.partRate(v)
	}
	for parts := target.Parts; parts > 0; parts-- {
		if ratePerPart*float64(parts) > w.maxMoved+tolerance {
			continue
		}
		before := slices.Clone(w.current[v])
		w.addParts(v, source, -parts)
		w.addParts(v, target, parts)
		if w.keepsNodeAndHallLimits(v, before) && !w.growsOnDrainingNode(v, before, target) && (target.Node < 0 || w.state.fits(target)) && w.lossNotIncreased() {
			w.steps = append(w.steps, Step{v, Piece{source.Node, source.Copy, parts}, Piece{target.Node, target.Copy, parts}, ratePerPart * float64(parts)})
			return true
		}
		w.addParts(v, target, -parts)
		w.addParts(v, source, parts)
		w.current[v] = before
	}
	return false
}

// addParts adds k parts to a piece of v, which comes and goes with them.
func (w *stepSearch) addParts(v int, place Piece, parts int) {
	if place.Node < 0 {
		return
	}
	w.state.addPiece(v, Piece{place.Node, place.Copy, 1}, float64(parts))
	i := slices.IndexFunc(w.current[v], func(piece Piece) bool { return piece.Node == place.Node && piece.Copy == place.Copy })
	if i < 0 {
		w.current[v] = append(w.current[v], Piece{place.Node, place.Copy, parts})
		return
	}
	if w.current[v][i].Parts += parts; w.current[v][i].Parts == 0 {
		w.current[v] = slices.Delete(w.current[v], i, i+1)
	}
}

// growsOnDrainingNode tells whether a node that drains has more of v than before.
func (w *stepSearch) growsOnDrainingNode(v int, before []Piece, target Piece) bool {
	for _, n := range [2]int{target.Node, target.Copy} {
		if n < 0 || !w.problem.Nodes[n].Draining {
			continue
		}
		dataBefore, copiesBefore := partsOnNode(before, n)
		if data, copies := partsOnNode(w.current[v], n); data > dataBefore || copies > copiesBefore {
			return true
		}
	}
	return false
}

// keepsNodeAndHallLimits keeps spread and the number of nodes on the way.
func (w *stepSearch) keepsNodeAndHallLimits(v int, before []Piece) bool {
	var nodes []int
	for _, piece := range w.current[v] {
		if !slices.Contains(nodes, piece.Node) {
			nodes = append(nodes, piece.Node)
		}
	}
	volume := &w.problem.Volumes[v]
	return len(nodes) <= volume.MaxNodes+1 && countHalls(w.current[v], w.state.hallOf) >= min(countHalls(before, w.state.hallOf), volume.MinHalls)
}
