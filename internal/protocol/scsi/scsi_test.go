package scsi

import (
	"bytes"
	"encoding/binary"
	"testing"
)

var disk = &Disk{Blocks: 10000, BlockSize: 512, Name: "vol-1", Extent: 64}

func cdb(b ...byte) (c [16]byte) {
	copy(c[:], b)
	return c
}

func TestTransfers(t *testing.T) {
	be := binary.BigEndian
	long := func(op byte, lba uint64, n uint32) [16]byte {
		c := cdb(op)
		be.PutUint64(c[2:], lba)
		be.PutUint32(c[10:], n)
		return c
	}
	cases := []struct {
		name string
		cdb  [16]byte
		out  int
		want IO
	}{
		{"READ (6)", cdb(0x08, 0x01, 0x02, 0x03, 5), 0, IO{Op: Read, LBA: 0x10203 % 0x200000, Blocks: 5}},
		{"READ (6) of 256", cdb(0x08, 0, 0, 1, 0), 0, IO{Op: Read, LBA: 1, Blocks: 256}},
		{"READ (10), FUA", cdb(0x28, 8, 0, 0, 1, 0, 0, 0, 7), 0, IO{Op: Read, LBA: 256, Blocks: 7, FUA: true}},
		{"READ (12)", cdb(0xa8, 0, 0, 0, 1, 0, 0, 0, 0, 7), 0, IO{Op: Read, LBA: 256, Blocks: 7}},
		{"READ (16)", long(0x88, 9990, 10), 0, IO{Op: Read, LBA: 9990, Blocks: 10}},
		{"WRITE (6)", cdb(0x0a, 0, 0, 1, 2), 1024, IO{Op: Write, LBA: 1, Blocks: 2, Out: 1024}},
		{"WRITE (10)", cdb(0x2a, 0, 0, 0, 0, 1, 0, 0, 2), 1024, IO{Op: Write, LBA: 1, Blocks: 2, Out: 1024}},
		{"WRITE (10) with half of its data", cdb(0x2a, 0, 0, 0, 0, 1, 0, 0, 2), 600, IO{Op: Write, LBA: 1, Blocks: 1, Out: 512}},
		{"WRITE (16)", long(0x8a, 1, 2), 1024, IO{Op: Write, LBA: 1, Blocks: 2, Out: 1024}},
		{"VERIFY (10), medium", cdb(0x2f, 0, 0, 0, 0, 1, 0, 0, 2), 0, IO{Op: Verify, LBA: 1, Blocks: 2}},
		{"VERIFY (16), bytes", func() [16]byte { c := long(0x8f, 1, 2); c[1] = 2; return c }(), 1024, IO{Op: Verify, LBA: 1, Blocks: 2, Out: 1024, Compare: true}},
		{"SYNCHRONIZE CACHE (10), all", cdb(0x35), 0, IO{Op: Flush, Blocks: 10000}},
		{"WRITE SAME (16)", long(0x93, 1, 2), 512, IO{Op: WriteSame, LBA: 1, Blocks: 2, Out: 512}},
		{"COMPARE AND WRITE", func() [16]byte { c := long(0x89, 1, 0); c[13] = 1; return c }(), 1024, IO{Op: CompareAndWrite, LBA: 1, Blocks: 1, Out: 1024}},
	}
	for _, c := range cases {
		d := *disk
		d.Blocks = max(d.Blocks, c.want.LBA+uint64(c.want.Blocks))
		if c.want.Op == Flush {
			d.Blocks = 10000
		}
		o := Decode(&d, c.cdb, make([]byte, c.out), nil)
		if o.IO == nil {
			t.Errorf("%s: %+v", c.name, o.Sense)
			continue
		}
		got := *o.IO
		got.Unmaps = nil
		if got.Op != c.want.Op || got.LBA != c.want.LBA || got.Blocks != c.want.Blocks || got.FUA != c.want.FUA || got.Out != c.want.Out || got.Compare != c.want.Compare {
			t.Errorf("%s: %+v", c.name, got)
		}
	}
}

