package bgp

import "fmt"

// State is a state of the machine (RFC 4271 section 8.2.2).
type State uint8

// The states.
const (
	Idle State = iota
	Connect
	Active
	OpenSent
	OpenConfirm
	Established
)

var stateNames = [...]string{"Idle", "Connect", "Active", "OpenSent", "OpenConfirm", "Established"}

func (s State) String() string { return stateNames[s] }

// Event is an event of the machine, by its number in RFC 4271 section 8.1.
type Event uint8

// The events. Those of TCP connections whose acceptance is pending (14, 15) don't
// occur: the shell hands over a connection or none.
const (
	ManualStart           Event = 1
	ManualStop            Event = 2
	AutomaticStart        Event = 3
	ManualStartPassive    Event = 4
	AutomaticStartPassive Event = 5
	AutomaticStop         Event = 8
	ConnectRetryExpires   Event = 9
	HoldExpires           Event = 10
	KeepaliveExpires      Event = 11
	DelayOpenExpires      Event = 12
	IdleHoldExpires       Event = 13
	TCPAcked              Event = 16
	TCPConfirmed          Event = 17
	TCPFails              Event = 18
	OpenReceived          Event = 19
	OpenWithDelay         Event = 20
	HeaderErr             Event = 21
	OpenMsgErr            Event = 22
	CollisionDump         Event = 23
	NotifVersionErr       Event = 24
	NotifReceived         Event = 25
	KeepaliveReceived     Event = 26
	UpdateReceived        Event = 27
	UpdateMsgErr          Event = 28
)

// Timer is a timer of the machine.
type Timer uint8

// The timers.
const (
	ConnectRetry Timer = iota
	HoldTimer
	KeepaliveTimer
	DelayOpen
	IdleHold
	timerCount
)

// ActKind is something that the machine has its owner do.
type ActKind uint8

// The kinds of acts.
const (
	ActDial       ActKind = iota
	ActDrop               // the connection, once what was sent before is out
	ActOpen               // send an OPEN
	ActKeep               // send a KEEPALIVE
	ActNotify             // send Act.Note
	ActUp                 // the session is established
	ActDown               // it was, and is no more
	ActStartTimer         // at Act.After ms from now
	ActStopTimer
)

// Act is one thing to do.
type Act struct {
	Kind  ActKind
	Timer Timer
	After float64 // ms
	Note  *Notification
}

// Times are the timers' settings, ms.
type Times struct {
	ConnectRetry float64
	Hold         float64 // offered; 0: none
	LargeHold    float64 // until the OPEN has come
	DelayOpen    float64 // 0: none
	IdleHold     float64 // first wait after a failure; doubles up to IdleHoldMost
	IdleHoldMost float64
}

// DefaultTimes are those that RFC 4271 section 10 suggests, but for the retries:
// clients wait for a way to be announced.
var DefaultTimes = Times{ConnectRetry: 5000, Hold: 9000, LargeHold: 240000, IdleHold: 250, IdleHoldMost: 8000}

// FSM is the machine of one connection. It is a core: it is told events and returns
// acts; it holds no socket and no clock.
type FSM struct {
	State State
	// Retries is the ConnectRetryCounter.
	Retries int
	// Hold is the negotiated hold time in ms, from the OPEN on.
	Hold    float64
	times   Times
	jitter  func() float64 // 0.75 to 1, RFC 4271 section 10
	damp    bool
	delayed bool // the DelayOpen timer runs
	acts    []Act
}

// NewFSM returns a machine in Idle. With damp it waits after a failure and starts
// again by itself (DampPeerOscillations), else its owner starts it.
func NewFSM(t Times, damp bool, jitter func() float64) *FSM {
	return &FSM{times: t, damp: damp, jitter: jitter}
}

func (f *FSM) do(k ActKind)           { f.acts = append(f.acts, Act{Kind: k}) }
func (f *FSM) notify(n *Notification) { f.acts = append(f.acts, Act{Kind: ActNotify, Note: n}) }
func (f *FSM) stop(t Timer)           { f.acts = append(f.acts, Act{Kind: ActStopTimer, Timer: t}) }
func (f *FSM) start(t Timer, d float64) {
	f.acts = append(f.acts, Act{Kind: ActStartTimer, Timer: t, After: d})
}

