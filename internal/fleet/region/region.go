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

import (
	"errors"
	"fmt"
	"slices"

	"merlinhitch/internal/simulation/faultinject"
)

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
	// Fixed leaves the parts of limits as they are whatever is lost: what a service has that
	// does not lend them, to measure against.
	Fixed bool
}

// planted is the bounds with the fault that is planted.
func (c Config) planted() Config {
	if faultinject.Active(faultinject.LeaseNoDrift) {
		c.Drift = 0
	}
	return c
}

// Home is where a shard is served, and under which generation: the number that goes
// with every command to its disk servers, which refuse one that is older than the
// newest they have seen.
type Home struct {
	Region ID     `json:"region"`
	From   ID     `json:"from"` // whose cell has all that was ever answered; Region, where that is one
	Prefer ID     `json:"prefer"`
	Gen    uint64 `json:"gen"`   // the term that made it so
	Moved  uint64 `json:"moved"` // the generation under which it came to From
	// Alone: the home may answer writes that the other region's cell does not have. Then
	// that cell can't take its place without a loss. Leaving: it is about to, once the
	// other region knows of it.
	Alone   bool `json:"alone,omitempty"`
	Leaving bool `json:"leaving,omitempty"`
}

// Record is what both sources hold in one order, that of its terms. One source leads:
// it alone makes terms. A term's upper half counts the words by which operators had a
// region lead, even for region 0: what a lost leader made unheard of is older than
// whatever the next one makes.
type Record struct {
	Term   uint64       `json:"term"`
	Leader ID           `json:"leader"`
	Homes  []Home       `json:"homes"`  // by shard
	Shares [][2]float64 `json:"shares"` // by limit: the part of each region; never more than 1 together
	Split  [][2]float64 `json:"split"`  // the same while both regions serve
}

// Begin is the record of a new service: each shard at the home it prefers, each limit
// split as said.
func Begin(leader ID, homes []ID, split [][2]float64) Record {
	r := Record{Term: uint64(leader)<<half | 1, Leader: leader, Shares: slices.Clone(split), Split: slices.Clone(split)}
	for _, h := range homes {
		r.Homes = append(r.Homes, Home{Region: h, From: h, Prefer: h, Gen: r.Term, Moved: r.Term})
	}
	return r
}

// half is the bits of a term's lower half.
const half = 32

// TermText is a term, or a generation, as people read it: the word that had its region
// lead, and its number.
func TermText(t uint64) string { return fmt.Sprintf("%d.%d", t>>half, t&(1<<half-1)) }

// Clone is a copy that shares nothing.
func (r Record) Clone() Record {
	r.Homes, r.Shares, r.Split = slices.Clone(r.Homes), slices.Clone(r.Shares), slices.Clone(r.Split)
	return r
}

// Check tells what is wrong with a record that came from outside.
func (r *Record) Check() error {
	side := func(id ID) bool { return id == 0 || id == 1 }
	if !side(r.Leader) || len(r.Shares) != len(r.Split) {
		return errRecord
	}
	for _, h := range r.Homes {
		if !side(h.Region) && h.Region != Nowhere || !side(h.From) || !side(h.Prefer) || h.Gen < h.Moved || h.Region != Nowhere && h.Region != h.From {
			return errRecord
		}
	}
	for i := range r.Shares {
		for _, p := range [][2]float64{r.Shares[i], r.Split[i]} {
			if !(p[0] >= 0 && p[1] >= 0 && p[0]+p[1] <= 1+1e-9) {
				return errRecord
			}
		}
	}
	return nil
}

var errRecord = errors.New("region: a record whose leader, homes or shares can't be")

// CopyState is what a home's disk server says of its copy in the other region.
type CopyState int8

// The states.
const (
	// Behind: the copy can't be reached, and answers wait for it.
	Behind CopyState = iota + 1
	// Whole: the copy has everything, and nothing is answered any more before it has it.
	Whole
	// Drained: the shard is known to be between two homes, and the copy has all that was
	// ever taken.
	Drained
)

