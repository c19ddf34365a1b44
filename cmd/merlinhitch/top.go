package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"time"

	"merlinhitch/internal/observe/top"
	"merlinhitch/internal/runtime/env"
)

type topCmd struct {
	keysFlag
	Every  time.Duration `default:"2s" help:"Interval between readings."`
	Within time.Duration `default:"1s" help:"Timeout for each host."`
	Once   bool          `help:"Print one summary and exit."`
	JSON   bool          `name:"json" help:"Print JSON."`
	Most   int           `default:"40" help:"Maximum number of hosts to list; the rest are only counted."`
	Hosts  []string      `arg:"" help:"Admin addresses of the hosts."`
}

func (c *topCmd) Run() error {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	hosts, err := c.hosts(c.Hosts)
	if err != nil {
		return err
	}
	defer closeHosts(hosts)
	var sources []top.Source
	for _, host := range hosts {
		sources = append(sources, top.Source{Name: host.Name, Read: func(ctx context.Context) (*top.State, error) {
			state := &top.State{}
			return state, host.API.Read(ctx, "/state", state)
		}})
	}
	environment := env.NewReal()
	before := top.Take(ctx, sources, c.Within, environment.Now)
	for env.SleepContext(ctx, environment, c.Every) {
		after := top.Take(ctx, sources, c.Within, environment.Now)
		if err := c.print(top.Sum(sources, before, after)); err != nil || c.Once {
			return err
		}
		before = after
	}
	return nil
}

func (c *topCmd) print(fleet *top.Fleet) error {
	if c.JSON {
		return printJSON(fleet)
	}
	if info, err := os.Stdout.Stat(); err == nil && info.Mode()&os.ModeCharDevice != 0 && !c.Once {
		fmt.Print("\x1b[H\x1b[2J") // ECMA-48: move the cursor home and clear the screen
	}
	return fleet.Print(os.Stdout, c.Most)
}
