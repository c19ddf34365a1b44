package scheduler

import (
	"bufio"
	"math"
	"net"
	"sync/atomic"
	"time"

	"merlinhitch/internal/protocol/http1"
	"merlinhitch/internal/runtime/env"
	"merlinhitch/internal/runtime/locks"
	"merlinhitch/internal/runtime/writequeue"
)

const (
	// firstByteTimeout bounds the time from a connection's accept to its first byte, and
	// firstRequestTimeout the time to the end of its first request: clients that open many
	// connections and send nothing, or never end a head, are rejected within the platform's
	// limit of 3 s. Later requests may take requestReadTimeout from first byte to last.
	firstByteTimeout    = time.Second
	firstRequestTimeout = 2700 * time.Millisecond
	requestReadTimeout  = 4 * time.Second
	// keepAliveTimeout bounds how long an idle connection is kept, and reducedKeepAliveTimeout
	// the same while more than half of the connections are in use, so that idle clients do not
	// hold all file descriptors.
	keepAliveTimeout        = 20 * time.Second
	reducedKeepAliveTimeout = 2200 * time.Millisecond
	acceptRetryInterval     = 5 * time.Millisecond
	maxQueuedAcceptWaitMS   = 1.0                                    // an accept that returns sooner took a connection that was already queued
	clientWriteLimit        = maxResponseBytes + maxHTTPMessageBytes // bytes queued for one client
	clientWriteTimeout      = 3 * time.Second
	clientReadBuffer        = 2 << 10
	idleWriteBuffer         = 512 // bytes that an idle connection keeps for its next answer
	// lingerTimeout bounds how long a connection stays half-closed after its last answer, until
	// the client closes its side (RFC 9112, section 9.6): closing it with unread data would send
	// a reset, which can overtake the answer.
	lingerTimeout = 200 * time.Millisecond
)

// frontend owns the listener and the connections of clients.
type frontend struct {
	environment       env.Environment
	loop              *loop
	core              *core
	log               *eventLog
	parser            atomic.Pointer[requestParser]
	memory            *memoryAccount
	ready             env.Gate      // opened by the first message of discovery or after readyTimeout
	drainDeadlineBits atomic.Uint64 // float64 bits of the time by which all requests must be answered; 0: none
	stopAccepting     env.Gate      // opened when no more connections are accepted
	ended             env.Gate      // opened at the end: clients' goroutines stop waiting
	tasks             env.WaitGroup
	listener          net.Listener

	listenedAt float64 // time just before the listener was opened, ms

	mu         locks.Mutex
	clients    env.OrderedSet[*client]
	maxClients int     // limit of open connections that are not closing
	maxClosing int     // limit of closing connections beyond maxClients
	recycledAt float64 // when a busy connection was last made to end for others, ms
	finishing  bool    // a connection ends once all that was read from it is answered; idle ones are closed
}

// clientState is the state of a client's connection, guarded by the frontend's mutex.
type clientState int

const (
	clientNew       clientState = iota // no request yet
	clientIdle                         // answered, no further request yet
	clientReading                      // a request is being read
	clientActive                       // a request is open
	clientLingering                    // all is answered and written, and the client has not closed its side
	clientClosing                      // being closed while it had no whole request
)

// client is a connection of a client. Its goroutine reads from it and closes it; the write queue
// writes to it.
type client struct {
	frontend  *frontend
	conn      net.Conn
	readAhead *readAhead
	in        *bufio.Reader
	pipelined pipelinedRequests
	reads     readProgress // tells attempts that the goroutine has read
	out       *writequeue.Queue
	// Guarded by the frontend's mutex.
	state        clientState
	stateSince   float64 // time of the last change of state, ms
	lastAnswerAt float64 // time of the last answer, ms; 0: none

	answers int // number of answers, guarded by the frontend's mutex

	recycled  atomic.Bool // it ends once all that was read from it is answered, to make room for others
	lingerCut env.Gate    // opened when it may not linger any more

	// Used by its goroutine only.
	reason        closeReason
	requests      int    // number of requests read completely
	lastRequestID string // id of the last request that was submitted
}

// responder writes the answer of a call to its client.
type responder struct {
	client     *client
	closeAfter bool // the answer is the connection's last
	done       env.Gate

	duplicate bool    // the request's id was already used
	deferred  *answer // to be sent by the client's goroutine; set before done opens
}

// answer is the status, the fields and the body of an answer to a client.
type answer struct {
	status int
	fields http1.Fields
	body   []byte
}

// accept serves new connections. Those queued by the listener while the process was starting may
// have arrived at any time since listenedAt, so their arrival counts from then.
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
		if err != nil { // may be temporary, such as a lack of file descriptors
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
		env.Yield()
	}
}

// maxListenQueueMS is the longest plausible time, ms, of a connection in the listener's queue, or
// of bytes in a socket.
const maxListenQueueMS = 60_000.0

// arrivalTime returns the earliest time at which data may have arrived on a connection that was just
// accepted, when it was opened, ms: it may have waited in the listener's queue. It is the present
// where that is unknown or implausibly long ago.
func (f *frontend) arrivalTime(conn net.Conn) float64 {
	elapsed, known := env.SinceEstablished(conn)
	if !known || env.MS(elapsed) > maxListenQueueMS {
		return f.loop.now()
	}
	return f.loop.now() - env.MS(elapsed)
}

