package scheduler

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"go.uber.org/zap"

	"merlinhitch/internal/protocol/http1"
	"merlinhitch/internal/runtime/env"
	"merlinhitch/internal/simulation/standin"
	"merlinhitch/internal/simulation/world"
	"merlinhitch/policy"
)

const testSettings = `{"balancers":1,"me":0,"tick_ms":2,"discovery":"pushed",
"request_classes":[
 {"name":"card-read","aim_ms":300,"give_up_ms":2000,"effect":"read_like","group":"all","worth":2},
 {"name":"txn-write","aim_ms":500,"give_up_ms":4000,"effect":"idempotency_key","group":"cell","key_ttl_ms":6000,"worth":3}],
"grades":[{"name":"gold","price":1,"proportion":1,"rate":100}],
"limits":{"attempts_cap":4,"cancel":true,"may_duplicate":true,"retry_after":true,"max_retry_after_ms":2000,"dial_timeout_ms":250,"conn_idle_ms":30000},
"safety":{"answer_slack_ms":8,"stop_sending_within_ms":500},
"extra":{"unit_mean":2,"largest":6,"slots_total":2}}`

func testConfig(listenAddr, discoveryAddr, knownList string) string {
	return fmt.Sprintf(`{"name":"n0","listen":%q,"discovery":%q,"seed":"8c1f30d27a5be964",
"limits":{"cores":1,"memory_mb":64,"sockets":64},"known":%s,"settings":%s}`, listenAddr, discoveryAddr, knownList, testSettings)
}

func fullListJSON(seq int, entries ...string) string {
	return fmt.Sprintf(`{"seq":%d,"whole":true,"hosts":[%s]}`, seq, strings.Join(entries, ","))
}

func entryJSON(host, address, health string, shard int) string {
	return fmt.Sprintf(`{"host":%q,"dial":%q,"site":"a","class":"m","block":%d,"health":%q,"share":1.0,"born_ms":0}`, host, address, shard, health)
}

// ok200 is a complete response of a disk server.
const ok200 = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi"

// harness runs a scheduler with a simulated disk server and discovery service, in a simulated
// environment (runSimulated) or on sockets (runOnSockets).
type harness struct {
	t             *testing.T
	environment   env.Environment
	diskServer    *standin.HTTPDiskServer
	discovery     *standin.HTTPDiscovery
	scheduler     *Scheduler
	schedulerAddr string
	requestCount  int

	gates   []*env.Gate // opened when the test ends
	mu      sync.Mutex
	clients []*testClient // keeps them referenced: the garbage collector closes unreferenced connections
}

// runSimulated runs test in a simulated environment. The disk server answers with respond.
func runSimulated(t *testing.T, respond func(standin.HTTPRequest) standin.HTTPResponse, test func(*harness)) {
	t.Helper()
	sim := world.New(1)
	sim.DefaultLink.Delay = 100 * time.Microsecond
	err := sim.Run("n0", 10*time.Minute, func(process *world.Process) {
		h := &harness{t: t, environment: process, schedulerAddr: "127.0.0.1:5000"}
		var err error
		if h.diskServer, err = standin.ServeHTTPDiskServer(process, respond); err != nil {
			panic(err)
		}
		initialList := fullListJSON(7, entryJSON("s0", h.diskServer.Addr, "active", 0))
		if h.discovery, err = standin.ServeHTTPDiscovery(process, initialList); err != nil {
			panic(err)
		}
		h.scheduler = h.startScheduler(initialList)
		test(h)
		h.scheduler.Close()
		h.diskServer.Close()
		h.discovery.Close()
	})
	if err != nil {
		t.Fatal(err)
	}
}

func (h *harness) startScheduler(knownList string) *Scheduler {
	config, err := ParseConfig([]byte(testConfig(h.schedulerAddr, h.discovery.Addr, knownList)), func(string) string { return "" })
	if err != nil {
		panic(err)
	}
	s, err := Start(h.environment, config, zap.NewNop())
	if err != nil {
		panic(err)
	}
	env.Sleep(h.environment, 50*time.Millisecond, nil)
	return s
}

