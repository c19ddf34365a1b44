package gateway

import (
	"net/netip"
	"slices"
	"time"

	"go.uber.org/zap"

	"merlinhitch/internal/control/settings"
	"merlinhitch/internal/fleet/announce"
	"merlinhitch/internal/protocol/bgp"
	"merlinhitch/internal/protocol/inventory"
	"merlinhitch/internal/runtime/env"
	"merlinhitch/internal/runtime/locks"
	"merlinhitch/policy"
)

// announcer drives package announce: on its own goroutine it regularly collects what the gateway
// can serve and passes the resulting routes to the BGP speaker. It requests heartbeats from the
// host's core but never waits for them, so that a hung core is detected.
type announcer struct {
	config          Config
	host            *host
	inventoryClient *inventory.Client
	log             *zap.Logger
	speaker         *bgp.Speaker
	stopped         env.Gate
	done            env.Gate

	mu               locks.Mutex
	core             *announce.Core
	settings         *settings.Settings
	prefixes         map[string][]netip.Prefix // by group
	announcedShards  map[int]bool              // shards of all groups
	heartbeatPending bool                      // requested from the host's core, not answered yet
	lastHeartbeat    float64                   // ms
	readyNodes       map[string]int            // shards of the ready nodes, by address, as of the last heartbeat
	listReceived     bool                      // as of the last heartbeat
	nextProbeAt      time.Duration
	levels           map[string]announce.Level // last published, by group
}

// evaluateInterval is the time between evaluations. Together with the answer timeout it bounds how
// late the loss of a disk server is detected.
const evaluateInterval = 40 * time.Millisecond

// Defaults for times that the settings omit, ms.
const (
	defaultProbeIntervalMS = 150
	defaultAnswerTimeoutMS = 500
	defaultMoveTimeMS      = 2000
)

func newAnnouncer(config Config, s *settings.Settings, h *host, inventoryClient *inventory.Client) (*announcer, error) {
	a := &announcer{config: config, host: h, inventoryClient: inventoryClient, log: config.Log, core: announce.New(announce.DefaultConfig),
		readyNodes: map[string]int{}, levels: map[string]announce.Level{}}
	var peers []bgp.Neighbour
	for i := range s.Announce.Routers {
		router := &s.Announce.Routers[i]
		if len(router.Hosts) > 0 && !slices.Contains(router.Hosts, config.HostIndex) {
			continue
		}
		times := bgp.DefaultTimes
		times.Hold = s.Announce.HoldTime
		peers = append(peers, bgp.Neighbour{Addr: router.Addr, PeerConfig: bgp.PeerConfig{Name: router.Name, LocalAS: s.Announce.AS, PeerAS: router.AS, ID: config.RouterID,
			Passive: router.Passive, Families: []bgp.Family{bgp.IPv4, bgp.IPv6}, Hop4: config.NextHop4, Hop6: config.NextHop6, Times: times}})
	}
	var err error
	if a.speaker, err = bgp.StartSpeaker(config.Environment, config.Log, config.BGPListen, peers); err != nil {
		return nil, err
	}
	a.applySettings(s)
	config.Environment.Go(a.run)
	return a, nil
}

func valueOr(value, fallback float64) float64 {
	if value == 0 {
		return fallback
	}
	return value
}

func announceConfig(a *settings.Announce) announce.Config {
	defaults := announce.DefaultConfig
	return announce.Config{Steady: valueOr(a.StableTime, defaults.Steady), SteadyMost: valueOr(a.MaxStableTime, defaults.SteadyMost), ResortMost: valueOr(a.MaxLastResortTime, defaults.ResortMost),
		HalfLife: valueOr(a.LossHalfLife, defaults.HalfLife), ListBound: valueOr(a.MaxListAge, defaults.ListBound), BeatBound: valueOr(a.HeartbeatTimeout, defaults.BeatBound)}
}

