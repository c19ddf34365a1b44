package scheduler

import (
	"bufio"
	"cmp"
	"math"
	"net"
	"slices"
	"sync"
	"sync/atomic"

	"merlinhitch/internal/runtime/env"
)

const (
	// maxReadAhead bounds the bytes kept of what a client sends while its request is open, and
	// reservedReadAhead is kept even when the budget of all clients is exhausted. Requests
	// beyond that are read, dropped and refused.
	maxReadAhead      = 128 << 10
	reservedReadAhead = 2 << 10
	// readBytes is the most that is read at once, and waitBytes while a read waits for data.
	readBytes = 16 << 10
	waitBytes = 1 << 10
	// skipAll, as a readAhead's skip, drops all that follows.
	skipAll = math.MaxInt
	// kernelClockStepMS is the coarsest step of the kernel's times of arrival. Shorter waits in
	// the socket are not told from none.
	kernelClockStepMS = 10.0
	// markIntervalMS is the finest resolution of arrival times. It is made coarser for a request that
	// would need more than maxMarks.
	markIntervalMS = 1.0
	maxMarks       = 64
	// minWaitMS is how long a read takes at the least that had to wait for data.
	minWaitMS = 0.5
	// settleMS exceeds the time until bytes come for which a closed receive window has opened.
	settleMS = 5.0
)

// readBuffers and waitBuffers hold buffers for reads: most connections wait for data at any time.
var (
	readBuffers = sync.Pool{New: func() any { return new([readBytes]byte) }}
	waitBuffers = sync.Pool{New: func() any { return new([waitBytes]byte) }}
)

// parserPool holds readers that parse requests without consuming them.
var parserPool = sync.Pool{New: func() any { return bufio.NewReaderSize(nil, clientReadBuffer) }}

// readAhead reads from a client's connection and records when bytes arrived. While a request is
// open it keeps what the client pipelines behind it, so that a close behind that data is seen.
// It is used by one goroutine.
type readAhead struct {
	conn      net.Conn
	now       func() float64
	buffer    streamBuffer
	arrivedAt float64 // earliest time at which the first bytes may have arrived, ms
	bytesRead int64   // bytes read from the stream that were kept
	skip      int     // bytes of the stream that are dropped before any more are kept
	marks     []arrivalMark
	// markInterval is the present resolution of the marks, ms; 0: markIntervalMS.
	markInterval float64
	// lastArrival is the time of the newest mark so far, ms: bytes arrive in order.
	lastArrival float64
	err         error // what ended the stream; timeouts are not recorded
	// What is read without having been waited for may have arrived at any time since emptyAt, ms, when the
	// socket was last seen empty; 0: never. waited is set if the last read had to wait. behind is set from
	// a read that left bytes in the socket until it has stayed empty for settleMS: more may lie in the
	// client's kernel, behind a receive window that was closed.
	emptyAt        float64
	behind, waited bool
	// lastReadBits holds the float64 bits of the time of the last read that returned bytes, ms. Other
	// goroutines read it.
	lastReadBits atomic.Uint64
}

// lastReadAt returns when bytes were last read from the connection, ms; 0: never.
func (a *readAhead) lastReadAt() float64 { return math.Float64frombits(a.lastReadBits.Load()) }

// arrivalMark records the time, ms, at which the stream was read up to offset.
type arrivalMark struct {
	offset int64
	time   float64
}

// Read implements io.Reader; buffered data comes first.
func (a *readAhead) Read(b []byte) (int, error) {
	if a.buffer.len() > 0 {
		return a.buffer.consume(b), nil
	}
	if a.err != nil {
		return 0, a.err
	}
	n, err := a.timedRead(b, a.conn.Read)
	a.recordRead(n, err)
	a.noteEmpty(n, len(b), err)
	return n, err
}

// timedRead reads, and notes whether it had to wait for data.
func (a *readAhead) timedRead(b []byte, read func([]byte) (int, error)) (int, error) {
	startedAt := a.now()
	n, err := read(b)
	waited := a.now() - startedAt
	a.waited = waited >= minWaitMS
	a.behind = a.behind && waited < settleMS
	a.noteRead(n)
	return n, err
}

// noteAnswered notes that a request was answered. Where nothing has come behind it, its client waits for
// answers, and is not behind.
func (a *readAhead) noteAnswered(unread int) {
	if a.behind && unread == 0 && a.buffer.len() == 0 && !env.HasUnread(a.conn) {
		a.behind, a.emptyAt = false, a.now()
	}
}

// noteEmpty notes that the socket was seen empty: a read returned less than it could, or nothing is left
// behind one that did not.
func (a *readAhead) noteEmpty(n, size int, err error) {
	seenAt := a.now()
	if n > 0 && n < size || err == env.ErrNoData || !env.HasUnread(a.conn) {
		a.emptyAt = seenAt
		return
	}
	a.behind = a.behind || n > 0
	if n == 0 && a.waited { // bytes came as the wait ended: the kernel knows when
		a.emptyAt = seenAt - a.unreadTime()
	}
}

