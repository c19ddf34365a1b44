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
	// answerLimits: the platform's page speaks of 64 KiB, its disk servers answer with
	// several times that. What all answers hold at once is bounded by the back's budget.
	answerLimits = http1.Limits{MaxHeadBytes: 16 << 10, MaxFields: 64, MaxBodyBytes: mostAnswer}
)

const (
	linkBuffer   = 4 << 10
	mostAnswer   = 1 << 20
	messageBytes = 80 << 10
	writeTimeout = 5 * time.Second
	// restTime is how long a connection is listened to after an answer before it takes
	// another request: what a disk server sends behind its answer, a second copy some
	// milliseconds later even, must not be taken for the answer to the next.
	restTime = 8 * time.Millisecond
	// idlePart of the time after which disk servers close idle connections is how long
	// they are kept here: a request that crosses the close would be lost to a reset.
	idlePart = 0.6
	// What the settings leave out.
	usualDial = time.Second
	usualIdle = 10_000.0 // ms
)

// back keeps connections to disk servers, each for one request at a time. Its methods run
// on the loop's goroutine; what goes on on a connection that has a request is posted there.
type back struct {
	world   env.Environment
	loop    *loop
	core    *core
	dialIn  time.Duration
	keep    float64      // ms that an idle connection is kept
	most    int          // connections that are open or dialled
	bytes   atomic.Int64 // of answers that are held at once
	held    atomic.Int64
	ages    staleness
	notices notices
	log     *eventLog
	conns   int
	servers map[string]*server
	idle    list.List // of free links, the one that has been free for longest first
	starved []*server // that something waits for, and nothing could be dialled
	pausing bool      // a dial failed by this machine's own fault just now
	tasks   env.WaitGroup
	ctx     context.Context
	stop    context.CancelFunc
	all     env.OrderedSet[*link]
}

// server is one disk server's connections.
type server struct {
	host, dial string
	free       []*link // the one last used last
	coming     int     // dialled, or resting after an answer
	waiting    []*attempt
	links      int
	gone       bool
	starved    bool // it is among the back's starved ones
	born       int64
	heardAt    float64 // when it last answered or took a connection
	dialledAt  float64 // when a connection was last dialled
	ownFault   bool    // which failed by this machine's own fault
}

// next takes out the attempt that has waited longest for a connection, nil if none does.
func (s *server) next() *attempt {
	if len(s.waiting) == 0 {
		return nil
	}
	a := s.waiting[0]
	s.waiting = s.waiting[1:]
	return a
}

// linkState is what a connection to a disk server is at, on the loop.
type linkState int

const (
	linkFree    linkState = iota // nothing is owed on it, and nobody reads it
	linkBusy                     // it has an attempt, which its goroutine serves
	linkResting                  // after an answer; its goroutine listens still
	linkClosed
)

// link is one connection. While it is busy or resting a goroutine of its own reads it; else
// nobody does, so what has come on it before a request can be seen just then.
type link struct {
	back   *back
	srv    *server
	conn   net.Conn
	in     *bufio.Reader
	state  linkState
	a      *attempt // while it is busy
	freeAt float64  // 0: it has had no request
	idle   float64  // before the request it has; 0: none
	place  *list.Element
}

func newBack(w env.Environment, l *loop, c *Config, most int) *back {
	b := &back{world: w, loop: l, most: most, servers: map[string]*server{}}
	b.configure(c)
	b.ctx, b.stop = context.WithCancel(context.Background())
	return b
}

// configure takes what the configuration says; what is under way goes on.
func (b *back) configure(c *Config) {
	b.dialIn, b.keep = env.Duration(c.Bounds.DialTimeout), c.Bounds.IdleTimeout*idlePart
	b.bytes.Store(bodyByteLimit(c))
}

// serverListed notes a server's address; at another one, what is open to the old one is left.
func (b *back) serverListed(e ServerEntry) {
	s := b.servers[e.Host]
	if s == nil {
		s = &server{host: e.Host}
		b.servers[e.Host] = s
	}
	s.gone = false
	if s.dial != e.Address || s.born != e.StartedMS { // another process answers there
		s.dial, s.born = e.Address, e.StartedMS
		b.shutFree(s)
	}
}

func (b *back) serverRemoved(host string) {
	if s := b.servers[host]; s != nil {
		s.gone = true
		b.shutFree(s)
		b.forget(s)
	}
}

// forget drops a server that is gone and has nothing open any more.
func (b *back) forget(s *server) {
	if s.gone && s.links == 0 && s.coming == 0 && len(s.waiting) == 0 && !s.starved && b.servers[s.host] == s {
		delete(b.servers, s.host)
	}
}

