package policy

import (
	"fmt"
	"slices"
	"testing"
)

func TestColdBudgetInEveryWindow(t *testing.T) {
	s := settings()
	s.Hosts = 2
	g := newRig(s)
	g.list(Node{Addr: "n0", Health: Ready, Started: 999})
	var sent []float64
	g.acts = nil
	for k := range 400 {
		g.ask("read", "high", "", 2)
		for _, r := range slices.Clone(g.p.shards[0].outstanding) {
			g.do(Outcome{ID: r.ID, Node: "n0", Done: k%2 == 0, Elapsed: 20, Result: Result(k % 2)})
		}
		for _, a := range g.acts { // further attempts count too
			if _, ok := a.(Send); ok {
				sent = append(sent, g.now)
			}
		}
		g.acts = nil
		g.pass(5)
	}
	for _, from := range sent {
		units := 0.0
		for _, at := range sent {
			if at >= from && at < from+1000 {
				units += 2
			}
		}
		if grown := 1 + 4*(from-999)/10000; units > 20*grown/2 {
			t.Fatalf("%v units in the window from %v", units, from)
		}
	}
	if len(sent) < 5 {
		t.Fatalf("only %d sends to the cold node", len(sent))
	}
}

// Below a depth of 1 that part of what is asked goes, the dearest first, however
// many hosts there are.
func TestPartLetsTheDearestGo(t *testing.T) {
	for depth, want := range map[float64][2]bool{2: {true, true}, 0.5: {true, false}} {
		g := newRig(settings())
		g.p.rankedDemand = []demand{{9, 2}, {6, 2}, {5, 2}, {1, 2}}
		g.p.shards[0].depth = depth
		dear := g.ask("write", "high", "", 2) // worth 6 a unit
		g.end(dear, Served)
		cheap := g.ask("turns", "high", "", 2)
		if got := [2]bool{g.sends(dear) == 1, g.sends(cheap) == 1}; got != want {
			t.Errorf("depth %v: sent %v, want %v", depth, got, want)
		}
	}
}

// A host that falls silent learns nothing: its part must come back by itself.
func TestPartComesBackWhileBlind(t *testing.T) {
	for _, hosts := range []int{1, 5, 50, 230} {
		s := settings()
		s.Hosts = hosts
		g := newRig(s)
		g.p.shards[0].depth = minFraction
		if g.pass(20 * samplePeriod); hosts > 5 && g.p.shards[0].depth < 0.9 {
			t.Errorf("%d hosts: depth %v after a long silence", hosts, g.p.shards[0].depth)
		}
	}
}

// A thin stream of answers must still steer the part, within its bounds.
func TestPartFollowsAThinStream(t *testing.T) {
	for took, want := range map[float64][2]float64{20: {0.8, maxDepth}, 900: {minFraction, 0.6}} {
		s := settings()
		s.Hosts = 50
		g := newRig(s)
		g.p.shards[0].depth = 0.7
		for k := range 30 {
			id := g.ask("write", "high", "", 2)
			if g.sends(id) > 0 {
				g.do(Outcome{ID: id, Node: "n0", Done: true, Elapsed: took * (0.8 + 0.1*float64(k%5)), Result: Served})
			}
			g.pass(700)
		}
		if d := g.p.shards[0].depth; d < want[0] || d > want[1] {
			t.Errorf("answers of %v: depth %v, want within %v", took, d, want)
		}
	}
}

// However many hosts there are, all of them together send a cold node about what
// it surely bears, and not nothing.
func TestColdNodeAcrossHosts(t *testing.T) {
	for _, hosts := range []int{1, 5, 50, 230} {
		s := settings()
		s.Hosts, s.Shards = hosts, 10
		units := 0.0
		for h := range hosts {
			g := &rig{p: newScheduler(s, uint64(h)), now: 1000, at: map[string]float64{}}
			var ns []Node
			for k := range 10 {
				ns = append(ns, Node{Addr: fmt.Sprint("n", k), Health: Ready, Shard: k})
			}
			g.list(ns...)
			ask := func(n int) { // a fleet's 400 units a second, spread over the shards
				for range n {
					g.n++
					id := fmt.Sprintf("%016x", g.n)
					sh := int(g.p.rng.IntN(10))
					class := []string{"read", "write"}[g.p.rng.IntN(2)]
					g.do(Request{ID: id, Class: class, Plan: "high", Volume: fmt.Sprint("v", sh), Shard: sh,
						Units: 2, Expires: g.now + 1000, Hosts: 1})
					if g.sends(id) > 0 {
						g.do(Outcome{ID: id, Node: fmt.Sprint("n", sh), Done: true, Elapsed: 20, Result: Served})
					}
					g.pass(float64(hosts) * 5)
				}
			}
			ask(6000 / (5 * hosts))
			g.list(append(slices.Clone(ns[1:]), Node{Addr: "n0", Health: Ready, Started: g.now})...)
			g.acts = nil
			ask(max(1000/(5*hosts), 1)) // one fall time
			for _, a := range g.acts {
				if snd, ok := a.(Send); ok && snd.Node == "n0" {
					units += 2
				}
			}
		}
		if units < 4 || units > 1.5*20 {
			t.Errorf("%d hosts sent %v units, 20 are surely borne", hosts, units)
		}
	}
}
