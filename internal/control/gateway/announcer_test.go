package gateway_test

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"merlinhitch/internal/control/gateway"
	"merlinhitch/internal/control/settings"
	"merlinhitch/internal/fleet/announce"
	"merlinhitch/internal/fleet/region"
	"merlinhitch/internal/protocol/initiator"
	"merlinhitch/internal/protocol/inventory"
	"merlinhitch/internal/protocol/iscsi"
	"merlinhitch/internal/protocol/scsi"
	"merlinhitch/internal/runtime/env"
	"merlinhitch/internal/simulation/standin"
)

var (
	twoShardPrefix = netip.MustParsePrefix("10.9.0.1/32") // of group mixed, whose volumes are on shards 0 and 1
	oneShardPrefix = netip.MustParsePrefix("10.9.0.2/32") // of group alone, whose volumes are on shard 2
)

// newAnnouncingHarness starts a harness whose gateway announces two address groups to a simulated
// router.
func newAnnouncingHarness(t *testing.T) (*harness, *standin.Router) {
	t.Helper()
	return newAnnouncingHarnessWithConfig(t, func(*gateway.Config, string) {})
}

// newAnnouncingHarnessWithConfig is newAnnouncingHarness with an edited configuration of the gateway.
func newAnnouncingHarnessWithConfig(t *testing.T, editConfig func(config *gateway.Config, routerAddr string)) (*harness, *standin.Router) {
	t.Helper()
	environment := env.NewReal()
	router, err := standin.ServeRouter(environment, "127.0.0.1:0", 65010)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(router.Close)
	h := newHarnessWithConfig(t, func(s *settings.Settings) {
		s.Announce = &settings.Announce{AS: 65001, HoldTime: 9000, Routers: []settings.Router{{Name: "r0", Addr: router.Addr, AS: router.AS}},
			StableTime: 100, MaxStableTime: 100, MaxLastResortTime: 100, DrainTime: 50,
			Groups: []settings.AddressGroup{{Name: "mixed", Prefixes: []string{twoShardPrefix.String()}}, {Name: "alone", Prefixes: []string{oneShardPrefix.String()}}}}
		for i := range s.Volumes {
			volume := &s.Volumes[i]
			if volume.Layout = []int{0, 1}; i%2 == 0 {
				volume.Layout = []int{2}
			}
			group := &s.Announce.Groups[(i+1)%2]
			group.Volumes = append(group.Volumes, volume.Name)
		}
	}, func(config *gateway.Config) { editConfig(config, router.Addr) }, nil)
	return h, router
}

// waitFor waits until satisfied returns true, and fails the test after 30 s.
func waitFor(t *testing.T, environment env.Environment, condition string, satisfied func() bool) {
	t.Helper()
	for deadline := environment.Now() + 30*time.Second; !satisfied(); {
		if environment.Now() > deadline {
			t.Fatal("not reached within 30 s: " + condition)
		}
		env.Sleep(environment, 2*time.Millisecond, nil)
	}
}

// announcedLevel returns the level at which the router received prefix from the host with router ID
// 1.
func announcedLevel(router *standin.Router, prefix netip.Prefix) announce.Level {
	path, ok := router.RoutesFrom(1)[prefix]
	switch {
	case !ok:
		return announce.Withdrawn
	case path.Shutdown:
		return announce.LastResort
	}
	return announce.Announced
}

