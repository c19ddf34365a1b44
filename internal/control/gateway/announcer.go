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
	cfg     Config
	host    *host
	list    *inventory.Client
	log     *zap.Logger
	speaker *bgp.Speaker
	stopped env.Gate
	done    env.Gate

	mu      sync.Mutex
	core    *announce.Core
	set     *settings.Settings
	groups  map[string][]netip.Prefix
	needed  map[int]bool // shards of any group
	asked   bool         // the host core was asked and has not answered yet
	beat    float64
	nodes   map[string]int // ready nodes, with their shards
	listed  bool
	probeAt time.Duration
	levels  map[string]announce.Level
}

// lookEvery is how often the announcer looks; with the time for an answer it bounds
// how late a loss is seen.
const lookEvery = 40 * time.Millisecond

// Times for what settings leave open, ms.
const (
	probeEvery = 150
	answerTime = 500
	moveTime   = 2000
)

func newAnnouncer(cfg Config, s *settings.Settings, h *host, list *inventory.Client) (*announcer, error) {
	a := &announcer{cfg: cfg, host: h, list: list, log: cfg.Log, core: announce.New(announce.DefaultConfig),
		nodes: map[string]int{}, levels: map[string]announce.Level{}}
	var peers []bgp.Neighbour
	for i := range s.Announce.Routers {
		r := &s.Announce.Routers[i]
		if len(r.Hosts) > 0 && !slices.Contains(r.Hosts, cfg.Self) {
			continue
		}
		times := bgp.DefaultTimes
		times.Hold = s.Announce.HoldTime
		peers = append(peers, bgp.Neighbour{Addr: r.Addr, PeerConfig: bgp.PeerConfig{Name: r.Name, LocalAS: s.Announce.AS, PeerAS: r.AS, ID: cfg.RouterID,
			Passive: r.Passive, Families: []bgp.Family{bgp.IPv4, bgp.IPv6}, Hop4: cfg.Hop4, Hop6: cfg.Hop6, Times: times}})
	}
	var err error
	if a.speaker, err = bgp.StartSpeaker(cfg.Environment, cfg.Log, cfg.BGPListen, peers); err != nil {
		return nil, err
	}
	a.apply(s)
	cfg.Environment.Go(a.run)
	return a, nil
}

func orElse(v, other float64) float64 {
	if v == 0 {
		return other
	}
	return v
}

func announceConfig(a *settings.Announce) announce.Config {
	d := announce.DefaultConfig
	return announce.Config{Steady: orElse(a.Steady, d.Steady), SteadyMost: orElse(a.SteadyMost, d.SteadyMost), ResortMost: orElse(a.ResortMost, d.ResortMost),
		HalfLife: orElse(a.HalfLife, d.HalfLife), ListBound: orElse(a.ListBound, d.ListBound), BeatBound: orElse(a.BeatBound, d.BeatBound)}
}

// apply takes settings: their groups and times. Routers are those of the start.
func (a *announcer) apply(s *settings.Settings) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if s.Announce == nil {
		s = &settings.Settings{Announce: &settings.Announce{}} // nothing is announced any more
	}
	a.set, a.groups, a.needed = s, map[string][]netip.Prefix{}, map[int]bool{}
	at := map[string]*settings.Volume{}
	for i := range s.Volumes {
		if v := &s.Volumes[i]; slices.Contains(v.Hosts, a.cfg.Self) {
			at[v.Name] = v
		}
	}
	var list []announce.Group
	for _, g := range s.Announce.Groups {
		k := announce.Group{Name: g.Name}
		for _, name := range g.Volumes {
			if v := at[name]; v != nil {
				k.Shards = append(k.Shards, v.Layout...)
			}
		}
		slices.Sort(k.Shards)
		k.Shards = slices.Compact(k.Shards)
		for _, sh := range k.Shards {
			a.needed[sh] = true
		}
		for _, p := range g.Prefixes {
			a.groups[g.Name] = append(a.groups[g.Name], netip.MustParsePrefix(p)) // checked with the settings
		}
		list = append(list, k)
	}
	now := env.MS(a.cfg.Environment.Now())
	a.core.Configure(now, announceConfig(s.Announce))
	a.core.Groups(now, list)
	a.tell()
}

func (a *announcer) run() {
	defer a.done.Open()
	for env.Sleep(a.cfg.Environment, lookEvery, &a.stopped) {
		a.look()
	}
}

