package placement

import (
	"errors"
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
)

var fullFamily = flag.Bool("whole", false, "search the whole enumerated family, not every twentieth instance")

// bruteForce looks at every layout there is, and judges each by Check alone.
func bruteForce(p *Problem) (best Layout, bestObjective Objective, examined int) {
	ways := make([][][]Piece, len(p.Volumes))
	for v := range p.Volumes {
		ways[v] = enumeratePieces(p, v)
	}
	l := make(Layout, len(p.Volumes))
	var try func(v int)
	try = func(v int) {
		if v == len(p.Volumes) {
			examined++
			o, broken := Check(p, l)
			if len(broken) == 0 && (best == nil || o.Compare(bestObjective) < 0) {
				best, bestObjective = slices.Clone(l), o
			}
			return
		}
		for _, w := range ways[v] {
			l[v] = w
			try(v + 1)
		}
	}
	try(0)
	return best, bestObjective, examined
}

// enumeratePieces gives every number of parts to every node and every copy to each.
func enumeratePieces(p *Problem, v int) (out [][]Piece) {
	var pick func(n, left int, w []Piece)
	pick = func(n, left int, w []Piece) {
		if n == len(p.Nodes) {
			out = append(out, slices.Clone(w))
			return
		}
		pick(n+1, left, w)
		for parts := 1; parts <= left; parts++ {
			if p.Volumes[v].Copies == 1 {
				pick(n+1, left-parts, append(w, Piece{n, -1, parts}))
				continue
			}
			for c := range p.Nodes {
				pick(n+1, left-parts, append(w, Piece{n, c, parts}))
			}
		}
	}
	pick(0, p.Parts, nil)
	return out
}

func estimateLayouts(p *Problem) int {
	size := 1
	for v := range p.Volumes {
		one := len(p.Nodes)
		if p.Volumes[v].Copies == 2 {
			one *= len(p.Nodes)
		}
		ways := 1 + one
		if p.Parts == 2 {
			ways += one + one*one/2
		}
		if size *= ways; size > 1<<20 {
			break
		}
	}
	return size
}

// compareWithBruteForce compares the solver with the brute search on one instance.
func compareWithBruteForce(t *testing.T, name string, p *Problem) (feasible bool) {
	t.Helper()
	want, at, _ := bruteForce(p)
	got, err := Solve(p, Options{})
	switch {
	case want == nil && !errors.Is(err, ErrNoLayout):
		t.Fatalf("%s: there is no layout, and the solver says %v, %v", name, got, err)
	case want != nil && err != nil:
		t.Fatalf("%s: %v, but there is %v", name, err, want)
	case want == nil:
		return false
	}
	o, broken := Check(p, got.Layout)
	if len(broken) > 0 || !got.Optimal || o.Compare(at) != 0 || o.Compare(got.Objective) != 0 {
		t.Fatalf("%s: %+v (says %+v) of %v breaks %v, best is %+v by %v", name, o, got.Objective, got.Layout, broken, at, want)
	}
	if got.Bound.Compare(at) > 0 {
		t.Fatalf("%s: the bound %+v is above the best, %+v", name, got.Bound, at)
	}
	return true
}

// forEachInstance calls f with each instance of the enumerated forEachInstance: one to eight nodes
// in one to three halls, three tiers, one to three volumes.
func forEachInstance(visit func(name string, p *Problem)) {
	capacities := [][]float64{{4, 4, 4}, {2, 5, 8}, {0, 6, 3}, {1, 1, 9}}
	rates := [][]float64{{3, 3, 3}, {6, 2, 1}, {8, 0, 4}, {1, 5, 12}}
	reserves := [][]float64{{0, 0, 0}, {1, 0.5, 0}, {1, 1, 1}}
	for nodes := 1; nodes <= 8; nodes++ {
		for halls := 1; halls <= min(nodes, 3); halls++ {
			for volumes := 1; volumes <= 3; volumes++ {
				for parts := 1; parts <= 2; parts++ {
					for copies := 1; copies <= 2; copies++ {
						for ci, cs := range capacities {
							for ri, rs := range rates {
								for si, rv := range reserves {
									for kind := range 4 {
										p := newInstance(nodes, halls, volumes, parts, copies, cs, rs, rv, kind)
										if estimateLayouts(p) <= 3000 {
											visit(fmt.Sprintf("nodes %d halls %d volumes %d parts %d copies %d cap %d rate %d reserve %d kind %d",
												nodes, halls, volumes, parts, copies, ci, ri, si, kind), p)
										}
									}
								}
							}
						}
					}
				}
			}
		}
	}
}

