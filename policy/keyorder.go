package policy

import "math"

// Key order: requests with the same key run one at a time, in order of arrival, if their class is
// Ordered.

// keyQueue holds the requests of one key.
type keyQueue struct {
	members      []*request // the first is not released, others may be
	active       int        // number of members that are not released
	blockedUntil float64    // end of the hold-off after an attempt whose outcome is unknown
}

// keyQueueOf returns the queue of r's key, created if necessary; nil if r needs no order.
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

// releaseKey removes r from its key's queue if r is over, and queues the key's next request at its
// shard.
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
