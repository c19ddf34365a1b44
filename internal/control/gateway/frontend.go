package gateway

import (
	"bufio"
	"errors"
	"io"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"merlinhitch/internal/control/settings"
	"merlinhitch/internal/protocol/iscsi"
	"merlinhitch/internal/protocol/scsi"
	"merlinhitch/internal/runtime/env"
	"merlinhitch/internal/runtime/locks"
	"merlinhitch/internal/runtime/writequeue"
	"merlinhitch/internal/storage/reserve"
)

// activeSettings is one version of the settings with the lookups that the frontend needs. It
// is replaced as a whole: commands accepted under a version are completed under it.
type activeSettings struct {
	*settings.Settings
	unitsByTarget map[string]*logicalUnit // volumes that this host serves, by target name
	hostCounts    map[string]int          // by volume name: hosts that share its limit with this one (settings.Through)
}

// logicalUnit is a volume with its SCSI description.
type logicalUnit struct {
	volume *settings.Volume
	disk   *scsi.Disk
}

func newActiveSettings(s *settings.Settings, hostIndex int) *activeSettings {
	s = s.Effective()
	active := &activeSettings{Settings: s, unitsByTarget: map[string]*logicalUnit{}, hostCounts: map[string]int{}}
	for i := range s.Volumes {
		volume := &s.Volumes[i]
		if slices.Contains(volume.Hosts, hostIndex) {
			active.unitsByTarget[s.TargetName(volume)] = &logicalUnit{volume, volume.Disk()}
			active.hostCounts[volume.Name] = s.HostCount(hostIndex, volume)
		}
	}
	return active
}

// frontend owns the listener for initiators and their connections.
type frontend struct {
	environment env.Environment
	host        *host
	log         *zap.Logger
	listener    net.Listener
	settings    atomic.Pointer[activeSettings]
	// settingsMu is read-locked while a command's requests are built and submitted to the
	// core, and write-locked while frontend and core get new settings, so that all requests
	// of a command are handled under one version. Locks are taken in the order conn.mu,
	// settingsMu, reservationCache.mu: a reader that holds a later one can be blocked by a
	// waiting writer for ever.
	settingsMu    locks.RWMutex
	memoryBytes   atomic.Int64 // data buffers of commands and unsent PDUs
	openRequests  atomic.Int64 // requests submitted to the core that have not ended
	nextTSIH      atomic.Uint32
	nextResponder atomic.Uint32 // counts connections, for round-robin assignment to responders
	reservations  *reservationCache
	responders    []*responder // empty: the host's goroutine sends the responses

	mu       locks.Mutex
	conns    env.OrderedSet[*conn]
	sessions map[sessionKey]*conn
	stopping bool
	tasks    env.WaitGroup
}

// sessionKey identifies a session. A login with the key of an open session replaces it
// (session reinstatement, RFC 7143 section 6.3.5).
type sessionKey struct {
	initiator, target string
	isid              iscsi.ISID
}

const (
	clientReadBufferBytes = 4 << 10
	maxLoginDataSegment   = iscsi.MaxText // limit of a data segment until the login has ended, bytes
	maxRecvDataSegment    = 256 << 10     // declared MaxRecvDataSegmentLength, bytes
	maxTransferBytes      = 1 << 20       // limit of a command's data and of a burst, bytes
	// clientWriteLimit bounds the bytes that are queued for one client, beyond which its
	// connection is closed. It is enough for a window of small reads or a few large ones.
	clientWriteLimit = 16 << 20
)

func newFrontend(environment env.Environment, h *host, active *activeSettings, listener net.Listener, log *zap.Logger) *frontend {
	f := &frontend{environment: environment, host: h, log: log, listener: listener, sessions: map[sessionKey]*conn{}}
	f.reservations, f.responders = newReservationCache(f), newResponders(h)
	f.settings.Store(active)
	f.nextTSIH.Store(uint32(environment.RandomUint64()))
	f.tasks.Go(environment, f.accept)
	return f
}

