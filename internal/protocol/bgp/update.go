package bgp

import (
	"encoding/binary"
	"net/netip"
	"slices"
)

// Attribute types.
const (
	attrOrigin      uint8 = 1
	attrASPath      uint8 = 2
	attrNextHop     uint8 = 3
	attrMED         uint8 = 4
	attrLocalPref   uint8 = 5
	attrAtomic      uint8 = 6
	attrAggregator  uint8 = 7
	attrCommunities uint8 = 8
	attrMPReach     uint8 = 14
	attrMPUnreach   uint8 = 15
	attrAS4Path     uint8 = 17
)

// Flags of attributes.
const (
	flagOptional   = 0x80
	flagTransitive = 0x40
	flagExtended   = 0x10
)

// GracefulShutdown is the community of RFC 8326.
const GracefulShutdown uint32 = 0xffff0000

// Segment is part of an AS path; sequences are in order, sets are not.
type Segment struct {
	Set bool
	AS  []uint32
}

// Attrs are the path attributes of an UPDATE. Fields with Has are optional.
type Attrs struct {
	Origin       uint8 // 0 IGP, 1 EGP, 2 incomplete
	Path         []Segment
	NextHop      netip.Addr // of IPv4 prefixes
	MED          uint32
	HasMED       bool
	LocalPref    uint32
	HasLocalPref bool
	Communities  []uint32
}

// Update is an UPDATE message. IPv6 goes in MP attributes (RFC 4760).
type Update struct {
	Withdrawn []netip.Prefix // IPv4 and IPv6
	Attrs     *Attrs         // nil: nothing is announced
	Prefixes  []netip.Prefix // announced, all of one family
	NextHop6  netip.Addr     // of IPv6 prefixes
	// EndOfRIB marks the end of what a family's table held (RFC 4724 section 2).
	EndOfRIB Family
	// Demoted has the announced prefixes counted as withdrawn, for a fault in their
	// attributes that does not endanger the session (RFC 7606).
	Demoted bool
	// Ignored are the types of attributes that were left out for a fault.
	Ignored []uint8
}

func appendPrefix(b []byte, p netip.Prefix) []byte {
	bits := p.Bits()
	a := p.Addr().AsSlice()
	return append(append(b, byte(bits)), a[:(bits+7)/8]...)
}

func prefixLen(p netip.Prefix) int { return 1 + (p.Bits()+7)/8 }

// parsePrefixes reads prefixes of a family; false if they don't fill b exactly or
// one is longer than an address.
func parsePrefixes(b []byte, f Family) ([]netip.Prefix, bool) {
	var out []netip.Prefix
	for len(b) > 0 {
		bits := int(b[0])
		n := (bits + 7) / 8
		if bits > f.bits() || len(b) < 1+n {
			return nil, false
		}
		var a [16]byte
		copy(a[:], b[1:1+n])
		addr := netip.AddrFrom16(a)
		if f == IPv4 {
			addr = netip.AddrFrom4([4]byte(a[:4]))
		}
		p, err := addr.Prefix(bits) // bits past the length don't count
		if err != nil {
			return nil, false
		}
		out = append(out, p)
		b = b[1+n:]
	}
	return out, true
}

func appendAttr(b []byte, flags, t uint8, v []byte) []byte {
	if len(v) > 255 {
		b = append(b, flags|flagExtended, t, byte(len(v)>>8), byte(len(v)))
	} else {
		b = append(b, flags, t, byte(len(v)))
	}
	return append(b, v...)
}

// append writes the attributes, AS numbers in four octets or, to peers that know
// only two, with AS4_PATH beside them (RFC 6793).
func (a *Attrs) append(b []byte, four bool) []byte {
	b = appendAttr(b, flagTransitive, attrOrigin, []byte{a.Origin})
	b = appendAttr(b, flagTransitive, attrASPath, appendPath(nil, a.Path, four))
	if a.NextHop.IsValid() {
		b = appendAttr(b, flagTransitive, attrNextHop, a.NextHop.AsSlice())
	}
	if a.HasMED {
		b = appendAttr(b, flagOptional, attrMED, binary.BigEndian.AppendUint32(nil, a.MED))
	}
	if a.HasLocalPref {
		b = appendAttr(b, flagTransitive, attrLocalPref, binary.BigEndian.AppendUint32(nil, a.LocalPref))
	}
	if len(a.Communities) > 0 {
		var v []byte
		for _, c := range a.Communities {
			v = binary.BigEndian.AppendUint32(v, c)
		}
		b = appendAttr(b, flagOptional|flagTransitive, attrCommunities, v)
	}
	if !four && slices.ContainsFunc(a.Path, func(s Segment) bool {
		return slices.ContainsFunc(s.AS, func(as uint32) bool { return as > 0xffff })
	}) {
		b = appendAttr(b, flagOptional|flagTransitive, attrAS4Path, appendPath(nil, a.Path, true))
	}
	return b
}