// Handle tells the machine an event. note is the error of events 21, 22 and 28, and
// may be given with stops; peerHold is the hold time of the OPEN of events 19 and 20,
// in ms. The acts are valid until the next call.
func (f *FSM) Handle(e Event, note *Notification, peerHold float64) []Act {
	f.acts = f.acts[:0]
	switch f.State {
	case Idle:
		f.idle(e)
	case Connect, Active:
		f.connecting(e, note, peerHold)
	case OpenSent:
		f.openSent(e, note, peerHold)
	case OpenConfirm, Established:
		f.opened(e, note)
	}
	return f.acts
}

// Starts reports whether an event is one that starts the machine.
func (e Event) starts() bool {
	return e == ManualStart || e == AutomaticStart || e == ManualStartPassive || e == AutomaticStartPassive
}

func (f *FSM) idle(e Event) {
	switch e {
	case ManualStart, AutomaticStart, IdleHoldExpires:
		if e == ManualStart {
			f.Retries = 0
		}
		f.stop(IdleHold)
		f.start(ConnectRetry, f.times.ConnectRetry*f.jitter())
		f.do(ActDial)
		f.State = Connect
	case ManualStartPassive, AutomaticStartPassive:
		f.stop(IdleHold)
		f.start(ConnectRetry, f.times.ConnectRetry*f.jitter())
		f.State = Active
	case ManualStop:
		f.stop(IdleHold) // nothing else runs
	}
}

// connecting is Connect and Active, which differ in few events.
func (f *FSM) connecting(e Event, note *Notification, peerHold float64) {
	switch {
	case e.starts():
	case e == ManualStop:
		if f.delayed && note != nil {
			f.notify(note)
		}
		f.quit()
	case e == ConnectRetryExpires:
		if f.State == Connect {
			f.do(ActDrop)
		}
		f.setDelayed(false)
		f.start(ConnectRetry, f.times.ConnectRetry*f.jitter())
		f.do(ActDial)
		f.State = Connect
	case e == DelayOpenExpires:
		f.setDelayed(false)
		f.sendOpen()
	case e == TCPAcked || e == TCPConfirmed:
		if f.times.DelayOpen > 0 {
			f.stop(ConnectRetry)
			f.setDelayed(true)
			return
		}
		f.sendOpen()
	case e == TCPFails && f.State == Connect && f.delayed:
		f.start(ConnectRetry, f.times.ConnectRetry*f.jitter())
		f.setDelayed(false)
		f.State = Active
	case e == TCPFails && f.State == Connect:
		// The RFC does not count this one; the wait before the next try grows all the
		// same, so that a peer that refuses connections is not asked without end.
		f.fail()
	case e == OpenWithDelay:
		f.stop(ConnectRetry)
		f.setDelayed(false)
		f.do(ActOpen)
		f.confirm(peerHold)
	case e == HeaderErr || e == OpenMsgErr:
		f.fail() // an OPEN was not sent: nothing is said (SendNOTIFICATIONwithoutOPEN is off)
	case e == NotifVersionErr && f.delayed:
		f.release()
	default:
		f.fail()
	}
}

func (f *FSM) setDelayed(on bool) {
	if on {
		f.start(DelayOpen, f.times.DelayOpen)
	} else if f.delayed {
		f.stop(DelayOpen)
	}
	f.delayed = on
}

func (f *FSM) sendOpen() {
	f.stop(ConnectRetry)
	f.do(ActOpen)
	f.start(HoldTimer, f.times.LargeHold)
	f.State = OpenSent
}

// confirm answers the peer's OPEN: the lesser hold time counts, a third of it is the
// time between signs of life.
func (f *FSM) confirm(peerHold float64) {
	f.do(ActKeep)
	if f.Hold = min(f.times.Hold, peerHold); f.Hold > 0 {
		f.start(KeepaliveTimer, f.Hold/3*f.jitter())
		f.start(HoldTimer, f.Hold)
	} else {
		f.stop(KeepaliveTimer)
		f.stop(HoldTimer)
	}
	f.State = OpenConfirm
}

