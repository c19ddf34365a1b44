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

// view is the settings as the front uses them. A new view replaces the old as a
// whole; what was taken under the old one ends under it.
type view struct {
	*settings.Settings
	targets map[string]*unit // by target name
	hosts   map[string]int   // by volume: how many hosts of this one's region it comes through
}

// unit is one volume as a logical unit.
type unit struct {
	vol  *settings.Volume
	disk *scsi.Disk
}

func newView(s *settings.Settings, self int) *view {
	s = s.Held()
	v := &view{Settings: s, targets: map[string]*unit{}, hosts: map[string]int{}}
	for i := range s.Volumes {
		vol := &s.Volumes[i]
		if slices.Contains(vol.Hosts, self) {
			v.targets[s.TargetName(vol)] = &unit{vol, vol.Disk()}
			v.hosts[vol.Name] = s.Through(self, vol)
		}
	}
	return v
}

// front accepts initiators.
type front struct {
	world    env.Environment
	host     *host
	log      *zap.Logger
	listener net.Listener
	view     atomic.Pointer[view]
	// taking is held by who looks at the view and hands requests to the host core, and
	// alone by who changes both: a request is taken under one or the other, whole.
	taking   sync.RWMutex
	memory   atomic.Int64 // bytes held for clients
	open     atomic.Int64 // requests at the host core
	nextTSIH atomic.Uint32
	turn     atomic.Uint32 // of connections at the answerers
	keeper   *reservationCache
	answers  []*responder

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
	connBuffer  = 4 << 10
	maxSegment  = 256 << 10 // MaxRecvDataSegmentLength that we declare
	maxTransfer = 1 << 20
	// outMost bounds what waits for one client to read: one whole window of small
	// reads or a few large ones; past it the client is closed.
	outMost = 16 << 20
)

func newFront(w env.Environment, h *host, v *view, l net.Listener, log *zap.Logger) *front {
	f := &front{world: w, host: h, log: log, listener: l, sessions: map[sessionKey]*conn{}}
	f.keeper, f.answers = newReservationCache(f), newResponders(h)
	f.view.Store(v)
	f.nextTSIH.Store(uint32(w.RandomUint64()))
	f.tasks.Go(w, f.accept)
	return f
}

func (f *front) accept() {
	for {
		c, err := f.listener.Accept()
		if err != nil {
			return
		}
		f.mu.Lock()
		full := f.conns.Len() >= f.view.Load().Target.MaxSessions
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
		f.tasks.Go(f.world, k.run)
		f.mu.Unlock()
	}
}

// revise puts settings in force for what is taken from now on.
func (f *front) revise(s *settings.Settings) {
	f.taking.Lock()
	defer f.taking.Unlock()
	f.host.pool.dialTimeout.Store(int64(env.Duration(s.Limits.DialTimeout)))
	f.host.post(event{kind: eventSettings, settings: s})
	f.view.Store(newView(s, f.host.hostIndex))
}

// reserve takes memory for a command's data; false when the bound is reached.
func (f *front) reserve(n int) bool {
	if f.memory.Add(int64(n)) <= int64(f.view.Load().Target.Memory) {
		return true
	}
	f.memory.Add(-int64(n))
	return false
}

func (f *front) release(n int) { f.memory.Add(-int64(n)) }

// register enters a session; the one whose place it takes is closed, and the
// caller waits for its end.
func (f *front) register(key sessionKey, c *conn) (old *conn) {
	f.mu.Lock()
	defer f.mu.Unlock()
	old = f.sessions[key]
	f.sessions[key] = c
	return old
}

func (f *front) remove(c *conn) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.conns.Remove(c)
	if c.key != (sessionKey{}) && f.sessions[c.key] == c {
		delete(f.sessions, c.key)
	}
}

func (f *front) all() []*conn {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.conns.All()
}

// conn is one connection of an initiator, which is also its session.
type conn struct {
	front *front
	net   net.Conn
	out   *writequeue.Queue
	log   *zap.Logger
	key   sessionKey // set before the session is registered
	port  reserve.Nexus
	// answers gives the connection's commands their answers; nil: the host does.
	answers *responder
	unit    *unit
	ended   env.Gate

	mu      sync.Mutex
	sess    *iscsi.Session
	digests iscsi.Digests
	tsih    uint16
	closed  bool
	ping    env.Timer
	heard   bool
	batch   bool // the host core releases the write queue
	// attention is told to the next command that asks: a unit attention condition.
	attention *scsi.Sense
	parting   bool // what waits to be sent still goes out before the close
}

func newConn(f *front, c net.Conn) *conn {
	k := &conn{front: f, net: c, log: f.log.With(zap.Stringer("peer", c.RemoteAddr()))}
	if n := uint32(len(f.answers)); n > 0 {
		k.answers = f.answers[f.turn.Add(1)%n]
	}
	k.out = writequeue.New(f.world, c, outMost, env.Duration(f.view.Load().Target.WriteTime))
	k.out.OnBytesChanged = func(delta int) { f.memory.Add(int64(delta)) }
	return k
}

