package soak

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"strings"
	"time"
)

// Rules are the limits that a record is checked against: the schedulers' settings and the
// allowed slack.
type Rules struct {
	DrainGrace  time.Duration
	KeyTTL      time.Duration // disk servers drop duplicates for this long; checked for every request
	MaxAttempts int
	// A disk server that has just started takes ColdUnits within OverloadWindow from all
	// schedulers together; this grows linearly to ColdUnits/ColdCapacity over WarmUpTime.
	ColdUnits, ColdCapacity    float64
	OverloadWindow, WarmUpTime time.Duration
	// Token bucket of a volume with a limit: VolumeRate in units per second, VolumeBurst and the
	// extra VolumeBurstSlack in units.
	VolumeRate, VolumeBurst, VolumeBurstSlack float64
	// HostSlack is added to the time limits of responses, attempts, drains and volumes, for
	// delays of the machine that runs the stand-ins.
	HostSlack time.Duration
	// AllResponseFaults requires each kind of faulty response at least once.
	AllResponseFaults bool
	// AllDiscoveryFaults requires each kind of late or refused answer of discovery at least once.
	AllDiscoveryFaults bool
	HostileGroups      []HostileGroup // kinds of which a client must have connected
	MaxMemoryMB        float64        // bound of a scheduler's resident memory; 0: not checked
}

// Slack that the platform allows.
const (
	answerSlack         = 500 * time.Millisecond // after the request timeout
	windowSlack         = 50 * time.Millisecond  // after DrainGrace and KeyTTL
	abandonSlack        = 100 * time.Millisecond // from the client's close to the start of the last attempt
	timeoutSlack        = 150 * time.Millisecond
	volumeSlackTime     = 150 * time.Millisecond // a volume may exceed its burst by what it gets in this time
	excusedAfterSigterm = 700 * time.Millisecond // a request sent later than this after SIGTERM must be answered before SIGKILL
)

// Violation is one violation of a rule.
type Violation struct {
	Rule      string
	At        time.Duration
	Scheduler int // -1: no single scheduler
	RequestID string
	Detail    string
}

func (v Violation) String() string {
	return fmt.Sprintf("%s at %.3f s, scheduler %d, request %s: %s", v.Rule, v.At.Seconds(), v.Scheduler, v.RequestID, v.Detail)
}

// checker checks one record.
type checker struct {
	rules             Rules
	record            *Record
	attemptsByRequest map[string][]*Attempt
	exitsByScheduler  map[int][]ProcessExit
	violations        []Violation
}

// Check returns all violations in a record, ordered by time.
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
			c.addViolation("unknown", attempt.FirstByteAt, -1, attempt.ID, "no client sent this request")
		}
	}
	c.checkDrains(requestsByID)
	c.checkColdServers(requestsByID)
	c.checkVolumeLimits(requestsByID)
	c.checkProcesses()
	c.checkResponseFaults()
	c.checkDiscoveryFaults()
	c.checkHostileGroups()
	slices.SortStableFunc(c.violations, func(a, b Violation) int { return cmp.Compare(a.At, b.At) })
	return c.violations
}

func (c *checker) addViolation(rule string, violatedAt time.Duration, scheduler int, requestID, detail string) {
	c.violations = append(c.violations, Violation{rule, violatedAt, scheduler, requestID, detail})
}

// checkAnswer checks that a request got one final response in time, with its own body, and that
// a 200 was served by a disk server.
func (c *checker) checkAnswer(request *Request) {
	attempts := c.attemptsByRequest[request.ID]
	addLost := func(violatedAt time.Duration, detail string) {
		c.addViolation("lost", violatedAt, request.Scheduler, request.ID, fmt.Sprintf("%s (%d attempts)", detail, len(attempts)))
	}
	deadline := request.SentAt + request.Timeout + answerSlack + c.rules.HostSlack
	switch {
	case request.AnswerUnread:
	case request.AnsweredAt > 0:
		if request.AnsweredAt > deadline {
			addLost(request.AnsweredAt, fmt.Sprintf("answered %.3f s after its deadline", (request.AnsweredAt-request.SentAt-request.Timeout).Seconds()))
		}
		if request.Status == 200 && request.Body != responseBody(request.ID, len(request.Body)) {
			addLost(request.AnsweredAt, "response to another request: "+request.Body)
		}
		if request.Status == 409 && request.Resent {
			addLost(request.AnsweredAt, "the scheduler had read it and closed the connection without a response")
		}
		if request.Status == 200 && !slices.ContainsFunc(attempts, func(a *Attempt) bool { return a.Served && a.BodyBytes == len(request.Body) }) {
			addLost(request.AnsweredAt, fmt.Sprintf("answered 200 with %d bytes, but no disk server made that body", len(request.Body)))
		}
	case request.AbandonedAt > 0 && request.AbandonedAt <= deadline, c.excusedByKill(request):
	case request.AbandonedAt > 0:
		addLost(request.AbandonedAt, "no final response before its deadline")
	case request.ConnLostAt > 0 && len(attempts) > 0:
		addLost(request.ConnLostAt, "connection ended without a response although an attempt was sent")
	case request.BrokenMidResponse:
		addLost(request.ConnLostAt, "connection ended in the middle of the response")
	}
}

// excusedByKill reports whether the kill of the scheduler excuses a missing response: it came
// before the response was due, and either without SIGTERM, or the request was sent less than
// excusedAfterSigterm after SIGTERM and its timeout had not passed at the kill.
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

