package gateway

import "merlinhitch/internal/runtime/timerqueue"

// timer is something to do at a time.
type timer = timerqueue.Timer[timerEvent]

// timerQueue holds what is awaited, by time.
type timerQueue = timerqueue.Queue[timerEvent]

// timerEvent says what to do. Exactly one of a, j and name is there.
type timerEvent struct {
	attempt   *attempt // its time-out, or what cancelled it
	cancelled bool
	job       *job   // its last possible landing
	name      string // the module's timer
}
