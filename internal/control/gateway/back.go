package gateway

import (
	"bufio"
	"context"
	"crypto/tls"
	"maps"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"merlinhitch/internal/control/keys"
	"merlinhitch/internal/protocol/diskproto"
	"merlinhitch/internal/runtime/env"
	"merlinhitch/internal/runtime/writequeue"
	"merlinhitch/internal/simulation/faultinject"
	"merlinhitch/policy"
)

// back keeps one connection to each disk server that is sent to, and runs
// attempts on them. What it learns it posts to the host.
type back struct {
	world  env.Environment
	host   *host
	id     uint64
	name   string
	dialIn atomic.Int64 // time to connect and be greeted
	keys   *keys.Holder // nil: disk servers are spoken to in clear
	drift  float64      // part by which clocks may run fast or slow
	log    *zap.Logger

	mu     sync.Mutex
	links  map[string]*link // that can be used, by server
	all    env.OrderedSet[*link]
	closed bool
	tasks  env.WaitGroup
	ctx    context.Context
	stop   context.CancelFunc
}

const (
	backOut     = 64 << 20 // module depth times the largest write is half of it
	backTimeout = 5 * time.Second
	linkBuffer  = 256 << 10 // a server's answers are many and its connection is one
	// A connection on which attempts time out and nothing was heard for so long
	// is taken for half-open.
	silence = 2 * time.Second
)

func newBack(w env.Environment, h *host, name string, dialIn time.Duration, log *zap.Logger) *back {
	b := &back{world: w, host: h, id: w.RandomUint64(), name: name, log: log, links: map[string]*link{}}
	b.dialIn.Store(int64(dialIn))
	b.ctx, b.stop = context.WithCancel(context.Background())
	return b
}

// link is one connection, from its dialling on. It is used once.
type link struct {
	back *back
	addr string

	mu      sync.Mutex
	up      bool
	down    bool
	bye     bool // nothing new goes here
	conn    net.Conn
	out     *writequeue.Queue
	waiting []*attempt
	open    map[uint32]*attempt
	nextTag uint32
	heard   time.Duration
	clock   float64 // the server's, us, which was no less
	clockAt float64 // at this time of the host's, us
}

// send takes an attempt, on the host's goroutine; it never blocks on the network.
func (b *back) send(a *attempt) {
	b.mu.Lock()
	if b.closed {
		b.mu.Unlock()
		return
	}
	l := b.link(a.node)
	b.mu.Unlock()
	a.link = l
	l.take(a)
}

// link is the connection to a server, a new one where there is none that can be used.
// Held: mu.
func (b *back) link(addr string) *link {
	l := b.links[addr]
	if l == nil || !l.usable() {
		l = &link{back: b, addr: addr, open: map[uint32]*attempt{}}
		b.links[addr] = l
		b.all.Add(l)
		b.tasks.Go(b.world, l.run)
	}
	return l
}

// probe asks a server for a sign of life, dialling it if need be.
func (b *back) probe(addr string) {
	b.mu.Lock()
	if b.closed {
		b.mu.Unlock()
		return
	}
	l := b.link(addr)
	b.mu.Unlock()
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.up && !l.down {
		l.nextTag++
		tag := l.nextTag
		l.out.Enqueue(func(b []byte) []byte { return diskproto.Append(b, diskproto.KindProbe, tag, nil) })
	}
}

// freshen asks servers whose clock was last heard a while ago for it.
func (b *back) freshen() {
	b.mu.Lock()
	links := b.all.All()
	b.mu.Unlock()
	for _, l := range links {
		l.mu.Lock()
		if now := float64(b.world.Now()) / float64(time.Microsecond); now-l.clockAt > clockOld && l.up && !l.down {
			l.nextTag++
			tag := l.nextTag
			l.out.Enqueue(func(b []byte) []byte { return diskproto.Append(b, diskproto.KindProbe, tag, nil) })
		}
		l.mu.Unlock()
	}
}

// clockOld is the age at which a server's clock is asked for, us.
const clockOld = 400_000

// heard tells when a server last said anything on the connection that is open to it.
func (b *back) heard(addr string) (at time.Duration, open bool) {
	b.with(addr, func(l *link) { at, open = l.heard, l.up && !l.down && !l.bye })
	return at, open
}

func (l *link) usable() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return !l.down && !l.bye
}

