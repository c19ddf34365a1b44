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
	c := &checker{settings: s, volumes: make(map[string]*settings.Volume, len(s.Volumes)), lostVolumes: map[string]map[string]bool{}, overloads: map[overloadKey]overloadResult{}}
	for i := range s.Volumes {
		c.volumes[s.Volumes[i].Name] = &s.Volumes[i]
	}
	out := make([]Result, len(list))
	for i, expectation := range list {
		out[i] = Result{Expectation: expectation}
		out[i].Holds, out[i].Found = c.check(expectation)
	}
	return out
}

type checker struct {
	settings    *settings.Settings
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
	return c.settings.Class(e.Op, c.requestBytes(e), c.volumes[e.Volume].Plan)
}

// nodeList returns the node list of the simulated hosts: nodes n0, n1 and so on, each ready
// with the shard of its number, changed by the node states of an expectation.
func (c *checker) nodeList(states []NodeState) policy.NodeList {
	list := policy.NodeList{Full: true}
	for shard := range c.settings.Shards {
		list.Nodes = append(list.Nodes, policy.Node{Addr: NodeName(shard), Health: policy.Ready, Shard: shard})
	}
	for _, state := range states {
		node := policy.Node{Addr: state.Node, Health: policy.Ready, Shard: state.Shard}
		switch state.State {
		case "draining":
			node.Health = policy.Draining
		case "gone":
			node.Health = policy.Removed
		}
		if i := slices.IndexFunc(list.Nodes, func(o policy.Node) bool { return o.Addr == state.Node }); i >= 0 {
			list.Nodes[i] = node
		} else {
			list.Nodes = append(list.Nodes, node)
		}
	}
	return list
}

// checkRoute runs the scheduler with one request to each shard of the volume and compares
// the nodes that they are sent to.
func (c *checker) checkRoute(e Expectation) (bool, string) {
	volume, class := c.volumes[e.Volume], c.class(e)
	if class == nil {
		return false, "no class takes it"
	}
	d := newDriver(c.settings, c.nodeList(e.NodeStates))
	shards := slices.Clone(volume.Layout)
	slices.Sort(shards)
	for i, shard := range slices.Compact(shards) {
		d.addRequest(startTime, class.Deadline, policy.Request{ID: fmt.Sprint(i), Class: class.Name, Plan: volume.Plan, Volume: volume.Name, Shard: shard, Units: c.settings.Units(c.requestBytes(e)),
			Key: volume.Key(uint64(i)), Hosts: len(volume.Hosts), Write: e.Op.Writes()})
	}
	d.run(startTime + class.Deadline + c.settings.Rules.AnswerSlack)
	targets := map[string]bool{}
	for n := range d.sentTo {
		targets[n] = true
	}
	if e.Kind == Refused {
		return len(targets) == 0 && d.refusals > 0, c.describeTargets(targets, d)
	}
	want := map[string]bool{}
	for _, n := range e.Nodes {
		want[n] = true
	}
	return fmt.Sprint(slices.Sorted(maps.Keys(targets))) == fmt.Sprint(slices.Sorted(maps.Keys(want))) && d.refusals == 0, c.describeTargets(targets, d)
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
	result, done := c.overloads[key]
	if !done {
		result = c.overload(key)
		c.overloads[key] = result
	}
	if result.skipReason != "" {
		return false, result.skipReason
	}
	return result.servedRate <= e.MaxRate+result.tolerance && result.othersLate == 0, fmt.Sprintf("%.1f units a second of %s, %d of %d requests of other plans late or lost", result.servedRate, e.Plan, result.othersLate, result.othersTotal)
}

