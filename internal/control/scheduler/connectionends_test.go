package scheduler

import (
	"errors"
	"io"
	"net"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"merlinhitch/internal/runtime/env"
	"merlinhitch/internal/simulation/standin"
	"merlinhitch/policy"
)

// timeoutHookConn is a connection on which a request lands just as its reader was told that the
// time is over.
type timeoutHookConn struct {
	*net.TCPConn
	onTimeout func()
}

func (c *timeoutHookConn) Read(b []byte) (int, error) {
	n, err := c.TCPConn.Read(b)
	if env.IsTimeout(err) {
		c.onTimeout()
	}
	return n, err
}

// A request that lands in the moment in which its idle connection is to end was taken: it
// is served, and at a stop with the connection's last answer.
func TestARequestLandsAsItsConnectionEnds(t *testing.T) {
	for name, end := range map[string]func(sc *harness){
		"a stop": func(sc *harness) { sc.scheduler.frontend.finish() },
		"for another's sake": func(sc *harness) {
			sc.scheduler.frontend.mu.Lock()
			defer sc.scheduler.frontend.mu.Unlock()
			sc.scheduler.frontend.forEachIdle(func(c *client) { c.beginClose(sc.scheduler.loop.now()) })
		},
	} {
		t.Run(name, func(t *testing.T) {
			runOnSockets(t, nil, respondWith(ok200), func(sc *harness, h *hookedEnv) {
				var p *testClient
				landed := sc.newGate()
				sc.setAcceptHook(h, func(c net.Conn) net.Conn {
					return &timeoutHookConn{c.(*net.TCPConn), func() {
						if !landed.Opened() {
							io.WriteString(p.conn, sc.getRequest())
							landed.Open()
						}
					}}
				})
				p = sc.connect()
				defer p.conn.Close()
				if got := p.roundTrip("GET /up HTTP/1.1\r\n\r\n"); got.status != 200 {
					t.Fatal(got)
				}
				sc.waitFor("it is idle", func() bool {
					idle := 0
					sc.scheduler.frontend.mu.Lock()
					defer sc.scheduler.frontend.mu.Unlock()
					sc.scheduler.frontend.forEachIdle(func(*client) { idle++ })
					return idle == 1
				})
				end(sc)
				if got := p.readResponse(0); got.status != 200 || got.closeConn != (name == "a stop") {
					t.Errorf("%+v", got)
				}
				if !landed.Opened() {
					t.Error("nothing was crossed")
				}
			})
		})
	}
}

// A connection that is accepted just after the idle ones were told to end ends too, and at
// once.
func TestAConnectionAcceptedAfterTheOthersEnded(t *testing.T) {
	runOnSockets(t, nil, respondWith(ok200), func(sc *harness, h *hookedEnv) {
		gate, at := sc.newGate(), sc.newGate()
		sc.setAcceptHook(h, func(c net.Conn) net.Conn {
			at.Open()
			gate.Wait(h)
			return c
		})
		p := sc.connect()
		defer p.conn.Close()
		sc.waitFor("the hook", at.Opened)
		sc.scheduler.frontend.finish()
		gate.Open()
		if got := p.readResponse(sc.environment.Now()); got.status != 0 || got.elapsed > firstByteTimeout/2 {
			t.Errorf("%+v", got)
		}
	})
}

var errNoDescriptors = &net.OpError{Op: "accept", Err: syscall.EMFILE}

// Where descriptors run out, the accept loop goes on once there are some, and a disk server
// is not blamed for a dial that this machine had no descriptor for: the attempt waits.
func TestFileDescriptorExhaustion(t *testing.T) {
	runOnSockets(t, nil, respondWith(ok200), func(sc *harness, h *hookedEnv) {
		var mu sync.Mutex
		left := 5
		h.mu.Lock()
		h.acceptError = func() error {
			mu.Lock()
			defer mu.Unlock()
			if left--; left >= 0 {
				return errNoDescriptors
			}
			return nil
		}
		h.mu.Unlock()
		h.setDialHook(func(n int) error {
			if n == 0 {
				return errNoDescriptors
			}
			return nil
		})
		kept := sc.connect()
		for range 2 { // one more is accepted after the refusals
			if got := sc.connect().roundTrip("GET /up HTTP/1.1\r\n\r\n"); got.status != 200 {
				t.Errorf("%+v", got)
			}
		}
		got := kept.roundTrip(strings.Replace(sc.getRequest(), "0.480", "1.900", 1))
		if c := sc.counters(); got.status != 200 || c.Sends != 1 || c.Outcomes[policy.NotSent] != 0 || c.Outcomes[policy.NoConnection] != 0 {
			t.Errorf("%+v, %+v", got, c)
		}
		if mu.Lock(); left >= 0 {
			t.Errorf("%d refusals were not met", left)
		}
		mu.Unlock()
		if !errors.Is(errNoDescriptors, syscall.EMFILE) {
			t.Error("the hook is wrong")
		}
	})
}

// What was taken before SIGTERM and has longer than there is until the kill gets its answer
// all the same, and nothing begins for it afterwards.
func TestAStopAnswersWhatHasLonger(t *testing.T) {
	silent := func(standin.HTTPAsk) standin.HTTPAnswer { return standin.HTTPAnswer{} }
	runSimulated(t, silent, func(sc *harness) {
		p := sc.connect()
		io.WriteString(p.conn, sc.formatRequest("PUT", "txn-write", "00000000000000ab", "30", "x", "Idempotency-Key: k\r\n"))
		io.WriteString(sc.connect().conn, strings.Replace(sc.getRequest(), "0.480", "30", 1))
		env.Sleep(sc.environment, 10*time.Millisecond, nil)
		from := sc.environment.Now()
		sc.environment.Go(sc.scheduler.Drain)
		if got := p.readResponse(from); got.status != 504 || got.elapsed > 3700*time.Millisecond {
			t.Errorf("%+v", got)
		}
		sc.scheduler.Wait()
		if took := sc.environment.Now() - from; took > 3700*time.Millisecond {
			t.Error("ended after", took)
		}
		if k := sc.scheduler.core; k.counters.Failed != 1 || k.counters.Refused != 1 {
			t.Errorf("%+v", k.counters)
		}
		sc.scheduler = sc.startScheduler(fullListJSON(7))
	})
}
