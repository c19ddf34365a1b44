// Package standin plays the systems that the gateway works with, on loopback and
// for tests: disk servers with their blocks, the inventory, clients, and relays
// that record what passes. Each can be given the faults of a bad day. Nothing but
// cmd, lab and tests imports it.
package standin

import (
	"sync"

	"merlinhitch/internal/protocol/diskproto"
	"merlinhitch/internal/protocol/scsi"
)

// ShardStore holds the blocks of one shard. It outlives the disk server before it, as
// disks outlive a process, and is handed to its successor.
type ShardStore struct {
	mu           sync.Mutex
	blocks       map[blockAddress][]byte
	reservations map[string]*reservationState
	BlockSize    func(volume string) int // block size of a volume
	// OnExecute, if set, is told of each operation on blocks as it takes effect.
	OnExecute func(*diskproto.Do)
	// IgnoreFences has the cell forget every fence: a broken server, for tests of checkers.
	IgnoreFences bool

	replication replicationState
}

// reservationState is what a cell keeps of a volume's reservations: the record, where it is the
// first extent's cell, and the fence.
type reservationState struct {
	record  diskproto.Record
	persist bool
	fence   uint64
}

type blockAddress struct {
	volume string
	lba    uint64
}

// NewShardStore returns an empty cell, which reads as zeros.
func NewShardStore(blockSize func(volume string) int) *ShardStore {
	return &ShardStore{blocks: map[blockAddress][]byte{}, reservations: map[string]*reservationState{}, BlockSize: blockSize}
}

// apply carries out an operation and returns its result and data, and which change the
// cell's copy must have before it is answered.
func (s *ShardStore) apply(now float64, request *diskproto.Do) (result diskproto.Result, data []byte, requiredSeq uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.admitGeneration(request.Gen) {
		return diskproto.Stale, nil, 0
	}
	result, data, changed := s.execute(request)
	if changed {
		s.logChange(now, request)
	}
	return result, data, s.requiredSeq(request, changed)
}

// execute carries out an operation; changed tells whether anything is not as it was. Held: mu.
func (s *ShardStore) execute(request *diskproto.Do) (result diskproto.Result, data []byte, changed bool) {
	if result, data, changed, handled := s.executeReservation(request); handled {
		return result, data, changed
	}
	if s.OnExecute != nil {
		s.OnExecute(request)
	}
	blockSize := s.BlockSize(request.Volume)
	switch scsi.Op(request.Op) {
	case scsi.Read:
		return diskproto.OK, s.read(request.Volume, request.LBA, request.Blocks, blockSize), false
	case scsi.Write, scsi.WriteSame, scsi.Unmap:
		s.blindWrite(request, blockSize)
		return diskproto.OK, nil, true
	case scsi.CompareAndWrite:
		half := len(request.Data) / 2
		if string(s.read(request.Volume, request.LBA, request.Blocks, blockSize)) != string(request.Data[:half]) {
			return diskproto.Miscompare, nil, false
		}
		s.write(request.Volume, request.LBA, request.Data[half:], blockSize)
		return diskproto.OK, nil, true
	case scsi.Verify:
		if len(request.Data) > 0 && string(s.read(request.Volume, request.LBA, request.Blocks, blockSize)) != string(request.Data) {
			return diskproto.Miscompare, nil, false
		}
	}
	return diskproto.OK, nil, false
}

// blindWrite makes a change that depends on nothing that was there. Held: mu.
func (s *ShardStore) blindWrite(request *diskproto.Do, blockSize int) {
	switch scsi.Op(request.Op) {
	case scsi.Write:
		s.write(request.Volume, request.LBA, request.Data, blockSize)
	case scsi.WriteSame:
		for i := range uint64(request.Blocks) {
			s.write(request.Volume, request.LBA+i, request.Data, blockSize)
		}
	case scsi.Unmap:
		for _, run := range request.Runs {
			for i := range uint64(run.Blocks) {
				delete(s.blocks, blockAddress{request.Volume, run.LBA + i})
			}
		}
	}
}

// reservationFor is a volume's, made if need be. Held: mu.
func (s *ShardStore) reservationFor(volume string) *reservationState {
	state := s.reservations[volume]
	if state == nil {
		state = &reservationState{}
		s.reservations[volume] = state
	}
	return state
}

