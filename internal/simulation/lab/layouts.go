package lab

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"slices"
	"text/tabwriter"
	"time"

	"merlinhitch/internal/control/settings"
	"merlinhitch/internal/fleet/placement"
	"merlinhitch/internal/fleet/plan"
	"merlinhitch/internal/fleet/rollout"
)

// LayoutStrategies names the placement strategies that CompareLayouts compares.
var LayoutStrategies = []string{"solver", "round robin", "by name", "largest first"}

// BusyTroubles are the fault kinds that raise the load and make it uneven.
var BusyTroubles = []string{"burst", "hot_key", "tenant_burst"}

// meanCommandUnits is the mean number of units of a client's command, without retries.
const meanCommandUnits = 2.2

// writeWorkFactor is the work of the clients' mix of reads and writes, relative to reads only.
const writeWorkFactor = 1.2

// BusySettings returns settings whose nodes differ up to threefold in capacity within each hall
// and whose volumes differ up to thirtyfold in rate, with a total rate of that many commands per
// second.
func BusySettings(hosts, servers int, rate float64, seed uint64) *settings.Settings {
	busy := settings.Example(hosts, servers)
	rng := rand.New(rand.NewPCG(seed, 11))
	busy.Placement.Parts = 8
	unitWork := DefaultMachine(busy).UnitWork
	for hall := range Halls { // one draw per hall, so that nodes differ within a hall but halls hardly differ
		coreOrder := rng.Perm(3)
		for k, i := 0, hall; i < servers; k, i = k+1, i+len(Halls) {
			busy.Nodes[i].Capacity = float64(1+coreOrder[k%3]) * 1000 / unitWork / writeWorkFactor
		}
	}
	total := 0.0
	for i := range busy.Volumes {
		volume := &busy.Volumes[i]
		skew := rng.Float64()
		volume.Rate, volume.Layout, volume.MaxNodes = busy.RateOf(volume)*(0.2+5.8*skew*skew*skew), []int{i % servers}, 2+i%3
		volume.WriteFraction = 0 // copies only serve reads, after the loss of their hall
		total += volume.Rate
	}
	for i := range busy.Volumes {
		busy.Volumes[i].Rate *= rate * meanCommandUnits / total
	}
	return busy
}

// withLayout returns the settings with the layout of one of LayoutStrategies.
func withLayout(current *settings.Settings, name string) (*settings.Settings, error) {
	layoutPlan, err := plan.From(current, plan.Options{})
	if err != nil {
		return nil, err
	}
	layoutPlan.Problem.Current = nil
	layout, err := computeLayout(layoutPlan.Problem, name)
	if err != nil {
		return nil, err
	}
	return layoutPlan.WithLayout(layout)
}

// computeLayout returns the layout of one of LayoutStrategies; any other name stands for the solver.
func computeLayout(problem *placement.Problem, name string) (placement.Layout, error) {
	switch name {
	case "round robin":
		return placement.RoundRobin(problem), nil
	case "by name":
		return placement.ByNameHash(problem), nil
	case "largest first":
		return placement.LargestFirst(problem), nil
	}
	solution, err := placement.Solve(problem, placement.Options{MaxSteps: 100_000})
	if err != nil {
		return nil, err
	}
	return solution.Layout, nil
}

// layoutScenario is what happens to the layout during a run.
type layoutScenario int

const (
	layoutStatic layoutScenario = iota
	layoutHallLost
	layoutRollout // from the initial layout to the solver's, step by step
)

// failoverDelay is the time from the loss of a hall until its volumes fail over to their copies.
const failoverDelay = time.Second

// scheduleHallLoss stops every disk server of one hall for the last two thirds of the run and,
// failoverDelay after the loss, fails the volumes over to their copies in other halls.
func scheduleHallLoss(run *dayRun, duration time.Duration) {
	fleet := run.fleet
	hall := Halls[run.options.Seed%uint64(len(Halls))]
	fleet.afterFunc(duration/3, func() {
		for _, node := range fleet.Settings.Nodes {
			if node.Hall == hall {
				fleet.KillDisk(node.Shard, duration*2/3)
			}
		}
		fleet.afterFunc(failoverDelay, func() {
			next, _ := plan.FailOver(fleet.CurrentSettings(), hall)
			run.recordError(fleet.putSettingsOnAllHosts(next))
		})
	})
}