// A group that lost one of its two shards must be announced as a last resort, and withdrawn once
// both are lost. A group that lost no shard must stay announced.
func TestLostShardsDetermineAnnouncedLevel(t *testing.T) {
	h, router := newAnnouncingHarness(t)
	waitFor(t, h.environment, "both groups are announced", func() bool {
		return announcedLevel(router, twoShardPrefix) == announce.Announced && announcedLevel(router, oneShardPrefix) == announce.Announced
	})
	h.diskServers[0].SetNetworkFaults(standin.NetworkFaults{Hang: true})
	waitFor(t, h.environment, "group mixed is a last resort with one shard lost", func() bool { return announcedLevel(router, twoShardPrefix) == announce.LastResort })
	h.diskServers[1].Kill()
	waitFor(t, h.environment, "group mixed is withdrawn with both shards lost", func() bool { return announcedLevel(router, twoShardPrefix) == announce.Withdrawn })
	if announcedLevel(router, oneShardPrefix) != announce.Announced {
		t.Error("group alone, which lost no shard, is not announced")
	}
	h.diskServers[0].SetNetworkFaults(standin.NetworkFaults{})
	waitFor(t, h.environment, "group mixed is a last resort with one shard back", func() bool { return announcedLevel(router, twoShardPrefix) == announce.LastResort })
	for _, group := range h.gateway.Routes().Groups {
		if group.Group == "mixed" && group.Reason != announce.Partly {
			t.Errorf("group mixed: got %+v, want reason announce.Partly", group)
		}
	}
}

// A group must be withdrawn as soon as the inventory lists its only disk server as draining, before
// that server rejects requests.
func TestDrainingServerWithdrawsItsGroup(t *testing.T) {
	h, router := newAnnouncingHarness(t)
	waitFor(t, h.environment, "group alone is announced", func() bool { return announcedLevel(router, oneShardPrefix) == announce.Announced })
	h.inventory.ChangeNow(func(book *inventory.Book) { book.Health(h.diskServers[2].Addr, inventory.Draining) })
	waitFor(t, h.environment, "group alone is withdrawn", func() bool { return announcedLevel(router, oneShardPrefix) == announce.Withdrawn })
	if announcedLevel(router, twoShardPrefix) != announce.Announced {
		t.Error("group mixed, whose servers do not drain, is not announced")
	}
}

// A graceful stop must announce the last resort and then withdraw, before the session ends.
func TestOrderOfAGracefulStop(t *testing.T) {
	h, router := newAnnouncingHarness(t)
	waitFor(t, h.environment, "group mixed is announced", func() bool { return announcedLevel(router, twoShardPrefix) == announce.Announced })
	logStart := len(router.Changes())
	h.gateway.Stop(context.Background())
	waitFor(t, h.environment, "group mixed is withdrawn", func() bool { return announcedLevel(router, twoShardPrefix) == announce.Withdrawn })
	var got []string
	for _, change := range router.Changes()[logStart:] {
		if change.Prefix != twoShardPrefix {
			continue
		}
		switch {
		case change.Announced && change.Path.Shutdown:
			got = append(got, "last resort")
		case change.Announced:
			got = append(got, "announced")
		case change.SessionEnded:
			got = append(got, "session ended")
		default:
			got = append(got, "withdrawn")
		}
	}
	if len(got) != 2 || got[0] != "last resort" || got[1] != "withdrawn" {
		t.Errorf("got %v, want [last resort withdrawn]", got)
	}
}

// heldWriteEnv is the real environment with connections to one address whose writes can be held.
type heldWriteEnv struct {
	*env.Real
	addr  string
	hold  atomic.Bool // writes on connections dialled to addr return only when freed opens
	freed env.Gate
}

func (e *heldWriteEnv) Dial(ctx context.Context, network, address string, timeout time.Duration) (net.Conn, error) {
	conn, err := e.Real.Dial(ctx, network, address, timeout)
	if err != nil || address != e.addr {
		return conn, err
	}
	return &heldWriteConn{Conn: conn, environment: e}, nil
}

type heldWriteConn struct {
	net.Conn
	environment *heldWriteEnv
	closed      env.Gate
}

// Write writes b, and then returns as late as the environment says.
func (c *heldWriteConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	if c.environment.hold.Load() {
		env.WaitAny(c.environment, &c.environment.freed, &c.closed)
	}
	return n, err
}

func (c *heldWriteConn) Close() error {
	c.closed.Open()
	return c.Conn.Close()
}

