package iscsi

import (
	"fmt"
	"strconv"
	"strings"
)

// Stages of a login, RFC 7143 section 11.12.3.
const (
	stageSecurity    = 0
	stageOperational = 1
	stageFull        = 3
)

// LoginStatus is a status class and detail, RFC 7143 section 11.13.5.
type LoginStatus uint16

// The statuses that a target gives.
const (
	LoginOK             LoginStatus = 0x0000
	LoginInitiatorError LoginStatus = 0x0200
	LoginAuthFailure    LoginStatus = 0x0201
	LoginNotFound       LoginStatus = 0x0203
	LoginVersion        LoginStatus = 0x0205
	LoginTooMany        LoginStatus = 0x0206
	LoginMissing        LoginStatus = 0x0207
	LoginSessionType    LoginStatus = 0x0209
	LoginInvalid        LoginStatus = 0x020b
	LoginOutOfResources LoginStatus = 0x0302
)

const (
	maxLoginPDUs    = 32 // more than any real negotiation takes
	challengeLength = 16 // bytes of a CHAP challenge
)

// LoginError is a login that was refused, by either side.
type LoginError struct {
	Status LoginStatus
	Reason string
}

func (e *LoginError) Error() string {
	return fmt.Sprintf("iscsi: login refused with %04x: %s", uint16(e.Status), e.Reason)
}

// Credentials are a CHAP name and secret.
type Credentials struct{ User, Secret string }

// TargetPolicy is what a target's login asks of its surroundings.
type TargetPolicy struct {
	// Params are the figures that the target can do.
	Params Params
	// Window is the number of commands that a session may have outstanding.
	Window uint32
	// Admit tells whether the initiator may log in to the target.
	Admit func(initiator, target string) LoginStatus
	// Secret finds the credentials' secret. nil: AuthMethod None only.
	Secret func(user string) (secret string, ok bool)
	// Mutual is how the target proves itself when asked.
	Mutual Credentials
	// Random fills b for challenges.
	Random func(b []byte)
	// Portal group tag, sent once.
	PortalGroup uint16
}

// ISID identifies an initiator's session, RFC 7143 section 11.12.5.
type ISID [6]byte

// Login is the target's side of one login, a core.
type Login struct {
	pol    *TargetPolicy
	params Params
	level  int // protocol level, RFC 7144

	stage      int
	started    bool
	named      bool
	authDone   bool
	alg        string
	chapID     byte
	challenge  []byte
	text       []byte
	pdus       int
	statSN     uint32
	declared   bool
	offered    map[string]bool
	itt        uint32
	Initiator  string
	Target     string
	Discovery  bool
	ISID       ISID
	TSIH       uint16
	CID        uint16
	CmdSN      uint32
	AssignTSIH func() uint16
}

// NewLogin begins a login. assign is called once, when the login succeeds.
func NewLogin(pol *TargetPolicy, assign func() uint16) *Login {
	return &Login{pol: pol, params: pol.Params, level: 1, AssignTSIH: assign, offered: map[string]bool{}}
}

// Handle answers one login request. done is set when the full feature phase
// begins; a *LoginError comes with the answer that tells the peer.
func (l *Login) Handle(p *PDU) (reply *PDU, done bool, err error) {
	if p.Opcode() != OpLoginReq {
		return l.refuse(p, LoginInitiatorError, "not a login request")
	}
	if l.pdus++; l.pdus > maxLoginPDUs {
		return l.refuse(p, LoginInitiatorError, "too many PDUs")
	}
	csg, nsg := int(p.Flags()>>2&3), int(p.Flags()&3)
	if e := l.first(p, csg); e != nil {
		return l.refuse(p, e.Status, e.Reason)
	}
	if csg != l.stage || p.ITT() != l.itt {
		return l.refuse(p, LoginInvalid, "wrong stage or tag")
	}
	more := p.Flags()&0x40 != 0
	if len(l.text)+len(p.Data) > MaxText {
		return l.refuse(p, LoginOutOfResources, "text over 64 KiB")
	}
	l.text = append(l.text, p.Data...)
	if more {
		if p.Final() {
			return l.refuse(p, LoginInitiatorError, "continues and ends at once")
		}
		return l.answer(p, nil, csg, false, 0), false, nil
	}
	keys, perr := ParseText(l.text)
	l.text = l.text[:0]
	if perr != nil {
		return l.refuse(p, LoginInitiatorError, perr.Error())
	}
	return l.turn(p, keys, csg, nsg)
}