func (b *back) shutFree(s *server) {
	for _, l := range slices.Clone(s.free) {
		b.shut(l)
	}
}

func (b *back) send(a *attempt) {
	s := b.servers[a.host]
	if s == nil { // of no list: nothing leaves this machine
		b.core.cancel(a)
		return
	}
	if n := len(s.free); n > 0 {
		if idle := b.core.now - s.free[n-1].freeAt; idle > b.keep || b.ages.stale(b.core.now, idle) {
			b.shutFree(s) // the others have been idle for longer still
		}
	}
	s.waiting = append(s.waiting, a)
	for n := len(s.free); n > 0 && len(s.waiting) > 0; n = len(s.free) {
		l := s.free[n-1]
		b.unfree(l)
		b.offer(b.core.now, l)
	}
	b.dialFor(s)
}

// dialFor dials as long as more wait for a connection than are coming. Where this machine
// has none to spare, the server stands in line for the next.
func (b *back) dialFor(s *server) {
	for len(s.waiting) > s.coming {
		if b.pausing || !b.makeRoom() {
			if !s.starved {
				s.starved = true
				b.starved = append(b.starved, s)
			}
			return
		}
		s.coming++
		s.dialledAt = b.core.now
		b.conns++
		addr, within := s.dial, b.dialIn
		b.tasks.Go(b.world, func() { b.dial(s, addr, within) })
	}
}

// feed dials for the servers that stand in line, the first one first.
func (b *back) feed() {
	for len(b.starved) > 0 && !b.pausing && (b.conns < b.most || b.idle.Len() > 0) {
		s := b.starved[0]
		b.starved = b.starved[1:]
		s.starved = false
		b.dialFor(s)
		b.forget(s)
	}
}

// makeRoom tells whether one more connection may be opened; the one that has been idle for
// longest gives way.
func (b *back) makeRoom() bool {
	if b.conns >= b.most && b.idle.Len() > 0 {
		l := b.idle.Front().Value.(*link)
		b.closeLink(l)
		b.forget(l.srv)
	}
	return b.conns < b.most
}

// free makes a link wait for its next request.
func (b *back) free(l *link, since float64) {
	l.state, l.freeAt = linkFree, since
	l.srv.free = append(l.srv.free, l)
	l.place = b.idle.PushBack(l)
}

// unfree takes a link out of those that wait.
func (b *back) unfree(l *link) {
	if l.place == nil {
		return
	}
	b.idle.Remove(l.place)
	l.place = nil
	s := l.srv
	s.free = slices.DeleteFunc(s.free, func(x *link) bool { return x == l })
}

// dialPause is how long nothing is dialled after a dial failed by this machine's own fault:
// what waits keeps waiting, and neither attempts nor processor time are spent on it.
const dialPause = 20 * time.Millisecond

func (b *back) pause() {
	if b.pausing {
		return
	}
	b.pausing = true
	b.tasks.Go(b.world, func() {
		env.Sleep(b.world, dialPause, nil)
		b.loop.post(b.loop.now(), eventDialled, func(float64) {
			b.pausing = false
			b.feed()
		})
	})
}

func (b *back) dial(s *server, addr string, within time.Duration) {
	conn, err := b.world.Dial(b.ctx, "tcp", addr, within)
	if !b.loop.post(b.loop.now(), eventDialled, func(at float64) { b.dialled(at, s, addr, conn, err) }) && err == nil {
		conn.Close()
	}
}

func (b *back) dialled(at float64, s *server, addr string, conn net.Conn, err error) {
	s.coming--
	if err != nil {
		b.conns--
		b.log.dialFailed(s.host, err)
		if s.ownFault = ownFault(err); s.ownFault {
			b.pause()
		} else if len(s.waiting) > s.coming { // else another connection is coming for each that waits
			b.core.lost(at, s.next(), policy.NoConnection)
		}
		b.dialFor(s)
		b.feed()
		b.forget(s)
		return
	}
	s.heardAt, s.ownFault = at, false
	l := &link{back: b, srv: s, conn: conn, in: bufio.NewReaderSize(conn, linkBuffer)}
	s.links++
	b.all.Add(l)
	if s.dial != addr {
		b.shut(l)
		return
	}
	b.offer(at, l)
}

// ownFaults are the errors of socket(2) and connect(2) that tell of this machine's
// shortages and settings, not of the other end.
var ownFaults = []error{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.EADDRNOTAVAIL,
	syscall.EADDRINUSE, syscall.EAGAIN, syscall.EINTR, syscall.ENETDOWN, syscall.ENETUNREACH, syscall.EACCES, syscall.EPERM}

