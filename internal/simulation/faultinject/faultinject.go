// Package faultinject activates deliberate bugs in the product code, to show that the
// exploration in simulation finds them. In an ordinary build no fault can be activated:
// Active is constantly false, so that the compiler can drop the faulty code. With the build
// tag "planted", one fault at a time can be activated for the whole process.
package faultinject

// Names of the faults. The code that implements a fault is at the place of the bug that it
// imitates.
const (
	DrainOverlooked  = "drain-overlooked"    // a draining disk server is treated as ready
	RepeatUnsafe     = "repeat-unsafe"       // requests that are unsafe to retry are retried as if disk servers dropped duplicates
	LimitMisread     = "limit-misread"       // the limits of plans are taken to be four times as high
	TagReused        = "tag-reused"          // tags of attempts repeat after four, so that a late answer is matched to another attempt
	WakeupLost       = "wakeup-lost"         // the host's timer is not set to a time at or after the last one for which it was set
	AbortAtOnce      = "abort-at-once"       // an abort is answered while a write can still take effect
	KeyForgotten     = "key-forgotten"       // requests for the same key are given different keys
	StartUnheard     = "start-unheard"       // the start time of a disk server is not passed on, so that slow start is not applied
	LossTakenForGood = "loss-taken-for-good" // a failed write is reported as successful
	DeadlineUnsaid   = "deadline-unsaid"     // disk servers are given a deadline for starting an attempt that is 60 s too late
	BusyAfterSend    = "busy-after-send"     // a failed command, which may have taken effect, is reported as refused (BUSY)
	ExtentMissed     = "extent-missed"       // all but the first part of a write across extents start one block too low
	// Faults of a service over two regions.
	FenceMissing = "fence-missing"          // disk servers do not refuse an older generation, and attempts are not limited by the lease
	LeaseNoDrift = "lease-without-drift"    // neither the granter nor the holder of a lease allows for clock drift
	ShareEarly   = "share-taken-back-early" // a source grants again at once the shares that it has taken back
)

// HostFaults lists the faults that need only a single region.
var HostFaults = []string{DrainOverlooked, RepeatUnsafe, LimitMisread, TagReused, WakeupLost, AbortAtOnce, KeyForgotten, StartUnheard,
	LossTakenForGood, DeadlineUnsaid, BusyAfterSend, ExtentMissed}

// RegionFaults lists the faults of a service over two regions.
var RegionFaults = []string{FenceMissing, LeaseNoDrift, ShareEarly}
