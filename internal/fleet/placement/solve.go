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
	// MaxSteps bounds the exact search; 0 means the default.
	MaxSteps int
	// MaxRegression lets a layout that keeps to the one in force be chosen over one that moves
	// more, as long as no goal above the moves is worse by more than that part of it.
	// 0 keeps strictly to the order of the goals.
	MaxRegression float64
}

// defaultMaxSteps is some seconds of exact search.
const defaultMaxSteps = 20_000_000

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
	res := &Result{Bound: lowerBound(p)}
	res.Layout, res.Objective = heuristicLayout(p, opt.Stop)
	near := improveCurrent(p, opt.Stop)
	if near != nil && (res.Layout == nil || near.Objective.Compare(res.Objective) <= 0) {
		res.Layout, res.Objective = near.Layout, near.Objective
	}
	x := newExactSearch(p, opt)
	if x != nil {
		x.best, x.bestObjective = res.Layout, res.Objective
		x.search(0)
		res.Layout, res.Objective, res.Steps = x.best, x.bestObjective, x.steps
		res.Optimal = !x.stopped
		if res.Optimal && x.best == nil {
			return nil, ErrNoLayout
		}
	}
	if res.Layout == nil {
		return nil, ErrStopped
	}
	if near != nil && near.Objective.Moves < res.Objective.Moves && near.Objective.isWithin(res.Objective, opt.MaxRegression) {
		res.Layout, res.Objective, res.Optimal = near.Layout, near.Objective, false
	}
	return res, nil
}

// isWithin tells whether o is at most that part worse than p in each goal above the
// moves.
func (o Objective) isWithin(p Objective, part float64) bool {
	ok := func(a, b float64) bool { return a <= b*(1+part)+tolerance }
	return part > 0 && ok(o.Unmet, p.Unmet) && ok(o.Use, p.Use) && ok(o.LossUse, p.LossUse) && ok(o.Cost, p.Cost)
}

// improveCurrent betters the layout in force by small changes; nil if there is none, or
// it breaks something that changes alone don't mend.
func improveCurrent(p *Problem, stop func() bool) *Result {
	if p.Current == nil {
		return nil
	}
	if _, broken := Check(p, p.Current); len(broken) > 0 {
		return nil
	}
	g := &builder{problem: p, state: newState(p), layout: make(Layout, len(p.Volumes))}
	for v, pieces := range p.Current {
		g.layout[v] = slices.Clone(pieces)
		for _, pc := range pieces {
			g.state.addPiece(v, pc, 1)
		}
	}
	g.improve(stop, g.relieveBusiest)
	g.improve(stop, g.relieveBusiestAfterLoss)
	l, o := p.Current, Objective{}
	if after, broken := Check(p, g.layout); len(broken) == 0 {
		l, o = g.layout, after
	} else {
		o, _ = Check(p, l)
	}
	if now, _ := Check(p, p.Current); now.Compare(o) <= 0 {
		l, o = p.Current, now
	}
	return &Result{Layout: l, Objective: o}
}

// lowerBound is what no layout can be below, goal by goal in their order.
func lowerBound(p *Problem) Objective {
	var o Objective
	demand, capacity, widest := 0.0, 0.0, 0.0
	for _, n := range p.Nodes {
		capacity += n.Capacity
		widest = max(widest, n.Capacity)
	}
	for v := range p.Volumes {
		demand += p.Volumes[v].Rate
	}
	o.Unmet = minUnmetValue(p, demand-capacity)
	carried, moved := 0.0, 0.0 // by all nodes; by those that are left of a lost hall
	for v := range p.Volumes {
		vol := &p.Volumes[v]
		carried += vol.Rate
		if vol.Copies == 2 {
			carried += vol.Rate * vol.WriteFraction
			moved += vol.Rate
		}
	}
	if capacity > 0 && demand <= capacity {
		o.Use = carried / capacity
		o.LossUse = p.lossUtilizationBound(moved, capacity)
		for v := range p.Volumes {
			o.Use = max(o.Use, p.volumeUtilizationBound(v, widest))
		}
	}
	if o.Unmet > 0 || demand > capacity {
		o.Use, o.LossUse = 0, 0 // what is left out may make any node lighter
	}
	return o
}

