package bgp

import (
	"net/netip"
	"slices"
)

// Path is how a prefix is announced. It is comparable: prefixes of the same path
// share messages.
type Path struct {
	MED      uint32
	Prepend  uint8 // times that one's own AS is put before the path once more
	Shutdown bool  // carries GRACEFUL_SHUTDOWN (RFC 8326)
}

// Route is a prefix with its path.
type Route struct {
	Prefix netip.Prefix
	Path   Path
}

// Table is the set of what is announced, in the order of the last change of each
// prefix, so that a peer's place in it is one number, however many changes it has
// missed: what changed twice is told once. Who shares it serialises the calls.
type Table struct {
	entries    map[netip.Prefix]*entry
	head, tail *entry
	version    uint64
	size       int // announced
	batches    []cached
}

type entry struct {
	route      Route
	gone       bool
	at         uint64
	prev, next *entry
}

// NewTable returns an empty table.
func NewTable() *Table { return &Table{entries: map[netip.Prefix]*entry{}} }

// Version counts the changes.
func (t *Table) Version() uint64 { return t.version }

// Len is the number of prefixes announced.
func (t *Table) Len() int { return t.size }

// Set makes the table exactly that; it returns the number of prefixes that changed.
func (t *Table) Set(routes []Route) int {
	before := t.version
	want := make(map[netip.Prefix]bool, len(routes))
	for _, r := range routes {
		want[r.Prefix] = true
		t.Announce(r)
	}
	var gone []netip.Prefix
	for p, e := range t.entries {
		if !e.gone && !want[p] {
			gone = append(gone, p)
		}
	}
	slices.SortFunc(gone, netip.Prefix.Compare)
	for _, p := range gone {
		t.Withdraw(p)
	}
	return int(t.version - before)
}

// Announce enters a route; false if it stands so already.
func (t *Table) Announce(r Route) bool {
	e := t.entries[r.Prefix]
	if e != nil && !e.gone && e.route == r {
		return false
	}
	if e == nil {
		e = &entry{}
		t.entries[r.Prefix] = e
	} else {
		t.unlink(e)
	}
	if e.at == 0 || e.gone {
		t.size++
	}
	e.route, e.gone = r, false
	t.append(e)
	return true
}

// Withdraw takes a prefix out; false if it was not in.
func (t *Table) Withdraw(p netip.Prefix) bool {
	e := t.entries[p]
	if e == nil || e.gone {
		return false
	}
	t.unlink(e)
	e.gone = true
	t.size--
	t.append(e)
	return true
}

func (t *Table) append(e *entry) {
	t.version++
	e.at, e.prev, e.next = t.version, t.tail, nil
	if t.tail != nil {
		t.tail.next = e
	} else {
		t.head = e
	}
	t.tail = e
}

func (t *Table) unlink(e *entry) {
	if e.prev != nil {
		e.prev.next = e.next
	} else {
		t.head = e.next
	}
	if e.next != nil {
		e.next.prev = e.prev
	} else {
		t.tail = e.prev
	}
}

// Forget drops the memory of withdrawals that every peer has been told of; low is
// the least place of an established peer.
func (t *Table) Forget(low uint64) {
	for e := t.head; e != nil && e.at <= low; {
		next := e.next
		if e.gone {
			t.unlink(e)
			delete(t.entries, e.route.Prefix)
		}
		e = next
	}
}

// Routes lists what is announced, by prefix.
func (t *Table) Routes() []Route {
	var out []Route
	for e := t.head; e != nil; e = e.next {
		if !e.gone {
			out = append(out, e.route)
		}
	}
	slices.SortFunc(out, func(a, b Route) int { return a.Prefix.Compare(b.Prefix) })
	return out
}

// mostChanges bounds the changes that one batch of messages holds, and with them
// what waits to be written to a peer.
const mostChanges = 4096

// style is what the messages to a peer depend on beside the table.
type style struct {
	localAS        uint32
	internal, four bool
	v4, v6         bool
	hop4, hop6     netip.Addr
}

// cached is a batch that several peers of one style, at one place, are told.
type cached struct {
	from, to, base uint64
	style          style
	bytes          []byte
	upTo           uint64
}

const mostCached = 8

// batch writes the messages that lead a peer from one place to a later one; what was
// withdrawn up to base it never had. It returns the place reached.
func (t *Table) batch(from, base uint64, s style) ([]byte, uint64) {
	if base <= from {
		base = 0
	}
	if i := slices.IndexFunc(t.batches, func(c cached) bool {
		return c.from == from && c.to == t.version && c.base == base && c.style == s
	}); i >= 0 {
		return t.batches[i].bytes, t.batches[i].upTo
	}
	b, upTo := t.write(from, base, s)
	if len(t.batches) == mostCached {
		t.batches = slices.Delete(t.batches, 0, 1)
	}
	t.batches = append(t.batches, cached{from, t.version, base, s, b, upTo})
	return b, upTo
}

func (t *Table) write(from, base uint64, s style) ([]byte, uint64) {
	e := t.tail
	for e != nil && e.prev != nil && e.prev.at > from {
		e = e.prev
	}
	upTo := from
	gone := map[Family][]netip.Prefix{}
	type group struct {
		path   Path
		family Family
	}
	paths := map[group][]netip.Prefix{}
	var order []group
	for n := 0; e != nil && n < mostChanges; e = e.next {
		if e.at <= from {
			continue
		}
		upTo = e.at
		f := FamilyOf(e.route.Prefix)
		if f == IPv4 && !s.v4 || f == IPv6 && !s.v6 || e.gone && e.at <= base {
			continue
		}
		n++
		if e.gone {
			gone[f] = append(gone[f], e.route.Prefix)
			continue
		}
		g := group{e.route.Path, f}
		if paths[g] == nil {
			order = append(order, g)
		}
		paths[g] = append(paths[g], e.route.Prefix)
	}
	if e == nil { // also where the last changes were withdrawals that Forget has dropped
		upTo = t.version
	}
	var out []byte
	emit := func(m []byte) { out = append(out, m...) }
	for _, f := range []Family{IPv4, IPv6} { // what leads nowhere goes first
		PackWithdrawn(gone[f], emit)
	}
	for _, g := range order {
		Pack(paths[g], s.attrs(g.path, g.family), s.hop6, s.four, emit)
	}
	return out, upTo
}

// attrs are the path attributes towards a peer: one's own AS before nothing to
// another AS, a preference inside one's own.
func (s style) attrs(p Path, f Family) *Attrs {
	a := &Attrs{MED: p.MED, HasMED: true}
	if f == IPv4 {
		a.NextHop = s.hop4
	}
	if s.internal {
		a.LocalPref, a.HasLocalPref = preference(p), true
	} else {
		as := make([]uint32, 1+int(p.Prepend))
		for i := range as {
			as[i] = s.localAS
		}
		a.Path = []Segment{{AS: as}}
	}
	if p.Shutdown {
		a.Communities = []uint32{GracefulShutdown}
	}
	return a
}

// preference is the LOCAL_PREF inside one's own AS, where a path's length says
// nothing: the usual 100, less for each prepending, 0 at a shutdown (RFC 8326).
func preference(p Path) uint32 {
	if p.Shutdown {
		return 0
	}
	return 100 - min(uint32(p.Prepend)*10, 90)
}
