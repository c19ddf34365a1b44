package placement

import (
	"cmp"
	"errors"
	"math"
	"slices"
)

// ErrNoLayout says that no layout keeps every constraint; Conflict tells why.
var ErrNoLayout = errors.New("placement: no layout keeps every constraint")

// ErrStopped says that the search was stopped before it found any layout, and
// before it was shown that there is none.
var ErrStopped = errors.New("placement: stopped before a layout was found")

// Options of a search.
type Options struct {
	// Stop is asked now and then; once it is true the best so far is the answer.
	// nil never stops.
	Stop func() bool
	// Steps bounds the exact search; 0 means the default.
	Steps int
	// Near lets a layout that keeps to the one in force be chosen over one that moves
	// more, as long as no goal above the moves is worse by more than that part of it.
	// 0 keeps strictly to the order of the goals.
	Near float64
}

// defaultSteps is some seconds of exact search.
const defaultSteps = 20_000_000

// Result is a layout with what is known of the best possible.
type Result struct {
	Layout    Layout
	Objective Objective
	// Bound is not above the best objective, goal by goal in their order: each of
	// its figures holds for layouts that reach the goals before it.
	Bound   Objective
	Optimal bool // proved: no layout is better
	Steps   int
}

// Gap is how much the highest use may lie above the best possible, as a part of
// it; 0 where that is proved.
func (r *Result) Gap() float64 {
	if r.Optimal || r.Bound.Use <= 0 {
		return 0
	}
	return max(r.Objective.Use/r.Bound.Use-1, 0)
}

// LossGap is the same for the highest use after the worst loss, against a bound
// that holds for every layout.
func (r *Result) LossGap() float64 {
	if r.Optimal || r.Bound.LossUse <= 0 {
		return 0
	}
	return max(r.Objective.LossUse/r.Bound.LossUse-1, 0)
}

// Solve returns the best layout that it finds, proved where the exact search came
// to its end. Without a layout the error is ErrNoLayout, which is a proof, or
// ErrStopped.
func Solve(p *Problem, opt Options) (*Result, error) {
	if err := p.Validate(); err != nil {
		return nil, err
	}
	res := &Result{Bound: bound(p)}
	res.Layout, res.Objective = build(p, opt.Stop)
	near := fromCurrent(p, opt.Stop)
	if near != nil && (res.Layout == nil || near.Objective.Compare(res.Objective) <= 0) {
		res.Layout, res.Objective = near.Layout, near.Objective
	}
	x := newExact(p, opt)
	if x != nil {
		x.best, x.bestAt = res.Layout, res.Objective
		x.search(0)
		res.Layout, res.Objective, res.Steps = x.best, x.bestAt, x.steps
		res.Optimal = !x.stopped
		if res.Optimal && x.best == nil {
			return nil, ErrNoLayout
		}
	}
	if res.Layout == nil {
		return nil, ErrStopped
	}
	if near != nil && near.Objective.Moves < res.Objective.Moves && near.Objective.within(res.Objective, opt.Near) {
		res.Layout, res.Objective, res.Optimal = near.Layout, near.Objective, false
	}
	return res, nil
}

// within tells whether o is at most that part worse than p in each goal above the
// moves.
func (o Objective) within(p Objective, part float64) bool {
	ok := func(a, b float64) bool { return a <= b*(1+part)+tolerance }
	return part > 0 && ok(o.Unmet, p.Unmet) && ok(o.Use, p.Use) && ok(o.LossUse, p.LossUse) && ok(o.Cost, p.Cost)
}

// fromCurrent betters the layout in force by small changes; nil if there is none, or
// it breaks something that changes alone don't mend.
func fromCurrent(p *Problem, stop func() bool) *Result {
	if p.Current == nil {
		return nil
	}
	if _, broken := Check(p, p.Current); len(broken) > 0 {
		return nil
	}
	g := &builder{p: p, s: newState(p), l: make(Layout, len(p.Volumes))}
	for v, pieces := range p.Current {
		g.l[v] = slices.Clone(pieces)
		for _, pc := range pieces {
			g.s.put(v, pc, 1)
		}
	}
	g.improve(stop, g.relieve)
	g.improve(stop, g.relieveLoss)
	l, o := p.Current, Objective{}
	if after, broken := Check(p, g.l); len(broken) == 0 {
		l, o = g.l, after
	} else {
		o, _ = Check(p, l)
	}
	if now, _ := Check(p, p.Current); now.Compare(o) <= 0 {
		l, o = p.Current, now
	}
	return &Result{Layout: l, Objective: o}
}

