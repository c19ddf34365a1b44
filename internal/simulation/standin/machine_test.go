package standin

import (
	"bytes"
	"testing"

	"merlinhitch/internal/protocol/diskproto"
	"merlinhitch/internal/protocol/scsi"
)

func testMachine(edit func(*MachineConfig), cold bool) (*Machine, *ShardStore, *DedupCache) {
	cfg := MachineConfig{Cores: 1, QueueLimit: 4, UnitWork: 10, WriteFactor: 1, ColdCapacity: 0.2, WarmUpTime: 10000, OverloadFactor: 2, OverloadWindow: 1000, ColdUnits: 5}
	if edit != nil {
		edit(&cfg)
	}
	cell, rack := NewShardStore(func(string) int { return 512 }), NewDedupCache(6000)
	return NewMachine(cfg, 1, cell, rack, nil, 3, 1000, cold), cell, rack
}

// arrive sends an attempt and returns where its answer will stand.
func arrive(m *Machine, now float64, do diskproto.Do) *diskproto.Answer {
	got := &diskproto.Answer{}
	if do.Deadline == 0 {
		do.Deadline = 1e12
	}
	if do.Units == 0 {
		do.Units = 1
	}
	do.Shard = 3
	m.Arrive(now, do, func(a diskproto.Answer) {
		if got.Result != 0 {
			panic("answered twice")
		}
		*got = a
	})
	return got
}

func keyedWrite(seq uint64, b byte) diskproto.Do {
	return diskproto.Do{Op: byte(scsi.Write), Effect: diskproto.Keyed, Seq: seq, Volume: "v", Blocks: 1, Data: bytes.Repeat([]byte{b}, 512)}
}

func TestQueueLimitAndOrder(t *testing.T) {
	m, _, _ := testMachine(nil, false)
	var got []*diskproto.Answer
	for range 6 { // one runs, four wait, one is turned away
		got = append(got, arrive(m, 1000, diskproto.Do{Op: byte(scsi.Read), Blocks: 1}))
	}
	if got[5].Result != diskproto.Full || got[0].Result != 0 {
		t.Fatalf("first %v, last %v", got[0].Result, got[5].Result)
	}
	for i := range 5 {
		m.Advance(1000 + 10*float64(i+1))
		if got[i].Result != diskproto.OK || i < 4 && got[i+1].Result != 0 {
			t.Errorf("after %d ms: %v", 10*(i+1), got[i].Result)
		}
	}
	if wrong := arrive(m, 2000, diskproto.Do{}); wrong.Result != 0 {
		t.Error("an answer before its time")
	}
	other := &diskproto.Answer{}
	m.Arrive(2000, diskproto.Do{Shard: 9}, func(a diskproto.Answer) { *other = a })
	if other.Result != diskproto.WrongShard {
		t.Errorf("another shard: %v", other.Result)
	}
}

// What has not begun by its deadline never runs.
func TestDeadlineBoundsTheEffect(t *testing.T) {
	m, cell, _ := testMachine(nil, false)
	arrive(m, 1000, diskproto.Do{Op: byte(scsi.Read), Blocks: 1})
	w := keyedWrite(1, 7)
	w.Deadline = 1005 * 1000
	late := arrive(m, 1000, w)
	m.Advance(2000)
	if late.Result != diskproto.Expired {
		t.Errorf("%v", late.Result)
	}
	if _, b, _ := cell.apply(0, &diskproto.Do{Op: byte(scsi.Read), Volume: "v", Blocks: 1}); b[0] != 0 {
		t.Error("a write landed after its deadline")
	}
}

