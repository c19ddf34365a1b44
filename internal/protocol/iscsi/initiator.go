package iscsi

import (
	"fmt"
	"strconv"
)

// InitiatorConfig is what an initiator brings to a login.
type InitiatorConfig struct {
	Name, Target string
	Discovery    bool
	ISID         ISID
	Params       Params // offers; MaxRecv is declared
	Chap         *Credentials
	// Peer is what the target must prove, if anything.
	Peer   *Credentials
	Random func(b []byte)
}

// InitiatorLogin is the initiator's side of a login, a core.
type InitiatorLogin struct {
	cfg    InitiatorConfig
	stage  int
	sent   map[string]bool
	params Params
	level  int
	peerID byte
	peerC  []byte
	alg    string
	tsih   uint16
}

// NewInitiatorLogin returns the login and its first request.
func NewInitiatorLogin(cfg InitiatorConfig) (*InitiatorLogin, *PDU) {
	l := &InitiatorLogin{cfg: cfg, params: DefaultParams(), level: 1, sent: map[string]bool{}}
	l.params.MaxRecv = cfg.Params.MaxRecv
	keys := []Key{{"InitiatorName", cfg.Name}}
	if cfg.Discovery {
		keys = append(keys, Key{"SessionType", "Discovery"})
	} else {
		keys = append(keys, Key{"TargetName", cfg.Target}, Key{"SessionType", "Normal"})
	}
	method := "None"
	if cfg.Chap != nil {
		method = "CHAP"
	}
	keys = append(keys, Key{"AuthMethod", method})
	return l, l.request(keys, cfg.Chap == nil, stageOperational)
}

func (l *InitiatorLogin) request(keys []Key, transit bool, nsg int) *PDU {
	flags := byte(l.stage << 2)
	if transit {
		flags |= 0x80 | byte(nsg)
	}
	p := New(OpLoginReq).SetImmediate().SetFlags(flags)
	copy(p.BHS[8:14], l.cfg.ISID[:])
	p.Set(AtITT, 0).Set(AtCmdSN, 1)
	p.Data = FormatText(keys)
	return p
}

// Handle takes a response and returns the next request, or done.
func (l *InitiatorLogin) Handle(p *PDU) (next *PDU, done bool, err error) {
	if p.Opcode() != OpLoginResp {
		return nil, false, &ProtocolError{"not a login response"}
	}
	if st := LoginStatus(p.BHS[36])<<8 | LoginStatus(p.BHS[37]); st != LoginOK {
		return nil, false, &LoginError{st, "by the target"}
	}
	keys, err := ParseText(p.Data)
	if err != nil {
		return nil, false, err
	}
	got := map[string]string{}
	for _, k := range keys {
		got[k.Name] = k.Value
	}
	if p.Final() {
		l.stage = int(p.Flags() & 3)
	}
	switch l.stage {
	case stageFull:
		l.tsih = uint16(p.BHS[14])<<8 | uint16(p.BHS[15])
		if err := l.proved(got); err != nil {
			return nil, false, err
		}
		return nil, true, l.settle(got)
	case stageOperational:
		if err := l.proved(got); err != nil {
			return nil, false, err
		}
		if l.sent["offers"] {
			return l.request(nil, true, stageFull), false, l.settle(got)
		}
		l.sent["offers"] = true
		return l.request(l.offers(), true, stageFull), false, nil
	}
	return l.security(got)
}

func (l *InitiatorLogin) security(got map[string]string) (*PDU, bool, error) {
	switch {
	case got["AuthMethod"] == "CHAP":
		return l.request([]Key{{"CHAP_A", chapSHA256 + "," + chapMD5}}, false, 0), false, nil
	case got["CHAP_C"] != "" && l.cfg.Chap != nil:
		c, err := decodeBinary(got["CHAP_C"])
		id, err2 := number(got["CHAP_I"], 0, 255)
		if err != nil || err2 != nil {
			return nil, false, &ProtocolError{"bad CHAP challenge"}
		}
		l.alg = got["CHAP_A"]
		r := chapResponse(l.alg, byte(id), l.cfg.Chap.Secret, c)
		keys := []Key{{"CHAP_N", l.cfg.Chap.User}, {"CHAP_R", encodeBinary(r)}}
		if l.cfg.Peer != nil {
			b := make([]byte, 1+challengeLength)
			l.cfg.Random(b)
			l.peerID, l.peerC = b[0], b[1:]
			keys = append(keys, Key{"CHAP_I", strconv.Itoa(int(l.peerID))}, Key{"CHAP_C", encodeBinary(l.peerC)})
		}
		return l.request(keys, true, stageOperational), false, nil
	}
	return nil, false, &ProtocolError{"target asks for nothing we know"}
}

