package bgp

import (
	"math"
	"net/netip"
	"slices"
)

// PeerConfig is one neighbour.
type PeerConfig struct {
	Name     string
	LocalAS  uint32
	PeerAS   uint32
	ID       uint32 // one's own
	Passive  bool   // never dials
	Families []Family
	Hop4     netip.Addr // next hops told; a family without one is not announced
	Hop6     netip.Addr
	Times    Times
}

// ConnID names a connection between a Peer and its shell. 0: none.
type ConnID uint64

// OutKind is something that a Peer has its shell do.
type OutKind uint8

// The kinds.
const (
	OutDial   OutKind = iota
	OutSend           // Data on Conn
	OutFinish         // close Conn once what was sent before is out
	OutUp             // established; the shell may ask for updates with Pull
	OutDown
)

// Out is one thing to do.
type Out struct {
	Kind OutKind
	Conn ConnID
	Data []byte
}

// session is one connection's machine.
type session struct {
	fsm    *FSM
	conn   ConnID
	timers [timerCount]float64
	open   *Open // the peer's
	upAt   float64

	place uint64   // in the table
	base  uint64   // the table's version when the session began
	fresh bool     // the first telling of the whole is not over
	reset []Family // to be told again (RFC 2918)
}

// Peer is a neighbour: the machine of the connection that is dialled, that of one
// that was accepted, and which of them stays. It is a core: times, messages and ends
// of connections go in, bytes come out.
type Peer struct {
	Cfg     PeerConfig
	table   *Table
	jitter  func() float64
	slots   [2]*session // dialled, accepted
	out     []Out
	running bool
	// Counts for operators.
	Ups, Updates, Received int
	LastError              error
	LastChange             float64
}

const (
	dialled  = 0
	accepted = 1
)

// NewPeer returns a stopped peer that is to be told a table.
func NewPeer(cfg PeerConfig, t *Table, jitter func() float64) *Peer {
	return &Peer{Cfg: cfg, table: t, jitter: jitter}
}

func (p *Peer) newSession(damp bool) *session {
	s := &session{fsm: NewFSM(p.Cfg.Times, damp, p.jitter)}
	for t := range s.timers {
		s.timers[t] = math.Inf(1)
	}
	return s
}

// State is that of the connection that has come farthest.
func (p *Peer) State() State {
	state := Idle
	for _, s := range p.slots {
		if s != nil {
			state = max(state, s.fsm.State)
		}
	}
	return state
}

// Start has the peer dial, or wait to be dialled.
func (p *Peer) Start(now float64) []Out {
	p.out = p.out[:0]
	p.running = true
	if !p.Cfg.Passive && p.slots[dialled] == nil {
		p.slots[dialled] = p.newSession(true)
		p.tell(now, dialled, ManualStart, nil)
	}
	return p.out
}

// Stop ends every connection with that notification.
func (p *Peer) Stop(now float64, n *Notification) []Out {
	p.out = p.out[:0]
	p.running = false
	for i := range p.slots {
		if p.slots[i] != nil {
			p.tell(now, i, ManualStop, n)
			p.slots[i] = nil
		}
	}
	return p.out
}

// Dialed brings the connection that OutDial asked for. One that comes too late is
// closed.
func (p *Peer) Dialed(now float64, c ConnID) []Out {
	p.out = p.out[:0]
	s := p.slots[dialled]
	if s == nil || s.conn != 0 || s.fsm.State != Connect {
		p.out = append(p.out, Out{Kind: OutFinish, Conn: c})
		return p.out
	}
	s.conn = c
	p.tell(now, dialled, TCPAcked, nil)
	return p.out
}

// DialFailed says that there will be none.
func (p *Peer) DialFailed(now float64) []Out {
	p.out = p.out[:0]
	if s := p.slots[dialled]; s != nil && s.conn == 0 && s.fsm.State == Connect {
		p.tell(now, dialled, TCPFails, nil)
	}
	return p.out
}

// Accepted brings a connection that the peer opened. While one that it opened before
// lives, it is refused.
func (p *Peer) Accepted(now float64, c ConnID) []Out {
	p.out = p.out[:0]
	if !p.running || p.slots[accepted] != nil {
		n := &Notification{Code: CodeCease, Subcode: CeaseRejected}
		p.out = append(p.out, Out{OutSend, c, n.Append(nil)}, Out{Kind: OutFinish, Conn: c})
		return p.out
	}
	s := p.newSession(false)
	s.conn = c
	p.slots[accepted] = s
	p.tell(now, accepted, AutomaticStartPassive, nil)
	p.tell(now, accepted, TCPConfirmed, nil)
	return p.out
}