// testClient is a client connection to the scheduler.
type testClient struct {
	environment env.Environment
	conn        net.Conn
	reader      *bufio.Reader
}

func (h *harness) connect() *testClient {
	conn, err := h.environment.Dial(context.Background(), "tcp", h.schedulerAddr, time.Second)
	if err != nil {
		panic(err)
	}
	client := &testClient{h.environment, conn, bufio.NewReader(conn)}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.clients = append(h.clients, client)
	return client
}

// getRequest returns a read request with an unused id. Each of headerLines ends with CRLF.
func (h *harness) getRequest(headerLines ...string) string {
	h.requestCount++
	return h.formatRequest("GET", "card-read", fmt.Sprintf("%016x", h.requestCount), "0.480", "", headerLines...)
}

func (h *harness) formatRequest(method, class, id, timeout, body string, headerLines ...string) string {
	contentLength := ""
	if body != "" {
		contentLength = fmt.Sprintf("Content-Length: %d\r\n", len(body))
	}
	return fmt.Sprintf("%s /%s/00000003b4d60021/7f3a9c21e0b4d655 HTTP/1.1\r\nHost: api.internal\r\nRequest-Id: %s\r\nX-Qos-Policy: gold\r\nRequest-Timeout: %s\r\n%sX-Placement: units=2,shard=0,hosts=1\r\n%s\r\n%s",
		method, class, id, timeout, contentLength, strings.Join(headerLines, ""), body)
}

// clientResponse is a response of the scheduler; status 0 means that the connection ended, or
// the read timed out, before a complete response.
type clientResponse struct {
	status    int
	body      string
	fields    http1.Fields
	closeConn bool
	elapsed   time.Duration
}

func (c *testClient) roundTrip(rawRequest string) clientResponse {
	startedAt := c.environment.Now()
	io.WriteString(c.conn, rawRequest)
	return c.readResponse(startedAt)
}

// readResponse reads the next response. Its elapsed time counts from startedAt.
func (c *testClient) readResponse(startedAt time.Duration) clientResponse {
	c.conn.SetReadDeadline(c.environment.Deadline(20 * time.Second))
	response, body, err := http1.ReadWholeResponse(c.reader, responseLimits)
	if http1.IsMessageError(err) {
		panic(err)
	}
	if err != nil {
		return clientResponse{elapsed: c.environment.Now() - startedAt}
	}
	return clientResponse{response.Status, string(body), response.Fields, response.Close(), c.environment.Now() - startedAt}
}

// respondWith returns a disk server's handler that sends rawResponse after 20 ms.
func respondWith(rawResponse string) func(standin.HTTPRequest) standin.HTTPResponse {
	return func(standin.HTTPRequest) standin.HTTPResponse {
		return standin.HTTPResponse{Delay: 20 * time.Millisecond, Raw: []byte(rawResponse)}
	}
}

func TestResponsesAreForwarded(t *testing.T) {
	runSimulated(t, respondWith(ok200), func(h *harness) {
		client := h.connect()
		if got := client.roundTrip("GET /up HTTP/1.1\r\n\r\n"); got.status != 200 {
			t.Error("GET /up: want status 200, got", got)
		}
		for range 3 {
			if got := client.roundTrip(h.getRequest()); got.status != 200 || got.body != "hi" || got.closeConn {
				t.Error(got)
			}
		}
		got := client.roundTrip(h.formatRequest("PUT", "txn-write", "00000000000000aa", "0.480", "block", "Idempotency-Key: k1\r\n"))
		if got.status != 200 {
			t.Error(got)
		}
		received := h.diskServer.Requests()
		last := received[len(received)-1]
		if len(received) != 4 || last.Conn != 0 || last.Method != "PUT" || last.Target != "/txn-write/00000003b4d60021/7f3a9c21e0b4d655" ||
			string(last.Body) != "block" || last.Fields.Get("request-id") != "00000000000000aa" ||
			last.Fields.Get("idempotency-key") != "k1" || last.Fields.Get("request-timeout") == "" {
			t.Errorf("disk server got %d requests, want 4 on one connection; the last: %+v, body %q, want the client's PUT", len(received), last.Request, last.Body)
		}
	})
}

