package env

import (
	"math"
	"time"
)

// Alarm wakes the goroutine that serves a core when the core next has something to do.
// Times are in ms on the core's clock. Only that goroutine uses it; the zero value is not
// set.
type Alarm struct {
	at    float64
	timer Timer
}

// At is when it is due or was last due, 0 if it never was set.
func (a *Alarm) At() float64 { return a.at }

// Set has wake called at a time, at once if that has come. An earlier time that is still
// to come stays as it is set.
func (a *Alarm) Set(w Environment, now, at float64, wake func()) {
	if at >= a.at && a.at > now || math.IsInf(at, 1) {
		return
	}
	a.Stop()
	if a.at = at; at <= now {
		wake()
		return
	}
	a.timer = w.AfterFunc(Duration(at-now)+time.Microsecond, wake)
}

// Stop takes it back.
func (a *Alarm) Stop() {
	if a.timer != nil {
		a.timer.Stop()
	}
}
