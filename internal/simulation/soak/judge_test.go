package soak

import (
	"testing"
	"time"
)

const second = time.Second

// good is a record in which all rules are kept: one request served by a server, which then
// drains.
func good() *Record {
	r := NewRecord()
	r.Requests = []*Request{{ID: "a", Timeout: second, Sent: 10 * second, Answered: 10*second + 50*time.Millisecond, Status: 200, Body: "a"}}
	r.Attempts = []*Attempt{{ID: "a", Began: 10 * second, Whole: 10 * second, Timeout: second, Served: true}}
	r.Changes = []Change{{Health: "leaving", At: 10*second + 100*time.Millisecond}}
	return r
}

// limited adds so many requests of one limited volume, each that much after the one before.
func limited(r *Record, n int, each time.Duration) {
	for i := range n {
		id, at := string(rune('A'+i)), 10*second+time.Duration(i)*each
		r.Requests = append(r.Requests, &Request{ID: id, Limited: 7, Timeout: second, Sent: at, Answered: at + time.Millisecond, Status: 200, Body: id})
		r.Attempts = append(r.Attempts, &Attempt{ID: id, Server: 9, Began: at, Whole: at, Timeout: second, Served: true})
	}
}

func testTerms() Terms {
	return Terms{DrainGrace: second / 2, KeyWindow: 6 * second, MostAttempts: 2, ColdUnits: 8, ColdFrom: 0.25, FallTime: second, ColdTime: 10 * second,
		Limit: 10, LimitDepth: 4, LimitSlack: 2, Slack: 100 * time.Millisecond}
}

// Each rule is found broken in a record that breaks it, and none in one just inside it.
func TestJudge(t *testing.T) {
	for name, tt := range map[string]struct {
		change func(r *Record)
		rule   string // that is broken; "": none
	}{
		"within its limit":   {func(r *Record) { limited(r, 4, 0) }, ""},
		"past its limit":     {func(r *Record) { limited(r, 5, 0) }, "limit"},
		"past it with time":  {func(r *Record) { limited(r, 5, 200*time.Millisecond) }, ""},
		"good":               {func(*Record) {}, ""},
		"late answer":        {func(r *Record) { r.Requests[0].Answered = 11*second + 590*time.Millisecond }, ""},
		"too late an answer": {func(r *Record) { r.Requests[0].Answered = 11*second + 610*time.Millisecond }, "lost"},
		"another's answer":   {func(r *Record) { r.Requests[0].Body = "b" }, "lost"},
		"served by nobody":   {func(r *Record) { r.Attempts[0].Served = false }, "lost"},
		"no answer": {func(r *Record) {
			*r.Requests[0] = Request{ID: "a", Timeout: second, Sent: 10 * second, Left: 12 * second}
		}, "lost"},
		"left early": {func(r *Record) {
			*r.Requests[0] = Request{ID: "a", Timeout: second, Sent: 10 * second, Left: 10500 * time.Millisecond}
		}, ""},
		"begun after it left": {func(r *Record) {
			*r.Requests[0] = Request{ID: "a", Timeout: second, Sent: 9 * second, Left: 9700 * time.Millisecond}
		}, "lost"},
		"closed, sent on": {func(r *Record) {
			*r.Requests[0] = Request{ID: "a", Timeout: second, Sent: 10 * second, Ended: 10500 * time.Millisecond}
		}, "lost"},
		"closed unread": {func(r *Record) {
			*r.Requests[0] = Request{ID: "a", Timeout: second, Sent: 10 * second, Ended: 10500 * time.Millisecond}
			r.Attempts = nil
		}, ""},
		"read, and closed": {func(r *Record) { q := r.Requests[0]; q.Status, q.Resent = 409, true }, "lost"},
		"broke in its answer": {func(r *Record) {
			*r.Requests[0] = Request{ID: "a", Timeout: second, Sent: 10 * second, Ended: 10500 * time.Millisecond, Mid: true}
			r.Attempts = nil
		}, "lost"},
		"process killed": {func(r *Record) {
			*r.Requests[0] = Request{ID: "a", Timeout: second, Sent: 10 * second, Ended: 10500 * time.Millisecond}
			r.Ends = []ProcessEnd{{Ended: 10500 * time.Millisecond, Killed: true}}
		}, ""},
		"killed after SIGTERM": {func(r *Record) {
			*r.Requests[0] = Request{ID: "a", Timeout: second, Sent: 10 * second, Ended: 10500 * time.Millisecond}
			r.Ends = []ProcessEnd{{Told: 9 * second, Ended: 10500 * time.Millisecond, Killed: true}}
		}, "lost"},
		"crashed":            {func(r *Record) { r.Ends = []ProcessEnd{{Ended: 20 * second, Crashed: true}} }, "crash"},
		"did not end":        {func(r *Record) { r.Ends = []ProcessEnd{{Told: 15 * second, Ended: 20 * second, Killed: true}} }, "stop"},
		"drain in its grace": {func(r *Record) { r.Changes[0].At = 9400 * time.Millisecond }, ""},
		"drain after it":     {func(r *Record) { r.Changes[0].At = 9300 * time.Millisecond }, "drain"},
		"active again": {func(r *Record) {
			r.Changes[0].At = 9 * second
			r.Changes = append(r.Changes, Change{Health: "active", At: 9500 * time.Millisecond})
		}, ""},
		"another's server":   {func(r *Record) { r.Changes[0].At, r.Changes[0].Server = 9*second, 1 }, ""},
		"told too much":      {func(r *Record) { r.Attempts[0].Timeout = 1260 * time.Millisecond }, "deadline"},
		"told a little more": {func(r *Record) { r.Attempts[0].Timeout = 1240 * time.Millisecond }, ""},
		"three attempts": {func(r *Record) {
			r.Attempts = append(r.Attempts, &Attempt{ID: "a", Began: 10 * second}, &Attempt{ID: "a", Began: 10 * second})
		}, "attempts"},
		"repeat too late": {func(r *Record) {
			r.Requests[0].Timeout, r.Requests[0].Answered = 20*second, 20*second
			r.Attempts = append(r.Attempts, &Attempt{ID: "a", Began: 17 * second})
			r.Changes = nil
		}, "duplicate"},
		"nobody's request": {func(r *Record) { r.Attempts[0].ID = "z"; r.Requests = nil }, "unknown"},
		"cold, within":     {func(r *Record) { flood(r, 13) }, ""},
		"cold, overloaded": {func(r *Record) { flood(r, 14) }, "failback"},
	} {
		r := good()
		tt.change(r)
		broken := testTerms().Judge(r)
		switch {
		case tt.rule == "" && len(broken) > 0:
			t.Errorf("%s: %v", name, broken)
		case tt.rule != "" && (len(broken) == 0 || broken[0].Rule != tt.rule):
			t.Errorf("%s: %v, want %s", name, broken, tt.rule)
		}
	}
}

