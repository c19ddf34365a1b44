package policy

import (
	"fmt"
	"math"
	"slices"
	"testing"
)

// What no node has had is refused while its client can still do something else; what one
// has had, or may have, is kept to its deadline.
func TestUnreceivedRequestEndsAtWaitDeadline(t *testing.T) {
	for _, c := range []struct {
		name  string
		first func(g *harness, id string)
		ends  bool
	}{
		{"no node", func(g *harness, id string) {}, true},
		{"never reached", func(g *harness, id string) { g.endAttempt(id, NoConnection) }, true},
		{"turned away", func(g *harness, id string) { g.endAttempt(id, Rejected) }, false},
		{"failed", func(g *harness, id string) { g.endAttempt(id, ServerError) }, false},
	} {
		g := newHarness(testSettings())
		if c.name == "no node" {
			g.setNodes()
		}
		id := g.submit("read", "high", "k", 2)
		if g.setNodes(); g.sendCount(id) > 0 { // nothing further goes out
			c.first(g, id)
		}
		g.advance(1000*maxWaitFraction - 5)
		if got := g.finalAnswers(id); got != "" {
			t.Errorf("%s: %s before its time", c.name, got)
		}
		g.advance(10)
		if got := g.finalAnswers(id); (got != "") != c.ends {
			t.Errorf("%s: %q at half of its time", c.name, got)
		}
		g.advance(1000)
		if got := g.finalAnswers(id); got == "" {
			t.Errorf("%s: no answer", c.name)
		}
	}
}

// A node that fails quickly has an empty queue; new objects don't follow that.
func TestNewObjectsAvoidFailingNode(t *testing.T) {
	g := newHarness(testSettings())
	g.setNodes(Node{Addr: "n0", Health: Ready, Shard: 0, Zone: "z"}, Node{Addr: "n1", Health: Ready, Shard: 1, Zone: "z"}, Node{Addr: "n2", Health: Ready, Shard: 2, Zone: "z"})
	type out struct {
		Send
		at float64
	}
	got, open, seen := map[string]int{}, []out{}, 0
	for i := range 500 {
		id := fmt.Sprintf("w%d", i)
		g.handle(Request{ID: id, Class: "write", Plan: "high", Volume: "v", Shard: -1, Units: 2, Key: id, Expires: g.now + 2000, Hosts: 1})
		g.advance(4)
		for len(open) > 0 && g.now-open[0].at >= 40 {
			g.handle(Outcome{ID: open[0].ID, Node: open[0].Node, Elapsed: 40, Result: Served, Done: true})
			open = open[1:]
		}
		for ; seen < len(g.actions); seen++ {
			s, ok := g.actions[seen].(Send)
			if !ok {
				continue
			}
			got[s.Node]++
			if s.Node != "n0" {
				open = append(open, out{s, g.now})
				continue
			}
			g.handle(Outcome{ID: s.ID, Node: s.Node, Elapsed: 1, Result: ServerError})
			g.handle(ClientGone{ID: s.ID})
		}
	}
	if got["n0"] > 100 || got["n1"]+got["n2"] < 200 {
		t.Errorf("sent to: %v", got)
	}
	if g.advance(10 * answerSpan); g.scheduler.nodes["n0"].errorFraction(g.now) > 0.001 {
		t.Error("it is not forgotten")
	}
}

// A connection that breaks alone costs its attempt and no more; one that can't be had, or
// breaks again and again, keeps the host away for a while.
func TestSingleLostConnectionCausesNoBackoff(t *testing.T) {
	sendsAfter := func(results ...Result) int {
		g := newHarness(testSettings())
		for i := range 20 {
			id := g.submit("read", "high", fmt.Sprint(i), 2)
			g.advance(20)
			g.endAttempt(id, Served)
		}
		for i, res := range results {
			id := g.submit("read", "high", fmt.Sprint("x", i), 2)
			g.advance(1)
			g.endAttempt(id, res)
			g.handle(ClientGone{ID: id})
		}
		return g.sendCount(g.submit("read", "high", "y", 2))
	}
	if n := sendsAfter(ConnectionLost); n != 1 {
		t.Error("held after a lone break")
	}
	if n := sendsAfter(NoConnection); n != 0 {
		t.Error("not held after a refused connection")
	}
	if n := sendsAfter(slices.Repeat([]Result{ConnectionLost}, 30)...); n != 0 {
		t.Error("not held after nothing but breaks")
	}
}

// An attempt that later ones have overtaken is stuck by itself: what waits behind is not
// shed for it. One that nothing has overtaken tells of a pause at once.
func TestServiceTimeIgnoresOvertakenAttempt(t *testing.T) {
	g := newHarness(testSettings())
	stuck := g.submit("read", "high", "a", 2)
	if g.advance(5); g.sendCount(stuck) != 1 {
		t.Fatal("not sent")
	}
	g.advance(250)
	g.handle(TimerFired{Name: "wake"})
	sh := g.scheduler.shards[0]
	if s := g.scheduler.expectedServiceTime(sh); s < 120 {
		t.Errorf("a pause shows as %.0f ms", s)
	}
	id := g.submit("read", "high", "b", 2)
	g.advance(20)
	if g.sendCount(id) == 0 {
		t.Fatal("there is no room for a second one")
	}
	g.handle(Outcome{ID: id, Node: "n0", Elapsed: 20, Result: Served, Done: true})
	if s := g.scheduler.expectedServiceTime(sh); s > 100 {
		t.Errorf("overtaken, it shows as %.0f ms", s)
	}
}

