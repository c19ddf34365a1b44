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
	environment env.Environment
	startedAt   time.Duration // when the core's clock showed epoch
	wake        env.Parker
	done        env.Gate
	afterBatch  func()
	log         *eventLog

	mu             sync.Mutex
	queue          []event
	blockedPosters []env.Parker // who has something to post and finds no room
	stopped        bool

	alarm env.WakeTimer
}

// event is something to do on the loop, at the time at which it happened.
type event struct {
	occurredAt float64
	kind       eventKind
	run        func(occurredAt float64)
}

// maxQueuedEvents bounds what waits for the loop: its posters wait once it is reached.
const maxQueuedEvents = 1024

func newLoop(w env.Environment) *loop {
	return &loop{environment: w, startedAt: w.Now(), wake: w.NewParker()}
}

// now is the present time on the core's clock, ms.
func (l *loop) now() float64 { return clockAtStart + env.MS(l.environment.Now()-l.startedAt) }

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
		if len(l.queue) < maxQueuedEvents {
			l.queue = append(l.queue, event{at, kind, f})
			l.mu.Unlock()
			l.wake.Unpark()
			return true
		}
		if p == nil {
			p = l.environment.NewParker()
		}
		l.blockedPosters = append(l.blockedPosters, p)
		l.mu.Unlock()
		p.Park()
	}
}

// takeQueued takes what was posted and lets those post who waited.
func (l *loop) takeQueued(buffer []event) []event {
	l.mu.Lock()
	defer l.mu.Unlock()
	events := l.queue
	l.queue = buffer[:0]
	for _, p := range l.blockedPosters {
		p.Unpark()
	}
	l.blockedPosters = l.blockedPosters[:0]
	return events
}

func (l *loop) isStopped() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.stopped
}

// run serves the core until stop.
func (l *loop) run(k *core) {
	defer l.done.Open()
	var events []event
	for !l.isStopped() {
		l.wake.Park()
		events = l.takeQueued(events)
		for i := range events {
			l.handle(&events[i])
			events[i] = event{}
			l.runDue(k)
		}
		l.runDue(k)
		l.afterBatch()
		l.alarm.Set(l.environment, l.now(), k.nextDue(), l.wake.Unpark)
	}
	l.alarm.Stop()
}

// runDue does what has come due: before new work, for it is owed by its time.
func (l *loop) runDue(k *core) {
	if due := k.nextDue(); due <= l.now() {
		l.handle(&event{due, eventTick, func(float64) { k.runDue(l.now()) }})
	}
}

// handle does one event and logs it if it was late.
func (l *loop) handle(e *event) {
	start := l.now()
	e.run(e.occurredAt)
	l.log.eventLate(e.kind, start-e.occurredAt, l.now()-start)
}

// stop ends the loop, from another goroutine.
func (l *loop) stop() {
	l.mu.Lock()
	l.stopped = true
	for _, p := range l.blockedPosters {
		p.Unpark()
	}
	l.blockedPosters = nil
	l.mu.Unlock()
	l.wake.Unpark()
	l.done.Wait(l.environment)
}