// A malformed or truncated response, or one followed by other bytes, must fail the attempt and not
// reach the client.
func TestMalformedResponsesAreNotForwarded(t *testing.T) {
	for name, rawResponse := range map[string]string{
		"noise":            "\x00\x7f\x01 noise\r\n\r\n",
		"oversized head":   "HTTP/1.1 200 OK\r\nX: " + strings.Repeat("y", 40<<10),
		"3 GB body":        "HTTP/1.1 200 OK\r\nContent-Length: 3221225472\r\n\r\nhihihi",
		"3 GB chunk":       "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nc0000000\r\nhihihi",
		"negative length":  "HTTP/1.1 200 OK\r\nContent-Length: -2\r\n\r\nhi",
		"two lengths":      "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 1\r\n\r\nhi",
		"length too small": "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nhi",
		"length too large": "HTTP/1.1 200 OK\r\nContent-Length: 200\r\n\r\nhi",
		"overlong chunk":   "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nhi\r\n0\r\n\r\n",
		"no length":        "HTTP/1.1 200 OK\r\n\r\nhi",
	} {
		t.Run(name, func(t *testing.T) {
			respond := func(request standin.HTTPRequest) standin.HTTPResponse {
				if request.Conn == 0 {
					return standin.HTTPResponse{Raw: []byte(rawResponse)}
				}
				return standin.HTTPResponse{Raw: []byte(ok200)}
			}
			runSimulated(t, respond, func(h *harness) {
				got := h.connect().roundTrip(strings.Replace(h.getRequest(), "0.480", "1.900", 1))
				// These end only with the attempt's timeout, too late for a retry: the disk server
				// keeps the connection open, and a body without a length extends to the close
				// (RFC 9112, section 6.3).
				if name == "length too large" || name == "no length" {
					if got.status != 503 || h.scheduler.core.counters.Outcomes[policy.NoAnswer] != 1 {
						t.Error(got)
					}
					return
				}
				if attempts := len(h.diskServer.Requests()); got.status != 200 || got.body != "hi" || attempts != 2 {
					t.Error(got, attempts, "attempts")
				}
			})
		})
	}
}

