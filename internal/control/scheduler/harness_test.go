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

func testConfig(listen, discovery, known string) string {
	return fmt.Sprintf(`{"name":"n0","listen":%q,"discovery":%q,"seed":"8c1f30d27a5be964",
"limits":{"cores":1,"memory_mb":64,"sockets":64},"known":%s,"settings":%s}`, listen, discovery, known, testSettings)
}

func fullListJSON(seq int, entries ...string) string {
	return fmt.Sprintf(`{"seq":%d,"whole":true,"hosts":[%s]}`, seq, strings.Join(entries, ","))
}

func entryJSON(host, dial, health string, block int) string {
	return fmt.Sprintf(`{"host":%q,"dial":%q,"site":"a","class":"m","block":%d,"health":%q,"share":1.0,"born_ms":0}`, host, dial, block, health)
}

const ok200 = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi"

// harness is one scheduler, a simulated disk server and discovery in a virtual world.
type harness struct {
	t             *testing.T
	environment   env.Environment
	diskServer    *standin.HTTPDisk
	discovery     *standin.HTTPList
	scheduler     *Scheduler
	schedulerAddr string
	requestCount  int

	gates   []*env.Gate // opened at the end
	mu      sync.Mutex
	clients []*testClient // all clients: one that nothing refers to is closed by the garbage collector
}

// runSimulated runs f on a scene whose disk server does as it is told.
func runSimulated(t *testing.T, do func(standin.HTTPAsk) standin.HTTPAnswer, f func(*harness)) {
	t.Helper()
	v := world.New(1)
	v.Net.Delay = 100 * time.Microsecond
	err := v.Run("n0", 10*time.Minute, func(p *world.Process) {
		sc := &harness{t: t, environment: p, schedulerAddr: "127.0.0.1:5000"}
		var err error
		if sc.diskServer, err = standin.ServeHTTPDisk(p, do); err != nil {
			panic(err)
		}
		first := fullListJSON(7, entryJSON("s0", sc.diskServer.Addr, "active", 0))
		if sc.discovery, err = standin.ServeHTTPList(p, first); err != nil {
			panic(err)
		}
		sc.scheduler = sc.startScheduler(first)
		f(sc)
		sc.scheduler.Close()
		sc.diskServer.Close()
		sc.discovery.Close()
	})
	if err != nil {
		t.Fatal(err)
	}
}

func (sc *harness) startScheduler(known string) *Scheduler {
	c, err := ParseConfig([]byte(testConfig(sc.schedulerAddr, sc.discovery.Addr, known)), func(string) string { return "" })
	if err != nil {
		panic(err)
	}
	s, err := Start(sc.environment, c, zap.NewNop())
	if err != nil {
		panic(err)
	}
	env.Sleep(sc.environment, 50*time.Millisecond, nil)
	return s
}

// testClient is a client's connection.
type testClient struct {
	w      env.Environment
	conn   net.Conn
	reader *bufio.Reader
}

func (sc *harness) connect() *testClient {
	c, err := sc.environment.Dial(context.Background(), "tcp", sc.schedulerAddr, time.Second)
	if err != nil {
		panic(err)
	}
	p := &testClient{sc.environment, c, bufio.NewReader(c)}
	sc.mu.Lock()
	defer sc.mu.Unlock()
	sc.clients = append(sc.clients, p)
	return p
}

// getRequest is a read with an id of its own; more are further fields.
func (sc *harness) getRequest(more ...string) string {
	sc.requestCount++
	return sc.formatRequest("GET", "card-read", fmt.Sprintf("%016x", sc.requestCount), "0.480", "", more...)
}

func (sc *harness) formatRequest(method, class, id, timeout, body string, more ...string) string {
	length := ""
	if body != "" {
		length = fmt.Sprintf("Content-Length: %d\r\n", len(body))
	}
	return fmt.Sprintf("%s /%s/00000003b4d60021/7f3a9c21e0b4d655 HTTP/1.1\r\nHost: api.internal\r\nRequest-Id: %s\r\nX-Qos-Policy: gold\r\nRequest-Timeout: %s\r\n%sX-Placement: units=2,shard=0,hosts=1\r\n%s\r\n%s",
		method, class, id, timeout, length, strings.Join(more, ""), body)
}

