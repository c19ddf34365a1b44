// Command merlinhitch-scheduler runs a scheduler, as `merlinhitch scheduler` does. It contains
// nothing else, since the pages of a program that are resident count as memory of its process.
package main

import (
	"flag"
	"os"

	"merlinhitch/internal/control/scheduler"
	"merlinhitch/internal/control/schedulerd"
)

func main() {
	configFile := flag.String("config", os.Getenv(scheduler.EnvConfig), "configuration `file`; SIGHUP reloads it; by default, that of $"+scheduler.EnvConfig)
	logLevel := flag.String("log-level", "info", "minimum log level: debug, info, warn or error")
	flag.Parse()
	log, err := schedulerd.NewLogger(*logLevel)
	if err != nil {
		schedulerd.ReportAndExit(&schedulerd.InvalidConfigError{Err: err})
	}
	if err := schedulerd.Run(*configFile, log); err != nil {
		schedulerd.ReportAndExit(err)
	}
}
