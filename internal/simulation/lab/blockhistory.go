package lab

import (
	"encoding/binary"
	"fmt"
	"math"
	"sync"
	"time"
)

// BlockHistory keeps what clients wrote and read, and tells afterwards whether every
// block that was read is one that it could have been: put there by a write that
// was acknowledged or never answered, and not older than the last acknowledged.
type BlockHistory struct {
	mu     sync.Mutex
	nextID uint64
	writes map[uint64]*writeRecord
	blocks map[blockAddr][]*writeRecord
	reads  []readRecord
	// AsyncVolumes are volumes whose writes are acknowledged before they are copied: some may be
	// lost with a region. Lost are those that were.
	AsyncVolumes map[string]bool
	LostWrites   map[uint64]bool
	// CheckedReads counts the blocks that were judged.
	CheckedReads int
}

type blockAddr struct {
	volume string
	lba    uint64
}

// WriteOutcome is what became of a write.
type WriteOutcome int

// The fates.
const (
	WritePending       WriteOutcome = iota // no answer yet, or none at all
	WriteAcked                             // GOOD
	WriteIndeterminate                     // failed, or given up: it may have run by end
	WriteNotApplied                        // refused, or compared unequal: it did not run
)

type writeRecord struct {
	id         uint64
	volume     string
	lba        uint64
	blocks     int
	begin, end time.Duration // it took effect, if at all, between these
	outcome    WriteOutcome
}

type readRecord struct {
	addr       blockAddr
	writeID    uint64
	begin, end time.Duration
	torn       bool
}

// NewBlockHistory returns an empty ledger; blocks start as zeros, write 0.
func NewBlockHistory() *BlockHistory {
	return &BlockHistory{LostWrites: map[uint64]bool{}, writes: map[uint64]*writeRecord{}, blocks: map[blockAddr][]*writeRecord{}}
}

// BeginWrite enters a write that is about to be sent and returns its number.
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

// EndWrite tells what became of a write and by when any effect was there.
func (history *BlockHistory) EndWrite(id uint64, outcome WriteOutcome, effectBy time.Duration) {
	history.mu.Lock()
	defer history.mu.Unlock()
	write := history.writes[id]
	write.outcome, write.end = outcome, effectBy
}

// RecordRead enters the blocks of a read.
func (history *BlockHistory) RecordRead(volume string, lba uint64, data []byte, blockSize int, begin, end time.Duration) {
	history.mu.Lock()
	defer history.mu.Unlock()
	for i := 0; i+blockSize <= len(data); i += blockSize {
		id, torn := readStamp(data[i : i+blockSize])
		history.reads = append(history.reads, readRecord{blockAddr{volume, lba + uint64(i/blockSize)}, id, begin, end, torn})
	}
}

// WrittenBlocks lists every block that a write was sent for.
func (history *BlockHistory) WrittenBlocks() map[string][]uint64 {
	history.mu.Lock()
	defer history.mu.Unlock()
	blocks := map[string][]uint64{}
	for addr := range history.blocks {
		blocks[addr.volume] = append(blocks[addr.volume], addr.lba)
	}
	return blocks
}

// Stamp fills blocks with a write's number.
func Stamp(id uint64, length int) []byte {
	data := make([]byte, length)
	for i := 0; i < length; i += 8 {
		binary.BigEndian.PutUint64(data[i:], id)
	}
	return data
}

// readStamp reads the number back; torn if the block holds more than one.
func readStamp(block []byte) (id uint64, torn bool) {
	id = binary.BigEndian.Uint64(block)
	for i := 8; i < len(block); i += 8 {
		if binary.BigEndian.Uint64(block[i:]) != id {
			return id, true
		}
	}
	return id, false
}

// CheckReads returns what is wrong with what was read.
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
		return anomaly("holds parts of several writes")
	}
	end := time.Duration(-1) // of the write that was read; zeros were there before all
	if read.writeID != 0 {
		write := history.writes[read.writeID]
		switch {
		case write == nil:
			return anomaly("holds write %d, which nobody sent", read.writeID)
		case write.volume != read.addr.volume || read.addr.lba < write.lba || read.addr.lba >= write.lba+uint64(write.blocks):
			return anomaly("holds write %d, which was for another place", read.writeID)
		case write.outcome == WriteNotApplied:
			return anomaly("holds write %d, of which the client was told that nothing happened", read.writeID)
		case write.begin > read.end:
			return anomaly("holds write %d, which was sent later", read.writeID)
		}
		end = write.end
	}
	for _, write := range history.blocks[read.addr] {
		if write.outcome == WriteAcked && write.begin > end && write.end < read.begin {
			if history.AsyncVolumes[read.addr.volume] {
				history.LostWrites[write.id] = true
				continue
			}
			return anomaly("holds write %d, over by %.3f s, although write %d was begun at %.3f s and acknowledged at %.3f s",
				read.writeID, end.Seconds(), write.id, write.begin.Seconds(), write.end.Seconds())
		}
	}
	return ""
}
