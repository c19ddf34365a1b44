package conform

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"slices"

	"merlinhitch/internal/protocol/iscsi"
	"merlinhitch/internal/protocol/scsi"
)

// Command descriptor blocks of SPC-4 and SBC-3.

func testUnitReadyCDB() []byte { return make([]byte, 6) }

func inquiryCDB(evpd, page byte, allocation uint16) []byte {
	return []byte{0x12, evpd, page, byte(allocation >> 8), byte(allocation), 0}
}

func readCapacity16CDB(allocation uint32) []byte {
	cdb := make([]byte, 16)
	cdb[0], cdb[1] = 0x9e, 0x10
	binary.BigEndian.PutUint32(cdb[10:], allocation)
	return cdb
}

func supportedOpcodesCDB(options, opcode byte, serviceAction uint16, allocation uint32) []byte {
	cdb := make([]byte, 12)
	cdb[0], cdb[1], cdb[2], cdb[3] = 0xa3, 0x0c, options, opcode
	binary.BigEndian.PutUint16(cdb[4:], serviceAction)
	binary.BigEndian.PutUint32(cdb[6:], allocation)
	return cdb
}

func reportLUNsCDB(selectReport byte, allocation uint32) []byte {
	cdb := make([]byte, 12)
	cdb[0], cdb[2] = 0xa0, selectReport
	binary.BigEndian.PutUint32(cdb[6:], allocation)
	return cdb
}

func modeSenseCDB(tenByte bool, dbd, pageControl, page byte, allocation uint16) []byte {
	if tenByte {
		return []byte{0x5a, dbd << 3, pageControl<<6 | page, 0, 0, 0, 0, byte(allocation >> 8), byte(allocation), 0}
	}
	return []byte{0x1a, dbd << 3, pageControl<<6 | page, 0, byte(allocation), 0}
}

// blockCDB returns a command with an LBA and a transfer length, in the CDB length of its opcode.
func blockCDB(op byte, lba uint64, blocks uint32) []byte {
	be := binary.BigEndian
	switch op >> 5 {
	case 0:
		return []byte{op, byte(lba >> 16 & 0x1f), byte(lba >> 8), byte(lba), byte(blocks), 0}
	case 1, 2:
		b := make([]byte, 10)
		b[0] = op
		be.PutUint32(b[2:], uint32(lba))
		be.PutUint16(b[7:], uint16(blocks))
		return b
	case 5:
		b := make([]byte, 12)
		b[0] = op
		be.PutUint32(b[2:], uint32(lba))
		be.PutUint32(b[6:], blocks)
		return b
	}
	b := make([]byte, 16)
	b[0] = op
	be.PutUint64(b[2:], lba)
	be.PutUint32(b[10:], blocks)
	return b
}

func withFlags(cdb []byte, flags byte) []byte {
	changed := slices.Clone(cdb)
	changed[1] |= flags
	return changed
}

func compareAndWriteCDB(lba uint64, blocks byte) []byte {
	cdb := blockCDB(0x89, lba, 0)
	cdb[13] = blocks
	return cdb
}

// unmapCDB returns an UNMAP of ranges of an LBA and a number of blocks, with its parameter list.
func unmapCDB(ranges ...[2]uint64) (cdb, parameters []byte) {
	parameters = make([]byte, 8, 8+16*len(ranges))
	binary.BigEndian.PutUint16(parameters, uint16(6+16*len(ranges)))
	binary.BigEndian.PutUint16(parameters[2:], uint16(16*len(ranges)))
	for _, r := range ranges {
		parameters = binary.BigEndian.AppendUint64(parameters, r[0])
		parameters = binary.BigEndian.AppendUint32(parameters, uint32(r[1]))
		parameters = append(parameters, 0, 0, 0, 0)
	}
	cdb = make([]byte, 10)
	cdb[0] = 0x42
	binary.BigEndian.PutUint16(cdb[7:], uint16(len(parameters)))
	return cdb, parameters
}

// Operation codes of commands that differ only in the length of the CDB, and their names.
var (
	readOps      = []byte{0x08, 0x28, 0xa8, 0x88}
	writeOps     = []byte{0x0a, 0x2a, 0xaa, 0x8a}
	verifyOps    = []byte{0x2f, 0xaf, 0x8f}
	writeSameOps = []byte{0x41, 0x93}
	syncCacheOps = []byte{0x35, 0x91}
	opNames      = map[byte]string{0x08: "READ (6)", 0x28: "READ (10)", 0xa8: "READ (12)", 0x88: "READ (16)", 0x0a: "WRITE (6)", 0x2a: "WRITE (10)", 0xaa: "WRITE (12)",
		0x8a: "WRITE (16)", 0x2f: "VERIFY (10)", 0xaf: "VERIFY (12)", 0x8f: "VERIFY (16)", 0x41: "WRITE SAME (10)", 0x93: "WRITE SAME (16)",
		0x35: "SYNCHRONIZE CACHE (10)", 0x91: "SYNCHRONIZE CACHE (16)"}
)

