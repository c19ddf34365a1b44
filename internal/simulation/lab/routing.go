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

// Ways in which clients find a host.
const (
	RouteAnnounced = "announced"
	RouteFixed     = "fixed"
)

// addressGroupCount is the number of address addressGroupCount of an announced service in the lab.
const addressGroupCount = 6

// AnnouncedSettings is the example's service with every volume at every host, in
// groups with an address each.
func AnnouncedSettings(hosts, servers int) *settings.Settings {
	s := settings.Example(hosts, servers)
	all := make([]int, hosts)
	for i := range all {
		all[i] = i
	}
	s.Announce = &settings.Announce{AS: 65001, HoldTime: 9000, StableTime: 500, MaxLastResortTime: 2000, MaxStableTime: 5000, DrainTime: 500}
	for g := range addressGroupCount {
		s.Announce.Groups = append(s.Announce.Groups, settings.AddressGroup{Name: fmt.Sprintf("group-%d", g), Prefixes: []string{groupPrefix(g).String()}})
	}
	for i := range s.Volumes {
		v := &s.Volumes[i]
		v.Hosts = all
		g := &s.Announce.Groups[groupOfVolume(i)]
		g.Volumes = append(g.Volumes, v.Name)
	}
	return s
}

// groupOfVolume is the group of a volume: each has volumes of every hall.
func groupOfVolume(v int) int { return v / len(Halls) % addressGroupCount }

func groupPrefix(g int) netip.Prefix {
	return netip.PrefixFrom(netip.AddrFrom4([4]byte{10, 1, 0, byte(g)}), 32)
}

// setRouting has clients choose hosts by rendezvous hashing: among those that the router's
// best routes to the volume's address lead to, or among all, up or down.
func (c *Clients) setRouting(how string) {
	if how == "" {
		return
	}
	c.choosePath = func(v int) *clientPath {
		lanes := c.paths[v]
		if how == RouteAnnounced {
			best := c.fleet.Router.BestRoutes(groupPrefix(groupOfVolume(v)))
			lanes = slices.DeleteFunc(slices.Clone(lanes), func(l *clientPath) bool {
				for _, r := range best {
					if r.Host == routerID(l.host) {
						return false
					}
				}
				return true
			})
		}
		return rendezvousLane(lanes)
	}
}

// awaitRoutes waits until every host announces every group, or for so long.
func (f *Fleet) awaitRoutes(ctx context.Context, most time.Duration) {
	for end := f.Environment.Now() + most; f.Environment.Now() < end; {
		missing := false
		for g := range addressGroupCount {
			missing = missing || len(f.Router.BestRoutes(groupPrefix(g))) < len(f.hosts)
		}
		if !missing || !env.SleepContext(ctx, f.Environment, 20*time.Millisecond) {
			return
		}
	}
}

// rendezvousLane picks the lane whose hash with the volume is highest, so that a host that
// comes or goes moves only its own clients.
func rendezvousLane(lanes []*clientPath) (best *clientPath) {
	high := uint64(0)
	for _, l := range lanes {
		if h := xxhash.Sum64String(fmt.Sprintf("%s at %d", l.volume.Name, l.host)); best == nil || h > high {
			best, high = l, h
		}
	}
	return best
}

// RouteScenarios are the days on which announcements are measured.
var RouteScenarios = []string{"a hall dark", "hosts killed"}

// scheduleHallOutage ends a hall's servers and hosts for two fifths of the day.
func scheduleHallOutage(d *dayRun, span time.Duration) {
	f := d.fleet
	hall := Halls[d.options.Seed%uint64(len(Halls))]
	f.afterFunc(span*3/10, func() {
		for i, k := range f.disks {
			if k.zone == hall {
				f.KillDisk(i, span*4/10)
			}
		}
		for i := range f.hosts {
			if Halls[i%len(Halls)] == hall {
				f.KillHost(i, span*4/10)
			}
		}
	})
}

