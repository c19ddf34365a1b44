// Package reserve is the state of persistent reservations of one volume (SPC-4,
// PERSISTENT RESERVE IN and OUT): who is registered, who holds what, and what each may
// do. It is a core: a state and a request go in, a new state comes out. Where the state
// is kept, how hosts agree on it and what stops a host that has not heard of a change
// is not its concern: see package gateway.
package reserve

import (
	"encoding/binary"
	"errors"
	"fmt"
	"slices"
)

// Type is a reservation's type (SPC-4, persistent reservation type codes).
type Type byte

// The types.
const (
	None                      Type = 0
	WriteExclusive            Type = 1
	ExclusiveAccess           Type = 3
	WriteExclusiveRegistrants Type = 5
	ExclusiveRegistrants      Type = 6
	WriteExclusiveAll         Type = 7
	ExclusiveAll              Type = 8
)

// Valid tells whether it is one of the six.
func (t Type) Valid() bool {
	return t == WriteExclusive || t == ExclusiveAccess || t >= WriteExclusiveRegistrants && t <= ExclusiveAll
}

// all tells whether every registrant holds the reservation.
func (t Type) all() bool { return t == WriteExclusiveAll || t == ExclusiveAll }

// registrants tells whether registrants may do what the holder may.
func (t Type) registrants() bool { return t >= WriteExclusiveRegistrants }

// exclusive tells whether others may not even read.
func (t Type) exclusive() bool {
	return t == ExclusiveAccess || t == ExclusiveRegistrants || t == ExclusiveAll
}

// Nexus is an initiator port and the target port (a host of the service) that it
// reaches the volume through.
type Nexus struct {
	Initiator string // transport ID: name, ",i,0x" and ISID (RFC 7143, SPC-4)
	Host      uint16
}

// Registration is a nexus with its key.
type Registration struct {
	Nexus Nexus
	Key   uint64
}

// State is all there is to a volume's reservations. The zero value is none.
type State struct {
	// Version counts every change; it fences off who has seen an older one.
	Version uint64
	// Generation is PRGENERATION.
	Generation uint32
	// Persist is APTPL: the state outlives a loss of power.
	Persist       bool
	Registrations []Registration // in the order of their coming
	Type          Type
	Holder        Nexus // of a type that one nexus holds
	// By made the last change, with Last; Stamp tells a maker its own from another's.
	By    Nexus
	Last  Action
	Stamp uint64
}

// Clone copies a state.
func (s *State) Clone() *State {
	c := *s
	c.Registrations = slices.Clone(s.Registrations)
	return &c
}

func (s *State) find(n Nexus) int {
	return slices.IndexFunc(s.Registrations, func(r Registration) bool { return r.Nexus == n })
}

// Key is the key of a nexus; ok is false if it is not registered.
func (s *State) Key(n Nexus) (key uint64, ok bool) {
	if i := s.find(n); i >= 0 {
		return s.Registrations[i].Key, true
	}
	return 0, false
}

// Holds tells whether a nexus holds the reservation.
func (s *State) Holds(n Nexus) bool {
	if s.Type == None {
		return false
	}
	if s.Type.all() {
		return s.find(n) >= 0
	}
	return s.Holder == n
}

// May tells whether a nexus may write, or read (SPC-4, commands that are allowed in the
// presence of various reservations).
func (s *State) May(n Nexus, write bool) bool {
	switch {
	case s.Type == None || s.Holds(n):
		return true
	case s.Type.registrants() && s.find(n) >= 0:
		return true
	}
	return !write && !s.Type.exclusive()
}

// Action is a service action of PERSISTENT RESERVE OUT.
type Action byte

// The actions. REGISTER AND MOVE is not offered.
const (
	Register        Action = 0
	Reserve         Action = 1
	Release         Action = 2
	Clear           Action = 3
	Preempt         Action = 4
	PreemptAbort    Action = 5
	RegisterIgnore  Action = 6
	RegisterAndMove Action = 7
)

// Request is a PERSISTENT RESERVE OUT.
type Request struct {
	Action  Action
	Nexus   Nexus
	Type    Type
	Key     uint64 // RESERVATION KEY
	Service uint64 // SERVICE ACTION RESERVATION KEY
	Persist bool   // APTPL
	// All has the registration count for every host of Hosts (ALL_TG_PT).
	All   bool
	Hosts []uint16
}

