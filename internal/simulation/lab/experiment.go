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

// Grid is what an experiment goes through: every combination of its lists, each on
// every seed.
type Grid struct {
	Hosts    []int
	Servers  []int
	Rates    []float64 // commands a second
	Loads    []float64 // times the rate
	Layouts  []string
	Troubles []string // a kind, "none", "all" (those of the bench) or "world" (every kind)
	Seeds    int
	Duration time.Duration
	Setting  string // of the settings, by path; "": none
	Values   []float64
	Parallel int
}

// ExperimentRow is one run.
type ExperimentRow struct {
	Hosts     int32   `parquet:"hosts"`
	Servers   int32   `parquet:"servers"`
	Rate      float64 `parquet:"rate"` // commands a second, load included
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
	// RecoverySeconds is how long after the last trouble's end goodput was that of the time before
	// the first again, s; below 0: not within the day.
	RecoverySeconds  float64 `parquet:"back_s"`
	P50              float64 `parquet:"p50_ms"`
	P99              float64 `parquet:"p99_ms"`
	P999             float64 `parquet:"p999_ms"`
	StepsPerCommand  float64 `parquet:"steps_per_command"`
	MicrosPerCommand float64 `parquet:"us_per_command"` // of the machine that played it
	Failure          string  `parquet:"failure,dict"`
	Digest           uint64  `parquet:"digest"`
}

// SecondRow is one second of one run.
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
	P50     float64 `parquet:"p50_ms"` // of what was asked in it and served
	P99     float64 `parquet:"p99_ms"`
}

// gridRun is a run that is to be made.
type gridRun struct {
	Scenario
	load     float64
	trouble  string
	setting  string
	value    float64
	duration time.Duration
}

func (g Grid) runs() (out []gridRun, err error) {
	if g.Seeds < 1 || g.Duration < time.Second || len(g.Hosts)*len(g.Servers)*len(g.Rates)*len(g.Loads)*len(g.Layouts)*len(g.Troubles) == 0 {
		return nil, errors.New("lab: an experiment needs hosts, servers, rates, loads, layouts, troubles, seeds and a second")
	}
	values := g.Values
	if g.Setting == "" {
		values = []float64{0}
	} else if len(values) == 0 {
		return nil, errors.New("lab: no values for " + g.Setting)
	}
	for _, h := range g.Hosts {
		for _, s := range g.Servers {
			for _, r := range g.Rates {
				for _, load := range g.Loads {
					for _, lay := range g.Layouts {
						for _, tr := range g.Troubles {
							for _, v := range values {
								for seed := range g.Seeds {
									c := gridRun{Scenario{Seed: uint64(seed + 1), Hosts: h, Servers: s, Rate: r * load, Commands: int(r * load * g.Duration.Seconds()), Layout: lay},
										load, tr, g.Setting, v, g.Duration}
									if c.Faults, err = g.drawTroubles(tr, c.Seed); err != nil {
										return nil, err
									}
									if g.Setting != "" {
										c.Figures = map[string]float64{g.Setting: v}
									}
									out = append(out, c)
								}
							}
						}
					}
				}
			}
		}
	}
	return out, nil
}

// drawTroubles draws a cell's troubles: the same for the same seed, whatever the rest, so that
// runs can be compared in pairs.
func (g Grid) drawTroubles(trouble string, seed uint64) ([]ScheduledFault, error) {
	rng := rand.New(rand.NewPCG(seed, 23))
	switch {
	case trouble == "none":
		return nil, nil
	case trouble == "all":
		return drawFaults(FaultKinds(), rng, g.Duration*2/3), nil
	case trouble == "world":
		return drawFaults(slices.DeleteFunc(WorldFaultKinds(), func(k string) bool { return k == excludedFault }), rng, g.Duration*2/3), nil
	case slices.Contains(WorldFaultKinds(), trouble): // in the midst, a sixth of the day long
		return []ScheduledFault{{Kind: trouble, At: g.Duration / 3, Duration: g.Duration / 6, Seed: rng.Uint64()}}, nil
	}
	return nil, fmt.Errorf("lab: unknown trouble %q; there are none, all, world, %s", trouble, strings.Join(WorldFaultKinds(), ", "))
}

