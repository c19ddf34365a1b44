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
	h := newHarness(s)
	h.setNodes(Node{Addr: "n0", Health: Ready, Started: 999})
	var sendTimes []float64
	h.actions = nil
	for k := range 400 {
		h.submit("read", "high", "", 2)
		for _, r := range slices.Clone(h.scheduler.shards[0].outstanding) {
			h.handle(Outcome{ID: r.ID, Node: "n0", Done: k%2 == 0, Elapsed: 20, Result: Result(k % 2)})
		}
		for _, a := range h.actions { // retries count too
			if _, ok := a.(Send); ok {
				sendTimes = append(sendTimes, h.now)
			}
		}
		h.actions = nil
		h.advance(5)
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
		h := newHarness(testSettings())
		h.scheduler.rankedDemand = []demand{{9, 2}, {6, 2}, {5, 2}, {1, 2}}
		h.scheduler.shards[0].depth = depth
		valuable := h.submit("write", "high", "", 2) // value 6 per unit
		h.endAttempt(valuable, Served)
		cheap := h.submit("turns", "high", "", 2)
		if got := [2]bool{h.sendCount(valuable) == 1, h.sendCount(cheap) == 1}; got != want {
			t.Errorf("depth %v: sent %v, want %v", depth, got, want)
		}
	}
}

// A depth below 1 must recover by itself on a host that sends nothing and so gets no samples.
func TestLowDepthRecoversWithoutSamples(t *testing.T) {
	for _, hosts := range []int{1, 5, 50, 230} {
		s := testSettings()
		s.Hosts = hosts
		h := newHarness(s)
		h.scheduler.shards[0].depth = minFraction
		if h.advance(20 * samplePeriod); hosts > 5 && h.scheduler.shards[0].depth < 0.9 {
			t.Errorf("%d hosts: depth %v after 20 s without samples, want at least 0.9", hosts, h.scheduler.shards[0].depth)
		}
	}
}

// Few samples must still move a depth below 1, within its bounds.
func TestLowDepthFollowsSparseSamples(t *testing.T) {
	for serviceTime, want := range map[float64][2]float64{20: {0.8, maxDepth}, 900: {minFraction, 0.6}} {
		s := testSettings()
		s.Hosts = 50
		h := newHarness(s)
		h.scheduler.shards[0].depth = 0.7
		for k := range 30 {
			id := h.submit("write", "high", "", 2)
			if h.sendCount(id) > 0 {
				h.handle(Outcome{ID: id, Node: "n0", Done: true, Elapsed: serviceTime * (0.8 + 0.1*float64(k%5)), Result: Served})
			}
			h.advance(700)
		}
		if d := h.scheduler.shards[0].depth; d < want[0] || d > want[1] {
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
		for host := range hosts {
			h := &harness{scheduler: newScheduler(s, uint64(host)), now: 1000, timers: map[string]float64{}}
			var nodes []Node
			for k := range 10 {
				nodes = append(nodes, Node{Addr: fmt.Sprint("n", k), Health: Ready, Shard: k})
			}
			h.setNodes(nodes...)
			submit := func(n int) { // 400 units a second from all hosts, spread over the shards
				for range n {
					h.requestCount++
					id := fmt.Sprintf("%016x", h.requestCount)
					sh := int(h.scheduler.rng.IntN(10))
					class := []string{"read", "write"}[h.scheduler.rng.IntN(2)]
					h.handle(Request{ID: id, Class: class, Plan: "high", Volume: fmt.Sprint("v", sh), Shard: sh,
						Units: 2, Expires: h.now + 1000, Hosts: 1})
					if h.sendCount(id) > 0 {
						h.handle(Outcome{ID: id, Node: fmt.Sprint("n", sh), Done: true, Elapsed: 20, Result: Served})
					}
					h.advance(float64(hosts) * 5)
				}
			}
			submit(6000 / (5 * hosts))
			h.setNodes(append(slices.Clone(nodes[1:]), Node{Addr: "n0", Health: Ready, Started: h.now})...)
			h.actions = nil
			submit(max(1000/(5*hosts), 1)) // one overload window
			for _, a := range h.actions {
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