// clientResponse is an answer; status 0 if the connection ended without one.
type clientResponse struct {
	status    int
	body      string
	fields    http1.Fields
	closeConn bool
	elapsed   time.Duration
}

func (p *testClient) roundTrip(raw string) clientResponse {
	from := p.w.Now()
	io.WriteString(p.conn, raw)
	return p.readResponse(from)
}

func (p *testClient) readResponse(from time.Duration) clientResponse {
	p.conn.SetReadDeadline(p.w.Deadline(20 * time.Second))
	m, b, err := http1.ReadWholeResponse(p.reader, responseLimits)
	if http1.IsMessageError(err) {
		panic(err)
	}
	if err != nil {
		return clientResponse{elapsed: p.w.Now() - from}
	}
	return clientResponse{m.Status, string(b), m.Fields, m.Close(), p.w.Now() - from}
}

func respondWith(raw string) func(standin.HTTPAsk) standin.HTTPAnswer {
	return func(standin.HTTPAsk) standin.HTTPAnswer {
		return standin.HTTPAnswer{After: 20 * time.Millisecond, Raw: []byte(raw)}
	}
}

func TestResponsesAreForwarded(t *testing.T) {
	runSimulated(t, respondWith(ok200), func(sc *harness) {
		p := sc.connect()
		if got := p.roundTrip("GET /up HTTP/1.1\r\n\r\n"); got.status != 200 {
			t.Error("not ready:", got)
		}
		for range 3 {
			if got := p.roundTrip(sc.getRequest()); got.status != 200 || got.body != "hi" || got.closeConn {
				t.Error(got)
			}
		}
		got := p.roundTrip(sc.formatRequest("PUT", "txn-write", "00000000000000aa", "0.480", "block", "Idempotency-Key: k1\r\n"))
		if got.status != 200 {
			t.Error(got)
		}
		asked := sc.diskServer.Asked()
		last := asked[len(asked)-1]
		if len(asked) != 4 || last.Conn != 0 || last.Method != "PUT" || last.Target != "/txn-write/00000003b4d60021/7f3a9c21e0b4d655" ||
			string(last.Body) != "block" || last.Fields.Get("request-id") != "00000000000000aa" ||
			last.Fields.Get("idempotency-key") != "k1" || last.Fields.Get("request-timeout") == "" {
			t.Errorf("%d requests, the last %+v %q", len(asked), last.Request, last.Body)
		}
	})
}

// An answer that is not whole and alone is a failed attempt: never a client's answer.
func TestMalformedResponsesAreNotForwarded(t *testing.T) {
	for name, raw := range map[string]string{
		"noise":            "\x00\x7f\x01 noise\r\n\r\n",
		"head never ends":  "HTTP/1.1 200 OK\r\nX: " + strings.Repeat("y", 40<<10),
		"3 GB":             "HTTP/1.1 200 OK\r\nContent-Length: 3221225472\r\n\r\nhihihi",
		"3 GB in chunks":   "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nc0000000\r\nhihihi",
		"negative":         "HTTP/1.1 200 OK\r\nContent-Length: -2\r\n\r\nhi",
		"two lengths":      "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 1\r\n\r\nhi",
		"less than it is":  "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nhi",
		"more than it is":  "HTTP/1.1 200 OK\r\nContent-Length: 200\r\n\r\nhi",
		"chunk too long":   "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nhi\r\n0\r\n\r\n",
		"no length at all": "HTTP/1.1 200 OK\r\n\r\nhi",
	} {
		t.Run(name, func(t *testing.T) {
			do := func(a standin.HTTPAsk) standin.HTTPAnswer {
				if a.Conn == 0 {
					return standin.HTTPAnswer{Raw: []byte(raw)}
				}
				return standin.HTTPAnswer{Raw: []byte(ok200)}
			}
			runSimulated(t, do, func(sc *harness) {
				got := sc.connect().roundTrip(strings.Replace(sc.getRequest(), "0.480", "1.900", 1))
				// Both are seen only when their time is up, and then it is late: a body without
				// length lasts to the close (RFC 9112, 6.3), and this connection stays open.
				if name == "more than it is" || name == "no length at all" {
					if got.status != 503 || sc.scheduler.core.counters.Outcomes[policy.NoAnswer] != 1 {
						t.Error(got)
					}
					return
				}
				if n := len(sc.diskServer.Asked()); got.status != 200 || got.body != "hi" || n != 2 {
					t.Error(got, n, "attempts")
				}
			})
		})
	}
}

