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
	"merlinhitch/internal/runtime/writequeue"
	"merlinhitch/internal/storage/reserve"
)

// activeSettings is the settings as the front uses them. A new activeSettings replaces the old as a
// whole; what was taken under the old one ends under it.
type activeSettings struct {
	*settings.Settings
	unitsByTarget map[string]*logicalUnit // by target name
	hostCounts    map[string]int          // by volume: how many hosts of this one's region it comes through
}

// logicalUnit is one volume as a logical logicalUnit.
type logicalUnit struct {
	volume *settings.Volume
	disk   *scsi.Disk
}

func newActiveSettings(s *settings.Settings, hostIndex int) *activeSettings {
	s = s.Held()
	active := &activeSettings{Settings: s, unitsByTarget: map[string]*logicalUnit{}, hostCounts: map[string]int{}}
	for i := range s.Volumes {
		volume := &s.Volumes[i]
		if slices.Contains(volume.Hosts, hostIndex) {
			active.unitsByTarget[s.TargetName(volume)] = &logicalUnit{volume, volume.Disk()}
			active.hostCounts[volume.Name] = s.Through(hostIndex, volume)
		}
	}
	return active
}

// frontend accepts initiators.
type frontend struct {
	environment env.Environment
	host        *host
	log         *zap.Logger
	listener    net.Listener
	settings    atomic.Pointer[activeSettings]
	// settingsMu is held by who looks at the view and hands requests to the host core, and
	// alone by who changes both: a request is taken under one or the other, whole.
	settingsMu    sync.RWMutex
	memoryBytes   atomic.Int64 // bytes held for clients
	openRequests  atomic.Int64 // requests at the host core
	nextTSIH      atomic.Uint32
	nextResponder atomic.Uint32 // of connections at the answerers
	reservations  *reservationCache
	responders    []*responder

	mu       sync.Mutex
	conns    env.OrderedSet[*conn]
	sessions map[sessionKey]*conn
	stopping bool
	tasks    env.WaitGroup
}

// sessionKey is the identity of a session: a login with the same takes its place
// (session reinstatement, RFC 7143 section 6.3.5).
type sessionKey struct {
	initiator, target string
	isid              iscsi.ISID
}

