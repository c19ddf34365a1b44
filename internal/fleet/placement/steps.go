package placement

import (
	"fmt"
	"slices"
)

// Step is one change in a migration between layouts: parts of a volume that move between the places
// of two pieces.
type Step struct {
	Volume   int
	From, To Piece   // nodes before and after; both with the number of parts; Node -1: not placed
	Moved    float64 // rate of data and copies that change nodes, units/s
}

// BlockedError reports that no further step satisfies the constraints of Steps.
type BlockedError struct {
	Volumes    []string // names of the volumes that are not yet placed as in the target
	StepsFound int      // number of steps before that
}

func (e *BlockedError) Error() string {
	return fmt.Sprintf("placement: no feasible step after the first %d, with %d volumes not in place, first %s", e.StepsFound, len(e.Volumes), e.Volumes[0])
}

// maxDetours bounds the steps to nodes outside the target layout, which free capacity for others.
const maxDetours = 64

// Steps returns a sequence of steps from one layout to another. Each step moves at most maxMoved
// units/s. After it, the nodes that gained load are within capacity, also after the loss of a hall
// that must be survived, unless the layout did not survive the loss before. Volumes keep MinHalls and
// may be on one node more than MaxNodes meanwhile. If no complete sequence is found, the steps found
// are returned with a *BlockedError.
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

// stepSearch is the state of a migration.
type stepSearch struct {
	problem            *Problem
	state              *state
	current            Layout
	target             Layout
	maxMoved           float64
	steps              []Step
	maxLossUtilization float64 // before a step that ignores the loss of halls
}

// relaxHallLoss makes the next step ignore the capacity after a loss if the present layout does not
// survive the worst one. The utilization after the worst loss may still not rise; see
// lossNotIncreased.
func (w *stepSearch) relaxHallLoss() bool {
	_, w.maxLossUtilization = w.state.maxUtilization()
	w.state.ignoreHallLoss = w.maxLossUtilization > 1+tolerance
	return w.state.ignoreHallLoss
}

// lossNotIncreased reports whether a step under relaxHallLoss kept the utilization after the worst loss.
func (w *stepSearch) lossNotIncreased() bool {
	if !w.state.ignoreHallLoss {
		return true
	}
	_, lossUse := w.state.maxUtilization()
	return lossUse <= w.maxLossUtilization+tolerance
}

// partsAt returns the number of parts in the piece with that node and copy node.
func partsAt(pieces []Piece, node, copy int) int {
	for _, piece := range pieces {
		if piece.Node == node && piece.Copy == copy {
			return piece.Parts
		}
	}
	return 0
}

// remainingVolumes returns the names of the volumes that are not yet placed as in the target.
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

// findStep makes the first feasible step: towards the target, or as a detour to any node. It reports
// whether there was one.
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

// sources returns the pieces of v with more parts than in the target, and a Piece with Node -1 for
// parts that are yet to be placed.
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

// targets returns where parts of source may go: to pieces with fewer parts than in the target, or to
// Node -1 if too many are placed. A detour may go to any node and keeps its copy node.
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
	// Prefer targets on the same node: parts that leave a draining node could not return.
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

// tryStep moves as many parts as maxMoved and the constraints allow, and reports whether any.
func (w *stepSearch) tryStep(v int, source, target Piece) bool {
	ratePerPart := 0.0 // data and copies of one part that change nodes
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

// addParts adds parts, which may be negative, to the piece of v at place. It creates or deletes the
// piece as needed.
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

// growsOnDrainingNode reports whether a draining node of target has more parts of v than before.
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

// keepsNodeAndHallLimits reports whether v is on at most MaxNodes+1 nodes, and in at least MinHalls
// halls or in no fewer than before.
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
