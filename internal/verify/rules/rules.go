// Package rules checks a trail of socket traffic against the rules of the service. It uses no
// information that a gateway reports about itself. A Checker takes events one at a time; the time
// per event does not grow with the length of the run.
//
// Events of two sockets may be recorded in another order than the host saw them, by the delay
// between the host and the recording relay. Comparisons across sockets allow MaxRelayDelay for it.
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

// MaxRelayDelay is the longest delay of a frame between a host and the relay beside it, in us.
const MaxRelayDelay = 20_000

// Rule is the number of a rule.
type Rule int

// The rules, by their published numbers.
const (
	Answers Rule = iota + 1 // one final answer in time, no attempt after it
	Effects                 // no repeated effect beyond what the class allows
	Drains                  // no attempt to a draining or removed server after the grace period
	Cold                    // no cold server overloaded
	Limits                  // no volume above its rate limit, summed over all hosts
	Order                   // requests of one key in order, one at a time
	Budget                  // retries within the budget
	// Homes applies to a service of two regions: once a shard was served in one region under a
	// generation, no attempt sent later is served in the other under the same or an older one.
	Homes
)

var ruleNames = [...]string{"", "one final answer", "no effect twice", "drains kept", "no cold server pushed over", "limits kept", "order by key", "resends within budget", "one home at a time"}

func (r Rule) String() string { return ruleNames[r] }

// Violation describes one violation of a rule.
type Violation struct {
	Rule Rule
	Time int64 // us since the run began
	Text string
	// Conn and Tag identify the command, HostID and Seq the request; 0 where there is none.
	Conn, Tag   uint32
	HostID, Seq uint64
}

func (b Violation) String() string {
	return fmt.Sprintf("rule %d (%s) at %.3f s: %s", b.Rule, b.Rule, float64(b.Time)/1e6, b.Text)
}

// maxViolations bounds the violations that are kept as they occur; all are counted.
const maxViolations = 100

// Checker checks a stream of events. Checks and ViolationCounts are indexed by Rule and count the
// checks made and the violations found.
type Checker struct {
	meta            *trail.Meta
	settings        *settings.Settings
	volumes         map[string]*settings.Volume
	plans           map[string]*settings.Plan
	Checks          [9]int
	ViolationCounts [9]int
	Violations      []Violation

	conns          map[uint32]*conn    // by the connection number of the trail
	sessions       map[sessionID]*conn // client connection of the latest login
	requests       map[requestID]*request
	processes      map[string]*hostProcess   // by Event.Host
	serverStarts   map[string]int64          // latest start of a server by its address, us
	coldSends      map[string][]coldSend     // by server, within the overload window
	buckets        map[string]*tokenBucket   // by volume
	keyQueues      map[keyQueueID][]*request // ordered requests that may hold the key
	firstServed    map[int32][]servedHome    // by shard; empty unless there are two regions
	lastEventAt    int64                     // us
	Stats          *Stats
	volumeVariants map[string][]*settings.Volume // see variants
}

type sessionID struct {
	host    string
	session uint32
}

// requestID identifies a request over all hosts.
type requestID struct{ hostID, seq uint64 }

// keyQueueID identifies the queue of an ordering key at a host process.
type keyQueueID struct{ host, key string }

// conn is a connection from a client or to a disk server.
type conn struct {
	id           uint32
	host         string
	volume       *settings.Volume
	open         map[uint32]*command   // by tag
	orderedQueue []*command            // commands of ordered classes that have not ended, by arrival
	endedAt      map[uint32]int64      // by tag: when the host knew at the latest that the command had ended
	endedTags    []uint32              // keys of endedAt, oldest first
	aborting     map[uint32][]*command // commands that a task management function ends, by the function's tag
	outstanding  map[uint32]*attempt   // by tag, on a connection to a disk server
}

// command is a client command. Times are in us.
type command struct {
	conn         *conn
	tag          uint32
	op           scsi.Op
	class        *settings.Class
	plan         string
	lba          uint64
	blocks       uint32
	issuedAt     int64
	missingBytes int64 // write data that has not been sent yet
	parts        int   // requests that it is split into; the maximum over the volume's layouts
	ended        bool
	endedAt      int64
	aborted      bool             // an outstanding task management function ends it
	overtakenAt  map[string]int64 // by key: when a later command of the connection was sent before it
	requests     []*request
	executedBy   map[uint64]requestID // by address of a part of a write: the request that executed it
}

// request is a part of a command for one shard.
type request struct {
	id       requestID
	orderKey string   // requests with the same key are ordered if their class is
	cmd      *command // nil if not found
	class    *settings.Class
	attempts []*attempt
	served   bool
	ended    bool   // its command ended
	lba      uint64 // of its first block
}

