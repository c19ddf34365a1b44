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

// Scenario is the complete input of a simulated run: the same scenario always gives the same run.
// After a run it also holds the run's result.
type Scenario struct {
	Seed     uint64           `json:"seed"`
	Hosts    int              `json:"hosts"`
	Servers  int              `json:"servers"`
	Commands int              `json:"commands"`
	Rate     float64          `json:"rate"` // mean rate in commands per second
	Faults   []ScheduledFault `json:"script"`
	Planted  string           `json:"planted,omitempty"`
	// Figures replaces numbers of the settings, by their JSON path. Layout is one of
	// ScenarioLayouts.
	Figures map[string]float64 `json:"figures,omitempty"`
	Layout  string             `json:"layout,omitempty"`
	// Regions simulates a service across two regions.
	Regions bool `json:"regions,omitempty"`

	changeSettings func(*settings.Settings)                   // further changes to the settings of a service with regions
	fixedShares    bool                                       // regions' shares of limits are not rebalanced
	onEvent        func(*trail.Event)                         // called for each trail event
	onAnswer       func(issuedAt, latency int64, served bool) // see rules.Stats.OnAnswer
	Failure        *Failure                                   `json:"failure,omitempty"` // result of the run, as are Digest and Steps
	Digest         uint64                                     `json:"digest,omitempty"`
	Steps          uint64                                     `json:"steps,omitempty"`
}

// Failure is the first failure of a run. Equal failures have the same Kind.
type Failure struct {
	Kind string        `json:"kind"`
	Text string        `json:"text"`
	At   time.Duration `json:"at_ns"`
	// Identifiers of the command and the request that failed, if any.
	Conn   uint32 `json:"conn,omitempty"`
	Tag    uint32 `json:"tag,omitempty"`
	HostID uint64 `json:"host_id,omitempty"`
	Seq    uint64 `json:"seq,omitempty"`
}

func (f *Failure) Error() string { return f.Kind + ": " + f.Text }

// Kinds of failure in addition to "rule N", the violation of a rule.
const (
	failureInvalidRead     = "blocks"       // a read returned data that no allowed write wrote
	failureNotLinearizable = "linear"       // a block's history is not linearizable
	failureRepeatedEffect  = "effect twice" // an effect was executed twice at disk servers
	failureUnreadBlocks    = "not read back"
	failureStuck           = "stuck"
	failureCrash           = "crash"
	failureRecovery        = "recovery"
	failureUnanswered      = "unanswered"
)

// Outcome is the result of a scenario's run.
type Outcome struct {
	Scenario        Scenario
	Failure         *Failure
	Checker         *rules.Checker
	VirtualTime     time.Duration
	Steps           uint64
	RuleChecks      int
	CheckedBlocks   int     // blocks whose history was checked for linearizability, including undecided ones
	UndecidedBlocks int     // blocks whose check timed out
	CheckedReads    int     // block reads that were checked
	RecoveryGoodput float64 // goodput after the last fault; 1 if the run ended too early
	// With regions: for how long the shards of a lost region were not served until the other region
	// took over, and the number of acknowledged writes lost before they were copied.
	Outages          []time.Duration
	LostWrites       int
	OperatorCommands map[string]int
	Goodput          float64
}

const (
	// maxScenarioTime limits the virtual time of a run.
	maxScenarioTime = 6 * time.Minute
	// recoveryTime is how long goodput may take to recover after the last fault: for a cold start
	// and the delay of the inventory.
	recoveryTime = 15 * time.Second
	// regionRecoveryTime is the additional time with regions: leases expire, copies are completed and
	// shards return to their preferred region.
	regionRecoveryTime = 15 * time.Second
	// minRecoveryGoodput is the minimum goodput after recovery.
	minRecoveryGoodput = 0.75
	// minRecoverySpan is the minimum period over which it is measured.
	minRecoverySpan = 5 * time.Second
	// maxStall limits stalls within a scenario, and so how late a lost command may take effect.
	maxStall = 20 * time.Second
)

