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
	mostSeeds = 1000
	badOption = 2
)

func (c *soakCmd) program() (string, error) {
	if c.Program != "" {
		return c.Program, nil
	}
	return os.Executable()
}

// Run plays the seeds.
func (c *soakCmd) Run() error {
	program, err := c.program()
	if err != nil {
		return err
	}
	o := soak.Defaults()
	o.Command = soak.Command{Path: program, Args: []string{"scheduler"}}
	o.Schedulers, o.Servers, o.Rate, o.Lasts, o.Share = c.Schedulers, c.Servers, c.Rate, c.Lasts, c.Share
	o.WholeLists, o.Indented = c.Whole, c.Indented
	if err := o.Check(); err != nil || c.Seeds < 1 || c.Seeds > mostSeeds {
		if err == nil {
			err = fmt.Errorf("seeds is %d; it goes from 1 to %d", c.Seeds, mostSeeds)
		}
		fmt.Fprintln(os.Stderr, "merlinhitch:", err)
		os.Exit(badOption)
	}
	bad := 0
	for seed := c.From; seed < c.From+uint64(c.Seeds); seed++ {
		o.Seed = seed
		ok, err := c.play(o)
		if err != nil {
			return err
		}
		if !ok {
			bad++
		}
	}
	fmt.Printf("%d of %d seeds kept all rules\n", c.Seeds-bad, c.Seeds)
	if bad > 0 {
		return errSaid
	}
	return nil
}

// play plays one seed, and with Beside the same with fewer disk servers; false if a rule was
// broken or a bound passed.
func (c *soakCmd) play(o soak.Options) (bool, error) {
	large, ok, err := playOnce(o)
	if err != nil || c.Beside == 0 {
		return ok, err
	}
	o.Servers = c.Beside
	small, smallOK, err := playOnce(o)
	if err != nil {
		return false, err
	}
	within := soak.Compare(os.Stdout, small, large)
	return ok && smallOK && within, nil
}

func playOnce(o soak.Options) (*soak.Run, bool, error) {
	run, broken, err := soak.Play(o, soak.Draw(o))
	if err != nil {
		return nil, false, err
	}
	fmt.Println(run.Summary(broken))
	if len(broken) > 0 {
		run.Explain(os.Stdout, broken)
	}
	return run, len(broken) == 0, nil
}
