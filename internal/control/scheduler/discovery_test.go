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

// fakeDiscovery is a discovery service that passes the first request of each connection to handle.
// It records the targets and times of the requests.
type fakeDiscovery struct {
	environment  env.Environment
	listener     net.Listener
	tasks        env.WaitGroup
	mu           sync.Mutex
	conns        []net.Conn
	targets      []string
	requestTimes []time.Duration
	handle       func(connNumber int, target string, conn net.Conn)
}

func startFakeDiscovery(environment env.Environment, handle func(connNumber int, target string, conn net.Conn)) *fakeDiscovery {
	listener, err := environment.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	discovery := &fakeDiscovery{environment: environment, listener: listener, handle: handle}
	discovery.tasks.Go(environment, func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			discovery.mu.Lock()
			connNumber := len(discovery.conns)
			discovery.conns = append(discovery.conns, conn)
			discovery.mu.Unlock()
			discovery.tasks.Go(environment, func() { discovery.serve(connNumber, conn) })
		}
	})
	return discovery
}

func (f *fakeDiscovery) serve(connNumber int, conn net.Conn) {
	request, err := http1.ReadRequest(bufio.NewReader(conn), messageLimits)
	if err != nil {
		return
	}
	f.mu.Lock()
	f.targets = append(f.targets, request.Target)
	f.requestTimes = append(f.requestTimes, f.environment.Now())
	f.mu.Unlock()
	f.handle(connNumber, request.Target, conn)
}

func (f *fakeDiscovery) close() {
	f.listener.Close()
	f.mu.Lock()
	for _, conn := range f.conns {
		conn.Close()
	}
	f.mu.Unlock()
	f.tasks.Wait(f.environment)
}

const watchResponseHead = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"

func encodeChunk(data string) []byte { return fmt.Appendf(nil, "%x\r\n%s\r\n", len(data), data) }

// receivedLists holds the lists that a discoveryClient passed on, and when.
type receivedLists struct {
	lists []ServerList
	times []time.Duration
}

func (r *receivedLists) lastTime() time.Duration {
	if len(r.times) == 0 {
		return 0
	}
	return r.times[len(r.times)-1]
}

// runWatch runs test in a simulated environment with a discoveryClient, which starts at version 7,
// and the fakeDiscovery that it watches.
func runWatch(t *testing.T, handle func(connNumber int, target string, conn net.Conn), test func(environment env.Environment, client *discoveryClient, received *receivedLists, discovery *fakeDiscovery)) {
	t.Helper()
	sim := world.New(1)
	err := sim.Run("n0", 10*time.Minute, func(process *world.Process) {
		discovery := startFakeDiscovery(process, handle)
		received := &receivedLists{}
		client := newDiscoveryClient(process, discovery.listener.Addr().String(), 7, func(list ServerList) {
			received.lists = append(received.lists, list)
			received.times = append(received.times, process.Now())
		}, func(string, error) {})
		test(process, client, received, discovery)
		client.close()
		discovery.close()
	})
	if err != nil {
		t.Fatal(err)
	}
}

func emptyPartialListJSON(seq int) string {
	return fmt.Sprintf(`{"seq":%d,"whole":false,"hosts":[]}`, seq)
}

