package standin

import (
	"context"
	"net"
	"sync"
	"time"

	"merlinhitch/internal/runtime/env"
)

// Relay forwards connections to a target unchanged and records each frame before its last byte is
// forwarded.
type Relay struct {
	Addr string

	environment env.Environment
	target      string
	newRecorder func(addr string) *FrameRecorder
	listener    net.Listener
	mu          sync.Mutex
	conns       env.OrderedSet[net.Conn]
	closed      bool
	stopped     env.Gate
	tasks       env.WaitGroup
	// waitTransit, if set, waits until the next chunk in that direction may be forwarded; false if
	// the relay was closed.
	waitTransit func(up bool, stopped *env.Gate) bool
}

const (
	relayChunkBytes  = 64 << 10
	relayDialTimeout = 2 * time.Second
)

// ServeRelay starts a relay to target; newRecorder, if not nil, makes the recorder of a connection.
func ServeRelay(environment env.Environment, target string, newRecorder func(addr string) *FrameRecorder) (*Relay, error) {
	return serveRelay(environment, target, newRecorder, nil)
}

// serveRelay is ServeRelay with an optional function that delays the forwarded data.
func serveRelay(environment env.Environment, target string, newRecorder func(addr string) *FrameRecorder, waitTransit func(up bool, stopped *env.Gate) bool) (*Relay, error) {
	listener, err := environment.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	relay := &Relay{Addr: listener.Addr().String(), environment: environment, target: target, newRecorder: newRecorder, waitTransit: waitTransit, listener: listener}
	relay.tasks.Go(environment, relay.accept)
	return relay, nil
}

func (r *Relay) accept() {
	for {
		conn, err := r.listener.Accept()
		if err != nil {
			return
		}
		if !r.addConn(conn) {
			return
		}
		r.tasks.Go(r.environment, func() { r.serve(conn) })
	}
}

func (r *Relay) addConn(conn net.Conn) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed {
		conn.Close()
		return false
	}
	r.conns.Add(conn)
	return true
}

func (r *Relay) closeConn(conn net.Conn) {
	conn.Close()
	r.mu.Lock()
	r.conns.Remove(conn)
	r.mu.Unlock()
}

func (r *Relay) serve(client net.Conn) {
	defer r.closeConn(client)
	r.mu.Lock()
	target := r.target
	r.mu.Unlock()
	server, err := r.environment.Dial(context.Background(), "tcp", target, relayDialTimeout)
	if err != nil {
		// The client sees its connection close, as if the process had died.
		return
	}
	if !r.addConn(server) {
		return
	}
	defer r.closeConn(server)
	var recorder *FrameRecorder
	if r.newRecorder != nil {
		recorder = r.newRecorder(r.Addr)
	}
	var directions env.WaitGroup
	directions.Go(r.environment, func() { r.forward(recorder, server, client, true) })
	directions.Go(r.environment, func() { r.forward(recorder, client, server, false) })
	directions.Wait(r.environment)
}

// forward copies bytes from src to dst. The side that closes first is recorded.
func (r *Relay) forward(recorder *FrameRecorder, dst, src net.Conn, up bool) {
	defer dst.Close()
	defer src.Close()
	defer recorder.Closed(up)
	if r.waitTransit == nil {
		r.readChunks(src, func(b []byte) bool {
			recorder.Bytes(up, b)
			_, err := dst.Write(b)
			return err == nil
		})
		return
	}
	// Data is read as soon as it is sent, as by a network. Up is recorded on arrival here and down
	// after the transit, since the recorder is at the dialling side.
	queue := &transitQueue{wake: r.environment.NewParker()}
	r.tasks.Go(r.environment, func() {
		defer queue.close()
		r.readChunks(src, func(b []byte) bool {
			if up {
				recorder.Bytes(up, b)
			}
			return queue.push(append([]byte(nil), b...))
		})
	})
	for b, ok := queue.pop(); ok; b, ok = queue.pop() {
		if !r.waitTransit(up, &r.stopped) {
			break
		}
		if !up {
			recorder.Bytes(up, b)
		}
		if _, err := dst.Write(b); err != nil {
			break
		}
	}
	queue.close()
}

// readChunks passes what it reads to handle until the source ends or handle returns false.
func (r *Relay) readChunks(src net.Conn, handle func(b []byte) bool) {
	buf := make([]byte, relayChunkBytes)
	for {
		n, err := src.Read(buf)
		if n > 0 && !handle(buf[:n]) || err != nil {
			return
		}
	}
}

// transitQueue holds the chunks that are under way in one direction.
type transitQueue struct {
	mu     sync.Mutex
	wake   env.Parker
	chunks [][]byte
	bytes  int
	closed bool
}

// maxTransitBytes is the most that may be under way; beyond it the connection ends, as if the sender
// had timed out.
const maxTransitBytes = 16 << 20

func (q *transitQueue) push(b []byte) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.bytes += len(b); q.closed || q.bytes > maxTransitBytes {
		return false
	}
	q.chunks = append(q.chunks, b)
	q.wake.Unpark()
	return true
}

// pop waits for the next chunk; false once the queue is closed and empty.
func (q *transitQueue) pop() ([]byte, bool) {
	for {
		q.mu.Lock()
		if len(q.chunks) > 0 {
			b := q.chunks[0]
			q.chunks, q.bytes = q.chunks[1:], q.bytes-len(b)
			q.mu.Unlock()
			return b, true
		}
		closed := q.closed
		q.mu.Unlock()
		if closed {
			return nil, false
		}
		q.wake.Park()
	}
}

func (q *transitQueue) close() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.closed = true
	q.wake.Unpark()
}

// Address returns the address at which the relay listens.
func (r *Relay) Address() string { return r.Addr }

// Point makes new connections go to target, as when a process behind a stable address is restarted.
func (r *Relay) Point(target string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.target = target
}

// Close closes the relay and every connection through it, and waits for its goroutines.
func (r *Relay) Close() {
	r.stopped.Open()
	r.listener.Close()
	r.mu.Lock()
	r.closed = true
	for _, c := range r.conns.All() {
		c.Close()
	}
	r.mu.Unlock()
	r.tasks.Wait(r.environment)
}
