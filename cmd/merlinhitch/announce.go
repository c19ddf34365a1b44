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
	var r gateway.Routes
	if err := c.with(func(ctx context.Context, api *settings.API) error { return api.Read(ctx, "/routes", &r) }); err != nil {
		return err
	}
	if c.JSON {
		return printJSON(r)
	}
	tw := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(tw, "GROUP\tLEVEL\tFOR\tREASON\tMAY RISE IN\tPREFIXES")
	for _, g := range r.Groups {
		up := "-"
		if g.UpIn != nil {
			up = ms(max(*g.UpIn, 0))
		}
		fmt.Fprintf(tw, "%s\t%s\t%s\t%s\t%s\t%v\n", g.Group, g.Level, ms(g.ForMS), g.Reason, up, g.Prefixes)
	}
	fmt.Fprintln(tw, "\nROUTER\tADDRESS\tSTATE\tFOR\tUPS\tUPDATES\tHAS ALL\tLAST ERROR")
	for _, p := range r.Peers {
		fmt.Fprintf(tw, "%s\t%s\t%s\t%s\t%d\t%d\t%v\t%s\n", p.Name, p.Addr, p.State, ms(p.SinceMS), p.Ups, p.Updates, p.Told, p.LastError)
	}
	return tw.Flush()
}

func ms(v float64) string {
	return (time.Duration(v) * time.Millisecond).Round(100 * time.Millisecond).String()
}

type announceCmd struct {
	Losses announceLossesCmd `cmd:"" help:"Time how soon a router hears of losses, on its sockets."`
	Peers  announcePeersCmd  `cmd:"" help:"Measure one speaker with many routers and addresses."`
	Days   announceDaysCmd   `cmd:"" help:"Play days with a hall dark and with hosts killed, clients routed by announcements and without."`
}

type announcePeersCmd struct {
	Peers    int `default:"200" help:"Routers."`
	Prefixes int `default:"2000" help:"Addresses, a quarter of them IPv6."`
}

func (c *announcePeersCmd) Run() error {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	if c.Peers < 1 || c.Peers > 1000 || c.Prefixes < 4 || c.Prefixes > 60000 {
		return fmt.Errorf("announce peers: needs 1 to 1000 routers and 4 to 60000 addresses")
	}
	return lab.ManyPeers(ctx, c.Peers, c.Prefixes, os.Stdout)
}

type announceDaysCmd struct {
	Seeds    int     `default:"10" help:"Seeds."`
	Commands int     `default:"4000" help:"Commands that clients begin on a day."`
	Rate     float64 `default:"200" help:"Commands a second."`
	Parallel int     `default:"5" help:"Days at once."`
}

func (c *announceDaysCmd) Run(log *zap.Logger) error {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	rows, err := lab.RouteDays(ctx, lab.Options{Commands: c.Commands, Hosts: 3, Servers: 9, Rate: c.Rate,
		Log: log.WithOptions(zap.IncreaseLevel(zap.ErrorLevel))}, c.Seeds, max(c.Parallel, 1), os.Stderr)
	if err != nil {
		return err
	}
	if err := lab.PrintRoutes(os.Stdout, rows); err != nil {
		return err
	}
	for _, r := range rows {
		if r.Bad > 0 {
			return errSaid
		}
	}
	return nil
}

type announceLossesCmd struct {
	Each     int    `default:"1000" help:"Losses of each kind."`
	Gateways int    `default:"30" help:"Gateways that lose things, at once."`
	Chart    string `help:"Draw the distributions as a PNG." placeholder:"FILE"`
}

func (c *announceLossesCmd) Run() error {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	if c.Each < 1 || c.Gateways < 1 || c.Gateways > 200 {
		return fmt.Errorf("announce losses: needs a loss, and 1 to 200 gateways")
	}
	rows, err := lab.Losses(ctx, c.Each, c.Gateways, os.Stderr)
	if err != nil {
		return err
	}
	if err := lab.PrintLosses(os.Stdout, rows); err != nil {
		return err
	}
	if c.Chart != "" {
		var lines []chart.Series
		for _, r := range rows {
			s := chart.Series{Name: r.Kind}
			for q := 0.0; q <= 100; q += 0.5 {
				s.X, s.Y = append(s.X, float64(r.Times.ValueAtQuantile(q))/1000), append(s.Y, q)
			}
			lines = append(lines, s)
		}
		if err := chart.Lines(c.Chart, "from the loss to the router's log", "ms", "% of the losses", lines...); err != nil {
			return err
		}
	}
	for _, r := range rows {
		if r.Late+r.Failed+r.Wrong > 0 {
			return errSaid
		}
	}
	return nil
}
