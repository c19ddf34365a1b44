package iscsi

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"strings"
	"testing"
)

func read(b []byte, max int, d Digests) (*PDU, error) {
	r := NewReader(bufio.NewReader(bytes.NewReader(b)), max)
	r.Digests = d
	return r.Next()
}

// CRC32C of RFC 7143 appendix B.4, where examples of digests are given.
func TestDigestExamples(t *testing.T) {
	p := New(OpNopOut)
	p.Data = make([]byte, 32) // 32 bytes of zeroes: aa 36 91 8a
	b := p.Append(nil, Digests{Data: true})
	if got := b[len(b)-4:]; !bytes.Equal(got, []byte{0xaa, 0x36, 0x91, 0x8a}) {
		t.Errorf("digest of zeroes: %x", got)
	}
	for i := range p.Data {
		p.Data[i] = 0xff // 32 bytes of ones: 43 ab a8 62
	}
	b = p.Append(nil, Digests{Data: true})
	if got := b[len(b)-4:]; !bytes.Equal(got, []byte{0x43, 0xab, 0xa8, 0x62}) {
		t.Errorf("digest of ones: %x", got)
	}
}

func TestReaderBounds(t *testing.T) {
	p := New(OpDataOut)
	p.Data = make([]byte, 1001)
	b := p.Append(nil, Digests{})
	var long *TooLongError
	if _, err := read(b, 1000, Digests{}); !errors.As(err, &long) || long.Length != 1001 {
		t.Errorf("over the bound: %v", err)
	}
	for _, n := range []int{1, 47, 48, 500, len(b) - 1} {
		if _, err := read(b[:n], 2000, Digests{}); !errors.Is(err, io.ErrUnexpectedEOF) {
			t.Errorf("cut at %d: %v", n, err)
		}
	}
	if _, err := read(nil, 2000, Digests{}); err != io.EOF {
		t.Errorf("nothing: %v", err)
	}
}

func FuzzReader(f *testing.F) {
	p := New(OpCommand)
	p.Data, p.AHS = []byte("abcde"), []byte{0, 1, 2, 3}
	f.Add(p.Append(nil, Digests{Header: true, Data: true}), true, true)
	f.Add(p.Append(nil, Digests{}), false, false)
	f.Fuzz(func(t *testing.T, b []byte, hd, dd bool) {
		d := Digests{hd, dd}
		p, err := read(b, 1<<16, d)
		if err != nil {
			return
		}
		again, err := read(p.Append(nil, d), 1<<16, d)
		if err != nil || again.BHS != p.BHS || !bytes.Equal(again.Data, p.Data) || !bytes.Equal(again.AHS, p.AHS) {
			t.Errorf("not the same after a round trip: %v", err)
		}
	})
}

func FuzzText(f *testing.F) {
	f.Add(FormatText([]Key{{"HeaderDigest", "CRC32C,None"}, {"MaxBurstLength", "0x40000"}}))
	f.Add([]byte("=x\x00"))
	f.Fuzz(func(t *testing.T, b []byte) {
		keys, err := ParseText(b)
		if err != nil {
			return
		}
		again, err := ParseText(FormatText(keys))
		if err != nil || fmt.Sprint(again) != fmt.Sprint(keys) {
			t.Errorf("%q, then %q, %v", keys, again, err)
		}
		p := DefaultParams()
		for _, k := range keys {
			p.negotiate(k)
		}
		if p.MaxBurst < 512 || p.MaxBurst > maxSegment || p.FirstBurst < 512 || p.MaxR2T < 1 {
			t.Errorf("negotiated out of bounds: %+v", p)
		}
	})
}

