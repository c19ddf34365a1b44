package scheduler

import (
	"strconv"
	"sync/atomic"
	"time"

	"merlinhitch/internal/protocol/http1"
	"merlinhitch/internal/runtime/env"
)

// serve handles requests on the connection until it ends, and closes it.
func (c *client) serve() {
	c.close(c.serveRequests())
}

// serveRequests reads and answers requests until the connection is to be closed. It sets c.reason
// and returns the read error that ended the stream, if any.
func (c *client) serveRequests() error {
	for {
		if !c.answerRefused() {
			return c.readAhead.err
		}
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
		c.setState(clientActive)
		c.requests++
		c.reason = closeRequested
		c.out.WaitFlushed() // wait for slow readers, so that at most one answer is queued
		if !c.handle(r) {
			return c.readAhead.err
		}
		c.readAhead.noteAnswered(c.in.Buffered())
		env.Yield() // a client that sends all the time must not keep others from their turn
	}
}

// close writes what is queued and closes the connection. After a recent answer it lingers first, so
// that a reset does not overtake the answer. Requests that arrive meanwhile stay unread, so the client
// may safely send them elsewhere.
func (c *client) close(cause error) {
	f := c.frontend
	c.out.Finish()
	c.out.Wait()
	if c.beginLinger() && c.answeredSince(f.loop.now()-env.MS(lingerTimeout)) {
		c.linger()
	}
	c.conn.Close()
	c.readAhead.discard()
	f.mu.Lock()
	defer f.mu.Unlock()
	f.clients.Remove(c)
	f.log.connectionClosed(c, cause)
}

// beginLinger marks that all is answered. It returns false if the connection has to make room for
// another one.
func (c *client) beginLinger() bool {
	f := c.frontend
	f.mu.Lock()
	defer f.mu.Unlock()
	if c.state == clientClosing {
		return false
	}
	c.state, c.stateSince = clientLingering, f.loop.now()
	c.conn.SetReadDeadline(f.environment.Deadline(lingerTimeout))
	return true
}

// linger waits for the client to close its side, for up to lingerTimeout.
func (c *client) linger() {
	w := c.frontend.environment
	deadline := w.Now() + lingerTimeout
	if env.WaitReadable(c.conn) == nil { // unread data turns the close into a reset: give the answer time to arrive
		env.Sleep(w, deadline-w.Now(), &c.lingerCut)
	}
}

// answeredSince reports whether the last answer was given after since (ms, loop's clock) and the client
// has not closed its side, so that the answer may still be in flight.
func (c *client) answeredSince(since float64) bool {
	c.frontend.mu.Lock()
	defer c.frontend.mu.Unlock()
	return c.readAhead.err == nil && c.lastAnswerAt > since
}

// awaitFirstByte waits for a request's first byte. After a timeout it checks the socket once more:
// if the process was descheduled, a request may have arrived in time without being read.
func (c *client) awaitFirstByte() error {
	_, err := c.in.Peek(1)
	if env.IsTimeout(err) {
		c.conn.SetReadDeadline(time.Time{})
		c.readAhead.readAvailable(readBytes)
		if c.readAhead.buffer.len() > 0 {
			_, err = c.in.Peek(1)
		}
	}
	return err
}

// reject answers an invalid request with status and ends the connection; status 0 sends nothing.
func (c *client) reject(status int) {
	switch status {
	case 0:
	case 503:
		c.countRefused(&c.frontend.memory.refused.heads, "head", 1)
		c.refuseForRoom(true)
	default:
		c.respond(status, true, nil, nil)
	}
}

