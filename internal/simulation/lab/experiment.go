package lab

import (
	"context"
	"errors"
	"fmt"
	"io"
	"maps"
	"math"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/parquet-go/parquet-go"
	"gonum.org/v1/gonum/stat"
	"gonum.org/v1/gonum/stat/distuv"

	"merlinhitch/internal/observe/chart"
	"merlinhitch/internal/runtime/env"
	"merlinhitch/internal/verify/rules"
)

// Grid describes an experiment: every combination of its lists is run with each of the
// seeds 1 to Seeds.
type Grid struct {
	Hosts    []int
	Servers  []int
	Rates    []float64 // commands per second
	Loads    []float64 // factors applied to each rate
	Layouts  []string
	Troubles []string // a fault kind, "none", "all" (every kind of FaultKinds) or "world" (WorldFaultKinds without clock jumps)
	Seeds    int
	Duration time.Duration
	Setting  string // path of the setting that takes each of Values; "" varies none
	Values   []float64
	Parallel int
}

// ExperimentRow holds the results of one run.
type ExperimentRow struct {
	Hosts     int32   `parquet:"hosts"`
	Servers   int32   `parquet:"servers"`
	Rate      float64 `parquet:"rate"` // commands per second, with the load factor applied
	Load      float64 `parquet:"load"`
	Layout    string  `parquet:"layout,dict"`
	Trouble   string  `parquet:"trouble,dict"`
	Setting   string  `parquet:"figure,dict"`
	Value     float64 `parquet:"value"`
	Seed      uint64  `parquet:"seed"`
	Commands  int64   `parquet:"commands"`
	Goodput   float64 `parquet:"goodput"`
	WorstPlan float64 `parquet:"worst_plan"`
	Worst10s  float64 `parquet:"worst_10s"`
	// RecoverySeconds is the time from the end of the last fault until goodput is back at 95% of its
	// value before the first fault, in seconds; negative if that does not happen within the run.
	RecoverySeconds  float64 `parquet:"back_s"`
	P50              float64 `parquet:"p50_ms"`
	P99              float64 `parquet:"p99_ms"`
	P999             float64 `parquet:"p999_ms"`
	StepsPerCommand  float64 `parquet:"steps_per_command"`
	MicrosPerCommand float64 `parquet:"us_per_command"` // wall-clock time of the run on the machine that simulates it
	Failure          string  `parquet:"failure,dict"`
	Digest           uint64  `parquet:"digest"`
}

// SecondRow holds the results of one second of one run.
type SecondRow struct {
	Hosts   int32   `parquet:"hosts"`
	Servers int32   `parquet:"servers"`
	Load    float64 `parquet:"load"`
	Layout  string  `parquet:"layout,dict"`
	Trouble string  `parquet:"trouble,dict"`
	Value   float64 `parquet:"value"`
	Seed    uint64  `parquet:"seed"`
	Second  int32   `parquet:"second"`
	Offered float64 `parquet:"due"`
	Served  float64 `parquet:"worth"`
	P50     float64 `parquet:"p50_ms"` // latency of the served commands that were issued in this second
	P99     float64 `parquet:"p99_ms"`
}

// gridRun is one run of a grid.
type gridRun struct {
	Scenario
	load     float64
	trouble  string
	setting  string
	value    float64
	duration time.Duration
}

func (g Grid) runs() (planned []gridRun, err error) {
	if g.Seeds < 1 || g.Duration < time.Second || len(g.Hosts)*len(g.Servers)*len(g.Rates)*len(g.Loads)*len(g.Layouts)*len(g.Troubles) == 0 {
		return nil, errors.New("lab: an experiment needs hosts, servers, rates, loads, layouts, troubles, seeds and a duration of at least 1 s")
	}
	values := g.Values
	if g.Setting == "" {
		values = []float64{0}
	} else if len(values) == 0 {
		return nil, errors.New("lab: no values for setting " + g.Setting)
	}
	for _, hosts := range g.Hosts {
		for _, servers := range g.Servers {
			for _, rate := range g.Rates {
				for _, load := range g.Loads {
					for _, layout := range g.Layouts {
						for _, trouble := range g.Troubles {
							for _, value := range values {
								for seed := range g.Seeds {
									run := gridRun{Scenario{Seed: uint64(seed + 1), Hosts: hosts, Servers: servers, Rate: rate * load, Commands: int(rate * load * g.Duration.Seconds()), Layout: layout},
										load, trouble, g.Setting, value, g.Duration}
									if run.Faults, err = g.drawTroubles(trouble, run.Seed); err != nil {
										return nil, err
									}
									if g.Setting != "" {
										run.Figures = map[string]float64{g.Setting: value}
									}
									planned = append(planned, run)
								}
							}
						}
					}
				}
			}
		}
	}
	return planned, nil
}

