package placement

import "slices"

// state is the loads of a partial layout, changed piece by piece.
type state struct {
	p     *Problem
	hall  []int
	halls int
	load  []float64   // by node
	loss  [][]float64 // by lost hall, then node
	lost  []int       // the halls of loss
	cost  float64
	// loose has fits look at no loss of a hall.
	loose bool
}

func newState(p *Problem) *state {
	s := &state{p: p, load: make([]float64, len(p.Nodes))}
	var names []string
	s.hall, names = p.halls()
	s.halls = len(names)
	for h, name := range names {
		if p.survived(name) {
			s.loss, s.lost = append(s.loss, make([]float64, len(p.Nodes))), append(s.lost, h)
		}
	}
	return s
}

// put adds a piece of v, or takes it away with sign -1.
func (s *state) put(v int, pc Piece, sign float64) {
	vol := &s.p.Volumes[v]
	x := sign * s.p.unit(v) * float64(pc.Parts)
	s.add(pc.Node, x)
	if pc.Copy >= 0 {
		s.add(pc.Copy, x*vol.Writes)
	}
	for i, loss := range s.loss {
		h := s.lost[i]
		gone := s.hall[pc.Node] == h
		if !gone {
			loss[pc.Node] += x
		}
		switch {
		case pc.Copy < 0 || s.hall[pc.Copy] == h:
		case gone:
			loss[pc.Copy] += x
		default:
			loss[pc.Copy] += x * vol.Writes
		}
	}
}

func (s *state) add(n int, x float64) {
	s.load[n] += x
	s.cost += x * s.p.Nodes[n].Cost
}

// fits tells whether the nodes of a piece carry what they have, in every case.
func (s *state) fits(pc Piece) bool {
	for _, n := range [2]int{pc.Node, pc.Copy} {
		if n < 0 {
			continue
		}
		most := s.p.Nodes[n].Capacity*(1+tolerance) + tolerance
		if s.load[n] > most {
			return false
		}
		for _, loss := range s.loss {
			if loss[n] > most && !s.loose {
				return false
			}
		}
	}
	return true
}

func use(load, capacity float64) float64 {
	if load <= tolerance || capacity <= 0 {
		return 0
	}
	return load / capacity
}

// lossUse is the use of a node after the loss that is worst for it.
func (s *state) lossUse(n int) (worst float64) {
	for i, l := range s.loss {
		if s.hall[n] != s.lost[i] {
			worst = max(worst, use(l[n], s.p.Nodes[n].Capacity))
		}
	}
	return worst
}

// uses returns the highest use of a node, and after the worst loss of a hall.
func (s *state) uses() (now, loss float64) {
	for n := range s.load {
		capacity := s.p.Nodes[n].Capacity
		now = max(now, use(s.load[n], capacity))
		for _, l := range s.loss {
			loss = max(loss, use(l[n], capacity))
		}
	}
	return now, loss
}

// option is one way to place a volume.
type option struct {
	pieces []Piece
	unmet  float64
	moves  float64
}

// maxOptions bounds how many ways of one volume are listed.
const maxOptions = 200000

// options lists every way to place v, nothing included where its reserve lets
// that; ok is false if there are too many to list.
func (p *Problem) options(v int, hall []int) (out []option, ok bool) {
	vol := &p.Volumes[v]
	ok = true
	add := func(pieces []Piece, placed int) {
		if placed < p.least(v) || !p.allowed(v, pieces, placed, hall) {
			return
		}
		if len(out) >= maxOptions {
			ok = false
			return
		}
		out = append(out, option{slices.Clone(pieces), p.Tiers[vol.Tier].Worth * p.unit(v) * float64(p.Parts-placed), p.moves(v, pieces)})
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
			if slices.Contains(vol.Bans, n) {
				continue
			}
			for parts := 1; placed+parts <= p.Parts; parts++ {
				for _, c := range p.copyPlaces(v, n, hall) {
					pick(n+1, append(pieces, Piece{n, c, parts}), placed+parts)
				}
			}
		}
	}
	pick(0, nil, 0)
	return out, ok
}

var noCopy = []int{-1}

// copyPlaces lists where a copy of what lies on n may lie.
func (p *Problem) copyPlaces(v, n int, hall []int) []int {
	if p.Volumes[v].Copies == 1 {
		return noCopy
	}
	var out []int
	for c := range p.Nodes {
		if hall[c] != hall[n] && !slices.Contains(p.Volumes[v].Bans, c) {
			out = append(out, c)
		}
	}
	return out
}

// hallCount is the number of halls that pieces lie in, copies apart.
func hallCount(pieces []Piece, hall []int) int {
	var in []int
	for _, pc := range pieces {
		if !slices.Contains(in, hall[pc.Node]) {
			in = append(in, hall[pc.Node])
		}
	}
	return len(in)
}

// allowed holds a whole choice of pieces to pins, spread and drains.
func (p *Problem) allowed(v int, pieces []Piece, placed int, hall []int) bool {
	vol := &p.Volumes[v]
	if placed > 0 {
		for _, n := range vol.Pins {
			if !slices.ContainsFunc(pieces, func(pc Piece) bool { return pc.Node == n }) {
				return false
			}
		}
	}
	if placed == p.Parts && hallCount(pieces, hall) < vol.Spread {
		return false
	}
	for i, pc := range pieces {
		if data, _ := p.held(v, pc.Node); p.Nodes[pc.Node].Draining && pc.Parts > data {
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
		if _, had := p.held(v, pc.Copy); copied > had {
			return false
		}
	}
	return true
}

// moves is what pieces put elsewhere than the layout in force has it.
func (p *Problem) moves(v int, pieces []Piece) float64 {
	if p.Current == nil {
		return 0
	}
	moved := 0
	for n := range p.Nodes {
		data, copied := p.held(v, n)
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
	return p.unit(v) * float64(moved)
}
