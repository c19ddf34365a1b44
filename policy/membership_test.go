package policy

import (
	"fmt"
	"slices"
	"testing"
)

// Nothing may go to a draining or removed node; requests wait for its successor.
func TestNothingSentToDrainingNode(t *testing.T) {
	for _, h := range []Health{Draining, Removed} {
		g := newHarness(testSettings())
		g.handle(NodeList{Nodes: []Node{{Addr: "n0", Health: h}}})
		if id := g.submit("read", "high", "", 2); g.sendCount(id) != 0 {
			t.Errorf("health %d: request sent to the node", h)
		}
		g.handle(NodeList{Nodes: []Node{{Addr: "n1", Health: Ready}}})
		if !slices.ContainsFunc(g.actions, func(a Action) bool { s, ok := a.(Send); return ok && s.Node == "n1" }) {
			t.Errorf("health %d: nothing sent to the successor", h)
		}
	}
}

// Nodes with a shard number outside the settings get no requests until the settings include it;
// a removed node stays removed.
func TestNodesOfUnknownShards(t *testing.T) {
	s := testSettings()
	s.Shards = 2
	g := newHarness(s)
	g.setNodes(Node{Addr: "n0", Health: Ready, Shard: 0}, Node{Addr: "n5", Health: Ready, Shard: 5}, Node{Addr: "n1", Health: Ready, Shard: 1}, Node{Addr: "nn", Health: Ready, Shard: -1})
	g.setNodes(Node{Addr: "n0", Health: Ready, Shard: 0}, Node{Addr: "n5", Health: Ready, Shard: 5}, Node{Addr: "nn", Health: Ready, Shard: -1}) // n1 is left out
	sendsByNode := func(shard int) map[string]int {
		sends := map[string]int{}
		for range 8 {
			g.requestCount++
			from := len(g.actions)
			id := fmt.Sprint("r", g.requestCount)
			g.handle(Request{ID: id, Class: "read", Plan: "high", Volume: "v", Shard: shard, Units: 2, Expires: g.now + 1000, Hosts: 1})
			for _, a := range g.actions[from:] {
				if send, ok := a.(Send); ok {
					sends[send.Node]++
					g.endAttempt(send.ID, Served)
				}
			}
		}
		return sends
	}
	if sends := sendsByNode(-1); sends["n0"] == 0 || len(sends) != 1 {
		t.Error("new objects by node, want some, and only at n0:", sends)
	}
	s.Shards = 6
	g.handle(SettingsChanged{Settings: s})
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
	g := newHarness(s)
	subscriptions := func() (n int) {
		for _, a := range g.actions {
			if a == (Subscribe{true}) {
				n++
			}
		}
		return n
	}
	if subscriptions() != 1 {
		t.Fatal("want one subscription at the start")
	}
	g.handle(ListFailed{})
	if g.advance(2100); subscriptions() < 2 {
		t.Error("not subscribed again after a failed subscription")
	}
}

// An outcome may arrive after its node has left the list; whether its successor may get a retry
// must still be known.
func TestOutcomeAfterNodeIsRemoved(t *testing.T) {
	g := newHarness(testSettings())
	id := g.submit("write", "high", "", 2)
	g.handle(NodeList{Nodes: []Node{{Addr: "n0", Health: Removed}}})
	g.handle(NodeList{Nodes: []Node{{Addr: "n1", Health: Ready}}})
	g.handle(NodeList{Nodes: []Node{{Addr: "n1", Health: Ready}}})
	g.endAttempt(id, ConnectionLost)
	if g.advance(100); g.sendCount(id) != 2 {
		t.Errorf("%d sends, want 2: the successor serves the same shard", g.sendCount(id))
	}
}