// drawTroubles draws the faults of a run. They depend on the seed, the trouble and the duration
// only, so that runs of the same seed can be compared in pairs.
func (g Grid) drawTroubles(trouble string, seed uint64) ([]ScheduledFault, error) {
	rng := rand.New(rand.NewPCG(seed, 23))
	switch {
	case trouble == "none":
		return nil, nil
	case trouble == "all":
		return drawFaults(FaultKinds(), rng, g.Duration*2/3), nil
	case trouble == "world":
		return drawFaults(slices.DeleteFunc(WorldFaultKinds(), func(k string) bool { return k == excludedFault }), rng, g.Duration*2/3), nil
	case slices.Contains(WorldFaultKinds(), trouble): // from a third of the run on, for a sixth of it
		return []ScheduledFault{{Kind: trouble, At: g.Duration / 3, Duration: g.Duration / 6, Seed: rng.Uint64()}}, nil
	}
	return nil, fmt.Errorf("lab: unknown trouble %q, want one of none, all, world, %s", trouble, strings.Join(WorldFaultKinds(), ", "))
}

// Experiment executes every run of a grid, g.Parallel at a time, and returns the rows in the
// order of the grid. The first error ends it.
func Experiment(ctx context.Context, g Grid, progress io.Writer) (rows []ExperimentRow, seconds []SecondRow, err error) {
	runs, err := g.runs()
	if err != nil {
		return nil, nil, err
	}
	rows = make([]ExperimentRow, len(runs))
	secondsByRun := make([][]SecondRow, len(runs))
	var mu sync.Mutex
	var workers env.WaitGroup
	next, done := 0, 0
	environment := env.NewReal()
	for range max(g.Parallel, 1) {
		workers.Go(environment, func() {
			for {
				mu.Lock()
				i := next
				next++
				finished := i >= len(runs) || err != nil || ctx.Err() != nil
				mu.Unlock()
				if finished {
					return
				}
				row, perSecond, runErr := runs[i].run(ctx, environment)
				mu.Lock()
				rows[i], secondsByRun[i] = row, perSecond
				if runErr != nil && err == nil {
					err = runErr
				}
				done++
				fmt.Fprintf(progress, "%d of %d: %d hosts, %d servers, load %.2g, %s, seed %d: goodput %.3f\n", done, len(runs), row.Hosts, row.Servers, row.Load, row.Trouble, row.Seed, row.Goodput)
				mu.Unlock()
			}
		})
	}
	workers.Wait(environment)
	if err == nil {
		err = ctx.Err()
	}
	return rows, slices.Concat(secondsByRun...), err
}

