package lab

import (
	"context"
	"fmt"
	"io"
	"slices"
	"sync"
	"text/tabwriter"

	"merlinhitch/internal/verify/rules"
)

// SweepRow is one kind of trouble over its seeds.
type SweepRow struct {
	Kind          string
	Runs          int
	FailedRuns    int // runs that broke something
	Commands      int
	RuleChecks    [8]int
	Goodputs      []float64
	FirstFailure  string
	InvalidBlocks int
}

// Sweep plays each kind of trouble alone, then all together and none, over the
// seeds 1 to n, so many days at once.
func Sweep(ctx context.Context, opt Options, n, parallel int, progress io.Writer) ([]SweepRow, error) {
	names := append(FaultKinds(), "all together", "none")
	rows := make([]SweepRow, len(names))
	return rows, runSeeds(len(rows), n, parallel, progress, func(row int, seed uint64) (string, func(), error) {
		o := opt
		o.Seed, o.Progress, o.FaultKinds = seed, nil, []string{names[row]}
		if names[row] == "all together" {
			o.FaultKinds = nil
		}
		res, err := BadDay(ctx, o)
		return names[row], func() { rows[row].add(names[row], seed, res) }, err
	})
}

// runSeeds plays each row with the seeds 1 to n, so many at once. play returns a name
// for the progress and what enters its result, which is called one at a time.
func runSeeds(rows, n, parallel int, progress io.Writer, play func(row int, seed uint64) (name string, enter func(), err error)) error {
	type job struct {
		row  int
		seed uint64
	}
	jobs := make(chan job)
	var mu sync.Mutex
	var failed error
	done := 0
	var all sync.WaitGroup
	for range parallel {
		all.Go(func() {
			for j := range jobs {
				name, enter, err := play(j.row, j.seed)
				mu.Lock()
				if done++; err != nil {
					failed = fmt.Errorf("%s, seed %d: %w", name, j.seed, err)
				} else {
					enter()
				}
				fmt.Fprintf(progress, "%d of %d: %s, seed %d\n", done, rows*n, name, j.seed)
				mu.Unlock()
			}
		})
	}
	for r := range rows {
		for s := range n {
			jobs <- job{r, uint64(s + 1)}
		}
	}
	close(jobs)
	all.Wait()
	return failed
}

func (r *SweepRow) add(kind string, seed uint64, res *Result) {
	r.Kind = kind
	r.Runs++
	r.Commands += res.Checker.Stats.Commands
	r.InvalidBlocks += len(res.InvalidReads) + res.UnreadBlocks
	for i, n := range res.Checker.Checks {
		r.RuleChecks[i] += n
	}
	r.Goodputs = append(r.Goodputs, res.Checker.Stats.Goodput())
	if res.OK() {
		return
	}
	r.FailedRuns++
	if r.FirstFailure == "" {
		r.FirstFailure = fmt.Sprintf("seed %d: %s", seed, res.failureSummary())
	}
}

// PrintSweep writes the rows as a table that is also Markdown.
func PrintSweep(w io.Writer, rows []SweepRow) error {
	tw := tabwriter.NewWriter(w, 0, 0, 1, ' ', 0)
	fmt.Fprint(tw, "| trouble\t| days\t| broken\t| commands\t| goodput least\t| median\t| most")
	for r := rules.Answers; r <= rules.Budget; r++ {
		fmt.Fprintf(tw, "\t| rule %d", r)
	}
	fmt.Fprintln(tw, "\t|")
	fmt.Fprintln(tw, "| ---\t| ---\t| ---\t| ---\t| ---\t| ---\t| ---\t| ---\t| ---\t| ---\t| ---\t| ---\t| ---\t| ---\t|")
	for _, r := range rows {
		if r.Runs == 0 {
			continue
		}
		slices.Sort(r.Goodputs)
		fmt.Fprintf(tw, "| %s\t| %d\t| %d\t| %d\t| %.3f\t| %.3f\t| %.3f", r.Kind, r.Runs, r.FailedRuns, r.Commands,
			r.Goodputs[0], r.Goodputs[len(r.Goodputs)/2], r.Goodputs[len(r.Goodputs)-1])
		for k := rules.Answers; k <= rules.Budget; k++ {
			fmt.Fprintf(tw, "\t| %d", r.RuleChecks[k])
		}
		fmt.Fprintln(tw, "\t|")
	}
	if err := tw.Flush(); err != nil {
		return err
	}
	for _, r := range rows {
		if r.FirstFailure != "" {
			fmt.Fprintf(w, "BROKEN with %s: %s\n", r.Kind, r.FirstFailure)
		}
	}
	return nil
}
