// The decisions of one host: start-tag order under a depth bound for each
// shard's node, both reset each second by a self-tuning regulator. The types of
// its interface stand in api.go.

package policy

import (
	"cmp"
	"math"
	"slices"
)

const (
	period   = 1000.0 // sample interval of the regulators, as in the paper
	maxDepth = 32.0   // the design's ceiling for a host's depth at one node
	// fewDepth is the design's "few", as floor, for all hosts together: a node of a
	// core or two stays busy over a round trip. Below 1 a host's depth is a part.
	fewDepth    = 6.0
	gatherKeep  = 0.6    // of a second's answers kept for the next: a memory of some two seconds
	thinKeep    = 0.9    // the same while they are fewer than minSample: of some ten
	poolSpan    = 3000.0 // age at which an answer leaves the pool of all nodes
	poolMost    = 31     // and how many newer ones push it out
	poolWeight  = 2.0    // answers that the mean over all nodes counts for in a node's own
	worthDither = 0.1    // spread of equal worths, so that a part can be cut between them
	minPart     = 0.2    // of what is asked, that goes at the least: who sends nothing learns nothing
	blindPull   = 0.2    // a second's pull of a part back to the whole while nothing is learnt
	recentMost  = 63     // requests before the newest whose worths tell what is asked
	// aimPart of the tightest aim is what wait and mean service may take
	// together; the rest is for the spread of service times and for pauses.
	aimPart    = 0.3
	partAim    = 0.5    // the same below a depth of 1: only a queue of others' takes so long
	depthScale = 10.0   // depths are fitted in tenths of the ceiling, for numbers near 1
	fallStep   = 0.7    // a second's largest fall of a depth, and
	riseStep   = 2.0    // its largest rise: thin samples err either way
	ownStart   = 0.3    // starting figures of the shares' model: a flow's own last value
	shareStart = 0.7    // and its share
	depthQ     = 0.15   // penalty on depth changes; larger, against its gain, than shareQ
	depthGain  = 0.10   // starting figure: service time in aims that one more request out adds
	minGain    = 0.02   // known sign: fitted gains never fall below this
	shareQ     = 0.3    // penalty on share changes: a full step takes some three seconds
	minShare   = 0.04   // no flow is ever shut out
	latencyW   = 0.5    // inverse latency misses weigh half of throughput misses
	forget     = 0.97   // RLS forgetting: a memory of about half a minute
	maxCov     = 100.0  // trace above which nothing is forgotten: bounded without excitation
	shareSteps = 1000.0 // request-shares that are given out at most; finer ones change nothing
	minSample  = 3      // answers, of a node's own and of the pool, below which nothing is taught

	stuckAims  = 1.5         // an attempt out for so many of its aims is given up,
	stuckTimes = 5           // but not before so many service times: the node may be slow
	longQueue  = 256         // waiting requests at a shard above which
	walkGap    = 2.0         // they are looked through no more often than this
	easySpan   = retryPause  // memory of what a node served and turned away
	easyTimes  = 8.0         // served so many times what it turns away, it is not full
	idleTimes  = 1.3         // a node this near its own unloaded service time has nothing waiting
	baseGain   = 0.05        // a second's pull on the unloaded service time from above
	lonePart   = 0.3         // of a node's answers failed, up to which it is well but for that
	retryPause = 60.0        // wait after a refused connection or a full node, doubled each time
	maxPause   = 1000        // and at most this
	askAgain   = 700.0       // wait before asking again for the node list
	guard      = 1.0         // final answers of held requests leave this much (plus a tick) early
	spread     = 0.5         // seconds of its rate that a volume may save up as due
	idleVolume = 30 * period // a volume unseen for so long is forgotten
	waitPart   = 0.45        // of its time that a request may wait which no node has had: see expire
	waitAims   = 0.5         // but that long beyond its aim in any case: short tries can be in time
	dueTimes   = 4.0         // of its rate that a volume is taken to be due, see volume
	bunching   = 20.0        // by which sends may come closer on their way: limits hold where they arrive
)

// start begins the sampling at a phase of this host's own, so that hosts do
// not all move at once, and asks for the list where it must be asked.
func (p *scheduler) start() {
	p.started, p.born, p.ratedAt = true, p.now, p.now
	p.median = p.tightest() * aimPart / 2
	p.base = p.median
	p.do(SetTimer{period * (0.5 + p.rng.Float64()/2), "second"})
	p.subscribe()
}

