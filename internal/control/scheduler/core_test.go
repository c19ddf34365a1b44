package scheduler

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"merlinhitch/policy"
)

// fakeEffects is an effectHandler that records the effects of a core under test, and the responses
// to its clients.
type fakeEffects struct {
	attempts     []*attempt
	written      map[*attempt]bool // those written completely
	deliveries   map[string]int    // responses by request ID
	removedHosts []string
}

func (e *fakeEffects) send(a *attempt) { e.attempts = append(e.attempts, a) }
func (e *fakeEffects) abandon(a *attempt) attemptProgress {
	if e.written[a] {
		return progressSent
	}
	return progressNotConnected
}
func (e *fakeEffects) serverListed(ServerEntry)  {}
func (e *fakeEffects) serverRemoved(host string) { e.removedHosts = append(e.removedHosts, host) }
func (e *fakeEffects) warn(string)               {}

// fakeClient is the recipient of one call.
type fakeClient struct {
	effects *fakeEffects
	id      string
}

func (c fakeClient) deliver(callOutcome, float64, []byte) { c.effects.deliveries[c.id]++ }

// newTestCore returns a core that knows two active disk servers: s0 of shard 0 and s1 of shard 1.
func newTestCore(t interface{ Fatal(...any) }) (*core, *fakeEffects) {
	config, err := ParseConfig([]byte(testConfig("a:1", "b:1", fullListJSON(1, entryJSON("s0", "x:1", "active", 0), entryJSON("s1", "x:2", "active", 1)))), func(string) string { return "" })
	if err != nil {
		t.Fatal(err)
	}
	effects := &fakeEffects{written: map[*attempt]bool{}, deliveries: map[string]int{}}
	k := newCore(1_000_000, config, effects)
	k.start(config.Known)
	return k, effects
}

// newCall returns a call to shard 0 that expires timeout ms after now.
func (e *fakeEffects) newCall(k *core, id, class string, now, timeout float64) *call {
	return &call{replyTo: fakeClient{e, id}, req: policy.Request{ID: id, Class: class, Plan: "gold", Volume: "v", Shard: 0, Units: 2, Expires: now + timeout, Hosts: 1}}
}

// Under any order of replies, failures, disconnects and timeouts, each call must get one response
// and each attempt one outcome, and no call may remain open.
func TestOneResponsePerCall(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		k, effects := newTestCore(t)
		now, submitted := float64(clockAtStart), map[string]*call{}
		for i := range rapid.IntRange(1, 60).Draw(t, "steps") {
			now += rapid.Float64Range(0, 200).Draw(t, "dt")
			k.runDue(now)
			var a *attempt
			if n := len(effects.attempts); n > 0 {
				a = effects.attempts[rapid.IntRange(0, n-1).Draw(t, "attempt")]
			}
			switch action := rapid.IntRange(0, 7).Draw(t, "action"); {
			case action <= 2:
				id := fmt.Sprint(i)
				c := effects.newCall(k, id, []string{"card-read", "txn-write"}[action%2], now, rapid.Float64Range(1, 3000).Draw(t, "timeout"))
				submitted[id] = c
				if !k.startCall(now, c) || k.startCall(now, c) {
					t.Fatal("starting a call twice: want it accepted the first time and rejected the second")
				}
			case a == nil:
			case action == 3:
				effects.written[a] = true
			case action == 4:
				k.receiveReply(now, a, reply{result: policy.Served})
			case action == 5:
				k.receiveReply(now, a, reply{result: policy.Result(rapid.IntRange(1, 2).Draw(t, "result"))})
			case action == 6:
				k.failAttempt(now, a, policy.ConnectionLost)
			case action == 7 && effects.deliveries[a.call.req.ID] == 0:
				k.clientGone(now, a.call)
				effects.deliveries[a.call.req.ID]++ // a client that left gets no response
			}
		}
		k.runDue(now + 60_000)
		for id := range submitted {
			if effects.deliveries[id] != 1 {
				t.Fatalf("call %s got %d responses, want 1", id, effects.deliveries[id])
			}
		}
		if len(k.calls) > 0 {
			t.Fatalf("%d calls are still open, want none", len(k.calls))
		}
		total := uint64(0)
		for _, n := range k.counters.Outcomes {
			total += n
		}
		if total != k.counters.Sends {
			t.Fatalf("got %d outcomes of %d attempts, want one of each", total, k.counters.Sends)
		}
	})
}

// An attempt that times out must end as NoAnswer if it may have reached the disk server, and as
// NoConnection otherwise.
func TestTimeoutResultReflectsProgress(t *testing.T) {
	for _, sent := range []bool{false, true} {
		k, effects := newTestCore(t)
		k.startCall(clockAtStart, effects.newCall(k, "a", "card-read", clockAtStart, 400))
		if len(effects.attempts) != 1 {
			t.Fatal("no attempt was sent, want 1")
		}
		effects.written[effects.attempts[0]] = sent
		k.runDue(clockAtStart + 460)
		want := policy.NoConnection
		if sent {
			want = policy.NoAnswer
		}
		if k.counters.Outcomes[want] != 1 || effects.deliveries["a"] != 1 {
			t.Errorf("sent %v: got counters %+v, want one NoAnswer if sent, otherwise one NoConnection, and one response", sent, k.counters)
		}
	}
}

