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
	served callOutcome = iota
	refused
	failed
)

func (o callOutcome) String() string { return [...]string{"served", "refused", "failed"}[o] }

// message is what a client sent, as it goes on to disk servers.
type message struct {
	method, target string
	key            string // Idempotency-Key
	body           []byte
}

// call is one request of a client, from its last byte to its one answer.
type call struct {
	message
	req   policy.Request
	owner answerer
	sends int
	last  *attempt // the one sent last
	out   int
	ended bool
	// over says the same to other goroutines, and from the moment in which the client's
	// leaving was seen: nothing begins for it any more.
	over atomic.Bool
}

// answerer is who a call was taken for. It is told once, on the core's goroutine, unless
// the client went away first.
type answerer interface {
	answer(outcome callOutcome, after float64, body []byte)
}

// attempt is one sending of a call: it waits for its connection, has begun on it, or is
// over. Its link is the back's.
type attempt struct {
	call   *call
	n      int
	host   string
	sentAt float64
	by     float64 // it has to have begun by then
	until  float64 // its answer is awaited until then
	begun  bool
	over   bool
	link   *link
	timer  timerqueue.Timer[pending]
}

// pending is what comes due: an attempt's time-out, or else the module's timer.
type pending struct {
	a         *attempt
	cancelled bool
	timer     string
}

// fate is how far an attempt had come that is given up.
type fate int

const (
	fateSent         fate = iota // it may have reached its server
	fateNotConnected             // a connection was dialled for it and did not come up
	fateNotDialled               // nothing was dialled: this machine had no connection to spare
)

// effects is what a core has done. The calls neither block nor call back.
type effects interface {
	send(a *attempt)
	drop(a *attempt) fate       // its outcome is known; tells how far it had come
	serverListed(e ServerEntry) // the server stands at this address
	serverRemoved(host string)  // nothing new goes there
	note(text string)
}

// core owns the module's instance and all that the module was told and has said. It is
// given times and events and does no I/O. Times are in ms on the module's clock.
type core struct {
	mod      policy.Scheduler
	eff      effects
	log      *eventLog // nil: nothing is logged
	now      float64
	born     int64 // Unix time, ms, of the clock's zero
	calls    map[string]*call
	past     ring
	timers   timerqueue.Queue[pending]
	hosts    map[string]heldEntry
	heard    bool // discovery has spoken
	shards   int  // that the settings name; 0: not known
	counters Counters
}

// Counters count what a core did since its start.
type Counters struct {
	Taken, Served, Refused, Failed, Gone uint64
	Sends, Resends                       uint64
	Outcomes                             [policy.NotSent + 1]uint64 // by policy.Result
	Reasons                              map[string]uint64          // of refusals and failures
}

// heldEntry is a disk server as the module was told of it.
type heldEntry struct {
	ServerEntry
	started float64 // on the module's clock; 0: long ago
}

// epoch is what the clock shows at the start, ms: disk servers that started up to so long
// before have a time on it. Longer ago is long ago.
const epoch = 3_600_000

func newCore(born int64, c *Config, eff effects) *core {
	k := &core{eff: eff, now: epoch, born: born, calls: map[string]*call{}, hosts: map[string]heldEntry{}, counters: Counters{Reasons: map[string]uint64{}}, shards: c.Settings.Shards}
	k.mod = policy.New(c.Settings, c.Seed)
	return k
}

// start tells the module the list from before the start, which may be old.
func (k *core) start(known ServerList) {
	k.list(epoch, known, true)
}

// at moves the clock, which never goes back.
func (k *core) at(now float64) { k.now = max(k.now, now) }

// notify gives the module an event and carries out what it says; doing so tells it nothing.
func (k *core) notify(ev policy.Event) {
	for _, a := range k.mod.Handle(k.now, ev) {
		k.do(a)
	}
}

func (k *core) do(a policy.Action) {
	switch a := a.(type) {
	case policy.Send:
		k.send(a)
	case policy.Refuse:
		k.end(a.ID, refused, a.RetryAfter, a.Cause)
	case policy.Fail:
		k.end(a.ID, failed, 0, a.Cause)
	case policy.CancelAttempt:
		if x := k.attempt(a.ID, a.Attempt); x != nil {
			k.cancel(x)
		}
	case policy.Withdraw:
		if x := k.attempt(a.ID, a.Attempt); x != nil && !x.begun {
			k.cancel(x)
		}
	case policy.SetTimer:
		k.timers.Push(&timerqueue.Timer[pending]{Due: k.now + a.Delay, Value: pending{timer: a.Name}})
	case policy.CloseIdle:
		k.eff.serverRemoved(a.Node)
	case policy.Log:
		k.eff.note(a.Text)
	}
}

// take hands a call to the module; false if its id was used before: an id names one
// request, and a second of it is not the client's.
func (k *core) take(now float64, c *call) bool {
	k.at(now)
	if k.calls[c.req.ID] != nil || k.past.has(c.req.ID) {
		return false
	}
	k.calls[c.req.ID] = c
	k.past.add(c.req.ID)
	k.counters.Taken++
	k.notify(c.req)
	return true
}