// connected handles what is the same in every state with a connection; false if the
// event is another.
func (f *FSM) connected(e Event, note *Notification) bool {
	switch {
	case e.starts() || e == TCPAcked || e == TCPConfirmed:
	case e == ManualStop:
		f.say(note, CeaseShutdown)
		f.quit()
	case e == AutomaticStop:
		f.say(note, CeaseRejected)
		f.fail()
	case e == HoldExpires:
		f.notify(&Notification{Code: CodeHoldTimer})
		f.fail()
	case e == CollisionDump:
		f.notify(&Notification{Code: CodeCease, Subcode: CeaseCollision})
		f.fail()
	default:
		return false
	}
	return true
}

func (f *FSM) openSent(e Event, note *Notification, peerHold float64) {
	switch {
	case f.connected(e, note):
	case e == TCPFails:
		f.do(ActDrop)
		f.stop(HoldTimer)
		f.start(ConnectRetry, f.times.ConnectRetry*f.jitter())
		f.State = Active
	case e == OpenReceived:
		f.stop(ConnectRetry)
		f.confirm(peerHold)
	case e == HeaderErr || e == OpenMsgErr:
		f.notify(note)
		f.fail()
	case e == NotifVersionErr:
		f.release()
	default:
		f.notify(&Notification{Code: CodeFSM, Subcode: FSMInOpenSent})
		f.fail()
	}
}

// opened is OpenConfirm and Established.
func (f *FSM) opened(e Event, note *Notification) {
	up := f.State == Established
	switch {
	case f.connected(e, note):
	case e == KeepaliveExpires:
		f.do(ActKeep)
		if f.Hold > 0 {
			f.start(KeepaliveTimer, f.Hold/3*f.jitter())
		}
	case e == TCPFails || e == NotifReceived:
		f.fail()
	case e == NotifVersionErr:
		if up {
			f.fail()
		} else {
			f.release()
		}
	case e == HeaderErr, e == OpenMsgErr && !up:
		// For Established the RFC's table has an FSM error here, its section 6.1 the
		// header's own; the latter says more.
		f.notify(note)
		f.fail()
	case e == KeepaliveReceived:
		f.restartHold()
		if !up {
			f.State = Established
			f.do(ActUp)
		}
	case e == UpdateReceived && up:
		f.restartHold()
	case e == UpdateMsgErr && up:
		f.notify(note)
		f.fail()
	default:
		sub := FSMInOpenConfirm
		if up {
			sub = FSMInEstablished
		}
		f.notify(&Notification{Code: CodeFSM, Subcode: sub})
		f.fail()
	}
}

func (f *FSM) restartHold() {
	if f.Hold > 0 {
		f.start(HoldTimer, f.Hold)
	}
}

// say sends the Cease that was given with a stop, or a plain one.
func (f *FSM) say(note *Notification, sub uint8) {
	if note == nil {
		note = &Notification{Code: CodeCease, Subcode: sub}
	}
	f.notify(note)
}

// release gives up the connection and all timers, without counting a failure.
func (f *FSM) release() {
	if f.State == Established {
		f.do(ActDown)
	}
	f.do(ActDrop)
	for t := range timerCount {
		f.stop(t)
	}
	f.State, f.delayed, f.Hold = Idle, false, 0
	if f.damp {
		f.start(IdleHold, f.idleFor())
	}
}

// fail is release after something went wrong.
func (f *FSM) fail() {
	f.Retries++
	f.release()
}

// quit is release for good, until a start.
func (f *FSM) quit() {
	f.Retries = 0
	f.release()
	f.stop(IdleHold)
}

// idleFor doubles with each failure in a row.
func (f *FSM) idleFor() float64 {
	d := f.times.IdleHold
	for i := 1; i < f.Retries && d < f.times.IdleHoldMost; i++ {
		d *= 2
	}
	return min(d, f.times.IdleHoldMost) * f.jitter()
}

func (a Act) String() string {
	switch a.Kind {
	case ActNotify:
		return fmt.Sprintf("notify %d/%d", a.Note.Code, a.Note.Subcode)
	case ActStartTimer:
		return "start " + timerNames[a.Timer]
	case ActStopTimer:
		return "stop " + timerNames[a.Timer]
	}
	return actNames[a.Kind]
}

var (
	actNames   = [...]string{"dial", "drop", "open", "keepalive", "notify", "up", "down", "", ""}
	timerNames = [...]string{"ConnectRetry", "Hold", "Keepalive", "DelayOpen", "IdleHold"}
)
