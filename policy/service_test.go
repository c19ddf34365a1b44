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
	for _, tt := range []struct {
		name         string
		firstOutcome func(h *harness, id string)
		endsEarly    bool
	}{
		{"no node", func(h *harness, id string) {}, true},
		{"never reached", func(h *harness, id string) { h.endAttempt(id, NoConnection) }, true},
		{"turned away", func(h *harness, id string) { h.endAttempt(id, Rejected) }, false},
		{"failed", func(h *harness, id string) { h.endAttempt(id, ServerError) }, false},
	} {
		h := newHarness(testSettings())
		if tt.name == "no node" {
			h.setNodes()
		}
		id := h.submit("read", "high", "k", 2)
		if h.setNodes(); h.sendCount(id) > 0 { // nothing further goes out
			tt.firstOutcome(h, id)
		}
		h.advance(1000*maxWaitFraction - 5)
		if got := h.finalAnswers(id); got != "" {
			t.Errorf("%s: %s before its time", tt.name, got)
		}
		h.advance(10)
		if got := h.finalAnswers(id); (got != "") != tt.endsEarly {
			t.Errorf("%s: %q at half of its time", tt.name, got)
		}
		h.advance(1000)
		if got := h.finalAnswers(id); got == "" {
			t.Errorf("%s: no answer", tt.name)
		}
	}
}

// A node that fails quickly has an empty queue; new objects don't follow that.
func TestNewObjectsAvoidFailingNode(t *testing.T) {
	h := newHarness(testSettings())
	h.setNodes(Node{Addr: "n0", Health: Ready, Shard: 0, Zone: "z"}, Node{Addr: "n1", Health: Ready, Shard: 1, Zone: "z"}, Node{Addr: "n2", Health: Ready, Shard: 2, Zone: "z"})
	type sentAttempt struct {
		Send
		sentAt float64
	}
	sendsByNode, outstanding, examined := map[string]int{}, []sentAttempt{}, 0
	for i := range 500 {
		id := fmt.Sprintf("w%d", i)
		h.handle(Request{ID: id, Class: "write", Plan: "high", Volume: "v", Shard: -1, Units: 2, Key: id, Expires: h.now + 2000, Hosts: 1})
		h.advance(4)
		for len(outstanding) > 0 && h.now-outstanding[0].sentAt >= 40 {
			h.handle(Outcome{ID: outstanding[0].ID, Node: outstanding[0].Node, Elapsed: 40, Result: Served, Done: true})
			outstanding = outstanding[1:]
		}
		for ; examined < len(h.actions); examined++ {
			send, ok := h.actions[examined].(Send)
			if !ok {
				continue
			}
			sendsByNode[send.Node]++
			if send.Node != "n0" {
				outstanding = append(outstanding, sentAttempt{send, h.now})
				continue
			}
			h.handle(Outcome{ID: send.ID, Node: send.Node, Elapsed: 1, Result: ServerError})
			h.handle(ClientGone{ID: send.ID})
		}
	}
	if sendsByNode["n0"] > 100 || sendsByNode["n1"]+sendsByNode["n2"] < 200 {
		t.Errorf("sent to: %v", sendsByNode)
	}
	if h.advance(10 * answerSpan); h.scheduler.nodes["n0"].errorFraction(h.now) > 0.001 {
		t.Error("it is not forgotten")
	}
}

