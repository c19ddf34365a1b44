package gateway_test

import (
	"bufio"
	"bytes"
	"context"
	"encoding/binary"
	"errors"
	"io"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"merlinhitch/internal/control/settings"
	"merlinhitch/internal/protocol/diskproto"
	"merlinhitch/internal/protocol/initiator"
	"merlinhitch/internal/protocol/inventory"
	"merlinhitch/internal/protocol/iscsi"
	"merlinhitch/internal/protocol/scsi"
)

// useOneShard puts all volumes on shard 0, for tests that need only one disk server.
func useOneShard(s *settings.Settings) {
	s.Shards, s.Nodes = 1, nil
	for i := range s.Volumes {
		s.Volumes[i].Layout = []int{0}
	}
}

const normalVolume = 1 // index of a volume of plan normal; its writes are keyed, with deduplication in one cell for 6 s

// okAnswer returns an answer that reports success, with zeros as the data of a read.
func okAnswer(request diskproto.Do) diskproto.Answer {
	answer := diskproto.Answer{Result: diskproto.OK}
	if scsi.Op(request.Op) == scsi.Read {
		answer.Data = make([]byte, request.Blocks*4096)
	}
	return answer
}

// A keyed write whose connection closes before the answer must be retried with the same key.
func TestServerDiesBeforeAnswer(t *testing.T) {
	h := newHarness(t, useOneShard)
	diskServer := h.startFakeDiskServer(func(attempt *receivedAttempt, request diskproto.Do) {
		if request.Attempt == 0 {
			attempt.conn.Close()
			return
		}
		attempt.answer(okAnswer(request))
	})
	result := h.execute(h.connect(normalVolume, 1), initiator.WriteCDB(0, 1), make([]byte, 4096), 0)
	if result.Status != scsi.Good {
		t.Fatalf("write: got status %02x, sense %x, want GOOD", result.Status, result.Sense)
	}
	requests := diskServer.receivedRequests()
	if len(requests) != 2 || requests[0].Seq != requests[1].Seq || requests[0].Host != requests[1].Host || requests[1].Attempt != 1 {
		t.Fatalf("disk server got %+v, want two attempts with the same key", requests)
	}
}

// An unsafe command whose outcome is unknown must fail with ABORTED COMMAND and must not be
// retried.
func TestUnsafeCommandWithUnknownOutcomeFails(t *testing.T) {
	h := newHarness(t, useOneShard)
	diskServer := h.startFakeDiskServer(func(attempt *receivedAttempt, request diskproto.Do) { attempt.conn.Close() })
	result := h.execute(h.connect(normalVolume, 1), initiator.CompareAndWriteCDB(0, 1), make([]byte, 8192), 0)
	if sense, _ := scsi.ParseSense(result.Sense); result.Status != scsi.CheckCondition || sense != scsi.CommandAborted {
		t.Errorf("compare and write: got status %02x, sense %x, want CHECK CONDITION, ABORTED COMMAND", result.Status, result.Sense)
	}
	if n := len(diskServer.receivedRequests()); n != 1 {
		t.Errorf("got %d attempts of an unsafe command, want 1", n)
	}
}

// An unsafe command that a disk server rejected without running it must be retried.
func TestRejectedUnsafeCommandIsRetried(t *testing.T) {
	h := newHarness(t, useOneShard)
	h.startFakeDiskServer(func(attempt *receivedAttempt, request diskproto.Do) {
		if request.Attempt == 0 {
			attempt.answer(diskproto.Answer{Result: diskproto.Full})
			return
		}
		attempt.answer(diskproto.Answer{Result: diskproto.Miscompare})
	})
	result := h.execute(h.connect(normalVolume, 1), initiator.CompareAndWriteCDB(0, 1), make([]byte, 8192), 0)
	if sense, _ := scsi.ParseSense(result.Sense); sense != scsi.Miscompare {
		t.Errorf("compare and write: got status %02x, sense %x, want MISCOMPARE", result.Status, result.Sense)
	}
}