// checkAttempts checks the number of attempts of a request, and of each attempt its start, its
// timeout and that disk servers still recognise it as a duplicate.
func (c *checker) checkAttempts(request *Request) {
	attempts := c.attemptsByRequest[request.ID]
	if limit := c.rules.MaxAttempts; limit > 0 && len(attempts) > limit {
		c.addViolation("attempts", attempts[limit].FirstByteAt, request.Scheduler, request.ID, fmt.Sprintf("%d attempts", len(attempts)))
	}
	for _, attempt := range attempts {
		if finished := c.finishedAt(request); finished > 0 && attempt.FirstByteAt > finished+abandonSlack+c.rules.HostSlack {
			c.addViolation("lost", attempt.FirstByteAt, request.Scheduler, request.ID, fmt.Sprintf("attempt started %.3f s after the request had ended", (attempt.FirstByteAt-finished).Seconds()))
		}
		remaining := request.SentAt + request.Timeout - attempt.FirstByteAt
		if attempt.Timeout > remaining+timeoutSlack+c.rules.HostSlack {
			c.addViolation("deadline", attempt.FirstByteAt, request.Scheduler, request.ID, fmt.Sprintf("attempt sent with a timeout of %.3f s, the client has %.3f s left", attempt.Timeout.Seconds(), remaining.Seconds()))
		}
		if c.rules.KeyTTL > 0 && attempt.FirstByteAt > attempts[0].FirstByteAt+c.rules.KeyTTL+windowSlack+c.rules.HostSlack {
			c.addViolation("duplicate", attempt.FirstByteAt, request.Scheduler, request.ID, "attempt started after the key TTL: disk servers no longer drop duplicates")
		}
	}
}

// finishedAt returns when the client got its response or gave up; 0 if neither.
func (c *checker) finishedAt(request *Request) time.Duration {
	switch {
	case request.AbandonedAt > 0:
		return request.AbandonedAt
	case request.AnsweredAt > 0:
		return request.AnsweredAt
	}
	return 0
}

// checkDrains checks that no attempt starts later than DrainGrace after its server stopped being
// active.
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
			c.addViolation("drain", attempt.FirstByteAt, request.Scheduler, attempt.ID, fmt.Sprintf("sent to server %d %.3f s after its drain took effect", attempt.Server, (attempt.FirstByteAt-last.EffectiveAt).Seconds()))
		}
	}
}

// lastEffective returns the newest change, by version, that was in effect at eventTime; nil if
// there is none.
func lastEffective(changes []HealthChange, eventTime time.Duration) *HealthChange {
	for i := len(changes) - 1; i >= 0; i-- {
		if changes[i].EffectiveAt <= eventTime {
			return &changes[i]
		}
	}
	return nil
}

// checkVolumeLimits checks the arrivals of each limited volume against a token bucket that is
// full at first. A request takes its units once, at the last byte of its first whole attempt.
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
				c.addViolation("limit", lastTime, requestsByID[attempt.ID].Scheduler, attempt.ID, fmt.Sprintf("volume %d exceeds its limit by %.1f units, %.1f are allowed", volume, -level, -minLevel))
				break
			}
		}
	}
}

// checkColdServers checks the requests that all schedulers together send to servers that have
// just started against their cold budget.
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
			c.addViolation("failback", arrival, -1, "", fmt.Sprintf("server %d got %d requests within %s, %.1f s after its start; allowed are %.1f", server, count, c.rules.OverloadWindow, (arrival-startedAt).Seconds(), budget))
			return
		}
	}
}

// coldBudget returns how many requests of mean size a server of this age takes within
// OverloadWindow: the expected number N plus 2*sqrt(N)+2 of random variation, or 3*sqrt(N)+3
// below N = 30.
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

// checkProcesses checks that no scheduler exits unexpectedly, that none has to be killed after
// SIGTERM and that none exceeds its memory.
func (c *checker) checkProcesses() {
	for _, exit := range c.record.Exits {
		if exit.Crashed {
			c.addViolation("crash", exit.ExitedAt, exit.Scheduler, "", "unexpected exit: "+logTail(exit.Log))
		}
		if c.rules.MaxMemoryMB > 0 && exit.PeakMemoryMB > c.rules.MaxMemoryMB {
			c.addViolation("memory", exit.ExitedAt, exit.Scheduler, "", fmt.Sprintf("%.1f MB resident, %.0f MB are allowed", exit.PeakMemoryMB, c.rules.MaxMemoryMB))
		}
		if exit.Killed && exit.SigtermAt > 0 {
			c.addViolation("stop", exit.ExitedAt, exit.Scheduler, "", fmt.Sprintf("still running %.3f s after SIGTERM", (exit.ExitedAt-exit.SigtermAt).Seconds()))
		}
	}
}

// checkHostileGroups checks that hostile clients of each group have connected.
func (c *checker) checkHostileGroups() {
	for _, group := range c.rules.HostileGroups {
		if c.record.HostileConns[group.Kind] == 0 {
			c.addViolation("untried", c.record.Now(), -1, "", "no hostile client has connected of the kind "+group.Kind.String())
		}
	}
}

// checkResponseFaults checks that the run has tried each kind of faulty response.
func (c *checker) checkResponseFaults() {
	if !c.rules.AllResponseFaults {
		return
	}
	for fault, count := range c.record.ResponseFaults {
		if count == 0 {
			c.addViolation("untried", c.record.Now(), -1, "", "no response was faulty in this way: "+ResponseFault(fault).String())
		}
	}
}

func logTail(log string) string {
	const maxBytes = 600
	log = strings.TrimSpace(log)
	return log[max(len(log)-maxBytes, 0):]
}
