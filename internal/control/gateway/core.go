// Package gateway is the running scheduler of one host: the front that speaks
// iSCSI, the host core that owns the module's instance, and the back that keeps
// connections to disk servers. Every decision on order, depth, sending, repeats,
// refusals, drains, cold nodes and limits is the module's (package policy); what
// stands here only tells it what happened and carries out what it says.
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

// jobOutcome is how a request ended.
type jobOutcome int

const (
	jobServed jobOutcome = iota
	jobRefused
	jobFailed
	jobAborted // the client ended it
)

// job is one request of the module: a command's part on one shard.
type job struct {
	id              string
	req             policy.Request
	message         diskproto.Do // what every attempt says, but for its number and deadline
	owner           owner
	attempts        int
	outstanding     int
	ended           bool
	noNewAttempts   atomic.Bool // the same to other goroutines
	lastAttempt     *attempt    // the one sent last
	effectDeadline  float64     // until then a lost attempt may still take effect
	settled         bool
	generation      uint64         // of the shard's home when it was first sent
	classCounters   *requestCounts // that it goes to
	submittedAt     float64
	latencyTargetAt float64
	dedupScope      policy.DedupScope
	dataBuffer      *[]byte // what the data of the answer under way lies in
	abortedUnsent   bool    // ended because the command's answer no longer depends on it
}

// markEnded notes that the job has its one markEnded: nothing more goes out for it.
func (j *job) markEnded() {
	j.ended = true
	j.noNewAttempts.Store(true)
}

// owner is who a job was made for. It is told on the host's goroutine.
type owner interface {
	// jobEnded is the job's one end; ans is there if it was served.
	jobEnded(j *job, outcome jobOutcome, retryAfter float64, answer *diskproto.Answer)
	// jobSettled says that nothing of the job can take effect any more.
	jobSettled()
}

// attempt is one sending of a job. Its state is the only thing that host core and
// back share: the one that moves it out of waiting decides whether it was sent.
type attempt struct {
	job          *job
	number       int
	node         string
	issuedAt     float64
	answerBy     float64
	beginBy      float64 // it has to have begun by then
	generation   uint64  // of the shard's home
	state        atomic.Int32
	outcomeKnown bool
	withdrawn    bool // it was taken back before it began
	tag          uint32
	serverConn   *serverConn // that it was given to; the host's goroutine's
	timer        timer
}

const (
	attemptWaiting int32 = iota
	attemptSent
	attemptDropped
)

// claim is the back's: it tells whether the attempt may still go out.
func (a *attempt) claim() bool { return a.state.CompareAndSwap(attemptWaiting, attemptSent) }

// drop is the host core's: it tells whether the attempt was kept from going out.
func (a *attempt) drop() bool { return a.state.CompareAndSwap(attemptWaiting, attemptDropped) }

// mayBegin tells whether the attempt may begin now. On any goroutine.
func (a *attempt) mayBegin(now float64) bool {
	return !a.job.noNewAttempts.Load() && now <= a.beginBy && now < a.answerBy
}

// effectHandler is what a host core has done. The calls must not block nor call back.
type effectHandler interface {
	send(a *attempt)
	cancel(a *attempt)
	attemptTimedOut(a *attempt) // its time is up; an answer no longer matters
	jobEnded(j *job, outcome jobOutcome, retryAfter float64, answer *diskproto.Answer)
	jobSettled(j *job) // of a job that the client ended: nothing of it can land any more
	fetchList()
	renewLease()             // ask for a lease at once
	setLeaseEnd(end float64) // the lease's end, by the host's clock
	retire(node string)      // close the connection once it has nothing out
	warn(text string)
}

// core owns the module's instance and everything that the module was told and
// has said. It is a core: times and events in, effects out, no I/O.
type core struct {
	scheduler       policy.Scheduler
	effects         effectHandler
	now             float64
	jobs            map[string]*job
	timers          timerQueue
	lastSeq         uint64
	startTimes      map[incarnationKey]float64 // when a node's incarnation started, on this clock
	listSeen        bool
	nodes           map[string]inventory.Node
	demand          *rates.Meter
	planLimits      map[string]float64 // units a second of a plan's volumes, over all hosts
	regions         *regionState       // nil: there is one
	dedupScopes     map[string]policy.DedupScope
	latencyTargets  map[string]float64 // by class, ms
	hostIndex       int
	zone            string
	settingsVersion uint64             // of the settings in force
	limitedRequests uint64             // requests that were let go of unsent while their volume asked for more than its limit
	limitWarnedAt   map[string]float64 // when that was last said of a volume
	// Sends and Resends count attempts; for operators.
	sends, resends uint64
	counters       coreMetrics
}