// An answer that arrives after its attempt timed out must not be taken for that of a later attempt
// on the same connection.
func TestAnswerAfterTimeout(t *testing.T) {
	h := newHarness(t, func(s *settings.Settings) {
		useOneShard(s)
		for i := range s.Classes {
			s.Classes[i].LatencyTarget, s.Classes[i].Deadline = 40, 200
		}
	})
	var lateTag atomic.Uint32
	h.startFakeDiskServer(func(attempt *receivedAttempt, request diskproto.Do) {
		switch {
		case request.LBA == 0 && scsi.Op(request.Op) == scsi.CompareAndWrite:
			lateTag.Store(attempt.tag) // answered only after its timeout
		case lateTag.Load() != 0 && request.LBA == 7:
			attempt.answerTag(lateTag.Load(), diskproto.Answer{Result: diskproto.OK}) // the late answer, before that of this attempt
			answer := okAnswer(request)
			copy(answer.Data, "seven")
			attempt.answer(answer)
		default:
			attempt.answer(okAnswer(request))
		}
	})
	client := h.connect(normalVolume, 1)
	if result := h.execute(client, initiator.CompareAndWriteCDB(0, 1), make([]byte, 8192), 0); result.Status != scsi.CheckCondition {
		t.Fatalf("command without an answer: got status %02x, want CHECK CONDITION", result.Status)
	}
	result := h.execute(client, initiator.ReadCDB(7, 1), nil, 4096)
	for result.Status == scsi.Busy { // the policy sends nothing to the node for a while
		result = h.execute(client, initiator.ReadCDB(7, 1), nil, 4096)
	}
	if result.Status != scsi.Good || !bytes.HasPrefix(result.Data, []byte("seven")) {
		t.Fatalf("read after the late answer: got status %02x, data %q, want GOOD, data seven", result.Status, result.Data[:min(len(result.Data), 8)])
	}
}

// A write that gets no answer must not end with BUSY, which promises that nothing was executed, even
// if its class has repeats dropped everywhere. One that every disk server rejected must.
func TestBusyOnlyIfNothingWasExecuted(t *testing.T) {
	for name, tc := range map[string]struct {
		handle     func(attempt *receivedAttempt, request diskproto.Do)
		wantStatus byte
	}{
		"no answer": {func(*receivedAttempt, diskproto.Do) {}, scsi.CheckCondition},
		"rejected": {func(attempt *receivedAttempt, _ diskproto.Do) {
			attempt.answer(diskproto.Answer{Result: diskproto.Full})
		}, scsi.Busy},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, func(s *settings.Settings) {
				useOneShard(s)
				write := &s.Classes[1]
				write.DedupScope, write.LatencyTarget, write.Deadline = "all", 40, 200
			})
			h.startFakeDiskServer(tc.handle)
			result := h.execute(h.connect(normalVolume, 1), initiator.WriteCDB(0, 1), make([]byte, 4096), 0)
			if result.Status != tc.wantStatus {
				t.Errorf("got status %02x, want %02x", result.Status, tc.wantStatus)
			}
		})
	}
}

// A write whose connection breaks after part of its frame was sent must be retried.
func TestConnectionBreaksMidWrite(t *testing.T) {
	h := newHarness(t, useOneShard)
	diskServer := h.startFakeDiskServer(func(attempt *receivedAttempt, request diskproto.Do) { attempt.answer(okAnswer(request)) })
	diskServer.handleRaw = func(conn net.Conn) {
		io.ReadFull(conn, make([]byte, 300)) // part of the first frame
		diskServer.mu.Lock()
		diskServer.handleRaw = nil
		diskServer.mu.Unlock()
	}
	result := h.execute(h.connect(normalVolume, 1), initiator.WriteCDB(0, 8), make([]byte, 8*4096), 0)
	if result.Status != scsi.Good {
		t.Fatalf("write: got status %02x, sense %x, want GOOD", result.Status, result.Sense)
	}
	if requests := diskServer.receivedRequests(); len(requests) != 1 || len(requests[0].Data) != 8*4096 {
		t.Fatalf("got %d complete attempts, want one with the data of 8 blocks", len(requests))
	}
}

