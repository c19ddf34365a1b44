package lab_test

import (
	"context"
	"io"
	"strings"
	"testing"
	"time"

	"go.uber.org/goleak"

	"merlinhitch/internal/simulation/lab"
	"merlinhitch/internal/verify/rules"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// runDay runs a loopback day with the given faults and fails the test if any check fails.
func runDay(t *testing.T, seed uint64, commands int, rate float64, faultKinds ...string) *lab.Result {
	t.Helper()
	result, err := lab.BadDay(context.Background(), lab.Options{Seed: seed, Commands: commands, Rate: rate, Hosts: 3, Servers: 9, FaultKinds: faultKinds})
	if err != nil {
		t.Fatal(err)
	}
	if !result.OK() {
		var report strings.Builder
		result.Print(&report)
		t.Fatal(report.String())
	}
	return result
}

// Rate limits hold over three hosts together, under bursts and with one host killed and restarted.
func TestLimitOverThreeHostsAndARestart(t *testing.T) {
	result := runDay(t, 2, 900, 300, "tenant_burst", "balancer_crash")
	if result.Checker.Checks[rules.Limits] == 0 {
		t.Error("rule on limits was never checked")
	}
}

// Cold servers are not overloaded when a hall restarts while clients retry at once and ignore
// retry-after advice.
func TestHallRestartUnderAggressiveRetries(t *testing.T) {
	result := runDay(t, 3, 900, 300, "mass_restart", "retry_abuse")
	if result.Checker.Checks[rules.Cold] == 0 {
		t.Error("rule on cold servers was never checked")
	}
}

// Rules hold while clients give up, by abort or by closing, and servers drain, break connections, answer
// late and fail at once, which causes retries.
func TestClientAbortsUnderNetworkFaults(t *testing.T) {
	result := runDay(t, 4, 1800, 300, "give_up", "deploy", "net_torn", "net_late", "fast_errors")
	// With the race detector a machine may be too slow for any retry to be in time.
	if !testing.Short() && (result.Checker.Checks[rules.Drains] == 0 || result.Checker.Checks[rules.Effects] == 0) {
		t.Errorf("rules on drains and effects: got checks %v, want some of each", result.Checker.Checks)
	}
}

// The block history accepts possible reads and rejects impossible ones.
func TestBlockHistoryRejectsImpossibleReads(t *testing.T) {
	seconds := func(count float64) time.Duration { return time.Duration(count * float64(time.Second)) }
	newHistory := func() (*lab.BlockHistory, uint64, uint64) {
		history := lab.NewBlockHistory()
		first := history.BeginWrite("v", 10, 2, seconds(1))
		history.EndWrite(first, lab.WriteAcked, seconds(2))
		second := history.BeginWrite("v", 10, 1, seconds(3))
		history.EndWrite(second, lab.WriteAcked, seconds(4))
		return history, first, second
	}
	read := func(history *lab.BlockHistory, lba uint64, data []byte, second float64) []string {
		history.RecordRead("v", lba, data, 512, seconds(second), seconds(second+0.1))
		return history.CheckReads()
	}
	history, _, lastStamp := newHistory()
	if violations := read(history, 10, lab.Stamp(lastStamp, 512), 5); len(violations) != 0 {
		t.Errorf("read of the last write rejected: %v", violations)
	}
	history, firstStamp, _ := newHistory()
	if violations := read(history, 10, lab.Stamp(firstStamp, 512), 3.5); len(violations) != 0 {
		t.Errorf("read of the previous write during the last one rejected: %v", violations)
	}
	impossibleReads := map[string]func(l *lab.BlockHistory, a, b uint64) []string{
		"write before the last acknowledged one": func(l *lab.BlockHistory, a, _ uint64) []string { return read(l, 10, lab.Stamp(a, 512), 5) },
		"zeros after a write":                    func(l *lab.BlockHistory, _, _ uint64) []string { return read(l, 11, make([]byte, 512), 5) },
		"write that nobody sent":                 func(l *lab.BlockHistory, _, _ uint64) []string { return read(l, 10, lab.Stamp(99, 512), 5) },
		"write of another block":                 func(l *lab.BlockHistory, a, _ uint64) []string { return read(l, 12, lab.Stamp(a, 512), 5) },
		"write before it was sent":               func(l *lab.BlockHistory, _, b uint64) []string { return read(l, 10, lab.Stamp(b, 512), 2.5) },
		"parts of two writes": func(l *lab.BlockHistory, a, b uint64) []string {
			return read(l, 10, append(lab.Stamp(a, 256), lab.Stamp(b, 256)...), 3.5)
		},
		"write that was refused": func(l *lab.BlockHistory, _, _ uint64) []string {
			c := l.BeginWrite("v", 10, 1, seconds(5))
			l.EndWrite(c, lab.WriteNotApplied, seconds(6))
			return read(l, 10, lab.Stamp(c, 512), 7)
		},
		"failed write applied after a later one": func(l *lab.BlockHistory, _, _ uint64) []string {
			c := l.BeginWrite("v", 10, 1, seconds(5))
			l.EndWrite(c, lab.WriteIndeterminate, seconds(6))
			d := l.BeginWrite("v", 10, 1, seconds(7))
			l.EndWrite(d, lab.WriteAcked, seconds(8))
			return read(l, 10, lab.Stamp(c, 512), 9)
		},
	}
	for name, check := range impossibleReads {
		history, firstStamp, lastStamp := newHistory()
		if violations := check(history, firstStamp, lastStamp); len(violations) == 0 {
			t.Errorf("impossible read accepted: %s", name)
		}
	}
}

func TestUnknownFaultKindIsRejected(t *testing.T) {
	if _, err := lab.BadDay(context.Background(), lab.Options{Hosts: 1, Servers: 3, Commands: 1, Rate: 1, FaultKinds: []string{"earthquake"}}); err == nil {
		t.Error("unknown fault kind accepted")
	}
}

// The router sees every kind of loss, and nothing is announced while one lasts. Delays are measured by
// `merlinhitch announce losses`, not checked here.
func TestRouterSeesEveryLoss(t *testing.T) {
	rows, err := lab.MeasureLosses(context.Background(), 2, 4, io.Discard)
	if err != nil {
		t.Fatal(err)
	}
	for _, row := range rows {
		if row.NotSeen+row.WrongAnnouncements > 0 || row.Delays.TotalCount() != 2 {
			t.Errorf("%s: %d losses seen, want 2; %d not seen, %d wrong announcements, want none", row.Kind, row.Delays.TotalCount(), row.NotSeen, row.WrongAnnouncements)
		}
	}
}

// Rules hold with each kind of routing while a hall loses power with its hosts, under clients that follow
// announcements.
func TestHallPowerLossWithAnnouncements(t *testing.T) {
	parallel := 4
	if testing.Short() { // the race detector is too slow for four fleets at once
		parallel = 1
	}
	rows, err := lab.CompareRouting(context.Background(), lab.Options{Hosts: 3, Servers: 9, Commands: 900, Rate: 150}, 1, parallel, io.Discard)
	if err != nil {
		t.Fatal(err)
	}
	for _, row := range rows {
		if row.Broken > 0 {
			t.Errorf("%s, %s: %s", row.Scenario, row.Routing, row.FirstFailure)
		}
	}
}

// Rules hold and every written block is read back while the solver's layout is applied step by step
// under load.
func TestLayoutAppliedUnderLoad(t *testing.T) {
	result, err := lab.RunLayoutRollout(context.Background(), lab.Options{Seed: 1, Hosts: 3, Servers: 9, Commands: 1500, Rate: 260})
	if err != nil {
		t.Fatal(err)
	}
	if result.Broken > 0 || result.Steps == 0 {
		t.Errorf("%d layout steps applied; first failure: %s", result.Steps, result.FirstFailure)
	}
}
