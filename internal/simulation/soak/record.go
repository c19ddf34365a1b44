// Package soak runs real scheduler processes on loopback against stand-in disk servers,
// discovery and clients, injects faults drawn from a seed, and checks the traffic on the
// sockets against the platform's rules. Of a scheduler it reads only its log.
package soak

import (
	"sync"
	"sync/atomic"
	"time"
)

// Request is one request as its client saw it. Times count from the start of the record.
type Request struct {
	ID                string
	Scheduler         int
	Class             string
	LimitedVolume     uint64 // volume, if that has a rate limit; otherwise 0
	Timeout           time.Duration
	SentAt            time.Duration // last byte written, of the resend if there was one
	AnsweredAt        time.Duration // last byte of the response; 0: no whole response
	Status            int
	Body              string
	AbandonedAt       time.Duration // client closed the connection; 0: it did not
	ConnLostAt        time.Duration // connection ended without a response; 0: it did not
	Resent            bool          // sent again because its connection had ended
	BrokenMidResponse bool          // connection ended after the first byte of the response
	Hostile           bool          // sent by a hostile client
	AnswerUnread      bool          // its client reads no answer
}

// Attempt is one request as a disk server received it.
type Attempt struct {
	ID          string
	Server      int
	FirstByteAt time.Duration
	LastByteAt  time.Duration // 0: incomplete
	Timeout     time.Duration // value of Request-Timeout
	Served      bool          // answered 200 after the service time, with a whole body
	BodyBytes   int           // size of that body
	Units       float64
}

// HealthChange is a change of a disk server's health as one scheduler's discovery agent
// reported it.
type HealthChange struct {
	Scheduler   int
	Server      int
	Health      string
	EffectiveAt time.Duration // when the scheduler is expected to know it
	StartedAt   time.Duration // last start of the server; 0: before the run
}

// ProcessExit is the end of a scheduler process.
type ProcessExit struct {
	Scheduler int
	SigtermAt time.Duration // first SIGTERM; 0: none
	ExitedAt  time.Duration
	Killed    bool
	Crashed   bool // exited without SIGKILL, and either without SIGTERM or with an error
	Log       string

	CPUTime        time.Duration
	PeakMemoryMB   float64
	MaxDescriptors int // highest sampled number of open descriptors
}

// Record is the traffic and the events of one run. It is safe for concurrent use until the run
// is over; then its fields may be read.
type Record struct {
	start          time.Time
	discoveryBytes atomic.Int64 // bytes that discovery wrote, all agents

	mu            sync.Mutex
	Requests      []*Request
	Attempts      []*Attempt
	HealthChanges []HealthChange
	Exits         []ProcessExit
	// ResponseFaults counts the faulty responses of disk servers by kind.
	ResponseFaults [responseFaultCount]int
	// DiscoveryFaults counts the calls that discovery answered late or not at all, by kind.
	DiscoveryFaults [discoveryFaultCount]int
	// HostileConns counts the connections of hostile clients by kind.
	HostileConns [hostileKindCount]int
}

// NewRecord returns an empty record; its times count from now.
func NewRecord() *Record { return &Record{start: time.Now()} }

// Now returns the time since the record was started.
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

// setServed records that an attempt is answered with a whole body of that size.
func (r *Record) setServed(attempt *Attempt, bodyBytes int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	attempt.Served, attempt.BodyBytes = true, bodyBytes
}

func (r *Record) addResponseFault(fault ResponseFault) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ResponseFaults[fault]++
}

func (r *Record) addHostileConn(kind HostileKind) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.HostileConns[kind]++
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
