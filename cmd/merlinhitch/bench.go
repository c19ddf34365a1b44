package main

import (
	"os"
	"time"

	"merlinhitch/lab"
)

type benchCmd struct {
	Point       time.Duration `default:"2s" help:"Time of each measurement."`
	Connections []int         `default:"1,10,100,1000" help:"Connections."`
	Outstanding []int         `default:"1,8,64" help:"Commands outstanding on each."`
}

func (c *benchCmd) Run() error {
	return lab.Bench(lab.BenchOptions{Point: c.Point, Conns: c.Connections, Depths: c.Outstanding, Progress: os.Stderr}, os.Stdout)
}
