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

// Answer is what came of an expectation.
type Answer struct {
	Expectation
	Held  bool
	Found string
}

func (a Answer) String() string {
	if a.Held {
		return fmt.Sprintf("line %d: holds: %s", a.Line, a.Text)
	}
	return fmt.Sprintf("line %d: fails: %s: found %s", a.Line, a.Text, a.Found)
}

// Check answers expectations under settings. They must have been parsed against them.
func Check(s *settings.Settings, list []Expectation) []Answer {
	c := &checker{set: s, volumes: make(map[string]*settings.Volume, len(s.Volumes)), lost: map[string]map[string]bool{}, rushes: map[rush]rushed{}}
	for i := range s.Volumes {
		c.volumes[s.Volumes[i].Name] = &s.Volumes[i]
	}
	out := make([]Answer, len(list))
	for i, e := range list {
		out[i] = Answer{Expectation: e}
		out[i].Held, out[i].Found = c.answer(e)
	}
	return out
}

type checker struct {
	set     *settings.Settings
	volumes map[string]*settings.Volume
	lost    map[string]map[string]bool // by domain: volumes that are lost with it
	rushes  map[rush]rushed
}

func (c *checker) answer(e Expectation) (bool, string) {
	switch e.Kind {
	case Routes, Refused:
		return c.route(e)
	case Is:
		got := "no class"
		if k := c.class(e); k != nil {
			got = k.Name
		}
		return got == e.Class, got
	case Limits:
		return c.limit(e)
	}
	return c.survives(e)
}

func (c *checker) size(e Expectation) int {
	if e.Bytes > 0 {
		return e.Bytes
	}
	return c.volumes[e.Volume].BlockSize
}

func (c *checker) class(e Expectation) *settings.Class {
	return c.set.Class(e.Op, c.size(e), c.volumes[e.Volume].Plan)
}

