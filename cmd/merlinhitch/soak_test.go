package main

import (
	"os"
	"strings"
	"testing"
	"time"

	"merlinhitch/internal/simulation/soak"
)

// schedulerCommand has the test binary run as `merlinhitch scheduler`. The race detector would
// have it rest for a second at its end.
func schedulerCommand() soak.Command {
	return soak.Command{Path: os.Args[0], Env: []string{runAsSchedulerEnv + "=1", "GORACE=atexit_sleep_ms=0"}}
}

// everyTenth lists every everyTenth server, from one on.
func everyTenth(servers, first int) (picked []int) {
	for i := first; i < servers; i += 10 {
		picked = append(picked, i)
	}
	return picked
}

// Incident 4d103e: thousands of disk servers, a scheduler with a part of a core, discovery
// that was silent and comes back with the whole list and a release right behind it. Every
// request gets its final answer in its time, and nothing goes to what drains.
func TestReleaseOfAFleetOfThousands(t *testing.T) {
	options := soak.Defaults()
	options.Command, options.Schedulers, options.Servers, options.Rate, options.Lasts, options.Share, options.WholeLists = schedulerCommand(), 1, 3200, 60, 7*time.Second, 0.1, true
	if testing.Short() { // under the race detector, which makes the program some ten times slower
		options.Share = 1
	}
	setHealth := func(first int, health string) func(*soak.Run) {
		return func(r *soak.Run) { r.Directory.Change(everyTenth(options.Servers, first), health) }
	}
	run, violations, err := soak.Play(options, []soak.Fault{
		{At: 1000 * time.Millisecond, Name: "discovery falls silent", Do: func(r *soak.Run) {
			r.Agent(0).SetDown(true)
			r.Agent(0).ResetWatches()
		}},
		{At: 2500 * time.Millisecond, Name: "discovery is back", Do: func(r *soak.Run) { r.Agent(0).SetDown(false) }},
		{At: 2600 * time.Millisecond, Name: "a tenth drains", Do: setHealth(0, "leaving")},
		{At: 3000 * time.Millisecond, Name: "the next tenth drains", Do: setHealth(1, "leaving")},
		{At: 3400 * time.Millisecond, Name: "the first tenth is gone", Do: setHealth(0, "left")},
		{At: 3800 * time.Millisecond, Name: "the first tenth is back, cold", Do: setHealth(0, "active")},
		{At: 4200 * time.Millisecond, Name: "the next tenth is gone", Do: setHealth(1, "left")},
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Log(len(run.Record.Requests), "requests,", len(run.Record.Attempts), "attempts")
	for _, violation := range violations[:min(len(violations), 10)] {
		t.Error(violation)
	}
	if len(violations) > 0 {
		t.Errorf("%d breaks in all; the scheduler's log:", len(violations))
		for line := range strings.SplitSeq(run.Record.Ends[0].Log, "\n") {
			if strings.Contains(line, "event loop late") || strings.Contains(line, "list taken") {
				t.Log(line)
			}
		}
	}
}
