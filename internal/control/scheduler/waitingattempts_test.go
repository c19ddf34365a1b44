package scheduler

import (
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"merlinhitch/internal/runtime/env"
	"merlinhitch/internal/simulation/standin"
	"merlinhitch/policy"
)

// A client that leaves while its attempt waits for a connection takes it along, however it
// leaves and whatever it sent ahead.
func TestNoAttemptAfterClientDisconnects(t *testing.T) {
	for name, leave := range map[string]func(c *net.TCPConn){
		"close":            func(c *net.TCPConn) { c.Close() },
		"reset":            func(c *net.TCPConn) { c.SetLinger(0); c.Close() },
		"half a close":     func(c *net.TCPConn) { c.CloseWrite() },
		"behind a request": func(c *net.TCPConn) { io.WriteString(c, "GET /up HTTP/1.1\r\n\r\n"); c.Close() },
		"behind half of one": func(c *net.TCPConn) {
			io.WriteString(c, "GET /up HT")
			c.Close()
		},
	} {
		t.Run(name, func(t *testing.T) {
			runOnSockets(t, nil, respondWith(ok200), func(sc *harness, h *hookedEnv) {
				came, release := sc.blockDials(h)
				p := sc.connect()
				defer p.conn.Close()
				io.WriteString(p.conn, strings.Replace(sc.getRequest(), "0.480", "30", 1))
				sc.waitFor("the dial", came)
				leave(p.conn.(*net.TCPConn))
				sc.waitFor("it is gone", sc.coreCondition(func(k *core) bool { return k.counters.Gone == 1 }))
				sc.waitFor("its attempt is over", sc.coreCondition(func(k *core) bool { return k.counters.Outcomes[policy.NotSent] == 1 }))
				release()
				sc.waitFor("all is over", allEndedAndDialled(sc))
				if n := len(sc.diskServer.Asked()); n != 0 {
					t.Errorf("%d attempts for a client that had gone", n)
				}
			})
		})
	}
}

// A client that has gone before its request is read is not served at all: its connection
// waited to be accepted.
func TestClientDisconnectsBeforeAccept(t *testing.T) {
	runOnSockets(t, nil, respondWith(ok200), func(sc *harness, h *hookedEnv) {
		gate, at, closed := sc.newGate(), sc.newGate(), sc.newGate()
		sc.setAcceptHook(h, func(c net.Conn) net.Conn {
			at.Open()
			gate.Wait(h)
			return &closeNotifyConn{c.(*net.TCPConn), &env.Gate{}, closed}
		})
		p := sc.connect()
		sc.waitFor("the hook", at.Opened)
		io.WriteString(p.conn, sc.getRequest())
		p.conn.Close()
		gate.Open()
		sc.waitFor("it is closed here", closed.Opened)
		sc.waitFor("all is over", allEndedAndDialled(sc))
		if n := len(sc.diskServer.Asked()); n != 0 || sc.counters().Taken != 0 {
			t.Errorf("%d attempts, %+v", n, sc.counters())
		}
	})
}

// What waits for its connection is taken back when its disk server is told to leave, is
// gone, or has started anew: it is decided again.
func TestListChangeCancelsWaitingAttempts(t *testing.T) {
	for name, change := range map[string]func(string) string{
		"leaving": func(e string) string { return strings.Replace(e, "active", "leaving", 1) },
		"left":    func(e string) string { return strings.Replace(e, "active", "left", 1) },
		"restarted": func(e string) string {
			return strings.Replace(e, `"born_ms":0`, fmt.Sprintf(`"born_ms":%d`, time.Now().UnixMilli()), 1)
		},
	} {
		t.Run(name, func(t *testing.T) {
			runOnSockets(t, nil, respondWith(ok200), func(sc *harness, h *hookedEnv) {
				came, release := sc.blockDials(h)
				p := sc.connect()
				raw := strings.Replace(sc.getRequest(), "0.480", "1.900", 1)
				io.WriteString(p.conn, raw)
				sc.waitFor("the dial", came)
				sc.discovery.Say(fmt.Sprintf(`{"seq":8,"whole":false,"hosts":[%s]}`, change(entryJSON("s0", sc.diskServer.Addr, "active", 0))))
				sc.waitFor("it is taken back", sc.coreCondition(func(k *core) bool { return k.counters.Outcomes[policy.NotSent] > 0 }))
				if name != "restarted" {
					release()
					sc.waitFor("the dial is over", sc.coreCondition(func(k *core) bool {
						return len(sc.scheduler.pool.servers) == 0 || sc.scheduler.pool.servers["s0"].expectedConns == 0
					}))
					if got := p.readResponse(0); got.status != 503 || len(sc.diskServer.Asked()) != 0 {
						t.Errorf("%+v, %d attempts", got, len(sc.diskServer.Asked()))
					}
					return
				}
				release() // it may go to the new process, as the module decides now
				if got := p.readResponse(0); got.status != 200 {
					t.Errorf("%+v", got)
				}
			})
		})
	}
}

