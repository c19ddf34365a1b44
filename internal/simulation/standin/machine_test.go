package standin

import (
	"bytes"
	"testing"

	"merlinhitch/internal/protocol/diskproto"
	"merlinhitch/internal/protocol/scsi"
)

func testMachine(editConfig func(*MachineConfig), cold bool) (*Machine, *ShardStore, *DedupCache) {
	cfg := MachineConfig{Cores: 1, QueueLimit: 4, UnitWork: 10, WriteFactor: 1, ColdCapacity: 0.2, WarmUpTime: 10000, OverloadFactor: 2, OverloadWindow: 1000, ColdUnits: 5}
	if editConfig != nil {
		editConfig(&cfg)
	}
	store, dedup := NewShardStore(func(string) int { return 512 }), NewDedupCache(6000)
	return NewMachine(cfg, 1, store, dedup, nil, 3, 1000, cold), store, dedup
}

// arrive sends an attempt to the machine and returns a pointer to its answer, zero until it is given.
func arrive(m *Machine, now float64, request diskproto.Do) *diskproto.Answer {
	answer := &diskproto.Answer{}
	if request.Deadline == 0 {
		request.Deadline = 1e12
	}
	if request.Units == 0 {
		request.Units = 1
	}
	request.Shard = 3
	m.Arrive(now, request, func(a diskproto.Answer) {
		if answer.Result != 0 {
			panic("answered twice")
		}
		*answer = a
	})
	return answer
}

func keyedWrite(seq uint64, b byte) diskproto.Do {
	return diskproto.Do{Op: byte(scsi.Write), Effect: diskproto.Keyed, Seq: seq, Volume: "v", Blocks: 1, Data: bytes.Repeat([]byte{b}, 512)}
}

func TestQueueLimitAndOrder(t *testing.T) {
	machine, _, _ := testMachine(nil, false)
	var answers []*diskproto.Answer
	for range 6 { // one runs, four wait, one is refused
		answers = append(answers, arrive(machine, 1000, diskproto.Do{Op: byte(scsi.Read), Blocks: 1}))
	}
	if answers[5].Result != diskproto.Full || answers[0].Result != 0 {
		t.Fatalf("results of the first request %v and the sixth %v, want none yet and Full", answers[0].Result, answers[5].Result)
	}
	for i := range 5 {
		machine.Advance(1000 + 10*float64(i+1))
		if answers[i].Result != diskproto.OK || i < 4 && answers[i+1].Result != 0 {
			t.Errorf("after %d ms: result %v, want OK for one more request and none for the next", 10*(i+1), answers[i].Result)
		}
	}
	if answer := arrive(machine, 2000, diskproto.Do{}); answer.Result != 0 {
		t.Error("request answered before its service time has passed")
	}
	other := &diskproto.Answer{}
	machine.Arrive(2000, diskproto.Do{Shard: 9}, func(a diskproto.Answer) { *other = a })
	if other.Result != diskproto.WrongShard {
		t.Errorf("request for another shard: result %v, want WrongShard", other.Result)
	}
}

// A request that has not started by its deadline is never executed.
func TestNoExecutionAfterDeadline(t *testing.T) {
	machine, store, _ := testMachine(nil, false)
	arrive(machine, 1000, diskproto.Do{Op: byte(scsi.Read), Blocks: 1})
	request := keyedWrite(1, 7)
	request.Deadline = 1005 * 1000
	answer := arrive(machine, 1000, request)
	machine.Advance(2000)
	if answer.Result != diskproto.Expired {
		t.Errorf("request after its deadline: result %v, want Expired", answer.Result)
	}
	if _, data, _ := store.apply(0, &diskproto.Do{Op: byte(scsi.Read), Volume: "v", Blocks: 1}); data[0] != 0 {
		t.Error("write was executed after its deadline")
	}
}

// Repeats are dropped within the retention time, also by a successor, and counted after it.
func TestDedupDropsRepeats(t *testing.T) {
	machine, store, dedup := testMachine(nil, false)
	successor := NewMachine(machine.cfg, 2, store, dedup, nil, 3, 1000, false)
	arrive(machine, 1000, keyedWrite(1, 7))
	machine.Advance(1010)
	arrive(machine, 1010, keyedWrite(2, 8))
	machine.Advance(1020)
	repeated := arrive(successor, 1030, keyedWrite(1, 7))
	successor.Advance(1040)
	if !repeated.Dropped || repeated.Result != diskproto.OK {
		t.Errorf("repeat within the retention: %+v, want dropped with result OK", repeated)
	}
	if _, data, _ := store.apply(0, &diskproto.Do{Op: byte(scsi.Read), Volume: "v", Blocks: 1}); data[0] != 8 {
		t.Errorf("the repeat overwrote a later write: got %d, want 8", data[0])
	}
	if dedup.RepeatedEffects() != 0 {
		t.Error("a dropped repeat was counted as executed again")
	}
	afterRetention := arrive(successor, 7001, keyedWrite(1, 7))
	successor.Advance(7011)
	if afterRetention.Dropped || dedup.RepeatedEffects() != 1 {
		t.Errorf("repeat after the retention: %+v, %d repeated effects, want not dropped and 1", afterRetention, dedup.RepeatedEffects())
	}
}

