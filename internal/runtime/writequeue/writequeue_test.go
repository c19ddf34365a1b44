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

func appendString(s string) func([]byte) []byte {
	return func(b []byte) []byte { return append(b, s...) }
}

func TestFinishWritesBufferedData(t *testing.T) {
	a, b := net.Pipe()
	o := New(env.NewReal(), a, 1<<20, time.Minute)
	var buffered atomic.Int64
	o.OnBytesChanged = func(d int) { buffered.Add(int64(d)) }
	o.Buffer(appendString("one "))
	o.Enqueue(appendString("two "))
	o.Enqueue(appendString("three"))
	o.Finish()
	if o.Enqueue(appendString("more")) {
		t.Error("Enqueue accepted data after Finish")
	}
	got, err := io.ReadAll(b)
	o.Wait()
	if string(got) != "one two three" || err != nil || buffered.Load() != 0 {
		t.Errorf("read %q, error %v, %d bytes still counted as buffered", got, err, buffered.Load())
	}
}

// A peer that does not read cannot make the queue buffer more than its limit: the
// connection is closed instead.
func TestOverTheLimit(t *testing.T) {
	a, b := net.Pipe()
	defer b.Close()
	o := New(env.NewReal(), a, 1000, time.Minute)
	var buffered atomic.Int64
	o.OnBytesChanged = func(d int) { buffered.Add(int64(d)) }
	accepted := 0
	for o.Enqueue(func(x []byte) []byte { return append(x, bytes.Repeat([]byte{1}, 100)...) }) {
		accepted++
	}
	o.Wait()
	if accepted < 10 || accepted > 20 || buffered.Load() != 0 {
		t.Errorf("%d calls of Enqueue accepted, want 10 to 20; %d bytes still counted as buffered", accepted, buffered.Load())
	}
}

func TestSlowReaderIsCut(t *testing.T) {
	a, b := net.Pipe()
	defer b.Close()
	o := New(env.NewReal(), a, 1<<20, time.Millisecond)
	o.Enqueue(appendString("nobody reads this"))
	o.Wait() // returns because the write timed out
	if o.Enqueue(appendString("x")) {
		t.Error("Enqueue accepted data after a write timed out")
	}
}
