package lab

import (
	"time"

	"merlinhitch/internal/runtime/env"
	"merlinhitch/internal/simulation/standin"
	"merlinhitch/internal/simulation/world"
)

// site is where a service runs: on loopback, or in a virtual world. All that differs
// between the two stands here.
type site interface {
	// process is the world as a new program of that name has it.
	process(name string) env.Environment
	// crash ends a program where it stands; false if the site can't, and the program
	// is to be told to end.
	crash(w env.Environment, power bool) bool
	// wire makes an address that leads to target and on which what passes is recorded,
	// beside the side that dials or the one that listens.
	wire(target string, byDialler bool, tap func(addr string) *standin.FrameRecorder) (wire, error)
	// link gives the way from one program to another a state, by their lasting names.
	link(from, to string, n world.LinkState)
	// between is the state of the ways between two regions on a calm day.
	between() world.LinkState
	// pace has a new program's clock run at so many times the world's, if the site can.
	pace(w env.Environment, x float64)
	// remains tells whether programs stay until they are told to end.
	remains() bool
	// admin is where a host serves its admin API, "" where that has no HTTP.
	admin() string
}

// wire is an address with a recorder.
type wire interface {
	Address() string
	// Point has connections from now on go to another address.
	Point(target string)
	Close()
}

// loopback is the site of real sockets. Programs of a service over two regions meet by
// way of links.
type loopback struct {
	env.Environment
	links *standin.Links // nil: sockets as they are
}

func (l loopback) process(name string) env.Environment {
	if l.links == nil {
		return l.Environment
	}
	return l.links.Process(world.StableName(name))
}
func (l loopback) link(from, to string, n world.LinkState) {
	l.links.SetState(from, to, standin.LinkState{Delay: n.Delay, Loss: n.Loss, Cut: n.Partitioned})
}
func (loopback) between() world.LinkState         { return world.LinkState{} }
func (loopback) pace(env.Environment, float64)    {}
func (loopback) crash(env.Environment, bool) bool { return false }
func (loopback) remains() bool                    { return true }
func (loopback) admin() string                    { return "127.0.0.1:0" }
func (l loopback) wire(target string, byDialler bool, tap func(addr string) *standin.FrameRecorder) (wire, error) {
	if byDialler && l.links != nil {
		return l.links.NewVirtualAddress(target, tap), nil
	}
	r, err := standin.ServeRelay(l.Environment, target, tap)
	if err != nil {
		return nil, err // not a wire that holds no relay
	}
	return r, nil
}

// virtual is the site in a virtual world.
type virtual struct{ w *world.World }

func (v virtual) link(from, to string, n world.LinkState) { v.w.Link(from, to).SetState(n) }
func (v virtual) between() world.LinkState {
	return world.LinkState{Delay: 3 * time.Millisecond, Jitter: time.Millisecond}
}
func (v virtual) pace(w env.Environment, x float64) { w.(*world.Process).SetClockRate(x) }

func (v virtual) process(name string) env.Environment { return v.w.StartProcess(name) }

func (v virtual) crash(w env.Environment, power bool) bool {
	how := world.Crash
	if power {
		how = world.HostLoss
	}
	w.(*world.Process).Kill(how)
	return true
}

func (virtual) remains() bool { return false } // the world ends them

func (virtual) admin() string { return "" }

func (v virtual) wire(target string, byDialler bool, tap func(addr string) *standin.FrameRecorder) (wire, error) {
	a := &virtualWire{w: v.w}
	a.addr = v.w.Alias(target, byDialler, func() world.Observer { return tap(a.addr) })
	return a, nil
}

type virtualWire struct {
	w    *world.World
	addr string
}

func (a *virtualWire) Address() string     { return a.addr }
func (a *virtualWire) Point(target string) { a.w.RetargetAlias(a.addr, target) }
func (a *virtualWire) Close()              {} // ends with its world
