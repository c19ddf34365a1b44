package scheduler

import (
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"merlinhitch/internal/runtime/env"
	"merlinhitch/internal/simulation/standin"
)

// The parts of the memory must not exceed it, whatever the limits and the image are.
func TestMemoryPlanFitsTheMemory(t *testing.T) {
	for _, limits := range []Limits{
		{MemoryMB: 32, Sockets: 64}, {MemoryMB: 32, Sockets: 1024}, {MemoryMB: 48, Sockets: 1024}, {MemoryMB: 64, Sockets: 384},
		{MemoryMB: 192, Sockets: 1024}, {MemoryMB: 32, Sockets: 65536}, {MemoryMB: 48, Sockets: 1024, ImageBytes: 40 << 20}, {},
	} {
		plan := PlanMemory(limits)
		total := int64(max(limits.MemoryMB, minMemoryMB)) << 20
		messages := plan.heads + plan.bodies + plan.readAhead + plan.replies + plan.answers
		conns := int64(plan.maxClients+plan.maxClosing)*clientConnBytes + int64(plan.maxServers)*serverConnBytes
		if plan.HeapBytes <= 0 || plan.HeapBytes > max(total-limits.ImageBytes-spareBytes, total/4) || plan.heads < 0 || plan.maxClients < 1 || plan.maxServers < 1 {
			t.Errorf("%+v: got %+v", limits, plan)
		}
		if live := messages + conns + baseBytes; float64(live) > liveFraction*float64(plan.HeapBytes) && messages > 0 {
			t.Errorf("%+v: messages, connections and the rest take %d bytes of a heap of %d", limits, live, plan.HeapBytes)
		}
	}
	if plan := PlanMemory(Limits{MemoryMB: 48, Sockets: 1024}); plan.maxClients != 614 {
		t.Errorf("48 MB and 1,024 descriptors: got %d clients, want all that the descriptors allow, 614", plan.maxClients)
	}
}

// A body that finds no room takes that of the largest one that has stalled, and not of one that is
// whole or makes progress.
func TestStalledBodiesGiveWay(t *testing.T) {
	now := 0.0
	clock := func() float64 { return now }
	var budget bodyBudget
	budget.setLimit(100 << 10)
	const wholeBytes, smallBytes, largeBytes = 20 << 10, 10 << 10, 40 << 10
	newBody := func(size int) *requestBody {
		body := budget.newBody(clock, size)
		body.append(make([]byte, size))
		return body
	}
	whole, small, large := newBody(wholeBytes), newBody(smallBytes), newBody(largeBytes)
	if _, kept := whole.complete(); !kept {
		t.Fatal("a body within the budget was dropped")
	}
	if _, kept := newBody(largeBytes).complete(); kept {
		t.Error("a body beyond the budget was kept, although none has stalled")
	}
	now += bodyStallTimeMS + 1
	small.append(nil)
	if _, kept := newBody(largeBytes).complete(); !kept {
		t.Error("a body was dropped although a large one has stalled")
	}
	for name, tt := range map[string]struct {
		body *requestBody
		want bool
	}{"whole": {whole, true}, "small, with progress": {small, true}, "large, stalled": {large, false}} {
		if _, kept := tt.body.complete(); kept != tt.want {
			t.Errorf("%s: kept %v, want %v", name, kept, tt.want)
		}
	}
	for _, body := range []*requestBody{whole, small, large} {
		body.release()
	}
	if held := budget.usedBytes(); held != largeBytes-unreservedBytes {
		t.Errorf("%d bytes are held, want those of the last body", held)
	}
}

// A body that is as large as unreservedBytes is kept whatever others hold.
func TestSmallBodiesNeedNoRoom(t *testing.T) {
	var budget bodyBudget
	body := budget.newBody(func() float64 { return 0 }, 64<<10)
	body.append(make([]byte, unreservedBytes))
	if _, kept := body.complete(); !kept {
		t.Error("a small body was dropped for lack of room")
	}
}

