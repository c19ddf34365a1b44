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

// classPlan is the key of request counters. The settings bound the number of classes and plans.
type classPlan struct{ class, plan string }

// requestCounters are the request counters of a class and plan.
type requestCounters struct {
	metrics.Ends
	latency prometheus.Histogram // of the class, over all plans
}

// coreCounters are the counters of a core. Their number does not grow with volumes or connections.
type coreCounters struct {
	byClassPlan map[classPlan]*requestCounters
	latency     map[string]prometheus.Histogram // by class
	attempts    map[string]*metrics.Attempts    // by node address
}

func newCoreCounters() coreCounters {
	return coreCounters{byClassPlan: map[classPlan]*requestCounters{}, latency: map[string]prometheus.Histogram{}, attempts: map[string]*metrics.Attempts{}}
}

// countersFor returns the counters of a request's class and plan.
func (cc *coreCounters) countersFor(request *policy.Request) *requestCounters {
	key := classPlan{request.Class, request.Plan}
	c := cc.byClassPlan[key]
	if c == nil {
		histogram := cc.latency[request.Class]
		if histogram == nil {
			histogram = metrics.Latency(request.Class)
			cc.latency[request.Class] = histogram
		}
		c = &requestCounters{metrics.Ends{Class: request.Class, Plan: request.Plan}, histogram}
		cc.byClassPlan[key] = c
	}
	return c
}

// totals returns the sums over all classes and plans.
func (cc *coreCounters) totals() (f roll.Figures) {
	for _, c := range cc.byClassPlan {
		f = f.Add(roll.Figures{Taken: c.Taken, Served: c.Served, InAim: c.InAim, Refused: c.Refused, Failed: c.Failed})
	}
	return f
}

// recordEnd counts the result of a job that ended at now, ms.
func (c *requestCounters) recordEnd(j *job, outcome jobOutcome, now float64) {
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

// maxCountedNodes is the number of nodes at which the counters of nodes that left the list are
// deleted. Until then they are kept, since a node may return under its address.
const maxCountedNodes = 4096

// recordAttempt counts the result of an attempt at a node. listed are the nodes on the list.
func (cc *coreCounters) recordAttempt(node string, result policy.Result, listed map[string]inventory.Node) {
	a := cc.attempts[node]
	if a == nil {
		if len(cc.attempts) >= maxCountedNodes {
			maps.DeleteFunc(cc.attempts, func(n string, _ *metrics.Attempts) bool { _, ok := listed[n]; return !ok })
		}
		a = &metrics.Attempts{}
		cc.attempts[node] = a
	}
	a[result]++
}

// stateReading is the data of /metrics and /state.
type stateReading struct {
	metrics.Reading
	status Status
}

// readState copies the core's counters and the status. ok is as for readStatus.
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

// notReadyReason returns why the gateway is not ready to serve, "" if it is.
func (g *Gateway) notReadyReason() string {
	g.mu.Lock()
	stopped, startErr := g.stopped, g.startErr
	g.mu.Unlock()
	switch {
	case stopped:
		return "gateway is stopping"
	case startErr != nil:
		return startErr.Error()
	}
	reading, ok := g.readState()
	switch {
	case !ok:
		return "no settings are in force"
	case !reading.status.ListSeen:
		return "no node list was received"
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
		return "gateway is stopping"
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
