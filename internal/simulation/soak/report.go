package soak

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"time"
)

// maxShownViolations is how many violations of a run are printed with their details.
const maxShownViolations = 5

// Summary returns one line: the seed, the requests, attempts and responses by status, and the
// violations by rule.
func (r *Run) Summary(broken []Violation) string {
	countByStatus := map[int]int{}
	hostileRequests := 0
	for _, request := range r.Record.Requests {
		if request.Hostile {
			hostileRequests++
		} else {
			countByStatus[request.Status]++
		}
	}
	var parts []string
	for _, status := range slices.Sorted(maps.Keys(countByStatus)) {
		name := fmt.Sprint(status)
		if status == 0 {
			name = "none"
		}
		parts = append(parts, fmt.Sprintf("%s %d", name, countByStatus[status]))
	}
	usage := r.Usage()
	return fmt.Sprintf("seed %d: %d requests and %d of hostile clients, %d attempts, answers %s, %d faulty responses, at most %.1f MB, %.2f s of processor time each; %s",
		r.Options.Seed, len(r.Record.Requests)-hostileRequests, hostileRequests, len(r.Record.Attempts), strings.Join(parts, ", "),
		r.countFaultyResponses(), usage.PeakMemoryMB, usage.CPUTime.Seconds(), countByRule(broken))
}

func (r *Run) countFaultyResponses() (total int) {
	for _, count := range r.Record.ResponseFaults {
		total += count
	}
	return total
}

func countByRule(broken []Violation) string {
	if len(broken) == 0 {
		return "all rules kept"
	}
	count := map[string]int{}
	for _, violation := range broken {
		count[violation.Rule]++
	}
	var parts []string
	for _, rule := range slices.Sorted(maps.Keys(count)) {
		parts = append(parts, fmt.Sprintf("%s %d", rule, count[rule]))
	}
	return "BROKEN: " + strings.Join(parts, ", ")
}

// Explain prints the events of a run, and its first violations with a trace of their requests.
func (r *Run) Explain(w io.Writer, broken []Violation) {
	for fault, count := range r.Record.ResponseFaults {
		fmt.Fprintf(w, "  faulty responses: %d with %s\n", count, ResponseFault(fault))
	}
	if r.Options.AnswerDelay > 0 {
		for fault, count := range r.Record.DiscoveryFaults {
			fmt.Fprintf(w, "  calls to discovery: %d with %s\n", count, DiscoveryFault(fault))
		}
	}
	for kind, count := range r.Record.HostileConns {
		if count > 0 {
			fmt.Fprintf(w, "  hostile clients: %d connections of %s\n", count, HostileKind(kind))
		}
	}
	for _, event := range r.Events() {
		fmt.Fprintln(w, "  event", event)
	}
	for _, violation := range broken[:min(len(broken), maxShownViolations)] {
		fmt.Fprintln(w, " ", violation)
		if violation.RequestID != "" {
			r.printTrace(w, violation.RequestID)
		}
	}
	if hidden := len(broken) - maxShownViolations; hidden > 0 {
		fmt.Fprintf(w, "  and %d more violations\n", hidden)
	}
}

// printTrace prints what the client, the disk servers and the schedulers' logs recorded of a
// request.
func (r *Run) printTrace(w io.Writer, id string) {
	for _, request := range r.Record.Requests {
		if request.ID == id {
			fmt.Fprintf(w, "    client: %s to scheduler %d at %s, timeout %s, answered %s with status %d, abandoned %s, connection lost %s, resent %v\n", request.Class, request.Scheduler,
				formatTime(request.SentAt), request.Timeout, formatTime(request.AnsweredAt), request.Status, formatTime(request.AbandonedAt), formatTime(request.ConnLostAt), request.Resent)
		}
	}
	for _, attempt := range r.Record.Attempts {
		if attempt.ID == id {
			fmt.Fprintf(w, "    server %d: first byte %s, last byte %s, timeout %s, served %v\n", attempt.Server, formatTime(attempt.FirstByteAt), formatTime(attempt.LastByteAt), attempt.Timeout, attempt.Served)
		}
	}
	for _, exit := range r.Record.Exits {
		for line := range strings.SplitSeq(exit.Log, "\n") {
			if strings.Contains(line, id) {
				fmt.Fprintln(w, "    log:", line)
			}
		}
	}
}

// formatTime formats a time of the record in seconds; 0 is "never".
func formatTime(t time.Duration) string {
	if t == 0 {
		return "never"
	}
	return fmt.Sprintf("%.3f s", t.Seconds())
}
