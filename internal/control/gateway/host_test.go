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
	environment := env.NewReal()
	h := newHost(environment, settings.Example(1, 1), 0, "h0", "z0", nil, zap.NewNop())
	defer h.stop()
	scheduler := &fakeScheduler{}
	fired := func() bool {
		for _, event := range scheduler.events {
			if timer, ok := event.(policy.TimerFired); ok && timer.Name == "test" {
				return true
			}
		}
		return false
	}
	ready := make(chan bool, 2)
	events := []func(*core){
		func(c *core) {
			c.scheduler = scheduler
			dueAt := c.now + 2
			c.perform(policy.SetTimer{Delay: dueAt - c.now, Name: "test"})
			for env.MS(environment.Now()) < dueAt {
				runtime.Gosched()
			}
			ready <- fired()
		},
		func(*core) { ready <- fired() },
	}
	h.mu.Lock() // both are in one batch
	for _, run := range events {
		h.queue = append(h.queue, event{kind: eventRun, run: run})
	}
	h.mu.Unlock()
	h.wake.Unpark()
	if firedDuringFirst, firedBeforeSecond := <-ready, <-ready; firedDuringFirst || !firedBeforeSecond {
		t.Errorf("fired during the first event: %v, before the second: %v", firedDuringFirst, firedBeforeSecond)
	}
}

// What looks at the core finds its clock at the present time, also where nothing came due.
func TestRunAndWaitAdvancesClock(t *testing.T) {
	environment := env.NewReal()
	h := newHost(environment, settings.Example(1, 1), 0, "h0", "z0", nil, zap.NewNop())
	defer h.stop()
	for range 3 {
		env.Sleep(environment, 5*time.Millisecond, nil)
		before := env.MS(environment.Now())
		var now float64
		if !h.runAndWait(func(c *core) { now = c.now }) || now < before {
			t.Errorf("asked at %.3f ms, the core has %.3f", before, now)
		}
	}
}
