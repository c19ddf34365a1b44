package scheduler

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"maps"
	"net"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"go.uber.org/zap"

	"merlinhitch/internal/protocol/http1"
	"merlinhitch/internal/runtime/env"
	"merlinhitch/internal/simulation/standin"
	"merlinhitch/policy"
)

// held is the world of the machine, with real sockets, whose dials and accepts can be held
// at a gate, so that what else happens comes just between.
type held struct {
	*env.Real
	mu      sync.Mutex
	disk    string // its dials are held
	dials   int    // of them so far
	dialing func(n int) error
	wrap    func(net.Conn) net.Conn // connections to the disk server
	accept  func(net.Conn) net.Conn // before the listener hands a connection over
	refuse  func() error            // in place of an accepted connection
}

func (h *held) Dial(ctx context.Context, network, address string, within time.Duration) (net.Conn, error) {
	c, err := h.Real.Dial(ctx, network, address, within)
	h.mu.Lock()
	f, n := h.dialing, h.dials
	if address != h.disk || f == nil {
		h.mu.Unlock()
		return c, err
	}
	h.dials++
	if h.wrap != nil && err == nil {
		c = h.wrap(c)
	}
	h.mu.Unlock()
	if e := f(n); e != nil {
		if c != nil {
			c.Close()
		}
		return nil, e
	}
	return c, err
}

// holdDials has f called for each dial to the disk server before its connection is handed
// over.
func (h *held) holdDials(f func(n int) error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.dialing = f
}

func (h *held) Listen(network, address string) (net.Listener, error) {
	l, err := h.Real.Listen(network, address)
	return &heldListener{l, h}, err
}

type heldListener struct {
	net.Listener
	h *held
}

func (l *heldListener) Accept() (net.Conn, error) {
	l.h.mu.Lock()
	refuse, accept := l.h.refuse, l.h.accept
	l.h.mu.Unlock()
	if refuse != nil {
		if err := refuse(); err != nil {
			return nil, err
		}
	}
	c, err := l.Listener.Accept()
	if err == nil && accept != nil {
		c = accept(c)
	}
	return c, err
}

// watched tells when this side of a connection ended what it sends, and when it closed.
type watched struct {
	*net.TCPConn
	ended, closed *env.Gate
}

func (c *watched) CloseWrite() error {
	defer c.ended.Open()
	return c.TCPConn.CloseWrite()
}

func (c *watched) Close() error {
	defer c.closed.Open()
	defer c.ended.Open()
	return c.TCPConn.Close()
}

// playReal plays f on a scheduler, a simulated disk server and discovery on real sockets.
func playReal(t *testing.T, settings func(string) string, do func(standin.HTTPAsk) standin.HTTPAnswer, f func(sc *scene, h *held)) {
	t.Helper()
	h := &held{Real: env.NewReal()}
	sc := &scene{t: t, w: h, addr: "127.0.0.1:0"}
	must := func(err error) {
		if err != nil {
			t.Fatal(err)
		}
	}
	var err error
	sc.disk, err = standin.ServeHTTPDisk(h.Real, do)
	must(err)
	defer sc.disk.Close()
	h.disk = sc.disk.Addr
	first := listOf(7, entry("s0", sc.disk.Addr, "active", 0))
	sc.list, err = standin.ServeHTTPList(h.Real, first)
	must(err)
	defer sc.list.Close()
	conf := testConfig(sc.addr, sc.list.Addr, first)
	if settings != nil {
		conf = settings(conf)
	}
	c, err := ParseConfig([]byte(conf), func(string) string { return "" })
	must(err)
	sc.s, err = Start(h, c, zap.NewNop())
	must(err)
	defer sc.s.Close()
	defer func() {
		for _, g := range sc.gates {
			g.Open()
		}
	}()
	sc.addr = sc.s.front.listener.Addr().String()
	sc.until("discovery was heard", sc.s.told.Opened)
	sc.until("ready", sc.s.front.ready.Opened)
	f(sc, h)
}

