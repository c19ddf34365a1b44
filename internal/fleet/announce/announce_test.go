package announce

import (
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"testing"
)

func shards(list ...int) map[int]bool {
	m := map[int]bool{}
	for _, s := range list {
		m[s] = true
	}
	return m
}

// able returns a core whose one group is announced.
func able(t *testing.T, cfg Config) *Core {
	t.Helper()
	c := New(cfg)
	c.Groups(0, []Group{{"g", []int{1, 2}}})
	c.Beat(0, 0)
	c.List(0, shards(1, 2))
	if s := c.States()[0]; s.Level != Withdrawn || s.Reason != NoAnswer {
		t.Fatalf("before any answer: %+v", s)
	}
	c.Answers(0, shards(1))
	if s := c.States()[0]; s.Level != Withdrawn {
		t.Fatalf("before each shard has answered: %+v", s)
	}
	c.Answers(0, shards(1, 2))
	if s := c.States()[0]; s.Level != Announced {
		t.Fatalf("%+v", s)
	}
	return c
}

// beat lets time pass with the core alive.
func beat(c *Core, from, to float64) {
	for t := from; t < to; t += 100 {
		c.Beat(t, t)
	}
	c.Beat(to, to)
}

func TestLossAtOnceReturnAfterSteadyTime(t *testing.T) {
	c := able(t, DefaultConfig)
	at := 0.0
	for _, wait := range []float64{2000, 4000, 8000} {
		c.Answers(at, nil)
		if s := c.States()[0]; s.Level != Withdrawn || s.Reason != Nothing {
			t.Fatalf("%+v", s)
		}
		c.Answers(at, shards(1, 2))
		s := c.States()[0]
		if s.Level != Withdrawn || s.Reason != NotSteady || s.Up-at > wait || s.Up-at < wait*0.85 {
			t.Fatalf("after a wait that should be some %g: %+v", wait, s)
		}
		beat(c, at, s.Up-1)
		if s := c.States()[0]; s.Level != Withdrawn {
			t.Fatalf("too soon: %+v", s)
		}
		at = s.Up
		if beat(c, at, at); c.States()[0].Level != Announced {
			t.Fatalf("%+v", c.States()[0])
		}
	}
}

func TestPartIsALastResort(t *testing.T) {
	c := able(t, DefaultConfig)
	c.Answers(0, shards(1))
	if s := c.States()[0]; s.Level != LastResort || s.Reason != Partly {
		t.Fatalf("%+v", s)
	}
	c.List(0, shards(2)) // the one that answers is not in the list, the other does not answer
	if s := c.States()[0]; s.Level != Withdrawn {
		t.Fatalf("%+v", s)
	}
}

func TestAHungCoreAndALostList(t *testing.T) {
	c := able(t, DefaultConfig)
	c.ListLost(0)
	beat(c, 0, 30000)
	if s := c.States()[0]; s.Level != Announced {
		t.Fatalf("within the bound: %+v", s)
	}
	if at := c.Next(); at != 30001 {
		t.Errorf("next at %g", at)
	}
	if c.Tick(30001); c.States()[0].Level != LastResort || c.States()[0].Reason != OldList {
		t.Fatalf("%+v", c.States()[0])
	}
	c.Tick(30000 + 401)
	if s := c.States()[0]; s.Level != Withdrawn || s.Reason != Hung {
		t.Fatalf("%+v", s)
	}
}

func TestStopGoesThroughTheLastResort(t *testing.T) {
	c := able(t, DefaultConfig)
	c.Stop(0, Leaving)
	if s := c.States()[0]; s.Level != LastResort || s.Reason != Stopping {
		t.Fatalf("%+v", s)
	}
	c.Stop(0, Left)
	c.Stop(0, Running)
	if s := c.States()[0]; s.Level != Withdrawn {
		t.Fatalf("%+v", s)
	}
}

