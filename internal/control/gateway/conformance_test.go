package gateway_test

import (
	"bufio"
	"context"
	"net"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"merlinhitch/internal/control/settings"
	"merlinhitch/internal/protocol/initiator"
	"merlinhitch/internal/protocol/iscsi"
	"merlinhitch/internal/protocol/scsi"
	"merlinhitch/internal/verify/conform"
)

// unlimitedVolume is the index of a volume whose plan has no limit. All entries of its layout are
// shard 2.
const unlimitedVolume = 5

// runConformanceChecks runs the conformance checks on unlimitedVolume through the target at addr.
func runConformanceChecks(t *testing.T, h *harness, addr string) []conform.CheckResult {
	t.Helper()
	results, err := conform.Run(context.Background(), func(ctx context.Context, index int) (*initiator.Client, error) {
		return initiator.Dial(ctx, initiator.Config{Environment: h.environment, Addr: addr, Name: "iqn.2026-11.example.client:conform", ISID: iscsi.ISID{0x80, 2, 0, 0, 0, byte(index)},
			Target: h.settings.TargetName(&h.settings.Volumes[unlimitedVolume]), Params: initiator.DefaultParams()})
	})
	if err != nil {
		var report strings.Builder
		conform.Print(&report, results)
		t.Fatalf("conformance run failed: %v\n%s", err, report.String())
	}
	return results
}

// useSmallVolumes reduces all volumes to 4096 blocks.
func useSmallVolumes(s *settings.Settings) {
	for i := range s.Volumes {
		s.Volumes[i].Blocks = 4096
	}
}

// No check may fail against the gateway, and at least 100 must pass, so that skipped checks are
// noticed.
func TestConformance(t *testing.T) {
	h := newHarness(t, useSmallVolumes)
	results := runConformanceChecks(t, h, h.gateway.Addr().String())
	passed := 0
	for _, result := range results {
		if result.Verdict == conform.Fail {
			t.Errorf("%s: %s: %s", result.Clause, result.Name, result.Detail)
		} else if result.Verdict == conform.Pass {
			passed++
		}
	}
	t.Logf("%d of %d checks pass", passed, len(results))
	if passed < 100 {
		t.Errorf("got %d passed checks, want at least 100", passed)
	}
}

// alteration is a fault of a target: it changes commands to the gateway or PDUs from it. cdb is
// that of the command to which the PDU belongs.
type alteration struct {
	alterCommand  func(pdu *iscsi.PDU)
	alterResponse func(cdb []byte, pdu *iscsi.PDU)
}

// startAlteringProxy starts a proxy of the gateway that applies a, and returns its address.
func startAlteringProxy(t *testing.T, h *harness, a alteration) string {
	t.Helper()
	listener, err := h.environment.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var tasks sync.WaitGroup
	t.Cleanup(func() { listener.Close(); tasks.Wait() })
	tasks.Go(func() {
		for {
			client, err := listener.Accept()
			if err != nil {
				return
			}
			target, err := h.environment.Dial(context.Background(), "tcp", h.gateway.Addr().String(), time.Second)
			if err != nil {
				client.Close()
				return
			}
			var mu sync.Mutex
			cdbByTaskTag := map[uint32][]byte{}
			tasks.Go(func() {
				forwardPDUs(client, target, func(pdu *iscsi.PDU) {
					if pdu.Opcode() == iscsi.OpCommand {
						mu.Lock()
						cdbByTaskTag[pdu.ITT()] = slices.Clone(pdu.CDB())
						mu.Unlock()
						if a.alterCommand != nil {
							a.alterCommand(pdu)
						}
					}
				})
			})
			tasks.Go(func() {
				forwardPDUs(target, client, func(pdu *iscsi.PDU) {
					mu.Lock()
					cdb := cdbByTaskTag[pdu.ITT()]
					mu.Unlock()
					if a.alterResponse != nil {
						a.alterResponse(cdb, pdu)
					}
				})
			})
		}
	})
	return listener.Addr().String()
}

// forwardPDUs passes PDUs from one connection to the other, each changed by alter.
func forwardPDUs(from, to net.Conn, alter func(pdu *iscsi.PDU)) {
	defer from.Close()
	defer to.Close()
	reader := iscsi.NewReader(bufio.NewReader(from), 1<<20)
	for {
		pdu, err := reader.Next()
		if err != nil {
			return
		}
		alter(pdu)
		if _, err := to.Write(pdu.Append(nil, iscsi.Digests{})); err != nil {
			return
		}
	}
}

