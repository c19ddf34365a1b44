package scheduler

import (
	"bufio"
	"math"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"merlinhitch/internal/runtime/env"
	"merlinhitch/internal/runtime/writequeue"
)

const (
	// firstByteTimeout is how long a client may say nothing after it has connected, and newTime how
	// long its first request may take from then: who opens connections by hundreds and says
	// nothing, or never ends its head, is turned away within the platform's 3 s. Who had an
	// answer may write slowly: slowTime from a request's first byte to its last.
	firstByteTimeout    = time.Second
	firstRequestTimeout = 2700 * time.Millisecond
	requestReadTimeout  = 4 * time.Second
	// keepAliveTimeout is how long a connection without a request is kept, and idleTime where many
	// are open: clients that ask once and stay would else hold all the descriptors there are.
	keepAliveTimeout        = 20 * time.Second
	reducedKeepAliveTimeout = 2200 * time.Millisecond
	// At the bound of connections those give way that have said nothing for evictNewAfterMS or
	// have had no request for spareTime; until there is one, nothing new is accepted.
	evictNewAfterMS       = 100.0 // ms
	evictIdleAfterMS      = 500.0 // ms
	acceptRetryInterval   = 5 * time.Millisecond
	maxQueuedAcceptWaitMS = 1.0 // ms that an accept waits where no connection was there already
	clientWriteLimit      = maxResponseBytes + maxHTTPMessageBytes
	clientWriteTimeout    = 3 * time.Second
	// lingerTimeout is how long a connection that was just answered on stays open once nothing
	// more is sent on it (RFC 9112, section 9.6), or until its client ends its side too:
	// what lies there unread turns a close into a reset, which overtakes the answer.
	lingerTimeout = 200 * time.Millisecond
)

// frontend is the listener and the clients' connections.
type frontend struct {
	environment       env.Environment
	loop              *loop
	core              *core
	log               *eventLog
	parser            atomic.Pointer[requestParser]
	maxClients        int // connections that stay,
	maxClosing        int // and that are ending beside them
	byteLimit         atomic.Int64
	requestBytes      atomic.Int64    // of requests, of which there may be so many bytes
	answerBytes       atomic.Int64    // of answers on their way out, likewise
	readAhead         readAheadBudget // of what clients send ahead of their answers
	ready             env.Gate        // discovery has spoken, or was waited for
	drainDeadlineBits atomic.Uint64   // bits of the time by which all must be answered; 0: none
	stopAccepting     env.Gate        // nothing more is accepted
	ended             env.Gate        // nothing is waited for any more
	tasks             env.WaitGroup
	listener          net.Listener

	listenedAt float64 // when it began to listen at the earliest

	mu        sync.Mutex
	clients   env.OrderedSet[*client]
	finishing bool // each answer ends its connection, and there are no idle ones
}

// clientState is what a client's connection is at, under the front's lock.
type clientState int

const (
	clientNew     clientState = iota // it has said nothing
	clientIdle                       // it has had its answer
	clientActive                     // a request is being read or is open
	clientClosing                    // it was told to end while it was idle
)

// client is one connection. Its goroutine reads it, and alone closes it; its write queue writes.
type client struct {
	frontend  *frontend
	conn      net.Conn
	readAhead *readAhead
	in        *bufio.Reader
	out       *writequeue.Queue
	// Under the front's lock.
	state        clientState
	stateSince   float64 // when it came to that state, ms
	lastAnswerAt float64 // when it last was answered

	answers int // that were written, under the front's lock

	// Its goroutine's own.
	reason        closeReason
	requests      int    // that were read whole
	lastRequestID string // of the last of them
}

// responder is a call's answer on its way to the client.
type responder struct {
	client     *client
	closeAfter bool // the client's wish
	done       env.Gate

	duplicate bool // its id was used before
}

