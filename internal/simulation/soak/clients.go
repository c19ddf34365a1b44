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

// Class is a request class that clients send.
type Class struct {
	Name    string
	Write   bool
	Keyed   bool
	Timeout time.Duration
	Share   float64 // fraction of all requests
}

// Clients is an open-loop load generator for one scheduler: requests arrive as a Poisson
// process whatever becomes of the earlier ones. Connections are kept and reused.
type Clients struct {
	record              *Record
	scheduler           int
	address             string
	classes             []Class
	shards              int
	requestRate         float64 // per second
	abandonProbability  float64 // of a batch whose client closes the connection early
	pipelineProbability float64 // of a batch of several requests at once
	limitedFraction     float64 // of the requests, to volumes with a rate limit
	rng                 *rand.Rand
	requestCount        atomic.Int64
	idPrefix            string
	tasks               sync.WaitGroup
	dialAllowed         atomic.Bool // new connections may be opened

	mu        sync.Mutex
	idleConns []*clientConn
}

type clientConn struct {
	net.Conn
	reader         *bufio.Reader
	closeAnnounced bool // a response carried Connection: close
}

// lateResponseWait is how long a client reads on after the request timeout, so that late
// responses are recorded.
const lateResponseWait = 1500 * time.Millisecond

// Run sends requests until ctx is done and waits until all of them have ended.
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

// StopDialling limits the clients to connections that are already open. ResumeDialling
// allows new ones again.
func (c *Clients) StopDialling() { c.dialAllowed.Store(false) }

// ResumeDialling undoes StopDialling.
func (c *Clients) ResumeDialling() { c.dialAllowed.Store(true) }

func (c *Clients) closeIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, conn := range c.idleConns {
		conn.Close()
	}
	c.idleConns = nil
}

// encodedRequest is a request and the bytes that are sent for it.
type encodedRequest struct {
	*Request
	raw []byte
}

// maxPipelined is the largest number of requests that are sent at once on one connection.
const maxPipelined = 5

// startBatch sends one request, or several pipelined on one connection.
func (c *Clients) startBatch() {
	class := c.drawClass()
	batchSize := 1
	if c.rng.Float64() < c.pipelineProbability {
		batchSize = 2 + c.rng.IntN(maxPipelined-1)
	}
	batch := make([]encodedRequest, batchSize)
	for i := range batch {
		if i > 0 {
			class = c.drawClass()
		}
		request := &Request{ID: c.nextID(), Scheduler: c.scheduler, Class: class.Name, Timeout: class.Timeout}
		volume := c.rng.Uint64() % volumeCount
		if c.rng.Float64() < c.limitedFraction {
			volume = volumeCount + uint64(limitedVolumesPerScheduler*c.scheduler) + volume%limitedVolumesPerScheduler
			request.LimitedVolume = volume
		}
		batch[i] = encodedRequest{request, c.encodeRequest(request, class, c.rng.IntN(c.shards), volume, c.rng.Uint64())}
	}
	abandonAfter := time.Duration(0)
	if c.rng.Float64() < c.abandonProbability {
		abandonAfter = time.Duration(c.rng.Float64() * 0.3 * float64(class.Timeout))
	}
	c.tasks.Add(1)
	go func() {
		defer c.tasks.Done()
		c.exchange(batch, abandonAfter)
	}()
}

// nextID returns the id of a new request.
func (c *Clients) nextID() string { return fmt.Sprintf("%s%010x", c.idPrefix, c.requestCount.Add(1)) }

func (c *Clients) drawClass() Class {
	point := c.rng.Float64()
	for _, class := range c.classes {
		if point -= class.Share; point < 0 {
			return class
		}
	}
	return c.classes[0]
}

func (c *Clients) encodeRequest(request *Request, class Class, shard int, volume, key uint64) []byte {
	method, plan := "GET", unlimitedPlan
	if request.LimitedVolume > 0 {
		plan = limitedPlan
	}
	fields := http1.Fields{{Name: "Host", Value: "api.internal"}, {Name: "Request-Id", Value: request.ID}, {Name: "X-Qos-Policy", Value: plan},
		{Name: "Request-Timeout", Value: strconv.FormatFloat(class.Timeout.Seconds(), 'f', 3, 64)},
		{Name: "X-Placement", Value: fmt.Sprintf("units=%d,shard=%d,hosts=1", meanUnits, shard)}}
	var body []byte
	if class.Write {
		method, body = "PUT", []byte("block of "+request.ID)
	}
	if class.Keyed {
		fields = append(fields, http1.Field{Name: "Idempotency-Key", Value: request.ID})
	}
	return http1.AppendRequest(nil, method, fmt.Sprintf("/%s/%016x/%016x", class.Name, volume, key), fields, body)
}

