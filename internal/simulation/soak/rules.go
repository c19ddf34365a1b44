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
func (r Rules) Check(record *Record) []Violation {
	c := &checker{rules: r, record: record, attemptsByRequest: map[string][]*Attempt{}, exitsByScheduler: map[int][]ProcessExit{}}
	for _, attempt := range record.Attempts {
		c.attemptsByRequest[attempt.ID] = append(c.attemptsByRequest[attempt.ID], attempt)
	}
	for _, exit := range record.Exits {
		c.exitsByScheduler[exit.Scheduler] = append(c.exitsByScheduler[exit.Scheduler], exit)
	}
	requestsByID := map[string]*Request{}
	for _, request := range record.Requests {
		requestsByID[request.ID] = request
		c.checkAnswer(request)
		c.checkAttempts(request)
	}
	for _, attempt := range record.Attempts {
		if requestsByID[attempt.ID] == nil {
			c.addViolation("unknown", attempt.FirstByteAt, -1, attempt.ID, "no client sent it")
		}
	}
	c.checkDrains(requestsByID)
	c.checkColdServers(requestsByID)
	c.checkVolumeLimits(requestsByID)
	c.checkProcesses()
	slices.SortStableFunc(c.violations, func(a, b Violation) int { return cmp.Compare(a.At, b.At) })
	return c.violations
}

func (c *checker) addViolation(rule string, violatedAt time.Duration, scheduler int, requestID, detail string) {
	c.violations = append(c.violations, Violation{rule, violatedAt, scheduler, requestID, detail})
}

// checkAnswer holds that a request has its one final checkAnswer in time, and a true one.
func (c *checker) checkAnswer(request *Request) {
	attempts := c.attemptsByRequest[request.ID]
	addLost := func(violatedAt time.Duration, detail string) {
		c.addViolation("lost", violatedAt, request.Scheduler, request.ID, fmt.Sprintf("%s (%d attempts)", detail, len(attempts)))
	}
	deadline := request.SentAt + request.Timeout + answerSlack + c.rules.HostSlack
	switch {
	case request.AnsweredAt > 0:
		if request.AnsweredAt > deadline {
			addLost(request.AnsweredAt, fmt.Sprintf("answered %.3f s after its time", (request.AnsweredAt-request.SentAt-request.Timeout).Seconds()))
		}
		if request.Status == 200 && request.Body != request.ID {
			addLost(request.AnsweredAt, "another's answer: "+request.Body)
		}
		if request.Status == 409 && request.Resent {
			addLost(request.AnsweredAt, "it had been read, and its connection ended without an answer")
		}
		if request.Status == 200 && !slices.ContainsFunc(attempts, func(a *Attempt) bool { return a.Served }) {
			addLost(request.AnsweredAt, "served by nobody")
		}
	case request.AbandonedAt > 0 && request.AbandonedAt <= deadline, c.excusedByKill(request):
	case request.AbandonedAt > 0:
		addLost(request.AbandonedAt, "no final answer in its time")
	case request.ConnLostAt > 0 && len(attempts) > 0:
		addLost(request.ConnLostAt, "its connection ended without an answer after it was sent on")
	case request.BrokenMidResponse:
		addLost(request.ConnLostAt, "its connection ended within the answer")
	}
}

// excusedByKill tells whether the request's process was killed without a word before it had to
// answer, or was told to end and killed where the request had longer than that.
func (c *checker) excusedByKill(request *Request) bool {
	for _, exit := range c.exitsByScheduler[request.Scheduler] {
		if exit.ExitedAt < request.SentAt || !exit.Killed {
			continue
		}
		if exit.SigtermAt == 0 || request.SentAt < exit.SigtermAt+excusedAfterSigterm && exit.ExitedAt < request.SentAt+request.Timeout {
			return exit.ExitedAt < request.SentAt+request.Timeout+answerSlack
		}
	}
	return false
}

