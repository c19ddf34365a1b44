package gateway

import (
	"bufio"
	"io"
	"math"
	"net"
	"runtime"
	"testing"
	"time"

	"go.uber.org/zap"

	"merlinhitch/internal/control/settings"
	"merlinhitch/internal/observe/metrics"
	"merlinhitch/internal/protocol/diskproto"
	"merlinhitch/internal/runtime/env"
	"merlinhitch/internal/runtime/writequeue"
	"merlinhitch/policy"
)

// sendWithStartBy sends each request to node n, to begin by 300 ms, with a timeout at 500 ms.
func sendWithStartBy(event policy.Event) []policy.Action {
	if request, ok := event.(policy.Request); ok {
		return []policy.Action{policy.Send{ID: request.ID, Node: "n", TimeoutAt: 500, StartBy: 300}}
	}
	return nil
}

// An attempt that still waits for its connection must fail at beginBy. One that was claimed must
// continue until its timeout.
func TestWaitingAttemptFailsAfterBeginBy(t *testing.T) {
	for _, claimed := range []bool{false, true} {
		k, scheduler, effects := newTestCore(sendWithStartBy)
		k.submit(100, &job{req: policy.Request{Expires: 2000}})
		if claimed {
			effects.attempts[0].claim()
		}
		k.runDue(299)
		if outcome := lastOutcome(scheduler); outcome.Result != -1 {
			t.Errorf("claimed %v: got %+v before beginBy, want no outcome", claimed, outcome)
		}
		k.runDue(300)
		if outcome := lastOutcome(scheduler); claimed != (outcome.Result == -1) || !claimed && outcome.Result != policy.NoConnection {
			t.Errorf("claimed %v: got %+v at beginBy, want no outcome if claimed, else no connection", claimed, outcome)
		}
		k.runDue(500)
		if outcome := lastOutcome(scheduler); claimed && outcome.Result != policy.NoAnswer {
			t.Errorf("claimed attempt at its timeout: got %+v, want no answer", outcome)
		}
	}
}

// An attempt withdrawn before it was claimed must end as not sent. A claimed one must continue.
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
			t.Error("attempt could be claimed after its withdrawal")
		}
		k.runDue(101)
		if outcome := lastOutcome(scheduler); claimed != (outcome.Result == -1) || !claimed && outcome.Result != policy.NotSent {
			t.Errorf("claimed %v: got %+v after the withdrawal, want no outcome if claimed, else not sent", claimed, outcome)
		}
		k.perform(policy.Withdraw{ID: j.id, Attempt: 7}) // no such attempt
		k.runDue(102)
		if len(effects.outcomes) != 0 {
			t.Error("the job ended, want it open")
		}
	}
}

// An attempt that the connection pool dropped must have no outcome, even after its timeout, until
// the pool reports it as not sent.
func TestDroppedAttemptWaitsForOutcome(t *testing.T) {
	k, scheduler, effects := newTestCore(sendOnRequest)
	k.submit(100, &job{req: policy.Request{Expires: 2000}})
	effects.attempts[0].drop()
	k.runDue(600)
	if outcome := lastOutcome(scheduler); outcome.Result != -1 {
		t.Errorf("before the pool's report: got %+v, want no outcome", outcome)
	}
	k.failAttempt(601, effects.attempts[0], policy.NotSent)
	if outcome := lastOutcome(scheduler); outcome.Result != policy.NotSent {
		t.Errorf("after the pool's report: got %+v, want not sent", outcome)
	}
}

// discardOwner is an owner that ignores the job's result.
type discardOwner struct{}

func (discardOwner) jobEnded(*job, jobOutcome, float64, *diskproto.Answer) {}
func (discardOwner) jobSettled()                                           {}

// begin must write nothing for an attempt that may not begin, and that attempt must not be
// claimable.
func TestBeginSendsOnlyPermittedAttempts(t *testing.T) {
	environment := env.NewReal()
	for name, tt := range map[string]struct {
		change   func(a *attempt, now float64)
		mayBegin bool
	}{
		"unchanged":      {func(*attempt, float64) {}, true},
		"request ended":  {func(a *attempt, _ float64) { a.job.markEnded() }, false},
		"after beginBy":  {func(a *attempt, now float64) { a.beginBy = now - 1 }, false},
		"at answerBy":    {func(a *attempt, now float64) { a.answerBy = now }, false},
		"dropped":        {func(a *attempt, _ float64) { a.drop() }, false},
		"before beginBy": {func(a *attempt, now float64) { a.beginBy = now + 10_000 }, true},
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
		if err != nil || (len(sent) > 0) != tt.mayBegin {
			t.Errorf("%s: got %d bytes written, error %v, want some only if the attempt may begin", name, len(sent), err)
		}
		if !tt.mayBegin && a.claim() {
			t.Errorf("%s: attempt could be claimed after begin refused it", name)
		}
		h.stop()
	}
}

