// Package diskproto is the protocol between hosts and disk servers: frames with a
// checksum that carry one message each. docs/protocol.md has its field tables.
//
// The package is a codec: bytes in, messages out. It bounds every length before
// it allocates, opens no connection and knows nothing of when a message is due.
package diskproto

import (
	"bufio"
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"io"
	"math"
)

// Version is the newest version of the protocol; Oldest the oldest understood.
const (
	Version = 4
	Oldest  = 4 // version 1 had no fences, 2 no generations, 3 no version of the settings
)

const (
	headLen = 16
	magic   = 0x4d48 // "MH"
	// MaxBody bounds a frame's body in bytes: the largest write and its fields.
	MaxBody = 2<<20 + 4096
	maxName = 255
	maxRuns = 64
	maxFigs = 16
)

// Kind names a message. Cancel, Probe and Bye have no body: Cancel's tag names the Do that
// is no longer waited for, Bye says that the server takes nothing more on this connection.
type Kind byte

// The kinds. Hello, Do, Cancel and Probe go to servers, the others come back; Join and Copy
// go from a shard's home to its copy, Joined and Copied come back.
const (
	KindHello Kind = iota + 1
	KindWelcome
	KindDo
	KindAnswer
	KindCancel
	KindProbe
	KindProbed
	KindBye
	KindJoin
	KindJoined
	KindCopy
	KindCopied
)

// Frame is a message as it travels. Tag pairs an answer with what it answers.
type Frame struct {
	Kind Kind
	Tag  uint32
	Body []byte
}

// FrameError says why a stream can't be read on.
type FrameError struct{ Reason string }

func (e *FrameError) Error() string { return "diskproto: " + e.Reason }

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// Append adds the frame of a message to b.
func Append(b []byte, kind Kind, tag uint32, m interface{ Append([]byte) []byte }) []byte {
	start := len(b)
	var head [headLen]byte
	b = append(b, head[:]...)
	if m != nil {
		b = m.Append(b)
	}
	h := b[start:]
	binary.BigEndian.PutUint16(h, magic)
	h[2], h[3] = Version, byte(kind)
	binary.BigEndian.PutUint32(h[4:], uint32(len(h)-headLen))
	binary.BigEndian.PutUint32(h[8:], tag)
	binary.BigEndian.PutUint32(h[12:], checksum(h[:12], h[headLen:]))
	return b
}

func checksum(head, body []byte) uint32 {
	return crc32.Update(crc32.Checksum(head, castagnoli), castagnoli, body)
}

// Reader reads frames from a stream. A frame's body is valid until the next call.
type Reader struct {
	r    *bufio.Reader
	head [headLen]byte
	buf  []byte
}

// NewReader reads from r.
func NewReader(r *bufio.Reader) *Reader { return &Reader{r: r} }

// Next reads one frame; io.EOF is a clean end between frames.
func (r *Reader) Next() (Frame, error) {
	h := r.head[:]
	if _, err := io.ReadFull(r.r, h); err != nil {
		return Frame{}, err
	}
	if binary.BigEndian.Uint16(h) != magic {
		return Frame{}, &FrameError{"not a frame of this protocol"}
	}
	n := binary.BigEndian.Uint32(h[4:])
	if n > MaxBody {
		return Frame{}, &FrameError{fmt.Sprintf("body of %d bytes, at most %d", n, MaxBody)}
	}
	if cap(r.buf) < int(n) {
		r.buf = make([]byte, n)
	}
	body := r.buf[:n]
	if _, err := io.ReadFull(r.r, body); err != nil {
		if errors.Is(err, io.EOF) {
			err = io.ErrUnexpectedEOF
		}
		return Frame{}, err
	}
	if checksum(h[:12], body) != binary.BigEndian.Uint32(h[12:]) {
		return Frame{}, &FrameError{"checksum does not match"}
	}
	return Frame{Kind(h[3]), binary.BigEndian.Uint32(h[8:]), body}, nil
}

// decoder reads fields and keeps the first failure.
type decoder struct {
	b   []byte
	bad string
}

func (d *decoder) take(n int, field string) []byte {
	if d.bad != "" || len(d.b) < n {
		if d.bad == "" {
			d.bad = field
		}
		return make([]byte, min(n, 8))
	}
	v := d.b[:n]
	d.b = d.b[n:]
	return v
}

func (d *decoder) u8(f string) byte    { return d.take(1, f)[0] }
func (d *decoder) u16(f string) uint16 { return binary.BigEndian.Uint16(d.take(2, f)) }
func (d *decoder) u32(f string) uint32 { return binary.BigEndian.Uint32(d.take(4, f)) }
func (d *decoder) u64(f string) uint64 { return binary.BigEndian.Uint64(d.take(8, f)) }
func (d *decoder) f32(f string) float64 {
	return float64(math.Float32frombits(d.u32(f)))
}

