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

// Net is the state of a link in one direction.
type Net struct {
	Delay  time.Duration
	Jitter time.Duration // up to so much more, drawn for each segment
	Loss   float64       // part of the segments that are lost and sent again
	Split  bool          // the reader gets a few bytes at a time
	// Cut: nothing passes. What was sent waits at the sender, as with TCP, and goes on
	// some time after the cut has ended.
	Cut bool
}

// Link is a way from one process to another that has a state of its own.
type Link struct {
	Net
	w    *World
	held []*conn // with segments that a cut keeps back
}

// Names of processes, without the number of their start.
type linkKey struct{ from, to string }

const (
	// window bounds the bytes that are on the way or unread, a direction.
	window = 256 << 10
	// resend is the first time after which a lost segment is sent again; each further
	// one takes twice as long (RFC 6298 section 5.5, with the least time of common
	// systems).
	resend = 200 * time.Millisecond
	// resendMost bounds how long after a cut its end is noticed.
	resendMost = 2 * time.Second
)

// Link returns the way from one process to another, by the names that stay when a
// process is started again: those before a '#'. It begins with the world's Net.
func (w *World) Link(from, to string) *Link {
	k := linkKey{from, to}
	l := w.links[k]
	if l == nil {
		l = &Link{Net: w.Net, w: w}
		w.links[k] = l
	}
	return l
}

// Set changes the link.
func (l *Link) Set(n Net) {
	l.w.mark('l', uint64(n.Delay), int(n.Loss*1000))
	healed := l.Cut && !n.Cut
	l.Net = n
	if !healed {
		return
	}
	held := l.held
	l.held = nil
	for _, c := range held {
		again := time.Duration(l.w.rng.Int64N(int64(resendMost)))
		l.w.at(again, c.resume)
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
	Bytes(up bool, b []byte)
	// Closed is called once; up if the dialling side ended it.
	Closed(up bool)
}

// alias is an address behind which a listener can change, and which may be observed.
type alias struct {
	target  string
	dialler bool // the observer stands by the dialling side
	observe func() Observer
}

// Alias makes an address that leads to target. observe, if any, is called for each
// connection made to it; its observer stands by the dialling or the listening side.
func (w *World) Alias(target string, byDialler bool, observe func() Observer) string {
	a := w.port()
	w.aliases[a] = &alias{target, byDialler, observe}
	return a
}

// Point has an alias lead elsewhere from now on.
func (w *World) Point(name, target string) { w.aliases[name].target = target }

func (w *World) port() string {
	w.nextPort++
	return fmt.Sprintf("127.0.0.1:%d", w.nextPort)
}

// listener implements net.Listener.
type listener struct {
	p       *Process
	addr    addr
	backlog []*conn
	wait    *parker
	closed  bool
}

// Listen implements env.Environment.
func (p *Process) Listen(network, address string) (net.Listener, error) {
	if network != "tcp" {
		return nil, &net.OpError{Op: "listen", Net: network, Err: net.UnknownNetworkError(network)}
	}
	if address == "127.0.0.1:0" {
		address = p.w.port()
	}
	if p.dead || p.w.listeners[address] != nil {
		return nil, &net.OpError{Op: "listen", Net: network, Err: syscall.EADDRINUSE}
	}
	l := &listener{p: p, addr: addr(address), wait: &parker{w: p.w}}
	p.w.listeners[address] = l
	p.ports = append(p.ports, l)
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
		l.wait.Park()
	}
}

// Addr implements net.Listener.
func (l *listener) Addr() net.Addr { return l.addr }

// Close implements net.Listener.
func (l *listener) Close() error {
	if l.closed || l.p.dead {
		return net.ErrClosed
	}
	l.shut()
	return nil
}

func (l *listener) shut() {
	if l.closed {
		return
	}
	l.closed = true
	delete(l.p.w.listeners, string(l.addr))
	for _, c := range l.backlog {
		c.Close()
	}
	l.backlog = nil
	l.wait.Unpark()
}

// Dial implements env.Environment.
func (p *Process) Dial(ctx context.Context, network, address string, within time.Duration) (net.Conn, error) {
	fail := func(err error) (net.Conn, error) {
		return nil, &net.OpError{Op: "dial", Net: network, Addr: addr(address), Err: err}
	}
	if within <= 0 {
		within = time.Minute
	}
	w, end := p.w, p.w.now+within
	target, a := address, w.aliases[address]
	if a != nil {
		target = a.target
	}
	for try := resend; ; try *= 2 {
		if err := ctx.Err(); err != nil {
			return fail(err)
		}
		l := w.listeners[target]
		if l == nil { // refused by the machine, which is there
			w.sleep(p, min(2*w.Net.Delay, end-w.now))
			return fail(syscall.ECONNREFUSED)
		}
		out, back := w.Link(StableName(p.name), StableName(l.p.name)), w.Link(StableName(l.p.name), StableName(p.name))
		if out.Cut || back.Cut || w.rng.Float64() < out.Loss+back.Loss-out.Loss*back.Loss {
			if w.now+try >= end {
				w.sleep(p, end-w.now)
				return fail(os.ErrDeadlineExceeded)
			}
			w.sleep(p, try)
			continue
		}
		c := w.connect(p, l, address, a, out, back)
		w.sleep(p, out.delay()+back.delay())
		if l.closed {
			c.Close()
			return fail(syscall.ECONNREFUSED)
		}
		return c, nil
	}
}

