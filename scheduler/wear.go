package scheduler

import "math"

// wear knows how long a connection may be idle and still take a request. Disk servers
// and what stands before them drop idle connections earlier than they say, some of them
// without a word; a request written to one of those ends as a reset. What was seen is kept
// by idle time, in powers of two of a millisecond.
type wear struct {
	ages [wearAges]tried
}

// tried counts requests on reused connections, fading with time.
type tried struct{ broke, held, at float64 }

const (
	wearAges = 16
	// wearSpan is the memory of what was seen, ms: an age that is avoided is tried again.
	wearSpan = 20_000.0
	// wearPrior is how many unbroken ones are taken to have been seen of each age, and
	// wearMost the part above which an age is avoided: a new connection costs a round trip
	// or a few, a broken one costs that and an attempt.
	wearPrior = 4.0
	wearMost  = 0.15
	// wearSoon is how soon after its request a connection breaks that was broken before, ms.
	wearSoon = 10.0
)

func wearAge(idle float64) int {
	return min(max(int(math.Log2(max(idle, 1))), 0), wearAges-1)
}

func (t *tried) fade(now float64) {
	keep := math.Exp((t.at - now) / wearSpan)
	t.broke, t.held, t.at = t.broke*keep, t.held*keep, now
}

// saw notes how a connection did that had been idle for so long.
func (w *wear) saw(now, idle float64, broke bool) {
	t := &w.ages[wearAge(idle)]
	t.fade(now)
	if broke {
		t.broke++
	} else {
		t.held++
	}
}

// worn tells whether a connection that has been idle for so long had better be replaced.
func (w *wear) worn(now, idle float64) bool {
	t := &w.ages[wearAge(idle)]
	t.fade(now)
	return t.broke > wearMost*(t.broke+t.held+wearPrior)
}
