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

func newState(p *Problem) *state {
	s := &state{problem: p, load: make([]float64, len(p.Nodes))}
	var names []string
	s.hallOf, names = p.indexHalls()
	s.hallCount = len(names)
	for h, name := range names {
		if p.mustSurvive(name) {
			s.lossLoads, s.lostHalls = append(s.lossLoads, make([]float64, len(p.Nodes))), append(s.lostHalls, h)
		}
	}
	return s
}

// addPiece adds a piece of v, or takes it away with sign -1.
func (s *state) addPiece(v int, pc Piece, sign float64) {
	vol := &s.problem.Volumes[v]
	x := sign * s.problem.partRate(v) * float64(pc.Parts)
	s.addLoad(pc.Node, x)
	if pc.Copy >= 0 {
		s.addLoad(pc.Copy, x*vol.WriteFraction)
	}
	for i, loss := range s.lossLoads {
		h := s.lostHalls[i]
		gone := s.hallOf[pc.Node] == h
		if !gone {
			loss[pc.Node] += x
		}
		switch {
		case pc.Copy < 0 || s.hallOf[pc.Copy] == h:
		case gone:
			loss[pc.Copy] += x
		default:
			loss[pc.Copy] += x * vol.WriteFraction
		}
	}
}

func (s *state) addLoad(n int, x float64) {
	s.load[n] += x
	s.cost += x * s.problem.Nodes[n].Cost
}

// fits tells whether the nodes of a piece carry what they have, in every case.
func (s *state) fits(pc Piece) bool {
	for _, n := range [2]int{pc.Node, pc.Copy} {
		if n < 0 {
			continue
		}
		most := s.problem.Nodes[n].Capacity*(1+tolerance) + tolerance
		if s.load[n] > most {
			return false
		}
		for _, loss := range s.lossLoads {
			if loss[n] > most && !s.ignoreHallLoss {
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
	for i, l := range s.lossLoads {
		if s.hallOf[n] != s.lostHalls[i] {
			worst = max(worst, utilization(l[n], s.problem.Nodes[n].Capacity))
		}
	}
	return worst
}

// maxUtilization returns the highest use of a node, and after the worst loss of a hall.
func (s *state) maxUtilization() (now, loss float64) {
	for n := range s.load {
		capacity := s.problem.Nodes[n].Capacity
		now = max(now, utilization(s.load[n], capacity))
		for _, l := range s.lossLoads {
			loss = max(loss, utilization(l[n], capacity))
		}
	}
	return now, loss
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
func (p *Problem) candidates(v int, hall []int) (out []candidate, ok bool) {
	vol := &p.Volumes[v]
	ok = true
	add := func(pieces []Piece, placed int) {
		if placed < p.minParts(v) || !p.isAllowed(v, pieces, placed, hall) {
			return
		}
		if len(out) >= maxCandidates {
			ok = false
			return
		}
		out = append(out, candidate{slices.Clone(pieces), p.Tiers[vol.Tier].Value * p.partRate(v) * float64(p.Parts-placed), p.movedRate(v, pieces)})
	}
	var pick func(from int, pieces []Piece, placed int)
	pick = func(from int, pieces []Piece, placed int) {
		if !ok {
			return
		}
		add(pieces, placed)
		if len(pieces) == vol.MaxNodes {
			return
		}
		for n := from; n < len(p.Nodes); n++ {
			if slices.Contains(vol.ExcludedNodes, n) {
				continue
			}
			for parts := 1; placed+parts <= p.Parts; parts++ {
				for _, c := range p.copyNodes(v, n, hall) {
					pick(n+1, append(pieces, Piece{n, c, parts}), placed+parts)
				}
			}
		}
	}
	pick(0, nil, 0)
	return out, ok
}

var noCopy = []int{-1}

// copyNodes lists where a copy of what lies on n may lie.
func (p *Problem) copyNodes(v, n int, hall []int) []int {
	if p.Volumes[v].Copies == 1 {
		return noCopy
	}
	var out []int
	for c := range p.Nodes {
		if hall[c] != hall[n] && !slices.Contains(p.Volumes[v].ExcludedNodes, c) {
			out = append(out, c)
		}
	}
	return out
}

// countHalls is the number of halls that pieces lie in, copies apart.
func countHalls(pieces []Piece, hall []int) int {
	var in []int
	for _, pc := range pieces {
		if !slices.Contains(in, hall[pc.Node]) {
			in = append(in, hall[pc.Node])
		}
	}
	return len(in)
}

// isAllowed holds a whole choice of pieces to pins, spread and drains.
func (p *Problem) isAllowed(v int, pieces []Piece, placed int, hall []int) bool {
	vol := &p.Volumes[v]
	if placed > 0 {
		for _, n := range vol.PinnedNodes {
			if !slices.ContainsFunc(pieces, func(pc Piece) bool { return pc.Node == n }) {
				return false
			}
		}
	}
	if placed == p.Parts && countHalls(pieces, hall) < vol.MinHalls {
		return false
	}
	for i, pc := range pieces {
		if data, _ := p.currentParts(v, pc.Node); p.Nodes[pc.Node].Draining && pc.Parts > data {
			return false
		}
		if pc.Copy < 0 || !p.Nodes[pc.Copy].Draining {
			continue
		}
		copied := 0
		for _, o := range pieces[:i+1] {
			if o.Copy == pc.Copy {
				copied += o.Parts
			}
		}
		if _, had := p.currentParts(v, pc.Copy); copied > had {
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
	moved := 0
	for n := range p.Nodes {
		data, copied := p.currentParts(v, n)
		for _, pc := range pieces {
			if pc.Node == n {
				data -= pc.Parts
			}
			if pc.Copy == n {
				copied -= pc.Parts
			}
		}
		moved += max(-data, 0) + max(-copied, 0)
	}
	return p.partRate(v) * float64(moved)
}