// Experiment makes every run of a grid.
func Experiment(ctx context.Context, g Grid, progress io.Writer) (rows []ExperimentRow, seconds []SecondRow, err error) {
	cells, err := g.runs()
	if err != nil {
		return nil, nil, err
	}
	rows = make([]ExperimentRow, len(cells))
	each := make([][]SecondRow, len(cells))
	var mu sync.Mutex
	var all env.WaitGroup
	next, done := 0, 0
	w := env.NewReal()
	for range max(g.Parallel, 1) {
		all.Go(w, func() {
			for {
				mu.Lock()
				i := next
				next++
				over := i >= len(cells) || err != nil || ctx.Err() != nil
				mu.Unlock()
				if over {
					return
				}
				row, secs, failed := cells[i].run(ctx, w)
				mu.Lock()
				rows[i], each[i] = row, secs
				if failed != nil && err == nil {
					err = failed
				}
				done++
				fmt.Fprintf(progress, "%d of %d: %d hosts, %d servers, load %.2g, %s, seed %d: goodput %.3f\n", done, len(cells), row.Hosts, row.Servers, row.Load, row.Trouble, row.Seed, row.Goodput)
				mu.Unlock()
			}
		})
	}
	all.Wait(w)
	if err == nil {
		err = ctx.Err()
	}
	return rows, slices.Concat(each...), err
}

func (c gridRun) run(ctx context.Context, w env.Environment) (row ExperimentRow, secs []SecondRow, err error) {
	begin := w.Now()
	whole := hdrhistogram.New(1, maxRecordedMicros, 3)
	bySecond := map[int64]*hdrhistogram.Histogram{}
	c.onAnswer = func(at, took int64, served bool) {
		if !served {
			return
		}
		h := bySecond[at/1e6]
		if h == nil {
			h = hdrhistogram.New(1, maxRecordedMicros, 2)
			bySecond[at/1e6] = h
		}
		for _, h := range []*hdrhistogram.Histogram{h, whole} {
			h.RecordValue(min(max(took, 1), maxRecordedMicros)) // in range by the line itself
		}
	}
	out, err := c.Run(ctx, "")
	if err != nil {
		return row, nil, err
	}
	t := out.Checker.Stats
	ms := func(h *hdrhistogram.Histogram, q float64) float64 { return float64(h.ValueAtQuantile(q)) / 1000 }
	row = ExperimentRow{Hosts: int32(c.Hosts), Servers: int32(c.Servers), Rate: c.Rate, Load: c.load, Layout: c.Layout, Trouble: c.trouble, Setting: c.setting,
		Value: c.value, Seed: c.Seed, Commands: int64(t.Commands), Goodput: t.Goodput(), WorstPlan: t.WorstPlanGoodput(), Worst10s: t.WorstWindowGoodput(10), RecoverySeconds: c.recoverySeconds(t),
		P50: ms(whole, 50), P99: ms(whole, 99), P999: ms(whole, 99.9), StepsPerCommand: float64(out.Steps) / float64(max(t.Commands, 1)),
		MicrosPerCommand: float64((w.Now()-begin)/time.Microsecond) / float64(max(t.Commands, 1)), Digest: out.Scenario.Digest}
	if out.Failure != nil {
		row.Failure = out.Failure.Error()
	}
	for _, at := range slices.Sorted(maps.Keys(t.PerSecond)) {
		s := SecondRow{Hosts: row.Hosts, Servers: row.Servers, Load: c.load, Layout: c.Layout, Trouble: c.trouble, Value: c.value, Seed: c.Seed,
			Second: int32(at), Offered: t.PerSecond[at].Offered, Served: t.PerSecond[at].Served}
		if h := bySecond[at]; h != nil {
			s.P50, s.P99 = ms(h, 50), ms(h, 99)
		}
		secs = append(secs, s)
	}
	return row, secs, nil
}

// recoveryWindow is over how long goodput is looked at for a recovery.
const recoveryWindow = 2