var checks = slices.Concat(primaryChecks(), formChecks(), diskChecks(), reservationChecks(), transportChecks())

// primaryChecks returns the checks of commands of all device types (SPC-4).
func primaryChecks() []check {
	return []check{
		{"SPC-4 TEST UNIT READY", "TEST UNIT READY is GOOD", nil, func(t *target) error { _, err := t.expectGood(testUnitReadyCDB(), nil, 0); return err }},
		{"SPC-4 operation codes", "an unsupported operation code is refused", nil, func(t *target) error {
			for op := 0xff; op >= 0xc0; op-- {
				if !t.supported[[2]byte{byte(op), 0}] {
					return t.expectSense(scsi.InvalidOpcode, append([]byte{byte(op)}, make([]byte, 15)...), nil, 0)
				}
			}
			return nil
		}},
		{"SAM-5 CONTROL byte", "NACA in the CONTROL byte is accepted or refused as an invalid field", nil, func(t *target) error {
			r, err := t.do([]byte{0, 0, 0, 0, 0, 4}, nil, 0)
			if s, _ := scsi.ParseSense(r.Sense); err == nil && r.Status != scsi.Good && s != scsi.InvalidField {
				err = errors.New(describe(r))
			}
			return err
		}},
		{"SPC-4 INQUIRY", "standard INQUIRY data is of a disk and has its stated length", nil, func(t *target) error {
			b, err := t.expectGood(inquiryCDB(0, 0, 255), nil, 255)
			if err == nil && (len(b) < 36 || b[0] != 0 || len(b) != int(b[4])+5) {
				err = fmt.Errorf("unexpected data %x", b)
			}
			return err
		}},
		{"SPC-4 INQUIRY", "INQUIRY data is truncated to the allocation length", nil, func(t *target) error {
			b, err := t.expectGood(inquiryCDB(0, 0, 5), nil, 5)
			if err == nil && len(b) != 5 {
				err = fmt.Errorf("got %d bytes", len(b))
			}
			return err
		}},
		{"SPC-4 INQUIRY", "a page code without EVPD is refused", nil, func(t *target) error { return t.expectSense(scsi.InvalidField, inquiryCDB(0, 0x83, 255), nil, 255) }},
		{"SPC-4 INQUIRY", "a VPD page that is not listed is refused", nil, func(t *target) error { return t.expectSense(scsi.InvalidField, inquiryCDB(1, 0x7f, 255), nil, 255) }},
		{"SPC-4 Supported VPD Pages", "every listed VPD page has its page code and its stated length", nil, checkVPDPages},
		{"SPC-4 Device Identification", "the page identifies the logical unit", nil, func(t *target) error {
			b, err := t.expectGood(inquiryCDB(1, 0x83, 1024), nil, 1024)
			if err == nil && (len(b) < 8 || b[5]&0x30 != 0) {
				err = fmt.Errorf("no designator of the logical unit: %x", b)
			}
			return err
		}},
		{"SPC-4 REPORT LUNS", "REPORT LUNS lists LUN 0", nil, func(t *target) error {
			b, err := t.expectGood(reportLUNsCDB(0, 256), nil, 256)
			if err == nil && (len(b) < 16 || binary.BigEndian.Uint32(b) < 8 || !bytes.Equal(b[8:16], make([]byte, 8))) {
				err = fmt.Errorf("unexpected data %x", b)
			}
			return err
		}},
		{"SPC-4 REPORT LUNS", "REPORT LUNS with an allocation length of 8 is refused", nil, func(t *target) error { return t.expectSense(scsi.InvalidField, reportLUNsCDB(0, 8), nil, 8) }},
		{"SPC-4 REPORT LUNS", "REPORT LUNS with a reserved SELECT REPORT is refused", nil, func(t *target) error { return t.expectSense(scsi.InvalidField, reportLUNsCDB(0x60, 256), nil, 256) }},
		{"SPC-4 REQUEST SENSE", "REQUEST SENSE without pending sense data returns NO SENSE", nil, func(t *target) error {
			b, err := t.expectGood([]byte{3, 0, 0, 0, 252, 0}, nil, 252)
			if s, ok := scsi.ParseSense(b); err == nil && (!ok || s.Key != 0) {
				err = fmt.Errorf("unexpected data %x", b)
			}
			return err
		}},
		{"SPC-4 MODE SENSE (6)", "MODE SENSE (6) of all pages has its stated length", []byte{0x1a}, func(t *target) error {
			b, err := t.expectGood(modeSenseCDB(false, 0, 0, 0x3f, 255), nil, 255)
			if err == nil && (len(b) < 4 || len(b) != int(b[0])+1) {
				err = fmt.Errorf("unexpected data %x", b)
			}
			return err
		}},
		{"SPC-4 MODE SENSE (10)", "MODE SENSE (10) of all pages has its stated length", []byte{0x5a}, func(t *target) error {
			b, err := t.expectGood(modeSenseCDB(true, 0, 0, 0x3f, 1024), nil, 1024)
			if err == nil && (len(b) < 8 || len(b) != int(binary.BigEndian.Uint16(b))+2) {
				err = fmt.Errorf("unexpected data %x", b)
			}
			return err
		}},
		{"SPC-4 MODE SENSE (6)", "DBD omits the block descriptor", []byte{0x1a}, func(t *target) error {
			b, err := t.expectGood(modeSenseCDB(false, 1, 0, 0x3f, 255), nil, 255)
			if err == nil && (len(b) < 4 || b[3] != 0) {
				err = fmt.Errorf("unexpected data %x", b)
			}
			return err
		}},
		{"SPC-4 MODE SENSE (6)", "saved values are returned or refused as not supported", []byte{0x1a}, func(t *target) error {
			r, err := t.do(modeSenseCDB(false, 0, 3, 0x3f, 255), nil, 255)
			if s, _ := scsi.ParseSense(r.Sense); err == nil && r.Status != scsi.Good && s != scsi.SavingUnsupported {
				err = errors.New(describe(r))
			}
			return err
		}},
		{"SPC-4 MODE SENSE (6)", "an unsupported mode page is refused", []byte{0x1a}, func(t *target) error {
			return t.expectSense(scsi.InvalidField, modeSenseCDB(false, 0, 0, 0x29, 255), nil, 255)
		}},
		{"SPC-4 REPORT SUPPORTED OPERATION CODES", "each listed operation code can be queried alone", []byte{0xa3}, checkListedOpcodes},
		{"SPC-4 command timeouts descriptor", "RCTD returns command timeouts descriptors", []byte{0xa3}, checkTimeoutDescriptors},
		{"SPC-4 REPORT SUPPORTED OPERATION CODES", "option 001b for a code with service actions is refused", []byte{0xa3}, func(t *target) error {
			return t.expectSense(scsi.InvalidField, supportedOpcodesCDB(1, 0xa3, 0, 64), nil, 64)
		}},
		{"SPC-4 REPORT SUPPORTED OPERATION CODES", "option 010b for a code without service actions is refused", []byte{0xa3}, func(t *target) error {
			return t.expectSense(scsi.InvalidField, supportedOpcodesCDB(2, 0x12, 0, 64), nil, 64)
		}},
		{"SPC-4 REPORT SUPPORTED OPERATION CODES", "a reserved option is refused", []byte{0xa3}, func(t *target) error {
			return t.expectSense(scsi.InvalidField, supportedOpcodesCDB(4, 0x12, 0, 64), nil, 64)
		}},
		{"SPC-4 REPORT SUPPORTED OPERATION CODES", "an unsupported operation code is reported as not supported", []byte{0xa3}, func(t *target) error {
			for op := 0xff; op >= 0xc0; op-- {
				if !t.supported[[2]byte{byte(op), 0}] {
					b, err := t.expectGood(supportedOpcodesCDB(1, byte(op), 0, 64), nil, 64)
					if err == nil && (len(b) < 4 || b[1]&7 != 1) {
						err = fmt.Errorf("unexpected data %x", b)
					}
					return err
				}
			}
			return nil
		}},
	}
}

