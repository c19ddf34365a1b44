package scheduler

import (
	"bufio"
	"context"
	"net"
	"slices"
	"strconv"
	"sync/atomic"
	"time"

	"merlinhitch/http1"
	"merlinhitch/outbox"
	"merlinhitch/policy"
	"merlinhitch/seam"
)

var (
	messageLimits = http1.Limits{Head: 16 << 10, Fields: 64, Body: 64 << 10}
	// answerLimits: the platform's page speaks of 64 KiB, its disk servers answer with
	// several times that. What all answers hold at once is bounded by the back's budget.
	answerLimits = http1.Limits{Head: 16 << 10, Fields: 64, Body: mostAnswer}
)

const (
	linkBuffer   = 4 << 10
	mostAnswer   = 1 << 20
	linkOut      = messageBytes + 4<<10 // one message, and it is alone on its connection
	messageBytes = 80 << 10
	linkTimeout  = 5 * time.Second
	// restTime is how long a connection is listened to after an answer before it takes
	// another request: what a disk server sends behind its answer must not be taken for
	// the answer to the next.
	restTime = time.Millisecond
	// idlePart of the time after which disk servers close idle connections is how long
	// they are kept here: a request that crosses the close would be lost to a reset.
	idlePart = 0.6
	// drainPart of the grace of drains is how long what waits for a connection may still go.
	drainPart = 0.5
)

// back keeps connections to disk servers, each for one request at a time. Its methods run
// on the loop's goroutine; what connections' own goroutines find is posted there.
type back struct {
	world   seam.World
	loop    *loop
	core    *core
	dialIn  time.Duration
	idle    float64 // ms that an idle connection is kept
	drain   float64 // ms after which what waited goes no more to a server that is leaving
	most    int     // connections that are open or dialled
	bytes   int64   // of answers that are held at once
	held    atomic.Int64
	wear    wear
	conns   int
	servers map[string]*server
	tasks   seam.Group
	ctx     context.Context
	stop    context.CancelFunc
	all     seam.Roster[*link]
}

