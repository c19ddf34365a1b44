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

// RegionLossCosts is what losses of a region cost, over days that differ in their seed alone.
type RegionLossCosts struct {
	Losses []*RegionLossRow
	Limits []*LimitShareRow
}

// RegionLossRow is one kind of loss.
type RegionLossRow struct {
	Name            string
	Runs            int
	Failures        []string
	Outages         []time.Duration // of shards that were taken over
	LostWorth       []float64       // worth not served of what was asked for from the loss on, in seconds of a calm day's worth
	RecoveryTimes   []time.Duration // from the loss until goodput is back
	NotRecovered    int             // days on which it was not, while the region was lost
	LostAckedWrites int             // acknowledged before their copy, and lost
	goodputSum      []float64       // mean goodput by second of the day
}

// LimitShareRow is what limited volumes got through a cut.
type LimitShareRow struct {
	Name         string
	Runs         int
	ServedShares []float64 // of what their limits bear from the cut to its end
}

const (
	costHosts, costServers = 4, 8
	costLossStart          = 20 * time.Second // into the day
	costLossDuration       = 25 * time.Second
	costRunDuration        = 75 * time.Second
	costRate               = 120.0
	// recoveredGoodput is the goodput that counts as back.
	recoveredGoodput = 0.9
)

// costCases are the losses that are measured.
var costCases = []struct {
	name   string
	script func(rng *rand.Rand) []ScheduledFault
}{
	{"the region that does not lead is lost", func(rng *rand.Rand) []ScheduledFault {
		return []ScheduledFault{{Kind: "region_loss", Seed: faultSeedForRegion(rng, 1)}}
	}},
	{"the leading region is lost, an operator says so", func(rng *rand.Rand) []ScheduledFault {
		return []ScheduledFault{{Kind: "region_loss", Seed: faultSeedForRegion(rng, 0)}}
	}},
	{"the regions are cut from each other", func(*rand.Rand) []ScheduledFault { return []ScheduledFault{{Kind: "region_cut"}} }},
	{"lost at opening time, 1.7 to 2.4 times the load", func(rng *rand.Rand) []ScheduledFault {
		return []ScheduledFault{{Kind: "region_loss", Seed: faultSeedForRegion(rng, 1)}, {Kind: "burst", Seed: rng.Uint64()}}
	}},
}

// faultSeedForRegion draws a strike's seed that hits that region.
func faultSeedForRegion(rng *rand.Rand, region int) uint64 {
	for {
		seed := rng.Uint64()
		if rand.New(rand.NewPCG(seed, 4)).IntN(2) == region {
			return seed
		}
	}
}

// MeasureRegionLosses plays so many days of each kind in virtual worlds.
func MeasureRegionLosses(ctx context.Context, seeds uint64, parallel int, progress io.Writer) (*RegionLossCosts, error) {
	c := &RegionLossCosts{}
	for _, k := range costCases {
		c.Losses = append(c.Losses, &RegionLossRow{Name: k.name, goodputSum: make([]float64, int(costRunDuration/time.Second))})
	}
	for _, way := range []string{"parts that move", "parts fixed for ever"} {
		c.Limits = append(c.Limits, &LimitShareRow{Name: way})
	}
	err := runSeeds(len(c.Losses)+len(c.Limits), int(seeds), max(parallel, 1), progress, func(row int, seed uint64) (string, func(), error) {
		if k := row - len(c.Losses); k >= 0 {
			s, units := limitScenario(seed, k == 1)
			_, err := s.Run(ctx, "")
			return c.Limits[k].Name, func() { c.Limits[k].add(units) }, cmp.Or(ctx.Err(), err)
		}
		s, r := costScenario(seed), c.Losses[row]
		for _, t := range costCases[row].script(rand.New(rand.NewPCG(seed-1, 41))) {
			t.At, t.Duration = costLossStart, costLossDuration
			s.Faults = append(s.Faults, t)
		}
		out, err := s.Run(ctx, "")
		return r.Name, func() { r.add(out) }, cmp.Or(ctx.Err(), err)
	})
	return c, err
}

func costScenario(seed uint64) Scenario {
	return Scenario{Seed: seed, Hosts: costHosts, Servers: costServers, Commands: int(costRunDuration.Seconds() * costRate), Rate: costRate, Regions: true}
}

func (r *RegionLossRow) add(o *Outcome) {
	r.Runs++
	if o.Failure != nil {
		r.Failures = append(r.Failures, fmt.Sprintf("seed %d: %v", o.Scenario.Seed, o.Failure))
	}
	r.Outages, r.LostAckedWrites = append(r.Outages, o.Outages...), r.LostAckedWrites+o.LostWrites
	t := o.Checker.Stats
	day := int64(costRunDuration / time.Second)
	calm, n := 0.0, 0.0
	for s := int64(5); s < int64(costLossStart/time.Second); s++ {
		if x := t.PerSecond[s]; x != nil {
			calm, n = calm+x.Offered, n+1
		}
	}
	lost, back := 0.0, time.Duration(-1)
	for s := range day {
		x := t.PerSecond[s]
		if x == nil || x.Offered == 0 {
			r.goodputSum[s]++
			continue
		}
		r.goodputSum[s] += x.Served / x.Offered
		if s < int64(costLossStart/time.Second) {
			continue
		}
		lost += x.Offered - x.Served
		if back < 0 && s > int64(costLossStart/time.Second)+1 && t.GoodputBetween(s, s+3) >= recoveredGoodput {
			back = time.Duration(s)*time.Second - costLossStart
		}
	}
	r.LostWorth = append(r.LostWorth, lost/(calm/n))
	if back < 0 || back > costLossDuration {
		r.NotRecovered++
	}
	if back >= 0 {
		r.RecoveryTimes = append(r.RecoveryTimes, back)
	}
}

