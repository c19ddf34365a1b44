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

// useOneShard lays every volume on shard 0, for tests with one actor.
func useOneShard(s *settings.Settings) {
	s.Shards, s.Nodes = 1, nil
	for i := range s.Volumes {
		s.Volumes[i].Layout = []int{0}
	}
}

const normalVolume = 1 // a volume whose writes are txn-write: keyed, one cell, 6 s

func okAnswer(request diskproto.Do) diskproto.Answer {
	answer := diskproto.Answer{Result: diskproto.OK}
	if scsi.Op(request.Op) == scsi.Read {
		answer.Data = make([]byte, request.Blocks*4096)
	}
	return answer
}

// A disk server that dies after it took a keyed write and before it answered: the
// write is sent again, under the same key, and acknowledged once.
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
		t.Fatalf("status %02x sense %x", result.Status, result.Sense)
	}
	requests := diskServer.receivedRequests()
	if len(requests) != 2 || requests[0].Seq != requests[1].Seq || requests[0].Host != requests[1].Host || requests[1].Attempt != 1 {
		t.Fatalf("attempts: %+v", requests)
	}
}

// An unsafe command whose outcome is unknown is failed, never refused or sent
// again.
func TestUnsafeCommandWithUnknownOutcomeFails(t *testing.T) {
	h := newHarness(t, useOneShard)
	diskServer := h.startFakeDiskServer(func(attempt *receivedAttempt, request diskproto.Do) { attempt.conn.Close() })
	result := h.execute(h.connect(normalVolume, 1), initiator.CompareAndWriteCDB(0, 1), make([]byte, 8192), 0)
	if sense, _ := scsi.ParseSense(result.Sense); result.Status != scsi.CheckCondition || sense != scsi.CommandAborted {
		t.Errorf("status %02x sense %x, want CHECK CONDITION, ABORTED COMMAND", result.Status, result.Sense)
	}
	if n := len(diskServer.receivedRequests()); n != 1 {
		t.Errorf("%d attempts of an unsafe command", n)
	}
}

// An unsafe command that a server provably did not run may be sent again.
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
		t.Errorf("status %02x sense %x, want MISCOMPARE", result.Status, result.Sense)
	}
}

// An answer that comes after the time-out changes nothing: not the command that
// it was for, not the next one on that connection.
func TestAnswerAfterTimeout(t *testing.T) {
	h := newHarness(t, func(s *settings.Settings) {
		useOneShard(s)
		for i := range s.Classes {
			s.Classes[i].Aim, s.Classes[i].Deadline = 40, 200
		}
	})
	var lateTag atomic.Uint32
	h.startFakeDiskServer(func(attempt *receivedAttempt, request diskproto.Do) {
		switch {
		case request.LBA == 0 && scsi.Op(request.Op) == scsi.CompareAndWrite:
			lateTag.Store(attempt.tag) // never answered in time
		case lateTag.Load() != 0 && request.LBA == 7:
			attempt.answerTag(lateTag.Load(), diskproto.Answer{Result: diskproto.OK}) // the old answer, before the new
			answer := okAnswer(request)
			copy(answer.Data, "seven")
			attempt.answer(answer)
		default:
			attempt.answer(okAnswer(request))
		}
	})
	client := h.connect(normalVolume, 1)
	if result := h.execute(client, initiator.CompareAndWriteCDB(0, 1), make([]byte, 8192), 0); result.Status != scsi.CheckCondition {
		t.Fatalf("unanswered: status %02x", result.Status)
	}
	result := h.execute(client, initiator.ReadCDB(7, 1), nil, 4096)
	for result.Status == scsi.Busy { // the node is being left alone for a moment
		result = h.execute(client, initiator.ReadCDB(7, 1), nil, 4096)
	}
	if result.Status != scsi.Good || !bytes.HasPrefix(result.Data, []byte("seven")) {
		t.Fatalf("after the late answer: status %02x data %q", result.Status, result.Data[:min(len(result.Data), 8)])
	}
}