func (c gridRun) run(ctx context.Context, environment env.Environment) (row ExperimentRow, perSecond []SecondRow, err error) {
	begin := environment.Now()
	allLatencies := hdrhistogram.New(1, maxRecordedMicros, 3)
	latenciesBySecond := map[int64]*hdrhistogram.Histogram{}
	c.onAnswer = func(issuedAt, latency int64, served bool) {
		if !served {
			return
		}
		histogram := latenciesBySecond[issuedAt/1e6]
		if histogram == nil {
			histogram = hdrhistogram.New(1, maxRecordedMicros, 2)
			latenciesBySecond[issuedAt/1e6] = histogram
		}
		for _, h := range []*hdrhistogram.Histogram{histogram, allLatencies} {
			h.RecordValue(min(max(latency, 1), maxRecordedMicros)) // cannot fail: the value is clamped to the range
		}
	}
	outcome, err := c.Run(ctx, "")
	if err != nil {
		return row, nil, err
	}
	stats := outcome.Checker.Stats
	quantileMS := func(h *hdrhistogram.Histogram, q float64) float64 { return float64(h.ValueAtQuantile(q)) / 1000 }
	row = ExperimentRow{Hosts: int32(c.Hosts), Servers: int32(c.Servers), Rate: c.Rate, Load: c.load, Layout: c.Layout, Trouble: c.trouble, Setting: c.setting,
		Value: c.value, Seed: c.Seed, Commands: int64(stats.Commands), Goodput: stats.Goodput(), WorstPlan: stats.WorstPlanGoodput(), Worst10s: stats.WorstWindowGoodput(10), RecoverySeconds: c.recoverySeconds(stats),
		P50: quantileMS(allLatencies, 50), P99: quantileMS(allLatencies, 99), P999: quantileMS(allLatencies, 99.9), StepsPerCommand: float64(outcome.Steps) / float64(max(stats.Commands, 1)),
		MicrosPerCommand: float64((environment.Now()-begin)/time.Microsecond) / float64(max(stats.Commands, 1)), Digest: outcome.Scenario.Digest}
	if outcome.Failure != nil {
		row.Failure = outcome.Failure.Error()
	}
	for _, second := range slices.Sorted(maps.Keys(stats.PerSecond)) {
		sample := SecondRow{Hosts: row.Hosts, Servers: row.Servers, Load: c.load, Layout: c.Layout, Trouble: c.trouble, Value: c.value, Seed: c.Seed,
			Second: int32(second), Offered: stats.PerSecond[second].Offered, Served: stats.PerSecond[second].Served}
		if h := latenciesBySecond[second]; h != nil {
			sample.P50, sample.P99 = quantileMS(h, 50), quantileMS(h, 99)
		}
		perSecond = append(perSecond, sample)
	}
	return row, perSecond, nil
}

// recoveryWindow is the number of seconds over which goodput is averaged to detect recovery.
const recoveryWindow = 2

// recoverySeconds returns the time from the end of the last fault until goodput is back at 95% of
// its value before the first fault, or -1 if it does not recover within the run.
func (c gridRun) recoverySeconds(stats *rules.Stats) float64 {
	if len(c.Faults) == 0 {
		return 0
	}
	faultsStart, faultsEnd := c.duration, time.Duration(0)
	for _, fault := range c.Faults {
		faultsStart, faultsEnd = min(faultsStart, fault.At), max(faultsEnd, fault.At+fault.Duration)
	}
	baseline := stats.GoodputBetween(0, int64(faultsStart/time.Second))
	for second := int64(faultsEnd / time.Second); second+recoveryWindow <= int64(c.duration/time.Second); second++ {
		if stats.GoodputBetween(second, second+recoveryWindow) >= 0.95*baseline {
			return math.Max(float64(second)-faultsEnd.Seconds(), 0)
		}
	}
	return -1
}

// Names of the files in an experiment's folder.
const (
	RunsFile    = "runs.parquet"
	SecondsFile = "seconds.parquet"
	TableFile   = "table.md"
)

// SaveExperiment writes the rows, the table and the charts to a folder, which it creates if needed.
func SaveExperiment(dir string, rows []ExperimentRow, seconds []SecondRow) error {
	if err := os.MkdirAll(dir, 0o777); err != nil {
		return err
	}
	if err := parquet.WriteFile(filepath.Join(dir, RunsFile), rows); err != nil {
		return err
	}
	if err := parquet.WriteFile(filepath.Join(dir, SecondsFile), seconds); err != nil {
		return err
	}
	file, err := os.Create(filepath.Join(dir, TableFile))
	if err != nil {
		return err
	}
	err = PrintExperiment(file, rows)
	if closeErr := file.Close(); err == nil {
		err = closeErr
	}
	if err != nil {
		return err
	}
	return plotExperiment(dir, rows, seconds)
}

// LoadExperiment reads the runs that SaveExperiment wrote to a folder.
func LoadExperiment(dir string) ([]ExperimentRow, error) {
	rows, err := parquet.ReadFile[ExperimentRow](filepath.Join(dir, RunsFile))
	if err != nil {
		return nil, fmt.Errorf("%s: cannot read the experiment: %w", dir, err)
	}
	return rows, nil
}

// cellKey identifies a cell of the grid: the runs that differ only in their seed.
type cellKey struct {
	hosts, servers int32
	load           float64
	layout         string
	trouble        string
	setting        string
	value          float64
}

func (r *ExperimentRow) key() cellKey {
	return cellKey{r.Hosts, r.Servers, r.Load, r.Layout, r.Trouble, r.Setting, r.Value}
}

