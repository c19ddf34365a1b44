package placement

import (
	"cmp"
	"errors"
	"fmt"
	"math"
	"slices"
)

// Kind is a kind of constraint.
type Kind int

// The kinds, in the order in which a conflict tries to do without them: what is
// left at the end is what operators can change most easily.
const (
	KindDrain    Kind = iota // a node that drains takes nothing new
	KindSpread               // a volume lies in so many halls
	KindCopy                 // a volume has a copy in another hall
	KindMaxNodes             // a volume lies on so many nodes at most
	KindBan                  // a volume lies not on a node
	KindPin                  // a volume lies on a node
	KindSurvive              // the loss of a hall is survived
	KindReserve              // a volume's reserve has a place
	KindCapacity             // a node carries no more than it can
)

// Constraint is one member of a conflict. Volume, Node and Hall are set as its
// kind needs them, else -1 and "".
type Constraint struct {
	Kind         Kind
	Volume, Node int
	Hall         string
}

// Conflict is a smallest set of constraints that contradict each other: with any
// one of them dropped, the others can be kept together.
type Conflict struct {
	Members []Constraint
	Out     *WayOut // the cheapest that was found, nil if no single change will do
}

// WayOut is a change of one node that makes a layout possible.
type WayOut struct {
	Node  int
	Add   float64 // units a second of capacity
	Price float64 // Add at the node's cost of a unit, or at 1 where that is 0
}

// ErrUndecided says that the instance is too large to prove a conflict.
var ErrUndecided = errors.New("placement: too large to prove which constraints contradict each other")

// FindConflict explains why a problem has no layout. It returns nil where there is
// one.
func FindConflict(p *Problem, opt Options) (*Conflict, error) {
	if err := p.Validate(); err != nil {
		return nil, err
	}
	f := &finder{p: p, opt: opt}
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
	c := &Conflict{Members: kept}
	var err error
	c.Out, err = f.wayOut(kept)
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
		if vol.Spread > 1 {
			out = append(out, Constraint{KindSpread, v, -1, ""})
		}
		if vol.Copies == 2 {
			out = append(out, Constraint{KindCopy, v, -1, ""})
		}
		for _, n := range vol.Pins {
			out = append(out, Constraint{KindPin, v, n, ""})
		}
		for _, n := range vol.Bans {
			out = append(out, Constraint{KindBan, v, n, ""})
		}
	}
	_, names := p.halls()
	for _, h := range names {
		if p.survived(h) {
			out = append(out, Constraint{KindSurvive, -1, -1, h})
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

// Keep returns the problem with only those of its constraints.
func Keep(p *Problem, kept []Constraint) *Problem {
	q := *p
	q.Nodes, q.Volumes = slices.Clone(p.Nodes), slices.Clone(p.Volumes)
	q.Excused = nil
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
		vol.Unreserved = vol.Unreserved || !has(Constraint{KindReserve, v, -1, ""})
		if !has(Constraint{KindMaxNodes, v, -1, ""}) {
			vol.MaxNodes = len(q.Nodes)
		}
		if !has(Constraint{KindSpread, v, -1, ""}) {
			vol.Spread = 0
		}
		if !has(Constraint{KindCopy, v, -1, ""}) {
			vol.Copies = 1
		}
		only := func(list []int, k Kind) []int {
			return slices.DeleteFunc(slices.Clone(list), func(n int) bool { return !has(Constraint{k, v, n, ""}) })
		}
		vol.Pins, vol.Bans = only(vol.Pins, KindPin), only(vol.Bans, KindBan)
	}
	_, names := p.halls()
	for _, h := range names {
		if !has(Constraint{KindSurvive, -1, -1, h}) {
			q.Excused = append(q.Excused, h)
		}
	}
	return &q
}

type finder struct {
	p   *Problem
	opt Options
}

// feasible tells whether there is any layout that keeps those constraints.
func (f *finder) feasible(kept []Constraint) (bool, error) { return f.possible(Keep(f.p, kept)) }

func (f *finder) possible(q *Problem) (bool, error) {
	if l, _ := build(q, f.opt.Stop); l != nil {
		return true, nil
	}
	x := newExact(q, f.opt)
	if x == nil {
		return false, ErrUndecided
	}
	x.any = true
	x.search(0)
	if x.best == nil && x.stopped {
		return false, ErrUndecided
	}
	return x.best != nil, nil
}

// finest is how close, as a part of it, the capacity to add is worked out.
const finest = 1e-4

// wayOut looks for the node of the conflict whose growth is the cheapest way to a
// layout of the whole problem.
func (f *finder) wayOut(members []Constraint) (best *WayOut, err error) {
	for _, m := range members {
		if m.Kind != KindCapacity {
			continue
		}
		add, ok, err := f.growth(m.Node)
		if err != nil {
			return nil, err
		}
		price := f.p.Nodes[m.Node].Cost
		if price == 0 {
			price = 1
		}
		if ok && (best == nil || add*price < best.Price) {
			best = &WayOut{m.Node, add, add * price}
		}
	}
	return best, nil
}

// growth is the least capacity that node n must be given more, within finest.
func (f *finder) growth(n int) (add float64, ok bool, err error) {
	with := func(add float64) (bool, error) {
		q := *f.p
		q.Nodes = slices.Clone(f.p.Nodes)
		q.Nodes[n].Capacity += add
		return f.possible(&q)
	}
	low, high := 0.0, 1.0
	for i := range f.p.Volumes {
		high += 2 * f.p.Volumes[i].Rate
	}
	if ok, err = with(high); !ok || err != nil {
		return 0, false, err
	}
	for high-low > finest*max(high, 1) {
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
	return math.Ceil(high/finest) * finest, true, nil
}

// Words says a constraint plainly, with its figures.
func (c Constraint) Words(p *Problem) string {
	switch c.Kind {
	case KindDrain:
		return fmt.Sprintf("node %s drains and takes nothing new", p.Nodes[c.Node].Name)
	case KindSpread:
		return fmt.Sprintf("volume %s must lie in %d halls", p.Volumes[c.Volume].Name, p.Volumes[c.Volume].Spread)
	case KindCopy:
		return fmt.Sprintf("volume %s needs a copy of each piece in another hall", p.Volumes[c.Volume].Name)
	case KindMaxNodes:
		return fmt.Sprintf("volume %s may lie on %d nodes at most", p.Volumes[c.Volume].Name, p.Volumes[c.Volume].MaxNodes)
	case KindBan:
		return fmt.Sprintf("volume %s is banned from node %s", p.Volumes[c.Volume].Name, p.Nodes[c.Node].Name)
	case KindPin:
		return fmt.Sprintf("volume %s is pinned to node %s", p.Volumes[c.Volume].Name, p.Nodes[c.Node].Name)
	case KindSurvive:
		return fmt.Sprintf("the load that moves when %s is lost must fit", c.Hall)
	case KindReserve:
		v := &p.Volumes[c.Volume]
		return fmt.Sprintf("volume %s needs %.3g of its %.3g units a second placed", v.Name, p.unit(c.Volume)*float64(p.least(c.Volume)), v.Rate)
	}
	n := &p.Nodes[c.Node]
	return fmt.Sprintf("node %s in %s carries %.3g units a second", n.Name, n.Hall, n.Capacity)
}

// Words says the whole conflict.
func (c *Conflict) Words(p *Problem) []string {
	var out []string
	for _, m := range c.Members {
		out = append(out, m.Words(p))
	}
	if c.Out != nil {
		out = append(out, fmt.Sprintf("way out: %.4g units a second more at node %s", c.Out.Add, p.Nodes[c.Out.Node].Name))
	}
	return out
}