// newInstance varies by kind: plain; survive; drains with a layout in force, pins and
// bans; survive and spread with costs.
func newInstance(nodes, halls, volumes, parts, copies int, cs, rs, rv []float64, kind int) *Problem {
	p := &Problem{Parts: parts, SurviveHallLoss: kind == 1 || kind == 3}
	for i := range nodes {
		n := Node{Name: fmt.Sprintf("n%d", i), Hall: string(rune('a' + i%halls)), Capacity: cs[i%3], Cost: float64(1 + i%2)}
		n.Draining = kind == 2 && i == nodes-1
		p.Nodes = append(p.Nodes, n)
	}
	for i, w := range []float64{1, 3, 6} {
		p.Tiers = append(p.Tiers, Tier{Name: fmt.Sprintf("t%d", i), Value: w, Reserve: rv[i]})
	}
	for i := range volumes {
		v := Volume{Name: fmt.Sprintf("v%d", i), Tier: (i + kind) % 3, Rate: rs[i], WriteFraction: 0.25, MaxNodes: 1 + (i+nodes)%2, Copies: copies}
		if kind == 2 {
			v.ExcludedNodes = []int{i % nodes}
			if nodes > 2 && i == 0 {
				v.PinnedNodes = []int{1}
			}
		}
		if kind == 3 && parts == 2 && v.MaxNodes == 2 {
			v.MinHalls = 2
		}
		p.Volumes = append(p.Volumes, v)
	}
	if kind == 2 {
		p.Current = make(Layout, volumes)
		for v := range p.Current {
			c := -1
			if copies == 2 && nodes > 1 && halls > 1 {
				c = nodes - 2
			}
			p.Current[v] = []Piece{{nodes - 1, c, 1}}
		}
	}
	return p
}

func TestAgreesWithBruteForce(t *testing.T) {
	all, some, feasible := 0, 0, 0
	forEachInstance(func(name string, p *Problem) {
		if all++; !*fullFamily && all%20 != 0 {
			return
		}
		some++
		if compareWithBruteForce(t, name, p) {
			feasible++
		}
	})
	t.Logf("%d of %d instances of the family, %d with a layout", some, all, feasible)
	if some == 0 || feasible == 0 || feasible == some {
		t.Error("the family does not have both kinds")
	}
}

func randomProblem(rng *rand.Rand) *Problem {
	for {
		p := &Problem{Parts: 1 + rng.IntN(2), SurviveHallLoss: rng.IntN(2) == 0}
		for i := range 1 + rng.IntN(8) {
			p.Nodes = append(p.Nodes, Node{Name: fmt.Sprintf("n%d", i), Hall: string(rune('a' + rng.IntN(3))), Capacity: float64(rng.IntN(10)),
				Cost: float64(rng.IntN(3)), Draining: rng.IntN(8) == 0})
		}
		for i := range 3 {
			p.Tiers = append(p.Tiers, Tier{Name: fmt.Sprintf("t%d", i), Value: []float64{1, 3, 1000}[i], Reserve: float64(rng.IntN(5)) / 4})
		}
		for i := range 1 + rng.IntN(3) {
			v := Volume{Name: fmt.Sprintf("v%d", i), Tier: rng.IntN(3), Rate: float64(rng.IntN(9)), WriteFraction: float64(rng.IntN(3)) / 2,
				MaxNodes: 1 + rng.IntN(3), Copies: 1 + rng.IntN(2), MinHalls: rng.IntN(3)}
			if rng.IntN(4) == 0 {
				v.PinnedNodes = []int{rng.IntN(len(p.Nodes))}
			}
			if rng.IntN(3) == 0 {
				v.ExcludedNodes = []int{rng.IntN(len(p.Nodes))}
			}
			p.Volumes = append(p.Volumes, v)
		}
		if rng.IntN(2) == 0 {
			p.Current = make(Layout, len(p.Volumes))
			for v := range p.Current {
				p.Current[v] = []Piece{{rng.IntN(len(p.Nodes)), -1, 1}}
			}
		}
		if estimateLayouts(p) <= 5000 {
			return p
		}
	}
}