func (f *frontend) accept() {
	for {
		netConn, err := f.listener.Accept()
		if err != nil {
			return
		}
		f.mu.Lock()
		full := f.conns.Len() >= f.settings.Load().Target.MaxSessions
		if f.stopping || full {
			f.mu.Unlock()
			netConn.Close()
			if full {
				f.log.Warn("connection refused: too many", zap.Stringer("peer", netConn.RemoteAddr()))
			}
			continue
		}
		c := newConn(f, netConn)
		f.conns.Add(c)
		f.tasks.Go(f.environment, c.run)
		f.mu.Unlock()
	}
}

// applySettings applies settings to the frontend and the core, for commands accepted from now on.
func (f *frontend) applySettings(s *settings.Settings) {
	f.settingsMu.Lock()
	defer f.settingsMu.Unlock()
	f.host.pool.dialTimeout.Store(int64(env.Duration(s.Limits.DialTimeout)))
	f.host.post(event{kind: eventSettings, settings: s})
	f.settings.Store(newActiveSettings(s, f.host.hostIndex))
}

// reserveMemory accounts for a command's data. It returns false if that would exceed the
// configured memory.
func (f *frontend) reserveMemory(bytes int) bool {
	if f.memoryBytes.Add(int64(bytes)) <= int64(f.settings.Load().Target.MemoryBytes) {
		return true
	}
	f.memoryBytes.Add(-int64(bytes))
	return false
}

func (f *frontend) releaseMemory(bytes int) { f.memoryBytes.Add(-int64(bytes)) }

// segmentPool holds buffers of maxRecvDataSegment bytes for data segments that are being read.
var segmentPool = sync.Pool{New: func() any { return new([maxRecvDataSegment]byte) }}

// allocateSegment returns a buffer for a data segment of n bytes, nil if the memory is used up. A whole
// buffer is accounted for.
func (f *frontend) allocateSegment(n int) []byte {
	if !f.reserveMemory(maxRecvDataSegment) {
		return nil
	}
	return segmentPool.Get().(*[maxRecvDataSegment]byte)[:n]
}

func (f *frontend) freeSegment(segment []byte) {
	f.releaseMemory(maxRecvDataSegment)
	segmentPool.Put((*[maxRecvDataSegment]byte)(segment[:maxRecvDataSegment]))
}

// registerSession makes c the connection of its session and returns the one it replaces, which
// the caller must abort and wait for.
func (f *frontend) registerSession(key sessionKey, c *conn) (replaced *conn) {
	f.mu.Lock()
	defer f.mu.Unlock()
	replaced = f.sessions[key]
	f.sessions[key] = c
	return replaced
}

func (f *frontend) removeConn(c *conn) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.conns.Remove(c)
	if c.key != (sessionKey{}) && f.sessions[c.key] == c {
		delete(f.sessions, c.key)
	}
}

func (f *frontend) allConns() []*conn {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.conns.All()
}

// conn is a connection of an initiator. A session has exactly one connection.
type conn struct {
	frontend      *frontend
	netConn       net.Conn
	out           *writequeue.Queue
	log           *zap.Logger
	key           sessionKey // zero in a discovery session; set before the session is registered
	initiatorPort reserve.Nexus
	responder     *responder   // sends the responses; nil: the host's goroutine does
	logicalUnit   *logicalUnit // as of the login; nil in a discovery session
	ended         env.Gate

	mu                locks.Mutex
	session           *iscsi.Session
	digests           iscsi.Digests
	tsih              uint16
	closed            bool
	pingTimer         env.Timer
	receivedSincePing bool
	batching          bool        // sendPDU leaves the flush of out to its caller
	unitAttention     *scsi.Sense // pending condition, reported to the next command that takes it
	closeAfterFlush   bool        // queued PDUs are still written before the connection is closed
}

func newConn(f *frontend, netConn net.Conn) *conn {
	c := &conn{frontend: f, netConn: netConn, log: f.log.With(zap.Stringer("peer", netConn.RemoteAddr()))}
	if n := uint32(len(f.responders)); n > 0 {
		c.responder = f.responders[f.nextResponder.Add(1)%n]
	}
	c.out = writequeue.New(f.environment, netConn, clientWriteLimit, env.Duration(f.settings.Load().Target.WriteTimeout))
	c.out.OnBytesChanged = func(delta int) { f.memoryBytes.Add(int64(delta)) }
	return c
}

