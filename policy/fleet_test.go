package policy

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
)

// coldNodeSim is many instances that don't talk, before one node that has just started.
type coldNodeSim struct {
	settings     Settings
	rng          *rand.Rand
	now          float64
	hosts        []*harness
	outcomes     []hostOutcome
	arrivalTimes []float64 // requests of mean work at the node
	hostsCreated int
	shards       int // of which the node has the first; nobody has the others
}

type hostOutcome struct {
	deliverAt float64
	host      *harness
	outcome   Outcome
}

const nodeStartedAt = 999.0

func (f *coldNodeSim) newHost() *harness {
	f.hostsCreated++
	g := &harness{scheduler: newScheduler(f.settings, uint64(f.hostsCreated)), now: f.now, timers: map[string]float64{}}
	g.setNodes(Node{Addr: "n0", Health: Ready, Shard: 0, Started: nodeStartedAt})
	return g
}

// step has time go by at one host and its sends arrive, some of them late: they wait for
// their connection.
func (f *coldNodeSim) step(g *harness, ask bool) {
	g.advance(f.now - g.now)
	if ask && f.shards > 1 {
		g.requestCount++
		g.handle(Request{ID: fmt.Sprint("many", g.requestCount), Class: "read", Plan: "high", Volume: "v", Shard: f.rng.IntN(f.shards), Units: f.settings.MeanUnits, Expires: f.now + 2000, Hosts: 1})
	} else if ask {
		g.submit("read", "high", "", f.settings.MeanUnits)
	}
	for _, a := range g.actions {
		s, ok := a.(Send)
		if !ok {
			continue
		}
		at := f.now
		if f.rng.IntN(3) == 0 {
			at += f.rng.Float64() * f.settings.Rules.MaxSendDelay
		}
		if at > s.StartBy {
			f.outcomes = append(f.outcomes, hostOutcome{at, g, Outcome{ID: s.ID, Node: s.Node, Result: NotSent}})
			continue
		}
		f.arrivalTimes = append(f.arrivalTimes, at)
		f.outcomes = append(f.outcomes, hostOutcome{at + 30, g, Outcome{ID: s.ID, Node: s.Node, Done: true, Elapsed: at + 30 - f.now}})
	}
	g.actions = g.actions[:0]
}

func (f *coldNodeSim) run(span, rate float64, restart func(now float64, i int) bool) {
	const dt = 5.0
	for end := f.now + span; f.now < end; f.now += dt {
		for i := range f.hosts {
			if restart(f.now, i) {
				f.hosts[i] = f.newHost()
			}
			f.step(f.hosts[i], f.rng.Float64() < rate*dt/1000/float64(len(f.hosts)))
		}
		f.outcomes = slices.DeleteFunc(f.outcomes, func(d hostOutcome) bool {
			if d.deliverAt > f.now {
				return false
			}
			d.host.now = max(d.host.now, f.now)
			d.host.handle(d.outcome)
			return true
		})
	}
}

// worstExcess is by how many requests a window of the fall's length passed what may be put down
// to chance.
func (f *coldNodeSim) worstExcess() (over float64) {
	over = math.Inf(-1)
	slices.Sort(f.arrivalTimes)
	r := f.settings.Rules
	for i, from := range f.arrivalTimes {
		j, _ := slices.BinarySearch(f.arrivalTimes, from+r.OverloadWindow)
		grown := 1 + (1-r.ColdCapacity)/r.ColdCapacity*(from-nodeStartedAt)/r.WarmUpTime
		n := r.ColdUnits * grown / f.settings.MeanUnits
		over = max(over, float64(j-i)-(n+2*math.Sqrt(n)+2))
	}
	return over
}