// Errors of Apply.
var (
	// ErrConflict is RESERVATION CONFLICT.
	ErrConflict = errors.New("reserve: reservation conflict")
	// ErrRelease is INVALID RELEASE OF PERSISTENT RESERVATION.
	ErrRelease = errors.New("reserve: release of another type than is held")
	// ErrParameter is INVALID FIELD IN PARAMETER LIST.
	ErrParameter = errors.New("reserve: the key of the service action may not be 0 here")
	// ErrLength is PARAMETER LIST LENGTH ERROR.
	ErrLength = errors.New("reserve: the parameter list has not 24 bytes")
	// ErrRoom is INSUFFICIENT REGISTRATION RESOURCES.
	ErrRoom = errors.New("reserve: no room for another registration")
	// ErrAction is for actions and types that there are none of.
	ErrAction = errors.New("reserve: no such action or type")
)

// MostRegistrations bounds the state: 1,000 sessions with a key each, and some.
const MostRegistrations = 1024

// Notice is a unit attention that others than the maker of a change are told.
type Notice int

// The notices, by their additional sense codes.
const (
	Preempted             Notice = iota + 1 // RESERVATIONS PREEMPTED, 2A/03
	Released                                // RESERVATIONS RELEASED, 2A/04
	RegistrationPreempted                   // REGISTRATIONS PREEMPTED, 2A/05
)

// Apply returns the state after a request, nil if it changes nothing. The state itself
// is left as it is.
func (s *State) Apply(r Request) (*State, error) {
	key, registered := s.Key(r.Nexus)
	switch r.Action {
	case Register, RegisterIgnore:
		return s.register(r, key, registered)
	case Reserve, Release, Clear, Preempt, PreemptAbort:
	default:
		return nil, ErrAction
	}
	if !registered || key != r.Key {
		return nil, ErrConflict
	}
	if (r.Action == Reserve || r.Action == Preempt || r.Action == PreemptAbort) && !r.Type.Valid() {
		return nil, ErrAction
	}
	switch r.Action {
	case Reserve:
		return s.reserve(r)
	case Release:
		return s.release(r)
	case Clear:
		n := s.next(&r)
		n.Generation++
		n.Registrations, n.Type, n.Holder = nil, None, Nexus{}
		return n, nil
	}
	return s.preempt(r)
}

// next is a copy for a change by r.
func (s *State) next(r *Request) *State {
	n := s.Clone()
	n.Version++
	n.By, n.Last = r.Nexus, r.Action
	return n
}

func (s *State) register(r Request, key uint64, registered bool) (*State, error) {
	if r.Action == Register && (registered && r.Key != key || !registered && r.Key != 0) {
		return nil, ErrConflict
	}
	if !registered && r.Service == 0 {
		return nil, nil // unregistering who is not registered is no error
	}
	n := s.next(&r)
	n.Generation++
	n.Persist = r.Persist
	nexus := []Nexus{r.Nexus}
	if r.All {
		nexus = nil
		for _, h := range r.Hosts {
			nexus = append(nexus, Nexus{r.Nexus.Initiator, h})
		}
	}
	for _, x := range nexus {
		i := n.find(x)
		switch {
		case r.Service == 0 && i >= 0:
			n.remove(x)
		case r.Service == 0:
		case i >= 0:
			n.Registrations[i].Key = r.Service
		case len(n.Registrations) >= MostRegistrations:
			return nil, ErrRoom
		default:
			n.Registrations = append(n.Registrations, Registration{x, r.Service})
		}
	}
	return n, nil
}

// remove takes a registration out, and with it what only it held.
func (s *State) remove(x Nexus) {
	i := s.find(x)
	s.Registrations = slices.Delete(s.Registrations, i, i+1)
	if s.Type == None {
		return
	}
	if s.Type.all() && len(s.Registrations) > 0 || !s.Type.all() && s.Holder != x {
		return
	}
	s.Type, s.Holder = None, Nexus{}
}

func (s *State) reserve(r Request) (*State, error) {
	if s.Type != None {
		if s.Holds(r.Nexus) && s.Type == r.Type {
			return nil, nil // once more is no error
		}
		return nil, ErrConflict
	}
	n := s.next(&r)
	n.Type = r.Type
	if !r.Type.all() {
		n.Holder = r.Nexus
	}
	return n, nil
}

func (s *State) release(r Request) (*State, error) {
	if s.Type == None || !s.Holds(r.Nexus) {
		return nil, nil // nothing of its own to release
	}
	if s.Type != r.Type {
		return nil, ErrRelease
	}
	n := s.next(&r)
	n.Type, n.Holder = None, Nexus{}
	return n, nil
}

