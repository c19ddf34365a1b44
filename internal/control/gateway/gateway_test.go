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

// harness runs a gateway with an inventory and one simulated disk server for each shard, on
// loopback sockets.
type harness struct {
	t           *testing.T
	environment *env.Real
	settings    *settings.Settings
	inventory   *standin.Inventory
	diskServers []*standin.DiskServer
	shardStores []*standin.ShardStore
	gateway     *gateway.Gateway
}

func fastMachineConfig() standin.MachineConfig {
	return standin.MachineConfig{Cores: 2, QueueLimit: 64, UnitWork: 0.2, WriteFactor: 1, ColdCapacity: 1, OverloadWindow: 1000, OverloadFactor: 2}
}

func newHarness(t *testing.T, editSettings func(*settings.Settings)) *harness {
	return newHarnessWithConfig(t, editSettings, func(*gateway.Config) {}, nil)
}

// newHarnessWithConfig starts a harness with edited settings and an edited configuration of the
// gateway. The disk servers use diskServerKeys; nil: they don't use TLS.
func newHarnessWithConfig(t *testing.T, editSettings func(*settings.Settings), editConfig func(*gateway.Config), diskServerKeys *keys.Credentials) *harness {
	h := &harness{t: t, environment: env.NewReal(), settings: settings.Example(1, 3)}
	if editSettings != nil {
		editSettings(h.settings)
	}
	var err error
	if h.inventory, err = standin.ServeInventory(h.environment, "127.0.0.1:0", 0); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(h.inventory.Close)
	for i := range h.settings.Shards {
		shardStore := standin.NewShardStore(func(string) int { return 4096 })
		machine := standin.NewMachine(fastMachineConfig(), uint64(i), shardStore, standin.NewDedupCache(6000), nil, uint32(i), 0, false)
		diskServer := &standin.DiskServer{Name: "disk", Zone: "hall-a", Rack: "r", Shard: i, Credentials: diskServerKeys}
		if err := standin.ServeDisk(h.environment, machine, diskServer); err != nil {
			t.Fatal(err)
		}
		t.Cleanup(diskServer.Kill)
		h.diskServers, h.shardStores = append(h.diskServers, diskServer), append(h.shardStores, shardStore)
		h.inventory.ChangeNow(func(book *inventory.Book) {
			book.Set(inventory.Node{Addr: diskServer.Addr, Health: inventory.Ready, Shard: i, Zone: "hall-a", Weight: 1, Incarnation: diskServer.Started}, 0)
		})
	}
	config := gateway.Config{Environment: h.environment, Name: "h0", Zone: "hall-a", Listen: "127.0.0.1:0", Inventory: h.inventory.Addr,
		RouterID: 1, NextHop4: netip.AddrFrom4([4]byte{127, 0, 0, 1})}
	editConfig(&config)
	h.gateway, err = gateway.Start(config)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(h.gateway.Kill)
	if _, err := h.gateway.Settings().Put(h.settings); err != nil {
		t.Fatal(err)
	}
	return h
}

func (h *harness) connect(volume int, isid byte) *initiator.Client {
	h.t.Helper()
	client, err := h.dial(volume, isid)
	if err != nil {
		h.t.Fatal(err)
	}
	h.t.Cleanup(client.Close)
	return client
}

func (h *harness) dial(volume int, isid byte) (*initiator.Client, error) {
	return initiator.Dial(context.Background(), initiator.Config{Environment: h.environment, Addr: h.gateway.Addr().String(),
		Name: "iqn.2026-11.example.client:one", Target: h.settings.TargetName(&h.settings.Volumes[volume]),
		ISID: iscsi.ISID{0x80, 0, 0, 0, 0, isid}, Params: initiator.DefaultParams(), LoginTime: 5 * time.Second})
}

func (h *harness) execute(client *initiator.Client, cdb, dataOut []byte, dataInBytes int) iscsi.Result {
	h.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	result, err := client.Do(ctx, cdb, dataOut, dataInBytes)
	if err != nil {
		h.t.Fatal(err)
	}
	return result
}

// Data written across three extents must be read back unchanged.
func TestReadBackAcrossExtents(t *testing.T) {
	h := newHarness(t, nil)
	client := h.connect(4, 1) // its plan has no limit; both entries of its layout are shard 1
	want := bytes.Repeat([]byte("0123456789abcdef"), 64*4096/16)
	for i := range want {
		want[i] ^= byte(i / 4096)
	}
	// Blocks 20 to 83 are in three extents of 32 blocks.
	if result := h.execute(client, initiator.WriteCDB(20, 64), want, 0); result.Status != scsi.Good {
		t.Fatalf("write: got status %02x, sense %x, want GOOD", result.Status, result.Sense)
	}
	result := h.execute(client, initiator.ReadCDB(20, 64), nil, 64*4096)
	if result.Status != scsi.Good || !bytes.Equal(result.Data, want) {
		t.Fatalf("read: got status %02x, %d bytes, equal to those written: %v, want GOOD and equal data", result.Status, len(result.Data), bytes.Equal(result.Data, want))
	}
}

var (
	hangingNetwork = standin.NetworkFaults{Hang: true}
	healthyNetwork = standin.NetworkFaults{}
)

// waitFor waits until satisfied returns true, and fails the test after 20 s.
func (h *harness) waitFor(condition string, satisfied func() bool) {
	h.t.Helper()
	deadline := time.Now().Add(20 * time.Second)
	for !satisfied() {
		if time.Now().After(deadline) {
			h.t.Fatal("not reached within 20 s: " + condition)
		}
		time.Sleep(time.Millisecond)
	}
}

// Requests that end unsent because their volume exceeded its limit must be counted in the status.
func TestRequestsOverLimitAreCounted(t *testing.T) {
	h := newHarness(t, nil)
	const limitedVolume, sessionCount, requestsPerSession = 0, 4, 64
	errs := make(chan error, sessionCount*requestsPerSession)
	for i := range sessionCount {
		client := h.connect(limitedVolume, byte(10+i))
		for block := range requestsPerSession {
			client.Submit(0, initiator.ReadCDB(uint64(block), 1), nil, 4096, func(_ iscsi.Result, err error) { errs <- err })
		}
	}
	for range sessionCount * requestsPerSession {
		if err := <-errs; err != nil {
			t.Fatal(err)
		}
	}
	if count := h.gateway.Status().LimitHeld; count == 0 {
		t.Error("got LimitHeld 0, want more")
	}
}
