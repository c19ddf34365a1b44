package lab

import (
	"time"

	"merlinhitch/internal/runtime/env"
	"merlinhitch/internal/simulation/standin"
	"merlinhitch/internal/simulation/world"
)

// testbed is where a service runs: on loopback, or in a virtual world. All that differs
// between the two stands here.
type testbed interface {
	// startProcess is the world as a new program of that name has it.
	startProcess(name string) env.Environment
	// killProcess ends a program where it stands; false if the site can't, and the program
	// is to be told to end.
	killProcess(process env.Environment, powerLoss bool) bool
	// newRelay makes an address that leads to target and on which what passes is recorded,
	// beside the side that dials or the one that listens.
	newRelay(target string, clientSide bool, newRecorder func(addr string) *standin.FrameRecorder) (relay, error)
	// setLink gives the way from one program to another a state, by their lasting names.
	setLink(from, to string, state world.LinkState)
	// regionLink is the state of the ways regionLink two regions on a calm day.
	regionLink() world.LinkState
	// setClockRate has a new program's clock run at so many times the world's, if the site can.
	setClockRate(process env.Environment, rate float64)
	// mustStopProcesses tells whether programs stay until they are told to end.
	mustStopProcesses() bool
	// adminListen is where a host serves its adminListen API, "" where that has no HTTP.
	adminListen() string
}

// relay is an address with a recorder.
type relay interface {
	Address() string
	// Point has connections from now on go to another address.
	Point(target string)
	Close()
}

// loopbackTestbed is the site of real sockets. Programs of a service over two regions meet by
// way of links.
type loopbackTestbed struct {
	env.Environment
	links *standin.Links // nil: sockets as they are
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
		return nil, err // not a wire that holds no relay
	}
	return relay, nil
}

// virtualTestbed is the site in a virtualTestbed world.
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

func (virtualTestbed) mustStopProcesses() bool { return false } // the world ends them

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
func (relay *virtualRelay) Close()              {} // ends with its world
