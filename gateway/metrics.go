package gateway

import (
	"maps"
	"sort"
	"strconv"

	"github.com/prometheus/client_golang/prometheus"

	"merlinhitch/history"
	"merlinhitch/inventory"
	"merlinhitch/metrics"
	"merlinhitch/policy"
)

// counted is a class and a plan, of which settings bound the number.
type counted struct{ class, plan string }

// ends counts how requests ended.
type ends struct {
	taken                                uint64
	served, inAim, refused, failed, gone uint64
	units                                float64                // of those served
	ended                                [policy.Reasons]uint64 // by the module, by its reason
	latency                              [history.Buckets]uint64
}

// tally is what a host core counts for operators: a few additions for each request, and
// nothing that grows with volumes or connections.
type tally struct {
	ends     map[counted]*ends
	latency  map[string]prometheus.Histogram // by class
	attempts map[string]*metrics.Attempts    // by node of the list
	refusals uint64                          // of commands that were not taken
}

func newTally() tally {
	return tally{ends: map[counted]*ends{}, latency: map[string]prometheus.Histogram{}, attempts: map[string]*metrics.Attempts{}}
}

func (t *tally) of(q *policy.Request) *ends {
	k := counted{q.Class, q.Plan}
	e := t.ends[k]
	if e == nil {
		e = &ends{}
		t.ends[k] = e
	}
	return e
}

// ended notes the end of a request.
func (t *tally) ended(j *job, how endKind, now float64) {
	e := t.of(&j.req)
	switch how {
	case endServed:
		e.served++
		e.units += j.req.Units
		if now <= j.aimAt {
			e.inAim++
		}
		h := t.latency[j.req.Class]
		if h == nil {
			h = metrics.Latency(j.req.Class)
			t.latency[j.req.Class] = h
		}
		h.Observe((now - j.takenAt) / 1000)
		e.latency[history.Bucket(now-j.takenAt)]++
	case endRefused:
		e.refused++
	case endFailed:
		e.failed++
	case endGone:
		e.gone++
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
	ended  map[counted]ends
	status Status
}

// read copies the tally on the host's goroutine.
func (g *Gateway) read() (r reading, ok bool) {
	g.mu.Lock()
	h, f := g.host, g.front
	g.mu.Unlock()
	if f == nil {
		return r, false
	}
	r.status = g.Status()
	ok = h.ask(func(c *hostCore) {
		r.ended, r.Attempts = make(map[counted]ends, len(c.tally.ends)), make(map[string]metrics.Attempts, len(c.tally.attempts))
		for k, e := range c.tally.ends {
			r.ended[k] = *e
		}
		for n, a := range c.tally.attempts {
			r.Attempts[n] = *a
		}
		for _, class := range sortedKeys(c.tally.latency) {
			r.Latency = append(r.Latency, c.tally.latency[class])
		}
		r.View, r.Version = c.mod.View(c.now), c.version
	})
	for k, e := range r.ended {
		r.Ends = append(r.Ends, metrics.Ends{Class: k.class, Plan: k.plan, Taken: e.taken, Served: e.served, InAim: e.inAim, Refused: e.refused,
			Failed: e.failed, Gone: e.gone, Units: e.units, Reasons: e.ended})
	}
	r.Leased, r.LimitHeld, r.Open, r.Bytes = h.serves(), r.status.LimitHeld, r.status.Open, r.status.Memory
	r.Sessions, r.Connections = r.status.Sessions, r.status.ConnectedServers
	return r, ok
}

func sortedKeys[V any](m map[string]V) []string {
	out := make([]string, 0, len(m))
	for k := range m {
		out = append(out, k)
	}
	sort.Strings(out)
	return out
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
