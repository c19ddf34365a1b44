// Package scsi understands the commands of a thin direct-access disk (SPC-4,
// SBC-3): it turns a command descriptor block into a read, a write or an answer
// that needs no disk. It moves no data, holds no state of its own and never
// decides whether or when a command runs.
package scsi

import (
	"encoding/binary"
	"fmt"
)

// SAM statuses.
const (
	Good           byte = 0x00
	CheckCondition byte = 0x02
	Busy           byte = 0x08
	Conflict       byte = 0x18 // RESERVATION CONFLICT
)

// Sense is a sense key with its additional code and qualifier.
type Sense struct{ Key, ASC, ASCQ byte }

// The senses that a disk here gives.
var (
	NoSense           = Sense{0, 0, 0}
	InvalidOpcode     = Sense{5, 0x20, 0}
	LBAOutOfRange     = Sense{5, 0x21, 0}
	InvalidField      = Sense{5, 0x24, 0}
	NoSuchLUN         = Sense{5, 0x25, 0}
	InvalidParameter  = Sense{5, 0x26, 0}
	ParamLength       = Sense{5, 0x1a, 0}
	SavingUnsupported = Sense{5, 0x39, 0}
	Miscompare        = Sense{0xe, 0x1d, 0}
	CommandAborted    = Sense{0xb, 0, 0}
	DeviceReset       = Sense{6, 0x29, 3}

	ReservationsPreempted  = Sense{6, 0x2a, 3}
	ReservationsReleased   = Sense{6, 0x2a, 4}
	RegistrationsPreempted = Sense{6, 0x2a, 5}
	InvalidRelease         = Sense{5, 0x26, 4}
	RegistrationResources  = Sense{5, 0x55, 4}
)

func (s Sense) Error() string { return fmt.Sprintf("scsi: sense %x/%02x/%02x", s.Key, s.ASC, s.ASCQ) }

// Fixed is the sense as fixed format data, SPC-4 section 4.5.3.
func (s Sense) Fixed() []byte {
	b := make([]byte, 18)
	b[0], b[2], b[7], b[12], b[13] = 0x70, s.Key, 10, s.ASC, s.ASCQ
	return b
}

// ParseSense reads fixed format sense data.
func ParseSense(b []byte) (Sense, bool) {
	if len(b) < 14 || b[0]&0x7f != 0x70 && b[0]&0x7f != 0x71 {
		return Sense{}, false
	}
	return Sense{b[2] & 0xf, b[12], b[13]}, true
}

// Op is what a command does to blocks.
type Op byte

// The operations.
const (
	Read Op = iota + 1
	Write
	Verify
	Flush
	Unmap
	WriteSame
	CompareAndWrite
)

var opNames = [...]string{"", "read", "write", "verify", "flush", "unmap", "write-same", "compare-and-write"}

func (o Op) String() string {
	if int(o) < len(opNames) {
		return opNames[o]
	}
	return "?"
}

// OpByName is the inverse of String; 0 if there is none.
func OpByName(name string) Op {
	for i, n := range opNames {
		if i > 0 && n == name {
			return Op(i)
		}
	}
	return 0
}

// Writes tells whether the operation changes blocks.
func (o Op) Writes() bool { return o == Write || o == Unmap || o == WriteSame || o == CompareAndWrite }

// IO is an operation on a run of blocks.
type IO struct {
	Op     Op
	LBA    uint64
	Blocks uint32
	FUA    bool
	// Bytes of data out that the operation needs.
	Out int
	// Compare tells a Verify to compare with its data out.
	Compare bool
	// Unmaps are the further runs of an UNMAP, whose list is in the data.
	Unmaps []Run
}

// Reservation is a PERSISTENT RESERVE IN, or OUT with its parameter list.
type Reservation struct {
	In     bool
	Action byte
	Alloc  int
	List   []byte
}

// Run is a run of blocks.
type Run struct {
	LBA    uint64
	Blocks uint32
}

