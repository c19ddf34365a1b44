package gateway_test

import (
	"io"
	"net"
	"runtime"
	"sync/atomic"
	"testing"
	"time"

	"merlinhitch/internal/protocol/iscsi"
	"merlinhitch/internal/runtime/env"
)

// floodConn is a connection of an initiator that logs in, sends pings without a pause and reads all
// answers.
type floodConn struct {
	net.Conn // nil: its other methods are not called
	login    []byte
	pings    []byte
	offset   int
	answers  atomic.Int64 // number of writes
	reads    atomic.Int64
	closed   atomic.Bool
}

func (c *floodConn) Read(b []byte) (int, error) {
	c.reads.Add(1)
	switch {
	case c.closed.Load():
		return 0, io.EOF
	case len(c.login) > 0:
		n := copy(b, c.login)
		c.login = c.login[n:]
		return n, nil
	}
	n := copy(b, c.pings[c.offset:])
	c.offset = (c.offset + n) % len(c.pings)
	return n, nil
}

func (c *floodConn) Write(b []byte) (int, error) {
	c.answers.Add(1)
	return len(b), nil
}

func (c *floodConn) Close() error                     { c.closed.Store(true); return nil }
func (c *floodConn) LocalAddr() net.Addr              { return &net.TCPAddr{} }
func (c *floodConn) RemoteAddr() net.Addr             { return &net.TCPAddr{} }
func (c *floodConn) SetReadDeadline(time.Time) error  { return nil }
func (c *floodConn) SetWriteDeadline(time.Time) error { return nil }

// On one processor, no more than a few buffers of an initiator that pings without a pause may be read
// before another goroutine has its turn.
func TestAFloodLeavesOthersTheirTurn(t *testing.T) {
	const maxReadsPerTurn, turns = 4, 200
	h := newHarness(t, nil)
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	ping := iscsi.New(iscsi.OpNopOut).SetImmediate().SetFlags(0x80).Set(iscsi.AtITT, 7).Set(iscsi.AtTTT, iscsi.NoTag).Set(iscsi.AtCmdSN, 1)
	flood := &floodConn{login: loginPDU(0x87, h.loginKeys(normalVolume)...).Append(nil, iscsi.Digests{}), pings: ping.Append(nil, iscsi.Digests{})}
	ended := h.gateway.ServeConn(flood)
	for flood.answers.Load() < 2 { // the answer to the login comes first
		env.Yield()
	}
	longest := int64(0)
	for range turns {
		before := flood.reads.Load()
		env.Yield()
		longest = max(longest, flood.reads.Load()-before)
	}
	flood.Close()
	h.waitFor("the connection has ended", ended)
	if longest > maxReadsPerTurn {
		t.Errorf("%d reads between two turns of another goroutine, want at most %d", longest, maxReadsPerTurn)
	}
}
