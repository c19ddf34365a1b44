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
	w := env.NewReal()
	r, err := standin.ServeRouter(w, "127.0.0.1:0", 65010)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(r.Close)
	g := newHarness(t, func(s *settings.Settings) {
		s.Announce = &settings.Announce{AS: 65001, HoldTime: 9000, Routers: []settings.Router{{Name: "r0", Addr: r.Addr, AS: r.AS}},
			Steady: 100, SteadyMost: 100, ResortMost: 100, MoveTime: 50,
			Groups: []settings.AddressGroup{{Name: "mixed", Prefixes: []string{twoShardPrefix.String()}}, {Name: "alone", Prefixes: []string{oneShardPrefix.String()}}}}
		for i := range s.Volumes {
			v := &s.Volumes[i]
			if v.Layout = []int{0, 1}; i%2 == 0 {
				v.Layout = []int{2}
			}
			group := &s.Announce.Groups[(i+1)%2]
			group.Volumes = append(group.Volumes, v.Name)
		}
	})
	return g, r
}

func waitFor(t *testing.T, w env.Environment, what string, ok func() bool) {
	t.Helper()
	for end := w.Now() + 30*time.Second; !ok(); {
		if w.Now() > end {
			t.Fatal("not seen: " + what)
		}
		env.Sleep(w, 2*time.Millisecond, nil)
	}
}

// announcedLevel is how the router holds an address.
func announcedLevel(r *standin.Router, p netip.Prefix) announce.Level {
	path, ok := r.Held(1)[p]
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
	g, r := newAnnouncingHarness(t)
	waitFor(t, g.environment, "both announced", func() bool {
		return announcedLevel(r, twoShardPrefix) == announce.Announced && announcedLevel(r, oneShardPrefix) == announce.Announced
	})
	g.diskServers[0].Net(standin.NetTrouble{Hang: true})
	waitFor(t, g.environment, "a last resort", func() bool { return announcedLevel(r, twoShardPrefix) == announce.LastResort })
	g.diskServers[1].Kill()
	waitFor(t, g.environment, "a withdrawal", func() bool { return announcedLevel(r, twoShardPrefix) == announce.Withdrawn })
	if announcedLevel(r, oneShardPrefix) != announce.Announced {
		t.Error("a group that lost nothing was withdrawn")
	}
	g.diskServers[0].Net(standin.NetTrouble{})
	waitFor(t, g.environment, "a last resort again", func() bool { return announcedLevel(r, twoShardPrefix) == announce.LastResort })
	for _, s := range g.gateway.Routes().Groups {
		if s.Group == "mixed" && s.Reason != announce.Partly {
			t.Errorf("%+v", s)
		}
	}
}

// The list says that a server drains before it refuses anything.
func TestDrainingServerWithdrawsItsGroup(t *testing.T) {
	g, r := newAnnouncingHarness(t)
	waitFor(t, g.environment, "announced", func() bool { return announcedLevel(r, oneShardPrefix) == announce.Announced })
	g.inventory.ChangeNow(func(b *inventory.Book) { b.Health(g.diskServers[2].Addr, inventory.Draining) })
	waitFor(t, g.environment, "a withdrawal", func() bool { return announcedLevel(r, oneShardPrefix) == announce.Withdrawn })
	if announcedLevel(r, twoShardPrefix) != announce.Announced {
		t.Error("the other group was withdrawn")
	}
}

