package soak

import (
	"math/rand/v2"
	"time"
)

// Draw draws the faults of a run from its seed: a release of the disk servers in steps,
// trouble of discovery, of disk servers and of the schedulers' processes, several at once.
func Draw(o Options) []Fault {
	d := &drawing{o: o, rng: rand.New(rand.NewPCG(o.Seed, 99))}
	d.release()
	for range 2 + d.rng.IntN(2) {
		d.discovery()
	}
	for range 2 + d.rng.IntN(3) {
		d.servers()
	}
	d.processes()
	return d.faults
}

// drawing is a run's faults as they are drawn.
type drawing struct {
	o      Options
	rng    *rand.Rand
	faults []Fault
}

func (d *drawing) add(at time.Duration, name string, do func(*Run)) {
	d.faults = append(d.faults, Fault{at, name, do})
}

// when draws a time of the run between two parts of it.
func (d *drawing) when(from, to float64) time.Duration {
	return time.Duration((from + (to-from)*d.rng.Float64()) * float64(d.o.Lasts))
}

func (d *drawing) span(from, to time.Duration) time.Duration {
	return from + time.Duration(d.rng.Float64()*float64(to-from))
}

// some draws so many servers, one at the least.
func (d *drawing) some(part float64) []int {
	n := max(int(part*float64(d.o.Servers)), 1)
	return d.rng.Perm(d.o.Servers)[:n]
}

// scheduler draws one scheduler.
func (d *drawing) scheduler() int { return d.rng.IntN(d.o.Schedulers) }

// release replaces a tenth of the servers in each step: they drain, are gone, end, and come
// back cold.
func (d *drawing) release() {
	at := d.when(0.1, 0.3)
	gap := d.span(300*time.Millisecond, 900*time.Millisecond)
	for range 2 + d.rng.IntN(3) {
		step := d.some(0.1)
		d.add(at, "servers drain", func(r *Run) { r.Directory.Change(step, "leaving") })
		d.add(at+1200*time.Millisecond, "servers are gone", func(r *Run) { r.Directory.Change(step, "left") })
		d.add(at+2000*time.Millisecond, "servers end", func(r *Run) { r.behave(step, Down) })
		d.add(at+2600*time.Millisecond, "servers are back", func(r *Run) {
			r.behave(step, Well)
			r.Directory.Change(step, "active")
		})
		at += gap
	}
}

func (r *Run) behave(servers []int, b Behaviour) {
	for _, s := range servers {
		r.Servers.Behave(s, b)
	}
}

// discovery draws one trouble of discovery.
func (d *drawing) discovery() {
	at, lasts := d.when(0.05, 0.6), d.span(500*time.Millisecond, 4*time.Second)
	switch d.rng.IntN(3) {
	case 0:
		d.add(at, "discovery is down", func(r *Run) {
			for _, a := range r.following() {
				a.SetDown(true)
			}
		})
		d.add(at+lasts, "discovery is back", func(r *Run) {
			for _, a := range r.following() {
				a.SetDown(false)
			}
		})
	case 1:
		d.add(at, "watches fall silent", func(r *Run) {
			for _, a := range r.following() {
				a.Silence()
			}
		})
	case 2:
		d.add(at, "watches are reset", func(r *Run) {
			for _, a := range r.following() {
				a.ResetWatches()
			}
		})
	}
}

// servers draws one trouble of some servers.
func (d *drawing) servers() {
	at, lasts := d.when(0.05, 0.7), d.span(500*time.Millisecond, 5*time.Second)
	kind := []Behaviour{Hung, Erring, Resetting, Rejecting, Down, Dark}[d.rng.IntN(6)]
	which := d.some(0.05 + 0.25*d.rng.Float64())
	d.add(at, "servers are in trouble: "+kind.String(), func(r *Run) { r.behave(which, kind) })
	d.add(at+lasts, "servers are well again", func(r *Run) { r.behave(which, Well) })
}

// processes draws what befalls the schedulers: a restart, a kill, a move of discovery,
// stalls, and on some seeds a crowd of clients that say nothing.
func (d *drawing) processes() {
	restarted, killed, moved := d.scheduler(), d.scheduler(), d.scheduler()
	d.add(d.when(0.1, 0.5), "a scheduler is told to end", func(r *Run) { r.must(r.Restart(restarted)) })
	if killed != restarted {
		d.add(d.when(0.1, 0.6), "a scheduler is killed", func(r *Run) { r.must(r.KillAndStart(killed)) })
	}
	if moved != restarted && moved != killed {
		d.add(d.when(0.1, 0.6), "a scheduler is sent to another discovery", func(r *Run) { r.must(r.MoveDiscovery(moved)) })
	}
	for range 6 {
		at, lasts, which := d.when(0.02, 0.9), d.span(10*time.Millisecond, 150*time.Millisecond), d.scheduler()
		d.add(at, "a scheduler is held up", func(r *Run) { r.Stall(which, lasts) })
	}
	if d.rng.IntN(3) == 0 {
		at, which, n := d.when(0.1, 0.5), d.scheduler(), d.o.Sockets
		d.add(at, "a crowd that says nothing", func(r *Run) { r.Crowd(which, n, 3*time.Second) })
	}
}