func (c *conn) run() {
	reader := iscsi.NewReader(bufio.NewReaderSize(c.netConn, clientReadBufferBytes), maxLoginDataSegment)
	reader.Allocate, reader.Free = c.frontend.allocateSegment, c.frontend.freeSegment
	defer reader.Close()
	err := c.login(reader)
	if err == nil {
		reader.MaxData = maxRecvDataSegment
		err = c.serveFullFeature(reader)
	}
	if err != nil && !errors.Is(err, io.EOF) && !errors.Is(err, net.ErrClosed) {
		c.log.Info("session over", zap.Error(err))
	}
	c.close()
	c.out.Wait()
	c.frontend.removeConn(c)
	c.ended.Open()
}

// sendPDU queues a PDU and, unless responses are being batched, starts to write it. mu is held.
func (c *conn) sendPDU(pdu *iscsi.PDU) {
	c.out.Buffer(func(b []byte) []byte { return pdu.Append(b, c.digests) })
	if !c.batching {
		c.out.Flush()
	}
}

// login runs the login phase, which must end within the configured time.
func (c *conn) login(reader *iscsi.Reader) error {
	active := c.frontend.settings.Load()
	c.netConn.SetReadDeadline(c.frontend.environment.Deadline(env.Duration(active.Target.LoginTimeout)))
	login := iscsi.NewLogin(c.targetPolicy(active), c.assignTSIH)
	for {
		pdu, err := reader.Next()
		if err != nil {
			return err
		}
		reply, done, err := login.Handle(pdu)
		if done {
			c.beginFullFeature(active, login)
		}
		c.mu.Lock()
		c.sendPDU(reply)
		c.mu.Unlock()
		if err != nil {
			c.closeWhenFlushed()
			return err
		}
		if done {
			break
		}
	}
	c.netConn.SetReadDeadline(time.Time{})
	params := login.Params()
	c.mu.Lock()
	c.digests = iscsi.Digests{Header: params.HeaderDigest, Data: params.DataDigest}
	c.mu.Unlock()
	reader.Digests = c.digests
	return nil
}

// assignTSIH assigns the target session identifying handle; 0 is reserved for new sessions.
func (c *conn) assignTSIH() uint16 {
	for {
		if tsih := uint16(c.frontend.nextTSIH.Add(1)); tsih != 0 {
			c.tsih = tsih
			return tsih
		}
	}
}

func (c *conn) targetPolicy(active *activeSettings) *iscsi.TargetPolicy {
	params := iscsi.DefaultParams()
	params.MaxRecv, params.MaxBurst, params.FirstBurst, params.InitialR2T, params.MaxR2T = maxRecvDataSegment, maxTransferBytes, maxRecvDataSegment, false, 4
	policy := &iscsi.TargetPolicy{Params: params, Window: uint32(active.Target.CommandWindow), PortalGroup: 1,
		Random: func(b []byte) { env.FillRandom(c.frontend.environment, b) },
		Admit: func(_, target string) iscsi.LoginStatus {
			if target != "" && active.unitsByTarget[target] == nil {
				return iscsi.LoginNotFound
			}
			return iscsi.LoginOK
		}}
	if len(active.Target.Chap) > 0 {
		policy.Secret = func(user string) (string, bool) {
			i := slices.IndexFunc(active.Target.Chap, func(chap settings.Chap) bool { return chap.User == user })
			if i < 0 {
				return "no such user: no secret is this long", false // hashed nevertheless, so that the time does not reveal unknown users
			}
			return active.Target.Chap[i].Secret, true
		}
	}
	if mutual := active.Target.Mutual; mutual != nil {
		policy.Mutual = iscsi.Credentials{User: mutual.User, Secret: mutual.Secret}
	}
	return policy
}