// checkAttempts holds each attempt to what its client has left, and all of them to the class.
func (c *checker) checkAttempts(request *Request) {
	attempts := c.attemptsByRequest[request.ID]
	if limit := c.rules.MaxAttempts; limit > 0 && len(attempts) > limit {
		c.addViolation("attempts", attempts[limit].FirstByteAt, request.Scheduler, request.ID, fmt.Sprintf("%d attempts", len(attempts)))
	}
	for _, attempt := range attempts {
		if finished := c.finishedAt(request); finished > 0 && attempt.FirstByteAt > finished+abandonSlack+c.rules.HostSlack {
			c.addViolation("lost", attempt.FirstByteAt, request.Scheduler, request.ID, fmt.Sprintf("an attempt began %.3f s after its end", (attempt.FirstByteAt-finished).Seconds()))
		}
		remaining := request.SentAt + request.Timeout - attempt.FirstByteAt
		if attempt.Timeout > remaining+timeoutSlack+c.rules.HostSlack {
			c.addViolation("deadline", attempt.FirstByteAt, request.Scheduler, request.ID, fmt.Sprintf("told %.3f s, its client has %.3f s left", attempt.Timeout.Seconds(), remaining.Seconds()))
		}
		if c.rules.KeyTTL > 0 && attempt.FirstByteAt > attempts[0].FirstByteAt+c.rules.KeyTTL+windowSlack+c.rules.HostSlack {
			c.addViolation("duplicate", attempt.FirstByteAt, request.Scheduler, request.ID, "repeats are not dropped any more")
		}
	}
}

// finishedAt is when nothing more may begin for a request, but for what was under way; 0: never.
func (c *checker) finishedAt(request *Request) time.Duration {
	switch {
	case request.AbandonedAt > 0:
		return request.AbandonedAt
	case request.AnsweredAt > 0:
		return request.AnsweredAt
	}
	return 0
}

// checkDrains holds that nothing goes to a server once the grace after its drain is over.
func (c *checker) checkDrains(requestsByID map[string]*Request) {
	type schedulerServer struct{ scheduler, server int }
	changes := map[schedulerServer][]HealthChange{}
	for _, change := range c.record.HealthChanges {
		key := schedulerServer{change.Scheduler, change.Server}
		changes[key] = append(changes[key], change)
	}
	for _, attempt := range c.record.Attempts {
		request := requestsByID[attempt.ID]
		if request == nil {
			continue
		}
		last := lastEffective(changes[schedulerServer{request.Scheduler, attempt.Server}], attempt.FirstByteAt)
		if last != nil && last.Health != "active" && attempt.FirstByteAt > last.EffectiveAt+c.rules.DrainGrace+windowSlack+c.rules.HostSlack {
			c.addViolation("drain", attempt.FirstByteAt, request.Scheduler, attempt.ID, fmt.Sprintf("sent to server %d %.3f s after its drain was told", attempt.Server, (attempt.FirstByteAt-last.EffectiveAt).Seconds()))
		}
	}
}

// lastEffective is the last change, in the order of their versions, that counts as told at a
// time; nil if none does.
func lastEffective(changes []HealthChange, eventTime time.Duration) *HealthChange {
	for i := len(changes) - 1; i >= 0; i-- {
		if changes[i].EffectiveAt <= eventTime {
			return &changes[i]
		}
	}
	return nil
}

// checkVolumeLimits holds what comes to the servers of each limited volume to a bucket that is full at
// first. A request takes its units once, with the last byte of its first attempt.
func (c *checker) checkVolumeLimits(requestsByID map[string]*Request) {
	rules := c.rules
	if rules.VolumeRate <= 0 {
		return
	}
	attemptsByVolume := map[uint64][]*Attempt{}
	for requestID, attempts := range c.attemptsByRequest {
		request := requestsByID[requestID]
		if request == nil || request.LimitedVolume == 0 {
			continue
		}
		if i := slices.IndexFunc(attempts, func(attempt *Attempt) bool { return attempt.LastByteAt > 0 }); i >= 0 {
			attemptsByVolume[request.LimitedVolume] = append(attemptsByVolume[request.LimitedVolume], attempts[i])
		}
	}
	minLevel := -rules.VolumeBurstSlack - rules.VolumeRate*(volumeSlackTime+rules.HostSlack).Seconds()
	for volume, attempts := range attemptsByVolume {
		slices.SortFunc(attempts, func(a, b *Attempt) int { return cmp.Compare(a.LastByteAt, b.LastByteAt) })
		level, lastTime := rules.VolumeBurst, attempts[0].LastByteAt
		for _, attempt := range attempts {
			level = min(level+rules.VolumeRate*(attempt.LastByteAt-lastTime).Seconds(), rules.VolumeBurst) - meanUnits
			if lastTime = attempt.LastByteAt; level < minLevel {
				c.addViolation("limit", lastTime, requestsByID[attempt.ID].Scheduler, attempt.ID, fmt.Sprintf("volume %d is %.1f units past its limit, %.1f are allowed", volume, -level, -minLevel))
				break
			}
		}
	}
}

