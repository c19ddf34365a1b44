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

type kind string

const (
	asked     kind = "asked"    // a client sent a request whole
	answered  kind = "answered" // it has its answer, status 0: the connection ended without one
	left      kind = "left"     // its client closed the connection
	attempted kind = "attempt"  // a disk server got an attempt whole
	wasTold   kind = "told"     // the scheduler was told that a disk server is leaving
)

// passed is one line of a day's trail.
type passed struct {
	at     time.Duration
	kind   kind
	id     string // of the request
	class  string
	server string
	status int
	body   string
	ran    bool          // the attempt took effect
	within time.Duration // what a client gives, and what a disk server is told
}

// terms are what a trail is held to.
type terms struct {
	grace, window, slack time.Duration
	told                 time.Duration     // a disk server is told so much more than its client has left, at the most
	effects              map[string]string // by class: safe, keyed, unsafe
}

// judge names what in a trail breaks a rule.
func (t *terms) judge(trail []passed) (broken []string) {
	say := func(e passed, what string) {
		broken = append(broken, fmt.Sprintf("%s %s at %s: %s", e.kind, e.id, e.at, what))
	}
	byID := map[string][]passed{}
	leaving := map[string]time.Duration{}
	for _, e := range trail {
		byID[e.id] = append(byID[e.id], e)
		if e.kind == wasTold {
			leaving[e.server] = e.at
		}
		if at, yes := leaving[e.server]; yes && e.kind == attempted && e.at > at+t.grace+t.slack {
			say(e, "sent to a disk server that was leaving")
		}
	}
	for id, es := range byID {
		if id != "" {
			t.request(es, say)
		}
	}
	return broken
}