// Limits of what one command may move, told by VPD page B0.
const (
	MaxBlocks       = 2048 // of a read or write: 1 MiB of 512-byte blocks
	MaxCompare      = 1    // of COMPARE AND WRITE: more may cross an extent's border, and is not atomic there
	MaxUnmapBlocks  = 8192
	MaxUnmapRuns    = 32
	MaxSameBlocks   = 2048
	unmapDescriptor = 16
)

// Disk describes one logical unit.
type Disk struct {
	Blocks    uint64
	BlockSize uint32
	Name      string // serves as unit serial number
	ReadOnly  bool
	// Extent is the number of blocks of one extent: the optimal granularity.
	Extent uint32
}

// Outcome of decoding: exactly one of IO, Data (with status GOOD), Sense and Reserve.
type Outcome struct {
	IO *IO
	// Reserve tells a PERSISTENT RESERVE IN or OUT, which needs the volume's state.
	Reserve *Reservation
	Data    []byte
	Sense   *Sense
	// Out is the number of bytes of data out that the CDB speaks of; where the
	// initiator expects to move another number, the difference is the residual.
	Out int
}

func fail(s Sense) Outcome { return Outcome{Sense: &s} }

// data cuts what a command returns to its allocation length.
func data(b []byte, alloc uint32) Outcome {
	if uint64(len(b)) > uint64(alloc) {
		b = b[:alloc]
	}
	if b == nil {
		b = []byte{}
	}
	return Outcome{Data: b}
}

// Operation codes.
const (
	opTestUnitReady    = 0x00
	opRequestSense     = 0x03
	opRead6            = 0x08
	opWrite6           = 0x0a
	opInquiry          = 0x12
	opModeSense6       = 0x1a
	opReadCapacity10   = 0x25
	opRead10           = 0x28
	opWrite10          = 0x2a
	opVerify10         = 0x2f
	opSyncCache10      = 0x35
	opWriteSame10      = 0x41
	opUnmap            = 0x42
	opPreFetch10       = 0x34
	opPreFetch16       = 0x90
	opModeSense10      = 0x5a
	opReserveIn        = 0x5e
	opReserveOut       = 0x5f
	opRead16           = 0x88
	opCompareAndWrite  = 0x89
	opWrite16          = 0x8a
	opVerify16         = 0x8f
	opSyncCache16      = 0x91
	opWriteSame16      = 0x93
	opServiceIn16      = 0x9e
	opReportLUNs       = 0xa0
	opMaintenanceIn    = 0xa3
	opRead12           = 0xa8
	opWrite12          = 0xaa
	opVerify12         = 0xaf
	saReadCapacity16   = 0x10
	saReportSupported  = 0x0c
	saGetLBAStatus     = 0x12
	naca               = 0x04
	reservedProtection = 0xe0
)

// Decode reads a CDB for a disk; d is nil for a logical unit that doesn't exist.
// data is what the initiator sent along, luns the units to report.
func Decode(d *Disk, cdb [16]byte, out []byte, luns []uint64) Outcome {
	switch cdb[0] {
	case opInquiry:
		return inquiry(d, cdb)
	case opReportLUNs:
		return reportLUNs(cdb, luns)
	case opRequestSense:
		s := NoSense
		if d == nil {
			s = NoSuchLUN
		}
		return data(s.Fixed(), uint32(cdb[4]))
	}
	if d == nil {
		return fail(NoSuchLUN)
	}
	c := commands[key(cdb)]
	if c == nil {
		if hasActions(cdb[0]) {
			return fail(InvalidField) // the service action is what is unknown
		}
		return fail(InvalidOpcode)
	}
	if cdb[c.size-1]&naca != 0 { // NACA isn't offered (SAM-5 section 5.2)
		return fail(InvalidField)
	}
	return c.decode(d, cdb, out)
}

// TakesAttention tells whether a command is answered by a pending unit attention
// condition: all are but those that ask what is there (SAM-5 section 5.14).
func TakesAttention(cdb [16]byte) bool {
	return cdb[0] != opInquiry && cdb[0] != opReportLUNs && cdb[0] != opRequestSense
}

