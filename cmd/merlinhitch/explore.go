package main

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"os"
	"os/signal"
	"path/filepath"
	"runtime"
	"slices"
	"strings"
	"time"

	"merlinhitch/internal/simulation/lab"
	"merlinhitch/internal/verify/trail"
)

type exploreCmd struct {
	Seeds    uint64   `default:"1000" help:"Number of scenarios to run."`
	First    uint64   `default:"1" help:"Seed of the first scenario."`
	Hosts    int      `default:"3" help:"Number of hosts."`
	Servers  int      `default:"9" help:"Number of disk servers, in three halls."`
	Seconds  float64  `default:"60" help:"Duration of the client traffic in virtual seconds."`
	Rate     float64  `default:"120" help:"Mean rate in commands per second without faults."`
	Regions  bool     `help:"Simulate a service that spans two regions, with region faults."`
	With     []string `help:"Disturbances that last for each whole run, such as registrations." placeholder:"KIND"`
	Swarm    bool     `default:"true" negatable:"" help:"Use a random subset of the kinds of fault for each seed instead of all (swarm testing)."`
	Parallel int      `help:"Number of scenarios in parallel; by default, GOMAXPROCS."`
	Stop     bool     `help:"Stop at the first failure."`
	Shrink   int      `default:"60" help:"Maximum number of runs for shrinking the first failing scenario; 0 disables shrinking."`
	Out      string   `default:"scenes" help:"Directory for the scenarios that fail." placeholder:"DIR"`
}

func (c *exploreCmd) Run() error {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	if c.Parallel == 0 {
		c.Parallel = runtime.GOMAXPROCS(0)
	}
	begin := time.Now()
	summary, err := lab.Explore(ctx, lab.ExploreOptions{FirstSeed: c.First, Seeds: c.Seeds, Hosts: c.Hosts, Servers: c.Servers, Rate: c.Rate,
		Span: time.Duration(c.Seconds * float64(time.Second)), Swarm: c.Swarm, Regions: c.Regions, Background: c.With, Parallel: c.Parallel, StopAtFirst: c.Stop, OutDir: c.Out}, os.Stderr)
	if err != nil {
		return err
	}
	elapsed := time.Since(begin)
	fmt.Printf("%d scenarios of %.0f s, %d hosts and %d disk servers: %d failed\n", summary.Runs, c.Seconds, c.Hosts, c.Servers, len(summary.Failures))
	fmt.Printf("%d steps, %d rule checks, %d blocks read and verified, %d block histories checked for linearizability (%d timed out)\n",
		summary.Steps, summary.RuleChecks, summary.CheckedReads, summary.CheckedBlocks-summary.UndecidedBlocks, summary.UndecidedBlocks)
	fmt.Printf("mean goodput %.3f; %.0f virtual seconds in %.1f s, %.0f steps a second\n", summary.MeanGoodput, summary.VirtualTime.Seconds(), elapsed.Seconds(), float64(summary.Steps)/elapsed.Seconds())
	var troubles []string
	for _, kind := range slices.Sorted(maps.Keys(summary.FaultCounts)) {
		troubles = append(troubles, fmt.Sprintf("%s %d", kind, summary.FaultCounts[kind]))
	}
	fmt.Println("faults:", strings.Join(troubles, ", "))
	if c.Regions {
		summary.PrintRegions(os.Stdout)
	}
	for _, scene := range summary.Failures {
		fmt.Printf("seed %d: %s\n", scene.Seed, scene.Failure)
	}
	if len(summary.Failures) == 0 {
		return nil
	}
	if c.Shrink > 0 {
		shrunk, err := summary.Failures[0].Shrink(ctx, c.Shrink, os.Stderr)
		if err != nil {
			return err
		}
		file := filepath.Join(c.Out, fmt.Sprintf("scene-%d-small.json", shrunk.Seed))
		if err := shrunk.Save(file); err != nil {
			return err
		}
		fmt.Printf("shrunk scenario: %s, %d faults, %d commands, %d hosts\n", file, len(shrunk.Faults), shrunk.Commands, shrunk.Hosts)
	}
	return errReported
}

type replayCmd struct {
	File  string `arg:"" type:"existingfile" help:"Scenario file that explore wrote."`
	Trail string `help:"File for the trail." placeholder:"FILE"`
}

func (c *replayCmd) Run() error {
	scene, err := lab.LoadScenario(c.File)
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	if c.Trail == "" {
		dir, err := os.MkdirTemp("", "replay-")
		if err != nil {
			return err
		}
		c.Trail = filepath.Join(dir, "trail.parquet")
	}
	outcome, err := scene.Run(ctx, c.Trail)
	if err != nil {
		return err
	}
	fmt.Printf("digest %016x after %d steps, %.3f virtual seconds; trail: %s\n", outcome.Scenario.Digest, outcome.Steps, outcome.VirtualTime.Seconds(), c.Trail)
	if scene.Digest != 0 && scene.Digest != outcome.Scenario.Digest {
		return errors.New("replay: digest differs from the recorded one; the scenario was probably recorded by another build")
	}
	if outcome.Failure == nil {
		fmt.Println("nothing failed")
		return nil
	}
	fmt.Println(outcome.Failure)
	if outcome.Failure.Conn != 0 {
		_, events, err := trail.Read(c.Trail)
		if err != nil {
			return err
		}
		fmt.Print(trail.Trace(events, outcome.Failure.Conn, outcome.Failure.Tag, outcome.Failure.HostID, outcome.Failure.Seq))
	}
	return errReported
}
