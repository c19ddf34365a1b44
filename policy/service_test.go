package policy

import (
	"fmt"
	"math"
	"slices"
	"testing"
)

// A request that no node has received must be refused early enough for its client to try elsewhere;
// one that a node has received, or may have, must be kept until shortly before its expiry.
func TestUnreceivedRequestEndsAtWaitDeadline(t *testing.T) {
	for _, tt := range []struct {
		name         string
		firstOutcome func(h *harness, id string)
		endsEarly    bool
	}{
		{"no node", func(h *harness, id string) {}, true},
		{"no connection", func(h *harness, id string) { h.endAttempt(id, NoConnection) }, true},
		{"rejected", func(h *harness, id string) { h.endAttempt(id, Rejected) }, false},
		{"server error", func(h *harness, id string) { h.endAttempt(id, ServerError) }, false},
	} {
		h := newHarness(testSettings())
		if tt.name == "no node" {
			h.setNodes()
		}
		id := h.submit("read", "high", "k", 2)
		if h.setNodes(); h.sendCount(id) > 0 { // without a node nothing further is sent
			tt.firstOutcome(h, id)
		}
		h.advance(1000*maxWaitFraction - 5)
		if got := h.finalAnswers(id); got != "" {
			t.Errorf("%s: final answer %s before the wait deadline, want none", tt.name, got)
		}
		h.advance(10)
		if got := h.finalAnswers(id); (got != "") != tt.endsEarly {
			t.Errorf("%s: final answer %q after the wait deadline, want one only if no node received the request", tt.name, got)
		}
		h.advance(1000)
		if got := h.finalAnswers(id); got == "" {
			t.Errorf("%s: no final answer after the expiry, want one", tt.name)
		}
	}
}

// A node that fails quickly has an empty queue, but must not attract new objects by that.
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
		t.Errorf("sends by node %v, want at most 100 to n0 and at least 200 to the others", sendsByNode)
	}
	if h.advance(10 * sampleSpan); h.scheduler.nodes["n0"].errorFraction(h.now) > 0.001 {
		t.Error("error fraction of n0 above 0.001 after ten times answerSpan without errors")
	}
}

// A single lost connection must not stop sends to the node; a refused connection or a series of losses
// must, for a while.
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
		t.Error("want one send after a single lost connection")
	}
	if n := sendsAfter(NoConnection); n != 0 {
		t.Error("want no send right after a refused connection")
	}
	if n := sendsAfter(slices.Repeat([]Result{ConnectionLost}, 30)...); n != 0 {
		t.Error("want no send after 30 lost connections in a row")
	}
}

// An outstanding attempt that no later one has overtaken must raise the expected service time at once,
// since the node may have stalled. After it was overtaken it must not: then only the attempt is stuck.
func TestServiceTimeIgnoresOvertakenAttempt(t *testing.T) {
	h := newHarness(testSettings())
	stuck := h.submit("read", "high", "a", 2)
	if h.advance(5); h.sendCount(stuck) != 1 {
		t.Fatal("first request not sent")
	}
	h.advance(250)
	h.handle(TimerFired{Name: "wake"})
	sh := h.scheduler.shards[0]
	if expected := h.scheduler.expectedServiceTime(sh); expected < 120 {
		t.Errorf("expected service time %.0f ms while the node stalls, want at least 120", expected)
	}
	id := h.submit("read", "high", "b", 2)
	h.advance(20)
	if h.sendCount(id) == 0 {
		t.Fatal("second request not sent")
	}
	h.handle(Outcome{ID: id, Node: "n0", Elapsed: 20, Result: Served, Done: true})
	if expected := h.scheduler.expectedServiceTime(sh); expected > 100 {
		t.Errorf("expected service time %.0f ms after the attempt was overtaken, want at most 100", expected)
	}
}

// An attempt that was overtaken by ones sent well after it must be cancelled once and sent again, but
// not if the request must not run twice, or the site forbids cancelling or duplicate attempts.
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
		for i := range 20 { // the node answers in 10 ms
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
				t.Errorf("%s: cancelled after at most two later answers, want no cancel yet", tt.class)
			}
			id := h.submit("read", "high", fmt.Sprint("x", i), 2)
			h.advance(mean)
			h.handle(Outcome{ID: id, Node: "n0", Elapsed: mean, Result: Served, Done: true})
		}
		if cancels := cancelCount(slow); cancels != tt.wantCancels {
			t.Errorf("%s, Cancel %v, Duplicates %v: cancelled %d times, want once if all three allow it, else never", tt.class, tt.cancel, tt.duplicates, cancels)
		}
		if tt.wantCancels == 1 {
			h.handle(Outcome{ID: slow, Node: "n0", Elapsed: 12 * mean, Result: Cancelled})
			if h.sendCount(slow) != 2 {
				t.Errorf("%s: want two sends in all after the cancel", tt.class)
			}
		}
	}
}

