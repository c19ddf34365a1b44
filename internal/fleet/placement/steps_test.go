package placement

import (
	"errors"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
)

// applySteps makes the steps one by one and judges each layout from the definitions.
func applySteps(t *testing.T, p *Problem, from, to Layout, steps []Step, most float64) Layout {
	t.Helper()
	q := *p
	q.Current = from
	q.Volumes = slices.Clone(p.Volumes)
	for v := range q.Volumes {
		q.Volumes[v].MaxNodes++
	}
	at := make(Layout, len(from))
	for v := range from {
		at[v] = slices.Clone(from[v])
	}
	for i, st := range steps {
		if st.Moved > most+tolerance {
			t.Fatalf("step %d moves %v, at most %v", i, st.Moved, most)
		}
		for _, c := range []struct {
			pc Piece
			k  int
		}{{st.From, -st.From.Parts}, {st.To, st.To.Parts}} {
			if c.pc.Node < 0 {
				continue
			}
			l := at[st.Volume]
			k := slices.IndexFunc(l, func(x Piece) bool { return x.Node == c.pc.Node && x.Copy == c.pc.Copy })
			if k < 0 {
				l = append(l, Piece{c.pc.Node, c.pc.Copy, 0})
				k = len(l) - 1
			}
			if l[k].Parts += c.k; l[k].Parts < 0 {
				t.Fatalf("step %d takes what is not there", i)
			}
			at[st.Volume] = slices.DeleteFunc(l, func(x Piece) bool { return x.Parts == 0 })
		}
		_, broken := Check(&q, at)
		for _, b := range broken {
			if strings.Contains(b, "carries") {
				t.Fatalf("after step %d: %s", i, b)
			}
		}
	}
	return at
}

// Ways between two solved layouts keep capacity, the lost hall and the amount.
func TestStepsBetweenLayouts(t *testing.T) {
	whole, blocked, steps := 0, 0, 0
	for seed := range uint64(12) {
		p := SyntheticProblem(6, seed)
		p.Parts = 4
		a, err := Solve(p, Options{MaxSteps: 1})
		if err != nil {
			t.Fatal(err)
		}
		rng := rand.New(rand.NewPCG(seed, 8))
		for i := range p.Volumes { // the rates have changed since
			p.Volumes[i].Rate *= 0.8 + 0.3*rng.Float64()
		}
		b, err := Solve(p, Options{MaxSteps: 1})
		if err != nil {
			t.Fatal(err)
		}
		if _, broken := Check(p, a.Layout); len(broken) > 0 {
			continue // the old layout is over capacity already: nothing to keep
		}
		most := 30.0
		way, err := Steps(p, a.Layout, b.Layout, most)
		at := applySteps(t, p, a.Layout, b.Layout, way, most)
		var be *BlockedError
		switch {
		case errors.As(err, &be):
			blocked++
		case err != nil:
			t.Fatal(err)
		default:
			whole++
			steps += len(way)
			o, broken := Check(p, at)
			if len(broken) > 0 || o.Compare(b.Objective) != 0 {
				t.Fatalf("seed %d: the steps lead to %+v, want %+v, %v", seed, o, b.Objective, broken)
			}
		}
	}
	t.Logf("%d ways of %d steps in all, %d blocked", whole, steps, blocked)
	if whole == 0 || blocked > whole/4 {
		t.Errorf("%d ways, %d blocked", whole, blocked)
	}
}

// Two volumes that change places on full nodes need room elsewhere first.
func TestDetour(t *testing.T) {
	p := &Problem{Parts: 1, Tiers: []Tier{{Value: 1}}, Nodes: []Node{{Name: "a", Hall: "x", Capacity: 10}, {Name: "b", Hall: "x", Capacity: 10}, {Name: "c", Hall: "x", Capacity: 10}},
		Volumes: []Volume{{Name: "v", Rate: 10, MaxNodes: 1, Copies: 1}, {Name: "w", Rate: 10, MaxNodes: 1, Copies: 1}}}
	from, to := Layout{{{0, -1, 1}}, {{1, -1, 1}}}, Layout{{{1, -1, 1}}, {{0, -1, 1}}}
	way, err := Steps(p, from, to, 10)
	if err != nil || len(way) != 3 {
		t.Fatalf("%v, %v", way, err)
	}
	applySteps(t, p, from, to, way, 10)
	p.Nodes[2].Capacity = 5
	var be *BlockedError
	if _, err := Steps(p, from, to, 10); !errors.As(err, &be) || len(be.Volumes) != 2 {
		t.Errorf("without room: %v", err)
	}
	p.Nodes[2].Capacity = 10
	if _, err := Steps(p, from, to, 9); !errors.As(err, &be) {
		t.Errorf("a part larger than the amount: %v", err)
	}
}