func (k cellKey) String() string {
	s := fmt.Sprintf("%d hosts, %d servers, load %.2g, %s", k.hosts, k.servers, k.load, k.trouble)
	if k.layout != "" {
		s += ", " + k.layout
	}
	if k.setting != "" {
		s += fmt.Sprintf(", %s %g", k.setting, k.value)
	}
	return s
}

// groupByCell groups rows by cell; keys are in the order in which the cells first appear.
func groupByCell(rows []ExperimentRow) (keys []cellKey, rowsByKey map[cellKey][]*ExperimentRow) {
	rowsByKey = map[cellKey][]*ExperimentRow{}
	for i := range rows {
		k := rows[i].key()
		if rowsByKey[k] == nil {
			keys = append(keys, k)
		}
		rowsByKey[k] = append(rowsByKey[k], &rows[i])
	}
	return keys, rowsByKey
}

// confidenceInterval returns the mean and half the width of its 95% confidence interval
// (Student's t); the half width is 0 for fewer than two values.
func confidenceInterval(values []float64) (mean, halfWidth float64) {
	if len(values) < 2 {
		return stat.Mean(values, nil), 0
	}
	mean, stdDev := stat.MeanStdDev(values, nil)
	quantile := distuv.StudentsT{Mu: 0, Sigma: 1, Nu: float64(len(values) - 1)}.Quantile(0.975)
	return mean, quantile * stdDev / math.Sqrt(float64(len(values)))
}

func column(rows []*ExperimentRow, value func(*ExperimentRow) float64) []float64 {
	values := make([]float64, len(rows))
	for i, r := range rows {
		values[i] = value(r)
	}
	return values
}

// PrintExperiment writes a Markdown table with one row for each cell.
func PrintExperiment(w io.Writer, rows []ExperimentRow) error {
	tw := tabwriter.NewWriter(w, 0, 0, 1, ' ', 0)
	fmt.Fprintln(tw, "| cell\t| runs\t| failed\t| goodput\t| worst plan\t| worst 10 s\t| back after s\t| p50 ms\t| p99 ms\t| p99.9 ms\t| steps a command\t| us a command\t|")
	fmt.Fprintln(tw, "| ---\t| ---\t| ---\t| ---\t| ---\t| ---\t| ---\t| ---\t| ---\t| ---\t| ---\t| ---\t|")
	keys, rowsByKey := groupByCell(rows)
	for _, key := range keys {
		cellRows := rowsByKey[key]
		failed := 0
		for _, r := range cellRows {
			if r.Failure != "" {
				failed++
			}
		}
		mean := func(value func(*ExperimentRow) float64) float64 { return stat.Mean(column(cellRows, value), nil) }
		goodput, halfWidth := confidenceInterval(column(cellRows, func(r *ExperimentRow) float64 { return r.Goodput }))
		recovery := "none"
		if shortest := slices.Min(column(cellRows, func(r *ExperimentRow) float64 { return r.RecoverySeconds })); shortest >= 0 {
			recovery = fmt.Sprintf("%.1f", slices.Max(column(cellRows, func(r *ExperimentRow) float64 { return r.RecoverySeconds })))
		} else if key.trouble != "none" {
			recovery = "not always"
		}
		fmt.Fprintf(tw, "| %s\t| %d\t| %d\t| %.3f ± %.3f\t| %.3f\t| %.3f\t| %s\t| %.1f\t| %.0f\t| %.0f\t| %.1f\t| %.0f\t|\n", key, len(cellRows), failed, goodput, halfWidth,
			mean(func(r *ExperimentRow) float64 { return r.WorstPlan }), mean(func(r *ExperimentRow) float64 { return r.Worst10s }), recovery,
			mean(func(r *ExperimentRow) float64 { return r.P50 }), mean(func(r *ExperimentRow) float64 { return r.P99 }),
			mean(func(r *ExperimentRow) float64 { return r.P999 }), mean(func(r *ExperimentRow) float64 { return r.StepsPerCommand }),
			mean(func(r *ExperimentRow) float64 { return r.MicrosPerCommand }))
	}
	return tw.Flush()
}

// Comparison compares one metric of one cell between two experiments, over pairs of runs with
// the same seed.
type Comparison struct {
	Cell         string
	Metric       string
	Pairs        int
	Before, Diff float64 // mean before, and mean of the pairwise differences
	HalfWidth    float64 // of the 95% confidence interval of Diff
	Verdict      string
}

