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

// connPool keeps one connection to each disk server that is sent to, and runs
// attempts on them. What it learns it posts to the host.
type connPool struct {
	environment   env.Environment
	host          *host
	hostID        uint64
	hostName      string
	dialTimeout   atomic.Int64 // time to connect and be greeted
	keys          *keys.Holder // nil: disk servers are spoken to in clear
	maxClockDrift float64      // part by which clocks may run fast or slow
	log           *zap.Logger

	mu           sync.Mutex
	connByServer map[string]*serverConn // that can be used, by server
	conns        env.OrderedSet[*serverConn]
	closed       bool
	tasks        env.WaitGroup
	ctx          context.Context
	stop         context.CancelFunc
}

const (
	maxQueuedWriteBytes = 64 << 20 // module depth times the largest write is half of it
	writeTimeout        = 5 * time.Second
	readBufferBytes     = 256 << 10 // a server's answers are many and its connection is one
	// A connection on which attempts time out and nothing was heard for so long
	// is taken for half-open.
	halfOpenTimeout = 2 * time.Second
)

func newConnPool(w env.Environment, h *host, name string, dialIn time.Duration, log *zap.Logger) *connPool {
	b := &connPool{environment: w, host: h, hostID: w.RandomUint64(), hostName: name, log: log, connByServer: map[string]*serverConn{}}
	b.dialTimeout.Store(int64(dialIn))
	b.ctx, b.stop = context.WithCancel(context.Background())
	return b
}

// serverConn is one connection, from its dialling on. It is used once.
type serverConn struct {
	pool *connPool
	addr string

	mu          sync.Mutex
	established bool
	closed      bool
	retired     bool // nothing new goes here
	conn        net.Conn
	writes      *writequeue.Queue
	waiting     []*attempt
	outstanding map[uint32]*attempt
	lastTag     uint32
	lastReadAt  time.Duration
	serverClock float64 // the server's, us, which was no less
	clockReadAt float64 // at this time of the host's, us
}

// send takes an attempt, on the host's goroutine; it never blocks on the network.
func (b *connPool) send(a *attempt) {
	b.mu.Lock()
	if b.closed {
		b.mu.Unlock()
		return
	}
	l := b.connTo(a.node)
	b.mu.Unlock()
	a.serverConn = l
	l.send(a)
}

// connTo is the connection to a server, a new one where there is none that can be used.
// Held: mu.
func (b *connPool) connTo(addr string) *serverConn {
	l := b.connByServer[addr]
	if l == nil || !l.usable() {
		l = &serverConn{pool: b, addr: addr, outstanding: map[uint32]*attempt{}}
		b.connByServer[addr] = l
		b.conns.Add(l)
		b.tasks.Go(b.environment, l.run)
	}
	return l
}

// probe asks a server for a sign of life, dialling it if need be.
func (b *connPool) probe(addr string) {
	b.mu.Lock()
	if b.closed {
		b.mu.Unlock()
		return
	}
	l := b.connTo(addr)
	b.mu.Unlock()
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.established && !l.closed {
		l.lastTag++
		tag := l.lastTag
		l.writes.Enqueue(func(b []byte) []byte { return diskproto.Append(b, diskproto.KindProbe, tag, nil) })
	}
}

// refreshClocks asks servers whose clock was last heard a while ago for it.
func (b *connPool) refreshClocks() {
	b.mu.Lock()
	links := b.conns.All()
	b.mu.Unlock()
	for _, l := range links {
		l.mu.Lock()
		if now := float64(b.environment.Now()) / float64(time.Microsecond); now-l.clockReadAt > maxClockAge && l.established && !l.closed {
			l.lastTag++
			tag := l.lastTag
			l.writes.Enqueue(func(b []byte) []byte { return diskproto.Append(b, diskproto.KindProbe, tag, nil) })
		}
		l.mu.Unlock()
	}
}

// maxClockAge is the age at which a server's clock is asked for, us.
const maxClockAge = 400_000

// lastRead tells when a server last said anything on the connection that is open to it.
func (b *connPool) lastRead(addr string) (at time.Duration, open bool) {
	b.withConn(addr, func(l *serverConn) { at, open = l.lastReadAt, l.established && !l.closed && !l.retired })
	return at, open
}

func (l *serverConn) usable() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return !l.closed && !l.retired
}

func (l *serverConn) send(a *attempt) {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case l.closed:
		l.postFailure(a, policy.NoConnection)
	case l.established:
		l.begin(a)
		l.pool.host.flushAfterBatch(l.writes)
	default:
		l.waiting = append(l.waiting, a)
	}
}

