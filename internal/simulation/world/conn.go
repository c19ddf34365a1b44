package world

import (
	"io"
	"net"
	"os"
	"slices"
	"syscall"
	"time"

	"merlinhitch/internal/runtime/env"
)

// This file holds the connections of the world.

// conn is one end of a connection. It implements net.Conn.
type conn struct {
	world         *World
	proc          *Process
	peer          *conn
	id            uint64
	fromDialler   bool // this is the dialling end
	local, remote addr
	link          *Link // for the direction that this end sends in
	observer      Observer
	closeObserved bool // the observer has got Closed

	received           [][]byte // delivered and not read
	unreadBytes        int
	finReceived        bool // the peer has closed its sending direction
	resetReceived      bool // reset by the peer or by the listener that closed
	closed             bool
	writeClosed        bool // nothing more may be written
	hostLost           bool // the host is lost: deliveries are dropped without a reset
	inFlight           int  // bytes written and not yet read by the peer
	lastArrival        time.Duration
	blockedSegments    []segment // by a partition
	readParker         *parker
	writeParker        *parker
	readDeadline       time.Duration // 0: none
	writeDeadline      time.Duration
	armedReadDeadline  time.Duration
	armedWriteDeadline time.Duration
}

// segment is bytes in transit, or the end of a direction (FIN).
type segment struct {
	data []byte
	fin  bool
}

// Read implements net.Conn.
func (c *conn) Read(buffer []byte) (int, error) {
	if err := c.WaitReadable(); err != nil {
		return 0, err
	}
	return c.consume(buffer), nil
}

// ReadAvailable reads bytes that were delivered; env.ErrNoData if there are none.
func (c *conn) ReadAvailable(buffer []byte) (int, error) {
	if err := c.readState(); err != nil {
		return 0, err
	}
	return c.consume(buffer), nil
}

// WaitReadable waits until bytes were delivered, and does not consume them.
func (c *conn) WaitReadable() error {
	for {
		if err := c.readState(); err != env.ErrNoData {
			return err
		}
		if c.readDeadline != 0 && c.world.now >= c.readDeadline {
			return os.ErrDeadlineExceeded
		}
		if c.readDeadline != 0 && c.armedReadDeadline != c.readDeadline {
			c.armedReadDeadline = c.readDeadline
			c.world.schedule(c.readDeadline-c.world.now, c.readParker.Unpark)
		}
		c.readParker.Park()
	}
}

// readState returns nil if bytes can be read now, env.ErrNoData if a read has to wait, or the
// read error.
func (c *conn) readState() error {
	switch {
	case c.closed:
		return net.ErrClosed
	case c.unreadBytes > 0:
		return nil
	case c.resetReceived:
		return syscall.ECONNRESET
	case c.finReceived:
		return io.EOF
	}
	return env.ErrNoData
}

// HasUnread reports whether bytes were delivered and not read.
func (c *conn) HasUnread() bool { return c.unreadBytes > 0 }

// PeerState tells whether the peer has closed; unread bytes may precede the end.
func (c *conn) PeerState() env.PeerState {
	switch c.readState() {
	case nil:
		if !c.finReceived {
			return env.PeerUnknown
		}
	case env.ErrNoData:
		return env.PeerOpen
	}
	return env.PeerClosed
}

func (c *conn) consume(buffer []byte) int {
	if c.peer.link.SplitReads {
		buffer = buffer[:min(len(buffer), 1+c.world.rng.IntN(7))]
	}
	n := 0
	for n < len(buffer) && len(c.received) > 0 {
		copied := copy(buffer[n:], c.received[0])
		n += copied
		if c.received[0] = c.received[0][copied:]; len(c.received[0]) == 0 {
			c.received[0] = nil
			c.received = c.received[1:]
		}
	}
	c.unreadBytes -= n
	c.peer.inFlight -= n
	c.peer.writeParker.Unpark()
	return n
}

// Write implements net.Conn.
func (c *conn) Write(b []byte) (int, error) {
	n := 0
	for {
		switch {
		case c.closed:
			return n, net.ErrClosed
		case c.writeClosed:
			return n, syscall.EPIPE
		case c.resetReceived:
			return n, syscall.ECONNRESET
		case n == len(b):
			c.proc.countWrite()
			return n, nil
		}
		if window := maxInFlight - c.inFlight; window > 0 {
			size := min(window, len(b)-n)
			data := slices.Clone(b[n : n+size])
			n += size
			c.inFlight += size
			if c.observer != nil {
				c.observer.Bytes(c.fromDialler, data)
			}
			c.sendSegment(segment{data: data})
			continue
		}
		if c.writeDeadline != 0 && c.world.now >= c.writeDeadline {
			return n, os.ErrDeadlineExceeded
		}
		if c.writeDeadline != 0 && c.armedWriteDeadline != c.writeDeadline {
			c.armedWriteDeadline = c.writeDeadline
			c.world.schedule(c.writeDeadline-c.world.now, c.writeParker.Unpark)
		}
		c.writeParker.Park()
	}
}