// A connection that breaks after half of the write went out: the first server
// never saw a whole frame, and the write is sent again.
func TestConnectionBreaksMidWrite(t *testing.T) {
	h := newHarness(t, useOneShard)
	diskServer := h.startFakeDiskServer(func(attempt *receivedAttempt, request diskproto.Do) { attempt.answer(okAnswer(request)) })
	diskServer.handleRaw = func(conn net.Conn) {
		io.ReadFull(conn, make([]byte, 300)) // a piece of the first frame
		diskServer.mu.Lock()
		diskServer.handleRaw = nil
		diskServer.mu.Unlock()
	}
	result := h.execute(h.connect(normalVolume, 1), initiator.WriteCDB(0, 8), make([]byte, 8*4096), 0)
	if result.Status != scsi.Good {
		t.Fatalf("status %02x sense %x", result.Status, result.Sense)
	}
	if requests := diskServer.receivedRequests(); len(requests) != 1 || len(requests[0].Data) != 8*4096 {
		t.Fatalf("%d whole attempts arrived", len(requests))
	}
}

// A connection that opens and hangs carries nothing, so even an unsafe command may
// go out once it works again.
func TestConnectionHangsDuringSetup(t *testing.T) {
	h := newHarness(t, useOneShard)
	h.diskServers[0].SetNetworkFaults(hangingNetwork)
	client := h.connect(normalVolume, 1)
	results := make(chan iscsi.Result, 1)
	client.Submit(0, initiator.CompareAndWriteCDB(0, 1), make([]byte, 8192), 0, func(result iscsi.Result, _ error) { results <- result })
	h.waitFor("a connection to hang", func() bool { return h.gateway.Status().Sends >= 2 }) // the first found none and was given up
	h.diskServers[0].SetNetworkFaults(healthyNetwork)
	if result := <-results; result.Status != scsi.Good {
		t.Fatalf("status %02x sense %x", result.Status, result.Sense)
	}
}

// ABORT TASK on a write that is out: its response comes only once the write can't
// take effect any more, and no status follows.
func TestAbortWaitsForAttempt(t *testing.T) {
	h := newHarness(t, useOneShard)
	pending := make(chan *receivedAttempt, 1)
	h.startFakeDiskServer(func(attempt *receivedAttempt, request diskproto.Do) { pending <- attempt })
	client := h.connect(normalVolume, 1)
	task := client.Submit(0, initiator.WriteCDB(0, 1), make([]byte, 4096), 0, func(iscsi.Result, error) { t.Error("a status for an aborted command") })
	attempt := <-pending
	responses := make(chan byte, 1)
	client.Abort(task, func(code byte) { responses <- code })
	h.execute(client, initiator.ReadCDB(0, 0), nil, 4096) // the target has handled the abort by now
	select {
	case <-responses:
		t.Fatal("the abort was answered while the write was out")
	default:
	}
	attempt.answer(diskproto.Answer{Result: diskproto.OK})
	if code := <-responses; code != iscsi.FunctionComplete {
		t.Errorf("response %d", code)
	}
}

// A client that closes mid-write: what was sent is not sent again.
func TestNoRetryAfterClientCloses(t *testing.T) {
	h := newHarness(t, useOneShard)
	pending := make(chan *receivedAttempt, 4)
	diskServer := h.startFakeDiskServer(func(attempt *receivedAttempt, request diskproto.Do) { pending <- attempt })
	client := h.connect(normalVolume, 1)
	client.Submit(0, initiator.WriteCDB(0, 1), make([]byte, 4096), 0, func(iscsi.Result, error) {})
	attempt := <-pending
	client.Close()
	h.waitFor("the host to let go", func() bool { return h.gateway.Status().Open == 0 })
	attempt.answer(diskproto.Answer{Result: diskproto.Failed}) // a reason to try again, for whom nobody waits
	otherClient := h.connect(normalVolume, 2)
	otherClient.Submit(0, initiator.ReadCDB(0, 1), nil, 4096, func(iscsi.Result, error) {})
	<-pending
	if requests := diskServer.receivedRequests(); len(requests) != 2 || requests[1].Op == requests[0].Op {
		t.Errorf("after the client left: %d attempts", len(requests))
	}
}

