package main

import (
	"fmt"
	"math"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"sync"
	"syscall"

	"go.uber.org/zap"

	"merlinhitch/internal/control/scheduler"
	"merlinhitch/internal/runtime/env"
)

type schedulerCmd struct {
	Config string `env:"ROUTER_CONFIG" required:"" help:"Configuration file; SIGHUP reloads it." placeholder:"FILE"`
}

// exitInvalidConfig is the exit status for a configuration that cannot be read or is invalid.
const exitInvalidConfig = 2

// heapLimitFraction is the Go runtime's soft memory limit as a fraction of limits.memory_mb;
// the rest is left for the program image and kernel buffers.
const heapLimitFraction = 0.6

// Run serves until SIGTERM or SIGINT, then returns once the scheduler has drained. SIGHUP
// reloads the configuration.
func (c *schedulerCmd) Run(log *zap.Logger) error {
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGHUP, os.Interrupt)
	config, err := c.readConfig()
	if err != nil {
		fmt.Fprintln(os.Stderr, "merlinhitch:", err)
		os.Exit(exitInvalidConfig)
	}
	runtime.GOMAXPROCS(max(int(math.Ceil(config.Limits.Cores)), 1))
	if memoryMB := config.Limits.MemoryMB; memoryMB > 0 {
		debug.SetMemoryLimit(int64(heapLimitFraction * float64(memoryMB<<20)))
	}
	log = log.Named(config.Name)
	instance, err := scheduler.Start(env.NewReal(), config, log)
	if err != nil {
		return err
	}
	log.Info("listening", zap.String("address", config.Listen), zap.Int("memory_mb", config.Limits.MemoryMB), zap.Int("sockets", config.Limits.Sockets), zap.Float64("cores", config.Limits.Cores))
	drained := make(chan struct{})
	drain := sync.OnceFunc(func() {
		go func() {
			defer close(drained)
			instance.Drain()
		}()
	})
	for {
		select {
		case <-drained:
			return nil
		case sig := <-signals:
			if sig == syscall.SIGHUP {
				c.reload(instance, log)
			} else {
				drain()
			}
		}
	}
}

// reload applies the configuration file again; an invalid one is logged and changes nothing.
func (c *schedulerCmd) reload(instance *scheduler.Scheduler, log *zap.Logger) {
	config, err := c.readConfig()
	if err != nil {
		log.Error("the new configuration is not taken", zap.Error(err))
		return
	}
	instance.Reload(config)
}

func (c *schedulerCmd) readConfig() (*scheduler.Config, error) {
	data, err := os.ReadFile(c.Config)
	if err != nil {
		return nil, err
	}
	return scheduler.ParseConfig(data, os.Getenv)
}
