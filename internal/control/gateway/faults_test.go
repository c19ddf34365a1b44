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

func okAnswer(do diskproto.Do) diskproto.Answer {
	a := diskproto.Answer{Result: diskproto.OK}
	if scsi.Op(do.Op) == scsi.Read {
		a.Data = make([]byte, do.Blocks*4096)
	}
	return a
}

// A disk server that dies after it took a keyed write and before it answered: the
// write is sent again, under the same key, and acknowledged once.
func TestServerDiesBeforeAnswer(t *testing.T) {
	r := newHarness(t, useOneShard)
	a := r.startFakeDiskServer(func(c *attemptConn, do diskproto.Do) {
		if do.Attempt == 0 {
			c.conn.Close()
			return
		}
		c.answer(okAnswer(do))
	})
	res := r.execute(r.connect(normalVolume, 1), initiator.WriteCDB(0, 1), make([]byte, 4096), 0)
	if res.Status != scsi.Good {
		t.Fatalf("status %02x sense %x", res.Status, res.Sense)
	}
	did := a.receivedRequests()
	if len(did) != 2 || did[0].Seq != did[1].Seq || did[0].Host != did[1].Host || did[1].Attempt != 1 {
		t.Fatalf("attempts: %+v", did)
	}
}

// An unsafe command whose outcome is unknown is failed, never refused or sent
// again.
func TestUnsafeCommandWithUnknownOutcomeFails(t *testing.T) {
	r := newHarness(t, useOneShard)
	a := r.startFakeDiskServer(func(c *attemptConn, do diskproto.Do) { c.conn.Close() })
	res := r.execute(r.connect(normalVolume, 1), initiator.CompareAndWriteCDB(0, 1), make([]byte, 8192), 0)
	if s, _ := scsi.ParseSense(res.Sense); res.Status != scsi.CheckCondition || s != scsi.CommandAborted {
		t.Errorf("status %02x sense %x, want CHECK CONDITION, ABORTED COMMAND", res.Status, res.Sense)
	}
	if n := len(a.receivedRequests()); n != 1 {
		t.Errorf("%d attempts of an unsafe command", n)
	}
}

// An unsafe command that a server provably did not run may be sent again.
func TestRejectedUnsafeCommandIsRetried(t *testing.T) {
	r := newHarness(t, useOneShard)
	r.startFakeDiskServer(func(c *attemptConn, do diskproto.Do) {
		if do.Attempt == 0 {
			c.answer(diskproto.Answer{Result: diskproto.Full})
			return
		}
		c.answer(diskproto.Answer{Result: diskproto.Miscompare})
	})
	res := r.execute(r.connect(normalVolume, 1), initiator.CompareAndWriteCDB(0, 1), make([]byte, 8192), 0)
	if s, _ := scsi.ParseSense(res.Sense); s != scsi.Miscompare {
		t.Errorf("status %02x sense %x, want MISCOMPARE", res.Status, res.Sense)
	}
}

// An answer that comes after the time-out changes nothing: not the command that
// it was for, not the next one on that connection.
func TestAnswerAfterTimeout(t *testing.T) {
	r := newHarness(t, func(s *settings.Settings) {
		useOneShard(s)
		for i := range s.Classes {
			s.Classes[i].Aim, s.Classes[i].Deadline = 40, 200
		}
	})
	var late atomic.Uint32
	r.startFakeDiskServer(func(c *attemptConn, do diskproto.Do) {
		switch {
		case do.LBA == 0 && scsi.Op(do.Op) == scsi.CompareAndWrite:
			late.Store(c.tag) // never answered in time
		case late.Load() != 0 && do.LBA == 7:
			c.answerTag(late.Load(), diskproto.Answer{Result: diskproto.OK}) // the old answer, before the new
			a := okAnswer(do)
			copy(a.Data, "seven")
			c.answer(a)
		default:
			c.answer(okAnswer(do))
		}
	})
	c := r.connect(normalVolume, 1)
	if res := r.execute(c, initiator.CompareAndWriteCDB(0, 1), make([]byte, 8192), 0); res.Status != scsi.CheckCondition {
		t.Fatalf("unanswered: status %02x", res.Status)
	}
	res := r.execute(c, initiator.ReadCDB(7, 1), nil, 4096)
	for res.Status == scsi.Busy { // the node is being left alone for a moment
		res = r.execute(c, initiator.ReadCDB(7, 1), nil, 4096)
	}
	if res.Status != scsi.Good || !bytes.HasPrefix(res.Data, []byte("seven")) {
		t.Fatalf("after the late answer: status %02x data %q", res.Status, res.Data[:min(len(res.Data), 8)])
	}
}