// commandKey is an opcode with its service action.
type commandKey struct{ op, sa byte }

func key(cdb [16]byte) commandKey {
	if hasActions(cdb[0]) {
		return commandKey{cdb[0], cdb[1] & 0x1f}
	}
	return commandKey{cdb[0], 0}
}

// hasActions tells whether an operation code needs a service action.
func hasActions(op byte) bool {
	return op == opServiceIn16 || op == opMaintenanceIn || op == opReserveIn || op == opReserveOut
}

type decoder func(d *Disk, cdb [16]byte, out []byte) Outcome

type supported struct {
	size   int
	usage  [16]byte // bits that are read, for REPORT SUPPORTED OPERATION CODES
	decode decoder
}

var commands map[commandKey]*supported

func init() {
	commands = map[commandKey]*supported{
		{opTestUnitReady, 0}:                 {size: 6, decode: empty},
		{opModeSense6, 0}:                    {size: 6, usage: bits(6, 1, 0x08, 2, 0xff, 3, 0xff, 4, 0xff), decode: modeSense},
		{opModeSense10, 0}:                   {size: 10, usage: bits(10, 1, 0x18, 2, 0xff, 3, 0xff, 7, 0xff, 8, 0xff), decode: modeSense},
		{opReadCapacity10, 0}:                {size: 10, decode: readCapacity10},
		{opServiceIn16, saReadCapacity16}:    {size: 16, usage: bits(16, 1, 0x1f, 10, 0xff, 11, 0xff, 12, 0xff, 13, 0xff), decode: readCapacity16},
		{opMaintenanceIn, saReportSupported}: {size: 12, usage: bits(12, 1, 0x1f, 2, 0x87, 3, 0xff, 4, 0xff, 5, 0xff, 6, 0xff, 7, 0xff, 8, 0xff, 9, 0xff), decode: reportSupported},
		{opServiceIn16, saGetLBAStatus}:      {size: 16, usage: span(16, 0x1f, 2, 10, 10, 14), decode: lbaStatus},
		{opPreFetch10, 0}:                    {size: 10, usage: span(10, 0x02, 2, 6, 7, 9), decode: preFetch},
		{opPreFetch16, 0}:                    {size: 16, usage: span(16, 0x02, 2, 10, 10, 14), decode: preFetch},
		{opUnmap, 0}:                         {size: 10, usage: bits(10, 7, 0xff, 8, 0xff), decode: unmap},
		{opCompareAndWrite, 0}:               {size: 16, usage: span(16, 0x18, 2, 10, 13, 14), decode: transfer(CompareAndWrite)},
	}
	for op, o := range map[byte]Op{opRead6: Read, opWrite6: Write} {
		commands[commandKey{op, 0}] = &supported{6, bits(6, 1, 0x1f, 2, 0xff, 3, 0xff, 4, 0xff), transfer(o)}
	}
	for op, o := range map[byte]Op{opRead10: Read, opWrite10: Write, opVerify10: Verify, opSyncCache10: Flush, opWriteSame10: WriteSame} {
		commands[commandKey{op, 0}] = &supported{10, span(10, flagBits(o), 2, 6, 7, 9), transfer(o)}
	}
	for op, o := range map[byte]Op{opRead12: Read, opWrite12: Write, opVerify12: Verify} {
		commands[commandKey{op, 0}] = &supported{12, span(12, flagBits(o), 2, 6, 6, 10), transfer(o)}
	}
	for op, o := range map[byte]Op{opRead16: Read, opWrite16: Write, opVerify16: Verify, opSyncCache16: Flush, opWriteSame16: WriteSame} {
		commands[commandKey{op, 0}] = &supported{16, span(16, flagBits(o), 2, 10, 10, 14), transfer(o)}
	}
	for sa := range byte(4) {
		commands[commandKey{opReserveIn, sa}] = &supported{size: 10, usage: bits(10, 1, 0x1f, 7, 0xff, 8, 0xff), decode: reserveIn}
	}
	for sa := range byte(7) {
		commands[commandKey{opReserveOut, sa}] = &supported{size: 10, usage: bits(10, 1, 0x1f, 2, 0xff, 5, 0xff, 6, 0xff, 7, 0xff, 8, 0xff), decode: reserveOut}
	}
	for k, c := range commands {
		c.usage[0] = k.op
	}
}

