package standin

import (
	"bufio"
	"cmp"
	"encoding/binary"
	"errors"
	"math/rand/v2"
	"net"
	"net/netip"
	"slices"
	"sync"
	"time"

	"merlinhitch/internal/protocol/bgp"
	"merlinhitch/internal/runtime/env"
	"merlinhitch/internal/runtime/writequeue"
)

// RouterFaults is what is wrong with a router's sessions. The zero value is a sound one.
type RouterFaults struct {
	Refuse             bool          // connections are closed as they come
	StartDelay         time.Duration // before anything is read or said
	Silent             bool          // it accepts and says nothing
	BadAS              bool          // its OPEN names another AS
	ZeroHoldTime       bool          // it offers no hold time
	NoIPv6             bool          // it knows one family
	ResetInState       bgp.State     // the connection is reset on reaching this state; Idle: never
	ResetAfter         time.Duration // a session is reset so long after it was established
	NoKeepalive        bool          // after the first it gives no sign of life
	SlowReadDelay      time.Duration // before each read, of few bytes
	TruncatedKeepalive bool          // half a message, and the end, in the place of its second KEEPALIVE
	BadMarker          bool          // so instead
	BadLength          bool          // so instead
	UnknownAttributes  bool          // it sends an UPDATE of attributes that nobody knows
}

// RouteChange is an entry of a router's log: what it learned, and when its socket
// brought it.
type RouteChange struct {
	At           time.Duration
	Host         uint32 // the identifier of the speaker that said so
	Prefix       netip.Prefix
	Announced    bool
	Path         bgp.Path
	SessionEnded bool // it went with its session
}

// RIBEntry is a route as a router holds it.
type RIBEntry struct {
	Host uint32
	Path bgp.Path
}

// Router is a BGP peer with a table of what it was told: a stand-in for the routers
// that lead clients to hosts.
type Router struct {
	Addr string
	AS   uint32
	ID   uint32
	// OnChange, if set before the first session, is told each change, with the lock held.
	OnChange func(RouteChange)

	world    env.Environment
	listener net.Listener
	mu       sync.Mutex
	fault    RouterFaults
	rng      *rand.Rand
	sessions env.OrderedSet[*routerSession]
	rib      map[netip.Prefix]map[uint32]bgp.Path
	log      []RouteChange
	updates  int
	ends     int // End-of-RIB marks
	ups      int
	closed   bool
	tasks    env.WaitGroup
}

type routerSession struct {
	r     *Router
	conn  net.Conn
	out   *writequeue.Queue
	host  uint32
	four  bool
	state bgp.State
	hold  time.Duration
	fault RouterFaults // as the session began
	kept  int
	alive env.Timer
	heard time.Duration
}

const (
	routerOut  = 1 << 20
	routerHold = 9 * time.Second
)

// ServeRouter starts a router of that AS at an address.
func ServeRouter(w env.Environment, addr string, as uint32) (*Router, error) {
	l, err := w.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	r := &Router{Addr: l.Addr().String(), AS: as, ID: uint32(w.RandomUint64()) | 1, world: w, listener: l, rng: rand.New(rand.NewPCG(w.RandomUint64(), 1)),
		rib: map[netip.Prefix]map[uint32]bgp.Path{}}
	r.tasks.Go(w, r.accept)
	return r, nil
}

// SetFaults changes what is wrong with sessions that begin from now on.
func (r *Router) SetFaults(f RouterFaults) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.fault = f
}

// ResetSessions ends every session at once, without a word.
func (r *Router) ResetSessions() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, s := range r.sessions.All() {
		s.out.Abort()
	}
}

// Close ends the router and waits for its goroutines.
func (r *Router) Close() {
	r.mu.Lock()
	r.closed = true
	r.mu.Unlock()
	r.listener.Close()
	r.ResetSessions()
	r.tasks.Wait(r.world)
}

func (r *Router) accept() {
	for {
		c, err := r.listener.Accept()
		if err != nil {
			return
		}
		r.mu.Lock()
		if r.closed || r.fault.Refuse {
			r.mu.Unlock()
			c.Close()
			continue
		}
		s := &routerSession{r: r, conn: c, out: writequeue.New(r.world, c, routerOut, routerHold), state: bgp.Connect, fault: r.fault}
		r.sessions.Add(s)
		r.mu.Unlock()
		r.tasks.Go(r.world, func() { s.run() })
	}
}

// slowReader lets little through, late.
type slowReader struct {
	s *routerSession
	d time.Duration
}

func (r slowReader) Read(b []byte) (int, error) {
	env.Sleep(r.s.r.world, r.d, nil)
	return r.s.conn.Read(b[:min(len(b), 16)])
}

