package gateway

import (
	"slices"
	"time"

	"go.uber.org/zap"

	"merlinhitch/internal/control/settings"
	"merlinhitch/internal/fleet/region"
	"merlinhitch/internal/protocol/diskproto"
	"merlinhitch/internal/protocol/inventory"
	"merlinhitch/internal/runtime/env"
	"merlinhitch/internal/runtime/locks"
	"merlinhitch/internal/simulation/faultinject"
	"merlinhitch/policy"
)

// regionState is the state of a core in a service with two regions. Package region decides on
// leases, homes of shards and shares of limits. The core passes them on to the policy: nodes outside
// the home region of their shard are reported as draining, and limits as the region's share.
type regionState struct {
	*region.Host
	regionID      region.ID
	limitIndexes  map[string]int         // by plan, for those with a limit: its index in region records
	copyBeforeAck map[string]bool        // by plan: writes are acknowledged once the other region has a copy
	volumeLimits  map[string]volumeLimit // by volume, for those that had a request under a limited plan
	clockDrift    float64                // maximum relative error of a host's clock
	notifiedHeld  bool                   // whether the host held a lease when notifyHomes last ran
	notifiedTerm  uint64                 // term of the region record that notifyHomes last reported
}

// volumeLimit is the number of hosts in this region that serve a volume, and the index of its limit.
type volumeLimit struct{ hosts, limit int }

func newRegionState(s *settings.Settings, hostIndex int) *regionState {
	if s.Regions == nil {
		return nil
	}
	r := &regionState{Host: region.NewHost(s.Regions.Config(), region.ID(s.Regions.Hosts[hostIndex])), regionID: region.ID(s.Regions.Hosts[hostIndex]),
		clockDrift: s.Regions.Drift, volumeLimits: map[string]volumeLimit{}}
	r.applySettings(s)
	return r
}

// applySettings applies the plans of settings.
func (r *regionState) applySettings(s *settings.Settings) {
	r.limitIndexes, r.copyBeforeAck = map[string]int{}, map[string]bool{}
	for i, p := range s.Plans {
		r.copyBeforeAck[p.Name] = p.WriteAck != settings.AckBeforeCopy
		if p.Limit > 0 {
			r.limitIndexes[p.Name] = i
		}
	}
}

// minLimitShare replaces a share of 0: the policy takes a fraction of 0 as the whole limit. No
// request fits into it.
const minLimitShare = 1e-9

// regionShare returns the region's share of a limit, reduced by the maximum clock drift, and since
// when it has been no smaller, ms.
func (r *regionState) regionShare(now float64, limitIndex int) (share, since float64) {
	share, since = r.Share(now, limitIndex)
	return max(share*(1-r.clockDrift), minLimitShare), since
}

// setLimitShare sets a request's fraction of its plan's limit to the region's share.
func (r *regionState) setLimitShare(now float64, request *policy.Request) {
	limitIndex, ok := r.limitIndexes[request.Plan]
	if !ok {
		return
	}
	r.volumeLimits[request.Volume] = volumeLimit{max(request.Hosts, 1), limitIndex}
	request.Fraction, request.FractionSince = r.regionShare(now, limitIndex)
}

// applyGrant applies a lease granted by the inventory. The policy is notified if the host had no
// lease or the term has changed.
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

// leaseTimerName names the timer at the end of a lease.
const leaseTimerName = "/lease"

// checkLease updates the policy if the lease has expired.
func (h *core) checkLease() {
	if r := h.regions; r.notifiedHeld && !r.Holds(h.now) {
		h.notifyHomes()
		h.effects.warn("lease expired: no requests are sent until the inventory grants a new one")
	}
}

// notifyHomes reports all nodes to the policy, with their health under the current homes of shards,
// and the region's shares of limits.
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

// effectiveHealth returns a node's health as reported to the policy: a ready node outside the home
// region of its shard is reported as draining.
func (h *core) effectiveHealth(n inventory.Node) policy.Health {
	if r := h.regions; r != nil && n.Health == inventory.Ready {
		if home, ok := r.May(h.now, n.Shard); !ok || home.Region != n.Region {
			return policy.Draining
		}
	}
	return policyHealth[n.Health]
}

// stampGeneration sets an attempt's generation to that of its shard and limits its deadline to the
// end of the lease. It returns false if the attempt must not be sent: the host has no lease, the
// node is not in the shard's home region, or a repeat could be executed in both regions.
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

// refusedStale records that a disk server refused an attempt since it knows a later generation of
// the shard. Nothing is sent to the shard until a lease brings a later generation than the
// refused one.
func (h *core) refusedStale(a *attempt) {
	if r := h.regions; r != nil {
		r.Refused(a.job.req.Shard, a.generation)
		h.notifyHomes()
		h.effects.renewLease()
	}
}

// leaseRenewer requests leases from the inventory, one every interval. A request may be answered until the
// lease that it brings would have ended, so several may be unanswered at a time.
type leaseRenewer struct {
	environment env.Environment
	host        *host
	callers     *inventory.CallerPool
	leaseTime   time.Duration
	log         *zap.Logger
	stopped     env.Gate
	done        env.Gate

	mu            locks.Mutex
	wake          *env.Gate // ends the wait before the next request
	refusalLogged bool      // since the last grant
}

const (
	// renewalsPerLease is the number of renewal intervals in the length of a lease.
	renewalsPerLease = 6
	// maxLeaseRequests bounds the unanswered requests: one for each interval, and one whose time is just
	// over.
	maxLeaseRequests = renewalsPerLease + 1
)

func newLeaseRenewer(environment env.Environment, h *host, inventoryAddr string, regions *settings.Regions, log *zap.Logger) *leaseRenewer {
	callers := inventory.NewCallerPool(environment, func() string { return inventoryAddr }, maxLeaseRequests)
	l := &leaseRenewer{environment: environment, host: h, callers: callers, leaseTime: env.Duration(regions.LeaseTime), log: log, wake: &env.Gate{}}
	h.requestLease = l.renewNow
	environment.Go(l.run)
	return l
}

func (l *leaseRenewer) run() {
	defer l.done.Open()
	for !l.stopped.Opened() {
		l.mu.Lock()
		l.wake = &env.Gate{}
		wake := l.wake
		l.mu.Unlock()
		var askID, knownTerm uint64
		if !l.host.runAndWait(func(c *core) { askID, knownTerm = c.regions.Ask(c.now), c.regions.Known().Term }) {
			return
		}
		l.callers.Ask(inventory.Ask{Op: "lease", Ask: askID, From: knownTerm}, l.leaseTime, l.handleAnswer)
		l.host.pool.refreshClocks()
		env.Sleep(l.environment, l.leaseTime/renewalsPerLease, wake)
	}
}

func (l *leaseRenewer) handleAnswer(answer inventory.List, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case err == nil && answer.Kind == inventory.Granted:
		l.refusalLogged = false
		l.host.post(event{kind: eventLeaseGranted, grant: answer.Grant})
	case err == nil && !l.refusalLogged:
		l.refusalLogged = true
		l.log.Warn("no lease is granted", zap.String("reason", answer.Reason))
	}
}

// renewNow ends the wait before the next lease request.
func (l *leaseRenewer) renewNow() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.wake.Open()
}

func (l *leaseRenewer) close() {
	l.stopped.Open()
	l.renewNow()
	l.callers.Close()
	l.done.Wait(l.environment)
}