// SmallBlocks divides block sizes and all other sizes of the settings by eight, so that less data is
// copied.
func SmallBlocks(config *settings.Settings) *settings.Settings {
	const divisor = 8
	config.UnitBytes /= divisor
	for i := range config.Volumes {
		config.Volumes[i].BlockSize /= divisor
	}
	for i := range config.Classes {
		config.Classes[i].Match.MaxBytes /= divisor
		config.Classes[i].Match.MinBytes /= divisor
	}
	return config
}

// excludedFault is not drawn because the service does not tolerate it in every case: deadlines that
// disk servers receive are taken from the host's clock and jump with it (docs/world.md).
const excludedFault = "clock_jump"

// DrawScenario draws a scenario. With swarm, each seed uses a random subset of the kinds of fault
// (swarm testing), so that rare combinations occur; otherwise it uses all.
func DrawScenario(seed uint64, hosts, servers int, span time.Duration, rate float64, swarm bool) Scenario {
	rng := rand.New(rand.NewPCG(seed, 17))
	kinds := slices.DeleteFunc(WorldFaultKinds(), func(kind string) bool { return kind == excludedFault })
	var selected []string
	share := 0.1 + 0.4*rng.Float64()
	for _, kind := range kinds {
		if !swarm || rng.Float64() < share {
			selected = append(selected, kind)
		}
	}
	if len(selected) == 0 {
		selected = []string{kinds[rng.IntN(len(kinds))]}
	}
	// Faults are drawn within the first two thirds of the run, so that recovery can be measured.
	return Scenario{Seed: seed, Hosts: hosts, Servers: servers, Commands: int(span.Seconds() * rate), Rate: rate,
		Faults: drawFaults(selected, rng, span*2/3)}
}

// companionFaults are drawn close in time to region faults.
var companionFaults = []string{"disk_stall", "slow", "link_cut", "host_stall"}

// DrawRegionScenario draws a scenario of a service across two regions, with one to three kinds of
// region fault and some of the others.
func DrawRegionScenario(seed uint64, hosts, servers int, span time.Duration, rate float64) Scenario {
	rng := rand.New(rand.NewPCG(seed, 19))
	kinds := RegionFaultKinds()
	selected := []string{"tenant_burst"} // otherwise the load never reaches a limit
	for _, index := range rng.Perm(len(kinds))[:1+rng.IntN(3)] {
		selected = append(selected, kinds[index])
	}
	for _, kind := range WorldFaultKinds() {
		if kind != excludedFault && kind != "tenant_burst" && rng.Float64() < 0.1 {
			selected = append(selected, kind)
		}
	}
	faults := drawFaults(selected, rng, span*2/3)
	for i := range faults { // long enough for leases to expire
		if regionFaults[faults[i].Kind] != nil {
			faults[i].Duration *= 2
		}
	}
	// Stalls while leases expire reveal code that assumes timely execution.
	for _, fault := range faults {
		if regionFaults[fault.Kind] != nil && rng.IntN(2) == 0 {
			faults = append(faults, ScheduledFault{Kind: companionFaults[rng.IntN(len(companionFaults))], At: fault.At + time.Duration(rng.Float64()*9*float64(time.Second)),
				Duration: time.Duration((2 + 6*rng.Float64()) * float64(time.Second)), Seed: rng.Uint64()})
		}
	}
	return Scenario{Seed: seed, Hosts: hosts, Servers: servers, Commands: int(span.Seconds() * rate), Rate: rate, Regions: true, Faults: faults}
}

