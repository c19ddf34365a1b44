package gateway

import "merlinhitch/internal/runtime/timerqueue"

// timer is something to do at a time.
type timer = timerqueue.Timer[awaited]

// timers holds what is awaited, by time.
type timers = timerqueue.Queue[awaited]

// awaited says what to do. Exactly one of a, j and name is there.
type awaited struct {
	a         *attempt // its time-out, or what cancelled it
	cancelled bool
	j         *job   // its last possible landing
	name      string // the module's timer
}
