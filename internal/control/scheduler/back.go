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
	readBufferBytes  = 4 << 10
	maxResponseBytes = 1 << 20
	messageBytes     = 80 << 10
	writeTimeout     = 5 * time.Second
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
	open          env.OrderedSet[*serverConn]
}

// diskServer is one disk diskServer's connections.
type diskServer struct {
	host, dialAddr   string
	idle             []*serverConn // the one last used last
	expected         int           // dialled, or resting after an answer
	waiting          []*attempt
	openConns        int
	removed          bool
	dialQueued       bool // it is among the back's starved ones
	bornMS           int64
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
	b := &connPool{environment: w, loop: l, maxConns: maxConns, servers: map[string]*diskServer{}}
	b.configure(c)
	b.ctx, b.stop = context.WithCancel(context.Background())
	return b
}

// configure takes what the configuration says; what is under way goes on.
func (b *connPool) configure(c *Config) {
	b.dialTimeout, b.maxIdle = env.Duration(c.Timeouts.DialTimeout), c.Timeouts.IdleTimeout*idleKeepFraction
	b.maxReplyBytes.Store(bodyByteLimit(c))
}

// serverListed notes a server's address; at another one, what is open to the old one is left.
func (b *connPool) serverListed(e ServerEntry) {
	s := b.servers[e.Host]
	if s == nil {
		s = &diskServer{host: e.Host}
		b.servers[e.Host] = s
	}
	s.removed = false
	if s.dialAddr != e.Address || s.bornMS != e.StartedMS { // another process answers there
		s.dialAddr, s.bornMS = e.Address, e.StartedMS
		b.closeIdleConns(s)
	}
}

func (b *connPool) serverRemoved(host string) {
	if s := b.servers[host]; s != nil {
		s.removed = true
		b.closeIdleConns(s)
		b.removeIfUnused(s)
	}
}

// removeIfUnused drops a server that is gone and has nothing open any more.
func (b *connPool) removeIfUnused(s *diskServer) {
	if s.removed && s.openConns == 0 && s.expected == 0 && len(s.waiting) == 0 && !s.dialQueued && b.servers[s.host] == s {
		delete(b.servers, s.host)
	}
}

func (b *connPool) closeIdleConns(s *diskServer) {
	for _, l := range slices.Clone(s.idle) {
		b.discard(l)
	}
}

func (b *connPool) send(a *attempt) {
	s := b.servers[a.host]
	if s == nil { // of no list: nothing leaves this machine
		b.core.cancel(a)
		return
	}
	if n := len(s.idle); n > 0 {
		if idleTime := b.core.now - s.idle[n-1].idleSince; idleTime > b.maxIdle || b.reuse.likelyBroken(b.core.now, idleTime) {
			b.closeIdleConns(s) // the others have been idle for longer still
		}
	}
	s.waiting = append(s.waiting, a)
	for n := len(s.idle); n > 0 && len(s.waiting) > 0; n = len(s.idle) {
		l := s.idle[n-1]
		b.removeIdle(l)
		b.assign(b.core.now, l)
	}
	b.dialForWaiting(s)
}

// dialForWaiting dials as long as more wait for a connection than are coming. Where this machine
// has none to spare, the server stands in line for the next.
func (b *connPool) dialForWaiting(s *diskServer) {
	for len(s.waiting) > s.expected {
		if b.dialsPaused || !b.makeRoom() {
			if !s.dialQueued {
				s.dialQueued = true
				b.dialQueued = append(b.dialQueued, s)
			}
			return
		}
		s.expected++
		s.lastDialAt = b.core.now
		b.connCount++
		addr, within := s.dialAddr, b.dialTimeout
		b.tasks.Go(b.environment, func() { b.dialAddr(s, addr, within) })
	}
}

// dialQueuedServers dials for the servers that stand in line, the first one first.
func (b *connPool) dialQueuedServers() {
	for len(b.dialQueued) > 0 && !b.dialsPaused && (b.connCount < b.maxConns || b.idleConns.Len() > 0) {
		s := b.dialQueued[0]
		b.dialQueued = b.dialQueued[1:]
		s.dialQueued = false
		b.dialForWaiting(s)
		b.removeIfUnused(s)
	}
}

