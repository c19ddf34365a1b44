package soak

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"strings"
	"time"
)

// Rules are what a record is held to: the settings' figures and the platform's slack.
type Rules struct {
	DrainGrace  time.Duration
	KeyTTL      time.Duration // repeats of a keyed request are dropped for so long
	MaxAttempts int
	// ColdUnits a disk server bears within FallTime when it has just started, of all
	// schedulers together; that grows evenly to ColdUnits/ColdCapacity over ColdTime.
	ColdUnits, ColdCapacity    float64
	OverloadWindow, WarmUpTime time.Duration
	// VolumeRate is what a volume with one may have, in units a second; VolumeBurst units at once,
	// and VolumeBurstSlack more.
	VolumeRate, VolumeBurst, VolumeBurstSlack float64
	// HostSlack is let pass beside the platform's own: what this machine may hold its
	// stand-ins up for.
	HostSlack time.Duration
}

// The platform's slack.
const (
	answerSlack         = 500 * time.Millisecond // a late answer only earns nothing
	windowSlack         = 50 * time.Millisecond
	abandonSlack        = 100 * time.Millisecond // from a client's leaving to the last attempt that may begin
	timeoutSlack        = 150 * time.Millisecond
	volumeSlackTime     = 150 * time.Millisecond // a limit's slack grows by what it allows in so long
	excusedAfterSigterm = 700 * time.Millisecond // from SIGTERM: what comes later has to be answered before SIGKILL
)

// Violation is one break of a rule.
type Violation struct {
	Rule      string
	At        time.Duration
	Scheduler int // -1: none of its own
	RequestID string
	Detail    string
}

func (b Violation) String() string {
	return fmt.Sprintf("%s at %.3f s, scheduler %d, request %s: %s", b.Rule, b.At.Seconds(), b.Scheduler, b.RequestID, b.Detail)
}

// checker works through one record.
type checker struct {
	rules             Rules
	record            *Record
	attemptsByRequest map[string][]*Attempt
	exitsByScheduler  map[int][]ProcessExit
	violations        []Violation
}

// Check names all breaks of the rules in a record, in order of time.
func (t Rules) Check(r *Record) []Violation {
	j := &checker{rules: t, record: r, attemptsByRequest: map[string][]*Attempt{}, exitsByScheduler: map[int][]ProcessExit{}}
	for _, a := range r.Attempts {
		j.attemptsByRequest[a.ID] = append(j.attemptsByRequest[a.ID], a)
	}
	for _, e := range r.Exits {
		j.exitsByScheduler[e.Scheduler] = append(j.exitsByScheduler[e.Scheduler], e)
	}
	known := map[string]*Request{}
	for _, q := range r.Requests {
		known[q.ID] = q
		j.checkAnswer(q)
		j.checkAttempts(q)
	}
	for _, a := range r.Attempts {
		if known[a.ID] == nil {
			j.addViolation("unknown", a.FirstByteAt, -1, a.ID, "no client sent it")
		}
	}
	j.checkDrains(known)
	j.checkColdServers(known)
	j.checkVolumeLimits(known)
	j.checkProcesses()
	slices.SortStableFunc(j.violations, func(a, b Violation) int { return cmp.Compare(a.At, b.At) })
	return j.violations
}

func (j *checker) addViolation(rule string, at time.Duration, scheduler int, request, what string) {
	j.violations = append(j.violations, Violation{rule, at, scheduler, request, what})
}

// checkAnswer holds that a request has its one final checkAnswer in time, and a true one.
func (j *checker) checkAnswer(q *Request) {
	tries := j.attemptsByRequest[q.ID]
	lost := func(at time.Duration, what string) {
		j.addViolation("lost", at, q.Scheduler, q.ID, fmt.Sprintf("%s (%d attempts)", what, len(tries)))
	}
	last := q.SentAt + q.Timeout + answerSlack + j.rules.HostSlack
	switch {
	case q.AnsweredAt > 0:
		if q.AnsweredAt > last {
			lost(q.AnsweredAt, fmt.Sprintf("answered %.3f s after its time", (q.AnsweredAt-q.SentAt-q.Timeout).Seconds()))
		}
		if q.Status == 200 && q.Body != q.ID {
			lost(q.AnsweredAt, "another's answer: "+q.Body)
		}
		if q.Status == 409 && q.Resent {
			lost(q.AnsweredAt, "it had been read, and its connection ended without an answer")
		}
		if q.Status == 200 && !slices.ContainsFunc(tries, func(a *Attempt) bool { return a.Served }) {
			lost(q.AnsweredAt, "served by nobody")
		}
	case q.AbandonedAt > 0 && q.AbandonedAt <= last, j.excusedByKill(q):
	case q.AbandonedAt > 0:
		lost(q.AbandonedAt, "no final answer in its time")
	case q.ConnLostAt > 0 && len(tries) > 0:
		lost(q.ConnLostAt, "its connection ended without an answer after it was sent on")
	case q.BrokenMidResponse:
		lost(q.ConnLostAt, "its connection ended within the answer")
	}
}

