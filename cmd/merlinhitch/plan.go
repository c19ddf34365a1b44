package main

import (
	"fmt"
	"os"
	"runtime"
	"text/tabwriter"
	"time"

	"merlinhitch/placement"
)

type planCmd struct {
	Bench planBenchCmd `cmd:"" help:"Measure the solver beside layouts made without one, on simulated fleets."`
}

type planBenchCmd struct {
	Nodes []int         `default:"10,47,200,1000" help:"Sizes; eight volumes a node."`
	Seed  uint64        `default:"1" help:"Draws the fleets."`
	Limit time.Duration `default:"30s" help:"Time after which a search gives the best so far."`
}

func (c *planBenchCmd) Run() error {
	tw := tabwriter.NewWriter(os.Stdout, 0, 0, 1, ' ', 0)
	fmt.Fprintln(tw, "| nodes\t| volumes\t| layout\t| seconds\t| MiB allocated\t| highest use\t| after worst loss\t| unmet worth\t| constraints broken\t| gap\t|")
	fmt.Fprintln(tw, "| ---\t| ---\t| ---\t| ---\t| ---\t| ---\t| ---\t| ---\t| ---\t| ---\t|")
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
			row(tw, p, o.name, l, time.Since(begin), allocated()-mem, "")
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
	row(tw, p, "solver", r.Layout, time.Since(begin), allocated()-mem, fmt.Sprintf("%.2f%%", 100*r.Gap()))
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
