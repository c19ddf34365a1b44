package scheduler

import (
	"testing"
	"time"

	"merlinhitch/internal/runtime/env"
	"merlinhitch/internal/simulation/standin"
)

// Idle times after which connections break must be avoided, others must not, and an avoided one
// must be tried again once its counts have decayed.
func TestIdleTimesThatBreakAreAvoided(t *testing.T) {
	var stats reuseStats
	for i := range 10 {
		now := float64(i)
		stats.record(now, 20, false)
		stats.record(now, 300, i%2 == 0)
	}
	if stats.likelyBroken(10, 20) || !stats.likelyBroken(10, 300) || stats.likelyBroken(10, 100_000) || stats.likelyBroken(10, 0) {
		t.Errorf("got buckets %+v, want only those of 300 ms avoided", stats.buckets)
	}
	if stats.likelyBroken(10+5*reuseDecayTime, 300) {
		t.Error("connections idle for 300 ms are still replaced after 5 decay times, want them tried again")
	}
}

// A disk server that drops connections idle for over 100 ms, and closes them only at the next
// request, must cause few retries.
func TestSilentlyDroppedConnections(t *testing.T) {
	lastRequestAt := map[int]time.Duration{}
	respond := func(request standin.HTTPRequest) standin.HTTPResponse {
		idle := request.ReceivedAt - lastRequestAt[request.Conn]
		if lastRequestAt[request.Conn] = request.ReceivedAt; request.Index > 0 && idle > 100*time.Millisecond {
			return standin.HTTPResponse{Close: true}
		}
		return standin.HTTPResponse{Raw: []byte(ok200)}
	}
	runSimulated(t, respond, func(h *harness) {
		client := h.connect()
		for range 100 {
			if got := client.roundTrip(h.getRequest()); got.status != 200 {
				t.Error(got)
			}
			env.Sleep(h.environment, 150*time.Millisecond, nil)
		}
		if resends := h.scheduler.core.counters.Resends; resends > 10 {
			t.Errorf("%d of 100 requests were sent again, want at most 10", resends)
		}
	})
}

// A response larger than the limit for requests must be forwarded whole, and its bytes must no
// longer be reserved afterwards.
func TestLargeResponses(t *testing.T) {
	body := make([]byte, 400_000)
	for i := range body {
		body[i] = 'a' + byte(i%26)
	}
	response := "HTTP/1.1 200 OK\r\nContent-Length: 400000\r\n\r\n" + string(body)
	runSimulated(t, respondWith(response), func(h *harness) {
		got := h.connect().roundTrip(h.getRequest())
		if got.status != 200 || got.body != string(body) {
			t.Error(got.status, len(got.body))
		}
		if memory := &h.scheduler.memory; memory.replies.used.Load() != 0 || memory.answers.used.Load() != 0 {
			t.Errorf("got %d bytes from disk servers and %d bytes to clients still reserved, want none", memory.replies.used.Load(), memory.answers.used.Load())
		}
	})
}
