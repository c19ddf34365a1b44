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

// Behaviour is how a stand-in disk server treats requests.
type Behaviour int32

const (
	Healthy     Behaviour = iota
	Hung                  // reads and never answers
	Failing               // answers 500
	Resetting             // resets the connection after reading a request
	Rejecting             // answers 503 with Not-Started
	Down                  // resets every connection
	Unreachable           // completes no connection, and never answers on open ones
)

var behaviourNames = [...]string{"well", "hung", "erring", "resetting", "rejecting", "down", "dark"}

func (b Behaviour) String() string { return behaviourNames[b] }

// Servers are the stand-in disk servers, each listening on its own port.
type Servers struct {
	record          *Record
	meanServiceTime time.Duration // of a request, exponentially distributed
	responseBytes   int           // size of a sound response's body; 0: the request's id
	servers         []*diskServer
	tasks           sync.WaitGroup

	acceptedConns atomic.Int64 // on all servers
	faults        faultSequence
}

type diskServer struct {
	index     int
	listener  net.Listener
	behaviour atomic.Int32

	mu             sync.Mutex
	reachableAgain chan struct{} // closed when the server is reachable again; nil: it is reachable
	conns          map[net.Conn]bool
}

var messageLimits = http1.Limits{MaxHeadBytes: 16 << 10, MaxFields: 64, MaxBodyBytes: 64 << 10}

// StartServers starts the disk servers of a run on loopback.
func StartServers(options Options, record *Record) (*Servers, error) {
	servers := &Servers{record: record, meanServiceTime: options.MeanServiceTime, responseBytes: options.ResponseBytes, faults: faultSequence{interval: int64(options.FaultyResponseInterval)}}
	for index := range options.Servers {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			servers.Close()
			return nil, err
		}
		server := &diskServer{index: index, listener: listener, conns: map[net.Conn]bool{}}
		servers.servers = append(servers.servers, server)
		servers.tasks.Add(1)
		go servers.accept(server)
	}
	return servers, nil
}

// Address returns the listening address of a disk server.
func (s *Servers) Address(index int) string { return s.servers[index].listener.Addr().String() }

// SetBehaviour sets how a disk server treats new requests; Down also resets its open connections.
func (s *Servers) SetBehaviour(index int, behaviour Behaviour) {
	server := s.servers[index]
	server.behaviour.Store(int32(behaviour))
	if behaviour == Down {
		server.resetConns()
	}
	server.setUnreachable(behaviour == Unreachable)
}

// normalBacklog is the accept backlog of a reachable server.
const normalBacklog = 4096

// setUnreachable makes the kernel drop connection attempts, by a full accept queue, or undoes
// that.
func (d *diskServer) setUnreachable(unreachable bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if unreachable == (d.reachableAgain != nil) {
		return
	}
	if !unreachable {
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
	rawConn, err := d.listener.(*net.TCPListener).SyscallConn()
	if err == nil {
		rawConn.Control(func(fd uintptr) { syscall.Listen(int(fd), backlog) })
	}
}

// fillBacklog fills the accept queue: one connection is taken by the accept goroutine, which waits,
// the others stay in the queue.
func (d *diskServer) fillBacklog(reachableAgain chan struct{}) {
	for range 3 {
		conn, err := net.DialTimeout("tcp", d.listener.Addr().String(), 50*time.Millisecond)
		if err != nil {
			return
		}
		defer conn.Close()
	}
	<-reachableAgain
}

// waitReachable waits until the server is reachable and reports whether it had to wait.
func (d *diskServer) waitReachable() bool {
	d.mu.Lock()
	reachableAgain := d.reachableAgain
	d.mu.Unlock()
	if reachableAgain != nil {
		<-reachableAgain
	}
	return reachableAgain != nil
}

// Close stops all servers.
func (s *Servers) Close() {
	for _, server := range s.servers {
		server.setUnreachable(false)
		server.listener.Close()
		server.resetConns()
	}
	s.tasks.Wait()
}

func (d *diskServer) resetConns() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for conn := range d.conns {
		resetConn(conn)
	}
}

func resetConn(conn net.Conn) {
	if tcpConn, ok := conn.(*net.TCPConn); ok {
		tcpConn.SetLinger(0)
	}
	conn.Close()
}

// accept serves new connections. After a time of being unreachable it resets the two connections
// that the kernel completed meanwhile, the one accepted and one in the queue: they may hold
// requests that were sent long before.
func (s *Servers) accept(server *diskServer) {
	defer s.tasks.Done()
	for staleConns := 0; ; {
		conn, err := server.listener.Accept()
		if err != nil {
			return
		}
		s.acceptedConns.Add(1)
		if server.waitReachable() {
			staleConns = 2
		}
		if staleConns > 0 {
			staleConns--
			resetConn(conn)
			continue
		}
		server.mu.Lock()
		server.conns[conn] = true
		server.mu.Unlock()
		s.tasks.Add(1)
		go s.serve(server, conn)
	}
}

func (s *Servers) serve(server *diskServer, conn net.Conn) {
	defer s.tasks.Done()
	defer func() {
		conn.Close()
		server.mu.Lock()
		delete(server.conns, conn)
		server.mu.Unlock()
	}()
	if Behaviour(server.behaviour.Load()) == Down {
		resetConn(conn)
		return
	}
	reader := bufio.NewReader(conn)
	for {
		if _, err := reader.Peek(1); err != nil {
			return
		}
		attempt := &Attempt{Server: server.index, FirstByteAt: s.record.Now()}
		if !s.readRequest(reader, attempt) {
			return
		}
		s.record.addAttempt(attempt)
		if !s.respond(server, conn, attempt) {
			return
		}
	}
}

// readRequest fills in the attempt; false if the request is incomplete.
func (s *Servers) readRequest(reader *bufio.Reader, attempt *Attempt) bool {
	request, _, err := http1.ReadWholeRequest(reader, messageLimits)
	if err != nil {
		return false
	}
	attempt.ID, attempt.LastByteAt = request.Fields.Get("request-id"), s.record.Now()
	seconds, _ := strconv.ParseFloat(request.Fields.Get("request-timeout"), 64)
	attempt.Timeout = time.Duration(seconds * float64(time.Second))
	return true
}

// respond treats a request according to the server's behaviour; false if the connection ends.
func (s *Servers) respond(server *diskServer, conn net.Conn, attempt *Attempt) bool {
	switch Behaviour(server.behaviour.Load()) {
	case Hung, Unreachable:
		var oneByte [1]byte
		conn.Read(oneByte[:]) // until the scheduler gives up
		return false
	case Failing:
		_, err := conn.Write(http1.AppendResponse(nil, 500, nil, nil))
		return err == nil
	case Resetting, Down:
		resetConn(conn)
		return false
	case Rejecting:
		_, err := conn.Write(http1.AppendResponse(nil, 503, http1.Fields{{Name: "Not-Started", Value: "1"}}, nil))
		return err == nil
	}
	time.Sleep(time.Duration(rand.ExpFloat64() * float64(s.meanServiceTime)))
	if fault, headAndBodyBytes, faulty := s.faults.next(); faulty {
		return s.respondFaulty(conn, attempt, fault, headAndBodyBytes)
	}
	body := attempt.ID
	if s.responseBytes > 0 {
		body = responseBody(attempt.ID, s.responseBytes)
	}
	s.record.setServed(attempt, len(body))
	_, err := conn.Write(http1.AppendResponse(nil, 200, nil, []byte(body)))
	return err == nil
}
