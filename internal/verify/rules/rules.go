// Package rules checks the seven rules on a trail: on what passed on the sockets,
// and on nothing that a gateway says of itself. A Checker is fed events one by
// one, with a cost for each that does not grow with the run.
//
// Where two sockets are compared, the trail's order may differ from the host's by
// the way between host and relay; Margin is allowed for that, and for nothing
// else.
package rules

import (
	"cmp"
	"encoding/json"
	"fmt"
	"maps"
	"math"
	"slices"

	"merlinhitch/internal/control/settings"
	"merlinhitch/internal/protocol/diskproto"
	"merlinhitch/internal/protocol/inventory"
	"merlinhitch/internal/protocol/scsi"
	"merlinhitch/internal/verify/trail"
)

// MaxRelayDelay is what a frame may take between a host and the relay beside it, us.
const MaxRelayDelay = 20_000

// Rule numbers one of the seven.
type Rule int

// The rules, as the operators number them.
const (
	Answers Rule = iota + 1 // one final answer in time, nothing sent after it
	Effects                 // no effect twice beyond what the class allows
	Drains                  // nothing new to what drains or is gone
	Cold                    // no cold server pushed over
	Limits                  // no limit passed, over all hosts
	Order                   // order by key
	Budget                  // further attempts within the budget
	// Homes is kept by a service over two regions beside the seven: once a shard was served
	// in one of them under a generation, nothing is served in the other under an older one.
	Homes
)

var ruleNames = [...]string{"", "one final answer", "no effect twice", "drains kept", "no cold server pushed over", "limits kept", "order by key", "resends within budget", "one home at a time"}

func (r Rule) String() string { return ruleNames[r] }

// Violation is one breach of a rule.
type Violation struct {
	Rule Rule
	Time int64 // us
	Text string
	// Conn and Tag name the command, HostID and Seq the request, where one is
	// concerned.
	Conn, Tag   uint32
	HostID, Seq uint64
}

func (b Violation) String() string {
	return fmt.Sprintf("rule %d (%s) at %.3f s: %s", b.Rule, b.Rule, float64(b.Time)/1e6, b.Text)
}

// maxViolations bounds the breaches that are kept; all are counted.
const maxViolations = 100

// Checker is the state of a check.
type Checker struct {
	meta            *trail.Meta
	settings        *settings.Settings
	volumes         map[string]*settings.Volume
	plans           map[string]*settings.Plan
	Checks          [9]int
	ViolationCounts [9]int
	Violations      []Violation

	conns          map[uint32]*conn
	sessions       map[sessionID]*conn
	requests       map[requestID]*request
	hosts          map[string]*host
	serverStarts   map[string]int64 // server's last start, us
	coldSends      map[string][]coldSend
	buckets        map[string]*bucket
	keyQueues      map[keyQueueID][]*request
	firstServed    map[int32][]servedHome // by shard, where there are two regions
	lastEventAt    int64
	Stats          *Stats
	volumeVariants map[string][]*settings.Volume
}

type sessionID struct {
	host    string
	session uint32
}

type requestID struct{ host, seq uint64 }

type keyQueueID struct{ host, key string }

type conn struct {
	id           uint32
	host         string
	volume       *settings.Volume
	open         map[uint32]*command
	orderedQueue []*command            // of ordered classes, in order, without an end
	endedAt      map[uint32]int64      // when a command was over for its host, at the latest
	endedTags    []uint32              // tags of ended, oldest first
	aborting     map[uint32][]*command // by the tag of the function that ends them
	outstanding  map[uint32]*attempt
}

type command struct {
	conn         *conn
	tag          uint32
	op           scsi.Op
	class        *settings.Class
	plan         string
	lba          uint64
	blocks       uint32
	issuedAt     int64
	missingBytes int64 // bytes of data still to come
	parts        int
	ended        bool
	endedAt      int64
	aborted      bool             // by a task management function under way
	overtakenAt  map[string]int64 // keys for which a later command was sent first
	requests     []*request
}

type request struct {
	key      requestID
	orderKey string
	cmd      *command
	class    *settings.Class
	attempts []*attempt
	served   bool
	ended    bool
}

type attempt struct {
	req        *request
	sentAt     int64
	server     string
	generation uint64
	deadline   int64
	answered   bool
	result     diskproto.Result
	lostAt     int64 // connection over without an answer
}