// begin holds the attempt's frame for the write queue's next release. One that may not begin any
// more, for it waited for its connection, ends as never sent. Held: mu.
func (l *serverConn) begin(a *attempt) {
	if !a.mayBegin(env.MS(l.pool.environment.Now())) {
		l.postFailure(a, policy.NotSent)
		return
	}
	if !a.claim() {
		return // timed out while it waited
	}
	l.lastTag++
	if faultinject.Active(faultinject.TagReused) {
		l.lastTag %= 4
	}
	a.tag = l.lastTag
	l.outstanding[a.tag] = a
	do := a.job.message
	do.Attempt = uint16(a.number)
	do.Gen, do.Deadline = a.generation, l.serverDeadline(a.answerBy)
	if faultinject.Active(faultinject.DeadlineUnsaid) {
		do.Deadline += 60_000_000
	}
	if !l.writes.Buffer(func(b []byte) []byte { return diskproto.Append(b, diskproto.KindDo, a.tag, &do) }) {
		l.conn.Close() // the reader ends the rest
	}
}

// setClock takes the server's clock as heard at now. The server read it before: deadlines
// reckoned from it are early by the way back, never late. Held: mu.
func (l *serverConn) setClock(clock uint64, now time.Duration) {
	l.serverClock, l.clockReadAt = float64(clock), float64(now)/float64(time.Microsecond)
}

// serverDeadline is a time of this host's in the server's clock, no later however the two
// have drifted since it was heard. Held: mu.
func (l *serverConn) serverDeadline(until float64) uint64 {
	ahead := until*1000 - l.clockReadAt
	if d := l.pool.maxClockDrift; d > 0 && ahead > 0 {
		ahead *= (1 - d) / (1 + d)
	}
	return uint64(max(l.serverClock+ahead, 0))
}

// postFailure tells the host of an attempt's postFailure, unless the host ended one that has not gone out.
func (l *serverConn) postFailure(a *attempt, r policy.Result) {
	if (r == policy.NoConnection || r == policy.NotSent) && !a.drop() {
		return
	}
	l.pool.host.post(event{kind: eventAttemptFailed, attempt: a, result: r})
}

// run dials, greets and reads until the connection ends.
func (l *serverConn) run() {
	conn, err := l.pool.environment.Dial(l.pool.ctx, "tcp", l.addr, time.Duration(l.pool.dialTimeout.Load()))
	if err == nil {
		if k := l.pool.keys; k != nil {
			conn = tls.Client(conn, k.Client("")) // it greets with the first frame, within its time
		}
		err = l.serve(conn)
	}
	l.endAttempts()
	l.pool.log.Debug("disk server connection over", zap.String("node", l.addr), zap.Error(err))
}

func (l *serverConn) serve(conn net.Conn) error {
	out := writequeue.New(l.pool.environment, conn, maxQueuedWriteBytes, writeTimeout)
	defer out.Wait()
	defer out.Abort()
	l.mu.Lock()
	l.conn, l.writes = conn, out
	l.mu.Unlock()
	if l.pool.ctx.Err() != nil {
		return l.pool.ctx.Err()
	}
	r := diskproto.NewReader(bufio.NewReaderSize(conn, readBufferBytes))
	if err := l.handshake(conn, r); err != nil {
		return err
	}
	for {
		f, err := r.Next()
		if err != nil {
			return err
		}
		if err := l.handleFrame(f); err != nil {
			return err
		}
	}
}

// handshake exchanges Hello and Welcome within the dial time: a connection that opens
// and then hangs has carried nothing, and says so by NoConnection.
func (l *serverConn) handshake(conn net.Conn, r *diskproto.Reader) error {
	h := &diskproto.Hello{Oldest: diskproto.Oldest, Newest: diskproto.Version, Host: l.pool.hostID, Name: l.pool.hostName}
	l.writes.Enqueue(func(b []byte) []byte { return diskproto.Append(b, diskproto.KindHello, 0, h) })
	conn.SetReadDeadline(l.pool.environment.Deadline(time.Duration(l.pool.dialTimeout.Load())))
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
	now := l.pool.environment.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.setClock(w.Clock, now)
	l.established, l.lastReadAt = true, now
	for _, a := range l.waiting {
		l.begin(a)
	}
	l.writes.Flush()
	l.waiting = nil
	return nil
}

