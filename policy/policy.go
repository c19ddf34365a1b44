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
	// fewDepth is the design's "few", at start and as floor, for all hosts together:
	// a node of a core or two stays busy over a round trip. A host's floor is its
	// part, at least 1: less would idle the node where only this host has work.
	fewDepth = 6.0
	// aimPart of the tightest aim is what wait and mean service may take
	// together; the rest is for the spread of service times and for pauses.
	aimPart   = 0.3
	depthQ    = 0.15  // penalty on depth changes; larger, against its gain, than shareQ
	depthGain = 0.10  // starting figure: service time in aims that one more request out adds
	minGain   = 0.02  // known sign: fitted gains never fall below this
	shareQ    = 0.3   // penalty on share changes: a full step takes some three seconds
	minShare  = 0.04  // no flow is ever shut out
	latencyW  = 0.5   // inverse latency misses weigh half of throughput misses
	forget    = 0.97  // RLS forgetting: a memory of about half a minute
	maxCov    = 100.0 // trace above which nothing is forgotten: bounded without excitation
	minSample = 3     // answers that a second must have to teach anything

	stuckAims   = 1.5         // an attempt out for so many of its aims is given up,
	stuckTimes  = 5           // but not before so many service times: the node may be slow
	idleTimes   = 1.3         // a node this near its own unloaded service time has nothing waiting
	baseGain    = 0.05        // a second's pull on the unloaded service time from above
	serviceGain = 0.15        // weight of the newest service time in the running mean
	retryPause  = 60.0        // wait after a refused connection or a full node, doubled each time
	maxPause    = 1000        // and at most this
	askAgain    = 700.0       // wait before asking again for the node list
	guard       = 1.0         // final answers of held requests leave this much (plus a tick) early
	spread      = 0.5         // seconds of its rate that a volume may save up as due
	idleVolume  = 30 * period // a volume unseen for so long is forgotten
	fairPart    = 0.9         // part of a node's power that is dealt out as share
)

