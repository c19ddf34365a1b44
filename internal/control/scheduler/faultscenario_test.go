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
	at       time.Duration
	kind     traceKind
	id       string // of the request
	class    string
	server   string
	status   int
	body     string
	executed bool          // the attempt took effect
	timeout  time.Duration // what a client gives, and what a disk server is told
}

// traceRules are what a trail is held to.
type traceRules struct {
	drainGrace, dedupWindow, slack time.Duration
	maxTimeoutExcess               time.Duration     // a disk server is told so much more than its client has left, at the most
	effects                        map[string]string // by class: safe, keyed, unsafe
}

// violations names what in a trail breaks a rule.
func (t *traceRules) violations(trail []traceEvent) (broken []string) {
	say := func(e traceEvent, what string) {
		broken = append(broken, fmt.Sprintf("%s %s at %s: %s", e.kind, e.id, e.at, what))
	}
	byID := map[string][]traceEvent{}
	leaving := map[string]time.Duration{}
	for _, e := range trail {
		byID[e.id] = append(byID[e.id], e)
		if e.kind == drainAnnounced {
			leaving[e.server] = e.at
		}
		if at, yes := leaving[e.server]; yes && e.kind == attemptReceived && e.at > at+t.drainGrace+t.slack {
			say(e, "sent to a disk server that was leaving")
		}
	}
	for id, es := range byID {
		if id != "" {
			t.checkRequest(es, say)
		}
	}
	return broken
}

