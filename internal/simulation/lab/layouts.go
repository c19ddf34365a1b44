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

// LayoutStrategies names the ways of laying volumes out that are compared.
var LayoutStrategies = []string{"solver", "round robin", "by name", "largest first"}

// BusyTroubles are the troubles of a busy day: more is asked for, and unevenly.
var BusyTroubles = []string{"burst", "hot_key", "tenant_burst"}

// meanCommandUnits is what a command of the crowd counts in the mean, retries aside.
const meanCommandUnits = 2.2

// writeWorkFactor is the work of the crowd's units against that of reads alone.
const writeWorkFactor = 1.2

// BusySettings is a service whose nodes differ threefold in each hall and whose volumes differ
// thirtyfold, asked for so many commands a second in the mean.
func BusySettings(hosts, servers int, rate float64, seed uint64) *settings.Settings {
	s := settings.Example(hosts, servers)
	rng := rand.New(rand.NewPCG(seed, 11))
	s.Placement.Parts = 8
	work := DefaultMachine(s).UnitWork
	for hall := range Halls { // each has as much, unevenly within
		cores := rng.Perm(3)
		for k, i := 0, hall; i < servers; k, i = k+1, i+len(Halls) {
			s.Nodes[i].Capacity = float64(1+cores[k%3]) * 1000 / work / writeWorkFactor
		}
	}
	total := 0.0
	for i := range s.Volumes {
		v := &s.Volumes[i]
		x := rng.Float64()
		v.Rate, v.Layout, v.MaxNodes = s.RateOf(v)*(0.2+5.8*x*x*x), []int{i % servers}, 2+i%3
		v.WriteFraction = 0 // copies here are only read, once their hall is lost
		total += v.Rate
	}
	for i := range s.Volumes {
		s.Volumes[i].Rate *= rate * meanCommandUnits / total
	}
	return s
}

// withLayout returns the settings with one of Layouts in force.
func withLayout(s *settings.Settings, name string) (*settings.Settings, error) {
	pl, err := plan.From(s, plan.Options{})
	if err != nil {
		return nil, err
	}
	pl.Problem.Current = nil
	l, err := computeLayout(pl.Problem, name)
	if err != nil {
		return nil, err
	}
	return pl.Whole(l)
}

func computeLayout(p *placement.Problem, name string) (placement.Layout, error) {
	switch name {
	case "round robin":
		return placement.RoundRobin(p), nil
	case "by name":
		return placement.ByName(p), nil
	case "largest first":
		return placement.LargestFirst(p), nil
	}
	r, err := placement.Solve(p, placement.Options{Steps: 100_000})
	if err != nil {
		return nil, err
	}
	return r.Layout, nil
}

// layoutScenario is what happens to the layout in a day.
type layoutScenario int

const (
	layoutStatic layoutScenario = iota
	layoutHallLost
	layoutRollout // from round robin to the solver's, step by step
)

// failoverDelay is how long after a hall is lost its copies are served from: what a
// watchful tool needs to see it.
const failoverDelay = time.Second

// scheduleHallLoss ends every disk server of a hall a third into the day, until its end, and
// then has the other halls serve what they have copies of.
func scheduleHallLoss(d *dayRun, span time.Duration) {
	f := d.fleet
	hall := Halls[d.options.Seed%uint64(len(Halls))]
	f.afterFunc(span/3, func() {
		for _, n := range f.Settings.Nodes {
			if n.Hall == hall {
				f.KillDisk(n.Shard, span*2/3)
			}
		}
		f.afterFunc(failoverDelay, func() {
			next, _ := plan.FailOver(f.CurrentSettings(), hall)
			d.recordError(f.putSettingsOnAllHosts(next))
		})
	})
}

