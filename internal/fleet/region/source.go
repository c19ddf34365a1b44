package region

import (
	"slices"

	"merlinhitch/internal/simulation/faultinject"
)

// Beat is what a source tells the other, so often as it likes.
type Beat struct {
	Start     uint64 `json:"start"` // of the sender: its present run,
	Seq       uint64 `json:"seq"`   // and its beat in that
	EchoStart uint64 `json:"echo_start"`
	EchoSeq   uint64 `json:"echo_seq"` // the newest of the receiver that the sender has heard
	Sure      bool   `json:"sure"`     // see Source.Sure
	Record    Record `json:"record"`
	Copies    []Copy `json:"copies,omitempty"` // what disk servers said there
}

// Source is the inventory's source in one region.
//
// The one that does not lead grants only while the other has echoed a beat that is not
// older than Quiet. The leader that has heard nothing for as long as the other may still
// grant, and as its grants then last, takes over what the other had. So in a cut the
// leader's region goes on and the other stops by itself; where the leader's region is
// lost, an operator's word makes the other lead (Lead), for nothing in it can tell a
// cut from a loss.
type Source struct {
	cfg  Config
	self ID
	rec  Record
	want Record // homes and shares that are to be, once they can; the leader's

	start uint64
	ranAt float64 // when it last ran, see running
	// grantsFrom is when what the other granted before an operator's word has run out.
	grantsFrom float64
	seq        uint64
	sent       []question // beats that wait for their echo
	contact    float64    // when the newest echoed beat was sent
	heard      float64    // when the other was last heard
	theirs     [2]uint64  // run and newest beat of the other
	// The other has adopted the present term: nothing older is granted there since.
	adopted   bool
	adoptedAt float64
	granted   float64   // when this source last granted under an older term than the present
	grantedAt float64   // when it last granted
	silent    bool      // the other is held for lost, and was taken over from
	copies    []Copy    // by shard: the last word on it
	leftAt    []float64 // by shard: since when it is nowhere
	word      bool      // it leads by an operator's word, and the other does not follow yet
	given     bool      // an operator gives up what only the lost region has
	// After a restart with what may be an old record: nothing is granted and no term made
	// until the other has echoed this run or an operator says so (unsure), nor while it
	// listens to what hosts and disk servers know (silentDisks: those that have not spoken),
	// nor while any of them is known to know more (seenTerm, seenGen).
	unsure      bool
	listenFrom  float64
	silentDisks map[int]bool
	seenTerm    uint64
	seenGen     []uint64 // by shard
	seenHome    []ID     // whose home it is under that
	ahead       []uint64 // by shard: a generation that the other's disk servers know
}

// NewSource returns a source of a new service, whose record both sources begin with.
// start tells this run from every other of the source; later runs have greater ones.
func NewSource(cfg Config, self ID, start uint64, rec Record, now float64) *Source {
	rec, cfg = rec.Clone(), cfg.planted()
	n := len(rec.Homes)
	return &Source{seenGen: make([]uint64, n), seenHome: make([]ID, n), ahead: make([]uint64, n), copies: make([]Copy, n), leftAt: make([]float64, n), cfg: cfg, self: self, start: start, rec: rec, want: wants(rec), heard: now, contact: now, adopted: true, adoptedAt: now, granted: now, grantedAt: now, ranAt: now}
}

// wants is a record as it stands, with a home for what has none: its last.
func wants(r Record) Record {
	r = r.Clone()
	for i := range r.Homes {
		r.Homes[i].Region = r.Homes[i].From
	}
	return r
}

// Restart returns a source that comes back with what it had saved. Its hosts may hold
// leases that it does not remember, and the other may have gone on: it grants nothing
// before it is sure of its record.
func Restart(cfg Config, self ID, start uint64, saved Record, now float64) *Source {
	s := NewSource(cfg, self, start, saved, now)
	s.contact, s.adopted, s.unsure, s.listenFrom = now-never, false, true, now
	s.silentDisks = make(map[int]bool, len(saved.Homes))
	for i := range saved.Homes {
		s.silentDisks[i] = true
	}
	return s
}

