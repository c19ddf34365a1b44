package policy

import (
	"fmt"
	"slices"
	"testing"
)

func TestLimitIsSplitAndSurvivesRestart(t *testing.T) {
	g := newRig(settings())
	units, start := 0.0, g.now
	for range 200 {
		g.ask("read", "low", "", 2)
		g.pass(10)
		for _, r := range slices.Clone(g.p.shards[0].outstanding) {
			units += r.Units
			g.end(r.ID, Served)
		}
		// A store that was at its floor when this host was born.
		if most := 10 * (g.now - start) / 1000; units > most+1e-6 {
			t.Fatalf("%v units after %v ms", units, g.now-start)
		}
	}
	if units < 10 {
		t.Errorf("only %v units were let go", units)
	}
}

// Found by busy days on sockets: while the first sends after a rest are on their way, the
// store where they arrive is full and fills no further; later ones that come faster
// must find that missing part left over.
func TestLimitHoldsWhereSendsArrive(t *testing.T) {
	s := settings()
	s.Plans[0].Limit, s.Plans[0].Burst, s.Plans[0].Overdraft = 100, 8, 4
	g := newRig(s)
	g.pass(1000) // long enough alive to count on a full store
	type sent struct{ at, units float64 }
	var sends []sent
	for range 1000 {
		g.ask("read", "low", "", 0.5)
		g.pass(1)
		for _, r := range slices.Clone(g.p.shards[0].outstanding) {
			sends = append(sends, sent{g.now, r.Units})
			g.end(r.ID, Served)
		}
	}
	level, at := s.Plans[0].Burst, 0.0
	for _, x := range sends {
		x.at = max(x.at, sends[0].at+arrivalSkew)
		level, at = min(level+s.Plans[0].Limit*(x.at-at)/1000, s.Plans[0].Burst)-x.units, x.at
		if level < -s.Plans[0].Overdraft-1e-6 {
			t.Fatalf("level %.3f at %g ms, %g is allowed", level, x.at, -s.Plans[0].Overdraft)
		}
	}
	if len(sends) < 100 {
		t.Errorf("only %d sends", len(sends))
	}
}

// A volume that its limit holds back must not hold up the others of its plan.
func TestALimitedVolumeBlocksNoOther(t *testing.T) {
	g := newRig(settings())
	ask := func(vol string) string {
		g.n++
		id := fmt.Sprintf("%016x", g.n)
		g.do(Request{ID: id, Class: "write", Plan: "low", Volume: vol, Units: 2, Expires: g.now + 1000, Hosts: 1})
		return id
	}
	ask("spent")
	g.p.volumes["spent"].limitLevel = -2
	held := ask("spent")
	g.list()
	free := ask("free")
	g.p.volumes["free"].limitLevel = 8
	g.list(Node{Addr: "n0", Health: Ready, Zone: "z"})
	if g.sends(held) != 0 || g.sends(free) != 1 {
		t.Errorf("held %d, free %d sends", g.sends(held), g.sends(free))
	}
}

// All hosts of a volume together keep its limit, and each its budget of further
// attempts, however many there are.
func TestLimitAndBudgetAcrossHosts(t *testing.T) {
	for _, hosts := range []int{1, 5, 50, 230} {
		s := settings()
		s.Hosts = hosts
		s.Rules.HasBudget, s.Rules.BudgetBase, s.Rules.BudgetRatio, s.Rules.BudgetWindow = true, 1, 0.25, 5000
		s.Plans[0].Burst = 2 * s.MaxUnits * float64(hosts)
		units, asked, start, end := 0.0, 0, 0.0, 0.0
		for h := range hosts {
			g := &rig{p: newScheduler(s, uint64(h)), now: 1000, at: map[string]float64{}}
			g.list(Node{Addr: "n0", Health: Ready})
			again := 0
			for k := range 40 {
				g.n++
				id := fmt.Sprintf("%016x", g.n)
				g.do(Request{ID: id, Class: "write", Plan: "low", Volume: "v", Units: 2, Expires: g.now + 1000, Hosts: hosts})
				if g.sends(id) > 0 {
					units += 2
					g.end(id, Result(k%2)) // served, or an error that asks for another attempt
					again += g.sends(id) - 1
				}
				asked++
				g.pass(50)
			}
			if again > 1+40/4 {
				t.Errorf("%d hosts: %d further attempts of one", hosts, again)
			}
			start, end = 1000, g.now
		}
		if most := s.Plans[0].Limit*(end-start)/1000 + s.Plans[0].Burst + s.Plans[0].Overdraft; units > most {
			t.Errorf("%d hosts sent %v units of one volume, limit %v", hosts, units, most)
		}
	}
}
