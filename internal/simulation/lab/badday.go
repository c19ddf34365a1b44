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

// Options of a bad day.
type Options struct {
	Seed       uint64
	Commands   int
	FaultKinds []string         // kinds; nil: all, "none": a calm day
	Faults     []ScheduledFault // in place of one that is drawn; nil: none
	Hosts      int
	Servers    int
	Rate       float64 // commands a second
	OutDir     string  // folder for the trail and the table, or none
	Log        *zap.Logger
	Progress   io.Writer
	// Settings of the service; nil: the example's.
	Settings *settings.Settings
	// SharedStores has the disk servers share their shelves, as layouts that change need.
	SharedStores bool
	// Routing has clients find hosts by the announcements in a router's table (RouteOn),
	// or by a fixed choice among all hosts (RouteFixed); "": by the order of each
	// volume's hosts.
	Routing string
	// onStart is started with the day, for what is more than a kind of trouble.
	onStart func(d *dayRun, span time.Duration)
	// onQuiescent, if set, is called once nothing is under way, before the hosts stop.
	onQuiescent func(d *dayRun)
	// onStopped, if set, is given the trail once the hosts have stopped.
	onStopped func(d *dayRun, events []trail.Event)
	// newChecker, if set, is given the fleet before the day begins and returns the checker that
	// hears of each event as it happens.
	newChecker func(*Fleet) *rules.Checker
	// maxEffectDelay is how much later than its time a command may still take effect once its
	// client has lost it, for what stands still on the way.
	maxEffectDelay time.Duration
	// stateDir is a folder for the hosts' snapshots and records; "": a host that starts anew
	// is given the settings anew.
	stateDir string
	// fixedShares has parts of limits never move between regions.
	fixedShares bool
}

// Result of a day.
type Result struct {
	Checker         *rules.Checker
	InvalidReads    []string // blocks read that could not be
	CheckedReads    int      // judged
	UnreadBlocks    int      // blocks that could not be read back
	RepeatedEffects int      // effects that took place once more, counted at the racks
	OverloadCrashed []string
	TrailFile       string
	Elapsed         time.Duration
	TrailEvents     int
	LayoutSteps     int // of a layout that were applied
	// Of a service over two regions: writes that were acknowledged before their copy and
	// lost with a region, what the operator said, and when a region was lost.
	LostWrites       int
	OperatorCommands map[string]int
	RegionLosses     []Loss
	// Unrouted and Unanswered are the clients': see Crowd. Wanted is the goodput with
	// the worth of strays counted as asked for.
	Unrouted, Unanswered int
	GoodputWithUnrouted  float64

	history *BlockHistory
}

// OK tells whether the day kept everything.
func (r *Result) OK() bool {
	return r.Checker.OK() && len(r.InvalidReads) == 0 && r.UnreadBlocks == 0 && r.RepeatedEffects == 0 && r.Checker.Stats.Commands == r.Checker.Stats.Finished
}

// failureSummary says in a few words what was not kept.
func (r *Result) failureSummary() string {
	summary := fmt.Sprintf("%d commands, %d answers, %d not read back, %d twice", r.Checker.Stats.Commands, r.Checker.Stats.Finished, r.UnreadBlocks, r.RepeatedEffects)
	for _, violation := range r.Checker.Violations {
		summary += "; " + violation.String()
	}
	for _, invalid := range r.InvalidReads {
		summary += "; " + invalid
	}
	return summary[:min(len(summary), 600)]
}

// ScheduledFault is one trouble of a day.
type ScheduledFault struct {
	Kind     string        `json:"kind"`
	At       time.Duration `json:"at_ns"`  // after the day's begin
	Duration time.Duration `json:"len_ns"` // how long it lasts
	Seed     uint64        `json:"seed"`   // draws its sizes and whom it strikes
}

// faultFuncs of trouble, each with what it does for so long.
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

// FaultKinds lists the kinds of trouble.
func FaultKinds() []string {
	return sortedKeys(faultFuncs)
}

func sortedKeys[T any](byKey map[string]T) []string { return slices.Sorted(maps.Keys(byKey)) }

// dayRun is a running dayRun.
type dayRun struct {
	options            Options
	fleet              *Fleet
	clients            *Clients
	mu                 sync.Mutex
	activeFaults       map[string]int // kinds under way
	layoutSteps        int            // of a layout that are in force
	operator           *operator
	err                error
	initialInventories [2]*standin.InventoryState // the inventories' state as the day begins
	checker            *rules.Checker             // that hears of the day as it goes; nil: it is checked at the end
}

// BadDay plays a day and checks it.
func BadDay(ctx context.Context, options Options) (*Result, error) {
	for _, kind := range options.FaultKinds {
		if faultFuncs[kind] == nil && kind != "none" {
			return nil, fmt.Errorf("unknown trouble %q; there are %s", kind, strings.Join(FaultKinds(), ", "))
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

// runDay plays and checks a day at a site, of which w is the part that clients and
// troubles have.
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
		run.clients.spanRegions()
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
		d.initialInventories = d.fleet.PutBy()
		if d.options.Progress != nil {
			fmt.Fprintf(d.options.Progress, "inventories of regions 0 and 1: %s %s\n", at(&d.fleet.inventories[0].addr), at(&d.fleet.inventories[1].addr))
		}
		d.operator = &operator{f: d.fleet, Said: map[string]int{}, returns: true}
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
		result.OperatorCommands, result.RegionLosses = operator.Said, d.fleet.regionLosses
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

// drawFaults draws a day's troubles: each kind once, overlapping as they come.
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

// reportProgress prints a line now and then until the function it returns is called.
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
		fmt.Fprintf(d.options.Progress, "%5.0f s  %d asked, %d ended; troubles: %s\n", (d.fleet.Environment.Now() - begin).Seconds(),
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

// Print writes what came of the day.
func (r *Result) Print(w io.Writer) {
	r.Checker.Stats.Print(w)
	fmt.Fprintf(w, "goodput %.3f of the worth asked for\n\n", r.Checker.Stats.Goodput())
	r.Checker.Print(w)
	fmt.Fprintf(w, "%d blocks read and judged, %d wrong, %d not read back; %d keyed effects twice; %d frames and events on the trail; %.0f s\n",
		r.CheckedReads, len(r.InvalidReads), r.UnreadBlocks, r.RepeatedEffects, r.TrailEvents, r.Elapsed.Seconds())
	if len(r.OverloadCrashed) > 0 {
		fmt.Fprintf(w, "pushed over: %s\n", strings.Join(r.OverloadCrashed, ", "))
	}
	for _, invalid := range r.InvalidReads[:min(len(r.InvalidReads), 5)] {
		fmt.Fprintln(w, "WRONG:", invalid)
	}
	for _, violation := range r.Checker.Violations[:min(len(r.Checker.Violations), 5)] {
		fmt.Fprintln(w, "BROKEN:", violation)
	}
}