// host is one start of a host.
type host struct {
	notReadySince map[string]int64 // server told off, by when
	knownStarts   map[string]int64 // server's start that it was told
	knownServers  map[string]bool
	arrivals      []int64
	retries       []int64
	diedAt        int64
	killed        bool        // it was killed: what it had dialled may still open
	unanswered    []Violation // commands dropped by the host, unless it died
	stalls        []stall     // when it stood still
}

// stall is a time during which a host did nothing, us.
type stall struct{ from, to int64 }

// seenAt is when a host can see what comes at t.
func (h *host) seenAt(t int64) int64 {
	for _, s := range h.stalls {
		if s.from <= t && t < s.to {
			return s.to
		}
	}
	return t
}

// extendByStalls is the end of a time that begins at t and that the host must be awake for.
func (h *host) extendByStalls(t, end int64) int64 {
	for _, s := range h.stalls {
		if t < s.to && s.from < end {
			end += s.to - max(s.from, t)
		}
	}
	return end
}

type coldSend struct {
	at         int64
	units      float64
	startKnown bool // by a host that knew of the start
}

type bucket struct {
	level float64
	at    int64
}

// New returns a checker of a run.
func New(m *trail.Meta) *Checker {
	c := &Checker{meta: m, settings: m.Settings, volumes: map[string]*settings.Volume{}, plans: map[string]*settings.Plan{},
		conns: map[uint32]*conn{}, sessions: map[sessionID]*conn{}, requests: map[requestID]*request{},
		hosts: map[string]*host{}, serverStarts: map[string]int64{}, coldSends: map[string][]coldSend{},
		firstServed: map[int32][]servedHome{}, buckets: map[string]*bucket{}, keyQueues: map[keyQueueID][]*request{}, volumeVariants: map[string][]*settings.Volume{}, Stats: newStats()}
	for i := range c.settings.Volumes {
		c.volumes[c.settings.Volumes[i].Name] = &c.settings.Volumes[i]
	}
	for i := range c.settings.Plans {
		c.plans[c.settings.Plans[i].Name] = &c.settings.Plans[i]
	}
	return c
}

// Check runs a whole trail.
func Check(m *trail.Meta, events []trail.Event) *Checker {
	c := New(m)
	for i := range events {
		c.Feed(&events[i])
	}
	c.Finish()
	return c
}

func (c *Checker) violate(b Violation, format string, args ...any) {
	b.Text = fmt.Sprintf(format, args...)
	c.ViolationCounts[b.Rule]++
	if len(c.Violations) < maxViolations {
		c.Violations = append(c.Violations, b)
	}
}

func (c *Checker) host(name string) *host {
	h := c.hosts[name]
	if h == nil {
		h = &host{notReadySince: map[string]int64{}, knownStarts: map[string]int64{}, knownServers: map[string]bool{}}
		c.hosts[name] = h
	}
	return h
}

// Feed takes the next event.
func (c *Checker) Feed(e *trail.Event) {
	c.lastEventAt = max(c.lastEventAt, e.Time)
	switch e.Link {
	case trail.LinkClient:
		c.clientEvent(e)
	case trail.LinkDisk:
		c.diskEvent(e)
	case trail.LinkInventory:
		c.inventoryEvent(e)
	case trail.LinkFault:
		h := c.host(e.Host)
		if e.Kind == trail.Killed {
			if !h.killed { // once
				h.diedAt, h.killed = e.Time, true
			}
			break
		}
		h.stalls = append(h.stalls, stall{e.Time, e.Deadline})
	}
}

// Client side.

func (c *Checker) clientEvent(e *trail.Event) {
	k := c.conns[e.Conn]
	if k == nil {
		k = &conn{id: e.Conn, host: e.Host, open: map[uint32]*command{}, endedAt: map[uint32]int64{}, aborting: map[uint32][]*command{}}
		c.conns[e.Conn] = k
	}
	switch e.Kind {
	case trail.Login:
		k.volume = c.volumes[e.Volume]
		c.sessions[sessionID{e.Host, e.Session}] = k
	case trail.Command:
		c.startCommand(k, e)
	case trail.DataOut:
		if cmd := k.open[e.Tag]; cmd != nil && cmd.missingBytes > 0 {
			if cmd.missingBytes -= int64(e.Length); cmd.missingBytes <= 0 {
				c.commandArrived(cmd, e.Time)
			}
		}
	case trail.Status:
		c.checkStatus(k, e)
	case trail.TaskResponse:
		c.finishAbort(k, e)
	case trail.TaskRequest:
		c.startAbort(k, e)
	case trail.Close:
		c.clientClosed(k, e)
	}
}

