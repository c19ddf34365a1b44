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

func newActiveSettings(s *settings.Settings, self int) *activeSettings {
	s = s.Held()
	v := &activeSettings{Settings: s, unitsByTarget: map[string]*logicalUnit{}, hostCounts: map[string]int{}}
	for i := range s.Volumes {
		vol := &s.Volumes[i]
		if slices.Contains(vol.Hosts, self) {
			v.unitsByTarget[s.TargetName(vol)] = &logicalUnit{vol, vol.Disk()}
			v.hostCounts[vol.Name] = s.Through(self, vol)
		}
	}
	return v
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
	settingsMu   sync.RWMutex
	memoryBytes  atomic.Int64 // bytes held for clients
	openRequests atomic.Int64 // requests at the host core
	nextTSIH     atomic.Uint32
	nextAnswerer atomic.Uint32 // of connections at the answerers
	keeper       *reservationCache
	answerers    []*responder

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

func newFrontend(w env.Environment, h *host, v *activeSettings, l net.Listener, log *zap.Logger) *frontend {
	f := &frontend{environment: w, host: h, log: log, listener: l, sessions: map[sessionKey]*conn{}}
	f.keeper, f.answerers = newReservationCache(f), newResponders(h)
	f.settings.Store(v)
	f.nextTSIH.Store(uint32(w.RandomUint64()))
	f.tasks.Go(w, f.accept)
	return f
}

func (f *frontend) accept() {
	for {
		c, err := f.listener.Accept()
		if err != nil {
			return
		}
		f.mu.Lock()
		full := f.conns.Len() >= f.settings.Load().Target.MaxSessions
		if f.stopping || full {
			f.mu.Unlock()
			c.Close()
			if full {
				f.log.Warn("connection refused: too many", zap.Stringer("peer", c.RemoteAddr()))
			}
			continue
		}
		k := newConn(f, c)
		f.conns.Add(k)
		f.tasks.Go(f.environment, k.run)
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
func (f *frontend) reserveMemory(n int) bool {
	if f.memoryBytes.Add(int64(n)) <= int64(f.settings.Load().Target.Memory) {
		return true
	}
	f.memoryBytes.Add(-int64(n))
	return false
}

func (f *frontend) releaseMemory(n int) { f.memoryBytes.Add(-int64(n)) }

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
	// answerer gives the connection's commands their answerer; nil: the host does.
	answerer    *responder
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

func newConn(f *frontend, c net.Conn) *conn {
	k := &conn{frontend: f, netConn: c, log: f.log.With(zap.Stringer("peer", c.RemoteAddr()))}
	if n := uint32(len(f.answerers)); n > 0 {
		k.answerer = f.answerers[f.nextAnswerer.Add(1)%n]
	}
	k.out = writequeue.New(f.environment, c, clientWriteLimit, env.Duration(f.settings.Load().Target.WriteTime))
	k.out.OnBytesChanged = func(delta int) { f.memoryBytes.Add(int64(delta)) }
	return k
}

func (c *conn) run() {
	r := iscsi.NewReader(bufio.NewReaderSize(c.netConn, clientReadBufferBytes), maxRecvDataSegment)
	err := c.login(r)
	if err == nil {
		err = c.serveFullFeature(r)
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
func (c *conn) sendPDU(p *iscsi.PDU) {
	c.out.Buffer(func(b []byte) []byte { return p.Append(b, c.digests) })
	if !c.batching {
		c.out.Flush()
	}
}

// login runs the login phase within its time.
func (c *conn) login(r *iscsi.Reader) error {
	v := c.frontend.settings.Load()
	c.netConn.SetReadDeadline(c.frontend.environment.Deadline(env.Duration(v.Target.LoginTime)))
	l := iscsi.NewLogin(c.targetPolicy(v), c.assignTSIH)
	for {
		p, err := r.Next()
		if err != nil {
			return err
		}
		reply, done, err := l.Handle(p)
		if done {
			c.beginFullFeature(v, l)
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
	pr := l.Params()
	c.mu.Lock()
	c.digests = iscsi.Digests{Header: pr.HeaderDigest, Data: pr.DataDigest}
	c.mu.Unlock()
	r.Digests = c.digests
	return nil
}

// assignTSIH gives the session its handle, which is never 0.
func (c *conn) assignTSIH() uint16 {
	for {
		if h := uint16(c.frontend.nextTSIH.Add(1)); h != 0 {
			c.tsih = h
			return h
		}
	}
}

func (c *conn) targetPolicy(v *activeSettings) *iscsi.TargetPolicy {
	p := iscsi.DefaultParams()
	p.MaxRecv, p.MaxBurst, p.FirstBurst, p.InitialR2T, p.MaxR2T = maxRecvDataSegment, maxTransferBytes, maxRecvDataSegment, false, 4
	tp := &iscsi.TargetPolicy{Params: p, Window: uint32(v.Target.Window), PortalGroup: 1,
		Random: func(b []byte) { env.FillRandom(c.frontend.environment, b) },
		Admit: func(_, target string) iscsi.LoginStatus {
			if target != "" && v.unitsByTarget[target] == nil {
				return iscsi.LoginNotFound
			}
			return iscsi.LoginOK
		}}
	if len(v.Target.Chap) > 0 {
		tp.Secret = func(user string) (string, bool) {
			i := slices.IndexFunc(v.Target.Chap, func(k settings.Chap) bool { return k.User == user })
			if i < 0 {
				return "no such user: no secret is this long", false
			}
			return v.Target.Chap[i].Secret, true
		}
	}
	if m := v.Target.Mutual; m != nil {
		tp.Mutual = iscsi.Credentials{User: m.User, Secret: m.Secret}
	}
	return tp
}

// beginFullFeature enters the full feature phase. A session that this one replaces is ended
// first, with all its tasks.
func (c *conn) beginFullFeature(v *activeSettings, l *iscsi.Login) {
	c.logicalUnit = v.unitsByTarget[l.Target]
	if !l.Discovery {
		c.key = sessionKey{l.Initiator, l.Target, l.ISID}
		c.initiatorPort = nexusOf(c.key, c.frontend.host.hostIndex)
		if old := c.frontend.registerSession(c.key, c); old != nil {
			old.log.Info("session reinstated by a new login")
			old.out.Abort()
			old.ended.Wait(c.frontend.environment)
		}
		c.log = c.log.With(zap.String("volume", c.logicalUnit.volume.Name), zap.Uint16("session", l.TSIH))
	}
	s := l.Session()
	s.Out, s.Reserve, s.Release, s.MaxTransfer = c.sendPDU, c.frontend.reserveMemory, c.frontend.releaseMemory, maxTransferBytes
	s.Targets = func(name string) []iscsi.Key { return c.sendTargets(v, name) }
	c.mu.Lock()
	defer c.mu.Unlock()
	c.session, c.receivedSincePing = s, true
	c.schedulePing(v)
}

// sendTargets answers SendTargets with the names that this host serves.
func (c *conn) sendTargets(v *activeSettings, name string) []iscsi.Key {
	var names []string
	for t := range v.unitsByTarget {
		if name == "All" || name == t {
			names = append(names, t)
		}
	}
	if name == "" && c.logicalUnit != nil {
		names = []string{v.TargetName(c.logicalUnit.volume)}
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
func (c *conn) schedulePing(v *activeSettings) {
	if c.closed {
		return
	}
	every := env.Duration(v.Target.PingEvery)
	c.pingTimer = c.frontend.environment.AfterFunc(every, func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		if !c.receivedSincePing && !c.session.Ping() {
			c.log.Info("closed: no sign of life")
			c.out.Abort()
			return
		}
		c.receivedSincePing = false
		c.schedulePing(v)
	})
}

func (c *conn) serveFullFeature(r *iscsi.Reader) error {
	for {
		p, err := r.Next()
		var dd *iscsi.DataDigestError
		if errors.As(err, &dd) {
			c.rejectDataDigest(p)
			c.closeWhenFlushed()
			return err
		}
		if err != nil {
			return err
		}
		stop, err := c.handlePDU(p)
		if err != nil || stop {
			c.closeWhenFlushed()
			return err
		}
	}
}

func (c *conn) rejectDataDigest(p *iscsi.PDU) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.session.Reject(p, iscsi.RejectDataDigest)
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
func (c *conn) handlePDU(p *iscsi.PDU) (stop bool, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.receivedSincePing = true
	c.session.Now = env.MS(c.frontend.environment.Now())
	events, err := c.session.Handle(p)
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
	if p.Opcode() == iscsi.OpCommand && err == nil {
		c.limitDataWait(p.ITT())
	}
	return stop, err
}

// limitDataWait ends a write whose data does not come in time: nothing of it was sent
// on, so its failure is certain.
func (c *conn) limitDataWait(itt uint32) {
	t := c.session.Task(itt)
	if t == nil || t.Delivered() || c.logicalUnit == nil {
		return
	}
	v := c.frontend.settings.Load()
	k := v.Class(scsi.Write, int(t.Length), c.currentOrLoginUnit(v).volume.Plan)
	if k == nil {
		return
	}
	c.frontend.environment.AfterFunc(env.Duration(k.Deadline), func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		if !c.closed && c.session.Task(itt) == t && !t.Delivered() {
			c.session.Expire(t, iscsi.Answer{Status: scsi.CheckCondition, Sense: scsi.CommandAborted.Fixed()})
		}
	})
}

// handleAbort ends tasks from the client's side. The function's response waits until
// none of them can take effect any more.
func (c *conn) handleAbort(a *iscsi.Abort) {
	g := &abortWait{conn: c, abort: a, pending: 1}
	if a.Wide() && c.logicalUnit != nil {
		g.pending++
		c.frontend.host.post(event{kind: eventRun, run: func(*core) { c.resetOtherSessions(g) }})
	}
	for _, t := range a.Tasks {
		if u, ok := t.User.(abandonable); ok {
			g.pending++
			u.abandon(g)
		}
	}
	g.commandDone()
}

// resetOtherSessions ends the tasks of the target's other sessions, whose clients are told
// by a unit attention; a cold reset closes every session. On the host's goroutine,
// so that two resets at once don't wait for each other.
func (c *conn) resetOtherSessions(g *abortWait) {
	cold := g.abort.Function == iscsi.TargetColdReset
	for _, o := range c.frontend.allConns() {
		if o == c || o.key.target != c.key.target {
			continue
		}
		if cold {
			o.out.Abort()
			continue
		}
		for _, t := range o.resetTasks() {
			if u, ok := t.User.(abandonable); ok {
				c.mu.Lock()
				g.pending++
				c.mu.Unlock()
				u.abandon(g)
			}
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	g.commandDone()
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
	abandon(g *abortWait)
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
	for _, a := range f.answerers {
		a.close()
	}
}
