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
	Every  time.Duration `default:"2s" help:"Time between two readings."`
	Within time.Duration `default:"1s" help:"How long a host may take to answer."`
	Once   bool          `help:"Print one summary and end."`
	JSON   bool          `name:"json" help:"Print JSON."`
	Most   int           `default:"40" help:"Hosts to list; the rest are counted."`
	Hosts  []string      `arg:"" help:"Admin addresses of the hosts."`
}

func (c *topCmd) Run() error {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	hosts, err := c.hosts(c.Hosts)
	if err != nil {
		return err
	}
	defer closeAll(hosts)
	var sources []top.Source
	for _, h := range hosts {
		sources = append(sources, top.Source{Name: h.Name, Read: func(ctx context.Context) (*top.State, error) {
			s := &top.State{}
			return s, h.API.Read(ctx, "/state", s)
		}})
	}
	w := env.NewReal()
	before := top.Take(ctx, sources, c.Within, w.Now)
	for env.SleepContext(ctx, w, c.Every) {
		after := top.Take(ctx, sources, c.Within, w.Now)
		if err := c.print(top.Sum(sources, before, after)); err != nil || c.Once {
			return err
		}
		before = after
	}
	return nil
}

func (c *topCmd) print(f *top.Fleet) error {
	if c.JSON {
		return printJSON(f)
	}
	if st, err := os.Stdout.Stat(); err == nil && st.Mode()&os.ModeCharDevice != 0 && !c.Once {
		fmt.Print("\x1b[H\x1b[2J") // ECMA-48: home, and clear the screen
	}
	return f.Print(os.Stdout, c.Most)
}