// start begins the sampling at a phase of this host's own, so that hosts do
// not all move at once, and asks for the list where it must be asked.
func (p *scheduler) start() {
	p.started, p.born = true, p.now
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

// Node list.

func (p *scheduler) list(l NodeList) {
	if !l.Cached {
		p.subOn = true
	}
	named := map[string]bool{}
	for _, e := range l.Nodes {
		named[e.Addr] = true
		p.setNode(e)
	}
	if l.Full {
		for _, n := range p.nodes {
			if !named[n.Addr] {
				n.toldOff = true
			}
		}
	}
	for _, sh := range p.shards {
		p.assign(sh)
		p.pump(sh)
	}
}

func (p *scheduler) setNode(e Node) {
	n := p.nodes[e.Addr]
	if n == nil {
		n = &node{coldAt: math.Inf(-1)}
		p.nodes[e.Addr] = n
	}
	if e.Started > 0 && e.Started != n.Started {
		n.coldAt = max(n.coldAt, e.Started)
	}
	if e.Health == Gone {
		e.Shard = n.Shard
	}
	n.Node, n.toldOff = e, e.Health != Ready
	if e.Health == Ready {
		p.shard(e.Shard)
	}
}

func (p *scheduler) resetDepth(sh *shard) {
	sh.depth = p.floor()
	sh.fit = newRLS([]float64{0, depthGain, depthGain}, forget, maxCov)
	sh.service, sh.base = 0, 0
}

// assign gives the shard the node that holds it now: of those that may be sent
// to, the one started last. What is gone is forgotten once it owes nothing.
func (p *scheduler) assign(sh *shard) {
	var best *node
	for addr, n := range p.nodes {
		if n.toldOff && n != sh.node && n.Health == Gone {
			delete(p.nodes, addr)
		}
		if n.Shard != sh.id || n.toldOff {
			continue
		}
		if best == nil || n.Started > best.Started || n.Started == best.Started && n.Addr < best.Addr {
			best = n
		}
	}
	if best != sh.node {
		if sh.node != nil && best != nil {
			p.resetDepth(sh)
		}
		sh.node = best
	}
}

// cold tells whether n is still warming up, and the units that this host may
// send it within any Rules.FallTime. All hosts together may send ColdUnits at
// the least capacity; that capacity grows no slower than evenly over ColdTime.
func (p *scheduler) cold(n *node) (budget float64, yes bool) {
	age, r := p.now-n.coldAt, p.s.Rules
	if age >= r.ColdTime {
		return 0, false
	}
	grown := 1.0
	if r.ColdFrom > 0 && r.ColdTime > 0 {
		grown += (1 - r.ColdFrom) / r.ColdFrom * max(age-r.FallTime, 0) / r.ColdTime
	}
	return r.ColdUnits * grown / float64(p.s.Hosts), true
}

// Requests.

func (p *scheduler) take(q Request) {
	r := &request{Request: q, arrived: p.now}
	p.reqs[q.ID] = r
	r.flow = max(slices.IndexFunc(p.s.Plans, func(pl Plan) bool { return pl.Name == q.Plan }), 0)
	r.class = &Class{Worth: 1, Aim: q.Expires - p.now} // if never announced: the most careful kind
	if i := slices.IndexFunc(p.s.Classes, func(c Class) bool { return c.Name == q.Class }); i >= 0 {
		r.class = &p.s.Classes[i]
	}
	r.aimAt = min(p.now+r.class.Aim, q.Expires)
	r.vol = p.volume(q, &p.s.Plans[r.flow])
	if p.s.Rules.HasBudget {
		p.taken = append(p.taken, p.now)
	}
	r.shard = p.place(q.Shard)
	p.wake(q.Expires-p.s.Tick-guard, r, nil)
	p.rate(r)
	if c := p.chainOf(r); c != nil {
		c.members = append(c.members, r)
		if c.members[0] != r || p.now < c.restTo {
			return
		}
	}
	p.enqueue(r)
}

// place picks the queue: the shard's own, or for a new object the one where
// the wait is shortest.
func (p *scheduler) place(id int) *shard {
	if id >= 0 {
		return p.shard(id)
	}
	var best *shard
	low := math.Inf(1)
	for _, sh := range p.shards {
		if sh.node == nil || sh.node.suspect {
			continue
		}
		w := p.waitFor(sh, float64(sh.waiting)) + p.serviceOf(sh)
		if _, cold := p.cold(sh.node); cold {
			w *= 4 // a cold node serves few, and its budget is for what must go there
		}
		if w < low {
			best, low = sh, w
		}
	}
	if best == nil {
		return p.shard(0)
	}
	return best
}

func (p *scheduler) volume(q Request, plan *Plan) *volume {
	v := p.vols[q.Volume]
	if v == nil {
		h := float64(max(q.Hosts, 1))
		v = &volume{
			at: p.now, resFill: plan.Reserve / h, resCap: plan.Reserve/h + p.s.MostUnits,
			limFill: plan.Limit / h, limCap: plan.Burst / h, limFloor: -plan.Slack / h,
		}
		v.reserve = v.resCap
		// This host may have spent its part just before it was restarted: count
		// only on what has filled since it was born.
		v.limit = min(v.limFloor+v.limFill*(p.now-p.born)/1000, v.limCap)
		p.vols[q.Volume] = v
	}
	s := (p.now - v.at) / 1000
	v.reserve = min(v.reserve+v.resFill*s, v.resCap)
	v.limit = min(v.limit+v.limFill*s, v.limCap)
	v.at, v.seen = p.now, p.now
	return v
}

// rate sets what r's units are worth: in full inside the volume's reserve,
// then inside its weighted share of the node, then as spare.
func (p *scheduler) rate(r *request) {
	plan := &p.s.Plans[r.flow]
	f := r.shard.sub(r)
	f.asked += r.Units
	f.due = min(f.due+f.rate*(p.now-f.last)/1000, max(f.rate*spread, p.s.MostUnits))
	f.last = p.now
	part := p.s.SpareWorth
	if plan.Reserve > 0 && r.vol.reserve >= r.Units {
		r.vol.reserve -= r.Units
		part = 1
	} else if f.due >= r.Units || f.rate == 0 {
		f.due -= r.Units
		part = p.s.FairWorth
	}
	r.value = r.class.Worth * plan.Price * part
}

// enqueue files r at its shard; further attempts go first.
func (p *scheduler) enqueue(r *request) {
	sh := r.shard
	r.queued = true
	sh.waiting++
	if r.attempts > 0 {
		sh.retries = append(sh.retries, r)
	} else {
		f, s := &sh.flows[r.flow], sh.sub(r)
		if f.idle() {
			f.finish = max(f.finish, sh.vtime)
		}
		if len(s.queue) == 0 {
			s.finish = max(s.finish, f.vtime)
		}
		i := len(s.queue)
		for i > 0 && byWorth(r, s.queue[i-1]) < 0 {
			i--
		}
		s.queue = slices.Insert(s.queue, i, r)
	}
	p.pump(sh)
}

// Order by key.

// release drops what is over from r's chain and files its next request.
func (p *scheduler) release(r *request) {
	c := p.chainOf(r)
	if c == nil {
		return
	}
	c.members = slices.DeleteFunc(c.members, func(x *request) bool { return x.done && x.out == 0 })
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
		p.wake(c.restTo, h, nil)
		return
	}
	p.enqueue(h)
}

