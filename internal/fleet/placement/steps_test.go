package placement

import (
	"errors"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
)

// applySteps applies the steps one by one and checks each layout for capacity.
func applySteps(t *testing.T, problem *Problem, from, to Layout, steps []Step, maxMoved float64) Layout {
	t.Helper()
	relaxed := *problem
	relaxed.Current = from
	relaxed.Volumes = slices.Clone(problem.Volumes)
	for v := range relaxed.Volumes {
		relaxed.Volumes[v].MaxNodes++
	}
	current := make(Layout, len(from))
	for v := range from {
		current[v] = slices.Clone(from[v])
	}
	for i, step := range steps {
		if step.Moved > maxMoved+tolerance {
			t.Fatalf("step %d moves %v, maximum %v", i, step.Moved, maxMoved)
		}
		for _, change := range []struct {
			piece Piece
			added int
		}{{step.From, -step.From.Parts}, {step.To, step.To.Parts}} {
			if change.piece.Node < 0 {
				continue
			}
			pieces := current[step.Volume]
			index := slices.IndexFunc(pieces, func(piece Piece) bool { return piece.Node == change.piece.Node && piece.Copy == change.piece.Copy })
			if index < 0 {
				pieces = append(pieces, Piece{change.piece.Node, change.piece.Copy, 0})
				index = len(pieces) - 1
			}
			if pieces[index].Parts += change.added; pieces[index].Parts < 0 {
				t.Fatalf("step %d moves parts that are not there", i)
			}
			current[step.Volume] = slices.DeleteFunc(pieces, func(piece Piece) bool { return piece.Parts == 0 })
		}
		_, violations := Check(&relaxed, current)
		for _, violation := range violations {
			if strings.Contains(violation, "exceeds capacity") {
				t.Fatalf("after step %d: %s", i, violation)
			}
		}
	}
	return current
}

// Steps between two solved layouts must observe capacity, the loss of halls and maxMoved.
func TestStepsBetweenLayouts(t *testing.T) {
	completed, blocked, steps := 0, 0, 0
	for seed := range uint64(12) {
		problem := SyntheticProblem(6, seed)
		problem.Parts = 4
		oldResult, err := Solve(problem, Options{MaxSteps: 1})
		if err != nil {
			t.Fatal(err)
		}
		rng := rand.New(rand.NewPCG(seed, 8))
		for i := range problem.Volumes { // rates change after the first layout
			problem.Volumes[i].Rate *= 0.8 + 0.3*rng.Float64()
		}
		newResult, err := Solve(problem, Options{MaxSteps: 1})
		if err != nil {
			t.Fatal(err)
		}
		if _, violations := Check(problem, oldResult.Layout); len(violations) > 0 {
			continue // the old layout already exceeds capacity
		}
		maxMoved := 30.0
		path, err := Steps(problem, oldResult.Layout, newResult.Layout, maxMoved)
		reached := applySteps(t, problem, oldResult.Layout, newResult.Layout, path, maxMoved)
		var blockedError *BlockedError
		switch {
		case errors.As(err, &blockedError):
			blocked++
		case err != nil:
			t.Fatal(err)
		default:
			completed++
			steps += len(path)
			objective, violations := Check(problem, reached)
			if len(violations) > 0 || objective.Compare(newResult.Objective) != 0 {
				t.Fatalf("seed %d: got objective %+v after the steps, want %+v; violations %v", seed, objective, newResult.Objective, violations)
			}
		}
	}
	t.Logf("%d complete migrations with %d steps in all, %d blocked", completed, steps, blocked)
	if completed == 0 || blocked > completed/4 {
		t.Errorf("%d complete migrations, %d blocked, want fewer blocked", completed, blocked)
	}
}

// Two volumes that exchange full nodes need a detour through a third node.
func TestDetour(t *testing.T) {
	problem := &Problem{Parts: 1, Tiers: []Tier{{Value: 1}}, Nodes: []Node{{Name: "a", Hall: "x", Capacity: 10}, {Name: "b", Hall: "x", Capacity: 10}, {Name: "c", Hall: "x", Capacity: 10}},
		Volumes: []Volume{{Name: "v", Rate: 10, MaxNodes: 1, Copies: 1}, {Name: "w", Rate: 10, MaxNodes: 1, Copies: 1}}}
	from, to := Layout{{{0, -1, 1}}, {{1, -1, 1}}}, Layout{{{1, -1, 1}}, {{0, -1, 1}}}
	path, err := Steps(problem, from, to, 10)
	if err != nil || len(path) != 3 {
		t.Fatalf("got steps %v, error %v, want 3 steps", path, err)
	}
	applySteps(t, problem, from, to, path, 10)
	problem.Nodes[2].Capacity = 5
	var blockedError *BlockedError
	if _, err := Steps(problem, from, to, 10); !errors.As(err, &blockedError) || len(blockedError.Volumes) != 2 {
		t.Errorf("no free capacity: got %v, want a BlockedError with 2 volumes", err)
	}
	problem.Nodes[2].Capacity = 10
	if _, err := Steps(problem, from, to, 9); !errors.As(err, &blockedError) {
		t.Errorf("a part larger than maxMoved: got %v, want a BlockedError", err)
	}
}