func (d *decoder) text(f string) string {
	n := int(d.u8(f))
	if d.bad != "" || len(d.b) < n {
		d.take(n, f)
		return ""
	}
	return string(d.take(n, f))
}

// end reports a failure, or bytes that no field claims.
func (d *decoder) end(message string) error {
	if d.bad != "" {
		return &FrameError{message + ": cut short at " + d.bad}
	}
	if len(d.b) > 0 {
		return &FrameError{fmt.Sprintf("%s: %d bytes too many", message, len(d.b))}
	}
	return nil
}

func text(b []byte, s string) []byte {
	s = s[:min(len(s), maxName)]
	return append(append(b, byte(len(s))), s...)
}

var be = binary.BigEndian

func flag(b []byte, set bool) []byte {
	if set {
		return append(b, 1)
	}
	return append(b, 0)
}

// Hello opens a connection.
type Hello struct {
	Oldest, Newest uint16
	Host           uint64 // a number of this start of the host
	Name           string
}

// Append adds the message's bytes.
func (m *Hello) Append(b []byte) []byte {
	b = be.AppendUint16(be.AppendUint16(b, m.Oldest), m.Newest)
	return text(be.AppendUint64(b, m.Host), m.Name)
}

// Parse reads the message.
func (m *Hello) Parse(b []byte) error {
	d := decoder{b: b}
	*m = Hello{d.u16("oldest"), d.u16("newest"), d.u64("host"), d.text("name")}
	return d.end("hello")
}

// Welcome answers Hello. Version 0 means that none is common.
type Welcome struct {
	Version uint16
	Shard   uint32
	Started uint64 // a number of this start of the server
	Clock   uint64 // the server's clock, us; deadlines are given in it
	Name    string
	Zone    string
	Rack    string
}

// Append adds the message's bytes.
func (m *Welcome) Append(b []byte) []byte {
	b = be.AppendUint32(be.AppendUint16(b, m.Version), m.Shard)
	b = be.AppendUint64(be.AppendUint64(b, m.Started), m.Clock)
	return text(text(text(b, m.Name), m.Zone), m.Rack)
}

// Parse reads the message.
func (m *Welcome) Parse(b []byte) error {
	d := decoder{b: b}
	*m = Welcome{d.u16("version"), d.u32("shard"), d.u64("started"), d.u64("clock"),
		d.text("name"), d.text("zone"), d.text("rack")}
	return d.end("welcome")
}

// Effects of a Do, as the request's class has them.
const (
	Unsafe byte = iota
	Keyed
	Safe
)

// Run is a run of a volume's blocks.
type Run struct {
	LBA    uint64
	Blocks uint32
}

// Operations beside those of package scsi. A record is a volume's reservations: bytes
// that mean nothing to a server, with a version, kept with the volume's first extent.
const (
	// OpRecord reads the record: its version, and its bytes.
	OpRecord byte = 0x40
	// OpSwapRecord puts another in its place if its version is the one expected, else
	// answers Miscompare; both times with what is there then.
	OpSwapRecord byte = 0x41
	// OpFence has the server refuse whatever knows a version below Fence, from now on,
	// through its own restarts too.
	OpFence byte = 0x42
)

// Record is a record with its version, as OpRecord and OpSwapRecord bring it.
type Record struct {
	Version uint64
	Bytes   []byte
}

// Append writes it.
func (r *Record) Append(b []byte) []byte { return append(be.AppendUint64(b, r.Version), r.Bytes...) }

// Parse reads it; its bytes are those of b.
func (r *Record) Parse(b []byte) error {
	if len(b) < 8 {
		return &FrameError{"record: cut short"}
	}
	r.Version, r.Bytes = be.Uint64(b), b[8:]
	return nil
}

// Swap is the data of OpSwapRecord.
type Swap struct {
	Expected uint64
	// Persist has the record outlive a loss of power; without it, one leaves an empty
	// record of the next version.
	Persist bool
	New     Record
}

// Append writes it.
func (m *Swap) Append(b []byte) []byte {
	b = be.AppendUint64(b, m.Expected)
	return m.New.Append(flag(b, m.Persist))
}

// Parse reads it; its bytes are those of b.
func (m *Swap) Parse(b []byte) error {
	if len(b) < 9 || b[8] > 1 {
		return &FrameError{"swap: cut short, or neither kept nor not"}
	}
	m.Expected, m.Persist = be.Uint64(b), b[8] == 1
	return m.New.Parse(b[9:])
}

