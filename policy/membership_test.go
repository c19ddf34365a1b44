package policy

import (
	"fmt"
	"slices"
	"testing"
)

// Nothing may go to a draining or removed node; requests wait for its successor.
func TestNothingSentToDrainingNode(t *testing.T) {
	for _, health := range []Health{Draining, Removed} {
		h := newHarness(testSettings())
		h.handle(NodeList{Nodes: []Node{{Addr: "n0", Health: health}}})
		if id := h.submit("read", "high", "", 2); h.sendCount(id) != 0 {
			t.Errorf("health %d: request sent to the node", health)
		}
		h.handle(NodeList{Nodes: []Node{{Addr: "n1", Health: Ready}}})
		if !slices.ContainsFunc(h.actions, func(a Action) bool { s, ok := a.(Send); return ok && s.Node == "n1" }) {
			t.Errorf("health %d: nothing sent to the successor", health)
		}
	}
}

// Nodes with a shard number outside the settings get no requests until the settings include it;
// a removed node stays removed.
func TestNodesOfUnknownShards(t *testing.T) {
	s := testSettings()
	s.Shards = 2
	h := newHarness(s)
	h.setNodes(Node{Addr: "n0", Health: Ready, Shard: 0}, Node{Addr: "n5", Health: Ready, Shard: 5}, Node{Addr: "n1", Health: Ready, Shard: 1}, Node{Addr: "nn", Health: Ready, Shard: -1})
	h.setNodes(Node{Addr: "n0", Health: Ready, Shard: 0}, Node{Addr: "n5", Health: Ready, Shard: 5}, Node{Addr: "nn", Health: Ready, Shard: -1}) // n1 is left out
	sendsByNode := func(shard int) map[string]int {
		sends := map[string]int{}
		for range 8 {
			h.requestCount++
			from := len(h.actions)
			id := fmt.Sprint("r", h.requestCount)
			h.handle(Request{ID: id, Class: "read", Plan: "high", Volume: "v", Shard: shard, Units: 2, Expires: h.now + 1000, Hosts: 1})
			for _, a := range h.actions[from:] {
				if send, ok := a.(Send); ok {
					sends[send.Node]++
					h.endAttempt(send.ID, Served)
				}
			}
		}
		return sends
	}
	if sends := sendsByNode(-1); sends["n0"] == 0 || len(sends) != 1 {
		t.Error("new objects by node, want some, and only at n0:", sends)
	}
	s.Shards = 6
	h.handle(SettingsChanged{Settings: s})
	if sends := sendsByNode(5); sends["n5"] == 0 || len(sends) != 1 {
		t.Error("requests of shard 5 by node, want some, and only at n5:", sends)
	}
	if sends := sendsByNode(1); len(sends) != 0 {
		t.Error("a removed node came back, requests by node:", sends)
	}
}

func TestResubscribesAfterListFailure(t *testing.T) {
	s := testSettings()
	s.MustSubscribe = true
	h := newHarness(s)
	subscriptions := func() (n int) {
		for _, a := range h.actions {
			if a == (Subscribe{true}) {
				n++
			}
		}
		return n
	}
	if subscriptions() != 1 {
		t.Fatal("want one subscription at the start")
	}
	h.handle(ListFailed{})
	if h.advance(2100); subscriptions() < 2 {
		t.Error("not subscribed again after a failed subscription")
	}
}

// An outcome may arrive after its node has left the list; whether its successor may get a retry
// must still be known.
func TestOutcomeAfterNodeIsRemoved(t *testing.T) {
	h := newHarness(testSettings())
	id := h.submit("write", "high", "", 2)
	h.handle(NodeList{Nodes: []Node{{Addr: "n0", Health: Removed}}})
	h.handle(NodeList{Nodes: []Node{{Addr: "n1", Health: Ready}}})
	h.handle(NodeList{Nodes: []Node{{Addr: "n1", Health: Ready}}})
	h.endAttempt(id, ConnectionLost)
	if h.advance(100); h.sendCount(id) != 2 {
		t.Errorf("%d sends, want 2: the successor serves the same shard", h.sendCount(id))
	}
}
