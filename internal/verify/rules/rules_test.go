package rules_test

import (
	"fmt"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"merlinhitch/internal/control/settings"
	"merlinhitch/internal/protocol/diskproto"
	"merlinhitch/internal/protocol/inventory"
	"merlinhitch/internal/protocol/scsi"
	"merlinhitch/internal/verify/rules"
	"merlinhitch/internal/verify/trail"
)

const ms = 1000 // us

// trailBuilder builds a trail by hand. Times are in ms.
type trailBuilder struct {
	meta   *trail.Meta
	events []trail.Event
}

const (
	host   = "h0#1"
	hostID = 77
	nodeA  = "127.0.0.1:1001" // holds shard 0
	nodeB  = "127.0.0.1:1002" // its successor
	nodeC  = "127.0.0.1:1003" // holds shard 1, which warms up
)

// Volumes of the example: 0 is basico on one host; 1 is normal; 3 is basico.
func newBuilder() *trailBuilder {
	s := settings.Example(1, 3)
	for i := range s.Volumes {
		s.Volumes[i].Layout = []int{0}
	}
	return &trailBuilder{meta: &trail.Meta{Settings: s, Servers: map[string]trail.Server{
		nodeA: {Name: "a", Shard: 0, Zone: "x", Rate: 100}, nodeB: {Name: "b", Shard: 0, Zone: "x", Rate: 100},
		nodeC: {Name: "c", Shard: 1, Zone: "y", Rate: 100}}}}
}

func (b *trailBuilder) add(at float64, e trail.Event) *trail.Event {
	e.Time = int64(at * ms)
	if e.Host == "" {
		e.Host = host
	}
	b.events = append(b.events, e)
	return &b.events[len(b.events)-1]
}

func (b *trailBuilder) login(at float64, conn uint32, volume int) {
	b.add(at, trail.Event{Link: trail.LinkClient, Conn: conn, Dir: trail.Down, Kind: trail.Login, Session: conn, Volume: b.meta.Settings.Volumes[volume].Name})
}

func (b *trailBuilder) command(at float64, conn, tag uint32, op scsi.Op, lba uint64, blocks uint32) {
	n := blocks * 4096
	b.add(at, trail.Event{Link: trail.LinkClient, Conn: conn, Dir: trail.Up, Kind: trail.Command, Session: conn, Tag: tag,
		Op: op.String(), LBA: lba, Blocks: blocks, Length: n, Advice: n})
}

func (b *trailBuilder) status(at float64, conn, tag uint32, status byte) {
	b.add(at, trail.Event{Link: trail.LinkClient, Conn: conn, Dir: trail.Down, Kind: trail.Status, Session: conn, Tag: tag, Status: int32(status)})
}

// attempt is attempt n of request seq, part of conn's command tag; its deadline is so
// many ms later.
func (b *trailBuilder) attempt(at float64, node string, attemptTag uint32, seq uint64, number uint32, conn, tag uint32, volume int, timeout float64) {
	v := b.meta.Settings.Volumes[volume]
	b.add(at, trail.Event{Link: trail.LinkDisk, Conn: 900, Peer: node, HostID: hostID, Dir: trail.Up, Kind: trail.Do, Tag: attemptTag, Seq: seq,
		Attempt: number, Session: conn, RefTag: tag, Volume: v.Name, Key: v.Name + "/0", Units: 1, Deadline: int64((at + timeout) * ms)})
}

func (b *trailBuilder) answer(at float64, node string, attemptTag uint32, result diskproto.Result) {
	b.add(at, trail.Event{Link: trail.LinkDisk, Conn: 900, Peer: node, HostID: hostID, Dir: trail.Down, Kind: trail.Answer, Tag: attemptTag, Status: int32(result)})
}

