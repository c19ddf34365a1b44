package inventory

import (
	"bufio"
	"context"
	"net"
	"time"

	"merlinhitch/internal/runtime/env"
	"merlinhitch/internal/runtime/locks"
)

// Caller asks an inventory one question at a time, over a connection that it keeps. A
// question that is not answered in time ends the connection.
type Caller struct {
	world env.Environment
	addr  func() string
	ctx   context.Context
	stop  context.CancelFunc
	conn  net.Conn // of the goroutine that asks
	read  *bufio.Reader

	mu  locks.Mutex
	now net.Conn // to be closed by Close
}

// NewCaller returns a caller of the inventory at the address that addr returns, "" for
// none at present. It is for one goroutine.
func NewCaller(w env.Environment, addr func() string) *Caller {
	c := &Caller{world: w, addr: addr}
	c.ctx, c.stop = context.WithCancel(context.Background())
	return c
}

// errNowhere says that there is no inventory to ask.
var errNowhere = &LineError{"there is none to ask"}

// Ask asks, and waits for the answer for so long.
func (c *Caller) Ask(a Ask, within time.Duration) (l List, err error) {
	if c.conn == nil {
		if err := c.dial(within); err != nil {
			return l, err
		}
	}
	defer func() {
		if err != nil {
			c.drop()
		}
	}()
	c.conn.SetDeadline(c.world.Deadline(within))
	if _, err := c.conn.Write(Line(a)); err != nil {
		return l, err
	}
	if err := ReadLine(c.read, &l); err != nil {
		return l, err
	}
	return l, l.Check()
}

func (c *Caller) dial(within time.Duration) error {
	addr := c.addr()
	if addr == "" {
		return errNowhere
	}
	conn, err := c.world.Dial(c.ctx, "tcp", addr, within)
	if err != nil {
		return err
	}
	c.conn, c.read = conn, bufio.NewReader(conn)
	c.mu.Lock()
	c.now = conn
	c.mu.Unlock()
	if c.ctx.Err() != nil {
		conn.Close()
	}
	return nil
}

func (c *Caller) drop() {
	c.conn.Close()
	c.conn = nil
}

// Close ends the caller; a question under way ends with an error.
func (c *Caller) Close() {
	c.stop()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.now != nil {
		c.now.Close()
	}
}
