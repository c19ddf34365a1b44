package main

import (
	"context"
	"os"
	"os/signal"

	"merlinhitch/internal/simulation/lab"
)

type reservationsCmd struct {
	Runs     int  `default:"200" help:"Number of seeds."`
	Steps    int  `default:"40" help:"Number of steps of each of the four initiators."`
	Virtual  bool `help:"Run in virtual time, deterministically."`
	Parallel int  `default:"6" help:"Number of runs in parallel."`
}

func (c *reservationsCmd) Run() error {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	failedRuns, err := lab.CheckReservations(ctx, c.Virtual, max(c.Runs, 1), max(c.Steps, 1), max(c.Parallel, 1), os.Stdout, os.Stderr)
	if err == nil && failedRuns > 0 {
		err = errReported
	}
	return err
}