// makeRoom tells whether one more connection may be opened; the one that has been idle for
// longest gives way.
func (b *connPool) makeRoom() bool {
	if b.connCount >= b.maxConns && b.idleConns.Len() > 0 {
		l := b.idleConns.Front().Value.(*serverConn)
		b.closeConn(l)
		b.removeIfUnused(l.server)
	}
	return b.connCount < b.maxConns
}

// addIdle makes a link wait for its next request.
func (b *connPool) addIdle(l *serverConn, since float64) {
	l.state, l.idleSince = connIdle, since
	l.server.idle = append(l.server.idle, l)
	l.idleElement = b.idleConns.PushBack(l)
}

// removeIdle takes a link out of those that wait.
func (b *connPool) removeIdle(l *serverConn) {
	if l.idleElement == nil {
		return
	}
	b.idleConns.Remove(l.idleElement)
	l.idleElement = nil
	s := l.server
	s.idle = slices.DeleteFunc(s.idle, func(x *serverConn) bool { return x == l })
}

// dialPause is how long nothing is dialled after a dial failed by this machine's own fault:
// what waits keeps waiting, and neither attempts nor processor time are spent on it.
const dialPause = 20 * time.Millisecond

func (b *connPool) pauseDials() {
	if b.dialsPaused {
		return
	}
	b.dialsPaused = true
	b.tasks.Go(b.environment, func() {
		env.Sleep(b.environment, dialPause, nil)
		b.loop.post(b.loop.now(), eventDialled, func(float64) {
			b.dialsPaused = false
			b.dialQueuedServers()
		})
	})
}

func (b *connPool) dialAddr(s *diskServer, addr string, within time.Duration) {
	conn, err := b.environment.Dial(b.ctx, "tcp", addr, within)
	if !b.loop.post(b.loop.now(), eventDialled, func(at float64) { b.dialDone(at, s, addr, conn, err) }) && err == nil {
		conn.Close()
	}
}

func (b *connPool) dialDone(at float64, s *diskServer, addr string, conn net.Conn, err error) {
	s.expected--
	if err != nil {
		b.connCount--
		b.log.dialFailed(s.host, err)
		if s.localSocketError = localSocketError(err); s.localSocketError {
			b.pauseDials()
		} else if len(s.waiting) > s.expected { // else another connection is coming for each that waits
			b.core.failAttempt(at, s.popWaiting(), policy.NoConnection)
		}
		b.dialForWaiting(s)
		b.dialQueuedServers()
		b.removeIfUnused(s)
		return
	}
	s.lastActiveAt, s.localSocketError = at, false
	l := &serverConn{pool: b, server: s, conn: conn, reader: bufio.NewReaderSize(conn, readBufferBytes)}
	s.openConns++
	b.open.Add(l)
	if s.dialAddr != addr {
		b.discard(l)
		return
	}
	b.assign(at, l)
}

// localSocketErrors are the errors of socket(2) and connect(2) that tell of this machine's
// shortages and settings, not of the other end.
var localSocketErrors = []error{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.EADDRNOTAVAIL,
	syscall.EADDRINUSE, syscall.EAGAIN, syscall.EINTR, syscall.ENETDOWN, syscall.ENETUNREACH, syscall.EACCES, syscall.EPERM}

// localSocketError tells whether a dial failed by this machine's own fault: that says nothing of the
// disk server, and may be over soon.
func localSocketError(err error) bool {
	return slices.ContainsFunc(localSocketErrors, func(own error) bool { return errors.Is(err, own) })
}

// assign gives a connection that is free to who waited longest for one and may begin still.
func (b *connPool) assign(at float64, l *serverConn) {
	s := l.server
	l.state = connIdle
	if !l.noInput() {
		b.discard(l)
		return
	}
	for a := s.popWaiting(); a != nil; a = s.popWaiting() {
		if b.core.begin(b.loop.now(), a) { // not when its connection came up: bytes leave now
			b.startExchange(l, a)
			return
		}
	}
	b.addIdle(l, at)
	if s.removed {
		b.discard(l)
	}
	b.dialQueuedServers()
}