// excusedByKill tells whether the request's process was killed without a word before it had to
// answer, or was told to end and killed where the request had longer than that.
func (j *checker) excusedByKill(q *Request) bool {
	for _, e := range j.exitsByScheduler[q.Scheduler] {
		if e.ExitedAt < q.SentAt || !e.Killed {
			continue
		}
		if e.SigtermAt == 0 || q.SentAt < e.SigtermAt+excusedAfterSigterm && e.ExitedAt < q.SentAt+q.Timeout {
			return e.ExitedAt < q.SentAt+q.Timeout+answerSlack
		}
	}
	return false
}

// checkAttempts holds each attempt to what its client has left, and all of them to the class.
func (j *checker) checkAttempts(q *Request) {
	tries := j.attemptsByRequest[q.ID]
	if most := j.rules.MaxAttempts; most > 0 && len(tries) > most {
		j.addViolation("attempts", tries[most].FirstByteAt, q.Scheduler, q.ID, fmt.Sprintf("%d attempts", len(tries)))
	}
	for _, a := range tries {
		if over := j.finishedAt(q); over > 0 && a.FirstByteAt > over+abandonSlack+j.rules.HostSlack {
			j.addViolation("lost", a.FirstByteAt, q.Scheduler, q.ID, fmt.Sprintf("an attempt began %.3f s after its end", (a.FirstByteAt-over).Seconds()))
		}
		left := q.SentAt + q.Timeout - a.FirstByteAt
		if a.Timeout > left+timeoutSlack+j.rules.HostSlack {
			j.addViolation("deadline", a.FirstByteAt, q.Scheduler, q.ID, fmt.Sprintf("told %.3f s, its client has %.3f s left", a.Timeout.Seconds(), left.Seconds()))
		}
		if j.rules.KeyTTL > 0 && a.FirstByteAt > tries[0].FirstByteAt+j.rules.KeyTTL+windowSlack+j.rules.HostSlack {
			j.addViolation("duplicate", a.FirstByteAt, q.Scheduler, q.ID, "repeats are not dropped any more")
		}
	}
}

// finishedAt is when nothing more may begin for a request, but for what was under way; 0: never.
func (j *checker) finishedAt(q *Request) time.Duration {
	switch {
	case q.AbandonedAt > 0:
		return q.AbandonedAt
	case q.AnsweredAt > 0:
		return q.AnsweredAt
	}
	return 0
}

// checkDrains holds that nothing goes to a server once the grace after its drain is over.
func (j *checker) checkDrains(known map[string]*Request) {
	type place struct{ scheduler, server int }
	told := map[place][]HealthChange{}
	for _, c := range j.record.HealthChanges {
		at := place{c.Scheduler, c.Server}
		told[at] = append(told[at], c)
	}
	for _, a := range j.record.Attempts {
		q := known[a.ID]
		if q == nil {
			continue
		}
		c := lastEffective(told[place{q.Scheduler, a.Server}], a.FirstByteAt)
		if c != nil && c.Health != "active" && a.FirstByteAt > c.EffectiveAt+j.rules.DrainGrace+windowSlack+j.rules.HostSlack {
			j.addViolation("drain", a.FirstByteAt, q.Scheduler, a.ID, fmt.Sprintf("sent to server %d %.3f s after its drain was told", a.Server, (a.FirstByteAt-c.EffectiveAt).Seconds()))
		}
	}
}

// lastEffective is the last change, in the order of their versions, that counts as told at a
// time; nil if none does.
func lastEffective(changes []HealthChange, at time.Duration) *HealthChange {
	for i := len(changes) - 1; i >= 0; i-- {
		if changes[i].EffectiveAt <= at {
			return &changes[i]
		}
	}
	return nil
}

