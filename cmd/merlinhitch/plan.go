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
	Make  planMakeCmd  `cmd:"" default:"withargs" help:"Compute a layout for the settings in force, print it, and with --apply roll it out."`
	Days  planDaysCmd  `cmd:"" help:"Run busy workloads through the gateway with the solver's layout and three baseline layouts."`
	Bench planBenchCmd `cmd:"" help:"Benchmark the solver against baseline layouts on generated fleets."`
}

type planMakeCmd struct {
	keysFlag
	Admin    []string      `default:"${admin}" help:"Admin addresses of all gateways of the service."`
	Snapshot string        `help:"Plan from a saved settings snapshot instead; excludes --apply and --measured." placeholder:"FILE"`
	Measured bool          `help:"Use the rates that the gateways measured instead of the configured ones."`
	Lost     []string      `help:"Halls to treat as lost." placeholder:"HALL"`
	Limit    time.Duration `default:"30s" help:"Time limit of the search, after which the best layout found is used."`
	Near     float64       `default:"0.01" help:"Fraction by which utilization and cost may exceed the best found in order to move less."`
	JSON     bool          `name:"json" help:"Print JSON."`
	Picture  string        `help:"Write a PNG heat map of node utilization before and after, also with each hall lost." placeholder:"FILE"`
	Apply    bool          `help:"Apply the steps at the gateways one by one; stop at the first that is refused."`
	Pause    time.Duration `default:"1s" help:"Pause between steps."`
}

func (c *planMakeCmd) Run() error {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	if c.Snapshot != "" && (c.Apply || c.Measured) {
		return errors.New("plan: --snapshot cannot be combined with --apply or --measured")
	}
	hosts, err := c.hosts(c.Admin)
	if err != nil {
		return err
	}
	defer closeHosts(hosts)
	layoutPlan, err := c.readPlan(ctx, hosts)
	if err != nil {
		return err
	}
	begin := time.Now()
	options := placement.Options{Stop: func() bool { return time.Since(begin) > c.Limit || ctx.Err() != nil }, MaxRegression: c.Near}
	result, err := placement.Solve(layoutPlan.Problem, options)
	if err != nil {
		return c.explainNoLayout(layoutPlan.Problem, err)
	}
	steps, err := layoutPlan.Steps(result.Layout)
	var blocked *placement.BlockedError
	if err != nil && !errors.As(err, &blocked) {
		return err
	}
	var blockedVolumes []string
	if blocked != nil {
		blockedVolumes = blocked.Volumes
	}
	if err := c.printPlan(layoutPlan, result, layoutPlan.Report(result, steps, blockedVolumes)); err != nil || !c.Apply {
		return err
	}
	return rollout.Apply(ctx, env.NewReal(), hosts, layoutPlan, steps, c.Pause, func(n int) {
		fmt.Fprintf(os.Stderr, "step %d of %d is in force\n", n, len(steps))
	})
}

func (c *planMakeCmd) readPlan(ctx context.Context, hosts []*rollout.Host) (*plan.Plan, error) {
	if c.Snapshot != "" {
		source, err := settings.Load(c.Snapshot, nil)
		if err != nil && !errors.Is(err, settings.ErrNoKey) { // the plan does not use the encrypted secrets
			return nil, err
		}
		return plan.From(source, plan.Options{LostHalls: c.Lost})
	}
	ctx, cancel := context.WithTimeout(ctx, apiTimeout)
	defer cancel()
	source, err := rollout.Read(ctx, hosts)
	if err != nil {
		return nil, err
	}
	options := plan.Options{LostHalls: c.Lost}
	if c.Measured {
		if options.Measured, err = rollout.Rates(ctx, hosts); err != nil {
			return nil, err
		}
	}
	return plan.From(source, options)
}

// explainNoLayout prints a minimal set of conflicting constraints and how to resolve them at
// least cost. If none is found, it prints the total demand and capacity instead.
func (c *planMakeCmd) explainNoLayout(problem *placement.Problem, err error) error {
	if !errors.Is(err, placement.ErrNoLayout) && !errors.Is(err, placement.ErrStopped) {
		return err
	}
	begin := time.Now()
	conflict, conflictErr := placement.FindConflict(problem, placement.Options{Stop: func() bool { return time.Since(begin) > c.Limit }, MaxSteps: 200_000})
	if conflictErr != nil || conflict == nil {
		demand, capacity := 0.0, 0.0
		for _, volume := range problem.Volumes {
			demand += volume.Rate * (1 + float64(volume.Copies-1)*volume.WriteFraction)
		}
		for _, node := range problem.Nodes {
			capacity += node.Capacity
		}
		fmt.Printf("%v; demand with copies: %.1f units/s, capacity: %.1f units/s\n", err, demand, capacity)
		return errReported
	}
	fmt.Println("no layout satisfies all of these constraints; dropping any one of them would allow one:")
	for _, constraint := range conflict.Describe(problem) {
		fmt.Println(" ", constraint)
	}
	return errReported
}

func (c *planMakeCmd) printPlan(layoutPlan *plan.Plan, result *placement.Result, report *plan.Report) error {
	if c.Picture != "" {
		if err := drawUtilization(c.Picture, layoutPlan, result.Layout); err != nil {
			return err
		}
	}
	if c.JSON {
		return printJSON(report)
	}
	return report.Print(os.Stdout)
}

