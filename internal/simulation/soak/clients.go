package soak

import (
	"bufio"
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"merlinhitch/internal/protocol/http1"
	"merlinhitch/internal/runtime/env"
)

// Class is a kind of request that clients send.
type Class struct {
	Name    string
	Write   bool
	Keyed   bool
	Timeout time.Duration
	Share   float64 // of the requests
}

// Clients send requests to one scheduler at a mean rate, whatever becomes of them, and keep
// the connections that they have.
type Clients struct {
	record    *Record
	scheduler int
	address   string
	classes   []Class
	shards    int
	rate      float64 // requests a second
	leaves    float64 // part of the clients that leave before their answer
	together  float64 // part of the sendings that are of several requests at once
	rng       *rand.Rand
	number    atomic.Int64
	prefix    string
	tasks     sync.WaitGroup
	open      atomic.Bool // new connections are made

	mu   sync.Mutex
	idle []*clientConn
}

type clientConn struct {
	net.Conn
	in      *bufio.Reader
	closing bool // its scheduler said that it ends it
}

// graceAfterTimeout is how long a client listens beyond its time, to see a late answer.
const graceAfterTimeout = 1500 * time.Millisecond

// Run sends requests until the context ends, and waits for their ends.
func (c *Clients) Run(ctx context.Context) {
	c.open.Store(true)
	for ctx.Err() == nil {
		pause := time.Duration(c.rng.ExpFloat64() / c.rate * float64(time.Second))
		select {
		case <-ctx.Done():
		case <-time.After(pause):
			c.send()
		}
	}
	c.tasks.Wait()
	c.closeIdle()
}

// StayOnOpen has clients use only the connections that they have: their scheduler was told
// to end. Reopen has them make new ones again.
func (c *Clients) StayOnOpen() { c.open.Store(false) }

// Reopen undoes StayOnOpen.
func (c *Clients) Reopen() { c.open.Store(true) }

func (c *Clients) closeIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, x := range c.idle {
		x.Close()
	}
	c.idle = nil
}

// sending is one request on its way.
type sending struct {
	*Request
	raw []byte
}

// mostTogether is how many requests a client may send at once.
const mostTogether = 5

// send sends a request, or several at once on one connection.
func (c *Clients) send() {
	class := c.draw()
	n := 1
	if c.rng.Float64() < c.together {
		n = 2 + c.rng.IntN(mostTogether-1)
	}
	all := make([]sending, n)
	for i := range all {
		if i > 0 {
			class = c.draw()
		}
		q := &Request{ID: fmt.Sprintf("%s%010x", c.prefix, c.number.Add(1)), Scheduler: c.scheduler, Class: class.Name, Timeout: class.Timeout}
		volume := c.rng.Uint64() % volumes
		if c.rng.Float64() < limitedPart {
			volume = volumes + uint64(limitedEach*c.scheduler) + volume%limitedEach
			q.Limited = volume
		}
		all[i] = sending{q, c.message(q, class, c.rng.IntN(c.shards), volume, c.rng.Uint64())}
	}
	leave := time.Duration(0)
	if c.rng.Float64() < c.leaves {
		leave = time.Duration(c.rng.Float64() * 0.3 * float64(class.Timeout))
	}
	c.tasks.Add(1)
	go func() {
		defer c.tasks.Done()
		c.exchange(all, leave)
	}()
}

func (c *Clients) draw() Class {
	x := c.rng.Float64()
	for _, k := range c.classes {
		if x -= k.Share; x < 0 {
			return k
		}
	}
	return c.classes[0]
}

func (c *Clients) message(q *Request, class Class, shard int, volume, key uint64) []byte {
	method, plan := "GET", openPlan
	if q.Limited > 0 {
		plan = limitedPlan
	}
	f := http1.Fields{{Name: "Host", Value: "api.internal"}, {Name: "Request-Id", Value: q.ID}, {Name: "X-Qos-Policy", Value: plan},
		{Name: "Request-Timeout", Value: strconv.FormatFloat(class.Timeout.Seconds(), 'f', 3, 64)},
		{Name: "X-Placement", Value: fmt.Sprintf("units=%d,shard=%d,hosts=1", unitMean, shard)}}
	var body []byte
	if class.Write {
		method, body = "PUT", []byte("block of "+q.ID)
	}
	if class.Keyed {
		f = append(f, http1.Field{Name: "Idempotency-Key", Value: q.ID})
	}
	return http1.AppendRequest(nil, method, fmt.Sprintf("/%s/%016x/%016x", class.Name, volume, key), f, body)
}