// startExchange sends a on l.
func (b *connPool) startExchange(l *serverConn, a *attempt) {
	l.state, l.attempt, a.serverConn, l.idleBefore = connBusy, a, l, 0
	if l.idleSince > 0 {
		l.idleBefore = b.core.now - l.idleSince
	}
	bornMS := l.server.bornMS
	b.tasks.Go(b.environment, func() { l.exchange(a, bornMS) })
}

// mayBegin tells whether an attempt that the loop let begin may still begin now, on the
// goroutine that is about to write it: this process may have been held up since.
func (b *connPool) mayBegin(a *attempt, now float64, born int64) bool {
	return now <= a.beginBy && now < a.answerBy && !a.call.noNewAttempts.Load() && b.serverStates.allows(a.host, born)
}

// abandon lets go of an attempt whose outcome is known; it tells how far it had come. A connection that it is out on is closed, for that gives it up there; so are
// the free ones to a server that was silent all the while, which may be gone without a word.
func (b *connPool) abandon(a *attempt) attemptProgress {
	s := b.servers[a.host]
	if a.serverConn == nil {
		if s == nil {
			return progressNotDialled
		}
		s.waiting = slices.DeleteFunc(s.waiting, func(x *attempt) bool { return x == a })
		b.removeIfUnused(s)
		if s.expected == 0 && (s.lastDialAt < a.issuedAt || s.localSocketError) {
			return progressNotDialled
		}
		return progressNotConnected
	}
	l := a.serverConn
	if l.attempt == a {
		b.discard(l)
	}
	if s = l.server; s.lastActiveAt < a.issuedAt {
		b.closeIdleConns(s)
	}
	return progressSent
}

// discard closes a connection, and dials for who waits.
func (b *connPool) discard(l *serverConn) {
	if l.state == connClosed {
		return
	}
	b.closeConn(l)
	b.dialForWaiting(l.server)
	b.dialQueuedServers()
	b.removeIfUnused(l.server)
}

// closeConn closes a connection and takes it out of the books. While the loop runs nothing
// else closes it.
func (b *connPool) closeConn(l *serverConn) {
	s := l.server
	if l.state == connQuarantined {
		s.expected--
	}
	l.state, l.attempt = connClosed, nil
	l.conn.Close()
	s.openConns--
	b.connCount--
	b.open.Remove(l)
	b.removeIdle(l)
}

// sweep closes connections that have been idle for too long, or that their servers closed.
func (b *connPool) sweep(now float64) {
	for _, l := range b.open.All() {
		if l.state == connIdle && (now-l.idleSince > b.maxIdle || !l.noInput()) {
			b.discard(l)
		}
	}
}

// close ends what is left; the loop runs no more.
func (b *connPool) close() {
	b.stop()
	for _, l := range b.open.All() {
		l.conn.Close()
	}
	b.tasks.Wait(b.environment)
}

// What a connection's goroutine posts.

func (b *connPool) replyReceived(at float64, l *serverConn, a *attempt, r reply, clean bool) {
	l.server.lastActiveAt = at
	if l.idleBefore > 0 {
		b.reuse.record(at, l.idleBefore, false)
	}
	if clean && l.state == connBusy {
		l.state, l.attempt = connQuarantined, nil
		l.server.expected++
	} else {
		b.discard(l)
	}
	b.core.receiveReply(at, a, r)
}

func (b *connPool) quarantineEnded(at float64, l *serverConn, quiet bool) {
	switch {
	case l.state != connQuarantined:
	case !quiet:
		b.discard(l)
	default:
		l.server.expected--
		l.state = connIdle
		b.assign(at, l)
	}
}

// attemptNotBegun takes back a link whose attempt did not begin after all.
func (b *connPool) attemptNotBegun(at float64, l *serverConn, a *attempt) {
	if l.state == connBusy {
		l.attempt = nil
		l.conn.SetDeadline(time.Time{})
		since := l.idleSince
		b.assign(at, l)
		if l.state == connIdle && since > 0 {
			l.idleSince = since
		}
	}
	b.core.failAttempt(at, a, policy.NotSent)
}

func (b *connPool) connBroken(at float64, l *serverConn, a *attempt, r policy.Result) {
	b.discard(l)
	if a.outcomeKnown {
		return
	}
	if l.idleBefore > 0 && at-a.issuedAt < staleBreakTime {
		b.reuse.record(at, l.idleBefore, true)
	}
	b.core.failAttempt(at, a, r)
}
