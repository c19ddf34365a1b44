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

func (sim *coldNodeSim) newHost() *harness {
	sim.hostsCreated++
	h := &harness{scheduler: newScheduler(sim.settings, uint64(sim.hostsCreated)), now: sim.now, timers: map[string]float64{}}
	h.setNodes(Node{Addr: "n0", Health: Ready, Shard: 0, Started: nodeStartedAt})
	return h
}

// step has time go by at one host and its sends arrive, some of them late: they wait for
// their connection.
func (sim *coldNodeSim) step(h *harness, withRequest bool) {
	h.advance(sim.now - h.now)
	if withRequest && sim.shards > 1 {
		h.requestCount++
		h.handle(Request{ID: fmt.Sprint("many", h.requestCount), Class: "read", Plan: "high", Volume: "v", Shard: sim.rng.IntN(sim.shards), Units: sim.settings.MeanUnits, Expires: sim.now + 2000, Hosts: 1})
	} else if withRequest {
		h.submit("read", "high", "", sim.settings.MeanUnits)
	}
	for _, a := range h.actions {
		send, ok := a.(Send)
		if !ok {
			continue
		}
		startTime := sim.now
		if sim.rng.IntN(3) == 0 {
			startTime += sim.rng.Float64() * sim.settings.Rules.MaxSendDelay
		}
		if startTime > send.StartBy {
			sim.outcomes = append(sim.outcomes, hostOutcome{startTime, h, Outcome{ID: send.ID, Node: send.Node, Result: NotSent}})
			continue
		}
		sim.arrivalTimes = append(sim.arrivalTimes, startTime)
		sim.outcomes = append(sim.outcomes, hostOutcome{startTime + 30, h, Outcome{ID: send.ID, Node: send.Node, Done: true, Elapsed: startTime + 30 - sim.now}})
	}
	h.actions = h.actions[:0]
}

func (sim *coldNodeSim) run(duration, rate float64, restart func(now float64, i int) bool) {
	const dt = 5.0
	for end := sim.now + duration; sim.now < end; sim.now += dt {
		for i := range sim.hosts {
			if restart(sim.now, i) {
				sim.hosts[i] = sim.newHost()
			}
			sim.step(sim.hosts[i], sim.rng.Float64() < rate*dt/1000/float64(len(sim.hosts)))
		}
		sim.outcomes = slices.DeleteFunc(sim.outcomes, func(d hostOutcome) bool {
			if d.deliverAt > sim.now {
				return false
			}
			d.host.now = max(d.host.now, sim.now)
			d.host.handle(d.outcome)
			return true
		})
	}
}