// newHeldRouterHarness starts an announcing harness in which the gateway's last write to the router,
// the withdrawal of group alone, does not return. log gets the gateway's messages.
func newHeldRouterHarness(t *testing.T, log *zap.Logger) (*harness, *standin.Router, *heldWriteEnv) {
	t.Helper()
	held := &heldWriteEnv{Real: env.NewReal()}
	h, router := newAnnouncingHarnessWithConfig(t, func(config *gateway.Config, routerAddr string) {
		held.addr = routerAddr
		config.Environment, config.Log = held, log
	})
	waitFor(t, h.environment, "both groups are announced", func() bool {
		return announcedLevel(router, twoShardPrefix) == announce.Announced && announcedLevel(router, oneShardPrefix) == announce.Announced
	})
	held.hold.Store(true)
	h.inventory.ChangeNow(func(book *inventory.Book) { book.Health(h.diskServers[2].Addr, inventory.Draining) })
	waitFor(t, h.environment, "group alone is withdrawn", func() bool { return announcedLevel(router, oneShardPrefix) == announce.Withdrawn })
	return h, router, held
}

// routerLevels returns the levels at which a router received a prefix, in order.
func routerLevels(changes []standin.RouteChange, prefix netip.Prefix) (levels []announce.Level) {
	for _, change := range changes {
		level := announce.Withdrawn
		if change.Announced {
			level = announce.Announced
		}
		if change.Announced && change.Path.Shutdown {
			level = announce.LastResort
		}
		if change.Prefix == prefix {
			levels = append(levels, level)
		}
	}
	return levels
}

// groupLevel returns the level at which the gateway announces a group.
func (h *harness) groupLevel(name string) string {
	for _, group := range h.gateway.Routes().Groups {
		if group.Group == name {
			return group.Level
		}
	}
	return ""
}

// A router that is slow to take updates must still get the last resort before the withdrawal.
func TestGracefulStopWaitsForSlowRouter(t *testing.T) {
	h, router, held := newHeldRouterHarness(t, zap.NewNop())
	logStart := len(router.Changes())
	var stop env.WaitGroup
	stop.Go(h.environment, func() { h.gateway.Stop(context.Background()) })
	waitFor(t, h.environment, "the stop has begun", func() bool { return h.groupLevel("mixed") != announce.Announced.String() })
	const observed = 300 * time.Millisecond // well past the settings' time for clients to move
	for end := h.environment.Now() + observed; h.environment.Now() < end; env.Sleep(h.environment, 5*time.Millisecond, nil) {
		if level := h.groupLevel("mixed"); level != announce.LastResort.String() {
			t.Errorf("the gateway went on to %q before the router was sent the last resort", level)
			break
		}
	}
	held.freed.Open()
	stop.Wait(h.environment)
	waitFor(t, h.environment, "group mixed is withdrawn", func() bool { return announcedLevel(router, twoShardPrefix) == announce.Withdrawn })
	if got := routerLevels(router.Changes()[logStart:], twoShardPrefix); !slices.Equal(got, []announce.Level{announce.LastResort, announce.Withdrawn}) {
		t.Errorf("got %v, want [last resort withdrawn]", got)
	}
}

// A router that takes nothing must not hold up a graceful stop for good, and the log must name it.
func TestGracefulStopNamesUnsentRouters(t *testing.T) {
	core, logged := observer.New(zap.WarnLevel)
	h, _, _ := newHeldRouterHarness(t, zap.New(core))
	startedAt := h.environment.Now()
	h.gateway.Stop(context.Background())
	if elapsed := h.environment.Now() - startedAt; elapsed < 2*time.Second {
		t.Errorf("the stop took %s, want it to wait for the router", elapsed)
	}
	var got []string
	for _, entry := range logged.FilterMessage("routers not sent the routes of a graceful stop in time").All() {
		got = append(got, fmt.Sprint(entry.ContextMap()["phase"], entry.ContextMap()["routers"]))
	}
	if want := []string{"leaving[r0]", "left[r0]"}; !slices.Equal(got, want) {
		t.Errorf("got warnings %q, want %q", got, want)
	}
}