// until waits for something that is bound to come.
func (sc *scene) until(what string, ok func() bool) {
	sc.t.Helper()
	for from := time.Now(); !ok(); time.Sleep(200 * time.Microsecond) {
		if time.Since(from) > 10*time.Second {
			sc.t.Fatal("never: " + what)
		}
	}
}

// on runs f on the loop and waits for it.
func (sc *scene) on(f func()) {
	var done env.Gate
	sc.s.loop.post(sc.s.loop.now(), eventStop, func(float64) {
		f()
		done.Open()
	})
	done.Wait(sc.w)
}

// counters are the core's, read on its loop.
func (sc *scene) counters() (c Counters) {
	sc.on(func() {
		c = sc.s.core.counters
		c.Reasons = maps.Clone(c.Reasons)
	})
	return c
}

// hookAccept has f called for what is accepted from now on.
func (sc *scene) hookAccept(h *held, f func(net.Conn) net.Conn) {
	h.mu.Lock()
	h.accept = f
	h.mu.Unlock()
	p := sc.connect() // it is accepted by the call that was under way
	p.ask("GET /up HTTP/1.1\r\n\r\n")
	p.conn.Close()
}

// core asks something of the core, on its loop.
func (sc *scene) core(f func(k *core) bool) func() bool {
	return func() (ok bool) {
		sc.on(func() { ok = f(sc.s.core) })
		return ok
	}
}

// heldDial has the next dials wait; it returns what tells that one came and what lets go.
func (sc *scene) heldDial(h *held) (came func() bool, release func()) {
	gate, at := sc.gate(), sc.gate()
	h.holdDials(func(int) error {
		at.Open()
		gate.Wait(h)
		return nil
	})
	return at.Opened, func() {
		h.holdDials(nil)
		gate.Open()
	}
}

// gate is one that opens with the scene's end at the latest.
func (sc *scene) gate() *env.Gate {
	g := &env.Gate{}
	sc.gates = append(sc.gates, g)
	return g
}

// over tells that nothing is waited for any more: each attempt has its outcome, each dial
// its end.
func (k *core) over() bool {
	total := uint64(0)
	for _, n := range k.counters.Outcomes {
		total += n
	}
	return total == k.counters.Sends && len(k.calls) == 0
}

func settled(sc *scene) func() bool {
	return sc.core(func(k *core) bool {
		coming := 0
		for _, s := range sc.s.back.servers {
			coming += s.coming
		}
		return k.over() && coming == 0
	})
}

// A client that leaves while its attempt waits for a connection takes it along, however it
// leaves and whatever it sent ahead.
func TestNothingBeginsForAClientThatLeft(t *testing.T) {
	for name, leave := range map[string]func(c *net.TCPConn){
		"close":            func(c *net.TCPConn) { c.Close() },
		"reset":            func(c *net.TCPConn) { c.SetLinger(0); c.Close() },
		"half a close":     func(c *net.TCPConn) { c.CloseWrite() },
		"behind a request": func(c *net.TCPConn) { io.WriteString(c, "GET /up HTTP/1.1\r\n\r\n"); c.Close() },
		"behind half of one": func(c *net.TCPConn) {
			io.WriteString(c, "GET /up HT")
			c.Close()
		},
	} {
		t.Run(name, func(t *testing.T) {
			playReal(t, nil, answering(ok200), func(sc *scene, h *held) {
				came, release := sc.heldDial(h)
				p := sc.connect()
				defer p.conn.Close()
				io.WriteString(p.conn, strings.Replace(sc.get(), "0.480", "30", 1))
				sc.until("the dial", came)
				leave(p.conn.(*net.TCPConn))
				sc.until("it is gone", sc.core(func(k *core) bool { return k.counters.Gone == 1 }))
				sc.until("its attempt is over", sc.core(func(k *core) bool { return k.counters.Outcomes[policy.NotSent] == 1 }))
				release()
				sc.until("all is over", settled(sc))
				if n := len(sc.disk.Asked()); n != 0 {
					t.Errorf("%d attempts for a client that had gone", n)
				}
			})
		})
	}
}