type incarnationKey struct {
	addr        string
	incarnation uint64
}

// rateWindowSeconds is how many seconds a measured rate looks back on: long enough for the
// spread to mean something, short against the hours for which layouts are made.
const rateWindowSeconds = 300

func newCore(now float64, s *settings.Settings, hostIndex int, zone string, seed uint64, effects effectHandler) *core {
	h := &core{regions: newRegionState(s, hostIndex), hostIndex: hostIndex, zone: zone, limitWarnedAt: map[string]float64{}, now: now, demand: rates.New(now, rateWindowSeconds),
		effects: effects, jobs: map[string]*job{}, startTimes: map[incarnationKey]float64{}, nodes: map[string]inventory.Node{}, counters: newCoreMetrics()}
	h.scheduler = policy.New(h.applySettings(s), seed)
	return h
}

// applySettings takes what the core itself needs of settings and returns what the module does.
func (h *core) applySettings(s *settings.Settings) policy.Settings {
	s = s.Held()
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

// updateSettings brings other settings for the requests that are taken from now on.
func (h *core) updateSettings(now float64, s *settings.Settings) {
	h.advance(now)
	policySettings := h.applySettings(s)
	if h.regions != nil {
		h.regions.applySettings(s)
	}
	h.notify(policy.SettingsChanged{Settings: policySettings})
}

// advance moves the clock, which never goes back.
func (h *core) advance(now float64) { h.now = max(h.now, now) }

// submit hands a request to the module.
func (h *core) submit(now float64, j *job) {
	h.advance(now)
	h.lastSeq++
	j.message.Under = h.settingsVersion
	j.id = strconv.FormatUint(h.lastSeq, 36)
	j.req.ID, j.message.Seq = j.id, h.lastSeq
	if h.regions != nil {
		h.regions.setLimitShare(h.now, &j.req)
		j.dedupScope, j.message.Copied = h.dedupScopes[j.req.Class], h.regions.copied[j.req.Plan]
	}
	h.jobs[j.id] = j
	j.classCounters = h.counters.countsFor(&j.req)
	j.classCounters.Taken++
	j.submittedAt = h.now
	j.latencyTargetAt = h.now + h.latencyTargets[j.req.Class]
	h.demand.Add(h.now, j.req.Volume, j.req.Units, j.req.Write)
	h.notify(j.req)
}

// notify gives the module an event and carries out what it says.
func (h *core) notify(ev policy.Event) {
	// The slice of actions is the module's and is overwritten by the next event;
	// carrying an action out never tells the module anything by itself.
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
		h.effects.fetchList() // Subscribe needs nothing: the client always is
	case policy.CloseIdle:
		h.effects.retire(a.Node)
	case policy.Log:
		h.effects.warn(a.Text)
	}
}

func (h *core) send(s policy.Send) {
	j := h.jobs[s.ID]
	if j == nil || j.ended {
		h.effects.warn("send for a request that is over: " + s.ID)
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
		a.timer.Due, a.timer.Value.cancelled = h.now, true // the module is in the midst of an event
	}
	h.timers.Push(&a.timer)
}

// withdraw takes back an attempt that waits for its connection still; the outcome comes with
// the next tick, for the module is in the middle of an event.
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

// cancel stops waiting for an attempt; the outcome comes with the next tick, for
// the module is in the middle of an event.
func (h *core) cancel(j *job, number int) {
	for _, timer := range h.timers.All() { // rare: the module's own time-outs do most
		if a := timer.Value.attempt; a != nil && a.job == j && a.number == number {
			h.timers.Remove(timer)
			timer.Due, timer.Value.cancelled = h.now, true
			h.timers.Push(timer)
			h.effects.cancel(a)
			return
		}
	}
}

// finishUnserved is a final answer by the module.
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

// limitWarnInterval is how often a volume that its limit holds back is named in the log, ms.
const limitWarnInterval = 60_000