// accept takes connections. Those that lay in the listener's queue while this process was
// still starting may have come at any time since it listened, and count from then.
func (f *frontend) accept() {
	fromBacklog := true
	for {
		for !f.hasCapacity() {
			if !env.Sleep(f.environment, acceptRetryInterval, &f.stopAccepting) {
				return
			}
		}
		waitStart := f.loop.now()
		conn, err := f.listener.Accept()
		fromBacklog = fromBacklog && f.loop.now()-waitStart < maxQueuedAcceptWaitMS
		if err != nil { // where there are no descriptors left, there may be again
			f.log.acceptFailed(err)
			if f.stopAccepting.Opened() || !env.Sleep(f.environment, acceptRetryInterval, &f.stopAccepting) {
				return
			}
			continue
		}
		arrivedAt := f.arrivalTime(conn)
		if fromBacklog {
			arrivedAt = min(arrivedAt, f.listenedAt)
		}
		f.tasks.Go(f.environment, f.newClient(conn, arrivedAt).serve)
	}
}

// maxListenQueueMS bounds how long a connection is taken to have lain in the listener's queue, ms.
const maxListenQueueMS = 60_000.0

// arrivalTime is when the first bytes came on a connection that was just accepted, as far as the
// kernel tells: it may have lain in the listener's queue, behind others.
func (f *frontend) arrivalTime(conn net.Conn) float64 {
	elapsed, known := env.SinceLastReceive(conn)
	if !known || env.MS(elapsed) > maxListenQueueMS {
		return f.loop.now()
	}
	return f.loop.now() - env.MS(elapsed)
}

// newClient takes a connection that may have come as early as that.
func (f *frontend) newClient(conn net.Conn, earliestArrival float64) *client {
	c := &client{frontend: f, conn: conn, readAhead: &readAhead{conn: conn, now: f.loop.now, budget: &f.readAhead, arrivedAt: earliestArrival}, stateSince: f.loop.now()}
	c.in = bufio.NewReaderSize(c.readAhead, readBufferBytes)
	c.out = writequeue.New(f.environment, conn, clientWriteLimit, clientWriteTimeout)
	c.out.HalfClose = true
	c.out.OnBytesChanged = func(delta int) { f.answerBytes.Add(int64(delta)) }
	f.mu.Lock()
	defer f.mu.Unlock()
	f.clients.Add(c)
	if conn.SetReadDeadline(f.environment.Deadline(firstByteTimeout)); f.finishing {
		c.beginClose(c.stateSince)
	}
	return c
}

// hasCapacity tells whether one more connection may be accepted. At the bound the one that can
// be spared best is told to end; while many are ending still, nothing is accepted.
func (f *frontend) hasCapacity() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.clients.Len() < f.maxClients {
		return true
	}
	now := f.loop.now()
	open := 0
	var victim *client
	for _, c := range f.clients.All() {
		if c.state == clientClosing {
			continue
		}
		open++
		if c.evictable(now) && (victim == nil || c.evictedBefore(victim)) {
			victim = c
		}
	}
	if open >= f.maxClients && victim != nil {
		victim.beginClose(now)
		open--
	}
	return open < f.maxClients && f.clients.Len() < f.maxClients+f.maxClosing
}

// evictable tells whether a connection may be ended for another's sake.
func (c *client) evictable(now float64) bool {
	return c.state == clientNew && now-c.stateSince > evictNewAfterMS || c.state == clientIdle && now-c.stateSince > evictIdleAfterMS
}

func (c *client) evictedBefore(other *client) bool {
	if c.state != other.state {
		return c.state == clientNew
	}
	return c.stateSince < other.stateSince
}

// beginClose has an idle connection closed, but for a request that has come already: its goroutine
// looks for one. The front's lock is held.
func (c *client) beginClose(now float64) {
	c.state, c.stateSince = clientClosing, now
	c.conn.SetReadDeadline(c.frontend.environment.Deadline(0))
}