func (p *Peer) slot(c ConnID) int {
	return slices.IndexFunc(p.slots[:], func(s *session) bool { return s != nil && s.conn == c && c != 0 })
}

// Lost says that a connection is over.
func (p *Peer) Lost(now float64, c ConnID) []Out {
	p.out = p.out[:0]
	if i := p.slot(c); i >= 0 {
		p.slots[i].conn = 0
		p.tell(now, i, TCPFails, nil)
	}
	return p.out
}

// Bad brings what Reader found wrong with a message.
func (p *Peer) Bad(now float64, c ConnID, n *Notification) []Out {
	p.out = p.out[:0]
	if i := p.slot(c); i >= 0 {
		p.LastError = n
		p.tell(now, i, HeaderErr, n)
	}
	return p.out
}

// Message brings a message's body.
func (p *Peer) Message(now float64, c ConnID, t Type, body []byte) []Out {
	p.out = p.out[:0]
	i := p.slot(c)
	if i < 0 {
		return p.out
	}
	p.Received++
	switch t {
	case TypeOpen:
		p.opened(now, i, body)
	case TypeKeepalive:
		p.tell(now, i, KeepaliveReceived, nil)
		p.settle(now, p.slots[i])
	case TypeNotification:
		p.notified(now, i, body)
	case TypeUpdate:
		p.updated(now, i, body)
	case TypeRouteRefresh:
		p.refresh(now, i, body)
	}
	return p.out
}

// settle forgets the failures of before once a session has lasted.
func (p *Peer) settle(now float64, s *session) {
	if s != nil && s.fsm.State == Established && now-s.upAt > p.Cfg.Times.IdleHoldMost {
		s.fsm.Retries = 0
	}
}

func (p *Peer) opened(now float64, i int, body []byte) {
	s := p.slots[i]
	o, err := ParseOpen(body)
	if err == nil {
		err = p.judge(o)
	}
	if err != nil {
		p.LastError = err
		p.tell(now, i, OpenMsgErr, err.(*Notification)) // what ParseOpen and judge return is one
		return
	}
	if s.fsm.State == OpenSent {
		s.open = o
		if !p.collide(now, i) {
			return
		}
	}
	e := OpenReceived
	if s.fsm.delayed {
		e = OpenWithDelay
		s.open = o
	}
	p.tell(now, i, e, nil)
}

// judge holds an OPEN to what is known of the peer.
func (p *Peer) judge(o *Open) error {
	if o.AS != p.Cfg.PeerAS {
		return openError(OpenBadPeerAS)
	}
	if o.ID == p.Cfg.ID && o.AS == p.Cfg.LocalAS {
		return openError(OpenBadID)
	}
	return nil
}

// collide settles which of two connections stays, when the OPEN of one has come
// (RFC 4271 section 6.8); false if it is not this one. An established connection is
// held to the same rule (CollisionDetectEstablishedState): it may not be established
// at the peer yet, and both sides must choose the same.
func (p *Peer) collide(now float64, i int) bool {
	s, o := p.slots[i], p.slots[1-i]
	if o == nil || o.fsm.State != OpenConfirm && o.fsm.State != Established {
		return true
	}
	keep := accepted // the one that the side of the higher identifier began
	if p.Cfg.ID > s.open.ID || p.Cfg.ID == s.open.ID && p.Cfg.LocalAS > s.open.AS {
		keep = dialled
	}
	if keep != i {
		p.tell(now, i, CollisionDump, nil)
		return false
	}
	p.tell(now, 1-i, CollisionDump, nil)
	return true
}

func (p *Peer) notified(now float64, i int, body []byte) {
	n, err := parseNotification(body)
	if err != nil {
		p.tell(now, i, HeaderErr, err.(*Notification))
		return
	}
	p.LastError = n
	if n.Code == CodeOpen && n.Subcode == OpenUnsupportedVersion {
		p.tell(now, i, NotifVersionErr, nil)
		return
	}
	p.tell(now, i, NotifReceived, nil)
}

