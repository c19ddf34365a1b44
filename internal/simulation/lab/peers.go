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

// MeasureSpeaker measures one BGP speaker with that many stand-in routers as peers: the first
// announcement of the prefixes, a change of all their paths, and their withdrawal. The routers
// run in the same process, so the results include their time and memory.
func MeasureSpeaker(ctx context.Context, peers, prefixes int, out io.Writer) error {
	environment := env.NewReal()
	var routers []*standin.Router
	defer func() {
		for _, r := range routers {
			r.Close()
		}
	}()
	var neighbours []bgp.Neighbour
	for i := range peers {
		router, err := standin.ServeRouter(environment, "127.0.0.1:0", 65010)
		if err != nil {
			return err
		}
		routers = append(routers, router)
		neighbours = append(neighbours, bgp.Neighbour{Addr: router.Addr, PeerConfig: bgp.PeerConfig{Name: fmt.Sprint("r", i), LocalAS: 65001, PeerAS: 65010, ID: 1,
			Families: []bgp.Family{bgp.IPv4, bgp.IPv6}, Hop4: netip.AddrFrom4([4]byte{127, 0, 0, 1}), Hop6: netip.IPv6Loopback(), Times: bgp.DefaultTimes}})
	}
	memBefore := memoryInUse()
	speaker, err := bgp.StartSpeaker(environment, zap.NewNop(), "", neighbours)
	if err != nil {
		return err
	}
	defer speaker.Kill()
	tw := tabwriter.NewWriter(out, 0, 0, 1, ' ', 0)
	fmt.Fprintln(tw, "| what\t| seconds\t| CPU seconds\t| updates a peer\t| prefixes an update\t|")
	fmt.Fprintln(tw, "| ---\t| ---\t| ---\t| ---\t| ---\t|")
	measureStage := func(name string, routes []bgp.Route, converged func(routes map[netip.Prefix]bgp.Path) bool) error {
		updates := 0
		for _, r := range routers {
			updates -= r.Counters().Updates
		}
		start, cpuStart := environment.Now(), processCPUTime()
		speaker.Set(routes)
		for _, r := range routers {
			for !converged(r.RoutesFrom(1)) {
				if !env.SleepContext(ctx, environment, time.Millisecond) {
					return ctx.Err()
				}
			}
		}
		elapsed, cpuUsed := environment.Now()-start, processCPUTime()-cpuStart
		for _, r := range routers {
			updates += r.Counters().Updates
		}
		updatesPerPeer := float64(updates) / float64(peers)
		fmt.Fprintf(tw, "| %s\t| %.3f\t| %.3f\t| %.1f\t| %.0f\t|\n", name, elapsed.Seconds(), cpuUsed.Seconds(), updatesPerPeer, float64(prefixes)/max(updatesPerPeer, 1))
		return nil
	}
	routesWith := func(path bgp.Path) (list []bgp.Route) {
		for i := range prefixes {
			addr := netip.AddrFrom4([4]byte{10, byte(i >> 16), byte(i >> 8), byte(i)})
			if i%4 == 0 {
				addr6 := netip.MustParseAddr("2001:db8::").As16()
				addr6[13], addr6[14], addr6[15] = byte(i>>16), byte(i>>8), byte(i)
				addr = netip.AddrFrom16(addr6)
			}
			list = append(list, bgp.Route{Prefix: netip.PrefixFrom(addr, addr.BitLen()), Path: path})
		}
		return list
	}
	full, lastResort := bgp.Path{MED: 100}, bgp.Path{MED: 1000, Prepend: 3, Shutdown: true}
	hasOnly := func(want bgp.Path) func(map[netip.Prefix]bgp.Path) bool {
		return func(routes map[netip.Prefix]bgp.Path) bool {
			for _, got := range routes {
				if got != want {
					return false
				}
			}
			return len(routes) == prefixes
		}
	}
	if err := measureStage("sessions and first announcement", routesWith(full), hasOnly(full)); err != nil {
		return err
	}
	memGrowth := float64(memoryInUse() - memBefore)
	if err := measureStage("all become a last resort", routesWith(lastResort), hasOnly(lastResort)); err != nil {
		return err
	}
	if err := measureStage("all withdrawn", nil, func(routes map[netip.Prefix]bgp.Path) bool { return len(routes) == 0 }); err != nil {
		return err
	}
	if err := tw.Flush(); err != nil {
		return err
	}
	_, err = fmt.Fprintf(out, "%d peers, %d prefixes: %.1f MiB of heap and stacks more than before the speaker, %.1f KiB a peer, the routers' tables included\n",
		peers, prefixes, memGrowth/(1<<20), memGrowth/1024/float64(peers))
	return err
}
