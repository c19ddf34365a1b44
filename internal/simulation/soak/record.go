// Package soak plays real scheduler processes on loopback before stand-in disk servers,
// discovery and clients, with faults drawn from a seed, and judges what passed on the
// sockets by the platform's rules. It reads nothing of a scheduler but its log, and
// decides nothing for it.
package soak

import (
	"sync"
	"sync/atomic"
	"time"
)

// Request is one request as its client saw it.
type Request struct {
	ID        string
	Scheduler int
	Class     string
	Limited   uint64 // its volume, where that has a limit; else 0
	Timeout   time.Duration
	Sent      time.Duration // when its last byte was written; 0: it never was
	Answered  time.Duration // when the answer's last byte came; 0: none came whole
	Status    int
	Body      string
	Left      time.Duration // when its client closed the connection; 0: it did not
	Ended     time.Duration // when its connection ended without an answer; 0: it did not
	Resent    bool          // it crossed the end of its connection and was sent once more
	Mid       bool          // the connection broke within the answer
}

// Attempt is one request as a disk server got it.
type Attempt struct {
	ID      string
	Server  int
	Began   time.Duration // its first byte
	Whole   time.Duration // its last byte; 0: it never came
	Timeout time.Duration // that the scheduler named
	Served  bool          // it ran and was answered with 200
	Units   float64
}

// Change is a disk server's state as one scheduler's discovery agent told it.
type Change struct {
	Scheduler int
	Server    int
	Health    string
	At        time.Duration // when it counts as told
	Born      time.Duration // the server's last start; 0: long ago
}

// ProcessEnd is a scheduler's process that ended or was told to.
type ProcessEnd struct {
	Scheduler int
	Told      time.Duration // SIGTERM; 0: none
	Ended     time.Duration
	Killed    bool
	Crashed   bool // it ended by itself without being told
	Log       string

	CPU         time.Duration
	PeakMB      float64
	Descriptors int // most at once
}

// Record is what passed in a run. It is safe for concurrent use.
type Record struct {
	start     time.Time
	listBytes atomic.Int64 // that discovery wrote

	mu       sync.Mutex
	Requests []*Request
	Attempts []*Attempt
	Changes  []Change
	Ends     []ProcessEnd
}

// NewRecord starts a record; its times count from now.
func NewRecord() *Record { return &Record{start: time.Now()} }

// Now is the present time of the record.
func (r *Record) Now() time.Duration { return time.Since(r.start) }

func (r *Record) addRequest(q *Request) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.Requests = append(r.Requests, q)
}

func (r *Record) addAttempt(a *Attempt) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.Attempts = append(r.Attempts, a)
}

func (r *Record) addChanges(c ...Change) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.Changes = append(r.Changes, c...)
}

func (r *Record) addEnd(e ProcessEnd) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.Ends = append(r.Ends, e)
}
