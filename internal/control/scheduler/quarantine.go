package scheduler

import (
	"io"
	"time"

	"merlinhitch/internal/runtime/env"
	"merlinhitch/policy"
)

// quarantineTime is how long a connection is read after a response, before the response is
// forwarded and the connection is reused. Bytes that follow within that time may be the rest of a
// body longer than its Content-Length, or a duplicate of the response that must not be taken for
// the response to the next request.
const quarantineTime = 8 * time.Millisecond

// following is what came on a connection within quarantineTime after a response.
type following int

const (
	followedByNothing  following = iota // the connection stayed open
	followedByEnd                       // the disk server closed the connection
	followedByResponse                  // bytes that begin as another response does, such as a duplicate
	followedByOther                     // other bytes, such as the rest of the body
	followedByReset                     // the connection broke; bytes before that may have been lost
)

func (f following) String() string {
	return [...]string{"nothing", "end of stream", "another response", "other bytes", "reset"}[f]
}

// responsePrefix is how each HTTP/1.1 response begins.
const responsePrefix = "HTTP/1.1 "

// readFollowing reads for quarantineTime after a response and returns what followed it.
func (sc *serverConn) readFollowing() following {
	sc.conn.SetReadDeadline(sc.pool.environment.Deadline(quarantineTime))
	peeked, err := sc.reader.Peek(len(responsePrefix))
	sc.conn.SetReadDeadline(time.Time{})
	var start [len(responsePrefix)]byte
	n := copy(start[:], peeked)
	if env.IsTimeout(err) {
		// A read whose deadline passed while the process did not run returns no data, even if
		// some has arrived.
		var available int
		available, err = env.ReadAvailable(sc.conn, start[n:])
		n += available
	}
	switch {
	case string(start[:n]) == responsePrefix:
		return followedByResponse
	case n > 0:
		return followedByOther
	case err == env.ErrNoData:
		return followedByNothing
	case err == io.EOF:
		return followedByEnd
	}
	return followedByReset
}

// confirm returns a response's result in view of what followed it: the result that the response
// states only if its body is known to be complete.
func (f following) confirm(result policy.Result) policy.Result {
	switch f {
	case followedByOther:
		return policy.ServerError
	case followedByReset:
		return policy.ConnectionLost
	}
	return result
}