// newSlowConn returns an established connection whose writes end when serverEnd reads them. It has
// begun to write the first of the attempts, and the others wait for the end of that write.
func newSlowConn(h *host, attempts []*attempt) (conn *serverConn, serverEnd net.Conn) {
	poolEnd, serverEnd := net.Pipe()
	conn = &serverConn{pool: h.pool, outstanding: map[uint32]*attempt{}, conn: poolEnd, established: true}
	conn.writes = writequeue.New(h.environment, poolEnd, 1<<20, time.Minute)
	conn.writes.OnIdle = conn.beginWaiting
	for i := range attempts {
		attempts[i] = &attempt{job: &job{owner: discardOwner{}}, node: "n", answerBy: env.MS(h.environment.Now()) + 60_000, beginBy: math.Inf(1)}
	}
	h.runAndWait(func(*core) { conn.send(attempts[0]) })
	for !conn.writes.Writing() {
		runtime.Gosched()
	}
	h.runAndWait(func(*core) {
		for _, a := range attempts[1:] {
			conn.send(a)
		}
	})
	return conn, serverEnd
}

// An attempt behind a write that a slow disk server holds up must not be sent once its request has
// ended; the others must be sent when the write is done.
func TestAttemptsBehindSlowWriteAreCheckedAgain(t *testing.T) {
	h := newHost(env.NewReal(), settings.Example(1, 1), 0, "h0", "z0", nil, zap.NewNop())
	defer h.stop()
	attempts := make([]*attempt, 3)
	conn, serverEnd := newSlowConn(h, attempts)
	attempts[1].job.markEnded()
	reader := diskproto.NewReader(bufio.NewReader(serverEnd))
	for i, want := range []*attempt{attempts[0], attempts[2]} {
		frame, err := reader.Next()
		if err != nil {
			t.Fatal(err)
		}
		conn.mu.Lock()
		got := conn.outstanding[frame.Tag]
		conn.mu.Unlock()
		if got != want {
			t.Errorf("frame %d: got the attempt of an ended request, or none, want that of an open one", i)
		}
	}
	conn.writes.Finish()
	if rest, err := io.ReadAll(serverEnd); err != nil || len(rest) > 0 {
		t.Errorf("got %d more bytes, error %v, want none", len(rest), err)
	}
}

// Attempts behind a slow write on a connection that is retired meanwhile must end as not sent, which
// does not count against the disk server, unlike those on a connection that breaks.
func TestAttemptsBehindSlowWriteOfRetiredConnection(t *testing.T) {
	for name, tt := range map[string]struct {
		retired bool
		end     func(conn *serverConn, serverEnd net.Conn)
		want    policy.Result
	}{
		"write ends":                {true, func(_ *serverConn, serverEnd net.Conn) { io.CopyN(io.Discard, serverEnd, 1<<20) }, policy.NotSent},
		"connection ends":           {true, func(conn *serverConn, _ net.Conn) { conn.endAttempts() }, policy.NotSent},
		"unretired connection ends": {false, func(conn *serverConn, _ net.Conn) { conn.endAttempts() }, policy.NoConnection},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHost(env.NewReal(), settings.Example(1, 1), 0, "h0", "z0", nil, zap.NewNop())
			defer h.stop()
			attempts := make([]*attempt, 2)
			conn, serverEnd := newSlowConn(h, attempts)
			defer serverEnd.Close()
			defer conn.writes.Abort()
			conn.mu.Lock()
			conn.retired = tt.retired
			conn.mu.Unlock()
			go tt.end(conn, serverEnd)
			for attempts[1].state.Load() == attemptWaiting {
				runtime.Gosched()
			}
			if attempts[1].state.Load() != attemptDropped {
				t.Fatal("the attempt was sent, want it dropped")
			}
			var got metrics.Attempts
			for got[policy.NotSent]+got[policy.NoConnection] == 0 {
				h.runAndWait(func(c *core) {
					if counts := c.counters.attempts["n"]; counts != nil {
						got = *counts
					}
				})
			}
			if got[tt.want] != 1 {
				t.Errorf("got results %v, want one of %d", got, tt.want)
			}
		})
	}
}
