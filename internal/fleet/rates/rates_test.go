package rates_test

import (
	"math"
	"testing"

	"merlinhitch/internal/fleet/rates"
)

func almostEqual(a, b float64) bool { return math.Abs(a-b) <= 1e-9*max(1, math.Abs(b)) }

func TestSteadyRateFromTheFirstSecondOn(t *testing.T) {
	meter := rates.New(0, 60)
	for s := range 10 {
		for i := range 8 {
			meter.Add(float64(s*1000+i*100), "a", 0.5, i%4 == 0)
		}
	}
	got := meter.Rates(10_000)
	if len(got) != 1 || !almostEqual(got[0].Mean, 4) || got[0].StdDev > 1e-6 || !almostEqual(got[0].WriteFraction, 0.25) {
		t.Fatalf("got %+v, want a mean of 4, no deviation and a write fraction of 0.25", got)
	}
}

// Advancing over many idle seconds at once must equal advancing second by second.
func TestIdleSecondsAtOnceAndOneByOne(t *testing.T) {
	eachSecond, atOnce := rates.New(0, 20), rates.New(0, 20)
	for s := range 5 {
		eachSecond.Add(float64(s*1000), "a", float64(s), false)
		atOnce.Add(float64(s*1000), "a", float64(s), false)
	}
	for s := 6; s < 40; s++ {
		eachSecond.Rates(float64(s * 1000))
	}
	gotEach, gotAtOnce := eachSecond.Rates(40_000), atOnce.Rates(40_000)
	if len(gotEach) != 1 || len(gotAtOnce) != 1 || !almostEqual(gotEach[0].Mean, gotAtOnce[0].Mean) || !almostEqual(gotEach[0].StdDev, gotAtOnce[0].StdDev) {
		t.Fatalf("got %+v second by second, %+v at once, want equal rates", gotEach, gotAtOnce)
	}
}

func TestIdleVolumesDecayAndAreRemoved(t *testing.T) {
	meter := rates.New(0, 2)
	meter.Add(0, "a", 100, false)
	if got := meter.Rates(0); got != nil {
		t.Fatalf("first second not over: got %+v, want none", got)
	}
	early, late := meter.Rates(1000)[0].Mean, meter.Rates(10_000)[0].Mean
	if early < 99 || late > 2 {
		t.Fatalf("mean %g after 1 s, %g after 10 s, want at least 99, then at most 2", early, late)
	}
	if got := meter.Rates(200_000); len(got) != 0 {
		t.Fatalf("got %+v after 200 s without requests, want none", got)
	}
}

func TestMergeAddsMeansAndDeviations(t *testing.T) {
	got := rates.Merge([]rates.Rate{{"b", 1, 3, 1}, {"c", 5, 0, 0}}, []rates.Rate{{"a", 2, 0, 0}, {"b", 3, 4, 0}})
	want := []rates.Rate{{"a", 2, 0, 0}, {"b", 4, 5, 0.25}, {"c", 5, 0, 0}}
	for i := range want {
		if len(got) != 3 || got[i] != want[i] {
			t.Fatalf("got %+v, want %+v", got, want)
		}
	}
}

func TestRateOfOneVolume(t *testing.T) {
	meter := rates.New(0, 60)
	if got := meter.VolumeRate(0, "a"); got != 0 {
		t.Errorf("got rate %g for an unknown volume, want 0", got)
	}
	for s := range 5 {
		meter.Add(float64(s*1000), "a", 7, false)
	}
	if got := meter.VolumeRate(4999, "a"); !almostEqual(got, 7) {
		t.Errorf("got rate %g, want 7", got)
	}
	if meter.Add(4999, "a", 700, false); meter.VolumeRate(4999, "a") < 100 {
		t.Error("a surge in the current second does not count")
	}
}