// limitScenario asks for far more than limits bear, all day, and cuts the regions from each
// other. The units of limited volumes that went out from the cut to its end are added up.
func limitScenario(seed uint64, fixed bool) (Scenario, *limitUsage) {
	n := &limitUsage{limited: map[string]bool{}}
	s := costScenario(seed)
	s.fixedShares = fixed
	s.Faults = []ScheduledFault{{Kind: "region_cut", At: costLossStart, Duration: costLossDuration}}
	s.changeSettings = func(set *settings.Settings) {
		for i := range set.Plans {
			if p := &set.Plans[i]; p.Limit > 0 {
				p.Limit, p.Burst, p.Overdraft = 4, 12, 10
				for _, v := range set.Volumes {
					if v.Plan == p.Name {
						n.limited[v.Name], n.allowedUnits = true, n.allowedUnits+p.Limit*costLossDuration.Seconds()
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
		if e.Kind == trail.Do && e.Attempt == 0 && n.limited[e.Volume] && at >= costLossStart && at < costLossStart+costLossDuration {
			n.servedUnits += e.Units
		}
	}
	return s, n
}

type limitUsage struct {
	limited      map[string]bool
	allowedUnits float64 // what limits bear in that time, the impossible best
	servedUnits  float64
}

func (r *LimitShareRow) add(n *limitUsage) {
	r.Runs++
	r.ServedShares = append(r.ServedShares, n.servedUnits/n.allowedUnits)
}

// Print writes the tables.
func (c *RegionLossCosts) Print(w io.Writer) error {
	tw := tabwriter.NewWriter(w, 0, 0, 1, ' ', 0)
	fmt.Fprintln(tw, "| what happens\t| days\t| failed\t| shards taken over\t| s not served: least\t| median\t| 90%\t| most\t| worth lost, s of a calm day: median\t| 90%\t| most\t| goodput 0.9 again after, s: median\t| most\t| never while it lasts\t| writes lost\t|")
	fmt.Fprintln(tw, "| ---\t| ---\t| ---\t| ---\t| ---\t| ---\t| ---\t| ---\t| ---\t| ---\t| ---\t| ---\t| ---\t| ---\t| ---\t|")
	for _, r := range c.Losses {
		out := summaryQuantiles(r.Outages, time.Duration.Seconds)
		lost := summaryQuantiles(r.LostWorth, func(x float64) float64 { return x })
		back := summaryQuantiles(r.RecoveryTimes, time.Duration.Seconds)
		fmt.Fprintf(tw, "| %s\t| %d\t| %d\t| %d\t| %.1f\t| %.1f\t| %.1f\t| %.1f\t| %.1f\t| %.1f\t| %.1f\t| %.0f\t| %.0f\t| %d\t| %d\t|\n", r.Name, r.Runs, len(r.Failures), len(r.Outages),
			out[0], out[1], out[2], out[3], lost[1], lost[2], lost[3], back[1], back[3], r.NotRecovered, r.LostAckedWrites)
	}
	if err := tw.Flush(); err != nil {
		return err
	}
	fmt.Fprintln(w)
	fmt.Fprintln(tw, "| limits through a cut of 25 s, three times as much asked for\t| days\t| part of the limit served: least\t| median\t| most\t|")
	fmt.Fprintln(tw, "| ---\t| ---\t| ---\t| ---\t| ---\t|")
	for _, r := range c.Limits {
		q := summaryQuantiles(r.ServedShares, func(x float64) float64 { return x })
		fmt.Fprintf(tw, "| %s\t| %d\t| %.3f\t| %.3f\t| %.3f\t|\n", r.Name, r.Runs, q[0], q[1], q[3])
	}
	fmt.Fprintln(tw, "| the impossible best\t| \t| 1\t| 1\t| 1\t|")
	if err := tw.Flush(); err != nil {
		return err
	}
	for _, r := range c.Losses {
		for _, f := range r.Failures {
			fmt.Fprintf(w, "FAILED, %s, %s\n", r.Name, f)
		}
	}
	return nil
}

// summaryQuantiles are the least, the median, the 90th percentile and the most.
func summaryQuantiles[T any](list []T, value func(T) float64) (out [4]float64) {
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
func (c *RegionLossCosts) Charts(dir string) error {
	if err := os.MkdirAll(dir, 0o777); err != nil {
		return err
	}
	var good, outages []chart.Series
	for _, r := range c.Losses {
		g := chart.Series{Name: r.Name}
		for s, x := range r.goodputSum {
			g.X, g.Y = append(g.X, float64(s)), append(g.Y, x/float64(max(r.Runs, 1)))
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
