package gateway

import (
	"runtime"
	"testing"
	"time"

	"go.uber.org/zap"

	"merlinhitch/internal/control/settings"
	"merlinhitch/internal/runtime/env"
	"merlinhitch/policy"
)

// A timer that comes due while one event is handled goes before the next event of its batch.
func TestTimersGoBetweenEvents(t *testing.T) {
	w := env.NewReal()
	h := newHost(w, settings.Example(1, 1), 0, "h0", "z0", nil, zap.NewNop())
	defer h.stop()
	module := &fakeScheduler{}
	fired := func() bool {
		for _, ev := range module.events {
			if timer, ok := ev.(policy.TimerFired); ok && timer.Name == "test" {
				return true
			}
		}
		return false
	}
	ready := make(chan bool, 2)
	events := []func(*core){
		func(c *core) {
			c.scheduler = module
			due := c.now + 2
			c.perform(policy.SetTimer{Delay: due - c.now, Name: "test"})
			for env.MS(w.Now()) < due {
				runtime.Gosched()
			}
			ready <- fired()
		},
		func(*core) { ready <- fired() },
	}
	h.mu.Lock() // both are in one batch
	for _, ask := range events {
		h.queue = append(h.queue, event{kind: eventRun, run: ask})
	}
	h.mu.Unlock()
	h.wake.Unpark()
	if during, after := <-ready, <-ready; during || !after {
		t.Errorf("fired during the first event: %v, before the second: %v", during, after)
	}
}

// What looks at the core finds its clock at the present time, also where nothing came due.
func TestRunAndWaitAdvancesClock(t *testing.T) {
	w := env.NewReal()
	h := newHost(w, settings.Example(1, 1), 0, "h0", "z0", nil, zap.NewNop())
	defer h.stop()
	for range 3 {
		env.Sleep(w, 5*time.Millisecond, nil)
		asked := env.MS(w.Now())
		var now float64
		if !h.runAndWait(func(c *core) { now = c.now }) || now < asked {
			t.Errorf("asked at %.3f ms, the core has %.3f", asked, now)
		}
	}
}
