package policy

import (
	"math"
	"slices"
)

// Node health, learned from the outcomes of attempts.

// expectedServiceTime returns the service time to expect at sh, ms: the mean, but at least half the
// age of each outstanding attempt, so that a stalled or dead node shows at once.
func (p *scheduler) expectedServiceTime(sh *shard) float64 {
	expected := p.meanServiceTime(sh)
	for _, r := range sh.outstanding {
		// If overtaken by a later one, the attempt itself is stuck, not the node.
		if r.sentAt >= sh.lastServedSend {
			expected = max(expected, (p.now-r.sentAt)/2)
		}
	}
	return expected
}

// meanServiceTime returns the mean service time at sh, ms. A host that sends to a node only once in
// several seconds has few samples of it, so the median over all nodes counts as priorWeight further
// samples. That also lets an outlier fade when no samples follow it.
func (p *scheduler) meanServiceTime(sh *shard) float64 {
	return sh.serviceTime.mean(p.medianTime, priorWeight)
}

// recordOutcome updates the health and service time estimates of n from an outcome. A server error
// gives no service time sample: errors return quickly from slow nodes too.
func (p *scheduler) recordOutcome(r *request, n *node, outcome Outcome) {
	sh := r.shard
	switch outcome.Result {
	case Served:
		p.addServiceTime(sh, max(outcome.Elapsed-p.extraServiceTime(r), 0))
		sh.servedTime.add(outcome.Elapsed)
		n.servedShort.add(p.now, rejectSpan)
		n.servedLong.add(p.now, sampleSpan)
		sh.lastServedSend = max(sh.lastServedSend, r.sentAt)
		p.cancelOvertaken(sh)
		p.shares.recordServed(r, p.now-r.arrived)
		if n.suspect && n.backoff > maxBackoff/2 {
			n.coldSince = max(n.coldSince, p.now) // unreachable for long: assume that it restarted
			p.withdrawStale(sh)
		}
		n.suspect, n.backoff = false, 0
	case ServerError:
		n.errorsLong.add(p.now, sampleSpan)
	case NoAnswer: // the service time is at least Elapsed
		p.addServiceTime(sh, max(outcome.Elapsed, p.meanServiceTime(sh)))
		if outcome.Elapsed >= p.minLatencyTarget() {
			p.backOff(n, p.backoffScale())
		}
	case Rejected: // the node's queue is full: count the longest service time
		sh.serviceTime.add(stuckTargets * p.minLatencyTarget())
		n.rejectedShort.add(p.now, rejectSpan)
		// No backoff if it serves many and rejects few: at thousands of requests a second, a
		// backoff for each rejection would leave the node idle.
		if n.servedShort.value(p.now, rejectSpan) <
			minServedPerReject*n.rejectedShort.value(p.now, rejectSpan) {
			p.backOff(n, p.backoffScale())
		}
	case NoConnection, ConnectionLost:
		n.errorsLong.add(p.now, sampleSpan)
		// A single lost connection is no sign of a dead process.
		if outcome.Result == NoConnection || n.errorFraction(p.now) > maxFailedFraction {
			n.suspect = true
			p.backOff(n, 1)
		}
	}
}

// backOff stops sends from this host to n for a time that doubles with each call. An overloaded
// node gets slower the more it holds and would never drain if each of many hosts tried it once a
// second. Where a node is full or does not answer, scale therefore grows with the number of hosts;
// the price is a needlessly long backoff if only this host met a single long pause.
func (p *scheduler) backOff(n *node, scale float64) {
	n.backoff = min(max(2*n.backoff, minBackoff*scale), maxBackoff*scale)
	n.backoffEnd = p.now + n.backoff
}

// backoffScale grows with the number of hosts beyond minTotalDepth, from 1.
func (p *scheduler) backoffScale() float64 { return max(float64(p.settings.Hosts)/minTotalDepth, 1) }

// addServiceTime adds a sample, in ms, to the estimates of sh and of all nodes.
func (p *scheduler) addServiceTime(sh *shard, elapsed float64) {
	// One slow node must not dominate the samples of all nodes.
	elapsed = min(elapsed, stuckTargets*p.minLatencyTarget())
	sh.serviceTime.add(elapsed)
	p.serviceSamples = append(p.serviceSamples[max(len(p.serviceSamples)-maxNewerSamples, 0):],
		serviceSample{p.now, elapsed})
}

// node is what this host knows of a disk server.
type node struct {
	Node
	excluded      bool          // not eligible: draining, removed or without a valid shard
	coldSince     float64       // last known start, from which slow start counts; -Inf: none known
	suspect       bool          // connections fail; one attempt at a time until one is served
	backoff       float64       // last backoff, ms
	backoffEnd    float64       // nothing is sent before this time
	recentSends   window        // attempts within coldWindow
	servedShort   decayingCount // served attempts, decaying with rejectSpan
	rejectedShort decayingCount // rejected attempts, decaying with rejectSpan
	servedLong    decayingCount // served attempts, decaying with sampleSpan
	errorsLong    decayingCount // server errors and lost or failed connections, decaying with sampleSpan
}

// errorFraction returns the fraction of recent outcomes that were errors or lost connections,
// pulled towards 0 by priorWeight prior successes.
func (n *node) errorFraction(now float64) float64 {
	if n.errorsLong.n == 0 {
		return 0
	}
	errorsLong := n.errorsLong.value(now, sampleSpan)
	return errorsLong / (errorsLong + n.servedLong.value(now, sampleSpan) + priorWeight)
}

// serviceSample is a sample of the service time, ms.
type serviceSample struct{ recordedAt, elapsed float64 }

// medianServiceTime returns the median of the samples, or fallback if there are none.
func medianServiceTime(samples []serviceSample, fallback float64) float64 {
	if len(samples) == 0 {
		return fallback
	}
	times := make([]float64, len(samples))
	for i, sample := range samples {
		times[i] = sample.elapsed
	}
	slices.Sort(times)
	return times[len(times)/2]
}

// newNode returns the record of a node before its list entry is applied.
func newNode(entry Node) *node {
	n := &node{coldSince: math.Inf(-1), excluded: true}
	n.Addr, n.Shard = entry.Addr, entry.Shard
	return n
}