func (b *trailBuilder) list(at float64, kind string, nodes ...inventory.Node) {
	l := inventory.List{Kind: kind, Generation: 1, Nodes: nodes}
	b.add(at, trail.Event{Link: trail.LinkInventory, Conn: 901, Dir: trail.Down, Kind: trail.List, Detail: strings.TrimSpace(string(inventory.Line(l)))})
}

func node(addr, health string, shard int, age float64) inventory.Node {
	return inventory.Node{Addr: addr, Health: health, Shard: shard, Incarnation: 1, AgeMS: age}
}

func (b *trailBuilder) check() *rules.Checker {
	slices.SortStableFunc(b.events, func(a, b trail.Event) int { return int(a.Time - b.Time) })
	return rules.Check(b.meta, b.events)
}

// validTrail is a trail on which every rule has something to check, and holds.
func validTrail() *trailBuilder {
	t := newBuilder()
	t.list(0, inventory.Full, node(nodeA, inventory.Ready, 0, 0), node(nodeC, inventory.Ready, 1, 500))
	t.login(1, 1, 0) // basico: limited, claim-write is ordered
	t.login(1, 2, 1) // normal: txn-write is keyed
	// A read that is served.
	t.command(10, 1, 1, scsi.Read, 0, 1)
	t.attempt(11, nodeA, 1, 1, 0, 1, 1, 0, 1900)
	t.answer(20, nodeA, 1, diskproto.OK)
	t.status(21, 1, 1, scsi.Good)
	// Two ordered writes of one key, one after the other.
	t.command(30, 1, 2, scsi.Write, 0, 1)
	t.command(31, 1, 3, scsi.Write, 0, 1)
	t.attempt(32, nodeA, 2, 2, 0, 1, 2, 0, 1000)
	t.answer(40, nodeA, 2, diskproto.OK)
	t.status(41, 1, 2, scsi.Good)
	t.attempt(42, nodeA, 3, 3, 0, 1, 3, 0, 1000)
	t.answer(50, nodeA, 3, diskproto.OK)
	t.status(51, 1, 3, scsi.Good)
	// A keyed write whose first attempt is lost in time and repeated in the window.
	t.command(60, 2, 1, scsi.Write, 0, 1)
	t.attempt(61, nodeA, 4, 4, 0, 2, 1, 1, 700)
	t.attempt(800, nodeA, 5, 4, 1, 2, 1, 1, 700)
	t.answer(810, nodeA, 5, diskproto.OK)
	t.status(811, 2, 1, scsi.Good)
	// A cold node gets a little.
	t.command(820, 2, 2, scsi.Read, 0, 1)
	t.attempt(821, nodeC, 6, 5, 0, 2, 2, 1, 1900)
	t.answer(830, nodeC, 6, diskproto.OK)
	t.status(831, 2, 2, scsi.Good)
	// A drain, with one send inside the grace.
	t.list(900, inventory.Delta, node(nodeA, inventory.Draining, 0, 0), node(nodeB, inventory.Ready, 0, 0))
	t.command(910, 2, 3, scsi.Read, 0, 1)
	t.attempt(911, nodeA, 7, 6, 0, 2, 3, 1, 1900)
	t.answer(920, nodeA, 7, diskproto.OK)
	t.status(921, 2, 3, scsi.Good)
	return t
}

func TestGoodTrailHolds(t *testing.T) {
	c := validTrail().check()
	for _, b := range c.Violations {
		t.Error(b)
	}
	for r := rules.Answers; r <= rules.Budget; r++ {
		if c.Checks[r] == 0 {
			t.Errorf("rule %d was never checked", r)
		}
	}
	if c.Stats.Commands != 6 || c.Stats.Finished != 6 {
		t.Errorf("%d commands, %d final answers", c.Stats.Commands, c.Stats.Finished)
	}
}

