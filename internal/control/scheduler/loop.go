// Package scheduler is the scheduler in service on a platform whose clients, disk servers
// and discovery speak HTTP/1.1: the configuration, the core that owns the module's
// instance, and the shells around it. Every decision on order, depth, sending, repeats,
// refusals, health, drains, cold disk servers and limits is the module's (package
// policy); what stands here tells it what happened and carries out what it says, and
// bounds descriptors, bytes and the time that a peer has to finish what it began.
package scheduler

import (
	"sync"
	"time"

	"merlinhitch/internal/runtime/env"
)

// loop is the one goroutine that owns the core, and what is posted to it.
type loop struct {
	world  env.Environment
	start  time.Duration // when the core's clock showed epoch
	wake   env.Parker
	done   env.Gate
	ticked func()
	log    *eventLog

	mu      sync.Mutex
	mailbox []event
	waiting []env.Parker // who has something to post and finds no room
	stopped bool

	alarm env.WakeTimer
}

// event is something to do on the loop, at the time at which it happened.
type event struct {
	at   float64
	kind eventKind
	do   func(at float64)
}

// mailboxLimit bounds what waits for the loop: its posters wait once it is reached.
const mailboxLimit = 1024

func newLoop(w env.Environment) *loop {
	return &loop{world: w, start: w.Now(), wake: w.NewParker()}
}

// now is the present time on the core's clock, ms.
func (l *loop) now() float64 { return epoch + env.MS(l.world.Now()-l.start) }

// post has f done on the loop. It waits while too much waits already, so the loop itself
// never calls it. It tells whether the loop takes events still.
func (l *loop) post(at float64, kind eventKind, f func(at float64)) bool {
	var p env.Parker
	for {
		l.mu.Lock()
		if l.stopped {
			l.mu.Unlock()
			return false
		}
		if len(l.mailbox) < mailboxLimit {
			l.mailbox = append(l.mailbox, event{at, kind, f})
			l.mu.Unlock()
			l.wake.Unpark()
			return true
		}
		if p == nil {
			p = l.world.NewParker()
		}
		l.waiting = append(l.waiting, p)
		l.mu.Unlock()
		p.Park()
	}
}

// collect takes what was posted and lets those post who waited.
func (l *loop) collect(room []event) []event {
	l.mu.Lock()
	defer l.mu.Unlock()
	events := l.mailbox
	l.mailbox = room[:0]
	for _, p := range l.waiting {
		p.Unpark()
	}
	l.waiting = l.waiting[:0]
	return events
}

func (l *loop) halted() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.stopped
}

// run serves the core until stop.
func (l *loop) run(k *core) {
	defer l.done.Open()
	var events []event
	for !l.halted() {
		l.wake.Park()
		events = l.collect(events)
		for i := range events {
			l.handle(&events[i])
			events[i] = event{}
			l.tick(k)
		}
		l.tick(k)
		l.ticked()
		l.alarm.Set(l.world, l.now(), k.next(), l.wake.Unpark)
	}
	l.alarm.Stop()
}

// tick does what has come due: before new work, for it is owed by its time.
func (l *loop) tick(k *core) {
	if due := k.next(); due <= l.now() {
		l.handle(&event{due, eventTick, func(float64) { k.tick(l.now()) }})
	}
}

// handle does one event and logs it if it was late.
func (l *loop) handle(e *event) {
	began := l.now()
	e.do(e.at)
	l.log.handled(e.kind, began-e.at, l.now()-began)
}

// stop ends the loop, from another goroutine.
func (l *loop) stop() {
	l.mu.Lock()
	l.stopped = true
	for _, p := range l.waiting {
		p.Unpark()
	}
	l.waiting = nil
	l.mu.Unlock()
	l.wake.Unpark()
	l.done.Wait(l.world)
}
