package placement

import (
	"cmp"
	"errors"
	"math"
	"slices"
)

// ErrNoLayout reports that the problem is proved infeasible; see FindConflict for the reason.
var ErrNoLayout = errors.New("placement: no layout satisfies all constraints")

// ErrStopped reports that the search ended before it found a layout or proved that there is none.
var ErrStopped = errors.New("placement: search ended before a layout was found")

// Options are the options of a search.
type Options struct {
	// Stop, if not nil, is polled; once it returns true, the search ends with the best layout so far.
	Stop func() bool
	// MaxSteps bounds the nodes of the exact search tree; 0 means defaultMaxSteps.
	MaxSteps int
	// MaxRegression is the fraction by which the goals before Objective.Moves may be worse than the
	// best found, to prefer a layout derived from the one in force that moves less. 0 keeps the
	// strict order of the goals.
	MaxRegression float64
}

// defaultMaxSteps limits the exact search to some seconds.
const defaultMaxSteps = 20_000_000

// Result is a layout with a bound on the best possible one.
type Result struct {
	Layout    Layout
	Objective Objective
	// Bound is a lower bound of the best objective. Its Use and LossUse hold for layouts that place
	// all demand, and are 0 if demand exceeds capacity.
	Bound   Objective
	Optimal bool // proved that no layout is better
	Steps   int  // of the exact search
}

// Gap returns by which fraction the highest utilization is above its lower bound; 0 if the layout is
// proved optimal or there is no bound.
func (r *Result) Gap() float64 {
	if r.Optimal || r.Bound.Use <= 0 {
		return 0
	}
	return max(r.Objective.Use/r.Bound.Use-1, 0)
}

// LossGap is like Gap, for the highest utilization after the worst loss of a hall.
func (r *Result) LossGap() float64 {
	if r.Optimal || r.Bound.LossUse <= 0 {
		return 0
	}
	return max(r.Objective.LossUse/r.Bound.LossUse-1, 0)
}

// Solve returns the best layout that it finds. The result is optimal if the exact search was
// complete. If no layout was found, the error is ErrNoLayout if there is none, else ErrStopped.
func Solve(problem *Problem, options Options) (*Result, error) {
	if err := problem.Validate(); err != nil {
		return nil, err
	}
	result := &Result{Bound: lowerBound(problem)}
	result.Layout, result.Objective = heuristicLayout(problem, options.Stop)
	improved := improveCurrent(problem, options.Stop)
	if improved != nil && (result.Layout == nil || improved.Objective.Compare(result.Objective) <= 0) {
		result.Layout, result.Objective = improved.Layout, improved.Objective
	}
	search := newExactSearch(problem, options)
	if search != nil {
		search.best, search.bestObjective = result.Layout, result.Objective
		search.search(0)
		result.Layout, result.Objective, result.Steps = search.best, search.bestObjective, search.steps
		result.Optimal = !search.stopped
		if result.Optimal && search.best == nil {
			return nil, ErrNoLayout
		}
	}
	if result.Layout == nil {
		return nil, ErrStopped
	}
	if improved != nil && improved.Objective.Moves < result.Objective.Moves && improved.Objective.isWithin(result.Objective, options.MaxRegression) {
		result.Layout, result.Objective, result.Optimal = improved.Layout, improved.Objective, false
	}
	return result, nil
}

// isWithin reports whether o is worse than other by at most fraction in each goal before Moves. It
// is false if fraction is 0.
func (o Objective) isWithin(other Objective, fraction float64) bool {
	within := func(a, b float64) bool { return a <= b*(1+fraction)+tolerance }
	return fraction > 0 && within(o.Unmet, other.Unmet) && within(o.Use, other.Use) && within(o.LossUse, other.LossUse) && within(o.Cost, other.Cost)
}

