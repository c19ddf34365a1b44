// Package iscsi speaks the Internet Small Computer System Interface of RFC 7143:
// PDUs, text negotiation, login and the full feature phase of a target and an
// initiator with one connection a session and error recovery level 0.
//
// Codecs and sessions are cores: bytes and PDUs in, PDUs and commands out. The
// package opens no socket, starts no goroutine, reads no clock and knows nothing
// of what a SCSI command means beyond its direction and length.
package iscsi

import (
	"bufio"
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"io"
)

// Opcode names a PDU's kind, RFC 7143 section 11.2.1.2.
type Opcode byte

// The opcodes of initiators, then of targets.
const (
	OpNopOut    Opcode = 0x00
	OpCommand   Opcode = 0x01
	OpTaskReq   Opcode = 0x02
	OpLoginReq  Opcode = 0x03
	OpTextReq   Opcode = 0x04
	OpDataOut   Opcode = 0x05
	OpLogoutReq Opcode = 0x06
	OpSnack     Opcode = 0x10

	OpNopIn      Opcode = 0x20
	OpResponse   Opcode = 0x21
	OpTaskResp   Opcode = 0x22
	OpLoginResp  Opcode = 0x23
	OpTextResp   Opcode = 0x24
	OpDataIn     Opcode = 0x25
	OpLogoutResp Opcode = 0x26
	OpR2T        Opcode = 0x31
	OpAsync      Opcode = 0x32
	OpReject     Opcode = 0x3f
)

const (
	bhsLen = 48
	// NoTag is the reserved task tag, RFC 7143 section 11.2.1.8.
	NoTag = 0xffffffff
	// maxAHS bounds the additional header segments that are read: an extended CDB
	// and a bidirectional read length, the only kinds defined, take less.
	maxAHS = 4 * 255
)

// PDU is one protocol data unit. Its fields are read and written in place in the
// basic header segment; Data is without padding.
type PDU struct {
	BHS  [bhsLen]byte
	AHS  []byte
	Data []byte
}

// New returns a PDU of that kind with the final bit set.
func New(op Opcode) *PDU {
	p := &PDU{}
	p.BHS[0] = byte(op)
	p.BHS[1] = 0x80
	return p
}

// Opcode returns the kind.
func (p *PDU) Opcode() Opcode { return Opcode(p.BHS[0] & 0x3f) }

// Immediate tells whether the PDU is for immediate delivery.
func (p *PDU) Immediate() bool { return p.BHS[0]&0x40 != 0 }

// SetImmediate marks the PDU for immediate delivery.
func (p *PDU) SetImmediate() *PDU { p.BHS[0] |= 0x40; return p }

// Flags is byte 1, whose meaning depends on the kind.
func (p *PDU) Flags() byte { return p.BHS[1] }

// SetFlags sets byte 1.
func (p *PDU) SetFlags(f byte) *PDU { p.BHS[1] = f; return p }

// Final is the F (or T) bit.
func (p *PDU) Final() bool { return p.BHS[1]&0x80 != 0 }

// LUN is the logical unit's field of 8 bytes.
func (p *PDU) LUN() uint64 { return binary.BigEndian.Uint64(p.BHS[8:]) }

// SetLUN sets the logical unit.
func (p *PDU) SetLUN(v uint64) *PDU { binary.BigEndian.PutUint64(p.BHS[8:], v); return p }

// Word reads a 32-bit field at a byte of the header.
func (p *PDU) Word(at int) uint32 { return binary.BigEndian.Uint32(p.BHS[at:]) }

// Set writes a 32-bit field at a byte of the header.
func (p *PDU) Set(at int, v uint32) *PDU { binary.BigEndian.PutUint32(p.BHS[at:], v); return p }

