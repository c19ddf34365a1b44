package main

import (
	"go.uber.org/zap"

	"merlinhitch/internal/control/schedulerd"
)

type schedulerCmd struct {
	Config string `env:"ROUTER_CONFIG" required:"" help:"Configuration file; SIGHUP reloads it." placeholder:"FILE"`
}

// Run serves until SIGTERM or SIGINT, then returns once the scheduler has drained.
func (c *schedulerCmd) Run(log *zap.Logger) error {
	err := schedulerd.Run(c.Config, log)
	if _, invalid := err.(*schedulerd.InvalidConfigError); invalid {
		schedulerd.ReportAndExit(err)
	}
	return err
}
