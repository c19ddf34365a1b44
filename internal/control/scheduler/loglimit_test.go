package scheduler

import (
	"fmt"
	"testing"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"

	"merlinhitch/internal/runtime/env"
	"merlinhitch/internal/simulation/standin"
)

// Bad clients must not fill the log: one line a second for each reason, which tells how many were left
// out.
func TestBadInputIsLoggedOnceASecond(t *testing.T) {
	const closesPerSecond, seconds = 50, 3
	core, lines := observer.New(zapcore.InfoLevel)
	now := 0.0
	log := newEventLog(zap.New(core), func() float64 { return now })
	for i := range closesPerSecond * seconds {
		now = float64(i) * 1000 / closesPerSecond
		for _, reason := range []closeReason{closeUnreadable, closeRejected, closeDuplicateID} {
			c := &client{conn: &standin.FloodConn{}, readAhead: &readAhead{bytesRead: 1}, reason: reason, lastRequestID: fmt.Sprint(i)}
			log.connectionClosed(c, env.ErrNoData)
		}
	}
	counts := map[string]int{}
	suppressed := map[string]int64{}
	for _, line := range lines.All() {
		fields := line.ContextMap()
		reason := fields["reason"].(string)
		counts[reason]++
		suppressed[reason] += fields["suppressed"].(int64)
	}
	for _, reason := range []closeReason{closeUnreadable, closeRejected, closeDuplicateID} {
		if name := reason.String(); counts[name] != seconds || suppressed[name] != (closesPerSecond-1)*(seconds-1) {
			t.Errorf("%s: got %d lines that tell of %d others, want %d and %d", name, counts[name], suppressed[name], seconds, (closesPerSecond-1)*(seconds-1))
		}
	}
}
