// Package gateway runs a storage scheduler on one host, between iSCSI initiators and disk
// servers. It holds the iSCSI frontend, the core that owns the instance of policy.Scheduler,
// and the pool of connections to disk servers. All decisions on order, depth, sending,
// retries, refusals, drains, cold disk servers and limits are made by package policy. This
// package reports events to the policy and carries out its actions.
package gateway

import (
	"fmt"
	"math"
	"strconv"
	"strings"
	"sync/atomic"

	"merlinhitch/internal/control/settings"
	"merlinhitch/internal/fleet/rates"
	"merlinhitch/internal/protocol/diskproto"
	"merlinhitch/internal/protocol/inventory"
	"merlinhitch/internal/simulation/faultinject"
	"merlinhitch/policy"
)

// jobOutcome is the final result of a job. A command's result is the largest of its jobs'.
type jobOutcome int

const (
	jobServed jobOutcome = iota
	jobRefused
	jobFailed
	jobAborted // by the client, or because its command can no longer succeed
)

// job is one request of the policy: the part of a command that goes to one shard, or an
// internal request. Its fields belong to the host's goroutine once it is submitted.
type job struct {
	id              string
	req             policy.Request
	message         diskproto.Do // sent with each attempt, which adds its number, generation and deadline
	owner           owner
	attempts        int         // issued so far
	outstanding     int         // attempts without an outcome
	ended           bool        // it has its final result
	mayHaveRun      bool        // an attempt that has an outcome may have been executed
	noNewAttempts   atomic.Bool // ended, for other goroutines: no attempt may begin
	lastAttempt     *attempt
	effectDeadline  float64          // an attempt without an answer may take effect until then
	settled         bool             // owner.jobSettled was called
	generation      uint64           // of the shard's home at the first attempt; 0: not known
	classCounters   *requestCounters // counters of its class and plan
	submittedAt     float64
	latencyTargetAt float64
	dedupScope      policy.DedupScope
	dataBuffer      *[]byte // holds the data of the answer being handled; nil once the command took it over
	abortedUnsent   bool    // aborted before its first attempt, since another part of its command was not served
}

// markEnded records that the job has its final result and keeps further attempts from beginning.
func (j *job) markEnded() {
	j.ended = true
	j.noNewAttempts.Store(true)
}

// owner receives the result of a job, on the host's goroutine.
type owner interface {
	// jobEnded is called once. answer is nil unless the job was served; retryAfter is in ms,
	// 0 for none.
	jobEnded(j *job, outcome jobOutcome, retryAfter float64, answer *diskproto.Answer)
	// jobSettled is called once, when no attempt of the job can take effect any more.
	jobSettled()
}

// attempt is one attempt of a job at a disk server. The core and the connection pool share its
// state: whichever moves it out of attemptWaiting decides whether it is sent.
type attempt struct {
	job          *job
	number       int
	node         string
	issuedAt     float64 // when the policy sent it
	answerBy     float64 // deadline for the answer
	beginBy      float64 // deadline for the start of the write; +Inf: none
	generation   uint64  // of the shard's home
	state        atomic.Int32
	outcomeKnown bool        // it has ended
	withdrawn    bool        // by the policy, before it began
	tag          uint32      // on its connection
	serverConn   *serverConn // set and read on the host's goroutine; nil: it was not passed to the pool
	timer        timer
}

// The states of an attempt.
const (
	attemptWaiting int32 = iota // for its connection
	attemptSent                 // claimed by its connection
	attemptDropped              // it will not be sent
)

// claim is called by the connection pool and reports whether the attempt may still be sent.
func (a *attempt) claim() bool { return a.state.CompareAndSwap(attemptWaiting, attemptSent) }

// drop reports whether it kept the attempt from being sent.
func (a *attempt) drop() bool { return a.state.CompareAndSwap(attemptWaiting, attemptDropped) }

// mayBegin reports whether the attempt may begin now. It may be called on any goroutine.
func (a *attempt) mayBegin(now float64) bool {
	return !a.job.noNewAttempts.Load() && now <= a.beginBy && now < a.answerBy
}

// effectHandler carries out the core's effects. Its methods must not block or call notify.
type effectHandler interface {
	send(a *attempt)
	cancel(a *attempt)
	attemptTimedOut(a *attempt) // its answer is ignored from now on
	jobEnded(j *job, outcome jobOutcome, retryAfter float64, answer *diskproto.Answer)
	jobSettled(j *job)
	fetchList()
	renewLease()             // requests a lease at once
	setLeaseEnd(end float64) // ms on the host's clock
	retire(node string)      // closes the connection once it has no outstanding attempt
	warn(text string)
}

