package soak

import (
	"testing"
	"time"
)

const second = time.Second

// newValidRecord is a record in which all rules are kept: one request served by a server, which then
// drains.
func newValidRecord() *Record {
	record := NewRecord()
	record.Requests = []*Request{{ID: "a", Timeout: second, SentAt: 10 * second, AnsweredAt: 10*second + 50*time.Millisecond, Status: 200, Body: "a"}}
	record.Attempts = []*Attempt{{ID: "a", FirstByteAt: 10 * second, LastByteAt: 10 * second, Timeout: second, Served: true}}
	record.HealthChanges = []HealthChange{{Health: "leaving", EffectiveAt: 10*second + 100*time.Millisecond}}
	return record
}

// addLimitedRequests adds so many requests of one addLimitedRequests volume, each that much after the one before.
func addLimitedRequests(record *Record, count int, interval time.Duration) {
	for i := range count {
		id, sentAt := string(rune('A'+i)), 10*second+time.Duration(i)*interval
		record.Requests = append(record.Requests, &Request{ID: id, LimitedVolume: 7, Timeout: second, SentAt: sentAt, AnsweredAt: sentAt + time.Millisecond, Status: 200, Body: id})
		record.Attempts = append(record.Attempts, &Attempt{ID: id, Server: 9, FirstByteAt: sentAt, LastByteAt: sentAt, Timeout: second, Served: true})
	}
}

func testRules() Rules {
	return Rules{DrainGrace: second / 2, KeyTTL: 6 * second, MaxAttempts: 2, ColdUnits: 8, ColdCapacity: 0.25, OverloadWindow: second, WarmUpTime: 10 * second,
		VolumeRate: 10, VolumeBurst: 4, VolumeBurstSlack: 2, HostSlack: 100 * time.Millisecond}
}

