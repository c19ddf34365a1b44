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

// nodeKey is a disk server's address as one start of a host knows it.
type nodeKey struct{ host, node string }

// attemptCounters are what hosts' /metrics say of their attempts, by result.
type attemptCounters struct {
	attempts map[nodeKey]map[string]float64
}

// CounterCheck is what came of holding counters to the trail of the sockets.
type CounterCheck struct {
	*Result
	Hosts, Nodes int
	ExactNodes   int // of the nodes: the trail knows each figure
	Attempts     float64
	Mismatches   []string
	reported     attemptCounters
	observed     map[nodeKey]*nodeTraffic
}

// OK tells whether no counter was wrong and all else was kept.
func (c *CounterCheck) OK() bool { return c.Result.OK() && len(c.Mismatches) == 0 }

// nodeTraffic is what the trail has of a node.
type nodeTraffic struct {
	sent    float64
	answers map[string]float64
}

// CheckCounters plays a bad day and holds the counters of the hosts that are up at its end to
// what passed on their sockets.
func CheckCounters(ctx context.Context, opt Options) (*CounterCheck, error) {
	out := &CounterCheck{reported: attemptCounters{map[nodeKey]map[string]float64{}}, observed: map[nodeKey]*nodeTraffic{}}
	var failed error
	opt.onQuiescent = func(d *dayRun) {
		for _, h := range d.fleet.hosts {
			if h.clientRelay == nil {
				continue
			}
			if err := out.reported.fetch(ctx, h.name, h.gateway.Admin().String()); err != nil {
				failed = err
			}
			out.Hosts++
		}
	}
	opt.onStopped = func(_ *dayRun, events []trail.Event) { out.countEvents(events) }
	res, err := BadDay(ctx, opt)
	if err == nil {
		err = failed
	}
	if err != nil {
		return nil, err
	}
	out.Result = res
	out.Mismatches = out.compare()
	return out, nil
}

// fetch parses a host's /metrics with a parser that the project did not write.
func (c *attemptCounters) fetch(ctx context.Context, host, addr string) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr+"/metrics", nil)
	if err != nil {
		return err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	defer http.DefaultClient.CloseIdleConnections()
	b, err := io.ReadAll(io.LimitReader(resp.Body, 16<<20))
	if err != nil {
		return err
	}
	p := expfmt.NewTextParser(model.UTF8Validation)
	families, err := p.TextToMetricFamilies(bytes.NewReader(b))
	if err != nil {
		return err
	}
	for _, m := range families["merlinhitch_attempts_total"].GetMetric() {
		k := nodeKey{host, labelValue(m, "node")}
		if c.attempts[k] == nil {
			c.attempts[k] = map[string]float64{}
		}
		c.attempts[k][labelValue(m, "result")] = m.GetCounter().GetValue()
	}
	return nil
}

func labelValue(m *dto.Metric, name string) string {
	for _, l := range m.GetLabel() {
		if l.GetName() == name {
			return l.GetValue()
		}
	}
	return ""
}

// answerResults are the results of answers as the counters name them.
var answerResults = map[diskproto.Result]string{
	diskproto.OK: "served", diskproto.Miscompare: "served", diskproto.Fenced: "served", diskproto.Failed: "server_error",
	diskproto.Full: "turned_away", diskproto.Draining: "turned_away", diskproto.Expired: "turned_away",
	diskproto.WrongShard: "not_sent", diskproto.Stale: "not_sent",
}

// countEvents counts what passed, on its own.
func (c *CounterCheck) countEvents(events []trail.Event) {
	for i := range events {
		e := &events[i]
		if e.Link != trail.LinkDisk || e.Kind != trail.Do && e.Kind != trail.Answer {
			continue
		}
		k := nodeKey{e.Host, e.Peer}
		s := c.observed[k]
		if s == nil {
			s = &nodeTraffic{answers: map[string]float64{}}
			c.observed[k] = s
		}
		if e.Kind == trail.Do {
			s.sent++
		} else {
			s.answers[answerResults[diskproto.Result(e.Status)]]++
		}
	}
}

// compare holds each counter to the trail. An attempt that the host gave up, or whose
// connection it lost, may have passed or not, and its answer too: by so many a figure may
// differ. Where there are none it must be the same.
func (c *CounterCheck) compare() (wrong []string) {
	for k, by := range c.reported.attempts {
		s := c.observed[k]
		if s == nil {
			s = &nodeTraffic{answers: map[string]float64{}}
		}
		c.Nodes++
		open := by["no_answer"] + by["connection_lost"] + by["cancelled"]
		total := by["served"] + by["server_error"] + by["turned_away"]
		c.Attempts += total + open
		if open == 0 {
			c.ExactNodes++
		}
		if s.sent < total || s.sent > total+open+s.answers["not_sent"] {
			wrong = append(wrong, fmt.Sprintf("%s to %s: %v attempts counted with an answer and %v without, %v passed", k.host, k.node, total, open, s.sent))
		}
		for _, r := range []string{"served", "server_error", "turned_away"} {
			if n := s.answers[r]; by[r] > n || by[r] < n-open {
				wrong = append(wrong, fmt.Sprintf("%s to %s: %v counted as %s, %v such answers passed, %v may have come too late", k.host, k.node, by[r], r, n, open))
			}
		}
	}
	return wrong
}

// Print writes what was compared.
func (c *CounterCheck) Print(w io.Writer) {
	c.Checker.Print(w)
	fmt.Fprintf(w, "%d hosts, %d nodes as they know them, %v attempts counted; at %d nodes every figure is known from the trail; %d figures wrong\n",
		c.Hosts, c.Nodes, c.Attempts, c.ExactNodes, len(c.Mismatches))
	for _, t := range c.Mismatches[:min(len(c.Mismatches), 5)] {
		fmt.Fprintln(w, "WRONG:", t)
	}
}
