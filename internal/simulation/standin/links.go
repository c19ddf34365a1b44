package standin

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"merlinhitch/internal/runtime/env"
)

// LinkState is the state of the way from one program to another. On a real socket nothing can
// be lost without the kernel sending it again, so what is lost comes late, as it would by
// a link that drops packets.
type LinkState struct {
	Delay time.Duration
	Loss  float64 // part of what is sent that must be sent again
	Cut   bool    // nothing passes until it is whole again
}

// Links are the ways between programs on loopback: each program has a World of its own,
// whose connections go through relays that delay, drop and cut.
type Links struct {
	environment      env.Environment
	mu               sync.Mutex
	listenerOwners   map[string]string // program that listens at an address
	links            map[[2]string]*link
	relays           map[[2]string]*Relay       // by who dials, and the address
	virtualAddresses map[string]*VirtualAddress // by the address that they stand for
	rng              *rand.Rand
}

type link struct {
	LinkState
	restored *env.Gate // while it is cut
}

// NewLinks returns links that are whole.
func NewLinks(environment env.Environment, seed uint64) *Links {
	return &Links{environment: environment, listenerOwners: map[string]string{}, links: map[[2]string]*link{}, virtualAddresses: map[string]*VirtualAddress{}, relays: map[[2]string]*Relay{}, rng: rand.New(rand.NewPCG(seed, 9))}
}

// Process is the world as the program of that name has it.
func (l *Links) Process(name string) env.Environment {
	return &processEnvironment{l.environment, l, name}
}

// VirtualAddress is an address that programs dial, behind which a listener can change, and on whose
// connections each frame is recorded beside the side that dials.
type VirtualAddress struct {
	links       *Links
	addr        string
	target      string
	newRecorder func(addr string) *FrameRecorder
}

// NewVirtualAddress makes one. No other program can dial it.
func (l *Links) NewVirtualAddress(target string, newRecorder func(addr string) *FrameRecorder) *VirtualAddress {
	l.mu.Lock()
	defer l.mu.Unlock()
	address := &VirtualAddress{l, fmt.Sprintf("wire-%d", len(l.virtualAddresses)), target, newRecorder}
	l.virtualAddresses[address.addr], l.listenerOwners[address.addr] = address, l.listenerOwners[target]
	return address
}

// Address is what programs dial.
func (a *VirtualAddress) Address() string { return a.addr }

// Point has connections from now on go to another address.
func (a *VirtualAddress) Point(target string) {
	links := a.links
	links.mu.Lock()
	defer links.mu.Unlock()
	a.target = target
	for key, relay := range links.relays {
		if key[1] == a.addr {
			relay.Point(target)
		}
	}
}

// Close does nothing: relays end with their links.
func (a *VirtualAddress) Close() {}

// SetState changes the way from one program to another.
func (l *Links) SetState(from, to string, state LinkState) {
	l.mu.Lock()
	defer l.mu.Unlock()
	link := l.link(from, to)
	link.LinkState = state
	switch {
	case state.Cut && link.restored == nil:
		link.restored = &env.Gate{}
	case !state.Cut && link.restored != nil:
		link.restored.Open()
		link.restored = nil
	}
}

// link is the state of a link. Held: mu.
func (l *Links) link(from, to string) *link {
	key := [2]string{from, to}
	if l.links[key] == nil {
		l.links[key] = &link{}
	}
	return l.links[key]
}

// transit waits until what is sent from one program to another has come through; false if
// over opens first.
func (l *Links) transit(from, to string, stopped *env.Gate) bool {
	l.mu.Lock()
	link := l.link(from, to)
	restored, delay := link.restored, link.Delay
	for retransmitDelay := minRetransmitDelay; link.Loss > 0 && l.rng.Float64() < link.Loss; retransmitDelay = min(2*retransmitDelay, maxRetransmitDelay) {
		delay += retransmitDelay
	}
	l.mu.Unlock()
	for restored != nil {
		env.WaitAny(l.environment, restored, stopped)
		if stopped.Opened() {
			return false
		}
		l.mu.Lock()
		restored = link.restored // it may be cut again already
		l.mu.Unlock()
	}
	return delay == 0 || env.Sleep(l.environment, delay, stopped)
}

// Times after which what was lost is sent again (RFC 6298 section 5.5).
const (
	minRetransmitDelay = 200 * time.Millisecond
	maxRetransmitDelay = 3 * time.Second
)

// Close ends the relays.
func (l *Links) Close() {
	l.mu.Lock()
	relays := l.relays
	l.relays = nil
	l.mu.Unlock()
	for _, r := range relays {
		r.Close()
	}
}

// relayAddress is where a program dials an address.
func (l *Links) relayAddress(from, addr string) (string, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	to, ok := l.listenerOwners[addr]
	if !ok || l.relays == nil {
		return addr, nil
	}
	key := [2]string{from, addr}
	if relay := l.relays[key]; relay != nil {
		return relay.Addr, nil
	}
	target, newRecorder := addr, (func(string) *FrameRecorder)(nil)
	if address := l.virtualAddresses[addr]; address != nil {
		target, newRecorder = address.target, func(string) *FrameRecorder { return address.newRecorder(addr) }
	}
	relay, err := serveRelay(l.environment, target, newRecorder, func(up bool, stopped *env.Gate) bool {
		if up {
			return l.transit(from, to, stopped)
		}
		return l.transit(to, from, stopped)
	})
	if err != nil {
		return "", err
	}
	l.relays[key] = relay
	return relay.Addr, nil
}

// processEnvironment is a program's world.
type processEnvironment struct {
	env.Environment
	links *Links
	name  string
}

// Listen implements env.Environment.
func (p *processEnvironment) Listen(network, address string) (net.Listener, error) {
	listener, err := p.Environment.Listen(network, address)
	if err == nil {
		p.links.mu.Lock()
		p.links.listenerOwners[listener.Addr().String()] = p.name
		p.links.mu.Unlock()
	}
	return listener, err
}

// Dial implements env.Environment.
func (p *processEnvironment) Dial(ctx context.Context, network, address string, timeout time.Duration) (net.Conn, error) {
	relayAddr, err := p.links.relayAddress(p.name, address)
	if err != nil {
		return nil, err
	}
	return p.Environment.Dial(ctx, network, relayAddr, timeout)
}
