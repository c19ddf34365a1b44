package lab

import (
	"time"

	"merlinhitch/internal/runtime/env"
	"merlinhitch/internal/simulation/standin"
	"merlinhitch/internal/simulation/world"
)

// testbed abstracts where a service runs: on loopback sockets or in a virtual world. All differences
// between the two are behind this interface.
type testbed interface {
	// startProcess returns the environment of a new process of that name.
	startProcess(name string) env.Environment
	// killProcess kills a process, or its machine with powerLoss. It returns false if the testbed
	// cannot kill processes, and the caller has to stop it.
	killProcess(process env.Environment, powerLoss bool) bool
	// newRelay returns an address that forwards to target and records the traffic as the client
	// sees it (clientSide) or as the server does.
	newRelay(target string, clientSide bool, newRecorder func(addr string) *standin.FrameRecorder) (relay, error)
	// setLink sets the state of the link from one process to another, by their stable names.
	setLink(from, to string, state world.LinkState)
	// regionLink returns the state of links between regions without faults.
	regionLink() world.LinkState
	// setClockRate sets the clock rate of a new process relative to the world's, if supported.
	setClockRate(process env.Environment, rate float64)
	// mustStopProcesses reports whether processes run until the fleet stops them.
	mustStopProcesses() bool
	// adminListen returns the listen address of hosts' admin APIs, or "" if HTTP is not available.
	adminListen() string
}

// relay is an address that forwards to another and records the traffic.
type relay interface {
	Address() string
	// Point changes the target of new connections.
	Point(target string)
	Close()
}

// loopbackTestbed runs a service on loopback sockets. With regions, processes communicate through
// links.
type loopbackTestbed struct {
	env.Environment
	links *standin.Links // nil: plain sockets
}

func (testbed loopbackTestbed) startProcess(name string) env.Environment {
	if testbed.links == nil {
		return testbed.Environment
	}
	return testbed.links.Process(world.StableName(name))
}
func (testbed loopbackTestbed) setLink(from, to string, state world.LinkState) {
	testbed.links.SetState(from, to, standin.LinkState{Delay: state.Delay, Loss: state.Loss, Cut: state.Partitioned})
}
func (loopbackTestbed) regionLink() world.LinkState            { return world.LinkState{} }
func (loopbackTestbed) setClockRate(env.Environment, float64)  {}
func (loopbackTestbed) killProcess(env.Environment, bool) bool { return false }
func (loopbackTestbed) mustStopProcesses() bool                { return true }
func (loopbackTestbed) adminListen() string                    { return "127.0.0.1:0" }
func (testbed loopbackTestbed) newRelay(target string, clientSide bool, newRecorder func(addr string) *standin.FrameRecorder) (relay, error) {
	if clientSide && testbed.links != nil {
		return testbed.links.NewVirtualAddress(target, newRecorder), nil
	}
	relay, err := standin.ServeRelay(testbed.Environment, target, newRecorder)
	if err != nil {
		return nil, err // an explicit nil: a nil *Relay in the interface would not equal nil
	}
	return relay, nil
}

// virtualTestbed runs a service in a virtual world.
type virtualTestbed struct{ world *world.World }

func (testbed virtualTestbed) setLink(from, to string, state world.LinkState) {
	testbed.world.Link(from, to).SetState(state)
}
func (testbed virtualTestbed) regionLink() world.LinkState {
	return world.LinkState{Delay: 3 * time.Millisecond, Jitter: time.Millisecond}
}
func (testbed virtualTestbed) setClockRate(process env.Environment, rate float64) {
	process.(*world.Process).SetClockRate(rate)
}

func (testbed virtualTestbed) startProcess(name string) env.Environment {
	return testbed.world.StartProcess(name)
}

func (testbed virtualTestbed) killProcess(process env.Environment, powerLoss bool) bool {
	kind := world.Crash
	if powerLoss {
		kind = world.HostLoss
	}
	process.(*world.Process).Kill(kind)
	return true
}

func (virtualTestbed) mustStopProcesses() bool { return false } // they end with the world

func (virtualTestbed) adminListen() string { return "" }

func (testbed virtualTestbed) newRelay(target string, clientSide bool, newRecorder func(addr string) *standin.FrameRecorder) (relay, error) {
	relay := &virtualRelay{world: testbed.world}
	relay.addr = testbed.world.Alias(target, clientSide, func() world.Observer { return newRecorder(relay.addr) })
	return relay, nil
}

type virtualRelay struct {
	world *world.World
	addr  string
}

func (relay *virtualRelay) Address() string     { return relay.addr }
func (relay *virtualRelay) Point(target string) { relay.world.RetargetAlias(relay.addr, target) }
func (relay *virtualRelay) Close()              {} // ends with the world