// attempt is one send of a request to a server. Times are in us.
type attempt struct {
	req        *request
	sentAt     int64
	server     string
	generation uint64
	deadline   int64
	answered   bool
	result     diskproto.Result
	lostAt     int64 // when the connection closed before the answer; 0: it did not
}

// hostProcess is one process of a host, from its start to its end.
type hostProcess struct {
	notReadySince map[string]int64 // by server: when the host was told that it drains or is gone
	knownStarts   map[string]int64 // by server: its start as known to the host
	knownServers  map[string]bool
	arrivals      []int64     // times of requests that arrived within the budget window
	retries       []int64     // times of attempts after the first within the budget window
	diedAt        int64       // when it was killed or closed its inventory connection; 0: alive
	killed        bool        // was killed; a connection that it had dialled may still open
	unanswered    []Violation // commands whose connection the host closed; no violation if it died then
	stalls        []stall
}

// stall is a period, in us, during which a host did not run.
type stall struct{ from, to int64 }

// seenAt returns when the host can process what arrives at the given time: at the end of a stall.
func (h *hostProcess) seenAt(at int64) int64 {
	for _, s := range h.stalls {
		if s.from <= at && at < s.to {
			return s.to
		}
	}
	return at
}

// extendByStalls returns end, later by the time that the host was stalled between start and end.
func (h *hostProcess) extendByStalls(start, end int64) int64 {
	for _, s := range h.stalls {
		if start < s.to && s.from < end {
			end += s.to - max(s.from, start)
		}
	}
	return end
}

// coldSend is an attempt sent to a server during its warm-up.
type coldSend struct {
	sentAt     int64
	units      float64
	startKnown bool // the sending host knew of the server's start
}

// tokenBucket meters a volume against the rate limit of its plan.
type tokenBucket struct {
	level     float64
	updatedAt int64
}

// New returns a Checker for the run that meta describes.
func New(meta *trail.Meta) *Checker {
	c := &Checker{meta: meta, settings: meta.Settings, volumes: map[string]*settings.Volume{}, plans: map[string]*settings.Plan{},
		conns: map[uint32]*conn{}, sessions: map[sessionID]*conn{}, requests: map[requestID]*request{},
		processes: map[string]*hostProcess{}, serverStarts: map[string]int64{}, coldSends: map[string][]coldSend{},
		firstServed: map[int32][]servedHome{}, buckets: map[string]*tokenBucket{}, keyQueues: map[keyQueueID][]*request{}, volumeVariants: map[string][]*settings.Volume{}, Stats: newStats()}
	for i := range c.settings.Volumes {
		c.volumes[c.settings.Volumes[i].Name] = &c.settings.Volumes[i]
	}
	for i := range c.settings.Plans {
		c.plans[c.settings.Plans[i].Name] = &c.settings.Plans[i]
	}
	return c
}

// Check checks a complete trail.
func Check(meta *trail.Meta, events []trail.Event) *Checker {
	c := New(meta)
	for i := range events {
		c.Feed(&events[i])
	}
	c.Finish()
	return c
}

func (c *Checker) violate(violation Violation, format string, args ...any) {
	violation.Text = fmt.Sprintf(format, args...)
	c.ViolationCounts[violation.Rule]++
	if len(c.Violations) < maxViolations {
		c.Violations = append(c.Violations, violation)
	}
}

func (c *Checker) process(name string) *hostProcess {
	process := c.processes[name]
	if process == nil {
		process = &hostProcess{notReadySince: map[string]int64{}, knownStarts: map[string]int64{}, knownServers: map[string]bool{}}
		c.processes[name] = process
	}
	return process
}

// Feed processes the next event. Events must come in the order of the trail.
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
		process := c.process(e.Host)
		if e.Kind == trail.Killed {
			if !process.killed { // a host may be reported killed more than once
				process.diedAt, process.killed = e.Time, true
			}
			break
		}
		process.stalls = append(process.stalls, stall{e.Time, e.Deadline})
	}
}

// Events between clients and hosts.

func (c *Checker) clientEvent(e *trail.Event) {
	connection := c.conns[e.Conn]
	if connection == nil {
		connection = &conn{id: e.Conn, host: e.Host, open: map[uint32]*command{}, endedAt: map[uint32]int64{}, aborting: map[uint32][]*command{}}
		c.conns[e.Conn] = connection
	}
	switch e.Kind {
	case trail.Login:
		connection.volume = c.volumes[e.Volume]
		c.sessions[sessionID{e.Host, e.Session}] = connection
	case trail.Command:
		c.startCommand(connection, e)
	case trail.DataOut:
		if cmd := connection.open[e.Tag]; cmd != nil && cmd.missingBytes > 0 {
			if cmd.missingBytes -= int64(e.Length); cmd.missingBytes <= 0 {
				c.commandArrived(cmd, e.Time)
			}
		}
	case trail.Status:
		c.checkStatus(connection, e)
	case trail.TaskResponse:
		c.finishAbort(connection, e)
	case trail.TaskRequest:
		c.startAbort(connection, e)
	case trail.Close:
		c.clientClosed(connection, e)
	}
}

