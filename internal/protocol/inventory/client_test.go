package inventory

import (
	"bufio"
	"fmt"
	"net"
	"slices"
	"testing"
	"time"

	"merlinhitch/internal/runtime/env"
	"merlinhitch/internal/simulation/world"
)

// slowInventory answers each request for changes after a delay, in the order of the requests of a
// connection.
type slowInventory struct {
	environment env.Environment
	listener    net.Listener
	tasks       env.WaitGroup
	generation  uint64
	delay       time.Duration // of each answer; below 0: requests are not answered
	pieceDelay  time.Duration // if not 0, answers are sent in pieces, with this time between them
	nodeCount   int
	conns       []net.Conn

	maxUnanswered int // the most requests of a connection that were unanswered at a time
}

func startSlowInventory(environment env.Environment) *slowInventory {
	listener, err := environment.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	s := &slowInventory{environment: environment, listener: listener, generation: 8, nodeCount: 1}
	s.tasks.Go(environment, func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			s.conns = append(s.conns, conn)
			s.tasks.Go(environment, func() { s.serve(conn) })
		}
	})
	return s
}

func (s *slowInventory) serve(conn net.Conn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	var request Ask
	unanswered := 0
	for ReadLine(reader, &request) == nil {
		if s.pieceDelay > 0 {
			s.answer(conn)
			continue
		}
		unanswered++
		s.maxUnanswered = max(s.maxUnanswered, unanswered)
		if delay := s.delay; delay >= 0 {
			s.tasks.Go(s.environment, func() {
				env.Sleep(s.environment, delay, nil)
				s.answer(conn)
				unanswered--
			})
		}
	}
}

const pieceCount = 20

func (s *slowInventory) answer(conn net.Conn) {
	list := List{Kind: Full, Generation: s.generation}
	for i := range s.nodeCount {
		list.Nodes = append(list.Nodes, Node{Addr: fmt.Sprintf("10.0.0.1:%d", i+1), Health: Ready})
	}
	line := Line(list)
	if s.pieceDelay == 0 {
		conn.Write(line)
		return
	}
	for piece := range slices.Chunk(line, len(line)/pieceCount+1) {
		if _, err := conn.Write(piece); err != nil {
			return
		}
		env.Sleep(s.environment, s.pieceDelay, nil)
	}
}

func (s *slowInventory) close() {
	s.listener.Close()
	for _, conn := range s.conns {
		conn.Close()
	}
	s.tasks.Wait(s.environment)
}

// followedLists holds what a Client passed on, and when.
type followedLists struct {
	lists []List
	times []time.Duration
}

// seenAt returns when a generation was passed on, and whether it was.
func (f *followedLists) seenAt(generation uint64) (time.Duration, bool) {
	i := slices.IndexFunc(f.lists, func(l List) bool { return l.Generation == generation })
	if i < 0 {
		return 0, false
	}
	return f.times[i], true
}

// runClient runs test in a simulated environment with a Client of a slowInventory. prepare runs before the
// client starts.
func runClient(t *testing.T, prepare func(s *slowInventory), test func(environment env.Environment, s *slowInventory, client *Client, followed *followedLists)) {
	t.Helper()
	err := world.New(1).Run("n0", 10*time.Minute, func(process *world.Process) {
		s := startSlowInventory(process)
		prepare(s)
		followed := &followedLists{}
		client := Follow(process, s.listener.Addr().String(), func(list List) {
			followed.lists = append(followed.lists, list)
			followed.times = append(followed.times, process.Now())
		})
		test(process, s, client, followed)
		client.Close()
		s.close()
	})
	if err != nil {
		t.Fatal(err)
	}
}