// The result function of each key, RFC 7143 section 13. ours is what the target
// can do.
func TestNegotiation(t *testing.T) {
	ours := DefaultParams()
	ours.MaxBurst, ours.FirstBurst, ours.InitialR2T, ours.MaxR2T = 100000, 50000, false, 4
	cases := []struct{ key, offer, want string }{
		{"HeaderDigest", "CRC32C,None", "CRC32C"}, {"HeaderDigest", "None,CRC32C", "None"}, {"DataDigest", "MD5", "Reject"},
		{"MaxRecvDataSegmentLength", "65536", ""},
		{"MaxBurstLength", "200000", "100000"}, {"MaxBurstLength", "0x400", "1024"}, {"FirstBurstLength", "60000", "50000"},
		{"MaxOutstandingR2T", "8", "4"}, {"MaxOutstandingR2T", "2", "2"},
		{"DefaultTime2Wait", "5", "5"}, {"DefaultTime2Retain", "5", "5"}, {"DefaultTime2Retain", "60", "20"},
		{"InitialR2T", "Yes", "Yes"}, {"InitialR2T", "No", "No"}, {"ImmediateData", "No", "No"}, {"ImmediateData", "Yes", "Yes"},
		{"MaxConnections", "8", "1"}, {"ErrorRecoveryLevel", "2", "0"}, {"DataPDUInOrder", "No", "Yes"},
		{"IFMarker", "Yes", "No"}, {"X-com.example.key", "1", "NotUnderstood"},
	}
	for _, c := range cases {
		p := ours
		if got, err := p.negotiate(Key{c.key, c.offer}); got != c.want || err != nil {
			t.Errorf("%s=%s: %q, %v, want %q", c.key, c.offer, got, err, c.want)
		}
	}
	for _, k := range []Key{{"MaxBurstLength", "511"}, {"MaxBurstLength", "16777216"}, {"MaxBurstLength", "0b11"}, {"MaxBurstLength", "1_000"},
		{"MaxBurstLength", "-1"}, {"MaxBurstLength", ""}, {"MaxOutstandingR2T", "0"}, {"InitialR2T", "yes"}, {"ImmediateData", ""}} {
		p := ours
		var ne *NegotiationError
		if v, err := p.negotiate(k); !errors.As(err, &ne) || ne.Key != k.Name || p != ours {
			t.Errorf("%s=%s: %q, %v", k.Name, k.Value, v, err)
		}
	}
}

func testPolicy() *TargetPolicy {
	return &TargetPolicy{Params: DefaultParams(), Window: 8, PortalGroup: 1, Random: func(b []byte) { rand.NewChaCha8([32]byte{1}).Read(b) },
		Admit: func(_, target string) LoginStatus {
			if target != "" && target != "iqn.t" {
				return LoginNotFound
			}
			return LoginOK
		}}
}

func testInitiator() InitiatorConfig {
	p := DefaultParams()
	p.MaxRecv, p.HeaderDigest, p.DataDigest, p.InitialR2T = 65536, true, true, false
	return InitiatorConfig{Name: "iqn.i", Target: "iqn.t", ISID: ISID{0x80}, Params: p, Random: func(b []byte) { rand.NewChaCha8([32]byte{2}).Read(b) }}
}

// logins runs both sides against each other.
func logins(pol *TargetPolicy, cfg InitiatorConfig) (*Session, *Initiator, error) {
	tl := NewLogin(pol, func() uint16 { return 7 })
	il, p := NewInitiatorLogin(cfg)
	for range 20 {
		reply, tdone, terr := tl.Handle(p)
		next, idone, ierr := il.Handle(reply)
		if terr != nil && ierr == nil || tdone != idone && ierr == nil {
			return nil, nil, fmt.Errorf("the sides disagree: %v %v, %v %v", tdone, terr, idone, ierr)
		}
		if ierr != nil {
			return nil, nil, ierr
		}
		if idone {
			return tl.Session(), il.Session(reply), nil
		}
		p = next
	}
	return nil, nil, errors.New("the login never ends")
}

