package scheduler

import (
	"fmt"
	"net"
	"runtime"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"merlinhitch/internal/runtime/env"
	"merlinhitch/internal/simulation/standin"
	"merlinhitch/policy"
)

// mayBegin, called just before the write, must refuse an attempt whose client, deadline or disk
// server's state has changed since the loop let it begin.
func TestMayBegin(t *testing.T) {
	list := ServerList{Seq: 1, Full: true, Entries: []ServerEntry{{Host: "s0", Health: "active", StartedMS: 7}, {Host: "s1", Health: "active"}}}
	partialList := func(e ServerEntry) ServerList { return ServerList{Seq: 2, Entries: []ServerEntry{e}} }
	for name, tt := range map[string]struct {
		change func(p *connPool, a *attempt)
		now    float64
		want   bool
	}{
		"unchanged":     {func(*connPool, *attempt) {}, 100, true},
		"after beginBy": {func(*connPool, *attempt) {}, 151, false},
		"at answerBy":   {func(_ *connPool, a *attempt) { a.beginBy, a.answerBy = 300, 120 }, 120, false},
		"client left":   {func(_ *connPool, a *attempt) { a.call.noNewAttempts.Store(true) }, 100, false},
		"server drains": {func(p *connPool, _ *attempt) {
			p.serverStates.apply(partialList(ServerEntry{Host: "s0", Health: "leaving", StartedMS: 7}))
		}, 100, false},
		"server removed": {func(p *connPool, _ *attempt) {
			p.serverStates.apply(partialList(ServerEntry{Host: "s0", Health: "left", StartedMS: 7}))
		}, 100, false},
		"server restarted": {func(p *connPool, _ *attempt) {
			p.serverStates.apply(partialList(ServerEntry{Host: "s0", Health: "active", StartedMS: 9}))
		}, 100, false},
		"another server drains": {func(p *connPool, _ *attempt) {
			p.serverStates.apply(partialList(ServerEntry{Host: "s1", Health: "leaving"}))
		}, 100, true},
		"missing from a full list": {func(p *connPool, _ *attempt) {
			p.serverStates.apply(ServerList{Seq: 3, Full: true, Entries: list.Entries[1:]})
		}, 100, false},
		"repeated by a full list": {func(p *connPool, _ *attempt) { p.serverStates.apply(list) }, 100, true},
	} {
		p := &connPool{}
		p.serverStates.apply(list)
		a := &attempt{call: &call{}, host: "s0", beginBy: 150, answerBy: 200}
		tt.change(p, a)
		if got := p.mayBegin(a, tt.now, 7); got != tt.want {
			t.Errorf("%s: got %v, want the opposite", name, got)
		}
	}
}

// A dial that fails with a local socket error must not fail the attempt: dials are retried with a
// pause in between until one succeeds.
func TestOwnFaultsOfDials(t *testing.T) {
	for _, fault := range []error{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.EADDRNOTAVAIL, syscall.ENETUNREACH} {
		runOnSockets(t, nil, respondWith(ok200), func(h *harness, hooks *hookedEnv) {
			var dialCount atomic.Int32
			hooks.setDialHook(func(int) error {
				if dialCount.Add(1) <= 4 {
					return &net.OpError{Op: "dial", Err: fault}
				}
				return nil
			})
			startedAt := time.Now()
			got := h.connect().roundTrip(strings.Replace(h.getRequest(), "0.480", "1.900", 1))
			c := h.counters()
			if got.status != 200 || c.Sends != 1 || c.Outcomes[policy.NoConnection]+c.Outcomes[policy.NotSent] != 0 {
				t.Errorf("%v: got %+v, want status 200; counters %+v, want one attempt and no failed one", fault, got, c)
			}
			if n, elapsed := dialCount.Load(), time.Since(startedAt); n != 5 || elapsed < 4*dialPause {
				t.Errorf("%v: got %d dials in %s, want 5 with a pause after each failure", fault, n, elapsed)
			}
		})
	}
}

// Errors caused by the remote end must count against the disk server.
func TestRemoteDialErrorsAreNotLocal(t *testing.T) {
	for _, fault := range []error{syscall.ECONNREFUSED, syscall.EHOSTUNREACH, syscall.ETIMEDOUT, syscall.ECONNRESET} {
		if localSocketError(&net.OpError{Op: "dial", Err: fault}) {
			t.Errorf("%v: got a local socket error, want a remote one", fault)
		}
	}
}

