package reserve_test

import (
	"errors"
	"fmt"
	"reflect"
	"testing"

	"pgregory.net/rapid"

	"merlinhitch/internal/storage/reserve"
)

func nexus(i int) reserve.Nexus {
	return reserve.Nexus{Initiator: fmt.Sprintf("iqn.2026-11.example:%d,i,0x800000000000", i), Host: uint16(1 + i%2)}
}

func apply(t *testing.T, s *reserve.State, r reserve.Request) *reserve.State {
	t.Helper()
	n, err := s.Apply(r)
	if err != nil {
		t.Fatalf("%+v: %v", r, err)
	}
	if n == nil {
		return s
	}
	return n
}

// register enters so many nexus, each with its number plus one as key.
func register(t *testing.T, n int) *reserve.State {
	s := &reserve.State{}
	for i := range n {
		s = apply(t, s, reserve.Request{Action: reserve.Register, Nexus: nexus(i), Service: uint64(i + 1)})
	}
	return s
}

// Two hosts that register at once, and 64 initiators that do: each finds its place.
func TestRegistrationBurst(t *testing.T) {
	s := register(t, 64)
	if len(s.Registrations) != 64 || s.Version != 64 || s.Generation != 64 {
		t.Fatalf("%d registrations, version %d", len(s.Registrations), s.Version)
	}
	s = register(t, reserve.MostRegistrations)
	if _, err := s.Apply(reserve.Request{Action: reserve.Register, Nexus: reserve.Nexus{Initiator: "one more"}, Service: 9}); !errors.Is(err, reserve.ErrRoom) {
		t.Errorf("%v", err)
	}
	if b := s.Append(nil); len(b) > reserve.MaxSize {
		t.Errorf("%d bytes", len(b))
	}
}

func TestAllTargetPorts(t *testing.T) {
	s := apply(t, &reserve.State{}, reserve.Request{Action: reserve.Register, Nexus: nexus(0), Service: 5, All: true, Hosts: []uint16{1, 2, 3}})
	for h := range uint16(3) {
		if k, ok := s.Key(reserve.Nexus{Initiator: nexus(0).Initiator, Host: h + 1}); !ok || k != 5 {
			t.Errorf("host %d: %d %v", h+1, k, ok)
		}
	}
}

func TestPreemptOfAllRegistrants(t *testing.T) {
	s := register(t, 4)
	s = apply(t, s, reserve.Request{Action: reserve.Reserve, Nexus: nexus(0), Key: 1, Type: reserve.ExclusiveAll})
	// With the key 0 everybody else goes and the reservation is the pre-emptor's.
	n := apply(t, s, reserve.Request{Action: reserve.Preempt, Nexus: nexus(2), Key: 3, Type: reserve.WriteExclusive})
	if len(n.Registrations) != 1 || n.Type != reserve.WriteExclusive || !n.Holds(nexus(2)) {
		t.Errorf("%+v", n)
	}
	// With another's key only that one goes, and all that are left hold it still.
	n = apply(t, s, reserve.Request{Action: reserve.Preempt, Nexus: nexus(2), Key: 3, Service: 1, Type: reserve.WriteExclusive})
	if len(n.Registrations) != 3 || n.Type != reserve.ExclusiveAll || !n.Holds(nexus(1)) {
		t.Errorf("%+v", n)
	}
	if _, err := register(t, 2).Apply(reserve.Request{Action: reserve.Preempt, Nexus: nexus(0), Key: 1, Type: reserve.WriteExclusive}); !errors.Is(err, reserve.ErrParameter) {
		t.Errorf("key 0 without a reservation by all: %v", err)
	}
}

