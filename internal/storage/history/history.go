// Package history keeps what a host counted, second by second for an hour and coarser
// after, in columnar files of bounded size. Counts and latencies are sums, so that rows of
// times and of hosts add up without loss. It measures nothing and decides nothing but what
// is kept.
package history

import (
	"cmp"
	"math"
	"slices"
)

// Buckets is the number of latency buckets: bucket i holds times under Bound(i), the last
// all others.
const Buckets = 64

// Latency buckets grow by a quarter from 0.1 ms: the last bound is beyond two minutes.
const (
	leastBound = 0.1
	growth     = 1.25
)

var logGrowth = math.Log(growth)

// Bound is the upper end of a bucket, ms.
func Bound(i int) float64 { return leastBound * math.Pow(growth, float64(i)) }

// Bucket is the one that a time in ms falls into.
func Bucket(ms float64) int {
	if !(ms >= leastBound) {
		return 0
	}
	i := int(math.Log(ms/leastBound)/logGrowth) + 1
	return min(i, Buckets-1)
}

// Key is what a row is of.
type Key struct {
	Class string `parquet:"class,dict" json:"class"`
	Plan  string `parquet:"plan,dict" json:"plan"`
}

// Counts are sums over a time.
type Counts struct {
	Taken   uint64 `parquet:"taken" json:"taken"`
	Served  uint64 `parquet:"served" json:"served"`
	InAim   uint64 `parquet:"in_aim" json:"in_aim"`
	Refused uint64 `parquet:"refused" json:"refused"`
	Failed  uint64 `parquet:"failed" json:"failed"`
	// Latency has the served by bucket; nil is none. Reasons has the refused and failed by
	// the module's reason.
	Latency []uint64 `parquet:"latency,list" json:"latency,omitempty"`
	Reasons []uint64 `parquet:"reasons,list" json:"reasons,omitempty"`
}

// Row is what was counted from a time on, for a time.
type Row struct {
	At   int64 `parquet:"at,delta" json:"at"` // s since 1970, UTC
	Span int64 `parquet:"span" json:"span"`   // s
	Key
	Counts
}

// Add sums o into c.
func (c *Counts) Add(o *Counts) {
	c.Taken += o.Taken
	c.Served += o.Served
	c.InAim += o.InAim
	c.Refused += o.Refused
	c.Failed += o.Failed
	c.Latency, c.Reasons = added(c.Latency, o.Latency), added(c.Reasons, o.Reasons)
}

func added(a, b []uint64) []uint64 {
	if len(b) > len(a) {
		a = append(slices.Clone(a), make([]uint64, len(b)-len(a))...)
	}
	for i, n := range b {
		a[i] += n
	}
	return a
}

// Since is c less an earlier reading of the same counters. Counters that have fallen began
// anew: all they have is new.
func (c Counts) Since(o *Counts) Counts {
	if c.Taken < o.Taken || c.Served < o.Served {
		return c
	}
	return Counts{c.Taken - o.Taken, c.Served - o.Served, c.InAim - o.InAim, c.Refused - o.Refused, c.Failed - o.Failed,
		less(c.Latency, o.Latency), less(c.Reasons, o.Reasons)}
}

func less(a, b []uint64) []uint64 {
	a = slices.Clone(a)
	for i := range min(len(a), len(b)) {
		a[i] -= min(b[i], a[i])
	}
	return a
}

// empty tells whether nothing was counted.
func (c *Counts) empty() bool {
	return c.Taken|c.Served|c.Refused|c.Failed == 0
}

// Quantile is the time in ms under which that part of the served were, the upper end of its
// bucket; 0 if none was served.
func (c *Counts) Quantile(q float64) float64 {
	total := uint64(0)
	for _, n := range c.Latency {
		total += n
	}
	if total == 0 {
		return 0
	}
	need, sum := uint64(math.Ceil(q*float64(total))), uint64(0)
	for i, n := range c.Latency {
		if sum += n; sum >= max(need, 1) {
			return Bound(i)
		}
	}
	return Bound(Buckets - 1)
}

// Coarser sums rows into spans of so many seconds that begin at its multiples, in order of
// time and key.
func Coarser(rows []Row, span int64) []Row {
	type place struct {
		at int64
		Key
	}
	sums := map[place]*Counts{}
	for i := range rows {
		p := place{rows[i].At - mod(rows[i].At, span), rows[i].Key}
		if sums[p] == nil {
			sums[p] = &Counts{}
		}
		sums[p].Add(&rows[i].Counts)
	}
	out := make([]Row, 0, len(sums))
	for p, c := range sums {
		out = append(out, Row{p.at, span, p.Key, *c})
	}
	Sort(out)
	return out
}

func mod(a, b int64) int64 { return (a%b + b) % b }

// Sort orders rows by time and key.
func Sort(rows []Row) {
	slices.SortFunc(rows, func(a, b Row) int {
		return cmp.Or(cmp.Compare(a.At, b.At), cmp.Compare(a.Class, b.Class), cmp.Compare(a.Plan, b.Plan))
	})
}

// Total sums rows.
func Total(rows []Row) (c Counts) {
	for i := range rows {
		c.Add(&rows[i].Counts)
	}
	return c
}
