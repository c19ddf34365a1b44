// Package metrics gives what a host counts and holds as Prometheus metrics (OpenMetrics
// 1.0). It counts nothing itself and decides nothing.
package metrics

import (
	"net/http"
	"slices"
	"sort"
	"strconv"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"merlinhitch/internal/storage/history"
	"merlinhitch/policy"
)

// Reading is all that a page shows, of one moment.
type Reading struct {
	Ends        []Ends
	Latency     []prometheus.Histogram // by class, of Latency
	Attempts    map[string]Attempts    // by node
	View        policy.View
	Version     uint64
	Leased      bool
	LimitHeld   uint64
	Open        int
	Bytes       int64
	Sessions    int
	Connections int
}

// Ends is how requests of a class and plan ended.
type Ends struct {
	Class, Plan                                 string
	Taken, Served, InAim, Refused, Failed, Gone uint64
	Units                                       float64 // of those served
	Reasons                                     [policy.ReasonCount]uint64
	Times                                       [history.Buckets]uint64 // of the served
}

// Attempts is how attempts at a node ended, by policy.Result.
type Attempts [policy.NotSent + 1]uint64

// resultNames are the results of attempts as labels.
var resultNames = [policy.NotSent + 1]string{policy.Served: "served", policy.ServerError: "server_error", policy.Rejected: "turned_away",
	policy.NoAnswer: "no_answer", policy.NoConnection: "no_connection", policy.ConnectionLost: "connection_lost",
	policy.Cancelled: "cancelled", policy.NotSent: "not_sent"}

// Latency is a histogram of a class's times, to be observed in seconds: a native one, which
// adds up over hosts.
func Latency(class string) prometheus.Histogram {
	return prometheus.NewHistogram(prometheus.HistogramOpts{Name: "merlinhitch_request_duration_seconds",
		Help:        "Time from a request's taking to its disk server's answer.",
		ConstLabels: prometheus.Labels{"class": class}, NativeHistogramBucketFactor: 1.1, NativeHistogramMaxBucketNumber: 160})
}

// collector turns readings into metrics. Labels are class, plan, node, shard and, of
// limited volumes, volume; their numbers are bounded by the settings and the node list,
// that of volumes by mostVolumes.
type collector struct{ read func() (Reading, bool) }

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
	r, ok := c.read()
	if !ok {
		return
	}
	count := func(d *prometheus.Desc, v float64, labels ...string) {
		out <- prometheus.MustNewConstMetric(d, prometheus.CounterValue, v, labels...)
	}
	gauge := func(d *prometheus.Desc, v float64, labels ...string) {
		out <- prometheus.MustNewConstMetric(d, prometheus.GaugeValue, v, labels...)
	}
	for i := range r.Ends {
		e := &r.Ends[i]
		count(descTaken, float64(e.Taken), e.Class, e.Plan)
		count(descInAim, float64(e.InAim), e.Class, e.Plan)
		count(descUnits, e.Units, e.Class, e.Plan)
		for i, n := range e.Reasons {
			if n > 0 {
				count(descReason, float64(n), e.Class, e.Plan, policy.Reason(i).String())
			}
		}
		for _, x := range []struct {
			end string
			n   uint64
		}{{"served", e.Served}, {"refused", e.Refused}, {"failed", e.Failed}, {"gone", e.Gone}} {
			count(descEnded, float64(x.n), e.Class, e.Plan, x.end)
		}
	}
	for n, a := range r.Attempts {
		for i, name := range resultNames {
			count(descAttempts, float64(a[i]), n, name)
		}
	}
	for _, h := range r.Latency {
		out <- h
	}
	count(descLimit, float64(r.LimitHeld))
	gauge(descBudget, r.View.Budget)
	gauge(descOpen, float64(r.Open))
	gauge(descBytes, float64(r.Bytes))
	gauge(descSessions, float64(r.Sessions))
	gauge(descLinks, float64(r.Connections))
	gauge(descVersion, float64(r.Version))
	gauge(descLeased, bit(r.Leased))
	module(r.View, gauge)
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

// Handler serves /metrics, in OpenMetrics text to whoever asks for it. Each page is one
// reading; none is served while read says that there is nothing to show.
func Handler(read func() (Reading, bool)) http.Handler {
	reg := prometheus.NewRegistry()
	reg.MustRegister(collector{read})
	return promhttp.HandlerFor(reg, promhttp.HandlerOpts{EnableOpenMetrics: true, MaxRequestsInFlight: 4})
}