// preempt removes the registrations of a key, and takes the reservation over where
// the key is that of the holder (SPC-4, preempting).
func (s *State) preempt(r Request) (*State, error) {
	takes := s.Type != None && (s.Type.all() && r.Service == 0 || !s.Type.all() && s.holderKey() == r.Service)
	if r.Service == 0 && !takes {
		return nil, ErrParameter
	}
	hit := slices.ContainsFunc(s.Registrations, func(x Registration) bool { return x.Key == r.Service })
	if !hit && !(takes && s.Type.all()) {
		return nil, ErrConflict
	}
	n := s.next(&r)
	n.Generation++
	n.Registrations = slices.DeleteFunc(n.Registrations, func(x Registration) bool {
		return x.Nexus != r.Nexus && (x.Key == r.Service || takes && s.Type.all())
	})
	switch {
	case takes:
		n.Type, n.Holder = r.Type, Nexus{}
		if !r.Type.all() {
			n.Holder = r.Nexus
		}
	case s.Type.all() && len(n.Registrations) == 0:
		n.Type = None
	}
	return n, nil
}

func (s *State) holderKey() uint64 {
	k, _ := s.Key(s.Holder)
	return k
}

// Notices are what nexus of the old state are told of the change that led to the new
// one. Of several changes in between only the last is known by its maker and kind.
func Notices(old, now *State) map[Nexus]Notice {
	out := map[Nexus]Notice{}
	a := now.Last
	for _, r := range old.Registrations {
		if r.Nexus == now.By {
			continue
		}
		gone := now.find(r.Nexus) < 0
		switch {
		case gone && a == Clear:
			out[r.Nexus] = Preempted
		case gone && (a == Preempt || a == PreemptAbort):
			out[r.Nexus] = RegistrationPreempted
		case !gone && old.Type != None && old.Type.registrants() && (now.Type == None || now.Type != old.Type):
			out[r.Nexus] = Released
		}
	}
	return out
}

// Encoding: a fixed head, then the registrations.
const (
	headSize = 8 + 8 + 4 + 1 + 1 + 1 + 2
	// MaxSize bounds an encoded state, in bytes.
	MaxSize = headSize + 512 + MostRegistrations*(8+2+2+255)
	maxName = 255
)

// SizeError says that bytes are no state.
type SizeError struct{ At int }

func (e *SizeError) Error() string {
	return fmt.Sprintf("reserve: a state is cut short or too long at byte %d", e.At)
}

func appendNexus(b []byte, n Nexus) []byte {
	name := n.Initiator[:min(len(n.Initiator), maxName)]
	b = binary.BigEndian.AppendUint16(b, n.Host)
	return append(append(b, byte(len(name))), name...)
}

// Append encodes the state.
func (s *State) Append(b []byte) []byte {
	be := binary.BigEndian
	b = be.AppendUint64(b, s.Version)
	b = be.AppendUint64(b, s.Stamp)
	b = be.AppendUint32(b, s.Generation)
	flags := byte(0)
	if s.Persist {
		flags = 1
	}
	b = append(b, byte(s.Type), flags, byte(s.Last))
	b = appendNexus(appendNexus(b, s.Holder), s.By)
	b = be.AppendUint16(b, uint16(len(s.Registrations)))
	for _, r := range s.Registrations {
		b = appendNexus(be.AppendUint64(b, r.Key), r.Nexus)
	}
	return b
}

// Parse is the inverse of Append. Nothing is the zero state.
func Parse(b []byte) (*State, error) {
	s := &State{}
	if len(b) == 0 {
		return s, nil
	}
	if len(b) > MaxSize {
		return nil, &SizeError{MaxSize}
	}
	p := &parser{b: b}
	s.Version, s.Stamp, s.Generation = p.uint(8), p.uint(8), uint32(p.uint(4))
	s.Type = Type(p.uint(1))
	s.Persist = p.uint(1)&1 != 0
	s.Last = Action(p.uint(1))
	s.Holder, s.By = p.nexus(), p.nexus()
	n := int(p.uint(2))
	if n > MostRegistrations {
		return nil, &SizeError{p.at}
	}
	for range n {
		key := p.uint(8)
		s.Registrations = append(s.Registrations, Registration{p.nexus(), key})
		if p.bad {
			break
		}
	}
	if p.bad || p.at != len(b) {
		return nil, &SizeError{p.at}
	}
	return s, nil
}

type parser struct {
	b   []byte
	at  int
	bad bool
}

func (p *parser) take(n int) []byte {
	if p.bad || p.at+n > len(p.b) {
		p.bad = true
		return make([]byte, n)
	}
	p.at += n
	return p.b[p.at-n : p.at]
}

func (p *parser) uint(n int) (v uint64) {
	for _, x := range p.take(n) {
		v = v<<8 | uint64(x)
	}
	return v
}

func (p *parser) nexus() Nexus {
	host := uint16(p.uint(2))
	return Nexus{string(p.take(int(p.uint(1)))), host}
}