// Dispatch.

// serviceOf is the service time to expect at sh: no less than what the oldest
// attempt out there has already taken, so a pause or a dead node shows at once.
func (p *scheduler) serviceOf(sh *shard) float64 {
	s := sh.service
	if s == 0 {
		s = p.tightest() * aimPart / 2
	}
	for _, r := range sh.out {
		s = max(s, (p.now-r.sentAt)/2)
	}
	return s
}

// waitFor is the wait of a request with `ahead` mean requests before it.
func (p *scheduler) waitFor(sh *shard, ahead float64) float64 {
	return ahead * p.serviceOf(sh) / max(sh.depth, 1/maxDepth)
}

// byWorth orders a volume's own requests, and the shedding: under overload the
// earliest aim first would serve old cheap reads before fresh dear ones.
func byWorth(a, b *request) int {
	return cmp.Or(cmp.Compare(b.value, a.value), cmp.Compare(a.aimAt, b.aimAt))
}

// shed parks what cannot be served within its aim, lowest worth first: the
// queue is walked from the highest worth down, and who finds too much before it
// is parked. The parked go only when nothing else waits.
func (p *scheduler) shed(sh *shard) {
	all := sh.all()
	slices.SortStableFunc(all, byWorth)
	service := p.serviceOf(sh)
	ahead := 0.0
	for _, r := range append(slices.Clone(sh.retries), all...) {
		if !r.queued { // ended or sent while an earlier one was let go of
			continue
		}
		if p.now+p.waitFor(sh, ahead)+service > r.aimAt {
			sh.price, sh.priceAt = max(sh.price*standing(p.now-sh.priceAt), r.value), p.now
			p.park(sh, r)
			continue
		}
		ahead += r.Units / p.s.MeanUnits
	}
	// What cannot be answered before its client leaves would be wasted work, and
	// clients with short tries come again at once: they are told to stay away.
	// It also clears queues before a stalled node; a node that recovers within a
	// request's time could still have served it late.
	for _, r := range slices.Clone(sh.parked) {
		if r.queued && p.now+service > r.Expires {
			p.end(r)
		}
	}
}

// park sets r aside, or refuses it at once where it blocks its key.
func (p *scheduler) park(sh *shard, r *request) {
	sh.remove(r)
	if c := p.chainOf(r); c != nil && len(c.members) > 1 {
		p.end(r)
		return
	}
	r.queued = true
	sh.waiting++
	sh.parked = append(sh.parked, r)
}

// room tells whether the depth bound lets one more go.
func (p *scheduler) room(sh *shard) bool {
	return float64(len(sh.out)+1) <= math.Round(sh.depth)
}

