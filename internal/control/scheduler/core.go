package scheduler

import (
	"cmp"
	"fmt"
	"maps"
	"math"
	"slices"
	"sync/atomic"

	"merlinhitch/internal/runtime/timerqueue"
	"merlinhitch/policy"
)

// callOutcome is the final result of a call.
type callOutcome int

const (
	callServed callOutcome = iota
	callRefused
	callFailed
)

func (o callOutcome) String() string { return [...]string{"served", "refused", "failed"}[o] }

// forwardedRequest holds the parts of a client's request that are forwarded to disk servers.
type forwardedRequest struct {
	method, target string
	key            string // Idempotency-Key
	body           []byte
}

// call is one request of a client, from its last byte to its answer.
type call struct {
	forwardedRequest
	req         policy.Request
	replyTo     recipient
	attempts    int // issued so far
	lastAttempt *attempt
	outstanding int  // attempts without an outcome
	ended       bool // it has its final result, or the client left
	mayHaveRun  bool // an attempt may have been executed
	// noNewAttempts tells other goroutines that no attempt may begin. It is set with ended, and
	// earlier where the client's goroutine sees the disconnect before the loop does.
	noNewAttempts atomic.Bool
	// client tells whether the client is still there; nil: it is.
	client presence
	// release returns the memory of the request, once the call has ended; nil: nothing to return.
	release func()
}

// presence tells whether a client is still there.
type presence interface {
	// present reports whether the client's connection is open just now. Where that can't be told at
	// once, it waits, until the time until (ms, loop's clock) at the latest.
	present(until float64) bool
}

// recipient receives a call's result. deliver is called at most once, on the core's goroutine; it
// is not called if the client left first. retryAfter is in ms, 0 for none.
type recipient interface {
	deliver(outcome callOutcome, retryAfter float64, body []byte)
}

// attempt is one attempt of a call at a disk server. It waits for a connection, then begins on
// it, and ends with its outcome. The connection pool sets serverConn.
type attempt struct {
	call         *call
	number       int
	host         string
	issuedAt     float64 // when the policy sent it
	beginBy      float64 // deadline for the start of the write; +Inf: none
	answerBy     float64 // deadline for the response
	answeredAt   float64 // when its response had been read; 0: not yet
	begun        bool
	write        atomic.Int32 // a writeState; the loop may withdraw it while it waits for its write
	outcomeKnown bool         // it has ended
	serverConn   *serverConn
	timer        timerqueue.Timer[timerEvent]
}

// writeState tells whether an attempt that has begun may still be taken back.
type writeState int32

const (
	writePending   writeState = iota // nothing is written
	writeStarted                     // the write may have started
	writeWithdrawn                   // nothing will be written
)

// startWrite reports whether the attempt may be written, and marks that. It returns false if the attempt
// was withdrawn.
func (a *attempt) startWrite() bool {
	return a.write.CompareAndSwap(int32(writePending), int32(writeStarted))
}

// withdraw takes the attempt back. It returns false if the write may have started.
func (a *attempt) withdraw() bool {
	return a.write.CompareAndSwap(int32(writePending), int32(writeWithdrawn))
}

// timerEvent is the value of a timer: the timeout or cancellation of an attempt, or, where attempt
// is nil, a timer that the policy set.
type timerEvent struct {
	attempt     *attempt
	cancelled   bool
	policyTimer string
}

// attemptProgress is how far an abandoned attempt had come.
type attemptProgress int

const (
	progressSent         attemptProgress = iota // it may have reached the disk server
	progressNotConnected                        // a connection was dialled but not established in time
	progressNotDialled                          // no connection was dialled for it, for lack of local resources or of a listed server
)

// effectHandler carries out the core's effects. Its methods must not block or call notify.
type effectHandler interface {
	send(a *attempt)
	abandon(a *attempt) attemptProgress // the caller then ends the attempt
	serverListed(e ServerEntry)         // adds a server or updates its address
	serverRemoved(host string)          // no new attempts are sent there
	warn(text string)
}

