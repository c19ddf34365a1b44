package soak

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"strings"
	"time"
)

// Terms are what a record is held to: the settings' figures and the platform's slack.
type Terms struct {
	DrainGrace   time.Duration
	KeyWindow    time.Duration // repeats of a keyed request are dropped for so long
	MostAttempts int
	// ColdUnits a disk server bears within FallTime when it has just started, of all
	// schedulers together; that grows evenly to ColdUnits/ColdFrom over ColdTime.
	ColdUnits, ColdFrom float64
	FallTime, ColdTime  time.Duration
	// Limit is what a volume with one may have, in units a second; LimitDepth units at once,
	// and LimitSlack more.
	Limit, LimitDepth, LimitSlack float64
	// Slack is let pass beside the platform's own: what this machine may hold its
	// stand-ins up for.
	Slack time.Duration
}

// The platform's slack.
const (
	answerSlack  = 500 * time.Millisecond // a late answer only earns nothing
	ruleSlack    = 50 * time.Millisecond
	leftSlack    = 100 * time.Millisecond // from a client's leaving to the last attempt that may begin
	timeoutSlack = 150 * time.Millisecond
	limitTime    = 150 * time.Millisecond // a limit's slack grows by what it allows in so long
	lateNotice   = 700 * time.Millisecond // from SIGTERM: what comes later has to be answered before SIGKILL
)

// Broken is one break of a rule.
type Broken struct {
	Rule      string
	At        time.Duration
	Scheduler int // -1: none of its own
	Request   string
	What      string
}

func (b Broken) String() string {
	return fmt.Sprintf("%s at %.3f s, scheduler %d, request %s: %s", b.Rule, b.At.Seconds(), b.Scheduler, b.Request, b.What)
}

// judge works through one record.
type judge struct {
	terms    Terms
	record   *Record
	attempts map[string][]*Attempt
	ends     map[int][]ProcessEnd
	broken   []Broken
}

// Judge names all breaks of the rules in a record, in order of time.
func (t Terms) Judge(r *Record) []Broken {
	j := &judge{terms: t, record: r, attempts: map[string][]*Attempt{}, ends: map[int][]ProcessEnd{}}
	for _, a := range r.Attempts {
		j.attempts[a.ID] = append(j.attempts[a.ID], a)
	}
	for _, e := range r.Ends {
		j.ends[e.Scheduler] = append(j.ends[e.Scheduler], e)
	}
	known := map[string]*Request{}
	for _, q := range r.Requests {
		known[q.ID] = q
		j.answer(q)
		j.tries(q)
	}
	for _, a := range r.Attempts {
		if known[a.ID] == nil {
			j.say("unknown", a.Began, -1, a.ID, "no client sent it")
		}
	}
	j.drains(known)
	j.coldServers(known)
	j.limits(known)
	j.processes()
	slices.SortStableFunc(j.broken, func(a, b Broken) int { return cmp.Compare(a.At, b.At) })
	return j.broken
}

func (j *judge) say(rule string, at time.Duration, scheduler int, request, what string) {
	j.broken = append(j.broken, Broken{rule, at, scheduler, request, what})
}

// answer holds that a request has its one final answer in time, and a true one.
func (j *judge) answer(q *Request) {
	tries := j.attempts[q.ID]
	lost := func(at time.Duration, what string) {
		j.say("lost", at, q.Scheduler, q.ID, fmt.Sprintf("%s (%d attempts)", what, len(tries)))
	}
	last := q.Sent + q.Timeout + answerSlack + j.terms.Slack
	switch {
	case q.Answered > 0:
		if q.Answered > last {
			lost(q.Answered, fmt.Sprintf("answered %.3f s after its time", (q.Answered-q.Sent-q.Timeout).Seconds()))
		}
		if q.Status == 200 && q.Body != q.ID {
			lost(q.Answered, "another's answer: "+q.Body)
		}
		if q.Status == 409 && q.Resent {
			lost(q.Answered, "it had been read, and its connection ended without an answer")
		}
		if q.Status == 200 && !slices.ContainsFunc(tries, func(a *Attempt) bool { return a.Served }) {
			lost(q.Answered, "served by nobody")
		}
	case q.Left > 0 && q.Left <= last, j.diedUnder(q):
	case q.Left > 0:
		lost(q.Left, "no final answer in its time")
	case q.Ended > 0 && len(tries) > 0:
		lost(q.Ended, "its connection ended without an answer after it was sent on")
	case q.Mid:
		lost(q.Ended, "its connection ended within the answer")
	}
}

