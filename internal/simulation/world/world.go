// Package world is a machine room in one process: a virtual clock, timers, a network
// and processes under one queue of events, all drawn from one seed. The product's own
// shells and cores run in it through package env; what they run is the same code as
// on sockets. One goroutine runs at a time, and which one is next follows from the
// seed alone, so a run is the same at any number of processors.
//
// It never reads the machine's clock, its network or its random source, and it never
// decides anything for the product.
package world

import (
	"fmt"
	"iter"
	"math/rand/v2"
	"runtime/debug"
	"time"

	"github.com/cespare/xxhash/v2"
)

// World is one virtual machine room. It is used from one goroutine: that of Run, and
// those which Run runs.
type World struct {
	Steps        uint64    // events and turns of goroutines so far
	DefaultLink  LinkState // the network's ordinary state, for links that have none of their own
	now          time.Duration
	lastEventSeq uint64
	events       []event
	readyTasks   taskQueue
	running      *task
	rng          *rand.Rand
	seed         uint64
	digest       *xxhash.Digest
	processes    []*Process
	immediate    []func()

	listeners map[string]*listener
	aliases   map[string]*alias
	links     map[linkKey]*Link
	nextPort  int
	nextConn  uint64

	haltErr error
}

// event is something that happens at a time; equals happen in the order in which they
// were set.
type event struct {
	at     time.Duration
	seq    uint64
	action func()
	timer  *timer // of a process, which may be stalled, killed or its clock jump
}

// New makes an empty world. Equal seeds and equal programs make equal runs.
func New(seed uint64) *World {
	return &World{DefaultLink: LinkState{Delay: 100 * time.Microsecond, Jitter: 50 * time.Microsecond}, rng: rand.New(rand.NewPCG(seed, 31)), seed: seed,
		digest: xxhash.New(), listeners: map[string]*listener{}, aliases: map[string]*alias{}, links: map[linkKey]*Link{}, nextPort: 20000}
}

// Now is the time since the world began.
func (w *World) Now() time.Duration { return w.now }

// Digest is a hash of everything that has happened: times, turns and bytes on links.
func (w *World) Digest() uint64 { return w.digest.Sum64() }

// Halt ends Run with that error as soon as the present turn is over.
func (w *World) Halt(err error) {
	if w.haltErr == nil {
		w.haltErr = err
	}
}

// StuckError says that a run did not come to its end.
type StuckError struct {
	At       time.Duration
	NoEvents bool // nothing was left that could ever happen
}

func (e *StuckError) Error() string {
	if e.NoEvents {
		return fmt.Sprintf("world: nothing can happen any more at %.3f s", e.At.Seconds())
	}
	return fmt.Sprintf("world: not at its end by %.3f s", e.At.Seconds())
}

// CrashError is a panic of a program in the world.
type CrashError struct {
	Process string
	Value   any
	Stack   string
}

func (e *CrashError) Error() string {
	return fmt.Sprintf("world: %s crashed: %v\n%s", e.Process, e.Value, e.Stack)
}

// Run runs main in a process of that name until it returns, and everything else
// meanwhile. It fails when that takes more virtual time than most, when nothing can
// happen any more, when a program panics, or with what Halt was told. Afterwards every
// process is dead.
func (w *World) Run(name string, maxTime time.Duration, main func(p *Process)) error {
	defer w.killAll()
	mainDone := false
	p := w.StartProcess(name)
	p.Go(func() {
		main(p)
		mainDone = true
	})
	for w.haltErr == nil && !mainDone {
		if !w.step(maxTime) {
			return w.haltErr
		}
	}
	return w.haltErr
}

// step does the next thing; false if there is none, or it is too late for it.
func (w *World) step(maxTime time.Duration) bool {
	w.Steps++
	if len(w.immediate) > 0 {
		action := w.immediate[0]
		w.immediate = w.immediate[1:]
		action()
		return true
	}
	if t := w.readyTasks.pop(); t != nil {
		w.runTask(t)
		return true
	}
	if len(w.events) == 0 || w.events[0].at > maxTime {
		w.Halt(&StuckError{w.now, len(w.events) == 0})
		return false
	}
	next := w.popEvent()
	w.now = max(w.now, next.at)
	if next.timer != nil {
		next.timer.fire()
	} else {
		next.action()
	}
	return true
}

// killAll kills what still runs, so that no goroutine is left behind.
func (w *World) killAll() {
	for _, p := range w.processes {
		p.Kill(HostLoss)
	}
}

