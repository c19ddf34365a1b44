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
	slow := func(standin.HTTPAsk) standin.HTTPAnswer {
		<-gate.Chan()
		return standin.HTTPAnswer{Raw: []byte(ok200)}
	}
	runOnSockets(t, nil, slow, func(sc *harness, _ *hookedEnv) {
		sc.gates = append(sc.gates, &gate)
		p := sc.connect()
		var many strings.Builder
		for many.Len() < 5*reservedReadAhead {
			many.WriteString(strings.Replace(sc.getRequest(), "0.480", "19.0", 1))
		}
		io.WriteString(p.conn, many.String())
		sc.waitFor("the first went out", func() bool { return len(sc.diskServer.Asked()) == 1 })
		p.conn.Close()
		sc.waitFor("its leaving was seen", func() bool { return sc.counters().Gone == 1 })
		gate.Open()
		sc.waitFor("its connection is gone", func() bool { return sc.scheduler.frontend.clientCount() == 0 })
		if c := sc.counters(); c.Sends != 1 || sc.scheduler.frontend.readAhead.used.Load() != 0 {
			t.Errorf("%+v, %d bytes are held", c, sc.scheduler.frontend.readAhead.used.Load())
		}
	})
}

// Where clients together sent too much ahead, each may still send sureAhead.
func TestReadAheadBudget(t *testing.T) {
	var b readAheadBudget
	b.limit.Store(40 << 10)
	now := func() float64 { return 0 }
	one, two := &readAhead{budget: &b, now: now}, &readAhead{budget: &b, now: now}
	fill := func(a *readAhead, n int) {
		a.fill(func(p []byte) (int, error) { return min(n, len(p)), nil })
	}
	for range 20 {
		fill(one, readAheadChunk)
	}
	if !one.full() || two.full() {
		t.Errorf("full: %v, %v", one.full(), two.full())
	}
	for range reservedReadAhead / readAheadChunk {
		fill(two, readAheadChunk)
	}
	if !two.full() {
		t.Error("the second one goes on")
	}
	if one.discard(); two.full() || b.used.Load() != reservedReadAhead {
		t.Errorf("%d bytes are held after one left", b.used.Load())
	}
}

// failingListenEnv is a world in which the first tries to listen fail.
type failingListenEnv struct {
	*env.Real
	listenErr    error
	failuresLeft int
}

func (w *failingListenEnv) Listen(network, address string) (net.Listener, error) {
	if w.failuresLeft--; w.failuresLeft >= 0 {
		return nil, &net.OpError{Op: "listen", Err: w.listenErr}
	}
	return w.Real.Listen(network, address)
}

// A start waits for an address that is still taken, and for a machine short of memory; any
// other fault ends it at once.
func TestListenIsTriedAgain(t *testing.T) {
	for fault, waits := range map[error]bool{syscall.EADDRINUSE: true, syscall.ENOBUFS: true, syscall.EMFILE: true, syscall.EINVAL: false} {
		w := &failingListenEnv{Real: env.NewReal(), listenErr: fault, failuresLeft: 3}
		from := time.Now()
		l, err := listen(w, "127.0.0.1:0", zap.NewNop())
		if got := err == nil; got != waits || waits && time.Since(from) < 3*listenRetryInterval {
			t.Error(fmt.Errorf("%w: %v", fault, err))
		}
		if err == nil {
			l.Close()
		}
	}
}

// Requests that came together are answered one after the other, each as soon as the one before
// it is, also where nothing more comes.
func TestRequestsThatCameTogether(t *testing.T) {
	runSimulated(t, respondWith(ok200), func(sc *harness) {
		p, n := sc.connect(), 6
		var all strings.Builder
		for range n {
			all.WriteString(sc.getRequest())
		}
		from := sc.environment.Now()
		io.WriteString(p.conn, all.String())
		for i := range n {
			if got := p.readResponse(from); got.status != 200 || got.elapsed > time.Duration(i+1)*40*time.Millisecond {
				t.Fatalf("answer %d: %+v", i, got)
			}
		}
	})
}

// A client that sends requests ahead and reads slowly gets every answer whole, however much
// they are together.
func TestLargeAnswersToASlowReader(t *testing.T) {
	const requests, size = 12, 900 << 10
	large := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", size, strings.Repeat("x", size))
	runOnSockets(t, nil, respondWith(large), func(sc *harness, _ *hookedEnv) {
		p := sc.connect()
		for range requests {
			io.WriteString(p.conn, strings.Replace(sc.getRequest(), "0.480", "19.0", 1))
		}
		env.Sleep(sc.environment, 300*time.Millisecond, nil) // it reads nothing meanwhile
		for i := range requests {
			if got := p.readResponse(p.environment.Now()); got.status != 200 || len(got.body) != size {
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

func (w *slowListenEnv) Listen(network, address string) (net.Listener, error) {
	l, err := w.Real.Listen(network, address)
	if err != nil {
		return nil, err
	}
	if w.conn, err = net.Dial("tcp", l.Addr().String()); err == nil {
		_, err = io.WriteString(w.conn, w.request)
	}
	env.Sleep(w.Real, w.delay, nil)
	return l, err
}

// A request that lay in the listener's queue while the scheduler started has its time from
// when it came: the disk server is told no more than the client has left.
func TestARequestThatCameDuringTheStart(t *testing.T) {
	runOnSockets(t, nil, respondWith(ok200), func(sc *harness, h *hookedEnv) {
		w := &slowListenEnv{Real: h.Real, request: strings.Replace(sc.getRequest(), "0.480", "9.000", 1), delay: 300 * time.Millisecond}
		config := longTimeouts.Replace(testConfig("127.0.0.1:0", sc.discovery.Addr, fullListJSON(7, entryJSON("s0", sc.diskServer.Addr, "active", 0))))
		c, err := ParseConfig([]byte(config), func(string) string { return "" })
		if err != nil {
			t.Fatal(err)
		}
		s, err := Start(w, c, zap.NewNop())
		if err != nil {
			t.Fatal(err)
		}
		defer s.Close()
		defer w.conn.Close()
		sc.waitFor("it came to the disk server", func() bool { return len(sc.diskServer.Asked()) == 1 })
		told, err := time.ParseDuration(sc.diskServer.Asked()[0].Fields.Get("request-timeout") + "s")
		if err != nil || told > 9*time.Second-w.delay {
			t.Errorf("told %s", told)
		}
	})
}

// A request that has less time than the one before it on its connection is answered in its
// time: the one before it gets its answer by then.
func TestLessTimeBehindMore(t *testing.T) {
	silent := func(standin.HTTPAsk) standin.HTTPAnswer { return standin.HTTPAnswer{} }
	runSimulated(t, silent, func(sc *harness) {
		p := sc.connect()
		long := sc.formatRequest("PUT", "txn-write", "00000000000000c1", "9.000", "x", "Idempotency-Key: k\r\n")
		from := sc.environment.Now()
		io.WriteString(p.conn, long)
		env.Sleep(sc.environment, 20*time.Millisecond, nil)
		io.WriteString(p.conn, sc.getRequest()+sc.getRequest()) // of 0.48 s
		for i := range 3 {
			got := p.readResponse(from)
			if got.status != 503 && got.status != 504 || got.elapsed > 520*time.Millisecond {
				t.Errorf("answer %d: %+v", i, got)
			}
		}
		if got := p.roundTrip(sc.getRequest()); got.status == 0 {
			t.Error("the connection does not go on")
		}
	})
}
