// Command merlinhitch runs the storage gateway, the scheduler, stand-ins for disk servers
// and the inventory, and operators' tools. A subcommand parses its arguments and calls the
// package that does the work.
package main

import (
	"errors"
	"fmt"
	"os"

	"github.com/alecthomas/kong"

	"merlinhitch/internal/control/schedulerd"
)

// globalOptions are accepted by every command.
type globalOptions struct {
	LogLevel string `default:"info" enum:"debug,info,warn,error" help:"Minimum log level (debug, info, warn, error)."`
}

type commandLine struct {
	globalOptions

	Gateway      gatewayCmd      `cmd:"" help:"Run a gateway: an iSCSI target that schedules requests to disk servers."`
	Scheduler    schedulerCmd    `cmd:"" help:"Run a scheduler: an HTTP server that schedules requests to disk servers."`
	Diskserver   diskserverCmd   `cmd:"" help:"Run a stand-in disk server."`
	Inventory    inventoryCmd    `cmd:"" help:"Run a stand-in inventory that serves the node list."`
	Soak         soakCmd         `cmd:"" help:"Run real schedulers on loopback under random faults and check the recorded traffic."`
	Settings     settingsCmd     `cmd:"" help:"Read, change, verify and test the settings of gateways."`
	Keys         keysCmd         `cmd:"" help:"Manage the service's certificate authority and the certificates of hosts, disk servers and operators."`
	Expect       expectCmd       `cmd:"" help:"Check expectations about routing and limits against settings, without sending any request."`
	Io           ioCmd           `cmd:"" help:"Log in to a volume and read or write blocks."`
	Badday       baddayCmd       `cmd:"" help:"Run a scripted fault workload on loopback and check the seven rules on its trail."`
	Explore      exploreCmd      `cmd:"" help:"Simulate random fault scenarios in virtual time and check every step."`
	Replay       replayCmd       `cmd:"" help:"Replay one recorded scenario deterministically."`
	Experiment   experimentCmd   `cmd:"" help:"Run load experiments in virtual time and save their tables and charts."`
	Reservations reservationsCmd `cmd:"" help:"Exercise persistent reservations over three hosts with crashes, pauses and cut links, and check the histories."`
	Conform      conformCmd      `cmd:"" help:"Test the conformance of a target to SPC-4, SBC-3 and RFC 7143."`
	Bench        benchCmd        `cmd:"" help:"Benchmark the gateway against a plain relay over the same hops."`
	Plan         planCmd         `cmd:"" help:"Compute the placement of volumes on nodes."`
	Regions      regionsCmd      `cmd:"" help:"Inspect, operate and test a service that spans two regions."`
	Top          topCmd          `cmd:"" help:"Show the live load of many hosts and what limits each."`
	Report       reportCmd       `cmd:"" help:"Write an HTML report of what hosts served."`
	Routes       routesCmd       `cmd:"" help:"Show the BGP routes that a gateway announces, to which routers, and why."`
	Announce     announceCmd     `cmd:"" help:"Measure BGP route announcements."`
	Trail        trailCmd        `cmd:"" help:"Check or print the trail of a run."`
}

// errReported makes a command that has already printed its failure exit with status 1.
var errReported = errors.New("failed")

// schedulerCommandLine has only the scheduler command, since building the grammar of all
// commands would delay the scheduler's start.
type schedulerCommandLine struct {
	globalOptions

	Scheduler schedulerCmd `cmd:"" help:"Run a scheduler: an HTTP server that schedules requests to disk servers."`
}

func main() {
	if len(os.Args) > 1 && os.Args[1] == "scheduler" {
		var line schedulerCommandLine
		run(&line, &line.globalOptions)
		return
	}
	var line commandLine
	run(&line, &line.globalOptions)
}

// run parses the command line into grammar and runs the selected command.
func run(grammar any, options *globalOptions) {
	parsed := kong.Parse(grammar, kong.Name("merlinhitch"), kong.Description("Storage gateway and request scheduler in front of disk servers."), kong.UsageOnError(), kong.Vars{"admin": defaultAdminAddress()})
	log, err := schedulerd.NewLogger(options.LogLevel)
	parsed.FatalIfErrorf(err)
	if err := parsed.Run(log); err != nil {
		if !errors.Is(err, errReported) {
			fmt.Fprintln(os.Stderr, "merlinhitch:", err)
		}
		os.Exit(1)
	}
}