// beginFullFeature enters the full feature phase, once a session that this one replaces has
// ended with all its tasks.
func (c *conn) beginFullFeature(active *activeSettings, login *iscsi.Login) {
	c.logicalUnit = active.unitsByTarget[login.Target]
	if !login.Discovery {
		c.key = sessionKey{login.Initiator, login.Target, login.ISID}
		c.initiatorPort = nexusOf(c.key, c.frontend.host.hostIndex)
		if replaced := c.frontend.registerSession(c.key, c); replaced != nil {
			replaced.log.Info("session reinstated by a new login")
			replaced.out.Abort()
			replaced.ended.Wait(c.frontend.environment)
		}
		c.log = c.log.With(zap.String("volume", c.logicalUnit.volume.Name), zap.Uint16("session", login.TSIH))
	}
	session := login.Session()
	session.Out, session.Reserve, session.Release, session.MaxTransfer = c.sendPDU, c.frontend.reserveMemory, c.frontend.releaseMemory, maxTransferBytes
	session.Targets = func(name string) []iscsi.Key { return c.sendTargets(active, name) }
	c.mu.Lock()
	defer c.mu.Unlock()
	c.session, c.receivedSincePing = session, true
	c.schedulePing(active)
}

// sendTargets returns the answer to a SendTargets request: the targets that this host serves.
func (c *conn) sendTargets(active *activeSettings, name string) []iscsi.Key {
	var names []string
	for t := range active.unitsByTarget {
		if name == "All" || name == t {
			names = append(names, t)
		}
	}
	if name == "" && c.logicalUnit != nil {
		names = []string{active.TargetName(c.logicalUnit.volume)}
	}
	slices.Sort(names)
	var keys []iscsi.Key
	for _, t := range names {
		keys = append(keys, iscsi.Key{Name: "TargetName", Value: t},
			iscsi.Key{Name: "TargetAddress", Value: c.netConn.LocalAddr().String() + ",1"})
	}
	return keys
}

// schedulePing checks after each ping interval whether the client has sent anything. If not, it
// pings the client, or closes the connection if the previous ping is still unanswered. mu is held.
func (c *conn) schedulePing(active *activeSettings) {
	if c.closed {
		return
	}
	interval := env.Duration(active.Target.PingInterval)
	c.pingTimer = c.frontend.environment.AfterFunc(interval, func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		if !c.receivedSincePing && !c.session.Ping() {
			c.log.Info("closed: no sign of life")
			c.out.Abort()
			return
		}
		c.receivedSincePing = false
		c.schedulePing(active)
	})
}

func (c *conn) serveFullFeature(reader *iscsi.Reader) error {
	for {
		pdu, err := reader.Next()
		var digestErr *iscsi.DataDigestError
		if errors.As(err, &digestErr) {
			c.rejectDataDigest(pdu)
			c.closeWhenFlushed()
			return err
		}
		if err != nil {
			return err
		}
		stop, err := c.handlePDU(pdu)
		if err != nil || stop {
			c.closeWhenFlushed()
			return err
		}
		env.Yield() // an initiator that sends all the time must not keep others from their turn
	}
}

func (c *conn) rejectDataDigest(pdu *iscsi.PDU) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.session.Reject(pdu, iscsi.RejectDataDigest)
}

// closeWhenFlushed closes the connection once the queued PDUs are written.
func (c *conn) closeWhenFlushed() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closeAfterFlush = true
	c.out.Finish()
}

// handlePDU processes one PDU. Its commands and aborts are passed on before mu is released, so
// that the core receives a session's commands in order. stop reports a logout.
func (c *conn) handlePDU(pdu *iscsi.PDU) (stop bool, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.receivedSincePing = true
	c.session.Now = env.MS(c.frontend.environment.Now())
	events, err := c.session.Handle(pdu)
	for _, e := range events {
		switch {
		case e.Ready != nil:
			c.handleCommand(e.Ready)
		case e.Abort != nil:
			c.handleAbort(e.Abort)
		case e.Logout:
			stop = true
		}
	}
	if pdu.Opcode() == iscsi.OpCommand && err == nil {
		c.limitDataWait(pdu.ITT())
	}
	return stop, err
}

