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
	// Gauge, if set before the first Put, is told of each change of the bytes that
	// wait or are being written.
	Gauge func(delta int)
	// Idle, if set before the first Put, is called from the queue's goroutine each
	// time that all was written.
	Idle func()
	// HalfClose, if set before the first Put, leaves a connection that was finished open
	// for what its other end still sends: only what is sent from here ends. Who set it
	// closes the connection after Wait.
	HalfClose bool

	world   env.Environment
	conn    net.Conn
	limit   int
	timeout time.Duration

	mu      sync.Mutex
	wake    env.Parker
	buf     []byte
	writing bool         // what was taken out of buf is not written yet
	settle  []env.Parker // who waits until all is written
	closed  bool         // nothing more is taken
	cut     bool         // what waits is dropped
	drained env.Gate
}

// keepBuffer bounds the memory that a queue with nothing to say keeps, in bytes.
const keepBuffer = 16 << 10

// New starts a queue that holds at most limit bytes and gives a write so much
// time.
func New(w env.Environment, conn net.Conn, limit int, timeout time.Duration) *Queue {
	o := &Queue{world: w, conn: conn, limit: limit, timeout: timeout, wake: w.NewParker()}
	w.Go(o.run)
	return o
}

// Put has f append bytes to what waits. It tells whether they were taken; an
// queue over its limit closes its connection.
func (o *Queue) Put(f func(b []byte) []byte) bool {
	ok := o.Hold(f)
	o.Release()
	return ok
}

// Hold is Put without starting to write: who has more to say says it first, and
// then calls Release.
func (o *Queue) Hold(f func(b []byte) []byte) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.closed {
		return false
	}
	before := len(o.buf)
	o.buf = f(o.buf)
	o.gauge(len(o.buf) - before)
	if len(o.buf) > o.limit {
		o.cutLocked()
		return false
	}
	return true
}

// Release starts to write what was held.
func (o *Queue) Release() { o.wake.Unpark() }

func (o *Queue) gauge(delta int) {
	if o.Gauge != nil {
		o.Gauge(delta)
	}
}

// Finish takes nothing more, writes what waits and closes the connection, or its sending
// half. It does not wait for that; Wait does.
func (o *Queue) Finish() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.closed = true
	o.settled()
	o.wake.Unpark()
}

// Cut closes the connection at once.
func (o *Queue) Cut() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.cutLocked()
}

func (o *Queue) cutLocked() {
	o.closed, o.cut = true, true
	o.settled()
	o.conn.Close()
	o.wake.Unpark()
}

// Wait returns once the goroutine has ended and the connection, or its half, is closed.
func (o *Queue) Wait() { o.drained.Wait(o.world) }

// Settle returns once all that was put is written, or the queue takes nothing more.
func (o *Queue) Settle() {
	var p env.Parker
	for {
		o.mu.Lock()
		if o.closed || len(o.buf) == 0 && !o.writing {
			o.mu.Unlock()
			return
		}
		if p == nil {
			p = o.world.NewParker()
		}
		o.settle = append(o.settle, p)
		o.mu.Unlock()
		p.Park()
	}
}

// settled lets those go on that wait in Settle. The lock is held.
func (o *Queue) settled() {
	for _, p := range o.settle {
		p.Unpark()
	}
	o.settle = o.settle[:0]
}

func (o *Queue) empty() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return len(o.buf) == 0 && !o.closed
}

// end closes the connection, or the half of it that is this queue's.
func (o *Queue) end() {
	o.mu.Lock()
	cut := o.cut
	o.mu.Unlock()
	if cut || !o.HalfClose || !env.CloseWrite(o.conn) {
		o.conn.Close()
	}
}

func (o *Queue) run() {
	defer o.drained.Open()
	defer o.end()
	var out []byte
	for {
		o.mu.Lock()
		for len(o.buf) == 0 && !o.closed {
			o.mu.Unlock()
			o.wake.Park()
			o.mu.Lock()
		}
		if o.cut || len(o.buf) == 0 {
			o.gauge(-len(o.buf))
			o.mu.Unlock()
			return
		}
		out, o.buf, o.writing = o.buf, out[:0], true
		o.mu.Unlock()
		o.conn.SetWriteDeadline(o.world.Deadline(o.timeout))
		_, err := o.conn.Write(out)
		o.gauge(-len(out))
		o.mu.Lock()
		if o.writing = false; len(o.buf) == 0 {
			o.settled()
		}
		o.mu.Unlock()
		if err != nil {
			o.Cut()
			continue // to settle what waits still
		}
		if cap(out) > keepBuffer {
			out = nil
		}
		if o.Idle != nil && o.empty() {
			o.Idle()
		}
	}
}
