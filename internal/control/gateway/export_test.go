package gateway

import "net"

// ServeConn serves a connection as if it had been accepted, and returns a function that reports
// whether it has ended.
func (g *Gateway) ServeConn(netConn net.Conn) (ended func() bool) {
	f := g.frontend
	c := newConn(f, netConn)
	f.tasks.Go(f.environment, c.run)
	return c.ended.Opened
}

// ListedNodes returns the addresses on the node list that the core has applied.
func (g *Gateway) ListedNodes() (addrs []string) {
	g.mu.Lock()
	h := g.host
	g.mu.Unlock()
	if h == nil {
		return nil
	}
	h.runAndWait(func(c *core) {
		for addr := range c.nodes {
			addrs = append(addrs, addr)
		}
	})
	return addrs
}
