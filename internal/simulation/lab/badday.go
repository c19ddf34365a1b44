package lab

import (
	"context"
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
	"merlinhitch/internal/simulation/standin"
	"merlinhitch/internal/verify/rules"
	"merlinhitch/internal/verify/trail"
)

// Options configure a run with faults. Not every function uses all of them.
type Options struct {
	Seed       uint64
	Commands   int
	FaultKinds []string         // kinds to draw from; empty: all; "none": no faults
	Faults     []ScheduledFault // replaces drawn faults, also if empty; nil: faults are drawn
	Hosts      int
	Servers    int
	Rate       float64 // mean rate in commands per second
	OutDir     string  // directory for the trail; "": none
	Log        *zap.Logger
	Progress   io.Writer
	// Settings of the service; nil: the example settings.
	Settings *settings.Settings
	// SharedStores gives all disk servers the same block store, which changes of layouts require.
	SharedStores bool
	// Routing selects how clients choose a host: by the routes that a router received (RouteAnnounced), by a
	// fixed choice among all hosts (RouteFixed), or, if "", by the order of the volume's hosts.
	Routing string
	// onStart, if set, is called as the run begins, for faults that are no kind of fault.
	onStart func(d *dayRun, span time.Duration)
	// onQuiescent, if set, is called after the last command has ended, before the hosts stop.
	onQuiescent func(d *dayRun)
	// onStopped, if set, receives the trail after the hosts have stopped.
	onStopped func(d *dayRun, events []trail.Event)
	// newChecker, if set, is called with the fleet before the run begins. The checker that it returns
	// must already have received all events at the end of the run.
	newChecker func(*Fleet) *rules.Checker
	// maxEffectDelay is how long after its deadline a command whose connection was lost may still take
	// effect, because of stalls on its way.
	maxEffectDelay time.Duration
	// stateDir is the directory for the hosts' snapshots and records. If it is "", a restarted host gets
	// the settings again.
	stateDir string
	// fixedShares disables the rebalancing of limits between regions.
	fixedShares bool
}

// Result is the result of a run.
type Result struct {
	Checker         *rules.Checker
	InvalidReads    []string // descriptions of reads that returned invalid data
	CheckedReads    int      // block reads that were checked
	UnreadBlocks    int      // blocks that could not be read back
	RepeatedEffects int      // effects executed again, as counted at the disk servers
	OverloadCrashed []string // disk servers that crashed from overload
	TrailFile       string
	Elapsed         time.Duration
	TrailEvents     int
	LayoutSteps     int // steps of a layout change that were applied
	// With regions: the number of acknowledged writes lost with a region before they were copied,
	// the operator's commands, and the losses of regions.
	LostWrites       int
	OperatorCommands map[string]int
	RegionLosses     []RegionLoss
	// Unrouted and Unanswered are those of Clients. GoodputWithUnrouted counts the value of unrouted
	// commands as offered.
	Unrouted, Unanswered int
	GoodputWithUnrouted  float64

	history *BlockHistory
}

// OK reports whether all checks of the run passed.
func (r *Result) OK() bool {
	return r.Checker.OK() && len(r.InvalidReads) == 0 && r.UnreadBlocks == 0 && r.RepeatedEffects == 0 && r.Checker.Stats.Commands == r.Checker.Stats.Finished
}

// failureSummary describes the failed checks in at most 600 bytes.
func (r *Result) failureSummary() string {
	summary := fmt.Sprintf("%d commands, %d completed, %d blocks not read back, %d repeated effects", r.Checker.Stats.Commands, r.Checker.Stats.Finished, r.UnreadBlocks, r.RepeatedEffects)
	for _, violation := range r.Checker.Violations {
		summary += "; " + violation.String()
	}
	for _, invalid := range r.InvalidReads {
		summary += "; " + invalid
	}
	return summary[:min(len(summary), 600)]
}

// ScheduledFault is one fault of a run: an injected failure or a change of the load.
type ScheduledFault struct {
	Kind     string        `json:"kind"`
	At       time.Duration `json:"at_ns"`  // since the start of the run
	Duration time.Duration `json:"len_ns"` // may be scaled by the kind of fault
	Seed     uint64        `json:"seed"`   // seed of its magnitudes and targets
}

// faultFuncs are the kinds of fault that every testbed supports. Each function injects its fault for
// the given duration.
var faultFuncs = map[string]func(d *dayRun, rng *rand.Rand, duration time.Duration){
	"crash":          crash,
	"slow":           slow,
	"pauses":         pauses,
	"neighbour":      noisyNeighbour,
	"fast_errors":    fastErrors,
	"mass_restart":   massRestart,
	"deploy":         deploy,
	"report_late":    reportLate,
	"hot_key":        hotKey,
	"burst":          burst,
	"tenant_burst":   tenantBurst,
	"reconnect":      reconnect,
	"retry_abuse":    retryAbuse,
	"give_up":        giveUp,
	"balancer_crash": balancerCrash,
	"net_hang":       netHang,
	"net_torn":       netTorn,
	"net_bytewise":   netBytewise,
	"net_late":       netLate,
	"list_cut":       listCut,
}

