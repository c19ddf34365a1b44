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

// Table counts commands by class and plan, as their clients saw them.
type Table struct {
	Rows            map[RowKey]*Row
	Commands, Final int // that need disks, and of those with an answer or given up
	// Seconds is what was due and served of the commands of each second.
	Seconds map[int64]*Sum
	// Ended, if set, is told of each command with an answer: when it was asked, how long
	// it took, both us, and whether it was served.
	Ended func(at, took int64, served bool)
}

// Sum is worth asked for and served.
type Sum struct{ Due, Worth float64 }

func (s Sum) part() float64 {
	if s.Due == 0 {
		return 0
	}
	return s.Worth / s.Due
}

// RowKey names a row.
type RowKey struct{ Class, Plan string }

// Row is one class of one plan. Latencies are in microseconds.
type Row struct {
	Asked, InTime, Late, Refused, Failed, GaveUp int
	Worth, Due                                   float64
	Latency                                      *hdrhistogram.Histogram
}

func newTable() *Table { return &Table{Rows: map[RowKey]*Row{}, Seconds: map[int64]*Sum{}} }

const longest = 600_000_000 // us that a histogram holds

func (t *Table) row(cmd *command) *Row {
	k := RowKey{cmd.class.Name, cmd.plan}
	r := t.Rows[k]
	if r == nil {
		r = &Row{Latency: hdrhistogram.New(1, longest, 3)}
		t.Rows[k] = r
	}
	return r
}

func (t *Table) asked(cmd *command) {
	if cmd.class == nil {
		return
	}
	t.Commands++
	r := t.row(cmd)
	r.Asked++
	r.Due += cmd.class.Worth
	t.second(cmd).Due += cmd.class.Worth
}

func (t *Table) second(cmd *command) *Sum {
	at := cmd.at / 1e6
	if t.Seconds[at] == nil {
		t.Seconds[at] = &Sum{}
	}
	return t.Seconds[at]
}

func (t *Table) answered(cmd *command, e *trail.Event) {
	t.Final++
	r := t.row(cmd)
	took := e.T - cmd.at
	if t.Ended != nil {
		t.Ended(cmd.at, took, e.Status == int32(scsi.Good))
	}
	miscompare := e.Sense>>16 == uint32(scsi.Miscompare.Key) && e.Status == int32(scsi.CheckCondition)
	switch {
	case e.Status == int32(scsi.Good) || miscompare:
		r.Latency.RecordValue(min(max(took, 1), longest)) // in range by the line itself
		worth := cmd.class.Worth
		if float64(took) <= cmd.class.Aim*1000 {
			r.InTime++
		} else {
			r.Late++
			worth *= cmd.class.LateWorth
		}
		r.Worth += worth
		t.second(cmd).Worth += worth
	case e.Status == int32(scsi.Busy):
		r.Refused++
	default:
		r.Failed++
	}
}

func (t *Table) gaveUp(cmd *command) {
	t.Final++
	t.row(cmd).GaveUp++
}

// keys lists the rows by class and plan.
func (t *Table) keys() []RowKey {
	return slices.SortedFunc(maps.Keys(t.Rows), func(a, b RowKey) int {
		return cmp.Or(cmp.Compare(a.Class, b.Class), cmp.Compare(a.Plan, b.Plan))
	})
}

// Goodput is the worth served over the worth asked for.
func (t *Table) Goodput() float64 { return t.GoodputOf(0) }

// GoodputOf counts more worth as asked for than the sockets show.
func (t *Table) GoodputOf(strays float64) float64 {
	all := Sum{Due: strays}
	for _, k := range t.keys() { // in order: sums of floats depend on it
		all.Worth, all.Due = all.Worth+t.Rows[k].Worth, all.Due+t.Rows[k].Due
	}
	return all.part()
}

// WorstPlan is the goodput of the plan that fares worst.
func (t *Table) WorstPlan() float64 {
	plans := map[string]*Sum{}
	for _, k := range t.keys() {
		r := t.Rows[k]
		if plans[k.Plan] == nil {
			plans[k.Plan] = &Sum{}
		}
		plans[k.Plan].Due += r.Due
		plans[k.Plan].Worth += r.Worth
	}
	worst := 1.0
	for _, s := range plans {
		worst = min(worst, s.part())
	}
	return worst
}

// WorstSpan is the least goodput over so many seconds in a row in which anything
// was asked for in the first and the last.
func (t *Table) WorstSpan(seconds int64) float64 {
	worst, any := 1.0, false
	for from := range t.Seconds {
		if t.Seconds[from+seconds-1] == nil {
			continue
		}
		var sum Sum
		for s := from; s < from+seconds; s++ {
			if x := t.Seconds[s]; x != nil {
				sum.Due, sum.Worth = sum.Due+x.Due, sum.Worth+x.Worth
			}
		}
		worst, any = min(worst, sum.part()), true
	}
	if !any {
		return t.Goodput()
	}
	return worst
}

// Between is the goodput of what was asked in the seconds from..to, to left out; 1 if
// nothing was.
func (t *Table) Between(from, to int64) float64 {
	var sum Sum
	for s := from; s < to; s++ {
		if x := t.Seconds[s]; x != nil {
			sum.Due, sum.Worth = sum.Due+x.Due, sum.Worth+x.Worth
		}
	}
	if sum.Due == 0 {
		return 1
	}
	return sum.part()
}

// Print writes the table.
func (t *Table) Print(w io.Writer) error {
	tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(tw, "class\tplan\tasked\tin time\tlate\trefused\tfailed\tgave up\tp50 ms\tp99 ms\t")
	for _, k := range t.keys() {
		r := t.Rows[k]
		fmt.Fprintf(tw, "%s\t%s\t%d\t%d\t%d\t%d\t%d\t%d\t%.1f\t%.1f\t\n", k.Class, k.Plan, r.Asked, r.InTime, r.Late,
			r.Refused, r.Failed, r.GaveUp, float64(r.Latency.ValueAtQuantile(50))/1000, float64(r.Latency.ValueAtQuantile(99))/1000)
	}
	return tw.Flush()
}

// Print writes the rules with their checks, and what was broken.
func (c *Checker) Print(w io.Writer) error {
	tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	last := Budget
	if c.set.Regions != nil {
		last = Homes
	}
	for r := Answers; r <= last; r++ {
		verdict := "holds"
		switch {
		case c.Broken[r] > 0:
			verdict = fmt.Sprintf("BROKEN %d times", c.Broken[r])
		case c.Checks[r] == 0:
			verdict = "nothing to check"
		}
		fmt.Fprintf(tw, "rule %d\t%s\t%d checks\t%s\n", r, r, c.Checks[r], verdict)
	}
	if err := tw.Flush(); err != nil {
		return err
	}
	_, err := fmt.Fprintf(w, "%d commands, %d final answers\n", c.Table.Commands, c.Table.Final)
	return err
}
