package scheduler

import (
	"strings"
	"testing"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest"
)

// The log must not say that a configuration is in force before requests of its classes are served.
func TestReloadIsLoggedOnceItIsInForce(t *testing.T) {
	var sendRequest func() int // set before the reload, which calls it on the same goroutine
	status := 0
	log := zaptest.NewLogger(t, zaptest.WrapOptions(zap.Hooks(func(entry zapcore.Entry) error {
		if entry.Message == "configuration read again" {
			status = sendRequest()
		}
		return nil
	})))
	runOnSocketsWithLog(t, log, nil, respondWith(ok200), func(h *harness, _ *hookedEnv) {
		sendRequest = func() int {
			return h.connect().roundTrip(h.formatRequest("PUT", "audit-write", "00000000000000aa", "3", "x", "Idempotency-Key: k\r\n")).status
		}
		configJSON := strings.Replace(testConfig(h.schedulerAddr, h.discovery.Addr, fullListJSON(7)), `"name":"txn-write"`, `"name":"audit-write"`, 1)
		config, err := ParseConfig([]byte(configJSON), func(string) string { return "" })
		if err != nil {
			t.Fatal(err)
		}
		h.scheduler.Reload(config)
		if status != 200 {
			t.Errorf("request of a new class, sent when the log says that the configuration was read: got status %d, want 200", status)
		}
	})
}
