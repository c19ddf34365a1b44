package scheduler

import (
	"fmt"
	"io"
	"net"
	"strings"
	"syscall"
	"testing"
	"time"

	"go.uber.org/zap"

	"merlinhitch/internal/runtime/env"
	"merlinhitch/internal/simulation/standin"
)

// A client that leaves is seen behind much that it sent ahead: nothing of that is sent on.
func TestALeaverBehindManyRequests(t *testing.T) {
	var gate env.Gate
	respond := func(standin.HTTPAsk) standin.HTTPAnswer {
		<-gate.Chan()
		return standin.HTTPAnswer{Raw: []byte(ok200)}
	}
	runOnSockets(t, nil, respond, func(h *harness, _ *hookedEnv) {
		h.gates = append(h.gates, &gate)
		client := h.connect()
		var pipelined strings.Builder
		for pipelined.Len() < 5*reservedReadAhead {
			pipelined.WriteString(strings.Replace(h.getRequest(), "0.480", "19.0", 1))
		}
		io.WriteString(client.conn, pipelined.String())
		h.waitFor("the first went out", func() bool { return len(h.diskServer.Asked()) == 1 })
		client.conn.Close()
		h.waitFor("its leaving was seen", func() bool { return h.counters().Gone == 1 })
		gate.Open()
		h.waitFor("its connection is gone", func() bool { return h.scheduler.frontend.clientCount() == 0 })
		if counters := h.counters(); counters.Sends != 1 || h.scheduler.frontend.readAhead.used.Load() != 0 {
			t.Errorf("%+v, %d bytes are held", counters, h.scheduler.frontend.readAhead.used.Load())
		}
	})
}

// Where clients together sent too much ahead, each may still send sureAhead.
func TestReadAheadBudget(t *testing.T) {
	var budget readAheadBudget
	budget.limit.Store(40 << 10)
	now := func() float64 { return 0 }
	first, second := &readAhead{budget: &budget, now: now}, &readAhead{budget: &budget, now: now}
	fill := func(reader *readAhead, size int) {
		reader.fill(func(buf []byte) (int, error) { return min(size, len(buf)), nil })
	}
	for range 20 {
		fill(first, readAheadChunk)
	}
	if !first.full() || second.full() {
		t.Errorf("full: %v, %v", first.full(), second.full())
	}
	for range reservedReadAhead / readAheadChunk {
		fill(second, readAheadChunk)
	}
	if !second.full() {
		t.Error("the second one goes on")
	}
	if first.discard(); second.full() || budget.used.Load() != reservedReadAhead {
		t.Errorf("%d bytes are held after one left", budget.used.Load())
	}
}

// failingListenEnv is a world in which the first tries to listen fail.
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

// A start waits for an address that is still taken, and for a machine short of memory; any
// other fault ends it at once.
func TestListenIsTriedAgain(t *testing.T) {
	for errno, wantRetry := range map[error]bool{syscall.EADDRINUSE: true, syscall.ENOBUFS: true, syscall.EMFILE: true, syscall.EINVAL: false} {
		failing := &failingListenEnv{Real: env.NewReal(), listenErr: errno, failuresLeft: 3}
		startedAt := time.Now()
		listener, err := listen(failing, "127.0.0.1:0", zap.NewNop())
		if got := err == nil; got != wantRetry || wantRetry && time.Since(startedAt) < 3*listenRetryInterval {
			t.Error(fmt.Errorf("%w: %v", errno, err))
		}
		if err == nil {
			listener.Close()
		}
	}
}

// Requests that came together are answered one after the other, each as soon as the one before
// it is, also where nothing more comes.
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
				t.Fatalf("answer %d: %+v", i, got)
			}
		}
	})
}

// A client that sends requests ahead and reads slowly gets every answer whole, however much
// they are together.
func TestLargeAnswersToASlowReader(t *testing.T) {
	const requestTotal, bodyBytes = 12, 900 << 10
	response := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", bodyBytes, strings.Repeat("x", bodyBytes))
	runOnSockets(t, nil, respondWith(response), func(h *harness, _ *hookedEnv) {
		client := h.connect()
		for range requestTotal {
			io.WriteString(client.conn, strings.Replace(h.getRequest(), "0.480", "19.0", 1))
		}
		env.Sleep(h.environment, 300*time.Millisecond, nil) // it reads nothing meanwhile
		for i := range requestTotal {
			if got := client.readResponse(client.environment.Now()); got.status != 200 || len(got.body) != bodyBytes {
				t.Fatalf("answer %d: %d, %d bytes", i, got.status, len(got.body))
			}
		}
	})
}

// slowListenEnv is a world in which a request comes as soon as the scheduler listens, and the
// scheduler's start is held up behind that.
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

// A request that lay in the listener's queue while the scheduler started has its time from
// when it came: the disk server is told no more than the client has left.
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
		h.waitFor("it came to the disk server", func() bool { return len(h.diskServer.Asked()) == 1 })
		timeout, err := time.ParseDuration(h.diskServer.Asked()[0].Fields.Get("request-timeout") + "s")
		if err != nil || timeout > 9*time.Second-slowEnv.delay {
			t.Errorf("told %s", timeout)
		}
	})
}

// A request that has less time than the one before it on its connection is answered in its
// time: the one before it gets its answer by then.
func TestLessTimeBehindMore(t *testing.T) {
	neverRespond := func(standin.HTTPAsk) standin.HTTPAnswer { return standin.HTTPAnswer{} }
	runSimulated(t, neverRespond, func(h *harness) {
		client := h.connect()
		longRequest := h.formatRequest("PUT", "txn-write", "00000000000000c1", "9.000", "x", "Idempotency-Key: k\r\n")
		sentAt := h.environment.Now()
		io.WriteString(client.conn, longRequest)
		env.Sleep(h.environment, 20*time.Millisecond, nil)
		io.WriteString(client.conn, h.getRequest()+h.getRequest()) // of 0.48 s
		for i := range 3 {
			got := client.readResponse(sentAt)
			if got.status != 503 && got.status != 504 || got.elapsed > 520*time.Millisecond {
				t.Errorf("answer %d: %+v", i, got)
			}
		}
		if got := client.roundTrip(h.getRequest()); got.status == 0 {
			t.Error("the connection does not go on")
		}
	})
}