// core owns the policy's instance, the open calls, their attempts and the server list. It gets
// times and events as arguments and does no I/O. Times are in ms on the core's own clock.
type core struct {
	scheduler     policy.Scheduler
	effects       effectHandler
	log           *eventLog // nil: nothing is logged
	now           float64
	zeroUnixMS    int64 // Unix time, ms, of the clock's zero
	calls         map[string]*call
	recentIDs     idHistory // of all calls
	executedIDs   idHistory // of ended calls that may have been executed
	timers        timerqueue.Queue[timerEvent]
	servers       map[string]listedServer // by host
	discoverySeen bool                    // a list came from discovery
	shardCount    int                     // as the settings have it; 0: not known
	counters      Counters
}

// Counters holds event counts since the start of a core. The log prints its field names.
type Counters struct {
	Taken, Served, Refused, Failed, Gone uint64
	Sends, Resends                       uint64
	Outcomes                             [policy.NotSent + 1]uint64 // by policy.Result
	Reasons                              map[string]uint64          // of refusals and failures
}

// listedServer is a disk server as last reported to the policy.
type listedServer struct {
	ServerEntry
	startedAt float64 // on the core's clock; 0: long ago
}

// clockAtStart is the core's clock at the process's start, ms. Start times of disk servers up to
// one hour earlier can be represented; older ones count as long ago (0).
const clockAtStart = 3_600_000

func newCore(zeroUnixMS int64, c *Config, effects effectHandler) *core {
	k := &core{effects: effects, now: clockAtStart, zeroUnixMS: zeroUnixMS, calls: map[string]*call{}, servers: map[string]listedServer{}, recentIDs: idHistory{size: recentIDCount}, executedIDs: idHistory{size: executedIDCount}, counters: Counters{Reasons: map[string]uint64{}}, shardCount: c.Settings.Shards}
	k.scheduler = policy.New(c.Settings, c.Seed)
	return k
}

// start loads the configured server list, which may be out of date.
func (k *core) start(known ServerList) {
	k.updateServers(clockAtStart, known, true)
}

// advance moves the clock forward; an earlier time leaves it as it is.
func (k *core) advance(now float64) { k.now = max(k.now, now) }

// notify passes an event to the policy and performs the actions that it returns. It must not be
// called while an action is performed: the slice of actions is valid until the next event only.
func (k *core) notify(ev policy.Event) {
	for _, a := range k.scheduler.Handle(k.now, ev) {
		k.perform(a)
	}
}

func (k *core) perform(a policy.Action) {
	switch a := a.(type) {
	case policy.Send:
		k.send(a)
	case policy.Refuse:
		k.finishUnserved(a.ID, callRefused, a.RetryAfter, a.Cause)
	case policy.Fail:
		k.finishUnserved(a.ID, callFailed, 0, a.Cause)
	case policy.CancelAttempt:
		if x := k.attempt(a.ID, a.Attempt); x != nil {
			k.cancel(x)
		}
	case policy.Withdraw:
		if x := k.attempt(a.ID, a.Attempt); x != nil && !x.begun {
			k.cancel(x)
		}
	case policy.SetTimer:
		k.timers.Push(&timerqueue.Timer[timerEvent]{Due: k.now + a.Delay, Value: timerEvent{policyTimer: a.Name}})
	case policy.CloseIdle:
		k.effects.serverRemoved(a.Node)
	case policy.Log:
		k.effects.warn(a.Text)
	}
}

// startCall passes a new call to the policy. It returns false, and does nothing, if the request's
// ID was used before.
func (k *core) startCall(now float64, c *call) bool {
	k.advance(now)
	if k.calls[c.req.ID] != nil || k.recentIDs.contains(c.req.ID) || k.executedIDs.contains(c.req.ID) {
		return false
	}
	k.calls[c.req.ID] = c
	k.recentIDs.add(c.req.ID)
	k.counters.Taken++
	k.notify(c.req)
	return true
}

