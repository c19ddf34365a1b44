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
	Config string `env:"ROUTER_CONFIG" required:"" help:"File of the configuration; SIGHUP reads it again." placeholder:"FILE"`
}

// badConfig is the exit status at a fault of the configuration.
const badConfig = 2

// heapPart of the machine's memory is what Go may take before it collects harder; the
// rest is for the program itself and the kernel's buffers.
const heapPart = 0.6

// Run serves until SIGTERM, and then until all that was taken is answered.
func (c *schedulerCmd) Run(log *zap.Logger) error {
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGHUP, os.Interrupt)
	conf, err := c.read()
	if err != nil {
		fmt.Fprintln(os.Stderr, "merlinhitch:", err)
		os.Exit(badConfig)
	}
	runtime.GOMAXPROCS(max(int(math.Ceil(conf.Limits.Cores)), 1))
	if mb := conf.Limits.MemoryMB; mb > 0 {
		debug.SetMemoryLimit(int64(heapPart * float64(mb<<20)))
	}
	log = log.Named(conf.Name)
	s, err := scheduler.Start(env.NewReal(), conf, log)
	if err != nil {
		return err
	}
	log.Info("listening", zap.String("address", conf.Listen), zap.Int("memory_mb", conf.Limits.MemoryMB), zap.Int("sockets", conf.Limits.Sockets), zap.Float64("cores", conf.Limits.Cores))
	ended := make(chan struct{})
	drain := sync.OnceFunc(func() {
		go func() {
			defer close(ended)
			s.Drain()
		}()
	})
	for {
		select {
		case <-ended:
			return nil
		case sig := <-signals:
			if sig == syscall.SIGHUP {
				c.reload(s, log)
			} else {
				drain()
			}
		}
	}
}

// reload reads the configuration again; one with a fault changes nothing.
func (c *schedulerCmd) reload(s *scheduler.Scheduler, log *zap.Logger) {
	conf, err := c.read()
	if err != nil {
		log.Error("the new configuration is not taken", zap.Error(err))
		return
	}
	s.Reload(conf)
}

func (c *schedulerCmd) read() (*scheduler.Config, error) {
	b, err := os.ReadFile(c.Config)
	if err != nil {
		return nil, err
	}
	return scheduler.ParseConfig(b, os.Getenv)
}
