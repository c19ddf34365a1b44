package diskproto

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"reflect"
	"testing"
)

type message interface {
	Append([]byte) []byte
	Parse([]byte) error
}

var samples = []struct {
	kind Kind
	m    message
	zero func() message
}{
	{KindHello, &Hello{1, 2, 99, "h0"}, func() message { return &Hello{} }},
	{KindWelcome, &Welcome{1, 7, 8, 9, "d0", "hall-a", "r1"}, func() message { return &Welcome{} }},
	{KindDo, &Do{Op: 2, Effect: Keyed, Attempt: 3, Shard: 4, Host: 5, Seq: 6, Origin: 7, Deadline: 8, Fence: 11, Gen: 12, Copied: true, Units: 1.5, Plan: "p", Volume: "v",
		Key: "v/1", LBA: 9, Blocks: 10, Runs: []Run{{1, 2}, {3, 4}}, Data: []byte("data")}, func() message { return &Do{} }},
	{KindAnswer, &Answer{Result: OK, Clock: 7, Dropped: true, Use: 5, Others: 2.5, Report: []Figure{{"waiting", 3}}, Data: []byte("data")}, func() message { return &Answer{} }},
	{KindJoin, &Join{3, 4}, func() message { return &Join{} }},
	{KindJoined, &Joined{OK, Position{1, 2}}, func() message { return &Joined{} }},
	{KindCopy, &Copy{At: Position{1, 2}, First: true, Part: true, Age: 3, Do: Do{Op: 2, Volume: "v", LBA: 9, Blocks: 1, Data: []byte("data")}}, func() message { return &Copy{} }},
	{KindProbed, &Probed{Clock: 5, Report: []Figure{{"cpu", 0.5}}}, func() message { return &Probed{} }},
}

func TestRoundTrips(t *testing.T) {
	for _, s := range samples {
		b := Append(nil, s.kind, 42, s.m)
		f, err := NewReader(bufio.NewReader(bytes.NewReader(b))).Next()
		if err != nil || f.Kind != s.kind || f.Tag != 42 {
			t.Fatalf("%T: %+v, %v", s.m, f, err)
		}
		got := s.zero()
		if err := got.Parse(f.Body); err != nil || !reflect.DeepEqual(got, s.m) {
			t.Errorf("%T: %+v, %v", s.m, got, err)
		}
		// A message cut anywhere, or with more behind it, is refused.
		for n := range f.Body {
			if err := s.zero().Parse(f.Body[:n]); err == nil {
				t.Errorf("%T cut at %d is taken", s.m, n)
			}
		}
		if err := s.zero().Parse(append(bytes.Clone(f.Body), 0)); err == nil {
			t.Errorf("%T with a byte too many is taken", s.m)
		}
	}
}

// A frame with any one bit turned is refused, or is cut short.
func TestEveryBitIsGuarded(t *testing.T) {
	b := Append(nil, KindDo, 42, samples[2].m)
	for i := range len(b) * 8 {
		c := bytes.Clone(b)
		c[i/8] ^= 1 << (i % 8)
		var fe *FrameError
		if f, err := NewReader(bufio.NewReader(bytes.NewReader(c))).Next(); !errors.As(err, &fe) && !errors.Is(err, io.ErrUnexpectedEOF) {
			t.Fatalf("bit %d: %+v, %v", i, f.Kind, err)
		}
	}
}

func TestReaderBounds(t *testing.T) {
	b := Append(nil, KindProbe, 1, nil)
	b[4], b[5], b[6], b[7] = 0xff, 0xff, 0xff, 0xff
	r := NewReader(bufio.NewReader(bytes.NewReader(b)))
	var fe *FrameError
	if _, err := r.Next(); !errors.As(err, &fe) || cap(r.buf) > 0 {
		t.Errorf("a body of 4 GiB: %v, %d bytes allocated", err, cap(r.buf))
	}
	if _, err := NewReader(bufio.NewReader(bytes.NewReader(nil))).Next(); err != io.EOF {
		t.Errorf("nothing: %v", err)
	}
	if _, err := NewReader(bufio.NewReader(bytes.NewReader(b[:7]))).Next(); !errors.Is(err, io.ErrUnexpectedEOF) {
		t.Errorf("half a head: %v", err)
	}
}

func TestResults(t *testing.T) {
	for r := OK; r <= Stale; r++ {
		if want := r == Full || r == Draining || r == WrongShard || r == Expired || r == Fenced || r == Stale; r.ProvesNothingRan() != want || r.String() == "?" {
			t.Errorf("%d (%s) proves that nothing ran: %v", r, r, r.ProvesNothingRan())
		}
	}
	a := &Answer{}
	if err := a.Parse((&Answer{Result: Stale + 1}).Append(nil)); err == nil {
		t.Error("an unknown result is taken")
	}
}

func FuzzMessages(f *testing.F) {
	for i, s := range samples {
		f.Add(byte(i), s.m.Append(nil))
	}
	f.Fuzz(func(t *testing.T, which byte, b []byte) {
		s := samples[int(which)%len(samples)]
		m := s.zero()
		if m.Parse(b) != nil {
			return
		}
		again := s.zero()
		if err := again.Parse(m.Append(nil)); err != nil {
			t.Fatalf("%T: its own bytes are refused: %v", m, err)
		}
		if x, y := m.Append(nil), again.Append(nil); !bytes.Equal(x, y) {
			t.Fatalf("%T is not the same after a round trip", m)
		}
	})
}

func FuzzFrames(f *testing.F) {
	f.Add(Append(nil, KindHello, 1, samples[0].m))
	f.Fuzz(func(t *testing.T, b []byte) {
		r := NewReader(bufio.NewReader(bytes.NewReader(b)))
		for {
			if _, err := r.Next(); err != nil {
				return
			}
		}
	})
}
