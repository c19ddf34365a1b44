package scheduler

import (
	"bufio"
	"cmp"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"go.uber.org/zap"

	"merlinhitch/internal/runtime/env"
	"merlinhitch/internal/simulation/standin"
	"merlinhitch/internal/simulation/world"
)

// The tests in this file run a scheduler against clients, disk servers and a discovery service with
// many kinds of faults. Each of these records what it sends or receives, and the trace is checked
// against rules that must hold from end to end.

// traceKind is the kind of a traceEvent.
type traceKind string

const (
	requestSent      traceKind = "request"    // a client sent a complete request
	responseReceived traceKind = "response"   // the client got the response; status 0: the connection ended without one
	clientClosed     traceKind = "disconnect" // the client closed the connection before the response
	attemptReceived  traceKind = "attempt"    // a disk server got a complete attempt
	drainAnnounced   traceKind = "drain"      // from here on the scheduler must know that a disk server drains
)

// traceEvent is one event of a trace. Fields that do not apply to its kind are zero.
type traceEvent struct {
	occurredAt time.Duration
	kind       traceKind
	id         string // request id
	class      string
	server     string
	status     int
	body       string
	executed   bool          // the disk server executed the attempt
	timeout    time.Duration // Request-Timeout of the request or attempt
	unread     time.Duration // how long an attempt lay in the disk server's socket
}

// traceRules are the rules that a trace must satisfy.
type traceRules struct {
	drainGrace, dedupWindow, slack time.Duration     // slack is added to each time limit
	maxTimeoutExcess               time.Duration     // limit of an attempt's timeout beyond the time that its client has left
	effects                        map[string]string // by class: safe, keyed (idempotent by key) or unsafe
}

// violations describes each violation of a rule in a trace.
func (r *traceRules) violations(trace []traceEvent) (found []string) {
	report := func(e traceEvent, description string) {
		found = append(found, fmt.Sprintf("%s %s at %s: %s", e.kind, e.id, e.occurredAt, description))
	}
	byID := map[string][]traceEvent{}
	announcements := map[string]time.Duration{}
	for _, e := range trace {
		byID[e.id] = append(byID[e.id], e)
		if e.kind == drainAnnounced {
			announcements[e.server] = e.occurredAt
		}
		if announcedAt, draining := announcements[e.server]; draining && e.kind == attemptReceived && e.occurredAt > announcedAt+r.drainGrace+r.slack {
			report(e, "sent to a draining disk server")
		}
	}
	for id, events := range byID {
		if id != "" {
			r.checkRequest(events, report)
		}
	}
	return found
}

// checkRequest reports the violations in the events of one request.
func (r *traceRules) checkRequest(events []traceEvent, report func(traceEvent, string)) {
	var request, firstExecuted, disconnect, response *traceEvent
	executions := 0
	for i := range events {
		e := &events[i]
		switch e.kind {
		case requestSent:
			request = e
		case clientClosed:
			disconnect = e
			if request != nil && e.occurredAt > request.occurredAt+request.timeout+r.slack {
				report(*e, "not answered by its deadline")
			}
		case responseReceived:
			if response != nil {
				report(*e, "second response")
			}
			if response = e; e.status == 0 {
				report(*e, "connection ended without a response")
			}
			if request != nil && e.occurredAt > request.occurredAt+request.timeout+r.slack {
				report(*e, "response after the deadline")
			}
			if e.status == 200 && e.body != e.id {
				report(*e, "response to another request: "+e.body)
			}
		case attemptReceived:
			if request == nil {
				report(*e, "attempt without a request")
				continue
			}
			if e.timeout > request.occurredAt+request.timeout-e.occurredAt+r.maxTimeoutExcess {
				excess := e.timeout - (request.occurredAt + request.timeout - e.occurredAt)
				report(*e, fmt.Sprintf("Request-Timeout exceeds the client's time left by %s; the attempt lay in the disk server's socket for %s", excess, e.unread))
			}
			if disconnect != nil && e.occurredAt > disconnect.occurredAt+r.slack {
				report(*e, "sent after the client disconnected")
			}
			if response != nil && e.occurredAt > response.occurredAt+r.slack {
				report(*e, "sent after the response")
			}
			if firstExecuted != nil && r.effects[request.class] == "keyed" && e.occurredAt > firstExecuted.occurredAt+r.dedupWindow+r.slack {
				report(*e, "retry after the idempotency key expired")
			}
			if e.executed {
				executions++
				if firstExecuted == nil {
					firstExecuted = e
				}
			}
		}
	}
	switch {
	case request != nil && disconnect == nil && response == nil:
		report(*request, "never answered")
	case request != nil && executions > 1 && r.effects[request.class] == "unsafe":
		report(*request, "unsafe request executed more than once")
	case response != nil && response.status == 503 && executions > 0 && r.effects[request.class] == "unsafe":
		report(*response, "unsafe request refused after it was executed")
	case response != nil && response.status == 200 && executions == 0:
		report(*response, "response without an execution")
	}
}

