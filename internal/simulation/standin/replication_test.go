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
	pair := &storePair{gen: 1}
	for i := range pair.stores {
		pair.stores[i] = NewShardStore(func(string) int { return 8 })
		pair.stores[i].EnableReplication(region.ID(i))
	}
	pair.updateHomes()
	return pair
}

func (p *storePair) updateHomes() {
	home := region.Home{Region: region.ID(p.home), From: region.ID(p.home), Gen: p.gen, Moved: p.gen}
	for _, store := range p.stores {
		store.UpdateHome(home)
	}
}

func (p *storePair) connectCopy(t *testing.T) {
	joined := p.stores[1-p.home].acceptSender(p.gen)
	if joined.Result != diskproto.OK {
		t.Fatal("not joined:", joined)
	}
	var ok bool
	if p.snapshot, p.sentSeq, ok = p.stores[p.home].startReplication(p.gen, joined.At); !ok {
		t.Fatal("not the home")
	}
	p.connected = true
}

// replicate takes up to n changes over.
func (p *storePair) replicate(t *testing.T, n int) {
	home, replica := p.stores[p.home], p.stores[1-p.home]
	changes := p.snapshot
	p.snapshot = nil
	if logged, ok := home.changesAfter(0, p.gen, p.sentSeq, n); ok {
		changes = append(changes, logged...)
	}
	for i := range changes {
		ack := replica.receiveChange(0, p.gen, &changes[i])
		if ack.Result != diskproto.OK {
			t.Fatal("a change is refused:", ack.Result)
		}
		if !changes[i].Part {
			home.acknowledgeCopied(p.gen, ack.At.Seq)
			p.sentSeq = max(p.sentSeq, changes[i].At.Seq)
		}
	}
}

func (s *ShardStore) contentString() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	text := ""
	for _, change := range s.snapshot() {
		text += fmt.Sprint(change.Do.Op, change.Do.Volume, change.Do.LBA, string(change.Do.Data), change.Do.Fence, ";")
	}
	return text
}

// Whatever is written, joined, lost on the way and moved, a copy that has caught up equals
// its home, and nothing that was answered as copied is missing after a move.
func TestCopyMatchesHome(t *testing.T) {
	for seed := range uint64(40) {
		rng := rand.New(rand.NewPCG(seed, 1))
		pair := newStorePair()
		answered := map[uint64]string{} // the last write of a block that was answered as copied
		for range 600 {
			home := pair.stores[pair.home]
			switch rng.IntN(12) {
			default:
				lba, text := uint64(rng.IntN(20)), fmt.Sprintf("%08d", rng.IntN(1e8))
				request := &diskproto.Do{Op: byte(scsi.Write), Volume: "v", LBA: lba, Blocks: 1, Data: []byte(text), Gen: pair.gen, Copied: true}
				if rng.IntN(9) == 0 {
					request = &diskproto.Do{Op: diskproto.OpFence, Volume: "w", Fence: rng.Uint64N(99), Gen: pair.gen, Copied: true}
				}
				result, _, requiredSeq := home.apply(0, request)
				if result != diskproto.OK || requiredSeq != home.lastSeq() && request.Op == byte(scsi.Write) {
					t.Fatal(result, requiredSeq)
				}
				if request.Op == byte(scsi.Write) {
					delete(answered, lba)
					if home.replyWhenCopied(0, requiredSeq, func() { answered[lba] = text }) {
						answered[lba] = text
					}
				}
			case 0:
				pair.connectCopy(t)
			case 1, 2, 3:
				if pair.connected {
					pair.replicate(t, rng.IntN(30))
				}
			case 4:
				complete := pair.connected && pair.snapshot == nil
				if pair.connected = false; !complete || rng.IntN(3) > 0 {
					break
				}
				// The home is lost; its copy, which was whole, takes its place.
				pair.home, pair.gen = 1-pair.home, pair.gen+1
				pair.updateHomes()
				for lba, text := range answered {
					result, data, _ := pair.stores[pair.home].apply(0, &diskproto.Do{Op: byte(scsi.Read), Volume: "v", LBA: lba, Blocks: 1, Gen: pair.gen})
					if result != diskproto.OK || string(data) != text {
						t.Fatalf("seed %d: block %d is %q (%v), %q was answered", seed, lba, data, result, text)
					}
				}
				if pair.stores[1-pair.home].Stale(pair.gen-1) != true {
					t.Fatal("the lost home takes commands of its old generation")
				}
			}
		}
		pair.connectCopy(t)
		pair.replicate(t, 1<<20)
		if a, b := pair.stores[0].contentString(), pair.stores[1].contentString(); a != b {
			t.Fatalf("seed %d: the cells differ:\n%s\n%s", seed, a, b)
		}
	}
}

