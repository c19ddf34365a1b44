package scheduler

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"go.uber.org/zap"

	"merlinhitch/internal/protocol/http1"
	"merlinhitch/internal/runtime/env"
	"merlinhitch/internal/simulation/standin"
	"merlinhitch/internal/simulation/world"
)

// fakeDiscovery is discovery that does with each connection what a test says.
type fakeDiscovery struct {
	environment  env.Environment
	listener     net.Listener
	tasks        env.WaitGroup
	mu           sync.Mutex
	conns        []net.Conn
	targets      []string
	requestTimes []time.Duration
	handle       func(n int, target string, c net.Conn)
}

func startFakeDiscovery(w env.Environment, do func(n int, target string, c net.Conn)) *fakeDiscovery {
	l, err := w.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	a := &fakeDiscovery{environment: w, listener: l, handle: do}
	a.tasks.Go(w, func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			a.mu.Lock()
			n := len(a.conns)
			a.conns = append(a.conns, c)
			a.mu.Unlock()
			a.tasks.Go(w, func() { a.serve(n, c) })
		}
	})
	return a
}

func (a *fakeDiscovery) serve(n int, c net.Conn) {
	r, err := http1.ReadRequest(bufio.NewReader(c), messageLimits)
	if err != nil {
		return
	}
	a.mu.Lock()
	a.targets = append(a.targets, r.Target)
	a.requestTimes = append(a.requestTimes, a.environment.Now())
	a.mu.Unlock()
	a.handle(n, r.Target, c)
}

func (a *fakeDiscovery) close() {
	a.listener.Close()
	a.mu.Lock()
	for _, c := range a.conns {
		c.Close()
	}
	a.mu.Unlock()
	a.tasks.Wait(a.environment)
}

const watchResponseHead = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"

func encodeChunk(s string) []byte { return fmt.Appendf(nil, "%x\r\n%s\r\n", len(s), s) }

// receivedLists is what a watch receivedLists, and when.
type receivedLists struct {
	lists []ServerList
	times []time.Duration
}

func (t *receivedLists) lastTime() time.Duration {
	if len(t.times) == 0 {
		return 0
	}
	return t.times[len(t.times)-1]
}

// runWatch plays f on a watch of an agent, in a virtual world.
func runWatch(t *testing.T, do func(n int, target string, c net.Conn), f func(w env.Environment, d *discoveryClient, got *receivedLists, a *fakeDiscovery)) {
	t.Helper()
	v := world.New(1)
	err := v.Run("n0", 10*time.Minute, func(p *world.Process) {
		a := startFakeDiscovery(p, do)
		got := &receivedLists{}
		d := newDiscoveryClient(p, a.listener.Addr().String(), 7, func(l ServerList) {
			got.lists = append(got.lists, l)
			got.times = append(got.times, p.Now())
		}, func(string, error) {})
		f(p, d, got, a)
		d.close()
		a.close()
	})
	if err != nil {
		t.Fatal(err)
	}
}

func emptyPartialListJSON(seq int) string {
	return fmt.Sprintf(`{"seq":%d,"whole":false,"hosts":[]}`, seq)
}

// What a silent watch misses is known within 6 s of when it fell silent, whatever the next
// one meets.
func TestSilentWatchIsReplacedInTime(t *testing.T) {
	// Each is what the second watch meets; the first falls silent at once, the third works.
	for name, second := range map[string]func(w env.Environment, c net.Conn){
		"works":          nil,
		"says nothing":   func(env.Environment, net.Conn) {},
		"a head alone":   func(_ env.Environment, c net.Conn) { c.Write([]byte(watchResponseHead)) },
		"is closed":      func(_ env.Environment, c net.Conn) { c.Close() },
		"is no HTTP":     func(_ env.Environment, c net.Conn) { c.Write([]byte("nonsense\r\n\r\n")) },
		"answers 503":    func(_ env.Environment, c net.Conn) { c.Write([]byte("HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n")) },
		"is half a head": func(_ env.Environment, c net.Conn) { c.Write([]byte(watchResponseHead[:20])) },
		"drips": func(w env.Environment, c net.Conn) { // bytes that are no line are no sign of life
			c.Write([]byte(watchResponseHead))
			for range 100 {
				if _, err := c.Write(encodeChunk(" ")); err != nil {
					return
				}
				env.Sleep(w, 500*time.Millisecond, nil)
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			var w env.Environment
			silentAt := time.Duration(0)
			do := func(n int, _ string, c net.Conn) {
				switch {
				case n == 0:
					c.Write([]byte(watchResponseHead))
					c.Write(encodeChunk(emptyPartialListJSON(7) + "\n"))
					silentAt = w.Now()
				case n == 1 && second != nil:
					second(w, c)
				default:
					c.Write([]byte(watchResponseHead))
					c.Write(encodeChunk(emptyPartialListJSON(9) + "\n"))
				}
			}
			runWatch(t, do, func(p env.Environment, d *discoveryClient, got *receivedLists, a *fakeDiscovery) {
				w = p
				for w.Now() < 7*time.Second && (len(got.lists) == 0 || got.lists[len(got.lists)-1].Seq != 9) {
					env.Sleep(w, 10*time.Millisecond, nil)
				}
				if took := got.lastTime() - silentAt; len(got.lists) < 2 || took > 5900*time.Millisecond {
					t.Errorf("%d messages, the last %s after the silence; asked %v at %v", len(got.lists), took, a.targets, a.requestTimes)
				}
			})
		})
	}
}