// diedUnder tells whether the request's process was killed without a word before it had to
// answer, or was told to end and killed where the request had longer than that.
func (j *judge) diedUnder(q *Request) bool {
	for _, e := range j.ends[q.Scheduler] {
		if e.Ended < q.Sent || !e.Killed {
			continue
		}
		if e.Told == 0 || q.Sent < e.Told+lateNotice && e.Ended < q.Sent+q.Timeout {
			return e.Ended < q.Sent+q.Timeout+answerSlack
		}
	}
	return false
}

// tries holds each attempt to what its client has left, and all of them to the class.
func (j *judge) tries(q *Request) {
	tries := j.attempts[q.ID]
	if most := j.terms.MostAttempts; most > 0 && len(tries) > most {
		j.say("attempts", tries[most].Began, q.Scheduler, q.ID, fmt.Sprintf("%d attempts", len(tries)))
	}
	for _, a := range tries {
		if over := j.overAt(q); over > 0 && a.Began > over+leftSlack+j.terms.Slack {
			j.say("lost", a.Began, q.Scheduler, q.ID, fmt.Sprintf("an attempt began %.3f s after its end", (a.Began-over).Seconds()))
		}
		left := q.Sent + q.Timeout - a.Began
		if a.Timeout > left+timeoutSlack+j.terms.Slack {
			j.say("deadline", a.Began, q.Scheduler, q.ID, fmt.Sprintf("told %.3f s, its client has %.3f s left", a.Timeout.Seconds(), left.Seconds()))
		}
		if j.terms.KeyWindow > 0 && a.Began > tries[0].Began+j.terms.KeyWindow+ruleSlack+j.terms.Slack {
			j.say("duplicate", a.Began, q.Scheduler, q.ID, "repeats are not dropped any more")
		}
	}
}

// overAt is when nothing more may begin for a request, but for what was under way; 0: never.
func (j *judge) overAt(q *Request) time.Duration {
	switch {
	case q.Left > 0:
		return q.Left
	case q.Answered > 0:
		return q.Answered
	}
	return 0
}

// drains holds that nothing goes to a server once the grace after its drain is over.
func (j *judge) drains(known map[string]*Request) {
	type place struct{ scheduler, server int }
	told := map[place][]Change{}
	for _, c := range j.record.Changes {
		at := place{c.Scheduler, c.Server}
		told[at] = append(told[at], c)
	}
	for _, a := range j.record.Attempts {
		q := known[a.ID]
		if q == nil {
			continue
		}
		c := lastBefore(told[place{q.Scheduler, a.Server}], a.Began)
		if c != nil && c.Health != "active" && a.Began > c.At+j.terms.DrainGrace+ruleSlack+j.terms.Slack {
			j.say("drain", a.Began, q.Scheduler, a.ID, fmt.Sprintf("sent to server %d %.3f s after its drain was told", a.Server, (a.Began-c.At).Seconds()))
		}
	}
}

// lastBefore is the last change, in the order of their versions, that counts as told at a
// time; nil if none does.
func lastBefore(changes []Change, at time.Duration) *Change {
	for i := len(changes) - 1; i >= 0; i-- {
		if changes[i].At <= at {
			return &changes[i]
		}
	}
	return nil
}