// core owns the policy's instance, the open jobs, their attempts and the node list. It gets
// times and events as arguments and does no I/O. Times are in ms on the host's clock.
type core struct {
	scheduler       policy.Scheduler
	effects         effectHandler
	now             float64
	jobs            map[string]*job
	timers          timerQueue
	lastSeq         uint64
	startTimes      map[incarnationKey]float64 // on this clock
	listSeen        bool                       // a node list was received
	nodes           map[string]inventory.Node  // by address
	demand          *rates.Meter               // rates of submitted requests, by volume
	planLimits      map[string]float64         // units/s of each volume of a plan, over all hosts
	regions         *regionState               // nil: the service has one region
	dedupScopes     map[string]policy.DedupScope
	latencyTargets  map[string]float64 // by class, ms
	hostIndex       int
	zone            string
	settingsVersion uint64
	limitedRequests uint64             // requests that ended unsent while their volume requested more than its limit
	limitWarnedAt   map[string]float64 // when that was last logged, by volume
	// sends counts all attempts, resends those after the first of a job.
	sends, resends uint64
	counters       coreCounters
}

// incarnationKey identifies one run of a disk server process.
type incarnationKey struct {
	addr        string
	incarnation uint64
}

// rateTimeConstantSeconds is the time constant, s, of the exponentially weighted rates of volumes. It is
// long enough for the spread of a rate to have a meaning, and short against the hours for which layouts
// are planned.
const rateTimeConstantSeconds = 300

func newCore(now float64, s *settings.Settings, hostIndex int, zone string, seed uint64, effects effectHandler) *core {
	h := &core{regions: newRegionState(s, hostIndex), hostIndex: hostIndex, zone: zone, limitWarnedAt: map[string]float64{}, now: now, demand: rates.New(now, rateTimeConstantSeconds),
		effects: effects, jobs: map[string]*job{}, startTimes: map[incarnationKey]float64{}, nodes: map[string]inventory.Node{}, counters: newCoreCounters()}
	h.scheduler = policy.New(h.applySettings(s), seed)
	return h
}

// applySettings stores the settings that the core itself uses and returns those of the policy.
func (h *core) applySettings(s *settings.Settings) policy.Settings {
	s = s.Effective()
	h.settingsVersion, h.planLimits, h.dedupScopes, h.latencyTargets = s.Version, map[string]float64{}, map[string]policy.DedupScope{}, map[string]float64{}
	for _, plan := range s.Plans {
		if plan.Limit > 0 {
			h.planLimits[plan.Name] = plan.Limit
		}
	}
	policySettings := s.Policy(h.hostIndex, h.zone)
	if faultinject.Active(faultinject.RepeatUnsafe) {
		for i := range policySettings.Classes {
			if policySettings.Classes[i].Effect == policy.NonIdempotent {
				policySettings.Classes[i].Effect, policySettings.Classes[i].DedupWindow = policy.Keyed, policySettings.Classes[i].Deadline
			}
		}
	}
	if faultinject.Active(faultinject.LimitMisread) {
		for i := range policySettings.Plans {
			policySettings.Plans[i].Limit *= 4
		}
	}
	for _, class := range policySettings.Classes {
		h.dedupScopes[class.Name], h.latencyTargets[class.Name] = class.DedupScope, class.LatencyTarget
	}
	return policySettings
}

// updateSettings passes new settings to the policy; they apply to requests submitted from now on.
func (h *core) updateSettings(now float64, s *settings.Settings) {
	h.advance(now)
	policySettings := h.applySettings(s)
	if h.regions != nil {
		h.regions.applySettings(s)
	}
	h.notify(policy.SettingsChanged{Settings: policySettings})
}

// advance moves the clock forward; an earlier time leaves it as it is.
func (h *core) advance(now float64) { h.now = max(h.now, now) }

// submit assigns a new job its ID and passes it to the policy.
func (h *core) submit(now float64, j *job) {
	h.advance(now)
	h.lastSeq++
	if !j.req.Resubmitted { // a part that is sent again belongs to the version that split its command
		j.message.Under = h.settingsVersion
	}
	j.id = strconv.FormatUint(h.lastSeq, 36)
	j.req.ID, j.message.Seq = j.id, h.lastSeq
	if h.regions != nil {
		h.regions.setLimitShare(h.now, &j.req)
		j.dedupScope, j.message.Copied = h.dedupScopes[j.req.Class], h.regions.copyBeforeAck[j.req.Plan]
	}
	h.jobs[j.id] = j
	j.classCounters = h.counters.countersFor(&j.req)
	j.classCounters.Taken++
	j.submittedAt = h.now
	j.latencyTargetAt = h.now + h.latencyTargets[j.req.Class]
	h.demand.Add(h.now, j.req.Volume, j.req.Units, j.req.Write)
	h.notify(j.req)
}

