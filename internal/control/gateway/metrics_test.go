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

// getAdmin returns the status and body of a GET request to the admin API.
func (h *harness) getAdmin(path string) (int, []byte) {
	h.t.Helper()
	response, err := http.Get("http://" + h.gateway.Admin().String() + path)
	if err != nil {
		h.t.Fatal(err)
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		h.t.Fatal(err)
	}
	return response.StatusCode, body
}

func enableAdmin(c *gateway.Config) { c.Admin = "127.0.0.1:0" }

// metricFamilies fetches, parses and lints /metrics with the parser and the linter of Prometheus.
func (h *harness) metricFamilies() map[string]*dto.MetricFamily {
	h.t.Helper()
	code, body := h.getAdmin("/metrics")
	if code != http.StatusOK {
		h.t.Fatalf("/metrics: got status %d, body %s, want 200", code, body)
	}
	parser := expfmt.NewTextParser(model.UTF8Validation)
	families, err := parser.TextToMetricFamilies(bytes.NewReader(body))
	if err != nil {
		h.t.Fatal(err)
	}
	problems, err := promlint.New(bytes.NewReader(body)).Lint()
	if err != nil {
		h.t.Fatal(err)
	}
	for _, problem := range problems {
		h.t.Errorf("promlint: %s: %s", problem.Metric, problem.Text)
	}
	return families
}

// sumSamples adds up the samples of a family that have the given labels, which are names and values
// in turn. A histogram counts as its number of observations.
func sumSamples(family *dto.MetricFamily, labels ...string) (total float64) {
	for _, metric := range family.GetMetric() {
		matches := 0
		for _, label := range metric.GetLabel() {
			for i := 0; i+1 < len(labels); i += 2 {
				if label.GetName() == labels[i] && label.GetValue() == labels[i+1] {
					matches++
				}
			}
		}
		if matches*2 == len(labels) {
			total += metric.GetCounter().GetValue() + metric.GetGauge().GetValue() + float64(metric.GetHistogram().GetSampleCount())
		}
	}
	return total
}

// Counters must agree with the commands that a client sent and the answers of the disk server.
func TestMetricsAreExact(t *testing.T) {
	h := newHarnessWithConfig(t, useOneShard, enableAdmin, nil)
	diskServer := h.startFakeDiskServer(func(attempt *receivedAttempt, request diskproto.Do) {
		switch {
		case request.LBA == 9 && request.Attempt == 0:
			attempt.answer(diskproto.Answer{Result: diskproto.Failed})
		case scsi.Op(request.Op) == scsi.CompareAndWrite:
			attempt.conn.Close()
		default:
			attempt.answer(okAnswer(request))
		}
	})
	client := h.connect(normalVolume, 1)
	for i := range uint64(20) {
		h.execute(client, initiator.ReadCDB(i, 1), nil, 4096)
	}
	for i := range uint64(5) {
		h.execute(client, initiator.WriteCDB(i, 1), make([]byte, 4096), 0)
	}
	h.execute(client, initiator.CompareAndWriteCDB(0, 1), make([]byte, 8192), 0)
	families := h.metricFamilies()
	for _, tt := range []struct {
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
		{"merlinhitch_attempts_total", nil, float64(len(diskServer.receivedRequests()))},
		{"merlinhitch_sessions", nil, 1},
		{"merlinhitch_settings_version", nil, 1},
		{"merlinhitch_serves", nil, 1},
		{"merlinhitch_shards_without_node", nil, 0},
	} {
		if families[tt.name] == nil {
			t.Errorf("metric %s is missing", tt.name)
		} else if got := sumSamples(families[tt.name], tt.labels...); got != tt.want {
			t.Errorf("%s %v: got %v, want %v", tt.name, tt.labels, got, tt.want)
		}
	}
}

// The number of series and the size of /metrics must stay bounded with many volumes.
func TestMetricsAreBounded(t *testing.T) {
	h := newHarnessWithConfig(t, func(s *settings.Settings) {
		useOneShard(s)
		for len(s.Volumes) < 10000 {
			volume := s.Volumes[0]
			volume.Name = fmt.Sprintf("lot-%05d", len(s.Volumes))
			s.Volumes = append(s.Volumes, volume)
		}
	}, enableAdmin, nil)
	for i := 100; i < 250; i++ {
		client := h.connect(i, byte(i))
		h.execute(client, initiator.ReadCDB(0, 1), nil, 4096)
		client.Logout()
	}
	if n := len(h.metricFamilies()["merlinhitch_limit_left_units"].GetMetric()); n != 100 {
		t.Errorf("merlinhitch_limit_left_units: got %d volumes, want 100", n)
	}
	if _, body := h.getAdmin("/metrics"); len(body) > 64<<10 {
		t.Errorf("/metrics: got %d bytes, want at most 64 KiB", len(body))
	}
}

// Readiness and /state must show a shard without a node, while the gateway still serves the others.
func TestHealthReadinessAndState(t *testing.T) {
	h := newHarnessWithConfig(t, nil, enableAdmin, nil)
	waitForReadiness := func(code int, text string) {
		t.Helper()
		h.waitFor(text, func() bool {
			gotCode, body := h.getAdmin("/readyz")
			return gotCode == code && strings.Contains(string(body), text)
		})
	}
	if code, _ := h.getAdmin("/healthz"); code != http.StatusOK {
		t.Errorf("/healthz: got status %d, want 200", code)
	}
	waitForReadiness(http.StatusOK, "ready")
	h.inventory.ChangeNow(func(book *inventory.Book) { book.Health(h.diskServers[1].Addr, inventory.Draining) })
	waitForReadiness(http.StatusServiceUnavailable, "shard 1 has no node")
	h.execute(h.connect(normalVolume, 1), initiator.ReadCDB(0, 1), nil, 4096)
	code, body := h.getAdmin("/state")
	var state struct {
		Module struct {
			Shards []struct{ Node string }
			Nodes  []struct{ Off bool }
		}
		Serves bool
	}
	if err := json.Unmarshal(body, &state); err != nil || code != http.StatusOK || len(state.Module.Shards) != 3 || state.Module.Shards[1].Node != "" || !state.Serves {
		t.Errorf("/state: got status %d, error %v, body %s, want 200 and no node for shard 1", code, err, body)
	}
}