// pump sends what may go to sh's node.
func (p *scheduler) pump(sh *shard) {
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
	for _, r := range sh.retries {
		if p.may(r, sh) {
			return r
		}
	}
	// What was shed sets a price that stands for a while: what is worth less goes
	// only after all that is worth it. Without it cheap requests with long aims
	// outlive dear ones that had to be shed. Under no overload the price is 0.
	for _, price := range []float64{sh.price * standing(p.now-sh.priceAt), 0} {
		best, bestSub := -1, (*subflow)(nil)
		for i := range sh.flows {
			f := &sh.flows[i]
			if best >= 0 && f.finish >= sh.flows[best].finish {
				continue
			}
			if s := p.chooseSub(sh, f, price); s != nil {
				best, bestSub = i, s
			}
		}
		if best >= 0 {
			r := bestSub.queue[0]
			p.tag(sh, &sh.flows[best], bestSub, r)
			return r
		}
	}
	// The parked go only to a node with nothing of ours that also answers nearly
	// as quickly as it does unloaded: a late answer earns little and would delay
	// what is due through other hosts. A node first met under load looks idle.
	if len(sh.out) > 0 || sh.service > idleTimes*sh.base {
		return nil
	}
	var pick *request
	for _, r := range sh.parked {
		better := pick == nil || (r.aimAt > p.now) && (pick.aimAt <= p.now) || r.value > pick.value
		if better && p.may(r, sh) {
			pick = r
		}
	}
	return pick
}

func (p *scheduler) chooseSub(sh *shard, f *flow, price float64) *subflow {
	var best *subflow
	for _, s := range f.subs {
		first := len(s.queue) > 0 && (best == nil || s.finish < best.finish)
		if first && s.queue[0].value >= price && p.may(s.queue[0], sh) {
			best = s
		}
	}
	return best
}

// standing is the part of a price that is left after a time.
func standing(after float64) float64 { return math.Exp(-after / period) }

// tag advances virtual time to r's start tags and sets its finish tags.
func (p *scheduler) tag(sh *shard, f *flow, s *subflow, r *request) {
	sh.vtime = f.finish
	f.finish += r.Units / p.shares.u[r.flow]
	f.vtime = s.finish
	s.finish += r.Units
}

