// Package env is the one place through which shells meet time, the network and
// chance. Cores never import it: they are given times and bytes. An environment on real
// sockets is made once, in main; a virtual one can take its place without any
// change to the shells.
package env

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"net"
	"runtime"
	"time"
)

// Timer is a pending call; Stop tells whether it was kept from running.
type Timer interface{ Stop() bool }

// Environment is what a shell may use of the outside.
type Environment interface {
	// Now is the time since the environment began. It only goes forward.
	Now() time.Duration
	// Deadline is d from now in the form that net.Conn takes.
	Deadline(d time.Duration) time.Time
	// AfterFunc calls f once, on a goroutine of its own, d from now.
	AfterFunc(d time.Duration, f func()) Timer
	// Dial connects a stream; it fails when that takes longer, or when ctx ends first.
	Dial(ctx context.Context, network, address string, within time.Duration) (net.Conn, error)
	// Listen accepts streams at the address.
	Listen(network, address string) (net.Listener, error)
	// RandomUint64 is a random number that no peer can guess.
	RandomUint64() uint64
	// Go runs f on a goroutine of its own. A shell starts none but by this.
	Go(f func())
	// NewParker is a place for one goroutine to wait at. A shell waits for other
	// goroutines by it, or by what is built on it here; it holds no lock
	// meanwhile.
	NewParker() Parker
	// Processors is how many goroutines can run at once.
	Processors() int
}

// Parker is where one goroutine waits until another wakes it.
type Parker interface {
	// Park returns once Unpark was called since the last return. It may return for
	// nothing: who parks looks again at what it waits for.
	Park()
	// Unpark never blocks.
	Unpark()
}

// Real is the environment of the machine: its monotonic clock and its sockets.
type Real struct{ start time.Time }

// NewReal begins an environment at the present time.
func NewReal() *Real { return &Real{start: time.Now()} }

// Now implements Environment.
func (w *Real) Now() time.Duration { return time.Since(w.start) }

// Deadline implements Environment.
func (w *Real) Deadline(d time.Duration) time.Time { return time.Now().Add(d) }

// AfterFunc implements Environment.
func (w *Real) AfterFunc(d time.Duration, f func()) Timer { return time.AfterFunc(d, f) }

// Dial implements Environment.
func (w *Real) Dial(ctx context.Context, network, address string, within time.Duration) (net.Conn, error) {
	d := net.Dialer{Timeout: within}
	return d.DialContext(ctx, network, address)
}

// Listen implements Environment.
func (w *Real) Listen(network, address string) (net.Listener, error) {
	return net.Listen(network, address)
}

// RandomUint64 implements Environment.
func (w *Real) RandomUint64() uint64 {
	var b [8]byte
	rand.Read(b[:]) // never fails: crypto/rand aborts the process instead
	return binary.BigEndian.Uint64(b[:])
}

// Go implements Environment.
func (w *Real) Go(f func()) { go f() }

// Processors implements Environment.
func (w *Real) Processors() int { return runtime.GOMAXPROCS(0) }

// NewParker implements Environment.
func (w *Real) NewParker() Parker { return realParker(make(chan struct{}, 1)) }

type realParker chan struct{}

func (p realParker) Park() { <-p }

func (p realParker) Unpark() {
	select {
	case p <- struct{}{}:
	default:
	}
}

// MS is a duration in milliseconds, the unit of the module and of settings.
func MS(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// Duration is the inverse of MS.
func Duration(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }

// FillRandom fills b with random bytes.
func FillRandom(w Environment, b []byte) {
	for len(b) > 0 {
		var word [8]byte
		binary.BigEndian.PutUint64(word[:], w.RandomUint64())
		b = b[copy(b, word[:]):]
	}
}
