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

// Three hosts on limited volumes whose plan asks for many times its rate, one
// killed and started again: the limit holds over all of them.
func TestLimitOverThreeHostsAndARestart(t *testing.T) {
	result := runDay(t, 2, 900, 300, "tenant_burst", "balancer_crash")
	if result.Checker.Checks[rules.Limits] == 0 {
		t.Error("no send of a limited volume")
	}
}

// A hall of servers restarts within 0.4 s while clients repeat at once, without
// heed of advice.
func TestHallRestartUnderAggressiveRetries(t *testing.T) {
	result := runDay(t, 3, 900, 300, "mass_restart", "retry_abuse")
	if result.Checker.Checks[rules.Cold] == 0 {
		t.Error("no send to a cold server")
	}
}

// Clients that give up, by abort and by closing, while servers drain, tear
// connections, answer late and fail at once, so that there are repeats to judge.
func TestClientAbortsUnderNetworkFaults(t *testing.T) {
	result := runDay(t, 4, 1800, 300, "give_up", "deploy", "net_torn", "net_late", "fast_errors")
	// With the race detector a machine may be too slow for any repeat to be in time.
	if !testing.Short() && (result.Checker.Checks[rules.Drains] == 0 || result.Checker.Checks[rules.Effects] == 0) {
		t.Errorf("checks: %v", result.Checker.Checks)
	}
}

// The ledger rejects what could not have been read.
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
		t.Errorf("the last write: %v", violations)
	}
	history, firstStamp, _ := newHistory()
	if violations := read(history, 10, lab.Stamp(firstStamp, 512), 3.5); len(violations) != 0 {
		t.Errorf("the write before, while the last is under way: %v", violations)
	}
	impossibleReads := map[string]func(l *lab.BlockHistory, a, b uint64) []string{
		"older than the last acknowledged": func(l *lab.BlockHistory, a, _ uint64) []string { return read(l, 10, lab.Stamp(a, 512), 5) },
		"zeros after a write":              func(l *lab.BlockHistory, _, _ uint64) []string { return read(l, 11, make([]byte, 512), 5) },
		"a write nobody sent":              func(l *lab.BlockHistory, _, _ uint64) []string { return read(l, 10, lab.Stamp(99, 512), 5) },
		"a write of another place":         func(l *lab.BlockHistory, a, _ uint64) []string { return read(l, 12, lab.Stamp(a, 512), 5) },
		"before it was sent":               func(l *lab.BlockHistory, _, b uint64) []string { return read(l, 10, lab.Stamp(b, 512), 2.5) },
		"parts of two": func(l *lab.BlockHistory, a, b uint64) []string {
			return read(l, 10, append(lab.Stamp(a, 256), lab.Stamp(b, 256)...), 3.5)
		},
		"a write that was refused": func(l *lab.BlockHistory, _, _ uint64) []string {
			c := l.BeginWrite("v", 10, 1, seconds(5))
			l.EndWrite(c, lab.WriteNotApplied, seconds(6))
			return read(l, 10, lab.Stamp(c, 512), 7)
		},
		"a failed write that lands after a later one": func(l *lab.BlockHistory, _, _ uint64) []string {
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
			t.Errorf("%s: accepted", name)
		}
	}
}

func TestUnknownFaultKindIsRejected(t *testing.T) {
	if _, err := lab.BadDay(context.Background(), lab.Options{Hosts: 1, Servers: 3, Commands: 1, Rate: 1, FaultKinds: []string{"earthquake"}}); err == nil {
		t.Error("taken")
	}
}

// Losses of every kind are seen by the router, and nothing is announced while they
// last. How soon is measured by `merlinhitch announce losses`, not judged here.
func TestRouterSeesEveryLoss(t *testing.T) {
	rows, err := lab.MeasureLosses(context.Background(), 2, 4, io.Discard)
	if err != nil {
		t.Fatal(err)
	}
	for _, row := range rows {
		if row.NotSeen+row.WrongAnnouncements > 0 || row.Delays.TotalCount() != 2 {
			t.Errorf("%s: %d seen, %d not, %d announced while unable", row.Kind, row.Delays.TotalCount(), row.NotSeen, row.WrongAnnouncements)
		}
	}
}

// A hall goes dark, hosts and all, under clients that follow announcements: the rules
// hold, and who finds a host is served by one that is there.
func TestHallPowerLossWithAnnouncements(t *testing.T) {
	parallel := 4
	if testing.Short() { // as under the race detector, where four whole halls at once are more than a machine can do in time
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

// The solver's layout comes into force step by step on a busy day: the rules hold and
// every block that was written is read back.
func TestLayoutAppliedUnderLoad(t *testing.T) {
	result, err := lab.RunLayoutRollout(context.Background(), lab.Options{Seed: 1, Hosts: 3, Servers: 9, Commands: 1500, Rate: 260})
	if err != nil {
		t.Fatal(err)
	}
	if result.Broken > 0 || result.Steps == 0 {
		t.Errorf("%d steps; %s", result.Steps, result.FirstFailure)
	}
}