func (c *Checker) startCommand(k *conn, e *trail.Event) {
	cmd := &command{conn: k, tag: e.Tag, op: scsi.OpByName(e.Op), lba: e.LBA, blocks: e.Blocks, issuedAt: e.Time,
		missingBytes: int64(e.Length) - int64(e.Advice), parts: 1}
	if k.open[e.Tag] != nil {
		c.violate(Violation{Rule: Answers, Time: e.Time, Conn: k.id, Tag: e.Tag}, "the client used tag %d twice: the trail can't be read", e.Tag)
	}
	k.open[e.Tag] = cmd
	if k.volume == nil || cmd.op == 0 {
		return
	}
	size := int(cmd.blocks) * k.volume.BlockSize
	cmd.class, cmd.plan = c.settings.Class(cmd.op, size, k.volume.Plan), k.volume.Plan
	for _, v := range c.variants(k.volume) {
		parts := 0
		for range v.Parts(cmd.lba, cmd.blocks) {
			parts++
		}
		cmd.parts = max(cmd.parts, parts)
	}
	c.Stats.recordIssued(cmd)
	if cmd.missingBytes <= 0 {
		c.commandArrived(cmd, e.Time)
	}
}

// commandArrived notes that the host has all of a command.
func (c *Checker) commandArrived(cmd *command, t int64) {
	h := c.host(cmd.conn.host)
	for range cmd.parts {
		h.arrivals = append(h.arrivals, h.seenAt(t))
	}
	if cmd.class != nil && cmd.class.Ordered {
		cmd.conn.orderedQueue = append(cmd.conn.orderedQueue, cmd)
	}
}

// answerDue is the time by which a command's final answer is due.
func (c *Checker) answerDue(cmd *command) int64 {
	if cmd.class == nil {
		return math.MaxInt64
	}
	return c.host(cmd.conn.host).extendByStalls(cmd.issuedAt, cmd.issuedAt+int64((cmd.class.Deadline+c.settings.Rules.AnswerSlack)*1000))
}

func (c *Checker) checkStatus(k *conn, e *trail.Event) {
	cmd := k.open[e.Tag]
	at := Violation{Time: e.Time, Conn: k.id, Tag: e.Tag}
	if cmd == nil {
		at.Rule = Answers
		c.violate(at, "an answer to %s for a command that is over or was never sent (tag %d)", e.Peer, e.Tag)
		return
	}
	c.Checks[Answers]++
	if due := c.answerDue(cmd); e.Time > due {
		at.Rule = Answers
		c.violate(at, "%s of %s answered %.1f ms after its client's time was up", cmd.op, k.volume.Name, float64(e.Time-due)/1000)
	}
	if cmd.class != nil {
		c.Stats.recordAnswer(cmd, e)
	}
	if byte(e.Status) == scsi.Busy {
		c.checkBusy(cmd, e)
	}
	c.checkOvertaken(cmd, e.Time)
	c.endCommand(cmd, e.Time)
}

// maxEndedTags bounds how many ended commands of a connection are remembered.
const maxEndedTags = 4096

// endCommand ends a command. The host knows of it at the latest at by.
func (c *Checker) endCommand(cmd *command, by int64) {
	k := cmd.conn
	cmd.ended, cmd.endedAt = true, by
	delete(k.open, cmd.tag)
	k.endedAt[cmd.tag] = by
	if k.endedTags = append(k.endedTags, cmd.tag); len(k.endedTags) > maxEndedTags {
		delete(k.endedAt, k.endedTags[0])
		k.endedTags = k.endedTags[1:]
	}
	for _, r := range cmd.requests {
		r.ended = true
	}
	if cmd.class != nil && cmd.class.Ordered {
		k.orderedQueue = slices.DeleteFunc(k.orderedQueue, func(x *command) bool { return x == cmd })
	}
}

// checkBusy checks what a BUSY promises: that another try does no harm.
func (c *Checker) checkBusy(cmd *command, e *trail.Event) {
	for _, r := range cmd.requests {
		if r.class == nil || r.class.Effect == "safe" || r.class.Effect == "keyed" && r.class.Group == "all" {
			continue
		}
		c.Checks[Effects]++
		if i := slices.IndexFunc(r.attempts, (*attempt).mayHaveRun); i >= 0 {
			c.violate(Violation{Rule: Effects, Time: e.Time, Conn: cmd.conn.id, Tag: cmd.tag, HostID: r.key.host, Seq: r.key.seq},
				"%s (%s) refused although attempt %d may have run", r.class.Name, r.class.Effect, i)
		}
	}
}