// backgroundFuncs are disturbances that every testbed supports and that are played only if they are
// named: they last for a whole run.
var backgroundFuncs = map[string]func(d *dayRun, rng *rand.Rand, duration time.Duration){
	"registrations": registrations,
}

// BackgroundKinds returns the kinds of disturbance that are played only if they are named, sorted.
func BackgroundKinds() []string { return sortedKeys(backgroundFuncs) }

// FaultKinds returns the kinds of fault that every testbed supports, sorted.
func FaultKinds() []string {
	return sortedKeys(faultFuncs)
}

func sortedKeys[T any](byKey map[string]T) []string { return slices.Sorted(maps.Keys(byKey)) }

// dayRun is the state of a run.
type dayRun struct {
	options            Options
	fleet              *Fleet
	clients            *Clients
	mu                 sync.Mutex
	activeFaults       map[string]int // active faults by kind
	layoutSteps        int            // applied steps of a layout change
	operator           *operator
	err                error
	initialInventories [2]*standin.InventoryState // state of the inventories at the start
	checker            *rules.Checker             // checks events as they happen; nil: the trail is checked at the end
}

// BadDay runs a service on loopback with faults and checks the run.
func BadDay(ctx context.Context, options Options) (*Result, error) {
	for _, kind := range options.FaultKinds {
		if faultFuncs[kind] == nil && backgroundFuncs[kind] == nil && kind != "none" {
			return nil, fmt.Errorf("unknown kind of fault %q; kinds are %s, and %s", kind, strings.Join(FaultKinds(), ", "), strings.Join(BackgroundKinds(), ", "))
		}
	}
	if options.Log == nil {
		options.Log = zap.NewNop()
	}
	config := options.Settings
	if config == nil {
		config = settings.Example(options.Hosts, options.Servers)
	}
	environment := env.NewReal()
	return runDay(ctx, environment, loopbackTestbed{Environment: environment}, config, options)
}

// runDay runs a service on a testbed and checks the run. environment is that of clients and of fault
// injection.
func runDay(ctx context.Context, environment env.Environment, testbed testbed, config *settings.Settings, options Options) (*Result, error) {
	fleet, err := NewFleet(environment, testbed, config, DefaultMachine(config), options)
	if err != nil {
		return nil, err
	}
	defer fleet.Close()
	run := &dayRun{options: options, fleet: fleet, clients: NewClients(fleet, options.Seed), activeFaults: map[string]int{}}
	run.clients.maxEffectDelay = options.maxEffectDelay
	if options.newChecker != nil {
		run.checker = options.newChecker(fleet)
	}
	defer run.clients.Close()
	run.clients.setRouting(options.Routing)
	if config.Regions != nil {
		run.clients.preferLocalPaths()
	}
	run.clients.Login()
	if options.Routing == RouteAnnounced {
		fleet.awaitRoutes(ctx, 10*time.Second)
	}
	return run.run(ctx)
}