// subscribe keeps a subscription up: a host without one counts as told.
func (p *scheduler) subscribe() {
	if p.s.OnRequest && !p.subOn && (p.askedAt == 0 || p.now-p.askedAt >= askAgain) {
		p.do(Subscribe{true})
		p.askedAt = p.now
	}
}

// Requests.

func (p *scheduler) take(q Request) {
	r := &request{Request: q, arrived: p.now, terms: p.s}
	p.reqs[q.ID] = r
	r.flow = max(slices.IndexFunc(p.s.Plans, func(pl Plan) bool { return pl.Name == q.Plan }), 0)
	r.class = &Class{Worth: 1, Aim: q.Expires - p.now} // if never announced: the most careful kind
	if i := slices.IndexFunc(p.s.Classes, func(c Class) bool { return c.Name == q.Class }); i >= 0 {
		r.class = &p.s.Classes[i]
	}
	r.first = p.firstTry(q) // a client's further try counts its aim from its first
	r.aimAt = min(r.first+r.class.Aim, q.Expires)
	r.vol = p.volume(q, &p.s.Plans[r.flow])
	if h := parts(q.Hosts, q.Share); r.vol.parts != h || r.vol.plan != &p.s.Plans[r.flow] {
		p.redivide(r.vol, &p.s.Plans[r.flow], h)
	}
	if p.s.Rules.HasBudget {
		p.taken.add(p.now, 1)
		p.taken.since(p.now - p.s.Rules.BudgetSpan + p.s.Tick)
	}
	p.largest = max(p.largest, q.Units)
	r.shard = p.place(q.Shard)
	most := max(p.now+waitPart*(q.Expires-p.now), r.aimAt+waitAims*r.class.Aim)
	r.halfAt = min(most, q.Expires-p.s.Tick-guard)
	p.wake(r.halfAt, r, nil)
	p.rate(r)
	if c := p.chainOf(r); c != nil {
		c.members = append(c.members, r)
		c.live++
		if c.members[0] != r || p.now < c.restTo {
			return
		}
	}
	p.enqueue(r)
}

func (p *scheduler) volume(q Request, plan *Plan) *volume {
	v := p.vols[q.Volume]
	if v == nil {
		v = &volume{plan: plan, at: p.now, heldAt: math.Inf(-1)}
		p.vols[q.Volume] = v
		p.divide(v, parts(q.Hosts, q.Share))
		v.due, v.reserve = v.dueCap, v.resCap
		// This host may have spent its part just before it was restarted, or others what
		// of it was theirs: count only on what has filled since.
		v.limit = min(v.limFloor+v.limFill*(p.now-max(p.born, q.PartSince))/1000, v.limCap)
	}
	s := (p.now - v.at) / 1000
	v.reserve = min(v.reserve+v.resFill*s, v.resCap)
	v.limit = min(v.limit+v.limFill*s, v.limCap)
	v.due = min(v.due+v.dueFill*s, v.dueCap)
	v.at, v.seen = p.now, p.now
	return v
}

// divide gives a volume this host's part of what its plan has.
func (p *scheduler) divide(v *volume, h float64) {
	plan := v.plan
	v.parts = h
	v.resFill, v.limFill, v.dueFill = plan.Reserve/h, plan.Limit/h, dueTimes*plan.Rate/h
	v.resCap, v.limCap = plan.Reserve/h+p.s.MostUnits, plan.Burst/h
	v.limFloor = min(plan.Limit*(bunching+p.s.Rules.SendLate)/1000-plan.Slack, 0) / h
	v.dueCap = max(v.dueFill*spread, 2*p.s.MostUnits)
}

// redivide gives a volume another part of its plan, or another plan. What is left of the
// old one stays, as far as the new one holds it: what it gains may have been spent
// elsewhere. Where nothing was limited, nothing is left that was counted.
func (p *scheduler) redivide(v *volume, plan *Plan, h float64) {
	left := v.limit - v.limFloor
	if v.plan.Limit <= 0 {
		left = 0
	}
	v.plan = plan
	p.divide(v, h)
	v.limit = v.limFloor + min(left, v.limCap-v.limFloor)
}

