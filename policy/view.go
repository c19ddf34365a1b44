package policy

import (
	"cmp"
	"slices"
)

// View is a snapshot of an instance's state for operators. Taking it does not affect later
// decisions. The names of fields are part of the state that the admin API reports.
type View struct {
	Median, Base float64 // median service time over all nodes; estimate of the same without queueing
	// Budget is the number of retries that may still be sent now; -1: unlimited.
	Budget  float64
	Held    int // requests without a final answer or with an attempt outstanding
	Shards  []ShardView
	Shares  []ShareView
	Nodes   []NodeView
	Limited []LimitView
}

// ShardView is the state of one shard's queue.
type ShardView struct {
	Shard   int
	Node    string  // address of the node that serves it; "": none
	Depth   float64 // bound on outstanding attempts; below 1: fraction of requests that may be sent
	Out     int     // outstanding attempts
	Waiting int     // queued requests, deferred ones included
	Parked  int     // deferred requests
	Service float64 // expected service time
}

// ShareView is a plan's current share.
type ShareView struct {
	Plan  string
	Share float64
}

// NodeView is the state of a node.
type NodeView struct {
	Addr    string
	Shard   int
	Off     bool    // excluded: draining, removed or without a valid shard
	Suspect bool    // no connection, or several lost; one attempt at a time until one is served
	HeldFor float64 // remaining back-off, during which nothing is sent
	Cold    float64 // fraction of requests that may be sent while it warms up; 1: all
}

// LimitView is this host's token bucket for the limit of one volume.
type LimitView struct {
	Volume, Plan string
	Left         float64 // units that may be sent at once
	Rate         float64 // fill rate, units per second
}

// View implements Scheduler.
func (p *scheduler) View(now float64) View {
	p.now = max(p.now, now)
	v := View{Median: p.medianTime, Base: p.unloadedServiceTime, Budget: -1, Held: len(p.requests)}
	if p.settings.Rules.HasBudget {
		used, allowed := p.retryBudget()
		v.Budget = max(allowed-used, 0)
	}
	for _, sh := range p.shards {
		entry := ShardView{
			Shard: sh.id, Depth: sh.depth, Out: len(sh.outstanding), Waiting: sh.waiting,
			Parked: sh.deferred.len(), Service: p.expectedServiceTime(sh),
		}
		if sh.node != nil && !sh.node.excluded {
			entry.Node = sh.node.Addr
		}
		v.Shards = append(v.Shards, entry)
	}
	for i, pl := range p.settings.Plans {
		v.Shares = append(v.Shares, ShareView{pl.Name, p.shares.share[i]})
	}
	for addr, n := range p.nodes {
		entry := NodeView{
			Addr: addr, Shard: n.Shard, Off: n.excluded, Suspect: n.suspect,
			HeldFor: max(n.backoffEnd-p.now, 0), Cold: 1,
		}
		if _, fraction, slowStart := p.slowStart(n); slowStart {
			entry.Cold = fraction
		}
		v.Nodes = append(v.Nodes, entry)
	}
	slices.SortFunc(v.Nodes, func(a, b NodeView) int { return cmp.Compare(a.Addr, b.Addr) })
	for id, vol := range p.volumes {
		if vol.plan.Limit > 0 {
			level := min(vol.limitLevel+vol.limitRate*(p.now-vol.refilledAt)/1000, vol.limitCap)
			available := max(level-vol.limitFloor, 0)
			v.Limited = append(v.Limited, LimitView{id, vol.plan.Name, available, vol.limitRate})
		}
	}
	slices.SortFunc(v.Limited, func(a, b LimitView) int { return cmp.Compare(a.Volume, b.Volume) })
	return v
}
