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

// command is one SCSI command that needs disks: its parts, and what is gathered
// for its one answer. Once it is at the host, its fields are the host goroutine's.
type command struct {
	conn      *conn
	task      *iscsi.Task
	jobs      []*job
	first     job
	room      [1]*job
	left      int // parts without an end
	landing   int // parts of which something may still take effect
	worst     endKind
	after     float64
	miscomp   bool
	data      []byte
	buffer    *[]byte // what data lies in, if it is borrowed
	blockSize int
	held      int // bytes reserved for what it reads
	outcome   scsi.Outcome
	class     *settings.Class
	fence     uint64 // version of the reservations that it was judged by
	fenced    bool   // a disk server knows a later one
	group     *abortion
	gone      bool
	spared    bool
}

// ready turns a command with all its data into requests. Held: conn.mu.
func (c *conn) ready(t *iscsi.Task) {
	if c.attention != nil && scsi.TakesAttention(t.CDB) {
		c.respond(t, iscsi.Answer{Status: scsi.CheckCondition, Sense: c.attention.Fixed()})
		c.attention = nil
		return
	}
	v := c.front.view.Load()
	var disk *scsi.Disk
	if u := c.at(v); t.LUN == 0 && u != nil {
		disk = u.disk
	}
	out := scsi.Decode(disk, t.CDB, t.Data, []uint64{0})
	switch {
	case out.Sense != nil:
		c.respond(t, iscsi.Answer{Status: scsi.CheckCondition, Sense: out.Sense.Fixed()})
	case out.Reserve != nil:
		c.reservation(v, t, out.Reserve)
	case out.IO == nil:
		c.respond(t, iscsi.Answer{Data: out.Data, Out: out.Out})
	case out.IO.Op == scsi.Flush && c.flushes(v):
		// Every write that was acknowledged is on its disk server already.
		c.respond(t, iscsi.Answer{})
	default:
		c.start(t, out)
	}
}

// flushes tells whether a flush needs no look at the reservations.
func (c *conn) flushes(v *view) bool {
	_, ok := c.front.keeper.judge(c.at(v).vol.Name, c.nexus(), true)
	return ok
}

// at is the session's unit as settings have it, nil if they have it here no more: its
// commands are then answered as those of a unit that there isn't, while what was taken
// before ends as it would have.
func (c *conn) at(v *view) *unit { return v.targets[c.key.target] }

// last is the session's unit as settings have it or, if they don't, as they had it at its
// login: for what was begun before.
func (c *conn) last(v *view) *unit {
	if u := c.at(v); u != nil {
		return u
	}
	return c.unit
}

func (c *conn) respond(t *iscsi.Task, a iscsi.Answer) { c.sess.Respond(t, a) }

// start hands the command's parts to the host core. Held: conn.mu.
func (c *conn) start(t *iscsi.Task, out scsi.Outcome) {
	if vol, class := c.take(t, out); class != nil {
		c.recheck(t, out, vol, class, false)
	}
}

// take hands them over under the settings in force, or answers the command itself. It
// returns a volume and a class where the reservations must be looked at first.
func (c *conn) take(t *iscsi.Task, out scsi.Outcome) (*settings.Volume, *settings.Class) {
	f := c.front
	f.taking.RLock()
	defer f.taking.RUnlock()
	v, io := f.view.Load(), out.IO
	u := c.at(v)
	if u == nil {
		c.respond(t, iscsi.Answer{Status: scsi.CheckCondition, Sense: scsi.NoSuchLUN.Fixed()})
		return nil, nil
	}
	size := int(io.Blocks) * u.vol.BlockSize
	if io.Op == scsi.Unmap {
		size = 0
	}
	class := v.Class(io.Op, size, u.vol.Plan)
	if class == nil {
		c.respond(t, iscsi.Answer{Status: scsi.CheckCondition, Sense: scsi.InvalidField.Fixed()})
		return nil, nil
	}
	fence, may := f.keeper.judge(u.vol.Name, c.nexus(), io.Op.Writes() || io.Op == scsi.Flush)
	if !may {
		return u.vol, class
	}
	cmd := &command{conn: c, task: t, blockSize: u.vol.BlockSize, outcome: out, class: class, fence: fence}
	if io.Op == scsi.Read {
		cmd.held = size
	}
	if !f.host.serves() || int(f.open.Load()) >= v.Limits.MaxOpen || !f.reserve(cmd.held) {
		c.respond(t, iscsi.Answer{Status: scsi.Busy}) // not taken: nothing was sent
		return nil, nil
	}
	cmd.split(v, u.vol, class, io)
	t.User = cmd
	f.open.Add(int64(len(cmd.jobs)))
	for _, j := range cmd.jobs {
		f.host.post(event{kind: evTake, job: j})
	}
	return nil, nil
}