// The latency target of a client's retry of an unserved request must count from the first try. Another
// request with the same key, or one after the class's deadline, counts from its own arrival.
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
	h.setNodes() // without a node nothing can be sent
	submit("a", 900)
	if r := submit("b", 250); timeToTarget(r) != 250 {
		t.Errorf("time to target %.0f ms of a request that expires in 250 ms, want 250", timeToTarget(r))
	}
	h.advance(500) // a is refused after 450 ms
	r := submit("a", 400)
	if math.Abs(timeToTarget(r)+200) > 1 {
		t.Errorf("time to target %.0f ms of a retry, want -200", timeToTarget(r))
	}
	if r := submit("a", 400); timeToTarget(r) != 300 {
		t.Errorf("time to target %.0f ms of another request with the same key, want 300", timeToTarget(r))
	}
	h.handle(ClientGone{ID: r.ID})
	submit("c", 900)
	h.advance(1100)
	if r := submit("c", 900); timeToTarget(r) != 300 {
		t.Errorf("time to target %.0f ms of a request after the deadline of the first, want 300", timeToTarget(r))
	}
	h.advance(40000)
	if len(h.scheduler.unserved) > 0 {
		t.Errorf("%d unserved requests remembered after their deadlines, want none", len(h.scheduler.unserved))
	}
}

// A request that expires before its latency target can be answered in time until it expires, so it must
// not be refused earlier.
func TestShortRequestWaitsUntilItsExpiry(t *testing.T) {
	h := newHarness(testSettings())
	h.setNodes()
	h.handle(Request{ID: "s", Class: "read", Plan: "high", Volume: "v", Units: 2, Key: "k", Expires: h.now + 280, Hosts: 1})
	h.advance(270)
	if got := h.finalAnswers("s"); got != "" {
		t.Error(got, "before the request expires, want no final answer")
	}
	h.advance(20)
	if got := h.finalAnswers("s"); got != "refuse" {
		t.Errorf("final answer %q at the expiry, want refuse", got)
	}
}

// A shortened deadline must apply both to a waiting request and to one with an outstanding attempt; a
// later deadline must have no effect.
func TestShortenedDeadline(t *testing.T) {
	for _, outstanding := range []bool{false, true} {
		h := newHarness(testSettings())
		if !outstanding {
			h.setNodes(Node{Addr: "n0", Health: Draining, Shard: 0})
		}
		id := h.submit("write", "high", "k", 1)
		if got := h.sendCount(id); (got == 1) != outstanding {
			t.Fatalf("%d sends, want one if the node is ready and none if it drains", got)
		}
		h.handle(DeadlineShortened{ID: id, Deadline: h.now + 1e6})
		h.handle(DeadlineShortened{ID: id, Deadline: h.now + 100})
		h.advance(90)
		if h.finalAnswers(id) != "" {
			t.Errorf("outstanding %v: final answer before the shortened deadline, want none", outstanding)
		}
		h.advance(30)
		if h.finalAnswers(id) == "" {
			t.Errorf("outstanding %v: no final answer after the shortened deadline, want one", outstanding)
		}
	}
}

// A node that has answered an attempt must get the next request even while the outcome is not known,
// and the answered request must neither be sent again before its outcome nor lose its retry after it.
func TestAnsweredAttemptLeavesDepth(t *testing.T) {
	h := newHarness(testSettings())
	h.scheduler.shards[0].depth = 1
	first, second := Request{ID: "first", Class: "read", Plan: "high", Volume: "v", Units: 2, Expires: 2000}, Request{ID: "second", Class: "read", Plan: "high", Volume: "v", Units: 2, Expires: 2000}
	sends := func(actions []Action) (ids []string) {
		for _, a := range actions {
			if s, ok := a.(Send); ok {
				ids = append(ids, s.ID)
			}
		}
		return ids
	}
	if got := sends(append(h.handle(first), h.handle(second)...)); !slices.Equal(got, []string{"first"}) {
		t.Fatalf("at depth 1: got attempts of %v, want of the first request only", got)
	}
	h.now += 10
	if got := sends(h.handle(ResponseReceived{ID: "first", Attempt: 0})); !slices.Equal(got, []string{"second"}) {
		t.Errorf("after the response: got attempts of %v, want of the second request", got)
	}
	h.now += 8
	h.handle(Outcome{ID: "first", Node: "n0", Elapsed: 10, Result: ServerError})
	h.now += 10
	if got := sends(h.handle(Outcome{ID: "second", Node: "n0", Done: true, Elapsed: 18, Result: Served})); !slices.Equal(got, []string{"first"}) {
		t.Errorf("after the outcomes: got attempts of %v, want the retry of the first request", got)
	}
	if out := len(h.scheduler.shards[0].outstanding); out != 1 {
		t.Errorf("got %d attempts in the depth, want 1", out)
	}
}
