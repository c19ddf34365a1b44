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

// callOutcome says how a call ended.
type callOutcome int

const (
	callServed callOutcome = iota
	callRefused
	callFailed
)

func (o callOutcome) String() string { return [...]string{"served", "refused", "failed"}[o] }

// forwardedRequest is what a client sent, as it goes on to disk servers.
type forwardedRequest struct {
	method, target string
	key            string // Idempotency-Key
	body           []byte
}

// call is one request of a client, from its last byte to its one answer.
type call struct {
	forwardedRequest
	req         policy.Request
	replyTo     recipient
	attempts    int
	lastAttempt *attempt // the one sent last
	outstanding int
	ended       bool
	// noNewAttempts says the same to other goroutines, and from the moment in which the client's
	// leaving was seen: nothing begins for it any more.
	noNewAttempts atomic.Bool
}

// recipient is who a call was taken for. It is told once, on the core's goroutine, unless
// the client went away first.
type recipient interface {
	deliver(outcome callOutcome, retryAfter float64, body []byte)
}

// attempt is one sending of a call: it waits for its connection, has begun on it, or is
// over. Its link is the back's.
type attempt struct {
	call         *call
	number       int
	host         string
	issuedAt     float64
	beginBy      float64 // it has to have begun by then
	answerBy     float64 // its answer is awaited until then
	begun        bool
	outcomeKnown bool
	serverConn   *serverConn
	timer        timerqueue.Timer[timerEvent]
}

// timerEvent is what comes due: an attempt's time-out, or else the module's timer.
type timerEvent struct {
	attempt     *attempt
	cancelled   bool
	policyTimer string
}

// attemptProgress is how far an attempt had come that is given up.
type attemptProgress int

const (
	progressSent         attemptProgress = iota // it may have reached its server
	progressNotConnected                        // a connection was dialled for it and did not come up
	progressNotDialled                          // nothing was dialled: this machine had no connection to spare
)

// effectHandler is what a core has done. The calls neither block nor call back.
type effectHandler interface {
	send(a *attempt)
	abandon(a *attempt) attemptProgress // its outcome is known; tells how far it had come
	serverListed(e ServerEntry)         // the server stands at this address
	serverRemoved(host string)          // nothing new goes there
	warn(text string)
}

// core owns the module's instance and all that the module was told and has said. It is
// given times and events and does no I/O. Times are in ms on the module's clock.
type core struct {
	scheduler     policy.Scheduler
	effects       effectHandler
	log           *eventLog // nil: nothing is logged
	now           float64
	zeroUnixMS    int64 // Unix time, ms, of the clock's zero
	calls         map[string]*call
	recentIDs     idHistory
	timers        timerqueue.Queue[timerEvent]
	servers       map[string]listedServer
	discoverySeen bool // discovery has spoken
	shardCount    int  // that the settings name; 0: not known
	counters      Counters
}

// Counters count what a core did since its start.
type Counters struct {
	Taken, Served, Refused, Failed, Gone uint64
	Sends, Resends                       uint64
	Outcomes                             [policy.NotSent + 1]uint64 // by policy.Result
	Reasons                              map[string]uint64          // of refusals and failures
}

// listedServer is a disk server as the module was told of it.
type listedServer struct {
	ServerEntry
	startedAt float64 // on the module's clock; 0: long ago
}

// clockAtStart is what the clock shows at the start, ms: disk servers that started up to so long
// before have a time on it. Longer ago is long ago.
const clockAtStart = 3_600_000

func newCore(zeroUnixMS int64, c *Config, effects effectHandler) *core {
	k := &core{effects: effects, now: clockAtStart, zeroUnixMS: zeroUnixMS, calls: map[string]*call{}, servers: map[string]listedServer{}, counters: Counters{Reasons: map[string]uint64{}}, shardCount: c.Settings.Shards}
	k.scheduler = policy.New(c.Settings, c.Seed)
	return k
}

// start tells the module the list from before the start, which may be old.
func (k *core) start(known ServerList) {
	k.updateServers(clockAtStart, known, true)
}

// advance moves the clock, which never goes back.
func (k *core) advance(now float64) { k.now = max(k.now, now) }

// notify gives the module an event and carries out what it says; doing so tells it nothing.
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

