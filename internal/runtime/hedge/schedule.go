package hedge

import (
	"slices"
	"time"
)

// Config has the times and bounds of a Follower.
type Config struct {
	// Silence is how long a call may say nothing, after it has said something, before another is
	// opened beside it.
	Silence time.Duration
	// Every PatientInterval one call begins that waits for its answer for Patience.
	Patience, PatientInterval time.Duration
	// One call at a time waits for longer, so that a peer slower than Patience is heard too: its
	// patience doubles with each that ends without a word, from MinLongPatience to MaxLongPatience.
	MinLongPatience, MaxLongPatience time.Duration
	// The next call follows one without an answer after twice the last response time, within these
	// bounds. The upper one bounds how late the return of a peer is noticed.
	MinInterval, MaxInterval time.Duration
	// Backoff after a call that failed at once: it doubles with each.
	MinBackoff, MaxBackoff time.Duration
	// MaxOpen bounds the calls that are open at a time. Beyond it the youngest gives way.
	MaxOpen int
	// MaxHeldBytes bounds the bytes of incomplete messages that all calls hold together.
	MaxHeldBytes int
}

// schedule decides when the next call is opened and how long each may be silent. It does no I/O and is
// not safe for concurrent use. Times are those of env.Environment.Now.
type schedule struct {
	Config
	calls        []*Call       // open calls, oldest first
	nextAt       time.Duration // when the next call is due as far as calls without an answer are concerned
	backoff      time.Duration
	longPatience time.Duration
	responseTime time.Duration // of the last response, from the call's start to its first bytes
}

func newSchedule(config Config, now time.Duration) schedule {
	return schedule{Config: config, nextAt: now, backoff: config.MinBackoff, longPatience: config.MinLongPatience}
}

// due returns when the next call is to be opened.
func (s *schedule) due() time.Duration {
	due := s.nextAt
	for _, c := range s.calls {
		if c.answered {
			due = max(due, c.heardAt+s.Silence)
		}
	}
	return due
}

// begin adds a call that starts now. If too many are open, it removes the youngest of them and returns
// it.
func (s *schedule) begin(c *Call, now time.Duration) (displaced *Call) {
	if len(s.calls) >= s.MaxOpen {
		displaced = s.calls[len(s.calls)-1]
		s.remove(displaced)
	}
	c.beganAt, c.patience = now, s.nextPatience(now)
	s.calls = append(s.calls, c)
	s.nextAt = now + s.interval()
	return displaced
}

// interval returns the time between a call without an answer and the next one.
func (s *schedule) interval() time.Duration {
	return min(max(2*s.responseTime, s.MinInterval), s.MaxInterval)
}

// nextPatience returns how long a call that starts now may take to answer.
func (s *schedule) nextPatience(now time.Duration) time.Duration {
	hasLong, hasPatient := false, false
	for _, c := range s.calls {
		if c.established {
			continue
		}
		hasLong = hasLong || c.patience >= s.MinLongPatience
		hasPatient = hasPatient || c.patience == s.Patience && now-c.beganAt < s.PatientInterval
	}
	switch {
	case !hasLong:
		return s.longPatience
	case !hasPatient:
		return s.Patience
	}
	return s.interval()
}

// answered records that the first bytes of a call's response have come.
func (s *schedule) answered(c *Call, now time.Duration) {
	c.answered, c.heardAt = true, now
	c.patience = max(c.patience, s.Patience)
	s.responseTime = now - c.beganAt
}

// heard records that a call has said something. It removes the other calls, which are not needed any
// more, and returns them.
func (s *schedule) heard(c *Call, now time.Duration) (others []*Call) {
	if !c.answered {
		s.responseTime = now - c.beganAt
	}
	c.answered, c.established, c.heardAt, c.patience = true, true, now, s.Patience
	s.backoff, s.longPatience = s.MinBackoff, s.MinLongPatience
	others = slices.DeleteFunc(s.calls, func(other *Call) bool { return other == c })
	s.calls = []*Call{c}
	return others
}

// reset removes all calls and returns them. The next call is due now.
func (s *schedule) reset(now time.Duration) []*Call {
	calls := s.calls
	s.calls, s.nextAt = nil, now
	return calls
}

// ended removes a call that has ended by itself. timedOut tells that its patience was over, as opposed
// to a failure.
func (s *schedule) ended(c *Call, now time.Duration, timedOut bool) {
	youngest := len(s.calls) > 0 && s.calls[len(s.calls)-1] == c
	s.remove(c)
	switch {
	case !timedOut && (youngest || c.answered):
		if s.nextAt <= now || s.nextAt > now+s.backoff {
			s.nextAt = now + s.backoff
		}
		s.backoff = min(2*s.backoff, s.MaxBackoff)
	case timedOut && !c.established && c.patience >= s.MinLongPatience:
		s.longPatience = min(2*s.longPatience, s.MaxLongPatience)
	}
}

func (s *schedule) remove(c *Call) {
	s.calls = slices.DeleteFunc(s.calls, func(other *Call) bool { return other == c })
}
