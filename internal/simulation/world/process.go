package world

import (
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"

	"merlinhitch/internal/runtime/env"
)

// Process is a program's place in the world: its goroutines, timers, sockets and its
// view of the clock. It implements env.Environment.
type Process struct {
	w       *World
	name    string
	id      uint64
	rng     *rand.Rand
	tasks   []*task
	idle    []*task
	held    []*task // ready, but the process is stalled
	conns   []*conn
	ports   []*listener
	skew    time.Duration // what its clock is ahead
	pace    float64       // seconds of its clock in one
	stalled bool
	dead    bool
	// Cores is what Processors tells; at least 1.
	Cores int
	// leaves counts down the writes until the process dies with the last of them.
	leaves int
	left   func()
}

// Process starts a process.
func (w *World) Process(name string) *Process {
	p := &Process{w: w, name: name, id: uint64(len(w.procs)), Cores: 2, pace: 1, rng: rand.New(rand.NewPCG(w.seed, xxhash.Sum64String(name)))}
	w.procs = append(w.procs, p)
	return p
}

// Now implements env.Environment.
func (p *Process) Now() time.Duration {
	if p.pace == 1 {
		return p.w.now + p.skew
	}
	return time.Duration(float64(p.w.now)*p.pace) + p.skew
}

// Pace has the process's clock run at so many times the world's, from its start on.
func (p *Process) Pace(x float64) { p.pace = x }

// epoch is when every world begins.
var epoch = time.Unix(1_000_000_000, 0)

// Deadline implements env.Environment.
func (p *Process) Deadline(d time.Duration) time.Time { return epoch.Add(p.w.now + d) }

// RandomUint64 implements env.Environment.
func (p *Process) RandomUint64() uint64 { return p.rng.Uint64() }

// Processors implements env.Environment.
func (p *Process) Processors() int { return p.Cores }

// Go implements env.Environment.
func (p *Process) Go(f func()) {
	if p.dead {
		return
	}
	var t *task
	if n := len(p.idle); n > 0 {
		t = p.idle[n-1]
		p.idle = p.idle[:n-1]
	} else {
		t = p.w.newTask(p)
	}
	t.f = f
	p.w.wake(t)
}

// timer implements env.Timer.
type timer struct {
	p       *Process
	f       func()
	stopped bool
}

// Stop implements env.Timer.
func (t *timer) Stop() bool {
	was := t.stopped
	t.stopped = true
	return !was
}

func (t *timer) fire() {
	if t.stopped || t.p.dead {
		return
	}
	t.stopped = true
	t.p.Go(t.f)
}

// AfterFunc implements env.Environment.
func (p *Process) AfterFunc(d time.Duration, f func()) env.Timer {
	t := &timer{p: p, f: f}
	if p.pace != 1 {
		d = time.Duration(float64(d)/p.pace) + 1 // no earlier than its clock shows
	}
	p.w.push(event{at: p.w.now + max(d, 0), timer: t})
	return t
}

// parker implements env.Parker.
type parker struct {
	w     *World
	t     *task // that waits
	token bool
}

// NewParker implements env.Environment.
func (p *Process) NewParker() env.Parker { return &parker{w: p.w} }

// Park implements env.Parker.
func (k *parker) Park() {
	if !k.token {
		k.t = k.w.cur
		k.w.park()
	}
	k.token = false
}

// Unpark implements env.Parker.
func (k *parker) Unpark() {
	k.token = true
	if t := k.t; t != nil {
		k.t = nil
		k.w.wake(t)
	}
}

// Ending is how a process comes to its end.
type Ending int

// The endings.
const (
	Crash  Ending = iota // its machine closes its sockets
	Silent               // the machine is gone with it: nobody is told anything
)

// Kill ends the process at once, wherever its goroutines are; nothing that they would
// still have done happens. Not from one of its own.
func (p *Process) Kill(how Ending) {
	if p.dead {
		return
	}
	p.w.mark('k', p.id, int(how))
	p.dead = true
	was := p.w.cur
	for _, t := range p.tasks {
		if !t.dead {
			t.dead = true
			p.w.cur = t
			t.stop()
		}
	}
	p.w.cur = was
	for _, l := range p.ports {
		l.shut()
	}
	for _, c := range p.conns {
		c.abandon(how)
	}
	p.tasks, p.idle, p.held, p.conns, p.ports = nil, nil, nil, nil, nil
}

// Dead tells whether the process has ended.
func (p *Process) Dead() bool { return p.dead }

// Stall has the process stand still for so long: its machine still takes bytes, and all
// that came due meanwhile happens as it wakes.
func (p *Process) Stall(d time.Duration) {
	if p.dead || p.stalled {
		return
	}
	p.w.mark('s', p.id, int(d))
	p.stalled = true
	p.w.at(d, func() {
		p.stalled = false
		held := p.held
		p.held = nil
		for _, t := range held {
			p.w.wake(t)
		}
	})
}

// Jump sets the process's clock forward: its timers come due so much earlier.
func (p *Process) Jump(d time.Duration) {
	p.w.mark('j', p.id, int(d))
	p.skew += d
	q := p.w.queue
	for i := range q {
		if t := q[i].timer; t != nil && t.p == p {
			q[i].at = max(p.w.now, q[i].at-d)
		}
	}
	for i := len(q)/2 - 1; i >= 0; i-- {
		p.w.down(i)
	}
}

// DieAfterWrites has the process end, like by Kill(Crash), as the bytes of its n-th
// write from now are on the wire; 0: no more. then is called as it happens.
func (p *Process) DieAfterWrites(n int, then func()) { p.leaves, p.left = n, then }

func (p *Process) wrote() {
	if p.leaves == 0 {
		return
	}
	if p.leaves--; p.leaves == 0 {
		p.w.urgent = append(p.w.urgent, func() {
			if !p.dead {
				p.left()
				p.Kill(Crash)
			}
		})
	}
}
