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
func (s *ShardStore) EnableReplication(self region.ID) {
	s.replication = replicationState{enabled: true, region: self, lastWrites: map[blockAddress]uint64{}}
}

// SetSenderWakeup has f called when there is something to copy.
func (s *ShardStore) SetSenderWakeup(wakeup func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.replication.wakeSender = wakeup
}

func (r *replicationState) wake() {
	if r.wakeSender != nil {
		r.wakeSender()
	}
}

// enterGeneration enters a later generation.
func (r *replicationState) enterGeneration(gen uint64, role storeRole) {
	r.gen, r.role, r.alone, r.betweenHomes, r.copyConnected, r.recordedAlone = gen, role, false, false, false, false
	r.copiedSeq, r.pendingReplies = 0, nil
	if role == roleHome {
		r.receivingSnapshot = false // given up: what is there is all there is
	}
	r.wake()
}

// UpdateHome takes the inventory's word on the shard's home.
func (s *ShardStore) UpdateHome(home region.Home) {
	s.mu.Lock()
	defer s.mu.Unlock()
	replication := &s.replication
	if home.Gen < replication.gen {
		return
	}
	switch {
	case home.Region == region.Nowhere:
		if home.Gen == replication.gen && home.From == replication.region {
			replication.betweenHomes = true
		}
		return
	case home.Gen > replication.gen && home.Region == replication.region:
		replication.enterGeneration(home.Gen, roleHome)
	case home.Gen > replication.gen:
		replication.enterGeneration(home.Gen, roleCopy)
	}
	if replication.role == roleHome {
		if replication.recordedAlone = home.Alone; home.Alone && replication.completeGen != replication.gen && !replication.alone {
			replication.alone = true
			replication.releaseReplies()
		}
	}
}

// admitGeneration tells whether a command of that generation may run. Held: mu.
func (s *ShardStore) admitGeneration(gen uint64) bool {
	replication := &s.replication
	switch {
	case !replication.enabled || s.IgnoreFences:
		return true
	case faultinject.Active(faultinject.FenceMissing) && gen < replication.gen:
		return true
	case gen > replication.gen:
		replication.enterGeneration(gen, roleHome)
	case gen < replication.gen || replication.role != roleHome || replication.betweenHomes:
		return false
	}
	return true
}

// Stale tells whether a command's generation is older than what the cell knows.
func (s *ShardStore) Stale(gen uint64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.admitGeneration(gen)
}

// logChange enters a change in the history. Held: mu.
func (s *ShardStore) logChange(now float64, request *diskproto.Do) {
	replication := &s.replication
	if !replication.enabled {
		return
	}
	replication.position = diskproto.Position{Gen: replication.gen, Seq: replication.position.Seq + 1}
	s.appendToLog(change{replication.position, now, *request})
	replication.wake()
}

// appendToLog adds a change to the history. Held: mu.
func (s *ShardStore) appendToLog(entry change) {
	replication := &s.replication
	replication.log = append(replication.log, entry)
	if len(replication.log) > 2*retainedChanges {
		dropped := len(replication.log) - retainedChanges
		replication.logBase = replication.log[dropped-1].position
		replication.log = slices.Delete(replication.log, 0, dropped)
	}
	for block := range s.touchedBlocks(&entry.request) {
		replication.lastWrites[block] = entry.position.Seq
	}
}

// touchedBlocks are the blocks that a command is about.
func (s *ShardStore) touchedBlocks(request *diskproto.Do) func(func(blockAddress) bool) {
	return func(yield func(blockAddress) bool) {
		for _, run := range append([]diskproto.Run{{LBA: request.LBA, Blocks: request.Blocks}}, request.Runs...) {
			for i := range uint64(run.Blocks) {
				if !yield(blockAddress{request.Volume, run.LBA + i}) {
					return
				}
			}
		}
	}
}

// requiredSeq is the change that the copy must have before a command is answered. Held: mu.
func (s *ShardStore) requiredSeq(request *diskproto.Do, changed bool) uint64 {
	replication := &s.replication
	switch {
	case !replication.enabled:
		return 0
	case !request.Copied && changed:
		return max(replication.position.Seq, MaxReplicationLag) - MaxReplicationLag
	case !request.Copied:
		return 0
	case changed:
		return replication.position.Seq
	}
	required := uint64(0)
	for block := range s.touchedBlocks(request) {
		if written := replication.lastWrites[block]; written <= replication.copiedSeq {
			delete(replication.lastWrites, block)
		} else {
			required = max(required, written)
		}
	}
	return required
}

