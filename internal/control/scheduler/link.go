package scheduler

import (
	"math"
	"strconv"
	"time"

	"merlinhitch/internal/protocol/http1"
	"merlinhitch/internal/runtime/env"
	"merlinhitch/policy"
)

// One connection to a disk server while it has an attempt: the request that goes out on it and
// the answer that comes.

const serviceHost = "api.internal"

// encodeRequest is an attempt as it goes to its disk server with so much time left, ms. The server
// is told whole milliseconds, rounded down: never more than its client has left.
func (a *attempt) encodeRequest(left float64) []byte {
	c := a.call
	f := http1.Fields{{Name: "Host", Value: serviceHost}, {Name: "Request-Id", Value: c.req.ID}}
	if c.key != "" {
		f = append(f, http1.Field{Name: "Idempotency-Key", Value: c.key})
	}
	f = append(f, http1.Field{Name: "Request-Timeout", Value: strconv.FormatFloat(math.Floor(max(left, 1))/1000, 'f', 3, 64)})
	return http1.AppendRequest(nil, c.method, c.target, f, c.body)
}

// exchange sends a request and brings its answer, on a goroutine of its own.
func (l *serverConn) exchange(a *attempt, born int64) {
	b := l.pool
	l.conn.SetDeadline(b.environment.Deadline(writeTimeout))
	now := b.loop.now()
	if !b.mayBegin(a, now, born) {
		b.loop.post(now, eventNotBegun, func(at float64) { b.attemptNotBegun(at, l, a) })
		return
	}
	message := a.encodeRequest(a.answerBy - now)
	if n, err := l.conn.Write(message); err != nil {
		r := policy.ConnectionLost
		if n < len(message) { // without its last byte it is no request
			r = policy.NoConnection
		}
		b.loop.post(b.loop.now(), eventConnBroken, func(at float64) { b.connBroken(at, l, a, r) })
		return
	}
	l.conn.SetDeadline(time.Time{})
	r, clean, err := l.readReply()
	if err != nil && !http1.IsMessageError(err) {
		b.replyBytes.Add(-r.reservedBytes)
		b.loop.post(b.loop.now(), eventConnBroken, func(at float64) { b.connBroken(at, l, a, policy.ConnectionLost) })
		return
	}
	clean = clean && err == nil && l.reader.Buffered() == 0
	if !b.loop.post(b.loop.now(), eventAnswered, func(at float64) {
		b.replyReceived(at, l, a, r, clean)
		b.replyBytes.Add(-r.reservedBytes)
	}) || !clean {
		return
	}
	quiet := l.quarantine()
	b.loop.post(b.loop.now(), eventQuarantineEnded, func(at float64) { b.quarantineEnded(at, l, quiet) })
}

// quarantine listens for a while whether anything follows the answer; false if so.
func (l *serverConn) quarantine() bool {
	l.conn.SetReadDeadline(l.pool.environment.Deadline(quarantineTime))
	_, err := l.reader.Peek(1)
	l.conn.SetReadDeadline(time.Time{})
	return env.IsTimeout(err)
}

// readReply reads one readReply. One that cannot be read is a failed attempt that may have run.
func (l *serverConn) readReply() (r reply, keep bool, err error) {
	r.result = policy.ServerError
	m, err := http1.ReadResponse(l.reader, responseLimits)
	if err != nil {
		return r, false, err
	}
	fr, err := m.Framing(responseLimits)
	if err != nil {
		return r, false, err
	}
	lim := responseLimits
	lim.Reserve = func(n int) bool {
		r.reservedBytes += int64(n)
		return l.pool.replyBytes.Add(int64(n)) <= l.pool.maxReplyBytes.Load()
	}
	if r.body, err = http1.ReadBody(l.reader, fr, lim); err != nil {
		return r, false, err
	}
	if more, _ := l.reader.Peek(l.reader.Buffered()); len(more) > 0 && !startsResponse(more) {
		// Its length may have said less than there was, and nothing tells that from
		// noise behind it.
		return r, false, nil
	}
	r.result = resultOf(m)
	r.use, r.fromOthers = headerNumber(m.Fields.Get("x-iops-used"), 1), headerNumber(m.Fields.Get("x-rho"), 0)
	return r, !m.Close() && !fr.UntilClose, nil
}

func startsResponse(b []byte) bool {
	const mark = "HTTP/1.1 "
	n := min(len(b), len(mark))
	return string(b[:n]) == mark[:n]
}

func resultOf(m *http1.Response) policy.Result {
	switch {
	case m.Status == 200:
		return policy.Served
	case (m.Status == 503 || m.Status == 504) && m.Fields.Get("not-started") == "1":
		return policy.Rejected
	}
	return policy.ServerError
}

// headerNumber is a number that a server tells beside its answer, raised by base; one that
// cannot be read is none.
func headerNumber(s string, base float64) float64 {
	n, err := strconv.ParseUint(s, 10, 32)
	if err != nil {
		return 0
	}
	return float64(n) + base
}

// noInput tells that nothing has come on a free connection, neither bytes that nobody asked
// for nor its end.
func (l *serverConn) noInput() bool {
	var one [1]byte
	_, err := env.ReadAvailable(l.conn, one[:])
	return err == env.ErrNoData && l.reader.Buffered() == 0
}
