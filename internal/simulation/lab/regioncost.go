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
func faultSeedForRegion(rng *rand.Rand, target int) uint64 {
	for {
		seed := rng.Uint64()
		if rand.New(rand.NewPCG(seed, 4)).IntN(2) == target {
			return seed
		}
	}
}

// MeasureRegionLosses plays so many days of each kind in virtual worlds.
func MeasureRegionLosses(ctx context.Context, seeds uint64, parallel int, progress io.Writer) (*RegionLossCosts, error) {
	costs := &RegionLossCosts{}
	for _, costCase := range costCases {
		costs.Losses = append(costs.Losses, &RegionLossRow{Name: costCase.name, goodputSum: make([]float64, int(costRunDuration/time.Second))})
	}
	for _, label := range []string{"parts that move", "parts fixed for ever"} {
		costs.Limits = append(costs.Limits, &LimitShareRow{Name: label})
	}
	err := runSeeds(len(costs.Losses)+len(costs.Limits), int(seeds), max(parallel, 1), progress, func(row int, seed uint64) (string, func(), error) {
		if limit := row - len(costs.Losses); limit >= 0 {
			scenario, usage := limitScenario(seed, limit == 1)
			_, err := scenario.Run(ctx, "")
			return costs.Limits[limit].Name, func() { costs.Limits[limit].add(usage) }, cmp.Or(ctx.Err(), err)
		}
		scenario, lossRow := costScenario(seed), costs.Losses[row]
		for _, fault := range costCases[row].script(rand.New(rand.NewPCG(seed-1, 41))) {
			fault.At, fault.Duration = costLossStart, costLossDuration
			scenario.Faults = append(scenario.Faults, fault)
		}
		outcome, err := scenario.Run(ctx, "")
		return lossRow.Name, func() { lossRow.add(outcome) }, cmp.Or(ctx.Err(), err)
	})
	return costs, err
}

func costScenario(seed uint64) Scenario {
	return Scenario{Seed: seed, Hosts: costHosts, Servers: costServers, Commands: int(costRunDuration.Seconds() * costRate), Rate: costRate, Regions: true}
}

func (r *RegionLossRow) add(outcome *Outcome) {
	r.Runs++
	if outcome.Failure != nil {
		r.Failures = append(r.Failures, fmt.Sprintf("seed %d: %v", outcome.Scenario.Seed, outcome.Failure))
	}
	r.Outages, r.LostAckedWrites = append(r.Outages, outcome.Outages...), r.LostAckedWrites+outcome.LostWrites
	stats := outcome.Checker.Stats
	duration := int64(costRunDuration / time.Second)
	calmWorth, calmSeconds := 0.0, 0.0
	for second := int64(5); second < int64(costLossStart/time.Second); second++ {
		if row := stats.PerSecond[second]; row != nil {
			calmWorth, calmSeconds = calmWorth+row.Offered, calmSeconds+1
		}
	}
	lostWorth, recovery := 0.0, time.Duration(-1)
	for second := range duration {
		row := stats.PerSecond[second]
		if row == nil || row.Offered == 0 {
			r.goodputSum[second]++
			continue
		}
		r.goodputSum[second] += row.Served / row.Offered
		if second < int64(costLossStart/time.Second) {
			continue
		}
		lostWorth += row.Offered - row.Served
		if recovery < 0 && second > int64(costLossStart/time.Second)+1 && stats.GoodputBetween(second, second+3) >= recoveredGoodput {
			recovery = time.Duration(second)*time.Second - costLossStart
		}
	}
	r.LostWorth = append(r.LostWorth, lostWorth/(calmWorth/calmSeconds))
	if recovery < 0 || recovery > costLossDuration {
		r.NotRecovered++
	}
	if recovery >= 0 {
		r.RecoveryTimes = append(r.RecoveryTimes, recovery)
	}
}

// limitScenario asks for far more than limits bear, all day, and cuts the regions from each
// other. The units of limited volumes that went out from the cut to its end are added up.
func limitScenario(seed uint64, fixed bool) (Scenario, *limitUsage) {
	usage := &limitUsage{limited: map[string]bool{}}
	scenario := costScenario(seed)
	scenario.fixedShares = fixed
	scenario.Faults = []ScheduledFault{{Kind: "region_cut", At: costLossStart, Duration: costLossDuration}}
	scenario.changeSettings = func(config *settings.Settings) {
		for i := range config.Plans {
			if plan := &config.Plans[i]; plan.Limit > 0 {
				plan.Limit, plan.Burst, plan.Overdraft = 4, 12, 10
				for _, volume := range config.Volumes {
					if volume.Plan == plan.Name {
						usage.limited[volume.Name], usage.allowedUnits = true, usage.allowedUnits+plan.Limit*costLossDuration.Seconds()
					}
				}
			}
		}
		for i := range config.Volumes { // the limited ones are most of what is asked for
			if volume := &config.Volumes[i]; usage.limited[volume.Name] {
				volume.Rate = 10 * config.RateOf(volume)
			}
		}
	}
	scenario.onEvent = func(event *trail.Event) {
		sentAt := time.Duration(event.Time) * time.Microsecond
		if event.Kind == trail.Do && event.Attempt == 0 && usage.limited[event.Volume] && sentAt >= costLossStart && sentAt < costLossStart+costLossDuration {
			usage.servedUnits += event.Units
		}
	}
	return scenario, usage
}