// hashEvent enters something that happened into the digest.
func (w *World) hashEvent(kind byte, id uint64, value int) {
	var b [25]byte
	b[0] = kind
	putUint64(b[1:], uint64(w.now))
	putUint64(b[9:], id)
	putUint64(b[17:], uint64(value))
	w.digest.Write(b[:])
}

func putUint64(b []byte, v uint64) {
	for i := range 8 {
		b[i] = byte(v >> (8 * i))
	}
}

// schedule has f happen d from now.
func (w *World) schedule(delay time.Duration, action func()) {
	w.pushEvent(event{at: w.now + max(delay, 0), action: action})
}

func (w *World) pushEvent(e event) {
	w.lastEventSeq++
	e.seq = w.lastEventSeq
	w.events = append(w.events, e)
	w.siftUp(len(w.events) - 1)
}

func (w *World) eventBefore(i, k int) bool {
	a, b := &w.events[i], &w.events[k]
	return a.at < b.at || a.at == b.at && a.seq < b.seq
}

func (w *World) siftUp(i int) {
	for i > 0 && w.eventBefore(i, (i-1)/2) {
		w.events[i], w.events[(i-1)/2] = w.events[(i-1)/2], w.events[i]
		i = (i - 1) / 2
	}
}

func (w *World) siftDown(i int) {
	for {
		smallest := i
		for k := 2*i + 1; k <= 2*i+2 && k < len(w.events); k++ {
			if w.eventBefore(k, smallest) {
				smallest = k
			}
		}
		if smallest == i {
			return
		}
		w.events[i], w.events[smallest] = w.events[smallest], w.events[i]
		i = smallest
	}
}

func (w *World) popEvent() event {
	first := w.events[0]
	last := len(w.events) - 1
	w.events[0], w.events[last] = w.events[last], event{}
	w.events = w.events[:last]
	w.siftDown(0)
	return first
}

// task is a goroutine of a process. It is used again for the process's next ones.
type task struct {
	proc   *Process
	index  int // among its process's
	fn     func()
	resume func() (struct{}, bool)
	stop   func()
	yield  func(struct{}) bool
	dead   bool
}

// processKilled unwinds the goroutines of a process that ends.
type processKilled struct{}

func (w *World) newTask(p *Process) *task {
	t := &task{proc: p, index: len(p.tasks)}
	t.resume, t.stop = iter.Pull(func(yield func(struct{}) bool) {
		t.yield = yield
		for {
			t.run()
			if t.dead {
				return
			}
			t.fn = nil
			p.idleTasks = append(p.idleTasks, t)
			if !yield(struct{}{}) {
				return
			}
		}
	})
	p.tasks = append(p.tasks, t)
	return t
}

func (t *task) run() {
	defer func() {
		value := recover()
		if value == nil {
			return
		}
		if _, ok := value.(processKilled); ok {
			return
		}
		t.dead = true
		t.proc.world.Halt(&CrashError{t.proc.name, value, string(debug.Stack())})
	}()
	t.fn()
}

// runTask lets a goroutine run until it waits.
func (w *World) runTask(t *task) {
	w.hashEvent('t', t.proc.id, t.index)
	w.running = t
	t.resume()
	w.running = nil
}

// parkRunning has the running goroutine wait until it is made ready.
func (w *World) parkRunning() {
	t := w.running
	if t == nil {
		panic("world: a wait outside of a goroutine of the world")
	}
	if t.dead || !t.yield(struct{}{}) {
		t.dead = true
		panic(processKilled{})
	}
}

// wake makes a goroutine ready.
func (w *World) wake(t *task) {
	switch {
	case t.dead:
	case t.proc.stalled:
		t.proc.stalledTasks = append(t.proc.stalledTasks, t)
	default:
		w.readyTasks.push(t)
	}
}

// taskQueue is a queue of goroutines that can run.
type taskQueue struct {
	tasks []*task
	head  int
}

func (q *taskQueue) push(t *task) { q.tasks = append(q.tasks, t) }

func (q *taskQueue) pop() *task {
	for q.head < len(q.tasks) {
		t := q.tasks[q.head]
		q.tasks[q.head] = nil
		q.head++
		if q.head == len(q.tasks) {
			q.tasks, q.head = q.tasks[:0], 0
		}
		switch {
		case t.dead:
		case t.proc.stalled:
			t.proc.stalledTasks = append(t.proc.stalledTasks, t)
		default:
			return t
		}
	}
	return nil
}