// The places of the fields that most kinds share, for Word and Set.
const (
	AtITT       = 16 // initiator task tag
	AtTTT       = 20 // target transfer tag, or expected length of a command
	AtCmdSN     = 24 // from initiators; StatSN from targets
	AtStatSN    = 24
	AtExpStatSN = 28 // from initiators; ExpCmdSN from targets
	AtExpCmdSN  = 28
	AtMaxCmdSN  = 32
	AtDataSN    = 36 // also R2TSN and ExpDataSN
	AtOffset    = 40 // buffer offset
	AtLength    = 44 // residual count, or desired length
)

// ITT is the initiator task tag.
func (p *PDU) ITT() uint32 { return p.Word(AtITT) }

// CDB is the command descriptor block of a SCSI command PDU.
func (p *PDU) CDB() []byte { return p.BHS[32:48] }

// Clone copies p, so that it outlives the reader's buffer.
func (p *PDU) Clone() *PDU {
	q := *p
	q.AHS, q.Data = append([]byte(nil), p.AHS...), append([]byte(nil), p.Data...)
	return &q
}

// Digests says which parts of PDUs carry a CRC32C.
type Digests struct{ Header, Data bool }

// HeaderDigestError says that a header can't be trusted; the connection is lost,
// RFC 7143 section 7.8.
type HeaderDigestError struct{ Got, Want uint32 }

func (e *HeaderDigestError) Error() string {
	return fmt.Sprintf("iscsi: header digest %08x, computed %08x", e.Got, e.Want)
}

// DataDigestError says that a data segment is damaged; the header stands, and
// the PDU is returned with it so that it can be rejected.
type DataDigestError struct{ Got, Want uint32 }

func (e *DataDigestError) Error() string {
	return fmt.Sprintf("iscsi: data digest %08x, computed %08x", e.Got, e.Want)
}

// TooLongError says that a PDU announces more data than was agreed. Nothing was
// allocated for it.
type TooLongError struct{ Length, Most int }

func (e *TooLongError) Error() string {
	return fmt.Sprintf("iscsi: segment of %d bytes, at most %d agreed", e.Length, e.Most)
}

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// NoRoomError says that there is no memory for a PDU's data segment.
type NoRoomError struct{ Length int }

func (e *NoRoomError) Error() string {
	return fmt.Sprintf("iscsi: no memory for a segment of %d bytes", e.Length)
}

// Reader reads PDUs from a stream. The PDU that Next returns, and its segments,
// are valid until the following call.
type Reader struct {
	r       *bufio.Reader
	Digests Digests
	// MaxData bounds a data segment in bytes (MaxRecvDataSegmentLength).
	MaxData int
	// Allocate, if not nil, returns n bytes for a data segment over smallSegment, once its first
	// smallSegment bytes have come; if it returns nil, Next returns a *NoRoomError. Free gets the
	// bytes back once the PDU is not valid any more.
	Allocate func(n int) []byte
	Free     func(segment []byte)

	pdu     PDU
	small   []byte // holds the AHS and segments up to smallSegment
	large   []byte // holds a longer segment; nil: there is none
	scratch [4]byte
}

// smallSegment is the longest data segment that a Reader holds in memory of its own. What is announced
// beyond it is allocated once a peer has sent as much.
const smallSegment = 8 << 10

// NewReader reads from r with that bound on data segments.
func NewReader(r *bufio.Reader, maxData int) *Reader { return &Reader{r: r, MaxData: maxData} }

// Close gives back the memory of the last PDU.
func (r *Reader) Close() {
	if r.large != nil && r.Free != nil {
		r.Free(r.large)
	}
	r.large = nil
}

