package scheduler

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"
)

// An entry that cannot be right costs itself alone.
func TestInvalidListEntries(t *testing.T) {
	valid := entryJSON("b", "x:2", stateActive, 1)
	for name, tc := range map[string]struct {
		entries       []string
		wantStates    string // states of a and b
		wantFaults    int
		wantMalformed bool
	}{
		"all right":               {[]string{entryJSON("a", "x:1", stateActive, 0), valid}, "active active", 0, false},
		"no name":                 {[]string{entryJSON("", "x:1", stateActive, 0), valid}, " active", 1, true},
		"unknown state":           {[]string{entryJSON("a", "x:1", "resting", 0), valid}, "leaving active", 1, true},
		"no state":                {[]string{`{"host":"a"}`, valid}, "leaving active", 1, true},
		"twice the same":          {[]string{entryJSON("a", "x:1", stateActive, 0), valid, entryJSON("a", "x:1", stateActive, 0)}, "active active", 1, false},
		"leaving, then active":    {[]string{entryJSON("a", "x:1", stateLeaving, 0), valid, entryJSON("a", "x:1", stateActive, 0)}, "leaving active", 1, false},
		"active, then left":       {[]string{entryJSON("a", "x:1", stateActive, 0), entryJSON("a", "x:1", stateLeft, 0), valid}, "left active", 1, false},
		"three times, one leaves": {[]string{entryJSON("a", "x:1", stateActive, 0), entryJSON("a", "x:1", stateLeaving, 0), entryJSON("a", "x:1", stateActive, 0), valid}, "leaving active", 2, false},
	} {
		list, err := parseServerList([]byte(fullListJSON(3, tc.entries...)))
		states := map[string]string{}
		for _, e := range list.Entries {
			if _, duplicate := states[e.Host]; duplicate || e.Host == "" {
				t.Errorf("%s: %+v", name, list.Entries)
			}
			states[e.Host] = e.Health
		}
		if got := states["a"] + " " + states["b"]; err != nil || got != tc.wantStates || len(list.faults) != tc.wantFaults || list.malformed != tc.wantMalformed {
			t.Errorf("%s: %q, %+v, doubtful %v, %v", name, got, list.faults, list.malformed, err)
		}
	}
}

// Of a server that is named twice at another address the later entry counts.
func TestLaterDuplicateEntryCounts(t *testing.T) {
	list, err := parseServerList([]byte(fullListJSON(3, entryJSON("a", "x:1", stateActive, 0), entryJSON("a", "x:2", stateActive, 0))))
	if err != nil || len(list.Entries) != 1 || list.Entries[0].Address != "x:2" {
		t.Errorf("%+v, %v", list.Entries, err)
	}
}

// Each wrong entry has its line in the log, and the others are served.
func TestInvalidEntriesAreLogged(t *testing.T) {
	k, effects := newTestCore(t)
	logCore, logs := observer.New(zap.InfoLevel)
	k.log = newEventLog(zap.New(logCore))
	futureEntry := fmt.Sprintf(`{"host":"s3","dial":"x:5","block":0,"health":"active","born_ms":%d}`, k.zeroUnixMS+clockAtStart+3_600_000)
	list, err := parseServerList([]byte(fullListJSON(2, entryJSON("s0", "x:1", stateActive, 0), entryJSON("s0", "x:1", stateActive, 0),
		entryJSON("s1", "x:2", "resting", 1), entryJSON("s2", "x:4", stateActive, 1_000_000), entryJSON("s4", "x:6", stateActive, -3), futureEntry)))
	if err != nil {
		t.Fatal(err)
	}
	k.updateServers(clockAtStart+1, list, false)
	var faults []string
	for _, line := range logs.FilterMessage("entry of the list is wrong").All() {
		faults = append(faults, line.ContextMap()["fault"].(string))
	}
	for _, want := range []string{"is named twice", `has the unknown state "resting"`, "holds shard 1000000, outside the 2 shards of the settings",
		"holds shard -3, outside the 2 shards of the settings", "start time is 3600 s in the future"} {
		if !slices.Contains(faults, want) {
			t.Errorf("no line %q among %q", want, faults)
		}
	}
	for i, shard := range []int{0, -1, -1, -1} {
		c := effects.newCall(k, fmt.Sprint(i), "card-read", clockAtStart+2, 400)
		c.req.Shard = shard
		k.startCall(clockAtStart+2, c)
	}
	for _, a := range effects.attempts {
		if a.host != "s0" && a.host != "s3" {
			t.Error("sent to", a.host)
		}
	}
	if len(effects.attempts) == 0 {
		t.Error("nothing was served")
	}
}

// A number of shards that cannot be one is not known: the list's shards are served, and what
// a client can have kept in memory stays bounded.
func TestShardCountValidation(t *testing.T) {
	for configured, wantShards := range map[int]int{-1: 0, 0: 0, 1: 1, maxShards: maxShards, maxShards + 1: 0, 1_000_000: 0} {
		configJSON := strings.Replace(testConfig("a:1", "b:1", fullListJSON(1, entryJSON("s0", "x:1", stateActive, 0))), `"slots_total":2`, fmt.Sprintf(`"slots_total":%d`, configured), 1)
		config, err := ParseConfig([]byte(configJSON), func(string) string { return "" })
		if err != nil {
			t.Fatal(configured, err)
		}
		if config.Settings.Shards != wantShards || (len(config.Ignored) > 0) != (wantShards == 0) {
			t.Errorf("%d: %d, %v", configured, config.Settings.Shards, config.Ignored)
		}
		wantLimit := maxShards
		if wantShards > 0 {
			wantLimit = wantShards
		}
		if got := newRequestParser(&config.Settings).shardCount; got != wantLimit {
			t.Errorf("%d: requests may name %d shards", configured, got)
		}
		effects := &fakeEffects{written: map[*attempt]bool{}, deliveries: map[string]int{}}
		k := newCore(1_000_000, config, effects)
		k.start(config.Known)
		if k.startCall(clockAtStart+1, effects.newCall(k, "a", "card-read", clockAtStart+1, 400)); len(effects.attempts) != 1 {
			t.Errorf("%d: nothing was sent", configured)
		}
	}
}

// A server whose shard comes with other settings is served from then on.
func TestReloadAddsShards(t *testing.T) {
	k, effects := newTestCore(t)
	k.updateServers(clockAtStart+1, ServerList{Seq: 2, Entries: []ServerEntry{{Host: "s9", Address: "x:9", ShardIndex: 9, Health: stateActive}}}, false)
	submit := func(id string) {
		c := effects.newCall(k, id, "card-read", k.now, 400)
		c.req.Shard = 9
		k.startCall(k.now, c)
	}
	if submit("a"); len(effects.attempts) != 0 {
		t.Error("sent to a server of no shard")
	}
	config, err := ParseConfig([]byte(strings.Replace(testConfig("a:1", "b:1", fullListJSON(1)), `"slots_total":2`, `"slots_total":10`, 1)), func(string) string { return "" })
	if err != nil {
		t.Fatal(err)
	}
	k.updateSettings(clockAtStart+2, config.Settings)
	if submit("b"); len(effects.attempts) == 0 {
		t.Error("not served after the reload")
	}
	for _, a := range effects.attempts {
		if a.host != "s9" {
			t.Error("sent to", a.host)
		}
	}
}
