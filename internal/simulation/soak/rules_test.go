package soak

import (
	"testing"
	"time"
)

const second = time.Second

// newValidRecord returns a record without violations: one served request, whose server then
// drains.
func newValidRecord() *Record {
	record := NewRecord()
	record.Requests = []*Request{{ID: "a", Timeout: second, SentAt: 10 * second, AnsweredAt: 10*second + 50*time.Millisecond, Status: 200, Body: "a"}}
	record.Attempts = []*Attempt{{ID: "a", FirstByteAt: 10 * second, LastByteAt: 10 * second, Timeout: second, Served: true, BodyBytes: 1}}
	record.HealthChanges = []HealthChange{{Health: "leaving", EffectiveAt: 10*second + 100*time.Millisecond}}
	return record
}

// addLimitedRequests adds count requests to one limited volume, one per interval.
func addLimitedRequests(record *Record, count int, interval time.Duration) {
	for i := range count {
		id, sentAt := string(rune('A'+i)), 10*second+time.Duration(i)*interval
		record.Requests = append(record.Requests, &Request{ID: id, LimitedVolume: 7, Timeout: second, SentAt: sentAt, AnsweredAt: sentAt + time.Millisecond, Status: 200, Body: id})
		record.Attempts = append(record.Attempts, &Attempt{ID: id, Server: 9, FirstByteAt: sentAt, LastByteAt: sentAt, Timeout: second, Served: true, BodyBytes: 1})
	}
}

func testRules() Rules {
	return Rules{DrainGrace: second / 2, KeyTTL: 6 * second, MaxAttempts: 2, ColdUnits: 8, ColdCapacity: 0.25, OverloadWindow: second, WarmUpTime: 10 * second,
		VolumeRate: 10, VolumeBurst: 4, VolumeBurstSlack: 2, HostSlack: 100 * time.Millisecond}
}