func (c *Checker) startCommand(connection *conn, e *trail.Event) {
	cmd := &command{conn: connection, tag: e.Tag, op: scsi.OpByName(e.Op), lba: e.LBA, blocks: e.Blocks, issuedAt: e.Time,
		missingBytes: int64(e.Length) - int64(e.Advice), parts: 1}
	if connection.open[e.Tag] != nil {
		c.violate(Violation{Rule: Answers, Time: e.Time, Conn: connection.id, Tag: e.Tag}, "client reused tag %d of an open command: the trail cannot be interpreted", e.Tag)
	}
	connection.open[e.Tag] = cmd
	if connection.volume == nil || cmd.op == 0 {
		return
	}
	size := int(cmd.blocks) * connection.volume.BlockSize
	cmd.class, cmd.plan = c.settings.Class(cmd.op, size, connection.volume.Plan), connection.volume.Plan
	for _, v := range c.variants(connection.volume) {
		parts := 0
		for range v.Segments(cmd.lba, cmd.blocks) {
			parts++
		}
		cmd.parts = max(cmd.parts, parts)
	}
	c.Stats.recordIssued(cmd)
	if cmd.missingBytes <= 0 {
		c.commandArrived(cmd, e.Time)
	}
}

// commandArrived records that the host has received a command and all its write data.
func (c *Checker) commandArrived(cmd *command, now int64) {
	process := c.process(cmd.conn.host)
	for range cmd.parts {
		process.arrivals = append(process.arrivals, process.seenAt(now))
	}
	if cmd.class != nil && cmd.class.Ordered {
		cmd.conn.orderedQueue = append(cmd.conn.orderedQueue, cmd)
	}
}

// answerDue returns by when the final answer of cmd must be sent, in us.
func (c *Checker) answerDue(cmd *command) int64 {
	if cmd.class == nil {
		return math.MaxInt64
	}
	return c.process(cmd.conn.host).extendByStalls(cmd.issuedAt, cmd.issuedAt+int64((cmd.class.Deadline+c.settings.Rules.AnswerSlack)*1000))
}

func (c *Checker) checkStatus(connection *conn, e *trail.Event) {
	cmd := connection.open[e.Tag]
	violation := Violation{Time: e.Time, Conn: connection.id, Tag: e.Tag}
	if cmd == nil {
		violation.Rule = Answers
		c.violate(violation, "answer to %s for a command that had ended or was never sent (tag %d)", e.Peer, e.Tag)
		return
	}
	c.Checks[Answers]++
	if due := c.answerDue(cmd); e.Time > due {
		violation.Rule = Answers
		c.violate(violation, "%s on %s answered %.1f ms after its answer was due", cmd.op, connection.volume.Name, float64(e.Time-due)/1000)
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

// maxEndedTags bounds the ended commands that are remembered per connection.
const maxEndedTags = 4096

// endCommand ends cmd. The host knows of the end by knownBy at the latest.
func (c *Checker) endCommand(cmd *command, knownBy int64) {
	connection := cmd.conn
	cmd.ended, cmd.endedAt = true, knownBy
	delete(connection.open, cmd.tag)
	connection.endedAt[cmd.tag] = knownBy
	if connection.endedTags = append(connection.endedTags, cmd.tag); len(connection.endedTags) > maxEndedTags {
		delete(connection.endedAt, connection.endedTags[0])
		connection.endedTags = connection.endedTags[1:]
	}
	for _, r := range cmd.requests {
		r.ended = true
	}
	if cmd.class != nil && cmd.class.Ordered {
		connection.orderedQueue = slices.DeleteFunc(connection.orderedQueue, func(x *command) bool { return x == cmd })
	}
}

// checkBusy checks that a command answered with BUSY can be retried by its client without a
// repeated effect (rule 2).
func (c *Checker) checkBusy(cmd *command, e *trail.Event) {
	for _, r := range cmd.requests {
		if r.class == nil || r.class.Effect == "safe" {
			continue
		}
		c.Checks[Effects]++
		if i := slices.IndexFunc(r.attempts, (*attempt).mayHaveRun); i >= 0 {
			c.violate(Violation{Rule: Effects, Time: e.Time, Conn: cmd.conn.id, Tag: cmd.tag, HostID: r.id.hostID, Seq: r.id.seq},
				"%s (%s) answered BUSY although attempt %d may have run", r.class.Name, r.class.Effect, i)
		}
	}
}

// mayHaveRun reports whether no answer proves that the attempt had no effect.
func (a *attempt) mayHaveRun() bool { return !a.answered || !a.result.ProvesNothingRan() }

// outstandingAt reports whether the attempt could still run or be answered at t.
func (a *attempt) outstandingAt(t int64) bool {
	return !a.answered && a.lostAt == 0 && t < a.deadline-MaxRelayDelay
}

// endsTasks reports whether the task management function with this iSCSI code ends tasks.
func endsTasks(function int32) bool {
	return function >= 1 && function <= 7 && function != 3 || function == 11
}

// startAbort marks the commands that a task management function ends. Their answers may still
// cross the function; the commands end with its response.
func (c *Checker) startAbort(connection *conn, e *trail.Event) {
	if !endsTasks(e.Status) {
		return
	}
	for _, cmd := range sortedByTag(connection.open) {
		if e.Status == 1 && cmd.tag != e.RefTag {
			continue
		}
		cmd.aborted = true
		connection.aborting[e.Tag] = append(connection.aborting[e.Tag], cmd)
	}
}

// finishAbort ends the commands of a task management function on its response, after which they
// must not take effect any more (rule 2).
func (c *Checker) finishAbort(connection *conn, e *trail.Event) {
	for _, cmd := range connection.aborting[e.Tag] {
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
					c.violate(Violation{Rule: Effects, Time: e.Time, Conn: connection.id, Tag: cmd.tag, HostID: r.id.hostID, Seq: r.id.seq},
						"abort answered while attempt %d of the %s may still take effect", i, cmd.op)
				}
			}
		}
		c.endCommand(cmd, e.Time)
	}
	delete(connection.aborting, e.Tag)
}

