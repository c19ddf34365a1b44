package lab

import (
	"context"
	"io"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

func smallGrid() Grid {
	return Grid{Hosts: []int{1, 3}, Servers: []int{3}, Rates: []float64{60}, Loads: []float64{1}, Layouts: []string{""}, Troubles: []string{"none", "crash"},
		Seeds: 3, Duration: 6 * time.Second, Parallel: 4}
}

// An experiment gives the same figures when repeated, is read back unchanged, and has its charts.
func TestExperimentIsReproducibleAndSaved(t *testing.T) {
	rows, seconds, err := Experiment(context.Background(), smallGrid(), io.Discard)
	if err != nil {
		t.Fatal(err)
	}
	dir := t.TempDir()
	if err := SaveExperiment(dir, rows, seconds); err != nil {
		t.Fatal(err)
	}
	got, err := LoadExperiment(dir)
	if err != nil || len(got) != 12 {
		t.Fatal(len(got), err)
	}
	again, _, err := Experiment(context.Background(), smallGrid(), io.Discard)
	if err != nil {
		t.Fatal(err)
	}
	for i := range got {
		if got[i] != rows[i] {
			t.Fatalf("row read back: got %+v, want %+v", got[i], rows[i])
		}
		if got[i].Digest != again[i].Digest || got[i].Goodput != again[i].Goodput || got[i].P99 != again[i].P99 {
			t.Fatalf("row of the repeated experiment: got %+v, want %+v", again[i], got[i])
		}
	}
	for _, name := range []string{TableFile, "goodput-hosts.png", "cost-hosts.png", "goodput-time.png", "p99-time.png"} {
		if info, err := os.Stat(filepath.Join(dir, name)); err != nil || info.Size() < 200 {
			t.Error(name, err)
		}
	}
	for _, comparison := range CompareExperiments(got, again) {
		if comparison.Verdict != "the same" {
			t.Errorf("repeated experiment differs: %+v", comparison)
		}
	}
}

// Differences within noise are neither gain nor loss; larger ones are.
func TestComparisonSeparatesNoise(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 1))
	before := make([]ExperimentRow, 20)
	for i := range before {
		before[i] = ExperimentRow{Hosts: 3, Seed: uint64(i), Goodput: 0.7 + 0.1*rng.Float64(), WorstPlan: 0.5, P99: 100 + 50*rng.Float64(), StepsPerCommand: 20}
	}
	change := func(modify func(r *ExperimentRow)) map[string]string {
		after := append([]ExperimentRow(nil), before...)
		for i := range after {
			modify(&after[i])
		}
		out := map[string]string{}
		for _, comparison := range CompareExperiments(before, after) {
			out[comparison.Metric] = comparison.Verdict
		}
		return out
	}
	noise := func() float64 { return rng.Float64() - 0.5 }
	if v := change(func(r *ExperimentRow) { r.Goodput += 0.02 * noise(); r.P99 += 10 * noise() }); v["goodput"] != "within noise" || v["p99 ms"] != "within noise" {
		t.Error("verdicts for noise:", v)
	}
	if v := change(func(r *ExperimentRow) { r.Goodput += 0.03 + 0.02*noise(); r.P99 += 20 + 5*noise() }); v["goodput"] != "gain" || v["p99 ms"] != "loss" {
		t.Error("verdicts for higher goodput and latency:", v)
	}
	if v := change(func(r *ExperimentRow) { r.Goodput -= 0.03 + 0.02*noise(); r.P99 -= 20 + 5*noise() }); v["goodput"] != "loss" || v["p99 ms"] != "gain" {
		t.Error("verdicts for lower goodput and latency:", v)
	}
	if v := change(func(r *ExperimentRow) { r.Setting, r.Value = "limits.max_attempts", 3 }); v["goodput"] != "the same" {
		t.Error("verdicts for experiments that differ in one setting:", v)
	}
	if list := CompareExperiments(before[:2], before[:2]); list[0].Verdict != "too few pairs" {
		t.Error("verdict for two pairs:", list[0])
	}
}

// Invalid grids and settings are rejected with an error that names the cause.
func TestInvalidGridsAreRejected(t *testing.T) {
	for want, change := range map[string]func(*Grid){
		"earthquake":   func(g *Grid) { g.Troubles = []string{"earthquake"} },
		"needs hosts":  func(g *Grid) { g.Hosts = nil },
		"no values":    func(g *Grid) { g.Setting = "limits.max_attempts" },
		"limits.speed": func(g *Grid) { g.Setting, g.Values = "limits.speed", []float64{1} },
		"max_attempts": func(g *Grid) { g.Setting, g.Values = "limits.max_attempts", []float64{-1} },
		"layout":       func(g *Grid) { g.Layouts = []string{"round"} },
	} {
		grid := smallGrid()
		change(&grid)
		if _, _, err := Experiment(context.Background(), grid, io.Discard); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%s: %v", want, err)
		}
	}
}

// The rules hold with 170 hosts, 47 disk servers and 760 commands a second.
func TestLargeFleet(t *testing.T) {
	if testing.Short() {
		t.Skip("long test")
	}
	scenario := DrawScenario(1, 170, 47, 10*time.Second, 760, true)
	outcome := runPassing(t, scenario)
	if commands := outcome.Checker.Stats.Commands; commands < 7000 {
		t.Fatalf("got %d commands, want at least 7000", commands)
	}
}