// respond queues an answer, then makes the connection idle or ends it. It returns false if the
// connection ends.
func (c *client) respond(status int, closeConn bool, fields http1.Fields, body []byte) bool {
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

// isLastAnswer reports whether the answer to the open request has to end the connection: during a
// stop, or to make room, unless a request behind it has been read and is owed an answer too. It is
// called by the client's goroutine, which alone knows what has been read.
func (c *client) isLastAnswer() bool { return c.ending() && !c.pipelined.waiting() }

const readyPath = "/up"

// retryAfterRoom is the Retry-After, in seconds, of a request that was refused for lack of room.
const retryAfterRoom = "1"

// countRefused counts and logs requests that are refused for lack of room.
func (c *client) countRefused(counter *atomic.Uint64, part string, count int) {
	counter.Add(uint64(count))
	c.frontend.log.roomRefused(c, part, count)
}

// refuseForRoom answers a request for which there is no room.
func (c *client) refuseForRoom(closeConn bool) bool {
	return c.respond(503, closeConn, http1.Fields{{Name: "Retry-After", Value: retryAfterRoom}}, nil)
}

// answerRefused answers the pipelined requests that were dropped, if they are next. It returns false
// if the connection is to be closed.
func (c *client) answerRefused() bool {
	for c.pipelined.refusedNext() {
		count := c.pipelined.takeRefused()
		if count == 0 && !c.readDropped() {
			return false
		}
		if count > 0 && !c.refusePipelined(count) {
			return false
		}
	}
	return true
}

// readDropped reads the rest of a request that is dropped. It returns false, and rejects the request, if
// that does not come in time.
func (c *client) readDropped() bool {
	c.beginRequest()
	for c.readAhead.skip > 0 {
		if err := c.readAhead.readMore(min(c.readAhead.skip, readBytes)); err != nil {
			c.reason = closeUnreadable
			c.reject(readErrorStatus(err))
			return false
		}
	}
	return true
}

// refusePipelined refuses count requests that were dropped. It returns false if the connection ends.
func (c *client) refusePipelined(count int) bool {
	c.requests += count
	c.countRefused(&c.frontend.memory.refused.pipelined, "pipelined requests", count)
	for ; count > 0; count-- {
		c.out.WaitFlushed()
		if !c.refuseForRoom(count == 1 && c.isLastAnswer()) {
			c.reason = closeDraining
			return false
		}
		env.Yield()
	}
	return true
}

// handle answers a request. It returns false if the connection is to be closed.
func (c *client) handle(r *request) bool {
	f := c.frontend
	closeConn := r.Close()
	if r.dropped {
		r.memory.release()
		c.countRefused(&f.memory.refused.bodies, "body", 1)
		return c.refuseForRoom(closeConn || c.isLastAnswer())
	}
	if r.Target == readyPath {
		r.memory.release()
		status := 503
		if f.ready.Opened() && f.drainDeadline() == 0 {
			status = 200
		}
		return c.respond(status, closeConn || c.isLastAnswer(), nil, nil)
	}
	if c.recycled.Load() && c.pipelined.waiting() {
		r.memory.release()
		c.countRefused(&f.memory.refused.pipelined, "connection", 1)
		return c.refuseForRoom(false)
	}
	call, status := f.parser.Load().parse(r)
	if status != 0 {
		r.memory.release()
		c.reason = closeRejected
		c.reject(status)
		return false
	}
	if deadline := f.drainDeadline(); deadline > 0 {
		call.req.Expires = min(call.req.Expires, deadline)
	}
	return c.submit(call, r, closeConn)
}

// submit hands the call to the core and waits until it is answered or the client leaves. A client that
// has already left is not served. It returns false if the connection is to be closed.
func (c *client) submit(call *call, r *request, closeConn bool) bool {
	resp := &responder{client: c, closeAfter: closeConn}
	call.replyTo, call.client, call.release = resp, c, r.memory.release
	c.lastRequestID = call.req.ID
	f := c.frontend
	c.putBackUnread()
	// The configured server list may be out of date, so nothing is sent until discovery has
	// answered or its time to do so is over.
	env.WaitAny(f.environment, &f.ready, &f.ended)
	c.conn.SetReadDeadline(time.Time{})
	if c.readAvailable() != nil {
		r.memory.release()
		return false
	}
	posted := f.loop.post(r.receivedAt, eventRequest, func(occurredAt float64) {
		if !f.core.startCall(occurredAt, call) {
			resp.closeAfter, resp.duplicate = true, true
			c.reject(409)
			r.memory.release()
			resp.done.Open()
		}
	})
	if !posted {
		r.memory.release()
		c.reason = closeLoopEnded
		return false
	}
	if !c.readWhileOpen(call, &resp.done) {
		return false
	}
	env.WaitAny(f.environment, &resp.done, &f.ended)
	if answer := resp.deferred; resp.done.Opened() && answer != nil {
		resp.closeAfter = !c.respond(answer.status, c.isLastAnswer(), answer.fields, answer.body)
	}
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

// putBackUnread makes readAhead hold what the reader holds of the requests behind the open one.
func (c *client) putBackUnread() {
	if unread, _ := c.in.Peek(c.in.Buffered()); len(unread) > 0 {
		c.readAhead.putBack(unread)
		c.in.Reset(c.readAhead)
	}
}

// maxReadsBeforeStart bounds the reads before a request is taken: a client that sends all the time is
// seen to leave once its request is open.
const maxReadsBeforeStart = 64

// readAvailable reads what the client has sent behind the request that was read. It returns an error
// if the client has left.
func (c *client) readAvailable() error {
	for range maxReadsBeforeStart {
		room := c.pipelined.room()
		if room == 0 || c.recycled.Load() || c.readAhead.readAvailable(room) != nil {
			break
		}
		env.Yield()
	}
	return c.readAhead.err
}

// readWhileOpen reads what the client sends behind its open request, until that is answered or there
// is no room to read on. It returns false, and ends the call, if the client leaves.
func (c *client) readWhileOpen(call *call, answered *env.Gate) bool {
	f := c.frontend
	deadline := call.req.Expires
	for {
		if earlier := c.pipelined.earliestDeadline(); earlier < deadline {
			deadline = earlier
			f.loop.post(f.loop.now(), eventDeadlineShortened, func(occurredAt float64) { f.core.shortenDeadline(occurredAt, call, earlier) })
		}
		room := c.pipelined.room()
		if answered.Opened() || room == 0 || c.recycled.Load() {
			return true
		}
		err := c.readAhead.readMore(room)
		c.reads.signal()
		if err != nil && !env.IsTimeout(err) {
			call.noNewAttempts.Store(true)
			f.loop.post(f.loop.now(), eventClientGone, func(occurredAt float64) { f.core.clientGone(occurredAt, call) })
			return false
		}
		if err != nil {
			return true // answered: only becomeIdle and deliver set a read deadline here
		}
		env.Yield()
	}
}

// deliver implements recipient. It is called on the loop. Where the connection is to end, the client's
// goroutine sends the answer, since it decides whether that is the last.
func (r *responder) deliver(outcome callOutcome, retryAfterMS float64, body []byte) {
	answer := r.answer(outcome, retryAfterMS, body)
	if r.client.ending() && !r.closeAfter {
		r.deferred = answer
		r.client.interruptRead()
	} else {
		r.closeAfter = !r.client.respond(answer.status, r.closeAfter, answer.fields, answer.body)
	}
	r.done.Open()
}

// answer returns the answer that states a call's outcome. Only a 200 has a body.
func (r *responder) answer(outcome callOutcome, retryAfterMS float64, body []byte) *answer {
	switch outcome {
	case callServed:
		// Without room for the body, held by clients that do not read, the answer is a 504.
		if answers := &r.client.frontend.memory.answers; answers.used.Load()+int64(len(body)) <= answers.limit.Load() {
			return &answer{status: 200, body: body}
		}
	case callRefused:
		if retryAfterMS > 0 {
			seconds := strconv.FormatFloat(retryAfterMS/1000, 'f', 3, 64)
			return &answer{status: 503, fields: http1.Fields{{Name: "Retry-After", Value: seconds}}}
		}
		return &answer{status: 503}
	}
	return &answer{status: 504}
}
