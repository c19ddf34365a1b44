package lab

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"text/tabwriter"
	"time"

	"merlinhitch/internal/control/settings"
	"merlinhitch/internal/observe/chart"
	"merlinhitch/internal/verify/trail"
)

// RegionCost is what losses of a region cost, over days that differ in their seed alone.
type RegionCost struct {
	Rows   []*CostRow
	Limits []*LimitRow
}

// CostRow is one kind of loss.
type CostRow struct {
	Name    string
	Days    int
	Failed  []string
	Outages []time.Duration // of shards that were taken over
	Lost    []float64       // worth not served of what was asked for from the loss on, in seconds of a calm day's worth
	Back    []time.Duration // from the loss until goodput is back
	Never   int             // days on which it was not, while the region was lost
	Writes  int             // acknowledged before their copy, and lost
	curve   []float64       // mean goodput by second of the day
}

// LimitRow is what limited volumes got through a cut.
type LimitRow struct {
	Name string
	Days int
	Part []float64 // of what their limits bear from the cut to its end
}

const (
	costHosts, costServers = 4, 8
	costLoss               = 20 * time.Second // into the day
	costGone               = 25 * time.Second
	costDay                = 75 * time.Second
	costRate               = 120.0
	// backAt is the goodput that counts as back.
	backAt = 0.9
)

// costKinds are the losses that are measured.
var costKinds = []struct {
	name   string
	script func(rng *rand.Rand) []ScheduledFault
}{
	{"the region that does not lead is lost", func(rng *rand.Rand) []ScheduledFault {
		return []ScheduledFault{{Kind: "region_loss", Seed: struck(rng, 1)}}
	}},
	{"the leading region is lost, an operator says so", func(rng *rand.Rand) []ScheduledFault {
		return []ScheduledFault{{Kind: "region_loss", Seed: struck(rng, 0)}}
	}},
	{"the regions are cut from each other", func(*rand.Rand) []ScheduledFault { return []ScheduledFault{{Kind: "region_cut"}} }},
	{"lost at opening time, 1.7 to 2.4 times the load", func(rng *rand.Rand) []ScheduledFault {
		return []ScheduledFault{{Kind: "region_loss", Seed: struck(rng, 1)}, {Kind: "burst", Seed: rng.Uint64()}}
	}},
}

// struck draws a strike's seed that hits that region.
func struck(rng *rand.Rand, region int) uint64 {
	for {
		seed := rng.Uint64()
		if rand.New(rand.NewPCG(seed, 4)).IntN(2) == region {
			return seed
		}
	}
}

// RegionCosts plays so many days of each kind in virtual worlds.
func RegionCosts(ctx context.Context, seeds uint64, parallel int, progress io.Writer) (*RegionCost, error) {
	c := &RegionCost{}
	for _, k := range costKinds {
		c.Rows = append(c.Rows, &CostRow{Name: k.name, curve: make([]float64, int(costDay/time.Second))})
	}
	for _, way := range []string{"parts that move", "parts fixed for ever"} {
		c.Limits = append(c.Limits, &LimitRow{Name: way})
	}
	err := runSeeds(len(c.Rows)+len(c.Limits), int(seeds), max(parallel, 1), progress, func(row int, seed uint64) (string, func(), error) {
		if k := row - len(c.Rows); k >= 0 {
			s, units := limitScene(seed, k == 1)
			_, err := s.Run(ctx, "")
			return c.Limits[k].Name, func() { c.Limits[k].add(units) }, cmp.Or(ctx.Err(), err)
		}
		s, r := costScene(seed), c.Rows[row]
		for _, t := range costKinds[row].script(rand.New(rand.NewPCG(seed-1, 41))) {
			t.At, t.Duration = costLoss, costGone
			s.Faults = append(s.Faults, t)
		}
		out, err := s.Run(ctx, "")
		return r.Name, func() { r.add(out) }, cmp.Or(ctx.Err(), err)
	})
	return c, err
}

func costScene(seed uint64) Scenario {
	return Scenario{Seed: seed, Hosts: costHosts, Servers: costServers, Commands: int(costDay.Seconds() * costRate), Rate: costRate, Regions: true}
}

func (r *CostRow) add(o *Outcome) {
	r.Days++
	if o.Failure != nil {
		r.Failed = append(r.Failed, fmt.Sprintf("seed %d: %v", o.Scenario.Seed, o.Failure))
	}
	r.Outages, r.Writes = append(r.Outages, o.Outages...), r.Writes+o.LostWrites
	t := o.Checker.Stats
	day := int64(costDay / time.Second)
	calm, n := 0.0, 0.0
	for s := int64(5); s < int64(costLoss/time.Second); s++ {
		if x := t.PerSecond[s]; x != nil {
			calm, n = calm+x.Offered, n+1
		}
	}
	lost, back := 0.0, time.Duration(-1)
	for s := range day {
		x := t.PerSecond[s]
		if x == nil || x.Offered == 0 {
			r.curve[s]++
			continue
		}
		r.curve[s] += x.Served / x.Offered
		if s < int64(costLoss/time.Second) {
			continue
		}
		lost += x.Offered - x.Served
		if back < 0 && s > int64(costLoss/time.Second)+1 && t.GoodputBetween(s, s+3) >= backAt {
			back = time.Duration(s)*time.Second - costLoss
		}
	}
	r.Lost = append(r.Lost, lost/(calm/n))
	if back < 0 || back > costGone {
		r.Never++
	}
	if back >= 0 {
		r.Back = append(r.Back, back)
	}
}

