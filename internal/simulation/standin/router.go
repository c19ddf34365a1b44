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

// RouterFaults are the faults of a router's sessions. The zero value has none.
type RouterFaults struct {
	Refuse             bool          // connections are closed at once
	StartDelay         time.Duration // before the first read
	Silent             bool          // messages are read but never answered
	BadAS              bool          // the OPEN has a wrong AS
	ZeroHoldTime       bool          // the OPEN has hold time 0
	NoIPv6             bool          // the OPEN has only the IPv4 family
	ResetInState       bgp.State     // the connection is reset on entering this state; Idle: never
	ResetAfter         time.Duration // a session is reset this long after it was established; 0: never
	NoKeepalive        bool          // no KEEPALIVE after the first
	SlowReadDelay      time.Duration // before each read of at most 16 bytes
	TruncatedKeepalive bool          // the second KEEPALIVE is truncated and the connection closed
	BadMarker          bool          // later KEEPALIVEs have a wrong marker
	BadLength          bool          // later KEEPALIVEs have a wrong length
	UnknownAttributes  bool          // an UPDATE with unknown path attributes is sent once established
}

// RouteChange is an entry of a router's log of route changes.
type RouteChange struct {
	At           time.Duration // when the message was handled
	Host         uint32        // BGP identifier of the speaker
	Prefix       netip.Prefix
	Announced    bool // false: withdrawn
	Path         bgp.Path
	SessionEnded bool // withdrawn because the session ended
}

// RIBEntry is a route of a router's table.
type RIBEntry struct {
	Host uint32 // BGP identifier of the speaker
	Path bgp.Path
}

// Router is a BGP peer that keeps a table of received routes, in place of the routers that forward
// clients to hosts.
type Router struct {
	Addr string
	AS   uint32
	ID   uint32
	// OnChange is called with each change, with the lock held. It must be set before the first
	// session.
	OnChange func(RouteChange)

	environment env.Environment
	listener    net.Listener
	mu          sync.Mutex
	faults      RouterFaults
	rng         *rand.Rand
	sessions    env.OrderedSet[*routerSession]
	rib         map[netip.Prefix]map[uint32]bgp.Path
	changes     []RouteChange
	updates     int
	endOfRIBs   int // End-of-RIB markers received
	established int // sessions that were established
	closed      bool
	tasks       env.WaitGroup
}

type routerSession struct {
	router         *Router
	conn           net.Conn
	writes         *writequeue.Queue
	host           uint32 // BGP identifier of the speaker
	fourOctetAS    bool   // the speaker supports four-octet AS numbers
	state          bgp.State
	holdTime       time.Duration
	faults         RouterFaults // when the session started
	keepalives     int
	keepaliveTimer env.Timer
	lastReceived   time.Duration
}

const (
	routerQueueBytes = 1 << 20
	routerHoldTime   = 9 * time.Second
)

// ServeRouter starts a router of the given AS that listens at addr.
func ServeRouter(environment env.Environment, addr string, as uint32) (*Router, error) {
	listener, err := environment.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	router := &Router{Addr: listener.Addr().String(), AS: as, ID: uint32(environment.RandomUint64()) | 1, environment: environment, listener: listener, rng: rand.New(rand.NewPCG(environment.RandomUint64(), 1)),
		rib: map[netip.Prefix]map[uint32]bgp.Path{}}
	router.tasks.Go(environment, router.accept)
	return router, nil
}

// SetFaults replaces the faults of sessions that start later.
func (r *Router) SetFaults(faults RouterFaults) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.faults = faults
}

// ResetSessions aborts every session without a NOTIFICATION.
func (r *Router) ResetSessions() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, s := range r.sessions.All() {
		s.writes.Abort()
	}
}

// Close stops the router and waits for its goroutines.
func (r *Router) Close() {
	r.mu.Lock()
	r.closed = true
	r.mu.Unlock()
	r.listener.Close()
	r.ResetSessions()
	r.tasks.Wait(r.environment)
}

func (r *Router) accept() {
	for {
		conn, err := r.listener.Accept()
		if err != nil {
			return
		}
		r.mu.Lock()
		if r.closed || r.faults.Refuse {
			r.mu.Unlock()
			conn.Close()
			continue
		}
		session := &routerSession{router: r, conn: conn, writes: writequeue.New(r.environment, conn, routerQueueBytes, routerHoldTime), state: bgp.Connect, faults: r.faults}
		r.sessions.Add(session)
		r.mu.Unlock()
		r.tasks.Go(r.environment, func() { session.run() })
	}
}

// slowReader reads at most 16 bytes at a time, each time after a delay.
type slowReader struct {
	session *routerSession
	delay   time.Duration
}

func (r slowReader) Read(b []byte) (int, error) {
	env.Sleep(r.session.router.environment, r.delay, nil)
	return r.session.conn.Read(b[:min(len(b), 16)])
}

