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

func newConnPool(w env.Environment, h *host, hostName string, dialTimeout time.Duration, log *zap.Logger) *connPool {
	p := &connPool{environment: w, host: h, hostID: w.RandomUint64(), hostName: hostName, log: log, connByServer: map[string]*serverConn{}}
	p.dialTimeout.Store(int64(dialTimeout))
	p.ctx, p.stop = context.WithCancel(context.Background())
	return p
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
func (p *connPool) send(a *attempt) {
	p.mu.Lock()
	if p.closed {
		p.mu.Unlock()
		return
	}
	sc := p.connTo(a.node)
	p.mu.Unlock()
	a.serverConn = sc
	sc.send(a)
}

// connTo is the connection to a server, a new one where there is none that can be used.
// Held: mu.
func (p *connPool) connTo(addr string) *serverConn {
	sc := p.connByServer[addr]
	if sc == nil || !sc.usable() {
		sc = &serverConn{pool: p, addr: addr, outstanding: map[uint32]*attempt{}}
		p.connByServer[addr] = sc
		p.conns.Add(sc)
		p.tasks.Go(p.environment, sc.run)
	}
	return sc
}

// probe asks a server for a sign of life, dialling it if need be.
func (p *connPool) probe(addr string) {
	p.mu.Lock()
	if p.closed {
		p.mu.Unlock()
		return
	}
	sc := p.connTo(addr)
	p.mu.Unlock()
	sc.mu.Lock()
	defer sc.mu.Unlock()
	if sc.established && !sc.closed {
		sc.lastTag++
		tag := sc.lastTag
		sc.writes.Enqueue(func(b []byte) []byte { return diskproto.Append(b, diskproto.KindProbe, tag, nil) })
	}
}

// refreshClocks asks servers whose clock was last heard a while ago for it.
func (p *connPool) refreshClocks() {
	p.mu.Lock()
	conns := p.conns.All()
	p.mu.Unlock()
	for _, sc := range conns {
		sc.mu.Lock()
		if nowMicros := float64(p.environment.Now()) / float64(time.Microsecond); nowMicros-sc.clockReadAt > maxClockAge && sc.established && !sc.closed {
			sc.lastTag++
			tag := sc.lastTag
			sc.writes.Enqueue(func(b []byte) []byte { return diskproto.Append(b, diskproto.KindProbe, tag, nil) })
		}
		sc.mu.Unlock()
	}
}

// maxClockAge is the age at which a server's clock is asked for, us.
const maxClockAge = 400_000

// lastRead tells when a server last said anything on the connection that is open to it.
func (p *connPool) lastRead(addr string) (at time.Duration, open bool) {
	p.withConn(addr, func(sc *serverConn) { at, open = sc.lastReadAt, sc.established && !sc.closed && !sc.retired })
	return at, open
}

func (sc *serverConn) usable() bool {
	sc.mu.Lock()
	defer sc.mu.Unlock()
	return !sc.closed && !sc.retired
}

func (sc *serverConn) send(a *attempt) {
	sc.mu.Lock()
	defer sc.mu.Unlock()
	switch {
	case sc.closed:
		sc.postFailure(a, policy.NoConnection)
	case sc.established:
		sc.begin(a)
		sc.pool.host.flushAfterBatch(sc.writes)
	default:
		sc.waiting = append(sc.waiting, a)
	}
}

// begin holds the attempt's frame for the write queue's next release. One that may not begin any
// more, for it waited for its connection, ends as never sent. Held: mu.
func (sc *serverConn) begin(a *attempt) {
	if !a.mayBegin(env.MS(sc.pool.environment.Now())) {
		sc.postFailure(a, policy.NotSent)
		return
	}
	if !a.claim() {
		return // timed out while it waited
	}
	sc.lastTag++
	if faultinject.Active(faultinject.TagReused) {
		sc.lastTag %= 4
	}
	a.tag = sc.lastTag
	sc.outstanding[a.tag] = a
	do := a.job.message
	do.Attempt = uint16(a.number)
	do.Gen, do.Deadline = a.generation, sc.serverDeadline(a.answerBy)
	if faultinject.Active(faultinject.DeadlineUnsaid) {
		do.Deadline += 60_000_000
	}
	if !sc.writes.Buffer(func(b []byte) []byte { return diskproto.Append(b, diskproto.KindDo, a.tag, &do) }) {
		sc.conn.Close() // the reader ends the rest
	}
}

// setClock takes the server's clock as heard at now. The server read it before: deadlines
// reckoned from it are early by the way back, never late. Held: mu.
func (sc *serverConn) setClock(clock uint64, now time.Duration) {
	sc.serverClock, sc.clockReadAt = float64(clock), float64(now)/float64(time.Microsecond)
}

// serverDeadline is a time of this host's in the server's clock, no later however the two
// have drifted since it was heard. Held: mu.
func (sc *serverConn) serverDeadline(deadline float64) uint64 {
	remaining := deadline*1000 - sc.clockReadAt
	if d := sc.pool.maxClockDrift; d > 0 && remaining > 0 {
		remaining *= (1 - d) / (1 + d)
	}
	return uint64(max(sc.serverClock+remaining, 0))
}

// postFailure tells the host of an attempt's postFailure, unless the host ended one that has not gone out.
func (sc *serverConn) postFailure(a *attempt, result policy.Result) {
	if (result == policy.NoConnection || result == policy.NotSent) && !a.drop() {
		return
	}
	sc.pool.host.post(event{kind: eventAttemptFailed, attempt: a, result: result})
}

// run dials, greets and reads until the connection ends.
func (sc *serverConn) run() {
	conn, err := sc.pool.environment.Dial(sc.pool.ctx, "tcp", sc.addr, time.Duration(sc.pool.dialTimeout.Load()))
	if err == nil {
		if keyHolder := sc.pool.keys; keyHolder != nil {
			conn = tls.Client(conn, keyHolder.Client("")) // it greets with the first frame, within its time
		}
		err = sc.serve(conn)
	}
	sc.endAttempts()
	sc.pool.log.Debug("disk server connection over", zap.String("node", sc.addr), zap.Error(err))
}

func (sc *serverConn) serve(conn net.Conn) error {
	writes := writequeue.New(sc.pool.environment, conn, maxQueuedWriteBytes, writeTimeout)
	defer writes.Wait()
	defer writes.Abort()
	sc.mu.Lock()
	sc.conn, sc.writes = conn, writes
	sc.mu.Unlock()
	if sc.pool.ctx.Err() != nil {
		return sc.pool.ctx.Err()
	}
	reader := diskproto.NewReader(bufio.NewReaderSize(conn, readBufferBytes))
	if err := sc.handshake(conn, reader); err != nil {
		return err
	}
	for {
		frame, err := reader.Next()
		if err != nil {
			return err
		}
		if err := sc.handleFrame(frame); err != nil {
			return err
		}
	}
}

// handshake exchanges Hello and Welcome within the dial time: a connection that opens
// and then hangs has carried nothing, and says so by NoConnection.
func (sc *serverConn) handshake(conn net.Conn, reader *diskproto.Reader) error {
	hello := &diskproto.Hello{Oldest: diskproto.Oldest, Newest: diskproto.Version, Host: sc.pool.hostID, Name: sc.pool.hostName}
	sc.writes.Enqueue(func(b []byte) []byte { return diskproto.Append(b, diskproto.KindHello, 0, hello) })
	conn.SetReadDeadline(sc.pool.environment.Deadline(time.Duration(sc.pool.dialTimeout.Load())))
	frame, err := reader.Next()
	if err != nil {
		return err
	}
	var welcome diskproto.Welcome
	if frame.Kind != diskproto.KindWelcome {
		return &diskproto.FrameError{Reason: "no welcome"}
	}
	if err := welcome.Parse(frame.Body); err != nil {
		return err
	}
	if welcome.Version == 0 {
		return &diskproto.FrameError{Reason: "no common version"}
	}
	conn.SetReadDeadline(time.Time{})
	now := sc.pool.environment.Now()
	sc.mu.Lock()
	defer sc.mu.Unlock()
	sc.setClock(welcome.Clock, now)
	sc.established, sc.lastReadAt = true, now
	for _, a := range sc.waiting {
		sc.begin(a)
	}
	sc.writes.Flush()
	sc.waiting = nil
	return nil
}

func (sc *serverConn) handleFrame(frame diskproto.Frame) error {
	sc.mu.Lock()
	sc.lastReadAt = sc.pool.environment.Now()
	a := sc.outstanding[frame.Tag]
	if frame.Kind == diskproto.KindAnswer {
		delete(sc.outstanding, frame.Tag)
	}
	if frame.Kind == diskproto.KindBye {
		sc.retired = true // what is out may still be answered
	}
	finished := sc.retired && len(sc.outstanding) == 0
	sc.mu.Unlock()
	if frame.Kind == diskproto.KindProbed {
		var probed diskproto.Probed
		if err := probed.Parse(frame.Body); err != nil {
			return err
		}
		sc.mu.Lock()
		sc.setClock(probed.Clock, sc.lastReadAt)
		sc.mu.Unlock()
	}
	if frame.Kind != diskproto.KindAnswer || a == nil {
		return errRetired.errorIf(finished)
	}
	answer := &diskproto.Answer{}
	if err := answer.Parse(frame.Body); err != nil {
		return err
	}
	if sc.pool.maxClockDrift > 0 {
		sc.mu.Lock()
		sc.setClock(answer.Clock, sc.lastReadAt)
		sc.mu.Unlock()
	}
	e := event{kind: eventAnswered, attempt: a, answer: answer}
	if len(answer.Data) > 0 {
		e.buffer = sc.pool.host.getBuffer()
		*e.buffer = append((*e.buffer)[:0], answer.Data...)
		answer.Data = *e.buffer
	}
	sc.pool.host.post(e)
	return errRetired.errorIf(finished)
}

// retiredError ends a connection to which nothing more goes.
type retiredError struct{}

var errRetired retiredError

func (retiredError) Error() string { return "gateway: connection retired" }

func (e retiredError) errorIf(condition bool) error {
	if condition {
		return e
	}
	return nil
}

// withConn runs f on the connection to a server, if there is one, under its lock.
func (p *connPool) withConn(addr string, f func(sc *serverConn)) {
	p.mu.Lock()
	sc := p.connByServer[addr]
	p.mu.Unlock()
	if sc == nil {
		return
	}
	sc.mu.Lock()
	defer sc.mu.Unlock()
	f(sc)
}

// renewConns has every connection end once nothing is out on it: the next to each server is
// made with the keys that there are now.
func (p *connPool) renewConns() {
	p.mu.Lock()
	addrs := slices.Sorted(maps.Keys(p.connByServer))
	p.mu.Unlock()
	for _, addr := range addrs {
		p.retire(addr)
	}
}

// retire closes the connection to a server, as to one that has left, once it has nothing
// out.
func (p *connPool) retire(addr string) {
	p.withConn(addr, func(sc *serverConn) {
		sc.retired = true
		if sc.established && len(sc.outstanding) == 0 {
			sc.conn.Close()
		}
	})
}

// endAttempts ends what the connection had: what waited has certainly not gone, what
// was sent may have run.
func (sc *serverConn) endAttempts() {
	sc.mu.Lock()
	sc.closed = true
	waiting, outstanding := sc.waiting, sc.outstanding
	sc.waiting, sc.outstanding = nil, nil
	sc.mu.Unlock()
	sc.pool.mu.Lock()
	sc.pool.conns.Remove(sc)
	if sc.pool.connByServer[sc.addr] == sc {
		delete(sc.pool.connByServer, sc.addr)
	}
	sc.pool.mu.Unlock()
	for _, a := range waiting {
		sc.postFailure(a, policy.NoConnection)
	}
	for _, a := range sortedByTag(outstanding) {
		sc.postFailure(a, policy.ConnectionLost)
	}
}

// attemptTimedOut drops what has timed out, and closes a connection that seems half-open, or
// that only this attempt still kept: it may have another in its place already.
func (p *connPool) attemptTimedOut(a *attempt) {
	sc := a.serverConn
	if sc == nil {
		return
	}
	sc.mu.Lock()
	defer sc.mu.Unlock()
	if sc.outstanding[a.tag] != a {
		return
	}
	delete(sc.outstanding, a.tag)
	if sc.retired && len(sc.outstanding) == 0 || p.environment.Now()-sc.lastReadAt > halfOpenTimeout {
		sc.conn.Close()
	}
}

func (p *connPool) cancel(a *attempt) {
	sc := a.serverConn
	if sc == nil {
		return
	}
	sc.mu.Lock()
	defer sc.mu.Unlock()
	if sc.established && sc.outstanding[a.tag] == a {
		sc.writes.Enqueue(func(b []byte) []byte { return diskproto.Append(b, diskproto.KindCancel, a.tag, nil) })
	}
}

// close ends every connection and waits for the goroutines.
func (p *connPool) close() {
	p.stop()
	p.mu.Lock()
	p.closed = true
	conns := p.conns.All()
	p.mu.Unlock()
	for _, sc := range conns {
		sc.mu.Lock()
		if sc.conn != nil {
			sc.conn.Close()
		}
		sc.mu.Unlock()
	}
	p.tasks.Wait(p.environment)
}
