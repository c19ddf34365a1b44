package gateway

import (
	"sync"

	"merlinhitch/internal/protocol/iscsi"
	"merlinhitch/internal/runtime/env"
	"merlinhitch/internal/runtime/writequeue"
)

// responder gives commands their answers on a goroutine of its own: the session's part
// of an answer and the copy of its data cost as much as the module's decision, and need
// not wait for the next one. A connection has one responder, so that its answers keep
// their order.
type responder struct {
	host *host

	mu     sync.Mutex
	queue  []completion
	closed bool
	wake   env.Parker
	done   env.Gate

	unflushed pendingWrites // what the present batch left to be written
}

// completion is a command whose parts are all over.
type completion struct {
	cmd           *command
	answer        iscsi.Answer
	dataBuffer    *[]byte // what the answer's data lies in, given back once it is copied
	fenceOutdated bool
}

// maxResponders bounds the answerers of a host: more than a few find nothing to do, for
// the module hands out one answer after the other.
const maxResponders = 4

// maxUnflushed is the number of answers after which what is held goes out: enough for few
// calls of the system, not so many that the first waits for the last.
const maxUnflushed = 16

// newResponders returns none where there is one processor: a hand-over would then cost
// what it saves.
func newResponders(h *host) []*responder {
	n := min(h.environment.Processors(), maxResponders)
	if n == 1 {
		return nil
	}
	list := make([]*responder, n)
	for i := range list {
		list[i] = &responder{host: h, wake: h.environment.NewParker()}
		h.environment.Go(list[i].run)
	}
	return list
}

// enqueue hands an answer over. What waits is bounded by what is open at the host.
func (a *responder) enqueue(x completion) {
	a.mu.Lock()
	a.queue = append(a.queue, x)
	a.mu.Unlock()
	a.wake.Unpark()
}

// close ends the goroutine once it has given what it was handed, and waits for it.
func (a *responder) close() {
	a.mu.Lock()
	a.closed = true
	a.mu.Unlock()
	a.wake.Unpark()
	a.done.Wait(a.host.environment)
}

func (a *responder) run() {
	defer a.done.Open()
	var events []completion
	for {
		a.wake.Park()
		a.mu.Lock()
		events, a.queue = a.queue, events[:0]
		closed := a.closed
		a.mu.Unlock()
		for i := range events {
			a.host.respond(&events[i], func(o *writequeue.Queue) { a.unflushed = append(a.unflushed, o) })
			events[i] = completion{}
			if len(a.unflushed) == maxUnflushed {
				a.unflushed.flush()
			}
		}
		a.unflushed.flush()
		if closed && len(events) == 0 {
			return
		}
		if closed {
			a.wake.Unpark()
		}
	}
}

// pendingWrites are queues that hold what is still to be written.
type pendingWrites []*writequeue.Queue

// flush has it written, and forgets the queues.
func (w *pendingWrites) flush() {
	for _, queue := range *w {
		queue.Flush()
	}
	clear(*w)
	*w = (*w)[:0]
}

// respond ends a command at its session; later has what that leaves be written.
func (h *host) respond(x *completion, later func(*writequeue.Queue)) {
	c := x.cmd.conn
	c.mu.Lock()
	if !c.closed {
		if x.fenceOutdated {
			c.recheckReservations(x.cmd.task, x.cmd.decoded, c.currentOrLoginUnit(c.front.view.Load()).vol, x.cmd.class, x.cmd.mayBePartlyWritten())
		} else {
			c.batch = true
			c.sess.Respond(x.cmd.task, x.answer)
			c.batch = false
			later(c.out)
		}
	}
	c.mu.Unlock()
	h.putBuffer(x.dataBuffer)
}
