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
func TestNothingBeginsForAClientThatLeft(t *testing.T) {
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
			playReal(t, nil, answering(ok200), func(sc *scene, h *held) {
				came, release := sc.heldDial(h)
				p := sc.connect()
				defer p.conn.Close()
				io.WriteString(p.conn, strings.Replace(sc.get(), "0.480", "30", 1))
				sc.until("the dial", came)
				leave(p.conn.(*net.TCPConn))
				sc.until("it is gone", sc.core(func(k *core) bool { return k.counters.Gone == 1 }))
				sc.until("its attempt is over", sc.core(func(k *core) bool { return k.counters.Outcomes[policy.NotSent] == 1 }))
				release()
				sc.until("all is over", settled(sc))
				if n := len(sc.disk.Asked()); n != 0 {
					t.Errorf("%d attempts for a client that had gone", n)
				}
			})
		})
	}
}

// A client that has gone before its request is read is not served at all: its connection
// waited to be accepted.
func TestAClientThatLeftBeforeItWasRead(t *testing.T) {
	playReal(t, nil, answering(ok200), func(sc *scene, h *held) {
		gate, at, closed := sc.gate(), sc.gate(), sc.gate()
		sc.hookAccept(h, func(c net.Conn) net.Conn {
			at.Open()
			gate.Wait(h)
			return &watched{c.(*net.TCPConn), &env.Gate{}, closed}
		})
		p := sc.connect()
		sc.until("the hook", at.Opened)
		io.WriteString(p.conn, sc.get())
		p.conn.Close()
		gate.Open()
		sc.until("it is closed here", closed.Opened)
		sc.until("all is over", settled(sc))
		if n := len(sc.disk.Asked()); n != 0 || sc.counters().Taken != 0 {
			t.Errorf("%d attempts, %+v", n, sc.counters())
		}
	})
}

// What waits for its connection is taken back when its disk server is told to leave, is
// gone, or has started anew: it is decided again.
func TestWaitingAttemptsAreTakenBackByTheList(t *testing.T) {
	for name, change := range map[string]func(string) string{
		"leaving": func(e string) string { return strings.Replace(e, "active", "leaving", 1) },
		"left":    func(e string) string { return strings.Replace(e, "active", "left", 1) },
		"restarted": func(e string) string {
			return strings.Replace(e, `"born_ms":0`, fmt.Sprintf(`"born_ms":%d`, time.Now().UnixMilli()), 1)
		},
	} {
		t.Run(name, func(t *testing.T) {
			playReal(t, nil, answering(ok200), func(sc *scene, h *held) {
				came, release := sc.heldDial(h)
				p := sc.connect()
				raw := strings.Replace(sc.get(), "0.480", "1.900", 1)
				io.WriteString(p.conn, raw)
				sc.until("the dial", came)
				sc.list.Say(fmt.Sprintf(`{"seq":8,"whole":false,"hosts":[%s]}`, change(entry("s0", sc.disk.Addr, "active", 0))))
				sc.until("it is taken back", sc.core(func(k *core) bool { return k.counters.Outcomes[policy.NotSent] > 0 }))
				if name != "restarted" {
					release()
					sc.until("the dial is over", sc.core(func(k *core) bool { return len(sc.s.pool.servers) == 0 || sc.s.pool.servers["s0"].expectedConns == 0 }))
					if got := p.hear(0); got.status != 503 || len(sc.disk.Asked()) != 0 {
						t.Errorf("%+v, %d attempts", got, len(sc.disk.Asked()))
					}
					return
				}
				release() // it may go to the new process, as the module decides now
				if got := p.hear(0); got.status != 200 {
					t.Errorf("%+v", got)
				}
			})
		})
	}
}

