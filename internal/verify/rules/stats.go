package rules

import (
	"cmp"
	"fmt"
	"io"
	"maps"
	"slices"
	"text/tabwriter"

	"github.com/HdrHistogram/hdrhistogram-go"

	"merlinhitch/internal/protocol/scsi"
	"merlinhitch/internal/verify/trail"
)

// Stats counts commands and their outcomes by class and plan, as the clients saw them.
type Stats struct {
	ByClass            map[ClassPlan]*ClassStats
	Commands, Finished int // commands of a class; those of them answered or abandoned
	// PerSecond sums values by the second of the run in which the commands were issued.
	PerSecond map[int64]*ValueSum
	// OnAnswer, if set, is called for each answered command with its issue time and latency in
	// us, and whether its status was GOOD.
	OnAnswer func(issuedAt, latency int64, served bool)
}

// ValueSum sums the value of issued and of served commands.
type ValueSum struct{ Offered, Served float64 }

func (s ValueSum) goodput() float64 {
	if s.Offered == 0 {
		return 0
	}
	return s.Served / s.Offered
}

// ClassPlan identifies the commands of one class under one plan.
type ClassPlan struct{ Class, Plan string }

// ClassStats counts the commands of one class under one plan. WithinTarget and Late are served
// commands with a latency within and above the class's latency target; a miscompare counts as
// served. Latency is in us.
type ClassStats struct {
	Issued, WithinTarget, Late, Refused, Failed, Abandoned int
	ServedValue, OfferedValue                              float64
	Latency                                                *hdrhistogram.Histogram
}

func newStats() *Stats {
	return &Stats{ByClass: map[ClassPlan]*ClassStats{}, PerSecond: map[int64]*ValueSum{}}
}

// maxLatency is the largest latency that a histogram records, in us.
const maxLatency = 600_000_000

func (t *Stats) classStats(cmd *command) *ClassStats {
	key := ClassPlan{cmd.class.Name, cmd.plan}
	stats := t.ByClass[key]
	if stats == nil {
		stats = &ClassStats{Latency: hdrhistogram.New(1, maxLatency, 3)}
		t.ByClass[key] = stats
	}
	return stats
}

func (t *Stats) recordIssued(cmd *command) {
	if cmd.class == nil {
		return
	}
	t.Commands++
	stats := t.classStats(cmd)
	stats.Issued++
	stats.OfferedValue += cmd.class.Worth
	t.secondOf(cmd).Offered += cmd.class.Worth
}

func (t *Stats) secondOf(cmd *command) *ValueSum {
	second := cmd.issuedAt / 1e6
	if t.PerSecond[second] == nil {
		t.PerSecond[second] = &ValueSum{}
	}
	return t.PerSecond[second]
}

func (t *Stats) recordAnswer(cmd *command, e *trail.Event) {
	t.Finished++
	stats := t.classStats(cmd)
	latency := e.Time - cmd.issuedAt
	if t.OnAnswer != nil {
		t.OnAnswer(cmd.issuedAt, latency, e.Status == int32(scsi.Good))
	}
	miscompare := e.Sense>>16 == uint32(scsi.Miscompare.Key) && e.Status == int32(scsi.CheckCondition)
	switch {
	case e.Status == int32(scsi.Good) || miscompare:
		stats.Latency.RecordValue(min(max(latency, 1), maxLatency)) // clamped, so it cannot fail
		value := cmd.class.Worth
		if float64(latency) <= cmd.class.Aim*1000 {
			stats.WithinTarget++
		} else {
			stats.Late++
			value *= cmd.class.LateWorth
		}
		stats.ServedValue += value
		t.secondOf(cmd).Served += value
	case e.Status == int32(scsi.Busy):
		stats.Refused++
	default:
		stats.Failed++
	}
}

func (t *Stats) recordAbandoned(cmd *command) {
	t.Finished++
	t.classStats(cmd).Abandoned++
}

// sortedKeys returns the keys of ByClass, by class and then by plan.
func (t *Stats) sortedKeys() []ClassPlan {
	return slices.SortedFunc(maps.Keys(t.ByClass), func(a, b ClassPlan) int {
		return cmp.Or(cmp.Compare(a.Class, b.Class), cmp.Compare(a.Plan, b.Plan))
	})
}

