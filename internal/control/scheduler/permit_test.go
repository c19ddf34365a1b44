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

// An attempt that the loop let begin is looked at once more when its first byte is to go:
// its process may have been held up in between.
func TestMayBegin(t *testing.T) {
	two := ServerList{Seq: 1, Full: true, Entries: []ServerEntry{{Host: "s0", Health: "active", StartedMS: 7}, {Host: "s1", Health: "active"}}}
	changed := func(e ServerEntry) ServerList { return ServerList{Seq: 2, Entries: []ServerEntry{e}} }
	for name, tt := range map[string]struct {
		do   func(b *connPool, a *attempt)
		now  float64
		want bool
	}{
		"nothing happened":  {func(*connPool, *attempt) {}, 100, true},
		"too late to begin": {func(*connPool, *attempt) {}, 151, false},
		"its time is over":  {func(_ *connPool, a *attempt) { a.beginBy, a.answerBy = 300, 120 }, 120, false},
		"its client left":   {func(_ *connPool, a *attempt) { a.call.noNewAttempts.Store(true) }, 100, false},
		"drains": {func(b *connPool, _ *attempt) {
			b.serverStates.apply(changed(ServerEntry{Host: "s0", Health: "leaving", StartedMS: 7}))
		}, 100, false},
		"gone": {func(b *connPool, _ *attempt) {
			b.serverStates.apply(changed(ServerEntry{Host: "s0", Health: "left", StartedMS: 7}))
		}, 100, false},
		"started anew": {func(b *connPool, _ *attempt) {
			b.serverStates.apply(changed(ServerEntry{Host: "s0", Health: "active", StartedMS: 9}))
		}, 100, false},
		"another one drains": {func(b *connPool, _ *attempt) {
			b.serverStates.apply(changed(ServerEntry{Host: "s1", Health: "leaving"}))
		}, 100, true},
		"not on a whole list": {func(b *connPool, _ *attempt) {
			b.serverStates.apply(ServerList{Seq: 3, Full: true, Entries: two.Entries[1:]})
		}, 100, false},
		"on a whole list anew": {func(b *connPool, _ *attempt) { b.serverStates.apply(two) }, 100, true},
	} {
		b := &connPool{}
		b.serverStates.apply(two)
		a := &attempt{call: &call{}, host: "s0", beginBy: 150, answerBy: 200}
		tt.do(b, a)
		if got := b.mayBegin(a, tt.now, 7); got != tt.want {
			t.Errorf("%s: %v", name, got)
		}
	}
}

// A dial that fails by this machine's own fault says nothing of the disk server: the attempt
// waits, at a pace, and goes once there is a connection.
func TestOwnFaultsOfDials(t *testing.T) {
	for _, fault := range []error{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.EADDRNOTAVAIL, syscall.ENETUNREACH} {
		runOnSockets(t, nil, respondWith(ok200), func(sc *harness, h *hookedEnv) {
			var dials atomic.Int32
			h.setDialHook(func(int) error {
				if dials.Add(1) <= 4 {
					return &net.OpError{Op: "dial", Err: fault}
				}
				return nil
			})
			from := time.Now()
			got := sc.connect().roundTrip(strings.Replace(sc.getRequest(), "0.480", "1.900", 1))
			c := sc.counters()
			if got.status != 200 || c.Sends != 1 || c.Outcomes[policy.NoConnection]+c.Outcomes[policy.NotSent] != 0 {
				t.Errorf("%v: %+v, %+v", fault, got, c)
			}
			if n, took := dials.Load(), time.Since(from); n != 5 || took < 4*dialPause {
				t.Errorf("%v: %d dials in %s", fault, n, took)
			}
		})
	}
}

// Faults of the other end count against the disk server at once.
func TestRemoteDialErrorsAreNotLocal(t *testing.T) {
	for _, fault := range []error{syscall.ECONNREFUSED, syscall.EHOSTUNREACH, syscall.ETIMEDOUT, syscall.ECONNRESET} {
		if localSocketError(&net.OpError{Op: "dial", Err: fault}) {
			t.Errorf("%v is taken for this machine's own", fault)
		}
	}
}

