package scheduler

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"

	"merlinhitch/internal/runtime/env"
)

// delayWatcher looks at the clock at short intervals and records when it ran late, so that the failure
// of a test on real time can be told from a delay of the machine. The scheduler and the disk servers of
// such a test share this process.
type delayWatcher struct {
	environment env.Environment
	ended       env.Gate
	tasks       env.WaitGroup
	looks       int
	delays      []machineDelay
}

// machineDelay is a time in which the watcher did not run though it was due.
type machineDelay struct{ endedAt, duration time.Duration }

const (
	watchInterval    = 2 * time.Millisecond
	minReportedDelay = 20 * time.Millisecond
	maxReportedCount = 20
)

// watchDelays starts a watcher. It must be stopped.
func watchDelays(environment env.Environment) *delayWatcher {
	w := &delayWatcher{environment: environment}
	w.tasks.Go(environment, func() {
		for due := environment.Now() + watchInterval; env.Sleep(environment, watchInterval, &w.ended); due = environment.Now() + watchInterval {
			w.looks++
			if now := environment.Now(); now-due > minReportedDelay {
				w.delays = append(w.delays, machineDelay{now, now - due})
			}
		}
	})
	return w
}

func (w *delayWatcher) stop() {
	w.ended.Open()
	w.tasks.Wait(w.environment)
}

// report lists the longest delays. It must be called after stop.
func (w *delayWatcher) report() string {
	var b strings.Builder
	fmt.Fprintf(&b, "this process ran late %d times of %d by more than %s", len(w.delays), w.looks, minReportedDelay)
	slices.SortFunc(w.delays, func(a, b machineDelay) int { return cmp.Compare(b.duration, a.duration) })
	for _, d := range w.delays[:min(len(w.delays), maxReportedCount)] {
		fmt.Fprintf(&b, "; %s until %s", d.duration.Round(time.Millisecond), d.endedAt.Round(time.Millisecond))
	}
	return b.String()
}