// awayFraction of Config.Quiet without a run is a sign that the source was stopped. One that runs beats ten
// times within Quiet.
const awayFraction = 0.8

// running notes that the source runs at that time. One that was stopped with its memory may have been taken
// for lost, as one that was started anew: it grants nothing and makes no term before the other has echoed a
// beat that was sent since, or an operator says so; and it knows of no silence of the other but what it
// heard itself.
func (s *Source) running(now float64) {
	if now-s.ranAt > awayFraction*s.cfg.Quiet {
		s.unsure, s.adopted, s.sent = true, false, nil
		s.contact, s.heard = now-never, now
	}
	s.ranAt = max(s.ranAt, now)
}

// listens tells whether a source that came back still waits for hosts and disk servers to
// tell what they know: for a while that every host speaks in, and until every shard's disk
// server here has spoken, but no longer than a lease.
func (s *Source) listens(now float64) bool {
	if s.silentDisks == nil {
		return false
	}
	age := now - s.listenFrom
	if age >= s.cfg.Lease || len(s.silentDisks) == 0 && age >= s.cfg.Lease/listenParts {
		s.silentDisks = nil
	}
	return s.silentDisks != nil
}

// never is told as the time since a source had contact that it never had, ms.
const never = 1e9

// Contact is when the other region's source was alive for certain: when the newest beat
// was sent that it has echoed. A beat of its own may come long after it was sent.
func (s *Source) Contact() float64 { return s.contact }

// listenParts is the part of a lease for which a source that came back listens at the
// least: every host speaks in it.
const listenParts = 5

// Sure tells whether the source's record is the newest for all it knows.
func (s *Source) Sure(now float64) bool {
	if s.unsure || s.listens(now) || s.seenTerm > s.rec.Term {
		return false
	}
	for i, h := range s.rec.Homes {
		if s.seenGen[i] > h.Gen {
			return false
		}
	}
	return true
}

// Record is what the source holds; it is saved before anything it says goes out.
func (s *Source) Record() Record { return s.rec.Clone() }

// Leads tells whether this source makes the terms.
func (s *Source) Leads() bool { return s.rec.Leader == s.self }

// Beat returns what to tell the other.
func (s *Source) Beat(now float64) Beat {
	s.running(now)
	s.seq++
	s.sent = remember(s.sent, question{s.seq, now}, s.cfg.Quiet)
	return Beat{Start: s.start, Seq: s.seq, EchoStart: s.theirs[0], EchoSeq: s.theirs[1], Sure: s.Sure(now), Record: s.rec.Clone(), Copies: s.words()}
}

// words are what disk servers of this region said that the leader has still to hear.
func (s *Source) words() (out []Copy) {
	for _, c := range s.copies {
		if c.Gen > 0 && s.news(c) && !s.Leads() {
			out = append(out, c)
		}
	}
	for i, h := range s.rec.Homes { // a term that was never heard of: its leader was lost with it
		if s.seenGen[i] > h.Gen {
			out = append(out, Copy{Shard: i, Gen: s.seenGen[i], Home: s.seenHome[i] == s.self})
		}
	}
	return out
}

// saw notes a generation that a disk server of that region knows, and whose home it is.
func (s *Source) saw(c Copy, by ID) {
	if c.Shard < 0 || c.Shard >= len(s.seenGen) || c.Gen <= s.seenGen[c.Shard] {
		return
	}
	if s.seenGen[c.Shard], s.seenHome[c.Shard] = c.Gen, by; !c.Home {
		s.seenHome[c.Shard] = by.Other()
	}
}

// news tells whether a word on a copy is of the present record and changes it.
func (s *Source) news(c Copy) bool {
	if c.Shard < 0 || c.Shard >= len(s.rec.Homes) || c.Gen != s.rec.Homes[c.Shard].Gen {
		return false
	}
	h := s.rec.Homes[c.Shard]
	switch c.State {
	case Behind:
		return !h.Alone && !h.Leaving && h.Region != Nowhere
	case Whole:
		return h.Alone && h.Region != Nowhere
	case Drained:
		return h.Region == Nowhere
	}
	return false
}

