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
		return Record{Term: term, Homes: []Home{{Region: home, From: home, Gen: term}}, Shares: [][2]float64{{1, 0}}}
	}
	h := NewHost(cfg, 0)
	if h.Holds(0) || h.Told(0, Grant{Ask: 1, Lease: 100, Record: rec(2, 0)}) {
		t.Error("a host that asked nothing took a grant")
	}
	if ask := h.Ask(10); !h.Told(20, Grant{Ask: ask, Lease: 100, Record: rec(6, 0)}) || h.Until() != 100 {
		t.Errorf("the lease ends at %v", h.Until())
	}
	home, ok := h.May(50, 0)
	if part, since := h.Share(50, 0); !ok || home.Gen != 6 || part != 1 || since != 20 {
		t.Error("a granted shard may not be sent to", home, ok, part, since)
	}
	if ask := h.Ask(60); h.Told(65, Grant{Ask: ask, Lease: 100, Record: rec(4, 0)}) || h.Until() != 100 {
		t.Error("a grant of an older term was taken")
	}
	late := h.Ask(70)
	if !h.Told(75, Grant{Ask: late, Lease: 100, Record: rec(8, 1)}) {
		t.Error("a grant of a newer term was not taken")
	}
	if home, ok := h.May(80, 0); !ok || home.Region != 1 || home.Gen != 8 {
		t.Error("a shard that went to the other region is taken to be", home, ok)
	}
	if h.Told(76, Grant{Ask: late, Lease: 100, Record: rec(8, 1)}) || h.Holds(160) {
		t.Error("an answer counted twice")
	}
	_, ok = h.May(90, 3)
	if part, _ := h.Share(90, 3); ok || part != 0 {
		t.Error("what no record names may be served")
	}
}

