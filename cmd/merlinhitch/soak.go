package main

import (
	"fmt"
	"os"
	"path/filepath"
	"time"

	"merlinhitch/internal/simulation/soak"
)

type soakCmd struct {
	From          uint64        `default:"1" help:"First seed."`
	Seeds         int           `default:"5" help:"Number of seeds, run one after another (1 to 1000)."`
	Schedulers    int           `default:"3" help:"Number of scheduler processes (1 to 200)."`
	Servers       int           `default:"40" help:"Number of stand-in disk servers (1 to 5000)."`
	Rate          float64       `default:"60" help:"Requests per second to each scheduler."`
	Lasts         time.Duration `default:"15s" help:"Duration of the client traffic."`
	Share         float64       `default:"1" help:"Share of a core for each scheduler, enforced by pausing the process (0.01 to 1)."`
	Whole         bool          `help:"Start every discovery watch with the whole list."`
	Indented      bool          `help:"Send indented discovery messages."`
	Beside        int           `help:"Run each seed also with this smaller number of disk servers and compare the schedulers' resource use."`
	Memory        int           `default:"96" help:"limits.memory_mb of the schedulers (16 to 4096)."`
	Sockets       int           `default:"512" help:"limits.sockets of the schedulers (32 to 16384)."`
	Hostile       []string      `placeholder:"KIND:COUNT" help:"Hostile clients of each scheduler on every seed, such as stopped-writes:600 or leavers:60; a wrong kind lists all."`
	DrawHostile   bool          `help:"Draw two kinds of hostile clients, and the machine, from each third seed."`
	SlowDiscovery bool          `help:"Let discovery answer calls late, by a delay drawn from each seed, and refuse some."`
	Calm          bool          `help:"Inject no fault, spoil no response, and send requests that can all be served."`
	Program       string        `type:"existingfile" help:"Binary to run as schedulers, merlinhitch or merlinhitch-scheduler; by default, merlinhitch-scheduler beside this one, or else this one."`
}

// Help returns the detailed help text.
func (c *soakCmd) Help() string {
	return "Starts real schedulers on loopback with stand-in disk servers, discovery and clients, injects random faults drawn from each seed, and " +
		"checks the traffic on the sockets against the platform's rules. Exit status 1: a rule was broken, a bound of --beside was exceeded or a run failed; for a broken rule the seed, the rule, " +
		"the time and the trace of the request are printed. Exit status 2: an option is out of range."
}

const (
	maxSeeds          = 1000
	exitInvalidOption = 2
	calmServiceTime   = 20 * time.Millisecond
	calmResponseBytes = 4000
)

// schedulerProgram is the name of the command that contains the scheduler alone.
const schedulerProgram = "merlinhitch-scheduler"

// command returns the command that starts a scheduler.
func (c *soakCmd) command() (soak.Command, error) {
	program := c.Program
	if program == "" {
		own, err := os.Executable()
		if err != nil {
			return soak.Command{}, err
		}
		program = filepath.Join(filepath.Dir(own), schedulerProgram)
		if _, err := os.Stat(program); err != nil {
			program = own
		}
	}
	if filepath.Base(program) == schedulerProgram {
		return soak.Command{Path: program}, nil
	}
	return soak.Command{Path: program, Args: []string{"scheduler"}}, nil
}

// options returns the options of all seeds.
func (c *soakCmd) options() (soak.Options, error) {
	options := soak.DefaultOptions()
	var err error
	if options.Command, err = c.command(); err != nil {
		return options, err
	}
	options.Schedulers, options.Servers, options.Rate, options.Duration, options.CoreShare = c.Schedulers, c.Servers, c.Rate, c.Lasts, c.Share
	options.FullListPerWatch, options.IndentedJSON = c.Whole, c.Indented
	options.MemoryMB, options.Sockets, options.CheckMemory = c.Memory, c.Sockets, true
	if c.Calm {
		options.FaultyResponseInterval, options.AbandonProbability, options.PipelineProbability, options.LimitedFraction = 0, 0, 0, 0
		options.MeanServiceTime, options.ResponseBytes = calmServiceTime, calmResponseBytes
	}
	for _, text := range c.Hostile {
		group, err := soak.ParseHostileGroup(text)
		if err != nil {
			return options, &invalidOptionError{err}
		}
		options.Hostile = append(options.Hostile, group)
	}
	if err := options.Validate(); err != nil {
		return options, &invalidOptionError{err}
	}
	if c.Seeds < 1 || c.Seeds > maxSeeds {
		return options, &invalidOptionError{fmt.Errorf("seeds is %d, must be from 1 to %d", c.Seeds, maxSeeds)}
	}
	return options, nil
}

// invalidOptionError reports an option that is out of range.
type invalidOptionError struct{ error }

// Run runs every seed; it fails if any seed broke a rule or exceeded a bound.
func (c *soakCmd) Run() error {
	options, err := c.options()
	if invalid, ok := err.(*invalidOptionError); ok {
		fmt.Fprintln(os.Stderr, "merlinhitch:", invalid)
		os.Exit(exitInvalidOption)
	}
	if err != nil {
		return err
	}
	failedSeeds := 0
	for seed := c.From; seed < c.From+uint64(c.Seeds); seed++ {
		options.Seed = seed
		options := options
		if c.DrawHostile {
			options.DrawHostile()
		}
		if c.SlowDiscovery {
			options.DrawSlowDiscovery()
		}
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

// playSeed runs one seed, and with Beside also with fewer disk servers. It returns false if a
// rule was broken or resource use grew beyond the bounds.
func (c *soakCmd) playSeed(options soak.Options) (bool, error) {
	largeRun, largeOK, err := c.playAndReport(options)
	if err != nil || c.Beside == 0 {
		return largeOK, err
	}
	options.Servers = c.Beside
	smallRun, smallOK, err := c.playAndReport(options)
	if err != nil {
		return false, err
	}
	withinBounds := soak.CompareUsage(os.Stdout, smallRun, largeRun)
	return largeOK && smallOK && withinBounds, nil
}

func (c *soakCmd) playAndReport(options soak.Options) (*soak.Run, bool, error) {
	var faults []soak.Fault
	if !c.Calm {
		faults = soak.DrawFaults(options)
	}
	run, violations, err := soak.Execute(options, faults)
	if err != nil {
		return nil, false, err
	}
	fmt.Println(run.Summary(violations))
	if len(options.Hostile) > 0 {
		fmt.Println("  " + run.Service().String())
	}
	if len(violations) > 0 {
		run.Explain(os.Stdout, violations)
	}
	return run, len(violations) == 0, nil
}