// checkVPDPages checks the list of VPD pages and each page of it.
func checkVPDPages(t *target) error {
	pages, err := t.expectGood(inquiryCDB(1, 0, 255), nil, 255)
	if err != nil {
		return err
	}
	if len(pages) < 5 || len(pages) != int(pages[3])+4 || !slices.IsSorted(pages[4:]) || !slices.Contains(pages[4:], 0x83) {
		return fmt.Errorf("list of VPD pages: %x", pages)
	}
	for _, page := range pages[4:] {
		data, err := t.expectGood(inquiryCDB(1, page, 4096), nil, 4096)
		if err != nil {
			return err
		}
		if len(data) < 4 || data[1] != page || len(data) != int(binary.BigEndian.Uint16(data[2:]))+4 {
			return fmt.Errorf("VPD page %02x: %x", page, data)
		}
	}
	return nil
}

// checkListedOpcodes queries each listed operation code on its own.
func checkListedOpcodes(t *target) error {
	for code := range t.supported {
		option, serviceAction := byte(1), uint16(0)
		if hasServiceActions[code[0]] {
			if option, serviceAction = 2, uint16(code[1]); serviceAction == 0 {
				continue // entry for the operation code itself
			}
		}
		data, err := t.expectGood(supportedOpcodesCDB(option, code[0], serviceAction, 64), nil, 64)
		if err != nil {
			return err
		}
		if len(data) < 5 || data[1]&7 != 3 || int(data[3]) != len(data)-4 || data[4] != code[0] {
			return fmt.Errorf("operation code %02x, service action %02x: %x", code[0], code[1], data)
		}
	}
	return nil
}