// Report takes a disk server's word on its copy; without a state it tells the generation
// that it knows.
func (s *Source) Report(now float64, c Copy) {
	s.running(now)
	delete(s.silentDisks, c.Shard)
	s.saw(c, s.self)
	if s.news(c) {
		s.copies[c.Shard] = c
	}
	s.Tick(now)
}

// Heard takes the other's beat.
func (s *Source) Heard(now float64, b Beat) {
	s.running(now)
	if b.Start < s.theirs[0] || b.Start == s.theirs[0] && b.Seq <= s.theirs[1] {
		return // overtaken on its way
	}
	s.theirs, s.heard = [2]uint64{b.Start, b.Seq}, now
	if i := slices.IndexFunc(s.sent, func(q question) bool { return b.EchoStart == s.start && q.id == b.EchoSeq }); i >= 0 {
		if s.unsure = false; b.Sure { // what grants by it must know no less
			s.contact = max(s.contact, s.sent[i].at)
		}
		s.sent = slices.Delete(s.sent, 0, i+1)
	}
	switch {
	case b.Record.Term > s.rec.Term:
		s.adopt(now, b.Record)
	case b.Record.Term == s.rec.Term && !s.adopted:
		s.adopted, s.adoptedAt = true, now
	}
	if s.word && s.Leads() && b.Record.Term>>half == s.rec.Term>>half {
		s.followed()
	}
	for _, c := range b.Copies {
		switch {
		case s.news(c):
			s.copies[c.Shard] = c
		case c.Shard >= 0 && c.Shard < len(s.ahead) && c.Home:
			s.ahead[c.Shard] = max(s.ahead[c.Shard], c.Gen)
		}
		s.saw(c, s.self.Other())
	}
	s.Tick(now)
}

// adopt takes a newer record.
func (s *Source) adopt(now float64, r Record) {
	s.rec, s.want = r.Clone(), wants(r)
	s.granted = s.grantedAt
	s.adopted, s.adoptedAt, s.silent = true, now, false
}

// Grants tells whether the source may grant now.
func (s *Source) Grants(now float64) bool {
	s.running(now)
	return s.Sure(now) && now >= s.grantsFrom && (s.Leads() || now < s.contact+s.cfg.Quiet*(1-s.cfg.Drift))
}

// Grant answers a host of this region that knows the record of a term; false if nothing
// may be granted.
func (s *Source) Grant(now float64, ask, knows uint64) (Grant, bool) {
	if s.seenTerm = max(s.seenTerm, knows); !s.Grants(now) {
		return Grant{}, false
	}
	s.grantedAt = now
	return Grant{Ask: ask, Lease: s.cfg.Lease, Record: s.rec.Clone()}, true
}

// Move has a shard served in a region, once that is safe: once its copy there has all.
// Only the leader's.
func (s *Source) Move(now float64, shard int, to ID) {
	s.want.Homes[shard].Region = to
	s.Tick(now)
}

// Return has every shard served in the region that it prefers. Only the leader's.
func (s *Source) Return(now float64) {
	for i := range s.want.Homes {
		s.want.Homes[i].Region = s.rec.Homes[i].Prefer
	}
	s.Tick(now)
}

// Share gives the regions parts of a limit, once that is safe. Only the leader's.
func (s *Source) Share(now float64, limit int, parts [2]float64) {
	s.want.Shares[limit], s.want.Split[limit] = parts, parts
	s.Tick(now)
}