// Next reads one PDU. io.EOF means a clean end between PDUs. A *DataDigestError
// comes with the PDU; after any other error the stream can't be read on.
func (r *Reader) Next() (*PDU, error) {
	r.Close()
	p := &r.pdu
	if _, err := io.ReadFull(r.r, p.BHS[:]); err != nil {
		return nil, err
	}
	ahs := 4 * int(p.BHS[4])
	data := int(p.BHS[5])<<16 | int(p.BHS[6])<<8 | int(p.BHS[7])
	if ahs > maxAHS {
		return nil, &TooLongError{Length: ahs, Most: maxAHS}
	}
	// A digest is checked before the length is believed, but needs the AHS first,
	// whose size is bounded by its own field.
	if cap(r.small) < ahs {
		r.small = make([]byte, ahs)
	}
	p.AHS = r.small[:ahs]
	if _, err := io.ReadFull(r.r, p.AHS); err != nil {
		return nil, unexpected(err)
	}
	if r.Digests.Header {
		want := crc32.Update(crc32.Checksum(p.BHS[:], castagnoli), castagnoli, p.AHS)
		got, err := r.digest()
		if err != nil {
			return nil, err
		}
		if got != want {
			return nil, &HeaderDigestError{got, want}
		}
	}
	if data > r.MaxData {
		return nil, &TooLongError{Length: data, Most: r.MaxData}
	}
	return r.data(p, ahs, data)
}

func (r *Reader) data(p *PDU, ahs, n int) (*PDU, error) {
	seg, err := r.segment(p, ahs, (n+3)&^3)
	if err != nil {
		return nil, err
	}
	p.Data = seg[:n]
	if n == 0 || !r.Digests.Data {
		return p, nil
	}
	got, err := r.digest()
	if err != nil {
		return nil, err
	}
	if want := crc32.Checksum(seg, castagnoli); got != want {
		return p, &DataDigestError{got, want}
	}
	return p, nil
}

// segment reads n bytes of data, behind the AHS in r.small or into a buffer of their own.
func (r *Reader) segment(p *PDU, ahs, n int) ([]byte, error) {
	first := min(n, smallSegment)
	if cap(r.small) < ahs+first {
		grown := make([]byte, ahs+first)
		copy(grown, p.AHS)
		r.small, p.AHS = grown, grown[:ahs]
	}
	seg := r.small[ahs : ahs+first]
	if _, err := io.ReadFull(r.r, seg); err != nil {
		return nil, unexpected(err)
	}
	if n == first {
		return seg, nil
	}
	if r.large = r.allocate(n); r.large == nil {
		return nil, &NoRoomError{Length: n}
	}
	copy(r.large, seg)
	if _, err := io.ReadFull(r.r, r.large[first:]); err != nil {
		return nil, unexpected(err)
	}
	return r.large, nil
}

func (r *Reader) allocate(n int) []byte {
	if r.Allocate == nil {
		return make([]byte, n)
	}
	return r.Allocate(n)
}

// digest reads a CRC32C, which is sent least significant byte first.
func (r *Reader) digest() (uint32, error) {
	if _, err := io.ReadFull(r.r, r.scratch[:]); err != nil {
		return 0, unexpected(err)
	}
	return binary.LittleEndian.Uint32(r.scratch[:]), nil
}

func unexpected(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}

// Append adds p's bytes to b, with the digests agreed.
func (p *PDU) Append(b []byte, d Digests) []byte {
	n := len(p.Data)
	ahs := (len(p.AHS) + 3) / 4
	p.BHS[4] = byte(ahs)
	p.BHS[5], p.BHS[6], p.BHS[7] = byte(n>>16), byte(n>>8), byte(n)
	start := len(b)
	b = append(b, p.BHS[:]...)
	b = pad(append(b, p.AHS...), len(p.AHS))
	if d.Header {
		b = binary.LittleEndian.AppendUint32(b, crc32.Checksum(b[start:], castagnoli))
	}
	if n == 0 {
		return b
	}
	start = len(b)
	b = pad(append(b, p.Data...), n)
	if d.Data {
		b = binary.LittleEndian.AppendUint32(b, crc32.Checksum(b[start:], castagnoli))
	}
	return b
}

func pad(b []byte, n int) []byte {
	for ; n%4 != 0; n++ {
		b = append(b, 0)
	}
	return b
}