// notify passes an event to the policy and performs the actions that it returns. It must not be
// called while an action is performed: the slice of actions is valid until the next event only.
func (h *core) notify(ev policy.Event) {
	for _, a := range h.scheduler.Handle(h.now, ev) {
		h.perform(a)
	}
}

func (h *core) perform(a policy.Action) {
	switch a := a.(type) {
	case policy.Send:
		h.send(a)
	case policy.Refuse:
		h.finishUnserved(a.ID, jobRefused, a.RetryAfter, a.Cause)
	case policy.Fail:
		h.finishUnserved(a.ID, jobFailed, 0, a.Cause)
	case policy.CancelAttempt:
		if j := h.jobs[a.ID]; j != nil {
			h.cancel(j, a.Attempt)
		}
	case policy.Withdraw:
		if j := h.jobs[a.ID]; j != nil && j.lastAttempt != nil && j.lastAttempt.number == a.Attempt {
			h.withdraw(j.lastAttempt)
		}
	case policy.SetTimer:
		h.timers.Push(&timer{Due: h.now + a.Delay, Value: timerEvent{name: a.Name}})
	case policy.FetchList:
		h.effects.fetchList() // policy.Subscribe needs no action, since the inventory client is always subscribed
	case policy.CloseIdle:
		h.effects.retire(a.Node)
	case policy.Log:
		h.effects.warn(a.Text)
	}
}

// send issues an attempt. One that stampGeneration refuses ends as not sent by the next runDue.
func (h *core) send(s policy.Send) {
	j := h.jobs[s.ID]
	if j == nil || j.ended {
		h.effects.warn("policy sent an attempt for a request that has ended: " + s.ID)
		return
	}
	answerBy := j.req.Expires
	if s.TimeoutAt > 0 {
		answerBy = min(answerBy, s.TimeoutAt)
	}
	a := &attempt{job: j, number: j.attempts, node: s.Node, issuedAt: h.now, answerBy: answerBy, beginBy: math.Inf(1)}
	if s.StartBy > 0 {
		a.beginBy = s.StartBy
	}
	j.lastAttempt = a
	maySend := h.stampGeneration(a)
	j.attempts++
	j.outstanding++
	h.sends++
	if a.number > 0 {
		h.resends++
	}
	a.timer = timer{Due: min(a.beginBy, a.answerBy), Value: timerEvent{attempt: a}}
	if maySend {
		h.effects.send(a)
	} else {
		a.timer.Due, a.timer.Value.cancelled = h.now, true // reported by the next runDue, since the policy is handling an event
	}
	h.timers.Push(&a.timer)
}

// withdraw ends an attempt that still waits for its connection. Its outcome is reported by the
// next runDue, since the policy is handling an event.
func (h *core) withdraw(a *attempt) {
	if !a.outcomeKnown && a.drop() {
		a.withdrawn = true
		h.resetTimer(a, h.now)
	}
}

func (h *core) resetTimer(a *attempt, due float64) {
	h.timers.Remove(&a.timer)
	a.timer.Due = due
	h.timers.Push(&a.timer)
}

// cancel stops waiting for an attempt. Its outcome is reported by the next runDue, since the
// policy is handling an event.
func (h *core) cancel(j *job, number int) {
	for _, timer := range h.timers.All() { // linear, but rare: most attempts end by their own timeouts
		if a := timer.Value.attempt; a != nil && a.job == j && a.number == number {
			h.timers.Remove(timer)
			timer.Due, timer.Value.cancelled = h.now, true
			h.timers.Push(timer)
			h.effects.cancel(a)
			return
		}
	}
}

// finishUnserved ends a job that the policy refused or failed.
func (h *core) finishUnserved(id string, outcome jobOutcome, retryAfter float64, cause policy.Reason) {
	j := h.jobs[id]
	if j == nil || j.ended {
		return
	}
	j.markEnded()
	j.classCounters.recordEnd(j, outcome, h.now)
	j.classCounters.Reasons[cause]++
	h.recordLimited(j)
	h.effects.jobEnded(j, outcome, retryAfter, nil)
	h.removeIfDone(j)
}

// limitWarnInterval is the least time, ms, between two warnings that a volume exceeds its limit.
const limitWarnInterval = 60_000