const (
	clientReadBufferBytes = 4 << 10
	maxRecvDataSegment    = 256 << 10 // MaxRecvDataSegmentLength that we declare
	maxTransferBytes      = 1 << 20
	// clientWriteLimit bounds what waits for one client to read: one whole window of small
	// reads or a few large ones; past it the client is closed.
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

// applySettings puts settings in force for what is taken from now on.
func (f *frontend) applySettings(s *settings.Settings) {
	f.settingsMu.Lock()
	defer f.settingsMu.Unlock()
	f.host.pool.dialTimeout.Store(int64(env.Duration(s.Limits.DialTimeout)))
	f.host.post(event{kind: eventSettings, settings: s})
	f.settings.Store(newActiveSettings(s, f.host.hostIndex))
}

// reserveMemory takes memory for a command's data; false when the bound is reached.
func (f *frontend) reserveMemory(bytes int) bool {
	if f.memoryBytes.Add(int64(bytes)) <= int64(f.settings.Load().Target.Memory) {
		return true
	}
	f.memoryBytes.Add(-int64(bytes))
	return false
}

func (f *frontend) releaseMemory(bytes int) { f.memoryBytes.Add(-int64(bytes)) }

// registerSession enters a session; the one whose place it takes is closed, and the
// caller waits for its end.
func (f *frontend) registerSession(key sessionKey, c *conn) (old *conn) {
	f.mu.Lock()
	defer f.mu.Unlock()
	old = f.sessions[key]
	f.sessions[key] = c
	return old
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

// conn is one connection of an initiator, which is also its session.
type conn struct {
	frontend      *frontend
	netConn       net.Conn
	out           *writequeue.Queue
	log           *zap.Logger
	key           sessionKey // set before the session is registered
	initiatorPort reserve.Nexus
	// responder gives the connection's commands their responder; nil: the host does.
	responder   *responder
	logicalUnit *logicalUnit
	ended       env.Gate

	mu                sync.Mutex
	session           *iscsi.Session
	digests           iscsi.Digests
	tsih              uint16
	closed            bool
	pingTimer         env.Timer
	receivedSincePing bool
	batching          bool // the host core releases the write queue
	// unitAttention is told to the next command that asks: a unit unitAttention condition.
	unitAttention   *scsi.Sense
	closeAfterFlush bool // what waits to be sent still goes out before the close
}

func newConn(f *frontend, netConn net.Conn) *conn {
	c := &conn{frontend: f, netConn: netConn, log: f.log.With(zap.Stringer("peer", netConn.RemoteAddr()))}
	if n := uint32(len(f.responders)); n > 0 {
		c.responder = f.responders[f.nextResponder.Add(1)%n]
	}
	c.out = writequeue.New(f.environment, netConn, clientWriteLimit, env.Duration(f.settings.Load().Target.WriteTime))
	c.out.OnBytesChanged = func(delta int) { f.memoryBytes.Add(int64(delta)) }
	return c
}

func (c *conn) run() {
	reader := iscsi.NewReader(bufio.NewReaderSize(c.netConn, clientReadBufferBytes), maxRecvDataSegment)
	err := c.login(reader)
	if err == nil {
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

// sendPDU sends a PDU, or holds it while the host core is in a batch. Held: mu.
func (c *conn) sendPDU(pdu *iscsi.PDU) {
	c.out.Buffer(func(b []byte) []byte { return pdu.Append(b, c.digests) })
	if !c.batching {
		c.out.Flush()
	}
}

// login runs the login phase within its time.
func (c *conn) login(reader *iscsi.Reader) error {
	active := c.frontend.settings.Load()
	c.netConn.SetReadDeadline(c.frontend.environment.Deadline(env.Duration(active.Target.LoginTime)))
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

// assignTSIH gives the session its handle, which is never 0.
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
	policy := &iscsi.TargetPolicy{Params: params, Window: uint32(active.Target.Window), PortalGroup: 1,
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
				return "no such user: no secret is this long", false
			}
			return active.Target.Chap[i].Secret, true
		}
	}
	if mutual := active.Target.Mutual; mutual != nil {
		policy.Mutual = iscsi.Credentials{User: mutual.User, Secret: mutual.Secret}
	}
	return policy
}

// beginFullFeature enters the full feature phase. A session that this one replaces is ended
// first, with all its tasks.
func (c *conn) beginFullFeature(active *activeSettings, login *iscsi.Login) {
	c.logicalUnit = active.unitsByTarget[login.Target]
	if !login.Discovery {
		c.key = sessionKey{login.Initiator, login.Target, login.ISID}
		c.initiatorPort = nexusOf(c.key, c.frontend.host.hostIndex)
		if old := c.frontend.registerSession(c.key, c); old != nil {
			old.log.Info("session reinstated by a new login")
			old.out.Abort()
			old.ended.Wait(c.frontend.environment)
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

// sendTargets answers SendTargets with the names that this host serves.
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

// schedulePing asks silent clients for a sign of life; one that gives none is closed.
// Held: mu.
func (c *conn) schedulePing(active *activeSettings) {
	if c.closed {
		return
	}
	interval := env.Duration(active.Target.PingEvery)
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
	}
}

func (c *conn) rejectDataDigest(pdu *iscsi.PDU) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.session.Reject(pdu, iscsi.RejectDataDigest)
}

// closeWhenFlushed closes the connection once its last words are out.
func (c *conn) closeWhenFlushed() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closeAfterFlush = true
	c.out.Finish()
}

// handlePDU takes one PDU under the session's lock; what it brings is handed on
// before the lock is given up, so that the host core sees a session's commands
// in their order.
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

// limitDataWait ends a write whose data does not come in time: nothing of it was sent
// on, so its failure is certain.
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

// handleAbort ends tasks from the client's side. The function's response waits until
// none of them can take effect any more.
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

// resetOtherSessions ends the tasks of the target's other sessions, whose clients are told
// by a unit attention; a cold reset closes every session. On the host's goroutine,
// so that two resets at once don't wait for each other.
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

// resetTasks ends the session's tasks for a function of another.
func (c *conn) resetTasks() []*iscsi.Task {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.session == nil || c.closed {
		return nil
	}
	c.unitAttention = &scsi.DeviceReset
	return c.session.Reset()
}

// abandonable is what a task's User is while something of it may still take effect.
type abandonable interface {
	// abandon ends it from the client's side; g, if any, hears when nothing of it can
	// take effect any more. The session's conn.mu is held.
	abandon(wait *abortWait)
}

// abortWait counts the commands that a task management function waits for.
// Its count is guarded by the conn's lock, or all is on one goroutine before.
type abortWait struct {
	conn    *conn
	abort   *iscsi.Abort
	pending int
}

// commandDone takes commandDone off. Held: conn.mu.
func (g *abortWait) commandDone() {
	if g.pending--; g.pending == 0 && !g.conn.closed {
		g.conn.session.Finish(g.abort)
	}
}

// close ends the session: its tasks are the client's to send again.
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

// requestLogout tells the client that the service stops.
func (c *conn) requestLogout(seconds uint16) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.session != nil && !c.closed {
		c.session.AskLogout(seconds)
	}
}

// hasOpenCommands tells whether commands are still unanswered.
func (c *conn) hasOpenCommands() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.session != nil && !c.closed && c.session.Open() > 0
}

// stopAccepting takes no new connection.
func (f *frontend) stopAccepting() {
	f.mu.Lock()
	f.stopping = true
	f.mu.Unlock()
	f.listener.Close()
}

// abortAll closes every connection and waits for the goroutines.
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
