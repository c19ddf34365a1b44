package scheduler

import (
	"io"
	"strings"
	"testing"
	"time"

	"merlinhitch/internal/runtime/env"
)

// Clients that keep all connections, whatever they do on them, must not keep a new client from its answer.
func TestClientsThatKeepAllConnectionsGiveWay(t *testing.T) {
	for name, keep := range map[string]func(h *harness, client *testClient){
		"half a head": func(h *harness, client *testClient) { io.WriteString(client.conn, "GET /card-read/00") },
		"half a body": func(h *harness, client *testClient) {
			write := h.formatRequest("PUT", "txn-write", "00000000000000aa", "9.000", strings.Repeat("x", 40<<10), "Idempotency-Key: k\r\n")
			io.WriteString(client.conn, write[:30<<10])
		},
		"no request, and no close after the answer": func(h *harness, client *testClient) {
			io.WriteString(client.conn, "no request\r\n\r\n"+strings.Repeat("x", 1000))
		},
		"a request each 20 ms": func(h *harness, client *testClient) {
			for client.roundTrip("GET /up HTTP/1.1\r\n\r\n").status != 0 {
				env.Sleep(h.environment, 20*time.Millisecond, nil)
			}
		},
		"many reads at once, of which no answer is read": func(h *harness, client *testClient) {
			const reads = 20
			var pipelined strings.Builder
			for range reads {
				pipelined.WriteString(strings.Replace(h.getRequest(), "0.480", "1.200", 1))
			}
			io.WriteString(client.conn, pipelined.String())
		},
		"requests behind each other all the time": func(h *harness, client *testClient) {
			for {
				if _, err := io.WriteString(client.conn, strings.Repeat("GET /up HTTP/1.1\r\n\r\n", 20)); err != nil {
					return
				}
				for range 19 { // one is always left
					if client.readResponse(0).status == 0 {
						return
					}
				}
				env.Sleep(h.environment, 20*time.Millisecond, nil)
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			runSimulated(t, respondWith(ok200), func(h *harness) {
				var tasks env.WaitGroup
				for range 2 * h.scheduler.frontend.maxClients {
					client := h.connect()
					tasks.Go(h.environment, func() { keep(h, client) })
				}
				env.Sleep(h.environment, 50*time.Millisecond, nil)
				for i := range 5 {
					sentAt := h.environment.Now()
					client := h.connect()
					io.WriteString(client.conn, h.getRequest())
					if got := client.readResponse(sentAt); got.status != 200 || got.elapsed > time.Second {
						t.Errorf("request %d: got status %d after %s, want 200 within 1 s", i, got.status, got.elapsed)
					}
					client.conn.Close()
				}
				for _, client := range h.clients {
					client.conn.Close()
				}
				tasks.Wait(h.environment)
			})
		})
	}
}

// A request may not be taken for stalled while its bytes lie in the socket, since the process that has to
// read them was stopped.
func TestBytesInTheSocketAreProgress(t *testing.T) {
	conn := &backloggedConn{unread: true}
	c := &client{conn: conn, state: clientReading, readAhead: &readAhead{}}
	if c.evictable(2 * evictStalledAfterMS) {
		t.Error("a request whose bytes lie in the socket is taken for stalled")
	}
	conn.unread = false
	if !c.evictable(2 * evictStalledAfterMS) {
		t.Error("a stalled request is not")
	}
}

// A connection that is to give way while idle may still have a request, which crosses that. It must then be
// able to linger after its last answer: a close over unread bytes would be a reset, which can overtake it.
func TestOnlyALingeringConnectionIsCutShort(t *testing.T) {
	for name, tt := range map[string]struct {
		state clientState
		want  bool
	}{"idle": {clientIdle, false}, "lingering": {clientLingering, true}} {
		runSimulated(t, respondWith(ok200), func(h *harness) {
			h.connect().roundTrip(h.getRequest())
			f := h.scheduler.frontend
			f.mu.Lock()
			defer f.mu.Unlock()
			c := f.clients.All()[0]
			c.state = tt.state
			c.evict(f.loop.now())
			if got := c.lingerCut.Opened(); got != tt.want {
				t.Errorf("%s: cut short %v, want %v", name, got, tt.want)
			}
		})
	}
}
