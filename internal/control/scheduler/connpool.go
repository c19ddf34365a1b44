package scheduler

import (
	"bufio"
	"container/list"
	"context"
	"errors"
	"net"
	"slices"
	"sync/atomic"
	"syscall"
	"time"

	"merlinhitch/internal/protocol/http1"
	"merlinhitch/internal/runtime/env"
	"merlinhitch/policy"
)

var (
	messageLimits = http1.Limits{MaxHeadBytes: 16 << 10, MaxFields: 64, MaxBodyBytes: 64 << 10}
	// responseLimits: the platform's page speaks of 64 KiB, its disk servers answer with
	// several times that. What all answers hold at once is bounded by the back's budget.
	responseLimits = http1.Limits{MaxHeadBytes: 16 << 10, MaxFields: 64, MaxBodyBytes: maxResponseBytes}
)

const (
	readBufferBytes     = 4 << 10
	maxResponseBytes    = 1 << 20
	maxHTTPMessageBytes = 80 << 10
	writeTimeout        = 5 * time.Second
	// quarantineTime is how long a connection is listened to after an answer before it takes
	// another request: what a disk server sends behind its answer, a second copy some
	// milliseconds later even, must not be taken for the answer to the next.
	quarantineTime = 8 * time.Millisecond
	// idleKeepFraction of the time after which disk servers close idle connections is how long
	// they are kept here: a request that crosses the close would be lost to a reset.
	idleKeepFraction = 0.6
	// What the settings leave out.
	defaultDialTimeout = time.Second
	defaultConnIdle    = 10_000.0 // ms
)

// connPool keeps connections to disk servers, each for one request at a time. Its methods run
// on the loop's goroutine; what goes on on a connection that has a request is posted there.
type connPool struct {
	environment   env.Environment
	loop          *loop
	core          *core
	dialTimeout   time.Duration
	maxIdle       float64      // ms that an idle connection is kept
	maxConns      int          // connections that are open or dialled
	maxReplyBytes atomic.Int64 // of answers that are held at once
	replyBytes    atomic.Int64
	reuse         reuseStats
	serverStates  serverStates
	log           *eventLog
	connCount     int
	servers       map[string]*diskServer
	idleConns     list.List     // of free links, the one that has been free for longest first
	dialQueued    []*diskServer // that something waits for, and nothing could be dialled
	dialsPaused   bool          // a dial failed by this machine's own fault just now
	tasks         env.WaitGroup
	ctx           context.Context
	stop          context.CancelFunc
	conns         env.OrderedSet[*serverConn]
}

// diskServer is one disk diskServer's connections.
type diskServer struct {
	host, dialAddr   string
	idle             []*serverConn // the one last used last
	expectedConns    int           // dialled, or resting after an answer
	waiting          []*attempt
	openConns        int
	removed          bool
	dialQueued       bool // it is among the back's starved ones
	startedMS        int64
	lastActiveAt     float64 // when it last answered or took a connection
	lastDialAt       float64 // when a connection was last dialled
	localSocketError bool    // which failed by this machine's own fault
}

// popWaiting takes out the attempt that has waited longest for a connection, nil if none does.
func (s *diskServer) popWaiting() *attempt {
	if len(s.waiting) == 0 {
		return nil
	}
	a := s.waiting[0]
	s.waiting = s.waiting[1:]
	return a
}

// connState is what a connection to a disk server is at, on the loop.
type connState int

const (
	connIdle        connState = iota // nothing is owed on it, and nobody reads it
	connBusy                         // it has an attempt, which its goroutine serves
	connQuarantined                  // after an answer; its goroutine listens still
	connClosed
)

// serverConn is one connection. While it is busy or resting a goroutine of its own reads it; else
// nobody does, so what has come on it before a request can be seen just then.
type serverConn struct {
	pool        *connPool
	server      *diskServer
	conn        net.Conn
	reader      *bufio.Reader
	state       connState
	attempt     *attempt // while it is busy
	idleSince   float64  // 0: it has had no request
	idleBefore  float64  // before the request it has; 0: none
	idleElement *list.Element
}

