package standin

import (
	"cmp"
	"maps"
	"slices"

	"merlinhitch/internal/fleet/region"
	"merlinhitch/internal/protocol/diskproto"
	"merlinhitch/internal/protocol/scsi"
	"merlinhitch/internal/simulation/faultinject"
)

// side is what a cell is to its shard.
type side int

const (
	nobody side = iota
	home
	copyOf
)

// replica is what a cell knows of its shard's homes, and its history of changes: as the
// home for the copy in the other region, or as that copy. It is part of a cell, and as
// durable.
type replica struct {
	on       bool // the service has two regions
	self     region.ID
	side     side
	gen      uint64
	alone    bool   // the home answers without its copy
	closed   bool   // the shard is between two homes: nothing more runs under gen
	wholeFor uint64 // the generation under which the copy was said to be whole
	saidSo   bool   // the record says alone for gen
	joined   bool   // the copy is connected
	at       diskproto.Position
	base     diskproto.Position // before log[0]
	log      []change
	copied   uint64 // the copy has the history up to here
	last     map[place]uint64
	waits    []waiting
	filling  bool // a whole state is coming in: what is there is none
	wake     func()
}

// change is one change of the cell.
type change struct {
	at  diskproto.Position
	ran float64 // ms
	do  diskproto.Do
}

// waiting is an answer that the copy must have first.
type waiting struct {
	seq   uint64
	since float64
	reply func()
}

const (
	// keepChanges bounds the history; a copy that lacks more gets the whole state.
	keepChanges = 4096
	// MaxReplicationLag is how many changes that were acknowledged before they were copied a shard
	// may lose with its region.
	MaxReplicationLag = 64
	// behindAfter is how long an answer waits until the copy is said to be lost, ms.
	behindAfter = 400
)

// EnableReplication makes the cell one of two, in that region.
func (c *ShardStore) EnableReplication(self region.ID) {
	c.rep = replica{on: true, self: self, last: map[place]uint64{}}
}

// SetSenderWakeup has f called when there is something to copy.
func (c *ShardStore) SetSenderWakeup(f func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.rep.wake = f
}

func (r *replica) tell() {
	if r.wake != nil {
		r.wake()
	}
}

// becomes enters a later generation.
func (r *replica) becomes(gen uint64, s side) {
	r.gen, r.side, r.alone, r.closed, r.joined, r.saidSo = gen, s, false, false, false, false
	r.copied, r.waits = 0, nil
	if s == home {
		r.filling = false // given up: what is there is all there is
	}
	r.tell()
}

// UpdateHome takes the inventory's word on the shard's home.
func (c *ShardStore) UpdateHome(h region.Home) {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := &c.rep
	if h.Gen < r.gen {
		return
	}
	switch {
	case h.Region == region.Nowhere:
		if h.Gen == r.gen && h.From == r.self {
			r.closed = true
		}
		return
	case h.Gen > r.gen && h.Region == r.self:
		r.becomes(h.Gen, home)
	case h.Gen > r.gen:
		r.becomes(h.Gen, copyOf)
	}
	if r.side == home {
		if r.saidSo = h.Alone; h.Alone && r.wholeFor != r.gen && !r.alone {
			r.alone = true
			r.release()
		}
	}
}

// admit tells whether a command of that generation may run. Held: mu.
func (c *ShardStore) admit(gen uint64) bool {
	r := &c.rep
	switch {
	case !r.on || c.IgnoreFences:
		return true
	case faultinject.Active(faultinject.FenceMissing) && gen < r.gen:
		return true
	case gen > r.gen:
		r.becomes(gen, home)
	case gen < r.gen || r.side != home || r.closed:
		return false
	}
	return true
}

// Stale tells whether a command's generation is older than what the cell knows.
func (c *ShardStore) Stale(gen uint64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.admit(gen)
}

// changed enters a change in the history. Held: mu.
func (c *ShardStore) changed(now float64, d *diskproto.Do) {
	r := &c.rep
	if !r.on {
		return
	}
	r.at = diskproto.Position{Gen: r.gen, Seq: r.at.Seq + 1}
	c.keep(change{r.at, now, *d})
	r.tell()
}

