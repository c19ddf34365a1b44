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

// counted is a class and a plan, of which settings bound the number.
type counted struct{ class, plan string }

// counts are what is counted of a class and a plan.
type counts struct {
	metrics.Ends
	latency prometheus.Histogram // the class's
}

// tally is what a host core counts for operators: a few additions for each request, and
// nothing that grows with volumes or connections.
type tally struct {
	ends     map[counted]*counts
	latency  map[string]prometheus.Histogram // by class
	attempts map[string]*metrics.Attempts    // by node of the list
}

func newTally() tally {
	return tally{ends: map[counted]*counts{}, latency: map[string]prometheus.Histogram{}, attempts: map[string]*metrics.Attempts{}}
}

// of are the counts that a request goes to.
func (t *tally) of(q *policy.Request) *counts {
	k := counted{q.Class, q.Plan}
	c := t.ends[k]
	if c == nil {
		h := t.latency[q.Class]
		if h == nil {
			h = metrics.Latency(q.Class)
			t.latency[q.Class] = h
		}
		c = &counts{metrics.Ends{Class: q.Class, Plan: q.Plan}, h}
		t.ends[k] = c
	}
	return c
}

// figures sums over classes and plans.
func (t *tally) figures() (f roll.Figures) {
	for _, c := range t.ends {
		f = f.Add(roll.Figures{Taken: c.Taken, Served: c.Served, InAim: c.InAim, Refused: c.Refused, Failed: c.Failed})
	}
	return f
}

// ended notes the end of a request.
func (c *counts) ended(j *job, how jobOutcome, now float64) {
	switch how {
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

// mostNodes bounds the nodes that are counted. A node that left the list keeps its counters
// until there are so many: it may come back under its address.
const mostNodes = 4096

// outcome notes the end of an attempt.
func (t *tally) outcome(node string, r policy.Result, listed map[string]inventory.Node) {
	a := t.attempts[node]
	if a == nil {
		if len(t.attempts) >= mostNodes {
			maps.DeleteFunc(t.attempts, func(n string, _ *metrics.Attempts) bool { _, ok := listed[n]; return !ok })
		}
		a = &metrics.Attempts{}
		t.attempts[node] = a
	}
	a[r]++
}

// reading is all that /metrics and /state show, of one moment.
type reading struct {
	metrics.Reading
	status Status
}

// read copies the tally on the host's goroutine.
func (g *Gateway) read() (r reading, ok bool) {
	r.status, ok = g.look(func(c *core) {
		r.Attempts = make(map[string]metrics.Attempts, len(c.counters.attempts))
		for _, e := range c.counters.ends {
			r.Ends = append(r.Ends, e.Ends)
		}
		for n, a := range c.counters.attempts {
			r.Attempts[n] = *a
		}
		for _, class := range slices.Sorted(maps.Keys(c.counters.latency)) {
			r.Latency = append(r.Latency, c.counters.latency[class])
		}
		r.View, r.Version, r.Leased = c.scheduler.View(c.now), c.settingsVersion, g.host.leaseValid()
	})
	r.LimitHeld, r.Open, r.Bytes = r.status.LimitHeld, r.status.Open, r.status.Memory
	r.Sessions, r.Connections = r.status.Sessions, r.status.ConnectedServers
	return r, ok
}

// notReady says what keeps the gateway from serving, "" if nothing does.
func (g *Gateway) notReady() string {
	g.mu.Lock()
	stopped, failed := g.stopped, g.failed
	g.mu.Unlock()
	switch {
	case stopped:
		return "it is stopping"
	case failed != nil:
		return failed.Error()
	}
	r, ok := g.read()
	switch {
	case !ok:
		return "no settings are in force"
	case !r.status.ListSeen:
		return "no node list was seen"
	case !r.Leased:
		return "no lease"
	}
	g.mu.Lock()
	f := g.front
	g.mu.Unlock()
	f.mu.Lock()
	stopping := f.stopping
	f.mu.Unlock()
	if stopping {
		return "it is stopping"
	}
	for _, s := range r.View.Shards {
		if s.Node == "" {
			return "shard " + strconv.Itoa(s.Shard) + " has no node"
		}
	}
	if want := f.view.Load().Shards; len(r.View.Shards) < want {
		return strconv.Itoa(want-len(r.View.Shards)) + " shards have never had a node"
	}
	return ""
}
