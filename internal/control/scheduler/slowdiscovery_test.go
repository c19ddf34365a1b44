package scheduler

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"merlinhitch/internal/protocol/http1"
	"merlinhitch/internal/runtime/env"
)

// discoveryModel is a discovery service whose answers begin late. An open watch gets changes at once,
// and an empty line every 2 s otherwise.
type discoveryModel struct {
	environment env.Environment
	version     int
	// beforeHead runs before the answer to a call begins; the call gets none if it returns false.
	beforeHead func(connNumber int, conn net.Conn) bool
}

func (m *discoveryModel) handle(connNumber int, target string, conn net.Conn) {
	if !m.beforeHead(connNumber, conn) {
		conn.Read(make([]byte, 1)) // until the client closes it
		return
	}
	if _, err := conn.Write([]byte(watchResponseHead)); err != nil {
		return
	}
	for sent := -1; ; {
		line := "\n"
		if sent != m.version {
			sent = m.version
			line = fmt.Sprintf(`{"seq":%d,"whole":%v,"hosts":[]}`+"\n", sent, target == discoveryPath)
		}
		if _, err := conn.Write(encodeChunk(line)); err != nil || target == discoveryPath {
			return
		}
		for waitedUntil := m.environment.Now() + 2*time.Second; sent == m.version && m.environment.Now() < waitedUntil; {
			env.Sleep(m.environment, 10*time.Millisecond, nil)
		}
	}
}

// late returns a beforeHead that delays each answer.
func (m *discoveryModel) late(delay time.Duration) func(int, net.Conn) bool {
	return func(int, net.Conn) bool { return env.Sleep(m.environment, delay, nil) }
}

// toldAt returns when the client passed version on, and whether it did.
func (r *receivedLists) toldAt(version uint64) (time.Duration, bool) {
	i := slices.IndexFunc(r.lists, func(list ServerList) bool { return list.Seq == version })
	if i < 0 {
		return 0, false
	}
	return r.times[i], true
}

// runModel runs test with a client of a discoveryModel that has version 8.
func runModel(t *testing.T, beforeHead func(m *discoveryModel) func(int, net.Conn) bool, test func(m *discoveryModel, client *discoveryClient, received *receivedLists, discovery *fakeDiscovery)) {
	t.Helper()
	m := &discoveryModel{version: 8}
	m.beforeHead = func(connNumber int, conn net.Conn) bool { return beforeHead(m)(connNumber, conn) }
	handle := func(connNumber int, target string, conn net.Conn) { m.handle(connNumber, target, conn) }
	runWatch(t, handle, func(process env.Environment, client *discoveryClient, received *receivedLists, discovery *fakeDiscovery) {
		m.environment = process
		test(m, client, received, discovery)
	})
}

// A discovery that begins all its answers late must be heard: each call was given up after 0.4 s, so
// that none was ever answered, and requests went to disk servers that were gone (review/8).
func TestSlowDiscoveryIsHeard(t *testing.T) {
	for _, delay := range []time.Duration{300, 410, 500, 800, 1300, 2000, 2700, 3500, 5000, 12000, 30000} {
		delay *= time.Millisecond
		t.Run(delay.String(), func(t *testing.T) {
			beforeHead := func(m *discoveryModel) func(int, net.Conn) bool { return m.late(delay) }
			runModel(t, beforeHead, func(m *discoveryModel, client *discoveryClient, received *receivedLists, discovery *fakeDiscovery) {
				env.Sleep(m.environment, 4*delay+100*time.Millisecond, nil)
				toldAt, told := received.toldAt(8)
				if latest := delay + 50*time.Millisecond; !told || delay <= discoveryCalls.MinLongPatience && toldAt > latest {
					t.Errorf("version 8 was told %v at %s, want it by %s; requests at %v", told, toldAt, latest, discovery.requestTimes)
				}
				callCount := len(discovery.requestTimes)
				env.Sleep(m.environment, 20*time.Second, nil)
				m.version, delay = 9, time.Hour
				env.Sleep(m.environment, 100*time.Millisecond, nil)
				if _, told := received.toldAt(9); !told || len(discovery.requestTimes) != callCount {
					t.Errorf("version 9 on the open watch was told %v, requests at %v, want it told and %d requests", told, discovery.requestTimes, callCount)
				}
			})
		})
	}
}

