package placement

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
)

// On infeasible instances the set is contradictory, and no longer so when any one
// member is dropped; both are judged by looking at every layout.
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
				t.Fatalf("seed %d: no conflict is found, and there is no layout", seed)
			}
			continue
		}
		found++
		constraintCount += len(conflict.Constraints)
		if layout, _, _ := bruteForce(Relax(problem, conflict.Constraints)); layout != nil {
			t.Fatalf("seed %d: %v is no contradiction: %v", seed, conflict.Describe(problem), layout)
		}
		for i := range conflict.Constraints {
			reduced := slices.Delete(slices.Clone(conflict.Constraints), i, i+1)
			if layout, _, _ := bruteForce(Relax(problem, reduced)); layout == nil {
				t.Fatalf("seed %d: %v still contradicts without %q", seed, conflict.Describe(problem), conflict.Constraints[i].Describe(problem))
			}
		}
		if conflict.Remedy != nil {
			remedies++
			enlarged := *problem
			enlarged.Nodes = slices.Clone(problem.Nodes)
			enlarged.Nodes[conflict.Remedy.Node].Capacity += conflict.Remedy.AddedCapacity
			if layout, _, _ := bruteForce(&enlarged); layout == nil {
				t.Fatalf("seed %d: %v is no way out", seed, conflict.Remedy)
			}
		}
	}
	t.Logf("%d infeasible instances, %d members in all, %d with a way out by one node", found, constraintCount, remedies)
}

// The hard cases that operators name, in words with their figures.
func TestConflictDescription(t *testing.T) {
	problem := &Problem{Parts: 1, Tiers: []Tier{{Value: 1, Reserve: 1}},
		Nodes:   []Node{{Name: "a1", Hall: "hall-a", Capacity: 10}, {Name: "b1", Hall: "hall-b", Capacity: 4}, {Name: "b2", Hall: "hall-b", Capacity: 0}},
		Volumes: []Volume{{Name: "cards", Rate: 9, MaxNodes: 1, Copies: 2}}, SurviveHallLoss: true}
	check := func(name string, want ...string) {
		t.Helper()
		conflict, err := FindConflict(problem, Options{})
		if err != nil || conflict == nil {
			t.Fatalf("%s: %v, %v", name, conflict, err)
		}
		text := strings.Join(conflict.Describe(problem), "\n")
		for _, w := range want {
			if !strings.Contains(text, w) {
				t.Errorf("%s: %q is not in\n%s", name, w, text)
			}
		}
	}
	check("a hall with little spare", "hall-b carries 4", "cards needs 9 of its 9", "way out: 5")
	problem.Nodes = problem.Nodes[:1]
	check("one hall only", "cards needs a copy of each piece in another hall")
	problem.Volumes[0].Copies, problem.Volumes[0].Rate = 1, 11
	check("a volume larger than any node", "a1 in hall-a carries 10", "cards needs 11", "way out: 1")
	problem.Volumes[0].Rate = 0
	if conflict, err := FindConflict(problem, Options{}); conflict != nil || err != nil {
		t.Errorf("a rate measured as 0: %v, %v", conflict, err)
	}
}

// The same problem gives the same layout, among equals too, and weights that differ
// a thousandfold decide who goes without.
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
		t.Errorf("%+v of %v", first.Objective, first.Layout)
	}
	for range 5 {
		if again, err := Solve(problem, Options{}); err != nil || fmt.Sprint(again.Layout) != fmt.Sprint(first.Layout) {
			t.Fatalf("%v, then %v, %v", first.Layout, again.Layout, err)
		}
	}
}

// The layouts to compare with are layouts: whole, with copies in other halls.
func TestBaselineLayouts(t *testing.T) {
	problem := SyntheticProblem(30, 3)
	problem.Volumes[5].ExcludedNodes = []int{4}
	for name, layout := range map[string]Layout{"round robin": RoundRobin(problem), "by name": ByNameHash(problem), "largest first": LargestFirst(problem)} {
		_, violations := Check(problem, layout)
		for _, violation := range violations {
			if !strings.Contains(violation, "carries") && !strings.Contains(violation, "reserve") {
				t.Errorf("%s: %s", name, violation)
			}
		}
		for v := range layout {
			if len(layout[v]) == 0 {
				t.Errorf("%s: volume %d has no place", name, v)
			}
		}
	}
}