// scheduleSolverLayout computes the steps from the current to the solver's layout at once, and
// applies them from a quarter of the run on until they are done or two thirds of the run's
// duration have passed since.
func scheduleSolverLayout(run *dayRun, duration time.Duration) {
	fleet := run.fleet
	layoutPlan, steps, err := solverSteps(fleet.CurrentSettings())
	if err != nil {
		run.recordError(err)
		return
	}
	preview, err := plan.From(fleet.CurrentSettings(), plan.Options{}) // a second plan: ApplyStep changes its plan, and layoutPlan is applied later
	if err != nil {
		run.recordError(err)
		return
	}
	for _, step := range steps { // the run may end after any step
		possible, err := preview.ApplyStep(step)
		if err != nil {
			run.recordError(err)
			return
		}
		fleet.addPossibleLayouts(possible)
	}
	pause := duration / 2 / time.Duration(max(len(steps), 1))
	fleet.afterFunc(duration/4, func() {
		hosts := fleet.AdminAPIs()
		defer closeAPIs(hosts)
		ctx, cancel := context.WithTimeout(context.Background(), duration*2/3)
		defer cancel()
		_, err := rollout.Read(ctx, hosts)
		if err == nil {
			err = rollout.Apply(ctx, fleet.Environment, hosts, layoutPlan, steps, pause, func(applied int) {
				run.mu.Lock()
				run.layoutSteps = applied
				run.mu.Unlock()
			})
		}
		if ctx.Err() == nil {
			run.recordError(err)
		}
	})
}

// solverSteps returns the steps from the current to the solver's layout, or those up to the point
// where no further step is possible.
func solverSteps(current *settings.Settings) (*plan.Plan, []placement.Step, error) {
	layoutPlan, err := plan.From(current, plan.Options{})
	if err != nil {
		return nil, nil, err
	}
	layout, err := computeLayout(layoutPlan.Problem, "solver")
	if err != nil {
		return nil, nil, err
	}
	steps, err := layoutPlan.Steps(layout)
	var blocked *placement.BlockedError
	if errors.As(err, &blocked) {
		err = nil
	}
	return layoutPlan, steps, err
}

// recordError keeps the first error of operations that run alongside the scheduled faults.
func (d *dayRun) recordError(err error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.err == nil {
		d.err = err
	}
}

func closeAPIs(hosts []*rollout.Host) {
	for _, h := range hosts {
		h.API.Close()
	}
}

// CurrentSettings returns the settings with which hosts start from now on.
func (f *Fleet) CurrentSettings() *settings.Settings {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.currentSettings
}

// setCurrentSettings sets the settings with which hosts start, and adds their layouts to the metadata
// of the trail.
func (f *Fleet) setCurrentSettings(current *settings.Settings) {
	f.addPossibleLayouts(current)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.currentSettings = current
}

// addPossibleLayouts adds layouts that hosts may have to the metadata of the trail.
func (f *Fleet) addPossibleLayouts(possible *settings.Settings) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.Meta.Layouts == nil {
		f.Meta.Layouts = map[string][][]int{}
	}
	for i := range possible.Volumes {
		volume := &possible.Volumes[i]
		known := slices.ContainsFunc(f.Meta.Layouts[volume.Name], func(layout []int) bool { return slices.Equal(layout, volume.Layout) })
		if !known && !slices.Equal(volume.Layout, f.Settings.Volumes[i].Layout) {
			f.Meta.Layouts[volume.Name] = append(f.Meta.Layouts[volume.Name], volume.Layout)
		}
	}
}

// putSettingsOnAllHosts puts settings on every running host, and on hosts that start later.
func (f *Fleet) putSettingsOnAllHosts(target *settings.Settings) error {
	hosts := f.AdminAPIs()
	defer closeAPIs(hosts)
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	f.setCurrentSettings(target)
	for _, h := range hosts {
		running, err := h.API.Get(ctx)
		if err != nil {
			return err
		}
		next := *target
		next.Version = running.Version
		if _, err := h.API.Put(ctx, &next, settings.ChangeOptions{}); err != nil {
			return err
		}
	}
	return nil
}

// LayoutRow summarizes the runs of one scenario with one layout.
type LayoutRow struct {
	Layout, Scenario                string
	Runs, Broken                    int
	Goodput, WorstPlan, WorstWindow []float64 // one value per run: total, of the worst plan, of the worst 10 s
	Refused, Failed, Issued         int
	Steps                           int
	FirstFailure                    string
}

