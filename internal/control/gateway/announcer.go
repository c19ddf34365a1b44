package gateway

import (
	"net/netip"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"merlinhitch/internal/control/settings"
	"merlinhitch/internal/fleet/announce"
	"merlinhitch/internal/protocol/bgp"
	"merlinhitch/internal/protocol/inventory"
	"merlinhitch/internal/runtime/env"
	"merlinhitch/policy"
)

// announcer is the shell of package announce: it looks, several times a second and
// from a goroutine of its own, at what the gateway can serve, and hands what the core
// decides to the speaker. It asks the host core for a sign of life and never waits
// for it, so a core that hangs is seen.
type announcer struct {
	config          Config
	host            *host
	inventoryClient *inventory.Client
	log             *zap.Logger
	speaker         *bgp.Speaker
	stopped         env.Gate
	done            env.Gate

	mu               sync.Mutex
	core             *announce.Core
	settings         *settings.Settings
	prefixes         map[string][]netip.Prefix
	announcedShards  map[int]bool // shards of any group
	heartbeatPending bool         // the host core was asked and has not answered yet
	lastHeartbeat    float64
	readyNodes       map[string]int // ready nodes, with their shards
	listReceived     bool
	nextProbeAt      time.Duration
	levels           map[string]announce.Level
}

// evaluateInterval is how often the announcer looks; with the time for an answer it bounds
// how late a loss is seen.
const evaluateInterval = 40 * time.Millisecond

// Times for what settings leave open, ms.
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
		if len(router.Hosts) > 0 && !slices.Contains(router.Hosts, config.Self) {
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
	return announce.Config{Steady: valueOr(a.Steady, defaults.Steady), SteadyMost: valueOr(a.SteadyMost, defaults.SteadyMost), ResortMost: valueOr(a.ResortMost, defaults.ResortMost),
		HalfLife: valueOr(a.HalfLife, defaults.HalfLife), ListBound: valueOr(a.ListBound, defaults.ListBound), BeatBound: valueOr(a.BeatBound, defaults.BeatBound)}
}

// applySettings takes settings: their groups and times. Routers are those of the start.
func (a *announcer) applySettings(s *settings.Settings) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if s.Announce == nil {
		s = &settings.Settings{Announce: &settings.Announce{}} // nothing is announced any more
	}
	a.settings, a.prefixes, a.announcedShards = s, map[string][]netip.Prefix{}, map[int]bool{}
	volumes := map[string]*settings.Volume{}
	for i := range s.Volumes {
		if volume := &s.Volumes[i]; slices.Contains(volume.Hosts, a.config.Self) {
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
			a.prefixes[g.Name] = append(a.prefixes[g.Name], netip.MustParsePrefix(prefix)) // checked with the settings
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

// evaluate gathers what there is to know, and decides.
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
		a.nextProbeAt = now + env.Duration(valueOr(a.settings.Announce.ProbeEvery, defaultProbeIntervalMS))
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
		if readAt, open := a.host.pool.lastRead(addr); open && env.MS(now-readAt) <= valueOr(a.settings.Announce.AnswerTime, defaultAnswerTimeoutMS) {
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

// recordHeartbeat is the host core's sign of life, on its goroutine; it brings the nodes.
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

// Paths of the levels: a last resort is behind any other in each way that routers
// compare.
var (
	fullPath       = bgp.Path{MED: 100}
	lastResortPath = bgp.Path{MED: 1000, Prepend: 3, Shutdown: true}
)

// publish hands what is decided to the speaker. Held: mu.
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

// setStopPhase brings a phase of a graceful setStopPhase, and tells it at once.
func (a *announcer) setStopPhase(phase announce.StopPhase) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.core.Stop(env.MS(a.config.Environment.Now()), phase)
	a.publish()
}

// drainClients is the first part of a graceful stop: clients are asked to go elsewhere, get
// so long for it as the settings say, and then find no way here any more.
func (a *announcer) drainClients(wait func(time.Duration)) {
	a.setStopPhase(announce.Leaving)
	a.mu.Lock()
	moveTime := valueOr(a.settings.Announce.MoveTime, defaultMoveTimeMS)
	a.mu.Unlock()
	wait(env.Duration(moveTime))
	a.setStopPhase(announce.Left)
}

// close ends the announcer; with a text in peace, without one at once.
func (a *announcer) close(message string) {
	a.stopped.Open()
	if message == "" {
		a.speaker.Kill()
	} else {
		a.speaker.Close(message)
	}
	a.done.Wait(a.config.Environment)
}

// Routes is what operators see of the announcements.
type Routes struct {
	Groups []GroupRoutes    `json:"groups"`
	Peers  []bgp.PeerStatus `json:"peers"`
}

// GroupRoutes is one group's announcement.
type GroupRoutes struct {
	announce.State
	Level    string         `json:"level"`
	Prefixes []netip.Prefix `json:"prefixes"`
	ForMS    float64        `json:"for_ms"` // at this level
	// RiseIn is the time until the level may rise, ms; absent where nothing now known
	// would let it.
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
