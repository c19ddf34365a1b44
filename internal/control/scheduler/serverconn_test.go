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

// rawDiskServer is a disk server whose connections a test can use directly.
type rawDiskServer struct {
	listener net.Listener
	mu       sync.Mutex
	conns    []net.Conn
}

// startRawDiskServer starts a disk server that returns each request's ID as the body, and lists it
// as s0.
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
	h.discovery.Broadcast(fmt.Sprintf(`{"seq":8,"whole":false,"hosts":[%s]}`, entryJSON("s0", listener.Addr().String(), "active", 0)))
	h.waitFor("the core has applied the list", h.coreCondition(func(k *core) bool { return k.servers["s0"].Address == listener.Addr().String() }))
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

// Bytes or an end of stream that arrive on an idle connection to a disk server must not be taken
// for the response to the next request, nor cost it an attempt.
func TestUnexpectedInputOnIdleConnection(t *testing.T) {
	for name, disturb := range map[string]func(conn net.Conn){
		"second response":             func(conn net.Conn) { io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nstale") },
		"partial status line":         func(conn net.Conn) { io.WriteString(conn, "HTTP/1.1 2") },
		"end of stream":               func(conn net.Conn) { conn.(*net.TCPConn).CloseWrite() },
		"reset":                       func(conn net.Conn) { conn.(*net.TCPConn).SetLinger(0); conn.Close() },
		"second response, then close": func(conn net.Conn) { io.WriteString(conn, ok200); conn.Close() },
	} {
		t.Run(name, func(t *testing.T) {
			runOnSockets(t, nil, respondWith(ok200), func(h *harness, hooks *hookedEnv) {
				diskServer := startRawDiskServer(t, h)
				defer diskServer.close()
				client := h.connect()
				for i := range 3 {
					got := client.roundTrip(h.getRequest())
					if want := fmt.Sprintf("%016x", h.requestCount); got.status != 200 || got.body != want {
						t.Fatalf("request %d: got %+v, want status 200 and body %s", i, got, want)
					}
					h.waitFor("the connection to the disk server is idle", h.coreCondition(func(k *core) bool {
						server := h.scheduler.pool.servers["s0"]
						return len(server.idle) == 1 && server.expectedConns == 0
					}))
					disturb(diskServer.conn(i))
				}
				if counters := h.counters(); counters.Sends != 3 || counters.Outcomes[policy.Served] != 3 {
					t.Errorf("got counters %+v, want 3 attempts, all served", counters)
				}
			})
		})
	}
}

// A response delimited by the close of its connection is complete if the connection is closed, but
// not if it is reset: then the attempt is lost and the request is sent again.
func TestResponsesDelimitedByClose(t *testing.T) {
	const response = "HTTP/1.1 200 OK\r\n\r\nhi"
	for _, reset := range []bool{false, true} {
		respond := func(request standin.HTTPRequest) standin.HTTPResponse {
			if request.Conn > 0 {
				return standin.HTTPResponse{Raw: []byte(ok200)}
			}
			return standin.HTTPResponse{Raw: []byte(response), Close: !reset, Reset: reset}
		}
		runOnSockets(t, nil, respond, func(h *harness, hooks *hookedEnv) {
			got := h.connect().roundTrip(strings.Replace(h.getRequest(), "0.480", "1.900", 1))
			counters := h.counters()
			if got.status != 200 || got.body != "hi" || reset != (counters.Sends == 2) || reset != (counters.Outcomes[policy.ConnectionLost] == 1) {
				t.Errorf("reset %v: got response %+v with counters %+v, want status 200, and 2 attempts with one lost if reset", reset, got, counters)
			}
		})
	}
}

// A client that sent more than the scheduler reads must get the response and a clean end of stream,
// not a reset that discards the response.
func TestAnswersComeBeforeTheClose(t *testing.T) {
	for name, request := range map[string]string{
		"malformed request": "nonsense\r\n\r\n" + strings.Repeat("x", 60<<10),
		"unknown class":     "GET /nothing/00000003b4d60021/7f3a9c21e0b4d655 HTTP/1.1\r\n\r\n" + strings.Repeat("x", 60<<10),
		"close requested":   "GET /up HTTP/1.1\r\nConnection: close\r\n\r\n" + strings.Repeat("x", 60<<10),
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
				h.waitFor("the scheduler has ended its side of the connection", writeClosed.Opened) // the client reads only after that
				got := client.readResponse(0)
				if got.status == 0 || !got.closeConn {
					t.Errorf("got %+v, want a response that closes the connection", got)
				}
				if _, err := client.reader.ReadByte(); err != io.EOF {
					t.Error("read after the response: want EOF, got", err)
				}
			})
		})
	}
}
