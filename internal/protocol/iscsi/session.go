package iscsi

import (
	"fmt"
	"math"
	"slices"
)

// Task is one SCSI command in a target's session.
type Task struct {
	ITT, CmdSN  uint32
	LUN         uint64
	CDB         [16]byte
	Read, Write bool
	Length      uint32  // expected data transfer length, bytes
	Data        []byte  // what a write brings, complete when the task is ready
	At          float64 // when its command came, by Session.Now
	// User belongs to the caller.
	User any

	got       uint32 // bytes received in order
	unsol     bool   // unsolicited Data-Out PDUs may still come
	asked     uint32 // bytes asked for by R2T so far
	r2ts      map[uint32]*r2t
	r2tSN     uint32
	immediate bool
	refused   bool // answered before its data had all come
	reserved  int
	dataSN    uint32 // of unsolicited data
	delivered bool
}

// Delivered tells whether the task was handed over, with all its data.
func (t *Task) Delivered() bool { return t.delivered }

type r2t struct{ at, next, end, sn uint32 }

// TaskFunction is a task management function, RFC 7143 section 11.5.1 and
// RFC 7144 section 5.
type TaskFunction byte

// The functions.
const (
	AbortTask        TaskFunction = 1
	AbortTaskSet     TaskFunction = 2
	ClearACA         TaskFunction = 3
	ClearTaskSet     TaskFunction = 4
	LUNReset         TaskFunction = 5
	TargetWarmReset  TaskFunction = 6
	TargetColdReset  TaskFunction = 7
	TaskReassign     TaskFunction = 8
	QueryTask        TaskFunction = 9
	QueryTaskSet     TaskFunction = 10
	NexusReset       TaskFunction = 11
	QueryAsync       TaskFunction = 12
	FunctionComplete byte         = 0
	FunctionNoTask   byte         = 1
	FunctionNoAllege byte         = 4
	FunctionUnknown  byte         = 5
	FunctionTrue     byte         = 7 // "function succeeded", RFC 7144
)

// Abort is a task management function under way. Its tasks are over: no response
// will be sent for them. The caller calls Finish once none of them can have an
// effect any more.
type Abort struct {
	Function TaskFunction
	Tasks    []*Task
	itt      uint32
	response byte
}

// Event is what the session wants of its caller.
type Event struct {
	Ready  *Task  // a command with all its data
	Abort  *Abort // tasks to end
	Logout bool   // nothing follows from the initiator
}

// ProtocolError is a breach after which the connection is closed (error recovery
// level 0, RFC 7143 section 7).
type ProtocolError struct{ Reason string }

func (e *ProtocolError) Error() string { return "iscsi: protocol error: " + e.Reason }

// Session is a target's full feature phase, a core: PDUs in by Handle, events
// out, PDUs for the wire to Out.
type Session struct {
	// Out takes the PDUs to send, in order. They are not kept.
	Out func(*PDU)
	// Reserve asks for memory for so many bytes of a write's data; on false the
	// command is answered BUSY. Release gives it back.
	Reserve func(n int) bool
	Release func(n int)
	// Now is the caller's clock, noted in tasks; set it before Handle.
	Now float64
	// Targets answers SendTargets: the names and addresses to list.
	Targets func(name string) []Key
	// MaxTransfer bounds one command's data in bytes.
	MaxTransfer int

	Params
	Level     int
	Discovery bool
	expCmdSN  uint32
	statSN    uint32
	window    uint32
	open      uint32 // tasks that hold a place of the window
	tasks     map[uint32]*Task
	nextTTT   uint32
	text      []byte
	textITT   uint32
	textOut   []byte // of an answer, not yet sent
	textTTT   uint32
	pingTTT   uint32
	events    []Event
}