// flood has a server start and get so many requests at once. It bears four, and falls above
// 4 + 3 x 2 + 3 of them.
func flood(r *Record, n int) {
	r.Changes = []Change{{Health: "active", At: 9 * second, Born: 9 * second}}
	for len(r.Attempts) < n {
		q := *r.Requests[0]
		a := *r.Attempts[0]
		q.ID += string(rune('a' + len(r.Attempts)))
		a.ID, q.Body = q.ID, q.ID
		r.Requests, r.Attempts = append(r.Requests, &q), append(r.Attempts, &a)
	}
	for _, a := range r.Attempts {
		a.Began, a.Whole = 9*second, 9*second
		a.Timeout = second
	}
	for _, q := range r.Requests {
		q.Sent, q.Answered = 9*second, 9*second+50*time.Millisecond
	}
}

// The same seed draws the same faults, another one others.
func TestDraw(t *testing.T) {
	o := Defaults()
	names := func(seed uint64) (out []Fault) {
		o.Seed = seed
		return Draw(o)
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

func TestOptionsOutOfRange(t *testing.T) {
	if err := Defaults().Check(); err != nil {
		t.Error(err)
	}
	for name, change := range map[string]func(*Options){
		"no servers":   func(o *Options) { o.Servers = 0 },
		"many servers": func(o *Options) { o.Servers = 5001 },
		"no share":     func(o *Options) { o.Share = 0 },
		"schedulers":   func(o *Options) { o.Schedulers = -1 },
		"leaves":       func(o *Options) { o.Leaves = 1.5 },
	} {
		o := Defaults()
		if change(&o); o.Check() == nil {
			t.Errorf("%s: taken", name)
		}
	}
}
