package gateway_test

import (
	"context"
	"errors"
	"net/netip"
	"testing"
	"time"

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
	twoShardPrefix = netip.MustParsePrefix("10.9.0.1/32") // of volumes on shards 0 and 1
	oneShardPrefix = netip.MustParsePrefix("10.9.0.2/32") // of volumes on shard 2
)

// newAnnouncingHarness is a host that announces two groups to a router.
func newAnnouncingHarness(t *testing.T) (*harness, *standin.Router) {
	t.Helper()
	environment := env.NewReal()
	router, err := standin.ServeRouter(environment, "127.0.0.1:0", 65010)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(router.Close)
	h := newHarness(t, func(s *settings.Settings) {
		s.Announce = &settings.Announce{AS: 65001, HoldTime: 9000, Routers: []settings.Router{{Name: "r0", Addr: router.Addr, AS: router.AS}},
			Steady: 100, SteadyMost: 100, ResortMost: 100, MoveTime: 50,
			Groups: []settings.AddressGroup{{Name: "mixed", Prefixes: []string{twoShardPrefix.String()}}, {Name: "alone", Prefixes: []string{oneShardPrefix.String()}}}}
		for i := range s.Volumes {
			volume := &s.Volumes[i]
			if volume.Layout = []int{0, 1}; i%2 == 0 {
				volume.Layout = []int{2}
			}
			group := &s.Announce.Groups[(i+1)%2]
			group.Volumes = append(group.Volumes, volume.Name)
		}
	})
	return h, router
}

func waitFor(t *testing.T, environment env.Environment, condition string, satisfied func() bool) {
	t.Helper()
	for deadline := environment.Now() + 30*time.Second; !satisfied(); {
		if environment.Now() > deadline {
			t.Fatal("not seen: " + condition)
		}
		env.Sleep(environment, 2*time.Millisecond, nil)
	}
}

// announcedLevel is how the router holds an address.
func announcedLevel(router *standin.Router, prefix netip.Prefix) announce.Level {
	path, ok := router.Held(1)[prefix]
	switch {
	case !ok:
		return announce.Withdrawn
	case path.Shutdown:
		return announce.LastResort
	}
	return announce.Announced
}

// One of two shards lost is a last resort for who needs both, nothing for the others;
// both lost is a withdrawal; what comes back is announced again.
func TestLostShardsDetermineAnnouncedLevel(t *testing.T) {
	h, router := newAnnouncingHarness(t)
	waitFor(t, h.environment, "both announced", func() bool {
		return announcedLevel(router, twoShardPrefix) == announce.Announced && announcedLevel(router, oneShardPrefix) == announce.Announced
	})
	h.diskServers[0].Net(standin.NetTrouble{Hang: true})
	waitFor(t, h.environment, "a last resort", func() bool { return announcedLevel(router, twoShardPrefix) == announce.LastResort })
	h.diskServers[1].Kill()
	waitFor(t, h.environment, "a withdrawal", func() bool { return announcedLevel(router, twoShardPrefix) == announce.Withdrawn })
	if announcedLevel(router, oneShardPrefix) != announce.Announced {
		t.Error("a group that lost nothing was withdrawn")
	}
	h.diskServers[0].Net(standin.NetTrouble{})
	waitFor(t, h.environment, "a last resort again", func() bool { return announcedLevel(router, twoShardPrefix) == announce.LastResort })
	for _, group := range h.gateway.Routes().Groups {
		if group.Group == "mixed" && group.Reason != announce.Partly {
			t.Errorf("%+v", group)
		}
	}
}

// The list says that a server drains before it refuses anything.
func TestDrainingServerWithdrawsItsGroup(t *testing.T) {
	h, router := newAnnouncingHarness(t)
	waitFor(t, h.environment, "announced", func() bool { return announcedLevel(router, oneShardPrefix) == announce.Announced })
	h.inventory.ChangeNow(func(book *inventory.Book) { book.Health(h.diskServers[2].Addr, inventory.Draining) })
	waitFor(t, h.environment, "a withdrawal", func() bool { return announcedLevel(router, oneShardPrefix) == announce.Withdrawn })
	if announcedLevel(router, twoShardPrefix) != announce.Announced {
		t.Error("the other group was withdrawn")
	}
}

// A graceful stop goes through the last resort and a withdrawal, and only then ends
// the session.
func TestOrderOfAGracefulStop(t *testing.T) {
	h, router := newAnnouncingHarness(t)
	waitFor(t, h.environment, "announced", func() bool { return announcedLevel(router, twoShardPrefix) == announce.Announced })
	logStart := len(router.Log())
	h.gateway.Stop(context.Background())
	waitFor(t, h.environment, "the withdrawal", func() bool { return announcedLevel(router, twoShardPrefix) == announce.Withdrawn })
	var got []string
	for _, change := range router.Log()[logStart:] {
		if change.Prefix != twoShardPrefix {
			continue
		}
		switch {
		case change.Up && change.Path.Shutdown:
			got = append(got, "last resort")
		case change.Up:
			got = append(got, "announced")
		case change.ByEnd:
			got = append(got, "session over")
		default:
			got = append(got, "withdrawn")
		}
	}
	if len(got) != 2 || got[0] != "last resort" || got[1] != "withdrawn" {
		t.Errorf("%v", got)
	}
}

