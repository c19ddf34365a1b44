package bgp_test

import (
	"net/netip"
	"sync"
	"testing"
	"time"

	"go.uber.org/goleak"
	"go.uber.org/zap"

	"merlinhitch/internal/protocol/bgp"
	"merlinhitch/internal/runtime/env"
	"merlinhitch/internal/simulation/standin"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// quick are times in which a test meets every wait; the hold time is the least that
// BGP knows.
var quick = bgp.Times{ConnectRetry: 200, Hold: 3000, LargeHold: 1000, IdleHold: 20, IdleHoldMost: 100}

func neighbour(r *standin.Router) bgp.Neighbour {
	return bgp.Neighbour{Addr: r.Addr, PeerConfig: bgp.PeerConfig{Name: r.Addr, LocalAS: 65001, PeerAS: r.AS, ID: 1, Families: []bgp.Family{bgp.IPv4, bgp.IPv6},
		Hop4: netip.MustParseAddr("127.0.0.1"), Hop6: netip.IPv6Loopback(), Times: quick}}
}

func router(t *testing.T, w env.Environment, f standin.RouterFaults) *standin.Router {
	t.Helper()
	r, err := standin.ServeRouter(w, "127.0.0.1:0", 65010)
	if err != nil {
		t.Fatal(err)
	}
	r.SetFaults(f)
	t.Cleanup(r.Close)
	return r
}

func speaker(t *testing.T, w env.Environment, list ...bgp.Neighbour) *bgp.Speaker {
	t.Helper()
	s, err := bgp.StartSpeaker(w, zap.NewNop(), "", list)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Kill)
	return s
}

func set(n int, p bgp.Path) (out []bgp.Route) {
	for i := range n {
		a := netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)})
		if i%2 == 1 {
			b := netip.MustParseAddr("2001:db8::").As16()
			b[14], b[15] = byte(i>>8), byte(i)
			a = netip.AddrFrom16(b)
		}
		out = append(out, bgp.Route{Prefix: netip.PrefixFrom(a, a.BitLen()), Path: p})
	}
	return out
}

// await looks until a condition holds; the bound only ends a test that would fail.
func await(t *testing.T, w env.Environment, what string, ok func() bool) {
	t.Helper()
	for end := w.Now() + 30*time.Second; !ok(); {
		if w.Now() > end {
			t.Fatal("not seen: " + what)
		}
		env.Sleep(w, 2*time.Millisecond, nil)
	}
}

func holds(r *standin.Router, want []bgp.Route) bool {
	held := r.RoutesFrom(1)
	for _, x := range want {
		if held[x.Prefix] != x.Path {
			return false
		}
	}
	return len(held) == len(want)
}

// Whatever is wrong with a router: once it is sound it has exactly the set, without
// anybody's help.
func TestFaultyRouterComesBack(t *testing.T) {
	for name, f := range map[string]standin.RouterFaults{
		"refuses":              {Refuse: true},
		"accepts late":         {StartDelay: 300 * time.Millisecond},
		"says nothing":         {Silent: true},
		"another AS":           {BadAS: true},
		"reset in OpenSent":    {ResetInState: bgp.OpenSent},
		"reset in OpenConfirm": {ResetInState: bgp.OpenConfirm},
		"reset in Established": {ResetInState: bgp.Established},
		"flaps":                {ResetAfter: 50 * time.Millisecond},
		"no sign of life":      {NoKeepalive: true},
		"half a message":       {TruncatedKeepalive: true},
		"wrong marker":         {BadMarker: true},
		"wrong length":         {BadLength: true},
		"unknown attributes":   {UnknownAttributes: true},
		"hold time 0":          {ZeroHoldTime: true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			w := env.NewReal()
			r := router(t, w, f)
			s := speaker(t, w, neighbour(r))
			s.Set(set(10, bgp.Path{MED: 1}))
			met := func() bool { // the fault was met: a session failed, or, where it harms none, holds
				st := s.Status()[0]
				return st.LastError != "" || f.UnknownAttributes && holds(r, set(10, bgp.Path{MED: 1})) || f.ZeroHoldTime && r.Counters().Established > 0 || f.StartDelay > 0
			}
			await(t, w, "the fault", func() bool {
				return met() || f.ResetAfter > 0 && r.Counters().Established > 2 || f.ResetInState != bgp.Idle && s.Status()[0].State == "Idle"
			})
			if f.UnknownAttributes && s.Status()[0].State != "Established" {
				t.Errorf("unknown attributes cost the session: %+v", s.Status()[0])
			}
			r.SetFaults(standin.RouterFaults{})
			r.ResetSessions()
			want := set(12, bgp.Path{MED: 2})[3:]
			s.Set(want)
			await(t, w, "exactly the set", func() bool { return holds(r, want) })
		})
	}
}

