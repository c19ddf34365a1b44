// Package rates measures what volumes ask for, in units a second, smoothed, with
// the spread that a margin is taken from. It is a core: no I/O, no clock but the
// times that it is given, and no work for a request that grows with the volumes.
// It decides nothing.
package rates

import (
	"cmp"
	"math"
	"slices"
)

// Rate is what one volume asked for.
type Rate struct {
	Volume string  `json:"volume"`
	Mean   float64 `json:"mean"`   // units a second
	Spread float64 `json:"spread"` // standard deviation of a second's units
	Writes float64 `json:"writes"` // part of Mean
}

// Meter counts by volume and whole second. The zero value is not ready: use New.
type Meter struct {
	keep    float64 // what a second leaves of those before it
	start   int64
	volumes map[string]*sums
}

// sums are of the seconds before at, each weighed by keep to the power of its age;
// now is what second at has seen.
type sums struct {
	at               int64
	now, wrote       float64
	mean, square, wr float64
}

// New starts a meter at a time in milliseconds; what is so many seconds old weighs
// 1/e of what is new.
func New(now, seconds float64) *Meter {
	return &Meter{keep: math.Exp(-1 / max(seconds, 1)), start: second(now), volumes: map[string]*sums{}}
}

func second(ms float64) int64 { return int64(math.Floor(ms / 1000)) }

// Add counts a request.
func (m *Meter) Add(now float64, volume string, units float64, write bool) {
	s := m.volumes[volume]
	if s == nil {
		s = &sums{at: second(now)}
		m.volumes[volume] = s
	}
	s.to(second(now), m.keep)
	s.now += units
	if write {
		s.wrote += units
	}
}

// to closes the seconds before at; those without a request only let the others age.
func (s *sums) to(at int64, keep float64) {
	if at <= s.at {
		return
	}
	a, idle := 1-keep, math.Pow(keep, float64(at-s.at-1))
	s.mean = (s.mean*keep + a*s.now) * idle
	s.square = (s.square*keep + a*s.now*s.now) * idle
	s.wr = (s.wr*keep + a*s.wrote) * idle
	s.now, s.wrote, s.at = 0, 0, at
}

// Of is a volume's mean so far, units a second, the second under way included at the
// weight that it has by then.
func (m *Meter) Of(now float64, volume string) float64 {
	s := m.volumes[volume]
	if s == nil {
		return 0
	}
	at := second(now)
	s.to(at, m.keep)
	weight := 1 - math.Pow(m.keep, float64(at-m.start)+1)
	return (s.mean*m.keep + (1-m.keep)*s.now) / weight
}

// forgotten is a rate too small to tell from none.
const forgotten = 1e-9

// Read lists the volumes that asked for anything, by name. The second under way
// does not count yet.
func (m *Meter) Read(now float64) []Rate {
	at := second(now)
	weight := 1 - math.Pow(m.keep, float64(at-m.start))
	if weight <= 0 {
		return nil
	}
	var out []Rate
	for name, s := range m.volumes {
		s.to(at, m.keep)
		if s.mean < forgotten {
			if s.now == 0 {
				delete(m.volumes, name)
			}
			continue
		}
		mean := s.mean / weight
		out = append(out, Rate{name, mean, math.Sqrt(max(s.square/weight-mean*mean, 0)), s.wr / s.mean})
	}
	slices.SortFunc(out, func(a, b Rate) int { return cmp.Compare(a.Volume, b.Volume) })
	return out
}

// Join adds up what several hosts measured of the same volumes. Their spreads are
// taken as independent.
func Join(hosts ...[]Rate) []Rate {
	by := map[string]Rate{}
	for _, h := range hosts {
		for _, r := range h {
			t := by[r.Volume]
			t.Volume = r.Volume
			if sum := t.Mean + r.Mean; sum > 0 {
				t.Writes = (t.Writes*t.Mean + r.Writes*r.Mean) / sum
				t.Mean = sum
			}
			t.Spread = math.Hypot(t.Spread, r.Spread)
			by[r.Volume] = t
		}
	}
	var out []Rate
	for _, r := range by {
		out = append(out, r)
	}
	slices.SortFunc(out, func(a, b Rate) int { return cmp.Compare(a.Volume, b.Volume) })
	return out
}
