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

func newCostMeter(nodeCount int) *costMeter {
	s := gatewaySettings()
	s.Hosts, s.Shards = 30, nodeCount
	m := &costMeter{scheduler: newScheduler(s, 1), now: 1000}
	for i := range nodeCount {
		m.nodes = append(m.nodes, Node{Addr: fmt.Sprintf("n%d", i), Health: Ready, Shard: i})
	}
	return m
}

// visits is how many nodes and shards the module looks at while it takes an event.
func (m *costMeter) visits(ev Event) int {
	before := m.scheduler.visits
	m.scheduler.Handle(m.now, ev)
	return m.scheduler.visits - before
}

func (m *costMeter) fullList() Event { return NodeList{Full: true, Nodes: m.nodes} }

// healthChange has every so many-th node drain, or come back.
func (m *costMeter) healthChange(first, count int, health Health) Event {
	var changed []Node
	for i := range count {
		n := m.nodes[(first+i*len(m.nodes)/count)%len(m.nodes)]
		n.Health = health
		changed = append(changed, n)
	}
	return NodeList{Nodes: changed}
}

// serveRequest asks for a shard, or with -1 for a new object, and is served at once.
func (m *costMeter) serveRequest(shard int) int {
	m.requestCount++
	id := fmt.Sprint(m.requestCount)
	visits := m.visits(Request{ID: id, Class: "read", Plan: "normal", Volume: "v", Shard: shard, Units: 2, Expires: m.now + 2000, Hosts: 1})
	node := m.scheduler.requests[id].sentTo
	return visits + m.visits(Outcome{ID: id, Node: node.Addr, Done: true, Elapsed: 20, Result: Served})
}

// eventCosts is what each kind of event eventCosts before a fleet of that size, in visits.
func eventCosts(nodeCount int) map[string]int {
	m := newCostMeter(nodeCount)
	costs := map[string]int{"first whole list": m.visits(m.fullList())}
	m.serveRequest(-1)
	m.now += 100
	costs["whole list again"] = m.visits(m.fullList())
	costs["twelve drain"] = m.visits(m.healthChange(0, 12, Draining))
	costs["twelve are back"] = m.visits(m.healthChange(0, 12, Ready))
	m.now += 1000
	costs["second"] = m.visits(TimerFired{"second"})
	costs["request"] = m.serveRequest(nodeCount / 2)
	costs["new object"] = m.serveRequest(-1)
	m.now += 100
	costs["tenth drains"] = m.visits(m.healthChange(0, nodeCount/10, Draining))
	costs["new object then"] = m.serveRequest(-1)
	return costs
}

// A list costs what it changes and a request what it touches, however many nodes there are;
// a whole list and a second at most what there is more of.
func TestCostByFleetSize(t *testing.T) {
	const fewNodes, manyNodes = 200, 3200
	maxGrowth := map[string]float64{"first whole list": 24, "whole list again": 24, "tenth drains": 24, "second": 24}
	costFew, costMany := eventCosts(fewNodes), eventCosts(manyNodes)
	for event, cost := range costFew {
		allowed := maxGrowth[event]
		if allowed == 0 {
			allowed = 3
		}
		if float64(costMany[event]) > allowed*float64(max(cost, 1)) {
			t.Errorf("%s: %d visits before %d nodes, %d before %d", event, cost, fewNodes, costMany[event], manyNodes)
		}
	}
	if costMany["twelve drain"] > 100 || costMany["request"] > 20 || costMany["new object"] > 20 {
		t.Errorf("at %d nodes: %v", manyNodes, costMany)
	}
}

// What a list, a request and a second cost by fleet size:
// go test -run xxx -bench FleetSize ./policy
func BenchmarkFleetSize(b *testing.B) {
	for _, nodes := range []int{200, 800, 3200} {
		b.Run(fmt.Sprintf("whole/%d", nodes), func(b *testing.B) {
			for b.Loop() {
				m := newCostMeter(nodes)
				m.visits(m.fullList())
			}
		})
		bench := func(name string, event func(m *costMeter, i int)) {
			b.Run(fmt.Sprintf("%s/%d", name, nodes), func(b *testing.B) {
				m := newCostMeter(nodes)
				m.visits(m.fullList())
				for i := 0; b.Loop(); i++ {
					m.now += 0.5
					event(m, i)
				}
			})
		}
		bench("twelve", func(m *costMeter, i int) { m.visits(m.healthChange(i/2*37, 12, []Health{Draining, Ready}[i%2])) })
		bench("request", func(m *costMeter, i int) { m.serveRequest(i * 7 % nodes) })
		bench("new", func(m *costMeter, i int) { m.serveRequest(-1) })
		bench("second", func(m *costMeter, i int) { m.visits(TimerFired{"second"}) })
	}
}