// A connection that breaks after half of the write went out: the first server
// never saw a whole frame, and the write is sent again.
func TestConnectionBreaksMidWrite(t *testing.T) {
	r := newHarness(t, useOneShard)
	a := r.startFakeDiskServer(func(c *attemptConn, do diskproto.Do) { c.answer(okAnswer(do)) })
	a.handleRaw = func(c net.Conn) {
		io.ReadFull(c, make([]byte, 300)) // a piece of the first frame
		a.mu.Lock()
		a.handleRaw = nil
		a.mu.Unlock()
	}
	res := r.execute(r.connect(normalVolume, 1), initiator.WriteCDB(0, 8), make([]byte, 8*4096), 0)
	if res.Status != scsi.Good {
		t.Fatalf("status %02x sense %x", res.Status, res.Sense)
	}
	if did := a.receivedRequests(); len(did) != 1 || len(did[0].Data) != 8*4096 {
		t.Fatalf("%d whole attempts arrived", len(did))
	}
}

// A connection that opens and hangs carries nothing, so even an unsafe command may
// go out once it works again.
func TestConnectionHangsDuringSetup(t *testing.T) {
	r := newHarness(t, useOneShard)
	r.diskServers[0].Net(hangingNetwork)
	c := r.connect(normalVolume, 1)
	got := make(chan iscsi.Result, 1)
	c.Submit(0, initiator.CompareAndWriteCDB(0, 1), make([]byte, 8192), 0, func(res iscsi.Result, _ error) { got <- res })
	r.waitFor("a connection to hang", func() bool { return r.gateway.Status().Sends >= 2 }) // the first found none and was given up
	r.diskServers[0].Net(healthyNetwork)
	if res := <-got; res.Status != scsi.Good {
		t.Fatalf("status %02x sense %x", res.Status, res.Sense)
	}
}

// ABORT TASK on a write that is out: its response comes only once the write can't
// take effect any more, and no status follows.
func TestAbortWaitsForAttempt(t *testing.T) {
	r := newHarness(t, useOneShard)
	out := make(chan *attemptConn, 1)
	r.startFakeDiskServer(func(c *attemptConn, do diskproto.Do) { out <- c })
	c := r.connect(normalVolume, 1)
	h := c.Submit(0, initiator.WriteCDB(0, 1), make([]byte, 4096), 0, func(iscsi.Result, error) { t.Error("a status for an aborted command") })
	s := <-out
	answered := make(chan byte, 1)
	c.Abort(h, func(code byte) { answered <- code })
	r.execute(c, initiator.ReadCDB(0, 0), nil, 4096) // the target has handled the abort by now
	select {
	case <-answered:
		t.Fatal("the abort was answered while the write was out")
	default:
	}
	s.answer(diskproto.Answer{Result: diskproto.OK})
	if code := <-answered; code != iscsi.FunctionComplete {
		t.Errorf("response %d", code)
	}
}

// A client that closes mid-write: what was sent is not sent again.
func TestNoRetryAfterClientCloses(t *testing.T) {
	r := newHarness(t, useOneShard)
	out := make(chan *attemptConn, 4)
	a := r.startFakeDiskServer(func(c *attemptConn, do diskproto.Do) { out <- c })
	c := r.connect(normalVolume, 1)
	c.Submit(0, initiator.WriteCDB(0, 1), make([]byte, 4096), 0, func(iscsi.Result, error) {})
	s := <-out
	c.Close()
	r.waitFor("the host to let go", func() bool { return r.gateway.Status().Open == 0 })
	s.answer(diskproto.Answer{Result: diskproto.Failed}) // a reason to try again, for whom nobody waits
	other := r.connect(normalVolume, 2)
	other.Submit(0, initiator.ReadCDB(0, 1), nil, 4096, func(iscsi.Result, error) {})
	<-out
	if did := a.receivedRequests(); len(did) != 2 || did[1].Op == did[0].Op {
		t.Errorf("after the client left: %d attempts", len(did))
	}
}

// rawInitiator is an initiator by hand, for what the real one never does.
type rawInitiator struct {
	t       *testing.T
	conn    net.Conn
	reader  *iscsi.Reader
	digests iscsi.Digests
}