func newConnPool(w env.Environment, l *loop, c *Config, maxConns int) *connPool {
	p := &connPool{environment: w, loop: l, maxConns: maxConns, servers: map[string]*diskServer{}}
	p.configure(c)
	p.ctx, p.stop = context.WithCancel(context.Background())
	return p
}

// configure takes what the configuration says; what is under way goes on.
func (p *connPool) configure(c *Config) {
	p.dialTimeout, p.maxIdle = env.Duration(c.Timeouts.DialTimeout), c.Timeouts.IdleTimeout*idleKeepFraction
	p.maxReplyBytes.Store(bodyByteLimit(c))
}

// serverListed notes a server's address; at another one, what is open to the old one is left.
func (p *connPool) serverListed(e ServerEntry) {
	s := p.servers[e.Host]
	if s == nil {
		s = &diskServer{host: e.Host}
		p.servers[e.Host] = s
	}
	s.removed = false
	if s.dialAddr != e.Address || s.startedMS != e.StartedMS { // another process answers there
		s.dialAddr, s.startedMS = e.Address, e.StartedMS
		p.closeIdleConns(s)
	}
}

func (p *connPool) serverRemoved(host string) {
	if s := p.servers[host]; s != nil {
		s.removed = true
		p.closeIdleConns(s)
		p.removeIfUnused(s)
	}
}

// removeIfUnused drops a server that is gone and has nothing open any more.
func (p *connPool) removeIfUnused(s *diskServer) {
	if s.removed && s.openConns == 0 && s.expectedConns == 0 && len(s.waiting) == 0 && !s.dialQueued && p.servers[s.host] == s {
		delete(p.servers, s.host)
	}
}

func (p *connPool) closeIdleConns(s *diskServer) {
	for _, sc := range slices.Clone(s.idle) {
		p.discard(sc)
	}
}

func (p *connPool) send(a *attempt) {
	s := p.servers[a.host]
	if s == nil { // of no list: nothing leaves this machine
		p.core.cancel(a)
		return
	}
	if n := len(s.idle); n > 0 {
		if idleTime := p.core.now - s.idle[n-1].idleSince; idleTime > p.maxIdle || p.reuse.likelyBroken(p.core.now, idleTime) {
			p.closeIdleConns(s) // the others have been idle for longer still
		}
	}
	s.waiting = append(s.waiting, a)
	for n := len(s.idle); n > 0 && len(s.waiting) > 0; n = len(s.idle) {
		sc := s.idle[n-1]
		p.removeIdle(sc)
		p.assign(p.core.now, sc)
	}
	p.dialForWaiting(s)
}

// dialForWaiting dials as long as more wait for a connection than are coming. Where this machine
// has none to spare, the server stands in line for the next.
func (p *connPool) dialForWaiting(s *diskServer) {
	for len(s.waiting) > s.expectedConns {
		if p.dialsPaused || !p.makeRoom() {
			if !s.dialQueued {
				s.dialQueued = true
				p.dialQueued = append(p.dialQueued, s)
			}
			return
		}
		s.expectedConns++
		s.lastDialAt = p.core.now
		p.connCount++
		addr, timeout := s.dialAddr, p.dialTimeout
		p.tasks.Go(p.environment, func() { p.dialAddr(s, addr, timeout) })
	}
}

// dialQueuedServers dials for the servers that stand in line, the first one first.
func (p *connPool) dialQueuedServers() {
	for len(p.dialQueued) > 0 && !p.dialsPaused && (p.connCount < p.maxConns || p.idleConns.Len() > 0) {
		s := p.dialQueued[0]
		p.dialQueued = p.dialQueued[1:]
		s.dialQueued = false
		p.dialForWaiting(s)
		p.removeIfUnused(s)
	}
}

// makeRoom tells whether one more connection may be opened; the one that has been idle for
// longest gives way.
func (p *connPool) makeRoom() bool {
	if p.connCount >= p.maxConns && p.idleConns.Len() > 0 {
		sc := p.idleConns.Front().Value.(*serverConn)
		p.closeConn(sc)
		p.removeIfUnused(sc.server)
	}
	return p.connCount < p.maxConns
}