func newSession(p Params, level int, cmdSN, statSN, window uint32, discovery bool) *Session {
	return &Session{
		Params: p, Level: level, Discovery: discovery, expCmdSN: cmdSN, statSN: statSN, window: window,
		tasks: map[uint32]*Task{}, MaxTransfer: 1 << 20, Reserve: func(int) bool { return true },
		Release: func(int) {}, Targets: func(string) []Key { return nil }, pingTTT: NoTag,
	}
}

// Open is the number of commands that wait for data or for their response.
func (s *Session) Open() int { return len(s.tasks) }

// numbers fills in the sequence numbers of a PDU to the initiator.
func (s *Session) numbers(p *PDU, status bool) *PDU {
	p.Set(AtStatSN, s.statSN)
	if status {
		s.statSN++
	}
	return p.Set(AtExpCmdSN, s.expCmdSN).Set(AtMaxCmdSN, s.expCmdSN+s.window-min(s.open, s.window)-1)
}

// Handle takes one PDU. The events are valid until the next call.
func (s *Session) Handle(p *PDU) ([]Event, error) {
	s.events = s.events[:0]
	skip, err := s.order(p)
	if skip || err != nil {
		return nil, err
	}
	switch p.Opcode() {
	case OpCommand:
		err = s.command(p)
	case OpDataOut:
		err = s.dataOut(p)
	case OpNopOut:
		s.nop(p)
	case OpTaskReq:
		s.manage(p)
	case OpTextReq:
		err = s.textReq(p)
	case OpLogoutReq:
		s.logout(p)
	case OpSnack:
		s.reject(p, RejectSnack) // recovery level 0 keeps nothing to send again
	default:
		s.reject(p, RejectUnsupported)
	}
	return s.events, err
}

// order keeps the command window, RFC 7143 section 4.2.2.1. With one connection
// numbers come in order: what lies outside the window is passed over, a gap
// can't be filled any more.
func (s *Session) order(p *PDU) (skip bool, err error) {
	switch p.Opcode() {
	case OpDataOut, OpSnack:
		return false, nil
	}
	sn := p.Word(AtCmdSN)
	ahead := int32(sn - s.expCmdSN)
	if p.Immediate() {
		return false, nil // they take no place, and the window does not bound them
	}
	if ahead < 0 || uint32(ahead) >= s.window-min(s.open, s.window) {
		return true, nil
	}
	if ahead > 0 {
		return true, &ProtocolError{fmt.Sprintf("CmdSN %d where %d is due", sn, s.expCmdSN)}
	}
	s.expCmdSN++
	return false, nil
}

// Reasons of a Reject PDU, RFC 7143 section 11.17.1.
const (
	RejectDataDigest  byte = 0x02
	RejectSnack       byte = 0x03
	RejectProtocol    byte = 0x04
	RejectUnsupported byte = 0x05
	RejectInvalid     byte = 0x09
)

// Reject answers a PDU that can't be taken.
func (s *Session) Reject(p *PDU, reason byte) { s.reject(p, reason) }

func (s *Session) reject(p *PDU, reason byte) {
	r := New(OpReject)
	r.BHS[2] = reason
	r.Set(AtITT, NoTag)
	r.Data = append([]byte(nil), p.BHS[:]...)
	s.Out(s.numbers(r, true))
}

func (s *Session) command(p *PDU) error {
	if s.Discovery {
		s.reject(p, RejectProtocol)
		return nil
	}
	if s.tasks[p.ITT()] != nil || p.ITT() == NoTag {
		return &ProtocolError{"task tag in use"}
	}
	if len(s.tasks) >= int(2*s.window) { // immediate commands take no place in the window
		s.reject(p, 0x06) // too many immediate commands
		return nil
	}
	t := &Task{ITT: p.ITT(), CmdSN: p.Word(AtCmdSN), LUN: p.LUN(), Length: p.Word(20), At: s.Now, immediate: p.Immediate()}
	copy(t.CDB[:], p.CDB())
	t.Read, t.Write = p.Flags()&0x40 != 0, p.Flags()&0x20 != 0
	s.tasks[t.ITT] = t
	if !t.immediate {
		s.open++
	}
	if t.Read && t.Write || len(p.AHS) > 0 {
		s.Respond(t, Answer{Status: 0x02, Sense: invalidField})
		return nil
	}
	if !t.Write {
		s.ready(t)
		return nil
	}
	return s.beginWrite(t, p)
}