func (s *routerSession) run() {
	router := s.router
	defer s.close()
	if delay := s.faults.StartDelay; delay > 0 {
		env.Sleep(router.environment, delay, nil)
	}
	buffered := bufio.NewReaderSize(s.conn, bgp.MaxLen)
	if s.faults.SlowReadDelay > 0 {
		buffered = bufio.NewReaderSize(slowReader{s, s.faults.SlowReadDelay}, 64)
	}
	reader := bgp.NewReader(buffered)
	for {
		messageType, body, err := reader.Next()
		router.mu.Lock()
		if err == nil {
			err = s.handleMessage(messageType, body)
		}
		var notification *bgp.Notification
		if errors.As(err, &notification) {
			s.send(notification.Append(nil))
			s.writes.Finish()
		}
		router.mu.Unlock()
		if err != nil {
			return
		}
	}
}

var errNotificationReceived = errors.New("standin: router received a NOTIFICATION")

func (s *routerSession) send(message []byte) {
	s.writes.Enqueue(func(b []byte) []byte { return append(b, message...) })
}

// handleMessage handles a message from the speaker. The caller holds Router.mu.
func (s *routerSession) handleMessage(messageType bgp.Type, body []byte) error {
	s.lastReceived = s.router.environment.Now()
	if s.faults.Silent {
		return nil
	}
	switch messageType {
	case bgp.TypeOpen:
		return s.handleOpen(body)
	case bgp.TypeKeepalive:
		if s.state == bgp.OpenConfirm {
			s.enterState(bgp.Established)
			s.router.established++
			if s.faults.UnknownAttributes {
				s.send(unknownAttributesUpdate())
			}
		}
	case bgp.TypeUpdate:
		return s.handleUpdate(body)
	case bgp.TypeNotification:
		return errNotificationReceived
	}
	return nil
}

func (s *routerSession) handleOpen(body []byte) error {
	peerOpen, err := bgp.ParseOpen(body)
	if err != nil {
		return err
	}
	s.host, s.fourOctetAS = peerOpen.ID, peerOpen.FourAS
	ownOpen := &bgp.Open{AS: s.router.AS, HoldTime: uint16(routerHoldTime / time.Second), ID: s.router.ID, Families: []bgp.Family{bgp.IPv4, bgp.IPv6}, FourAS: true, Refresh: true}
	if s.faults.BadAS {
		ownOpen.AS++
	}
	if s.faults.NoIPv6 {
		ownOpen.Families = ownOpen.Families[:1]
	}
	if s.faults.ZeroHoldTime {
		ownOpen.HoldTime = 0
	}
	s.holdTime = time.Duration(min(ownOpen.HoldTime, peerOpen.HoldTime)) * time.Second
	s.send(ownOpen.Append(nil))
	s.enterState(bgp.OpenSent)
	s.send(bgp.AppendKeepalive(nil))
	s.enterState(bgp.OpenConfirm)
	s.scheduleKeepalive()
	return nil
}

// enterState enters a state and applies the faults that reset the session. The caller holds
// Router.mu.
func (s *routerSession) enterState(state bgp.State) {
	s.state = state
	if s.faults.ResetInState == state && state != bgp.Idle {
		s.writes.Abort()
	}
	if state == bgp.Established && s.faults.ResetAfter > 0 {
		s.router.environment.AfterFunc(s.faults.ResetAfter, s.writes.Abort)
	}
}

// scheduleKeepalive sends a KEEPALIVE, or what the faults have in its place, every third of the hold
// time, and closes the session when the hold timer has expired. The caller holds Router.mu.
func (s *routerSession) scheduleKeepalive() {
	if s.holdTime == 0 {
		return
	}
	s.keepaliveTimer = s.router.environment.AfterFunc(s.holdTime/3, func() {
		s.router.mu.Lock()
		defer s.router.mu.Unlock()
		if !s.router.sessions.Has(s) {
			return
		}
		if s.router.environment.Now()-s.lastReceived > s.holdTime {
			s.send((&bgp.Notification{Code: bgp.CodeHoldTimer}).Append(nil))
			s.writes.Finish()
			return
		}
		s.keepalives++
		keepalive := bgp.AppendKeepalive(nil)
		switch faults := s.faults; {
		case faults.NoKeepalive:
		case faults.TruncatedKeepalive:
			s.send(keepalive[:9])
			s.writes.Finish()
			return
		case faults.BadMarker:
			keepalive[3] = 0
			s.send(keepalive)
		case faults.BadLength:
			binary.BigEndian.PutUint16(keepalive[16:], bgp.MaxLen+1)
			s.send(keepalive)
		default:
			s.send(keepalive)
		}
		s.scheduleKeepalive()
	})
}

// unknownAttributesUpdate returns an UPDATE with an optional transitive attribute of an unknown type
// and a malformed attribute that only withdraws the prefix (RFC 7606).
func unknownAttributesUpdate() []byte {
	update := &bgp.Update{Attrs: &bgp.Attrs{Path: []bgp.Segment{{AS: []uint32{65010}}}, NextHop: netip.AddrFrom4([4]byte{192, 0, 2, 9})},
		Prefixes: []netip.Prefix{netip.PrefixFrom(netip.AddrFrom4([4]byte{203, 0, 113, 0}), 24)}}
	message := update.Append(nil, true)
	const attrsOffset = 21 // of the attributes' length, after the header and no withdrawn routes
	extraAttrs := []byte{0xc0, 0xfb, 2, 1, 2, 0x40, 4, 1, 0}
	attrsLen := binary.BigEndian.Uint16(message[attrsOffset:])
	end := attrsOffset + 2 + int(attrsLen)
	message = slices.Insert(message, end, extraAttrs...)
	binary.BigEndian.PutUint16(message[attrsOffset:], attrsLen+uint16(len(extraAttrs)))
	binary.BigEndian.PutUint16(message[16:], uint16(len(message)))
	return message
}

