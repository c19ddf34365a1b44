package main

import (
	"fmt"
	"os"
	"time"

	"merlinhitch/internal/simulation/soak"
)

type soakCmd struct {
	From       uint64        `default:"1" help:"First seed."`
	Seeds      int           `default:"5" help:"How many seeds, one after the other (1 to 1000)."`
	Schedulers int           `default:"3" help:"Scheduler processes (1 to 200)."`
	Servers    int           `default:"40" help:"Stand-in disk servers (1 to 5000)."`
	Rate       float64       `default:"60" help:"Requests a second at each scheduler."`
	Lasts      time.Duration `default:"15s" help:"How long clients send."`
	Share      float64       `default:"1" help:"Share of a core of each scheduler, held by stopping it now and then (0.01 to 1)."`
	Whole      bool          `help:"Every watch begins with the whole list."`
	Indented   bool          `help:"Discovery's messages are indented."`
	Beside     int           `help:"Play each seed also with so many disk servers, and compare what the schedulers need."`
	Program    string        `type:"existingfile" help:"Build of merlinhitch whose schedulers are played; this one if none is named."`
}

// Help tells what the command does and how it ends.
func (c *soakCmd) Help() string {
	return "Starts real schedulers on loopback before stand-in disk servers, discovery and clients, draws faults from each seed, and " +
		"judges what passed on the sockets by the platform's rules. Status 1: a rule was broken; the seed, the rule, the time and the " +
		"request's whole way are printed. Status 2: an option is out of range."
}

const (
	maxSeeds          = 1000
	exitInvalidOption = 2
)

func (c *soakCmd) programPath() (string, error) {
	if c.Program != "" {
		return c.Program, nil
	}
	return os.Executable()
}

// Run plays the seeds.
func (c *soakCmd) Run() error {
	programPath, err := c.programPath()
	if err != nil {
		return err
	}
	options := soak.Defaults()
	options.Command = soak.Command{Path: programPath, Args: []string{"scheduler"}}
	options.Schedulers, options.Servers, options.Rate, options.Lasts, options.Share = c.Schedulers, c.Servers, c.Rate, c.Lasts, c.Share
	options.WholeLists, options.Indented = c.Whole, c.Indented
	if err := options.Check(); err != nil || c.Seeds < 1 || c.Seeds > maxSeeds {
		if err == nil {
			err = fmt.Errorf("seeds is %d; it goes from 1 to %d", c.Seeds, maxSeeds)
		}
		fmt.Fprintln(os.Stderr, "merlinhitch:", err)
		os.Exit(exitInvalidOption)
	}
	failedSeeds := 0
	for seed := c.From; seed < c.From+uint64(c.Seeds); seed++ {
		options.Seed = seed
		ok, err := c.playSeed(options)
		if err != nil {
			return err
		}
		if !ok {
			failedSeeds++
		}
	}
	fmt.Printf("%d of %d seeds kept all rules\n", c.Seeds-failedSeeds, c.Seeds)
	if failedSeeds > 0 {
		return errReported
	}
	return nil
}

// playSeed plays one seed, and with Beside the same with fewer disk servers; false if a rule was
// broken or a bound passed.
func (c *soakCmd) playSeed(options soak.Options) (bool, error) {
	largeRun, largeOK, err := playAndReport(options)
	if err != nil || c.Beside == 0 {
		return largeOK, err
	}
	options.Servers = c.Beside
	smallRun, smallOK, err := playAndReport(options)
	if err != nil {
		return false, err
	}
	withinBounds := soak.Compare(os.Stdout, smallRun, largeRun)
	return largeOK && smallOK && withinBounds, nil
}

func playAndReport(options soak.Options) (*soak.Run, bool, error) {
	run, violations, err := soak.Play(options, soak.Draw(options))
	if err != nil {
		return nil, false, err
	}
	fmt.Println(run.Summary(violations))
	if len(violations) > 0 {
		run.Explain(os.Stdout, violations)
	}
	return run, len(violations) == 0, nil
}