func (t *traceRules) checkRequest(es []traceEvent, say func(traceEvent, string)) {
	var ask, first, gone, answer *traceEvent
	ran := 0
	for i := range es {
		e := &es[i]
		switch e.kind {
		case requestSent:
			ask = e
		case clientClosed:
			gone = e
			if ask != nil && e.at > ask.at+ask.timeout+t.slack {
				say(*e, "no answer in its time")
			}
		case responseReceived:
			if answer != nil {
				say(*e, "a second answer")
			}
			if answer = e; e.status == 0 {
				say(*e, "no answer")
			}
			if ask != nil && e.at > ask.at+ask.timeout+t.slack {
				say(*e, "answered late")
			}
			if e.status == 200 && e.body != e.id {
				say(*e, "another's answer: "+e.body)
			}
		case attemptReceived:
			if ask == nil {
				say(*e, "nobody asked for it")
				continue
			}
			if e.timeout > ask.at+ask.timeout-e.at+t.maxTimeoutExcess {
				say(*e, "told more time than its client has")
			}
			if gone != nil && e.at > gone.at+t.slack {
				say(*e, "its client had gone")
			}
			if answer != nil && e.at > answer.at+t.slack {
				say(*e, "it was answered before")
			}
			if first != nil && t.effects[ask.class] == "keyed" && e.at > first.at+t.dedupWindow+t.slack {
				say(*e, "repeats are not dropped any more")
			}
			if e.executed {
				ran++
				if first == nil {
					first = e
				}
			}
		}
	}
	switch {
	case ask != nil && gone == nil && answer == nil:
		say(*ask, "never answered")
	case ask != nil && ran > 1 && t.effects[ask.class] == "unsafe":
		say(*ask, "its effect happened again")
	case answer != nil && answer.status == 503 && ran > 0 && t.effects[ask.class] == "unsafe":
		say(*answer, "refused although it ran")
	case answer != nil && answer.status == 200 && ran == 0:
		say(*answer, "served by nobody")
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

func (w *slowDialEnv) Dial(ctx context.Context, network, address string, within time.Duration) (net.Conn, error) {
	c, err := w.Environment.Dial(ctx, network, address, within)
	w.mu.Lock()
	late := time.Duration(0)
	if w.rng.IntN(3) == 0 {
		late = time.Duration(w.rng.IntN(240)) * time.Millisecond
	}
	w.mu.Unlock()
	env.Sleep(w.Environment, late, nil)
	return c, err
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

func (d *faultScenario) record(e traceEvent) {
	d.mu.Lock()
	defer d.mu.Unlock()
	e.at = d.environment.Now()
	d.trace = append(d.trace, e)
}

func (d *faultScenario) randN(n int) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.rng.IntN(n)
}

// diskServer is what a disk server does with an attempt, some of it wrong.
func (d *faultScenario) diskServer(server string) func(standin.HTTPAsk) standin.HTTPAnswer {
	return func(a standin.HTTPAsk) standin.HTTPAnswer {
		id := a.Fields.Get("request-id")
		raw := []byte(fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(id), id))
		what := d.randN(20)
		told, err := time.ParseDuration(a.Fields.Get("request-timeout") + "s")
		if err != nil {
			told = time.Hour
		}
		d.record(traceEvent{kind: attemptReceived, id: id, server: server, executed: what != 0, timeout: told})
		after := time.Duration(2+d.randN(30)) * time.Millisecond
		switch what {
		case 0:
			return standin.HTTPAnswer{Raw: []byte("HTTP/1.1 503 No\r\nNot-Started: 1\r\nContent-Length: 0\r\n\r\n")}
		case 1:
			return standin.HTTPAnswer{After: after, Reset: true}
		case 2:
			return standin.HTTPAnswer{After: after, Raw: []byte("\x00 noise\r\n\r\n")}
		case 3:
			return standin.HTTPAnswer{After: after, Raw: raw[:len(raw)-3], Reset: true}
		case 4:
			if d.realTime { // a timer that slips would make the copy as late as no rest can bear
				return standin.HTTPAnswer{After: after, Raw: append(slices.Clone(raw), raw...)}
			}
			return standin.HTTPAnswer{After: after, Raw: raw, Behind: raw, Late: 5 * time.Millisecond}
		case 5:
			return standin.HTTPAnswer{} // it never answers
		case 6:
			return standin.HTTPAnswer{After: after, Raw: []byte("HTTP/1.1 200 OK\r\n\r\n" + id), Close: true}
		case 7:
			return standin.HTTPAnswer{After: after, Raw: []byte("HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n")}
		}
		return standin.HTTPAnswer{After: after, Raw: raw}
	}
}

// runClient asks until the day ends; one request in six it gives up by closing.
func (d *faultScenario) runClient(until time.Duration) {
	var p *testClient
	for d.environment.Now() < until {
		if p == nil {
			c, err := d.environment.Dial(context.Background(), "tcp", d.schedulerAddr, time.Second)
			if err != nil {
				return // nobody listens any more
			}
			p = &testClient{d.environment, c, bufio.NewReader(c)}
		}
		d.mu.Lock()
		d.requestCount++
		id := fmt.Sprintf("%016x", d.requestCount)
		d.mu.Unlock()
		class := []string{"look", "book", "pay"}[d.randN(3)]
		within := time.Duration(200+d.randN(900)) * time.Millisecond
		raw := fmt.Sprintf("PUT /%s/%016x/%016x HTTP/1.1\r\nRequest-Id: %s\r\nIdempotency-Key: k%s\r\nX-Qos-Policy: gold\r\nRequest-Timeout: %.3f\r\nContent-Length: 1\r\nX-Placement: units=2,shard=%d,hosts=1\r\n\r\nx",
			class, d.randN(40), d.randN(1000), id, id, within.Seconds(), d.randN(3))
		if class == "look" {
			raw = strings.Replace(strings.TrimSuffix(raw, "x"), "Content-Length: 1\r\n", "", 1)
			raw = strings.Replace(raw, "PUT", "GET", 1)
		}
		from := d.environment.Now()
		d.record(traceEvent{kind: requestSent, id: id, class: class, timeout: within})
		if _, err := io.WriteString(p.conn, raw); err != nil {
			d.removeRequest(id) // the connection ended between two requests
			p.conn.Close()
			p = nil
			continue
		}
		if d.randN(6) == 0 {
			env.Sleep(d.environment, time.Duration(d.randN(min(250, int(within.Milliseconds()))))*time.Millisecond, nil)
			p.conn.Close()
			d.record(traceEvent{kind: clientClosed, id: id})
			p = nil
			continue
		}
		got := p.readResponse(from)
		if got.status == 0 && d.connectionsEnding() && !d.attemptSeen(id) { // it crossed the close, and was never read
			d.removeRequest(id)
		} else {
			d.record(traceEvent{kind: responseReceived, id: id, status: got.status, body: got.body})
		}
		if got.status == 0 || got.closeConn {
			p.conn.Close()
			p = nil
		}
		env.Sleep(d.environment, time.Duration(d.randN(20))*time.Millisecond, nil)
	}
	if p != nil {
		p.conn.Close()
	}
}

// connectionsEnding tells that the scheduler takes nothing new any more and ends its connections: before
// that each request is owed its answer.
func (d *faultScenario) connectionsEnding() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.stopTime > 0 && d.environment.Now() > d.stopTime+env.Duration(gracePeriod(scenarioConfig("a:1"))-finishLeadMS)
}

// attemptSeen tells whether an attempt of a request came to a disk server.
func (d *faultScenario) attemptSeen(id string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return slices.ContainsFunc(d.trace, func(e traceEvent) bool { return e.id == id && e.kind == attemptReceived })
}

func (d *faultScenario) removeRequest(id string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.trace = slices.DeleteFunc(d.trace, func(e traceEvent) bool { return e.id == id && e.kind == requestSent })
}

