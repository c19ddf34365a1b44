package lab

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"time"

	"go.uber.org/zap"

	"merlinhitch/internal/control/settings"
	"merlinhitch/internal/runtime/env"
	"merlinhitch/internal/simulation/faultinject"
	"merlinhitch/internal/simulation/world"
	"merlinhitch/internal/verify/rules"
	"merlinhitch/internal/verify/trail"
)

// Scene is a day in a virtual world, whole: the same scene is always the same run.
type Scene struct {
	Seed     uint64   `json:"seed"`
	Hosts    int      `json:"hosts"`
	Servers  int      `json:"servers"`
	Commands int      `json:"commands"`
	Rate     float64  `json:"rate"` // commands a second
	Script   []Strike `json:"script"`
	Planted  string   `json:"planted,omitempty"`
	// Figures are figures of the settings, by path, in place of the example's; Layout is
	// one of SceneLayouts.
	Figures map[string]float64 `json:"figures,omitempty"`
	Layout  string             `json:"layout,omitempty"`
	// Regions has the service run over two.
	Regions bool `json:"regions,omitempty"`

	change  func(*settings.Settings)          // what else is not the example's
	fixed   bool                              // parts of limits never move
	heard   func(*trail.Event)                // is told what passes
	ended   func(at, took int64, served bool) // see rules.Table
	Failure *Failure                          `json:"failure,omitempty"` // that it ends with
	Digest  uint64                            `json:"digest,omitempty"`
	Steps   uint64                            `json:"steps,omitempty"`
}

// Failure is what a scene came to. Kind is the same for equal failures.
type Failure struct {
	Kind string        `json:"kind"`
	Text string        `json:"text"`
	At   time.Duration `json:"at_ns"`
	// The command and request concerned, if any.
	Conn   uint32 `json:"conn,omitempty"`
	Tag    uint32 `json:"tag,omitempty"`
	HostID uint64 `json:"host_id,omitempty"`
	Seq    uint64 `json:"seq,omitempty"`
}

func (f *Failure) Error() string { return f.Kind + ": " + f.Text }

// Kinds of failure beside "rule N".
const (
	failBlocks   = "blocks"       // what was read could not be
	failLinear   = "linear"       // a block's history has no order
	failTwice    = "effect twice" // counted at the disk servers
	failUnread   = "not read back"
	failStuck    = "stuck"
	failCrash    = "crash"
	failRecovery = "recovery"
	failAnswers  = "unanswered"
)

// Outcome is what a scene showed.
type Outcome struct {
	Scene    Scene
	Failure  *Failure
	Check    *rules.Checker
	Took     time.Duration // virtual
	Steps    uint64
	Checks   int     // of the rules
	Blocks   int     // whose history was judged
	Unknown  int     // that could not be judged in time
	Reads    int     // blocks read and judged
	Recovery float64 // goodput after the last trouble
	// Of a service over two regions: the time for which each shard of a lost region that
	// was taken over was not served, and acknowledged writes lost that were not copied yet.
	Outages []time.Duration
	Lost    int
	Said    map[string]int
	Goodput float64
}

const (
	// sceneMost bounds a day's virtual time: what was taken is long over by then.
	sceneMost = 6 * time.Minute
	// settleIn is within which goodput comes back after the last trouble: a cold start
	// and what the inventory needs to tell of it.
	settleIn = 15 * time.Second
	// regionSettle is how much longer that takes after a region was lost: leases run out,
	// copies are made whole, and shards go home.
	regionSettle = 15 * time.Second
	// recovered is the least goodput after that. Calm days have 0.95 and more; a plan's
	// own limit takes the rest.
	recovered = 0.75
	// recoverySpan is the least time over which it is judged.
	recoverySpan = 5 * time.Second
	// standMost bounds how long anything stands still in a scene, so how late a lost
	// command may land.
	standMost = 20 * time.Second
)

// SmallBlocks gives settings with blocks of 512 bytes and every size an eighth: the
// same service with less to copy.
func SmallBlocks(s *settings.Settings) *settings.Settings {
	const by = 8
	s.UnitBytes /= by
	for i := range s.Volumes {
		s.Volumes[i].BlockSize /= by
	}
	for i := range s.Classes {
		s.Classes[i].Match.MaxBytes /= by
		s.Classes[i].Match.MinBytes /= by
	}
	return s
}

