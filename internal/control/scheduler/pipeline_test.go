package scheduler

import (
	"bufio"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"net"
	"strings"
	"testing"
	"time"

	"merlinhitch/internal/protocol/http1"
	"merlinhitch/internal/runtime/env"
	"merlinhitch/internal/simulation/standin"
)

// respondAfter returns a disk server's behaviour that serves each request after delay.
func respondAfter(delay time.Duration) func(standin.HTTPRequest) standin.HTTPResponse {
	return func(standin.HTTPRequest) standin.HTTPResponse {
		return standin.HTTPResponse{Delay: delay, Raw: []byte(ok200)}
	}
}

// readWithTimeout returns a read that states seconds as its Request-Timeout.
func (h *harness) readWithTimeout(seconds string) string {
	return strings.Replace(h.getRequest(), "0.480", seconds, 1)
}

// A request must be answered by its deadline, however many requests stand before it on its connection.
func TestDeadlineBehindManyPipelinedRequests(t *testing.T) {
	runSimulated(t, respondAfter(90*time.Millisecond), func(h *harness) {
		const longReads, shortReads, answerSlack = 150, 10, 50 * time.Millisecond
		client := h.connect()
		var pipelined strings.Builder
		for range longReads {
			pipelined.WriteString(h.readWithTimeout("5.000"))
		}
		for range shortReads {
			pipelined.WriteString(h.readWithTimeout("2.000"))
		}
		sentAt := h.environment.Now()
		io.WriteString(client.conn, pipelined.String())
		for i := range longReads + shortReads {
			got := client.readResponse(sentAt)
			if got.status == 0 || got.elapsed > 2*time.Second+answerSlack {
				t.Fatalf("response %d: got status %d after %s, want a final answer within 2.05 s", i, got.status, got.elapsed)
			}
		}
	})
}

// A deadline must be kept too when a request begins with as much read ahead as is allowed.
func TestDeadlineBehindFullReadAhead(t *testing.T) {
	slowAfterFirst := func(r standin.HTTPRequest) standin.HTTPResponse {
		if r.Fields.Get("request-id") == fmt.Sprintf("%016x", 1) {
			return respondAfter(100 * time.Millisecond)(r)
		}
		return respondAfter(time.Second)(r)
	}
	runSimulated(t, slowAfterFirst, func(h *harness) {
		const largeWrites, bodyBytes, answerSlack = 12, 32 << 10, 50 * time.Millisecond
		client := h.connect()
		var pipelined strings.Builder
		for _, seconds := range []string{"5.000", "5.000", "0.500"} {
			pipelined.WriteString(h.readWithTimeout(seconds))
		}
		for range largeWrites { // more than maxReadAhead together
			h.requestCount++
			id := fmt.Sprintf("%016x", h.requestCount)
			pipelined.WriteString(h.formatRequest("PUT", "txn-write", id, "5.000", strings.Repeat("x", bodyBytes), "Idempotency-Key: k\r\n"))
		}
		sentAt := h.environment.Now()
		h.environment.Go(func() { io.WriteString(client.conn, pipelined.String()) })
		for i := range 3 {
			got := client.readResponse(sentAt)
			if got.status == 0 || got.elapsed > 500*time.Millisecond+answerSlack {
				t.Fatalf("response %d: got status %d after %s, want a final answer within 0.55 s", i, got.status, got.elapsed)
			}
		}
	})
}

// chunkConn is a connection whose reads return the given chunks.
type chunkConn struct {
	net.Conn
	chunks [][]byte
}

func (c *chunkConn) Read(b []byte) (int, error) {
	n := copy(b, c.chunks[0])
	if c.chunks[0] = c.chunks[0][n:]; len(c.chunks[0]) == 0 {
		c.chunks = c.chunks[1:]
	}
	return n, nil
}

