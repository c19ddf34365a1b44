// Package standin simulates the systems around the gateway and the scheduler, for tests, the lab
// and local trials: disk servers with their storage, the inventory, HTTP discovery, BGP routers, and
// relays that record the frames that pass. Faults can be injected into each of them.
package standin

import (
	"sync"

	"merlinhitch/internal/protocol/diskproto"
	"merlinhitch/internal/protocol/scsi"
)

// ShardStore holds the blocks and reservations of one shard. Like a disk, it outlives the disk
// server process that uses it and is passed to that process's successor.
type ShardStore struct {
	mu           sync.Mutex
	blocks       map[blockAddress][]byte
	reservations map[string]*reservationState
	BlockSize    func(volume string) int // block size of a volume, bytes
	// OnExecute, if set, is called with each block operation as it is executed, with the lock held.
	OnExecute func(*diskproto.Do)
	// IgnoreFences disables the checks of reservation fences and shard generations, to test
	// that checkers detect a broken server.
	IgnoreFences bool

	replication replicationState
}

// reservationState is what a store keeps for a volume's reservations. The record is kept only in
// the store of the volume's first extent, the fence in every store.
type reservationState struct {
	record  diskproto.Record
	persist bool   // the record survives a power loss
	fence   uint64 // requests with a lower fence are refused
}

type blockAddress struct {
	volume string
	lba    uint64
}

// NewShardStore returns an empty store. Blocks that were never written read as zeros.
func NewShardStore(blockSize func(volume string) int) *ShardStore {
	return &ShardStore{blocks: map[blockAddress][]byte{}, reservations: map[string]*reservationState{}, BlockSize: blockSize}
}

// apply executes an operation and returns its result and data, and the sequence number of the last
// change that the copy must have before the operation is answered.
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

// execute executes an operation and reports whether it changed the store. The caller holds mu.
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

// blindWrite executes a change that does not depend on the previous content. The caller holds mu.
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

// reservationFor returns the reservation state of a volume and creates it if there is none. The
// caller holds mu.
func (s *ShardStore) reservationFor(volume string) *reservationState {
	state := s.reservations[volume]
	if state == nil {
		state = &reservationState{}
		s.reservations[volume] = state
	}
	return state
}

// executeReservation executes operations on reservations and refuses others that are below the
// fence. If handled is false, the operation is still to be executed. The caller holds mu.
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

// PowerLoss empties the reservation records that are not persistent through a power loss.
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

// DedupCache lets the disk servers of a rack drop repeats of keyed requests. A key is forgotten
// after the retention time; a repeat that arrives later is executed again and counted.
type DedupCache struct {
	mu           sync.Mutex
	retention    float64 // ms since execution
	entries      map[requestKey]dedupEntry
	order        []requestKey       // in the order of entry, oldest first
	repeated     int                // executions of a key after its first
	effectCounts map[requestKey]int // executions by key
}

type requestKey struct{ host, seq uint64 }

type dedupEntry struct {
	executedAt float64 // ms
	result     diskproto.Result
}

// NewDedupCache returns a cache that retains keys for the given number of milliseconds.
func NewDedupCache(retention float64) *DedupCache {
	return &DedupCache{retention: retention, entries: map[requestKey]dedupEntry{}, effectCounts: map[requestKey]int{}}
}

// runOnce executes a keyed request unless its key is still retained; dropped reports that it was.
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
		return result, data, false // not executed: it may be repeated under a newer generation
	}
	c.entries[key] = dedupEntry{now, result}
	c.order = append(c.order, key)
	if c.effectCounts[key]++; c.effectCounts[key] > 1 {
		c.repeated++
	}
	return result, data, false
}

// remember enters a keyed request that was executed at the shard's home in the other region.
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

// RepeatedEffects returns how many times a keyed request was executed again.
func (c *DedupCache) RepeatedEffects() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.repeated
}