// scheduleHostKills ends each host once, one after the other, for a sixth of the day.
func scheduleHostKills(d *dayRun, span time.Duration) {
	rng := rand.New(rand.NewPCG(d.options.Seed, 13))
	for k, i := range rng.Perm(d.options.Hosts) {
		d.fleet.afterFunc(span*time.Duration(1+2*k)/8, func() { d.fleet.KillHost(i, span/6) })
	}
}

// RouteRow is one kind of day with clients routed in one way.
type RouteRow struct {
	Scenario, Routing          string
	Runs, Broken               int
	WantedGoodput              []float64
	NoHost, Unanswered, Issued int
	Refused, Failed            int
	FirstFailure               string
}

// CompareRouting plays the days over seeds with announcements on and off.
func CompareRouting(ctx context.Context, opt Options, n, parallel int, progress io.Writer) ([]RouteRow, error) {
	rows := make([]RouteRow, 2*len(RouteScenarios))
	return rows, runSeeds(len(rows), n, parallel, progress, func(row int, seed uint64) (string, func(), error) {
		o := opt
		o.Seed, o.Progress, o.FaultKinds = seed, nil, []string{"none"}
		o.Settings = AnnouncedSettings(opt.Hosts, opt.Servers)
		o.onStart = []func(*dayRun, time.Duration){scheduleHallOutage, scheduleHostKills}[row/2]
		o.Routing = []string{RouteFixed, RouteAnnounced}[row%2]
		res, err := BadDay(ctx, o)
		return RouteScenarios[row/2] + ", " + o.Routing, func() { rows[row].add(RouteScenarios[row/2], o.Routing, seed, res) }, err
	})
}

func (r *RouteRow) add(name, routing string, seed uint64, res *Result) {
	r.Scenario, r.Routing = name, routing
	r.Runs++
	r.WantedGoodput = append(r.WantedGoodput, res.GoodputWithUnrouted)
	r.NoHost, r.Unanswered = r.NoHost+res.Unrouted, r.Unanswered+res.Unanswered
	for _, x := range res.Checker.Stats.ByClass {
		r.Refused, r.Failed, r.Issued = r.Refused+x.Refused, r.Failed+x.Failed, r.Issued+x.Issued
	}
	r.Issued += res.Unrouted
	if !res.OK() {
		if r.Broken++; r.FirstFailure == "" {
			r.FirstFailure = fmt.Sprintf("seed %d: %s", seed, res.failureSummary())
		}
	}
}

// PrintRoutes writes the rows as a table that is also Markdown.
func PrintRoutes(w io.Writer, rows []RouteRow) error {
	tw := tabwriter.NewWriter(w, 0, 0, 1, ' ', 0)
	fmt.Fprintln(tw, "| day\t| clients routed\t| days\t| broken\t| wanted\t| found no host\t| unanswered\t| refused\t| failed\t| worth served least\t| median\t| most\t|")
	fmt.Fprintln(tw, "| ---\t| ---\t| ---\t| ---\t| ---\t| ---\t| ---\t| ---\t| ---\t| ---\t| ---\t| ---\t|")
	for _, r := range rows {
		slices.Sort(r.WantedGoodput)
		fmt.Fprintf(tw, "| %s\t| %s\t| %d\t| %d\t| %d\t| %d\t| %d\t| %d\t| %d\t| %.3f\t| %.3f\t| %.3f\t|\n", r.Scenario, r.Routing, r.Runs, r.Broken, r.Issued, r.NoHost,
			r.Unanswered, r.Refused, r.Failed, r.WantedGoodput[0], r.WantedGoodput[len(r.WantedGoodput)/2], r.WantedGoodput[len(r.WantedGoodput)-1])
	}
	if err := tw.Flush(); err != nil {
		return err
	}
	for _, r := range rows {
		if r.FirstFailure != "" {
			fmt.Fprintf(w, "BROKEN, %s, %s: %s\n", r.Scenario, r.Routing, r.FirstFailure)
		}
	}
	return nil
}
