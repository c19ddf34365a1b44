package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"text/tabwriter"
	"time"

	"go.uber.org/zap"

	"merlinhitch/internal/control/gateway"
	"merlinhitch/internal/control/settings"
	"merlinhitch/internal/observe/chart"
	"merlinhitch/internal/simulation/lab"
)

type routesCmd struct {
	adminFlag
	JSON bool `name:"json" help:"Print JSON."`
}

func (c *routesCmd) Run() error {
	var routes gateway.Routes
	if err := c.withAPI(func(ctx context.Context, api *settings.API) error { return api.Read(ctx, "/routes", &routes) }); err != nil {
		return err
	}
	if c.JSON {
		return printJSON(routes)
	}
	table := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "GROUP\tLEVEL\tFOR\tREASON\tMAY RISE IN\tPREFIXES")
	for _, group := range routes.Groups {
		riseDelay := "-"
		if group.RiseIn != nil {
			riseDelay = formatMS(max(*group.RiseIn, 0))
		}
		fmt.Fprintf(table, "%s\t%s\t%s\t%s\t%s\t%v\n", group.Group, group.Level, formatMS(group.ForMS), group.Reason, riseDelay, group.Prefixes)
	}
	fmt.Fprintln(table, "\nROUTER\tADDRESS\tSTATE\tFOR\tSESSIONS\tUPDATES\tUP TO DATE\tLAST ERROR")
	for _, peer := range routes.Peers {
		fmt.Fprintf(table, "%s\t%s\t%s\t%s\t%d\t%d\t%v\t%s\n", peer.Name, peer.Addr, peer.State, formatMS(peer.SinceMS), peer.Ups, peer.Updates, peer.Told, peer.LastError)
	}
	return table.Flush()
}

// formatMS formats a duration in milliseconds, rounded to a tenth of a second.
func formatMS(milliseconds float64) string {
	return (time.Duration(milliseconds) * time.Millisecond).Round(100 * time.Millisecond).String()
}

type announceCmd struct {
	Losses announceLossesCmd `cmd:"" help:"Measure how long a router takes to learn of failures, on its sockets."`
	Peers  announcePeersCmd  `cmd:"" help:"Benchmark one BGP speaker with many routers and prefixes."`
	Days   announceDaysCmd   `cmd:"" help:"Run workloads with a hall lost and with hosts killed, with and without routing by announcements."`
}

type announcePeersCmd struct {
	Peers    int `default:"200" help:"Number of routers (1 to 1000)."`
	Prefixes int `default:"2000" help:"Number of prefixes, a quarter of them IPv6 (4 to 60000)."`
}

func (c *announcePeersCmd) Run() error {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	if c.Peers < 1 || c.Peers > 1000 || c.Prefixes < 4 || c.Prefixes > 60000 {
		return fmt.Errorf("announce peers: needs 1 to 1000 routers and 4 to 60000 prefixes")
	}
	return lab.MeasureSpeaker(ctx, c.Peers, c.Prefixes, os.Stdout)
}

type announceDaysCmd struct {
	Seeds    int     `default:"10" help:"Number of seeds."`
	Commands int     `default:"4000" help:"Commands that clients start in a run."`
	Rate     float64 `default:"200" help:"Mean rate in commands per second."`
	Parallel int     `default:"5" help:"Number of runs in parallel."`
}

func (c *announceDaysCmd) Run(log *zap.Logger) error {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	rows, err := lab.CompareRouting(ctx, lab.Options{Commands: c.Commands, Hosts: 3, Servers: 9, Rate: c.Rate,
		Log: log.WithOptions(zap.IncreaseLevel(zap.ErrorLevel))}, c.Seeds, max(c.Parallel, 1), os.Stderr)
	if err != nil {
		return err
	}
	if err := lab.PrintRoutes(os.Stdout, rows); err != nil {
		return err
	}
	for _, row := range rows {
		if row.Broken > 0 {
			return errReported
		}
	}
	return nil
}

type announceLossesCmd struct {
	Each     int    `default:"1000" help:"Number of failures of each kind."`
	Gateways int    `default:"30" help:"Number of gateways in which failures are injected in parallel (1 to 200)."`
	Chart    string `help:"Write a PNG chart of the distributions." placeholder:"FILE"`
}

func (c *announceLossesCmd) Run() error {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	if c.Each < 1 || c.Gateways < 1 || c.Gateways > 200 {
		return fmt.Errorf("announce losses: needs at least 1 failure of each kind, and 1 to 200 gateways")
	}
	rows, err := lab.MeasureLosses(ctx, c.Each, c.Gateways, os.Stderr)
	if err != nil {
		return err
	}
	if err := lab.PrintLosses(os.Stdout, rows); err != nil {
		return err
	}
	if c.Chart != "" {
		var lines []chart.Series
		for _, row := range rows {
			series := chart.Series{Name: row.Kind}
			for quantile := 0.0; quantile <= 100; quantile += 0.5 {
				series.X, series.Y = append(series.X, float64(row.Delays.ValueAtQuantile(quantile))/1000), append(series.Y, quantile)
			}
			lines = append(lines, series)
		}
		if err := chart.Lines(c.Chart, "time from failure to route change at the router", "ms", "% of failures", lines...); err != nil {
			return err
		}
	}
	for _, row := range rows {
		if row.OverSecond+row.NotSeen+row.WrongAnnouncements > 0 {
			return errReported
		}
	}
	return nil
}
