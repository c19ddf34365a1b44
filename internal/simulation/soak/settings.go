package soak

import (
	"fmt"
	"time"
)

// Settings of the schedulers under test.
const (
	unlimitedPlan              = "gold"  // its volumes have no limit
	limitedPlan                = "basic" // its volumes have a rate limit
	volumeRate                 = 8.0     // units per second
	volumeBurst                = 20.0    // units
	volumeBurstSlack           = 6.0     // units
	limitedVolumesPerScheduler = 2       // each used by that scheduler only
	meanUnits                  = 2
	volumeCount                = 512
	drainGrace                 = 500 * time.Millisecond
	keyTTL                     = 6 * time.Second
	maxAttempts                = 4
	maxStopTimeout             = 3 * time.Second // the platform waits at most this long for requests at a stop
	killMargin                 = 700 * time.Millisecond
	coldUnits                  = 52.0
	coldCapacity               = 0.25
	overloadWindow             = 1500 * time.Millisecond
	warmUpTime                 = 10 * time.Second
)

// classes are the request classes. The timeout of bulk reads exceeds the time that a scheduler
// has after SIGTERM.
var classes = []Class{
	{Name: "card-read", Timeout: 1200 * time.Millisecond, Share: 0.5},
	{Name: "txn-write", Timeout: 2500 * time.Millisecond, Write: true, Keyed: true, Share: 0.3},
	{Name: "bulk-read", Timeout: 4 * time.Second, Share: 0.2},
}

const settingsTemplate = `{"balancers":%d,"me":%d,"tick_ms":2,"discovery":"pushed",
"request_classes":[
 {"name":"card-read","aim_ms":300,"give_up_ms":1200,"effect":"read_like","group":"all","worth":2},
 {"name":"txn-write","aim_ms":500,"give_up_ms":2500,"effect":"idempotency_key","group":"cell","key_ttl_ms":%d,"worth":3},
 {"name":"bulk-read","aim_ms":1500,"give_up_ms":4000,"effect":"read_like","group":"all","worth":1}],
"grades":[{"name":"gold","price":1,"proportion":1,"rate":1000},
 {"name":"basic","price":1,"proportion":1,"rate":%g,"limit":%g,"cap_depth":%g,"tolerance":%g}],
"limits":{"attempts_cap":%d,"cancel":true,"may_duplicate":true,"retry_after":true,"max_retry_after_ms":2000,"dial_timeout_ms":250,"conn_idle_ms":30000},
"safety":{"answer_slack_ms":8,"stop_sending_within_ms":%d,"fall_multiple":2,"overload_for_ms":%d,"cold_from":%g,"cold_ms":%d,
 "free_resends":3,"extra_ratio":0.25,"resend_span_ms":5000},
"extra":{"cold_units":%g,"unit_mean":%d,"largest":6,"slots_total":%d}}`

// schedulerConfig returns the JSON configuration of a scheduler.
func (o Options) schedulerConfig(scheduler int, listen, discovery string, fullList []byte) []byte {
	settings := fmt.Sprintf(settingsTemplate, o.Schedulers, scheduler, keyTTL.Milliseconds(),
		volumeRate/2, volumeRate, volumeBurst, volumeBurstSlack, maxAttempts,
		drainGrace.Milliseconds(), overloadWindow.Milliseconds(), coldCapacity, warmUpTime.Milliseconds(), coldUnits, meanUnits, o.Servers)
	return fmt.Appendf(nil, `{"name":"n%d","listen":%q,"discovery":%q,"seed":"%x","limits":{"cores":1,"memory_mb":%d,"sockets":%d},"known":%s,"settings":%s}`,
		scheduler, listen, discovery, o.Seed<<16+uint64(scheduler)+1, o.MemoryMB, o.Sockets, fullList, settings)
}

// Rules returns the rules that a run with these options is checked against.
func (o Options) Rules() Rules {
	rules := Rules{DrainGrace: drainGrace, KeyTTL: keyTTL, MaxAttempts: maxAttempts,
		ColdUnits: coldUnits, ColdCapacity: coldCapacity, OverloadWindow: overloadWindow, WarmUpTime: warmUpTime,
		VolumeRate: volumeRate, VolumeBurst: volumeBurst, VolumeBurstSlack: volumeBurstSlack, HostSlack: o.HostSlack,
		AllResponseFaults: o.FaultyResponseInterval > 0, AllDiscoveryFaults: o.AnswerDelay > 0, HostileGroups: o.Hostile}
	if o.CheckMemory {
		rules.MaxMemoryMB = float64(o.MemoryMB)
	}
	return rules
}

// stopGrace returns the time from SIGTERM to SIGKILL.
func stopGrace() time.Duration {
	longest := time.Duration(0)
	for _, class := range classes {
		longest = max(longest, class.Timeout)
	}
	return min(longest, maxStopTimeout) + killMargin
}