// beginRequest takes a request's first byte.
func (c *client) beginRequest() {
	f := c.frontend
	f.mu.Lock()
	defer f.mu.Unlock()
	timeout := requestReadTimeout
	if c.lastAnswerAt == 0 {
		timeout = firstRequestTimeout - env.Duration(f.loop.now()-c.stateSince)
	}
	c.state, c.stateSince = clientActive, f.loop.now()
	c.conn.SetReadDeadline(f.environment.Deadline(timeout))
}

// becomeIdle makes an answered connection idle; false where it ends. Then nothing is read on it
// any more: what a client sends now is unread, and so the client's to send elsewhere. Either
// way its goroutine stops waiting for bytes: the next request may have come long ago.
func (c *client) becomeIdle(closeConn bool) bool {
	f := c.frontend
	f.mu.Lock()
	defer f.mu.Unlock()
	c.lastAnswerAt = f.loop.now()
	c.answers++
	c.conn.SetReadDeadline(f.environment.Deadline(0))
	if closeConn || f.finishing {
		return false
	}
	c.state, c.stateSince = clientIdle, c.lastAnswerAt
	return true
}

// setIdleDeadline lets an idle connection wait for its next request, unless it was told to end.
func (c *client) setIdleDeadline() {
	f := c.frontend
	f.mu.Lock()
	defer f.mu.Unlock()
	if c.state == clientIdle {
		c.conn.SetReadDeadline(f.idleDeadline())
	}
}

// clientCount is how many connections clients have, one at least for each call without an answer.
func (f *frontend) clientCount() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.clients.Len()
}

// forEachIdle does something to the connections without a request. The lock is held.
func (f *frontend) forEachIdle(visit func(c *client)) {
	for _, c := range f.clients.All() {
		if c.state == clientNew || c.state == clientIdle {
			visit(c)
		}
	}
}

// trimIdle ends what has been idle for long while more than half of the connections that there
// may be are open.
func (f *frontend) trimIdle() {
	f.mu.Lock()
	defer f.mu.Unlock()
	excess := f.clients.Len() - f.maxClients/2
	if excess <= 0 || f.drainDeadline() > 0 {
		return
	}
	now := f.loop.now()
	f.forEachIdle(func(c *client) {
		if excess > 0 && now-c.stateSince > env.MS(reducedKeepAliveTimeout) {
			c.beginClose(now)
			excess--
		}
	})
}

// drainDeadline is the time by which all must be answered, 0 while the scheduler stays.
func (f *frontend) drainDeadline() float64 { return math.Float64frombits(f.drainDeadlineBits.Load()) }

// beginDrain has all answered by that time, and keeps until then the connections that clients
// have: they can't open others here.
func (f *frontend) beginDrain(deadline float64) {
	f.drainDeadlineBits.Store(math.Float64bits(deadline))
	f.mu.Lock()
	defer f.mu.Unlock()
	f.forEachIdle(func(c *client) {
		if c.state == clientIdle {
			c.conn.SetReadDeadline(f.idleDeadline())
		}
	})
}

// finish has each answer from now on end its connection, and ends the idle ones.
func (f *frontend) finish() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.finishing = true
	now := f.loop.now()
	f.forEachIdle(func(c *client) { c.beginClose(now) })
}

func (f *frontend) isFinishing() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.finishing
}

// idleDeadline is when a connection that is idle from now on is closed.
func (f *frontend) idleDeadline() time.Time {
	timeout := keepAliveTimeout
	if deadline := f.drainDeadline(); deadline > 0 {
		timeout = max(timeout, env.Duration(deadline-f.loop.now()))
	}
	return f.environment.Deadline(timeout)
}

// close ends the listener and all connections at once; what was said is still written.
func (f *frontend) close() {
	f.stopAccepting.Open()
	f.listener.Close()
	f.finish()
	f.mu.Lock()
	open := f.clients.All()
	f.mu.Unlock()
	for _, c := range open {
		c.out.Finish()
	}
	for _, c := range open {
		c.out.Wait()
		c.conn.Close()
	}
	f.ended.Open()
	f.tasks.Wait(f.environment)
}
