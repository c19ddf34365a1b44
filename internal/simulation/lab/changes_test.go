package lab

import (
	"context"
	"strings"
	"testing"

	"merlinhitch/internal/verify/rules"
	"merlinhitch/internal/verify/trail"
)

// Four operators change settings while faults strike and reservation keys change: each command is served by one version of the
// settings. Then the checker must detect every kind of corrupted trail.
func TestSettingsChangesUnderFaults(t *testing.T) {
	rate := 150.0
	if testing.Short() {
		rate = 75
	}
	result, err := RunSettingsChanges(context.Background(), Options{Seed: 5, Commands: int(4 * rate), Rate: rate, Hosts: 2, Servers: 6, FaultKinds: []string{"crash", "balancer_crash", "net_hang", "registrations"}}, 4, 80)
	if err != nil {
		t.Fatal(err)
	}
	var report strings.Builder
	result.Print(&report)
	t.Log("\n" + report.String())
	if !result.OK() || result.Accepted < 20 || result.Versions.Commands < int(rate) || result.AdminReads == 0 {
		t.Fatal("run failed, or too few changes or commands were checked, or the settings were never read")
	}
	for name, corrupt := range map[string]func(e *trail.Event) bool{
		"a version that never existed": func(e *trail.Event) bool { e.SettingsVersion = 9999; return true },
		"another plan":                 func(e *trail.Event) bool { e.Plan += "x"; return true },
		"another effect":               func(e *trail.Event) bool { e.Effect = (e.Effect + 1) % 3; return true },
		"a later deadline":             func(e *trail.Event) bool { e.Deadline += 60e6; return true },
		"more units":                   func(e *trail.Event) bool { e.Units++; return e.Op == "read" || e.Op == "write" },
		"an outdated version": func(e *trail.Event) bool {
			previous := e.SettingsVersion
			e.SettingsVersion = 1
			return previous > 3
		},
		"a future version": func(e *trail.Event) bool {
			versions := result.applied[trail.HostName(e.Host)]
			last := versions[len(versions)-1]
			e.SettingsVersion = last.Settings.Version
			return last.RequestedAt > e.Time
		},
	} {
		found := false
		for i := range result.trail {
			e := result.trail[i]
			if e.Kind != trail.Do || e.Session == 0 || !corrupt(&e) {
				continue
			}
			events := append([]trail.Event(nil), result.trail...)
			events[i] = e
			check := rules.CheckVersions(result.meta, events, result.applied)
			if found = check.ViolationCount > 0; found || i > len(result.trail)/2 {
				break
			}
		}
		if !found {
			t.Errorf("corrupted trail not detected: %s", name)
		}
	}
}
