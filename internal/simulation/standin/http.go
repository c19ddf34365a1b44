package standin

import (
	"bufio"
	"net"
	"time"

	"merlinhitch/internal/protocol/http1"
	"merlinhitch/internal/runtime/env"
)

// HTTPRequest is a complete request that an HTTPDiskServer received.
type HTTPRequest struct {
	Conn  int // index of the connection, in the order of acceptance
	Index int // index of the request on that connection
	*http1.Request
	Body       []byte
	ReceivedAt time.Duration
	// Unread is for how long the newest bytes had lain in the socket when the request had been read,
	// 0 where that is unknown.
	Unread time.Duration
}

// HTTPResponse is the reaction of an HTTPDiskServer to a request.
type HTTPResponse struct {
	Delay      time.Duration // service time, before anything is written
	Raw        []byte        // the bytes to write, unchecked; nil for none
	Extra      []byte        // unsolicited bytes in a separate write after Raw
	ExtraDelay time.Duration // between Raw and Extra
	Close      bool          // the connection is closed afterwards
	Reset      bool          // the connection is reset, so that written bytes may be lost
}

// HTTPDiskServer is a disk server that speaks HTTP/1.1, one request at a time on a connection, and
// sends the given responses, even malformed ones.
type HTTPDiskServer struct {
	connServer
	respond  func(HTTPRequest) HTTPResponse
	requests []HTTPRequest // guarded by connServer.mu
}

// ServeHTTPDiskServer starts a server that calls respond for each request.
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
		received.Unread, _ = env.SinceLastReceive(conn)
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

// Requests returns the complete requests received so far.
func (d *HTTPDiskServer) Requests() []HTTPRequest {
	d.mu.Lock()
	defer d.mu.Unlock()
	return append([]HTTPRequest(nil), d.requests...)
}

// HTTPDiscovery serves discovery over HTTP/1.1: each watch gets a chunked response that stays open.
type HTTPDiscovery struct {
	connServer

	// Guarded by connServer.mu.
	initialLine string // the first line of every watch
	watchers    []net.Conn
	targets     []string
}

// ServeHTTPDiscovery starts a discovery server that sends initialLine, a line of JSON, first on every
// watch.
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
	h.watchers = append(h.watchers, conn)
	conn.Write([]byte("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"))
	conn.Write(encodeChunk(h.initialLine + "\n"))
}

func encodeChunk(data string) []byte {
	const hex = "0123456789abcdef"
	n := len(data)
	return append([]byte{hex[n>>12&15], hex[n>>8&15], hex[n>>4&15], hex[n&15], '\r', '\n'}, data+"\r\n"...)
}

// Broadcast sends a line to every watch, split into two chunks.
func (h *HTTPDiscovery) Broadcast(line string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, conn := range h.watchers {
		conn.Write(encodeChunk(line[:len(line)/2]))
		conn.Write(encodeChunk(line[len(line)/2:] + "\n"))
	}
}

// Targets returns the request targets of the watches so far.
func (h *HTTPDiscovery) Targets() []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	return append([]string(nil), h.targets...)
}