// Each rule is found broken in a record that breaks it, and none in one just inside it.
func TestCheckFindsEachViolation(t *testing.T) {
	for name, tt := range map[string]struct {
		change func(r *Record)
		rule   string // that is broken; "": none
	}{
		"within its limit":   {func(record *Record) { addLimitedRequests(record, 4, 0) }, ""},
		"past its limit":     {func(r *Record) { addLimitedRequests(r, 5, 0) }, "limit"},
		"past it with time":  {func(r *Record) { addLimitedRequests(r, 5, 200*time.Millisecond) }, ""},
		"good":               {func(*Record) {}, ""},
		"late answer":        {func(r *Record) { r.Requests[0].AnsweredAt = 11*second + 590*time.Millisecond }, ""},
		"too late an answer": {func(r *Record) { r.Requests[0].AnsweredAt = 11*second + 610*time.Millisecond }, "lost"},
		"another's answer":   {func(r *Record) { r.Requests[0].Body = "b" }, "lost"},
		"served by nobody":   {func(r *Record) { r.Attempts[0].Served = false }, "lost"},
		"no answer": {func(r *Record) {
			*r.Requests[0] = Request{ID: "a", Timeout: second, SentAt: 10 * second, AbandonedAt: 12 * second}
		}, "lost"},
		"left early": {func(r *Record) {
			*r.Requests[0] = Request{ID: "a", Timeout: second, SentAt: 10 * second, AbandonedAt: 10500 * time.Millisecond}
		}, ""},
		"begun after it left": {func(r *Record) {
			*r.Requests[0] = Request{ID: "a", Timeout: second, SentAt: 9 * second, AbandonedAt: 9700 * time.Millisecond}
		}, "lost"},
		"closed, sent on": {func(r *Record) {
			*r.Requests[0] = Request{ID: "a", Timeout: second, SentAt: 10 * second, ConnLostAt: 10500 * time.Millisecond}
		}, "lost"},
		"closed unread": {func(r *Record) {
			*r.Requests[0] = Request{ID: "a", Timeout: second, SentAt: 10 * second, ConnLostAt: 10500 * time.Millisecond}
			r.Attempts = nil
		}, ""},
		"read, and closed": {func(r *Record) { q := r.Requests[0]; q.Status, q.Resent = 409, true }, "lost"},
		"broke in its answer": {func(r *Record) {
			*r.Requests[0] = Request{ID: "a", Timeout: second, SentAt: 10 * second, ConnLostAt: 10500 * time.Millisecond, BrokenMidResponse: true}
			r.Attempts = nil
		}, "lost"},
		"process killed": {func(r *Record) {
			*r.Requests[0] = Request{ID: "a", Timeout: second, SentAt: 10 * second, ConnLostAt: 10500 * time.Millisecond}
			r.Exits = []ProcessExit{{ExitedAt: 10500 * time.Millisecond, Killed: true}}
		}, ""},
		"killed after SIGTERM": {func(r *Record) {
			*r.Requests[0] = Request{ID: "a", Timeout: second, SentAt: 10 * second, ConnLostAt: 10500 * time.Millisecond}
			r.Exits = []ProcessExit{{SigtermAt: 9 * second, ExitedAt: 10500 * time.Millisecond, Killed: true}}
		}, "lost"},
		"crashed": {func(r *Record) { r.Exits = []ProcessExit{{ExitedAt: 20 * second, Crashed: true}} }, "crash"},
		"did not end": {func(r *Record) {
			r.Exits = []ProcessExit{{SigtermAt: 15 * second, ExitedAt: 20 * second, Killed: true}}
		}, "stop"},
		"drain in its grace": {func(r *Record) { r.HealthChanges[0].EffectiveAt = 9400 * time.Millisecond }, ""},
		"drain after it":     {func(r *Record) { r.HealthChanges[0].EffectiveAt = 9300 * time.Millisecond }, "drain"},
		"active again": {func(r *Record) {
			r.HealthChanges[0].EffectiveAt = 9 * second
			r.HealthChanges = append(r.HealthChanges, HealthChange{Health: "active", EffectiveAt: 9500 * time.Millisecond})
		}, ""},
		"another's server":   {func(r *Record) { r.HealthChanges[0].EffectiveAt, r.HealthChanges[0].Server = 9*second, 1 }, ""},
		"told too much":      {func(r *Record) { r.Attempts[0].Timeout = 1260 * time.Millisecond }, "deadline"},
		"told a little more": {func(r *Record) { r.Attempts[0].Timeout = 1240 * time.Millisecond }, ""},
		"three attempts": {func(r *Record) {
			r.Attempts = append(r.Attempts, &Attempt{ID: "a", FirstByteAt: 10 * second}, &Attempt{ID: "a", FirstByteAt: 10 * second})
		}, "attempts"},
		"repeat too late": {func(r *Record) {
			r.Requests[0].Timeout, r.Requests[0].AnsweredAt = 20*second, 20*second
			r.Attempts = append(r.Attempts, &Attempt{ID: "a", FirstByteAt: 17 * second})
			r.HealthChanges = nil
		}, "duplicate"},
		"nobody's request": {func(r *Record) { r.Attempts[0].ID = "z"; r.Requests = nil }, "unknown"},
		"cold, within":     {func(r *Record) { setColdStartRequests(r, 13) }, ""},
		"cold, overloaded": {func(r *Record) { setColdStartRequests(r, 14) }, "failback"},
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

// setColdStartRequests has a server start and get so many requests at once. It bears four, and falls above
// 4 + 3 x 2 + 3 of them.
func setColdStartRequests(record *Record, count int) {
	record.HealthChanges = []HealthChange{{Health: "active", EffectiveAt: 9 * second, StartedAt: 9 * second}}
	for len(record.Attempts) < count {
		request := *record.Requests[0]
		attempt := *record.Attempts[0]
		request.ID += string(rune('a' + len(record.Attempts)))
		attempt.ID, request.Body = request.ID, request.ID
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

// The same seed draws the same faults, another one others.
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
		t.Errorf("%d, %d and %d faults", len(first), len(second), len(otherSeed))
	}
}

func TestValidateOptions(t *testing.T) {
	if err := DefaultOptions().Validate(); err != nil {
		t.Error(err)
	}
	for name, change := range map[string]func(*Options){
		"no servers":   func(options *Options) { options.Servers = 0 },
		"many servers": func(o *Options) { o.Servers = 5001 },
		"no share":     func(o *Options) { o.CoreShare = 0 },
		"schedulers":   func(o *Options) { o.Schedulers = -1 },
		"leaves":       func(o *Options) { o.AbandonProbability = 1.5 },
	} {
		o := DefaultOptions()
		if change(&o); o.Validate() == nil {
			t.Errorf("%s: taken", name)
		}
	}
}