func (d *dayRun) run(ctx context.Context) (*Result, error) {
	rng := rand.New(rand.NewPCG(d.options.Seed, 3))
	begin := d.fleet.Environment.Now()
	span := time.Duration(float64(d.options.Commands) / d.options.Rate * float64(time.Second))
	faults := d.options.Faults
	if faults == nil {
		faults = drawFaults(d.options.FaultKinds, rng, span)
	}
	for _, fault := range faults {
		d.fleet.afterFunc(fault.At, func() {
			d.countActive(fault.Kind, 1)
			faultFunc(fault.Kind)(d, rand.New(rand.NewPCG(fault.Seed, 4)), fault.Duration)
			d.fleet.afterFunc(fault.Duration, func() { d.countActive(fault.Kind, -1) })
		})
	}
	if d.options.onStart != nil {
		d.options.onStart(d, span)
	}
	var finished env.Gate
	if d.fleet.Settings.Regions != nil {
		d.initialInventories = d.fleet.InventoryStates()
		if d.options.Progress != nil {
			fmt.Fprintf(d.options.Progress, "inventories of regions 0 and 1: %s %s\n", loadAddr(&d.fleet.inventories[0].addr), loadAddr(&d.fleet.inventories[1].addr))
		}
		d.operator = &operator{managedFleet: d.fleet, CommandCounts: map[string]int{}, returnsShards: true}
		d.fleet.Environment.Go(func() { d.operator.run(&finished) })
	}
	stopProgress := d.reportProgress(begin)
	d.clients.Run(ctx, d.options.Commands, d.options.Rate)
	d.clients.Wait()
	result := &Result{}
	defer finished.Open()
	result.UnreadBlocks = d.clients.ReadBack(ctx, 60*time.Second)
	stopProgress()
	d.clients.Close()
	if d.options.onQuiescent != nil {
		d.options.onQuiescent(d)
	}
	d.fleet.StopHosts(ctx)
	events := d.fleet.Recorder.Stop()
	if d.options.onStopped != nil {
		d.options.onStopped(d, events)
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if result.LayoutSteps = d.layoutSteps; d.err != nil {
		return nil, d.err
	}
	return d.evaluate(result, events, d.fleet.Environment.Now()-begin)
}

func (d *dayRun) evaluate(result *Result, events []trail.Event, elapsed time.Duration) (*Result, error) {
	result.Elapsed, result.TrailEvents = elapsed, len(events)
	if result.Checker = d.checker; d.checker == nil {
		result.Checker = rules.Check(d.fleet.Meta, events)
	} else {
		d.checker.Finish()
	}
	result.history = d.clients.history
	result.InvalidReads = d.clients.history.CheckReads()
	result.CheckedReads = d.clients.history.CheckedReads
	result.Unrouted, result.Unanswered = int(d.clients.Unrouted.Load()), int(d.clients.Unanswered.Load())
	result.GoodputWithUnrouted = result.Checker.Stats.GoodputWithUnseen(d.clients.UnroutedValue)
	result.LostWrites = len(d.clients.history.LostWrites)
	if operator := d.operator; operator != nil {
		result.OperatorCommands, result.RegionLosses = operator.CommandCounts, d.fleet.regionLosses
	}
	result.RepeatedEffects, result.OverloadCrashed = d.fleet.RepeatedEffects(), d.fleet.OverloadCrashed()
	if d.options.OutDir == "" {
		return result, nil
	}
	if err := os.MkdirAll(d.options.OutDir, 0o777); err != nil {
		return nil, err
	}
	result.TrailFile = filepath.Join(d.options.OutDir, fmt.Sprintf("badday-%d.parquet", d.options.Seed))
	return result, trail.Write(result.TrailFile, d.fleet.Meta, events)
}

// drawFaults draws one fault of each kind, or of each of FaultKinds if kinds is empty. Faults may
// overlap.
func drawFaults(kinds []string, rng *rand.Rand, span time.Duration) (faults []ScheduledFault) {
	if len(kinds) == 0 {
		kinds = FaultKinds()
	}
	for _, kind := range kinds {
		if kind == "none" {
			continue
		}
		drawTime := func(low, high float64) time.Duration {
			return time.Duration((low + (high-low)*rng.Float64()) * float64(span))
		}
		if backgroundFuncs[kind] != nil {
			faults = append(faults, ScheduledFault{Kind: kind, Duration: span})
			continue
		}
		faults = append(faults, ScheduledFault{Kind: kind, At: drawTime(0.05, 0.7), Duration: drawTime(0.08, 0.2)})
	}
	for i := range faults {
		faults[i].Seed = rng.Uint64()
	}
	return faults
}

func (d *dayRun) countActive(kind string, delta int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.activeFaults[kind] += delta; d.activeFaults[kind] == 0 {
		delete(d.activeFaults, kind)
	}
}

const progressInterval = 5 * time.Second

// reportProgress prints a line every progressInterval until the function that it returns is called.
func (d *dayRun) reportProgress(begin time.Duration) (end func()) {
	if d.options.Progress == nil {
		return func() {}
	}
	var mu sync.Mutex
	ended := false
	var report func()
	report = func() {
		mu.Lock()
		defer mu.Unlock()
		if ended {
			return
		}
		d.mu.Lock()
		var active []string
		for kind := range d.activeFaults {
			active = append(active, kind)
		}
		d.mu.Unlock()
		slices.Sort(active)
		if len(active) == 0 {
			active = []string{"none"}
		}
		fmt.Fprintf(d.options.Progress, "%5.0f s  %d commands issued, %d ended; faults: %s\n", (d.fleet.Environment.Now() - begin).Seconds(),
			d.clients.Submitted.Load(), d.clients.Completed.Load(), strings.Join(active, " "))
		d.fleet.Environment.AfterFunc(progressInterval, report)
	}
	d.fleet.Environment.AfterFunc(progressInterval, report)
	return func() {
		mu.Lock()
		defer mu.Unlock()
		ended = true
	}
}

// Print writes the result as text.
func (r *Result) Print(w io.Writer) {
	r.Checker.Stats.Print(w)
	fmt.Fprintf(w, "goodput %.3f of the offered value\n\n", r.Checker.Stats.Goodput())
	r.Checker.Print(w)
	fmt.Fprintf(w, "%d block reads checked, %d invalid, %d blocks not read back; %d keyed effects repeated; %d frames and events in the trail; %.0f s\n",
		r.CheckedReads, len(r.InvalidReads), r.UnreadBlocks, r.RepeatedEffects, r.TrailEvents, r.Elapsed.Seconds())
	if len(r.OverloadCrashed) > 0 {
		fmt.Fprintf(w, "crashed from overload: %s\n", strings.Join(r.OverloadCrashed, ", "))
	}
	for _, invalid := range r.InvalidReads[:min(len(r.InvalidReads), 5)] {
		fmt.Fprintln(w, "WRONG:", invalid)
	}
	for _, violation := range r.Checker.Violations[:min(len(r.Checker.Violations), 5)] {
		fmt.Fprintln(w, "BROKEN:", violation)
	}
}