// worstExcess is by how many requests a window of the fall's length passed what may be put down
// to chance.
func (sim *coldNodeSim) worstExcess() (excess float64) {
	excess = math.Inf(-1)
	slices.Sort(sim.arrivalTimes)
	rules := sim.settings.Rules
	for i, windowStart := range sim.arrivalTimes {
		windowEnd, _ := slices.BinarySearch(sim.arrivalTimes, windowStart+rules.OverloadWindow)
		growth := 1 + (1-rules.ColdCapacity)/rules.ColdCapacity*(windowStart-nodeStartedAt)/rules.WarmUpTime
		capacity := rules.ColdUnits * growth / sim.settings.MeanUnits
		excess = max(excess, float64(windowEnd-i)-(capacity+2*math.Sqrt(capacity)+2))
	}
	return excess
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
					sim := &coldNodeSim{settings: s, rng: rand.New(rand.NewPCG(seed, 7)), now: 1000}
					for range hosts {
						sim.hosts = append(sim.hosts, sim.newHost())
					}
					sim.run(4000, 600, restart)
					if excess := sim.worstExcess(); excess > 0 {
						t.Errorf("seed %d: %.1f requests over, of %d", seed, excess, len(sim.arrivalTimes))
					}
					if len(sim.arrivalTimes) < 40 {
						t.Errorf("seed %d: only %d sends to the cold node", seed, len(sim.arrivalTimes))
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
	noRestart := func(float64, int) bool { return false }
	for name, tt := range map[string]struct {
		coldUnits, rate, finalRate float64
		shards                     int
		restart                    func(now float64, i int) bool
		minSends                   int // sends of all seeds
	}{
		"calm":       {60, 600, 600, 1, noRestart, 500},
		"few":        {6, 200, 200, 1, noRestart, 20},
		"many":       {200, 1500, 1500, 1, noRestart, 1500},
		"burst":      {60, 60, 130, 160, noRestart, 500},
		"killed":     {60, 600, 600, 16, func(now float64, i int) bool { return now == 2500 && i%10 < 7 }, 300},
		"all anew":   {60, 600, 600, 16, func(now float64, i int) bool { return now == 2500 }, 100},
		"under part": {60, 50, 50, 16, noRestart, 300},
	} {
		t.Run(name, func(t *testing.T) {
			sends := 0
			for seed := range uint64(seeds) {
				s := testSettings()
				s.Hosts, s.Shards, s.MeanUnits = hosts, tt.shards, 1
				s.Rules.OverloadWindow, s.Rules.ColdUnits, s.Rules.MaxSendDelay = 1000, tt.coldUnits, 300
				sim := &coldNodeSim{settings: s, rng: rand.New(rand.NewPCG(seed, 11)), now: 1000, shards: tt.shards}
				for range hosts {
					sim.hosts = append(sim.hosts, sim.newHost())
				}
				sim.run(2000, tt.rate*float64(tt.shards), tt.restart)
				sim.run(2000, tt.finalRate*float64(tt.shards), tt.restart)
				if excess := sim.worstExcess(); excess > 0 {
					t.Errorf("seed %d: %.1f requests over, of %d", seed, excess, len(sim.arrivalTimes))
				}
				sends += len(sim.arrivalTimes)
			}
			if sends < tt.minSends {
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
	h := newHarness(s)
	var nodes []Node
	for shard := range shards {
		nodes = append(nodes, Node{Addr: fmt.Sprint("n", shard), Health: Ready, Shard: shard})
	}
	h.setNodes(nodes...)
	submit := func(shard int) {
		h.requestCount++
		h.handle(Request{ID: fmt.Sprint(h.requestCount), Class: "read", Plan: "low", Volume: "v", Shard: shard, Units: 6, Expires: h.now + 9000, Hosts: 1})
	}
	submit(1) // the volume is known from now on, and its store fills
	h.advance(5000)
	for range 4 {
		submit(0)
	}
	unreached := 0
	for range 8 { // nothing comes up at n0 for two seconds
		var outcomes []Outcome
		for _, a := range h.actions {
			if send, ok := a.(Send); ok && send.Node == "n0" {
				outcomes = append(outcomes, Outcome{ID: send.ID, Node: "n0", Attempt: h.sendCount(send.ID) - 1, Result: NoConnection, Elapsed: 250})
			}
		}
		h.actions = nil
		unreached += len(outcomes)
		h.advance(250)
		for _, o := range outcomes {
			h.handle(o)
		}
	}
	if unreached < 3 {
		t.Fatalf("only %d attempts found no connection", unreached)
	}
	for shard := 1; shard < shards; shard++ {
		submit(shard)
		submit(shard)
	}
	sentUnits := 0.0
	for range 100 { // n0 works again, and so do the others
		for _, a := range h.actions {
			if send, ok := a.(Send); ok {
				sentUnits += 6
				h.handle(Outcome{ID: send.ID, Node: send.Node, Done: true, Elapsed: 5})
			}
		}
		h.actions = nil
		h.advance(10)
	}
	if maxUnits := 36 + 6 + 11*1.0; sentUnits > maxUnits || sentUnits < 36 {
		t.Errorf("%v units within a second, of %v that may pass", sentUnits, maxUnits)
	}
}

// Sends of a limited volume that wait for their connections come together where they
// arrive: the store goes that much less below zero.
func TestLimitFloorAllowsForSendDelay(t *testing.T) {
	for _, maxDelay := range []float64{0, 300} {
		s := testSettings()
		s.Rules.MaxSendDelay = maxDelay
		s.Plans[0].Limit, s.Plans[0].Burst, s.Plans[0].Overdraft = 11, 36, 6
		h := newHarness(s)
		h.submit("read", "low", "", 1)
		buckets := h.scheduler.volumes["low"]
		if want := 11*(arrivalSkew+maxDelay)/1000 - 6; math.Abs(buckets.limitFloor-want) > 1e-9 {
			t.Errorf("late by %v: the store goes down to %v, want %v", maxDelay, buckets.limitFloor, want)
		}
	}
}