func (c *conn) run() {
	r := iscsi.NewReader(bufio.NewReaderSize(c.net, connBuffer), maxSegment)
	err := c.login(r)
	if err == nil {
		err = c.serve(r)
	}
	if err != nil && !errors.Is(err, io.EOF) && !errors.Is(err, net.ErrClosed) {
		c.log.Info("session over", zap.Error(err))
	}
	c.close()
	c.out.Wait()
	c.front.remove(c)
	c.ended.Open()
}

// emit sends a PDU, or holds it while the host core is in a batch. Held: mu.
func (c *conn) emit(p *iscsi.PDU) {
	c.out.Buffer(func(b []byte) []byte { return p.Append(b, c.digests) })
	if !c.batch {
		c.out.Flush()
	}
}

// login runs the login phase within its time.
func (c *conn) login(r *iscsi.Reader) error {
	v := c.front.view.Load()
	c.net.SetReadDeadline(c.front.world.Deadline(env.Duration(v.Target.LoginTime)))
	l := iscsi.NewLogin(c.policy(v), c.assign)
	for {
		p, err := r.Next()
		if err != nil {
			return err
		}
		reply, done, err := l.Handle(p)
		if done {
			c.begin(v, l)
		}
		c.mu.Lock()
		c.emit(reply)
		c.mu.Unlock()
		if err != nil {
			c.finish()
			return err
		}
		if done {
			break
		}
	}
	c.net.SetReadDeadline(time.Time{})
	pr := l.Params()
	c.mu.Lock()
	c.digests = iscsi.Digests{Header: pr.HeaderDigest, Data: pr.DataDigest}
	c.mu.Unlock()
	r.Digests = c.digests
	return nil
}

// assign gives the session its handle, which is never 0.
func (c *conn) assign() uint16 {
	for {
		if h := uint16(c.front.nextTSIH.Add(1)); h != 0 {
			c.tsih = h
			return h
		}
	}
}

func (c *conn) policy(v *view) *iscsi.TargetPolicy {
	p := iscsi.DefaultParams()
	p.MaxRecv, p.MaxBurst, p.FirstBurst, p.InitialR2T, p.MaxR2T = maxSegment, maxTransfer, maxSegment, false, 4
	tp := &iscsi.TargetPolicy{Params: p, Window: uint32(v.Target.Window), PortalGroup: 1,
		Random: func(b []byte) { env.FillRandom(c.front.world, b) },
		Admit: func(_, target string) iscsi.LoginStatus {
			if target != "" && v.targets[target] == nil {
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

// begin enters the full feature phase. A session that this one replaces is ended
// first, with all its tasks.
func (c *conn) begin(v *view, l *iscsi.Login) {
	c.unit = v.targets[l.Target]
	if !l.Discovery {
		c.key = sessionKey{l.Initiator, l.Target, l.ISID}
		c.port = nexusOf(c.key, c.front.host.hostIndex)
		if old := c.front.register(c.key, c); old != nil {
			old.log.Info("session reinstated by a new login")
			old.out.Abort()
			old.ended.Wait(c.front.world)
		}
		c.log = c.log.With(zap.String("volume", c.unit.vol.Name), zap.Uint16("session", l.TSIH))
	}
	s := l.Session()
	s.Out, s.Reserve, s.Release, s.MaxTransfer = c.emit, c.front.reserve, c.front.release, maxTransfer
	s.Targets = func(name string) []iscsi.Key { return c.targets(v, name) }
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sess, c.heard = s, true
	c.watch(v)
}

// targets answers SendTargets with the names that this host serves.
func (c *conn) targets(v *view, name string) []iscsi.Key {
	var names []string
	for t := range v.targets {
		if name == "All" || name == t {
			names = append(names, t)
		}
	}
	if name == "" && c.unit != nil {
		names = []string{v.TargetName(c.unit.vol)}
	}
	slices.Sort(names)
	var keys []iscsi.Key
	for _, t := range names {
		keys = append(keys, iscsi.Key{Name: "TargetName", Value: t},
			iscsi.Key{Name: "TargetAddress", Value: c.net.LocalAddr().String() + ",1"})
	}
	return keys
}

// watch asks silent clients for a sign of life; one that gives none is closed.
// Held: mu.
func (c *conn) watch(v *view) {
	if c.closed {
		return
	}
	every := env.Duration(v.Target.PingEvery)
	c.ping = c.front.world.AfterFunc(every, func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		if !c.heard && !c.sess.Ping() {
			c.log.Info("closed: no sign of life")
			c.out.Abort()
			return
		}
		c.heard = false
		c.watch(v)
	})
}

func (c *conn) serve(r *iscsi.Reader) error {
	for {
		p, err := r.Next()
		var dd *iscsi.DataDigestError
		if errors.As(err, &dd) {
			c.reject(p)
			c.finish()
			return err
		}
		if err != nil {
			return err
		}
		stop, err := c.handle(p)
		if err != nil || stop {
			c.finish()
			return err
		}
	}
}

func (c *conn) reject(p *iscsi.PDU) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sess.Reject(p, iscsi.RejectDataDigest)
}

// finish closes the connection once its last words are out.
func (c *conn) finish() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.parting = true
	c.out.Finish()
}

// handle takes one PDU under the session's lock; what it brings is handed on
// before the lock is given up, so that the host core sees a session's commands
// in their order.
func (c *conn) handle(p *iscsi.PDU) (stop bool, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.heard = true
	c.sess.Now = env.MS(c.front.world.Now())
	events, err := c.sess.Handle(p)
	for _, e := range events {
		switch {
		case e.Ready != nil:
			c.handleCommand(e.Ready)
		case e.Abort != nil:
			c.abort(e.Abort)
		case e.Logout:
			stop = true
		}
	}
	if p.Opcode() == iscsi.OpCommand && err == nil {
		c.limitData(p.ITT())
	}
	return stop, err
}

// limitData ends a write whose data does not come in time: nothing of it was sent
// on, so its failure is certain.
func (c *conn) limitData(itt uint32) {
	t := c.sess.Task(itt)
	if t == nil || t.Delivered() || c.unit == nil {
		return
	}
	v := c.front.view.Load()
	k := v.Class(scsi.Write, int(t.Length), c.currentOrLoginUnit(v).vol.Plan)
	if k == nil {
		return
	}
	c.front.world.AfterFunc(env.Duration(k.Deadline), func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		if !c.closed && c.sess.Task(itt) == t && !t.Delivered() {
			c.sess.Expire(t, iscsi.Answer{Status: scsi.CheckCondition, Sense: scsi.CommandAborted.Fixed()})
		}
	})
}

