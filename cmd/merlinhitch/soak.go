package main

import (
	"fmt"
	"os"
	"time"

	"merlinhitch/internal/simulation/soak"
)

type soakCmd struct {
	From       uint64        `default:"1" help:"First seed."`
	Seeds      int           `default:"5" help:"Number of seeds, run one after another (1 to 1000)."`
	Schedulers int           `default:"3" help:"Number of scheduler processes (1 to 200)."`
	Servers    int           `default:"40" help:"Number of stand-in disk servers (1 to 5000)."`
	Rate       float64       `default:"60" help:"Requests per second to each scheduler."`
	Lasts      time.Duration `default:"15s" help:"Duration of the client traffic."`
	Share      float64       `default:"1" help:"Share of a core for each scheduler, enforced by pausing the process (0.01 to 1)."`
	Whole      bool          `help:"Start every discovery watch with the whole list."`
	Indented   bool          `help:"Send indented discovery messages."`
	Beside     int           `help:"Run each seed also with this smaller number of disk servers and compare the schedulers' resource use."`
	Program    string        `type:"existingfile" help:"merlinhitch binary to run as schedulers; by default, this one."`
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
)

func (c *soakCmd) programPath() (string, error) {
	if c.Program != "" {
		return c.Program, nil
	}
	return os.Executable()
}

// Run runs every seed; it fails if any seed broke a rule or exceeded a bound.
func (c *soakCmd) Run() error {
	programPath, err := c.programPath()
	if err != nil {
		return err
	}
	options := soak.DefaultOptions()
	options.Command = soak.Command{Path: programPath, Args: []string{"scheduler"}}
	options.Schedulers, options.Servers, options.Rate, options.Duration, options.CoreShare = c.Schedulers, c.Servers, c.Rate, c.Lasts, c.Share
	options.FullListPerWatch, options.IndentedJSON = c.Whole, c.Indented
	if err := options.Validate(); err != nil || c.Seeds < 1 || c.Seeds > maxSeeds {
		if err == nil {
			err = fmt.Errorf("seeds is %d, must be from 1 to %d", c.Seeds, maxSeeds)
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

// playSeed runs one seed, and with Beside also with fewer disk servers. It returns false if a
// rule was broken or resource use grew beyond the bounds.
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
	withinBounds := soak.CompareUsage(os.Stdout, smallRun, largeRun)
	return largeOK && smallOK && withinBounds, nil
}

func playAndReport(options soak.Options) (*soak.Run, bool, error) {
	run, violations, err := soak.Execute(options, soak.DrawFaults(options))
	if err != nil {
		return nil, false, err
	}
	fmt.Println(run.Summary(violations))
	if len(violations) > 0 {
		run.Explain(os.Stdout, violations)
	}
	return run, len(violations) == 0, nil
}
