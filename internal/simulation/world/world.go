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
	Steps  uint64 // events and turns of goroutines so far
	Net    Net    // the network's ordinary state, for links that have none of their own
	now    time.Duration
	seq    uint64
	queue  []event
	ready  fifo
	cur    *task
	rng    *rand.Rand
	seed   uint64
	digest *xxhash.Digest
	procs  []*Process
	urgent []func()

	listeners map[string]*listener
	aliases   map[string]*alias
	links     map[linkKey]*Link
	nextPort  int
	nextConn  uint64

	halted error
}

// event is something that happens at a time; equals happen in the order in which they
// were set.
type event struct {
	at    time.Duration
	seq   uint64
	f     func()
	timer *timer // of a process, which may be stalled, killed or its clock jump
}

// New makes an empty world. Equal seeds and equal programs make equal runs.
func New(seed uint64) *World {
	return &World{Net: Net{Delay: 100 * time.Microsecond, Jitter: 50 * time.Microsecond}, rng: rand.New(rand.NewPCG(seed, 31)), seed: seed,
		digest: xxhash.New(), listeners: map[string]*listener{}, aliases: map[string]*alias{}, links: map[linkKey]*Link{}, nextPort: 20000}
}

// Now is the time since the world began.
func (w *World) Now() time.Duration { return w.now }

// Digest is a hash of everything that has happened: times, turns and bytes on links.
func (w *World) Digest() uint64 { return w.digest.Sum64() }

// Halt ends Run with that error as soon as the present turn is over.
func (w *World) Halt(err error) {
	if w.halted == nil {
		w.halted = err
	}
}

// StuckError says that a run did not come to its end.
type StuckError struct {
	At   time.Duration
	Idle bool // nothing was left that could ever happen
}

func (e *StuckError) Error() string {
	if e.Idle {
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
func (w *World) Run(name string, most time.Duration, main func(p *Process)) error {
	defer w.end()
	over := false
	p := w.Process(name)
	p.Go(func() {
		main(p)
		over = true
	})
	for w.halted == nil && !over {
		if !w.step(most) {
			return w.halted
		}
	}
	return w.halted
}

// step does the next thing; false if there is none, or it is too late for it.
func (w *World) step(most time.Duration) bool {
	w.Steps++
	if len(w.urgent) > 0 {
		f := w.urgent[0]
		w.urgent = w.urgent[1:]
		f()
		return true
	}
	if t := w.ready.pop(); t != nil {
		w.turn(t)
		return true
	}
	if len(w.queue) == 0 || w.queue[0].at > most {
		w.Halt(&StuckError{w.now, len(w.queue) == 0})
		return false
	}
	e := w.pop()
	w.now = max(w.now, e.at)
	if e.timer != nil {
		e.timer.fire()
	} else {
		e.f()
	}
	return true
}

// end kills what still runs, so that no goroutine is left behind.
func (w *World) end() {
	for _, p := range w.procs {
		p.Kill(Silent)
	}
}

// mark enters something that happened into the digest.
func (w *World) mark(kind byte, who uint64, n int) {
	var b [25]byte
	b[0] = kind
	put(b[1:], uint64(w.now))
	put(b[9:], who)
	put(b[17:], uint64(n))
	w.digest.Write(b[:])
}

func put(b []byte, v uint64) {
	for i := range 8 {
		b[i] = byte(v >> (8 * i))
	}
}

// at has f happen d from now.
func (w *World) at(d time.Duration, f func()) { w.push(event{at: w.now + max(d, 0), f: f}) }

func (w *World) push(e event) {
	w.seq++
	e.seq = w.seq
	w.queue = append(w.queue, e)
	w.up(len(w.queue) - 1)
}

func (w *World) before(i, k int) bool {
	a, b := &w.queue[i], &w.queue[k]
	return a.at < b.at || a.at == b.at && a.seq < b.seq
}

func (w *World) up(i int) {
	for i > 0 && w.before(i, (i-1)/2) {
		w.queue[i], w.queue[(i-1)/2] = w.queue[(i-1)/2], w.queue[i]
		i = (i - 1) / 2
	}
}

func (w *World) down(i int) {
	for {
		least := i
		for k := 2*i + 1; k <= 2*i+2 && k < len(w.queue); k++ {
			if w.before(k, least) {
				least = k
			}
		}
		if least == i {
			return
		}
		w.queue[i], w.queue[least] = w.queue[least], w.queue[i]
		i = least
	}
}

func (w *World) pop() event {
	e := w.queue[0]
	last := len(w.queue) - 1
	w.queue[0], w.queue[last] = w.queue[last], event{}
	w.queue = w.queue[:last]
	w.down(0)
	return e
}

// task is a goroutine of a process. It is used again for the process's next ones.
type task struct {
	proc  *Process
	slot  int // among its process's
	f     func()
	next  func() (struct{}, bool)
	stop  func()
	yield func(struct{}) bool
	dead  bool
}

// killed unwinds the goroutines of a process that ends.
type killed struct{}

func (w *World) newTask(p *Process) *task {
	t := &task{proc: p, slot: len(p.tasks)}
	t.next, t.stop = iter.Pull(func(yield func(struct{}) bool) {
		t.yield = yield
		for {
			t.run()
			if t.dead {
				return
			}
			t.f = nil
			p.idle = append(p.idle, t)
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
		r := recover()
		if r == nil {
			return
		}
		if _, ok := r.(killed); ok {
			return
		}
		t.dead = true
		t.proc.w.Halt(&CrashError{t.proc.name, r, string(debug.Stack())})
	}()
	t.f()
}

// turn lets a goroutine run until it waits.
func (w *World) turn(t *task) {
	w.mark('t', t.proc.id, t.slot)
	w.cur = t
	t.next()
	w.cur = nil
}

// park has the running goroutine wait until it is made ready.
func (w *World) park() {
	t := w.cur
	if t == nil {
		panic("world: a wait outside of a goroutine of the world")
	}
	if t.dead || !t.yield(struct{}{}) {
		t.dead = true
		panic(killed{})
	}
}

// wake makes a goroutine ready.
func (w *World) wake(t *task) {
	switch {
	case t.dead:
	case t.proc.stalled:
		t.proc.held = append(t.proc.held, t)
	default:
		w.ready.push(t)
	}
}

// fifo is a queue of goroutines that can run.
type fifo struct {
	list []*task
	head int
}

func (q *fifo) push(t *task) { q.list = append(q.list, t) }

func (q *fifo) pop() *task {
	for q.head < len(q.list) {
		t := q.list[q.head]
		q.list[q.head] = nil
		q.head++
		if q.head == len(q.list) {
			q.list, q.head = q.list[:0], 0
		}
		switch {
		case t.dead:
		case t.proc.stalled:
			t.proc.held = append(t.proc.held, t)
		default:
			return t
		}
	}
	return nil
}