func (s *routerSession) run() {
	r := s.r
	defer s.end()
	if f := s.fault.StartDelay; f > 0 {
		env.Sleep(r.world, f, nil)
	}
	buf := bufio.NewReaderSize(s.conn, bgp.MaxLen)
	if s.fault.SlowReadDelay > 0 {
		buf = bufio.NewReaderSize(slowReader{s, s.fault.SlowReadDelay}, 64)
	}
	in := bgp.NewReader(buf)
	for {
		t, body, err := in.Next()
		r.mu.Lock()
		if err == nil {
			err = s.message(t, body)
		}
		var n *bgp.Notification
		if errors.As(err, &n) {
			s.say(n.Append(nil))
			s.out.Finish()
		}
		r.mu.Unlock()
		if err != nil {
			return
		}
	}
}

var errRouterEnd = errors.New("standin: session over")

func (s *routerSession) say(b []byte) {
	s.out.Enqueue(func(o []byte) []byte { return append(o, b...) })
}

// message handles one message. Held: Router.mu.
func (s *routerSession) message(t bgp.Type, body []byte) error {
	s.heard = s.r.world.Now()
	if s.fault.Silent {
		return nil
	}
	switch t {
	case bgp.TypeOpen:
		return s.open(body)
	case bgp.TypeKeepalive:
		if s.state == bgp.OpenConfirm {
			s.reach(bgp.Established)
			s.r.ups++
			if s.fault.UnknownAttributes {
				s.say(unknownAttrs())
			}
		}
	case bgp.TypeUpdate:
		return s.update(body)
	case bgp.TypeNotification:
		return errRouterEnd
	}
	return nil
}

func (s *routerSession) open(body []byte) error {
	o, err := bgp.ParseOpen(body)
	if err != nil {
		return err
	}
	s.host, s.four = o.ID, o.FourAS
	own := &bgp.Open{AS: s.r.AS, HoldTime: uint16(routerHold / time.Second), ID: s.r.ID, Families: []bgp.Family{bgp.IPv4, bgp.IPv6}, FourAS: true, Refresh: true}
	if s.fault.BadAS {
		own.AS++
	}
	if s.fault.NoIPv6 {
		own.Families = own.Families[:1]
	}
	if s.fault.ZeroHoldTime {
		own.HoldTime = 0
	}
	s.hold = time.Duration(min(own.HoldTime, o.HoldTime)) * time.Second
	s.say(own.Append(nil))
	s.reach(bgp.OpenSent)
	s.say(bgp.AppendKeepalive(nil))
	s.reach(bgp.OpenConfirm)
	s.keep()
	return nil
}

// reach enters a state, in which the session may be reset.
func (s *routerSession) reach(state bgp.State) {
	s.state = state
	if s.fault.ResetInState == state && state != bgp.Idle {
		s.out.Abort()
	}
	if state == bgp.Established && s.fault.ResetAfter > 0 {
		s.r.world.AfterFunc(s.fault.ResetAfter, s.out.Abort)
	}
}

// keep gives signs of life, or what stands in their place, and ends a session from
// which none came. Held: Router.mu.
func (s *routerSession) keep() {
	if s.hold == 0 {
		return
	}
	s.alive = s.r.world.AfterFunc(s.hold/3, func() {
		s.r.mu.Lock()
		defer s.r.mu.Unlock()
		if !s.r.sessions.Has(s) {
			return
		}
		if s.r.world.Now()-s.heard > s.hold {
			s.say((&bgp.Notification{Code: bgp.CodeHoldTimer}).Append(nil))
			s.out.Finish()
			return
		}
		s.kept++
		k := bgp.AppendKeepalive(nil)
		switch f := s.fault; {
		case f.NoKeepalive:
		case f.TruncatedKeepalive:
			s.say(k[:9])
			s.out.Finish()
			return
		case f.BadMarker:
			k[3] = 0
			s.say(k)
		case f.BadLength:
			binary.BigEndian.PutUint16(k[16:], bgp.MaxLen+1)
			s.say(k)
		default:
			s.say(k)
		}
		s.keep()
	})
}