// keep adds a change to the history. Held: mu.
func (c *ShardStore) keep(x change) {
	r := &c.rep
	r.log = append(r.log, x)
	if len(r.log) > 2*keepChanges {
		cut := len(r.log) - keepChanges
		r.base = r.log[cut-1].at
		r.log = slices.Delete(r.log, 0, cut)
	}
	for p := range c.touched(&x.do) {
		r.last[p] = x.at.Seq
	}
}

// touched are the blocks that a command is about.
func (c *ShardStore) touched(d *diskproto.Do) func(func(place) bool) {
	return func(yield func(place) bool) {
		for _, run := range append([]diskproto.Run{{LBA: d.LBA, Blocks: d.Blocks}}, d.Runs...) {
			for i := range uint64(run.Blocks) {
				if !yield(place{d.Volume, run.LBA + i}) {
					return
				}
			}
		}
	}
}

// needs is the change that the copy must have before a command is answered. Held: mu.
func (c *ShardStore) needs(d *diskproto.Do, changed bool) uint64 {
	r := &c.rep
	switch {
	case !r.on:
		return 0
	case !d.Copied && changed:
		return max(r.at.Seq, MaxReplicationLag) - MaxReplicationLag
	case !d.Copied:
		return 0
	case changed:
		return r.at.Seq
	}
	most := uint64(0)
	for p := range c.touched(d) {
		if at := r.last[p]; at <= r.copied {
			delete(r.last, p)
		} else {
			most = max(most, at)
		}
	}
	return most
}

// newest is the last change: what a repeat that is dropped must wait for.
func (c *ShardStore) newest() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.rep.at.Seq
}

// after tells whether an answer may go out now; otherwise reply is called once it may, on
// no particular goroutine, or never if the shard has another home by then.
func (c *ShardStore) after(now float64, seq uint64, reply func()) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := &c.rep
	if !r.on || r.alone || seq <= r.copied {
		return true
	}
	r.waits = append(r.waits, waiting{seq, now, reply})
	return false
}

// release lets go of the answers that wait no longer. Held: mu.
func (r *replica) release() {
	r.waits = slices.DeleteFunc(r.waits, func(w waiting) bool {
		if r.alone || w.seq <= r.copied {
			w.reply()
			return true
		}
		return false
	})
}

// CopyStatus is what the cell says of its copy, if there is anything to say, and under which
// generation it is what.
func (c *ShardStore) CopyStatus(now float64) (out region.Copy) {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := &c.rep
	has := r.joined && r.copied >= r.at.Seq
	out.Gen, out.Home = r.gen, r.side == home
	switch {
	case r.side != home:
	case r.closed && has:
		out.State = region.Drained
	case r.closed:
	case r.alone && has:
		r.alone, r.wholeFor = false, r.gen // from here on nothing is answered alone
		out.State = region.Whole
	case r.alone:
	case r.saidSo && r.wholeFor == r.gen:
		out.State = region.Whole
	case len(r.waits) > 0 && now-r.waits[0].since > behindAfter:
		out.State = region.Behind
	}
	return out
}

// Home tells whether the cell is its shard's home, and under which generation.
func (c *ShardStore) Home() (gen uint64, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.rep.gen, c.rep.side == home
}

// join is the home's question what this cell has.
func (c *ShardStore) join(gen uint64) diskproto.Joined {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := &c.rep
	if !r.on || gen < r.gen || gen == r.gen && r.side == home {
		return diskproto.Joined{Result: diskproto.Stale}
	}
	if gen > r.gen {
		r.becomes(gen, copyOf)
	}
	if r.filling {
		return diskproto.Joined{Result: diskproto.OK} // it has nothing whole
	}
	return diskproto.Joined{Result: diskproto.OK, At: r.at}
}

