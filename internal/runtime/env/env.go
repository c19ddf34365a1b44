// Package env abstracts the clock, the network, goroutines and random numbers. Code that
// does I/O uses them only through an Environment, so that the same code runs on the
// machine (Real) or in a deterministic simulation. Decision cores do not import this
// package; they receive times and bytes as arguments.
package env

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"net"
	"runtime"
	"time"
)

// Timer is a pending call. Stop cancels it and reports whether it did so before the call
// started.
type Timer interface{ Stop() bool }

// Environment provides the clock, the network, goroutines and random numbers.
type Environment interface {
	// Now returns the monotonic time since the environment was created.
	Now() time.Duration
	// Deadline returns the time d from now, for the SetDeadline methods of net.Conn.
	Deadline(d time.Duration) time.Time
	// AfterFunc calls f once, in its own goroutine, d from now.
	AfterFunc(d time.Duration, f func()) Timer
	// Dial opens a stream connection. It fails if that takes longer than timeout or if
	// ctx is done first.
	Dial(ctx context.Context, network, address string, timeout time.Duration) (net.Conn, error)
	// Listen returns a listener for stream connections at address.
	Listen(network, address string) (net.Listener, error)
	// RandomUint64 returns a random number that peers cannot predict.
	RandomUint64() uint64
	// Go runs f in a new goroutine. Code that runs in an Environment must start its
	// goroutines this way.
	Go(f func())
	// NewParker returns a Parker for one goroutine. Code that runs in an Environment
	// waits for other goroutines with a Parker, or with the types of this package that
	// are built on it, and holds no lock while it waits.
	NewParker() Parker
	// Processors returns the number of goroutines that can run simultaneously.
	Processors() int
}

// Parker blocks one goroutine until another wakes it.
type Parker interface {
	// Park blocks until Unpark has been called since Park last returned. It may also
	// return spuriously, so the caller must check its condition again.
	Park()
	// Unpark wakes the goroutine in Park, or makes its next Park return immediately.
	// It never blocks.
	Unpark()
}

// Real is the Environment of the machine: the monotonic clock, sockets and crypto/rand.
type Real struct{ start time.Time }

// NewReal returns a Real whose Now counts from the present time.
func NewReal() *Real { return &Real{start: time.Now()} }

// Now implements Environment.
func (w *Real) Now() time.Duration { return time.Since(w.start) }

// Deadline implements Environment.
func (w *Real) Deadline(d time.Duration) time.Time { return time.Now().Add(d) }

// AfterFunc implements Environment.
func (w *Real) AfterFunc(d time.Duration, f func()) Timer { return time.AfterFunc(d, f) }

// Dial implements Environment.
func (w *Real) Dial(ctx context.Context, network, address string, timeout time.Duration) (net.Conn, error) {
	d := net.Dialer{Timeout: timeout}
	return d.DialContext(ctx, network, address)
}

// Listen implements Environment.
func (w *Real) Listen(network, address string) (net.Listener, error) {
	return net.Listen(network, address)
}

// RandomUint64 implements Environment.
func (w *Real) RandomUint64() uint64 {
	var b [8]byte
	rand.Read(b[:]) // never returns an error: crypto/rand aborts the process instead
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

// Yield lets other goroutines run before the calling one continues.
func Yield() { runtime.Gosched() }

// MS converts a duration to milliseconds, the unit of package policy and of settings.
func MS(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// Duration converts milliseconds to a duration. It is the inverse of MS.
func Duration(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }

// FillRandom fills b with random bytes from w.
func FillRandom(w Environment, b []byte) {
	for len(b) > 0 {
		var block [8]byte
		binary.BigEndian.PutUint64(block[:], w.RandomUint64())
		b = b[copy(b, block[:]):]
	}
}
