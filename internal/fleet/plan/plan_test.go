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

func from(t *testing.T, s *settings.Settings, opt plan.Options) *plan.Plan {
	t.Helper()
	pl, err := plan.From(s, opt)
	if err != nil {
		t.Fatal(err)
	}
	return pl
}

func solve(t *testing.T, pl *plan.Plan) *placement.Result {
	t.Helper()
	r, err := placement.Solve(pl.Problem, placement.Options{MaxSteps: 20000})
	if err != nil {
		t.Fatal(err)
	}
	return r
}

// Steps one by one lead from any settings to the layout, each step's settings hold,
// and a plan made from the last ones finds nothing left to do.
func TestStepsLeadToTheLayout(t *testing.T) {
	for seed := range uint64(6) {
		rng := rand.New(rand.NewPCG(seed, 1))
		s := settings.Example(3, 9)
		for i := range s.Volumes {
			s.Volumes[i].Rate = 2 + 20*rng.Float64()*rng.Float64()
		}
		pl := from(t, s, plan.Options{})
		r := solve(t, pl)
		steps, err := pl.Steps(r.Layout)
		if err != nil {
			t.Fatal(err)
		}
		if len(steps) == 0 {
			t.Fatal("no steps: nothing is tested")
		}
		now := s
		for _, st := range steps {
			if now, err = pl.ApplyStep(st); err != nil {
				t.Fatal(err)
			}
			if err := now.Check(); err != nil {
				t.Fatal(err)
			}
		}
		again := from(t, now, plan.Options{})
		if left, err := again.Steps(r.Layout); err != nil || len(left) != 0 {
			t.Fatalf("seed %d: %d steps left, %v", seed, len(left), err)
		}
		whole, err := pl.WithLayout(r.Layout)
		if err != nil {
			t.Fatal(err)
		}
		if left, err := from(t, whole, plan.Options{}).Steps(r.Layout); err != nil || len(left) != 0 {
			t.Fatalf("seed %d: at once: %d steps left, %v", seed, len(left), err)
		}
	}
}

// A step that does not begin where the layout stands changes nothing.
func TestStepFromElsewhereIsAnError(t *testing.T) {
	pl := from(t, settings.Example(1, 3), plan.Options{})
	before := slices.Clone(pl.Current[0])
	bad := placement.Step{Volume: 0, From: placement.Piece{Node: 2, Copy: 2, Parts: 1}, To: placement.Piece{Node: 1, Copy: 0, Parts: 1}}
	var e *plan.Error
	if _, err := pl.ApplyStep(bad); !errors.As(err, &e) {
		t.Fatal(err)
	}
	if !slices.Equal(before, pl.Current[0]) {
		t.Fatal("the plan has moved")
	}
}

func TestMeasuredRatesTakeThePlaceOfTypedOnes(t *testing.T) {
	s := settings.Example(1, 3)
	pl := from(t, s, plan.Options{Measured: []rates.Rate{{Volume: "vol-001", Mean: 10, StdDev: 3, WriteFraction: 0.5}}})
	for i, v := range pl.Problem.Volumes {
		want := 0.0
		if v.Name == "vol-001" {
			want = 10 + 2*3
		}
		if v.Rate != want {
			t.Errorf("%s: %g, want %g", s.Volumes[i].Name, v.Rate, want)
		}
	}
	// All that is measured as 0 still gets its place.
	r := solve(t, from(t, s, plan.Options{Measured: []rates.Rate{}}))
	for v, pieces := range r.Layout {
		if len(pieces) == 0 {
			t.Errorf("volume %d has no place", v)
		}
	}
}

func TestALostHallTakesNothing(t *testing.T) {
	s := settings.Example(3, 9)
	pl := from(t, s, plan.Options{LostHalls: []string{"hall-b"}})
	r := solve(t, pl)
	for v, pieces := range r.Layout {
		for _, pc := range pieces {
			if s.Nodes[pc.Node].Hall == "hall-b" || pc.Copy >= 0 && s.Nodes[pc.Copy].Hall == "hall-b" {
				t.Fatalf("volume %d lies in the lost hall", v)
			}
		}
	}
}

func TestFailOverServesFromCopies(t *testing.T) {
	s := settings.Example(3, 9)
	pl := from(t, s, plan.Options{})
	whole, err := pl.WithLayout(solve(t, pl).Layout)
	if err != nil {
		t.Fatal(err)
	}
	next, stranded := plan.FailOver(whole, "hall-a")
	if len(stranded) != 0 {
		t.Fatalf("stranded: %v", stranded)
	}
	changed := 0
	for i, v := range next.Volumes {
		for k, sh := range v.Layout {
			if whole.Nodes[sh].Hall == "hall-a" {
				t.Fatalf("%s still lies on shard %d", v.Name, sh)
			}
			if sh != whole.Volumes[i].Layout[k] {
				changed++
			}
		}
	}
	if changed == 0 {
		t.Fatal("nothing lay in the hall")
	}
	if _, stranded := plan.FailOver(s, "hall-a"); len(stranded) == 0 {
		t.Fatal("without copies nothing was called stranded")
	}
}

func TestSettingsThatCantBePlannedWith(t *testing.T) {
	s := settings.Example(1, 3)
	s.Nodes = nil
	var e *plan.Error
	if _, err := plan.From(s, plan.Options{}); !errors.As(err, &e) || e.Path != "nodes" {
		t.Fatal(err)
	}
	s = settings.Example(1, 3)
	s.Volumes[0].Layout = make([]int, 17)
	s.Volumes[1].Layout = make([]int, 19)
	if _, err := plan.From(s, plan.Options{}); !errors.As(err, &e) || e.Path != "volumes[1].layout" {
		t.Fatal(err)
	}
}

// With regions as what is lost at once, every copy lies in the other region and the load
// of either fits into the one that is left; where it can't, the contradiction names the
// region.
func TestARegionIsSurvived(t *testing.T) {
	s := settings.Example(3, 8)
	for i := range s.Nodes {
		s.Nodes[i].Region, s.Nodes[i].Capacity = i%2, 300
	}
	s.Placement.FailureDomain, s.Placement.SurviveLoss = settings.DomainRegion, true
	for i := range s.Volumes {
		v := &s.Volumes[i]
		v.Copies, v.MinDomains, v.Rate = 2, 0, 20
	}
	if err := s.Check(); err != nil {
		t.Fatal(err)
	}
	pl := from(t, s, plan.Options{})
	r := solve(t, pl)
	o, wrong := placement.Check(pl.Problem, r.Layout)
	if len(wrong) > 0 || o.LossUse <= o.Use {
		t.Fatal(o, wrong)
	}
	for v, pieces := range r.Layout {
		for _, pc := range pieces {
			if s.Nodes[pc.Node].Region == s.Nodes[pc.Copy].Region {
				t.Errorf("volume %d: data and copy in one region", v)
			}
		}
	}
	for i := range s.Nodes {
		s.Nodes[i].Capacity = 150 // enough for all, not for half of them alone
	}
	for i := range s.Plans {
		s.Plans[i].Reserve = 0
	}
	pl = from(t, s, plan.Options{})
	for i := range pl.Problem.Tiers {
		pl.Problem.Tiers[i].Reserve = 1
	}
	if _, err := placement.Solve(pl.Problem, placement.Options{MaxSteps: 200000}); err == nil {
		t.Fatal("half of the nodes can't carry it all, and yet there is a layout")
	}
	pl.Problem.SurviveHallLoss = false
	solve(t, pl) // it is the region's loss that does not fit
}