// A region that is lost is taken over after the stated time, not before; one that comes
// back finds its shards elsewhere under a newer generation, and gets them back on word.
func TestLossTakeOverAndReturn(t *testing.T) {
	cfg := Config{Lease: 100, Quiet: 200, Drift: 0.01}
	rec := Begin(0, []ID{0, 1}, [][2]float64{{0.5, 0.5}})
	a, b := NewSource(cfg, 0, 1, rec, 0), NewSource(cfg, 1, 1, rec, 0)
	now := 0.0
	// disks say of their copies what is so where all can be reached.
	disks := func(s *Source) {
		for i, h := range s.Record().Homes {
			switch {
			case h.From != s.self:
			case h.Region == Nowhere:
				s.Report(now, Copy{Shard: i, Gen: h.Gen, State: Drained})
			case h.Alone:
				s.Report(now, Copy{Shard: i, Gen: h.Gen, State: Whole})
			}
		}
	}
	talk := func(until float64) {
		for ; now < until; now += 10 {
			disks(a)
			disks(b)
			b.Heard(now, a.Beat(now))
			a.Heard(now, b.Beat(now))
			a.Grant(now, 1, 0)
			b.Grant(now, 1, 0)
		}
	}
	talk(1000)
	least := (cfg.Quiet + cfg.Lease) * (1 + cfg.Drift) / (1 - cfg.Drift)
	lost := now - 10
	for ; a.Record().Homes[1].Region != 0; now++ { // the other region is silent
		a.Grant(now, 1, 0)
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
	if r := a.Record(); r.Homes[1].Gen == 1 || !r.Homes[1].Alone || r.Shares[0] != [2]float64{1, 0} {
		t.Errorf("%+v", r)
	}
	talk(now + 500)
	if b.Record().Term != a.Record().Term || !b.Grants(now) {
		t.Error("the region that came back did not learn of it")
	}
	a.Return(now)
	talk(now + 1000)
	if r := b.Record(); r.Homes[1] != (Home{Region: 1, From: 1, Prefer: 1, Gen: r.Homes[1].Moved, Moved: r.Homes[1].Gen}) || r.Shares[0] != [2]float64{0.5, 0.5} {
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
		b.Grant(now, 1, 0)
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

// Copies decide what may move: a home that answered alone is neither taken over nor moved
// before its copy has all, unless an operator gives that up; a home that says nothing of
// its copy gets its shard back.
func TestCopiesDecideWhatMoves(t *testing.T) {
	cfg := Config{Lease: 100, Quiet: 200, Drift: 0.01}
	now := 0.0
	service := func() (a, b *Source) {
		rec := Begin(0, []ID{1}, nil)
		now = 0
		return NewSource(cfg, 0, 1, rec, 0), NewSource(cfg, 1, 1, rec, 0)
	}
	talk := func(a, b *Source, span float64) {
		for end := now + span; now < end; now += 10 {
			b.Heard(now, a.Beat(now))
			a.Heard(now, b.Beat(now))
		}
	}
	a, b := service()
	talk(a, b, 100)
	b.Report(now, Copy{Shard: 0, Gen: 1, State: Behind})
	b.Report(now, Copy{Shard: 0, Gen: 0, State: Whole}) // of a generation long past
	b.Report(now, Copy{Shard: 9, Gen: 1, State: Whole}) // of no shard there is
	talk(a, b, 50)
	if h := b.Record().Homes[0]; !h.Alone || h.Gen == 1 {
		t.Fatalf("a home whose copy is lost: %+v", h)
	}
	a.Move(now, 0, 0)
	talk(a, b, 1000)
	if h := a.Record().Homes[0]; h.Region != 1 {
		t.Fatalf("moved without its copy: %+v", h)
	}
	for end := now + 3000; now < end; now += 10 { // lost while it is alone
		a.Tick(now)
	}
	if h := a.Record().Homes[0]; h.Region != 1 {
		t.Fatalf("taken over without its copy: %+v", h)
	}
	a.GiveUp(now)
	for end := now + 500; now < end; now += 10 {
		a.Tick(now)
	}
	if h := a.Record().Homes[0]; h.Region != 0 || !h.Alone {
		t.Fatalf("given up, but not taken over: %+v", h)
	}
	a, b = service()
	talk(a, b, 100)
	a.Move(now, 0, 0)
	talk(a, b, 150)
	if h := a.Record().Homes[0]; h.Region != Nowhere {
		t.Fatalf("a move whose copy says nothing: %+v", h)
	}
	talk(a, b, 1000)
	if h := a.Record().Homes[0]; h.Region != 1 || h.Gen == 1 || h.Moved != 1 {
		t.Fatalf("after long silence: %+v", h)
	}
}

// The other region's second loss is taken over as its first was.
func TestSecondLoss(t *testing.T) {
	cfg := Config{Lease: 100, Quiet: 200, Drift: 0.01}
	rec := Begin(0, []ID{1}, [][2]float64{{0.5, 0.5}})
	a, b := NewSource(cfg, 0, 1, rec, 0), NewSource(cfg, 1, 1, rec, 0)
	now := 0.0
	for loss := range 2 {
		for end := now + 3000; now < end; now += 10 {
			a.Tick(now)
		}
		if r := a.Record(); r.Homes[0].Region != 0 || r.Shares[0][0] != 1 {
			t.Fatalf("loss %d: %+v", loss, r)
		}
		if loss == 1 {
			break
		}
		for end := now + 2000; now < end; now += 10 {
			b.Heard(now, a.Beat(now))
			a.Heard(now, b.Beat(now))
			for _, s := range []*Source{a, b} {
				switch h := s.Record().Homes[0]; {
				case h.From != s.self:
				case h.Region == Nowhere:
					s.Report(now, Copy{Shard: 0, Gen: h.Gen, State: Drained})
				case h.Alone:
					s.Report(now, Copy{Shard: 0, Gen: h.Gen, State: Whole})
				}
			}
			if h := a.Record().Homes[0]; !h.Alone && h.Region == 0 {
				a.Return(now)
			}
		}
		if r := a.Record(); r.Homes[0].Region != 1 || r.Shares[0][1] != 0.5 {
			t.Fatalf("not returned: %+v", r)
		}
	}
}

// A leader that comes back with an old record makes no term and grants nothing until it
// has heard of the other, nor while a host or a disk server knows more.
func TestOldRecordDoesNoHarm(t *testing.T) {
	cfg := Config{Lease: 100, Quiet: 200, Drift: 0.01}
	rec := Begin(0, []ID{0, 1}, [][2]float64{{0.5, 0.5}})
	a, now := Restart(cfg, 0, 2, rec, 0), 0.0
	for ; now < 5000; now += 10 {
		a.Tick(now)
		if _, ok := a.Grant(now, 1, 0); ok || a.Record().Term != rec.Term {
			t.Fatalf("granted, or made a term, at %v", now)
		}
	}
	newer := rec.Clone()
	newer.Term, newer.Leader, newer.Homes[0] = 5, 1, Home{Region: 1, From: 1, Gen: 2, Moved: 2}
	b := NewSource(cfg, 1, 1, newer, now)
	for end := now + 100; now < end; now += 10 {
		b.Heard(now, a.Beat(now))
		a.Heard(now, b.Beat(now))
	}
	if g, ok := a.Grant(now, 1, 5); !ok || g.Record.Homes[0].Region != 1 {
		t.Fatalf("after it heard of the other: %+v, %v", g, ok)
	}
	for _, tell := range []func(s *Source, now float64){
		func(s *Source, now float64) { s.Grant(now, 1, 9<<half) },
		func(s *Source, now float64) { s.Report(now, Copy{Shard: 0, Gen: 9 << half, Home: true}) },
	} {
		a := Restart(cfg, 0, 2, rec, 0)
		a.Lead(0) // an operator's word: the other is lost
		if _, ok := a.Grant(150, 1, 0); !ok {
			t.Fatal("nothing granted on an operator's word")
		}
		tell(a, 160)
		if _, ok := a.Grant(170, 1, 0); ok {
			t.Fatal("granted although more is known")
		}
		a.Lead(180)
		if g, ok := a.Grant(190, 1, a.Record().Term); !ok || g.Record.Term < 9<<half {
			t.Fatalf("a second word does not help: %+v", g.Record)
		}
	}
}

// A leader that was lost had its home answer alone and nobody else heard of it: the next
// one takes what it hears of its disk servers for what it is.
func TestGenerationNobodyHeardOf(t *testing.T) {
	cfg := Config{Lease: 100, Quiet: 200, Drift: 0.01}
	rec := Begin(0, []ID{0}, nil)
	a, b, now := NewSource(cfg, 0, 1, rec, 0), NewSource(cfg, 1, 1, rec, 0), 0.0
	a.Report(0, Copy{Shard: 0, Gen: 1, State: Behind})
	for ; now < 300; now += 10 {
		a.Tick(now)
	}
	alone := a.Record().Homes[0]
	if !alone.Alone {
		t.Fatalf("a silent region keeps the home waiting: %+v", alone)
	}
	b.Lead(now) // and the shard's home is not heard of: its region comes back
	a = Restart(cfg, 0, 2, a.Record(), now)
	for end := now + 150; now < end; now += 10 {
		a.Report(now, Copy{Shard: 0, Gen: alone.Gen, Home: true})
		b.Heard(now, a.Beat(now))
		a.Heard(now, b.Beat(now))
	}
	if h := b.Record().Homes[0]; h.Region != 0 || !h.Alone || h.Gen <= alone.Gen {
		t.Fatalf("the new leader has %+v", h)
	}
	if _, ok := a.Grant(now, 1, 0); !ok {
		t.Fatal("the region that came back grants nothing")
	}
}

// A leader has a shard leave its home and is lost before anybody but the home hears of it:
// the home must be told of a later generation, or it stays closed for ever.
func TestAWordOutranksARetreatNobodyHeardOf(t *testing.T) {
	cfg := Config{Lease: 100, Quiet: 200, Drift: 0.01}
	rec := Begin(0, []ID{0}, nil)
	a, b := NewSource(cfg, 0, 1, rec, 0), NewSource(cfg, 1, 1, rec, 0)
	a.Move(10, 0, 1)
	left := a.Record().Homes[0]
	if left.Region != Nowhere {
		t.Fatalf("%+v", left)
	}
	b.Lead(20)
	a = Restart(cfg, 0, 2, a.Record(), 30)
	for now := 30.0; now < 60; now += 10 {
		b.Heard(now, a.Beat(now))
		a.Heard(now, b.Beat(now))
	}
	if h := a.Record().Homes[0]; h.Region != 0 || h.Gen <= left.Gen || !h.Alone {
		t.Fatalf("the next leader has %+v", h)
	}
}
