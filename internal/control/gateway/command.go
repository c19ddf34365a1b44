package gateway

import (
	"fmt"
	"math"
	"slices"

	"merlinhitch/internal/control/settings"
	"merlinhitch/internal/protocol/diskproto"
	"merlinhitch/internal/protocol/iscsi"
	"merlinhitch/internal/protocol/scsi"
	"merlinhitch/internal/simulation/faultinject"
	"merlinhitch/internal/storage/reserve"
	"merlinhitch/policy"
)

// command is one SCSI command that accesses disk servers. It has one job for each of its parts and
// collects their results for one response. Once the jobs are submitted, its fields belong to the
// host's goroutine.
type command struct {
	conn          *conn
	task          *iscsi.Task
	jobs          []*job
	firstJob      job     // jobs[0], in the same allocation
	inlineJobs    [1]*job // backs jobs if there is one
	unfinished    int     // jobs without a result
	unsettled     int     // jobs of which an attempt may still take effect
	worstOutcome  jobOutcome
	retryAfter    float64 // ms, the largest of its jobs'
	miscompared   bool
	data          []byte
	dataBuffer    *[]byte // pooled buffer that holds data; nil: data is not pooled
	blockSize     int
	reservedBytes int // memory reserved for the data that it reads
	decoded       scsi.Outcome
	volume        *settings.Volume // as it was when the command was split
	class         *settings.Class
	fence         uint64       // version of the reservations that permitted it
	fenced        []fencedPart // parts that a disk server with a newer version refused
	partExecuted  bool         // a part of a write was executed or may have been
	abortWait     *abortWait
	aborted       bool // by the client or the end of its session
	unsentAborted bool // abortUnsent was called
}

// handleCommand executes a command whose data has arrived completely. The caller holds conn.mu.
func (c *conn) handleCommand(task *iscsi.Task) {
	if c.unitAttention != nil && scsi.TakesAttention(task.CDB) {
		c.respond(task, iscsi.Answer{Status: scsi.CheckCondition, Sense: c.unitAttention.Fixed()})
		c.unitAttention = nil
		return
	}
	active := c.frontend.settings.Load()
	var disk *scsi.Disk
	if unit := c.currentUnit(active); task.LUN == 0 && unit != nil {
		disk = unit.disk
	}
	decoded := scsi.Decode(disk, task.CDB, task.Data, []uint64{0})
	switch {
	case decoded.Sense != nil:
		c.respond(task, iscsi.Answer{Status: scsi.CheckCondition, Sense: decoded.Sense.Fixed()})
	case decoded.Reserve != nil:
		c.handleReservation(active, task, decoded.Reserve)
	case decoded.IO == nil:
		c.respond(task, iscsi.Answer{Data: decoded.Data, Out: decoded.Out})
	case decoded.IO.Op == scsi.Flush && c.flushPermitted(active):
		// Nothing is to be flushed: acknowledged writes are on their disk servers.
		c.respond(task, iscsi.Answer{})
	default:
		c.startCommand(task, decoded)
	}
}

// flushPermitted reports whether the cached reservations permit a flush.
func (c *conn) flushPermitted(active *activeSettings) bool {
	_, ok := c.frontend.reservations.check(c.currentUnit(active).volume.Name, c.nexus(), true)
	return ok
}

// currentUnit returns the session's unit under the current settings, nil if they no longer have it
// on this host. New commands are then answered as for a missing unit; commands accepted before
// are completed.
func (c *conn) currentUnit(active *activeSettings) *logicalUnit {
	return active.unitsByTarget[c.key.target]
}

// currentOrLoginUnit returns the session's unit under the current settings, or as it was at the login
// if they no longer have it, for commands accepted before.
func (c *conn) currentOrLoginUnit(active *activeSettings) *logicalUnit {
	if unit := c.currentUnit(active); unit != nil {
		return unit
	}
	return c.logicalUnit
}

func (c *conn) respond(task *iscsi.Task, answer iscsi.Answer) { c.session.Respond(task, answer) }

// startCommand submits a command. The caller holds conn.mu.
func (c *conn) startCommand(task *iscsi.Task, decoded scsi.Outcome) {
	if volume, class := c.submit(task, decoded); class != nil {
		c.recheckReservations(task, decoded, volume, class)
	}
}