func (l *link) take(a *attempt) {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case l.down:
		l.end(a, policy.NoConnection)
	case l.up:
		l.put(a)
		l.back.host.later(l.out)
	default:
		l.waiting = append(l.waiting, a)
	}
}

// put holds the attempt's frame for the write queue's next release. One that may not begin any
// more, for it waited for its connection, ends as never sent. Held: mu.
func (l *link) put(a *attempt) {
	if !a.permitted(env.MS(l.back.world.Now())) {
		l.end(a, policy.NotSent)
		return
	}
	if !a.claim() {
		return // timed out while it waited
	}
	l.nextTag++
	if faultinject.Active(faultinject.TagReused) {
		l.nextTag %= 4
	}
	a.tag = l.nextTag
	l.open[a.tag] = a
	do := a.job.do
	do.Attempt = uint16(a.n)
	do.Gen, do.Deadline = a.gen, l.deadline(a.until)
	if faultinject.Active(faultinject.DeadlineUnsaid) {
		do.Deadline += 60_000_000
	}
	if !l.out.Buffer(func(b []byte) []byte { return diskproto.Append(b, diskproto.KindDo, a.tag, &do) }) {
		l.conn.Close() // the reader ends the rest
	}
}

// reads takes the server's clock as heard at now. The server read it before: deadlines
// reckoned from it are early by the way back, never late. Held: mu.
func (l *link) reads(clock uint64, now time.Duration) {
	l.clock, l.clockAt = float64(clock), float64(now)/float64(time.Microsecond)
}

// deadline is a time of this host's in the server's clock, no later however the two
// have drifted since it was heard. Held: mu.
func (l *link) deadline(until float64) uint64 {
	ahead := until*1000 - l.clockAt
	if d := l.back.drift; d > 0 && ahead > 0 {
		ahead *= (1 - d) / (1 + d)
	}
	return uint64(max(l.clock+ahead, 0))
}

// end tells the host of an attempt's end, unless the host ended one that has not gone out.
func (l *link) end(a *attempt, r policy.Result) {
	if (r == policy.NoConnection || r == policy.NotSent) && !a.drop() {
		return
	}
	l.back.host.post(event{kind: evLost, attempt: a, result: r})
}

// run dials, greets and reads until the connection ends.
func (l *link) run() {
	conn, err := l.back.world.Dial(l.back.ctx, "tcp", l.addr, time.Duration(l.back.dialIn.Load()))
	if err == nil {
		if k := l.back.keys; k != nil {
			conn = tls.Client(conn, k.Client("")) // it greets with the first frame, within its time
		}
		err = l.serve(conn)
	}
	l.finish()
	l.back.log.Debug("disk server connection over", zap.String("node", l.addr), zap.Error(err))
}

func (l *link) serve(conn net.Conn) error {
	out := writequeue.New(l.back.world, conn, backOut, backTimeout)
	defer out.Wait()
	defer out.Abort()
	l.mu.Lock()
	l.conn, l.out = conn, out
	l.mu.Unlock()
	if l.back.ctx.Err() != nil {
		return l.back.ctx.Err()
	}
	r := diskproto.NewReader(bufio.NewReaderSize(conn, linkBuffer))
	if err := l.greet(conn, r); err != nil {
		return err
	}
	for {
		f, err := r.Next()
		if err != nil {
			return err
		}
		if err := l.frame(f); err != nil {
			return err
		}
	}
}

// greet exchanges Hello and Welcome within the dial time: a connection that opens
// and then hangs has carried nothing, and says so by NoConnection.
func (l *link) greet(conn net.Conn, r *diskproto.Reader) error {
	h := &diskproto.Hello{Oldest: diskproto.Oldest, Newest: diskproto.Version, Host: l.back.id, Name: l.back.name}
	l.out.Enqueue(func(b []byte) []byte { return diskproto.Append(b, diskproto.KindHello, 0, h) })
	conn.SetReadDeadline(l.back.world.Deadline(time.Duration(l.back.dialIn.Load())))
	f, err := r.Next()
	if err != nil {
		return err
	}
	var w diskproto.Welcome
	if f.Kind != diskproto.KindWelcome {
		return &diskproto.FrameError{Reason: "no welcome"}
	}
	if err := w.Parse(f.Body); err != nil {
		return err
	}
	if w.Version == 0 {
		return &diskproto.FrameError{Reason: "no common version"}
	}
	conn.SetReadDeadline(time.Time{})
	now := l.back.world.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.reads(w.Clock, now)
	l.up, l.heard = true, now
	for _, a := range l.waiting {
		l.put(a)
	}
	l.out.Flush()
	l.waiting = nil
	return nil
}

