package policy

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
)

// coldNodeSim simulates many hosts, which do not communicate, and one node that has just started.
type coldNodeSim struct {
	settings     Settings
	rng          *rand.Rand
	now          float64
	hosts        []*harness
	outcomes     []hostOutcome
	arrivalTimes []float64 // when requests of mean size arrived at the node
	hostsCreated int       // seed of the newest host
	shards       int       // only shard 0 has a node; below 2 all requests are for shard 0
}

// hostOutcome is an outcome to be delivered to a host at deliverAt.
type hostOutcome struct {
	deliverAt float64
	host      *harness
	outcome   Outcome
}

const nodeStartedAt = 999.0

// newHost returns a host that has just started and knows only the node list.
func (sim *coldNodeSim) newHost() *harness {
	sim.hostsCreated++
	h := &harness{scheduler: newScheduler(sim.settings, uint64(sim.hostsCreated)), now: sim.now, timers: map[string]float64{}}
	h.setNodes(Node{Addr: "n0", Health: Ready, Shard: 0, Started: nodeStartedAt})
	return h
}

// step advances one host to the current time, with a new request if withRequest is set, and lets its
// sends arrive. About a third of them first wait up to MaxSendDelay for their connection.
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

// run simulates duration ms at that rate, in requests a second of all hosts together. Hosts for which
// restart returns true are replaced by new ones.
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

// worstExcess returns the largest number of requests by which the arrivals within an OverloadWindow
// exceeded the node's capacity c by more than 2 sqrt(c) + 2, which chance accounts for.
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

// All hosts together must not send more to a node that has just started than it can take, for any
// number of hosts, while attempts wait for connections, and after restarts that lose the record of
// earlier sends.
func TestHostsTogetherKeepColdBudget(t *testing.T) {
	for _, hosts := range []int{3, 25, 120} {
		for name, restart := range map[string]func(now float64, i int) bool{
			"no restart":             func(float64, int) bool { return false },
			"most restart":           func(now float64, i int) bool { return now == 2500 && i%10 < 7 },
			"rolling restart":        func(now float64, i int) bool { return now == 1500+float64(i*5*(1000/hosts/5)) },
			"a third restarts twice": func(now float64, i int) bool { return (now == 1800 || now == 2400) && i%3 == 0 },
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
						t.Errorf("seed %d: %.1f requests more than the cold node can take, of %d sent; want none", seed, excess, len(sim.arrivalTimes))
					}
					if len(sim.arrivalTimes) < 40 {
						t.Errorf("seed %d: %d sends to the cold node, want at least 40", seed, len(sim.arrivalTimes))
					}
				}
			})
		}
	}
}

// Hundreds of hosts, each of which rarely sends to a cold node, must not overload it together, whatever
// its capacity, while rates rise, and after most hosts lost their learned state. They must still use a
// good part of its capacity.
func TestHundredsOfHostsAtAColdNode(t *testing.T) {
	const hosts, seeds = 900, 5
	noRestart := func(float64, int) bool { return false }
	for name, tt := range map[string]struct {
		coldUnits, rate, finalRate float64
		shards                     int
		restart                    func(now float64, i int) bool
		minSends                   int // with all seeds
	}{
		"no restart":     {60, 600, 600, 1, noRestart, 500},
		"small capacity": {6, 200, 200, 1, noRestart, 20},
		"large capacity": {200, 1500, 1500, 1, noRestart, 1500},
		"rate doubles":   {60, 60, 130, 160, noRestart, 500},
		"most restart":   {60, 600, 600, 16, func(now float64, i int) bool { return now == 2500 && i%10 < 7 }, 300},
		"all restart":    {60, 600, 600, 16, func(now float64, i int) bool { return now == 2500 }, 100},
		"low rate":       {60, 50, 50, 16, noRestart, 300},
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
					t.Errorf("seed %d: %.1f requests more than the cold node can take, of %d sent; want none", seed, excess, len(sim.arrivalTimes))
				}
				sends += len(sim.arrivalTimes)
			}
			if sends < tt.minSends {
				t.Errorf("%d sends to the cold node with all seeds, want more", sends)
			}
			t.Log(sends, "sends")
		})
	}
}

// A request that found no connection must be charged to its volume's limit again when it is sent again.
// The bucket has refilled meanwhile, so without a new charge more would pass than the limit admits.
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
	submit(1) // creates the volume's bucket, which then fills
	h.advance(5000)
	for range 4 {
		submit(0)
	}
	unreached := 0
	for range 8 { // n0 accepts no connection for two seconds
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
		t.Fatalf("%d attempts found no connection, want at least 3", unreached)
	}
	for shard := 1; shard < shards; shard++ {
		submit(shard)
		submit(shard)
	}
	sentUnits := 0.0
	for range 100 { // all nodes serve
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
		t.Errorf("sent %v units within a second, want 36 to %v", sentUnits, maxUnits)
	}
}

// Sends of a limited volume that waited for their connections can arrive close together. The floor of
// the limit's bucket must therefore rise by what the limit admits during the longest wait.
func TestLimitFloorAllowsForSendDelay(t *testing.T) {
	for _, maxDelay := range []float64{0, 300} {
		s := testSettings()
		s.Rules.MaxSendDelay = maxDelay
		s.Plans[0].Limit, s.Plans[0].Burst, s.Plans[0].Overdraft = 11, 36, 6
		h := newHarness(s)
		h.submit("read", "low", "", 1)
		buckets := h.scheduler.volumes["low"]
		if want := 11*(arrivalSkew+maxDelay)/1000 - 6; math.Abs(buckets.limitFloor-want) > 1e-9 {
			t.Errorf("MaxSendDelay %v ms: limit floor %v, want %v", maxDelay, buckets.limitFloor, want)
		}
	}
}
