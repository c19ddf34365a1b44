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
	Jitter     time.Duration // up to so much more, drawn for each segment
	Loss       float64       // part of the segments that are lost and sent again
	SplitReads bool          // the reader gets a few bytes at a time
	// Partitioned: nothing passes. What was sent waits at the sender, as with TCP, and goes on
	// some time after the cut has ended.
	Partitioned bool
}

// Link is a way from one process to another that has a state of its own.
type Link struct {
	LinkState
	world        *World
	blockedConns []*conn // with segments that a cut keeps back
}

// Names of processes, without the number of their start.
type linkKey struct{ from, to string }

const (
	// maxInFlight bounds the bytes that are on the way or unread, a direction.
	maxInFlight = 256 << 10
	// initialRTO is the first time after which a lost segment is sent again; each further
	// one takes twice as long (RFC 6298 section 5.5, with the least time of common
	// systems).
	initialRTO = 200 * time.Millisecond
	// maxRecoveryDelay bounds how long after a cut its end is noticed.
	maxRecoveryDelay = 2 * time.Second
)

// Link returns the way from one process to another, by the names that stay when a
// process is started again: those before a '#'. It begins with the world's Net.
func (w *World) Link(from, to string) *Link {
	key := linkKey{from, to}
	link := w.links[key]
	if link == nil {
		link = &Link{LinkState: w.DefaultLink, world: w}
		w.links[key] = link
	}
	return link
}

// SetState changes the link.
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

// StableName is a process's name without the number of its start.
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

// Observer is told what passes on a connection, at the end that it stands by.
type Observer interface {
	// Bytes is what passes, up from the dialling side.
	Bytes(fromDialler bool, b []byte)
	// Closed is called once; up if the dialling side ended it.
	Closed(byDialler bool)
}

// alias is an address behind which a listener can change, and which may be observed.
type alias struct {
	target      string
	atDialler   bool // the observer stands by the dialling side
	newObserver func() Observer
}

// Alias makes an address that leads to target. observe, if any, is called for each
// connection made to it; its observer stands by the dialling or the listening side.
func (w *World) Alias(target string, atDialler bool, newObserver func() Observer) string {
	address := w.newAddress()
	w.aliases[address] = &alias{target, atDialler, newObserver}
	return address
}

// RetargetAlias has an alias lead elsewhere from now on.
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
		if l == nil { // refused by the machine, which is there
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

// sleep has the running goroutine of p wait.
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

// connect makes both ends; the listener has its end once the first segment is there.
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
	fromDialler   bool // the dialling side's
	local, remote addr
	link          *Link // on which it sends
	observer      Observer
	closeObserved bool // its end has been told

	received           [][]byte // that came and is unread
	unreadBytes        int
	finReceived        bool // the other side's end has come
	resetReceived      bool // by a reset
	closed             bool
	writeClosed        bool // this side sends no more
	hostLost           bool // its machine is gone: what comes is not answered
	inFlight           int  // bytes that it sent and the other side has not read
	lastArrival        time.Duration
	blockedSegments    []segment // back, by a cut
	readParker         *parker
	writeParker        *parker
	readDeadline       time.Duration // 0: no limit
	writeDeadline      time.Duration
	armedReadDeadline  time.Duration
	armedWriteDeadline time.Duration
}

// segment is bytes on the way, or the end of a direction.
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

// ReadAvailable reads what has come, and waits for nothing.
func (c *conn) ReadAvailable(buffer []byte) (int, error) {
	if err := c.readState(); err != nil {
		return 0, err
	}
	return c.consume(buffer), nil
}

// WaitReadable waits until bytes have come, and leaves them.
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

// readState tells what a read finds now: nil where bytes have readState.
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

// sendSegment puts a segment on the link, in order.
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

// resumeSending sends what a cut kept back, unless there is a new one.
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
		if !s.fin { // nobody reads it: the sender learns of that
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

// reset breaks the connection at this end.
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

// closeSide ends this side; what it had sent still goes.
func (c *conn) closeSide() {
	c.closed = true
	c.notifyClosed(c.fromDialler)
	if !c.resetReceived && !c.writeClosed {
		c.sendSegment(segment{fin: true})
	}
	c.readParker.Unpark()
	c.writeParker.Unpark()
}

// CloseWrite ends what this side sends.
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

// closeWithProcess ends this side with its process.
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
