package standin

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"merlinhitch/internal/fleet/region"
	"merlinhitch/internal/protocol/diskproto"
	"merlinhitch/internal/protocol/scsi"
)

// storePair are a shard's cells in both regions, with the copying between them played by
// hand.
type storePair struct {
	stores    [2]*ShardStore
	gen       uint64
	home      int
	sentSeq   uint64
	snapshot  []diskproto.Copy
	connected bool // the copy is joined
}

func newStorePair() *storePair {
	p := &storePair{gen: 1}
	for i := range p.stores {
		p.stores[i] = NewShardStore(func(string) int { return 8 })
		p.stores[i].EnableReplication(region.ID(i))
	}
	p.updateHomes()
	return p
}

func (p *storePair) updateHomes() {
	h := region.Home{Region: region.ID(p.home), From: region.ID(p.home), Gen: p.gen, Moved: p.gen}
	for _, c := range p.stores {
		c.UpdateHome(h)
	}
}

func (p *storePair) connectCopy(t *testing.T) {
	j := p.stores[1-p.home].acceptSender(p.gen)
	if j.Result != diskproto.OK {
		t.Fatal("not joined:", j)
	}
	var ok bool
	if p.snapshot, p.sentSeq, ok = p.stores[p.home].startReplication(p.gen, j.At); !ok {
		t.Fatal("not the home")
	}
	p.connected = true
}

// replicate takes up to n changes over.
func (p *storePair) replicate(t *testing.T, n int) {
	from, to := p.stores[p.home], p.stores[1-p.home]
	changes := p.snapshot
	p.snapshot = nil
	if more, ok := from.changesAfter(0, p.gen, p.sentSeq, n); ok {
		changes = append(changes, more...)
	}
	for i := range changes {
		a := to.receiveChange(0, p.gen, &changes[i])
		if a.Result != diskproto.OK {
			t.Fatal("a change is refused:", a.Result)
		}
		if !changes[i].Part {
			from.acknowledgeCopied(p.gen, a.At.Seq)
			p.sentSeq = max(p.sentSeq, changes[i].At.Seq)
		}
	}
}

func (c *ShardStore) contentString() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := ""
	for _, m := range c.snapshot() {
		out += fmt.Sprint(m.Do.Op, m.Do.Volume, m.Do.LBA, string(m.Do.Data), m.Do.Fence, ";")
	}
	return out
}

// Whatever is written, joined, lost on the way and moved, a copy that has caught up equals
// its home, and nothing that was answered as copied is missing after a move.
func TestCopyMatchesHome(t *testing.T) {
	for seed := range uint64(40) {
		rng := rand.New(rand.NewPCG(seed, 1))
		p := newStorePair()
		answered := map[uint64]string{} // the last write of a block that was answered as copied
		for range 600 {
			c := p.stores[p.home]
			switch rng.IntN(12) {
			default:
				lba, text := uint64(rng.IntN(20)), fmt.Sprintf("%08d", rng.IntN(1e8))
				d := &diskproto.Do{Op: byte(scsi.Write), Volume: "v", LBA: lba, Blocks: 1, Data: []byte(text), Gen: p.gen, Copied: true}
				if rng.IntN(9) == 0 {
					d = &diskproto.Do{Op: diskproto.OpFence, Volume: "w", Fence: rng.Uint64N(99), Gen: p.gen, Copied: true}
				}
				r, _, needs := c.apply(0, d)
				if r != diskproto.OK || needs != c.lastSeq() && d.Op == byte(scsi.Write) {
					t.Fatal(r, needs)
				}
				if d.Op == byte(scsi.Write) {
					delete(answered, lba)
					if c.replyWhenCopied(0, needs, func() { answered[lba] = text }) {
						answered[lba] = text
					}
				}
			case 0:
				p.connectCopy(t)
			case 1, 2, 3:
				if p.connected {
					p.replicate(t, rng.IntN(30))
				}
			case 4:
				whole := p.connected && p.snapshot == nil
				if p.connected = false; !whole || rng.IntN(3) > 0 {
					break
				}
				// The home is lost; its copy, which was whole, takes its place.
				p.home, p.gen = 1-p.home, p.gen+1
				p.updateHomes()
				for lba, text := range answered {
					r, data, _ := p.stores[p.home].apply(0, &diskproto.Do{Op: byte(scsi.Read), Volume: "v", LBA: lba, Blocks: 1, Gen: p.gen})
					if r != diskproto.OK || string(data) != text {
						t.Fatalf("seed %d: block %d is %q (%v), %q was answered", seed, lba, data, r, text)
					}
				}
				if p.stores[1-p.home].Stale(p.gen-1) != true {
					t.Fatal("the lost home takes commands of its old generation")
				}
			}
		}
		p.connectCopy(t)
		p.replicate(t, 1<<20)
		if a, b := p.stores[0].contentString(), p.stores[1].contentString(); a != b {
			t.Fatalf("seed %d: the cells differ:\n%s\n%s", seed, a, b)
		}
	}
}

