package region

import (
	"fmt"
	"testing"
)

// stopPlay plays a service of two regions, one shard and one limit, in which the leading region is stopped with
// its memory and goes on. Times are in ms.
type stopPlay struct {
	config  Config
	sources [2]*Source
	hosts   [2]*Host
	stopped [2]bool
	linkUp  bool
	now     float64
	broken  string
}

func newStopPlay() *stopPlay {
	config := Config{Lease: 300, Quiet: 200, Drift: 0.01}
	record := Begin(0, []ID{0}, [][2]float64{{0.5, 0.5}})
	p := &stopPlay{config: config, linkUp: true}
	for i := range p.sources {
		p.sources[i], p.hosts[i] = NewSource(config, ID(i), 1, record, 0), NewHost(config, ID(i))
	}
	return p
}

// Times between beats and between requests for leases.
const (
	beatEvery  = 20
	leaseEvery = 50
)

// runUntil lets everything run that is not stopped, and checks the invariants each ms.
func (p *stopPlay) runUntil(end float64) {
	for ; p.now < end; p.now++ {
		for i, s := range p.sources {
			if p.stopped[i] {
				continue
			}
			p.runRegion(i, s)
		}
		p.check()
	}
}

func (p *stopPlay) runRegion(i int, s *Source) {
	other := p.sources[1-i]
	if int(p.now)%beatEvery == 0 {
		s.Tick(p.now)
		beat := s.Beat(p.now)
		if p.linkUp && !p.stopped[1-i] {
			other.Heard(p.now, beat)
			s.Heard(p.now, other.Beat(p.now))
		}
		if home := s.Record().Homes[0]; home.Region == ID(i) && home.Alone && p.linkUp && !p.stopped[1-i] {
			s.Report(p.now, Copy{Shard: 0, Gen: home.Gen, State: Whole})
		}
	}
	if int(p.now)%leaseEvery == 0 {
		id := p.hosts[i].Ask(p.now)
		if grant, ok := s.Grant(p.now, id, p.hosts[i].Known().Term); ok {
			p.hosts[i].Told(p.now, grant)
		}
	}
}

// check checks that hosts that run and hold leases go by one home, and that the parts of the limit that they
// may spend are not more than the whole.
func (p *stopPlay) check() {
	home, share := Nowhere, 0.0
	for i, h := range p.hosts {
		if p.stopped[i] {
			continue
		}
		part, _ := h.Share(p.now, 0)
		share += part
		if at, ok := h.May(p.now, 0); ok {
			if home != Nowhere && home != at.Region {
				p.fail("two homes")
			}
			home = at.Region
		}
	}
	if share > 1+1e-9 {
		p.fail(fmt.Sprintf("parts of the limit: %.2f", share))
	}
}

func (p *stopPlay) fail(what string) {
	if p.broken == "" {
		p.broken = fmt.Sprintf("%s at %.0f ms", what, p.now)
	}
}

// at is a change of a stopPlay.
type at struct {
	time   float64
	change func()
}

// run makes the changes at their times, in their order where the times are the same.
func (p *stopPlay) run(end float64, changes ...at) {
	for len(changes) > 0 {
		next := 0
		for i := range changes {
			if changes[i].time < changes[next].time {
				next = i
			}
		}
		p.runUntil(changes[next].time)
		changes[next].change()
		changes = append(changes[:next:next], changes[next+1:]...)
	}
	p.runUntil(end)
}

// A leading region that was stopped with its memory and goes on may neither grant nor serve under its old term,
// whatever the order in which it goes on, the link comes back and the other region takes over by an operator's
// word: it took itself for the leader at once, beside the other (review/6).
func TestStoppedLeaderGoesOn(t *testing.T) {
	const stopAt = 1000.0
	for _, cutBefore := range []float64{0, 900} { // how long before the stop the link went down
		for word := 200.0; word <= 600; word += 200 {
			for goesOn := word; goesOn <= 1600; goesOn += 35 {
				for _, linkAfter := range []float64{-1, 0, 150, 700} { // after the region goes on; below 0: just before
					p := newStopPlay()
					begin := stopAt
					for round := range 2 { // the second round stops the region that leads then
						stopped := round
						p.run(begin+3500,
							at{begin - cutBefore, func() { p.linkUp = false }},
							at{begin, func() { p.stopped[stopped] = true }},
							at{begin + word, func() { p.sources[1-stopped].Lead(p.now) }},
							at{begin + goesOn + linkAfter, func() { p.linkUp = true }},
							at{begin + goesOn, func() { p.stopped[stopped] = false }},
						)
						name := fmt.Sprintf("round %d, link down %.0f ms before the stop, word after %.0f, goes on after %.0f, link %.0f after that", round, cutBefore, word, goesOn, linkAfter)
						if p.broken != "" {
							t.Fatalf("%s: %s", name, p.broken)
						}
						if a, b := p.sources[0].Record(), p.sources[1].Record(); a.Term != b.Term || a.Leader != ID(1-stopped) || !p.hosts[0].Holds(p.now) || !p.hosts[1].Holds(p.now) {
							t.Fatalf("%s: records %+v and %+v, leases %v and %v, want one record that names region %d and leases in both", name, a, b, p.hosts[0].Holds(p.now), p.hosts[1].Holds(p.now), 1-stopped)
						}
						begin += 4500
					}
				}
			}
		}
	}
}

// After both regions were stopped, as by a loss of power that their memory outlives, both must serve again once
// they hear each other, and the one that goes on first must not serve alone.
func TestBothRegionsStopped(t *testing.T) {
	for later := 0.0; later <= 900; later += 90 {
		p := newStopPlay()
		p.run(1500, at{500, func() { p.stopped = [2]bool{true, true} }}, at{1500, func() { p.stopped[0] = false }})
		p.run(1500+later, at{1500 + later, func() { p.stopped[1] = false }})
		p.runUntil(1500 + later + 1000)
		if p.broken != "" || !p.hosts[0].Holds(p.now) || !p.hosts[1].Holds(p.now) {
			t.Errorf("the other %.0f ms later: %s, leases %v and %v", later, p.broken, p.hosts[0].Holds(p.now), p.hosts[1].Holds(p.now))
		}
	}
}
