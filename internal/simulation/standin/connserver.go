package standin

import (
	"net"
	"sync"

	"merlinhitch/internal/runtime/env"
)

// connServer is a listener and the connections that came in by it, each served on a goroutine
// of its own until its other end or Close ends it.
type connServer struct {
	Addr        string
	environment env.Environment
	listener    net.Listener
	tasks       env.WaitGroup

	mu    sync.Mutex
	conns []net.Conn
}

// start starts to accept; serve is given each connection and its number, from 0.
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

// Close ends the server and its connections.
func (s *connServer) Close() {
	s.listener.Close()
	s.mu.Lock()
	for _, conn := range s.conns {
		conn.Close()
	}
	s.mu.Unlock()
	s.tasks.Wait(s.environment)
}