// bound is what no layout can be below, goal by goal in their order.
func bound(p *Problem) Objective {
	var o Objective
	demand, capacity, widest := 0.0, 0.0, 0.0
	for _, n := range p.Nodes {
		capacity += n.Capacity
		widest = max(widest, n.Capacity)
	}
	for v := range p.Volumes {
		demand += p.Volumes[v].Rate
	}
	o.Unmet = cheapestUnmet(p, demand-capacity)
	carried, moved := 0.0, 0.0 // by all nodes; by those that are left of a lost hall
	for v := range p.Volumes {
		vol := &p.Volumes[v]
		carried += vol.Rate
		if vol.Copies == 2 {
			carried += vol.Rate * vol.Writes
			moved += vol.Rate
		}
	}
	if capacity > 0 && demand <= capacity {
		o.Use = carried / capacity
		o.LossUse = p.lossBound(moved, capacity)
		for v := range p.Volumes {
			o.Use = max(o.Use, p.widestShare(v, widest))
		}
	}
	if o.Unmet > 0 || demand > capacity {
		o.Use, o.LossUse = 0, 0 // what is left out may make any node lighter
	}
	return o
}

// lossBound is the use of the nodes outside the hall whose loss leaves least, if
// they carry what has copies.
func (p *Problem) lossBound(moved, capacity float64) (use float64) {
	_, names := p.halls()
	for _, h := range names {
		left := capacity
		for _, n := range p.Nodes {
			if n.Hall == h {
				left -= n.Capacity
			}
		}
		if p.survived(h) && left > tolerance {
			use = max(use, moved/left)
		}
	}
	return use
}

// widestShare is the use that v alone puts on some node, were it on the widest.
func (p *Problem) widestShare(v int, widest float64) float64 {
	if p.least(v) < p.Parts || widest <= 0 {
		return 0
	}
	nodes := min(p.Volumes[v].MaxNodes, p.Parts, len(p.Nodes))
	parts := math.Ceil(float64(p.Parts) / float64(nodes))
	return p.unit(v) * parts / widest
}

// cheapestUnmet is the worth of that much demand, the least worthy first.
func cheapestUnmet(p *Problem, over float64) float64 {
	if over <= 0 {
		return 0
	}
	order := make([]int, len(p.Volumes))
	for i := range order {
		order[i] = i
	}
	worth := func(v int) float64 { return p.Tiers[p.Volumes[v].Tier].Worth }
	slices.SortFunc(order, func(a, b int) int { return cmp.Compare(worth(a), worth(b)) })
	total := 0.0
	for _, v := range order {
		x := min(over, p.Volumes[v].Rate)
		total += x * worth(v)
		over -= x
	}
	return total
}

// exact is a depth-first search with bounds, volume by volume.
type exact struct {
	p       *Problem
	opt     Options
	s       *state
	order   []int
	ways    [][]option
	rest    []Objective // what the volumes from here on add at the least
	chosen  []int
	unmet   float64
	moves   float64
	best    Layout
	bestAt  Objective
	steps   int
	most    int
	stopped bool
	any     bool // the first layout will do
}