// recordLimited counts and logs a job that was never sent while its volume requested more from
// this host than the host's part of the limit. It has no effect on scheduling.
func (h *core) recordLimited(j *job) {
	limit := h.planLimits[j.req.Plan]
	if limit == 0 || j.attempts > 0 {
		return
	}
	hostLimit := limit / float64(max(j.req.Hosts, 1))
	demand := h.demand.VolumeRate(h.now, j.req.Volume)
	if demand <= hostLimit {
		return
	}
	h.limitedRequests++
	if warnedAt, warned := h.limitWarnedAt[j.req.Volume]; warned && h.now-warnedAt < limitWarnInterval {
		return
	}
	h.limitWarnedAt[j.req.Volume] = h.now
	h.effects.warn(fmt.Sprintf("volume %s of plan %s requests %.1f units/s from this host, more than the %.1f units/s that its limit allows here: requests are delayed or refused",
		j.req.Volume, j.req.Plan, demand, hostLimit))
}

// removeIfDone removes a job that has ended and has no outstanding attempt. If an attempt may
// still take effect at its disk server, the job is settled at effectDeadline, else at once.
func (h *core) removeIfDone(j *job) {
	if !j.ended || j.outstanding > 0 {
		return
	}
	delete(h.jobs, j.id)
	j.message.Data = nil
	if j.settled {
		return
	}
	if j.effectDeadline > h.now {
		h.timers.Push(&timer{Due: j.effectDeadline, Value: timerEvent{job: j}})
		return
	}
	j.settled = true
	h.effects.jobSettled(j)
}

// abort ends a job without a result from the policy. Outstanding attempts may complete.
func (h *core) abort(now float64, j *job) {
	h.advance(now)
	if j.ended || h.jobs[j.id] != j {
		return
	}
	j.markEnded()
	j.classCounters.recordEnd(j, jobAborted, h.now)
	h.effects.jobEnded(j, jobAborted, 0, nil)
	h.notify(policy.ClientGone{ID: j.id})
	h.removeIfDone(j)
}

// policyResults maps the results of disk servers to those of attempts.
var policyResults = map[diskproto.Result]policy.Result{
	diskproto.OK:         policy.Served,
	diskproto.Miscompare: policy.Served, // the comparison was executed
	diskproto.Failed:     policy.ServerError,
	diskproto.Full:       policy.Rejected,
	diskproto.Draining:   policy.Rejected,
	diskproto.Expired:    policy.Rejected,
	diskproto.WrongShard: policy.NotSent,
	diskproto.Fenced:     policy.Served, // the server is healthy and applied the fence
	diskproto.Stale:      policy.NotSent,
}

// receiveAnswer ends an attempt with a disk server's answer. An answer to an attempt that has
// ended already is ignored.
func (h *core) receiveAnswer(now float64, a *attempt, answer *diskproto.Answer) {
	h.advance(now)
	if a.outcomeKnown {
		return
	}
	if answer.Result == diskproto.Stale {
		h.refusedStale(a)
	}
	result := policyResults[answer.Result]
	if result == policy.Served && !a.job.ended {
		a.job.markEnded()
		a.job.classCounters.recordEnd(a.job, jobServed, h.now)
		h.effects.jobEnded(a.job, jobServed, 0, answer)
	}
	report := make([]policy.Reading, len(answer.Report))
	for i, f := range answer.Report {
		report[i] = policy.Reading(f)
	}
	h.endAttempt(a, result, policy.Outcome{FromOthers: answer.Others, Use: float64(answer.Use), Report: report})
}

// failAttempt ends an attempt without an answer, unless it has ended already.
func (h *core) failAttempt(now float64, a *attempt, result policy.Result) {
	h.advance(now)
	if a.outcomeKnown {
		return
	}
	if result == policy.ConnectionLost {
		a.job.effectDeadline = max(a.job.effectDeadline, a.answerBy)
	}
	h.endAttempt(a, result, policy.Outcome{})
}

// endAttempt reports an attempt's outcome to the policy.
func (h *core) endAttempt(a *attempt, result policy.Result, outcome policy.Outcome) {
	a.outcomeKnown = true
	h.timers.Remove(&a.timer)
	j := a.job
	j.outstanding--
	j.mayHaveRun = j.mayHaveRun || mayHaveRun(result)
	h.counters.recordAttempt(a.node, result, h.nodes)
	outcome.ID, outcome.Node, outcome.Attempt, outcome.Done, outcome.Elapsed, outcome.Result = j.id, a.node, a.number, j.ended, h.now-a.issuedAt, result
	h.notify(outcome)
	h.removeIfDone(j)
}

