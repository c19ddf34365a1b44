package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"runtime"
	"text/tabwriter"
	"time"

	"go.uber.org/zap"

	"merlinhitch/internal/fleet/region"
	"merlinhitch/internal/protocol/inventory"
	"merlinhitch/internal/runtime/env"
	"merlinhitch/internal/simulation/lab"
)

type regionsCmd struct {
	Show   regionsShowCmd   `cmd:"" default:"withargs" help:"Who serves what, under which generation, since when and why."`
	Lead   regionsLeadCmd   `cmd:"" help:"Say that this region leads: the other is lost, or this one came back alone."`
	Return regionsReturnCmd `cmd:"" help:"Have every shard served where it prefers to be, once its copy there has all."`
	GiveUp regionsGiveUpCmd `cmd:"" help:"Take over even what only the lost region has in full: writes that it answered alone are lost."`
	Move   regionsMoveCmd   `cmd:"" help:"Have one shard served in a region."`
	Share  regionsShareCmd  `cmd:"" help:"Split a plan's limit between the regions."`
	Day    regionsDayCmd    `cmd:"" help:"Play a day of a service over two regions on loopback, with every trouble of regions in turn."`
	Cost   regionsCostCmd   `cmd:"" help:"Measure losses of a region, and what a split limit refuses in a cut, in a virtual world."`
}

// ask asks an inventory one question; what it refuses is an error.
func ask(addr string, a inventory.Ask) (*inventory.List, error) {
	c := inventory.NewCaller(env.NewReal(), func() string { return addr })
	defer c.Close()
	l, err := c.Ask(a, 3*time.Second)
	if err != nil {
		return nil, fmt.Errorf("inventory %s: %w", addr, err)
	}
	if l.Kind == inventory.Refused {
		return nil, fmt.Errorf("inventory %s: %s", addr, l.Reason)
	}
	return &l, nil
}

type regionsShowCmd struct {
	Inventory []string `arg:"" help:"Inventories of the regions." placeholder:"ADDRESS"`
}

func (c *regionsShowCmd) Run() error {
	failed := false
	for _, addr := range c.Inventory {
		l, err := ask(addr, inventory.Ask{Op: "record"})
		if err != nil {
			fmt.Println(err)
			failed = true
			continue
		}
		showRegion(addr, l)
	}
	if failed {
		return errSaid
	}
	return nil
}

func showRegion(addr string, l *inventory.List) {
	r, s := l.Record, l.Status
	grants := "grants leases"
	if !s.Grants {
		grants = "grants NOTHING"
	}
	heard := fmt.Sprintf("region %d heard %.1f s ago", s.Region.Other(), s.HeardMS/1000)
	if s.HeardMS > 1e8 {
		heard = fmt.Sprintf("region %d not heard since this one's start", s.Region.Other())
	}
	fmt.Printf("region %d (%s): %s, term %s, region %d leads, %s\n\n", s.Region, addr, grants, region.TermText(r.Term), r.Leader, heard)
	tw := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(tw, "shard\tserved in\tprefers\tgeneration\tcopy")
	for i, h := range r.Homes {
		at, copied := fmt.Sprint(h.Region), "kept"
		if h.Region == region.Nowhere {
			at = fmt.Sprintf("nowhere, from %d", h.From)
		}
		switch {
		case h.Alone:
			copied = "behind: the home answers alone"
		case h.Leaving:
			copied = "out of reach: answers wait"
		}
		fmt.Fprintf(tw, "%d\t%s\t%d\t%s\t%s\n", i, at, h.Prefer, region.TermText(h.Gen), copied)
	}
	for i, p := range r.Shares {
		fmt.Fprintf(tw, "limit %d\t%.2f and %.2f\t%.2f and %.2f\t\t\n", i, p[0], p[1], r.Split[i][0], r.Split[i][1])
	}
	tw.Flush()
	for _, e := range s.History {
		fmt.Printf("%8.1f s ago, term %s: %s\n", e.AgoMS/1000, region.TermText(e.Term), e.Text)
	}
	fmt.Println()
}