// take is a change, or a piece of a whole state, from the home under that generation.
func (c *ShardStore) take(now float64, gen uint64, m *diskproto.Copy) diskproto.Copied {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := &c.rep
	if faultinject.Active(faultinject.FenceMissing) && gen < r.gen {
		d := m.Do
		d.Data = slices.Clone(d.Data)
		c.carry(&d)
		return diskproto.Copied{Result: diskproto.OK, At: m.At}
	}
	if gen != r.gen || r.side != copyOf {
		return diskproto.Copied{Result: diskproto.Stale}
	}
	if m.First {
		r.filling = true
		clear(c.blocks)
		clear(c.marks)
		clear(r.last)
		r.log, r.base = nil, r.at
	}
	if !r.filling && m.At.Seq != r.at.Seq+1 {
		return diskproto.Copied{Result: diskproto.Failed}
	}
	d := m.Do
	d.Data = slices.Clone(d.Data)
	c.carry(&d)
	switch {
	case r.filling && m.Part:
	case r.filling:
		r.filling, r.at, r.base = false, m.At, m.At
	default:
		r.at = m.At
		c.keep(change{m.At, now - float64(m.Age), d})
	}
	return diskproto.Copied{Result: diskproto.OK, At: r.at}
}

// carry makes a change that the home has made. Held: mu.
func (c *ShardStore) carry(d *diskproto.Do) {
	switch d.Op {
	case 0:
	case diskproto.OpFence, diskproto.OpSwapRecord:
		m := c.mark(d.Volume)
		var s diskproto.Swap
		if d.Op == diskproto.OpFence {
			m.fence = max(m.fence, d.Fence)
		} else if s.Parse(d.Data) == nil {
			m.record, m.persist = diskproto.Record{Version: s.New.Version, Bytes: slices.Clone(s.New.Bytes)}, s.Persist
		}
	case byte(scsi.CompareAndWrite):
		c.write(d.Volume, d.LBA, d.Data[len(d.Data)/2:], c.BlockSize(d.Volume))
	default:
		c.store(d, c.BlockSize(d.Volume))
	}
}

// from begins copying to a cell that has the history up to at: it returns the changes
// that follow, or a whole state in pieces.
func (c *ShardStore) from(gen uint64, at diskproto.Position) (whole []diskproto.Copy, start uint64, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := &c.rep
	if r.gen != gen || r.side != home {
		return nil, 0, false
	}
	r.joined = true
	if at == r.base || slices.ContainsFunc(r.log, func(x change) bool { return x.at == at }) {
		r.copied = at.Seq
		r.release()
		return nil, at.Seq, true
	}
	r.copied = 0
	return c.all(), r.at.Seq, true
}

// all is the whole state. Held: mu.
func (c *ShardStore) all() (out []diskproto.Copy) {
	add := func(d diskproto.Do) {
		out = append(out, diskproto.Copy{At: c.rep.at, First: len(out) == 0, Part: true, Do: d})
	}
	for _, p := range slices.SortedFunc(maps.Keys(c.blocks), func(a, b place) int {
		return cmp.Or(cmp.Compare(a.volume, b.volume), cmp.Compare(a.lba, b.lba))
	}) {
		add(diskproto.Do{Op: byte(scsi.Write), Volume: p.volume, LBA: p.lba, Blocks: 1, Data: c.blocks[p]})
	}
	for _, v := range slices.Sorted(maps.Keys(c.marks)) {
		m := c.marks[v]
		s := diskproto.Swap{Persist: m.persist, New: m.record}
		add(diskproto.Do{Op: diskproto.OpSwapRecord, Volume: v, Data: s.Append(nil)})
		add(diskproto.Do{Op: diskproto.OpFence, Volume: v, Fence: m.fence})
	}
	add(diskproto.Do{})
	out[len(out)-1].Part = false
	return out
}

// next are the changes after a number, at most so many; false where the cell is no home
// under that generation any more, or has forgotten them.
func (c *ShardStore) next(now float64, gen, after uint64, most int) (out []diskproto.Copy, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := &c.rep
	if r.gen != gen || r.side != home || after < r.base.Seq {
		return nil, false
	}
	for _, x := range r.log[min(int(after-r.base.Seq), len(r.log)):] {
		if len(out) == most {
			break
		}
		out = append(out, diskproto.Copy{At: x.at, Age: uint32(max(now-x.ran, 0)), Do: x.do})
	}
	return out, true
}

// has notes that the copy has the history up to a number.
func (c *ShardStore) has(gen, seq uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if r := &c.rep; r.gen == gen && r.side == home {
		r.copied = max(r.copied, seq)
		r.release()
	}
}

// parted notes that the copy is no longer connected.
func (c *ShardStore) parted(gen uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.rep.gen == gen {
		c.rep.joined = false
	}
}
