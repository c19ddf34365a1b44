package scheduler

import (
	"net"
	"sync/atomic"

	"merlinhitch/internal/runtime/env"
)

const (
	// maxReadAhead bounds what a client may send ahead of its answers; what is beyond that
	// stays with the kernel, and the client's end behind it unseen. Where all clients together
	// have sent more than their budget, one may have sureAhead still.
	maxReadAhead      = 256 << 10
	reservedReadAhead = 16 << 10
	readAheadChunk    = 2 << 10
	// markIntervalMS is how exactly times are known, ms: it bounds the marks of a request that
	// comes byte by byte.
	markIntervalMS = 1.0
)

// readAhead is the reading half of a client's connection. While a request is open it reads on,
// so that the client's leaving is seen behind what the client sent readAhead, and it knows when
// what was read came. One goroutine uses it.
type readAhead struct {
	conn      net.Conn
	now       func() float64
	budget    *readAheadBudget
	arrivedAt float64 // since when the first bytes may have lain unread
	buffer    []byte
	bytesRead int64 // bytes of the stream so far
	marks     []arrivalMark
	err       error // the stream's end
}

// readAheadBudget bounds what all clients together may have sent ahead, in bytes.
type readAheadBudget struct{ used, limit atomic.Int64 }

func (b *readAheadBudget) add(n int) { b.used.Add(int64(n)) }

func (b *readAheadBudget) exhausted() bool { return b.used.Load() >= b.limit.Load() }

// arrivalMark says when the stream had come up to a byte.
type arrivalMark struct {
	offset int64
	time   float64
}

// Read implements io.Reader: first what was kept.
func (a *readAhead) Read(b []byte) (int, error) {
	if len(a.buffer) > 0 {
		n := copy(b, a.buffer)
		a.budget.add(-n)
		if a.buffer = a.buffer[n:]; len(a.buffer) == 0 {
			a.buffer = nil
		}
		return n, nil
	}
	if a.err != nil {
		return 0, a.err
	}
	n, err := a.conn.Read(b)
	a.recordRead(n, err)
	return n, err
}

// recordRead notes bytes and the end of the stream.
func (a *readAhead) recordRead(n int, err error) {
	if n > 0 {
		now := a.now()
		if a.bytesRead == 0 {
			now = min(now, a.arrivedAt)
		}
		a.bytesRead += int64(n)
		if count := len(a.marks); count > 0 && now-a.marks[count-1].time < markIntervalMS {
			a.marks[count-1].offset = a.bytesRead
		} else {
			a.marks = append(a.marks, arrivalMark{a.bytesRead, now})
		}
	}
	if err != nil && err != env.ErrNoData && !env.IsTimeout(err) {
		a.err = err
	}
}

func (a *readAhead) full() bool {
	return len(a.buffer) >= maxReadAhead || len(a.buffer) >= reservedReadAhead && a.budget.exhausted()
}

// discard forgets what was kept.
func (a *readAhead) discard() {
	a.budget.add(-len(a.buffer))
	a.buffer = nil
}

// readMore waits until readMore has come and keeps it.
func (a *readAhead) readMore() error { return a.fill(a.conn.Read) }

// readAvailable keeps what has come already; the error is the stream's end.
func (a *readAhead) readAvailable() error {
	for a.err == nil && !a.full() {
		if a.fill(func(b []byte) (int, error) { return env.ReadAvailable(a.conn, b) }) != nil {
			break
		}
	}
	return a.err
}

func (a *readAhead) fill(read func([]byte) (int, error)) error {
	if a.err != nil {
		return a.err
	}
	var chunk [readAheadChunk]byte
	n, err := read(chunk[:])
	a.buffer = append(a.buffer, chunk[:n]...)
	a.budget.add(n)
	a.recordRead(n, err)
	return err
}

// arrivalTime is when the stream had come up to a byte, as far as that is known still.
func (a *readAhead) arrivalTime(offset int64) float64 {
	for _, m := range a.marks {
		if m.offset >= offset {
			return m.time
		}
	}
	return a.now()
}

// consumedArrivalTime is when the stream had come up to all but the last so many bytes of what was read
// from here. Earlier times are forgotten.
func (a *readAhead) consumedArrivalTime(unread int) float64 {
	offset := a.bytesRead - int64(len(a.buffer)) - int64(unread)
	for len(a.marks) > 1 && a.marks[0].offset < offset {
		a.marks = a.marks[1:]
	}
	if len(a.marks) == 0 {
		return a.now()
	}
	return a.marks[0].time
}