// proved checks the target's own proof once it has been asked for.
func (l *InitiatorLogin) proved(got map[string]string) error {
	if l.peerC == nil || l.sent["proved"] {
		return nil
	}
	l.sent["proved"] = true
	if got["CHAP_N"] != l.cfg.Peer.User || !chapMatches(l.alg, l.peerID, l.cfg.Peer.Secret, l.peerC, got["CHAP_R"]) {
		return &LoginError{LoginAuthFailure, "the target did not prove itself"}
	}
	return nil
}

func (l *InitiatorLogin) offers() []Key {
	o := l.cfg.Params
	digest := func(on bool) string {
		if on {
			return "CRC32C"
		}
		return "None"
	}
	keys := []Key{
		{"HeaderDigest", digest(o.HeaderDigest)}, {"DataDigest", digest(o.DataDigest)},
		{"MaxRecvDataSegmentLength", strconv.Itoa(o.MaxRecv)}, {"DefaultTime2Wait", "2"},
		{"DefaultTime2Retain", "0"}, {"ErrorRecoveryLevel", "0"}, {"MaxConnections", "1"},
	}
	if l.cfg.Discovery {
		return keys
	}
	return append(keys,
		Key{"MaxBurstLength", strconv.Itoa(o.MaxBurst)}, Key{"FirstBurstLength", strconv.Itoa(o.FirstBurst)},
		Key{"InitialR2T", yesNo(o.InitialR2T)}, Key{"ImmediateData", yesNo(o.Immediate)},
		Key{"MaxOutstandingR2T", strconv.Itoa(o.MaxR2T)}, Key{"iSCSIProtocolLevel", "2"})
}

// settle takes the answers, which are the results of the negotiation.
func (l *InitiatorLogin) settle(got map[string]string) error {
	for name, v := range got {
		if name == "iSCSIProtocolLevel" {
			l.level, _ = number(v, 0, 31)
			continue
		}
		r, ok := keyRules[name]
		if !ok || v == "NotUnderstood" || v == "Reject" || v == "Irrelevant" {
			continue
		}
		switch {
		case r.num != nil:
			n, err := number(v, r.low, r.high)
			if err != nil {
				return &NegotiationError{name, err.Error()}
			}
			*r.num(&l.params) = n
		case r.flag != nil:
			*r.flag(&l.params) = v == "Yes" || v == "CRC32C"
		}
	}
	return nil
}

// Digests returns what the login settled for PDUs after it.
func (l *InitiatorLogin) Digests() Digests {
	return Digests{Header: l.params.HeaderDigest, Data: l.params.DataDigest}
}

// Result is the end of a command at the initiator.
type Result struct {
	ITT       uint32
	Status    byte
	Qualifier uint16 // retry delay of BUSY, in 100 ms
	Sense     []byte
	Data      []byte
	Residual  uint32
	Underflow bool // Residual bytes were expected and not moved
	Overflow  bool // Residual bytes more would have been moved
	TaskReply bool // of a task management function: Response holds its code
	Response  byte
	Text      []byte // of a text request
	Logout    bool   // the target answered a logout
	AskLogout bool   // the target asks for one
	Rejected  bool
}

// Initiator is the full feature phase, a core: PDUs in by Handle, results out.
type Initiator struct {
	// Out takes the PDUs to send, in order.
	Out func(*PDU)
	Params
	TSIH      uint16
	level     int
	cmdSN     uint32
	maxCmdSN  uint32
	expStatSN uint32
	nextITT   uint32
	open      map[uint32]*command
	text      []byte // of an answer that comes in parts
}

type command struct {
	data, in []byte
	got      int
	gap      uint32 // in the numbers of its data
}