// addIdle makes a link wait for its next request.
func (p *connPool) addIdle(sc *serverConn, since float64) {
	sc.state, sc.idleSince = connIdle, since
	sc.server.idle = append(sc.server.idle, sc)
	sc.idleElement = p.idleConns.PushBack(sc)
}

// removeIdle takes a link out of those that wait.
func (p *connPool) removeIdle(sc *serverConn) {
	if sc.idleElement == nil {
		return
	}
	p.idleConns.Remove(sc.idleElement)
	sc.idleElement = nil
	s := sc.server
	s.idle = slices.DeleteFunc(s.idle, func(x *serverConn) bool { return x == sc })
}

// dialPause is how long nothing is dialled after a dial failed by this machine's own fault:
// what waits keeps waiting, and neither attempts nor processor time are spent on it.
const dialPause = 20 * time.Millisecond

func (p *connPool) pauseDials() {
	if p.dialsPaused {
		return
	}
	p.dialsPaused = true
	p.tasks.Go(p.environment, func() {
		env.Sleep(p.environment, dialPause, nil)
		p.loop.post(p.loop.now(), eventDialled, func(float64) {
			p.dialsPaused = false
			p.dialQueuedServers()
		})
	})
}

func (p *connPool) dialAddr(s *diskServer, addr string, timeout time.Duration) {
	conn, err := p.environment.Dial(p.ctx, "tcp", addr, timeout)
	if !p.loop.post(p.loop.now(), eventDialled, func(at float64) { p.dialDone(at, s, addr, conn, err) }) && err == nil {
		conn.Close()
	}
}

func (p *connPool) dialDone(at float64, s *diskServer, addr string, conn net.Conn, err error) {
	s.expectedConns--
	if err != nil {
		p.connCount--
		p.log.dialFailed(s.host, err)
		if s.localSocketError = localSocketError(err); s.localSocketError {
			p.pauseDials()
		} else if len(s.waiting) > s.expectedConns { // else another connection is coming for each that waits
			p.core.failAttempt(at, s.popWaiting(), policy.NoConnection)
		}
		p.dialForWaiting(s)
		p.dialQueuedServers()
		p.removeIfUnused(s)
		return
	}
	s.lastActiveAt, s.localSocketError = at, false
	sc := &serverConn{pool: p, server: s, conn: conn, reader: bufio.NewReaderSize(conn, readBufferBytes)}
	s.openConns++
	p.conns.Add(sc)
	if s.dialAddr != addr {
		p.discard(sc)
		return
	}
	p.assign(at, sc)
}

// localSocketErrors are the errors of socket(2) and connect(2) that tell of this machine's
// shortages and settings, not of the other end.
var localSocketErrors = []error{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.EADDRNOTAVAIL,
	syscall.EADDRINUSE, syscall.EAGAIN, syscall.EINTR, syscall.ENETDOWN, syscall.ENETUNREACH, syscall.EACCES, syscall.EPERM}

// localSocketError tells whether a dial failed by this machine's own fault: that says nothing of the
// disk server, and may be over soon.
func localSocketError(err error) bool {
	return slices.ContainsFunc(localSocketErrors, func(target error) bool { return errors.Is(err, target) })
}

// assign gives a connection that is free to who waited longest for one and may begin still.
func (p *connPool) assign(at float64, sc *serverConn) {
	s := sc.server
	sc.state = connIdle
	if !sc.noInput() {
		p.discard(sc)
		return
	}
	for a := s.popWaiting(); a != nil; a = s.popWaiting() {
		if p.core.begin(p.loop.now(), a) { // not when its connection came up: bytes leave now
			p.startExchange(sc, a)
			return
		}
	}
	p.addIdle(sc, at)
	if s.removed {
		p.discard(sc)
	}
	p.dialQueuedServers()
}

// startExchange sends a on l.
func (p *connPool) startExchange(sc *serverConn, a *attempt) {
	sc.state, sc.attempt, a.serverConn, sc.idleBefore = connBusy, a, sc, 0
	if sc.idleSince > 0 {
		sc.idleBefore = p.core.now - sc.idleSince
	}
	startedMS := sc.server.startedMS
	p.tasks.Go(p.environment, func() { sc.exchange(a, startedMS) })
}

