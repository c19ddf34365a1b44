package gateway

import (
	"bufio"
	"context"
	"crypto/tls"
	"maps"
	"net"
	"slices"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"merlinhitch/internal/control/keys"
	"merlinhitch/internal/protocol/diskproto"
	"merlinhitch/internal/runtime/env"
	"merlinhitch/internal/runtime/locks"
	"merlinhitch/internal/runtime/writequeue"
	"merlinhitch/internal/simulation/faultinject"
	"merlinhitch/policy"
)

// connPool keeps one connection to each disk server in use, sends attempts on it and posts their
// outcomes to the host. The methods send, cancel and attemptTimedOut are called on the host's
// goroutine.
type connPool struct {
	environment   env.Environment
	host          *host
	hostID        uint64
	hostName      string
	dialTimeout   atomic.Int64      // ns, for the connect and for the handshake
	keys          *keys.Credentials // nil: connections to disk servers are not encrypted
	maxClockDrift float64           // fraction by which a clock may run fast or slow; 0: drift is ignored
	log           *zap.Logger

	mu           locks.Mutex
	connByServer map[string]*serverConn      // current connection, by address
	conns        env.OrderedSet[*serverConn] // all that have not ended, retired ones included
	closed       bool
	tasks        env.WaitGroup
	ctx          context.Context
	stop         context.CancelFunc
}

const (
	maxQueuedWriteBytes = 64 << 20 // twice the policy's depth times the largest write
	writeTimeout        = 5 * time.Second
	readBufferBytes     = 256 << 10 // large, since all answers of a server come on one connection
	// halfOpenTimeout is the time without input after which a connection is taken for
	// half-open and closed when an attempt on it times out.
	halfOpenTimeout = 2 * time.Second
)

func newConnPool(w env.Environment, h *host, hostName string, dialTimeout time.Duration, log *zap.Logger) *connPool {
	p := &connPool{environment: w, host: h, hostID: w.RandomUint64(), hostName: hostName, log: log, connByServer: map[string]*serverConn{}}
	p.dialTimeout.Store(int64(dialTimeout))
	p.ctx, p.stop = context.WithCancel(context.Background())
	return p
}

// serverConn is one connection to a disk server, from the start of its dial. It is not dialled
// again; a new serverConn replaces one that has ended.
type serverConn struct {
	pool *connPool
	addr string

	mu          locks.Mutex
	established bool // the handshake is complete
	closed      bool
	retired     bool // it gets no new attempts and is closed when none is outstanding
	conn        net.Conn
	writes      *writequeue.Queue
	waiting     []*attempt          // for the handshake, or for the end of the write in progress
	outstanding map[uint32]*attempt // sent, neither answered nor timed out, by tag
	lastTag     uint32
	lastReadAt  time.Duration
	serverClock float64 // us, as last received; a lower bound of the server's clock at clockReadAt
	clockReadAt float64 // us, on the host's clock
}

// send passes an attempt to its server's connection, which is dialled if need be. It does not
// block on the network.
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

// connTo returns the usable connection to a server, or a new one. The caller holds mu.
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

// probe sends a server a probe. If it has no established connection, one is dialled if necessary, and
// the handshake serves as the probe.
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

// refreshClocks probes servers whose clock was not received within maxClockAge.
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

// maxClockAge is the age, us, from which a server is asked for its clock again.
const maxClockAge = 400_000

// lastRead returns when the last frame from a server arrived, and whether its connection is
// established and not retired.
func (p *connPool) lastRead(addr string) (readAt time.Duration, open bool) {
	p.withConn(addr, func(sc *serverConn) { readAt, open = sc.lastReadAt, sc.established && !sc.closed && !sc.retired })
	return readAt, open
}

// usable reports whether the connection takes new attempts, now or once it is established.
func (sc *serverConn) usable() bool {
	sc.mu.Lock()
	defer sc.mu.Unlock()
	return !sc.closed && !sc.retired
}

// send begins an attempt, or keeps it until the handshake is complete and no write is in progress. An
// attempt that began while a slow server does not read would be sent later whatever had happened to
// its request meanwhile.
func (sc *serverConn) send(a *attempt) {
	sc.mu.Lock()
	defer sc.mu.Unlock()
	switch {
	case sc.closed:
		sc.postFailure(a, policy.NoConnection)
	case sc.established && len(sc.waiting) == 0 && !sc.writes.Writing():
		sc.begin(a)
		sc.pool.host.flushAfterBatch(sc.writes)
	default:
		sc.waiting = append(sc.waiting, a)
	}
}

// beginWaiting begins the attempts that waited for the end of a write. The write queue calls it when
// all that was buffered is written.
func (sc *serverConn) beginWaiting() {
	sc.mu.Lock()
	defer sc.mu.Unlock()
	if !sc.established || sc.closed {
		return // the handshake begins them, or endAttempts ends them
	}
	for _, a := range sc.waiting {
		if sc.retired {
			sc.postFailure(a, policy.NotSent)
			continue
		}
		sc.begin(a)
	}
	sc.waiting = nil
	sc.writes.Flush()
}

// begin buffers the attempt's frame; the caller flushes the write queue. An attempt past its
// deadline, or whose job ended while it waited, ends as not sent. The caller holds mu.
func (sc *serverConn) begin(a *attempt) {
	if !a.mayBegin(env.MS(sc.pool.environment.Now())) {
		sc.postFailure(a, policy.NotSent)
		return
	}
	if !a.claim() {
		return // the host ended it while it waited
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
		sc.conn.Close() // run then ends the attempts
	}
}