// Run runs the scenario to its end or first failure. It writes the trail to trailFile unless that
// is "".
func (s Scenario) Run(ctx context.Context, trailFile string) (*Outcome, error) {
	if s.Planted != "" && !faultinject.Enabled {
		return nil, errors.New("lab: scenario needs a planted fault; build with the tag planted")
	}
	for _, fault := range s.Faults {
		if faultFuncs[fault.Kind] == nil && worldFaultFuncs[fault.Kind] == nil && backgroundFuncs[fault.Kind] == nil && (regionFaults[fault.Kind] == nil && regionBackgroundFuncs[fault.Kind] == nil || !s.Regions) {
			return nil, fmt.Errorf("lab: unknown kind of fault %q", fault.Kind)
		}
	}
	if s.Hosts < 1 || s.Servers < 3 || s.Commands < 1 || !(s.Rate > 0) {
		return nil, errors.New("lab: scenario must have at least one host, three disk servers and one command, and a rate above 0")
	}
	config, err := s.settings()
	if err != nil {
		return nil, err
	}
	simulated := world.New(s.Seed)
	outcome := &Outcome{Scenario: s}
	var fleet *Fleet
	options := Options{Seed: s.Seed, Commands: s.Commands, Rate: s.Rate, Hosts: s.Hosts, Servers: s.Servers, Faults: s.Faults, Log: zap.NewNop(),
		maxEffectDelay: maxStall, fixedShares: s.fixedShares}
	if s.Regions {
		options.maxEffectDelay = 2 * maxStall
	}
	if options.Faults == nil {
		options.Faults = []ScheduledFault{} // no faults; nil would have them drawn
	}
	options.newChecker = func(fleetStarted *Fleet) *rules.Checker {
		fleet, outcome.Checker = fleetStarted, rules.New(fleetStarted.Meta)
		outcome.Checker.Stats.OnAnswer = s.onAnswer
		fleetStarted.Recorder.SetObserver(func(event *trail.Event) {
			if s.onEvent != nil {
				s.onEvent(event)
			}
			outcome.feed(simulated, event)
		}, trailFile != "")
		return outcome.Checker
	}
	var result *Result
	var runErr error
	err = simulated.Run("lab", maxScenarioTime, func(process *world.Process) {
		result, runErr = runDay(ctx, process, virtualTestbed{simulated}, config, options)
	})
	if err == nil {
		err = runErr
	}
	if err = outcome.setRunFailure(err, simulated.Now()); err != nil {
		return nil, err
	}
	if result != nil {
		outcome.evaluate(result, simulated.Now())
	}
	outcome.VirtualTime, outcome.Steps = simulated.Now(), simulated.Steps
	for _, count := range outcome.Checker.Checks {
		outcome.RuleChecks += count
	}
	outcome.Scenario.Failure, outcome.Scenario.Digest, outcome.Scenario.Steps = outcome.Failure, simulated.Digest(), simulated.Steps
	if trailFile != "" {
		return outcome, trail.Write(trailFile, fleet.Meta, fleet.Recorder.Stop())
	}
	return outcome, nil
}

// ScenarioLayouts are the values of Scenario.Layout: the example's layouts, one shard per volume, or
// up to six.
var ScenarioLayouts = []string{"", "narrow", "wide"}

// settings returns the example settings with small blocks and the scenario's layout and figures, or
// those of a service across two regions.
func (s Scenario) settings() (*settings.Settings, error) {
	if s.Regions {
		config := RegionSettings(s.Hosts, s.Servers)
		if s.changeSettings != nil {
			s.changeSettings(config)
		}
		return withFigures(config, s.Figures)
	}
	config := SmallBlocks(settings.Example(s.Hosts, s.Servers))
	for i := range config.Volumes {
		volume := &config.Volumes[i]
		switch s.Layout {
		case "":
		case "narrow":
			volume.Layout = volume.Layout[:1]
		case "wide":
			volume.Layout, volume.MaxNodes = nil, s.Servers
			for k := range min(6, s.Servers) {
				volume.Layout = append(volume.Layout, (i+k)%s.Servers)
			}
		default:
			return nil, fmt.Errorf("lab: unknown layout %q", s.Layout)
		}
	}
	return withFigures(config, s.Figures)
}

