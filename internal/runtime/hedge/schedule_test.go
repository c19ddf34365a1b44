package hedge

import (
	"context"
	"slices"
	"testing"
	"time"
)

var testConfig = Config{
	Silence: 2300 * time.Millisecond, Patience: 4 * time.Second, PatientInterval: 2 * time.Second, MinLongPatience: 8 * time.Second, MaxLongPatience: time.Minute,
	MinInterval: 500 * time.Millisecond, MaxInterval: time.Second, MinBackoff: 50 * time.Millisecond, MaxBackoff: 200 * time.Millisecond, MaxOpen: 6, MaxHeldBytes: 1 << 20,
}

// play opens calls as they are due until the time end, and ends each as its patience is over. It returns
// when calls began and their patience.
func play(s *schedule, end time.Duration, opened func(c *Call)) (begunAt, patience []time.Duration) {
	const step = 10 * time.Millisecond
	for now := time.Duration(0); now <= end; now += step {
		for _, c := range slices.Clone(s.calls) {
			if now-max(c.beganAt, c.heardAt) >= c.patience {
				s.ended(c, now, true)
			}
		}
		if s.due() <= now {
			_, cancel := context.WithCancel(context.Background())
			c := &Call{cancel: cancel}
			s.begin(c, now)
			begunAt, patience = append(begunAt, c.beganAt), append(patience, c.patience)
			opened(c)
		}
	}
	return begunAt, patience
}

// Where nothing answers, a call of each patience must begin often enough: an answer that comes later than
// one call waits would never be heard otherwise.
func TestCallsOfEachPatience(t *testing.T) {
	s := newSchedule(testConfig, 0)
	maxOpen := 0
	begunAt, patience := play(&s, 60*time.Second, func(*Call) { maxOpen = max(maxOpen, len(s.calls)) })
	lastPatientAt, longest := time.Duration(0), time.Duration(0)
	for i, at := range begunAt {
		longest = max(longest, patience[i])
		if i > 0 && at-begunAt[i-1] > testConfig.MinInterval {
			t.Errorf("call at %s, %s after the one before", at, at-begunAt[i-1])
		}
		if patience[i] != testConfig.Patience {
			continue
		}
		if at-lastPatientAt > testConfig.PatientInterval {
			t.Errorf("patient call at %s, %s after the one before", at, at-lastPatientAt)
		}
		lastPatientAt = at
	}
	if maxOpen != 4 || longest != time.Minute {
		t.Errorf("got %d calls at a time and %s as the longest patience, want 4 and 1 min", maxOpen, longest)
	}
}

// The interval must follow the last response time, within its bounds: calls to a peer that is known to be
// slow would load it for nothing.
func TestIntervalFollowsTheResponseTime(t *testing.T) {
	for responseTime, want := range map[time.Duration]time.Duration{
		0:                      500 * time.Millisecond,
		300 * time.Millisecond: 600 * time.Millisecond,
		3 * time.Second:        time.Second,
	} {
		s := newSchedule(testConfig, 0)
		c := &Call{}
		s.begin(c, 0)
		s.answered(c, responseTime)
		s.ended(c, responseTime, false)
		if got := s.interval(); got != want {
			t.Errorf("response time %s: got interval %s, want %s", responseTime, got, want)
		}
	}
}

// The next call must begin one silence after the last word of a call, and not before.
func TestNextCallWaitsForSilence(t *testing.T) {
	s := newSchedule(testConfig, 0)
	begunAt, _ := play(&s, 10*time.Second, func(c *Call) { s.heard(c, c.beganAt) })
	want := []time.Duration{0, 2300 * time.Millisecond, 4600 * time.Millisecond, 6900 * time.Millisecond, 9200 * time.Millisecond}
	if !slices.Equal(begunAt, want) {
		t.Errorf("got calls at %v, want %v", begunAt, want)
	}
}

// Calls that fail at once must be repeated after a backoff that grows to its bound, and start again from the
// least one after a word.
func TestBackoff(t *testing.T) {
	s := newSchedule(testConfig, 0)
	begunAt, _ := play(&s, time.Second, func(c *Call) { s.ended(c, c.beganAt, false) })
	want := []time.Duration{0, 50 * time.Millisecond, 150 * time.Millisecond, 350 * time.Millisecond, 550 * time.Millisecond, 750 * time.Millisecond, 950 * time.Millisecond}
	if !slices.Equal(begunAt, want) {
		t.Errorf("got calls at %v, want %v", begunAt, want)
	}
	c := &Call{}
	s.begin(c, 2*time.Second)
	s.heard(c, 2*time.Second)
	s.ended(c, 3*time.Second, false)
	if got, want := s.due(), 3050*time.Millisecond; got != want {
		t.Errorf("after a word: next call at %s, want %s", got, want)
	}
}

// A failure of an older call must not make the next one begin at once.
func TestOlderFailureDoesNotHasten(t *testing.T) {
	s := newSchedule(testConfig, 0)
	first, second := &Call{}, &Call{}
	s.begin(first, 0)
	s.begin(second, 500*time.Millisecond)
	s.ended(first, 600*time.Millisecond, false)
	if got, want := s.due(), time.Second; got != want {
		t.Errorf("next call at %s, want %s", got, want)
	}
}