// Whatever calls come to, a change must be told 6 s after discovery can be reached, 4 s after a change of
// its address, with a bounded number of calls.
func TestChangeIsToldWhileDiscoveryIsSlow(t *testing.T) {
	// Each case changes what happens to calls that come from now on, and to those that are open.
	neverAnswered := func(int, net.Conn) bool { return false }
	for name, change := range map[string]struct {
		during func(m *discoveryModel, delay time.Duration) func(int, net.Conn) bool // calls while discovery is out of reach
		after  func(m *discoveryModel, delay time.Duration) func(int, net.Conn) bool // nil: each is late
	}{
		"late only": {},
		"refused": {during: func(*discoveryModel, time.Duration) func(int, net.Conn) bool {
			return func(_ int, conn net.Conn) bool { conn.Close(); return false }
		}},
		"never answered": {during: func(*discoveryModel, time.Duration) func(int, net.Conn) bool { return neverAnswered }},
		"half closed": {after: func(m *discoveryModel, delay time.Duration) func(int, net.Conn) bool {
			return func(connNumber int, conn net.Conn) bool {
				if connNumber%2 == 0 {
					conn.Close()
					return false
				}
				return m.late(delay)(connNumber, conn)
			}
		}},
		"half answered 503": {after: func(m *discoveryModel, delay time.Duration) func(int, net.Conn) bool {
			return func(connNumber int, conn net.Conn) bool {
				if connNumber%2 == 0 {
					conn.Write([]byte("HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n"))
					return false
				}
				return m.late(delay)(connNumber, conn)
			}
		}},
		"503 after the delay, then never, then late": {after: func(m *discoveryModel, delay time.Duration) func(int, net.Conn) bool {
			first := -1
			return func(connNumber int, conn net.Conn) bool {
				if first < 0 {
					first = connNumber
				}
				switch connNumber - first {
				case 0:
					conn.Write([]byte("HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n"))
					return false
				case 1:
					return false
				}
				return m.late(delay)(connNumber, conn)
			}
		}},
	} {
		for _, delay := range []time.Duration{0, 410, 1000, 2000, 2700, 3500} {
			for _, outage := range []time.Duration{0, 300, 1700, 2900, 4100, 8300, 21700} {
				if outage > 0 && change.during == nil {
					continue
				}
				delay, outage := delay*time.Millisecond, outage*time.Millisecond
				t.Run(fmt.Sprint(name, delay, outage), func(t *testing.T) {
					beforeHead := func(m *discoveryModel) func(int, net.Conn) bool { return m.late(delay) }
					runModel(t, beforeHead, func(m *discoveryModel, client *discoveryClient, received *receivedLists, discovery *fakeDiscovery) {
						env.Sleep(m.environment, 5*time.Second, nil)
						closeAll(discovery)
						if change.during != nil {
							m.beforeHead = change.during(m, delay)
						}
						env.Sleep(m.environment, outage, nil)
						m.beforeHead = m.late(delay)
						if change.after != nil {
							m.beforeHead = change.after(m, delay)
						}
						reachableAt := m.environment.Now()
						m.version = 9
						before := len(discovery.requestTimes)
						maxOpen := client.watchOpenCalls(m.environment, 10*time.Second)
						if toldAt, told := received.toldAt(9); !told || toldAt-reachableAt > 6*time.Second {
							t.Errorf("version 9 was told %v %s after discovery could be reached, want it within 6 s; requests at %v", told, toldAt-reachableAt, discovery.requestTimes)
						}
						if calls := len(discovery.requestTimes) - before; calls > 20 || maxOpen > 4 {
							t.Errorf("%d calls in 10 s, %d at a time, want 20 and 4 at the most", calls, maxOpen)
						}
					})
				})
			}
		}
	}
}

// watchOpenCalls returns the most calls that were open at a time within duration.
func (d *discoveryClient) watchOpenCalls(environment env.Environment, duration time.Duration) (maxOpen int) {
	for until := environment.Now() + duration; environment.Now() < until; env.Sleep(environment, 10*time.Millisecond, nil) {
		open, _ := d.follower.Open()
		maxOpen = max(maxOpen, open)
	}
	return maxOpen
}

// closeAll closes the connections that discovery has open.
func closeAll(discovery *fakeDiscovery) {
	discovery.mu.Lock()
	defer discovery.mu.Unlock()
	for _, conn := range discovery.conns {
		conn.Close()
	}
}

