package env

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

// Gate is a one-shot event: it starts closed and, once opened, stays open. The zero value
// is a closed gate. It is safe for concurrent use.
type Gate struct {
	mu      sync.Mutex
	open    bool
	waiters []Parker
	signal  chan struct{}
}

// Open opens the gate and wakes all waiters. Further calls have no effect.
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

// Opened reports whether the gate is open.
func (g *Gate) Opened() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.open
}

// Wait blocks until the gate is open.
func (g *Gate) Wait(w Environment) { WaitAny(w, g) }

// Chan returns a channel that is closed when the gate opens. It is only for code that never
// runs in the simulation, which cannot see that a goroutine waits on a channel.
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

// addWaiter registers p to be woken when the gate opens. It returns false, without
// registering p, if the gate is already open.
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

// WaitAny blocks until at least one of the gates is open.
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

// WaitContext blocks until the gate is open or ctx is done, and reports whether the gate
// is open.
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

// WaitGroup is the counterpart of sync.WaitGroup for an Environment. The zero value has a
// count of 0. It is safe for concurrent use.
type WaitGroup struct {
	mu      sync.Mutex
	count   int
	waiting []Parker
}

// Add adds n to the count.
func (g *WaitGroup) Add(n int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.count += n
}

// Done decrements the count, and wakes the waiters when it reaches 0.
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

// Go runs f in a new goroutine and counts it until f returns.
func (g *WaitGroup) Go(w Environment, f func()) {
	g.Add(1)
	w.Go(func() {
		defer g.Done()
		f()
	})
}

// Wait blocks until the count is 0.
func (g *WaitGroup) Wait(w Environment) {
	p := w.NewParker()
	for !g.doneOrAddWaiter(p) {
		p.Park()
	}
}

// doneOrAddWaiter reports whether the count is 0; if not, it registers p to be woken when
// it is.
func (g *WaitGroup) doneOrAddWaiter(p Parker) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.count > 0 && !slices.Contains(g.waiting, p) {
		g.waiting = append(g.waiting, p)
	}
	return g.count <= 0
}

// Sleep pauses for d or until stop opens, and reports whether d passed in full. A nil stop
// never opens.
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

// WaitTimeout blocks until the gate is open or d has passed, and reports whether the gate is open.
func WaitTimeout(w Environment, d time.Duration, g *Gate) bool { return !Sleep(w, d, g) }

// SleepContext pauses for d or until ctx is done, and reports whether d passed in full.
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