// A connection that breaks alone costs its attempt and no more; one that can't be had, or
// breaks again and again, keeps the host away for a while.
func TestSingleLostConnectionCausesNoBackoff(t *testing.T) {
	sendsAfter := func(results ...Result) int {
		h := newHarness(testSettings())
		for i := range 20 {
			id := h.submit("read", "high", fmt.Sprint(i), 2)
			h.advance(20)
			h.endAttempt(id, Served)
		}
		for i, result := range results {
			id := h.submit("read", "high", fmt.Sprint("x", i), 2)
			h.advance(1)
			h.endAttempt(id, result)
			h.handle(ClientGone{ID: id})
		}
		return h.sendCount(h.submit("read", "high", "y", 2))
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
	h := newHarness(testSettings())
	stuck := h.submit("read", "high", "a", 2)
	if h.advance(5); h.sendCount(stuck) != 1 {
		t.Fatal("not sent")
	}
	h.advance(250)
	h.handle(TimerFired{Name: "wake"})
	sh := h.scheduler.shards[0]
	if expected := h.scheduler.expectedServiceTime(sh); expected < 120 {
		t.Errorf("a pause shows as %.0f ms", expected)
	}
	id := h.submit("read", "high", "b", 2)
	h.advance(20)
	if h.sendCount(id) == 0 {
		t.Fatal("there is no room for a second one")
	}
	h.handle(Outcome{ID: id, Node: "n0", Elapsed: 20, Result: Served, Done: true})
	if expected := h.scheduler.expectedServiceTime(sh); expected > 100 {
		t.Errorf("overtaken, it shows as %.0f ms", expected)
	}
}

// What others have overtaken that were sent well after it is given up, once, and sent
// again; not where it must not run twice, nor where the site forbids it.
func TestOvertakenAttemptsAreCancelled(t *testing.T) {
	for _, tt := range []struct {
		class       string
		cancel      bool
		duplicates  bool
		wantCancels int
	}{{"read", true, true, 1}, {"write", true, true, 1}, {"once", true, true, 0}, {"read", false, true, 0}, {"read", true, false, 0}} {
		s := testSettings()
		s.Limits.Cancel, s.Limits.Duplicates = tt.cancel, tt.duplicates
		s.Classes[0].LatencyTarget, s.Classes[1].LatencyTarget = 1000, 1000
		h := newHarness(s)
		for i := range 20 { // it is known to answer in 10 ms
			id := h.submit("read", "high", fmt.Sprint(i), 2)
			h.advance(10)
			h.handle(Outcome{ID: id, Node: "n0", Elapsed: 10, Result: Served, Done: true})
		}
		cancelCount := func(id string) (count int) {
			for _, a := range h.actions {
				if cancel, ok := a.(CancelAttempt); ok && cancel.ID == id && cancel.Attempt == 0 {
					count++
				}
			}
			return count
		}
		slow := h.submit(tt.class, "high", "s", 2)
		mean := h.scheduler.meanServiceTime(h.scheduler.shards[0])
		for i := range 12 {
			if before := cancelCount(slow); i < 3 && before > 0 {
				t.Errorf("%s: given up at once", tt.class)
			}
			id := h.submit("read", "high", fmt.Sprint("x", i), 2)
			h.advance(mean)
			h.handle(Outcome{ID: id, Node: "n0", Elapsed: mean, Result: Served, Done: true})
		}
		if cancels := cancelCount(slow); cancels != tt.wantCancels {
			t.Errorf("%s, cancel %v, copies %v: given up %d times", tt.class, tt.cancel, tt.duplicates, cancels)
		}
		if tt.wantCancels == 1 {
			h.handle(Outcome{ID: slow, Node: "n0", Elapsed: 12 * mean, Result: Cancelled})
			if h.sendCount(slow) != 2 {
				t.Errorf("%s: not sent again", tt.class)
			}
		}
	}
}

// A client's further try of what was refused counts its aim from the first try; it goes
// after those that can still be in time. Another request for the same piece, or one that
// comes when the first client has long given up, is fresh; so is one with little time.
func TestClientRetryCountsFromFirstTry(t *testing.T) {
	h := newHarness(testSettings())
	count := 0
	submit := func(key string, timeLeft float64) *request {
		count++
		id := fmt.Sprint(key, count)
		h.handle(Request{ID: id, Class: "read", Plan: "high", Volume: "v", Units: 2, Key: key, Expires: h.now + timeLeft, Hosts: 1})
		return h.scheduler.requests[id]
	}
	timeToTarget := func(r *request) float64 { return r.targetTime - h.now }
	h.setNodes() // nothing can be sent
	submit("a", 900)
	if r := submit("b", 250); timeToTarget(r) != 250 {
		t.Errorf("a short try has %.0f ms", timeToTarget(r))
	}
	h.advance(500) // a is refused at 0.45 of its time
	r := submit("a", 400)
	if math.Abs(timeToTarget(r)+200) > 1 {
		t.Errorf("a further try has %.0f ms", timeToTarget(r))
	}
	if r := submit("a", 400); timeToTarget(r) != 300 {
		t.Errorf("the next for that piece has %.0f ms", timeToTarget(r))
	}
	h.handle(ClientGone{ID: r.ID})
	submit("c", 900)
	h.advance(1100)
	if r := submit("c", 900); timeToTarget(r) != 300 {
		t.Errorf("when its client has given up: %.0f ms", timeToTarget(r))
	}
	h.advance(40000)
	if len(h.scheduler.unserved) > 0 {
		t.Errorf("%d are still remembered", len(h.scheduler.unserved))
	}
}

// A short try that can be in time to its end is not refused before that.
func TestShortRequestWaitsUntilItsExpiry(t *testing.T) {
	h := newHarness(testSettings())
	h.setNodes()
	h.handle(Request{ID: "s", Class: "read", Plan: "high", Volume: "v", Units: 2, Key: "k", Expires: h.now + 280, Hosts: 1})
	h.advance(270)
	if got := h.finalAnswers("s"); got != "" {
		t.Error(got, "before its end")
	}
	h.advance(20)
	if got := h.finalAnswers("s"); got != "refuse" {
		t.Errorf("%q at its end", got)
	}
}

// An end that is brought forward is kept, whether the request waits or is out; a later one
// changes nothing.
func TestShortenedDeadline(t *testing.T) {
	for _, outstanding := range []bool{false, true} {
		h := newHarness(testSettings())
		if !outstanding {
			h.setNodes(Node{Addr: "n0", Health: Draining, Shard: 0})
		}
		id := h.submit("write", "high", "k", 1)
		if got := h.sendCount(id); (got == 1) != outstanding {
			t.Fatalf("%d sends", got)
		}
		h.handle(DeadlineShortened{ID: id, Deadline: h.now + 1e6})
		h.handle(DeadlineShortened{ID: id, Deadline: h.now + 100})
		h.advance(90)
		if h.finalAnswers(id) != "" {
			t.Errorf("out %v: it ended before its time", outstanding)
		}
		h.advance(30)
		if h.finalAnswers(id) == "" {
			t.Errorf("out %v: it has no final answer", outstanding)
		}
	}
}
