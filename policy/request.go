package policy

import "slices"

// A request from its arrival to its one final answer.

func (p *scheduler) take(q Request) {
	r := &request{Request: q, arrived: p.now, terms: p.s}
	p.reqs[q.ID] = r
	r.flow = max(slices.IndexFunc(p.s.Plans, func(pl Plan) bool { return pl.Name == q.Plan }), 0)
	r.class = &Class{Value: 1, LatencyTarget: q.Expires - p.now} // if never announced: the most careful kind
	if i := slices.IndexFunc(p.s.Classes, func(c Class) bool { return c.Name == q.Class }); i >= 0 {
		r.class = &p.s.Classes[i]
	}
	r.first = p.firstTry(q) // a client's further try counts its aim from its first
	r.aimAt = min(r.first+r.class.LatencyTarget, q.Expires)
	r.vol = p.volumeBuckets(q, &p.s.Plans[r.flow])
	if h := divisor(q.Hosts, q.Fraction); r.vol.divisor != h || r.vol.plan != &p.s.Plans[r.flow] {
		p.resizeBuckets(r.vol, &p.s.Plans[r.flow], h)
	}
	if p.s.Rules.HasBudget {
		p.taken.add(p.now, 1)
		p.taken.since(p.now - p.s.Rules.BudgetWindow + p.s.Tick)
	}
	p.largest = max(p.largest, q.Units)
	r.shard = p.selectShard(q.Shard)
	most := max(p.now+waitPart*(q.Expires-p.now), r.aimAt+waitAims*r.class.LatencyTarget)
	r.halfAt = min(most, q.Expires-p.s.Tick-guard)
	p.setTimer(r.halfAt, r, nil)
	p.valueRequest(r)
	if c := p.chainOf(r); c != nil {
		c.members = append(c.members, r)
		c.live++
		if c.members[0] != r || p.now < c.restTo {
			return
		}
	}
	p.enqueue(r)
}

func (p *scheduler) outcome(o Outcome) {
	r := p.reqs[o.ID]
	if r == nil || r.out == 0 {
		return
	}
	sh, n := r.shard, r.sentTo // the list may have dropped the node since
	r.out--
	sh.out = slices.DeleteFunc(sh.out, func(x *request) bool { return x == r })
	p.markTouched(sh)
	p.recordOutcome(r, n, o)
	if r.pending > 0 {
		p.settlePending(r)
	}
	switch o.Result {
	case Rejected, NoConnection, NotSent:
		r.reached = r.reached || o.Result == Rejected
		p.refundLimit(r, o.Result)
	default:
		if r.reached = true; !r.ran {
			r.ran, r.ranAt, r.ranNode = true, r.sentAt, n
		}
	}
	if c := p.chainOf(r); c != nil {
		switch o.Result {
		case NoAnswer, ConnectionLost, Cancelled:
			c.restTo = max(c.restTo, p.now+r.terms.Rules.KeyHoldoff+p.s.Tick)
		}
	}
	if o.Done {
		r.done = true
	}
	if r.done {
		p.finish(r)
	} else {
		p.again(r)
	}
	p.pump(sh)
}

// extra is what r's size adds to the service time of a mean request, or takes off.
func (p *scheduler) extra(r *request) float64 {
	return p.base * (r.Units/p.s.MeanUnits - 1)
}

// again files r for a further attempt, or ends it if there can be none.
func (p *scheduler) again(r *request) {
	last := p.now >= r.Expires-p.s.Tick-guard || !r.reached && p.now >= r.halfAt
	used := r.terms.Limits.MaxAttempts > 0 && r.attempts >= r.terms.Limits.MaxAttempts
	if last || used || r.ran && r.class.Effect == NonIdempotent {
		p.end(r)
		return
	}
	p.enqueue(r)
}

