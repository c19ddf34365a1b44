package rules

import (
	"cmp"
	"fmt"
	"math"
	"slices"

	"merlinhitch/internal/protocol/scsi"
	"merlinhitch/internal/verify/trail"
)

// This file checks events between clients and hosts.

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