// sleep has the running goroutine of p wait.
func (w *World) sleep(p *Process, d time.Duration) {
	k := &parker{w: w}
	over := false
	w.at(d, func() {
		over = true
		k.Unpark()
	})
	for !over {
		k.Park()
	}
	if p.dead {
		panic(killed{})
	}
}

func (l *Link) delay() time.Duration {
	d := l.Delay
	if l.Jitter > 0 {
		d += time.Duration(l.w.rng.Int64N(int64(l.Jitter)))
	}
	return d
}

// connect makes both ends; the listener has its end once the first segment is there.
func (w *World) connect(p *Process, l *listener, name string, a *alias, out, back *Link) *conn {
	w.nextConn++
	near := &conn{w: w, p: p, id: 2 * w.nextConn, up: true, local: addr(w.port()), remote: addr(name), link: out}
	far := &conn{w: w, p: l.p, id: 2*w.nextConn + 1, local: l.addr, remote: near.local, link: back}
	near.peer, far.peer = far, near
	for _, c := range []*conn{near, far} {
		c.reader, c.writer = &parker{w: w}, &parker{w: w}
		c.p.conns = append(c.p.conns, c)
	}
	if a != nil && a.observe != nil {
		by := far
		if a.dialler {
			by = near
		}
		by.observer = a.observe()
	}
	first := out.delay()
	near.arrive = w.now + first
	w.at(first, func() {
		if l.closed {
			far.reset()
			near.reset()
			return
		}
		l.backlog = append(l.backlog, far)
		l.wait.Unpark()
	})
	return near
}

// conn is one end of a connection. It implements net.Conn.
type conn struct {
	w             *World
	p             *Process
	peer          *conn
	id            uint64
	up            bool // the dialling side's
	local, remote addr
	link          *Link // on which it sends
	observer      Observer
	observed      bool // its end has been told

	in         [][]byte // that came and is unread
	unread     int
	ended      bool // the other side's end has come
	broken     bool // by a reset
	closed     bool
	half       bool // this side sends no more
	gone       bool // its machine is gone: what comes is not answered
	flying     int  // bytes that it sent and the other side has not read
	arrive     time.Duration
	kept       []segment // back, by a cut
	reader     *parker
	writer     *parker
	readBy     time.Duration // 0: no limit
	writeBy    time.Duration
	readArmed  time.Duration
	writeArmed time.Duration
}

// segment is bytes on the way, or the end of a direction.
type segment struct {
	data []byte
	fin  bool
}

// Read implements net.Conn.
func (c *conn) Read(b []byte) (int, error) {
	if err := c.WaitReadable(); err != nil {
		return 0, err
	}
	return c.take(b), nil
}

// ReadAvailable reads what has come, and waits for nothing.
func (c *conn) ReadAvailable(b []byte) (int, error) {
	if err := c.come(); err != nil {
		return 0, err
	}
	return c.take(b), nil
}

// WaitReadable waits until bytes have come, and leaves them.
func (c *conn) WaitReadable() error {
	for {
		if err := c.come(); err != env.ErrNoData {
			return err
		}
		if c.readBy != 0 && c.w.now >= c.readBy {
			return os.ErrDeadlineExceeded
		}
		if c.readBy != 0 && c.readArmed != c.readBy {
			c.readArmed = c.readBy
			c.w.at(c.readBy-c.w.now, c.reader.Unpark)
		}
		c.reader.Park()
	}
}

// come tells what a read finds now: nil where bytes have come.
func (c *conn) come() error {
	switch {
	case c.closed:
		return net.ErrClosed
	case c.unread > 0:
		return nil
	case c.broken:
		return syscall.ECONNRESET
	case c.ended:
		return io.EOF
	}
	return env.ErrNoData
}