// Goodput returns the served fraction of the value of all commands.
func (t *Stats) Goodput() float64 { return t.GoodputWithUnseen(0) }

// GoodputWithUnseen returns the goodput with further unserved commands, which the trail lacks, of
// that total value.
func (t *Stats) GoodputWithUnseen(unseen float64) float64 {
	total := ValueSum{Offered: unseen}
	for _, k := range t.sortedKeys() { // in a fixed order, since sums of floats depend on it
		total.Served, total.Offered = total.Served+t.ByClass[k].ServedValue, total.Offered+t.ByClass[k].OfferedValue
	}
	return total.goodput()
}

// WorstPlanGoodput returns the lowest goodput of any plan.
func (t *Stats) WorstPlanGoodput() float64 {
	plans := map[string]*ValueSum{}
	for _, k := range t.sortedKeys() {
		r := t.ByClass[k]
		if plans[k.Plan] == nil {
			plans[k.Plan] = &ValueSum{}
		}
		plans[k.Plan].Offered += r.OfferedValue
		plans[k.Plan].Served += r.ServedValue
	}
	worst := 1.0
	for _, s := range plans {
		worst = min(worst, s.goodput())
	}
	return worst
}

// WorstWindowGoodput returns the lowest goodput over any window of that many seconds with commands
// in its first and its last second, or the goodput of the run if there is no such window.
func (t *Stats) WorstWindowGoodput(seconds int64) float64 {
	worst, found := 1.0, false
	for from := range t.PerSecond {
		if t.PerSecond[from+seconds-1] == nil {
			continue
		}
		var sum ValueSum
		for s := from; s < from+seconds; s++ {
			if x := t.PerSecond[s]; x != nil {
				sum.Offered, sum.Served = sum.Offered+x.Offered, sum.Served+x.Served
			}
		}
		worst, found = min(worst, sum.goodput()), true
	}
	if !found {
		return t.Goodput()
	}
	return worst
}

// GoodputBetween returns the goodput of the commands issued in the seconds from to to-1, or 1 if
// there are none.
func (t *Stats) GoodputBetween(from, to int64) float64 {
	var sum ValueSum
	for s := from; s < to; s++ {
		if x := t.PerSecond[s]; x != nil {
			sum.Offered, sum.Served = sum.Offered+x.Offered, sum.Served+x.Served
		}
	}
	if sum.Offered == 0 {
		return 1
	}
	return sum.goodput()
}

// Print writes a table with a line for each class and plan.
func (t *Stats) Print(w io.Writer) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(table, "class\tplan\tasked\tin time\tlate\trefused\tfailed\tgave up\tp50 ms\tp99 ms\t")
	for _, k := range t.sortedKeys() {
		r := t.ByClass[k]
		fmt.Fprintf(table, "%s\t%s\t%d\t%d\t%d\t%d\t%d\t%d\t%.1f\t%.1f\t\n", k.Class, k.Plan, r.Issued, r.WithinTarget, r.Late,
			r.Refused, r.Failed, r.Abandoned, float64(r.Latency.ValueAtQuantile(50))/1000, float64(r.Latency.ValueAtQuantile(99))/1000)
	}
	return table.Flush()
}

// Print writes the number of checks and the result of each rule.
func (c *Checker) Print(w io.Writer) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	lastRule := Budget
	if c.settings.Regions != nil {
		lastRule = Homes
	}
	for r := Answers; r <= lastRule; r++ {
		verdict := "holds"
		switch {
		case c.ViolationCounts[r] > 0:
			verdict = fmt.Sprintf("BROKEN %d times", c.ViolationCounts[r])
		case c.Checks[r] == 0:
			verdict = "nothing to check"
		}
		fmt.Fprintf(table, "rule %d\t%s\t%d checks\t%s\n", r, r, c.Checks[r], verdict)
	}
	if err := table.Flush(); err != nil {
		return err
	}
	_, err := fmt.Fprintf(w, "%d commands, %d final answers\n", c.Stats.Commands, c.Stats.Finished)
	return err
}
