package gateway_test

import (
	"runtime"
	"testing"

	"merlinhitch/internal/protocol/iscsi"
	"merlinhitch/internal/runtime/env"
	"merlinhitch/internal/simulation/standin"
)

// On one processor, no more than a few buffers of an initiator that pings without a pause may be read
// before another goroutine has its turn.
func TestAFloodLeavesOthersTheirTurn(t *testing.T) {
	const maxReadsPerTurn, turns = 4, 200
	h := newHarness(t, nil)
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	ping := iscsi.New(iscsi.OpNopOut).SetImmediate().SetFlags(0x80).Set(iscsi.AtITT, 7).Set(iscsi.AtTTT, iscsi.NoTag).Set(iscsi.AtCmdSN, 1)
	flood := &standin.FloodConn{Opening: loginPDU(0x87, h.loginKeys(normalVolume)...).Append(nil, iscsi.Digests{}), Repeated: ping.Append(nil, iscsi.Digests{})}
	ended := h.gateway.ServeConn(flood)
	for flood.Writes.Load() < 2 { // the answer to the login comes first
		env.Yield()
	}
	longest := standin.LongestTurn(turns, &flood.Reads, env.Yield)
	flood.Close()
	h.waitFor("the connection has ended", ended)
	if longest > maxReadsPerTurn {
		t.Errorf("%d reads between two turns of another goroutine, want at most %d", longest, maxReadsPerTurn)
	}
}
