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

// sendRequest asks an inventory one question; what it refuses is an error.
func sendRequest(addr string, request inventory.Ask) (*inventory.List, error) {
	caller := inventory.NewCaller(env.NewReal(), func() string { return addr })
	defer caller.Close()
	list, err := caller.Ask(request, 3*time.Second)
	if err != nil {
		return nil, fmt.Errorf("inventory %s: %w", addr, err)
	}
	if list.Kind == inventory.Refused {
		return nil, fmt.Errorf("inventory %s: %s", addr, list.Reason)
	}
	return &list, nil
}

type regionsShowCmd struct {
	Inventory []string `arg:"" help:"Inventories of the regions." placeholder:"ADDRESS"`
}

func (c *regionsShowCmd) Run() error {
	failed := false
	for _, addr := range c.Inventory {
		list, err := sendRequest(addr, inventory.Ask{Op: "record"})
		if err != nil {
			fmt.Println(err)
			failed = true
			continue
		}
		printRegion(addr, list)
	}
	if failed {
		return errReported
	}
	return nil
}

func printRegion(addr string, list *inventory.List) {
	record, status := list.Record, list.Status
	grants := "grants leases"
	if !status.Grants {
		grants = "grants NOTHING"
	}
	lastContact := fmt.Sprintf("region %d heard %.1f s ago", status.Region.Other(), status.HeardMS/1000)
	if status.HeardMS > 1e8 {
		lastContact = fmt.Sprintf("region %d not heard since this one's start", status.Region.Other())
	}
	fmt.Printf("region %d (%s): %s, term %s, region %d leads, %s\n\n", status.Region, addr, grants, region.TermText(record.Term), record.Leader, lastContact)
	table := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "shard\tserved in\tprefers\tgeneration\tcopy")
	for i, home := range record.Homes {
		location, copyState := fmt.Sprint(home.Region), "kept"
		if home.Region == region.Nowhere {
			location = fmt.Sprintf("nowhere, from %d", home.From)
		}
		switch {
		case home.Alone:
			copyState = "behind: the home answers alone"
		case home.Leaving:
			copyState = "out of reach: answers wait"
		}
		fmt.Fprintf(table, "%d\t%s\t%d\t%s\t%s\n", i, location, home.Prefer, region.TermText(home.Gen), copyState)
	}
	for i, shares := range record.Shares {
		fmt.Fprintf(table, "limit %d\t%.2f and %.2f\t%.2f and %.2f\t\t\n", i, shares[0], shares[1], record.Split[i][0], record.Split[i][1])
	}
	table.Flush()
	for _, event := range status.History {
		fmt.Printf("%8.1f s ago, term %s: %s\n", event.AgoMS/1000, region.TermText(event.Term), event.Text)
	}
	fmt.Println()
}

// inventoryArgs is what a word to an inventory needs.
type inventoryArgs struct {
	Inventory string `arg:"" help:"Inventory to say it to." placeholder:"ADDRESS"`
}

func (c *inventoryArgs) send(op string) error {
	if _, err := sendRequest(c.Inventory, inventory.Ask{Op: op}); err != nil {
		return err
	}
	fmt.Println("said; 'merlinhitch regions show' tells what becomes of it")
	return nil
}

type regionsLeadCmd struct{ inventoryArgs }

func (c *regionsLeadCmd) Run() error { return c.send("lead") }

type regionsReturnCmd struct{ inventoryArgs }

func (c *regionsReturnCmd) Run() error { return c.send("return") }

type regionsGiveUpCmd struct{ inventoryArgs }

func (c *regionsGiveUpCmd) Run() error { return c.send("give up") }

type regionsMoveCmd struct {
	Inventory string    `arg:"" placeholder:"ADDRESS"`
	Shard     int       `arg:""`
	To        region.ID `arg:"" help:"Region: 0 or 1."`
}

func (c *regionsMoveCmd) Run() error {
	_, err := sendRequest(c.Inventory, inventory.Ask{Op: "move", Shard: c.Shard, To: c.To})
	return err
}

type regionsShareCmd struct {
	Inventory string  `arg:"" placeholder:"ADDRESS"`
	Plan      int     `arg:"" help:"Number of the plan in the settings."`
	First     float64 `arg:"" help:"Part of region 0, from 0 to 1; the rest is region 1's."`
}

func (c *regionsShareCmd) Run() error {
	_, err := sendRequest(c.Inventory, inventory.Ask{Op: "share", Shard: c.Plan, Parts: [2]float64{c.First, 1 - c.First}})
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
	result, err := lab.RegionDay(ctx, lab.Options{Seed: c.Seed, Commands: int(span.Seconds() * c.Rate), Hosts: c.Hosts, Servers: c.Servers, Rate: c.Rate, Script: script,
		Out: c.Out, Log: log.WithOptions(zap.IncreaseLevel(zap.ErrorLevel)), Progress: os.Stderr})
	if err != nil {
		return err
	}
	result.Print(os.Stdout)
	result.PrintRegions(os.Stdout)
	if !result.OK() {
		return errReported
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
