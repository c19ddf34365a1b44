package scheduler

import (
	"errors"
	"io"
	"net"
	"os"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"merlinhitch/internal/runtime/env"
	"merlinhitch/internal/simulation/standin"
	"merlinhitch/policy"
)

// timeoutHookConn calls onTimeout after each read that timed out, so that a test can send a request
// just after the reader's deadline.
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

// A request that arrives while its idle connection is being closed must be served. If the scheduler
// is stopping, the response closes the connection.
func TestARequestLandsAsItsConnectionEnds(t *testing.T) {
	for name, endIdle := range map[string]func(sc *harness){
		"stop": func(h *harness) { h.scheduler.frontend.finish() },
		"eviction": func(h *harness) {
			h.scheduler.frontend.mu.Lock()
			defer h.scheduler.frontend.mu.Unlock()
			h.scheduler.frontend.forEachIdle(func(c *client) { c.beginClose(h.scheduler.loop.now()) })
		},
	} {
		t.Run(name, func(t *testing.T) {
			runOnSockets(t, nil, respondWith(ok200), func(h *harness, hooks *hookedEnv) {
				var sender *testClient
				sent := h.newGate()
				h.setAcceptHook(hooks, func(conn net.Conn) net.Conn {
					return &timeoutHookConn{conn.(*net.TCPConn), func() {
						if !sent.Opened() {
							io.WriteString(sender.conn, h.getRequest())
							sent.Open()
						}
					}}
				})
				sender = h.connect()
				defer sender.conn.Close()
				if got := sender.roundTrip("GET /up HTTP/1.1\r\n\r\n"); got.status != 200 {
					t.Fatal(got)
				}
				h.waitFor("the connection is idle", func() bool {
					idle := 0
					h.scheduler.frontend.mu.Lock()
					defer h.scheduler.frontend.mu.Unlock()
					h.scheduler.frontend.forEachIdle(func(*client) { idle++ })
					return idle == 1
				})
				endIdle(h)
				if got := sender.readResponse(0); got.status != 200 || got.closeConn != (name == "stop") {
					t.Errorf("got %+v, want status 200, and closeConn only at a stop", got)
				}
				if !sent.Opened() {
					t.Error("read did not time out, so no request was sent during the close")
				}
			})
		})
	}
}

// A connection that is accepted just after finish has closed the idle ones is closed at once too.
func TestAConnectionAcceptedAfterTheOthersEnded(t *testing.T) {
	runOnSockets(t, nil, respondWith(ok200), func(h *harness, hooks *hookedEnv) {
		gate, reached := h.newGate(), h.newGate()
		h.setAcceptHook(hooks, func(conn net.Conn) net.Conn {
			reached.Open()
			gate.Wait(hooks)
			return conn
		})
		client := h.connect()
		defer client.conn.Close()
		h.waitFor("the accept is blocked", reached.Opened)
		h.scheduler.frontend.finish()
		gate.Open()
		if got := client.readResponse(h.environment.Now()); got.status != 0 || got.elapsed > firstByteTimeout/2 {
			t.Errorf("got %+v, want a close within half of firstByteTimeout", got)
		}
	})
}

var errNoDescriptors = &net.OpError{Op: "accept", Err: syscall.EMFILE}