// rate sets what r's units are worth: in full inside the volume's reserve,
// then inside its weighted share of the node, then as spare.
func (p *scheduler) rate(r *request) {
	plan := &p.s.Plans[r.flow]
	part := p.s.SpareWorth
	if plan.Reserve > 0 && r.vol.reserve >= r.Units {
		r.vol.reserve -= r.Units
		part = 1
	} else if r.vol.due >= r.Units || plan.Rate == 0 {
		r.vol.due -= r.Units
		part = p.s.FairWorth
	}
	r.value = r.class.Worth * plan.Price * part
	r.rank = r.value * (1 + worthDither*p.rng.Float64())
	p.asked += r.Units
	p.recentUnits.addSome(r.Units, p.now, burstSpan)
	p.recent = append(p.recent[max(len(p.recent)-recentMost, 0):], ask{r.rank, r.Units})
}

// serviceOf is the service time to expect at sh: no less than what the oldest
// attempt out there has already taken, so a pause or a dead node shows at once.
func (p *scheduler) serviceOf(sh *shard) float64 {
	s := p.meanAt(sh)
	for _, r := range sh.out {
		if r.sentAt >= sh.passed { // what later ones have overtaken is stuck by itself
			s = max(s, (p.now-r.sentAt)/2)
		}
	}
	return s
}

// meanAt is the mean service time at sh. A host that meets a node once in seconds
// knows little of it: what it has gathered there is filled up with the median of
// all nodes, which also lets a bad sample fade when nothing follows it.
func (p *scheduler) meanAt(sh *shard) float64 {
	return sh.got.mean(p.median, poolWeight)
}

// part is how much of what this host is asked for at sh may go, dearest first: a
// depth below 1, or what a node that warms up bears of the demand to expect.
func (p *scheduler) part(sh *shard) float64 {
	_, bears, _ := p.coldAt(sh)
	return min(sh.depth, bears)
}

// priceFor is the worth above which lies that part of what was asked of late.
func (p *scheduler) priceFor(part float64) float64 {
	if part >= 1 {
		return 0
	}
	price, _ := cut(p.ranked, part)
	return price
}

// waitFor is the wait of a request with `ahead` mean requests before it.
func (p *scheduler) waitFor(sh *shard, ahead float64) float64 {
	return ahead * p.serviceOf(sh) / max(sh.depth, 1)
}

// byWorth orders a plan's requests, and the shedding: under overload the
// earliest aim first would serve old cheap reads before fresh dear ones.
func byWorth(a, b *request) int {
	return cmp.Or(cmp.Compare(b.value, a.value), cmp.Compare(a.aimAt, b.aimAt))
}

// shed parks what cannot be served within its aim, lowest worth first: the
// queue is walked from the highest worth down, and who finds too much before it
// is parked. The parked go only when nothing else waits.
//
// The walk is left out where its outcome is known: where all that waits, one
// after the other, still meets the earliest aim. One that is long is made once in
// walkGap; a queue that long comes only with thousands of requests a second.
func (p *scheduler) shed(sh *shard) {
	service, price := p.serviceOf(sh), p.priceFor(p.part(sh))
	most := max(p.base*(p.largest/p.s.MeanUnits-1), 0)
	calm := price == 0 && p.now+p.waitFor(sh, sh.load/p.s.MeanUnits)+service+most+guard <= sh.firstAim
	stay := p.now+service+most+guard <= sh.firstEnd
	if calm && stay || sh.waiting > longQueue && p.now-sh.walked < walkGap {
		return
	}
	sh.walked = p.now
	p.shedQueues(sh, service, price)
	p.shedParked(sh, service)
}

func (p *scheduler) shedQueues(sh *shard, service, price float64) {
	_, bears, warming := p.coldAt(sh)
	room := sh.room
	sh.room = nil // what is let go of may bring another walk in the midst of this one
	all := sh.dearest(room)
	ahead, first := 0.0, math.Inf(1)
	filed := sh.filed
	look := func(r *request) {
		switch {
		case r == nil || !r.queued: // ended or sent while an earlier one was let go of
		case r.rank < price, warming && !p.amongDearest(r, bears):
			sh.wasFull = true
			p.park(sh, r)
		case p.now+ahead*service/max(sh.depth, 1)+service+p.extra(r) > r.aimAt:
			p.park(sh, r)
		default:
			ahead += r.Units / p.s.MeanUnits
			first = min(first, r.aimAt)
		}
	}
	for _, r := range slices.Clone(sh.retries.all) {
		look(r)
	}
	for _, r := range all {
		look(r)
	}
	clear(all)
	sh.room = all
	if sh.filed == filed { // nothing came meanwhile that this walk has not seen
		sh.firstAim = first
	}
}

