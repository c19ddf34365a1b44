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

// If the client disconnects while its attempt waits for a connection, nothing is sent to the disk
// server, however the client disconnects and whatever it pipelined before.
func TestNoAttemptAfterClientDisconnects(t *testing.T) {
	for name, disconnect := range map[string]func(c *net.TCPConn){
		"close":                           func(conn *net.TCPConn) { conn.Close() },
		"reset":                           func(conn *net.TCPConn) { conn.SetLinger(0); conn.Close() },
		"half-close":                      func(conn *net.TCPConn) { conn.CloseWrite() },
		"close after a pipelined request": func(conn *net.TCPConn) { io.WriteString(conn, "GET /up HTTP/1.1\r\n\r\n"); conn.Close() },
		"close after part of a pipelined request": func(conn *net.TCPConn) {
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
				h.waitFor("a dial is blocked", dialled)
				disconnect(client.conn.(*net.TCPConn))
				h.waitFor("the core counts the disconnect", h.coreCondition(func(k *core) bool { return k.counters.Gone == 1 }))
				h.waitFor("the attempt ends as not sent", h.coreCondition(func(k *core) bool { return k.counters.Outcomes[policy.NotSent] == 1 }))
				release()
				h.waitFor("no call, attempt or dial is outstanding", quiescent(h))
				if n := len(h.diskServer.Requests()); n != 0 {
					t.Errorf("disk server got %d requests of a disconnected client, want 0", n)
				}
			})
		})
	}
}

// A request whose client disconnected before the connection was accepted is not served.
func TestClientDisconnectsBeforeAccept(t *testing.T) {
	runOnSockets(t, nil, respondWith(ok200), func(h *harness, hooks *hookedEnv) {
		gate, reached, closed := h.newGate(), h.newGate(), h.newGate()
		h.setAcceptHook(hooks, func(conn net.Conn) net.Conn {
			reached.Open()
			gate.Wait(hooks)
			return &closeNotifyConn{conn.(*net.TCPConn), &env.Gate{}, closed}
		})
		client := h.connect()
		h.waitFor("the accept is blocked", reached.Opened)
		io.WriteString(client.conn, h.getRequest())
		client.conn.Close()
		gate.Open()
		h.waitFor("the scheduler has closed the connection", closed.Opened)
		h.waitFor("no call, attempt or dial is outstanding", quiescent(h))
		if n := len(h.diskServer.Requests()); n != 0 || h.counters().Taken != 0 {
			t.Errorf("disk server got %d requests, want 0; counters %+v, want Taken 0", n, h.counters())
		}
	})
}

// An attempt that waits for a connection is cancelled when its disk server drains, is removed or
// restarts, and the policy decides again.
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
				h.waitFor("a dial is blocked", dialled)
				h.discovery.Broadcast(fmt.Sprintf(`{"seq":8,"whole":false,"hosts":[%s]}`, editEntry(entryJSON("s0", h.diskServer.Addr, "active", 0))))
				h.waitFor("the attempt ends as not sent", h.coreCondition(func(k *core) bool { return k.counters.Outcomes[policy.NotSent] > 0 }))
				if name != "restarted" {
					release()
					h.waitFor("the dial has ended", h.coreCondition(func(k *core) bool {
						return len(h.scheduler.pool.servers) == 0 || h.scheduler.pool.servers["s0"].expectedConns == 0
					}))
					if got := client.readResponse(0); got.status != 503 || len(h.diskServer.Requests()) != 0 {
						t.Errorf("got %+v, want status 503; disk server got %d requests, want 0", got, len(h.diskServer.Requests()))
					}
					return
				}
				release() // the policy may resend to the new process
				if got := client.readResponse(0); got.status != 200 {
					t.Errorf("got %+v, want status 200", got)
				}
			})
		})
	}
}