// A client that has gone before its request is read is not served at all: its connection
// waited to be accepted.
func TestAClientThatLeftBeforeItWasRead(t *testing.T) {
	playReal(t, nil, answering(ok200), func(sc *scene, h *held) {
		gate, at, closed := sc.gate(), sc.gate(), sc.gate()
		sc.hookAccept(h, func(c net.Conn) net.Conn {
			at.Open()
			gate.Wait(h)
			return &watched{c.(*net.TCPConn), &env.Gate{}, closed}
		})
		p := sc.connect()
		sc.until("the hook", at.Opened)
		io.WriteString(p.conn, sc.get())
		p.conn.Close()
		gate.Open()
		sc.until("it is closed here", closed.Opened)
		sc.until("all is over", settled(sc))
		if n := len(sc.disk.Asked()); n != 0 || sc.counters().Taken != 0 {
			t.Errorf("%d attempts, %+v", n, sc.counters())
		}
	})
}

// What waits for its connection is taken back when its disk server is told to leave, is
// gone, or has started anew: it is decided again.
func TestWaitingAttemptsAreTakenBackByTheList(t *testing.T) {
	for name, change := range map[string]func(string) string{
		"leaving": func(e string) string { return strings.Replace(e, "active", "leaving", 1) },
		"left":    func(e string) string { return strings.Replace(e, "active", "left", 1) },
		"restarted": func(e string) string {
			return strings.Replace(e, `"born_ms":0`, fmt.Sprintf(`"born_ms":%d`, time.Now().UnixMilli()), 1)
		},
	} {
		t.Run(name, func(t *testing.T) {
			playReal(t, nil, answering(ok200), func(sc *scene, h *held) {
				came, release := sc.heldDial(h)
				p := sc.connect()
				raw := strings.Replace(sc.get(), "0.480", "1.900", 1)
				io.WriteString(p.conn, raw)
				sc.until("the dial", came)
				sc.list.Say(fmt.Sprintf(`{"seq":8,"whole":false,"hosts":[%s]}`, change(entry("s0", sc.disk.Addr, "active", 0))))
				sc.until("it is taken back", sc.core(func(k *core) bool { return k.counters.Outcomes[policy.NotSent] > 0 }))
				if name != "restarted" {
					release()
					sc.until("the dial is over", sc.core(func(k *core) bool { return len(sc.s.back.servers) == 0 || sc.s.back.servers["s0"].coming == 0 }))
					if got := p.hear(0); got.status != 503 || len(sc.disk.Asked()) != 0 {
						t.Errorf("%+v, %d attempts", got, len(sc.disk.Asked()))
					}
					return
				}
				release() // it may go to the new process, as the module decides now
				if got := p.hear(0); got.status != 200 {
					t.Errorf("%+v", got)
				}
			})
		})
	}
}

// An attempt that waits for a connection to an address that is another's by then goes to
// the one that its disk server has now.
func TestAnAddressThatChangesDuringADial(t *testing.T) {
	playReal(t, nil, answering(ok200), func(sc *scene, h *held) {
		other, err := standin.ServeHTTPDisk(h.Real, answering(ok200))
		if err != nil {
			t.Fatal(err)
		}
		defer other.Close()
		came, release := sc.heldDial(h)
		p := sc.connect()
		io.WriteString(p.conn, strings.Replace(sc.get(), "0.480", "1.900", 1))
		sc.until("the dial", came)
		sc.list.Say(fmt.Sprintf(`{"seq":8,"whole":false,"hosts":[%s]}`, entry("s0", other.Addr, "active", 0)))
		sc.until("the list", sc.core(func(k *core) bool { return k.hosts["s0"].Dial == other.Addr }))
		release()
		if got := p.hear(0); got.status != 200 || len(sc.disk.Asked()) != 0 || len(other.Asked()) != 1 {
			t.Errorf("%+v, %d at the old address, %d at the new", got, len(sc.disk.Asked()), len(other.Asked()))
		}
	})
}

// lateBytes is a connection on which a request lands just as its reader was told that the
// time is over.
type lateBytes struct {
	*net.TCPConn
	land func()
}

