package gateway

import (
	"sync"

	"merlinhitch/internal/protocol/iscsi"
	"merlinhitch/internal/runtime/env"
	"merlinhitch/internal/runtime/writequeue"
)

// answerer gives commands their answers on a goroutine of its own: the session's part
// of an answer and the copy of its data cost as much as the module's decision, and need
// not wait for the next one. A connection has one answerer, so that its answers keep
// their order.
type answerer struct {
	host *host

	mu      sync.Mutex
	mailbox []answered
	closed  bool
	wake    env.Parker
	done    env.Gate

	said heldWrites // what the present batch left to be written
}

// answered is a command whose parts are all over.
type answered struct {
	cmd    *command
	answer iscsi.Answer
	buffer *[]byte // what the answer's data lies in, given back once it is copied
	fenced bool
}

// maxAnswerers bounds the answerers of a host: more than a few find nothing to do, for
// the module hands out one answer after the other.
const maxAnswerers = 4

// heldAnswers is the number of answers after which what is held goes out: enough for few
// calls of the system, not so many that the first waits for the last.
const heldAnswers = 16

// newAnswerers returns none where there is one processor: a hand-over would then cost
// what it saves.
func newAnswerers(h *host) []*answerer {
	n := min(h.world.Processors(), maxAnswerers)
	if n == 1 {
		return nil
	}
	list := make([]*answerer, n)
	for i := range list {
		list[i] = &answerer{host: h, wake: h.world.NewParker()}
		h.world.Go(list[i].run)
	}
	return list
}

// put hands an answer over. What waits is bounded by what is open at the host.
func (a *answerer) put(x answered) {
	a.mu.Lock()
	a.mailbox = append(a.mailbox, x)
	a.mu.Unlock()
	a.wake.Unpark()
}

// close ends the goroutine once it has given what it was handed, and waits for it.
func (a *answerer) close() {
	a.mu.Lock()
	a.closed = true
	a.mu.Unlock()
	a.wake.Unpark()
	a.done.Wait(a.host.world)
}

func (a *answerer) run() {
	defer a.done.Open()
	var events []answered
	for {
		a.wake.Park()
		a.mu.Lock()
		events, a.mailbox = a.mailbox, events[:0]
		closed := a.closed
		a.mu.Unlock()
		for i := range events {
			a.host.give(&events[i], func(o *writequeue.Queue) { a.said = append(a.said, o) })
			events[i] = answered{}
			if len(a.said) == heldAnswers {
				a.said.release()
			}
		}
		a.said.release()
		if closed && len(events) == 0 {
			return
		}
		if closed {
			a.wake.Unpark()
		}
	}
}

// heldWrites are queues that hold what is still to be written.
type heldWrites []*writequeue.Queue

// release has it written, and forgets the queues.
func (w *heldWrites) release() {
	for _, queue := range *w {
		queue.Flush()
	}
	clear(*w)
	*w = (*w)[:0]
}

// give ends a command at its session; later has what that leaves be written.
func (h *host) give(x *answered, later func(*writequeue.Queue)) {
	c := x.cmd.conn
	c.mu.Lock()
	if !c.closed {
		if x.fenced {
			c.recheck(x.cmd.task, x.cmd.outcome, c.last(c.front.view.Load()).vol, x.cmd.class, x.cmd.partServed())
		} else {
			c.batch = true
			c.sess.Respond(x.cmd.task, x.answer)
			c.batch = false
			later(c.out)
		}
	}
	c.mu.Unlock()
	h.giveBack(x.buffer)
}
