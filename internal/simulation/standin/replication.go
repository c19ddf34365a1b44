package standin

import (
	"cmp"
	"maps"
	"slices"

	"merlinhitch/internal/fleet/region"
	"merlinhitch/internal/protocol/diskproto"
	"merlinhitch/internal/protocol/scsi"
	"merlinhitch/internal/simulation/faultinject"
)

// storeRole is what a cell is to its shard.
type storeRole int

const (
	roleNone storeRole = iota
	roleHome
	roleCopy
)

// replicationState is what a cell knows of its shard's homes, and its history of changes: as the
// home for the copy in the other region, or as that copy. It is part of a cell, and as
// durable.
type replicationState struct {
	enabled           bool // the service has two regions
	region            region.ID
	role              storeRole
	gen               uint64
	alone             bool   // the home answers without its copy
	betweenHomes      bool   // the shard is between two homes: nothing more runs under gen
	completeGen       uint64 // the generation under which the copy was said to be whole
	recordedAlone     bool   // the record says alone for gen
	copyConnected     bool   // the copy is connected
	position          diskproto.Position
	logBase           diskproto.Position // before log[0]
	log               []change
	copiedSeq         uint64 // the copy has the history up to here
	lastWrites        map[blockAddress]uint64
	pendingReplies    []pendingReply
	receivingSnapshot bool // a whole state is coming in: what is there is none
	wakeSender        func()
}

// change is one change of the cell.
type change struct {
	position   diskproto.Position
	executedAt float64 // ms
	request    diskproto.Do
}

// pendingReply is an answer that the copy must have first.
type pendingReply struct {
	seq      uint64
	queuedAt float64
	reply    func()
}

const (
	// retainedChanges bounds the history; a copy that lacks more gets the whole state.
	retainedChanges = 4096
	// MaxReplicationLag is how many changes that were acknowledged before they were copied a shard
	// may lose with its region.
	MaxReplicationLag = 64
	// behindThreshold is how long an answer waits until the copy is said to be lost, ms.
	behindThreshold = 400
)

// EnableReplication makes the cell one of two, in that region.
func (c *ShardStore) EnableReplication(self region.ID) {
	c.replication = replicationState{enabled: true, region: self, lastWrites: map[blockAddress]uint64{}}
}

// SetSenderWakeup has f called when there is something to copy.
func (c *ShardStore) SetSenderWakeup(f func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.replication.wakeSender = f
}

func (r *replicationState) wake() {
	if r.wakeSender != nil {
		r.wakeSender()
	}
}

// enterGeneration enters a later generation.
func (r *replicationState) enterGeneration(gen uint64, s storeRole) {
	r.gen, r.role, r.alone, r.betweenHomes, r.copyConnected, r.recordedAlone = gen, s, false, false, false, false
	r.copiedSeq, r.pendingReplies = 0, nil
	if s == roleHome {
		r.receivingSnapshot = false // given up: what is there is all there is
	}
	r.wake()
}

// UpdateHome takes the inventory's word on the shard's home.
func (c *ShardStore) UpdateHome(h region.Home) {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := &c.replication
	if h.Gen < r.gen {
		return
	}
	switch {
	case h.Region == region.Nowhere:
		if h.Gen == r.gen && h.From == r.region {
			r.betweenHomes = true
		}
		return
	case h.Gen > r.gen && h.Region == r.region:
		r.enterGeneration(h.Gen, roleHome)
	case h.Gen > r.gen:
		r.enterGeneration(h.Gen, roleCopy)
	}
	if r.role == roleHome {
		if r.recordedAlone = h.Alone; h.Alone && r.completeGen != r.gen && !r.alone {
			r.alone = true
			r.releaseReplies()
		}
	}
}

// admitGeneration tells whether a command of that generation may run. Held: mu.
func (c *ShardStore) admitGeneration(gen uint64) bool {
	r := &c.replication
	switch {
	case !r.enabled || c.IgnoreFences:
		return true
	case faultinject.Active(faultinject.FenceMissing) && gen < r.gen:
		return true
	case gen > r.gen:
		r.enterGeneration(gen, roleHome)
	case gen < r.gen || r.role != roleHome || r.betweenHomes:
		return false
	}
	return true
}

// Stale tells whether a command's generation is older than what the cell knows.
func (c *ShardStore) Stale(gen uint64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.admitGeneration(gen)
}

// logChange enters a change in the history. Held: mu.
func (c *ShardStore) logChange(now float64, d *diskproto.Do) {
	r := &c.replication
	if !r.enabled {
		return
	}
	r.position = diskproto.Position{Gen: r.gen, Seq: r.position.Seq + 1}
	c.appendToLog(change{r.position, now, *d})
	r.wake()
}

