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

// A rough day from end to end, judged only by what passed on the sockets: clients, disk
// servers and discovery write down what they sent and got, and when.

type traceKind string

const (
	requestSent      traceKind = "asked"    // a client sent a request whole
	responseReceived traceKind = "answered" // it has its answer, status 0: the connection ended without one
	clientClosed     traceKind = "left"     // its client closed the connection
	attemptReceived  traceKind = "attempt"  // a disk server got an attempt whole
	drainAnnounced   traceKind = "told"     // the scheduler was told that a disk server is leaving
)

// traceEvent is one line of a day's trail.
type traceEvent struct {
	occurredAt time.Duration
	kind       traceKind
	id         string // of the request
	class      string
	server     string
	status     int
	body       string
	executed   bool          // the attempt took effect
	timeout    time.Duration // what a client gives, and what a disk server is told
}

// traceRules are what a trail is held to.
type traceRules struct {
	drainGrace, dedupWindow, slack time.Duration
	maxTimeoutExcess               time.Duration     // a disk server is told so much more than its client has left, at the most
	effects                        map[string]string // by class: safe, keyed, unsafe
}

// violations names what in a trail breaks a rule.
func (r *traceRules) violations(trace []traceEvent) (found []string) {
	report := func(e traceEvent, description string) {
		found = append(found, fmt.Sprintf("%s %s at %s: %s", e.kind, e.id, e.occurredAt, description))
	}
	byID := map[string][]traceEvent{}
	leaving := map[string]time.Duration{}
	for _, e := range trace {
		byID[e.id] = append(byID[e.id], e)
		if e.kind == drainAnnounced {
			leaving[e.server] = e.occurredAt
		}
		if announcedAt, draining := leaving[e.server]; draining && e.kind == attemptReceived && e.occurredAt > announcedAt+r.drainGrace+r.slack {
			report(e, "sent to a disk server that was leaving")
		}
	}
	for id, es := range byID {
		if id != "" {
			r.checkRequest(es, report)
		}
	}
	return found
}

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
				report(*e, "no answer in its time")
			}
		case responseReceived:
			if response != nil {
				report(*e, "a second answer")
			}
			if response = e; e.status == 0 {
				report(*e, "no answer")
			}
			if request != nil && e.occurredAt > request.occurredAt+request.timeout+r.slack {
				report(*e, "answered late")
			}
			if e.status == 200 && e.body != e.id {
				report(*e, "another's answer: "+e.body)
			}
		case attemptReceived:
			if request == nil {
				report(*e, "nobody asked for it")
				continue
			}
			if e.timeout > request.occurredAt+request.timeout-e.occurredAt+r.maxTimeoutExcess {
				report(*e, "told more time than its client has")
			}
			if disconnect != nil && e.occurredAt > disconnect.occurredAt+r.slack {
				report(*e, "its client had gone")
			}
			if response != nil && e.occurredAt > response.occurredAt+r.slack {
				report(*e, "it was answered before")
			}
			if firstExecuted != nil && r.effects[request.class] == "keyed" && e.occurredAt > firstExecuted.occurredAt+r.dedupWindow+r.slack {
				report(*e, "repeats are not dropped any more")
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
		report(*request, "its effect happened again")
	case response != nil && response.status == 503 && executions > 0 && r.effects[request.class] == "unsafe":
		report(*response, "refused although it ran")
	case response != nil && response.status == 200 && executions == 0:
		report(*response, "served by nobody")
	}
}

var scenarioRules = traceRules{drainGrace: 500 * time.Millisecond, dedupWindow: 700 * time.Millisecond, slack: 100 * time.Millisecond,
	maxTimeoutExcess: 150 * time.Millisecond, effects: map[string]string{"look": "safe", "book": "keyed", "pay": "unsafe"}}

// realTimeSlack holds on a machine that is busy with much else; the virtual world's days are
// held to the exact one.
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

// slowDialEnv is a world in which one connection in three comes up late.
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

// faultScenario plays one and keeps its trail.
type faultScenario struct {
	environment   env.Environment
	seed          uint64
	scheduler     *Scheduler
	schedulerAddr string

	mu           sync.Mutex
	trace        []traceEvent
	rng          *rand.Rand
	requestCount int

	realTime      bool   // the machine's own clock: its timers slip while it is busy
	serverList    string // the whole list
	watchesSilent bool   // open watches say nothing, new ones do
	watches       []net.Conn

	stopTime time.Duration // when SIGTERM came, 0: not yet
}