// Each case spoils the good trail in one way, and must be rejected for its rule.
func TestDoctoredTrails(t *testing.T) {
	cases := []struct {
		name    string
		rule    rules.Rule
		corrupt func(b *trailBuilder)
	}{
		{"an answer is left out", rules.Answers, func(b *trailBuilder) {
			b.drop(func(e *trail.Event) bool { return e.Kind == trail.Status && e.Time == 921*ms })
			b.add(9000, trail.Event{Link: trail.LinkInventory, Conn: 901, Kind: trail.Open})
		}},
		{"a second answer", rules.Answers, func(b *trailBuilder) { b.status(25, 1, 1, scsi.Good) }},
		{"an answer after the client's time", rules.Answers, func(b *trailBuilder) {
			b.command(1000, 2, 50, scsi.Read, 0, 1)
			b.status(1000+2000+101, 2, 50, scsi.Busy)
		}},
		{"sent after the final answer", rules.Answers, func(b *trailBuilder) { b.attempt(100, nodeA, 60, 1, 1, 1, 1, 0, 1900) }},
		{"sent for a command that never was", rules.Answers, func(b *trailBuilder) { b.attempt(100, nodeA, 60, 600, 0, 1, 99, 0, 1900) }},
		{"the host hangs up on a client", rules.Answers, func(b *trailBuilder) {
			b.command(1000, 2, 50, scsi.Read, 0, 1)
			b.add(1010, trail.Event{Link: trail.LinkClient, Conn: 2, Dir: trail.Down, Kind: trail.Close, Session: 2})
		}},
		{"unsafe sent twice", rules.Effects, func(b *trailBuilder) {
			b.command(1000, 2, 50, scsi.CompareAndWrite, 0, 1)
			b.attempt(1001, nodeB, 60, 60, 0, 2, 50, 1, 300)
			b.attempt(1400, nodeB, 61, 60, 1, 2, 50, 1, 300)
			b.answer(1410, nodeB, 61, diskproto.OK)
			b.status(1420, 2, 50, scsi.Good)
		}},
		{"unsafe refused though it may have run", rules.Effects, func(b *trailBuilder) {
			b.command(1000, 2, 50, scsi.CompareAndWrite, 0, 1)
			b.attempt(1001, nodeB, 60, 60, 0, 2, 50, 1, 300)
			b.status(1420, 2, 50, scsi.Busy)
		}},
		{"keyed refused though it may have run", rules.Effects, func(b *trailBuilder) {
			b.command(1000, 2, 50, scsi.Write, 0, 1)
			b.attempt(1001, nodeB, 60, 60, 0, 2, 50, 1, 300)
			b.answer(1100, nodeB, 60, diskproto.Failed)
			b.status(1420, 2, 50, scsi.Busy)
		}},
		{"keyed repeated after its window", rules.Effects, func(b *trailBuilder) {
			b.meta.Settings.Classes[1].Window = 700
		}},
		{"keyed repeated in another cell", rules.Effects, func(b *trailBuilder) {
			for i := range b.events {
				if e := &b.events[i]; e.Kind == trail.Do && e.Time == 800*ms {
					e.Peer = nodeC
				}
			}
		}},
		{"two attempts at once", rules.Effects, func(b *trailBuilder) {
			b.command(1000, 2, 50, scsi.Read, 0, 1)
			b.attempt(1001, nodeB, 60, 60, 0, 2, 50, 1, 1900)
			b.attempt(1100, nodeB, 61, 60, 1, 2, 50, 1, 1900)
			b.answer(1110, nodeB, 61, diskproto.OK)
			b.status(1120, 2, 50, scsi.Good)
		}},
		{"an abort answered too early", rules.Effects, func(b *trailBuilder) {
			b.command(1000, 2, 50, scsi.Write, 0, 1)
			b.attempt(1001, nodeB, 60, 60, 0, 2, 50, 1, 3000)
			b.add(1100, trail.Event{Link: trail.LinkClient, Conn: 2, Dir: trail.Up, Kind: trail.TaskRequest, Session: 2, Tag: 51, RefTag: 50, Status: 1})
			b.add(1101, trail.Event{Link: trail.LinkClient, Conn: 2, Dir: trail.Down, Kind: trail.TaskResponse, Session: 2, Tag: 51})
		}},
		{"sent to a draining node", rules.Drains, func(b *trailBuilder) {
			b.command(1500, 2, 50, scsi.Read, 0, 1)
			b.attempt(1501, nodeA, 60, 60, 0, 2, 50, 1, 1900)
			b.answer(1510, nodeA, 60, diskproto.OK)
			b.status(1520, 2, 50, scsi.Good)
		}},
		{"sent to a node that left the list", rules.Drains, func(b *trailBuilder) {
			b.list(1000, inventory.Full, node(nodeB, inventory.Ready, 0, 0))
			b.command(1800, 2, 50, scsi.Read, 0, 1)
			b.attempt(1801, nodeC, 60, 60, 0, 2, 50, 1, 1900)
			b.answer(1810, nodeC, 60, diskproto.OK)
			b.status(1820, 2, 50, scsi.Good)
		}},
		{"a cold node pushed", rules.Cold, func(b *trailBuilder) {
			// At 0.83 s after a start at -0.5 s it does a third of 100 units a second;
			// twice that for 1.5 s is borne, some 100 units.
			for i := range uint32(30) {
				at := 1000 + float64(i)
				b.command(at, 2, 50+i, scsi.Read, 0, 1)
				b.attempt(at, nodeC, 60+i, uint64(60+i), 0, 2, 50+i, 1, 6)
				b.answer(at+100, nodeC, 60+i, diskproto.OK)
				b.status(at+110, 2, 50+i, scsi.Good)
				b.events[len(b.events)-3].Units = 6
			}
		}},
		{"a server says that it was pushed over", rules.Cold, func(b *trailBuilder) {
			b.add(1000, trail.Event{Link: trail.LinkDisk, Conn: 900, Peer: nodeC, Dir: trail.Down, Kind: trail.Bye, Status: 1})
		}},
		{"a limit passed", rules.Limits, func(b *trailBuilder) {
			for i := range uint32(40) { // 48 units are stored, 40 a second fill, 10 are slack
				at := 1000 + float64(i)
				b.command(at, 1, 50+i, scsi.Read, 0, 1)
				b.attempt(at, nodeB, 60+i, uint64(60+i), 0, 1, 50+i, 0, 2)
				b.events[len(b.events)-1].Units = 2
				b.answer(at+100, nodeB, 60+i, diskproto.OK)
				b.status(at+110, 1, 50+i, scsi.Good)
			}
		}},
		{"two of a key at once", rules.Order, func(b *trailBuilder) {
			b.command(1000, 1, 50, scsi.Write, 0, 1)
			b.command(1001, 1, 51, scsi.Write, 0, 1)
			b.attempt(1002, nodeB, 60, 60, 0, 1, 50, 0, 900)
			b.attempt(1003, nodeB, 61, 61, 0, 1, 51, 0, 900)
			b.answer(1010, nodeB, 60, diskproto.OK)
			b.answer(1011, nodeB, 61, diskproto.OK)
			b.status(1020, 1, 50, scsi.Good)
			b.status(1021, 1, 51, scsi.Good)
		}},
		{"a key's requests in the wrong order", rules.Order, func(b *trailBuilder) {
			b.command(1000, 1, 50, scsi.Write, 0, 1)
			b.command(1001, 1, 51, scsi.Write, 0, 1)
			b.attempt(1003, nodeB, 61, 61, 0, 1, 51, 0, 900)
			b.answer(1011, nodeB, 61, diskproto.OK)
			b.status(1021, 1, 51, scsi.Good)
			b.attempt(1030, nodeB, 60, 60, 0, 1, 50, 0, 900)
			b.answer(1040, nodeB, 60, diskproto.OK)
			b.status(1041, 1, 50, scsi.Good)
		}},
		{"a key that did not rest", rules.Order, func(b *trailBuilder) {
			b.command(1000, 1, 50, scsi.Write, 0, 1)
			b.command(1001, 1, 51, scsi.Write, 0, 1)
			b.attempt(1002, nodeB, 60, 60, 0, 1, 50, 0, 300)
			b.status(1310, 1, 50, scsi.CheckCondition)
			b.attempt(1400, nodeB, 61, 61, 0, 1, 51, 0, 300)
			b.answer(1411, nodeB, 61, diskproto.OK)
			b.status(1421, 1, 51, scsi.Good)
		}},
		{"more resends than the budget", rules.Budget, func(b *trailBuilder) {
			for i := range uint32(12) {
				at := 1000 + 10*float64(i)
				b.command(at, 2, 50+i, scsi.Read, 0, 1)
				b.attempt(at+1, nodeB, 60+2*i, uint64(60+i), 0, 2, 50+i, 1, 1900)
				b.answer(at+2, nodeB, 60+2*i, diskproto.Failed)
				b.attempt(at+3, nodeB, 61+2*i, uint64(60+i), 1, 2, 50+i, 1, 1900)
				b.answer(at+4, nodeB, 61+2*i, diskproto.OK)
				b.status(at+5, 2, 50+i, scsi.Good)
			}
		}},
	}
	covered := map[rules.Rule]bool{}
	for _, k := range cases {
		t.Run(k.name, func(t *testing.T) {
			builder := validTrail()
			k.corrupt(builder)
			c := builder.check()
			if c.OK() {
				t.Fatal("accepted")
			}
			for r := range c.ViolationCounts {
				if c.ViolationCounts[r] > 0 && rules.Rule(r) != k.rule {
					t.Errorf("also breaks rule %d: %v", r, c.Violations)
				}
			}
			if c.ViolationCounts[k.rule] == 0 {
				t.Errorf("not for rule %d: %v", k.rule, c.Violations)
			}
		})
		covered[k.rule] = true
	}
	for r := rules.Answers; r <= rules.Budget; r++ {
		if !covered[r] {
			t.Errorf("no doctored trail for rule %d", r)
		}
	}
}

