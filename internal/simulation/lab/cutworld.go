package lab

import (
	"context"
	"errors"
	"net"
	"sync"
	"time"

	"merlinhitch/internal/runtime/env"
)

// partitionKind is how an address can't be reached.
type partitionKind int

const (
	partitionReset     partitionKind = iota // connections end at once, new ones are refused
	partitionBlackhole                      // nothing passes, and nothing says so
	partitionDelay                          // what is sent waits on its way until the address is healed
)

// partitionEnvironment is a host's world in which addresses can be cut off for that host alone.
type partitionEnvironment struct {
	env.Environment
	mu          sync.Mutex
	partitioned map[string]partitionKind
	conns       map[*partitionConn]string
}

func newPartitionEnvironment(w env.Environment) *partitionEnvironment {
	return &partitionEnvironment{Environment: w, partitioned: map[string]partitionKind{}, conns: map[*partitionConn]string{}}
}

// partitionConn is a connection that can be cut.
type partitionConn struct {
	net.Conn
	env      *partitionEnvironment
	mu       sync.Mutex
	dropping bool
	delaying bool
	delayed  []byte
}

var errPartitioned = errors.New("lab: cut off")

// Dial implements env.Environment.
func (w *partitionEnvironment) Dial(ctx context.Context, network, address string, within time.Duration) (net.Conn, error) {
	w.mu.Lock()
	kind, cut := w.partitioned[address]
	w.mu.Unlock()
	if cut && kind == partitionReset {
		return nil, errPartitioned
	}
	if cut {
		env.SleepContext(ctx, w, within)
		return nil, errPartitioned
	}
	c, err := w.Environment.Dial(ctx, network, address, within)
	if err != nil {
		return nil, err
	}
	k := &partitionConn{Conn: c, env: w}
	w.mu.Lock()
	defer w.mu.Unlock()
	if _, cut := w.partitioned[address]; cut { // it came in between
		c.Close()
		return nil, errPartitioned
	}
	w.conns[k] = address
	return k, nil
}

func (c *partitionConn) isDropping() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.dropping
}

// Read implements net.Conn; what comes over a hung connection is lost.
func (c *partitionConn) Read(b []byte) (int, error) {
	for {
		n, err := c.Conn.Read(b)
		if err != nil || !c.isDropping() {
			return n, err
		}
	}
}

// Write implements net.Conn.
func (c *partitionConn) Write(b []byte) (int, error) {
	c.mu.Lock()
	if c.delaying {
		c.delayed = append(c.delayed, b...)
		c.mu.Unlock()
		return len(b), nil
	}
	c.mu.Unlock()
	if c.isDropping() {
		return len(b), nil
	}
	return c.Conn.Write(b)
}

// Close implements net.Conn.
func (c *partitionConn) Close() error {
	c.env.mu.Lock()
	delete(c.env.conns, c)
	c.env.mu.Unlock()
	return c.Conn.Close()
}

// partition cuts addresses partition.
func (w *partitionEnvironment) partition(kind partitionKind, addrs ...string) {
	for _, c := range w.updateAddresses(addrs, func(a string) { w.partitioned[a] = kind }) {
		c.mu.Lock()
		c.dropping, c.delaying = kind != partitionDelay, kind == partitionDelay
		c.mu.Unlock()
		if kind == partitionReset {
			c.Close()
		}
	}
}

// heal lets addresses be reached again; what hung ends, for bytes of it are missing.
func (w *partitionEnvironment) heal(addrs ...string) {
	for _, c := range w.updateAddresses(addrs, func(a string) { delete(w.partitioned, a) }) {
		if c.isDropping() {
			c.Close()
			continue
		}
		c.mu.Lock()
		held := c.delayed
		c.delaying, c.delayed = false, nil
		if len(held) > 0 {
			c.Conn.Write(held) // under the lock, before what comes next; a failure ends the reader
		}
		c.mu.Unlock()
	}
}

// updateAddresses does f for each address under the lock and returns the connections to them.
func (w *partitionEnvironment) updateAddresses(addrs []string, f func(string)) (out []*partitionConn) {
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