type limitUsage struct {
	limited      map[string]bool
	allowedUnits float64 // what limits bear in that time, the impossible best
	servedUnits  float64
}

func (r *LimitShareRow) add(usage *limitUsage) {
	r.Runs++
	r.ServedShares = append(r.ServedShares, usage.servedUnits/usage.allowedUnits)
}

// Print writes the tables.
func (c *RegionLossCosts) Print(w io.Writer) error {
	tw := tabwriter.NewWriter(w, 0, 0, 1, ' ', 0)
	fmt.Fprintln(tw, "| what happens\t| days\t| failed\t| shards taken over\t| s not served: least\t| median\t| 90%\t| most\t| worth lost, s of a calm day: median\t| 90%\t| most\t| goodput 0.9 again after, s: median\t| most\t| never while it lasts\t| writes lost\t|")
	fmt.Fprintln(tw, "| ---\t| ---\t| ---\t| ---\t| ---\t| ---\t| ---\t| ---\t| ---\t| ---\t| ---\t| ---\t| ---\t| ---\t| ---\t|")
	for _, row := range c.Losses {
		outages := summaryQuantiles(row.Outages, time.Duration.Seconds)
		lostWorth := summaryQuantiles(row.LostWorth, func(x float64) float64 { return x })
		recovery := summaryQuantiles(row.RecoveryTimes, time.Duration.Seconds)
		fmt.Fprintf(tw, "| %s\t| %d\t| %d\t| %d\t| %.1f\t| %.1f\t| %.1f\t| %.1f\t| %.1f\t| %.1f\t| %.1f\t| %.0f\t| %.0f\t| %d\t| %d\t|\n", row.Name, row.Runs, len(row.Failures), len(row.Outages),
			outages[0], outages[1], outages[2], outages[3], lostWorth[1], lostWorth[2], lostWorth[3], recovery[1], recovery[3], row.NotRecovered, row.LostAckedWrites)
	}
	if err := tw.Flush(); err != nil {
		return err
	}
	fmt.Fprintln(w)
	fmt.Fprintln(tw, "| limits through a cut of 25 s, three times as much asked for\t| days\t| part of the limit served: least\t| median\t| most\t|")
	fmt.Fprintln(tw, "| ---\t| ---\t| ---\t| ---\t| ---\t|")
	for _, row := range c.Limits {
		shares := summaryQuantiles(row.ServedShares, func(x float64) float64 { return x })
		fmt.Fprintf(tw, "| %s\t| %d\t| %.3f\t| %.3f\t| %.3f\t|\n", row.Name, row.Runs, shares[0], shares[1], shares[3])
	}
	fmt.Fprintln(tw, "| the impossible best\t| \t| 1\t| 1\t| 1\t|")
	if err := tw.Flush(); err != nil {
		return err
	}
	for _, row := range c.Losses {
		for _, failure := range row.Failures {
			fmt.Fprintf(w, "FAILED, %s, %s\n", row.Name, failure)
		}
	}
	return nil
}

// summaryQuantiles are the least, the median, the 90th percentile and the most.
func summaryQuantiles[T any](items []T, value func(T) float64) (summary [4]float64) {
	if len(items) == 0 {
		return summary
	}
	values := make([]float64, len(items))
	for i, x := range items {
		values[i] = value(x)
	}
	slices.Sort(values)
	last := float64(len(values) - 1)
	for i, q := range []float64{0, 0.5, 0.9, 1} {
		summary[i] = values[int(q*last+0.5)]
	}
	return summary
}

// Charts draws goodput over the day and the outages.
func (c *RegionLossCosts) Charts(dir string) error {
	if err := os.MkdirAll(dir, 0o777); err != nil {
		return err
	}
	var goodput, outages []chart.Series
	for _, row := range c.Losses {
		goodputLine := chart.Series{Name: row.Name}
		for second, sum := range row.goodputSum {
			goodputLine.X, goodputLine.Y = append(goodputLine.X, float64(second)), append(goodputLine.Y, sum/float64(max(row.Runs, 1)))
		}
		goodput = append(goodput, goodputLine)
		outageLine := chart.Series{Name: row.Name}
		slices.Sort(row.Outages)
		for i, outage := range row.Outages {
			outageLine.X, outageLine.Y = append(outageLine.X, outage.Seconds()), append(outageLine.Y, float64(i+1)/float64(len(row.Outages)))
		}
		if len(outageLine.X) > 0 {
			outages = append(outages, outageLine)
		}
	}
	if err := chart.Lines(filepath.Join(dir, "region-goodput.png"), "goodput, a region lost from 20 to 45 s", "s", "part of the worth asked for", goodput...); err != nil {
		return err
	}
	return chart.Lines(filepath.Join(dir, "region-outages.png"), "time without service of shards taken over", "s", "part of the shards", outages...)
}
