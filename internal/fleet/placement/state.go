package placement

import "slices"

// state holds the loads of a partial layout. It is updated piece by piece.
type state struct {
	problem   *Problem
	hallOf    []int
	hallCount int
	load      []float64   // load of each node, units/s
	lossLoads [][]float64 // load of each node after the loss of each of lostHalls
	lostHalls []int       // indices of the halls whose loss must be survived
	cost      float64
	// ignoreHallLoss makes fits check only the loads without a loss.
	ignoreHallLoss bool
}

func newState(problem *Problem) *state {
	loads := &state{problem: problem, load: make([]float64, len(problem.Nodes))}
	var hallNames []string
	loads.hallOf, hallNames = problem.indexHalls()
	loads.hallCount = len(hallNames)
	for h, name := range hallNames {
		if problem.mustSurvive(name) {
			loads.lossLoads, loads.lostHalls = append(loads.lossLoads, make([]float64, len(problem.Nodes))), append(loads.lostHalls, h)
		}
	}
	return loads
}

// addPiece adds a piece of v if sign is 1, and removes it if sign is -1. After the loss of the
// data's hall, the copy carries the whole rate.
func (s *state) addPiece(v int, piece Piece, sign float64) {
	volume := &s.problem.Volumes[v]
	rate := sign * s.problem.partRate(v) * float64(piece.Parts)
	s.addLoad(piece.Node, rate)
	if piece.Copy >= 0 {
		s.addLoad(piece.Copy, rate*volume.WriteFraction)
	}
	for i, loads := range s.lossLoads {
		lostHall := s.lostHalls[i]
		dataLost := s.hallOf[piece.Node] == lostHall
		if !dataLost {
			loads[piece.Node] += rate
		}
		switch {
		case piece.Copy < 0 || s.hallOf[piece.Copy] == lostHall:
		case dataLost:
			loads[piece.Copy] += rate
		default:
			loads[piece.Copy] += rate * volume.WriteFraction
		}
	}
}

func (s *state) addLoad(n int, rate float64) {
	s.load[n] += rate
	s.cost += rate * s.problem.Nodes[n].Cost
}

// fits reports whether the nodes of a piece are within capacity, also after the loss of each hall.
func (s *state) fits(piece Piece) bool {
	for _, n := range [2]int{piece.Node, piece.Copy} {
		if n < 0 {
			continue
		}
		limit := s.problem.Nodes[n].Capacity*(1+tolerance) + tolerance
		if s.load[n] > limit {
			return false
		}
		for _, loads := range s.lossLoads {
			if loads[n] > limit && !s.ignoreHallLoss {
				return false
			}
		}
	}
	return true
}

func utilization(load, capacity float64) float64 {
	if load <= tolerance || capacity <= 0 {
		return 0
	}
	return load / capacity
}

// utilizationAfterLoss returns the highest utilization of n after the loss of another hall.
func (s *state) utilizationAfterLoss(n int) (worst float64) {
	for i, loads := range s.lossLoads {
		if s.hallOf[n] != s.lostHalls[i] {
			worst = max(worst, utilization(loads[n], s.problem.Nodes[n].Capacity))
		}
	}
	return worst
}

// maxUtilization returns the highest utilization of any node, without a loss and after the worst one.
func (s *state) maxUtilization() (use, lossUse float64) {
	for n := range s.load {
		capacity := s.problem.Nodes[n].Capacity
		use = max(use, utilization(s.load[n], capacity))
		for _, loads := range s.lossLoads {
			lossUse = max(lossUse, utilization(loads[n], capacity))
		}
	}
	return use, lossUse
}

// candidate is one possible placement of a volume.
type candidate struct {
	pieces    []Piece
	unmet     float64 // value of the parts that are not placed
	movedRate float64 // see Problem.movedRate
}

// maxCandidates bounds the placements that are listed for one volume.
const maxCandidates = 200000

