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

func (s *Stats) classStats(cmd *command) *ClassStats {
	key := ClassPlan{cmd.class.Name, cmd.plan}
	stats := s.ByClass[key]
	if stats == nil {
		stats = &ClassStats{Latency: hdrhistogram.New(1, maxLatency, 3)}
		s.ByClass[key] = stats
	}
	return stats
}

func (s *Stats) recordIssued(cmd *command) {
	if cmd.class == nil {
		return
	}
	s.Commands++
	stats := s.classStats(cmd)
	stats.Issued++
	stats.OfferedValue += cmd.class.Value
	s.secondOf(cmd).Offered += cmd.class.Value
}

func (s *Stats) secondOf(cmd *command) *ValueSum {
	second := cmd.issuedAt / 1e6
	if s.PerSecond[second] == nil {
		s.PerSecond[second] = &ValueSum{}
	}
	return s.PerSecond[second]
}

func (s *Stats) recordAnswer(cmd *command, e *trail.Event) {
	s.Finished++
	stats := s.classStats(cmd)
	latency := e.Time - cmd.issuedAt
	if s.OnAnswer != nil {
		s.OnAnswer(cmd.issuedAt, latency, e.Status == int32(scsi.Good))
	}
	miscompare := e.Sense>>16 == uint32(scsi.Miscompare.Key) && e.Status == int32(scsi.CheckCondition)
	switch {
	case e.Status == int32(scsi.Good) || miscompare:
		stats.Latency.RecordValue(min(max(latency, 1), maxLatency)) // clamped, so it cannot fail
		value := cmd.class.Value
		if float64(latency) <= cmd.class.LatencyTarget*1000 {
			stats.WithinTarget++
		} else {
			stats.Late++
			value *= cmd.class.LateValue
		}
		stats.ServedValue += value
		s.secondOf(cmd).Served += value
	case e.Status == int32(scsi.Busy):
		stats.Refused++
	default:
		stats.Failed++
	}
}

func (s *Stats) recordAbandoned(cmd *command) {
	s.Finished++
	s.classStats(cmd).Abandoned++
}

// sortedClassPlans returns the keys of ByClass, by class and then by plan.
func (s *Stats) sortedClassPlans() []ClassPlan {
	return slices.SortedFunc(maps.Keys(s.ByClass), func(a, b ClassPlan) int {
		return cmp.Or(cmp.Compare(a.Class, b.Class), cmp.Compare(a.Plan, b.Plan))
	})
}

// Goodput returns the served fraction of the value of all commands.
func (s *Stats) Goodput() float64 { return s.GoodputWithUnseen(0) }

// GoodputWithUnseen returns the goodput with further unserved commands, which the trail lacks, of
// that total value.
func (s *Stats) GoodputWithUnseen(unseen float64) float64 {
	total := ValueSum{Offered: unseen}
	for _, key := range s.sortedClassPlans() { // in a fixed order, since sums of floats depend on it
		total.Served, total.Offered = total.Served+s.ByClass[key].ServedValue, total.Offered+s.ByClass[key].OfferedValue
	}
	return total.goodput()
}

// WorstPlanGoodput returns the lowest goodput of any plan.
func (s *Stats) WorstPlanGoodput() float64 {
	plans := map[string]*ValueSum{}
	for _, key := range s.sortedClassPlans() {
		stats := s.ByClass[key]
		if plans[key.Plan] == nil {
			plans[key.Plan] = &ValueSum{}
		}
		plans[key.Plan].Offered += stats.OfferedValue
		plans[key.Plan].Served += stats.ServedValue
	}
	worst := 1.0
	for _, sum := range plans {
		worst = min(worst, sum.goodput())
	}
	return worst
}

// WorstWindowGoodput returns the lowest goodput over any window of that many seconds with commands
// in its first and its last second, or the goodput of the run if there is no such window.
func (s *Stats) WorstWindowGoodput(seconds int64) float64 {
	worst, found := 1.0, false
	for from := range s.PerSecond {
		if s.PerSecond[from+seconds-1] == nil {
			continue
		}
		var sum ValueSum
		for second := from; second < from+seconds; second++ {
			if values := s.PerSecond[second]; values != nil {
				sum.Offered, sum.Served = sum.Offered+values.Offered, sum.Served+values.Served
			}
		}
		worst, found = min(worst, sum.goodput()), true
	}
	if !found {
		return s.Goodput()
	}
	return worst
}

// GoodputBetween returns the goodput of the commands issued in the seconds from to to-1, or 1 if
// there are none.
func (s *Stats) GoodputBetween(from, to int64) float64 {
	var sum ValueSum
	for second := from; second < to; second++ {
		if values := s.PerSecond[second]; values != nil {
			sum.Offered, sum.Served = sum.Offered+values.Offered, sum.Served+values.Served
		}
	}
	if sum.Offered == 0 {
		return 1
	}
	return sum.goodput()
}

// Print writes a table with a line for each class and plan.
func (s *Stats) Print(w io.Writer) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(table, "class\tplan\tasked\tin time\tlate\trefused\tfailed\tgave up\tp50 ms\tp99 ms\t")
	for _, key := range s.sortedClassPlans() {
		stats := s.ByClass[key]
		fmt.Fprintf(table, "%s\t%s\t%d\t%d\t%d\t%d\t%d\t%d\t%.1f\t%.1f\t\n", key.Class, key.Plan, stats.Issued, stats.WithinTarget, stats.Late,
			stats.Refused, stats.Failed, stats.Abandoned, float64(stats.Latency.ValueAtQuantile(50))/1000, float64(stats.Latency.ValueAtQuantile(99))/1000)
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
	for rule := Answers; rule <= lastRule; rule++ {
		verdict := "holds"
		switch {
		case c.ViolationCounts[rule] > 0:
			verdict = fmt.Sprintf("BROKEN %d times", c.ViolationCounts[rule])
		case c.Checks[rule] == 0:
			verdict = "nothing to check"
		}
		fmt.Fprintf(table, "rule %d\t%s\t%d checks\t%s\n", rule, rule, c.Checks[rule], verdict)
	}
	if err := table.Flush(); err != nil {
		return err
	}
	_, err := fmt.Fprintf(w, "%d commands, %d final answers\n", c.Stats.Commands, c.Stats.Finished)
	return err
}