// New settings must change the announced prefixes without a restart. Without the announce section
// all are withdrawn.
func TestSettingsChangeAnnouncedPrefixes(t *testing.T) {
	h, router := newAnnouncingHarness(t)
	waitFor(t, h.environment, "group mixed is announced", func() bool { return announcedLevel(router, twoShardPrefix) == announce.Announced })
	newPrefix := netip.MustParsePrefix("10.9.0.3/32")
	s := *h.gateway.Settings().Get()
	announceSettings := *s.Announce
	announceSettings.Groups = append([]settings.AddressGroup(nil), announceSettings.Groups...)
	announceSettings.Groups[0].Prefixes = []string{newPrefix.String()}
	s.Announce = &announceSettings
	if _, err := h.gateway.Settings().Put(&s); err != nil {
		t.Fatal(err)
	}
	waitFor(t, h.environment, "the new prefix is announced and the old one withdrawn", func() bool {
		return announcedLevel(router, newPrefix) == announce.Announced && announcedLevel(router, twoShardPrefix) == announce.Withdrawn
	})
	s = *h.gateway.Settings().Get()
	s.Announce = nil
	if _, err := h.gateway.Settings().Put(&s); err != nil {
		t.Fatal(err)
	}
	waitFor(t, h.environment, "all prefixes are withdrawn", func() bool { return len(router.RoutesFrom(1)) == 0 })
}

// When sessions and a disk server flap independently, the router's table must converge to the final
// state of the shards.
func TestAnnouncementsConvergeAfterFlaps(t *testing.T) {
	h, router := newAnnouncingHarness(t)
	router.SetFaults(standin.RouterFaults{ResetAfter: 70 * time.Millisecond})
	router.ResetSessions()
	for i := range 4 {
		established := router.Counters().Established
		h.diskServers[2].SetNetworkFaults(standin.NetworkFaults{Hang: i%2 == 0})
		waitFor(t, h.environment, "another session is established", func() bool { return router.Counters().Established > established })
	}
	h.diskServers[2].SetNetworkFaults(standin.NetworkFaults{Hang: true})
	router.SetFaults(standin.RouterFaults{})
	router.ResetSessions()
	waitFor(t, h.environment, "only group mixed is announced", func() bool {
		return announcedLevel(router, twoShardPrefix) == announce.Announced && announcedLevel(router, oneShardPrefix) == announce.Withdrawn
	})
	h.diskServers[2].SetNetworkFaults(standin.NetworkFaults{})
	waitFor(t, h.environment, "group alone is announced again", func() bool { return announcedLevel(router, oneShardPrefix) == announce.Announced })
}

// Settings with an announce section must be rejected on a host without a router ID.
func TestAnnouncementsRequireRouterID(t *testing.T) {
	environment := env.NewReal()
	gw, err := gateway.Start(gateway.Config{Environment: environment, Name: "h", Listen: "127.0.0.1:0", Inventory: "127.0.0.1:1"})
	if err != nil {
		t.Fatal(err)
	}
	defer gw.Kill()
	s := settings.Example(1, 1)
	s.Announce = &settings.Announce{AS: 65001}
	var faults *settings.FaultsError
	if _, err := gw.Settings().Put(s); !errors.As(err, &faults) || faults.Faults[0].Path != "announce" {
		t.Fatal(err)
	}
	if gw.Addr() != nil {
		t.Error("gateway listens though its settings were rejected")
	}
}

