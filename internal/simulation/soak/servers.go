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
	Well      Behaviour = iota
	Hung                // it reads and never answers
	Erring              // it answers 500
	Resetting           // it resets the connection under the request
	Rejecting           // it turns requests away unrun
	Down                // it resets each connection that comes
	Dark                // no connection to it comes up, and nothing comes back on those that are
)

var behaviourNames = [...]string{"well", "hung", "erring", "resetting", "rejecting", "down", "dark"}

func (b Behaviour) String() string { return behaviourNames[b] }

// Servers are the stand-in disk servers, each at an address of its own.
type Servers struct {
	record  *Record
	service time.Duration // mean time of a request
	all     []*diskServer
	tasks   sync.WaitGroup

	accepted atomic.Int64 // connections
}

type diskServer struct {
	number    int
	listener  net.Listener
	behaviour atomic.Int32

	mu    sync.Mutex
	light chan struct{} // closed once it is dark no more; nil: it is not
	conns map[net.Conn]bool
}

var messageLimits = http1.Limits{MaxHeadBytes: 16 << 10, MaxFields: 64, MaxBodyBytes: 64 << 10}

// StartServers listens for so many disk servers on loopback.
func StartServers(n int, service time.Duration, r *Record) (*Servers, error) {
	s := &Servers{record: r, service: service}
	for i := range n {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			s.Close()
			return nil, err
		}
		d := &diskServer{number: i, listener: l, conns: map[net.Conn]bool{}}
		s.all = append(s.all, d)
		s.tasks.Add(1)
		go s.accept(d)
	}
	return s, nil
}

// Address is where a disk server listens.
func (s *Servers) Address(server int) string { return s.all[server].listener.Addr().String() }

// Behave sets how a disk server treats what comes from now on; Down also resets what is open.
func (s *Servers) Behave(server int, b Behaviour) {
	d := s.all[server]
	d.behaviour.Store(int32(b))
	if b == Down {
		d.resetAll()
	}
	d.darken(b == Dark)
}

// usualBacklog is how many connections wait for accept where a server is not dark.
const usualBacklog = 4096

// darken has the kernel drop what asks for a connection, for nothing is accepted and the
// queue is full; or undoes that.
func (d *diskServer) darken(dark bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if dark == (d.light != nil) {
		return
	}
	if !dark {
		close(d.light)
		d.light = nil
		d.listen(usualBacklog)
		return
	}
	d.light = make(chan struct{})
	d.listen(0)
	go d.fill(d.light)
}

func (d *diskServer) listen(backlog int) {
	raw, err := d.listener.(*net.TCPListener).SyscallConn()
	if err == nil {
		raw.Control(func(fd uintptr) { syscall.Listen(int(fd), backlog) })
	}
}

// fill takes the places in the queue: one that the accepting goroutine holds, and what waits.
func (d *diskServer) fill(light chan struct{}) {
	for range 3 {
		c, err := net.DialTimeout("tcp", d.listener.Addr().String(), 50*time.Millisecond)
		if err != nil {
			return
		}
		defer c.Close()
	}
	<-light
}

// wait returns once the server is not dark; it tells whether it was.
func (d *diskServer) wait() bool {
	d.mu.Lock()
	light := d.light
	d.mu.Unlock()
	if light != nil {
		<-light
	}
	return light != nil
}

// Close ends all of them.
func (s *Servers) Close() {
	for _, d := range s.all {
		d.darken(false)
		d.listener.Close()
		d.resetAll()
	}
	s.tasks.Wait()
}

func (d *diskServer) resetAll() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for c := range d.conns {
		reset(c)
	}
}

func reset(c net.Conn) {
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
		s.accepted.Add(1)
		if d.wait() {
			stale = 2
		}
		if stale > 0 {
			stale--
			reset(c)
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
		reset(c)
		return
	}
	in := bufio.NewReader(c)
	for {
		if _, err := in.Peek(1); err != nil {
			return
		}
		a := &Attempt{Server: d.number, Began: s.record.Now()}
		if !s.read(in, a) {
			return
		}
		s.record.addAttempt(a)
		if !s.answer(d, c, a) {
			return
		}
	}
}

// read fills an attempt in; false if the request did not come whole.
func (s *Servers) read(in *bufio.Reader, a *Attempt) bool {
	head, _, err := http1.ReadWholeRequest(in, messageLimits)
	if err != nil {
		return false
	}
	a.ID, a.Whole = head.Fields.Get("request-id"), s.record.Now()
	seconds, _ := strconv.ParseFloat(head.Fields.Get("request-timeout"), 64)
	a.Timeout = time.Duration(seconds * float64(time.Second))
	return true
}

// answer does with a request what the server does now; false if its connection ends.
func (s *Servers) answer(d *diskServer, c net.Conn, a *Attempt) bool {
	switch Behaviour(d.behaviour.Load()) {
	case Hung, Dark:
		var one [1]byte
		c.Read(one[:]) // until the scheduler gives up
		return false
	case Erring:
		_, err := c.Write(http1.AppendResponse(nil, 500, nil, nil))
		return err == nil
	case Resetting, Down:
		reset(c)
		return false
	case Rejecting:
		_, err := c.Write(http1.AppendResponse(nil, 503, http1.Fields{{Name: "Not-Started", Value: "1"}}, nil))
		return err == nil
	}
	time.Sleep(time.Duration(rand.ExpFloat64() * float64(s.service)))
	s.record.mu.Lock()
	a.Served = true
	s.record.mu.Unlock()
	_, err := c.Write(http1.AppendResponse(nil, 200, nil, []byte(a.ID)))
	return err == nil
}