// scheduleSolverLayout takes the layout in force to the solver's, from a quarter of the day on
// and as far as the day lasts. It is worked out before the day begins.
func scheduleSolverLayout(d *dayRun, span time.Duration) {
	f := d.fleet
	pl, steps, err := solverSteps(f.CurrentSettings())
	if err != nil {
		d.recordError(err)
		return
	}
	again, err := plan.From(f.CurrentSettings(), plan.Options{}) // With moves a plan, and pl is still to be applied
	if err != nil {
		d.recordError(err)
		return
	}
	for _, st := range steps { // a host may have any of them when the day ends
		s, err := again.With(st)
		if err != nil {
			d.recordError(err)
			return
		}
		f.addPossibleLayouts(s)
	}
	pause := span / 2 / time.Duration(max(len(steps), 1))
	f.afterFunc(span/4, func() {
		hosts := f.AdminAPIs()
		defer closeAPIs(hosts)
		ctx, cancel := context.WithTimeout(context.Background(), span*2/3)
		defer cancel()
		_, err := rollout.Read(ctx, hosts)
		if err == nil {
			err = rollout.Apply(ctx, f.Environment, hosts, pl, steps, pause, func(n int) {
				d.mu.Lock()
				d.layoutSteps = n
				d.mu.Unlock()
			})
		}
		if ctx.Err() == nil {
			d.recordError(err)
		}
	})
}

// solverSteps are the way from the layout in force to the solver's, as far as there is
// one.
func solverSteps(s *settings.Settings) (*plan.Plan, []placement.Step, error) {
	pl, err := plan.From(s, plan.Options{})
	if err != nil {
		return nil, nil, err
	}
	l, err := computeLayout(pl.Problem, "solver")
	if err != nil {
		return nil, nil, err
	}
	steps, err := pl.Steps(l)
	var blocked *placement.BlockedError
	if errors.As(err, &blocked) {
		err = nil
	}
	return pl, steps, err
}

// recordError keeps the first error of what is done beside the script.
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

// CurrentSettings is the settings that hosts start with now.
func (f *Fleet) CurrentSettings() *settings.Settings {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.currentSettings
}

// setCurrentSettings notes new layouts, for hosts that start from now on and for the trail.
func (f *Fleet) setCurrentSettings(s *settings.Settings) {
	f.addPossibleLayouts(s)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.currentSettings = s
}

// addPossibleLayouts tells the trail's reader of layouts that hosts may have.
func (f *Fleet) addPossibleLayouts(s *settings.Settings) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.Meta.Layouts == nil {
		f.Meta.Layouts = map[string][][]int{}
	}
	for i := range s.Volumes {
		v := &s.Volumes[i]
		known := slices.ContainsFunc(f.Meta.Layouts[v.Name], func(l []int) bool { return slices.Equal(l, v.Layout) })
		if !known && !slices.Equal(v.Layout, f.Settings.Volumes[i].Layout) {
			f.Meta.Layouts[v.Name] = append(f.Meta.Layouts[v.Name], v.Layout)
		}
	}
}

// putSettingsOnAllHosts hands settings to every host that is up.
func (f *Fleet) putSettingsOnAllHosts(s *settings.Settings) error {
	hosts := f.AdminAPIs()
	defer closeAPIs(hosts)
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	f.setCurrentSettings(s)
	for _, h := range hosts {
		has, err := h.API.Get(ctx)
		if err != nil {
			return err
		}
		next := *s
		next.Version = has.Version
		if _, err := h.API.Put(ctx, &next, settings.ChangeOptions{}); err != nil {
			return err
		}
	}
	return nil
}

// LayoutRow is one layout over its seeds.
type LayoutRow struct {
	Layout, Scenario                string
	Runs, Broken                    int
	Goodput, WorstPlan, WorstWindow []float64 // of a day, of its worst plan, of its worst 10 s
	Refused, Failed, Issued         int
	Steps                           int
	FirstFailure                    string
}

// CompareLayouts plays the busy day over seeds 1 to n with each layout, with a hall lost
// too, and with the solver's layout applied in the midst; then a calm day at half the
// rate with and without the change, where any refusal would be the change's own.
func CompareLayouts(ctx context.Context, opt Options, n, parallel int, progress io.Writer) ([]LayoutRow, error) {
	type kind struct {
		layout, name string
		shape        layoutScenario
		calm         bool
	}
	var list []kind
	for _, l := range LayoutStrategies {
		list = append(list, kind{l, "busy", layoutStatic, false})
	}
	for _, l := range LayoutStrategies {
		list = append(list, kind{l, "busy, a hall lost", layoutHallLost, false})
	}
	list = append(list, kind{"round robin", "busy, solver's applied", layoutRollout, false},
		kind{"round robin", "calm", layoutStatic, true}, kind{"round robin", "calm, solver's applied", layoutRollout, true})
	rows := make([]LayoutRow, len(list))
	return rows, runSeeds(len(rows), n, parallel, progress, func(row int, seed uint64) (string, func(), error) {
		k := list[row]
		o := opt
		o.Seed, o.Progress, o.SharedStores = seed, nil, true
		if o.FaultKinds = BusyTroubles; k.calm {
			o.FaultKinds, o.Rate, o.Commands = []string{"none"}, opt.Rate/2, opt.Commands/2
		}
		res, steps, err := runLayoutScenario(ctx, o, opt.Rate, k.layout, k.shape)
		return k.name + ", " + k.layout, func() { rows[row].add(k.layout, k.name, seed, res, steps) }, err
	})
}

