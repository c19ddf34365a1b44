package gateway

import "merlinhitch/internal/runtime/timerqueue"

// timer is a timer of the core; its due time is in ms on the host's clock.
type timer = timerqueue.Timer[timerEvent]

// timerQueue holds the core's timers, ordered by due time.
type timerQueue = timerqueue.Queue[timerEvent]

// timerEvent is what a timer is for. Exactly one of attempt, job and name is set.
type timerEvent struct {
	attempt   *attempt // its timeout or, if cancelled, its cancellation
	cancelled bool
	job       *job   // its effectDeadline
	name      string // a timer that the policy set, or leaseTimerName
}