// mayHaveRun reports whether an attempt with that result may have been executed.
func mayHaveRun(result policy.Result) bool {
	return result != policy.Rejected && result != policy.NoConnection && result != policy.NotSent
}

// nextDue returns the time of the earliest timer, +Inf if there is none.
func (h *core) nextDue() float64 { return h.timers.NextDue() }

// runDue handles the timers that are due.
func (h *core) runDue(now float64) {
	h.advance(now)
	for timer := h.timers.PopDue(h.now); timer != nil; timer = h.timers.PopDue(h.now) {
		switch event := timer.Value; {
		case event.attempt != nil:
			h.expireAttempt(event.attempt, event.cancelled)
		case event.job != nil:
			h.removeIfDone(event.job)
		case event.name == leaseTimerName:
			h.checkLease()
		default:
			h.notify(policy.TimerFired{Name: event.name})
		}
	}
}

// expireAttempt handles an attempt's timer: it ends the attempt, unless that began in time and its
// answer is not due yet. An attempt that still waits for a connection has certainly not been sent.
func (h *core) expireAttempt(a *attempt, cancelled bool) {
	switch {
	case a.withdrawn:
		h.endAttempt(a, policy.NotSent, policy.Outcome{})
	case a.serverConn == nil && cancelled && a.drop(): // stampGeneration refused it
		h.endAttempt(a, policy.NotSent, policy.Outcome{})
	case a.drop():
		h.endAttempt(a, policy.NoConnection, policy.Outcome{})
	case a.state.Load() == attemptDropped: // by the connection, which has posted the outcome
	case !cancelled && h.now < a.answerBy:
		h.resetTimer(a, a.answerBy)
	case cancelled:
		a.job.effectDeadline = max(a.job.effectDeadline, a.answerBy)
		h.endAttempt(a, policy.Cancelled, policy.Outcome{})
	default: // it can no longer take effect: its deadline has passed at the server too
		h.effects.attemptTimedOut(a)
		h.endAttempt(a, policy.NoAnswer, policy.Outcome{})
	}
}

// updateNodes applies a node list, full or of changes, and passes it to the policy.
func (h *core) updateNodes(now float64, list inventory.List) {
	h.advance(now)
	if list.Kind == inventory.Failed {
		h.notify(policy.ListFailed{})
		return
	}
	if list.Kind == inventory.Full {
		clear(h.nodes)
	}
	for i, n := range list.Nodes {
		if faultinject.Active(faultinject.DrainOverlooked) && n.Health == inventory.Draining {
			list.Nodes[i].Health = inventory.Ready
		}
		h.nodes[n.Addr] = list.Nodes[i]
	}
	h.listSeen = true
	h.reportNodes(list.Kind == inventory.Full, list.Nodes)
	for _, n := range list.Nodes {
		if n.Health == inventory.Gone {
			delete(h.nodes, n.Addr)
			delete(h.startTimes, incarnationKey{n.Addr, n.Incarnation})
			h.effects.retire(n.Addr)
		}
	}
}

// reportNodes passes nodes to the policy. If full is set, they are the whole list.
func (h *core) reportNodes(full bool, list []inventory.Node) {
	nodes := make([]policy.Node, len(list))
	for i, n := range list {
		nodes[i] = policy.Node{Addr: n.Addr, Health: h.effectiveHealth(n), Shard: n.Shard, Zone: n.Zone, Weight: n.Weight, Started: h.startTime(n)}
	}
	h.notify(policy.NodeList{Full: full, Nodes: nodes})
}

func compareAddr(a, b inventory.Node) int { return strings.Compare(a.Addr, b.Addr) }

// policyHealth maps health values of the inventory to the policy's.
var policyHealth = map[string]policy.Health{
	inventory.Ready: policy.Ready, inventory.Draining: policy.Draining, inventory.Gone: policy.Removed,
}

// startTime returns a node's start on the core's clock; 0 stands for long ago. It is computed from
// the age once for each incarnation, since the policy takes a different time for a new start.
func (h *core) startTime(n inventory.Node) float64 {
	if n.AgeMS <= 0 || faultinject.Active(faultinject.StartUnheard) {
		return 0
	}
	key := incarnationKey{n.Addr, n.Incarnation}
	startedAt, ok := h.startTimes[key]
	if !ok {
		startedAt = max(h.now-n.AgeMS, math.SmallestNonzeroFloat64)
		h.startTimes[key] = startedAt
	}
	return startedAt
}
