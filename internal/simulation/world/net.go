package world

import (
	"context"
	"fmt"
	"io"
	"net"
	"os"
	"slices"
	"syscall"
	"time"

	"merlinhitch/internal/runtime/env"
)

// LinkState is the state of a link in one direction.
type LinkState struct {
	Delay      time.Duration
	Jitter     time.Duration // upper bound of a random delay that is added per segment
	Loss       float64       // probability that a segment is lost and retransmitted
	SplitReads bool          // reads return at most 7 bytes
	// Partitioned: nothing passes. As with TCP, sent bytes stay at the sender and are retransmitted
	// within maxRecoveryDelay after the partition ends.
	Partitioned bool
}

// Link is the direction from one process to another.
type Link struct {
	LinkState
	world        *World
	blockedConns []*conn // with segments that are blocked by a partition
}

// linkKey holds stable names, see StableName.
type linkKey struct{ from, to string }

const (
	// maxInFlight bounds the bytes per direction that are sent and not yet read.
	maxInFlight = 256 << 10
	// initialRTO is the retransmission timeout of a segment's first loss; it doubles with each
	// further one (RFC 6298 section 5.5, with the minimum RTO of common systems).
	initialRTO = 200 * time.Millisecond
	// maxRecoveryDelay bounds the time from the end of a partition to the retransmission.
	maxRecoveryDelay = 2 * time.Second
)

// Link returns the link between two processes, given by their stable names. A new link has the
// state DefaultLink.
func (w *World) Link(from, to string) *Link {
	key := linkKey{from, to}
	link := w.links[key]
	if link == nil {
		link = &Link{LinkState: w.DefaultLink, world: w}
		w.links[key] = link
	}
	return link
}

// SetState changes the state of the link. After a partition each blocked connection resumes at a
// random time.
func (l *Link) SetState(state LinkState) {
	l.world.hashEvent('l', uint64(state.Delay), int(state.Loss*1000))
	healed := l.Partitioned && !state.Partitioned
	l.LinkState = state
	if !healed {
		return
	}
	blocked := l.blockedConns
	l.blockedConns = nil
	for _, c := range blocked {
		delay := time.Duration(l.world.rng.Int64N(int64(maxRecoveryDelay)))
		l.world.schedule(delay, c.resumeSending)
	}
}

// StableName returns a process's name without the start number after '#', so that it is the same
// after a restart.
func StableName(name string) string {
	for i := range len(name) {
		if name[i] == '#' {
			return name[:i]
		}
	}
	return name
}

// addr implements net.Addr.
type addr string

func (addr) Network() string  { return "tcp" }
func (a addr) String() string { return string(a) }

// Observer receives what passes one end of an observed connection.
type Observer interface {
	// Bytes is called for bytes sent or delivered at that end.
	Bytes(fromDialler bool, b []byte)
	// Closed is called once, at the first close or reset at that end.
	Closed(byDialler bool)
}

// alias is an address whose target can change and whose connections may be observed.
type alias struct {
	target      string
	atDialler   bool // the observer is at the dialling end
	newObserver func() Observer
}

// Alias returns a new address that leads to target. newObserver, unless nil, is called for each
// connection made to it; the observer is at the dialling or the accepting end.
func (w *World) Alias(target string, atDialler bool, newObserver func() Observer) string {
	address := w.newAddress()
	w.aliases[address] = &alias{target, atDialler, newObserver}
	return address
}

// RetargetAlias changes the target of an alias for new connections.
func (w *World) RetargetAlias(address, target string) { w.aliases[address].target = target }

func (w *World) newAddress() string {
	w.nextPort++
	return fmt.Sprintf("127.0.0.1:%d", w.nextPort)
}

// listener implements net.Listener.
type listener struct {
	proc         *Process
	addr         addr
	backlog      []*conn
	acceptParker *parker
	closed       bool
}

// Listen implements env.Environment.
func (p *Process) Listen(network, address string) (net.Listener, error) {
	if network != "tcp" {
		return nil, &net.OpError{Op: "listen", Net: network, Err: net.UnknownNetworkError(network)}
	}
	if address == "127.0.0.1:0" {
		address = p.world.newAddress()
	}
	if p.dead || p.world.listeners[address] != nil {
		return nil, &net.OpError{Op: "listen", Net: network, Err: syscall.EADDRINUSE}
	}
	l := &listener{proc: p, addr: addr(address), acceptParker: &parker{world: p.world}}
	p.world.listeners[address] = l
	p.listeners = append(p.listeners, l)
	return l, nil
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	for {
		if l.closed {
			return nil, net.ErrClosed
		}
		if len(l.backlog) > 0 {
			c := l.backlog[0]
			l.backlog = l.backlog[1:]
			return c, nil
		}
		l.acceptParker.Park()
	}
}