// lastSeq is the last change: what a repeat that is dropped must wait for.
func (s *ShardStore) lastSeq() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.replication.position.Seq
}

// replyWhenCopied tells whether an answer may go out now; otherwise reply is called once it may, on
// no particular goroutine, or never if the shard has another home by then.
func (s *ShardStore) replyWhenCopied(now float64, seq uint64, reply func()) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	replication := &s.replication
	if !replication.enabled || replication.alone || seq <= replication.copiedSeq {
		return true
	}
	replication.pendingReplies = append(replication.pendingReplies, pendingReply{seq, now, reply})
	return false
}

// releaseReplies lets go of the answers that wait no longer. Held: mu.
func (r *replicationState) releaseReplies() {
	r.pendingReplies = slices.DeleteFunc(r.pendingReplies, func(pending pendingReply) bool {
		if r.alone || pending.seq <= r.copiedSeq {
			pending.reply()
			return true
		}
		return false
	})
}

// CopyStatus is what the cell says of its copy, if there is anything to say, and under which
// generation it is what.
func (s *ShardStore) CopyStatus(now float64) (status region.Copy) {
	s.mu.Lock()
	defer s.mu.Unlock()
	replication := &s.replication
	copyComplete := replication.copyConnected && replication.copiedSeq >= replication.position.Seq
	status.Gen, status.Home = replication.gen, replication.role == roleHome
	switch {
	case replication.role != roleHome:
	case replication.betweenHomes && copyComplete:
		status.State = region.Drained
	case replication.betweenHomes:
	case replication.alone && copyComplete:
		replication.alone, replication.completeGen = false, replication.gen // from here on nothing is answered alone
		status.State = region.Whole
	case replication.alone:
	case replication.recordedAlone && replication.completeGen == replication.gen:
		status.State = region.Whole
	case len(replication.pendingReplies) > 0 && now-replication.pendingReplies[0].queuedAt > behindThreshold:
		status.State = region.Behind
	}
	return status
}

// Home tells whether the cell is its shard's home, and under which generation.
func (s *ShardStore) Home() (gen uint64, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.replication.gen, s.replication.role == roleHome
}

// acceptSender is the home's question what this cell has.
func (s *ShardStore) acceptSender(gen uint64) diskproto.Joined {
	s.mu.Lock()
	defer s.mu.Unlock()
	replication := &s.replication
	if !replication.enabled || gen < replication.gen || gen == replication.gen && replication.role == roleHome {
		return diskproto.Joined{Result: diskproto.Stale}
	}
	if gen > replication.gen {
		replication.enterGeneration(gen, roleCopy)
	}
	if replication.receivingSnapshot {
		return diskproto.Joined{Result: diskproto.OK} // it has nothing whole
	}
	return diskproto.Joined{Result: diskproto.OK, At: replication.position}
}

// receiveChange is a change, or a piece of a whole state, from the home under that generation.
func (s *ShardStore) receiveChange(now float64, gen uint64, message *diskproto.Copy) diskproto.Copied {
	s.mu.Lock()
	defer s.mu.Unlock()
	replication := &s.replication
	if faultinject.Active(faultinject.FenceMissing) && gen < replication.gen {
		request := message.Do
		request.Data = slices.Clone(request.Data)
		s.applyChange(&request)
		return diskproto.Copied{Result: diskproto.OK, At: message.At}
	}
	if gen != replication.gen || replication.role != roleCopy {
		return diskproto.Copied{Result: diskproto.Stale}
	}
	if message.First {
		replication.receivingSnapshot = true
		clear(s.blocks)
		clear(s.reservations)
		clear(replication.lastWrites)
		replication.log, replication.logBase = nil, replication.position
	}
	if !replication.receivingSnapshot && message.At.Seq != replication.position.Seq+1 {
		return diskproto.Copied{Result: diskproto.Failed}
	}
	request := message.Do
	request.Data = slices.Clone(request.Data)
	s.applyChange(&request)
	switch {
	case replication.receivingSnapshot && message.Part:
	case replication.receivingSnapshot:
		replication.receivingSnapshot, replication.position, replication.logBase = false, message.At, message.At
	default:
		replication.position = message.At
		s.appendToLog(change{message.At, now - float64(message.Age), request})
	}
	return diskproto.Copied{Result: diskproto.OK, At: replication.position}
}

