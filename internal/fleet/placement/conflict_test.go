package placement

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
)

// A conflict must be infeasible, and feasible without any one of its constraints. Both are checked by
// enumerating all layouts.
func TestConflictsAreMinimal(t *testing.T) {
	want := 100
	if *fullFamily {
		want = 1000
	}
	found, constraintCount, remedies := 0, 0, 0
	for seed := uint64(0); found < want; seed++ {
		problem := randomProblem(rand.New(rand.NewPCG(seed, 21)))
		if estimateLayouts(problem) > 600 {
			continue
		}
		conflict, err := FindConflict(problem, Options{})
		if err != nil {
			t.Fatalf("seed %d: %v", seed, err)
		}
		if conflict == nil {
			if layout, _, _ := bruteForce(problem); layout == nil {
				t.Fatalf("seed %d: no conflict found, but there is no feasible layout", seed)
			}
			continue
		}
		found++
		constraintCount += len(conflict.Constraints)
		if layout, _, _ := bruteForce(Relax(problem, conflict.Constraints)); layout != nil {
			t.Fatalf("seed %d: conflict %v is feasible: %v", seed, conflict.Describe(problem), layout)
		}
		for i := range conflict.Constraints {
			reduced := slices.Delete(slices.Clone(conflict.Constraints), i, i+1)
			if layout, _, _ := bruteForce(Relax(problem, reduced)); layout == nil {
				t.Fatalf("seed %d: conflict %v is not minimal: still infeasible without %q", seed, conflict.Describe(problem), conflict.Constraints[i].Describe(problem))
			}
		}
		if conflict.Remedy != nil {
			remedies++
			enlarged := *problem
			enlarged.Nodes = slices.Clone(problem.Nodes)
			enlarged.Nodes[conflict.Remedy.Node].Capacity += conflict.Remedy.AddedCapacity
			if layout, _, _ := bruteForce(&enlarged); layout == nil {
				t.Fatalf("seed %d: remedy %v does not make the problem feasible", seed, conflict.Remedy)
			}
		}
	}
	t.Logf("%d infeasible problems, %d constraints in their conflicts, %d with a remedy", found, constraintCount, remedies)
}

// Conflicts must be described with the names and values of their constraints.
func TestConflictDescription(t *testing.T) {
	problem := &Problem{Parts: 1, Tiers: []Tier{{Value: 1, Reserve: 1}},
		Nodes:   []Node{{Name: "a1", Hall: "hall-a", Capacity: 10}, {Name: "b1", Hall: "hall-b", Capacity: 4}, {Name: "b2", Hall: "hall-b", Capacity: 0}},
		Volumes: []Volume{{Name: "cards", Rate: 9, MaxNodes: 1, Copies: 2}}, SurviveHallLoss: true}
	check := func(name string, want ...string) {
		t.Helper()
		conflict, err := FindConflict(problem, Options{})
		if err != nil || conflict == nil {
			t.Fatalf("%s: got conflict %v, error %v, want a conflict", name, conflict, err)
		}
		text := strings.Join(conflict.Describe(problem), "\n")
		for _, w := range want {
			if !strings.Contains(text, w) {
				t.Errorf("%s: %q missing in\n%s", name, w, text)
			}
		}
	}
	check("a hall with little spare capacity", "hall-b has a capacity of 4", "cards has a reserve of 9 of its 9", "remedy: 5")
	problem.Nodes = problem.Nodes[:1]
	check("single hall", "cards needs a copy of each piece in another hall")
	problem.Volumes[0].Copies, problem.Volumes[0].Rate = 1, 11
	check("a volume larger than any node", "a1 in hall-a has a capacity of 10", "cards has a reserve of 11", "remedy: 1")
	problem.Volumes[0].Rate = 0
	if conflict, err := FindConflict(problem, Options{}); conflict != nil || err != nil {
		t.Errorf("rate 0: got conflict %v, error %v, want none", conflict, err)
	}
}

// Equal problems must give equal layouts, also among equally good ones, and demand of the tier with
// the lower value must be left out first.
func TestDeterministicAndByTierValue(t *testing.T) {
	problem := &Problem{Parts: 2, Tiers: []Tier{{Value: 1}, {Value: 1000}}, Nodes: []Node{{Name: "a", Hall: "x", Capacity: 5}, {Name: "b", Hall: "y", Capacity: 5}}}
	for i := range 4 {
		problem.Volumes = append(problem.Volumes, Volume{Name: fmt.Sprint(i), Tier: i % 2, Rate: 5, MaxNodes: 2, Copies: 1})
	}
	first, err := Solve(problem, Options{})
	if err != nil {
		t.Fatal(err)
	}
	if first.Objective.Unmet != 10 || len(first.Layout[1]) == 0 || len(first.Layout[3]) == 0 || !first.Optimal {
		t.Errorf("got objective %+v of layout %v, want Unmet 10 with volumes 1 and 3 placed", first.Objective, first.Layout)
	}
	for range 5 {
		if again, err := Solve(problem, Options{}); err != nil || fmt.Sprint(again.Layout) != fmt.Sprint(first.Layout) {
			t.Fatalf("layout %v, then %v, error %v", first.Layout, again.Layout, err)
		}
	}
}

// Baseline layouts must place every volume and may violate only capacity and reserves.
func TestBaselineLayouts(t *testing.T) {
	problem := SyntheticProblem(30, 3)
	problem.Volumes[5].ExcludedNodes = []int{4}
	for name, layout := range map[string]Layout{"round robin": RoundRobin(problem), "by name": ByNameHash(problem), "largest first": LargestFirst(problem)} {
		_, violations := Check(problem, layout)
		for _, violation := range violations {
			if !strings.Contains(violation, "exceeds capacity") && !strings.Contains(violation, "reserve") {
				t.Errorf("%s: %s", name, violation)
			}
		}
		for v := range layout {
			if len(layout[v]) == 0 {
				t.Errorf("%s: volume %d is not placed", name, v)
			}
		}
	}
}