// invalidField is fixed format sense: ILLEGAL REQUEST, INVALID FIELD IN CDB.
var invalidField = []byte{0x70, 0, 5, 0, 0, 0, 0, 10, 0, 0, 0, 0, 0x24, 0, 0, 0, 0, 0}

// serviceCRC is ABORTED COMMAND, PROTOCOL SERVICE CRC ERROR, with which RFC 7143 ends
// commands whose data was damaged.
var serviceCRC = []byte{0x70, 0, 0xb, 0, 0, 0, 0, 10, 0, 0, 0, 0, 0x47, 5, 0, 0, 0, 0}

func (s *Session) beginWrite(t *Task, p *PDU) error {
	n := uint32(len(p.Data))
	first := min(uint32(s.FirstBurst), t.Length)
	if n > 0 && !s.Immediate || n > first {
		return &ProtocolError{"immediate data beyond what was agreed"}
	}
	t.unsol = !p.Final()
	if t.unsol && s.InitialR2T {
		return &ProtocolError{"unsolicited data was not agreed"}
	}
	if int64(t.Length) > int64(s.MaxTransfer) {
		t.refused = true
		s.respond(t, Answer{Status: 0x02, Sense: invalidField})
		return nil
	}
	if !s.Reserve(int(t.Length)) {
		t.refused = true
		s.respond(t, Answer{Status: 0x08})
		return nil
	}
	t.reserved = int(t.Length)
	t.Data = make([]byte, t.Length)
	copy(t.Data, p.Data)
	t.got, t.asked = n, n
	s.proceed(t)
	return nil
}

// proceed asks for what is still missing, or hands the task over.
func (s *Session) proceed(t *Task) {
	if t.unsol {
		return
	}
	if t.got == t.Length {
		s.ready(t)
		return
	}
	if t.asked < t.got {
		t.asked = t.got
	}
	for t.asked < t.Length && len(t.r2ts) < s.MaxR2T {
		n := min(uint32(s.MaxBurst), t.Length-t.asked)
		if t.r2ts == nil {
			t.r2ts = map[uint32]*r2t{}
		}
		ttt := s.ttt()
		t.r2ts[ttt] = &r2t{at: t.asked, next: t.asked, end: t.asked + n}
		p := New(OpR2T).SetLUN(t.LUN).Set(AtITT, t.ITT).Set(AtTTT, ttt)
		p.Set(AtDataSN, t.r2tSN).Set(AtOffset, t.asked).Set(AtLength, n)
		t.r2tSN++
		t.asked += n
		s.Out(s.numbers(p, false))
	}
}

func (s *Session) ttt() uint32 {
	if s.nextTTT++; s.nextTTT == NoTag {
		s.nextTTT = 0
	}
	return s.nextTTT
}

func (s *Session) ready(t *Task) {
	t.delivered = true
	s.events = append(s.events, Event{Ready: t})
}