// acquireConn returns an idle connection or dials a new one; nil if it may not dial or the
// dial fails.
func (c *Clients) acquireConn(forceNew bool) *clientConn {
	c.mu.Lock()
	if n := len(c.idleConns); n > 0 && !forceNew {
		idle := c.idleConns[n-1]
		c.idleConns = c.idleConns[:n-1]
		c.mu.Unlock()
		return idle
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

func (c *Clients) releaseConn(conn *clientConn) {
	if conn.closeAnnounced {
		conn.Close()
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.idleConns = append(c.idleConns, conn)
}

// exchange sends a batch and waits for the responses. Requests that get none because the
// connection ended are sent again, each on a new connection.
func (c *Clients) exchange(batch []encodedRequest, abandonAfter time.Duration) {
	var raw []byte
	for _, s := range batch {
		raw = append(raw, s.raw...)
	}
	conn := c.writeBatch(raw)
	if conn == nil {
		return
	}
	now := c.record.Now()
	for _, s := range batch {
		s.SentAt = now
		c.record.addRequest(s.Request)
	}
	for i, s := range batch {
		if c.awaitResponse(conn, s.Request, abandonAfter) {
			continue
		}
		for _, unanswered := range batch[i:] {
			c.resendAfterClose(unanswered, s.Request, abandonAfter)
		}
		return
	}
	c.releaseConn(conn)
}

// writeBatch writes raw to an idle connection, or to a new one if that fails. It returns nil if
// both fail.
func (c *Clients) writeBatch(raw []byte) *clientConn {
	for _, forceNew := range []bool{false, true} {
		conn := c.acquireConn(forceNew)
		if conn == nil {
			return nil
		}
		if _, err := conn.Write(raw); err == nil {
			return conn
		}
		conn.Close()
	}
	return nil
}

// resendAfterClose sends a request again on a new connection, after its connection ended at
// failed, the same or an earlier request of the batch. It is not sent again if the client
// closed the connection or the connection ended within this request's response.
func (c *Clients) resendAfterClose(request encodedRequest, failed *Request, abandonAfter time.Duration) {
	c.record.mu.Lock()
	request.AbandonedAt, request.ConnLostAt = failed.AbandonedAt, failed.ConnLostAt
	resend := failed.AbandonedAt == 0 && !request.BrokenMidResponse
	c.record.mu.Unlock()
	if !resend {
		return
	}
	conn := c.acquireConn(true)
	if conn == nil {
		return
	}
	if _, err := conn.Write(request.raw); err != nil {
		conn.Close()
		return
	}
	c.record.mu.Lock()
	request.Resent, request.ConnLostAt = true, 0
	request.SentAt = c.record.Now() // Request-Timeout counts from the resend
	c.record.mu.Unlock()
	if c.awaitResponse(conn, request.Request, abandonAfter) {
		c.releaseConn(conn)
	}
}

// awaitResponse waits for a response until the client gives up. It returns false if the
// connection is closed without a whole response.
func (c *Clients) awaitResponse(conn *clientConn, request *Request, abandonAfter time.Duration) bool {
	deadline := request.SentAt + request.Timeout + lateResponseWait
	if abandonAfter > 0 {
		deadline = request.SentAt + abandonAfter
	}
	conn.SetReadDeadline(time.Now().Add(deadline - c.record.Now()))
	firstByte, err := conn.reader.Peek(1)
	var response *http1.Response
	var body []byte
	if err == nil {
		response, body, err = http1.ReadWholeResponse(conn.reader, messageLimits)
	}
	c.record.mu.Lock()
	defer c.record.mu.Unlock()
	now := c.record.Now()
	switch {
	case err == nil:
		request.AnsweredAt, request.Status, request.Body = now, response.Status, string(body)
		if response.Close() {
			conn.closeAnnounced = true
		}
		return true
	case env.IsTimeout(err):
		request.AbandonedAt = now
		conn.Close()
		return false
	default:
		request.ConnLostAt, request.BrokenMidResponse = now, len(firstByte) > 0
		conn.Close()
		return false
	}
}
