package lab

import (
	"encoding/binary"
	"fmt"
	"math"
	"sync"
	"time"
)

// Ledger keeps what clients wrote and read, and tells afterwards whether every
// block that was read is one that it could have been: put there by a write that
// was acknowledged or never answered, and not older than the last acknowledged.
type Ledger struct {
	mu     sync.Mutex
	nextID uint64
	writes map[uint64]*written
	blocks map[blockAt][]*written
	reads  []seen
	// Loose are volumes whose writes are acknowledged before they are copied: some may be
	// lost with a region. Lost are those that were.
	Loose map[string]bool
	Lost  map[uint64]bool
	// Checked counts the blocks that were judged.
	Checked int
}

type blockAt struct {
	volume string
	lba    uint64
}

// Fate is what became of a write.
type Fate int

// The fates.
const (
	FateOpen    Fate = iota // no answer yet, or none at all
	FateAcked               // GOOD
	FateMaybe               // failed, or given up: it may have run by end
	FateNothing             // refused, or compared unequal: it did not run
)

type written struct {
	id         uint64
	volume     string
	lba        uint64
	blocks     int
	begin, end time.Duration // it took effect, if at all, between these
	fate       Fate
}

type seen struct {
	at         blockAt
	id         uint64
	begin, end time.Duration
	torn       bool
}

// NewLedger returns an empty ledger; blocks start as zeros, write 0.
func NewLedger() *Ledger {
	return &Ledger{Lost: map[uint64]bool{}, writes: map[uint64]*written{}, blocks: map[blockAt][]*written{}}
}

// Begin enters a write that is about to be sent and returns its number.
func (l *Ledger) Begin(volume string, lba uint64, blocks int, now time.Duration) uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.nextID++
	w := &written{id: l.nextID, volume: volume, lba: lba, blocks: blocks, begin: now, end: math.MaxInt64}
	l.writes[w.id] = w
	for i := range uint64(blocks) {
		at := blockAt{volume, lba + i}
		l.blocks[at] = append(l.blocks[at], w)
	}
	return w.id
}

// End tells what became of a write and by when any effect was there.
func (l *Ledger) End(id uint64, f Fate, by time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	w := l.writes[id]
	w.fate, w.end = f, by
}

// Read enters the blocks of a read.
func (l *Ledger) Read(volume string, lba uint64, data []byte, size int, begin, end time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for i := 0; i+size <= len(data); i += size {
		id, torn := stamped(data[i : i+size])
		l.reads = append(l.reads, seen{blockAt{volume, lba + uint64(i/size)}, id, begin, end, torn})
	}
}

// Written lists every block that a write was sent for.
func (l *Ledger) Written() map[string][]uint64 {
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

// stamped reads the number back; torn if the block holds more than one.
func stamped(b []byte) (id uint64, torn bool) {
	id = binary.BigEndian.Uint64(b)
	for i := 8; i < len(b); i += 8 {
		if binary.BigEndian.Uint64(b[i:]) != id {
			return id, true
		}
	}
	return id, false
}

// Judge returns what is wrong with what was read.
func (l *Ledger) Judge() (wrong []string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for i := range l.reads {
		l.Checked++
		if w := l.judge(&l.reads[i]); w != "" {
			wrong = append(wrong, w)
		}
	}
	return wrong
}

func (l *Ledger) judge(r *seen) string {
	say := func(format string, args ...any) string {
		return fmt.Sprintf("block %d of %s, read at %.3f s: ", r.at.lba, r.at.volume, r.begin.Seconds()) + fmt.Sprintf(format, args...)
	}
	if r.torn {
		return say("holds parts of several writes")
	}
	end := time.Duration(-1) // of the write that was read; zeros were there before all
	if r.id != 0 {
		w := l.writes[r.id]
		switch {
		case w == nil:
			return say("holds write %d, which nobody sent", r.id)
		case w.volume != r.at.volume || r.at.lba < w.lba || r.at.lba >= w.lba+uint64(w.blocks):
			return say("holds write %d, which was for another place", r.id)
		case w.fate == FateNothing:
			return say("holds write %d, of which the client was told that nothing happened", r.id)
		case w.begin > r.end:
			return say("holds write %d, which was sent later", r.id)
		}
		end = w.end
	}
	for _, w := range l.blocks[r.at] {
		if w.fate == FateAcked && w.begin > end && w.end < r.begin {
			if l.Loose[r.at.volume] {
				l.Lost[w.id] = true
				continue
			}
			return say("holds write %d, over by %.3f s, although write %d was begun at %.3f s and acknowledged at %.3f s",
				r.id, end.Seconds(), w.id, w.begin.Seconds(), w.end.Seconds())
		}
	}
	return ""
}