// At the connection limit, attempts wait until connections to other disk servers end, and none of
// them fails meanwhile.
func TestWaitingForRoom(t *testing.T) {
	const limit = 3
	var gates [8]env.Gate
	var diskServers []*standin.HTTPDiskServer
	runSimulated(t, respondWith(ok200), func(h *harness) {
		var entries []string
		for i := range gates {
			server, err := standin.ServeHTTPDiskServer(h.environment, func(standin.HTTPRequest) standin.HTTPResponse {
				gates[i].Wait(h.environment)
				return standin.HTTPResponse{Raw: []byte(strings.Replace(ok200, "\r\n\r\n", "\r\nConnection: close\r\n\r\n", 1))}
			})
			if err != nil {
				panic(err)
			}
			diskServers = append(diskServers, server)
			entries = append(entries, entryJSON(fmt.Sprintf("d%d", i), server.Addr, "active", i))
		}
		config, err := ParseConfig([]byte(strings.Replace(testConfig(h.schedulerAddr, h.discovery.Addr, fullListJSON(7)), `"slots_total":2`, fmt.Sprintf(`"slots_total":%d`, len(gates)), 1)), func(string) string { return "" })
		if err != nil {
			panic(err)
		}
		h.scheduler.Reload(config)
		h.scheduler.loop.post(h.scheduler.loop.now(), eventReload, func(float64) { h.scheduler.pool.maxConns = limit })
		h.discovery.Broadcast(fmt.Sprintf(`{"seq":8,"whole":true,"hosts":[%s]}`, strings.Join(entries, ",")))
		env.Sleep(h.environment, 20*time.Millisecond, nil)
		status := make([]int, len(gates))
		var done env.WaitGroup
		for i := range gates {
			rawRequest := strings.Replace(h.formatRequest("GET", "card-read", fmt.Sprintf("%016x", 0xa0+i), "1.900", ""), "shard=0", fmt.Sprintf("shard=%d", i), 1)
			done.Go(h.environment, func() { status[i] = h.connect().roundTrip(rawRequest).status })
			env.Sleep(h.environment, 5*time.Millisecond, nil)
		}
		for i := range gates {
			gates[i].Open()
			env.Sleep(h.environment, 15*time.Millisecond, nil)
		}
		done.Wait(h.environment)
		for i, code := range status {
			if code != 200 {
				t.Errorf("request %d: got status %d, want 200", i, code)
			}
		}
		if c := h.scheduler.core.counters; c.Sends != uint64(len(gates)) || c.Outcomes[policy.NoConnection]+c.Outcomes[policy.NotSent] != 0 {
			t.Errorf("got counters %+v, want one attempt for each request and no failed one", c)
		}
		for _, server := range diskServers {
			server.Close()
		}
	})
}

// blockedWriteConn blocks in SetDeadline, which is called just before a request is written, until
// gate opens.
type blockedWriteConn struct {
	*net.TCPConn
	reached, gate *env.Gate
}

func (c *blockedWriteConn) SetDeadline(t time.Time) error {
	if !t.IsZero() {
		c.reached.Open()
		<-c.gate.Chan()
	}
	return c.TCPConn.SetDeadline(t)
}

// blockWrites blocks each request to the disk server just before its write. reached opens when the
// first one is blocked; opening gate releases them all.
func (h *harness) blockWrites(hooks *hookedEnv) (reached, gate *env.Gate) {
	reached, gate = new(env.Gate), new(env.Gate)
	h.gates = append(h.gates, gate)
	hooks.mu.Lock()
	hooks.wrapServerConn = func(conn net.Conn) net.Conn { return &blockedWriteConn{conn.(*net.TCPConn), reached, gate} }
	hooks.mu.Unlock()
	hooks.setDialHook(func(int) error { return nil })
	return reached, gate
}

// If an exchange's goroutine is delayed before its write, nothing may be sent for a client that left
// meanwhile, to a disk server that drains by then, or after the attempt's deadline to begin.
func TestHeldUpBeforeTheFirstByte(t *testing.T) {
	for name, change := range map[string]func(h *harness, p *testClient){
		"client leaves": func(h *harness, client *testClient) {
			client.conn.Close()
			h.waitFor("the core counts the disconnect", func() bool { return h.counters().Gone == 1 })
		},
		"server drains": func(h *harness, _ *testClient) {
			h.discovery.Broadcast(fmt.Sprintf(`{"seq":8,"whole":false,"hosts":[%s]}`, entryJSON("s0", h.diskServer.Addr, "leaving", 0)))
			h.waitFor("the server state is draining", func() bool { return !h.scheduler.pool.serverStates.allows("s0", 0) })
		},
		"beginBy passes": func(h *harness, _ *testClient) { env.Sleep(h.environment, 320*time.Millisecond, nil) },
	} {
		t.Run(name, func(t *testing.T) {
			runOnSockets(t, nil, respondWith(ok200), func(h *harness, hooks *hookedEnv) {
				reached, gate := h.blockWrites(hooks)
				client := h.connect()
				fmt.Fprint(client.conn, h.getRequest())
				h.waitFor("a write is blocked", reached.Opened)
				change(h, client)
				gate.Open()
				h.waitFor("the attempt ends as not sent", func() bool { return h.counters().Outcomes[policy.NotSent] > 0 })
				if n := len(h.diskServer.Requests()); n > 0 && name != "beginBy passes" {
					t.Errorf("disk server got %d requests, want 0", n)
				}
			})
		})
	}
}

