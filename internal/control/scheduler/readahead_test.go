package scheduler

import (
	"fmt"
	"io"
	"net"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"

	"go.uber.org/zap"

	"merlinhitch/internal/runtime/env"
	"merlinhitch/internal/simulation/standin"
)

// A client's disconnect must be noticed behind more pipelined data than reservedReadAhead, and
// none of that data may be sent as requests.
func TestALeaverBehindManyRequests(t *testing.T) {
	var gate env.Gate
	respond := func(standin.HTTPRequest) standin.HTTPResponse {
		<-gate.Chan()
		return standin.HTTPResponse{Raw: []byte(ok200)}
	}
	runOnSockets(t, nil, respond, func(h *harness, _ *hookedEnv) {
		h.gates = append(h.gates, &gate)
		client := h.connect()
		var pipelined strings.Builder
		for pipelined.Len() < 5*reservedReadAhead {
			pipelined.WriteString(strings.Replace(h.getRequest(), "0.480", "19.0", 1))
		}
		io.WriteString(client.conn, pipelined.String())
		h.waitFor("the disk server has received the first request", func() bool { return len(h.diskServer.Requests()) == 1 })
		client.conn.Close()
		h.waitFor("the core has counted the disconnect", func() bool { return h.counters().Gone == 1 })
		gate.Open()
		h.waitFor("the client's connection has been removed", func() bool { return h.scheduler.frontend.clientCount() == 0 })
		if counters := h.counters(); counters.Sends != 1 || h.scheduler.memory.readAhead.used.Load() != 0 {
			t.Errorf("got counters %+v and %d bytes of read-ahead, want 1 send and 0 bytes", counters, h.scheduler.memory.readAhead.used.Load())
		}
	})
}

// With the budget of all clients exhausted, each client may still buffer reservedReadAhead bytes.
func TestReadAheadBudget(t *testing.T) {
	const readAheadChunk = 2 << 10
	var budget byteBudget
	budget.limit.Store(40 << 10)
	now := func() float64 { return 0 }
	first, second := &readAhead{buffer: streamBuffer{budget: &budget}, now: now}, &readAhead{buffer: streamBuffer{budget: &budget}, now: now}
	fill := func(reader *readAhead, size int) {
		reader.fill(make([]byte, size), func([]byte) (int, error) { return size, nil })
	}
	for range 20 {
		fill(first, readAheadChunk)
	}
	if !first.full() || second.full() {
		t.Errorf("full: got %v for the first client and %v for the second, want true and false", first.full(), second.full())
	}
	for range reservedReadAhead / readAheadChunk {
		fill(second, readAheadChunk)
	}
	if !second.full() {
		t.Error("second client is not full after reservedReadAhead bytes, want full")
	}
	if first.discard(); second.full() || budget.used.Load() != reservedReadAhead {
		t.Errorf("after the first client's data was discarded: got %d bytes in use, want reservedReadAhead, and the second client not full", budget.used.Load())
	}
}

// failingListenEnv is an environment whose first failuresLeft calls of Listen fail with listenErr.
type failingListenEnv struct {
	*env.Real
	listenErr    error
	failuresLeft int
}

func (e *failingListenEnv) Listen(network, address string) (net.Listener, error) {
	if e.failuresLeft--; e.failuresLeft >= 0 {
		return nil, &net.OpError{Op: "listen", Err: e.listenErr}
	}
	return e.Real.Listen(network, address)
}

// listen must be retried while the address is in use or buffers or file descriptors are short; any
// other error must be returned at once.
func TestListenIsTriedAgain(t *testing.T) {
	for errno, wantRetry := range map[error]bool{syscall.EADDRINUSE: true, syscall.ENOBUFS: true, syscall.EMFILE: true, syscall.EINVAL: false} {
		failingEnv := &failingListenEnv{Real: env.NewReal(), listenErr: errno, failuresLeft: 3}
		startedAt := time.Now()
		listener, err := listen(failingEnv, "127.0.0.1:0", zap.NewNop())
		if got := err == nil; got != wantRetry || wantRetry && time.Since(startedAt) < 3*listenRetryInterval {
			t.Error(fmt.Errorf("listening failed three times with %w: got error %v, want one only if the fault is not retried, and a wait of 20 ms before each retry", errno, err))
		}
		if err == nil {
			listener.Close()
		}
	}
}

