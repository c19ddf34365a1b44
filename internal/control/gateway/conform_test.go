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

// unlimited is the number of a volume under a plan without a limit, over several shards.
const unlimited = 5

// conformity runs the table against a volume, through whatever stands at that address.
func conformity(t *testing.T, r *rig, addr string) []conform.CheckResult {
	t.Helper()
	rows, err := conform.Run(context.Background(), func(ctx context.Context, who int) (*initiator.Client, error) {
		return initiator.Dial(ctx, initiator.Config{Environment: r.world, Addr: addr, Name: "iqn.2026-11.example.client:conform", ISID: iscsi.ISID{0x80, 2, 0, 0, 0, byte(who)},
			Target: r.set.TargetName(&r.set.Volumes[unlimited]), Params: initiator.DefaultParams()})
	})
	if err != nil {
		var b strings.Builder
		conform.Print(&b, rows)
		t.Fatalf("%v\n%s", err, b.String())
	}
	return rows
}

func small(s *settings.Settings) {
	for i := range s.Volumes {
		s.Volumes[i].Blocks = 4096
	}
}

func TestConformance(t *testing.T) {
	r := newRig(t, small)
	rows := conformity(t, r, r.gate.Addr().String())
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

// doctor is what a spoiled target does to a command on its way in, or to a PDU on its
// way out; cdb is the command that the PDU belongs to.
type doctor struct {
	in  func(p *iscsi.PDU)
	out func(cdb []byte, p *iscsi.PDU)
}

// doctored stands before the gateway and spoils what passes.
func doctored(t *testing.T, r *rig, d doctor) string {
	t.Helper()
	l, err := r.world.Listen("tcp", "127.0.0.1:0")
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
			gate, err := r.world.Dial(context.Background(), "tcp", r.gate.Addr().String(), time.Second)
			if err != nil {
				client.Close()
				return
			}
			var mu sync.Mutex
			cdbs := map[uint32][]byte{}
			all.Go(func() {
				pass(client, gate, func(p *iscsi.PDU) {
					if p.Opcode() == iscsi.OpCommand {
						mu.Lock()
						cdbs[p.ITT()] = slices.Clone(p.CDB())
						mu.Unlock()
						if d.in != nil {
							d.in(p)
						}
					}
				})
			})
			all.Go(func() {
				pass(gate, client, func(p *iscsi.PDU) {
					mu.Lock()
					cdb := cdbs[p.ITT()]
					mu.Unlock()
					if d.out != nil {
						d.out(cdb, p)
					}
				})
			})
		}
	})
	return l.Addr().String()
}

func pass(from, to net.Conn, spoil func(p *iscsi.PDU)) {
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

func status(p *iscsi.PDU) bool {
	return p.Opcode() == iscsi.OpResponse || p.Opcode() == iscsi.OpDataIn && p.Flags()&1 != 0
}

// The table fails against a target that is spoiled in any of these ways.
func TestConformanceRejectsDoctoredTargets(t *testing.T) {
	is := func(cdb []byte, ops ...byte) bool { return len(cdb) > 0 && slices.Contains(ops, cdb[0]) }
	good := func(p *iscsi.PDU) { p.BHS[3], p.Data = 0, nil }
	for name, d := range map[string]doctor{
		"no residuals": {out: func(_ []byte, p *iscsi.PDU) {
			if status(p) {
				p.Set(iscsi.AtLength, 0)
			}
		}},
		"overflow said to be underflow": {out: func(_ []byte, p *iscsi.PDU) {
			if status(p) && p.Flags()&4 != 0 {
				p.SetFlags(p.Flags()&^4 | 2)
			}
		}},
		"a miscompare is GOOD": {out: func(cdb []byte, p *iscsi.PDU) {
			if is(cdb, 0x89) && p.BHS[3] == scsi.CheckCondition {
				good(p)
			}
		}},
		"one byte of data": {out: func(cdb []byte, p *iscsi.PDU) {
			if is(cdb, 0x88) && p.Opcode() == iscsi.OpDataIn {
				p.Data[len(p.Data)/2] ^= 1
			}
		}},
		"a page with another code": {out: func(cdb []byte, p *iscsi.PDU) {
			if is(cdb, 0x12) && cdb[1] == 1 && p.Opcode() == iscsi.OpDataIn {
				p.Data[1]++
			}
		}},
		"another sense": {out: func(_ []byte, p *iscsi.PDU) {
			if p.Opcode() == iscsi.OpResponse && len(p.Data) > 14 && p.Data[14] == 0x21 {
				p.Data[14] = 0x24
			}
		}},
		"an abort that fails": {out: func(_ []byte, p *iscsi.PDU) {
			if p.Opcode() == iscsi.OpTaskResp {
				p.BHS[2] = 255
			}
		}},
		"no timeouts": {out: func(cdb []byte, p *iscsi.PDU) {
			if is(cdb, 0xa3) && p.Opcode() == iscsi.OpDataIn {
				p.Data[1] &^= 0x80
			}
		}},
		"one block more": {out: func(cdb []byte, p *iscsi.PDU) {
			if is(cdb, 0x25) && p.Opcode() == iscsi.OpDataIn {
				p.Data[3]++
			}
		}},
		"a larger swap than is kept": {out: func(cdb []byte, p *iscsi.PDU) {
			if is(cdb, 0x12) && cdb[2] == 0xb0 && p.Opcode() == iscsi.OpDataIn {
				p.Data[5] = 64
			}
		}},
		"unmaps that do nothing": {in: func(p *iscsi.PDU) {
			if p.CDB()[0] == 0x42 {
				copy(p.BHS[32:48], make([]byte, 16))
			}
		}},
		"unknown codes are GOOD": {out: func(cdb []byte, p *iscsi.PDU) {
			if len(cdb) > 0 && cdb[0] >= 0xc0 && p.BHS[3] == scsi.CheckCondition {
				good(p)
			}
		}},
	} {
		t.Run(name, func(t *testing.T) {
			r := newRig(t, small)
			failed := 0
			for _, row := range conformity(t, r, doctored(t, r, d)) {
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
