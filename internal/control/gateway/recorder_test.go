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
	r := newHarnessWithConfig(t, nil, func(c *gateway.Config) { c.Admin, c.History = "127.0.0.1:0", dir }, nil)
	c := r.connect(normalVolume, 1)
	from := time.Now().Unix()
	for i := range uint64(30) {
		r.execute(c, initiator.ReadCDB(i, 1), nil, 4096)
	}
	r.gateway.Kill()
	st, err := history.Open(dir)
	if err != nil {
		t.Fatal(err)
	}
	rows, err := st.Read(from-1, time.Now().Unix()+2)
	if err != nil {
		t.Fatal(err)
	}
	got := history.Total(rows)
	if got.Taken != 30 || got.Served != 30 || got.Quantile(0.5) <= 0 {
		t.Errorf("%+v", got)
	}
	again := newHarnessWithConfig(t, nil, func(c *gateway.Config) { c.Admin, c.History = "127.0.0.1:0", dir }, nil)
	code, b := again.getAdmin(fmt.Sprintf("/history?from=%d&to=%d", from-1, time.Now().Unix()+2))
	var page []history.Row
	if err := json.Unmarshal(b, &page); err != nil || code != 200 || history.Total(page).Served != 30 {
		t.Errorf("%d, %v, %s", code, err, b)
	}
	if code, _ := again.getAdmin("/history?from=5&to=x"); code != 422 {
		t.Errorf("%d", code)
	}
}