// What comes behind a good answer, at once or some milliseconds late, is nobody's: its
// connection takes nothing more.
func TestSurplusBytesAreDiscarded(t *testing.T) {
	for _, late := range []time.Duration{0, 5 * time.Millisecond} {
		do := func(a standin.HTTPAsk) standin.HTTPAnswer {
			body := a.Fields.Get("request-id")
			whole := fmt.Sprintf("HTTP/1.1 103 Hints\r\n\r\nHTTP/1.1 200 OK\r\nX-Iops-Used: many\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
			return standin.HTTPAnswer{Raw: []byte(whole), Behind: []byte(whole), Late: late}
		}
		runSimulated(t, do, func(sc *harness) {
			p := sc.connect()
			for range 20 {
				got := p.roundTrip(sc.getRequest())
				if want := fmt.Sprintf("%016x", sc.requestCount); got.status != 200 || got.body != want {
					t.Errorf("%s late: %+v, want %s", late, got, want)
				}
			}
		})
	}
}

// Who sends what is no request, or nothing, gets an error or a close within 3 s.
func TestBadClientsGetAnErrorOrAClose(t *testing.T) {
	runSimulated(t, respondWith(ok200), func(sc *harness) {
		good := sc.getRequest()
		for name, raw := range map[string]string{
			"noise":         "\x16\x03\x01\x00\xff\r\n\r\n",
			"nothing":       "",
			"head never":    "GET /card-read HTTP/1.1\r\nA: b\r\n",
			"half a body":   sc.formatRequest("PUT", "txn-write", "00000000000000b0", "0.4", "") + "x",
			"huge":          strings.Replace(good, "Host:", "Content-Length: 60000000\r\nHost:", 1),
			"both lengths":  strings.Replace(good, "Host:", "Content-Length: 4\r\nTransfer-Encoding: chunked\r\nHost:", 1) + "0\r\n\r\n",
			"class":         strings.Replace(good, "card-read", "card-reed", 1),
			"plan":          strings.Replace(good, "gold", "lead", 1),
			"no deadline":   strings.Replace(good, "0.480", "soon", 1),
			"nan":           strings.Replace(good, "0.480", "NaN", 1),
			"negative":      strings.Replace(good, "0.480", "-1", 1),
			"no id":         strings.Replace(good, "Request-Id", "Requested", 1),
			"two ids":       strings.Replace(good, "Host:", "Request-Id: 00000000000000cc\r\nHost:", 1),
			"units":         strings.Replace(good, "units=2", "units=1e9", 1),
			"shard":         strings.Replace(good, "shard=0", "shard=99", 1),
			"volume":        strings.Replace(good, "00000003b4d60021", "..", 1),
			"no key":        sc.formatRequest("PUT", "txn-write", "00000000000000b1", "0.4", "x"),
			"read a body":   sc.formatRequest("GET", "card-read", "00000000000000b2", "0.4", "x"),
			"other method":  sc.formatRequest("DELETE", "card-read", "00000000000000b3", "0.4", ""),
			"length repeat": strings.Replace(good, "Host:", "Content-Length: 0\r\nContent-Length: 0\r\nHost:", 1),
		} {
			got := sc.connect().roundTrip(raw)
			if got.status != 0 && got.status < 400 || got.elapsed > 3*time.Second {
				t.Errorf("%s: %+v", name, got)
			}
		}
		if n := len(sc.diskServer.Asked()); n > 0 {
			t.Errorf("%d of them came to the disk server: %+v", n, sc.diskServer.Asked()[0].Request)
		}
	})
}

// Who had an answer may write slowly; who has not is turned away within 3 s, however it
// spreads its bytes.
func TestSlowWriters(t *testing.T) {
	runSimulated(t, respondWith(ok200), func(sc *harness) {
		drip := func(p *testClient, raw string, over time.Duration) clientResponse {
			from := sc.environment.Now()
			for i := range raw {
				if _, err := io.WriteString(p.conn, raw[i:i+1]); err != nil {
					break
				}
				env.Sleep(sc.environment, over/time.Duration(len(raw)), nil)
			}
			return p.readResponse(from)
		}
		p := sc.connect()
		if got := p.roundTrip(sc.getRequest()); got.status != 200 {
			t.Fatal(got)
		}
		if got := drip(p, sc.getRequest(), 3*time.Second); got.status != 200 {
			t.Error("after an answer:", got)
		}
		if got := drip(sc.connect(), sc.getRequest(), 2*time.Second); got.status != 200 {
			t.Error("a first request in time:", got)
		}
		q := sc.connect()
		from := sc.environment.Now()
		env.Sleep(sc.environment, 900*time.Millisecond, nil)
		io.WriteString(q.conn, "GET /up HT")
		if got := q.readResponse(from); got.status != 408 || got.elapsed > 3*time.Second {
			t.Errorf("a first request that never ends: %+v", got)
		}
	})
}

// The id of a request that is open, or was, is not served for another client.
func TestAnIdNamesOneRequest(t *testing.T) {
	runSimulated(t, respondWith(ok200), func(sc *harness) {
		raw := sc.getRequest()
		p, thief := sc.connect(), sc.connect()
		io.WriteString(p.conn, raw)
		env.Sleep(sc.environment, 5*time.Millisecond, nil)
		if got := thief.roundTrip(raw); got.status != 409 {
			t.Error("while it is open:", got)
		}
		if got := p.readResponse(0); got.status != 200 {
			t.Error("its own:", got)
		}
		if got := sc.connect().roundTrip(raw); got.status != 409 {
			t.Error("after it:", got)
		}
		if n := len(sc.diskServer.Asked()); n != 1 {
			t.Errorf("sent %d times", n)
		}
	})
}

// Connections that say nothing, or asked once and stay, keep nobody out.
func TestSilentConnectionsGiveWay(t *testing.T) {
	runSimulated(t, respondWith(ok200), func(sc *harness) {
		for i := range 100 {
			p := sc.connect()
			if i%2 == 0 {
				raw := sc.getRequest()
				sc.environment.Go(func() { p.roundTrip(raw) })
			}
		}
		if got := sc.connect().roundTrip(sc.getRequest()); got.status != 200 || got.elapsed > time.Second {
			t.Error(got)
		}
		if n := sc.scheduler.frontend.clientCount(); n > sc.scheduler.frontend.maxClients {
			t.Errorf("%d connections of %d", n, sc.scheduler.frontend.maxClients)
		}
	})
}

// After SIGTERM open connections are served until the last answers have just time, and
// then everything ends before the kill with nothing left unanswered.
func TestDrainServesOpenConnectionsToTheEnd(t *testing.T) {
	runSimulated(t, respondWith(ok200), func(sc *harness) {
		p := sc.connect()
		p.roundTrip(sc.getRequest())
		from := sc.environment.Now()
		sc.environment.Go(sc.scheduler.Drain)
		served, last := 0, time.Duration(0)
		for {
			env.Sleep(sc.environment, 10*time.Millisecond, nil)
			got := p.roundTrip(sc.getRequest())
			if got.status != 200 {
				break // it was closed between two requests
			}
			served, last = served+1, sc.environment.Now()-from
			if got.closeConn {
				break
			}
		}
		sc.scheduler.Wait()
		if took := sc.environment.Now() - from; last < 2500*time.Millisecond || took > 3700*time.Millisecond {
			t.Errorf("served %d until %s, ended after %s", served, last, took)
		}
		if _, err := sc.environment.Dial(context.Background(), "tcp", sc.schedulerAddr, time.Second); err == nil {
			t.Error("it still listens")
		}
		if n := sc.scheduler.core.counters; n.Taken != uint64(served)+1 || n.Served != n.Taken {
			t.Errorf("%d answers came, %+v", served+1, n)
		}
		sc.scheduler = sc.startScheduler(fullListJSON(7))
	})
}

// A reload moves the watch; it goes on from the version held.
func TestReloadChangesDiscoveryAddress(t *testing.T) {
	runSimulated(t, respondWith(ok200), func(sc *harness) {
		sc.discovery.Say(`{"seq":9,"whole":false,"hosts":[]}`)
		other, err := standin.ServeHTTPList(sc.environment, fullListJSON(11, entryJSON("s1", sc.diskServer.Addr, "active", 0)))
		if err != nil {
			panic(err)
		}
		env.Sleep(sc.environment, 50*time.Millisecond, nil)
		c, err := ParseConfig([]byte(testConfig(sc.schedulerAddr, other.Addr, fullListJSON(0))), func(string) string { return "" })
		if err != nil {
			panic(err)
		}
		sc.scheduler.Reload(c)
		env.Sleep(sc.environment, 500*time.Millisecond, nil)
		if got := other.Targets(); len(got) != 1 || got[0] != "/discovery/hosts?stream=1&index=9" {
			t.Error(got)
		}
		if got := sc.connect().roundTrip(sc.getRequest()); got.status != 200 {
			t.Error(got)
		}
		var held []string
		sc.scheduler.loop.post(sc.scheduler.loop.now(), eventStop, func(float64) {
			for h := range sc.scheduler.core.servers {
				held = append(held, h)
			}
		})
		env.Sleep(sc.environment, time.Millisecond, nil)
		if len(held) != 1 || held[0] != "s1" {
			t.Error("held:", held)
		}
		other.Close()
	})
}

// A client that leaves takes its request along; its connection leaves nothing behind.
func TestAClientThatLeaves(t *testing.T) {
	runSimulated(t, respondWith(ok200), func(sc *harness) {
		p := sc.connect()
		io.WriteString(p.conn, sc.getRequest())
		env.Sleep(sc.environment, 5*time.Millisecond, nil)
		p.conn.Close()
		env.Sleep(sc.environment, 200*time.Millisecond, nil)
		if n := sc.scheduler.frontend.clientCount(); n != 0 {
			t.Errorf("%d connections are left", n)
		}
		if k := sc.scheduler.core; len(k.calls) != 0 || k.counters.Gone != 1 {
			t.Errorf("%d calls, %+v", len(k.calls), k.counters)
		}
	})
}

// Connections to disk servers are closed before the servers close them.
func TestIdleServerConnectionsAreClosed(t *testing.T) {
	runSimulated(t, respondWith(ok200), func(sc *harness) {
		p := sc.connect()
		p.roundTrip(sc.getRequest())
		env.Sleep(sc.environment, 25*time.Second, nil)
		if n := sc.scheduler.pool.connCount; n != 0 {
			t.Errorf("%d connections are open", n)
		}
		if got := sc.connect().roundTrip(sc.getRequest()); got.status != 200 {
			t.Error(got)
		}
	})
}

func TestConfigErrorsNameTheField(t *testing.T) {
	good := testConfig("127.0.0.1:5000", "127.0.0.1:8500", fullListJSON(1, entryJSON("s0", "x:1", "active", 0)))
	env := func(string) string { return "" }
	if c, err := ParseConfig([]byte(good), env); err != nil || c.Seed != 0x8c1f30d27a5be964 || c.Limits.Sockets != 64 || c.Timeouts.DialTimeout != 250 || len(c.Known.Entries) != 1 {
		t.Fatalf("%+v %v", c, err)
	}
	for path, change := range map[string][2]string{
		"listen":                             {`"listen":"127.0.0.1:5000"`, `"listen":""`},
		"discovery":                          {`"discovery":"127.0.0.1:8500"`, `"discovery":""`},
		"seed":                               {"8c1f30d27a5be964", "xyz"},
		"limits.memory_mb":                   {`"memory_mb":64`, `"memory_mb":"64"`},
		"known":                              {`"health":"active"`, `"health":"well"`},
		"settings.request_classes[1].aim_ms": {`"aim_ms":500`, `"aim_ms":-1`},
		"settings":                           {`"settings":`, `"setting":`},
	} {
		bad := strings.Replace(good, change[0], change[1], 1)
		_, err := ParseConfig([]byte(bad), env)
		if err == nil || !strings.HasPrefix(err.Error(), "configuration: "+path) {
			t.Errorf("%s: %v", path, err)
		}
	}
	var short map[string]any
	if err := json.Unmarshal([]byte(good), &short); err != nil {
		t.Fatal(err)
	}
	delete(short, "listen")
	b, _ := json.Marshal(short)
	c, err := ParseConfig(b, func(name string) string { return map[string]string{"ROUTER_LISTEN": "1.2.3.4:5"}[name] })
	if err != nil || c.Listen != "1.2.3.4:5" {
		t.Error(c, err)
	}
}
