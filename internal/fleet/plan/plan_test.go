package plan_test

import (
	"errors"
	"math/rand/v2"
	"slices"
	"testing"

	"merlinhitch/internal/control/settings"
	"merlinhitch/internal/fleet/placement"
	"merlinhitch/internal/fleet/plan"
	"merlinhitch/internal/fleet/rates"
)

func from(t *testing.T, s *settings.Settings, options plan.Options) *plan.Plan {
	t.Helper()
	layoutPlan, err := plan.From(s, options)
	if err != nil {
		t.Fatal(err)
	}
	return layoutPlan
}

func solve(t *testing.T, layoutPlan *plan.Plan) *placement.Result {
	t.Helper()
	result, err := placement.Solve(layoutPlan.Problem, placement.Options{MaxSteps: 20000})
	if err != nil {
		t.Fatal(err)
	}
	return result
}

// Steps must lead to the target layout through valid settings, and a plan made from the final settings
// must need no further steps.
func TestStepsLeadToTheLayout(t *testing.T) {
	for seed := range uint64(6) {
		rng := rand.New(rand.NewPCG(seed, 1))
		s := settings.Example(3, 9)
		for i := range s.Volumes {
			s.Volumes[i].Rate = 2 + 20*rng.Float64()*rng.Float64()
		}
		layoutPlan := from(t, s, plan.Options{})
		result := solve(t, layoutPlan)
		steps, err := layoutPlan.Steps(result.Layout)
		if err != nil {
			t.Fatal(err)
		}
		if len(steps) == 0 {
			t.Fatal("got no steps, want some")
		}
		current := s
		for _, step := range steps {
			if current, err = layoutPlan.ApplyStep(step); err != nil {
				t.Fatal(err)
			}
			if err := current.Check(); err != nil {
				t.Fatal(err)
			}
		}
		replanned := from(t, current, plan.Options{})
		if remaining, err := replanned.Steps(result.Layout); err != nil || len(remaining) != 0 {
			t.Fatalf("seed %d: %d steps left, error %v", seed, len(remaining), err)
		}
		final, err := layoutPlan.WithLayout(result.Layout)
		if err != nil {
			t.Fatal(err)
		}
		if remaining, err := from(t, final, plan.Options{}).Steps(result.Layout); err != nil || len(remaining) != 0 {
			t.Fatalf("seed %d: WithLayout: %d steps left, error %v", seed, len(remaining), err)
		}
	}
}

// A step that does not start from the current layout must be refused without effect.
func TestStepNotFromCurrentLayoutIsRefused(t *testing.T) {
	layoutPlan := from(t, settings.Example(1, 3), plan.Options{})
	before := slices.Clone(layoutPlan.Current[0])
	wrongStep := placement.Step{Volume: 0, From: placement.Piece{Node: 2, Copy: 2, Parts: 1}, To: placement.Piece{Node: 1, Copy: 0, Parts: 1}}
	var planError *plan.Error
	if _, err := layoutPlan.ApplyStep(wrongStep); !errors.As(err, &planError) {
		t.Fatal(err)
	}
	if !slices.Equal(before, layoutPlan.Current[0]) {
		t.Fatal("the refused step changed the current layout")
	}
}

func TestMeasuredRatesReplaceConfiguredOnes(t *testing.T) {
	s := settings.Example(1, 3)
	layoutPlan := from(t, s, plan.Options{Measured: []rates.Rate{{Volume: "vol-001", Mean: 10, StdDev: 3, WriteFraction: 0.5}}})
	for i, v := range layoutPlan.Problem.Volumes {
		want := 0.0
		if v.Name == "vol-001" {
			want = 10 + 2*3
		}
		if v.Rate != want {
			t.Errorf("%s: got rate %g, want %g", s.Volumes[i].Name, v.Rate, want)
		}
	}
	// Volumes with a measured rate of 0 must be placed too.
	result := solve(t, from(t, s, plan.Options{Measured: []rates.Rate{}}))
	for v, pieces := range result.Layout {
		if len(pieces) == 0 {
			t.Errorf("volume %d is not placed", v)
		}
	}
}

