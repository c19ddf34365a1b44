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
	for name, disconnect := range map[string]func(c *net.TCPConn){
		"close":            func(conn *net.TCPConn) { conn.Close() },
		"reset":            func(conn *net.TCPConn) { conn.SetLinger(0); conn.Close() },
		"half a close":     func(conn *net.TCPConn) { conn.CloseWrite() },
		"behind a request": func(conn *net.TCPConn) { io.WriteString(conn, "GET /up HTTP/1.1\r\n\r\n"); conn.Close() },
		"behind half of one": func(conn *net.TCPConn) {
			io.WriteString(conn, "GET /up HT")
			conn.Close()
		},
	} {
		t.Run(name, func(t *testing.T) {
			runOnSockets(t, nil, respondWith(ok200), func(h *harness, hooks *hookedEnv) {
				dialled, release := h.blockDials(hooks)
				client := h.connect()
				defer client.conn.Close()
				io.WriteString(client.conn, strings.Replace(h.getRequest(), "0.480", "30", 1))
				h.waitFor("the dial", dialled)
				disconnect(client.conn.(*net.TCPConn))
				h.waitFor("it is gone", h.coreCondition(func(k *core) bool { return k.counters.Gone == 1 }))
				h.waitFor("its attempt is over", h.coreCondition(func(k *core) bool { return k.counters.Outcomes[policy.NotSent] == 1 }))
				release()
				h.waitFor("all is over", quiescent(h))
				if n := len(h.diskServer.Asked()); n != 0 {
					t.Errorf("%d attempts for a client that had gone", n)
				}
			})
		})
	}
}

// A client that has gone before its request is read is not served at all: its connection
// waited to be accepted.
func TestClientDisconnectsBeforeAccept(t *testing.T) {
	runOnSockets(t, nil, respondWith(ok200), func(h *harness, hooks *hookedEnv) {
		gate, reached, closed := h.newGate(), h.newGate(), h.newGate()
		h.setAcceptHook(hooks, func(conn net.Conn) net.Conn {
			reached.Open()
			gate.Wait(hooks)
			return &closeNotifyConn{conn.(*net.TCPConn), &env.Gate{}, closed}
		})
		client := h.connect()
		h.waitFor("the hook", reached.Opened)
		io.WriteString(client.conn, h.getRequest())
		client.conn.Close()
		gate.Open()
		h.waitFor("it is closed here", closed.Opened)
		h.waitFor("all is over", quiescent(h))
		if n := len(h.diskServer.Asked()); n != 0 || h.counters().Taken != 0 {
			t.Errorf("%d attempts, %+v", n, h.counters())
		}
	})
}

// What waits for its connection is taken back when its disk server is told to leave, is
// gone, or has started anew: it is decided again.
func TestListChangeCancelsWaitingAttempts(t *testing.T) {
	for name, editEntry := range map[string]func(string) string{
		"leaving": func(entry string) string { return strings.Replace(entry, "active", "leaving", 1) },
		"left":    func(entry string) string { return strings.Replace(entry, "active", "left", 1) },
		"restarted": func(entry string) string {
			return strings.Replace(entry, `"born_ms":0`, fmt.Sprintf(`"born_ms":%d`, time.Now().UnixMilli()), 1)
		},
	} {
		t.Run(name, func(t *testing.T) {
			runOnSockets(t, nil, respondWith(ok200), func(h *harness, hooks *hookedEnv) {
				dialled, release := h.blockDials(hooks)
				client := h.connect()
				rawRequest := strings.Replace(h.getRequest(), "0.480", "1.900", 1)
				io.WriteString(client.conn, rawRequest)
				h.waitFor("the dial", dialled)
				h.discovery.Say(fmt.Sprintf(`{"seq":8,"whole":false,"hosts":[%s]}`, editEntry(entryJSON("s0", h.diskServer.Addr, "active", 0))))
				h.waitFor("it is taken back", h.coreCondition(func(k *core) bool { return k.counters.Outcomes[policy.NotSent] > 0 }))
				if name != "restarted" {
					release()
					h.waitFor("the dial is over", h.coreCondition(func(k *core) bool {
						return len(h.scheduler.pool.servers) == 0 || h.scheduler.pool.servers["s0"].expectedConns == 0
					}))
					if got := client.readResponse(0); got.status != 503 || len(h.diskServer.Asked()) != 0 {
						t.Errorf("%+v, %d attempts", got, len(h.diskServer.Asked()))
					}
					return
				}
				release() // it may go to the new process, as the module decides now
				if got := client.readResponse(0); got.status != 200 {
					t.Errorf("%+v", got)
				}
			})
		})
	}
}