// split makes one request for each run of blocks on one shard.
func (cmd *command) split(v *view, vol *settings.Volume, class *settings.Class, io *scsi.IO) {
	if io.Op == scsi.Unmap {
		cmd.splitUnmap(v, vol, class, io)
		return
	}
	whole := cmd.task.Data
	if len(whole) > io.Out {
		whole = whole[:io.Out]
	}
	for p := range vol.Parts(io.LBA, io.Blocks) {
		from := int(p.LBA-io.LBA) * vol.BlockSize
		n := int(p.Blocks) * vol.BlockSize
		data := whole
		if io.Op == scsi.Write || io.Compare {
			data = whole[from : from+n]
		}
		j := cmd.add(v, vol, class, io.Op, p.Shard, p.Extent, n)
		j.do.LBA, j.do.Blocks, j.do.Data = p.LBA, p.Blocks, data
		if faultinject.Active(faultinject.ExtentMissed) && len(cmd.jobs) > 1 && io.Op == scsi.Write {
			j.do.LBA--
		}
	}
}

// splitUnmap gathers the runs of each shard into one request.
func (cmd *command) splitUnmap(v *view, vol *settings.Volume, class *settings.Class, io *scsi.IO) {
	byShard := map[int]*job{}
	for _, r := range io.Unmaps {
		for p := range vol.Parts(r.LBA, r.Blocks) {
			j := byShard[p.Shard]
			if j == nil || len(j.do.Runs) == diskRuns {
				j = cmd.add(v, vol, class, io.Op, p.Shard, p.Extent, 0)
				byShard[p.Shard] = j
			}
			j.do.Runs = append(j.do.Runs, diskproto.Run{LBA: p.LBA, Blocks: p.Blocks})
		}
	}
}

const diskRuns = 64 // of one frame

// add makes one part's request.
func (cmd *command) add(v *view, vol *settings.Volume, class *settings.Class, op scsi.Op, shard int, extent uint64, size int) *job {
	c := cmd.conn
	key := vol.Key(extent)
	units := v.Units(size)
	j := &cmd.first // most commands have one part
	if len(cmd.jobs) > 0 {
		j = &job{}
	} else {
		cmd.jobs = cmd.room[:0]
	}
	j.owner = cmd
	j.req = policy.Request{Class: class.Name, Plan: vol.Plan, Volume: vol.Name, Shard: shard, Units: units,
		Key: key, Hosts: v.hosts[vol.Name], Write: op.Writes(), Expires: cmd.task.At + class.Deadline}
	j.do = diskproto.Do{Op: byte(op), Effect: wireEffect[class.Effect], Shard: uint32(shard), Host: c.front.host.back.id,
		Origin: uint64(c.tsih)<<32 | uint64(cmd.task.ITT), Fence: cmd.fence, Units: units, Plan: vol.Plan, Volume: vol.Name, Key: key}
	if faultinject.Active(faultinject.KeyForgotten) {
		j.req.Key += fmt.Sprint(c.front.open.Load())
	}
	cmd.jobs = append(cmd.jobs, j)
	cmd.left++
	cmd.landing++
	return j
}

var wireEffect = map[string]byte{"safe": diskproto.Safe, "keyed": diskproto.Keyed, "unsafe": diskproto.Unsafe}

// abandon ends the command from the client's side; g, if any, hears when nothing
// of it can take effect any more. Held: conn.mu.
func (cmd *command) abandon(g *abortion) {
	cmd.conn.front.host.post(event{kind: evAsk, ask: func(h *hostCore) {
		cmd.group, cmd.gone = g, true
		for _, j := range cmd.jobs {
			h.abandon(h.now, j)
		}
		if cmd.landing == 0 || faultinject.Active(faultinject.AbortAtOnce) {
			cmd.tellGroup()
		}
	}})
}

// partDone is the end of one part. On the host's goroutine.
func (cmd *command) partDone(j *job, how endKind, after float64, ans *diskproto.Answer) {
	cmd.conn.front.open.Add(-1)
	cmd.left--
	if j.spare {
		how = endRefused // it was never sent
	}
	if how == endRefused || how == endFailed {
		cmd.spare()
	}
	if faultinject.Active(faultinject.LossTakenForGood) && how == endFailed && j.req.Write {
		how = endServed
	}
	cmd.worst, cmd.after = max(cmd.worst, how), max(cmd.after, after)
	if ans != nil && ans.Result == diskproto.Fenced {
		cmd.fenced = true
	} else if ans != nil {
		cmd.miscomp = cmd.miscomp || ans.Result == diskproto.Miscompare
		if cmd.held > 0 && !cmd.gather(j, ans.Data) {
			cmd.worst = max(cmd.worst, endFailed) // a server that answers less than was asked
		}
	}
	if cmd.left == 0 {
		cmd.finish()
	}
}

// spare ends the parts that were never sent, once the command can't be GOOD any
// more. The module is in the middle of an event: it hears of it next.
func (cmd *command) spare() {
	if cmd.left == 0 || cmd.spared {
		return
	}
	cmd.spared = true
	cmd.conn.front.host.post(event{kind: evAsk, ask: func(h *hostCore) {
		for _, j := range cmd.jobs {
			if j.sends == 0 && !j.ended {
				j.spare = true
				h.abandon(h.now, j)
			}
		}
	}})
}

