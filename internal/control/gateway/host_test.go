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

// A timer that becomes due while an event is handled must run before the next event of the same
// batch.
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
	h.mu.Lock() // so that both are in one batch
	for _, run := range events {
		h.queue = append(h.queue, event{kind: eventRun, run: run})
	}
	h.mu.Unlock()
	h.wake.Unpark()
	if firedDuringFirst, firedBeforeSecond := <-ready, <-ready; firedDuringFirst || !firedBeforeSecond {
		t.Errorf("timer fired during the first event: %v, before the second: %v, want false and true", firedDuringFirst, firedBeforeSecond)
	}
}

// A function run on the core must find its clock at the current time, even if no timer was due.
func TestRunAndWaitAdvancesClock(t *testing.T) {
	environment := env.NewReal()
	h := newHost(environment, settings.Example(1, 1), 0, "h0", "z0", nil, zap.NewNop())
	defer h.stop()
	for range 3 {
		env.Sleep(environment, 5*time.Millisecond, nil)
		before := env.MS(environment.Now())
		var now float64
		if !h.runAndWait(func(c *core) { now = c.now }) || now < before {
			t.Errorf("called at %.3f ms: got the core's clock %.3f, want that time or later", before, now)
		}
	}
}