// Do asks for one attempt of a request. Host and Seq together are the key under
// which a keyed request's repeats are dropped: every attempt carries the same.
type Do struct {
	Op       byte // as package scsi numbers operations
	Effect   byte
	Attempt  uint16
	Shard    uint32
	Host     uint64
	Seq      uint64
	Origin   uint64 // session and command number of the client's command
	Deadline uint64 // server's clock, us: not begun by then, it must not run
	// Fence is the version of the volume's reservations that the host knows; a server
	// that was told of a later one answers Fenced and does nothing.
	Fence uint64
	// Gen is the generation of the shard's home that the host knows; 0 where the service
	// has one region. A server that knows a later one answers Stale and does nothing.
	Gen uint64
	// Under is the version of the host's settings that the request was taken under; for
	// the trail.
	Under  uint64
	Copied bool // to be answered only once the copy in the other region has it
	Units  float64
	Plan   string
	Volume string
	Key    string // the piece of data, for order
	LBA    uint64
	Blocks uint32
	Runs   []Run  // of an unmap
	Data   []byte // valid as long as the frame's body
}

// Append adds the message's bytes.
func (m *Do) Append(b []byte) []byte {
	b = append(b, m.Op, m.Effect)
	b = be.AppendUint32(be.AppendUint16(b, m.Attempt), m.Shard)
	b = be.AppendUint64(be.AppendUint64(b, m.Host), m.Seq)
	b = be.AppendUint64(be.AppendUint64(be.AppendUint64(b, m.Origin), m.Deadline), m.Fence)
	b = flag(be.AppendUint64(be.AppendUint64(b, m.Gen), m.Under), m.Copied)
	b = be.AppendUint32(b, math.Float32bits(float32(m.Units)))
	b = text(text(text(b, m.Plan), m.Volume), m.Key)
	b = be.AppendUint32(be.AppendUint64(b, m.LBA), m.Blocks)
	b = append(b, byte(len(m.Runs)))
	for _, r := range m.Runs {
		b = be.AppendUint32(be.AppendUint64(b, r.LBA), r.Blocks)
	}
	b = be.AppendUint32(b, uint32(len(m.Data)))
	return append(b, m.Data...)
}

// Parse reads the message.
func (m *Do) Parse(b []byte) error {
	d := decoder{b: b}
	m.Op, m.Effect, m.Attempt, m.Shard = d.u8("op"), d.u8("effect"), d.u16("attempt"), d.u32("shard")
	m.Host, m.Seq, m.Origin, m.Deadline = d.u64("host"), d.u64("seq"), d.u64("origin"), d.u64("deadline")
	m.Fence, m.Gen, m.Under, m.Copied = d.u64("fence"), d.u64("gen"), d.u64("under"), d.u8("copied") == 1
	m.Units = d.f32("units")
	m.Plan, m.Volume, m.Key = d.text("plan"), d.text("volume"), d.text("key")
	m.LBA, m.Blocks = d.u64("lba"), d.u32("blocks")
	n := int(d.u8("runs"))
	m.Runs = nil
	if n > maxRuns {
		return &FrameError{"do: too many runs"}
	}
	for range n {
		m.Runs = append(m.Runs, Run{d.u64("run"), d.u32("run")})
	}
	size := int(d.u32("data"))
	if d.bad == "" && size != len(d.b) {
		return &FrameError{fmt.Sprintf("do: data of %d bytes, %d said", len(d.b), size)}
	}
	m.Data, d.b = d.b, nil
	if d.bad == "" && !(m.Units >= 0 && m.Units <= 1e6) {
		return &FrameError{"do: units out of range"}
	}
	return d.end("do")
}

// Result is how a server ended an attempt.
type Result byte

// The results. Full, Draining, WrongShard, Expired, Fenced and Stale prove that nothing ran.
const (
	OK Result = iota + 1
	Miscompare
	Failed
	Full
	Draining
	WrongShard
	Expired
	Fenced // the host knows an older version of the reservations than the server
	Stale  // the host knows an older generation of the shard's home than the server
)

var resultNames = [...]string{"", "ok", "miscompare", "failed", "full", "draining", "wrong-shard", "expired", "fenced", "stale"}

func (r Result) String() string {
	if int(r) < len(resultNames) {
		return resultNames[r]
	}
	return "?"
}

// ProvesNothingRan tells whether the attempt certainly had no effect.
func (r Result) ProvesNothingRan() bool { return r >= Full && r <= Stale }

// Figure is one value of a load report.
type Figure struct {
	Name  string
	Value float64
}

// Answer ends an attempt.
type Answer struct {
	Result  Result
	Clock   uint64  // the server's, us
	Dropped bool    // a repeat: its first attempt had run, this one did not
	Use     uint32  // 1 + percent of the plan's rate that the volume used; 0: none
	Others  float64 // units served for the volume through other hosts since the last answer
	Report  []Figure
	Data    []byte // valid as long as the frame's body
}