// Copy is a disk server's word on its copy under a generation.
type Copy struct {
	Shard int       `json:"shard"`
	Gen   uint64    `json:"gen"`
	State CopyState `json:"state,omitempty"`
	Home  bool      `json:"home,omitempty"` // it is the home under Gen, not the copy
}

// Grant is what a source tells a host that asked.
type Grant struct {
	Ask    uint64  `json:"ask"` // the host's number of its question
	Lease  float64 `json:"lease_ms"`
	Record Record  `json:"record"`
}

// Host is what one host knows.
type Host struct {
	cfg    Config
	self   ID
	known  Record
	until  float64 // the end of the lease, by this host's clock
	nextID uint64
	asked  []question
	since  []float64 // by limit: when this region's part last grew, by this host's clock
	stale  []uint64  // by shard: the newest generation that a disk server refused
}

type question struct {
	id uint64
	at float64
}

// keepAsked bounds the questions that are remembered, beside the time for which their answers are of use:
// more than a source asks within Config.Quiet, also with the beats that answer the other's.
const keepAsked = 32

// NewHost returns a host that may do nothing yet.
func NewHost(cfg Config, self ID) *Host { return &Host{cfg: cfg.planted(), self: self} }

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
func (h *Host) Told(now float64, g Grant) bool {
	i := slices.IndexFunc(h.asked, func(q question) bool { return q.id == g.Ask })
	if i < 0 || g.Record.Term < h.known.Term {
		return false
	}
	end := h.asked[i].at + g.Lease*(1-h.cfg.Drift)
	if g.Record.Term > h.known.Term {
		h.grown(now, g.Record.Shares)
		h.known, h.until = g.Record.Clone(), end
	}
	h.until = max(h.until, end)
	h.asked = slices.Delete(h.asked, 0, i+1)
	return true
}

// grown notes which parts of limits grow with the new shares. What the other region had
// of them may just have been spent there.
func (h *Host) grown(now float64, shares [][2]float64) {
	h.since = append(h.since, make([]float64, max(len(shares)-len(h.since), 0))...)
	for i, p := range shares {
		if i >= len(h.known.Shares) || p[h.self] > h.known.Shares[i][h.self] {
			h.since[i] = now
		}
	}
}

// Holds tells whether the host has a lease; without one it takes no work and its
// addresses are withdrawn.
func (h *Host) Holds(now float64) bool { return now < h.until }

// Until is the end of the lease. Nothing may begin at a disk server after it.
func (h *Host) Until() float64 { return h.until }

// Known is the record that the host goes by.
func (h *Host) Known() *Record { return &h.known }

// May tells whether the host may send to a shard's disk server now, in which region that
// is, and under which generation.
func (h *Host) May(now float64, shard int) (home Home, ok bool) {
	if !h.Holds(now) || shard < 0 || shard >= len(h.known.Homes) {
		return Home{Region: Nowhere}, false
	}
	home = h.known.Homes[shard]
	return home, home.Region != Nowhere && (shard >= len(h.stale) || home.Gen > h.stale[shard])
}

// Refused notes that a disk server knows a later generation: the shard is let alone until
// this host knows it too.
func (h *Host) Refused(shard int, gen uint64) {
	h.stale = append(h.stale, make([]uint64, max(shard+1-len(h.stale), 0))...)
	h.stale[shard] = max(h.stale[shard], gen)
}

// MayRepeat tells whether what may have run under an older generation may be sent again
// under the present one. Where the shard moved since, the disk server that it would be
// sent to may never have heard of it, or have lost it when the other came back, unless
// repeats are dropped wherever they go.
func MayRepeat(first uint64, home Home, everywhere bool) bool {
	return everywhere || first >= home.Moved
}

// Share is the part of a limit that this host's region may spend, and since when it has
// been no smaller; 0 without a lease.
func (h *Host) Share(now float64, limit int) (part, since float64) {
	if !h.Holds(now) || limit < 0 || limit >= len(h.known.Shares) {
		return 0, now
	}
	return h.known.Shares[limit][h.self], h.since[limit]
}
