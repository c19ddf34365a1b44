// Package announce decides which service addresses a gateway announces: fully, as a
// last resort, or not at all, from what it knows of its own ability to serve. It is a
// core: told events with their times, it returns states; it holds no socket, speaks to
// no peer and no other host.
//
// Three thoughts stand behind it. What was lost is said at once; what came back is
// believed only after a steady time that grows with each loss and fades (the idea of
// RFC 2439, with bounds). Hosts see the same disk servers, so a host that can still
// serve a part of a group never withdraws it: it only makes itself the last choice, and
// a host that can do more is preferred without any talk between them. And nothing is
// announced on the strength of not having heard anything yet.
package announce

import (
	"cmp"
	"math"
	"slices"
)

// Level is how a group is announced.
type Level int

// The levels, each above the one before.
const (
	Withdrawn Level = iota
	LastResort
	Announced
)

var levelNames = [...]string{"withdrawn", "last resort", "announced"}

func (l Level) String() string { return levelNames[l] }

// Config holds the times, ms.
type Config struct {
	Steady     float64 // able for so long before a first return
	SteadyMost float64 // bound of its growth, for a full announcement
	ResortMost float64 // the same for a last resort: sooner, for there may be nobody else
	HalfLife   float64 // in which a loss weighs half
	ListBound  float64 // without a list, after which what is known may be wrong
	BeatBound  float64 // without a sign of the host core, after which it counts as hung
}

// DefaultConfig is what settings that say nothing mean. The beat's bound leaves half of
// a second for the rest of the way to the peer.
var DefaultConfig = Config{Steady: 2000, SteadyMost: 60000, ResortMost: 10000, HalfLife: 60000, ListBound: 30000, BeatBound: 400}

// Group is volumes that share service addresses, by the shards that they need here.
type Group struct {
	Name   string
	Shards []int
}

// Reason is why a group is at its level.
type Reason string

// The reasons.
const (
	Able       Reason = "every shard answers"
	NoSettings Reason = "no settings yet"
	NoList     Reason = "no node list yet"
	NoAnswer   Reason = "not every shard has answered yet"
	Hung       Reason = "the host core gives no sign"
	Stopping   Reason = "the gateway stops"
	Partly     Reason = "some shards do not answer"
	Nothing    Reason = "no shard answers"
	OldList    Reason = "the node list is lost"
	NotSteady  Reason = "able again, not yet for long enough"
	Empty      Reason = "the group has no volume here"
)

// State is what is decided of a group.
type State struct {
	Group  string  `json:"group"`
	Level  Level   `json:"-"`
	Reason Reason  `json:"reason"`
	Since  float64 `json:"since_ms"` // when the level began
	// Up is when it may rise, if nothing else happens; +Inf if nothing would let it.
	Up float64 `json:"-"`
	// Losses is what past losses still weigh.
	Losses float64 `json:"losses"`
}

// Core is the decision of one gateway.
type Core struct {
	cfg      Config
	now      float64
	groups   []*group
	known    bool // settings
	listed   bool
	lostAt   float64      // when the list was lost; +Inf while it is there
	ready    map[int]bool // shards that the list gives a ready node
	answers  map[int]bool // shards of which a node answers
	ever     map[int]bool // shards that have answered once since they were needed
	beatAt   float64      // -Inf: never
	stopping StopPhase
}

// StopPhase is how far a graceful stop has come.
type StopPhase int

// The phases.
const (
	Running StopPhase = iota
	Leaving           // clients are asked to go elsewhere
	Left              // nothing is announced any more
)

var stopPhaseNames = [...]string{"running", "leaving", "left"}

func (p StopPhase) String() string { return stopPhaseNames[p] }

type group struct {
	Group
	level  Level
	reason Reason
	since  float64
	// ableSince is since when the group could be at a level or above; +Inf: it can't.
	ableSince [Announced + 1]float64
	losses    float64 // as of lossAt
	lossAt    float64
	was       bool // has been announced in any way
}

// New returns a core that announces nothing.
func New(cfg Config) *Core {
	return &Core{cfg: cfg, lostAt: math.Inf(1), beatAt: math.Inf(-1), ready: map[int]bool{}, answers: map[int]bool{}, ever: map[int]bool{}}
}

// Groups brings the settings' groups. Those that stay keep their history.
func (c *Core) Groups(now float64, list []Group) {
	old := map[string]*group{}
	for _, g := range c.groups {
		old[g.Name] = g
	}
	c.known, c.groups = true, nil
	for _, g := range list {
		k := old[g.Name]
		if k == nil {
			k = &group{since: now, lossAt: now, reason: NoAnswer}
			for l := range k.ableSince {
				k.ableSince[l] = math.Inf(1)
			}
		}
		k.Group = g
		c.groups = append(c.groups, k)
	}
	c.Tick(now)
}

// Configure changes the times.
func (c *Core) Configure(now float64, cfg Config) {
	c.cfg = cfg
	c.Tick(now)
}

// List brings the shards for which the list has a ready node.
func (c *Core) List(now float64, ready map[int]bool) {
	c.listed, c.lostAt, c.ready = true, math.Inf(1), ready
	c.Tick(now)
}

// ListLost says that the list can't be followed, since now.
func (c *Core) ListLost(now float64) {
	c.lostAt = min(c.lostAt, now)
	c.Tick(now)
}