// Ten minutes of flapping, of any rhythm, stay within the stated number of changes.
func TestFlappingIsBounded(t *testing.T) {
	const span = 600_000
	most := DefaultConfig.MostUpdates(span)
	worst := 0
	for seed := range uint64(60) {
		rng := rand.New(rand.NewPCG(seed, 1))
		c := able(t, DefaultConfig)
		mean := math.Exp2(float64(seed%12)) * 10
		changes, level := 0, Announced
		next, up := 0.0, false
		for now := 0.0; now < span; now += 50 {
			if now >= next {
				next, up = now+mean*rng.ExpFloat64(), !up
				list := []map[int]bool{nil, shards(1), shards(1, 2)}[rng.IntN(2)]
				if up {
					list = shards(1, 2)
				}
				c.Answers(now, list)
			}
			c.Beat(now, now)
			if l := c.States()[0].Level; l != level {
				changes, level = changes+1, l
			}
		}
		worst = max(worst, changes)
	}
	// And the worst rhythm: able until it is announced, then lost.
	c := able(t, DefaultConfig)
	changes, level := 0, Announced
	for now := 0.0; now < span; now += 50 {
		c.Beat(now, now)
		l := c.States()[0].Level
		if l != level {
			changes, level = changes+1, l
		}
		if l > Withdrawn {
			c.Answers(now, nil)
		} else {
			c.Answers(now, shards(1, 2))
		}
		if l := c.States()[0].Level; l != level {
			changes, level = changes+1, l
		}
	}
	t.Logf("at most %d changes at random, %d by the worst rhythm, bound %d", worst, changes, most)
	if max(worst, changes) > most || changes < 20 {
		t.Errorf("%d and %d changes, bound %d", worst, changes, most)
	}
}

// The model: every order of events up to a depth, from a core that knows nothing.

// tiny has times of a few units, so that all of them pass within the depth.
var tiny = Config{Steady: 2, SteadyMost: 4, ResortMost: 3, HalfLife: 4, ListBound: 2, BeatBound: 1}

// world is a core with what a bystander knows of it.
type world struct {
	c        *Core
	now      float64
	ready    map[int]bool
	answers  map[int]bool
	listed   bool
	lostAt   float64
	beatAt   float64
	ever     map[int]bool
	stop     StopPhase
	was      Level
	lostOnce bool
	ableAt   float64      // since when it could be announced in some way without a break
	spoil    func(*group) // a broken variant's: what it does to each decision
}

func newWorld(cfg Config) *world {
	w := &world{c: New(cfg), lostAt: math.Inf(1), beatAt: math.Inf(-1), ever: map[int]bool{}, ableAt: math.Inf(1)}
	w.c.Groups(0, []Group{{"g", []int{1, 2}}})
	return w
}

func (w *world) clone() *world {
	x, c := *w, *w.c
	c.ever, x.ever = maps.Clone(c.ever), maps.Clone(x.ever)
	g := *c.groups[0]
	c.groups = []*group{&g}
	x.c = &c
	return &x
}

var answerSets = []map[int]bool{nil, shards(1), shards(1, 2)}

// actions are what can happen next.
var actions = []struct {
	name string
	do   func(w *world)
}{
	{"list of both", func(w *world) { w.list(shards(1, 2)) }},
	{"list of one", func(w *world) { w.list(shards(2)) }},
	{"list lost", func(w *world) { w.lostAt = min(w.lostAt, w.now); w.c.ListLost(w.now) }},
	{"none answers", func(w *world) { w.answer(nil) }},
	{"one answers", func(w *world) { w.answer(answerSets[1]) }},
	{"both answer", func(w *world) { w.answer(answerSets[2]) }},
	{"time and beat", func(w *world) { w.now++; w.beatAt = w.now; w.c.Beat(w.now, w.now) }},
	{"time without beat", func(w *world) { w.now++; w.c.Tick(w.now) }},
	{"stop begins", func(w *world) { w.stop = max(w.stop, Leaving); w.c.Stop(w.now, Leaving) }},
	{"stop ends", func(w *world) { w.stop = Left; w.c.Stop(w.now, Left) }},
}

func (w *world) list(ready map[int]bool) {
	w.ready, w.listed, w.lostAt = ready, true, math.Inf(1)
	w.c.List(w.now, ready)
}

func (w *world) answer(s map[int]bool) {
	w.answers = s
	for k := range s {
		w.ever[k] = true
	}
	w.c.Answers(w.now, s)
}

func (w *world) serving() (n int) {
	for s := range w.answers {
		if w.ready[s] {
			n++
		}
	}
	return n
}

// may tells whether anything may be announced, by what the bystander knows.
func (w *world) may() bool {
	return w.listed && w.now-w.beatAt <= tiny.BeatBound && w.stop < Left && w.serving() > 0
}

