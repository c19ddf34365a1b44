package scheduler

import "math"

// reuseStats estimates how often connections break when they are reused, by the time for which
// they were idle. Disk servers and middleboxes drop idle connections earlier than documented,
// some without closing them, and a request on such a connection ends in a reset. Idle times are
// grouped in powers of two of a millisecond.
type reuseStats struct {
	buckets [idleBuckets]reuseCount
}

// reuseCount counts requests on reused connections, with exponential decay.
type reuseCount struct{ broken, intact, updatedAt float64 }

const (
	idleBuckets = 16
	// reuseDecayTime is the time constant of the decay, ms. After the decay, connections of an idle
	// time that was avoided are tried again.
	reuseDecayTime = 20_000.0
	// reusePriorIntact is the number of intact connections that each bucket starts with, and
	// maxBrokenFraction the broken part above which a bucket's connections are replaced. A new
	// connection costs a few round trips, a broken one costs an attempt in addition.
	reusePriorIntact  = 4.0
	maxBrokenFraction = 0.15
	// staleBreakTime is the time, ms, after an attempt was issued within which a break is taken
	// to mean that the connection was broken while idle.
	staleBreakTime = 10.0
)

// idleBucket returns the bucket of an idle time in ms.
func idleBucket(idleTime float64) int {
	return min(max(int(math.Log2(max(idleTime, 1))), 0), idleBuckets-1)
}

func (t *reuseCount) decay(now float64) {
	factor := math.Exp((t.updatedAt - now) / reuseDecayTime)
	t.broken, t.intact, t.updatedAt = t.broken*factor, t.intact*factor, now
}

// record counts a request on a connection that had been idle for the given time, ms.
func (s *reuseStats) record(now, idleTime float64, broken bool) {
	t := &s.buckets[idleBucket(idleTime)]
	t.decay(now)
	if broken {
		t.broken++
	} else {
		t.intact++
	}
}

// likelyBroken reports whether a connection that has been idle for the given time, ms, should be
// replaced and not reused.
func (s *reuseStats) likelyBroken(now, idleTime float64) bool {
	t := &s.buckets[idleBucket(idleTime)]
	t.decay(now)
	return t.broken > maxBrokenFraction*(t.broken+t.intact+reusePriorIntact)
}
