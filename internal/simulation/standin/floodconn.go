package standin

import (
	"io"
	"net"
	"sync/atomic"
	"time"
)

// FloodConn is the server's end of a connection whose client sends Opening and then Repeated again and
// again, without a pause, and reads all that is written to it. No call on it waits.
type FloodConn struct {
	net.Conn // nil: its other methods are not called
	Opening  []byte
	Repeated []byte
	Reads    atomic.Int64 // number of reads so far
	Writes   atomic.Int64 // number of writes so far

	offset int
	closed atomic.Bool
}

// Read implements net.Conn. Once the connection is closed, it returns io.EOF.
func (c *FloodConn) Read(b []byte) (int, error) {
	c.Reads.Add(1)
	if c.closed.Load() {
		return 0, io.EOF
	}
	if len(c.Opening) > 0 {
		n := copy(b, c.Opening)
		c.Opening = c.Opening[n:]
		return n, nil
	}
	n := copy(b, c.Repeated[c.offset:])
	c.offset = (c.offset + n) % len(c.Repeated)
	return n, nil
}

// Write implements net.Conn.
func (c *FloodConn) Write(b []byte) (int, error) {
	c.Writes.Add(1)
	return len(b), nil
}

// Close implements net.Conn.
func (c *FloodConn) Close() error {
	c.closed.Store(true)
	return nil
}

// LocalAddr implements net.Conn.
func (c *FloodConn) LocalAddr() net.Addr { return &net.TCPAddr{} }

// RemoteAddr implements net.Conn.
func (c *FloodConn) RemoteAddr() net.Addr { return &net.TCPAddr{} }

// SetReadDeadline implements net.Conn; no read waits.
func (c *FloodConn) SetReadDeadline(time.Time) error { return nil }

// SetWriteDeadline implements net.Conn; no write waits.
func (c *FloodConn) SetWriteDeadline(time.Time) error { return nil }

// LongestTurn returns the most by which count grows between two turns of the calling goroutine, of which
// there are so many. Between two turns the goroutine lets all others run that are ready.
func LongestTurn(turns int, count *atomic.Int64, yield func()) (longest int64) {
	for range turns {
		before := count.Load()
		yield()
		longest = max(longest, count.Load()-before)
	}
	return longest
}
