package env

import (
	"math"
	"time"
)

// WakeTimer wakes the goroutine that runs a core when the core's next timer is due. Times
// are in ms on the core's clock. It is not safe for concurrent use: while that goroutine
// runs, only it may call the methods. The zero value is a timer that is not set.
type WakeTimer struct {
	due   float64
	timer Timer
}

// Due returns the time, in ms, for which the timer was last set, or 0 if it was never set.
func (a *WakeTimer) Due() float64 { return a.due }

// Set arranges for wake to be called at due, and calls it immediately if due has passed.
// It does nothing if the timer is already set for a time in the future that is no later
// than due, or if due is +Inf.
func (a *WakeTimer) Set(w Environment, now, due float64, wake func()) {
	if due >= a.due && a.due > now || math.IsInf(due, 1) {
		return
	}
	a.Stop()
	if a.due = due; due <= now {
		wake()
		return
	}
	a.timer = w.AfterFunc(Duration(due-now)+time.Microsecond, wake)
}

// Stop cancels the pending call of wake, if any. It does not change Due.
func (a *WakeTimer) Stop() {
	if a.timer != nil {
		a.timer.Stop()
	}
}