// A host of a service with two regions that cannot renew its lease must withdraw its prefixes and
// answer BUSY, though its disk servers work. With a new lease it must announce and serve again.
func TestNoAnnouncementWithoutLease(t *testing.T) {
	environment := env.NewReal()
	router, err := standin.ServeRouter(environment, "127.0.0.1:0", 65010)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(router.Close)
	s := settings.Example(1, 1)
	s.Regions = &settings.Regions{LeaseTime: 600, PeerTimeout: 300, Drift: 0.01, Hosts: []int{0}}
	s.Announce = &settings.Announce{AS: 65001, HoldTime: 9000, Routers: []settings.Router{{Name: "r0", Addr: router.Addr, AS: router.AS}},
		StableTime: 100, MaxStableTime: 100, MaxLastResortTime: 100, DrainTime: 50,
		Groups: []settings.AddressGroup{{Name: "all", Prefixes: []string{twoShardPrefix.String()}, Volumes: []string{s.Volumes[1].Name}}}}
	savedState := &standin.InventoryState{Record: region.Begin(0, []region.ID{0}, make([][2]float64, len(s.Plans)))}
	serveInventory := func(addr string, start uint64) *standin.Inventory {
		server, err := standin.ServeRegion(environment, addr, 0, s.Regions.Config(), 0, start, savedState, func() string { return "" })
		if err != nil {
			t.Fatal(err)
		}
		return server
	}
	regionInventory := serveInventory("127.0.0.1:0", 1)
	diskServer := &standin.DiskServer{Name: "d0", Shard: 0}
	shardStore := standin.NewShardStore(func(string) int { return s.Volumes[0].BlockSize })
	if err := standin.ServeDisk(environment, standin.NewMachine(fastMachineConfig(), 1, shardStore, standin.NewDedupCache(6000), nil, 0, 0, false), diskServer); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(diskServer.Kill)
	regionInventory.ChangeNow(func(book *inventory.Book) {
		book.Set(inventory.Node{Addr: diskServer.Addr, Health: inventory.Ready, Weight: 1}, 0)
	})
	gw, err := gateway.Start(gateway.Config{Environment: environment, Name: "h0", Listen: "127.0.0.1:0", Inventory: regionInventory.Addr, RouterID: 1, NextHop4: netip.AddrFrom4([4]byte{127, 0, 0, 1})})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(gw.Kill)
	if _, err := gw.Settings().Put(s); err != nil {
		t.Fatal(err)
	}
	waitFor(t, environment, "the prefix is announced", func() bool { return announcedLevel(router, twoShardPrefix) == announce.Announced })
	regionInventory.Close()
	waitFor(t, environment, "the prefix is withdrawn", func() bool { return announcedLevel(router, twoShardPrefix) == announce.Withdrawn })
	client, err := initiator.Dial(context.Background(), initiator.Config{Environment: environment, Addr: gw.Addr().String(), Name: "iqn.2026-11.example.client:x",
		Target: s.TargetName(&s.Volumes[1]), ISID: iscsi.ISID{0x80}, Params: initiator.DefaultParams(), LoginTime: 5 * time.Second})
	if err != nil {
		t.Fatal(err)
	}
	defer client.Close()
	readStatus := func() byte {
		var done env.Gate
		var got byte
		client.Submit(0, initiator.ReadCDB(0, 1), nil, s.Volumes[1].BlockSize, func(result iscsi.Result, err error) {
			if got = result.Status; err != nil {
				got = 0xff
			}
			done.Open()
		})
		done.Wait(environment)
		return got
	}
	if got := readStatus(); got != scsi.Busy {
		t.Errorf("read without a lease: got status %#x, want BUSY", got)
	}
	regionInventory = serveInventory(regionInventory.Addr, 2)
	t.Cleanup(regionInventory.Close)
	caller := inventory.NewCaller(environment, func() string { return regionInventory.Addr })
	defer caller.Close()
	if reply, err := caller.Ask(inventory.Ask{Op: "lead"}, 5*time.Second); err != nil || reply.Kind != inventory.Told {
		t.Fatal(reply, err) // a restarted region without contact to the other grants leases only after this command
	}
	waitFor(t, environment, "the prefix is announced again", func() bool { return announcedLevel(router, twoShardPrefix) == announce.Announced })
	if got := readStatus(); got != scsi.Good {
		t.Errorf("read with a new lease: got status %#x, want GOOD", got)
	}
}