// Attempts that time out while their connection is being set up were not sent, so even an unsafe
// command must be retried until the connection works.
func TestConnectionHangsDuringSetup(t *testing.T) {
	h := newHarness(t, useOneShard)
	h.diskServers[0].SetNetworkFaults(hangingNetwork)
	client := h.connect(normalVolume, 1)
	results := make(chan iscsi.Result, 1)
	client.Submit(0, initiator.CompareAndWriteCDB(0, 1), make([]byte, 8192), 0, func(result iscsi.Result, _ error) { results <- result })
	h.waitFor("the first attempt ended without a connection and a second one was sent", func() bool { return h.gateway.Status().Sends >= 2 })
	h.diskServers[0].SetNetworkFaults(healthyNetwork)
	if result := <-results; result.Status != scsi.Good {
		t.Fatalf("compare and write: got status %02x, sense %x, want GOOD", result.Status, result.Sense)
	}
}

// The response to ABORT TASK must wait until the aborted write can no longer take effect, and no
// status may follow for the write.
func TestAbortWaitsForAttempt(t *testing.T) {
	h := newHarness(t, useOneShard)
	pending := make(chan *receivedAttempt, 1)
	h.startFakeDiskServer(func(attempt *receivedAttempt, request diskproto.Do) { pending <- attempt })
	client := h.connect(normalVolume, 1)
	task := client.Submit(0, initiator.WriteCDB(0, 1), make([]byte, 4096), 0, func(iscsi.Result, error) { t.Error("got a status for an aborted command") })
	attempt := <-pending
	responses := make(chan byte, 1)
	client.Abort(task, func(code byte) { responses <- code })
	h.execute(client, initiator.ReadCDB(0, 0), nil, 4096) // when it ends, the target has received the abort
	select {
	case <-responses:
		t.Fatal("got the response to the abort while the write's attempt was outstanding")
	default:
	}
	attempt.answer(diskproto.Answer{Result: diskproto.OK})
	if code := <-responses; code != iscsi.FunctionComplete {
		t.Errorf("abort: got response %d, want function complete", code)
	}
}

// A write whose client disconnected must not be retried.
func TestNoRetryAfterClientCloses(t *testing.T) {
	h := newHarness(t, useOneShard)
	pending := make(chan *receivedAttempt, 4)
	diskServer := h.startFakeDiskServer(func(attempt *receivedAttempt, request diskproto.Do) { pending <- attempt })
	client := h.connect(normalVolume, 1)
	client.Submit(0, initiator.WriteCDB(0, 1), make([]byte, 4096), 0, func(iscsi.Result, error) {})
	attempt := <-pending
	client.Close()
	h.waitFor("no request is open", func() bool { return h.gateway.Status().Open == 0 })
	attempt.answer(diskproto.Answer{Result: diskproto.Failed}) // would be retried if the client were still connected
	otherClient := h.connect(normalVolume, 2)
	otherClient.Submit(0, initiator.ReadCDB(0, 1), nil, 4096, func(iscsi.Result, error) {})
	<-pending
	if requests := diskServer.receivedRequests(); len(requests) != 2 || requests[1].Op == requests[0].Op {
		t.Errorf("got %d attempts, want one of the write and one of the read", len(requests))
	}
}

// rawInitiator sends PDUs built by a test, including invalid ones.
type rawInitiator struct {
	t       *testing.T
	conn    net.Conn
	reader  *iscsi.Reader
	digests iscsi.Digests
}

// connectRaw connects a rawInitiator to the gateway, without a login. Its reads and writes fail
// after 20 s.
func (h *harness) connectRaw() *rawInitiator {
	h.t.Helper()
	conn, err := net.Dial("tcp", h.gateway.Addr().String())
	if err != nil {
		h.t.Fatal(err)
	}
	h.t.Cleanup(func() { conn.Close() })
	conn.SetDeadline(time.Now().Add(20 * time.Second))
	return &rawInitiator{t: h.t, conn: conn, reader: iscsi.NewReader(bufio.NewReader(conn), 1<<20)}
}