// What others have overtaken that were sent well after it is given up, once, and sent
// again; not where it must not run twice, nor where the site forbids it.
func TestOvertakenAttemptsAreCancelled(t *testing.T) {
	for _, c := range []struct {
		class  string
		cancel bool
		copies bool
		want   int
	}{{"read", true, true, 1}, {"write", true, true, 1}, {"once", true, true, 0}, {"read", false, true, 0}, {"read", true, false, 0}} {
		set := testSettings()
		set.Limits.Cancel, set.Limits.Duplicates = c.cancel, c.copies
		set.Classes[0].LatencyTarget, set.Classes[1].LatencyTarget = 1000, 1000
		g := newHarness(set)
		for i := range 20 { // it is known to answer in 10 ms
			id := g.submit("read", "high", fmt.Sprint(i), 2)
			g.advance(10)
			g.handle(Outcome{ID: id, Node: "n0", Elapsed: 10, Result: Served, Done: true})
		}
		given := func(id string) (n int) {
			for _, a := range g.actions {
				if x, ok := a.(CancelAttempt); ok && x.ID == id && x.Attempt == 0 {
					n++
				}
			}
			return n
		}
		slow := g.submit(c.class, "high", "s", 2)
		mean := g.scheduler.meanServiceTime(g.scheduler.shards[0])
		for i := range 12 {
			if before := given(slow); i < 3 && before > 0 {
				t.Errorf("%s: given up at once", c.class)
			}
			id := g.submit("read", "high", fmt.Sprint("x", i), 2)
			g.advance(mean)
			g.handle(Outcome{ID: id, Node: "n0", Elapsed: mean, Result: Served, Done: true})
		}
		if n := given(slow); n != c.want {
			t.Errorf("%s, cancel %v, copies %v: given up %d times", c.class, c.cancel, c.copies, n)
		}
		if c.want == 1 {
			g.handle(Outcome{ID: slow, Node: "n0", Elapsed: 12 * mean, Result: Cancelled})
			if g.sendCount(slow) != 2 {
				t.Errorf("%s: not sent again", c.class)
			}
		}
	}
}

// A client's further try of what was refused counts its aim from the first try; it goes
// after those that can still be in time. Another request for the same piece, or one that
// comes when the first client has long given up, is fresh; so is one with little time.
func TestClientRetryCountsFromFirstTry(t *testing.T) {
	g := newHarness(testSettings())
	n := 0
	ask := func(key string, left float64) *request {
		n++
		id := fmt.Sprint(key, n)
		g.handle(Request{ID: id, Class: "read", Plan: "high", Volume: "v", Units: 2, Key: key, Expires: g.now + left, Hosts: 1})
		return g.scheduler.requests[id]
	}
	aim := func(r *request) float64 { return r.targetTime - g.now }
	g.setNodes() // nothing can be sent
	ask("a", 900)
	if r := ask("b", 250); aim(r) != 250 {
		t.Errorf("a short try has %.0f ms", aim(r))
	}
	g.advance(500) // a is refused at 0.45 of its time
	r := ask("a", 400)
	if math.Abs(aim(r)+200) > 1 {
		t.Errorf("a further try has %.0f ms", aim(r))
	}
	if r := ask("a", 400); aim(r) != 300 {
		t.Errorf("the next for that piece has %.0f ms", aim(r))
	}
	g.handle(ClientGone{ID: r.ID})
	ask("c", 900)
	g.advance(1100)
	if r := ask("c", 900); aim(r) != 300 {
		t.Errorf("when its client has given up: %.0f ms", aim(r))
	}
	g.advance(40000)
	if len(g.scheduler.unserved) > 0 {
		t.Errorf("%d are still remembered", len(g.scheduler.unserved))
	}
}

// A short try that can be in time to its end is not refused before that.
func TestShortRequestWaitsUntilItsExpiry(t *testing.T) {
	g := newHarness(testSettings())
	g.setNodes()
	g.handle(Request{ID: "s", Class: "read", Plan: "high", Volume: "v", Units: 2, Key: "k", Expires: g.now + 280, Hosts: 1})
	g.advance(270)
	if got := g.finalAnswers("s"); got != "" {
		t.Error(got, "before its end")
	}
	g.advance(20)
	if got := g.finalAnswers("s"); got != "refuse" {
		t.Errorf("%q at its end", got)
	}
}

// An end that is brought forward is kept, whether the request waits or is out; a later one
// changes nothing.
func TestShortenedDeadline(t *testing.T) {
	for _, out := range []bool{false, true} {
		g := newHarness(testSettings())
		if !out {
			g.setNodes(Node{Addr: "n0", Health: Draining, Shard: 0})
		}
		id := g.submit("write", "high", "k", 1)
		if got := g.sendCount(id); (got == 1) != out {
			t.Fatalf("%d sends", got)
		}
		g.handle(DeadlineShortened{ID: id, Deadline: g.now + 1e6})
		g.handle(DeadlineShortened{ID: id, Deadline: g.now + 100})
		g.advance(90)
		if g.finalAnswers(id) != "" {
			t.Errorf("out %v: it ended before its time", out)
		}
		g.advance(30)
		if g.finalAnswers(id) == "" {
			t.Errorf("out %v: it has no final answer", out)
		}
	}
}
