package world

import (
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"

	"merlinhitch/internal/runtime/env"
)

// Process is a simulated process with its goroutines, timers, sockets and
// clock. It implements env.Environment.
type Process struct {
	world        *World
	name         string
	id           uint64
	rng          *rand.Rand
	tasks        []*task
	idleTasks    []*task
	stalledTasks []*task // ready to run, but the process is stalled
	conns        []*conn
	listeners    []*listener
	clockOffset  time.Duration // added to its clock
	clockRate    float64       // seconds of its clock per second of the world
	stalled      bool
	dead         bool
	// Cores is the result of Processors, at least 1.
	Cores int
	// writesUntilCrash counts down the writes; the process crashes after the last. 0: off.
	writesUntilCrash int
	onCrash          func()
}

// StartProcess adds a process. Its random source depends on the seed and the name only.
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

// SetClockRate makes the process's clock run at this rate of the world's clock, counted from time
// 0 of the world. Call it before the process reads its clock.
func (p *Process) SetClockRate(rate float64) { p.clockRate = rate }

// epoch is the wall-clock time of time 0.
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
		delay = time.Duration(float64(delay)/p.clockRate) + 1 // rounded up: a timer must not fire before its time on this clock
	}
	p.world.pushEvent(event{at: p.world.now + max(delay, 0), timer: t})
	return t
}

// parker implements env.Parker.
type parker struct {
	world  *World
	waiter *task // parked task
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

// KillMode is how a process is killed.
type KillMode int

const (
	Crash    KillMode = iota // its host closes its sockets
	HostLoss                 // its host vanishes: peers get neither FIN nor reset
)

// Kill ends the process at once, whatever its goroutines are doing. They unwind: their deferred
// functions run but cannot wait. Kill must not be called from a goroutine of the process.
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

// Dead reports whether the process was killed.
func (p *Process) Dead() bool { return p.dead }

// Stall stops the process's goroutines and timer callbacks for a duration. Its sockets still
// receive; all that became due meanwhile runs when it ends.
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

// AdvanceClock moves the process's clock and its pending timers forward. Read and write deadlines
// do not move.
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

// CrashAfterWrites kills the process as Kill(Crash) does, after its next writes-th write has been
// sent; onCrash is called just before. writes = 0 turns this off.
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
