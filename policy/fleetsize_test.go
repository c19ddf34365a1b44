package policy

import (
	"fmt"
	"testing"
)

// costMeter is one host's module before a fleet of some size, a shard for each node.
type costMeter struct {
	scheduler    *scheduler
	now          float64
	nodes        []Node
	requestCount int
}

func newCostMeter(nodes int) *costMeter {
	s := gatewaySettings()
	s.Hosts, s.Shards = 30, nodes
	f := &costMeter{scheduler: newScheduler(s, 1), now: 1000}
	for i := range nodes {
		f.nodes = append(f.nodes, Node{Addr: fmt.Sprintf("n%d", i), Health: Ready, Shard: i})
	}
	return f
}

// visits is how many nodes and shards the module looks at while it takes an event.
func (f *costMeter) visits(ev Event) int {
	before := f.scheduler.visits
	f.scheduler.Handle(f.now, ev)
	return f.scheduler.visits - before
}

func (f *costMeter) fullList() Event { return NodeList{Full: true, Nodes: f.nodes} }

// healthChange has every so many-th node drain, or come back.
func (f *costMeter) healthChange(from, many int, h Health) Event {
	var changed []Node
	for i := range many {
		n := f.nodes[(from+i*len(f.nodes)/many)%len(f.nodes)]
		n.Health = h
		changed = append(changed, n)
	}
	return NodeList{Nodes: changed}
}

// serveRequest asks for a shard, or with -1 for a new object, and is served at once.
func (f *costMeter) serveRequest(shard int) int {
	f.requestCount++
	id := fmt.Sprint(f.requestCount)
	work := f.visits(Request{ID: id, Class: "read", Plan: "normal", Volume: "v", Shard: shard, Units: 2, Expires: f.now + 2000, Hosts: 1})
	node := f.scheduler.requests[id].sentTo
	return work + f.visits(Outcome{ID: id, Node: node.Addr, Done: true, Elapsed: 20, Result: Served})
}

// eventCosts is what each kind of event eventCosts before a fleet of that size, in visits.
func eventCosts(nodes int) map[string]int {
	f := newCostMeter(nodes)
	got := map[string]int{"first whole list": f.visits(f.fullList())}
	f.serveRequest(-1)
	f.now += 100
	got["whole list again"] = f.visits(f.fullList())
	got["twelve drain"] = f.visits(f.healthChange(0, 12, Draining))
	got["twelve are back"] = f.visits(f.healthChange(0, 12, Ready))
	f.now += 1000
	got["second"] = f.visits(TimerFired{"second"})
	got["request"] = f.serveRequest(nodes / 2)
	got["new object"] = f.serveRequest(-1)
	f.now += 100
	got["tenth drains"] = f.visits(f.healthChange(0, nodes/10, Draining))
	got["new object then"] = f.serveRequest(-1)
	return got
}

// A list costs what it changes and a request what it touches, however many nodes there are;
// a whole list and a second at most what there is more of.
func TestCostByFleetSize(t *testing.T) {
	const few, many = 200, 3200
	most := map[string]float64{"first whole list": 24, "whole list again": 24, "tenth drains": 24, "second": 24}
	small, large := eventCosts(few), eventCosts(many)
	for kind, was := range small {
		bound := most[kind]
		if bound == 0 {
			bound = 3
		}
		if float64(large[kind]) > bound*float64(max(was, 1)) {
			t.Errorf("%s: %d visits before %d nodes, %d before %d", kind, was, few, large[kind], many)
		}
	}
	if large["twelve drain"] > 100 || large["request"] > 20 || large["new object"] > 20 {
		t.Errorf("at %d nodes: %v", many, large)
	}
}

// What a list, a request and a second cost by fleet size:
// go test -run xxx -bench FleetSize ./policy
func BenchmarkFleetSize(b *testing.B) {
	for _, nodes := range []int{200, 800, 3200} {
		b.Run(fmt.Sprintf("whole/%d", nodes), func(b *testing.B) {
			for b.Loop() {
				f := newCostMeter(nodes)
				f.visits(f.fullList())
			}
		})
		run := func(name string, do func(f *costMeter, i int)) {
			b.Run(fmt.Sprintf("%s/%d", name, nodes), func(b *testing.B) {
				f := newCostMeter(nodes)
				f.visits(f.fullList())
				for i := 0; b.Loop(); i++ {
					f.now += 0.5
					do(f, i)
				}
			})
		}
		run("twelve", func(f *costMeter, i int) { f.visits(f.healthChange(i/2*37, 12, []Health{Draining, Ready}[i%2])) })
		run("request", func(f *costMeter, i int) { f.serveRequest(i * 7 % nodes) })
		run("new", func(f *costMeter, i int) { f.serveRequest(-1) })
		run("second", func(f *costMeter, i int) { f.visits(TimerFired{"second"}) })
	}
}
