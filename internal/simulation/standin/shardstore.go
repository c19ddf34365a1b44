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
func NewShardStore(size func(volume string) int) *ShardStore {
	return &ShardStore{blocks: map[blockAddress][]byte{}, reservations: map[string]*reservationState{}, BlockSize: size}
}

// apply carries out an operation and returns its result and data, and which change the
// cell's copy must have before it is answered.
func (c *ShardStore) apply(now float64, d *diskproto.Do) (r diskproto.Result, data []byte, needs uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.admitGeneration(d.Gen) {
		return diskproto.Stale, nil, 0
	}
	r, data, changed := c.execute(d)
	if changed {
		c.logChange(now, d)
	}
	return r, data, c.requiredSeq(d, changed)
}

// execute carries out an operation; changed tells whether anything is not as it was. Held: mu.
func (c *ShardStore) execute(d *diskproto.Do) (r diskproto.Result, data []byte, changed bool) {
	if r, data, changed, done := c.executeReservation(d); done {
		return r, data, changed
	}
	if c.OnExecute != nil {
		c.OnExecute(d)
	}
	size := c.BlockSize(d.Volume)
	switch scsi.Op(d.Op) {
	case scsi.Read:
		return diskproto.OK, c.read(d.Volume, d.LBA, d.Blocks, size), false
	case scsi.Write, scsi.WriteSame, scsi.Unmap:
		c.blindWrite(d, size)
		return diskproto.OK, nil, true
	case scsi.CompareAndWrite:
		half := len(d.Data) / 2
		if string(c.read(d.Volume, d.LBA, d.Blocks, size)) != string(d.Data[:half]) {
			return diskproto.Miscompare, nil, false
		}
		c.write(d.Volume, d.LBA, d.Data[half:], size)
		return diskproto.OK, nil, true
	case scsi.Verify:
		if len(d.Data) > 0 && string(c.read(d.Volume, d.LBA, d.Blocks, size)) != string(d.Data) {
			return diskproto.Miscompare, nil, false
		}
	}
	return diskproto.OK, nil, false
}

// blindWrite makes a change that depends on nothing that was there. Held: mu.
func (c *ShardStore) blindWrite(d *diskproto.Do, size int) {
	switch scsi.Op(d.Op) {
	case scsi.Write:
		c.write(d.Volume, d.LBA, d.Data, size)
	case scsi.WriteSame:
		for i := range uint64(d.Blocks) {
			c.write(d.Volume, d.LBA+i, d.Data, size)
		}
	case scsi.Unmap:
		for _, r := range d.Runs {
			for i := range uint64(r.Blocks) {
				delete(c.blocks, blockAddress{d.Volume, r.LBA + i})
			}
		}
	}
}

// reservationFor is a volume's, made if need be. Held: mu.
func (c *ShardStore) reservationFor(volume string) *reservationState {
	m := c.reservations[volume]
	if m == nil {
		m = &reservationState{}
		c.reservations[volume] = m
	}
	return m
}

// executeReservation carries out what concerns them, and holds the rest to the fence; done is
// false for an operation that may go on.
func (c *ShardStore) executeReservation(d *diskproto.Do) (r diskproto.Result, data []byte, changed, done bool) {
	switch d.Op {
	case diskproto.OpRecord:
		return diskproto.OK, c.reservationFor(d.Volume).record.Append(nil), false, true
	case diskproto.OpFence:
		m := c.reservationFor(d.Volume)
		changed = d.Fence > m.fence
		m.fence = max(m.fence, d.Fence)
		return diskproto.OK, nil, changed, true
	case diskproto.OpSwapRecord:
		m := c.reservationFor(d.Volume)
		var s diskproto.Swap
		switch {
		case s.Parse(d.Data) != nil:
			return diskproto.Failed, nil, false, true
		case s.Expected != m.record.Version:
			return diskproto.Miscompare, m.record.Append(nil), false, true
		}
		m.record = diskproto.Record{Version: s.New.Version, Bytes: append([]byte(nil), s.New.Bytes...)}
		m.persist = s.Persist
		return diskproto.OK, m.record.Append(nil), true, true
	}
	if m := c.reservations[d.Volume]; m != nil && d.Fence < m.fence && !c.IgnoreFences {
		return diskproto.Fenced, nil, false, true
	}
	return 0, nil, false, false
}

// PowerLoss empties the records that were not to outlive one.
func (c *ShardStore) PowerLoss() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, m := range c.reservations {
		if !m.persist && len(m.record.Bytes) > 0 {
			m.record = diskproto.Record{Version: m.record.Version + 1}
		}
	}
}

func (c *ShardStore) read(volume string, lba uint64, blocks uint32, size int) []byte {
	out := make([]byte, int(blocks)*size)
	for i := range uint64(blocks) {
		copy(out[int(i)*size:], c.blocks[blockAddress{volume, lba + i}])
	}
	return out
}

func (c *ShardStore) write(volume string, lba uint64, data []byte, size int) {
	for i := 0; i+size <= len(data); i += size {
		c.blocks[blockAddress{volume, lba + uint64(i/size)}] = append([]byte(nil), data[i:i+size]...)
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
func NewDedupCache(keep float64) *DedupCache {
	return &DedupCache{retention: keep, entries: map[requestKey]dedupEntry{}, effectCounts: map[requestKey]int{}}
}

// runOnce applies a keyed request unless it is a repeat still remembered.
func (k *DedupCache) runOnce(now float64, d *diskproto.Do, apply func() (diskproto.Result, []byte)) (r diskproto.Result, data []byte, dropped bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for len(k.order) > 0 && now-k.entries[k.order[0]].executedAt >= k.retention {
		delete(k.entries, k.order[0])
		k.order = k.order[1:]
	}
	key := requestKey{d.Host, d.Seq}
	if was, ok := k.entries[key]; ok {
		return was.result, nil, true
	}
	if r, data = apply(); r == diskproto.Stale {
		return r, data, false // it may come again under a newer generation
	}
	k.entries[key] = dedupEntry{now, r}
	k.order = append(k.order, key)
	if k.effectCounts[key]++; k.effectCounts[key] > 1 {
		k.repeated++
	}
	return r, data, false
}

// remember enters a keyed request that ran so long ago, elsewhere.
func (k *DedupCache) remember(at float64, d *diskproto.Do) {
	k.mu.Lock()
	defer k.mu.Unlock()
	key := requestKey{d.Host, d.Seq}
	if _, ok := k.entries[key]; ok || d.Effect != diskproto.Keyed || d.Seq == 0 {
		return
	}
	k.entries[key] = dedupEntry{at, diskproto.OK}
	k.order = append(k.order, key)
}

// RepeatedEffects is the number of effects that took place more than once.
func (k *DedupCache) RepeatedEffects() int {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.repeated
}