func TestCompareAndWrite(t *testing.T) {
	machine, _, _ := testMachine(nil, false)
	compareAndWrite := func(now float64, old, new byte) diskproto.Result {
		answer := arrive(machine, now, diskproto.Do{Op: byte(scsi.CompareAndWrite), Volume: "v", Blocks: 1,
			Data: append(bytes.Repeat([]byte{old}, 512), bytes.Repeat([]byte{new}, 512)...)})
		machine.Advance(now + 10)
		return answer.Result
	}
	if result := compareAndWrite(1000, 0, 5); result != diskproto.OK {
		t.Errorf("compare with equal data: result %v, want OK", result)
	}
	if result := compareAndWrite(1100, 0, 6); result != diskproto.Miscompare {
		t.Errorf("compare with unequal data: result %v, want Miscompare", result)
	}
}

// A cold machine crashes when more units arrive than OverloadFactor times its capacity, refused ones
// included, but never within ColdUnits.
func TestColdMachineCrashesUnderOverload(t *testing.T) {
	machine, _, _ := testMachine(nil, true)
	// A capacity of 0.2 times 0.1 units per ms, with a factor of 2, allows 40 units in 1000 ms.
	for range 40 {
		arrive(machine, 1000, diskproto.Do{Op: byte(scsi.Read)})
	}
	if machine.Crashed() {
		t.Fatal("cold machine crashed within its overload limit")
	}
	arrive(machine, 1001, diskproto.Do{Op: byte(scsi.Read)})
	if !machine.Crashed() {
		t.Error("cold machine did not crash above its overload limit")
	}
	warm, _, _ := testMachine(nil, false)
	for range 100 {
		arrive(warm, 1000, diskproto.Do{Op: byte(scsi.Read)})
	}
	if warm.Crashed() {
		t.Error("warm machine crashed")
	}
	small, _, _ := testMachine(func(c *MachineConfig) { c.ColdUnits = 60 }, true)
	for range 60 {
		arrive(small, 1000, diskproto.Do{Op: byte(scsi.Read)})
	}
	if small.Crashed() {
		t.Error("cold machine crashed within ColdUnits")
	}
}

func TestMachineFaults(t *testing.T) {
	measureLatency := func(editConfig func(*MachineConfig), faults MachineFaults) float64 {
		machine, _, _ := testMachine(editConfig, false)
		machine.SetFaults(1000, faults)
		answer := arrive(machine, 1000, diskproto.Do{Op: byte(scsi.Read)})
		for now := 1000.0; now < 3000; now++ {
			if machine.Advance(now); answer.Result != 0 {
				return now - 1000
			}
		}
		return -1
	}
	if latency := measureLatency(nil, MachineFaults{}); latency != 10 {
		t.Errorf("no faults: latency %v ms, want 10", latency)
	}
	if latency := measureLatency(nil, MachineFaults{SlowFactor: 5}); latency != 50 {
		t.Errorf("slow machine: latency %v ms, want 50", latency)
	}
	if latency := measureLatency(nil, MachineFaults{StolenShare: 0.5}); latency != 20 {
		t.Errorf("half of the capacity stolen: latency %v ms, want 20", latency)
	}
	if latency := measureLatency(nil, MachineFaults{FailShare: 1}); latency != 1 {
		t.Errorf("failing request: latency %v ms, want 1", latency)
	}
	if latency := measureLatency(nil, MachineFaults{PauseLength: 200, PauseInterval: 4}); latency < 200 {
		t.Errorf("paused machine: latency %v ms, want at least 200", latency)
	}
	machine, _, _ := testMachine(nil, false)
	machine.Drain()
	if answer := arrive(machine, 1000, diskproto.Do{Op: byte(scsi.Read)}); answer.Result != diskproto.Draining {
		t.Errorf("request to a draining machine: result %v, want Draining", answer.Result)
	}
}