func (i *rawInitiator) send(pdu *iscsi.PDU) {
	i.t.Helper()
	if _, err := i.conn.Write(pdu.Append(nil, i.digests)); err != nil {
		i.t.Fatal(err)
	}
}

func (i *rawInitiator) receive() *iscsi.PDU {
	i.t.Helper()
	pdu, err := i.reader.Next()
	if err != nil {
		i.t.Fatal(err)
	}
	return pdu.Clone()
}

// loginPDU returns a login request with CmdSN 1.
func loginPDU(flags byte, keys ...iscsi.Key) *iscsi.PDU {
	pdu := iscsi.New(iscsi.OpLoginReq).SetImmediate().SetFlags(flags)
	pdu.BHS[8], pdu.BHS[13] = 0x80, 9
	pdu.Set(iscsi.AtCmdSN, 1)
	pdu.Data = iscsi.FormatText(keys)
	return pdu
}

// loginKeys returns the keys that open a normal session to a volume's target.
func (h *harness) loginKeys(volume int) []iscsi.Key {
	return []iscsi.Key{{Name: "InitiatorName", Value: "iqn.2026-11.example.client:hand"},
		{Name: "TargetName", Value: h.settings.TargetName(&h.settings.Volumes[volume])}, {Name: "SessionType", Value: "Normal"}}
}

// login enters the full feature phase with one request, without security negotiation.
func (i *rawInitiator) login(h *harness, volume int, extraKeys ...iscsi.Key) {
	i.t.Helper()
	i.send(loginPDU(0x87, append(h.loginKeys(volume), extraKeys...)...))
	response := i.receive()
	if response.Opcode() != iscsi.OpLoginResp || response.BHS[36] != 0 || response.Flags()&3 != 3 {
		i.t.Fatalf("login: got opcode %02x, status %02x%02x, flags %02x, want success in the full feature phase", byte(response.Opcode()), response.BHS[36], response.BHS[37], response.Flags())
	}
	for _, key := range extraKeys {
		i.digests.Header = i.digests.Header || key.Name == "HeaderDigest" && key.Value == "CRC32C"
		i.digests.Data = i.digests.Data || key.Name == "DataDigest" && key.Value == "CRC32C"
	}
	i.reader.Digests = i.digests
}

// commandPDU returns a SCSI command request to LUN 0 that expects to transfer expectedLength bytes.
func commandPDU(cmdSN, taskTag uint32, flags byte, expectedLength uint32, cdb []byte) *iscsi.PDU {
	pdu := iscsi.New(iscsi.OpCommand).SetFlags(flags)
	copy(pdu.BHS[32:], cdb)
	return pdu.Set(iscsi.AtITT, taskTag).Set(20, expectedLength).Set(iscsi.AtCmdSN, cmdSN)
}

// waitForClose waits for the target to close the connection.
func (i *rawInitiator) waitForClose() {
	i.t.Helper()
	for {
		_, err := i.reader.Next()
		if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || err != nil && strings.Contains(err.Error(), "reset") {
			return
		}
		if err != nil {
			i.t.Fatal(err)
		}
	}
}

