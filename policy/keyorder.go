package policy

import "math"

// Requests of one key run one at a time, in their order, where their class asks for that.

// keyQueue keeps the order of one key.
type keyQueue struct {
	members      []*request // the first has not left, others may have
	active       int        // those that have not
	blockedUntil float64
}

func (p *scheduler) keyQueueOf(r *request) *keyQueue {
	if !r.class.Ordered || r.Key == "" {
		return nil
	}
	c := p.keyQueues[r.Key]
	if c == nil {
		c = &keyQueue{blockedUntil: math.Inf(-1)}
		p.keyQueues[r.Key] = c
	}
	return c
}

// releaseKey drops what is over from r's chain and files its next request.
func (p *scheduler) releaseKey(r *request) {
	c := p.keyQueueOf(r)
	if c == nil {
		return
	}
	if r.done && r.outstanding == 0 && !r.released {
		r.released = true
		c.active--
	}
	for len(c.members) > 0 && c.members[0].released {
		c.members = c.members[1:]
	}
	if len(c.members) == 0 {
		if p.now >= c.blockedUntil {
			delete(p.keyQueues, r.Key)
		}
		return
	}
	head := c.members[0]
	if head.done || head.queued || head.outstanding > 0 || head.attempts > 0 {
		return
	}
	if p.now < c.blockedUntil {
		p.setTimer(c.blockedUntil, head, nil)
		return
	}
	p.enqueue(head)
}