// Addr implements net.Listener.
func (l *listener) Addr() net.Addr { return l.addr }

// Close implements net.Listener.
func (l *listener) Close() error {
	if l.closed || l.proc.dead {
		return net.ErrClosed
	}
	l.shutdown()
	return nil
}

func (l *listener) shutdown() {
	if l.closed {
		return
	}
	l.closed = true
	delete(l.proc.world.listeners, string(l.addr))
	for _, c := range l.backlog {
		c.Close()
	}
	l.backlog = nil
	l.acceptParker.Unpark()
}

// Dial implements env.Environment.
func (p *Process) Dial(ctx context.Context, network, address string, timeout time.Duration) (net.Conn, error) {
	fail := func(err error) (net.Conn, error) {
		return nil, &net.OpError{Op: "dial", Net: network, Addr: addr(address), Err: err}
	}
	if timeout <= 0 {
		timeout = time.Minute
	}
	w, deadline := p.world, p.world.now+timeout
	target, a := address, w.aliases[address]
	if a != nil {
		target = a.target
	}
	for rto := initialRTO; ; rto *= 2 {
		if err := ctx.Err(); err != nil {
			return fail(err)
		}
		l := w.listeners[target]
		if l == nil { // nothing listens: the host refuses
			w.sleep(p, min(2*w.DefaultLink.Delay, deadline-w.now))
			return fail(syscall.ECONNREFUSED)
		}
		outLink, backLink := w.Link(StableName(p.name), StableName(l.proc.name)), w.Link(StableName(l.proc.name), StableName(p.name))
		if outLink.Partitioned || backLink.Partitioned || w.rng.Float64() < outLink.Loss+backLink.Loss-outLink.Loss*backLink.Loss {
			if w.now+rto >= deadline {
				w.sleep(p, deadline-w.now)
				return fail(os.ErrDeadlineExceeded)
			}
			w.sleep(p, rto)
			continue
		}
		c := w.connect(p, l, address, a, outLink, backLink)
		w.sleep(p, outLink.drawDelay()+backLink.drawDelay())
		if l.closed {
			c.Close()
			return fail(syscall.ECONNREFUSED)
		}
		return c, nil
	}
}

// sleep parks the running task of p for a duration.
func (w *World) sleep(p *Process, duration time.Duration) {
	k := &parker{world: w}
	elapsed := false
	w.schedule(duration, func() {
		elapsed = true
		k.Unpark()
	})
	for !elapsed {
		k.Park()
	}
	if p.dead {
		panic(processKilled{})
	}
}

func (l *Link) drawDelay() time.Duration {
	delay := l.Delay
	if l.Jitter > 0 {
		delay += time.Duration(l.world.rng.Int64N(int64(l.Jitter)))
	}
	return delay
}

// connect makes both ends of a connection. The accepting end enters the backlog after one link
// delay.
func (w *World) connect(p *Process, l *listener, address string, a *alias, outLink, backLink *Link) *conn {
	w.nextConn++
	dialling := &conn{world: w, proc: p, id: 2 * w.nextConn, fromDialler: true, local: addr(w.newAddress()), remote: addr(address), link: outLink}
	accepting := &conn{world: w, proc: l.proc, id: 2*w.nextConn + 1, local: l.addr, remote: dialling.local, link: backLink}
	dialling.peer, accepting.peer = accepting, dialling
	for _, c := range []*conn{dialling, accepting} {
		c.readParker, c.writeParker = &parker{world: w}, &parker{world: w}
		c.proc.conns = append(c.proc.conns, c)
	}
	if a != nil && a.newObserver != nil {
		observed := accepting
		if a.atDialler {
			observed = dialling
		}
		observed.observer = a.newObserver()
	}
	synDelay := outLink.drawDelay()
	dialling.lastArrival = w.now + synDelay
	w.schedule(synDelay, func() {
		if l.closed {
			accepting.reset()
			dialling.reset()
			return
		}
		l.backlog = append(l.backlog, accepting)
		l.acceptParker.Unpark()
	})
	return dialling
}

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