// Where every connection that there may be is busy, who waits for one gets the next that
// ends elsewhere, in the order in which they came; no disk server is blamed meanwhile.
func TestWaitingForRoom(t *testing.T) {
	const most = 3
	var work [8]env.Gate
	var disks []*standin.HTTPDisk
	runSimulated(t, respondWith(ok200), func(sc *harness) {
		var entries []string
		for i := range work {
			d, err := standin.ServeHTTPDisk(sc.environment, func(standin.HTTPAsk) standin.HTTPAnswer {
				work[i].Wait(sc.environment)
				return standin.HTTPAnswer{Raw: []byte(strings.Replace(ok200, "\r\n\r\n", "\r\nConnection: close\r\n\r\n", 1))}
			})
			if err != nil {
				panic(err)
			}
			disks = append(disks, d)
			entries = append(entries, entryJSON(fmt.Sprintf("d%d", i), d.Addr, "active", i))
		}
		c, err := ParseConfig([]byte(strings.Replace(testConfig(sc.schedulerAddr, sc.discovery.Addr, fullListJSON(7)), `"slots_total":2`, fmt.Sprintf(`"slots_total":%d`, len(work)), 1)), func(string) string { return "" })
		if err != nil {
			panic(err)
		}
		sc.scheduler.Reload(c)
		sc.scheduler.loop.post(sc.scheduler.loop.now(), eventReload, func(float64) { sc.scheduler.pool.maxConns = most })
		sc.discovery.Say(fmt.Sprintf(`{"seq":8,"whole":true,"hosts":[%s]}`, strings.Join(entries, ",")))
		env.Sleep(sc.environment, 20*time.Millisecond, nil)
		status := make([]int, len(work))
		var done env.WaitGroup
		for i := range work {
			raw := strings.Replace(sc.formatRequest("GET", "card-read", fmt.Sprintf("%016x", 0xa0+i), "1.900", ""), "shard=0", fmt.Sprintf("shard=%d", i), 1)
			done.Go(sc.environment, func() { status[i] = sc.connect().roundTrip(raw).status })
			env.Sleep(sc.environment, 5*time.Millisecond, nil)
		}
		for i := range work {
			work[i].Open()
			env.Sleep(sc.environment, 15*time.Millisecond, nil)
		}
		done.Wait(sc.environment)
		for i, s := range status {
			if s != 200 {
				t.Errorf("request %d: %d", i, s)
			}
		}
		if c := sc.scheduler.core.counters; c.Sends != uint64(len(work)) || c.Outcomes[policy.NoConnection]+c.Outcomes[policy.NotSent] != 0 {
			t.Errorf("%+v", c)
		}
		for _, d := range disks {
			d.Close()
		}
	})
}

// blockedWriteConn is a connection that is held up just before a request is written on it.
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

// blockWrites holds up each request to the disk server just before it is written: reached opens
// once one is there, and it goes on once gate is open.
func (sc *harness) blockWrites(h *hookedEnv) (reached, gate *env.Gate) {
	reached, gate = new(env.Gate), new(env.Gate)
	sc.gates = append(sc.gates, gate)
	h.mu.Lock()
	h.wrapServerConn = func(c net.Conn) net.Conn { return &blockedWriteConn{c.(*net.TCPConn), reached, gate} }
	h.mu.Unlock()
	h.setDialHook(func(int) error { return nil })
	return reached, gate
}

// What happens while the goroutine that writes is held up holds for its first byte: nothing
// is sent for a client that left, to a disk server that drains, or too late to begin.
func TestHeldUpBeforeTheFirstByte(t *testing.T) {
	for name, happen := range map[string]func(sc *harness, p *testClient){
		"client leaves": func(sc *harness, p *testClient) {
			p.conn.Close()
			sc.waitFor("its leaving was seen", func() bool { return sc.counters().Gone == 1 })
		},
		"server drains": func(sc *harness, _ *testClient) {
			sc.discovery.Say(fmt.Sprintf(`{"seq":8,"whole":false,"hosts":[%s]}`, entryJSON("s0", sc.diskServer.Addr, "leaving", 0)))
			sc.waitFor("the list was read", func() bool { return !sc.scheduler.pool.serverStates.allows("s0", 0) })
		},
		"time to begin is over": func(sc *harness, _ *testClient) { env.Sleep(sc.environment, 320*time.Millisecond, nil) },
	} {
		t.Run(name, func(t *testing.T) {
			runOnSockets(t, nil, respondWith(ok200), func(sc *harness, h *hookedEnv) {
				reached, gate := sc.blockWrites(h)
				p := sc.connect()
				fmt.Fprint(p.conn, sc.getRequest())
				sc.waitFor("the write was reached", reached.Opened)
				happen(sc, p)
				gate.Open()
				sc.waitFor("the attempt was taken back", func() bool { return sc.counters().Outcomes[policy.NotSent] > 0 })
				if n := len(sc.diskServer.Asked()); n > 0 && name != "time to begin is over" {
					t.Errorf("%d requests came to the disk server", n)
				}
			})
		})
	}
}

