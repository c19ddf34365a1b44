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

// LinkState is the state of the link from one process to another. On TCP, loss only shows as the
// delay of retransmissions.
type LinkState struct {
	Delay time.Duration
	Loss  float64 // share of transmissions that are lost and retransmitted
	Cut   bool    // data waits until the link is restored
}

// Links simulates the network between processes on loopback. Each process has an environment of its
// own, whose connections go through relays that delay data or hold it back.
type Links struct {
	environment      env.Environment
	mu               sync.Mutex
	listenerOwners   map[string]string          // the process that listens, by address
	links            map[[2]string]*link        // by sending and receiving process
	relays           map[[2]string]*Relay       // by dialling process and address
	virtualAddresses map[string]*VirtualAddress // by the address that processes dial
	rng              *rand.Rand
}

type link struct {
	LinkState
	restored *env.Gate // opened when the link is restored; nil unless cut
}

// NewLinks returns links without delay, loss or cuts.
func NewLinks(environment env.Environment, seed uint64) *Links {
	return &Links{environment: environment, listenerOwners: map[string]string{}, links: map[[2]string]*link{}, virtualAddresses: map[string]*VirtualAddress{}, relays: map[[2]string]*Relay{}, rng: rand.New(rand.NewPCG(seed, 9))}
}

// Process returns the environment of the process with the given name.
func (l *Links) Process(name string) env.Environment {
	return &processEnvironment{l.environment, l, name}
}

// VirtualAddress is an address for processes to dial whose target can change. Each frame on its
// connections is recorded at the dialling side of the link.
type VirtualAddress struct {
	links       *Links
	addr        string
	target      string
	newRecorder func(addr string) *FrameRecorder
}

// NewVirtualAddress returns an address that leads to target. It can only be dialled from the
// environments of these links.
func (l *Links) NewVirtualAddress(target string, newRecorder func(addr string) *FrameRecorder) *VirtualAddress {
	l.mu.Lock()
	defer l.mu.Unlock()
	address := &VirtualAddress{l, fmt.Sprintf("wire-%d", len(l.virtualAddresses)), target, newRecorder}
	l.virtualAddresses[address.addr], l.listenerOwners[address.addr] = address, l.listenerOwners[target]
	return address
}

// Address returns the address to dial.
func (a *VirtualAddress) Address() string { return a.addr }

// Point makes new connections go to target.
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

// Close does nothing: the relays are closed by Links.Close.
func (a *VirtualAddress) Close() {}

// SetState changes the state of the link from one process to another.
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

// link returns the link from one process to another and creates it if there is none. The caller
// holds mu.
func (l *Links) link(from, to string) *link {
	key := [2]string{from, to}
	if l.links[key] == nil {
		l.links[key] = &link{}
	}
	return l.links[key]
}

// transit waits for as long as data sent now is under way from one process to another. It returns
// false if stopped opens first.
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
		restored = link.restored // the link may be cut again already
		l.mu.Unlock()
	}
	return delay == 0 || env.Sleep(l.environment, delay, stopped)
}

// Retransmission timeouts, doubled after each loss (RFC 6298 section 5.5).
const (
	minRetransmitDelay = 200 * time.Millisecond
	maxRetransmitDelay = 3 * time.Second
)

// Close closes the relays.
func (l *Links) Close() {
	l.mu.Lock()
	relays := l.relays
	l.relays = nil
	l.mu.Unlock()
	for _, r := range relays {
		r.Close()
	}
}

// relayAddress returns the address of the relay through which the process from dials addr, and
// starts the relay if need be. Addresses that no process of these links listens at are dialled
// directly.
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

// processEnvironment is the environment of a process whose connections go through relays.
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