// improveCurrent improves the layout in force by local search. It returns nil if there is none or if
// it violates a constraint.
func improveCurrent(problem *Problem, stop func() bool) *Result {
	if problem.Current == nil {
		return nil
	}
	if _, violations := Check(problem, problem.Current); len(violations) > 0 {
		return nil
	}
	b := &builder{problem: problem, state: newState(problem), layout: make(Layout, len(problem.Volumes))}
	for v, pieces := range problem.Current {
		b.layout[v] = slices.Clone(pieces)
		for _, piece := range pieces {
			b.state.addPiece(v, piece, 1)
		}
	}
	b.improve(stop, b.relieveBusiest)
	b.improve(stop, b.relieveBusiestAfterLoss)
	layout, objective := problem.Current, Objective{}
	if improved, violations := Check(problem, b.layout); len(violations) == 0 {
		layout, objective = b.layout, improved
	} else {
		objective, _ = Check(problem, layout)
	}
	if current, _ := Check(problem, problem.Current); current.Compare(objective) <= 0 {
		layout, objective = problem.Current, current
	}
	return &Result{Layout: layout, Objective: objective}
}

// lowerBound returns a lower bound of the objective from relaxations; see Result.Bound.
func lowerBound(problem *Problem) Objective {
	var objective Objective
	demand, capacity, maxCapacity := 0.0, 0.0, 0.0
	for _, n := range problem.Nodes {
		capacity += n.Capacity
		maxCapacity = max(maxCapacity, n.Capacity)
	}
	for v := range problem.Volumes {
		demand += problem.Volumes[v].Rate
	}
	objective.Unmet = minUnmetValue(problem, demand-capacity)
	carried, redirected := 0.0, 0.0 // load of all nodes; rate of the volumes with copies, which is redirected after a loss
	for v := range problem.Volumes {
		volume := &problem.Volumes[v]
		carried += volume.Rate
		if volume.Copies == 2 {
			carried += volume.Rate * volume.WriteFraction
			redirected += volume.Rate
		}
	}
	if capacity > 0 && demand <= capacity {
		objective.Use = carried / capacity
		objective.LossUse = problem.lossUtilizationBound(redirected, capacity)
		for v := range problem.Volumes {
			objective.Use = max(objective.Use, problem.volumeUtilizationBound(v, maxCapacity))
		}
	}
	if objective.Unmet > 0 || demand > capacity {
		objective.Use, objective.LossUse = 0, 0 // unplaced demand may reduce the load of any node
	}
	return objective
}

// lossUtilizationBound returns the mean utilization of the remaining nodes after the worst loss of a
// hall, if they carry only the volumes with copies.
func (p *Problem) lossUtilizationBound(redirected, capacity float64) (bound float64) {
	_, hallNames := p.indexHalls()
	for _, hall := range hallNames {
		remaining := capacity
		for _, n := range p.Nodes {
			if n.Hall == hall {
				remaining -= n.Capacity
			}
		}
		if p.mustSurvive(hall) && remaining > tolerance {
			bound = max(bound, redirected/remaining)
		}
	}
	return bound
}

// volumeUtilizationBound returns the utilization of a node of maxCapacity by the largest piece of v, if
// v is divided evenly. It is 0 if v need not be placed whole.
func (p *Problem) volumeUtilizationBound(v int, maxCapacity float64) float64 {
	if p.minParts(v) < p.Parts || maxCapacity <= 0 {
		return 0
	}
	maxNodes := min(p.Volumes[v].MaxNodes, p.Parts, len(p.Nodes))
	minLargestPiece := math.Ceil(float64(p.Parts) / float64(maxNodes))
	return p.partRate(v) * minLargestPiece / maxCapacity
}

// minUnmetValue returns the value of excess units/s of demand, taken from the lowest tiers first.
func minUnmetValue(problem *Problem, excess float64) float64 {
	if excess <= 0 {
		return 0
	}
	order := make([]int, len(problem.Volumes))
	for i := range order {
		order[i] = i
	}
	value := func(v int) float64 { return problem.Tiers[problem.Volumes[v].Tier].Value }
	slices.SortFunc(order, func(a, b int) int { return cmp.Compare(value(a), value(b)) })
	total := 0.0
	for _, v := range order {
		unmet := min(excess, problem.Volumes[v].Rate)
		total += unmet * value(v)
		excess -= unmet
	}
	return total
}