// recoverySeconds is when goodput was again that of the time before the first trouble, within a
// twentieth.
func (c gridRun) recoverySeconds(t *rules.Stats) float64 {
	if len(c.Faults) == 0 {
		return 0
	}
	first, last := c.duration, time.Duration(0)
	for _, s := range c.Faults {
		first, last = min(first, s.At), max(last, s.At+s.Duration)
	}
	before := t.GoodputBetween(0, int64(first/time.Second))
	for at := int64(last / time.Second); at+recoveryWindow <= int64(c.duration/time.Second); at++ {
		if t.GoodputBetween(at, at+recoveryWindow) >= 0.95*before {
			return math.Max(float64(at)-last.Seconds(), 0)
		}
	}
	return -1
}

// Files of an experiment's folder.
const (
	RunsFile    = "runs.parquet"
	SecondsFile = "seconds.parquet"
	TableFile   = "table.md"
)

// SaveExperiment writes the rows, the table and the charts into a folder.
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
	f, err := os.Create(filepath.Join(dir, TableFile))
	if err != nil {
		return err
	}
	err = PrintExperiment(f, rows)
	if cerr := f.Close(); err == nil {
		err = cerr
	}
	if err != nil {
		return err
	}
	return plotExperiment(dir, rows, seconds)
}

// LoadExperiment reads the rows of an experiment's folder.
func LoadExperiment(dir string) ([]ExperimentRow, error) {
	rows, err := parquet.ReadFile[ExperimentRow](filepath.Join(dir, RunsFile))
	if err != nil {
		return nil, fmt.Errorf("%s: no experiment: %w", dir, err)
	}
	return rows, nil
}

// cellKey is what runs that differ only in their seed share.
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

// groupByCell collects rows by key, in the order of their first.
func groupByCell(rows []ExperimentRow) (keys []cellKey, by map[cellKey][]*ExperimentRow) {
	by = map[cellKey][]*ExperimentRow{}
	for i := range rows {
		k := rows[i].key()
		if by[k] == nil {
			keys = append(keys, k)
		}
		by[k] = append(by[k], &rows[i])
	}
	return keys, by
}

// confidenceInterval is the mean with half the width of its 95% confidence confidenceInterval (Student's t);
// the width is 0 of a single figure.
func confidenceInterval(x []float64) (mean, half float64) {
	if len(x) < 2 {
		return stat.Mean(x, nil), 0
	}
	mean, dev := stat.MeanStdDev(x, nil)
	t := distuv.StudentsT{Mu: 0, Sigma: 1, Nu: float64(len(x) - 1)}.Quantile(0.975)
	return mean, t * dev / math.Sqrt(float64(len(x)))
}

func column(rows []*ExperimentRow, f func(*ExperimentRow) float64) []float64 {
	out := make([]float64, len(rows))
	for i, r := range rows {
		out[i] = f(r)
	}
	return out
}

// PrintExperiment writes one line for each cell, as Markdown.
func PrintExperiment(w io.Writer, rows []ExperimentRow) error {
	tw := tabwriter.NewWriter(w, 0, 0, 1, ' ', 0)
	fmt.Fprintln(tw, "| cell\t| runs\t| failed\t| goodput\t| worst plan\t| worst 10 s\t| back after s\t| p50 ms\t| p99 ms\t| p99.9 ms\t| steps a command\t| us a command\t|")
	fmt.Fprintln(tw, "| ---\t| ---\t| ---\t| ---\t| ---\t| ---\t| ---\t| ---\t| ---\t| ---\t| ---\t| ---\t|")
	keys, by := groupByCell(rows)
	for _, k := range keys {
		rs := by[k]
		failed := 0
		for _, r := range rs {
			if r.Failure != "" {
				failed++
			}
		}
		mean := func(f func(*ExperimentRow) float64) float64 { return stat.Mean(column(rs, f), nil) }
		good, half := confidenceInterval(column(rs, func(r *ExperimentRow) float64 { return r.Goodput }))
		back := "none"
		if worst := slices.Min(column(rs, func(r *ExperimentRow) float64 { return r.RecoverySeconds })); worst >= 0 {
			back = fmt.Sprintf("%.1f", slices.Max(column(rs, func(r *ExperimentRow) float64 { return r.RecoverySeconds })))
		} else if k.trouble != "none" {
			back = "not always"
		}
		fmt.Fprintf(tw, "| %s\t| %d\t| %d\t| %.3f ± %.3f\t| %.3f\t| %.3f\t| %s\t| %.1f\t| %.0f\t| %.0f\t| %.1f\t| %.0f\t|\n", k, len(rs), failed, good, half,
			mean(func(r *ExperimentRow) float64 { return r.WorstPlan }), mean(func(r *ExperimentRow) float64 { return r.Worst10s }), back,
			mean(func(r *ExperimentRow) float64 { return r.P50 }), mean(func(r *ExperimentRow) float64 { return r.P99 }),
			mean(func(r *ExperimentRow) float64 { return r.P999 }), mean(func(r *ExperimentRow) float64 { return r.StepsPerCommand }),
			mean(func(r *ExperimentRow) float64 { return r.MicrosPerCommand }))
	}
	return tw.Flush()
}

