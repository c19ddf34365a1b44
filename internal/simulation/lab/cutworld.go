package lab

import (
	"context"
	"errors"
	"net"
	"sync"
	"time"

	"merlinhitch/internal/runtime/env"
)

// cutKind is how an address can't be reached.
type cutKind int

const (
	cutReset cutKind = iota // connections end at once, new ones are refused
	cutHang                 // nothing passes, and nothing says so
	cutHold                 // what is sent waits on its way until the address is healed
)

// cutWorld is a host's world in which addresses can be cut off for that host alone.
type cutWorld struct {
	env.Environment
	mu    sync.Mutex
	cut   map[string]cutKind
	conns map[*cutConn]string
}

func newCutWorld(w env.Environment) *cutWorld {
	return &cutWorld{Environment: w, cut: map[string]cutKind{}, conns: map[*cutConn]string{}}
}

// cutConn is a connection that can be cut.
type cutConn struct {
	net.Conn
	w    *cutWorld
	mu   sync.Mutex
	hung bool
	hold bool
	held []byte
}

var errCut = errors.New("lab: cut off")

// Dial implements env.Environment.
func (w *cutWorld) Dial(ctx context.Context, network, address string, within time.Duration) (net.Conn, error) {
	w.mu.Lock()
	kind, cut := w.cut[address]
	w.mu.Unlock()
	if cut && kind == cutReset {
		return nil, errCut
	}
	if cut {
		env.SleepContext(ctx, w, within)
		return nil, errCut
	}
	c, err := w.Environment.Dial(ctx, network, address, within)
	if err != nil {
		return nil, err
	}
	k := &cutConn{Conn: c, w: w}
	w.mu.Lock()
	defer w.mu.Unlock()
	if _, cut := w.cut[address]; cut { // it came in between
		c.Close()
		return nil, errCut
	}
	w.conns[k] = address
	return k, nil
}

func (c *cutConn) lost() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.hung
}

// Read implements net.Conn; what comes over a hung connection is lost.
func (c *cutConn) Read(b []byte) (int, error) {
	for {
		n, err := c.Conn.Read(b)
		if err != nil || !c.lost() {
			return n, err
		}
	}
}

// Write implements net.Conn.
func (c *cutConn) Write(b []byte) (int, error) {
	c.mu.Lock()
	if c.hold {
		c.held = append(c.held, b...)
		c.mu.Unlock()
		return len(b), nil
	}
	c.mu.Unlock()
	if c.lost() {
		return len(b), nil
	}
	return c.Conn.Write(b)
}

// Close implements net.Conn.
func (c *cutConn) Close() error {
	c.w.mu.Lock()
	delete(c.w.conns, c)
	c.w.mu.Unlock()
	return c.Conn.Close()
}

// off cuts addresses off.
func (w *cutWorld) off(kind cutKind, addrs ...string) {
	for _, c := range w.on(addrs, func(a string) { w.cut[a] = kind }) {
		c.mu.Lock()
		c.hung, c.hold = kind != cutHold, kind == cutHold
		c.mu.Unlock()
		if kind == cutReset {
			c.Close()
		}
	}
}

// heal lets addresses be reached again; what hung ends, for bytes of it are missing.
func (w *cutWorld) heal(addrs ...string) {
	for _, c := range w.on(addrs, func(a string) { delete(w.cut, a) }) {
		if c.lost() {
			c.Close()
			continue
		}
		c.mu.Lock()
		held := c.held
		c.hold, c.held = false, nil
		if len(held) > 0 {
			c.Conn.Write(held) // under the lock, before what comes next; a failure ends the reader
		}
		c.mu.Unlock()
	}
}

// on does f for each address under the lock and returns the connections to them.
func (w *cutWorld) on(addrs []string, f func(string)) (out []*cutConn) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, a := range addrs {
		f(a)
		for c, to := range w.conns {
			if to == a {
				out = append(out, c)
			}
		}
	}
	return out
}
