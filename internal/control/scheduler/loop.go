// Package scheduler runs a storage scheduler on a platform whose clients, disk servers and
// discovery service speak HTTP/1.1. It holds the configuration, the core that owns the
// instance of policy.Scheduler, and the network code around it. All decisions on order,
// depth, sending, retries, refusals, health, drains, cold disk servers and limits are made by
// package policy. This package reports events to the policy and carries out its actions; it
// bounds file descriptors, memory and the time that a peer has to complete a message.
package scheduler

import (
	"time"

	"merlinhitch/internal/runtime/env"
	"merlinhitch/internal/runtime/locks"
)

// loop is the event loop: the goroutine that owns the core, and the queue of events posted to it.
type loop struct {
	environment env.Environment
	startedAt   time.Duration // environment time at which the core's clock showed clockAtStart
	wake        env.Parker
	done        env.Gate
	afterBatch  func() // called on the loop after each batch of events
	log         *eventLog

	mu             locks.Mutex
	queue          []event
	blockedPosters []env.Parker // goroutines that wait in post for room in the queue
	stopped        bool

	alarm env.WakeTimer
}

// event is a function to run on the loop, with the time at which its cause occurred.
type event struct {
	occurredAt float64
	kind       eventKind
	run        func(occurredAt float64)
}

// maxQueuedEvents bounds the queue; post blocks while it is full.
const maxQueuedEvents = 1024

func newLoop(w env.Environment) *loop {
	return &loop{environment: w, startedAt: w.Now(), wake: w.NewParker()}
}

// now returns the current time on the core's clock, ms.
func (l *loop) now() float64 { return clockAtStart + env.MS(l.environment.Now()-l.startedAt) }

// post queues f to run on the loop. It blocks while the queue is full, so the loop itself must
// not call it. It returns false if the loop has stopped.
func (l *loop) post(occurredAt float64, kind eventKind, f func(occurredAt float64)) bool {
	var p env.Parker
	for {
		l.mu.Lock()
		if l.stopped {
			l.mu.Unlock()
			return false
		}
		if len(l.queue) < maxQueuedEvents {
			l.queue = append(l.queue, event{occurredAt, kind, f})
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

// takeQueued returns the queued events, reuses buffer for the next ones and wakes blocked posters.
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

// run handles events and due timers until stop is called.
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

// runDue runs the core's due timers. It is called between events, so that a long batch does not
// delay timers.
func (l *loop) runDue(k *core) {
	if due := k.nextDue(); due <= l.now() {
		l.handle(&event{due, eventTick, func(float64) { k.runDue(l.now()) }})
	}
}

// handle runs one event and logs it if it started late or took long.
func (l *loop) handle(e *event) {
	start := l.now()
	e.run(e.occurredAt)
	l.log.eventLate(e.kind, start-e.occurredAt, l.now()-start)
}

// stop ends the loop and waits for it. It must be called from another goroutine.
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
