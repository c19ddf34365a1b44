package scheduler

import (
	"errors"
	"io"
	"net"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"merlinhitch/internal/runtime/env"
	"merlinhitch/internal/simulation/standin"
	"merlinhitch/policy"
)

// lateBytes is a connection on which a request lands just as its reader was told that the
// time is over.
type lateBytes struct {
	*net.TCPConn
	land func()
}

func (c *lateBytes) Read(b []byte) (int, error) {
	n, err := c.TCPConn.Read(b)
	if env.IsTimeout(err) {
		c.land()
	}
	return n, err
}

// A request that lands in the moment in which its idle connection is to end was taken: it
// is served, and at a stop with the connection's last answer.
func TestARequestLandsAsItsConnectionEnds(t *testing.T) {
	for name, end := range map[string]func(sc *scene){
		"a stop": func(sc *scene) { sc.s.frontend.finish() },
		"for another's sake": func(sc *scene) {
			sc.s.frontend.mu.Lock()
			defer sc.s.frontend.mu.Unlock()
			sc.s.frontend.forEachIdle(func(c *client) { c.beginClose(sc.s.loop.now()) })
		},
	} {
		t.Run(name, func(t *testing.T) {
			playReal(t, nil, answering(ok200), func(sc *scene, h *held) {
				var p *peer
				landed := sc.gate()
				sc.hookAccept(h, func(c net.Conn) net.Conn {
					return &lateBytes{c.(*net.TCPConn), func() {
						if !landed.Opened() {
							io.WriteString(p.conn, sc.get())
							landed.Open()
						}
					}}
				})
				p = sc.connect()
				defer p.conn.Close()
				if got := p.ask("GET /up HTTP/1.1\r\n\r\n"); got.status != 200 {
					t.Fatal(got)
				}
				sc.until("it is idle", func() bool {
					idle := 0
					sc.s.frontend.mu.Lock()
					defer sc.s.frontend.mu.Unlock()
					sc.s.frontend.forEachIdle(func(*client) { idle++ })
					return idle == 1
				})
				end(sc)
				if got := p.hear(0); got.status != 200 || got.close != (name == "a stop") {
					t.Errorf("%+v", got)
				}
				if !landed.Opened() {
					t.Error("nothing was crossed")
				}
			})
		})
	}
}

// A connection that is accepted just after the idle ones were told to end ends too, and at
// once.
func TestAConnectionAcceptedAfterTheOthersEnded(t *testing.T) {
	playReal(t, nil, answering(ok200), func(sc *scene, h *held) {
		gate, at := sc.gate(), sc.gate()
		sc.hookAccept(h, func(c net.Conn) net.Conn {
			at.Open()
			gate.Wait(h)
			return c
		})
		p := sc.connect()
		defer p.conn.Close()
		sc.until("the hook", at.Opened)
		sc.s.frontend.finish()
		gate.Open()
		if got := p.hear(sc.w.Now()); got.status != 0 || got.took > firstByteTimeout/2 {
			t.Errorf("%+v", got)
		}
	})
}

var errNoDescriptors = &net.OpError{Op: "accept", Err: syscall.EMFILE}

// Where descriptors run out, the accept loop goes on once there are some, and a disk server
// is not blamed for a dial that this machine had no descriptor for: the attempt waits.
func TestDescriptorsRunOut(t *testing.T) {
	playReal(t, nil, answering(ok200), func(sc *scene, h *held) {
		var mu sync.Mutex
		left := 5
		h.mu.Lock()
		h.refuse = func() error {
			mu.Lock()
			defer mu.Unlock()
			if left--; left >= 0 {
				return errNoDescriptors
			}
			return nil
		}
		h.mu.Unlock()
		h.holdDials(func(n int) error {
			if n == 0 {
				return errNoDescriptors
			}
			return nil
		})
		kept := sc.connect()
		for range 2 { // one more is accepted after the refusals
			if got := sc.connect().ask("GET /up HTTP/1.1\r\n\r\n"); got.status != 200 {
				t.Errorf("%+v", got)
			}
		}
		got := kept.ask(strings.Replace(sc.get(), "0.480", "1.900", 1))
		if c := sc.counters(); got.status != 200 || c.Sends != 1 || c.Outcomes[policy.NotSent] != 0 || c.Outcomes[policy.NoConnection] != 0 {
			t.Errorf("%+v, %+v", got, c)
		}
		if mu.Lock(); left >= 0 {
			t.Errorf("%d refusals were not met", left)
		}
		mu.Unlock()
		if !errors.Is(errNoDescriptors, syscall.EMFILE) {
			t.Error("the hook is wrong")
		}
	})
}

// What was taken before SIGTERM and has longer than there is until the kill gets its answer
// all the same, and nothing begins for it afterwards.
func TestAStopAnswersWhatHasLonger(t *testing.T) {
	silent := func(standin.HTTPAsk) standin.HTTPAnswer { return standin.HTTPAnswer{} }
	play(t, silent, func(sc *scene) {
		p := sc.connect()
		io.WriteString(p.conn, sc.request("PUT", "txn-write", "00000000000000ab", "30", "x", "Idempotency-Key: k\r\n"))
		io.WriteString(sc.connect().conn, strings.Replace(sc.get(), "0.480", "30", 1))
		env.Sleep(sc.w, 10*time.Millisecond, nil)
		from := sc.w.Now()
		sc.w.Go(sc.s.Drain)
		if got := p.hear(from); got.status != 504 || got.took > 3700*time.Millisecond {
			t.Errorf("%+v", got)
		}
		sc.s.Wait()
		if took := sc.w.Now() - from; took > 3700*time.Millisecond {
			t.Error("ended after", took)
		}
		if k := sc.s.core; k.counters.Failed != 1 || k.counters.Refused != 1 {
			t.Errorf("%+v", k.counters)
		}
		sc.s = sc.start(listOf(7))
	})
}