// An inventory that answers all requests late must be heard: a connection was given up after 3.5 s without an
// answer, so that none was ever heard.
func TestSlowInventoryIsHeard(t *testing.T) {
	for _, delay := range []time.Duration{0, 1000, 3400, 3600, 5000, 7500, 20000, 45000} {
		delay *= time.Millisecond
		t.Run(delay.String(), func(t *testing.T) {
			runClient(t, func(s *slowInventory) { s.delay = delay }, func(environment env.Environment, s *slowInventory, client *Client, followed *followedLists) {
				env.Sleep(environment, 3*delay+100*time.Millisecond, nil)
				seenAt, seen := followed.seenAt(8)
				if latest := delay + 50*time.Millisecond; !seen || delay < inventoryCalls.MinLongPatience && seenAt > latest {
					t.Errorf("generation 8: passed on %v, at %s, want it by %s", seen, seenAt, latest)
				}
				if s.maxUnanswered > maxUnanswered {
					t.Errorf("%d requests of a connection were unanswered at a time, want %d at the most", s.maxUnanswered, maxUnanswered)
				}
				s.generation = 9
				changedAt := environment.Now()
				env.Sleep(environment, 5*time.Second, nil)
				// A request is sent every second and answered with what is known at the end of its delay.
				if seenAt, seen := followed.seenAt(9); delay <= inventoryCalls.Silence && (!seen || seenAt-changedAt > watchInterval+50*time.Millisecond) {
					t.Errorf("generation 9: passed on %v, %s after the change, want it within %s", seen, seenAt-changedAt, watchInterval)
				}
			})
		})
	}
}

// A change must be passed on after an outage in which requests are never answered, also if the inventory is
// slow then, with a bounded number of connections.
func TestSlowInventoryIsHeardAfterAnOutage(t *testing.T) {
	for _, delay := range []time.Duration{0, 2000, 3600, 3900} {
		for _, outage := range []time.Duration{1000, 4300, 9700, 31000} {
			delay, outage := delay*time.Millisecond, outage*time.Millisecond
			t.Run(fmt.Sprint(delay, outage), func(t *testing.T) {
				runClient(t, func(*slowInventory) {}, func(environment env.Environment, s *slowInventory, client *Client, followed *followedLists) {
					env.Sleep(environment, 5*time.Second, nil)
					s.delay = -1
					env.Sleep(environment, outage, nil)
					s.generation, s.delay = 9, delay
					reachableAt, maxOpen := environment.Now(), 0
					for environment.Now() < reachableAt+10*time.Second {
						open, _ := client.follower.Open()
						maxOpen = max(maxOpen, open)
						env.Sleep(environment, 10*time.Millisecond, nil)
					}
					// An open connection asks again within watchInterval.
					latest := max(delay+watchInterval, inventoryCalls.Patience+inventoryCalls.PatientInterval)
					if seenAt, seen := followed.seenAt(9); !seen || seenAt-reachableAt > latest || maxOpen > 4 {
						t.Errorf("passed on %v, %s after the outage, want it within %s; %d connections at a time, want 4 at the most", seen, seenAt-reachableAt, latest, maxOpen)
					}
				})
			})
		}
	}
}

// A long list must be passed on if it comes in pieces, in more time than a connection may be silent for.
func TestListInPieces(t *testing.T) {
	prepare := func(s *slowInventory) { s.nodeCount, s.pieceDelay = 3000, 300*time.Millisecond }
	runClient(t, prepare, func(environment env.Environment, s *slowInventory, client *Client, followed *followedLists) {
		env.Sleep(environment, pieceCount*s.pieceDelay+time.Second, nil)
		if seenAt, seen := followed.seenAt(8); !seen || len(followed.lists[len(followed.lists)-1].Nodes) != 3000 {
			t.Errorf("passed on %v, at %s, want 3000 nodes after %s", seen, seenAt, pieceCount*s.pieceDelay)
		}
	})
}

// An inventory that accepts connections and says nothing must count as lost since it was last heard: it
// counted as found again with each connection, so that addresses were never withdrawn for its sake.
func TestSilentInventoryIsLost(t *testing.T) {
	runClient(t, func(*slowInventory) {}, func(environment env.Environment, s *slowInventory, client *Client, followed *followedLists) {
		env.Sleep(environment, 5*time.Second, nil)
		if since, lost := client.Lost(); lost {
			t.Errorf("lost since %s while it answers", since)
		}
		silentAt := environment.Now()
		s.delay = -1
		env.Sleep(environment, 30*time.Second, nil)
		if since, lost := client.Lost(); !lost || since > silentAt+inventoryCalls.Silence+50*time.Millisecond {
			t.Errorf("lost %v since %s, want it lost since %s at the latest", lost, since, silentAt+inventoryCalls.Silence)
		}
		s.delay = 0
		env.Sleep(environment, 5*time.Second, nil)
		if since, lost := client.Lost(); lost {
			t.Errorf("lost since %s, after it answers again", since)
		}
	})
}
