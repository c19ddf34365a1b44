package policy

import (
	"cmp"
	"slices"
)

// Membership: which nodes there are, and which of them holds a shard. A list costs what it
// changes, whatever the size of the fleet.

func (p *scheduler) list(l NodeList) {
	if !l.Cached {
		p.subOn = true
	}
	if l.Full {
		p.dropUnnamed(l.Nodes)
	}
	p.takeNodes(l.Nodes)
}

// takeNodes keeps what is said of nodes and has the shards that it concerns act on it.
func (p *scheduler) takeNodes(nodes []Node) {
	for _, e := range nodes {
		p.setNode(e)
	}
	slices.SortFunc(p.listed, func(a, b *shard) int { return cmp.Compare(a.id, b.id) })
	for _, sh := range p.listed {
		p.visits++
		sh.listed = false
		p.recall(sh)
		p.assign(sh)
		p.pumpWaiting(sh)
	}
	clear(p.listed)
	p.listed = p.listed[:0]
	p.settle()
}

// dropUnnamed excludes the nodes that a full list leaves out.
func (p *scheduler) dropUnnamed(entries []Node) {
	named := make(map[string]bool, len(entries))
	for _, e := range entries {
		named[e.Addr] = true
	}
	for addr, n := range p.nodes {
		p.visits++
		if !named[addr] {
			p.exclude(n)
			n.Health = Removed // its record stays, as its answers may come still
		}
	}
}

// setNode keeps what the list says of a node. What is gone is forgotten; attempts that are
// out there keep its record.
func (p *scheduler) setNode(e Node) {
	p.visits++
	n := p.nodes[e.Addr]
	if n == nil {
		if e.Health == Removed {
			return
		}
		n = newNode(e)
		p.nodes[e.Addr] = n
	} else if n.Node == e && n.excluded == !p.admissible(e) {
		return
	}
	if e.Started > 0 && e.Started != n.Started {
		n.coldAt = max(n.coldAt, e.Started)
	}
	p.exclude(n)
	if e.Health == Removed {
		delete(p.nodes, e.Addr)
		n.Health = Removed
		return
	}
	n.Node = e
	if p.admissible(e) {
		p.admit(n)
	}
}

// admissible tells whether a node may be sent to: it is ready, and holds a shard that there is.
func (p *scheduler) admissible(e Node) bool {
	return e.Health == Ready && e.Shard >= 0 && (p.s.Shards <= 0 || e.Shard < p.s.Shards)
}

// relist looks at all nodes again, in an order of its own, once the settings name another
// number of shards.
func (p *scheduler) relist() {
	nodes := make([]Node, 0, len(p.nodes))
	for _, n := range p.nodes {
		nodes = append(nodes, n.Node)
	}
	slices.SortFunc(nodes, func(a, b Node) int { return cmp.Compare(a.Addr, b.Addr) })
	p.takeNodes(nodes)
}

// admit lets n be sent to as a holder of its shard.
func (p *scheduler) admit(n *node) {
	sh := p.shard(n.Shard)
	n.excluded = false
	sh.ready = append(sh.ready, n)
	p.listChanges(sh)
}

// exclude has nothing new sent to n.
func (p *scheduler) exclude(n *node) {
	if n.excluded {
		return
	}
	n.excluded = true
	sh := p.shard(n.Shard)
	sh.ready = slices.DeleteFunc(sh.ready, func(x *node) bool { return x == n })
	p.listChanges(sh)
}

// listChanges notes that the list being taken in changes something at sh.
func (p *scheduler) listChanges(sh *shard) {
	if !sh.listed {
		sh.listed = true
		p.listed = append(p.listed, sh)
	}
}

// recall takes back what still waits for its connection to a node that was excluded, or has
// started anew, since it was decided: drains and cold nodes are held to when bytes leave.
func (p *scheduler) recall(sh *shard) {
	for _, r := range sh.out {
		if r.sentTo.excluded || r.sentTo.coldAt != r.sentCold {
			p.do(Withdraw{r.ID, r.attempts - 1})
		}
	}
}

// assign gives the shard the node that holds it now: of those that may be sent to, the one
// started last.
func (p *scheduler) assign(sh *shard) {
	var best *node
	for _, n := range sh.ready {
		p.visits++
		if best == nil || n.Started > best.Started || n.Started == best.Started && n.Addr < best.Addr {
			best = n
		}
	}
	p.touch(sh)
	if best == sh.node {
		return
	}
	if sh.node != nil && best != nil {
		p.resetDepth(sh)
	}
	sh.node = best
}