// serveWatch answers watches with the whole list, and says it anew when it changes.
func (d *faultScenario) serveWatch(_ int, _ string, c net.Conn) {
	d.mu.Lock()
	defer d.mu.Unlock()
	c.Write([]byte(watchHead))
	c.Write(chunkOf(d.serverList + "\n"))
	d.watches = append(d.watches, c)
}

func (d *faultScenario) publishList(list string, leaving ...string) {
	d.mu.Lock()
	d.serverList = list
	if !d.watchesSilent {
		for _, c := range d.watches {
			c.Write(chunkOf(list + "\n"))
		}
	}
	d.mu.Unlock()
	for _, s := range leaving {
		if d.watchesSilent { // it counts as told 6 s after the silence began
			env.Sleep(d.environment, 5900*time.Millisecond, nil)
		}
		d.record(traceEvent{kind: drainAnnounced, server: s})
	}
}

// scenarioConfig is the configuration of a day's scheduler.
func scenarioConfig(discovery string) *Config {
	text := strings.Replace(testConfig("127.0.0.1:0", discovery, fullListJSON(0)), testSettings, scenarioSettings, 1)
	c, err := ParseConfig([]byte(text), func(string) string { return "" })
	if err != nil {
		panic(err)
	}
	return c
}

// run plays the day in a world: late connections, clients that leave, spoilt answers, a
// drain, a cold disk server, a silent watch with a drain in it, SIGHUP and SIGTERM.
func (d *faultScenario) run() error {
	a := serveAgent(d.environment, d.serveWatch)
	defer a.close()
	disks := map[string]*standin.HTTPDisk{}
	for _, name := range []string{"s0", "s1", "s2", "s3", "s4"} {
		disk, err := standin.ServeHTTPDisk(d.environment, d.diskServer(name))
		if err != nil {
			return err
		}
		defer disk.Close()
		disks[name] = disk
	}
	at := func(name, health string, block int, born int64) string {
		return strings.Replace(entryJSON(name, disks[name].Addr, health, block), `"born_ms":0`, fmt.Sprintf(`"born_ms":%d`, born), 1)
	}
	d.serverList = fullListJSON(1, at("s0", "active", 0, 0), at("s1", "active", 1, 0), at("s2", "active", 2, 0))
	var err error
	late := &slowDialEnv{Environment: d.environment, rng: rand.New(rand.NewPCG(d.seed, 2))}
	if d.scheduler, err = Start(late, scenarioConfig(a.l.Addr().String()), zap.NewNop()); err != nil {
		return err
	}
	d.schedulerAddr = d.scheduler.frontend.listener.Addr().String()
	d.scheduler.frontend.ready.Wait(d.environment)
	var clients env.WaitGroup
	for range 12 {
		clients.Go(d.environment, func() { d.runClient(15 * time.Second) })
	}
	env.Sleep(d.environment, 700*time.Millisecond, nil)
	now := d.environment.Deadline(0).UnixMilli()
	d.publishList(fullListJSON(2, at("s0", "active", 0, 0), at("s1", "leaving", 1, 0), at("s2", "active", 2, 0), at("s3", "active", 1, now)), "s1")
	env.Sleep(d.environment, 700*time.Millisecond, nil)
	b := serveAgent(d.environment, d.serveWatch)
	defer b.close()
	d.scheduler.Reload(scenarioConfig(b.l.Addr().String()))
	env.Sleep(d.environment, 400*time.Millisecond, nil)
	d.mu.Lock()
	d.watchesSilent = true
	d.mu.Unlock()
	d.publishList(fullListJSON(3, at("s0", "leaving", 0, 0), at("s4", "active", 0, now), at("s2", "active", 2, 0), at("s3", "active", 1, now)), "s0")
	env.Sleep(d.environment, 900*time.Millisecond, nil)
	d.mu.Lock()
	d.stopTime = d.environment.Now()
	d.mu.Unlock()
	d.scheduler.Drain()
	clients.Wait(d.environment)
	return nil
}

func newFaultScenario(w env.Environment, seed uint64) *faultScenario {
	return &faultScenario{environment: w, seed: seed, rng: rand.New(rand.NewPCG(seed, 1))}
}

// check judges a day and that it was one.
func (d *faultScenario) check(t *testing.T) {
	t.Helper()
	slices.SortStableFunc(d.trace, func(a, b traceEvent) int { return cmp.Compare(a.at, b.at) })
	terms := scenarioRules
	if d.realTime {
		terms.slack = realTimeSlack
	}
	broken := terms.violations(d.trace)
	for _, b := range broken[:min(len(broken), 5)] {
		t.Errorf("seed %d: %s", d.seed, b)
	}
	count := map[string]int{}
	for _, e := range d.trace {
		count[fmt.Sprint(e.kind, e.status)]++
		count[string(e.kind)+e.server]++
	}
	for what, least := range map[string]int{"asked0": 200, "answered200": 100, "answered503": 5, "left0": 20, "attempts0": 10, "attempts3": 5, "attempts4": 5, "tolds0": 1, "tolds1": 1} {
		if count[what] < least {
			t.Errorf("seed %d: %d of %q: no rough day", d.seed, count[what], what)
		}
	}
}