// Lead makes this source the leader on an operator's word that the other region is lost,
// and has one that came back lead with what it has; where disk servers know of later
// generations than its record, their homes are as they say. What the other had is taken over when its grants have run out:
// it may have granted until the word, however long ago it was heard.
func (s *Source) Lead(now float64) {
	s.running(now)
	if s.Leads() && s.Sure(now) {
		return
	}
	if (s.unsure || !s.word) && !s.Grants(now) { // the other may have taken over what is this region's
		s.grantsFrom = now + s.wait(s.cfg.Lease)
	}
	s.unsure, s.heard = false, max(s.heard, now-s.wait(s.cfg.Quiet))
	word := max(s.rec.Term, s.seenTerm)
	for _, g := range s.seenGen {
		word = max(word, g)
	}
	word >>= half
	s.next(func(r *Record) {
		r.Leader, r.Term = s.self, ((word/2+1)*2+uint64(s.self))<<half
		for i := range r.Homes {
			if h := &r.Homes[i]; s.seenGen[i] > h.Gen { // disk servers know better where it was
				home := s.seenHome[i]
				*h = Home{Region: home, From: home, Prefer: h.Prefer, Gen: r.Term, Moved: r.Term, Alone: true}
			}
		}
	})
	s.want.Homes, s.word = wants(s.rec).Homes, true
	s.Tick(now)
}

// GiveUp takes over what only the lost region has in full, on an operator's word that
// writes which it answered alone may be lost. Only the leader's.
func (s *Source) GiveUp(now float64) {
	s.given = true
	s.Tick(now)
}

// wait is how long a time lasts on this clock so that it has certainly passed on any.
func (s *Source) wait(d float64) float64 { return d * (1 + s.cfg.Drift) / (1 - s.cfg.Drift) }

// lost tells whether nothing that the other granted can last any more, whatever it has
// heard: it grants for Quiet after the last beat of its that was echoed, which it sent
// before it was heard here.
func (s *Source) lost(now float64) bool {
	return now >= s.heard+s.wait(s.cfg.Quiet)+s.wait(s.cfg.Lease)
}

// clear tells whether no grant of an older term lasts anywhere.
func (s *Source) clear(now float64) bool {
	mine := now >= s.granted+s.wait(s.cfg.Lease)
	theirs := s.adopted && now >= s.adoptedAt+s.wait(s.cfg.Lease)
	return mine && (theirs || s.lost(now))
}

// Tick does what has come due; only a leader has anything to do.
func (s *Source) Tick(now float64) {
	s.running(now)
	if !s.Leads() || s.unsure || s.listens(now) {
		return
	}
	s.takeWord()
	if !s.Sure(now) {
		return
	}
	switch lost := s.lost(now); {
	case lost && !s.silent:
		s.takeOver()
	case !lost && s.silent:
		s.silent, s.given = false, false
		copy(s.want.Shares, s.want.Split) // the other spends its part again
	}
	s.copied()
	s.alone(now)
	s.retreat(now)
	if s.clear(now) || faultinject.Active(faultinject.ShareEarly) {
		s.advance(now)
	}
}

// takeOver wants all that the other region has.
func (s *Source) takeOver() {
	s.silent = true
	for i := range s.want.Homes {
		s.want.Homes[i].Region = s.self
	}
	if s.cfg.Fixed {
		return
	}
	for i := range s.want.Shares {
		s.want.Shares[i] = [2]float64{}
		s.want.Shares[i][s.self] = 1
	}
}

// followed makes a term once the region of a leader before this one is back and follows.
// What that leader decided unheard of, its disk servers may still go by: that a shard leaves
// its home, or that this home answers alone.
func (s *Source) followed() {
	s.word = false
	theirs := func(h Home) bool { return h.Region == s.self.Other() }
	if !slices.ContainsFunc(s.rec.Homes, theirs) {
		return
	}
	s.next(func(r *Record) {
		for i := range r.Homes {
			if h := &r.Homes[i]; theirs(*h) {
				h.Gen, h.Alone, h.Leaving = r.Term, true, false
			}
		}
	})
}

// takeWord makes a term of generations that the other region's disk servers know and nobody
// else: those of a leader that was lost. What homes there did under them may have been alone.
func (s *Source) takeWord() {
	further := func(i int) bool {
		h := s.rec.Homes[i]
		return s.ahead[i] > h.Gen && h.From != s.self && h.Region != Nowhere
	}
	any := false
	for i := range s.ahead {
		any = any || further(i)
	}
	if !any {
		return
	}
	s.next(func(r *Record) {
		for i := range r.Homes {
			if further(i) {
				h := &r.Homes[i]
				h.Gen, h.Alone, h.Leaving = r.Term, true, false
			}
		}
	})
}