// newExact lists the ways of every volume; nil if they are too many to search.
func newExact(p *Problem, opt Options) *exact {
	x := &exact{p: p, opt: opt, s: newState(p), most: opt.Steps}
	if x.most == 0 {
		x.most = defaultSteps
	}
	x.ways = make([][]option, len(p.Volumes))
	total := 0
	for v := range p.Volumes {
		ways, ok := p.options(v, x.s.hall)
		if total += len(ways); !ok || total > 4*maxOptions {
			return nil
		}
		x.ways[v] = ways
		x.order = append(x.order, v)
		slices.SortStableFunc(x.ways[v], func(a, b option) int {
			return cmp.Or(compareFloat(a.unmet, b.unmet), compareFloat(a.moves, b.moves), len(b.pieces)-len(a.pieces))
		})
	}
	slices.SortStableFunc(x.order, func(a, b int) int {
		return cmp.Or(cmp.Compare(p.Volumes[b].Rate, p.Volumes[a].Rate), len(x.ways[a])-len(x.ways[b]))
	})
	x.chosen = make([]int, len(p.Volumes))
	x.rests()
	return x
}

// rests sums, from the last volume back, the least that each adds.
func (x *exact) rests() {
	x.rest = make([]Objective, len(x.order)+1)
	for i := len(x.order) - 1; i >= 0; i-- {
		v := x.order[i]
		low := Objective{Unmet: math.Inf(1), Cost: math.Inf(1), Moves: math.Inf(1)}
		for _, w := range x.ways[v] {
			low.Unmet, low.Moves = min(low.Unmet, w.unmet), min(low.Moves, w.moves)
			low.Cost = min(low.Cost, x.costOf(v, w))
		}
		x.rest[i] = Objective{Unmet: x.rest[i+1].Unmet + low.Unmet, Cost: x.rest[i+1].Cost + low.Cost, Moves: x.rest[i+1].Moves + low.Moves}
	}
}

func (x *exact) costOf(v int, w option) float64 {
	cost := 0.0
	for _, pc := range w.pieces {
		load := x.p.unit(v) * float64(pc.Parts)
		cost += load * x.p.Nodes[pc.Node].Cost
		if pc.Copy >= 0 {
			cost += load * x.p.Volumes[v].Writes * x.p.Nodes[pc.Copy].Cost
		}
	}
	return cost
}

// least is what a completion of the present choice is at the least.
func (x *exact) least(i int) Objective {
	now, loss := x.s.uses()
	r := x.rest[i]
	return Objective{Unmet: x.unmet + r.Unmet, Use: now, LossUse: loss, Cost: x.s.cost + r.Cost, Moves: x.moves + r.Moves}
}

func (x *exact) search(i int) {
	if x.steps++; x.steps > x.most || x.steps%1024 == 0 && x.opt.Stop != nil && x.opt.Stop() {
		x.stopped = true
	}
	if x.stopped || x.any && x.best != nil {
		return
	}
	low := x.least(i)
	if x.best != nil && low.Compare(x.bestAt) >= 0 {
		return
	}
	if i == len(x.order) {
		x.take(low)
		return
	}
	v := x.order[i]
	for k := range x.ways[v] {
		w := &x.ways[v][k]
		x.choose(v, w, 1)
		if x.fit(w) {
			x.chosen[v] = k
			x.search(i + 1)
		}
		x.choose(v, w, -1)
	}
}

func (x *exact) choose(v int, w *option, sign float64) {
	for _, pc := range w.pieces {
		x.s.put(v, pc, sign)
	}
	x.unmet += sign * w.unmet
	x.moves += sign * w.moves
}

func (x *exact) fit(w *option) bool {
	for _, pc := range w.pieces {
		if !x.s.fits(pc) {
			return false
		}
	}
	return true
}

// take keeps a layout that is better than the best.
func (x *exact) take(o Objective) {
	x.bestAt = o
	x.best = make(Layout, len(x.p.Volumes))
	for v, k := range x.chosen {
		x.best[v] = slices.Clone(x.ways[v][k].pieces)
	}
}

// build returns a layout that keeps everything, nil if the heuristic finds none.
// Where halls have little to spare, minding every hall's loss at each part paints
// the search into a corner; it then fills the nodes first and mends the losses after.
func build(p *Problem, stop func() bool) (Layout, Objective) {
	for _, loose := range [2]bool{false, true} {
		if loose && !p.Survive {
			break
		}
		if l, ok := greedy(p, loose, stop); ok {
			if o, broken := Check(p, l); len(broken) == 0 {
				return l, o
			}
		}
	}
	return nil, Objective{}
}

