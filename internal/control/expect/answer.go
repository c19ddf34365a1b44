package expect

import (
	"cmp"
	"container/heap"
	"fmt"
	"maps"
	"slices"
	"strings"

	"merlinhitch/internal/control/settings"
	"merlinhitch/internal/fleet/plan"
	"merlinhitch/internal/protocol/scsi"
	"merlinhitch/policy"
)

// Result is the outcome of an expectation. Found describes what was found instead if it
// does not hold.
type Result struct {
	Expectation
	Holds bool
	Found string
}

func (a Result) String() string {
	if a.Holds {
		return fmt.Sprintf("line %d: holds: %s", a.Line, a.Text)
	}
	return fmt.Sprintf("line %d: fails: %s: found %s", a.Line, a.Text, a.Found)
}

// Check evaluates expectations under the settings that they were parsed with.
func Check(s *settings.Settings, list []Expectation) []Result {
	c := &checker{set: s, volumes: make(map[string]*settings.Volume, len(s.Volumes)), lostVolumes: map[string]map[string]bool{}, overloads: map[overloadKey]overloadResult{}}
	for i := range s.Volumes {
		c.volumes[s.Volumes[i].Name] = &s.Volumes[i]
	}
	out := make([]Result, len(list))
	for i, e := range list {
		out[i] = Result{Expectation: e}
		out[i].Holds, out[i].Found = c.check(e)
	}
	return out
}

type checker struct {
	set         *settings.Settings
	volumes     map[string]*settings.Volume
	lostVolumes map[string]map[string]bool // by failure domain: volumes that are unavailable when it is lost
	overloads   map[overloadKey]overloadResult
}

func (c *checker) check(e Expectation) (bool, string) {
	switch e.Kind {
	case Routes, Refused:
		return c.checkRoute(e)
	case ClassIs:
		got := "no class"
		if k := c.class(e); k != nil {
			got = k.Name
		}
		return got == e.Class, got
	case Limits:
		return c.checkLimit(e)
	}
	return c.checkSurvival(e)
}

func (c *checker) requestBytes(e Expectation) int {
	if e.Bytes > 0 {
		return e.Bytes
	}
	return c.volumes[e.Volume].BlockSize
}

func (c *checker) class(e Expectation) *settings.Class {
	return c.set.Class(e.Op, c.requestBytes(e), c.volumes[e.Volume].Plan)
}

// nodeList returns the node list of the simulated hosts: nodes n0, n1 and so on, each ready
// with the shard of its number, changed by the node states of an expectation.
func (c *checker) nodeList(when []NodeState) policy.NodeList {
	l := policy.NodeList{Full: true}
	for sh := range c.set.Shards {
		l.Nodes = append(l.Nodes, policy.Node{Addr: NodeName(sh), Health: policy.Ready, Shard: sh})
	}
	for _, f := range when {
		n := policy.Node{Addr: f.Node, Health: policy.Ready, Shard: f.Shard}
		switch f.State {
		case "draining":
			n.Health = policy.Draining
		case "gone":
			n.Health = policy.Removed
		}
		if i := slices.IndexFunc(l.Nodes, func(o policy.Node) bool { return o.Addr == f.Node }); i >= 0 {
			l.Nodes[i] = n
		} else {
			l.Nodes = append(l.Nodes, n)
		}
	}
	return l
}

// checkRoute runs the scheduler with one request to each shard of the volume and compares
// the nodes that they are sent to.
func (c *checker) checkRoute(e Expectation) (bool, string) {
	v, k := c.volumes[e.Volume], c.class(e)
	if k == nil {
		return false, "no class takes it"
	}
	d := newDriver(c.set, c.nodeList(e.NodeStates))
	shards := slices.Clone(v.Layout)
	slices.Sort(shards)
	for i, sh := range slices.Compact(shards) {
		d.addRequest(startTime, k.Deadline, policy.Request{ID: fmt.Sprint(i), Class: k.Name, Plan: v.Plan, Volume: v.Name, Shard: sh, Units: c.set.Units(c.requestBytes(e)),
			Key: v.Key(uint64(i)), Hosts: len(v.Hosts), Write: e.Op.Writes()})
	}
	d.run(startTime + k.Deadline + c.set.Rules.AnswerSlack)
	to := map[string]bool{}
	for n := range d.sentTo {
		to[n] = true
	}
	if e.Kind == Refused {
		return len(to) == 0 && d.refusals > 0, c.describeTargets(to, d)
	}
	want := map[string]bool{}
	for _, n := range e.Nodes {
		want[n] = true
	}
	return fmt.Sprint(slices.Sorted(maps.Keys(to))) == fmt.Sprint(slices.Sorted(maps.Keys(want))) && d.refusals == 0, c.describeTargets(to, d)
}

