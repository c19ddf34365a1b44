package soak

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"time"
)

// maxShownViolations is how many breaks of a run are printed whole.
const maxShownViolations = 5

// Summary is a run in one line: what passed, and the breaks by rule.
func (r *Run) Summary(broken []Violation) string {
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
		r.Options.Seed, len(r.Record.Requests), len(r.Record.Attempts), strings.Join(parts, ", "), countByRule(broken))
}

func countByRule(broken []Violation) string {
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
func (r *Run) Explain(w io.Writer, broken []Violation) {
	for _, e := range r.Events() {
		fmt.Fprintln(w, "  event", e)
	}
	for _, b := range broken[:min(len(broken), maxShownViolations)] {
		fmt.Fprintln(w, " ", b)
		if b.RequestID != "" {
			r.printTrace(w, b.RequestID)
		}
	}
	if more := len(broken) - maxShownViolations; more > 0 {
		fmt.Fprintf(w, "  and %d more\n", more)
	}
}

// printTrace prints all that is known of a request.
func (r *Run) printTrace(w io.Writer, id string) {
	for _, q := range r.Record.Requests {
		if q.ID == id {
			fmt.Fprintf(w, "    client: %s to scheduler %d at %s for %s, answered %s with %d, left %s, ended %s, resent %v\n", q.Class, q.Scheduler,
				formatTime(q.SentAt), q.Timeout, formatTime(q.AnsweredAt), q.Status, formatTime(q.AbandonedAt), formatTime(q.ConnLostAt), q.Resent)
		}
	}
	for _, a := range r.Record.Attempts {
		if a.ID == id {
			fmt.Fprintf(w, "    server %d: began %s, whole %s, told %s, served %v\n", a.Server, formatTime(a.FirstByteAt), formatTime(a.LastByteAt), a.Timeout, a.Served)
		}
	}
	for _, e := range r.Record.Exits {
		for line := range strings.SplitSeq(e.Log, "\n") {
			if strings.Contains(line, id) {
				fmt.Fprintln(w, "    log:", line)
			}
		}
	}
}

// formatTime is a time of the record; never for none.
func formatTime(t time.Duration) string {
	if t == 0 {
		return "never"
	}
	return fmt.Sprintf("%.3f s", t.Seconds())
}