func (a *attempt) mayHaveRun() bool { return !a.answered || !a.result.ProvesNothingRan() }

// outstandingAt tells whether the attempt could still run or be answered at t.
func (a *attempt) outstandingAt(t int64) bool {
	return !a.answered && a.lostAt == 0 && t < a.deadline-MaxRelayDelay
}

// Functions that end tasks, by number; the others only ask.
func endsTasks(function int32) bool {
	return function >= 1 && function <= 7 && function != 3 || function == 11
}

// startAbort notes that the client gives commands up. An answer may still cross the
// function on its way: they are over with the function's response.
func (c *Checker) startAbort(k *conn, e *trail.Event) {
	if !endsTasks(e.Status) {
		return
	}
	for _, cmd := range sortedByTag(k.open) {
		if e.Status == 1 && cmd.tag != e.RefTag {
			continue
		}
		cmd.aborted = true
		k.aborting[e.Tag] = append(k.aborting[e.Tag], cmd)
	}
}

// finishAbort: the response promises that the tasks can have no further effect.
func (c *Checker) finishAbort(k *conn, e *trail.Event) {
	for _, cmd := range k.aborting[e.Tag] {
		if cmd.ended {
			continue
		}
		if cmd.class != nil {
			c.Stats.recordAbandoned(cmd)
		}
		for _, r := range cmd.requests {
			c.Checks[Effects]++
			for i, a := range r.attempts {
				if !a.answered && e.Time < a.deadline-MaxRelayDelay && cmd.op.Writes() {
					c.violate(Violation{Rule: Effects, Time: e.Time, Conn: k.id, Tag: cmd.tag, HostID: r.key.host, Seq: r.key.seq},
						"an abort was answered while attempt %d of the %s may still take effect", i, cmd.op)
				}
			}
		}
		c.endCommand(cmd, e.Time)
	}
	delete(k.aborting, e.Tag)
}

func sortedByTag(open map[uint32]*command) []*command {
	var out []*command
	for _, cmd := range open {
		out = append(out, cmd)
	}
	slices.SortFunc(out, func(a, b *command) int { return cmp.Compare(a.tag, b.tag) })
	return out
}

// clientClosed ends what a connection had open. If the host closed it, it owed
// answers, unless the host itself came to its end.
func (c *Checker) clientClosed(k *conn, e *trail.Event) {
	for _, cmd := range sortedByTag(k.open) {
		if cmd.class != nil {
			c.Stats.recordAbandoned(cmd)
		}
		if e.Dir == trail.Down && cmd.class != nil && !cmd.aborted {
			h := c.host(k.host)
			h.unanswered = append(h.unanswered, Violation{Rule: Answers, Time: e.Time, Conn: k.id, Tag: cmd.tag,
				Text: fmt.Sprintf("%s closed the connection that %s of %s waited on", k.host, cmd.op, k.volume.Name)})
		}
		c.endCommand(cmd, e.Time+disconnectNotice)
	}
}

// disconnectNotice is how long a host may take to learn that a client has left, us. No
// answer is owed then, and none of the rules speaks of that time.
const disconnectNotice = 1_000_000

// Disk side.

func (c *Checker) diskEvent(e *trail.Event) {
	k := c.conns[e.Conn]
	if k == nil {
		k = &conn{id: e.Conn, outstanding: map[uint32]*attempt{}}
		c.conns[e.Conn] = k
	}
	switch e.Kind {
	case trail.Do:
		c.checkAttempt(k, e)
	case trail.Answer:
		c.recordResult(k, e)
	case trail.Bye:
		c.Checks[Cold]++
		if e.Status != 0 && startMostlyKnown(c.coldSends[e.Peer]) {
			c.violate(Violation{Rule: Cold, Time: e.Time}, "server %s was pushed over", c.serverName(e.Peer))
		}
	case trail.Close:
		for _, a := range k.outstanding {
			a.lostAt = e.Time
		}
		delete(c.conns, e.Conn)
	}
}

func (c *Checker) serverName(addr string) string {
	if s, ok := c.meta.Servers[addr]; ok {
		return s.Name
	}
	return addr
}