// The earliest deadline must be that of the whole requests behind the consumed ones, in whatever
// pieces the requests come and whenever they are consumed.
func TestEarliestDeadlineDoesNotDependOnPieces(t *testing.T) {
	for seed := range uint64(200) {
		random := rand.New(rand.NewPCG(seed, 0))
		var stream []byte
		var ends []int64
		var timeouts []float64
		for range 12 {
			timeout := 1 + random.IntN(9)
			head := fmt.Sprintf("PUT / HTTP/1.1\r\nRequest-Timeout: %d\r\n", timeout)
			body := strings.Repeat("x", random.IntN(6000))
			if random.IntN(3) == 0 {
				head += fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(body)+1, body+"y")
			} else {
				head += fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(body), body)
			}
			stream = append(stream, head...)
			ends, timeouts = append(ends, int64(len(stream))), append(timeouts, float64(timeout)*1000)
		}
		conn := &chunkConn{}
		for rest := stream; len(rest) > 0; {
			size := min(len(rest), 1+random.IntN(3000))
			conn.chunks, rest = append(conn.chunks, rest[:size]), rest[size:]
		}
		budget := &byteBudget{}
		budget.limit.Store(1 << 20)
		ahead := &readAhead{conn: conn, now: func() float64 { return 0 }, buffer: streamBuffer{budget: budget}}
		pipelined := pipelinedRequests{readAhead: ahead, in: bufio.NewReaderSize(ahead, readBufferBytes)}
		for consumed := 0; consumed < len(ends); {
			whole := 0
			for whole < len(ends) && ends[whole] <= ahead.bytesRead {
				whole++
			}
			want := math.Inf(1)
			for i := consumed; i < whole; i++ {
				want = min(want, timeouts[i])
			}
			if got := pipelined.earliestDeadline(); got != want || pipelined.waiting() != (whole > consumed) {
				t.Fatalf("seed %d, %d bytes read, %d requests consumed: got earliest deadline %g, waiting %v, want %g", seed, ahead.bytesRead, consumed, got, pipelined.waiting(), want)
			}
			if len(conn.chunks) > 0 && random.IntN(4) > 0 {
				ahead.readMore(readBytes)
			} else if _, _, err := http1.ReadWholeRequest(pipelined.in, messageLimits); err != nil {
				t.Fatal(err)
			} else {
				consumed++
			}
		}
	}
}

// Requests that have been read when a stop ends their connection must all be answered, and only the
// last answer may close the connection; an incomplete request behind them gets none.
func TestRequestsReadTogetherAreAnsweredAtAStop(t *testing.T) {
	runSimulated(t, respondAfter(80*time.Millisecond), func(h *harness) {
		const requests = 12
		client := h.connect()
		if got := client.roundTrip(h.getRequest()); got.status != 200 {
			t.Fatalf("request before the stop: got %+v, want status 200", got)
		}
		startedAt := h.environment.Now()
		h.environment.Go(h.scheduler.Drain)
		env.Sleep(h.environment, 3*time.Second, nil)
		var pipelined strings.Builder
		for range requests {
			pipelined.WriteString(h.getRequest())
		}
		io.WriteString(client.conn, pipelined.String()+"GET /half HTTP/1.1\r\nHos")
		for i := range requests {
			got := client.readResponse(startedAt)
			if last := i == requests-1; got.status == 0 || got.closeConn != last || got.elapsed > 3700*time.Millisecond {
				t.Fatalf("response %d of %d: got %+v, want a final answer within 3.7 s, and closeConn at the last one only", i+1, requests, got)
			}
		}
		h.scheduler.Wait()
		h.scheduler = h.startScheduler(fullListJSON(7))
	})
}

// respondWithID returns a disk server's handler that answers with the request's id after delay.
func respondWithID(delay time.Duration) func(standin.HTTPRequest) standin.HTTPResponse {
	return func(r standin.HTTPRequest) standin.HTTPResponse {
		return standin.HTTPResponse{Delay: delay, Raw: http1.AppendResponse(nil, 200, nil, []byte(r.Fields.Get("request-id")))}
	}
}

// drawPipelined returns count requests of all forms behind each other, with ids that count up.
func (h *harness) drawPipelined(random *rand.Rand, count int) string {
	var stream strings.Builder
	for range count {
		body := strings.Repeat("x", 1+random.IntN(40<<10))
		h.requestCount++
		write := h.formatRequest("PUT", "txn-write", fmt.Sprintf("%016x", h.requestCount), "9.000", body, "Idempotency-Key: k\r\n")
		switch random.IntN(4) {
		case 0:
			stream.WriteString(write)
		case 1:
			write = strings.Replace(write, fmt.Sprintf("Content-Length: %d", len(body)), "Transfer-Encoding: chunked", 1)
			stream.WriteString(strings.Replace(write, body, fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(body), body), 1))
		default:
			h.requestCount--
			stream.WriteString(strings.Replace(h.getRequest("X-Filler: "+strings.Repeat("x", random.IntN(1500))+"\r\n"), "0.480", "9.000", 1))
		}
	}
	return stream.String()
}