// longTimeouts raises the dial timeout and the latency target so far that attempts do not time out
// on a busy machine.
var longTimeouts = strings.NewReplacer(`"dial_timeout_ms":250`, `"dial_timeout_ms":9000`, `"aim_ms":300`, `"aim_ms":9000`)

// Request-Timeout is rounded down, so that a disk server never assumes more time than the client has.
func TestRequestTimeoutIsRoundedDown(t *testing.T) {
	for left, want := range map[float64]string{8849.9: "8.849", 8850: "8.850", 1.9: "0.001", 0.2: "0.001"} {
		a := &attempt{call: &call{forwardedRequest: forwardedRequest{method: "GET", target: "/"}}}
		if got := string(a.encodeRequest(left)); !strings.Contains(got, "Request-Timeout: "+want+"\r\n") {
			t.Errorf("%v ms left: got request %q, want Request-Timeout in whole ms rounded down, at least 1 ms", left, got)
		}
	}
}

// Request-Timeout must be computed at the write, not before a delay of the goroutine that writes.
func TestTheTimeToldIsThatOfTheWrite(t *testing.T) {
	runOnSockets(t, longTimeouts.Replace, respondWith(ok200), func(h *harness, hooks *hookedEnv) {
		reached, gate := h.blockWrites(hooks)
		fmt.Fprint(h.connect().conn, strings.Replace(h.getRequest(), "0.480", "9.000", 1))
		h.waitFor("a write is blocked", reached.Opened)
		startedAt := h.environment.Now()
		env.Sleep(h.environment, 150*time.Millisecond, nil)
		delay := h.environment.Now() - startedAt
		gate.Open()
		h.waitFor("the disk server has received the request", func() bool { return len(h.diskServer.Requests()) > 0 })
		timeout, err := time.ParseDuration(h.diskServer.Requests()[0].Fields.Get("request-timeout") + "s")
		if limit := 9*time.Second - delay; err != nil || timeout > limit {
			t.Errorf("got Request-Timeout %s, want at most %s", timeout, limit)
		}
	})
}

// A timer that comes due while an event is handled must fire before the next event.
func TestTimersGoBetweenEvents(t *testing.T) {
	k, _ := newTestCore(t)
	l := newLoop(env.NewReal())
	l.afterBatch = func() {}
	fired := false
	k.scheduler = timerRecorder{k.scheduler, &fired}
	due := l.now() + 2
	k.perform(policy.SetTimer{Delay: due - k.now, Name: "test"})
	var firedBefore []bool
	l.post(l.now(), eventStop, func(float64) {
		for l.now() < due {
			runtime.Gosched()
		}
	})
	var done env.Gate
	l.post(l.now(), eventStop, func(float64) {
		firedBefore = append(firedBefore, fired)
		done.Open()
	})
	go l.run(k)
	done.Wait(l.environment)
	l.stop()
	if len(firedBefore) != 1 || !firedBefore[0] {
		t.Error("timer fired before the second event: want [true], got", firedBefore)
	}
}

// timerRecorder records that the timer named "test" fired, and hides it from the policy.
type timerRecorder struct {
	policy.Scheduler
	fired *bool
}

func (r timerRecorder) Handle(now float64, ev policy.Event) []policy.Action {
	if t, ok := ev.(policy.TimerFired); ok && t.Name == "test" {
		*r.fired = true
		return nil
	}
	return r.Scheduler.Handle(now, ev)
}

// Drain must wait for the loop to answer the open requests before it closes the connections, even
// if the loop is delayed past exitLeadMS before the kill.
func TestTheLastAnswersComeBeforeTheEnd(t *testing.T) {
	neverRespond := func(standin.HTTPRequest) standin.HTTPResponse { return standin.HTTPResponse{} }
	runSimulated(t, neverRespond, func(h *harness) {
		client := h.connect()
		fmt.Fprint(client.conn, strings.Replace(h.getRequest(), "0.480", "30", 1))
		env.Sleep(h.environment, 10*time.Millisecond, nil)
		grace := gracePeriod(&Config{Settings: policy.Settings{Classes: []policy.Class{{Deadline: maxCountedDeadlineMS}}}})
		h.environment.Go(h.scheduler.Drain)
		env.Sleep(h.environment, env.Duration(grace-answerLeadMS-5), nil)
		var gate env.Gate
		h.scheduler.loop.post(h.scheduler.loop.now(), eventReload, func(float64) { gate.Wait(h.environment) })
		h.environment.Go(func() {
			env.Sleep(h.environment, env.Duration(answerLeadMS), nil)
			gate.Open()
		})
		if got := client.readResponse(h.environment.Now()); got.status != 503 && got.status != 504 {
			t.Errorf("got %+v, want status 503 or 504", got)
		}
		h.scheduler.Wait()
		h.scheduler = h.startScheduler(fullListJSON(7))
	})
}
