package scheduler

import "merlinhitch/internal/runtime/locks"

// badInputPeriodMS is the least time between two lines of the log on bad input of one kind.
const badInputPeriodMS = 1000.0

// lineLimit lets one line of a kind pass in badInputPeriodMS, and counts the others.
type lineLimit struct {
	mu         locks.Mutex
	nextAt     float64 // ms on the loop's clock
	suppressed int
}

// take reports whether a line may be written now. If so, it returns how many were suppressed since the
// last one.
func (l *lineLimit) take(now float64) (suppressed int, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now < l.nextAt {
		l.suppressed++
		return 0, false
	}
	suppressed, l.suppressed, l.nextAt = l.suppressed, 0, now+badInputPeriodMS
	return suppressed, true
}