// candidates lists all placements of v that its own constraints allow, including none at all if
// the reserve permits. ok is false if there are more than maxCandidates.
func (p *Problem) candidates(v int, hallOf []int) (out []candidate, ok bool) {
	volume := &p.Volumes[v]
	ok = true
	add := func(pieces []Piece, placed int) {
		if placed < p.minParts(v) || !p.isAllowed(v, pieces, placed, hallOf) {
			return
		}
		if len(out) >= maxCandidates {
			ok = false
			return
		}
		out = append(out, candidate{slices.Clone(pieces), p.Tiers[volume.Tier].Value * p.partRate(v) * float64(p.Parts-placed), p.movedRate(v, pieces)})
	}
	var placeFrom func(from int, pieces []Piece, placed int)
	placeFrom = func(firstNode int, pieces []Piece, placed int) {
		if !ok {
			return
		}
		add(pieces, placed)
		if len(pieces) == volume.MaxNodes {
			return
		}
		for n := firstNode; n < len(p.Nodes); n++ {
			if slices.Contains(volume.ExcludedNodes, n) {
				continue
			}
			for parts := 1; placed+parts <= p.Parts; parts++ {
				for _, copyNode := range p.copyNodes(v, n, hallOf) {
					placeFrom(n+1, append(pieces, Piece{n, copyNode, parts}), placed+parts)
				}
			}
		}
	}
	placeFrom(0, nil, 0)
	return out, ok
}

var noCopy = []int{-1}

// copyNodes returns the nodes that may hold the copy of data on n, or noCopy if v has no copies.
func (p *Problem) copyNodes(v, n int, hallOf []int) []int {
	if p.Volumes[v].Copies == 1 {
		return noCopy
	}
	var out []int
	for candidate := range p.Nodes {
		if hallOf[candidate] != hallOf[n] && !slices.Contains(p.Volumes[v].ExcludedNodes, candidate) {
			out = append(out, candidate)
		}
	}
	return out
}

// countHalls returns the number of halls that hold data of the pieces, not counting copies.
func countHalls(pieces []Piece, hallOf []int) int {
	var halls []int
	for _, piece := range pieces {
		if !slices.Contains(halls, hallOf[piece.Node]) {
			halls = append(halls, hallOf[piece.Node])
		}
	}
	return len(halls)
}

// isAllowed reports whether the pieces of v satisfy PinnedNodes, MinHalls and draining.
func (p *Problem) isAllowed(v int, pieces []Piece, placed int, hallOf []int) bool {
	volume := &p.Volumes[v]
	if placed > 0 {
		for _, n := range volume.PinnedNodes {
			if !slices.ContainsFunc(pieces, func(piece Piece) bool { return piece.Node == n }) {
				return false
			}
		}
	}
	if placed == p.Parts && countHalls(pieces, hallOf) < volume.MinHalls {
		return false
	}
	for i, piece := range pieces {
		if data, _ := p.currentParts(v, piece.Node); p.Nodes[piece.Node].Draining && piece.Parts > data {
			return false
		}
		if piece.Copy < 0 || !p.Nodes[piece.Copy].Draining {
			continue
		}
		copies := 0
		for _, other := range pieces[:i+1] {
			if other.Copy == piece.Copy {
				copies += other.Parts
			}
		}
		if _, currentCopies := p.currentParts(v, piece.Copy); copies > currentCopies {
			return false
		}
	}
	return true
}

// movedRate returns the rate, units/s, of data and copies that are not where the layout in force has
// them.
func (p *Problem) movedRate(v int, pieces []Piece) float64 {
	if p.Current == nil {
		return 0
	}
	movedParts := 0
	for n := range p.Nodes {
		newData, newCopies := p.currentParts(v, n)
		for _, piece := range pieces {
			if piece.Node == n {
				newData -= piece.Parts
			}
			if piece.Copy == n {
				newCopies -= piece.Parts
			}
		}
		movedParts += max(-newData, 0) + max(-newCopies, 0)
	}
	return p.partRate(v) * float64(movedParts)
}
