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
	waiting []Parker
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
	for _, p := range g.waiting {
		p.Unpark()
	}
	g.waiting = nil
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

// tell has p woken when the gate opens; false if it is open.
func (g *Gate) tell(p Parker) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.open {
		g.waiting = append(g.waiting, p)
	}
	return !g.open
}

func (g *Gate) untell(p Parker) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if i := slices.Index(g.waiting, p); i >= 0 {
		g.waiting = slices.Delete(g.waiting, i, i+1)
	}
}

// WaitAny returns once one of the gates is open.
func WaitAny(w Environment, gates ...*Gate) {
	p := w.NewParker()
	for _, g := range gates {
		defer g.untell(p)
		if !g.tell(p) {
			return
		}
	}
	for !slices.ContainsFunc(gates, (*Gate).Opened) {
		p.Park()
	}
}

// Await returns once the gate is open, or ctx ends; it tells whether it is open.
func Await(ctx context.Context, w Environment, g *Gate) bool {
	p := w.NewParker()
	defer context.AfterFunc(ctx, p.Unpark)()
	defer g.untell(p)
	if !g.tell(p) {
		return true
	}
	for !g.Opened() && ctx.Err() == nil {
		p.Park()
	}
	return g.Opened()
}

// Group counts goroutines, as sync.WaitGroup does. The zero value is empty.
type Group struct {
	mu      sync.Mutex
	n       int
	waiting []Parker
}

// Add counts n more.
func (g *Group) Add(n int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.n += n
}

// Done takes one off.
func (g *Group) Done() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.n--; g.n > 0 {
		return
	}
	for _, p := range g.waiting {
		p.Unpark()
	}
	g.waiting = nil
}

// Go runs f on a goroutine that is counted.
func (g *Group) Go(w Environment, f func()) {
	g.Add(1)
	w.Go(func() {
		defer g.Done()
		f()
	})
}

// Wait returns once the count is 0.
func (g *Group) Wait(w Environment) {
	p := w.NewParker()
	for !g.over(p) {
		p.Park()
	}
}

func (g *Group) over(p Parker) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.n > 0 && !slices.Contains(g.waiting, p) {
		g.waiting = append(g.waiting, p)
	}
	return g.n <= 0
}

// Wait waits for d, or until stop is open; it tells whether the whole of d passed.
// Without stop it always does.
func Wait(w Environment, d time.Duration, stop *Gate) bool {
	p := w.NewParker()
	if stop != nil {
		defer stop.untell(p)
		if !stop.tell(p) {
			return false
		}
	}
	return pause(w, p, d, func() bool { return stop != nil && stop.Opened() })
}

// Pause is Wait with a context in place of the gate.
func Pause(ctx context.Context, w Environment, d time.Duration) bool {
	p := w.NewParker()
	defer context.AfterFunc(ctx, p.Unpark)()
	return pause(w, p, d, func() bool { return ctx.Err() != nil })
}

func pause(w Environment, p Parker, d time.Duration, stopped func() bool) bool {
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
