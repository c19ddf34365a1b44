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
	Volumes []string // that still lie otherwise than they should
	Done    int      // steps that could be made
}

func (e *BlockedError) Error() string {
	return fmt.Sprintf("placement: after %d steps none is left for %d volumes, first %s", e.Done, len(e.Volumes), e.Volumes[0])
}

// mostDetours bounds the steps that lead away from the target, to make room.
const mostDetours = 64

// Steps orders the way from one layout to another so that after each step no node
// is over its capacity, with any hall lost if that is asked for, no volume loses
// its spread, and no step moves more than most units a second. On its way a volume
// may lie on one node more than it may at the end. A new target that arrives
// half-way starts from where things stand. Where no order is found the steps that
// were are returned with a *BlockedError.
func Steps(p *Problem, from, to Layout, most float64) ([]Step, error) {
	w := &walk{p: p, s: newState(p), at: make(Layout, len(from)), to: to, most: most}
	for v := range from {
		w.at[v] = slices.Clone(from[v])
		for _, pc := range from[v] {
			w.s.put(v, pc, 1)
		}
	}
	for detours := 0; ; {
		w.s.loose = false
		if w.next(false) {
			continue
		}
		left := w.left()
		if len(left) == 0 {
			return w.steps, nil
		}
		if w.unsafe() && w.next(false) {
			continue
		}
		w.s.loose = false
		if detours++; detours > mostDetours || !w.next(true) {
			return w.steps, &BlockedError{left, len(w.steps)}
		}
	}
}

// walk is where a layout stands on its way.
type walk struct {
	p     *Problem
	s     *state
	at    Layout
	to    Layout
	most  float64
	steps []Step
	worst float64 // use after the worst loss, before a loose step
}

// unsafe lets the next step pass by the loss of a hall, as long as the worst loss gets
// no worse, where the layout as it stands does not survive it anyway.
func (w *walk) unsafe() bool {
	_, w.worst = w.s.uses()
	w.s.loose = w.worst > 1+tolerance
	return w.s.loose
}

// survives holds a loose step to the worst loss before it.
func (w *walk) survives() bool {
	if !w.s.loose {
		return true
	}
	_, now := w.s.uses()
	return now <= w.worst+tolerance
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

// left names the volumes that are not where they should be.
func (w *walk) left() (out []string) {
	for v := range w.at {
		if w.differs(v) {
			out = append(out, w.p.Volumes[v].Name)
		}
	}
	return out
}

func (w *walk) differs(v int) bool {
	if len(w.at[v]) != len(w.to[v]) {
		return true
	}
	return slices.ContainsFunc(w.to[v], func(pc Piece) bool { return partsAt(w.at[v], pc.Node, pc.Copy) != pc.Parts })
}

// next makes one step: towards the target, or as a detour to any node with room.
func (w *walk) next(detour bool) bool {
	for v := range w.at {
		if !w.differs(v) {
			continue
		}
		for _, src := range w.sources(v) {
			for _, dst := range w.targets(v, src, detour) {
				if w.step(v, src, dst) {
					return true
				}
			}
		}
	}
	return false
}

// sources are the pieces that have more than they should; nothing, where too few
// parts are placed.
func (w *walk) sources(v int) (out []Piece) {
	placed, want := 0, 0
	for _, pc := range w.at[v] {
		placed += pc.Parts
		if more := pc.Parts - partsAt(w.to[v], pc.Node, pc.Copy); more > 0 {
			out = append(out, Piece{pc.Node, pc.Copy, more})
		}
	}
	for _, pc := range w.to[v] {
		want += pc.Parts
	}
	if placed < want {
		out = append(out, Piece{-1, -1, want - placed})
	}
	return out
}

// targets are where parts may go: to pieces that have too few, or away for good
// where too many are placed; a detour goes to any node, its copy with it.
func (w *walk) targets(v int, src Piece, detour bool) (out []Piece) {
	if detour {
		if src.Node < 0 {
			return nil
		}
		for n := range w.p.Nodes {
			if n == src.Node || n == src.Copy || w.p.Nodes[n].Draining || slices.Contains(w.p.Volumes[v].Bans, n) ||
				src.Copy >= 0 && w.s.hall[n] == w.s.hall[src.Copy] {
				continue
			}
			out = append(out, Piece{n, src.Copy, src.Parts})
		}
		return out
	}
	placed, want := 0, 0
	for _, pc := range w.to[v] {
		want += pc.Parts
		if less := pc.Parts - partsAt(w.at[v], pc.Node, pc.Copy); less > 0 {
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
	for _, pc := range w.at[v] {
		placed += pc.Parts
	}
	if placed > want && src.Node >= 0 {
		out = append(out, Piece{-1, -1, min(placed-want, src.Parts)})
	}
	return out
}

// step moves as many parts as the amount lets it, if what it leaves behind holds.
func (w *walk) step(v int, src, dst Piece) bool {
	each := 0.0 // what one part moves
	if dst.Node >= 0 && dst.Node != src.Node {
		each += w.p.unit(v)
	}
	if dst.Copy >= 0 && dst.Copy != src.Copy {
		each += w.p.unit(v)
	}
	for k := dst.Parts; k > 0; k-- {
		if each*float64(k) > w.most+tolerance {
			continue
		}
		before := slices.Clone(w.at[v])
		w.shift(v, src, -k)
		w.shift(v, dst, k)
		if w.holds(v, before) && !w.feedsDraining(v, before, dst) && (dst.Node < 0 || w.s.fits(dst)) && w.survives() {
			w.steps = append(w.steps, Step{v, Piece{src.Node, src.Copy, k}, Piece{dst.Node, dst.Copy, k}, each * float64(k)})
			return true
		}
		w.shift(v, dst, -k)
		w.shift(v, src, k)
		w.at[v] = before
	}
	return false
}

// shift adds k parts to a piece of v, which comes and goes with them.
func (w *walk) shift(v int, pc Piece, k int) {
	if pc.Node < 0 {
		return
	}
	w.s.put(v, Piece{pc.Node, pc.Copy, 1}, float64(k))
	i := slices.IndexFunc(w.at[v], func(x Piece) bool { return x.Node == pc.Node && x.Copy == pc.Copy })
	if i < 0 {
		w.at[v] = append(w.at[v], Piece{pc.Node, pc.Copy, k})
		return
	}
	if w.at[v][i].Parts += k; w.at[v][i].Parts == 0 {
		w.at[v] = slices.Delete(w.at[v], i, i+1)
	}
}

// feedsDraining tells whether a node that drains has more of v than before.
func (w *walk) feedsDraining(v int, before []Piece, dst Piece) bool {
	for _, n := range [2]int{dst.Node, dst.Copy} {
		if n < 0 || !w.p.Nodes[n].Draining {
			continue
		}
		data, copies := onNode(before, n)
		if d, c := onNode(w.at[v], n); d > data || c > copies {
			return true
		}
	}
	return false
}

// holds keeps spread and the number of nodes on the way.
func (w *walk) holds(v int, before []Piece) bool {
	var nodes []int
	for _, pc := range w.at[v] {
		if !slices.Contains(nodes, pc.Node) {
			nodes = append(nodes, pc.Node)
		}
	}
	vol := &w.p.Volumes[v]
	return len(nodes) <= vol.MaxNodes+1 && hallCount(w.at[v], w.s.hall) >= min(hallCount(before, w.s.hall), vol.Spread)
}