func TestNotices(t *testing.T) {
	old := register(t, 3)
	old = apply(t, old, reserve.Request{Action: reserve.Reserve, Nexus: nexus(0), Key: 1, Type: reserve.WriteExclusiveRegistrants})
	for name, c := range map[string]struct {
		r    reserve.Request
		want map[reserve.Nexus]reserve.Notice
	}{
		"release": {reserve.Request{Action: reserve.Release, Nexus: nexus(0), Key: 1, Type: reserve.WriteExclusiveRegistrants},
			map[reserve.Nexus]reserve.Notice{nexus(1): reserve.Released, nexus(2): reserve.Released}},
		"clear": {reserve.Request{Action: reserve.Clear, Nexus: nexus(1), Key: 2},
			map[reserve.Nexus]reserve.Notice{nexus(0): reserve.Preempted, nexus(2): reserve.Preempted}},
		"preempt": {reserve.Request{Action: reserve.Preempt, Nexus: nexus(1), Key: 2, Service: 3, Type: reserve.WriteExclusive},
			map[reserve.Nexus]reserve.Notice{nexus(2): reserve.RegistrationPreempted}},
	} {
		if got := reserve.Notices(old, apply(t, old, c.r)); !reflect.DeepEqual(got, c.want) {
			t.Errorf("%s: %v", name, got)
		}
	}
}

// Whatever is asked in whatever order: the state stays sound, the old one is not
// touched, versions count up, and bytes bring back what was written.
func TestAnyRequests(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		s := &reserve.State{}
		for range rapid.IntRange(1, 40).Draw(r, "requests") {
			before := s.Append(nil)
			n, err := s.Apply(reserve.Request{Action: reserve.Action(rapid.IntRange(0, 8).Draw(r, "action")), Nexus: nexus(rapid.IntRange(0, 3).Draw(r, "nexus")),
				Type: reserve.Type(rapid.IntRange(0, 9).Draw(r, "type")), Key: uint64(rapid.IntRange(0, 4).Draw(r, "key")), Service: uint64(rapid.IntRange(0, 4).Draw(r, "service")),
				Persist: rapid.Bool().Draw(r, "persist"), All: rapid.Bool().Draw(r, "all"), Hosts: []uint16{1, 2}})
			if string(s.Append(nil)) != string(before) {
				r.Fatal("the old state was changed")
			}
			if err != nil || n == nil {
				continue
			}
			if n.Version != s.Version+1 {
				r.Fatalf("version %d after %d", n.Version, s.Version)
			}
			sound(r, n)
			got, err := reserve.Parse(n.Append(nil))
			if err != nil || string(got.Append(nil)) != string(n.Append(nil)) {
				r.Fatalf("%+v\n%+v %v", n, got, err)
			}
			s = n
		}
	})
}

// sound holds a state to what is always true.
func sound(r *rapid.T, s *reserve.State) {
	seen := map[reserve.Nexus]bool{}
	holders := 0
	for _, x := range s.Registrations {
		if seen[x.Nexus] || x.Key == 0 {
			r.Fatalf("%+v", s)
		}
		seen[x.Nexus] = true
		if s.Holds(x.Nexus) {
			holders++
		}
	}
	switch s.Type {
	case reserve.None:
		if holders != 0 {
			r.Fatalf("%d holders of nothing", holders)
		}
	case reserve.WriteExclusiveAll, reserve.ExclusiveAll:
		if holders != len(s.Registrations) || holders == 0 {
			r.Fatalf("%d holders of %d", holders, len(s.Registrations))
		}
	default:
		if !s.Type.Valid() || holders != 1 {
			r.Fatalf("type %d, %d holders", s.Type, holders)
		}
	}
	for i := range 4 {
		n := nexus(i)
		if s.May(n, true) && !s.May(n, false) {
			r.Fatal("may write and not read")
		}
	}
}

func FuzzParse(f *testing.F) {
	f.Add((&reserve.State{Version: 3, Type: reserve.WriteExclusive, Holder: nexus(1), Registrations: []reserve.Registration{{Nexus: nexus(1), Key: 7}}}).Append(nil))
	f.Add([]byte{})
	f.Fuzz(func(t *testing.T, b []byte) {
		s, err := reserve.Parse(b)
		if err != nil || len(b) == 0 {
			return
		}
		if got := s.Append(nil); string(got) != string(b) && len(got) != len(b) {
			t.Fatalf("%x\n%x", b, got)
		}
	})
}