func (r *harness) connectRaw() *rawInitiator {
	r.t.Helper()
	c, err := net.Dial("tcp", r.gateway.Addr().String())
	if err != nil {
		r.t.Fatal(err)
	}
	r.t.Cleanup(func() { c.Close() })
	c.SetDeadline(time.Now().Add(20 * time.Second))
	return &rawInitiator{t: r.t, conn: c, reader: iscsi.NewReader(bufio.NewReader(c), 1<<20)}
}

func (w *rawInitiator) send(p *iscsi.PDU) {
	w.t.Helper()
	if _, err := w.conn.Write(p.Append(nil, w.digests)); err != nil {
		w.t.Fatal(err)
	}
}

func (w *rawInitiator) receive() *iscsi.PDU {
	w.t.Helper()
	p, err := w.reader.Next()
	if err != nil {
		w.t.Fatal(err)
	}
	return p.Clone()
}

func loginPDU(flags byte, keys ...iscsi.Key) *iscsi.PDU {
	p := iscsi.New(iscsi.OpLoginReq).SetImmediate().SetFlags(flags)
	p.BHS[8], p.BHS[13] = 0x80, 9
	p.Set(iscsi.AtCmdSN, 1)
	p.Data = iscsi.FormatText(keys)
	return p
}

func (r *harness) loginKeys(volume int) []iscsi.Key {
	return []iscsi.Key{{Name: "InitiatorName", Value: "iqn.2026-11.example.client:hand"},
		{Name: "TargetName", Value: r.settings.TargetName(&r.settings.Volumes[volume])}, {Name: "SessionType", Value: "Normal"}}
}

// login goes straight from the operational stage to full feature.
func (w *rawInitiator) login(r *harness, volume int, extra ...iscsi.Key) {
	w.t.Helper()
	w.send(loginPDU(0x87, append(r.loginKeys(volume), extra...)...))
	p := w.receive()
	if p.Opcode() != iscsi.OpLoginResp || p.BHS[36] != 0 || p.Flags()&3 != 3 {
		w.t.Fatalf("login: %02x %02x%02x flags %02x", byte(p.Opcode()), p.BHS[36], p.BHS[37], p.Flags())
	}
	for _, k := range extra {
		w.digests.Header = w.digests.Header || k.Name == "HeaderDigest" && k.Value == "CRC32C"
		w.digests.Data = w.digests.Data || k.Name == "DataDigest" && k.Value == "CRC32C"
	}
	w.reader.Digests = w.digests
}

func commandPDU(sn, itt uint32, flags byte, length uint32, cdb []byte) *iscsi.PDU {
	p := iscsi.New(iscsi.OpCommand).SetFlags(flags)
	copy(p.BHS[32:], cdb)
	return p.Set(iscsi.AtITT, itt).Set(20, length).Set(iscsi.AtCmdSN, sn)
}

// waitForClose waits for the target to close the connection.
func (w *rawInitiator) waitForClose() {
	w.t.Helper()
	for {
		_, err := w.reader.Next()
		if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || err != nil && strings.Contains(err.Error(), "reset") {
			return
		}
		if err != nil {
			w.t.Fatal(err)
		}
	}
}

// A client that stops between an R2T and its last Data-Out: nothing of the write
// reaches a disk server, and it is failed in time.
func TestWriteWithMissingDataFails(t *testing.T) {
	r := newHarness(t, func(s *settings.Settings) {
		useOneShard(s)
		for i := range s.Classes {
			s.Classes[i].Aim, s.Classes[i].Deadline = 40, 300
		}
	})
	a := r.startFakeDiskServer(func(c *attemptConn, do diskproto.Do) { c.answer(okAnswer(do)) })
	w := r.connectRaw()
	w.login(r, normalVolume)
	w.send(commandPDU(1, 5, 0xa1, 8192, initiator.WriteCDB(0, 2)))
	r2t := w.receive()
	if r2t.Opcode() != iscsi.OpR2T || r2t.Word(iscsi.AtLength) != 8192 {
		t.Fatalf("got %02x for %d bytes", byte(r2t.Opcode()), r2t.Word(iscsi.AtLength))
	}
	d := iscsi.New(iscsi.OpDataOut).SetFlags(0).Set(iscsi.AtITT, 5).Set(iscsi.AtTTT, r2t.Word(iscsi.AtTTT))
	d.Data = make([]byte, 4096)
	w.send(d)
	res := w.receive()
	if res.Opcode() != iscsi.OpResponse || res.BHS[3] != scsi.CheckCondition {
		t.Errorf("got %02x status %02x", byte(res.Opcode()), res.BHS[3])
	}
	// The rest comes too late and is passed over; the session goes on.
	d.SetFlags(0x80).Set(iscsi.AtDataSN, 1).Set(iscsi.AtOffset, 4096)
	w.send(d)
	w.send(commandPDU(2, 6, 0xc1, 4096, initiator.ReadCDB(0, 1)))
	if p := w.receive(); p.Opcode() != iscsi.OpDataIn {
		t.Errorf("the session did not go on: %02x", byte(p.Opcode()))
	}
	for _, do := range a.receivedRequests() {
		if scsi.Op(do.Op) == scsi.Write {
			t.Error("half a write was sent on")
		}
	}
}