func TestRefusals(t *testing.T) {
	bigCaw := cdb(0x89)
	bigCaw[13] = MaxCompare + 1
	beyond := cdb(0x88, 0, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0, 0, 0, 1)
	cases := []struct {
		name string
		cdb  [16]byte
		out  int
		want Sense
	}{
		{"unknown opcode", cdb(0xff), 0, InvalidOpcode},
		{"RESERVE (6)", cdb(0x16), 0, InvalidOpcode},
		{"unknown service action", cdb(0x9e, 0x13), 0, InvalidField},
		{"PRE-FETCH beyond the end", cdb(0x34, 0, 0, 0, 0x27, 0x0f, 0, 0, 2), 0, LBAOutOfRange},
		{"beyond the end", cdb(0x28, 0, 0, 0, 0x27, 0x0f, 0, 0, 2), 0, LBAOutOfRange},
		{"an address that wraps", beyond, 0, LBAOutOfRange},
		{"too long", cdb(0x28, 0, 0, 0, 0, 0, 0, 0x08, 1), 0, InvalidField},
		{"protection", cdb(0x28, 0x20, 0, 0, 0, 0, 0, 0, 1), 0, InvalidField},
		{"NACA", cdb(0x00, 0, 0, 0, 0, 4), 0, InvalidField},
		{"too little data to compare", cdb(0x2f, 2, 0, 0, 0, 0, 0, 0, 2), 512, InvalidField},
		{"a reporting option that is reserved", cdb(0xa3, 0x0c, 4, 0, 0, 0, 0, 0, 0, 255), 0, InvalidField},
		{"a service action of none", cdb(0xa3, 0x0c, 2, 0x28, 0, 0, 0, 0, 0, 255), 0, InvalidField},
		{"which service action is not said", cdb(0xa3, 0x0c, 1, 0x9e, 0, 0, 0, 0, 0, 255), 0, InvalidField},
		{"WRITE SAME of none", cdb(0x41), 512, InvalidField},
		{"VERIFY with BYTCHK 3", cdb(0x2f, 6, 0, 0, 0, 0, 0, 0, 1), 512, InvalidField},
		{"COMPARE AND WRITE too long", bigCaw, 1 << 20, InvalidField},
		{"UNMAP with a short list", cdb(0x42, 0, 0, 0, 0, 0, 0, 0, 24), 8, ParamLength},
		{"a page that is not", cdb(0x12, 1, 0x99, 0, 255), 0, InvalidField},
		{"a page without EVPD", cdb(0x12, 0, 0x80, 0, 255), 0, InvalidField},
		{"saved mode pages", cdb(0x1a, 0, 0xff, 0, 255), 0, SavingUnsupported},
		{"an unknown mode page", cdb(0x1a, 0, 0x01, 0, 255), 0, InvalidField},
		{"REPORT LUNS with little room", cdb(0xa0, 0, 0, 0, 0, 0, 0, 0, 0, 8), 0, InvalidField},
	}
	for _, c := range cases {
		o := Decode(disk, c.cdb, make([]byte, c.out), []uint64{0})
		if o.Sense == nil || *o.Sense != c.want {
			t.Errorf("%s: %+v, want %v", c.name, o, c.want)
		}
	}
	if o := Decode(nil, cdb(0x28, 0, 0, 0, 0, 0, 0, 0, 1), nil, nil); o.Sense == nil || *o.Sense != NoSuchLUN {
		t.Errorf("no unit: %+v", o)
	}
	ro := *disk
	ro.ReadOnly = true
	if o := Decode(&ro, cdb(0x2a, 0, 0, 0, 0, 0, 0, 0, 1), make([]byte, 512), nil); o.Sense == nil || o.Sense.Key != 7 {
		t.Errorf("write to a read-only unit: %+v", o)
	}
}

func TestUnmap(t *testing.T) {
	list := make([]byte, 8+32)
	binary.BigEndian.PutUint16(list[2:], 32)
	binary.BigEndian.PutUint64(list[8:], 100)
	binary.BigEndian.PutUint32(list[16:], 10)
	binary.BigEndian.PutUint64(list[24:], 500)
	binary.BigEndian.PutUint32(list[32:], 20)
	c := cdb(0x42, 0, 0, 0, 0, 0, 0, 0, 40)
	o := Decode(disk, c, list, nil)
	if o.IO == nil || len(o.IO.Unmaps) != 2 || o.IO.Unmaps[1] != (Run{500, 20}) {
		t.Fatalf("%+v", o)
	}
	binary.BigEndian.PutUint64(list[24:], 9990)
	if o = Decode(disk, c, list, nil); o.Sense == nil || *o.Sense != LBAOutOfRange {
		t.Errorf("beyond the end: %+v", o)
	}
	binary.BigEndian.PutUint64(list[24:], 0)
	binary.BigEndian.PutUint32(list[32:], MaxUnmapBlocks)
	if o = Decode(disk, c, list, nil); o.Sense == nil || *o.Sense != InvalidParameter {
		t.Errorf("too many blocks: %+v", o)
	}
}