// Check must report a record that breaks a rule, and accept one just within it.
func TestCheckFindsEachViolation(t *testing.T) {
	for name, tt := range map[string]struct {
		change func(r *Record)
		rule   string // expected violation; "": none
	}{
		"volume within its limit":         {func(record *Record) { addLimitedRequests(record, 4, 0) }, ""},
		"volume beyond its limit":         {func(r *Record) { addLimitedRequests(r, 5, 0) }, "limit"},
		"volume burst refilled over time": {func(r *Record) { addLimitedRequests(r, 5, 200*time.Millisecond) }, ""},
		"valid record":                    {func(*Record) {}, ""},
		"response just within the slack":  {func(r *Record) { r.Requests[0].AnsweredAt = 11*second + 590*time.Millisecond }, ""},
		"response after the slack":        {func(r *Record) { r.Requests[0].AnsweredAt = 11*second + 610*time.Millisecond }, "lost"},
		"response to another request":     {func(r *Record) { r.Requests[0].Body = "b" }, "lost"},
		"200 without a serving attempt":   {func(r *Record) { r.Attempts[0].Served = false }, "lost"},
		"body cut off":                    {func(r *Record) { r.Attempts[0].BodyBytes = 2 }, "lost"},
		"no response": {func(r *Record) {
			*r.Requests[0] = Request{ID: "a", Timeout: second, SentAt: 10 * second, AbandonedAt: 12 * second}
		}, "lost"},
		"abandoned before the deadline": {func(r *Record) {
			*r.Requests[0] = Request{ID: "a", Timeout: second, SentAt: 10 * second, AbandonedAt: 10500 * time.Millisecond}
		}, ""},
		"attempt after the client left": {func(r *Record) {
			*r.Requests[0] = Request{ID: "a", Timeout: second, SentAt: 9 * second, AbandonedAt: 9700 * time.Millisecond}
		}, "lost"},
		"connection ended, attempt sent": {func(r *Record) {
			*r.Requests[0] = Request{ID: "a", Timeout: second, SentAt: 10 * second, ConnLostAt: 10500 * time.Millisecond}
		}, "lost"},
		"connection ended, nothing sent": {func(r *Record) {
			*r.Requests[0] = Request{ID: "a", Timeout: second, SentAt: 10 * second, ConnLostAt: 10500 * time.Millisecond}
			r.Attempts = nil
		}, ""},
		"resend answered 409": {func(r *Record) { q := r.Requests[0]; q.Status, q.Resent = 409, true }, "lost"},
		"connection ended within the response": {func(r *Record) {
			*r.Requests[0] = Request{ID: "a", Timeout: second, SentAt: 10 * second, ConnLostAt: 10500 * time.Millisecond, BrokenMidResponse: true}
			r.Attempts = nil
		}, "lost"},
		"scheduler killed": {func(r *Record) {
			*r.Requests[0] = Request{ID: "a", Timeout: second, SentAt: 10 * second, ConnLostAt: 10500 * time.Millisecond}
			r.Exits = []ProcessExit{{ExitedAt: 10500 * time.Millisecond, Killed: true}}
		}, ""},
		"scheduler killed after SIGTERM": {func(r *Record) {
			*r.Requests[0] = Request{ID: "a", Timeout: second, SentAt: 10 * second, ConnLostAt: 10500 * time.Millisecond}
			r.Exits = []ProcessExit{{SigtermAt: 9 * second, ExitedAt: 10500 * time.Millisecond, Killed: true}}
		}, "lost"},
		"scheduler crashed": {func(r *Record) { r.Exits = []ProcessExit{{ExitedAt: 20 * second, Crashed: true}} }, "crash"},
		"scheduler killed after the grace": {func(r *Record) {
			r.Exits = []ProcessExit{{SigtermAt: 15 * second, ExitedAt: 20 * second, Killed: true}}
		}, "stop"},
		"attempt within the drain grace": {func(r *Record) { r.HealthChanges[0].EffectiveAt = 9400 * time.Millisecond }, ""},
		"attempt after the drain grace":  {func(r *Record) { r.HealthChanges[0].EffectiveAt = 9300 * time.Millisecond }, "drain"},
		"active again after a drain": {func(r *Record) {
			r.HealthChanges[0].EffectiveAt = 9 * second
			r.HealthChanges = append(r.HealthChanges, HealthChange{Health: "active", EffectiveAt: 9500 * time.Millisecond})
		}, ""},
		"another server drains":    {func(r *Record) { r.HealthChanges[0].EffectiveAt, r.HealthChanges[0].Server = 9*second, 1 }, ""},
		"timeout beyond the slack": {func(r *Record) { r.Attempts[0].Timeout = 1260 * time.Millisecond }, "deadline"},
		"timeout within the slack": {func(r *Record) { r.Attempts[0].Timeout = 1240 * time.Millisecond }, ""},
		"more than MaxAttempts": {func(r *Record) {
			r.Attempts = append(r.Attempts, &Attempt{ID: "a", FirstByteAt: 10 * second}, &Attempt{ID: "a", FirstByteAt: 10 * second})
		}, "attempts"},
		"attempt after the key TTL": {func(r *Record) {
			r.Requests[0].Timeout, r.Requests[0].AnsweredAt = 20*second, 20*second
			r.Attempts = append(r.Attempts, &Attempt{ID: "a", FirstByteAt: 17 * second})
			r.HealthChanges = nil
		}, "duplicate"},
		"attempt of an unknown request": {func(r *Record) { r.Attempts[0].ID = "z"; r.Requests = nil }, "unknown"},
		"cold server within its budget": {func(r *Record) { setColdStartRequests(r, 13) }, ""},
		"cold server beyond its budget": {func(r *Record) { setColdStartRequests(r, 14) }, "failback"},
	} {
		r := newValidRecord()
		tt.change(r)
		violations := testRules().Check(r)
		switch {
		case tt.rule == "" && len(violations) > 0:
			t.Errorf("%s: %v", name, violations)
		case tt.rule != "" && (len(violations) == 0 || violations[0].Rule != tt.rule):
			t.Errorf("%s: %v, want %s", name, violations, tt.rule)
		}
	}
}

