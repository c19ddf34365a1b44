package standin

import (
	"bufio"
	"net"
	"time"

	"merlinhitch/internal/protocol/http1"
	"merlinhitch/internal/runtime/env"
)

// HTTPRequest is one request that an HTTPDisk got whole.
type HTTPRequest struct {
	Conn  int // the connection's number, in the order in which they came
	Index int // the request's number on that connection
	*http1.Request
	Body       []byte
	ReceivedAt time.Duration
}

// HTTPResponse is what an HTTPDisk does about a request.
type HTTPResponse struct {
	Delay      time.Duration // of work
	Raw        []byte        // written as it is; nil: nothing is
	Extra      []byte        // written by itself after it, as by a server that says more,
	ExtraDelay time.Duration // so much later
	Close      bool
	Reset      bool // it closes so that what it wrote may be lost
}

// HTTPDiskServer is a disk server that speaks HTTP/1.1, one request at a time on a connection,
// and answers as it is told, however wrong that is.
type HTTPDiskServer struct {
	connServer
	respond  func(HTTPRequest) HTTPResponse
	requests []HTTPRequest // under the door's lock
}

// ServeHTTPDiskServer starts one.
func ServeHTTPDiskServer(w env.Environment, do func(HTTPRequest) HTTPResponse) (*HTTPDiskServer, error) {
	l, err := w.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	d := &HTTPDiskServer{respond: do}
	d.start(w, l, d.serve)
	return d, nil
}

var httpLimits = http1.Limits{MaxHeadBytes: 16 << 10, MaxFields: 64, MaxBodyBytes: 64 << 10}

func (d *HTTPDiskServer) serve(c net.Conn, conn int) {
	defer c.Close()
	br := bufio.NewReader(c)
	for nth := 0; ; nth++ {
		r, body, err := http1.ReadWholeRequest(br, httpLimits)
		if err != nil {
			return
		}
		ask := HTTPRequest{Conn: conn, Index: nth, Request: r, Body: body, ReceivedAt: d.environment.Now()}
		d.mu.Lock()
		d.requests = append(d.requests, ask)
		d.mu.Unlock()
		a := d.respond(ask)
		env.Sleep(d.environment, a.Delay, nil)
		c.Write(a.Raw)
		if len(a.Extra) > 0 {
			env.Sleep(d.environment, a.ExtraDelay, nil)
			c.Write(a.Extra)
		}
		if t, ok := c.(*net.TCPConn); ok && a.Reset {
			t.SetLinger(0)
		}
		if a.Close || a.Reset {
			return
		}
	}
}

// Requests lists what came whole so far.
func (d *HTTPDiskServer) Requests() []HTTPRequest {
	d.mu.Lock()
	defer d.mu.Unlock()
	return append([]HTTPRequest(nil), d.requests...)
}

// HTTPDiscovery is discovery over HTTP/1.1: each watch gets a chunked answer that stays open.
type HTTPDiscovery struct {
	connServer

	// Under the door's lock.
	initialLine string // the first line of every watch
	watches     []net.Conn
	targets     []string
}

// ServeHTTPDiscovery starts one whose watches begin with that line of JSON.
func ServeHTTPDiscovery(w env.Environment, whole string) (*HTTPDiscovery, error) {
	l, err := w.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	h := &HTTPDiscovery{initialLine: whole}
	h.start(w, l, h.serve)
	return h, nil
}

func (h *HTTPDiscovery) serve(c net.Conn, _ int) {
	r, err := http1.ReadRequest(bufio.NewReader(c), httpLimits)
	if err != nil {
		c.Close()
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.targets = append(h.targets, r.Target)
	h.watches = append(h.watches, c)
	c.Write([]byte("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"))
	c.Write(encodeChunk(h.initialLine + "\n"))
}

func encodeChunk(s string) []byte {
	const hex = "0123456789abcdef"
	n := len(s)
	return append([]byte{hex[n>>12&15], hex[n>>8&15], hex[n>>4&15], hex[n&15], '\r', '\n'}, s+"\r\n"...)
}

// Broadcast sends a line to every watch, in two chunks.
func (h *HTTPDiscovery) Broadcast(line string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, c := range h.watches {
		c.Write(encodeChunk(line[:len(line)/2]))
		c.Write(encodeChunk(line[len(line)/2:] + "\n"))
	}
}

// Targets are what watches asked for so far.
func (h *HTTPDiscovery) Targets() []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	return append([]string(nil), h.targets...)
}
