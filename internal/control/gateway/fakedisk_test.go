package gateway_test

import (
	"bufio"
	"net"
	"sync"
	"testing"
	"time"

	"merlinhitch/internal/protocol/diskproto"
	"merlinhitch/internal/protocol/inventory"
	"merlinhitch/internal/runtime/env"
)

// fakeDiskServer is a disk server that does what a test says. The test's play is called
// with each attempt, in order, and answers by its say, or not at all.
type fakeDiskServer struct {
	t           *testing.T
	listener    net.Listener
	environment env.Environment
	handle      func(c *attemptConn, do diskproto.Do)
	// handleRaw, if set, takes the connection's bytes after the greeting.
	handleRaw func(c net.Conn)

	mu       sync.Mutex
	received []diskproto.Do
	conns    []net.Conn
	tasks    sync.WaitGroup
}

// attemptConn is one attempt's connection.
type attemptConn struct {
	conn net.Conn
	tag  uint32
}

func (s *attemptConn) answer(a diskproto.Answer) { s.answerTag(s.tag, a) }

func (s *attemptConn) answerTag(tag uint32, a diskproto.Answer) {
	s.conn.Write(diskproto.Append(nil, diskproto.KindAnswer, tag, &a))
}

func newFakeDiskServer(t *testing.T, w env.Environment) *fakeDiskServer {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	a := &fakeDiskServer{t: t, listener: l, environment: w}
	a.tasks.Add(1)
	go a.accept()
	t.Cleanup(func() {
		l.Close()
		a.mu.Lock()
		for _, c := range a.conns {
			c.Close()
		}
		a.mu.Unlock()
		a.tasks.Wait()
	})
	return a
}

func (a *fakeDiskServer) accept() {
	defer a.tasks.Done()
	for {
		c, err := a.listener.Accept()
		if err != nil {
			return
		}
		a.mu.Lock()
		a.conns = append(a.conns, c)
		a.tasks.Add(1)
		a.mu.Unlock()
		go a.serve(c)
	}
}

func (a *fakeDiskServer) serve(c net.Conn) {
	defer a.tasks.Done()
	defer c.Close()
	br := bufio.NewReader(c)
	r := diskproto.NewReader(br)
	for {
		f, err := r.Next()
		if err != nil {
			return
		}
		switch f.Kind {
		case diskproto.KindHello:
			w := &diskproto.Welcome{Version: diskproto.Version, Clock: uint64(a.environment.Now() / time.Microsecond), Name: "actor"}
			c.Write(diskproto.Append(nil, diskproto.KindWelcome, f.Tag, w))
			a.mu.Lock()
			raw := a.handleRaw
			a.mu.Unlock()
			if raw != nil {
				raw(c)
				return
			}
		case diskproto.KindDo:
			var m diskproto.Do
			if err := m.Parse(f.Body); err != nil {
				a.t.Error(err)
				return
			}
			m.Data = append([]byte(nil), m.Data...)
			a.mu.Lock()
			a.received = append(a.received, m)
			a.mu.Unlock()
			a.handle(&attemptConn{c, f.Tag}, m)
		}
	}
}

func (a *fakeDiskServer) receivedRequests() []diskproto.Do {
	a.mu.Lock()
	defer a.mu.Unlock()
	return append([]diskproto.Do(nil), a.received...)
}

// startFakeDiskServer puts an actor in place of every shard's disk server.
func (r *harness) startFakeDiskServer(play func(c *attemptConn, do diskproto.Do)) *fakeDiskServer {
	a := newFakeDiskServer(r.t, r.environment)
	a.handle = play
	r.inventory.ChangeNow(func(b *inventory.Book) {
		for i, d := range r.diskServers {
			b.Health(d.Addr, inventory.Gone)
			b.Set(inventory.Node{Addr: a.listener.Addr().String(), Health: inventory.Ready, Shard: i, Zone: "hall-a", Weight: 1, Incarnation: 9}, 0)
		}
	})
	return a
}