func flagBits(o Op) byte {
	switch o {
	case Verify:
		return 0x16
	case Flush:
		return 0x02
	case WriteSame:
		return 0x08
	}
	return 0x18 // DPO and FUA
}

// bits lays out a usage map from pairs of place and bits.
func bits(size int, pairs ...int) (u [16]byte) {
	for i := 0; i < len(pairs); i += 2 {
		u[pairs[i]] = byte(pairs[i+1])
	}
	return u
}

// span is a usage map with an address and a length field.
func span(size int, flags byte, a0, a1, l0, l1 int) (u [16]byte) {
	u[1] = flags
	for i := a0; i < a1; i++ {
		u[i] = 0xff
	}
	for i := l0; i < l1; i++ {
		u[i] = 0xff
	}
	return u
}

func reserveIn(_ *Disk, cdb [16]byte, _ []byte) Outcome {
	return Outcome{Reserve: &Reservation{In: true, Action: cdb[1] & 0x1f, Alloc: int(binary.BigEndian.Uint16(cdb[7:]))}}
}

func reserveOut(_ *Disk, cdb [16]byte, out []byte) Outcome {
	n := int(binary.BigEndian.Uint32(cdb[5:]))
	if n != len(out) {
		return fail(ParamLength)
	}
	return Outcome{Reserve: &Reservation{Action: cdb[1] & 0x1f, List: out}, Out: n}
}

// preFetch answers PRE-FETCH: there is no cache that blocks could go to, which is GOOD
// and not CONDITION MET (SBC-3, PRE-FETCH).
func preFetch(d *Disk, cdb [16]byte, _ []byte) Outcome {
	lba, n := address(cdb)
	if lba > d.Blocks || uint64(n) > d.Blocks-lba {
		return fail(LBAOutOfRange)
	}
	return data(nil, 0)
}

// lbaStatus answers GET LBA STATUS with one descriptor to the end of the unit: mapped, or
// of unknown state, which is what provisioning status 0 means (SBC-3).
func lbaStatus(d *Disk, cdb [16]byte, _ []byte) Outcome {
	lba := binary.BigEndian.Uint64(cdb[2:])
	if lba >= d.Blocks {
		return fail(LBAOutOfRange)
	}
	b := make([]byte, 24)
	binary.BigEndian.PutUint32(b, 20)
	binary.BigEndian.PutUint64(b[8:], lba)
	binary.BigEndian.PutUint32(b[16:], uint32(min(d.Blocks-lba, 1<<32-1)))
	return data(b, binary.BigEndian.Uint32(cdb[10:]))
}

func empty(*Disk, [16]byte, []byte) Outcome { return data(nil, 0) }

// address reads the block address and length of a read-like CDB.
func address(cdb [16]byte) (lba uint64, blocks uint32) {
	be := binary.BigEndian
	switch {
	case cdb[0] < 0x20:
		lba = uint64(cdb[1]&0x1f)<<16 | uint64(be.Uint16(cdb[2:]))
		if blocks = uint32(cdb[4]); blocks == 0 {
			blocks = 256 // SBC-3: a length of 0 means 256 in the 6-byte forms
		}
	case cdb[0] < 0x60:
		lba, blocks = uint64(be.Uint32(cdb[2:])), uint32(be.Uint16(cdb[7:]))
	case cdb[0] >= 0xa0:
		lba, blocks = uint64(be.Uint32(cdb[2:])), be.Uint32(cdb[6:])
	default:
		lba, blocks = be.Uint64(cdb[2:]), be.Uint32(cdb[10:])
		if cdb[0] == opCompareAndWrite {
			blocks = uint32(cdb[13])
		}
	}
	return lba, blocks
}