// recordLimited says, now and then, that a limit is what holds a volume back: a request of it
// was never sent, and the volume asks this host for more than the host's part. It
// decides nothing.
func (h *core) recordLimited(j *job) {
	limit := h.planLimits[j.req.Plan]
	if limit == 0 || j.attempts > 0 {
		return
	}
	hostLimit := limit / float64(max(j.req.Hosts, 1))
	demand := h.demand.Of(h.now, j.req.Volume)
	if demand <= hostLimit {
		return
	}
	h.limitedRequests++
	if warnedAt, warned := h.limitWarnedAt[j.req.Volume]; warned && h.now-warnedAt < limitWarnInterval {
		return
	}
	h.limitWarnedAt[j.req.Volume] = h.now
	h.effects.warn(fmt.Sprintf("volume %s of plan %s asks this host for %.1f units a second, its limit lets it have %.1f here; requests wait and are refused for that",
		j.req.Volume, j.req.Plan, demand, hostLimit))
}

// removeIfDone forgets a job that is over and has nothing out.
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

// abort ends a request from the client's side.
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

var policyResults = map[diskproto.Result]policy.Result{
	diskproto.OK:         policy.Served,
	diskproto.Miscompare: policy.Served, // it ran, and said no
	diskproto.Failed:     policy.ServerError,
	diskproto.Full:       policy.Rejected,
	diskproto.Draining:   policy.Rejected,
	diskproto.Expired:    policy.Rejected,
	diskproto.WrongShard: policy.NotSent,
	diskproto.Fenced:     policy.Served, // the server has done its work, which was to say no
	diskproto.Stale:      policy.NotSent,
}

// receiveAnswer brings a disk server's answer. Of an attempt that is over already
// (timed out) it comes too late and changes nothing.
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

// failAttempt ends an attempt without an answer.
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

func (h *core) endAttempt(a *attempt, result policy.Result, outcome policy.Outcome) {
	a.outcomeKnown = true
	h.timers.Remove(&a.timer)
	j := a.job
	j.outstanding--
	h.counters.recordAttempt(a.node, result, h.nodes)
	outcome.ID, outcome.Node, outcome.Attempt, outcome.Done, outcome.Elapsed, outcome.Result = j.id, a.node, a.number, j.ended, h.now-a.issuedAt, result
	h.notify(outcome)
	h.removeIfDone(j)
}

// nextDue is when tick has something to do, +Inf if never.
func (h *core) nextDue() float64 { return h.timers.NextDue() }

// runDue does what has come due.
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

// expireAttempt ends an attempt whose time is up. If it was still waiting for a
// connection, nothing of it left the host. One that began in time goes on.
func (h *core) expireAttempt(a *attempt, cancelled bool) {
	switch {
	case a.withdrawn:
		h.endAttempt(a, policy.NotSent, policy.Outcome{})
	case a.serverConn == nil && cancelled && a.drop(): // it was not to go
		h.endAttempt(a, policy.NotSent, policy.Outcome{})
	case a.drop():
		h.endAttempt(a, policy.NoConnection, policy.Outcome{})
	case a.state.Load() == attemptDropped: // by the back: its outcome is on its way
	case !cancelled && h.now < a.answerBy:
		h.resetTimer(a, a.answerBy)
	case cancelled:
		a.job.effectDeadline = max(a.job.effectDeadline, a.answerBy)
		h.endAttempt(a, policy.Cancelled, policy.Outcome{})
	default: // its deadline has passed at the server too: it can't begin any more
		h.effects.attemptTimedOut(a)
		h.endAttempt(a, policy.NoAnswer, policy.Outcome{})
	}
}

// updateNodes brings the node updateNodes.
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

// reportNodes tells the module of nodes, of all there are where full.
func (h *core) reportNodes(full bool, list []inventory.Node) {
	nodes := make([]policy.Node, len(list))
	for i, n := range list {
		nodes[i] = policy.Node{Addr: n.Addr, Health: h.effectiveHealth(n), Shard: n.Shard, Zone: n.Zone, Weight: n.Weight, Started: h.startTime(n)}
	}
	h.notify(policy.NodeList{Full: full, Nodes: nodes})
}

func compareAddr(a, b inventory.Node) int { return strings.Compare(a.Addr, b.Addr) }

var policyHealth = map[string]policy.Health{
	inventory.Ready: policy.Ready, inventory.Draining: policy.Draining, inventory.Gone: policy.Removed,
}

// startTime turns an age into a time on this clock, once for each incarnation: the
// module takes another time for another start.
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