// unknownAttrs is an UPDATE with an optional transitive attribute of no known type,
// and one whose faults cost its prefix only (RFC 7606).
func unknownAttrs() []byte {
	u := &bgp.Update{Attrs: &bgp.Attrs{Path: []bgp.Segment{{AS: []uint32{65010}}}, NextHop: netip.AddrFrom4([4]byte{192, 0, 2, 9})},
		Prefixes: []netip.Prefix{netip.PrefixFrom(netip.AddrFrom4([4]byte{203, 0, 113, 0}), 24)}}
	b := u.Append(nil, true)
	const attrs = 21 // where the attributes' length stands: after the header and no withdrawals
	extra := []byte{0xc0, 0xfb, 2, 1, 2, 0x40, 4, 1, 0}
	n := binary.BigEndian.Uint16(b[attrs:])
	end := attrs + 2 + int(n)
	b = slices.Insert(b, end, extra...)
	binary.BigEndian.PutUint16(b[attrs:], n+uint16(len(extra)))
	binary.BigEndian.PutUint16(b[16:], uint16(len(b)))
	return b
}

func (s *routerSession) update(body []byte) error {
	if s.state != bgp.Established {
		return &bgp.Notification{Code: bgp.CodeFSM}
	}
	u, err := bgp.ParseUpdate(body, true, false)
	if err != nil {
		return err
	}
	s.r.updates++
	if u.EndOfRIB != (bgp.Family{}) {
		s.r.ends++
	}
	for _, p := range u.Withdrawn {
		s.r.forget(s.host, p, false)
	}
	for _, p := range u.Prefixes {
		path := bgp.Path{MED: u.Attrs.MED, Shutdown: slices.Contains(u.Attrs.Communities, bgp.GracefulShutdown)}
		for _, seg := range u.Attrs.Path {
			path.Prepend += uint8(len(seg.AS))
		}
		path.Prepend-- // an AS says itself once in any case
		s.r.learn(s.host, p, path)
	}
	return nil
}

func (r *Router) note(c RouteChange) {
	c.At = r.world.Now()
	r.log = append(r.log, c)
	if r.OnChange != nil {
		r.OnChange(c)
	}
}

func (r *Router) learn(host uint32, p netip.Prefix, path bgp.Path) {
	if r.rib[p] == nil {
		r.rib[p] = map[uint32]bgp.Path{}
	}
	r.rib[p][host] = path
	r.note(RouteChange{Host: host, Prefix: p, Announced: true, Path: path})
}

func (r *Router) forget(host uint32, p netip.Prefix, byEnd bool) {
	if _, had := r.rib[p][host]; !had {
		return
	}
	delete(r.rib[p], host)
	r.note(RouteChange{Host: host, Prefix: p, SessionEnded: byEnd})
}

// end forgets the session, and with it what its speaker said, unless that has said
// it over another session since.
func (s *routerSession) end() {
	s.out.Finish()
	s.out.Wait()
	r := s.r
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sessions.Remove(s)
	if s.alive != nil {
		s.alive.Stop()
	}
	if s.state != bgp.Established {
		return
	}
	for _, o := range r.sessions.All() {
		if o.host == s.host && o.state == bgp.Established {
			return
		}
	}
	var gone []netip.Prefix
	for p, by := range r.rib {
		if _, had := by[s.host]; had {
			gone = append(gone, p)
		}
	}
	slices.SortFunc(gone, netip.Prefix.Compare)
	for _, p := range gone {
		r.forget(s.host, p, true)
	}
}

// BestRoutes lists the routes to a prefix that are equally good and better than the others:
// no graceful shutdown, then the shorter path, then the lower MED.
func (r *Router) BestRoutes(p netip.Prefix) (out []RIBEntry) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for host, path := range r.rib[p] {
		out = append(out, RIBEntry{host, path})
	}
	rank := func(h RIBEntry) int64 {
		n := int64(h.Path.Prepend)<<32 | int64(h.Path.MED)
		if h.Path.Shutdown {
			n |= 1 << 50
		}
		return n
	}
	slices.SortFunc(out, func(a, b RIBEntry) int { return cmp.Or(cmp.Compare(rank(a), rank(b)), cmp.Compare(a.Host, b.Host)) })
	for i := range out {
		if rank(out[i]) != rank(out[0]) {
			return out[:i]
		}
	}
	return out
}

// RoutesFrom lists all that a speaker has told.
func (r *Router) RoutesFrom(host uint32) map[netip.Prefix]bgp.Path {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := map[netip.Prefix]bgp.Path{}
	for p, by := range r.rib {
		if path, ok := by[host]; ok {
			out[p] = path
		}
	}
	return out
}

// RouterCounters are figures of a router.
type RouterCounters struct{ Updates, EndOfRIBs, Established int }

// Counters reads the figures.
func (r *Router) Counters() RouterCounters {
	r.mu.Lock()
	defer r.mu.Unlock()
	return RouterCounters{r.updates, r.ends, r.ups}
}

// Changes is a copy of the log.
func (r *Router) Changes() []RouteChange {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.log)
}
