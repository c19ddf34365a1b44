package env

import (
	"math"
	"time"
)

// WakeTimer wakes the goroutine that serves a core when the core next has something to do.
// Times are in ms on the core's clock. Only that goroutine uses it; the zero value is not
// set.
type WakeTimer struct {
	due   float64
	timer Timer
}

// Due is when it is due or was last due, 0 if it never was set.
func (a *WakeTimer) Due() float64 { return a.due }

// Set has wake called at a time, at once if that has come. An earlier time that is still
// to come stays as it is set.
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

// Stop takes it back.
func (a *WakeTimer) Stop() {
	if a.timer != nil {
		a.timer.Stop()
	}
}
