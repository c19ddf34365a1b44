package gateway_test

import (
	"bytes"
	"context"
	"net/netip"
	"testing"
	"time"

	"go.uber.org/goleak"

	"merlinhitch/internal/control/gateway"
	"merlinhitch/internal/control/keys"
	"merlinhitch/internal/control/settings"
	"merlinhitch/internal/protocol/initiator"
	"merlinhitch/internal/protocol/inventory"
	"merlinhitch/internal/protocol/iscsi"
	"merlinhitch/internal/protocol/scsi"
	"merlinhitch/internal/runtime/env"
	"merlinhitch/internal/simulation/standin"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// rig is one host before a few disk servers.
type rig struct {
	t     *testing.T
	world *env.Real
	set   *settings.Settings
	inv   *standin.Inventory
	disks []*standin.DiskServer
	cells []*standin.Cell
	gate  *gateway.Gateway
}

func quickMachine() standin.MachineConfig {
	return standin.MachineConfig{Cores: 2, Queue: 64, UnitWork: 0.2, WriteX: 1, ColdFrom: 1, FallTime: 1000, FallMultiple: 2}
}

func newRig(t *testing.T, edit func(*settings.Settings)) *rig {
	return newKeyedRig(t, edit, func(*gateway.Config) {}, nil)
}

// newKeyedRig is a rig whose gateway and disk servers have keys.
func newKeyedRig(t *testing.T, edit func(*settings.Settings), more func(*gateway.Config), k *keys.Holder) *rig {
	r := &rig{t: t, world: env.NewReal(), set: settings.Example(1, 3)}
	if edit != nil {
		edit(r.set)
	}
	var err error
	if r.inv, err = standin.ServeInventory(r.world, "127.0.0.1:0", 0); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(r.inv.Close)
	for i := range r.set.Shards {
		cell := standin.NewCell(func(string) int { return 4096 })
		m := standin.NewMachine(quickMachine(), uint64(i), cell, standin.NewRack(6000), nil, uint32(i), 0, false)
		d := &standin.DiskServer{Name: "disk", Zone: "hall-a", Rack: "r", Shard: i, Keys: k}
		if err := standin.ServeDisk(r.world, m, d); err != nil {
			t.Fatal(err)
		}
		t.Cleanup(d.Kill)
		r.disks, r.cells = append(r.disks, d), append(r.cells, cell)
		r.inv.ChangeNow(func(b *inventory.Book) {
			b.Set(inventory.Node{Addr: d.Addr, Health: inventory.Ready, Shard: i, Zone: "hall-a", Weight: 1, Incarnation: d.Started}, 0)
		})
	}
	cfg := gateway.Config{Environment: r.world, Name: "h0", Zone: "hall-a", Listen: "127.0.0.1:0", Inventory: r.inv.Addr,
		RouterID: 1, NextHop4: netip.AddrFrom4([4]byte{127, 0, 0, 1})}
	more(&cfg)
	r.gate, err = gateway.Start(cfg)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(r.gate.Kill)
	if _, err := r.gate.Settings().Put(r.set); err != nil {
		t.Fatal(err)
	}
	return r
}

func (r *rig) client(volume int, isid byte) *initiator.Client {
	r.t.Helper()
	c, err := r.dial(volume, isid)
	if err != nil {
		r.t.Fatal(err)
	}
	r.t.Cleanup(c.Close)
	return c
}

func (r *rig) dial(volume int, isid byte) (*initiator.Client, error) {
	return initiator.Dial(context.Background(), initiator.Config{Environment: r.world, Addr: r.gate.Addr().String(),
		Name: "iqn.2026-11.example.client:one", Target: r.set.TargetName(&r.set.Volumes[volume]),
		ISID: iscsi.ISID{0x80, 0, 0, 0, 0, isid}, Params: initiator.DefaultParams(), LoginTime: 5 * time.Second})
}

func (r *rig) do(c *initiator.Client, cdb, write []byte, read int) iscsi.Result {
	r.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	res, err := c.Do(ctx, cdb, write, read)
	if err != nil {
		r.t.Fatal(err)
	}
	return res
}

func TestReadBackAcrossShards(t *testing.T) {
	r := newRig(t, nil)
	c := r.client(4, 1) // a plan without limit, two shards in its layout
	want := bytes.Repeat([]byte("0123456789abcdef"), 64*4096/16)
	for i := range want {
		want[i] ^= byte(i / 4096)
	}
	// Blocks 20 to 84 span three extents on two shards.
	if res := r.do(c, initiator.WriteCDB(20, 64), want, 0); res.Status != scsi.Good {
		t.Fatalf("write: status %02x sense %x", res.Status, res.Sense)
	}
	res := r.do(c, initiator.ReadCDB(20, 64), nil, 64*4096)
	if res.Status != scsi.Good || !bytes.Equal(res.Data, want) {
		t.Fatalf("read back: status %02x, %d bytes, equal %v", res.Status, len(res.Data), bytes.Equal(res.Data, want))
	}
}

var (
	hang = standin.NetTrouble{Hang: true}
	calm = standin.NetTrouble{}
)

// await looks until done; what is awaited comes by itself, so the time is only a
// bound on a test that would hang.
func (r *rig) await(what string, done func() bool) {
	r.t.Helper()
	end := time.Now().Add(20 * time.Second)
	for !done() {
		if time.Now().After(end) {
			r.t.Fatal("waited in vain for " + what)
		}
		time.Sleep(time.Millisecond)
	}
}

// What a limit holds back is counted.
func TestWhatALimitHoldsBackIsCounted(t *testing.T) {
	r := newRig(t, nil)
	const limited, sessions, each = 0, 4, 64
	ends := make(chan error, sessions*each)
	for i := range sessions {
		c := r.client(limited, byte(10+i))
		for k := range each {
			c.Submit(0, initiator.ReadCDB(uint64(k), 1), nil, 4096, func(_ iscsi.Result, err error) { ends <- err })
		}
	}
	for range sessions * each {
		if err := <-ends; err != nil {
			t.Fatal(err)
		}
	}
	if held := r.gate.Status().LimitHeld; held == 0 {
		t.Error("nothing was counted")
	}
}
