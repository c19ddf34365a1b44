package inventory

import (
	"bufio"
	"context"
	"net"
	"time"

	"merlinhitch/internal/runtime/env"
	"merlinhitch/internal/runtime/locks"
)

// Client is the shell that follows a list. It reconnects by itself and asks for
// what it missed; after a reconnect to an inventory whose numbers are behind its
// own it is told the whole list.
type Client struct {
	// Told is called with each list, in order, from one goroutine; a failure
	// comes as a list of kind Failed.
	Told func(List)

	world  env.Environment
	addr   string
	mu     locks.Mutex
	conn   net.Conn
	closed bool
	gen    uint64
	lostAt time.Duration // since when there is no connection; below 0: there is one
	done   env.Gate
	over   env.Gate // closing
	ctx    context.Context
	stop   context.CancelFunc
}

const (
	dialTime   = 2 * time.Second
	againAfter = 200 * time.Millisecond
	againMost  = 2 * time.Second
	watchEach  = time.Second
	silentMost = 3500 * time.Millisecond // three questions without an answer
)

// Follow starts to follow the list at addr.
func Follow(w env.Environment, addr string, told func(List)) *Client {
	c := &Client{Told: told, world: w, addr: addr, lostAt: w.Now()}
	c.ctx, c.stop = context.WithCancel(context.Background())
	w.Go(c.run)
	return c
}

// Fetch asks for the whole list once, on the connection that is open.
func (c *Client) Fetch() {
	c.mu.Lock()
	conn := c.conn
	c.mu.Unlock()
	if conn != nil {
		conn.Write(Line(Ask{Op: "fetch"})) // a failure ends the reader, which says so
	}
}

// Lost tells since when the list can't be followed, if it can't.
func (c *Client) Lost() (since time.Duration, lost bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.lostAt, c.lostAt >= 0
}

// Close ends the client and waits for its goroutine.
func (c *Client) Close() {
	c.stop()
	c.over.Open()
	c.mu.Lock()
	c.closed = true
	if c.conn != nil {
		c.conn.Close()
	}
	c.mu.Unlock()
	c.done.Wait(c.world)
}

func (c *Client) run() {
	defer c.done.Open()
	wait := againAfter
	for {
		if c.once() {
			wait = againAfter
		}
		if c.ctx.Err() != nil {
			return
		}
		c.Told(List{Kind: Failed})
		if !env.Sleep(c.world, wait, &c.over) {
			return
		}
		wait = min(2*wait, againMost)
	}
}

// once follows the list over one connection; it tells whether anything came.
func (c *Client) once() (heard bool) {
	conn, err := c.world.Dial(c.ctx, "tcp", c.addr, dialTime)
	if err != nil {
		return false
	}
	defer conn.Close()
	c.mu.Lock()
	c.conn, c.lostAt = conn, -1
	closed := c.closed
	c.mu.Unlock()
	defer func() {
		c.mu.Lock()
		c.conn, c.lostAt = nil, c.world.Now()
		c.mu.Unlock()
	}()
	if closed {
		return false
	}
	if !c.watch(conn) {
		return false
	}
	r := bufio.NewReader(conn)
	for {
		conn.SetReadDeadline(c.world.Deadline(silentMost))
		var l List
		if ReadLine(r, &l) != nil || l.Check() != nil {
			return heard
		}
		heard = true
		if l.Kind != Failed {
			c.mu.Lock()
			c.gen = l.Generation
			c.mu.Unlock()
		}
		if l.Kind != Delta || len(l.Nodes) > 0 {
			c.Told(l)
		}
	}
}

// watch asks for what the client lacks, and goes on asking as long as the connection is
// the present one: an inventory that is gone without a word is found out by that.
func (c *Client) watch(conn net.Conn) bool {
	c.mu.Lock()
	ask, now := Line(Ask{Op: "watch", From: c.gen}), c.conn == conn
	c.mu.Unlock()
	if !now {
		return false
	}
	if _, err := conn.Write(ask); err != nil {
		return false
	}
	c.world.AfterFunc(watchEach, func() { c.watch(conn) })
	return true
}