// A change missed by a silent watch must arrive within 6 s of the start of the silence, whatever
// happens to the next watch.
func TestSilentWatchIsReplacedInTime(t *testing.T) {
	// The first watch falls silent after one message, the second is handled as given here (nil:
	// it works), and the third works.
	for name, handleSecond := range map[string]func(environment env.Environment, conn net.Conn){
		"works":       nil,
		"no response": func(env.Environment, net.Conn) {},
		"head only":   func(_ env.Environment, conn net.Conn) { conn.Write([]byte(watchResponseHead)) },
		"closed":      func(_ env.Environment, conn net.Conn) { conn.Close() },
		"not HTTP":    func(_ env.Environment, conn net.Conn) { conn.Write([]byte("nonsense\r\n\r\n")) },
		"status 503": func(_ env.Environment, conn net.Conn) {
			conn.Write([]byte("HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n"))
		},
		"partial head": func(_ env.Environment, conn net.Conn) { conn.Write([]byte(watchResponseHead[:20])) },
		"spaces only": func(environment env.Environment, conn net.Conn) { // bytes without a newline are no sign of life
			conn.Write([]byte(watchResponseHead))
			for range 100 {
				if _, err := conn.Write(encodeChunk(" ")); err != nil {
					return
				}
				env.Sleep(environment, 500*time.Millisecond, nil)
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			var environment env.Environment
			silentSince := time.Duration(0)
			handle := func(connNumber int, _ string, conn net.Conn) {
				switch {
				case connNumber == 0:
					conn.Write([]byte(watchResponseHead))
					conn.Write(encodeChunk(emptyPartialListJSON(7) + "\n"))
					silentSince = environment.Now()
				case connNumber == 1 && handleSecond != nil:
					handleSecond(environment, conn)
				default:
					conn.Write([]byte(watchResponseHead))
					conn.Write(encodeChunk(emptyPartialListJSON(9) + "\n"))
				}
			}
			runWatch(t, handle, func(process env.Environment, client *discoveryClient, received *receivedLists, discovery *fakeDiscovery) {
				environment = process
				for environment.Now() < 7*time.Second && (len(received.lists) == 0 || received.lists[len(received.lists)-1].Seq != 9) {
					env.Sleep(environment, 10*time.Millisecond, nil)
				}
				if delay := received.lastTime() - silentSince; len(received.lists) < 2 || delay > 5900*time.Millisecond {
					t.Errorf("got %d lists, the last %s after the silence began, want at least 2 within 5.9 s; requests %v at %v", len(received.lists), delay, discovery.targets, discovery.requestTimes)
				}
			})
		})
	}
}

// A watch that sends only an empty line every 2 s must stay open.
func TestEmptyLinesKeepWatchOpen(t *testing.T) {
	var environment env.Environment
	handle := func(connNumber int, _ string, conn net.Conn) {
		conn.Write([]byte(watchResponseHead))
		for range 20 {
			if _, err := conn.Write(encodeChunk("\n")); err != nil {
				return
			}
			env.Sleep(environment, 2*time.Second, nil)
		}
	}
	runWatch(t, handle, func(process env.Environment, client *discoveryClient, received *receivedLists, discovery *fakeDiscovery) {
		environment = process
		env.Sleep(environment, 30*time.Second, nil)
		if len(discovery.conns) != 1 || len(received.lists) != 1 || received.lists[0].Seq != 7 {
			t.Errorf("got %d watches and lists %+v, want one watch and one list of version 7", len(discovery.conns), received.lists)
		}
	})
}

// An unreadable message, or one whose version goes back, must cause one fetch of the full list,
// from which the watch continues. If it recurs, the rate of requests must stay bounded.
func TestUnreadableMessageCausesFullFetch(t *testing.T) {
	for name, message := range map[string]string{
		"not JSON":            "nonsense\n",
		"wrong type":          `{"seq":"x"}` + "\n",
		"unknown state":       `{"seq":9,"hosts":[{"host":"s","health":"well"}]}` + "\n",
		"older version":       emptyPartialListJSON(3) + "\n",
		"too long":            `{"seq":9,"hosts":[` + strings.Repeat(" ", maxMessageBytes) + "]}\n",
		"mismatched brackets": `{"seq":9]` + "\n" + `}`,
		"array":               "[]\n",
	} {
		for _, repeated := range []bool{false, true} {
			t.Run(fmt.Sprint(name, repeated), func(t *testing.T) {
				fullList := `{"seq":11,"whole":true,"hosts":[]}`
				watchCount := 0
				handle := func(_ int, target string, conn net.Conn) {
					if target == discoveryPath {
						fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(fullList), fullList)
						return
					}
					conn.Write([]byte(watchResponseHead))
					if watchCount++; watchCount == 1 || repeated {
						conn.Write(encodeChunk(message))
					}
				}
				runWatch(t, handle, func(environment env.Environment, client *discoveryClient, received *receivedLists, discovery *fakeDiscovery) {
					env.Sleep(environment, 1900*time.Millisecond, nil)
					want := []string{discoveryPath + "?stream=1&index=7", discoveryPath, discoveryPath + "?stream=1&index=11"}
					if len(discovery.targets) < 3 || !slices.Equal(discovery.targets[:3], want) || len(received.lists) == 0 || received.lists[0].Seq != 11 || !received.lists[0].Full {
						t.Fatalf("got requests %q and lists %+v, want a watch, a fetch of the full list and a watch from version 11", discovery.targets, received.lists)
					}
					if requestTotal := len(discovery.targets); !repeated && requestTotal != 3 || requestTotal > 25 {
						t.Errorf("got %d requests, want 3, or at most 25 if the message recurs", requestTotal)
					}
				})
			})
		}
	}
}