// A graceful stop goes through the last resort and a withdrawal, and only then ends
// the session.
func TestOrderOfAGracefulStop(t *testing.T) {
	g, r := newAnnouncingHarness(t)
	waitFor(t, g.environment, "announced", func() bool { return announcedLevel(r, twoShardPrefix) == announce.Announced })
	from := len(r.Log())
	g.gateway.Stop(context.Background())
	waitFor(t, g.environment, "the withdrawal", func() bool { return announcedLevel(r, twoShardPrefix) == announce.Withdrawn })
	var got []string
	for _, c := range r.Log()[from:] {
		if c.Prefix != twoShardPrefix {
			continue
		}
		switch {
		case c.Up && c.Path.Shutdown:
			got = append(got, "last resort")
		case c.Up:
			got = append(got, "announced")
		case c.ByEnd:
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
	g, r := newAnnouncingHarness(t)
	waitFor(t, g.environment, "announced", func() bool { return announcedLevel(r, twoShardPrefix) == announce.Announced })
	other := netip.MustParsePrefix("10.9.0.3/32")
	s := *g.gateway.Settings().Get()
	a := *s.Announce
	a.Groups = append([]settings.AddressGroup(nil), a.Groups...)
	a.Groups[0].Prefixes = []string{other.String()}
	s.Announce = &a
	if _, err := g.gateway.Settings().Put(&s); err != nil {
		t.Fatal(err)
	}
	waitFor(t, g.environment, "the new address", func() bool {
		return announcedLevel(r, other) == announce.Announced && announcedLevel(r, twoShardPrefix) == announce.Withdrawn
	})
	s = *g.gateway.Settings().Get()
	s.Announce = nil
	if _, err := g.gateway.Settings().Put(&s); err != nil {
		t.Fatal(err)
	}
	waitFor(t, g.environment, "nothing", func() bool { return len(r.Held(1)) == 0 })
}

// Sessions that flap while the gateway's own ability flaps out of step: what the router
// has in the end is what is true in the end, and nothing else.
func TestAnnouncementsConvergeAfterFlaps(t *testing.T) {
	g, r := newAnnouncingHarness(t)
	r.Fault(standin.RouterFault{LiveFor: 70 * time.Millisecond})
	r.Reset()
	for i := range 4 {
		ups := r.Counts().Ups
		g.diskServers[2].Net(standin.NetTrouble{Hang: i%2 == 0})
		waitFor(t, g.environment, "another session", func() bool { return r.Counts().Ups > ups })
	}
	g.diskServers[2].Net(standin.NetTrouble{Hang: true})
	r.Fault(standin.RouterFault{})
	r.Reset()
	waitFor(t, g.environment, "the truth", func() bool {
		return announcedLevel(r, twoShardPrefix) == announce.Announced && announcedLevel(r, oneShardPrefix) == announce.Withdrawn
	})
	g.diskServers[2].Net(standin.NetTrouble{})
	waitFor(t, g.environment, "the way back", func() bool { return announcedLevel(r, oneShardPrefix) == announce.Announced })
}

func TestAnnouncementsRequireRouterID(t *testing.T) {
	w := env.NewReal()
	gate, err := gateway.Start(gateway.Config{Environment: w, Name: "h", Listen: "127.0.0.1:0", Inventory: "127.0.0.1:1"})
	if err != nil {
		t.Fatal(err)
	}
	defer gate.Kill()
	s := settings.Example(1, 1)
	s.Announce = &settings.Announce{AS: 65001}
	var faults *settings.FaultsError
	if _, err := gate.Settings().Put(s); !errors.As(err, &faults) || faults.Faults[0].Path != "announce" {
		t.Fatal(err)
	}
	if gate.Addr() != nil {
		t.Error("it started without one")
	}
}

// A host of a service over two regions whose lease can't be renewed withdraws its
// addresses, though its disk servers are well, and takes no work; with another it is back.
func TestNoAnnouncementWithoutLease(t *testing.T) {
	w := env.NewReal()
	r, err := standin.ServeRouter(w, "127.0.0.1:0", 65010)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(r.Close)
	s := settings.Example(1, 1)
	s.Regions = &settings.Regions{Lease: 600, Quiet: 300, Drift: 0.01, Hosts: []int{0}}
	s.Announce = &settings.Announce{AS: 65001, HoldTime: 9000, Routers: []settings.Router{{Name: "r0", Addr: r.Addr, AS: r.AS}},
		Steady: 100, SteadyMost: 100, ResortMost: 100, MoveTime: 50,
		Groups: []settings.AddressGroup{{Name: "all", Prefixes: []string{twoShardPrefix.String()}, Volumes: []string{s.Volumes[1].Name}}}}
	saved := &standin.Saved{Record: region.Begin(0, []region.ID{0}, make([][2]float64, len(s.Plans)))}
	serve := func(addr string, start uint64) *standin.Inventory {
		v, err := standin.ServeRegion(w, addr, 0, s.Regions.Config(), 0, start, saved, func() string { return "" })
		if err != nil {
			t.Fatal(err)
		}
		return v
	}
	v := serve("127.0.0.1:0", 1)
	d := &standin.DiskServer{Name: "d0", Shard: 0}
	cell := standin.NewCell(func(string) int { return s.Volumes[0].BlockSize })
	if err := standin.ServeDisk(w, standin.NewMachine(fastMachineConfig(), 1, cell, standin.NewRack(6000), nil, 0, 0, false), d); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(d.Kill)
	v.ChangeNow(func(b *inventory.Book) { b.Set(inventory.Node{Addr: d.Addr, Health: inventory.Ready, Weight: 1}, 0) })
	gate, err := gateway.Start(gateway.Config{Environment: w, Name: "h0", Listen: "127.0.0.1:0", Inventory: v.Addr, RouterID: 1, NextHop4: netip.AddrFrom4([4]byte{127, 0, 0, 1})})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(gate.Kill)
	if _, err := gate.Settings().Put(s); err != nil {
		t.Fatal(err)
	}
	waitFor(t, w, "announced", func() bool { return announcedLevel(r, twoShardPrefix) == announce.Announced })
	v.Close()
	waitFor(t, w, "a withdrawal", func() bool { return announcedLevel(r, twoShardPrefix) == announce.Withdrawn })
	c, err := initiator.Dial(context.Background(), initiator.Config{Environment: w, Addr: gate.Addr().String(), Name: "iqn.2026-11.example.client:x",
		Target: s.TargetName(&s.Volumes[1]), ISID: iscsi.ISID{0x80}, Params: initiator.DefaultParams(), LoginTime: 5 * time.Second})
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	status := func() byte {
		var done env.Gate
		var got byte
		c.Submit(0, initiator.ReadCDB(0, 1), nil, s.Volumes[1].BlockSize, func(r iscsi.Result, err error) {
			if got = r.Status; err != nil {
				got = 0xff
			}
			done.Open()
		})
		done.Wait(w)
		return got
	}
	if got := status(); got != scsi.Busy {
		t.Errorf("without a lease a read is answered %#x", got)
	}
	v = serve(v.Addr, 2)
	t.Cleanup(v.Close)
	word := inventory.NewCaller(w, func() string { return v.Addr })
	defer word.Close()
	if l, err := word.Ask(inventory.Ask{Op: "lead"}, 5*time.Second); err != nil || l.Kind != inventory.Told {
		t.Fatal(l, err) // it came back and hears nobody: an operator says that it leads
	}
	waitFor(t, w, "announced again", func() bool { return announcedLevel(r, twoShardPrefix) == announce.Announced })
	if got := status(); got != scsi.Good {
		t.Errorf("with a lease again a read is answered %#x", got)
	}
}
