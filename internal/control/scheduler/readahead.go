package scheduler

import (
	"cmp"
	"net"
	"slices"
	"sync/atomic"

	"merlinhitch/internal/runtime/env"
)

const (
	// maxReadAhead bounds the bytes read from a client while its request is open; the rest stays in
	// the kernel, where the close of the connection behind it is not seen. Each client may
	// have reservedReadAhead even when the budget of all clients is exhausted.
	maxReadAhead      = 256 << 10
	reservedReadAhead = 16 << 10
	readAheadChunk    = 2 << 10
	// kernelClockStepMS is the coarsest step of the kernel's times of arrival. Shorter waits in
	// the socket are not told from none.
	kernelClockStepMS = 10.0
	// markIntervalMS is the resolution of arrival times: it bounds the number of marks of a
	// request that arrives byte by byte.
	markIntervalMS = 1.0
)

// readAhead reads from a client's connection and records when bytes arrived. While a request is
// open it buffers what the client pipelines behind it, so that a close behind that data is seen.
// It is used by one goroutine.
type readAhead struct {
	conn      net.Conn
	now       func() float64
	budget    *readAheadBudget
	arrivedAt float64 // earliest time at which the first bytes may have arrived, ms
	buffer    []byte
	bytesRead int64 // total bytes read from the stream
	marks     []arrivalMark
	// lastArrival is the time of the newest mark so far, ms: bytes arrive in order.
	lastArrival float64
	err         error // what ended the stream; timeouts are not recorded
}

// readAheadBudget bounds the bytes buffered for all clients together.
type readAheadBudget struct{ used, limit atomic.Int64 }

func (b *readAheadBudget) add(n int) { b.used.Add(int64(n)) }

func (b *readAheadBudget) exhausted() bool { return b.used.Load() >= b.limit.Load() }

// arrivalMark records the time, ms, at which the stream was read up to offset.
type arrivalMark struct {
	offset int64
	time   float64
}

// Read implements io.Reader; buffered data comes first.
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

// recordRead records the arrival of n bytes, or the end of the stream.
func (a *readAhead) recordRead(n int, err error) {
	if n > 0 {
		a.mark(int64(n))
	}
	if err != nil && err != env.ErrNoData && !env.IsTimeout(err) {
		a.err = err
	}
}

// mark records when n bytes that were just read had arrived.
func (a *readAhead) mark(n int64) {
	now := a.now()
	first := a.bytesRead == 0
	a.bytesRead += n
	if count := len(a.marks); count > 0 && now-a.marks[count-1].time < markIntervalMS {
		a.marks[count-1].offset = a.bytesRead
		return
	}
	arrival := max(now-a.unreadTime(), a.lastArrival)
	if first {
		arrival = min(arrival, a.arrivedAt)
	}
	a.lastArrival = arrival
	a.marks = append(a.marks, arrivalMark{a.bytesRead, arrival})
}

// unreadTime returns for how long, ms, the bytes that were just read had waited in the socket,
// because this goroutine or the whole process ran late. It must be called after the clock was read,
// so that a delay between the two makes the arrival earlier and not later.
func (a *readAhead) unreadTime() float64 {
	elapsed, known := env.SinceLastReceive(a.conn)
	if ms := env.MS(elapsed); known && ms > kernelClockStepMS && ms <= maxListenQueueMS {
		return ms - kernelClockStepMS
	}
	return 0
}

// full reports whether no more may be read ahead.
func (a *readAhead) full() bool {
	return len(a.buffer) >= maxReadAhead || len(a.buffer) >= reservedReadAhead && a.budget.exhausted()
}

// discard drops the buffered data and returns its bytes to the budget.
func (a *readAhead) discard() {
	a.budget.add(-len(a.buffer))
	a.buffer = nil
}

// readMore waits for data and buffers it.
func (a *readAhead) readMore() error { return a.fill(a.conn.Read) }

// readAvailable buffers data that has already arrived. It returns an error if the stream has ended.
func (a *readAhead) readAvailable() error {
	for a.err == nil && !a.full() {
		if a.fill(func(b []byte) (int, error) { return env.ReadAvailable(a.conn, b) }) != nil {
			break
		}
	}
	return a.err
}

// fill appends the result of one read to the buffer.
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

// arrivalTime returns when the stream had arrived up to offset, or the present if no mark covers it.
func (a *readAhead) arrivalTime(offset int64) float64 {
	first, _ := slices.BinarySearchFunc(a.marks, offset, func(m arrivalMark, offset int64) int { return cmp.Compare(m.offset, offset) })
	if first == len(a.marks) {
		return a.now()
	}
	return a.marks[first].time
}

// consumedArrivalTime returns when the bytes handed out by Read had arrived, except for the last
// unread ones, which the caller still buffers. It drops the marks before that.
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
