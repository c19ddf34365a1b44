package policy

import "slices"

// The life of a request, from its arrival to its final answer.

// accept registers a request, values it and queues it, unless an earlier request of its key has to
// end first.
func (p *scheduler) accept(q Request) {
	r := &request{Request: q, arrived: p.now, arrivalSettings: p.settings}
	p.requests[q.ID] = r
	// An unknown plan counts as the first; an unknown class is not idempotent.
	r.flow = max(slices.IndexFunc(p.settings.Plans, func(pl Plan) bool { return pl.Name == q.Plan }), 0)
	r.class = &Class{Value: 1, LatencyTarget: q.Expires - p.now}
	if i := slices.IndexFunc(p.settings.Classes, func(c Class) bool { return c.Name == q.Class }); i >= 0 {
		r.class = &p.settings.Classes[i]
	}
	r.firstTriedAt = p.firstTryTime(q) // the latency of a client's retry counts from its first try
	r.targetTime = min(r.firstTriedAt+r.class.LatencyTarget, q.Expires)
	r.tokenBuckets = p.volumeBuckets(q, &p.settings.Plans[r.flow])
	if hostDivisor := divisor(q.Hosts, q.Fraction); r.tokenBuckets.divisor != hostDivisor ||
		r.tokenBuckets.plan != &p.settings.Plans[r.flow] {
		p.resizeBuckets(r.tokenBuckets, &p.settings.Plans[r.flow], hostDivisor)
	}
	if p.settings.Rules.HasBudget && !q.Resubmitted && !q.Internal {
		p.recentArrivals.add(p.now, 1)
		p.recentArrivals.since(p.now - p.settings.Rules.BudgetWindow + p.settings.Tick)
	}
	p.maxUnitsSeen = max(p.maxUnitsSeen, q.Units)
	r.shard = p.selectShard(q.Shard)
	uncappedDeadline := max(p.now+maxWaitFraction*(q.Expires-p.now),
		r.targetTime+lateGraceTargets*r.class.LatencyTarget)
	r.waitDeadline = min(uncappedDeadline, q.Expires-p.settings.Tick-answerMargin)
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

// releaseDepth removes an answered attempt from its shard's depth and dispatches the next. For its
// request it stays outstanding until its outcome.
func (p *scheduler) releaseDepth(e ResponseReceived) {
	r := p.requests[e.ID]
	if r == nil || r.outstanding == 0 || e.Attempt != r.attempts-1 {
		return
	}
	r.shard.removeOutstanding(r)
	p.markTouched(r.shard)
	p.dispatch(r.shard)
}

// removeOutstanding removes r from the attempts that count towards the depth, if it is among them.
func (sh *shard) removeOutstanding(r *request) {
	sh.outstanding = slices.DeleteFunc(sh.outstanding, func(x *request) bool { return x == r })
}

// handleOutcome processes the end of an attempt and ends or requeues its request.
func (p *scheduler) handleOutcome(o Outcome) {
	r := p.requests[o.ID]
	if r == nil || r.outstanding == 0 {
		return
	}
	sh, n := r.shard, r.sentTo // the node list may have removed sentTo in the meantime
	r.outstanding--
	sh.removeOutstanding(r)
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

// extraServiceTime returns how much longer r takes than a request of mean size; negative if r is
// smaller.
func (p *scheduler) extraServiceTime(r *request) float64 {
	return p.unloadedServiceTime * (r.Units/p.settings.MeanUnits - 1)
}

// requeueOrEnd queues r for a further attempt, or ends it if no further attempt is allowed.
func (p *scheduler) requeueOrEnd(r *request) {
	tooLate := p.now >= r.Expires-p.settings.Tick-answerMargin || !r.reachedNode && p.now >= r.waitDeadline
	attemptsUsed := r.arrivalSettings.Limits.MaxAttempts > 0 &&
		r.attempts >= r.arrivalSettings.Limits.MaxAttempts
	if tooLate || attemptsUsed || r.mayHaveRun && r.class.Effect == NonIdempotent {
		p.end(r)
		return
	}
	p.enqueue(r)
}

// shortenDeadline moves a request's expiry forward. It keeps its place in the queue; an attempt
// that is outstanding is given up at the new expiry.
func (p *scheduler) shortenDeadline(e DeadlineShortened) {
	r := p.requests[e.ID]
	if r == nil || r.done || e.Deadline >= r.Expires {
		return
	}
	r.Expires = e.Deadline
	answerDeadline := r.Expires - p.settings.Tick - answerMargin
	r.waitDeadline = min(r.waitDeadline, answerDeadline)
	r.shard.earliestExpiry = min(r.shard.earliestExpiry, r.Expires)
	p.setTimer(answerDeadline, r, nil)
}

// checkDeadlines ends r if its time is over: shortly before its expiry if no attempt is
// outstanding, already at its waitDeadline if no node has received it, and half of AnswerSlack
// after its expiry if an attempt is outstanding.
func (p *scheduler) checkDeadlines(r *request) {
	if r.done {
		return
	}
	if answerDeadline := r.Expires - p.settings.Tick - answerMargin; p.now < answerDeadline {
		p.releaseKey(r) // its key's hold-off may be over
		if waitOver := p.now >= r.waitDeadline-timeEpsilon; waitOver && !r.reachedNode && r.outstanding == 0 {
			p.end(r)
		} else if waitOver && !r.waitExpired {
			r.waitExpired = true
			p.setTimer(answerDeadline, r, nil)
		}
		return
	}
	if r.outstanding == 0 {
		p.end(r)
		return
	}
	outcomeDeadline := r.Expires + r.arrivalSettings.Rules.AnswerSlack/2
	if p.now < outcomeDeadline { // leaves time for the outcome of an attempt that times out at the expiry
		p.setTimer(outcomeDeadline, r, nil)
		return
	}
	p.end(r)
}

// end gives r its final answer: a refusal if the client may safely try again, otherwise a failure.
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
	arrivalSettings *Settings // in force when it arrived
	class           *Class
	flow            int
	shard           *shard
	tokenBuckets    *volumeBuckets
	arrived         float64
	firstTriedAt    float64 // when its client first tried it
	targetTime      float64 // until then an answer has its full value
	value           float64 // value per unit
	rank            float64 // value with random jitter, which separates equal values
	attempts        int
	outstanding     int
	sentAt          float64
	sentTo          *node
	sentColdSince   float64 // sentTo's coldSince at sentAt
	mayHaveRun      bool    // an attempt may have run
	mayHaveRunAt    float64 // when the first such attempt was sent
	mayHaveRunOn    *node   // and to which node
	queued          bool    // in its flow, the shard's retries or its deferred requests
	fifo            *fifo   // the list that it is in; nil if it is in a flow or not queued
	slot            int     // its index in fifo
	waitDeadline    float64 // time by which a node must have received it
	waitExpired     bool    // waitDeadline has passed
	givenUp         bool    // its outstanding attempt was cancelled as lost
	reachedNode     bool    // a node has received it, or may have
	pending         float64 // units charged to its volume's limit that may be refunded
	charged         bool    // its units are charged to its volume's limit
	draw            float64 // random number in (0, 1], see inTopFraction; 0: not drawn yet
	released        bool    // its key queue does not count it any more
	done            bool
}

// over reports whether r has ended and has no attempt outstanding.
func (r *request) over() bool { return r.done && r.outstanding == 0 }

// retryKey identifies a client's retry of an unserved request, since the retry has another ID.
type retryKey struct{ class, volume, key string }

// unservedRequest holds when an unserved request was first tried and until when its client may
// retry it.
type unservedRequest struct{ firstTriedAt, expires float64 }

// firstTryTime returns when the client first tried q. An unserved request is matched with one
// retry at most.
func (p *scheduler) firstTryTime(q Request) float64 {
	k := retryKey{q.Class, q.Volume, q.Key}
	earlier, ok := p.unserved[k]
	delete(p.unserved, k)
	if !ok || p.now >= earlier.expires {
		return p.now
	}
	return earlier.firstTriedAt
}

// recordUnserved remembers r as unserved, to recognize its client's retry.
func (p *scheduler) recordUnserved(r *request) {
	if r.Key != "" && r.class.Deadline > 0 {
		p.unserved[retryKey{r.Class, r.Volume, r.Key}] = unservedRequest{r.firstTriedAt,
			r.firstTriedAt + r.class.Deadline}
	}
}

// finish removes r from its queues. Its record is kept while an attempt is outstanding.
func (p *scheduler) finish(r *request) {
	r.done = true
	r.shard.remove(r)
	if r.outstanding == 0 {
		delete(p.requests, r.ID)
		p.staleTimers++
	} else {
		p.emit(Withdraw{r.ID, r.attempts - 1}) // must not start any more if it still waits for its connection
	}
	p.releaseKey(r)
}