func appendPath(b []byte, path []Segment, four bool) []byte {
	for _, s := range path {
		t := byte(2)
		if s.Set {
			t = 1
		}
		b = append(b, t, byte(len(s.AS)))
		for _, as := range s.AS {
			switch {
			case four:
				b = binary.BigEndian.AppendUint32(b, as)
			case as > 0xffff:
				b = binary.BigEndian.AppendUint16(b, transAS)
			default:
				b = binary.BigEndian.AppendUint16(b, uint16(as))
			}
		}
	}
	return b
}

// Append writes the message. What it holds must fit: see Pack.
func (u *Update) Append(b []byte, four bool) []byte {
	b, at := begin(b, TypeUpdate)
	var gone4, gone6 []byte
	for _, p := range u.Withdrawn {
		if FamilyOf(p) == IPv4 {
			gone4 = appendPrefix(gone4, p)
		} else {
			gone6 = appendPrefix(gone6, p)
		}
	}
	b = binary.BigEndian.AppendUint16(b, uint16(len(gone4)))
	b = append(b, gone4...)
	mark := len(b)
	b = append(b, 0, 0)
	if len(gone6) > 0 || u.EndOfRIB == IPv6 {
		b = appendAttr(b, flagOptional, attrMPUnreach, append([]byte{0, 2, 1}, gone6...))
	}
	six := len(u.Prefixes) > 0 && FamilyOf(u.Prefixes[0]) == IPv6
	var list []byte
	for _, p := range u.Prefixes {
		list = appendPrefix(list, p)
	}
	if six {
		hop := u.NextHop6.AsSlice()
		v := append([]byte{0, 2, 1, byte(len(hop))}, hop...)
		b = appendAttr(b, flagOptional, attrMPReach, append(append(v, 0), list...))
	}
	if u.Attrs != nil {
		b = u.Attrs.append(b, four)
	}
	binary.BigEndian.PutUint16(b[mark:], uint16(len(b)-mark-2))
	if !six {
		b = append(b, list...)
	}
	return end(b, at)
}

func updateError(sub uint8, data ...byte) error { return &Notification{CodeUpdate, sub, data} }

// ParseUpdate reads the body of an UPDATE of a peer with AS numbers of four octets or
// of two, inside one's own AS or not. Faults that leave the prefixes readable demote
// or leave out, as RFC 7606 has it; others are a *Notification.
func ParseUpdate(b []byte, four, internal bool) (*Update, error) {
	if len(b) < 4 {
		return nil, badLength(len(b))
	}
	n := int(binary.BigEndian.Uint16(b))
	if 4+n > len(b) {
		return nil, updateError(UpdateMalformedList)
	}
	u := &Update{}
	var ok bool
	if u.Withdrawn, ok = parsePrefixes(b[2:2+n], IPv4); !ok {
		return nil, updateError(UpdateBadNetwork)
	}
	b = b[2+n:]
	m := int(binary.BigEndian.Uint16(b))
	if 2+m > len(b) {
		return nil, updateError(UpdateMalformedList)
	}
	attrs, list := b[2:2+m], b[2+m:]
	if u.Prefixes, ok = parsePrefixes(list, IPv4); !ok {
		return nil, updateError(UpdateBadNetwork)
	}
	if n == 0 && m == 0 && len(list) == 0 {
		u.EndOfRIB = IPv4
		return u, nil
	}
	p := &attrParser{u: u, a: &Attrs{}, four: four, internal: internal, seen: map[uint8]bool{}}
	if err := p.all(attrs); err != nil {
		return nil, err
	}
	return u, p.finish()
}

type attrParser struct {
	u              *Update
	a              *Attrs
	four, internal bool
	seen           map[uint8]bool
	as4            []Segment
	reach          []netip.Prefix
}