func (c *checker) describeTargets(to map[string]bool, d *driver) string {
	parts := slices.Sorted(maps.Keys(to))
	if d.refusals > 0 {
		parts = append(parts, "a refusal")
	}
	return strings.Join(parts, ", ")
}

// overloadKey identifies a simulated overload: a plan at a multiple of its rate.
type overloadKey struct {
	plan   string
	factor float64
}

type overloadResult struct {
	servedRate float64 // units per second over all hosts
	// tolerance is the rate of one more request of each host, which may straddle the end of
	// the measured interval.
	tolerance   float64
	othersLate  int // requests of other plans without an answer within their latency target
	othersTotal int
	skipReason  string // why the overload can't be simulated
}

// Times of a simulated overload in ms. Served units are counted after overloadSettle, when
// the limit's token bucket is empty.
const (
	overloadEnd    = 10_000.0
	overloadSettle = 4_000.0
	overloadGrace  = 1_000.0 // after the last request, for its answer
	serviceTime    = 2.0     // of the simulated nodes
)

// checkLimit simulates one volume of the plan at a multiple of its rate and one volume of
// each other plan at its rate, all through as many hosts as the first volume has.
func (c *checker) checkLimit(e Expectation) (bool, string) {
	key := overloadKey{e.Plan, e.RateFactor}
	got, known := c.overloads[key]
	if !known {
		got = c.overload(key)
		c.overloads[key] = got
	}
	if got.skipReason != "" {
		return false, got.skipReason
	}
	return got.servedRate <= e.MaxRate+got.tolerance && got.othersLate == 0, fmt.Sprintf("%.1f units a second of %s, %d of %d requests of other plans late or lost", got.servedRate, e.Plan, got.othersLate, got.othersTotal)
}

func (c *checker) overload(r overloadKey) (out overloadResult) {
	var asks []*settings.Volume
	for i := range c.set.Plans {
		j := slices.IndexFunc(c.set.Volumes, func(v settings.Volume) bool { return v.Plan == c.set.Plans[i].Name })
		if j >= 0 {
			asks = append(asks, &c.set.Volumes[j])
		} else if c.set.Plans[i].Name == r.plan {
			return overloadResult{skipReason: "no volume of plan " + r.plan}
		}
	}
	slices.SortStableFunc(asks, func(a, b *settings.Volume) int { // the overloaded one first: all go through its hosts
		return -cmp.Compare(boolInt(a.Plan == r.plan), boolInt(b.Plan == r.plan))
	})
	hosts := len(asks[0].Hosts)
	var drivers []*driver
	for range hosts {
		drivers = append(drivers, newDriver(c.set, c.nodeList(nil)))
	}
	n := 0
	for _, v := range asks {
		k := c.set.Class(scsi.Read, v.BlockSize, v.Plan)
		if k == nil {
			return overloadResult{skipReason: "no class takes reads of " + v.Name}
		}
		rate := c.set.RateOf(v)
		if v.Plan == r.plan {
			rate *= r.factor
		}
		if rate <= 0 || rate > 1e5 {
			return overloadResult{skipReason: fmt.Sprintf("can't simulate a rate of %v per second of %s", rate, v.Name)}
		}
		for t := 0.0; t < overloadEnd; t += 1000 / rate {
			drivers[n%hosts].addRequest(startTime+t, k.Deadline, policy.Request{ID: fmt.Sprint(n), Class: k.Name, Plan: v.Plan, Volume: v.Name, Shard: v.Layout[n%len(v.Layout)], Units: 1,
				Hosts: hosts})
			n++
		}
	}
	passed := 0.0
	for _, d := range drivers {
		d.run(startTime + overloadEnd + overloadGrace)
		passed += d.servedUnits[r.plan]
		for plan, n := range d.requested {
			if plan != r.plan {
				out.othersTotal += n
				out.othersLate += n - d.inTime[plan]
			}
		}
	}
	out.servedRate, out.tolerance = passed/(overloadEnd-overloadSettle)*1000, float64(hosts)/(overloadEnd-overloadSettle)*1000
	return out
}

func boolInt(b bool) int {
	if b {
		return 1
	}
	return 0
}