// lossUtilizationBound is the use of the nodes outside the hall whose loss leaves least, if
// they carry what has copies.
func (p *Problem) lossUtilizationBound(moved, capacity float64) (use float64) {
	_, names := p.indexHalls()
	for _, h := range names {
		left := capacity
		for _, n := range p.Nodes {
			if n.Hall == h {
				left -= n.Capacity
			}
		}
		if p.mustSurvive(h) && left > tolerance {
			use = max(use, moved/left)
		}
	}
	return use
}

// volumeUtilizationBound is the use that v alone puts on some node, were it on the widest.
func (p *Problem) volumeUtilizationBound(v int, widest float64) float64 {
	if p.minParts(v) < p.Parts || widest <= 0 {
		return 0
	}
	nodes := min(p.Volumes[v].MaxNodes, p.Parts, len(p.Nodes))
	parts := math.Ceil(float64(p.Parts) / float64(nodes))
	return p.partRate(v) * parts / widest
}

// minUnmetValue is the worth of that much demand, the least worthy first.
func minUnmetValue(p *Problem, over float64) float64 {
	if over <= 0 {
		return 0
	}
	order := make([]int, len(p.Volumes))
	for i := range order {
		order[i] = i
	}
	worth := func(v int) float64 { return p.Tiers[p.Volumes[v].Tier].Value }
	slices.SortFunc(order, func(a, b int) int { return cmp.Compare(worth(a), worth(b)) })
	total := 0.0
	for _, v := range order {
		x := min(over, p.Volumes[v].Rate)
		total += x * worth(v)
		over -= x
	}
	return total
}

// exactSearch is a depth-first search with bounds, volume by volume.
type exactSearch struct {
	problem       *Problem
	options       Options
	state         *state
	order         []int
	candidates    [][]candidate
	restBounds    []Objective // what the volumes from here on add at the least
	chosen        []int
	unmet         float64
	movedRate     float64
	best          Layout
	bestObjective Objective
	steps         int
	maxSteps      int
	stopped       bool
	acceptAny     bool // the first layout will do
}

// newExactSearch lists the ways of every volume; nil if they are too many to search.
func newExactSearch(p *Problem, opt Options) *exactSearch {
	x := &exactSearch{problem: p, options: opt, state: newState(p), maxSteps: opt.MaxSteps}
	if x.maxSteps == 0 {
		x.maxSteps = defaultMaxSteps
	}
	x.candidates = make([][]candidate, len(p.Volumes))
	total := 0
	for v := range p.Volumes {
		ways, ok := p.candidates(v, x.state.hallOf)
		if total += len(ways); !ok || total > 4*maxCandidates {
			return nil
		}
		x.candidates[v] = ways
		x.order = append(x.order, v)
		slices.SortStableFunc(x.candidates[v], func(a, b candidate) int {
			return cmp.Or(compareFloat(a.unmet, b.unmet), compareFloat(a.movedRate, b.movedRate), len(b.pieces)-len(a.pieces))
		})
	}
	slices.SortStableFunc(x.order, func(a, b int) int {
		return cmp.Or(cmp.Compare(p.Volumes[b].Rate, p.Volumes[a].Rate), len(x.candidates[a])-len(x.candidates[b]))
	})
	x.chosen = make([]int, len(p.Volumes))
	x.computeRestBounds()
	return x
}

// computeRestBounds sums, from the last volume back, the least that each adds.
func (x *exactSearch) computeRestBounds() {
	x.restBounds = make([]Objective, len(x.order)+1)
	for i := len(x.order) - 1; i >= 0; i-- {
		v := x.order[i]
		low := Objective{Unmet: math.Inf(1), Cost: math.Inf(1), Moves: math.Inf(1)}
		for _, w := range x.candidates[v] {
			low.Unmet, low.Moves = min(low.Unmet, w.unmet), min(low.Moves, w.movedRate)
			low.Cost = min(low.Cost, x.costOf(v, w))
		}
		x.restBounds[i] = Objective{Unmet: x.restBounds[i+1].Unmet + low.Unmet, Cost: x.restBounds[i+1].Cost + low.Cost, Moves: x.restBounds[i+1].Moves + low.Moves}
	}
}