// Requests that arrive in one write must be answered in order, each as soon as the one before it,
// without waiting for further input.
func TestRequestsThatCameTogether(t *testing.T) {
	runSimulated(t, respondWith(ok200), func(h *harness) {
		client, count := h.connect(), 6
		var pipelined strings.Builder
		for range count {
			pipelined.WriteString(h.getRequest())
		}
		sentAt := h.environment.Now()
		io.WriteString(client.conn, pipelined.String())
		for i := range count {
			if got := client.readResponse(sentAt); got.status != 200 || got.elapsed > time.Duration(i+1)*40*time.Millisecond {
				t.Fatalf("response %d: got %+v, want status 200 within 40 ms per request", i, got)
			}
		}
	})
}

// A client that pipelines requests and reads slowly must get every response whole, however large
// they are together.
func TestLargeAnswersToASlowReader(t *testing.T) {
	const requests, bodyBytes = 12, 900 << 10
	response := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", bodyBytes, strings.Repeat("x", bodyBytes))
	runOnSockets(t, nil, respondWith(response), func(h *harness, _ *hookedEnv) {
		client := h.connect()
		for range requests {
			io.WriteString(client.conn, strings.Replace(h.getRequest(), "0.480", "19.0", 1))
		}
		env.Sleep(h.environment, 300*time.Millisecond, nil) // the client reads nothing in this time
		for i := range requests {
			if got := client.readResponse(client.environment.Now()); got.status != 200 || len(got.body) != bodyBytes {
				t.Fatalf("response %d: got status %d with %d bytes, want status 200 with 921600 bytes", i, got.status, len(got.body))
			}
		}
	})
}

// slowListenEnv is an environment in which a client sends a request as soon as the listener is
// open, and Listen returns only after a delay.
type slowListenEnv struct {
	*env.Real
	request string
	delay   time.Duration
	conn    net.Conn
}

func (e *slowListenEnv) Listen(network, address string) (net.Listener, error) {
	listener, err := e.Real.Listen(network, address)
	if err != nil {
		return nil, err
	}
	if e.conn, err = net.Dial("tcp", listener.Addr().String()); err == nil {
		_, err = io.WriteString(e.conn, e.request)
	}
	env.Sleep(e.Real, e.delay, nil)
	return listener, err
}

// The timeout of a request that waits in the listen queue while the scheduler starts must run from
// its arrival: the disk server must not be given more time than the client has left.
func TestARequestThatCameDuringTheStart(t *testing.T) {
	runOnSockets(t, nil, respondWith(ok200), func(h *harness, hooks *hookedEnv) {
		slowEnv := &slowListenEnv{Real: hooks.Real, request: strings.Replace(h.getRequest(), "0.480", "9.000", 1), delay: 300 * time.Millisecond}
		configJSON := longTimeouts.Replace(testConfig("127.0.0.1:0", h.discovery.Addr, fullListJSON(7, entryJSON("s0", h.diskServer.Addr, "active", 0))))
		config, err := ParseConfig([]byte(configJSON), func(string) string { return "" })
		if err != nil {
			t.Fatal(err)
		}
		scheduler, err := Start(slowEnv, config, zap.NewNop())
		if err != nil {
			t.Fatal(err)
		}
		defer scheduler.Close()
		defer slowEnv.conn.Close()
		h.waitFor("the disk server has received the request", func() bool { return len(h.diskServer.Requests()) == 1 })
		timeout, err := time.ParseDuration(h.diskServer.Requests()[0].Fields.Get("request-timeout") + "s")
		if err != nil || timeout > 9*time.Second-slowEnv.delay {
			t.Errorf("got a forwarded timeout of %s, want at most 8.7 s", timeout)
		}
	})
}