func sortedByTag(open map[uint32]*command) []*command {
	var commands []*command
	for _, cmd := range open {
		commands = append(commands, cmd)
	}
	slices.SortFunc(commands, func(a, b *command) int { return cmp.Compare(a.tag, b.tag) })
	return commands
}

// clientClosed ends the open commands of a client connection. If the host closed it, they are
// violations of rule 1 unless the host died; Finish decides that.
func (c *Checker) clientClosed(connection *conn, e *trail.Event) {
	for _, cmd := range sortedByTag(connection.open) {
		if cmd.class != nil {
			c.Stats.recordAbandoned(cmd)
		}
		if e.Dir == trail.Down && cmd.class != nil && !cmd.aborted {
			process := c.process(connection.host)
			process.unanswered = append(process.unanswered, Violation{Rule: Answers, Time: e.Time, Conn: connection.id, Tag: cmd.tag,
				Text: fmt.Sprintf("%s closed the connection of an unanswered %s on %s", connection.host, cmd.op, connection.volume.Name)})
		}
		c.endCommand(cmd, e.Time+disconnectNotice)
	}
}

// disconnectNotice is the time, in us, that a host has to notice that a client disconnected.
// Attempts sent in that time do not violate rule 1.
const disconnectNotice = 1_000_000

// Events between hosts and disk servers.

