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
	right := entryJSON("b", "x:2", stateActive, 1)
	for name, tt := range map[string]struct {
		entries   []string
		want      string // states of a and b
		faults    int
		malformed bool
	}{
		"all right":               {[]string{entryJSON("a", "x:1", stateActive, 0), right}, "active active", 0, false},
		"no name":                 {[]string{entryJSON("", "x:1", stateActive, 0), right}, " active", 1, true},
		"unknown state":           {[]string{entryJSON("a", "x:1", "resting", 0), right}, "leaving active", 1, true},
		"no state":                {[]string{`{"host":"a"}`, right}, "leaving active", 1, true},
		"twice the same":          {[]string{entryJSON("a", "x:1", stateActive, 0), right, entryJSON("a", "x:1", stateActive, 0)}, "active active", 1, false},
		"leaving, then active":    {[]string{entryJSON("a", "x:1", stateLeaving, 0), right, entryJSON("a", "x:1", stateActive, 0)}, "leaving active", 1, false},
		"active, then left":       {[]string{entryJSON("a", "x:1", stateActive, 0), entryJSON("a", "x:1", stateLeft, 0), right}, "left active", 1, false},
		"three times, one leaves": {[]string{entryJSON("a", "x:1", stateActive, 0), entryJSON("a", "x:1", stateLeaving, 0), entryJSON("a", "x:1", stateActive, 0), right}, "leaving active", 2, false},
	} {
		l, err := parseServerList([]byte(fullListJSON(3, tt.entries...)))
		state := map[string]string{}
		for _, e := range l.Entries {
			if _, twice := state[e.Host]; twice || e.Host == "" {
				t.Errorf("%s: %+v", name, l.Entries)
			}
			state[e.Host] = e.Health
		}
		if got := state["a"] + " " + state["b"]; err != nil || got != tt.want || len(l.faults) != tt.faults || l.malformed != tt.malformed {
			t.Errorf("%s: %q, %+v, doubtful %v, %v", name, got, l.faults, l.malformed, err)
		}
	}
}

// Of a server that is named twice at another address the later entry counts.
func TestLaterDuplicateEntryCounts(t *testing.T) {
	l, err := parseServerList([]byte(fullListJSON(3, entryJSON("a", "x:1", stateActive, 0), entryJSON("a", "x:2", stateActive, 0))))
	if err != nil || len(l.Entries) != 1 || l.Entries[0].Address != "x:2" {
		t.Errorf("%+v, %v", l.Entries, err)
	}
}

// Each wrong entry has its line in the log, and the others are served.
func TestInvalidEntriesAreLogged(t *testing.T) {
	k, p := newTestCore(t)
	logged, lines := observer.New(zap.InfoLevel)
	k.log = newEventLog(zap.New(logged))
	stamped := fmt.Sprintf(`{"host":"s3","dial":"x:5","block":0,"health":"active","born_ms":%d}`, k.zeroUnixMS+clockAtStart+3_600_000)
	l, err := parseServerList([]byte(fullListJSON(2, entryJSON("s0", "x:1", stateActive, 0), entryJSON("s0", "x:1", stateActive, 0),
		entryJSON("s1", "x:2", "resting", 1), entryJSON("s2", "x:4", stateActive, 1_000_000), entryJSON("s4", "x:6", stateActive, -3), stamped)))
	if err != nil {
		t.Fatal(err)
	}
	k.updateServers(clockAtStart+1, l, false)
	var faults []string
	for _, line := range lines.FilterMessage("entry of the list is wrong").All() {
		faults = append(faults, line.ContextMap()["fault"].(string))
	}
	for _, want := range []string{"is named twice", `has the unknown state "resting"`, "holds shard 1000000, outside the 2 shards of the settings",
		"holds shard -3, outside the 2 shards of the settings", "start time is 3600 s in the future"} {
		if !slices.Contains(faults, want) {
			t.Errorf("no line %q among %q", want, faults)
		}
	}
	for i, shard := range []int{0, -1, -1, -1} {
		c := p.newCall(k, fmt.Sprint(i), "card-read", clockAtStart+2, 400)
		c.req.Shard = shard
		k.startCall(clockAtStart+2, c)
	}
	for _, a := range p.attempts {
		if a.host != "s0" && a.host != "s3" {
			t.Error("sent to", a.host)
		}
	}
	if len(p.attempts) == 0 {
		t.Error("nothing was served")
	}
}

// A number of shards that cannot be one is not known: the list's shards are served, and what
// a client can have kept in memory stays bounded.
func TestShardCountValidation(t *testing.T) {
	for number, named := range map[int]int{-1: 0, 0: 0, 1: 1, maxShards: maxShards, maxShards + 1: 0, 1_000_000: 0} {
		raw := strings.Replace(testConfig("a:1", "b:1", fullListJSON(1, entryJSON("s0", "x:1", stateActive, 0))), `"slots_total":2`, fmt.Sprintf(`"slots_total":%d`, number), 1)
		c, err := ParseConfig([]byte(raw), func(string) string { return "" })
		if err != nil {
			t.Fatal(number, err)
		}
		if c.Settings.Shards != named || (len(c.Ignored) > 0) != (named == 0) {
			t.Errorf("%d: %d, %v", number, c.Settings.Shards, c.Ignored)
		}
		bound := maxShards
		if named > 0 {
			bound = named
		}
		if got := newRequestParser(&c.Settings).shardCount; got != bound {
			t.Errorf("%d: requests may name %d shards", number, got)
		}
		p := &fakeEffects{written: map[*attempt]bool{}, deliveries: map[string]int{}}
		k := newCore(1_000_000, c, p)
		k.start(c.Known)
		if k.startCall(clockAtStart+1, p.newCall(k, "a", "card-read", clockAtStart+1, 400)); len(p.attempts) != 1 {
			t.Errorf("%d: nothing was sent", number)
		}
	}
}

// A server whose shard comes with other settings is served from then on.
func TestReloadAddsShards(t *testing.T) {
	k, p := newTestCore(t)
	k.updateServers(clockAtStart+1, ServerList{Seq: 2, Entries: []ServerEntry{{Host: "s9", Address: "x:9", ShardIndex: 9, Health: stateActive}}}, false)
	ask := func(id string) {
		c := p.newCall(k, id, "card-read", k.now, 400)
		c.req.Shard = 9
		k.startCall(k.now, c)
	}
	if ask("a"); len(p.attempts) != 0 {
		t.Error("sent to a server of no shard")
	}
	c, err := ParseConfig([]byte(strings.Replace(testConfig("a:1", "b:1", fullListJSON(1)), `"slots_total":2`, `"slots_total":10`, 1)), func(string) string { return "" })
	if err != nil {
		t.Fatal(err)
	}
	k.updateSettings(clockAtStart+2, c.Settings)
	if ask("b"); len(p.attempts) == 0 {
		t.Error("not served after the reload")
	}
	for _, a := range p.attempts {
		if a.host != "s9" {
			t.Error("sent to", a.host)
		}
	}
}
