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
	Run     experimentRunCmd     `cmd:"" default:"withargs" help:"Run every combination of a parameter grid in virtual time and save rows, table and charts."`
	Compare experimentCompareCmd `cmd:"" help:"Compare two experiments run by run; differences within noise are not counted."`
}

type experimentRunCmd struct {
	Hosts    []int     `default:"3,10,46,100,170,230" help:"Numbers of hosts."`
	Servers  []int     `default:"47" help:"Numbers of disk servers."`
	Rates    []float64 `default:"760" help:"Mean rates in commands per second."`
	Loads    []float64 `default:"1" help:"Load factors by which the rate is multiplied."`
	Layouts  []string  `default:"" help:"Volume layouts: narrow, wide, or empty for those of the example settings." placeholder:"LAYOUT,..."`
	Troubles []string  `default:"none,mass_restart,all" help:"Kinds of fault: a kind, none, all (those of badday) or world (every kind of the simulator)."`
	Seeds    int       `default:"3" help:"Number of seeds for each combination."`
	Seconds  float64   `default:"40" help:"Duration of a run in virtual seconds."`
	Figure   string    `help:"Path of a numeric setting to vary, such as limits.max_attempts." placeholder:"PATH"`
	Values   []float64 `help:"Values of that setting." placeholder:"V,..."`
	Parallel int       `help:"Number of runs in parallel; by default, GOMAXPROCS."`
	Out      string    `default:"experiment" help:"Directory for the results." placeholder:"DIR"`
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
		Seeds: c.Seeds, Duration: time.Duration(c.Seconds * float64(time.Second)), Setting: c.Figure, Values: c.Values, Parallel: c.Parallel}, os.Stderr)
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
	Before string `arg:"" type:"existingdir" help:"Directory of the baseline experiment."`
	After  string `arg:"" type:"existingdir" help:"Directory of the experiment to compare with it."`
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
		return fmt.Errorf("experiment compare: the two experiments have no run in common")
	}
	return lab.PrintComparisons(os.Stdout, comparisons)
}
