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
func FindConflict(problem *Problem, options Options) (*Conflict, error) {
	if err := problem.Validate(); err != nil {
		return nil, err
	}
	finder := &conflictFinder{problem: problem, options: options}
	kept := constraints(problem)
	if ok, err := finder.feasible(kept); ok || err != nil {
		return nil, err
	}
	for i := 0; i < len(kept); {
		remaining := slices.Delete(slices.Clone(kept), i, i+1)
		ok, err := finder.feasible(remaining)
		if err != nil {
			return nil, err
		}
		if ok {
			i++ // it is needed
		} else {
			kept = remaining
		}
	}
	conflict := &Conflict{Constraints: kept}
	var err error
	conflict.Remedy, err = finder.findRemedy(kept)
	return conflict, err
}

// constraints lists what a problem asks, by kind, and within a kind the smallest
// first, so that what is large stays in the explanation.
func constraints(problem *Problem) (out []Constraint) {
	for n := range problem.Nodes {
		if problem.Nodes[n].Draining {
			out = append(out, Constraint{KindDrain, -1, n, ""})
		}
		out = append(out, Constraint{KindCapacity, -1, n, ""})
	}
	for v := range problem.Volumes {
		volume := &problem.Volumes[v]
		out = append(out, Constraint{KindReserve, v, -1, ""}, Constraint{KindMaxNodes, v, -1, ""})
		if volume.MinHalls > 1 {
			out = append(out, Constraint{KindMinHalls, v, -1, ""})
		}
		if volume.Copies == 2 {
			out = append(out, Constraint{KindCopy, v, -1, ""})
		}
		for _, n := range volume.PinnedNodes {
			out = append(out, Constraint{KindPin, v, n, ""})
		}
		for _, n := range volume.ExcludedNodes {
			out = append(out, Constraint{KindExclude, v, n, ""})
		}
	}
	_, hallNames := problem.indexHalls()
	for _, hall := range hallNames {
		if problem.mustSurvive(hall) {
			out = append(out, Constraint{KindHallLoss, -1, -1, hall})
		}
	}
	size := func(c Constraint) float64 {
		switch {
		case c.Volume >= 0:
			return problem.Volumes[c.Volume].Rate
		case c.Node >= 0:
			return -problem.Nodes[c.Node].Capacity // a small node explains more than a large
		}
		return 0
	}
	slices.SortStableFunc(out, func(a, b Constraint) int {
		return cmp.Or(cmp.Compare(a.Kind, b.Kind), cmp.Compare(size(a), size(b)))
	})
	return out
}

// Relax returns the problem with only those of its constraints.
func Relax(problem *Problem, kept []Constraint) *Problem {
	relaxed := *problem
	relaxed.Nodes, relaxed.Volumes = slices.Clone(problem.Nodes), slices.Clone(problem.Volumes)
	relaxed.ExemptHalls = nil
	isKept := func(c Constraint) bool { return slices.Contains(kept, c) }
	unlimited := 1.0
	for i := range relaxed.Volumes {
		unlimited += 2 * relaxed.Volumes[i].Rate
	}
	for n := range relaxed.Nodes {
		node := &relaxed.Nodes[n]
		node.Draining = node.Draining && isKept(Constraint{KindDrain, -1, n, ""})
		if !isKept(Constraint{KindCapacity, -1, n, ""}) {
			node.Capacity = max(node.Capacity, unlimited)
		}
	}
	for v := range relaxed.Volumes {
		volume := &relaxed.Volumes[v]
		volume.IgnoreReserve = volume.IgnoreReserve || !isKept(Constraint{KindReserve, v, -1, ""})
		if !isKept(Constraint{KindMaxNodes, v, -1, ""}) {
			volume.MaxNodes = len(relaxed.Nodes)
		}
		if !isKept(Constraint{KindMinHalls, v, -1, ""}) {
			volume.MinHalls = 0
		}
		if !isKept(Constraint{KindCopy, v, -1, ""}) {
			volume.Copies = 1
		}
		keptNodes := func(nodes []int, kind ConstraintKind) []int {
			return slices.DeleteFunc(slices.Clone(nodes), func(n int) bool { return !isKept(Constraint{kind, v, n, ""}) })
		}
		volume.PinnedNodes, volume.ExcludedNodes = keptNodes(volume.PinnedNodes, KindPin), keptNodes(volume.ExcludedNodes, KindExclude)
	}
	_, hallNames := problem.indexHalls()
	for _, hall := range hallNames {
		if !isKept(Constraint{KindHallLoss, -1, -1, hall}) {
			relaxed.ExemptHalls = append(relaxed.ExemptHalls, hall)
		}
	}
	return &relaxed
}