// dataOut files data, RFC 7143 section 11.7. Data of tasks that are over already
// (aborted, refused) is passed over: it was under way.
func (s *Session) dataOut(p *PDU) error {
	t := s.tasks[p.ITT()]
	if t == nil || t.refused {
		if t != nil && p.Final() {
			delete(s.tasks, t.ITT)
		}
		return nil
	}
	if !t.Write || t.delivered {
		return &ProtocolError{"data for a task that wants none"}
	}
	at, n, ttt := p.Word(AtOffset), uint32(len(p.Data)), p.Word(AtTTT)
	if uint64(at)+uint64(n) > uint64(t.Length) {
		return &ProtocolError{"data beyond the task's length"}
	}
	if ttt == NoTag {
		if p.Word(AtDataSN) != t.dataSN {
			s.missing(t, p)
			return nil
		}
		if !t.unsol || at != t.got || at+n > min(uint32(s.FirstBurst), t.Length) {
			return &ProtocolError{"unsolicited data out of place"}
		}
		t.dataSN++
		copy(t.Data[at:], p.Data)
		t.got += n
		if t.unsol = !p.Final(); !t.unsol {
			t.asked = t.got
			s.proceed(t)
		}
		return nil
	}
	r := t.r2ts[ttt]
	if r != nil && p.Word(AtDataSN) != r.sn {
		s.missing(t, p)
		return nil
	}
	if r == nil || at != r.next || at+n > r.end {
		return &ProtocolError{"data out of place"}
	}
	copy(t.Data[at:], p.Data)
	r.next += n
	r.sn++
	if !p.Final() {
		return nil
	}
	if r.next != r.end {
		return &ProtocolError{"burst shorter than asked for"}
	}
	t.got += r.end - r.at
	delete(t.r2ts, ttt)
	s.proceed(t)
	return nil
}

// missing ends a task whose data came with a gap in its numbers: a PDU in between is
// lost, and is not asked for again at this recovery level. The PDU is rejected and the
// task fails, while the session goes on (RFC 7143 on digest and sequence errors).
func (s *Session) missing(t *Task, p *PDU) {
	s.reject(p, RejectDataDigest)
	t.refused = true
	t.unsol = !p.Final()
	s.respond(t, Answer{Status: 0x02, Sense: serviceCRC})
}

// Task returns the open task of that tag, or nil.
func (s *Session) Task(itt uint32) *Task { return s.tasks[itt] }

// Expire ends a task whose data has not all come; what still comes of it is
// passed over.
func (s *Session) Expire(t *Task, a Answer) {
	t.refused = true
	s.Respond(t, a)
}

// Answer is the end of a task as the initiator sees it.
type Answer struct {
	Status    byte // SAM status
	Qualifier uint16
	Sense     []byte
	Data      []byte // what a read returns
	Out       int    // bytes that the command's CDB moves out
}

// Respond ends a task that was handed over: its data in, with the status in the
// last Data-In where that is GOOD, else in a response. It tells whether the task
// was still wanted.
func (s *Session) Respond(t *Task, a Answer) bool {
	if s.tasks[t.ITT] != t {
		return false
	}
	s.respond(t, a)
	return true
}

func (s *Session) respond(t *Task, a Answer) {
	s.drop(t)
	if t.refused && t.unsol { // its unsolicited data is still to come, and is passed over
		s.tasks[t.ITT] = t
	}
	residual, flag := s.residual(t, &a)
	data := a.Data
	if len(data) > int(t.Length) {
		data = data[:t.Length]
	}
	if t.Read && a.Status == 0 && len(data) > 0 {
		s.dataIn(t, data, residual, flag)
		return
	}
	p := New(OpResponse).SetFlags(0x80 | flag)
	p.BHS[3] = a.Status
	if s.Level >= 2 { // RFC 7144 section 4
		p.BHS[8], p.BHS[9] = byte(a.Qualifier>>8), byte(a.Qualifier)
	}
	p.Set(AtITT, t.ITT).Set(AtLength, residual)
	if len(a.Sense) > 0 {
		p.Data = append([]byte{byte(len(a.Sense) >> 8), byte(len(a.Sense))}, a.Sense...)
	}
	s.Out(s.numbers(p, true))
}

// residual is what was expected and not moved, or the other way round.
func (s *Session) residual(t *Task, a *Answer) (uint32, byte) {
	n := len(a.Data)
	if t.Write || a.Out > 0 {
		if a.Status != 0 {
			return 0, 0 // how much was used up is not known
		}
		n = a.Out
	}
	switch d := int64(t.Length) - int64(n); {
	case d > 0:
		return uint32(d), 0x02
	case d < 0:
		return uint32(min(-d, math.MaxUint32)), 0x04
	}
	return 0, 0
}

