package gateway_test

import (
	"bytes"
	"sync"
	"testing"

	"merlinhitch/internal/control/settings"
	"merlinhitch/internal/protocol/diskproto"
	"merlinhitch/internal/protocol/initiator"
	"merlinhitch/internal/protocol/iscsi"
	"merlinhitch/internal/protocol/scsi"
	"merlinhitch/internal/storage/reserve"
)

// useTwoShards puts the extents of every volume on shards 1 and 0 in turn.
func useTwoShards(s *settings.Settings) {
	*s = *settings.Example(1, 2)
	for i := range s.Volumes {
		s.Volumes[i].Layout = []int{1, 0}
	}
}

// boundaryBlock is the last block of a volume's first extent, on shard 1; the next is on shard 0.
const boundaryBlock = 31

// fencingDisks are the disk servers of two shards with a record of reservations that the gateway
// has not read. Some of them have a fence of its version.
type fencingDisks struct {
	fencedShards map[uint32]bool
	loseFirst    bool // the first attempt of each block operation is executed, and its connection closed
	onRecord     func()

	mu       sync.Mutex
	state    *reserve.State
	executed map[uint64]int // block operations executed, by address
	fenced   int            // attempts that met a fence
	versions []uint64       // of the settings, as each attempt of a block operation names it
}

func newFencingDisks(reserved bool, fencedShards ...uint32) *fencingDisks {
	other := reserve.Nexus{Initiator: "iqn.2026-11.example.client:other,i,0x800000000009", Host: 2}
	d := &fencingDisks{fencedShards: map[uint32]bool{}, executed: map[uint64]int{},
		state: &reserve.State{Version: 1, Registrations: []reserve.Registration{{Nexus: other, Key: 7}}}}
	if reserved {
		d.state.Type, d.state.Holder = reserve.ExclusiveAccess, other
	}
	for _, shard := range fencedShards {
		d.fencedShards[shard] = true
	}
	return d
}