func (l *link) frame(f diskproto.Frame) error {
	l.mu.Lock()
	l.heard = l.back.world.Now()
	a := l.open[f.Tag]
	if f.Kind == diskproto.KindAnswer {
		delete(l.open, f.Tag)
	}
	if f.Kind == diskproto.KindBye {
		l.bye = true // what is out may still be answered
	}
	over := l.bye && len(l.open) == 0
	l.mu.Unlock()
	if f.Kind == diskproto.KindProbed {
		var p diskproto.Probed
		if err := p.Parse(f.Body); err != nil {
			return err
		}
		l.mu.Lock()
		l.reads(p.Clock, l.heard)
		l.mu.Unlock()
	}
	if f.Kind != diskproto.KindAnswer || a == nil {
		return errRetired.when(over)
	}
	ans := &diskproto.Answer{}
	if err := ans.Parse(f.Body); err != nil {
		return err
	}
	if l.back.drift > 0 {
		l.mu.Lock()
		l.reads(ans.Clock, l.heard)
		l.mu.Unlock()
	}
	e := event{kind: evAnswer, attempt: a, answer: ans}
	if len(ans.Data) > 0 {
		e.buffer = l.back.host.buffer()
		*e.buffer = append((*e.buffer)[:0], ans.Data...)
		ans.Data = *e.buffer
	}
	l.back.host.post(e)
	return errRetired.when(over)
}

// retiredError ends a connection to which nothing more goes.
type retiredError struct{}

var errRetired retiredError

func (retiredError) Error() string { return "gateway: connection retired" }

func (e retiredError) when(over bool) error {
	if over {
		return e
	}
	return nil
}

// with runs f on the connection to a server, if there is one, under its lock.
func (b *back) with(addr string, f func(l *link)) {
	b.mu.Lock()
	l := b.links[addr]
	b.mu.Unlock()
	if l == nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	f(l)
}

// renew has every connection end once nothing is out on it: the next to each server is
// made with the keys that there are now.
func (b *back) renew() {
	b.mu.Lock()
	addrs := slices.Sorted(maps.Keys(b.links))
	b.mu.Unlock()
	for _, a := range addrs {
		b.retire(a)
	}
}

// retire closes the connection to a server, as to one that has left, once it has nothing
// out.
func (b *back) retire(addr string) {
	b.with(addr, func(l *link) {
		l.bye = true
		if l.up && len(l.open) == 0 {
			l.conn.Close()
		}
	})
}

// finish ends what the connection had: what waited has certainly not gone, what
// was sent may have run.
func (l *link) finish() {
	l.mu.Lock()
	l.down = true
	waiting, open := l.waiting, l.open
	l.waiting, l.open = nil, nil
	l.mu.Unlock()
	l.back.mu.Lock()
	l.back.all.Remove(l)
	if l.back.links[l.addr] == l {
		delete(l.back.links, l.addr)
	}
	l.back.mu.Unlock()
	for _, a := range waiting {
		l.end(a, policy.NoConnection)
	}
	for _, a := range sortedByTag(open) {
		l.end(a, policy.ConnectionLost)
	}
}

// forget drops what has timed out, and closes a connection that seems half-open, or
// that only this attempt still kept: it may have another in its place already.
func (b *back) forget(a *attempt) {
	l := a.link
	if l == nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.open[a.tag] != a {
		return
	}
	delete(l.open, a.tag)
	if l.bye && len(l.open) == 0 || b.world.Now()-l.heard > silence {
		l.conn.Close()
	}
}

func (b *back) cancel(a *attempt) {
	l := a.link
	if l == nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.up && l.open[a.tag] == a {
		l.out.Enqueue(func(b []byte) []byte { return diskproto.Append(b, diskproto.KindCancel, a.tag, nil) })
	}
}

// close ends every connection and waits for the goroutines.
func (b *back) close() {
	b.stop()
	b.mu.Lock()
	b.closed = true
	links := b.all.All()
	b.mu.Unlock()
	for _, l := range links {
		l.mu.Lock()
		if l.conn != nil {
			l.conn.Close()
		}
		l.mu.Unlock()
	}
	b.tasks.Wait(b.world)
}
