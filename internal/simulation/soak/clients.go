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
	record              *Record
	scheduler           int
	address             string
	classes             []Class
	shards              int
	requestRate         float64 // requests a second
	abandonProbability  float64 // part of the clients that leave before their answer
	pipelineProbability float64 // part of the sendings that are of several requests at once
	rng                 *rand.Rand
	requestCount        atomic.Int64
	idPrefix            string
	tasks               sync.WaitGroup
	dialAllowed         atomic.Bool // new connections are made

	mu        sync.Mutex
	idleConns []*clientConn
}

type clientConn struct {
	net.Conn
	reader         *bufio.Reader
	closeAnnounced bool // its scheduler said that it ends it
}

// lateResponseWait is how long a client listens beyond its time, to see a late answer.
const lateResponseWait = 1500 * time.Millisecond

// Run sends requests until the context ends, and waits for their ends.
func (c *Clients) Run(ctx context.Context) {
	c.dialAllowed.Store(true)
	for ctx.Err() == nil {
		pause := time.Duration(c.rng.ExpFloat64() / c.requestRate * float64(time.Second))
		select {
		case <-ctx.Done():
		case <-time.After(pause):
			c.startBatch()
		}
	}
	c.tasks.Wait()
	c.closeIdle()
}

// StopDialling has clients use only the connections that they have: their scheduler was told
// to end. Reopen has them make new ones again.
func (c *Clients) StopDialling() { c.dialAllowed.Store(false) }

// ResumeDialling undoes StayOnOpen.
func (c *Clients) ResumeDialling() { c.dialAllowed.Store(true) }

func (c *Clients) closeIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, x := range c.idleConns {
		x.Close()
	}
	c.idleConns = nil
}

// encodedRequest is one request on its way.
type encodedRequest struct {
	*Request
	raw []byte
}

// maxPipelined is how many requests a client may send at once.
const maxPipelined = 5

// startBatch sends a request, or several at once on one connection.
func (c *Clients) startBatch() {
	class := c.drawClass()
	n := 1
	if c.rng.Float64() < c.pipelineProbability {
		n = 2 + c.rng.IntN(maxPipelined-1)
	}
	all := make([]encodedRequest, n)
	for i := range all {
		if i > 0 {
			class = c.drawClass()
		}
		q := &Request{ID: fmt.Sprintf("%s%010x", c.idPrefix, c.requestCount.Add(1)), Scheduler: c.scheduler, Class: class.Name, Timeout: class.Timeout}
		volume := c.rng.Uint64() % volumeCount
		if c.rng.Float64() < limitedFraction {
			volume = volumeCount + uint64(limitedVolumesPerScheduler*c.scheduler) + volume%limitedVolumesPerScheduler
			q.LimitedVolume = volume
		}
		all[i] = encodedRequest{q, c.encodeRequest(q, class, c.rng.IntN(c.shards), volume, c.rng.Uint64())}
	}
	leave := time.Duration(0)
	if c.rng.Float64() < c.abandonProbability {
		leave = time.Duration(c.rng.Float64() * 0.3 * float64(class.Timeout))
	}
	c.tasks.Add(1)
	go func() {
		defer c.tasks.Done()
		c.exchange(all, leave)
	}()
}

func (c *Clients) drawClass() Class {
	x := c.rng.Float64()
	for _, k := range c.classes {
		if x -= k.Share; x < 0 {
			return k
		}
	}
	return c.classes[0]
}

func (c *Clients) encodeRequest(q *Request, class Class, shard int, volume, key uint64) []byte {
	method, plan := "GET", unlimitedPlan
	if q.LimitedVolume > 0 {
		plan = limitedPlan
	}
	f := http1.Fields{{Name: "Host", Value: "api.internal"}, {Name: "Request-Id", Value: q.ID}, {Name: "X-Qos-Policy", Value: plan},
		{Name: "Request-Timeout", Value: strconv.FormatFloat(class.Timeout.Seconds(), 'f', 3, 64)},
		{Name: "X-Placement", Value: fmt.Sprintf("units=%d,shard=%d,hosts=1", meanUnits, shard)}}
	var body []byte
	if class.Write {
		method, body = "PUT", []byte("block of "+q.ID)
	}
	if class.Keyed {
		f = append(f, http1.Field{Name: "Idempotency-Key", Value: q.ID})
	}
	return http1.AppendRequest(nil, method, fmt.Sprintf("/%s/%016x/%016x", class.Name, volume, key), f, body)
}