// sooner brings r's end forward. What waits keeps its place; what is out is awaited no longer.
func (p *scheduler) sooner(e DeadlineShortened) {
	r := p.reqs[e.ID]
	if r == nil || r.done || e.Deadline >= r.Expires {
		return
	}
	r.Expires = e.Deadline
	last := r.Expires - p.s.Tick - guard
	r.halfAt = min(r.halfAt, last)
	r.shard.firstEnd = min(r.shard.firstEnd, r.Expires)
	p.setTimer(last, r, nil)
}

// expire ends what is held when its client is about to leave, what no node had before that.
func (p *scheduler) expire(r *request) {
	if r.done {
		return
	}
	if last := r.Expires - p.s.Tick - guard; p.now < last {
		p.release(r) // its key may have rested
		if half := p.now >= r.halfAt-rounding; half && !r.reached && r.out == 0 {
			p.end(r)
		} else if half && !r.halved {
			r.halved = true
			p.setTimer(last, r, nil)
		}
		return
	}
	if r.out == 0 {
		p.end(r)
		return
	}
	late := r.Expires + r.terms.Rules.AnswerSlack/2
	if p.now < late { // the attempt's own time-out comes first
		p.setTimer(late, r, nil)
		return
	}
	p.end(r)
}

// end gives r its final answer: a refusal where its class allows that.
func (p *scheduler) end(r *request) {
	safe := r.class.Effect == Idempotent || r.class.Effect == Keyed && r.class.DedupScope == DedupAll
	if safe || !r.ran && r.out == 0 {
		p.do(Refuse{r.ID, r.terms.Limits.RetryAfter, p.why(r)})
	} else {
		p.do(Fail{r.ID, p.why(r)})
	}
	p.turnOff(r)
	p.finish(r)
}

type request struct {
	Request
	terms    *Settings // that it was taken under
	class    *Class
	flow     int
	shard    *shard
	vol      *volumeBuckets
	arrived  float64
	first    float64 // when its client first tried it
	aimAt    float64
	value    float64 // worth for each unit, as far as due
	rank     float64 // value, with equals spread
	attempts int
	out      int
	sentAt   float64
	sentTo   *node
	sentCold float64 // the node's coldAt then
	ran      bool    // an attempt may have run, first sent at ranAt to ranNode
	ranAt    float64
	ranNode  *node
	queued   bool // in the shard's main queue, retries or parked
	list     *list
	slot     int     // its place in list, where it is in one
	halfAt   float64 // until then it may wait without a node having had it
	halved   bool    // that time is over
	givenUp  bool    // its attempt was given up as lost
	reached  bool    // a node has had it, or may have
	pending  float64 // units of its volume's limit that may come back
	charged  bool    // its volume's limit has given the units for it
	drawn    float64 // its lot among requests of its worth, see amongDearest; 0: none yet
	left     bool    // its chain counts it no more
	done     bool
}

// over tells whether nothing can come of r any more.
func (r *request) over() bool { return r.done && r.out == 0 }

// tried tells a client's further try, which has an id of its own, by what it asks for.
type tried struct{ class, volume, key string }

// turn is when a request that was not served was first tried, and until when its client
// may try it again.
type turn struct{ first, till float64 }

// firstTry is when the client first tried what q asks for; each that was not served has
// one further try at the most.
func (p *scheduler) firstTry(q Request) float64 {
	k := tried{q.Class, q.Volume, q.Key}
	t, ok := p.turned[k]
	delete(p.turned, k)
	if !ok || p.now >= t.till {
		return p.now
	}
	return t.first
}

// turnOff notes that r ends without having been served.
func (p *scheduler) turnOff(r *request) {
	if r.Key != "" && r.class.Deadline > 0 {
		p.turned[tried{r.Class, r.Volume, r.Key}] = turn{r.first, r.first + r.class.Deadline}
	}
}

// finish lets go of what r holds; attempts still out keep only its record.
func (p *scheduler) finish(r *request) {
	r.done = true
	r.shard.remove(r)
	if r.out == 0 {
		delete(p.reqs, r.ID)
		p.staleTimers++
	} else {
		p.do(Withdraw{r.ID, r.attempts - 1}) // nothing begins for what is over
	}
	p.release(r)
}