// A watch that says an empty line every 2 s is kept.
func TestEmptyLinesKeepWatchOpen(t *testing.T) {
	var w env.Environment
	do := func(n int, _ string, c net.Conn) {
		c.Write([]byte(watchResponseHead))
		for range 20 {
			if _, err := c.Write(encodeChunk("\n")); err != nil {
				return
			}
			env.Sleep(w, 2*time.Second, nil)
		}
	}
	runWatch(t, do, func(p env.Environment, d *discoveryClient, got *receivedLists, a *fakeDiscovery) {
		w = p
		env.Sleep(w, 30*time.Second, nil)
		if len(a.conns) != 1 || len(got.lists) != 1 || got.lists[0].Seq != 7 {
			t.Errorf("%d watches, %+v", len(a.conns), got.lists)
		}
	})
}

// A message that can't be read, or goes back in the versions, costs one fetch of the whole
// list, and then the watch goes on from there. Where it lasts, the rate is bounded.
func TestUnreadableMessageCausesFullFetch(t *testing.T) {
	for name, line := range map[string]string{
		"noise":         "nonsense\n",
		"another type":  `{"seq":"x"}` + "\n",
		"health":        `{"seq":9,"hosts":[{"host":"s","health":"well"}]}` + "\n",
		"back":          emptyPartialListJSON(3) + "\n",
		"too long":      `{"seq":9,"hosts":[` + strings.Repeat(" ", maxMessageBytes) + "]}\n",
		"closed by it":  `{"seq":9]` + "\n" + `}`,
		"an array only": "[]\n",
	} {
		for _, always := range []bool{false, true} {
			t.Run(fmt.Sprint(name, always), func(t *testing.T) {
				whole := `{"seq":11,"whole":true,"hosts":[]}`
				watches := 0
				do := func(_ int, target string, c net.Conn) {
					if target == discoveryPath {
						fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(whole), whole)
						return
					}
					c.Write([]byte(watchResponseHead))
					if watches++; watches == 1 || always {
						c.Write(encodeChunk(line))
					}
				}
				runWatch(t, do, func(w env.Environment, d *discoveryClient, got *receivedLists, a *fakeDiscovery) {
					env.Sleep(w, 1900*time.Millisecond, nil)
					want := []string{discoveryPath + "?stream=1&index=7", discoveryPath, discoveryPath + "?stream=1&index=11"}
					if len(a.targets) < 3 || !slices.Equal(a.targets[:3], want) || len(got.lists) == 0 || got.lists[0].Seq != 11 || !got.lists[0].Full {
						t.Fatalf("asked %q, told %+v", a.targets, got.lists)
					}
					if n := len(a.targets); !always && n != 3 || n > 25 {
						t.Errorf("asked %d times", n)
					}
				})
			})
		}
	}
}

// Messages may be indented and come in any pieces: an object is one message.
func TestIndentedAndSplitMessages(t *testing.T) {
	one := ServerList{Seq: 9, Entries: []ServerEntry{{Host: `a "\}{`, Address: "x:1", Health: "active", Share: 1}}}
	two := ServerList{Seq: 10, Full: true, Entries: []ServerEntry{{Host: "b", Address: "x:2", Health: "leaving", Share: 1}}}
	flat1, _ := json.Marshal(one)
	wide1, _ := json.MarshalIndent(one, "", "  ")
	wide2, _ := json.MarshalIndent(two, "\t", "\t")
	for name, stream := range map[string]string{
		"indented":     string(wide1) + "\n\n" + string(wide2) + "\n",
		"crlf":         strings.ReplaceAll(string(wide1)+"\n"+string(wide2)+"\n", "\n", "\r\n"),
		"no line ends": string(flat1) + string(wide2),
	} {
		for _, size := range []int{1, 2, 7, 1 << 20} {
			t.Run(fmt.Sprint(name, size), func(t *testing.T) {
				do := func(_ int, _ string, c net.Conn) {
					c.Write([]byte(watchResponseHead))
					for b := stream; b != ""; {
						n := min(size, len(b))
						c.Write(encodeChunk(b[:n]))
						b = b[n:]
					}
				}
				runWatch(t, do, func(w env.Environment, d *discoveryClient, got *receivedLists, a *fakeDiscovery) {
					env.Sleep(w, time.Second, nil)
					if len(got.lists) != 2 || got.lists[0].Entries[0] != one.Entries[0] || !got.lists[1].Full || got.lists[1].Entries[0] != two.Entries[0] {
						t.Errorf("%+v", got.lists)
					}
				})
			})
		}
	}
}