// acquireConn returns an idle connection, or a new one; nil where there is none.
func (c *Clients) acquireConn(fresh bool) *clientConn {
	c.mu.Lock()
	if n := len(c.idleConns); n > 0 && !fresh {
		x := c.idleConns[n-1]
		c.idleConns = c.idleConns[:n-1]
		c.mu.Unlock()
		return x
	}
	c.mu.Unlock()
	if !c.dialAllowed.Load() {
		return nil
	}
	conn, err := net.DialTimeout("tcp", c.address, time.Second)
	if err != nil {
		return nil
	}
	return &clientConn{Conn: conn, reader: bufio.NewReader(conn)}
}

func (c *Clients) releaseConn(x *clientConn) {
	if x.closeAnnounced {
		x.Close()
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.idleConns = append(c.idleConns, x)
}

// exchange sends requests and waits for their answers. What crossed the end of its
// connection goes once more on a new one.
func (c *Clients) exchange(all []encodedRequest, leave time.Duration) {
	var raw []byte
	for _, s := range all {
		raw = append(raw, s.raw...)
	}
	x := c.writeBatch(raw)
	if x == nil {
		return
	}
	now := c.record.Now()
	for _, s := range all {
		s.SentAt = now
		c.record.addRequest(s.Request)
	}
	for i, s := range all {
		if c.awaitResponse(x, s.Request, leave) {
			continue
		}
		for _, late := range all[i:] {
			c.resendAfterClose(late, s.Request, leave)
		}
		return
	}
	c.releaseConn(x)
}

// writeBatch puts bytes on an idle connection, or on a new one; nil if neither takes them.
func (c *Clients) writeBatch(raw []byte) *clientConn {
	for _, fresh := range []bool{false, true} {
		x := c.acquireConn(fresh)
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

// resendAfterClose deals with a request whose connection ended, with it or with one before it:
// unless its client left, it goes once more, alone.
func (c *Clients) resendAfterClose(s encodedRequest, ended *Request, leave time.Duration) {
	c.record.mu.Lock()
	s.AbandonedAt, s.ConnLostAt = ended.AbandonedAt, ended.ConnLostAt
	again := ended.AbandonedAt == 0 && !s.BrokenMidResponse
	c.record.mu.Unlock()
	if !again {
		return
	}
	x := c.acquireConn(true)
	if x == nil {
		return
	}
	if _, err := x.Write(s.raw); err != nil {
		x.Close()
		return
	}
	c.record.mu.Lock()
	s.Resent, s.ConnLostAt = true, 0
	s.SentAt = c.record.Now() // it says how long its client waits from now on
	c.record.mu.Unlock()
	if c.awaitResponse(x, s.Request, leave) {
		c.releaseConn(x)
	}
}

// awaitResponse waits for an answer, or leaves; false if the connection is over without one.
func (c *Clients) awaitResponse(x *clientConn, q *Request, leave time.Duration) bool {
	until := q.SentAt + q.Timeout + lateResponseWait
	if leave > 0 {
		until = q.SentAt + leave
	}
	x.SetReadDeadline(time.Now().Add(until - c.record.Now()))
	first, err := x.reader.Peek(1)
	var m *http1.Response
	var body []byte
	if err == nil {
		m, body, err = http1.ReadWholeResponse(x.reader, messageLimits)
	}
	c.record.mu.Lock()
	defer c.record.mu.Unlock()
	now := c.record.Now()
	switch {
	case err == nil:
		q.AnsweredAt, q.Status, q.Body = now, m.Status, string(body)
		if m.Close() {
			x.closeAnnounced = true
		}
		return true
	case env.IsTimeout(err):
		q.AbandonedAt = now
		x.Close()
		return false
	default:
		q.ConnLostAt, q.BrokenMidResponse = now, len(first) > 0
		x.Close()
		return false
	}
}
