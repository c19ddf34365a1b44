package scheduler

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"
)

// An invalid entry must not affect the other entries of a list.
func TestInvalidListEntries(t *testing.T) {
	valid := entryJSON("b", "x:2", stateActive, 1)
	for name, tc := range map[string]struct {
		entries       []string
		wantStates    string // states of a and b
		wantFaults    int
		wantMalformed bool
	}{
		"valid":                      {[]string{entryJSON("a", "x:1", stateActive, 0), valid}, "active active", 0, false},
		"no name":                    {[]string{entryJSON("", "x:1", stateActive, 0), valid}, " active", 1, true},
		"unknown state":              {[]string{entryJSON("a", "x:1", "resting", 0), valid}, "leaving active", 1, true},
		"no state":                   {[]string{`{"host":"a"}`, valid}, "leaving active", 1, true},
		"duplicate":                  {[]string{entryJSON("a", "x:1", stateActive, 0), valid, entryJSON("a", "x:1", stateActive, 0)}, "active active", 1, false},
		"leaving, then active":       {[]string{entryJSON("a", "x:1", stateLeaving, 0), valid, entryJSON("a", "x:1", stateActive, 0)}, "leaving active", 1, false},
		"active, then left":          {[]string{entryJSON("a", "x:1", stateActive, 0), entryJSON("a", "x:1", stateLeft, 0), valid}, "left active", 1, false},
		"three entries, one leaving": {[]string{entryJSON("a", "x:1", stateActive, 0), entryJSON("a", "x:1", stateLeaving, 0), entryJSON("a", "x:1", stateActive, 0), valid}, "leaving active", 2, false},
	} {
		list, err := parseServerList([]byte(fullListJSON(3, tc.entries...)))
		states := map[string]string{}
		for _, e := range list.Entries {
			if _, duplicate := states[e.Host]; duplicate || e.Host == "" {
				t.Errorf("%s: got entries %+v, want one for each named host", name, list.Entries)
			}
			states[e.Host] = e.Health
		}
		if got := states["a"] + " " + states["b"]; err != nil || got != tc.wantStates || len(list.faults) != tc.wantFaults || list.malformed != tc.wantMalformed {
			t.Errorf("%s: got states %q, faults %+v, malformed %v and error %v, want those of the test case", name, got, list.faults, list.malformed, err)
		}
	}
}

// Of two entries of a server with the same state, the later one must count.
func TestLaterDuplicateEntryCounts(t *testing.T) {
	list, err := parseServerList([]byte(fullListJSON(3, entryJSON("a", "x:1", stateActive, 0), entryJSON("a", "x:2", stateActive, 0))))
	if err != nil || len(list.Entries) != 1 || list.Entries[0].Address != "x:2" {
		t.Errorf("got entries %+v and error %v, want one entry with address x:2", list.Entries, err)
	}
}

// Each fault of an entry must be logged, and requests must go only to servers whose entries can be
// used.
func TestInvalidEntriesAreLogged(t *testing.T) {
	k, effects := newTestCore(t)
	logCore, logs := observer.New(zap.InfoLevel)
	k.log = newEventLog(zap.New(logCore), func() float64 { return 0 })
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
			t.Errorf("fault %q is not logged, got %q", want, faults)
		}
	}
	for i, shard := range []int{0, -1, -1, -1} {
		c := effects.newCall(k, fmt.Sprint(i), "card-read", clockAtStart+2, 400)
		c.req.Shard = shard
		k.startCall(clockAtStart+2, c)
	}
	for _, a := range effects.attempts {
		if a.host != "s0" && a.host != "s3" {
			t.Error("attempt sent to a server other than s0 and s3:", a.host)
		}
	}
	if len(effects.attempts) == 0 {
		t.Error("no attempt was sent, want some to s0 or s3")
	}
}

// An invalid shard count must be ignored: shards of the list are served, and requests may name at
// most maxShards shards, which bounds the memory that clients can occupy.
func TestShardCountValidation(t *testing.T) {
	for configured, wantShards := range map[int]int{-1: 0, 0: 0, 1: 1, maxShards: maxShards, maxShards + 1: 0, 1_000_000: 0} {
		configJSON := strings.Replace(testConfig("a:1", "b:1", fullListJSON(1, entryJSON("s0", "x:1", stateActive, 0))), `"slots_total":2`, fmt.Sprintf(`"slots_total":%d`, configured), 1)
		config, err := ParseConfig([]byte(configJSON), func(string) string { return "" })
		if err != nil {
			t.Fatal(configured, err)
		}
		if config.Settings.Shards != wantShards || (len(config.Ignored) > 0) != (wantShards == 0) {
			t.Errorf("slots_total %d: got %d shards and ignored settings %v, want an invalid number ignored", configured, config.Settings.Shards, config.Ignored)
		}
		wantLimit := maxShards
		if wantShards > 0 {
			wantLimit = wantShards
		}
		if got := newRequestParser(&config.Settings).shardCount; got != wantLimit {
			t.Errorf("slots_total %d: requests may name %d shards, want the valid number or else maxShards", configured, got)
		}
		effects := &fakeEffects{written: map[*attempt]bool{}, deliveries: map[string]int{}}
		k := newCore(1_000_000, config, effects)
		k.start(config.Known)
		if k.startCall(clockAtStart+1, effects.newCall(k, "a", "card-read", clockAtStart+1, 400)); len(effects.attempts) != 1 {
			t.Errorf("slots_total %d: want one attempt sent", configured)
		}
	}
}

// A server of a shard outside the settings must get requests once a reload adds its shard.
func TestReloadAddsShards(t *testing.T) {
	k, effects := newTestCore(t)
	k.updateServers(clockAtStart+1, ServerList{Seq: 2, Entries: []ServerEntry{{Host: "s9", Address: "x:9", ShardIndex: 9, Health: stateActive}}}, false)
	submit := func(id string) {
		c := effects.newCall(k, id, "card-read", k.now, 400)
		c.req.Shard = 9
		k.startCall(k.now, c)
	}
	if submit("a"); len(effects.attempts) != 0 {
		t.Error("attempt sent to a server of a shard outside the settings, want none")
	}
	config, err := ParseConfig([]byte(strings.Replace(testConfig("a:1", "b:1", fullListJSON(1)), `"slots_total":2`, `"slots_total":10`, 1)), func(string) string { return "" })
	if err != nil {
		t.Fatal(err)
	}
	k.updateSettings(clockAtStart+2, config.Settings)
	if submit("b"); len(effects.attempts) == 0 {
		t.Error("no attempt was sent after the reload, want one to s9")
	}
	for _, a := range effects.attempts {
		if a.host != "s9" {
			t.Error("attempt after the reload sent to a server other than s9:", a.host)
		}
	}
}
