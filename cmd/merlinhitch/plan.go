package main

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"runtime"
	"slices"
	"text/tabwriter"
	"time"

	"go.uber.org/zap"

	"merlinhitch/internal/control/settings"
	"merlinhitch/internal/fleet/placement"
	"merlinhitch/internal/fleet/plan"
	"merlinhitch/internal/fleet/rollout"
	"merlinhitch/internal/observe/chart"
	"merlinhitch/internal/runtime/env"
	"merlinhitch/internal/simulation/lab"
)

type planCmd struct {
	Make  planMakeCmd  `cmd:"" default:"withargs" help:"Work out a layout for the settings in force, show it, and apply it if asked."`
	Days  planDaysCmd  `cmd:"" help:"Play busy days through the gateway with the solver's layout and three made without one."`
	Bench planBenchCmd `cmd:"" help:"Measure the solver beside layouts made without one, on simulated fleets."`
}

type planMakeCmd struct {
	keysFlag
	Admin    []string      `default:"${admin}" help:"Admin addresses of all gateways of the service."`
	Snapshot string        `help:"Plan for a saved snapshot instead; nothing can be applied." placeholder:"FILE"`
	Measured bool          `help:"Take the rates that the gateways measured instead of the typed ones."`
	Lost     []string      `help:"Halls that are lost." placeholder:"HALL"`
	Limit    time.Duration `default:"30s" help:"Time after which the search gives the best so far."`
	Near     float64       `default:"0.01" help:"Part by which uses and cost may be above the best found, if less is moved for it."`
	JSON     bool          `name:"json" help:"Print JSON."`
	Picture  string        `help:"Draw use by node and hall, before and after, with each hall lost, as a PNG." placeholder:"FILE"`
	Apply    bool          `help:"Hand the steps to the gateways one by one; stop at the first that is refused."`
	Pause    time.Duration `default:"1s" help:"Wait between steps."`
}

func (c *planMakeCmd) Run() error {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	if c.Snapshot != "" && (c.Apply || c.Measured) {
		return errors.New("plan: a snapshot has no gateways to measure or apply with")
	}
	hosts, err := c.hosts(c.Admin)
	if err != nil {
		return err
	}
	defer closeAll(hosts)
	pl, err := c.read(ctx, hosts)
	if err != nil {
		return err
	}
	begin := time.Now()
	opt := placement.Options{Stop: func() bool { return time.Since(begin) > c.Limit || ctx.Err() != nil }, Near: c.Near}
	r, err := placement.Solve(pl.Problem, opt)
	if err != nil {
		return c.explain(pl.Problem, err)
	}
	steps, err := pl.Steps(r.Layout)
	var blocked *placement.BlockedError
	if err != nil && !errors.As(err, &blocked) {
		return err
	}
	var names []string
	if blocked != nil {
		names = blocked.Volumes
	}
	if err := c.show(pl, r, pl.Report(r, steps, names)); err != nil || !c.Apply {
		return err
	}
	return rollout.Apply(ctx, env.NewReal(), hosts, pl, steps, c.Pause, func(n int) {
		fmt.Fprintf(os.Stderr, "step %d of %d is in force\n", n, len(steps))
	})
}

func (c *planMakeCmd) read(ctx context.Context, hosts []*rollout.Host) (*plan.Plan, error) {
	if c.Snapshot != "" {
		s, err := settings.Load(c.Snapshot, nil)
		if err != nil && !errors.Is(err, settings.ErrNoKey) { // a layout needs no secret
			return nil, err
		}
		return plan.From(s, plan.Options{Lost: c.Lost})
	}
	ctx, cancel := context.WithTimeout(ctx, apiTime)
	defer cancel()
	s, err := rollout.Read(ctx, hosts)
	if err != nil {
		return nil, err
	}
	opt := plan.Options{Lost: c.Lost}
	if c.Measured {
		if opt.Measured, err = rollout.Rates(ctx, hosts); err != nil {
			return nil, err
		}
	}
	return plan.From(s, opt)
}

// explain says why there is no layout: the constraints that contradict each other
// and the cheapest way out.
func (c *planMakeCmd) explain(p *placement.Problem, err error) error {
	if !errors.Is(err, placement.ErrNoLayout) && !errors.Is(err, placement.ErrStopped) {
		return err
	}
	begin := time.Now()
	conflict, cerr := placement.FindConflict(p, placement.Options{Stop: func() bool { return time.Since(begin) > c.Limit }, Steps: 200_000})
	if cerr != nil || conflict == nil {
		demand, capacity := 0.0, 0.0
		for _, v := range p.Volumes {
			demand += v.Rate * (1 + float64(v.Copies-1)*v.Writes)
		}
		for _, n := range p.Nodes {
			capacity += n.Capacity
		}
		fmt.Printf("%v; asked for: %.1f units a second with copies, capacity: %.1f\n", err, demand, capacity)
		return errSaid
	}
	fmt.Println("no layout keeps all of these together; without any one of them there would be one:")
	for _, w := range conflict.Words(p) {
		fmt.Println(" ", w)
	}
	return errSaid
}

func (c *planMakeCmd) show(pl *plan.Plan, r *placement.Result, rep *plan.Report) error {
	if c.Picture != "" {
		if err := drawUses(c.Picture, pl, r.Layout); err != nil {
			return err
		}
	}
	if c.JSON {
		return printJSON(rep)
	}
	return rep.Print(os.Stdout)
}

