package gateway

import (
	"maps"
	"net/http"
	"slices"
	"sort"
	"strconv"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"merlinhitch/history"
	"merlinhitch/inventory"
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

// attempts counts how attempts at a node ended.
type attempts struct{ by [policy.NotSent + 1]uint64 }

// resultNames are the results of attempts as labels.
var resultNames = [policy.NotSent + 1]string{policy.Served: "served", policy.ServerError: "server_error", policy.TurnedAway: "turned_away",
	policy.NoAnswer: "no_answer", policy.NoConnection: "no_connection", policy.ConnectionLost: "connection_lost",
	policy.Cancelled: "cancelled", policy.NotSent: "not_sent"}

// tally is what a host core counts for operators: a few additions for each request, and
// nothing that grows with volumes or connections.
type tally struct {
	ends     map[counted]*ends
	latency  map[string]prometheus.Histogram // by class
	attempts map[string]*attempts            // by node of the list
	refusals uint64                          // of commands that were not taken
}

func newTally() tally {
	return tally{ends: map[counted]*ends{}, latency: map[string]prometheus.Histogram{}, attempts: map[string]*attempts{}}
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
			h = prometheus.NewHistogram(prometheus.HistogramOpts{Name: "merlinhitch_request_duration_seconds", Help: helpLatency,
				ConstLabels: prometheus.Labels{"class": j.req.Class}, NativeHistogramBucketFactor: 1.1, NativeHistogramMaxBucketNumber: 160})
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
			maps.DeleteFunc(t.attempts, func(n string, _ *attempts) bool { _, ok := listed[n]; return !ok })
		}
		a = &attempts{}
		t.attempts[node] = a
	}
	a.by[r]++
}

const helpLatency = "Time from a request's taking to its disk server's answer."

// reading is all that /metrics and /state show, of one moment.
type reading struct {
	ends     map[counted]ends
	latency  []prometheus.Histogram
	attempts map[string]attempts
	view     policy.View
	status   Status
	version  uint64
	leased   bool
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
		r.ends, r.attempts = make(map[counted]ends, len(c.tally.ends)), make(map[string]attempts, len(c.tally.attempts))
		for k, e := range c.tally.ends {
			r.ends[k] = *e
		}
		for n, a := range c.tally.attempts {
			r.attempts[n] = *a
		}
		for _, class := range sortedKeys(c.tally.latency) {
			r.latency = append(r.latency, c.tally.latency[class])
		}
		r.view, r.version = c.mod.View(c.now), c.version
	})
	r.leased = h.serves()
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

// collector turns readings into metrics. Labels are class, plan, node, shard and, of
// limited volumes, volume; their numbers are bounded by the settings and the node list,
// that of volumes by mostVolumes.
type collector struct{ g *Gateway }

// mostVolumes bounds the volumes that /metrics names; the most held back come first.
const mostVolumes = 100

func desc(name, help string, labels ...string) *prometheus.Desc {
	return prometheus.NewDesc("merlinhitch_"+name, help, labels, nil)
}

var (
	descTaken    = desc("requests_taken_total", "Requests handed to the module.", "class", "plan")
	descEnded    = desc("requests_ended_total", "Requests by their end: served, refused, failed, gone (the client ended it).", "class", "plan", "end")
	descReason   = desc("requests_ended_by_module_total", "Requests refused or failed by the module, by what stood in their way.", "class", "plan", "reason")
	descInAim    = desc("requests_in_aim_total", "Requests served within their class's aim.", "class", "plan")
	descUnits    = desc("units_served_total", "Units of requests that were served.", "class", "plan")
	descAttempts = desc("attempts_total", "Attempts at a disk server by their result.", "node", "result")
	descLimit    = desc("limit_held_total", "Requests let go of unsent while their volume asked for more than its limit.")
	descBudget   = desc("repeat_budget_left", "Attempts beyond the first that may still go now; -1 without a bound.")
	descOpen     = desc("requests_open", "Requests at the host core.")
	descBytes    = desc("held_bytes", "Bytes held for clients.")
	descSessions = desc("sessions", "iSCSI sessions.")
	descLinks    = desc("disk_connections", "Connections to disk servers.")
	descVersion  = desc("settings_version", "Version of the settings in force.")
	descLeased   = desc("serves", "1 if the host may take work: it has a lease, or needs none.")
	descDepth    = desc("shard_depth", "Attempts of this host that may be out at a shard's node, a part below 1.", "shard")
	descOut      = desc("shard_out", "Attempts out at a shard's node.", "shard")
	descWaiting  = desc("shard_waiting", "Requests that wait for a shard's node, by whether they are parked.", "shard", "parked")
	descService  = desc("shard_service_seconds", "Service time to expect at a shard's node.", "shard")
	descNodeless = desc("shards_without_node", "Shards that no node may be sent to for.")
	descShare    = desc("plan_share", "Share of a plan in force.", "plan")
	descHeldFor  = desc("node_held_seconds", "Time for which nothing goes to a node.", "node")
	descCold     = desc("node_cold_part", "Part of what is asked that may go to a node while it warms up; 1 is all.", "node")
	descLeft     = desc("limit_left_units", "Units of a limited volume's part here that may go at once; the volumes with least.", "volume", "plan")
)

