// Package audit keeps who changed what, when and why: an append-only chain of records,
// each with the hash of the one before, durable on an embedded store. It compares, merges
// and undoes changes of JSON trees by path. It never decides whether a change is allowed,
// and knows nothing of what the trees mean.
package audit

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
)

// Hash is a SHA-256 (FIPS 180-4).
type Hash [sha256.Size]byte

func (h Hash) String() string { return fmt.Sprintf("%x", h[:6]) }

// MarshalText writes a hash in hex.
func (h Hash) MarshalText() ([]byte, error) { return fmt.Appendf(nil, "%x", h[:]), nil }

// UnmarshalText reads what MarshalText writes.
func (h *Hash) UnmarshalText(b []byte) error {
	if len(b) != hex.EncodedLen(len(h)) {
		return fmt.Errorf("audit: a hash of %d digits", len(b))
	}
	_, err := hex.Decode(h[:], b)
	return err
}

// Record is one accepted change.
type Record struct {
	Seq     uint64   `json:"seq"`     // from 1, without gaps
	At      int64    `json:"at_ms"`   // wall clock as it was read, ms since 1970; it may step back
	From    uint64   `json:"from"`    // version that the change was made from
	Version uint64   `json:"version"` // that it made
	Who     string   `json:"who"`
	Why     string   `json:"why"`
	Changes []Change `json:"changes"`
	State   Hash     `json:"state"` // of what was in force afterwards
	Prev    Hash     `json:"prev"`  // hash of the record before, zero at the first
	Hash    Hash     `json:"hash"`  // of all above
}

// Bounds of a record.
const (
	MaxRecord  = 64 << 20
	MaxText    = 1 << 12 // bytes of Who and of Why
	MaxPath    = 1 << 12
	maxChanges = 1 << 20
)

const recordHead = "mhA1"

// ErrRecord says that bytes are no whole record.
var ErrRecord = errors.New("audit: not a whole record")

// body is all of the record that its hash covers.
func (r *Record) body() []byte {
	b := append([]byte(nil), recordHead...)
	for _, v := range []uint64{r.Seq, uint64(r.At), r.From, r.Version} {
		b = binary.BigEndian.AppendUint64(b, v)
	}
	b = appendBytes(appendBytes(b, []byte(r.Who)), []byte(r.Why))
	b = binary.BigEndian.AppendUint32(b, uint32(len(r.Changes)))
	for _, c := range r.Changes {
		b = appendBytes(b, []byte(c.Path))
		b = appendValue(appendValue(b, c.Old), c.New)
	}
	b = append(b, r.State[:]...)
	return append(b, r.Prev[:]...)
}

func appendBytes(b, v []byte) []byte {
	return append(binary.BigEndian.AppendUint32(b, uint32(len(v))), v...)
}

// appendValue writes a value that may be absent, which is not the same as empty.
func appendValue(b []byte, v json.RawMessage) []byte {
	if v == nil {
		return append(b, 0)
	}
	return appendBytes(append(b, 1), v)
}

// Seal sets the record's hash.
func (r *Record) Seal() { r.Hash = sha256.Sum256(r.body()) }

// Append writes the record behind b.
func (r *Record) Append(b []byte) []byte { return append(append(b, r.body()...), r.Hash[:]...) }

// cursor reads fields; after a short one all are zero.
type cursor struct {
	b   []byte
	bad bool
}

func (c *cursor) take(n int) []byte {
	if c.bad || n > len(c.b) {
		c.bad = true
		return nil
	}
	v := c.b[:n]
	c.b = c.b[n:]
	return v
}

func (c *cursor) uint64() uint64 {
	if v := c.take(8); v != nil {
		return binary.BigEndian.Uint64(v)
	}
	return 0
}

// length reads a count and holds it to a bound before anything is made of it.
func (c *cursor) length(most int) int {
	v := c.take(4)
	if v == nil {
		return 0
	}
	n := binary.BigEndian.Uint32(v)
	if uint64(n) > uint64(most) {
		c.bad = true
		return 0
	}
	return int(n)
}

func (c *cursor) text(most int) string { return string(c.take(c.length(most))) }

func (c *cursor) value() json.RawMessage {
	there := c.take(1)
	if there == nil || there[0] == 0 {
		return nil
	}
	if there[0] != 1 {
		c.bad = true
		return nil
	}
	v := c.take(c.length(MaxRecord))
	if c.bad || !json.Valid(v) {
		c.bad = true
		return nil
	}
	return append(json.RawMessage{}, v...)
}

func (c *cursor) hash() (h Hash) {
	copy(h[:], c.take(len(h)))
	return h
}

// DecodeRecord reads one record that fills b. A record whose hash does not match its
// bytes is a *BrokenError; anything else that is no record is ErrRecord.
func DecodeRecord(b []byte) (*Record, error) {
	c := cursor{b: b}
	if len(b) > MaxRecord || string(c.take(len(recordHead))) != recordHead {
		return nil, ErrRecord
	}
	r := &Record{Seq: c.uint64(), At: int64(c.uint64()), From: c.uint64(), Version: c.uint64(), Who: c.text(MaxText), Why: c.text(MaxText)}
	n := c.length(maxChanges)
	for range n {
		ch := Change{Path: c.text(MaxPath), Old: c.value(), New: c.value()}
		if c.bad {
			break
		}
		r.Changes = append(r.Changes, ch)
	}
	r.State, r.Prev, r.Hash = c.hash(), c.hash(), c.hash()
	if c.bad || len(c.b) > 0 {
		return nil, ErrRecord
	}
	if want := sha256.Sum256(r.body()); want != r.Hash {
		return nil, &BrokenError{r.Seq, "its hash does not match what it says"}
	}
	return r, nil
}

// BrokenError names the first record at which a chain is not what was written.
type BrokenError struct {
	Seq    uint64
	Reason string
}

func (e *BrokenError) Error() string { return fmt.Sprintf("audit: record %d: %s", e.Seq, e.Reason) }

// Chain is the end of a chain of records: all that the next must fit to.
type Chain struct {
	Seq     uint64
	Version uint64
	Hash    Hash
	At      int64
	// Back counts records whose clock reads earlier than that of the one before.
	Back int
}

// Next takes a record that must follow.
func (c *Chain) Next(r *Record) error {
	switch {
	case r.Seq != c.Seq+1:
		return &BrokenError{c.Seq + 1, fmt.Sprintf("missing; record %d stands in its place", r.Seq)}
	case r.Prev != c.Hash:
		return &BrokenError{r.Seq, fmt.Sprintf("it follows %v, the record before it is %v", r.Prev, c.Hash)}
	case c.Seq > 0 && r.From != c.Version:
		return &BrokenError{r.Seq, fmt.Sprintf("it was made from version %d, version %d was in force", r.From, c.Version)}
	case r.Version <= r.From:
		return &BrokenError{r.Seq, fmt.Sprintf("it leads from version %d to version %d", r.From, r.Version)}
	}
	if c.Seq > 0 && r.At < c.At {
		c.Back++
	}
	c.Seq, c.Version, c.Hash, c.At = r.Seq, r.Version, r.Hash, r.At
	return nil
}

// StateHash is the hash of a tree.
func StateHash(tree any) Hash { return sha256.Sum256(raw(tree, true)) }
