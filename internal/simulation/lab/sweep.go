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

// SweepRow sums up the runs of one kind of fault.
type SweepRow struct {
	Kind          string
	Runs          int
	FailedRuns    int // runs with a failed check
	Commands      int
	RuleChecks    [8]int
	Goodputs      []float64
	FirstFailure  string
	InvalidBlocks int
}

// Sweep runs each kind of fault alone, then all together and none, with the seeds 1 to seeds.
// parallel is the number of runs at the same time.
func Sweep(ctx context.Context, options Options, seeds, parallel int, progress io.Writer) ([]SweepRow, error) {
	names := append(FaultKinds(), "all together", "none")
	rows := make([]SweepRow, len(names))
	return rows, runSeeds(len(rows), seeds, parallel, progress, func(row int, seed uint64) (string, func(), error) {
		runOptions := options
		runOptions.Seed, runOptions.Progress, runOptions.FaultKinds = seed, nil, []string{names[row]}
		if names[row] == "all together" {
			runOptions.FaultKinds = nil
		}
		result, err := BadDay(ctx, runOptions)
		return names[row], func() { rows[row].add(names[row], seed, result) }, err
	})
}

// runSeeds calls run for each row with the seeds 1 to seeds, up to parallel calls at the same time.
// run returns a name for progress lines and a function that records its result; these functions are
// called one at a time.
func runSeeds(rows, seeds, parallel int, progress io.Writer, run func(row int, seed uint64) (name string, record func(), err error)) error {
	type job struct {
		row  int
		seed uint64
	}
	jobs := make(chan job)
	var mu sync.Mutex
	var runErr error
	done := 0
	var workers sync.WaitGroup
	for range parallel {
		workers.Go(func() {
			for job := range jobs {
				name, enter, err := run(job.row, job.seed)
				mu.Lock()
				if done++; err != nil {
					runErr = fmt.Errorf("%s, seed %d: %w", name, job.seed, err)
				} else {
					enter()
				}
				fmt.Fprintf(progress, "%d of %d: %s, seed %d\n", done, rows*seeds, name, job.seed)
				mu.Unlock()
			}
		})
	}
	for row := range rows {
		for seed := range seeds {
			jobs <- job{row, uint64(seed + 1)}
		}
	}
	close(jobs)
	workers.Wait()
	return runErr
}

func (r *SweepRow) add(kind string, seed uint64, result *Result) {
	r.Kind = kind
	r.Runs++
	r.Commands += result.Checker.Stats.Commands
	r.InvalidBlocks += len(result.InvalidReads) + result.UnreadBlocks
	for rule, count := range result.Checker.Checks {
		r.RuleChecks[rule] += count
	}
	r.Goodputs = append(r.Goodputs, result.Checker.Stats.Goodput())
	if result.OK() {
		return
	}
	r.FailedRuns++
	if r.FirstFailure == "" {
		r.FirstFailure = fmt.Sprintf("seed %d: %s", seed, result.failureSummary())
	}
}

// PrintSweep writes the rows as a Markdown table.
func PrintSweep(w io.Writer, rows []SweepRow) error {
	table := tabwriter.NewWriter(w, 0, 0, 1, ' ', 0)
	fmt.Fprint(table, "| fault\t| runs\t| failed\t| commands\t| min goodput\t| median\t| max")
	for rule := rules.Answers; rule <= rules.Budget; rule++ {
		fmt.Fprintf(table, "\t| rule %d", rule)
	}
	fmt.Fprintln(table, "\t|")
	fmt.Fprintln(table, "| ---\t| ---\t| ---\t| ---\t| ---\t| ---\t| ---\t| ---\t| ---\t| ---\t| ---\t| ---\t| ---\t| ---\t|")
	for _, row := range rows {
		if row.Runs == 0 {
			continue
		}
		slices.Sort(row.Goodputs)
		fmt.Fprintf(table, "| %s\t| %d\t| %d\t| %d\t| %.3f\t| %.3f\t| %.3f", row.Kind, row.Runs, row.FailedRuns, row.Commands,
			row.Goodputs[0], row.Goodputs[len(row.Goodputs)/2], row.Goodputs[len(row.Goodputs)-1])
		for rule := rules.Answers; rule <= rules.Budget; rule++ {
			fmt.Fprintf(table, "\t| %d", row.RuleChecks[rule])
		}
		fmt.Fprintln(table, "\t|")
	}
	if err := table.Flush(); err != nil {
		return err
	}
	for _, row := range rows {
		if row.FirstFailure != "" {
			fmt.Fprintf(w, "FAILED with %s: %s\n", row.Kind, row.FirstFailure)
		}
	}
	return nil
}
