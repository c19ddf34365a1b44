package rollout_test

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"testing"

	"merlinhitch/internal/control/settings"
	"merlinhitch/internal/fleet/placement"
	"merlinhitch/internal/fleet/plan"
	"merlinhitch/internal/fleet/rollout"
	"merlinhitch/internal/runtime/env"
)

// service is some hosts' stores behind their admin APIs.
func service(t *testing.T, n int) ([]*rollout.Host, []*settings.Store) {
	t.Helper()
	var hosts []*rollout.Host
	var stores []*settings.Store
	for i := range n {
		st, err := settings.Open("", nil)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := st.Put(settings.Example(n, 9)); err != nil {
			t.Fatal(err)
		}
		srv := httptest.NewServer(settings.Handler(st, func(*http.Request) settings.Author { return settings.Author{Who: "test"} }, func() int64 { return 0 }))
		t.Cleanup(srv.Close)
		hosts = append(hosts, &rollout.Host{Name: string(rune('a' + i)), API: settings.NewAPI(srv.Listener.Addr().String())})
		stores = append(stores, st)
	}
	return hosts, stores
}

func planned(t *testing.T, hosts []*rollout.Host) (*plan.Plan, *placement.Result, []placement.Step) {
	t.Helper()
	s, err := rollout.Read(context.Background(), hosts)
	if err != nil {
		t.Fatal(err)
	}
	pl, err := plan.From(s, plan.Options{})
	if err != nil {
		t.Fatal(err)
	}
	r, err := placement.Solve(pl.Problem, placement.Options{MaxSteps: 20000})
	if err != nil {
		t.Fatal(err)
	}
	steps, err := pl.Steps(r.Layout)
	if err != nil {
		t.Fatal(err)
	}
	return pl, r, steps
}

func apply(hosts []*rollout.Host, pl *plan.Plan, steps []placement.Step, done func(int)) error {
	return rollout.Apply(context.Background(), env.NewReal(), hosts, pl, steps, 0, done)
}

// A node starts to drain while steps are carried out: the next step is refused and
// taken back where it was taken, and a new plan from where things stand puts nothing
// new on that node.
func TestDrainInTheMidstOfSteps(t *testing.T) {
	hosts, stores := service(t, 3)
	pl, _, steps := planned(t, hosts)
	const draining, after = 4, 5
	drain := func(st *settings.Store) {
		s := *st.Get()
		s.Nodes = append([]settings.Node(nil), s.Nodes...)
		s.Nodes[draining].Draining = true
		if _, err := st.Put(&s); err != nil {
			t.Error(err)
		}
	}
	err := apply(hosts, pl, steps, func(n int) {
		if n == after {
			drain(stores[1]) // one host of three hears of it first
		}
	})
	var refused *rollout.RefusedError
	var stale *settings.StaleError
	if !errors.As(err, &refused) || refused.Step != after+1 || refused.Host != "b" || !errors.As(err, &stale) || len(refused.Left) != 0 {
		t.Fatalf("%v", err)
	}
	var differ *rollout.DifferError
	if _, err := rollout.Read(context.Background(), hosts); !errors.As(err, &differ) {
		t.Fatalf("hosts with other settings were taken for one service: %v", err)
	}
	drain(stores[0])
	drain(stores[2])
	pl, _, steps = planned(t, hosts)
	had := load(pl, draining)
	if err := apply(hosts, pl, steps, func(int) {
		if now := load(pl, draining); now > had+1e-9 {
			t.Errorf("something new on the draining node: %g, had %g", now, had)
		} else {
			had = now
		}
	}); err != nil {
		t.Fatal(err)
	}
	if _, err := rollout.Read(context.Background(), hosts); err != nil {
		t.Fatal(err)
	}
}

func load(pl *plan.Plan, n int) float64 { return placement.Loads(pl.Problem, pl.Current, "")[n] }

// Every step is in force on every host when it is called done.
func TestAllHostsTakeEachStep(t *testing.T) {
	hosts, stores := service(t, 2)
	pl, r, steps := planned(t, hosts)
	first := stores[0].Get().Version
	done := 0
	if err := apply(hosts, pl, steps, func(n int) {
		done = n
		for _, st := range stores {
			if st.Get().Version != first+uint64(n) {
				t.Errorf("step %d: version %d", n, st.Get().Version)
			}
		}
	}); err != nil || done != len(steps) {
		t.Fatalf("%d of %d steps, %v", done, len(steps), err)
	}
	pl, _, _ = planned(t, hosts)
	if left, err := pl.Steps(r.Layout); err != nil || len(left) != 0 {
		t.Fatalf("%d left, %v", len(left), err)
	}
}
