package placement

import (
	"cmp"
	"errors"
	"fmt"
	"math"
	"slices"
)

// ConstraintKind is a kind of constraint.
type ConstraintKind int

// The kinds, in the order in which a conflict tries to do without them: what is
// left at the end is what operators can change most easily.
const (
	KindDrain    ConstraintKind = iota // a node that drains takes nothing new
	KindMinHalls                       // a volume lies in so many halls
	KindCopy                           // a volume has a copy in another hall
	KindMaxNodes                       // a volume lies on so many nodes at most
	KindExclude                        // a volume lies not on a node
	KindPin                            // a volume lies on a node
	KindHallLoss                       // the loss of a hall is survived
	KindReserve                        // a volume's reserve has a place
	KindCapacity                       // a node carries no more than it can
)

// Constraint is one member of a conflict. Volume, Node and Hall are set as its
// kind needs them, else -1 and "".
type Constraint struct {
	Kind         ConstraintKind
	Volume, Node int
	Hall         string
}

// Conflict is a smallest set of constraints that contradict each other: with any
// one of them dropped, the others can be kept together.
type Conflict struct {
	Constraints []Constraint
	Remedy      *Remedy // the cheapest that was found, nil if no single change will do
}

// Remedy is a change of one node that makes a layout possible.
type Remedy struct {
	Node          int
	AddedCapacity float64 // units a second of capacity
	Price         float64 // Add at the node's cost of a unit, or at 1 where that is 0
}

// ErrUndecided says that the instance is too large to prove a conflict.
var ErrUndecided = errors.New("placement: too large to prove which constraints contradict each other")

// FindConflict explains why a problem has no layout. It returns nil where there is
// one.
func FindConflict(p *Problem, opt Options) (*Conflict, error) {
	if err := p.Validate(); err != nil {
		return nil, err
	}
	f := &conflictFinder{problem: p, options: opt}
	kept := constraints(p)
	if ok, err := f.feasible(kept); ok || err != nil {
		return nil, err
	}
	for i := 0; i < len(kept); {
		without := slices.Delete(slices.Clone(kept), i, i+1)
		ok, err := f.feasible(without)
		if err != nil {
			return nil, err
		}
		if ok {
			i++ // it is needed
		} else {
			kept = without
		}
	}
	c := &Conflict{Constraints: kept}
	var err error
	c.Remedy, err = f.findRemedy(kept)
	return c, err
}

// constraints lists what a problem asks, by kind, and within a kind the smallest
// first, so that what is large stays in the explanation.
func constraints(p *Problem) (out []Constraint) {
	for n := range p.Nodes {
		if p.Nodes[n].Draining {
			out = append(out, Constraint{KindDrain, -1, n, ""})
		}
		out = append(out, Constraint{KindCapacity, -1, n, ""})
	}
	for v := range p.Volumes {
		vol := &p.Volumes[v]
		out = append(out, Constraint{KindReserve, v, -1, ""}, Constraint{KindMaxNodes, v, -1, ""})
		if vol.MinHalls > 1 {
			out = append(out, Constraint{KindMinHalls, v, -1, ""})
		}
		if vol.Copies == 2 {
			out = append(out, Constraint{KindCopy, v, -1, ""})
		}
		for _, n := range vol.PinnedNodes {
			out = append(out, Constraint{KindPin, v, n, ""})
		}
		for _, n := range vol.ExcludedNodes {
			out = append(out, Constraint{KindExclude, v, n, ""})
		}
	}
	_, names := p.indexHalls()
	for _, h := range names {
		if p.mustSurvive(h) {
			out = append(out, Constraint{KindHallLoss, -1, -1, h})
		}
	}
	size := func(c Constraint) float64 {
		switch {
		case c.Volume >= 0:
			return p.Volumes[c.Volume].Rate
		case c.Node >= 0:
			return -p.Nodes[c.Node].Capacity // a small node explains more than a large
		}
		return 0
	}
	slices.SortStableFunc(out, func(a, b Constraint) int {
		return cmp.Or(cmp.Compare(a.Kind, b.Kind), cmp.Compare(size(a), size(b)))
	})
	return out
}

// Relax returns the problem with only those of its constraints.
func Relax(p *Problem, kept []Constraint) *Problem {
	q := *p
	q.Nodes, q.Volumes = slices.Clone(p.Nodes), slices.Clone(p.Volumes)
	q.ExemptHalls = nil
	has := func(c Constraint) bool { return slices.Contains(kept, c) }
	room := 1.0
	for i := range q.Volumes {
		room += 2 * q.Volumes[i].Rate
	}
	for n := range q.Nodes {
		node := &q.Nodes[n]
		node.Draining = node.Draining && has(Constraint{KindDrain, -1, n, ""})
		if !has(Constraint{KindCapacity, -1, n, ""}) {
			node.Capacity = max(node.Capacity, room)
		}
	}
	for v := range q.Volumes {
		vol := &q.Volumes[v]
		vol.IgnoreReserve = vol.IgnoreReserve || !has(Constraint{KindReserve, v, -1, ""})
		if !has(Constraint{KindMaxNodes, v, -1, ""}) {
			vol.MaxNodes = len(q.Nodes)
		}
		if !has(Constraint{KindMinHalls, v, -1, ""}) {
			vol.MinHalls = 0
		}
		if !has(Constraint{KindCopy, v, -1, ""}) {
			vol.Copies = 1
		}
		only := func(list []int, k ConstraintKind) []int {
			return slices.DeleteFunc(slices.Clone(list), func(n int) bool { return !has(Constraint{k, v, n, ""}) })
		}
		vol.PinnedNodes, vol.ExcludedNodes = only(vol.PinnedNodes, KindPin), only(vol.ExcludedNodes, KindExclude)
	}
	_, names := p.indexHalls()
	for _, h := range names {
		if !has(Constraint{KindHallLoss, -1, -1, h}) {
			q.ExemptHalls = append(q.ExemptHalls, h)
		}
	}
	return &q
}