// Session returns the full feature phase after a login that is done; last is the
// login's last response.
func (l *InitiatorLogin) Session(last *PDU) *Initiator {
	return &Initiator{Params: l.params, TSIH: l.tsih, level: l.level, cmdSN: 1,
		maxCmdSN: last.Word(AtMaxCmdSN), expStatSN: last.Word(AtStatSN) + 1, open: map[uint32]*command{}}
}

// Room tells whether the window lets one more command go.
func (i *Initiator) Room() bool { return int32(i.maxCmdSN-i.cmdSN) >= 0 }

// Open is the number of commands without an end.
func (i *Initiator) Open() int { return len(i.open) }

func (i *Initiator) number(p *PDU) *PDU {
	p.Set(AtCmdSN, i.cmdSN).Set(AtExpStatSN, i.expStatSN)
	if !p.Immediate() {
		i.cmdSN++
	}
	return p
}

func (i *Initiator) tag() uint32 {
	if i.nextITT++; i.nextITT == NoTag {
		i.nextITT = 1
	}
	return i.nextITT
}

// Command sends a command; write is its data out, read the bytes expected in.
// The data must stay as it is until the end.
func (i *Initiator) Command(lun uint64, cdb []byte, write []byte, read int) uint32 {
	return i.Submit(lun, cdb, write, read, 0)
}

// Submit is Command with the first Data-Out's number off by so much; for drills.
func (i *Initiator) Submit(lun uint64, cdb []byte, write []byte, read int, gap uint32) uint32 {
	p := New(OpCommand).SetLUN(lun)
	itt := i.tag()
	flags := byte(0x81) // final, simple task attribute
	n := len(write)
	if n > 0 {
		flags |= 0x20
	} else if read > 0 {
		flags |= 0x40
		n = read
	}
	copy(p.BHS[32:48], cdb)
	p.Set(AtITT, itt).Set(20, uint32(n))
	sent := 0
	if i.Immediate && len(write) > 0 {
		sent = min(len(write), i.FirstBurst, i.MaxSend)
		p.Data = write[:sent]
	}
	first := min(i.FirstBurst, len(write))
	unsol := !i.InitialR2T && sent < first
	if unsol {
		flags &^= 0x80
	}
	i.open[itt] = &command{data: write, in: make([]byte, read), gap: gap}
	i.Out(i.number(p.SetFlags(flags)))
	if unsol {
		i.send(itt, NoTag, lun, write, sent, first)
	}
	return itt
}

// send sends data[from:to] as Data-Out PDUs of one sequence.
func (i *Initiator) send(itt, ttt uint32, lun uint64, data []byte, from, to int) {
	sn := uint32(0)
	if c := i.open[itt]; c != nil {
		sn = c.gap
	}
	for ; from < to; sn++ {
		n := min(i.MaxSend, to-from)
		p := New(OpDataOut).SetFlags(0).SetLUN(lun).Set(AtITT, itt).Set(AtTTT, ttt)
		if from+n == to {
			p.SetFlags(0x80)
		}
		p.Set(AtExpStatSN, i.expStatSN).Set(AtDataSN, sn).Set(AtOffset, uint32(from))
		p.Data = data[from : from+n]
		i.Out(p)
		from += n
	}
}

// Manage sends a task management function about the task ref, if it needs one.
func (i *Initiator) Manage(f TaskFunction, lun uint64, ref uint32) uint32 {
	itt := i.tag()
	p := New(OpTaskReq).SetImmediate().SetFlags(0x80 | byte(f)).SetLUN(lun)
	p.Set(AtITT, itt).Set(AtTTT, ref).Set(32, i.cmdSN)
	i.Out(i.number(p))
	return itt
}

// Forget drops a command that was aborted.
func (i *Initiator) Forget(itt uint32) { delete(i.open, itt) }

// Text sends a text request.
func (i *Initiator) Text(keys []Key) uint32 {
	itt := i.tag()
	p := New(OpTextReq).Set(AtITT, itt).Set(AtTTT, NoTag)
	p.Data = FormatText(keys)
	i.Out(i.number(p))
	return itt
}

// Logout closes the session.
func (i *Initiator) Logout() {
	i.Out(i.number(New(OpLogoutReq).SetImmediate().SetFlags(0x80).Set(AtITT, i.tag())))
}