// hasServiceActions holds the operation codes that have service actions (SPC-4 table 34).
var hasServiceActions = map[byte]bool{0x9e: true, 0x9f: true, 0xa3: true, 0xa4: true, 0x5e: true, 0x5f: true, 0x83: true, 0x84: true, 0x7f: true}

// checkTimeoutDescriptors checks that RCTD adds command timeouts descriptors to a query of one
// operation code and of all.
func checkTimeoutDescriptors(t *target) error {
	one, err := t.expectGood(supportedOpcodesCDB(0x81, 0x12, 0, 64), nil, 64)
	if err != nil {
		return err
	}
	if len(one) < 4 || one[1]&0x80 == 0 || len(one) != 4+int(one[3])+12 || one[4+int(one[3])+1] != 10 {
		return fmt.Errorf("query of one operation code: %x", one)
	}
	all, err := t.expectGood(supportedOpcodesCDB(0x80, 0, 0, 1<<16), nil, 1<<16)
	if err != nil {
		return err
	}
	for descriptors := all[4:]; len(descriptors) > 0; descriptors = descriptors[20:] {
		if len(descriptors) < 20 || descriptors[5]&2 == 0 || descriptors[9] != 10 {
			return fmt.Errorf("query of all operation codes: %x", descriptors)
		}
	}
	return nil
}

// formChecks returns the checks of READ, WRITE, VERIFY, WRITE SAME and SYNCHRONIZE CACHE in all CDB
// lengths.
func formChecks() (list []check) {
	add := func(op byte, name string, run func(t *target) error) {
		list = append(list, check{"SBC-3 " + opNames[op], opNames[op] + ": " + name, []byte{op}, run})
	}
	for _, op := range readOps {
		add(op, "returns the data written", func(t *target) error {
			want, err := t.writePattern(op, 8)
			if err != nil {
				return err
			}
			got, err := t.expectGood(blockCDB(op, 0, 8), nil, 8*t.blockSize)
			if err == nil && !bytes.Equal(got, want) {
				err = errors.New("data read differs from the data written")
			}
			return err
		})
		addRangeChecks(add, op, func(t *target) (out []byte, in int) { return nil, t.blockSize })
	}
	for _, op := range writeOps {
		add(op, "the data written is read back", func(t *target) error {
			b := pattern(op, 5*t.blockSize)
			if _, err := t.expectGood(blockCDB(op, 3, 5), b, 0); err != nil {
				return err
			}
			return t.expectData(3, b)
		})
		addRangeChecks(add, op, func(t *target) (out []byte, in int) { return make([]byte, t.blockSize), 0 })
	}
	for _, op := range verifyOps {
		add(op, "without comparing is GOOD", func(t *target) error { _, err := t.expectGood(blockCDB(op, 0, 8), nil, 0); return err })
		add(op, "BYTCHK 01b with the same data is GOOD", func(t *target) error {
			b, err := t.writePattern(op, 4)
			if err == nil {
				_, err = t.expectGood(withFlags(blockCDB(op, 0, 4), 2), b, 0)
			}
			return err
		})
		add(op, "BYTCHK 01b with other data is a MISCOMPARE", func(t *target) error {
			b, err := t.writePattern(op, 4)
			if err != nil {
				return err
			}
			b[3*t.blockSize]++
			return t.expectSense(scsi.Miscompare, withFlags(blockCDB(op, 0, 4), 2), b, 0)
		})
		add(op, "BYTCHK 10b is refused", func(t *target) error {
			return t.expectSense(scsi.InvalidField, withFlags(blockCDB(op, 0, 1), 4), make([]byte, t.blockSize), 0)
		})
		addRangeChecks(add, op, func(*target) (out []byte, in int) { return nil, 0 })
	}
	for _, op := range writeSameOps {
		add(op, "writes the same data to each block", func(t *target) error {
			b := pattern(op, t.blockSize)
			if _, err := t.expectGood(blockCDB(op, 2, 6), b, 0); err != nil {
				return err
			}
			return t.expectData(2, bytes.Repeat(b, 6))
		})
		add(op, "zero blocks are refused if WSNZ is set", func(t *target) error {
			if !t.blockLimits.wsnz {
				return nil
			}
			return t.expectSense(scsi.InvalidField, blockCDB(op, 0, 0), make([]byte, t.blockSize), 0)
		})
		add(op, "more blocks than the maximum write same length are refused", func(t *target) error {
			if t.blockLimits.writeSame == 0 || t.blockLimits.writeSame+1 > t.blocks || t.blockLimits.writeSame >= 0xffff && op == 0x41 {
				return nil
			}
			return t.expectSense(scsi.InvalidField, blockCDB(op, 0, uint32(t.blockLimits.writeSame+1)), make([]byte, t.blockSize), 0)
		})
		addRangeChecks(add, op, func(t *target) (out []byte, in int) { return make([]byte, t.blockSize), 0 })
	}
	for _, op := range syncCacheOps {
		add(op, "of the whole unit and of a range is GOOD", func(t *target) error {
			_, err := t.expectGood(blockCDB(op, 0, 0), nil, 0)
			if err == nil {
				_, err = t.expectGood(blockCDB(op, 4, 4), nil, 0)
			}
			return err
		})
		addRangeChecks(add, op, func(*target) (out []byte, in int) { return nil, 0 })
	}
	return list
}