// A watch that falls silent must be replaced in time by a discovery that is slow, also where the first
// call beside it is never answered.
func TestSilentWatchOfASlowDiscoveryIsReplaced(t *testing.T) {
	for _, delay := range []time.Duration{0, 410, 1000, 2000, 2700, 3500} {
		for _, unanswered := range []int{0, 1} {
			delay := delay * time.Millisecond
			if delay > 3*time.Second && unanswered > 0 {
				continue // the silence, the next call and the delay take more than 6 s
			}
			t.Run(fmt.Sprint(delay, unanswered), func(t *testing.T) {
				var environment env.Environment
				silentSince, answered := time.Duration(0), 0
				handle := func(connNumber int, _ string, conn net.Conn) {
					if connNumber == 0 {
						conn.Write([]byte(watchResponseHead))
						conn.Write(encodeChunk(emptyPartialListJSON(7) + "\n"))
						silentSince = environment.Now()
						return
					}
					if answered++; answered <= unanswered {
						return
					}
					env.Sleep(environment, delay, nil)
					conn.Write([]byte(watchResponseHead))
					conn.Write(encodeChunk(emptyPartialListJSON(9) + "\n"))
				}
				runWatch(t, handle, func(process env.Environment, client *discoveryClient, received *receivedLists, discovery *fakeDiscovery) {
					environment = process
					env.Sleep(environment, 8*time.Second, nil)
					if toldAt, told := received.toldAt(9); !told || toldAt-silentSince > 6*time.Second {
						t.Errorf("told %v %s after the silence began, want it within 6 s; requests at %v", told, toldAt-silentSince, discovery.requestTimes)
					}
				})
			})
		}
	}
}

// A new address of discovery must be heard 4 s after the change, also if it is slow.
func TestNewAddressOfASlowDiscovery(t *testing.T) {
	for _, delay := range []time.Duration{0, 410, 1000, 2000, 2700, 3500} {
		delay *= time.Millisecond
		t.Run(delay.String(), func(t *testing.T) {
			beforeHead := func(m *discoveryModel) func(int, net.Conn) bool { return m.late(0) }
			runModel(t, beforeHead, func(m *discoveryModel, client *discoveryClient, received *receivedLists, discovery *fakeDiscovery) {
				env.Sleep(m.environment, 5*time.Second, nil)
				next := &discoveryModel{environment: m.environment, version: 9}
				next.beforeHead = next.late(delay)
				nextDiscovery := startFakeDiscovery(m.environment, next.handle)
				movedAt := m.environment.Now()
				client.setAddress(nextDiscovery.listener.Addr().String())
				env.Sleep(m.environment, 5*time.Second, nil)
				if toldAt, told := received.toldAt(9); !told || toldAt-movedAt > 4*time.Second {
					t.Errorf("told %v %s after the change of the address, want it within 4 s; requests at %v", told, toldAt-movedAt, nextDiscovery.requestTimes)
				}
				nextDiscovery.close()
			})
		})
	}
}

// The full list of the largest fleet must be applied if it comes in pieces with gaps, in more time than a
// watch may be silent for.
func TestLargestListInPieces(t *testing.T) {
	encoded, err := json.Marshal(makeServerList(3200, stateActive))
	if err != nil {
		t.Fatal(err)
	}
	const pieces = 40
	handle := func(environment env.Environment, conn net.Conn) {
		conn.Write([]byte(watchResponseHead))
		for rest, size := encoded, len(encoded)/pieces+1; len(rest) > 0; {
			n := min(size, len(rest))
			if _, err := conn.Write(encodeChunk(string(rest[:n]))); err != nil {
				return
			}
			rest = rest[n:]
			env.Sleep(environment, 250*time.Millisecond, nil)
		}
	}
	var environment env.Environment
	runWatch(t, func(_ int, _ string, conn net.Conn) { handle(environment, conn) }, func(process env.Environment, client *discoveryClient, received *receivedLists, discovery *fakeDiscovery) {
		environment = process
		env.Sleep(environment, 11*time.Second, nil)
		if toldAt, told := received.toldAt(1); !told || len(received.lists[0].Entries) != 3200 {
			t.Errorf("told %v at %s, requests at %v, want 3200 servers after 10 s", told, toldAt, discovery.requestTimes)
		}
	})
}

