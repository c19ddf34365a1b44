package scheduler

import "math"

// reuseStats knows how long a connection may be idle and still take a request. Disk servers
// and what stands before them drop idle connections earlier than they say, some of them
// without a word; a request written to one of those ends as a reset. What was seen is kept
// by idle time, in powers of two of a millisecond.
type reuseStats struct {
	buckets [idleBuckets]reuseCount
}

// reuseCount counts requests on reused connections, fading with time.
type reuseCount struct{ broken, intact, updatedAt float64 }

const (
	idleBuckets = 16
	// reuseDecayTime is the memory of what was seen, ms: an age that is avoided is tried again.
	reuseDecayTime = 20_000.0
	// reusePriorIntact is how many unbroken ones are taken to have been seen of each age, and
	// mostBroke the part above which an age is avoided: a new connection costs a round trip
	// or a few, a broken one costs that and an attempt.
	reusePriorIntact  = 4.0
	maxBrokenFraction = 0.15
	// staleBreakTime is how soon after its request a connection breaks that was broken before, ms.
	staleBreakTime = 10.0
)

func idleBucket(idleTime float64) int {
	return min(max(int(math.Log2(max(idleTime, 1))), 0), idleBuckets-1)
}

func (t *reuseCount) decay(now float64) {
	factor := math.Exp((t.updatedAt - now) / reuseDecayTime)
	t.broken, t.intact, t.updatedAt = t.broken*factor, t.intact*factor, now
}

// record notes how a connection did that had been idle for so long.
func (s *reuseStats) record(now, idleTime float64, broken bool) {
	t := &s.buckets[idleBucket(idleTime)]
	t.decay(now)
	if broken {
		t.broken++
	} else {
		t.intact++
	}
}

// likelyBroken tells whether a connection that has been idle for so long had better be replaced.
func (s *reuseStats) likelyBroken(now, idleTime float64) bool {
	t := &s.buckets[idleBucket(idleTime)]
	t.decay(now)
	return t.broken > maxBrokenFraction*(t.broken+t.intact+reusePriorIntact)
}
