package inventory

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"strings"
	"testing"

	"merlinhitch/internal/fleet/region"
)

// A client that applies what it is told, from any generation on, has the list.
func TestBookTellsWhatIsMissing(t *testing.T) {
	b := NewBook()
	apply := func(have map[string]string, l List) {
		if l.Kind == Full {
			clear(have)
		}
		for _, n := range l.Nodes {
			if n.Health == Gone {
				delete(have, n.Addr)
			} else {
				have[n.Addr] = n.Health
			}
		}
	}
	clients := make([]map[string]string, 5)
	known := make([]uint64, 5)
	for i := range clients {
		clients[i] = map[string]string{}
	}
	for step := range 3000 {
		addr := fmt.Sprintf("n%d", step*7%40)
		switch step % 5 {
		case 0, 1:
			b.Set(Node{Addr: addr, Health: Ready}, float64(step))
		case 2:
			b.Health(addr, Draining)
		default:
			b.Health(addr, Gone)
		}
		i := step * 13 % 5
		if step%(1+i*400) != 0 { // the last asks so seldom that changes are forgotten
			continue
		}
		l := b.List(known[i], float64(step))
		known[i] = l.Generation
		apply(clients[i], l)
	}
	want := map[string]string{}
	apply(want, b.List(0, 0))
	for i := range clients {
		apply(clients[i], b.List(known[i], 0))
		if fmt.Sprint(clients[i]) != fmt.Sprint(want) {
			t.Errorf("client %d has %v, want %v", i, clients[i], want)
		}
	}
	if l := b.List(b.Generation()+5, 0); l.Kind != Full {
		t.Error("a client ahead of the book is not told the whole list")
	}
}

func TestAge(t *testing.T) {
	b := NewBook()
	b.Set(Node{Addr: "a", Health: Ready}, 1000)
	b.Set(Node{Addr: "b", Health: Ready}, 0)
	l := b.List(0, 1500)
	if l.Nodes[0].AgeMS != 500 || l.Nodes[1].AgeMS != 0 {
		t.Errorf("%+v", l.Nodes)
	}
	if now := b.List(0, 1000).Nodes[0].AgeMS; now <= 0 {
		t.Errorf("just started is told as long ago: %v", now)
	}
}

func TestReadLine(t *testing.T) {
	var l List
	var le *LineError
	if err := ReadLine(bufio.NewReader(strings.NewReader(strings.Repeat("x", MaxLine+10)+"\n")), &l); !errors.As(err, &le) {
		t.Errorf("too long: %v", err)
	}
	if err := ReadLine(bufio.NewReader(strings.NewReader("{\"kind\":\"full\"")), &l); !errors.Is(err, io.ErrUnexpectedEOF) {
		t.Errorf("cut: %v", err)
	}
	if err := ReadLine(bufio.NewReader(strings.NewReader("no\n")), &l); !errors.As(err, &le) {
		t.Errorf("no message: %v", err)
	}
	if err := ReadLine(bufio.NewReader(bytes.NewReader(nil)), &l); err != io.EOF {
		t.Errorf("nothing: %v", err)
	}
	for _, bad := range []List{{Kind: "some"}, {Kind: Full, Nodes: []Node{{Health: Ready}}}, {Kind: Full, Nodes: []Node{{Addr: "a", Health: "well"}}},
		{Kind: Full, Nodes: []Node{{Addr: "a", Health: Ready, Shard: -1}}}} {
		if bad.Check() == nil {
			t.Errorf("taken: %+v", bad)
		}
	}
}

func FuzzReadLine(f *testing.F) {
	f.Add(Line(List{Kind: Full, Generation: 3, Nodes: []Node{{Addr: "a", Health: Ready}}}))
	f.Fuzz(func(t *testing.T, b []byte) {
		var l List
		if ReadLine(bufio.NewReader(bytes.NewReader(b)), &l) == nil {
			l.Check()
		}
	})
}