func TestLogins(t *testing.T) {
	user, target := &Credentials{"card", "a secret of the client"}, &Credentials{"gate", "a secret of the target"}
	chap := func(p *TargetPolicy) {
		p.Secret = func(u string) (string, bool) { return user.Secret, u == user.User }
		p.Mutual = *target
	}
	cases := []struct {
		name string
		pol  func(*TargetPolicy)
		cfg  func(*InitiatorConfig)
		want LoginStatus
	}{
		{"no authentication", nil, nil, LoginOK},
		{"CHAP", chap, func(c *InitiatorConfig) { c.Chap = user }, LoginOK},
		{"mutual CHAP", chap, func(c *InitiatorConfig) { c.Chap, c.Peer = user, target }, LoginOK},
		{"CHAP, wrong secret", chap, func(c *InitiatorConfig) { c.Chap = &Credentials{"card", "another secret"} }, LoginAuthFailure},
		{"CHAP, unknown user", chap, func(c *InitiatorConfig) { c.Chap = &Credentials{"nobody", user.Secret} }, LoginAuthFailure},
		{"mutual CHAP, the target can't prove itself", chap, func(c *InitiatorConfig) { c.Chap, c.Peer = user, &Credentials{"gate", "what it should be"} }, LoginAuthFailure},
		{"CHAP is required", chap, nil, LoginAuthFailure},
		{"CHAP is not offered", nil, func(c *InitiatorConfig) { c.Chap = user }, LoginAuthFailure},
		{"unknown target", nil, func(c *InitiatorConfig) { c.Target = "iqn.x" }, LoginNotFound},
		{"no name", nil, func(c *InitiatorConfig) { c.Name = "" }, LoginMissing},
		{"discovery", nil, func(c *InitiatorConfig) { c.Discovery, c.Target = true, "" }, LoginOK},
	}
	for _, c := range cases {
		pol, cfg := testPolicy(), testInitiator()
		if c.pol != nil {
			c.pol(pol)
		}
		if c.cfg != nil {
			c.cfg(&cfg)
		}
		s, i, err := logins(pol, cfg)
		var le *LoginError
		switch {
		case c.want == LoginOK && (err != nil || i.TSIH != 7 || s.Discovery != cfg.Discovery):
			t.Errorf("%s: %v", c.name, err)
		case c.want != LoginOK && (!errors.As(err, &le) || le.Status != c.want):
			t.Errorf("%s: %v, want status %04x", c.name, err, uint16(c.want))
		case c.want == LoginOK && !cfg.Discovery:
			if !s.HeaderDigest || !i.DataDigest || s.InitialR2T != i.InitialR2T || s.MaxBurst != i.MaxBurst || s.MaxSend != 65536 || s.Level != 2 {
				t.Errorf("%s: the sides settled otherwise:\n%+v\n%+v", c.name, s.Params, i.Params)
			}
		}
	}
}

// A target must not prove an initiator's answer with the initiator's own question.
func TestReflectedChallenge(t *testing.T) {
	pol := testPolicy()
	pol.Secret = func(string) (string, bool) { return "the same secret twice", true }
	pol.Mutual = Credentials{"gate", "the same secret twice"}
	l := NewLogin(pol, func() uint16 { return 7 })
	say := func(flags byte, keys ...Key) (*PDU, error) {
		p := New(OpLoginReq).SetImmediate().SetFlags(flags)
		p.Data = FormatText(keys)
		r, _, err := l.Handle(p)
		return r, err
	}
	say(0, Key{"InitiatorName", "iqn.i"}, Key{"TargetName", "iqn.t"}, Key{"AuthMethod", "CHAP"})
	r, err := say(0, Key{"CHAP_A", "5"})
	if err != nil {
		t.Fatal(err)
	}
	keys, _ := ParseText(r.Data)
	c, _ := decodeBinary(keys[2].Value)
	id, _ := number(keys[1].Value, 0, 255)
	proof := encodeBinary(chapResponse("5", byte(id), "the same secret twice", c))
	_, err = say(0x81, Key{"CHAP_N", "card"}, Key{"CHAP_R", proof}, Key{"CHAP_I", "9"}, Key{"CHAP_C", keys[2].Value})
	var le *LoginError
	if !errors.As(err, &le) || le.Status != LoginAuthFailure {
		t.Errorf("a reflected challenge was answered: %v", err)
	}
}

func TestBadLogins(t *testing.T) {
	names := []Key{{"InitiatorName", "iqn.i"}, {"TargetName", "iqn.t"}}
	cases := []struct {
		name string
		edit func(*PDU)
		want LoginStatus
	}{
		{"not a login", func(p *PDU) { p.BHS[0] = byte(OpCommand) }, LoginInitiatorError},
		{"version 1 at least", func(p *PDU) { p.BHS[3] = 1 }, LoginVersion},
		{"a further connection", func(p *PDU) { p.BHS[15] = 3 }, LoginTooMany},
		{"begins in full feature", func(p *PDU) { p.SetFlags(0x8f) }, LoginInvalid},
		{"goes back", func(p *PDU) { p.SetFlags(0x84) }, LoginInvalid},
		{"continues and ends at once", func(p *PDU) { p.SetFlags(0xc7) }, LoginInitiatorError},
		{"no end mark", func(p *PDU) { p.Data = []byte("a=b") }, LoginInitiatorError},
		{"a name of 64 bytes", func(p *PDU) { p.Data = FormatText([]Key{{strings.Repeat("k", 64), "v"}}) }, LoginInitiatorError},
		{"a value out of range", func(p *PDU) { p.Data = FormatText(append(names, Key{"MaxBurstLength", "1"})) }, LoginInitiatorError},
		{"a key twice", func(p *PDU) { p.Data = FormatText(append(names, Key{"InitialR2T", "No"}, Key{"InitialR2T", "No"})) }, LoginInitiatorError},
		{"unknown session type", func(p *PDU) { p.Data = FormatText(append(names, Key{"SessionType", "Other"})) }, LoginSessionType},
	}
	for _, c := range cases {
		l := NewLogin(testPolicy(), func() uint16 { return 7 })
		p := New(OpLoginReq).SetImmediate().SetFlags(0x87)
		p.Data = FormatText(names)
		c.edit(p)
		reply, done, err := l.Handle(p)
		var le *LoginError
		if done || !errors.As(err, &le) || le.Status != c.want || LoginStatus(reply.BHS[36])<<8|LoginStatus(reply.BHS[37]) != c.want {
			t.Errorf("%s: done %v, %v, want %04x", c.name, done, err, uint16(c.want))
		}
	}
}

