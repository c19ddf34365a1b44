package policy

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
)

// fleet is many instances that don't talk, before one node that has just started.
type fleet struct {
	s       Settings
	rng     *rand.Rand
	now     float64
	hosts   []*rig
	done    []outcomeAt
	arrived []float64 // requests of mean work at the node
	sent    int
	shards  int // of which the node has the first; nobody has the others
}

type outcomeAt struct {
	at   float64
	host *rig
	o    Outcome
}

const coldStart = 999.0

func (f *fleet) host() *rig {
	f.sent++
	g := &rig{p: newScheduler(f.s, uint64(f.sent)), now: f.now, at: map[string]float64{}}
	g.list(Node{Addr: "n0", Health: Ready, Shard: 0, Started: coldStart})
	return g
}

// step has time go by at one host and its sends arrive, some of them late: they wait for
// their connection.
func (f *fleet) step(g *rig, ask bool) {
	g.pass(f.now - g.now)
	if ask && f.shards > 1 {
		g.n++
		g.do(Request{ID: fmt.Sprint("many", g.n), Class: "read", Plan: "high", Volume: "v", Shard: f.rng.IntN(f.shards), Units: f.s.MeanUnits, Expires: f.now + 2000, Hosts: 1})
	} else if ask {
		g.ask("read", "high", "", f.s.MeanUnits)
	}
	for _, a := range g.acts {
		s, ok := a.(Send)
		if !ok {
			continue
		}
		at := f.now
		if f.rng.IntN(3) == 0 {
			at += f.rng.Float64() * f.s.Rules.MaxSendDelay
		}
		if at > s.StartBy {
			f.done = append(f.done, outcomeAt{at, g, Outcome{ID: s.ID, Node: s.Node, Result: NotSent}})
			continue
		}
		f.arrived = append(f.arrived, at)
		f.done = append(f.done, outcomeAt{at + 30, g, Outcome{ID: s.ID, Node: s.Node, Done: true, Elapsed: at + 30 - f.now}})
	}
	g.acts = g.acts[:0]
}

func (f *fleet) run(span, rate float64, restart func(now float64, i int) bool) {
	const dt = 5.0
	for end := f.now + span; f.now < end; f.now += dt {
		for i := range f.hosts {
			if restart(f.now, i) {
				f.hosts[i] = f.host()
			}
			f.step(f.hosts[i], f.rng.Float64() < rate*dt/1000/float64(len(f.hosts)))
		}
		f.done = slices.DeleteFunc(f.done, func(d outcomeAt) bool {
			if d.at > f.now {
				return false
			}
			d.host.now = max(d.host.now, f.now)
			d.host.do(d.o)
			return true
		})
	}
}

// worst is by how many requests a window of the fall's length passed what may be put down
// to chance.
func (f *fleet) worst() (over float64) {
	over = math.Inf(-1)
	slices.Sort(f.arrived)
	r := f.s.Rules
	for i, from := range f.arrived {
		j, _ := slices.BinarySearch(f.arrived, from+r.OverloadWindow)
		grown := 1 + (1-r.ColdCapacity)/r.ColdCapacity*(from-coldStart)/r.WarmUpTime
		n := r.ColdUnits * grown / f.s.MeanUnits
		over = max(over, float64(j-i)-(n+2*math.Sqrt(n)+2))
	}
	return over
}

// What all hosts together send to a node that has just started stays within what it bears
// and chance, however many they are, where attempts wait for connections, and through
// restarts that forget what was sent.
func TestAFleetAtAColdNode(t *testing.T) {
	for _, hosts := range []int{3, 25, 120} {
		for name, restart := range map[string]func(now float64, i int) bool{
			"calm":        func(float64, int) bool { return false },
			"killed":      func(now float64, i int) bool { return now == 2500 && i%10 < 7 },
			"one by one":  func(now float64, i int) bool { return now == 1500+float64(i*5*(1000/hosts/5)) },
			"twice a bit": func(now float64, i int) bool { return (now == 1800 || now == 2400) && i%3 == 0 },
		} {
			t.Run(fmt.Sprint(hosts, name), func(t *testing.T) {
				for seed := range uint64(20) {
					s := settings()
					s.Hosts, s.Shards, s.MeanUnits = hosts, 1, 1
					s.Rules.OverloadWindow, s.Rules.ColdUnits, s.Rules.MaxSendDelay = 1000, 60, 300
					f := &fleet{s: s, rng: rand.New(rand.NewPCG(seed, 7)), now: 1000}
					for range hosts {
						f.hosts = append(f.hosts, f.host())
					}
					f.run(4000, 600, restart)
					if over := f.worst(); over > 0 {
						t.Errorf("seed %d: %.1f requests over, of %d", seed, over, len(f.arrived))
					}
					if len(f.arrived) < 40 {
						t.Errorf("seed %d: only %d sends to the cold node", seed, len(f.arrived))
					}
				}
			})
		}
	}
}

