package scheduler

import (
	"net"
	"sync/atomic"

	"merlinhitch/internal/runtime/env"
)

const (
	// mostAhead bounds what a client may send ahead of its answers; what is beyond that
	// stays with the kernel, and the client's end behind it unseen. Where all clients together
	// have sent more than their budget, one may have sureAhead still.
	mostAhead = 256 << 10
	sureAhead = 16 << 10
	aheadStep = 2 << 10
	// markGap is how exactly times are known, ms: it bounds the marks of a request that
	// comes byte by byte.
	markGap = 1.0
)

// ahead is the reading half of a client's connection. While a request is open it reads on,
// so that the client's leaving is seen behind what the client sent ahead, and it knows when
// what was read came. One goroutine uses it.
type ahead struct {
	conn  net.Conn
	now   func() float64
	held  *aheadBudget
	from  float64 // since when the first bytes may have lain unread
	kept  []byte
	read  int64 // bytes of the stream so far
	marks []mark
	err   error // the stream's end
}

// aheadBudget bounds what all clients together may have sent ahead, in bytes.
type aheadBudget struct{ held, most atomic.Int64 }

func (b *aheadBudget) add(n int) { b.held.Add(int64(n)) }

func (b *aheadBudget) spent() bool { return b.held.Load() >= b.most.Load() }

// mark says when the stream had come up to a byte.
type mark struct {
	upTo int64
	at   float64
}

// Read implements io.Reader: first what was kept.
func (a *ahead) Read(b []byte) (int, error) {
	if len(a.kept) > 0 {
		n := copy(b, a.kept)
		a.held.add(-n)
		if a.kept = a.kept[n:]; len(a.kept) == 0 {
			a.kept = nil
		}
		return n, nil
	}
	if a.err != nil {
		return 0, a.err
	}
	n, err := a.conn.Read(b)
	a.came(n, err)
	return n, err
}

// came notes bytes and the end of the stream.
func (a *ahead) came(n int, err error) {
	if n > 0 {
		now := a.now()
		if a.read == 0 {
			now = min(now, a.from)
		}
		a.read += int64(n)
		if k := len(a.marks); k > 0 && now-a.marks[k-1].at < markGap {
			a.marks[k-1].upTo = a.read
		} else {
			a.marks = append(a.marks, mark{a.read, now})
		}
	}
	if err != nil && err != env.ErrNothing && !env.IsTimeout(err) {
		a.err = err
	}
}

func (a *ahead) full() bool {
	return len(a.kept) >= mostAhead || len(a.kept) >= sureAhead && a.held.spent()
}

// drop forgets what was kept.
func (a *ahead) drop() {
	a.held.add(-len(a.kept))
	a.kept = nil
}

// more waits until more has come and keeps it.
func (a *ahead) more() error { return a.keep(a.conn.Read) }

// look keeps what has come already; the error is the stream's end.
func (a *ahead) look() error {
	for a.err == nil && !a.full() {
		if a.keep(func(b []byte) (int, error) { return env.ReadNow(a.conn, b) }) != nil {
			break
		}
	}
	return a.err
}

func (a *ahead) keep(read func([]byte) (int, error)) error {
	if a.err != nil {
		return a.err
	}
	var b [aheadStep]byte
	n, err := read(b[:])
	a.kept = append(a.kept, b[:n]...)
	a.held.add(n)
	a.came(n, err)
	return err
}

// cameAt is when the stream had come up to a byte, as far as that is known still.
func (a *ahead) cameAt(upTo int64) float64 {
	for _, m := range a.marks {
		if m.upTo >= upTo {
			return m.at
		}
	}
	return a.now()
}

// since is when the stream had come up to all but the last so many bytes of what was read
// from here. Earlier times are forgotten.
func (a *ahead) since(unread int) float64 {
	upTo := a.read - int64(len(a.kept)) - int64(unread)
	for len(a.marks) > 1 && a.marks[0].upTo < upTo {
		a.marks = a.marks[1:]
	}
	if len(a.marks) == 0 {
		return a.now()
	}
	return a.marks[0].at
}
