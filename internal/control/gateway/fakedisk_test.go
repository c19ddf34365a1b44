package gateway_test

import (
	"bufio"
	"net"
	"slices"
	"sync"
	"testing"
	"time"

	"merlinhitch/internal/protocol/diskproto"
	"merlinhitch/internal/protocol/inventory"
	"merlinhitch/internal/runtime/env"
)

// fakeDiskServer is a disk server whose answers are chosen by a test: handle is called with each
// attempt, in the order of arrival on its connection, and may answer it, close the connection or
// do nothing.
type fakeDiskServer struct {
	t           *testing.T
	listener    net.Listener
	environment env.Environment
	handle      func(attempt *receivedAttempt, request diskproto.Do)
	// handleRaw, if not nil, gets the connection after the handshake, in place of handle. The
	// connection is closed when it returns.
	handleRaw func(conn net.Conn)

	mu       sync.Mutex
	received []diskproto.Do
	conns    []net.Conn
	tasks    sync.WaitGroup
}

// receivedAttempt is an attempt that a fakeDiskServer received.
type receivedAttempt struct {
	conn net.Conn
	tag  uint32
}

func (r *receivedAttempt) answer(answer diskproto.Answer) { r.answerTag(r.tag, answer) }

func (r *receivedAttempt) answerTag(tag uint32, answer diskproto.Answer) {
	r.conn.Write(diskproto.Append(nil, diskproto.KindAnswer, tag, &answer))
}

func newFakeDiskServer(t *testing.T, environment env.Environment) *fakeDiskServer {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := &fakeDiskServer{t: t, listener: listener, environment: environment}
	server.tasks.Add(1)
	go server.accept()
	t.Cleanup(func() {
		listener.Close()
		server.mu.Lock()
		for _, conn := range server.conns {
			conn.Close()
		}
		server.mu.Unlock()
		server.tasks.Wait()
	})
	return server
}

func (s *fakeDiskServer) accept() {
	defer s.tasks.Done()
	for {
		conn, err := s.listener.Accept()
		if err != nil {
			return
		}
		s.mu.Lock()
		s.conns = append(s.conns, conn)
		s.tasks.Add(1)
		s.mu.Unlock()
		go s.serve(conn)
	}
}

func (s *fakeDiskServer) serve(conn net.Conn) {
	defer s.tasks.Done()
	defer conn.Close()
	buffered := bufio.NewReader(conn)
	reader := diskproto.NewReader(buffered)
	for {
		frame, err := reader.Next()
		if err != nil {
			return
		}
		switch frame.Kind {
		case diskproto.KindHello:
			welcome := &diskproto.Welcome{Version: diskproto.Version, Clock: uint64(s.environment.Now() / time.Microsecond), Name: "fake"}
			conn.Write(diskproto.Append(nil, diskproto.KindWelcome, frame.Tag, welcome))
			s.mu.Lock()
			handleRaw := s.handleRaw
			s.mu.Unlock()
			if handleRaw != nil {
				handleRaw(conn)
				return
			}
		case diskproto.KindDo:
			var request diskproto.Do
			if err := request.Parse(frame.Body); err != nil {
				s.t.Error(err)
				return
			}
			request.Data = append([]byte(nil), request.Data...)
			s.mu.Lock()
			s.received = append(s.received, request)
			s.mu.Unlock()
			s.handle(&receivedAttempt{conn, frame.Tag}, request)
		}
	}
}

func (s *fakeDiskServer) receivedRequests() []diskproto.Do {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]diskproto.Do(nil), s.received...)
}

// startFakeDiskServer starts one fakeDiskServer in place of the disk server of the only shard.
func (h *harness) startFakeDiskServer(handle func(attempt *receivedAttempt, request diskproto.Do)) *fakeDiskServer {
	return h.startFakeDiskServers(handle)[0]
}

// startFakeDiskServers removes the disk servers of all shards from the inventory, lists one
// fakeDiskServer for each shard instead, and waits until the gateway has applied that list.
func (h *harness) startFakeDiskServers(handle func(attempt *receivedAttempt, request diskproto.Do)) (servers []*fakeDiskServer) {
	var addresses []string
	for range h.settings.Shards {
		server := newFakeDiskServer(h.t, h.environment)
		server.handle = handle
		servers, addresses = append(servers, server), append(addresses, server.listener.Addr().String())
	}
	h.inventory.ChangeNow(func(book *inventory.Book) {
		for i, diskServer := range h.diskServers {
			book.Health(diskServer.Addr, inventory.Gone)
			book.Set(inventory.Node{Addr: addresses[i], Health: inventory.Ready, Shard: i, Zone: "hall-a", Weight: 1, Incarnation: 9}, 0)
		}
	})
	slices.Sort(addresses)
	h.waitFor("the gateway lists the fake disk servers alone", func() bool {
		return slices.Equal(slices.Sorted(slices.Values(h.gateway.ListedNodes())), addresses)
	})
	return servers
}
