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
func (l *BlockHistory) BeginWrite(volume string, lba uint64, blocks int, now time.Duration) uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.nextID++
	w := &writeRecord{id: l.nextID, volume: volume, lba: lba, blocks: blocks, begin: now, end: math.MaxInt64}
	l.writes[w.id] = w
	for i := range uint64(blocks) {
		at := blockAddr{volume, lba + i}
		l.blocks[at] = append(l.blocks[at], w)
	}
	return w.id
}

// EndWrite tells what became of a write and by when any effect was there.
func (l *BlockHistory) EndWrite(id uint64, f WriteOutcome, by time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	w := l.writes[id]
	w.outcome, w.end = f, by
}

// RecordRead enters the blocks of a read.
func (l *BlockHistory) RecordRead(volume string, lba uint64, data []byte, size int, begin, end time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for i := 0; i+size <= len(data); i += size {
		id, torn := readStamp(data[i : i+size])
		l.reads = append(l.reads, readRecord{blockAddr{volume, lba + uint64(i/size)}, id, begin, end, torn})
	}
}

// WrittenBlocks lists every block that a write was sent for.
func (l *BlockHistory) WrittenBlocks() map[string][]uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := map[string][]uint64{}
	for at := range l.blocks {
		out[at.volume] = append(out[at.volume], at.lba)
	}
	return out
}

// Stamp fills blocks with a write's number.
func Stamp(id uint64, n int) []byte {
	b := make([]byte, n)
	for i := 0; i < n; i += 8 {
		binary.BigEndian.PutUint64(b[i:], id)
	}
	return b
}

// readStamp reads the number back; torn if the block holds more than one.
func readStamp(b []byte) (id uint64, torn bool) {
	id = binary.BigEndian.Uint64(b)
	for i := 8; i < len(b); i += 8 {
		if binary.BigEndian.Uint64(b[i:]) != id {
			return id, true
		}
	}
	return id, false
}

// CheckReads returns what is wrong with what was read.
func (l *BlockHistory) CheckReads() (wrong []string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for i := range l.reads {
		l.CheckedReads++
		if w := l.checkRead(&l.reads[i]); w != "" {
			wrong = append(wrong, w)
		}
	}
	return wrong
}

func (l *BlockHistory) checkRead(r *readRecord) string {
	say := func(format string, args ...any) string {
		return fmt.Sprintf("block %d of %s, read at %.3f s: ", r.addr.lba, r.addr.volume, r.begin.Seconds()) + fmt.Sprintf(format, args...)
	}
	if r.torn {
		return say("holds parts of several writes")
	}
	end := time.Duration(-1) // of the write that was read; zeros were there before all
	if r.writeID != 0 {
		w := l.writes[r.writeID]
		switch {
		case w == nil:
			return say("holds write %d, which nobody sent", r.writeID)
		case w.volume != r.addr.volume || r.addr.lba < w.lba || r.addr.lba >= w.lba+uint64(w.blocks):
			return say("holds write %d, which was for another place", r.writeID)
		case w.outcome == WriteNotApplied:
			return say("holds write %d, of which the client was told that nothing happened", r.writeID)
		case w.begin > r.end:
			return say("holds write %d, which was sent later", r.writeID)
		}
		end = w.end
	}
	for _, w := range l.blocks[r.addr] {
		if w.outcome == WriteAcked && w.begin > end && w.end < r.begin {
			if l.AsyncVolumes[r.addr.volume] {
				l.LostWrites[w.id] = true
				continue
			}
			return say("holds write %d, over by %.3f s, although write %d was begun at %.3f s and acknowledged at %.3f s",
				r.writeID, end.Seconds(), w.id, w.begin.Seconds(), w.end.Seconds())
		}
	}
	return ""
}
