package env

import (
	"net"
	"testing"
	"time"
)

// PeerStateOf must see the end of a stream behind unread bytes, and consume none of them: an attempt for
// a client that has left would begin otherwise.
func TestPeerStateOf(t *testing.T) {
	for name, tt := range map[string]struct {
		act  func(local, peer *net.TCPConn)
		want PeerState
	}{
		"open":                    {func(_, _ *net.TCPConn) {}, PeerOpen},
		"unread bytes":            {func(_, peer *net.TCPConn) { peer.Write([]byte("abc")) }, PeerUnknown},
		"closed":                  {func(_, peer *net.TCPConn) { peer.Close() }, PeerClosed},
		"half-closed":             {func(_, peer *net.TCPConn) { peer.CloseWrite() }, PeerClosed},
		"closed behind bytes":     {func(_, peer *net.TCPConn) { peer.Write([]byte("abc")); peer.Close() }, PeerClosed},
		"reset":                   {func(_, peer *net.TCPConn) { peer.SetLinger(0); peer.Close() }, PeerClosed},
		"half-closed here":        {func(local, _ *net.TCPConn) { local.CloseWrite() }, PeerOpen},
		"closed here":             {func(local, _ *net.TCPConn) { local.Close() }, PeerClosed},
		"bytes that were read":    {func(local, peer *net.TCPConn) { peer.Write([]byte("a")); local.Read(make([]byte, 1)) }, PeerOpen},
		"bytes partly left there": {func(local, peer *net.TCPConn) { peer.Write([]byte("abc")); local.Read(make([]byte, 1)) }, PeerUnknown},
	} {
		local, peer := connectedPair(t)
		tt.act(local, peer)
		got := PeerStateOf(local)
		for waitUntil := time.Now().Add(5 * time.Second); got != tt.want && time.Now().Before(waitUntil); got = PeerStateOf(local) {
			Yield() // until the segment has come
		}
		if got != tt.want {
			t.Errorf("%s: got %v, want %v", name, got, tt.want)
		}
		local.Close()
		peer.Close()
	}
	if pipe, _ := net.Pipe(); PeerStateOf(pipe) != PeerOpen {
		t.Error("a connection that tells nothing: want PeerOpen")
	}
}

func connectedPair(t *testing.T) (local, peer *net.TCPConn) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	dialled, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	accepted, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	return accepted.(*net.TCPConn), dialled.(*net.TCPConn)
}

// A connection that waits to be accepted while its peer sends must tell how long it has waited: what came
// first would count as come last.
func TestSinceEstablishedCountsFromTheStart(t *testing.T) {
	const wait = 300 * time.Millisecond
	startedAt := time.Now()
	local, peer := connectedPair(t)
	defer local.Close()
	defer peer.Close()
	for time.Since(startedAt) < wait {
		peer.Write([]byte("a"))
		time.Sleep(time.Millisecond) // the kernel keeps this time, so it can't be forced
	}
	elapsed, known := SinceEstablished(local)
	if longest := time.Since(startedAt) + 20*time.Millisecond; !known || elapsed < wait-20*time.Millisecond || elapsed > longest {
		t.Errorf("got %s, known %v, want %s to %s", elapsed, known, wait, longest)
	}
	if lastReceive, _ := SinceLastReceive(local); lastReceive > wait/2 {
		t.Errorf("the last data came %s ago, want less than %s", lastReceive, wait/2)
	}
}