func (s *faultScenario) record(e traceEvent) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e.occurredAt = s.environment.Now()
	s.trace = append(s.trace, e)
}

func (s *faultScenario) randN(n int) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rng.IntN(n)
}

// diskServerHandler is what a disk server does with an attempt, some of it wrong.
func (s *faultScenario) diskServerHandler(server string) func(standin.HTTPAsk) standin.HTTPAnswer {
	return func(request standin.HTTPAsk) standin.HTTPAnswer {
		id := request.Fields.Get("request-id")
		response := []byte(fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(id), id))
		fault := s.randN(20)
		requestTimeout, err := time.ParseDuration(request.Fields.Get("request-timeout") + "s")
		if err != nil {
			requestTimeout = time.Hour
		}
		s.record(traceEvent{kind: attemptReceived, id: id, server: server, executed: fault != 0, timeout: requestTimeout})
		delay := time.Duration(2+s.randN(30)) * time.Millisecond
		switch fault {
		case 0:
			return standin.HTTPAnswer{Raw: []byte("HTTP/1.1 503 No\r\nNot-Started: 1\r\nContent-Length: 0\r\n\r\n")}
		case 1:
			return standin.HTTPAnswer{After: delay, Reset: true}
		case 2:
			return standin.HTTPAnswer{After: delay, Raw: []byte("\x00 noise\r\n\r\n")}
		case 3:
			return standin.HTTPAnswer{After: delay, Raw: response[:len(response)-3], Reset: true}
		case 4:
			if s.realTime { // a timer that slips would make the copy as late as no rest can bear
				return standin.HTTPAnswer{After: delay, Raw: append(slices.Clone(response), response...)}
			}
			return standin.HTTPAnswer{After: delay, Raw: response, Behind: response, Late: 5 * time.Millisecond}
		case 5:
			return standin.HTTPAnswer{} // it never answers
		case 6:
			return standin.HTTPAnswer{After: delay, Raw: []byte("HTTP/1.1 200 OK\r\n\r\n" + id), Close: true}
		case 7:
			return standin.HTTPAnswer{After: delay, Raw: []byte("HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n")}
		}
		return standin.HTTPAnswer{After: delay, Raw: response}
	}
}

