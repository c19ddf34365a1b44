package writequeue

import (
	"bytes"
	"io"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/goleak"

	"merlinhitch/internal/runtime/env"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

func add(s string) func([]byte) []byte { return func(b []byte) []byte { return append(b, s...) } }

func TestFinishWritesWhatWaits(t *testing.T) {
	a, b := net.Pipe()
	o := New(env.NewReal(), a, 1<<20, time.Minute)
	var held atomic.Int64
	o.OnBytesChanged = func(d int) { held.Add(int64(d)) }
	o.Buffer(add("one "))
	o.Enqueue(add("two "))
	o.Enqueue(add("three"))
	o.Finish()
	if o.Enqueue(add("more")) {
		t.Error("taken after Finish")
	}
	got, err := io.ReadAll(b)
	o.Wait()
	if string(got) != "one two three" || err != nil || held.Load() != 0 {
		t.Errorf("%q, %v, %d held", got, err, held.Load())
	}
}

// A peer that does not read costs at most the limit, and then its connection.
func TestOverTheLimit(t *testing.T) {
	a, b := net.Pipe()
	defer b.Close()
	o := New(env.NewReal(), a, 1000, time.Minute)
	var held atomic.Int64
	o.OnBytesChanged = func(d int) { held.Add(int64(d)) }
	taken := 0
	for o.Enqueue(func(x []byte) []byte { return append(x, bytes.Repeat([]byte{1}, 100)...) }) {
		taken++
	}
	o.Wait()
	if taken < 10 || taken > 20 || held.Load() != 0 {
		t.Errorf("%d puts taken, %d held", taken, held.Load())
	}
}

func TestSlowReaderIsCut(t *testing.T) {
	a, b := net.Pipe()
	defer b.Close()
	o := New(env.NewReal(), a, 1<<20, time.Millisecond)
	o.Enqueue(add("nobody reads this"))
	o.Wait() // returns only because the write ran out of time
	if o.Enqueue(add("x")) {
		t.Error("taken after the cut")
	}
}
