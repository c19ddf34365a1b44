package policy

import "slices"

// A request from its arrival to its one final answer.

func (p *scheduler) accept(q Request) {
	r := &request{Request: q, arrived: p.now, arrivalSettings: p.settings}
	p.requests[q.ID] = r
	r.flow = max(slices.IndexFunc(p.settings.Plans, func(pl Plan) bool { return pl.Name == q.Plan }), 0)
	r.class = &Class{Value: 1, LatencyTarget: q.Expires - p.now} // if never announced: the most careful kind
	if i := slices.IndexFunc(p.settings.Classes, func(c Class) bool { return c.Name == q.Class }); i >= 0 {
		r.class = &p.settings.Classes[i]
	}
	r.firstTriedAt = p.firstTryTime(q) // a client's further try counts its aim from its first
	r.targetTime = min(r.firstTriedAt+r.class.LatencyTarget, q.Expires)
	r.vol = p.volumeBuckets(q, &p.settings.Plans[r.flow])
	if hostDivisor := divisor(q.Hosts, q.Fraction); r.vol.divisor != hostDivisor || r.vol.plan != &p.settings.Plans[r.flow] {
		p.resizeBuckets(r.vol, &p.settings.Plans[r.flow], hostDivisor)
	}
	if p.settings.Rules.HasBudget {
		p.arrivals.add(p.now, 1)
		p.arrivals.since(p.now - p.settings.Rules.BudgetWindow + p.settings.Tick)
	}
	p.maxUnits = max(p.maxUnits, q.Units)
	r.shard = p.selectShard(q.Shard)
	latest := max(p.now+maxWaitFraction*(q.Expires-p.now), r.targetTime+minWaitTargets*r.class.LatencyTarget)
	r.waitDeadline = min(latest, q.Expires-p.settings.Tick-answerMargin)
	p.setTimer(r.waitDeadline, r, nil)
	p.valueRequest(r)
	if c := p.keyQueueOf(r); c != nil {
		c.members = append(c.members, r)
		c.active++
		if c.members[0] != r || p.now < c.blockedUntil {
			return
		}
	}
	p.enqueue(r)
}

func (p *scheduler) handleOutcome(o Outcome) {
	r := p.requests[o.ID]
	if r == nil || r.outstanding == 0 {
		return
	}
	sh, n := r.shard, r.sentTo // the list may have dropped the node since
	r.outstanding--
	sh.outstanding = slices.DeleteFunc(sh.outstanding, func(x *request) bool { return x == r })
	p.markTouched(sh)
	p.recordOutcome(r, n, o)
	if r.pending > 0 {
		p.settlePending(r)
	}
	switch o.Result {
	case Rejected, NoConnection, NotSent:
		r.reachedNode = r.reachedNode || o.Result == Rejected
		p.refundLimit(r, o.Result)
	default:
		if r.reachedNode = true; !r.mayHaveRun {
			r.mayHaveRun, r.mayHaveRunAt, r.mayHaveRunOn = true, r.sentAt, n
		}
	}
	if c := p.keyQueueOf(r); c != nil {
		switch o.Result {
		case NoAnswer, ConnectionLost, Cancelled:
			c.blockedUntil = max(c.blockedUntil, p.now+r.arrivalSettings.Rules.KeyHoldoff+p.settings.Tick)
		}
	}
	if o.Done {
		r.done = true
	}
	if r.done {
		p.finish(r)
	} else {
		p.requeueOrEnd(r)
	}
	p.dispatch(sh)
}

// extraServiceTime is what r's size adds to the service time of a mean request, or takes off.
func (p *scheduler) extraServiceTime(r *request) float64 {
	return p.unloadedServiceTime * (r.Units/p.settings.MeanUnits - 1)
}

// requeueOrEnd files r for a further attempt, or ends it if there can be none.
func (p *scheduler) requeueOrEnd(r *request) {
	tooLate := p.now >= r.Expires-p.settings.Tick-answerMargin || !r.reachedNode && p.now >= r.waitDeadline
	attemptsUsed := r.arrivalSettings.Limits.MaxAttempts > 0 && r.attempts >= r.arrivalSettings.Limits.MaxAttempts
	if tooLate || attemptsUsed || r.mayHaveRun && r.class.Effect == NonIdempotent {
		p.end(r)
		return
	}
	p.enqueue(r)
}