// first takes what only the first request of a login tells.
func (l *Login) first(p *PDU, csg int) *LoginError {
	if l.started {
		return nil
	}
	l.started, l.stage, l.itt = true, csg, p.ITT()
	copy(l.ISID[:], p.BHS[8:14])
	l.TSIH = uint16(p.BHS[14])<<8 | uint16(p.BHS[15])
	l.CID = uint16(p.BHS[20])<<8 | uint16(p.BHS[21])
	l.CmdSN, l.statSN = p.Word(AtCmdSN), p.Word(AtExpStatSN)
	if p.BHS[3] != 0 { // version-min: only version 0 exists
		return &LoginError{LoginVersion, "no common version"}
	}
	if csg != stageSecurity && csg != stageOperational {
		return &LoginError{LoginInvalid, "begins in no login stage"}
	}
	if l.TSIH != 0 {
		// A further connection of a session: sessions here have one.
		return &LoginError{LoginTooMany, "one connection a session"}
	}
	return nil
}

func (l *Login) turn(p *PDU, keys []Key, csg, nsg int) (*PDU, bool, error) {
	if e := l.names(keys); e != nil {
		return l.refuse(p, e.Status, e.Reason)
	}
	var out []Key
	var e *LoginError
	if csg == stageSecurity {
		out, e = l.security(keys)
	} else {
		if l.pol.Secret != nil && !l.authDone && !l.Discovery {
			return l.refuse(p, LoginAuthFailure, "authentication is required")
		}
		out, e = l.operational(keys)
	}
	if e != nil {
		return l.refuse(p, e.Status, e.Reason)
	}
	move := p.Final() && (csg == stageOperational || l.authDone)
	if !move {
		return l.answer(p, out, csg, false, 0), false, nil
	}
	if nsg <= csg || nsg == 2 {
		return l.refuse(p, LoginInvalid, "next stage is not ahead")
	}
	l.stage = nsg
	if nsg == stageFull {
		l.TSIH = l.AssignTSIH()
		return l.answer(p, out, csg, true, nsg), true, nil
	}
	return l.answer(p, out, csg, true, nsg), false, nil
}

// names takes the keys that say who wants what; they come with the first text.
func (l *Login) names(keys []Key) *LoginError {
	if l.named {
		return nil
	}
	l.named = true
	for _, k := range keys {
		switch k.Name {
		case "InitiatorName":
			l.Initiator = k.Value
		case "TargetName":
			l.Target = k.Value
		case "SessionType":
			if k.Value != "Normal" && k.Value != "Discovery" {
				return &LoginError{LoginSessionType, "unknown session type"}
			}
			l.Discovery = k.Value == "Discovery"
		}
	}
	if l.Initiator == "" || l.Target == "" && !l.Discovery {
		return &LoginError{LoginMissing, "a name is missing"}
	}
	if st := l.pol.Admit(l.Initiator, l.Target); !l.Discovery && st != LoginOK {
		return &LoginError{st, "target refuses this initiator"}
	}
	return nil
}

// security runs AuthMethod and CHAP, RFC 7143 section 12.
func (l *Login) security(keys []Key) ([]Key, *LoginError) {
	var out []Key
	got := map[string]string{}
	for _, k := range keys {
		got[k.Name] = k.Value
	}
	if offer, ok := got["AuthMethod"]; ok {
		method := l.method(offer)
		if method == "" {
			return nil, &LoginError{LoginAuthFailure, "no common authentication method"}
		}
		out = append(out, Key{"AuthMethod", method})
		l.authDone = method == "None"
		if l.Target != "" {
			out = append(out, Key{"TargetPortalGroupTag", strconv.Itoa(int(l.pol.PortalGroup))})
		}
		return out, nil
	}
	if offer, ok := got["CHAP_A"]; ok && !l.authDone {
		if l.alg = pickAlgorithm(offer); l.alg == "" {
			return nil, &LoginError{LoginAuthFailure, "no common CHAP algorithm"}
		}
		b := make([]byte, 1+challengeLength)
		l.pol.Random(b)
		l.chapID, l.challenge = b[0], b[1:]
		return []Key{{"CHAP_A", l.alg}, {"CHAP_I", strconv.Itoa(int(l.chapID))}, {"CHAP_C", encodeBinary(l.challenge)}}, nil
	}
	if r, ok := got["CHAP_R"]; ok {
		return l.prove(got, r)
	}
	if !l.authDone && l.pol.Secret == nil {
		l.authDone = true // no AuthMethod offered and none needed
	}
	return out, nil
}