// shedParked: what cannot be answered before its client leaves would be wasted
// work, and clients with short tries come again at once: they are told to stay
// away. It also clears queues before a stalled node; a node that recovers within
// a request's time could still have served it late.
func (p *scheduler) shedParked(sh *shard, service float64) {
	first, aside := math.Inf(1), sh.aside
	for _, r := range slices.Clone(sh.parked.all) {
		switch {
		case r == nil || !r.queued:
		case p.now+service+p.extra(r) > r.Expires:
			p.end(r)
		default:
			first = min(first, r.Expires)
		}
	}
	if sh.aside == aside {
		sh.firstEnd = first
	}
}

// park sets r aside, or refuses it at once where it blocks its key.
func (p *scheduler) park(sh *shard, r *request) {
	sh.remove(r)
	if c := p.chainOf(r); c != nil && c.live > 1 {
		p.end(r)
		return
	}
	r.queued = true
	sh.waiting++
	sh.parked.add(r)
	sh.aside++
	sh.firstEnd = min(sh.firstEnd, r.Expires)
}

// room tells whether the depth bound lets one more go.
func (p *scheduler) room(sh *shard) bool {
	return float64(len(sh.out)+1) <= max(math.Round(sh.depth), 1)
}

// pumpWaiting is pump where something waits.
func (p *scheduler) pumpWaiting(sh *shard) {
	if sh.waiting > 0 {
		p.pump(sh)
	}
}

// pump sends what may go to sh's node.
func (p *scheduler) pump(sh *shard) {
	p.visits++
	p.shed(sh)
	for sh.waiting > 0 {
		n := sh.node
		if n == nil {
			return
		}
		if p.now < n.holdTill {
			p.wake(n.holdTill, nil, sh)
			return
		}
		if n.suspect && len(sh.out) > 0 {
			return
		}
		if !p.room(sh) {
			sh.wasFull = true
			return
		}
		r := p.choose(sh)
		if r == nil {
			return
		}
		p.send(sh, r)
	}
}

// choose picks the next request that the rules let go: further attempts, then
// smallest start tag, then the parked.
func (p *scheduler) choose(sh *shard) *request {
	for _, r := range sh.retries.all {
		if r != nil && p.may(r, sh) {
			return r
		}
	}
	var best *flow
	var pick *request
	for i := range sh.flows {
		f := &sh.flows[i]
		if best != nil && f.finish >= best.finish {
			continue
		}
		if r := f.next(p, sh); r != nil {
			best, pick = f, r
		}
	}
	if best != nil {
		sh.vtime = best.finish // the start tag of what goes
		best.finish += pick.Units / p.shares.u[pick.flow]
		return pick
	}
	// The parked go only to a node with nothing of ours that also answers nearly
	// as quickly as it does unloaded: a late answer earns little and would delay
	// what is due through other hosts. A node first met under load looks idle.
	// A quick one with room to spare is as good as idle.
	idle := sh.quick || len(sh.out) == 0 && p.meanAt(sh) <= idleTimes*p.base
	if !idle || p.part(sh) < 1 {
		return nil
	}
	if p.now < sh.asideTill-rounding && sh.asideMark == sh.mark() { // limits hold all that would be seen
		p.wake(sh.asideTill+guard, nil, sh)
		return nil
	}
	seen, held, till := 0, 0, math.Inf(1)
	for _, r := range sh.parked.all {
		if r == nil {
			continue
		}
		if seen++; seen > longQueue {
			break
		}
		better := pick == nil || (r.aimAt > p.now) && (pick.aimAt <= p.now) || r.value > pick.value
		if p.heldAt = 0; better && p.may(r, sh) {
			pick = r
		} else if p.heldAt > 0 {
			held, till = held+1, min(till, p.heldAt)
		}
	}
	if sh.asideMark, sh.asideTill = sh.mark(), 0; held > 0 && held == min(seen, longQueue) {
		sh.asideTill = till
	}
	return pick
}