func (c *lateBytes) Read(b []byte) (int, error) {
	n, err := c.TCPConn.Read(b)
	if isTimeout(err) {
		c.land()
	}
	return n, err
}

// A request that lands in the moment in which its idle connection is to end was taken: it
// is served, and at a stop with the connection's last answer.
func TestARequestLandsAsItsConnectionEnds(t *testing.T) {
	for name, end := range map[string]func(sc *scene){
		"a stop": func(sc *scene) { sc.s.front.finish() },
		"for another's sake": func(sc *scene) {
			sc.s.front.mu.Lock()
			defer sc.s.front.mu.Unlock()
			sc.s.front.eachIdle(func(c *client) { c.end(sc.s.loop.now()) })
		},
	} {
		t.Run(name, func(t *testing.T) {
			playReal(t, nil, answering(ok200), func(sc *scene, h *held) {
				var p *peer
				landed := sc.gate()
				sc.hookAccept(h, func(c net.Conn) net.Conn {
					return &lateBytes{c.(*net.TCPConn), func() {
						if !landed.Opened() {
							io.WriteString(p.conn, sc.get())
							landed.Open()
						}
					}}
				})
				p = sc.connect()
				defer p.conn.Close()
				if got := p.ask("GET /up HTTP/1.1\r\n\r\n"); got.status != 200 {
					t.Fatal(got)
				}
				sc.until("it is idle", func() bool {
					idle := 0
					sc.s.front.mu.Lock()
					defer sc.s.front.mu.Unlock()
					sc.s.front.eachIdle(func(*client) { idle++ })
					return idle == 1
				})
				end(sc)
				if got := p.hear(0); got.status != 200 || got.close != (name == "a stop") {
					t.Errorf("%+v", got)
				}
				if !landed.Opened() {
					t.Error("nothing was crossed")
				}
			})
		})
	}
}

// A connection that is accepted just after the idle ones were told to end ends too, and at
// once.
func TestAConnectionAcceptedAfterTheOthersEnded(t *testing.T) {
	playReal(t, nil, answering(ok200), func(sc *scene, h *held) {
		gate, at := sc.gate(), sc.gate()
		sc.hookAccept(h, func(c net.Conn) net.Conn {
			at.Open()
			gate.Wait(h)
			return c
		})
		p := sc.connect()
		defer p.conn.Close()
		sc.until("the hook", at.Opened)
		sc.s.front.finish()
		gate.Open()
		if got := p.hear(sc.w.Now()); got.status != 0 || got.took > firstTime/2 {
			t.Errorf("%+v", got)
		}
	})
}

// Settings that leave out the times of connections get usual ones.
func TestSettingsWithoutTimesOfConnections(t *testing.T) {
	bare := func(s string) string {
		return strings.Replace(s, `"dial_timeout_ms":250,"conn_idle_ms":30000`, `"x":0`, 1)
	}
	playReal(t, bare, answering(ok200), func(sc *scene, h *held) {
		p := sc.connect()
		for range 3 {
			if got := p.ask(sc.get()); got.status != 200 {
				t.Error(got)
			}
			sc.until("the connection is free", sc.core(func(*core) bool { return len(sc.s.back.servers["s0"].free) == 1 }))
		}
		if asked := sc.disk.Asked(); asked[len(asked)-1].Conn != 0 {
			t.Error("a connection was not used again")
		}
		sc.on(func() {
			if b := sc.s.back; b.dialIn != usualDial || b.keep != usualIdle*idlePart {
				t.Error(b.dialIn, b.idle)
			}
		})
	})
}