// checkSurvival uses plan.FailOver to find the volumes that the loss of a failure domain
// leaves without a node.
func (c *checker) checkSurvival(e Expectation) (bool, string) {
	lost, known := c.lostVolumes[e.Domain]
	if !known {
		lost = map[string]bool{}
		s := *c.set
		if strings.HasPrefix(e.Domain, "region-") {
			s.Placement.FailureDomain = settings.DomainRegion
		}
		_, names := plan.FailOver(&s, e.Domain)
		for _, n := range names {
			lost[n] = true
		}
		c.lostVolumes[e.Domain] = lost
	}
	if e.Volume != "" {
		if lost[e.Volume] {
			return false, e.Volume + " without a node"
		}
		return true, ""
	}
	names := slices.Sorted(maps.Keys(lost))
	if len(names) > 3 {
		names = append(names[:3], fmt.Sprintf("%d more", len(lost)-3))
	}
	return len(lost) == 0, strings.Join(names, ", ") + " without a node"
}

// startTime is the simulated time of the first request, ms.
const startTime = 100_000.0

// driver runs one scheduler in simulated time, with nodes that answer each attempt after
// serviceTime.
type driver struct {
	scheduler      policy.Scheduler
	now            float64
	queue          eventQueue
	pushed         int
	requests       map[string]policy.Request
	arrivals       map[string]float64
	latencyTargets map[string]float64
	attempts       map[string]int
	sentTo         map[string]int
	refusals       int
	requested      map[string]int     // by plan
	inTime         map[string]int     // by plan
	servedUnits    map[string]float64 // units by plan
}

type scheduledEvent struct {
	at    float64
	seq   int
	event policy.Event
}

type eventQueue []scheduledEvent

func (m eventQueue) Len() int { return len(m) }
func (m eventQueue) Less(i, j int) bool {
	return m[i].at < m[j].at || m[i].at == m[j].at && m[i].seq < m[j].seq
}
func (m eventQueue) Swap(i, j int) { m[i], m[j] = m[j], m[i] }
func (m *eventQueue) Push(x any)   { *m = append(*m, x.(scheduledEvent)) }
func (m *eventQueue) Pop() any {
	old := *m
	x := old[len(old)-1]
	*m = old[:len(old)-1]
	return x
}

// warmUpTime is the time in ms that a simulated host runs before the first request, so that
// its token buckets are full.
const warmUpTime = 60_000.0

func newDriver(s *settings.Settings, l policy.NodeList) *driver {
	p := s.Policy(0, "")
	d := &driver{scheduler: policy.New(p, 1), now: startTime - warmUpTime, requests: map[string]policy.Request{}, arrivals: map[string]float64{}, latencyTargets: map[string]float64{}, attempts: map[string]int{},
		sentTo: map[string]int{}, requested: map[string]int{}, inTime: map[string]int{}, servedUnits: map[string]float64{}}
	for _, k := range s.Classes {
		d.latencyTargets[k.Name] = k.LatencyTarget
	}
	d.handle(l)
	return d
}

func (d *driver) push(at float64, ev policy.Event) {
	d.pushed++
	heap.Push(&d.queue, scheduledEvent{at, d.pushed, ev})
}

// addRequest schedules the arrival of a request.
func (d *driver) addRequest(at, deadline float64, q policy.Request) {
	q.Expires = at + deadline
	d.requested[q.Plan]++
	d.requests[q.ID], d.arrivals[q.ID] = q, at
	d.push(at, q)
}

func (d *driver) run(until float64) {
	for len(d.queue) > 0 && d.queue[0].at <= until {
		m := heap.Pop(&d.queue).(scheduledEvent)
		d.now = m.at
		d.handle(m.event)
	}
}

func (d *driver) handle(ev policy.Event) {
	if o, ok := ev.(policy.Outcome); ok {
		q := d.requests[o.ID]
		if d.now >= startTime+overloadSettle && d.now < startTime+overloadEnd {
			d.servedUnits[q.Plan] += q.Units
		}
		if d.now-d.arrivals[q.ID] <= d.latencyTargets[q.Class] {
			d.inTime[q.Plan]++
		}
	}
	for _, a := range d.scheduler.Handle(d.now, ev) {
		switch a := a.(type) {
		case policy.Send:
			d.sentTo[a.Node]++
			d.attempts[a.ID]++
			d.push(d.now+serviceTime, policy.Outcome{ID: a.ID, Node: a.Node, Attempt: d.attempts[a.ID] - 1, Done: true, Elapsed: serviceTime, Result: policy.Served})
		case policy.Refuse, policy.Fail:
			d.refusals++
		case policy.SetTimer:
			d.push(d.now+a.Delay, policy.TimerFired{Name: a.Name})
		}
	}
}