func (k *core) send(s policy.Send) {
	c := k.calls[s.ID]
	if c == nil || c.ended {
		k.effects.warn("policy sent an attempt for a request that has ended: " + s.ID)
		return
	}
	a := &attempt{call: c, number: c.attempts, host: s.Node, issuedAt: k.now, beginBy: math.Inf(1), answerBy: c.req.Expires}
	if s.TimeoutAt > 0 {
		a.answerBy = min(a.answerBy, s.TimeoutAt)
	}
	if s.StartBy > 0 {
		a.beginBy = s.StartBy
	}
	c.attempts++
	c.outstanding++
	c.lastAttempt = a
	k.counters.Sends++
	if a.number > 0 {
		k.counters.Resends++
	}
	a.timer = timerqueue.Timer[timerEvent]{Due: min(a.beginBy, a.answerBy), Value: timerEvent{attempt: a}}
	k.timers.Push(&a.timer)
	k.effects.send(a)
}

// inTime reports whether the attempt's deadlines allow it to begin at time now.
func (a *attempt) inTime(now float64) bool { return now <= a.beginBy && now < a.answerBy }

// elapsed returns the time that an attempt which ends at time now has taken, ms, without the
// quarantine after its response.
func (a *attempt) elapsed(now float64) float64 {
	if a.answeredAt > 0 {
		now = a.answeredAt
	}
	return now - a.issuedAt
}

// begin reports whether an attempt that got a connection may begin, and marks it as begun. One
// past its deadline is cancelled and ends as not sent.
func (k *core) begin(now float64, a *attempt) bool {
	k.advance(now)
	if a.outcomeKnown || a.timer.Value.cancelled {
		return false
	}
	if !a.inTime(k.now) {
		k.cancel(a)
		return false
	}
	a.begun = true
	k.resetTimer(a, a.answerBy)
	return true
}

func (k *core) resetTimer(a *attempt, due float64) {
	k.timers.Remove(&a.timer)
	a.timer.Due = due
	k.timers.Push(&a.timer)
}

// attempt returns the call's outstanding attempt with that number, nil if there is none.
func (k *core) attempt(id string, number int) *attempt {
	c := k.calls[id]
	if c == nil || c.lastAttempt == nil || c.lastAttempt.number != number || c.lastAttempt.outcomeKnown {
		return nil
	}
	return c.lastAttempt
}

// cancel marks an attempt as cancelled. Its outcome is reported by the next runDue, since the
// policy may be handling an event now.
func (k *core) cancel(a *attempt) {
	if !a.outcomeKnown {
		a.timer.Value.cancelled = true
		k.resetTimer(a, k.now)
	}
}

// finishUnserved ends a call that the policy refused or failed.
func (k *core) finishUnserved(id string, outcome callOutcome, retryAfter float64, cause policy.Reason) {
	c := k.calls[id]
	if c == nil || c.ended {
		return
	}
	k.counters.Reasons[cause.String()]++
	if outcome == callRefused {
		k.counters.Refused++
	} else {
		k.counters.Failed++
	}
	k.log.requestNotServed(c, k.now, outcome, cause)
	k.finish(c, outcome, retryAfter, nil)
}

func (k *core) finish(c *call, outcome callOutcome, retryAfter float64, body []byte) {
	c.ended = true
	c.noNewAttempts.Store(true)
	c.replyTo.deliver(outcome, retryAfter, body)
	k.removeIfDone(c)
}

func (k *core) removeIfDone(c *call) {
	if !c.ended || c.outstanding > 0 || k.calls[c.req.ID] != c {
		return
	}
	delete(k.calls, c.req.ID)
	if c.mayHaveRun {
		k.executedIDs.add(c.req.ID)
	}
	if c.release != nil {
		c.release()
	}
}