func (x *exactSearch) costOf(v int, w candidate) float64 {
	cost := 0.0
	for _, pc := range w.pieces {
		load := x.problem.partRate(v) * float64(pc.Parts)
		cost += load * x.problem.Nodes[pc.Node].Cost
		if pc.Copy >= 0 {
			cost += load * x.problem.Volumes[v].WriteFraction * x.problem.Nodes[pc.Copy].Cost
		}
	}
	return cost
}

// lowerBound is what a completion of the present choice is at the lowerBound.
func (x *exactSearch) lowerBound(i int) Objective {
	now, loss := x.state.maxUtilization()
	r := x.restBounds[i]
	return Objective{Unmet: x.unmet + r.Unmet, Use: now, LossUse: loss, Cost: x.state.cost + r.Cost, Moves: x.movedRate + r.Moves}
}

func (x *exactSearch) search(i int) {
	if x.steps++; x.steps > x.maxSteps || x.steps%1024 == 0 && x.options.Stop != nil && x.options.Stop() {
		x.stopped = true
	}
	if x.stopped || x.acceptAny && x.best != nil {
		return
	}
	low := x.lowerBound(i)
	if x.best != nil && low.Compare(x.bestObjective) >= 0 {
		return
	}
	if i == len(x.order) {
		x.recordBest(low)
		return
	}
	v := x.order[i]
	for k := range x.candidates[v] {
		w := &x.candidates[v][k]
		x.apply(v, w, 1)
		if x.fits(w) {
			x.chosen[v] = k
			x.search(i + 1)
		}
		x.apply(v, w, -1)
	}
}

func (x *exactSearch) apply(v int, w *candidate, sign float64) {
	for _, pc := range w.pieces {
		x.state.addPiece(v, pc, sign)
	}
	x.unmet += sign * w.unmet
	x.movedRate += sign * w.movedRate
}

func (x *exactSearch) fits(w *candidate) bool {
	for _, pc := range w.pieces {
		if !x.state.fits(pc) {
			return false
		}
	}
	return true
}

// recordBest keeps a layout that is better than the best.
func (x *exactSearch) recordBest(o Objective) {
	x.bestObjective = o
	x.best = make(Layout, len(x.problem.Volumes))
	for v, k := range x.chosen {
		x.best[v] = slices.Clone(x.candidates[v][k].pieces)
	}
}

