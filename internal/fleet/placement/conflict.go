package placement

import (
	"cmp"
	"errors"
	"fmt"
	"math"
	"slices"
)

// ConstraintKind is the kind of a Constraint.
type ConstraintKind int

// Kinds of constraints, in the order in which FindConflict tries to drop them. Those that operators
// can change most easily come last, so that they tend to remain in the conflict.
const (
	KindDrain    ConstraintKind = iota // a draining node gets no new parts
	KindMinHalls                       // Volume.MinHalls
	KindCopy                           // a volume has copies in another hall
	KindMaxNodes                       // Volume.MaxNodes
	KindExclude                        // a node is in Volume.ExcludedNodes
	KindPin                            // a node is in Volume.PinnedNodes
	KindHallLoss                       // the load fits after the loss of a hall
	KindReserve                        // the reserve of a volume is placed
	KindCapacity                       // the load of a node is within its capacity
)

// Constraint is one constraint of a problem. Volume, Node and Hall are -1 or "" if they do not apply
// to its kind.
type Constraint struct {
	Kind         ConstraintKind
	Volume, Node int
	Hall         string
}

// Conflict is a minimal set of contradictory constraints: without any one of them, the others can be
// satisfied together.
type Conflict struct {
	Constraints []Constraint
	Remedy      *Remedy // the cheapest one found, nil if no single change makes the problem feasible
}

// Remedy is an increase of one node's capacity that makes the problem feasible.
type Remedy struct {
	Node          int
	AddedCapacity float64 // units/s
	Price         float64 // Add times Node.Cost, or times 1 if that is 0
}

// ErrUndecided reports that the search could not prove a subset of the constraints infeasible.
var ErrUndecided = errors.New("placement: problem too large to determine conflicting constraints")

// FindConflict returns a minimal conflict of an infeasible problem, or nil if the problem is feasible.
// It drops one constraint after another as long as the rest is infeasible.
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
			i++ // needed for the conflict
		} else {
			kept = remaining
		}
	}
	conflict := &Conflict{Constraints: kept}
	var err error
	conflict.Remedy, err = finder.findRemedy(kept)
	return conflict, err
}

// constraints lists the constraints of a problem in the order in which they are dropped: by kind, and
// within a kind those of small volumes and of large nodes first.
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
			return -problem.Nodes[c.Node].Capacity // small nodes last
		}
		return 0
	}
	slices.SortStableFunc(out, func(a, b Constraint) int {
		return cmp.Or(cmp.Compare(a.Kind, b.Kind), cmp.Compare(size(a), size(b)))
	})
	return out
}

// Relax returns the problem with only the constraints in kept.
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

// conflictFinder tests subsets of the constraints of a problem.
type conflictFinder struct {
	problem *Problem
	options Options
}

// feasible reports whether a layout satisfies the constraints in kept.
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

// capacityPrecision is the relative precision of Remedy.AddedCapacity.
const capacityPrecision = 1e-4

// findRemedy returns the cheapest capacity increase of one node of the conflict that makes the whole
// problem feasible, or nil.
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

// minAddedCapacity returns the least increase of node n's capacity that makes the problem feasible,
// rounded up to a multiple of capacityPrecision. ok is false if no increase does.
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

// Describe returns a text for operators, with the names and values of the constraint.
func (c Constraint) Describe(problem *Problem) string {
	switch c.Kind {
	case KindDrain:
		return fmt.Sprintf("node %s is draining and takes no new data", problem.Nodes[c.Node].Name)
	case KindMinHalls:
		return fmt.Sprintf("volume %s must be in at least %d halls", problem.Volumes[c.Volume].Name, problem.Volumes[c.Volume].MinHalls)
	case KindCopy:
		return fmt.Sprintf("volume %s needs a copy of each piece in another hall", problem.Volumes[c.Volume].Name)
	case KindMaxNodes:
		return fmt.Sprintf("volume %s may be on at most %d nodes", problem.Volumes[c.Volume].Name, problem.Volumes[c.Volume].MaxNodes)
	case KindExclude:
		return fmt.Sprintf("volume %s is excluded from node %s", problem.Volumes[c.Volume].Name, problem.Nodes[c.Node].Name)
	case KindPin:
		return fmt.Sprintf("volume %s is pinned to node %s", problem.Volumes[c.Volume].Name, problem.Nodes[c.Node].Name)
	case KindHallLoss:
		return fmt.Sprintf("the redirected load must fit after the loss of %s", c.Hall)
	case KindReserve:
		volume := &problem.Volumes[c.Volume]
		return fmt.Sprintf("volume %s has a reserve of %.3g of its %.3g units/s", volume.Name, problem.partRate(c.Volume)*float64(problem.minParts(c.Volume)), volume.Rate)
	}
	node := &problem.Nodes[c.Node]
	return fmt.Sprintf("node %s in %s has a capacity of %.3g units/s", node.Name, node.Hall, node.Capacity)
}

// Describe returns a text for each constraint, and one for the remedy if there is one.
func (c *Conflict) Describe(problem *Problem) []string {
	var out []string
	for _, constraint := range c.Constraints {
		out = append(out, constraint.Describe(problem))
	}
	if c.Remedy != nil {
		out = append(out, fmt.Sprintf("remedy: %.4g units/s more capacity at node %s", c.Remedy.AddedCapacity, problem.Nodes[c.Remedy.Node].Name))
	}
	return out
}
