package scheduler

import (
	"testing"
	"time"

	"merlinhitch/internal/runtime/env"
	"merlinhitch/internal/simulation/standin"
)

// Ages at which connections break are avoided, others are not, and they are tried again.
func TestIdleTimesThatBreakAreAvoided(t *testing.T) {
	var w reuseStats
	for i := range 10 {
		now := float64(i)
		w.record(now, 20, false)
		w.record(now, 300, i%2 == 0)
	}
	if w.likelyBroken(10, 20) || !w.likelyBroken(10, 300) || w.likelyBroken(10, 100_000) || w.likelyBroken(10, 0) {
		t.Errorf("%+v", w.buckets)
	}
	if w.likelyBroken(10+5*reuseDecayTime, 300) {
		t.Error("never tried again")
	}
}

// A disk server that drops connections which were idle for 100 ms, and says so only to the
// next request, costs few attempts.
func TestSilentlyDroppedConnections(t *testing.T) {
	last := map[int]time.Duration{}
	do := func(a standin.HTTPAsk) standin.HTTPAnswer {
		idle := a.At - last[a.Conn]
		if last[a.Conn] = a.At; a.Nth > 0 && idle > 100*time.Millisecond {
			return standin.HTTPAnswer{Close: true}
		}
		return standin.HTTPAnswer{Raw: []byte(ok200)}
	}
	runSimulated(t, do, func(sc *harness) {
		p := sc.connect()
		for range 100 {
			if got := p.roundTrip(sc.getRequest()); got.status != 200 {
				t.Error(got)
			}
			env.Sleep(sc.environment, 150*time.Millisecond, nil)
		}
		if n := sc.scheduler.core.counters.Resends; n > 10 {
			t.Errorf("%d of 100 were sent again", n)
		}
	})
}

// An answer larger than requests may be is passed on whole, to the bound of answers.
func TestLargeResponses(t *testing.T) {
	body := make([]byte, 400_000)
	for i := range body {
		body[i] = 'a' + byte(i%26)
	}
	raw := "HTTP/1.1 200 OK\r\nContent-Length: 400000\r\n\r\n" + string(body)
	runSimulated(t, respondWith(raw), func(sc *harness) {
		got := sc.connect().roundTrip(sc.getRequest())
		if got.status != 200 || got.body != string(body) {
			t.Error(got.status, len(got.body))
		}
		if b := sc.scheduler.pool; b.replyBytes.Load() != 0 || sc.scheduler.frontend.answerBytes.Load() != 0 {
			t.Errorf("%d and %d bytes are still counted", b.replyBytes.Load(), sc.scheduler.frontend.answerBytes.Load())
		}
	})
}