// A write whose body finds no room must be read to its end and refused on an open connection, so that
// no reset overtakes the answer; its memory must be free then.
func TestWriteWithoutRoomIsRefused(t *testing.T) {
	for name, chunked := range map[string]bool{"length": false, "chunks": true} {
		t.Run(name, func(t *testing.T) {
			runSimulated(t, respondWith(ok200), func(h *harness) {
				h.scheduler.memory.bodies.setLimit(8 << 10)
				client := h.connect()
				body := strings.Repeat("x", 60<<10)
				write := h.formatRequest("PUT", "txn-write", "00000000000000aa", "9.000", body, "Idempotency-Key: k\r\n")
				if chunked {
					write = strings.Replace(write, fmt.Sprintf("Content-Length: %d", len(body)), "Transfer-Encoding: chunked", 1)
					write = strings.Replace(write, body, fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(body), body), 1)
				}
				got := client.roundTrip(write)
				if got.status != 503 || got.closeConn || got.fields.Get("retry-after") == "" {
					t.Errorf("got %+v, want status 503 with Retry-After on an open connection", got)
				}
				if got := client.roundTrip(h.getRequest()); got.status != 200 {
					t.Error("read behind it: want status 200, got", got)
				}
				if held := h.scheduler.memory.bodies.usedBytes(); held != 0 || len(h.diskServer.Requests()) != 1 {
					t.Errorf("%d bytes are held, want 0; %d requests at the disk server, want that of the read", held, len(h.diskServer.Requests()))
				}
			})
		})
	}
}

// A head that finds no room is refused; heads of usual size need none.
func TestHeadWithoutRoomIsRefused(t *testing.T) {
	runSimulated(t, respondWith(ok200), func(h *harness) {
		h.scheduler.memory.heads.limit.Store(1 << 10)
		if got := h.connect().roundTrip(h.getRequest("X-Filler: " + strings.Repeat("x", 9000) + "\r\n")); got.status != 503 || !got.closeConn {
			t.Errorf("head of 9 KB: got %+v, want status 503 and a close", got)
		}
		if got := h.connect().roundTrip(h.getRequest()); got.status != 200 {
			t.Error("usual head: want status 200, got", got)
		}
		if held := h.scheduler.memory.heads.used.Load(); held != 0 {
			t.Errorf("%d bytes are held, want 0", held)
		}
	})
}

// The body of a request whose client has left is held, and counted, until its attempt has ended.
func TestBodyIsCountedUntilItsAttemptEnds(t *testing.T) {
	runSimulated(t, respondAfter(300*time.Millisecond), func(h *harness) {
		client := h.connect()
		io.WriteString(client.conn, h.formatRequest("PUT", "txn-write", "00000000000000aa", "9.000", strings.Repeat("x", 30<<10), "Idempotency-Key: k\r\n"))
		env.Sleep(h.environment, 50*time.Millisecond, nil)
		client.conn.Close()
		env.Sleep(h.environment, 50*time.Millisecond, nil)
		if held := h.scheduler.memory.bodies.usedBytes(); held == 0 {
			t.Error("no bytes are counted while the attempt is out")
		}
		env.Sleep(h.environment, 300*time.Millisecond, nil)
		if held := h.scheduler.memory.bodies.usedBytes(); held != 0 {
			t.Errorf("%d bytes are counted after the attempt, want 0", held)
		}
	})
}