func TestPages(t *testing.T) {
	o := Decode(disk, cdb(0x12, 0, 0, 0, 255), nil, nil)
	if len(o.Data) != 74 || o.Data[4] != 69 || string(o.Data[8:16]) != vendor || len(vendor) != 8 || len(product) != 16 || len(revision) != 4 {
		t.Errorf("standard inquiry: %x", o.Data)
	}
	if o := Decode(nil, cdb(0x12, 0, 0, 0, 255), nil, nil); o.Data[0] != 0x7f {
		t.Errorf("inquiry of no unit: %x", o.Data[0])
	}
	pages := Decode(disk, cdb(0x12, 1, 0, 0, 255), nil, nil).Data[4:]
	if !bytes.Equal(pages, []byte{0x00, 0x80, 0x83, 0xb0, 0xb1, 0xb2}) {
		t.Errorf("pages: %x", pages)
	}
	for _, p := range pages {
		d := Decode(disk, cdb(0x12, 1, p, 0xff, 0xff), nil, nil).Data
		if int(d[2])<<8|int(d[3]) != len(d)-4 || d[1] != p {
			t.Errorf("page %02x: %x", p, d)
		}
		if short := Decode(disk, cdb(0x12, 1, p, 0, 3), nil, nil).Data; len(short) != 3 {
			t.Errorf("page %02x cut to %d bytes", p, len(short))
		}
	}
	if d := Decode(disk, cdb(0x25), nil, nil).Data; binary.BigEndian.Uint32(d) != 9999 || binary.BigEndian.Uint32(d[4:]) != 512 {
		t.Errorf("capacity: %x", d)
	}
	big := *disk
	big.Blocks = 1 << 40
	if d := Decode(&big, cdb(0x25), nil, nil).Data; binary.BigEndian.Uint32(d) != 0xffffffff {
		t.Errorf("capacity (10) of a large unit: %x", d)
	}
	c := cdb(0x9e, 0x10)
	c[13] = 32
	if d := Decode(&big, c, nil, nil).Data; binary.BigEndian.Uint64(d) != 1<<40-1 || d[14]&0x80 == 0 {
		t.Errorf("capacity (16): %x", d)
	}
	for _, long := range []bool{false, true} {
		c := cdb(0x1a, 0, 0x3f, 0, 255)
		if long {
			c = cdb(0x5a, 0, 0x3f, 0, 0, 0, 0, 0, 255)
		}
		d := Decode(disk, c, nil, nil).Data
		n := int(d[0]) + 1
		if long {
			n = int(binary.BigEndian.Uint16(d)) + 2
		}
		if n != len(d) {
			t.Errorf("mode sense says %d of %d bytes", n, len(d))
		}
	}
	c = cdb(0xa0, 0, 0, 0, 0, 0, 0, 0, 1, 0)
	if d := Decode(disk, c, nil, []uint64{0}).Data; len(d) != 16 || d[3] != 8 {
		t.Errorf("report luns: %x", d)
	}
}

// Every command that is reported is understood, with the bits that it reports,
// and every other is refused.
func TestSupportedCodes(t *testing.T) {
	all := Decode(disk, cdb(0xa3, 0x0c, 0, 0, 0, 0, 0, 0, 0xff, 0xff), nil, nil).Data[4:]
	listed := map[byte]bool{}
	for at := 0; at < len(all); at += 8 {
		op, sa := all[at], all[at+3]
		listed[op] = true
		option := byte(1)
		if all[at+5]&1 != 0 {
			option = 2
		}
		one := Decode(disk, cdb(0xa3, 0x0c, option, op, 0, sa, 0, 0, 0xff, 0xff), nil, nil).Data
		timed := Decode(disk, cdb(0xa3, 0x0c, 0x80|option, op, 0, sa, 0, 0, 0xff, 0xff), nil, nil).Data
		if timed[1] != 0x83 || len(timed) != len(one)+12 {
			t.Errorf("opcode %02x/%02x with timeouts: %x", op, sa, timed)
		}
		if one[1] != 3 || one[4] != op || int(one[3]) != int(all[at+7]) {
			t.Errorf("opcode %02x/%02x: %x", op, sa, one)
		}
	}
	for op := range 256 {
		c := cdb(byte(op))
		o := Decode(disk, c, make([]byte, 4096), []uint64{0})
		unknown := o.Sense != nil && *o.Sense == InvalidOpcode
		if unknown == listed[byte(op)] {
			t.Errorf("opcode %02x: listed %v, %+v", op, listed[byte(op)], o.Sense)
		}
	}
}

func FuzzDecode(f *testing.F) {
	f.Add([]byte{0x28, 0, 0, 0, 0, 1, 0, 0, 1}, []byte{})
	f.Add([]byte{0x42, 0, 0, 0, 0, 0, 0, 0, 24}, make([]byte, 24))
	f.Fuzz(func(t *testing.T, c, out []byte) {
		var b [16]byte
		copy(b[:], c)
		o := Decode(disk, b, out, []uint64{0})
		n := 0
		for _, has := range []bool{o.IO != nil, o.Data != nil, o.Sense != nil, o.Reserve != nil} {
			if has {
				n++
			}
		}
		if n != 1 {
			t.Fatalf("%d outcomes of %x", n, c)
		}
		if o.IO != nil && o.IO.Op != Unmap && (o.IO.LBA+uint64(o.IO.Blocks) > disk.Blocks || o.IO.Out > len(out)) {
			t.Fatalf("%x is let through as %+v", c, o.IO)
		}
	})
}