// A write whose client sends only part of the data must fail by its deadline and must not reach a
// disk server.
func TestWriteWithMissingDataFails(t *testing.T) {
	h := newHarness(t, func(s *settings.Settings) {
		useOneShard(s)
		for i := range s.Classes {
			s.Classes[i].LatencyTarget, s.Classes[i].Deadline = 40, 300
		}
	})
	diskServer := h.startFakeDiskServer(func(attempt *receivedAttempt, request diskproto.Do) { attempt.answer(okAnswer(request)) })
	raw := h.connectRaw()
	raw.login(h, normalVolume)
	raw.send(commandPDU(1, 5, 0xa1, 8192, initiator.WriteCDB(0, 2)))
	r2t := raw.receive()
	if r2t.Opcode() != iscsi.OpR2T || r2t.Word(iscsi.AtLength) != 8192 {
		t.Fatalf("got opcode %02x for %d bytes, want an R2T for 8192", byte(r2t.Opcode()), r2t.Word(iscsi.AtLength))
	}
	dataOut := iscsi.New(iscsi.OpDataOut).SetFlags(0).Set(iscsi.AtITT, 5).Set(iscsi.AtTTT, r2t.Word(iscsi.AtTTT))
	dataOut.Data = make([]byte, 4096)
	raw.send(dataOut)
	response := raw.receive()
	if response.Opcode() != iscsi.OpResponse || response.BHS[3] != scsi.CheckCondition {
		t.Errorf("got opcode %02x, status %02x, want a response with CHECK CONDITION", byte(response.Opcode()), response.BHS[3])
	}
	// Data that arrives after the write failed is ignored, and the session continues.
	dataOut.SetFlags(0x80).Set(iscsi.AtDataSN, 1).Set(iscsi.AtOffset, 4096)
	raw.send(dataOut)
	raw.send(commandPDU(2, 6, 0xc1, 4096, initiator.ReadCDB(0, 1)))
	if pdu := raw.receive(); pdu.Opcode() != iscsi.OpDataIn {
		t.Errorf("read on the same session: got opcode %02x, want Data-In", byte(pdu.Opcode()))
	}
	for _, request := range diskServer.receivedRequests() {
		if scsi.Op(request.Op) == scsi.Write {
			t.Error("disk server got a write whose data was incomplete")
		}
	}
}

// A connection that closes during its login must leave no session.
func TestDroppedLoginsLeaveNoSession(t *testing.T) {
	h := newHarness(t, nil)
	loginBytes := loginPDU(0x81, append(h.loginKeys(normalVolume), iscsi.Key{Name: "AuthMethod", Value: "None"})...).Append(nil, iscsi.Digests{})
	for _, length := range []int{0, 1, 20, 47, 48, 60, len(loginBytes) - 1, len(loginBytes)} {
		raw := h.connectRaw()
		raw.conn.Write(loginBytes[:length])
		if length == len(loginBytes) {
			raw.receive() // the response of the security stage; the client disconnects before the next stage
		}
		raw.conn.Close()
	}
	h.waitFor("no session remains", func() bool { return h.gateway.Status().Sessions == 0 })
	h.execute(h.connect(normalVolume, 1), initiator.ReadCDB(0, 1), nil, 4096)
}

// A PDU with the maximum data length (16 MiB - 1) must end the connection, and login text of more
// than the limit must be rejected. Neither may allocate memory for the given length.
func TestOversizedLengths(t *testing.T) {
	h := newHarness(t, nil)
	raw := h.connectRaw()
	loginBytes := loginPDU(0x87).Append(nil, iscsi.Digests{})
	loginBytes[5], loginBytes[6], loginBytes[7] = 0xff, 0xff, 0xff
	raw.conn.Write(loginBytes)
	raw.waitForClose()

	raw = h.connectRaw()
	var lastResponse *iscsi.PDU
	for range 10 {
		pdu := loginPDU(0x44)
		pdu.Data = bytes.Repeat([]byte("k"), 10<<10)
		raw.send(pdu)
		if lastResponse = raw.receive(); lastResponse.BHS[36] != 0 {
			break
		}
	}
	if lastResponse == nil || iscsi.LoginStatus(binary.BigEndian.Uint16(lastResponse.BHS[36:])) != iscsi.LoginOutOfResources {
		t.Errorf("login text of 100 KiB: got %v, want status out of resources", lastResponse)
	}

	// A write of 4 GiB is answered without memory allocated for its data.
	raw = h.connectRaw()
	raw.login(h, normalVolume)
	raw.send(commandPDU(1, 5, 0xa1, 0xffffffff, initiator.WriteCDB(0, 0xffffffff)))
	if response := raw.receive(); response.Opcode() != iscsi.OpResponse || response.BHS[3] != scsi.CheckCondition {
		t.Errorf("write of 4 GiB: got opcode %02x, status %02x, want a response with CHECK CONDITION", byte(response.Opcode()), response.BHS[3])
	}
	if memory := h.gateway.Status().Memory; memory > 1<<20 {
		t.Errorf("got %d bytes of buffers, want at most 1 MiB", memory)
	}
}

