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
func ServeHTTPDiskServer(environment env.Environment, respond func(HTTPRequest) HTTPResponse) (*HTTPDiskServer, error) {
	listener, err := environment.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	server := &HTTPDiskServer{respond: respond}
	server.start(environment, listener, server.serve)
	return server, nil
}

var httpLimits = http1.Limits{MaxHeadBytes: 16 << 10, MaxFields: 64, MaxBodyBytes: 64 << 10}

func (d *HTTPDiskServer) serve(conn net.Conn, connIndex int) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for index := 0; ; index++ {
		request, body, err := http1.ReadWholeRequest(reader, httpLimits)
		if err != nil {
			return
		}
		received := HTTPRequest{Conn: connIndex, Index: index, Request: request, Body: body, ReceivedAt: d.environment.Now()}
		d.mu.Lock()
		d.requests = append(d.requests, received)
		d.mu.Unlock()
		response := d.respond(received)
		env.Sleep(d.environment, response.Delay, nil)
		conn.Write(response.Raw)
		if len(response.Extra) > 0 {
			env.Sleep(d.environment, response.ExtraDelay, nil)
			conn.Write(response.Extra)
		}
		if tcpConn, ok := conn.(*net.TCPConn); ok && response.Reset {
			tcpConn.SetLinger(0)
		}
		if response.Close || response.Reset {
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
func ServeHTTPDiscovery(environment env.Environment, initialLine string) (*HTTPDiscovery, error) {
	listener, err := environment.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	discovery := &HTTPDiscovery{initialLine: initialLine}
	discovery.start(environment, listener, discovery.serve)
	return discovery, nil
}

func (h *HTTPDiscovery) serve(conn net.Conn, _ int) {
	request, err := http1.ReadRequest(bufio.NewReader(conn), httpLimits)
	if err != nil {
		conn.Close()
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.targets = append(h.targets, request.Target)
	h.watches = append(h.watches, conn)
	conn.Write([]byte("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"))
	conn.Write(encodeChunk(h.initialLine + "\n"))
}

func encodeChunk(data string) []byte {
	const hex = "0123456789abcdef"
	n := len(data)
	return append([]byte{hex[n>>12&15], hex[n>>8&15], hex[n>>4&15], hex[n&15], '\r', '\n'}, data+"\r\n"...)
}

// Broadcast sends a line to every watch, in two chunks.
func (h *HTTPDiscovery) Broadcast(line string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, conn := range h.watches {
		conn.Write(encodeChunk(line[:len(line)/2]))
		conn.Write(encodeChunk(line[len(line)/2:] + "\n"))
	}
}

// Targets are what watches asked for so far.
func (h *HTTPDiscovery) Targets() []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	return append([]string(nil), h.targets...)
}