// newClient registers a connection. earliestArrival is the time, ms, since when its first bytes may
// have been waiting.
func (f *frontend) newClient(conn net.Conn, earliestArrival float64) *client {
	c := &client{frontend: f, conn: conn, readAhead: &readAhead{conn: conn, now: f.loop.now, buffer: streamBuffer{budget: &f.memory.readAhead}, arrivedAt: earliestArrival}, stateSince: f.loop.now()}
	c.in = bufio.NewReaderSize(c.readAhead, clientReadBuffer)
	c.pipelined = pipelinedRequests{readAhead: c.readAhead, in: c.in}
	c.out = writequeue.New(f.environment, conn, clientWriteLimit, clientWriteTimeout)
	c.out.HalfClose = true
	c.out.OnBytesChanged = f.memory.answers.add
	c.out.IdleBufferLimit = idleWriteBuffer
	f.mu.Lock()
	defer f.mu.Unlock()
	f.clients.Add(c)
	if conn.SetReadDeadline(f.environment.Deadline(firstByteTimeout)); f.finishing {
		c.beginClose(c.stateSince)
	}
	return c
}

// setMaxClients sets the limits of connections. Connections beyond them stay open.
func (f *frontend) setMaxClients(maxClients, maxClosing int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.maxClients, f.maxClosing = maxClients, maxClosing
}

// beginClose makes the goroutine of a connection without a whole request close it, unless one has
// already arrived. The frontend's mutex is held.
func (c *client) beginClose(now float64) {
	c.state, c.stateSince = clientClosing, now
	c.conn.SetReadDeadline(c.frontend.environment.Deadline(0))
}

// beginRequest marks that a request is being read, and sets the read deadline for it.
func (c *client) beginRequest() {
	f := c.frontend
	f.mu.Lock()
	defer f.mu.Unlock()
	timeout := requestReadTimeout
	if c.lastAnswerAt == 0 {
		timeout = firstRequestTimeout - env.Duration(f.loop.now()-c.stateSince)
	}
	c.state, c.stateSince = clientReading, f.loop.now()
	c.conn.SetReadDeadline(f.environment.Deadline(timeout))
}

// setState sets the connection's state.
func (c *client) setState(state clientState) {
	f := c.frontend
	f.mu.Lock()
	defer f.mu.Unlock()
	c.state, c.stateSince = state, f.loop.now()
}

// becomeIdle records an answer and makes the connection idle. If closeConn, it returns false and the
// connection ends instead; nothing more is read from it then, so the client may safely send later requests
// elsewhere. In both cases an expired read deadline stops the goroutine's wait in readMore, since
// the next request may already have been read ahead.
func (c *client) becomeIdle(closeConn bool) bool {
	f := c.frontend
	f.mu.Lock()
	defer f.mu.Unlock()
	c.lastAnswerAt = f.loop.now()
	c.answers++
	c.interruptRead()
	if closeConn {
		return false
	}
	c.state, c.stateSince = clientIdle, c.lastAnswerAt
	return true
}

// interruptRead ends the client's goroutine's wait for data. What has arrived can still be read.
func (c *client) interruptRead() { c.conn.SetReadDeadline(c.frontend.environment.Deadline(0)) }

// setIdleDeadline sets the read deadline of an idle connection, unless it is closing or a stop closes
// all that become idle.
func (c *client) setIdleDeadline() {
	f := c.frontend
	f.mu.Lock()
	defer f.mu.Unlock()
	if c.state == clientIdle && !f.finishing {
		c.conn.SetReadDeadline(f.idleDeadline())
	}
}

// clientCount returns the number of client connections, at least one for each unanswered call.
func (f *frontend) clientCount() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.clients.Len()
}

// forEachIdle calls visit for each connection without a request. The mutex is held.
func (f *frontend) forEachIdle(visit func(c *client)) {
	for _, c := range f.clients.All() {
		if c.state == clientNew || c.state == clientIdle {
			visit(c)
		}
	}
}

// trimIdle closes connections that have been idle for reducedKeepAliveTimeout, as long as more than
// half of maxClients are open. It does nothing during a drain.
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

// drainDeadline returns the time by which all requests must be answered, ms; 0 without a drain.
func (f *frontend) drainDeadline() float64 { return math.Float64frombits(f.drainDeadlineBits.Load()) }

// beginDrain sets the time by which all requests must be answered. Idle connections are kept until
// then, since clients cannot open new ones here.
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

// finish closes idle connections. From now on a connection ends with the answer to the last request
// that has been read from it.
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

// idleDeadline returns when a connection that becomes idle now is closed.
func (f *frontend) idleDeadline() time.Time {
	timeout := keepAliveTimeout
	if deadline := f.drainDeadline(); deadline > 0 {
		timeout = max(timeout, env.Duration(deadline-f.loop.now()))
	}
	return f.environment.Deadline(timeout)
}

// closeFlushTimeout bounds the time for which close writes what is queued for all clients: one that does
// not read must not delay the end of the process.
const closeFlushTimeout = 50 * time.Millisecond

// close closes the listener and all connections; answers that are queued are still written, for up to
// closeFlushTimeout.
func (f *frontend) close() {
	f.stopAccepting.Open()
	f.listener.Close()
	f.finish()
	f.mu.Lock()
	open := f.clients.All()
	f.mu.Unlock()
	for _, c := range open {
		c.out.Finish()
		c.lingerCut.Open()
	}
	flushedBy := f.environment.Now() + closeFlushTimeout
	for _, c := range open {
		if !c.out.WaitFor(flushedBy - f.environment.Now()) {
			c.out.Abort()
		}
		c.conn.Close()
	}
	f.ended.Open()
	f.tasks.Wait(f.environment)
}