func (c *Checker) diskEvent(e *trail.Event) {
	connection := c.conns[e.Conn]
	if connection == nil {
		connection = &conn{id: e.Conn, outstanding: map[uint32]*attempt{}}
		c.conns[e.Conn] = connection
	}
	switch e.Kind {
	case trail.Do:
		c.checkAttempt(connection, e)
	case trail.Answer:
		c.recordResult(connection, e)
	case trail.Bye:
		c.Checks[Cold]++
		if e.Status != 0 && startMostlyKnown(c.coldSends[e.Peer]) {
			c.violate(Violation{Rule: Cold, Time: e.Time}, "server %s became overloaded", c.serverName(e.Peer))
		}
	case trail.Close:
		for _, a := range connection.outstanding {
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

func (c *Checker) checkAttempt(connection *conn, e *trail.Event) {
	id := requestID{e.HostID, e.Seq}
	req := c.requests[id]
	first := req == nil
	if first {
		req = &request{id: id, orderKey: e.Key, lba: e.LBA}
		c.requests[id] = req
		c.assignCommand(req, e)
	}
	internal := e.Session == 0 && e.RefTag == 0 // the host's own request, for no command
	violation := Violation{Time: e.Time, HostID: e.HostID, Seq: e.Seq}
	if req.cmd != nil {
		violation.Conn, violation.Tag = req.cmd.conn.id, req.cmd.tag
	}
	if !internal {
		c.checkNotEnded(req, e, violation)
	}
	c.checkDrain(e, violation)
	c.checkCold(e, violation)
	if first {
		c.checkLimit(e, violation)
	}
	c.checkRepeat(req, e, violation)
	c.checkOrder(req, e, violation)
	if e.Attempt > 0 {
		c.checkBudget(e, violation)
	}
	sent := &attempt{req: req, sentAt: e.Time, server: e.Peer, deadline: e.Deadline, generation: e.Generation}
	req.attempts = append(req.attempts, sent)
	connection.outstanding[e.Tag] = sent
}

// assignCommand finds the open command that a request is part of.
func (c *Checker) assignCommand(req *request, e *trail.Event) {
	connection := c.sessions[sessionID{e.Host, e.Session}]
	if connection == nil {
		return
	}
	cmd := connection.open[e.RefTag]
	if cmd == nil {
		return
	}
	req.cmd, req.class = cmd, cmd.class
	cmd.requests = append(cmd.requests, req)
	if req.class != nil && req.class.Ordered {
		queueID := keyQueueID{e.Host, e.Key}
		c.keyQueues[queueID] = append(c.keyQueues[queueID], req)
	}
}

// checkNotEnded checks that no attempt is sent for an ended or unknown command (rule 1).
func (c *Checker) checkNotEnded(req *request, e *trail.Event, violation Violation) {
	violation.Rule = Answers
	c.Checks[Answers]++
	endedAt, description := int64(math.MaxInt64), "command that was never sent"
	switch connection := c.sessions[sessionID{e.Host, e.Session}]; {
	case req.cmd != nil && req.cmd.ended:
		endedAt, description = req.cmd.endedAt, "command that had ended"
	case req.cmd != nil:
	case connection == nil:
		endedAt = 0
	default:
		endedAt, description = connection.endedAt[e.RefTag], "command that had ended or was never sent"
	}
	if c.process(e.Host).seenAt(endedAt) < e.Time-MaxRelayDelay {
		c.violate(violation, "%s sent attempt %d for a %s (session %d, tag %d)", e.Host, e.Attempt, description, e.Session, e.RefTag)
	}
}

// checkDrain checks rule 3: no attempt to a server later than the drain grace after the host was
// told that it drains or is gone.
func (c *Checker) checkDrain(e *trail.Event, violation Violation) {
	since, notReady := c.process(e.Host).notReadySince[e.Peer]
	if !notReady {
		return
	}
	violation.Rule = Drains
	if late := e.Time - c.process(e.Host).seenAt(since) - int64(c.settings.Rules.DrainGrace*1000); late > 0 {
		c.violate(violation, "%s sent to %s %.1f ms after the end of its drain grace", e.Host, c.serverName(e.Peer), float64(late)/1000)
	}
}

// checkCold checks rule 4: the load on a cold server over each overload window that ends with a
// send to it.
func (c *Checker) checkCold(e *trail.Event, violation Violation) {
	start, known := c.serverStarts[e.Peer]
	terms := &c.settings.Rules
	age := float64(e.Time-start) / 1000
	if !known || age >= terms.WarmUpTime {
		return
	}
	c.Checks[Cold]++
	window := int64(terms.OverloadWindow * 1000)
	sends := slices.DeleteFunc(c.coldSends[e.Peer], func(p coldSend) bool { return p.sentAt <= e.Time-window })
	sends = append(sends, coldSend{e.Time, e.Units, c.process(e.Host).knownStarts[e.Peer] == start})
	c.coldSends[e.Peer] = sends
	total := 0.0
	for _, p := range sends {
		total += p.units
	}
	capacity := terms.ColdCapacity + (1-terms.ColdCapacity)*max(age, 0)/terms.WarmUpTime
	allowed := max(terms.ColdUnits, terms.OverloadFactor*capacity*c.meta.Servers[e.Peer].Rate*terms.OverloadWindow/1000)
	if total > allowed+1e-6 && startMostlyKnown(sends) {
		violation.Rule = Cold
		c.violate(violation, "cold server %s was sent %.1f units within %.0f ms, at most %.1f allowed", c.serverName(e.Peer), total, terms.OverloadWindow, allowed)
	}
}

// startMostlyKnown reports whether at least two thirds of the units came from hosts that knew of
// the server's start.
func startMostlyKnown(sends []coldSend) bool {
	total, informed := 0.0, 0.0
	for _, p := range sends {
		total += p.units
		if p.startKnown {
			informed += p.units
		}
	}
	return informed >= total*2/3
}

// checkLimit checks rule 5 on the first attempt of each request.
func (c *Checker) checkLimit(e *trail.Event, violation Violation) {
	volume := c.volumes[e.Volume]
	if volume == nil {
		return
	}
	plan := c.plans[volume.Plan]
	if plan == nil || plan.Limit <= 0 {
		return
	}
	c.Checks[Limits]++
	bucket := c.buckets[e.Volume]
	if bucket == nil {
		bucket = &tokenBucket{level: plan.Burst, updatedAt: e.Time}
		c.buckets[e.Volume] = bucket
	}
	bucket.level = min(bucket.level+plan.Limit*float64(e.Time-bucket.updatedAt)/1e6, plan.Burst) - e.Units
	bucket.updatedAt = e.Time
	if bucket.level < -plan.Overdraft-1e-6 {
		violation.Rule = Limits
		c.violate(violation, "volume %s exceeds its limit by %.2f units, %.2f allowed", e.Volume, -bucket.level, plan.Overdraft)
	}
}

// checkRepeat checks rule 2 on each attempt after the first.
func (c *Checker) checkRepeat(req *request, e *trail.Event, violation Violation) {
	if len(req.attempts) == 0 || req.class == nil {
		return
	}
	violation.Rule = Effects
	c.Checks[Effects]++
	if !c.settings.Limits.Duplicates {
		if i := slices.IndexFunc(req.attempts, func(a *attempt) bool { return a.outstandingAt(e.Time) }); i >= 0 {
			c.violate(violation, "attempt %d of a %s sent while attempt %d is outstanding", e.Attempt, req.class.Name, i)
		}
	}
	i := slices.IndexFunc(req.attempts, (*attempt).mayHaveRun)
	if i < 0 || req.class.Effect == "safe" {
		return
	}
	ran := req.attempts[i]
	if req.class.Effect == "unsafe" {
		c.violate(violation, "attempt %d of unsafe %s sent although attempt %d may have run", e.Attempt, req.class.Name, i)
		return
	}
	if age := float64(e.Time-ran.sentAt) / 1000; age > req.class.DedupWindow+MaxRelayDelay/1000 {
		c.violate(violation, "attempt %d of %s sent %.0f ms after attempt %d, beyond the dedup window of %.0f ms", e.Attempt, req.class.Name, age, i, req.class.DedupWindow)
	}
	if !c.inDedupScope(req.class.DedupScope, ran.server, e.Peer) {
		c.violate(violation, "attempt %d of %s sent to %s, outside the dedup scope of %s, where attempt %d may have run", e.Attempt, req.class.Name, c.serverName(e.Peer), c.serverName(ran.server), i)
	}
}

// inDedupScope reports whether two servers drop each other's repeats in the given scope.
func (c *Checker) inDedupScope(scope, firstAddr, secondAddr string) bool {
	first, second := c.meta.Servers[firstAddr], c.meta.Servers[secondAddr]
	switch {
	case scope == "all":
		return true
	case first.Region != second.Region:
		return false
	case scope == "zone":
		return first.Zone == second.Zone
	}
	return first.Shard == second.Shard
}

// checkOrder checks rule 6. Within a connection it checks the order of arrival. Between
// connections that order is not known exactly, so only overlap and the key's holdoff are checked.
func (c *Checker) checkOrder(req *request, e *trail.Event, violation Violation) {
	if req.class == nil || !req.class.Ordered {
		return
	}
	violation.Rule = Order
	c.Checks[Order]++
	queueID := keyQueueID{e.Host, e.Key}
	unreleased := c.keyQueues[queueID][:0]
	for _, other := range c.keyQueues[queueID] {
		if other == req || !other.keyReleased(e.Time, c.settings.Rules.KeyHoldoff) {
			unreleased = append(unreleased, other)
		}
		if other != req {
			c.checkKeyFree(other, req, e, violation)
		}
	}
	c.keyQueues[queueID] = unreleased
	if len(req.attempts) > 0 {
		return
	}
	if overtakenAt, overtaken := req.cmd.overtakenAt[e.Key]; overtaken {
		c.violate(violation, "%s of key %s (tag %d) sent %.1f ms after a later command of the same connection", req.class.Name, e.Key, req.cmd.tag, float64(e.Time-overtakenAt)/1000)
	}
	for _, cmd := range req.cmd.conn.orderedQueue {
		if cmd == req.cmd {
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

// checkOvertaken checks that cmd did not stay open after a later command of its key was sent. It
// skips commands of several parts: the host may give up one part before the answer to the command,
// which the sockets do not show, and checkOrder still checks that the part is not sent afterwards.
func (c *Checker) checkOvertaken(cmd *command, now int64) {
	if cmd.parts != 1 {
		return
	}
	for key, overtakenAt := range cmd.overtakenAt {
		if now > overtakenAt+MaxRelayDelay {
			c.violate(Violation{Rule: Order, Time: overtakenAt, Conn: cmd.conn.id, Tag: cmd.tag},
				"a later command of key %s was sent %.1f ms before the end of tag %d", key, float64(now-overtakenAt)/1000, cmd.tag)
		}
	}
}

// hasKey reports whether cmd has a part with that key under every layout that its volume had, since
// the layout that the host used is not known.
func (c *Checker) hasKey(cmd *command, key string) bool {
	for _, v := range c.variants(cmd.conn.volume) {
		found := false
		for p := range v.Segments(cmd.lba, cmd.blocks) {
			found = found || v.Key(p.Extent) == key
		}
		if !found {
			return false
		}
	}
	return true
}

// variants returns a copy of the volume for each layout that it had during the run.
func (c *Checker) variants(volume *settings.Volume) []*settings.Volume {
	list := c.volumeVariants[volume.Name]
	if list == nil {
		list = []*settings.Volume{volume}
		for _, l := range c.meta.Layouts[volume.Name] {
			variant := *volume
			variant.Layout = l
			list = append(list, &variant)
		}
		c.volumeVariants[volume.Name] = list
	}
	return list
}

// sentKey reports whether the part with that key was sent.
func (cmd *command) sentKey(key string) bool {
	return slices.ContainsFunc(cmd.requests, func(r *request) bool { return r.orderKey == key })
}

// checkKeyFree checks that no attempt of earlier still holds the key when req is sent.
func (c *Checker) checkKeyFree(earlier, req *request, e *trail.Event, violation Violation) {
	for i, a := range earlier.attempts {
		switch {
		case a.outstandingAt(e.Time):
			c.violate(violation, "%s of key %s sent while attempt %d of an earlier request is outstanding", req.class.Name, e.Key, i)
		case !a.answered && e.Time < a.endedBy()+int64(c.settings.Rules.KeyHoldoff*1000)-MaxRelayDelay:
			c.violate(violation, "%s of key %s sent %.1f ms after a lost attempt, within the key holdoff of %.0f ms", req.class.Name, e.Key, float64(e.Time-a.endedBy())/1000, c.settings.Rules.KeyHoldoff)
		}
	}
}

// endedBy returns when the host gave up an unanswered attempt, at the latest.
func (a *attempt) endedBy() int64 {
	if a.lostAt > 0 {
		return min(a.lostAt, a.deadline)
	}
	return a.deadline
}

// keyReleased reports whether the request can no longer hold its key.
func (r *request) keyReleased(now int64, holdoff float64) bool {
	if !r.ended && !r.served {
		return false
	}
	for _, a := range r.attempts {
		if !a.answered && now < a.endedBy()+int64(holdoff*1000)+MaxRelayDelay {
			return false
		}
	}
	return true
}

// checkBudget checks rule 7 on each attempt after a request's first.
func (c *Checker) checkBudget(e *trail.Event, violation Violation) {
	budget := c.settings.Rules.Budget
	if budget == nil {
		return
	}
	c.Checks[Budget]++
	process := c.process(e.Host)
	window := int64(budget.Window * 1000)
	process.retries = append(slices.DeleteFunc(process.retries, func(t int64) bool { return t <= e.Time-window+MaxRelayDelay }), e.Time)
	process.arrivals = dropBefore(process.arrivals, e.Time-window-MaxRelayDelay)
	if allowed := budget.Base + budget.Ratio*float64(len(process.arrivals)); float64(len(process.retries)) > allowed+1e-9 {
		violation.Rule = Budget
		c.violate(violation, "%s sent %d retries within %.0f ms, %.1f allowed", e.Host, len(process.retries), budget.Window, allowed)
	}
}

// dropBefore returns the sorted times without those before cutoff.
func dropBefore(times []int64, cutoff int64) []int64 {
	i, _ := slices.BinarySearch(times, cutoff)
	return times[i:]
}

func (c *Checker) recordResult(connection *conn, e *trail.Event) {
	sent := connection.outstanding[e.Tag]
	if sent == nil {
		return
	}
	delete(connection.outstanding, e.Tag)
	if sent.lostAt == 0 {
		sent.answered, sent.result = true, diskproto.Result(e.Status)
	}
	if sent.result == diskproto.OK || sent.result == diskproto.Miscompare {
		sent.req.served = true
		c.checkHome(sent, e.Time)
	}
	if sent.result == diskproto.OK && !e.Dropped {
		c.checkExecutedOnce(sent.req, e.Time)
	}
}

// checkExecutedOnce checks that no part of a write is executed under two requests (rule 2): disk
// servers drop repeats of a request, but can't know one request for a repeat of another.
func (c *Checker) checkExecutedOnce(req *request, now int64) {
	cmd := req.cmd
	if cmd == nil || !cmd.op.Writes() || req.class == nil || req.class.Effect == "safe" {
		return
	}
	c.Checks[Effects]++
	if cmd.executedBy == nil {
		cmd.executedBy = map[uint64]requestID{}
	}
	previous, executed := cmd.executedBy[req.lba]
	if executed && previous != req.id {
		c.violate(Violation{Rule: Effects, Time: now, Conn: cmd.conn.id, Tag: cmd.tag, HostID: req.id.hostID, Seq: req.id.seq},
			"the part of a %s at block %d was executed under requests %d and %d", req.class.Name, req.lba, previous.seq, req.id.seq)
	}
	cmd.executedBy[req.lba] = req.id
}

// servedHome is the first answer of a shard's servers in a region under a generation.
type servedHome struct {
	generation uint64
	region     int
	servedAt   int64
}

// FirstServed tells when a shard was first served in a region under a generation.
type FirstServed struct {
	Shard, Region int
	Generation    uint64
	At            int64 // us since the run began
}

// HomeHistory lists, by shard and then by time, the regions and generations that served it.
func (c *Checker) HomeHistory() (out []FirstServed) {
	for _, shard := range slices.Sorted(maps.Keys(c.firstServed)) {
		for _, s := range c.firstServed[shard] {
			out = append(out, FirstServed{int(shard), s.region, s.generation, s.servedAt})
		}
	}
	return out
}

// checkHome checks rule 8 on each attempt that was served.
func (c *Checker) checkHome(served *attempt, now int64) {
	if served.generation == 0 {
		return
	}
	c.Checks[Homes]++
	server := c.meta.Servers[served.server]
	history := c.firstServed[int32(server.Shard)]
	known := false
	for _, s := range history {
		known = known || s.generation == served.generation && s.region == server.Region
		if s.region != server.Region && s.generation >= served.generation && s.servedAt < served.sentAt {
			c.violate(Violation{Rule: Homes, Time: now, HostID: served.req.id.hostID, Seq: served.req.id.seq},
				"shard %d was served in region %d under generation %d by an attempt sent %.1f ms after region %d had served it under generation %d",
				server.Shard, server.Region, served.generation, float64(served.sentAt-s.servedAt)/1000, s.region, s.generation)
		}
	}
	if !known {
		c.firstServed[int32(server.Shard)] = append(history, servedHome{served.generation, server.Region, now})
	}
}

// Events between hosts and the inventory.

func (c *Checker) inventoryEvent(e *trail.Event) {
	process := c.process(e.Host)
	switch e.Kind {
	case trail.Close:
		if e.Dir == trail.Up {
			process.diedAt = e.Time // until the host connects again
		}
	case trail.Open:
		if !process.killed {
			process.diedAt = 0
		}
	case trail.List:
		var list inventory.List
		if json.Unmarshal([]byte(e.Detail), &list) == nil {
			c.applyList(process, &list, e.Time)
		}
	}
}

func (c *Checker) applyList(process *hostProcess, list *inventory.List, now int64) {
	listed := map[string]bool{}
	for _, n := range list.Nodes {
		listed[n.Addr], process.knownServers[n.Addr] = true, true
		if n.Health == inventory.Ready {
			delete(process.notReadySince, n.Addr)
		} else {
			c.markNotReady(process, n.Addr, now)
		}
		if n.AgeMS > 0 {
			start := now - int64(n.AgeMS*1000)
			// Each list computes the same start from another age: treat starts within 1 s as one.
			if previous, ok := c.serverStarts[n.Addr]; !ok || start > previous+1_000_000 {
				c.serverStarts[n.Addr] = start
			}
			process.knownStarts[n.Addr] = c.serverStarts[n.Addr]
		}
	}
	if list.Kind == inventory.Full {
		for addr := range process.knownServers {
			if !listed[addr] {
				c.markNotReady(process, addr, now)
			}
		}
	}
}

func (c *Checker) markNotReady(process *hostProcess, addr string, now int64) {
	if _, already := process.notReadySince[addr]; !already {
		process.notReadySince[addr] = now
		c.Checks[Drains]++
	}
}

// Finish ends the check at the last event: it reports the commands whose answer is overdue, and
// those whose connection a host closed without dying at that time.
func (c *Checker) Finish() {
	for _, id := range sortedConnIDs(c.conns) {
		connection := c.conns[id]
		for _, cmd := range sortedByTag(connection.open) {
			if !cmd.aborted && c.lastEventAt > c.answerDue(cmd) {
				c.violate(Violation{Rule: Answers, Time: c.lastEventAt, Conn: connection.id, Tag: cmd.tag}, "%s on %s was never answered", cmd.op, connection.volume.Name)
			}
		}
	}
	for _, process := range c.processes {
		const closeWindow = 2_000_000 // us around a host's death within which its connections close
		for _, violation := range process.unanswered {
			if process.diedAt == 0 || process.diedAt < violation.Time-closeWindow || process.diedAt > violation.Time+closeWindow {
				c.ViolationCounts[violation.Rule]++
				c.Violations = append(c.Violations, violation)
			}
		}
	}
	slices.SortStableFunc(c.Violations, func(a, b Violation) int { return cmp.Compare(a.Time, b.Time) })
}

func sortedConnIDs(conns map[uint32]*conn) []uint32 {
	var ids []uint32
	for id := range conns {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// OK reports whether no violation was found.
func (c *Checker) OK() bool { return len(c.Violations) == 0 }
