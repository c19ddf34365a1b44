package policy

import (
	"math"
	"slices"
)

// Health of nodes, as learnt from the outcomes of attempts.

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
		p.giveUpOvertaken(sh)
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
	case Rejected: // a whole queue stands before what would be taken now
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

type node struct {
	Node
	excluded bool    // draining or gone
	coldAt   float64 // start that it has still to warm up from
	suspect  bool    // last attempt found no process; one trial at a time
	pause    float64
	holdTill float64
	sends    window // within the last Rules.FallTime and a tick
	easy     fading // of late answers that it served
	hard     fading // and that it turned away
	good     fading // of attempts within some poolSpan that it served
	bad      fading // and that it failed
}

// failing is the part of its late answers that were errors, with a prior of none.
func (n *node) failing(now float64) float64 {
	if n.bad.n == 0 {
		return 0
	}
	bad := n.bad.value(now, poolSpan)
	return bad / (bad + n.good.value(now, poolSpan) + poolWeight)
}

// answer is a time that an attempt took.
type answer struct{ at, took float64 }

func medianOf(as []answer, none float64) float64 {
	if len(as) == 0 {
		return none
	}
	t := make([]float64, len(as))
	for i, a := range as {
		t[i] = a.took
	}
	slices.Sort(t)
	return t[len(t)/2]
}

// newNode is a node's record before the list's entry is taken in.
func newNode(e Node) *node {
	n := &node{coldAt: math.Inf(-1), excluded: true}
	n.Addr, n.Shard = e.Addr, e.Shard
	return n
}