type conflictFinder struct {
	problem *Problem
	options Options
}

// feasible tells whether there is any layout that keeps those constraints.
func (f *conflictFinder) feasible(kept []Constraint) (bool, error) {
	return f.hasLayout(Relax(f.problem, kept))
}

func (f *conflictFinder) hasLayout(problem *Problem) (bool, error) {
	if layout, _ := heuristicLayout(problem, f.options.Stop); layout != nil {
		return true, nil
	}
	search := newExactSearch(problem, f.options)
	if search == nil {
		return false, ErrUndecided
	}
	search.acceptAny = true
	search.search(0)
	if search.best == nil && search.stopped {
		return false, ErrUndecided
	}
	return search.best != nil, nil
}

// capacityPrecision is how close, as a part of it, the capacity to add is worked out.
const capacityPrecision = 1e-4

// findRemedy looks for the node of the conflict whose growth is the cheapest way to a
// layout of the whole problem.
func (f *conflictFinder) findRemedy(constraints []Constraint) (best *Remedy, err error) {
	for _, constraint := range constraints {
		if constraint.Kind != KindCapacity {
			continue
		}
		added, ok, err := f.minAddedCapacity(constraint.Node)
		if err != nil {
			return nil, err
		}
		price := f.problem.Nodes[constraint.Node].Cost
		if price == 0 {
			price = 1
		}
		if ok && (best == nil || added*price < best.Price) {
			best = &Remedy{constraint.Node, added, added * price}
		}
	}
	return best, nil
}

// minAddedCapacity is the least capacity that node n must be given more, within finest.
func (f *conflictFinder) minAddedCapacity(n int) (added float64, ok bool, err error) {
	feasibleWith := func(added float64) (bool, error) {
		enlarged := *f.problem
		enlarged.Nodes = slices.Clone(f.problem.Nodes)
		enlarged.Nodes[n].Capacity += added
		return f.hasLayout(&enlarged)
	}
	low, high := 0.0, 1.0
	for i := range f.problem.Volumes {
		high += 2 * f.problem.Volumes[i].Rate
	}
	if ok, err = feasibleWith(high); !ok || err != nil {
		return 0, false, err
	}
	for high-low > capacityPrecision*max(high, 1) {
		mid := (low + high) / 2
		if ok, err = feasibleWith(mid); err != nil {
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
func (c Constraint) Describe(problem *Problem) string {
	switch c.Kind {
	case KindDrain:
		return fmt.Sprintf("node %s drains and takes nothing new", problem.Nodes[c.Node].Name)
	case KindMinHalls:
		return fmt.Sprintf("volume %s must lie in %d halls", problem.Volumes[c.Volume].Name, problem.Volumes[c.Volume].MinHalls)
	case KindCopy:
		return fmt.Sprintf("volume %s needs a copy of each piece in another hall", problem.Volumes[c.Volume].Name)
	case KindMaxNodes:
		return fmt.Sprintf("volume %s may lie on %d nodes at most", problem.Volumes[c.Volume].Name, problem.Volumes[c.Volume].MaxNodes)
	case KindExclude:
		return fmt.Sprintf("volume %s is banned from node %s", problem.Volumes[c.Volume].Name, problem.Nodes[c.Node].Name)
	case KindPin:
		return fmt.Sprintf("volume %s is pinned to node %s", problem.Volumes[c.Volume].Name, problem.Nodes[c.Node].Name)
	case KindHallLoss:
		return fmt.Sprintf("the load that moves when %s is lost must fit", c.Hall)
	case KindReserve:
		volume := &problem.Volumes[c.Volume]
		return fmt.Sprintf("volume %s needs %.3g of its %.3g units a second placed", volume.Name, problem.partRate(c.Volume)*float64(problem.minParts(c.Volume)), volume.Rate)
	}
	node := &problem.Nodes[c.Node]
	return fmt.Sprintf("node %s in %s carries %.3g units a second", node.Name, node.Hall, node.Capacity)
}

// Describe says the whole conflict.
func (c *Conflict) Describe(problem *Problem) []string {
	var out []string
	for _, constraint := range c.Constraints {
		out = append(out, constraint.Describe(problem))
	}
	if c.Remedy != nil {
		out = append(out, fmt.Sprintf("way out: %.4g units a second more at node %s", c.Remedy.AddedCapacity, problem.Nodes[c.Remedy.Node].Name))
	}
	return out
}
