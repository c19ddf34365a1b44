package lab

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/netip"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/cespare/xxhash/v2"

	"merlinhitch/internal/control/settings"
	"merlinhitch/internal/runtime/env"
)

// Values of Options.Routing: how clients choose a host.
const (
	RouteAnnounced = "announced"
	RouteFixed     = "fixed"
)

// addressGroupCount is the number of address groups in AnnouncedSettings.
const addressGroupCount = 6

// AnnouncedSettings returns the example settings with every volume on every host and the volumes
// in groups with one announced prefix each.
func AnnouncedSettings(hosts, servers int) *settings.Settings {
	announced := settings.Example(hosts, servers)
	allHosts := make([]int, hosts)
	for i := range allHosts {
		allHosts[i] = i
	}
	announced.Announce = &settings.Announce{AS: 65001, HoldTime: 9000, StableTime: 500, MaxLastResortTime: 2000, MaxStableTime: 5000, DrainTime: 500}
	for group := range addressGroupCount {
		announced.Announce.Groups = append(announced.Announce.Groups, settings.AddressGroup{Name: fmt.Sprintf("group-%d", group), Prefixes: []string{groupPrefix(group).String()}})
	}
	for i := range announced.Volumes {
		volume := &announced.Volumes[i]
		volume.Hosts = allHosts
		group := &announced.Announce.Groups[groupOfVolume(i)]
		group.Volumes = append(group.Volumes, volume.Name)
	}
	return announced
}

// groupOfVolume returns the group of the volume with an index. Each group has volumes of every hall.
func groupOfVolume(volume int) int { return volume / len(Halls) % addressGroupCount }

func groupPrefix(group int) netip.Prefix {
	return netip.PrefixFrom(netip.AddrFrom4([4]byte{10, 1, 0, byte(group)}), 32)
}

// setRouting has clients choose hosts by rendezvous hashing, for RouteAnnounced among the hosts of
// the router's best routes to the volume's prefix, else among all hosts, running or not. "" leaves
// the choice as it is.
func (c *Clients) setRouting(routing string) {
	if routing == "" {
		return
	}
	c.choosePath = func(volume int) *clientPath {
		paths := c.paths[volume]
		if routing == RouteAnnounced {
			best := c.fleet.Router.BestRoutes(groupPrefix(groupOfVolume(volume)))
			paths = slices.DeleteFunc(slices.Clone(paths), func(path *clientPath) bool {
				for _, r := range best {
					if r.Host == routerID(path.host) {
						return false
					}
				}
				return true
			})
		}
		return rendezvousPath(paths)
	}
}

// awaitRoutes waits until every host announces every group, at most for the timeout.
func (f *Fleet) awaitRoutes(ctx context.Context, timeout time.Duration) {
	for deadline := f.Environment.Now() + timeout; f.Environment.Now() < deadline; {
		missing := false
		for g := range addressGroupCount {
			missing = missing || len(f.Router.BestRoutes(groupPrefix(g))) < len(f.hosts)
		}
		if !missing || !env.SleepContext(ctx, f.Environment, 20*time.Millisecond) {
			return
		}
	}
}

// rendezvousPath returns the path with the highest hash of volume and host, so that a host that
// starts or stops moves only its own clients.
func rendezvousPath(paths []*clientPath) (best *clientPath) {
	highest := uint64(0)
	for _, path := range paths {
		if hash := xxhash.Sum64String(fmt.Sprintf("%s at %d", path.volume.Name, path.host)); best == nil || hash > highest {
			best, highest = path, hash
		}
	}
	return best
}

// RouteScenarios names the scenarios in which CompareRouting compares the choices of hosts.
var RouteScenarios = []string{"a hall dark", "hosts killed"}

// scheduleHallOutage stops the disk servers and hosts of a hall for two fifths of the run.
func scheduleHallOutage(run *dayRun, duration time.Duration) {
	fleet := run.fleet
	hall := Halls[run.options.Seed%uint64(len(Halls))]
	fleet.afterFunc(duration*3/10, func() {
		for i, disk := range fleet.disks {
			if disk.zone == hall {
				fleet.KillDisk(i, duration*4/10)
			}
		}
		for i := range fleet.hosts {
			if Halls[i%len(Halls)] == hall {
				fleet.KillHost(i, duration*4/10)
			}
		}
	})
}

