package env

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

// Gate is closed at first and can be opened once, for good. The zero value is a
// closed gate. It is safe for concurrent use.
type Gate struct {
	mu      sync.Mutex
	open    bool
	waiters []Parker
	signal  chan struct{}
}

// Open opens the gate.
func (g *Gate) Open() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.open {
		return
	}
	g.open = true
	for _, p := range g.waiters {
		p.Unpark()
	}
	g.waiters = nil
	if g.signal != nil {
		close(g.signal)
	}
}

// Opened tells whether the gate is open.
func (g *Gate) Opened() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.open
}

// Wait returns once the gate is open.
func (g *Gate) Wait(w Environment) { WaitAny(w, g) }

// Chan is closed once the gate is open; for those who are no part of a virtual world.
func (g *Gate) Chan() <-chan struct{} {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.signal == nil {
		g.signal = make(chan struct{})
		if g.open {
			close(g.signal)
		}
	}
	return g.signal
}

// addWaiter has p woken when the gate opens; false if it is open.
func (g *Gate) addWaiter(p Parker) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.open {
		g.waiters = append(g.waiters, p)
	}
	return !g.open
}

func (g *Gate) removeWaiter(p Parker) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if i := slices.Index(g.waiters, p); i >= 0 {
		g.waiters = slices.Delete(g.waiters, i, i+1)
	}
}

// WaitAny returns once one of the gates is open.
func WaitAny(w Environment, gates ...*Gate) {
	p := w.NewParker()
	for _, g := range gates {
		defer g.removeWaiter(p)
		if !g.addWaiter(p) {
			return
		}
	}
	for !slices.ContainsFunc(gates, (*Gate).Opened) {
		p.Park()
	}
}

// WaitContext returns once the gate is open, or ctx ends; it tells whether it is open.
func WaitContext(ctx context.Context, w Environment, g *Gate) bool {
	p := w.NewParker()
	defer context.AfterFunc(ctx, p.Unpark)()
	defer g.removeWaiter(p)
	if !g.addWaiter(p) {
		return true
	}
	for !g.Opened() && ctx.Err() == nil {
		p.Park()
	}
	return g.Opened()
}

// WaitGroup counts goroutines, as sync.WaitGroup does. The zero value is empty.
type WaitGroup struct {
	mu      sync.Mutex
	count   int
	waiting []Parker
}

// Add counts n more.
func (g *WaitGroup) Add(n int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.count += n
}

// Done takes one off.
func (g *WaitGroup) Done() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.count--; g.count > 0 {
		return
	}
	for _, p := range g.waiting {
		p.Unpark()
	}
	g.waiting = nil
}

// Go runs f on a goroutine that is counted.
func (g *WaitGroup) Go(w Environment, f func()) {
	g.Add(1)
	w.Go(func() {
		defer g.Done()
		f()
	})
}

// Wait returns once the count is 0.
func (g *WaitGroup) Wait(w Environment) {
	p := w.NewParker()
	for !g.doneOrAddWaiter(p) {
		p.Park()
	}
}

func (g *WaitGroup) doneOrAddWaiter(p Parker) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.count > 0 && !slices.Contains(g.waiting, p) {
		g.waiting = append(g.waiting, p)
	}
	return g.count <= 0
}

// Sleep waits for d, or until stop is open; it tells whether the whole of d passed.
// Without stop it always does.
func Sleep(w Environment, d time.Duration, stop *Gate) bool {
	p := w.NewParker()
	if stop != nil {
		defer stop.removeWaiter(p)
		if !stop.addWaiter(p) {
			return false
		}
	}
	return sleep(w, p, d, func() bool { return stop != nil && stop.Opened() })
}

// SleepContext is Wait with a context in place of the gate.
func SleepContext(ctx context.Context, w Environment, d time.Duration) bool {
	p := w.NewParker()
	defer context.AfterFunc(ctx, p.Unpark)()
	return sleep(w, p, d, func() bool { return ctx.Err() != nil })
}

func sleep(w Environment, p Parker, d time.Duration, stopped func() bool) bool {
	var due atomic.Bool
	t := w.AfterFunc(d, func() {
		due.Store(true)
		p.Unpark()
	})
	for !stopped() {
		if due.Load() {
			return true
		}
		p.Park()
	}
	t.Stop()
	return false
}