// pair joins a target session and an initiator by queues of PDUs.
type pair struct {
	t       *testing.T
	s       *Session
	i       *Initiator
	up      []*PDU
	down    []*PDU
	ready   []*Task
	aborts  []*Abort
	results []*Result
}

func newPair(t *testing.T, params func(*Params)) *pair {
	pol, cfg := testPolicy(), testInitiator()
	pol.Params.InitialR2T, pol.Params.MaxR2T = false, 2
	if params != nil {
		params(&pol.Params)
		params(&cfg.Params)
	}
	s, i, err := logins(pol, cfg)
	if err != nil {
		t.Fatal(err)
	}
	p := &pair{t: t, s: s, i: i}
	s.Out = func(q *PDU) { p.down = append(p.down, q.Clone()) }
	i.Out = func(q *PDU) { p.up = append(p.up, q.Clone()) }
	return p
}

// run passes PDUs until there are none.
func (p *pair) run() {
	p.t.Helper()
	for len(p.up)+len(p.down) > 0 {
		up, down := p.up, p.down
		p.up, p.down = nil, nil
		for _, q := range up {
			evs, err := p.s.Handle(q)
			if err != nil {
				p.t.Fatal(err)
			}
			for _, e := range evs {
				if e.Ready != nil {
					p.ready = append(p.ready, e.Ready)
				}
				if e.Abort != nil {
					p.aborts = append(p.aborts, e.Abort)
				}
			}
		}
		for _, q := range down {
			r, err := p.i.Handle(q)
			if err != nil {
				p.t.Fatal(err)
			}
			if r != nil {
				p.results = append(p.results, r)
			}
		}
	}
}

// Writes of all sizes, with every mix of immediate data, unsolicited data, burst
// and segment lengths, arrive whole.
func TestWritesArriveWhole(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 1))
	for range 400 {
		p := newPair(t, func(pr *Params) {
			pr.MaxBurst = 512 * (1 + rng.IntN(40))
			pr.FirstBurst = min(512*(1+rng.IntN(40)), pr.MaxBurst)
			pr.InitialR2T, pr.Immediate = rng.IntN(2) == 0, rng.IntN(2) == 0
			pr.MaxRecv = 512 * (1 + rng.IntN(20))
		})
		data := make([]byte, 1+rng.IntN(60000))
		for i := range data {
			data[i] = byte(rng.Uint32())
		}
		p.i.Command(0, []byte{0x2a}, data, 0)
		p.run()
		if len(p.ready) != 1 || !bytes.Equal(p.ready[0].Data, data) {
			t.Fatalf("%d bytes did not arrive with %+v", len(data), p.s.Params)
		}
		p.s.Respond(p.ready[0], Answer{})
		p.run()
		if len(p.results) != 1 || p.s.Open() != 0 || p.i.Open() != 0 {
			t.Fatal("no end")
		}
		p.i.Command(0, []byte{0x28}, nil, len(data))
		p.run()
		p.s.Respond(p.ready[1], Answer{Data: data})
		p.run()
		if len(p.results) != 2 || !bytes.Equal(p.results[1].Data, data) {
			t.Fatalf("%d bytes did not come back with %+v", len(data), p.s.Params)
		}
	}
}