// withFigures replaces numbers of the settings by their JSON path, such as limits.max_attempts, and
// checks the result.
func withFigures(config *settings.Settings, figures map[string]float64) (*settings.Settings, error) {
	if len(figures) == 0 {
		return config, nil
	}
	encoded, err := json.Marshal(config)
	if err != nil {
		return nil, err
	}
	var tree map[string]any
	if err := json.Unmarshal(encoded, &tree); err != nil {
		return nil, err
	}
	for _, path := range slices.Sorted(maps.Keys(figures)) {
		node, parts := tree, strings.Split(path, ".")
		for _, key := range parts[:len(parts)-1] {
			next, ok := node[key].(map[string]any)
			if !ok {
				return nil, fmt.Errorf("lab: settings have no object on the path %s", path)
			}
			node = next
		}
		last := parts[len(parts)-1]
		if _, ok := node[last].(float64); !ok {
			return nil, fmt.Errorf("lab: settings have no number %s", path)
		}
		node[last] = figures[path]
	}
	if encoded, err = json.Marshal(tree); err != nil {
		return nil, err
	}
	changed := &settings.Settings{}
	if err := json.Unmarshal(encoded, changed); err != nil {
		return nil, err
	}
	return changed, changed.Check()
}

// feed checks the rules on one event and halts the run at the first violation.
func (o *Outcome) feed(simulated *world.World, event *trail.Event) {
	o.Checker.Feed(event)
	if o.Failure != nil || o.Checker.OK() {
		return
	}
	violation := o.Checker.Violations[0]
	o.Failure = &Failure{Kind: fmt.Sprintf("rule %d", violation.Rule), Text: violation.String(), At: simulated.Now(), Conn: violation.Conn, Tag: violation.Tag, HostID: violation.HostID, Seq: violation.Seq}
	simulated.Halt(o.Failure)
}

// setRunFailure records a stuck or crashed run as a failure and returns any other error.
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

// evaluate records the results of a completed run and its first failure.
func (o *Outcome) evaluate(result *Result, now time.Duration) {
	fail := func(kind, format string, args ...any) {
		if o.Failure == nil {
			o.Failure = &Failure{Kind: kind, Text: fmt.Sprintf(format, args...), At: now}
		}
	}
	o.Goodput, o.CheckedReads = result.Checker.Stats.Goodput(), result.CheckedReads
	o.LostWrites, o.OperatorCommands, o.Outages = result.LostWrites, result.OperatorCommands, takeoverOutages(result)
	var anomalies []string
	if o.CheckedBlocks, o.UndecidedBlocks, anomalies = result.history.CheckLinearizable(); len(result.InvalidReads) > 0 {
		fail(failureInvalidRead, "%s", result.InvalidReads[0])
	} else if len(anomalies) > 0 {
		fail(failureNotLinearizable, "%s", anomalies[0])
	}
	if !result.Checker.OK() {
		violation := result.Checker.Violations[0]
		fail(fmt.Sprintf("rule %d", violation.Rule), "%s", violation)
	}
	if result.RepeatedEffects > 0 {
		fail(failureRepeatedEffect, "%d keyed effects were executed again", result.RepeatedEffects)
	}
	if stats := result.Checker.Stats; stats.Commands != stats.Finished {
		fail(failureUnanswered, "%d of %d commands were not completed", stats.Commands-stats.Finished, stats.Commands)
	}
	if result.UnreadBlocks > 0 {
		fail(failureUnreadBlocks, "%d blocks could not be read back", result.UnreadBlocks)
	}
	span := time.Duration(float64(o.Scenario.Commands) / o.Scenario.Rate * float64(time.Second))
	quietFrom := recoveryTime
	if o.Scenario.Regions {
		quietFrom += regionRecoveryTime
	}
	for _, fault := range o.Scenario.Faults {
		end := fault.At + fault.Duration + recoveryTime
		if o.Scenario.Regions {
			end += regionRecoveryTime
		}
		quietFrom = max(quietFrom, end)
	}
	if o.RecoveryGoodput = 1; quietFrom+minRecoverySpan <= span {
		if o.RecoveryGoodput = result.Checker.Stats.GoodputBetween(int64(quietFrom/time.Second), int64(span/time.Second)); o.RecoveryGoodput < minRecoveryGoodput {
			fail(failureRecovery, "goodput is %.3f from %v after the last fault on", o.RecoveryGoodput, recoveryTime)
		}
	}
}

