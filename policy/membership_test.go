package policy

import (
	"fmt"
	"slices"
	"testing"
)

// Nothing may go to a draining or removed node; requests wait for its successor.
func TestNothingSentToDrainingNode(t *testing.T) {
	for _, h := range []Health{Draining, Removed} {
		g := newRig(settings())
		g.do(NodeList{Nodes: []Node{{Addr: "n0", Health: h}}})
		if id := g.ask("read", "high", "", 2); g.sends(id) != 0 {
			t.Errorf("health %d: request sent to the node", h)
		}
		g.do(NodeList{Nodes: []Node{{Addr: "n1", Health: Ready}}})
		if !slices.ContainsFunc(g.acts, func(a Action) bool { s, ok := a.(Send); return ok && s.Node == "n1" }) {
			t.Errorf("health %d: nothing sent to the successor", h)
		}
	}
}

// Nodes with a shard number outside the settings get no requests until the settings include it;
// a removed node stays removed.
func TestNodesOfUnknownShards(t *testing.T) {
	s := settings()
	s.Shards = 2
	g := newRig(s)
	g.list(Node{Addr: "n0", Health: Ready, Shard: 0}, Node{Addr: "n5", Health: Ready, Shard: 5}, Node{Addr: "n1", Health: Ready, Shard: 1}, Node{Addr: "nn", Health: Ready, Shard: -1})
	g.list(Node{Addr: "n0", Health: Ready, Shard: 0}, Node{Addr: "n5", Health: Ready, Shard: 5}, Node{Addr: "nn", Health: Ready, Shard: -1}) // n1 is left out
	sendsByNode := func(shard int) map[string]int {
		sends := map[string]int{}
		for range 8 {
			g.n++
			from := len(g.acts)
			id := fmt.Sprint("r", g.n)
			g.do(Request{ID: id, Class: "read", Plan: "high", Volume: "v", Shard: shard, Units: 2, Expires: g.now + 1000, Hosts: 1})
			for _, a := range g.acts[from:] {
				if send, ok := a.(Send); ok {
					sends[send.Node]++
					g.end(send.ID, Served)
				}
			}
		}
		return sends
	}
	if sends := sendsByNode(-1); sends["n0"] == 0 || len(sends) != 1 {
		t.Error("new objects by node, want some, and only at n0:", sends)
	}
	s.Shards = 6
	g.do(SettingsChanged{Settings: s})
	if sends := sendsByNode(5); sends["n5"] == 0 || len(sends) != 1 {
		t.Error("requests of shard 5 by node, want some, and only at n5:", sends)
	}
	if sends := sendsByNode(1); len(sends) != 0 {
		t.Error("a removed node came back, requests by node:", sends)
	}
}

func TestResubscribesAfterListFailure(t *testing.T) {
	s := settings()
	s.MustSubscribe = true
	g := newRig(s)
	subscriptions := func() (n int) {
		for _, a := range g.acts {
			if a == (Subscribe{true}) {
				n++
			}
		}
		return n
	}
	if subscriptions() != 1 {
		t.Fatal("want one subscription at the start")
	}
	g.do(ListFailed{})
	if g.pass(2100); subscriptions() < 2 {
		t.Error("not subscribed again after a failed subscription")
	}
}

// An outcome may arrive after its node has left the list; whether its successor may get a retry
// must still be known.
func TestOutcomeAfterNodeIsRemoved(t *testing.T) {
	g := newRig(settings())
	id := g.ask("write", "high", "", 2)
	g.do(NodeList{Nodes: []Node{{Addr: "n0", Health: Removed}}})
	g.do(NodeList{Nodes: []Node{{Addr: "n1", Health: Ready}}})
	g.do(NodeList{Nodes: []Node{{Addr: "n1", Health: Ready}}})
	g.end(id, ConnectionLost)
	if g.pass(100); g.sends(id) != 2 {
		t.Errorf("%d sends, want 2: the successor serves the same shard", g.sends(id))
	}
}