func (c *Checker) checkAttempt(k *conn, e *trail.Event) {
	key := requestID{e.HostID, e.Seq}
	r := c.requests[key]
	first := r == nil
	if first {
		r = &request{key: key, orderKey: e.Key}
		c.requests[key] = r
		c.assignCommand(r, e)
	}
	at := Violation{Time: e.Time, HostID: e.HostID, Seq: e.Seq}
	if r.cmd != nil {
		at.Conn, at.Tag = r.cmd.conn.id, r.cmd.tag
	}
	c.checkNotEnded(r, e, at)
	c.checkDrain(e, at)
	c.checkCold(e, at)
	if first {
		c.checkLimit(e, at)
	}
	c.checkRepeat(r, e, at)
	c.checkOrder(r, e, at)
	if e.Attempt > 0 {
		c.checkBudget(e, at)
	}
	a := &attempt{req: r, sentAt: e.Time, server: e.Peer, deadline: e.Deadline, generation: e.Generation}
	r.attempts = append(r.attempts, a)
	k.outstanding[e.Tag] = a
}

// assignCommand finds the command that a request is part of.
func (c *Checker) assignCommand(r *request, e *trail.Event) {
	k := c.sessions[sessionID{e.Host, e.Session}]
	if k == nil {
		return
	}
	cmd := k.open[e.RefTag]
	if cmd == nil {
		return
	}
	r.cmd, r.class = cmd, cmd.class
	cmd.requests = append(cmd.requests, r)
	if r.class != nil && r.class.Ordered {
		ck := keyQueueID{e.Host, e.Key}
		c.keyQueues[ck] = append(c.keyQueues[ck], r)
	}
}

// checkNotEnded: nothing is sent for a request that is over (rule 1).
func (c *Checker) checkNotEnded(r *request, e *trail.Event, at Violation) {
	at.Rule = Answers
	c.Checks[Answers]++
	over, what := int64(math.MaxInt64), "command that never was"
	switch k := c.sessions[sessionID{e.Host, e.Session}]; {
	case r.cmd != nil && r.cmd.ended:
		over, what = r.cmd.endedAt, "command that was over"
	case r.cmd != nil:
	case k == nil:
		over = 0
	default:
		over, what = k.endedAt[e.RefTag], "command that was over, or never was"
	}
	if c.host(e.Host).seenAt(over) < e.Time-MaxRelayDelay {
		c.violate(at, "%s sent attempt %d for a %s (session %d, tag %d)", e.Host, e.Attempt, what, e.Session, e.RefTag)
	}
}

// checkDrain is rule 3.
func (c *Checker) checkDrain(e *trail.Event, at Violation) {
	told, off := c.host(e.Host).notReadySince[e.Peer]
	if !off {
		return
	}
	at.Rule = Drains
	if late := e.Time - c.host(e.Host).seenAt(told) - int64(c.settings.Rules.DrainGrace*1000); late > 0 {
		c.violate(at, "%s sent to %s %.1f ms after the grace", e.Host, c.serverName(e.Peer), float64(late)/1000)
	}
}

// checkCold is rule 4, on every window that ends with a send.
func (c *Checker) checkCold(e *trail.Event, at Violation) {
	start, ok := c.serverStarts[e.Peer]
	ru := &c.settings.Rules
	age := float64(e.Time-start) / 1000
	if !ok || age >= ru.ColdTime {
		return
	}
	c.Checks[Cold]++
	window := int64(ru.FallTime * 1000)
	ps := slices.DeleteFunc(c.coldSends[e.Peer], func(p coldSend) bool { return p.at <= e.Time-window })
	ps = append(ps, coldSend{e.Time, e.Units, c.host(e.Host).knownStarts[e.Peer] == start})
	c.coldSends[e.Peer] = ps
	total := 0.0
	for _, p := range ps {
		total += p.units
	}
	warm := ru.ColdFrom + (1-ru.ColdFrom)*max(age, 0)/ru.ColdTime
	bears := max(ru.ColdUnits, ru.FallMultiple*warm*c.meta.Servers[e.Peer].Rate*ru.FallTime/1000)
	if total > bears+1e-6 && startMostlyKnown(ps) {
		at.Rule = Cold
		c.violate(at, "cold server %s was sent %.1f units within %.0f ms, it bears %.1f", c.serverName(e.Peer), total, ru.FallTime, bears)
	}
}

// startMostlyKnown tells whether two thirds of the work came from hosts that knew.
func startMostlyKnown(ps []coldSend) bool {
	all, told := 0.0, 0.0
	for _, p := range ps {
		all += p.units
		if p.startKnown {
			told += p.units
		}
	}
	return told >= all*2/3
}