// checkColdServers holds what all schedulers together send to a server that has just started to
// its budget, in requests of mean work.
func (c *checker) checkColdServers(requestsByID map[string]*Request) {
	if c.rules.ColdUnits <= 0 {
		return
	}
	startTimes := map[int][]time.Duration{}
	for _, change := range c.record.HealthChanges {
		if change.StartedAt > 0 && !slices.Contains(startTimes[change.Server], change.StartedAt) {
			startTimes[change.Server] = append(startTimes[change.Server], change.StartedAt)
		}
	}
	arrivalsByServer := map[int][]time.Duration{}
	for _, attempt := range c.record.Attempts {
		if attempt.LastByteAt > 0 && requestsByID[attempt.ID] != nil {
			arrivalsByServer[attempt.Server] = append(arrivalsByServer[attempt.Server], attempt.LastByteAt)
		}
	}
	for server, starts := range startTimes {
		for _, start := range starts {
			c.checkColdStart(server, start, arrivalsByServer[server])
		}
	}
}

func (c *checker) checkColdStart(server int, startedAt time.Duration, arrivals []time.Duration) {
	slices.Sort(arrivals)
	first := 0
	for i, arrival := range arrivals {
		if arrival < startedAt || arrival > startedAt+c.rules.WarmUpTime {
			continue
		}
		for arrivals[first] < max(arrival-c.rules.OverloadWindow, startedAt) {
			first++
		}
		if count, budget := i-first+1, c.rules.coldBudget(arrival-startedAt); float64(count) > budget {
			c.addViolation("failback", arrival, -1, "", fmt.Sprintf("server %d got %d requests within %s, %.1f s after its start; it bears %.1f", server, count, c.rules.OverloadWindow, (arrival-startedAt).Seconds(), budget))
			return
		}
	}
}

// coldBudget is how many requests of mean work a server of that age takes within FallTime
// before it falls: N + 2 root N + 2, below 30 N + 3 root N + 3.
func (r Rules) coldBudget(age time.Duration) float64 {
	growth := 1.0
	if r.ColdCapacity > 0 && r.WarmUpTime > 0 {
		growth += (1 - r.ColdCapacity) / r.ColdCapacity * min(age.Seconds()/r.WarmUpTime.Seconds(), 1)
	}
	expected := r.ColdUnits / meanUnits * growth
	if expected < 30 {
		return expected + 3*math.Sqrt(expected) + 3
	}
	return expected + 2*math.Sqrt(expected) + 2
}

// checkProcesses holds that no scheduler ends by itself, and that one that was told to end has
// answered what it took.
func (c *checker) checkProcesses() {
	for _, exit := range c.record.Exits {
		if exit.Crashed {
			c.addViolation("crash", exit.ExitedAt, exit.Scheduler, "", "it ended by itself: "+logTail(exit.Log))
		}
		if exit.Killed && exit.SigtermAt > 0 {
			c.addViolation("stop", exit.ExitedAt, exit.Scheduler, "", fmt.Sprintf("still there %.3f s after SIGTERM", (exit.ExitedAt-exit.SigtermAt).Seconds()))
		}
	}
}

func logTail(log string) string {
	const maxBytes = 600
	log = strings.TrimSpace(log)
	return log[max(len(log)-maxBytes, 0):]
}
