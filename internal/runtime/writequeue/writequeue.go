// Package writequeue writes to a connection from a dedicated goroutine, so that senders
// never block on a slow reader. The buffered bytes and the duration of each write are
// bounded; if either bound is exceeded, the connection is closed.
package writequeue

import (
	"net"
	"time"

	"merlinhitch/internal/runtime/env"
	"merlinhitch/internal/runtime/locks"
)

// Queue buffers and writes the outgoing data of a connection. It is safe for concurrent use.
type Queue struct {
	// OnBytesChanged, if not nil, is called with each change of the number of bytes that are
	// buffered or being written. It may be called from several goroutines and with the
	// queue locked, so it must not call the queue. It must be set before the first Enqueue
	// or Buffer.
	OnBytesChanged func(delta int)
	// OnIdle, if not nil, is called from the queue's goroutine after a write that left the
	// queue empty, unless it is finished. It must be set before the first Enqueue or Buffer.
	OnIdle func()
	// HalfClose makes Finish shut down only the sending half of the connection, so that
	// data from the peer can still be read. The owner must close the connection after
	// Wait. It must be set before the first Enqueue or Buffer.
	HalfClose bool
	// IdleBufferLimit is the largest written buffer, in bytes, that is kept for reuse. New sets a
	// default; it may be changed before the first Enqueue or Buffer.
	IdleBufferLimit int

	environment  env.Environment
	conn         net.Conn
	limit        int
	writeTimeout time.Duration

	mu           locks.Mutex
	wake         env.Parker
	pending      []byte
	writing      bool         // a write of bytes taken from pending is in progress
	flushWaiters []env.Parker // goroutines in WaitFlushed
	closed       bool         // no more data is accepted
	aborted      bool         // pending data is dropped
	finished     env.Gate
}

// maxIdleBuffer is the default of IdleBufferLimit.
const maxIdleBuffer = 16 << 10

// New starts a queue for conn that buffers at most limit bytes and allows each write to
// take at most writeTimeout.
func New(w env.Environment, conn net.Conn, limit int, writeTimeout time.Duration) *Queue {
	o := &Queue{environment: w, conn: conn, limit: limit, writeTimeout: writeTimeout, wake: w.NewParker(), IdleBufferLimit: maxIdleBuffer}
	w.Go(o.run)
	return o
}

// Enqueue calls f to append data to the buffer and starts writing it. It reports whether
// the data was accepted. If the buffer then exceeds the limit, it closes the connection.
func (o *Queue) Enqueue(f func(b []byte) []byte) bool {
	ok := o.Buffer(f)
	o.Flush()
	return ok
}

// Buffer is Enqueue without starting to write, so that several messages can share a write.
// Flush must be called afterwards.
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

// Flush starts writing what Buffer has appended. It does not wait for the write.
func (o *Queue) Flush() { o.wake.Unpark() }

func (o *Queue) bytesChanged(delta int) {
	if o.OnBytesChanged != nil {
		o.OnBytesChanged(delta)
	}
}

// Finish stops accepting data, has the buffered data written and then closes the
// connection, or only its sending half if HalfClose is set. It does not wait for that; Wait
// does.
func (o *Queue) Finish() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.closed = true
	o.wakeFlushWaiters()
	o.wake.Unpark()
}

// Abort drops the buffered data and closes the connection immediately.
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

// Wait blocks until the queue's goroutine has ended and the connection, or its sending half,
// is closed.
func (o *Queue) Wait() { o.finished.Wait(o.environment) }

// WaitFor is Wait for up to d, and reports whether the goroutine has ended by then.
func (o *Queue) WaitFor(d time.Duration) bool { return env.WaitTimeout(o.environment, d, &o.finished) }

// WaitFlushed blocks until all data is written or the queue no longer accepts data.
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

// wakeFlushWaiters wakes the goroutines in WaitFlushed. The caller must hold the lock.
func (o *Queue) wakeFlushWaiters() {
	for _, p := range o.flushWaiters {
		p.Unpark()
	}
	o.flushWaiters = o.flushWaiters[:0]
}

// Idle reports whether all data is written and the queue still accepts data.
func (o *Queue) Idle() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return len(o.pending) == 0 && !o.writing && !o.closed
}

// Writing reports whether a write is in progress. Data that is enqueued now waits until it ends.
func (o *Queue) Writing() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.writing
}

// closeConn closes the connection, or only its sending half if HalfClose is set, the
// connection supports that and the queue was not aborted.
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
			continue // so that OnBytesChanged is told of the dropped data
		}
		if cap(out) > o.IdleBufferLimit {
			out = nil
		}
		if o.OnIdle != nil && o.Idle() {
			o.OnIdle()
		}
	}
}
