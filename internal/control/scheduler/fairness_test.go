package scheduler

import (
	"bytes"
	"io"
	"net"
	"runtime"
	"sync/atomic"
	"testing"
	"time"

	"merlinhitch/internal/runtime/env"
)

// floodConn is a connection of a client that sends requests without a pause and reads all answers.
type floodConn struct {
	net.Conn // of a listener that nobody connects to; for its addresses only
	requests []byte
	offset   int
	answers  atomic.Int64 // number of writes
	closed   atomic.Bool
}

func (c *floodConn) Read(b []byte) (int, error) {
	if c.closed.Load() {
		return 0, io.EOF
	}
	n := copy(b, c.requests[c.offset:])
	c.offset = (c.offset + n) % len(c.requests)
	return n, nil
}

func (c *floodConn) Write(b []byte) (int, error) {
	c.answers.Add(1)
	return len(b), nil
}

func (c *floodConn) Close() error                     { c.closed.Store(true); return nil }
func (c *floodConn) RemoteAddr() net.Addr             { return &net.TCPAddr{} }
func (c *floodConn) SetReadDeadline(time.Time) error  { return nil }
func (c *floodConn) SetWriteDeadline(time.Time) error { return nil }

// On one processor, a client that sends small requests without a pause must not be answered more than
// a few of them before another goroutine has its turn.
func TestAFloodLeavesOthersTheirTurn(t *testing.T) {
	const maxAnswersPerTurn, turns = 4, 2000
	runOnSockets(t, nil, respondWith(ok200), func(h *harness, hooks *hookedEnv) {
		defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
		flood := &floodConn{requests: bytes.Repeat([]byte("GET /up HTTP/1.1\r\n\r\n"), 50)}
		f := h.scheduler.frontend
		client := f.newClient(flood, f.loop.now())
		f.tasks.Go(hooks, client.serve)
		for flood.answers.Load() == 0 {
			env.Yield()
		}
		longest := int64(0)
		for range turns {
			before := flood.answers.Load()
			env.Yield()
			longest = max(longest, flood.answers.Load()-before)
		}
		flood.Close()
		h.waitFor("the connection has been removed", func() bool { return f.clientCount() == 0 })
		if longest > maxAnswersPerTurn {
			t.Errorf("%d answers between two turns of another goroutine, want at most %d", longest, maxAnswersPerTurn)
		}
	})
}