// A login that is dropped after any of its bytes leaves nothing behind.
func TestDroppedLoginsLeaveNoSession(t *testing.T) {
	r := newHarness(t, nil)
	whole := loginPDU(0x81, append(r.loginKeys(normalVolume), iscsi.Key{Name: "AuthMethod", Value: "None"})...).Append(nil, iscsi.Digests{})
	for _, n := range []int{0, 1, 20, 47, 48, 60, len(whole) - 1, len(whole)} {
		w := r.connectRaw()
		w.conn.Write(whole[:n])
		if n == len(whole) {
			w.receive() // the security stage is answered; the client leaves before the next
		}
		w.conn.Close()
	}
	r.waitFor("the half logins to end", func() bool { return r.gateway.Status().Sessions == 0 })
	r.execute(r.connect(normalVolume, 1), initiator.ReadCDB(0, 1), nil, 4096)
}

// A length field of 16 MiB less one, the most it can say, allocates nothing and
// ends the connection; so does a text key of 100 KB, over several PDUs.
func TestOversizedLengths(t *testing.T) {
	r := newHarness(t, nil)
	w := r.connectRaw()
	p := loginPDU(0x87).Append(nil, iscsi.Digests{})
	p[5], p[6], p[7] = 0xff, 0xff, 0xff
	w.conn.Write(p)
	w.waitForClose()

	w = r.connectRaw()
	var last *iscsi.PDU
	for range 10 {
		p := loginPDU(0x44)
		p.Data = bytes.Repeat([]byte("k"), 10<<10)
		w.send(p)
		if last = w.receive(); last.BHS[36] != 0 {
			break
		}
	}
	if last == nil || iscsi.LoginStatus(binary.BigEndian.Uint16(last.BHS[36:])) != iscsi.LoginOutOfResources {
		t.Errorf("the long text was not refused: %v", last)
	}

	// A command that speaks of 4 GiB is answered, with nothing reserved for it.
	w = r.connectRaw()
	w.login(r, normalVolume)
	w.send(commandPDU(1, 5, 0xa1, 0xffffffff, initiator.WriteCDB(0, 0xffffffff)))
	if res := w.receive(); res.Opcode() != iscsi.OpResponse || res.BHS[3] != scsi.CheckCondition {
		t.Errorf("4 GiB write: %02x status %02x", byte(res.Opcode()), res.BHS[3])
	}
	if m := r.gateway.Status().Memory; m > 1<<20 {
		t.Errorf("%d bytes are held", m)
	}
}

func TestWrongCmdSN(t *testing.T) {
	r := newHarness(t, nil)
	w := r.connectRaw()
	w.login(r, normalVolume)
	turs := make([]byte, 6)
	w.send(commandPDU(0, 1, 0x81, 0, turs))   // below the window: passed over
	w.send(commandPDU(500, 2, 0x81, 0, turs)) // beyond it: passed over
	w.send(commandPDU(1, 3, 0x81, 0, turs))
	if p := w.receive(); p.ITT() != 3 {
		t.Errorf("answer to task %d", p.ITT())
	}
	w.send(commandPDU(4, 4, 0x81, 0, turs)) // a gap that nothing can fill
	w.waitForClose()
}

func TestWrongDigests(t *testing.T) {
	r := newHarness(t, nil)
	for _, at := range []int{20, 48 + 4 + 10} { // in the header, in the data
		w := r.connectRaw()
		w.login(r, normalVolume, iscsi.Key{Name: "HeaderDigest", Value: "CRC32C"}, iscsi.Key{Name: "DataDigest", Value: "CRC32C"})
		p := commandPDU(1, 5, 0xa1, 4096, initiator.WriteCDB(0, 1))
		p.Data = make([]byte, 4096)
		b := p.Append(nil, w.digests)
		b[at] ^= 4
		w.conn.Write(b)
		if at > 48 {
			if p := w.receive(); p.Opcode() != iscsi.OpReject || p.BHS[2] != iscsi.RejectDataDigest {
				t.Errorf("data digest: got %02x", byte(p.Opcode()))
			}
		}
		w.waitForClose()
	}
}

