package soak

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"time"
)

// shownBreaks is how many breaks of a run are printed whole.
const shownBreaks = 5

// Summary is a run in one line: what passed, and the breaks by rule.
func (r *Run) Summary(broken []Broken) string {
	answers := map[int]int{}
	for _, q := range r.Record.Requests {
		answers[q.Status]++
	}
	var parts []string
	for _, status := range slices.Sorted(maps.Keys(answers)) {
		name := fmt.Sprint(status)
		if status == 0 {
			name = "none"
		}
		parts = append(parts, fmt.Sprintf("%s %d", name, answers[status]))
	}
	return fmt.Sprintf("seed %d: %d requests, %d attempts, answers %s; %s",
		r.Options.Seed, len(r.Record.Requests), len(r.Record.Attempts), strings.Join(parts, ", "), byRule(broken))
}

func byRule(broken []Broken) string {
	if len(broken) == 0 {
		return "all rules kept"
	}
	count := map[string]int{}
	for _, b := range broken {
		count[b.Rule]++
	}
	var parts []string
	for _, rule := range slices.Sorted(maps.Keys(count)) {
		parts = append(parts, fmt.Sprintf("%s %d", rule, count[rule]))
	}
	return "BROKEN: " + strings.Join(parts, ", ")
}

// Explain prints what befell a run and the first breaks with their requests' whole way.
func (r *Run) Explain(w io.Writer, broken []Broken) {
	for _, e := range r.Events() {
		fmt.Fprintln(w, "  event", e)
	}
	for _, b := range broken[:min(len(broken), shownBreaks)] {
		fmt.Fprintln(w, " ", b)
		if b.Request != "" {
			r.way(w, b.Request)
		}
	}
	if more := len(broken) - shownBreaks; more > 0 {
		fmt.Fprintf(w, "  and %d more\n", more)
	}
}

// way prints all that is known of a request.
func (r *Run) way(w io.Writer, id string) {
	for _, q := range r.Record.Requests {
		if q.ID == id {
			fmt.Fprintf(w, "    client: %s to scheduler %d at %s for %s, answered %s with %d, left %s, ended %s, resent %v\n", q.Class, q.Scheduler,
				clock(q.Sent), q.Timeout, clock(q.Answered), q.Status, clock(q.Left), clock(q.Ended), q.Resent)
		}
	}
	for _, a := range r.Record.Attempts {
		if a.ID == id {
			fmt.Fprintf(w, "    server %d: began %s, whole %s, told %s, served %v\n", a.Server, clock(a.Began), clock(a.Whole), a.Timeout, a.Served)
		}
	}
	for _, e := range r.Record.Ends {
		for line := range strings.SplitSeq(e.Log, "\n") {
			if strings.Contains(line, id) {
				fmt.Fprintln(w, "    log:", line)
			}
		}
	}
}

// clock is a time of the record; never for none.
func clock(t time.Duration) string {
	if t == 0 {
		return "never"
	}
	return fmt.Sprintf("%.3f s", t.Seconds())
}
