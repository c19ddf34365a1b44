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
	"time"

	"go.uber.org/zap"

	"merlinhitch/internal/runtime/env"
	"merlinhitch/internal/runtime/locks"
	"merlinhitch/internal/runtime/writequeue"
)

// Neighbour is a peer with the address at which it is dialled.
type Neighbour struct {
	PeerConfig
	Addr string // host:port
}

// Speaker runs the sessions with a set of peers and announces one table of routes to them. It has a
// goroutine that reads and a write queue for each connection, and a timer for each peer. It is safe
// for concurrent use.
type Speaker struct {
	environment env.Environment
	log         *zap.Logger
	listener    net.Listener
	mu          locks.Mutex
	table       *Table
	peers       []*neighbour
	nextConn    ConnID
	closed      bool
	tasks       env.WaitGroup
	ctx         context.Context
	cancel      context.CancelFunc
}

type neighbour struct {
	*Peer
	addr    string
	ip      string
	conns   map[ConnID]*link
	dials   int // connections that are being opened
	timer   env.Timer
	timerAt float64
}

// connIDs returns the peer's connections, the oldest first.
func (p *neighbour) connIDs() []ConnID { return slices.Sorted(maps.Keys(p.conns)) }

// link is the write side of a connection.
type link struct {
	*writequeue.Queue
	updating bool   // updates are queued; more are pulled once they are written
	queued   uint64 // version of the table up to which updates are queued
	written  uint64 // version of the table up to which updates are written
}

func (l *link) send(data []byte) { l.Enqueue(func(b []byte) []byte { return append(b, data...) }) }

const (
	// maxQueuedBytes bounds the bytes queued for a peer: a batch of updates and some KEEPALIVEs.
	maxQueuedBytes = 1 << 20
	// dialTimeout bounds the time to open a connection. It is longer than the ConnectRetryTime, after which
	// another is opened beside it, so that a peer which accepts slowly is reached too.
	dialTimeout = 20 * time.Second
	// minWriteTimeout is the least timeout of a write: the SendHoldTime (RFC 9687) of sessions
	// without a hold time.
	minWriteTimeout = 10 * time.Second
	// closeTimeout bounds the time in which a peer takes its last messages at Close.
	closeTimeout = time.Second
)

// StartSpeaker starts a speaker. If listen is empty, it only dials. It fails if it cannot listen.
func StartSpeaker(environment env.Environment, log *zap.Logger, listen string, neighbours []Neighbour) (*Speaker, error) {
	s := &Speaker{environment: environment, log: log, table: NewTable()}
	s.ctx, s.cancel = context.WithCancel(context.Background())
	if listen != "" {
		listener, err := environment.Listen("tcp", listen)
		if err != nil {
			return nil, err
		}
		s.listener = listener
		s.tasks.Go(environment, s.accept)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, n := range neighbours {
		host, _, err := net.SplitHostPort(n.Addr)
		if err != nil {
			host = n.Addr
		}
		p := &neighbour{Peer: NewPeer(n.PeerConfig, s.table, s.jitter), addr: n.Addr, ip: host, conns: map[ConnID]*link{}, timerAt: math.Inf(1)}
		s.peers = append(s.peers, p)
		s.perform(p, p.Start(s.now()))
	}
	return s, nil
}

func (s *Speaker) now() float64 { return env.MS(s.environment.Now()) }

// jitter returns a random factor from 0.75 to 1 (RFC 4271 section 10).
func (s *Speaker) jitter() float64 {
	return 0.75 + 0.25*float64(s.environment.RandomUint64()>>11)/(1<<53)
}

// Addr returns the address at which the speaker listens, nil if it does not.
func (s *Speaker) Addr() net.Addr {
	if s.listener == nil {
		return nil
	}
	return s.listener.Addr()
}

// Set replaces the announced routes.
func (s *Speaker) Set(routes []Route) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed || s.table.Set(routes) == 0 {
		return
	}
	sentToAll := s.table.Version()
	for _, p := range s.peers {
		s.queueUpdates(p)
		if version, established := p.Place(); established {
			sentToAll = min(sentToAll, version)
		}
	}
	s.table.Forget(sentToAll)
}

