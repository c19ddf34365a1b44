package gateway

import (
	"maps"
	"slices"
	"strconv"

	"github.com/prometheus/client_golang/prometheus"

	"merlinhitch/internal/fleet/roll"
	"merlinhitch/internal/observe/metrics"
	"merlinhitch/internal/protocol/inventory"
	"merlinhitch/internal/storage/history"
	"merlinhitch/policy"
)

// classPlan is a class and a plan, of which settings bound the number.
type classPlan struct{ class, plan string }

// requestCounts are what is counted of a class and a plan.
type requestCounts struct {
	metrics.Ends
	latency prometheus.Histogram // the class's
}

// coreMetrics is what a host core counts for operators: a few additions for each request, and
// nothing that grows with volumes or connections.
type coreMetrics struct {
	byClassPlan map[classPlan]*requestCounts
	latency     map[string]prometheus.Histogram // by class
	attempts    map[string]*metrics.Attempts    // by node of the list
}

func newCoreMetrics() coreMetrics {
	return coreMetrics{byClassPlan: map[classPlan]*requestCounts{}, latency: map[string]prometheus.Histogram{}, attempts: map[string]*metrics.Attempts{}}
}

// countsFor are the counts that a request goes to.
func (t *coreMetrics) countsFor(request *policy.Request) *requestCounts {
	key := classPlan{request.Class, request.Plan}
	c := t.byClassPlan[key]
	if c == nil {
		histogram := t.latency[request.Class]
		if histogram == nil {
			histogram = metrics.Latency(request.Class)
			t.latency[request.Class] = histogram
		}
		c = &requestCounts{metrics.Ends{Class: request.Class, Plan: request.Plan}, histogram}
		t.byClassPlan[key] = c
	}
	return c
}

// totals sums over classes and plans.
func (t *coreMetrics) totals() (f roll.Figures) {
	for _, c := range t.byClassPlan {
		f = f.Add(roll.Figures{Taken: c.Taken, Served: c.Served, InAim: c.InAim, Refused: c.Refused, Failed: c.Failed})
	}
	return f
}

// recordEnd notes the end of a request.
func (c *requestCounts) recordEnd(j *job, outcome jobOutcome, now float64) {
	switch outcome {
	case jobServed:
		c.Served++
		c.Units += j.req.Units
		if now <= j.latencyTargetAt {
			c.InAim++
		}
		c.latency.Observe((now - j.submittedAt) / 1000)
		c.Times[history.Bucket(now-j.submittedAt)]++
	case jobRefused:
		c.Refused++
	case jobFailed:
		c.Failed++
	case jobAborted:
		c.Gone++
	}
}

// maxCountedNodes bounds the nodes that are counted. A node that left the list keeps its counters
// until there are so many: it may come back under its address.
const maxCountedNodes = 4096

// recordAttempt notes the end of an attempt.
func (t *coreMetrics) recordAttempt(node string, result policy.Result, listed map[string]inventory.Node) {
	a := t.attempts[node]
	if a == nil {
		if len(t.attempts) >= maxCountedNodes {
			maps.DeleteFunc(t.attempts, func(n string, _ *metrics.Attempts) bool { _, ok := listed[n]; return !ok })
		}
		a = &metrics.Attempts{}
		t.attempts[node] = a
	}
	a[result]++
}

// stateReading is all that /metrics and /state show, of one moment.
type stateReading struct {
	metrics.Reading
	status Status
}

// readState copies the tally on the host's goroutine.
func (g *Gateway) readState() (reading stateReading, ok bool) {
	reading.status, ok = g.readStatus(func(c *core) {
		reading.Attempts = make(map[string]metrics.Attempts, len(c.counters.attempts))
		for _, counts := range c.counters.byClassPlan {
			reading.Ends = append(reading.Ends, counts.Ends)
		}
		for node, attempts := range c.counters.attempts {
			reading.Attempts[node] = *attempts
		}
		for _, class := range slices.Sorted(maps.Keys(c.counters.latency)) {
			reading.Latency = append(reading.Latency, c.counters.latency[class])
		}
		reading.View, reading.Version, reading.Leased = c.scheduler.View(c.now), c.settingsVersion, g.host.leaseValid()
	})
	reading.LimitHeld, reading.Open, reading.Bytes = reading.status.LimitHeld, reading.status.Open, reading.status.Memory
	reading.Sessions, reading.Connections = reading.status.Sessions, reading.status.ConnectedServers
	return reading, ok
}

// notReadyReason says what keeps the gateway from serving, "" if nothing does.
func (g *Gateway) notReadyReason() string {
	g.mu.Lock()
	stopped, startErr := g.stopped, g.startErr
	g.mu.Unlock()
	switch {
	case stopped:
		return "it is stopping"
	case startErr != nil:
		return startErr.Error()
	}
	reading, ok := g.readState()
	switch {
	case !ok:
		return "no settings are in force"
	case !reading.status.ListSeen:
		return "no node list was seen"
	case !reading.Leased:
		return "no lease"
	}
	g.mu.Lock()
	f := g.frontend
	g.mu.Unlock()
	f.mu.Lock()
	stopping := f.stopping
	f.mu.Unlock()
	if stopping {
		return "it is stopping"
	}
	for _, s := range reading.View.Shards {
		if s.Node == "" {
			return "shard " + strconv.Itoa(s.Shard) + " has no node"
		}
	}
	if want := f.settings.Load().Shards; len(reading.View.Shards) < want {
		return strconv.Itoa(want-len(reading.View.Shards)) + " shards have never had a node"
	}
	return ""
}
