package gateway_test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/prometheus/client_golang/prometheus/testutil/promlint"
	dto "github.com/prometheus/client_model/go"
	"github.com/prometheus/common/expfmt"
	"github.com/prometheus/common/model"

	"merlinhitch/internal/control/gateway"
	"merlinhitch/internal/control/settings"
	"merlinhitch/internal/protocol/diskproto"
	"merlinhitch/internal/protocol/initiator"
	"merlinhitch/internal/protocol/inventory"
	"merlinhitch/internal/protocol/scsi"
)

// getAdmin fetches a getAdmin of the admin API.
func (r *harness) getAdmin(path string) (int, []byte) {
	r.t.Helper()
	resp, err := http.Get("http://" + r.gateway.Admin().String() + path)
	if err != nil {
		r.t.Fatal(err)
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	if err != nil {
		r.t.Fatal(err)
	}
	return resp.StatusCode, b
}

func enableAdmin(c *gateway.Config) { c.Admin = "127.0.0.1:0" }

// metricFamilies parses /metrics with a parser that the project did not write.
func (r *harness) metricFamilies() map[string]*dto.MetricFamily {
	r.t.Helper()
	code, b := r.getAdmin("/metrics")
	if code != http.StatusOK {
		r.t.Fatalf("%d: %s", code, b)
	}
	p := expfmt.NewTextParser(model.UTF8Validation)
	f, err := p.TextToMetricFamilies(bytes.NewReader(b))
	if err != nil {
		r.t.Fatal(err)
	}
	problems, err := promlint.New(bytes.NewReader(b)).Lint()
	if err != nil {
		r.t.Fatal(err)
	}
	for _, p := range problems {
		r.t.Errorf("promlint: %s: %s", p.Metric, p.Text)
	}
	return f
}

// sumSamples adds up the samples of a family whose labels have those values.
func sumSamples(f *dto.MetricFamily, labels ...string) (total float64) {
	for _, m := range f.GetMetric() {
		fits := 0
		for _, l := range m.GetLabel() {
			for i := 0; i+1 < len(labels); i += 2 {
				if l.GetName() == labels[i] && l.GetValue() == labels[i+1] {
					fits++
				}
			}
		}
		if fits*2 == len(labels) {
			total += m.GetCounter().GetValue() + m.GetGauge().GetValue() + float64(m.GetHistogram().GetSampleCount())
		}
	}
	return total
}

// What is counted is what clients and servers saw: by class, end, node and result.
func TestMetricsAreExact(t *testing.T) {
	r := newHarnessWithConfig(t, useOneShard, enableAdmin, nil)
	a := r.startFakeDiskServer(func(c *attemptConn, do diskproto.Do) {
		switch {
		case do.LBA == 9 && do.Attempt == 0:
			c.answer(diskproto.Answer{Result: diskproto.Failed})
		case scsi.Op(do.Op) == scsi.CompareAndWrite:
			c.conn.Close()
		default:
			c.answer(okAnswer(do))
		}
	})
	c := r.connect(normalVolume, 1)
	for i := range uint64(20) {
		r.execute(c, initiator.ReadCDB(i, 1), nil, 4096)
	}
	for i := range uint64(5) {
		r.execute(c, initiator.WriteCDB(i, 1), make([]byte, 4096), 0)
	}
	r.execute(c, initiator.CompareAndWriteCDB(0, 1), make([]byte, 8192), 0)
	f := r.metricFamilies()
	for _, x := range []struct {
		name   string
		labels []string
		want   float64
	}{
		{"merlinhitch_requests_taken_total", nil, 26},
		{"merlinhitch_requests_ended_total", []string{"class", "card-read", "end", "served"}, 20},
		{"merlinhitch_requests_ended_total", []string{"class", "txn-write", "end", "served", "plan", "normal"}, 5},
		{"merlinhitch_requests_ended_total", []string{"class", "swap", "end", "failed"}, 1},
		{"merlinhitch_requests_ended_total", []string{"end", "refused"}, 0},
		{"merlinhitch_request_duration_seconds", []string{"class", "card-read"}, 20},
		{"merlinhitch_attempts_total", []string{"result", "served"}, 25},
		{"merlinhitch_attempts_total", []string{"result", "server_error"}, 1},
		{"merlinhitch_attempts_total", []string{"result", "connection_lost"}, 1},
		{"merlinhitch_attempts_total", nil, float64(len(a.receivedRequests()))},
		{"merlinhitch_sessions", nil, 1},
		{"merlinhitch_settings_version", nil, 1},
		{"merlinhitch_serves", nil, 1},
		{"merlinhitch_shards_without_node", nil, 0},
	} {
		if f[x.name] == nil {
			t.Errorf("there is no %s", x.name)
		} else if got := sumSamples(f[x.name], x.labels...); got != x.want {
			t.Errorf("%s %v: %v, want %v", x.name, x.labels, got, x.want)
		}
	}
}

// What is named is bounded, however many volumes there are.
func TestMetricsAreBounded(t *testing.T) {
	r := newHarnessWithConfig(t, func(s *settings.Settings) {
		useOneShard(s)
		for len(s.Volumes) < 10000 {
			v := s.Volumes[0]
			v.Name = fmt.Sprintf("lot-%05d", len(s.Volumes))
			s.Volumes = append(s.Volumes, v)
		}
	}, enableAdmin, nil)
	for i := 100; i < 250; i++ {
		c := r.connect(i, byte(i))
		r.execute(c, initiator.ReadCDB(0, 1), nil, 4096)
		c.Logout()
	}
	if n := len(r.metricFamilies()["merlinhitch_limit_left_units"].GetMetric()); n != 100 {
		t.Errorf("%d volumes are named", n)
	}
	if _, b := r.getAdmin("/metrics"); len(b) > 64<<10 {
		t.Errorf("%d bytes", len(b))
	}
}

func TestHealthReadinessAndState(t *testing.T) {
	r := newHarnessWithConfig(t, nil, enableAdmin, nil)
	until := func(code int, text string) {
		t.Helper()
		r.waitFor(text, func() bool {
			got, b := r.getAdmin("/readyz")
			return got == code && strings.Contains(string(b), text)
		})
	}
	if code, _ := r.getAdmin("/healthz"); code != http.StatusOK {
		t.Errorf("%d", code)
	}
	until(http.StatusOK, "ready")
	r.inventory.ChangeNow(func(b *inventory.Book) { b.Health(r.diskServers[1].Addr, inventory.Draining) })
	until(http.StatusServiceUnavailable, "shard 1 has no node")
	r.execute(r.connect(normalVolume, 1), initiator.ReadCDB(0, 1), nil, 4096)
	code, b := r.getAdmin("/state")
	var state struct {
		Module struct {
			Shards []struct{ Node string }
			Nodes  []struct{ Off bool }
		}
		Serves bool
	}
	if err := json.Unmarshal(b, &state); err != nil || code != http.StatusOK || len(state.Module.Shards) != 3 || state.Module.Shards[1].Node != "" || !state.Serves {
		t.Errorf("%d, %v, %s", code, err, b)
	}
}