// Comparison is one figure of one cell in two experiments, run for run of the same seed.
type Comparison struct {
	Cell         string
	Metric       string
	Pairs        int
	Before, Diff float64 // means
	HalfWidth    float64 // of the difference's 95% interval
	Verdict      string
}

// comparedMetrics are the figures that two experiments are comparedMetrics by; better: more of it is.
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

// CompareExperiments compares what two experiments have in common. What lies within
// the interval of its noise is neither gain nor loss.
func CompareExperiments(before, after []ExperimentRow) (out []Comparison) {
	keys, was := groupByCell(withoutConstantSetting(before))
	_, is := groupByCell(withoutConstantSetting(after))
	for _, k := range keys {
		for _, f := range comparedMetrics {
			var base, diff []float64
			for _, a := range was[k] {
				for _, b := range is[k] {
					if a.Seed == b.Seed {
						base, diff = append(base, f.value(a)), append(diff, f.value(b)-f.value(a))
					}
				}
			}
			if len(diff) == 0 {
				continue
			}
			c := Comparison{Cell: k.String(), Metric: f.name, Pairs: len(diff), Before: stat.Mean(base, nil), Verdict: "within noise"}
			c.Diff, c.HalfWidth = confidenceInterval(diff)
			switch {
			case len(diff) < 3:
				c.Verdict = "too few pairs"
			case slices.Max(diff) == 0 && slices.Min(diff) == 0:
				c.Verdict = "the same"
			case math.Abs(c.Diff) > c.HalfWidth && (c.Diff > 0) == f.higherIsBetter:
				c.Verdict = "gain"
			case math.Abs(c.Diff) > c.HalfWidth:
				c.Verdict = "loss"
			}
			out = append(out, c)
		}
	}
	return out
}

// withoutConstantSetting leaves out the figure of an experiment that has one value of it throughout:
// it may be what two experiments differ by.
func withoutConstantSetting(rows []ExperimentRow) []ExperimentRow {
	out := slices.Clone(rows)
	for i := range out {
		if out[i].Setting != rows[0].Setting || out[i].Value != rows[0].Value {
			return rows
		}
	}
	for i := range out {
		out[i].Setting, out[i].Value = "", 0
	}
	return out
}

// PrintComparisons writes a comparison as Markdown.
func PrintComparisons(w io.Writer, list []Comparison) error {
	tw := tabwriter.NewWriter(w, 0, 0, 1, ' ', 0)
	fmt.Fprintln(tw, "| cell\t| figure\t| pairs\t| before\t| difference, 95%\t| verdict\t|")
	fmt.Fprintln(tw, "| ---\t| ---\t| ---\t| ---\t| ---\t| ---\t|")
	for _, c := range list {
		fmt.Fprintf(tw, "| %s\t| %s\t| %d\t| %.3f\t| %+.3f ± %.3f\t| %s\t|\n", c.Cell, c.Metric, c.Pairs, c.Before, c.Diff, c.HalfWidth, c.Verdict)
	}
	return tw.Flush()
}