// Bytes that follow a complete response, at once or a few milliseconds later, must not be taken for
// the response to the next request.
func TestSurplusBytesAreDiscarded(t *testing.T) {
	for _, delay := range []time.Duration{0, 5 * time.Millisecond} {
		respond := func(request standin.HTTPRequest) standin.HTTPResponse {
			body := request.Fields.Get("request-id")
			response := fmt.Sprintf("HTTP/1.1 103 Hints\r\n\r\nHTTP/1.1 200 OK\r\nX-Iops-Used: many\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
			return standin.HTTPResponse{Raw: []byte(response), Extra: []byte(response), ExtraDelay: delay}
		}
		runSimulated(t, respond, func(h *harness) {
			client := h.connect()
			for range 20 {
				got := client.roundTrip(h.getRequest())
				if want := fmt.Sprintf("%016x", h.requestCount); got.status != 200 || got.body != want {
					t.Errorf("surplus after %s: got %+v, want status 200 with body %s", delay, got, want)
				}
			}
		})
	}
}

// A client that sends an invalid or incomplete request, or nothing, gets an error or a close within
// 3 s, and nothing is forwarded.
func TestBadClientsGetAnErrorOrAClose(t *testing.T) {
	runSimulated(t, respondWith(ok200), func(h *harness) {
		valid := h.getRequest()
		for name, rawRequest := range map[string]string{
			"noise":         "\x16\x03\x01\x00\xff\r\n\r\n",
			"nothing":       "",
			"partial head":  "GET /card-read HTTP/1.1\r\nA: b\r\n",
			"stray byte":    h.formatRequest("PUT", "txn-write", "00000000000000b0", "0.4", "") + "x",
			"huge length":   strings.Replace(valid, "Host:", "Content-Length: 60000000\r\nHost:", 1),
			"both lengths":  strings.Replace(valid, "Host:", "Content-Length: 4\r\nTransfer-Encoding: chunked\r\nHost:", 1) + "0\r\n\r\n",
			"unknown class": strings.Replace(valid, "card-read", "card-reed", 1),
			"unknown plan":  strings.Replace(valid, "gold", "lead", 1),
			"bad timeout":   strings.Replace(valid, "0.480", "soon", 1),
			"NaN timeout":   strings.Replace(valid, "0.480", "NaN", 1),
			"timeout < 0":   strings.Replace(valid, "0.480", "-1", 1),
			"no id":         strings.Replace(valid, "Request-Id", "Requested", 1),
			"two ids":       strings.Replace(valid, "Host:", "Request-Id: 00000000000000cc\r\nHost:", 1),
			"units range":   strings.Replace(valid, "units=2", "units=1e9", 1),
			"shard range":   strings.Replace(valid, "shard=0", "shard=99", 1),
			"volume name":   strings.Replace(valid, "00000003b4d60021", "..", 1),
			"no key":        h.formatRequest("PUT", "txn-write", "00000000000000b1", "0.4", "x"),
			"GET with body": h.formatRequest("GET", "card-read", "00000000000000b2", "0.4", "x"),
			"bad method":    h.formatRequest("DELETE", "card-read", "00000000000000b3", "0.4", ""),
			"two lengths":   strings.Replace(valid, "Host:", "Content-Length: 0\r\nContent-Length: 0\r\nHost:", 1),
		} {
			got := h.connect().roundTrip(rawRequest)
			if got.status != 0 && got.status < 400 || got.elapsed > 3*time.Second {
				t.Errorf("%s: got %+v, want an error status or a close within 3 s", name, got)
			}
		}
		if forwarded := len(h.diskServer.Requests()); forwarded > 0 {
			t.Errorf("disk server got %d requests, want 0; the first: %+v", forwarded, h.diskServer.Requests()[0].Request)
		}
	})
}

// A client may write slowly once it has had a response. Before that, a request that is incomplete
// after 3 s is rejected, however the client spreads its bytes.
func TestSlowWriters(t *testing.T) {
	runSimulated(t, respondWith(ok200), func(h *harness) {
		writeSlowly := func(client *testClient, rawRequest string, duration time.Duration) clientResponse {
			startedAt := h.environment.Now()
			for i := range rawRequest {
				if _, err := io.WriteString(client.conn, rawRequest[i:i+1]); err != nil {
					break
				}
				env.Sleep(h.environment, duration/time.Duration(len(rawRequest)), nil)
			}
			return client.readResponse(startedAt)
		}
		client := h.connect()
		if got := client.roundTrip(h.getRequest()); got.status != 200 {
			t.Fatal(got)
		}
		if got := writeSlowly(client, h.getRequest(), 3*time.Second); got.status != 200 {
			t.Error("slow request after a response: want status 200, got", got)
		}
		if got := writeSlowly(h.connect(), h.getRequest(), 2*time.Second); got.status != 200 {
			t.Error("first request written in 2 s: want status 200, got", got)
		}
		incomplete := h.connect()
		startedAt := h.environment.Now()
		env.Sleep(h.environment, 900*time.Millisecond, nil)
		io.WriteString(incomplete.conn, "GET /up HT")
		if got := incomplete.readResponse(startedAt); got.status != 408 || got.elapsed > 3*time.Second {
			t.Errorf("incomplete first request: got %+v, want status 408 within 3 s", got)
		}
	})
}

// A request id in use, or used before, is rejected with status 409 on another connection.
func TestAnIdNamesOneRequest(t *testing.T) {
	runSimulated(t, respondWith(ok200), func(h *harness) {
		rawRequest := h.getRequest()
		owner, other := h.connect(), h.connect()
		io.WriteString(owner.conn, rawRequest)
		env.Sleep(h.environment, 5*time.Millisecond, nil)
		if got := other.roundTrip(rawRequest); got.status != 409 {
			t.Error("duplicate id while the request is open: want status 409, got", got)
		}
		if got := owner.readResponse(0); got.status != 200 {
			t.Error("original request: want status 200, got", got)
		}
		if got := h.connect().roundTrip(rawRequest); got.status != 409 {
			t.Error("duplicate id after the response: want status 409, got", got)
		}
		if n := len(h.diskServer.Requests()); n != 1 {
			t.Errorf("sent %d times, want once", n)
		}
	})
}

// Idle connections, with or without an earlier request, must not keep new clients out.
func TestSilentConnectionsGiveWay(t *testing.T) {
	runSimulated(t, respondWith(ok200), func(h *harness) {
		for i := range 100 {
			client := h.connect()
			if i%2 == 0 {
				rawRequest := h.getRequest()
				h.environment.Go(func() { client.roundTrip(rawRequest) })
			}
		}
		if got := h.connect().roundTrip(h.getRequest()); got.status != 200 || got.elapsed > time.Second {
			t.Error(got)
		}
		if n := h.scheduler.frontend.clientCount(); n > h.scheduler.frontend.maxClients {
			t.Errorf("%d connections are open, want at most %d", n, h.scheduler.frontend.maxClients)
		}
	})
}

// During a drain open connections are served almost to the end of the grace period. The scheduler
// then ends before the kill with every request answered.
func TestDrainServesOpenConnectionsToTheEnd(t *testing.T) {
	runSimulated(t, respondWith(ok200), func(h *harness) {
		client := h.connect()
		client.roundTrip(h.getRequest())
		startedAt := h.environment.Now()
		h.environment.Go(h.scheduler.Drain)
		served, lastServedAt := 0, time.Duration(0)
		for {
			env.Sleep(h.environment, 10*time.Millisecond, nil)
			got := client.roundTrip(h.getRequest())
			if got.status != 200 {
				break // the connection was closed between two requests
			}
			served, lastServedAt = served+1, h.environment.Now()-startedAt
			if got.closeConn {
				break
			}
		}
		h.scheduler.Wait()
		if duration := h.environment.Now() - startedAt; lastServedAt < 2500*time.Millisecond || duration > 3700*time.Millisecond {
			t.Errorf("served %d requests, the last after %s, want 2.5 s or more; ended after %s, want at most 3.7 s", served, lastServedAt, duration)
		}
		if _, err := h.environment.Dial(context.Background(), "tcp", h.schedulerAddr, time.Second); err == nil {
			t.Error("dial succeeded after the drain, want an error")
		}
		if counters := h.scheduler.core.counters; counters.Taken != uint64(served)+1 || counters.Served != counters.Taken {
			t.Errorf("client got %d responses, want the counters Taken and Served equal to that: %+v", served+1, counters)
		}
		h.scheduler = h.startScheduler(fullListJSON(7))
	})
}

// A reload with another discovery address opens the watch there, from the last version received.
func TestReloadChangesDiscoveryAddress(t *testing.T) {
	runSimulated(t, respondWith(ok200), func(h *harness) {
		h.discovery.Broadcast(`{"seq":9,"whole":false,"hosts":[]}`)
		newDiscovery, err := standin.ServeHTTPDiscovery(h.environment, fullListJSON(11, entryJSON("s1", h.diskServer.Addr, "active", 0)))
		if err != nil {
			panic(err)
		}
		env.Sleep(h.environment, 50*time.Millisecond, nil)
		config, err := ParseConfig([]byte(testConfig(h.schedulerAddr, newDiscovery.Addr, fullListJSON(0))), func(string) string { return "" })
		if err != nil {
			panic(err)
		}
		h.scheduler.Reload(config)
		env.Sleep(h.environment, 500*time.Millisecond, nil)
		if got := newDiscovery.Targets(); len(got) != 1 || got[0] != "/discovery/hosts?stream=1&index=9" {
			t.Error(got)
		}
		if got := h.connect().roundTrip(h.getRequest()); got.status != 200 {
			t.Error(got)
		}
		var hosts []string
		h.scheduler.loop.post(h.scheduler.loop.now(), eventStop, func(float64) {
			for host := range h.scheduler.core.servers {
				hosts = append(hosts, host)
			}
		})
		env.Sleep(h.environment, time.Millisecond, nil)
		if len(hosts) != 1 || hosts[0] != "s1" {
			t.Error("want the servers [s1], got", hosts)
		}
		newDiscovery.Close()
	})
}

// A client that disconnects ends its request, and neither the request nor the connection is kept.
func TestAClientThatLeaves(t *testing.T) {
	runSimulated(t, respondWith(ok200), func(h *harness) {
		client := h.connect()
		io.WriteString(client.conn, h.getRequest())
		env.Sleep(h.environment, 5*time.Millisecond, nil)
		client.conn.Close()
		env.Sleep(h.environment, 200*time.Millisecond, nil)
		if n := h.scheduler.frontend.clientCount(); n != 0 {
			t.Errorf("%d client connections remain, want 0", n)
		}
		if k := h.scheduler.core; len(k.calls) != 0 || k.counters.Gone != 1 {
			t.Errorf("%d calls remain, want 0; counters %+v, want Gone 1", len(k.calls), k.counters)
		}
	})
}

// Idle connections to disk servers are closed before the servers would close them.
func TestIdleServerConnectionsAreClosed(t *testing.T) {
	runSimulated(t, respondWith(ok200), func(h *harness) {
		client := h.connect()
		client.roundTrip(h.getRequest())
		env.Sleep(h.environment, 25*time.Second, nil)
		if n := h.scheduler.pool.connCount; n != 0 {
			t.Errorf("%d connections to disk servers are open, want 0", n)
		}
		if got := h.connect().roundTrip(h.getRequest()); got.status != 200 {
			t.Error(got)
		}
	})
}

func TestConfigErrorsNameTheField(t *testing.T) {
	valid := testConfig("127.0.0.1:5000", "127.0.0.1:8500", fullListJSON(1, entryJSON("s0", "x:1", "active", 0)))
	getenv := func(string) string { return "" }
	if c, err := ParseConfig([]byte(valid), getenv); err != nil || c.Seed != 0x8c1f30d27a5be964 || c.Limits.Sockets != 64 || c.Timeouts.DialTimeout != 250 || len(c.Known.Entries) != 1 {
		t.Fatalf("ParseConfig: got %+v, error %v, want the fields of the file", c, err)
	}
	for path, replacement := range map[string][2]string{
		"listen":                             {`"listen":"127.0.0.1:5000"`, `"listen":""`},
		"discovery":                          {`"discovery":"127.0.0.1:8500"`, `"discovery":""`},
		"seed":                               {"8c1f30d27a5be964", "xyz"},
		"limits.memory_mb":                   {`"memory_mb":64`, `"memory_mb":"64"`},
		"known":                              {`"health":"active"`, `"health":"well"`},
		"settings.request_classes[1].aim_ms": {`"aim_ms":500`, `"aim_ms":-1`},
		"settings":                           {`"settings":`, `"setting":`},
	} {
		invalid := strings.Replace(valid, replacement[0], replacement[1], 1)
		_, err := ParseConfig([]byte(invalid), getenv)
		if err == nil || !strings.HasPrefix(err.Error(), "configuration: "+path) {
			t.Errorf("field %s: got error %v, want one that names the field", path, err)
		}
	}
	var withoutListen map[string]any
	if err := json.Unmarshal([]byte(valid), &withoutListen); err != nil {
		t.Fatal(err)
	}
	delete(withoutListen, "listen")
	data, _ := json.Marshal(withoutListen)
	config, err := ParseConfig(data, func(name string) string { return map[string]string{"ROUTER_LISTEN": "1.2.3.4:5"}[name] })
	if err != nil || config.Listen != "1.2.3.4:5" {
		t.Error(config, err)
	}
}