// An attempt that waits for a connection to an address that is another's by then goes to
// the one that its disk server has now.
func TestAddressChangesDuringDial(t *testing.T) {
	runOnSockets(t, nil, respondWith(ok200), func(h *harness, hooks *hookedEnv) {
		newServer, err := standin.ServeHTTPDisk(hooks.Real, respondWith(ok200))
		if err != nil {
			t.Fatal(err)
		}
		defer newServer.Close()
		dialled, release := h.blockDials(hooks)
		client := h.connect()
		io.WriteString(client.conn, strings.Replace(h.getRequest(), "0.480", "1.900", 1))
		h.waitFor("the dial", dialled)
		h.discovery.Say(fmt.Sprintf(`{"seq":8,"whole":false,"hosts":[%s]}`, entryJSON("s0", newServer.Addr, "active", 0)))
		h.waitFor("the list", h.coreCondition(func(k *core) bool { return k.servers["s0"].Address == newServer.Addr }))
		release()
		if got := client.readResponse(0); got.status != 200 || len(h.diskServer.Asked()) != 0 || len(newServer.Asked()) != 1 {
			t.Errorf("%+v, %d at the old address, %d at the new", got, len(h.diskServer.Asked()), len(newServer.Asked()))
		}
	})
}

// Settings that leave out the times of connections get usual ones.
func TestDefaultConnectionTimeouts(t *testing.T) {
	removeTimeouts := func(config string) string {
		return strings.Replace(config, `"dial_timeout_ms":250,"conn_idle_ms":30000`, `"x":0`, 1)
	}
	runOnSockets(t, removeTimeouts, respondWith(ok200), func(h *harness, hooks *hookedEnv) {
		client := h.connect()
		for range 3 {
			if got := client.roundTrip(h.getRequest()); got.status != 200 {
				t.Error(got)
			}
			h.waitFor("the connection is free", h.coreCondition(func(*core) bool { return len(h.scheduler.pool.servers["s0"].idle) == 1 }))
		}
		if requests := h.diskServer.Asked(); requests[len(requests)-1].Conn != 0 {
			t.Error("a connection was not used again")
		}
		h.onLoop(func() {
			if p := h.scheduler.pool; p.dialTimeout != defaultDialTimeout || p.maxIdle != defaultConnIdle*idleKeepFraction {
				t.Error(p.dialTimeout, p.idleConns)
			}
		})
	})
}

// A repeat that waits for its connection past the time in which repeats are dropped does
// not begin.
func TestRetryIsNotSentAfterItsKeyExpired(t *testing.T) {
	shortenKeyTTL := func(config string) string {
		config = strings.Replace(config, `"key_ttl_ms":6000`, `"key_ttl_ms":150`, 1)
		return strings.Replace(config, `"dial_timeout_ms":250`, `"dial_timeout_ms":3000`, 1)
	}
	respond := func(request standin.HTTPAsk) standin.HTTPAnswer { return standin.HTTPAnswer{Reset: true} }
	runOnSockets(t, shortenKeyTTL, respond, func(h *harness, hooks *hookedEnv) {
		secondDial, gate := h.newGate(), h.newGate()
		hooks.setDialHook(func(n int) error {
			if n > 0 { // the first goes
				secondDial.Open()
				gate.Wait(hooks)
			}
			return nil
		})
		client := h.connect()
		io.WriteString(client.conn, h.formatRequest("PUT", "txn-write", "00000000000000aa", "1.900", "x", "Idempotency-Key: k1\r\n"))
		h.waitFor("the repeat's dial", secondDial.Opened)
		windowEnd := 0.0
		h.onLoop(func() { windowEnd = h.scheduler.core.calls["00000000000000aa"].req.Expires - 1900 + 160 })
		h.waitFor("its window is over", func() bool { return h.scheduler.loop.now() > windowEnd })
		gate.Open()
		if got := client.readResponse(0); got.status != 504 {
			t.Errorf("%+v", got)
		}
		h.waitFor("all is over", quiescent(h))
		if n := len(h.diskServer.Asked()); n != 1 {
			t.Errorf("sent %d times", n)
		}
	})
}

// An attempt for a host that no list names is over at once: nothing left this machine.
func TestAttemptForUnknownHost(t *testing.T) {
	runOnSockets(t, nil, respondWith(ok200), func(h *harness, hooks *hookedEnv) {
		h.onLoop(func() { delete(h.scheduler.pool.servers, "s0") })
		got := h.connect().roundTrip(h.getRequest())
		if got.status != 503 || h.counters().Outcomes[policy.NotSent] == 0 || h.counters().Outcomes[policy.NoConnection] > 0 {
			t.Errorf("%+v, %+v", got, h.counters())
		}
	})
}
