package scheduler

import (
	"merlinhitch/internal/runtime/env"
	"merlinhitch/internal/runtime/locks"
)

// This file tells, just before an attempt is written, whether its client is still there.

// presenceTimeoutMS bounds how long an attempt waits until its client's unread bytes have been read,
// behind which the end of the connection may lie.
const presenceTimeoutMS = 50.0

// clientPresent reports whether the attempt's client is still there. It may wait for up to
// presenceTimeoutMS; a client of which that can't be told by then counts as gone.
func (a *attempt) clientPresent(now float64) bool {
	if a.call.client == nil {
		return true
	}
	return a.call.client.present(min(now+presenceTimeoutMS, a.beginBy, a.answerBy))
}

// present implements presence. It looks at the socket, since the goroutine that reads from it may run
// late.
func (c *client) present(until float64) bool {
	f := c.frontend
	for {
		progress := c.reads.next()
		switch env.PeerStateOf(c.conn) {
		case env.PeerOpen:
			return true
		case env.PeerClosed:
			return false
		}
		if !env.WaitTimeout(f.environment, env.Duration(until-f.loop.now()), progress) {
			return false
		}
	}
}

// readProgress tells waiting goroutines that another one has read from a connection.
type readProgress struct {
	mu      locks.Mutex
	waiting *env.Gate // opened by the next signal; nil: nobody waits
}

// next returns a gate that the next signal opens.
func (p *readProgress) next() *env.Gate {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.waiting == nil {
		p.waiting = &env.Gate{}
	}
	return p.waiting
}

// signal opens the gate that next has returned, if any.
func (p *readProgress) signal() {
	p.mu.Lock()
	waiting := p.waiting
	p.waiting = nil
	p.mu.Unlock()
	if waiting != nil {
		waiting.Open()
	}
}