// A run in which a kind of faulty response never came must fail, and one with each kind must not.
func TestEachResponseFaultMustBeTried(t *testing.T) {
	rules, record := testRules(), newValidRecord()
	rules.AllResponseFaults = true
	for fault := range responseFaultCount - 1 {
		record.addResponseFault(fault)
	}
	violations := rules.Check(record)
	if len(violations) != 1 || violations[0].Rule != "untried" {
		t.Errorf("without a second response: got %v, want one violation of rule untried", violations)
	}
	record.addResponseFault(responseFaultCount - 1)
	if violations := rules.Check(record); len(violations) > 0 {
		t.Errorf("with each kind: got %v, want no violation", violations)
	}
}

// The faults of responses come in turn, each kind with each end of the stated length.
func TestResponseFaultsComeInTurn(t *testing.T) {
	const interval, lengthEnds = 3, 5
	type faultAndEnd struct {
		fault ResponseFault
		end   int
	}
	sequence := faultSequence{interval: interval}
	seen := map[faultAndEnd]int{}
	for range interval * lengthEnds * int(responseFaultCount) {
		if fault, end, faulty := sequence.next(); faulty {
			seen[faultAndEnd{fault, end}]++
		}
	}
	if want := lengthEnds * int(responseFaultCount); len(seen) != want {
		t.Errorf("got %d combinations of kind and end, want each of %d once: %v", len(seen), want, seen)
	}
}

// setColdStartRequests makes server 0 start and get count requests at once. Its cold budget is
// 8 units of 2 per request, so 4 + 3*sqrt(4) + 3 = 13 requests.
func setColdStartRequests(record *Record, count int) {
	record.HealthChanges = []HealthChange{{Health: "active", EffectiveAt: 9 * second, StartedAt: 9 * second}}
	for len(record.Attempts) < count {
		request := *record.Requests[0]
		attempt := *record.Attempts[0]
		request.ID += string(rune('a' + len(record.Attempts)))
		attempt.ID, attempt.BodyBytes, request.Body = request.ID, len(request.ID), request.ID
		record.Requests, record.Attempts = append(record.Requests, &request), append(record.Attempts, &attempt)
	}
	for _, attempt := range record.Attempts {
		attempt.FirstByteAt, attempt.LastByteAt = 9*second, 9*second
		attempt.Timeout = second
	}
	for _, request := range record.Requests {
		request.SentAt, request.AnsweredAt = 9*second, 9*second+50*time.Millisecond
	}
}

func TestDrawIsDeterminedBySeed(t *testing.T) {
	options := DefaultOptions()
	draw := func(seed uint64) (out []Fault) {
		options.Seed = seed
		return DrawFaults(options)
	}
	first, second, otherSeed := draw(1), draw(1), draw(2)
	equal := func(x, y []Fault) bool {
		if len(x) != len(y) {
			return false
		}
		for i := range x {
			if x[i].At != y[i].At || x[i].Name != y[i].Name {
				return false
			}
		}
		return true
	}
	if !equal(first, second) || equal(first, otherSeed) {
		t.Errorf("got %d and %d faults for one seed, %d for another; want the first two equal, the third different", len(first), len(second), len(otherSeed))
	}
}

func TestValidateOptions(t *testing.T) {
	if err := DefaultOptions().Validate(); err != nil {
		t.Error(err)
	}
	for name, change := range map[string]func(*Options){
		"no servers":          func(options *Options) { options.Servers = 0 },
		"too many servers":    func(o *Options) { o.Servers = 5001 },
		"no core share":       func(o *Options) { o.CoreShare = 0 },
		"negative schedulers": func(o *Options) { o.Schedulers = -1 },
		"abandon probability": func(o *Options) { o.AbandonProbability = 1.5 },
	} {
		o := DefaultOptions()
		if change(&o); o.Validate() == nil {
			t.Errorf("%s: accepted", name)
		}
	}
}