// may is the one gate before every send: it holds each rule.
func (p *scheduler) may(r *request, sh *shard) bool {
	n := sh.node
	if r.done || n == nil || n.toldOff {
		return false
	}
	if most := r.terms.Limits.MaxAttempts; most > 0 && r.attempts >= most {
		return false
	}
	if r.out > 0 || r.ran && !p.repeatable(r, n) {
		return false
	}
	if r.attempts > 0 && !p.inBudget() {
		return false
	}
	if c := p.chainOf(r); c != nil && (c.members[0] != r || p.now < c.restTo) {
		p.wake(max(c.restTo, p.now+guard), nil, sh)
		return false
	}
	if !p.limitOK(r, sh) {
		return false
	}
	budget, part, cold := p.cold(n)
	if !cold {
		return true
	}
	if rest := p.born + p.fallSpan(); n.coldAt < p.born && p.now < rest { // this host may have been restarted
		p.wake(rest, nil, sh)
		return false
	}
	sends, units := n.sends.since(p.now - p.fallSpan())
	if units+r.Units <= budget {
		return true
	}
	if sends > 0 {
		p.wake(n.sends.oldest()+p.fallSpan()+p.s.Tick, nil, sh)
		return false
	}
	return r.attempts == 0 && p.amongDearest(r, part)
}

// repeatable tells whether r, which may have run, may be sent to n.
func (p *scheduler) repeatable(r *request, n *node) bool {
	switch r.class.Effect {
	case Safe:
		return true
	case Keyed:
		if p.now > p.dropped(r) {
			return false
		}
		switch r.class.Group {
		case GroupAll:
			return true
		case GroupZone:
			return n == r.ranNode || n.Zone != "" && n.Zone == r.ranNode.Zone
		default:
			return n.Shard == r.ranNode.Shard
		}
	}
	return false
}

func (p *scheduler) inBudget() bool {
	used, may := p.budget()
	return !p.s.Rules.HasBudget || used+1 <= may
}

// budget is how many attempts beyond the first there were, and may be, within its span.
func (p *scheduler) budget() (used, may float64) {
	ru := &p.s.Rules
	old := p.now - ru.BudgetSpan
	resends, _ := p.resends.since(old - p.s.Tick - ru.SendLate) // they count where they pass
	taken, _ := p.taken.since(old + p.s.Tick)
	return float64(resends), ru.BudgetFree + ru.BudgetShare*float64(taken)
}

// limitOK holds a limited volume to this host's part of the limit.
func (p *scheduler) limitOK(r *request, sh *shard) bool {
	if r.vol.plan.Limit <= 0 || r.charged {
		return true
	}
	v := p.volume(r.Request, r.vol.plan)
	if lack := v.limFloor + r.Units - v.limit; lack > 0 {
		p.heldAt, v.heldAt = p.now+lack/v.limFill*1000, p.now
		p.wake(p.heldAt+guard, nil, sh)
		return false
	}
	return true
}

func (p *scheduler) send(sh *shard, r *request) {
	n := sh.node
	p.touch(sh)
	sh.remove(r)
	if r.vol.plan.Limit > 0 && !r.charged {
		r.vol.limit -= r.Units
	}
	if r.charged = true; r.attempts > 0 && p.s.Rules.HasBudget {
		p.resends.add(p.now, 1)
	}
	n.sends.add(p.now, r.Units)
	n.sends.since(p.now - p.fallSpan())
	r.attempts++
	r.out++
	r.sentAt, r.sentTo, r.sentCold, r.stray = p.now, n, n.coldAt, false
	sh.out = append(sh.out, r)
	p.do(Send{ID: r.ID, Node: n.Addr, Until: p.until(r, sh), By: p.by(r)})
}

// by is when an attempt has to have begun that may wait for its connection: what was counted
// as sent now is not to pass much later, and no repeat goes when none is dropped any more.
func (p *scheduler) by(r *request) float64 {
	by := math.Inf(1)
	if late := p.s.Rules.SendLate; late > 0 {
		by = p.now + late
	}
	if r.ran && r.class.Effect == Keyed {
		by = min(by, p.dropped(r))
	}
	return by
}

