package bgp

import (
	"fmt"
	"strings"
	"testing"
)

// table is RFC 4271 section 8.2.2, by state: an event, the next state, the acts. R
// stands for giving up the connection and all timers. Events that are not listed are
// those of the line "other". Where two texts of the RFCs differ, the line says which.
var table = map[State]string{
	Idle: `
1 Connect stop IdleHold, start ConnectRetry, dial
3 Connect stop IdleHold, start ConnectRetry, dial
4 Active stop IdleHold, start ConnectRetry
5 Active stop IdleHold, start ConnectRetry
2 Idle stop IdleHold
13 Connect stop IdleHold, start ConnectRetry, dial
other Idle`,
	Connect: `
1 Connect
3 Connect
4 Connect
5 Connect
2 Idle R, stop IdleHold
9 Connect drop, start ConnectRetry, dial
12 OpenSent stop ConnectRetry, open, start Hold
16 OpenSent stop ConnectRetry, open, start Hold
17 OpenSent stop ConnectRetry, open, start Hold
20 OpenConfirm stop ConnectRetry, open, keepalive, start Keepalive, start Hold
other Idle R`,
	Active: `
1 Active
3 Active
4 Active
5 Active
2 Idle R, stop IdleHold
9 Connect start ConnectRetry, dial
12 OpenSent stop ConnectRetry, open, start Hold
16 OpenSent stop ConnectRetry, open, start Hold
17 OpenSent stop ConnectRetry, open, start Hold
20 OpenConfirm stop ConnectRetry, open, keepalive, start Keepalive, start Hold
other Idle R`,
	OpenSent: `
1 OpenSent
3 OpenSent
4 OpenSent
5 OpenSent
16 OpenSent
17 OpenSent
2 Idle notify 6/2, R, stop IdleHold
8 Idle notify 6/5, R
10 Idle notify 4/0, R
18 Active drop, stop Hold, start ConnectRetry
19 OpenConfirm stop ConnectRetry, keepalive, start Keepalive, start Hold
21 Idle notify 1/1, R
22 Idle notify 1/1, R
23 Idle notify 6/7, R
24 Idle R
other Idle notify 5/1, R`,
	OpenConfirm: `
1 OpenConfirm
3 OpenConfirm
4 OpenConfirm
5 OpenConfirm
16 OpenConfirm
17 OpenConfirm
2 Idle notify 6/2, R, stop IdleHold
8 Idle notify 6/5, R
10 Idle notify 4/0, R
11 OpenConfirm keepalive, start Keepalive
18 Idle R
21 Idle notify 1/1, R
22 Idle notify 1/1, R
23 Idle notify 6/7, R
24 Idle R
25 Idle R
26 Established start Hold, up
other Idle notify 5/2, R`,
	Established: `
1 Established
3 Established
4 Established
5 Established
16 Established
17 Established
2 Idle notify 6/2, down, R, stop IdleHold
8 Idle notify 6/5, down, R
10 Idle notify 4/0, down, R
11 Established keepalive, start Keepalive
18 Idle down, R
21 Idle notify 1/1, down, R
23 Idle notify 6/7, down, R
24 Idle down, R
25 Idle down, R
26 Established start Hold
27 Established start Hold
28 Idle notify 1/1, down, R
other Idle notify 5/3, down, R`,
}

const giveUp = "drop, stop ConnectRetry, stop Hold, stop Keepalive, stop DelayOpen, stop IdleHold"

// counted are the events after which the ConnectRetryCounter is one more, if the
// machine goes to Idle from a state above it; all but stops and version errors.
func counted(s State, e Event) bool {
	if e == ManualStop {
		return false
	}
	return e != NotifVersionErr || s == Connect || s == Active || s == Established
}

var events = []Event{1, 2, 3, 4, 5, 8, 9, 10, 11, 12, 13, 16, 17, 18, 19, 20, 21, 22, 23, 24, 25, 26, 27, 28}

func one() float64 { return 1 }

// at returns a machine that was led to a state by events.
func at(s State) *FSM {
	f := NewFSM(Times{ConnectRetry: 10, Hold: 90, LargeHold: 1000, IdleHold: 1, IdleHoldMost: 8}, false, one)
	way := map[State][]Event{Connect: {1}, Active: {4}, OpenSent: {1, 16}, OpenConfirm: {1, 16, 19}, Established: {1, 16, 19, 26}}
	for _, e := range way[s] {
		f.Handle(e, nil, 60)
	}
	return f
}

