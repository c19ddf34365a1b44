package bgp

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"maps"
	"math"
	"net"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"merlinhitch/internal/runtime/env"
	"merlinhitch/internal/runtime/writequeue"
)

// Neighbour is a peer with the address at which it is dialled.
type Neighbour struct {
	PeerConfig
	Addr string // host:port
}

// Speaker is the shell of some peers: a goroutine for what each connection brings,
// a write queue for what it is told, a timer for each peer.
type Speaker struct {
	world    env.Environment
	log      *zap.Logger
	listener net.Listener
	mu       sync.Mutex
	table    *Table
	peers    []*neighbour
	nextConn ConnID
	closed   bool
	tasks    env.WaitGroup
	ctx      context.Context
	cancel   context.CancelFunc
}

type neighbour struct {
	*Peer
	addr    string
	ip      string
	conns   map[ConnID]*link
	timer   env.Timer
	timerAt float64
}

// inOrder lists the connections by age.
func (p *neighbour) inOrder() []ConnID { return slices.Sorted(maps.Keys(p.conns)) }

// link is a connection's writing half.
type link struct {
	*writequeue.Queue
	updating bool   // updates are queued; more are pulled once they are written
	queued   uint64 // version of the table up to which updates are queued
	written  uint64 // version of the table up to which updates are written
}

func (l *link) put(data []byte) { l.Enqueue(func(b []byte) []byte { return append(b, data...) }) }

const (
	// outMost bounds what waits for a peer to read: a batch and some signs of life.
	outMost = 1 << 20
	// dialTime is for a connection to open.
	dialTime = 2 * time.Second
	// leastSend is the least time that a peer gets to take what it is sent: SendHold
	// (RFC 9687) for sessions without a hold time.
	leastSend = 10 * time.Second
	// partTime is what a peer gets to take the last words.
	partTime = time.Second
)

// StartSpeaker starts a speaker; with listen "" it only dials.
func StartSpeaker(w env.Environment, log *zap.Logger, listen string, list []Neighbour) (*Speaker, error) {
	s := &Speaker{world: w, log: log, table: NewTable()}
	s.ctx, s.cancel = context.WithCancel(context.Background())
	if listen != "" {
		l, err := w.Listen("tcp", listen)
		if err != nil {
			return nil, err
		}
		s.listener = l
		s.tasks.Go(w, s.accept)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, n := range list {
		host, _, err := net.SplitHostPort(n.Addr)
		if err != nil {
			host = n.Addr
		}
		p := &neighbour{Peer: NewPeer(n.PeerConfig, s.table, s.jitter), addr: n.Addr, ip: host, conns: map[ConnID]*link{}, timerAt: math.Inf(1)}
		s.peers = append(s.peers, p)
		s.carry(p, p.Start(s.now()))
	}
	return s, nil
}

func (s *Speaker) now() float64 { return env.MS(s.world.Now()) }

// jitter is 0.75 to 1 (RFC 4271 section 10).
func (s *Speaker) jitter() float64 { return 0.75 + 0.25*float64(s.world.RandomUint64()>>11)/(1<<53) }

// Addr is where the speaker listens, nil if nowhere.
func (s *Speaker) Addr() net.Addr {
	if s.listener == nil {
		return nil
	}
	return s.listener.Addr()
}

// Set makes the announced set exactly that.
func (s *Speaker) Set(routes []Route) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed || s.table.Set(routes) == 0 {
		return
	}
	low := s.table.Version()
	for _, p := range s.peers {
		s.pull(p)
		if at, ok := p.Place(); ok {
			low = min(low, at)
		}
	}
	s.table.Forget(low)
}

// pull queues the updates that a peer has not been sent, on connections that have none queued.
func (s *Speaker) pull(p *neighbour) {
	for _, c := range p.inOrder() {
		l := p.conns[c]
		if l.updating {
			continue
		}
		updates := p.Pull(c)
		l.queued = p.PlaceOn(c)
		if len(updates) == 0 {
			l.written = l.queued
			continue
		}
		l.updating = true
		l.put(updates)
	}
}