func (l *serverConn) handleFrame(f diskproto.Frame) error {
	l.mu.Lock()
	l.lastReadAt = l.pool.environment.Now()
	a := l.outstanding[f.Tag]
	if f.Kind == diskproto.KindAnswer {
		delete(l.outstanding, f.Tag)
	}
	if f.Kind == diskproto.KindBye {
		l.retired = true // what is out may still be answered
	}
	over := l.retired && len(l.outstanding) == 0
	l.mu.Unlock()
	if f.Kind == diskproto.KindProbed {
		var p diskproto.Probed
		if err := p.Parse(f.Body); err != nil {
			return err
		}
		l.mu.Lock()
		l.setClock(p.Clock, l.lastReadAt)
		l.mu.Unlock()
	}
	if f.Kind != diskproto.KindAnswer || a == nil {
		return errRetired.errorIf(over)
	}
	ans := &diskproto.Answer{}
	if err := ans.Parse(f.Body); err != nil {
		return err
	}
	if l.pool.maxClockDrift > 0 {
		l.mu.Lock()
		l.setClock(ans.Clock, l.lastReadAt)
		l.mu.Unlock()
	}
	e := event{kind: eventAnswered, attempt: a, answer: ans}
	if len(ans.Data) > 0 {
		e.buffer = l.pool.host.getBuffer()
		*e.buffer = append((*e.buffer)[:0], ans.Data...)
		ans.Data = *e.buffer
	}
	l.pool.host.post(e)
	return errRetired.errorIf(over)
}

// retiredError ends a connection to which nothing more goes.
type retiredError struct{}

var errRetired retiredError

func (retiredError) Error() string { return "gateway: connection retired" }

func (e retiredError) errorIf(over bool) error {
	if over {
		return e
	}
	return nil
}

// withConn runs f on the connection to a server, if there is one, under its lock.
func (b *connPool) withConn(addr string, f func(l *serverConn)) {
	b.mu.Lock()
	l := b.connByServer[addr]
	b.mu.Unlock()
	if l == nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	f(l)
}

// renewConns has every connection end once nothing is out on it: the next to each server is
// made with the keys that there are now.
func (b *connPool) renewConns() {
	b.mu.Lock()
	addrs := slices.Sorted(maps.Keys(b.connByServer))
	b.mu.Unlock()
	for _, a := range addrs {
		b.retire(a)
	}
}

// retire closes the connection to a server, as to one that has left, once it has nothing
// out.
func (b *connPool) retire(addr string) {
	b.withConn(addr, func(l *serverConn) {
		l.retired = true
		if l.established && len(l.outstanding) == 0 {
			l.conn.Close()
		}
	})
}

// endAttempts ends what the connection had: what waited has certainly not gone, what
// was sent may have run.
func (l *serverConn) endAttempts() {
	l.mu.Lock()
	l.closed = true
	waiting, open := l.waiting, l.outstanding
	l.waiting, l.outstanding = nil, nil
	l.mu.Unlock()
	l.pool.mu.Lock()
	l.pool.conns.Remove(l)
	if l.pool.connByServer[l.addr] == l {
		delete(l.pool.connByServer, l.addr)
	}
	l.pool.mu.Unlock()
	for _, a := range waiting {
		l.postFailure(a, policy.NoConnection)
	}
	for _, a := range sortedByTag(open) {
		l.postFailure(a, policy.ConnectionLost)
	}
}

// forget drops what has timed out, and closes a connection that seems half-open, or
// that only this attempt still kept: it may have another in its place already.
func (b *connPool) forget(a *attempt) {
	l := a.serverConn
	if l == nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.outstanding[a.tag] != a {
		return
	}
	delete(l.outstanding, a.tag)
	if l.retired && len(l.outstanding) == 0 || b.environment.Now()-l.lastReadAt > halfOpenTimeout {
		l.conn.Close()
	}
}

func (b *connPool) cancel(a *attempt) {
	l := a.serverConn
	if l == nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.established && l.outstanding[a.tag] == a {
		l.writes.Enqueue(func(b []byte) []byte { return diskproto.Append(b, diskproto.KindCancel, a.tag, nil) })
	}
}

// close ends every connection and waits for the goroutines.
func (b *connPool) close() {
	b.stop()
	b.mu.Lock()
	b.closed = true
	links := b.conns.All()
	b.mu.Unlock()
	for _, l := range links {
		l.mu.Lock()
		if l.conn != nil {
			l.conn.Close()
		}
		l.mu.Unlock()
	}
	b.tasks.Wait(b.environment)
}
