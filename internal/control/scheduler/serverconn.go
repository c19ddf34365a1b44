package scheduler

import (
	"math"
	"strconv"
	"time"

	"merlinhitch/internal/protocol/http1"
	"merlinhitch/internal/runtime/env"
	"merlinhitch/policy"
)

// This file holds the exchange of one request and its response on a connection to a disk server.

// serviceHost is the Host field of requests to disk servers.
const serviceHost = "api.internal"

// encodeRequest returns the attempt's HTTP request. Request-Timeout is timeLeft, ms, rounded down to
// whole milliseconds, so that the server never assumes more time than the client has.
func (a *attempt) encodeRequest(timeLeft float64) []byte {
	c := a.call
	f := http1.Fields{{Name: "Host", Value: serviceHost}, {Name: "Request-Id", Value: c.req.ID}}
	if c.key != "" {
		f = append(f, http1.Field{Name: "Idempotency-Key", Value: c.key})
	}
	f = append(f, http1.Field{Name: "Request-Timeout", Value: strconv.FormatFloat(math.Floor(max(timeLeft, 1))/1000, 'f', 3, 64)})
	return http1.AppendRequest(nil, c.method, c.target, f, c.body)
}

// exchange sends a request and posts its response, or its failure, to the loop. It runs in a
// goroutine of its own.
func (sc *serverConn) exchange(a *attempt, startedMS int64) {
	p := sc.pool
	sc.conn.SetDeadline(p.environment.Deadline(writeTimeout))
	permitted := a.clientPresent(p.loop.now()) && p.mayBegin(a, p.loop.now(), startedMS)
	now := p.loop.now() // again: mayBegin waits while a list is applied
	if !permitted || !a.inTime(now) || !a.startWrite() {
		p.loop.post(now, eventNotBegun, func(occurredAt float64) { p.attemptNotBegun(occurredAt, sc, a) })
		return
	}
	request := a.encodeRequest(a.answerBy - now)
	if n, err := sc.conn.Write(request); err != nil {
		r := policy.ConnectionLost
		if n < len(request) { // an incomplete request cannot have been executed
			r = policy.NoConnection
		}
		p.loop.post(p.loop.now(), eventConnBroken, func(occurredAt float64) { p.connBroken(occurredAt, sc, a, r) })
		return
	}
	sc.conn.SetDeadline(time.Time{})
	r, reusable, err := sc.readReply()
	if err != nil && !http1.IsMessageError(err) {
		r.memory.release()
		p.loop.post(p.loop.now(), eventConnBroken, func(occurredAt float64) { p.connBroken(occurredAt, sc, a, policy.ConnectionLost) })
		return
	}
	reusable = reusable && err == nil
	p.loop.post(p.loop.now(), eventReplyReceived, func(occurredAt float64) { p.replyReceived(occurredAt, sc, a, reusable) })
	followedBy := followedByNothing
	if err == nil {
		followedBy = sc.readFollowing()
	}
	p.loop.post(p.loop.now(), eventQuarantineEnded, func(occurredAt float64) {
		p.quarantineEnded(occurredAt, sc, a, r, followedBy)
		r.memory.release()
	})
}

// readReply reads one response and reports whether the connection can be reused. A response that
// cannot be parsed yields policy.ServerError, since the request may have been executed.
func (sc *serverConn) readReply() (r reply, reusable bool, err error) {
	r.result = policy.ServerError
	r.memory = &reservation{budget: &sc.pool.memory.replies, free: unreservedReplyBytes}
	limits := responseLimits
	limits.Reserve, limits.ReserveHead = r.memory.reserve, r.memory.reserve
	response, err := http1.ReadResponse(sc.reader, limits)
	if err != nil {
		return r, false, err
	}
	framing, err := response.Framing(responseLimits)
	if err != nil {
		return r, false, err
	}
	if r.body, err = http1.ReadBody(sc.reader, framing, limits); err != nil {
		return r, false, err
	}
	r.result = resultOf(response)
	r.use, r.fromOthers = headerNumber(response.Fields.Get("x-iops-used"), 1), headerNumber(response.Fields.Get("x-rho"), 0)
	return r, !response.Close() && !framing.UntilClose, nil
}

func resultOf(response *http1.Response) policy.Result {
	switch {
	case response.Status == 200:
		return policy.Served
	case (response.Status == 503 || response.Status == 504) && response.Fields.Get("not-started") == "1":
		return policy.Rejected
	}
	return policy.ServerError
}

// headerNumber parses an unsigned number of a response's header field and adds offset; it returns
// 0 if the field is missing or malformed.
func headerNumber(s string, offset float64) float64 {
	n, err := strconv.ParseUint(s, 10, 32)
	if err != nil {
		return 0
	}
	return float64(n) + offset
}

// noInput reports whether an idle connection has neither unexpected bytes nor an end of stream to
// read.
func (sc *serverConn) noInput() bool {
	var one [1]byte
	_, err := env.ReadAvailable(sc.conn, one[:])
	return err == env.ErrNoData && sc.reader.Buffered() == 0
}
