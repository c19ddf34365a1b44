package policy

import (
	"math"
	"slices"
)

// Health of nodes, as learnt from the outcomes of attempts.

// expectedServiceTime is the service time to expect at sh: no less than what the oldest
// attempt out there has already taken, so a pause or a dead node shows at once.
func (p *scheduler) expectedServiceTime(sh *shard) float64 {
	expected := p.meanServiceTime(sh)
	for _, r := range sh.out {
		if r.sentAt >= sh.passed { // what later ones have overtaken is stuck by itself
			expected = max(expected, (p.now-r.sentAt)/2)
		}
	}
	return expected
}

// meanServiceTime is the mean service time at sh. A host that meets a node once in seconds
// knows little of it: what it has gathered there is filled up with the median of
// all nodes, which also lets a bad sample fade when nothing follows it.
func (p *scheduler) meanServiceTime(sh *shard) float64 {
	return sh.got.mean(p.median, poolWeight)
}

// recordOutcome learns from an outcome. Only what was served tells service time: an
// error or a refusal is quick without the node being so.
func (p *scheduler) recordOutcome(r *request, n *node, o Outcome) {
	sh := r.shard
	switch o.Result {
	case Served:
		p.addServiceTime(sh, max(o.Elapsed-p.extra(r), 0))
		sh.took.add(o.Elapsed)
		n.servedShort.add(p.now, easySpan)
		n.servedLong.add(p.now, poolSpan)
		sh.passed = max(sh.passed, r.sentAt)
		p.giveUpOvertaken(sh)
		p.shares.recordServed(r, p.now-r.arrived)
		if n.suspect && n.backoff > maxPause/2 {
			n.coldSince = max(n.coldSince, p.now) // down for long: it was restarted
			p.withdrawStale(sh)
		}
		n.suspect, n.backoff = false, 0
	case ServerError:
		n.errorsLong.add(p.now, poolSpan)
	case NoAnswer: // it took at least so long
		p.addServiceTime(sh, max(o.Elapsed, p.meanServiceTime(sh)))
		if o.Elapsed >= p.tightest() {
			p.backOff(n, p.backoffScale())
		}
	case Rejected: // a whole queue stands before what would be taken now
		// Not so where it serves many within the pause and turns a few away: at
		// thousands a second, a pause for each would keep an idle node from work.
		sh.got.add(stuckAims * p.tightest())
		n.rejectedShort.add(p.now, easySpan)
		if n.servedShort.value(p.now, easySpan) < easyTimes*n.rejectedShort.value(p.now, easySpan) {
			p.backOff(n, p.backoffScale())
		}
	case NoConnection, ConnectionLost:
		n.errorsLong.add(p.now, poolSpan)
		if o.Result == NoConnection || n.errorFraction(p.now) > lonePart { // a connection also breaks alone
			n.suspect = true
			p.backOff(n, 1)
		}
	}
}

// backOff keeps this host away from n for a while, twice as long each time. A node
// that holds too much works slower and slower: if each of many hosts tried once a
// second it would never drain, so before one that is full or does not answer the
// time grows with the hosts. It harms where only this host met a lone long pause.
func (p *scheduler) backOff(n *node, scale float64) {
	n.backoff = min(max(2*n.backoff, retryPause*scale), maxPause*scale)
	n.backoffEnd = p.now + n.backoff
}

func (p *scheduler) backoffScale() float64 { return max(float64(p.s.Hosts)/fewDepth, 1) }

func (p *scheduler) addServiceTime(sh *shard, elapsed float64) {
	elapsed = min(elapsed, stuckAims*p.tightest()) // one bad node must not stand for all
	sh.got.add(elapsed)
	p.pool = append(p.pool[max(len(p.pool)-poolMost, 0):], serviceSample{p.now, elapsed})
}

type node struct {
	Node
	excluded      bool    // draining or gone
	coldSince     float64 // start that it has still to warm up from
	suspect       bool    // last attempt found no process; one trial at a time
	backoff       float64
	backoffEnd    float64
	recentSends   window // within the last Rules.FallTime and a tick
	servedShort   fading // of late answers that it served
	rejectedShort fading // and that it turned away
	servedLong    fading // of attempts within some poolSpan that it served
	errorsLong    fading // and that it failed
}

// errorFraction is the part of its late answers that were errors, with a prior of none.
func (n *node) errorFraction(now float64) float64 {
	if n.errorsLong.n == 0 {
		return 0
	}
	errorsLong := n.errorsLong.value(now, poolSpan)
	return errorsLong / (errorsLong + n.servedLong.value(now, poolSpan) + poolWeight)
}

// serviceSample is a time that an attempt took.
type serviceSample struct{ recordedAt, elapsed float64 }

func medianServiceTime(samples []serviceSample, fallback float64) float64 {
	if len(samples) == 0 {
		return fallback
	}
	times := make([]float64, len(samples))
	for i, a := range samples {
		times[i] = a.elapsed
	}
	slices.Sort(times)
	return times[len(times)/2]
}

// newNode is a node's record before the list's entry is taken in.
func newNode(e Node) *node {
	n := &node{coldSince: math.Inf(-1), excluded: true}
	n.Addr, n.Shard = e.Addr, e.Shard
	return n
}