// checkLimit is rule 5, on the first send of each request.
func (c *Checker) checkLimit(e *trail.Event, at Violation) {
	v := c.volumes[e.Volume]
	if v == nil {
		return
	}
	p := c.plans[v.Plan]
	if p == nil || p.Limit <= 0 {
		return
	}
	c.Checks[Limits]++
	s := c.buckets[e.Volume]
	if s == nil {
		s = &bucket{level: p.Burst, at: e.Time}
		c.buckets[e.Volume] = s
	}
	s.level = min(s.level+p.Limit*float64(e.Time-s.at)/1e6, p.Burst) - e.Units
	s.at = e.Time
	if s.level < -p.Slack-1e-6 {
		at.Rule = Limits
		c.violate(at, "volume %s is %.2f units below its limit, %.2f are allowed", e.Volume, -s.level, p.Slack)
	}
}

// checkRepeat is rule 2 at each send after the first.
func (c *Checker) checkRepeat(r *request, e *trail.Event, at Violation) {
	if len(r.attempts) == 0 || r.class == nil {
		return
	}
	at.Rule = Effects
	c.Checks[Effects]++
	if !c.settings.Limits.Copies {
		if i := slices.IndexFunc(r.attempts, func(a *attempt) bool { return a.outstandingAt(e.Time) }); i >= 0 {
			c.violate(at, "attempt %d of a %s sent while attempt %d is out", e.Attempt, r.class.Name, i)
		}
	}
	i := slices.IndexFunc(r.attempts, (*attempt).mayHaveRun)
	if i < 0 || r.class.Effect == "safe" {
		return
	}
	ran := r.attempts[i]
	if r.class.Effect == "unsafe" {
		c.violate(at, "attempt %d of unsafe %s sent although attempt %d may have run", e.Attempt, r.class.Name, i)
		return
	}
	if age := float64(e.Time-ran.sentAt) / 1000; age > r.class.Window+MaxRelayDelay/1000 {
		c.violate(at, "attempt %d of %s sent %.0f ms after attempt %d, repeats are dropped for %.0f ms", e.Attempt, r.class.Name, age, i, r.class.Window)
	}
	if !c.inDedupScope(r.class.Group, ran.server, e.Peer) {
		c.violate(at, "attempt %d of %s sent to %s, outside the group of %s, where attempt %d may have run", e.Attempt, r.class.Name, c.serverName(e.Peer), c.serverName(ran.server), i)
	}
}

func (c *Checker) inDedupScope(group, a, b string) bool {
	x, y := c.meta.Servers[a], c.meta.Servers[b]
	switch {
	case group == "all":
		return true
	case x.Region != y.Region:
		return false
	case group == "zone":
		return x.Zone == y.Zone
	}
	return x.Shard == y.Shard
}

// checkOrder is rule 6. Within a connection the checkOrder taken is known exactly; between
// connections only that no two run at once, and that the key rests.
func (c *Checker) checkOrder(r *request, e *trail.Event, at Violation) {
	if r.class == nil || !r.class.Ordered {
		return
	}
	at.Rule = Order
	c.Checks[Order]++
	ck := keyQueueID{e.Host, e.Key}
	live := c.keyQueues[ck][:0]
	for _, o := range c.keyQueues[ck] {
		if o == r || !o.keyReleased(e.Time, c.settings.Rules.KeyRest) {
			live = append(live, o)
		}
		if o != r {
			c.checkKeyFree(o, r, e, at)
		}
	}
	c.keyQueues[ck] = live
	if len(r.attempts) > 0 {
		return
	}
	if by, yes := r.cmd.overtakenAt[e.Key]; yes {
		c.violate(at, "%s of key %s (tag %d) sent %.1f ms after a later one of the same connection", r.class.Name, e.Key, r.cmd.tag, float64(e.Time-by)/1000)
	}
	for _, cmd := range r.cmd.conn.orderedQueue {
		if cmd == r.cmd {
			break
		}
		if c.hasKey(cmd, e.Key) && !cmd.sentKey(e.Key) {
			if cmd.overtakenAt == nil {
				cmd.overtakenAt = map[string]int64{}
			}
			cmd.overtakenAt[e.Key] = e.Time
		}
	}
}