var scenarioRules = traceRules{drainGrace: 500 * time.Millisecond, dedupWindow: 700 * time.Millisecond, slack: 100 * time.Millisecond,
	maxTimeoutExcess: 150 * time.Millisecond, effects: map[string]string{"look": "safe", "book": "keyed", "pay": "unsafe"}}

// realTimeSlack replaces the slack of scenarioRules in runs on real time, where a busy machine
// delays timers.
const realTimeSlack = 500 * time.Millisecond

const scenarioSettings = `{"balancers":1,"me":0,"tick_ms":2,
"request_classes":[
 {"name":"look","aim_ms":150,"give_up_ms":700,"effect":"read_like","group":"all","worth":1},
 {"name":"book","aim_ms":200,"give_up_ms":1500,"effect":"idempotency_key","group":"cell","key_ttl_ms":700,"worth":2},
 {"name":"pay","aim_ms":200,"give_up_ms":900,"effect":"unsafe","worth":3}],
"grades":[{"name":"gold","price":1,"proportion":1,"rate":500}],
"limits":{"attempts_cap":4,"cancel":true,"may_duplicate":true,"retry_after":true,"max_retry_after_ms":2000,"dial_timeout_ms":250,"conn_idle_ms":3000},
"safety":{"answer_slack_ms":8,"stop_sending_within_ms":500},
"extra":{"unit_mean":2,"largest":6,"slots_total":3}}`

// slowDialEnv delays one dial in three by up to 240 ms.
type slowDialEnv struct {
	env.Environment
	mu  sync.Mutex
	rng *rand.Rand
}

func (e *slowDialEnv) Dial(ctx context.Context, network, address string, timeout time.Duration) (net.Conn, error) {
	conn, err := e.Environment.Dial(ctx, network, address, timeout)
	e.mu.Lock()
	delay := time.Duration(0)
	if e.rng.IntN(3) == 0 {
		delay = time.Duration(e.rng.IntN(240)) * time.Millisecond
	}
	e.mu.Unlock()
	env.Sleep(e.Environment, delay, nil)
	return conn, err
}

// faultScenario runs the scenario once and records its trace.
type faultScenario struct {
	environment   env.Environment
	seed          uint64
	scheduler     *Scheduler
	schedulerAddr string

	mu           sync.Mutex
	trace        []traceEvent
	rng          *rand.Rand
	requestCount int

	delays        *delayWatcher // of this process, in runs on real time; nil: none
	realTime      bool          // runs on the machine's clock, whose timers may be late
	serverList    string        // JSON of the current full list
	watchesSilent bool          // open watches send nothing; new ones get the list
	watches       []net.Conn

	stopTime time.Duration // when the drain was begun; 0: not yet
}

// record appends an event to the trace, with the current time.
func (s *faultScenario) record(e traceEvent) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e.occurredAt = s.environment.Now()
	s.trace = append(s.trace, e)
}

// randN returns a random number below n.
func (s *faultScenario) randN(n int) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rng.IntN(n)
}

