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
func NewLinks(w env.Environment, seed uint64) *Links {
	return &Links{environment: w, listenerOwners: map[string]string{}, links: map[[2]string]*link{}, virtualAddresses: map[string]*VirtualAddress{}, relays: map[[2]string]*Relay{}, rng: rand.New(rand.NewPCG(seed, 9))}
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
func (l *Links) NewVirtualAddress(target string, tap func(addr string) *FrameRecorder) *VirtualAddress {
	l.mu.Lock()
	defer l.mu.Unlock()
	w := &VirtualAddress{l, fmt.Sprintf("wire-%d", len(l.virtualAddresses)), target, tap}
	l.virtualAddresses[w.addr], l.listenerOwners[w.addr] = w, l.listenerOwners[target]
	return w
}

// Address is what programs dial.
func (w *VirtualAddress) Address() string { return w.addr }

// Point has connections from now on go to another address.
func (w *VirtualAddress) Point(target string) {
	l := w.links
	l.mu.Lock()
	defer l.mu.Unlock()
	w.target = target
	for k, r := range l.relays {
		if k[1] == w.addr {
			r.Point(target)
		}
	}
}

// Close does nothing: relays end with their links.
func (w *VirtualAddress) Close() {}

// SetState changes the way from one program to another.
func (l *Links) SetState(from, to string, s LinkState) {
	l.mu.Lock()
	defer l.mu.Unlock()
	w := l.link(from, to)
	w.LinkState = s
	switch {
	case s.Cut && w.restored == nil:
		w.restored = &env.Gate{}
	case !s.Cut && w.restored != nil:
		w.restored.Open()
		w.restored = nil
	}
}

// link is the state of a link. Held: mu.
func (l *Links) link(from, to string) *link {
	k := [2]string{from, to}
	if l.links[k] == nil {
		l.links[k] = &link{}
	}
	return l.links[k]
}

// transit waits until what is sent from one program to another has come through; false if
// over opens first.
func (l *Links) transit(from, to string, over *env.Gate) bool {
	l.mu.Lock()
	w := l.link(from, to)
	whole, late := w.restored, w.Delay
	for again := minRetransmitDelay; w.Loss > 0 && l.rng.Float64() < w.Loss; again = min(2*again, maxRetransmitDelay) {
		late += again
	}
	l.mu.Unlock()
	for whole != nil {
		env.WaitAny(l.environment, whole, over)
		if over.Opened() {
			return false
		}
		l.mu.Lock()
		whole = w.restored // it may be cut again already
		l.mu.Unlock()
	}
	return late == 0 || env.Sleep(l.environment, late, over)
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
	k := [2]string{from, addr}
	if r := l.relays[k]; r != nil {
		return r.Addr, nil
	}
	target, tap := addr, (func(string) *FrameRecorder)(nil)
	if w := l.virtualAddresses[addr]; w != nil {
		target, tap = w.target, func(string) *FrameRecorder { return w.newRecorder(addr) }
	}
	r, err := serveRelay(l.environment, target, tap, func(up bool, over *env.Gate) bool {
		if up {
			return l.transit(from, to, over)
		}
		return l.transit(to, from, over)
	})
	if err != nil {
		return "", err
	}
	l.relays[k] = r
	return r.Addr, nil
}

// processEnvironment is a program's world.
type processEnvironment struct {
	env.Environment
	links *Links
	name  string
}

// Listen implements env.Environment.
func (p *processEnvironment) Listen(network, address string) (net.Listener, error) {
	n, err := p.Environment.Listen(network, address)
	if err == nil {
		p.links.mu.Lock()
		p.links.listenerOwners[n.Addr().String()] = p.name
		p.links.mu.Unlock()
	}
	return n, err
}

// Dial implements env.Environment.
func (p *processEnvironment) Dial(ctx context.Context, network, address string, within time.Duration) (net.Conn, error) {
	at, err := p.links.relayAddress(p.name, address)
	if err != nil {
		return nil, err
	}
	return p.Environment.Dial(ctx, network, at, within)
}