// Two books of two regions that tell each other what they lack agree, whatever was put by
// and came back; a client that knew a later list than the one that came back hears all of
// it, and nothing that an earlier run said outranks what is said now.
func TestBooksOfTwoRegions(t *testing.T) {
	books := [2]*Book{NewBook(), NewBook()}
	for r := range books {
		books[r].Own(region.ID(r), 1)
	}
	have, known := map[string]string{}, uint64(0) // a client of region 0
	hear := func(l List) {
		if l.Kind == Full {
			clear(have)
		}
		for _, n := range l.Nodes {
			if have[n.Addr] = n.Health; n.Health == Gone {
				delete(have, n.Addr)
			}
		}
		known = l.Generation
	}
	exchange := func() {
		for r, b := range books {
			b.Merge(books[1-r].Since(b.Stamps(), 0), 0)
			b.CaughtUp()
		}
	}
	var putBy *Book
	for step := range 400 {
		r := step % 2
		b := books[r]
		addr := fmt.Sprintf("n%d.%d", step*7%10, r)
		switch step % 5 {
		case 0, 1, 2:
			b.Set(Node{Addr: addr, Health: Ready}, 0)
		case 3:
			b.Health(addr, Draining)
		default:
			b.Health(addr, Gone)
		}
		switch step {
		case 100:
			putBy = books[0].Clone()
		case 301: // back with a list of long ago, and a change at once
			books[0] = putBy
			books[0].Own(0, 2)
			books[0].Set(Node{Addr: "n0.0", Health: Draining}, 0)
		}
		if step%3 == 0 {
			exchange()
			hear(books[0].List(known, 0))
		}
		if step == 303 && have["n0.0"] != Draining {
			t.Fatal("what was said by an earlier run outranks the present")
		}
	}
	exchange()
	hear(books[0].List(known, 0))
	full := func(b *Book) string { return string(Line(b.List(0, 0).Nodes)) }
	if full(books[0]) != full(books[1]) {
		t.Errorf("the books differ:\n%s%s", full(books[0]), full(books[1]))
	}
	want := map[string]string{}
	for _, n := range books[0].List(0, 0).Nodes {
		want[n.Addr] = n.Health
	}
	if fmt.Sprint(have) != fmt.Sprint(want) {
		t.Errorf("the client has %v, want %v", have, want)
	}
}

func TestRecordsAreChecked(t *testing.T) {
	good := region.Begin(0, []region.ID{0, 1}, [][2]float64{{0.5, 0.5}})
	if l := (List{Kind: Told, Record: &good}); l.Check() != nil {
		t.Fatal("a good record is refused:", l.Check())
	}
	for _, spoil := range []func(r *region.Record){
		func(r *region.Record) { r.Leader = 2 },
		func(r *region.Record) { r.Homes[0].Region = 7 },
		func(r *region.Record) { r.Homes[1].From = -3 },
		func(r *region.Record) { r.Homes[0].Region = 1 },
		func(r *region.Record) { r.Homes[0].Moved = 9 },
		func(r *region.Record) { r.Shares[0] = [2]float64{0.6, 0.6} },
		func(r *region.Record) { r.Split[0] = [2]float64{-1, 0} },
		func(r *region.Record) { r.Split = nil },
	} {
		r := good.Clone()
		spoil(&r)
		for _, l := range []List{{Kind: Told, Record: &r}, {Kind: Granted, Grant: &region.Grant{Record: r}}, {Kind: Heard, Beat: &region.Beat{Record: r}}} {
			if l.Check() == nil {
				t.Errorf("taken: %+v", r)
			}
		}
	}
	for _, l := range []List{{Kind: Told}, {Kind: Granted}, {Kind: Heard}, {Kind: Granted, Grant: &region.Grant{Lease: -1, Record: good}}} {
		if l.Check() == nil {
			t.Errorf("taken: %+v", l)
		}
	}
	if (&Ask{Op: "beat"}).Check() == nil || (&Ask{Op: "move", To: 3}).Check() == nil {
		t.Error("a beat without one, or a third region, is taken")
	}
}

// A client that knows the list of one run of an inventory must be sent the full list by another, whatever the
// numbers of their changes and their clocks: it was told that nothing had changed, and went on sending to a disk
// server that was gone (review/second/started-anew).
func TestAnotherRunSendsItsFullList(t *testing.T) {
	for _, secondStart := range []int64{1_764_000_000_001, 1_764_000_060_000, 1_763_999_999_000} {
		for changes := 1; changes <= 3; changes++ {
			first, second := NewBook(), NewBook()
			first.BeginRun(1_764_000_000_000)
			second.BeginRun(secondStart)
			first.Set(Node{Addr: "old", Health: Ready}, 0)
			for range changes {
				second.Set(Node{Addr: "new", Health: Ready}, 0)
			}
			known := first.List(0, 0).Generation
			list := second.List(known, 0)
			if list.Kind != Full || len(list.Nodes) != 1 || list.Nodes[0].Addr != "new" {
				t.Errorf("second run started at %d with %d changes: got %+v, want the full list", secondStart, changes, list)
			}
			if again := second.List(list.Generation, 0); again.Kind != Delta || len(again.Nodes) != 0 {
				t.Errorf("second run, generation %d known: got %+v, want no changes", list.Generation, again)
			}
		}
	}
}