// check holds the decision to its invariants.
func (w *world) check() string {
	l := w.c.States()[0].Level
	before := w.was
	w.was = l
	if w.may() && math.IsInf(w.ableAt, 1) {
		w.ableAt = w.now
	} else if !w.may() {
		w.ableAt = math.Inf(1)
	}
	switch {
	case l > Withdrawn && !w.may():
		return "announced while unable to serve"
	case l == Announced && (w.serving() < 2 || w.stop > Running || w.now-w.lostAt > tiny.ListBound):
		return "announced in full while something is missing"
	case before == Withdrawn && l > Withdrawn && len(w.ever) < 2:
		return "announced before every shard has answered"
	case before > Withdrawn && l == Withdrawn && w.may():
		return "withdrawn while able to serve a part"
	case before == Withdrawn && l > Withdrawn && w.lostOnce && w.now-w.ableAt < tiny.Steady:
		return "back before the steady time"
	}
	if before > l && w.stop == Running {
		w.lostOnce = true
	}
	return ""
}

// settles lets time pass with nothing else happening: the level must reach what it can.
func (w *world) settles() string {
	x := w.clone()
	for range int(tiny.SteadyMost) + 2 {
		x.now++
		x.beatAt = x.now
		x.c.Beat(x.now, x.now)
		if bad := x.check(); bad != "" {
			return bad
		}
	}
	all := len(x.ever) == 2 || x.c.groups[0].was
	if x.may() && all && x.c.States()[0].Level == Withdrawn {
		return "never announced again"
	}
	return ""
}

func (w *world) key() string {
	g := *w.c.groups[0]
	rel := func(t float64) float64 { return w.now - t }
	return fmt.Sprint(w.ready, w.answers, w.listed, rel(w.lostAt), min(rel(w.beatAt), 9), w.ever, w.stop, w.was, w.lostOnce, min(rel(w.ableAt), 9),
		g.level, min(rel(g.ableSince[1]), 9), min(rel(g.ableSince[2]), 9), g.losses, min(rel(g.lossAt), 60), g.was, w.c.stopping)
}

// explore looks at every order of events up to a depth; it returns how many states it
// met and the first that breaks an invariant, with the way to it.
func explore(start *world, depth int) (states int, bad string) {
	type node struct {
		w   *world
		way string
	}
	seen := map[string]bool{start.key(): true}
	layer := []node{{start, ""}}
	for range depth {
		var next []node
		for _, n := range layer {
			for _, a := range actions {
				x := n.w.clone()
				a.do(x)
				if x.spoil != nil {
					x.spoil(x.c.groups[0])
				}
				bad := x.check()
				k := x.key()
				if bad == "" && seen[k] {
					continue
				}
				if bad == "" {
					bad = x.settles()
				}
				way := n.way + "; " + a.name
				if bad != "" {
					return len(seen), bad + way
				}
				seen[k] = true
				next = append(next, node{x, way})
			}
		}
		layer = next
	}
	return len(seen), ""
}

func TestEveryOrderOfEvents(t *testing.T) {
	depth := 13
	if testing.Short() {
		depth = 8
	}
	n, bad := explore(newWorld(tiny), depth)
	if bad != "" {
		t.Error(bad)
	}
	t.Logf("%d states within %d events", n, depth)
	if n < 1000 {
		t.Error("hardly anything was explored")
	}
}

// Broken variants of the decision are found, each for what is wrong with it.
func TestBrokenVariantsAreFound(t *testing.T) {
	for name, broken := range map[string]func() *world{
		"never looks at the beat":       func() *world { c := tiny; c.BeatBound = 1e9; return newWorld(c) },
		"never minds a lost list":       func() *world { c := tiny; c.ListBound = 1e9; return newWorld(c) },
		"comes back at once":            func() *world { c := tiny; c.Steady = 0; return newWorld(c) },
		"never comes back":              func() *world { c := tiny; c.Steady, c.SteadyMost, c.ResortMost = 1e9, 1e9, 1e9; return newWorld(c) },
		"believes what it has not seen": func() *world { w := newWorld(tiny); w.c.ever = shards(1, 2); return w },
		"waits for a shard that it does not need": func() *world {
			w := newWorld(tiny)
			w.c.groups[0].Shards = []int{1, 2, 3}
			return w
		},
		"withdraws where a part is left": func() *world {
			w := newWorld(tiny)
			w.spoil = func(g *group) {
				if g.reason == Partly {
					g.level = Withdrawn
				}
			}
			return w
		},
	} {
		if _, bad := explore(broken(), 9); bad == "" {
			t.Errorf("%s: not found", name)
		} else {
			t.Logf("%s: %s", name, bad)
		}
	}
}