// hasStatus reports whether a PDU carries a SCSI status.
func hasStatus(pdu *iscsi.PDU) bool {
	return pdu.Opcode() == iscsi.OpResponse || pdu.Opcode() == iscsi.OpDataIn && pdu.Flags()&1 != 0
}

// At least one check must fail against a target with any of these faults.
func TestConformanceDetectsFaultyTargets(t *testing.T) {
	hasOpcode := func(cdb []byte, opcodes ...byte) bool { return len(cdb) > 0 && slices.Contains(opcodes, cdb[0]) }
	setGood := func(pdu *iscsi.PDU) { pdu.BHS[3], pdu.Data = 0, nil }
	for name, a := range map[string]alteration{
		"no residual counts": {alterResponse: func(_ []byte, pdu *iscsi.PDU) {
			if hasStatus(pdu) {
				pdu.Set(iscsi.AtLength, 0)
			}
		}},
		"overflow reported as underflow": {alterResponse: func(_ []byte, pdu *iscsi.PDU) {
			if hasStatus(pdu) && pdu.Flags()&4 != 0 {
				pdu.SetFlags(pdu.Flags()&^4 | 2)
			}
		}},
		"GOOD for a miscompare": {alterResponse: func(cdb []byte, pdu *iscsi.PDU) {
			if hasOpcode(cdb, 0x89) && pdu.BHS[3] == scsi.CheckCondition {
				setGood(pdu)
			}
		}},
		"one byte of read data changed": {alterResponse: func(cdb []byte, pdu *iscsi.PDU) {
			if hasOpcode(cdb, 0x88) && pdu.Opcode() == iscsi.OpDataIn {
				pdu.Data[len(pdu.Data)/2] ^= 1
			}
		}},
		"wrong VPD page code": {alterResponse: func(cdb []byte, pdu *iscsi.PDU) {
			if hasOpcode(cdb, 0x12) && cdb[1] == 1 && pdu.Opcode() == iscsi.OpDataIn {
				pdu.Data[1]++
			}
		}},
		"wrong additional sense code": {alterResponse: func(_ []byte, pdu *iscsi.PDU) {
			if pdu.Opcode() == iscsi.OpResponse && len(pdu.Data) > 14 && pdu.Data[14] == 0x21 {
				pdu.Data[14] = 0x24
			}
		}},
		"abort rejected": {alterResponse: func(_ []byte, pdu *iscsi.PDU) {
			if pdu.Opcode() == iscsi.OpTaskResp {
				pdu.BHS[2] = 255
			}
		}},
		"no command timeouts descriptor": {alterResponse: func(cdb []byte, pdu *iscsi.PDU) {
			if hasOpcode(cdb, 0xa3) && pdu.Opcode() == iscsi.OpDataIn {
				pdu.Data[1] &^= 0x80
			}
		}},
		"capacity one block too large": {alterResponse: func(cdb []byte, pdu *iscsi.PDU) {
			if hasOpcode(cdb, 0x25) && pdu.Opcode() == iscsi.OpDataIn {
				pdu.Data[3]++
			}
		}},
		"maximum compare-and-write length too large": {alterResponse: func(cdb []byte, pdu *iscsi.PDU) {
			if hasOpcode(cdb, 0x12) && cdb[2] == 0xb0 && pdu.Opcode() == iscsi.OpDataIn {
				pdu.Data[5] = 64
			}
		}},
		"unmap without effect": {alterCommand: func(pdu *iscsi.PDU) {
			if pdu.CDB()[0] == 0x42 {
				copy(pdu.BHS[32:48], make([]byte, 16))
			}
		}},
		"GOOD for unknown operation codes": {alterResponse: func(cdb []byte, pdu *iscsi.PDU) {
			if len(cdb) > 0 && cdb[0] >= 0xc0 && pdu.BHS[3] == scsi.CheckCondition {
				setGood(pdu)
			}
		}},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, useSmallVolumes)
			failedCount := 0
			for _, result := range runConformanceChecks(t, h, startAlteringProxy(t, h, a)) {
				if result.Verdict == conform.Fail {
					failedCount++
				}
			}
			if failedCount == 0 {
				t.Error("all checks passed, want at least one to fail")
			}
		})
	}
}
