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

// Scenario is a day in a virtual world, whole: the same scene is always the same run.
type Scenario struct {
	Seed     uint64           `json:"seed"`
	Hosts    int              `json:"hosts"`
	Servers  int              `json:"servers"`
	Commands int              `json:"commands"`
	Rate     float64          `json:"rate"` // commands a second
	Faults   []ScheduledFault `json:"script"`
	Planted  string           `json:"planted,omitempty"`
	// Figures are figures of the settings, by path, in place of the example's; Layout is
	// one of SceneLayouts.
	Figures map[string]float64 `json:"figures,omitempty"`
	Layout  string             `json:"layout,omitempty"`
	// Regions has the service run over two.
	Regions bool `json:"regions,omitempty"`

	changeSettings func(*settings.Settings)          // what else is not the example's
	fixedShares    bool                              // parts of limits never move
	onEvent        func(*trail.Event)                // is told what passes
	onAnswer       func(at, took int64, served bool) // see rules.Table
	Failure        *Failure                          `json:"failure,omitempty"` // that it ends with
	Digest         uint64                            `json:"digest,omitempty"`
	Steps          uint64                            `json:"steps,omitempty"`
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
	failureInvalidRead     = "blocks"       // what was read could not be
	failureNotLinearizable = "linear"       // a block's history has no order
	failureRepeatedEffect  = "effect twice" // counted at the disk servers
	failureUnreadBlocks    = "not read back"
	failureStuck           = "stuck"
	failureCrash           = "crash"
	failureRecovery        = "recovery"
	failureUnanswered      = "unanswered"
)

// Outcome is what a scene showed.
type Outcome struct {
	Scenario        Scenario
	Failure         *Failure
	Checker         *rules.Checker
	VirtualTime     time.Duration // virtual
	Steps           uint64
	RuleChecks      int     // of the rules
	CheckedBlocks   int     // whose history was judged
	UndecidedBlocks int     // that could not be judged in time
	CheckedReads    int     // blocks read and judged
	RecoveryGoodput float64 // goodput after the last trouble
	// Of a service over two regions: the time for which each shard of a lost region that
	// was taken over was not served, and acknowledged writes lost that were not copied yet.
	Outages          []time.Duration
	LostWrites       int
	OperatorCommands map[string]int
	Goodput          float64
}