// Settings change what is announced without a restart; without the section nothing is.
func TestSettingsChangeAnnouncedPrefixes(t *testing.T) {
	h, router := newAnnouncingHarness(t)
	waitFor(t, h.environment, "announced", func() bool { return announcedLevel(router, twoShardPrefix) == announce.Announced })
	newPrefix := netip.MustParsePrefix("10.9.0.3/32")
	s := *h.gateway.Settings().Get()
	announceSettings := *s.Announce
	announceSettings.Groups = append([]settings.AddressGroup(nil), announceSettings.Groups...)
	announceSettings.Groups[0].Prefixes = []string{newPrefix.String()}
	s.Announce = &announceSettings
	if _, err := h.gateway.Settings().Put(&s); err != nil {
		t.Fatal(err)
	}
	waitFor(t, h.environment, "the new address", func() bool {
		return announcedLevel(router, newPrefix) == announce.Announced && announcedLevel(router, twoShardPrefix) == announce.Withdrawn
	})
	s = *h.gateway.Settings().Get()
	s.Announce = nil
	if _, err := h.gateway.Settings().Put(&s); err != nil {
		t.Fatal(err)
	}
	waitFor(t, h.environment, "nothing", func() bool { return len(router.Held(1)) == 0 })
}

// Sessions that flap while the gateway's own ability flaps out of step: what the router
// has in the end is what is true in the end, and nothing else.
func TestAnnouncementsConvergeAfterFlaps(t *testing.T) {
	h, router := newAnnouncingHarness(t)
	router.Fault(standin.RouterFault{LiveFor: 70 * time.Millisecond})
	router.Reset()
	for i := range 4 {
		ups := router.Counts().Ups
		h.diskServers[2].Net(standin.NetTrouble{Hang: i%2 == 0})
		waitFor(t, h.environment, "another session", func() bool { return router.Counts().Ups > ups })
	}
	h.diskServers[2].Net(standin.NetTrouble{Hang: true})
	router.Fault(standin.RouterFault{})
	router.Reset()
	waitFor(t, h.environment, "the truth", func() bool {
		return announcedLevel(router, twoShardPrefix) == announce.Announced && announcedLevel(router, oneShardPrefix) == announce.Withdrawn
	})
	h.diskServers[2].Net(standin.NetTrouble{})
	waitFor(t, h.environment, "the way back", func() bool { return announcedLevel(router, oneShardPrefix) == announce.Announced })
}

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
		t.Error("it started without one")
	}
}

// A host of a service over two regions whose lease can't be renewed withdraws its
// addresses, though its disk servers are well, and takes no work; with another it is back.
func TestNoAnnouncementWithoutLease(t *testing.T) {
	environment := env.NewReal()
	router, err := standin.ServeRouter(environment, "127.0.0.1:0", 65010)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(router.Close)
	s := settings.Example(1, 1)
	s.Regions = &settings.Regions{Lease: 600, Quiet: 300, Drift: 0.01, Hosts: []int{0}}
	s.Announce = &settings.Announce{AS: 65001, HoldTime: 9000, Routers: []settings.Router{{Name: "r0", Addr: router.Addr, AS: router.AS}},
		Steady: 100, SteadyMost: 100, ResortMost: 100, MoveTime: 50,
		Groups: []settings.AddressGroup{{Name: "all", Prefixes: []string{twoShardPrefix.String()}, Volumes: []string{s.Volumes[1].Name}}}}
	savedState := &standin.Saved{Record: region.Begin(0, []region.ID{0}, make([][2]float64, len(s.Plans)))}
	serveInventory := func(addr string, start uint64) *standin.Inventory {
		server, err := standin.ServeRegion(environment, addr, 0, s.Regions.Config(), 0, start, savedState, func() string { return "" })
		if err != nil {
			t.Fatal(err)
		}
		return server
	}
	regionInventory := serveInventory("127.0.0.1:0", 1)
	diskServer := &standin.DiskServer{Name: "d0", Shard: 0}
	cell := standin.NewCell(func(string) int { return s.Volumes[0].BlockSize })
	if err := standin.ServeDisk(environment, standin.NewMachine(fastMachineConfig(), 1, cell, standin.NewRack(6000), nil, 0, 0, false), diskServer); err != nil {
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
	waitFor(t, environment, "announced", func() bool { return announcedLevel(router, twoShardPrefix) == announce.Announced })
	regionInventory.Close()
	waitFor(t, environment, "a withdrawal", func() bool { return announcedLevel(router, twoShardPrefix) == announce.Withdrawn })
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
		t.Errorf("without a lease a read is answered %#x", got)
	}
	regionInventory = serveInventory(regionInventory.Addr, 2)
	t.Cleanup(regionInventory.Close)
	caller := inventory.NewCaller(environment, func() string { return regionInventory.Addr })
	defer caller.Close()
	if reply, err := caller.Ask(inventory.Ask{Op: "lead"}, 5*time.Second); err != nil || reply.Kind != inventory.Told {
		t.Fatal(reply, err) // it came back and hears nobody: an operator says that it leads
	}
	waitFor(t, environment, "announced again", func() bool { return announcedLevel(router, twoShardPrefix) == announce.Announced })
	if got := readStatus(); got != scsi.Good {
		t.Errorf("with a lease again a read is answered %#x", got)
	}
}