// Each JSON object must be handled as one message, however it is indented or split into chunks.
func TestIndentedAndSplitMessages(t *testing.T) {
	first := ServerList{Seq: 9, Entries: []ServerEntry{{Host: `a "\}{`, Address: "x:1", Health: "active", Share: 1}}}
	second := ServerList{Seq: 10, Full: true, Entries: []ServerEntry{{Host: "b", Address: "x:2", Health: "leaving", Share: 1}}}
	compactFirst, _ := json.Marshal(first)
	indentedFirst, _ := json.MarshalIndent(first, "", "  ")
	indentedSecond, _ := json.MarshalIndent(second, "\t", "\t")
	for name, stream := range map[string]string{
		"indented":     string(indentedFirst) + "\n\n" + string(indentedSecond) + "\n",
		"crlf":         strings.ReplaceAll(string(indentedFirst)+"\n"+string(indentedSecond)+"\n", "\n", "\r\n"),
		"no line ends": string(compactFirst) + string(indentedSecond),
	} {
		for _, chunkBytes := range []int{1, 2, 7, 1 << 20} {
			t.Run(fmt.Sprint(name, chunkBytes), func(t *testing.T) {
				handle := func(_ int, _ string, conn net.Conn) {
					conn.Write([]byte(watchResponseHead))
					for rest := stream; rest != ""; {
						n := min(chunkBytes, len(rest))
						conn.Write(encodeChunk(rest[:n]))
						rest = rest[n:]
					}
				}
				runWatch(t, handle, func(environment env.Environment, client *discoveryClient, received *receivedLists, discovery *fakeDiscovery) {
					env.Sleep(environment, time.Second, nil)
					if len(received.lists) != 2 || received.lists[0].Entries[0] != first.Entries[0] || !received.lists[1].Full || received.lists[1].Entries[0] != second.Entries[0] {
						t.Errorf("got lists %+v, want the two that were sent", received.lists)
					}
				})
			})
		}
	}
}

// If the address of discovery changes twice while a watch is silent or open, the client must end up
// at the last one.
func TestSetAddressDuringWatch(t *testing.T) {
	sendVersion := func(seq int) func(int, string, net.Conn) {
		return func(_ int, _ string, conn net.Conn) {
			conn.Write([]byte(watchResponseHead))
			conn.Write(encodeChunk(emptyPartialListJSON(seq) + "\n"))
		}
	}
	neverRespond := func(int, string, net.Conn) {}
	for name, handleFirst := range map[string]func(int, string, net.Conn){"silent": neverRespond, "open": sendVersion(8)} {
		t.Run(name, func(t *testing.T) {
			runWatch(t, handleFirst, func(environment env.Environment, client *discoveryClient, received *receivedLists, discovery *fakeDiscovery) {
				env.Sleep(environment, 20*time.Millisecond, nil)
				second, third := startFakeDiscovery(environment, sendVersion(9)), startFakeDiscovery(environment, sendVersion(10))
				movedAt := environment.Now()
				client.setAddress(second.listener.Addr().String())
				client.setAddress(third.listener.Addr().String())
				env.Sleep(environment, time.Second, nil)
				if len(received.lists) == 0 || received.lists[len(received.lists)-1].Seq != 10 || received.lastTime()-movedAt > 500*time.Millisecond {
					t.Errorf("got lists %+v, the last one %s after the change, want version 10 within 500 ms", received.lists, received.lastTime()-movedAt)
				}
				second.close()
				third.close()
			})
		})
	}
}