// If a disk server's address changes during a dial, the attempt that waits goes to the new address.
func TestAddressChangesDuringDial(t *testing.T) {
	runOnSockets(t, nil, respondWith(ok200), func(h *harness, hooks *hookedEnv) {
		newServer, err := standin.ServeHTTPDiskServer(hooks.Real, respondWith(ok200))
		if err != nil {
			t.Fatal(err)
		}
		defer newServer.Close()
		dialled, release := h.blockDials(hooks)
		client := h.connect()
		io.WriteString(client.conn, strings.Replace(h.getRequest(), "0.480", "1.900", 1))
		h.waitFor("a dial is blocked", dialled)
		h.discovery.Broadcast(fmt.Sprintf(`{"seq":8,"whole":false,"hosts":[%s]}`, entryJSON("s0", newServer.Addr, "active", 0)))
		h.waitFor("the core has the new address", h.coreCondition(func(k *core) bool { return k.servers["s0"].Address == newServer.Addr }))
		release()
		if got := client.readResponse(0); got.status != 200 || len(h.diskServer.Requests()) != 0 || len(newServer.Requests()) != 1 {
			t.Errorf("got %+v, want status 200; %d requests at the old address, want 0; %d at the new, want 1", got, len(h.diskServer.Requests()), len(newServer.Requests()))
		}
	})
}

// Settings without connection timeouts get the defaults, under which connections are reused.
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
			h.waitFor("the connection is idle", h.coreCondition(func(*core) bool { return len(h.scheduler.pool.servers["s0"].idle) == 1 }))
		}
		if requests := h.diskServer.Requests(); requests[len(requests)-1].Conn != 0 {
			t.Error("got a request on a new connection, want the first one to be reused")
		}
		h.onLoop(func() {
			if p := h.scheduler.pool; p.dialTimeout != defaultDialTimeout || p.maxIdle != defaultIdleTimeout*idleKeepFraction {
				t.Error(p.dialTimeout, p.idleConns)
			}
		})
	})
}

// A retry that waits for a connection until its idempotency key has expired must not be sent, since
// the disk server may no longer recognize it as a duplicate.
func TestRetryIsNotSentAfterItsKeyExpired(t *testing.T) {
	shortenKeyTTL := func(config string) string {
		config = strings.Replace(config, `"key_ttl_ms":6000`, `"key_ttl_ms":150`, 1)
		return strings.Replace(config, `"dial_timeout_ms":250`, `"dial_timeout_ms":3000`, 1)
	}
	respond := func(request standin.HTTPRequest) standin.HTTPResponse { return standin.HTTPResponse{Reset: true} }
	runOnSockets(t, shortenKeyTTL, respond, func(h *harness, hooks *hookedEnv) {
		secondDial, gate := h.newGate(), h.newGate()
		hooks.setDialHook(func(n int) error {
			if n > 0 { // the first dial is not blocked
				secondDial.Open()
				gate.Wait(hooks)
			}
			return nil
		})
		client := h.connect()
		io.WriteString(client.conn, h.formatRequest("PUT", "txn-write", "00000000000000aa", "1.900", "x", "Idempotency-Key: k1\r\n"))
		h.waitFor("the retry's dial is blocked", secondDial.Opened)
		windowEnd := 0.0
		h.onLoop(func() { windowEnd = h.scheduler.core.calls["00000000000000aa"].req.Expires - 1900 + 160 })
		h.waitFor("the idempotency key has expired", func() bool { return h.scheduler.loop.now() > windowEnd })
		gate.Open()
		if got := client.readResponse(0); got.status != 504 {
			t.Errorf("got %+v, want status 504", got)
		}
		h.waitFor("no call, attempt or dial is outstanding", quiescent(h))
		if n := len(h.diskServer.Requests()); n != 1 {
			t.Errorf("sent %d times, want once", n)
		}
	})
}

// An attempt for a host that is not in the server list ends at once as not sent.
func TestAttemptForUnknownHost(t *testing.T) {
	runOnSockets(t, nil, respondWith(ok200), func(h *harness, hooks *hookedEnv) {
		h.onLoop(func() { delete(h.scheduler.pool.servers, "s0") })
		got := h.connect().roundTrip(h.getRequest())
		if got.status != 503 || h.counters().Outcomes[policy.NotSent] == 0 || h.counters().Outcomes[policy.NoConnection] > 0 {
			t.Errorf("got %+v, want status 503; counters %+v, want only outcomes of not sent", got, h.counters())
		}
	})
}