func (s *routerSession) handleUpdate(body []byte) error {
	if s.state != bgp.Established {
		return &bgp.Notification{Code: bgp.CodeFSM}
	}
	update, err := bgp.ParseUpdate(body, true, false)
	if err != nil {
		return err
	}
	s.router.updates++
	if update.EndOfRIB != (bgp.Family{}) {
		s.router.endOfRIBs++
	}
	for _, prefix := range update.Withdrawn {
		s.router.removeRoute(s.host, prefix, false)
	}
	for _, prefix := range update.Prefixes {
		path := bgp.Path{MED: update.Attrs.MED, Shutdown: slices.Contains(update.Attrs.Communities, bgp.GracefulShutdown)}
		for _, segment := range update.Attrs.Path {
			path.Prepend += uint8(len(segment.AS))
		}
		path.Prepend-- // the path contains the speaker's AS once without prepending
		s.router.addRoute(s.host, prefix, path)
	}
	return nil
}

func (r *Router) recordChange(change RouteChange) {
	change.At = r.environment.Now()
	r.changes = append(r.changes, change)
	if r.OnChange != nil {
		r.OnChange(change)
	}
}

func (r *Router) addRoute(host uint32, prefix netip.Prefix, path bgp.Path) {
	if r.rib[prefix] == nil {
		r.rib[prefix] = map[uint32]bgp.Path{}
	}
	r.rib[prefix][host] = path
	r.recordChange(RouteChange{Host: host, Prefix: prefix, Announced: true, Path: path})
}

func (r *Router) removeRoute(host uint32, prefix netip.Prefix, sessionEnded bool) {
	if _, had := r.rib[prefix][host]; !had {
		return
	}
	delete(r.rib[prefix], host)
	r.recordChange(RouteChange{Host: host, Prefix: prefix, SessionEnded: sessionEnded})
}

// close removes the session and, unless the same speaker has another established session, its routes.
func (s *routerSession) close() {
	s.writes.Finish()
	s.writes.Wait()
	router := s.router
	router.mu.Lock()
	defer router.mu.Unlock()
	router.sessions.Remove(s)
	if s.keepaliveTimer != nil {
		s.keepaliveTimer.Stop()
	}
	if s.state != bgp.Established {
		return
	}
	for _, other := range router.sessions.All() {
		if other.host == s.host && other.state == bgp.Established {
			return
		}
	}
	var prefixes []netip.Prefix
	for prefix, byHost := range router.rib {
		if _, had := byHost[s.host]; had {
			prefixes = append(prefixes, prefix)
		}
	}
	slices.SortFunc(prefixes, netip.Prefix.Compare)
	for _, prefix := range prefixes {
		router.removeRoute(s.host, prefix, true)
	}
}

// BestRoutes returns the equally best routes to a prefix: without graceful shutdown first, then by
// shorter path, then by lower MED.
func (r *Router) BestRoutes(prefix netip.Prefix) (best []RIBEntry) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for host, path := range r.rib[prefix] {
		best = append(best, RIBEntry{host, path})
	}
	rank := func(entry RIBEntry) int64 {
		value := int64(entry.Path.Prepend)<<32 | int64(entry.Path.MED)
		if entry.Path.Shutdown {
			value |= 1 << 50
		}
		return value
	}
	slices.SortFunc(best, func(a, b RIBEntry) int { return cmp.Or(cmp.Compare(rank(a), rank(b)), cmp.Compare(a.Host, b.Host)) })
	for i := range best {
		if rank(best[i]) != rank(best[0]) {
			return best[:i]
		}
	}
	return best
}

// RoutesFrom returns the routes that a speaker currently announces.
func (r *Router) RoutesFrom(host uint32) map[netip.Prefix]bgp.Path {
	r.mu.Lock()
	defer r.mu.Unlock()
	paths := map[netip.Prefix]bgp.Path{}
	for prefix, byHost := range r.rib {
		if path, ok := byHost[host]; ok {
			paths[prefix] = path
		}
	}
	return paths
}

// RouterCounters are the numbers of UPDATEs and End-of-RIB markers received and of sessions
// established.
type RouterCounters struct{ Updates, EndOfRIBs, Established int }

// Counters returns the current counters.
func (r *Router) Counters() RouterCounters {
	r.mu.Lock()
	defer r.mu.Unlock()
	return RouterCounters{r.updates, r.endOfRIBs, r.established}
}

// Changes returns a copy of the log of route changes.
func (r *Router) Changes() []RouteChange {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.changes)
}