func (d *fencingDisks) handle(attempt *receivedAttempt, request diskproto.Do) {
	if request.Op == diskproto.OpRecord && d.onRecord != nil {
		d.onRecord()
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if request.Op != diskproto.OpFence && request.Op != diskproto.OpRecord {
		d.versions = append(d.versions, request.Under)
	}
	switch {
	case request.Op == diskproto.OpFence:
		attempt.answer(diskproto.Answer{Result: diskproto.OK})
	case request.Op == diskproto.OpRecord:
		record := diskproto.Record{Version: d.state.Version, Bytes: d.state.Append(nil)}
		attempt.answer(diskproto.Answer{Result: diskproto.OK, Data: record.Append(nil)})
	case d.loseFirst && request.Attempt == 0 && request.Fence < d.state.Version:
		d.executed[request.LBA]++
		attempt.conn.Close()
	case d.fencedShards[request.Shard] && request.Fence < d.state.Version:
		d.fenced++
		attempt.answer(diskproto.Answer{Result: diskproto.Fenced})
	default:
		d.executed[request.LBA]++
		answer := okAnswer(request)
		for i := range answer.Data {
			answer.Data[i] = byte(request.LBA)
		}
		attempt.answer(answer)
	}
}

func (d *fencingDisks) counts() (first, second, fenced int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.executed[boundaryBlock], d.executed[boundaryBlock+1], d.fenced
}

// A part of a write that was executed must not be executed again because another part met a fence,
// and BUSY or RESERVATION CONFLICT must not be the answer to a write that was executed in part.
func TestPartsOfWriteThatMeetFence(t *testing.T) {
	for name, tc := range map[string]struct {
		disks                           *fencingDisks
		wantStatus                      byte
		wantFirst, wantSecond           int // executions of the parts
		wantSense                       scsi.Sense
		single, unsafe, compareAndWrite bool
	}{
		"second part fenced, permitted":        {disks: newFencingDisks(false, 0), wantStatus: scsi.Good, wantFirst: 1, wantSecond: 1},
		"first part fenced, permitted":         {disks: newFencingDisks(false, 1), wantStatus: scsi.Good, wantFirst: 1, wantSecond: 1},
		"both parts fenced, permitted":         {disks: newFencingDisks(false, 0, 1), wantStatus: scsi.Good, wantFirst: 1, wantSecond: 1},
		"second part fenced, forbidden":        {disks: newFencingDisks(true, 0), wantStatus: scsi.CheckCondition, wantSense: scsi.CommandAborted, wantFirst: 1},
		"both parts fenced, forbidden":         {disks: newFencingDisks(true, 0, 1), wantStatus: scsi.Conflict},
		"one part, permitted":                  {disks: newFencingDisks(false, 1), wantStatus: scsi.Good, wantFirst: 1, single: true},
		"one part, forbidden":                  {disks: newFencingDisks(true, 1), wantStatus: scsi.Conflict, single: true},
		"unsafe, second part fenced":           {disks: newFencingDisks(false, 0), wantStatus: scsi.Good, wantFirst: 1, wantSecond: 1, unsafe: true},
		"compare and write, permitted":         {disks: newFencingDisks(false, 1), wantStatus: scsi.Good, wantFirst: 1, single: true, compareAndWrite: true},
		"one part, answer lost, permitted":     {disks: losingFirst(newFencingDisks(false, 1)), wantStatus: scsi.CheckCondition, wantSense: scsi.CommandAborted, wantFirst: 1, single: true},
		"one part, answer lost, forbidden":     {disks: losingFirst(newFencingDisks(true, 1)), wantStatus: scsi.CheckCondition, wantSense: scsi.CommandAborted, wantFirst: 1, single: true},
		"parts, answer of one lost, forbidden": {disks: losingFirst(newFencingDisks(true, 0, 1)), wantStatus: scsi.CheckCondition, wantSense: scsi.CommandAborted, wantFirst: 1, wantSecond: 1},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, func(s *settings.Settings) {
				useTwoShards(s)
				if write := &s.Classes[1]; tc.unsafe {
					write.Effect, write.DedupScope, write.DedupWindow = "unsafe", "", 0
				}
			})
			h.startFakeDiskServers(tc.disks.handle)
			cdb, data := initiator.WriteCDB(boundaryBlock, 2), make([]byte, 2*4096)
			switch {
			case tc.compareAndWrite:
				cdb = initiator.CompareAndWriteCDB(boundaryBlock, 1)
			case tc.single:
				cdb, data = initiator.WriteCDB(boundaryBlock, 1), data[:4096]
			}
			result := h.execute(h.connect(normalVolume, 1), cdb, data, 0)
			sense, _ := scsi.ParseSense(result.Sense)
			first, second, fenced := tc.disks.counts()
			if result.Status != tc.wantStatus || sense != tc.wantSense {
				t.Errorf("got status %02x, sense %+v, want %02x, %+v", result.Status, sense, tc.wantStatus, tc.wantSense)
			}
			if first != tc.wantFirst || second != tc.wantSecond || fenced == 0 {
				t.Errorf("the parts were executed %d and %d times, %d attempts met a fence; want %d and %d executions", first, second, fenced, tc.wantFirst, tc.wantSecond)
			}
		})
	}
}

// losingFirst makes disk servers lose the answer to each first attempt.
func losingFirst(d *fencingDisks) *fencingDisks {
	d.loseFirst = true
	return d
}

// A read of which a part met a fence must return the data of all its parts in their places.
func TestPartsOfReadThatMeetFence(t *testing.T) {
	disks := newFencingDisks(false, 1)
	h := newHarness(t, useTwoShards)
	h.startFakeDiskServers(disks.handle)
	result := h.execute(h.connect(normalVolume, 1), initiator.ReadCDB(boundaryBlock, 2), nil, 2*4096)
	want := append(bytes.Repeat([]byte{boundaryBlock}, 4096), bytes.Repeat([]byte{boundaryBlock + 1}, 4096)...)
	if first, second, fenced := disks.counts(); result.Status != scsi.Good || !bytes.Equal(result.Data, want) || first != 1 || second != 1 || fenced != 1 {
		t.Errorf("got status %02x with %d bytes after %d and %d executions and %d fenced attempts, want GOOD with the data of both blocks", result.Status, len(result.Data), first, second, fenced)
	}
}

