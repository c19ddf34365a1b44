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
	Show   regionsShowCmd   `cmd:"" default:"withargs" help:"Show which region serves each shard, under which generation, and recent changes."`
	Lead   regionsLeadCmd   `cmd:"" help:"Make this region the leader, because the other is lost or this one restarted alone."`
	Return regionsReturnCmd `cmd:"" help:"Move every shard to its preferred region once its copy there is complete."`
	GiveUp regionsGiveUpCmd `cmd:"" help:"Take over also the shards whose only complete copy is in the lost region; writes that it alone acknowledged are lost."`
	Move   regionsMoveCmd   `cmd:"" help:"Move one shard to a region."`
	Share  regionsShareCmd  `cmd:"" help:"Split a plan's limit between the regions."`
	Day    regionsDayCmd    `cmd:"" help:"Run a two-region service on loopback with every kind of region fault in turn."`
	Cost   regionsCostCmd   `cmd:"" help:"Measure, in virtual time, the effect of losing a region and what split limits refuse during a partition."`
}

// sendRequest sends one request to an inventory and returns its answer. A refusal is an error.
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
	Inventory []string `arg:"" help:"Inventory addresses of the regions." placeholder:"ADDRESS"`
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
		grants = "grants no leases"
	}
	lastContact := fmt.Sprintf("last contact with region %d %.1f s ago", status.Region.Other(), status.HeardMS/1000)
	if status.HeardMS > 1e8 {
		lastContact = fmt.Sprintf("no contact with region %d since this one's start", status.Region.Other())
	}
	fmt.Printf("region %d (%s): %s, term %s, region %d leads, %s\n\n", status.Region, addr, grants, region.TermText(record.Term), record.Leader, lastContact)
	table := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "shard\tserved in\tprefers\tgeneration\tcopy")
	for i, home := range record.Homes {
		location, copyState := fmt.Sprint(home.Region), "in sync"
		if home.Region == region.Nowhere {
			location = fmt.Sprintf("none, complete copy in %d", home.From)
		}
		switch {
		case home.Alone:
			copyState = "behind: the serving region acknowledges writes alone"
		case home.Leaving:
			copyState = "unreachable: acknowledgements wait"
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

// inventoryArgs selects the inventory that an operator's request goes to.
type inventoryArgs struct {
	Inventory string `arg:"" help:"Address of the inventory." placeholder:"ADDRESS"`
}

func (c *inventoryArgs) send(op string) error {
	if _, err := sendRequest(c.Inventory, inventory.Ask{Op: op}); err != nil {
		return err
	}
	fmt.Println("request accepted; 'merlinhitch regions show' shows its progress")
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
	To        region.ID `arg:"" help:"Region to move it to: 0 or 1."`
}

func (c *regionsMoveCmd) Run() error {
	_, err := sendRequest(c.Inventory, inventory.Ask{Op: "move", Shard: c.Shard, To: c.To})
	return err
}

type regionsShareCmd struct {
	Inventory string  `arg:"" placeholder:"ADDRESS"`
	Plan      int     `arg:"" help:"Index of the plan in the settings."`
	First     float64 `arg:"" help:"Fraction of the limit for region 0, from 0 to 1; region 1 gets the rest."`
}

func (c *regionsShareCmd) Run() error {
	_, err := sendRequest(c.Inventory, inventory.Ask{Op: "share", Shard: c.Plan, Parts: [2]float64{c.First, 1 - c.First}})
	return err
}

type regionsDayCmd struct {
	Seed    uint64  `default:"1" help:"Seed of the faults and of the client workload."`
	Hosts   int     `default:"4" help:"Number of hosts, alternating between the regions."`
	Servers int     `default:"8" help:"Number of shards, each with a disk server in both regions."`
	Rate    float64 `default:"160" help:"Mean rate in commands per second without faults."`
	Each    float64 `default:"14" help:"Duration of each fault in seconds."`
	Calm    float64 `default:"9" help:"Time between faults in seconds."`
	Out     string  `help:"Directory for the trail; by default, none is written." placeholder:"DIR"`
}

func (c *regionsDayCmd) Run(log *zap.Logger) error {
	if c.Hosts < 2 || c.Servers < 2 || !(c.Rate > 0) || !(c.Each > 0) || !(c.Calm > 0) {
		return fmt.Errorf("regions day: needs at least 2 hosts and 2 shards, and a rate and durations above 0")
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	seconds := func(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
	script, span := lab.EveryRegionFault(seconds(c.Each), seconds(c.Calm), c.Seed)
	result, err := lab.RegionDay(ctx, lab.Options{Seed: c.Seed, Commands: int(span.Seconds() * c.Rate), Hosts: c.Hosts, Servers: c.Servers, Rate: c.Rate, Faults: script,
		OutDir: c.Out, Log: log.WithOptions(zap.IncreaseLevel(zap.ErrorLevel)), Progress: os.Stderr})
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
	Seeds uint64 `default:"20" help:"Number of runs of each kind."`
	Out   string `default:"regions" help:"Directory for the charts." placeholder:"DIR"`
}

func (c *regionsCostCmd) Run() error {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	cost, err := lab.MeasureRegionLosses(ctx, c.Seeds, runtime.GOMAXPROCS(0), os.Stderr)
	if err != nil {
		return err
	}
	if err := cost.Print(os.Stdout); err != nil {
		return err
	}
	return cost.Charts(c.Out)
}
