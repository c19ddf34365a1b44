// Package writequeue writes to a connection from a goroutine of its own, so that who
// has something to say never waits for a slow reader. What waits is bounded in
// bytes and in time; past either bound the connection is closed.
package writequeue

import (
	"net"
	"sync"
	"time"

	"merlinhitch/internal/runtime/env"
)

// Queue is the writing half of a connection. It is safe for concurrent use.
type Queue struct {
	// OnBytesChanged, if set before the first Put, is told of each change of the bytes that
	// wait or are being written.
	OnBytesChanged func(delta int)
	// OnIdle, if set before the first Put, is called from the queue's goroutine each
	// time that all was written.
	OnIdle func()
	// HalfClose, if set before the first Put, leaves a connection that was finished open
	// for what its other end still sends: only what is sent from here ends. Who set it
	// closes the connection after Wait.
	HalfClose bool

	environment  env.Environment
	conn         net.Conn
	limit        int
	writeTimeout time.Duration

	mu           sync.Mutex
	wake         env.Parker
	pending      []byte
	writing      bool         // what was taken out of buf is not written yet
	flushWaiters []env.Parker // who waits until all is written
	closed       bool         // nothing more is taken
	aborted      bool         // what waits is dropped
	finished     env.Gate
}

// maxIdleBuffer bounds the memory that a queue with nothing to say keeps, in bytes.
const maxIdleBuffer = 16 << 10

// New starts a queue that holds at most limit bytes and gives a write so much
// time.
func New(w env.Environment, conn net.Conn, limit int, writeTimeout time.Duration) *Queue {
	o := &Queue{environment: w, conn: conn, limit: limit, writeTimeout: writeTimeout, wake: w.NewParker()}
	w.Go(o.run)
	return o
}

// Enqueue has f append bytes to what waits. It tells whether they were taken; an
// queue over its limit closes its connection.
func (o *Queue) Enqueue(f func(b []byte) []byte) bool {
	ok := o.Buffer(f)
	o.Flush()
	return ok
}

// Buffer is Put without starting to write: who has more to say says it first, and
// then calls Release.
func (o *Queue) Buffer(f func(b []byte) []byte) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.closed {
		return false
	}
	before := len(o.pending)
	o.pending = f(o.pending)
	o.bytesChanged(len(o.pending) - before)
	if len(o.pending) > o.limit {
		o.abortLocked()
		return false
	}
	return true
}

// Flush starts to write what was held.
func (o *Queue) Flush() { o.wake.Unpark() }

func (o *Queue) bytesChanged(delta int) {
	if o.OnBytesChanged != nil {
		o.OnBytesChanged(delta)
	}
}

// Finish takes nothing more, writes what waits and closes the connection, or its sending
// half. It does not wait for that; Wait does.
func (o *Queue) Finish() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.closed = true
	o.wakeFlushWaiters()
	o.wake.Unpark()
}

// Abort closes the connection at once.
func (o *Queue) Abort() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.abortLocked()
}

func (o *Queue) abortLocked() {
	o.closed, o.aborted = true, true
	o.wakeFlushWaiters()
	o.conn.Close()
	o.wake.Unpark()
}

// Wait returns once the goroutine has ended and the connection, or its half, is closed.
func (o *Queue) Wait() { o.finished.Wait(o.environment) }

// WaitFlushed returns once all that was put is written, or the queue takes nothing more.
func (o *Queue) WaitFlushed() {
	var p env.Parker
	for {
		o.mu.Lock()
		if o.closed || len(o.pending) == 0 && !o.writing {
			o.mu.Unlock()
			return
		}
		if p == nil {
			p = o.environment.NewParker()
		}
		o.flushWaiters = append(o.flushWaiters, p)
		o.mu.Unlock()
		p.Park()
	}
}

// wakeFlushWaiters lets those go on that wait in Settle. The lock is held.
func (o *Queue) wakeFlushWaiters() {
	for _, p := range o.flushWaiters {
		p.Unpark()
	}
	o.flushWaiters = o.flushWaiters[:0]
}

func (o *Queue) idle() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return len(o.pending) == 0 && !o.closed
}

// closeConn closes the connection, or the half of it that is this queue's.
func (o *Queue) closeConn() {
	o.mu.Lock()
	aborted := o.aborted
	o.mu.Unlock()
	if aborted || !o.HalfClose || !env.CloseWrite(o.conn) {
		o.conn.Close()
	}
}

func (o *Queue) run() {
	defer o.finished.Open()
	defer o.closeConn()
	var out []byte
	for {
		o.mu.Lock()
		for len(o.pending) == 0 && !o.closed {
			o.mu.Unlock()
			o.wake.Park()
			o.mu.Lock()
		}
		if o.aborted || len(o.pending) == 0 {
			o.bytesChanged(-len(o.pending))
			o.mu.Unlock()
			return
		}
		out, o.pending, o.writing = o.pending, out[:0], true
		o.mu.Unlock()
		o.conn.SetWriteDeadline(o.environment.Deadline(o.writeTimeout))
		_, err := o.conn.Write(out)
		o.bytesChanged(-len(out))
		o.mu.Lock()
		if o.writing = false; len(o.pending) == 0 {
			o.wakeFlushWaiters()
		}
		o.mu.Unlock()
		if err != nil {
			o.Abort()
			continue // to settle what waits still
		}
		if cap(out) > maxIdleBuffer {
			out = nil
		}
		if o.OnIdle != nil && o.idle() {
			o.OnIdle()
		}
	}
}
