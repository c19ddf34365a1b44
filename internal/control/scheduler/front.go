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
	// firstTime is how long a client may say nothing after it has connected, and newTime how
	// long its first request may take from then: who opens connections by hundreds and says
	// nothing, or never ends its head, is turned away within the platform's 3 s. Who had an
	// answer may write slowly: slowTime from a request's first byte to its last.
	firstTime = time.Second
	newTime   = 2700 * time.Millisecond
	slowTime  = 4 * time.Second
	// keepTime is how long a connection without a request is kept, and idleTime where many
	// are open: clients that ask once and stay would else hold all the descriptors there are.
	keepTime = 20 * time.Second
	idleTime = 2200 * time.Millisecond
	// At the bound of connections those give way that have said nothing for freshTime or
	// have had no request for spareTime; until there is one, nothing new is accepted.
	freshTime   = 100.0 // ms
	spareTime   = 500.0 // ms
	acceptPause = 5 * time.Millisecond
	queueEmpty  = 1.0 // ms that an accept waits where no connection was there already
	clientOut   = mostAnswer + messageBytes
	outTimeout  = 3 * time.Second
	// lingerTime is how long a connection that was just answered on stays open once nothing
	// more is sent on it (RFC 9112, section 9.6), or until its client ends its side too:
	// what lies there unread turns a close into a reset, which overtakes the answer.
	lingerTime = 200 * time.Millisecond
)

// front is the listener and the clients' connections.
type front struct {
	world    env.Environment
	loop     *loop
	core     *core
	log      *eventLog
	check    atomic.Pointer[checker]
	most     int // connections that stay,
	ending   int // and that are ending beside them
	bytes    atomic.Int64
	held     atomic.Int64  // of requests, of which there may be so many bytes
	queued   atomic.Int64  // of answers on their way out, likewise
	ahead    aheadBudget   // of what clients send ahead of their answers
	ready    env.Gate      // discovery has spoken, or was waited for
	answerBy atomic.Uint64 // bits of the time by which all must be answered; 0: none
	stop     env.Gate      // nothing more is accepted
	ended    env.Gate      // nothing is waited for any more
	tasks    env.Group
	listener net.Listener

	listenedAt float64 // when it began to listen at the earliest

	mu      sync.Mutex
	clients env.Roster[*client]
	closing bool // each answer ends its connection, and there are no idle ones
}

// clientState is what a client's connection is at, under the front's lock.
type clientState int

const (
	clientNew    clientState = iota // it has said nothing
	clientIdle                      // it has had its answer
	clientActive                    // a request is being read or is open
	clientEnding                    // it was told to end while it was idle
)

// client is one connection. Its goroutine reads it, and alone closes it; its write queue writes.
type client struct {
	front *front
	conn  net.Conn
	ahead *ahead
	in    *bufio.Reader
	out   *writequeue.Queue
	// Under the front's lock.
	state clientState
	since float64 // when it came to that state, ms
	spoke float64 // when it last was answered

	answers int // that were written, under the front's lock

	// Its goroutine's own.
	reason   closeReason
	requests int    // that were read whole
	lastID   string // of the last of them
}

// asking is a call's answer on its way to the client.
type asking struct {
	client *client
	close  bool // the client's wish
	done   env.Gate

	duplicate bool // its id was used before
}

// accept takes connections. Those that lay in the listener's queue while this process was
// still starting may have come at any time since it listened, and count from then.
func (f *front) accept() {
	starting := true
	for {
		for !f.hasCapacity() {
			if !env.Wait(f.world, acceptPause, &f.stop) {
				return
			}
		}
		from := f.loop.now()
		conn, err := f.listener.Accept()
		starting = starting && f.loop.now()-from < queueEmpty
		if err != nil { // where there are no descriptors left, there may be again
			f.log.acceptFailed(err)
			if f.stop.Opened() || !env.Wait(f.world, acceptPause, &f.stop) {
				return
			}
			continue
		}
		came := f.cameAt(conn)
		if starting {
			came = min(came, f.listenedAt)
		}
		f.tasks.Go(f.world, f.client(conn, came).serve)
	}
}

// mostQueued bounds how long a connection is taken to have lain in the listener's queue, ms.
const mostQueued = 60_000.0

// cameAt is when the first bytes came on a connection that was just accepted, as far as the
// kernel tells: it may have lain in the listener's queue, behind others.
func (f *front) cameAt(conn net.Conn) float64 {
	since, known := env.SinceData(conn)
	if !known || env.MS(since) > mostQueued {
		return f.loop.now()
	}
	return f.loop.now() - env.MS(since)
}

// client takes a connection that may have come as early as that.
func (f *front) client(conn net.Conn, came float64) *client {
	c := &client{front: f, conn: conn, ahead: &ahead{conn: conn, now: f.loop.now, held: &f.ahead, from: came}, since: f.loop.now()}
	c.in = bufio.NewReaderSize(c.ahead, linkBuffer)
	c.out = writequeue.New(f.world, conn, clientOut, outTimeout)
	c.out.HalfClose = true
	c.out.Gauge = func(delta int) { f.queued.Add(int64(delta)) }
	f.mu.Lock()
	defer f.mu.Unlock()
	f.clients.Add(c)
	if conn.SetReadDeadline(f.world.Deadline(firstTime)); f.closing {
		c.end(c.since)
	}
	return c
}