// longTimeouts makes settings under which an attempt has all of its request's time, also on a
// machine that is busy with much else.
var longTimeouts = strings.NewReplacer(`"dial_timeout_ms":250`, `"dial_timeout_ms":9000`, `"aim_ms":300`, `"aim_ms":9000`)

// A disk server is told no more time than its client has left, by not even half a millisecond.
func TestRequestTimeoutIsRoundedDown(t *testing.T) {
	for left, want := range map[float64]string{8849.9: "8.849", 8850: "8.850", 1.9: "0.001", 0.2: "0.001"} {
		a := &attempt{call: &call{forwardedRequest: forwardedRequest{method: "GET", target: "/"}}}
		if got := string(a.encodeRequest(left)); !strings.Contains(got, "Request-Timeout: "+want+"\r\n") {
			t.Errorf("%v ms: %q", left, got)
		}
	}
}

// The time that a disk server is told is reckoned when it is written.
func TestTheTimeToldIsThatOfTheWrite(t *testing.T) {
	runOnSockets(t, longTimeouts.Replace, respondWith(ok200), func(sc *harness, h *hookedEnv) {
		reached, gate := sc.blockWrites(h)
		fmt.Fprint(sc.connect().conn, strings.Replace(sc.getRequest(), "0.480", "9.000", 1))
		sc.waitFor("the write was reached", reached.Opened)
		from := sc.environment.Now()
		env.Sleep(sc.environment, 150*time.Millisecond, nil)
		heldUp := sc.environment.Now() - from
		gate.Open()
		sc.waitFor("it came to the disk server", func() bool { return len(sc.diskServer.Asked()) > 0 })
		told, err := time.ParseDuration(sc.diskServer.Asked()[0].Fields.Get("request-timeout") + "s")
		if most := 9*time.Second - heldUp; err != nil || told > most {
			t.Errorf("told %s, %s are left", told, most)
		}
	})
}

// A timer that comes due while one event is handled goes before the next event.
func TestTimersGoBetweenEvents(t *testing.T) {
	k, _ := coreFor(t)
	l := newLoop(env.NewReal())
	l.afterBatch = func() {}
	fired := false
	k.scheduler = timerRecorder{k.scheduler, &fired}
	due := l.now() + 2
	k.perform(policy.SetTimer{Delay: due - k.now, Name: "test"})
	var order []bool
	l.post(l.now(), eventStop, func(float64) {
		for l.now() < due {
			runtime.Gosched()
		}
	})
	var done env.Gate
	l.post(l.now(), eventStop, func(float64) {
		order = append(order, fired)
		done.Open()
	})
	go l.run(k)
	done.Wait(l.environment)
	l.stop()
	if len(order) != 1 || !order[0] {
		t.Error("the second event came before the timer:", order)
	}
}

// timerRecorder notes that the test's timer fired.
type timerRecorder struct {
	policy.Scheduler
	fired *bool
}

func (f timerRecorder) Handle(now float64, ev policy.Event) []policy.Action {
	if t, ok := ev.(policy.TimerFired); ok && t.Name == "test" {
		*f.fired = true
		return nil
	}
	return f.Scheduler.Handle(now, ev)
}

// A stop waits for the loop to give the last answers, also where it is held up past the time
// that the program had: what ends the connections comes behind them.
func TestTheLastAnswersComeBeforeTheEnd(t *testing.T) {
	silent := func(standin.HTTPAsk) standin.HTTPAnswer { return standin.HTTPAnswer{} }
	runSimulated(t, silent, func(sc *harness) {
		p := sc.connect()
		fmt.Fprint(p.conn, strings.Replace(sc.getRequest(), "0.480", "30", 1))
		env.Sleep(sc.environment, 10*time.Millisecond, nil)
		grace := gracePeriod(&Config{Settings: policy.Settings{Classes: []policy.Class{{Deadline: maxCountedDeadlineMS}}}})
		sc.environment.Go(sc.scheduler.Drain)
		env.Sleep(sc.environment, env.Duration(grace-answerLeadMS-5), nil)
		var gate env.Gate
		sc.scheduler.loop.post(sc.scheduler.loop.now(), eventReload, func(float64) { gate.Wait(sc.environment) })
		sc.environment.Go(func() {
			env.Sleep(sc.environment, env.Duration(answerLeadMS), nil)
			gate.Open()
		})
		if got := p.readResponse(sc.environment.Now()); got.status != 503 && got.status != 504 {
			t.Errorf("%+v", got)
		}
		sc.scheduler.Wait()
		sc.scheduler = sc.startScheduler(fullListJSON(7))
	})
}