func TestLostHallGetsNoData(t *testing.T) {
	s := settings.Example(3, 9)
	layoutPlan := from(t, s, plan.Options{LostHalls: []string{"hall-b"}})
	result := solve(t, layoutPlan)
	for v, pieces := range result.Layout {
		for _, piece := range pieces {
			if s.Nodes[piece.Node].Hall == "hall-b" || piece.Copy >= 0 && s.Nodes[piece.Copy].Hall == "hall-b" {
				t.Fatalf("volume %d is placed in the lost hall", v)
			}
		}
	}
}

func TestFailOverServesFromCopies(t *testing.T) {
	s := settings.Example(3, 9)
	layoutPlan := from(t, s, plan.Options{})
	planned, err := layoutPlan.WithLayout(solve(t, layoutPlan).Layout)
	if err != nil {
		t.Fatal(err)
	}
	next, stranded := plan.FailOver(planned, "hall-a")
	if len(stranded) != 0 {
		t.Fatalf("volumes without a copy elsewhere: got %v, want none", stranded)
	}
	changed := 0
	for i, v := range next.Volumes {
		for slot, shard := range v.Layout {
			if planned.Nodes[shard].Hall == "hall-a" {
				t.Fatalf("%s is still on shard %d of the lost hall", v.Name, shard)
			}
			if shard != planned.Volumes[i].Layout[slot] {
				changed++
			}
		}
	}
	if changed == 0 {
		t.Fatal("no data was in the lost hall")
	}
	if _, stranded := plan.FailOver(s, "hall-a"); len(stranded) == 0 {
		t.Fatal("no copies: got no volumes without a copy elsewhere, want some")
	}
}

func TestInvalidSettings(t *testing.T) {
	s := settings.Example(1, 3)
	s.Nodes = nil
	var planError *plan.Error
	if _, err := plan.From(s, plan.Options{}); !errors.As(err, &planError) || planError.Path != "nodes" {
		t.Fatal(err)
	}
	s = settings.Example(1, 3)
	s.Volumes[0].Layout = make([]int, 17)
	s.Volumes[1].Layout = make([]int, 19)
	if _, err := plan.From(s, plan.Options{}); !errors.As(err, &planError) || planError.Path != "volumes[1].layout" {
		t.Fatal(err)
	}
}

// With regions as failure domains, every copy must be in the other region, and a problem must be
// infeasible if one region cannot carry the whole load.
func TestRegionLossIsSurvived(t *testing.T) {
	s := settings.Example(3, 8)
	for i := range s.Nodes {
		s.Nodes[i].Region, s.Nodes[i].Capacity = i%2, 300
	}
	s.Placement.FailureDomain, s.Placement.SurviveLoss = settings.DomainRegion, true
	for i := range s.Volumes {
		volume := &s.Volumes[i]
		volume.Copies, volume.MinDomains, volume.Rate = 2, 0, 20
	}
	if err := s.Check(); err != nil {
		t.Fatal(err)
	}
	layoutPlan := from(t, s, plan.Options{})
	result := solve(t, layoutPlan)
	objective, violations := placement.Check(layoutPlan.Problem, result.Layout)
	if len(violations) > 0 || objective.LossUse <= objective.Use {
		t.Fatal(objective, violations)
	}
	for v, pieces := range result.Layout {
		for _, piece := range pieces {
			if s.Nodes[piece.Node].Region == s.Nodes[piece.Copy].Region {
				t.Errorf("volume %d: data and copy are in the same region", v)
			}
		}
	}
	for i := range s.Nodes {
		s.Nodes[i].Capacity = 150 // enough for all nodes together, but not for one region
	}
	for i := range s.Plans {
		s.Plans[i].Reserve = 0
	}
	layoutPlan = from(t, s, plan.Options{})
	for i := range layoutPlan.Problem.Tiers {
		layoutPlan.Problem.Tiers[i].Reserve = 1
	}
	if _, err := placement.Solve(layoutPlan.Problem, placement.Options{MaxSteps: 200000}); err == nil {
		t.Fatal("one region cannot carry the whole load, but a layout was found")
	}
	layoutPlan.Problem.SurviveHallLoss = false
	solve(t, layoutPlan) // feasible unless the loss of a region must be survived
}
