package scheduler

import "math"

// staleness knows how long a connection may be idle and still take a request. Disk servers
// and what stands before them drop idle connections earlier than they say, some of them
// without a word; a request written to one of those ends as a reset. What was seen is kept
// by idle time, in powers of two of a millisecond.
type staleness struct {
	ages [idleAges]tried
}

// tried counts requests on reused connections, fading with time.
type tried struct{ broke, held, at float64 }

const (
	idleAges = 16
	// ageSpan is the memory of what was seen, ms: an age that is avoided is tried again.
	ageSpan = 20_000.0
	// agePrior is how many unbroken ones are taken to have been seen of each age, and
	// mostBroke the part above which an age is avoided: a new connection costs a round trip
	// or a few, a broken one costs that and an attempt.
	agePrior  = 4.0
	mostBroke = 0.15
	// brokeSoon is how soon after its request a connection breaks that was broken before, ms.
	brokeSoon = 10.0
)

func idleAge(idle float64) int {
	return min(max(int(math.Log2(max(idle, 1))), 0), idleAges-1)
}

func (t *tried) fade(now float64) {
	keep := math.Exp((t.at - now) / ageSpan)
	t.broke, t.held, t.at = t.broke*keep, t.held*keep, now
}

// saw notes how a connection did that had been idle for so long.
func (x *staleness) saw(now, idle float64, broke bool) {
	t := &x.ages[idleAge(idle)]
	t.fade(now)
	if broke {
		t.broke++
	} else {
		t.held++
	}
}

// stale tells whether a connection that has been idle for so long had better be replaced.
func (x *staleness) stale(now, idle float64) bool {
	t := &x.ages[idleAge(idle)]
	t.fade(now)
	return t.broke > mostBroke*(t.broke+t.held+agePrior)
}
