package iscsi

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"testing"
)

// A peer that announces much data and sends little must not make a Reader hold as much; what it holds
// beyond a small segment is reserved first, and given back with the next PDU or at the end.
func TestAnnouncedDataIsNotAllocated(t *testing.T) {
	const announced = 256 << 10
	data := bytes.Repeat([]byte("data"), announced/4)
	write := New(OpDataOut)
	write.Data = data
	encoded := write.Append(nil, Digests{})
	reserved, refuse := 0, false
	newReader := func(stream []byte) *Reader {
		r := NewReader(bufio.NewReader(bytes.NewReader(stream)), announced)
		r.Allocate = func(n int) []byte {
			if refuse {
				return nil
			}
			reserved += n
			return make([]byte, n)
		}
		r.Free = func(segment []byte) { reserved -= len(segment) }
		return r
	}

	r := newReader(encoded[:48+smallSegment-1])
	if _, err := r.Next(); err != io.ErrUnexpectedEOF || reserved != 0 || cap(r.small) > 2*smallSegment {
		t.Errorf("%d bytes came: error %v, %d bytes reserved, %d held, want none but the small ones", smallSegment-1, err, reserved, cap(r.small))
	}
	r = newReader(encoded[:48+2*smallSegment])
	if _, err := r.Next(); err != io.ErrUnexpectedEOF || reserved != announced {
		t.Errorf("%d bytes came: error %v, %d bytes reserved, want %d", 2*smallSegment, err, reserved, announced)
	}
	if r.Close(); reserved != 0 {
		t.Errorf("%d bytes are reserved after the end", reserved)
	}
	r = newReader(append(bytes.Clone(encoded), New(OpNopOut).Append(nil, Digests{})...))
	if p, err := r.Next(); err != nil || !bytes.Equal(p.Data, data) || reserved != announced {
		t.Errorf("whole: error %v, %d bytes reserved, want the data and %d", err, reserved, announced)
	}
	if p, err := r.Next(); err != nil || len(p.Data) != 0 || reserved != 0 {
		t.Errorf("next PDU: error %v, %d bytes reserved, want none", err, reserved)
	}
	refuse = true
	var noRoom *NoRoomError
	if _, err := newReader(encoded).Next(); !errors.As(err, &noRoom) || noRoom.Length != announced || reserved != 0 {
		t.Errorf("without room: error %v, %d bytes reserved, want a NoRoomError and none", err, reserved)
	}
}