// rawInitiator is an initiator by hand, for what the real one never does.
type rawInitiator struct {
	t       *testing.T
	conn    net.Conn
	reader  *iscsi.Reader
	digests iscsi.Digests
}

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

func loginPDU(flags byte, keys ...iscsi.Key) *iscsi.PDU {
	pdu := iscsi.New(iscsi.OpLoginReq).SetImmediate().SetFlags(flags)
	pdu.BHS[8], pdu.BHS[13] = 0x80, 9
	pdu.Set(iscsi.AtCmdSN, 1)
	pdu.Data = iscsi.FormatText(keys)
	return pdu
}

func (h *harness) loginKeys(volume int) []iscsi.Key {
	return []iscsi.Key{{Name: "InitiatorName", Value: "iqn.2026-11.example.client:hand"},
		{Name: "TargetName", Value: h.settings.TargetName(&h.settings.Volumes[volume])}, {Name: "SessionType", Value: "Normal"}}
}

// login goes straight from the operational stage to full feature.
func (i *rawInitiator) login(h *harness, volume int, extraKeys ...iscsi.Key) {
	i.t.Helper()
	i.send(loginPDU(0x87, append(h.loginKeys(volume), extraKeys...)...))
	response := i.receive()
	if response.Opcode() != iscsi.OpLoginResp || response.BHS[36] != 0 || response.Flags()&3 != 3 {
		i.t.Fatalf("login: %02x %02x%02x flags %02x", byte(response.Opcode()), response.BHS[36], response.BHS[37], response.Flags())
	}
	for _, key := range extraKeys {
		i.digests.Header = i.digests.Header || key.Name == "HeaderDigest" && key.Value == "CRC32C"
		i.digests.Data = i.digests.Data || key.Name == "DataDigest" && key.Value == "CRC32C"
	}
	i.reader.Digests = i.digests
}

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

// A client that stops between an R2T and its last Data-Out: nothing of the write
// reaches a disk server, and it is failed in time.
func TestWriteWithMissingDataFails(t *testing.T) {
	h := newHarness(t, func(s *settings.Settings) {
		useOneShard(s)
		for i := range s.Classes {
			s.Classes[i].Aim, s.Classes[i].Deadline = 40, 300
		}
	})
	diskServer := h.startFakeDiskServer(func(attempt *receivedAttempt, request diskproto.Do) { attempt.answer(okAnswer(request)) })
	raw := h.connectRaw()
	raw.login(h, normalVolume)
	raw.send(commandPDU(1, 5, 0xa1, 8192, initiator.WriteCDB(0, 2)))
	r2t := raw.receive()
	if r2t.Opcode() != iscsi.OpR2T || r2t.Word(iscsi.AtLength) != 8192 {
		t.Fatalf("got %02x for %d bytes", byte(r2t.Opcode()), r2t.Word(iscsi.AtLength))
	}
	dataOut := iscsi.New(iscsi.OpDataOut).SetFlags(0).Set(iscsi.AtITT, 5).Set(iscsi.AtTTT, r2t.Word(iscsi.AtTTT))
	dataOut.Data = make([]byte, 4096)
	raw.send(dataOut)
	response := raw.receive()
	if response.Opcode() != iscsi.OpResponse || response.BHS[3] != scsi.CheckCondition {
		t.Errorf("got %02x status %02x", byte(response.Opcode()), response.BHS[3])
	}
	// The rest comes too late and is passed over; the session goes on.
	dataOut.SetFlags(0x80).Set(iscsi.AtDataSN, 1).Set(iscsi.AtOffset, 4096)
	raw.send(dataOut)
	raw.send(commandPDU(2, 6, 0xc1, 4096, initiator.ReadCDB(0, 1)))
	if pdu := raw.receive(); pdu.Opcode() != iscsi.OpDataIn {
		t.Errorf("the session did not go on: %02x", byte(pdu.Opcode()))
	}
	for _, request := range diskServer.receivedRequests() {
		if scsi.Op(request.Op) == scsi.Write {
			t.Error("half a write was sent on")
		}
	}
}

