package policy

import (
	"cmp"
	"slices"
)

// Node membership: which nodes are known and which of them serves each shard. An incremental list
// takes time in proportion to its entries, whatever the number of nodes; a full one walks them all.

// applyNodeList applies a node list, full or incremental.
func (p *scheduler) applyNodeList(list NodeList) {
	if !list.Cached {
		p.subscribed = true
	}
	if list.Full {
		p.removeUnlisted(list.Nodes)
	}
	p.updateNodes(list.Nodes)
}

// updateNodes applies the entries and then updates the shards that they affect, by shard number:
// attempts that may no longer begin are withdrawn, nodes are assigned and waiting requests are
// sent.
func (p *scheduler) updateNodes(entries []Node) {
	for _, e := range entries {
		p.updateNode(e)
	}
	slices.SortFunc(p.changed, func(a, b *shard) int { return cmp.Compare(a.id, b.id) })
	for _, sh := range p.changed {
		p.visits++
		sh.changed = false
		p.withdrawStale(sh)
		p.assignNode(sh)
		p.dispatchWaiting(sh)
	}
	clear(p.changed)
	p.changed = p.changed[:0]
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
			n.Health = Removed // the record stays: outcomes of its attempts may still arrive
		}
	}
}

// updateNode applies one list entry. A removed node is deleted from p.nodes; attempts still
// outstanding keep its record.
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

// eligible reports whether a node may be sent to: it is ready and its shard exists.
func (p *scheduler) eligible(entry Node) bool {
	return entry.Health == Ready && entry.Shard >= 0 &&
		(p.settings.Shards <= 0 || entry.Shard < p.settings.Shards)
}

// reapplyNodes re-evaluates all known nodes after the settings changed the number of shards. It
// sorts them by address, so that the actions do not depend on the order of a map.
func (p *scheduler) reapplyNodes() {
	nodes := make([]Node, 0, len(p.nodes))
	for _, n := range p.nodes {
		nodes = append(nodes, n.Node)
	}
	slices.SortFunc(nodes, func(a, b Node) int { return cmp.Compare(a.Addr, b.Addr) })
	p.updateNodes(nodes)
}

// include makes n a candidate to serve its shard.
func (p *scheduler) include(n *node) {
	sh := p.shard(n.Shard)
	n.excluded = false
	sh.ready = append(sh.ready, n)
	p.markChanged(sh)
}

// exclude stops new attempts from going to n.
func (p *scheduler) exclude(n *node) {
	if n.excluded {
		return
	}
	n.excluded = true
	sh := p.shard(n.Shard)
	sh.ready = slices.DeleteFunc(sh.ready, func(x *node) bool { return x == n })
	p.markChanged(sh)
}

// markChanged records that the node list being applied affects sh.
func (p *scheduler) markChanged(sh *shard) {
	if !sh.changed {
		sh.changed = true
		p.changed = append(p.changed, sh)
	}
}

// withdrawStale withdraws attempts that still wait for a connection if their node was excluded or
// has restarted since they were sent: draining and slow start apply to the time at which bytes
// leave.
func (p *scheduler) withdrawStale(sh *shard) {
	for _, r := range sh.outstanding {
		if r.sentTo.excluded || r.sentTo.coldSince != r.sentColdSince {
			p.emit(Withdraw{r.ID, r.attempts - 1})
		}
	}
}

// assignNode selects the node that serves the shard: of the eligible ones the one started last,
// then the one with the lowest address. A change from one node to another resets the depth.
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