// ownFault tells whether a dial failed by this machine's own fault: that says nothing of the
// disk server, and may be over soon.
func ownFault(err error) bool {
	return slices.ContainsFunc(ownFaults, func(own error) bool { return errors.Is(err, own) })
}

// offer gives a connection that is free to who waited longest for one and may begin still.
func (b *back) offer(at float64, l *link) {
	s := l.srv
	l.state = linkFree
	if !l.quiet() {
		b.shut(l)
		return
	}
	for a := s.next(); a != nil; a = s.next() {
		if b.core.begin(b.loop.now(), a) { // not when its connection came up: bytes leave now
			b.put(l, a)
			return
		}
	}
	b.free(l, at)
	if s.gone {
		b.shut(l)
	}
	b.feed()
}

// put sends a on l.
func (b *back) put(l *link, a *attempt) {
	l.state, l.a, a.link, l.idle = linkBusy, a, l, 0
	if l.freeAt > 0 {
		l.idle = b.core.now - l.freeAt
	}
	born := l.srv.born
	b.tasks.Go(b.world, func() { l.exchange(a, born) })
}

// permits tells whether an attempt that the loop let begin may still begin now, on the
// goroutine that is about to write it: this process may have been held up since.
func (b *back) permits(a *attempt, now float64, born int64) bool {
	return now <= a.by && now < a.until && !a.call.over.Load() && b.notices.admits(a.host, born)
}

// drop lets go of an attempt whose outcome is known; it tells how far it had come. A connection that it is out on is closed, for that gives it up there; so are
// the free ones to a server that was silent all the while, which may be gone without a word.
func (b *back) drop(a *attempt) fate {
	s := b.servers[a.host]
	if a.link == nil {
		if s == nil {
			return fateNotDialled
		}
		s.waiting = slices.DeleteFunc(s.waiting, func(x *attempt) bool { return x == a })
		b.forget(s)
		if s.coming == 0 && (s.dialledAt < a.sentAt || s.ownFault) {
			return fateNotDialled
		}
		return fateNotConnected
	}
	l := a.link
	if l.a == a {
		b.shut(l)
	}
	if s = l.srv; s.heardAt < a.sentAt {
		b.shutFree(s)
	}
	return fateSent
}

// shut closes a connection, and dials for who waits.
func (b *back) shut(l *link) {
	if l.state == linkClosed {
		return
	}
	b.closeLink(l)
	b.dialFor(l.srv)
	b.feed()
	b.forget(l.srv)
}

// closeLink closes a connection and takes it out of the books. While the loop runs nothing
// else closes it.
func (b *back) closeLink(l *link) {
	s := l.srv
	if l.state == linkResting {
		s.coming--
	}
	l.state, l.a = linkClosed, nil
	l.conn.Close()
	s.links--
	b.conns--
	b.all.Remove(l)
	b.unfree(l)
}

// sweep closes connections that have been idle for too long, or that their servers closed.
func (b *back) sweep(now float64) {
	for _, l := range b.all.All() {
		if l.state == linkFree && (now-l.freeAt > b.keep || !l.quiet()) {
			b.shut(l)
		}
	}
}

// close ends what is left; the loop runs no more.
func (b *back) close() {
	b.stop()
	for _, l := range b.all.All() {
		l.conn.Close()
	}
	b.tasks.Wait(b.world)
}

// What a connection's goroutine posts.

func (b *back) answered(at float64, l *link, a *attempt, r reply, clean bool) {
	l.srv.heardAt = at
	if l.idle > 0 {
		b.ages.saw(at, l.idle, false)
	}
	if clean && l.state == linkBusy {
		l.state, l.a = linkResting, nil
		l.srv.coming++
	} else {
		b.shut(l)
	}
	b.core.replied(at, a, r)
}

func (b *back) rested(at float64, l *link, quiet bool) {
	switch {
	case l.state != linkResting:
	case !quiet:
		b.shut(l)
	default:
		l.srv.coming--
		l.state = linkFree
		b.offer(at, l)
	}
}

// withheld takes back a link whose attempt did not begin after all.
func (b *back) withheld(at float64, l *link, a *attempt) {
	if l.state == linkBusy {
		l.a = nil
		l.conn.SetDeadline(time.Time{})
		since := l.freeAt
		b.offer(at, l)
		if l.state == linkFree && since > 0 {
			l.freeAt = since
		}
	}
	b.core.lost(at, a, policy.NotSent)
}

func (b *back) broke(at float64, l *link, a *attempt, r policy.Result) {
	b.shut(l)
	if a.over {
		return
	}
	if l.idle > 0 && at-a.sentAt < brokeSoon {
		b.ages.saw(at, l.idle, true)
	}
	b.core.lost(at, a, r)
}
