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

// What was counted is there after the end of the process, and over the API before.
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
		t.Errorf("%+v", total)
	}
	restarted := newHarnessWithConfig(t, nil, func(config *gateway.Config) { config.Admin, config.History = "127.0.0.1:0", dir }, nil)
	code, body := restarted.getAdmin(fmt.Sprintf("/history?from=%d&to=%d", startedAt-1, time.Now().Unix()+2))
	var responseRows []history.Row
	if err := json.Unmarshal(body, &responseRows); err != nil || code != 200 || history.Total(responseRows).Served != 30 {
		t.Errorf("%d, %v, %s", code, err, body)
	}
	if code, _ := restarted.getAdmin("/history?from=5&to=x"); code != 422 {
		t.Errorf("%d", code)
	}
}