func (l *Login) method(offer string) string {
	for m := range strings.SplitSeq(offer, ",") {
		if m == "None" && (l.pol.Secret == nil || l.Discovery) || m == "CHAP" && l.pol.Secret != nil {
			return m
		}
	}
	return ""
}

// prove checks the initiator's answer and gives the target's own if asked.
func (l *Login) prove(got map[string]string, answer string) ([]Key, *LoginError) {
	bad := &LoginError{LoginAuthFailure, "authentication failed"}
	if l.challenge == nil || l.pol.Secret == nil {
		return nil, bad
	}
	secret, ok := l.pol.Secret(got["CHAP_N"])
	if !chapMatches(l.alg, l.chapID, secret, l.challenge, answer) || !ok {
		return nil, bad
	}
	old := l.challenge
	l.challenge, l.authDone = nil, true
	theirs, asked := got["CHAP_C"]
	if !asked {
		return nil, nil
	}
	c, err := decodeBinary(theirs)
	id, err2 := number(got["CHAP_I"], 0, 255)
	if err != nil || err2 != nil || len(c) == 0 || len(c) > 1024 || string(c) == string(old) || l.pol.Mutual.Secret == "" {
		l.authDone = false // a reflected challenge would let a peer answer with our own proof
		return nil, bad
	}
	r := chapResponse(l.alg, byte(id), l.pol.Mutual.Secret, c)
	return []Key{{"CHAP_N", l.pol.Mutual.User}, {"CHAP_R", encodeBinary(r)}}, nil
}

// operational negotiates the keys; each may be offered once, section 6.3.
func (l *Login) operational(keys []Key) ([]Key, *LoginError) {
	var out []Key
	for _, k := range keys {
		switch k.Name {
		case "InitiatorName", "TargetName", "SessionType", "InitiatorAlias", "AuthMethod":
			continue
		}
		if l.offered[k.Name] {
			return nil, &LoginError{LoginInitiatorError, k.Name + " negotiated twice"}
		}
		l.offered[k.Name] = true
		if k.Name == "iSCSIProtocolLevel" {
			v, err := number(k.Value, 0, 31)
			if err != nil {
				return nil, &LoginError{LoginInitiatorError, err.Error()}
			}
			l.level = min(v, 2)
			out = append(out, Key{k.Name, strconv.Itoa(l.level)})
			continue
		}
		v, err := l.params.negotiate(k)
		if err != nil {
			return nil, &LoginError{LoginInitiatorError, err.Error()}
		}
		if v != "" {
			out = append(out, Key{k.Name, v})
		}
	}
	if !l.declared {
		l.declared = true
		out = append(out, Key{"MaxRecvDataSegmentLength", strconv.Itoa(l.params.MaxRecv)})
		if l.Target != "" {
			out = append(out, Key{"TargetPortalGroupTag", strconv.Itoa(int(l.pol.PortalGroup))})
		}
	}
	return out, nil
}

func (l *Login) answer(p *PDU, keys []Key, csg int, transit bool, nsg int) *PDU {
	flags := byte(csg << 2)
	if transit {
		flags |= 0x80 | byte(nsg)
	}
	r := New(OpLoginResp).SetFlags(flags)
	copy(r.BHS[8:14], l.ISID[:])
	r.BHS[14], r.BHS[15] = byte(l.TSIH>>8), byte(l.TSIH)
	r.Set(AtITT, p.ITT()).Set(AtStatSN, l.statSN).Set(AtExpCmdSN, l.CmdSN).Set(AtMaxCmdSN, l.CmdSN+l.pol.Window-1)
	r.Data = FormatText(keys)
	l.statSN++
	return r
}

func (l *Login) refuse(p *PDU, st LoginStatus, why string) (*PDU, bool, error) {
	r := l.answer(p, nil, l.stage&3, false, 0)
	r.BHS[36], r.BHS[37] = byte(st>>8), byte(st)
	return r, false, &LoginError{st, why}
}

// Session returns the full feature phase that the login leads to.
func (l *Login) Session() *Session {
	pr := l.params
	pr.FirstBurst = min(pr.FirstBurst, pr.MaxBurst)
	return newSession(pr, l.level, l.CmdSN, l.statSN, l.pol.Window, l.Discovery)
}

// Params returns what was settled.
func (l *Login) Params() Params { return l.params }