type conflictFinder struct {
	problem *Problem
	options Options
}

// feasible tells whether there is any layout that keeps those constraints.
func (f *conflictFinder) feasible(kept []Constraint) (bool, error) {
	return f.hasLayout(Relax(f.problem, kept))
}

func (f *conflictFinder) hasLayout(q *Problem) (bool, error) {
	if l, _ := heuristicLayout(q, f.options.Stop); l != nil {
		return true, nil
	}
	x := newExactSearch(q, f.options)
	if x == nil {
		return false, ErrUndecided
	}
	x.acceptAny = true
	x.search(0)
	if x.best == nil && x.stopped {
		return false, ErrUndecided
	}
	return x.best != nil, nil
}

// capacityPrecision is how close, as a part of it, the capacity to add is worked out.
const capacityPrecision = 1e-4

// findRemedy looks for the node of the conflict whose growth is the cheapest way to a
// layout of the whole problem.
func (f *conflictFinder) findRemedy(members []Constraint) (best *Remedy, err error) {
	for _, m := range members {
		if m.Kind != KindCapacity {
			continue
		}
		add, ok, err := f.minAddedCapacity(m.Node)
		if err != nil {
			return nil, err
		}
		price := f.problem.Nodes[m.Node].Cost
		if price == 0 {
			price = 1
		}
		if ok && (best == nil || add*price < best.Price) {
			best = &Remedy{m.Node, add, add * price}
		}
	}
	return best, nil
}

// minAddedCapacity is the least capacity that node n must be given more, within finest.
func (f *conflictFinder) minAddedCapacity(n int) (add float64, ok bool, err error) {
	with := func(add float64) (bool, error) {
		q := *f.problem
		q.Nodes = slices.Clone(f.problem.Nodes)
		q.Nodes[n].Capacity += add
		return f.hasLayout(&q)
	}
	low, high := 0.0, 1.0
	for i := range f.problem.Volumes {
		high += 2 * f.problem.Volumes[i].Rate
	}
	if ok, err = with(high); !ok || err != nil {
		return 0, false, err
	}
	for high-low > capacityPrecision*max(high, 1) {
		mid := (low + high) / 2
		if ok, err = with(mid); err != nil {
			return 0, false, err
		}
		if ok {
			high = mid
		} else {
			low = mid
		}
	}
	return math.Ceil(high/capacityPrecision) * capacityPrecision, true, nil
}

// Describe says a constraint plainly, with its figures.
func (c Constraint) Describe(p *Problem) string {
	switch c.Kind {
	case KindDrain:
		return fmt.Sprintf("node %s drains and takes nothing new", p.Nodes[c.Node].Name)
	case KindMinHalls:
		return fmt.Sprintf("volume %s must lie in %d halls", p.Volumes[c.Volume].Name, p.Volumes[c.Volume].MinHalls)
	case KindCopy:
		return fmt.Sprintf("volume %s needs a copy of each piece in another hall", p.Volumes[c.Volume].Name)
	case KindMaxNodes:
		return fmt.Sprintf("volume %s may lie on %d nodes at most", p.Volumes[c.Volume].Name, p.Volumes[c.Volume].MaxNodes)
	case KindExclude:
		return fmt.Sprintf("volume %s is banned from node %s", p.Volumes[c.Volume].Name, p.Nodes[c.Node].Name)
	case KindPin:
		return fmt.Sprintf("volume %s is pinned to node %s", p.Volumes[c.Volume].Name, p.Nodes[c.Node].Name)
	case KindHallLoss:
		return fmt.Sprintf("the load that moves when %s is lost must fit", c.Hall)
	case KindReserve:
		v := &p.Volumes[c.Volume]
		return fmt.Sprintf("volume %s needs %.3g of its %.3g units a second placed", v.Name, p.partRate(c.Volume)*float64(p.minParts(c.Volume)), v.Rate)
	}
	n := &p.Nodes[c.Node]
	return fmt.Sprintf("node %s in %s carries %.3g units a second", n.Name, n.Hall, n.Capacity)
}

// Describe says the whole conflict.
func (c *Conflict) Describe(p *Problem) []string {
	var out []string
	for _, m := range c.Constraints {
		out = append(out, m.Describe(p))
	}
	if c.Remedy != nil {
		out = append(out, fmt.Sprintf("way out: %.4g units a second more at node %s", c.Remedy.AddedCapacity, p.Nodes[c.Remedy.Node].Name))
	}
	return out
}