// A second login of the same initiator takes the place of its session: the old
// one's commands end, and only then does the new one begin.
func TestSessionReinstatement(t *testing.T) {
	r := newHarness(t, useOneShard)
	out := make(chan *attemptConn, 4)
	r.startFakeDiskServer(func(c *attemptConn, do diskproto.Do) {
		if scsi.Op(do.Op) == scsi.Read {
			c.answer(okAnswer(do))
			return
		}
		out <- c
	})
	one := r.connect(normalVolume, 1)
	ended := make(chan error, 1)
	one.Submit(0, initiator.WriteCDB(0, 1), make([]byte, 4096), 0, func(_ iscsi.Result, err error) { ended <- err })
	<-out
	two := r.connect(normalVolume, 1)
	if err := <-ended; !errors.Is(err, initiator.ErrClosed) {
		t.Errorf("the old session's command ended with %v", err)
	}
	if n := r.gateway.Status().Sessions; n != 1 {
		t.Errorf("%d sessions", n)
	}
	r.execute(two, initiator.ReadCDB(0, 1), nil, 4096)
	three := r.connect(normalVolume, 2) // another ISID is another session
	r.execute(three, initiator.ReadCDB(0, 1), nil, 4096)
	r.execute(two, initiator.ReadCDB(0, 1), nil, 4096)
}

// A thousand idle sessions, then one that works beside them.
func TestThousandIdleSessions(t *testing.T) {
	r := newHarness(t, nil)
	for i := range 1000 {
		c, err := initiator.Dial(context.Background(), initiator.Config{Environment: r.environment, Addr: r.gateway.Addr().String(),
			Name: "iqn.2026-11.example.client:idle", Target: r.settings.TargetName(&r.settings.Volumes[normalVolume]),
			ISID: iscsi.ISID{0x80, 0, 0, 1, byte(i >> 8), byte(i)}, Params: initiator.DefaultParams(), LoginTime: 20 * time.Second})
		if err != nil {
			t.Fatalf("session %d: %v", i, err)
		}
		t.Cleanup(c.Close)
	}
	if n := r.gateway.Status().Sessions; n != 1000 {
		t.Errorf("%d sessions", n)
	}
	r.execute(r.connect(normalVolume, 1), initiator.ReadCDB(0, 1), nil, 4096)
}

// A client that asks and never reads is closed, and what is held for it is bounded.
func TestClientThatNeverReads(t *testing.T) {
	r := newHarness(t, func(s *settings.Settings) { s.Target.WriteTime, s.Target.Memory = 300, 32<<20 })
	w := r.connectRaw()
	w.login(r, normalVolume)
	most := int64(0)
	for sn := uint32(1); ; sn++ {
		if _, err := w.conn.Write(commandPDU(sn, sn, 0xc1, 32*4096, initiator.ReadCDB(0, 32)).Append(nil, w.digests)); err != nil {
			break // closed by the target
		}
		most = max(most, r.gateway.Status().Memory)
	}
	if most > 33<<20 {
		t.Errorf("%d bytes were held for one client", most)
	}
	r.waitFor("the session to end", func() bool { s := r.gateway.Status(); return s.Sessions == 0 && s.Memory == 0 })
}

// At a graceful stop what was taken is answered, and the client is told.
func TestGracefulStop(t *testing.T) {
	r := newHarness(t, func(s *settings.Settings) { useOneShard(s); s.Target.StopTime = 100 })
	out := make(chan *attemptConn, 1)
	r.startFakeDiskServer(func(c *attemptConn, do diskproto.Do) { out <- c })
	asked := make(chan struct{}, 1)
	c, err := initiator.Dial(context.Background(), initiator.Config{Environment: r.environment, Addr: r.gateway.Addr().String(),
		Name: "iqn.2026-11.example.client:one", Target: r.settings.TargetName(&r.settings.Volumes[normalVolume]), ISID: iscsi.ISID{0x80},
		Params: initiator.DefaultParams(), LoginTime: 5 * time.Second, OnAsk: func() { asked <- struct{}{} }})
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	got := make(chan iscsi.Result, 1)
	c.Submit(0, initiator.WriteCDB(0, 1), make([]byte, 4096), 0, func(res iscsi.Result, _ error) { got <- res })
	s := <-out
	stopped := make(chan struct{})
	go func() { r.gateway.Stop(context.Background()); close(stopped) }()
	<-asked
	if _, err := net.Dial("tcp", r.gateway.Addr().String()); err == nil {
		t.Error("a new connection was taken")
	}
	s.answer(diskproto.Answer{Result: diskproto.OK})
	if res := <-got; res.Status != scsi.Good {
		t.Errorf("status %02x", res.Status)
	}
	<-stopped
}

