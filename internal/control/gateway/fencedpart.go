package gateway

import (
	"slices"

	"merlinhitch/internal/control/settings"
	"merlinhitch/internal/protocol/diskproto"
	"merlinhitch/internal/protocol/iscsi"
	"merlinhitch/internal/protocol/scsi"
	"merlinhitch/internal/storage/reserve"
)

// This file handles commands of which a part met a fence: a disk server knew newer reservations of
// the volume than this host. The reservations are read again. If they permit the command, the
// parts that met the fence are sent again; the other parts have been executed and must not be.

// fencedPart is a part of a command that met a fence.
type fencedPart struct {
	index int  // in command.jobs
	retry *job // the same part, to be submitted under newer reservations; nil: it must not be repeated
}

// newFencedPart returns the fenced part for job j. The part must not be repeated if an earlier
// attempt of it may have been executed, unless its effect is idempotent: the job's key, by which
// disk servers drop repeats, ends with the job.
func newFencedPart(cmd *command, j *job) fencedPart {
	part := fencedPart{index: slices.Index(cmd.jobs, j)}
	if !j.earlierAttemptMayHaveRun() || j.message.Effect == diskproto.Safe {
		part.retry = &job{owner: cmd, req: j.req, message: j.message}
		part.retry.req.Resubmitted = true
	}
	return part
}

// earlierAttemptMayHaveRun reports whether an attempt other than the one whose answer is being
// handled may have been executed.
func (j *job) earlierAttemptMayHaveRun() bool { return j.mayHaveRun || j.outstanding > 1 }

// mayHaveBeenExecuted reports whether a job that ends with answer, nil for none, may have been
// executed.
func (j *job) mayHaveBeenExecuted(answer *diskproto.Answer) bool {
	switch {
	case answer == nil:
		return j.mayHaveRun || j.outstanding > 0
	case answer.Result.ProvesNothingRan():
		return j.earlierAttemptMayHaveRun()
	}
	return true
}

// recheckFenced reads the volume's reservations after parts of a command met a fence, and submits
// those parts again if the reservations permit the command. Otherwise it answers the command. The
// caller holds conn.mu.
func (c *conn) recheckFenced(cmd *command) {
	volume := c.currentOrLoginUnit(c.frontend.settings.Load()).volume
	c.frontend.reservations.refresh(volume, cmd.task.At+cmd.class.Deadline, func(state *reserve.State, err error) {
		c.mu.Lock()
		defer c.mu.Unlock()
		open := !c.closed && c.session.Task(cmd.task.ITT) == cmd.task
		permitted := err == nil && state.May(c.nexus(), cmd.decoded.IO.Op.Writes() || cmd.decoded.IO.Op == scsi.Flush)
		if open && permitted && cmd.resubmitFenced(state.Version) {
			return
		}
		c.frontend.releaseMemory(cmd.reservedBytes)
		if open {
			c.respond(cmd.task, cmd.fencedAnswer(err == nil && !permitted))
		}
	})
}

// fencedAnswer returns the answer to a command that a fence stopped and that is not continued.
// RESERVATION CONFLICT and BUSY tell the client that nothing was executed.
func (cmd *command) fencedAnswer(conflict bool) iscsi.Answer {
	switch {
	case cmd.partExecuted:
		return iscsi.Answer{Status: scsi.CheckCondition, Sense: scsi.CommandAborted.Fixed()}
	case conflict:
		return iscsi.Answer{Status: scsi.Conflict}
	}
	return iscsi.Answer{Status: scsi.Busy}
}

// resubmitFenced posts the parts that met a fence, under reservations of a newer version. It returns
// false, and posts nothing, if one of them must not be repeated or if the volume's blocks have
// moved. The caller holds conn.mu.
func (cmd *command) resubmitFenced(fence uint64) bool {
	c := cmd.conn
	f := c.frontend
	f.settingsMu.RLock()
	defer f.settingsMu.RUnlock()
	active := f.settings.Load()
	unit := c.currentUnit(active)
	if unit == nil || !sameLayout(unit.volume, cmd.volume) {
		return false
	}
	parts := cmd.fenced
	for _, part := range parts {
		if part.retry == nil {
			return false
		}
		part.retry.message.Fence = fence
		part.retry.req.Hosts = active.hostCounts[unit.volume.Name]
	}
	cmd.fenced = nil
	f.openRequests.Add(int64(len(parts)))
	f.host.post(event{kind: eventRun, run: func(k *core) {
		for _, part := range parts {
			cmd.jobs[part.index] = part.retry
			cmd.unfinished++
			cmd.unsettled++
		}
		for _, part := range parts {
			k.submit(k.now, part.retry)
		}
	}})
	return true
}

// sameLayout reports whether the blocks of two versions of a volume lie on the same shards.
func sameLayout(a, b *settings.Volume) bool {
	return a.ExtentBlocks == b.ExtentBlocks && a.BlockSize == b.BlockSize && slices.Equal(a.Layout, b.Layout)
}
