package policy

import (
	"cmp"
	"slices"
)

// Membership: which nodes there are, and which of them holds a shard. A list costs what it
// changes, whatever the size of the fleet.

func (p *scheduler) applyNodeList(l NodeList) {
	if !l.Cached {
		p.subOn = true
	}
	if l.Full {
		p.removeUnlisted(l.Nodes)
	}
	p.updateNodes(l.Nodes)
}

// updateNodes keeps what is said of nodes and has the shards that it concerns act on it.
func (p *scheduler) updateNodes(entries []Node) {
	for _, e := range entries {
		p.updateNode(e)
	}
	slices.SortFunc(p.listed, func(a, b *shard) int { return cmp.Compare(a.id, b.id) })
	for _, sh := range p.listed {
		p.visits++
		sh.listed = false
		p.withdrawStale(sh)
		p.assignNode(sh)
		p.pumpWaiting(sh)
	}
	clear(p.listed)
	p.listed = p.listed[:0]
	p.reinsertIdle()
}

// removeUnlisted excludes the nodes that a full list leaves out.
func (p *scheduler) removeUnlisted(entries []Node) {
	listed := make(map[string]bool, len(entries))
	for _, e := range entries {
		listed[e.Addr] = true
	}
	for addr, n := range p.nodes {
		p.visits++
		if !listed[addr] {
			p.exclude(n)
			n.Health = Removed // its record stays, as its answers may come still
		}
	}
}

// updateNode keeps what the list says of a node. What is gone is forgotten; attempts that are
// out there keep its record.
func (p *scheduler) updateNode(entry Node) {
	p.visits++
	n := p.nodes[entry.Addr]
	if n == nil {
		if entry.Health == Removed {
			return
		}
		n = newNode(entry)
		p.nodes[entry.Addr] = n
	} else if n.Node == entry && n.excluded == !p.eligible(entry) {
		return
	}
	if entry.Started > 0 && entry.Started != n.Started {
		n.coldSince = max(n.coldSince, entry.Started)
	}
	p.exclude(n)
	if entry.Health == Removed {
		delete(p.nodes, entry.Addr)
		n.Health = Removed
		return
	}
	n.Node = entry
	if p.eligible(entry) {
		p.include(n)
	}
}

// eligible tells whether a node may be sent to: it is ready, and holds a shard that there is.
func (p *scheduler) eligible(entry Node) bool {
	return entry.Health == Ready && entry.Shard >= 0 && (p.s.Shards <= 0 || entry.Shard < p.s.Shards)
}

// reapplyNodes looks at all nodes again, in an order of its own, once the settings name another
// number of shards.
func (p *scheduler) reapplyNodes() {
	nodes := make([]Node, 0, len(p.nodes))
	for _, n := range p.nodes {
		nodes = append(nodes, n.Node)
	}
	slices.SortFunc(nodes, func(a, b Node) int { return cmp.Compare(a.Addr, b.Addr) })
	p.updateNodes(nodes)
}

// include lets n be sent to as a holder of its shard.
func (p *scheduler) include(n *node) {
	sh := p.shard(n.Shard)
	n.excluded = false
	sh.ready = append(sh.ready, n)
	p.markChanged(sh)
}

// exclude has nothing new sent to n.
func (p *scheduler) exclude(n *node) {
	if n.excluded {
		return
	}
	n.excluded = true
	sh := p.shard(n.Shard)
	sh.ready = slices.DeleteFunc(sh.ready, func(x *node) bool { return x == n })
	p.markChanged(sh)
}

// markChanged notes that the list being taken in changes something at sh.
func (p *scheduler) markChanged(sh *shard) {
	if !sh.listed {
		sh.listed = true
		p.listed = append(p.listed, sh)
	}
}

// withdrawStale takes back what still waits for its connection to a node that was excluded, or has
// started anew, since it was decided: drains and cold nodes are held to when bytes leave.
func (p *scheduler) withdrawStale(sh *shard) {
	for _, r := range sh.out {
		if r.sentTo.excluded || r.sentTo.coldSince != r.sentCold {
			p.do(Withdraw{r.ID, r.attempts - 1})
		}
	}
}

// assignNode gives the shard the node that holds it now: of those that may be sent to, the one
// started last.
func (p *scheduler) assignNode(sh *shard) {
	var best *node
	for _, n := range sh.ready {
		p.visits++
		if best == nil || n.Started > best.Started || n.Started == best.Started && n.Addr < best.Addr {
			best = n
		}
	}
	p.markTouched(sh)
	if best == sh.node {
		return
	}
	if sh.node != nil && best != nil {
		p.resetDepth(sh)
	}
	sh.node = best
}
