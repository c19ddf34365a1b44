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

func sendWithStartBy(event policy.Event) []policy.Action {
	if request, ok := event.(policy.Request); ok {
		return []policy.Action{policy.Send{ID: request.ID, Node: "n", TimeoutAt: 500, StartBy: 300}}
	}
	return nil
}

// An attempt that waits for its connection ends when it may not begin any more; one that has
// begun goes on to its end.
func TestWaitingAttemptFailsAfterBeginBy(t *testing.T) {
	for _, claimed := range []bool{false, true} {
		k, scheduler, effects := newTestCore(sendWithStartBy)
		k.submit(100, &job{req: policy.Request{Expires: 2000}})
		if claimed {
			effects.attempts[0].claim()
		}
		k.runDue(299)
		if outcome := lastOutcome(scheduler); outcome.Result != -1 {
			t.Errorf("claimed %v: %+v too early", claimed, outcome)
		}
		k.runDue(300)
		if outcome := lastOutcome(scheduler); claimed != (outcome.Result == -1) || !claimed && outcome.Result != policy.NoConnection {
			t.Errorf("claimed %v: %+v", claimed, outcome)
		}
		k.runDue(500)
		if outcome := lastOutcome(scheduler); claimed && outcome.Result != policy.NoAnswer {
			t.Errorf("%+v", outcome)
		}
	}
}

// What is taken back before it began ends as never sent; what has begun goes on.
func TestWithdrawAttempt(t *testing.T) {
	for _, claimed := range []bool{false, true} {
		k, scheduler, effects := newTestCore(sendOnRequest)
		j := &job{req: policy.Request{Expires: 2000}}
		k.submit(100, j)
		a := effects.attempts[0]
		if claimed {
			a.claim()
		}
		k.perform(policy.Withdraw{ID: j.id, Attempt: 0})
		if !claimed && a.claim() {
			t.Error("claimed after it was taken back")
		}
		k.runDue(101)
		if outcome := lastOutcome(scheduler); claimed != (outcome.Result == -1) || !claimed && outcome.Result != policy.NotSent {
			t.Errorf("claimed %v: %+v", claimed, outcome)
		}
		k.perform(policy.Withdraw{ID: j.id, Attempt: 7}) // none of that number
		k.runDue(102)
		if len(effects.outcomes) != 0 {
			t.Error("the request ended")
		}
	}
}

// An attempt that the back kept from going out waits for the outcome that is on its way, also
// past its time: it has certainly not run.
func TestDroppedAttemptWaitsForOutcome(t *testing.T) {
	k, scheduler, effects := newTestCore(sendOnRequest)
	k.submit(100, &job{req: policy.Request{Expires: 2000}})
	effects.attempts[0].drop()
	k.runDue(600)
	if outcome := lastOutcome(scheduler); outcome.Result != -1 {
		t.Errorf("%+v", outcome)
	}
	k.failAttempt(601, effects.attempts[0], policy.NotSent)
	if outcome := lastOutcome(scheduler); outcome.Result != policy.NotSent {
		t.Errorf("%+v", outcome)
	}
}

// discardOwner owns a job of which the test awaits nothing.
type discardOwner struct{}

func (discardOwner) jobEnded(*job, jobOutcome, float64, *diskproto.Answer) {}
func (discardOwner) jobSettled()                                           {}

// Nothing is put on a connection for a request that is over, or too late.
func TestBeginSendsOnlyPermittedAttempts(t *testing.T) {
	environment := env.NewReal()
	for name, tt := range map[string]struct {
		change func(a *attempt, now float64)
		want   bool
	}{
		"in time":          {func(*attempt, float64) {}, true},
		"request over":     {func(a *attempt, _ float64) { a.job.markEnded() }, false},
		"too late":         {func(a *attempt, now float64) { a.beginBy = now - 1 }, false},
		"time is up":       {func(a *attempt, now float64) { a.answerBy = now }, false},
		"was taken back":   {func(a *attempt, _ float64) { a.drop() }, false},
		"has time to wait": {func(a *attempt, now float64) { a.beginBy = now + 10_000 }, true},
	} {
		h := newHost(environment, settings.Example(1, 1), 0, "h0", "z0", nil, zap.NewNop())
		poolEnd, serverEnd := net.Pipe()
		conn := &serverConn{pool: h.pool, outstanding: map[uint32]*attempt{}, conn: poolEnd, writes: writequeue.New(environment, poolEnd, 1<<20, time.Second)}
		now := env.MS(environment.Now())
		a := &attempt{job: &job{owner: discardOwner{}}, answerBy: now + 60_000, beginBy: math.Inf(1)}
		tt.change(a, now)
		conn.begin(a)
		conn.writes.Finish()
		sent, err := io.ReadAll(serverEnd)
		if err != nil || (len(sent) > 0) != tt.want {
			t.Errorf("%s: %d bytes, %v", name, len(sent), err)
		}
		if !tt.want && a.claim() {
			t.Errorf("%s: it may still go", name)
		}
		h.stop()
	}
}