// take returns an idle connection, or a new one; nil where there is none.
func (c *Clients) take(fresh bool) *clientConn {
	c.mu.Lock()
	if n := len(c.idle); n > 0 && !fresh {
		x := c.idle[n-1]
		c.idle = c.idle[:n-1]
		c.mu.Unlock()
		return x
	}
	c.mu.Unlock()
	if !c.open.Load() {
		return nil
	}
	conn, err := net.DialTimeout("tcp", c.address, time.Second)
	if err != nil {
		return nil
	}
	return &clientConn{Conn: conn, in: bufio.NewReader(conn)}
}

func (c *Clients) put(x *clientConn) {
	if x.closing {
		x.Close()
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.idle = append(c.idle, x)
}

// exchange sends requests and waits for their answers. What crossed the end of its
// connection goes once more on a new one.
func (c *Clients) exchange(all []sending, leave time.Duration) {
	var raw []byte
	for _, s := range all {
		raw = append(raw, s.raw...)
	}
	x := c.write(raw)
	if x == nil {
		return
	}
	now := c.record.Now()
	for _, s := range all {
		s.Sent = now
		c.record.addRequest(s.Request)
	}
	for i, s := range all {
		if c.hear(x, s.Request, leave) {
			continue
		}
		for _, late := range all[i:] {
			c.leftBehind(late, s.Request, leave)
		}
		return
	}
	c.put(x)
}

// write puts bytes on an idle connection, or on a new one; nil if neither takes them.
func (c *Clients) write(raw []byte) *clientConn {
	for _, fresh := range []bool{false, true} {
		x := c.take(fresh)
		if x == nil {
			return nil
		}
		if _, err := x.Write(raw); err == nil {
			return x
		}
		x.Close()
	}
	return nil
}

// leftBehind deals with a request whose connection ended, with it or with one before it:
// unless its client left, it goes once more, alone.
func (c *Clients) leftBehind(s sending, ended *Request, leave time.Duration) {
	c.record.mu.Lock()
	s.Left, s.Ended = ended.Left, ended.Ended
	again := ended.Left == 0 && !s.Mid
	c.record.mu.Unlock()
	if !again {
		return
	}
	x := c.take(true)
	if x == nil {
		return
	}
	if _, err := x.Write(s.raw); err != nil {
		x.Close()
		return
	}
	c.record.mu.Lock()
	s.Resent, s.Ended = true, 0
	s.Sent = c.record.Now() // it says how long its client waits from now on
	c.record.mu.Unlock()
	if c.hear(x, s.Request, leave) {
		c.put(x)
	}
}

// hear waits for an answer, or leaves; false if the connection is over without one.
func (c *Clients) hear(x *clientConn, q *Request, leave time.Duration) bool {
	until := q.Sent + q.Timeout + graceAfterTimeout
	if leave > 0 {
		until = q.Sent + leave
	}
	x.SetReadDeadline(time.Now().Add(until - c.record.Now()))
	first, err := x.in.Peek(1)
	var m *http1.Response
	var body []byte
	if err == nil {
		m, body, err = http1.ReadWholeResponse(x.in, messageLimits)
	}
	c.record.mu.Lock()
	defer c.record.mu.Unlock()
	now := c.record.Now()
	switch {
	case err == nil:
		q.Answered, q.Status, q.Body = now, m.Status, string(body)
		if m.Close() {
			x.closing = true
		}
		return true
	case env.IsTimeout(err):
		q.Left = now
		x.Close()
		return false
	default:
		q.Ended, q.Mid = now, len(first) > 0
		x.Close()
		return false
	}
}