// may is the one gate before every send: it holds each rule.
func (p *scheduler) may(r *request, sh *shard) bool {
	n, ru := sh.node, &p.s.Rules
	if r.done || n == nil || n.toldOff {
		return false
	}
	if p.s.Limits.MaxAttempts > 0 && r.attempts >= p.s.Limits.MaxAttempts {
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
	budget, cold := p.cold(n)
	if !cold {
		return true
	}
	n.sends = slices.DeleteFunc(n.sends, func(s sent) bool { return s.at < p.now-ru.FallTime-p.s.Tick })
	used := r.Units
	for _, s := range n.sends {
		used += s.units
	}
	if used > budget && len(n.sends) > 0 {
		p.wake(n.sends[0].at+ru.FallTime+2*p.s.Tick, nil, sh)
		return false
	}
	return used <= budget
}

// repeatable tells whether r, which may have run, may be sent to n.
func (p *scheduler) repeatable(r *request, n *node) bool {
	switch r.class.Effect {
	case Safe:
		return true
	case Keyed:
		if p.now > r.ranAt+r.class.Window-p.s.Tick-guard {
			return false
		}
		switch r.class.Group {
		case GroupAll:
			return true
		case GroupZone:
			return n.Zone == r.ranNode.Zone
		default:
			return n.Shard == r.ranNode.Shard
		}
	}
	return false
}

func (p *scheduler) inBudget() bool {
	ru := &p.s.Rules
	if !ru.HasBudget {
		return true
	}
	old := p.now - ru.BudgetSpan
	p.resends = slices.DeleteFunc(p.resends, func(t float64) bool { return t < old-p.s.Tick })
	p.taken = slices.DeleteFunc(p.taken, func(t float64) bool { return t < old+p.s.Tick })
	return float64(len(p.resends)+1) <= ru.BudgetFree+ru.BudgetShare*float64(len(p.taken))
}

// limitOK holds a limited volume to this host's part of the limit.
func (p *scheduler) limitOK(r *request, sh *shard) bool {
	plan := &p.s.Plans[r.flow]
	if plan.Limit <= 0 || r.attempts > 0 {
		return true
	}
	v := p.volume(r.Request, plan)
	if lack := v.limFloor + r.Units - v.limit; lack > 0 {
		p.wake(p.now+lack/v.limFill*1000+guard, nil, sh)
		return false
	}
	return true
}

func (p *scheduler) send(sh *shard, r *request) {
	n := sh.node
	sh.remove(r)
	if r.attempts == 0 {
		if p.s.Plans[r.flow].Limit > 0 {
			r.vol.limit -= r.Units
		}
	} else if p.s.Rules.HasBudget {
		p.resends = append(p.resends, p.now)
	}
	n.sends = append(n.sends, sent{p.now, r.Units})
	r.attempts++
	r.out++
	r.sentAt, r.sentTo = p.now, n
	sh.out = append(sh.out, r)
	p.do(Send{ID: r.ID, Node: n.Addr, Until: p.until(r, sh)})
}

// until is when to give an attempt up that may be repeated: an answer lost on its
// way, or a process that hangs, would else hold depth until the client leaves,
// and make the node look as slow. Where only this node is slow it costs work.
func (p *scheduler) until(r *request, sh *shard) float64 {
	if r.class.Effect == Unsafe || r.class.Streamed {
		return 0
	}
	return min(p.now+max(stuckAims*r.class.Aim, stuckTimes*sh.service), r.Expires)
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
	p.judge(r, n, o)
	switch o.Result {
	case TurnedAway, NoConnection, NotSent:
	default:
		if !r.ran {
			r.ran, r.ranAt, r.ranNode = true, r.sentAt, n
		}
	}
	if c := p.chainOf(r); c != nil {
		switch o.Result {
		case NoAnswer, ConnectionLost, Cancelled:
			c.restTo = max(c.restTo, p.now+p.s.Rules.KeyRest+p.s.Tick)
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

// judge learns from an outcome. Only what was served tells service time: an
// error or a refusal is quick without the node being so.
func (p *scheduler) judge(r *request, n *node, o Outcome) {
	sh := r.shard
	switch o.Result {
	case Served:
		if sh.service == 0 {
			sh.service = o.Elapsed
		}
		sh.service += serviceGain * (o.Elapsed - sh.service)
		sh.sumTime += o.Elapsed
		sh.served++
		p.shares.served(r, p.now-r.arrived)
		if n.suspect && n.pause > maxPause/2 {
			n.coldAt = max(n.coldAt, p.now) // down for long: it was restarted
		}
		n.suspect, n.pause = false, 0
	case NoConnection, ConnectionLost, TurnedAway:
		n.suspect = n.suspect || o.Result != TurnedAway
		n.pause = min(max(2*n.pause, retryPause), maxPause)
		n.holdTill = p.now + n.pause
	}
}

// again files r for a further attempt, or ends it if there can be none.
func (p *scheduler) again(r *request) {
	last := p.now >= r.Expires-p.s.Tick-guard
	used := p.s.Limits.MaxAttempts > 0 && r.attempts >= p.s.Limits.MaxAttempts
	if last || used || r.ran && r.class.Effect == Unsafe {
		p.end(r)
		return
	}
	p.enqueue(r)
}

// expire ends what is still held when its client is about to give up.
func (p *scheduler) expire(r *request) {
	if r.done {
		return
	}
	if p.now < r.Expires-p.s.Tick-guard { // the key has rested
		p.release(r)
		return
	}
	if r.out == 0 {
		p.end(r)
		return
	}
	late := r.Expires + p.s.Rules.AnswerSlack/2
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
		p.do(Refuse{r.ID, p.s.Limits.RetryAfter})
	} else {
		p.do(Fail{r.ID})
	}
	r.done = true
	p.finish(r)
}

// finish lets go of what r holds; attempts still out keep only its record.
func (p *scheduler) finish(r *request) {
	r.done = true
	r.shard.remove(r)
	if r.out == 0 {
		delete(p.reqs, r.ID)
	}
	p.release(r)
}

// The second: targets, model, shares, depths.

func (p *scheduler) second() {
	p.do(SetTimer{period, "second"})
	p.subscribe()
	for _, sh := range p.shards {
		p.setDepth(sh)
		p.fair(sh)
		p.pump(sh)
	}
	p.shares.step()
	p.dropIdle(idleVolume)
}

func (p *scheduler) floor() float64 { return max(fewDepth/float64(p.s.Hosts), 1) }

// setDepth aims the node's service time at a part of the tightest aim, less
// that class's wait, by the control law; it moves only when the depth held
// something back, for otherwise depth was not what made the service time.
func (p *scheduler) setDepth(sh *shard) {
	aim := p.tightest()
	y, full, n := sh.sumTime/max(float64(sh.served), 1)/aim, sh.wasFull, sh.served
	sh.sumTime, sh.served, sh.wasFull = 0, 0, false
	if n > 0 {
		mean := y * aim
		if sh.base == 0 || mean < sh.base {
			sh.base = mean
		}
		sh.base += baseGain * (mean - sh.base)
	}
	if n < minSample || sh.node == nil || sh.node.suspect {
		return
	}
	x := []float64{sh.lastY, sh.depth / maxDepth * 10, 1}
	sh.lastY = y
	if !full && y < aimPart {
		return
	}
	sh.fit.update(x, y)
	sh.fit.theta[1] = max(sh.fit.theta[1], minGain)
	b := sh.fit.theta[1] * 10 / maxDepth
	ref := max(aimPart-p.shares.tightWait(aim)/aim, aimPart/2)
	du := controlStep([][]float64{{b}}, []float64{ref - y}, depthQ)
	if du == nil {
		return
	}
	d := sh.depth + du[0]
	sh.depth = min(max(d, p.floor(), sh.depth/2), maxDepth, sh.depth*2)
}

// fair deals this host's part of the node out among the volumes that ask for
// it, by weight, and what one leaves to the others.
func (p *scheduler) fair(sh *shard) {
	power := fairPart * sh.depth / p.serviceOf(sh) * p.s.MeanUnits * 1000
	var subs []*subflow
	weight := 0.0
	for i := range sh.flows {
		for _, s := range sh.flows[i].subs {
			s.demand += 0.5 * (s.asked - s.demand)
			s.asked = 0
			s.weight = max(p.s.Plans[i].Weight, minShare)
			if s.demand > 0.1 {
				subs = append(subs, s)
				weight += s.weight
			}
		}
	}
	slices.SortStableFunc(subs, func(a, b *subflow) int {
		return cmp.Compare(a.demand/a.weight, b.demand/b.weight)
	})
	for _, s := range subs {
		s.rate = power * s.weight / weight
		power -= min(s.demand, s.rate)
		weight -= s.weight
	}
}

func (g *regulator) init(plans []Plan) {
	n := len(plans)
	sum := 0.0
	for _, pl := range plans {
		sum += max(pl.Weight, minShare)
	}
	for _, pl := range plans {
		g.u = append(g.u, max(pl.Weight, minShare)/sum)
	}
	g.y = make([]float64, 2*n)
	for i := range 2 * n {
		theta := make([]float64, n+2) // own last value, shares, constant
		theta[0], theta[1+i%n] = 0.3, 0.7
		g.fits = append(g.fits, newRLS(theta, forget, maxCov))
	}
	g.clear()
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
	g.control(g.targets(total))
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
	for i := range cur {
		cur[i] = math.Inf(-1)
	}
	for left := int(total); left > 0; {
		pick, step, gain := 0, 1, math.Inf(-1)
		for i := range n {
			d, got := 1, 0.0
			for d = 1; d <= left; d++ {
				old := u[i]
				u[i] += float64(d) / total
				got = g.utility(i, u)
				u[i] = old
				if got > cur[i] {
					break
				}
			}
			if d > left {
				d = 1
			}
			base := cur[i]
			if math.IsInf(base, -1) {
				base = 0
			}
			if v := (got - base) / float64(d); v > gain {
				pick, step, gain = i, d, v
			}
		}
		u[pick] += float64(step) / total
		cur[pick] = g.utility(pick, u)
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
	n := len(g.u)
	b, miss := make([][]float64, 2*n), make([]float64, 2*n)
	for i := range b {
		w := 1.0
		if i >= n {
			w = latencyW
		}
		for k := range n {
			b[i] = append(b[i], w*g.fits[i].theta[1+k])
		}
		miss[i] = w * (ref[i] - g.predict(i, g.u))
	}
	du := controlStep(b, miss, shareQ)
	if du == nil {
		return
	}
	next, sum := make([]float64, n), 0.0
	for k := range n {
		next[k] = max(g.u[k]+du[k], minShare)
		sum += next[k]
	}
	for k := range n {
		g.u[k] = max(next[k]/sum, minShare/float64(n))
	}
}