// The same holds for hundreds of hosts that send hardly anything to the node each, so that
// its budget is kept by chance alone: whatever it bears, as rates rise, and as most hosts
// forget what they learnt. And what goes there is not much less than it bears.
func TestHundredsOfHostsAtAColdNode(t *testing.T) {
	const hosts, seeds = 900, 5
	none := func(float64, int) bool { return false }
	for name, tt := range map[string]struct {
		units, rate, burst float64
		shards             int
		restart            func(now float64, i int) bool
		least              int // sends of all seeds
	}{
		"calm":       {60, 600, 600, 1, none, 500},
		"few":        {6, 200, 200, 1, none, 20},
		"many":       {200, 1500, 1500, 1, none, 1500},
		"burst":      {60, 60, 130, 160, none, 500},
		"killed":     {60, 600, 600, 16, func(now float64, i int) bool { return now == 2500 && i%10 < 7 }, 300},
		"all anew":   {60, 600, 600, 16, func(now float64, i int) bool { return now == 2500 }, 100},
		"under part": {60, 50, 50, 16, none, 300},
	} {
		t.Run(name, func(t *testing.T) {
			sends := 0
			for seed := range uint64(seeds) {
				s := settings()
				s.Hosts, s.Shards, s.MeanUnits = hosts, tt.shards, 1
				s.Rules.OverloadWindow, s.Rules.ColdUnits, s.Rules.MaxSendDelay = 1000, tt.units, 300
				f := &fleet{s: s, rng: rand.New(rand.NewPCG(seed, 11)), now: 1000, shards: tt.shards}
				for range hosts {
					f.hosts = append(f.hosts, f.host())
				}
				f.run(2000, tt.rate*float64(tt.shards), tt.restart)
				f.run(2000, tt.burst*float64(tt.shards), tt.restart)
				if over := f.worst(); over > 0 {
					t.Errorf("seed %d: %.1f requests over, of %d", seed, over, len(f.arrived))
				}
				sends += len(f.arrived)
			}
			if sends < tt.least {
				t.Errorf("only %d sends to the cold node", sends)
			}
			t.Log(sends, "sends")
		})
	}
}

// A limited volume's units are taken when they pass. A request that found no connection
// takes them when it is sent in earnest: while it waited the store has filled again, and
// what it was let go by then would pass beside what the store lets go now.
func TestUnitsAreTakenWhenTheyPass(t *testing.T) {
	const shards = 8
	s := settings()
	s.Rules.MaxSendDelay, s.Limits.MaxAttempts = 300, 10
	s.Plans[0].Limit, s.Plans[0].Burst, s.Plans[0].Overdraft = 11, 36, 6
	g := newRig(s)
	var nodes []Node
	for n := range shards {
		nodes = append(nodes, Node{Addr: fmt.Sprint("n", n), Health: Ready, Shard: n})
	}
	g.list(nodes...)
	ask := func(shard int) {
		g.n++
		g.do(Request{ID: fmt.Sprint(g.n), Class: "read", Plan: "low", Volume: "v", Shard: shard, Units: 6, Expires: g.now + 9000, Hosts: 1})
	}
	ask(1) // the volume is known from now on, and its store fills
	g.pass(5000)
	for range 4 {
		ask(0)
	}
	tried := 0
	for range 8 { // nothing comes up at n0 for two seconds
		var lost []Outcome
		for _, a := range g.acts {
			if s, ok := a.(Send); ok && s.Node == "n0" {
				lost = append(lost, Outcome{ID: s.ID, Node: "n0", Attempt: g.sends(s.ID) - 1, Result: NoConnection, Elapsed: 250})
			}
		}
		g.acts = nil
		tried += len(lost)
		g.pass(250)
		for _, o := range lost {
			g.do(o)
		}
	}
	if tried < 3 {
		t.Fatalf("only %d attempts found no connection", tried)
	}
	for n := 1; n < shards; n++ {
		ask(n)
		ask(n)
	}
	sent := 0.0
	for range 100 { // n0 works again, and so do the others
		for _, a := range g.acts {
			if s, ok := a.(Send); ok {
				sent += 6
				g.do(Outcome{ID: s.ID, Node: s.Node, Done: true, Elapsed: 5})
			}
		}
		g.acts = nil
		g.pass(10)
	}
	if most := 36 + 6 + 11*1.0; sent > most || sent < 36 {
		t.Errorf("%v units within a second, of %v that may pass", sent, most)
	}
}

// Sends of a limited volume that wait for their connections come together where they
// arrive: the store goes that much less below zero.
func TestALimitKeepsRoomForTheWait(t *testing.T) {
	for _, late := range []float64{0, 300} {
		s := settings()
		s.Rules.MaxSendDelay = late
		s.Plans[0].Limit, s.Plans[0].Burst, s.Plans[0].Overdraft = 11, 36, 6
		g := newRig(s)
		g.ask("read", "low", "", 1)
		v := g.p.volumes["low"]
		if want := 11*(arrivalSkew+late)/1000 - 6; math.Abs(v.limitFloor-want) > 1e-9 {
			t.Errorf("late by %v: the store goes down to %v, want %v", late, v.limitFloor, want)
		}
	}
}
