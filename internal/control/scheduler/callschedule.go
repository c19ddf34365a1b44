package scheduler

import (
	"slices"
	"time"
)

// Timeouts and intervals of calls to discovery.
const (
	// Discovery sends a message or an empty line on an open watch every 2 s. A watch that has said
	// neither for watchSilenceTimeout may be broken, and another call is opened beside it.
	watchSilenceTimeout = 2300 * time.Millisecond
	// A call without an answer is not given up for the next one, since a slow discovery may answer all
	// of them late. Every patientCallInterval one begins that waits for callPatience. Discovery takes a
	// change as delivered 6 s after it could be reached, so these two together are no more than that.
	callPatience        = 4 * time.Second
	patientCallInterval = 2 * time.Second
	// One call at a time waits for longer, so that a discovery slower than callPatience is heard too:
	// its patience doubles with each that ends without a line.
	minLongPatience = 2 * callPatience
	maxLongPatience = time.Minute
	// The next call follows one without an answer after twice the last response time, within these
	// bounds. The upper one bounds how late the return of a discovery that was down is noticed.
	minCallInterval = 500 * time.Millisecond
	maxCallInterval = time.Second
	// Backoff after a call that failed at once: it doubles with each.
	minCallBackoff = 50 * time.Millisecond
	maxCallBackoff = 200 * time.Millisecond
	// maxOpenCalls bounds the calls that are open at a time. Beyond it the youngest gives way.
	maxOpenCalls = 6
)

// callSchedule decides when the next call to discovery is opened and how long each may be silent. It
// does no I/O and is not safe for concurrent use. Times are those of env.Environment.Now.
type callSchedule struct {
	calls        []*discoveryCall // open calls, oldest first
	nextAt       time.Duration    // when the next call is due as far as calls without an answer are concerned
	backoff      time.Duration
	longPatience time.Duration
	responseTime time.Duration // of the last response, from the call's start to the response's head
}

func newCallSchedule(now time.Duration) callSchedule {
	return callSchedule{nextAt: now, backoff: minCallBackoff, longPatience: minLongPatience}
}

// due returns when the next call is to be opened.
func (s *callSchedule) due() time.Duration {
	due := s.nextAt
	for _, c := range s.calls {
		if c.answered {
			due = max(due, c.heardAt+watchSilenceTimeout)
		}
	}
	return due
}

// begin adds a call that starts now. If too many are open, it removes the youngest of them and returns
// it too.
func (s *callSchedule) begin(now time.Duration) (call, displaced *discoveryCall) {
	if len(s.calls) >= maxOpenCalls {
		displaced = s.calls[len(s.calls)-1]
		s.remove(displaced)
	}
	call = &discoveryCall{beganAt: now, patience: s.nextPatience(now)}
	s.calls = append(s.calls, call)
	s.nextAt = now + s.interval()
	return call, displaced
}

// interval returns the time between a call without an answer and the next one.
func (s *callSchedule) interval() time.Duration {
	return min(max(2*s.responseTime, minCallInterval), maxCallInterval)
}

// nextPatience returns how long a call that starts now may take to answer.
func (s *callSchedule) nextPatience(now time.Duration) time.Duration {
	hasLong, hasPatient := false, false
	for _, c := range s.calls {
		if c.established {
			continue
		}
		hasLong = hasLong || c.patience >= minLongPatience
		hasPatient = hasPatient || c.patience == callPatience && now-c.beganAt < patientCallInterval
	}
	switch {
	case !hasLong:
		return s.longPatience
	case !hasPatient:
		return callPatience
	}
	return s.interval()
}

// headReceived records that the head of a call's response has come.
func (s *callSchedule) headReceived(c *discoveryCall, now time.Duration) {
	c.answered, c.heardAt = true, now
	c.patience = max(c.patience, callPatience)
	s.responseTime = now - c.beganAt
}

// lineReceived records that a message or an empty line has come on a watch. It removes the other calls,
// which are not needed any more, and returns them.
func (s *callSchedule) lineReceived(c *discoveryCall, now time.Duration) (others []*discoveryCall) {
	c.established, c.heardAt, c.patience = true, now, callPatience
	s.backoff, s.longPatience = minCallBackoff, minLongPatience
	others = slices.DeleteFunc(s.calls, func(other *discoveryCall) bool { return other == c })
	s.calls = []*discoveryCall{c}
	return others
}

// reset removes all calls and returns them. The next call is due now.
func (s *callSchedule) reset(now time.Duration) []*discoveryCall {
	calls := s.calls
	s.calls, s.nextAt = nil, now
	return calls
}

// ended removes a call that has ended by itself. timedOut tells that its patience was over, as opposed
// to a failure.
func (s *callSchedule) ended(c *discoveryCall, now time.Duration, timedOut bool) {
	youngest := len(s.calls) > 0 && s.calls[len(s.calls)-1] == c
	s.remove(c)
	switch {
	case !timedOut && (youngest || c.answered):
		if s.nextAt <= now || s.nextAt > now+s.backoff {
			s.nextAt = now + s.backoff
		}
		s.backoff = min(2*s.backoff, maxCallBackoff)
	case timedOut && !c.established && c.patience >= minLongPatience:
		s.longPatience = min(2*s.longPatience, maxLongPatience)
	}
}

func (s *callSchedule) remove(c *discoveryCall) {
	s.calls = slices.DeleteFunc(s.calls, func(other *discoveryCall) bool { return other == c })
}