// Calls that each receive a message without an end must hold maxMessageBytes in all, stay bounded in
// number, and not keep a sound one from being applied.
func TestIncompleteMessagesAreBounded(t *testing.T) {
	var environment env.Environment
	handle := func(connNumber int, _ string, conn net.Conn) {
		conn.Write([]byte(watchResponseHead))
		if connNumber == 9 {
			conn.Write(encodeChunk(fullListJSON(9) + "\n"))
			return
		}
		piece := encodeChunk("{" + strings.Repeat(" ", 150<<10))
		for {
			if _, err := conn.Write(piece); err != nil {
				return
			}
			env.Sleep(environment, 500*time.Millisecond, nil)
		}
	}
	runWatch(t, handle, func(process env.Environment, client *discoveryClient, received *receivedLists, discovery *fakeDiscovery) {
		environment = process
		for range 300 {
			maxOpen := client.watchOpenCalls(environment, 100*time.Millisecond)
			_, held := client.follower.Open()
			if held > maxMessageBytes || maxOpen > discoveryCalls.MaxOpen {
				t.Fatalf("%d calls hold %d bytes, want %d and %d at the most", maxOpen, held, discoveryCalls.MaxOpen, maxMessageBytes)
			}
		}
		if _, told := received.toldAt(9); !told {
			t.Errorf("version 9 was not told; requests at %v", discovery.requestTimes)
		}
	})
}

// Calls that receive a message byte by byte for ever must stay bounded in number, and not keep a sound
// one from being applied.
func TestTricklingMessagesAreBounded(t *testing.T) {
	var environment env.Environment
	handle := func(connNumber int, _ string, conn net.Conn) {
		conn.Write([]byte(watchResponseHead))
		if connNumber == 2*discoveryCalls.MaxOpen {
			conn.Write(encodeChunk(fullListJSON(9) + "\n"))
			return
		}
		for {
			if _, err := conn.Write(encodeChunk("{")); err != nil {
				return
			}
			env.Sleep(environment, time.Second, nil)
		}
	}
	runWatch(t, handle, func(process env.Environment, client *discoveryClient, received *receivedLists, discovery *fakeDiscovery) {
		environment = process
		maxOpen := client.watchOpenCalls(environment, 30*time.Second)
		if _, told := received.toldAt(9); !told || maxOpen != discoveryCalls.MaxOpen {
			t.Errorf("told %v, %d calls at a time, want it told and %d calls; requests at %v", told, maxOpen, discoveryCalls.MaxOpen, discovery.requestTimes)
		}
	})
}

// A list must not be passed on before the one that came before it, however long that takes: the older one
// would be applied last.
func TestListsArePassedOnInOrder(t *testing.T) {
	var client *discoveryClient
	var environment env.Environment
	handle := func(connNumber int, _ string, conn net.Conn) {
		conn.Write([]byte(watchResponseHead))
		conn.Write(encodeChunk(emptyPartialListJSON(8+connNumber) + "\n"))
	}
	runWatch(t, func(int, string, net.Conn) {}, func(process env.Environment, _ *discoveryClient, _ *receivedLists, _ *fakeDiscovery) {
		environment = process
		discovery := startFakeDiscovery(environment, handle)
		var begun, passed []uint64
		client = newDiscoveryClient(environment, discovery.listener.Addr().String(), 7, func(list ServerList) {
			begun = append(begun, list.Seq)
			if list.Seq == 8 {
				env.Sleep(environment, 2*discoveryCalls.Silence, nil)
			}
			passed = append(passed, list.Seq)
		}, func(string, error) {})
		env.Sleep(environment, 2*discoveryCalls.Silence+100*time.Millisecond, nil)
		if want := []uint64{8, 9}; !slices.Equal(begun[:min(2, len(begun))], want) || !slices.Equal(passed[:min(2, len(passed))], want) {
			t.Errorf("began to pass on versions %v and passed on %v, want %v first; requests at %v", begun, passed, want, discovery.requestTimes)
		}
		client.close()
		discovery.close()
	})
}

// After an unreadable message nothing but the full list may be applied, also from a watch that was
// opened before.
func TestNothingButTheFullListAfterAnUnreadableMessage(t *testing.T) {
	var environment env.Environment
	var garbled env.Gate
	handle := func(connNumber int, target string, conn net.Conn) {
		if target == discoveryPath {
			env.Sleep(environment, time.Second, nil)
			fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(fullListJSON(11)), fullListJSON(11))
			return
		}
		conn.Write([]byte(watchResponseHead))
		switch connNumber {
		case 0: // falls silent until the next call has been answered
			conn.Write(encodeChunk(emptyPartialListJSON(8) + "\n"))
			garbled.Wait(environment)
			env.Sleep(environment, 50*time.Millisecond, nil)
			conn.Write(encodeChunk(emptyPartialListJSON(9) + "\n"))
		case 1:
			conn.Write(encodeChunk(emptyPartialListJSON(3) + "\n"))
			garbled.Open()
		}
	}
	runWatch(t, handle, func(process env.Environment, client *discoveryClient, received *receivedLists, discovery *fakeDiscovery) {
		environment = process
		env.Sleep(environment, 5*time.Second, nil)
		var versions []uint64
		for _, list := range received.lists {
			versions = append(versions, list.Seq)
		}
		if !slices.Equal(versions, []uint64{8, 11}) {
			t.Errorf("got versions %v by requests %q at %v, want 8 and the full list of version 11", versions, discovery.targets, discovery.requestTimes)
		}
	})
}

