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
func startRawDiskServer(t *testing.T, sc *harness) *rawDiskServer {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	d := &rawDiskServer{listener: l}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			d.mu.Lock()
			d.conns = append(d.conns, c)
			d.mu.Unlock()
			go d.serve(c)
		}
	}()
	sc.discovery.Say(fmt.Sprintf(`{"seq":8,"whole":false,"hosts":[%s]}`, entryJSON("s0", l.Addr().String(), "active", 0)))
	sc.waitFor("the list", sc.coreCondition(func(k *core) bool { return k.servers["s0"].Address == l.Addr().String() }))
	return d
}

func (d *rawDiskServer) serve(c net.Conn) {
	defer c.Close()
	br := bufio.NewReader(c)
	for {
		r, err := http1.ReadRequest(br, messageLimits)
		if err != nil {
			return
		}
		id := r.Fields.Get("request-id")
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(id), id)
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
	for _, c := range d.conns {
		c.Close()
	}
}

// What comes on a connection to a disk server before the next request is written, bytes or
// its end, is never taken for that request's answer and costs it no attempt.
func TestUnexpectedInputOnIdleConnection(t *testing.T) {
	for name, do := range map[string]func(c net.Conn){
		"a second copy":  func(c net.Conn) { io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nstale") },
		"half a line":    func(c net.Conn) { io.WriteString(c, "HTTP/1.1 2") },
		"its end":        func(c net.Conn) { c.(*net.TCPConn).CloseWrite() },
		"a reset":        func(c net.Conn) { c.(*net.TCPConn).SetLinger(0); c.Close() },
		"a copy and end": func(c net.Conn) { io.WriteString(c, ok200); c.Close() },
	} {
		t.Run(name, func(t *testing.T) {
			runOnSockets(t, nil, respondWith(ok200), func(sc *harness, h *hookedEnv) {
				d := startRawDiskServer(t, sc)
				defer d.close()
				p := sc.connect()
				for i := range 3 {
					got := p.roundTrip(sc.getRequest())
					if want := fmt.Sprintf("%016x", sc.requestCount); got.status != 200 || got.body != want {
						t.Fatalf("request %d: %+v, want %s", i, got, want)
					}
					sc.waitFor("the connection is free", sc.coreCondition(func(k *core) bool {
						s := sc.scheduler.pool.servers["s0"]
						return len(s.idle) == 1 && s.expectedConns == 0
					}))
					do(d.conn(i))
				}
				if c := sc.counters(); c.Sends != 3 || c.Outcomes[policy.Served] != 3 {
					t.Errorf("%+v", c)
				}
			})
		})
	}
}

// An answer up to the close is whole where its connection ends cleanly; a reset is no end.
func TestResponsesDelimitedByClose(t *testing.T) {
	const raw = "HTTP/1.1 200 OK\r\n\r\nhi"
	for _, reset := range []bool{false, true} {
		do := func(a standin.HTTPAsk) standin.HTTPAnswer {
			if a.Conn > 0 {
				return standin.HTTPAnswer{Raw: []byte(ok200)}
			}
			return standin.HTTPAnswer{Raw: []byte(raw), Close: !reset, Reset: reset}
		}
		runOnSockets(t, nil, do, func(sc *harness, h *hookedEnv) {
			got := sc.connect().roundTrip(strings.Replace(sc.getRequest(), "0.480", "1.900", 1))
			c := sc.counters()
			if got.status != 200 || got.body != "hi" || reset != (c.Sends == 2) || reset != (c.Outcomes[policy.ConnectionLost] == 1) {
				t.Errorf("reset %v: %+v, %+v", reset, got, c)
			}
		})
	}
}

// The answer to who sent more than is read comes before the close, not a reset.
func TestAnswersComeBeforeTheClose(t *testing.T) {
	for name, raw := range map[string]string{
		"unreadable":   "nonsense\r\n\r\n" + strings.Repeat("x", 60<<10),
		"wrong class":  "GET /nothing/00000003b4d60021/7f3a9c21e0b4d655 HTTP/1.1\r\n\r\n" + strings.Repeat("x", 60<<10),
		"asked to end": "GET /up HTTP/1.1\r\nConnection: close\r\n\r\n" + strings.Repeat("x", 60<<10),
	} {
		t.Run(name, func(t *testing.T) {
			runOnSockets(t, nil, respondWith(ok200), func(sc *harness, h *hookedEnv) {
				ended := sc.newGate()
				sc.setAcceptHook(h, func(c net.Conn) net.Conn {
					return &closeNotifyConn{c.(*net.TCPConn), ended, &env.Gate{}}
				})
				p := sc.connect()
				defer p.conn.Close()
				if _, err := io.WriteString(p.conn, raw); err != nil {
					t.Fatal(err)
				}
				sc.waitFor("the end", ended.Opened) // only then does the client look
				got := p.readResponse(0)
				if got.status == 0 || !got.closeConn {
					t.Errorf("%+v", got)
				}
				if _, err := p.reader.ReadByte(); err != io.EOF {
					t.Error("no clean end behind the answer:", err)
				}
			})
		})
	}
}
