package policy

import (
	"fmt"
	"testing"
)

// costMeter counts the visits of one host's scheduler with a fleet that has a node for each shard.
type costMeter struct {
	scheduler    *scheduler
	now          float64
	nodes        []Node
	requestCount int
}

// newCostMeter returns a costMeter whose scheduler has not received its node list yet.
func newCostMeter(nodeCount int) *costMeter {
	s := gatewaySettings()
	s.Hosts, s.Shards = 30, nodeCount
	m := &costMeter{scheduler: newScheduler(s, 1), now: 1000}
	for i := range nodeCount {
		m.nodes = append(m.nodes, Node{Addr: fmt.Sprintf("n%d", i), Health: Ready, Shard: i})
	}
	return m
}

// visits returns how many nodes and shards the scheduler examines for an event.
func (m *costMeter) visits(ev Event) int {
	before := m.scheduler.visits
	m.scheduler.Handle(m.now, ev)
	return m.scheduler.visits - before
}

// fullList returns a list of all nodes, which are ready.
func (m *costMeter) fullList() Event { return NodeList{Full: true, Nodes: m.nodes} }

// healthChange returns a partial list that sets the health of count nodes, evenly spread from first on.
func (m *costMeter) healthChange(first, count int, health Health) Event {
	var changed []Node
	for i := range count {
		n := m.nodes[(first+i*len(m.nodes)/count)%len(m.nodes)]
		n.Health = health
		changed = append(changed, n)
	}
	return NodeList{Nodes: changed}
}

// serveRequest submits a request for a shard, or with -1 for a new object, ends it as served, and returns
// the visits.
func (m *costMeter) serveRequest(shard int) int {
	m.requestCount++
	id := fmt.Sprint(m.requestCount)
	visits := m.visits(Request{ID: id, Class: "read", Plan: "normal", Volume: "v", Shard: shard, Units: 2, Expires: m.now + 2000, Hosts: 1})
	node := m.scheduler.requests[id].sentTo
	return visits + m.visits(Outcome{ID: id, Node: node.Addr, Done: true, Elapsed: 20, Result: Served})
}

// eventCosts returns the visits for each kind of event with a fleet of that size.
func eventCosts(nodeCount int) map[string]int {
	m := newCostMeter(nodeCount)
	costs := map[string]int{"first full list": m.visits(m.fullList())}
	m.serveRequest(-1)
	m.now += 100
	costs["full list again"] = m.visits(m.fullList())
	costs["twelve nodes drain"] = m.visits(m.healthChange(0, 12, Draining))
	costs["twelve nodes return"] = m.visits(m.healthChange(0, 12, Ready))
	m.now += 1000
	costs["second"] = m.visits(TimerFired{"second"})
	costs["request"] = m.serveRequest(nodeCount / 2)
	costs["new object"] = m.serveRequest(-1)
	m.now += 100
	costs["a tenth drains"] = m.visits(m.healthChange(0, nodeCount/10, Draining))
	costs["new object during drain"] = m.serveRequest(-1)
	return costs
}

// The visits for a request or a partial list must not grow with the fleet beyond what the list changes;
// those for a full list or the periodic update may grow about in proportion.
func TestCostByFleetSize(t *testing.T) {
	const fewNodes, manyNodes = 200, 3200
	maxGrowth := map[string]float64{"first full list": 24, "full list again": 24, "a tenth drains": 24, "second": 24}
	costFew, costMany := eventCosts(fewNodes), eventCosts(manyNodes)
	for event, cost := range costFew {
		allowed := maxGrowth[event]
		if allowed == 0 {
			allowed = 3
		}
		if float64(costMany[event]) > allowed*float64(max(cost, 1)) {
			t.Errorf("%s: visits grow too fast: %d with %d nodes, %d with %d", event, cost, fewNodes, costMany[event], manyNodes)
		}
	}
	if costMany["twelve nodes drain"] > 100 || costMany["request"] > 20 || costMany["new object"] > 20 {
		t.Errorf("visits with %d nodes: %v, want at most 100 when twelve nodes drain and 20 for a request", manyNodes, costMany)
	}
}

// BenchmarkFleetSize measures the cost of a list, a request and the periodic update by fleet size:
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