func TestWindow(t *testing.T) {
	p := newPair(t, nil)
	for range 8 {
		if !p.i.Room() {
			t.Fatal("no room in a window of 8")
		}
		p.i.Command(0, []byte{0}, nil, 0)
		p.run()
	}
	if p.i.Room() {
		t.Error("room beyond the window")
	}
	// One beyond the window is passed over, RFC 7143 section 4.2.2.1.
	p.i.Command(0, []byte{0}, nil, 0)
	p.run()
	if len(p.ready) != 8 {
		t.Errorf("%d commands taken", len(p.ready))
	}
	p.i.cmdSN--
	p.s.Respond(p.ready[0], Answer{})
	p.run()
	if !p.i.Room() {
		t.Error("no room after an answer")
	}
}

func TestTaskManagement(t *testing.T) {
	for f, wantCode := range map[TaskFunction]byte{AbortTask: 0, AbortTaskSet: 0, ClearACA: FunctionUnknown, LUNReset: 0, TargetWarmReset: 0,
		TaskReassign: FunctionNoAllege, QueryTask: FunctionTrue, QueryTaskSet: FunctionTrue, NexusReset: 0, QueryAsync: 0, 99: FunctionUnknown} {
		p := newPair(t, nil)
		a := p.i.Command(0, []byte{0x28}, nil, 512)
		p.i.Command(0, []byte{0x28}, nil, 512)
		p.run()
		p.i.Manage(f, 0, a)
		p.run()
		if len(p.aborts) != 1 {
			t.Fatalf("function %d: %d events", f, len(p.aborts))
		}
		want := map[TaskFunction]int{AbortTask: 1, AbortTaskSet: 2, LUNReset: 2, TargetWarmReset: 2, NexusReset: 2}[f]
		if got := len(p.aborts[0].Tasks); got != want || p.s.Open() != 2-want {
			t.Errorf("function %d ends %d tasks, want %d", f, got, want)
		}
		for _, task := range p.aborts[0].Tasks {
			if p.s.Respond(task, Answer{}) {
				t.Errorf("function %d: an aborted task was answered", f)
			}
		}
		p.s.Finish(p.aborts[0])
		p.run()
		if n := len(p.results); n != 1 || !p.results[0].TaskReply || p.results[0].Response != wantCode {
			t.Errorf("function %d: %+v", f, p.results)
		}
	}
	p := newPair(t, nil)
	p.i.Manage(AbortTask, 0, 12345)
	p.run()
	p.s.Finish(p.aborts[0])
	p.run()
	if p.results[0].Response != FunctionNoTask {
		t.Errorf("abort of no task: %d", p.results[0].Response)
	}
}

// What an initiator may not do ends the connection, and nothing is handed over.
func TestProtocolErrors(t *testing.T) {
	write := func(flags byte, length uint32, data int) *PDU {
		p := New(OpCommand).SetFlags(flags).Set(AtITT, 1).Set(20, length).Set(AtCmdSN, 1)
		p.Data = make([]byte, data)
		return p
	}
	dataOut := func(ttt, sn, at uint32, n int) *PDU {
		p := New(OpDataOut).Set(AtITT, 1).Set(AtTTT, ttt).Set(AtDataSN, sn).Set(AtOffset, at)
		p.Data = make([]byte, n)
		return p
	}
	cases := map[string][]*PDU{
		"immediate data longer than the task": {write(0xa1, 100, 200)},
		"a tag in use":                        {write(0xa1, 1000, 0), write(0xa1, 1000, 0).Set(AtCmdSN, 2)},
		"a gap in the numbers":                {write(0xa1, 1000, 0).Set(AtCmdSN, 3)},
		"data beyond the length":              {write(0xa1, 1000, 0), dataOut(1, 0, 900, 200)},
		"data nobody asked for":               {write(0xa1, 1000, 0), dataOut(77, 0, 0, 100)},
		"data out of place":                   {write(0xa1, 1000, 0), dataOut(1, 0, 500, 500)},
		"a burst too short":                   {write(0xa1, 1000, 0), dataOut(1, 0, 0, 999)},
		"unsolicited data after the last":     {write(0xa1, 100000, 0), dataOut(NoTag, 0, 0, 100)},
		"an offset that wraps":                {write(0xa1, 1000, 0), dataOut(1, 0, 0xffffff00, 512)},
	}
	for name, pdus := range cases {
		p := newPair(t, nil)
		var err error
		for k, q := range pdus {
			if _, err = p.s.Handle(q); err != nil && k < len(pdus)-1 {
				t.Errorf("%s: PDU %d: %v", name, k, err)
			}
		}
		var pe *ProtocolError
		if !errors.As(err, &pe) || len(p.ready) > 0 {
			t.Errorf("%s: %v", name, err)
		}
	}
}

