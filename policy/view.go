package policy

import (
	"cmp"
	"slices"
)

// View is what an instance holds and knows at a moment, for operators. Reading it decides
// nothing and changes nothing. Times are in milliseconds.
type View struct {
	Median, Base float64 // answers' times over all nodes; the same with nothing waiting
	// Budget is how many attempts beyond the first may still go now; -1: there is no bound.
	Budget  float64
	Held    int // requests without an end, or with an attempt out
	Shards  []ShardView
	Shares  []ShareView
	Nodes   []NodeView
	Limited []LimitView
}

// ShardView is the queue of one shard.
type ShardView struct {
	Shard   int
	Node    string  // that has it; "": none may be sent to
	Depth   float64 // attempts that may be out, a part below 1
	Out     int
	Waiting int // parked ones included
	Parked  int
	Service float64 // service time to expect
}

// ShareView is a plan's share in force.
type ShareView struct {
	Plan  string
	Share float64
}

// NodeView is what is known of a node.
type NodeView struct {
	Addr    string
	Shard   int
	Off     bool    // draining or gone
	Suspect bool    // its last attempt found no process
	HeldFor float64 // nothing goes there for so long
	Cold    float64 // part of what is asked that may go there while it warms up; 1: all
}

// LimitView is what is left of a limited volume's part here.
type LimitView struct {
	Volume, Plan string
	Left         float64 // units that may go at once
	Rate         float64 // units a second at which it fills
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
			left := max(level-vol.limitFloor, 0)
			v.Limited = append(v.Limited, LimitView{id, vol.plan.Name, left, vol.limitRate})
		}
	}
	slices.SortFunc(v.Limited, func(a, b LimitView) int { return cmp.Compare(a.Volume, b.Volume) })
	return v
}
