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
	const quarter, whole = 0.25, 1
	for _, tt := range []struct {
		kind      soak.HostileKind
		count     int
		coreShare float64
	}{
		{soak.StoppedWrites, 600, whole}, {soak.SlowWrites, 600, whole}, {soak.ManyFields, 600, whole}, {soak.TinyChunks, 600, whole},
		{soak.Leavers, 40, whole}, {soak.NewNames, 1, whole}, {soak.SmallRequests, 20, quarter},
	} {
		t.Run(tt.kind.String(), func(t *testing.T) {
			options := soak.DefaultOptions()
			options.Command = soak.Command{Path: program}
			options.Schedulers, options.Servers, options.Rate, options.Duration = 1, 14, 40, 4*time.Second
			options.CoreShare = tt.coreShare
			options.MemoryMB, options.Sockets, options.CheckMemory = 48, 1024, true
			options.FaultyResponseInterval, options.AbandonProbability, options.LimitedFraction = 0, 0, 0
			options.Hostile = []soak.HostileGroup{{Kind: tt.kind, Count: tt.count}}
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