// Shrink searches for a smaller scenario with the same kind of failure: fewer faults, a shorter run,
// fewer hosts. It runs at most maxRuns scenarios.
func (s Scenario) Shrink(ctx context.Context, maxRuns int, progress io.Writer) (Scenario, error) {
	if s.Failure == nil {
		return s, errors.New("lab: cannot shrink a scenario without a failure")
	}
	runs := 0
	attempt := func(candidate Scenario) (kept bool, err error) {
		if runs >= maxRuns || ctx.Err() != nil {
			return false, ctx.Err()
		}
		runs++
		kind := s.Failure.Kind
		candidate.Failure = nil
		out, err := candidate.Run(ctx, "")
		if err != nil || out.Failure == nil || out.Failure.Kind != kind {
			return false, err
		}
		s = out.Scenario
		fmt.Fprintf(progress, "%d faults, %d commands, %d hosts: still fails with %s\n", len(s.Faults), s.Commands, s.Hosts, kind)
		return true, nil
	}
	reduce := func() (reduced bool, err error) {
		for n := max(len(s.Faults)/2, 1); n >= 1; n /= 2 {
			for i := 0; i+n <= len(s.Faults); {
				candidate := s
				candidate.Faults = slices.Delete(slices.Clone(s.Faults), i, i+n)
				kept, err := attempt(candidate)
				if err != nil {
					return reduced, err
				}
				if reduced = reduced || kept; !kept {
					i += n
				}
			}
		}
		if commands := int((s.Failure.At + time.Second).Seconds() * s.Rate); commands < s.Commands {
			candidate := s
			candidate.Commands = commands
			kept, err := attempt(candidate)
			if reduced = reduced || kept; err != nil {
				return reduced, err
			}
		}
		if s.Hosts > 1 {
			candidate := s
			candidate.Hosts--
			kept, err := attempt(candidate)
			if reduced = reduced || kept; err != nil {
				return reduced, err
			}
		}
		return reduced, nil
	}
	for reduced := true; reduced; {
		var err error
		if reduced, err = reduce(); err != nil {
			return s, err
		}
	}
	return s, nil
}

// Save writes the scenario to a file as JSON.
func (s Scenario) Save(file string) error {
	encoded, err := json.MarshalIndent(s, "", "\t")
	if err != nil {
		return err
	}
	return os.WriteFile(file, append(encoded, '\n'), 0o666)
}

// LoadScenario reads a scenario that Save wrote.
func LoadScenario(file string) (s Scenario, err error) {
	encoded, err := os.ReadFile(file)
	if err != nil {
		return s, err
	}
	if err := json.Unmarshal(encoded, &s); err != nil {
		return s, fmt.Errorf("%s: invalid scenario: %w", file, err)
	}
	return s, nil
}

// ExploreOptions selects the scenarios of Explore.
type ExploreOptions struct {
	FirstSeed, Seeds uint64
	Hosts, Servers   int
	Span             time.Duration // of the client traffic, in virtual time
	Rate             float64       // mean rate in commands per second
	Swarm            bool          // see DrawScenario
	Planted          string
	Background       []string                   // disturbances that last for each whole run, see BackgroundKinds
	Regions          bool                       // scenarios of a service across two regions
	DrawScenario     func(seed uint64) Scenario // replaces DrawScenario and DrawRegionScenario
	Parallel         int
	StopAtFirst      bool
	OutDir           string // directory for the scenarios that fail; "": none
}

// ExploreSummary sums up the outcomes of the scenarios that Explore ran. See Outcome for the fields.
type ExploreSummary struct {
	Runs, RuleChecks, CheckedBlocks, UndecidedBlocks, CheckedReads int
	Steps                                                          uint64
	VirtualTime                                                    time.Duration
	MeanGoodput                                                    float64
	FaultCounts                                                    map[string]int
	Outages                                                        []time.Duration
	LostWrites                                                     int
	OperatorCommands                                               map[string]int
	Failures                                                       []Scenario // sorted by seed
}