// However a stream is split, objectReader must return the same items, and next must consume at least
// one byte and no more than it was given.
func FuzzMessages(f *testing.F) {
	f.Add([]byte("{\"seq\":1}\n\n{\"a\":\"}\\\"\"}"), 3)
	f.Add([]byte("[]"), 1)
	f.Fuzz(func(t *testing.T, input []byte, cut int) {
		split := func(pieces ...[]byte) (items []string) {
			var reader objectReader
			for _, data := range pieces {
				for len(data) > 0 {
					n, item, err := reader.next(data)
					if err != nil {
						return append(items, "unreadable")
					}
					if n <= 0 || n > len(data) {
						t.Fatal("next consumed no byte or more than it was given")
					}
					if data = data[n:]; item != itemPartial {
						items = append(items, fmt.Sprint(item, string(reader.bytes())))
					}
				}
			}
			return items
		}
		cutAt := min(max(cut, 0), len(input))
		want := split(input)
		if got := split(input[:cutAt], input[cutAt:]); !slices.Equal(want, got) {
			t.Fatalf("%q split at %d: got items %q, want %q as without a split", input, cutAt, got, want)
		}
	})
}

// A new process must not send requests by its configured list, which may be out of date, before
// discovery answers or readyTimeout has passed.
func TestStartWaitsForDiscovery(t *testing.T) {
	for _, silent := range []bool{false, true} {
		var environment env.Environment
		sim := world.New(1)
		err := sim.Run("n0", time.Minute, func(process *world.Process) {
			environment = process
			h := &harness{t: t, environment: process, schedulerAddr: "127.0.0.1:5000"}
			configuredServer, _ := standin.ServeHTTPDiskServer(process, respondWith(ok200))
			discoveredServer, _ := standin.ServeHTTPDiskServer(process, respondWith(ok200))
			configuredList := fullListJSON(7, entryJSON("s0", configuredServer.Addr, "active", 0))
			discovery := startFakeDiscovery(process, func(_ int, _ string, conn net.Conn) {
				if silent {
					return
				}
				env.Sleep(environment, 300*time.Millisecond, nil)
				conn.Write([]byte(watchResponseHead))
				conn.Write(encodeChunk(fullListJSON(8, entryJSON("s1", discoveredServer.Addr, "active", 0)) + "\n"))
			})
			config, err := ParseConfig([]byte(testConfig(h.schedulerAddr, discovery.listener.Addr().String(), configuredList)), func(string) string { return "" })
			if err != nil {
				panic(err)
			}
			if h.scheduler, err = Start(process, config, zap.NewNop()); err != nil {
				panic(err)
			}
			upResponse := h.connect().roundTrip("GET /up HTTP/1.1\r\n\r\n")
			got := h.connect().roundTrip(strings.Replace(h.getRequest(), "0.480", "30", 1))
			if upResponse.status != 503 || got.status != 200 || got.elapsed > readyTimeout+100*time.Millisecond {
				t.Errorf("discovery silent %v: got response %+v to /up and %+v to the request, want status 503, and status 200 within 1.6 s", silent, upResponse, got)
			}
			if configuredCount, discoveredCount := len(configuredServer.Requests()), len(discoveredServer.Requests()); silent != (configuredCount == 1) || silent == (discoveredCount == 1) {
				t.Errorf("discovery silent %v: got %d requests by the configured list and %d by that of discovery, want 1 and 0 if silent, otherwise 0 and 1", silent, configuredCount, discoveredCount)
			}
			h.scheduler.Close()
			discovery.close()
			configuredServer.Close()
			discoveredServer.Close()
		})
		if err != nil {
			t.Fatal(err)
		}
	}
}