// Of two watches that answer out of order the older list must not replace the newer one.
func TestOlderListDoesNotReplaceNewer(t *testing.T) {
	var environment env.Environment
	var newerSent env.Gate
	handle := func(connNumber int, target string, conn net.Conn) {
		seq := 12
		if connNumber == 0 {
			newerSent.Wait(environment)
			env.Sleep(environment, 50*time.Millisecond, nil)
			seq = 9
		}
		conn.Write([]byte(watchResponseHead))
		conn.Write(encodeChunk(fullListJSON(seq) + "\n"))
		newerSent.Open()
	}
	runWatch(t, handle, func(process env.Environment, client *discoveryClient, received *receivedLists, discovery *fakeDiscovery) {
		environment = process
		env.Sleep(environment, 2*time.Second, nil)
		if len(discovery.targets) != 2 || len(received.lists) != 1 || received.lists[0].Seq != 12 {
			t.Errorf("got lists %+v by requests %q, want version 12 alone by two requests", received.lists, discovery.targets)
		}
	})
}

// An unreadable message of one call must not end another that is still to be answered with the full list.
func TestUnreadableMessageBesideASlowFullList(t *testing.T) {
	var environment env.Environment
	handle := func(connNumber int, target string, conn net.Conn) {
		if connNumber%2 == 0 {
			conn.Write([]byte(watchResponseHead))
			conn.Write(encodeChunk("nonsense\n"))
			return
		}
		env.Sleep(environment, 3*time.Second, nil)
		conn.Write([]byte(watchResponseHead))
		conn.Write(encodeChunk(fullListJSON(9) + "\n"))
	}
	runWatch(t, handle, func(process env.Environment, client *discoveryClient, received *receivedLists, discovery *fakeDiscovery) {
		environment = process
		env.Sleep(environment, 4*time.Second, nil)
		if toldAt, told := received.toldAt(9); !told || toldAt > 3500*time.Millisecond {
			t.Errorf("told %v at %s, want version 9 within 3.5 s; requests %q at %v", told, toldAt, discovery.targets, discovery.requestTimes)
		}
	})
}

// slowListener answers the first request that it gets only once the second has come, and never answers
// another.
type slowListener struct {
	net.Listener
	mu    sync.Mutex
	conns []net.Conn
}

func (l *slowListener) serve(t *testing.T, tasks *sync.WaitGroup, answer string) {
	for {
		conn, err := l.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			t.Error(err)
			return
		}
		l.mu.Lock()
		l.conns = append(l.conns, conn)
		first, second := l.conns[0], len(l.conns) == 2
		l.mu.Unlock()
		tasks.Go(func() {
			if _, err := http1.ReadRequest(bufio.NewReader(conn), messageLimits); err == nil && second {
				first.Write([]byte(watchResponseHead))
				first.Write(encodeChunk(answer + "\n"))
			}
		})
	}
}

// On sockets: the answer to a call that comes after the next call was made must be applied.
func TestLateAnswerIsAppliedOnSockets(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	slow := &slowListener{Listener: listener}
	var tasks sync.WaitGroup
	tasks.Go(func() { slow.serve(t, &tasks, fullListJSON(9)) })
	received := make(chan ServerList, 16)
	client := newDiscoveryClient(env.NewReal(), listener.Addr().String(), 7, func(list ServerList) { received <- list }, func(string, error) {})
	select {
	case list := <-received:
		if list.Seq != 9 || !list.Full {
			t.Errorf("got list %+v, want the full list of version 9", list)
		}
	case <-time.After(10 * time.Second):
		t.Error("no list within 10 s, want the one that came after the second call")
	}
	client.close()
	listener.Close()
	slow.mu.Lock()
	for _, conn := range slow.conns {
		conn.Close()
	}
	slow.mu.Unlock()
	tasks.Wait()
}