// beyond is what the service does not withstand in every case, so that it is no part of
// drawn scenes: deadlines at disk servers are told by the host's clock, and one that
// jumps takes them along (docs/world.md).
const beyond = "clock_jump"

// Draw makes a scene from a seed. With swarm only some kinds of trouble come up, others
// on other seeds, so that rare mixes do; without it, all of them.
func Draw(seed uint64, hosts, servers int, span time.Duration, rate float64, swarm bool) Scene {
	rng := rand.New(rand.NewPCG(seed, 17))
	all := slices.DeleteFunc(WorldKinds(), func(k string) bool { return k == beyond })
	var which []string
	part := 0.1 + 0.4*rng.Float64()
	for _, k := range all {
		if !swarm || rng.Float64() < part {
			which = append(which, k)
		}
	}
	if len(which) == 0 {
		which = []string{all[rng.IntN(len(all))]}
	}
	// Troubles end at two thirds of the day, so that it shows whether the rest is calm.
	return Scene{Seed: seed, Hosts: hosts, Servers: servers, Commands: int(span.Seconds() * rate), Rate: rate,
		Script: drawScript(which, rng, span*2/3)}
}

// shadows are the troubles that are drawn close to those of regions.
var shadows = []string{"disk_stall", "slow", "link_cut", "host_stall"}

// DrawRegions makes a scene of a service over two regions from a seed: one to three
// troubles of regions, and some of the others.
func DrawRegions(seed uint64, hosts, servers int, span time.Duration, rate float64) Scene {
	rng := rand.New(rand.NewPCG(seed, 19))
	kinds := RegionKinds()
	which := []string{"tenant_burst"} // a limit that nobody asks for can't be passed
	for _, i := range rng.Perm(len(kinds))[:1+rng.IntN(3)] {
		which = append(which, kinds[i])
	}
	for _, k := range WorldKinds() {
		if k != beyond && k != "tenant_burst" && rng.Float64() < 0.1 {
			which = append(which, k)
		}
	}
	script := drawScript(which, rng, span*2/3)
	for i := range script { // long enough for leases to run out
		if regionKinds[script[i].Kind] != nil {
			script[i].Len *= 2
		}
	}
	// What stands still as leases run out shows what relies on its being quick.
	for _, t := range script {
		if regionKinds[t.Kind] != nil && rng.IntN(2) == 0 {
			script = append(script, Strike{Kind: shadows[rng.IntN(len(shadows))], At: t.At + time.Duration(rng.Float64()*9*float64(time.Second)),
				Len: time.Duration((2 + 6*rng.Float64()) * float64(time.Second)), Seed: rng.Uint64()})
		}
	}
	return Scene{Seed: seed, Hosts: hosts, Servers: servers, Commands: int(span.Seconds() * rate), Rate: rate, Regions: true, Script: script}
}

// Play plays a scene to its end or to its first failure. keep, if any, is a file for
// its trail.
func (s Scene) Play(ctx context.Context, keep string) (*Outcome, error) {
	if s.Planted != "" && !faultinject.Enabled {
		return nil, errors.New("lab: the scene has a planted fault, and this build can have none")
	}
	for _, t := range s.Script {
		if kinds[t.Kind] == nil && worldKinds[t.Kind] == nil && (regionKinds[t.Kind] == nil || !s.Regions) {
			return nil, fmt.Errorf("lab: unknown trouble %q", t.Kind)
		}
	}
	if s.Hosts < 1 || s.Servers < 3 || s.Commands < 1 || !(s.Rate > 0) {
		return nil, errors.New("lab: a scene needs a host, three servers, a command and a rate above 0")
	}
	set, err := s.settings()
	if err != nil {
		return nil, err
	}
	w := world.New(s.Seed)
	out := &Outcome{Scene: s}
	var fleet *Fleet
	opt := Options{Seed: s.Seed, Commands: s.Commands, Rate: s.Rate, Hosts: s.Hosts, Servers: s.Servers, Script: s.Script, Log: zap.NewNop(),
		lateBy: standMost, fixedShares: s.fixed}
	if s.Regions {
		opt.lateBy = 2 * standMost
	}
	if opt.Script == nil {
		opt.Script = []Strike{} // none, where nil would have one drawn
	}
	opt.live = func(f *Fleet) *rules.Checker {
		fleet, out.Check = f, rules.New(f.Meta)
		out.Check.Stats.OnAnswer = s.ended
		f.Rec.SetObserver(func(e *trail.Event) {
			if s.heard != nil {
				s.heard(e)
			}
			out.hear(w, e)
		}, keep != "")
		return out.Check
	}
	var res *Result
	var failed error
	err = w.Run("lab", sceneMost, func(p *world.Process) {
		res, failed = playDay(ctx, p, virtual{w}, set, opt)
	})
	if err == nil {
		err = failed
	}
	if err = out.over(err, w.Now()); err != nil {
		return nil, err
	}
	if res != nil {
		out.judge(res, w.Now())
	}
	out.Took, out.Steps = w.Now(), w.Steps
	for _, n := range out.Check.Checks {
		out.Checks += n
	}
	out.Scene.Failure, out.Scene.Digest, out.Scene.Steps = out.Failure, w.Digest(), w.Steps
	if keep != "" {
		return out, trail.Write(keep, fleet.Meta, fleet.Rec.Stop())
	}
	return out, nil
}