// A streamBuffer must hand out what was appended and put back, in order, and count its storage.
func TestStreamBufferKeepsOrder(t *testing.T) {
	for seed := range uint64(200) {
		random := rand.New(rand.NewPCG(seed, 0))
		var budget byteBudget
		buffer := streamBuffer{budget: &budget}
		var want []byte
		for range 200 {
			switch data := make([]byte, random.IntN(5000)); random.IntN(3) {
			case 0:
				for i := range data {
					data[i] = byte(random.Uint32())
				}
				buffer.append(data)
				want = append(want, data...)
			default:
				n := buffer.consume(data)
				if !bytes.Equal(data[:n], want[:n]) {
					t.Fatalf("seed %d: other bytes than were appended", seed)
				}
				kept := random.IntN(n + 1)
				buffer.putBack(data[kept:n])
				want = want[kept:]
			}
			if !bytes.Equal(buffer.bytes(), want) || budget.used.Load() != int64(cap(buffer.storage)) {
				t.Fatalf("seed %d: holds %d bytes, want %d; counted %d, storage %d", seed, buffer.len(), len(want), budget.used.Load(), cap(buffer.storage))
			}
		}
	}
}

// A request that arrives byte by byte must not fill the memory with times of arrival, and its last byte
// must not count as later than it came, nor as much earlier.
func TestArrivalTimesAreBounded(t *testing.T) {
	now := 0.0
	const bytes, maxErrorMS = 5000, 200.0
	ahead := &readAhead{now: func() float64 { return now }, buffer: streamBuffer{budget: &byteBudget{}}}
	for range bytes {
		now++
		ahead.fill(make([]byte, 2), func([]byte) (int, error) { return 1, nil })
	}
	if len(ahead.marks) > maxMarks {
		t.Errorf("%d times are held, want at most %d", len(ahead.marks), maxMarks)
	}
	for offset := int64(1); offset <= bytes; offset++ {
		if got := ahead.arrivalTime(offset); got > float64(offset) || got < float64(offset)-maxErrorMS {
			t.Fatalf("byte %d: counts from %g ms, want at most %d and at least %g", offset, got, offset, float64(offset)-maxErrorMS)
		}
	}
}

// Responses that stop half way must not keep small ones of other disk servers from being read.
func TestSmallResponsesNeedNoRoom(t *testing.T) {
	respond := func(r standin.HTTPRequest) standin.HTTPResponse {
		if r.Conn == 0 {
			return standin.HTTPResponse{Raw: []byte("HTTP/1.1 200 OK\r\nContent-Length: 60000\r\n\r\n" + strings.Repeat("x", 50_000))}
		}
		return standin.HTTPResponse{Raw: []byte(ok200)}
	}
	runSimulated(t, respond, func(h *harness) {
		h.scheduler.memory.replies.limit.Store(64 << 10)
		io.WriteString(h.connect().conn, strings.Replace(h.getRequest(), "0.480", "9.000", 1))
		env.Sleep(h.environment, 50*time.Millisecond, nil)
		if held := h.scheduler.memory.replies.used.Load(); held < 40_000 {
			t.Fatalf("%d bytes of the first response are counted, want its 50,000", held)
		}
		h.scheduler.memory.replies.limit.Store(0)
		if got := h.connect().roundTrip(h.getRequest()); got.status != 200 {
			t.Error("small response beside it: want status 200, got", got)
		}
	})
}

// A smaller limit, after a reload, applies to what comes; it takes nothing from requests that are whole.
func TestSmallerLimitAppliesToWhatComes(t *testing.T) {
	now := 0.0
	var budget bodyBudget
	budget.setLimit(100 << 10)
	held := budget.newBody(func() float64 { return now }, 60<<10)
	held.append(make([]byte, 60<<10))
	held.complete()
	budget.setLimit(20 << 10)
	now += 2 * bodyStallTimeMS
	later := budget.newBody(func() float64 { return now }, 8<<10)
	later.append(make([]byte, 8<<10))
	if _, kept := later.complete(); kept {
		t.Error("a body was kept beyond the smaller limit")
	}
	if content, kept := held.complete(); !kept || len(content) != 60<<10 {
		t.Error("a whole body was dropped")
	}
	held.release()
	again := budget.newBody(func() float64 { return now }, 8<<10)
	again.append(make([]byte, 8<<10))
	if _, kept := again.complete(); !kept {
		t.Error("a body within the smaller limit was dropped")
	}
}
