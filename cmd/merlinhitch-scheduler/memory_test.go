package main

import (
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	"merlinhitch/internal/simulation/soak"
)

// Hostile clients must not make a scheduler exceed its memory, keep other clients from their answers, or
// have requests sent on after they have left.
func TestHostileClients(t *testing.T) {
	program := filepath.Join(t.TempDir(), "merlinhitch-scheduler")
	if output, err := exec.Command("go", "build", "-o", program, ".").CombinedOutput(); err != nil {
		t.Fatalf("go build: %v\n%s", err, output)
	}
	for _, group := range []soak.HostileGroup{
		{Kind: soak.StoppedWrites, Count: 600}, {Kind: soak.SlowWrites, Count: 600}, {Kind: soak.ManyFields, Count: 600},
		{Kind: soak.TinyChunks, Count: 600}, {Kind: soak.Leavers, Count: 40}, {Kind: soak.NewNames, Count: 1},
	} {
		t.Run(group.Kind.String(), func(t *testing.T) {
			options := soak.DefaultOptions()
			options.Command = soak.Command{Path: program}
			options.Schedulers, options.Servers, options.Rate, options.Duration = 1, 14, 40, 4*time.Second
			options.MemoryMB, options.Sockets, options.CheckMemory = 48, 1024, true
			options.FaultyResponseInterval, options.AbandonProbability, options.LimitedFraction = 0, 0, 0
			options.Hostile = []soak.HostileGroup{group}
			run, violations, err := soak.Execute(options, nil)
			if err != nil {
				t.Fatal(err)
			}
			t.Log(run.Summary(violations), run.Service())
			for _, violation := range violations[:min(len(violations), 5)] {
				t.Error(violation)
			}
		})
	}
}
