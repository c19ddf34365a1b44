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
	Volume        string  `json:"volume"`
	Mean          float64 `json:"mean"`   // units a second
	StdDev        float64 `json:"spread"` // standard deviation of a second's units
	WriteFraction float64 `json:"writes"` // part of Mean
}

// Meter counts by volume and whole second. The zero value is not ready: use New.
type Meter struct {
	decay       float64 // what a second leaves of those before it
	startSecond int64
	volumes     map[string]*volumeSums
}

// volumeSums are of the seconds before at, each weighed by keep to the power of its age;
// now is what second at has seen.
type volumeSums struct {
	second                        int64
	units, writtenUnits           float64
	mean, meanSquare, meanWritten float64
}

// New starts a meter at a time in milliseconds; what is so many seconds old weighs
// 1/e of what is new.
func New(now, timeConstant float64) *Meter {
	return &Meter{decay: math.Exp(-1 / max(timeConstant, 1)), startSecond: wholeSecond(now), volumes: map[string]*volumeSums{}}
}

func wholeSecond(ms float64) int64 { return int64(math.Floor(ms / 1000)) }

// Add counts a request.
func (m *Meter) Add(now float64, volume string, units float64, write bool) {
	sums := m.volumes[volume]
	if sums == nil {
		sums = &volumeSums{second: wholeSecond(now)}
		m.volumes[volume] = sums
	}
	sums.advance(wholeSecond(now), m.decay)
	sums.units += units
	if write {
		sums.writtenUnits += units
	}
}

// advance closes the seconds before at; those without a request only let the others age.
func (s *volumeSums) advance(second int64, decay float64) {
	if second <= s.second {
		return
	}
	gain, idleDecay := 1-decay, math.Pow(decay, float64(second-s.second-1))
	s.mean = (s.mean*decay + gain*s.units) * idleDecay
	s.meanSquare = (s.meanSquare*decay + gain*s.units*s.units) * idleDecay
	s.meanWritten = (s.meanWritten*decay + gain*s.writtenUnits) * idleDecay
	s.units, s.writtenUnits, s.second = 0, 0, second
}

// VolumeRate is a volume's mean so far, units a second, the second under way included at the
// weight that it has by then.
func (m *Meter) VolumeRate(now float64, volume string) float64 {
	sums := m.volumes[volume]
	if sums == nil {
		return 0
	}
	second := wholeSecond(now)
	sums.advance(second, m.decay)
	weight := 1 - math.Pow(m.decay, float64(second-m.startSecond)+1)
	return (sums.mean*m.decay + (1-m.decay)*sums.units) / weight
}

// minRate is a rate too small to tell from none.
const minRate = 1e-9

// Rates lists the volumes that asked for anything, by name. The second under way
// does not count yet.
func (m *Meter) Rates(now float64) []Rate {
	second := wholeSecond(now)
	weight := 1 - math.Pow(m.decay, float64(second-m.startSecond))
	if weight <= 0 {
		return nil
	}
	var out []Rate
	for name, sums := range m.volumes {
		sums.advance(second, m.decay)
		if sums.mean < minRate {
			if sums.units == 0 {
				delete(m.volumes, name)
			}
			continue
		}
		mean := sums.mean / weight
		out = append(out, Rate{name, mean, math.Sqrt(max(sums.meanSquare/weight-mean*mean, 0)), sums.meanWritten / sums.mean})
	}
	slices.SortFunc(out, func(a, b Rate) int { return cmp.Compare(a.Volume, b.Volume) })
	return out
}

// Merge adds up what several hosts measured of the same volumes. Their spreads are
// taken as independent.
func Merge(hosts ...[]Rate) []Rate {
	merged := map[string]Rate{}
	for _, h := range hosts {
		for _, r := range h {
			total := merged[r.Volume]
			total.Volume = r.Volume
			if sum := total.Mean + r.Mean; sum > 0 {
				total.WriteFraction = (total.WriteFraction*total.Mean + r.WriteFraction*r.Mean) / sum
				total.Mean = sum
			}
			total.StdDev = math.Hypot(total.StdDev, r.StdDev)
			merged[r.Volume] = total
		}
	}
	var out []Rate
	for _, r := range merged {
		out = append(out, r)
	}
	slices.SortFunc(out, func(a, b Rate) int { return cmp.Compare(a.Volume, b.Volume) })
	return out
}