// runClient asks until the day ends; one request in six it gives up by closing.
func (s *faultScenario) runClient(endTime time.Duration) {
	var client *testClient
	for s.environment.Now() < endTime {
		if client == nil {
			netConn, err := s.environment.Dial(context.Background(), "tcp", s.schedulerAddr, time.Second)
			if err != nil {
				return // nobody listens any more
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
			s.removeRequest(id) // the connection ended between two requests
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
		if got.status == 0 && s.connectionsEnding() && !s.attemptSeen(id) { // it crossed the close, and was never read
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

// connectionsEnding tells that the scheduler takes nothing new any more and ends its connections: before
// that each request is owed its answer.
func (s *faultScenario) connectionsEnding() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stopTime > 0 && s.environment.Now() > s.stopTime+env.Duration(gracePeriod(scenarioConfig("a:1"))-finishLeadMS)
}

// attemptSeen tells whether an attempt of a request came to a disk server.
func (s *faultScenario) attemptSeen(id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.ContainsFunc(s.trace, func(e traceEvent) bool { return e.id == id && e.kind == attemptReceived })
}

func (s *faultScenario) removeRequest(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.trace = slices.DeleteFunc(s.trace, func(e traceEvent) bool { return e.id == id && e.kind == requestSent })
}

// serveWatch answers watches with the whole list, and says it anew when it changes.
func (s *faultScenario) serveWatch(_ int, _ string, conn net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	conn.Write([]byte(watchResponseHead))
	conn.Write(encodeChunk(s.serverList + "\n"))
	s.watches = append(s.watches, conn)
}

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
		if s.watchesSilent { // it counts as told 6 s after the silence began
			env.Sleep(s.environment, 5900*time.Millisecond, nil)
		}
		s.record(traceEvent{kind: drainAnnounced, server: host})
	}
}

// scenarioConfig is the configuration of a day's scheduler.
func scenarioConfig(discoveryAddr string) *Config {
	configJSON := strings.Replace(testConfig("127.0.0.1:0", discoveryAddr, fullListJSON(0)), testSettings, scenarioSettings, 1)
	config, err := ParseConfig([]byte(configJSON), func(string) string { return "" })
	if err != nil {
		panic(err)
	}
	return config
}

// run plays the day in a world: late connections, clients that leave, spoilt answers, a
// drain, a cold disk server, a silent watch with a drain in it, SIGHUP and SIGTERM.
func (s *faultScenario) run() error {
	firstDiscovery := startFakeDiscovery(s.environment, s.serveWatch)
	defer firstDiscovery.close()
	diskServers := map[string]*standin.HTTPDisk{}
	for _, host := range []string{"s0", "s1", "s2", "s3", "s4"} {
		diskServer, err := standin.ServeHTTPDisk(s.environment, s.diskServerHandler(host))
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

// check judges a day and that it was one.
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
	counts := map[string]int{}
	for _, e := range s.trace {
		counts[fmt.Sprint(e.kind, e.status)]++
		counts[string(e.kind)+e.server]++
	}
	for key, minimum := range map[string]int{"asked0": 200, "answered200": 100, "answered503": 5, "left0": 20, "attempts0": 10, "attempts3": 5, "attempts4": 5, "tolds0": 1, "tolds1": 1} {
		if counts[key] < minimum {
			t.Errorf("seed %d: %d of %q: no rough day", s.seed, counts[key], key)
		}
	}
}

func TestFaultScenario(t *testing.T) {
	for seed := range uint64(8) {
		sim := world.New(seed)
		sim.Net.Delay = 200 * time.Microsecond
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
	if err := scenario.run(); err != nil {
		t.Fatal(err)
	}
	scenario.check(t)
}

// The judge finds each kind of break in a day that was doctored, and none in one that keeps
// the rules.
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
		"never answered":                   func(trace []traceEvent) []traceEvent { return slices.Delete(trace, 2, 3) },
		"no answer":                        func(trace []traceEvent) []traceEvent { trace[2].status = 0; return trace },
		"answered late":                    func(trace []traceEvent) []traceEvent { trace[2].occurredAt = 1200 * ms; return trace },
		"no answer in its time":            func(trace []traceEvent) []traceEvent { trace[9].occurredAt = 1800 * ms; return trace },
		"told more time than its client":   func(trace []traceEvent) []traceEvent { trace[1].timeout = 1200 * ms; return trace },
		"a second answer":                  func(trace []traceEvent) []traceEvent { return append(trace, trace[2]) },
		"another's answer":                 func(trace []traceEvent) []traceEvent { trace[7].body = "1"; return trace },
		"served by nobody":                 func(trace []traceEvent) []traceEvent { return slices.Delete(trace, 1, 2) },
		"its effect happened again":        func(trace []traceEvent) []traceEvent { return slices.Insert(trace, 2, trace[1]) },
		"refused although it ran":          func(trace []traceEvent) []traceEvent { trace[12].executed = true; return trace },
		"repeats are not dropped any more": func(trace []traceEvent) []traceEvent { trace[4].occurredAt = -400 * ms; return trace },
		"its client had gone":              func(trace []traceEvent) []traceEvent { trace[10].occurredAt = 720 * ms; return trace },
		"it was answered before": func(trace []traceEvent) []traceEvent {
			return append(trace, traceEvent{occurredAt: 900 * ms, kind: attemptReceived, id: "4", server: "s1"})
		},
		"sent to a disk server that was leaving": func(trace []traceEvent) []traceEvent {
			trace[5].occurredAt = -200 * ms
			return slices.Insert(trace, 0, trace[5])
		},
		"nobody asked for it": func(trace []traceEvent) []traceEvent {
			return append(trace, traceEvent{kind: attemptReceived, id: "9"})
		},
	} {
		got := scenarioRules.violations(corrupt(validTrace()))
		if !slices.ContainsFunc(got, func(s string) bool { return strings.Contains(s, want) }) {
			t.Errorf("%s was not found: %q", want, got)
		}
	}
}