// updatesWritten handles the moment at which a connection's queue is written and empty.
func (s *Speaker) updatesWritten(p *neighbour, id ConnID, l *link) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if p.conns[id] != l || !l.Idle() { // not idle: updates were queued since, and this is called again for them
		return
	}
	l.updating, l.written = false, l.queued
	s.pull(p)
}

// sentAll reports whether all updates of the present table are written to an established peer. The
// caller holds mu.
func (s *Speaker) sentAll(p *neighbour) bool {
	for _, c := range p.inOrder() {
		if p.EstablishedOn(c) {
			return p.conns[c].written == s.table.Version()
		}
	}
	return false
}

// Unsent returns the names of the established peers to which some of the routes that are set have
// not been written yet.
func (s *Speaker) Unsent() (names []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, p := range s.peers {
		if p.State() == Established && !s.sentAll(p) {
			names = append(names, p.Cfg.Name)
		}
	}
	return names
}

// carry does what a peer's core says. Held: mu.
func (s *Speaker) carry(p *neighbour, outs []Out) {
	for _, o := range outs {
		switch o.Kind {
		case OutDial:
			s.tasks.Go(s.world, func() { s.dial(p) })
		case OutSend:
			if box := p.conns[o.Conn]; box != nil {
				box.put(o.Data)
			}
		case OutFinish:
			if box := p.conns[o.Conn]; box != nil {
				box.Finish()
				delete(p.conns, o.Conn)
			}
		case OutUp:
			s.log.Info("peer up", zap.String("peer", p.Cfg.Name))
			s.pull(p)
		case OutDown:
			s.log.Warn("peer down", zap.String("peer", p.Cfg.Name), zap.Error(p.LastError))
		}
	}
	s.arm(p)
}

// arm sets the peer's timer. Held: mu.
func (s *Speaker) arm(p *neighbour) {
	at := p.Next()
	if at == p.timerAt {
		return
	}
	if p.timer != nil {
		p.timer.Stop()
	}
	if p.timerAt = at; math.IsInf(at, 1) || s.closed {
		return
	}
	p.timer = s.world.AfterFunc(max(env.Duration(at-s.now()), 0)+time.Microsecond, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		if s.closed {
			return
		}
		p.timerAt = math.Inf(1)
		s.carry(p, p.Tick(s.now()))
	})
}

func (s *Speaker) dial(p *neighbour) {
	c, err := s.world.Dial(s.ctx, "tcp", p.addr, dialTime)
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case err != nil:
		p.LastError = err
		s.carry(p, p.DialFailed(s.now()))
	case s.closed:
		c.Close()
	default:
		id := s.open(p, c)
		s.carry(p, p.Dialed(s.now(), id))
	}
}

// open makes a connection one of the peer's. Held: mu.
func (s *Speaker) open(p *neighbour, c net.Conn) ConnID {
	s.nextConn++
	id := s.nextConn
	l := &link{Queue: writequeue.New(s.world, c, outMost, max(env.Duration(2*p.Cfg.Times.Hold), leastSend))}
	l.OnIdle = func() { s.updatesWritten(p, id, l) }
	p.conns[id] = l
	s.tasks.Go(s.world, func() { s.read(p, id, c, l) })
	return id
}

