package policy

import "math"

// Requests of one key run one at a time, in their order, where their class asks for that.

// chain keeps the order of one key.
type chain struct {
	members []*request // the first has not left, others may have
	live    int        // those that have not
	restTo  float64
}

func (p *scheduler) chainOf(r *request) *chain {
	if !r.class.Ordered || r.Key == "" {
		return nil
	}
	c := p.chains[r.Key]
	if c == nil {
		c = &chain{restTo: math.Inf(-1)}
		p.chains[r.Key] = c
	}
	return c
}

// release drops what is over from r's chain and files its next request.
func (p *scheduler) release(r *request) {
	c := p.chainOf(r)
	if c == nil {
		return
	}
	if r.done && r.out == 0 && !r.left {
		r.left = true
		c.live--
	}
	for len(c.members) > 0 && c.members[0].left {
		c.members = c.members[1:]
	}
	if len(c.members) == 0 {
		if p.now >= c.restTo {
			delete(p.chains, r.Key)
		}
		return
	}
	h := c.members[0]
	if h.done || h.queued || h.out > 0 || h.attempts > 0 {
		return
	}
	if p.now < c.restTo {
		p.setTimer(c.restTo, h, nil)
		return
	}
	p.enqueue(h)
}
