package standin

import (
	"net"
	"sync"

	"merlinhitch/internal/runtime/env"
)

// connServer accepts connections on a listener and serves each on a goroutine of its own. Close
// closes all of them.
type connServer struct {
	Addr        string
	environment env.Environment
	listener    net.Listener
	tasks       env.WaitGroup

	mu    sync.Mutex
	conns []net.Conn
}

// start starts to accept connections; serve gets each connection and its index, from 0.
func (s *connServer) start(environment env.Environment, listener net.Listener, serve func(conn net.Conn, index int)) {
	s.Addr, s.environment, s.listener = listener.Addr().String(), environment, listener
	s.tasks.Go(environment, func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			s.mu.Lock()
			index := len(s.conns)
			s.conns = append(s.conns, conn)
			s.mu.Unlock()
			s.tasks.Go(environment, func() { serve(conn, index) })
		}
	})
}

// Close closes the listener and all connections, and waits for their goroutines.
func (s *connServer) Close() {
	s.listener.Close()
	s.mu.Lock()
	for _, conn := range s.conns {
		conn.Close()
	}
	s.mu.Unlock()
	s.tasks.Wait(s.environment)
}
