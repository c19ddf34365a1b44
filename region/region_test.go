package region

import "testing"

// rates has each clock run as slow or as fast as it may: bits for the sources, then the
// hosts.
func rates(slow int) (r [4]float64) {
	for i := range r {
		if r[i] = tick * (1 + drift); slow>>i&1 == 1 {
			r[i] = tick * (1 - drift)
		}
	}
	return r
}

// worst has the leading source's clock run fast and all others slow, which is the worst
// for who waits for others' leases.
const worst = 14

// In every order of deliveries, losses, cuts, moves and restarts within the bounds, a
// shard is served in one region at most and no more than the limit may be spent.
func TestEveryOrderKeepsTheInvariants(t *testing.T) {
	cases := []struct {
		name                    string
		ticks, moves, restarts  int
		clocks                  []int
		takeover, lent, further bool
	}{
		{"cuts", 10, 0, 0, []int{0, worst}, true, true, true},
		{"moves", 7, 1, 0, []int{worst}, true, true, true},
		{"restarts", 7, 0, 1, []int{0, worst}, false, true, true},
	}
	total := 0
	for _, c := range cases {
		if testing.Short() {
			c.ticks--
			c.takeover = false
		}
		if *whole {
			c.ticks++
			c.clocks = []int{0, 1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15}
		}
		takeover, lent, states := false, false, 0
		for _, clocks := range c.clocks {
			m := &model{rates: rates(clocks), ticks: c.ticks, moves: c.moves, restarts: c.restarts, air: 1}
			n, all := m.explore(1 << 30)
			if m.broken != "" || !all {
				t.Fatalf("%s, clocks %04b: %s", c.name, clocks, m.broken)
			}
			takeover, lent, states = takeover || m.takeover, lent || m.lent, states+n
		}
		if c.takeover && !takeover || c.lent && !lent {
			t.Errorf("%s: the bounds reach no take-over (%v) or no shares in both (%v)", c.name, takeover, lent)
		}
		t.Logf("%s: %d ticks, %d moves, %d restarts, %d settings of clocks: %d states", c.name, c.ticks, c.moves, c.restarts, len(c.clocks), states)
		total += states
	}
	t.Logf("%d states in all", total)
}

// The model finds each protocol that is spoiled.
func TestSpoiledProtocolsAreFound(t *testing.T) {
	wild := [4]float64{tick * 1.5, tick / 2, tick / 2, tick / 2} // what a lease without drift does not bear
	for _, c := range []struct {
		doctor doctor
		rates  [4]float64
		ticks  int
		moves  int
		late   bool
	}{
		{leaseNoDrift, wild, 9, 0, false},
		{sharedEarly, rates(worst), 7, 1, false},
		{countedAtAnswer, rates(worst), 10, 0, true},
		{quietForgotten, rates(worst), 8, 0, false},
	} {
		m := &model{rates: c.rates, ticks: c.ticks, moves: c.moves, air: 1, late: c.late, doctor: c.doctor}
		if n, _ := m.explore(600_000); m.broken == "" {
			t.Errorf("%s: not found in %d states", c.doctor, n)
		} else {
			t.Logf("%s: %s, after %d states", c.doctor, m.broken, n)
		}
	}
}

