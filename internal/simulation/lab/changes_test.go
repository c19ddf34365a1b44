package lab

import (
	"context"
	"strings"
	"testing"

	"merlinhitch/internal/verify/rules"
	"merlinhitch/internal/verify/trail"
)

// Four operators change settings all through a bad day; no command is judged by a mixture
// and the record is what they were answered. Then the trail is doctored in every way that
// the checker is there for.
func TestSettingsChangesUnderFaults(t *testing.T) {
	rate := 150.0
	if testing.Short() {
		rate = 75
	}
	r, err := RunSettingsChanges(context.Background(), Options{Seed: 5, Commands: int(4 * rate), Rate: rate, Hosts: 2, Servers: 6, FaultKinds: []string{"crash", "balancer_crash", "net_hang"}}, 4, 80)
	if err != nil {
		t.Fatal(err)
	}
	var b strings.Builder
	r.Print(&b)
	t.Log("\n" + b.String())
	if !r.OK() || r.Accepted < 20 || r.Versions.Commands < int(rate) {
		t.Fatal("not kept, or too little happened")
	}
	for name, doctor := range map[string]func(e *trail.Event) bool{
		"a version that never was": func(e *trail.Event) bool { e.SettingsVersion = 9999; return true },
		"another plan":             func(e *trail.Event) bool { e.Plan += "x"; return true },
		"another effect":           func(e *trail.Event) bool { e.Effect = (e.Effect + 1) % 3; return true },
		"more time":                func(e *trail.Event) bool { e.Deadline += 60e6; return true },
		"more units":               func(e *trail.Event) bool { e.Units++; return e.Op == "read" || e.Op == "write" },
		"an old version": func(e *trail.Event) bool {
			was := e.SettingsVersion
			e.SettingsVersion = 1
			return was > 3
		},
		"a version to come": func(e *trail.Event) bool {
			list := r.applied[trail.HostName(e.Host)]
			last := list[len(list)-1]
			e.SettingsVersion = last.Settings.Version
			return last.RequestedAt > e.Time
		},
	} {
		found := false
		for i := range r.trail {
			e := r.trail[i]
			if e.Kind != trail.Do || e.Session == 0 || !doctor(&e) {
				continue
			}
			events := append([]trail.Event(nil), r.trail...)
			events[i] = e
			v := rules.CheckVersions(r.meta, events, r.applied)
			if found = v.ViolationCount > 0; found || i > len(r.trail)/2 {
				break
			}
		}
		if !found {
			t.Errorf("%s was not found", name)
		}
	}
}