// plotExperiment draws what the grid has lists of.
func plotExperiment(dir string, rows []ExperimentRow, seconds []SecondRow) error {
	keys, by := groupByCell(rows)
	line := func(file, title, x, y string, name func(cellKey) string, at func(cellKey) float64, of func(*ExperimentRow) float64) error {
		lines := map[string]*chart.Series{}
		var order []string
		for _, k := range keys {
			n := name(k)
			if lines[n] == nil {
				lines[n] = &chart.Series{Name: n}
				order = append(order, n)
			}
			lines[n].X, lines[n].Y = append(lines[n].X, at(k)), append(lines[n].Y, stat.Mean(column(by[k], of), nil))
		}
		var list []chart.Series
		for _, n := range order {
			if s := lines[n]; len(s.X) > 1 {
				list = append(list, *s)
			}
		}
		if len(list) == 0 {
			return nil
		}
		return chart.Lines(filepath.Join(dir, file), title, x, y, list...)
	}
	distinct := func(f func(cellKey) any) bool {
		for _, k := range keys {
			if f(k) != f(keys[0]) {
				return true
			}
		}
		return false
	}
	if distinct(func(k cellKey) any { return k.load }) {
		err := line("goodput-load.png", "goodput by load", "times the ordinary load", "part of the worth asked for",
			func(k cellKey) string { return fmt.Sprintf("%d hosts, %s", k.hosts, k.trouble) }, func(k cellKey) float64 { return k.load },
			func(r *ExperimentRow) float64 { return r.Goodput })
		if err != nil {
			return err
		}
	}
	if distinct(func(k cellKey) any { return k.hosts }) {
		for _, c := range []struct {
			file, title, y string
			of             func(*ExperimentRow) float64
		}{
			{"goodput-hosts.png", "goodput by hosts", "part of the worth asked for", func(r *ExperimentRow) float64 { return r.Goodput }},
			{"cost-hosts.png", "cost by hosts", "steps of the world a command", func(r *ExperimentRow) float64 { return r.StepsPerCommand }},
			{"p99-hosts.png", "latency by hosts", "p99, ms", func(r *ExperimentRow) float64 { return r.P99 }},
		} {
			err := line(c.file, c.title, "hosts", c.y, func(k cellKey) string { return fmt.Sprintf("%s, load %.2g", k.trouble, k.load) },
				func(k cellKey) float64 { return float64(k.hosts) }, c.of)
			if err != nil {
				return err
			}
		}
	}
	return plotSeconds(dir, seconds)
}

// plotSeconds draws goodput and latency over the day, a line for each kind of trouble:
// the mean over seeds of the largest number of hosts at the first load.
func plotSeconds(dir string, seconds []SecondRow) error {
	if len(seconds) == 0 {
		return nil
	}
	most := int32(0)
	for _, s := range seconds {
		most = max(most, s.Hosts)
	}
	type at struct {
		trouble string
		second  int32
	}
	sum := map[at]*[4]float64{}
	var troubles []string
	for _, s := range seconds {
		if s.Hosts != most || s.Load != seconds[0].Load || s.Value != seconds[0].Value || s.Layout != seconds[0].Layout {
			continue
		}
		if !slices.Contains(troubles, s.Trouble) {
			troubles = append(troubles, s.Trouble)
		}
		k := at{s.Trouble, s.Second}
		if sum[k] == nil {
			sum[k] = &[4]float64{}
		}
		x := sum[k]
		x[0], x[1], x[2], x[3] = x[0]+s.Offered, x[1]+s.Served, x[2]+s.P99, x[3]+1
	}
	var good, late []chart.Series
	for _, tr := range troubles {
		g, l := chart.Series{Name: tr}, chart.Series{Name: tr}
		for sec := int32(0); sec < 3600; sec++ {
			x := sum[at{tr, sec}]
			if x == nil || x[0] == 0 {
				continue
			}
			g.X, g.Y = append(g.X, float64(sec)), append(g.Y, x[1]/x[0])
			l.X, l.Y = append(l.X, float64(sec)), append(l.Y, x[2]/x[3])
		}
		good, late = append(good, g), append(late, l)
	}
	title := fmt.Sprintf("%d hosts", most)
	if err := chart.Lines(filepath.Join(dir, "goodput-time.png"), "goodput over the day, "+title, "s", "part of the worth asked for", good...); err != nil {
		return err
	}
	return chart.Lines(filepath.Join(dir, "p99-time.png"), "p99 of what was served, by the second of its asking, "+title, "s", "ms", late...)
}