func (p *Peer) updated(now float64, i int, body []byte) {
	s := p.slots[i]
	if s.fsm.State == Established {
		if _, err := ParseUpdate(body, s.open.FourAS, p.internal()); err != nil {
			p.LastError = err
			p.tell(now, i, UpdateMsgErr, err.(*Notification))
			return
		}
	}
	p.tell(now, i, UpdateReceived, nil)
}

// refresh has a family told again; one that was not agreed on is passed over.
func (p *Peer) refresh(now float64, i int, body []byte) {
	s, f := p.slots[i], parseRefresh(body)
	if s.fsm.State != Established {
		p.tell(now, i, UpdateReceived, nil) // out of place, as an UPDATE would be
		return
	}
	if p.speaks(s, f) && !slices.Contains(s.reset, f) {
		s.reset = append(s.reset, f)
	}
}

func (p *Peer) internal() bool { return p.Cfg.LocalAS == p.Cfg.PeerAS }

// speaks tells whether a family was agreed on.
func (p *Peer) speaks(s *session, f Family) bool {
	theirs := s.open.Families
	if len(theirs) == 0 {
		theirs = []Family{IPv4}
	}
	return slices.Contains(p.Cfg.Families, f) && slices.Contains(theirs, f)
}

// tell gives a session's machine an event and carries out what it says.
func (p *Peer) tell(now float64, i int, e Event, n *Notification) {
	s := p.slots[i]
	hold := 0.0
	if s.open != nil {
		hold = float64(s.open.HoldTime) * 1000
	}
	was := s.fsm.State
	for _, a := range s.fsm.Handle(e, n, hold) {
		switch a.Kind {
		case ActDial:
			p.out = append(p.out, Out{Kind: OutDial})
		case ActDrop:
			if s.conn != 0 {
				p.out = append(p.out, Out{Kind: OutFinish, Conn: s.conn})
			}
			s.conn, s.open = 0, nil
		case ActOpen:
			p.send(s, p.ownOpen().Append(nil))
		case ActKeep:
			p.send(s, AppendKeepalive(nil))
		case ActNotify:
			p.LastError = a.Note
			p.send(s, a.Note.Append(nil))
		case ActUp:
			p.establish(now, s)
		case ActDown:
			p.out = append(p.out, Out{Kind: OutDown, Conn: s.conn})
		case ActStartTimer:
			s.timers[a.Timer] = now + a.After
		case ActStopTimer:
			s.timers[a.Timer] = math.Inf(1)
		}
	}
	if s.fsm.State != was {
		p.LastChange = now
	}
	if i == accepted && was > Idle && s.fsm.State < OpenSent && s.conn == 0 {
		p.fell(now)
	}
	p.quiet(now)
}

// quiet has no further connection sought while one is established. One that is under
// way is left for its OPEN to settle: were it closed here, the peer might have closed
// the established one in its favour by then, and none would stay.
func (p *Peer) quiet(now float64) {
	for i, s := range p.slots {
		o := p.slots[1-i]
		if s == nil || o == nil || o.fsm.State != Established || s.fsm.State >= OpenSent || s.conn != 0 {
			continue
		}
		if s.timers[IdleHold] = math.Inf(1); s.fsm.State != Idle {
			p.tell(now, i, ManualStop, nil)
		}
	}
}

// fell forgets an accepted connection that is over, and has the peer dial again.
func (p *Peer) fell(now float64) {
	p.slots[accepted] = nil
	if d := p.slots[dialled]; d != nil && d.fsm.State == Idle && math.IsInf(d.timers[IdleHold], 1) {
		d.timers[IdleHold] = now + p.Cfg.Times.IdleHold*p.jitter()
	}
}

func (p *Peer) send(s *session, b []byte) {
	if s.conn != 0 {
		p.out = append(p.out, Out{OutSend, s.conn, b})
	}
}

func (p *Peer) ownOpen() *Open {
	return &Open{AS: p.Cfg.LocalAS, HoldTime: uint16(p.Cfg.Times.Hold / 1000), ID: p.Cfg.ID, Families: p.Cfg.Families, FourAS: true, Refresh: true}
}

func (p *Peer) establish(now float64, s *session) {
	p.Ups++
	s.upAt, s.place, s.base, s.fresh, s.reset = now, 0, p.table.version, true, nil
	p.out = append(p.out, Out{Kind: OutUp, Conn: s.conn})
}

