package scheduler

import (
	"bufio"
	"bytes"
	"io"
	"math"
	"slices"
	"strconv"
	"time"

	"merlinhitch/internal/protocol/http1"
	"merlinhitch/internal/runtime/env"
)

// One connection of a client, from its first request to its close.

// serve reads requests until the connection ends.
func (c *client) serve() {
	c.close(c.serveRequests())
}

// serveRequests reads and answers until the connection is to end; it leaves the reason in
// the client and returns the error that ended the stream, if one did.
func (c *client) serveRequests() error {
	for {
		c.setIdleDeadline()
		if err := c.awaitFirstByte(); err != nil {
			c.reason = closeByClient
			if env.IsTimeout(err) {
				c.reason = closeIdle
			}
			return err
		}
		c.beginRequest()
		r, err := c.readRequest()
		if err != nil {
			c.reason = closeUnreadable
			c.reject(readErrorStatus(err))
			return err
		}
		c.requests++
		c.reason = closeRequested
		c.out.WaitFlushed() // a client that reads slowly gets each answer whole before the next is made
		if !c.handle(r) {
			return c.readAhead.err
		}
	}
}

// close ends the connection so that no answer is lost to a reset. What comes once nothing
// more is sent is left unread: a client may send that again elsewhere.
func (c *client) close(cause error) {
	f := c.frontend
	c.out.Finish()
	c.out.Wait()
	if c.answeredSince(f.loop.now() - env.MS(lingerTimeout)) {
		c.linger()
	}
	c.conn.Close()
	c.readAhead.discard()
	f.mu.Lock()
	defer f.mu.Unlock()
	f.clients.Remove(c)
	f.log.connectionClosed(c, cause)
}

func (c *client) linger() {
	w := c.frontend.environment
	deadline := w.Now() + lingerTimeout
	c.conn.SetReadDeadline(w.Deadline(lingerTimeout))
	if env.WaitReadable(c.conn) == nil { // it will be reset, but not before its answer is there
		env.Sleep(w, deadline-w.Now(), &c.frontend.ended)
	}
}

// answeredSince tells whether an answer may still be on its way, and the client still there.
func (c *client) answeredSince(since float64) bool {
	c.frontend.mu.Lock()
	defer c.frontend.mu.Unlock()
	return c.readAhead.err == nil && c.lastAnswerAt > since
}

// awaitFirstByte waits for a request's first byte. When the time for it is over it looks once more:
// on a machine that stands still now and then a request may have lain there for long, and
// it was taken as it came in.
func (c *client) awaitFirstByte() error {
	_, err := c.in.Peek(1)
	if env.IsTimeout(err) {
		c.conn.SetReadDeadline(time.Time{})
		c.readAhead.readAvailable()
		if len(c.readAhead.buffer) > 0 {
			_, err = c.in.Peek(1)
		}
	}
	return err
}

// request is a request as read.
type request struct {
	*http1.Request
	body       []byte
	receivedAt float64 // of its last byte
}

func (c *client) readRequest() (*request, error) {
	head, err := http1.ReadRequest(c.in, messageLimits)
	if err != nil {
		return nil, err
	}
	framing, err := head.Framing(messageLimits)
	if err != nil {
		return nil, err
	}
	if head.ExpectsContinue() && c.in.Buffered() == 0 {
		c.out.Enqueue(func(b []byte) []byte { return append(b, "HTTP/1.1 100 Continue\r\n\r\n"...) })
	}
	body, err := http1.ReadBody(c.in, framing, messageLimits)
	return &request{Request: head, body: body, receivedAt: c.readAhead.consumedArrivalTime(c.in.Buffered())}, err
}

// readErrorStatus is the answer to what could not be read; 0: none, for the stream is at fault.
func readErrorStatus(err error) int {
	if protocolErr, ok := err.(*http1.Error); ok {
		return protocolErr.Status()
	}
	if env.IsTimeout(err) {
		return 408
	}
	if err == io.ErrUnexpectedEOF {
		return 400
	}
	return 0
}

// reject answers what is no request that can be served, and ends the connection: who
// sends such is not listened to further. Status 0 says nothing.
func (c *client) reject(status int) {
	if status != 0 {
		c.respond(status, true, nil, nil)
	}
}

// respond answers and makes the connection idle, or ends it: it tells whether it goes on.
func (c *client) respond(status int, closeConn bool, fields http1.Fields, body []byte) bool {
	closeConn = closeConn || c.frontend.isFinishing()
	if closeConn {
		fields = append(fields, http1.Field{Name: "Connection", Value: "close"})
	}
	c.out.Enqueue(func(b []byte) []byte { return http1.AppendResponse(b, status, fields, body) })
	if c.becomeIdle(closeConn) {
		return true
	}
	c.out.Finish()
	return false
}

const readyPath = "/up"