// When file descriptors run out, the accept loop resumes once there are some again, and a dial that
// fails for lack of one is not counted against the disk server: the attempt waits.
func TestFileDescriptorExhaustion(t *testing.T) {
	runOnSockets(t, nil, respondWith(ok200), func(h *harness, hooks *hookedEnv) {
		var mu sync.Mutex
		refusalsLeft := 5
		hooks.mu.Lock()
		hooks.acceptError = func() error {
			mu.Lock()
			defer mu.Unlock()
			if refusalsLeft--; refusalsLeft >= 0 {
				return errNoDescriptors
			}
			return nil
		}
		hooks.mu.Unlock()
		hooks.setDialHook(func(n int) error {
			if n == 0 {
				return errNoDescriptors
			}
			return nil
		})
		firstClient := h.connect()
		for range 2 { // at least one is accepted after the failed accepts
			if got := h.connect().roundTrip("GET /up HTTP/1.1\r\n\r\n"); got.status != 200 {
				t.Errorf("GET /up: got %+v, want status 200", got)
			}
		}
		got := firstClient.roundTrip(strings.Replace(h.getRequest(), "0.480", "1.900", 1))
		if c := h.counters(); got.status != 200 || c.Sends != 1 || c.Outcomes[policy.NotSent] != 0 || c.Outcomes[policy.NoConnection] != 0 {
			t.Errorf("got %+v, want status 200; counters %+v, want one attempt and no failed one", got, c)
		}
		if mu.Lock(); refusalsLeft >= 0 {
			t.Errorf("%d of the 5 failing accepts are left, want all used and a later accept to succeed", refusalsLeft)
		}
		mu.Unlock()
		if !errors.Is(errNoDescriptors, syscall.EMFILE) {
			t.Error("errNoDescriptors does not wrap EMFILE")
		}
	})
}

// A request taken before SIGTERM with a deadline after the kill is answered before the kill.
func TestAStopAnswersWhatHasLonger(t *testing.T) {
	neverRespond := func(standin.HTTPRequest) standin.HTTPResponse { return standin.HTTPResponse{} }
	runSimulated(t, neverRespond, func(h *harness) {
		client := h.connect()
		io.WriteString(client.conn, h.formatRequest("PUT", "txn-write", "00000000000000ab", "30", "x", "Idempotency-Key: k\r\n"))
		io.WriteString(h.connect().conn, strings.Replace(h.getRequest(), "0.480", "30", 1))
		env.Sleep(h.environment, 10*time.Millisecond, nil)
		startedAt := h.environment.Now()
		h.environment.Go(h.scheduler.Drain)
		if got := client.readResponse(startedAt); got.status != 504 || got.elapsed > 3700*time.Millisecond {
			t.Errorf("got %+v, want status 504 within 3.7 s", got)
		}
		h.scheduler.Wait()
		if duration := h.environment.Now() - startedAt; duration > 3700*time.Millisecond {
			t.Error("want the drain to end within 3.7 s, ended after", duration)
		}
		if k := h.scheduler.core; k.counters.Failed != 1 || k.counters.Refused != 1 {
			t.Errorf("got counters %+v, want Failed 1 and Refused 1", k.counters)
		}
		h.scheduler = h.startScheduler(fullListJSON(7))
	})
}

// unreadConn is a connection whose peer reads nothing: a write ends with its deadline or the close.
type unreadConn struct {
	*net.TCPConn
	mu       sync.Mutex
	deadline time.Time
	closed   chan struct{}
	writing  *env.Gate // opened by the first write
}

func (c *unreadConn) SetWriteDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.deadline = t
	return nil
}

func (c *unreadConn) Write([]byte) (int, error) {
	c.writing.Open()
	c.mu.Lock()
	deadline := c.deadline
	c.mu.Unlock()
	select {
	case <-c.closed:
		return 0, net.ErrClosed
	case <-time.After(time.Until(deadline)):
		return 0, os.ErrDeadlineExceeded
	}
}

func (c *unreadConn) Close() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	select {
	case <-c.closed:
	default:
		close(c.closed)
	}
	return c.TCPConn.Close()
}

// A client that does not read its answer must not delay the end of the process, which the platform would
// kill meanwhile.
func TestAClientThatDoesNotReadDoesNotDelayTheEnd(t *testing.T) {
	runOnSockets(t, nil, respondWith(ok200), func(h *harness, hooks *hookedEnv) {
		writing := h.newGate()
		h.setAcceptHook(hooks, func(conn net.Conn) net.Conn {
			return &unreadConn{TCPConn: conn.(*net.TCPConn), closed: make(chan struct{}), writing: writing}
		})
		client := h.connect()
		io.WriteString(client.conn, h.getRequest())
		h.waitFor("the answer is being written", writing.Opened)
		startedAt := time.Now()
		h.scheduler.Close()
		if elapsed := time.Since(startedAt); elapsed > time.Second {
			t.Errorf("the end took %s, want it within 1 s", elapsed)
		}
	})
}