// clientGone ends a call whose client left. Outstanding attempts may complete.
func (k *core) clientGone(now float64, c *call) {
	k.advance(now)
	if c.ended || k.calls[c.req.ID] != c {
		return
	}
	c.ended = true
	c.noNewAttempts.Store(true)
	k.counters.Gone++
	k.log.clientLeft(c)
	k.notify(policy.ClientGone{ID: c.req.ID})
	k.removeIfDone(c)
}

// shortenDeadline brings a call's deadline forward, because pipelined requests with earlier
// deadlines wait for its answer.
func (k *core) shortenDeadline(now float64, c *call, deadline float64) {
	k.advance(now)
	if c.ended || k.calls[c.req.ID] != c {
		return
	}
	c.req.Expires = min(c.req.Expires, deadline)
	k.notify(policy.DeadlineShortened{ID: c.req.ID, Deadline: deadline})
}

// stop makes the policy give all open calls their final results.
func (k *core) stop(now float64) {
	k.advance(now)
	k.notify(policy.Stop{})
}

// reply is the result of a disk server's response.
type reply struct {
	result          policy.Result
	body            []byte
	use, fromOthers float64
	memory          *reservation // of its head and body; nil: none
}

// replyReceived notes that an attempt's response has been read. Its result is not known yet, so
// the attempt goes on, at most to the request's expiry.
func (k *core) replyReceived(now float64, a *attempt) {
	k.advance(now)
	if a.outcomeKnown || a.timer.Value.cancelled {
		return
	}
	a.answeredAt = k.now
	k.resetTimer(a, a.call.req.Expires)
	k.notify(policy.ResponseReceived{ID: a.call.req.ID, Attempt: a.number})
}

// receiveReply ends an attempt with a response. A response to an attempt that has ended already is
// ignored.
func (k *core) receiveReply(now float64, a *attempt, r reply) {
	k.advance(now)
	if a.outcomeKnown {
		return
	}
	if r.result == policy.Served && !a.call.ended {
		k.counters.Served++
		k.finish(a.call, callServed, 0, r.body)
	}
	k.endAttempt(a, policy.Outcome{Result: r.result, Use: r.use, FromOthers: r.fromOthers})
}

// failAttempt ends an attempt without a response, unless it has ended already.
func (k *core) failAttempt(now float64, a *attempt, r policy.Result) {
	k.advance(now)
	if !a.outcomeKnown {
		k.endAttempt(a, policy.Outcome{Result: r})
	}
}

func (k *core) endAttempt(a *attempt, o policy.Outcome) {
	a.outcomeKnown = true
	k.timers.Remove(&a.timer)
	c := a.call
	c.outstanding--
	k.counters.Outcomes[o.Result]++
	c.mayHaveRun = c.mayHaveRun || mayHaveRun(o.Result)
	o.ID, o.Node, o.Attempt, o.Done, o.Elapsed = c.req.ID, a.host, a.number, c.ended, a.elapsed(k.now)
	if o.Result != policy.Served {
		k.log.attemptFailed(a, o.Result, o.Elapsed)
	}
	k.notify(o)
	k.removeIfDone(c)
}

// mayHaveRun reports whether an attempt that ended with result may have been executed.
func mayHaveRun(result policy.Result) bool {
	return result != policy.Rejected && result != policy.NoConnection && result != policy.NotSent
}

// nextDue returns the time of the earliest timer, +Inf if there is none.
func (k *core) nextDue() float64 { return k.timers.NextDue() }

// runDue handles the timers that are due.
func (k *core) runDue(now float64) {
	k.advance(now)
	for due := k.timers.PopDue(k.now); due != nil; due = k.timers.PopDue(k.now) {
		if due.Value.attempt != nil {
			k.expireAttempt(due.Value.attempt, due.Value.cancelled)
		} else {
			k.notify(policy.TimerFired{Name: due.Value.policyTimer})
		}
	}
}

func (k *core) expireAttempt(a *attempt, cancelled bool) {
	result := policy.NotSent
	switch progress := k.effects.abandon(a); {
	case cancelled && progress == progressSent:
		result = policy.Cancelled
	case progress == progressSent:
		result = policy.NoAnswer
	case !cancelled && progress == progressNotConnected:
		result = policy.NoConnection
	}
	k.endAttempt(a, policy.Outcome{Result: result})
}

