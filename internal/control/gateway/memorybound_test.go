package gateway_test

import (
	"testing"

	"merlinhitch/internal/control/settings"
	"merlinhitch/internal/protocol/initiator"
	"merlinhitch/internal/protocol/iscsi"
)

// Initiators that send most of a large PDU and stop, before they have logged in, must not make a host
// hold more than its memory, nor keep others from small commands.
func TestHalfPDUsAreCounted(t *testing.T) {
	h := newHarness(t, func(s *settings.Settings) { s.Target.MemoryBytes = 4 << 20 })
	const clients, sentBytes = 100, 40 << 10
	login := loginPDU(0x87)
	login.Data = make([]byte, iscsi.MaxText)
	half := login.Append(nil, iscsi.Digests{})[:sentBytes]
	for range clients {
		h.connectRaw().conn.Write(half)
	}
	mostMemory := int64(0)
	h.waitFor("the memory is used up", func() bool {
		memory := h.gateway.Status().Memory
		mostMemory = max(mostMemory, memory)
		return memory > 4<<20-iscsi.MaxText
	})
	h.execute(h.connect(normalVolume, 1), initiator.ReadCDB(0, 1), nil, 4096)
	h.waitFor("the logins have been given up", func() bool {
		memory := h.gateway.Status().Memory
		mostMemory = max(mostMemory, memory)
		return memory == 0
	})
	if mostMemory > 4<<20 {
		t.Errorf("%d bytes were held, want at most 4 MiB", mostMemory)
	}
}