// startCall hands a call to the module; false if its id was used before: an id names one
// request, and a second of it is not the client's.
func (k *core) startCall(now float64, c *call) bool {
	k.advance(now)
	if k.calls[c.req.ID] != nil || k.recentIDs.contains(c.req.ID) {
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
		k.effects.warn("send for a request that is over: " + s.ID)
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

// begin tells whether an attempt may begin now that it has a connection, and takes it as
// begun. What may not ends as never sent.
func (k *core) begin(now float64, a *attempt) bool {
	k.advance(now)
	if a.outcomeKnown || a.timer.Value.cancelled {
		return false
	}
	if k.now > a.beginBy || k.now >= a.answerBy {
		k.cancel(a)
		return false
	}
	a.begun = true
	k.resetTimer(a, a.answerBy)
	return true
}

func (k *core) resetTimer(a *attempt, at float64) {
	k.timers.Remove(&a.timer)
	a.timer.Due = at
	k.timers.Push(&a.timer)
}

// attempt is the one of that number that is out, nil if there is none.
func (k *core) attempt(id string, number int) *attempt {
	c := k.calls[id]
	if c == nil || c.lastAttempt == nil || c.lastAttempt.number != number || c.lastAttempt.outcomeKnown {
		return nil
	}
	return c.lastAttempt
}

// cancel stops waiting for an attempt; its outcome comes with the next tick, for the
// module is in the midst of an event.
func (k *core) cancel(a *attempt) {
	if !a.outcomeKnown {
		a.timer.Value.cancelled = true
		k.resetTimer(a, k.now)
	}
}

// finishUnserved is a final answer by the module.
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
	if c.ended && c.outstanding == 0 {
		delete(k.calls, c.req.ID)
	}
}

// clientGone ends a call from the client's side. What is out of it may finish.
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

// shortenDeadline has a call answered by a time before its own: others wait behind it.
func (k *core) shortenDeadline(now float64, c *call, deadline float64) {
	k.advance(now)
	if c.ended || k.calls[c.req.ID] != c {
		return
	}
	c.req.Expires = min(c.req.Expires, deadline)
	k.notify(policy.DeadlineShortened{ID: c.req.ID, Deadline: deadline})
}

// stop has all that is open answered now.
func (k *core) stop(now float64) {
	k.advance(now)
	k.notify(policy.Stop{})
}

// reply is what a disk server answered.
type reply struct {
	result          policy.Result
	body            []byte
	use, fromOthers float64
	reservedBytes   int64 // reckoned with for the body
}

// receiveReply brings an answer. Of an attempt that is over already it changes nothing.
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

// failAttempt ends an attempt without an answer.
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
	o.ID, o.Node, o.Attempt, o.Done, o.Elapsed = c.req.ID, a.host, a.number, c.ended, k.now-a.issuedAt
	if o.Result != policy.Served {
		k.log.attemptFailed(a, o.Result, o.Elapsed)
	}
	k.notify(o)
	k.removeIfDone(c)
}

// nextDue is when tick has something to do, +Inf if never.
func (k *core) nextDue() float64 { return k.timers.NextDue() }

// runDue does what has come due.
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

// updateSettings brings other settings for the requests that are taken from now on.
func (k *core) updateSettings(now float64, s policy.Settings) {
	k.advance(now)
	k.shardCount = s.Shards
	k.notify(policy.SettingsChanged{Settings: s})
}

// updateServers brings the updateServers of disk servers, or what changed. The module is told only what
// differs from what it was told before; what a whole updateServers leaves out is named as gone, so
// that nothing keeps a record of it.
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

// checkEntry notes what an entry says that cannot be right. The module sends nothing to a server
// whose shard the settings don't name, and a start in the future counts from now.
func (k *core) checkEntry(l *ServerList, e ServerEntry) {
	if e.ShardIndex < 0 || k.shardCount > 0 && e.ShardIndex >= k.shardCount {
		l.addFault(e.Host, fmt.Sprintf("holds shard %d, the settings name %d", e.ShardIndex, k.shardCount))
	}
	if skew := float64(e.StartedMS-k.zeroUnixMS) - k.now; skew > maxClockSkew {
		l.addFault(e.Host, fmt.Sprintf("started %.0f s from now", skew/1000))
	}
}

// maxClockSkew is how far apart, ms, the wall clocks of two machines are without a word of it.
const maxClockSkew = 5000.0

// removedEntries lists as gone what is held and not in a whole list, in an order of its own.
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

// startTime is when a disk server started, on the module's clock. A start that is heard of in
// service counts from when it was: wall clocks may be stepped, here and at the disk server,
// and a start that is taken for an older one has its server overloaded. Of the lists at this
// process's own start there is only the stamp; one in the future counts from now.
func (k *core) startTime(e ServerEntry) float64 {
	switch {
	case e.StartedMS == 0:
		return 0
	case k.discoverySeen:
		return k.now
	}
	return min(max(float64(e.StartedMS-k.zeroUnixMS), 0), k.now)
}

// idHistory remembers the last ids.
type idHistory struct {
	set    map[string]struct{}
	ids    []string
	oldest int
}

// idHistorySize is more than are taken within the longest deadlines at hundreds a second.
const idHistorySize = 4096

func (r *idHistory) contains(id string) bool { _, ok := r.set[id]; return ok }

func (r *idHistory) add(id string) {
	if r.set == nil {
		r.set = make(map[string]struct{}, idHistorySize)
	}
	if len(r.ids) < idHistorySize {
		r.ids = append(r.ids, id)
	} else {
		delete(r.set, r.ids[r.oldest])
		r.ids[r.oldest] = id
		r.oldest = (r.oldest + 1) % idHistorySize
	}
	r.set[id] = struct{}{}
}