// limitDataWait fails a command whose write data is not complete by its class's deadline. None of
// it was sent to a disk server, so the failure is certain.
func (c *conn) limitDataWait(itt uint32) {
	task := c.session.Task(itt)
	if task == nil || task.Delivered() || c.logicalUnit == nil {
		return
	}
	active := c.frontend.settings.Load()
	class := active.Class(scsi.Write, int(task.Length), c.currentOrLoginUnit(active).volume.Plan)
	if class == nil {
		return
	}
	c.frontend.environment.AfterFunc(env.Duration(class.Deadline), func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		if !c.closed && c.session.Task(itt) == task && !task.Delivered() {
			c.session.Expire(task, iscsi.Answer{Status: scsi.CheckCondition, Sense: scsi.CommandAborted.Fixed()})
		}
	})
}

// handleAbort performs a task management function, whose tasks have already left the session.
// Its response is sent once none of them can take effect any more. mu is held.
func (c *conn) handleAbort(abort *iscsi.Abort) {
	wait := &abortWait{conn: c, abort: abort, pending: 1}
	if abort.Wide() && c.logicalUnit != nil {
		wait.pending++
		c.frontend.host.post(event{kind: eventRun, run: func(*core) { c.resetOtherSessions(wait) }})
	}
	for _, t := range abort.Tasks {
		if u, ok := t.User.(abandonable); ok {
			wait.pending++
			u.abandon(wait)
		}
	}
	wait.commandDone()
}

// resetOtherSessions aborts the tasks of the target's other sessions, which get a unit attention
// condition. A cold reset closes all of the target's sessions instead, this one last. It runs on
// the host's goroutine: two connections that reset each other would deadlock on their mutexes.
func (c *conn) resetOtherSessions(wait *abortWait) {
	cold := wait.abort.Function == iscsi.TargetColdReset
	for _, other := range c.frontend.allConns() {
		if other == c || other.key.target != c.key.target {
			continue
		}
		if cold {
			other.out.Abort()
			continue
		}
		for _, t := range other.resetTasks() {
			if u, ok := t.User.(abandonable); ok {
				c.mu.Lock()
				wait.pending++
				c.mu.Unlock()
				u.abandon(wait)
			}
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	wait.commandDone()
	if cold {
		c.closeAfterFlush = true
		c.out.Finish()
	}
}

// resetTasks removes and returns the session's tasks, for a reset by another session.
func (c *conn) resetTasks() []*iscsi.Task {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.session == nil || c.closed {
		return nil
	}
	c.unitAttention = &scsi.DeviceReset
	return c.session.Reset()
}

// abandonable is implemented by a task's User that may still take effect.
type abandonable interface {
	// abandon aborts the command and calls wait.commandDone, unless wait is nil, once the
	// command can no longer take effect.
	abandon(wait *abortWait)
}

// abortWait delays the response of a task management function until its commands are done.
type abortWait struct {
	conn    *conn
	abort   *iscsi.Abort
	pending int // commands and steps to wait for; guarded by conn.mu
}

// commandDone counts one command or step as done. conn.mu is held.
func (w *abortWait) commandDone() {
	if w.pending--; w.pending == 0 && !w.conn.closed {
		w.conn.session.Finish(w.abort)
	}
}

// close ends the session and abandons its tasks, which the client may send again.
func (c *conn) close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	if !c.closeAfterFlush {
		c.out.Abort()
	}
	if c.session == nil {
		return
	}
	c.pingTimer.Stop()
	for _, t := range c.session.Close() {
		if u, ok := t.User.(abandonable); ok {
			u.abandon(nil)
		}
	}
}

// requestLogout asks the client to log out within the given time, as the gateway is stopping.
func (c *conn) requestLogout(seconds uint16) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.session != nil && !c.closed {
		c.session.AskLogout(seconds)
	}
}

// hasOpenCommands reports whether commands have not been answered yet.
func (c *conn) hasOpenCommands() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.session != nil && !c.closed && c.session.Open() > 0
}

// stopAccepting closes the listener and refuses connections that are still being accepted.
func (f *frontend) stopAccepting() {
	f.mu.Lock()
	f.stopping = true
	f.mu.Unlock()
	f.listener.Close()
}

// abortAll closes all connections without writing queued PDUs and waits for the frontend's
// goroutines to end.
func (f *frontend) abortAll() {
	f.stopAccepting()
	for _, c := range f.allConns() {
		c.out.Abort()
	}
	f.tasks.Wait(f.environment)
	for _, a := range f.responders {
		a.close()
	}
}