// applySettings applies the groups and times of settings. The routers stay those of the start.
func (a *announcer) applySettings(s *settings.Settings) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if s.Announce == nil {
		s = &settings.Settings{Announce: &settings.Announce{}} // withdraws everything
	}
	a.settings, a.prefixes, a.announcedShards = s, map[string][]netip.Prefix{}, map[int]bool{}
	volumes := map[string]*settings.Volume{}
	for i := range s.Volumes {
		if volume := &s.Volumes[i]; slices.Contains(volume.Hosts, a.config.HostIndex) {
			volumes[volume.Name] = volume
		}
	}
	var groups []announce.Group
	for _, g := range s.Announce.Groups {
		group := announce.Group{Name: g.Name}
		for _, name := range g.Volumes {
			if volume := volumes[name]; volume != nil {
				group.Shards = append(group.Shards, volume.Layout...)
			}
		}
		slices.Sort(group.Shards)
		group.Shards = slices.Compact(group.Shards)
		for _, shard := range group.Shards {
			a.announcedShards[shard] = true
		}
		for _, prefix := range g.Prefixes {
			a.prefixes[g.Name] = append(a.prefixes[g.Name], netip.MustParsePrefix(prefix)) // validated with the settings
		}
		groups = append(groups, group)
	}
	now := env.MS(a.config.Environment.Now())
	a.core.Configure(now, announceConfig(s.Announce))
	a.core.Groups(now, groups)
	a.publish()
}

func (a *announcer) run() {
	defer a.done.Open()
	for env.Sleep(a.config.Environment, evaluateInterval, &a.stopped) {
		a.evaluate()
	}
}

// evaluate passes the state of disk servers, node list and heartbeat to package announce and
// publishes the routes that result. It also requests heartbeats and probes disk servers.
func (a *announcer) evaluate() {
	a.mu.Lock()
	defer a.mu.Unlock()
	environment := a.config.Environment
	now := environment.Now()
	if !a.heartbeatPending {
		a.heartbeatPending = true
		a.host.post(event{kind: eventRun, run: a.recordHeartbeat})
	}
	if now >= a.nextProbeAt {
		a.nextProbeAt = now + env.Duration(valueOr(a.settings.Announce.ProbeInterval, defaultProbeIntervalMS))
		for addr, shard := range a.readyNodes {
			if a.announcedShards[shard] {
				a.host.pool.probe(addr)
			}
		}
	}
	nowMS := env.MS(now)
	answeringShards, readyShards := map[int]bool{}, map[int]bool{}
	for addr, shard := range a.readyNodes {
		readyShards[shard] = true
		if readAt, open := a.host.pool.lastRead(addr); open && env.MS(now-readAt) <= valueOr(a.settings.Announce.ProbeTimeout, defaultAnswerTimeoutMS) {
			answeringShards[shard] = true
		}
	}
	if a.listReceived {
		a.core.List(nowMS, readyShards)
	}
	if since, lost := a.inventoryClient.Lost(); lost {
		a.core.ListLost(env.MS(since))
	}
	a.core.Beat(nowMS, a.lastHeartbeat)
	a.core.Answers(nowMS, answeringShards)
	a.publish()
}

// recordHeartbeat records a heartbeat of the host's core and its ready nodes. It runs on the host's
// goroutine.
func (a *announcer) recordHeartbeat(c *core) {
	readyNodes := make(map[string]int, len(c.nodes))
	for addr, n := range c.nodes {
		if c.effectiveHealth(n) == policy.Ready {
			readyNodes[addr] = n.Shard
		}
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.heartbeatPending, a.lastHeartbeat, a.readyNodes, a.listReceived = false, env.MS(a.config.Environment.Now()), readyNodes, c.listSeen
}

// Path attributes of the levels. The last resort is less preferred in every attribute that routers
// may compare: MED, length of the AS path, and GRACEFUL_SHUTDOWN (RFC 8326).
var (
	fullPath       = bgp.Path{MED: 100}
	lastResortPath = bgp.Path{MED: 1000, Prepend: 3, Shutdown: true}
)

// publish sets the speaker's routes to the levels that package announce has decided. mu is held.
func (a *announcer) publish() {
	var routes []bgp.Route
	levels := map[string]announce.Level{}
	for _, s := range a.core.States() {
		levels[s.Group] = s.Level
		if previous := a.levels[s.Group]; previous != s.Level {
			a.log.Info("announcement changed", zap.String("group", s.Group), zap.Stringer("from", previous), zap.Stringer("to", s.Level), zap.String("reason", string(s.Reason)))
		}
		if s.Level == announce.Withdrawn {
			continue
		}
		path := fullPath
		if s.Level == announce.LastResort {
			path = lastResortPath
		}
		for _, p := range a.prefixes[s.Group] {
			routes = append(routes, bgp.Route{Prefix: p, Path: path})
		}
	}
	a.levels = levels
	a.speaker.Set(routes)
}

// setStopPhase enters a phase of a graceful stop and publishes its routes at once.
func (a *announcer) setStopPhase(phase announce.StopPhase) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.core.Stop(env.MS(a.config.Environment.Now()), phase)
	a.publish()
}

