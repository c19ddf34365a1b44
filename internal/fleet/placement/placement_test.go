package placement

import (
	"errors"
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
)

var fullFamily = flag.Bool("whole", false, "test all enumerated problems instead of every twentieth, and more random ones")

// bruteForce enumerates all layouts and returns the best one according to Check, its objective and
// the number examined.
func bruteForce(problem *Problem) (best Layout, bestObjective Objective, examined int) {
	candidates := make([][][]Piece, len(problem.Volumes))
	for v := range problem.Volumes {
		candidates[v] = enumeratePieces(problem, v)
	}
	layout := make(Layout, len(problem.Volumes))
	var placeFrom func(v int)
	placeFrom = func(v int) {
		if v == len(problem.Volumes) {
			examined++
			objective, violations := Check(problem, layout)
			if len(violations) == 0 && (best == nil || objective.Compare(bestObjective) < 0) {
				best, bestObjective = slices.Clone(layout), objective
			}
			return
		}
		for _, pieces := range candidates[v] {
			layout[v] = pieces
			placeFrom(v + 1)
		}
	}
	placeFrom(0)
	return best, bestObjective, examined
}

// enumeratePieces lists all ways to distribute up to Parts parts of v and their copies over the nodes.
func enumeratePieces(problem *Problem, v int) (out [][]Piece) {
	var placeFrom func(n, remaining int, pieces []Piece)
	placeFrom = func(n, remaining int, pieces []Piece) {
		if n == len(problem.Nodes) {
			out = append(out, slices.Clone(pieces))
			return
		}
		placeFrom(n+1, remaining, pieces)
		for parts := 1; parts <= remaining; parts++ {
			if problem.Volumes[v].Copies == 1 {
				placeFrom(n+1, remaining-parts, append(pieces, Piece{n, -1, parts}))
				continue
			}
			for copyNode := range problem.Nodes {
				placeFrom(n+1, remaining-parts, append(pieces, Piece{n, copyNode, parts}))
			}
		}
	}
	placeFrom(0, problem.Parts, nil)
	return out
}

func estimateLayouts(problem *Problem) int {
	layouts := 1
	for v := range problem.Volumes {
		placements := len(problem.Nodes)
		if problem.Volumes[v].Copies == 2 {
			placements *= len(problem.Nodes)
		}
		candidates := 1 + placements
		if problem.Parts == 2 {
			candidates += placements + placements*placements/2
		}
		if layouts *= candidates; layouts > 1<<20 {
			break
		}
	}
	return layouts
}

// compareWithBruteForce checks the solver against bruteForce on one problem.
func compareWithBruteForce(t *testing.T, name string, problem *Problem) (feasible bool) {
	t.Helper()
	want, bestObjective, _ := bruteForce(problem)
	got, err := Solve(problem, Options{})
	switch {
	case want == nil && !errors.Is(err, ErrNoLayout):
		t.Fatalf("%s: got %v, error %v, want ErrNoLayout", name, got, err)
	case want != nil && err != nil:
		t.Fatalf("%s: got error %v, but layout %v is feasible", name, err, want)
	case want == nil:
		return false
	}
	objective, violations := Check(problem, got.Layout)
	if len(violations) > 0 || !got.Optimal || objective.Compare(bestObjective) != 0 || objective.Compare(got.Objective) != 0 {
		t.Fatalf("%s: got objective %+v (reported %+v) of %v, violations %v, want %+v of %v", name, objective, got.Objective, got.Layout, violations, bestObjective, want)
	}
	if got.Bound.Compare(bestObjective) > 0 {
		t.Fatalf("%s: bound %+v is above the optimum %+v", name, got.Bound, bestObjective)
	}
	return true
}