// A grant of an older term, an answer to nothing that was asked, and one that comes
// after its lease change nothing.
func TestGrantsOfNoUse(t *testing.T) {
	cfg := Config{Lease: 100, Quiet: 100, Drift: 0.1}
	rec := func(term uint64, home ID) Record {
		return Record{Term: term, Homes: []Home{{home, term}}, Shares: [][2]float64{{1, 0}}}
	}
	h := NewHost(cfg, 0)
	if h.Holds(0) || h.Told(Grant{Ask: 1, Lease: 100, Record: rec(2, 0)}) {
		t.Error("a host that asked nothing took a grant")
	}
	if ask := h.Ask(10); !h.Told(Grant{Ask: ask, Lease: 100, Record: rec(6, 0)}) || h.Until() != 100 {
		t.Errorf("the lease ends at %v", h.Until())
	}
	if gen, ok := h.May(50, 0); !ok || gen != 6 || h.Share(50, 0) != 1 {
		t.Error("a granted shard may not be sent to", gen, ok)
	}
	if ask := h.Ask(60); h.Told(Grant{Ask: ask, Lease: 100, Record: rec(4, 0)}) || h.Until() != 100 {
		t.Error("a grant of an older term was taken")
	}
	late := h.Ask(70)
	if !h.Told(Grant{Ask: late, Lease: 100, Record: rec(8, 1)}) {
		t.Error("a grant of a newer term was not taken")
	}
	if _, ok := h.May(80, 0); ok {
		t.Error("a shard that went to the other region may be sent to")
	}
	if h.Told(Grant{Ask: late, Lease: 100, Record: rec(8, 1)}) || h.Holds(160) {
		t.Error("an answer counted twice")
	}
	if _, ok := h.May(90, 3); ok || h.Share(90, 3) != 0 {
		t.Error("what no record names may be served")
	}
}

// A region that is lost is taken over after the stated time, not before; one that comes
// back finds its shards elsewhere under a newer generation, and gets them back on word.
func TestLossTakeOverAndReturn(t *testing.T) {
	cfg := Config{Lease: 100, Quiet: 200, Drift: 0.01}
	rec := Record{Term: 2, Leader: 0, Homes: []Home{{0, 1}, {1, 1}}, Shares: [][2]float64{{0.5, 0.5}}}
	a, b := NewSource(cfg, 0, 1, rec, 0), NewSource(cfg, 1, 1, rec, 0)
	now := 0.0
	talk := func(until float64) {
		for ; now < until; now += 10 {
			b.Heard(now, a.Beat(now))
			a.Heard(now, b.Beat(now))
			a.Grant(now, 1)
			b.Grant(now, 1)
		}
	}
	talk(1000)
	least := (cfg.Quiet + cfg.Lease) * (1 + cfg.Drift) / (1 - cfg.Drift)
	lost := now - 10
	for ; a.Record().Homes[1].Region != 0; now++ { // the other region is silent
		a.Grant(now, 1)
		a.Tick(now)
		if now > lost+2*least {
			t.Fatal("never taken over")
		}
	}
	if now-lost < least || now-lost > least+1.1*cfg.Lease+10 {
		t.Errorf("taken over after %.0f ms, at least %.0f are due", now-lost, least)
	}
	if b.Grants(now) {
		t.Error("the silent source still grants")
	}
	if r := a.Record(); r.Homes[1].Gen != 2 || r.Shares[0] != [2]float64{1, 0} {
		t.Errorf("%+v", r)
	}
	talk(now + 500)
	if b.Record().Term != a.Record().Term || !b.Grants(now) {
		t.Error("the region that came back did not learn of it")
	}
	a.Move(now, 1, 1)
	a.Share(now, 0, [2]float64{0.5, 0.5})
	talk(now + 1000)
	if r := b.Record(); r.Homes[1] != (Home{1, 3}) || r.Shares[0] != [2]float64{0.5, 0.5} {
		t.Errorf("failed back to %+v", r)
	}
	// The leader's region is lost: only an operator's word helps.
	for end := now + 3000; now < end; now += 10 {
		b.Tick(now)
	}
	if b.Record().Homes[0].Region != 0 {
		t.Error("taken over from the leader without word")
	}
	b.Lead(now)
	for end := now + 1000; now < end; now += 10 {
		b.Grant(now, 1)
		b.Tick(now)
	}
	if b.Record().Homes[0].Region != 1 || !b.Leads() {
		t.Errorf("not taken over on word: %+v", b.Record())
	}
	// The lost leader comes back with what it had saved, and follows.
	a = Restart(cfg, 0, 2, a.Record(), now)
	talk(now + 500)
	if a.Leads() || a.Record().Term != b.Record().Term {
		t.Errorf("the old leader holds %+v", a.Record())
	}
}
