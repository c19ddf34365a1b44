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
func Steps(p *Problem, from, to Layout, most float64) ([]Step, error) {
	w := &stepSearch{problem: p, state: newState(p), current: make(Layout, len(from)), target: to, maxMoved: most}
	for v := range from {
		w.current[v] = slices.Clone(from[v])
		for _, pc := range from[v] {
			w.state.addPiece(v, pc, 1)
		}
	}
	for detours := 0; ; {
		w.state.ignoreHallLoss = false
		if w.findStep(false) {
			continue
		}
		left := w.remainingVolumes()
		if len(left) == 0 {
			return w.steps, nil
		}
		if w.relaxHallLoss() && w.findStep(false) {
			continue
		}
		w.state.ignoreHallLoss = false
		if detours++; detours > maxDetours || !w.findStep(true) {
			return w.steps, &BlockedError{left, len(w.steps)}
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
	_, now := w.state.maxUtilization()
	return now <= w.maxLossUtilization+tolerance
}

// parts of v at that place.
func partsAt(l []Piece, node, copy int) int {
	for _, pc := range l {
		if pc.Node == node && pc.Copy == copy {
			return pc.Parts
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
	return slices.ContainsFunc(w.target[v], func(pc Piece) bool { return partsAt(w.current[v], pc.Node, pc.Copy) != pc.Parts })
}

// findStep makes one step: towards the target, or as a detour to any node with room.
func (w *stepSearch) findStep(detour bool) bool {
	for v := range w.current {
		if !w.differsFromTarget(v) {
			continue
		}
		for _, src := range w.sources(v) {
			for _, dst := range w.targets(v, src, detour) {
				if w.tryStep(v, src, dst) {
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
	placed, want := 0, 0
	for _, pc := range w.current[v] {
		placed += pc.Parts
		if more := pc.Parts - partsAt(w.target[v], pc.Node, pc.Copy); more > 0 {
			out = append(out, Piece{pc.Node, pc.Copy, more})
		}
	}
	for _, pc := range w.target[v] {
		want += pc.Parts
	}
	if placed < want {
		out = append(out, Piece{-1, -1, want - placed})
	}
	return out
}

// targets are where parts may go: to pieces that have too few, or away for good
// where too many are placed; a detour goes to any node, its copy with it.
func (w *stepSearch) targets(v int, src Piece, detour bool) (out []Piece) {
	if detour {
		if src.Node < 0 {
			return nil
		}
		for n := range w.problem.Nodes {
			if n == src.Node || n == src.Copy || w.problem.Nodes[n].Draining || slices.Contains(w.problem.Volumes[v].ExcludedNodes, n) ||
				src.Copy >= 0 && w.state.hallOf[n] == w.state.hallOf[src.Copy] {
				continue
			}
			out = append(out, Piece{n, src.Copy, src.Parts})
		}
		return out
	}
	placed, want := 0, 0
	for _, pc := range w.target[v] {
		want += pc.Parts
		if less := pc.Parts - partsAt(w.current[v], pc.Node, pc.Copy); less > 0 {
			out = append(out, Piece{pc.Node, pc.Copy, min(less, src.Parts)})
		}
	}
	// What can stay on its node does: on one that drains it could not come back.
	slices.SortStableFunc(out, func(a, b Piece) int {
		switch {
		case a.Node == src.Node && b.Node != src.Node:
			return -1
		case b.Node == src.Node && a.Node != src.Node:
			return 1
		}
		return 0
	})
	for _, pc := range w.current[v] {
		placed += pc.Parts
	}
	if placed > want && src.Node >= 0 {
		out = append(out, Piece{-1, -1, min(placed-want, src.Parts)})
	}
	return out
}

// tryStep moves as many parts as the amount lets it, if what it leaves behind holds.
func (w *stepSearch) tryStep(v int, src, dst Piece) bool {
	each := 0.0 // what one part moves
	if dst.Node >= 0 && dst.Node != src.Node {
		each += w.problem.partRate(v)
	}
	if dst.Copy >= 0 && dst.Copy != src.Copy {
		each += w.problem.partRate(v)
	}
	for k := dst.Parts; k > 0; k-- {
		if each*float64(k) > w.maxMoved+tolerance {
			continue
		}
		before := slices.Clone(w.current[v])
		w.addParts(v, src, -k)
		w.addParts(v, dst, k)
		if w.keepsNodeAndHallLimits(v, before) && !w.growsOnDrainingNode(v, before, dst) && (dst.Node < 0 || w.state.fits(dst)) && w.lossNotIncreased() {
			w.steps = append(w.steps, Step{v, Piece{src.Node, src.Copy, k}, Piece{dst.Node, dst.Copy, k}, each * float64(k)})
			return true
		}
		w.addParts(v, dst, -k)
		w.addParts(v, src, k)
		w.current[v] = before
	}
	return false
}

// addParts adds k parts to a piece of v, which comes and goes with them.
func (w *stepSearch) addParts(v int, pc Piece, k int) {
	if pc.Node < 0 {
		return
	}
	w.state.addPiece(v, Piece{pc.Node, pc.Copy, 1}, float64(k))
	i := slices.IndexFunc(w.current[v], func(x Piece) bool { return x.Node == pc.Node && x.Copy == pc.Copy })
	if i < 0 {
		w.current[v] = append(w.current[v], Piece{pc.Node, pc.Copy, k})
		return
	}
	if w.current[v][i].Parts += k; w.current[v][i].Parts == 0 {
		w.current[v] = slices.Delete(w.current[v], i, i+1)
	}
}

// growsOnDrainingNode tells whether a node that drains has more of v than before.
func (w *stepSearch) growsOnDrainingNode(v int, before []Piece, dst Piece) bool {
	for _, n := range [2]int{dst.Node, dst.Copy} {
		if n < 0 || !w.problem.Nodes[n].Draining {
			continue
		}
		data, copies := partsOnNode(before, n)
		if d, c := partsOnNode(w.current[v], n); d > data || c > copies {
			return true
		}
	}
	return false
}

// keepsNodeAndHallLimits keeps spread and the number of nodes on the way.
func (w *stepSearch) keepsNodeAndHallLimits(v int, before []Piece) bool {
	var nodes []int
	for _, pc := range w.current[v] {
		if !slices.Contains(nodes, pc.Node) {
			nodes = append(nodes, pc.Node)
		}
	}
	vol := &w.problem.Volumes[v]
	return len(nodes) <= vol.MaxNodes+1 && countHalls(w.current[v], w.state.hallOf) >= min(countHalls(before, w.state.hallOf), vol.MinHalls)
}