// addRangeChecks adds the checks of LBA, protection field and transfer length that apply to the command
// op. The function transfer returns the data out and the length of data in for one block.
func addRangeChecks(add func(byte, string, func(*target) error), op byte, transfer func(*target) ([]byte, int)) {
	add(op, "the last block is readable, the next is out of range", func(t *target) error {
		dataOut, inLength := transfer(t)
		if op < 0x20 && t.blocks > 1<<21 || op != 0x88 && op != 0x8a && op != 0x8f && op != 0x93 && op != 0x91 && t.blocks > 1<<32 {
			return nil // the LBA does not fit into the CDB
		}
		if op == 0x88 || op == 0x28 || op == 0xa8 || op == 0x08 {
			if _, err := t.expectGood(blockCDB(op, t.blocks-1, 1), dataOut, inLength); err != nil {
				return err
			}
		}
		if op < 0x20 && t.blocks == 1<<21 {
			return nil
		}
		return t.expectSense(scsi.LBAOutOfRange, blockCDB(op, t.blocks, 1), dataOut, inLength)
	})
	if op >= 0x80 && op < 0xa0 {
		add(op, "the maximum LBA is out of range", func(t *target) error {
			dataOut, inLength := transfer(t)
			return t.expectSense(scsi.LBAOutOfRange, blockCDB(op, 1<<64-1, 1), dataOut, inLength)
		})
	}
	if op >= 0x20 && op != 0x35 && op != 0x91 {
		add(op, "a nonzero protection field is refused", func(t *target) error {
			dataOut, inLength := transfer(t)
			return t.expectSense(scsi.InvalidField, withFlags(blockCDB(op, 0, 1), 0x20), dataOut, inLength)
		})
		if op != 0x41 && op != 0x93 {
			add(op, "a transfer length of 0 is GOOD", func(t *target) error { _, err := t.expectGood(blockCDB(op, 0, 0), nil, 0); return err })
		}
	}
	if op == 0xa8 || op == 0x88 || op == 0xaa || op == 0x8a {
		add(op, "more than the maximum transfer length is refused", func(t *target) error {
			if t.blockLimits.transfer == 0 || uint64(t.blockLimits.transfer)+1 > t.blocks {
				return nil
			}
			dataOut, inLength := transfer(t)
			return t.expectSense(scsi.InvalidField, blockCDB(op, 0, t.blockLimits.transfer+1), dataOut, inLength)
		})
	}
}

