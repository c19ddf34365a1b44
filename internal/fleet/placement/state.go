package placement

import "slices"

// state is the loads of a partial layout, changed piece by piece.
type state struct {
	problem   *Problem
	hallOf    []int
	hallCount int
	load      []float64   // by node
	lossLoads [][]float64 // by lost hall, then node
	lostHalls []int       // the halls of loss
	cost      float64
	// ignoreHallLoss has fits look at no loss of a hall.
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

// addPiece adds a piece of v, or takes it away with sign -1.
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

// fits tells whether the nodes of a piece carry what they have, in every case.
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

// utilizationAfterLoss is the use of a node after the loss that is worst for it.
func (s *state) utilizationAfterLoss(n int) (worst float64) {
	for i, loads := range s.lossLoads {
		if s.hallOf[n] != s.lostHalls[i] {
			worst = max(worst, utilization(loads[n], s.problem.Nodes[n].Capacity))
		}
	}
	return worst
}

// maxUtilization returns the highest use of a node, and after the worst loss of a hall.
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

// candidate is one way to place a volume.
type candidate struct {
	pieces    []Piece
	unmet     float64
	movedRate float64
}

// maxCandidates bounds how many ways of one volume are listed.
const maxCandidates = 200000

// candidates lists every way to place v, nothing included where its reserve lets
// that; ok is false if there are too many to list.
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

// copyNodes lists where a copy of what lies on n may lie.
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

// countHalls is the number of halls that pieces lie in, copies apart.
func countHalls(pieces []Piece, hallOf []int) int {
	var halls []int
	for _, piece := range pieces {
		if !slices.Contains(halls, hallOf[piece.Node]) {
			halls = append(halls, hallOf[piece.Node])
		}
	}
	return len(halls)
}

// isAllowed holds a whole choice of pieces to pins, spread and drains.
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

// movedRate is what pieces put elsewhere than the layout in force has it.
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