// exactSearch is a depth-first branch-and-bound search that places one volume per level.
type exactSearch struct {
	problem       *Problem
	options       Options
	state         *state
	order         []int // volumes by level
	candidates    [][]candidate
	restBounds    []Objective // by level: lower bound of what the remaining volumes add
	chosen        []int       // index of the candidate of each volume
	unmet         float64
	movedRate     float64
	best          Layout
	bestObjective Objective
	steps         int
	maxSteps      int
	stopped       bool
	acceptAny     bool // stop at the first layout
}

// newExactSearch lists the candidates of every volume. It returns nil if there are too many.
func newExactSearch(problem *Problem, options Options) *exactSearch {
	search := &exactSearch{problem: problem, options: options, state: newState(problem), maxSteps: options.MaxSteps}
	if search.maxSteps == 0 {
		search.maxSteps = defaultMaxSteps
	}
	search.candidates = make([][]candidate, len(problem.Volumes))
	total := 0
	for v := range problem.Volumes {
		candidates, ok := problem.candidates(v, search.state.hallOf)
		if total += len(candidates); !ok || total > 4*maxCandidates {
			return nil
		}
		search.candidates[v] = candidates
		search.order = append(search.order, v)
		slices.SortStableFunc(search.candidates[v], func(a, b candidate) int {
			return cmp.Or(compareFloat(a.unmet, b.unmet), compareFloat(a.movedRate, b.movedRate), len(b.pieces)-len(a.pieces))
		})
	}
	slices.SortStableFunc(search.order, func(a, b int) int {
		return cmp.Or(cmp.Compare(problem.Volumes[b].Rate, problem.Volumes[a].Rate), len(search.candidates[a])-len(search.candidates[b]))
	})
	search.chosen = make([]int, len(problem.Volumes))
	search.computeRestBounds()
	return search
}

// computeRestBounds sums the least that each volume adds, from the last level up.
func (x *exactSearch) computeRestBounds() {
	x.restBounds = make([]Objective, len(x.order)+1)
	for i := len(x.order) - 1; i >= 0; i-- {
		v := x.order[i]
		minimum := Objective{Unmet: math.Inf(1), Cost: math.Inf(1), Moves: math.Inf(1)}
		for _, choice := range x.candidates[v] {
			minimum.Unmet, minimum.Moves = min(minimum.Unmet, choice.unmet), min(minimum.Moves, choice.movedRate)
			minimum.Cost = min(minimum.Cost, x.costOf(v, choice))
		}
		x.restBounds[i] = Objective{Unmet: x.restBounds[i+1].Unmet + minimum.Unmet, Cost: x.restBounds[i+1].Cost + minimum.Cost, Moves: x.restBounds[i+1].Moves + minimum.Moves}
	}
}

func (x *exactSearch) costOf(v int, choice candidate) float64 {
	cost := 0.0
	for _, piece := range choice.pieces {
		load := x.problem.partRate(v) * float64(piece.Parts)
		cost += load * x.problem.Nodes[piece.Node].Cost
		if piece.Copy >= 0 {
			cost += load * x.problem.Volumes[v].WriteFraction * x.problem.Nodes[piece.Copy].Cost
		}
	}
	return cost
}

// lowerBound returns a lower bound of all completions of the partial layout at level i.
func (x *exactSearch) lowerBound(i int) Objective {
	use, lossUse := x.state.maxUtilization()
	rest := x.restBounds[i]
	return Objective{Unmet: x.unmet + rest.Unmet, Use: use, LossUse: lossUse, Cost: x.state.cost + rest.Cost, Moves: x.movedRate + rest.Moves}
}

// search extends the partial layout from level i on.
func (x *exactSearch) search(i int) {
	if x.steps++; x.steps > x.maxSteps || x.steps%1024 == 0 && x.options.Stop != nil && x.options.Stop() {
		x.stopped = true
	}
	if x.stopped || x.acceptAny && x.best != nil {
		return
	}
	bound := x.lowerBound(i)
	if x.best != nil && bound.Compare(x.bestObjective) >= 0 {
		return
	}
	if i == len(x.order) {
		x.recordBest(bound)
		return
	}
	v := x.order[i]
	for k := range x.candidates[v] {
		choice := &x.candidates[v][k]
		x.apply(v, choice, 1)
		if x.fits(choice) {
			x.chosen[v] = k
			x.search(i + 1)
		}
		x.apply(v, choice, -1)
	}
}

