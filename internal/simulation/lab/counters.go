package lab

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"

	dto "github.com/prometheus/client_model/go"
	"github.com/prometheus/common/expfmt"
	"github.com/prometheus/common/model"

	"merlinhitch/internal/protocol/diskproto"
	"merlinhitch/internal/verify/trail"
)

// nodeKey identifies a disk server by its address, and the start of a host that counts for it.
type nodeKey struct{ host, node string }

// attemptCounters holds the attempt counters of hosts' /metrics, by disk server and result.
type attemptCounters struct {
	attempts map[nodeKey]map[string]float64
}

// CounterCheck is the result of comparing the attempt counters of hosts with the trail.
type CounterCheck struct {
	*Result
	Hosts, Nodes int
	ExactNodes   int // nodes without unanswered attempts, whose counters must equal the trail
	Attempts     float64
	Mismatches   []string
	reported     attemptCounters
	observed     map[nodeKey]*nodeTraffic
}

// OK reports whether the run passed its checks and no counter differs from the trail.
func (c *CounterCheck) OK() bool { return c.Result.OK() && len(c.Mismatches) == 0 }

// nodeTraffic counts the frames of a node in the trail.
type nodeTraffic struct {
	sent    float64
	answers map[string]float64
}

// CheckCounters runs BadDay and compares the counters of the hosts that run at its end with the
// frames on their sockets.
func CheckCounters(ctx context.Context, options Options) (*CounterCheck, error) {
	check := &CounterCheck{reported: attemptCounters{map[nodeKey]map[string]float64{}}, observed: map[nodeKey]*nodeTraffic{}}
	var fetchErr error
	options.onQuiescent = func(run *dayRun) {
		for _, host := range run.fleet.hosts {
			if host.clientRelay == nil {
				continue
			}
			if err := check.reported.fetch(ctx, host.name, host.gateway.Admin().String()); err != nil {
				fetchErr = err
			}
			check.Hosts++
		}
	}
	options.onStopped = func(_ *dayRun, events []trail.Event) { check.countEvents(events) }
	result, err := BadDay(ctx, options)
	if err == nil {
		err = fetchErr
	}
	if err != nil {
		return nil, err
	}
	check.Result = result
	check.Mismatches = check.compare()
	return check, nil
}

// fetch reads a host's /metrics with the Prometheus parser, which is independent of the encoder.
func (c *attemptCounters) fetch(ctx context.Context, host, addr string) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr+"/metrics", nil)
	if err != nil {
		return err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	defer http.DefaultClient.CloseIdleConnections()
	body, err := io.ReadAll(io.LimitReader(response.Body, 16<<20))
	if err != nil {
		return err
	}
	parser := expfmt.NewTextParser(model.UTF8Validation)
	families, err := parser.TextToMetricFamilies(bytes.NewReader(body))
	if err != nil {
		return err
	}
	for _, metric := range families["merlinhitch_attempts_total"].GetMetric() {
		key := nodeKey{host, labelValue(metric, "node")}
		if c.attempts[key] == nil {
			c.attempts[key] = map[string]float64{}
		}
		c.attempts[key][labelValue(metric, "result")] = metric.GetCounter().GetValue()
	}
	return nil
}

func labelValue(metric *dto.Metric, name string) string {
	for _, pair := range metric.GetLabel() {
		if pair.GetName() == name {
			return pair.GetValue()
		}
	}
	return ""
}

// answerResults maps the results of answers to the labels of the counters.
var answerResults = map[diskproto.Result]string{
	diskproto.OK: "served", diskproto.Miscompare: "served", diskproto.Fenced: "served", diskproto.Failed: "server_error",
	diskproto.Full: "turned_away", diskproto.Draining: "turned_away", diskproto.Expired: "turned_away",
	diskproto.WrongShard: "not_sent", diskproto.Stale: "not_sent",
}

// countEvents counts the Do and Answer frames of the trail, independently of the hosts' counters.
func (c *CounterCheck) countEvents(events []trail.Event) {
	for i := range events {
		event := &events[i]
		if event.Link != trail.LinkDisk || event.Kind != trail.Do && event.Kind != trail.Answer {
			continue
		}
		key := nodeKey{event.Host, event.Peer}
		traffic := c.observed[key]
		if traffic == nil {
			traffic = &nodeTraffic{answers: map[string]float64{}}
			c.observed[key] = traffic
		}
		if event.Kind == trail.Do {
			traffic.sent++
		} else {
			traffic.answers[answerResults[diskproto.Result(event.Status)]]++
		}
	}
}

// compare returns the counters that differ from the trail. For an attempt that the host cancelled
// or timed out, or whose connection was lost, the trail may or may not have the Do frame and the
// answer, so counters may differ by the number of such attempts. Without them they must be equal.
func (c *CounterCheck) compare() (mismatches []string) {
	for key, counts := range c.reported.attempts {
		traffic := c.observed[key]
		if traffic == nil {
			traffic = &nodeTraffic{answers: map[string]float64{}}
		}
		c.Nodes++
		unanswered := counts["no_answer"] + counts["connection_lost"] + counts["cancelled"]
		answered := counts["served"] + counts["server_error"] + counts["turned_away"]
		c.Attempts += answered + unanswered
		if unanswered == 0 {
			c.ExactNodes++
		}
		if traffic.sent < answered || traffic.sent > answered+unanswered+traffic.answers["not_sent"] {
			mismatches = append(mismatches, fmt.Sprintf("%s to %s: %v attempts counted with an answer and %v without, %v sent in the trail", key.host, key.node, answered, unanswered, traffic.sent))
		}
		for _, result := range []string{"served", "server_error", "turned_away"} {
			if seen := traffic.answers[result]; counts[result] > seen || counts[result] < seen-unanswered {
				mismatches = append(mismatches, fmt.Sprintf("%s to %s: %v counted as %s, %v such answers in the trail, of which %v may have arrived too late", key.host, key.node, counts[result], result, seen, unanswered))
			}
		}
	}
	return mismatches
}

// Print writes the counts of what was compared and the first mismatches.
func (c *CounterCheck) Print(w io.Writer) {
	c.Checker.Print(w)
	fmt.Fprintf(w, "%d hosts, %d nodes as they know them, %v attempts counted; at %d nodes every figure is known from the trail; %d figures wrong\n",
		c.Hosts, c.Nodes, c.Attempts, c.ExactNodes, len(c.Mismatches))
	for _, mismatch := range c.Mismatches[:min(len(c.Mismatches), 5)] {
		fmt.Fprintln(w, "WRONG:", mismatch)
	}
}