// comparedMetrics are the metrics by which two experiments are compared.
var comparedMetrics = []struct {
	name           string
	value          func(*ExperimentRow) float64
	higherIsBetter bool
}{
	{"goodput", func(r *ExperimentRow) float64 { return r.Goodput }, true},
	{"worst plan", func(r *ExperimentRow) float64 { return r.WorstPlan }, true},
	{"p99 ms", func(r *ExperimentRow) float64 { return r.P99 }, false},
	{"steps a command", func(r *ExperimentRow) float64 { return r.StepsPerCommand }, false},
}

// CompareExperiments compares the cells and seeds that two experiments have in common. A mean
// difference within its confidence interval is neither a gain nor a loss.
func CompareExperiments(before, after []ExperimentRow) (comparisons []Comparison) {
	keys, beforeRows := groupByCell(withoutConstantSetting(before))
	_, afterRows := groupByCell(withoutConstantSetting(after))
	for _, key := range keys {
		for _, metric := range comparedMetrics {
			var baseline, differences []float64
			for _, old := range beforeRows[key] {
				for _, changed := range afterRows[key] {
					if old.Seed == changed.Seed {
						baseline, differences = append(baseline, metric.value(old)), append(differences, metric.value(changed)-metric.value(old))
					}
				}
			}
			if len(differences) == 0 {
				continue
			}
			comparison := Comparison{Cell: key.String(), Metric: metric.name, Pairs: len(differences), Before: stat.Mean(baseline, nil), Verdict: "within noise"}
			comparison.Diff, comparison.HalfWidth = confidenceInterval(differences)
			switch {
			case len(differences) < 3:
				comparison.Verdict = "too few pairs"
			case slices.Max(differences) == 0 && slices.Min(differences) == 0:
				comparison.Verdict = "the same"
			case math.Abs(comparison.Diff) > comparison.HalfWidth && (comparison.Diff > 0) == metric.higherIsBetter:
				comparison.Verdict = "gain"
			case math.Abs(comparison.Diff) > comparison.HalfWidth:
				comparison.Verdict = "loss"
			}
			comparisons = append(comparisons, comparison)
		}
	}
	return comparisons
}

// withoutConstantSetting clears the setting and its value if all rows have the same, so that
// experiments that differ in that setting have equal cell keys.
func withoutConstantSetting(rows []ExperimentRow) []ExperimentRow {
	cleared := slices.Clone(rows)
	for i := range cleared {
		if cleared[i].Setting != rows[0].Setting || cleared[i].Value != rows[0].Value {
			return rows
		}
	}
	for i := range cleared {
		cleared[i].Setting, cleared[i].Value = "", 0
	}
	return cleared
}

// PrintComparisons writes the comparisons as a Markdown table.
func PrintComparisons(w io.Writer, comparisons []Comparison) error {
	tw := tabwriter.NewWriter(w, 0, 0, 1, ' ', 0)
	fmt.Fprintln(tw, "| cell\t| figure\t| pairs\t| before\t| difference, 95%\t| verdict\t|")
	fmt.Fprintln(tw, "| ---\t| ---\t| ---\t| ---\t| ---\t| ---\t|")
	for _, c := range comparisons {
		fmt.Fprintf(tw, "| %s\t| %s\t| %d\t| %.3f\t| %+.3f ± %.3f\t| %s\t|\n", c.Cell, c.Metric, c.Pairs, c.Before, c.Diff, c.HalfWidth, c.Verdict)
	}
	return tw.Flush()
}