// gather puts a part's data in its place; false if it isn't what was asked for. A
// sole part's data is the command's, with what it lies in.
func (cmd *command) gather(j *job, data []byte) bool {
	if len(data) != int(j.do.Blocks)*cmd.blockSize {
		return false
	}
	if len(cmd.jobs) == 1 {
		cmd.data, cmd.buffer, j.buffer = data, j.buffer, nil
		return true
	}
	if cmd.data == nil {
		cmd.data = make([]byte, cmd.held)
	}
	copy(cmd.data[int(j.do.LBA-cmd.jobs[0].do.LBA)*cmd.blockSize:], data)
	return true
}

// finish hands on the one answer: GOOD only if all parts were. A refusal promises
// that nothing ran, which a served part of a write would belie.
func (cmd *command) finish() {
	c := cmd.conn
	c.front.release(cmd.held)
	if cmd.worst == endGone {
		c.front.host.giveBack(cmd.buffer)
		return
	}
	x := answered{cmd, cmd.answer(), cmd.buffer, cmd.fenced && cmd.worst == endServed}
	if c.answers == nil {
		c.front.host.give(&x, c.front.host.later)
		return
	}
	c.answers.put(x)
}

func (cmd *command) answer() iscsi.Answer {
	switch {
	case cmd.worst == endServed && cmd.miscomp:
		return iscsi.Answer{Status: scsi.CheckCondition, Sense: scsi.Miscompare.Fixed()}
	case cmd.worst == endServed:
		return iscsi.Answer{Data: cmd.data, Out: cmd.outcome.Out}
	case cmd.worst == endRefused && !cmd.partRan(), faultinject.Active(faultinject.BusyAfterSend) && cmd.worst == endFailed:
		return iscsi.Answer{Status: scsi.Busy, Qualifier: retryDelay(cmd.after)}
	}
	return iscsi.Answer{Status: scsi.CheckCondition, Sense: scsi.CommandAborted.Fixed()}
}

// partRan tells whether a part that is not safe to repeat was served while
// another was refused: the client must not be told that nothing happened.
func (cmd *command) partRan() bool {
	return len(cmd.jobs) > 1 && slices.ContainsFunc(cmd.jobs, func(j *job) bool {
		return j.do.Effect != diskproto.Safe && j.sends > 0
	})
}

// partServed tells whether a part of a write was done before another met the fence.
func (cmd *command) partServed() bool {
	return len(cmd.jobs) > 1 && cmd.outcome.IO.Op.Writes()
}

// recheck looks a volume's reservations up and then starts the command anew, or says
// that they stand in its way. partly: some of it may have been done already, which a
// conflict must not deny. Held: conn.mu.
func (c *conn) recheck(t *iscsi.Task, out scsi.Outcome, vol *settings.Volume, class *settings.Class, partly bool) {
	t.User = nil // nothing of it is under way
	c.front.keeper.fresh(vol, t.At+class.Deadline, func(s *reserve.State, err error) {
		c.mu.Lock()
		defer c.mu.Unlock()
		switch {
		case c.closed:
		case err != nil && partly:
			c.respond(t, iscsi.Answer{Status: scsi.CheckCondition, Sense: scsi.CommandAborted.Fixed()})
		case err != nil:
			c.respond(t, iscsi.Answer{Status: scsi.Busy})
		case s.May(c.nexus(), out.IO.Op.Writes() || out.IO.Op == scsi.Flush):
			if c.sess.Task(t.ITT) == t {
				c.again(t, out)
			}
		case partly:
			c.respond(t, iscsi.Answer{Status: scsi.CheckCondition, Sense: scsi.CommandAborted.Fixed()})
		default:
			c.respond(t, iscsi.Answer{Status: scsi.Conflict})
		}
	})
}

// again starts a command anew. Held: conn.mu.
func (c *conn) again(t *iscsi.Task, out scsi.Outcome) {
	if out.IO.Op == scsi.Flush {
		c.respond(t, iscsi.Answer{})
		return
	}
	c.start(t, out)
}

// retryDelay is the advice of BUSY: tenths of a second, SAM-5 section 5.3.2.
func retryDelay(ms float64) uint16 {
	return uint16(min(math.Ceil(ms/100), 0x3fef))
}

// partSettled counts the parts that can't take effect any more. On the host's
// goroutine.
func (cmd *command) partSettled() {
	if cmd.landing--; cmd.landing == 0 && cmd.gone {
		cmd.tellGroup()
	}
}

func (cmd *command) tellGroup() {
	g := cmd.group
	cmd.group = nil
	if g == nil {
		return
	}
	g.conn.mu.Lock()
	defer g.conn.mu.Unlock()
	g.one()
}