// SceneLayouts are the ways in which a scene's volumes can lie on its servers.
var SceneLayouts = []string{"", "narrow", "wide"}

// settings are the scene's: the example's with small blocks, its figures and its layout.
func (s Scene) settings() (*settings.Settings, error) {
	if s.Regions {
		set := RegionSettings(s.Hosts, s.Servers)
		if s.change != nil {
			s.change(set)
		}
		return withFigures(set, s.Figures)
	}
	set := SmallBlocks(settings.Example(s.Hosts, s.Servers))
	for i := range set.Volumes {
		v := &set.Volumes[i]
		switch s.Layout {
		case "":
		case "narrow":
			v.Layout = v.Layout[:1]
		case "wide":
			v.Layout, v.MaxNodes = nil, s.Servers
			for k := range min(6, s.Servers) {
				v.Layout = append(v.Layout, (i+k)%s.Servers)
			}
		default:
			return nil, fmt.Errorf("lab: unknown layout %q", s.Layout)
		}
	}
	return withFigures(set, s.Figures)
}

// withFigures sets figures by their path in the settings' JSON, as limits.max_attempts.
func withFigures(set *settings.Settings, figures map[string]float64) (*settings.Settings, error) {
	if len(figures) == 0 {
		return set, nil
	}
	b, err := json.Marshal(set)
	if err != nil {
		return nil, err
	}
	var tree map[string]any
	if err := json.Unmarshal(b, &tree); err != nil {
		return nil, err
	}
	for _, path := range slices.Sorted(maps.Keys(figures)) {
		at, parts := tree, strings.Split(path, ".")
		for _, p := range parts[:len(parts)-1] {
			next, ok := at[p].(map[string]any)
			if !ok {
				return nil, fmt.Errorf("lab: the settings have no %s", path)
			}
			at = next
		}
		last := parts[len(parts)-1]
		if _, ok := at[last].(float64); !ok {
			return nil, fmt.Errorf("lab: the settings have no figure %s", path)
		}
		at[last] = figures[path]
	}
	if b, err = json.Marshal(tree); err != nil {
		return nil, err
	}
	out := &settings.Settings{}
	if err := json.Unmarshal(b, out); err != nil {
		return nil, err
	}
	return out, out.Check()
}

// hear checks the rules on one event, and ends the run at the first that is broken.
func (o *Outcome) hear(w *world.World, e *trail.Event) {
	o.Check.Feed(e)
	if o.Failure != nil || o.Check.OK() {
		return
	}
	b := o.Check.Violations[0]
	o.Failure = &Failure{Kind: fmt.Sprintf("rule %d", b.Rule), Text: b.String(), At: w.Now(), Conn: b.Conn, Tag: b.Tag, HostID: b.HostID, Seq: b.Seq}
	w.Halt(o.Failure)
}

// over takes how the run ended; what is no failure of the scene is an error.
func (o *Outcome) over(err error, now time.Duration) error {
	var stuck *world.StuckError
	var crash *world.CrashError
	switch {
	case err == nil || o.Failure != nil:
	case errors.As(err, &stuck):
		o.Failure = &Failure{Kind: failStuck, Text: err.Error(), At: now}
	case errors.As(err, &crash):
		o.Failure = &Failure{Kind: failCrash, Text: err.Error(), At: now}
	default:
		return err
	}
	return nil
}