func drawUses(file string, pl *plan.Plan, l placement.Layout) error {
	h := &chart.Heat{Title: "use of nodes: load over capacity", Full: 1}
	order := make([]int, len(pl.Problem.Nodes))
	for n := range order {
		order[n] = n
	}
	slices.SortStableFunc(order, func(a, b int) int { return cmp.Compare(pl.Problem.Nodes[a].Hall, pl.Problem.Nodes[b].Hall) })
	h.Cells = make([][]float64, len(order))
	for _, n := range order {
		h.Rows = append(h.Rows, pl.Problem.Nodes[n].Hall+" "+pl.Problem.Nodes[n].Name)
	}
	for _, side := range []struct {
		name   string
		layout placement.Layout
	}{{"before", pl.Current}, {"after", l}} {
		for _, cs := range pl.Cases() {
			h.Cols = append(h.Cols, side.name+"\n"+cs.Name)
			for i, uses := 0, pl.Uses(side.layout, cs.Lost); i < len(order); i++ {
				h.Cells[i] = append(h.Cells[i], uses[order[i]])
			}
		}
	}
	return h.Draw(file)
}

type planDaysCmd struct {
	Seeds    int     `default:"10" help:"Seeds."`
	Commands int     `default:"5000" help:"Commands that clients begin on a day."`
	Rate     float64 `default:"260" help:"Commands a second, in the mean of an ordinary day."`
	Parallel int     `default:"5" help:"Days at once."`
	Chart    string  `help:"Draw the medians as a PNG." placeholder:"FILE"`
}

func (c *planDaysCmd) Run(log *zap.Logger) error {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	rows, err := lab.LayoutDays(ctx, lab.Options{Commands: c.Commands, Hosts: 3, Servers: 9, Rate: c.Rate,
		Log: log.WithOptions(zap.IncreaseLevel(zap.ErrorLevel))}, c.Seeds, max(c.Parallel, 1), os.Stderr)
	if err != nil {
		return err
	}
	if err := lab.PrintLayouts(os.Stdout, rows); err != nil {
		return err
	}
	if c.Chart != "" {
		if err := drawLayouts(c.Chart, rows); err != nil {
			return err
		}
	}
	for _, r := range rows {
		if r.Bad > 0 {
			return errSaid
		}
	}
	return nil
}

func drawLayouts(file string, rows []lab.LayoutRow) error {
	var days []string
	by := map[string]*chart.Series{}
	for _, r := range rows[:2*len(lab.Layouts)] {
		if !slices.Contains(days, r.Day) {
			days = append(days, r.Day)
		}
		if by[r.Layout] == nil {
			by[r.Layout] = &chart.Series{Name: r.Layout}
		}
		by[r.Layout].Y = append(by[r.Layout].Y, r.Goodput[len(r.Goodput)/2])
	}
	var series []chart.Series
	for _, l := range lab.Layouts {
		series = append(series, *by[l])
	}
	return chart.Bars(file, "goodput of busy days, median of the seeds", "part of the worth asked for", days, series...)
}

type planBenchCmd struct {
	Nodes []int         `default:"10,47,200,1000" help:"Sizes; eight volumes a node."`
	Seed  uint64        `default:"1" help:"Draws the fleets."`
	Limit time.Duration `default:"30s" help:"Time after which a search gives the best so far."`
}

func (c *planBenchCmd) Run() error {
	tw := tabwriter.NewWriter(os.Stdout, 0, 0, 1, ' ', 0)
	fmt.Fprintln(tw, "| nodes\t| volumes\t| layout\t| seconds\t| MiB allocated\t| highest use\t| after worst loss\t| unmet worth\t| constraints broken\t| gap\t| gap after loss\t|")
	fmt.Fprintln(tw, "| ---\t| ---\t| ---\t| ---\t| ---\t| ---\t| ---\t| ---\t| ---\t| ---\t| ---\t|")
	for _, n := range c.Nodes {
		if n < 3 {
			return fmt.Errorf("plan bench: a fleet of %d nodes has no three halls", n)
		}
		p := placement.Fleet(n, c.Seed)
		fmt.Fprintf(os.Stderr, "%d nodes, %d volumes\n", n, len(p.Volumes))
		if err := c.solve(tw, p); err != nil {
			return err
		}
		for _, o := range []struct {
			name string
			make func(*placement.Problem) placement.Layout
		}{{"round robin", placement.RoundRobin}, {"by name", placement.ByName}, {"largest first", placement.LargestFirst}} {
			begin, mem := time.Now(), allocated()
			l := o.make(p)
			row(tw, p, o.name, l, time.Since(begin), allocated()-mem, "\t|")
		}
	}
	return tw.Flush()
}

func (c *planBenchCmd) solve(tw *tabwriter.Writer, p *placement.Problem) error {
	begin, mem := time.Now(), allocated()
	r, err := placement.Solve(p, placement.Options{Stop: func() bool { return time.Since(begin) > c.Limit }})
	if err != nil {
		return err
	}
	row(tw, p, "solver", r.Layout, time.Since(begin), allocated()-mem, fmt.Sprintf("%.2f%%\t| %.1f%%", 100*r.Gap(), 100*r.LossGap()))
	return nil
}

func row(tw *tabwriter.Writer, p *placement.Problem, name string, l placement.Layout, took time.Duration, mem uint64, gap string) {
	o, broken := placement.Check(p, l)
	fmt.Fprintf(tw, "| %d\t| %d\t| %s\t| %.3f\t| %.1f\t| %.3f\t| %.3f\t| %.1f\t| %d\t| %s\t|\n", len(p.Nodes), len(p.Volumes), name, took.Seconds(),
		float64(mem)/(1<<20), o.Use, o.LossUse, o.Unmet, len(broken), gap)
}

func allocated() uint64 {
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.TotalAlloc
}
