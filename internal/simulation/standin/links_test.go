package standin_test

import (
	"context"
	"io"
	"testing"
	"time"

	"merlinhitch/internal/runtime/env"
	"merlinhitch/internal/simulation/standin"
)

// What is sent while a way is cut comes once it is whole, in order; what comes the other
// way is not held back; a connection through a cut way opens and is silent.
func TestLinksCutOneWay(t *testing.T) {
	w := env.NewReal()
	links := standin.NewLinks(w, 1)
	defer links.Close()
	a, b := links.Process("a"), links.Process("b")
	l, err := b.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	c, err := a.Dial(context.Background(), "tcp", l.Addr().String(), time.Second)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	s, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	links.SetState("a", "b", standin.LinkState{Cut: true})
	c.Write([]byte("one"))
	c.Write([]byte("two"))
	if _, err := s.Write([]byte("back")); err != nil {
		t.Fatal(err)
	}
	got := make([]byte, 4)
	if _, err := io.ReadFull(c, got); err != nil || string(got) != "back" {
		t.Fatalf("the other way: %q, %v", got, err)
	}
	var came env.Gate
	got = make([]byte, 6)
	go func() {
		io.ReadFull(s, got)
		came.Open()
	}()
	if env.Sleep(w, 50*time.Millisecond, &came); came.Opened() {
		t.Fatal("it came through a cut")
	}
	links.SetState("a", "b", standin.LinkState{Loss: 0.5, Delay: time.Millisecond})
	came.Wait(w)
	if string(got) != "onetwo" {
		t.Fatalf("came: %q", got)
	}
}