func (t *terms) request(es []passed, say func(passed, string)) {
	var ask, first, gone, answer *passed
	ran := 0
	for i := range es {
		e := &es[i]
		switch e.kind {
		case asked:
			ask = e
		case left:
			gone = e
			if ask != nil && e.at > ask.at+ask.within+t.slack {
				say(*e, "no answer in its time")
			}
		case answered:
			if answer != nil {
				say(*e, "a second answer")
			}
			if answer = e; e.status == 0 {
				say(*e, "no answer")
			}
			if ask != nil && e.at > ask.at+ask.within+t.slack {
				say(*e, "answered late")
			}
			if e.status == 200 && e.body != e.id {
				say(*e, "another's answer: "+e.body)
			}
		case attempted:
			if ask == nil {
				say(*e, "nobody asked for it")
				continue
			}
			if e.within > ask.at+ask.within-e.at+t.told {
				say(*e, "told more time than its client has")
			}
			if gone != nil && e.at > gone.at+t.slack {
				say(*e, "its client had gone")
			}
			if answer != nil && e.at > answer.at+t.slack {
				say(*e, "it was answered before")
			}
			if first != nil && t.effects[ask.class] == "keyed" && e.at > first.at+t.window+t.slack {
				say(*e, "repeats are not dropped any more")
			}
			if e.ran {
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

var dayTerms = terms{grace: 500 * time.Millisecond, window: 700 * time.Millisecond, slack: 100 * time.Millisecond,
	told: 150 * time.Millisecond, effects: map[string]string{"look": "safe", "book": "keyed", "pay": "unsafe"}}

// looseSlack holds on a machine that is busy with much else; the virtual world's days are
// held to the exact one.
const looseSlack = 500 * time.Millisecond

const daySettings = `{"balancers":1,"me":0,"tick_ms":2,
"request_classes":[
 {"name":"look","aim_ms":150,"give_up_ms":700,"effect":"read_like","group":"all","worth":1},
 {"name":"book","aim_ms":200,"give_up_ms":1500,"effect":"idempotency_key","group":"cell","key_ttl_ms":700,"worth":2},
 {"name":"pay","aim_ms":200,"give_up_ms":900,"effect":"unsafe","worth":3}],
"grades":[{"name":"gold","price":1,"proportion":1,"rate":500}],
"limits":{"attempts_cap":4,"cancel":true,"may_duplicate":true,"retry_after":true,"max_retry_after_ms":2000,"dial_timeout_ms":250,"conn_idle_ms":3000},
"safety":{"answer_slack_ms":8,"stop_sending_within_ms":500},
"extra":{"unit_mean":2,"largest":6,"slots_total":3}}`

// lateDials is a world in which one connection in three comes up late.
type lateDials struct {
	env.Environment
	mu  sync.Mutex
	rng *rand.Rand
}

func (w *lateDials) Dial(ctx context.Context, network, address string, within time.Duration) (net.Conn, error) {
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

// day plays one and keeps its trail.
type day struct {
	w    env.Environment
	seed uint64
	s    *Scheduler
	addr string

	mu    sync.Mutex
	trail []passed
	rng   *rand.Rand
	n     int

	loose  bool   // the machine's own clock: its timers slip while it is busy
	list   string // the whole list
	silent bool   // open watches say nothing, new ones do
	watch  []net.Conn

	stopped time.Duration // when SIGTERM came, 0: not yet
}

func (d *day) note(e passed) {
	d.mu.Lock()
	defer d.mu.Unlock()
	e.at = d.w.Now()
	d.trail = append(d.trail, e)
}

func (d *day) chance(n int) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.rng.IntN(n)
}

// serve is what a disk server does with an attempt, some of it wrong.
func (d *day) serve(server string) func(standin.HTTPAsk) standin.HTTPAnswer {
	return func(a standin.HTTPAsk) standin.HTTPAnswer {
		id := a.Fields.Get("request-id")
		raw := []byte(fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(id), id))
		what := d.chance(20)
		told, err := time.ParseDuration(a.Fields.Get("request-timeout") + "s")
		if err != nil {
			told = time.Hour
		}
		d.note(passed{kind: attempted, id: id, server: server, ran: what != 0, within: told})
		after := time.Duration(2+d.chance(30)) * time.Millisecond
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
			if d.loose { // a timer that slips would make the copy as late as no rest can bear
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

// client asks until the day ends; one request in six it gives up by closing.
func (d *day) client(until time.Duration) {
	var p *peer
	for d.w.Now() < until {
		if p == nil {
			c, err := d.w.Dial(context.Background(), "tcp", d.addr, time.Second)
			if err != nil {
				return // nobody listens any more
			}
			p = &peer{d.w, c, bufio.NewReader(c)}
		}
		d.mu.Lock()
		d.n++
		id := fmt.Sprintf("%016x", d.n)
		d.mu.Unlock()
		class := []string{"look", "book", "pay"}[d.chance(3)]
		within := time.Duration(200+d.chance(900)) * time.Millisecond
		raw := fmt.Sprintf("PUT /%s/%016x/%016x HTTP/1.1\r\nRequest-Id: %s\r\nIdempotency-Key: k%s\r\nX-Qos-Policy: gold\r\nRequest-Timeout: %.3f\r\nContent-Length: 1\r\nX-Placement: units=2,shard=%d,hosts=1\r\n\r\nx",
			class, d.chance(40), d.chance(1000), id, id, within.Seconds(), d.chance(3))
		if class == "look" {
			raw = strings.Replace(strings.TrimSuffix(raw, "x"), "Content-Length: 1\r\n", "", 1)
			raw = strings.Replace(raw, "PUT", "GET", 1)
		}
		from := d.w.Now()
		d.note(passed{kind: asked, id: id, class: class, within: within})
		if _, err := io.WriteString(p.conn, raw); err != nil {
			d.forget(id) // the connection ended between two requests
			p.conn.Close()
			p = nil
			continue
		}
		if d.chance(6) == 0 {
			env.Sleep(d.w, time.Duration(d.chance(min(250, int(within.Milliseconds()))))*time.Millisecond, nil)
			p.conn.Close()
			d.note(passed{kind: left, id: id})
			p = nil
			continue
		}
		got := p.hear(from)
		if got.status == 0 && d.ending() && !d.reached(id) { // it crossed the close, and was never read
			d.forget(id)
		} else {
			d.note(passed{kind: answered, id: id, status: got.status, body: got.body})
		}
		if got.status == 0 || got.close {
			p.conn.Close()
			p = nil
		}
		env.Sleep(d.w, time.Duration(d.chance(20))*time.Millisecond, nil)
	}
	if p != nil {
		p.conn.Close()
	}
}

// ending tells that the scheduler takes nothing new any more and ends its connections: before
// that each request is owed its answer.
func (d *day) ending() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.stopped > 0 && d.w.Now() > d.stopped+env.Duration(gracePeriod(dayConfig("a:1"))-finishLeadMS)
}

// reached tells whether an attempt of a request came to a disk server.
func (d *day) reached(id string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return slices.ContainsFunc(d.trail, func(e passed) bool { return e.id == id && e.kind == attempted })
}

func (d *day) forget(id string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.trail = slices.DeleteFunc(d.trail, func(e passed) bool { return e.id == id && e.kind == asked })
}

// discovery answers watches with the whole list, and says it anew when it changes.
func (d *day) discovery(_ int, _ string, c net.Conn) {
	d.mu.Lock()
	defer d.mu.Unlock()
	c.Write([]byte(watchHead))
	c.Write(chunkOf(d.list + "\n"))
	d.watch = append(d.watch, c)
}

func (d *day) tell(list string, leaving ...string) {
	d.mu.Lock()
	d.list = list
	if !d.silent {
		for _, c := range d.watch {
			c.Write(chunkOf(list + "\n"))
		}
	}
	d.mu.Unlock()
	for _, s := range leaving {
		if d.silent { // it counts as told 6 s after the silence began
			env.Sleep(d.w, 5900*time.Millisecond, nil)
		}
		d.note(passed{kind: wasTold, server: s})
	}
}

// dayConfig is the configuration of a day's scheduler.
func dayConfig(discovery string) *Config {
	text := strings.Replace(testConfig("127.0.0.1:0", discovery, listOf(0)), testSettings, daySettings, 1)
	c, err := ParseConfig([]byte(text), func(string) string { return "" })
	if err != nil {
		panic(err)
	}
	return c
}

// play plays the day in a world: late connections, clients that leave, spoilt answers, a
// drain, a cold disk server, a silent watch with a drain in it, SIGHUP and SIGTERM.
func (d *day) play() error {
	a := serveAgent(d.w, d.discovery)
	defer a.close()
	disks := map[string]*standin.HTTPDisk{}
	for _, name := range []string{"s0", "s1", "s2", "s3", "s4"} {
		disk, err := standin.ServeHTTPDisk(d.w, d.serve(name))
		if err != nil {
			return err
		}
		defer disk.Close()
		disks[name] = disk
	}
	at := func(name, health string, block int, born int64) string {
		return strings.Replace(entry(name, disks[name].Addr, health, block), `"born_ms":0`, fmt.Sprintf(`"born_ms":%d`, born), 1)
	}
	d.list = listOf(1, at("s0", "active", 0, 0), at("s1", "active", 1, 0), at("s2", "active", 2, 0))
	var err error
	late := &lateDials{Environment: d.w, rng: rand.New(rand.NewPCG(d.seed, 2))}
	if d.s, err = Start(late, dayConfig(a.l.Addr().String()), zap.NewNop()); err != nil {
		return err
	}
	d.addr = d.s.frontend.listener.Addr().String()
	d.s.frontend.ready.Wait(d.w)
	var clients env.WaitGroup
	for range 12 {
		clients.Go(d.w, func() { d.client(15 * time.Second) })
	}
	env.Sleep(d.w, 700*time.Millisecond, nil)
	now := d.w.Deadline(0).UnixMilli()
	d.tell(listOf(2, at("s0", "active", 0, 0), at("s1", "leaving", 1, 0), at("s2", "active", 2, 0), at("s3", "active", 1, now)), "s1")
	env.Sleep(d.w, 700*time.Millisecond, nil)
	b := serveAgent(d.w, d.discovery)
	defer b.close()
	d.s.Reload(dayConfig(b.l.Addr().String()))
	env.Sleep(d.w, 400*time.Millisecond, nil)
	d.mu.Lock()
	d.silent = true
	d.mu.Unlock()
	d.tell(listOf(3, at("s0", "leaving", 0, 0), at("s4", "active", 0, now), at("s2", "active", 2, 0), at("s3", "active", 1, now)), "s0")
	env.Sleep(d.w, 900*time.Millisecond, nil)
	d.mu.Lock()
	d.stopped = d.w.Now()
	d.mu.Unlock()
	d.s.Drain()
	clients.Wait(d.w)
	return nil
}

func newDay(w env.Environment, seed uint64) *day {
	return &day{w: w, seed: seed, rng: rand.New(rand.NewPCG(seed, 1))}
}

// check judges a day and that it was one.
func (d *day) check(t *testing.T) {
	t.Helper()
	slices.SortStableFunc(d.trail, func(a, b passed) int { return cmp.Compare(a.at, b.at) })
	terms := dayTerms
	if d.loose {
		terms.slack = looseSlack
	}
	broken := terms.judge(d.trail)
	for _, b := range broken[:min(len(broken), 5)] {
		t.Errorf("seed %d: %s", d.seed, b)
	}
	count := map[string]int{}
	for _, e := range d.trail {
		count[fmt.Sprint(e.kind, e.status)]++
		count[string(e.kind)+e.server]++
	}
	for what, least := range map[string]int{"asked0": 200, "answered200": 100, "answered503": 5, "left0": 20, "attempts0": 10, "attempts3": 5, "attempts4": 5, "tolds0": 1, "tolds1": 1} {
		if count[what] < least {
			t.Errorf("seed %d: %d of %q: no rough day", d.seed, count[what], what)
		}
	}
}

func TestARoughDay(t *testing.T) {
	for seed := range uint64(8) {
		v := world.New(seed)
		v.Net.Delay = 200 * time.Microsecond
		var d *day
		err := v.Run("n0", time.Minute, func(p *world.Process) {
			d = newDay(p, seed)
			if err := d.play(); err != nil {
				panic(err)
			}
		})
		if err != nil {
			t.Fatal(err)
		}
		d.check(t)
	}
}

func TestARoughDayOnRealSockets(t *testing.T) {
	d := newDay(env.NewReal(), 1)
	d.loose = true
	if err := d.play(); err != nil {
		t.Fatal(err)
	}
	d.check(t)
}

// The judge finds each kind of break in a day that was doctored, and none in one that keeps
// the rules.
func TestADoctoredDayIsRejected(t *testing.T) {
	ms := time.Millisecond
	good := func() []passed {
		return []passed{
			{at: 0, kind: asked, id: "1", class: "pay", within: 1000 * ms},
			{at: 2 * ms, kind: attempted, id: "1", server: "s0", ran: true},
			{at: 9 * ms, kind: answered, id: "1", status: 200, body: "1"},
			{at: 10 * ms, kind: asked, id: "2", class: "book", within: 1000 * ms},
			{at: 12 * ms, kind: attempted, id: "2", server: "s0", ran: true},
			{at: 80 * ms, kind: wasTold, server: "s0"},
			{at: 500 * ms, kind: attempted, id: "2", server: "s0", ran: true},
			{at: 520 * ms, kind: answered, id: "2", status: 200, body: "2"},
			{at: 600 * ms, kind: asked, id: "3", class: "look", within: 1000 * ms},
			{at: 610 * ms, kind: left, id: "3"},
			{at: 650 * ms, kind: attempted, id: "3", server: "s1", ran: true},
			{at: 700 * ms, kind: asked, id: "4", class: "pay", within: 1000 * ms},
			{at: 710 * ms, kind: attempted, id: "4", server: "s1"},
			{at: 720 * ms, kind: answered, id: "4", status: 503},
		}
	}
	if broken := dayTerms.judge(good()); len(broken) > 0 {
		t.Fatal(broken)
	}
	for want, change := range map[string]func(d []passed) []passed{
		"never answered":                   func(d []passed) []passed { return slices.Delete(d, 2, 3) },
		"no answer":                        func(d []passed) []passed { d[2].status = 0; return d },
		"answered late":                    func(d []passed) []passed { d[2].at = 1200 * ms; return d },
		"no answer in its time":            func(d []passed) []passed { d[9].at = 1800 * ms; return d },
		"told more time than its client":   func(d []passed) []passed { d[1].within = 1200 * ms; return d },
		"a second answer":                  func(d []passed) []passed { return append(d, d[2]) },
		"another's answer":                 func(d []passed) []passed { d[7].body = "1"; return d },
		"served by nobody":                 func(d []passed) []passed { return slices.Delete(d, 1, 2) },
		"its effect happened again":        func(d []passed) []passed { return slices.Insert(d, 2, d[1]) },
		"refused although it ran":          func(d []passed) []passed { d[12].ran = true; return d },
		"repeats are not dropped any more": func(d []passed) []passed { d[4].at = -400 * ms; return d },
		"its client had gone":              func(d []passed) []passed { d[10].at = 720 * ms; return d },
		"it was answered before": func(d []passed) []passed {
			return append(d, passed{at: 900 * ms, kind: attempted, id: "4", server: "s1"})
		},
		"sent to a disk server that was leaving": func(d []passed) []passed { d[5].at = -200 * ms; return slices.Insert(d, 0, d[5]) },
		"nobody asked for it":                    func(d []passed) []passed { return append(d, passed{kind: attempted, id: "9"}) },
	} {
		got := dayTerms.judge(change(good()))
		if !slices.ContainsFunc(got, func(s string) bool { return strings.Contains(s, want) }) {
			t.Errorf("%s was not found: %q", want, got)
		}
	}
}
