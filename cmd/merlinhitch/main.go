// Command merlinhitch runs the storage gateway, its stand-ins and its tools. Each
// subcommand only reads its arguments and starts what a package does.
package main

import (
	"errors"
	"fmt"
	"os"

	"github.com/alecthomas/kong"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// globalOptions go before or behind every command.
type globalOptions struct {
	LogLevel string `default:"info" enum:"debug,info,warn,error" help:"Least level of log lines (debug, info, warn, error)."`
}

type commandLine struct {
	globalOptions

	Gateway      gatewayCmd      `cmd:"" help:"Run a host: iSCSI towards clients, the module, disk servers behind."`
	Scheduler    schedulerCmd    `cmd:"" help:"Run a scheduler in service: HTTP towards clients, the module, disk servers behind."`
	Diskserver   diskserverCmd   `cmd:"" help:"Run a stand-in disk server."`
	Inventory    inventoryCmd    `cmd:"" help:"Run a stand-in node list."`
	Soak         soakCmd         `cmd:"" help:"Play real schedulers on loopback through drawn faults and judge what passed."`
	Settings     settingsCmd     `cmd:"" help:"Read, change or draft the settings of a running gateway."`
	Keys         keysCmd         `cmd:"" help:"The service's own authority: certificates of hosts, disk servers and operators."`
	Expect       expectCmd       `cmd:"" help:"Answer what operators expect of routing and limits, without sending anything."`
	Io           ioCmd           `cmd:"" help:"Log in to a volume and read or write blocks."`
	Badday       baddayCmd       `cmd:"" help:"Play a scripted bad day on loopback and check the seven rules on what passed."`
	Explore      exploreCmd      `cmd:"" help:"Play days with drawn troubles in a virtual world and check every step."`
	Replay       replayCmd       `cmd:"" help:"Play one scene again, exactly."`
	Experiment   experimentCmd   `cmd:"" help:"Load experiments in a virtual world, kept as tables and charts."`
	Reservations reservationsCmd `cmd:"" help:"Play reservations over three hosts with crashes, pauses and cut links, and judge the histories."`
	Conform      conformCmd      `cmd:"" help:"Hold a target to SPC-4, SBC-3 and RFC 7143, check by check."`
	Bench        benchCmd        `cmd:"" help:"Measure the gateway beside a bare relay over the same hops."`
	Plan         planCmd         `cmd:"" help:"Work out which volume lies on which nodes."`
	Regions      regionsCmd      `cmd:"" help:"A service over two regions: who serves what, operators' words, and its days."`
	Top          topCmd          `cmd:"" help:"What many hosts do at once, and what holds each back."`
	Report       reportCmd       `cmd:"" help:"A page of charts and tables of what hosts served."`
	Routes       routesCmd       `cmd:"" help:"Show what a gateway announces, to which routers, and why."`
	Announce     announceCmd     `cmd:"" help:"Measure announcements."`
	Trail        trailCmd        `cmd:"" help:"Check or read the trail of a day."`
}

// errReported ends a command that has already said what is wrong.
var errReported = errors.New("failed")

// schedulerCommandLine is the command line of a scheduler alone: reading the whole one takes several
// times what else a scheduler does until it listens.
type schedulerCommandLine struct {
	globalOptions

	Scheduler schedulerCmd `cmd:"" help:"Run a scheduler in service: HTTP towards clients, the module, disk servers behind."`
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

// run reads the command line into grammar and runs the command that it names.
func run(grammar any, options *globalOptions) {
	parsed := kong.Parse(grammar, kong.Name("merlinhitch"), kong.Description("A storage gateway: iSCSI in front, the scheduler, disk servers behind."), kong.UsageOnError(), kong.Vars{"admin": defaultAdminAddress()})
	log, err := newLogger(options.LogLevel)
	parsed.FatalIfErrorf(err)
	if err := parsed.Run(log); err != nil {
		if !errors.Is(err, errReported) {
			fmt.Fprintln(os.Stderr, "merlinhitch:", err)
		}
		os.Exit(1)
	}
}

// newLogger writes JSON lines to standard error, at most a hundred alike a second
// and then one in a hundred.
func newLogger(level string) (*zap.Logger, error) {
	parsedLevel, err := zapcore.ParseLevel(level)
	if err != nil {
		return nil, err
	}
	config := zap.NewProductionConfig()
	config.Level = zap.NewAtomicLevelAt(parsedLevel)
	config.EncoderConfig.EncodeTime = zapcore.ISO8601TimeEncoder
	config.DisableStacktrace = true
	return config.Build()
}