func TestSettingsChangeBetweenRequests(t *testing.T) {
	r := newHarness(t, nil)
	c := r.connect(normalVolume, 1)
	want := bytes.Repeat([]byte{7}, 4096)
	r.execute(c, initiator.WriteCDB(0, 1), want, 0)
	next := *r.gateway.Settings().Get()
	next.Volumes = append([]settings.Volume(nil), next.Volumes...)
	first := next.Volumes[normalVolume].Layout[0]
	next.Volumes[normalVolume].Layout = []int{(first + 1) % 3}
	if _, err := r.gateway.Settings().Put(&next); err != nil {
		t.Fatal(err)
	}
	if res := r.execute(c, initiator.ReadCDB(0, 1), nil, 4096); bytes.Equal(res.Data, want) {
		t.Error("the new layout was not used: it points at a shard without the block")
	}
	next.Version++
	next.Volumes = append([]settings.Volume(nil), next.Volumes...)
	next.Volumes[normalVolume].Layout = []int{first}
	if _, err := r.gateway.Settings().Put(&next); err != nil {
		t.Fatal(err)
	}
	if res := r.execute(c, initiator.ReadCDB(0, 1), nil, 4096); !bytes.Equal(res.Data, want) {
		t.Error("the old layout, put again, does not find the block")
	}
}

// LUN RESET ends the tasks of every session of the unit; the others are told by a
// unit attention, and the response waits for all of them.
func TestLUNResetReachesOtherSessions(t *testing.T) {
	r := newHarness(t, useOneShard)
	out := make(chan *attemptConn, 2)
	r.startFakeDiskServer(func(c *attemptConn, do diskproto.Do) {
		if scsi.Op(do.Op) == scsi.Read {
			c.answer(okAnswer(do))
			return
		}
		out <- c
	})
	one, two := r.connect(normalVolume, 1), r.connect(normalVolume, 2)
	two.Submit(0, initiator.WriteCDB(0, 1), make([]byte, 4096), 0, func(res iscsi.Result, err error) {
		if err == nil {
			t.Error("a status for a command that was reset")
		}
	})
	s := <-out
	answered := make(chan byte, 1)
	one.Manage(iscsi.LUNReset, func(code byte, _ error) { answered <- code })
	ready := make([]byte, 6) // TEST UNIT READY is answered at once and can't be reset itself
	res := r.execute(two, ready, nil, 0)
	for res.Status == scsi.Good { // the reset has not reached it yet
		res = r.execute(two, ready, nil, 0)
	}
	if sense, _ := scsi.ParseSense(res.Sense); sense != scsi.DeviceReset {
		t.Errorf("sense %v", sense)
	}
	if res := r.execute(two, ready, nil, 0); res.Status != scsi.Good {
		t.Errorf("the attention is told once: %02x", res.Status)
	}
	select {
	case <-answered:
		t.Fatal("answered while the other session's write was out")
	default:
	}
	s.answer(diskproto.Answer{Result: diskproto.OK})
	if code := <-answered; code != iscsi.FunctionComplete {
		t.Errorf("response %d", code)
	}
}

// A server that leaves the list keeps no connection.
func TestConnectionToRemovedServerCloses(t *testing.T) {
	r := newHarness(t, useOneShard)
	r.execute(r.connect(normalVolume, 1), initiator.ReadCDB(0, 1), nil, 4096)
	if n := r.gateway.Status().ConnectedServers; n != 1 {
		t.Fatalf("%d connections", n)
	}
	r.inventory.ChangeNow(func(b *inventory.Book) { b.Health(r.diskServers[0].Addr, inventory.Gone) })
	r.waitFor("the connection to end", func() bool { return r.gateway.Status().ConnectedServers == 0 })
}
