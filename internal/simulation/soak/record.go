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
	ID                string
	Scheduler         int
	Class             string
	LimitedVolume     uint64 // its volume, where that has a limit; else 0
	Timeout           time.Duration
	SentAt            time.Duration // when its last byte was written; 0: it never was
	AnsweredAt        time.Duration // when the answer's last byte came; 0: none came whole
	Status            int
	Body              string
	AbandonedAt       time.Duration // when its client closed the connection; 0: it did not
	ConnLostAt        time.Duration // when its connection ended without an answer; 0: it did not
	Resent            bool          // it crossed the end of its connection and was sent once more
	BrokenMidResponse bool          // the connection broke within the answer
}

// Attempt is one request as a disk server got it.
type Attempt struct {
	ID          string
	Server      int
	FirstByteAt time.Duration // its first byte
	LastByteAt  time.Duration // its last byte; 0: it never came
	Timeout     time.Duration // that the scheduler named
	Served      bool          // it ran and was answered with 200
	Units       float64
}

// HealthChange is a disk server's state as one scheduler's discovery agent told it.
type HealthChange struct {
	Scheduler   int
	Server      int
	Health      string
	EffectiveAt time.Duration // when it counts as told
	StartedAt   time.Duration // the server's last start; 0: long ago
}

// ProcessExit is a scheduler's process that ended or was told to.
type ProcessExit struct {
	Scheduler int
	SigtermAt time.Duration // SIGTERM; 0: none
	ExitedAt  time.Duration
	Killed    bool
	Crashed   bool // it ended by itself without being told
	Log       string

	CPUTime        time.Duration
	PeakMemoryMB   float64
	MaxDescriptors int // most at once
}

// Record is what passed in a run. It is safe for concurrent use.
type Record struct {
	start          time.Time
	discoveryBytes atomic.Int64 // that discovery wrote

	mu            sync.Mutex
	Requests      []*Request
	Attempts      []*Attempt
	HealthChanges []HealthChange
	Exits         []ProcessExit
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

func (r *Record) addHealthChanges(c ...HealthChange) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.HealthChanges = append(r.HealthChanges, c...)
}

func (r *Record) addExit(e ProcessExit) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.Exits = append(r.Exits, e)
}