// A move during a dial, during a silence, or twice at once ends at the last address.
func TestSetAddressDuringWatch(t *testing.T) {
	answer := func(seq int) func(int, string, net.Conn) {
		return func(_ int, _ string, c net.Conn) {
			c.Write([]byte(watchResponseHead))
			c.Write(encodeChunk(emptyPartialListJSON(seq) + "\n"))
		}
	}
	silent := func(int, string, net.Conn) {}
	for name, first := range map[string]func(int, string, net.Conn){"silent": silent, "open": answer(8)} {
		t.Run(name, func(t *testing.T) {
			runWatch(t, first, func(w env.Environment, d *discoveryClient, got *receivedLists, a *fakeDiscovery) {
				env.Sleep(w, 20*time.Millisecond, nil)
				b, c := startFakeDiscovery(w, answer(9)), startFakeDiscovery(w, answer(10))
				from := w.Now()
				d.setAddress(b.listener.Addr().String())
				d.setAddress(c.listener.Addr().String())
				env.Sleep(w, time.Second, nil)
				if len(got.lists) == 0 || got.lists[len(got.lists)-1].Seq != 10 || got.lastTime()-from > 500*time.Millisecond {
					t.Errorf("%+v after %s", got.lists, got.lastTime()-from)
				}
				b.close()
				c.close()
			})
		})
	}
}

// However a stream is cut, the same messages come of it, and what is taken is bounded.
func FuzzMessages(f *testing.F) {
	f.Add([]byte("{\"seq\":1}\n\n{\"a\":\"}\\\"\"}"), 3)
	f.Add([]byte("[]"), 1)
	f.Fuzz(func(t *testing.T, in []byte, cut int) {
		read := func(pieces ...[]byte) (out []string) {
			var m objectReader
			for _, b := range pieces {
				for len(b) > 0 {
					n, what, err := m.next(b)
					if err != nil {
						return append(out, "unreadable")
					}
					if n <= 0 || n > len(b) {
						t.Fatal("no progress")
					}
					if b = b[n:]; what != itemPartial {
						out = append(out, fmt.Sprint(what, string(m.bytes())))
					}
				}
			}
			return out
		}
		at := min(max(cut, 0), len(in))
		whole := read(in)
		if parts := read(in[:at], in[at:]); !slices.Equal(whole, parts) {
			t.Fatalf("%q cut at %d: %q, whole %q", in, at, parts, whole)
		}
	})
}

// A new process sends nothing by the list it was started with until discovery was heard:
// what that knows counts as told from the first moment. Where discovery is silent, it is
// waited for no longer than readyWait.
func TestStartWaitsForDiscovery(t *testing.T) {
	for _, silent := range []bool{false, true} {
		var w env.Environment
		v := world.New(1)
		err := v.Run("n0", time.Minute, func(p *world.Process) {
			w = p
			sc := &harness{t: t, environment: p, schedulerAddr: "127.0.0.1:5000"}
			old, _ := standin.ServeHTTPDisk(p, respondWith(ok200))
			now, _ := standin.ServeHTTPDisk(p, respondWith(ok200))
			known := fullListJSON(7, entryJSON("s0", old.Addr, "active", 0))
			a := startFakeDiscovery(p, func(_ int, _ string, c net.Conn) {
				if silent {
					return
				}
				env.Sleep(w, 300*time.Millisecond, nil)
				c.Write([]byte(watchResponseHead))
				c.Write(encodeChunk(fullListJSON(8, entryJSON("s1", now.Addr, "active", 0)) + "\n"))
			})
			c, err := ParseConfig([]byte(testConfig(sc.schedulerAddr, a.listener.Addr().String(), known)), func(string) string { return "" })
			if err != nil {
				panic(err)
			}
			if sc.scheduler, err = Start(p, c, zap.NewNop()); err != nil {
				panic(err)
			}
			up := sc.connect().roundTrip("GET /up HTTP/1.1\r\n\r\n")
			got := sc.connect().roundTrip(strings.Replace(sc.getRequest(), "0.480", "30", 1))
			if up.status != 503 || got.status != 200 || got.elapsed > readyTimeout+100*time.Millisecond {
				t.Errorf("silent %v: %+v, %+v", silent, up, got)
			}
			if was, is := len(old.Asked()), len(now.Asked()); silent != (was == 1) || silent == (is == 1) {
				t.Errorf("silent %v: %d by the old list, %d by the new", silent, was, is)
			}
			sc.scheduler.Close()
			a.close()
			old.Close()
			now.Close()
		})
		if err != nil {
			t.Fatal(err)
		}
	}
}
