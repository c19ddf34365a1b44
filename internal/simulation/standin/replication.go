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

// storeRole is the role of a store among the two of its shard: the home serves requests and
// replicates its changes to the copy in the other region.
type storeRole int

const (
	roleNone storeRole = iota
	roleHome
	roleCopy
)

// replicationState is a store's role under the newest generation it knows, and its log of changes.
// It is as durable as the blocks.
type replicationState struct {
	enabled           bool // the service has two regions
	region            region.ID
	role              storeRole
	gen               uint64 // the newest generation of the shard that the store knows
	alone             bool   // the home answers without waiting for its copy
	betweenHomes      bool   // the shard is moving to another home: no more requests run under gen
	completeGen       uint64 // the generation under which the copy was last reported complete
	recordedAlone     bool   // the inventory's record has the home alone under gen
	copyConnected     bool
	position          diskproto.Position // of the last change
	logBase           diskproto.Position // of the change before log[0]
	log               []change
	copiedSeq         uint64                  // the copy has all changes up to this sequence number
	lastWrites        map[blockAddress]uint64 // sequence number of the last change of a block
	pendingReplies    []pendingReply
	receivingSnapshot bool // a snapshot is incomplete: the content is unusable
	wakeSender        func()
}

// change is an entry of a store's log.
type change struct {
	position   diskproto.Position
	executedAt float64 // ms
	request    diskproto.Do
}

// pendingReply is an answer that waits until the copy has the change it depends on.
type pendingReply struct {
	seq      uint64  // of that change
	queuedAt float64 // ms
	reply    func()
}

const (
	// retainedChanges is the number of changes kept when the log has grown beyond twice as many. A
	// copy that lacks changes that are not in the log gets a snapshot.
	retainedChanges = 4096
	// MaxReplicationLag is the largest number of changes of a shard that may be acknowledged before
	// they are copied, and so be lost with the region.
	MaxReplicationLag = 64
	// behindThreshold is how long an answer waits, in ms, before the copy is reported as behind.
	behindThreshold = 400
)

// EnableReplication makes the store one of two of its shard, in the region self.
func (s *ShardStore) EnableReplication(self region.ID) {
	s.replication = replicationState{enabled: true, region: self, lastWrites: map[blockAddress]uint64{}}
}

// SetSenderWakeup sets the function that is called, with the lock held, when there are changes to
// copy or the generation has changed; nil for none.
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

// enterGeneration starts a newer generation in the given role. Answers that still wait are never
// sent. The caller holds the store's lock.
func (r *replicationState) enterGeneration(gen uint64, role storeRole) {
	r.gen, r.role, r.alone, r.betweenHomes, r.copyConnected, r.recordedAlone = gen, role, false, false, false, false
	r.copiedSeq, r.pendingReplies = 0, nil
	if role == roleHome {
		r.receivingSnapshot = false // a partial snapshot is all that is left
	}
	r.wake()
}

// UpdateHome applies the inventory's record of the shard's home. Records of older generations are
// ignored.
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

// admitGeneration reports whether a request of the given generation may run. A newer generation
// than the known one makes this store the home. The caller holds mu.
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

// Stale reports whether a request of the given generation must be refused, since a newer one is
// known, this store is not the home, or the shard is moving.
func (s *ShardStore) Stale(gen uint64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.admitGeneration(gen)
}

// logChange numbers a change made here and logs it. The caller holds mu.
func (s *ShardStore) logChange(now float64, request *diskproto.Do) {
	replication := &s.replication
	if !replication.enabled {
		return
	}
	replication.position = diskproto.Position{Gen: replication.gen, Seq: replication.position.Seq + 1}
	s.appendToLog(change{replication.position, now, *request})
	replication.wake()
}

// appendToLog adds a numbered change to the log. The caller holds mu.
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

// touchedBlocks iterates over the blocks that a request addresses.
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

// requiredSeq returns the sequence number of the last change that the copy must have before a
// request is answered, 0 for none. The caller holds mu.
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

// lastSeq returns the sequence number of the last change, for which the answer to a dropped repeat
// must wait.
func (s *ShardStore) lastSeq() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.replication.position.Seq
}

// replyWhenCopied reports whether an answer may be sent now. Otherwise reply is called once it may,
// on any goroutine and with mu held, or never if a newer generation starts first.
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

// releaseReplies sends the answers that need not wait any longer. The caller holds the store's lock.
func (r *replicationState) releaseReplies() {
	r.pendingReplies = slices.DeleteFunc(r.pendingReplies, func(pending pendingReply) bool {
		if r.alone || pending.seq <= r.copiedSeq {
			pending.reply()
			return true
		}
		return false
	})
}

// CopyStatus returns the report for the inventory: generation, role and, if there is one to report,
// the state of the copy.
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
		replication.alone, replication.completeGen = false, replication.gen // answers wait for the copy from here on
		status.State = region.Whole
	case replication.alone:
	case replication.recordedAlone && replication.completeGen == replication.gen:
		status.State = region.Whole
	case len(replication.pendingReplies) > 0 && now-replication.pendingReplies[0].queuedAt > behindThreshold:
		status.State = region.Behind
	}
	return status
}

// Home reports whether the store is its shard's home, and the generation it knows.
func (s *ShardStore) Home() (gen uint64, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.replication.gen, s.replication.role == roleHome
}

// acceptSender answers a home that wants to replicate to this store under the given generation:
// Stale, or the position up to which this store has the changes.
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
		return diskproto.Joined{Result: diskproto.OK} // position 0: the content is incomplete
	}
	return diskproto.Joined{Result: diskproto.OK, At: replication.position}
}

// receiveChange applies a change, or a part of a snapshot, from the home of the given generation.
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

// applyChange repeats a change that the home has executed. The caller holds mu.
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

// startReplication starts to replicate to a copy that has the changes up to position. It returns the
// sequence number after which changes are to be sent, and the parts of a snapshot that must be sent
// first if the log does not contain position; ok is false if this store is not the home under gen.
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

// snapshot returns the whole content as a list of changes. The caller holds mu.
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

// changesAfter returns up to limit changes after afterSeq. ok is false if this store is no longer the
// home under gen or the log no longer contains them.
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

// acknowledgeCopied records that the copy has all changes up to seq.
func (s *ShardStore) acknowledgeCopied(gen, seq uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if replication := &s.replication; replication.gen == gen && replication.role == roleHome {
		replication.copiedSeq = max(replication.copiedSeq, seq)
		replication.releaseReplies()
	}
}

// copyDisconnected records that the connection to the copy has ended.
func (s *ShardStore) copyDisconnected(gen uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.replication.gen == gen {
		s.replication.copyConnected = false
	}
}