func runLayoutScenario(ctx context.Context, opt Options, rate float64, layout string, shape layoutScenario) (*Result, int, error) {
	set, err := withLayout(BusySettings(opt.Hosts, opt.Servers, rate, opt.Seed), layout)
	if err != nil {
		return nil, 0, err
	}
	opt.Settings = set
	steps := 0
	switch shape {
	case layoutHallLost:
		opt.onStart = scheduleHallLoss
	case layoutRollout:
		opt.onStart = scheduleSolverLayout
	}
	res, err := BadDay(ctx, opt)
	if err == nil {
		steps = res.LayoutSteps
	}
	return res, steps, err
}

func (r *LayoutRow) add(layout, name string, seed uint64, res *Result, steps int) {
	t := res.Checker.Stats
	r.Layout, r.Scenario = layout, name
	r.Runs++
	r.Steps += steps
	r.Goodput, r.WorstPlan, r.WorstWindow = append(r.Goodput, t.Goodput()), append(r.WorstPlan, t.WorstPlanGoodput()), append(r.WorstWindow, t.WorstWindowGoodput(10))
	for _, x := range t.ByClass {
		r.Refused, r.Failed, r.Issued = r.Refused+x.Refused, r.Failed+x.Failed, r.Issued+x.Issued
	}
	if !res.OK() {
		r.Broken++
		if r.FirstFailure == "" {
			r.FirstFailure = fmt.Sprintf("seed %d: %s", seed, res.failureSummary())
		}
	}
}

// PrintLayouts writes the rows as a table that is also Markdown.
func PrintLayouts(w io.Writer, rows []LayoutRow) error {
	tw := tabwriter.NewWriter(w, 0, 0, 1, ' ', 0)
	fmt.Fprintln(tw, "| day\t| layout\t| days\t| broken\t| goodput least\t| median\t| worst plan least\t| median\t| worst 10 s least\t| median\t| refused\t| failed\t| of\t| steps\t|")
	fmt.Fprintln(tw, "| ---\t| ---\t| ---\t| ---\t| ---\t| ---\t| ---\t| ---\t| ---\t| ---\t| ---\t| ---\t| ---\t| ---\t|")
	for _, r := range rows {
		if r.Runs == 0 {
			continue
		}
		fmt.Fprintf(tw, "| %s\t| %s\t| %d\t| %d", r.Scenario, r.Layout, r.Runs, r.Broken)
		for _, list := range [][]float64{r.Goodput, r.WorstPlan, r.WorstWindow} {
			slices.Sort(list)
			fmt.Fprintf(tw, "\t| %.3f\t| %.3f", list[0], list[len(list)/2])
		}
		fmt.Fprintf(tw, "\t| %d\t| %d\t| %d\t| %d\t|\n", r.Refused, r.Failed, r.Issued, r.Steps)
	}
	if err := tw.Flush(); err != nil {
		return err
	}
	for _, r := range rows {
		if r.FirstFailure != "" {
			fmt.Fprintf(w, "BROKEN, %s, %s: %s\n", r.Scenario, r.Layout, r.FirstFailure)
		}
	}
	return nil
}

// RunLayoutRollout is one busy day in the midst of which the solver's layout is applied.
func RunLayoutRollout(ctx context.Context, opt Options) (*LayoutRow, error) {
	opt.SharedStores, opt.FaultKinds = true, BusyTroubles
	res, steps, err := runLayoutScenario(ctx, opt, opt.Rate, "round robin", layoutRollout)
	if err != nil {
		return nil, err
	}
	r := &LayoutRow{}
	r.add("round robin", "busy, solver's applied", opt.Seed, res, steps)
	return r, nil
}
