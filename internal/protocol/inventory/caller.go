package inventory

import (
	"bufio"
	"context"
	"net"
	"slices"
	"time"

	"merlinhitch/internal/runtime/env"
	"merlinhitch/internal/runtime/locks"
)

// Caller sends an inventory one request at a time, over a connection that it keeps. A request that is not
// answered in time ends the connection.
type Caller struct {
	environment env.Environment
	addr        func() string
	ctx         context.Context
	cancel      context.CancelFunc
	conn        net.Conn // of the goroutine that asks
	reader      *bufio.Reader

	mu       locks.Mutex
	openConn net.Conn // to be closed by Close
}

// NewCaller returns a caller of the inventory at the address that addr returns, "" for none at present. It
// is for one goroutine.
func NewCaller(environment env.Environment, addr func() string) *Caller {
	c := &Caller{environment: environment, addr: addr}
	c.ctx, c.cancel = context.WithCancel(context.Background())
	return c
}

// errNoAddress reports that there is no inventory to ask.
var errNoAddress = &LineError{"there is none to ask"}

// Ask sends a request and waits for the answer, for within at the most. A connection that has to be opened
// first has the same time for itself: otherwise none would be kept where a round trip takes more than half of
// it.
func (c *Caller) Ask(request Ask, within time.Duration) (answer List, err error) {
	if c.conn == nil {
		if err := c.dial(within); err != nil {
			return answer, err
		}
	}
	defer func() {
		if err != nil {
			c.drop()
		}
	}()
	c.conn.SetDeadline(c.environment.Deadline(within))
	if _, err := c.conn.Write(Line(request)); err != nil {
		return answer, err
	}
	if err := ReadLine(c.reader, &answer); err != nil {
		return answer, err
	}
	return answer, answer.Check()
}

func (c *Caller) dial(within time.Duration) error {
	addr := c.addr()
	if addr == "" {
		return errNoAddress
	}
	conn, err := c.environment.Dial(c.ctx, "tcp", addr, within)
	if err != nil {
		return err
	}
	c.conn, c.reader = conn, bufio.NewReader(conn)
	c.mu.Lock()
	c.openConn = conn
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

// Close ends the caller; a request under way ends with an error.
func (c *Caller) Close() {
	c.cancel()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.openConn != nil {
		c.openConn.Close()
	}
}

// CallerPool sends an inventory several requests at a time, each over a connection of its own, so that an
// answer that comes late does not keep the next request from being sent. While answers come in time, one
// connection serves all.
type CallerPool struct {
	environment env.Environment
	tasks       env.WaitGroup

	mu      locks.Mutex
	callers []*Caller
	busy    []bool
	closed  bool
}

// NewCallerPool returns a pool for up to size requests at a time.
func NewCallerPool(environment env.Environment, addr func() string, size int) *CallerPool {
	p := &CallerPool{environment: environment, busy: make([]bool, size)}
	for range size {
		p.callers = append(p.callers, NewCaller(environment, addr))
	}
	return p
}

// Ask sends a request in the background and calls handle with the answer, or with the error if there is none
// within that time (Caller.Ask). It returns false, and does nothing, if size requests are unanswered or the pool is closed.
func (p *CallerPool) Ask(request Ask, within time.Duration, handle func(List, error)) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	index := slices.Index(p.busy, false)
	if index < 0 || p.closed {
		return false
	}
	p.busy[index] = true
	p.tasks.Go(p.environment, func() {
		handle(p.callers[index].Ask(request, within))
		p.mu.Lock()
		defer p.mu.Unlock()
		p.busy[index] = false
	})
	return true
}

// Close ends the pool; requests under way end with an error. It waits for their goroutines.
func (p *CallerPool) Close() {
	p.mu.Lock()
	p.closed = true
	p.mu.Unlock()
	for _, c := range p.callers {
		c.Close()
	}
	p.tasks.Wait(p.environment)
}