const (
	// maxScenarioTime bounds a day's virtual time: what was taken is long over by then.
	maxScenarioTime = 6 * time.Minute
	// recoveryTime is within which goodput comes back after the last trouble: a cold start
	// and what the inventory needs to tell of it.
	recoveryTime = 15 * time.Second
	// regionRecoveryTime is how much longer that takes after a region was lost: leases run out,
	// copies are made whole, and shards go home.
	regionRecoveryTime = 15 * time.Second
	// minRecoveryGoodput is the least goodput after that. Calm days have 0.95 and more; a plan's
	// own limit takes the rest.
	minRecoveryGoodput = 0.75
	// minRecoverySpan is the least time over which it is judged.
	minRecoverySpan = 5 * time.Second
	// maxStall bounds how long anything stands still in a scene, so how late a lost
	// command may land.
	maxStall = 20 * time.Second
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

// excludedFault is what the service does not withstand in every case, so that it is no part of
// drawn scenes: deadlines at disk servers are told by the host's clock, and one that
// jumps takes them along (docs/world.md).
const excludedFault = "clock_jump"

// DrawScenario makes a scene from a seed. With swarm only some kinds of trouble come up, others
// on other seeds, so that rare mixes do; without it, all of them.
func DrawScenario(seed uint64, hosts, servers int, span time.Duration, rate float64, swarm bool) Scenario {
	rng := rand.New(rand.NewPCG(seed, 17))
	all := slices.DeleteFunc(WorldFaultKinds(), func(k string) bool { return k == excludedFault })
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
	return Scenario{Seed: seed, Hosts: hosts, Servers: servers, Commands: int(span.Seconds() * rate), Rate: rate,
		Faults: drawFaults(which, rng, span*2/3)}
}

// companionFaults are the troubles that are drawn close to those of regions.
var companionFaults = []string{"disk_stall", "slow", "link_cut", "host_stall"}

// DrawRegionScenario makes a scene of a service over two regions from a seed: one to three
// troubles of regions, and some of the others.
func DrawRegionScenario(seed uint64, hosts, servers int, span time.Duration, rate float64) Scenario {
	rng := rand.New(rand.NewPCG(seed, 19))
	kinds := RegionKinds()
	which := []string{"tenant_burst"} // a limit that nobody asks for can't be passed
	for _, i := range rng.Perm(len(kinds))[:1+rng.IntN(3)] {
		which = append(which, kinds[i])
	}
	for _, k := range WorldFaultKinds() {
		if k != excludedFault && k != "tenant_burst" && rng.Float64() < 0.1 {
			which = append(which, k)
		}
	}
	script := drawFaults(which, rng, span*2/3)
	for i := range script { // long enough for leases to run out
		if regionKinds[script[i].Kind] != nil {
			script[i].Duration *= 2
		}
	}
	// What stands still as leases run out shows what relies on its being quick.
	for _, t := range script {
		if regionKinds[t.Kind] != nil && rng.IntN(2) == 0 {
			script = append(script, ScheduledFault{Kind: companionFaults[rng.IntN(len(companionFaults))], At: t.At + time.Duration(rng.Float64()*9*float64(time.Second)),
				Duration: time.Duration((2 + 6*rng.Float64()) * float64(time.Second)), Seed: rng.Uint64()})
		}
	}
	return Scenario{Seed: seed, Hosts: hosts, Servers: servers, Commands: int(span.Seconds() * rate), Rate: rate, Regions: true, Faults: script}
}

// Run plays a scene to its end or to its first failure. keep, if any, is a file for
// its trail.
func (s Scenario) Run(ctx context.Context, keep string) (*Outcome, error) {
	if s.Planted != "" && !faultinject.Enabled {
		return nil, errors.New("lab: the scene has a planted fault, and this build can have none")
	}
	for _, t := range s.Faults {
		if faultFuncs[t.Kind] == nil && worldFaultFuncs[t.Kind] == nil && (regionKinds[t.Kind] == nil || !s.Regions) {
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
	out := &Outcome{Scenario: s}
	var fleet *Fleet
	opt := Options{Seed: s.Seed, Commands: s.Commands, Rate: s.Rate, Hosts: s.Hosts, Servers: s.Servers, Faults: s.Faults, Log: zap.NewNop(),
		maxEffectDelay: maxStall, fixedShares: s.fixedShares}
	if s.Regions {
		opt.maxEffectDelay = 2 * maxStall
	}
	if opt.Faults == nil {
		opt.Faults = []ScheduledFault{} // none, where nil would have one drawn
	}
	opt.newChecker = func(f *Fleet) *rules.Checker {
		fleet, out.Checker = f, rules.New(f.Meta)
		out.Checker.Stats.OnAnswer = s.onAnswer
		f.Recorder.SetObserver(func(e *trail.Event) {
			if s.onEvent != nil {
				s.onEvent(e)
			}
			out.feed(w, e)
		}, keep != "")
		return out.Checker
	}
	var res *Result
	var failed error
	err = w.Run("lab", maxScenarioTime, func(p *world.Process) {
		res, failed = runDay(ctx, p, virtualTestbed{w}, set, opt)
	})
	if err == nil {
		err = failed
	}
	if err = out.setRunFailure(err, w.Now()); err != nil {
		return nil, err
	}
	if res != nil {
		out.evaluate(res, w.Now())
	}
	out.VirtualTime, out.Steps = w.Now(), w.Steps
	for _, n := range out.Checker.Checks {
		out.RuleChecks += n
	}
	out.Scenario.Failure, out.Scenario.Digest, out.Scenario.Steps = out.Failure, w.Digest(), w.Steps
	if keep != "" {
		return out, trail.Write(keep, fleet.Meta, fleet.Recorder.Stop())
	}
	return out, nil
}

// ScenarioLayouts are the ways in which a scene's volumes can lie on its servers.
var ScenarioLayouts = []string{"", "narrow", "wide"}

// settings are the scene's: the example's with small blocks, its figures and its layout.
func (s Scenario) settings() (*settings.Settings, error) {
	if s.Regions {
		set := RegionSettings(s.Hosts, s.Servers)
		if s.changeSettings != nil {
			s.changeSettings(set)
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

// feed checks the rules on one event, and ends the run at the first that is broken.
func (o *Outcome) feed(w *world.World, e *trail.Event) {
	o.Checker.Feed(e)
	if o.Failure != nil || o.Checker.OK() {
		return
	}
	b := o.Checker.Violations[0]
	o.Failure = &Failure{Kind: fmt.Sprintf("rule %d", b.Rule), Text: b.String(), At: w.Now(), Conn: b.Conn, Tag: b.Tag, HostID: b.HostID, Seq: b.Seq}
	w.Halt(o.Failure)
}

// setRunFailure takes how the run ended; what is no failure of the scene is an error.
func (o *Outcome) setRunFailure(err error, now time.Duration) error {
	var stuck *world.StuckError
	var crash *world.CrashError
	switch {
	case err == nil || o.Failure != nil:
	case errors.As(err, &stuck):
		o.Failure = &Failure{Kind: failureStuck, Text: err.Error(), At: now}
	case errors.As(err, &crash):
		o.Failure = &Failure{Kind: failureCrash, Text: err.Error(), At: now}
	default:
		return err
	}
	return nil
}

// evaluate looks at a day that came to its end.
func (o *Outcome) evaluate(res *Result, now time.Duration) {
	fail := func(kind, format string, args ...any) {
		if o.Failure == nil {
			o.Failure = &Failure{Kind: kind, Text: fmt.Sprintf(format, args...), At: now}
		}
	}
	o.Goodput, o.CheckedReads = res.Checker.Stats.Goodput(), res.CheckedReads
	o.LostWrites, o.OperatorCommands, o.Outages = res.LostWrites, res.OperatorCommands, outages(res)
	var wrong []string
	if o.CheckedBlocks, o.UndecidedBlocks, wrong = res.history.CheckLinearizable(); len(res.InvalidReads) > 0 {
		fail(failureInvalidRead, "%s", res.InvalidReads[0])
	} else if len(wrong) > 0 {
		fail(failureNotLinearizable, "%s", wrong[0])
	}
	if !res.Checker.OK() {
		b := res.Checker.Violations[0]
		fail(fmt.Sprintf("rule %d", b.Rule), "%s", b)
	}
	if res.RepeatedEffects > 0 {
		fail(failureRepeatedEffect, "%d keyed effects took place once more", res.RepeatedEffects)
	}
	if t := res.Checker.Stats; t.Commands != t.Finished {
		fail(failureUnanswered, "%d of %d commands have no end", t.Commands-t.Finished, t.Commands)
	}
	if res.UnreadBlocks > 0 {
		fail(failureUnreadBlocks, "%d blocks could not be read back", res.UnreadBlocks)
	}
	span := time.Duration(float64(o.Scenario.Commands) / o.Scenario.Rate * float64(time.Second))
	calm := recoveryTime
	if o.Scenario.Regions {
		calm += regionRecoveryTime
	}
	for _, t := range o.Scenario.Faults {
		end := t.At + t.Duration + recoveryTime
		if o.Scenario.Regions {
			end += regionRecoveryTime
		}
		calm = max(calm, end)
	}
	if o.RecoveryGoodput = 1; calm+minRecoverySpan <= span {
		if o.RecoveryGoodput = res.Checker.Stats.GoodputBetween(int64(calm/time.Second), int64(span/time.Second)); o.RecoveryGoodput < minRecoveryGoodput {
			fail(failureRecovery, "goodput is %.3f of the worth asked for later than %v after the last trouble", o.RecoveryGoodput, recoveryTime)
		}
	}
}

// Shrink looks for a smaller scene with the same kind of failure: fewer troubles, a
// shorter day, fewer hosts. It plays at most so many.
func (s Scenario) Shrink(ctx context.Context, most int, progress io.Writer) (Scenario, error) {
	if s.Failure == nil {
		return s, errors.New("lab: the scene has no failure to keep")
	}
	plays := 0
	try := func(t Scenario) (ok bool, err error) {
		if plays >= most || ctx.Err() != nil {
			return false, ctx.Err()
		}
		plays++
		kind := s.Failure.Kind
		t.Failure = nil
		out, err := t.Run(ctx, "")
		if err != nil || out.Failure == nil || out.Failure.Kind != kind {
			return false, err
		}
		s = out.Scenario
		fmt.Fprintf(progress, "%d troubles, %d commands, %d hosts: still %s\n", len(s.Faults), s.Commands, s.Hosts, kind)
		return true, nil
	}
	smaller := func() (any bool, err error) {
		for n := max(len(s.Faults)/2, 1); n >= 1; n /= 2 {
			for i := 0; i+n <= len(s.Faults); {
				t := s
				t.Faults = slices.Delete(slices.Clone(s.Faults), i, i+n)
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
func (s Scenario) Save(file string) error {
	b, err := json.MarshalIndent(s, "", "\t")
	if err != nil {
		return err
	}
	return os.WriteFile(file, append(b, '\n'), 0o666)
}

// LoadScenario reads a scene's file.
func LoadScenario(file string) (s Scenario, err error) {
	b, err := os.ReadFile(file)
	if err != nil {
		return s, err
	}
	if err := json.Unmarshal(b, &s); err != nil {
		return s, fmt.Errorf("%s: no scene: %w", file, err)
	}
	return s, nil
}

// ExploreOptions says which scenes to play.
type ExploreOptions struct {
	FirstSeed, Seeds uint64
	Hosts, Servers   int
	Span             time.Duration
	Rate             float64
	Swarm            bool
	Planted          string
	Regions          bool                       // scenes of a service over two
	DrawScenario     func(seed uint64) Scenario // in place of those that are drawn
	Parallel         int
	StopAtFirst      bool
	OutDir           string // folder for the scenes that fail, or none
}

// ExploreSummary is what an exploration came to.
type ExploreSummary struct {
	Runs, RuleChecks, CheckedBlocks, UndecidedBlocks, CheckedReads int
	Steps                                                          uint64
	VirtualTime                                                    time.Duration
	MeanGoodput                                                    float64 // mean
	FaultCounts                                                    map[string]int
	Outages                                                        []time.Duration
	LostWrites                                                     int
	OperatorCommands                                               map[string]int
	Failures                                                       []Scenario // by seed
}

// Explore plays scene after scene, some at once.
func Explore(ctx context.Context, x ExploreOptions, progress io.Writer) (*ExploreSummary, error) {
	sum := &ExploreSummary{FaultCounts: map[string]int{}, OperatorCommands: map[string]int{}}
	var mu sync.Mutex
	var failed error
	next := uint64(0)
	w := env.NewReal()
	var all env.WaitGroup
	for range max(x.Parallel, 1) {
		all.Go(w, func() {
			for {
				mu.Lock()
				seed := x.FirstSeed + next
				next++
				over := seed >= x.FirstSeed+x.Seeds || failed != nil || ctx.Err() != nil || x.StopAtFirst && len(sum.Failures) > 0
				mu.Unlock()
				if over {
					return
				}
				s := DrawScenario(seed, x.Hosts, x.Servers, x.Span, x.Rate, x.Swarm)
				switch {
				case x.DrawScenario != nil:
					s = x.DrawScenario(seed)
				case x.Regions:
					s = DrawRegionScenario(seed, x.Hosts, x.Servers, x.Span, x.Rate)
				}
				s.Planted = x.Planted
				out, err := s.Run(ctx, "")
				if ctx.Err() != nil {
					return // what was played is cut short
				}
				mu.Lock()
				if err == nil {
					err = sum.add(out, x)
				}
				if err != nil {
					failed = fmt.Errorf("seed %d: %w", seed, err)
				}
				if sum.Runs%25 == 0 && err == nil {
					fmt.Fprintf(progress, "%d of %d played, %d failed, %d million steps, %.0f s virtual\n", sum.Runs, x.Seeds, len(sum.Failures), sum.Steps/1e6, sum.VirtualTime.Seconds())
				}
				mu.Unlock()
			}
		})
	}
	all.Wait(w)
	if failed == nil {
		failed = ctx.Err()
	}
	slices.SortFunc(sum.Failures, func(a, b Scenario) int { return int(int64(a.Seed) - int64(b.Seed)) })
	return sum, failed
}

func (e *ExploreSummary) add(o *Outcome, x ExploreOptions) error {
	e.Runs++
	e.Steps += o.Steps
	e.RuleChecks += o.RuleChecks
	e.CheckedBlocks, e.UndecidedBlocks, e.CheckedReads = e.CheckedBlocks+o.CheckedBlocks, e.UndecidedBlocks+o.UndecidedBlocks, e.CheckedReads+o.CheckedReads
	e.VirtualTime += o.VirtualTime
	e.MeanGoodput += (o.Checker.Stats.Goodput() - e.MeanGoodput) / float64(e.Runs)
	for _, t := range o.Scenario.Faults {
		e.FaultCounts[t.Kind]++
	}
	e.Outages, e.LostWrites = append(e.Outages, o.Outages...), e.LostWrites+o.LostWrites
	for op, n := range o.OperatorCommands {
		e.OperatorCommands[op] += n
	}
	if o.Failure == nil {
		return nil
	}
	e.Failures = append(e.Failures, o.Scenario)
	if x.OutDir == "" {
		return nil
	}
	if err := os.MkdirAll(x.OutDir, 0o777); err != nil {
		return err
	}
	return o.Scenario.Save(filepath.Join(x.OutDir, fmt.Sprintf("scene-%d.json", o.Scenario.Seed)))
}