// appendToLog adds a change to the history. Held: mu.
func (c *ShardStore) appendToLog(x change) {
	r := &c.replication
	r.log = append(r.log, x)
	if len(r.log) > 2*retainedChanges {
		cut := len(r.log) - retainedChanges
		r.logBase = r.log[cut-1].position
		r.log = slices.Delete(r.log, 0, cut)
	}
	for p := range c.touchedBlocks(&x.request) {
		r.lastWrites[p] = x.position.Seq
	}
}

// touchedBlocks are the blocks that a command is about.
func (c *ShardStore) touchedBlocks(d *diskproto.Do) func(func(blockAddress) bool) {
	return func(yield func(blockAddress) bool) {
		for _, run := range append([]diskproto.Run{{LBA: d.LBA, Blocks: d.Blocks}}, d.Runs...) {
			for i := range uint64(run.Blocks) {
				if !yield(blockAddress{d.Volume, run.LBA + i}) {
					return
				}
			}
		}
	}
}

// requiredSeq is the change that the copy must have before a command is answered. Held: mu.
func (c *ShardStore) requiredSeq(d *diskproto.Do, changed bool) uint64 {
	r := &c.replication
	switch {
	case !r.enabled:
		return 0
	case !d.Copied && changed:
		return max(r.position.Seq, MaxReplicationLag) - MaxReplicationLag
	case !d.Copied:
		return 0
	case changed:
		return r.position.Seq
	}
	most := uint64(0)
	for p := range c.touchedBlocks(d) {
		if at := r.lastWrites[p]; at <= r.copiedSeq {
			delete(r.lastWrites, p)
		} else {
			most = max(most, at)
		}
	}
	return most
}

// lastSeq is the last change: what a repeat that is dropped must wait for.
func (c *ShardStore) lastSeq() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.replication.position.Seq
}

// replyWhenCopied tells whether an answer may go out now; otherwise reply is called once it may, on
// no particular goroutine, or never if the shard has another home by then.
func (c *ShardStore) replyWhenCopied(now float64, seq uint64, reply func()) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := &c.replication
	if !r.enabled || r.alone || seq <= r.copiedSeq {
		return true
	}
	r.pendingReplies = append(r.pendingReplies, pendingReply{seq, now, reply})
	return false
}

// releaseReplies lets go of the answers that wait no longer. Held: mu.
func (r *replicationState) releaseReplies() {
	r.pendingReplies = slices.DeleteFunc(r.pendingReplies, func(w pendingReply) bool {
		if r.alone || w.seq <= r.copiedSeq {
			w.reply()
			return true
		}
		return false
	})
}

// CopyStatus is what the cell says of its copy, if there is anything to say, and under which
// generation it is what.
func (c *ShardStore) CopyStatus(now float64) (out region.Copy) {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := &c.replication
	has := r.copyConnected && r.copiedSeq >= r.position.Seq
	out.Gen, out.Home = r.gen, r.role == roleHome
	switch {
	case r.role != roleHome:
	case r.betweenHomes && has:
		out.State = region.Drained
	case r.betweenHomes:
	case r.alone && has:
		r.alone, r.completeGen = false, r.gen // from here on nothing is answered alone
		out.State = region.Whole
	case r.alone:
	case r.recordedAlone && r.completeGen == r.gen:
		out.State = region.Whole
	case len(r.pendingReplies) > 0 && now-r.pendingReplies[0].queuedAt > behindThreshold:
		out.State = region.Behind
	}
	return out
}

// Home tells whether the cell is its shard's home, and under which generation.
func (c *ShardStore) Home() (gen uint64, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.replication.gen, c.replication.role == roleHome
}

// acceptSender is the home's question what this cell has.
func (c *ShardStore) acceptSender(gen uint64) diskproto.Joined {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := &c.replication
	if !r.enabled || gen < r.gen || gen == r.gen && r.role == roleHome {
		return diskproto.Joined{Result: diskproto.Stale}
	}
	if gen > r.gen {
		r.enterGeneration(gen, roleCopy)
	}
	if r.receivingSnapshot {
		return diskproto.Joined{Result: diskproto.OK} // it has nothing whole
	}
	return diskproto.Joined{Result: diskproto.OK, At: r.position}
}

