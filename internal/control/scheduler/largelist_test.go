package scheduler

import (
	"encoding/json"
	"fmt"
	"testing"

	"merlinhitch/policy"
)

// makeServerList returns a full list of count servers, each with a shard of its own, in an order
// not sorted by host.
func makeServerList(count int, health string) ServerList {
	list := ServerList{Seq: 1, Full: true}
	for i := range count {
		list.Entries = append(list.Entries, ServerEntry{Host: fmt.Sprintf("s-%08x", i*2654435761%(1<<32)), Address: fmt.Sprintf("10.1.%d.%d:5000", i/250, i%250), Site: "hall-a", ShardIndex: i, Health: health, Share: 1, StartedMS: 1764691200000})
	}
	return list
}

// BenchmarkLargeList measures parsing a full list of 3,200 disk servers, and applying one that
// repeats the known state: go test -run xxx -bench LargeList ./internal/control/scheduler
func BenchmarkLargeList(b *testing.B) {
	list := makeServerList(3200, "active")
	encoded, err := json.MarshalIndent(list, "", "    ")
	if err != nil {
		b.Fatal(err)
	}
	b.Run("parse", func(b *testing.B) {
		b.SetBytes(int64(len(encoded)))
		for b.Loop() {
			var reader objectReader
			for rest := encoded; ; {
				n, item, err := reader.next(rest)
				if err != nil {
					b.Fatal(err)
				}
				if rest = rest[n:]; item == itemObject {
					break
				}
			}
			if _, err := parseServerList(reader.bytes()); err != nil {
				b.Fatal(err)
			}
		}
	})
	b.Run("apply unchanged", func(b *testing.B) {
		k, _ := newTestCore(b)
		k.updateServers(k.now, list, false)
		for b.Loop() {
			k.updateServers(k.now, list, false)
		}
	})
}

// The policy must get only what a list changes: nothing if it repeats the known state, duplicate
// entries in order if their states differ, and the servers that a full list leaves out.
func TestOnlyChangesComeToTheModule(t *testing.T) {
	k, _ := newTestCore(t)
	spy := &recordingPolicy{Scheduler: k.scheduler}
	k.scheduler = spy
	list := makeServerList(40, "active")
	k.updateServers(k.now, list, false)
	if n := len(spy.lastNodes); n != 42 { // 40 listed and 2 removed
		t.Errorf("first list: %d nodes passed to the policy, want 42", n)
	}
	k.updateServers(k.now, list, false)
	if n := len(spy.lastNodes); n != 0 {
		t.Errorf("repeated list: %d nodes passed to the policy, want none", n)
	}
	drained := list.Entries[7]
	drained.Health = "leaving"
	k.updateServers(k.now, ServerList{Seq: 2, Entries: []ServerEntry{drained, list.Entries[7], list.Entries[8]}}, false)
	if n := len(spy.lastNodes); n != 2 || spy.lastNodes[0].Health != policy.Draining || spy.lastNodes[1].Health != policy.Ready {
		t.Error(spy.lastNodes)
	}
	shortList := ServerList{Seq: 3, Full: true, Entries: append([]ServerEntry{list.Entries[0]}, list.Entries[:39]...)}
	k.updateServers(k.now, shortList, false)
	if n := len(spy.lastNodes); n != 1 || spy.lastNodes[0].Addr != list.Entries[39].Host || spy.lastNodes[0].Health != policy.Removed {
		t.Error(spy.lastNodes)
	}
	if len(k.servers) != 39 {
		t.Errorf("core has %d servers, want 39", len(k.servers))
	}
}

// recordingPolicy records the nodes of the last list passed to the policy.
type recordingPolicy struct {
	policy.Scheduler
	lastNodes []policy.Node
}

func (s *recordingPolicy) Handle(now float64, event policy.Event) []policy.Action {
	if list, ok := event.(policy.NodeList); ok {
		s.lastNodes = list.Nodes
	}
	return s.Scheduler.Handle(now, event)
}

// The full list of the largest fleet must be accepted even if it is indented widely.
func TestLargestListIsRead(t *testing.T) {
	encoded, err := json.MarshalIndent(makeServerList(3200, "active"), "", "        ")
	if err != nil {
		t.Fatal(err)
	}
	var reader objectReader
	for rest := encoded; len(rest) > 0; {
		n, item, err := reader.next(rest)
		if err != nil {
			t.Fatal(err)
		}
		if rest = rest[n:]; item == itemObject {
			break
		}
	}
	if list, err := parseServerList(reader.bytes()); err != nil || len(list.Entries) != 3200 {
		t.Errorf("list of %d bytes: got %d entries and error %v, want 3200 entries", len(encoded), len(list.Entries), err)
	}
}