// greedy places the largest first, part by part, each where the highest use stays
// lowest, then moves parts off the fullest node while that helps.
func greedy(p *Problem, loose bool, stop func() bool) (Layout, bool) {
	g := &builder{p: p, s: newState(p), l: make(Layout, len(p.Volumes))}
	g.s.loose = loose
	order := make([]int, len(p.Volumes))
	for v := range order {
		order[v] = v
	}
	slices.SortStableFunc(order, func(a, b int) int {
		va, vb := &p.Volumes[a], &p.Volumes[b]
		return cmp.Or(cmp.Compare(p.Tiers[vb.Tier].Worth, p.Tiers[va.Tier].Worth), cmp.Compare(vb.Rate, va.Rate))
	})
	for _, v := range order {
		if !g.place(v) {
			return nil, false
		}
	}
	g.improve(stop, g.relieve)
	g.improve(stop, g.relieveLoss)
	for _, pieces := range g.l {
		slices.SortFunc(pieces, func(a, b Piece) int { return a.Node - b.Node })
	}
	return g.l, true
}

type builder struct {
	p *Problem
	s *state
	l Layout
}

// place puts v's parts one by one; false if its reserve has no place.
func (g *builder) place(v int) bool {
	vol := &g.p.Volumes[v]
	pinned := 0
	for done := 0; done < g.p.Parts; done++ {
		only := -1
		if pinned < len(vol.Pins) {
			only = vol.Pins[pinned]
			pinned++
		}
		if !g.part(v, only) {
			if done < max(g.p.least(v), len(vol.Pins)) {
				for i := range g.l[v] {
					g.s.put(v, g.l[v][i], -1)
				}
				g.l[v] = nil
				return g.p.least(v) == 0
			}
			break
		}
	}
	return true
}

// part puts one part of v where it does least, or on that node alone.
func (g *builder) part(v, only int) bool {
	vol := &g.p.Volumes[v]
	best, bestAt := Piece{-1, -1, 1}, math.Inf(1)
	full := len(g.l[v]) >= vol.MaxNodes
	apart := g.mustSpread(v)
	copies := make([]int, g.s.halls) // by the hall of the data, looked for once
	for h := range copies {
		copies[h] = unsought
	}
	for n := range g.p.Nodes {
		has := g.at(v, n)
		if only >= 0 && n != only || full && has < 0 || slices.Contains(vol.Bans, n) || !g.mayGrow(v, n, has) || apart && g.inHall(v, g.s.hall[n]) {
			continue
		}
		pc := Piece{n, -1, 1}
		if has >= 0 {
			pc.Copy = g.l[v][has].Copy
		} else if vol.Copies == 2 {
			h := g.s.hall[n]
			if copies[h] == unsought {
				copies[h] = g.copyFor(v, n)
			}
			if pc.Copy = copies[h]; pc.Copy < 0 {
				continue
			}
		}
		if at, ok := g.try(v, pc); ok && at < bestAt-tolerance {
			best, bestAt = pc, at
		}
	}
	if best.Node < 0 {
		return false
	}
	g.s.put(v, best, 1)
	if has := g.at(v, best.Node); has >= 0 {
		g.l[v][has].Parts++
	} else {
		g.l[v] = append(g.l[v], best)
	}
	return true
}

// mustSpread tells whether the next part must go to a hall that has none of v.
func (g *builder) mustSpread(v int) bool {
	vol := &g.p.Volumes[v]
	left, in := g.p.Parts, hallCount(g.l[v], g.s.hall)
	for _, pc := range g.l[v] {
		left -= pc.Parts
	}
	return vol.Spread > in && vol.Spread-in >= min(left, vol.MaxNodes-len(g.l[v]))
}

func (g *builder) inHall(v, hall int) bool {
	return slices.ContainsFunc(g.l[v], func(pc Piece) bool { return g.s.hall[pc.Node] == hall })
}

const unsought = -2

// at is the index of v's piece on n, -1 if there is none.
func (g *builder) at(v, n int) int {
	return slices.IndexFunc(g.l[v], func(pc Piece) bool { return pc.Node == n })
}

