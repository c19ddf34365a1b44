package main

import (
	"os"
	"strings"
	"testing"
	"time"

	"merlinhitch/internal/simulation/soak"
)

// schedulerCommand runs the test binary as `merlinhitch scheduler`. GORACE turns off the race
// detector's delay of one second at exit.
func schedulerCommand() soak.Command {
	return soak.Command{Path: os.Args[0], Env: []string{runAsSchedulerEnv + "=1", "GORACE=atexit_sleep_ms=0"}}
}

// everyTenth returns the indexes first, first+10 and so on, below servers.
func everyTenth(servers, first int) (picked []int) {
	for i := first; i < servers; i += 10 {
		picked = append(picked, i)
	}
	return picked
}

// Regression test for incident 4d103e: with thousands of disk servers and a fraction of a core,
// discovery returns with the whole list just before a release. Every request must still be
// answered in time, and none be sent to draining servers.
func TestReleaseOfAFleetOfThousands(t *testing.T) {
	options := soak.DefaultOptions()
	options.Command, options.Schedulers, options.Servers, options.Rate, options.Duration, options.CoreShare, options.FullListPerWatch = schedulerCommand(), 1, 3200, 60, 7*time.Second, 0.1, true
	options.FaultyResponseInterval = 0
	if testing.Short() { // -short is used with the race detector, under which the process is about ten times slower
		options.CoreShare = 1
	}
	setHealth := func(first int, health string) func(*soak.Run) {
		return func(r *soak.Run) { r.Directory.SetHealth(everyTenth(options.Servers, first), health) }
	}
	run, violations, err := soak.Execute(options, []soak.Fault{
		{At: 1000 * time.Millisecond, Name: "discovery goes down", Inject: func(r *soak.Run) {
			r.Agent(0).SetDown(true)
			r.Agent(0).ResetWatches()
		}},
		{At: 2500 * time.Millisecond, Name: "discovery is back", Inject: func(r *soak.Run) { r.Agent(0).SetDown(false) }},
		{At: 2600 * time.Millisecond, Name: "a tenth drains", Inject: setHealth(0, "leaving")},
		{At: 3000 * time.Millisecond, Name: "the next tenth drains", Inject: setHealth(1, "leaving")},
		{At: 3400 * time.Millisecond, Name: "the first tenth is gone", Inject: setHealth(0, "left")},
		{At: 3800 * time.Millisecond, Name: "the first tenth is back, cold", Inject: setHealth(0, "active")},
		{At: 4200 * time.Millisecond, Name: "the next tenth is gone", Inject: setHealth(1, "left")},
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Log(len(run.Record.Requests), "requests,", len(run.Record.Attempts), "attempts")
	for _, violation := range violations[:min(len(violations), 10)] {
		t.Error(violation)
	}
	if len(violations) > 0 {
		t.Errorf("%d rule violations in total; log lines of the scheduler:", len(violations))
		for line := range strings.SplitSeq(run.Record.Exits[0].Log, "\n") {
			if strings.Contains(line, "event loop late") || strings.Contains(line, "list taken") {
				t.Log(line)
			}
		}
	}
}
