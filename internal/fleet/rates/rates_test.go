package rates_test

import (
	"math"
	"testing"

	"merlinhitch/internal/fleet/rates"
)

func near(a, b float64) bool { return math.Abs(a-b) <= 1e-9*max(1, math.Abs(b)) }

func TestSteadyRateFromTheFirstSecondOn(t *testing.T) {
	m := rates.New(0, 60)
	for s := range 10 {
		for i := range 8 {
			m.Add(float64(s*1000+i*100), "a", 0.5, i%4 == 0)
		}
	}
	got := m.Rates(10_000)
	if len(got) != 1 || !near(got[0].Mean, 4) || got[0].StdDev > 1e-6 || !near(got[0].WriteFraction, 0.25) {
		t.Fatalf("%+v", got)
	}
}

// Closing many idle seconds at once gives what closing each would.
func TestIdleSecondsAtOnceAndOneByOne(t *testing.T) {
	one, all := rates.New(0, 20), rates.New(0, 20)
	for s := range 5 {
		one.Add(float64(s*1000), "a", float64(s), false)
		all.Add(float64(s*1000), "a", float64(s), false)
	}
	for s := 6; s < 40; s++ {
		one.Rates(float64(s * 1000))
	}
	a, b := one.Rates(40_000), all.Rates(40_000)
	if len(a) != 1 || len(b) != 1 || !near(a[0].Mean, b[0].Mean) || !near(a[0].StdDev, b[0].StdDev) {
		t.Fatalf("%+v and %+v", a, b)
	}
}

func TestSilentVolumesFadeAndAreForgotten(t *testing.T) {
	m := rates.New(0, 2)
	m.Add(0, "a", 100, false)
	if got := m.Rates(0); got != nil {
		t.Fatalf("before any second is over: %+v", got)
	}
	early, late := m.Rates(1000)[0].Mean, m.Rates(10_000)[0].Mean
	if early < 99 || late > 2 {
		t.Fatalf("%g, then %g", early, late)
	}
	if got := m.Rates(200_000); len(got) != 0 {
		t.Fatalf("not forgotten: %+v", got)
	}
}

func TestJoinAddsMeansAndSpreads(t *testing.T) {
	got := rates.Merge([]rates.Rate{{"b", 1, 3, 1}, {"c", 5, 0, 0}}, []rates.Rate{{"a", 2, 0, 0}, {"b", 3, 4, 0}})
	want := []rates.Rate{{"a", 2, 0, 0}, {"b", 4, 5, 0.25}, {"c", 5, 0, 0}}
	for i := range want {
		if len(got) != 3 || got[i] != want[i] {
			t.Fatalf("%+v, want %+v", got, want)
		}
	}
}

func TestRateOfOneVolume(t *testing.T) {
	m := rates.New(0, 60)
	if got := m.VolumeRate(0, "a"); got != 0 {
		t.Errorf("%g of a volume never seen", got)
	}
	for s := range 5 {
		m.Add(float64(s*1000), "a", 7, false)
	}
	if got := m.VolumeRate(4999, "a"); !near(got, 7) {
		t.Errorf("%g, want 7", got)
	}
	if m.Add(4999, "a", 700, false); m.VolumeRate(4999, "a") < 100 {
		t.Error("a surge in the second under way is not seen")
	}
}