// receiveChange is a change, or a piece of a whole state, from the home under that generation.
func (c *ShardStore) receiveChange(now float64, gen uint64, m *diskproto.Copy) diskproto.Copied {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := &c.replication
	if faultinject.Active(faultinject.FenceMissing) && gen < r.gen {
		d := m.Do
		d.Data = slices.Clone(d.Data)
		c.applyChange(&d)
		return diskproto.Copied{Result: diskproto.OK, At: m.At}
	}
	if gen != r.gen || r.role != roleCopy {
		return diskproto.Copied{Result: diskproto.Stale}
	}
	if m.First {
		r.receivingSnapshot = true
		clear(c.blocks)
		clear(c.reservations)
		clear(r.lastWrites)
		r.log, r.logBase = nil, r.position
	}
	if !r.receivingSnapshot && m.At.Seq != r.position.Seq+1 {
		return diskproto.Copied{Result: diskproto.Failed}
	}
	d := m.Do
	d.Data = slices.Clone(d.Data)
	c.applyChange(&d)
	switch {
	case r.receivingSnapshot && m.Part:
	case r.receivingSnapshot:
		r.receivingSnapshot, r.position, r.logBase = false, m.At, m.At
	default:
		r.position = m.At
		c.appendToLog(change{m.At, now - float64(m.Age), d})
	}
	return diskproto.Copied{Result: diskproto.OK, At: r.position}
}

// applyChange makes a change that the home has made. Held: mu.
func (c *ShardStore) applyChange(d *diskproto.Do) {
	switch d.Op {
	case 0:
	case diskproto.OpFence, diskproto.OpSwapRecord:
		m := c.reservationFor(d.Volume)
		var s diskproto.Swap
		if d.Op == diskproto.OpFence {
			m.fence = max(m.fence, d.Fence)
		} else if s.Parse(d.Data) == nil {
			m.record, m.persist = diskproto.Record{Version: s.New.Version, Bytes: slices.Clone(s.New.Bytes)}, s.Persist
		}
	case byte(scsi.CompareAndWrite):
		c.write(d.Volume, d.LBA, d.Data[len(d.Data)/2:], c.BlockSize(d.Volume))
	default:
		c.blindWrite(d, c.BlockSize(d.Volume))
	}
}

// startReplication begins copying to a cell that has the history up to at: it returns the changes
// that follow, or a whole state in pieces.
func (c *ShardStore) startReplication(gen uint64, at diskproto.Position) (whole []diskproto.Copy, start uint64, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := &c.replication
	if r.gen != gen || r.role != roleHome {
		return nil, 0, false
	}
	r.copyConnected = true
	if at == r.logBase || slices.ContainsFunc(r.log, func(x change) bool { return x.position == at }) {
		r.copiedSeq = at.Seq
		r.releaseReplies()
		return nil, at.Seq, true
	}
	r.copiedSeq = 0
	return c.snapshot(), r.position.Seq, true
}

// snapshot is the whole state. Held: mu.
func (c *ShardStore) snapshot() (out []diskproto.Copy) {
	add := func(d diskproto.Do) {
		out = append(out, diskproto.Copy{At: c.replication.position, First: len(out) == 0, Part: true, Do: d})
	}
	for _, p := range slices.SortedFunc(maps.Keys(c.blocks), func(a, b blockAddress) int {
		return cmp.Or(cmp.Compare(a.volume, b.volume), cmp.Compare(a.lba, b.lba))
	}) {
		add(diskproto.Do{Op: byte(scsi.Write), Volume: p.volume, LBA: p.lba, Blocks: 1, Data: c.blocks[p]})
	}
	for _, v := range slices.Sorted(maps.Keys(c.reservations)) {
		m := c.reservations[v]
		s := diskproto.Swap{Persist: m.persist, New: m.record}
		add(diskproto.Do{Op: diskproto.OpSwapRecord, Volume: v, Data: s.Append(nil)})
		add(diskproto.Do{Op: diskproto.OpFence, Volume: v, Fence: m.fence})
	}
	add(diskproto.Do{})
	out[len(out)-1].Part = false
	return out
}

// changesAfter are the changes after a number, at most so many; false where the cell is no home
// under that generation any more, or has forgotten them.
func (c *ShardStore) changesAfter(now float64, gen, after uint64, most int) (out []diskproto.Copy, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := &c.replication
	if r.gen != gen || r.role != roleHome || after < r.logBase.Seq {
		return nil, false
	}
	for _, x := range r.log[min(int(after-r.logBase.Seq), len(r.log)):] {
		if len(out) == most {
			break
		}
		out = append(out, diskproto.Copy{At: x.position, Age: uint32(max(now-x.executedAt, 0)), Do: x.request})
	}
	return out, true
}

// acknowledgeCopied notes that the copy acknowledgeCopied the history up to a number.
func (c *ShardStore) acknowledgeCopied(gen, seq uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if r := &c.replication; r.gen == gen && r.role == roleHome {
		r.copiedSeq = max(r.copiedSeq, seq)
		r.releaseReplies()
	}
}

// copyDisconnected notes that the copy is no longer connected.
func (c *ShardStore) copyDisconnected(gen uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.replication.gen == gen {
		c.replication.copyConnected = false
	}
}