// updateSettings passes new settings to the policy; they apply to requests submitted from now on.
func (k *core) updateSettings(now float64, s policy.Settings) {
	k.advance(now)
	k.shardCount = s.Shards
	k.notify(policy.SettingsChanged{Settings: s})
}

// updateServers applies a list of disk servers, full or of changes. Only entries that differ from
// the last report are passed to the policy. Servers that a full list leaves out are reported as
// removed, so that none of their state is kept.
func (k *core) updateServers(now float64, l ServerList, cached bool) {
	k.advance(now)
	entries := l.Entries
	if l.Full && len(k.servers) > 0 {
		entries = append(slices.Clone(entries), k.removedEntries(entries)...)
	}
	var nodes []policy.Node
	draining := 0
	for _, e := range entries {
		previous, known := k.servers[e.Host]
		if known && previous.ServerEntry == e {
			continue
		}
		startedAt := previous.startedAt
		k.checkEntry(&l, e)
		if !known || previous.StartedMS != e.StartedMS {
			startedAt = k.startTime(e)
		}
		n := policy.Node{Addr: e.Host, Health: policyHealth[e.Health], Shard: e.ShardIndex, Started: startedAt, Zone: e.Site, Weight: e.Share}
		nodes = append(nodes, n)
		switch n.Health {
		case policy.Removed:
			delete(k.servers, e.Host)
			continue
		case policy.Draining:
			draining++
		}
		k.servers[e.Host] = listedServer{e, startedAt}
		k.effects.serverListed(e)
	}
	k.discoverySeen = k.discoverySeen || !cached
	k.notify(policy.NodeList{Cached: cached, Nodes: nodes})
	for _, n := range nodes {
		if n.Health == policy.Removed {
			k.effects.serverRemoved(n.Addr)
		}
	}
	k.log.listApplied(l, len(nodes), draining)
	k.log.entryFaults(l)
}

// checkEntry records the faults of an entry: a shard outside the settings' range, to which the
// policy sends nothing, or a start time in the future.
func (k *core) checkEntry(l *ServerList, e ServerEntry) {
	if e.ShardIndex < 0 || k.shardCount > 0 && e.ShardIndex >= k.shardCount {
		l.addFault(e.Host, fmt.Sprintf("holds shard %d, outside the %d shards of the settings", e.ShardIndex, k.shardCount))
	}
	if skew := float64(e.StartedMS-k.zeroUnixMS) - k.now; skew > maxClockSkew {
		l.addFault(e.Host, fmt.Sprintf("start time is %.0f s in the future", skew/1000))
	}
}

// maxClockSkew is how far in the future, ms, the start time of an entry may be without a fault: the wall
// clocks of two hosts differ.
const maxClockSkew = 5000.0

// removedEntries returns the known servers missing from a full list, as removed, sorted by host so
// that the order is deterministic.
func (k *core) removedEntries(listed []ServerEntry) (removed []ServerEntry) {
	unlisted := maps.Clone(k.servers)
	for _, e := range listed {
		delete(unlisted, e.Host)
	}
	for _, server := range unlisted {
		e := server.ServerEntry
		e.Health = stateLeft
		removed = append(removed, e)
	}
	slices.SortFunc(removed, func(a, b ServerEntry) int { return cmp.Compare(a.Host, b.Host) })
	return removed
}

// startTime returns a disk server's start on the core's clock. Once discovery has sent a list, a new
// start counts from now: wall clocks may be stepped on either host, and a start taken for an older
// one would overload a cold server. Before that only the timestamp is known; one in the future
// counts from now.
func (k *core) startTime(e ServerEntry) float64 {
	switch {
	case e.StartedMS == 0:
		return 0
	case k.discoverySeen:
		return k.now
	}
	return min(max(float64(e.StartedMS-k.zeroUnixMS), 0), k.now)
}