// Answers brings the shards of which a node answers.
func (c *Core) Answers(now float64, shards map[int]bool) {
	c.answers = shards
	for s := range shards {
		c.ever[s] = true
	}
	c.Tick(now)
}

// Beat says that the host core did something at that time.
func (c *Core) Beat(now, at float64) {
	c.beatAt = max(c.beatAt, at)
	c.Tick(now)
}

// Stop brings the phases of a graceful stop. There is no way back.
func (c *Core) Stop(now float64, p StopPhase) {
	c.stopping = max(c.stopping, p)
	c.Tick(now)
}

// Tick decides anew at a time.
func (c *Core) Tick(now float64) {
	c.now = max(c.now, now)
	for _, g := range c.groups {
		c.decide(g)
	}
}

// can is the highest level that the group can have now, and why no higher.
func (c *Core) can(g *group) (Level, Reason) {
	switch {
	case !c.known:
		return Withdrawn, NoSettings
	case !c.listed:
		return Withdrawn, NoList
	case c.now-c.beatAt > c.cfg.BeatBound:
		return Withdrawn, Hung
	case c.stopping == Left:
		return Withdrawn, Stopping
	case len(g.Shards) == 0:
		return Withdrawn, Empty
	}
	serving, heard := 0, 0
	for _, s := range g.Shards {
		if c.ready[s] && c.answers[s] {
			serving++
		}
		if c.ever[s] {
			heard++
		}
	}
	switch {
	case !g.was && heard < len(g.Shards):
		return Withdrawn, NoAnswer
	case serving == 0:
		return Withdrawn, Nothing
	case c.stopping == Leaving:
		return LastResort, Stopping
	case serving < len(g.Shards):
		return LastResort, Partly
	case c.now-c.lostAt > c.cfg.ListBound:
		// Not a withdrawal: the nodes answer, and where the inventory is lost it is
		// lost for every host.
		return LastResort, OldList
	}
	return Announced, Able
}

// decide lowers a group at once, and raises it after its steady time.
func (c *Core) decide(g *group) {
	able, why := c.can(g)
	for l := LastResort; l <= Announced; l++ {
		switch {
		case able < l:
			g.ableSince[l] = math.Inf(1)
		case math.IsInf(g.ableSince[l], 1):
			g.ableSince[l] = c.now
		}
	}
	to := Withdrawn
	for l := LastResort; l <= able; l++ {
		if l <= g.level || c.now >= g.ableSince[l]+c.steady(g, l) {
			to = l
		}
	}
	g.reason = why
	if to < able {
		g.reason = NotSteady
	}
	if to == g.level {
		return
	}
	if to < g.level && c.stopping == Running {
		g.losses, g.lossAt = c.losses(g)+1, c.now
	}
	g.was = g.was || to > Withdrawn
	g.level, g.since = to, c.now
}

// losses is what the past ones weigh now.
func (c *Core) losses(g *group) float64 {
	return g.losses * math.Exp2(-(c.now-g.lossAt)/c.cfg.HalfLife)
}

// steady is how long the group must have been able to be at a level. It was never
// lost: at once. The weight is taken as of the last loss, so that the wait neither
// shrinks while it runs nor is ended by a rounding.
func (c *Core) steady(g *group, l Level) float64 {
	if g.losses == 0 {
		return 0
	}
	most := c.cfg.SteadyMost
	if l == LastResort {
		most = c.cfg.ResortMost
	}
	return min(c.cfg.Steady*math.Exp2(max(g.losses-1, 0)), most)
}

// Next is when Tick may change something, +Inf if never.
func (c *Core) Next() float64 {
	at := math.Inf(1)
	later := func(t float64) {
		if t > c.now {
			at = min(at, t)
		}
	}
	later(c.beatAt + c.cfg.BeatBound + 1)
	later(c.lostAt + c.cfg.ListBound + 1)
	for _, g := range c.groups {
		for l := g.level + 1; l <= Announced; l++ {
			later(g.ableSince[l] + c.steady(g, l))
		}
	}
	return at
}

// States lists the groups by name.
func (c *Core) States() []State {
	var out []State
	for _, g := range c.groups {
		s := State{Group: g.Name, Level: g.level, Reason: g.reason, Since: g.since, Up: math.Inf(1), Losses: c.losses(g)}
		for l := g.level + 1; l <= Announced; l++ {
			s.Up = min(s.Up, g.ableSince[l]+c.steady(g, l))
		}
		out = append(out, s)
	}
	slices.SortFunc(out, func(a, b State) int { return cmp.Compare(a.Group, b.Group) })
	return out
}

// MostUpdates bounds the changes of one group's level in so many ms, reckoned for an
// ability that is lost again at each rise: between two rises lies the steady time of
// the last resort, which is the shorter, and with each rise there come at most the
// step to the full announcement and two falls.
func (cfg Config) MostUpdates(span float64) int {
	rises, losses := 1, 1.0
	for t := 0.0; ; rises++ {
		wait := min(cfg.Steady*math.Exp2(losses-1), cfg.ResortMost)
		if t += wait; t > span {
			return 4 * rises
		}
		losses = losses*math.Exp2(-wait/cfg.HalfLife) + 1
	}
}