// executeReservation carries out what concerns them, and holds the rest to the fence; done is
// false for an operation that may go on.
func (s *ShardStore) executeReservation(request *diskproto.Do) (result diskproto.Result, data []byte, changed, handled bool) {
	switch request.Op {
	case diskproto.OpRecord:
		return diskproto.OK, s.reservationFor(request.Volume).record.Append(nil), false, true
	case diskproto.OpFence:
		state := s.reservationFor(request.Volume)
		changed = request.Fence > state.fence
		state.fence = max(state.fence, request.Fence)
		return diskproto.OK, nil, changed, true
	case diskproto.OpSwapRecord:
		state := s.reservationFor(request.Volume)
		var swap diskproto.Swap
		switch {
		case swap.Parse(request.Data) != nil:
			return diskproto.Failed, nil, false, true
		case swap.Expected != state.record.Version:
			return diskproto.Miscompare, state.record.Append(nil), false, true
		}
		state.record = diskproto.Record{Version: swap.New.Version, Bytes: append([]byte(nil), swap.New.Bytes...)}
		state.persist = swap.Persist
		return diskproto.OK, state.record.Append(nil), true, true
	}
	if state := s.reservations[request.Volume]; state != nil && request.Fence < state.fence && !s.IgnoreFences {
		return diskproto.Fenced, nil, false, true
	}
	return 0, nil, false, false
}

// PowerLoss empties the records that were not to outlive one.
func (s *ShardStore) PowerLoss() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, state := range s.reservations {
		if !state.persist && len(state.record.Bytes) > 0 {
			state.record = diskproto.Record{Version: state.record.Version + 1}
		}
	}
}

func (s *ShardStore) read(volume string, lba uint64, blocks uint32, blockSize int) []byte {
	data := make([]byte, int(blocks)*blockSize)
	for i := range uint64(blocks) {
		copy(data[int(i)*blockSize:], s.blocks[blockAddress{volume, lba + i}])
	}
	return data
}

func (s *ShardStore) write(volume string, lba uint64, data []byte, blockSize int) {
	for i := 0; i+blockSize <= len(data); i += blockSize {
		s.blocks[blockAddress{volume, lba + uint64(i/blockSize)}] = append([]byte(nil), data[i:i+blockSize]...)
	}
}

// DedupCache is the memory in which the disk servers of a rack drop the repeats of
// keyed requests. It forgets a key so long after its first run, not later: a
// repeat that comes too late runs again, and is counted.
type DedupCache struct {
	mu           sync.Mutex
	retention    float64 // ms
	entries      map[requestKey]dedupEntry
	order        []requestKey
	repeated     int // effects that took place once more
	effectCounts map[requestKey]int
}

type requestKey struct{ host, seq uint64 }

type dedupEntry struct {
	executedAt float64
	result     diskproto.Result
}

// NewDedupCache remembers for so many milliseconds.
func NewDedupCache(retention float64) *DedupCache {
	return &DedupCache{retention: retention, entries: map[requestKey]dedupEntry{}, effectCounts: map[requestKey]int{}}
}

// runOnce applies a keyed request unless it is a repeat still remembered.
func (c *DedupCache) runOnce(now float64, request *diskproto.Do, apply func() (diskproto.Result, []byte)) (result diskproto.Result, data []byte, dropped bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for len(c.order) > 0 && now-c.entries[c.order[0]].executedAt >= c.retention {
		delete(c.entries, c.order[0])
		c.order = c.order[1:]
	}
	key := requestKey{request.Host, request.Seq}
	if entry, ok := c.entries[key]; ok {
		return entry.result, nil, true
	}
	if result, data = apply(); result == diskproto.Stale {
		return result, data, false // it may come again under a newer generation
	}
	c.entries[key] = dedupEntry{now, result}
	c.order = append(c.order, key)
	if c.effectCounts[key]++; c.effectCounts[key] > 1 {
		c.repeated++
	}
	return result, data, false
}

// remember enters a keyed request that ran so long ago, elsewhere.
func (c *DedupCache) remember(executedAt float64, request *diskproto.Do) {
	c.mu.Lock()
	defer c.mu.Unlock()
	key := requestKey{request.Host, request.Seq}
	if _, ok := c.entries[key]; ok || request.Effect != diskproto.Keyed || request.Seq == 0 {
		return
	}
	c.entries[key] = dedupEntry{executedAt, diskproto.OK}
	c.order = append(c.order, key)
}

// RepeatedEffects is the number of effects that took place more than once.
func (c *DedupCache) RepeatedEffects() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.repeated
}