// Handle takes one PDU and returns a result, if it ends something.
func (i *Initiator) Handle(p *PDU) (*Result, error) {
	if m := p.Word(AtMaxCmdSN); int32(m-i.maxCmdSN) > 0 {
		i.maxCmdSN = m
	}
	switch p.Opcode() {
	case OpDataIn:
		return i.dataIn(p)
	case OpResponse:
		i.expStatSN = p.Word(AtStatSN) + 1
		return i.response(p)
	case OpR2T:
		return nil, i.r2t(p)
	case OpNopIn:
		if p.Word(AtTTT) != NoTag {
			r := New(OpNopOut).SetImmediate().SetLUN(p.LUN()).Set(AtITT, NoTag).Set(AtTTT, p.Word(AtTTT))
			i.Out(i.number(r))
		}
		return nil, nil
	}
	i.expStatSN = p.Word(AtStatSN) + 1
	switch p.Opcode() {
	case OpTaskResp:
		return &Result{ITT: p.ITT(), TaskReply: true, Response: p.BHS[2]}, nil
	case OpTextResp:
		if len(i.text)+len(p.Data) > MaxText {
			return nil, &ProtocolError{"text over 64 KiB"}
		}
		i.text = append(i.text, p.Data...)
		if p.Flags()&0x40 != 0 { // more is to come, and is asked for
			i.Out(i.number(New(OpTextReq).Set(AtITT, p.ITT()).Set(AtTTT, p.Word(AtTTT))))
			return nil, nil
		}
		text := append([]byte{}, i.text...)
		i.text = i.text[:0]
		return &Result{ITT: p.ITT(), Text: text}, nil
	case OpLogoutResp:
		return &Result{ITT: p.ITT(), Logout: true}, nil
	case OpAsync:
		return &Result{ITT: NoTag, AskLogout: p.BHS[36] == AsyncLogout}, nil
	case OpReject:
		return &Result{ITT: NoTag, Rejected: true, Response: p.BHS[2]}, nil
	}
	return nil, &ProtocolError{fmt.Sprintf("opcode %02x from a target", byte(p.Opcode()))}
}

func (i *Initiator) dataIn(p *PDU) (*Result, error) {
	c := i.open[p.ITT()]
	if c == nil {
		return nil, nil // of a command that was aborted
	}
	at := int(p.Word(AtOffset))
	if at != c.got || at+len(p.Data) > len(c.in) {
		return nil, &ProtocolError{"Data-In out of place"}
	}
	copy(c.in[at:], p.Data)
	c.got += len(p.Data)
	if p.Flags()&1 == 0 {
		return nil, nil
	}
	i.expStatSN = p.Word(AtStatSN) + 1
	delete(i.open, p.ITT())
	return ended(p, c), nil
}

// ended is the result that a PDU with a status brings.
func ended(p *PDU, c *command) *Result {
	return &Result{ITT: p.ITT(), Status: p.BHS[3], Data: c.in[:c.got], Residual: p.Word(AtLength), Underflow: p.Flags()&0x02 != 0, Overflow: p.Flags()&0x04 != 0}
}

func (i *Initiator) response(p *PDU) (*Result, error) {
	c := i.open[p.ITT()]
	if c == nil {
		return nil, nil
	}
	delete(i.open, p.ITT())
	r := ended(p, c)
	if i.level >= 2 {
		r.Qualifier = uint16(p.BHS[8])<<8 | uint16(p.BHS[9])
	}
	if len(p.Data) >= 2 {
		n := int(p.Data[0])<<8 | int(p.Data[1])
		r.Sense = append([]byte(nil), p.Data[2:min(2+n, len(p.Data))]...)
	}
	return r, nil
}

func (i *Initiator) r2t(p *PDU) error {
	c := i.open[p.ITT()]
	if c == nil {
		return nil
	}
	from, n := int(p.Word(AtOffset)), int(p.Word(AtLength))
	if from+n > len(c.data) {
		return &ProtocolError{"R2T beyond the data"}
	}
	i.send(p.ITT(), p.Word(AtTTT), p.LUN(), c.data, from, from+n)
	return nil
}
