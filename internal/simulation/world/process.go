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
	world        *World
	name         string
	id           uint64
	rng          *rand.Rand
	tasks        []*task
	idleTasks    []*task
	stalledTasks []*task // ready, but the process is stalled
	conns        []*conn
	listeners    []*listener
	clockOffset  time.Duration // what its clock is ahead
	clockRate    float64       // seconds of its clock in one
	stalled      bool
	dead         bool
	// Cores is what Processors tells; at least 1.
	Cores int
	// writesUntilCrash counts down the writes until the process dies with the last of them.
	writesUntilCrash int
	onCrash          func()
}

// StartProcess starts a process.
func (w *World) StartProcess(name string) *Process {
	p := &Process{world: w, name: name, id: uint64(len(w.processes)), Cores: 2, clockRate: 1, rng: rand.New(rand.NewPCG(w.seed, xxhash.Sum64String(name)))}
	w.processes = append(w.processes, p)
	return p
}

// Now implements env.Environment.
func (p *Process) Now() time.Duration {
	if p.clockRate == 1 {
		return p.world.now + p.clockOffset
	}
	return time.Duration(float64(p.world.now)*p.clockRate) + p.clockOffset
}

// SetClockRate has the process's clock run at so many times the world's, from its start on.
func (p *Process) SetClockRate(rate float64) { p.clockRate = rate }

// epoch is when every world begins.
var epoch = time.Unix(1_000_000_000, 0)

// Deadline implements env.Environment.
func (p *Process) Deadline(d time.Duration) time.Time { return epoch.Add(p.world.now + d) }

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
	if n := len(p.idleTasks); n > 0 {
		t = p.idleTasks[n-1]
		p.idleTasks = p.idleTasks[:n-1]
	} else {
		t = p.world.newTask(p)
	}
	t.fn = f
	p.world.wake(t)
}

// timer implements env.Timer.
type timer struct {
	proc     *Process
	callback func()
	stopped  bool
}

// Stop implements env.Timer.
func (t *timer) Stop() bool {
	wasStopped := t.stopped
	t.stopped = true
	return !wasStopped
}

func (t *timer) fire() {
	if t.stopped || t.proc.dead {
		return
	}
	t.stopped = true
	t.proc.Go(t.callback)
}

// AfterFunc implements env.Environment.
func (p *Process) AfterFunc(delay time.Duration, f func()) env.Timer {
	t := &timer{proc: p, callback: f}
	if p.clockRate != 1 {
		delay = time.Duration(float64(delay)/p.clockRate) + 1 // no earlier than its clock shows
	}
	p.world.pushEvent(event{at: p.world.now + max(delay, 0), timer: t})
	return t
}

// parker implements env.Parker.
type parker struct {
	world  *World
	waiter *task // that waits
	permit bool
}

// NewParker implements env.Environment.
func (p *Process) NewParker() env.Parker { return &parker{world: p.world} }

// Park implements env.Parker.
func (k *parker) Park() {
	if !k.permit {
		k.waiter = k.world.running
		k.world.parkRunning()
	}
	k.permit = false
}

// Unpark implements env.Parker.
func (k *parker) Unpark() {
	k.permit = true
	if t := k.waiter; t != nil {
		k.waiter = nil
		k.world.wake(t)
	}
}

// KillMode is how a process comes to its end.
type KillMode int

// The endings.
const (
	Crash    KillMode = iota // its machine closes its sockets
	HostLoss                 // the machine is gone with it: nobody is told anything
)

// Kill ends the process at once, wherever its goroutines are; nothing that they would
// still have done happens. Not from one of its own.
func (p *Process) Kill(mode KillMode) {
	if p.dead {
		return
	}
	p.world.hashEvent('k', p.id, int(mode))
	p.dead = true
	running := p.world.running
	for _, t := range p.tasks {
		if !t.dead {
			t.dead = true
			p.world.running = t
			t.stop()
		}
	}
	p.world.running = running
	for _, l := range p.listeners {
		l.shutdown()
	}
	for _, c := range p.conns {
		c.closeWithProcess(mode)
	}
	p.tasks, p.idleTasks, p.stalledTasks, p.conns, p.listeners = nil, nil, nil, nil, nil
}

// Dead tells whether the process has ended.
func (p *Process) Dead() bool { return p.dead }

// Stall has the process stand still for so long: its machine still takes bytes, and all
// that came due meanwhile happens as it wakes.
func (p *Process) Stall(duration time.Duration) {
	if p.dead || p.stalled {
		return
	}
	p.world.hashEvent('s', p.id, int(duration))
	p.stalled = true
	p.world.schedule(duration, func() {
		p.stalled = false
		tasks := p.stalledTasks
		p.stalledTasks = nil
		for _, t := range tasks {
			p.world.wake(t)
		}
	})
}

// AdvanceClock sets the process's clock forward: its timers come due so much earlier.
func (p *Process) AdvanceClock(d time.Duration) {
	p.world.hashEvent('j', p.id, int(d))
	p.clockOffset += d
	events := p.world.events
	for i := range events {
		if t := events[i].timer; t != nil && t.proc == p {
			events[i].at = max(p.world.now, events[i].at-d)
		}
	}
	for i := len(events)/2 - 1; i >= 0; i-- {
		p.world.siftDown(i)
	}
}

// CrashAfterWrites has the process end, like by Kill(Crash), as the bytes of its n-th
// write from now are on the wire; 0: no more. then is called as it happens.
func (p *Process) CrashAfterWrites(writes int, onCrash func()) {
	p.writesUntilCrash, p.onCrash = writes, onCrash
}

func (p *Process) countWrite() {
	if p.writesUntilCrash == 0 {
		return
	}
	if p.writesUntilCrash--; p.writesUntilCrash == 0 {
		p.world.immediate = append(p.world.immediate, func() {
			if !p.dead {
				p.onCrash()
				p.Kill(Crash)
			}
		})
	}
}
