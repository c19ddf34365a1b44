package lab

import (
	"context"
	"fmt"
	"io"
	"net/netip"
	"text/tabwriter"
	"time"

	"go.uber.org/zap"

	"merlinhitch/internal/protocol/bgp"
	"merlinhitch/internal/runtime/env"
	"merlinhitch/internal/simulation/standin"
)

// MeasureSpeaker measures one speaker before so many stand-in routers: the first telling of
// so many prefixes, a change of all their paths, and their withdrawal. The routers run
// in the same process; their part of the time is in the figures.
func MeasureSpeaker(ctx context.Context, peers, prefixes int, out io.Writer) error {
	w := env.NewReal()
	var routers []*standin.Router
	defer func() {
		for _, r := range routers {
			r.Close()
		}
	}()
	var list []bgp.Neighbour
	for i := range peers {
		r, err := standin.ServeRouter(w, "127.0.0.1:0", 65010)
		if err != nil {
			return err
		}
		routers = append(routers, r)
		list = append(list, bgp.Neighbour{Addr: r.Addr, PeerConfig: bgp.PeerConfig{Name: fmt.Sprint("r", i), LocalAS: 65001, PeerAS: 65010, ID: 1,
			Families: []bgp.Family{bgp.IPv4, bgp.IPv6}, Hop4: netip.AddrFrom4([4]byte{127, 0, 0, 1}), Hop6: netip.IPv6Loopback(), Times: bgp.DefaultTimes}})
	}
	base := memoryInUse()
	s, err := bgp.StartSpeaker(w, zap.NewNop(), "", list)
	if err != nil {
		return err
	}
	defer s.Kill()
	tw := tabwriter.NewWriter(out, 0, 0, 1, ' ', 0)
	fmt.Fprintln(tw, "| what\t| seconds\t| CPU seconds\t| updates a peer\t| prefixes an update\t|")
	fmt.Fprintln(tw, "| ---\t| ---\t| ---\t| ---\t| ---\t|")
	stage := func(name string, routes []bgp.Route, has func(held map[netip.Prefix]bgp.Path) bool) error {
		updates := 0
		for _, r := range routers {
			updates -= r.Counters().Updates
		}
		begin, cpu := w.Now(), processCPUTime()
		s.Set(routes)
		for _, r := range routers {
			for !has(r.RoutesFrom(1)) {
				if !env.SleepContext(ctx, w, time.Millisecond) {
					return ctx.Err()
				}
			}
		}
		took, used := w.Now()-begin, processCPUTime()-cpu
		for _, r := range routers {
			updates += r.Counters().Updates
		}
		each := float64(updates) / float64(peers)
		fmt.Fprintf(tw, "| %s\t| %.3f\t| %.3f\t| %.1f\t| %.0f\t|\n", name, took.Seconds(), used.Seconds(), each, float64(prefixes)/max(each, 1))
		return nil
	}
	all := func(p bgp.Path) (out []bgp.Route) {
		for i := range prefixes {
			addr := netip.AddrFrom4([4]byte{10, byte(i >> 16), byte(i >> 8), byte(i)})
			if i%4 == 0 {
				a := netip.MustParseAddr("2001:db8::").As16()
				a[13], a[14], a[15] = byte(i>>16), byte(i>>8), byte(i)
				addr = netip.AddrFrom16(a)
			}
			out = append(out, bgp.Route{Prefix: netip.PrefixFrom(addr, addr.BitLen()), Path: p})
		}
		return out
	}
	full, resort := bgp.Path{MED: 100}, bgp.Path{MED: 1000, Prepend: 3, Shutdown: true}
	only := func(p bgp.Path) func(map[netip.Prefix]bgp.Path) bool {
		return func(held map[netip.Prefix]bgp.Path) bool {
			for _, got := range held {
				if got != p {
					return false
				}
			}
			return len(held) == prefixes
		}
	}
	if err := stage("sessions and first telling", all(full), only(full)); err != nil {
		return err
	}
	grown := float64(memoryInUse() - base)
	if err := stage("all become a last resort", all(resort), only(resort)); err != nil {
		return err
	}
	if err := stage("all withdrawn", nil, func(held map[netip.Prefix]bgp.Path) bool { return len(held) == 0 }); err != nil {
		return err
	}
	if err := tw.Flush(); err != nil {
		return err
	}
	_, err = fmt.Fprintf(out, "%d peers, %d prefixes: %.1f MiB of heap and stacks more than before the speaker, %.1f KiB a peer, the routers' tables included\n",
		peers, prefixes, grown/(1<<20), grown/1024/float64(peers))
	return err
}