// setClock records the server's clock as received at now. Deadlines computed from it are early by
// the latency of the message, never late. The caller holds mu.
func (sc *serverConn) setClock(clock uint64, now time.Duration) {
	sc.serverClock, sc.clockReadAt = float64(clock), float64(now)/float64(time.Microsecond)
}

// serverDeadline converts a time in ms on the host's clock to us on the server's, scaled so that
// drift of the two clocks never makes it later. The caller holds mu.
func (sc *serverConn) serverDeadline(deadline float64) uint64 {
	remaining := deadline*1000 - sc.clockReadAt
	if d := sc.pool.maxClockDrift; d > 0 && remaining > 0 {
		remaining *= (1 - d) / (1 + d)
	}
	return uint64(max(sc.serverClock+remaining, 0))
}

// postFailure posts the outcome of an attempt without an answer. An unsent attempt that the host
// ended first is skipped.
func (sc *serverConn) postFailure(a *attempt, result policy.Result) {
	if (result == policy.NoConnection || result == policy.NotSent) && !a.drop() {
		return
	}
	sc.pool.host.post(event{kind: eventAttemptFailed, attempt: a, result: result})
}

// run dials the server and reads from it until the connection ends.
func (sc *serverConn) run() {
	conn, err := sc.pool.environment.Dial(sc.pool.ctx, "tcp", sc.addr, time.Duration(sc.pool.dialTimeout.Load()))
	if err == nil {
		if keyHolder := sc.pool.keys; keyHolder != nil {
			conn = tls.Client(conn, keyHolder.ClientConfig("")) // the TLS handshake runs with the first frame, within the dial timeout
		}
		err = sc.serve(conn)
	}
	sc.endAttempts()
	sc.pool.log.Debug("disk server connection over", zap.String("node", sc.addr), zap.Error(err))
}

func (sc *serverConn) serve(conn net.Conn) error {
	writes := writequeue.New(sc.pool.environment, conn, maxQueuedWriteBytes, writeTimeout)
	writes.OnIdle = sc.beginWaiting
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

// handshake exchanges Hello and Welcome within the dial timeout. Attempts are sent only after it,
// so that those on a connection which opens and then hangs end with NoConnection.
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
		return &diskproto.FrameError{Reason: "first frame is not Welcome"}
	}
	if err := welcome.Parse(frame.Body); err != nil {
		return err
	}
	if welcome.Version == 0 {
		return &diskproto.FrameError{Reason: "no protocol version in common"}
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

// handleFrame handles one frame from the server. It returns errRetired if the connection was retired
// and has no outstanding attempt left.
func (sc *serverConn) handleFrame(frame diskproto.Frame) error {
	sc.mu.Lock()
	sc.lastReadAt = sc.pool.environment.Now()
	a := sc.outstanding[frame.Tag]
	if frame.Kind == diskproto.KindAnswer {
		delete(sc.outstanding, frame.Tag)
	}
	if frame.Kind == diskproto.KindBye {
		sc.retired = true // outstanding attempts may still be answered
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

// retiredError is the type of errRetired, which ends the reading of a retired connection.
type retiredError struct{}

var errRetired retiredError

func (retiredError) Error() string { return "gateway: connection retired" }

// errorIf returns e if condition holds, else nil.
func (e retiredError) errorIf(condition bool) error {
	if condition {
		return e
	}
	return nil
}

// withConn calls f with the connection to a server locked. It does nothing if there is none.
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

// renewConns retires every connection, so that its successor uses the current keys.
func (p *connPool) renewConns() {
	p.mu.Lock()
	addrs := slices.Sorted(maps.Keys(p.connByServer))
	p.mu.Unlock()
	for _, addr := range addrs {
		p.retire(addr)
	}
}

// retire closes the connection to a server once it has no outstanding attempt.
func (p *connPool) retire(addr string) {
	p.withConn(addr, func(sc *serverConn) {
		sc.retired = true
		if sc.established && len(sc.outstanding) == 0 {
			sc.conn.Close()
		}
	})
}

// endAttempts removes an ended connection from the pool and ends its attempts: those that waited
// were certainly not sent, the outstanding ones may have been executed. The end of a retired
// connection says nothing of the disk server.
func (sc *serverConn) endAttempts() {
	sc.mu.Lock()
	sc.closed = true
	waiting, outstanding := sc.waiting, sc.outstanding
	waitingResult := policy.NoConnection
	if sc.established && sc.retired {
		waitingResult = policy.NotSent
	}
	sc.waiting, sc.outstanding = nil, nil
	sc.mu.Unlock()
	sc.pool.mu.Lock()
	sc.pool.conns.Remove(sc)
	if sc.pool.connByServer[sc.addr] == sc {
		delete(sc.pool.connByServer, sc.addr)
	}
	sc.pool.mu.Unlock()
	for _, a := range waiting {
		sc.postFailure(a, waitingResult)
	}
	for _, a := range sortedByTag(outstanding) {
		sc.postFailure(a, policy.ConnectionLost)
	}
}

// attemptTimedOut removes an attempt from its connection, which it closes if that seems half-open
// or was retired and has no other outstanding attempt.
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

// cancel asks the server to cancel an attempt that was sent.
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

// close ends all connections and waits for their goroutines.
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