// A repeat that waits for its connection past the time in which repeats are dropped does
// not begin.
func TestRepeatsWaitNoLongerThanTheirWindow(t *testing.T) {
	short := func(s string) string {
		s = strings.Replace(s, `"key_ttl_ms":6000`, `"key_ttl_ms":150`, 1)
		return strings.Replace(s, `"dial_timeout_ms":250`, `"dial_timeout_ms":3000`, 1)
	}
	do := func(a standin.HTTPAsk) standin.HTTPAnswer { return standin.HTTPAnswer{Reset: true} }
	playReal(t, short, do, func(sc *scene, h *held) {
		second, gate := sc.gate(), sc.gate()
		h.holdDials(func(n int) error {
			if n > 0 { // the first goes
				second.Open()
				gate.Wait(h)
			}
			return nil
		})
		p := sc.connect()
		io.WriteString(p.conn, sc.request("PUT", "txn-write", "00000000000000aa", "1.900", "x", "Idempotency-Key: k1\r\n"))
		sc.until("the repeat's dial", second.Opened)
		until := 0.0
		sc.on(func() { until = sc.s.core.calls["00000000000000aa"].req.Expires - 1900 + 160 })
		sc.until("its window is over", func() bool { return sc.s.loop.now() > until })
		gate.Open()
		if got := p.hear(0); got.status != 504 {
			t.Errorf("%+v", got)
		}
		sc.until("all is over", settled(sc))
		if n := len(sc.disk.Asked()); n != 1 {
			t.Errorf("sent %d times", n)
		}
	})
}

// An attempt for a host that no list names is over at once: nothing left this machine.
func TestAnAttemptForAHostThatIsUnknown(t *testing.T) {
	playReal(t, nil, answering(ok200), func(sc *scene, h *held) {
		sc.on(func() { delete(sc.s.back.servers, "s0") })
		got := sc.connect().ask(sc.get())
		if got.status != 503 || sc.counters().Outcomes[policy.NotSent] == 0 || sc.counters().Outcomes[policy.NoConnection] > 0 {
			t.Errorf("%+v, %+v", got, sc.counters())
		}
	})
}

// diskConns lets a test speak on a disk server's connections itself.
type diskConns struct {
	l  net.Listener
	mu sync.Mutex
	at []net.Conn
}

// rawDisk serves each request with its id as body, on connections that the test can reach.
func rawDisk(t *testing.T, sc *scene) *diskConns {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	d := &diskConns{l: l}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			d.mu.Lock()
			d.at = append(d.at, c)
			d.mu.Unlock()
			go d.serve(c)
		}
	}()
	sc.list.Say(fmt.Sprintf(`{"seq":8,"whole":false,"hosts":[%s]}`, entry("s0", l.Addr().String(), "active", 0)))
	sc.until("the list", sc.core(func(k *core) bool { return k.hosts["s0"].Dial == l.Addr().String() }))
	return d
}