// abort ends tasks from the client's side. The function's response waits until
// none of them can take effect any more.
func (c *conn) abort(a *iscsi.Abort) {
	g := &abortion{conn: c, abort: a, left: 1}
	if a.Wide() && c.unit != nil {
		g.left++
		c.front.host.post(event{kind: eventRun, run: func(*core) { c.resetOthers(g) }})
	}
	for _, t := range a.Tasks {
		if u, ok := t.User.(underway); ok {
			g.left++
			u.abandon(g)
		}
	}
	g.one()
}

// resetOthers ends the tasks of the target's other sessions, whose clients are told
// by a unit attention; a cold reset closes every session. On the host's goroutine,
// so that two resets at once don't wait for each other.
func (c *conn) resetOthers(g *abortion) {
	cold := g.abort.Function == iscsi.TargetColdReset
	for _, o := range c.front.all() {
		if o == c || o.key.target != c.key.target {
			continue
		}
		if cold {
			o.out.Abort()
			continue
		}
		for _, t := range o.reset() {
			if u, ok := t.User.(underway); ok {
				c.mu.Lock()
				g.left++
				c.mu.Unlock()
				u.abandon(g)
			}
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	g.one()
	if cold {
		c.parting = true
		c.out.Finish()
	}
}

// reset ends the session's tasks for a function of another.
func (c *conn) reset() []*iscsi.Task {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.sess == nil || c.closed {
		return nil
	}
	c.attention = &scsi.DeviceReset
	return c.sess.Reset()
}

// underway is what a task's User is while something of it may still take effect.
type underway interface {
	// abandon ends it from the client's side; g, if any, hears when nothing of it can
	// take effect any more. The session's conn.mu is held.
	abandon(g *abortion)
}

// abortion counts the commands that a task management function waits for.
// Its count is guarded by the conn's lock, or all is on one goroutine before.
type abortion struct {
	conn  *conn
	abort *iscsi.Abort
	left  int
}

// one takes one off. Held: conn.mu.
func (g *abortion) one() {
	if g.left--; g.left == 0 && !g.conn.closed {
		g.conn.sess.Finish(g.abort)
	}
}

// close ends the session: its tasks are the client's to send again.
func (c *conn) close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	if !c.parting {
		c.out.Abort()
	}
	if c.sess == nil {
		return
	}
	c.ping.Stop()
	for _, t := range c.sess.Close() {
		if u, ok := t.User.(underway); ok {
			u.abandon(nil)
		}
	}
}

// askLogout tells the client that the service stops.
func (c *conn) askLogout(seconds uint16) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.sess != nil && !c.closed {
		c.sess.AskLogout(seconds)
	}
}

// busy tells whether commands are still unanswered.
func (c *conn) busy() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.sess != nil && !c.closed && c.sess.Open() > 0
}

// stopAccepting takes no new connection.
func (f *front) stopAccepting() {
	f.mu.Lock()
	f.stopping = true
	f.mu.Unlock()
	f.listener.Close()
}

// cutAll closes every connection and waits for the goroutines.
func (f *front) cutAll() {
	f.stopAccepting()
	for _, c := range f.all() {
		c.out.Abort()
	}
	f.tasks.Wait(f.world)
	for _, a := range f.answers {
		a.close()
	}
}