// A cell says what its home's copy is, lets answers go alone only as it is told, and
// refuses what is older than it knows.
func TestCopyStatusAndAdmission(t *testing.T) {
	pair := newStorePair()
	store := pair.stores[0]
	write := func(gen uint64, copied bool) (diskproto.Result, uint64) {
		result, _, requiredSeq := store.apply(0, &diskproto.Do{Op: byte(scsi.Write), Volume: "v", Blocks: 1, Data: make([]byte, 8), Gen: gen, Copied: copied})
		return result, requiredSeq
	}
	replies := 0
	_, requiredSeq := write(1, true)
	if store.replyWhenCopied(100, requiredSeq, func() { replies++ }) {
		t.Fatal("answered before its copy")
	}
	if status := store.CopyStatus(100 + behindThreshold/2); status.State != 0 || !status.Home || status.Gen != 1 {
		t.Fatalf("said at once: %+v", status)
	}
	if status := store.CopyStatus(101 + behindThreshold); status.State != region.Behind {
		t.Fatalf("an answer waits for long: %+v", status)
	}
	aloneHome := region.Home{Region: 0, From: 0, Gen: 5, Moved: 1, Alone: true}
	store.UpdateHome(aloneHome)
	if result, _ := write(1, true); result != diskproto.Stale {
		t.Fatal("an older generation runs:", result)
	}
	_, requiredSeq = write(5, true)
	if !store.replyWhenCopied(0, requiredSeq, nil) {
		t.Fatal("alone, and yet the answer waits")
	}
	pair.gen = 5
	pair.connectCopy(t)
	pair.replicate(t, 100)
	if status := store.CopyStatus(0); status.State != region.Whole {
		t.Fatalf("the copy has all: %+v", status)
	}
	_, requiredSeq = write(5, true)
	if store.replyWhenCopied(0, requiredSeq, func() {}) {
		t.Fatal("said to be whole, and yet answered alone")
	}
	store.UpdateHome(aloneHome) // an old word
	if store.replyWhenCopied(0, requiredSeq, func() {}) {
		t.Fatal("an old word lets it answer alone again")
	}
	aloneHome.Alone = false
	store.UpdateHome(aloneHome)
	store.UpdateHome(region.Home{Region: region.Nowhere, From: 0, Gen: 5, Moved: 1})
	if result, _ := write(5, true); result != diskproto.Stale {
		t.Fatal("between two homes something runs:", result)
	}
	if status := store.CopyStatus(0); status.State != 0 {
		t.Fatalf("drained, though the copy lacks something: %+v", status)
	}
	pair.replicate(t, 100)
	if status := store.CopyStatus(0); status.State != region.Drained {
		t.Fatalf("the copy has all: %+v", status)
	}
	if joined := pair.stores[1].acceptSender(4); joined.Result != diskproto.Stale {
		t.Fatal("a home of an older generation may copy:", joined)
	}
	for range 3 * MaxReplicationLag { // acknowledged before their copy: so many at the most
		_, requiredSeq = write(6, false)
	}
	if lag := store.lastSeq() - requiredSeq; lag != MaxReplicationLag {
		t.Fatalf("%d changes may lack a copy", lag)
	}
}