// maxPhaseSendTime bounds how long a phase of a graceful stop waits until its routes are sent.
const maxPhaseSendTime = 2 * time.Second

// waitFunc waits until done returns true, or the timeout or the time for the whole stop is over.
type waitFunc func(timeout time.Duration, done func() bool)

// enterStopPhase enters a phase of a graceful stop and waits until its routes are written to every
// router with an established session. A router is only ever sent the latest routes, so it would miss
// those of a phase that ends before.
func (a *announcer) enterStopPhase(phase announce.StopPhase, wait waitFunc) {
	a.setStopPhase(phase)
	wait(maxPhaseSendTime, func() bool { return len(a.speaker.Unsent()) == 0 })
	if unsent := a.speaker.Unsent(); len(unsent) > 0 {
		a.log.Warn("routers not sent the routes of a graceful stop in time", zap.Stringer("phase", phase), zap.Strings("routers", unsent))
	}
}

// drainClients is the first step of a graceful stop. It announces all groups as a last resort, so
// that clients move to other gateways, waits with the configured time until clientsLeft returns true,
// and then withdraws them.
func (a *announcer) drainClients(wait waitFunc, clientsLeft func() bool) {
	a.enterStopPhase(announce.Leaving, wait)
	a.mu.Lock()
	moveTime := valueOr(a.settings.Announce.DrainTime, defaultMoveTimeMS)
	a.mu.Unlock()
	wait(env.Duration(moveTime), clientsLeft)
	a.enterStopPhase(announce.Left, wait)
}

// close stops the announcer. With a message, the BGP sessions are closed with it (RFC 9003); if it
// is empty, their connections are just closed.
func (a *announcer) close(message string) {
	a.stopped.Open()
	if message == "" {
		a.speaker.Kill()
	} else {
		a.speaker.Close(message)
	}
	a.done.Wait(a.config.Environment)
}

// Routes are the announcements of a gateway and its BGP sessions, as shown to operators.
type Routes struct {
	Groups []GroupRoutes    `json:"groups"`
	Peers  []bgp.PeerStatus `json:"peers"`
}

// GroupRoutes is the announcement of an address group.
type GroupRoutes struct {
	announce.State
	Level    string         `json:"level"`
	Prefixes []netip.Prefix `json:"prefixes"`
	ForMS    float64        `json:"for_ms"` // time at this level, ms
	// RiseIn is the time until the level may rise, ms; nil if it cannot rise in the present state.
	RiseIn *float64 `json:"up_in_ms,omitempty"`
}

func (a *announcer) routes() Routes {
	a.mu.Lock()
	now := env.MS(a.config.Environment.Now())
	var out Routes
	for _, s := range a.core.States() {
		g := GroupRoutes{State: s, Level: s.Level.String(), Prefixes: a.prefixes[s.Group], ForMS: now - s.Since}
		if riseIn := s.Up - now; riseIn < 1e12 {
			g.RiseIn = &riseIn
		}
		out.Groups = append(out.Groups, g)
	}
	a.mu.Unlock()
	out.Peers = a.speaker.Status()
	return out
}