// plotExperiment plots metrics by load and by hosts where the grid varies them, and metrics by second.
func plotExperiment(dir string, rows []ExperimentRow, seconds []SecondRow) error {
	keys, rowsByKey := groupByCell(rows)
	plotLines := func(file, title, xLabel, yLabel string, seriesName func(cellKey) string, xValue func(cellKey) float64, yValue func(*ExperimentRow) float64) error {
		seriesByName := map[string]*chart.Series{}
		var names []string
		for _, k := range keys {
			name := seriesName(k)
			if seriesByName[name] == nil {
				seriesByName[name] = &chart.Series{Name: name}
				names = append(names, name)
			}
			seriesByName[name].X, seriesByName[name].Y = append(seriesByName[name].X, xValue(k)), append(seriesByName[name].Y, stat.Mean(column(rowsByKey[k], yValue), nil))
		}
		var plotted []chart.Series
		for _, n := range names {
			if s := seriesByName[n]; len(s.X) > 1 {
				plotted = append(plotted, *s)
			}
		}
		if len(plotted) == 0 {
			return nil
		}
		return chart.Lines(filepath.Join(dir, file), title, xLabel, yLabel, plotted...)
	}
	varies := func(property func(cellKey) any) bool {
		for _, k := range keys {
			if property(k) != property(keys[0]) {
				return true
			}
		}
		return false
	}
	if varies(func(k cellKey) any { return k.load }) {
		err := plotLines("goodput-load.png", "goodput by load", "load factor", "goodput, fraction of the offered value",
			func(k cellKey) string { return fmt.Sprintf("%d hosts, %s", k.hosts, k.trouble) }, func(k cellKey) float64 { return k.load },
			func(r *ExperimentRow) float64 { return r.Goodput })
		if err != nil {
			return err
		}
	}
	if varies(func(k cellKey) any { return k.hosts }) {
		for _, figure := range []struct {
			file, title, y string
			yValue         func(*ExperimentRow) float64
		}{
			{"goodput-hosts.png", "goodput by hosts", "goodput, fraction of the offered value", func(r *ExperimentRow) float64 { return r.Goodput }},
			{"cost-hosts.png", "cost by hosts", "simulation steps per command", func(r *ExperimentRow) float64 { return r.StepsPerCommand }},
			{"p99-hosts.png", "latency by hosts", "p99, ms", func(r *ExperimentRow) float64 { return r.P99 }},
		} {
			err := plotLines(figure.file, figure.title, "hosts", figure.y, func(k cellKey) string { return fmt.Sprintf("%s, load %.2g", k.trouble, k.load) },
				func(k cellKey) float64 { return float64(k.hosts) }, figure.yValue)
			if err != nil {
				return err
			}
		}
	}
	return plotSeconds(dir, seconds)
}

// plotSeconds plots goodput and p99 latency over the first hour of the run, one line for each
// trouble: the mean over the seeds of the runs with the most hosts and with the load, value and
// layout of the first row.
func plotSeconds(dir string, seconds []SecondRow) error {
	if len(seconds) == 0 {
		return nil
	}
	maxHosts := int32(0)
	for _, s := range seconds {
		maxHosts = max(maxHosts, s.Hosts)
	}
	type pointKey struct {
		trouble string
		second  int32
	}
	sums := map[pointKey]*[4]float64{}
	var troubles []string
	for _, row := range seconds {
		if row.Hosts != maxHosts || row.Load != seconds[0].Load || row.Value != seconds[0].Value || row.Layout != seconds[0].Layout {
			continue
		}
		if !slices.Contains(troubles, row.Trouble) {
			troubles = append(troubles, row.Trouble)
		}
		key := pointKey{row.Trouble, row.Second}
		if sums[key] == nil {
			sums[key] = &[4]float64{}
		}
		sum := sums[key]
		sum[0], sum[1], sum[2], sum[3] = sum[0]+row.Offered, sum[1]+row.Served, sum[2]+row.P99, sum[3]+1
	}
	var goodputSeries, latencySeries []chart.Series
	for _, trouble := range troubles {
		goodput, latency := chart.Series{Name: trouble}, chart.Series{Name: trouble}
		for second := int32(0); second < 3600; second++ {
			sum := sums[pointKey{trouble, second}]
			if sum == nil || sum[0] == 0 {
				continue
			}
			goodput.X, goodput.Y = append(goodput.X, float64(second)), append(goodput.Y, sum[1]/sum[0])
			latency.X, latency.Y = append(latency.X, float64(second)), append(latency.Y, sum[2]/sum[3])
		}
		goodputSeries, latencySeries = append(goodputSeries, goodput), append(latencySeries, latency)
	}
	title := fmt.Sprintf("%d hosts", maxHosts)
	if err := chart.Lines(filepath.Join(dir, "goodput-time.png"), "goodput over time, "+title, "s", "goodput, fraction of the offered value", goodputSeries...); err != nil {
		return err
	}
	return chart.Lines(filepath.Join(dir, "p99-time.png"), "p99 latency of served commands by second of issue, "+title, "s", "ms", latencySeries...)
}
