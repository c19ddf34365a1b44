package rules

import (
	"math"
	"slices"

	"merlinhitch/internal/protocol/diskproto"
	"merlinhitch/internal/verify/trail"
)

// This file checks events between hosts and disk servers.

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
