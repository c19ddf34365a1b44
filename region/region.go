// Package region decides, for a service over two regions, who may serve what: for each
// host alone whether it may send now and under which generation (Host), and for the two
// sources of the inventory what they may grant (Source). It is a core: times of the
// caller's own clock and messages go in, decisions and messages come out. It never
// reads a clock, and hosts say nothing to each other in it.
//
// Safety rests on three bounds: how long a grant lasts (Config.Lease), how long a
// source that hears nothing of the other still grants (Config.Quiet), and by how much
// any two clocks may differ in their rate (Config.Drift). After Gray and Cheriton,
// Leases, SOSP 1989, section 5: who grants waits longer by the drift, who holds stops
// earlier by it, and a holder counts from when it asked.
package region

import "slices"

// ID is a region: 0 or 1. Nowhere is the home of a shard that is between two.
type ID int8

// Nowhere is no region.
const Nowhere ID = -1

// Other is the other region.
func (r ID) Other() ID { return 1 - r }

// Config has the bounds; times are in milliseconds.
type Config struct {
	Lease float64 // that a grant lasts, by the clock of who grants
	Quiet float64 // without word of the other, until a source that does not lead grants no more
	Drift float64 // part by which a clock may run fast or slow
}

// Home is where a shard is served, and under which generation: the number that goes
// with every command to its disk servers, which refuse one that is older than the
// newest they have seen.
type Home struct {
	Region ID
	Gen    uint64
}

// Record is what both sources hold in one order, that of its terms. One source leads:
// it alone makes terms.
type Record struct {
	Term   uint64
	Leader ID
	Homes  []Home       // by shard
	Shares [][2]float64 // by limit: the part of each region; never more than 1 together
}

// Clone is a copy that shares nothing.
func (r Record) Clone() Record {
	r.Homes, r.Shares = slices.Clone(r.Homes), slices.Clone(r.Shares)
	return r
}

// Grant is what a source tells a host that asked.
type Grant struct {
	Ask    uint64 // the host's number of its question
	Lease  float64
	Record Record
}

// Host is what one host knows.
type Host struct {
	cfg    Config
	self   ID
	known  Record
	until  float64 // the end of the lease, by this host's clock
	nextID uint64
	asked  []question
}

type question struct {
	id uint64
	at float64
}

// keepAsked bounds the questions that are remembered; an answer to an older one is too
// late to be of use.
const keepAsked = 8

// NewHost returns a host that may do nothing yet.
func NewHost(cfg Config, self ID) *Host { return &Host{cfg: cfg, self: self} }

// Ask notes a question to a source; its number goes along.
func (h *Host) Ask(now float64) uint64 {
	h.nextID++
	h.asked = remember(h.asked, question{h.nextID, now}, h.cfg.Lease)
	return h.nextID
}

// remember adds a question and forgets those whose answer would be of no use any more.
func remember(list []question, q question, useful float64) []question {
	list = slices.DeleteFunc(list, func(old question) bool { return q.at-old.at >= useful })
	if len(list) == keepAsked {
		list = slices.Delete(list, 0, 1)
	}
	return append(list, q)
}

// Told takes a grant; false if it is of no use: of an older term than what is known, as
// from a source that came back with an old list, or the answer to nothing that is
// remembered.
func (h *Host) Told(g Grant) bool {
	i := slices.IndexFunc(h.asked, func(q question) bool { return q.id == g.Ask })
	if i < 0 || g.Record.Term < h.known.Term {
		return false
	}
	end := h.asked[i].at + g.Lease*(1-h.cfg.Drift)
	if g.Record.Term > h.known.Term {
		h.known, h.until = g.Record.Clone(), end
	}
	h.until = max(h.until, end)
	h.asked = slices.Delete(h.asked, 0, i+1)
	return true
}

// Holds tells whether the host has a lease; without one it takes no work and its
// addresses are withdrawn.
func (h *Host) Holds(now float64) bool { return now < h.until }

// Until is the end of the lease.
func (h *Host) Until() float64 { return h.until }

// May tells whether the host may send to the shard's disk servers now, and under which
// generation.
func (h *Host) May(now float64, shard int) (gen uint64, ok bool) {
	if !h.Holds(now) || shard >= len(h.known.Homes) {
		return 0, false
	}
	home := h.known.Homes[shard]
	return home.Gen, home.Region == h.self
}

// Share is the part of a limit that this host's region may spend now.
func (h *Host) Share(now float64, limit int) float64 {
	if !h.Holds(now) || limit >= len(h.known.Shares) {
		return 0
	}
	return h.known.Shares[limit][h.self]
}