// A pipelined request with less time than the one before it must be answered in its own time, so
// the one before it must be answered by then too.
func TestLessTimeBehindMore(t *testing.T) {
	neverRespond := func(standin.HTTPRequest) standin.HTTPResponse { return standin.HTTPResponse{} }
	runSimulated(t, neverRespond, func(h *harness) {
		client := h.connect()
		longRequest := h.formatRequest("PUT", "txn-write", "00000000000000c1", "9.000", "x", "Idempotency-Key: k\r\n")
		sentAt := h.environment.Now()
		io.WriteString(client.conn, longRequest)
		env.Sleep(h.environment, 20*time.Millisecond, nil)
		io.WriteString(client.conn, h.getRequest()+h.getRequest()) // timeouts of 0.48 s
		for i := range 3 {
			got := client.readResponse(sentAt)
			if got.status != 503 && got.status != 504 || got.elapsed > 520*time.Millisecond {
				t.Errorf("response %d: got %+v, want status 503 or 504 within 520 ms", i, got)
			}
		}
		if got := client.roundTrip(h.getRequest()); got.status == 0 {
			t.Error("got no response to a further request on the connection, want one")
		}
	})
}

// backloggedConn is a connection whose reads always fill the buffer, at waitUntil at the earliest.
type backloggedConn struct {
	net.Conn
	now       *float64
	waitUntil float64
	unread    bool // whether bytes are left after a read
}

func (c *backloggedConn) Read(b []byte) (int, error) {
	*c.now = max(*c.now, c.waitUntil)
	return len(b), nil
}

func (c *backloggedConn) HasUnread() bool { return c.unread }

// A request of a client that sends faster than its bytes are read must not count as come when it was read:
// the disk server would be told of more time than the client has left.
func TestBacklogInTheSocketCountsAsComeWithItsFirstByte(t *testing.T) {
	now := 100.0
	conn := &backloggedConn{now: &now}
	ahead := &readAhead{conn: conn, now: func() float64 { return now }, arrivedAt: 100, buffer: streamBuffer{budget: &byteBudget{}}}
	for _, tt := range []struct {
		startAt, waitUntil float64
		unreadAfter        bool
		want               float64
	}{
		{100, 100, true, 100}, {500, 500, true, 100}, {900, 900, false, 100}, // a backlog until 900 ms
		{1000, 2000, false, 2000}, // waited for
		{5000, 5000, false, 2000}, // it was there when the read began, and may have come since 2000 ms
		{5001, 9000, true, 9000}, {9900, 9900, true, 9000}, {9950, 9950, false, 9000},
		{9951, 9953, false, 9000}, {9954, 9960, false, 9960}, // once it has stayed empty for settleMS
	} {
		now, conn.waitUntil, conn.unread = tt.startAt, tt.waitUntil, tt.unreadAfter
		ahead.Read(make([]byte, 100))
		if got := ahead.arrivalTime(ahead.bytesRead); got != tt.want {
			t.Errorf("read at %g ms: counts as come at %g ms, want %g", tt.startAt, got, tt.want)
		}
	}
}

// timeoutConn is a connection whose read waits until waitUntil and then times out, while bytes have come.
type timeoutConn struct {
	backloggedConn
	timedOut bool
}

func (c *timeoutConn) Read(b []byte) (int, error) {
	c.backloggedConn.Read(b)
	if c.timedOut {
		return len(b), nil
	}
	c.timedOut = true
	return 0, os.ErrDeadlineExceeded
}

// A request that comes as a long wait for it ends must not count as come when the wait began: it would be
// refused as too late.
func TestARequestThatComesAsTheWaitEndsCountsFromThen(t *testing.T) {
	now := 100.0
	conn := &timeoutConn{backloggedConn: backloggedConn{now: &now, waitUntil: 5000, unread: true}}
	ahead := &readAhead{conn: conn, now: func() float64 { return now }, arrivedAt: 100, emptyAt: 100, bytesRead: 1, buffer: streamBuffer{budget: &byteBudget{}}}
	if _, err := ahead.Read(make([]byte, 100)); !env.IsTimeout(err) {
		t.Fatal("want a timeout, got", err)
	}
	ahead.Read(make([]byte, 100))
	if got := ahead.arrivalTime(ahead.bytesRead); got != 5000 {
		t.Errorf("counts as come at %g ms, want 5000", got)
	}
}