// Commands outside the CmdSN window must be ignored, and a gap within it must end the connection.
func TestWrongCmdSN(t *testing.T) {
	h := newHarness(t, nil)
	raw := h.connectRaw()
	raw.login(h, normalVolume)
	testUnitReady := make([]byte, 6)
	raw.send(commandPDU(0, 1, 0x81, 0, testUnitReady))   // below the window: ignored
	raw.send(commandPDU(500, 2, 0x81, 0, testUnitReady)) // above the window: ignored
	raw.send(commandPDU(1, 3, 0x81, 0, testUnitReady))
	if pdu := raw.receive(); pdu.ITT() != 3 {
		t.Errorf("got a response to task %d, want 3", pdu.ITT())
	}
	raw.send(commandPDU(4, 4, 0x81, 0, testUnitReady)) // leaves a gap, which cannot be filled on this connection
	raw.waitForClose()
}

// A wrong header digest must end the connection. A wrong data digest must be rejected first.
func TestWrongDigests(t *testing.T) {
	h := newHarness(t, nil)
	for _, offset := range []int{20, 48 + 4 + 10} { // in the header, in the data
		raw := h.connectRaw()
		raw.login(h, normalVolume, iscsi.Key{Name: "HeaderDigest", Value: "CRC32C"}, iscsi.Key{Name: "DataDigest", Value: "CRC32C"})
		pdu := commandPDU(1, 5, 0xa1, 4096, initiator.WriteCDB(0, 1))
		pdu.Data = make([]byte, 4096)
		encoded := pdu.Append(nil, raw.digests)
		encoded[offset] ^= 4
		raw.conn.Write(encoded)
		if offset > 48 {
			if pdu := raw.receive(); pdu.Opcode() != iscsi.OpReject || pdu.BHS[2] != iscsi.RejectDataDigest {
				t.Errorf("wrong data digest: got opcode %02x, want a reject for it", byte(pdu.Opcode()))
			}
		}
		raw.waitForClose()
	}
}

// A second login with the same initiator name and ISID must replace the session and end the old
// one's commands. Another ISID opens a separate session.
func TestSessionReinstatement(t *testing.T) {
	h := newHarness(t, useOneShard)
	pending := make(chan *receivedAttempt, 4)
	h.startFakeDiskServer(func(attempt *receivedAttempt, request diskproto.Do) {
		if scsi.Op(request.Op) == scsi.Read {
			attempt.answer(okAnswer(request))
			return
		}
		pending <- attempt
	})
	oldClient := h.connect(normalVolume, 1)
	errs := make(chan error, 1)
	oldClient.Submit(0, initiator.WriteCDB(0, 1), make([]byte, 4096), 0, func(_ iscsi.Result, err error) { errs <- err })
	<-pending
	newClient := h.connect(normalVolume, 1)
	if err := <-errs; !errors.Is(err, initiator.ErrClosed) {
		t.Errorf("command of the old session: got error %v, want that its connection is closed", err)
	}
	if n := h.gateway.Status().Sessions; n != 1 {
		t.Errorf("got %d sessions, want 1", n)
	}
	h.execute(newClient, initiator.ReadCDB(0, 1), nil, 4096)
	otherClient := h.connect(normalVolume, 2) // another ISID
	h.execute(otherClient, initiator.ReadCDB(0, 1), nil, 4096)
	h.execute(newClient, initiator.ReadCDB(0, 1), nil, 4096)
}

