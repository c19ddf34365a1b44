package world

import (
	"context"
	"fmt"
	"net"
	"os"
	"syscall"
	"time"
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
