package gateway

import (
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"merlinhitch/internal/control/settings"
	"merlinhitch/internal/fleet/region"
	"merlinhitch/internal/protocol/diskproto"
	"merlinhitch/internal/protocol/inventory"
	"merlinhitch/internal/runtime/env"
	"merlinhitch/internal/simulation/faultinject"
	"merlinhitch/policy"
)

// regional is what a host core of a service over two regions knows of them. What it
// decides is package region's; the module hears of it as a node list that has for each
// shard only the node at its home, and of its part of each limit.
type regional struct {
	*region.Host
	self   region.ID
	limits map[string]int // of plans that have one: its number
	copied map[string]bool
	parts  map[string]limitPart // of limited volumes
	drift  float64              // a limit may fill so much too fast
	held   bool                 // as the module was last told
	term   uint64
}

// limitPart is a limited volume's: its hosts in this region, and its limit.
type limitPart struct{ hosts, limit int }

func newRegional(s *settings.Settings, self int) *regional {
	if s.Regions == nil {
		return nil
	}
	r := &regional{Host: region.NewHost(s.Regions.Config(), region.ID(s.Regions.Hosts[self])), self: region.ID(s.Regions.Hosts[self]),
		drift: s.Regions.Drift, parts: map[string]limitPart{}}
	r.learn(s)
	return r
}

// learn takes what settings say of plans.
func (r *regional) learn(s *settings.Settings) {
	r.limits, r.copied = map[string]int{}, map[string]bool{}
	for i, p := range s.Plans {
		r.copied[p.Name] = p.Copied != settings.AckBefore
		if p.Limit > 0 {
			r.limits[p.Name] = i
		}
	}
}

// nothing stands for a share of nothing: no request ever fits it.
const nothing = 1e-9

// shareOf is what this region's hosts have of a limit, by clocks that may run fast.
func (r *regional) shareOf(now float64, limit int) (share, since float64) {
	share, since = r.Share(now, limit)
	return max(share*(1-r.drift), nothing), since
}

// limited enters a request's part of its limit.
func (r *regional) limited(now float64, q *policy.Request) {
	limit, ok := r.limits[q.Plan]
	if !ok {
		return
	}
	r.parts[q.Volume] = limitPart{max(q.Hosts, 1), limit}
	q.Fraction, q.FractionSince = r.shareOf(now, limit)
}

// granted brings what the inventory granted.
func (h *core) granted(now float64, g *region.Grant) {
	h.advance(now)
	r := h.regions
	if r == nil || !r.Told(h.now, *g) {
		return
	}
	h.effects.setLeaseEnd(r.Until())
	h.timers.Push(&timer{Due: r.Until(), Value: timerEvent{name: leaseEnd}})
	if r.held && r.Known().Term == r.term {
		return
	}
	h.rehome()
}

// leaseEnd is the timer at the end of a lease.
const leaseEnd = "/lease"

// leaseOver looks whether the lease has run out.
func (h *core) leaseOver() {
	if r := h.regions; r.held && !r.Holds(h.now) {
		h.rehome()
		h.effects.warn("no lease: nothing is sent until the inventory grants one")
	}
}

// rehome tells the module where shards are at home now, and its parts of limits.
func (h *core) rehome() {
	r := h.regions
	r.held, r.term = r.Holds(h.now), r.Known().Term
	all := make([]inventory.Node, 0, len(h.nodes))
	for _, n := range h.nodes {
		all = append(all, n)
	}
	slices.SortFunc(all, compareAddr)
	h.reportNodes(true, all)
	volumes := make([]string, 0, len(r.parts))
	for v := range r.parts {
		volumes = append(volumes, v)
	}
	slices.Sort(volumes)
	for _, v := range volumes {
		p := r.parts[v]
		share, _ := r.shareOf(h.now, p.limit)
		h.notify(policy.VolumeChanged{Volume: v, Hosts: p.hosts, Fraction: share})
	}
}

// healthOf is a node's as the module is told it: one that is not at its shard's home is
// as good as draining.
func (h *core) healthOf(n inventory.Node) policy.Health {
	if r := h.regions; r != nil && n.Health == inventory.Ready {
		if home, ok := r.May(h.now, n.Shard); !ok || home.Region != n.Region {
			return policy.Draining
		}
	}
	return policyHealth[n.Health]
}

// stamp has an attempt carry its shard's generation and end with the lease; false if it
// must not go.
func (h *core) stamp(a *attempt) bool {
	r, j := h.regions, a.job
	if r == nil {
		return true
	}
	home, ok := r.May(h.now, j.req.Shard)
	if n, listed := h.nodes[a.node]; !ok || !listed || n.Region != home.Region {
		return false
	}
	if j.generation == 0 {
		j.generation = home.Gen
	}
	everywhere := j.dedupScope == policy.DedupAll || j.message.Effect == diskproto.Safe
	if !region.MayRepeat(j.generation, home, everywhere) {
		return false
	}
	if a.generation = home.Gen; !faultinject.Active(faultinject.FenceMissing) {
		a.answerBy = min(a.answerBy, r.Until())
	}
	return true
}

// refusedAsOld takes note of a disk server that knows a later generation.
func (h *core) refusedAsOld(a *attempt) {
	if r := h.regions; r != nil {
		r.Refused(a.job.req.Shard, a.generation)
		h.rehome()
		h.effects.renewLease()
	}
}

// leaser asks the inventory for leases, from a goroutine of its own.
type leaser struct {
	world  env.Environment
	host   *host
	caller *inventory.Caller
	every  time.Duration
	log    *zap.Logger
	mu     sync.Mutex
	soon   *env.Gate
	over   env.Gate
	done   env.Gate
}

// leaseParts is how many times a lease is renewed in its own length: two questions may be
// lost without harm.
const leaseParts = 6

func newLeaser(w env.Environment, h *host, addr string, r *settings.Regions, log *zap.Logger) *leaser {
	l := &leaser{world: w, host: h, caller: inventory.NewCaller(w, func() string { return addr }), every: env.Duration(r.Lease / leaseParts), log: log}
	h.requestLease = l.sooner
	w.Go(l.run)
	return l
}

func (l *leaser) run() {
	defer l.done.Open()
	refused := false
	for {
		var id, knows uint64
		if !l.host.runAndWait(func(c *core) { id, knows = c.regions.Ask(c.now), c.regions.Known().Term }) {
			return
		}
		a, err := l.caller.Ask(inventory.Ask{Op: "lease", Ask: id, From: knows}, 2*l.every)
		switch {
		case err == nil && a.Kind == inventory.Granted:
			refused = false
			l.host.post(event{kind: eventLeaseGranted, grant: a.Grant})
		case err == nil && !refused:
			refused = true
			l.log.Warn("no lease is granted", zap.String("reason", a.Reason))
		}
		l.host.pool.refreshClocks()
		l.mu.Lock()
		l.soon = &env.Gate{}
		soon := l.soon
		l.mu.Unlock()
		env.Sleep(l.world, l.every, soon)
		if l.over.Opened() {
			return
		}
	}
}

// sooner ends the wait before the next question.
func (l *leaser) sooner() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.soon != nil {
		l.soon.Open()
	}
}

func (l *leaser) close() {
	l.over.Open()
	l.sooner()
	l.caller.Close()
	l.done.Wait(l.world)
}