func (x *exactSearch) apply(v int, choice *candidate, sign float64) {
	for _, piece := range choice.pieces {
		x.state.addPiece(v, piece, sign)
	}
	x.unmet += sign * choice.unmet
	x.movedRate += sign * choice.movedRate
}

func (x *exactSearch) fits(choice *candidate) bool {
	for _, piece := range choice.pieces {
		if !x.state.fits(piece) {
			return false
		}
	}
	return true
}

// recordBest stores the present layout as the best one.
func (x *exactSearch) recordBest(objective Objective) {
	x.bestObjective = objective
	x.best = make(Layout, len(x.problem.Volumes))
	for v, k := range x.chosen {
		x.best[v] = slices.Clone(x.candidates[v][k].pieces)
	}
}

// heuristicLayout returns a layout that satisfies all constraints, or nil if the heuristic finds
// none. If halls have little spare capacity, a greedy search that observes the loss of halls at each
// part may reach a dead end. A second search ignores it and repairs the layout afterwards.
func heuristicLayout(problem *Problem, stop func() bool) (Layout, Objective) {
	for _, ignoreHallLoss := range [2]bool{false, true} {
		if ignoreHallLoss && !problem.SurviveHallLoss {
			break
		}
		if layout, ok := greedy(problem, ignoreHallLoss, stop); ok {
			if objective, violations := Check(problem, layout); len(violations) == 0 {
				return layout, objective
			}
		}
	}
	return nil, Objective{}
}

// greedy places volumes by descending tier value and rate, each part on the node where the resulting
// utilization is lowest. It then improves the layout by local search.
func greedy(problem *Problem, ignoreHallLoss bool, stop func() bool) (Layout, bool) {
	b := &builder{problem: problem, state: newState(problem), layout: make(Layout, len(problem.Volumes))}
	b.state.ignoreHallLoss = ignoreHallLoss
	order := make([]int, len(problem.Volumes))
	for v := range order {
		order[v] = v
	}
	slices.SortStableFunc(order, func(a, b int) int {
		volumeA, volumeB := &problem.Volumes[a], &problem.Volumes[b]
		return cmp.Or(cmp.Compare(problem.Tiers[volumeB.Tier].Value, problem.Tiers[volumeA.Tier].Value), cmp.Compare(volumeB.Rate, volumeA.Rate))
	})
	for _, v := range order {
		if !b.placeVolume(v) {
			return nil, false
		}
	}
	b.improve(stop, b.relieveBusiest)
	b.improve(stop, b.relieveBusiestAfterLoss)
	for _, pieces := range b.layout {
		slices.SortFunc(pieces, func(a, b Piece) int { return a.Node - b.Node })
	}
	return b.layout, true
}

// builder is a layout under construction by the heuristic.
type builder struct {
	problem *Problem
	state   *state
	layout  Layout
}