// wordArgs is what a word to an inventory needs.
type wordArgs struct {
	Inventory string `arg:"" help:"Inventory to say it to." placeholder:"ADDRESS"`
}

func (c *wordArgs) say(op string) error {
	if _, err := ask(c.Inventory, inventory.Ask{Op: op}); err != nil {
		return err
	}
	fmt.Println("said; 'merlinhitch regions show' tells what becomes of it")
	return nil
}

type regionsLeadCmd struct{ wordArgs }

func (c *regionsLeadCmd) Run() error { return c.say("lead") }

type regionsReturnCmd struct{ wordArgs }

func (c *regionsReturnCmd) Run() error { return c.say("return") }

type regionsGiveUpCmd struct{ wordArgs }

func (c *regionsGiveUpCmd) Run() error { return c.say("give up") }

type regionsMoveCmd struct {
	Inventory string    `arg:"" placeholder:"ADDRESS"`
	Shard     int       `arg:""`
	To        region.ID `arg:"" help:"Region: 0 or 1."`
}

func (c *regionsMoveCmd) Run() error {
	_, err := ask(c.Inventory, inventory.Ask{Op: "move", Shard: c.Shard, To: c.To})
	return err
}

type regionsShareCmd struct {
	Inventory string  `arg:"" placeholder:"ADDRESS"`
	Plan      int     `arg:"" help:"Number of the plan in the settings."`
	First     float64 `arg:"" help:"Part of region 0, from 0 to 1; the rest is region 1's."`
}

func (c *regionsShareCmd) Run() error {
	_, err := ask(c.Inventory, inventory.Ask{Op: "share", Shard: c.Plan, Parts: [2]float64{c.First, 1 - c.First}})
	return err
}

type regionsDayCmd struct {
	Seed    uint64  `default:"1" help:"Draws the troubles and what clients ask for."`
	Hosts   int     `default:"4" help:"Hosts, in turn of either region."`
	Servers int     `default:"8" help:"Shards, each with a disk server in either region."`
	Rate    float64 `default:"160" help:"Commands a second, in the mean of an ordinary day."`
	Each    float64 `default:"14" help:"Seconds that each trouble lasts."`
	Calm    float64 `default:"9" help:"Seconds between them."`
	Out     string  `help:"Folder for the trail, or none." placeholder:"DIR"`
}

func (c *regionsDayCmd) Run(log *zap.Logger) error {
	if c.Hosts < 2 || c.Servers < 2 || !(c.Rate > 0) || !(c.Each > 0) || !(c.Calm > 0) {
		return fmt.Errorf("regions day: needs two hosts, two shards, and a rate and times above 0")
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	seconds := func(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
	script, span := lab.EveryRegionTrouble(seconds(c.Each), seconds(c.Calm), c.Seed)
	res, err := lab.RegionDay(ctx, lab.Options{Seed: c.Seed, Commands: int(span.Seconds() * c.Rate), Hosts: c.Hosts, Servers: c.Servers, Rate: c.Rate, Script: script,
		Out: c.Out, Log: log.WithOptions(zap.IncreaseLevel(zap.ErrorLevel)), Progress: os.Stderr})
	if err != nil {
		return err
	}
	res.Print(os.Stdout)
	res.PrintRegions(os.Stdout)
	if !res.OK() {
		return errSaid
	}
	return nil
}

type regionsCostCmd struct {
	Seeds uint64 `default:"20" help:"Days of each kind."`
	Out   string `default:"regions" help:"Folder for the charts." placeholder:"DIR"`
}

func (c *regionsCostCmd) Run() error {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	cost, err := lab.RegionCosts(ctx, c.Seeds, runtime.GOMAXPROCS(0), os.Stderr)
	if err != nil {
		return err
	}
	if err := cost.Print(os.Stdout); err != nil {
		return err
	}
	return cost.Charts(c.Out)
}
