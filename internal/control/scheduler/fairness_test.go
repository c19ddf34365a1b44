package scheduler

import (
	"bytes"
	"runtime"
	"testing"

	"merlinhitch/internal/runtime/env"
	"merlinhitch/internal/simulation/standin"
)

// On one processor, a client that sends small requests without a pause must not be answered more than
// a few of them before another goroutine has its turn.
func TestAFloodLeavesOthersTheirTurn(t *testing.T) {
	const maxAnswersPerTurn, turns = 4, 2000
	runOnSockets(t, nil, respondWith(ok200), func(h *harness, hooks *hookedEnv) {
		defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
		flood := &standin.FloodConn{Repeated: bytes.Repeat([]byte("GET /up HTTP/1.1\r\n\r\n"), 50)}
		f := h.scheduler.frontend
		client := f.newClient(flood, f.loop.now())
		f.tasks.Go(hooks, client.serve)
		for flood.Writes.Load() == 0 {
			env.Yield()
		}
		longest := standin.LongestTurn(turns, &flood.Writes, env.Yield)
		flood.Close()
		h.waitFor("the connection has been removed", func() bool { return f.clientCount() == 0 })
		if longest > maxAnswersPerTurn {
			t.Errorf("%d answers between two turns of another goroutine, want at most %d", longest, maxAnswersPerTurn)
		}
	})
}
