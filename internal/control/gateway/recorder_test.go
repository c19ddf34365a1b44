package gateway_test

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"merlinhitch/internal/control/gateway"
	"merlinhitch/internal/protocol/initiator"
	"merlinhitch/internal/storage/history"
)

// Recorded counters must be readable after the gateway was killed, from the files and over the
// admin API of a gateway started again.
func TestHistorySurvivesRestart(t *testing.T) {
	dir := t.TempDir()
	h := newHarnessWithConfig(t, nil, func(config *gateway.Config) { config.Admin, config.History = "127.0.0.1:0", dir }, nil)
	client := h.connect(normalVolume, 1)
	startedAt := time.Now().Unix()
	for i := range uint64(30) {
		h.execute(client, initiator.ReadCDB(i, 1), nil, 4096)
	}
	h.gateway.Kill()
	store, err := history.Open(dir)
	if err != nil {
		t.Fatal(err)
	}
	rows, err := store.Read(startedAt-1, time.Now().Unix()+2)
	if err != nil {
		t.Fatal(err)
	}
	total := history.Total(rows)
	if total.Taken != 30 || total.Served != 30 || total.Quantile(0.5) <= 0 {
		t.Errorf("history: got %+v, want 30 requests taken and served, with latencies", total)
	}
	restarted := newHarnessWithConfig(t, nil, func(config *gateway.Config) { config.Admin, config.History = "127.0.0.1:0", dir }, nil)
	code, body := restarted.getAdmin(fmt.Sprintf("/history?from=%d&to=%d", startedAt-1, time.Now().Unix()+2))
	var responseRows []history.Row
	if err := json.Unmarshal(body, &responseRows); err != nil || code != 200 || history.Total(responseRows).Served != 30 {
		t.Errorf("/history: got status %d, error %v, body %s, want 200 and 30 served requests", code, err, body)
	}
	if code, _ := restarted.getAdmin("/history?from=5&to=x"); code != 422 {
		t.Errorf("/history with an invalid time: got status %d, want 422", code)
	}
}
