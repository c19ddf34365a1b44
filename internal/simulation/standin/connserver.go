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
func (d *connServer) start(environment env.Environment, listener net.Listener, serve func(c net.Conn, n int)) {
	d.Addr, d.environment, d.listener = listener.Addr().String(), environment, listener
	d.tasks.Go(environment, func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			d.mu.Lock()
			index := len(d.conns)
			d.conns = append(d.conns, conn)
			d.mu.Unlock()
			d.tasks.Go(environment, func() { serve(conn, index) })
		}
	})
}

// Close ends the server and its connections.
func (d *connServer) Close() {
	d.listener.Close()
	d.mu.Lock()
	for _, conn := range d.conns {
		conn.Close()
	}
	d.mu.Unlock()
	d.tasks.Wait(d.environment)
}