// diskServerHandler returns a disk server's handler of attempts, which injects a fault into 8 of 20
// responses.
func (s *faultScenario) diskServerHandler(server string) func(standin.HTTPRequest) standin.HTTPResponse {
	return func(request standin.HTTPRequest) standin.HTTPResponse {
		id := request.Fields.Get("request-id")
		response := []byte(fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(id), id))
		fault := s.randN(20)
		requestTimeout, err := time.ParseDuration(request.Fields.Get("request-timeout") + "s")
		if err != nil {
			requestTimeout = time.Hour
		}
		s.record(traceEvent{kind: attemptReceived, id: id, server: server, executed: fault != 0, timeout: requestTimeout, unread: request.Unread})
		delay := time.Duration(2+s.randN(30)) * time.Millisecond
		switch fault {
		case 0:
			return standin.HTTPResponse{Raw: []byte("HTTP/1.1 503 No\r\nNot-Started: 1\r\nContent-Length: 0\r\n\r\n")}
		case 1:
			return standin.HTTPResponse{Delay: delay, Reset: true}
		case 2:
			return standin.HTTPResponse{Delay: delay, Raw: []byte("\x00 noise\r\n\r\n")}
		case 3:
			return standin.HTTPResponse{Delay: delay, Raw: response[:len(response)-3], Reset: true}
		case 4:
			if s.realTime { // a late timer could send the surplus after quarantineTime
				return standin.HTTPResponse{Delay: delay, Raw: append(slices.Clone(response), response...)}
			}
			return standin.HTTPResponse{Delay: delay, Raw: response, Extra: response, ExtraDelay: 5 * time.Millisecond}
		case 5:
			return standin.HTTPResponse{} // no response
		case 6:
			return standin.HTTPResponse{Delay: delay, Raw: []byte("HTTP/1.1 200 OK\r\n\r\n" + id), Close: true}
		case 7:
			return standin.HTTPResponse{Delay: delay, Raw: []byte("HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n")}
		}
		return standin.HTTPResponse{Delay: delay, Raw: response}
	}
}

// runClient sends requests until endTime or until nothing listens. It disconnects before the
// response in one request of six.
func (s *faultScenario) runClient(endTime time.Duration) {
	var client *testClient
	for s.environment.Now() < endTime {
		if client == nil {
			netConn, err := s.environment.Dial(context.Background(), "tcp", s.schedulerAddr, time.Second)
			if err != nil {
				return // the scheduler no longer listens
			}
			client = &testClient{s.environment, netConn, bufio.NewReader(netConn)}
		}
		s.mu.Lock()
		s.requestCount++
		id := fmt.Sprintf("%016x", s.requestCount)
		s.mu.Unlock()
		class := []string{"look", "book", "pay"}[s.randN(3)]
		requestTimeout := time.Duration(200+s.randN(900)) * time.Millisecond
		rawRequest := fmt.Sprintf("PUT /%s/%016x/%016x HTTP/1.1\r\nRequest-Id: %s\r\nIdempotency-Key: k%s\r\nX-Qos-Policy: gold\r\nRequest-Timeout: %.3f\r\nContent-Length: 1\r\nX-Placement: units=2,shard=%d,hosts=1\r\n\r\nx",
			class, s.randN(40), s.randN(1000), id, id, requestTimeout.Seconds(), s.randN(3))
		if class == "look" {
			rawRequest = strings.Replace(strings.TrimSuffix(rawRequest, "x"), "Content-Length: 1\r\n", "", 1)
			rawRequest = strings.Replace(rawRequest, "PUT", "GET", 1)
		}
		startedAt := s.environment.Now()
		s.record(traceEvent{kind: requestSent, id: id, class: class, timeout: requestTimeout})
		if _, err := io.WriteString(client.conn, rawRequest); err != nil {
			s.removeRequest(id) // the connection was closed between two requests
			client.conn.Close()
			client = nil
			continue
		}
		if s.randN(6) == 0 {
			env.Sleep(s.environment, time.Duration(s.randN(min(250, int(requestTimeout.Milliseconds()))))*time.Millisecond, nil)
			client.conn.Close()
			s.record(traceEvent{kind: clientClosed, id: id})
			client = nil
			continue
		}
		got := client.readResponse(startedAt)
		if got.status == 0 && s.connectionsEnding() && !s.attemptSeen(id) { // sent during the close and never read
			s.removeRequest(id)
		} else {
			s.record(traceEvent{kind: responseReceived, id: id, status: got.status, body: got.body})
		}
		if got.status == 0 || got.closeConn {
			client.conn.Close()
			client = nil
		}
		env.Sleep(s.environment, time.Duration(s.randN(20))*time.Millisecond, nil)
	}
	if client != nil {
		client.conn.Close()
	}
}