// all goes through the attributes. One that runs past the list demotes: the prefixes
// are known already (RFC 7606 section 4).
func (p *attrParser) all(b []byte) error {
	for len(b) > 0 {
		if len(b) < 3 {
			p.u.Demoted = true
			return nil
		}
		flags, t, n, head := b[0], b[1], int(b[2]), 3
		if flags&flagExtended != 0 {
			if len(b) < 4 {
				p.u.Demoted = true
				return nil
			}
			n, head = int(binary.BigEndian.Uint16(b[2:])), 4
		}
		if len(b) < head+n {
			p.u.Demoted = true
			return nil
		}
		v := b[head : head+n]
		b = b[head+n:]
		if p.seen[t] {
			if t == attrMPReach || t == attrMPUnreach {
				return updateError(UpdateMalformedList)
			}
			continue // the first counts (RFC 7606 section 3 g)
		}
		p.seen[t] = true
		if err := p.one(flags, t, v); err != nil {
			return err
		}
	}
	return nil
}

// wanted are the optional and transitive flags of the attributes known.
var wanted = map[uint8]uint8{
	attrOrigin: flagTransitive, attrASPath: flagTransitive, attrNextHop: flagTransitive, attrMED: flagOptional,
	attrLocalPref: flagTransitive, attrAtomic: flagTransitive, attrAggregator: flagOptional | flagTransitive,
	attrCommunities: flagOptional | flagTransitive, attrMPReach: flagOptional, attrMPUnreach: flagOptional,
	attrAS4Path: flagOptional | flagTransitive,
}

func (p *attrParser) one(flags, t uint8, v []byte) error {
	want, known := wanted[t]
	if !known {
		if flags&flagOptional == 0 {
			return updateError(UpdateUnknownWellKnown, append([]byte{flags, t, byte(len(v))}, v...)...)
		}
		return nil
	}
	if flags&(flagOptional|flagTransitive) != want {
		if t == attrMPReach || t == attrMPUnreach {
			return updateError(UpdateMalformedList) // what it carries can't be trusted
		}
		p.u.Demoted = true
		return nil
	}
	demote := func(bad bool) { p.u.Demoted = p.u.Demoted || bad }
	ignore := func() { p.u.Ignored = append(p.u.Ignored, t) }
	var ok bool
	switch t {
	case attrOrigin:
		if demote(len(v) != 1 || v[0] > 2); len(v) == 1 {
			p.a.Origin = v[0]
		}
	case attrASPath:
		p.a.Path, ok = parsePath(v, p.four)
		demote(!ok)
	case attrNextHop:
		if demote(len(v) != 4); len(v) == 4 {
			p.a.NextHop = netip.AddrFrom4([4]byte(v))
		}
	case attrMED:
		if demote(len(v) != 4); len(v) == 4 {
			p.a.MED, p.a.HasMED = binary.BigEndian.Uint32(v), true
		}
	case attrLocalPref:
		switch {
		case !p.internal:
			ignore()
		case len(v) != 4:
			demote(true)
		default:
			p.a.LocalPref, p.a.HasLocalPref = binary.BigEndian.Uint32(v), true
		}
	case attrAtomic:
		if len(v) != 0 {
			ignore()
		}
	case attrAggregator:
		if p.four && len(v) != 8 || !p.four && len(v) != 6 {
			ignore()
		}
	case attrCommunities:
		if demote(len(v) == 0 || len(v)%4 != 0); len(v)%4 == 0 {
			for ; len(v) > 0; v = v[4:] {
				p.a.Communities = append(p.a.Communities, binary.BigEndian.Uint32(v))
			}
		}
	case attrAS4Path:
		if p.as4, ok = parsePath(v, true); !ok || p.four {
			p.as4 = nil
			ignore()
		}
	case attrMPReach:
		return p.mpReach(v)
	case attrMPUnreach:
		return p.mpUnreach(v)
	}
	return nil
}

func parsePath(b []byte, four bool) ([]Segment, bool) {
	size := 2
	if four {
		size = 4
	}
	var out []Segment
	for len(b) > 0 {
		if len(b) < 2 || b[0] < 1 || b[0] > 2 || b[1] == 0 || len(b) < 2+size*int(b[1]) {
			return nil, false
		}
		s := Segment{Set: b[0] == 1}
		n := int(b[1])
		for b = b[2:]; n > 0; n-- {
			if four {
				s.AS = append(s.AS, binary.BigEndian.Uint32(b))
			} else {
				s.AS = append(s.AS, uint32(binary.BigEndian.Uint16(b)))
			}
			b = b[size:]
		}
		out = append(out, s)
	}
	return out, true
}