// Append adds the message's bytes.
func (m *Answer) Append(b []byte) []byte {
	b = flag(be.AppendUint64(append(b, byte(m.Result)), m.Clock), m.Dropped)
	b = be.AppendUint32(be.AppendUint32(b, m.Use), math.Float32bits(float32(m.Others)))
	b = figures(b, m.Report)
	b = be.AppendUint32(b, uint32(len(m.Data)))
	return append(b, m.Data...)
}

// Parse reads the message.
func (m *Answer) Parse(b []byte) error {
	d := decoder{b: b}
	m.Result, m.Clock, m.Dropped = Result(d.u8("result")), d.u64("clock"), d.u8("dropped") == 1
	m.Use, m.Others = d.u32("use"), d.f32("others")
	m.Report = d.figures()
	size := int(d.u32("data"))
	if d.bad == "" && size != len(d.b) {
		return &FrameError{fmt.Sprintf("answer: data of %d bytes, %d said", len(d.b), size)}
	}
	m.Data, d.b = d.b, nil
	if d.bad == "" && (m.Result < OK || m.Result > Stale) {
		return &FrameError{"answer: unknown result"}
	}
	return d.end("answer")
}

func figures(b []byte, fs []Figure) []byte {
	fs = fs[:min(len(fs), maxFigs)]
	b = append(b, byte(len(fs)))
	for _, f := range fs {
		b = be.AppendUint32(text(b, f.Name), math.Float32bits(float32(f.Value)))
	}
	return b
}

func (d *decoder) figures() (fs []Figure) {
	n := int(d.u8("report"))
	for range min(n, maxFigs) {
		fs = append(fs, Figure{d.text("report"), d.f32("report")})
	}
	if n > maxFigs && d.bad == "" {
		d.bad = "report"
	}
	return fs
}

// Probed answers Probe, whose body is empty, with a load report.
type Probed struct {
	Clock  uint64 // the server's, us
	Report []Figure
}

// Append adds the message's bytes.
func (m *Probed) Append(b []byte) []byte { return figures(be.AppendUint64(b, m.Clock), m.Report) }

// Parse reads the message.
func (m *Probed) Parse(b []byte) error {
	d := decoder{b: b}
	m.Clock, m.Report = d.u64("clock"), d.figures()
	return d.end("probed")
}

// Position is a place in a shard's history of changes: the generation under which the
// change was made, and its number. Equal positions have equal histories before them.
type Position struct{ Gen, Seq uint64 }

func (p Position) append(b []byte) []byte { return be.AppendUint64(be.AppendUint64(b, p.Gen), p.Seq) }

func (d *decoder) position(f string) Position { return Position{d.u64(f), d.u64(f)} }

// Join opens a shard's copying: its home under that generation asks for what the other
// region's cell has.
type Join struct {
	Shard uint32
	Gen   uint64
}

// Append adds the message's bytes.
func (m *Join) Append(b []byte) []byte { return be.AppendUint64(be.AppendUint32(b, m.Shard), m.Gen) }

// Parse reads the message.
func (m *Join) Parse(b []byte) error {
	d := decoder{b: b}
	*m = Join{d.u32("shard"), d.u64("gen")}
	return d.end("join")
}

// Joined answers Join: Stale where a later generation is known, WrongShard, or OK with
// the last position of what the cell has.
type Joined struct {
	Result Result
	At     Position
}

// Append adds the message's bytes.
func (m *Joined) Append(b []byte) []byte { return m.At.append(append(b, byte(m.Result))) }

// Parse reads the message.
func (m *Joined) Parse(b []byte) error {
	d := decoder{b: b}
	*m = Joined{Result(d.u8("result")), d.position("at")}
	if d.bad == "" && (m.Result < OK || m.Result > Stale) {
		return &FrameError{"joined: unknown result"}
	}
	return d.end("joined")
}

// Copy is one change of a shard on its way to the copy, or a piece of its whole state.
type Copy struct {
	At Position
	// Of a whole state: First empties the cell, Part leaves it unfinished, a change
	// without Part ends it. At is then that of the state.
	First, Part bool
	Age         uint32 // ms since it ran at the home, for who drops repeats
	Do          Do
}

// Append adds the message's bytes.
func (m *Copy) Append(b []byte) []byte {
	b = flag(flag(m.At.append(b), m.First), m.Part)
	return m.Do.Append(be.AppendUint32(b, m.Age))
}

// Parse reads the message.
func (m *Copy) Parse(b []byte) error {
	d := decoder{b: b}
	m.At, m.First, m.Part, m.Age = d.position("at"), d.u8("first") == 1, d.u8("part") == 1, d.u32("age")
	if d.bad != "" {
		return d.end("copy")
	}
	return m.Do.Parse(d.b)
}

// Copied says that the copy has everything up to a position. Stale: it knows a later
// generation and takes no more.
type Copied = Joined