// connectionsEnding reports whether the drain has begun to close idle connections. Before that each
// request must be answered.
func (s *faultScenario) connectionsEnding() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stopTime > 0 && s.environment.Now() > s.stopTime+env.Duration(gracePeriod(scenarioConfig("a:1"))-finishLeadMS)
}

// attemptSeen reports whether a disk server got an attempt of a request.
func (s *faultScenario) attemptSeen(id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.ContainsFunc(s.trace, func(e traceEvent) bool { return e.id == id && e.kind == attemptReceived })
}

// removeRequest removes from the trace a request that the scheduler cannot have read.
func (s *faultScenario) removeRequest(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.trace = slices.DeleteFunc(s.trace, func(e traceEvent) bool { return e.id == id && e.kind == requestSent })
}

// serveWatch sends the full list on a new watch and keeps it for later lists.
func (s *faultScenario) serveWatch(_ int, _ string, conn net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	conn.Write([]byte(watchResponseHead))
	conn.Write(encodeChunk(s.serverList + "\n"))
	s.watches = append(s.watches, conn)
}

// publishList sends a new list on the open watches, unless they are silent, and records the drain of
// each host in leaving.
func (s *faultScenario) publishList(list string, leaving ...string) {
	s.mu.Lock()
	s.serverList = list
	if !s.watchesSilent {
		for _, conn := range s.watches {
			conn.Write(encodeChunk(list + "\n"))
		}
	}
	s.mu.Unlock()
	for _, host := range leaving {
		if s.watchesSilent { // discovery takes a change as delivered 6 s after the silence began
			env.Sleep(s.environment, 5900*time.Millisecond, nil)
		}
		s.record(traceEvent{kind: drainAnnounced, server: host})
	}
}

// scenarioConfig returns the configuration of the scenario's scheduler.
func scenarioConfig(discoveryAddr string) *Config {
	configJSON := strings.Replace(testConfig("127.0.0.1:0", discoveryAddr, fullListJSON(0)), testSettings, scenarioSettings, 1)
	config, err := ParseConfig([]byte(configJSON), func(string) string { return "" })
	if err != nil {
		panic(err)
	}
	return config
}