// hasCapacity tells whether one more connection may be accepted. At the bound the one that can
// be spared best is told to end; while many are ending still, nothing is accepted.
func (f *front) hasCapacity() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.clients.Len() < f.most {
		return true
	}
	now := f.loop.now()
	staying := 0
	var pick *client
	for _, c := range f.clients.All() {
		if c.state == clientEnding {
			continue
		}
		staying++
		if c.spare(now) && (pick == nil || c.sparedBefore(pick)) {
			pick = c
		}
	}
	if staying >= f.most && pick != nil {
		pick.end(now)
		staying--
	}
	return staying < f.most && f.clients.Len() < f.most+f.ending
}

// spare tells whether a connection may be ended for another's sake.
func (c *client) spare(now float64) bool {
	return c.state == clientNew && now-c.since > freshTime || c.state == clientIdle && now-c.since > spareTime
}

func (c *client) sparedBefore(other *client) bool {
	if c.state != other.state {
		return c.state == clientNew
	}
	return c.since < other.since
}

// end has an idle connection closed, but for a request that has come already: its goroutine
// looks for one. The front's lock is held.
func (c *client) end(now float64) {
	c.state, c.since = clientEnding, now
	c.conn.SetReadDeadline(c.front.world.Deadline(0))
}

// active takes a request's first byte.
func (c *client) active() {
	f := c.front
	f.mu.Lock()
	defer f.mu.Unlock()
	within := slowTime
	if c.spoke == 0 {
		within = newTime - env.Duration(f.loop.now()-c.since)
	}
	c.state, c.since = clientActive, f.loop.now()
	c.conn.SetReadDeadline(f.world.Deadline(within))
}

// rest makes an answered connection idle; false where it ends. Then nothing is read on it
// any more: what a client sends now is unread, and so the client's to send elsewhere. Either
// way its goroutine stops waiting for bytes: the next request may have come long ago.
func (c *client) rest(last bool) bool {
	f := c.front
	f.mu.Lock()
	defer f.mu.Unlock()
	c.spoke = f.loop.now()
	c.answers++
	c.conn.SetReadDeadline(f.world.Deadline(0))
	if last || f.closing {
		return false
	}
	c.state, c.since = clientIdle, c.spoke
	return true
}

// await lets an idle connection wait for its next request, unless it was told to end.
func (c *client) await() {
	f := c.front
	f.mu.Lock()
	defer f.mu.Unlock()
	if c.state == clientIdle {
		c.conn.SetReadDeadline(f.idleUntil())
	}
}

// open is how many connections clients have, one at least for each call without an answer.
func (f *front) open() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.clients.Len()
}

// eachIdle does something to the connections without a request. The lock is held.
func (f *front) eachIdle(do func(c *client)) {
	for _, c := range f.clients.All() {
		if c.state == clientNew || c.state == clientIdle {
			do(c)
		}
	}
}

// trim ends what has been idle for long while more than half of the connections that there
// may be are open.
func (f *front) trim() {
	f.mu.Lock()
	defer f.mu.Unlock()
	over := f.clients.Len() - f.most/2
	if over <= 0 || f.leaving() > 0 {
		return
	}
	now := f.loop.now()
	f.eachIdle(func(c *client) {
		if over > 0 && now-c.since > env.MS(idleTime) {
			c.end(now)
			over--
		}
	})
}

// leaving is the time by which all must be answered, 0 while the scheduler stays.
func (f *front) leaving() float64 { return math.Float64frombits(f.answerBy.Load()) }

// leave has all answered by that time, and keeps until then the connections that clients
// have: they can't open others here.
func (f *front) leave(by float64) {
	f.answerBy.Store(math.Float64bits(by))
	f.mu.Lock()
	defer f.mu.Unlock()
	f.eachIdle(func(c *client) {
		if c.state == clientIdle {
			c.conn.SetReadDeadline(f.idleUntil())
		}
	})
}

// finish has each answer from now on end its connection, and ends the idle ones.
func (f *front) finish() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.closing = true
	now := f.loop.now()
	f.eachIdle(func(c *client) { c.end(now) })
}

func (f *front) finishing() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.closing
}

// idleUntil is when a connection that is idle from now on is closed.
func (f *front) idleUntil() time.Time {
	d := keepTime
	if by := f.leaving(); by > 0 {
		d = max(d, env.Duration(by-f.loop.now()))
	}
	return f.world.Deadline(d)
}

// close ends the listener and all connections at once; what was said is still written.
func (f *front) close() {
	f.stop.Open()
	f.listener.Close()
	f.finish()
	f.mu.Lock()
	all := f.clients.All()
	f.mu.Unlock()
	for _, c := range all {
		c.out.Finish()
	}
	for _, c := range all {
		c.out.Wait()
		c.conn.Close()
	}
	f.ended.Open()
	f.tasks.Wait(f.world)
}
