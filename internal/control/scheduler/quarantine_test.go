package scheduler

import (
	"fmt"
	"net"
	"strings"
	"testing"
	"time"

	"merlinhitch/internal/runtime/env"
	"merlinhitch/internal/simulation/standin"
	"merlinhitch/policy"
)

// shortLengthResponse returns a response whose Content-Length is less than its body's, so that the
// head and the stated part of the body have the given length together.
func shortLengthResponse(body string, statedEnd int) string {
	const format = "HTTP/1.1 200 OK\r\nContent-Length: %05d\r\n\r\n"
	return fmt.Sprintf(format, statedEnd-len(fmt.Sprintf(format, 0))) + body
}

// A response whose Content-Length is too short must fail the attempt, wherever the stated end lies
// relative to the read buffer and to the disk server's writes, and its beginning must not be
// forwarded.
func TestResponseWithShortLengthIsNotForwarded(t *testing.T) {
	const bufferBytes = readBufferBytes
	body := strings.Repeat("0123456789abcdef", 2*bufferBytes/16)
	whole := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	for _, statedEnd := range []int{100, bufferBytes - 1, bufferBytes, bufferBytes + 1, 2*bufferBytes - 1, 2 * bufferBytes, len(shortLengthResponse(body, 2*bufferBytes)) - 1} {
		spoilt := shortLengthResponse(body, statedEnd)
		for _, split := range []struct {
			name  string
			first int // bytes of the first write
			gap   time.Duration
		}{
			{"one write", len(spoilt), 0},
			{"two writes", statedEnd, 0},
			{"two writes 3 ms apart", statedEnd, 3 * time.Millisecond},
			{"two writes 7 ms apart", statedEnd, 7 * time.Millisecond},
		} {
			t.Run(fmt.Sprintf("%d bytes, %s", statedEnd, split.name), func(t *testing.T) {
				respond := func(request standin.HTTPRequest) standin.HTTPResponse {
					if request.Conn > 0 {
						return standin.HTTPResponse{Raw: []byte(whole)}
					}
					return standin.HTTPResponse{Raw: []byte(spoilt[:split.first]), Extra: []byte(spoilt[split.first:]), ExtraDelay: split.gap}
				}
				runSimulated(t, respond, func(h *harness) {
					got := h.connect().roundTrip(h.getRequest())
					counters := h.scheduler.core.counters
					if got.status != 200 || got.body != body {
						t.Errorf("got status %d with a body of %d bytes, want 200 with all %d bytes", got.status, len(got.body), len(body))
					}
					if counters.Sends != 2 || counters.Outcomes[policy.ServerError] != 1 {
						t.Errorf("got counters %+v, want 2 attempts, the first with a server error", counters)
					}
				})
			})
		}
	}
}

// lateReaderConn is a connection to a disk server that delivers a response without the bytes behind
// it, and whose read deadline has passed by the time it is read again, with those bytes unread: the
// process did not run in between.
type lateReaderConn struct {
	*net.TCPConn
	responseBytes int // of the response that have not been read
}

func (c *lateReaderConn) Read(b []byte) (int, error) {
	if c.responseBytes > 0 {
		b = b[:min(len(b), c.responseBytes)]
	}
	n, err := c.TCPConn.Read(b)
	c.responseBytes -= n
	return n, err
}

func (c *lateReaderConn) SetReadDeadline(deadline time.Time) error {
	if deadline.IsZero() {
		return c.TCPConn.SetReadDeadline(deadline)
	}
	if err := env.WaitReadable(c.TCPConn); err != nil {
		return err
	}
	return c.TCPConn.SetReadDeadline(time.Now().Add(-time.Second))
}

// The rest of a body that arrived while the scheduler did not run must be seen although the time to
// read it is over.
func TestRestOfBodyIsSeenAfterReadDeadline(t *testing.T) {
	runOnSockets(t, nil, respondWith(ok200+" there"), func(h *harness, hooks *hookedEnv) {
		hooks.wrapServerConn = func(conn net.Conn) net.Conn { return &lateReaderConn{conn.(*net.TCPConn), len(ok200)} }
		hooks.setDialHook(func(int) error { return nil })
		got := h.connect().roundTrip(h.getRequest())
		if counters := h.counters(); got.status == 200 || counters.Outcomes[policy.Served] > 0 || counters.Outcomes[policy.ServerError] == 0 {
			t.Errorf("got response %+v with counters %+v, want no attempt served", got, counters)
		}
	})
}

// A response must still be served if its attempt's timeout passes during the quarantine, and the
// quarantine must not count as service time.
func TestTimeoutDuringQuarantine(t *testing.T) {
	k, effects := newTestCore(t)
	k.startCall(clockAtStart, effects.newCall(k, "a", "card-read", clockAtStart, 2000))
	a := effects.attempts[0]
	effects.written[a] = true
	k.begin(clockAtStart, a)
	if a.answerBy >= a.call.req.Expires {
		t.Fatalf("the attempt times out at %.0f, want that before the request expires at %.0f", a.answerBy, a.call.req.Expires)
	}
	k.replyReceived(a.answerBy-1, a)
	k.runDue(a.answerBy + 1)
	k.receiveReply(a.answerBy+7, a, reply{result: policy.Served})
	if k.counters.Served != 1 || len(effects.attempts) != 1 || k.counters.Outcomes[policy.Served] != 1 {
		t.Errorf("got counters %+v after %d attempts, want one attempt, served", k.counters, len(effects.attempts))
	}
	if got, want := a.elapsed(k.now), a.answerBy-1-a.issuedAt; got != want {
		t.Errorf("got a service time of %.0f ms, want %.0f ms", got, want)
	}
}
