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
	found, members, ways := 0, 0, 0
	for seed := uint64(0); found < want; seed++ {
		p := randomProblem(rand.New(rand.NewPCG(seed, 21)))
		if estimateLayouts(p) > 600 {
			continue
		}
		c, err := FindConflict(p, Options{})
		if err != nil {
			t.Fatalf("seed %d: %v", seed, err)
		}
		if c == nil {
			if l, _, _ := bruteForce(p); l == nil {
				t.Fatalf("seed %d: no conflict is found, and there is no layout", seed)
			}
			continue
		}
		found++
		members += len(c.Constraints)
		if l, _, _ := bruteForce(Relax(p, c.Constraints)); l != nil {
			t.Fatalf("seed %d: %v is no contradiction: %v", seed, c.Describe(p), l)
		}
		for i := range c.Constraints {
			less := slices.Delete(slices.Clone(c.Constraints), i, i+1)
			if l, _, _ := bruteForce(Relax(p, less)); l == nil {
				t.Fatalf("seed %d: %v still contradicts without %q", seed, c.Describe(p), c.Constraints[i].Describe(p))
			}
		}
		if c.Remedy != nil {
			ways++
			q := *p
			q.Nodes = slices.Clone(p.Nodes)
			q.Nodes[c.Remedy.Node].Capacity += c.Remedy.AddedCapacity
			if l, _, _ := bruteForce(&q); l == nil {
				t.Fatalf("seed %d: %v is no way out", seed, c.Remedy)
			}
		}
	}
	t.Logf("%d infeasible instances, %d members in all, %d with a way out by one node", found, members, ways)
}

// The hard cases that operators name, in words with their figures.
func TestConflictDescription(t *testing.T) {
	p := &Problem{Parts: 1, Tiers: []Tier{{Value: 1, Reserve: 1}},
		Nodes:   []Node{{Name: "a1", Hall: "hall-a", Capacity: 10}, {Name: "b1", Hall: "hall-b", Capacity: 4}, {Name: "b2", Hall: "hall-b", Capacity: 0}},
		Volumes: []Volume{{Name: "cards", Rate: 9, MaxNodes: 1, Copies: 2}}, SurviveHallLoss: true}
	check := func(name string, want ...string) {
		t.Helper()
		c, err := FindConflict(p, Options{})
		if err != nil || c == nil {
			t.Fatalf("%s: %v, %v", name, c, err)
		}
		text := strings.Join(c.Describe(p), "\n")
		for _, w := range want {
			if !strings.Contains(text, w) {
				t.Errorf("%s: %q is not in\n%s", name, w, text)
			}
		}
	}
	check("a hall with little spare", "hall-b carries 4", "cards needs 9 of its 9", "way out: 5")
	p.Nodes = p.Nodes[:1]
	check("one hall only", "cards needs a copy of each piece in another hall")
	p.Volumes[0].Copies, p.Volumes[0].Rate = 1, 11
	check("a volume larger than any node", "a1 in hall-a carries 10", "cards needs 11", "way out: 1")
	p.Volumes[0].Rate = 0
	if c, err := FindConflict(p, Options{}); c != nil || err != nil {
		t.Errorf("a rate measured as 0: %v, %v", c, err)
	}
}

// The same problem gives the same layout, among equals too, and weights that differ
// a thousandfold decide who goes without.
func TestDeterministicAndByTierValue(t *testing.T) {
	p := &Problem{Parts: 2, Tiers: []Tier{{Value: 1}, {Value: 1000}}, Nodes: []Node{{Name: "a", Hall: "x", Capacity: 5}, {Name: "b", Hall: "y", Capacity: 5}}}
	for i := range 4 {
		p.Volumes = append(p.Volumes, Volume{Name: fmt.Sprint(i), Tier: i % 2, Rate: 5, MaxNodes: 2, Copies: 1})
	}
	first, err := Solve(p, Options{})
	if err != nil {
		t.Fatal(err)
	}
	if first.Objective.Unmet != 10 || len(first.Layout[1]) == 0 || len(first.Layout[3]) == 0 || !first.Optimal {
		t.Errorf("%+v of %v", first.Objective, first.Layout)
	}
	for range 5 {
		if again, err := Solve(p, Options{}); err != nil || fmt.Sprint(again.Layout) != fmt.Sprint(first.Layout) {
			t.Fatalf("%v, then %v, %v", first.Layout, again.Layout, err)
		}
	}
}

// The layouts to compare with are layouts: whole, with copies in other halls.
func TestBaselineLayouts(t *testing.T) {
	p := SyntheticProblem(30, 3)
	p.Volumes[5].ExcludedNodes = []int{4}
	for name, l := range map[string]Layout{"round robin": RoundRobin(p), "by name": ByNameHash(p), "largest first": LargestFirst(p)} {
		_, broken := Check(p, l)
		for _, b := range broken {
			if !strings.Contains(b, "carries") && !strings.Contains(b, "reserve") {
				t.Errorf("%s: %s", name, b)
			}
		}
		for v := range l {
			if len(l[v]) == 0 {
				t.Errorf("%s: volume %d has no place", name, v)
			}
		}
	}
}
