package scsi

import (
	"encoding/binary"
	"slices"
)

const (
	vendor   = "MRLNHTCH"
	product  = "STORAGE GATEWAY "
	revision = "0011"
)

// inquiry answers standard and vital product data, SPC-4 section 6.6.
func inquiry(d *Disk, cdb [16]byte) Outcome {
	alloc := uint32(binary.BigEndian.Uint16(cdb[3:]))
	page := cdb[2]
	if cdb[1]&1 == 0 {
		if page != 0 {
			return fail(InvalidField)
		}
		return data(standard(d), alloc)
	}
	if d == nil {
		return fail(NoSuchLUN)
	}
	body := vpd(d, page)
	if body == nil {
		return fail(InvalidField)
	}
	head := []byte{0, page, byte(len(body) >> 8), byte(len(body))}
	return data(append(head, body...), alloc)
}

func standard(d *Disk) []byte {
	b := make([]byte, 74)
	if d == nil {
		b[0] = 0x7f // no unit there, none can be
	}
	b[2], b[3], b[4] = 0x06, 0x02, byte(len(b)-5) // SPC-4
	b[7] = 0x02                                   // command queuing
	copy(b[8:], vendor)
	copy(b[16:], product)
	copy(b[32:], revision)
	for i, v := range []uint16{0x00a0, 0x0960, 0x0460, 0x04c0} { // SAM-5, iSCSI, SPC-4, SBC-3
		binary.BigEndian.PutUint16(b[58+2*i:], v)
	}
	return b
}

var vpdPages = []byte{0x00, 0x80, 0x83, 0xb0, 0xb1, 0xb2}

func vpd(d *Disk, page byte) []byte {
	be := binary.BigEndian
	switch page {
	case 0x00:
		return slices.Clone(vpdPages)
	case 0x80:
		return []byte(d.Name)
	case 0x83: // T10 vendor id based designator, ASCII, of the logical unit
		id := append([]byte(vendor), d.Name...)
		id = id[:min(len(id), 255)]
		return append([]byte{0x02, 0x01, 0, byte(len(id))}, id...)
	case 0xb0:
		b := make([]byte, 60)
		b[0], b[1] = 1, MaxCompare // WSNZ: a WRITE SAME of no blocks is refused
		be.PutUint16(b[2:], uint16(min(d.Extent, 0xffff)))
		be.PutUint32(b[4:], MaxBlocks)
		be.PutUint32(b[8:], min(d.Extent, MaxBlocks))
		be.PutUint32(b[16:], MaxUnmapBlocks)
		be.PutUint32(b[20:], MaxUnmapRuns)
		be.PutUint32(b[24:], 1)
		be.PutUint64(b[32:], MaxSameBlocks)
		return b
	case 0xb1:
		b := make([]byte, 60)
		b[1] = 1 // non-rotating
		return b
	case 0xb2:
		return []byte{0, 0xe4, 2, 0} // LBPU, LBPWS, LBPWS10, reads zeros; thin
	}
	return nil
}

func readCapacity10(d *Disk, cdb [16]byte, _ []byte) Outcome {
	b := make([]byte, 8)
	binary.BigEndian.PutUint32(b, uint32(min(d.Blocks-1, 1<<32-1)))
	binary.BigEndian.PutUint32(b[4:], d.BlockSize)
	return data(b, 8)
}

func readCapacity16(d *Disk, cdb [16]byte, _ []byte) Outcome {
	b := make([]byte, 32)
	binary.BigEndian.PutUint64(b, d.Blocks-1)
	binary.BigEndian.PutUint32(b[8:], d.BlockSize)
	b[14] = 0xc0 // LBPME, LBPRZ
	return data(b, binary.BigEndian.Uint32(cdb[10:]))
}

func reportLUNs(cdb [16]byte, luns []uint64) Outcome {
	alloc := binary.BigEndian.Uint32(cdb[6:])
	if alloc < 16 || cdb[2] > 2 {
		return fail(InvalidField)
	}
	if cdb[2] == 1 {
		luns = nil // well known units: none
	}
	b := make([]byte, 8, 8+8*len(luns))
	binary.BigEndian.PutUint32(b, uint32(8*len(luns)))
	for _, l := range luns {
		b = binary.BigEndian.AppendUint64(b, l)
	}
	return data(b, alloc)
}

// modePages are the pages of MODE SENSE: caching (write cache off: a write that
// was acknowledged is on its disk server), control, informational exceptions.
func modePages(page byte) (b []byte, ok bool) {
	all := page == 0x3f
	if all || page == 0x08 {
		b = append(b, append([]byte{0x08, 0x12}, make([]byte, 18)...)...)
	}
	if all || page == 0x0a {
		p := append([]byte{0x0a, 0x0a}, make([]byte, 10)...)
		p[3] = 0x10 // unrestricted reordering
		b = append(b, p...)
	}
	if all || page == 0x1c {
		b = append(b, append([]byte{0x1c, 0x0a}, make([]byte, 10)...)...)
	}
	return b, len(b) > 0
}

