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

// unlimitedVolume is the number of a volume under a plan without a limit, over several shards.
const unlimitedVolume = 5

// runConformanceChecks runs the table against a volume, through whatever stands at that address.
func runConformanceChecks(t *testing.T, r *harness, addr string) []conform.CheckResult {
	t.Helper()
	rows, err := conform.Run(context.Background(), func(ctx context.Context, who int) (*initiator.Client, error) {
		return initiator.Dial(ctx, initiator.Config{Environment: r.environment, Addr: addr, Name: "iqn.2026-11.example.client:conform", ISID: iscsi.ISID{0x80, 2, 0, 0, 0, byte(who)},
			Target: r.settings.TargetName(&r.settings.Volumes[unlimitedVolume]), Params: initiator.DefaultParams()})
	})
	if err != nil {
		var b strings.Builder
		conform.Print(&b, rows)
		t.Fatalf("%v\n%s", err, b.String())
	}
	return rows
}

func useSmallVolumes(s *settings.Settings) {
	for i := range s.Volumes {
		s.Volumes[i].Blocks = 4096
	}
}

func TestConformance(t *testing.T) {
	r := newHarness(t, useSmallVolumes)
	rows := runConformanceChecks(t, r, r.gateway.Addr().String())
	passed := 0
	for _, row := range rows {
		if row.Verdict == conform.Fail {
			t.Errorf("%s: %s: %s", row.Clause, row.Name, row.Detail)
		} else if row.Verdict == conform.Pass {
			passed++
		}
	}
	t.Logf("%d of %d checks pass", passed, len(rows))
	if passed < 100 {
		t.Errorf("only %d checks", passed)
	}
}

// alteration is what a spoiled target does to a command on its way in, or to a PDU on its
// way out; cdb is the command that the PDU belongs to.
type alteration struct {
	alterCommand  func(p *iscsi.PDU)
	alterResponse func(cdb []byte, p *iscsi.PDU)
}

// startAlteringProxy stands before the gateway and spoils what passes.
func startAlteringProxy(t *testing.T, r *harness, d alteration) string {
	t.Helper()
	l, err := r.environment.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var all sync.WaitGroup
	t.Cleanup(func() { l.Close(); all.Wait() })
	all.Go(func() {
		for {
			client, err := l.Accept()
			if err != nil {
				return
			}
			gate, err := r.environment.Dial(context.Background(), "tcp", r.gateway.Addr().String(), time.Second)
			if err != nil {
				client.Close()
				return
			}
			var mu sync.Mutex
			cdbs := map[uint32][]byte{}
			all.Go(func() {
				forwardPDUs(client, gate, func(p *iscsi.PDU) {
					if p.Opcode() == iscsi.OpCommand {
						mu.Lock()
						cdbs[p.ITT()] = slices.Clone(p.CDB())
						mu.Unlock()
						if d.alterCommand != nil {
							d.alterCommand(p)
						}
					}
				})
			})
			all.Go(func() {
				forwardPDUs(gate, client, func(p *iscsi.PDU) {
					mu.Lock()
					cdb := cdbs[p.ITT()]
					mu.Unlock()
					if d.alterResponse != nil {
						d.alterResponse(cdb, p)
					}
				})
			})
		}
	})
	return l.Addr().String()
}

func forwardPDUs(from, to net.Conn, spoil func(p *iscsi.PDU)) {
	defer from.Close()
	defer to.Close()
	r := iscsi.NewReader(bufio.NewReader(from), 1<<20)
	for {
		p, err := r.Next()
		if err != nil {
			return
		}
		spoil(p)
		if _, err := to.Write(p.Append(nil, iscsi.Digests{})); err != nil {
			return
		}
	}
}

func hasStatus(p *iscsi.PDU) bool {
	return p.Opcode() == iscsi.OpResponse || p.Opcode() == iscsi.OpDataIn && p.Flags()&1 != 0
}

// The table fails against a target that is spoiled in any of these ways.
func TestConformanceDetectsFaultyTargets(t *testing.T) {
	is := func(cdb []byte, ops ...byte) bool { return len(cdb) > 0 && slices.Contains(ops, cdb[0]) }
	good := func(p *iscsi.PDU) { p.BHS[3], p.Data = 0, nil }
	for name, d := range map[string]alteration{
		"no residuals": {alterResponse: func(_ []byte, p *iscsi.PDU) {
			if hasStatus(p) {
				p.Set(iscsi.AtLength, 0)
			}
		}},
		"overflow said to be underflow": {alterResponse: func(_ []byte, p *iscsi.PDU) {
			if hasStatus(p) && p.Flags()&4 != 0 {
				p.SetFlags(p.Flags()&^4 | 2)
			}
		}},
		"a miscompare is GOOD": {alterResponse: func(cdb []byte, p *iscsi.PDU) {
			if is(cdb, 0x89) && p.BHS[3] == scsi.CheckCondition {
				good(p)
			}
		}},
		"one byte of data": {alterResponse: func(cdb []byte, p *iscsi.PDU) {
			if is(cdb, 0x88) && p.Opcode() == iscsi.OpDataIn {
				p.Data[len(p.Data)/2] ^= 1
			}
		}},
		"a page with another code": {alterResponse: func(cdb []byte, p *iscsi.PDU) {
			if is(cdb, 0x12) && cdb[1] == 1 && p.Opcode() == iscsi.OpDataIn {
				p.Data[1]++
			}
		}},
		"another sense": {alterResponse: func(_ []byte, p *iscsi.PDU) {
			if p.Opcode() == iscsi.OpResponse && len(p.Data) > 14 && p.Data[14] == 0x21 {
				p.Data[14] = 0x24
			}
		}},
		"an abort that fails": {alterResponse: func(_ []byte, p *iscsi.PDU) {
			if p.Opcode() == iscsi.OpTaskResp {
				p.BHS[2] = 255
			}
		}},
		"no timeouts": {alterResponse: func(cdb []byte, p *iscsi.PDU) {
			if is(cdb, 0xa3) && p.Opcode() == iscsi.OpDataIn {
				p.Data[1] &^= 0x80
			}
		}},
		"one block more": {alterResponse: func(cdb []byte, p *iscsi.PDU) {
			if is(cdb, 0x25) && p.Opcode() == iscsi.OpDataIn {
				p.Data[3]++
			}
		}},
		"a larger swap than is kept": {alterResponse: func(cdb []byte, p *iscsi.PDU) {
			if is(cdb, 0x12) && cdb[2] == 0xb0 && p.Opcode() == iscsi.OpDataIn {
				p.Data[5] = 64
			}
		}},
		"unmaps that do nothing": {alterCommand: func(p *iscsi.PDU) {
			if p.CDB()[0] == 0x42 {
				copy(p.BHS[32:48], make([]byte, 16))
			}
		}},
		"unknown codes are GOOD": {alterResponse: func(cdb []byte, p *iscsi.PDU) {
			if len(cdb) > 0 && cdb[0] >= 0xc0 && p.BHS[3] == scsi.CheckCondition {
				good(p)
			}
		}},
	} {
		t.Run(name, func(t *testing.T) {
			r := newHarness(t, useSmallVolumes)
			failed := 0
			for _, row := range runConformanceChecks(t, r, startAlteringProxy(t, r, d)) {
				if row.Verdict == conform.Fail {
					failed++
				}
			}
			if failed == 0 {
				t.Error("nothing was noticed")
			}
		})
	}
}
