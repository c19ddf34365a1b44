package scheduler

import (
	"bufio"
	"io"
	"math"
	"net"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"merlinhitch/http1"
	"merlinhitch/outbox"
	"merlinhitch/policy"
	"merlinhitch/seam"
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
	world    seam.World
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
	ready    seam.Gate     // discovery has spoken, or was waited for
	answerBy atomic.Uint64 // bits of the time by which all must be answered; 0: none
	stop     seam.Gate     // nothing more is accepted
	ended    seam.Gate     // nothing is waited for any more
	tasks    seam.Group
	listener net.Listener

	listenedAt float64 // when it began to listen at the earliest

	mu      sync.Mutex
	clients seam.Roster[*client]
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

// client is one connection. Its goroutine reads it, and alone closes it; its outbox writes.
type client struct {
	front *front
	conn  net.Conn
	ahead *ahead
	in    *bufio.Reader
	out   *outbox.Outbox
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
	done   seam.Gate

	duplicate bool // its id was used before
}

// accept takes connections. Those that lay in the listener's queue while this process was
// still starting may have come at any time since it listened, and count from then.
func (f *front) accept() {
	starting := true
	for {
		for !f.roomy() {
			if !seam.Wait(f.world, acceptPause, &f.stop) {
				return
			}
		}
		from := f.loop.now()
		conn, err := f.listener.Accept()
		came := f.loop.now()
		if starting = starting && came-from < queueEmpty; starting {
			came = f.listenedAt
		}
		if err == nil {
			came = min(came, f.cameAt(conn))
		}
		if err != nil { // where there are no descriptors left, there may be again
			f.log.acceptFailed(err)
			if f.stop.Opened() || !seam.Wait(f.world, acceptPause, &f.stop) {
				return
			}
			continue
		}
		f.tasks.Go(f.world, f.client(conn, came).serve)
	}
}

// client is the connection's, which may have come as early as that.
// mostQueued bounds how long a connection is taken to have lain in the listener's queue, ms.
const mostQueued = 60_000.0

// cameAt is when the first bytes came on a connection that was just accepted, as far as the
// kernel tells: it may have lain in the listener's queue, behind others.
func (f *front) cameAt(conn net.Conn) float64 {
	since, known := seam.SinceData(conn)
	if !known || seam.MS(since) > mostQueued {
		return f.loop.now()
	}
	return f.loop.now() - seam.MS(since)
}

func (f *front) client(conn net.Conn, came float64) *client {
	c := &client{front: f, conn: conn, ahead: &ahead{conn: conn, now: f.loop.now, held: &f.ahead, from: came}, since: f.loop.now()}
	c.in = bufio.NewReaderSize(c.ahead, linkBuffer)
	c.out = outbox.New(f.world, conn, clientOut, outTimeout)
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

// roomy tells whether one more connection may be accepted. At the bound the one that can
// be spared best is told to end; while many are ending still, nothing is accepted.
func (f *front) roomy() bool {
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
		within = newTime - seam.Duration(f.loop.now()-c.since)
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
		if over > 0 && now-c.since > seam.MS(idleTime) {
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
		d = max(d, seam.Duration(by-f.loop.now()))
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

// serve reads requests until the connection ends.
func (c *client) serve() {
	c.close(c.serveRequests())
}

// serveRequests reads and answers until the connection is to end; it leaves the reason in
// the client and returns the error that ended the stream, if one did.
func (c *client) serveRequests() error {
	for {
		c.await()
		if err := c.begun(); err != nil {
			c.reason = closeClientEnded
			if isTimeout(err) {
				c.reason = closeIdle
			}
			return err
		}
		c.active()
		r, err := c.request()
		if err != nil {
			c.reason = closeUnreadable
			c.turnAway(statusOf(err))
			return err
		}
		c.requests++
		c.reason = closeAsked
		c.out.Settle() // a client that reads slowly gets each answer whole before the next is made
		if !c.handle(r) {
			return c.ahead.err
		}
	}
}

// close ends the connection so that no answer is lost to a reset. What comes once nothing
// more is sent is left unread: a client may send that again elsewhere.
func (c *client) close(cause error) {
	f := c.front
	c.out.Finish()
	c.out.Wait()
	if c.answeredSince(f.loop.now() - seam.MS(lingerTime)) {
		c.linger()
	}
	c.conn.Close()
	c.ahead.drop()
	f.mu.Lock()
	defer f.mu.Unlock()
	f.clients.Remove(c)
	f.log.connectionClosed(c, cause)
}

func (c *client) linger() {
	w := c.front.world
	until := w.Now() + lingerTime
	c.conn.SetReadDeadline(w.Deadline(lingerTime))
	if seam.Readable(c.conn) == nil { // it will be reset, but not before its answer is there
		seam.Wait(w, until-w.Now(), &c.front.ended)
	}
}

// answeredSince tells whether an answer may still be on its way, and the client still there.
func (c *client) answeredSince(t float64) bool {
	c.front.mu.Lock()
	defer c.front.mu.Unlock()
	return c.ahead.err == nil && c.spoke > t
}

// begun waits for a request's first byte. When the time for it is over it looks once more:
// on a machine that stands still now and then a request may have lain there for long, and
// it was taken as it came in.
func (c *client) begun() error {
	_, err := c.in.Peek(1)
	if isTimeout(err) {
		c.conn.SetReadDeadline(time.Time{})
		c.ahead.look()
		if len(c.ahead.kept) > 0 {
			_, err = c.in.Peek(1)
		}
	}
	return err
}

func isTimeout(err error) bool {
	e, ok := err.(net.Error)
	return ok && e.Timeout()
}

// request is a request as read.
type request struct {
	*http1.Request
	body []byte
	at   float64 // of its last byte
}

func (c *client) request() (*request, error) {
	head, err := http1.ReadRequest(c.in, messageLimits)
	if err != nil {
		return nil, err
	}
	fr, err := head.Framing(messageLimits)
	if err != nil {
		return nil, err
	}
	if head.Continues() && c.in.Buffered() == 0 {
		c.out.Put(func(b []byte) []byte { return append(b, "HTTP/1.1 100 Continue\r\n\r\n"...) })
	}
	body, err := http1.ReadBody(c.in, fr, messageLimits)
	return &request{Request: head, body: body, at: c.ahead.since(c.in.Buffered())}, err
}

// statusOf is the answer to what could not be read; 0: none, for the stream is at fault.
func statusOf(err error) int {
	if e, ok := err.(*http1.Error); ok {
		return e.Status()
	}
	if isTimeout(err) {
		return 408
	}
	if err == io.ErrUnexpectedEOF {
		return 400
	}
	return 0
}

// turnAway answers what is no request that can be served, and ends the connection: who
// sends such is not listened to further. Status 0 says nothing.
func (c *client) turnAway(status int) {
	if status != 0 {
		c.write(status, true, nil, nil)
	}
}

// write answers and makes the connection idle, or ends it: it tells whether it goes on.
func (c *client) write(status int, last bool, f http1.Fields, body []byte) bool {
	last = last || c.front.finishing()
	if last {
		f = append(f, http1.Field{Name: "Connection", Value: "close"})
	}
	c.out.Put(func(b []byte) []byte { return http1.AppendResponse(b, status, f, body) })
	if c.rest(last) {
		return true
	}
	c.out.Finish()
	return false
}

const readyPath = "/up"

// handle answers a request; false if the connection ends with it.
func (c *client) handle(r *request) bool {
	f := c.front
	last := r.Close()
	if r.Target == readyPath {
		status := 503
		if f.ready.Opened() && f.leaving() == 0 {
			status = 200
		}
		return c.write(status, last, nil, nil)
	}
	call, status := f.check.Load().read(r)
	if status != 0 {
		c.reason = closeRejected
		c.turnAway(status)
		return false
	}
	if by := f.leaving(); by > 0 {
		call.req.Expires = min(call.req.Expires, by)
	}
	size := int64(len(r.body))
	if f.held.Add(size) > f.bytes.Load() {
		f.held.Add(-size)
		return c.write(503, last, http1.Fields{{Name: "Retry-After", Value: "1"}}, nil)
	}
	defer f.held.Add(-size)
	return c.ask(call, r.at, last)
}

// ask has the core take the call and waits for its answer, or for the client to leave. Who
// has left already is not served: nothing is to begin for it.
func (c *client) ask(call *call, at float64, last bool) bool {
	q := &asking{client: c, close: last}
	call.owner = q
	c.lastID = call.req.ID
	f := c.front
	// Discovery may know already what the list of the start does not: nothing goes by that
	// list until discovery was heard, or has had the time for it.
	seam.WaitAny(f.world, &f.ready, &f.ended)
	c.conn.SetReadDeadline(time.Time{})
	if c.ahead.look() != nil {
		return false
	}
	ok := f.loop.post(at, eventRequest, func(at float64) {
		if !f.core.take(at, call) {
			q.close, q.duplicate = true, true
			c.turnAway(409)
			q.done.Open()
		}
	})
	if !ok {
		c.reason = closeUnanswerable
		return false
	}
	for !q.done.Opened() && !c.ahead.full() {
		if err := c.ahead.more(); err != nil && !isTimeout(err) {
			call.over.Store(true)
			f.loop.post(f.loop.now(), eventClientGone, func(at float64) { f.core.gone(at, call) })
			return false
		} else if err != nil {
			break // it is answered: only then is there a deadline
		}
	}
	seam.WaitAny(f.world, &q.done, &f.ended)
	switch {
	case !q.done.Opened():
		c.reason = closeUnanswerable
	case q.duplicate:
		c.reason = closeDuplicateID
	case q.close && !last:
		c.reason = closeLastAnswer
	}
	return q.done.Opened() && !q.close
}

// answer implements answerer, on the loop.
func (q *asking) answer(outcome callOutcome, after float64, body []byte) {
	status, f := 504, http1.Fields(nil)
	switch outcome {
	case served:
		// Clients that don't read may hold all the room.
		if fr := q.client.front; fr.queued.Load()+int64(len(body)) <= fr.bytes.Load() {
			status = 200
		} else {
			body = nil
		}
	case refused:
		status = 503
		if after > 0 {
			f = http1.Fields{{Name: "Retry-After", Value: strconv.FormatFloat(after/1000, 'f', 3, 64)}}
		}
	}
	q.close = !q.client.write(status, q.close, f, body)
	q.done.Open()
}

// checker tells requests that can be served from those that cannot.
type checker struct {
	classes map[string]policy.Class
	plans   map[string]bool
	shards  int
	most    float64
}

func newChecker(s *policy.Settings) *checker {
	k := &checker{classes: map[string]policy.Class{}, plans: map[string]bool{}, shards: s.Shards, most: s.MostUnits}
	for _, c := range s.Classes {
		k.classes[c.Name] = c
	}
	for _, p := range s.Plans {
		k.plans[p.Name] = true
	}
	return k
}

const (
	hexDigits  = 16
	mostID     = 64
	mostKey    = 256
	mostWaitMS = 600_000
)

// read makes a call of a request, or says what to answer.
func (k *checker) read(r *request) (*call, int) {
	path, _, _ := strings.Cut(r.Target, "?")
	parts := strings.Split(path, "/")
	if len(parts) != 4 {
		return nil, 404
	}
	class, known := k.classes[parts[1]]
	if !known || !isHex(parts[2]) || !isHex(parts[3]) {
		return nil, 404
	}
	write := r.Method == "PUT"
	if !write && r.Method != "GET" {
		return nil, 405
	}
	f := r.Fields
	for _, name := range []string{"request-id", "request-timeout", "x-qos-policy", "x-placement"} {
		if f.Count(name) != 1 {
			return nil, 400
		}
	}
	c := &call{message: message{method: r.Method, target: r.Target, key: f.Get("idempotency-key"), body: r.body}}
	q := policy.Request{ID: f.Get("request-id"), Class: class.Name, Plan: f.Get("x-qos-policy"), Volume: parts[2], Key: parts[3],
		Write: write, Repeat: f.Get("client-retry") == "1"}
	left, err := strconv.ParseFloat(f.Get("request-timeout"), 64)
	switch {
	case err != nil, !(left > 0), left*1000 > mostWaitMS,
		!isID(q.ID), len(c.key) > mostKey, f.Count("idempotency-key") > 1,
		class.Effect == policy.Keyed && c.key == "",
		!write && len(r.body) > 0,
		!k.plans[q.Plan], !k.place(f.Get("x-placement"), &q):
		return nil, 400
	}
	q.Expires = r.at + left*1000
	c.req = q
	return c, 0
}

// place reads units, shard and hosts.
func (k *checker) place(s string, q *policy.Request) bool {
	q.Units, q.Shard, q.Hosts = math.NaN(), math.MinInt, 0
	for part := range strings.SplitSeq(s, ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		var err error
		switch name {
		case "units":
			q.Units, err = strconv.ParseFloat(value, 64)
		case "shard":
			q.Shard, err = strconv.Atoi(value)
		case "hosts":
			q.Hosts, err = strconv.Atoi(value)
		}
		if err != nil {
			return false
		}
	}
	return q.Units > 0 && (k.most <= 0 || q.Units <= k.most) &&
		q.Shard >= -1 && (k.shards <= 0 || q.Shard < k.shards) && q.Hosts >= 1
}

func isHex(s string) bool {
	return len(s) == hexDigits && strings.Trim(s, "0123456789abcdefABCDEF") == ""
}

// isID takes what can be an id: it goes on to disk servers as it is.
func isID(s string) bool {
	return s != "" && len(s) <= mostID && !slices.ContainsFunc([]byte(s), func(b byte) bool {
		return !(b >= '0' && b <= '9' || b >= 'a' && b <= 'z' || b >= 'A' && b <= 'Z' || b == '-' || b == '_')
	})
}