// What all hosts together send to a node that has just started stays within what it bears
// and chance, however many they are, where attempts wait for connections, and through
// restarts that forget what was sent.
func TestHostsTogetherKeepColdBudget(t *testing.T) {
	for _, hosts := range []int{3, 25, 120} {
		for name, restart := range map[string]func(now float64, i int) bool{
			"calm":        func(float64, int) bool { return false },
			"killed":      func(now float64, i int) bool { return now == 2500 && i%10 < 7 },
			"one by one":  func(now float64, i int) bool { return now == 1500+float64(i*5*(1000/hosts/5)) },
			"twice a bit": func(now float64, i int) bool { return (now == 1800 || now == 2400) && i%3 == 0 },
		} {
			t.Run(fmt.Sprint(hosts, name), func(t *testing.T) {
				for seed := range uint64(20) {
					s := testSettings()
					s.Hosts, s.Shards, s.MeanUnits = hosts, 1, 1
					s.Rules.OverloadWindow, s.Rules.ColdUnits, s.Rules.MaxSendDelay = 1000, 60, 300
					f := &coldNodeSim{settings: s, rng: rand.New(rand.NewPCG(seed, 7)), now: 1000}
					for range hosts {
						f.hosts = append(f.hosts, f.newHost())
					}
					f.run(4000, 600, restart)
					if over := f.worstExcess(); over > 0 {
						t.Errorf("seed %d: %.1f requests over, of %d", seed, over, len(f.arrivalTimes))
					}
					if len(f.arrivalTimes) < 40 {
						t.Errorf("seed %d: only %d sends to the cold node", seed, len(f.arrivalTimes))
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
				s := testSettings()
				s.Hosts, s.Shards, s.MeanUnits = hosts, tt.shards, 1
				s.Rules.OverloadWindow, s.Rules.ColdUnits, s.Rules.MaxSendDelay = 1000, tt.units, 300
				f := &coldNodeSim{settings: s, rng: rand.New(rand.NewPCG(seed, 11)), now: 1000, shards: tt.shards}
				for range hosts {
					f.hosts = append(f.hosts, f.newHost())
				}
				f.run(2000, tt.rate*float64(tt.shards), tt.restart)
				f.run(2000, tt.burst*float64(tt.shards), tt.restart)
				if over := f.worstExcess(); over > 0 {
					t.Errorf("seed %d: %.1f requests over, of %d", seed, over, len(f.arrivalTimes))
				}
				sends += len(f.arrivalTimes)
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
func TestRetryIsChargedToLimitAgain(t *testing.T) {
	const shards = 8
	s := testSettings()
	s.Rules.MaxSendDelay, s.Limits.MaxAttempts = 300, 10
	s.Plans[0].Limit, s.Plans[0].Burst, s.Plans[0].Overdraft = 11, 36, 6
	g := newHarness(s)
	var nodes []Node
	for n := range shards {
		nodes = append(nodes, Node{Addr: fmt.Sprint("n", n), Health: Ready, Shard: n})
	}
	g.setNodes(nodes...)
	ask := func(shard int) {
		g.requestCount++
		g.handle(Request{ID: fmt.Sprint(g.requestCount), Class: "read", Plan: "low", Volume: "v", Shard: shard, Units: 6, Expires: g.now + 9000, Hosts: 1})
	}
	ask(1) // the volume is known from now on, and its store fills
	g.advance(5000)
	for range 4 {
		ask(0)
	}
	tried := 0
	for range 8 { // nothing comes up at n0 for two seconds
		var lost []Outcome
		for _, a := range g.actions {
			if s, ok := a.(Send); ok && s.Node == "n0" {
				lost = append(lost, Outcome{ID: s.ID, Node: "n0", Attempt: g.sendCount(s.ID) - 1, Result: NoConnection, Elapsed: 250})
			}
		}
		g.actions = nil
		tried += len(lost)
		g.advance(250)
		for _, o := range lost {
			g.handle(o)
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
		for _, a := range g.actions {
			if s, ok := a.(Send); ok {
				sent += 6
				g.handle(Outcome{ID: s.ID, Node: s.Node, Done: true, Elapsed: 5})
			}
		}
		g.actions = nil
		g.advance(10)
	}
	if most := 36 + 6 + 11*1.0; sent > most || sent < 36 {
		t.Errorf("%v units within a second, of %v that may pass", sent, most)
	}
}

// Sends of a limited volume that wait for their connections come together where they
// arrive: the store goes that much less below zero.
func TestLimitFloorAllowsForSendDelay(t *testing.T) {
	for _, late := range []float64{0, 300} {
		s := testSettings()
		s.Rules.MaxSendDelay = late
		s.Plans[0].Limit, s.Plans[0].Burst, s.Plans[0].Overdraft = 11, 36, 6
		g := newHarness(s)
		g.submit("read", "low", "", 1)
		v := g.scheduler.volumes["low"]
		if want := 11*(arrivalSkew+late)/1000 - 6; math.Abs(v.limitFloor-want) > 1e-9 {
			t.Errorf("late by %v: the store goes down to %v, want %v", late, v.limitFloor, want)
		}
	}
}
