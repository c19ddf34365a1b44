// Package world simulates hosts and a network in one process: a virtual clock, timers, connections
// and processes run from one event queue. The program's own cores and shells run in it unchanged
// through package env.
//
// One goroutine runs at a time, and the seed alone determines which one is next, so a run is the same
// at any number of processors. The machine's clock, network and random source are not used.
package world

import (
	"fmt"
	"iter"
	"math/rand/v2"
	"runtime/debug"
	"time"

	"github.com/cespare/xxhash/v2"
)

// World is one simulation. It may be used only by the caller of Run and by the goroutines that
// Run runs.
type World struct {
	Steps        uint64    // events and task runs so far
	DefaultLink  LinkState // initial state of links
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

// event is a callback at a time. Events of the same time run in the order in which they were
// scheduled.
type event struct {
	at     time.Duration
	seq    uint64
	action func()
	timer  *timer // of a process, which may be stalled or killed or have its clock advanced
}

// New returns an empty world. The same seed and the same programs give the same run.
func New(seed uint64) *World {
	return &World{DefaultLink: LinkState{Delay: 100 * time.Microsecond, Jitter: 50 * time.Microsecond}, rng: rand.New(rand.NewPCG(seed, 31)), seed: seed,
		digest: xxhash.New(), listeners: map[string]*listener{}, aliases: map[string]*alias{}, links: map[linkKey]*Link{}, nextPort: 20000}
}

// Now returns the virtual time since the start.
func (w *World) Now() time.Duration { return w.now }

// Digest returns a hash of the run so far: event times, task runs and bytes on links.
func (w *World) Digest() uint64 { return w.digest.Sum64() }

// Halt makes Run return err once the current event or task run is over. Only the first call counts.
func (w *World) Halt(err error) {
	if w.haltErr == nil {
		w.haltErr = err
	}
}

// StuckError reports that main did not return.
type StuckError struct {
	At       time.Duration
	NoEvents bool // no task was ready and no event pending
}

func (e *StuckError) Error() string {
	if e.NoEvents {
		return fmt.Sprintf("world: no task is ready and no event is pending at %.3f s", e.At.Seconds())
	}
	return fmt.Sprintf("world: main has not returned by the time limit, last event at %.3f s", e.At.Seconds())
}

// CrashError reports a panic in a process.
type CrashError struct {
	Process string
	Value   any
	Stack   string
}

func (e *CrashError) Error() string {
	return fmt.Sprintf("world: process %s panicked: %v\n%s", e.Process, e.Value, e.Stack)
}

// Run runs main in a new process until it returns, and all other processes meanwhile. It fails if
// virtual time would exceed maxTime, no event is left, a process panics or Halt is called. In the
// end it kills all processes.
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

// step runs one callback, task or event. It returns false if there is none, or if the next event is
// later than maxTime.
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

// killAll kills all processes, so that no goroutine leaks.
func (w *World) killAll() {
	for _, p := range w.processes {
		p.Kill(HostLoss)
	}
}

// hashEvent adds an event to the digest.
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

// schedule runs action after delay.
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

// task is a goroutine of a process. Once its function has returned it is reused.
type task struct {
	proc   *Process
	index  int // in Process.tasks
	fn     func()
	resume func() (struct{}, bool)
	stop   func()
	yield  func(struct{}) bool
	dead   bool
}

// processKilled is the panic value that unwinds the goroutines of a killed process.
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

// runTask runs a task until it parks.
func (w *World) runTask(t *task) {
	w.hashEvent('t', t.proc.id, t.index)
	w.running = t
	t.resume()
	w.running = nil
}

// parkRunning parks the running task until wake is called for it.
func (w *World) parkRunning() {
	t := w.running
	if t == nil {
		panic("world: park outside of a task")
	}
	if t.dead || !t.yield(struct{}{}) {
		t.dead = true
		panic(processKilled{})
	}
}

// wake makes a task ready, or defers that to the end of its process's stall.
func (w *World) wake(t *task) {
	switch {
	case t.dead:
	case t.proc.stalled:
		t.proc.stalledTasks = append(t.proc.stalledTasks, t)
	default:
		w.readyTasks.push(t)
	}
}

// taskQueue is a FIFO queue of ready tasks.
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