func expected(s State, e Event) (next, acts string) {
	for line := range strings.SplitSeq(strings.TrimSpace(table[s]), "\n") {
		num, rest, _ := strings.Cut(line, " ")
		next, acts, _ = strings.Cut(rest, " ")
		if num == fmt.Sprint(int(e)) || num == "other" {
			break
		}
	}
	return next, strings.NewReplacer("R,", giveUp+",").Replace(strings.TrimSuffix(strings.ReplaceAll(acts+"$", "R$", giveUp), "$"))
}

func TestEveryStateWithEveryEvent(t *testing.T) {
	n := 0
	for s := Idle; s <= Established; s++ {
		for _, e := range events {
			f := at(s)
			if f.State != s {
				t.Fatalf("%v is not reached: %v", s, f.State)
			}
			before := f.Retries
			var got []string
			for _, a := range f.Handle(e, &Notification{Code: 1, Subcode: 1}, 60) {
				got = append(got, a.String())
			}
			next, acts := expected(s, e)
			if e == ManualStop || e == AutomaticStop { // given with the stop
				acts = strings.NewReplacer("notify 6/2", "notify 1/1", "notify 6/5", "notify 1/1").Replace(acts)
			}
			if f.State.String() != next || strings.Join(got, ", ") != acts {
				t.Errorf("%v, event %d: %v: %s\nwant %s: %s", s, e, f.State, strings.Join(got, ", "), next, acts)
			}
			if more := f.Retries > before; s != Idle && next == "Idle" && more != counted(s, e) {
				t.Errorf("%v, event %d: the retry counter went from %d to %d", s, e, before, f.Retries)
			}
			n++
		}
	}
	t.Logf("%d pairs", n)
}

// With DelayOpen an OPEN that comes first is answered with one's own and a KEEPALIVE.
func TestDelayOpen(t *testing.T) {
	for _, start := range []Event{ManualStart, ManualStartPassive} {
		f := NewFSM(Times{ConnectRetry: 10, Hold: 90, LargeHold: 1000, DelayOpen: 5}, false, one)
		f.Handle(start, nil, 0)
		before := f.State
		f.Handle(TCPAcked, nil, 0)
		if f.State != before || !f.delayed {
			t.Fatalf("%v, delayed %v", f.State, f.delayed)
		}
		g := *f
		if g.Handle(OpenWithDelay, nil, 30); g.State != OpenConfirm || g.Hold != 30 || g.delayed {
			t.Errorf("%v, hold %g", g.State, g.Hold)
		}
		g = *f
		if g.Handle(DelayOpenExpires, nil, 0); g.State != OpenSent {
			t.Errorf("%v", g.State)
		}
		g = *f
		g.Handle(TCPFails, nil, 0)
		if want := map[State]State{Connect: Active, Active: Idle}[before]; g.State != want {
			t.Errorf("%v, want %v", g.State, want)
		}
		g = *f
		if g.Handle(NotifVersionErr, nil, 0); g.State != Idle || g.Retries != 0 {
			t.Errorf("%v, %d", g.State, g.Retries)
		}
	}
}

// Failures in a row double the wait up to its bound; a hold time of 0 runs no timer.
func TestWaitsAndHoldTimeZero(t *testing.T) {
	f := NewFSM(Times{ConnectRetry: 10, IdleHold: 1, IdleHoldMost: 8}, true, one)
	f.Handle(ManualStart, nil, 0)
	for _, want := range []float64{1, 2, 4, 8, 8} {
		got := -1.0
		for _, a := range f.Handle(TCPFails, nil, 0) {
			if a.Kind == ActStartTimer && a.Timer == IdleHold {
				got = a.After
			}
		}
		if got != want {
			t.Errorf("waits %g, want %g", got, want)
		}
		f.Handle(IdleHoldExpires, nil, 0)
	}
	f = at(OpenSent)
	for _, a := range f.Handle(OpenReceived, nil, 0) {
		if a.Kind == ActStartTimer {
			t.Errorf("with hold time 0: %v", a)
		}
	}
	for _, a := range f.Handle(KeepaliveReceived, nil, 0) {
		if a.Kind == ActStartTimer {
			t.Errorf("with hold time 0: %v", a)
		}
	}
}
