package scheduler

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"testing"

	"merlinhitch/internal/protocol/http1"
	"merlinhitch/internal/runtime/env"
	"merlinhitch/internal/simulation/standin"
	"merlinhitch/policy"
)

// rawDiskServer lets a test speak on a disk server's connections itself.
type rawDiskServer struct {
	listener net.Listener
	mu       sync.Mutex
	conns    []net.Conn
}

// startRawDiskServer serves each request with its id as body, on connections that the test can reach.
func startRawDiskServer(t *testing.T, h *harness) *rawDiskServer {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := &rawDiskServer{listener: listener}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			server.mu.Lock()
			server.conns = append(server.conns, conn)
			server.mu.Unlock()
			go server.serve(conn)
		}
	}()
	h.discovery.Say(fmt.Sprintf(`{"seq":8,"whole":false,"hosts":[%s]}`, entryJSON("s0", listener.Addr().String(), "active", 0)))
	h.waitFor("the list", h.coreCondition(func(k *core) bool { return k.servers["s0"].Address == listener.Addr().String() }))
	return server
}

func (d *rawDiskServer) serve(conn net.Conn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for {
		request, err := http1.ReadRequest(reader, messageLimits)
		if err != nil {
			return
		}
		id := request.Fields.Get("request-id")
		fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(id), id)
	}
}

func (d *rawDiskServer) conn(n int) net.Conn {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.conns[n]
}

func (d *rawDiskServer) close() {
	d.listener.Close()
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, conn := range d.conns {
		conn.Close()
	}
}

// What comes on a connection to a disk server before the next request is written, bytes or
// its end, is never taken for that request's answer and costs it no attempt.
func TestUnexpectedInputOnIdleConnection(t *testing.T) {
	for name, disturb := range map[string]func(c net.Conn){
		"a second copy":  func(conn net.Conn) { io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nstale") },
		"half a line":    func(conn net.Conn) { io.WriteString(conn, "HTTP/1.1 2") },
		"its end":        func(conn net.Conn) { conn.(*net.TCPConn).CloseWrite() },
		"a reset":        func(conn net.Conn) { conn.(*net.TCPConn).SetLinger(0); conn.Close() },
		"a copy and end": func(conn net.Conn) { io.WriteString(conn, ok200); conn.Close() },
	} {
		t.Run(name, func(t *testing.T) {
			runOnSockets(t, nil, respondWith(ok200), func(h *harness, hooks *hookedEnv) {
				diskServer := startRawDiskServer(t, h)
				defer diskServer.close()
				client := h.connect()
				for i := range 3 {
					got := client.roundTrip(h.getRequest())
					if want := fmt.Sprintf("%016x", h.requestCount); got.status != 200 || got.body != want {
						t.Fatalf("request %d: %+v, want %s", i, got, want)
					}
					h.waitFor("the connection is free", h.coreCondition(func(k *core) bool {
						server := h.scheduler.pool.servers["s0"]
						return len(server.idle) == 1 && server.expectedConns == 0
					}))
					disturb(diskServer.conn(i))
				}
				if counters := h.counters(); counters.Sends != 3 || counters.Outcomes[policy.Served] != 3 {
					t.Errorf("%+v", counters)
				}
			})
		})
	}
}

// An answer up to the close is whole where its connection ends cleanly; a reset is no end.
func TestResponsesDelimitedByClose(t *testing.T) {
	const response = "HTTP/1.1 200 OK\r\n\r\nhi"
	for _, reset := range []bool{false, true} {
		respond := func(request standin.HTTPAsk) standin.HTTPAnswer {
			if request.Conn > 0 {
				return standin.HTTPAnswer{Raw: []byte(ok200)}
			}
			return standin.HTTPAnswer{Raw: []byte(response), Close: !reset, Reset: reset}
		}
		runOnSockets(t, nil, respond, func(h *harness, hooks *hookedEnv) {
			got := h.connect().roundTrip(strings.Replace(h.getRequest(), "0.480", "1.900", 1))
			counters := h.counters()
			if got.status != 200 || got.body != "hi" || reset != (counters.Sends == 2) || reset != (counters.Outcomes[policy.ConnectionLost] == 1) {
				t.Errorf("reset %v: %+v, %+v", reset, got, counters)
			}
		})
	}
}

// The answer to who sent more than is read comes before the close, not a reset.
func TestAnswersComeBeforeTheClose(t *testing.T) {
	for name, request := range map[string]string{
		"unreadable":   "nonsense\r\n\r\n" + strings.Repeat("x", 60<<10),
		"wrong class":  "GET /nothing/00000003b4d60021/7f3a9c21e0b4d655 HTTP/1.1\r\n\r\n" + strings.Repeat("x", 60<<10),
		"asked to end": "GET /up HTTP/1.1\r\nConnection: close\r\n\r\n" + strings.Repeat("x", 60<<10),
	} {
		t.Run(name, func(t *testing.T) {
			runOnSockets(t, nil, respondWith(ok200), func(h *harness, hooks *hookedEnv) {
				writeClosed := h.newGate()
				h.setAcceptHook(hooks, func(conn net.Conn) net.Conn {
					return &closeNotifyConn{conn.(*net.TCPConn), writeClosed, &env.Gate{}}
				})
				client := h.connect()
				defer client.conn.Close()
				if _, err := io.WriteString(client.conn, request); err != nil {
					t.Fatal(err)
				}
				h.waitFor("the end", writeClosed.Opened) // only then does the client look
				got := client.readResponse(0)
				if got.status == 0 || !got.closeConn {
					t.Errorf("%+v", got)
				}
				if _, err := client.reader.ReadByte(); err != io.EOF {
					t.Error("no clean end behind the answer:", err)
				}
			})
		})
	}
}
