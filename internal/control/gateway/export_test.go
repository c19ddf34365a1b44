package gateway

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
