package inventory

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"strings"
	"testing"
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