// limits holds what comes to the servers of each limited volume to a bucket that is full at
// first. A request takes its units once, with the last byte of its first attempt.
func (j *judge) limits(known map[string]*Request) {
	t := j.terms
	if t.Limit <= 0 {
		return
	}
	came := map[uint64][]*Attempt{}
	for id, tries := range j.attempts {
		q := known[id]
		if q == nil || q.Limited == 0 {
			continue
		}
		if i := slices.IndexFunc(tries, func(a *Attempt) bool { return a.Whole > 0 }); i >= 0 {
			came[q.Limited] = append(came[q.Limited], tries[i])
		}
	}
	least := -t.LimitSlack - t.Limit*(limitTime+t.Slack).Seconds()
	for volume, all := range came {
		slices.SortFunc(all, func(a, b *Attempt) int { return cmp.Compare(a.Whole, b.Whole) })
		level, at := t.LimitDepth, all[0].Whole
		for _, a := range all {
			level = min(level+t.Limit*(a.Whole-at).Seconds(), t.LimitDepth) - unitMean
			if at = a.Whole; level < least {
				j.say("limit", at, known[a.ID].Scheduler, a.ID, fmt.Sprintf("volume %d is %.1f units past its limit, %.1f are allowed", volume, -level, -least))
				break
			}
		}
	}
}

// coldServers holds what all schedulers together send to a server that has just started to
// its budget, in requests of mean work.
func (j *judge) coldServers(known map[string]*Request) {
	if j.terms.ColdUnits <= 0 {
		return
	}
	born := map[int][]time.Duration{}
	for _, c := range j.record.Changes {
		if c.Born > 0 && !slices.Contains(born[c.Server], c.Born) {
			born[c.Server] = append(born[c.Server], c.Born)
		}
	}
	byServer := map[int][]time.Duration{}
	for _, a := range j.record.Attempts {
		if a.Whole > 0 && known[a.ID] != nil {
			byServer[a.Server] = append(byServer[a.Server], a.Whole)
		}
	}
	for server, starts := range born {
		for _, start := range starts {
			j.coldStart(server, start, byServer[server])
		}
	}
}

func (j *judge) coldStart(server int, born time.Duration, came []time.Duration) {
	slices.Sort(came)
	first := 0
	for i, at := range came {
		if at < born || at > born+j.terms.ColdTime {
			continue
		}
		for came[first] < max(at-j.terms.FallTime, born) {
			first++
		}
		if n, most := i-first+1, j.terms.budget(at-born); float64(n) > most {
			j.say("failback", at, -1, "", fmt.Sprintf("server %d got %d requests within %s, %.1f s after its start; it bears %.1f", server, n, j.terms.FallTime, (at-born).Seconds(), most))
			return
		}
	}
}

// budget is how many requests of mean work a server of that age takes within FallTime
// before it falls: N + 2 root N + 2, below 30 N + 3 root N + 3.
func (t Terms) budget(age time.Duration) float64 {
	grown := 1.0
	if t.ColdFrom > 0 && t.ColdTime > 0 {
		grown += (1 - t.ColdFrom) / t.ColdFrom * min(age.Seconds()/t.ColdTime.Seconds(), 1)
	}
	n := t.ColdUnits / unitMean * grown
	if n < 30 {
		return n + 3*math.Sqrt(n) + 3
	}
	return n + 2*math.Sqrt(n) + 2
}

// processes holds that no scheduler ends by itself, and that one that was told to end has
// answered what it took.
func (j *judge) processes() {
	for _, e := range j.record.Ends {
		if e.Crashed {
			j.say("crash", e.Ended, e.Scheduler, "", "it ended by itself: "+lastLines(e.Log))
		}
		if e.Killed && e.Told > 0 {
			j.say("stop", e.Ended, e.Scheduler, "", fmt.Sprintf("still there %.3f s after SIGTERM", (e.Ended-e.Told).Seconds()))
		}
	}
}

func lastLines(log string) string {
	const most = 600
	log = strings.TrimSpace(log)
	return log[max(len(log)-most, 0):]
}