// A rack drops repeats for its time, over machines, and counts what runs again.
func TestDedupDropsRepeats(t *testing.T) {
	m, cell, rack := testMachine(nil, false)
	next := NewMachine(m.cfg, 2, cell, rack, nil, 3, 1000, false)
	arrive(m, 1000, keyedWrite(1, 7))
	m.Advance(1010)
	arrive(m, 1010, keyedWrite(2, 8))
	m.Advance(1020)
	again := arrive(next, 1030, keyedWrite(1, 7))
	next.Advance(1040)
	if !again.Dropped || again.Result != diskproto.OK {
		t.Errorf("a repeat: %+v", again)
	}
	if _, b, _ := cell.apply(0, &diskproto.Do{Op: byte(scsi.Read), Volume: "v", Blocks: 1}); b[0] != 8 {
		t.Errorf("the repeat undid a later write: %d", b[0])
	}
	if rack.RepeatedEffects() != 0 {
		t.Error("a dropped repeat was counted")
	}
	late := arrive(next, 7001, keyedWrite(1, 7))
	next.Advance(7011)
	if late.Dropped || rack.RepeatedEffects() != 1 {
		t.Errorf("after the window: %+v, %d", late, rack.RepeatedEffects())
	}
}

func TestCompareAndWrite(t *testing.T) {
	m, _, _ := testMachine(nil, false)
	caw := func(at float64, old, new byte) diskproto.Result {
		a := arrive(m, at, diskproto.Do{Op: byte(scsi.CompareAndWrite), Volume: "v", Blocks: 1,
			Data: append(bytes.Repeat([]byte{old}, 512), bytes.Repeat([]byte{new}, 512)...)})
		m.Advance(at + 10)
		return a.Result
	}
	if r := caw(1000, 0, 5); r != diskproto.OK {
		t.Errorf("equal: %v", r)
	}
	if r := caw(1100, 0, 6); r != diskproto.Miscompare {
		t.Errorf("unequal: %v", r)
	}
}

// A cold machine falls over at more than its multiple, turned away or not, and
// bears ColdUnits in any case.
func TestColdMachineCrashesUnderOverload(t *testing.T) {
	m, _, _ := testMachine(nil, true)
	// At a fifth of 0.1 units a ms, twice that for a second is borne: 40 units.
	for range 40 {
		arrive(m, 1000, diskproto.Do{Op: byte(scsi.Read)})
	}
	if m.Crashed() {
		t.Fatal("fell within what it bears")
	}
	arrive(m, 1001, diskproto.Do{Op: byte(scsi.Read)})
	if !m.Crashed() {
		t.Error("did not fall")
	}
	warm, _, _ := testMachine(nil, false)
	for range 100 {
		arrive(warm, 1000, diskproto.Do{Op: byte(scsi.Read)})
	}
	if warm.Crashed() {
		t.Error("a warm machine fell")
	}
	small, _, _ := testMachine(func(c *MachineConfig) { c.ColdUnits = 60 }, true)
	for range 60 {
		arrive(small, 1000, diskproto.Do{Op: byte(scsi.Read)})
	}
	if small.Crashed() {
		t.Error("fell within ColdUnits")
	}
}

func TestMachineFaults(t *testing.T) {
	took := func(edit func(*MachineConfig), tr MachineFaults) float64 {
		m, _, _ := testMachine(edit, false)
		m.SetFaults(1000, tr)
		a := arrive(m, 1000, diskproto.Do{Op: byte(scsi.Read)})
		for at := 1000.0; at < 3000; at++ {
			if m.Advance(at); a.Result != 0 {
				return at - 1000
			}
		}
		return -1
	}
	if d := took(nil, MachineFaults{}); d != 10 {
		t.Errorf("calm: %v ms", d)
	}
	if d := took(nil, MachineFaults{SlowFactor: 5}); d != 50 {
		t.Errorf("slow: %v ms", d)
	}
	if d := took(nil, MachineFaults{StolenShare: 0.5}); d != 20 {
		t.Errorf("a neighbour: %v ms", d)
	}
	if d := took(nil, MachineFaults{FailShare: 1}); d != 1 {
		t.Errorf("a fast error: %v ms", d)
	}
	if d := took(nil, MachineFaults{PauseLength: 200, PauseInterval: 4}); d < 200 {
		t.Errorf("a pause: %v ms", d)
	}
	m, _, _ := testMachine(nil, false)
	m.Drain()
	if a := arrive(m, 1000, diskproto.Do{Op: byte(scsi.Read)}); a.Result != diskproto.Draining {
		t.Errorf("draining: %v", a.Result)
	}
}
