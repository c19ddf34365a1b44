package gateway

import queue "merlinhitch/due"

// due is something to do at a time.
type due = queue.Entry[awaited]

// dues holds what is awaited, by time.
type dues = queue.Heap[awaited]

// awaited says what to do. Exactly one of a, j and name is there.
type awaited struct {
	a         *attempt // its time-out, or what cancelled it
	cancelled bool
	j         *job   // its last possible landing
	name      string // the module's timer
}