// mayGrow holds nodes that drain to what they have.
func (g *builder) mayGrow(v, n, has int) bool {
	if !g.p.Nodes[n].Draining {
		return true
	}
	data, _ := g.p.held(v, n)
	return has < 0 && data > 0 || has >= 0 && g.l[v][has].Parts < data
}

// copyFor is the least used node of another hall; what drains takes no new copy.
func (g *builder) copyFor(v, n int) int {
	best, bestAt := -1, math.Inf(1)
	for c := range g.p.Nodes {
		if g.s.hall[c] == g.s.hall[n] || g.p.Nodes[c].Draining || g.p.Nodes[c].Capacity <= 0 || slices.Contains(g.p.Volumes[v].Bans, c) {
			continue
		}
		at := g.s.load[c]
		for _, l := range g.s.loss {
			at = max(at, l[c])
		}
		if at /= g.p.Nodes[c].Capacity; at < bestAt {
			best, bestAt = c, at
		}
	}
	return best
}

// try is the use to which a piece brings its nodes, and whether it fits.
func (g *builder) try(v int, pc Piece) (float64, bool) {
	g.s.put(v, pc, 1)
	defer g.s.put(v, pc, -1)
	return g.usesOf(pc), g.s.fits(pc)
}

func (g *builder) usesOf(pc Piece) float64 {
	at := use(g.s.load[pc.Node], g.p.Nodes[pc.Node].Capacity)
	if pc.Copy >= 0 {
		at = max(at, use(g.s.load[pc.Copy], g.p.Nodes[pc.Copy].Capacity))
	}
	return at
}

// improve makes one change after another while one helps.
func (g *builder) improve(stop func() bool, relieve func() bool) {
	for round := 0; round < 50*len(g.p.Nodes) && (stop == nil || round%16 != 0 || !stop()); round++ {
		if !relieve() {
			return
		}
	}
}

// relieveLoss takes a copy off the node that would be the fullest after the loss of
// a hall, without making any node fuller than the fullest is now.
func (g *builder) relieveLoss() bool {
	from, hall, high := -1, -1, 0.0
	top, worst := g.s.uses()
	if worst > 1 {
		top = 1 // what does not survive yet may cost use
	}
	for i, loss := range g.s.loss {
		for n, x := range loss {
			if u := use(x, g.p.Nodes[n].Capacity); g.s.hall[n] != g.s.lost[i] && u > high {
				from, hall, high = n, g.s.lost[i], u
			}
		}
	}
	for v := range g.l {
		for i, pc := range g.l[v] {
			if pc.Copy == from && g.s.hall[pc.Node] == hall && g.recopy(v, i, top, high) {
				return true
			}
		}
	}
	for v := range g.l {
		for i, pc := range g.l[v] {
			if pc.Copy == from && g.s.hall[pc.Node] == hall && g.swapCopies(v, i, top, high) {
				return true
			}
		}
	}
	return false
}

// swapCopies lets a piece change copies with another whose data lies in a third
// hall: what their nodes carry day by day hardly changes, what they would carry after
// the loss does. False if no swap leaves both below high.
func (g *builder) swapCopies(v, i int, top, high float64) bool {
	a := g.l[v][i]
	from, lost := a.Copy, g.s.hall[a.Node]
	g.s.put(v, a, -1)
	defer func() { g.s.put(v, g.l[v][i], 1) }()
	for w := range g.l {
		if w == v || slices.Contains(g.p.Volumes[w].Bans, from) {
			continue
		}
		for j, b := range g.l[w] {
			if b.Copy < 0 || b.Copy == from || g.s.hall[b.Node] == lost || g.s.hall[b.Node] == g.s.hall[from] || g.s.hall[b.Copy] == lost ||
				g.p.Nodes[b.Copy].Draining || g.p.Nodes[from].Draining || slices.Contains(g.p.Volumes[v].Bans, b.Copy) {
				continue
			}
			x, y := Piece{a.Node, b.Copy, a.Parts}, Piece{b.Node, from, b.Parts}
			g.s.put(w, b, -1)
			g.s.put(v, x, 1)
			g.s.put(w, y, 1)
			good := g.usesOf(x) <= top+tolerance && g.usesOf(y) <= top+tolerance && g.s.fits(x) && g.s.fits(y) &&
				max(g.s.lossUse(from), g.s.lossUse(b.Copy)) < high-tolerance
			g.s.put(v, x, -1)
			if good {
				g.l[v][i], g.l[w][j] = x, y
				return true
			}
			g.s.put(w, y, -1)
			g.s.put(w, b, 1)
		}
	}
	return false
}

