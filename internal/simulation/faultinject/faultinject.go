// Package faultinject holds the switch of faults that are planted on purpose, to show that
// the exploration finds them. In an ordinary build no fault can be switched on and
// none of their code is there; with the build tag "planted" one can, for the whole
// program. It never decides anything of itself.
package faultinject

// The faults. Each stands where the product would have the bug.
const (
	DrainOverlooked  = "drain-overlooked"    // a draining server counts as ready
	RepeatUnsafe     = "repeat-unsafe"       // what must run once is repeated like what is dropped when repeated
	LimitMisread     = "limit-misread"       // a limit is taken for one of a quarter of the time
	TagReused        = "tag-reused"          // a late answer is taken for that of another attempt
	WakeupLost       = "wakeup-lost"         // the host's timer is not set again once it has rung
	AbortAtOnce      = "abort-at-once"       // an abort is answered while a write can still land
	KeyForgotten     = "key-forgotten"       // the module isn't told which requests share a key
	StartUnheard     = "start-unheard"       // the module isn't told that a server is cold
	LossTakenForGood = "loss-taken-for-good" // a write whose connection went is called done
	DeadlineUnsaid   = "deadline-unsaid"     // disk servers aren't told until when an attempt may begin
	BusyAfterSend    = "busy-after-send"     // a write that may have run is called refused
	ExtentMissed     = "extent-missed"       // a part past an extent's border is written one block off
	// Of a service over two regions.
	FenceMissing = "fence-missing"          // disk servers refuse no older generation, and do not hear when a lease ends
	LeaseNoDrift = "lease-without-drift"    // neither who grants nor who holds reckons with clocks that differ
	ShareEarly   = "share-taken-back-early" // what a source takes back is given on at once
)

// HostFaults lists the faults.
var HostFaults = []string{DrainOverlooked, RepeatUnsafe, LimitMisread, TagReused, WakeupLost, AbortAtOnce, KeyForgotten, StartUnheard,
	LossTakenForGood, DeadlineUnsaid, BusyAfterSend, ExtentMissed}

// RegionFaults lists those of a service over two regions.
var RegionFaults = []string{FenceMissing, LeaseNoDrift, ShareEarly}