// mayBegin tells whether an attempt that the loop let begin may still begin now, on the
// goroutine that is about to write it: this process may have been held up since.
func (p *connPool) mayBegin(a *attempt, now float64, startedMS int64) bool {
	return now <= a.beginBy && now < a.answerBy && !a.call.noNewAttempts.Load() && p.serverStates.allows(a.host, startedMS)
}

// abandon lets go of an attempt whose outcome is known; it tells how far it had come. A connection that it is out on is closed, for that gives it up there; so are
// the free ones to a server that was silent all the while, which may be gone without a word.
func (p *connPool) abandon(a *attempt) attemptProgress {
	s := p.servers[a.host]
	if a.serverConn == nil {
		if s == nil {
			return progressNotDialled
		}
		s.waiting = slices.DeleteFunc(s.waiting, func(x *attempt) bool { return x == a })
		p.removeIfUnused(s)
		if s.expectedConns == 0 && (s.lastDialAt < a.issuedAt || s.localSocketError) {
			return progressNotDialled
		}
		return progressNotConnected
	}
	sc := a.serverConn
	if sc.attempt == a {
		p.discard(sc)
	}
	if s = sc.server; s.lastActiveAt < a.issuedAt {
		p.closeIdleConns(s)
	}
	return progressSent
}

// discard closes a connection, and dials for who waits.
func (p *connPool) discard(sc *serverConn) {
	if sc.state == connClosed {
		return
	}
	p.closeConn(sc)
	p.dialForWaiting(sc.server)
	p.dialQueuedServers()
	p.removeIfUnused(sc.server)
}

// closeConn closes a connection and takes it out of the books. While the loop runs nothing
// else closes it.
func (p *connPool) closeConn(sc *serverConn) {
	s := sc.server
	if sc.state == connQuarantined {
		s.expectedConns--
	}
	sc.state, sc.attempt = connClosed, nil
	sc.conn.Close()
	s.openConns--
	p.connCount--
	p.conns.Remove(sc)
	p.removeIdle(sc)
}

// sweep closes connections that have been idle for too long, or that their servers closed.
func (p *connPool) sweep(now float64) {
	for _, sc := range p.conns.All() {
		if sc.state == connIdle && (now-sc.idleSince > p.maxIdle || !sc.noInput()) {
			p.discard(sc)
		}
	}
}

// close ends what is left; the loop runs no more.
func (p *connPool) close() {
	p.stop()
	for _, sc := range p.conns.All() {
		sc.conn.Close()
	}
	p.tasks.Wait(p.environment)
}

// What a connection's goroutine posts.

func (p *connPool) replyReceived(at float64, sc *serverConn, a *attempt, r reply, reusable bool) {
	sc.server.lastActiveAt = at
	if sc.idleBefore > 0 {
		p.reuse.record(at, sc.idleBefore, false)
	}
	if reusable && sc.state == connBusy {
		sc.state, sc.attempt = connQuarantined, nil
		sc.server.expectedConns++
	} else {
		p.discard(sc)
	}
	p.core.receiveReply(at, a, r)
}

func (p *connPool) quarantineEnded(at float64, sc *serverConn, noInput bool) {
	switch {
	case sc.state != connQuarantined:
	case !noInput:
		p.discard(sc)
	default:
		sc.server.expectedConns--
		sc.state = connIdle
		p.assign(at, sc)
	}
}

// attemptNotBegun takes back a link whose attempt did not begin after all.
func (p *connPool) attemptNotBegun(at float64, sc *serverConn, a *attempt) {
	if sc.state == connBusy {
		sc.attempt = nil
		sc.conn.SetDeadline(time.Time{})
		since := sc.idleSince
		p.assign(at, sc)
		if sc.state == connIdle && since > 0 {
			sc.idleSince = since
		}
	}
	p.core.failAttempt(at, a, policy.NotSent)
}

func (p *connPool) connBroken(at float64, sc *serverConn, a *attempt, r policy.Result) {
	p.discard(sc)
	if a.outcomeKnown {
		return
	}
	if sc.idleBefore > 0 && at-a.issuedAt < staleBreakTime {
		p.reuse.record(at, sc.idleBefore, true)
	}
	p.core.failAttempt(at, a, r)
}
