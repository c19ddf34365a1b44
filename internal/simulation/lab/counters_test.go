package lab

import (
	"context"
	"strings"
	"testing"
)

// The counters agree with the trail of a run with faults, and any counter that is off by one is detected.
func TestCountersAgreeWithTheTrail(t *testing.T) {
	rate := 150.0
	if testing.Short() {
		rate = 75
	}
	counts, err := CheckCounters(context.Background(), Options{Seed: 3, Commands: int(4 * rate), Rate: rate, Hosts: 2, Servers: 6, FaultKinds: []string{"crash", "fast_errors", "balancer_crash"}})
	if err != nil {
		t.Fatal(err)
	}
	var report strings.Builder
	counts.Print(&report)
	t.Log("\n" + report.String())
	if !counts.OK() || counts.Attempts < 2*rate || counts.ExactNodes == 0 {
		t.Fatal("counters differ, or too few were compared")
	}
	corrupted := 0
	for key, results := range counts.reported.attempts {
		if results["no_answer"]+results["connection_lost"]+results["cancelled"] > 0 {
			continue
		}
		for _, reason := range []string{"served", "server_error", "turned_away"} {
			results[reason]++
			if len(counts.compare()) == 0 {
				t.Errorf("additional %s result at %v not detected", reason, key)
			}
			results[reason]--
			corrupted++
		}
	}
	if corrupted == 0 || len(counts.compare()) > 0 {
		t.Error("no counter was corrupted, or a corruption was not undone")
	}
}