// dataIn sends the data in segments, the F bit at each burst's end, and the
// status with the last (phase collapse, RFC 7143 section 11.7.3).
func (s *Session) dataIn(t *Task, data []byte, residual uint32, flag byte) {
	sn, burst := uint32(0), 0
	for at := 0; at < len(data); {
		n := min(len(data)-at, s.MaxSend, s.MaxBurst-burst)
		last := at+n == len(data)
		burst += n
		f := byte(0)
		if last || burst == s.MaxBurst {
			f, burst = 0x80, 0
		}
		if last {
			f |= 0x01 | flag
		}
		p := New(OpDataIn).SetFlags(f).Set(AtITT, t.ITT).Set(AtTTT, NoTag)
		p.Set(AtDataSN, sn).Set(AtOffset, uint32(at))
		if last {
			p.Set(AtLength, residual)
		}
		p.Data = data[at : at+n]
		s.Out(s.numbers(p, last))
		at += n
		sn++
	}
}

// drop takes the task out and gives its place in the window back.
func (s *Session) drop(t *Task) {
	delete(s.tasks, t.ITT)
	if !t.immediate {
		s.open--
	}
	if t.reserved > 0 {
		s.Release(t.reserved)
		t.reserved = 0
	}
}

func (s *Session) nop(p *PDU) {
	if p.Word(AtTTT) != NoTag && p.Word(AtTTT) == s.pingTTT {
		s.pingTTT = NoTag
	}
	if p.ITT() == NoTag {
		return
	}
	r := New(OpNopIn).SetLUN(p.LUN()).Set(AtITT, p.ITT()).Set(AtTTT, NoTag)
	r.Data = p.Data[:min(len(p.Data), s.MaxSend)]
	s.Out(s.numbers(r, true))
}

// Ping asks the initiator for a sign of life; false if the last is unanswered.
func (s *Session) Ping() bool {
	if s.pingTTT != NoTag {
		return false
	}
	s.pingTTT = s.ttt()
	s.Out(s.numbers(New(OpNopIn).Set(AtITT, NoTag).Set(AtTTT, s.pingTTT), false))
	return true
}

func (s *Session) manage(p *PDU) {
	a := &Abort{Function: TaskFunction(p.Flags() & 0x7f), itt: p.ITT()}
	lun := p.LUN()
	match := func(*Task) bool { return false }
	switch a.Function {
	case AbortTask:
		ref := s.tasks[p.Word(AtTTT)]
		if ref == nil || ref.refused {
			a.response = FunctionNoTask
			// A command that was never received can't run any more if its number
			// is passed, RFC 7143 section 11.5.1; numbers here have no gaps.
			if int32(p.Word(32)-s.expCmdSN) < 0 {
				a.response = FunctionComplete
			}
		}
		match = func(t *Task) bool { return t == ref }
	case AbortTaskSet, ClearTaskSet, LUNReset:
		match = func(t *Task) bool { return t.LUN == lun }
	case TargetWarmReset, TargetColdReset, NexusReset:
		match = func(*Task) bool { return true }
	case QueryTask, QueryTaskSet:
		if s.query(a.Function, p.Word(AtTTT), lun) {
			a.response = FunctionTrue
		}
	case QueryAsync:
	case TaskReassign:
		a.response = FunctionNoAllege
	default:
		a.response = FunctionUnknown
	}
	a.Tasks = s.take(match)
	s.events = append(s.events, Event{Abort: a})
}

// Wide tells whether the function reaches the tasks of other sessions too.
func (a *Abort) Wide() bool {
	return a.Function == LUNReset || a.Function == TargetWarmReset || a.Function == TargetColdReset
}

// Reset ends every task for a function of another session and returns them; no
// response will be sent for them.
func (s *Session) Reset() []*Task { return s.take(func(*Task) bool { return true }) }