// Servers that a full list leaves out must be removed from the core and from the policy.
func TestFullListRemovesMissingServers(t *testing.T) {
	k, effects := newTestCore(t)
	k.updateServers(clockAtStart+1, ServerList{Seq: 2, Full: true, Entries: []ServerEntry{{Host: "s2", Address: "x:3", ShardIndex: 0, Health: "active"}}}, false)
	if len(k.servers) != 1 || len(effects.removedHosts) != 2 || effects.removedHosts[0] != "s0" || effects.removedHosts[1] != "s1" {
		t.Errorf("got servers %v and removed servers %v, want s2, and s0 and s1 removed", k.servers, effects.removedHosts)
	}
	k.startCall(clockAtStart+2, effects.newCall(k, "a", "card-read", clockAtStart+2, 400))
	if len(effects.attempts) != 1 || effects.attempts[0].host != "s2" {
		t.Errorf("got attempts %v, want one to s2", effects.attempts)
	}
}

// Start times must convert to the core's clock exactly; those before its zero become 0.
func TestStartTimeConversion(t *testing.T) {
	k, _ := newTestCore(t)
	for startedMS, want := range map[int64]float64{0: 0, 1_000_000 + clockAtStart - 250: clockAtStart - 250, 10: 0} {
		if got := k.startTime(ServerEntry{StartedMS: startedMS}); got != want {
			t.Errorf("start at Unix time %d ms: got %v ms on the core's clock, want %v", startedMS, got, want)
		}
	}
}

// A step of either host's wall clock must not shift a disk server's start: once discovery was
// heard, a start counts from its first report; in the first list, a start in the future counts
// from now.
func TestStartsWhereWallClocksWereStepped(t *testing.T) {
	const hour = int64(3_600_000)
	wallClockMS := int64(1_000_000 + clockAtStart)
	for _, step := range []int64{-hour, -5000, 0, 5000, hour} {
		k, _ := newTestCore(t)
		spy := &recordingPolicy{Scheduler: k.scheduler}
		k.scheduler = spy
		entry := ServerEntry{Host: "s9", Address: "x:9", ShardIndex: 0, Health: "active", StartedMS: wallClockMS + step}
		k.updateServers(clockAtStart+10, ServerList{Seq: 1, Entries: []ServerEntry{entry}}, false)
		if got := spy.lastNodes[0].Started; got > clockAtStart+10 || step <= 0 && got != max(float64(clockAtStart+step), 0) {
			t.Errorf("clock step %d ms: first list: got a start %v ms after this process's, want the timestamp, at the latest the time of the list", step, got-clockAtStart)
		}
		entry.StartedMS++
		k.updateServers(clockAtStart+5000, ServerList{Seq: 2, Entries: []ServerEntry{entry}}, false)
		if got := spy.lastNodes[0].Started; got != clockAtStart+5000 {
			t.Errorf("clock step %d ms: new start: got %v ms after this process's, want 5000", step, got-clockAtStart)
		}
		entry.Health = "leaving"
		k.updateServers(clockAtStart+9000, ServerList{Seq: 3, Entries: []ServerEntry{entry}}, false)
		if got := spy.lastNodes[0].Started; got != clockAtStart+5000 {
			t.Errorf("clock step %d ms: same start in a later list: got %v ms after this process's, want 5000", step, got-clockAtStart)
		}
	}
}

// The history must contain the last IDs up to its size and no others.
func TestIDHistoryIsBounded(t *testing.T) {
	const idHistorySize = 4096
	history := idHistory{size: idHistorySize}
	for i := range 3 * idHistorySize {
		history.add(fmt.Sprint(i))
	}
	if len(history.set) != idHistorySize || !history.contains(fmt.Sprint(3*idHistorySize-1)) || !history.contains(fmt.Sprint(2*idHistorySize)) || history.contains(fmt.Sprint(2*idHistorySize-1)) {
		t.Errorf("history contains %d IDs, want exactly the last 4096", len(history.set))
	}
}

// An id whose request may have run must be refused when it comes again, however many requests have come
// and been refused unsent in between, such as a flood under ever new ids.
func TestAnIDThatMayHaveRunIsRememberedThroughAFlood(t *testing.T) {
	k, effects := newTestCore(t)
	now := float64(clockAtStart)
	if !k.startCall(now, effects.newCall(k, "ran", "card-read", now, 2000)) {
		t.Fatal("first call: want it taken")
	}
	k.begin(now, effects.attempts[0])
	k.receiveReply(now+1, effects.attempts[0], reply{result: policy.Served})
	for i := range 2 * recentIDCount {
		flood := effects.newCall(k, fmt.Sprint("flood-", i), "card-read", now, 2000)
		flood.req.Shard = 1 // all but the first few wait there, and none is served
		if !k.startCall(now+2, flood) {
			t.Fatal("call of the flood: want it taken")
		}
		k.clientGone(now+2, flood)
	}
	if k.startCall(now+3, effects.newCall(k, "ran", "card-read", now, 2000)) {
		t.Error("the id was taken again, so its request would have run twice")
	}
}