// checkOvertaken: a command of one part that stayed open after a later one of its key
// was sent was not over then. Of several parts, one may have been let go of
// before the command's answer, which the sockets don't show; it is only held to
// not being sent any more.
func (c *Checker) checkOvertaken(cmd *command, t int64) {
	if cmd.parts != 1 {
		return
	}
	for key, by := range cmd.overtakenAt {
		if t > by+MaxRelayDelay {
			c.violate(Violation{Rule: Order, Time: by, Conn: cmd.conn.id, Tag: cmd.tag},
				"a later command of key %s was sent %.1f ms before tag %d was over", key, float64(t-by)/1000, cmd.tag)
		}
	}
}

// hasKey tells whether a command has a part with that key, under whichever of its
// volume's layouts the host had when it took it.
func (c *Checker) hasKey(cmd *command, key string) bool {
	for _, v := range c.variants(cmd.conn.volume) {
		has := false
		for p := range v.Parts(cmd.lba, cmd.blocks) {
			has = has || v.Key(p.Extent) == key
		}
		if !has {
			return false
		}
	}
	return true
}

// variants lists a volume under each layout that it had.
func (c *Checker) variants(v *settings.Volume) []*settings.Volume {
	list := c.volumeVariants[v.Name]
	if list == nil {
		list = []*settings.Volume{v}
		for _, l := range c.meta.Layouts[v.Name] {
			other := *v
			other.Layout = l
			list = append(list, &other)
		}
		c.volumeVariants[v.Name] = list
	}
	return list
}

// sentKey tells whether the part with that key was sentKey.
func (cmd *command) sentKey(key string) bool {
	return slices.ContainsFunc(cmd.requests, func(r *request) bool { return r.orderKey == key })
}

// checkKeyFree checks that o leaves the key free for r.
func (c *Checker) checkKeyFree(o, r *request, e *trail.Event, at Violation) {
	for i, a := range o.attempts {
		switch {
		case a.outstandingAt(e.Time):
			c.violate(at, "%s of key %s sent while attempt %d of an earlier one is out", r.class.Name, e.Key, i)
		case !a.answered && e.Time < a.endedBy()+int64(c.settings.Rules.KeyRest*1000)-MaxRelayDelay:
			c.violate(at, "%s of key %s sent %.1f ms after a lost attempt, the key rests %.0f ms", r.class.Name, e.Key, float64(e.Time-a.endedBy())/1000, c.settings.Rules.KeyRest)
		}
	}
}

// endedBy is when an unanswered attempt was given up, at the latest.
func (a *attempt) endedBy() int64 {
	if a.lostAt > 0 {
		return min(a.lostAt, a.deadline)
	}
	return a.deadline
}

// keyReleased tells whether a request can't hold its key any more.
func (r *request) keyReleased(t int64, rest float64) bool {
	if !r.ended && !r.served {
		return false
	}
	for _, a := range r.attempts {
		if !a.answered && t < a.endedBy()+int64(rest*1000)+MaxRelayDelay {
			return false
		}
	}
	return true
}

// checkBudget is rule 7 at each attempt beyond a request's first.
func (c *Checker) checkBudget(e *trail.Event, at Violation) {
	b := c.settings.Rules.Budget
	if b == nil {
		return
	}
	c.Checks[Budget]++
	h := c.host(e.Host)
	span := int64(b.Span * 1000)
	h.retries = append(slices.DeleteFunc(h.retries, func(t int64) bool { return t <= e.Time-span+MaxRelayDelay }), e.Time)
	h.arrivals = dropBefore(h.arrivals, e.Time-span-MaxRelayDelay)
	if most := b.Free + b.Share*float64(len(h.arrivals)); float64(len(h.retries)) > most+1e-9 {
		at.Rule = Budget
		c.violate(at, "%s has sent %d further attempts within %.0f ms, %.1f are allowed", e.Host, len(h.retries), b.Span, most)
	}
}

func dropBefore(ts []int64, t int64) []int64 {
	i, _ := slices.BinarySearch(ts, t)
	return ts[i:]
}

func (c *Checker) recordResult(k *conn, e *trail.Event) {
	a := k.outstanding[e.Tag]
	if a == nil {
		return
	}
	delete(k.outstanding, e.Tag)
	if a.lostAt == 0 {
		a.answered, a.result = true, diskproto.Result(e.Status)
	}
	if a.result == diskproto.OK || a.result == diskproto.Miscompare {
		a.req.served = true
		c.checkHome(a, e.Time)
	}
}

// servedHome is the first answer that a shard's server gave under a generation.
type servedHome struct {
	generation uint64
	region     int
	at         int64
}