// take drops the tasks that match, in their order.
func (s *Session) take(match func(*Task) bool) (tasks []*Task) {
	for _, t := range s.tasks {
		if !t.refused && match(t) {
			tasks = append(tasks, t)
		}
	}
	slices.SortFunc(tasks, byCmdSN)
	for _, t := range tasks {
		s.drop(t)
	}
	return tasks
}

func (s *Session) query(f TaskFunction, ref uint32, lun uint64) bool {
	if f == QueryTask {
		return s.tasks[ref] != nil
	}
	for _, t := range s.tasks {
		if t.LUN == lun {
			return true
		}
	}
	return false
}

// Finish answers a task management function.
func (s *Session) Finish(a *Abort) {
	r := New(OpTaskResp).Set(AtITT, a.itt)
	r.BHS[2] = a.response
	s.Out(s.numbers(r, true))
}

// textReq answers SendTargets, over several PDUs if it comes so.
func (s *Session) textReq(p *PDU) error {
	if p.ITT() != s.textITT {
		s.text, s.textITT, s.textOut = s.text[:0], p.ITT(), nil
	}
	if s.textOut != nil && p.Word(AtTTT) == s.textTTT && len(p.Data) == 0 {
		s.textPart(p)
		return nil
	}
	if len(s.text)+len(p.Data) > MaxText {
		return &ProtocolError{"text over 64 KiB"}
	}
	s.text = append(s.text, p.Data...)
	r := New(OpTextResp).Set(AtITT, p.ITT()).Set(AtTTT, NoTag)
	if p.Flags()&0x40 != 0 { // more to come
		s.Out(s.numbers(r.SetFlags(0).Set(AtTTT, s.ttt()), true))
		return nil
	}
	keys, err := ParseText(s.text)
	s.text = s.text[:0]
	if err != nil {
		s.reject(p, RejectInvalid)
		return nil
	}
	var out []Key
	for _, k := range keys {
		if k.Name == "SendTargets" {
			out = append(out, s.Targets(k.Value)...)
		} else {
			out = append(out, Key{k.Name, "NotUnderstood"})
		}
	}
	s.textOut = FormatText(out)
	s.textPart(p)
	return nil
}

// textPart sends as much of a text as one PDU holds; the initiator asks for the rest
// with an empty request (RFC 7143 section 11.11).
func (s *Session) textPart(p *PDU) {
	r := New(OpTextResp).Set(AtITT, p.ITT()).Set(AtTTT, NoTag)
	n := min(len(s.textOut), s.MaxSend)
	r.Data, s.textOut = s.textOut[:n], s.textOut[n:]
	if len(s.textOut) > 0 {
		s.textTTT = s.ttt()
		r.SetFlags(0x40).Set(AtTTT, s.textTTT)
	} else {
		s.textOut = nil
	}
	s.Out(s.numbers(r, true))
}

func (s *Session) logout(p *PDU) {
	r := New(OpLogoutResp).Set(AtITT, p.ITT())
	if p.Flags()&0x7f == 2 {
		r.BHS[2] = 2 // connection recovery is not supported
	}
	s.Out(s.numbers(r, true))
	s.events = append(s.events, Event{Logout: true})
}

// Async codes, RFC 7143 section 11.9.1.
const AsyncLogout byte = 1

// AskLogout tells the initiator to log out within so many seconds.
func (s *Session) AskLogout(seconds uint16) {
	r := New(OpAsync).Set(AtITT, NoTag)
	r.BHS[36] = AsyncLogout
	r.BHS[42], r.BHS[43] = byte(seconds>>8), byte(seconds)
	s.Out(s.numbers(r, true))
}

// Close returns the tasks that are still open and gives their memory back.
func (s *Session) Close() []*Task {
	var open []*Task
	for _, t := range s.tasks {
		if !t.refused {
			open = append(open, t)
		}
	}
	slices.SortFunc(open, byCmdSN)
	for _, t := range open {
		s.drop(t)
	}
	clear(s.tasks)
	return open
}

func byCmdSN(a, b *Task) int { return int(int32(a.CmdSN - b.CmdSN)) }
