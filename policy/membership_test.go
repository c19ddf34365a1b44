package policy

import (
	"fmt"
	"slices"
	"testing"
)

func TestDrainIsKept(t *testing.T) {
	for _, h := range []Health{Draining, Removed} {
		g := newRig(settings())
		g.do(NodeList{Nodes: []Node{{Addr: "n0", Health: h}}})
		if id := g.ask("read", "high", "", 2); g.sends(id) != 0 {
			t.Errorf("health %d: sent", h)
		}
		g.do(NodeList{Nodes: []Node{{Addr: "n1", Health: Ready}}})
		if !slices.ContainsFunc(g.acts, func(a Action) bool { s, ok := a.(Send); return ok && s.Node == "n1" }) {
			t.Errorf("health %d: the successor got nothing", h)
		}
	}
}

func TestNodesOfShardsThatAreNot(t *testing.T) {
	s := settings()
	s.Shards = 2
	g := newRig(s)
	g.list(Node{Addr: "n0", Health: Ready, Shard: 0}, Node{Addr: "n5", Health: Ready, Shard: 5}, Node{Addr: "n1", Health: Ready, Shard: 1}, Node{Addr: "nn", Health: Ready, Shard: -1})
	g.list(Node{Addr: "n0", Health: Ready, Shard: 0}, Node{Addr: "n5", Health: Ready, Shard: 5}, Node{Addr: "nn", Health: Ready, Shard: -1}) // n1 is dropped
	count := func(shard int) map[string]int {
		to := map[string]int{}
		for range 8 {
			g.n++
			from := len(g.acts)
			id := fmt.Sprint("r", g.n)
			g.do(Request{ID: id, Class: "read", Plan: "high", Volume: "v", Shard: shard, Units: 2, Expires: g.now + 1000, Hosts: 1})
			for _, a := range g.acts[from:] {
				if send, ok := a.(Send); ok {
					to[send.Node]++
					g.end(send.ID, Served)
				}
			}
		}
		return to
	}
	if to := count(-1); to["n0"] == 0 || len(to) != 1 {
		t.Error("new objects went to", to)
	}
	s.Shards = 6
	g.do(SettingsChanged{Settings: s})
	if to := count(5); to["n5"] == 0 || len(to) != 1 {
		t.Error("shard 5 is served by", to)
	}
	if to := count(1); len(to) != 0 {
		t.Error("a node that left came back:", to)
	}
}

func TestSubscribesAgain(t *testing.T) {
	s := settings()
	s.MustSubscribe = true
	g := newRig(s)
	count := func() (n int) {
		for _, a := range g.acts {
			if a == (Subscribe{true}) {
				n++
			}
		}
		return n
	}
	if count() != 1 {
		t.Fatal("no subscription at boot")
	}
	g.do(ListFailed{})
	if g.pass(2100); count() < 2 {
		t.Error("not subscribed again after a failure")
	}
}

// An outcome may come after its node has left the list; the request's group
// must still be known.
func TestOutcomeAfterItsNodeIsGone(t *testing.T) {
	g := newRig(settings())
	id := g.ask("write", "high", "", 2)
	g.do(NodeList{Nodes: []Node{{Addr: "n0", Health: Removed}}})
	g.do(NodeList{Nodes: []Node{{Addr: "n1", Health: Ready}}})
	g.do(NodeList{Nodes: []Node{{Addr: "n1", Health: Ready}}})
	g.end(id, ConnectionLost)
	if g.pass(100); g.sends(id) != 2 {
		t.Errorf("%d sends: the successor holds the same shard", g.sends(id))
	}
}
