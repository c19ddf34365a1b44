package wire

import (
	"errors"
	"io"
	"reflect"
	"strings"
	"testing"

	"merlinhitch/policy"
)

func readEvents(s string) (events []Event, err error) {
	r := NewReader(strings.NewReader(s))
	for {
		b, err := r.Next()
		if errors.Is(err, io.EOF) {
			return events, nil
		}
		if err != nil {
			return events, err
		}
		events = append(events, b.Events...)
	}
}

func TestEvents(t *testing.T) {
	tests := []struct {
		line string
		want policy.Event
	}{
		{"call 3 aa 6 read plan vol -1 2 blk 9.5 4", policy.Request{ID: "aa", Class: "read", Plan: "plan",
			Volume: "vol", Shard: -1, Units: 2, Key: "blk", Expires: 9.5, Hosts: 4, Repeat: true, Write: true}},
		{"settled 3 aa n:1 0 7 18.5 1 86 turned_away cpu:0.5,rps:3", policy.Outcome{ID: "aa", Node: "n:1",
			FromOthers: 7, Elapsed: 18.5, Attempt: 1, Use: 86, Result: policy.Rejected,
			Report: []policy.Reading{{Name: "cpu", Value: 0.5}, {Name: "rps", Value: 3}}}},
		{"alarm 3 two words", policy.TimerFired{Name: "two words"}},
		{"mail 3 1 6869", policy.PeerMessage{From: 1, Data: []byte("hi")}},
		{"hangup 3 aa", policy.ClientGone{ID: "aa"}},
		{"begun 3 aa 0 n:1 4", policy.StreamStarted{ID: "aa", Node: "n:1"}},
		{"sampled 3 n:1 2 served -", policy.ProbeResult{Node: "n:1", Elapsed: 2}},
		{"membership 3 1 0 0", policy.ListFailed{}},
	}
	for _, tt := range tests {
		got, err := readEvents("begin_batch 1\n" + tt.line + "\nend\n")
		if err != nil || len(got) != 1 || !reflect.DeepEqual(got[0].Event, tt.want) {
			t.Errorf("%s: got %+v, %v", tt.line, got, err)
		}
	}
}

func TestPoolReusedWithinBatch(t *testing.T) {
	got, err := readEvents("begin_batch 1\npool 0 1\nitem 1 1 k 0 - a:1 z\nmembership 0 4 1 0\n" +
		"pool 0 1\nitem 2 1 k 1 5 b:1 z\nmembership 0 3 2 0\nend\n")
	if err != nil || len(got) != 2 {
		t.Fatal(got, err)
	}
	a, b := got[0].Event.(policy.NodeList), got[1].Event.(policy.NodeList)
	if a.Nodes[0].Addr != "a:1" || !a.Full || !a.Cached {
		t.Errorf("first list: %+v", a)
	}
	if b.Nodes[0].Addr != "b:1" || b.Full || b.Nodes[0].Health != policy.Draining || b.Nodes[0].Started != 5 {
		t.Errorf("second list: %+v", b)
	}
}

func TestMalformed(t *testing.T) {
	tests := []struct{ in, want string }{
		{"what 3\n", "line 1"},
		{"begin_batch x\nend\n", "bad number"},
		{"begin_batch 1\nnews 3\nend\n", "unknown event"},
		{"begin_batch 1\ncall 3 aa\nend\n", "too short"},
		{"begin_batch 1\nhangup 3 aa\n", "no end"},
		{"begin_batch 1\npool 0 2\nitem 1 1 k 0 - a z\n", "too few"},
		{"begin_batch 1\npool 16 0\nend\n", "out of range"},
		{"begin_batch 1\nboot 0 1 {\nend\n", "bad settings"},
		{"begin_batch 1\nsettled 3 a n 1 0 1 0 0 maybe -\nend\n", "unknown outcome"},
	}
	for _, tt := range tests {
		_, err := readEvents(tt.in)
		if err == nil || !strings.Contains(err.Error(), tt.want) {
			t.Errorf("%q: error %v, want %q", tt.in, err, tt.want)
		}
	}
}

func TestActions(t *testing.T) {
	var b strings.Builder
	w := NewWriter(&b)
	for _, a := range []policy.Action{
		policy.Send{ID: "aa", Node: "n:1", TimeoutAt: 5}, policy.Refuse{ID: "aa", RetryAfter: 9},
		policy.Fail{ID: "aa"}, policy.CancelAttempt{ID: "aa", Attempt: 2},
		policy.SetTimer{Delay: 1.5, Name: "x"}, policy.Subscribe{On: true}, policy.FetchList{},
		policy.Probe{Node: "n:1"}, policy.SendPeerMessage{To: -1, Data: []byte("hi")}, policy.SendPeerMessage{To: 2},
		policy.CloseIdle{Node: "n:1"}, policy.Log{Text: "a\nb"},
	} {
		w.Action(4, a)
	}
	w.Fault(4, "broken")
	if err := w.End(); err != nil {
		t.Fatal(err)
	}
	want := "route 4 aa n:1 5.000\nrefuse 4 aa 9.000\ngive_up 4 aa\ncancel 4 aa 2\nsleep 4 1.500 x\n" +
		"keep_informed 4 1\nfetch 4\nsample 4 n:1\nshare 4 all 6869\nshare 4 2 -\nhang_up 4 n:1\n" +
		"debug 4 a b\nbail_out 4 broken\nyield\n"
	if b.String() != want {
		t.Errorf("got\n%swant\n%s", b.String(), want)
	}
}

func FuzzReader(f *testing.F) {
	f.Add("begin_batch 1\npool 0 1\nitem 1 1 k 0 - a:1 z\nmembership 0 4 1 0\nend\n")
	f.Add("begin_batch 1\nboot 0 1 {}\ncall 3 aa 0 r p v 0 1 - 9 1\nend\n")
	f.Fuzz(func(t *testing.T, s string) { _, _ = readEvents(s) }) // must not panic
}