func (s *Speaker) read(p *neighbour, id ConnID, c net.Conn, o *link) {
	r := NewReader(bufio.NewReaderSize(c, MaxLen))
	for {
		t, body, err := r.Next()
		s.mu.Lock()
		if s.closed {
			s.mu.Unlock()
			break
		}
		var n *Notification
		switch {
		case errors.As(err, &n):
			s.carry(p, p.Bad(s.now(), id, n))
		case err != nil:
			if p.conns[id] == o {
				p.LastError = fmt.Errorf("bgp: connection over: %w", err)
			}
			s.carry(p, p.Lost(s.now(), id))
		default:
			s.carry(p, p.Message(s.now(), id, t, body))
		}
		live := p.conns[id] == o
		if live && err == nil && t == TypeRouteRefresh {
			s.pull(p)
		}
		if err != nil {
			delete(p.conns, id)
		}
		s.mu.Unlock()
		if err != nil || !live {
			break
		}
	}
	o.Finish()
	o.Wait()
}

func (s *Speaker) accept() {
	for {
		c, err := s.listener.Accept()
		if err != nil {
			return
		}
		s.mu.Lock()
		p := s.find(c)
		if p == nil || s.closed {
			s.mu.Unlock()
			c.Close()
			s.log.Warn("connection from no peer", zap.Stringer("from", c.RemoteAddr()))
			continue
		}
		id := s.open(p, c)
		s.carry(p, p.Accepted(s.now(), id))
		s.mu.Unlock()
	}
}

// find is the peer of that address; of several, one that is not established.
func (s *Speaker) find(c net.Conn) (found *neighbour) {
	host, _, err := net.SplitHostPort(c.RemoteAddr().String())
	if err != nil {
		return nil
	}
	for _, p := range s.peers {
		if p.ip == host && (found == nil || found.State() == Established) {
			found = p
		}
	}
	return found
}

// PeerStatus is what operators see of a peer.
type PeerStatus struct {
	Name      string  `json:"name"`
	Addr      string  `json:"addr"`
	State     string  `json:"state"`
	SinceMS   float64 `json:"since_ms"` // in this state
	Ups       int     `json:"ups"`
	Updates   int     `json:"updates"`
	Told      bool    `json:"told"` // all routes that are set have been written to it
	LastError string  `json:"last_error,omitempty"`
}

// Status lists the peers.
func (s *Speaker) Status() []PeerStatus {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []PeerStatus
	for _, p := range s.peers {
		st := PeerStatus{Name: p.Cfg.Name, Addr: p.addr, State: p.State().String(), SinceMS: s.now() - p.LastChange, Ups: p.Ups, Updates: p.Updates}
		st.Told = p.State() == Established && s.sentAll(p)
		if p.LastError != nil {
			st.LastError = p.LastError.Error()
		}
		out = append(out, st)
	}
	return out
}

// Close ends every session with a Cease that carries the text, waits until that is
// out or the peer takes nothing, and ends all goroutines.
func (s *Speaker) Close(text string) {
	s.mu.Lock()
	if s.closed {
		s.mu.Unlock()
		return
	}
	var links []*link
	for _, p := range s.peers {
		for _, c := range p.inOrder() {
			l := p.conns[c]
			links = append(links, l)
			for b := p.Pull(c); len(b) > 0; b = p.Pull(c) { // withdrawals go before the end
				l.put(b)
			}
		}
		s.carry(p, p.Stop(s.now(), Shutdown(CeaseShutdown, text)))
	}
	late := s.world.AfterFunc(partTime, func() {
		for _, l := range links {
			l.Abort()
		}
	})
	defer late.Stop()
	s.end()
}

// Kill ends all connections at once, without a word, as the end of the process would.
func (s *Speaker) Kill() {
	s.mu.Lock()
	if s.closed {
		s.mu.Unlock()
		return
	}
	for _, p := range s.peers {
		for _, c := range p.inOrder() {
			p.conns[c].Abort()
		}
	}
	s.end()
}

// end stops what runs. It gives up mu.
func (s *Speaker) end() {
	s.closed = true
	s.cancel()
	for _, p := range s.peers {
		if p.timer != nil {
			p.timer.Stop()
		}
	}
	s.mu.Unlock()
	if s.listener != nil {
		s.listener.Close()
	}
	s.tasks.Wait(s.world)
}