func (k *core) send(s policy.Send) {
	c := k.calls[s.ID]
	if c == nil || c.ended {
		k.eff.note("send for a request that is over: " + s.ID)
		return
	}
	a := &attempt{call: c, n: c.sends, host: s.Node, sentAt: k.now, by: math.Inf(1), until: c.req.Expires}
	if s.TimeoutAt > 0 {
		a.until = min(a.until, s.TimeoutAt)
	}
	if s.StartBy > 0 {
		a.by = s.StartBy
	}
	c.sends++
	c.out++
	c.last = a
	k.counters.Sends++
	if a.n > 0 {
		k.counters.Resends++
	}
	a.timer = timerqueue.Timer[pending]{Due: min(a.by, a.until), Value: pending{a: a}}
	k.timers.Push(&a.timer)
	k.eff.send(a)
}

// begin tells whether an attempt may begin now that it has a connection, and takes it as
// begun. What may not ends as never sent.
func (k *core) begin(now float64, a *attempt) bool {
	k.at(now)
	if a.over || a.timer.Value.cancelled {
		return false
	}
	if k.now > a.by || k.now >= a.until {
		k.cancel(a)
		return false
	}
	a.begun = true
	k.rearm(a, a.until)
	return true
}

func (k *core) rearm(a *attempt, at float64) {
	k.timers.Remove(&a.timer)
	a.timer.Due = at
	k.timers.Push(&a.timer)
}

// attempt is the one of that number that is out, nil if there is none.
func (k *core) attempt(id string, n int) *attempt {
	c := k.calls[id]
	if c == nil || c.last == nil || c.last.n != n || c.last.over {
		return nil
	}
	return c.last
}

// cancel stops waiting for an attempt; its outcome comes with the next tick, for the
// module is in the midst of an event.
func (k *core) cancel(a *attempt) {
	if !a.over {
		a.timer.Value.cancelled = true
		k.rearm(a, k.now)
	}
}

// end is a final answer by the module.
func (k *core) end(id string, outcome callOutcome, after float64, why policy.Reason) {
	c := k.calls[id]
	if c == nil || c.ended {
		return
	}
	k.counters.Reasons[why.String()]++
	if outcome == refused {
		k.counters.Refused++
	} else {
		k.counters.Failed++
	}
	k.log.refused(c, k.now, outcome, why)
	k.finish(c, outcome, after, nil)
}

func (k *core) finish(c *call, outcome callOutcome, after float64, body []byte) {
	c.ended = true
	c.over.Store(true)
	c.owner.answer(outcome, after, body)
	k.tidy(c)
}

func (k *core) tidy(c *call) {
	if c.ended && c.out == 0 {
		delete(k.calls, c.req.ID)
	}
}

// gone ends a call from the client's side. What is out of it may finish.
func (k *core) gone(now float64, c *call) {
	k.at(now)
	if c.ended || k.calls[c.req.ID] != c {
		return
	}
	c.ended = true
	c.over.Store(true)
	k.counters.Gone++
	k.log.clientLeft(c)
	k.notify(policy.ClientGone{ID: c.req.ID})
	k.tidy(c)
}

// sooner has a call answered by a time before its own: others wait behind it.
func (k *core) sooner(now float64, c *call, by float64) {
	k.at(now)
	if c.ended || k.calls[c.req.ID] != c {
		return
	}
	c.req.Expires = min(c.req.Expires, by)
	k.notify(policy.DeadlineShortened{ID: c.req.ID, Deadline: by})
}

// stop has all that is open answered now.
func (k *core) stop(now float64) {
	k.at(now)
	k.notify(policy.Stop{})
}

// reply is what a disk server answered.
type reply struct {
	result     policy.Result
	body       []byte
	use, other float64
	size       int64 // reckoned with for the body
}

// replied brings an answer. Of an attempt that is over already it changes nothing.
func (k *core) replied(now float64, a *attempt, r reply) {
	k.at(now)
	if a.over {
		return
	}
	if r.result == policy.Served && !a.call.ended {
		k.counters.Served++
		k.finish(a.call, served, 0, r.body)
	}
	k.outcome(a, policy.Outcome{Result: r.result, Use: r.use, FromOthers: r.other})
}

// lost ends an attempt without an answer.
func (k *core) lost(now float64, a *attempt, r policy.Result) {
	k.at(now)
	if !a.over {
		k.outcome(a, policy.Outcome{Result: r})
	}
}

func (k *core) outcome(a *attempt, o policy.Outcome) {
	a.over = true
	k.timers.Remove(&a.timer)
	c := a.call
	c.out--
	k.counters.Outcomes[o.Result]++
	o.ID, o.Node, o.Attempt, o.Done, o.Elapsed = c.req.ID, a.host, a.n, c.ended, k.now-a.sentAt
	if o.Result != policy.Served {
		k.log.attemptFailed(a, o.Result, o.Elapsed)
	}
	k.notify(o)
	k.tidy(c)
}