// A thousand idle sessions must not be closed or keep another session from being served.
func TestThousandIdleSessions(t *testing.T) {
	h := newHarness(t, nil)
	for i := range 1000 {
		client, err := initiator.Dial(context.Background(), initiator.Config{Environment: h.environment, Addr: h.gateway.Addr().String(),
			Name: "iqn.2026-11.example.client:idle", Target: h.settings.TargetName(&h.settings.Volumes[normalVolume]),
			ISID: iscsi.ISID{0x80, 0, 0, 1, byte(i >> 8), byte(i)}, Params: initiator.DefaultParams(), LoginTime: 20 * time.Second})
		if err != nil {
			t.Fatalf("login of session %d: %v", i, err)
		}
		t.Cleanup(client.Close)
	}
	if n := h.gateway.Status().Sessions; n != 1000 {
		t.Errorf("got %d sessions, want 1000", n)
	}
	h.execute(h.connect(normalVolume, 1), initiator.ReadCDB(0, 1), nil, 4096)
}

// A client that sends commands and never reads must be disconnected, and the memory used for it
// must be limited.
func TestClientThatNeverReads(t *testing.T) {
	h := newHarness(t, func(s *settings.Settings) { s.Target.WriteTimeout, s.Target.MemoryBytes = 300, 32<<20 })
	raw := h.connectRaw()
	raw.login(h, normalVolume)
	maxMemory := int64(0)
	for cmdSN := uint32(1); ; cmdSN++ {
		if _, err := raw.conn.Write(commandPDU(cmdSN, cmdSN, 0xc1, 32*4096, initiator.ReadCDB(0, 32)).Append(nil, raw.digests)); err != nil {
			break // closed by the target
		}
		maxMemory = max(maxMemory, h.gateway.Status().Memory)
	}
	if maxMemory > 33<<20 {
		t.Errorf("got %d bytes of buffers for one client, want at most 33 MiB", maxMemory)
	}
	h.waitFor("the session has ended and its memory is free", func() bool { status := h.gateway.Status(); return status.Sessions == 0 && status.Memory == 0 })
}

// A graceful stop must request logout from clients, reject new connections and answer outstanding
// commands.
func TestGracefulStop(t *testing.T) {
	h := newHarness(t, func(s *settings.Settings) { useOneShard(s); s.Target.LogoutTimeout = 100 })
	pending := make(chan *receivedAttempt, 1)
	h.startFakeDiskServer(func(attempt *receivedAttempt, request diskproto.Do) { pending <- attempt })
	logoutRequests := make(chan struct{}, 1)
	client, err := initiator.Dial(context.Background(), initiator.Config{Environment: h.environment, Addr: h.gateway.Addr().String(),
		Name: "iqn.2026-11.example.client:one", Target: h.settings.TargetName(&h.settings.Volumes[normalVolume]), ISID: iscsi.ISID{0x80},
		Params: initiator.DefaultParams(), LoginTime: 5 * time.Second, OnAsk: func() { logoutRequests <- struct{}{} }})
	if err != nil {
		t.Fatal(err)
	}
	defer client.Close()
	results := make(chan iscsi.Result, 1)
	client.Submit(0, initiator.WriteCDB(0, 1), make([]byte, 4096), 0, func(result iscsi.Result, _ error) { results <- result })
	attempt := <-pending
	stopped := make(chan struct{})
	go func() { h.gateway.Stop(context.Background()); close(stopped) }()
	<-logoutRequests
	if _, err := net.Dial("tcp", h.gateway.Addr().String()); err == nil {
		t.Error("dial during the stop succeeded, want an error")
	}
	attempt.answer(diskproto.Answer{Result: diskproto.OK})
	if result := <-results; result.Status != scsi.Good {
		t.Errorf("write during the stop: got status %02x, want GOOD", result.Status)
	}
	<-stopped
}