// server is one disk server's connections.
type server struct {
	host, dial string
	free       []*link // the one last used last
	coming     int     // dialled, or resting after an answer
	waiting    []*attempt
	links      int
	gone       bool
	born       int64
	barredAt   float64 // when this scheduler was told that nothing new may go there; 0: it may
	heardAt    float64 // when it last answered or took a connection
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

// link is one connection.
type link struct {
	back    *back
	srv     *server
	conn    net.Conn
	in      *bufio.Reader
	out     *outbox.Outbox
	asked   atomic.Pointer[attempt] // that its reader waits for
	a       *attempt                // the same on the loop, until its end is known
	freeAt  float64                 // 0: it has had no request
	idle    float64                 // before the request it has; 0: none
	resting bool
	down    bool
}

// spare tells whether it waits for a request.
func (l *link) spare() bool { return l.a == nil && !l.resting && !l.down }

func newBack(w seam.World, l *loop, c *Config, most int) *back {
	b := &back{world: w, loop: l, dialIn: seam.Duration(c.Bounds.DialTimeout), idle: c.Bounds.ConnIdle * idlePart, drain: c.Settings.Rules.DrainGrace * drainPart, most: most, bytes: bytesOf(c), servers: map[string]*server{}}
	b.ctx, b.stop = context.WithCancel(context.Background())
	return b
}

// reach notes a server's address; at another one, what is open to the old one is left.
func (b *back) reach(e Entry) {
	s := b.servers[e.Host]
	if s == nil {
		s = &server{host: e.Host}
		b.servers[e.Host] = s
	}
	s.gone = false
	switch {
	case e.Health == "active":
		s.barredAt = 0
	case s.barredAt == 0:
		s.barredAt = b.core.now
	}
	if s.dial != e.Dial || s.born != e.BornMS { // another process answers there
		s.dial, s.born = e.Dial, e.BornMS
		b.shutFree(s)
	}
}

func (b *back) retire(host string) {
	if s := b.servers[host]; s != nil {
		s.gone = true
		if s.barredAt == 0 {
			s.barredAt = b.core.now
		}
		b.shutFree(s)
		b.forget(s)
	}
}

// forget drops a server that is gone and has nothing open any more.
func (b *back) forget(s *server) {
	if s.gone && s.links == 0 && s.coming == 0 && len(s.waiting) == 0 && b.servers[s.host] == s {
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
	if s == nil { // of no list: nothing leaves this machine, its time-out will say so
		return
	}
	if n := len(s.free); n > 0 {
		if idle := b.core.now - s.free[n-1].freeAt; idle > b.idle || b.wear.worn(b.core.now, idle) {
			b.shutFree(s) // the others have been idle for longer still
		}
	}
	if n := len(s.free); n > 0 {
		l := s.free[n-1]
		s.free = s.free[:n-1]
		b.put(l, a)
		return
	}
	s.waiting = append(s.waiting, a)
	b.dialFor(s)
}

// dialFor dials as long as more wait for a connection than are coming.
func (b *back) dialFor(s *server) {
	for len(s.waiting) > s.coming && b.room() {
		s.coming++
		b.conns++
		addr := s.dial
		b.tasks.Go(b.world, func() { b.dial(s, addr) })
	}
}

// room tells whether one more connection may be opened; an idle one elsewhere gives way.
func (b *back) room() bool {
	if b.conns < b.most {
		return true
	}
	var oldest *link
	for _, l := range b.all.All() {
		if l.spare() && (oldest == nil || l.freeAt < oldest.freeAt) {
			oldest = l
		}
	}
	if oldest == nil {
		return false
	}
	b.shut(oldest)
	return true
}

func (b *back) dial(s *server, addr string) {
	conn, err := b.world.Dial(b.ctx, "tcp", addr, b.dialIn)
	if !b.loop.post(b.loop.now(), func(at float64) { b.dialled(at, s, addr, conn, err) }) && err == nil {
		conn.Close()
	}
}

func (b *back) dialled(at float64, s *server, addr string, conn net.Conn, err error) {
	s.coming--
	if err != nil {
		b.conns--
		if a := s.next(); a != nil {
			b.core.lost(at, a, policy.NoConnection)
		}
		b.dialFor(s)
		b.forget(s)
		return
	}
	s.heardAt = at
	l := &link{back: b, srv: s, conn: conn, in: bufio.NewReaderSize(conn, linkBuffer)}
	l.out = outbox.New(b.world, conn, linkOut, linkTimeout)
	s.links++
	b.all.Add(l)
	b.tasks.Go(b.world, l.read)
	if s.dial != addr {
		b.shut(l)
		return
	}
	b.offer(at, l)
}

// offer gives a free connection to who waited longest for one.
func (b *back) offer(at float64, l *link) {
	s := l.srv
	// What waited for its connection past the time to stop must not go any more.
	for s.barredAt > 0 && at > s.barredAt+b.drain && len(s.waiting) > 0 {
		b.core.lost(at, s.next(), policy.NotSent)
	}
	if a := s.next(); a != nil {
		b.put(l, a)
		return
	}
	l.freeAt = at
	s.free = append(s.free, l)
	if s.gone {
		b.shut(l)
	}
}

// put sends a on l.
func (b *back) put(l *link, a *attempt) {
	l.a, a.link, l.idle = a, l, 0
	if l.freeAt > 0 {
		l.idle = b.core.now - l.freeAt
	}
	l.asked.Store(a)
	c := a.call
	f := http1.Fields{{Name: "Host", Value: serviceHost}, {Name: "Request-Id", Value: c.req.ID}}
	if c.key != "" {
		f = append(f, http1.Field{Name: "Idempotency-Key", Value: c.key})
	}
	left := max(a.until-b.core.now, 1) / 1000
	f = append(f, http1.Field{Name: "Request-Timeout", Value: strconv.FormatFloat(left, 'f', 3, 64)})
	l.out.Put(func(buf []byte) []byte { return http1.AppendRequest(buf, c.method, c.target, f, c.body) })
}

const serviceHost = "api.internal"

// drop lets go of an attempt whose outcome is known; it tells whether it may have reached
// its server. A connection that it is out on is closed, for that gives it up there; so are
// the free ones to a server that was silent all the while, which may be gone without a word.
func (b *back) drop(a *attempt) bool {
	s := b.servers[a.host]
	if a.link == nil {
		if s != nil {
			s.waiting = slices.DeleteFunc(s.waiting, func(x *attempt) bool { return x == a })
			b.forget(s)
		}
		return false
	}
	l := a.link
	if l.a == a {
		l.a = nil
		b.shut(l)
	}
	if s = l.srv; s.heardAt < a.sentAt {
		b.shutFree(s)
	}
	return true
}

// shut closes a connection and takes it out of the books.
func (b *back) shut(l *link) {
	if l.down {
		return
	}
	l.down = true
	l.out.Cut()
	s := l.srv
	s.links--
	b.conns--
	if l.resting {
		l.resting = false
		s.coming--
	}
	b.all.Remove(l)
	s.free = slices.DeleteFunc(s.free, func(x *link) bool { return x == l })
	b.dialFor(s)
	b.forget(s)
}

// sweep closes connections that have been idle for too long.
func (b *back) sweep(now float64) {
	for _, l := range b.all.All() {
		if l.spare() && now-l.freeAt > b.idle {
			b.shut(l)
		}
	}
}

func (b *back) close() {
	b.stop()
	for _, l := range b.all.All() {
		l.out.Cut()
	}
	b.tasks.Wait(b.world)
}

// read is the connection's goroutine: it waits for answers until the connection ends.
func (l *link) read() {
	b := l.back
	defer func() { b.loop.post(b.loop.now(), func(at float64) { b.ended(at, l) }) }()
	defer l.conn.Close()
	for {
		if _, err := l.in.Peek(1); err != nil {
			return
		}
		a := l.asked.Load()
		if a == nil {
			return // nobody asked
		}
		r, clean, err := l.answer()
		if err != nil && !http1.IsError(err) {
			b.held.Add(-r.size)
			return
		}
		l.asked.Store(nil)
		clean = clean && err == nil && l.in.Buffered() == 0
		if !b.loop.post(b.loop.now(), func(at float64) {
			b.answered(at, l, a, r, clean)
			b.held.Add(-r.size)
		}) || !clean || !l.rest() {
			return
		}
	}
}

// rest listens for a moment whether anything follows the answer; false if so.
func (l *link) rest() bool {
	l.conn.SetReadDeadline(l.back.world.Deadline(restTime))
	_, err := l.in.Peek(1)
	l.conn.SetReadDeadline(time.Time{})
	if e, ok := err.(net.Error); !ok || !e.Timeout() {
		return false
	}
	return l.back.loop.post(l.back.loop.now(), func(at float64) { l.back.rested(at, l) })
}

// answer reads one answer. One that cannot be read is a failed attempt that may have run.
func (l *link) answer() (r reply, keep bool, err error) {
	r.result = policy.ServerError
	m, err := http1.ReadResponse(l.in, answerLimits)
	if err != nil {
		return r, false, err
	}
	fr, err := m.Framing(answerLimits)
	if err != nil {
		return r, false, err
	}
	if r.size = int64(fr.Length); fr.Chunked {
		r.size = messageBytes
	}
	if l.back.held.Add(r.size) > l.back.bytes {
		return r, false, errNoRoom
	}
	if r.body, err = http1.ReadBody(l.in, fr, answerLimits); err != nil {
		return r, false, err
	}
	if more, _ := l.in.Peek(l.in.Buffered()); len(more) > 0 && !startsMessage(more) {
		// Its length may have said less than there was, and nothing tells that from
		// noise behind it.
		return r, false, nil
	}
	r.result = resultOf(m)
	r.use, r.other = figure(m.Fields.Get("x-iops-used"), 1), figure(m.Fields.Get("x-rho"), 0)
	return r, !m.Close(), nil
}

// errNoRoom: the answer is let go of, for too much is held already. It may have run.
var errNoRoom = &http1.Error{Kind: http1.TooLarge, Part: "answers held"}

func startsMessage(b []byte) bool {
	const mark = "HTTP/1.1 "
	n := min(len(b), len(mark))
	return string(b[:n]) == mark[:n]
}

func resultOf(m *http1.Response) policy.Result {
	switch {
	case m.Status == 200:
		return policy.Served
	case (m.Status == 503 || m.Status == 504) && m.Fields.Get("not-started") == "1":
		return policy.TurnedAway
	}
	return policy.ServerError
}

// figure is a number that a server tells beside its answer, raised by base; one that
// cannot be read is none.
func figure(s string, base float64) float64 {
	n, err := strconv.ParseUint(s, 10, 32)
	if err != nil {
		return 0
	}
	return float64(n) + base
}

// answered, rested and ended are what the connection's goroutine posts.

func (b *back) answered(at float64, l *link, a *attempt, r reply, clean bool) {
	l.srv.heardAt = at
	if l.idle > 0 {
		b.wear.saw(at, l.idle, false)
	}
	if l.a == a {
		l.a = nil
	}
	if clean && !l.down {
		l.resting = true
		l.srv.coming++
	} else {
		b.shut(l)
	}
	b.core.replied(at, a, r)
}

func (b *back) rested(at float64, l *link) {
	if l.down {
		return
	}
	l.resting = false
	l.srv.coming--
	b.offer(at, l)
}

func (b *back) ended(at float64, l *link) {
	a := l.a
	l.a = nil
	b.shut(l)
	if a != nil {
		if l.idle > 0 && at-a.sentAt < wearSoon {
			b.wear.saw(at, l.idle, true)
		}
		b.core.lost(at, a, policy.ConnectionLost)
	}
}