// CompareLayouts runs each scenario with the seeds 1 to n: high load with each layout, the same
// with the loss of a hall, high load during a change to the solver's layout, and half the rate
// without faults, with and without that change, where any refusal is caused by the change.
func CompareLayouts(ctx context.Context, options Options, seeds, parallel int, progress io.Writer) ([]LayoutRow, error) {
	type variant struct {
		layout, scenario string
		action           layoutScenario
		calm             bool
	}
	var variants []variant
	for _, layout := range LayoutStrategies {
		variants = append(variants, variant{layout, "busy", layoutStatic, false})
	}
	for _, layout := range LayoutStrategies {
		variants = append(variants, variant{layout, "busy, a hall lost", layoutHallLost, false})
	}
	variants = append(variants, variant{"round robin", "busy, solver's applied", layoutRollout, false},
		variant{"round robin", "calm", layoutStatic, true}, variant{"round robin", "calm, solver's applied", layoutRollout, true})
	rows := make([]LayoutRow, len(variants))
	return rows, runSeeds(len(rows), seeds, parallel, progress, func(row int, seed uint64) (string, func(), error) {
		current := variants[row]
		runOptions := options
		runOptions.Seed, runOptions.Progress, runOptions.SharedStores = seed, nil, true
		if runOptions.FaultKinds = BusyTroubles; current.calm {
			runOptions.FaultKinds, runOptions.Rate, runOptions.Commands = []string{"none"}, options.Rate/2, options.Commands/2
		}
		result, steps, err := runLayoutScenario(ctx, runOptions, options.Rate, current.layout, current.action)
		return current.scenario + ", " + current.layout, func() { rows[row].add(current.layout, current.scenario, seed, result, steps) }, err
	})
}

func runLayoutScenario(ctx context.Context, options Options, rate float64, layout string, action layoutScenario) (*Result, int, error) {
	laidOut, err := withLayout(BusySettings(options.Hosts, options.Servers, rate, options.Seed), layout)
	if err != nil {
		return nil, 0, err
	}
	options.Settings = laidOut
	steps := 0
	switch action {
	case layoutHallLost:
		options.onStart = scheduleHallLoss
	case layoutRollout:
		options.onStart = scheduleSolverLayout
	}
	result, err := BadDay(ctx, options)
	if err == nil {
		steps = result.LayoutSteps
	}
	return result, steps, err
}

func (r *LayoutRow) add(layout, scenario string, seed uint64, result *Result, steps int) {
	stats := result.Checker.Stats
	r.Layout, r.Scenario = layout, scenario
	r.Runs++
	r.Steps += steps
	r.Goodput, r.WorstPlan, r.WorstWindow = append(r.Goodput, stats.Goodput()), append(r.WorstPlan, stats.WorstPlanGoodput()), append(r.WorstWindow, stats.WorstWindowGoodput(10))
	for _, class := range stats.ByClass {
		r.Refused, r.Failed, r.Issued = r.Refused+class.Refused, r.Failed+class.Failed, r.Issued+class.Issued
	}
	if !result.OK() {
		r.Broken++
		if r.FirstFailure == "" {
			r.FirstFailure = fmt.Sprintf("seed %d: %s", seed, result.failureSummary())
		}
	}
}

// PrintLayouts writes the rows as a Markdown table, and the first failure of each row.
func PrintLayouts(w io.Writer, rows []LayoutRow) error {
	tw := tabwriter.NewWriter(w, 0, 0, 1, ' ', 0)
	fmt.Fprintln(tw, "| day\t| layout\t| days\t| broken\t| goodput least\t| median\t| worst plan least\t| median\t| worst 10 s least\t| median\t| refused\t| failed\t| of\t| steps\t|")
	fmt.Fprintln(tw, "| ---\t| ---\t| ---\t| ---\t| ---\t| ---\t| ---\t| ---\t| ---\t| ---\t| ---\t| ---\t| ---\t| ---\t|")
	for _, row := range rows {
		if row.Runs == 0 {
			continue
		}
		fmt.Fprintf(tw, "| %s\t| %s\t| %d\t| %d", row.Scenario, row.Layout, row.Runs, row.Broken)
		for _, values := range [][]float64{row.Goodput, row.WorstPlan, row.WorstWindow} {
			slices.Sort(values)
			fmt.Fprintf(tw, "\t| %.3f\t| %.3f", values[0], values[len(values)/2])
		}
		fmt.Fprintf(tw, "\t| %d\t| %d\t| %d\t| %d\t|\n", row.Refused, row.Failed, row.Issued, row.Steps)
	}
	if err := tw.Flush(); err != nil {
		return err
	}
	for _, row := range rows {
		if row.FirstFailure != "" {
			fmt.Fprintf(w, "BROKEN, %s, %s: %s\n", row.Scenario, row.Layout, row.FirstFailure)
		}
	}
	return nil
}

// RunLayoutRollout makes one run under high load during which the solver's layout is applied.
func RunLayoutRollout(ctx context.Context, options Options) (*LayoutRow, error) {
	options.SharedStores, options.FaultKinds = true, BusyTroubles
	result, steps, err := runLayoutScenario(ctx, options, options.Rate, "round robin", layoutRollout)
	if err != nil {
		return nil, err
	}
	row := &LayoutRow{}
	row.add("round robin", "busy, solver's applied", options.Seed, result, steps)
	return row, nil
}
