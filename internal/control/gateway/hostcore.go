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

// endKind is how a request ended.
type endKind int

const (
	endServed endKind = iota
	endRefused
	endFailed
	endGone // the client ended it
)

// job is one request of the module: a command's part on one shard.
type job struct {
	id      string
	req     policy.Request
	do      diskproto.Do // what every attempt says, but for its number and deadline
	owner   owner
	sends   int
	out     int
	ended   bool
	over    atomic.Bool // the same to other goroutines
	last    *attempt    // the one sent last
	landBy  float64     // until then a lost attempt may still take effect
	settled bool
	gen     uint64  // of the shard's home when it was first sent
	counts  *counts // that it goes to
	takenAt float64
	aimAt   float64
	group   policy.DedupScope
	buffer  *[]byte // what the data of the answer under way lies in
	spare   bool    // ended because the command's answer no longer depends on it
}

// end notes that the job has its one end: nothing more goes out for it.
func (j *job) end() {
	j.ended = true
	j.over.Store(true)
}

// owner is who a job was made for. It is told on the host's goroutine.
type owner interface {
	// partDone is the job's one end; ans is there if it was served.
	partDone(j *job, how endKind, after float64, ans *diskproto.Answer)
	// partSettled says that nothing of the job can take effect any more.
	partSettled()
}

