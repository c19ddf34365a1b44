package world

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"

	"go.uber.org/goleak"

	"merlinhitch/internal/runtime/env"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// startServer starts a process that runs handle for each connection.
func startServer(t *testing.T, w *World, name string, handle func(p *Process, c net.Conn)) (p *Process, addr string) {
	t.Helper()
	p = w.StartProcess(name)
	l, err := p.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	p.Go(func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			p.Go(func() { handle(p, c) })
		}
	})
	return p, l.Addr().String()
}

func echoConn(_ *Process, c net.Conn) { io.Copy(c, c) }

func dial(t *testing.T, p *Process, addr string) net.Conn {
	t.Helper()
	c, err := p.Dial(context.Background(), "tcp", addr, time.Second)
	if err != nil {
		t.Fatal(err)
	}
	return c
}

func runMain(t *testing.T, w *World, main func(p *Process)) {
	t.Helper()
	if err := w.Run("main", time.Hour, main); err != nil {
		t.Fatal(err)
	}
}

func TestEchoOverLinkStates(t *testing.T) {
	for _, state := range []LinkState{{Delay: time.Millisecond}, {Delay: time.Millisecond, SplitReads: true}, {Delay: time.Millisecond, Jitter: 5 * time.Millisecond, Loss: 0.3}} {
		w := New(7)
		w.DefaultLink = state
		_, addr := startServer(t, w, "echo", echoConn)
		runMain(t, w, func(p *Process) {
			c := dial(t, p, addr)
			want := bytes.Repeat([]byte("0123456789"), 2000)
			p.Go(func() { c.Write(want) })
			got := make([]byte, len(want))
			if _, err := io.ReadFull(c, got); err != nil || !bytes.Equal(got, want) {
				t.Errorf("%+v: %v", state, err)
			}
			if p.Now() < 2*time.Millisecond {
				t.Errorf("%+v: %v elapsed, want at least 2ms", state, p.Now())
			}
		})
	}
}

// A write blocks when the peer does not read, and fails at its deadline.
func TestWriteBlocksAtWindow(t *testing.T) {
	w := New(1)
	_, addr := startServer(t, w, "deaf", func(*Process, net.Conn) {})
	runMain(t, w, func(p *Process) {
		c := dial(t, p, addr)
		c.SetWriteDeadline(p.Deadline(3 * time.Second))
		n, err := c.Write(make([]byte, 1<<20))
		if n != maxInFlight || !errors.Is(err, os.ErrDeadlineExceeded) || p.Now() < 3*time.Second {
			t.Errorf("%d bytes written, %v, at %v", n, err, p.Now())
		}
	})
}

func TestReadDeadline(t *testing.T) {
	w := New(1)
	_, addr := startServer(t, w, "mute", func(*Process, net.Conn) {})
	runMain(t, w, func(p *Process) {
		c := dial(t, p, addr)
		start := p.Now()
		c.SetReadDeadline(p.Deadline(time.Second))
		if _, err := c.Read(make([]byte, 1)); !errors.Is(err, os.ErrDeadlineExceeded) || p.Now() != start+time.Second {
			t.Error(err, p.Now())
		}
	})
}

// Bytes blocked by a partition arrive in order after it; after a host loss reads time out.
func TestPartitionAndHostLoss(t *testing.T) {
	w := New(3)
	remote, addr := startServer(t, w, "far#1", echoConn)
	runMain(t, w, func(p *Process) {
		c := dial(t, p, addr)
		link := w.Link("main", "far")
		link.SetState(LinkState{Delay: time.Millisecond, Partitioned: true})
		c.Write([]byte("one"))
		c.Write([]byte("two"))
		p.AfterFunc(5*time.Second, func() { link.SetState(LinkState{Delay: time.Millisecond}) })
		got := make([]byte, 6)
		if _, err := io.ReadFull(c, got); err != nil || string(got) != "onetwo" || p.Now() < 5*time.Second || p.Now() > 8*time.Second {
			t.Errorf("%q %v at %v", got, err, p.Now())
		}
		remote.Kill(HostLoss)
		c.SetReadDeadline(p.Deadline(time.Minute))
		c.Write([]byte("three"))
		if _, err := c.Read(got); !errors.Is(err, os.ErrDeadlineExceeded) {
			t.Errorf("read from a lost host: %v, want a timeout", err)
		}
	})
}

// A dial to a closed port is refused; over a partition it runs into its timeout.
func TestDialErrors(t *testing.T) {
	w := New(3)
	_, addr := startServer(t, w, "far", echoConn)
	runMain(t, w, func(p *Process) {
		if _, err := p.Dial(context.Background(), "tcp", "127.0.0.1:9", time.Second); !errors.Is(err, syscall.ECONNREFUSED) {
			t.Error(err)
		}
		w.Link("far", "main").SetState(LinkState{Partitioned: true})
		start := p.Now()
		if _, err := p.Dial(context.Background(), "tcp", addr, time.Second); !errors.Is(err, os.ErrDeadlineExceeded) || p.Now() != start+time.Second {
			t.Error(err, p.Now()-start)
		}
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		if _, err := p.Dial(ctx, "tcp", addr, time.Second); !errors.Is(err, context.Canceled) {
			t.Error(err)
		}
	})
}