// diskChecks returns the checks of the other commands of disks (SBC-3).
func diskChecks() []check {
	return []check{
		{"SBC-3 READ CAPACITY (10)", "READ CAPACITY (10) agrees with (16)", []byte{0x25}, func(t *target) error {
			b, err := t.expectGood(blockCDB(0x25, 0, 0), nil, 8)
			if err == nil && (len(b) != 8 || uint64(binary.BigEndian.Uint32(b)) != min(t.blocks-1, 1<<32-1) || int(binary.BigEndian.Uint32(b[4:])) != t.blockSize) {
				err = fmt.Errorf("unexpected data %x", b)
			}
			return err
		}},
		{"SBC-3 PRE-FETCH", "PRE-FETCH is GOOD or CONDITION MET, beyond the end out of range", []byte{0x34, 0x90}, func(t *target) error {
			for _, op := range []byte{0x34, 0x90} {
				r, err := t.do(blockCDB(op, 0, 8), nil, 0)
				if err == nil && r.Status != scsi.Good && r.Status != 0x04 {
					err = errors.New(describe(r))
				}
				if err = errors.Join(err, t.expectSense(scsi.LBAOutOfRange, blockCDB(op, t.blocks, 1), nil, 0)); err != nil {
					return err
				}
			}
			return nil
		}},
		{"SBC-3 GET LBA STATUS", "GET LBA STATUS starts at or before the LBA and ends within the unit", nil, func(t *target) error {
			if !t.supported[[2]byte{0x9e, 0x12}] {
				return nil
			}
			cdb := blockCDB(0x9e, 5, 64)
			cdb[1] = 0x12
			b, err := t.expectGood(cdb, nil, 64)
			if err != nil {
				return err
			}
			if len(b) < 24 || binary.BigEndian.Uint64(b[8:]) > 5 || binary.BigEndian.Uint64(b[8:])+uint64(binary.BigEndian.Uint32(b[16:])) > t.blocks {
				return fmt.Errorf("unexpected data %x", b)
			}
			binary.BigEndian.PutUint64(cdb[2:], t.blocks)
			return t.expectSense(scsi.LBAOutOfRange, cdb, nil, 64)
		}},
		{"SBC-3 READ CAPACITY (16)", "READ CAPACITY (16) data is truncated to the allocation length", nil, func(t *target) error {
			b, err := t.expectGood(readCapacity16CDB(12), nil, 12)
			if err == nil && len(b) != 12 {
				err = fmt.Errorf("got %d bytes", len(b))
			}
			return err
		}},
		{"SBC-3 COMPARE AND WRITE", "COMPARE AND WRITE writes if the data matches", []byte{0x89}, func(t *target) error {
			b, err := t.writePattern(9, 4)
			if err != nil {
				return err
			}
			next := pattern(77, t.blockSize)
			if _, err := t.expectGood(compareAndWriteCDB(1, 1), append(slices.Clone(b[t.blockSize:2*t.blockSize]), next...), 0); err != nil {
				return err
			}
			copy(b[t.blockSize:], next)
			return t.expectData(0, b)
		}},
		{"SBC-3 COMPARE AND WRITE", "COMPARE AND WRITE changes nothing on a miscompare", []byte{0x89}, func(t *target) error {
			b, err := t.writePattern(10, 4)
			if err != nil {
				return err
			}
			if err := t.expectSense(scsi.Miscompare, compareAndWriteCDB(1, 1), pattern(78, 2*t.blockSize), 0); err != nil {
				return err
			}
			return t.expectData(0, b)
		}},
		{"SBC-3 Block Limits page", "COMPARE AND WRITE of the maximum length is GOOD at every LBA", []byte{0x89}, func(t *target) error {
			blocks := t.blockLimits.compareAndWrite
			for lba := uint64(0); lba+uint64(blocks) <= OverwrittenBlocks; lba++ {
				old, err := t.expectGood(blockCDB(0x88, lba, blocks), nil, int(blocks)*t.blockSize)
				if err != nil {
					return err
				}
				if _, err := t.expectGood(compareAndWriteCDB(lba, byte(blocks)), append(slices.Clone(old), old...), 0); err != nil {
					return err
				}
			}
			return nil
		}},
		{"SBC-3 Block Limits page", "COMPARE AND WRITE above the maximum length is refused", []byte{0x89}, func(t *target) error {
			blocks := t.blockLimits.compareAndWrite + 1
			if blocks > 255 {
				return nil
			}
			return t.expectSense(scsi.InvalidField, compareAndWriteCDB(0, byte(blocks)), make([]byte, 2*int(blocks)*t.blockSize), 0)
		}},
		{"SBC-3 UNMAP", "blocks of an UNMAP of two ranges read as zeros if LBPRZ is set", []byte{0x42}, func(t *target) error {
			b, err := t.writePattern(11, 16)
			if err != nil {
				return err
			}
			cdb, out := unmapCDB([2]uint64{2, 3}, [2]uint64{8, 1})
			if _, err := t.expectGood(cdb, out, 0); err != nil {
				return err
			}
			c, err := t.expectGood(readCapacity16CDB(32), nil, 32)
			if err != nil || len(c) < 15 || c[14]&0x40 == 0 {
				return err
			}
			clear(b[2*t.blockSize : 5*t.blockSize])
			clear(b[8*t.blockSize : 9*t.blockSize])
			return t.expectData(0, b)
		}},
		{"SBC-3 UNMAP", "UNMAP without block descriptors is GOOD", []byte{0x42}, func(t *target) error {
			cdb, out := unmapCDB()
			_, err := t.expectGood(cdb, out, 0)
			return err
		}},
		{"SBC-3 UNMAP", "UNMAP beyond the end is out of range", []byte{0x42}, func(t *target) error {
			cdb, out := unmapCDB([2]uint64{t.blocks - 1, 2})
			return t.expectSense(scsi.LBAOutOfRange, cdb, out, 0)
		}},
		{"SBC-3 UNMAP", "UNMAP with more block descriptors than the limit is refused", []byte{0x42}, func(t *target) error {
			if t.blockLimits.unmapDescriptors == 0 || t.blockLimits.unmapDescriptors > 1000 {
				return nil
			}
			cdb, out := unmapCDB(make([][2]uint64, t.blockLimits.unmapDescriptors+1)...)
			return t.expectSense(scsi.InvalidParameter, cdb, out, 0)
		}},
		{"SBC-3 UNMAP", "UNMAP with a parameter list shorter than its header is refused", []byte{0x42}, func(t *target) error {
			cdb, out := unmapCDB([2]uint64{0, 1})
			cdb[8] = 4
			return t.expectSense(scsi.ParamLength, cdb, out[:4], 0)
		}},
		{"SBC-3 WRITE SAME (16)", "blocks of a WRITE SAME with UNMAP read as zeros", []byte{0x93}, func(t *target) error {
			if _, err := t.writePattern(12, 4); err != nil {
				return err
			}
			if _, err := t.expectGood(withFlags(blockCDB(0x93, 0, 4), 8), make([]byte, t.blockSize), 0); err != nil {
				return err
			}
			return t.expectData(0, make([]byte, 4*t.blockSize))
		}},
	}
}