// next is when tick has something to do, +Inf if never.
func (k *core) next() float64 { return k.timers.NextDue() }

// tick does what has come due.
func (k *core) tick(now float64) {
	k.at(now)
	for d := k.timers.PopDue(k.now); d != nil; d = k.timers.PopDue(k.now) {
		if d.Value.a != nil {
			k.timeOut(d.Value.a, d.Value.cancelled)
		} else {
			k.notify(policy.TimerFired{Name: d.Value.timer})
		}
	}
}

func (k *core) timeOut(a *attempt, cancelled bool) {
	result := policy.NotSent
	switch came := k.eff.drop(a); {
	case cancelled && came == fateSent:
		result = policy.Cancelled
	case came == fateSent:
		result = policy.NoAnswer
	case !cancelled && came == fateNotConnected:
		result = policy.NoConnection
	}
	k.outcome(a, policy.Outcome{Result: result})
}

// revise brings other settings for the requests that are taken from now on.
func (k *core) revise(now float64, s policy.Settings) {
	k.at(now)
	k.shards = s.Shards
	k.notify(policy.SettingsChanged{Settings: s})
}

// list brings the list of disk servers, or what changed. The module is told only what
// differs from what it was told before; what a whole list leaves out is named as gone, so
// that nothing keeps a record of it.
func (k *core) list(now float64, l ServerList, cached bool) {
	k.at(now)
	entries := l.Entries
	if l.Full && len(k.hosts) > 0 {
		entries = append(slices.Clone(entries), k.missing(entries)...)
	}
	var nodes []policy.Node
	draining := 0
	for _, e := range entries {
		old, known := k.hosts[e.Host]
		if known && old.ServerEntry == e {
			continue
		}
		started := old.started
		k.look(&l, e)
		if !known || old.StartedMS != e.StartedMS {
			started = k.startOf(e)
		}
		n := policy.Node{Addr: e.Host, Health: policyHealth[e.Health], Shard: e.ShardIndex, Started: started, Zone: e.Site, Weight: e.Share}
		nodes = append(nodes, n)
		switch n.Health {
		case policy.Removed:
			delete(k.hosts, e.Host)
			continue
		case policy.Draining:
			draining++
		}
		k.hosts[e.Host] = heldEntry{e, started}
		k.eff.serverListed(e)
	}
	k.heard = k.heard || !cached
	k.notify(policy.NodeList{Cached: cached, Nodes: nodes})
	for _, n := range nodes {
		if n.Health == policy.Removed {
			k.eff.serverRemoved(n.Addr)
		}
	}
	k.log.listTaken(l, len(nodes), draining)
	k.log.entryFaults(l)
}

// look notes what an entry says that cannot be right. The module sends nothing to a server
// whose shard the settings don't name, and a start in the future counts from now.
func (k *core) look(l *ServerList, e ServerEntry) {
	if e.ShardIndex < 0 || k.shards > 0 && e.ShardIndex >= k.shards {
		l.addFault(e.Host, fmt.Sprintf("holds shard %d, the settings name %d", e.ShardIndex, k.shards))
	}
	if ahead := float64(e.StartedMS-k.born) - k.now; ahead > clockSkew {
		l.addFault(e.Host, fmt.Sprintf("started %.0f s from now", ahead/1000))
	}
}

// clockSkew is how far apart, ms, the wall clocks of two machines are without a word of it.
const clockSkew = 5000.0

// missing lists as gone what is held and not in a whole list, in an order of its own.
func (k *core) missing(whole []ServerEntry) (gone []ServerEntry) {
	left := maps.Clone(k.hosts)
	for _, e := range whole {
		delete(left, e.Host)
	}
	for _, held := range left {
		e := held.ServerEntry
		e.Health = stateLeft
		gone = append(gone, e)
	}
	slices.SortFunc(gone, func(a, b ServerEntry) int { return cmp.Compare(a.Host, b.Host) })
	return gone
}

// startOf is when a disk server started, on the module's clock. A start that is heard of in
// service counts from when it was: wall clocks may be stepped, here and at the disk server,
// and a start that is taken for an older one has its server overloaded. Of the lists at this
// process's own start there is only the stamp; one in the future counts from now.
func (k *core) startOf(e ServerEntry) float64 {
	switch {
	case e.StartedMS == 0:
		return 0
	case k.heard:
		return k.now
	}
	return min(max(float64(e.StartedMS-k.born), 0), k.now)
}

// ring remembers the last ids.
type ring struct {
	in   map[string]struct{}
	last []string
	next int
}

// ringSize is more than are taken within the longest deadlines at hundreds a second.
const ringSize = 4096

func (r *ring) has(id string) bool { _, ok := r.in[id]; return ok }

func (r *ring) add(id string) {
	if r.in == nil {
		r.in = make(map[string]struct{}, ringSize)
	}
	if len(r.last) < ringSize {
		r.last = append(r.last, id)
	} else {
		delete(r.in, r.last[r.next])
		r.last[r.next] = id
		r.next = (r.next + 1) % ringSize
	}
	r.in[id] = struct{}{}
}