func TestARouterOfOneFamilyHearsOneFamily(t *testing.T) {
	w := env.NewReal()
	r := router(t, w, standin.RouterFaults{NoIPv6: true})
	s := speaker(t, w, neighbour(r))
	s.Set(set(10, bgp.Path{}))
	// The session may come up before the set is known, and then tells an empty one first.
	await(t, w, "End-of-RIB and the prefixes of IPv4", func() bool { return r.Counters().EndOfRIBs == 1 && len(r.RoutesFrom(1)) >= 5 })
	last := set(11, bgp.Path{MED: 2})
	s.Set(last)
	// What was told wrongly of the first set came before the second one.
	await(t, w, "the second set", func() bool { return r.RoutesFrom(1)[last[10].Prefix] == last[10].Path })
	for p := range r.RoutesFrom(1) {
		if p.Addr().Is6() {
			t.Errorf("%v was told", p)
		}
	}
	if len(r.RoutesFrom(1)) != 6 || r.Counters().EndOfRIBs != 1 {
		t.Errorf("%d prefixes, %d ends", len(r.RoutesFrom(1)), r.Counters().EndOfRIBs)
	}
}

// A router that reads a few bytes now and then holds up nobody; what it missed and no
// longer holds it is never told.
func TestASlowRouterHoldsUpNobody(t *testing.T) {
	w := env.NewReal()
	slow := router(t, w, standin.RouterFaults{SlowReadDelay: 20 * time.Millisecond})
	fast := router(t, w, standin.RouterFaults{})
	s := speaker(t, w, neighbour(slow), neighbour(fast))
	last := []bgp.Route(nil)
	for k := range 20 {
		last = set(2000, bgp.Path{MED: uint32(k + 1)})
		s.Set(last)
		await(t, w, "the set at the fast router", func() bool { return holds(fast, last) })
	}
	if holds(slow, last) {
		t.Error("the slow router was not slow: nothing is tested")
	}
}

// A session that begins after a withdrawal must count as up to date once it has all routes.
func TestNewSessionAfterWithdrawalIsUpToDate(t *testing.T) {
	environment := env.NewReal()
	peer := router(t, environment, standin.RouterFaults{})
	s := speaker(t, environment, neighbour(peer))
	s.Set(set(2, bgp.Path{MED: 1}))
	await(t, environment, "both routes at the router", func() bool { return holds(peer, set(2, bgp.Path{MED: 1})) })
	s.Set(set(1, bgp.Path{MED: 1}))
	await(t, environment, "the withdrawal at the router", func() bool { return holds(peer, set(1, bgp.Path{MED: 1})) })
	peer.ResetSessions()
	await(t, environment, "a second session that is up to date", func() bool {
		status := s.Status()[0]
		return status.Ups == 2 && status.Told
	})
}

// Two speakers that know each other's addresses settle on one session.
func TestTwoSpeakersCollide(t *testing.T) {
	w := env.NewReal()
	var s [2]*bgp.Speaker
	// The first is told the second's address before that is there, so both dial.
	free, err := w.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	second := free.Addr().String()
	free.Close()
	start := func(i int, listen, other string) {
		n := bgp.Neighbour{Addr: other, PeerConfig: bgp.PeerConfig{Name: other, LocalAS: uint32(65001 + i), PeerAS: uint32(65002 - i), ID: uint32(i + 1),
			Families: []bgp.Family{bgp.IPv4}, Hop4: netip.MustParseAddr("127.0.0.1"), Times: quick}}
		var err error
		if s[i], err = bgp.StartSpeaker(w, zap.NewNop(), listen, []bgp.Neighbour{n}); err != nil {
			t.Fatal(err)
		}
		t.Cleanup(s[i].Kill)
	}
	start(0, "127.0.0.1:0", second)
	start(1, second, s[0].Addr().String())
	await(t, w, "both established", func() bool {
		return s[0].Status()[0].State == "Established" && s[1].Status()[0].State == "Established"
	})
}

// At a graceful end the router reads why.
func TestCloseSaysWhy(t *testing.T) {
	w := env.NewReal()
	r := router(t, w, standin.RouterFaults{})
	s := speaker(t, w, neighbour(r))
	s.Set(set(4, bgp.Path{}))
	await(t, w, "the set", func() bool { return holds(r, set(4, bgp.Path{})) })
	var all sync.WaitGroup
	all.Go(func() { s.Close("moving to hall-b") })
	all.Wait()
	await(t, w, "the end", func() bool { return len(r.RoutesFrom(1)) == 0 })
}
