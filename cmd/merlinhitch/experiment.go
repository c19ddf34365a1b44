package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"runtime"
	"time"

	"merlinhitch/internal/simulation/lab"
)

type experimentCmd struct {
	Run     experimentRunCmd     `cmd:"" default:"withargs" help:"Make every run of a grid in a virtual world; keep rows, table and charts."`
	Compare experimentCompareCmd `cmd:"" help:"Compare two experiments run for run; what is within noise is no gain."`
}

type experimentRunCmd struct {
	Hosts    []int     `default:"3,10,46,100,170,230" help:"Numbers of hosts."`
	Servers  []int     `default:"47" help:"Numbers of disk servers."`
	Rates    []float64 `default:"760" help:"Commands a second."`
	Loads    []float64 `default:"1" help:"Times the rate."`
	Layouts  []string  `default:"" help:"How volumes lie: narrow, wide, or as the example has them." placeholder:"LAYOUT,..."`
	Troubles []string  `default:"none,mass_restart,all" help:"A kind, none, all (of the bench) or world (every kind)."`
	Seeds    int       `default:"3" help:"Seeds of each cell."`
	Seconds  float64   `default:"40" help:"Virtual seconds of a run."`
	Figure   string    `help:"A figure of the settings that varies, by path, as limits.max_attempts." placeholder:"PATH"`
	Values   []float64 `help:"Its values." placeholder:"V,..."`
	Parallel int       `help:"Runs at once; by default as many as processors."`
	Out      string    `default:"experiment" help:"Folder for the results." placeholder:"DIR"`
}

func (c *experimentRunCmd) Run() error {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	if c.Parallel == 0 {
		c.Parallel = runtime.GOMAXPROCS(0)
	}
	if len(c.Layouts) == 0 {
		c.Layouts = []string{""}
	}
	rows, seconds, err := lab.Experiment(ctx, lab.Grid{Hosts: c.Hosts, Servers: c.Servers, Rates: c.Rates, Loads: c.Loads, Layouts: c.Layouts, Troubles: c.Troubles,
		Seeds: c.Seeds, Span: time.Duration(c.Seconds * float64(time.Second)), Figure: c.Figure, Values: c.Values, Parallel: c.Parallel}, os.Stderr)
	if err != nil {
		return err
	}
	if err := lab.SaveExperiment(c.Out, rows, seconds); err != nil {
		return err
	}
	if err := lab.PrintExperiment(os.Stdout, rows); err != nil {
		return err
	}
	fmt.Println("rows, table and charts:", filepath.Clean(c.Out))
	for _, row := range rows {
		if row.Failure != "" {
			fmt.Printf("%d hosts, %d servers, %s, seed %d: %s\n", row.Hosts, row.Servers, row.Trouble, row.Seed, row.Failure)
			err = errReported
		}
	}
	return err
}

type experimentCompareCmd struct {
	Before string `arg:"" type:"existingdir" help:"Folder of an experiment."`
	After  string `arg:"" type:"existingdir" help:"Folder of another."`
}

func (c *experimentCompareCmd) Run() error {
	before, err := lab.LoadExperiment(c.Before)
	if err != nil {
		return err
	}
	after, err := lab.LoadExperiment(c.After)
	if err != nil {
		return err
	}
	comparisons := lab.CompareExperiments(before, after)
	if len(comparisons) == 0 {
		return fmt.Errorf("the two have no run in common")
	}
	return lab.PrintCompared(os.Stdout, comparisons)
}
