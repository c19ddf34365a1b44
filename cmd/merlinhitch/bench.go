package main

import (
	"os"
	"time"

	"merlinhitch/internal/simulation/lab"
)

type benchCmd struct {
	Point       time.Duration `default:"2s" help:"Duration of each measurement."`
	Connections []int         `default:"1,10,100,1000" help:"Numbers of connections to measure with."`
	Watch       bool          `help:"Measure the cost of the history and of /metrics readers instead."`
	Keys        bool          `help:"Measure the cost of TLS to the disk servers instead."`
	Outstanding []int         `default:"1,8,64" help:"Numbers of outstanding commands per connection to measure with."`
}

func (c *benchCmd) Run() error {
	options := lab.BenchOptions{PointTime: c.Point, Connections: c.Connections, Outstanding: c.Outstanding, Progress: os.Stderr}
	if c.Watch {
		return lab.BenchMonitoring(options, os.Stdout)
	}
	if c.Keys {
		return lab.BenchTLS(options, os.Stdout)
	}
	return lab.Bench(options, os.Stdout)
}