// After a crash the peer reads what was sent and EOF; its later writes are reset.
func TestCrashClosesSockets(t *testing.T) {
	w := New(3)
	remote, addr := startServer(t, w, "far", func(p *Process, c net.Conn) {
		c.Write([]byte("last words"))
		p.NewParker().Park()
	})
	runMain(t, w, func(p *Process) {
		c := dial(t, p, addr)
		p.AfterFunc(time.Second, func() { remote.Kill(Crash) })
		if b, err := io.ReadAll(c); err != nil || string(b) != "last words" || p.Now() < time.Second {
			t.Errorf("%q %v", b, err)
		}
		c.Write([]byte("?"))
		env.Sleep(p, time.Second, nil)
		if _, err := c.Write([]byte("?")); !errors.Is(err, syscall.ECONNRESET) {
			t.Error("write to a crashed process:", err)
		}
	})
}

// Timers and reads of a stalled process run when the stall ends; none is lost.
func TestStalledProcessResumesLate(t *testing.T) {
	w := New(3)
	var firedAt, readAt time.Duration
	remote, addr := startServer(t, w, "far", func(p *Process, c net.Conn) {
		if _, err := c.Read(make([]byte, 1)); err == nil {
			readAt = p.Now()
		}
	})
	runMain(t, w, func(p *Process) {
		c := dial(t, p, addr)
		env.Sleep(p, time.Millisecond, nil)
		remote.AfterFunc(time.Second, func() { firedAt = remote.Now() })
		remote.Stall(5 * time.Second)
		c.Write([]byte("x"))
		env.Sleep(p, 6*time.Second, nil)
	})
	if firedAt < 5*time.Second || readAt < 5*time.Second {
		t.Errorf("timer fired at %v, read returned at %v, want both after the stall of 5s", firedAt, readAt)
	}
}

func TestAdvanceClockFiresTimersEarlier(t *testing.T) {
	w := New(3)
	runMain(t, w, func(p *Process) {
		other := w.StartProcess("q")
		var firedAt time.Duration
		other.AfterFunc(3*time.Second, func() { firedAt = p.Now() })
		other.AdvanceClock(2 * time.Second)
		env.Sleep(p, 2*time.Second, nil)
		if firedAt != time.Second || other.Now() != p.Now()+2*time.Second {
			t.Error("timer fired at", firedAt, "clock", other.Now())
		}
	})
}

// A killed process runs nothing more, neither deferred waits nor timers.
func TestKilledProcessRunsNothing(t *testing.T) {
	w := New(3)
	runs := 0
	runMain(t, w, func(p *Process) {
		other := w.StartProcess("q")
		other.Go(func() {
			defer env.Sleep(other, time.Second, nil)
			env.Sleep(other, time.Second, nil)
			runs++
		})
		other.AfterFunc(time.Second, func() { runs++ })
		env.Sleep(p, time.Millisecond, nil)
		other.Kill(Crash)
		other.Go(func() { runs++ })
		env.Sleep(p, 5*time.Second, nil)
	})
	if runs != 0 || w.StartProcess("r").Dead() {
		t.Error(runs, "callbacks ran in a killed process")
	}
}

// A run that cannot end returns a StuckError, a panic a CrashError with the process's name.
func TestRunErrors(t *testing.T) {
	var stuckErr *StuckError
	if err := New(1).Run("main", time.Second, func(p *Process) { p.NewParker().Park() }); !errors.As(err, &stuckErr) || !stuckErr.NoEvents {
		t.Error(err)
	}
	if err := New(1).Run("main", time.Second, func(p *Process) { env.Sleep(p, time.Hour, nil) }); !errors.As(err, &stuckErr) || stuckErr.NoEvents {
		t.Error(err)
	}
	var crashErr *CrashError
	err := New(1).Run("main", time.Second, func(p *Process) {
		p.world.StartProcess("q").Go(func() { panic("on purpose") })
		env.Sleep(p, 10*time.Millisecond, nil)
	})
	if !errors.As(err, &crashErr) || crashErr.Process != "q" || !strings.Contains(crashErr.Stack, "on purpose") && crashErr.Value != "on purpose" {
		t.Error(err)
	}
}

type recordingObserver struct{ log *[]string }

func (h recordingObserver) Bytes(up bool, b []byte) {
	*h.log = append(*h.log, map[bool]string{true: "up ", false: "down "}[up]+string(b))
}
func (h recordingObserver) Closed(up bool) {
	*h.log = append(*h.log, map[bool]string{true: "up ", false: "down "}[up]+"closed")
}

// The observer gets what passes at its end, whichever target the alias has.
func TestAliasAndObserver(t *testing.T) {
	for _, atDialler := range []bool{true, false} {
		w := New(1)
		_, first := startServer(t, w, "one", func(_ *Process, c net.Conn) { c.Write([]byte("one")); c.Close() })
		_, second := startServer(t, w, "two", echoConn)
		var log []string
		alias := w.Alias(first, atDialler, func() Observer { return recordingObserver{&log} })
		runMain(t, w, func(p *Process) {
			io.ReadAll(dial(t, p, alias))
			w.RetargetAlias(alias, second)
			c := dial(t, p, alias)
			c.Write([]byte("hey"))
			io.ReadFull(c, make([]byte, 3))
			c.Close()
			env.Sleep(p, time.Second, nil)
		})
		if got := strings.Join(log, ", "); got != "down one, down closed, up hey, down hey, up closed" {
			t.Errorf("observer at the dialling end %v: %s", atDialler, got)
		}
	}
}