// scheduleHostKills kills each host once, one after the other, for a sixth of the run.
func scheduleHostKills(run *dayRun, duration time.Duration) {
	rng := rand.New(rand.NewPCG(run.options.Seed, 13))
	for order, host := range rng.Perm(run.options.Hosts) {
		run.fleet.afterFunc(duration*time.Duration(1+2*order)/8, func() { run.fleet.KillHost(host, duration/6) })
	}
}

// RouteRow summarizes the runs of one scenario with one way of choosing hosts.
type RouteRow struct {
	Scenario, Routing            string
	Runs, Broken                 int
	GoodputWithUnrouted          []float64
	Unrouted, Unanswered, Issued int
	Refused, Failed              int
	FirstFailure                 string
}

// CompareRouting runs each scenario with the seeds 1 to n, with a fixed choice of hosts and with
// the choice by announcements.
func CompareRouting(ctx context.Context, options Options, seeds, parallel int, progress io.Writer) ([]RouteRow, error) {
	rows := make([]RouteRow, 2*len(RouteScenarios))
	return rows, runSeeds(len(rows), seeds, parallel, progress, func(row int, seed uint64) (string, func(), error) {
		runOptions := options
		runOptions.Seed, runOptions.Progress, runOptions.FaultKinds = seed, nil, []string{"none"}
		runOptions.Settings = AnnouncedSettings(options.Hosts, options.Servers)
		runOptions.onStart = []func(*dayRun, time.Duration){scheduleHallOutage, scheduleHostKills}[row/2]
		runOptions.Routing = []string{RouteFixed, RouteAnnounced}[row%2]
		result, err := BadDay(ctx, runOptions)
		return RouteScenarios[row/2] + ", " + runOptions.Routing, func() { rows[row].add(RouteScenarios[row/2], runOptions.Routing, seed, result) }, err
	})
}

func (r *RouteRow) add(scenario, routing string, seed uint64, result *Result) {
	r.Scenario, r.Routing = scenario, routing
	r.Runs++
	r.GoodputWithUnrouted = append(r.GoodputWithUnrouted, result.GoodputWithUnrouted)
	r.Unrouted, r.Unanswered = r.Unrouted+result.Unrouted, r.Unanswered+result.Unanswered
	for _, class := range result.Checker.Stats.ByClass {
		r.Refused, r.Failed, r.Issued = r.Refused+class.Refused, r.Failed+class.Failed, r.Issued+class.Issued
	}
	r.Issued += result.Unrouted
	if !result.OK() {
		if r.Broken++; r.FirstFailure == "" {
			r.FirstFailure = fmt.Sprintf("seed %d: %s", seed, result.failureSummary())
		}
	}
}

// PrintRoutes writes the rows as a Markdown table, and the first failure of each row.
func PrintRoutes(w io.Writer, rows []RouteRow) error {
	tw := tabwriter.NewWriter(w, 0, 0, 1, ' ', 0)
	fmt.Fprintln(tw, "| day\t| clients routed\t| days\t| broken\t| wanted\t| found no host\t| unanswered\t| refused\t| failed\t| worth served least\t| median\t| most\t|")
	fmt.Fprintln(tw, "| ---\t| ---\t| ---\t| ---\t| ---\t| ---\t| ---\t| ---\t| ---\t| ---\t| ---\t| ---\t|")
	for _, row := range rows {
		slices.Sort(row.GoodputWithUnrouted)
		fmt.Fprintf(tw, "| %s\t| %s\t| %d\t| %d\t| %d\t| %d\t| %d\t| %d\t| %d\t| %.3f\t| %.3f\t| %.3f\t|\n", row.Scenario, row.Routing, row.Runs, row.Broken, row.Issued, row.Unrouted,
			row.Unanswered, row.Refused, row.Failed, row.GoodputWithUnrouted[0], row.GoodputWithUnrouted[len(row.GoodputWithUnrouted)/2], row.GoodputWithUnrouted[len(row.GoodputWithUnrouted)-1])
	}
	if err := tw.Flush(); err != nil {
		return err
	}
	for _, row := range rows {
		if row.FirstFailure != "" {
			fmt.Fprintf(w, "BROKEN, %s, %s: %s\n", row.Scenario, row.Routing, row.FirstFailure)
		}
	}
	return nil
}
