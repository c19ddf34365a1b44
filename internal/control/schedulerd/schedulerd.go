// Package schedulerd runs a scheduler as a process: it reads the configuration file, sets the
// limits of the Go runtime, and maps signals to a reload and a drain.
package schedulerd

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
	"go.uber.org/zap/zapcore"

	"merlinhitch/internal/control/scheduler"
	"merlinhitch/internal/runtime/env"
)

// ExitInvalidConfig is the exit status for a configuration that cannot be read or is invalid at
// the start.
const ExitInvalidConfig = 2

// InvalidConfigError reports a configuration file that cannot be read or is invalid at the start.
type InvalidConfigError struct{ Err error }

func (e *InvalidConfigError) Error() string { return e.Err.Error() }

// Unwrap returns the error of the file or of its content.
func (e *InvalidConfigError) Unwrap() error { return e.Err }

// Run serves until SIGTERM or SIGINT, then returns once the scheduler has drained. SIGHUP reloads
// configFile. It returns an *InvalidConfigError if the file is not usable at the start.
func Run(configFile string, log *zap.Logger) error {
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGHUP, os.Interrupt)
	config, err := readConfig(configFile)
	if err != nil {
		return &InvalidConfigError{err}
	}
	runtime.GOMAXPROCS(max(int(math.Ceil(config.Limits.Cores)), 1))
	limitHeap(config)
	log = log.Named(config.Name)
	instance, err := scheduler.Start(env.NewReal(), config, log)
	if err != nil {
		return err
	}
	log.Info("listening", zap.String("address", config.Listen), zap.Int("memory_mb", config.Limits.MemoryMB), zap.Int("sockets", config.Limits.Sockets), zap.Float64("cores", config.Limits.Cores))
	handleSignals(signals, instance, configFile, log)
	return nil
}

// handleSignals returns once a drain has ended.
func handleSignals(signals <-chan os.Signal, instance *scheduler.Scheduler, configFile string, log *zap.Logger) {
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
			return
		case sig := <-signals:
			if sig == syscall.SIGHUP {
				reload(instance, configFile, log)
			} else {
				drain()
			}
		}
	}
}

// reload applies the configuration file again; an invalid one is logged and changes nothing.
func reload(instance *scheduler.Scheduler, configFile string, log *zap.Logger) {
	config, err := readConfig(configFile)
	if err != nil {
		log.Error("the new configuration is not taken", zap.Error(err))
		return
	}
	limitHeap(config)
	instance.Reload(config)
}

// limitHeap sets the soft memory limit of the Go runtime.
func limitHeap(config *scheduler.Config) {
	if config.Limits.MemoryMB > 0 {
		debug.SetMemoryLimit(scheduler.PlanMemory(config.Limits).HeapBytes)
	}
}

func readConfig(configFile string) (*scheduler.Config, error) {
	data, err := os.ReadFile(configFile)
	if err != nil {
		return nil, err
	}
	config, err := scheduler.ParseConfig(data, os.Getenv)
	if err == nil {
		config.Limits.ImageBytes = mappedFileBytes()
	}
	return config, err
}

// NewLogger returns a logger that writes JSON lines to standard error. Of lines with the same
// level and message, the first 100 in a second and then every 100th are written.
func NewLogger(level string) (*zap.Logger, error) {
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

// ReportAndExit ends the process after err with a line on standard error: with ExitInvalidConfig
// for an *InvalidConfigError, or else with 1.
func ReportAndExit(err error) {
	fmt.Fprintln(os.Stderr, "merlinhitch:", err)
	if _, invalid := err.(*InvalidConfigError); invalid {
		os.Exit(ExitInvalidConfig)
	}
	os.Exit(1)
}