// limitScene asks for far more than limits bear, all day, and cuts the regions from each
// other. The units of limited volumes that went out from the cut to its end are added up.
func limitScene(seed uint64, fixed bool) (Scenario, *limitCount) {
	n := &limitCount{limited: map[string]bool{}}
	s := costScene(seed)
	s.fixedShares = fixed
	s.Faults = []ScheduledFault{{Kind: "region_cut", At: costLoss, Duration: costGone}}
	s.changeSettings = func(set *settings.Settings) {
		for i := range set.Plans {
			if p := &set.Plans[i]; p.Limit > 0 {
				p.Limit, p.Burst, p.Overdraft = 4, 12, 10
				for _, v := range set.Volumes {
					if v.Plan == p.Name {
						n.limited[v.Name], n.bears = true, n.bears+p.Limit*costGone.Seconds()
					}
				}
			}
		}
		for i := range set.Volumes { // the limited ones are most of what is asked for
			if v := &set.Volumes[i]; n.limited[v.Name] {
				v.Rate = 10 * set.RateOf(v)
			}
		}
	}
	s.onEvent = func(e *trail.Event) {
		at := time.Duration(e.Time) * time.Microsecond
		if e.Kind == trail.Do && e.Attempt == 0 && n.limited[e.Volume] && at >= costLoss && at < costLoss+costGone {
			n.units += e.Units
		}
	}
	return s, n
}

type limitCount struct {
	limited map[string]bool
	bears   float64 // what limits bear in that time, the impossible best
	units   float64
}

func (r *LimitRow) add(n *limitCount) {
	r.Days++
	r.Part = append(r.Part, n.units/n.bears)
}

// Print writes the tables.
func (c *RegionCost) Print(w io.Writer) error {
	tw := tabwriter.NewWriter(w, 0, 0, 1, ' ', 0)
	fmt.Fprintln(tw, "| what happens\t| days\t| failed\t| shards taken over\t| s not served: least\t| median\t| 90%\t| most\t| worth lost, s of a calm day: median\t| 90%\t| most\t| goodput 0.9 again after, s: median\t| most\t| never while it lasts\t| writes lost\t|")
	fmt.Fprintln(tw, "| ---\t| ---\t| ---\t| ---\t| ---\t| ---\t| ---\t| ---\t| ---\t| ---\t| ---\t| ---\t| ---\t| ---\t| ---\t|")
	for _, r := range c.Rows {
		out := spreadOf(r.Outages, time.Duration.Seconds)
		lost := spreadOf(r.Lost, func(x float64) float64 { return x })
		back := spreadOf(r.Back, time.Duration.Seconds)
		fmt.Fprintf(tw, "| %s\t| %d\t| %d\t| %d\t| %.1f\t| %.1f\t| %.1f\t| %.1f\t| %.1f\t| %.1f\t| %.1f\t| %.0f\t| %.0f\t| %d\t| %d\t|\n", r.Name, r.Days, len(r.Failed), len(r.Outages),
			out[0], out[1], out[2], out[3], lost[1], lost[2], lost[3], back[1], back[3], r.Never, r.Writes)
	}
	if err := tw.Flush(); err != nil {
		return err
	}
	fmt.Fprintln(w)
	fmt.Fprintln(tw, "| limits through a cut of 25 s, three times as much asked for\t| days\t| part of the limit served: least\t| median\t| most\t|")
	fmt.Fprintln(tw, "| ---\t| ---\t| ---\t| ---\t| ---\t|")
	for _, r := range c.Limits {
		q := spreadOf(r.Part, func(x float64) float64 { return x })
		fmt.Fprintf(tw, "| %s\t| %d\t| %.3f\t| %.3f\t| %.3f\t|\n", r.Name, r.Days, q[0], q[1], q[3])
	}
	fmt.Fprintln(tw, "| the impossible best\t| \t| 1\t| 1\t| 1\t|")
	if err := tw.Flush(); err != nil {
		return err
	}
	for _, r := range c.Rows {
		for _, f := range r.Failed {
			fmt.Fprintf(w, "FAILED, %s, %s\n", r.Name, f)
		}
	}
	return nil
}

// spreadOf are the least, the median, the 90th percentile and the most.
func spreadOf[T any](list []T, value func(T) float64) (out [4]float64) {
	if len(list) == 0 {
		return out
	}
	xs := make([]float64, len(list))
	for i, x := range list {
		xs[i] = value(x)
	}
	slices.Sort(xs)
	last := float64(len(xs) - 1)
	for i, q := range []float64{0, 0.5, 0.9, 1} {
		out[i] = xs[int(q*last+0.5)]
	}
	return out
}

// Charts draws goodput over the day and the outages.
func (c *RegionCost) Charts(dir string) error {
	if err := os.MkdirAll(dir, 0o777); err != nil {
		return err
	}
	var good, outages []chart.Series
	for _, r := range c.Rows {
		g := chart.Series{Name: r.Name}
		for s, x := range r.curve {
			g.X, g.Y = append(g.X, float64(s)), append(g.Y, x/float64(max(r.Days, 1)))
		}
		good = append(good, g)
		o := chart.Series{Name: r.Name}
		slices.Sort(r.Outages)
		for i, d := range r.Outages {
			o.X, o.Y = append(o.X, d.Seconds()), append(o.Y, float64(i+1)/float64(len(r.Outages)))
		}
		if len(o.X) > 0 {
			outages = append(outages, o)
		}
	}
	if err := chart.Lines(filepath.Join(dir, "region-goodput.png"), "goodput, a region lost from 20 to 45 s", "s", "part of the worth asked for", good...); err != nil {
		return err
	}
	return chart.Lines(filepath.Join(dir, "region-outages.png"), "time without service of shards taken over", "s", "part of the shards", outages...)
}
