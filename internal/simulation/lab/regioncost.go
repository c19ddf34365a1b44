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

// RegionLossCosts holds the measured cost of region losses and partitions, over runs that differ only
// in their seed.
type RegionLossCosts struct {
	Losses []*RegionLossRow
	Limits []*LimitShareRow
}

// RegionLossRow holds the results of one kind of loss, over its runs.
type RegionLossRow struct {
	Name            string
	Runs            int
	Failures        []string
	Outages         []time.Duration // see takeoverOutages
	LostValue       []float64       // per run: value offered from the loss on and not served, in seconds of the mean load before the loss
	RecoveryTimes   []time.Duration // per run that recovered: from the loss until goodput is back at recoveredGoodput
	NotRecovered    int             // runs whose goodput was not back while the region was lost
	LostAckedWrites int             // lost writes that were acknowledged before replication
	goodputSum      []float64       // goodput by second of the run, summed over runs
}

// LimitShareRow holds how much of their limits volumes were served during a partition of the regions.
type LimitShareRow struct {
	Name         string
	Runs         int
	ServedShares []float64 // per run: units sent during the partition divided by the units that the limits allow in it
}

const (
	costHosts, costServers = 4, 8
	costLossStart          = 20 * time.Second // after the run's start
	costLossDuration       = 25 * time.Second
	costRunDuration        = 75 * time.Second
	costRate               = 120.0
	// recoveredGoodput is the goodput, over 3 s, from which service counts as recovered.
	recoveredGoodput = 0.9
)

// costCases are the kinds of loss that are measured. Their faults start at costLossStart and last
// costLossDuration.
var costCases = []struct {
	name       string
	drawFaults func(rng *rand.Rand) []ScheduledFault
}{
	{"loss of the region that does not lead", func(rng *rand.Rand) []ScheduledFault {
		return []ScheduledFault{{Kind: "region_loss", Seed: faultSeedForRegion(rng, 1)}}
	}},
	{"loss of the leading region, an operator makes the other lead", func(rng *rand.Rand) []ScheduledFault {
		return []ScheduledFault{{Kind: "region_loss", Seed: faultSeedForRegion(rng, 0)}}
	}},
	{"partition between the regions", func(*rand.Rand) []ScheduledFault { return []ScheduledFault{{Kind: "region_cut"}} }},
	{"loss of the region that does not lead, with a load burst", func(rng *rand.Rand) []ScheduledFault {
		return []ScheduledFault{{Kind: "region_loss", Seed: faultSeedForRegion(rng, 1)}, {Kind: "burst", Seed: rng.Uint64()}}
	}},
}

// faultSeedForRegion draws a seed with which a region_loss fault hits the target region.
func faultSeedForRegion(rng *rand.Rand, target int) uint64 {
	for {
		seed := rng.Uint64()
		if rand.New(rand.NewPCG(seed, 4)).IntN(2) == target {
			return seed
		}
	}
}

// MeasureRegionLosses runs each kind of loss, and the limits through a partition with moving and with
// fixed shares, with the given number of seeds each in virtual worlds.
func MeasureRegionLosses(ctx context.Context, seeds uint64, parallel int, progress io.Writer) (*RegionLossCosts, error) {
	costs := &RegionLossCosts{}
	for _, costCase := range costCases {
		costs.Losses = append(costs.Losses, &RegionLossRow{Name: costCase.name, goodputSum: make([]float64, int(costRunDuration/time.Second))})
	}
	for _, label := range []string{"shares that move between regions", "fixed shares"} {
		costs.Limits = append(costs.Limits, &LimitShareRow{Name: label})
	}
	err := runSeeds(len(costs.Losses)+len(costs.Limits), int(seeds), max(parallel, 1), progress, func(row int, seed uint64) (string, func(), error) {
		if limit := row - len(costs.Losses); limit >= 0 {
			scenario, usage := limitScenario(seed, limit == 1)
			_, err := scenario.Run(ctx, "")
			return costs.Limits[limit].Name, func() { costs.Limits[limit].add(usage) }, cmp.Or(ctx.Err(), err)
		}
		scenario, lossRow := costScenario(seed), costs.Losses[row]
		for _, fault := range costCases[row].drawFaults(rand.New(rand.NewPCG(seed-1, 41))) {
			fault.At, fault.Duration = costLossStart, costLossDuration
			scenario.Faults = append(scenario.Faults, fault)
		}
		outcome, err := scenario.Run(ctx, "")
		return lossRow.Name, func() { lossRow.add(outcome) }, cmp.Or(ctx.Err(), err)
	})
	return costs, err
}

// costScenario returns the scenario without faults on which every measured run is based.
func costScenario(seed uint64) Scenario {
	return Scenario{Seed: seed, Hosts: costHosts, Servers: costServers, Commands: int(costRunDuration.Seconds() * costRate), Rate: costRate, Regions: true}
}