func (p *attrParser) mpReach(v []byte) error {
	bad := updateError(UpdateOptionalAttribute)
	if len(v) < 5 {
		return bad
	}
	f, hop := Family{binary.BigEndian.Uint16(v), v[2]}, int(v[3])
	if len(v) < 5+hop {
		return bad
	}
	if f != IPv6 {
		return nil // a family that was not agreed on, or IPv4 in a form we don't ask for
	}
	if hop != 16 && hop != 32 { // a link-local address may follow (RFC 2545)
		return bad
	}
	p.u.NextHop6 = netip.AddrFrom16([16]byte(v[4:20]))
	var ok bool
	if p.reach, ok = parsePrefixes(v[5+hop:], f); !ok {
		return bad
	}
	return nil
}

func (p *attrParser) mpUnreach(v []byte) error {
	bad := updateError(UpdateOptionalAttribute)
	if len(v) < 3 {
		return bad
	}
	f := Family{binary.BigEndian.Uint16(v), v[2]}
	if f != IPv6 {
		return nil
	}
	gone, ok := parsePrefixes(v[3:], f)
	if !ok {
		return bad
	}
	p.u.Withdrawn = append(p.u.Withdrawn, gone...)
	if len(gone) == 0 && len(p.seen) == 1 && len(p.u.Prefixes) == 0 {
		p.u.EndOfRIB = IPv6
	}
	return nil
}

// finish looks at the attributes as a whole.
func (p *attrParser) finish() error {
	u := p.u
	if len(u.Prefixes) > 0 {
		p.need(attrOrigin, attrASPath, attrNextHop)
	}
	if len(p.reach) > 0 {
		p.need(attrOrigin, attrASPath)
		u.Prefixes = append(u.Prefixes, p.reach...)
	}
	if p.internal && len(u.Prefixes) > 0 {
		p.need(attrLocalPref)
	}
	if len(u.Prefixes) == 0 {
		return nil
	}
	if u.Demoted {
		u.Withdrawn, u.Prefixes = append(u.Withdrawn, u.Prefixes...), nil
		return nil
	}
	p.a.Path = join(p.a.Path, p.as4)
	u.Attrs = p.a
	return nil
}

// need demotes where a mandatory attribute is missing (RFC 7606 section 3 d).
func (p *attrParser) need(types ...uint8) {
	for _, t := range types {
		p.u.Demoted = p.u.Demoted || !p.seen[t]
	}
}

// join puts the AS numbers of an AS4_PATH in the place of the last of a path of two
// octets (RFC 6793 section 4.2.3).
func join(path, four []Segment) []Segment {
	count := func(l []Segment) (n int) {
		for _, s := range l {
			if s.Set {
				n++
			} else {
				n += len(s.AS)
			}
		}
		return n
	}
	lead := count(path) - count(four)
	if len(four) == 0 || lead < 0 {
		return path
	}
	var out []Segment
	for _, s := range path {
		if lead == 0 {
			break
		}
		if !s.Set && len(s.AS) > lead {
			s.AS = s.AS[:lead]
		}
		out = append(out, s)
		if s.Set {
			lead--
		} else {
			lead -= len(s.AS)
		}
	}
	return append(out, four...)
}

// Pack writes as few UPDATEs as hold the prefixes, all of one family, with those
// attributes; each message is handed to emit.
func Pack(prefixes []netip.Prefix, a *Attrs, hop6 netip.Addr, four bool, emit func([]byte)) {
	pack(prefixes, func(part []netip.Prefix) *Update { return &Update{Attrs: a, Prefixes: part, NextHop6: hop6} }, four, emit)
}

// PackWithdrawn writes as few UPDATEs as withdraw the prefixes, all of one family.
func PackWithdrawn(prefixes []netip.Prefix, emit func([]byte)) {
	pack(prefixes, func(part []netip.Prefix) *Update { return &Update{Withdrawn: part} }, true, emit)
}

func pack(prefixes []netip.Prefix, with func([]netip.Prefix) *Update, four bool, emit func([]byte)) {
	if len(prefixes) == 0 {
		return
	}
	one := with(prefixes[:1])
	// An attribute of over 255 bytes takes one byte more for its length.
	room := MaxLen - len(one.Append(nil, four)) + prefixLen(prefixes[0]) - 1
	for len(prefixes) > 0 {
		n, used := 0, 0
		for n < len(prefixes) && used+prefixLen(prefixes[n]) <= room {
			used += prefixLen(prefixes[n])
			n++
		}
		emit(with(prefixes[:n]).Append(nil, four))
		prefixes = prefixes[n:]
	}
}