// A login that is dropped after any of its bytes leaves nothing behind.
func TestDroppedLoginsLeaveNoSession(t *testing.T) {
	h := newHarness(t, nil)
	loginBytes := loginPDU(0x81, append(h.loginKeys(normalVolume), iscsi.Key{Name: "AuthMethod", Value: "None"})...).Append(nil, iscsi.Digests{})
	for _, length := range []int{0, 1, 20, 47, 48, 60, len(loginBytes) - 1, len(loginBytes)} {
		raw := h.connectRaw()
		raw.conn.Write(loginBytes[:length])
		if length == len(loginBytes) {
			raw.receive() // the security stage is answered; the client leaves before the next
		}
		raw.conn.Close()
	}
	h.waitFor("the half logins to end", func() bool { return h.gateway.Status().Sessions == 0 })
	h.execute(h.connect(normalVolume, 1), initiator.ReadCDB(0, 1), nil, 4096)
}

// A length field of 16 MiB less one, the most it can say, allocates nothing and
// ends the connection; so does a text key of 100 KB, over several PDUs.
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
		t.Errorf("the long text was not refused: %v", lastResponse)
	}

	// A command that speaks of 4 GiB is answered, with nothing reserved for it.
	raw = h.connectRaw()
	raw.login(h, normalVolume)
	raw.send(commandPDU(1, 5, 0xa1, 0xffffffff, initiator.WriteCDB(0, 0xffffffff)))
	if response := raw.receive(); response.Opcode() != iscsi.OpResponse || response.BHS[3] != scsi.CheckCondition {
		t.Errorf("4 GiB write: %02x status %02x", byte(response.Opcode()), response.BHS[3])
	}
	if memory := h.gateway.Status().Memory; memory > 1<<20 {
		t.Errorf("%d bytes are held", memory)
	}
}

func TestWrongCmdSN(t *testing.T) {
	h := newHarness(t, nil)
	raw := h.connectRaw()
	raw.login(h, normalVolume)
	testUnitReady := make([]byte, 6)
	raw.send(commandPDU(0, 1, 0x81, 0, testUnitReady))   // below the window: passed over
	raw.send(commandPDU(500, 2, 0x81, 0, testUnitReady)) // beyond it: passed over
	raw.send(commandPDU(1, 3, 0x81, 0, testUnitReady))
	if pdu := raw.receive(); pdu.ITT() != 3 {
		t.Errorf("answer to task %d", pdu.ITT())
	}
	raw.send(commandPDU(4, 4, 0x81, 0, testUnitReady)) // a gap that nothing can fill
	raw.waitForClose()
}

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
				t.Errorf("data digest: got %02x", byte(pdu.Opcode()))
			}
		}
		raw.waitForClose()
	}
}

// A second login of the same initiator takes the place of its session: the old
// one's commands end, and only then does the new one begin.
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
		t.Errorf("the old session's command ended with %v", err)
	}
	if n := h.gateway.Status().Sessions; n != 1 {
		t.Errorf("%d sessions", n)
	}
	h.execute(newClient, initiator.ReadCDB(0, 1), nil, 4096)
	otherClient := h.connect(normalVolume, 2) // another ISID is another session
	h.execute(otherClient, initiator.ReadCDB(0, 1), nil, 4096)
	h.execute(newClient, initiator.ReadCDB(0, 1), nil, 4096)
}