// A changed layout must apply to the next command of an open session.
func TestSettingsChangeBetweenRequests(t *testing.T) {
	h := newHarness(t, nil)
	client := h.connect(normalVolume, 1)
	want := bytes.Repeat([]byte{7}, 4096)
	h.execute(client, initiator.WriteCDB(0, 1), want, 0)
	changed := *h.gateway.Settings().Get()
	changed.Volumes = append([]settings.Volume(nil), changed.Volumes...)
	shard := changed.Volumes[normalVolume].Layout[0]
	changed.Volumes[normalVolume].Layout = []int{(shard + 1) % 3}
	if _, err := h.gateway.Settings().Put(&changed); err != nil {
		t.Fatal(err)
	}
	if result := h.execute(client, initiator.ReadCDB(0, 1), nil, 4096); bytes.Equal(result.Data, want) {
		t.Error("got the written block under the new layout, want that of another shard")
	}
	changed.Version++
	changed.Volumes = append([]settings.Volume(nil), changed.Volumes...)
	changed.Volumes[normalVolume].Layout = []int{shard}
	if _, err := h.gateway.Settings().Put(&changed); err != nil {
		t.Fatal(err)
	}
	if result := h.execute(client, initiator.ReadCDB(0, 1), nil, 4096); !bytes.Equal(result.Data, want) {
		t.Error("got other data under the restored layout, want the written block")
	}
}

// LOGICAL UNIT RESET must abort the tasks of all sessions of the logical unit, report a unit
// attention to the other sessions, and be answered once no aborted task can take effect.
func TestLUNResetReachesOtherSessions(t *testing.T) {
	h := newHarness(t, useOneShard)
	pending := make(chan *receivedAttempt, 2)
	h.startFakeDiskServer(func(attempt *receivedAttempt, request diskproto.Do) {
		if scsi.Op(request.Op) == scsi.Read {
			attempt.answer(okAnswer(request))
			return
		}
		pending <- attempt
	})
	client, otherClient := h.connect(normalVolume, 1), h.connect(normalVolume, 2)
	otherClient.Submit(0, initiator.WriteCDB(0, 1), make([]byte, 4096), 0, func(result iscsi.Result, err error) {
		if err == nil {
			t.Error("got a status for a command aborted by a reset")
		}
	})
	attempt := <-pending
	responses := make(chan byte, 1)
	client.Manage(iscsi.LUNReset, func(code byte, _ error) { responses <- code })
	testUnitReady := make([]byte, 6) // TEST UNIT READY is answered at once, so a reset cannot abort it
	result := h.execute(otherClient, testUnitReady, nil, 0)
	for result.Status == scsi.Good { // the reset has not taken effect yet
		result = h.execute(otherClient, testUnitReady, nil, 0)
	}
	if sense, _ := scsi.ParseSense(result.Sense); sense != scsi.DeviceReset {
		t.Errorf("command after the reset: got sense %v, want that of a device reset", sense)
	}
	if result := h.execute(otherClient, testUnitReady, nil, 0); result.Status != scsi.Good {
		t.Errorf("second command after the reset: got status %02x, want GOOD", result.Status)
	}
	select {
	case <-responses:
		t.Fatal("got the response to the reset while the other session's write was outstanding")
	default:
	}
	attempt.answer(diskproto.Answer{Result: diskproto.OK})
	if code := <-responses; code != iscsi.FunctionComplete {
		t.Errorf("reset: got response %d, want function complete", code)
	}
}

// The connection to a disk server that was removed from the inventory must be closed.
func TestConnectionToRemovedServerCloses(t *testing.T) {
	h := newHarness(t, useOneShard)
	h.execute(h.connect(normalVolume, 1), initiator.ReadCDB(0, 1), nil, 4096)
	if n := h.gateway.Status().ConnectedServers; n != 1 {
		t.Fatalf("got %d connected disk servers, want 1", n)
	}
	h.inventory.ChangeNow(func(book *inventory.Book) { book.Health(h.diskServers[0].Addr, inventory.Gone) })
	h.waitFor("no disk server is connected", func() bool { return h.gateway.Status().ConnectedServers == 0 })
}
