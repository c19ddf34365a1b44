package gateway

import (
	"io"
	"math"
	"net"
	"testing"
	"time"

	"go.uber.org/zap"

	"merlinhitch/internal/control/settings"
	"merlinhitch/internal/protocol/diskproto"
	"merlinhitch/internal/runtime/env"
	"merlinhitch/internal/runtime/writequeue"
	"merlinhitch/policy"
)

func sendWithStartBy(ev policy.Event) []policy.Action {
	if r, ok := ev.(policy.Request); ok {
		return []policy.Action{policy.Send{ID: r.ID, Node: "n", TimeoutAt: 500, StartBy: 300}}
	}
	return nil
}

// An attempt that waits for its connection ends when it may not begin any more; one that has
// begun goes on to its end.
func TestWaitingAttemptFailsAfterBeginBy(t *testing.T) {
	for _, claimed := range []bool{false, true} {
		h, s, n := newTestCore(sendWithStartBy)
		h.submit(100, &job{req: policy.Request{Expires: 2000}})
		if claimed {
			n.attempts[0].claim()
		}
		h.runDue(299)
		if o := lastOutcome(s); o.Result != -1 {
			t.Errorf("claimed %v: %+v too early", claimed, o)
		}
		h.runDue(300)
		if o := lastOutcome(s); claimed != (o.Result == -1) || !claimed && o.Result != policy.NoConnection {
			t.Errorf("claimed %v: %+v", claimed, o)
		}
		h.runDue(500)
		if o := lastOutcome(s); claimed && o.Result != policy.NoAnswer {
			t.Errorf("%+v", o)
		}
	}
}

// What is taken back before it began ends as never sent; what has begun goes on.
func TestWithdrawAttempt(t *testing.T) {
	for _, claimed := range []bool{false, true} {
		h, s, n := newTestCore(sendOnRequest)
		j := &job{req: policy.Request{Expires: 2000}}
		h.submit(100, j)
		a := n.attempts[0]
		if claimed {
			a.claim()
		}
		h.perform(policy.Withdraw{ID: j.id, Attempt: 0})
		if !claimed && a.claim() {
			t.Error("claimed after it was taken back")
		}
		h.runDue(101)
		if o := lastOutcome(s); claimed != (o.Result == -1) || !claimed && o.Result != policy.NotSent {
			t.Errorf("claimed %v: %+v", claimed, o)
		}
		h.perform(policy.Withdraw{ID: j.id, Attempt: 7}) // none of that number
		h.runDue(102)
		if len(n.outcomes) != 0 {
			t.Error("the request ended")
		}
	}
}

// An attempt that the back kept from going out waits for the outcome that is on its way, also
// past its time: it has certainly not run.
func TestDroppedAttemptWaitsForOutcome(t *testing.T) {
	h, s, n := newTestCore(sendOnRequest)
	h.submit(100, &job{req: policy.Request{Expires: 2000}})
	n.attempts[0].drop()
	h.runDue(600)
	if o := lastOutcome(s); o.Result != -1 {
		t.Errorf("%+v", o)
	}
	h.failAttempt(601, n.attempts[0], policy.NotSent)
	if o := lastOutcome(s); o.Result != policy.NotSent {
		t.Errorf("%+v", o)
	}
}

// discardOwner owns a job of which the test awaits nothing.
type discardOwner struct{}

func (discardOwner) jobEnded(*job, jobOutcome, float64, *diskproto.Answer) {}
func (discardOwner) jobSettled()                                           {}

// Nothing is put on a connection for a request that is over, or too late.
func TestBeginSendsOnlyPermittedAttempts(t *testing.T) {
	w := env.NewReal()
	for name, tt := range map[string]struct {
		change func(a *attempt, now float64)
		goes   bool
	}{
		"in time":          {func(*attempt, float64) {}, true},
		"request over":     {func(a *attempt, _ float64) { a.job.markEnded() }, false},
		"too late":         {func(a *attempt, now float64) { a.beginBy = now - 1 }, false},
		"time is up":       {func(a *attempt, now float64) { a.answerBy = now }, false},
		"was taken back":   {func(a *attempt, _ float64) { a.drop() }, false},
		"has time to wait": {func(a *attempt, now float64) { a.beginBy = now + 10_000 }, true},
	} {
		h := newHost(w, settings.Example(1, 1), 0, "h0", "z0", nil, zap.NewNop())
		ours, theirs := net.Pipe()
		l := &serverConn{pool: h.pool, outstanding: map[uint32]*attempt{}, conn: ours, writes: writequeue.New(w, ours, 1<<20, time.Second)}
		now := env.MS(w.Now())
		a := &attempt{job: &job{owner: discardOwner{}}, answerBy: now + 60_000, beginBy: math.Inf(1)}
		tt.change(a, now)
		l.begin(a)
		l.writes.Finish()
		got, err := io.ReadAll(theirs)
		if err != nil || (len(got) > 0) != tt.goes {
			t.Errorf("%s: %d bytes, %v", name, len(got), err)
		}
		if !tt.goes && a.claim() {
			t.Errorf("%s: it may still go", name)
		}
		h.stop()
	}
}
