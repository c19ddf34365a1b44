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
	Seed     uint64   `default:"1" help:"Draws the script and what clients ask for."`
	Commands int      `default:"10000" help:"Commands that clients begin."`
	Rate     float64  `default:"220" help:"Commands a second, in the mean of an ordinary day."`
	Troubles []string `help:"Kinds of trouble, all by default; none for a calm day." placeholder:"KIND,..."`
	Hosts    int      `default:"3" help:"Hosts."`
	Servers  int      `default:"9" help:"Disk servers, in three halls."`
	Sweep    int      `help:"Play each kind of trouble alone, all together and none, over so many seeds." placeholder:"SEEDS"`
	Parallel int      `default:"4" help:"Days of a sweep at once."`
	Counters bool     `help:"Hold the hosts' counters to what passed on their sockets."`
	Out      string   `help:"Folder for the trail; by default a temporary one." placeholder:"DIR"`
}

func (c *baddayCmd) Run(log *zap.Logger) error {
	if c.Hosts < 1 || c.Servers < 3 || c.Commands < 1 || !(c.Rate > 0) {
		return fmt.Errorf("badday: needs a host, three servers, a command and a rate above 0")
	}
	if c.Sweep > 0 {
		return c.sweep(log)
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
	opt := lab.Options{Seed: c.Seed, Commands: c.Commands, Troubles: c.Troubles, Hosts: c.Hosts,
		Servers: c.Servers, Rate: c.Rate, Out: c.Out, Log: log.WithOptions(zap.IncreaseLevel(zap.ErrorLevel)), Progress: os.Stderr}
	if c.Counters {
		return c.counted(ctx, opt)
	}
	res, err := lab.BadDay(ctx, opt)
	if err != nil {
		return err
	}
	res.Print(os.Stdout)
	fmt.Println("trail:", res.Trail)
	if res.OK() {
		return nil
	}
	_, events, err := trail.Read(res.Trail)
	if err != nil {
		return err
	}
	for _, b := range res.Check.Breaks[:min(len(res.Check.Breaks), 3)] {
		fmt.Printf("\n%s\n%s", b, trail.Way(events, b.Conn, b.Tag, b.HostID, b.Seq))
	}
	return errSaid
}

func (c *baddayCmd) counted(ctx context.Context, opt lab.Options) error {
	r, err := lab.CountDay(ctx, opt)
	if err != nil {
		return err
	}
	r.Print(os.Stdout)
	if !r.OK() {
		return errSaid
	}
	return nil
}

func (c *baddayCmd) sweep(log *zap.Logger) error {
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
	for _, r := range rows {
		if r.Bad > 0 {
			return errSaid
		}
	}
	return nil
}

type trailCmd struct {
	Check trailCheckCmd `cmd:"" help:"Check the seven rules on a trail."`
	Show  trailShowCmd  `cmd:"" help:"Print a trail, or one command's whole way."`
}

type trailCheckCmd struct {
	File string `arg:"" type:"existingfile"`
}

func (c *trailCheckCmd) Run() error {
	m, events, err := trail.Read(c.File)
	if err != nil {
		return err
	}
	check := rules.Check(m, events)
	check.Table.Print(os.Stdout)
	check.Print(os.Stdout)
	if check.OK() {
		return nil
	}
	for _, b := range check.Breaks {
		fmt.Println(b)
	}
	return errSaid
}

type trailShowCmd struct {
	File    string `arg:"" type:"existingfile"`
	Request string `help:"One command: CONNECTION/TAG as the listing names it." placeholder:"CONN/TAG"`
	Most    int    `default:"200" help:"Lines of a listing."`
}

func (c *trailShowCmd) Run() error {
	_, events, err := trail.Read(c.File)
	if err != nil {
		return err
	}
	if c.Request != "" {
		var conn, tag uint32
		if _, err := fmt.Sscanf(c.Request, "%d/%d", &conn, &tag); err != nil {
			return fmt.Errorf("trail show: %q is not CONN/TAG", c.Request)
		}
		way := trail.Way(events, conn, tag, 0, 0)
		if way == "" {
			return fmt.Errorf("trail show: %s has no command %s", filepath.Base(c.File), c.Request)
		}
		fmt.Print(way)
		return nil
	}
	var b strings.Builder
	for i := range events[:min(len(events), c.Most)] {
		trail.Line(&b, &events[i], 0)
	}
	fmt.Print(b.String())
	return nil
}