// add adds a run's results to the row.
func (r *RegionLossRow) add(outcome *Outcome) {
	r.Runs++
	if outcome.Failure != nil {
		r.Failures = append(r.Failures, fmt.Sprintf("seed %d: %v", outcome.Scenario.Seed, outcome.Failure))
	}
	r.Outages, r.LostAckedWrites = append(r.Outages, outcome.Outages...), r.LostAckedWrites+outcome.LostWrites
	stats := outcome.Checker.Stats
	duration := int64(costRunDuration / time.Second)
	baselineValue, baselineSeconds := 0.0, 0.0
	for second := int64(5); second < int64(costLossStart/time.Second); second++ {
		if row := stats.PerSecond[second]; row != nil {
			baselineValue, baselineSeconds = baselineValue+row.Offered, baselineSeconds+1
		}
	}
	lostValue, recovery := 0.0, time.Duration(-1)
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
		lostValue += row.Offered - row.Served
		if recovery < 0 && second > int64(costLossStart/time.Second)+1 && stats.GoodputBetween(second, second+3) >= recoveredGoodput {
			recovery = time.Duration(second)*time.Second - costLossStart
		}
	}
	r.LostValue = append(r.LostValue, lostValue/(baselineValue/baselineSeconds))
	if recovery < 0 || recovery > costLossDuration {
		r.NotRecovered++
	}
	if recovery >= 0 {
		r.RecoveryTimes = append(r.RecoveryTimes, recovery)
	}
}

// limitScenario returns a scenario that partitions the regions while the load on limited volumes exceeds
// their limits throughout. The usage sums the units of first attempts on those volumes during the
// partition.
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
		for i := range config.Volumes { // raise the limited volumes' share of the load
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

// limitUsage compares the units sent on limited volumes during a partition with their limits.
type limitUsage struct {
	limited      map[string]bool
	allowedUnits float64 // limits times the length of the partition
	servedUnits  float64
}

func (r *LimitShareRow) add(usage *limitUsage) {
	r.Runs++
	r.ServedShares = append(r.ServedShares, usage.servedUnits/usage.allowedUnits)
}

// Print writes both tables in Markdown, then one line for each failed run.
func (c *RegionLossCosts) Print(w io.Writer) error {
	tw := tabwriter.NewWriter(w, 0, 0, 1, ' ', 0)
	fmt.Fprintln(tw, "| fault\t| runs\t| failed\t| shards taken over\t| time without service, s: min\t| median\t| p90\t| max\t| value lost, s of load before the fault: median\t| p90\t| max\t| time to goodput 0.9, s: median\t| max\t| not recovered during the fault\t| writes lost\t|")
	fmt.Fprintln(tw, "| ---\t| ---\t| ---\t| ---\t| ---\t| ---\t| ---\t| ---\t| ---\t| ---\t| ---\t| ---\t| ---\t| ---\t| ---\t|")
	for _, row := range c.Losses {
		outages := summaryQuantiles(row.Outages, time.Duration.Seconds)
		lostValue := summaryQuantiles(row.LostValue, func(x float64) float64 { return x })
		recovery := summaryQuantiles(row.RecoveryTimes, time.Duration.Seconds)
		fmt.Fprintf(tw, "| %s\t| %d\t| %d\t| %d\t| %.1f\t| %.1f\t| %.1f\t| %.1f\t| %.1f\t| %.1f\t| %.1f\t| %.0f\t| %.0f\t| %d\t| %d\t|\n", row.Name, row.Runs, len(row.Failures), len(row.Outages),
			outages[0], outages[1], outages[2], outages[3], lostValue[1], lostValue[2], lostValue[3], recovery[1], recovery[3], row.NotRecovered, row.LostAckedWrites)
	}
	if err := tw.Flush(); err != nil {
		return err
	}
	fmt.Fprintln(w)
	fmt.Fprintln(tw, "| limits during a partition of 25 s, under overload\t| runs\t| fraction of the limit served: min\t| median\t| max\t|")
	fmt.Fprintln(tw, "| ---\t| ---\t| ---\t| ---\t| ---\t|")
	for _, row := range c.Limits {
		shares := summaryQuantiles(row.ServedShares, func(x float64) float64 { return x })
		fmt.Fprintf(tw, "| %s\t| %d\t| %.3f\t| %.3f\t| %.3f\t|\n", row.Name, row.Runs, shares[0], shares[1], shares[3])
	}
	fmt.Fprintln(tw, "| upper bound\t| \t| 1\t| 1\t| 1\t|")
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

// summaryQuantiles returns the minimum, median, 90th percentile and maximum of the items' values, or
// zeros if there are none.
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

// Charts writes two PNG charts to dir: mean goodput by second of the run, and the distribution of the
// time without service of shards that were taken over.
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
	if err := chart.Lines(filepath.Join(dir, "region-goodput.png"), "goodput with a region fault from 20 to 45 s", "s", "fraction of the value offered", goodput...); err != nil {
		return err
	}
	return chart.Lines(filepath.Join(dir, "region-outages.png"), "time without service of shards taken over", "s", "fraction of the shards", outages...)
}
