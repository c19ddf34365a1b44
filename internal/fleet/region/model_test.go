package region

import (
	"encoding/binary"
	"flag"
	"fmt"
	"maps"
	"math"

	"github.com/cespare/xxhash/v2"
)

var whole = flag.Bool("whole", false, "explore to the larger size")

// The model: two sources, one host in each region, one shard and one limit. Every order
// of ticks, beats, questions, deliveries, losses, restarts and moves is explored, to a
// number of ticks and of each rare event. Clocks run at a rate of their own.

const (
	tick      = 4.0 // true time of one
	drift     = 0.25
	lease     = 1.5 * tick
	quiet     = 2 * tick
	farAway   = 60    // beyond it no time matters
	startHome = ID(1) // of the source that does not lead
)

type message struct {
	kind int8 // 0 beat, 1 grant
	to   ID
	beat Beat
	gr   Grant
}

// doctor spoils the protocol in one way.
type doctor string

const (
	sound           doctor = ""
	leaseNoDrift    doctor = "a lease without drift"
	sharedEarly     doctor = "a share taken back early"
	countedAtAnswer doctor = "a lease counted from its answer"
	quietForgotten  doctor = "a source that grants though it hears nothing"
)

type state struct {
	clocks   [4]float64 // sources 0 and 1, hosts 0 and 1
	sources  [2]*Source
	hosts    [2]*Host
	air      []message
	ticks    int
	moves    int
	restarts int
}

func (m *model) config() Config {
	c := Config{Lease: lease, Quiet: quiet, Drift: drift}
	if m.doctor == leaseNoDrift {
		c.Drift = 0
	}
	return c
}

type model struct {
	doctor   doctor
	rates    [4]float64
	ticks    int
	moves    int
	restarts int
	air      int
	late     bool // grants may wait in the air; otherwise they come at once or never
	seen     map[uint64]bool
	deepest  int
	broken   string
	takeover bool // some state had the shard in the other region
	lent     bool // some state had parts of the limit in both
}

func (m *model) first() *state {
	rec := Begin(0, []ID{startHome}, [][2]float64{{0.5, 0.5}})
	s := &state{}
	for i := range 2 {
		s.sources[i] = NewSource(m.config(), ID(i), 1, rec, 0)
		s.hosts[i] = NewHost(m.config(), ID(i))
	}
	return s
}

func (s *state) clone() *state {
	c := *s
	for i := range 2 {
		x := *s.sources[i]
		x.rec, x.want, x.sent = x.rec.Clone(), x.want.Clone(), append([]question(nil), x.sent...)
		x.silentDisks = maps.Clone(x.silentDisks)
		x.seenHome = append([]ID(nil), x.seenHome...)
		x.seenGen, x.ahead = append([]uint64(nil), x.seenGen...), append([]uint64(nil), x.ahead...)
		x.copies, x.leftAt = append([]Copy(nil), x.copies...), append([]float64(nil), x.leftAt...)
		c.sources[i] = &x
		h := *s.hosts[i]
		h.known, h.asked, h.since = h.known.Clone(), append([]question(nil), h.asked...), append([]float64(nil), h.since...)
		c.hosts[i] = &h
	}
	c.air = append([]message(nil), s.air...)
	return &c
}

// key is the state with every time told from its own clock's present.
func (s *state) key() uint64 {
	d := xxhash.New()
	put := func(v ...float64) {
		var b [8]byte
		for _, x := range v {
			binary.LittleEndian.PutUint64(b[:], math.Float64bits(x))
			d.Write(b[:])
		}
	}
	near := func(t, now float64) float64 { return max(-farAway, min(farAway, t-now)) }
	flag := func(b bool) {
		if b {
			put(1)
		} else {
			put(0)
		}
	}
	rec := func(r Record) {
		put(float64(r.Term), float64(r.Leader), float64(r.Homes[0].Region), float64(r.Homes[0].From), float64(r.Homes[0].Gen), float64(r.Homes[0].Moved), r.Shares[0][0], r.Shares[0][1])
		flag(r.Homes[0].Alone)
		flag(r.Homes[0].Leaving)
	}
	for i, x := range s.sources {
		now := s.clocks[i]
		rec(x.rec)
		rec(x.want)
		put(float64(x.start), float64(x.seq), float64(x.theirs[0]), float64(x.theirs[1]))
		put(near(x.contact, now), near(x.heard, now), near(x.adoptedAt, now), near(x.granted, now), near(x.grantedAt, now))
		flag(x.adopted)
		flag(x.unsure)
		flag(x.word)
		flag(x.silentDisks != nil)
		put(near(x.listenFrom, now), float64(len(x.silentDisks)), float64(x.seenTerm), float64(x.seenGen[0]), float64(x.ahead[0]), float64(x.seenHome[0]))
		flag(x.silent)
		put(float64(x.copies[0].State), float64(x.copies[0].Gen), near(x.leftAt[0], now))
		for _, q := range x.sent {
			put(float64(q.id), near(q.at, now))
		}
		h, hn := s.hosts[i], s.clocks[2+i]
		if len(h.known.Homes) > 0 {
			rec(h.known)
		}
		put(near(h.until, hn), float64(h.nextID))
		for _, q := range h.asked {
			put(float64(q.id), near(q.at, hn))
		}
	}
	for _, a := range s.air {
		put(float64(a.kind), float64(a.to))
		if a.kind == 0 {
			put(float64(a.beat.Seq), float64(a.beat.Start), float64(a.beat.EchoSeq), float64(a.beat.EchoStart))
			flag(a.beat.Sure)
			rec(a.beat.Record)
			for _, w := range a.beat.Copies {
				put(float64(w.State), float64(w.Gen))
			}
		} else {
			put(float64(a.gr.Ask), a.gr.Lease)
			rec(a.gr.Record)
		}
	}
	put(float64(s.ticks), float64(s.moves), float64(s.restarts))
	return d.Sum64()
}