// checkVolumeLimits holds what comes to the servers of each limited volume to a bucket that is full at
// first. A request takes its units once, with the last byte of its first attempt.
func (j *checker) checkVolumeLimits(known map[string]*Request) {
	t := j.rules
	if t.VolumeRate <= 0 {
		return
	}
	came := map[uint64][]*Attempt{}
	for id, tries := range j.attemptsByRequest {
		q := known[id]
		if q == nil || q.LimitedVolume == 0 {
			continue
		}
		if i := slices.IndexFunc(tries, func(a *Attempt) bool { return a.LastByteAt > 0 }); i >= 0 {
			came[q.LimitedVolume] = append(came[q.LimitedVolume], tries[i])
		}
	}
	least := -t.VolumeBurstSlack - t.VolumeRate*(volumeSlackTime+t.HostSlack).Seconds()
	for volume, all := range came {
		slices.SortFunc(all, func(a, b *Attempt) int { return cmp.Compare(a.LastByteAt, b.LastByteAt) })
		level, at := t.VolumeBurst, all[0].LastByteAt
		for _, a := range all {
			level = min(level+t.VolumeRate*(a.LastByteAt-at).Seconds(), t.VolumeBurst) - meanUnits
			if at = a.LastByteAt; level < least {
				j.addViolation("limit", at, known[a.ID].Scheduler, a.ID, fmt.Sprintf("volume %d is %.1f units past its limit, %.1f are allowed", volume, -level, -least))
				break
			}
		}
	}
}

// checkColdServers holds what all schedulers together send to a server that has just started to
// its budget, in requests of mean work.
func (j *checker) checkColdServers(known map[string]*Request) {
	if j.rules.ColdUnits <= 0 {
		return
	}
	born := map[int][]time.Duration{}
	for _, c := range j.record.HealthChanges {
		if c.StartedAt > 0 && !slices.Contains(born[c.Server], c.StartedAt) {
			born[c.Server] = append(born[c.Server], c.StartedAt)
		}
	}
	byServer := map[int][]time.Duration{}
	for _, a := range j.record.Attempts {
		if a.LastByteAt > 0 && known[a.ID] != nil {
			byServer[a.Server] = append(byServer[a.Server], a.LastByteAt)
		}
	}
	for server, starts := range born {
		for _, start := range starts {
			j.checkColdStart(server, start, byServer[server])
		}
	}
}

func (j *checker) checkColdStart(server int, born time.Duration, came []time.Duration) {
	slices.Sort(came)
	first := 0
	for i, at := range came {
		if at < born || at > born+j.rules.WarmUpTime {
			continue
		}
		for came[first] < max(at-j.rules.OverloadWindow, born) {
			first++
		}
		if n, most := i-first+1, j.rules.coldBudget(at-born); float64(n) > most {
			j.addViolation("failback", at, -1, "", fmt.Sprintf("server %d got %d requests within %s, %.1f s after its start; it bears %.1f", server, n, j.rules.OverloadWindow, (at-born).Seconds(), most))
			return
		}
	}
}

// coldBudget is how many requests of mean work a server of that age takes within FallTime
// before it falls: N + 2 root N + 2, below 30 N + 3 root N + 3.
func (t Rules) coldBudget(age time.Duration) float64 {
	grown := 1.0
	if t.ColdCapacity > 0 && t.WarmUpTime > 0 {
		grown += (1 - t.ColdCapacity) / t.ColdCapacity * min(age.Seconds()/t.WarmUpTime.Seconds(), 1)
	}
	n := t.ColdUnits / meanUnits * grown
	if n < 30 {
		return n + 3*math.Sqrt(n) + 3
	}
	return n + 2*math.Sqrt(n) + 2
}

// checkProcesses holds that no scheduler ends by itself, and that one that was told to end has
// answered what it took.
func (j *checker) checkProcesses() {
	for _, e := range j.record.Exits {
		if e.Crashed {
			j.addViolation("crash", e.ExitedAt, e.Scheduler, "", "it ended by itself: "+logTail(e.Log))
		}
		if e.Killed && e.SigtermAt > 0 {
			j.addViolation("stop", e.ExitedAt, e.Scheduler, "", fmt.Sprintf("still there %.3f s after SIGTERM", (e.ExitedAt-e.SigtermAt).Seconds()))
		}
	}
}

func logTail(log string) string {
	const most = 600
	log = strings.TrimSpace(log)
	return log[max(len(log)-most, 0):]
}