// A thousand idle sessions, then one that works beside them.
func TestThousandIdleSessions(t *testing.T) {
	h := newHarness(t, nil)
	for i := range 1000 {
		client, err := initiator.Dial(context.Background(), initiator.Config{Environment: h.environment, Addr: h.gateway.Addr().String(),
			Name: "iqn.2026-11.example.client:idle", Target: h.settings.TargetName(&h.settings.Volumes[normalVolume]),
			ISID: iscsi.ISID{0x80, 0, 0, 1, byte(i >> 8), byte(i)}, Params: initiator.DefaultParams(), LoginTime: 20 * time.Second})
		if err != nil {
			t.Fatalf("session %d: %v", i, err)
		}
		t.Cleanup(client.Close)
	}
	if n := h.gateway.Status().Sessions; n != 1000 {
		t.Errorf("%d sessions", n)
	}
	h.execute(h.connect(normalVolume, 1), initiator.ReadCDB(0, 1), nil, 4096)
}

// A client that asks and never reads is closed, and what is held for it is bounded.
func TestClientThatNeverReads(t *testing.T) {
	h := newHarness(t, func(s *settings.Settings) { s.Target.WriteTime, s.Target.Memory = 300, 32<<20 })
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
		t.Errorf("%d bytes were held for one client", maxMemory)
	}
	h.waitFor("the session to end", func() bool { status := h.gateway.Status(); return status.Sessions == 0 && status.Memory == 0 })
}

// At a graceful stop what was taken is answered, and the client is told.
func TestGracefulStop(t *testing.T) {
	h := newHarness(t, func(s *settings.Settings) { useOneShard(s); s.Target.StopTime = 100 })
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
		t.Error("a new connection was taken")
	}
	attempt.answer(diskproto.Answer{Result: diskproto.OK})
	if result := <-results; result.Status != scsi.Good {
		t.Errorf("status %02x", result.Status)
	}
	<-stopped
}

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
		t.Error("the new layout was not used: it points at a shard without the block")
	}
	changed.Version++
	changed.Volumes = append([]settings.Volume(nil), changed.Volumes...)
	changed.Volumes[normalVolume].Layout = []int{shard}
	if _, err := h.gateway.Settings().Put(&changed); err != nil {
		t.Fatal(err)
	}
	if result := h.execute(client, initiator.ReadCDB(0, 1), nil, 4096); !bytes.Equal(result.Data, want) {
		t.Error("the old layout, put again, does not find the block")
	}
}

// LUN RESET ends the tasks of every session of the unit; the others are told by a
// unit attention, and the response waits for all of them.
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
			t.Error("a status for a command that was reset")
		}
	})
	attempt := <-pending
	responses := make(chan byte, 1)
	client.Manage(iscsi.LUNReset, func(code byte, _ error) { responses <- code })
	testUnitReady := make([]byte, 6) // TEST UNIT READY is answered at once and can't be reset itself
	result := h.execute(otherClient, testUnitReady, nil, 0)
	for result.Status == scsi.Good { // the reset has not reached it yet
		result = h.execute(otherClient, testUnitReady, nil, 0)
	}
	if sense, _ := scsi.ParseSense(result.Sense); sense != scsi.DeviceReset {
		t.Errorf("sense %v", sense)
	}
	if result := h.execute(otherClient, testUnitReady, nil, 0); result.Status != scsi.Good {
		t.Errorf("the attention is told once: %02x", result.Status)
	}
	select {
	case <-responses:
		t.Fatal("answered while the other session's write was out")
	default:
	}
	attempt.answer(diskproto.Answer{Result: diskproto.OK})
	if code := <-responses; code != iscsi.FunctionComplete {
		t.Errorf("response %d", code)
	}
}

// A server that leaves the list keeps no connection.
func TestConnectionToRemovedServerCloses(t *testing.T) {
	h := newHarness(t, useOneShard)
	h.execute(h.connect(normalVolume, 1), initiator.ReadCDB(0, 1), nil, 4096)
	if n := h.gateway.Status().ConnectedServers; n != 1 {
		t.Fatalf("%d connections", n)
	}
	h.inventory.ChangeNow(func(book *inventory.Book) { book.Health(h.diskServers[0].Addr, inventory.Gone) })
	h.waitFor("the connection to end", func() bool { return h.gateway.Status().ConnectedServers == 0 })
}