// submit posts the command's jobs under the current settings, or answers the command itself. If the
// cached reservations forbid it, submit does neither and returns the volume and the class.
func (c *conn) submit(task *iscsi.Task, decoded scsi.Outcome) (*settings.Volume, *settings.Class) {
	f := c.frontend
	f.settingsMu.RLock()
	defer f.settingsMu.RUnlock()
	active, io := f.settings.Load(), decoded.IO
	unit := c.currentUnit(active)
	if unit == nil {
		c.respond(task, iscsi.Answer{Status: scsi.CheckCondition, Sense: scsi.NoSuchLUN.Fixed()})
		return nil, nil
	}
	size := int(io.Blocks) * unit.volume.BlockSize
	if io.Op == scsi.Unmap {
		size = 0
	}
	class := active.Class(io.Op, size, unit.volume.Plan)
	if class == nil {
		c.respond(task, iscsi.Answer{Status: scsi.CheckCondition, Sense: scsi.InvalidField.Fixed()})
		return nil, nil
	}
	fence, permitted := f.reservations.check(unit.volume.Name, c.nexus(), io.Op.Writes() || io.Op == scsi.Flush)
	if !permitted {
		return unit.volume, class
	}
	cmd := &command{conn: c, task: task, blockSize: unit.volume.BlockSize, decoded: decoded, volume: unit.volume, class: class, fence: fence}
	if io.Op == scsi.Read {
		cmd.reservedBytes = size
	}
	if !f.host.leaseValid() || int(f.openRequests.Load()) >= active.Limits.MaxOpen || !f.reserveMemory(cmd.reservedBytes) {
		c.respond(task, iscsi.Answer{Status: scsi.Busy}) // not accepted: nothing was sent
		return nil, nil
	}
	cmd.split(active, unit.volume, class, io)
	task.User = cmd
	f.openRequests.Add(int64(len(cmd.jobs)))
	for _, j := range cmd.jobs {
		f.host.post(event{kind: eventSubmit, job: j})
	}
	return nil, nil
}

// split adds one job for each run of blocks on one shard.
func (cmd *command) split(active *activeSettings, volume *settings.Volume, class *settings.Class, io *scsi.IO) {
	if io.Op == scsi.Unmap {
		cmd.splitUnmap(active, volume, class, io)
		return
	}
	taskData := cmd.task.Data
	if len(taskData) > io.Out {
		taskData = taskData[:io.Out]
	}
	for part := range volume.Segments(io.LBA, io.Blocks) {
		start := int(part.LBA-io.LBA) * volume.BlockSize
		size := int(part.Blocks) * volume.BlockSize
		data := taskData
		if io.Op == scsi.Write || io.Compare {
			data = taskData[start : start+size]
		}
		j := cmd.addJob(active, volume, class, io.Op, part.Shard, part.Extent, size)
		j.message.LBA, j.message.Blocks, j.message.Data = part.LBA, part.Blocks, data
		if faultinject.Active(faultinject.ExtentMissed) && len(cmd.jobs) > 1 && io.Op == scsi.Write {
			j.message.LBA--
		}
	}
}

// splitUnmap collects the runs of each shard in jobs of at most maxRunsPerRequest runs.
func (cmd *command) splitUnmap(active *activeSettings, volume *settings.Volume, class *settings.Class, io *scsi.IO) {
	byShard := map[int]*job{}
	for _, run := range io.Unmaps {
		for part := range volume.Segments(run.LBA, run.Blocks) {
			j := byShard[part.Shard]
			if j == nil || len(j.message.Runs) == maxRunsPerRequest {
				j = cmd.addJob(active, volume, class, io.Op, part.Shard, part.Extent, 0)
				byShard[part.Shard] = j
			}
			j.message.Runs = append(j.message.Runs, diskproto.Run{LBA: part.LBA, Blocks: part.Blocks})
		}
	}
}

// maxRunsPerRequest bounds the runs in one frame.
const maxRunsPerRequest = 64