// An attempt that waits for a connection to an address that is another's by then goes to
// the one that its disk server has now.
func TestAddressChangesDuringDial(t *testing.T) {
	runOnSockets(t, nil, respondWith(ok200), func(sc *harness, h *hookedEnv) {
		other, err := standin.ServeHTTPDisk(h.Real, respondWith(ok200))
		if err != nil {
			t.Fatal(err)
		}
		defer other.Close()
		came, release := sc.blockDials(h)
		p := sc.connect()
		io.WriteString(p.conn, strings.Replace(sc.getRequest(), "0.480", "1.900", 1))
		sc.waitFor("the dial", came)
		sc.discovery.Say(fmt.Sprintf(`{"seq":8,"whole":false,"hosts":[%s]}`, entryJSON("s0", other.Addr, "active", 0)))
		sc.waitFor("the list", sc.coreCondition(func(k *core) bool { return k.servers["s0"].Address == other.Addr }))
		release()
		if got := p.readResponse(0); got.status != 200 || len(sc.diskServer.Asked()) != 0 || len(other.Asked()) != 1 {
			t.Errorf("%+v, %d at the old address, %d at the new", got, len(sc.diskServer.Asked()), len(other.Asked()))
		}
	})
}

// Settings that leave out the times of connections get usual ones.
func TestDefaultConnectionTimeouts(t *testing.T) {
	bare := func(s string) string {
		return strings.Replace(s, `"dial_timeout_ms":250,"conn_idle_ms":30000`, `"x":0`, 1)
	}
	runOnSockets(t, bare, respondWith(ok200), func(sc *harness, h *hookedEnv) {
		p := sc.connect()
		for range 3 {
			if got := p.roundTrip(sc.getRequest()); got.status != 200 {
				t.Error(got)
			}
			sc.waitFor("the connection is free", sc.coreCondition(func(*core) bool { return len(sc.scheduler.pool.servers["s0"].idle) == 1 }))
		}
		if asked := sc.diskServer.Asked(); asked[len(asked)-1].Conn != 0 {
			t.Error("a connection was not used again")
		}
		sc.onLoop(func() {
			if b := sc.scheduler.pool; b.dialTimeout != defaultDialTimeout || b.maxIdle != defaultConnIdle*idleKeepFraction {
				t.Error(b.dialTimeout, b.idleConns)
			}
		})
	})
}

// A repeat that waits for its connection past the time in which repeats are dropped does
// not begin.
func TestRetryIsNotSentAfterItsKeyExpired(t *testing.T) {
	short := func(s string) string {
		s = strings.Replace(s, `"key_ttl_ms":6000`, `"key_ttl_ms":150`, 1)
		return strings.Replace(s, `"dial_timeout_ms":250`, `"dial_timeout_ms":3000`, 1)
	}
	do := func(a standin.HTTPAsk) standin.HTTPAnswer { return standin.HTTPAnswer{Reset: true} }
	runOnSockets(t, short, do, func(sc *harness, h *hookedEnv) {
		second, gate := sc.newGate(), sc.newGate()
		h.setDialHook(func(n int) error {
			if n > 0 { // the first goes
				second.Open()
				gate.Wait(h)
			}
			return nil
		})
		p := sc.connect()
		io.WriteString(p.conn, sc.formatRequest("PUT", "txn-write", "00000000000000aa", "1.900", "x", "Idempotency-Key: k1\r\n"))
		sc.waitFor("the repeat's dial", second.Opened)
		until := 0.0
		sc.onLoop(func() { until = sc.scheduler.core.calls["00000000000000aa"].req.Expires - 1900 + 160 })
		sc.waitFor("its window is over", func() bool { return sc.scheduler.loop.now() > until })
		gate.Open()
		if got := p.readResponse(0); got.status != 504 {
			t.Errorf("%+v", got)
		}
		sc.waitFor("all is over", allEndedAndDialled(sc))
		if n := len(sc.diskServer.Asked()); n != 1 {
			t.Errorf("sent %d times", n)
		}
	})
}

// An attempt for a host that no list names is over at once: nothing left this machine.
func TestAttemptForUnknownHost(t *testing.T) {
	runOnSockets(t, nil, respondWith(ok200), func(sc *harness, h *hookedEnv) {
		sc.onLoop(func() { delete(sc.scheduler.pool.servers, "s0") })
		got := sc.connect().roundTrip(sc.getRequest())
		if got.status != 503 || sc.counters().Outcomes[policy.NotSent] == 0 || sc.counters().Outcomes[policy.NoConnection] > 0 {
			t.Errorf("%+v, %+v", got, sc.counters())
		}
	})
}