// check is the invariants: a shard is served in one region at most, whichever hosts send
// to it, and the parts of a limit that may be spent are never more than the limit.
func (m *model) check(s *state) {
	var homes [2]Home
	var may [2]bool
	var part [2]float64
	for i, h := range s.hosts {
		now := s.clocks[2+i]
		homes[i], may[i] = h.May(now, 0)
		part[i], _ = h.Share(now, 0)
		m.takeover = m.takeover || may[i] && homes[i].Region != startHome
	}
	if may[0] && may[1] && homes[0].Region != homes[1].Region {
		m.broken = fmt.Sprintf("the shard is served in both regions, under generations %d and %d", homes[0].Gen, homes[1].Gen)
	}
	if sum := part[0] + part[1]; sum > 1+1e-9 {
		m.broken = fmt.Sprintf("%.2f of the limit may be spent", sum)
	}
	m.lent = m.lent || part[0] > 0 && part[1] > 0
}

// steps are the states that can follow: a round of a tick. Each round has at most one
// rare event; then every source tells the other, every host asks, and of all that is in
// the air each comes or waits; what waits is lost when the next of its kind leaves.
func (m *model) steps(s *state) (out []*state) {
	if s.ticks == m.ticks {
		return nil
	}
	begin := []*state{s.clone()}
	rare := func(f func(c *state)) {
		c := s.clone()
		f(c)
		begin = append(begin, c)
	}
	for i := range 2 {
		if s.restarts < m.restarts {
			rare(func(c *state) {
				c.restarts++
				x := c.sources[i]
				c.sources[i] = Restart(m.config(), x.self, x.start+1, x.rec, c.clocks[i])
			})
			rare(func(c *state) { // with an old list
				c.restarts++
				x := c.sources[i]
				c.sources[i] = Restart(m.config(), x.self, x.start+1, m.first().sources[i].rec, c.clocks[i])
			})
		}
		if s.moves < m.moves && s.sources[i].Leads() {
			rare(func(c *state) {
				c.moves++
				c.sources[i].Move(c.clocks[i], 0, c.sources[i].want.Homes[0].Region.Other())
				c.sources[i].Share(c.clocks[i], 0, [2]float64{0.25, 0.75})
			})
		}
	}
	for _, c := range begin {
		c.ticks++
		for i := range c.clocks {
			c.clocks[i] += m.rates[i]
		}
		for i, x := range c.sources {
			if h := x.rec.Homes[0]; h.Region == Nowhere && h.From == x.self { // its disk server
				x.Report(c.clocks[i], Copy{Shard: 0, Gen: h.Gen, State: Drained})
			}
			x.Tick(c.clocks[i])
			c.send(m.air, message{kind: 0, to: ID(1 - i), beat: x.Beat(c.clocks[i])})
			m.ask(c, i)
		}
		out = append(out, m.fates(c, 0)...)
	}
	return out
}

// fates are the states after each choice for the messages from k on.
func (m *model) fates(c *state, k int) (out []*state) {
	if k == len(c.air) {
		return []*state{c}
	}
	came := c.clone()
	m.deliver(came, k)
	out = m.fates(came, k)
	if c.air[k].kind == 1 && !m.late {
		c.air = append(c.air[:k:k], c.air[k+1:]...)
		return append(out, m.fates(c, k)...) // lost
	}
	return append(out, m.fates(c, k+1)...) // it waits
}

// send puts a message into the air; where a way is full, its oldest is lost.
func (c *state) send(most int, a message) {
	n, first := 0, -1
	for k, x := range c.air {
		if x.kind == a.kind && x.to == a.to {
			if n++; first < 0 {
				first = k
			}
		}
	}
	if n >= most {
		c.air = append(c.air[:first:first], c.air[first+1:]...)
	}
	c.air = append(c.air, a)
}

func (m *model) ask(c *state, i int) {
	id := c.hosts[i].Ask(c.clocks[2+i])
	g, ok := c.sources[i].Grant(c.clocks[i], id, c.hosts[i].known.Term)
	if m.doctor == quietForgotten && !ok {
		c.sources[i].grantedAt = c.clocks[i]
		g, ok = Grant{Ask: id, Lease: lease, Record: c.sources[i].Record()}, true
	}
	if m.doctor == sharedEarly {
		g.Lease *= 3
	}
	if ok {
		c.send(m.air, message{kind: 1, to: ID(i), gr: g})
	}
}

func (m *model) deliver(c *state, k int) {
	a := c.air[k]
	c.air = append(c.air[:k:k], c.air[k+1:]...)
	if a.kind == 0 {
		c.sources[a.to].Heard(c.clocks[a.to], a.beat)
		return
	}
	h, now := c.hosts[a.to], c.clocks[2+a.to]
	if m.doctor == countedAtAnswer {
		h.asked = []question{{a.gr.Ask, now}}
	}
	h.Told(now, a.gr)
}

// explore goes through every state within the bounds, up to so many.
func (m *model) explore(most int) (states int, all bool) {
	m.seen = map[uint64]bool{}
	stack := []*state{m.first()}
	for len(stack) > 0 {
		s := stack[0]
		stack = stack[1:]
		k := s.key()
		if m.seen[k] {
			continue
		}
		m.seen[k] = true
		m.deepest = s.ticks
		if m.check(s); m.broken != "" {
			return len(m.seen), false
		}
		if len(m.seen) >= most {
			return len(m.seen), false
		}
		stack = append(stack, m.steps(s)...)
	}
	return len(m.seen), true
}
