package standin_test

import (
	"context"
	"io"
	"testing"
	"time"

	"merlinhitch/internal/runtime/env"
	"merlinhitch/internal/simulation/standin"
)

// Data sent while a link is cut arrives in order once the link is restored; the other direction is
// not held back.
func TestLinksCutOneWay(t *testing.T) {
	environment := env.NewReal()
	links := standin.NewLinks(environment, 1)
	defer links.Close()
	a, b := links.Process("a"), links.Process("b")
	listener, err := b.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	dialled, err := a.Dial(context.Background(), "tcp", listener.Addr().String(), time.Second)
	if err != nil {
		t.Fatal(err)
	}
	defer dialled.Close()
	accepted, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer accepted.Close()
	links.SetState("a", "b", standin.LinkState{Cut: true})
	dialled.Write([]byte("one"))
	dialled.Write([]byte("two"))
	if _, err := accepted.Write([]byte("back")); err != nil {
		t.Fatal(err)
	}
	got := make([]byte, 4)
	if _, err := io.ReadFull(dialled, got); err != nil || string(got) != "back" {
		t.Fatalf("direction that is not cut: got %q, %v, want \"back\"", got, err)
	}
	var received env.Gate
	got = make([]byte, 6)
	go func() {
		io.ReadFull(accepted, got)
		received.Open()
	}()
	if env.Sleep(environment, 50*time.Millisecond, &received); received.Opened() {
		t.Fatal("data passed a link that is cut")
	}
	links.SetState("a", "b", standin.LinkState{Loss: 0.5, Delay: time.Millisecond})
	received.Wait(environment)
	if string(got) != "onetwo" {
		t.Fatalf("after the link was restored: got %q, want \"onetwo\"", got)
	}
}
