package policy

import (
	"fmt"
	"slices"
	"testing"
)

// A host's units to a cold node must stay within its budget in every overload window.
func TestColdBudgetHoldsInEveryWindow(t *testing.T) {
	s := testSettings()
	s.Hosts = 2
	g := newHarness(s)
	g.setNodes(Node{Addr: "n0", Health: Ready, Started: 999})
	var sendTimes []float64
	g.actions = nil
	for k := range 400 {
		g.submit("read", "high", "", 2)
		for _, r := range slices.Clone(g.scheduler.shards[0].outstanding) {
			g.handle(Outcome{ID: r.ID, Node: "n0", Done: k%2 == 0, Elapsed: 20, Result: Result(k % 2)})
		}
		for _, a := range g.actions { // retries count too
			if _, ok := a.(Send); ok {
				sendTimes = append(sendTimes, g.now)
			}
		}
		g.actions = nil
		g.advance(5)
	}
	for _, windowStart := range sendTimes {
		units := 0.0
		for _, at := range sendTimes {
			if at >= windowStart && at < windowStart+1000 {
				units += 2
			}
		}
		if growth := 1 + 4*(windowStart-999)/10000; units > 20*growth/2 {
			t.Fatalf("sent %v units in the window from %v ms, more than the budget", units, windowStart)
		}
	}
	if len(sendTimes) < 5 {
		t.Fatalf("only %d sends to the cold node, want at least 5", len(sendTimes))
	}
}

// Below a depth of 1, that fraction of the requests is sent, the most valuable ones first.
func TestLowDepthSendsMostValuable(t *testing.T) {
	for depth, want := range map[float64][2]bool{2: {true, true}, 0.5: {true, false}} {
		g := newHarness(testSettings())
		g.scheduler.rankedDemand = []demand{{9, 2}, {6, 2}, {5, 2}, {1, 2}}
		g.scheduler.shards[0].depth = depth
		valuable := g.submit("write", "high", "", 2) // value 6 per unit
		g.endAttempt(valuable, Served)
		cheap := g.submit("turns", "high", "", 2)
		if got := [2]bool{g.sendCount(valuable) == 1, g.sendCount(cheap) == 1}; got != want {
			t.Errorf("depth %v: sent %v, want %v", depth, got, want)
		}
	}
}

// A depth below 1 must recover by itself on a host that sends nothing and so gets no samples.
func TestLowDepthRecoversWithoutSamples(t *testing.T) {
	for _, hosts := range []int{1, 5, 50, 230} {
		s := testSettings()
		s.Hosts = hosts
		g := newHarness(s)
		g.scheduler.shards[0].depth = minFraction
		if g.advance(20 * samplePeriod); hosts > 5 && g.scheduler.shards[0].depth < 0.9 {
			t.Errorf("%d hosts: depth %v after 20 s without samples, want at least 0.9", hosts, g.scheduler.shards[0].depth)
		}
	}
}

// Few samples must still move a depth below 1, within its bounds.
func TestLowDepthFollowsSparseSamples(t *testing.T) {
	for serviceTime, want := range map[float64][2]float64{20: {0.8, maxDepth}, 900: {minFraction, 0.6}} {
		s := testSettings()
		s.Hosts = 50
		g := newHarness(s)
		g.scheduler.shards[0].depth = 0.7
		for k := range 30 {
			id := g.submit("write", "high", "", 2)
			if g.sendCount(id) > 0 {
				g.handle(Outcome{ID: id, Node: "n0", Done: true, Elapsed: serviceTime * (0.8 + 0.1*float64(k%5)), Result: Served})
			}
			g.advance(700)
		}
		if d := g.scheduler.shards[0].depth; d < want[0] || d > want[1] {
			t.Errorf("service time %v ms: depth %v, want within %v", serviceTime, d, want)
		}
	}
}

// Whatever their number, all hosts together must send a cold node about as much as it can take, and
// some.
func TestColdNodeAcrossHosts(t *testing.T) {
	for _, hosts := range []int{1, 5, 50, 230} {
		s := testSettings()
		s.Hosts, s.Shards = hosts, 10
		units := 0.0
		for h := range hosts {
			g := &harness{scheduler: newScheduler(s, uint64(h)), now: 1000, timers: map[string]float64{}}
			var nodes []Node
			for k := range 10 {
				nodes = append(nodes, Node{Addr: fmt.Sprint("n", k), Health: Ready, Shard: k})
			}
			g.setNodes(nodes...)
			submit := func(n int) { // 400 units a second from all hosts, spread over the shards
				for range n {
					g.requestCount++
					id := fmt.Sprintf("%016x", g.requestCount)
					sh := int(g.scheduler.rng.IntN(10))
					class := []string{"read", "write"}[g.scheduler.rng.IntN(2)]
					g.handle(Request{ID: id, Class: class, Plan: "high", Volume: fmt.Sprint("v", sh), Shard: sh,
						Units: 2, Expires: g.now + 1000, Hosts: 1})
					if g.sendCount(id) > 0 {
						g.handle(Outcome{ID: id, Node: fmt.Sprint("n", sh), Done: true, Elapsed: 20, Result: Served})
					}
					g.advance(float64(hosts) * 5)
				}
			}
			submit(6000 / (5 * hosts))
			g.setNodes(append(slices.Clone(nodes[1:]), Node{Addr: "n0", Health: Ready, Started: g.now})...)
			g.actions = nil
			submit(max(1000/(5*hosts), 1)) // one overload window
			for _, a := range g.actions {
				if send, ok := a.(Send); ok && send.Node == "n0" {
					units += 2
				}
			}
		}
		if units < 4 || units > 1.5*20 {
			t.Errorf("%d hosts sent %v units to the cold node, want 4 to 30", hosts, units)
		}
	}
}