// applyChange makes a change that the home has made. Held: mu.
func (s *ShardStore) applyChange(request *diskproto.Do) {
	switch request.Op {
	case 0:
	case diskproto.OpFence, diskproto.OpSwapRecord:
		state := s.reservationFor(request.Volume)
		var swap diskproto.Swap
		if request.Op == diskproto.OpFence {
			state.fence = max(state.fence, request.Fence)
		} else if swap.Parse(request.Data) == nil {
			state.record, state.persist = diskproto.Record{Version: swap.New.Version, Bytes: slices.Clone(swap.New.Bytes)}, swap.Persist
		}
	case byte(scsi.CompareAndWrite):
		s.write(request.Volume, request.LBA, request.Data[len(request.Data)/2:], s.BlockSize(request.Volume))
	default:
		s.blindWrite(request, s.BlockSize(request.Volume))
	}
}

// startReplication begins copying to a cell that has the history up to at: it returns the changes
// that follow, or a whole state in pieces.
func (s *ShardStore) startReplication(gen uint64, position diskproto.Position) (snapshot []diskproto.Copy, start uint64, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	replication := &s.replication
	if replication.gen != gen || replication.role != roleHome {
		return nil, 0, false
	}
	replication.copyConnected = true
	if position == replication.logBase || slices.ContainsFunc(replication.log, func(entry change) bool { return entry.position == position }) {
		replication.copiedSeq = position.Seq
		replication.releaseReplies()
		return nil, position.Seq, true
	}
	replication.copiedSeq = 0
	return s.snapshot(), replication.position.Seq, true
}

// snapshot is the whole state. Held: mu.
func (s *ShardStore) snapshot() (changes []diskproto.Copy) {
	add := func(request diskproto.Do) {
		changes = append(changes, diskproto.Copy{At: s.replication.position, First: len(changes) == 0, Part: true, Do: request})
	}
	for _, block := range slices.SortedFunc(maps.Keys(s.blocks), func(a, b blockAddress) int {
		return cmp.Or(cmp.Compare(a.volume, b.volume), cmp.Compare(a.lba, b.lba))
	}) {
		add(diskproto.Do{Op: byte(scsi.Write), Volume: block.volume, LBA: block.lba, Blocks: 1, Data: s.blocks[block]})
	}
	for _, volume := range slices.Sorted(maps.Keys(s.reservations)) {
		state := s.reservations[volume]
		swap := diskproto.Swap{Persist: state.persist, New: state.record}
		add(diskproto.Do{Op: diskproto.OpSwapRecord, Volume: volume, Data: swap.Append(nil)})
		add(diskproto.Do{Op: diskproto.OpFence, Volume: volume, Fence: state.fence})
	}
	add(diskproto.Do{})
	changes[len(changes)-1].Part = false
	return changes
}

// changesAfter are the changes after a number, at most so many; false where the cell is no home
// under that generation any more, or has forgotten them.
func (s *ShardStore) changesAfter(now float64, gen, afterSeq uint64, limit int) (changes []diskproto.Copy, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	replication := &s.replication
	if replication.gen != gen || replication.role != roleHome || afterSeq < replication.logBase.Seq {
		return nil, false
	}
	for _, entry := range replication.log[min(int(afterSeq-replication.logBase.Seq), len(replication.log)):] {
		if len(changes) == limit {
			break
		}
		changes = append(changes, diskproto.Copy{At: entry.position, Age: uint32(max(now-entry.executedAt, 0)), Do: entry.request})
	}
	return changes, true
}

// acknowledgeCopied notes that the copy acknowledgeCopied the history up to a number.
func (s *ShardStore) acknowledgeCopied(gen, seq uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if replication := &s.replication; replication.gen == gen && replication.role == roleHome {
		replication.copiedSeq = max(replication.copiedSeq, seq)
		replication.releaseReplies()
	}
}

// copyDisconnected notes that the copy is no longer connected.
func (s *ShardStore) copyDisconnected(gen uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.replication.gen == gen {
		s.replication.copyConnected = false
	}
}