// attempt is one sending of a job. Its state is the only thing that host core and
// back share: the one that moves it out of waiting decides whether it was sent.
type attempt struct {
	job    *job
	n      int
	node   string
	sentAt float64
	until  float64
	by     float64 // it has to have begun by then
	gen    uint64  // of the shard's home
	state  atomic.Int32
	over   bool
	back   bool // it was taken back before it began
	tag    uint32
	link   *link // that it was given to; the host's goroutine's
	timer  timer
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

// permitted tells whether the attempt may begin now. On any goroutine.
func (a *attempt) permitted(now float64) bool {
	return !a.job.over.Load() && now <= a.by && now < a.until
}

// effects is what a host core has done. The calls must not block nor call back.
type effects interface {
	send(a *attempt)
	cancel(a *attempt)
	forget(a *attempt) // its time is up; an answer no longer matters
	finish(j *job, how endKind, after float64, ans *diskproto.Answer)
	settled(j *job) // of a job that the client ended: nothing of it can land any more
	fetchList()
	renew()               // ask for a lease at once
	leased(until float64) // the lease's end, by the host's clock
	retire(node string)   // close the connection once it has nothing out
	note(text string)
}

// hostCore owns the module's instance and everything that the module was told and
// has said. It is a core: times and events in, effects out, no I/O.
type hostCore struct {
	mod     policy.Scheduler
	eff     effects
	now     float64
	jobs    map[string]*job
	timers  timers
	nextSeq uint64
	started map[startKey]float64 // when a node's incarnation started, on this clock
	listed  bool
	nodes   map[string]inventory.Node
	usage   *rates.Meter
	limits  map[string]float64 // units a second of a plan's volumes, over all hosts
	regions *regional          // nil: there is one
	groups  map[string]policy.DedupScope
	aims    map[string]float64 // by class, ms
	self    int
	zone    string
	version uint64             // of the settings in force
	held    uint64             // requests that were let go of unsent while their volume asked for more than its limit
	saidAt  map[string]float64 // when that was last said of a volume
	// Sends and Resends count attempts; for operators.
	sends, resends uint64
	tally          tally
}

type startKey struct {
	addr        string
	incarnation uint64
}

// rateMemory is how many seconds a measured rate looks back on: long enough for the
// spread to mean something, short against the hours for which layouts are made.
const rateMemory = 300

func newHostCore(now float64, s *settings.Settings, self int, zone string, seed uint64, eff effects) *hostCore {
	h := &hostCore{regions: newRegional(s, self), self: self, zone: zone, saidAt: map[string]float64{}, now: now, usage: rates.New(now, rateMemory),
		eff: eff, jobs: map[string]*job{}, started: map[startKey]float64{}, nodes: map[string]inventory.Node{}, tally: newTally()}
	h.mod = policy.New(h.learn(s), seed)
	return h
}

// learn takes what the core itself needs of settings and returns what the module does.
func (h *hostCore) learn(s *settings.Settings) policy.Settings {
	s = s.Held()
	h.version, h.limits, h.groups, h.aims = s.Version, map[string]float64{}, map[string]policy.DedupScope{}, map[string]float64{}
	for _, p := range s.Plans {
		if p.Limit > 0 {
			h.limits[p.Name] = p.Limit
		}
	}
	p := s.Policy(h.self, h.zone)
	if faultinject.Active(faultinject.RepeatUnsafe) {
		for i := range p.Classes {
			if p.Classes[i].Effect == policy.NonIdempotent {
				p.Classes[i].Effect, p.Classes[i].DedupWindow = policy.Keyed, p.Classes[i].Deadline
			}
		}
	}
	if faultinject.Active(faultinject.LimitMisread) {
		for i := range p.Plans {
			p.Plans[i].Limit *= 4
		}
	}
	for _, k := range p.Classes {
		h.groups[k.Name], h.aims[k.Name] = k.DedupScope, k.LatencyTarget
	}
	return p
}

// revise brings other settings for the requests that are taken from now on.
func (h *hostCore) revise(now float64, s *settings.Settings) {
	h.at(now)
	p := h.learn(s)
	if h.regions != nil {
		h.regions.learn(s)
	}
	h.notify(policy.SettingsChanged{Settings: p})
}

// at moves the clock, which never goes back.
func (h *hostCore) at(now float64) { h.now = max(h.now, now) }

// take hands a request to the module.
func (h *hostCore) take(now float64, j *job) {
	h.at(now)
	h.nextSeq++
	j.do.Under = h.version
	j.id = strconv.FormatUint(h.nextSeq, 36)
	j.req.ID, j.do.Seq = j.id, h.nextSeq
	if h.regions != nil {
		h.regions.limited(h.now, &j.req)
		j.group, j.do.Copied = h.groups[j.req.Class], h.regions.copied[j.req.Plan]
	}
	h.jobs[j.id] = j
	j.counts = h.tally.of(&j.req)
	j.counts.Taken++
	j.takenAt = h.now
	j.aimAt = h.now + h.aims[j.req.Class]
	h.usage.Add(h.now, j.req.Volume, j.req.Units, j.req.Write)
	h.notify(j.req)
}

// notify gives the module an event and carries out what it says.
func (h *hostCore) notify(ev policy.Event) {
	// The slice of actions is the module's and is overwritten by the next event;
	// carrying an action out never tells the module anything by itself.
	for _, a := range h.mod.Handle(h.now, ev) {
		h.do(a)
	}
}

func (h *hostCore) do(a policy.Action) {
	switch a := a.(type) {
	case policy.Send:
		h.send(a)
	case policy.Refuse:
		h.end(a.ID, endRefused, a.RetryAfter, a.Cause)
	case policy.Fail:
		h.end(a.ID, endFailed, 0, a.Cause)
	case policy.CancelAttempt:
		if j := h.jobs[a.ID]; j != nil {
			h.cancel(j, a.Attempt)
		}
	case policy.Withdraw:
		if j := h.jobs[a.ID]; j != nil && j.last != nil && j.last.n == a.Attempt {
			h.withdraw(j.last)
		}
	case policy.SetTimer:
		h.timers.Push(&timer{Due: h.now + a.Delay, Value: awaited{name: a.Name}})
	case policy.FetchList:
		h.eff.fetchList() // Subscribe needs nothing: the client always is
	case policy.CloseIdle:
		h.eff.retire(a.Node)
	case policy.Log:
		h.eff.note(a.Text)
	}
}

func (h *hostCore) send(s policy.Send) {
	j := h.jobs[s.ID]
	if j == nil || j.ended {
		h.eff.note("send for a request that is over: " + s.ID)
		return
	}
	until := j.req.Expires
	if s.TimeoutAt > 0 {
		until = min(until, s.TimeoutAt)
	}
	a := &attempt{job: j, n: j.sends, node: s.Node, sentAt: h.now, until: until, by: math.Inf(1)}
	if s.StartBy > 0 {
		a.by = s.StartBy
	}
	j.last = a
	goes := h.stamp(a)
	j.sends++
	j.out++
	h.sends++
	if a.n > 0 {
		h.resends++
	}
	a.timer = timer{Due: min(a.by, a.until), Value: awaited{a: a}}
	if goes {
		h.eff.send(a)
	} else {
		a.timer.Due, a.timer.Value.cancelled = h.now, true // the module is in the midst of an event
	}
	h.timers.Push(&a.timer)
}

// withdraw takes back an attempt that waits for its connection still; the outcome comes with
// the next tick, for the module is in the middle of an event.
func (h *hostCore) withdraw(a *attempt) {
	if !a.over && a.drop() {
		a.back = true
		h.rearm(a, h.now)
	}
}

func (h *hostCore) rearm(a *attempt, at float64) {
	h.timers.Remove(&a.timer)
	a.timer.Due = at
	h.timers.Push(&a.timer)
}

// cancel stops waiting for an attempt; the outcome comes with the next tick, for
// the module is in the middle of an event.
func (h *hostCore) cancel(j *job, n int) {
	for _, d := range h.timers.All() { // rare: the module's own time-outs do most
		if a := d.Value.a; a != nil && a.job == j && a.n == n {
			h.timers.Remove(d)
			d.Due, d.Value.cancelled = h.now, true
			h.timers.Push(d)
			h.eff.cancel(a)
			return
		}
	}
}

// end is a final answer by the module.
func (h *hostCore) end(id string, how endKind, after float64, why policy.Reason) {
	j := h.jobs[id]
	if j == nil || j.ended {
		return
	}
	j.end()
	j.counts.ended(j, how, h.now)
	j.counts.Reasons[why]++
	h.heldBack(j)
	h.eff.finish(j, how, after, nil)
	h.tidy(j)
}

// sayEvery is how often a volume that its limit holds back is named in the log, ms.
const sayEvery = 60_000

// heldBack says, now and then, that a limit is what holds a volume back: a request of it
// was never sent, and the volume asks this host for more than the host's part. It
// decides nothing.
func (h *hostCore) heldBack(j *job) {
	limit := h.limits[j.req.Plan]
	if limit == 0 || j.sends > 0 {
		return
	}
	part := limit / float64(max(j.req.Hosts, 1))
	asks := h.usage.Of(h.now, j.req.Volume)
	if asks <= part {
		return
	}
	h.held++
	if at, said := h.saidAt[j.req.Volume]; said && h.now-at < sayEvery {
		return
	}
	h.saidAt[j.req.Volume] = h.now
	h.eff.note(fmt.Sprintf("volume %s of plan %s asks this host for %.1f units a second, its limit lets it have %.1f here; requests wait and are refused for that",
		j.req.Volume, j.req.Plan, asks, part))
}

// tidy forgets a job that is over and has nothing out.
func (h *hostCore) tidy(j *job) {
	if !j.ended || j.out > 0 {
		return
	}
	delete(h.jobs, j.id)
	j.do.Data = nil
	if j.settled {
		return
	}
	if j.landBy > h.now {
		h.timers.Push(&timer{Due: j.landBy, Value: awaited{j: j}})
		return
	}
	j.settled = true
	h.eff.settled(j)
}

// abandon ends a request from the client's side.
func (h *hostCore) abandon(now float64, j *job) {
	h.at(now)
	if j.ended || h.jobs[j.id] != j {
		return
	}
	j.end()
	j.counts.ended(j, endGone, h.now)
	h.eff.finish(j, endGone, 0, nil)
	h.notify(policy.ClientGone{ID: j.id})
	h.tidy(j)
}

var results = map[diskproto.Result]policy.Result{
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

// answered brings a disk server's answer. Of an attempt that is over already
// (timed out) it comes too late and changes nothing.
func (h *hostCore) answered(now float64, a *attempt, ans *diskproto.Answer) {
	h.at(now)
	if a.over {
		return
	}
	if ans.Result == diskproto.Stale {
		h.refusedAsOld(a)
	}
	r := results[ans.Result]
	if r == policy.Served && !a.job.ended {
		a.job.end()
		a.job.counts.ended(a.job, endServed, h.now)
		h.eff.finish(a.job, endServed, 0, ans)
	}
	report := make([]policy.Reading, len(ans.Report))
	for i, f := range ans.Report {
		report[i] = policy.Reading(f)
	}
	h.outcome(a, r, policy.Outcome{FromOthers: ans.Others, Use: float64(ans.Use), Report: report})
}

// lost ends an attempt without an answer.
func (h *hostCore) lost(now float64, a *attempt, r policy.Result) {
	h.at(now)
	if a.over {
		return
	}
	if r == policy.ConnectionLost {
		a.job.landBy = max(a.job.landBy, a.until)
	}
	h.outcome(a, r, policy.Outcome{})
}

func (h *hostCore) outcome(a *attempt, r policy.Result, o policy.Outcome) {
	a.over = true
	h.timers.Remove(&a.timer)
	j := a.job
	j.out--
	h.tally.outcome(a.node, r, h.nodes)
	o.ID, o.Node, o.Attempt, o.Done, o.Elapsed, o.Result = j.id, a.node, a.n, j.ended, h.now-a.sentAt, r
	h.notify(o)
	h.tidy(j)
}

// next is when tick has something to do, +Inf if never.
func (h *hostCore) next() float64 { return h.timers.NextDue() }

// tick does what has come due.
func (h *hostCore) tick(now float64) {
	h.at(now)
	for e := h.timers.PopDue(h.now); e != nil; e = h.timers.PopDue(h.now) {
		switch d := e.Value; {
		case d.a != nil:
			h.timeOut(d.a, d.cancelled)
		case d.j != nil:
			h.tidy(d.j)
		case d.name == leaseEnd:
			h.leaseOver()
		default:
			h.notify(policy.TimerFired{Name: d.name})
		}
	}
}

// timeOut ends an attempt whose time is up. If it was still waiting for a
// connection, nothing of it left the host. One that began in time goes on.
func (h *hostCore) timeOut(a *attempt, cancelled bool) {
	switch {
	case a.back:
		h.outcome(a, policy.NotSent, policy.Outcome{})
	case a.link == nil && cancelled && a.drop(): // it was not to go
		h.outcome(a, policy.NotSent, policy.Outcome{})
	case a.drop():
		h.outcome(a, policy.NoConnection, policy.Outcome{})
	case a.state.Load() == attemptDropped: // by the back: its outcome is on its way
	case !cancelled && h.now < a.until:
		h.rearm(a, a.until)
	case cancelled:
		a.job.landBy = max(a.job.landBy, a.until)
		h.outcome(a, policy.Cancelled, policy.Outcome{})
	default: // its deadline has passed at the server too: it can't begin any more
		h.eff.forget(a)
		h.outcome(a, policy.NoAnswer, policy.Outcome{})
	}
}

// list brings the node list.
func (h *hostCore) list(now float64, l inventory.List) {
	h.at(now)
	if l.Kind == inventory.Failed {
		h.notify(policy.ListFailed{})
		return
	}
	if l.Kind == inventory.Full {
		clear(h.nodes)
	}
	for i, n := range l.Nodes {
		if faultinject.Active(faultinject.DrainOverlooked) && n.Health == inventory.Draining {
			l.Nodes[i].Health = inventory.Ready
		}
		h.nodes[n.Addr] = l.Nodes[i]
	}
	h.listed = true
	h.notifyNodes(l.Kind == inventory.Full, l.Nodes)
	for _, n := range l.Nodes {
		if n.Health == inventory.Gone {
			delete(h.nodes, n.Addr)
			delete(h.started, startKey{n.Addr, n.Incarnation})
			h.eff.retire(n.Addr)
		}
	}
}

// notifyNodes tells the module of nodes, of all there are where full.
func (h *hostCore) notifyNodes(full bool, list []inventory.Node) {
	nodes := make([]policy.Node, len(list))
	for i, n := range list {
		nodes[i] = policy.Node{Addr: n.Addr, Health: h.healthOf(n), Shard: n.Shard, Zone: n.Zone, Weight: n.Weight, Started: h.startOf(n)}
	}
	h.notify(policy.NodeList{Full: full, Nodes: nodes})
}

func byAddr(a, b inventory.Node) int { return strings.Compare(a.Addr, b.Addr) }

var health = map[string]policy.Health{
	inventory.Ready: policy.Ready, inventory.Draining: policy.Draining, inventory.Gone: policy.Removed,
}

// startOf turns an age into a time on this clock, once for each incarnation: the
// module takes another time for another start.
func (h *hostCore) startOf(n inventory.Node) float64 {
	if n.AgeMS <= 0 || faultinject.Active(faultinject.StartUnheard) {
		return 0
	}
	k := startKey{n.Addr, n.Incarnation}
	at, ok := h.started[k]
	if !ok {
		at = max(h.now-n.AgeMS, math.SmallestNonzeroFloat64)
		h.started[k] = at
	}
	return at
}