// transportChecks returns the checks of iSCSI itself (RFC 7143).
func transportChecks() (list []check) {
	const clause = "RFC 7143 11.4.5"
	for _, op := range []byte{0x28, 0xa8, 0x88} {
		list = append(list, check{clause, opNames[op] + ": residual underflow if the initiator expects more data", []byte{op}, func(t *target) error {
			return t.expectResidual(blockCDB(op, 0, 1), nil, t.blockSize+100, 100, true)
		}}, check{clause, opNames[op] + ": residual overflow if the initiator expects less data", []byte{op}, func(t *target) error {
			return t.expectResidual(blockCDB(op, 0, 2), nil, t.blockSize, t.blockSize, false)
		}})
	}
	for _, op := range []byte{0x2a, 0xaa, 0x8a} {
		list = append(list, check{clause, opNames[op] + ": residual underflow if more data is sent, and only the CDB's blocks are written", []byte{op}, func(t *target) error {
			old, err := t.writePattern(13, 4)
			if err != nil {
				return err
			}
			b := pattern(op, t.blockSize+100)
			if err := t.expectResidual(blockCDB(op, 1, 1), b, 0, 100, true); err != nil {
				return err
			}
			copy(old[t.blockSize:2*t.blockSize], b)
			return t.expectData(0, old)
		}}, check{clause, opNames[op] + ": residual overflow if less data is sent, and only that data is written", []byte{op}, func(t *target) error {
			old, err := t.writePattern(14, 4)
			if err != nil {
				return err
			}
			b := pattern(op, t.blockSize)
			if err := t.expectResidual(blockCDB(op, 1, 2), b, 0, t.blockSize, false); err != nil {
				return err
			}
			copy(old[t.blockSize:], b)
			return t.expectData(0, old)
		}}, check{clause, opNames[op] + ": residual overflow if no data is sent, and nothing is written", []byte{op}, func(t *target) error {
			old, err := t.writePattern(15, 4)
			if err != nil {
				return err
			}
			if err := t.expectResidual(blockCDB(op, 1, 1), nil, 0, t.blockSize, false); err != nil {
				return err
			}
			return t.expectData(0, old)
		}})
	}
	return append(list,
		check{"RFC 7143 sequence errors", "a gap in DataSN fails the command and keeps the session", []byte{0x8a}, func(t *target) error {
			old, err := t.writePattern(16, OverwrittenBlocks)
			if err != nil {
				return err
			}
			r, err := t.session.DoAt(t.ctx, 0, blockCDB(0x8a, 0, OverwrittenBlocks), pattern(99, OverwrittenBlocks*t.blockSize), 0, 3)
			if err != nil {
				return err
			}
			if r.Status != scsi.CheckCondition {
				return errors.New(describe(r))
			}
			return t.expectData(0, old)
		}},
		check{"SAM-5 incorrect logical unit", "an absent LUN is refused and reported by INQUIRY", nil, func(t *target) error {
			r, err := t.session.DoAt(t.ctx, 7<<48, inquiryCDB(0, 0, 36), nil, 36, 0)
			if err != nil {
				return err
			}
			if r.Status != scsi.Good || len(r.Data) < 1 || r.Data[0]>>5 == 0 {
				return fmt.Errorf("INQUIRY: %s, %x", describe(r), r.Data)
			}
			if r, err = t.session.DoAt(t.ctx, 7<<48, testUnitReadyCDB(), nil, 0, 0); err != nil {
				return err
			}
			if s, _ := scsi.ParseSense(r.Sense); s != scsi.NoSuchLUN {
				return errors.New(describe(r))
			}
			return nil
		}},
		check{"RFC 7143 11.6", "an unknown task management function is reported as not supported", nil, func(t *target) error { return t.expectTaskResponse(iscsi.TaskFunction(77), 5) }},
		check{"RFC 7143 11.6", "LOGICAL UNIT RESET is answered", nil, func(t *target) error { return t.expectTaskResponse(iscsi.LUNReset, 0) }},
		check{"RFC 7143 11.6", "TASK REASSIGN is refused at error recovery level 0", nil, func(t *target) error { return t.expectTaskResponse(iscsi.TaskReassign, 4) }},
		check{"RFC 7143 4.2.2.1", "1000 writes queued at once end GOOD", []byte{0x8a}, checkManyWrites},
		check{"RFC 7143 11.6", "every ABORT TASK is answered, whether its task still exists or not", []byte{0x8a}, checkAborts},
	)
}

