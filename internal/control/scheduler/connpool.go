package scheduler

import (
	"bufio"
	"container/list"
	"context"
	"errors"
	"net"
	"slices"
	"syscall"
	"time"

	"merlinhitch/internal/protocol/http1"
	"merlinhitch/internal/runtime/env"
	"merlinhitch/policy"
)

var (
	// messageLimits bounds requests of clients and response heads of discovery.
	messageLimits = http1.Limits{MaxHeadBytes: 16 << 10, MaxFields: 64, MaxBodyBytes: 64 << 10}
	// responseLimits allows bodies larger than requests may have: the platform's page speaks of
	// 64 KiB, but its disk servers send several times that. memoryAccount.replies bounds the
	// bytes of all responses in memory together.
	responseLimits = http1.Limits{MaxHeadBytes: 16 << 10, MaxFields: 64, MaxBodyBytes: maxResponseBytes}
)

const (
	readBufferBytes     = 4 << 10
	maxResponseBytes    = 1 << 20
	maxHTTPMessageBytes = 80 << 10 // head and body within messageLimits
	writeTimeout        = 5 * time.Second
	// idleKeepFraction is the part of the disk servers' idle timeout for which a connection
	// is kept here. A request sent while the server closes the connection would end in a reset.
	idleKeepFraction = 0.6
	// Defaults for times that the settings leave out.
	defaultDialTimeout = time.Second
	defaultIdleTimeout = 10_000.0 // ms
)

// connPool holds the connections to disk servers, each of which carries one request at a time.
// Its methods run on the loop's goroutine, except dialAddr and mayBegin, which goroutines of
// dials and exchanges call, and close. Those goroutines post their results to the loop.
type connPool struct {
	environment  env.Environment
	loop         *loop
	core         *core
	dialTimeout  time.Duration
	maxIdle      float64 // ms for which an idle connection is kept
	maxConns     int     // bound of connCount
	memory       *memoryAccount
	reuse        reuseStats
	serverStates serverStates
	log          *eventLog
	connCount    int // connections open or being dialled
	servers      map[string]*diskServer
	idleConns    list.List     // idle connections, longest idle first
	dialQueued   []*diskServer // servers with waiting attempts for which no connection could be dialled, in FIFO order
	dialsPaused  bool          // a dial failed with a local socket error less than dialPause ago
	tasks        env.WaitGroup
	ctx          context.Context // of dials
	stop         context.CancelFunc
	conns        env.OrderedSet[*serverConn]
}

// diskServer holds the connections to one disk server and the attempts that wait for one.
type diskServer struct {
	host, dialAddr   string
	idle             []*serverConn // most recently used last
	expectedConns    int           // connections being dialled or in quarantine
	waiting          []*attempt
	openConns        int
	removed          bool
	dialQueued       bool    // it is in connPool.dialQueued
	startedMS        int64   // Unix time, ms, of the server's last start
	lastActiveAt     float64 // time of the last response or accepted connection
	lastDialAt       float64 // time of the last dial
	localSocketError bool    // the last dial that ended failed with a local socket error
}

// popWaiting removes and returns the attempt that has waited longest, nil if none waits.
func (s *diskServer) popWaiting() *attempt {
	if len(s.waiting) == 0 {
		return nil
	}
	a := s.waiting[0]
	s.waiting = s.waiting[1:]
	return a
}

// connState is the state of a connection to a disk server as the loop sees it.
type connState int

const (
	connIdle        connState = iota // no response is outstanding, and no goroutine reads it
	connBusy                         // it carries an attempt, and a goroutine runs the exchange
	connQuarantined                  // after a response; the goroutine still reads what follows it
	connClosed
)

// serverConn is one connection to a disk server. A goroutine reads it only while it is busy or
// quarantined, so that assign can check an idle one for unexpected input just before a request.
type serverConn struct {
	pool        *connPool
	server      *diskServer
	conn        net.Conn
	reader      *bufio.Reader
	state       connState
	attempt     *attempt // set while the state is connBusy
	idleSince   float64  // when it last became idle; 0: never
	idleBefore  float64  // ms from idleSince to the start of the current attempt; 0: it was never idle
	idleElement *list.Element
}

func newConnPool(w env.Environment, l *loop, c *Config, memory *memoryAccount) *connPool {
	p := &connPool{environment: w, loop: l, memory: memory, servers: map[string]*diskServer{}}
	p.configure(c)
	p.ctx, p.stop = context.WithCancel(context.Background())
	return p
}

// configure applies the timeouts and the bound of connections of c; dials and exchanges under way
// keep theirs.
func (p *connPool) configure(c *Config) {
	p.dialTimeout, p.maxIdle = env.Duration(c.Timeouts.DialTimeout), c.Timeouts.IdleTimeout*idleKeepFraction
	p.maxConns = PlanMemory(c.Limits).maxServers
}