func (c *conn) take(b []byte) int {
	if c.peer.link.Split {
		b = b[:min(len(b), 1+c.w.rng.IntN(7))]
	}
	n := 0
	for n < len(b) && len(c.in) > 0 {
		k := copy(b[n:], c.in[0])
		n += k
		if c.in[0] = c.in[0][k:]; len(c.in[0]) == 0 {
			c.in[0] = nil
			c.in = c.in[1:]
		}
	}
	c.unread -= n
	c.peer.flying -= n
	c.peer.writer.Unpark()
	return n
}

// Write implements net.Conn.
func (c *conn) Write(b []byte) (int, error) {
	n := 0
	for {
		switch {
		case c.closed:
			return n, net.ErrClosed
		case c.half:
			return n, syscall.EPIPE
		case c.broken:
			return n, syscall.ECONNRESET
		case n == len(b):
			c.p.wrote()
			return n, nil
		}
		if room := window - c.flying; room > 0 {
			k := min(room, len(b)-n)
			data := slices.Clone(b[n : n+k])
			n += k
			c.flying += k
			if c.observer != nil {
				c.observer.Bytes(c.up, data)
			}
			c.send(segment{data: data})
			continue
		}
		if c.writeBy != 0 && c.w.now >= c.writeBy {
			return n, os.ErrDeadlineExceeded
		}
		if c.writeBy != 0 && c.writeArmed != c.writeBy {
			c.writeArmed = c.writeBy
			c.w.at(c.writeBy-c.w.now, c.writer.Unpark)
		}
		c.writer.Park()
	}
}

// send puts a segment on the link, in order.
func (c *conn) send(s segment) {
	l := c.link
	if l.Cut || len(c.kept) > 0 {
		if c.kept = append(c.kept, s); len(c.kept) == 1 {
			l.held = append(l.held, c)
		}
		return
	}
	at := c.w.now + l.delay()
	for again := resend; l.Loss > 0 && c.w.rng.Float64() < l.Loss && again < 16*resend; again *= 2 {
		at += again
	}
	at = max(at, c.arrive)
	c.arrive = at
	c.w.mark('>', c.id, len(s.data))
	c.w.digest.Write(s.data)
	to := c.peer
	c.w.at(at-c.w.now, func() { to.deliver(s) })
}

// resume sends what a cut kept back, unless there is a new one.
func (c *conn) resume() {
	kept := c.kept
	if len(kept) == 0 {
		return
	}
	c.kept = nil
	for _, s := range kept {
		c.send(s)
	}
}

func (c *conn) deliver(s segment) {
	c.w.mark('<', c.id, len(s.data))
	switch {
	case c.gone:
		return
	case c.closed || c.broken:
		if !s.fin { // nobody reads it: the sender learns of that
			c.w.at(c.link.delay(), c.peer.reset)
		}
		return
	case s.fin:
		c.ended = true
		c.tellEnd(c.peer.up)
	default:
		if c.observer != nil {
			c.observer.Bytes(c.peer.up, s.data)
		}
		c.in = append(c.in, s.data)
		c.unread += len(s.data)
	}
	c.reader.Unpark()
}

// reset breaks the connection at this end.
func (c *conn) reset() {
	if c.closed || c.broken {
		return
	}
	c.broken = true
	c.tellEnd(c.peer.up)
	c.reader.Unpark()
	c.writer.Unpark()
}

func (c *conn) tellEnd(up bool) {
	if c.observer != nil && !c.observed {
		c.observed = true
		c.observer.Closed(up)
	}
}

// Close implements net.Conn.
func (c *conn) Close() error {
	if c.closed || c.p.dead {
		return net.ErrClosed
	}
	c.shut()
	if i := slices.Index(c.p.conns, c); i >= 0 {
		c.p.conns = slices.Delete(c.p.conns, i, i+1)
	}
	return nil
}

// shut ends this side; what it had sent still goes.
func (c *conn) shut() {
	c.closed = true
	c.tellEnd(c.up)
	if !c.broken && !c.half {
		c.send(segment{fin: true})
	}
	c.reader.Unpark()
	c.writer.Unpark()
}

// CloseWrite ends what this side sends.
func (c *conn) CloseWrite() error {
	if c.closed || c.broken || c.p.dead {
		return net.ErrClosed
	}
	if !c.half {
		c.half = true
		c.send(segment{fin: true})
		c.writer.Unpark()
	}
	return nil
}

// abandon ends this side with its process.
func (c *conn) abandon(how Ending) {
	if c.closed {
		return
	}
	if how == Silent {
		c.closed, c.gone = true, true
		c.tellEnd(c.up)
		return
	}
	c.shut()
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
	c.readBy = since(t)
	c.reader.Unpark()
	return nil
}

// SetWriteDeadline implements net.Conn.
func (c *conn) SetWriteDeadline(t time.Time) error {
	c.writeBy = since(t)
	c.writer.Unpark()
	return nil
}

func since(t time.Time) time.Duration {
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