// judge looks at a day that came to its end.
func (o *Outcome) judge(res *Result, now time.Duration) {
	fail := func(kind, format string, args ...any) {
		if o.Failure == nil {
			o.Failure = &Failure{Kind: kind, Text: fmt.Sprintf(format, args...), At: now}
		}
	}
	o.Goodput, o.Reads = res.Check.Stats.Goodput(), res.Blocks
	o.Lost, o.Said, o.Outages = res.Lost, res.Said, outages(res)
	var wrong []string
	if o.Blocks, o.Unknown, wrong = res.ledger.Linear(); len(res.Wrong) > 0 {
		fail(failBlocks, "%s", res.Wrong[0])
	} else if len(wrong) > 0 {
		fail(failLinear, "%s", wrong[0])
	}
	if !res.Check.OK() {
		b := res.Check.Violations[0]
		fail(fmt.Sprintf("rule %d", b.Rule), "%s", b)
	}
	if res.Repeats > 0 {
		fail(failTwice, "%d keyed effects took place once more", res.Repeats)
	}
	if t := res.Check.Stats; t.Commands != t.Finished {
		fail(failAnswers, "%d of %d commands have no end", t.Commands-t.Finished, t.Commands)
	}
	if res.Missed > 0 {
		fail(failUnread, "%d blocks could not be read back", res.Missed)
	}
	span := time.Duration(float64(o.Scene.Commands) / o.Scene.Rate * float64(time.Second))
	calm := settleIn
	if o.Scene.Regions {
		calm += regionSettle
	}
	for _, t := range o.Scene.Script {
		end := t.At + t.Len + settleIn
		if o.Scene.Regions {
			end += regionSettle
		}
		calm = max(calm, end)
	}
	if o.Recovery = 1; calm+recoverySpan <= span {
		if o.Recovery = res.Check.Stats.GoodputBetween(int64(calm/time.Second), int64(span/time.Second)); o.Recovery < recovered {
			fail(failRecovery, "goodput is %.3f of the worth asked for later than %v after the last trouble", o.Recovery, settleIn)
		}
	}
}

// Shrink looks for a smaller scene with the same kind of failure: fewer troubles, a
// shorter day, fewer hosts. It plays at most so many.
func (s Scene) Shrink(ctx context.Context, most int, progress io.Writer) (Scene, error) {
	if s.Failure == nil {
		return s, errors.New("lab: the scene has no failure to keep")
	}
	plays := 0
	try := func(t Scene) (ok bool, err error) {
		if plays >= most || ctx.Err() != nil {
			return false, ctx.Err()
		}
		plays++
		kind := s.Failure.Kind
		t.Failure = nil
		out, err := t.Play(ctx, "")
		if err != nil || out.Failure == nil || out.Failure.Kind != kind {
			return false, err
		}
		s = out.Scene
		fmt.Fprintf(progress, "%d troubles, %d commands, %d hosts: still %s\n", len(s.Script), s.Commands, s.Hosts, kind)
		return true, nil
	}
	smaller := func() (any bool, err error) {
		for n := max(len(s.Script)/2, 1); n >= 1; n /= 2 {
			for i := 0; i+n <= len(s.Script); {
				t := s
				t.Script = slices.Delete(slices.Clone(s.Script), i, i+n)
				ok, err := try(t)
				if err != nil {
					return any, err
				}
				if any = any || ok; !ok {
					i += n
				}
			}
		}
		if until := int((s.Failure.At + time.Second).Seconds() * s.Rate); until < s.Commands {
			t := s
			t.Commands = until
			ok, err := try(t)
			if any = any || ok; err != nil {
				return any, err
			}
		}
		if s.Hosts > 1 {
			t := s
			t.Hosts--
			ok, err := try(t)
			if any = any || ok; err != nil {
				return any, err
			}
		}
		return any, nil
	}
	for any := true; any; {
		var err error
		if any, err = smaller(); err != nil {
			return s, err
		}
	}
	return s, nil
}