// copied makes a term of what disk servers said of their copies.
func (s *Source) copied() {
	if !slices.ContainsFunc(s.copies, func(c Copy) bool { return c.State != Drained && s.news(c) }) {
		return
	}
	s.next(func(r *Record) {
		for i, c := range s.copies {
			if c.State == Drained || !s.news(c) {
				continue
			}
			if h := &r.Homes[i]; h.Gen == c.Gen {
				h.Alone, h.Leaving = false, c.State == Behind
			}
		}
	})
}

// alone lets homes answer alone that are about to, once the other region knows that its
// cells must not take their place, or has been silent for long. They do so under a new
// generation, so that no word on their copies of an older one counts.
func (s *Source) alone(now float64) {
	if !s.adopted && now < s.heard+s.cfg.Quiet || !slices.ContainsFunc(s.rec.Homes, func(h Home) bool { return h.Leaving }) {
		return
	}
	s.next(func(r *Record) {
		for i := range r.Homes {
			if h := &r.Homes[i]; h.Leaving {
				h.Leaving, h.Alone, h.Gen = false, true, r.Term
			}
		}
	})
}

// leaves tells whether a shard is to leave its home now: the other cell must have
// everything, unless that is given up.
func (s *Source) leaves(i int) bool {
	h := s.rec.Homes[i]
	return h.Region != Nowhere && h.Region != s.want.Homes[i].Region && (!h.Alone && !h.Leaving || s.silent && s.given)
}

// retreat makes a term without what somebody is to give up.
func (s *Source) retreat(now float64) {
	give := false
	for i := range s.rec.Homes {
		give = give || s.leaves(i)
	}
	for i, p := range s.rec.Shares {
		give = give || p[0] > s.want.Shares[i][0] || p[1] > s.want.Shares[i][1]
	}
	if !give {
		return
	}
	s.next(func(r *Record) {
		for i := range r.Homes {
			if s.leaves(i) {
				r.Homes[i].Region, r.Homes[i].Leaving, s.leftAt[i] = Nowhere, false, now
			}
		}
		for i := range r.Shares {
			for k := range r.Shares[i] {
				r.Shares[i][k] = min(r.Shares[i][k], s.want.Shares[i][k])
			}
		}
		r.Split = slices.Clone(s.want.Split)
	})
}

// settles tells whether a shard that is nowhere gets its home now. Its old one must have
// said that the other has all, unless it is lost; if it says nothing for long, the shard
// goes back.
func (s *Source) settles(now float64, i int) bool {
	h, to := s.rec.Homes[i], s.want.Homes[i].Region
	if h.Region != Nowhere {
		return false
	}
	if to == h.From || s.silent && h.From != s.self {
		return true
	}
	if c := s.copies[i]; c.State == Drained && s.news(c) {
		return true
	}
	if now >= s.leftAt[i]+patience*s.wait(s.cfg.Lease) {
		s.want.Homes[i].Region = h.From
		return true
	}
	return false
}

// patience is how many leases a shard stays without a home for its copy's sake: the rest
// of what the copy lacks takes far less than one.
const patience = 3

// advance makes a term with what is wanted, now that nobody else has it.
func (s *Source) advance(now float64) {
	var come []int
	for i := range s.rec.Homes {
		if s.settles(now, i) {
			come = append(come, i)
		}
	}
	if len(come) == 0 && slices.Equal(s.rec.Shares, s.want.Shares) {
		return
	}
	s.next(func(r *Record) {
		for _, i := range come {
			h, to := &r.Homes[i], s.want.Homes[i].Region
			h.Gen = r.Term
			if to != h.From {
				h.Moved, h.Alone = r.Term, s.silent
			}
			h.Region, h.From = to, to
		}
		r.Shares, r.Split = slices.Clone(s.want.Shares), slices.Clone(s.want.Split)
	})
}

// next makes the next term.
func (s *Source) next(change func(*Record)) {
	r := s.rec.Clone()
	r.Term++ // in its upper half nobody else does
	change(&r)
	s.rec = r
	s.granted, s.adopted = s.grantedAt, false
}