// FirstServed is when a shard was first served in a region under a generation.
type FirstServed struct {
	Shard, Region int
	Generation    uint64
	At            int64 // us
}

// HomeHistory lists where shards were served, each in the order of time.
func (c *Checker) HomeHistory() (out []FirstServed) {
	for _, shard := range slices.Sorted(maps.Keys(c.firstServed)) {
		for _, s := range c.firstServed[shard] {
			out = append(out, FirstServed{int(shard), s.region, s.generation, s.at})
		}
	}
	return out
}

// checkHome is rule 8, on each attempt that was served.
func (c *Checker) checkHome(a *attempt, t int64) {
	if a.generation == 0 {
		return
	}
	c.Checks[Homes]++
	at := c.meta.Servers[a.server]
	list := c.firstServed[int32(at.Shard)]
	known := false
	for _, s := range list {
		known = known || s.generation == a.generation && s.region == at.Region
		if s.region != at.Region && s.generation >= a.generation && s.at < a.sentAt {
			c.violate(Violation{Rule: Homes, Time: t, HostID: a.req.key.host, Seq: a.req.key.seq},
				"shard %d was served in region %d under generation %d, %.1f ms after region %d had served it under %d",
				at.Shard, at.Region, a.generation, float64(a.sentAt-s.at)/1000, s.region, s.generation)
		}
	}
	if !known {
		c.firstServed[int32(at.Shard)] = append(list, servedHome{a.generation, at.Region, t})
	}
}

// List side.

func (c *Checker) inventoryEvent(e *trail.Event) {
	h := c.host(e.Host)
	switch e.Kind {
	case trail.Close:
		if e.Dir == trail.Up {
			h.diedAt = e.Time // the host's end closed; it comes again if it lives
		}
	case trail.Open:
		if !h.killed {
			h.diedAt = 0
		}
	case trail.List:
		var l inventory.List
		if json.Unmarshal([]byte(e.Detail), &l) == nil {
			c.applyList(h, &l, e.Time)
		}
	}
}

func (c *Checker) applyList(h *host, l *inventory.List, t int64) {
	named := map[string]bool{}
	for _, n := range l.Nodes {
		named[n.Addr], h.knownServers[n.Addr] = true, true
		if n.Health == inventory.Ready {
			delete(h.notReadySince, n.Addr)
		} else {
			c.markNotReady(h, n.Addr, t)
		}
		if n.AgeMS > 0 {
			start := t - int64(n.AgeMS*1000)
			// The same start is told many times, never with the same delay.
			if old, ok := c.serverStarts[n.Addr]; !ok || start > old+1_000_000 {
				c.serverStarts[n.Addr] = start
			}
			h.knownStarts[n.Addr] = c.serverStarts[n.Addr]
		}
	}
	if l.Kind == inventory.Full {
		for addr := range h.knownServers {
			if !named[addr] {
				c.markNotReady(h, addr, t)
			}
		}
	}
}

func (c *Checker) markNotReady(h *host, addr string, t int64) {
	if _, already := h.notReadySince[addr]; !already {
		h.notReadySince[addr] = t
		c.Checks[Drains]++
	}
}

// Finish closes the books: what is overdue now stays so.
func (c *Checker) Finish() {
	for _, id := range sortedConnIDs(c.conns) {
		k := c.conns[id]
		for _, cmd := range sortedByTag(k.open) {
			if !cmd.aborted && c.lastEventAt > c.answerDue(cmd) {
				c.violate(Violation{Rule: Answers, Time: c.lastEventAt, Conn: k.id, Tag: cmd.tag}, "%s of %s never got its final answer", cmd.op, k.volume.Name)
			}
		}
	}
	for _, h := range c.hosts {
		const together = 2_000_000 // a dying host closes everything within that
		for _, b := range h.unanswered {
			if h.diedAt == 0 || h.diedAt < b.Time-together || h.diedAt > b.Time+together {
				c.ViolationCounts[b.Rule]++
				c.Violations = append(c.Violations, b)
			}
		}
	}
	slices.SortStableFunc(c.Violations, func(a, b Violation) int { return cmp.Compare(a.Time, b.Time) })
}

func sortedConnIDs(m map[uint32]*conn) []uint32 {
	var out []uint32
	for id := range m {
		out = append(out, id)
	}
	slices.Sort(out)
	return out
}

// OK tells whether no rule was broken.
func (c *Checker) OK() bool { return len(c.Violations) == 0 }