// sendSegment schedules the delivery of a segment, in order behind earlier ones. A segment is lost
// at most four times.
func (c *conn) sendSegment(s segment) {
	l := c.link
	if l.Partitioned || len(c.blockedSegments) > 0 {
		if c.blockedSegments = append(c.blockedSegments, s); len(c.blockedSegments) == 1 {
			l.blockedConns = append(l.blockedConns, c)
		}
		return
	}
	arrival := c.world.now + l.drawDelay()
	for backoff := initialRTO; l.Loss > 0 && c.world.rng.Float64() < l.Loss && backoff < 16*initialRTO; backoff *= 2 {
		arrival += backoff
	}
	arrival = max(arrival, c.lastArrival)
	c.lastArrival = arrival
	c.world.hashEvent('>', c.id, len(s.data))
	c.world.digest.Write(s.data)
	receiver := c.peer
	c.world.schedule(arrival-c.world.now, func() { receiver.deliver(s) })
}

// resumeSending sends the segments that a partition blocked; a new partition blocks them again.
func (c *conn) resumeSending() {
	segments := c.blockedSegments
	if len(segments) == 0 {
		return
	}
	c.blockedSegments = nil
	for _, s := range segments {
		c.sendSegment(s)
	}
}

func (c *conn) deliver(s segment) {
	c.world.hashEvent('<', c.id, len(s.data))
	switch {
	case c.hostLost:
		return
	case c.closed || c.resetReceived:
		if !s.fin { // nobody reads: the sender gets a reset
			c.world.schedule(c.link.drawDelay(), c.peer.reset)
		}
		return
	case s.fin:
		c.finReceived = true
		c.notifyClosed(c.peer.fromDialler)
	default:
		if c.observer != nil {
			c.observer.Bytes(c.peer.fromDialler, s.data)
		}
		c.received = append(c.received, s.data)
		c.unreadBytes += len(s.data)
	}
	c.readParker.Unpark()
}

// reset marks the connection as reset at this end and wakes its reader and writer.
func (c *conn) reset() {
	if c.closed || c.resetReceived {
		return
	}
	c.resetReceived = true
	c.notifyClosed(c.peer.fromDialler)
	c.readParker.Unpark()
	c.writeParker.Unpark()
}

func (c *conn) notifyClosed(byDialler bool) {
	if c.observer != nil && !c.closeObserved {
		c.closeObserved = true
		c.observer.Closed(byDialler)
	}
}

// Close implements net.Conn.
func (c *conn) Close() error {
	if c.closed || c.proc.dead {
		return net.ErrClosed
	}
	c.closeSide()
	if i := slices.Index(c.proc.conns, c); i >= 0 {
		c.proc.conns = slices.Delete(c.proc.conns, i, i+1)
	}
	return nil
}

// closeSide closes this end; bytes that were already written are still delivered.
func (c *conn) closeSide() {
	c.closed = true
	c.notifyClosed(c.fromDialler)
	if !c.resetReceived && !c.writeClosed {
		c.sendSegment(segment{fin: true})
	}
	c.readParker.Unpark()
	c.writeParker.Unpark()
}

// CloseWrite closes the sending direction.
func (c *conn) CloseWrite() error {
	if c.closed || c.resetReceived || c.proc.dead {
		return net.ErrClosed
	}
	if !c.writeClosed {
		c.writeClosed = true
		c.sendSegment(segment{fin: true})
		c.writeParker.Unpark()
	}
	return nil
}

// closeWithProcess closes this end when its process is killed.
func (c *conn) closeWithProcess(mode KillMode) {
	if c.closed {
		return
	}
	if mode == HostLoss {
		c.closed, c.hostLost = true, true
		c.notifyClosed(c.fromDialler)
		return
	}
	c.closeSide()
}

// LocalAddr implements net.Conn.
func (c *conn) LocalAddr() net.Addr { return c.local }

// RemoteAddr implements net.Conn.
func (c *conn) RemoteAddr() net.Addr { return c.remote }

// SetDeadline implements net.Conn.
func (c *conn) SetDeadline(t time.Time) error {
	c.SetReadDeadline(t)
	return c.SetWriteDeadline(t)
}

// SetReadDeadline implements net.Conn.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.readDeadline = sinceEpoch(t)
	c.readParker.Unpark()
	return nil
}

// SetWriteDeadline implements net.Conn.
func (c *conn) SetWriteDeadline(t time.Time) error {
	c.writeDeadline = sinceEpoch(t)
	c.writeParker.Unpark()
	return nil
}

func sinceEpoch(t time.Time) time.Duration {
	if t.IsZero() {
		return 0
	}
	return max(t.Sub(epoch), 1)
}

var (
	_ env.Environment = (*Process)(nil)
	_ net.Conn        = (*conn)(nil)
	_ net.Listener    = (*listener)(nil)
)
