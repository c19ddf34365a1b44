package gateway

import (
	"merlinhitch/internal/protocol/iscsi"
	"merlinhitch/internal/runtime/env"
	"merlinhitch/internal/runtime/locks"
	"merlinhitch/internal/runtime/writequeue"
)

// responder builds and buffers the responses of commands on a goroutine of its own, which takes the
// copying of data off the host's goroutine. Each connection has one responder, so that its
// responses keep their order.
type responder struct {
	host *host

	mu     locks.Mutex
	queue  []completion
	closed bool
	wake   env.Parker
	done   env.Gate

	unflushed pendingWrites // queues with data buffered by the current batch
}

// completion is a command whose parts have all ended, with its response.
type completion struct {
	cmd        *command
	answer     iscsi.Answer
	dataBuffer *[]byte // pooled buffer of the answer's data, returned once it is copied
	recheck    bool    // parts met a fence: the reservations have to be read again before an answer
}

// maxResponders bounds the responders of a host. More would be idle, since one core feeds them all.
const maxResponders = 4

// maxUnflushed is the number of responses after which buffered data is written: large enough to save
// system calls, small enough not to delay the first response.
const maxUnflushed = 16

// newResponders returns none if there is one processor, where another goroutine saves nothing.
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

// enqueue queues a response. The queue is bounded by the number of open jobs.
func (r *responder) enqueue(completed completion) {
	r.mu.Lock()
	r.queue = append(r.queue, completed)
	r.mu.Unlock()
	r.wake.Unpark()
}

// close waits until the goroutine has handled all queued responses and ended.
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

// pendingWrites lists write queues with buffered data that is not being written yet.
type pendingWrites []*writequeue.Queue

// flush starts the writing and empties the list.
func (w *pendingWrites) flush() {
	for _, queue := range *w {
		queue.Flush()
	}
	clear(*w)
	*w = (*w)[:0]
}

// respond gives a command's response to its session and passes the connection's write queue to
// flushLater. If parts of the command met a fence, it rechecks the reservations instead.
func (h *host) respond(completed *completion, flushLater func(*writequeue.Queue)) {
	c := completed.cmd.conn
	c.mu.Lock()
	if !c.closed {
		if completed.recheck {
			c.recheckFenced(completed.cmd)
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