// dropped is until when repeats of r, which may have run, are surely dropped.
func (p *scheduler) dropped(r *request) float64 { return r.ranAt + r.class.Window - p.s.Tick - guard }

// fallSpan is how long ago an attempt may have been decided that still counts at a cold node.
func (p *scheduler) fallSpan() float64 { return p.s.Rules.FallTime + p.s.Rules.SendLate + p.s.Tick }

// until is when to give an attempt up that may be repeated: an answer lost on its
// way, or a process that hangs, would else hold depth until the client leaves,
// and make the node look as slow. Where only this node is slow it costs work.
func (p *scheduler) until(r *request, sh *shard) float64 {
	if r.class.Effect == Unsafe || r.class.Streamed {
		return 0
	}
	return min(p.now+max(stuckAims*r.class.Aim, stuckTimes*p.meanAt(sh)), r.Expires)
}

// Outcomes.

func (p *scheduler) outcome(o Outcome) {
	r := p.reqs[o.ID]
	if r == nil || r.out == 0 {
		return
	}
	sh, n := r.shard, r.sentTo // the list may have dropped the node since
	r.out--
	sh.out = slices.DeleteFunc(sh.out, func(x *request) bool { return x == r })
	p.touch(sh)
	p.judge(r, n, o)
	switch o.Result {
	case TurnedAway, NoConnection, NotSent:
		r.reached = r.reached || o.Result == TurnedAway
		p.uncharge(r, o.Result)
	default:
		if r.reached = true; !r.ran {
			r.ran, r.ranAt, r.ranNode = true, r.sentAt, n
		}
	}
	if c := p.chainOf(r); c != nil {
		switch o.Result {
		case NoAnswer, ConnectionLost, Cancelled:
			c.restTo = max(c.restTo, p.now+r.terms.Rules.KeyRest+p.s.Tick)
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

// uncharge has a request that never passed take its units anew when it does, for the store has
// filled meanwhile. What found no connection has them back; of the rest that is less sure.
func (p *scheduler) uncharge(r *request, o Result) {
	if p.s.Rules.SendLate <= 0 || r.reached || !r.charged {
		return
	}
	if r.charged = false; o == NoConnection && r.vol.plan.Limit > 0 {
		r.vol.limit = min(r.vol.limit+r.Units, r.vol.limCap)
	}
}

// judge learns from an outcome. Only what was served tells service time: an
// error or a refusal is quick without the node being so.
func (p *scheduler) judge(r *request, n *node, o Outcome) {
	sh := r.shard
	switch o.Result {
	case Served:
		p.learn(sh, max(o.Elapsed-p.extra(r), 0))
		sh.took.add(o.Elapsed)
		n.easy.add(p.now, easySpan)
		n.good.add(p.now, poolSpan)
		sh.passed = max(sh.passed, r.sentAt)
		p.strays(sh)
		p.shares.served(r, p.now-r.arrived)
		if n.suspect && n.pause > maxPause/2 {
			n.coldAt = max(n.coldAt, p.now) // down for long: it was restarted
			p.recall(sh)
		}
		n.suspect, n.pause = false, 0
	case ServerError:
		n.bad.add(p.now, poolSpan)
	case NoAnswer: // it took at least so long
		p.learn(sh, max(o.Elapsed, p.meanAt(sh)))
		if o.Elapsed >= p.tightest() {
			p.hold(n, p.crowd())
		}
	case TurnedAway: // a whole queue stands before what would be taken now
		// Not so where it serves many within the pause and turns a few away: at
		// thousands a second, a pause for each would keep an idle node from work.
		sh.got.add(stuckAims * p.tightest())
		n.hard.add(p.now, easySpan)
		if n.easy.value(p.now, easySpan) < easyTimes*n.hard.value(p.now, easySpan) {
			p.hold(n, p.crowd())
		}
	case NoConnection, ConnectionLost:
		n.bad.add(p.now, poolSpan)
		if o.Result == NoConnection || n.failing(p.now) > lonePart { // a connection also breaks alone
			n.suspect = true
			p.hold(n, 1)
		}
	}
}

// strays gives up what others overtook that were sent several service times later: its answer
// is lost. In a pause nothing overtakes. A cancel may leave a copy at work: only where two may.
func (p *scheduler) strays(sh *shard) {
	for _, r := range sh.out {
		lost := r.sentAt+stuckTimes*p.meanAt(sh) < sh.passed && r.class.Effect != Unsafe
		if lost && p.s.Limits.Cancel && p.s.Limits.Copies && !r.stray && !r.done && !r.class.Streamed {
			r.stray = true
			p.do(CancelAttempt{r.ID, r.attempts - 1})
		}
	}
}

// extra is what r's size adds to the service time of a mean request, or takes off.
func (p *scheduler) extra(r *request) float64 {
	return p.base * (r.Units/p.s.MeanUnits - 1)
}

// hold keeps this host away from n for a while, twice as long each time. A node
// that holds too much works slower and slower: if each of many hosts tried once a
// second it would never drain, so before one that is full or does not answer the
// time grows with the hosts. It harms where only this host met a lone long pause.
func (p *scheduler) hold(n *node, times float64) {
	n.pause = min(max(2*n.pause, retryPause*times), maxPause*times)
	n.holdTill = p.now + n.pause
}

func (p *scheduler) crowd() float64 { return max(float64(p.s.Hosts)/fewDepth, 1) }

func (p *scheduler) learn(sh *shard, took float64) {
	took = min(took, stuckAims*p.tightest()) // one bad node must not stand for all
	sh.got.add(took)
	p.pool = append(p.pool[max(len(p.pool)-poolMost, 0):], answer{p.now, took})
}

// again files r for a further attempt, or ends it if there can be none.
func (p *scheduler) again(r *request) {
	last := p.now >= r.Expires-p.s.Tick-guard || !r.reached && p.now >= r.halfAt
	used := r.terms.Limits.MaxAttempts > 0 && r.attempts >= r.terms.Limits.MaxAttempts
	if last || used || r.ran && r.class.Effect == Unsafe {
		p.end(r)
		return
	}
	p.enqueue(r)
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
			p.wake(last, r, nil)
		}
		return
	}
	if r.out == 0 {
		p.end(r)
		return
	}
	late := r.Expires + r.terms.Rules.AnswerSlack/2
	if p.now < late { // the attempt's own time-out comes first
		p.wake(late, r, nil)
		return
	}
	p.end(r)
}

// end gives r its final answer: a refusal where its class allows that.
func (p *scheduler) end(r *request) {
	safe := r.class.Effect == Safe || r.class.Effect == Keyed && r.class.Group == GroupAll
	if safe || !r.ran && r.out == 0 {
		p.do(Refuse{r.ID, r.terms.Limits.RetryAfter, p.why(r)})
	} else {
		p.do(Fail{r.ID, p.why(r)})
	}
	p.turnOff(r)
	p.finish(r)
}

// The second: targets, model, shares, depths.

func (p *scheduler) second() {
	p.do(SetTimer{period, "second"})
	p.subscribe()
	p.learnRate()
	p.ranked = append(p.ranked[:0], p.recent...)
	slices.SortFunc(p.ranked, func(a, b ask) int { return cmp.Compare(b.worth, a.worth) })
	p.median = medianOf(p.pool, p.tightest()*aimPart/2)
	if len(p.pool) >= minSample {
		p.base = min(p.base+baseGain*(p.median-p.base), p.median)
	}
	for _, sh := range p.shards {
		p.setDepth(sh)
		p.pumpWaiting(sh)
	}
	p.reindex()
	p.pool = slices.DeleteFunc(p.pool, func(a answer) bool { return p.now-a.at > poolSpan })
	p.shares.step()
	p.dropIdle(idleVolume)
}

func (p *scheduler) floor() float64 { return max(fewDepth/float64(p.s.Hosts), minPart) }

// setDepth aims the node's service time at a part of the tightest aim, less
// that class's wait, by the control law; it moves only when the depth held
// something back, for otherwise depth was not what made the service time.
func (p *scheduler) setDepth(sh *shard) {
	aim := p.tightest()
	mean, full := p.meanAt(sh), sh.wasFull
	y := mean / aim
	sh.wasFull = false
	sh.quick = sh.took.n >= minSample && sh.took.mean(p.median, poolWeight)*maxDepth <= aimPart*aim
	sh.took.fade(gatherKeep)
	if sh.got.n < minSample {
		sh.got.fade(thinKeep)
	} else {
		sh.got.fade(gatherKeep)
	}
	known := sh.got.n + float64(len(p.pool))
	if sh.depth < 1 {
		sh.depth += blindPull / (1 + known) * (1 - sh.depth)
	}
	if known < minSample || sh.node == nil || sh.node.suspect {
		return
	}
	last := sh.lastY
	sh.lastY = y
	if !full && sh.depth >= 1 && y < aimPart {
		return
	}
	sh.fit.update([]float64{last, sh.depth / maxDepth * depthScale, 1}, y)
	sh.fit.theta[1] = max(sh.fit.theta[1], minGain)
	b := sh.fit.theta[1] * depthScale / maxDepth
	ref := partAim
	if sh.depth >= 1 { // a part holds nothing back for long: what waits is let go of
		ref = max(aimPart-p.shares.tightWait(aim)/aim, aimPart/2)
	}
	du := controlStep([][]float64{{b}}, []float64{ref - y}, depthQ)
	if du == nil {
		return
	}
	d := sh.depth + du[0]
	if sh.quick {
		// What the ceiling would put there, served one by one, still meets the aim.
		// The law's steps are sized for service times near the aim: it would take a
		// minute to give an idle node of a millisecond enough to do.
		d = sh.depth * riseStep
	}
	sh.depth = min(max(d, p.floor(), sh.depth*fallStep), maxDepth, sh.depth*riseStep)
}

// step is one sample: fit, optimize, control.
func (g *regulator) step() {
	n := len(g.u)
	total, units := 0.0, 0.0
	for i := range n {
		total += g.count[i]
		units += g.units[i]
	}
	defer g.clear()
	if total < minSample || n < 2 || units <= 0 {
		return
	}
	for i := range n {
		if g.count[i] == 0 {
			continue
		}
		thr, inv := g.units[i]/units, min(g.aims[i]/max(g.lat[i], 1), 2)
		for k, y := range map[int]float64{i: thr, n + i: inv} {
			g.fits[k].update(g.row(k, g.u), y)
			g.fits[k].theta[1+i] = max(g.fits[k].theta[1+i], minGain)
			g.y[k] = y
		}
	}
	g.control(g.targets(min(total, shareSteps)))
}

// utility is worth got: throughput up to what was asked, by the part of its
// answers inside the aim, at the plan's mean worth.
func (g *regulator) utility(i int, u []float64) float64 {
	if g.count[i] == 0 {
		return 0
	}
	return g.worth[i] / g.units[i] * g.predict(i, u) * min(g.predict(len(u)+i, u), 1)
}

// targets is the greedy optimizer of the paper's figure 4.
func (g *regulator) targets(total float64) []float64 {
	n := len(g.u)
	u, cur := make([]float64, n), make([]float64, n)
	for left := int(total); left > 0; {
		pick, step, gain := 0, 1, math.Inf(-1)
		for i := range n {
			d, got := left, 0.0 // what nobody asked of gains nothing by any share
			if g.count[i] > 0 {
				d, got = 1, g.with(i, u, 1/total)
			}
			for got <= cur[i] && d < left {
				d++
				got = g.with(i, u, float64(d)/total)
			}
			if v := (got - cur[i]) / float64(d); v > gain {
				pick, step, gain = i, d, v
			}
		}
		u[pick] += float64(step) / total
		cur[pick] = g.with(pick, u, 0)
		left -= step
	}
	ref := make([]float64, 2*n)
	for i := range ref {
		ref[i] = g.predict(i, u)
	}
	return ref
}

// control minimises |W(y-yref)|^2 + |Q du|^2 over the next shares.
func (g *regulator) control(ref []float64) {
	b, miss := g.weighted(ref, latencyW)
	du := controlStep(b, miss, shareQ)
	if du == nil {
		return
	}
	sum := 0.0
	for k := range g.u {
		g.u[k] = max(g.u[k]+du[k], minShare)
		sum += g.u[k]
	}
	for k := range g.u {
		g.u[k] = max(g.u[k]/sum, minShare/float64(len(g.u)))
	}
}