// serverListed adds a server or updates its address. If the address or start time changed, idle
// connections to the old process are closed.
func (p *connPool) serverListed(e ServerEntry) {
	s := p.servers[e.Host]
	if s == nil {
		s = &diskServer{host: e.Host}
		p.servers[e.Host] = s
	}
	s.removed = false
	if s.dialAddr != e.Address || s.startedMS != e.StartedMS { // another process
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

// removeIfUnused deletes a removed server once it has no connections, dials or waiting attempts.
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
	if s == nil { // not in the server list: nothing is sent
		p.core.cancel(a)
		return
	}
	if n := len(s.idle); n > 0 {
		if idleTime := p.core.now - s.idle[n-1].idleSince; idleTime > p.maxIdle || p.reuse.likelyBroken(p.core.now, idleTime) {
			p.closeIdleConns(s) // the others have been idle for longer
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

// dialForWaiting dials until there is an expected connection for each waiting attempt. At the
// connection limit or while dials are paused, the server is queued for a later dial.
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

// dialQueuedServers dials for the queued servers in FIFO order while connections are available.
func (p *connPool) dialQueuedServers() {
	for len(p.dialQueued) > 0 && !p.dialsPaused && (p.connCount < p.maxConns || p.idleConns.Len() > 0) {
		s := p.dialQueued[0]
		p.dialQueued = p.dialQueued[1:]
		s.dialQueued = false
		p.dialForWaiting(s)
		p.removeIfUnused(s)
	}
}

// makeRoom reports whether one more connection may be dialled. At the limit it first closes the
// connection that has been idle for longest.
func (p *connPool) makeRoom() bool {
	if p.connCount >= p.maxConns && p.idleConns.Len() > 0 {
		sc := p.idleConns.Front().Value.(*serverConn)
		p.closeConn(sc)
		p.removeIfUnused(sc.server)
	}
	return p.connCount < p.maxConns
}

// addIdle marks a connection as idle since the given time.
func (p *connPool) addIdle(sc *serverConn, since float64) {
	sc.state, sc.idleSince = connIdle, since
	sc.server.idle = append(sc.server.idle, sc)
	sc.idleElement = p.idleConns.PushBack(sc)
}

// removeIdle removes a connection from the idle ones, if it is among them.
func (p *connPool) removeIdle(sc *serverConn) {
	if sc.idleElement == nil {
		return
	}
	p.idleConns.Remove(sc.idleElement)
	sc.idleElement = nil
	s := sc.server
	s.idle = slices.DeleteFunc(s.idle, func(x *serverConn) bool { return x == sc })
}

// dialPause is how long no connection is dialled after a local socket error. Waiting attempts
// stay queued, so that neither attempts nor processor time are spent on dials bound to fail.
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
	if !p.loop.post(p.loop.now(), eventDialled, func(occurredAt float64) { p.dialDone(occurredAt, s, addr, conn, err) }) && err == nil {
		conn.Close()
	}
}

func (p *connPool) dialDone(occurredAt float64, s *diskServer, addr string, conn net.Conn, err error) {
	s.expectedConns--
	if err != nil {
		p.connCount--
		p.log.dialFailed(s.host, err)
		if s.localSocketError = localSocketError(err); s.localSocketError {
			p.pauseDials()
		} else if len(s.waiting) > s.expectedConns { // otherwise each waiting attempt still has an expected connection
			p.core.failAttempt(occurredAt, s.popWaiting(), policy.NoConnection)
		}
		p.dialForWaiting(s)
		p.dialQueuedServers()
		p.removeIfUnused(s)
		return
	}
	s.lastActiveAt, s.localSocketError = occurredAt, false
	sc := &serverConn{pool: p, server: s, conn: conn, reader: bufio.NewReaderSize(conn, readBufferBytes)}
	s.openConns++
	p.conns.Add(sc)
	if s.dialAddr != addr {
		p.discard(sc)
		return
	}
	p.assign(occurredAt, sc)
}

// localSocketErrors are the errors of socket(2), bind(2) and connect(2) that are caused by this
// host's resources or configuration and not by the remote end.
var localSocketErrors = []error{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.EADDRNOTAVAIL,
	syscall.EADDRINUSE, syscall.EAGAIN, syscall.EINTR, syscall.ENETDOWN, syscall.ENETUNREACH, syscall.EACCES, syscall.EPERM}

// localSocketError reports whether a dial or listen failed for a reason local to this host, which
// says nothing about the disk server and may pass soon.
func localSocketError(err error) bool {
	return slices.ContainsFunc(localSocketErrors, func(target error) bool { return errors.Is(err, target) })
}

// assign gives a free connection to the attempt that has waited longest and may still begin, or
// makes it idle if there is none. A connection with unexpected input or an end of stream is closed.
func (p *connPool) assign(occurredAt float64, sc *serverConn) {
	s := sc.server
	sc.state = connIdle
	if !sc.noInput() {
		p.discard(sc)
		return
	}
	for a := s.popWaiting(); a != nil; a = s.popWaiting() {
		if p.core.begin(p.loop.now(), a) { // the current time, not the event's: the request is written now
			p.startExchange(sc, a)
			return
		}
	}
	p.addIdle(sc, occurredAt)
	if s.removed {
		p.discard(sc)
	}
	p.dialQueuedServers()
}

// startExchange sends an attempt on a connection, in a new goroutine.
func (p *connPool) startExchange(sc *serverConn, a *attempt) {
	sc.state, sc.attempt, a.serverConn, sc.idleBefore = connBusy, a, sc, 0
	if sc.idleSince > 0 {
		sc.idleBefore = p.core.now - sc.idleSince
	}
	startedMS := sc.server.startedMS
	p.tasks.Go(p.environment, func() { sc.exchange(a, startedMS) })
}

// mayBegin reports whether an attempt that the loop let begin may still be written at time now.
// The exchange's goroutine calls it just before the write: the process may have been descheduled
// since the loop's decision, and the client, the deadline or the server's state may have changed.
func (p *connPool) mayBegin(a *attempt, now float64, startedMS int64) bool {
	return p.serverStates.allows(a.host, startedMS) && !a.call.noNewAttempts.Load() && a.inTime(now)
}

// abandon gives up an attempt and returns how far it had come. One whose write has not started is never
// written; its exchange then returns the connection. Otherwise the connection that carries it is
// closed, which cancels it at the disk server. Idle connections to a server that has been silent
// since the attempt was issued are closed too: the server may have failed without closing them.
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
	if a.withdraw() {
		return progressNotDialled
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

// discard closes a connection and dials for waiting attempts.
func (p *connPool) discard(sc *serverConn) {
	if sc.state == connClosed {
		return
	}
	p.closeConn(sc)
	p.dialForWaiting(sc.server)
	p.dialQueuedServers()
	p.removeIfUnused(sc.server)
}

// closeConn closes a connection and removes it from the pool's counts and lists. While the loop
// runs, pooled connections are closed only here.
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

// sweep closes connections that have been idle for too long, have unexpected input or were closed
// by their servers.
func (p *connPool) sweep(now float64) {
	for _, sc := range p.conns.All() {
		if sc.state == connIdle && (now-sc.idleSince > p.maxIdle || !sc.noInput()) {
			p.discard(sc)
		}
	}
}

// close cancels dials, closes all connections and waits for their goroutines. The loop has ended.
func (p *connPool) close() {
	p.stop()
	for _, sc := range p.conns.All() {
		sc.conn.Close()
	}
	p.tasks.Wait(p.environment)
}

// The methods below handle the events that an exchange's goroutine posts to the loop.

// replyReceived handles a response that has been read and whose quarantine begins.
func (p *connPool) replyReceived(occurredAt float64, sc *serverConn, a *attempt, reusable bool) {
	sc.server.lastActiveAt = occurredAt
	if sc.idleBefore > 0 {
		p.reuse.record(occurredAt, sc.idleBefore, false)
	}
	if reusable && sc.state == connBusy {
		sc.state, sc.attempt = connQuarantined, nil
		sc.server.expectedConns++
	}
	p.core.replyReceived(occurredAt, a)
}

// quarantineEnded forwards a response whose quarantine is over, and frees its connection.
func (p *connPool) quarantineEnded(occurredAt float64, sc *serverConn, a *attempt, r reply, followedBy following) {
	if confirmed := followedBy.confirm(r.result); confirmed != r.result {
		p.log.replyNotConfirmed(a, followedBy)
		r.result = confirmed
	}
	if sc.state == connQuarantined && followedBy == followedByNothing {
		sc.server.expectedConns--
		sc.state = connIdle
		p.assign(occurredAt, sc)
	} else {
		p.discard(sc)
	}
	p.core.receiveReply(occurredAt, a, r)
}

// attemptNotBegun returns a connection whose attempt was refused by mayBegin, and ends the attempt
// as not sent.
func (p *connPool) attemptNotBegun(occurredAt float64, sc *serverConn, a *attempt) {
	if sc.state == connBusy {
		sc.attempt = nil
		sc.conn.SetDeadline(time.Time{})
		previousIdleSince := sc.idleSince
		p.assign(occurredAt, sc)
		if sc.state == connIdle && previousIdleSince > 0 {
			sc.idleSince = previousIdleSince
		}
	}
	p.core.failAttempt(occurredAt, a, policy.NotSent)
}

func (p *connPool) connBroken(occurredAt float64, sc *serverConn, a *attempt, r policy.Result) {
	p.discard(sc)
	if a.outcomeKnown {
		return
	}
	if sc.idleBefore > 0 && occurredAt-a.issuedAt < staleBreakTime {
		p.reuse.record(occurredAt, sc.idleBefore, true)
	}
	p.core.failAttempt(occurredAt, a, r)
}
