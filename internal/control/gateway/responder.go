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
func (r *responder) enqueue(completed completion) {
	r.mu.Lock()
	r.queue = append(r.queue, completed)
	r.mu.Unlock()
	r.wake.Unpark()
}

// close ends the goroutine once it has given what it was handed, and waits for it.
func (r *responder) close() {
	r.mu.Lock()
	r.closed = true
	r.mu.Unlock()
	r.wake.Unpark()
	r.done.Wait(r.host.environment)
}

func (r *responder) run() {
	defer r.done.Open()
	var completions []completion
	for {
		r.wake.Park()
		r.mu.Lock()
		completions, r.queue = r.queue, completions[:0]
		closed := r.closed
		r.mu.Unlock()
		for i := range completions {
			r.host.respond(&completions[i], func(writes *writequeue.Queue) { r.unflushed = append(r.unflushed, writes) })
			completions[i] = completion{}
			if len(r.unflushed) == maxUnflushed {
				r.unflushed.flush()
			}
		}
		r.unflushed.flush()
		if closed && len(completions) == 0 {
			return
		}
		if closed {
			r.wake.Unpark()
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
func (h *host) respond(completed *completion, flushLater func(*writequeue.Queue)) {
	c := completed.cmd.conn
	c.mu.Lock()
	if !c.closed {
		if completed.fenceOutdated {
			c.recheckReservations(completed.cmd.task, completed.cmd.decoded, c.currentOrLoginUnit(c.frontend.settings.Load()).volume, completed.cmd.class, completed.cmd.mayBePartlyWritten())
		} else {
			c.batching = true
			c.session.Respond(completed.cmd.task, completed.answer)
			c.batching = false
			flushLater(c.out)
		}
	}
	c.mu.Unlock()
	h.putBuffer(completed.dataBuffer)
}