// recopy gives a piece's copy another node: the one that the loss of a hall would
// fill least, if that stays below high. False if there is none.
func (g *builder) recopy(v, i int, top, high float64) bool {
	pc := g.l[v][i]
	old, best, bestAt := pc.Copy, -1, high-tolerance
	g.s.put(v, pc, -1)
	for c := range g.p.Nodes {
		if c == old || g.s.hall[c] == g.s.hall[pc.Node] || g.p.Nodes[c].Draining || g.p.Nodes[c].Capacity <= 0 || slices.Contains(g.p.Volumes[v].Bans, c) {
			continue
		}
		pc.Copy = c
		g.s.put(v, pc, 1)
		if at := g.s.lossUse(c); at < bestAt && g.usesOf(pc) <= top+tolerance && g.s.fits(pc) {
			best, bestAt = c, at
		}
		g.s.put(v, pc, -1)
	}
	if pc.Copy = best; best < 0 {
		pc.Copy = old
	}
	g.s.put(v, pc, 1)
	g.l[v][i] = pc
	return best >= 0
}

// relieve moves one part from the fullest node to where it does least; false if
// none helps.
func (g *builder) relieve() bool {
	from, high := -1, 0.0
	for n := range g.s.load {
		if u := use(g.s.load[n], g.p.Nodes[n].Capacity); u > high {
			from, high = n, u
		}
	}
	if from < 0 {
		return false
	}
	// A part at a time first: it does the least to the nodes that take it. Then whole
	// pieces, which may change their copy too.
	for v := range g.l {
		i := g.at(v, from)
		if i < 0 || g.l[v][i].Parts == 1 && g.pinned(v, from) {
			continue
		}
		if g.shift(v, i, 1, high) {
			return true
		}
	}
	for v := range g.l {
		for i, pc := range g.l[v] {
			if (pc.Node == from || pc.Copy == from) && !g.pinned(v, pc.Node) && g.shift(v, i, pc.Parts, high) {
				return true
			}
		}
	}
	return false
}

func (g *builder) pinned(v, n int) bool { return slices.Contains(g.p.Volumes[v].Pins, n) }

// shift moves k parts of v's piece i elsewhere if all that they touch then stays
// below the use they leave behind.
func (g *builder) shift(v, i, k int, high float64) bool {
	old := slices.Clone(g.l[v])
	pc := old[i]
	g.s.put(v, Piece{pc.Node, pc.Copy, k}, -1)
	if g.l[v][i].Parts -= k; g.l[v][i].Parts == 0 {
		g.l[v] = slices.Delete(g.l[v], i, i+1)
	}
	ok := true
	for range k {
		ok = ok && g.part(v, -1)
	}
	if ok && g.spreadKept(v, old) && g.lighter(old, g.l[v], high) {
		return true
	}
	for _, x := range g.l[v] {
		g.s.put(v, x, -1)
	}
	g.l[v] = old
	for _, x := range old {
		g.s.put(v, x, 1)
	}
	return false
}

// lighter tells whether something has moved, and all that took it is below that use.
func (g *builder) lighter(before, now []Piece, high float64) bool {
	moved := false
	for _, pc := range now {
		if slices.ContainsFunc(before, func(o Piece) bool { return o.Node == pc.Node && o.Copy == pc.Copy && o.Parts >= pc.Parts }) {
			continue
		}
		if moved = true; g.usesOf(pc) >= high-tolerance {
			return false
		}
	}
	return moved
}

func (g *builder) spreadKept(v int, old []Piece) bool {
	return hallCount(g.l[v], g.s.hall) >= min(hallCount(old, g.s.hall), g.p.Volumes[v].Spread)
}