func TestAgreesOnRandomInstances(t *testing.T) {
	feasible, n := 0, 400
	if *fullFamily {
		n = 10000
	}
	for seed := range n {
		if compareWithBruteForce(t, fmt.Sprintf("seed %d", seed), randomProblem(rand.New(rand.NewPCG(uint64(seed), 9)))) {
			feasible++
		}
	}
	t.Logf("%d instances from seeds, %d with a layout", n, feasible)
}

func TestValidate(t *testing.T) {
	good := func() *Problem {
		return newInstance(3, 3, 2, 2, 1, []float64{4, 4, 4}, []float64{1, 1, 1}, []float64{0, 0, 0}, 0)
	}
	for path, spoil := range map[string]func(*Problem){
		"parts":             func(p *Problem) { p.Parts = 0 },
		"nodes":             func(p *Problem) { p.Nodes = nil },
		"nodes[1]":          func(p *Problem) { p.Nodes[1].Capacity = -1 },
		"tiers[0]":          func(p *Problem) { p.Tiers[0].Reserve = 2 },
		"volumes[1].tier":   func(p *Problem) { p.Volumes[1].Tier = 7 },
		"volumes[0].copies": func(p *Problem) { p.Volumes[0].Copies = 3 },
		"volumes[0]":        func(p *Problem) { p.Volumes[0].PinnedNodes = []int{9} },
		"current":           func(p *Problem) { p.Current = Layout{} },
	} {
		p := good()
		spoil(p)
		var pe *ProblemError
		if _, err := Solve(p, Options{}); !errors.As(err, &pe) || pe.Path != path {
			t.Errorf("%s: %v", path, err)
		}
	}
}

// A layout in force that is near the best stays; what is moved from it is little,
// and with equal goals nothing moves at all.
func TestMaxRegressionLimitsMoves(t *testing.T) {
	p := SyntheticProblem(20, 3)
	first, err := Solve(p, Options{})
	if err != nil {
		t.Fatal(err)
	}
	p.Current = first.Layout
	for i := range p.Volumes {
		p.Volumes[i].Rate *= 1 + 0.02*float64(i%3)
	}
	strict, err := Solve(p, Options{})
	if err != nil {
		t.Fatal(err)
	}
	near, err := Solve(p, Options{MaxRegression: 0.02})
	if err != nil {
		t.Fatal(err)
	}
	if _, broken := Check(p, near.Layout); len(broken) > 0 {
		t.Fatal(broken)
	}
	if near.Objective.Moves > strict.Objective.Moves || near.Objective.Use > strict.Objective.Use*1.02+1e-9 {
		t.Errorf("near %+v, strict %+v", near.Objective, strict.Objective)
	}
	for i := range p.Volumes {
		p.Volumes[i].Rate = 0
	}
	same, err := Solve(p, Options{})
	if err != nil {
		t.Fatal(err)
	}
	if steps, err := Steps(p, p.Current, same.Layout, 1e9); err != nil || len(steps) > 0 {
		t.Errorf("rates of 0: %d steps, %v", len(steps), err)
	}
}
