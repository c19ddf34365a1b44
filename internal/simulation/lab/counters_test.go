package lab

import (
	"context"
	"strings"
	"testing"
)

// The counters of a bad day are what passed on the sockets; one that is off by one is
// found.
func TestCountersAgreeWithTheTrail(t *testing.T) {
	rate := 150.0
	if testing.Short() {
		rate = 75
	}
	c, err := CheckCounters(context.Background(), Options{Seed: 3, Commands: int(4 * rate), Rate: rate, Hosts: 2, Servers: 6, FaultKinds: []string{"crash", "fast_errors", "balancer_crash"}})
	if err != nil {
		t.Fatal(err)
	}
	var b strings.Builder
	c.Print(&b)
	t.Log("\n" + b.String())
	if !c.OK() || c.Attempts < 2*rate || c.ExactNodes == 0 {
		t.Fatal("not kept, or too little was compared")
	}
	doctored := 0
	for k, by := range c.reported.attempts {
		if by["no_answer"]+by["connection_lost"]+by["cancelled"] > 0 {
			continue
		}
		for _, r := range []string{"served", "server_error", "turned_away"} {
			by[r]++
			if len(c.compare()) == 0 {
				t.Errorf("one more %s at %v was not found", r, k)
			}
			by[r]--
			doctored++
		}
	}
	if doctored == 0 || len(c.compare()) > 0 {
		t.Error("nothing was doctored, or it was not undone")
	}
}