// addJob adds the job of one part, of size bytes.
func (cmd *command) addJob(active *activeSettings, volume *settings.Volume, class *settings.Class, op scsi.Op, shard int, extent uint64, size int) *job {
	c := cmd.conn
	key := volume.Key(extent)
	units := active.Units(size)
	j := &cmd.firstJob // most commands have one part
	if len(cmd.jobs) > 0 {
		j = &job{}
	} else {
		cmd.jobs = cmd.inlineJobs[:0]
	}
	j.owner = cmd
	j.req = policy.Request{Class: class.Name, Plan: volume.Plan, Volume: volume.Name, Shard: shard, Units: units,
		Key: key, Hosts: active.hostCounts[volume.Name], Write: op.Writes(), Expires: cmd.task.At + class.Deadline}
	j.message = diskproto.Do{Op: byte(op), Effect: diskEffects[class.Effect], Shard: uint32(shard), Host: c.frontend.host.pool.hostID,
		Origin: uint64(c.tsih)<<32 | uint64(cmd.task.ITT), Fence: cmd.fence, Units: units, Plan: volume.Plan, Volume: volume.Name, Key: key}
	if faultinject.Active(faultinject.KeyForgotten) {
		j.req.Key += fmt.Sprint(c.frontend.openRequests.Load())
	}
	cmd.jobs = append(cmd.jobs, j)
	cmd.unfinished++
	cmd.unsettled++
	return j
}

// diskEffects maps the effects of classes to those of the disk protocol.
var diskEffects = map[string]byte{"safe": diskproto.Safe, "keyed": diskproto.Keyed, "unsafe": diskproto.Unsafe}

// abandon aborts the command's jobs. wait, if not nil, is notified once no attempt of them can take
// effect any more. The caller holds conn.mu.
func (cmd *command) abandon(wait *abortWait) {
	cmd.conn.frontend.host.post(event{kind: eventRun, run: func(c *core) {
		cmd.abortWait, cmd.aborted = wait, true
		for _, j := range cmd.jobs {
			c.abort(c.now, j)
		}
		if cmd.unsettled == 0 || faultinject.Active(faultinject.AbortAtOnce) {
			cmd.notifyAbort()
		}
	}})
}

// jobEnded collects the result of one part. It is called on the host's goroutine.
func (cmd *command) jobEnded(j *job, outcome jobOutcome, retryAfter float64, answer *diskproto.Answer) {
	cmd.conn.frontend.openRequests.Add(-1)
	cmd.unfinished--
	if j.abortedUnsent {
		outcome = jobRefused // not jobAborted, which would suppress the response
	}
	if outcome == jobRefused || outcome == jobFailed {
		cmd.abortUnsent()
	}
	if faultinject.Active(faultinject.LossTakenForGood) && outcome == jobFailed && j.req.Write {
		outcome = jobServed
	}
	cmd.worstOutcome, cmd.retryAfter = max(cmd.worstOutcome, outcome), max(cmd.retryAfter, retryAfter)
	fenced := answer != nil && answer.Result == diskproto.Fenced
	if cmd.decoded.IO.Op.Writes() && j.mayHaveBeenExecuted(answer) {
		cmd.partExecuted = true
	}
	if fenced {
		cmd.fenced = append(cmd.fenced, newFencedPart(cmd, j))
	} else if answer != nil {
		cmd.miscompared = cmd.miscompared || answer.Result == diskproto.Miscompare
		if cmd.reservedBytes > 0 && !cmd.gather(j, answer.Data) {
			cmd.worstOutcome = max(cmd.worstOutcome, jobFailed) // the answer has the wrong length
		}
	}
	if cmd.unfinished == 0 {
		cmd.complete()
	}
}

// abortUnsent aborts the parts that were never sent, once the command can no longer succeed. It
// posts an event for that, since the policy is handling one.
func (cmd *command) abortUnsent() {
	if cmd.unfinished == 0 || cmd.unsentAborted {
		return
	}
	cmd.unsentAborted = true
	cmd.conn.frontend.host.post(event{kind: eventRun, run: func(c *core) {
		for _, j := range cmd.jobs {
			if j.attempts == 0 && !j.ended {
				j.abortedUnsent = true
				c.abort(c.now, j)
			}
		}
	}})
}

// gather copies a part's data to its place in the response; it returns false if the data has the
// wrong length. If the command has only one part, its data and buffer are used without a copy.
func (cmd *command) gather(j *job, data []byte) bool {
	if len(data) != int(j.message.Blocks)*cmd.blockSize {
		return false
	}
	if len(cmd.jobs) == 1 {
		cmd.data, cmd.dataBuffer, j.dataBuffer = data, j.dataBuffer, nil
		return true
	}
	if cmd.data == nil {
		cmd.data = make([]byte, cmd.reservedBytes)
	}
	copy(cmd.data[int(j.message.LBA-cmd.jobs[0].message.LBA)*cmd.blockSize:], data)
	return true
}