func (b *trailBuilder) drop(which func(*trail.Event) bool) {
	b.events = slices.DeleteFunc(b.events, func(e trail.Event) bool { return which(&e) })
}

func TestDyingHostOwesNothing(t *testing.T) {
	builder := validTrail()
	builder.command(1000, 2, 50, scsi.Read, 0, 1)
	builder.add(1010, trail.Event{Link: trail.LinkClient, Conn: 2, Dir: trail.Down, Kind: trail.Close, Session: 2})
	builder.add(1011, trail.Event{Link: trail.LinkInventory, Conn: 901, Dir: trail.Up, Kind: trail.Close})
	c := builder.check()
	if !c.OK() || c.Stats.Commands != c.Stats.Finished {
		t.Errorf("%d of %d, %v", c.Stats.Finished, c.Stats.Commands, c.Violations)
	}
}

func TestFileRoundTrip(t *testing.T) {
	builder := validTrail()
	want := builder.check()
	file := filepath.Join(t.TempDir(), "t.parquet")
	if err := trail.Write(file, builder.meta, builder.events); err != nil {
		t.Fatal(err)
	}
	m, events, err := trail.Read(file)
	if err != nil {
		t.Fatal(err)
	}
	got := rules.Check(m, events)
	if fmt.Sprint(got.Checks, got.ViolationCounts) != fmt.Sprint(want.Checks, want.ViolationCounts) || !slices.Equal(events, builder.events) {
		t.Error("the trail read is not the one written")
	}
	way := trail.Trace(events, 2, 1, 0, 0)
	if strings.Count(way, "\n") != 5 || !strings.Contains(way, "attempt 1") {
		t.Errorf("way of the repeated write:\n%s", way)
	}
	if byRequest := trail.Trace(events, 0, 0, hostID, 4); byRequest != way {
		t.Errorf("by its request:\n%s", byRequest)
	}
}