// A cell says what its home's copy is, lets answers go alone only as it is told, and
// refuses what is older than it knows.
func TestCopyStatusAndAdmission(t *testing.T) {
	p := newStorePair()
	c := p.stores[0]
	write := func(gen uint64, copied bool) (diskproto.Result, uint64) {
		r, _, needs := c.apply(0, &diskproto.Do{Op: byte(scsi.Write), Volume: "v", Blocks: 1, Data: make([]byte, 8), Gen: gen, Copied: copied})
		return r, needs
	}
	went := 0
	_, needs := write(1, true)
	if c.replyWhenCopied(100, needs, func() { went++ }) {
		t.Fatal("answered before its copy")
	}
	if w := c.CopyStatus(100 + behindThreshold/2); w.State != 0 || !w.Home || w.Gen != 1 {
		t.Fatalf("said at once: %+v", w)
	}
	if w := c.CopyStatus(101 + behindThreshold); w.State != region.Behind {
		t.Fatalf("an answer waits for long: %+v", w)
	}
	alone := region.Home{Region: 0, From: 0, Gen: 5, Moved: 1, Alone: true}
	c.UpdateHome(alone)
	if r, _ := write(1, true); r != diskproto.Stale {
		t.Fatal("an older generation runs:", r)
	}
	_, needs = write(5, true)
	if !c.replyWhenCopied(0, needs, nil) {
		t.Fatal("alone, and yet the answer waits")
	}
	p.gen = 5
	p.connectCopy(t)
	p.replicate(t, 100)
	if w := c.CopyStatus(0); w.State != region.Whole {
		t.Fatalf("the copy has all: %+v", w)
	}
	_, needs = write(5, true)
	if c.replyWhenCopied(0, needs, func() {}) {
		t.Fatal("said to be whole, and yet answered alone")
	}
	c.UpdateHome(alone) // an old word
	if c.replyWhenCopied(0, needs, func() {}) {
		t.Fatal("an old word lets it answer alone again")
	}
	alone.Alone = false
	c.UpdateHome(alone)
	c.UpdateHome(region.Home{Region: region.Nowhere, From: 0, Gen: 5, Moved: 1})
	if r, _ := write(5, true); r != diskproto.Stale {
		t.Fatal("between two homes something runs:", r)
	}
	if w := c.CopyStatus(0); w.State != 0 {
		t.Fatalf("drained, though the copy lacks something: %+v", w)
	}
	p.replicate(t, 100)
	if w := c.CopyStatus(0); w.State != region.Drained {
		t.Fatalf("the copy has all: %+v", w)
	}
	if j := p.stores[1].acceptSender(4); j.Result != diskproto.Stale {
		t.Fatal("a home of an older generation may copy:", j)
	}
	for range 3 * MaxReplicationLag { // acknowledged before their copy: so many at the most
		_, needs = write(6, false)
	}
	if lag := c.lastSeq() - needs; lag != MaxReplicationLag {
		t.Fatalf("%d changes may lack a copy", lag)
	}
}