// Explore runs scenarios with consecutive seeds, some of them in parallel. It writes a line to
// progress after every 25.
func Explore(ctx context.Context, options ExploreOptions, progress io.Writer) (*ExploreSummary, error) {
	summary := &ExploreSummary{FaultCounts: map[string]int{}, OperatorCommands: map[string]int{}}
	var mu sync.Mutex
	var runErr error
	next := uint64(0)
	environment := env.NewReal()
	var workers env.WaitGroup
	for range max(options.Parallel, 1) {
		workers.Go(environment, func() {
			for {
				mu.Lock()
				seed := options.FirstSeed + next
				next++
				done := seed >= options.FirstSeed+options.Seeds || runErr != nil || ctx.Err() != nil || options.StopAtFirst && len(summary.Failures) > 0
				mu.Unlock()
				if done {
					return
				}
				scenario := DrawScenario(seed, options.Hosts, options.Servers, options.Span, options.Rate, options.Swarm)
				switch {
				case options.DrawScenario != nil:
					scenario = options.DrawScenario(seed)
				case options.Regions:
					scenario = DrawRegionScenario(seed, options.Hosts, options.Servers, options.Span, options.Rate)
				}
				scenario.Planted = options.Planted
				for i, kind := range options.Background {
					scenario.Faults = append(scenario.Faults, ScheduledFault{Kind: kind, Duration: options.Span, Seed: seed + uint64(i)<<32})
				}
				outcome, err := scenario.Run(ctx, "")
				if ctx.Err() != nil {
					return // the run may have been cancelled
				}
				mu.Lock()
				if err == nil {
					err = summary.add(outcome, options)
				}
				if err != nil {
					runErr = fmt.Errorf("seed %d: %w", seed, err)
				}
				if summary.Runs%25 == 0 && err == nil {
					fmt.Fprintf(progress, "%d of %d scenarios run, %d failed, %d million steps, %.0f virtual seconds\n", summary.Runs, options.Seeds, len(summary.Failures), summary.Steps/1e6, summary.VirtualTime.Seconds())
				}
				mu.Unlock()
			}
		})
	}
	workers.Wait(environment)
	if runErr == nil {
		runErr = ctx.Err()
	}
	slices.SortFunc(summary.Failures, func(a, b Scenario) int { return int(int64(a.Seed) - int64(b.Seed)) })
	return summary, runErr
}

func (e *ExploreSummary) add(outcome *Outcome, options ExploreOptions) error {
	e.Runs++
	e.Steps += outcome.Steps
	e.RuleChecks += outcome.RuleChecks
	e.CheckedBlocks, e.UndecidedBlocks, e.CheckedReads = e.CheckedBlocks+outcome.CheckedBlocks, e.UndecidedBlocks+outcome.UndecidedBlocks, e.CheckedReads+outcome.CheckedReads
	e.VirtualTime += outcome.VirtualTime
	e.MeanGoodput += (outcome.Checker.Stats.Goodput() - e.MeanGoodput) / float64(e.Runs)
	for _, fault := range outcome.Scenario.Faults {
		e.FaultCounts[fault.Kind]++
	}
	e.Outages, e.LostWrites = append(e.Outages, outcome.Outages...), e.LostWrites+outcome.LostWrites
	for op, n := range outcome.OperatorCommands {
		e.OperatorCommands[op] += n
	}
	if outcome.Failure == nil {
		return nil
	}
	e.Failures = append(e.Failures, outcome.Scenario)
	if options.OutDir == "" {
		return nil
	}
	if err := os.MkdirAll(options.OutDir, 0o777); err != nil {
		return err
	}
	return outcome.Scenario.Save(filepath.Join(options.OutDir, fmt.Sprintf("scene-%d.json", outcome.Scenario.Seed)))
}
