package soak

import (
	"math/rand/v2"
	"time"
)

// DrawFaults draws the faults of a run from its seed: a rolling release of the disk servers, and
// overlapping faults of discovery, of disk servers and of the scheduler processes.
func DrawFaults(options Options) []Fault {
	g := &faultGenerator{options: options, rng: rand.New(rand.NewPCG(options.Seed, 99))}
	g.addRelease()
	for range 2 + g.rng.IntN(2) {
		g.addDiscoveryFault()
	}
	for range 2 + g.rng.IntN(3) {
		g.addServerFault()
	}
	g.addProcessFaults()
	g.addSlowDiscovery()
	return g.faults
}

// faultGenerator collects the faults of a run.
type faultGenerator struct {
	options Options
	rng     *rand.Rand
	faults  []Fault
}

func (g *faultGenerator) addFault(offset time.Duration, name string, inject func(*Run)) {
	g.faults = append(g.faults, Fault{offset, name, inject})
}

// drawTime draws a time between two fractions of the run's duration.
func (g *faultGenerator) drawTime(from, to float64) time.Duration {
	return time.Duration((from + (to-from)*g.rng.Float64()) * float64(g.options.Duration))
}

func (g *faultGenerator) drawDuration(from, to time.Duration) time.Duration {
	return from + time.Duration(g.rng.Float64()*float64(to-from))
}

// drawServers draws that fraction of the servers, at least one.
func (g *faultGenerator) drawServers(fraction float64) []int {
	count := max(int(fraction*float64(g.options.Servers)), 1)
	return g.rng.Perm(g.options.Servers)[:count]
}

func (g *faultGenerator) drawScheduler() int { return g.rng.IntN(g.options.Schedulers) }

// addRelease replaces a tenth of the servers in each step: they drain, leave discovery, stop and
// return cold.
func (g *faultGenerator) addRelease() {
	start := g.drawTime(0.1, 0.3)
	stepInterval := g.drawDuration(300*time.Millisecond, 900*time.Millisecond)
	for range 2 + g.rng.IntN(3) {
		servers := g.drawServers(0.1)
		g.addFault(start, "servers drain", func(r *Run) { r.Directory.SetHealth(servers, "leaving") })
		g.addFault(start+1200*time.Millisecond, "servers leave discovery", func(r *Run) { r.Directory.SetHealth(servers, "left") })
		g.addFault(start+2000*time.Millisecond, "servers stop", func(r *Run) { r.setBehaviour(servers, Down) })
		g.addFault(start+2600*time.Millisecond, "servers return", func(r *Run) {
			r.setBehaviour(servers, Healthy)
			r.Directory.SetHealth(servers, "active")
		})
		start += stepInterval
	}
}

func (r *Run) setBehaviour(servers []int, behaviour Behaviour) {
	for _, server := range servers {
		r.Servers.SetBehaviour(server, behaviour)
	}
}

// addDiscoveryFault draws one fault of all discovery agents.
func (g *faultGenerator) addDiscoveryFault() {
	start, duration := g.drawTime(0.05, 0.6), g.drawDuration(500*time.Millisecond, 4*time.Second)
	switch g.rng.IntN(3) {
	case 0:
		g.addFault(start, "discovery is down", func(r *Run) {
			for _, agent := range r.currentAgents() {
				agent.SetDown(true)
			}
		})
		g.addFault(start+duration, "discovery is back", func(r *Run) {
			for _, agent := range r.currentAgents() {
				agent.SetDown(false)
			}
		})
	case 1:
		g.addFault(start, "watches go silent", func(r *Run) {
			for _, a := range r.currentAgents() {
				a.SilenceWatches()
			}
		})
	case 2:
		g.addFault(start, "watches are reset", func(r *Run) {
			for _, a := range r.currentAgents() {
				a.ResetWatches()
			}
		})
	}
}

// addServerFault draws one fault of some disk servers.
func (g *faultGenerator) addServerFault() {
	start, duration := g.drawTime(0.05, 0.7), g.drawDuration(500*time.Millisecond, 5*time.Second)
	behaviour := []Behaviour{Hung, Failing, Resetting, Rejecting, Down, Unreachable}[g.rng.IntN(6)]
	servers := g.drawServers(0.05 + 0.25*g.rng.Float64())
	g.addFault(start, "servers fail: "+behaviour.String(), func(r *Run) { r.setBehaviour(servers, behaviour) })
	g.addFault(start+duration, "servers recover", func(r *Run) { r.setBehaviour(servers, Healthy) })
}

// addProcessFaults draws faults of the schedulers: a restart, a kill, a move to another discovery
// agent, pauses, and on some seeds as many idle connections as the scheduler has sockets.
func (g *faultGenerator) addProcessFaults() {
	restarted, killed, moved := g.drawScheduler(), g.drawScheduler(), g.drawScheduler()
	g.addFault(g.drawTime(0.1, 0.5), "scheduler restarts", func(r *Run) { r.recordError(r.Restart(restarted)) })
	if killed != restarted {
		g.addFault(g.drawTime(0.1, 0.6), "scheduler is killed and restarts", func(r *Run) { r.recordError(r.KillAndRestart(killed)) })
	}
	if moved != restarted && moved != killed {
		g.addFault(g.drawTime(0.1, 0.6), "scheduler is moved to another discovery agent", func(r *Run) { r.recordError(r.MoveDiscovery(moved)) })
	}
	for range 6 {
		start, duration, scheduler := g.drawTime(0.02, 0.9), g.drawDuration(10*time.Millisecond, 150*time.Millisecond), g.drawScheduler()
		g.addFault(start, "scheduler is paused", func(r *Run) { r.Pause(scheduler, duration) })
	}
	if g.rng.IntN(3) == 0 {
		start, scheduler, connections := g.drawTime(0.1, 0.5), g.drawScheduler(), g.options.Sockets
		g.addFault(start, "idle connections to a scheduler", func(r *Run) { r.HoldIdleConnections(scheduler, connections, 3*time.Second) })
	}
}

// hostileSeedInterval: on every so many seeds there are hostile clients.
const hostileSeedInterval = 3

// hostileMachine is a machine on which hostile clients are played, and how many there may be of one
// kind.
type hostileMachine struct{ memoryMB, sockets, maxClients int }

var hostileMachines = []hostileMachine{{48, 1024, 600}, {32, 64, 100}, {192, 1024, 600}}

// DrawHostile adds, on some seeds, two kinds of hostile clients, and sets the machine.
func (o *Options) DrawHostile() {
	if o.Seed%hostileSeedInterval != 0 {
		return
	}
	rng := rand.New(rand.NewPCG(o.Seed, 98))
	machine := hostileMachines[rng.IntN(len(hostileMachines))]
	o.MemoryMB, o.Sockets = machine.memoryMB, machine.sockets
	first := int(o.Seed / hostileSeedInterval)
	for i := range 2 {
		kind := HostileKind((first*2 + i) % int(hostileKindCount))
		count := machine.maxClients/4 + rng.IntN(machine.maxClients*3/4)
		if kind.flooding() {
			count = 1 + rng.IntN(maxFloodingClients)
		}
		o.Hostile = append(o.Hostile, HostileGroup{kind, count})
	}
}