func modeSense(d *Disk, cdb [16]byte, _ []byte) Outcome {
	long := cdb[0] == opModeSense10
	if cdb[2]>>6 == 3 {
		return fail(SavingUnsupported)
	}
	if cdb[3] != 0 && cdb[3] != 0xff {
		return fail(InvalidField)
	}
	pages, ok := modePages(cdb[2] & 0x3f)
	if !ok {
		return fail(InvalidField)
	}
	if cdb[2]>>6 == 1 { // changeable values: none
		for at := 0; at < len(pages); at += 2 + int(pages[at+1]) {
			clear(pages[at+2 : at+2+int(pages[at+1])])
		}
	}
	var block []byte
	if cdb[1]&0x08 == 0 {
		block = make([]byte, 8)
		binary.BigEndian.PutUint32(block, uint32(min(d.Blocks, 1<<32-1)))
		binary.BigEndian.PutUint32(block[4:], d.BlockSize&0xffffff)
	}
	dev := byte(0x10) // DPO and FUA are taken
	if d.ReadOnly {
		dev |= 0x80
	}
	if long {
		b := make([]byte, 8)
		binary.BigEndian.PutUint16(b, uint16(6+len(block)+len(pages)))
		b[3], b[7] = dev, byte(len(block))
		return data(append(append(b, block...), pages...), uint32(binary.BigEndian.Uint16(cdb[7:])))
	}
	b := []byte{byte(3 + len(block) + len(pages)), 0, dev, byte(len(block))}
	return data(append(append(b, block...), pages...), uint32(cdb[4]))
}

// reportSupported answers REPORT SUPPORTED OPERATION CODES, SPC-4 section 6.35.
func reportSupported(_ *Disk, cdb [16]byte, _ []byte) Outcome {
	alloc := binary.BigEndian.Uint32(cdb[6:])
	op, sa := cdb[3], binary.BigEndian.Uint16(cdb[4:])
	all := map[commandKey]*supported{
		{opInquiry, 0}:      {size: 6, usage: bits(6, 0, opInquiry, 1, 1, 2, 0xff, 3, 0xff, 4, 0xff)},
		{opReportLUNs, 0}:   {size: 12, usage: bits(12, 0, opReportLUNs, 2, 0xff, 6, 0xff, 7, 0xff, 8, 0xff, 9, 0xff)},
		{opRequestSense, 0}: {size: 6, usage: bits(6, 0, opRequestSense, 4, 0xff)},
	}
	for k, c := range commands {
		all[k] = c
	}
	timeouts := cdb[2]&0x80 != 0
	if cdb[2]&7 == 0 {
		return data(allCodes(all, timeouts), alloc)
	}
	actions := hasActions(op)
	switch cdb[2] & 7 {
	case 1:
		if actions {
			return fail(InvalidField) // which one of them is not said
		}
		sa = 0
	case 2:
		if !actions && knows(all, op) {
			return fail(InvalidField)
		}
	case 3:
	default:
		return fail(InvalidField)
	}
	c := all[commandKey{op, byte(sa)}]
	b := make([]byte, 4)
	if c == nil || sa > 0xff {
		b[1] = 1 // not supported
		return data(b, alloc)
	}
	b[1], b[3] = 3, byte(c.size)
	b = append(b, c.usage[:c.size]...)
	if timeouts {
		b[1] |= 0x80
		b = append(b, noTimeouts()...)
	}
	return data(b, alloc)
}

func knows(all map[commandKey]*supported, op byte) bool {
	for k := range all {
		if k.op == op {
			return true
		}
	}
	return false
}

// noTimeouts is a command timeouts descriptor that names none, SPC-4 section 6.35.4.
func noTimeouts() []byte { return []byte{0, 10, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0} }

func allCodes(all map[commandKey]*supported, timeouts bool) []byte {
	var keys []commandKey
	for k := range all {
		keys = append(keys, k)
	}
	slices.SortFunc(keys, func(a, b commandKey) int { return int(a.op)<<8 + int(a.sa) - int(b.op)<<8 - int(b.sa) })
	b := make([]byte, 4)
	for _, k := range keys {
		e := make([]byte, 8)
		e[0] = k.op
		if hasActions(k.op) {
			e[3], e[5] = k.sa, 1
		}
		e[7] = byte(all[k].size)
		if timeouts {
			e[5] |= 2
			e = append(e, noTimeouts()...)
		}
		b = append(b, e...)
	}
	binary.BigEndian.PutUint32(b, uint32(len(b)-4))
	return b
}