// drawUtilization draws node utilization before and after the plan, also with each hall lost.
func drawUtilization(file string, layoutPlan *plan.Plan, proposed placement.Layout) error {
	heat := &chart.Heat{Title: "node utilization: load / capacity", Full: 1}
	order := make([]int, len(layoutPlan.Problem.Nodes))
	for node := range order {
		order[node] = node
	}
	slices.SortStableFunc(order, func(a, b int) int {
		return cmp.Compare(layoutPlan.Problem.Nodes[a].Hall, layoutPlan.Problem.Nodes[b].Hall)
	})
	heat.Cells = make([][]float64, len(order))
	for _, node := range order {
		heat.Rows = append(heat.Rows, layoutPlan.Problem.Nodes[node].Hall+" "+layoutPlan.Problem.Nodes[node].Name)
	}
	for _, side := range []struct {
		name   string
		layout placement.Layout
	}{{"before", layoutPlan.Current}, {"after", proposed}} {
		for _, lossCase := range layoutPlan.LossCases() {
			heat.Cols = append(heat.Cols, side.name+"\n"+lossCase.Name)
			for i, utilization := 0, layoutPlan.Utilization(side.layout, lossCase.LostHall); i < len(order); i++ {
				heat.Cells[i] = append(heat.Cells[i], utilization[order[i]])
			}
		}
	}
	return heat.Draw(file)
}

type planDaysCmd struct {
	Seeds    int     `default:"10" help:"Number of seeds."`
	Commands int     `default:"5000" help:"Commands that clients start in a run."`
	Rate     float64 `default:"260" help:"Mean rate in commands per second under ordinary load."`
	Parallel int     `default:"5" help:"Number of runs in parallel."`
	Chart    string  `help:"Write a PNG chart of the medians." placeholder:"FILE"`
}

func (c *planDaysCmd) Run(log *zap.Logger) error {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	rows, err := lab.CompareLayouts(ctx, lab.Options{Commands: c.Commands, Hosts: 3, Servers: 9, Rate: c.Rate,
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
	for _, row := range rows {
		if row.Broken > 0 {
			return errReported
		}
	}
	return nil
}

func drawLayouts(file string, rows []lab.LayoutRow) error {
	var days []string
	byLayout := map[string]*chart.Series{}
	for _, row := range rows[:2*len(lab.LayoutStrategies)] {
		if !slices.Contains(days, row.Scenario) {
			days = append(days, row.Scenario)
		}
		if byLayout[row.Layout] == nil {
			byLayout[row.Layout] = &chart.Series{Name: row.Layout}
		}
		byLayout[row.Layout].Y = append(byLayout[row.Layout].Y, row.Goodput[len(row.Goodput)/2])
	}
	var series []chart.Series
	for _, layout := range lab.LayoutStrategies {
		series = append(series, *byLayout[layout])
	}
	return chart.Bars(file, "goodput under busy workloads, median of the seeds", "fraction of offered value", days, series...)
}

type planBenchCmd struct {
	Nodes []int         `default:"10,47,200,1000" help:"Numbers of nodes in a fleet, with eight volumes per node."`
	Seed  uint64        `default:"1" help:"Seed of the fleets."`
	Limit time.Duration `default:"30s" help:"Time limit of a search, after which the best layout found is used."`
}

func (c *planBenchCmd) Run() error {
	table := tabwriter.NewWriter(os.Stdout, 0, 0, 1, ' ', 0)
	fmt.Fprintln(table, "| nodes\t| volumes\t| layout\t| seconds\t| MiB allocated\t| max utilization\t| after worst loss\t| unmet value\t| constraints violated\t| gap\t| gap after loss\t|")
	fmt.Fprintln(table, "| ---\t| ---\t| ---\t| ---\t| ---\t| ---\t| ---\t| ---\t| ---\t| ---\t| ---\t|")
	for _, nodeCount := range c.Nodes {
		if nodeCount < 3 {
			return fmt.Errorf("plan bench: %d nodes are too few for three halls", nodeCount)
		}
		problem := placement.SyntheticProblem(nodeCount, c.Seed)
		fmt.Fprintf(os.Stderr, "%d nodes, %d volumes\n", nodeCount, len(problem.Volumes))
		if err := c.benchSolver(table, problem); err != nil {
			return err
		}
		for _, baseline := range []struct {
			name string
			make func(*placement.Problem) placement.Layout
		}{{"round robin", placement.RoundRobin}, {"by name", placement.ByNameHash}, {"largest first", placement.LargestFirst}} {
			begin, allocatedBefore := time.Now(), totalAllocatedBytes()
			layout := baseline.make(problem)
			printBenchRow(table, problem, baseline.name, layout, time.Since(begin), totalAllocatedBytes()-allocatedBefore, "\t|")
		}
	}
	return table.Flush()
}

func (c *planBenchCmd) benchSolver(table *tabwriter.Writer, problem *placement.Problem) error {
	begin, allocatedBefore := time.Now(), totalAllocatedBytes()
	result, err := placement.Solve(problem, placement.Options{Stop: func() bool { return time.Since(begin) > c.Limit }})
	if err != nil {
		return err
	}
	printBenchRow(table, problem, "solver", result.Layout, time.Since(begin), totalAllocatedBytes()-allocatedBefore, fmt.Sprintf("%.2f%%\t| %.1f%%", 100*result.Gap(), 100*result.LossGap()))
	return nil
}

func printBenchRow(table *tabwriter.Writer, problem *placement.Problem, name string, layout placement.Layout, elapsed time.Duration, bytesAllocated uint64, gap string) {
	objective, broken := placement.Check(problem, layout)
	fmt.Fprintf(table, "| %d\t| %d\t| %s\t| %.3f\t| %.1f\t| %.3f\t| %.3f\t| %.1f\t| %d\t| %s\t|\n", len(problem.Nodes), len(problem.Volumes), name, elapsed.Seconds(),
		float64(bytesAllocated)/(1<<20), objective.Use, objective.LossUse, objective.Unmet, len(broken), gap)
}

func totalAllocatedBytes() uint64 {
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.TotalAlloc
}