// However little may be kept of the requests behind an open one, each must be answered, in order: with its
// own response, or with a refusal once no more were kept. The connection must serve further requests.
func TestRequestsThatAreNotKeptAreRefused(t *testing.T) {
	refusedCount := 0
	for seed := range uint64(60) {
		random := rand.New(rand.NewPCG(seed, 0))
		runSimulated(t, respondWithID(5*time.Millisecond), func(h *harness) {
			const requests = 40
			h.scheduler.memory.readAhead.limit.Store([]int64{0, 4 << 10, 32 << 10, 1 << 20}[seed%4])
			client := h.connect()
			stream := h.drawPipelined(random, requests)
			h.environment.Go(func() {
				for rest := stream; len(rest) > 0; {
					size := min(len(rest), 1+random.IntN(20_000))
					io.WriteString(client.conn, rest[:size])
					rest = rest[size:]
					env.Sleep(h.environment, time.Duration(random.IntN(3))*time.Millisecond, nil)
				}
			})
			for i := range requests {
				got := client.readResponse(h.environment.Now())
				switch want := fmt.Sprintf("%016x", i+1); {
				case got.status == 503 && got.fields.Get("retry-after") != "" && !got.closeConn:
					refusedCount++
				case got.status != 200 || got.body != want:
					t.Fatalf("seed %d, response %d: got %+v, want 503 with Retry-After, or 200 with body %s", seed, i, got, want)
				}
			}
			if got := client.roundTrip(h.getRequest()); got.status != 200 {
				t.Errorf("seed %d: request behind them: got %+v, want status 200", seed, got)
			}
			client.conn.Close()
			env.Sleep(h.environment, 100*time.Millisecond, nil)
			if held := h.scheduler.memory.readAhead.used.Load() + h.scheduler.memory.bodies.usedBytes(); held != 0 {
				t.Errorf("seed %d: %d bytes are held after the close, want 0", seed, held)
			}
		})
	}
	if refusedCount == 0 {
		t.Error("no request was refused, so the test has tried nothing")
	}
	t.Log(refusedCount, "requests were refused")
}

// A request that was not kept must be answered by its deadline, whatever is open before it.
func TestRequestsThatAreNotKeptAreAnsweredInTime(t *testing.T) {
	neverRespond := func(standin.HTTPRequest) standin.HTTPResponse { return standin.HTTPResponse{} }
	runSimulated(t, neverRespond, func(h *harness) {
		const largeWrites, reads, bodyBytes, answerSlack = 8, 5, 32 << 10, 50 * time.Millisecond
		client := h.connect()
		var pipelined strings.Builder
		for range largeWrites { // more than maxReadAhead together
			h.requestCount++
			pipelined.WriteString(h.formatRequest("PUT", "txn-write", fmt.Sprintf("%016x", h.requestCount), "9.000", strings.Repeat("x", bodyBytes), "Idempotency-Key: k\r\n"))
		}
		for range reads {
			pipelined.WriteString(h.readWithTimeout("0.500"))
		}
		sentAt := h.environment.Now()
		h.environment.Go(func() { io.WriteString(client.conn, pipelined.String()) })
		for i := range largeWrites + reads {
			if got := client.readResponse(sentAt); got.status == 0 || got.elapsed > 500*time.Millisecond+answerSlack {
				t.Fatalf("response %d: got status %d after %s, want a final answer within 0.55 s", i, got.status, got.elapsed)
			}
		}
	})
}

// Whole requests that were not kept must be refused although the one behind them, which is not kept either,
// never comes whole.
func TestAnIncompleteRequestDoesNotHoldUpRefusals(t *testing.T) {
	runSimulated(t, respondAfter(20*time.Millisecond), func(h *harness) {
		const reads = 5
		h.scheduler.memory.readAhead.limit.Store(4 << 10)
		client := h.connect()
		var pipelined strings.Builder
		pipelined.WriteString(h.getRequest())
		for range reads {
			pipelined.WriteString(h.getRequest("X-Filler: " + strings.Repeat("x", 3000) + "\r\n"))
		}
		write := h.formatRequest("PUT", "txn-write", "00000000000000aa", "9.000", strings.Repeat("x", 60<<10), "Idempotency-Key: k\r\n")
		sentAt := h.environment.Now()
		io.WriteString(client.conn, pipelined.String()+write[:30<<10])
		for i := range reads + 1 {
			if got := client.readResponse(sentAt); got.status == 0 || got.elapsed > 500*time.Millisecond {
				t.Fatalf("response %d: got status %d after %s, want a final answer within 0.5 s", i, got.status, got.elapsed)
			}
		}
		if got := client.readResponse(sentAt); got.status != 408 || !got.closeConn {
			t.Errorf("incomplete write: got %+v, want status 408 and a close", got)
		}
	})
}