// An attempt that waits for a connection to an address that is another's by then goes to
// the one that its disk server has now.
func TestAnAddressThatChangesDuringADial(t *testing.T) {
	playReal(t, nil, answering(ok200), func(sc *scene, h *held) {
		other, err := standin.ServeHTTPDisk(h.Real, answering(ok200))
		if err != nil {
			t.Fatal(err)
		}
		defer other.Close()
		came, release := sc.heldDial(h)
		p := sc.connect()
		io.WriteString(p.conn, strings.Replace(sc.get(), "0.480", "1.900", 1))
		sc.until("the dial", came)
		sc.list.Say(fmt.Sprintf(`{"seq":8,"whole":false,"hosts":[%s]}`, entry("s0", other.Addr, "active", 0)))
		sc.until("the list", sc.core(func(k *core) bool { return k.servers["s0"].Address == other.Addr }))
		release()
		if got := p.hear(0); got.status != 200 || len(sc.disk.Asked()) != 0 || len(other.Asked()) != 1 {
			t.Errorf("%+v, %d at the old address, %d at the new", got, len(sc.disk.Asked()), len(other.Asked()))
		}
	})
}

// Settings that leave out the times of connections get usual ones.
func TestSettingsWithoutTimesOfConnections(t *testing.T) {
	bare := func(s string) string {
		return strings.Replace(s, `"dial_timeout_ms":250,"conn_idle_ms":30000`, `"x":0`, 1)
	}
	playReal(t, bare, answering(ok200), func(sc *scene, h *held) {
		p := sc.connect()
		for range 3 {
			if got := p.ask(sc.get()); got.status != 200 {
				t.Error(got)
			}
			sc.until("the connection is free", sc.core(func(*core) bool { return len(sc.s.pool.servers["s0"].idle) == 1 }))
		}
		if asked := sc.disk.Asked(); asked[len(asked)-1].Conn != 0 {
			t.Error("a connection was not used again")
		}
		sc.on(func() {
			if b := sc.s.pool; b.dialTimeout != defaultDialTimeout || b.maxIdle != defaultConnIdle*idleKeepFraction {
				t.Error(b.dialTimeout, b.idleConns)
			}
		})
	})
}

// A repeat that waits for its connection past the time in which repeats are dropped does
// not begin.
func TestRepeatsWaitNoLongerThanTheirWindow(t *testing.T) {
	short := func(s string) string {
		s = strings.Replace(s, `"key_ttl_ms":6000`, `"key_ttl_ms":150`, 1)
		return strings.Replace(s, `"dial_timeout_ms":250`, `"dial_timeout_ms":3000`, 1)
	}
	do := func(a standin.HTTPAsk) standin.HTTPAnswer { return standin.HTTPAnswer{Reset: true} }
	playReal(t, short, do, func(sc *scene, h *held) {
		second, gate := sc.gate(), sc.gate()
		h.holdDials(func(n int) error {
			if n > 0 { // the first goes
				second.Open()
				gate.Wait(h)
			}
			return nil
		})
		p := sc.connect()
		io.WriteString(p.conn, sc.request("PUT", "txn-write", "00000000000000aa", "1.900", "x", "Idempotency-Key: k1\r\n"))
		sc.until("the repeat's dial", second.Opened)
		until := 0.0
		sc.on(func() { until = sc.s.core.calls["00000000000000aa"].req.Expires - 1900 + 160 })
		sc.until("its window is over", func() bool { return sc.s.loop.now() > until })
		gate.Open()
		if got := p.hear(0); got.status != 504 {
			t.Errorf("%+v", got)
		}
		sc.until("all is over", settled(sc))
		if n := len(sc.disk.Asked()); n != 1 {
			t.Errorf("sent %d times", n)
		}
	})
}

// An attempt for a host that no list names is over at once: nothing left this machine.
func TestAnAttemptForAHostThatIsUnknown(t *testing.T) {
	playReal(t, nil, answering(ok200), func(sc *scene, h *held) {
		sc.on(func() { delete(sc.s.pool.servers, "s0") })
		got := sc.connect().ask(sc.get())
		if got.status != 503 || sc.counters().Outcomes[policy.NotSent] == 0 || sc.counters().Outcomes[policy.NoConnection] > 0 {
			t.Errorf("%+v, %+v", got, sc.counters())
		}
	})
}