// placeVolume places v part by part, those on pinned nodes first. If the reserve or the pinned nodes do
// not fit, it removes v and reports whether v may be left out.
func (g *builder) placeVolume(v int) bool {
	volume := &g.problem.Volumes[v]
	pinned := 0
	for placed := 0; placed < g.problem.Parts; placed++ {
		requiredNode := -1
		if pinned < len(volume.PinnedNodes) {
			requiredNode = volume.PinnedNodes[pinned]
			pinned++
		}
		if !g.placePart(v, requiredNode) {
			if placed < max(g.problem.minParts(v), len(volume.PinnedNodes)) {
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

// placePart places one part of v where the resulting utilization is lowest, or on requiredNode if that
// is not negative.
func (g *builder) placePart(v, requiredNode int) bool {
	volume := &g.problem.Volumes[v]
	bestPiece, bestUtilization := Piece{-1, -1, 1}, math.Inf(1)
	atMaxNodes := len(g.layout[v]) >= volume.MaxNodes
	newHallOnly := g.needsNewHall(v)
	copyNodeByHall := make([]int, g.state.hallCount) // cached by the hall of the data
	for h := range copyNodeByHall {
		copyNodeByHall[h] = notSearched
	}
	for n := range g.problem.Nodes {
		index := g.pieceIndex(v, n)
		if requiredNode >= 0 && n != requiredNode || atMaxNodes && index < 0 || slices.Contains(volume.ExcludedNodes, n) || !g.mayGrow(v, n, index) || newHallOnly && g.hasDataInHall(v, g.state.hallOf[n]) {
			continue
		}
		piece := Piece{n, -1, 1}
		if index >= 0 {
			piece.Copy = g.layout[v][index].Copy
		} else if volume.Copies == 2 {
			h := g.state.hallOf[n]
			if copyNodeByHall[h] == notSearched {
				copyNodeByHall[h] = g.selectCopyNode(v, n)
			}
			if piece.Copy = copyNodeByHall[h]; piece.Copy < 0 {
				continue
			}
		}
		if use, ok := g.tryPiece(v, piece); ok && use < bestUtilization-tolerance {
			bestPiece, bestUtilization = piece, use
		}
	}
	if bestPiece.Node < 0 {
		return false
	}
	g.state.addPiece(v, bestPiece, 1)
	if index := g.pieceIndex(v, bestPiece.Node); index >= 0 {
		g.layout[v][index].Parts++
	} else {
		g.layout[v] = append(g.layout[v], bestPiece)
	}
	return true
}

// needsNewHall reports whether the next part must go to a hall without data of v, to reach MinHalls.
func (g *builder) needsNewHall(v int) bool {
	volume := &g.problem.Volumes[v]
	unplaced, usedHalls := g.problem.Parts, countHalls(g.layout[v], g.state.hallOf)
	for _, piece := range g.layout[v] {
		unplaced -= piece.Parts
	}
	return volume.MinHalls > usedHalls && volume.MinHalls-usedHalls >= min(unplaced, volume.MaxNodes-len(g.layout[v]))
}

func (g *builder) hasDataInHall(v, hall int) bool {
	return slices.ContainsFunc(g.layout[v], func(piece Piece) bool { return g.state.hallOf[piece.Node] == hall })
}

// notSearched marks a hall whose copy node is not yet known; -1 means that there is none.
const notSearched = -2

// pieceIndex returns the index of v's piece on n, or -1.
func (g *builder) pieceIndex(v, n int) int {
	return slices.IndexFunc(g.layout[v], func(piece Piece) bool { return piece.Node == n })
}

// mayGrow reports whether n may hold another part of v: a draining node may not exceed the layout in
// force.
func (g *builder) mayGrow(v, n, index int) bool {
	if !g.problem.Nodes[n].Draining {
		return true
	}
	data, _ := g.problem.currentParts(v, n)
	return index < 0 && data > 0 || index >= 0 && g.layout[v][index].Parts < data
}

// selectCopyNode returns the node of another hall with the lowest utilization, counting the worst loss,
// or -1. Draining nodes get no new copies.
func (g *builder) selectCopyNode(v, n int) int {
	bestNode, lowest := -1, math.Inf(1)
	for c := range g.problem.Nodes {
		if g.state.hallOf[c] == g.state.hallOf[n] || g.problem.Nodes[c].Draining || g.problem.Nodes[c].Capacity <= 0 || slices.Contains(g.problem.Volumes[v].ExcludedNodes, c) {
			continue
		}
		highest := g.state.load[c]
		for _, loads := range g.state.lossLoads {
			highest = max(highest, loads[c])
		}
		if highest /= g.problem.Nodes[c].Capacity; highest < lowest {
			bestNode, lowest = c, highest
		}
	}
	return bestNode
}

// tryPiece returns the utilization of a piece's nodes if the piece is added, and whether it fits.
func (g *builder) tryPiece(v int, piece Piece) (float64, bool) {
	g.state.addPiece(v, piece, 1)
	defer g.state.addPiece(v, piece, -1)
	return g.pieceUtilization(piece), g.state.fits(piece)
}

// pieceUtilization returns the higher utilization of the two nodes of a piece.
func (g *builder) pieceUtilization(piece Piece) float64 {
	highest := utilization(g.state.load[piece.Node], g.problem.Nodes[piece.Node].Capacity)
	if piece.Copy >= 0 {
		highest = max(highest, utilization(g.state.load[piece.Copy], g.problem.Nodes[piece.Copy].Capacity))
	}
	return highest
}

// improve calls relieve until it finds no improvement, the rounds are used up or stop returns true.
func (g *builder) improve(stop func() bool, relieve func() bool) {
	for round := 0; round < 50*len(g.problem.Nodes) && (stop == nil || round%16 != 0 || !stop()); round++ {
		if !relieve() {
			return
		}
	}
}

// relieveBusiestAfterLoss moves or swaps a copy of the node with the highest utilization after the
// loss of a hall. The nodes that gain load without a loss stay within the present maximum, or within
// their capacity if the loss is not yet survived.
func (g *builder) relieveBusiestAfterLoss() bool {
	busiest, hall, highest := -1, -1, 0.0
	maxUse, maxLossUse := g.state.maxUtilization()
	if maxLossUse > 1 {
		maxUse = 1 // surviving a loss has priority over a low utilization
	}
	for i, loads := range g.state.lossLoads {
		for n, load := range loads {
			if use := utilization(load, g.problem.Nodes[n].Capacity); g.state.hallOf[n] != g.state.lostHalls[i] && use > highest {
				busiest, hall, highest = n, g.state.lostHalls[i], use
			}
		}
	}
	for v := range g.layout {
		for i, piece := range g.layout[v] {
			if piece.Copy == busiest && g.state.hallOf[piece.Node] == hall && g.moveCopy(v, i, maxUse, highest) {
				return true
			}
		}
	}
	for v := range g.layout {
		for i, piece := range g.layout[v] {
			if piece.Copy == busiest && g.state.hallOf[piece.Node] == hall && g.swapCopies(v, i, maxUse, highest) {
				return true
			}
		}
	}
	return false
}

// swapCopies exchanges the copy nodes of a piece and one whose data is in a third hall. This changes
// the load after a loss, but hardly the load without one. It returns false if no swap leaves both
// copy nodes below lossLimit after their worst loss.
func (g *builder) swapCopies(v, i int, maxUse, lossLimit float64) bool {
	piece := g.layout[v][i]
	oldCopy, lostHall := piece.Copy, g.state.hallOf[piece.Node]
	g.state.addPiece(v, piece, -1)
	defer func() { g.state.addPiece(v, g.layout[v][i], 1) }()
	for otherVolume := range g.layout {
		if otherVolume == v || slices.Contains(g.problem.Volumes[otherVolume].ExcludedNodes, oldCopy) {
			continue
		}
		for j, otherPiece := range g.layout[otherVolume] {
			if otherPiece.Copy < 0 || otherPiece.Copy == oldCopy || g.state.hallOf[otherPiece.Node] == lostHall || g.state.hallOf[otherPiece.Node] == g.state.hallOf[oldCopy] || g.state.hallOf[otherPiece.Copy] == lostHall ||
				g.problem.Nodes[otherPiece.Copy].Draining || g.problem.Nodes[oldCopy].Draining || slices.Contains(g.problem.Volumes[v].ExcludedNodes, otherPiece.Copy) {
				continue
			}
			swapped, otherSwapped := Piece{piece.Node, otherPiece.Copy, piece.Parts}, Piece{otherPiece.Node, oldCopy, otherPiece.Parts}
			g.state.addPiece(otherVolume, otherPiece, -1)
			g.state.addPiece(v, swapped, 1)
			g.state.addPiece(otherVolume, otherSwapped, 1)
			improves := g.pieceUtilization(swapped) <= maxUse+tolerance && g.pieceUtilization(otherSwapped) <= maxUse+tolerance && g.state.fits(swapped) && g.state.fits(otherSwapped) &&
				max(g.state.utilizationAfterLoss(oldCopy), g.state.utilizationAfterLoss(otherPiece.Copy)) < lossLimit-tolerance
			g.state.addPiece(v, swapped, -1)
			if improves {
				g.layout[v][i], g.layout[otherVolume][j] = swapped, otherSwapped
				return true
			}
			g.state.addPiece(otherVolume, otherSwapped, -1)
			g.state.addPiece(otherVolume, otherPiece, 1)
		}
	}
	return false
}

// moveCopy moves the copy of a piece to the node with the lowest utilization after a loss. It returns
// false if none stays below lossLimit.
func (g *builder) moveCopy(v, i int, maxUse, lossLimit float64) bool {
	piece := g.layout[v][i]
	oldCopy, bestNode, lowest := piece.Copy, -1, lossLimit-tolerance
	g.state.addPiece(v, piece, -1)
	for c := range g.problem.Nodes {
		if c == oldCopy || g.state.hallOf[c] == g.state.hallOf[piece.Node] || g.problem.Nodes[c].Draining || g.problem.Nodes[c].Capacity <= 0 || slices.Contains(g.problem.Volumes[v].ExcludedNodes, c) {
			continue
		}
		piece.Copy = c
		g.state.addPiece(v, piece, 1)
		if lossUse := g.state.utilizationAfterLoss(c); lossUse < lowest && g.pieceUtilization(piece) <= maxUse+tolerance && g.state.fits(piece) {
			bestNode, lowest = c, lossUse
		}
		g.state.addPiece(v, piece, -1)
	}
	if piece.Copy = bestNode; bestNode < 0 {
		piece.Copy = oldCopy
	}
	g.state.addPiece(v, piece, 1)
	g.layout[v][i] = piece
	return bestNode >= 0
}

// relieveBusiest moves a part or a piece away from the node with the highest utilization. It returns
// false if no move lowers the load.
func (g *builder) relieveBusiest() bool {
	busiest, highest := -1, 0.0
	for n := range g.state.load {
		if use := utilization(g.state.load[n], g.problem.Nodes[n].Capacity); use > highest {
			busiest, highest = n, use
		}
	}
	if busiest < 0 {
		return false
	}
	// Single parts first, since they add the least load elsewhere. Then whole pieces, whose copies
	// may move too.
	for v := range g.layout {
		i := g.pieceIndex(v, busiest)
		if i < 0 || g.layout[v][i].Parts == 1 && g.isPinned(v, busiest) {
			continue
		}
		if g.moveParts(v, i, 1, highest) {
			return true
		}
	}
	for v := range g.layout {
		for i, piece := range g.layout[v] {
			if (piece.Node == busiest || piece.Copy == busiest) && !g.isPinned(v, piece.Node) && g.moveParts(v, i, piece.Parts, highest) {
				return true
			}
		}
	}
	return false
}

func (g *builder) isPinned(v, n int) bool {
	return slices.Contains(g.problem.Volumes[v].PinnedNodes, n)
}

// moveParts moves count parts of v's piece i to other pieces if their nodes stay below limit.
// Otherwise it restores the layout and returns false.
func (g *builder) moveParts(v, i, count int, limit float64) bool {
	oldPieces := slices.Clone(g.layout[v])
	piece := oldPieces[i]
	g.state.addPiece(v, Piece{piece.Node, piece.Copy, count}, -1)
	if g.layout[v][i].Parts -= count; g.layout[v][i].Parts == 0 {
		g.layout[v] = slices.Delete(g.layout[v], i, i+1)
	}
	allPlaced := true
	for range count {
		allPlaced = allPlaced && g.placePart(v, -1)
	}
	if allPlaced && g.keepsMinHalls(v, oldPieces) && g.relieved(oldPieces, g.layout[v], limit) {
		return true
	}
	for _, piece := range g.layout[v] {
		g.state.addPiece(v, piece, -1)
	}
	g.layout[v] = oldPieces
	for _, piece := range oldPieces {
		g.state.addPiece(v, piece, 1)
	}
	return false
}

// relieved reports whether parts have moved and the nodes of all pieces that grew are below limit.
func (g *builder) relieved(before, after []Piece, limit float64) bool {
	moved := false
	for _, piece := range after {
		if slices.ContainsFunc(before, func(old Piece) bool {
			return old.Node == piece.Node && old.Copy == piece.Copy && old.Parts >= piece.Parts
		}) {
			continue
		}
		if moved = true; g.pieceUtilization(piece) >= limit-tolerance {
			return false
		}
	}
	return moved
}

// keepsMinHalls reports whether v is in at least MinHalls halls, or in no fewer than before.
func (g *builder) keepsMinHalls(v int, oldPieces []Piece) bool {
	return countHalls(g.layout[v], g.state.hallOf) >= min(countHalls(oldPieces, g.state.hallOf), g.problem.Volumes[v].MinHalls)
}