// stalled is a lateness of a timer, in ms, that says that this process stood still:
// what the peer sent meanwhile lies unread, so its silence proves nothing yet. It is
// heard for as long once more.
const stalled = 1000

// Tick does what has come due.
func (p *Peer) Tick(now float64) []Out {
	p.out = p.out[:0]
	for i := range p.slots {
		for t := Timer(0); t < timerCount; t++ {
			if s := p.slots[i]; s != nil && s.timers[t] <= now {
				late := now - s.timers[t]
				if s.timers[t] = math.Inf(1); t == HoldTimer && late > stalled {
					s.timers[t] = now + stalled
					continue
				}
				p.tell(now, i, expiries[t], nil)
			}
		}
	}
	return p.out
}

var expiries = [timerCount]Event{ConnectRetry: ConnectRetryExpires, HoldTimer: HoldExpires, KeepaliveTimer: KeepaliveExpires,
	DelayOpen: DelayOpenExpires, IdleHold: IdleHoldExpires}

// Next is when Tick has something to do, +Inf if never.
func (p *Peer) Next() float64 {
	at := math.Inf(1)
	for _, s := range p.slots {
		if s != nil {
			at = min(at, slices.Min(s.timers[:]))
		}
	}
	return at
}

// Place is how far the established session has been told the table; ok is false if
// there is none.
func (p *Peer) Place() (place uint64, ok bool) {
	for _, s := range p.slots {
		if s != nil && s.fsm.State == Established {
			return s.place, true
		}
	}
	return 0, false
}

// EstablishedOn reports whether the session on a connection is established.
func (p *Peer) EstablishedOn(c ConnID) bool {
	i := p.slot(c)
	return i >= 0 && p.slots[i].fsm.State == Established
}

// PlaceOn returns the version of the table up to which Pull has returned updates for the established
// session on a connection, 0 if there is none.
func (p *Peer) PlaceOn(c ConnID) uint64 {
	if !p.EstablishedOn(c) {
		return 0
	}
	return p.slots[p.slot(c)].place
}

// Pull returns the next messages for the established session on c, none if it has
// been told all. The shell asks when it has written what it had: a peer that does
// not read holds up nobody, and misses nothing but what no longer holds.
func (p *Peer) Pull(c ConnID) []byte {
	if !p.EstablishedOn(c) {
		return nil
	}
	s := p.slots[p.slot(c)]
	st := style{p.Cfg.LocalAS, p.internal(), s.open.FourAS, p.speaks(s, IPv4) && p.Cfg.Hop4.IsValid(), p.speaks(s, IPv6) && p.Cfg.Hop6.IsValid(), p.Cfg.Hop4, p.Cfg.Hop6}
	if s.place < p.table.version {
		b, at := p.table.batch(s.place, s.base, st)
		s.place = at
		p.Updates += countMessages(b)
		if len(b) > 0 {
			return b
		}
	}
	if b := p.endOfRIB(s); b != nil {
		return b
	}
	if len(s.reset) > 0 {
		return p.again(s, st)
	}
	return nil
}

// endOfRIB marks, once for each family, that the peer has the whole table.
func (p *Peer) endOfRIB(s *session) (b []byte) {
	if !s.fresh {
		return nil
	}
	s.fresh = false
	for _, f := range []Family{IPv4, IPv6} {
		if p.speaks(s, f) {
			b = (&Update{EndOfRIB: f}).Append(b, true)
		}
	}
	return b
}

// again tells whole families once more.
func (p *Peer) again(s *session, st style) []byte {
	st.v4, st.v6 = st.v4 && slices.Contains(s.reset, IPv4), st.v6 && slices.Contains(s.reset, IPv6)
	var all []byte
	for place := uint64(0); place < s.place; {
		b, at := p.table.write(place, s.place, st)
		if at == place {
			break
		}
		all, place = append(all, b...), at
	}
	for _, f := range s.reset {
		all = (&Update{EndOfRIB: f}).Append(all, true)
	}
	s.reset = nil
	return all
}

func countMessages(b []byte) (n int) {
	for len(b) >= headerLen {
		k := int(b[16])<<8 | int(b[17])
		if k < headerLen || k > len(b) {
			break
		}
		b = b[k:]
		n++
	}
	return n
}