// Describe implements prometheus.Collector. Latency histograms come with their classes, so
// that the collector is unchecked.
func (collector) Describe(chan<- *prometheus.Desc) {}

// Collect implements prometheus.Collector.
func (c collector) Collect(out chan<- prometheus.Metric) {
	r, ok := c.g.read()
	if !ok {
		return
	}
	count := func(d *prometheus.Desc, v float64, labels ...string) {
		out <- prometheus.MustNewConstMetric(d, prometheus.CounterValue, v, labels...)
	}
	gauge := func(d *prometheus.Desc, v float64, labels ...string) {
		out <- prometheus.MustNewConstMetric(d, prometheus.GaugeValue, v, labels...)
	}
	for k, e := range r.ends {
		count(descTaken, float64(e.taken), k.class, k.plan)
		count(descInAim, float64(e.inAim), k.class, k.plan)
		count(descUnits, e.units, k.class, k.plan)
		for i, n := range e.ended {
			if n > 0 {
				count(descReason, float64(n), k.class, k.plan, policy.Reason(i).String())
			}
		}
		for _, x := range []struct {
			end string
			n   uint64
		}{{"served", e.served}, {"refused", e.refused}, {"failed", e.failed}, {"gone", e.gone}} {
			count(descEnded, float64(x.n), k.class, k.plan, x.end)
		}
	}
	for n, a := range r.attempts {
		for i, name := range resultNames {
			count(descAttempts, float64(a.by[i]), n, name)
		}
	}
	for _, h := range r.latency {
		out <- h
	}
	count(descLimit, float64(r.status.LimitHeld))
	gauge(descBudget, r.view.Budget)
	gauge(descOpen, float64(r.status.Open))
	gauge(descBytes, float64(r.status.Memory))
	gauge(descSessions, float64(r.status.Sessions))
	gauge(descLinks, float64(r.status.ConnectedServers))
	gauge(descVersion, float64(r.version))
	gauge(descLeased, bit(r.leased))
	module(r.view, gauge)
}

// module shows what the module holds.
func module(v policy.View, gauge func(d *prometheus.Desc, v float64, labels ...string)) {
	nodeless := 0
	for _, s := range v.Shards {
		id := strconv.Itoa(s.Shard)
		gauge(descDepth, s.Depth, id)
		gauge(descOut, float64(s.Out), id)
		gauge(descWaiting, float64(s.Waiting-s.Parked), id, "no")
		gauge(descWaiting, float64(s.Parked), id, "yes")
		gauge(descService, s.Service/1000, id)
		if s.Node == "" {
			nodeless++
		}
	}
	gauge(descNodeless, float64(nodeless))
	for _, s := range v.Shares {
		gauge(descShare, s.Share, s.Plan)
	}
	for _, n := range v.Nodes {
		gauge(descHeldFor, n.HeldFor/1000, n.Addr)
		gauge(descCold, n.Cold, n.Addr)
	}
	least := slices.Clone(v.Limited)
	sort.SliceStable(least, func(i, j int) bool { return least[i].Left < least[j].Left })
	for _, l := range least[:min(len(least), mostVolumes)] {
		gauge(descLeft, l.Left, l.Volume, l.Plan)
	}
}

func bit(b bool) float64 {
	if b {
		return 1
	}
	return 0
}

// metricsHandler serves /metrics, in OpenMetrics text to whoever asks for it.
func (g *Gateway) metricsHandler() http.Handler {
	reg := prometheus.NewRegistry()
	reg.MustRegister(collector{g})
	return promhttp.HandlerFor(reg, promhttp.HandlerOpts{EnableOpenMetrics: true, MaxRequestsInFlight: 4})
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
	case !r.leased:
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
	for _, s := range r.view.Shards {
		if s.Node == "" {
			return "shard " + strconv.Itoa(s.Shard) + " has no node"
		}
	}
	if want := f.view.Load().Shards; len(r.view.Shards) < want {
		return strconv.Itoa(want-len(r.view.Shards)) + " shards have never had a node"
	}
	return ""
}