// expectResidual runs a command that must end GOOD with a residual count of want bytes.
func (t *target) expectResidual(cdb, dataOut []byte, inLength, want int, underflow bool) error {
	result, err := t.do(cdb, dataOut, inLength)
	if err != nil {
		return err
	}
	if result.Status != scsi.Good || result.Underflow != underflow || result.Overflow == underflow || int(result.Residual) != want {
		return fmt.Errorf("%s, residual %d, underflow %v, overflow %v; want %d", describe(result), result.Residual, result.Underflow, result.Overflow, want)
	}
	return nil
}

// expectTaskResponse runs a task management function that must be answered with response want.
func (t *target) expectTaskResponse(function iscsi.TaskFunction, want byte) error {
	response := make(chan error, 1)
	t.session.Manage(function, func(code byte, err error) {
		if err == nil && code != want {
			err = fmt.Errorf("response %d, want %d", code, want)
		}
		response <- err
	})
	select {
	case err := <-response:
		return err
	case <-t.ctx.Done():
		return errors.New("no response to the task management function")
	}
}

// checkManyWrites submits more writes than fit into a command window. The initiator keeps to the
// window that the target advertises, so the target has no reason to refuse one.
func checkManyWrites(t *target) error {
	const writes = 1000
	results := make(chan error, writes)
	for i := range writes {
		lba := uint64(i % OverwrittenBlocks)
		t.session.Submit(0, blockCDB(0x8a, lba, 1), pattern(byte(i), t.blockSize), 0, func(r iscsi.Result, err error) {
			if err == nil && r.Status != scsi.Good {
				err = errors.New(describe(r))
			}
			results <- err
		})
	}
	failed := 0
	var first error
	for range writes {
		select {
		case err := <-results:
			if err != nil {
				if failed++; first == nil {
					first = err
				}
			}
		case <-t.ctx.Done():
			return errors.New("some writes did not end in time")
		}
	}
	if failed > 0 {
		return fmt.Errorf("%d of %d writes failed, first: %w", failed, writes, first)
	}
	return nil
}

// checkAborts submits writes and aborts each at once.
func checkAborts(t *target) error {
	const writes = 64
	done := make(chan byte, writes)
	for i := range writes {
		handle := t.session.Submit(0, blockCDB(0x8a, uint64(i), 1), pattern(byte(i), t.blockSize), 0, func(iscsi.Result, error) {})
		if !t.session.Abort(handle, func(code byte) { done <- code }) {
			done <- 0 // the command had not been sent
		}
	}
	for range writes {
		select {
		case code := <-done:
			if code != iscsi.FunctionComplete && code != iscsi.FunctionNoTask {
				return fmt.Errorf("response %d to an ABORT TASK", code)
			}
		case <-t.ctx.Done():
			return errors.New("an ABORT TASK was not answered in time")
		}
	}
	return nil
}