func TestFaultScenario(t *testing.T) {
	for seed := range uint64(8) {
		v := world.New(seed)
		v.Net.Delay = 200 * time.Microsecond
		var d *faultScenario
		err := v.Run("n0", time.Minute, func(p *world.Process) {
			d = newFaultScenario(p, seed)
			if err := d.run(); err != nil {
				panic(err)
			}
		})
		if err != nil {
			t.Fatal(err)
		}
		d.check(t)
	}
}

func TestFaultScenarioOnRealSockets(t *testing.T) {
	d := newFaultScenario(env.NewReal(), 1)
	d.realTime = true
	if err := d.run(); err != nil {
		t.Fatal(err)
	}
	d.check(t)
}

// The judge finds each kind of break in a day that was doctored, and none in one that keeps
// the rules.
func TestTraceRulesFindViolations(t *testing.T) {
	ms := time.Millisecond
	good := func() []traceEvent {
		return []traceEvent{
			{at: 0, kind: requestSent, id: "1", class: "pay", timeout: 1000 * ms},
			{at: 2 * ms, kind: attemptReceived, id: "1", server: "s0", executed: true},
			{at: 9 * ms, kind: responseReceived, id: "1", status: 200, body: "1"},
			{at: 10 * ms, kind: requestSent, id: "2", class: "book", timeout: 1000 * ms},
			{at: 12 * ms, kind: attemptReceived, id: "2", server: "s0", executed: true},
			{at: 80 * ms, kind: drainAnnounced, server: "s0"},
			{at: 500 * ms, kind: attemptReceived, id: "2", server: "s0", executed: true},
			{at: 520 * ms, kind: responseReceived, id: "2", status: 200, body: "2"},
			{at: 600 * ms, kind: requestSent, id: "3", class: "look", timeout: 1000 * ms},
			{at: 610 * ms, kind: clientClosed, id: "3"},
			{at: 650 * ms, kind: attemptReceived, id: "3", server: "s1", executed: true},
			{at: 700 * ms, kind: requestSent, id: "4", class: "pay", timeout: 1000 * ms},
			{at: 710 * ms, kind: attemptReceived, id: "4", server: "s1"},
			{at: 720 * ms, kind: responseReceived, id: "4", status: 503},
		}
	}
	if broken := scenarioRules.violations(good()); len(broken) > 0 {
		t.Fatal(broken)
	}
	for want, change := range map[string]func(d []traceEvent) []traceEvent{
		"never answered":                   func(d []traceEvent) []traceEvent { return slices.Delete(d, 2, 3) },
		"no answer":                        func(d []traceEvent) []traceEvent { d[2].status = 0; return d },
		"answered late":                    func(d []traceEvent) []traceEvent { d[2].at = 1200 * ms; return d },
		"no answer in its time":            func(d []traceEvent) []traceEvent { d[9].at = 1800 * ms; return d },
		"told more time than its client":   func(d []traceEvent) []traceEvent { d[1].timeout = 1200 * ms; return d },
		"a second answer":                  func(d []traceEvent) []traceEvent { return append(d, d[2]) },
		"another's answer":                 func(d []traceEvent) []traceEvent { d[7].body = "1"; return d },
		"served by nobody":                 func(d []traceEvent) []traceEvent { return slices.Delete(d, 1, 2) },
		"its effect happened again":        func(d []traceEvent) []traceEvent { return slices.Insert(d, 2, d[1]) },
		"refused although it ran":          func(d []traceEvent) []traceEvent { d[12].executed = true; return d },
		"repeats are not dropped any more": func(d []traceEvent) []traceEvent { d[4].at = -400 * ms; return d },
		"its client had gone":              func(d []traceEvent) []traceEvent { d[10].at = 720 * ms; return d },
		"it was answered before": func(d []traceEvent) []traceEvent {
			return append(d, traceEvent{at: 900 * ms, kind: attemptReceived, id: "4", server: "s1"})
		},
		"sent to a disk server that was leaving": func(d []traceEvent) []traceEvent { d[5].at = -200 * ms; return slices.Insert(d, 0, d[5]) },
		"nobody asked for it":                    func(d []traceEvent) []traceEvent { return append(d, traceEvent{kind: attemptReceived, id: "9"}) },
	} {
		got := scenarioRules.violations(change(good()))
		if !slices.ContainsFunc(got, func(s string) bool { return strings.Contains(s, want) }) {
			t.Errorf("%s was not found: %q", want, got)
		}
	}
}