func (c *checker) overload(key overloadKey) (out overloadResult) {
	var volumes []*settings.Volume
	for i := range c.settings.Plans {
		first := slices.IndexFunc(c.settings.Volumes, func(v settings.Volume) bool { return v.Plan == c.settings.Plans[i].Name })
		if first >= 0 {
			volumes = append(volumes, &c.settings.Volumes[first])
		} else if c.settings.Plans[i].Name == key.plan {
			return overloadResult{skipReason: "no volume of plan " + key.plan}
		}
	}
	slices.SortStableFunc(volumes, func(a, b *settings.Volume) int { // the overloaded one first: all go through its hosts
		return -cmp.Compare(boolInt(a.Plan == key.plan), boolInt(b.Plan == key.plan))
	})
	hosts := len(volumes[0].Hosts)
	var drivers []*driver
	for range hosts {
		drivers = append(drivers, newDriver(c.settings, c.nodeList(nil)))
	}
	sent := 0
	for _, volume := range volumes {
		class := c.settings.Class(scsi.Read, volume.BlockSize, volume.Plan)
		if class == nil {
			return overloadResult{skipReason: "no class takes reads of " + volume.Name}
		}
		rate := c.settings.RateOf(volume)
		if volume.Plan == key.plan {
			rate *= key.factor
		}
		if rate <= 0 || rate > 1e5 {
			return overloadResult{skipReason: fmt.Sprintf("can't simulate a rate of %v per second of %s", rate, volume.Name)}
		}
		for offset := 0.0; offset < overloadEnd; offset += 1000 / rate {
			drivers[sent%hosts].addRequest(startTime+offset, class.Deadline, policy.Request{ID: fmt.Sprint(sent), Class: class.Name, Plan: volume.Plan, Volume: volume.Name, Shard: volume.Layout[sent%len(volume.Layout)], Units: 1,
				Hosts: hosts})
			sent++
		}
	}
	served := 0.0
	for _, d := range drivers {
		d.run(startTime + overloadEnd + overloadGrace)
		served += d.servedUnits[key.plan]
		for plan, count := range d.requested {
			if plan != key.plan {
				out.othersTotal += count
				out.othersLate += count - d.onTime[plan]
			}
		}
	}
	out.servedRate, out.tolerance = served/(overloadEnd-overloadSettle)*1000, float64(hosts)/(overloadEnd-overloadSettle)*1000
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
	lost, done := c.lostVolumes[e.Domain]
	if !done {
		lost = map[string]bool{}
		s := *c.settings
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
	onTime         map[string]int     // by plan
	servedUnits    map[string]float64 // units by plan
}

type scheduledEvent struct {
	time  float64
	seq   int
	event policy.Event
}

type eventQueue []scheduledEvent

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return q[i].time < q[j].time || q[i].time == q[j].time && q[i].seq < q[j].seq
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(scheduledEvent)) }
func (q *eventQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}

// warmUpTime is the time in ms that a simulated host runs before the first request, so that
// its token buckets are full.
const warmUpTime = 60_000.0

func newDriver(s *settings.Settings, nodes policy.NodeList) *driver {
	policySettings := s.Policy(0, "")
	d := &driver{scheduler: policy.New(policySettings, 1), now: startTime - warmUpTime, requests: map[string]policy.Request{}, arrivals: map[string]float64{}, latencyTargets: map[string]float64{}, attempts: map[string]int{},
		sentTo: map[string]int{}, requested: map[string]int{}, onTime: map[string]int{}, servedUnits: map[string]float64{}}
	for _, class := range s.Classes {
		d.latencyTargets[class.Name] = class.LatencyTarget
	}
	d.handle(nodes)
	return d
}

func (d *driver) push(time float64, event policy.Event) {
	d.pushed++
	heap.Push(&d.queue, scheduledEvent{time, d.pushed, event})
}

// addRequest schedules the arrival of a request.
func (d *driver) addRequest(arrival, deadline float64, request policy.Request) {
	request.Expires = arrival + deadline
	d.requested[request.Plan]++
	d.requests[request.ID], d.arrivals[request.ID] = request, arrival
	d.push(arrival, request)
}

func (d *driver) run(end float64) {
	for len(d.queue) > 0 && d.queue[0].time <= end {
		next := heap.Pop(&d.queue).(scheduledEvent)
		d.now = next.time
		d.handle(next.event)
	}
}

func (d *driver) handle(event policy.Event) {
	if outcome, ok := event.(policy.Outcome); ok {
		request := d.requests[outcome.ID]
		if d.now >= startTime+overloadSettle && d.now < startTime+overloadEnd {
			d.servedUnits[request.Plan] += request.Units
		}
		if d.now-d.arrivals[request.ID] <= d.latencyTargets[request.Class] {
			d.onTime[request.Plan]++
		}
	}
	for _, action := range d.scheduler.Handle(d.now, event) {
		switch a := action.(type) {
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