// look gathers what there is to know, and decides.
func (a *announcer) look() {
	a.mu.Lock()
	defer a.mu.Unlock()
	w := a.cfg.Environment
	now := w.Now()
	if !a.asked {
		a.asked = true
		a.host.post(event{kind: eventRun, run: a.heard})
	}
	if now >= a.probeAt {
		a.probeAt = now + env.Duration(orElse(a.set.Announce.ProbeEvery, probeEvery))
		for addr, shard := range a.nodes {
			if a.needed[shard] {
				a.host.pool.probe(addr)
			}
		}
	}
	ms := env.MS(now)
	answers, ready := map[int]bool{}, map[int]bool{}
	for addr, shard := range a.nodes {
		ready[shard] = true
		if at, open := a.host.pool.lastRead(addr); open && env.MS(now-at) <= orElse(a.set.Announce.AnswerTime, answerTime) {
			answers[shard] = true
		}
	}
	if a.listed {
		a.core.List(ms, ready)
	}
	if since, lost := a.list.Lost(); lost {
		a.core.ListLost(env.MS(since))
	}
	a.core.Beat(ms, a.beat)
	a.core.Answers(ms, answers)
	a.tell()
}

// heard is the host core's sign of life, on its goroutine; it brings the nodes.
func (a *announcer) heard(c *core) {
	nodes := make(map[string]int, len(c.nodes))
	for addr, n := range c.nodes {
		if c.healthOf(n) == policy.Ready {
			nodes[addr] = n.Shard
		}
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.asked, a.beat, a.nodes, a.listed = false, env.MS(a.cfg.Environment.Now()), nodes, c.listSeen
}

// Paths of the levels: a last resort is behind any other in each way that routers
// compare.
var (
	fullPath   = bgp.Path{MED: 100}
	resortPath = bgp.Path{MED: 1000, Prepend: 3, Shutdown: true}
)

// tell hands what is decided to the speaker. Held: mu.
func (a *announcer) tell() {
	var routes []bgp.Route
	levels := map[string]announce.Level{}
	for _, s := range a.core.States() {
		levels[s.Group] = s.Level
		if was := a.levels[s.Group]; was != s.Level {
			a.log.Info("announcement changed", zap.String("group", s.Group), zap.Stringer("from", was), zap.Stringer("to", s.Level), zap.String("reason", string(s.Reason)))
		}
		if s.Level == announce.Withdrawn {
			continue
		}
		path := fullPath
		if s.Level == announce.LastResort {
			path = resortPath
		}
		for _, p := range a.groups[s.Group] {
			routes = append(routes, bgp.Route{Prefix: p, Path: path})
		}
	}
	a.levels = levels
	a.speaker.Set(routes)
}

// stop brings a phase of a graceful stop, and tells it at once.
func (a *announcer) stop(p announce.StopPhase) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.core.Stop(env.MS(a.cfg.Environment.Now()), p)
	a.tell()
}

// leave is the first part of a graceful stop: clients are asked to go elsewhere, get
// so long for it as the settings say, and then find no way here any more.
func (a *announcer) leave(wait func(time.Duration)) {
	a.stop(announce.Leaving)
	a.mu.Lock()
	most := orElse(a.set.Announce.MoveTime, moveTime)
	a.mu.Unlock()
	wait(env.Duration(most))
	a.stop(announce.Left)
}

// close ends the announcer; with a text in peace, without one at once.
func (a *announcer) close(text string) {
	a.stopped.Open()
	if text == "" {
		a.speaker.Kill()
	} else {
		a.speaker.Close(text)
	}
	a.done.Wait(a.cfg.Environment)
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
	// UpIn is the time until the level may rise, ms; absent where nothing now known
	// would let it.
	UpIn *float64 `json:"up_in_ms,omitempty"`
}

func (a *announcer) routes() Routes {
	a.mu.Lock()
	now := env.MS(a.cfg.Environment.Now())
	var out Routes
	for _, s := range a.core.States() {
		g := GroupRoutes{State: s, Level: s.Level.String(), Prefixes: a.groups[s.Group], ForMS: now - s.Since}
		if up := s.Up - now; up < 1e12 {
			g.UpIn = &up
		}
		out.Groups = append(out.Groups, g)
	}
	a.mu.Unlock()
	out.Peers = a.speaker.Status()
	return out
}