// run executes the scenario: slow dials, clients that disconnect, faulty responses, a drain of a disk
// server and a cold one, a reload, a second drain that only new watches report, and a drain of the
// scheduler.
func (s *faultScenario) run() error {
	firstDiscovery := startFakeDiscovery(s.environment, s.serveWatch)
	defer firstDiscovery.close()
	diskServers := map[string]*standin.HTTPDiskServer{}
	for _, host := range []string{"s0", "s1", "s2", "s3", "s4"} {
		diskServer, err := standin.ServeHTTPDiskServer(s.environment, s.diskServerHandler(host))
		if err != nil {
			return err
		}
		defer diskServer.Close()
		diskServers[host] = diskServer
	}
	entry := func(host, health string, shard int, startedMS int64) string {
		return strings.Replace(entryJSON(host, diskServers[host].Addr, health, shard), `"born_ms":0`, fmt.Sprintf(`"born_ms":%d`, startedMS), 1)
	}
	s.serverList = fullListJSON(1, entry("s0", "active", 0, 0), entry("s1", "active", 1, 0), entry("s2", "active", 2, 0))
	var err error
	slowDials := &slowDialEnv{Environment: s.environment, rng: rand.New(rand.NewPCG(s.seed, 2))}
	if s.scheduler, err = Start(slowDials, scenarioConfig(firstDiscovery.listener.Addr().String()), zap.NewNop()); err != nil {
		return err
	}
	s.schedulerAddr = s.scheduler.frontend.listener.Addr().String()
	s.scheduler.frontend.ready.Wait(s.environment)
	var clients env.WaitGroup
	for range 12 {
		clients.Go(s.environment, func() { s.runClient(15 * time.Second) })
	}
	env.Sleep(s.environment, 700*time.Millisecond, nil)
	now := s.environment.Deadline(0).UnixMilli()
	s.publishList(fullListJSON(2, entry("s0", "active", 0, 0), entry("s1", "leaving", 1, 0), entry("s2", "active", 2, 0), entry("s3", "active", 1, now)), "s1")
	env.Sleep(s.environment, 700*time.Millisecond, nil)
	secondDiscovery := startFakeDiscovery(s.environment, s.serveWatch)
	defer secondDiscovery.close()
	s.scheduler.Reload(scenarioConfig(secondDiscovery.listener.Addr().String()))
	env.Sleep(s.environment, 400*time.Millisecond, nil)
	s.mu.Lock()
	s.watchesSilent = true
	s.mu.Unlock()
	s.publishList(fullListJSON(3, entry("s0", "leaving", 0, 0), entry("s4", "active", 0, now), entry("s2", "active", 2, 0), entry("s3", "active", 1, now)), "s0")
	env.Sleep(s.environment, 900*time.Millisecond, nil)
	s.mu.Lock()
	s.stopTime = s.environment.Now()
	s.mu.Unlock()
	s.scheduler.Drain()
	clients.Wait(s.environment)
	return nil
}

func newFaultScenario(e env.Environment, seed uint64) *faultScenario {
	return &faultScenario{environment: e, seed: seed, rng: rand.New(rand.NewPCG(seed, 1))}
}

// check fails the test for each violation in the trace, and for too few events of a kind, since the
// rules would then be checked against almost nothing.
func (s *faultScenario) check(t *testing.T) {
	t.Helper()
	slices.SortStableFunc(s.trace, func(a, b traceEvent) int { return cmp.Compare(a.occurredAt, b.occurredAt) })
	rules := scenarioRules
	if s.realTime {
		rules.slack = realTimeSlack
	}
	found := rules.violations(s.trace)
	for _, violation := range found[:min(len(found), 5)] {
		t.Errorf("seed %d: %s", s.seed, violation)
	}
	if len(found) > 0 && s.delays != nil {
		t.Log(s.delays.report())
	}
	counts := map[string]int{}
	for _, e := range s.trace {
		counts[fmt.Sprint(e.kind, e.status)]++
		counts[string(e.kind)+e.server]++
	}
	for key, minimum := range map[string]int{"request0": 200, "response200": 100, "response503": 5, "disconnect0": 20, "attempts0": 10, "attempts3": 5, "attempts4": 5, "drains0": 1, "drains1": 1} {
		if counts[key] < minimum {
			t.Errorf("seed %d: got only %d events %q, too few for the scenario", s.seed, counts[key], key)
		}
	}
}

func TestFaultScenario(t *testing.T) {
	for seed := range uint64(8) {
		sim := world.New(seed)
		sim.DefaultLink.Delay = 200 * time.Microsecond
		var scenario *faultScenario
		err := sim.Run("n0", time.Minute, func(process *world.Process) {
			scenario = newFaultScenario(process, seed)
			if err := scenario.run(); err != nil {
				panic(err)
			}
		})
		if err != nil {
			t.Fatal(err)
		}
		scenario.check(t)
	}
}

func TestFaultScenarioOnRealSockets(t *testing.T) {
	scenario := newFaultScenario(env.NewReal(), 1)
	scenario.realTime = true
	scenario.delays = watchDelays(scenario.environment)
	err := scenario.run()
	scenario.delays.stop()
	if err != nil {
		t.Fatal(err)
	}
	scenario.check(t)
}

