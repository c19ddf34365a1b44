package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"strings"

	"go.uber.org/zap"

	"merlinhitch/internal/simulation/lab"
	"merlinhitch/internal/verify/rules"
	"merlinhitch/internal/verify/trail"
)

type baddayCmd struct {
	Seed     uint64   `default:"1" help:"Seed of the fault script and of the client workload."`
	Commands int      `default:"10000" help:"Commands that clients start."`
	Rate     float64  `default:"220" help:"Mean rate in commands per second without faults."`
	Troubles []string `help:"Kinds of fault; by default all, 'none' for no faults." placeholder:"KIND,..."`
	Hosts    int      `default:"3" help:"Number of hosts."`
	Servers  int      `default:"9" help:"Number of disk servers, in three halls."`
	Sweep    int      `help:"Run each kind of fault alone, all together and none, with this number of seeds each." placeholder:"SEEDS"`
	Parallel int      `default:"4" help:"Number of runs of a sweep in parallel."`
	Counters bool     `help:"Compare the hosts' counters with the traffic on their sockets."`
	Out      string   `help:"Directory for the trail; by default, a temporary one." placeholder:"DIR"`
}

func (c *baddayCmd) Run(log *zap.Logger) error {
	if c.Hosts < 1 || c.Servers < 3 || c.Commands < 1 || !(c.Rate > 0) {
		return fmt.Errorf("badday: needs at least 1 host, 3 servers, 1 command and a rate above 0")
	}
	if c.Sweep > 0 {
		return c.runSweep(log)
	}
	if c.Out == "" {
		dir, err := os.MkdirTemp("", "badday-")
		if err != nil {
			return err
		}
		c.Out = dir
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	options := lab.Options{Seed: c.Seed, Commands: c.Commands, FaultKinds: c.Troubles, Hosts: c.Hosts,
		Servers: c.Servers, Rate: c.Rate, OutDir: c.Out, Log: log.WithOptions(zap.IncreaseLevel(zap.ErrorLevel)), Progress: os.Stderr}
	if c.Counters {
		return c.runCounterDay(ctx, options)
	}
	result, err := lab.BadDay(ctx, options)
	if err != nil {
		return err
	}
	result.Print(os.Stdout)
	fmt.Println("trail:", result.TrailFile)
	if result.OK() {
		return nil
	}
	_, events, err := trail.Read(result.TrailFile)
	if err != nil {
		return err
	}
	for _, violation := range result.Checker.Violations[:min(len(result.Checker.Violations), 3)] {
		fmt.Printf("\n%s\n%s", violation, trail.Trace(events, violation.Conn, violation.Tag, violation.HostID, violation.Seq))
	}
	return errReported
}

func (c *baddayCmd) runCounterDay(ctx context.Context, options lab.Options) error {
	result, err := lab.CheckCounters(ctx, options)
	if err != nil {
		return err
	}
	result.Print(os.Stdout)
	if !result.OK() {
		return errReported
	}
	return nil
}

func (c *baddayCmd) runSweep(log *zap.Logger) error {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	rows, err := lab.Sweep(ctx, lab.Options{Commands: c.Commands, Hosts: c.Hosts, Servers: c.Servers, Rate: c.Rate,
		Log: log.WithOptions(zap.IncreaseLevel(zap.ErrorLevel))}, c.Sweep, max(c.Parallel, 1), os.Stderr)
	if err != nil {
		return err
	}
	if err := lab.PrintSweep(os.Stdout, rows); err != nil {
		return err
	}
	for _, row := range rows {
		if row.FailedRuns > 0 {
			return errReported
		}
	}
	return nil
}

type trailCmd struct {
	Check trailCheckCmd `cmd:"" help:"Check a trail against the seven rules."`
	Show  trailShowCmd  `cmd:"" help:"Print a trail, or the trace of one command."`
}

type trailCheckCmd struct {
	File string `arg:"" type:"existingfile"`
}

func (c *trailCheckCmd) Run() error {
	meta, events, err := trail.Read(c.File)
	if err != nil {
		return err
	}
	check := rules.Check(meta, events)
	check.Stats.Print(os.Stdout)
	check.Print(os.Stdout)
	if check.OK() {
		return nil
	}
	for _, violation := range check.Violations {
		fmt.Println(violation)
	}
	return errReported
}

type trailShowCmd struct {
	File    string `arg:"" type:"existingfile"`
	Request string `help:"Command to trace, named by its connection and tag as in the listing." placeholder:"CONN/TAG"`
	Most    int    `default:"200" help:"Maximum number of lines to print."`
}

func (c *trailShowCmd) Run() error {
	_, events, err := trail.Read(c.File)
	if err != nil {
		return err
	}
	if c.Request != "" {
		var conn, tag uint32
		if _, err := fmt.Sscanf(c.Request, "%d/%d", &conn, &tag); err != nil {
			return fmt.Errorf("trail show: request %q does not have the form CONN/TAG", c.Request)
		}
		listing := trail.Trace(events, conn, tag, 0, 0)
		if listing == "" {
			return fmt.Errorf("trail show: %s has no command %s", filepath.Base(c.File), c.Request)
		}
		fmt.Print(listing)
		return nil
	}
	var text strings.Builder
	for i := range events[:min(len(events), c.Most)] {
		trail.WriteEvent(&text, &events[i], 0)
	}
	fmt.Print(text.String())
	return nil
}