// Save writes the scene to a file.
func (s Scene) Save(file string) error {
	b, err := json.MarshalIndent(s, "", "\t")
	if err != nil {
		return err
	}
	return os.WriteFile(file, append(b, '\n'), 0o666)
}

// LoadScene reads a scene's file.
func LoadScene(file string) (s Scene, err error) {
	b, err := os.ReadFile(file)
	if err != nil {
		return s, err
	}
	if err := json.Unmarshal(b, &s); err != nil {
		return s, fmt.Errorf("%s: no scene: %w", file, err)
	}
	return s, nil
}

// Exploration says which scenes to play.
type Exploration struct {
	First, Seeds   uint64
	Hosts, Servers int
	Span           time.Duration
	Rate           float64
	Swarm          bool
	Planted        string
	Regions        bool                    // scenes of a service over two
	Draw           func(seed uint64) Scene // in place of those that are drawn
	Parallel       int
	StopAtFirst    bool
	Out            string // folder for the scenes that fail, or none
}

// Explored is what an exploration came to.
type Explored struct {
	Played, Checks, Blocks, Unknown, Reads int
	Steps                                  uint64
	Virtual                                time.Duration
	Goodput                                float64 // mean
	Kinds                                  map[string]int
	Outages                                []time.Duration
	Lost                                   int
	Said                                   map[string]int
	Failures                               []Scene // by seed
}

// Explore plays scene after scene, some at once.
func Explore(ctx context.Context, x Exploration, progress io.Writer) (*Explored, error) {
	sum := &Explored{Kinds: map[string]int{}, Said: map[string]int{}}
	var mu sync.Mutex
	var failed error
	next := uint64(0)
	w := env.NewReal()
	var all env.WaitGroup
	for range max(x.Parallel, 1) {
		all.Go(w, func() {
			for {
				mu.Lock()
				seed := x.First + next
				next++
				over := seed >= x.First+x.Seeds || failed != nil || ctx.Err() != nil || x.StopAtFirst && len(sum.Failures) > 0
				mu.Unlock()
				if over {
					return
				}
				s := Draw(seed, x.Hosts, x.Servers, x.Span, x.Rate, x.Swarm)
				switch {
				case x.Draw != nil:
					s = x.Draw(seed)
				case x.Regions:
					s = DrawRegions(seed, x.Hosts, x.Servers, x.Span, x.Rate)
				}
				s.Planted = x.Planted
				out, err := s.Play(ctx, "")
				if ctx.Err() != nil {
					return // what was played is cut short
				}
				mu.Lock()
				if err == nil {
					err = sum.enter(out, x)
				}
				if err != nil {
					failed = fmt.Errorf("seed %d: %w", seed, err)
				}
				if sum.Played%25 == 0 && err == nil {
					fmt.Fprintf(progress, "%d of %d played, %d failed, %d million steps, %.0f s virtual\n", sum.Played, x.Seeds, len(sum.Failures), sum.Steps/1e6, sum.Virtual.Seconds())
				}
				mu.Unlock()
			}
		})
	}
	all.Wait(w)
	if failed == nil {
		failed = ctx.Err()
	}
	slices.SortFunc(sum.Failures, func(a, b Scene) int { return int(int64(a.Seed) - int64(b.Seed)) })
	return sum, failed
}

func (e *Explored) enter(o *Outcome, x Exploration) error {
	e.Played++
	e.Steps += o.Steps
	e.Checks += o.Checks
	e.Blocks, e.Unknown, e.Reads = e.Blocks+o.Blocks, e.Unknown+o.Unknown, e.Reads+o.Reads
	e.Virtual += o.Took
	e.Goodput += (o.Check.Stats.Goodput() - e.Goodput) / float64(e.Played)
	for _, t := range o.Scene.Script {
		e.Kinds[t.Kind]++
	}
	e.Outages, e.Lost = append(e.Outages, o.Outages...), e.Lost+o.Lost
	for op, n := range o.Said {
		e.Said[op] += n
	}
	if o.Failure == nil {
		return nil
	}
	e.Failures = append(e.Failures, o.Scene)
	if x.Out == "" {
		return nil
	}
	if err := os.MkdirAll(x.Out, 0o777); err != nil {
		return err
	}
	return o.Scene.Save(filepath.Join(x.Out, fmt.Sprintf("scene-%d.json", o.Scene.Seed)))
}
