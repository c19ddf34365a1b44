package standin

import (
	"context"
	"net"
	"sync"
	"time"

	"merlinhitch/internal/runtime/env"
)

// Relay stands on a socket, passes the bytes on as they are and records each
// frame before its last byte goes on.
type Relay struct {
	Addr string

	world  env.Environment
	target string
	tap    func(addr string) *FrameRecorder
	l      net.Listener
	mu     sync.Mutex
	conns  env.OrderedSet[net.Conn]
	dead   bool
	over   env.Gate
	tasks  env.WaitGroup
	// pass, if set, waits until what is to go on that way may; false if the relay ended.
	pass func(up bool, over *env.Gate) bool
}

const (
	relayChunk = 64 << 10
	relayDial  = 2 * time.Second
)

// ServeRelay starts a relay to target; tap, if any, makes what reads a connection.
func ServeRelay(w env.Environment, target string, tap func(addr string) *FrameRecorder) (*Relay, error) {
	return serveRelay(w, target, tap, nil)
}

// serveRelay is ServeRelay with a way that holds back what passes, if any.
func serveRelay(w env.Environment, target string, tap func(addr string) *FrameRecorder, pass func(up bool, over *env.Gate) bool) (*Relay, error) {
	l, err := w.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r := &Relay{Addr: l.Addr().String(), world: w, target: target, tap: tap, pass: pass, l: l}
	r.tasks.Go(w, r.accept)
	return r, nil
}

func (r *Relay) accept() {
	for {
		c, err := r.l.Accept()
		if err != nil {
			return
		}
		if !r.keep(c) {
			return
		}
		r.tasks.Go(r.world, func() { r.serve(c) })
	}
}

func (r *Relay) keep(c net.Conn) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.dead {
		c.Close()
		return false
	}
	r.conns.Add(c)
	return true
}

func (r *Relay) drop(c net.Conn) {
	c.Close()
	r.mu.Lock()
	r.conns.Remove(c)
	r.mu.Unlock()
}

func (r *Relay) serve(c net.Conn) {
	defer r.drop(c)
	r.mu.Lock()
	target := r.target
	r.mu.Unlock()
	s, err := r.world.Dial(context.Background(), "tcp", target, relayDial)
	if err != nil {
		// What the caller sees is a connection that closes, as from a dead process.
		return
	}
	if !r.keep(s) {
		return
	}
	defer r.drop(s)
	var t *FrameRecorder
	if r.tap != nil {
		t = r.tap(r.Addr)
	}
	var both env.WaitGroup
	both.Go(r.world, func() { r.pump(t, s, c, true) })
	both.Go(r.world, func() { r.pump(t, c, s, false) })
	both.Wait(r.world)
}

// pump passes bytes from src to dst. The side that ends first is noted.
func (r *Relay) pump(t *FrameRecorder, dst, src net.Conn, up bool) {
	defer dst.Close()
	defer src.Close()
	defer t.Closed(up)
	if r.pass == nil {
		r.copy(src, func(b []byte) bool {
			t.Bytes(up, b)
			_, err := dst.Write(b)
			return err == nil
		})
		return
	}
	// What is held back on the way has been sent all the same: it is read, and on its way
	// up recorded, as it comes.
	q := &held{wake: r.world.NewParker()}
	r.tasks.Go(r.world, func() {
		defer q.close()
		r.copy(src, func(b []byte) bool {
			if up {
				t.Bytes(up, b)
			}
			return q.put(append([]byte(nil), b...))
		})
	})
	for b, ok := q.take(); ok; b, ok = q.take() {
		if !r.pass(up, &r.over) {
			break
		}
		if !up {
			t.Bytes(up, b)
		}
		if _, err := dst.Write(b); err != nil {
			break
		}
	}
	q.close()
}

// copy reads until the source ends or f takes no more.
func (r *Relay) copy(src net.Conn, f func(b []byte) bool) {
	buf := make([]byte, relayChunk)
	for {
		n, err := src.Read(buf)
		if n > 0 && !f(buf[:n]) || err != nil {
			return
		}
	}
}

// held is what waits to go on.
type held struct {
	mu     sync.Mutex
	wake   env.Parker
	list   [][]byte
	bytes  int
	closed bool
}

// heldMost bounds the bytes that wait; past it the connection ends, as one does whose
// sender gives up.
const heldMost = 16 << 20

func (q *held) put(b []byte) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.bytes += len(b); q.closed || q.bytes > heldMost {
		return false
	}
	q.list = append(q.list, b)
	q.wake.Unpark()
	return true
}

// take waits for the next; false once all is taken and nothing more comes.
func (q *held) take() ([]byte, bool) {
	for {
		q.mu.Lock()
		if len(q.list) > 0 {
			b := q.list[0]
			q.list, q.bytes = q.list[1:], q.bytes-len(b)
			q.mu.Unlock()
			return b, true
		}
		over := q.closed
		q.mu.Unlock()
		if over {
			return nil, false
		}
		q.wake.Park()
	}
}

func (q *held) close() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.closed = true
	q.wake.Unpark()
}

// Address is where the relay listens.
func (r *Relay) Address() string { return r.Addr }

// Point has connections from now on go to another address, as when a process
// behind a stable address is started anew.
func (r *Relay) Point(target string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.target = target
}

// Close ends the relay and every connection through it.
func (r *Relay) Close() {
	r.over.Open()
	r.l.Close()
	r.mu.Lock()
	r.dead = true
	for _, c := range r.conns.All() {
		c.Close()
	}
	r.mu.Unlock()
	r.tasks.Wait(r.world)
}