// handle answers a request; false if the connection ends with it.
func (c *client) handle(r *request) bool {
	f := c.frontend
	closeConn := r.Close()
	if r.Target == readyPath {
		status := 503
		if f.ready.Opened() && f.drainDeadline() == 0 {
			status = 200
		}
		return c.respond(status, closeConn, nil, nil)
	}
	call, status := f.parser.Load().parse(r)
	if status != 0 {
		c.reason = closeRejected
		c.reject(status)
		return false
	}
	if deadline := f.drainDeadline(); deadline > 0 {
		call.req.Expires = min(call.req.Expires, deadline)
	}
	bodySize := int64(len(r.body))
	if f.requestBytes.Add(bodySize) > f.byteLimit.Load() {
		f.requestBytes.Add(-bodySize)
		return c.respond(503, closeConn, http1.Fields{{Name: "Retry-After", Value: "1"}}, nil)
	}
	defer f.requestBytes.Add(-bodySize)
	return c.submit(call, r.receivedAt, closeConn)
}

// submit has the core take the call and waits for its answer, or for the client to leave. Who
// has left already is not served: nothing is to begin for it.
func (c *client) submit(call *call, at float64, closeConn bool) bool {
	resp := &responder{client: c, closeAfter: closeConn}
	call.replyTo = resp
	c.lastRequestID = call.req.ID
	f := c.frontend
	// Discovery may know already what the list of the start does not: nothing goes by that
	// list until discovery was heard, or has had the time for it.
	env.WaitAny(f.environment, &f.ready, &f.ended)
	c.conn.SetReadDeadline(time.Time{})
	if c.readAhead.readAvailable() != nil {
		return false
	}
	deadline := call.req.Expires
	posted := f.loop.post(at, eventRequest, func(at float64) {
		if !f.core.startCall(at, call) {
			resp.closeAfter, resp.duplicate = true, true
			c.reject(409)
			resp.done.Open()
		}
	})
	if !posted {
		c.reason = closeLoopEnded
		return false
	}
	for !resp.done.Opened() && !c.readAhead.full() {
		if earlier := c.earliestPipelinedDeadline(); earlier < deadline {
			deadline = earlier
			f.loop.post(f.loop.now(), eventDeadlineShortened, func(at float64) { f.core.shortenDeadline(at, call, earlier) })
		}
		if err := c.readAhead.readMore(); err != nil && !env.IsTimeout(err) {
			call.noNewAttempts.Store(true)
			f.loop.post(f.loop.now(), eventClientGone, func(at float64) { f.core.clientGone(at, call) })
			return false
		} else if err != nil {
			break // it is answered: only then is there a deadline
		}
	}
	env.WaitAny(f.environment, &resp.done, &f.ended)
	switch {
	case !resp.done.Opened():
		c.reason = closeLoopEnded
	case resp.duplicate:
		c.reason = closeDuplicateID
	case resp.closeAfter && !closeConn:
		c.reason = closeDraining
	}
	return resp.done.Opened() && !resp.closeAfter
}

// deliver implements answerer, on the loop.
func (r *responder) deliver(outcome callOutcome, retryAfterMS float64, body []byte) {
	status, fields := 504, http1.Fields(nil)
	switch outcome {
	case callServed:
		// Clients that don't read may hold all the room.
		if fr := r.client.frontend; fr.answerBytes.Load()+int64(len(body)) <= fr.byteLimit.Load() {
			status = 200
		} else {
			body = nil
		}
	case callRefused:
		status = 503
		if retryAfterMS > 0 {
			fields = http1.Fields{{Name: "Retry-After", Value: strconv.FormatFloat(retryAfterMS/1000, 'f', 3, 64)}}
		}
	}
	r.closeAfter = !r.client.respond(status, r.closeAfter, fields, body)
	r.done.Open()
}

// maxPipelinedScanned bounds how many requests that came ahead are looked at for their ends.
const maxPipelinedScanned = 64

// earliestPipelinedDeadline is when the time of the first of those requests ends that have come whole behind
// the one that is open, on the loop's clock; +Inf where there are none. Answers go in order:
// each of them waits for the one before it.
func (c *client) earliestPipelinedDeadline() float64 {
	earliest := math.Inf(1)
	buffered, _ := c.in.Peek(c.in.Buffered())
	if len(buffered)+len(c.readAhead.buffer) == 0 {
		return earliest
	}
	pending := slices.Concat(buffered, c.readAhead.buffer)
	startOffset := c.readAhead.bytesRead - int64(len(pending))
	unread := bytes.NewReader(pending)
	in := bufio.NewReaderSize(unread, readBufferBytes)
	for range maxPipelinedScanned {
		timeout, ok := readRequestTimeout(in)
		if !ok {
			break
		}
		endOffset := len(pending) - unread.Len() - in.Buffered()
		earliest = min(earliest, c.readAhead.arrivalTime(startOffset+int64(endOffset))+timeout)
	}
	return earliest
}

// readRequestTimeout reads a whole request and tells the time that its client waits, ms, +Inf where it
// does not say.
func readRequestTimeout(in *bufio.Reader) (float64, bool) {
	head, _, err := http1.ReadWholeRequest(in, messageLimits)
	if err != nil {
		return 0, false
	}
	seconds, err := strconv.ParseFloat(head.Fields.Get("request-timeout"), 64)
	if err != nil || !(seconds > 0) {
		return math.Inf(1), true
	}
	return seconds * 1000, true
}
