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
	Seeds    uint64  `default:"1000" help:"Scenes to play."`
	First    uint64  `default:"1" help:"Seed of the first."`
	Hosts    int     `default:"3" help:"Hosts."`
	Servers  int     `default:"9" help:"Disk servers, in three halls."`
	Seconds  float64 `default:"60" help:"Virtual seconds during which clients ask."`
	Rate     float64 `default:"120" help:"Commands a second, in the mean of an ordinary day."`
	Regions  bool    `help:"A service over two regions, with its troubles."`
	Swarm    bool    `default:"true" negatable:"" help:"A subset of the kinds of trouble for each seed; otherwise all on each."`
	Parallel int     `help:"Scenes at once; by default as many as processors."`
	Stop     bool    `help:"Stop at the first failure."`
	Shrink   int     `default:"60" help:"Plays to spend on making the first failure smaller; 0: none."`
	Out      string  `default:"scenes" help:"Folder for the scenes that fail." placeholder:"DIR"`
}

func (c *exploreCmd) Run() error {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	if c.Parallel == 0 {
		c.Parallel = runtime.GOMAXPROCS(0)
	}
	begin := time.Now()
	summary, err := lab.Explore(ctx, lab.Exploration{First: c.First, Seeds: c.Seeds, Hosts: c.Hosts, Servers: c.Servers, Rate: c.Rate,
		Span: time.Duration(c.Seconds * float64(time.Second)), Swarm: c.Swarm, Regions: c.Regions, Parallel: c.Parallel, StopAtFirst: c.Stop, Out: c.Out}, os.Stderr)
	if err != nil {
		return err
	}
	elapsed := time.Since(begin)
	fmt.Printf("%d scenes of %.0f s, %d hosts and %d disk servers: %d failed\n", summary.Played, c.Seconds, c.Hosts, c.Servers, len(summary.Failures))
	fmt.Printf("%d steps, %d checks of rules, %d blocks read and judged, %d histories of blocks put in order (%d not in time)\n",
		summary.Steps, summary.Checks, summary.Reads, summary.Blocks-summary.Unknown, summary.Unknown)
	fmt.Printf("mean goodput %.3f; %.0f virtual seconds in %.1f s, %.0f steps a second\n", summary.Goodput, summary.Virtual.Seconds(), elapsed.Seconds(), float64(summary.Steps)/elapsed.Seconds())
	var troubles []string
	for _, kind := range slices.Sorted(maps.Keys(summary.Kinds)) {
		troubles = append(troubles, fmt.Sprintf("%s %d", kind, summary.Kinds[kind]))
	}
	fmt.Println("troubles:", strings.Join(troubles, ", "))
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
		fmt.Printf("smaller: %s, %d troubles, %d commands, %d hosts\n", file, len(shrunk.Script), shrunk.Commands, shrunk.Hosts)
	}
	return errReported
}

type replayCmd struct {
	File  string `arg:"" type:"existingfile" help:"Scene, as explore writes it."`
	Trail string `help:"File for the trail." placeholder:"FILE"`
}

func (c *replayCmd) Run() error {
	scene, err := lab.LoadScene(c.File)
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
	outcome, err := scene.Play(ctx, c.Trail)
	if err != nil {
		return err
	}
	fmt.Printf("digest %016x after %d steps, %.3f virtual seconds; trail: %s\n", outcome.Scene.Digest, outcome.Steps, outcome.Took.Seconds(), c.Trail)
	if scene.Digest != 0 && scene.Digest != outcome.Scene.Digest {
		return errors.New("replay: another run than the file tells of: it was made by another build")
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
		fmt.Print(trail.Way(events, outcome.Failure.Conn, outcome.Failure.Tag, outcome.Failure.HostID, outcome.Failure.Seq))
	}
	return errReported
}