// heuristicLayout returns a layout that keeps everything, nil if the heuristic finds none.
// Where halls have little to spare, minding every hall's loss at each part paints
// the search into a corner; it then fills the nodes first and mends the losses after.
func heuristicLayout(p *Problem, stop func() bool) (Layout, Objective) {
	for _, loose := range [2]bool{false, true} {
		if loose && !p.SurviveHallLoss {
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
	g := &builder{problem: p, state: newState(p), layout: make(Layout, len(p.Volumes))}
	g.state.ignoreHallLoss = loose
	order := make([]int, len(p.Volumes))
	for v := range order {
		order[v] = v
	}
	slices.SortStableFunc(order, func(a, b int) int {
		va, vb := &p.Volumes[a], &p.Volumes[b]
		return cmp.Or(cmp.Compare(p.Tiers[vb.Tier].Value, p.Tiers[va.Tier].Value), cmp.Compare(vb.Rate, va.Rate))
	})
	for _, v := range order {
		if !g.placeVolume(v) {
			return nil, false
		}
	}
	g.improve(stop, g.relieveBusiest)
	g.improve(stop, g.relieveBusiestAfterLoss)
	for _, pieces := range g.layout {
		slices.SortFunc(pieces, func(a, b Piece) int { return a.Node - b.Node })
	}
	return g.layout, true
}

type builder struct {
	problem *Problem
	state   *state
	layout  Layout
}

// placeVolume puts v's parts one by one; false if its reserve has no placeVolume.
func (g *builder) placeVolume(v int) bool {
	vol := &g.problem.Volumes[v]
	pinned := 0
	for done := 0; done < g.problem.Parts; done++ {
		only := -1
		if pinned < len(vol.PinnedNodes) {
			only = vol.PinnedNodes[pinned]
			pinned++
		}
		if !g.placePart(v, only) {
			if done < max(g.problem.minParts(v), len(vol.PinnedNodes)) {
				for i := range g.layout[v] {
					g.state.addPiece(v, g.layout[v][i], -1)
				}
				g.layout[v] = nil
				return g.problem.minParts(v) == 0
			}
			break
		}
	}
	return true
}

// placePart puts one placePart of v where it does least, or on that node alone.
func (g *builder) placePart(v, only int) bool {
	vol := &g.problem.Volumes[v]
	best, bestAt := Piece{-1, -1, 1}, math.Inf(1)
	full := len(g.layout[v]) >= vol.MaxNodes
	apart := g.needsNewHall(v)
	copies := make([]int, g.state.hallCount) // by the hall of the data, looked for once
	for h := range copies {
		copies[h] = notSearched
	}
	for n := range g.problem.Nodes {
		has := g.pieceIndex(v, n)
		if only >= 0 && n != only || full && has < 0 || slices.Contains(vol.ExcludedNodes, n) || !g.mayGrow(v, n, has) || apart && g.hasDataInHall(v, g.state.hallOf[n]) {
			continue
		}
		pc := Piece{n, -1, 1}
		if has >= 0 {
			pc.Copy = g.layout[v][has].Copy
		} else if vol.Copies == 2 {
			h := g.state.hallOf[n]
			if copies[h] == notSearched {
				copies[h] = g.selectCopyNode(v, n)
			}
			if pc.Copy = copies[h]; pc.Copy < 0 {
				continue
			}
		}
		if at, ok := g.tryPiece(v, pc); ok && at < bestAt-tolerance {
			best, bestAt = pc, at
		}
	}
	if best.Node < 0 {
		return false
	}
	g.state.addPiece(v, best, 1)
	if has := g.pieceIndex(v, best.Node); has >= 0 {
		g.layout[v][has].Parts++
	} else {
		g.layout[v] = append(g.layout[v], best)
	}
	return true
}

// needsNewHall tells whether the next part must go to a hall that has none of v.
func (g *builder) needsNewHall(v int) bool {
	vol := &g.problem.Volumes[v]
	left, in := g.problem.Parts, countHalls(g.layout[v], g.state.hallOf)
	for _, pc := range g.layout[v] {
		left -= pc.Parts
	}
	return vol.MinHalls > in && vol.MinHalls-in >= min(left, vol.MaxNodes-len(g.layout[v]))
}

func (g *builder) hasDataInHall(v, hall int) bool {
	return slices.ContainsFunc(g.layout[v], func(pc Piece) bool { return g.state.hallOf[pc.Node] == hall })
}

const notSearched = -2

// pieceIndex is the index of v's piece on n, -1 if there is none.
func (g *builder) pieceIndex(v, n int) int {
	return slices.IndexFunc(g.layout[v], func(pc Piece) bool { return pc.Node == n })
}

// mayGrow holds nodes that drain to what they have.
func (g *builder) mayGrow(v, n, has int) bool {
	if !g.problem.Nodes[n].Draining {
		return true
	}
	data, _ := g.problem.currentParts(v, n)
	return has < 0 && data > 0 || has >= 0 && g.layout[v][has].Parts < data
}

// selectCopyNode is the least used node of another hall; what drains takes no new copy.
func (g *builder) selectCopyNode(v, n int) int {
	best, bestAt := -1, math.Inf(1)
	for c := range g.problem.Nodes {
		if g.state.hallOf[c] == g.state.hallOf[n] || g.problem.Nodes[c].Draining || g.problem.Nodes[c].Capacity <= 0 || slices.Contains(g.problem.Volumes[v].ExcludedNodes, c) {
			continue
		}
		at := g.state.load[c]
		for _, l := range g.state.lossLoads {
			at = max(at, l[c])
		}
		if at /= g.problem.Nodes[c].Capacity; at < bestAt {
			best, bestAt = c, at
		}
	}
	return best
}

// tryPiece is the use to which a piece brings its nodes, and whether it fits.
func (g *builder) tryPiece(v int, pc Piece) (float64, bool) {
	g.state.addPiece(v, pc, 1)
	defer g.state.addPiece(v, pc, -1)
	return g.pieceUtilization(pc), g.state.fits(pc)
}

func (g *builder) pieceUtilization(pc Piece) float64 {
	at := utilization(g.state.load[pc.Node], g.problem.Nodes[pc.Node].Capacity)
	if pc.Copy >= 0 {
		at = max(at, utilization(g.state.load[pc.Copy], g.problem.Nodes[pc.Copy].Capacity))
	}
	return at
}

// improve makes one change after another while one helps.
func (g *builder) improve(stop func() bool, relieve func() bool) {
	for round := 0; round < 50*len(g.problem.Nodes) && (stop == nil || round%16 != 0 || !stop()); round++ {
		if !relieve() {
			return
		}
	}
}

// relieveBusiestAfterLoss takes a copy off the node that would be the fullest after the loss of
// a hall, without making any node fuller than the fullest is now.
func (g *builder) relieveBusiestAfterLoss() bool {
	from, hall, high := -1, -1, 0.0
	top, worst := g.state.maxUtilization()
	if worst > 1 {
		top = 1 // what does not survive yet may cost use
	}
	for i, loss := range g.state.lossLoads {
		for n, x := range loss {
			if u := utilization(x, g.problem.Nodes[n].Capacity); g.state.hallOf[n] != g.state.lostHalls[i] && u > high {
				from, hall, high = n, g.state.lostHalls[i], u
			}
		}
	}
	for v := range g.layout {
		for i, pc := range g.layout[v] {
			if pc.Copy == from && g.state.hallOf[pc.Node] == hall && g.moveCopy(v, i, top, high) {
				return true
			}
		}
	}
	for v := range g.layout {
		for i, pc := range g.layout[v] {
			if pc.Copy == from && g.state.hallOf[pc.Node] == hall && g.swapCopies(v, i, top, high) {
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
	a := g.layout[v][i]
	from, lost := a.Copy, g.state.hallOf[a.Node]
	g.state.addPiece(v, a, -1)
	defer func() { g.state.addPiece(v, g.layout[v][i], 1) }()
	for w := range g.layout {
		if w == v || slices.Contains(g.problem.Volumes[w].ExcludedNodes, from) {
			continue
		}
		for j, b := range g.layout[w] {
			if b.Copy < 0 || b.Copy == from || g.state.hallOf[b.Node] == lost || g.state.hallOf[b.Node] == g.state.hallOf[from] || g.state.hallOf[b.Copy] == lost ||
				g.problem.Nodes[b.Copy].Draining || g.problem.Nodes[from].Draining || slices.Contains(g.problem.Volumes[v].ExcludedNodes, b.Copy) {
				continue
			}
			x, y := Piece{a.Node, b.Copy, a.Parts}, Piece{b.Node, from, b.Parts}
			g.state.addPiece(w, b, -1)
			g.state.addPiece(v, x, 1)
			g.state.addPiece(w, y, 1)
			good := g.pieceUtilization(x) <= top+tolerance && g.pieceUtilization(y) <= top+tolerance && g.state.fits(x) && g.state.fits(y) &&
				max(g.state.utilizationAfterLoss(from), g.state.utilizationAfterLoss(b.Copy)) < high-tolerance
			g.state.addPiece(v, x, -1)
			if good {
				g.layout[v][i], g.layout[w][j] = x, y
				return true
			}
			g.state.addPiece(w, y, -1)
			g.state.addPiece(w, b, 1)
		}
	}
	return false
}

// moveCopy gives a piece's copy another node: the one that the loss of a hall would
// fill least, if that stays below high. False if there is none.
func (g *builder) moveCopy(v, i int, top, high float64) bool {
	pc := g.layout[v][i]
	old, best, bestAt := pc.Copy, -1, high-tolerance
	g.state.addPiece(v, pc, -1)
	for c := range g.problem.Nodes {
		if c == old || g.state.hallOf[c] == g.state.hallOf[pc.Node] || g.problem.Nodes[c].Draining || g.problem.Nodes[c].Capacity <= 0 || slices.Contains(g.problem.Volumes[v].ExcludedNodes, c) {
			continue
		}
		pc.Copy = c
		g.state.addPiece(v, pc, 1)
		if at := g.state.utilizationAfterLoss(c); at < bestAt && g.pieceUtilization(pc) <= top+tolerance && g.state.fits(pc) {
			best, bestAt = c, at
		}
		g.state.addPiece(v, pc, -1)
	}
	if pc.Copy = best; best < 0 {
		pc.Copy = old
	}
	g.state.addPiece(v, pc, 1)
	g.layout[v][i] = pc
	return best >= 0
}

// relieveBusiest moves one part from the fullest node to where it does least; false if
// none helps.
func (g *builder) relieveBusiest() bool {
	from, high := -1, 0.0
	for n := range g.state.load {
		if u := utilization(g.state.load[n], g.problem.Nodes[n].Capacity); u > high {
			from, high = n, u
		}
	}
	if from < 0 {
		return false
	}
	// A part at a time first: it does the least to the nodes that take it. Then whole
	// pieces, which may change their copy too.
	for v := range g.layout {
		i := g.pieceIndex(v, from)
		if i < 0 || g.layout[v][i].Parts == 1 && g.isPinned(v, from) {
			continue
		}
		if g.moveParts(v, i, 1, high) {
			return true
		}
	}
	for v := range g.layout {
		for i, pc := range g.layout[v] {
			if (pc.Node == from || pc.Copy == from) && !g.isPinned(v, pc.Node) && g.moveParts(v, i, pc.Parts, high) {
				return true
			}
		}
	}
	return false
}

func (g *builder) isPinned(v, n int) bool {
	return slices.Contains(g.problem.Volumes[v].PinnedNodes, n)
}

// moveParts moves k parts of v's piece i elsewhere if all that they touch then stays
// below the use they leave behind.
func (g *builder) moveParts(v, i, k int, high float64) bool {
	old := slices.Clone(g.layout[v])
	pc := old[i]
	g.state.addPiece(v, Piece{pc.Node, pc.Copy, k}, -1)
	if g.layout[v][i].Parts -= k; g.layout[v][i].Parts == 0 {
		g.layout[v] = slices.Delete(g.layout[v], i, i+1)
	}
	ok := true
	for range k {
		ok = ok && g.placePart(v, -1)
	}
	if ok && g.keepsMinHalls(v, old) && g.relieved(old, g.layout[v], high) {
		return true
	}
	for _, x := range g.layout[v] {
		g.state.addPiece(v, x, -1)
	}
	g.layout[v] = old
	for _, x := range old {
		g.state.addPiece(v, x, 1)
	}
	return false
}

// relieved tells whether something has moved, and all that took it is below that use.
func (g *builder) relieved(before, now []Piece, high float64) bool {
	moved := false
	for _, pc := range now {
		if slices.ContainsFunc(before, func(o Piece) bool { return o.Node == pc.Node && o.Copy == pc.Copy && o.Parts >= pc.Parts }) {
			continue
		}
		if moved = true; g.pieceUtilization(pc) >= high-tolerance {
			return false
		}
	}
	return moved
}

func (g *builder) keepsMinHalls(v int, old []Piece) bool {
	return countHalls(g.layout[v], g.state.hallOf) >= min(countHalls(old, g.state.hallOf), g.problem.Volumes[v].MinHalls)
}