// noteRead notes the time of a read that returned n bytes.
func (a *readAhead) noteRead(n int) {
	if n > 0 {
		a.lastReadBits.Store(math.Float64bits(a.now()))
	}
}

// recordRead records the arrival of n bytes that are kept, or the end of the stream.
func (a *readAhead) recordRead(n int, err error) {
	if n > 0 {
		a.mark(int64(n))
	}
	if err != nil && err != env.ErrNoData && !env.IsTimeout(err) {
		a.err = err
	}
}

// mark records when n bytes that were just read had arrived. The kernel tells only of the newest in the
// socket: the others count as come as early as they may have.
func (a *readAhead) mark(n int64) {
	now := a.now()
	first := a.bytesRead == 0
	a.bytesRead += n
	if count := len(a.marks); count > 0 && (a.behind || now-a.marks[count-1].time < max(a.markInterval, markIntervalMS)) {
		a.marks[count-1].offset = a.bytesRead
		return
	}
	arrival := max(now-a.unreadTime(), a.lastArrival)
	if first {
		arrival = min(arrival, a.arrivedAt)
	} else if !a.waited && a.emptyAt > 0 {
		arrival = max(min(arrival, a.emptyAt), a.lastArrival)
	}
	a.lastArrival = arrival
	if len(a.marks) >= maxMarks {
		a.mergeMarks()
	}
	a.marks = append(a.marks, arrivalMark{a.bytesRead, arrival})
}

// mergeMarks halves the marks and their resolution. Bytes count as no later than they arrived.
func (a *readAhead) mergeMarks() {
	a.markInterval = 2 * max(a.markInterval, markIntervalMS)
	merged := a.marks[:0]
	for i := 0; i < len(a.marks); i += 2 {
		last := min(i+1, len(a.marks)-1)
		merged = append(merged, arrivalMark{a.marks[last].offset, a.marks[i].time})
	}
	a.marks = merged
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

// full reports whether no more requests may be kept.
func (a *readAhead) full() bool {
	held := a.buffer.len()
	return held >= maxReadAhead || held >= reservedReadAhead && a.buffer.budget.exhausted()
}

// discard drops the buffered data and returns its bytes to the budget.
func (a *readAhead) discard() { a.buffer.setStorage(nil) }

// putBack makes data that was returned by Read last the next to be read.
func (a *readAhead) putBack(data []byte) { a.buffer.putBack(data) }

// cut drops the bytes between two offsets of the stream, which are buffered.
func (a *readAhead) cut(from, to int64) {
	first := a.bytesRead - int64(a.buffer.len())
	a.buffer.cut(int(from-first), int(to-first))
	removed := to - from
	a.bytesRead -= removed
	kept := a.marks[:0]
	for _, m := range a.marks {
		if m.offset > from {
			m.offset = max(from, m.offset-removed)
		}
		if len(kept) == 0 || kept[len(kept)-1].offset != m.offset {
			kept = append(kept, m)
		}
	}
	a.marks = kept
}

// readMore waits for data and reads up to limit bytes of it. While it waits, it has a small buffer
// only.
func (a *readAhead) readMore(limit int) error {
	buffer := waitBuffers.Get().(*[waitBytes]byte)
	defer waitBuffers.Put(buffer)
	size := min(limit, waitBytes)
	n, err := a.fill(buffer[:size], a.conn.Read)
	if err == nil && n == size && limit > size {
		a.readAvailable(limit - size) // there may be more
		return a.err
	}
	return err
}

// readAvailable reads up to limit bytes that have already arrived. It returns env.ErrNoData if
// there are none, and another error if the stream has ended.
func (a *readAhead) readAvailable(limit int) error {
	buffer := readBuffers.Get().(*[readBytes]byte)
	defer readBuffers.Put(buffer)
	_, err := a.fill(buffer[:min(readBytes, limit)], func(b []byte) (int, error) { return env.ReadAvailable(a.conn, b) })
	return err
}

// fill appends the result of one read into buffer, and returns it.
func (a *readAhead) fill(buffer []byte, read func([]byte) (int, error)) (int, error) {
	if a.err != nil {
		return 0, a.err
	}
	n, err := a.timedRead(buffer, read)
	dropped := min(n, a.skip)
	a.skip -= dropped
	if kept := buffer[dropped:n]; len(kept) > 0 {
		a.buffer.append(kept)
	}
	a.recordRead(n-dropped, err)
	a.noteEmpty(n, len(buffer), err)
	return n, err
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
	offset := a.bytesRead - int64(a.buffer.len()) - int64(unread)
	for len(a.marks) > 1 && a.marks[0].offset < offset {
		a.marks = a.marks[1:]
	}
	if len(a.marks) == 0 {
		return a.now()
	}
	if len(a.marks) == 1 {
		a.markInterval = markIntervalMS
	}
	return a.marks[0].time
}
