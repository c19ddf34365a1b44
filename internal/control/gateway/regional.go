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

// regionState is what a host core of a service over two regions knows of them. What it
// decides is package region's; the module hears of it as a node list that has for each
// shard only the node at its home, and of its part of each limit.
type regionState struct {
	*region.Host
	self          region.ID
	limitIndexes  map[string]int // of plans that have one: its number
	copyBeforeAck map[string]bool
	volumeLimits  map[string]volumeLimit // of limited volumes
	clockDrift    float64                // a limit may fill so much too fast
	notifiedHeld  bool                   // as the module was last told
	notifiedTerm  uint64
}

// volumeLimit is a limited volume's: its hosts in this region, and its limit.
type volumeLimit struct{ hosts, limit int }

func newRegionState(s *settings.Settings, hostIndex int) *regionState {
	if s.Regions == nil {
		return nil
	}
	r := &regionState{Host: region.NewHost(s.Regions.Config(), region.ID(s.Regions.Hosts[hostIndex])), self: region.ID(s.Regions.Hosts[hostIndex]),
		clockDrift: s.Regions.Drift, volumeLimits: map[string]volumeLimit{}}
	r.applySettings(s)
	return r
}

// applySettings takes what settings say of plans.
func (r *regionState) applySettings(s *settings.Settings) {
	r.limitIndexes, r.copyBeforeAck = map[string]int{}, map[string]bool{}
	for i, p := range s.Plans {
		r.copyBeforeAck[p.Name] = p.Copied != settings.AckBefore
		if p.Limit > 0 {
			r.limitIndexes[p.Name] = i
		}
	}
}

// minLimitShare stands for a share of minLimitShare: no request ever fits it.
const minLimitShare = 1e-9

// regionShare is what this region's hosts have of a limit, by clocks that may run fast.
func (r *regionState) regionShare(now float64, limit int) (share, since float64) {
	share, since = r.Share(now, limit)
	return max(share*(1-r.clockDrift), minLimitShare), since
}

// setLimitShare enters a request's part of its limit.
func (r *regionState) setLimitShare(now float64, request *policy.Request) {
	limit, ok := r.limitIndexes[request.Plan]
	if !ok {
		return
	}
	r.volumeLimits[request.Volume] = volumeLimit{max(request.Hosts, 1), limit}
	request.Fraction, request.FractionSince = r.regionShare(now, limit)
}

// applyGrant brings what the inventory applyGrant.
func (h *core) applyGrant(now float64, grant *region.Grant) {
	h.advance(now)
	r := h.regions
	if r == nil || !r.Told(h.now, *grant) {
		return
	}
	h.effects.setLeaseEnd(r.Until())
	h.timers.Push(&timer{Due: r.Until(), Value: timerEvent{name: leaseTimerName}})
	if r.notifiedHeld && r.Known().Term == r.notifiedTerm {
		return
	}
	h.notifyHomes()
}

// leaseTimerName is the timer at the end of a lease.
const leaseTimerName = "/lease"

// checkLease looks whether the lease has run out.
func (h *core) checkLease() {
	if r := h.regions; r.notifiedHeld && !r.Holds(h.now) {
		h.notifyHomes()
		h.effects.warn("no lease: nothing is sent until the inventory grants one")
	}
}

// notifyHomes tells the module where shards are at home now, and its parts of limits.
func (h *core) notifyHomes() {
	r := h.regions
	r.notifiedHeld, r.notifiedTerm = r.Holds(h.now), r.Known().Term
	nodes := make([]inventory.Node, 0, len(h.nodes))
	for _, n := range h.nodes {
		nodes = append(nodes, n)
	}
	slices.SortFunc(nodes, compareAddr)
	h.reportNodes(true, nodes)
	volumes := make([]string, 0, len(r.volumeLimits))
	for v := range r.volumeLimits {
		volumes = append(volumes, v)
	}
	slices.Sort(volumes)
	for _, v := range volumes {
		limit := r.volumeLimits[v]
		share, _ := r.regionShare(h.now, limit.limit)
		h.notify(policy.VolumeChanged{Volume: v, Hosts: limit.hosts, Fraction: share})
	}
}

// effectiveHealth is a node's as the module is told it: one that is not at its shard's home is
// as good as draining.
func (h *core) effectiveHealth(n inventory.Node) policy.Health {
	if r := h.regions; r != nil && n.Health == inventory.Ready {
		if home, ok := r.May(h.now, n.Shard); !ok || home.Region != n.Region {
			return policy.Draining
		}
	}
	return policyHealth[n.Health]
}

// stampGeneration has an attempt carry its shard's generation and end with the lease; false if it
// must not go.
func (h *core) stampGeneration(a *attempt) bool {
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

// refusedStale takes note of a disk server that knows a later generation.
func (h *core) refusedStale(a *attempt) {
	if r := h.regions; r != nil {
		r.Refused(a.job.req.Shard, a.generation)
		h.notifyHomes()
		h.effects.renewLease()
	}
}

// leaseRenewer asks the inventory for leases, from a goroutine of its own.
type leaseRenewer struct {
	environment env.Environment
	host        *host
	caller      *inventory.Caller
	interval    time.Duration
	log         *zap.Logger
	mu          sync.Mutex
	wake        *env.Gate
	stopped     env.Gate
	done        env.Gate
}

// renewalsPerLease is how many times a lease is renewed in its own length: two questions may be
// lost without harm.
const renewalsPerLease = 6

func newLeaseRenewer(environment env.Environment, h *host, inventoryAddr string, r *settings.Regions, log *zap.Logger) *leaseRenewer {
	l := &leaseRenewer{environment: environment, host: h, caller: inventory.NewCaller(environment, func() string { return inventoryAddr }), interval: env.Duration(r.Lease / renewalsPerLease), log: log}
	h.requestLease = l.renewNow
	environment.Go(l.run)
	return l
}

func (l *leaseRenewer) run() {
	defer l.done.Open()
	refused := false
	for {
		var askID, knownTerm uint64
		if !l.host.runAndWait(func(c *core) { askID, knownTerm = c.regions.Ask(c.now), c.regions.Known().Term }) {
			return
		}
		answer, err := l.caller.Ask(inventory.Ask{Op: "lease", Ask: askID, From: knownTerm}, 2*l.interval)
		switch {
		case err == nil && answer.Kind == inventory.Granted:
			refused = false
			l.host.post(event{kind: eventLeaseGranted, grant: answer.Grant})
		case err == nil && !refused:
			refused = true
			l.log.Warn("no lease is granted", zap.String("reason", answer.Reason))
		}
		l.host.pool.refreshClocks()
		l.mu.Lock()
		l.wake = &env.Gate{}
		wake := l.wake
		l.mu.Unlock()
		env.Sleep(l.environment, l.interval, wake)
		if l.stopped.Opened() {
			return
		}
	}
}

// renewNow ends the wait before the next question.
func (l *leaseRenewer) renewNow() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.wake != nil {
		l.wake.Open()
	}
}

func (l *leaseRenewer) close() {
	l.stopped.Open()
	l.renewNow()
	l.caller.Close()
	l.done.Wait(l.environment)
}