func (d *diskConns) serve(c net.Conn) {
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

func (d *diskConns) conn(n int) net.Conn {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.at[n]
}

func (d *diskConns) close() {
	d.l.Close()
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, c := range d.at {
		c.Close()
	}
}

// What comes on a connection to a disk server before the next request is written, bytes or
// its end, is never taken for that request's answer and costs it no attempt.
func TestBytesBeforeTheRequest(t *testing.T) {
	for name, do := range map[string]func(c net.Conn){
		"a second copy":  func(c net.Conn) { io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nstale") },
		"half a line":    func(c net.Conn) { io.WriteString(c, "HTTP/1.1 2") },
		"its end":        func(c net.Conn) { c.(*net.TCPConn).CloseWrite() },
		"a reset":        func(c net.Conn) { c.(*net.TCPConn).SetLinger(0); c.Close() },
		"a copy and end": func(c net.Conn) { io.WriteString(c, ok200); c.Close() },
	} {
		t.Run(name, func(t *testing.T) {
			playReal(t, nil, answering(ok200), func(sc *scene, h *held) {
				d := rawDisk(t, sc)
				defer d.close()
				p := sc.connect()
				for i := range 3 {
					got := p.ask(sc.get())
					if want := fmt.Sprintf("%016x", sc.n); got.status != 200 || got.body != want {
						t.Fatalf("request %d: %+v, want %s", i, got, want)
					}
					sc.until("the connection is free", sc.core(func(k *core) bool {
						s := sc.s.back.servers["s0"]
						return len(s.free) == 1 && s.coming == 0
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
func TestAnswersUpToTheClose(t *testing.T) {
	const raw = "HTTP/1.1 200 OK\r\n\r\nhi"
	for _, reset := range []bool{false, true} {
		do := func(a standin.HTTPAsk) standin.HTTPAnswer {
			if a.Conn > 0 {
				return standin.HTTPAnswer{Raw: []byte(ok200)}
			}
			return standin.HTTPAnswer{Raw: []byte(raw), Close: !reset, Reset: reset}
		}
		playReal(t, nil, do, func(sc *scene, h *held) {
			got := sc.connect().ask(strings.Replace(sc.get(), "0.480", "1.900", 1))
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
			playReal(t, nil, answering(ok200), func(sc *scene, h *held) {
				ended := sc.gate()
				sc.hookAccept(h, func(c net.Conn) net.Conn {
					return &watched{c.(*net.TCPConn), ended, &env.Gate{}}
				})
				p := sc.connect()
				defer p.conn.Close()
				if _, err := io.WriteString(p.conn, raw); err != nil {
					t.Fatal(err)
				}
				sc.until("the end", ended.Opened) // only then does the client look
				got := p.hear(0)
				if got.status == 0 || !got.close {
					t.Errorf("%+v", got)
				}
				if _, err := p.in.ReadByte(); err != io.EOF {
					t.Error("no clean end behind the answer:", err)
				}
			})
		})
	}
}

var errNoDescriptors = &net.OpError{Op: "accept", Err: syscall.EMFILE}

// Where descriptors run out, the accept loop goes on once there are some, and a disk server
// is not blamed for a dial that this machine had no descriptor for: the attempt waits.
func TestDescriptorsRunOut(t *testing.T) {
	playReal(t, nil, answering(ok200), func(sc *scene, h *held) {
		var mu sync.Mutex
		left := 5
		h.mu.Lock()
		h.refuse = func() error {
			mu.Lock()
			defer mu.Unlock()
			if left--; left >= 0 {
				return errNoDescriptors
			}
			return nil
		}
		h.mu.Unlock()
		h.holdDials(func(n int) error {
			if n == 0 {
				return errNoDescriptors
			}
			return nil
		})
		kept := sc.connect()
		for range 2 { // one more is accepted after the refusals
			if got := sc.connect().ask("GET /up HTTP/1.1\r\n\r\n"); got.status != 200 {
				t.Errorf("%+v", got)
			}
		}
		got := kept.ask(strings.Replace(sc.get(), "0.480", "1.900", 1))
		if c := sc.counters(); got.status != 200 || c.Sends != 1 || c.Outcomes[policy.NotSent] != 0 || c.Outcomes[policy.NoConnection] != 0 {
			t.Errorf("%+v, %+v", got, c)
		}
		if mu.Lock(); left >= 0 {
			t.Errorf("%d refusals were not met", left)
		}
		mu.Unlock()
		if !errors.Is(errNoDescriptors, syscall.EMFILE) {
			t.Error("the hook is wrong")
		}
	})
}

// What was taken before SIGTERM and has longer than there is until the kill gets its answer
// all the same, and nothing begins for it afterwards.
func TestAStopAnswersWhatHasLonger(t *testing.T) {
	silent := func(standin.HTTPAsk) standin.HTTPAnswer { return standin.HTTPAnswer{} }
	play(t, silent, func(sc *scene) {
		p := sc.connect()
		io.WriteString(p.conn, sc.request("PUT", "txn-write", "00000000000000ab", "30", "x", "Idempotency-Key: k\r\n"))
		io.WriteString(sc.connect().conn, strings.Replace(sc.get(), "0.480", "30", 1))
		env.Wait(sc.w, 10*time.Millisecond, nil)
		from := sc.w.Now()
		sc.w.Go(sc.s.Drain)
		if got := p.hear(from); got.status != 504 || got.took > 3700*time.Millisecond {
			t.Errorf("%+v", got)
		}
		sc.s.Wait()
		if took := sc.w.Now() - from; took > 3700*time.Millisecond {
			t.Error("ended after", took)
		}
		if k := sc.s.core; k.counters.Failed != 1 || k.counters.Refused != 1 {
			t.Errorf("%+v", k.counters)
		}
		sc.s = sc.start(listOf(7))
	})
}