// transfer decodes every command with an address and a number of blocks.
func transfer(op Op) decoder {
	return func(d *Disk, cdb [16]byte, out []byte) Outcome {
		lba, n := address(cdb)
		io := &IO{Op: op, LBA: lba, Blocks: n, FUA: cdb[0] >= 0x20 && cdb[1]&0x08 != 0 && (op == Read || op == Write)}
		if cdb[0] >= 0x20 && op != Flush && cdb[1]&reservedProtection != 0 {
			return fail(InvalidField) // protection information isn't kept
		}
		if lba > d.Blocks || uint64(n) > d.Blocks-lba {
			return fail(LBAOutOfRange)
		}
		if s := io.check(d, cdb, len(out)); s != nil {
			return fail(*s)
		}
		want := io.Out
		if op == Write && len(out) < io.Out {
			// What did come is written, in whole blocks; the rest is a residual
			// overflow (RFC 7143 section 11.4.5.1).
			io.Blocks = uint32(len(out)) / d.BlockSize
			io.Out = int(io.Blocks * d.BlockSize)
		}
		if io.Blocks == 0 && op != Flush && op != WriteSame {
			return Outcome{Data: []byte{}, Out: want} // no blocks is no error
		}
		return Outcome{IO: io, Out: want}
	}
}

// check holds an operation to its limits and says what data it needs.
func (io *IO) check(d *Disk, cdb [16]byte, out int) *Sense {
	size := int(d.BlockSize)
	switch io.Op {
	case Flush:
		if io.Blocks == 0 {
			io.Blocks = uint32(min(d.Blocks-io.LBA, 1<<32-1)) // to the end of the unit
		}
		return nil
	case Verify:
		switch cdb[1] >> 1 & 3 {
		case 0:
		case 1:
			io.Compare, io.Out = true, int(io.Blocks)*size
		default:
			return &InvalidField
		}
	case Write:
		io.Out = int(io.Blocks) * size
	case WriteSame:
		if cdb[1]&0x10 != 0 || io.Blocks == 0 || io.Blocks > MaxSameBlocks {
			return &InvalidField // anchors; WSNZ is told in page B0
		}
		io.Out = size
	case CompareAndWrite:
		if io.Blocks > MaxCompare {
			return &InvalidField
		}
		io.Out = 2 * int(io.Blocks) * size
	}
	if io.Blocks > MaxBlocks {
		return &InvalidField
	}
	if io.Op.Writes() && d.ReadOnly {
		return &Sense{7, 0x27, 0}
	}
	if out < io.Out && io.Op != Write {
		return &InvalidField // less data than the command speaks of
	}
	return nil
}

// unmap reads the list of an UNMAP, SBC-3 section 5.28.
func unmap(d *Disk, cdb [16]byte, out []byte) Outcome {
	n := int(binary.BigEndian.Uint16(cdb[7:]))
	if n == 0 {
		return data(nil, 0)
	}
	if n < 8 || len(out) < n {
		return fail(ParamLength)
	}
	out = out[:n]
	list := int(binary.BigEndian.Uint16(out[2:]))
	if cdb[1]&1 != 0 {
		return fail(InvalidField)
	}
	list = min(list, len(out)-8) / unmapDescriptor
	if list > MaxUnmapRuns {
		return fail(InvalidParameter)
	}
	io := &IO{Op: Unmap, Out: n}
	total := uint64(0)
	for i := range list {
		b := out[8+i*unmapDescriptor:]
		r := Run{binary.BigEndian.Uint64(b), binary.BigEndian.Uint32(b[8:])}
		if r.LBA > d.Blocks || uint64(r.Blocks) > d.Blocks-r.LBA {
			return fail(LBAOutOfRange)
		}
		if total += uint64(r.Blocks); total > MaxUnmapBlocks {
			return fail(InvalidParameter)
		}
		if r.Blocks > 0 {
			io.Unmaps = append(io.Unmaps, r)
		}
	}
	if len(io.Unmaps) == 0 {
		return data(nil, 0)
	}
	io.LBA, io.Blocks = io.Unmaps[0].LBA, io.Unmaps[0].Blocks
	return Outcome{IO: io, Out: n}
}