// queueUpdates queues the updates that a peer has not been sent, on connections that have none queued.
// The caller holds mu.
func (s *Speaker) queueUpdates(p *neighbour) {
	for _, c := range p.connIDs() {
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
		l.send(updates)
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
	s.queueUpdates(p)
}

// sentAll reports whether all updates of the present table are written to an established peer. The
// caller holds mu.
func (s *Speaker) sentAll(p *neighbour) bool {
	for _, c := range p.connIDs() {
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

// perform carries out the actions of a peer's state machine. The caller holds mu.
func (s *Speaker) perform(p *neighbour, outs []Out) {
	for _, o := range outs {
		switch o.Kind {
		case OutDial:
			p.dials++
			s.tasks.Go(s.environment, func() { s.dial(p) })
		case OutSend:
			if l := p.conns[o.Conn]; l != nil {
				l.send(o.Data)
			}
		case OutFinish:
			if l := p.conns[o.Conn]; l != nil {
				l.Finish()
				delete(p.conns, o.Conn)
			}
		case OutUp:
			s.log.Info("peer up", zap.String("peer", p.Cfg.Name))
			s.queueUpdates(p)
		case OutDown:
			s.log.Warn("peer down", zap.String("peer", p.Cfg.Name), zap.Error(p.LastError))
		}
	}
	s.setTimer(p)
}

// setTimer sets the peer's timer to its next deadline. The caller holds mu.
func (s *Speaker) setTimer(p *neighbour) {
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
	p.timer = s.environment.AfterFunc(max(env.Duration(at-s.now()), 0)+time.Microsecond, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		if s.closed {
			return
		}
		p.timerAt = math.Inf(1)
		s.perform(p, p.Tick(s.now()))
	})
}

func (s *Speaker) dial(p *neighbour) {
	c, err := s.environment.Dial(s.ctx, "tcp", p.addr, dialTimeout)
	s.mu.Lock()
	defer s.mu.Unlock()
	p.dials--
	switch {
	case err != nil && p.dials > 0: // another may still succeed
		p.LastError = err
	case err != nil:
		p.LastError = err
		s.perform(p, p.DialFailed(s.now()))
	case s.closed:
		c.Close()
	default:
		id := s.addConn(p, c)
		s.perform(p, p.Dialed(s.now(), id))
	}
}

// addConn adds a connection to a peer and starts to read from it. The caller holds mu.
func (s *Speaker) addConn(p *neighbour, c net.Conn) ConnID {
	s.nextConn++
	id := s.nextConn
	l := &link{Queue: writequeue.New(s.environment, c, maxQueuedBytes, max(env.Duration(2*p.Cfg.Times.Hold), minWriteTimeout))}
	l.OnIdle = func() { s.updatesWritten(p, id, l) }
	p.conns[id] = l
	s.tasks.Go(s.environment, func() { s.read(p, id, c, l) })
	return id
}

// read handles a connection's messages until it ends, and closes it.
func (s *Speaker) read(p *neighbour, id ConnID, conn net.Conn, l *link) {
	reader := NewReader(bufio.NewReaderSize(conn, MaxLen))
	for {
		messageType, body, err := reader.Next()
		if !s.handleMessage(p, id, l, messageType, body, err) {
			break
		}
	}
	l.Finish()
	l.Wait()
}

// handleMessage handles a message or the error that ended the connection. It reports whether more is
// to be read.
func (s *Speaker) handleMessage(p *neighbour, id ConnID, l *link, messageType Type, body []byte, err error) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return false
	}
	var notification *Notification
	switch {
	case errors.As(err, &notification):
		s.perform(p, p.Bad(s.now(), id, notification))
	case err != nil:
		if p.conns[id] == l {
			p.LastError = fmt.Errorf("bgp: connection over: %w", err)
		}
		s.perform(p, p.Lost(s.now(), id))
	default:
		s.perform(p, p.Message(s.now(), id, messageType, body))
	}
	if err != nil {
		delete(p.conns, id)
		return false
	}
	if p.conns[id] != l {
		return false
	}
	if messageType == TypeRouteRefresh {
		s.queueUpdates(p)
	}
	return true
}

func (s *Speaker) accept() {
	for {
		c, err := s.listener.Accept()
		if err != nil {
			return
		}
		s.mu.Lock()
		p := s.findPeer(c)
		if p == nil || s.closed {
			s.mu.Unlock()
			c.Close()
			s.log.Warn("connection from no peer", zap.Stringer("from", c.RemoteAddr()))
			continue
		}
		id := s.addConn(p, c)
		s.perform(p, p.Accepted(s.now(), id))
		s.mu.Unlock()
	}
}

// findPeer returns the peer with the connection's remote address, nil if there is none. Of several
// peers it prefers one that is not established.
func (s *Speaker) findPeer(c net.Conn) (found *neighbour) {
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

// PeerStatus is the state of a peer, as shown to operators.
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

// Status returns the state of each peer.
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

// Close sends the updates that are left and a Cease NOTIFICATION with the text to every peer, closes
// the connections and waits for all goroutines. A peer that takes too long is cut off.
func (s *Speaker) Close(text string) {
	s.mu.Lock()
	if s.closed {
		s.mu.Unlock()
		return
	}
	var links []*link
	for _, p := range s.peers {
		for _, c := range p.connIDs() {
			l := p.conns[c]
			links = append(links, l)
			for b := p.Pull(c); len(b) > 0; b = p.Pull(c) { // withdrawals go before the end
				l.send(b)
			}
		}
		s.perform(p, p.Stop(s.now(), Shutdown(CeaseShutdown, text)))
	}
	late := s.environment.AfterFunc(closeTimeout, func() {
		for _, l := range links {
			l.Abort()
		}
	})
	defer late.Stop()
	s.stop()
}

// Kill closes all connections at once without a NOTIFICATION, as the end of the process would.
func (s *Speaker) Kill() {
	s.mu.Lock()
	if s.closed {
		s.mu.Unlock()
		return
	}
	for _, p := range s.peers {
		for _, c := range p.connIDs() {
			p.conns[c].Abort()
		}
	}
	s.stop()
}

// stop stops timers and goroutines and waits for them. The caller holds mu, which stop releases.
func (s *Speaker) stop() {
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
	s.tasks.Wait(s.environment)
}
