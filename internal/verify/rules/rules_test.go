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

const ms = 1000 // a millisecond in us

// trailBuilder builds a trail event by event. The times passed to its methods are in ms.
type trailBuilder struct {
	meta   *trail.Meta
	events []trail.Event
}

const (
	host   = "h0#1"
	hostID = 77
	nodeA  = "127.0.0.1:1001" // holds shard 0
	nodeB  = "127.0.0.1:1002" // replaces nodeA
	nodeC  = "127.0.0.1:1003" // holds shard 1; cold
)

// newBuilder returns an empty trail under the example settings, all volumes on shard 0. Volume 0 has
// plan basico, volume 1 plan normal.
func newBuilder() *trailBuilder {
	example := settings.Example(1, 3)
	for i := range example.Volumes {
		example.Volumes[i].Layout = []int{0}
	}
	return &trailBuilder{meta: &trail.Meta{Settings: example, Servers: map[string]trail.Server{
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
	bytes := blocks * 4096
	b.add(at, trail.Event{Link: trail.LinkClient, Conn: conn, Dir: trail.Up, Kind: trail.Command, Session: conn, Tag: tag,
		Op: op.String(), LBA: lba, Blocks: blocks, Length: bytes, Advice: bytes})
}

func (b *trailBuilder) status(at float64, conn, tag uint32, status byte) {
	b.add(at, trail.Event{Link: trail.LinkClient, Conn: conn, Dir: trail.Down, Kind: trail.Status, Session: conn, Tag: tag, Status: int32(status)})
}

// attempt adds an attempt of request seq, a part of the command with this tag on connection conn;
// its deadline is timeout ms later.
func (b *trailBuilder) attempt(at float64, node string, attemptTag uint32, seq uint64, number uint32, conn, tag uint32, volume int, timeout float64) {
	volumeSettings := b.meta.Settings.Volumes[volume]
	b.add(at, trail.Event{Link: trail.LinkDisk, Conn: 900, Peer: node, HostID: hostID, Dir: trail.Up, Kind: trail.Do, Tag: attemptTag, Seq: seq,
		Attempt: number, Session: conn, RefTag: tag, Volume: volumeSettings.Name, Key: volumeSettings.Name + "/0", Units: 1, Deadline: int64((at + timeout) * ms)})
}

func (b *trailBuilder) answer(at float64, node string, attemptTag uint32, result diskproto.Result) {
	b.add(at, trail.Event{Link: trail.LinkDisk, Conn: 900, Peer: node, HostID: hostID, Dir: trail.Down, Kind: trail.Answer, Tag: attemptTag, Status: int32(result)})
}

func (b *trailBuilder) list(at float64, kind string, nodes ...inventory.Node) {
	list := inventory.List{Kind: kind, Generation: 1, Nodes: nodes}
	b.add(at, trail.Event{Link: trail.LinkInventory, Conn: 901, Dir: trail.Down, Kind: trail.List, Detail: strings.TrimSpace(string(inventory.Line(list)))})
}

func node(addr, health string, shard int, age float64) inventory.Node {
	return inventory.Node{Addr: addr, Health: health, Shard: shard, Incarnation: 1, AgeMS: age}
}

func (b *trailBuilder) check() *rules.Checker {
	slices.SortStableFunc(b.events, func(a, b trail.Event) int { return int(a.Time - b.Time) })
	return rules.Check(b.meta, b.events)
}

// validTrail returns a trail with checks of all seven rules and no violation.
func validTrail() *trailBuilder {
	b := newBuilder()
	b.list(0, inventory.Full, node(nodeA, inventory.Ready, 0, 0), node(nodeC, inventory.Ready, 1, 500))
	b.login(1, 1, 0) // plan basico: rate limit, writes are ordered
	b.login(1, 2, 1) // plan normal: writes are keyed
	// A read that is served.
	b.command(10, 1, 1, scsi.Read, 0, 1)
	b.attempt(11, nodeA, 1, 1, 0, 1, 1, 0, 1900)
	b.answer(20, nodeA, 1, diskproto.OK)
	b.status(21, 1, 1, scsi.Good)
	// Two ordered writes with the same key, one after the other.
	b.command(30, 1, 2, scsi.Write, 0, 1)
	b.command(31, 1, 3, scsi.Write, 0, 1)
	b.attempt(32, nodeA, 2, 2, 0, 1, 2, 0, 1000)
	b.answer(40, nodeA, 2, diskproto.OK)
	b.status(41, 1, 2, scsi.Good)
	b.attempt(42, nodeA, 3, 3, 0, 1, 3, 0, 1000)
	b.answer(50, nodeA, 3, diskproto.OK)
	b.status(51, 1, 3, scsi.Good)
	// A keyed write whose first attempt gets no answer and is repeated within the dedup window.
	b.command(60, 2, 1, scsi.Write, 0, 1)
	b.attempt(61, nodeA, 4, 4, 0, 2, 1, 1, 700)
	b.attempt(800, nodeA, 5, 4, 1, 2, 1, 1, 700)
	b.answer(810, nodeA, 5, diskproto.OK)
	b.status(811, 2, 1, scsi.Good)
	// A cold server with a load that it can take.
	b.command(820, 2, 2, scsi.Read, 0, 1)
	b.attempt(821, nodeC, 6, 5, 0, 2, 2, 1, 1900)
	b.answer(830, nodeC, 6, diskproto.OK)
	b.status(831, 2, 2, scsi.Good)
	// A write whose only part meets a fence and is sent again as another request, after a request of
	// the host itself.
	b.command(840, 2, 4, scsi.Write, 0, 1)
	b.attempt(841, nodeA, 8, 7, 0, 2, 4, 1, 700)
	b.answer(842, nodeA, 8, diskproto.Fenced)
	b.attempt(843, nodeA, 9, 8, 0, 0, 0, 1, 700)
	b.answer(844, nodeA, 9, diskproto.OK)
	b.attempt(845, nodeA, 10, 9, 0, 2, 4, 1, 700)
	b.answer(846, nodeA, 10, diskproto.OK)
	b.status(847, 2, 4, scsi.Good)
	// A drain, with one attempt within the grace period.
	b.list(900, inventory.Delta, node(nodeA, inventory.Draining, 0, 0), node(nodeB, inventory.Ready, 0, 0))
	b.command(910, 2, 3, scsi.Read, 0, 1)
	b.attempt(911, nodeA, 7, 6, 0, 2, 3, 1, 1900)
	b.answer(920, nodeA, 7, diskproto.OK)
	b.status(921, 2, 3, scsi.Good)
	return b
}

func TestValidTrail(t *testing.T) {
	checker := validTrail().check()
	for _, violation := range checker.Violations {
		t.Error(violation)
	}
	for r := rules.Answers; r <= rules.Budget; r++ {
		if checker.Checks[r] == 0 {
			t.Errorf("rule %d: got 0 checks, want at least 1", r)
		}
	}
	if checker.Stats.Commands != 7 || checker.Stats.Finished != 7 {
		t.Errorf("got %d commands, %d finished, want 7 of each", checker.Stats.Commands, checker.Stats.Finished)
	}
}

// Each case corrupts the valid trail in one way, which must violate its rule and no other.
func TestCorruptedTrails(t *testing.T) {
	cases := []struct {
		name    string
		rule    rules.Rule
		corrupt func(b *trailBuilder)
	}{
		{"missing answer", rules.Answers, func(b *trailBuilder) {
			b.drop(func(e *trail.Event) bool { return e.Kind == trail.Status && e.Time == 921*ms })
			b.add(9000, trail.Event{Link: trail.LinkInventory, Conn: 901, Kind: trail.Open})
		}},
		{"second answer", rules.Answers, func(b *trailBuilder) { b.status(25, 1, 1, scsi.Good) }},
		{"answer after the deadline", rules.Answers, func(b *trailBuilder) {
			b.command(1000, 2, 50, scsi.Read, 0, 1)
			b.status(1000+2000+101, 2, 50, scsi.Busy)
		}},
		{"attempt after the final answer", rules.Answers, func(b *trailBuilder) { b.attempt(100, nodeA, 60, 1, 1, 1, 1, 0, 1900) }},
		{"attempt for an unknown command", rules.Answers, func(b *trailBuilder) { b.attempt(100, nodeA, 60, 600, 0, 1, 99, 0, 1900) }},
		{"host closes a client connection", rules.Answers, func(b *trailBuilder) {
			b.command(1000, 2, 50, scsi.Read, 0, 1)
			b.add(1010, trail.Event{Link: trail.LinkClient, Conn: 2, Dir: trail.Down, Kind: trail.Close, Session: 2})
		}},
		{"unsafe request sent twice", rules.Effects, func(b *trailBuilder) {
			b.command(1000, 2, 50, scsi.CompareAndWrite, 0, 1)
			b.attempt(1001, nodeB, 60, 60, 0, 2, 50, 1, 300)
			b.attempt(1400, nodeB, 61, 60, 1, 2, 50, 1, 300)
			b.answer(1410, nodeB, 61, diskproto.OK)
			b.status(1420, 2, 50, scsi.Good)
		}},
		{"unsafe request refused though it may have run", rules.Effects, func(b *trailBuilder) {
			b.command(1000, 2, 50, scsi.CompareAndWrite, 0, 1)
			b.attempt(1001, nodeB, 60, 60, 0, 2, 50, 1, 300)
			b.status(1420, 2, 50, scsi.Busy)
		}},
		{"keyed request refused though it may have run", rules.Effects, func(b *trailBuilder) {
			b.command(1000, 2, 50, scsi.Write, 0, 1)
			b.attempt(1001, nodeB, 60, 60, 0, 2, 50, 1, 300)
			b.answer(1100, nodeB, 60, diskproto.Failed)
			b.status(1420, 2, 50, scsi.Busy)
		}},
		{"part of a write executed under two requests", rules.Effects, func(b *trailBuilder) {
			b.command(1000, 2, 50, scsi.Write, 0, 1)
			b.attempt(1001, nodeB, 60, 60, 0, 2, 50, 1, 300)
			b.answer(1002, nodeB, 60, diskproto.OK)
			b.attempt(1003, nodeB, 61, 61, 0, 2, 50, 1, 300)
			b.answer(1004, nodeB, 61, diskproto.OK)
			b.status(1005, 2, 50, scsi.Good)
		}},
		{"BUSY to a write that every server drops repeats of", rules.Effects, func(b *trailBuilder) {
			write := &b.meta.Settings.Classes[1]
			write.DedupScope = "all"
			b.command(1000, 2, 50, scsi.Write, 0, 1)
			b.attempt(1001, nodeB, 60, 60, 0, 2, 50, 1, 300)
			b.status(1400, 2, 50, scsi.Busy)
		}},
		{"keyed request repeated after the dedup window", rules.Effects, func(b *trailBuilder) {
			b.meta.Settings.Classes[1].DedupWindow = 700
		}},
		{"keyed request repeated outside the dedup scope", rules.Effects, func(b *trailBuilder) {
			for i := range b.events {
				if e := &b.events[i]; e.Kind == trail.Do && e.Time == 800*ms {
					e.Peer = nodeC
				}
			}
		}},
		{"two outstanding attempts", rules.Effects, func(b *trailBuilder) {
			b.command(1000, 2, 50, scsi.Read, 0, 1)
			b.attempt(1001, nodeB, 60, 60, 0, 2, 50, 1, 1900)
			b.attempt(1100, nodeB, 61, 60, 1, 2, 50, 1, 1900)
			b.answer(1110, nodeB, 61, diskproto.OK)
			b.status(1120, 2, 50, scsi.Good)
		}},
		{"abort answered before its attempt ended", rules.Effects, func(b *trailBuilder) {
			b.command(1000, 2, 50, scsi.Write, 0, 1)
			b.attempt(1001, nodeB, 60, 60, 0, 2, 50, 1, 3000)
			b.add(1100, trail.Event{Link: trail.LinkClient, Conn: 2, Dir: trail.Up, Kind: trail.TaskRequest, Session: 2, Tag: 51, RefTag: 50, Status: 1})
			b.add(1101, trail.Event{Link: trail.LinkClient, Conn: 2, Dir: trail.Down, Kind: trail.TaskResponse, Session: 2, Tag: 51})
		}},
		{"attempt to a draining server after the grace period", rules.Drains, func(b *trailBuilder) {
			b.command(1500, 2, 50, scsi.Read, 0, 1)
			b.attempt(1501, nodeA, 60, 60, 0, 2, 50, 1, 1900)
			b.answer(1510, nodeA, 60, diskproto.OK)
			b.status(1520, 2, 50, scsi.Good)
		}},
		{"attempt to a server removed from the list", rules.Drains, func(b *trailBuilder) {
			b.list(1000, inventory.Full, node(nodeB, inventory.Ready, 0, 0))
			b.command(1800, 2, 50, scsi.Read, 0, 1)
			b.attempt(1801, nodeC, 60, 60, 0, 2, 50, 1, 1900)
			b.answer(1810, nodeC, 60, diskproto.OK)
			b.status(1820, 2, 50, scsi.Good)
		}},
		{"too much load on a cold server", rules.Cold, func(b *trailBuilder) {
			// 1.5 s after its start the server has about a third of its capacity of 100
			// units/s. Twice that over 1.5 s is allowed, about 100 units; 180 are sent.
			for i := range uint32(30) {
				at := 1000 + float64(i)
				b.command(at, 2, 50+i, scsi.Read, 0, 1)
				b.attempt(at, nodeC, 60+i, uint64(60+i), 0, 2, 50+i, 1, 6)
				b.answer(at+100, nodeC, 60+i, diskproto.OK)
				b.status(at+110, 2, 50+i, scsi.Good)
				b.events[len(b.events)-3].Units = 6
			}
		}},
		{"server reports an overload", rules.Cold, func(b *trailBuilder) {
			b.add(1000, trail.Event{Link: trail.LinkDisk, Conn: 900, Peer: nodeC, Dir: trail.Down, Kind: trail.Bye, Status: 1})
		}},
		{"rate limit exceeded", rules.Limits, func(b *trailBuilder) {
			for i := range uint32(40) { // burst 48 units, rate 40 units/s, slack 10 units; 80 are sent
				at := 1000 + float64(i)
				b.command(at, 1, 50+i, scsi.Read, 0, 1)
				b.attempt(at, nodeB, 60+i, uint64(60+i), 0, 1, 50+i, 0, 2)
				b.events[len(b.events)-1].Units = 2
				b.answer(at+100, nodeB, 60+i, diskproto.OK)
				b.status(at+110, 1, 50+i, scsi.Good)
			}
		}},
		{"two outstanding requests of one key", rules.Order, func(b *trailBuilder) {
			b.command(1000, 1, 50, scsi.Write, 0, 1)
			b.command(1001, 1, 51, scsi.Write, 0, 1)
			b.attempt(1002, nodeB, 60, 60, 0, 1, 50, 0, 900)
			b.attempt(1003, nodeB, 61, 61, 0, 1, 51, 0, 900)
			b.answer(1010, nodeB, 60, diskproto.OK)
			b.answer(1011, nodeB, 61, diskproto.OK)
			b.status(1020, 1, 50, scsi.Good)
			b.status(1021, 1, 51, scsi.Good)
		}},
		{"requests of one key out of order", rules.Order, func(b *trailBuilder) {
			b.command(1000, 1, 50, scsi.Write, 0, 1)
			b.command(1001, 1, 51, scsi.Write, 0, 1)
			b.attempt(1003, nodeB, 61, 61, 0, 1, 51, 0, 900)
			b.answer(1011, nodeB, 61, diskproto.OK)
			b.status(1021, 1, 51, scsi.Good)
			b.attempt(1030, nodeB, 60, 60, 0, 1, 50, 0, 900)
			b.answer(1040, nodeB, 60, diskproto.OK)
			b.status(1041, 1, 50, scsi.Good)
		}},
		{"request within the key holdoff", rules.Order, func(b *trailBuilder) {
			b.command(1000, 1, 50, scsi.Write, 0, 1)
			b.command(1001, 1, 51, scsi.Write, 0, 1)
			b.attempt(1002, nodeB, 60, 60, 0, 1, 50, 0, 300)
			b.status(1310, 1, 50, scsi.CheckCondition)
			b.attempt(1400, nodeB, 61, 61, 0, 1, 51, 0, 300)
			b.answer(1411, nodeB, 61, diskproto.OK)
			b.status(1421, 1, 51, scsi.Good)
		}},
		{"more retries than the budget", rules.Budget, func(b *trailBuilder) {
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
	for _, testCase := range cases {
		t.Run(testCase.name, func(t *testing.T) {
			builder := validTrail()
			testCase.corrupt(builder)
			checker := builder.check()
			if checker.OK() {
				t.Fatal("got no violation")
			}
			for r := range checker.ViolationCounts {
				if checker.ViolationCounts[r] > 0 && rules.Rule(r) != testCase.rule {
					t.Errorf("unexpected violation of rule %d: %v", r, checker.Violations)
				}
			}
			if checker.ViolationCounts[testCase.rule] == 0 {
				t.Errorf("no violation of rule %d, got %v", testCase.rule, checker.Violations)
			}
		})
		covered[testCase.rule] = true
	}
	for r := rules.Answers; r <= rules.Budget; r++ {
		if !covered[r] {
			t.Errorf("no corrupted trail for rule %d", r)
		}
	}
}

func (b *trailBuilder) drop(match func(*trail.Event) bool) {
	b.events = slices.DeleteFunc(b.events, func(e trail.Event) bool { return match(&e) })
}

// A host that dies closes its client connections unanswered without violating rule 1.
func TestDeadHostNeedNotAnswer(t *testing.T) {
	builder := validTrail()
	builder.command(1000, 2, 50, scsi.Read, 0, 1)
	builder.add(1010, trail.Event{Link: trail.LinkClient, Conn: 2, Dir: trail.Down, Kind: trail.Close, Session: 2})
	builder.add(1011, trail.Event{Link: trail.LinkInventory, Conn: 901, Dir: trail.Up, Kind: trail.Close})
	checker := builder.check()
	if !checker.OK() || checker.Stats.Commands != checker.Stats.Finished {
		t.Errorf("got %d of %d commands finished and violations %v, want all and none", checker.Stats.Finished, checker.Stats.Commands, checker.Violations)
	}
}

func TestFileRoundTrip(t *testing.T) {
	builder := validTrail()
	want := builder.check()
	file := filepath.Join(t.TempDir(), "t.parquet")
	if err := trail.Write(file, builder.meta, builder.events); err != nil {
		t.Fatal(err)
	}
	meta, events, err := trail.Read(file)
	if err != nil {
		t.Fatal(err)
	}
	got := rules.Check(meta, events)
	if fmt.Sprint(got.Checks, got.ViolationCounts) != fmt.Sprint(want.Checks, want.ViolationCounts) || !slices.Equal(events, builder.events) {
		t.Error("checks or events of the trail read differ from those of the trail written")
	}
	byCommand := trail.Trace(events, 2, 1, 0, 0)
	if strings.Count(byCommand, "\n") != 5 || !strings.Contains(byCommand, "attempt 1") {
		t.Errorf("trace of the repeated write, want 5 lines with attempt 1:\n%s", byCommand)
	}
	if byRequest := trail.Trace(events, 0, 0, hostID, 4); byRequest != byCommand {
		t.Errorf("the trace by request differs from that by command:\n%s", byRequest)
	}
}