// Each rule must find its violation in a corrupted trace, and none in a valid one.
func TestTraceRulesFindViolations(t *testing.T) {
	ms := time.Millisecond
	validTrace := func() []traceEvent {
		return []traceEvent{
			{occurredAt: 0, kind: requestSent, id: "1", class: "pay", timeout: 1000 * ms},
			{occurredAt: 2 * ms, kind: attemptReceived, id: "1", server: "s0", executed: true},
			{occurredAt: 9 * ms, kind: responseReceived, id: "1", status: 200, body: "1"},
			{occurredAt: 10 * ms, kind: requestSent, id: "2", class: "book", timeout: 1000 * ms},
			{occurredAt: 12 * ms, kind: attemptReceived, id: "2", server: "s0", executed: true},
			{occurredAt: 80 * ms, kind: drainAnnounced, server: "s0"},
			{occurredAt: 500 * ms, kind: attemptReceived, id: "2", server: "s0", executed: true},
			{occurredAt: 520 * ms, kind: responseReceived, id: "2", status: 200, body: "2"},
			{occurredAt: 600 * ms, kind: requestSent, id: "3", class: "look", timeout: 1000 * ms},
			{occurredAt: 610 * ms, kind: clientClosed, id: "3"},
			{occurredAt: 650 * ms, kind: attemptReceived, id: "3", server: "s1", executed: true},
			{occurredAt: 700 * ms, kind: requestSent, id: "4", class: "pay", timeout: 1000 * ms},
			{occurredAt: 710 * ms, kind: attemptReceived, id: "4", server: "s1"},
			{occurredAt: 720 * ms, kind: responseReceived, id: "4", status: 503},
		}
	}
	if found := scenarioRules.violations(validTrace()); len(found) > 0 {
		t.Fatal(found)
	}
	for want, corrupt := range map[string]func(trace []traceEvent) []traceEvent{
		"never answered":                                 func(trace []traceEvent) []traceEvent { return slices.Delete(trace, 2, 3) },
		"connection ended without a response":            func(trace []traceEvent) []traceEvent { trace[2].status = 0; return trace },
		"response after the deadline":                    func(trace []traceEvent) []traceEvent { trace[2].occurredAt = 1200 * ms; return trace },
		"not answered by its deadline":                   func(trace []traceEvent) []traceEvent { trace[9].occurredAt = 1800 * ms; return trace },
		"Request-Timeout exceeds the client's time left": func(trace []traceEvent) []traceEvent { trace[1].timeout = 1200 * ms; return trace },
		"second response":                                func(trace []traceEvent) []traceEvent { return append(trace, trace[2]) },
		"response to another request":                    func(trace []traceEvent) []traceEvent { trace[7].body = "1"; return trace },
		"response without an execution":                  func(trace []traceEvent) []traceEvent { return slices.Delete(trace, 1, 2) },
		"unsafe request executed more than once":         func(trace []traceEvent) []traceEvent { return slices.Insert(trace, 2, trace[1]) },
		"unsafe request refused after it was executed":   func(trace []traceEvent) []traceEvent { trace[12].executed = true; return trace },
		"retry after the idempotency key expired":        func(trace []traceEvent) []traceEvent { trace[4].occurredAt = -400 * ms; return trace },
		"sent after the client disconnected":             func(trace []traceEvent) []traceEvent { trace[10].occurredAt = 720 * ms; return trace },
		"sent after the response": func(trace []traceEvent) []traceEvent {
			return append(trace, traceEvent{occurredAt: 900 * ms, kind: attemptReceived, id: "4", server: "s1"})
		},
		"sent to a draining disk server": func(trace []traceEvent) []traceEvent {
			trace[5].occurredAt = -200 * ms
			return slices.Insert(trace, 0, trace[5])
		},
		"attempt without a request": func(trace []traceEvent) []traceEvent {
			return append(trace, traceEvent{kind: attemptReceived, id: "9"})
		},
	} {
		got := scenarioRules.violations(corrupt(validTrace()))
		if !slices.ContainsFunc(got, func(s string) bool { return strings.Contains(s, want) }) {
			t.Errorf("want a violation %q, got %q", want, got)
		}
	}
}
