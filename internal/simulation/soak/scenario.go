package soak

import (
	"math/rand/v2"
	"time"
)

// DrawFaults draws the faults of a run from its seed: a release of the disk servers in steps,
// trouble of discovery, of disk servers and of the schedulers' processes, several at once.
func DrawFaults(o Options) []Fault {
	d := &faultGenerator{options: o, rng: rand.New(rand.NewPCG(o.Seed, 99))}
	d.addRelease()
	for range 2 + d.rng.IntN(2) {
		d.addDiscoveryFault()
	}
	for range 2 + d.rng.IntN(3) {
		d.addServerFault()
	}
	d.addProcessFaults()
	return d.faults
}

// faultGenerator is a run's faults as they are drawn.
type faultGenerator struct {
	options Options
	rng     *rand.Rand
	faults  []Fault
}

func (d *faultGenerator) addFault(at time.Duration, name string, do func(*Run)) {
	d.faults = append(d.faults, Fault{at, name, do})
}

// drawTime draws a time of the run between two parts of it.
func (d *faultGenerator) drawTime(from, to float64) time.Duration {
	return time.Duration((from + (to-from)*d.rng.Float64()) * float64(d.options.Duration))
}

func (d *faultGenerator) drawDuration(from, to time.Duration) time.Duration {
	return from + time.Duration(d.rng.Float64()*float64(to-from))
}

// drawServers draws so many servers, one at the least.
func (d *faultGenerator) drawServers(part float64) []int {
	n := max(int(part*float64(d.options.Servers)), 1)
	return d.rng.Perm(d.options.Servers)[:n]
}

// drawScheduler draws one drawScheduler.
func (d *faultGenerator) drawScheduler() int { return d.rng.IntN(d.options.Schedulers) }

// addRelease replaces a tenth of the servers in each step: they drain, are gone, end, and come
// back cold.
func (d *faultGenerator) addRelease() {
	at := d.drawTime(0.1, 0.3)
	gap := d.drawDuration(300*time.Millisecond, 900*time.Millisecond)
	for range 2 + d.rng.IntN(3) {
		step := d.drawServers(0.1)
		d.addFault(at, "servers drain", func(r *Run) { r.Directory.SetHealth(step, "leaving") })
		d.addFault(at+1200*time.Millisecond, "servers are gone", func(r *Run) { r.Directory.SetHealth(step, "left") })
		d.addFault(at+2000*time.Millisecond, "servers end", func(r *Run) { r.setBehaviour(step, Down) })
		d.addFault(at+2600*time.Millisecond, "servers are back", func(r *Run) {
			r.setBehaviour(step, Healthy)
			r.Directory.SetHealth(step, "active")
		})
		at += gap
	}
}

func (r *Run) setBehaviour(servers []int, b Behaviour) {
	for _, s := range servers {
		r.Servers.SetBehaviour(s, b)
	}
}

// addDiscoveryFault draws one trouble of addDiscoveryFault.
func (d *faultGenerator) addDiscoveryFault() {
	at, lasts := d.drawTime(0.05, 0.6), d.drawDuration(500*time.Millisecond, 4*time.Second)
	switch d.rng.IntN(3) {
	case 0:
		d.addFault(at, "discovery is down", func(r *Run) {
			for _, a := range r.currentAgents() {
				a.SetDown(true)
			}
		})
		d.addFault(at+lasts, "discovery is back", func(r *Run) {
			for _, a := range r.currentAgents() {
				a.SetDown(false)
			}
		})
	case 1:
		d.addFault(at, "watches fall silent", func(r *Run) {
			for _, a := range r.currentAgents() {
				a.SilenceWatches()
			}
		})
	case 2:
		d.addFault(at, "watches are reset", func(r *Run) {
			for _, a := range r.currentAgents() {
				a.ResetWatches()
			}
		})
	}
}

// addServerFault draws one trouble of some addServerFault.
func (d *faultGenerator) addServerFault() {
	at, lasts := d.drawTime(0.05, 0.7), d.drawDuration(500*time.Millisecond, 5*time.Second)
	kind := []Behaviour{Hung, Failing, Resetting, Rejecting, Down, Unreachable}[d.rng.IntN(6)]
	which := d.drawServers(0.05 + 0.25*d.rng.Float64())
	d.addFault(at, "servers are in trouble: "+kind.String(), func(r *Run) { r.setBehaviour(which, kind) })
	d.addFault(at+lasts, "servers are well again", func(r *Run) { r.setBehaviour(which, Healthy) })
}

// addProcessFaults draws what befalls the schedulers: a restart, a kill, a move of discovery,
// stalls, and on some seeds a crowd of clients that say nothing.
func (d *faultGenerator) addProcessFaults() {
	restarted, killed, moved := d.drawScheduler(), d.drawScheduler(), d.drawScheduler()
	d.addFault(d.drawTime(0.1, 0.5), "a scheduler is told to end", func(r *Run) { r.recordError(r.Restart(restarted)) })
	if killed != restarted {
		d.addFault(d.drawTime(0.1, 0.6), "a scheduler is killed", func(r *Run) { r.recordError(r.KillAndRestart(killed)) })
	}
	if moved != restarted && moved != killed {
		d.addFault(d.drawTime(0.1, 0.6), "a scheduler is sent to another discovery", func(r *Run) { r.recordError(r.MoveDiscovery(moved)) })
	}
	for range 6 {
		at, lasts, which := d.drawTime(0.02, 0.9), d.drawDuration(10*time.Millisecond, 150*time.Millisecond), d.drawScheduler()
		d.addFault(at, "a scheduler is held up", func(r *Run) { r.Pause(which, lasts) })
	}
	if d.rng.IntN(3) == 0 {
		at, which, n := d.drawTime(0.1, 0.5), d.drawScheduler(), d.options.Sockets
		d.addFault(at, "a crowd that says nothing", func(r *Run) { r.HoldIdleConnections(which, n, 3*time.Second) })
	}
}