// nodes is the list that hosts would have: n0 to the last, each with its shard, but for
// what an expectation says of them.
func (c *checker) nodes(when []NodeFact) policy.NodeList {
	l := policy.NodeList{Full: true}
	for sh := range c.set.Shards {
		l.Nodes = append(l.Nodes, policy.Node{Addr: NodeOf(sh), Health: policy.Ready, Shard: sh})
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

// route asks the module where one request to each shard of the volume goes, if anywhere.
func (c *checker) route(e Expectation) (bool, string) {
	v, k := c.volumes[e.Volume], c.class(e)
	if k == nil {
		return false, "no class takes it"
	}
	d := newDriver(c.set, c.nodes(e.When))
	shards := slices.Clone(v.Layout)
	slices.Sort(shards)
	for i, sh := range slices.Compact(shards) {
		d.ask(start, k.Deadline, policy.Request{ID: fmt.Sprint(i), Class: k.Name, Plan: v.Plan, Volume: v.Name, Shard: sh, Units: c.set.Units(c.size(e)),
			Key: v.Key(uint64(i)), Hosts: len(v.Hosts), Write: e.Op.Writes()})
	}
	d.run(start + k.Deadline + c.set.Rules.AnswerSlack)
	to := map[string]bool{}
	for n := range d.sentTo {
		to[n] = true
	}
	if e.Kind == Refused {
		return len(to) == 0 && d.refused > 0, c.said(to, d)
	}
	want := map[string]bool{}
	for _, n := range e.Nodes {
		want[n] = true
	}
	return fmt.Sprint(slices.Sorted(maps.Keys(to))) == fmt.Sprint(slices.Sorted(maps.Keys(want))) && d.refused == 0, c.said(to, d)
}

func (c *checker) said(to map[string]bool, d *driver) string {
	parts := slices.Sorted(maps.Keys(to))
	if d.refused > 0 {
		parts = append(parts, "a refusal")
	}
	return strings.Join(parts, ", ")
}

// rush is a plan asked for so many times its rate.
type rush struct {
	plan  string
	times float64
}

type rushed struct {
	passed float64 // units a second, all hosts together
	// straddle is what one more request of each host is of that.
	straddle float64
	late     int // requests of other plans without an answer in their aim
	others   int
	neither  string // why nothing can be said
}

// A rush lasts so long; what passes is counted once the limit's store is empty, and may
// be a request of each host more, which straddles the end.
const (
	rushTime  = 10_000.0
	rushStore = 4_000.0
	rushEnd   = 1_000.0 // for the last to be answered
	rushServe = 2.0     // ms that the made-up nodes take
)

// limit has one volume of the plan ask for many times its rate, and one of each other
// plan for its own, through the hosts of the limited one.
func (c *checker) limit(e Expectation) (bool, string) {
	key := rush{e.Plan, e.Times}
	got, known := c.rushes[key]
	if !known {
		got = c.rush(key)
		c.rushes[key] = got
	}
	if got.neither != "" {
		return false, got.neither
	}
	return got.passed <= e.Most+got.straddle && got.late == 0, fmt.Sprintf("%.1f units a second of %s, %d of %d requests of other plans late or lost", got.passed, e.Plan, got.late, got.others)
}

func (c *checker) rush(r rush) (out rushed) {
	var asks []*settings.Volume
	for i := range c.set.Plans {
		j := slices.IndexFunc(c.set.Volumes, func(v settings.Volume) bool { return v.Plan == c.set.Plans[i].Name })
		if j >= 0 {
			asks = append(asks, &c.set.Volumes[j])
		} else if c.set.Plans[i].Name == r.plan {
			return rushed{neither: "no volume of plan " + r.plan}
		}
	}
	slices.SortStableFunc(asks, func(a, b *settings.Volume) int { // the rushing one first: its hosts take all
		return -cmp.Compare(boolInt(a.Plan == r.plan), boolInt(b.Plan == r.plan))
	})
	hosts := len(asks[0].Hosts)
	var drivers []*driver
	for range hosts {
		drivers = append(drivers, newDriver(c.set, c.nodes(nil)))
	}
	n := 0
	for _, v := range asks {
		k := c.set.Class(scsi.Read, v.BlockSize, v.Plan)
		if k == nil {
			return rushed{neither: "no class takes reads of " + v.Name}
		}
		rate := c.set.RateOf(v)
		if v.Plan == r.plan {
			rate *= r.times
		}
		if rate <= 0 || rate > 1e5 {
			return rushed{neither: fmt.Sprintf("a rate of %v a second of %s", rate, v.Name)}
		}
		for t := 0.0; t < rushTime; t += 1000 / rate {
			drivers[n%hosts].ask(start+t, k.Deadline, policy.Request{ID: fmt.Sprint(n), Class: k.Name, Plan: v.Plan, Volume: v.Name, Shard: v.Layout[n%len(v.Layout)], Units: 1,
				Hosts: hosts})
			n++
		}
	}
	passed := 0.0
	for _, d := range drivers {
		d.run(start + rushTime + rushEnd)
		passed += d.passed[r.plan]
		for plan, n := range d.asked {
			if plan != r.plan {
				out.others += n
				out.late += n - d.inTime[plan]
			}
		}
	}
	out.passed, out.straddle = passed/(rushTime-rushStore)*1000, float64(hosts)/(rushTime-rushStore)*1000
	return out
}

func boolInt(b bool) int {
	if b {
		return 1
	}
	return 0
}

// survives asks the placement's code which volumes a loss leaves without a node.
func (c *checker) survives(e Expectation) (bool, string) {
	lost, known := c.lost[e.Domain]
	if !known {
		lost = map[string]bool{}
		s := *c.set
		if strings.HasPrefix(e.Domain, "region-") {
			s.Placement.Domain = settings.DomainRegion
		}
		_, names := plan.FailOver(&s, e.Domain)
		for _, n := range names {
			lost[n] = true
		}
		c.lost[e.Domain] = lost
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

// start is the made-up clock's time at which requests begin.
const start = 100_000.0

// driver runs one instance of the module among made-up nodes that answer each attempt
// after rushServe.
type driver struct {
	mod     policy.Scheduler
	now     float64
	due     moments
	n       int
	reqs    map[string]policy.Request
	came    map[string]float64
	aims    map[string]float64
	tries   map[string]int
	sentTo  map[string]int
	refused int
	asked   map[string]int     // by plan
	inTime  map[string]int     // by plan
	passed  map[string]float64 // units by plan
}

type moment struct {
	at float64
	n  int
	ev policy.Event
}

type moments []moment

func (m moments) Len() int { return len(m) }
func (m moments) Less(i, j int) bool {
	return m[i].at < m[j].at || m[i].at == m[j].at && m[i].n < m[j].n
}
func (m moments) Swap(i, j int) { m[i], m[j] = m[j], m[i] }
func (m *moments) Push(x any)   { *m = append(*m, x.(moment)) }
func (m *moments) Pop() any {
	old := *m
	x := old[len(old)-1]
	*m = old[:len(old)-1]
	return x
}

// warmUp is how long a made-up host has run before: its part of a limit fills from its
// start on.
const warmUp = 60_000.0

func newDriver(s *settings.Settings, l policy.NodeList) *driver {
	p := s.Policy(0, "")
	d := &driver{mod: policy.New(p, 1), now: start - warmUp, reqs: map[string]policy.Request{}, came: map[string]float64{}, aims: map[string]float64{}, tries: map[string]int{},
		sentTo: map[string]int{}, asked: map[string]int{}, inTime: map[string]int{}, passed: map[string]float64{}}
	for _, k := range s.Classes {
		d.aims[k.Name] = k.Aim
	}
	d.tell(l)
	return d
}

func (d *driver) push(at float64, ev policy.Event) {
	d.n++
	heap.Push(&d.due, moment{at, d.n, ev})
}

// ask has a request come at a time.
func (d *driver) ask(at, deadline float64, q policy.Request) {
	q.Expires = at + deadline
	d.asked[q.Plan]++
	d.reqs[q.ID], d.came[q.ID] = q, at
	d.push(at, q)
}

func (d *driver) run(until float64) {
	for len(d.due) > 0 && d.due[0].at <= until {
		m := heap.Pop(&d.due).(moment)
		d.now = m.at
		d.tell(m.ev)
	}
}

func (d *driver) tell(ev policy.Event) {
	if o, ok := ev.(policy.Outcome); ok {
		q := d.reqs[o.ID]
		if d.now >= start+rushStore && d.now < start+rushTime {
			d.passed[q.Plan] += q.Units
		}
		if d.now-d.came[q.ID] <= d.aims[q.Class] {
			d.inTime[q.Plan]++
		}
	}
	for _, a := range d.mod.Handle(d.now, ev) {
		switch a := a.(type) {
		case policy.Send:
			d.sentTo[a.Node]++
			d.tries[a.ID]++
			d.push(d.now+rushServe, policy.Outcome{ID: a.ID, Node: a.Node, Attempt: d.tries[a.ID] - 1, Done: true, Elapsed: rushServe, Result: policy.Served})
		case policy.Refuse, policy.Fail:
			d.refused++
		case policy.SetTimer:
			d.push(d.now+a.Delay, policy.TimerFired{Name: a.Name})
		}
	}
}
