package soak

import (
	"bufio"
	"math/rand/v2"
	"net"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"merlinhitch/internal/protocol/http1"
)

// Behaviour is how a disk server treats requests.
type Behaviour int32

// The behaviours.
const (
	Healthy     Behaviour = iota
	Hung                  // it reads and never answers
	Failing               // it answers 500
	Resetting             // it resets the connection under the request
	Rejecting             // it turns requests away unrun
	Down                  // it resets each connection that comes
	Unreachable           // no connection to it comes up, and nothing comes back on those that are
)

var behaviourNames = [...]string{"well", "hung", "erring", "resetting", "rejecting", "down", "dark"}

func (b Behaviour) String() string { return behaviourNames[b] }

// Servers are the stand-in disk servers, each at an address of its own.
type Servers struct {
	record          *Record
	meanServiceTime time.Duration // mean time of a request
	servers         []*diskServer
	tasks           sync.WaitGroup

	acceptedConns atomic.Int64 // connections
}

type diskServer struct {
	index     int
	listener  net.Listener
	behaviour atomic.Int32

	mu             sync.Mutex
	reachableAgain chan struct{} // closed once it is dark no more; nil: it is not
	conns          map[net.Conn]bool
}

var messageLimits = http1.Limits{MaxHeadBytes: 16 << 10, MaxFields: 64, MaxBodyBytes: 64 << 10}

// StartServers listens for so many disk servers on loopback.
func StartServers(n int, service time.Duration, r *Record) (*Servers, error) {
	s := &Servers{record: r, meanServiceTime: service}
	for i := range n {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			s.Close()
			return nil, err
		}
		d := &diskServer{index: i, listener: l, conns: map[net.Conn]bool{}}
		s.servers = append(s.servers, d)
		s.tasks.Add(1)
		go s.accept(d)
	}
	return s, nil
}

// Address is where a disk server listens.
func (s *Servers) Address(server int) string { return s.servers[server].listener.Addr().String() }

// SetBehaviour sets how a disk server treats what comes from now on; Down also resets what is open.
func (s *Servers) SetBehaviour(server int, b Behaviour) {
	d := s.servers[server]
	d.behaviour.Store(int32(b))
	if b == Down {
		d.resetConns()
	}
	d.setUnreachable(b == Unreachable)
}

// normalBacklog is how many connections wait for accept where a server is not dark.
const normalBacklog = 4096

// setUnreachable has the kernel drop what asks for a connection, for nothing is accepted and the
// queue is full; or undoes that.
func (d *diskServer) setUnreachable(dark bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if dark == (d.reachableAgain != nil) {
		return
	}
	if !dark {
		close(d.reachableAgain)
		d.reachableAgain = nil
		d.setBacklog(normalBacklog)
		return
	}
	d.reachableAgain = make(chan struct{})
	d.setBacklog(0)
	go d.fillBacklog(d.reachableAgain)
}

func (d *diskServer) setBacklog(backlog int) {
	raw, err := d.listener.(*net.TCPListener).SyscallConn()
	if err == nil {
		raw.Control(func(fd uintptr) { syscall.Listen(int(fd), backlog) })
	}
}

// fillBacklog takes the places in the queue: one that the accepting goroutine holds, and what waits.
func (d *diskServer) fillBacklog(light chan struct{}) {
	for range 3 {
		c, err := net.DialTimeout("tcp", d.listener.Addr().String(), 50*time.Millisecond)
		if err != nil {
			return
		}
		defer c.Close()
	}
	<-light
}

// waitReachable returns once the server is not dark; it tells whether it was.
func (d *diskServer) waitReachable() bool {
	d.mu.Lock()
	light := d.reachableAgain
	d.mu.Unlock()
	if light != nil {
		<-light
	}
	return light != nil
}

// Close ends all of them.
func (s *Servers) Close() {
	for _, d := range s.servers {
		d.setUnreachable(false)
		d.listener.Close()
		d.resetConns()
	}
	s.tasks.Wait()
}

func (d *diskServer) resetConns() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for c := range d.conns {
		resetConn(c)
	}
}

func resetConn(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		t.SetLinger(0)
	}
	c.Close()
}

// accept serves what comes. What the kernel took while the server was dark, one connection
// here and one in the queue, is reset: it holds requests that were sent long before.
func (s *Servers) accept(d *diskServer) {
	defer s.tasks.Done()
	for stale := 0; ; {
		c, err := d.listener.Accept()
		if err != nil {
			return
		}
		s.acceptedConns.Add(1)
		if d.waitReachable() {
			stale = 2
		}
		if stale > 0 {
			stale--
			resetConn(c)
			continue
		}
		d.mu.Lock()
		d.conns[c] = true
		d.mu.Unlock()
		s.tasks.Add(1)
		go s.serve(d, c)
	}
}

func (s *Servers) serve(d *diskServer, c net.Conn) {
	defer s.tasks.Done()
	defer func() {
		c.Close()
		d.mu.Lock()
		delete(d.conns, c)
		d.mu.Unlock()
	}()
	if Behaviour(d.behaviour.Load()) == Down {
		resetConn(c)
		return
	}
	in := bufio.NewReader(c)
	for {
		if _, err := in.Peek(1); err != nil {
			return
		}
		a := &Attempt{Server: d.index, FirstByteAt: s.record.Now()}
		if !s.readRequest(in, a) {
			return
		}
		s.record.addAttempt(a)
		if !s.respond(d, c, a) {
			return
		}
	}
}

// readRequest fills an attempt in; false if the request did not come whole.
func (s *Servers) readRequest(in *bufio.Reader, a *Attempt) bool {
	head, _, err := http1.ReadWholeRequest(in, messageLimits)
	if err != nil {
		return false
	}
	a.ID, a.LastByteAt = head.Fields.Get("request-id"), s.record.Now()
	seconds, _ := strconv.ParseFloat(head.Fields.Get("request-timeout"), 64)
	a.Timeout = time.Duration(seconds * float64(time.Second))
	return true
}

// respond does with a request what the server does now; false if its connection ends.
func (s *Servers) respond(d *diskServer, c net.Conn, a *Attempt) bool {
	switch Behaviour(d.behaviour.Load()) {
	case Hung, Unreachable:
		var one [1]byte
		c.Read(one[:]) // until the scheduler gives up
		return false
	case Failing:
		_, err := c.Write(http1.AppendResponse(nil, 500, nil, nil))
		return err == nil
	case Resetting, Down:
		resetConn(c)
		return false
	case Rejecting:
		_, err := c.Write(http1.AppendResponse(nil, 503, http1.Fields{{Name: "Not-Started", Value: "1"}}, nil))
		return err == nil
	}
	time.Sleep(time.Duration(rand.ExpFloat64() * float64(s.meanServiceTime)))
	s.record.mu.Lock()
	a.Served = true
	s.record.mu.Unlock()
	_, err := c.Write(http1.AppendResponse(nil, 200, nil, []byte(a.ID)))
	return err == nil
}
