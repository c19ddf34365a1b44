package standin

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"merlinhitch/internal/fleet/region"
	"merlinhitch/internal/protocol/diskproto"
	"merlinhitch/internal/protocol/scsi"
)

// storePair holds a shard's stores in both regions; the test replicates between them step by step.
type storePair struct {
	stores    [2]*ShardStore
	gen       uint64
	home      int
	sentSeq   uint64
	snapshot  []diskproto.Copy
	connected bool // the copy is connected
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
		t.Fatal("copy did not accept the home:", joined)
	}
	var ok bool
	if p.snapshot, p.sentSeq, ok = p.stores[p.home].startReplication(p.gen, joined.At); !ok {
		t.Fatal("replication did not start: the store is not the home")
	}
	p.connected = true
}

// replicate sends a pending snapshot and up to n changes to the copy.
func (p *storePair) replicate(t *testing.T, n int) {
	homeStore, copyStore := p.stores[p.home], p.stores[1-p.home]
	changes := p.snapshot
	p.snapshot = nil
	if logged, ok := homeStore.changesAfter(0, p.gen, p.sentSeq, n); ok {
		changes = append(changes, logged...)
	}
	for i := range changes {
		ack := copyStore.receiveChange(0, p.gen, &changes[i])
		if ack.Result != diskproto.OK {
			t.Fatal("copy refused a change:", ack.Result)
		}
		if !changes[i].Part {
			homeStore.acknowledgeCopied(p.gen, ack.At.Seq)
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

// After any sequence of writes, reconnects and moves, a copy that has caught up equals its home, and
// no write that was answered as copied is missing after a move.
func TestCopyMatchesHome(t *testing.T) {
	for seed := range uint64(40) {
		rng := rand.New(rand.NewPCG(seed, 1))
		pair := newStorePair()
		answered := map[uint64]string{} // the last write of a block that was answered as copied
		for range 600 {
			homeStore := pair.stores[pair.home]
			switch rng.IntN(12) {
			default:
				lba, text := uint64(rng.IntN(20)), fmt.Sprintf("%08d", rng.IntN(1e8))
				request := &diskproto.Do{Op: byte(scsi.Write), Volume: "v", LBA: lba, Blocks: 1, Data: []byte(text), Gen: pair.gen, Copied: true}
				if rng.IntN(9) == 0 {
					request = &diskproto.Do{Op: diskproto.OpFence, Volume: "w", Fence: rng.Uint64N(99), Gen: pair.gen, Copied: true}
				}
				result, _, requiredSeq := homeStore.apply(0, request)
				if result != diskproto.OK || requiredSeq != homeStore.lastSeq() && request.Op == byte(scsi.Write) {
					t.Fatal(result, requiredSeq)
				}
				if request.Op == byte(scsi.Write) {
					delete(answered, lba)
					if homeStore.replyWhenCopied(0, requiredSeq, func() { answered[lba] = text }) {
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
				// The home is lost and its copy, which was complete, becomes the home.
				pair.home, pair.gen = 1-pair.home, pair.gen+1
				pair.updateHomes()
				for lba, text := range answered {
					result, data, _ := pair.stores[pair.home].apply(0, &diskproto.Do{Op: byte(scsi.Read), Volume: "v", LBA: lba, Blocks: 1, Gen: pair.gen})
					if result != diskproto.OK || string(data) != text {
						t.Fatalf("seed %d: block %d is %q (%v), want %q, which was answered as copied", seed, lba, data, result, text)
					}
				}
				if pair.stores[1-pair.home].Stale(pair.gen-1) != true {
					t.Fatal("the lost home accepts requests of its old generation")
				}
			}
		}
		pair.connectCopy(t)
		pair.replicate(t, 1<<20)
		if a, b := pair.stores[0].contentString(), pair.stores[1].contentString(); a != b {
			t.Fatalf("seed %d: the stores differ:\n%s\n%s", seed, a, b)
		}
	}
}

// A home reports the state of its copy, answers without the copy only while the inventory says so,
// and refuses requests of older generations.
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
		t.Fatal("write answered before it was copied")
	}
	if status := store.CopyStatus(100 + behindThreshold/2); status.State != 0 || !status.Home || status.Gen != 1 {
		t.Fatalf("before the threshold: status %+v, want home of generation 1 without a state", status)
	}
	if status := store.CopyStatus(101 + behindThreshold); status.State != region.Behind {
		t.Fatalf("answer has waited beyond the threshold: status %+v, want Behind", status)
	}
	aloneHome := region.Home{Region: 0, From: 0, Gen: 5, Moved: 1, Alone: true}
	store.UpdateHome(aloneHome)
	if result, _ := write(1, true); result != diskproto.Stale {
		t.Fatal("request of an older generation, want Stale, got:", result)
	}
	_, requiredSeq = write(5, true)
	if !store.replyWhenCopied(0, requiredSeq, nil) {
		t.Fatal("home is alone, but the answer waits for the copy")
	}
	pair.gen = 5
	pair.connectCopy(t)
	pair.replicate(t, 100)
	if status := store.CopyStatus(0); status.State != region.Whole {
		t.Fatalf("copy is complete: status %+v, want Whole", status)
	}
	_, requiredSeq = write(5, true)
	if store.replyWhenCopied(0, requiredSeq, func() {}) {
		t.Fatal("copy was reported complete, but the answer does not wait for it")
	}
	store.UpdateHome(aloneHome) // an outdated record
	if store.replyWhenCopied(0, requiredSeq, func() {}) {
		t.Fatal("after an outdated record the answer does not wait for the copy")
	}
	aloneHome.Alone = false
	store.UpdateHome(aloneHome)
	store.UpdateHome(region.Home{Region: region.Nowhere, From: 0, Gen: 5, Moved: 1})
	if result, _ := write(5, true); result != diskproto.Stale {
		t.Fatal("request while the shard is between two homes, want Stale, got:", result)
	}
	if status := store.CopyStatus(0); status.State != 0 {
		t.Fatalf("copy lacks a change: status %+v, want no state", status)
	}
	pair.replicate(t, 100)
	if status := store.CopyStatus(0); status.State != region.Drained {
		t.Fatalf("between two homes with a complete copy: status %+v, want Drained", status)
	}
	if joined := pair.stores[1].acceptSender(4); joined.Result != diskproto.Stale {
		t.Fatal("home of an older generation, want Stale, got:", joined)
	}
	for range 3 * MaxReplicationLag { // more than may be acknowledged before they are copied
		_, requiredSeq = write(6, false)
	}
	if lag := store.lastSeq() - requiredSeq; lag != MaxReplicationLag {
		t.Fatalf("%d changes may be acknowledged before they are copied, want MaxReplicationLag", lag)
	}
}