// complete passes the command's response to the connection's responder. Without one, the host's
// goroutine sends it. An aborted command gets no response.
func (cmd *command) complete() {
	c := cmd.conn
	recheck := len(cmd.fenced) > 0 && cmd.worstOutcome == jobServed
	if !recheck {
		c.frontend.releaseMemory(cmd.reservedBytes)
	}
	if cmd.worstOutcome == jobAborted {
		c.frontend.host.putBuffer(cmd.dataBuffer)
		return
	}
	completed := completion{cmd, cmd.response(), cmd.dataBuffer, recheck}
	if c.responder == nil {
		c.frontend.host.respond(&completed, c.frontend.host.flushAfterBatch)
		return
	}
	c.responder.enqueue(completed)
}

// response returns GOOD only if all parts were served. BUSY tells the client that nothing was
// executed, so a command of which a part may have been ends with COMMAND ABORTED instead. The policy
// may refuse a keyed request that may have been executed, since a client's repeat with the same key
// is harmless; but an initiator's repeat is another command, with another key.
func (cmd *command) response() iscsi.Answer {
	switch {
	case cmd.worstOutcome == jobServed && cmd.miscompared:
		return iscsi.Answer{Status: scsi.CheckCondition, Sense: scsi.Miscompare.Fixed()}
	case cmd.worstOutcome == jobServed:
		return iscsi.Answer{Data: cmd.data, Out: cmd.decoded.Out}
	case cmd.worstOutcome == jobRefused && !cmd.mayHaveExecuted(), faultinject.Active(faultinject.BusyAfterSend) && cmd.worstOutcome == jobFailed:
		return iscsi.Answer{Status: scsi.Busy, Qualifier: retryDelay(cmd.retryAfter)}
	}
	return iscsi.Answer{Status: scsi.CheckCondition, Sense: scsi.CommandAborted.Fixed()}
}

// mayHaveExecuted reports whether a part that is not idempotent was executed or may have been. It is
// called when every part has its result.
func (cmd *command) mayHaveExecuted() bool {
	return slices.ContainsFunc(cmd.jobs, func(j *job) bool {
		return j.message.Effect != diskproto.Safe && (j.mayHaveRun || j.outstanding > 0)
	})
}

// recheckReservations reads a volume's reservations and restarts a command of which nothing was
// submitted if they permit it. If not, it answers RESERVATION CONFLICT, or BUSY if they could not
// be read. The caller holds conn.mu.
func (c *conn) recheckReservations(task *iscsi.Task, decoded scsi.Outcome, volume *settings.Volume, class *settings.Class) {
	task.User = nil // it has no jobs now, so an abort need not wait
	c.frontend.reservations.refresh(volume, task.At+class.Deadline, func(state *reserve.State, err error) {
		c.mu.Lock()
		defer c.mu.Unlock()
		switch {
		case c.closed:
		case err != nil:
			c.respond(task, iscsi.Answer{Status: scsi.Busy})
		case state.May(c.nexus(), decoded.IO.Op.Writes() || decoded.IO.Op == scsi.Flush):
			if c.session.Task(task.ITT) == task {
				c.restart(task, decoded)
			}
		default:
			c.respond(task, iscsi.Answer{Status: scsi.Conflict})
		}
	})
}

// restart submits a command that the refreshed reservations permit. A flush needs no more than
// that check. The caller holds conn.mu.
func (c *conn) restart(task *iscsi.Task, decoded scsi.Outcome) {
	if decoded.IO.Op == scsi.Flush {
		c.respond(task, iscsi.Answer{})
		return
	}
	c.startCommand(task, decoded)
}

// retryDelay returns the retry delay timer code of BUSY, in units of 100 ms (SAM-5 section 5.3.2).
func retryDelay(ms float64) uint16 {
	return uint16(min(math.Ceil(ms/100), 0x3fef))
}

// jobSettled counts the parts that can no longer take effect. It is called on the host's goroutine.
func (cmd *command) jobSettled() {
	if cmd.unsettled--; cmd.unsettled == 0 && cmd.aborted {
		cmd.notifyAbort()
	}
}

// notifyAbort notifies a waiting abort that no part can take effect any more.
func (cmd *command) notifyAbort() {
	wait := cmd.abortWait
	cmd.abortWait = nil
	if wait == nil {
		return
	}
	wait.conn.mu.Lock()
	defer wait.conn.mu.Unlock()
	wait.commandDone()
}
