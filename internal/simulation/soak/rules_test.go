package soak

import (
	"testing"
	"time"
)

const second = time.Second

// newValidRecord is a record in which all rules are kept: one request served by a server, which then
// drains.
func newValidRecord() *Record {
	r := NewRecord()
	r.Requests = []*Request{{ID: "a", Timeout: second, SentAt: 10 * second, AnsweredAt: 10*second + 50*time.Millisecond, Status: 200, Body: "a"}}
	r.Attempts = []*Attempt{{ID: "a", FirstByteAt: 10 * second, LastByteAt: 10 * second, Timeout: second, Served: true}}
	r.HealthChanges = []HealthChange{{Health: "leaving", EffectiveAt: 10*second + 100*time.Millisecond}}
	return r
}

// addLimitedRequests adds so many requests of one addLimitedRequests volume, each that much after the one before.
func addLimitedRequests(r *Record, n int, each time.Duration) {
	for i := range n {
		id, at := string(rune('A'+i)), 10*second+time.Duration(i)*each
		r.Requests = append(r.Requests, &Request{ID: id, LimitedVolume: 7, Timeout: second, SentAt: at, AnsweredAt: at + time.Millisecond, Status: 200, Body: id})
		r.Attempts = append(r.Attempts, &Attempt{ID: id, Server: 9, FirstByteAt: at, LastByteAt: at, Timeout: second, Served: true})
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
		"within its limit":   {func(r *Record) { addLimitedRequests(r, 4, 0) }, ""},
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
		broken := testRules().Check(r)
		switch {
		case tt.rule == "" && len(broken) > 0:
			t.Errorf("%s: %v", name, broken)
		case tt.rule != "" && (len(broken) == 0 || broken[0].Rule != tt.rule):
			t.Errorf("%s: %v, want %s", name, broken, tt.rule)
		}
	}
}

// setColdStartRequests has a server start and get so many requests at once. It bears four, and falls above
// 4 + 3 x 2 + 3 of them.
func setColdStartRequests(r *Record, n int) {
	r.HealthChanges = []HealthChange{{Health: "active", EffectiveAt: 9 * second, StartedAt: 9 * second}}
	for len(r.Attempts) < n {
		q := *r.Requests[0]
		a := *r.Attempts[0]
		q.ID += string(rune('a' + len(r.Attempts)))
		a.ID, q.Body = q.ID, q.ID
		r.Requests, r.Attempts = append(r.Requests, &q), append(r.Attempts, &a)
	}
	for _, a := range r.Attempts {
		a.FirstByteAt, a.LastByteAt = 9*second, 9*second
		a.Timeout = second
	}
	for _, q := range r.Requests {
		q.SentAt, q.AnsweredAt = 9*second, 9*second+50*time.Millisecond
	}
}

// The same seed draws the same faults, another one others.
func TestDrawIsDeterminedBySeed(t *testing.T) {
	o := DefaultOptions()
	names := func(seed uint64) (out []Fault) {
		o.Seed = seed
		return DrawFaults(o)
	}
	a, b, c := names(1), names(1), names(2)
	same := func(x, y []Fault) bool {
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
	if !same(a, b) || same(a, c) {
		t.Errorf("%d, %d and %d faults", len(a), len(b), len(c))
	}
}

func TestValidateOptions(t *testing.T) {
	if err := DefaultOptions().Validate(); err != nil {
		t.Error(err)
	}
	for name, change := range map[string]func(*Options){
		"no servers":   func(o *Options) { o.Servers = 0 },
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
