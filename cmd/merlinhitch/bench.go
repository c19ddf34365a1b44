package main

import (
	"os"
	"time"

	"merlinhitch/internal/simulation/lab"
)

type benchCmd struct {
	Point       time.Duration `default:"2s" help:"Time of each measurement."`
	Connections []int         `default:"1,10,100,1000" help:"Connections."`
	Watch       bool          `help:"Measure what history and readers of /metrics cost instead."`
	Keys        bool          `help:"Measure what TLS to the disk servers costs instead."`
	Outstanding []int         `default:"1,8,64" help:"Commands outstanding on each."`
}

func (c *benchCmd) Run() error {
	options := lab.BenchOptions{Point: c.Point, Conns: c.Connections, Depths: c.Outstanding, Progress: os.Stderr}
	if c.Watch {
		return lab.BenchWatch(options, os.Stdout)
	}
	if c.Keys {
		return lab.BenchKeys(options, os.Stdout)
	}
	return lab.Bench(options, os.Stdout)
}