// shortenDeadline brings r's end forward. What waits keeps its place; what is out is awaited no longer.
func (p *scheduler) shortenDeadline(e DeadlineShortened) {
	r := p.requests[e.ID]
	if r == nil || r.done || e.Deadline >= r.Expires {
		return
	}
	r.Expires = e.Deadline
	lastAnswer := r.Expires - p.settings.Tick - answerMargin
	r.waitDeadline = min(r.waitDeadline, lastAnswer)
	r.shard.earliestExpiry = min(r.shard.earliestExpiry, r.Expires)
	p.setTimer(lastAnswer, r, nil)
}

// checkDeadlines ends what is held when its client is about to leave, what no node had before that.
func (p *scheduler) checkDeadlines(r *request) {
	if r.done {
		return
	}
	if lastAnswer := r.Expires - p.settings.Tick - answerMargin; p.now < lastAnswer {
		p.releaseKey(r) // its key may have rested
		if waitOver := p.now >= r.waitDeadline-rounding; waitOver && !r.reachedNode && r.outstanding == 0 {
			p.end(r)
		} else if waitOver && !r.waitExpired {
			r.waitExpired = true
			p.setTimer(lastAnswer, r, nil)
		}
		return
	}
	if r.outstanding == 0 {
		p.end(r)
		return
	}
	lastOutcome := r.Expires + r.arrivalSettings.Rules.AnswerSlack/2
	if p.now < lastOutcome { // the attempt's own time-out comes first
		p.setTimer(lastOutcome, r, nil)
		return
	}
	p.end(r)
}

// end gives r its final answer: a refusal where its class allows that.
func (p *scheduler) end(r *request) {
	refusable := r.class.Effect == Idempotent || r.class.Effect == Keyed && r.class.DedupScope == DedupAll
	if refusable || !r.mayHaveRun && r.outstanding == 0 {
		p.emit(Refuse{r.ID, r.arrivalSettings.Limits.RetryAfter, p.reasonFor(r)})
	} else {
		p.emit(Fail{r.ID, p.reasonFor(r)})
	}
	p.recordUnserved(r)
	p.finish(r)
}

type request struct {
	Request
	arrivalSettings *Settings // that it was taken under
	class           *Class
	flow            int
	shard           *shard
	vol             *volumeBuckets
	arrived         float64
	firstTriedAt    float64 // when its client first tried it
	targetTime      float64
	value           float64 // worth for each unit, as far as due
	rank            float64 // value, with equals spread
	attempts        int
	outstanding     int
	sentAt          float64
	sentTo          *node
	sentColdAt      float64 // the node's coldAt then
	mayHaveRun      bool    // an attempt may have run, first sent at ranAt to ranNode
	mayHaveRunAt    float64
	mayHaveRunOn    *node
	queued          bool // in the shard's main queue, retries or parked
	fifo            *fifo
	slot            int     // its place in list, where it is in one
	waitDeadline    float64 // until then it may wait without a node having had it
	waitExpired     bool    // that time is over
	givenUp         bool    // its attempt was given up as lost
	reachedNode     bool    // a node has had it, or may have
	pending         float64 // units of its volume's limit that may come back
	charged         bool    // its volume's limit has given the units for it
	draw            float64 // its lot among requests of its worth, see amongDearest; 0: none yet
	released        bool    // its chain counts it no more
	done            bool
}

// over tells whether nothing can come of r any more.
func (r *request) over() bool { return r.done && r.outstanding == 0 }

// retryKey tells a client's further try, which has an id of its own, by what it asks for.
type retryKey struct{ class, volume, key string }

// unservedRequest is when a request that was not served was first tried, and until when its client
// may try it again.
type unservedRequest struct{ firstTriedAt, expires float64 }

// firstTryTime is when the client first tried what q asks for; each that was not served has
// one further try at the most.
func (p *scheduler) firstTryTime(q Request) float64 {
	k := retryKey{q.Class, q.Volume, q.Key}
	earlier, ok := p.unserved[k]
	delete(p.unserved, k)
	if !ok || p.now >= earlier.expires {
		return p.now
	}
	return earlier.firstTriedAt
}

// recordUnserved notes that r ends without having been served.
func (p *scheduler) recordUnserved(r *request) {
	if r.Key != "" && r.class.Deadline > 0 {
		p.unserved[retryKey{r.Class, r.Volume, r.Key}] = unservedRequest{r.firstTriedAt, r.firstTriedAt + r.class.Deadline}
	}
}

// finish lets go of what r holds; attempts still out keep only its record.
func (p *scheduler) finish(r *request) {
	r.done = true
	r.shard.remove(r)
	if r.outstanding == 0 {
		delete(p.requests, r.ID)
		p.staleTimers++
	} else {
		p.emit(Withdraw{r.ID, r.attempts - 1}) // nothing begins for what is over
	}
	p.releaseKey(r)
}
