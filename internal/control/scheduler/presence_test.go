package scheduler

import (
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"merlinhitch/policy"
)

// If a client has closed its connection behind more pipelined data than is kept for it, no attempt may
// begin for any of its requests.
func TestNoAttemptForAClientThatLeftBehindUnreadData(t *testing.T) {
	for name, pipelinedBytes := range map[string]int{
		"in the receive buffer":     400 << 10,
		"beyond the receive buffer": 8 << 20,
	} {
		t.Run(name, func(t *testing.T) {
			runOnSockets(t, nil, respondWith(ok200), func(h *harness, hooks *hookedEnv) {
				dialled, release := h.blockDials(hooks)
				client := h.connect()
				io.WriteString(client.conn, strings.Replace(h.getRequest(), "0.480", "30", 1))
				h.waitFor("a dial is blocked", dialled)
				var pipelined strings.Builder
				for pipelined.Len() < pipelinedBytes {
					pipelined.WriteString(strings.Replace(h.getRequest("X-Filler: "+strings.Repeat("x", 1000)+"\r\n"), "0.480", "30", 1))
				}
				written := h.newGate()
				h.environment.Go(func() {
					io.WriteString(client.conn, pipelined.String())
					client.conn.Close()
					written.Open()
				})
				if pipelinedBytes < 1<<20 {
					h.waitFor("the client has closed its connection", written.Opened)
				}
				h.waitFor("the core counts the disconnect", h.coreCondition(func(k *core) bool { return k.counters.Gone == 1 }))
				release()
				h.waitFor("the client's connection has been removed", func() bool { return h.scheduler.frontend.clientCount() == 0 })
				h.waitFor("no call, attempt or dial is outstanding", quiescent(h))
				if n := len(h.diskServer.Requests()); n != 0 {
					t.Errorf("disk server got %d requests of a client that had left, want 0", n)
				}
			})
		})
	}
}

// An attempt may not begin once its client has closed the connection, although the goroutine that
// reads from it has not run since.
func TestNoAttemptWhileTheCloseIsUnread(t *testing.T) {
	for name, disconnect := range map[string]func(c *net.TCPConn){
		"close": func(conn *net.TCPConn) { conn.Close() },
		"reset": func(conn *net.TCPConn) { conn.SetLinger(0); conn.Close() },
		"close behind a pipelined request": func(conn *net.TCPConn) {
			io.WriteString(conn, "GET /up HTTP/1.1\r\n\r\n")
			conn.Close()
		},
		"close behind more than the receive buffer takes": func(conn *net.TCPConn) {
			conn.SetWriteDeadline(time.Now().Add(100 * time.Millisecond))
			conn.Write(make([]byte, 32<<20))
			conn.Close()
		},
	} {
		t.Run(name, func(t *testing.T) {
			runOnSockets(t, nil, respondWith(ok200), func(h *harness, hooks *hookedEnv) {
				client, holdNextRead := connectHeld(h, hooks)
				h.waitFor("no call, attempt or dial is outstanding", quiescent(h))
				h.onLoop(func() { h.scheduler.pool.sweep(h.scheduler.loop.now() + 1e9) }) // closes the idle connection
				dialled, release := h.blockDials(hooks)
				sentBefore := len(h.diskServer.Requests())
				io.WriteString(client.conn, strings.Replace(h.getRequest(), "0.480", "30", 1))
				h.waitFor("a dial is blocked", dialled)
				gate := holdNextRead()
				disconnect(client.conn.(*net.TCPConn))
				release()
				h.waitFor("the attempt has ended", h.coreCondition(func(k *core) bool { return k.counters.Outcomes[policy.NotSent]+k.counters.Outcomes[policy.Served] >= 2 }))
				gate.Open()
				h.waitFor("no call, attempt or dial is outstanding", quiescent(h))
				if n := len(h.diskServer.Requests()); n != sentBefore {
					t.Errorf("disk server got %d requests after the client had left, want 0", n-sentBefore)
				}
			})
		})
	}
}

// An attempt that is given up while it waits until its client's bytes have been read must not be written
// afterwards, and must end as not sent: the disk server was told nothing, and is not to blame.
func TestAttemptGivenUpBeforeItsWriteIsNotSent(t *testing.T) {
	runOnSockets(t, nil, respondWith(ok200), func(h *harness, hooks *hookedEnv) {
		client, holdNextRead := connectHeld(h, hooks)
		h.waitFor("no call, attempt or dial is outstanding", quiescent(h))
		h.onLoop(func() { h.scheduler.pool.sweep(h.scheduler.loop.now() + 1e9) }) // closes the idle connection
		dialled, release := h.blockDials(hooks)
		sentBefore := len(h.diskServer.Requests())
		io.WriteString(client.conn, strings.Replace(h.getRequest(), "0.480", "30", 1))
		h.waitFor("a dial is blocked", dialled)
		gate := holdNextRead()
		io.WriteString(client.conn, strings.Repeat("GET /up HTTP/1.1\r\n\r\n", waitBytes)) // more than the held read takes
		var waiting *attempt
		h.onLoop(func() {
			for _, c := range h.scheduler.core.calls {
				waiting = c.lastAttempt
			}
		})
		release()
		h.waitFor("the attempt has begun", h.coreCondition(func(*core) bool { return waiting.begun }))
		h.onLoop(func() {
			if !waiting.outcomeKnown {
				h.scheduler.core.cancel(waiting)
			}
		})
		h.waitFor("the attempt has ended as not sent", h.coreCondition(func(k *core) bool { return k.counters.Outcomes[policy.NotSent] >= 1 }))
		if waiting.startWrite() {
			t.Error("the attempt may still be written")
		}
		if c := h.counters(); c.Outcomes[policy.Cancelled] != 0 {
			t.Errorf("counters %+v, want no attempt that may have run", c)
		}
		client.conn.Close()
		gate.Open()
		h.waitFor("no call, attempt or dial is outstanding", quiescent(h))
		if n := len(h.diskServer.Requests()); n != sentBefore {
			t.Errorf("disk server got %d requests, want 0", n-sentBefore)
		}
	})
}
