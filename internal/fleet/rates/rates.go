// Package rates measures the demand of volumes in units per second: an exponentially weighted mean
// and standard deviation. It does no I/O, takes all times as arguments in milliseconds, and counts a
// request in constant time.
package rates

import (
	"cmp"
	"math"
	"slices"
)

// Rate is the measured demand of one volume.
type Rate struct {
	Volume        string  `json:"volume"`
	Mean          float64 `json:"mean"`   // units/s
	StdDev        float64 `json:"spread"` // standard deviation of the units in a second
	WriteFraction float64 `json:"writes"` // fraction of Mean
}

// Meter counts units by volume in intervals of a whole second. Use New to create one.
type Meter struct {
	decay       float64 // factor by which a second reduces the weight of those before it
	startSecond int64
	volumes     map[string]*volumeSums
}

// volumeSums holds the units of the current second and weighted sums of the seconds before it, each
// weighted by decay to the power of its age.
type volumeSums struct {
	second                        int64
	units, writtenUnits           float64
	mean, meanSquare, meanWritten float64
}

// New returns a meter that starts at time now (ms). timeConstant, in seconds and at least 1, is the
// age at which the weight of a request has decayed to 1/e.
func New(now, timeConstant float64) *Meter {
	return &Meter{decay: math.Exp(-1 / max(timeConstant, 1)), startSecond: wholeSecond(now), volumes: map[string]*volumeSums{}}
}

func wholeSecond(ms float64) int64 { return int64(math.Floor(ms / 1000)) }

// Add counts a request at time now (ms).
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

// advance adds the current second to the weighted sums and makes second the current one. Seconds
// without a request only decay the sums.
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

// VolumeRate returns the mean rate of a volume at time now (ms), units/s. Unlike Rates, it includes
// the current second, so that it reflects a surge at once.
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

// minRate is the mean, units/s, below which a volume without current requests is removed.
const minRate = 1e-9

// Rates returns the rates of all volumes with requests at time now (ms), sorted by name and without
// the current second. It removes volumes whose rate has decayed below minRate.
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

// Merge sums the rates that several hosts measured, by volume. Standard deviations are combined as of
// independent variables.
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
