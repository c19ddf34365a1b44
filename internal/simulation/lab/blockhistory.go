package lab

import (
	"encoding/binary"
	"fmt"
	"math"
	"sync"
	"time"
)

// BlockHistory records what clients wrote and read and checks afterwards that each block read was
// allowed: written by a write that was acknowledged or whose outcome is unknown, and not older than
// the last acknowledged write before the read.
type BlockHistory struct {
	mu     sync.Mutex
	nextID uint64
	writes map[uint64]*writeRecord
	blocks map[blockAddr][]*writeRecord
	reads  []readRecord
	// AsyncVolumes are volumes whose writes are acknowledged before they are copied and may be lost
	// with a region. LostWrites are the acknowledged writes that CheckReads found lost.
	AsyncVolumes map[string]bool
	LostWrites   map[uint64]bool
	// CheckedReads counts the block reads that were checked.
	CheckedReads int
}

type blockAddr struct {
	volume string
	lba    uint64
}

// WriteOutcome is what a client knows about a write.
type WriteOutcome int

// Outcomes of writes.
const (
	WritePending       WriteOutcome = iota // no outcome recorded
	WriteAcked                             // status GOOD
	WriteIndeterminate                     // failed or abandoned: it may have taken effect
	WriteNotApplied                        // refused, not sent or miscompared: no effect
)

type writeRecord struct {
	id         uint64
	volume     string
	lba        uint64
	blocks     int
	begin, end time.Duration // any effect happened between these times
	outcome    WriteOutcome
}

type readRecord struct {
	addr       blockAddr
	writeID    uint64
	begin, end time.Duration
	torn       bool
}

// NewBlockHistory returns an empty history. All blocks hold zeros at first, which is write 0.
func NewBlockHistory() *BlockHistory {
	return &BlockHistory{LostWrites: map[uint64]bool{}, writes: map[uint64]*writeRecord{}, blocks: map[blockAddr][]*writeRecord{}}
}

// BeginWrite records a write that is about to be sent and returns its ID.
func (history *BlockHistory) BeginWrite(volume string, lba uint64, blocks int, now time.Duration) uint64 {
	history.mu.Lock()
	defer history.mu.Unlock()
	history.nextID++
	write := &writeRecord{id: history.nextID, volume: volume, lba: lba, blocks: blocks, begin: now, end: math.MaxInt64}
	history.writes[write.id] = write
	for i := range uint64(blocks) {
		addr := blockAddr{volume, lba + i}
		history.blocks[addr] = append(history.blocks[addr], write)
	}
	return write.id
}

// EndWrite records the outcome of a write and the time by which it has taken effect, if at all.
func (history *BlockHistory) EndWrite(id uint64, outcome WriteOutcome, effectBy time.Duration) {
	history.mu.Lock()
	defer history.mu.Unlock()
	write := history.writes[id]
	write.outcome, write.end = outcome, effectBy
}

// RecordRead records the blocks that a read returned.
func (history *BlockHistory) RecordRead(volume string, lba uint64, data []byte, blockSize int, begin, end time.Duration) {
	history.mu.Lock()
	defer history.mu.Unlock()
	for i := 0; i+blockSize <= len(data); i += blockSize {
		id, torn := readStamp(data[i : i+blockSize])
		history.reads = append(history.reads, readRecord{blockAddr{volume, lba + uint64(i/blockSize)}, id, begin, end, torn})
	}
}

// WrittenBlocks returns the LBAs, by volume, of all blocks that a write was sent for.
func (history *BlockHistory) WrittenBlocks() map[string][]uint64 {
	history.mu.Lock()
	defer history.mu.Unlock()
	blocks := map[string][]uint64{}
	for addr := range history.blocks {
		blocks[addr.volume] = append(blocks[addr.volume], addr.lba)
	}
	return blocks
}

// Stamp returns data of the given length in bytes that consists of a write's ID.
func Stamp(id uint64, length int) []byte {
	data := make([]byte, length)
	for i := 0; i < length; i += 8 {
		binary.BigEndian.PutUint64(data[i:], id)
	}
	return data
}

// readStamp returns the write ID of a block; torn reports whether the block holds several.
func readStamp(block []byte) (id uint64, torn bool) {
	id = binary.BigEndian.Uint64(block)
	for i := 8; i < len(block); i += 8 {
		if binary.BigEndian.Uint64(block[i:]) != id {
			return id, true
		}
	}
	return id, false
}

// CheckReads returns a description of each block read that was not allowed.
func (history *BlockHistory) CheckReads() (anomalies []string) {
	history.mu.Lock()
	defer history.mu.Unlock()
	for i := range history.reads {
		history.CheckedReads++
		if anomaly := history.checkRead(&history.reads[i]); anomaly != "" {
			anomalies = append(anomalies, anomaly)
		}
	}
	return anomalies
}

func (history *BlockHistory) checkRead(read *readRecord) string {
	anomaly := func(format string, args ...any) string {
		return fmt.Sprintf("block %d of %s, read at %.3f s: ", read.addr.lba, read.addr.volume, read.begin.Seconds()) + fmt.Sprintf(format, args...)
	}
	if read.torn {
		return anomaly("block contains several writes")
	}
	end := time.Duration(-1) // of the write that was read; zeros precede all writes
	if read.writeID != 0 {
		write := history.writes[read.writeID]
		switch {
		case write == nil:
			return anomaly("contains write %d, which no client sent", read.writeID)
		case write.volume != read.addr.volume || read.addr.lba < write.lba || read.addr.lba >= write.lba+uint64(write.blocks):
			return anomaly("contains write %d, which was sent to other blocks", read.writeID)
		case write.outcome == WriteNotApplied:
			return anomaly("contains write %d, which was reported as not applied", read.writeID)
		case write.begin > read.end:
			return anomaly("contains write %d, which was sent after the read", read.writeID)
		}
		end = write.end
	}
	for _, write := range history.blocks[read.addr] {
		if write.outcome == WriteAcked && write.begin > end && write.end < read.begin {
			if history.AsyncVolumes[read.addr.volume] {
				history.LostWrites[write.id] = true
				continue
			}
			return anomaly("contains write %d, finished by %.3f s, although write %d was sent at %.3f s and acknowledged at %.3f s",
				read.writeID, end.Seconds(), write.id, write.begin.Seconds(), write.end.Seconds())
		}
	}
	return ""
}