// Parts that are sent again after a fence must stay within the retry budget.
func TestPartsThatMeetFenceCountAsRetries(t *testing.T) {
	disks := newFencingDisks(false, 0, 1)
	h := newHarness(t, func(s *settings.Settings) {
		useTwoShards(s)
		s.Rules.Budget = &settings.Budget{Base: 1, Window: 5000}
		s.Classes[1].LatencyTarget, s.Classes[1].Deadline = 100, 500
	})
	h.startFakeDiskServers(disks.handle)
	result := h.execute(h.connect(normalVolume, 1), initiator.WriteCDB(boundaryBlock, 2), make([]byte, 2*4096), 0)
	first, second, fenced := disks.counts()
	if fenced != 2 || first+second != 1 || result.Status == scsi.Good {
		t.Errorf("got status %02x after %d fenced attempts and %d further ones, want one further attempt, as the budget has it", result.Status, fenced, first+second)
	}
}

// A part must not be sent to a shard that its blocks have left while the reservations were read.
func TestLayoutChangesWhileReservationsAreRead(t *testing.T) {
	disks := newFencingDisks(false, 0)
	h := newHarness(t, useTwoShards)
	disks.onRecord = func() {
		h.changeSettings(func(s *settings.Settings) { s.Volumes[normalVolume].Layout = []int{1} })
	}
	h.startFakeDiskServers(disks.handle)
	result := h.execute(h.connect(normalVolume, 1), initiator.WriteCDB(boundaryBlock, 2), make([]byte, 2*4096), 0)
	sense, _ := scsi.ParseSense(result.Sense)
	if first, second, _ := disks.counts(); result.Status != scsi.CheckCondition || sense != scsi.CommandAborted || first != 1 || second != 0 {
		t.Errorf("got status %02x, sense %+v after %d and %d executions, want ABORTED COMMAND after 1 and 0", result.Status, sense, first, second)
	}
}

// A part that is sent again after a fence must name the version of the settings under which its command
// was split and classed, also if the settings changed while the reservations were read.
func TestResubmittedPartNamesItsSettingsVersion(t *testing.T) {
	disks := newFencingDisks(false, 0)
	h := newHarness(t, useTwoShards)
	disks.onRecord = func() { h.changeSettings(func(s *settings.Settings) { s.Limits.MaxAttempts++ }) }
	h.startFakeDiskServers(disks.handle)
	result := h.execute(h.connect(normalVolume, 1), initiator.WriteCDB(boundaryBlock, 2), make([]byte, 2*4096), 0)
	if result.Status != scsi.Good {
		t.Fatalf("got status %02x, want GOOD", result.Status)
	}
	disks.mu.Lock()
	defer disks.mu.Unlock()
	if len(disks.versions) != 3 || disks.versions[2] != disks.versions[0] {
		t.Errorf("got attempts under versions %v, want three, all under the first one's", disks.versions)
	}
}

// An abort must end a command while the reservations are read, and no part may be sent afterwards.
func TestAbortWhileReservationsAreRead(t *testing.T) {
	disks := newFencingDisks(false, 0)
	reading, aborted := make(chan struct{}), make(chan struct{})
	var first sync.Once
	disks.onRecord = func() {
		first.Do(func() { close(reading) })
		<-aborted
	}
	h := newHarness(t, useTwoShards)
	h.startFakeDiskServers(disks.handle)
	client := h.connect(normalVolume, 1)
	task := client.Submit(0, initiator.WriteCDB(boundaryBlock, 2), make([]byte, 2*4096), 0, func(iscsi.Result, error) { t.Error("got a status for an aborted command") })
	<-reading
	responses := make(chan byte, 1)
	client.Abort(task, func(code byte) { responses <- code })
	if code := <-responses; code != iscsi.FunctionComplete {
		t.Errorf("abort: got response %d, want function complete", code)
	}
	close(aborted)
	other := h.connect(normalVolume, 2)
	if result := h.execute(other, initiator.ReadCDB(boundaryBlock+2, 1), nil, 4096); result.Status != scsi.Good {
		t.Errorf("read after the abort: got status %02x, want GOOD", result.Status)
	}
	h.waitFor("no memory is reserved", func() bool { return h.gateway.Status().Memory == 0 })
	if first, second, _ := disks.counts(); first != 1 || second != 0 {
		t.Errorf("the parts were executed %d and %d times, want 1 and 0", first, second)
	}
}
