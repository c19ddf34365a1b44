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

// harness is one host before a few disk servers.
type harness struct {
	t           *testing.T
	environment *env.Real
	settings    *settings.Settings
	inventory   *standin.Inventory
	diskServers []*standin.DiskServer
	cells       []*standin.Cell
	gateway     *gateway.Gateway
}

func fastMachineConfig() standin.MachineConfig {
	return standin.MachineConfig{Cores: 2, Queue: 64, UnitWork: 0.2, WriteX: 1, ColdFrom: 1, FallTime: 1000, FallMultiple: 2}
}

func newHarness(t *testing.T, edit func(*settings.Settings)) *harness {
	return newHarnessWithConfig(t, edit, func(*gateway.Config) {}, nil)
}

// newHarnessWithConfig is a rig whose gateway and disk servers have keys.
func newHarnessWithConfig(t *testing.T, edit func(*settings.Settings), more func(*gateway.Config), k *keys.Holder) *harness {
	r := &harness{t: t, environment: env.NewReal(), settings: settings.Example(1, 3)}
	if edit != nil {
		edit(r.settings)
	}
	var err error
	if r.inventory, err = standin.ServeInventory(r.environment, "127.0.0.1:0", 0); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(r.inventory.Close)
	for i := range r.settings.Shards {
		cell := standin.NewCell(func(string) int { return 4096 })
		m := standin.NewMachine(fastMachineConfig(), uint64(i), cell, standin.NewRack(6000), nil, uint32(i), 0, false)
		d := &standin.DiskServer{Name: "disk", Zone: "hall-a", Rack: "r", Shard: i, Keys: k}
		if err := standin.ServeDisk(r.environment, m, d); err != nil {
			t.Fatal(err)
		}
		t.Cleanup(d.Kill)
		r.diskServers, r.cells = append(r.diskServers, d), append(r.cells, cell)
		r.inventory.ChangeNow(func(b *inventory.Book) {
			b.Set(inventory.Node{Addr: d.Addr, Health: inventory.Ready, Shard: i, Zone: "hall-a", Weight: 1, Incarnation: d.Started}, 0)
		})
	}
	cfg := gateway.Config{Environment: r.environment, Name: "h0", Zone: "hall-a", Listen: "127.0.0.1:0", Inventory: r.inventory.Addr,
		RouterID: 1, NextHop4: netip.AddrFrom4([4]byte{127, 0, 0, 1})}
	more(&cfg)
	r.gateway, err = gateway.Start(cfg)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(r.gateway.Kill)
	if _, err := r.gateway.Settings().Put(r.settings); err != nil {
		t.Fatal(err)
	}
	return r
}

func (r *harness) connect(volume int, isid byte) *initiator.Client {
	r.t.Helper()
	c, err := r.dial(volume, isid)
	if err != nil {
		r.t.Fatal(err)
	}
	r.t.Cleanup(c.Close)
	return c
}

func (r *harness) dial(volume int, isid byte) (*initiator.Client, error) {
	return initiator.Dial(context.Background(), initiator.Config{Environment: r.environment, Addr: r.gateway.Addr().String(),
		Name: "iqn.2026-11.example.client:one", Target: r.settings.TargetName(&r.settings.Volumes[volume]),
		ISID: iscsi.ISID{0x80, 0, 0, 0, 0, isid}, Params: initiator.DefaultParams(), LoginTime: 5 * time.Second})
}

func (r *harness) execute(c *initiator.Client, cdb, write []byte, read int) iscsi.Result {
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
	r := newHarness(t, nil)
	c := r.connect(4, 1) // a plan without limit, two shards in its layout
	want := bytes.Repeat([]byte("0123456789abcdef"), 64*4096/16)
	for i := range want {
		want[i] ^= byte(i / 4096)
	}
	// Blocks 20 to 84 span three extents on two shards.
	if res := r.execute(c, initiator.WriteCDB(20, 64), want, 0); res.Status != scsi.Good {
		t.Fatalf("write: status %02x sense %x", res.Status, res.Sense)
	}
	res := r.execute(c, initiator.ReadCDB(20, 64), nil, 64*4096)
	if res.Status != scsi.Good || !bytes.Equal(res.Data, want) {
		t.Fatalf("read back: status %02x, %d bytes, equal %v", res.Status, len(res.Data), bytes.Equal(res.Data, want))
	}
}

var (
	hangingNetwork = standin.NetTrouble{Hang: true}
	healthyNetwork = standin.NetTrouble{}
)

// waitFor looks until done; what is awaited comes by itself, so the time is only a
// bound on a test that would hang.
func (r *harness) waitFor(what string, done func() bool) {
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
func TestRequestsDelayedByLimitAreCounted(t *testing.T) {
	r := newHarness(t, nil)
	const limited, sessions, each = 0, 4, 64
	ends := make(chan error, sessions*each)
	for i := range sessions {
		c := r.connect(limited, byte(10+i))
		for k := range each {
			c.Submit(0, initiator.ReadCDB(uint64(k), 1), nil, 4096, func(_ iscsi.Result, err error) { ends <- err })
		}
	}
	for range sessions * each {
		if err := <-ends; err != nil {
			t.Fatal(err)
		}
	}
	if held := r.gateway.Status().LimitHeld; held == 0 {
		t.Error("nothing was counted")
	}
}