// Memory that a session took is given back however its tasks end.
func TestReservations(t *testing.T) {
	held := 0
	p := newPair(t, nil)
	p.s.Reserve = func(n int) bool { held += n; return held <= 10000 || func() bool { held -= n; return false }() }
	p.s.Release = func(n int) { held -= n }
	data := make([]byte, 4000)
	a := p.i.Command(0, []byte{0x2a}, data, 0)
	p.i.Command(0, []byte{0x2a}, data, 0)
	p.i.Command(0, []byte{0x2a}, data, 0) // one too many
	p.run()
	if len(p.ready) != 2 || len(p.results) != 1 || p.results[0].Status != 0x08 || held != 8000 {
		t.Fatalf("%d ready, %d results, %d held", len(p.ready), len(p.results), held)
	}
	p.s.Respond(p.ready[1], Answer{})
	p.i.Manage(AbortTask, 0, a)
	p.run()
	p.i.Command(0, []byte{0x2a}, make([]byte, 9000), 0)
	p.run()
	p.s.Close()
	if held != 0 {
		t.Errorf("%d bytes are still held", held)
	}
}

func FuzzSession(f *testing.F) {
	p := New(OpCommand).SetFlags(0xa1).Set(AtITT, 1).Set(20, 1000).Set(AtCmdSN, 1)
	f.Add(p.Append(nil, Digests{}))
	f.Fuzz(func(t *testing.T, b []byte) {
		held := 0
		s := newSession(DefaultParams(), 1, 1, 1, 8, false)
		s.Out = func(*PDU) {}
		s.Reserve = func(n int) bool { held += n; return true }
		s.Release = func(n int) { held -= n }
		r := NewReader(bufio.NewReader(bytes.NewReader(b)), 8192)
		for {
			p, err := r.Next()
			if err != nil {
				break
			}
			evs, err := s.Handle(p)
			for _, e := range evs {
				if e.Ready != nil {
					s.Respond(e.Ready, Answer{Data: make([]byte, 100)})
				}
				if e.Abort != nil {
					s.Finish(e.Abort)
				}
			}
			if err != nil {
				break
			}
			if s.Open() > 16 || held > 16<<20 {
				t.Fatalf("%d tasks, %d bytes", s.Open(), held)
			}
		}
		if s.Close(); held != 0 {
			t.Errorf("%d bytes are held after the end", held)
		}
	})
}

// Data with a gap in its numbers costs the command, not the session.
func TestGapInTheDatasNumbers(t *testing.T) {
	p := newPair(t, func(a *Params) { a.InitialR2T, a.Immediate = true, false })
	var got []*Result
	run := func(gap uint32) *Result {
		p.i.Submit(0, []byte{0x2a}, make([]byte, 1000), 0, gap)
		p.run()
		if len(p.ready) > 0 {
			p.s.Respond(p.ready[len(p.ready)-1], Answer{Out: 1000})
			p.run()
		}
		got = p.results
		return got[len(got)-1]
	}
	if r := run(3); r.Status != 2 || len(r.Sense) < 14 || r.Sense[2] != 0xb || r.Sense[12] != 0x47 || r.Sense[13] != 5 {
		t.Errorf("%+v", r)
	}
	if r := run(0); r.Status != 0 {
		t.Errorf("the next command: %+v", r)
	}
}

// A list of targets that no PDU holds comes in parts.
func TestLongTextComesInParts(t *testing.T) {
	p := newPair(t, nil)
	p.s.MaxSend = 512
	const n = 100
	p.s.Targets = func(string) (keys []Key) {
		for i := range n {
			keys = append(keys, Key{"TargetName", "iqn.2026-11.example:" + strings.Repeat("v", i%30)})
		}
		return keys
	}
	p.i.Text([]Key{{"SendTargets", "All"}})
	p.run()
	if len(p.results) != 1 {
		t.Fatalf("%d results", len(p.results))
	}
	if keys, err := ParseText(p.results[0].Text); err != nil || len(keys) != n {
		t.Errorf("%d keys, %v", len(keys), err)
	}
}