// forEachInstance calls visit with each enumerated problem that is small enough for bruteForce: one to
// eight nodes in one to three halls, three tiers, one to three volumes.
func forEachInstance(visit func(name string, problem *Problem)) {
	capacities := [][]float64{{4, 4, 4}, {2, 5, 8}, {0, 6, 3}, {1, 1, 9}}
	rates := [][]float64{{3, 3, 3}, {6, 2, 1}, {8, 0, 4}, {1, 5, 12}}
	reserves := [][]float64{{0, 0, 0}, {1, 0.5, 0}, {1, 1, 1}}
	for nodes := 1; nodes <= 8; nodes++ {
		for halls := 1; halls <= min(nodes, 3); halls++ {
			for volumes := 1; volumes <= 3; volumes++ {
				for parts := 1; parts <= 2; parts++ {
					for copies := 1; copies <= 2; copies++ {
						for capacityIndex, capacity := range capacities {
							for rateIndex, rate := range rates {
								for reserveIndex, reserve := range reserves {
									for variant := range 4 {
										problem := newInstance(nodes, halls, volumes, parts, copies, capacity, rate, reserve, variant)
										if estimateLayouts(problem) <= 3000 {
											visit(fmt.Sprintf("nodes %d halls %d volumes %d parts %d copies %d cap %d rate %d reserve %d variant %d",
												nodes, halls, volumes, parts, copies, capacityIndex, rateIndex, reserveIndex, variant), problem)
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

// newInstance returns a problem by variant: 0 plain; 1 with SurviveHallLoss; 2 with a draining node, a
// layout in force, pinned and excluded nodes; 3 with SurviveHallLoss and MinHalls.
func newInstance(nodes, halls, volumes, parts, copies int, capacities, rates, reserves []float64, variant int) *Problem {
	problem := &Problem{Parts: parts, SurviveHallLoss: variant == 1 || variant == 3}
	for i := range nodes {
		node := Node{Name: fmt.Sprintf("n%d", i), Hall: string(rune('a' + i%halls)), Capacity: capacities[i%3], Cost: float64(1 + i%2)}
		node.Draining = variant == 2 && i == nodes-1
		problem.Nodes = append(problem.Nodes, node)
	}
	for i, value := range []float64{1, 3, 6} {
		problem.Tiers = append(problem.Tiers, Tier{Name: fmt.Sprintf("t%d", i), Value: value, Reserve: reserves[i]})
	}
	for i := range volumes {
		volume := Volume{Name: fmt.Sprintf("v%d", i), Tier: (i + variant) % 3, Rate: rates[i], WriteFraction: 0.25, MaxNodes: 1 + (i+nodes)%2, Copies: copies}
		if variant == 2 {
			volume.ExcludedNodes = []int{i % nodes}
			if nodes > 2 && i == 0 {
				volume.PinnedNodes = []int{1}
			}
		}
		if variant == 3 && parts == 2 && volume.MaxNodes == 2 {
			volume.MinHalls = 2
		}
		problem.Volumes = append(problem.Volumes, volume)
	}
	if variant == 2 {
		problem.Current = make(Layout, volumes)
		for v := range problem.Current {
			copyNode := -1
			if copies == 2 && nodes > 1 && halls > 1 {
				copyNode = nodes - 2
			}
			problem.Current[v] = []Piece{{nodes - 1, copyNode, 1}}
		}
	}
	return problem
}

func TestAgreesWithBruteForce(t *testing.T) {
	total, examined, feasible := 0, 0, 0
	forEachInstance(func(name string, problem *Problem) {
		if total++; !*fullFamily && total%20 != 0 {
			return
		}
		examined++
		if compareWithBruteForce(t, name, problem) {
			feasible++
		}
	})
	t.Logf("%d of %d enumerated problems, %d feasible", examined, total, feasible)
	if examined == 0 || feasible == 0 || feasible == examined {
		t.Error("want both feasible and infeasible problems")
	}
}

func randomProblem(rng *rand.Rand) *Problem {
	for {
		problem := &Problem{Parts: 1 + rng.IntN(2), SurviveHallLoss: rng.IntN(2) == 0}
		for i := range 1 + rng.IntN(8) {
			problem.Nodes = append(problem.Nodes, Node{Name: fmt.Sprintf("n%d", i), Hall: string(rune('a' + rng.IntN(3))), Capacity: float64(rng.IntN(10)),
				Cost: float64(rng.IntN(3)), Draining: rng.IntN(8) == 0})
		}
		for i := range 3 {
			problem.Tiers = append(problem.Tiers, Tier{Name: fmt.Sprintf("t%d", i), Value: []float64{1, 3, 1000}[i], Reserve: float64(rng.IntN(5)) / 4})
		}
		for i := range 1 + rng.IntN(3) {
			volume := Volume{Name: fmt.Sprintf("v%d", i), Tier: rng.IntN(3), Rate: float64(rng.IntN(9)), WriteFraction: float64(rng.IntN(3)) / 2,
				MaxNodes: 1 + rng.IntN(3), Copies: 1 + rng.IntN(2), MinHalls: rng.IntN(3)}
			if rng.IntN(4) == 0 {
				volume.PinnedNodes = []int{rng.IntN(len(problem.Nodes))}
			}
			if rng.IntN(3) == 0 {
				volume.ExcludedNodes = []int{rng.IntN(len(problem.Nodes))}
			}
			problem.Volumes = append(problem.Volumes, volume)
		}
		if rng.IntN(2) == 0 {
			problem.Current = make(Layout, len(problem.Volumes))
			for v := range problem.Current {
				problem.Current[v] = []Piece{{rng.IntN(len(problem.Nodes)), -1, 1}}
			}
		}
		if estimateLayouts(problem) <= 5000 {
			return problem
		}
	}
}

func TestAgreesOnRandomInstances(t *testing.T) {
	feasible, instances := 0, 400
	if *fullFamily {
		instances = 10000
	}
	for seed := range instances {
		if compareWithBruteForce(t, fmt.Sprintf("seed %d", seed), randomProblem(rand.New(rand.NewPCG(uint64(seed), 9)))) {
			feasible++
		}
	}
	t.Logf("%d random problems, %d feasible", instances, feasible)
}

func TestValidate(t *testing.T) {
	validProblem := func() *Problem {
		return newInstance(3, 3, 2, 2, 1, []float64{4, 4, 4}, []float64{1, 1, 1}, []float64{0, 0, 0}, 0)
	}
	for path, invalidate := range map[string]func(*Problem){
		"parts":             func(p *Problem) { p.Parts = 0 },
		"nodes":             func(p *Problem) { p.Nodes = nil },
		"nodes[1]":          func(p *Problem) { p.Nodes[1].Capacity = -1 },
		"tiers[0]":          func(p *Problem) { p.Tiers[0].Reserve = 2 },
		"volumes[1].tier":   func(p *Problem) { p.Volumes[1].Tier = 7 },
		"volumes[0].copies": func(p *Problem) { p.Volumes[0].Copies = 3 },
		"volumes[0]":        func(p *Problem) { p.Volumes[0].PinnedNodes = []int{9} },
		"current":           func(p *Problem) { p.Current = Layout{} },
	} {
		problem := validProblem()
		invalidate(problem)
		var problemError *ProblemError
		if _, err := Solve(problem, Options{}); !errors.As(err, &problemError) || problemError.Path != path {
			t.Errorf("%s: got %v, want a ProblemError with this path", path, err)
		}
	}
}

// MaxRegression must reduce the moves at a bounded loss in the other goals, and nothing may move if
// the other goals are equal.
func TestMaxRegressionLimitsMoves(t *testing.T) {
	problem := SyntheticProblem(20, 3)
	first, err := Solve(problem, Options{})
	if err != nil {
		t.Fatal(err)
	}
	problem.Current = first.Layout
	for i := range problem.Volumes {
		problem.Volumes[i].Rate *= 1 + 0.02*float64(i%3)
	}
	strict, err := Solve(problem, Options{})
	if err != nil {
		t.Fatal(err)
	}
	near, err := Solve(problem, Options{MaxRegression: 0.02})
	if err != nil {
		t.Fatal(err)
	}
	if _, violations := Check(problem, near.Layout); len(violations) > 0 {
		t.Fatal(violations)
	}
	if near.Objective.Moves > strict.Objective.Moves || near.Objective.Use > strict.Objective.Use*1.02+1e-9 {
		t.Errorf("objective %+v with MaxRegression, %+v without", near.Objective, strict.Objective)
	}
	for i := range problem.Volumes {
		problem.Volumes[i].Rate = 0
	}
	unchanged, err := Solve(problem, Options{})
	if err != nil {
		t.Fatal(err)
	}
	if steps, err := Steps(problem, problem.Current, unchanged.Layout, 1e9); err != nil || len(steps) > 0 {
		t.Errorf("all rates 0: got %d steps, error %v, want none", len(steps), err)
	}
}
