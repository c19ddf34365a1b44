package scheduler

import (
	"context"
	"maps"
	"net"
	"sync"
	"testing"
	"time"

	"go.uber.org/zap"

	"merlinhitch/internal/runtime/env"
	"merlinhitch/internal/simulation/standin"
)

// held is the world of the machine, with real sockets, whose dials and accepts can be held
// at a gate, so that what else happens comes just between.
type held struct {
	*env.Real
	mu      sync.Mutex
	disk    string // its dials are held
	dials   int    // of them so far
	dialing func(n int) error
	wrap    func(net.Conn) net.Conn // connections to the disk server
	accept  func(net.Conn) net.Conn // before the listener hands a connection over
	refuse  func() error            // in place of an accepted connection
}

func (h *held) Dial(ctx context.Context, network, address string, within time.Duration) (net.Conn, error) {
	c, err := h.Real.Dial(ctx, network, address, within)
	h.mu.Lock()
	f, n := h.dialing, h.dials
	if address != h.disk || f == nil {
		h.mu.Unlock()
		return c, err
	}
	h.dials++
	if h.wrap != nil && err == nil {
		c = h.wrap(c)
	}
	h.mu.Unlock()
	if e := f(n); e != nil {
		if c != nil {
			c.Close()
		}
		return nil, e
	}
	return c, err
}

// holdDials has f called for each dial to the disk server before its connection is handed
// over.
func (h *held) holdDials(f func(n int) error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.dialing = f
}

func (h *held) Listen(network, address string) (net.Listener, error) {
	l, err := h.Real.Listen(network, address)
	return &heldListener{l, h}, err
}

type heldListener struct {
	net.Listener
	h *held
}

func (l *heldListener) Accept() (net.Conn, error) {
	l.h.mu.Lock()
	refuse, accept := l.h.refuse, l.h.accept
	l.h.mu.Unlock()
	if refuse != nil {
		if err := refuse(); err != nil {
			return nil, err
		}
	}
	c, err := l.Listener.Accept()
	if err == nil && accept != nil {
		c = accept(c)
	}
	return c, err
}

// watched tells when this side of a connection ended what it sends, and when it closed.
type watched struct {
	*net.TCPConn
	ended, closed *env.Gate
}

func (c *watched) CloseWrite() error {
	defer c.ended.Open()
	return c.TCPConn.CloseWrite()
}

func (c *watched) Close() error {
	defer c.closed.Open()
	defer c.ended.Open()
	return c.TCPConn.Close()
}

// playReal plays f on a scheduler, a simulated disk server and discovery on real sockets.
func playReal(t *testing.T, settings func(string) string, do func(standin.HTTPAsk) standin.HTTPAnswer, f func(sc *scene, h *held)) {
	t.Helper()
	h := &held{Real: env.NewReal()}
	sc := &scene{t: t, w: h, addr: "127.0.0.1:0"}
	must := func(err error) {
		if err != nil {
			t.Fatal(err)
		}
	}
	var err error
	sc.disk, err = standin.ServeHTTPDisk(h.Real, do)
	must(err)
	defer sc.disk.Close()
	h.disk = sc.disk.Addr
	first := listOf(7, entry("s0", sc.disk.Addr, "active", 0))
	sc.list, err = standin.ServeHTTPList(h.Real, first)
	must(err)
	defer sc.list.Close()
	conf := testConfig(sc.addr, sc.list.Addr, first)
	if settings != nil {
		conf = settings(conf)
	}
	c, err := ParseConfig([]byte(conf), func(string) string { return "" })
	must(err)
	sc.s, err = Start(h, c, zap.NewNop())
	must(err)
	defer sc.s.Close()
	defer func() {
		for _, g := range sc.gates {
			g.Open()
		}
	}()
	sc.addr = sc.s.frontend.listener.Addr().String()
	sc.until("discovery was heard", sc.s.listReceived.Opened)
	sc.until("ready", sc.s.frontend.ready.Opened)
	f(sc, h)
}

// until waits for something that is bound to come.
func (sc *scene) until(what string, ok func() bool) {
	sc.t.Helper()
	for from := time.Now(); !ok(); time.Sleep(200 * time.Microsecond) {
		if time.Since(from) > 10*time.Second {
			sc.t.Fatal("never: " + what)
		}
	}
}

// on runs f on the loop and waits for it.
func (sc *scene) on(f func()) {
	var done env.Gate
	sc.s.loop.post(sc.s.loop.now(), eventStop, func(float64) {
		f()
		done.Open()
	})
	done.Wait(sc.w)
}

// counters are the core's, read on its loop.
func (sc *scene) counters() (c Counters) {
	sc.on(func() {
		c = sc.s.core.counters
		c.Reasons = maps.Clone(c.Reasons)
	})
	return c
}

// hookAccept has f called for what is accepted from now on.
func (sc *scene) hookAccept(h *held, f func(net.Conn) net.Conn) {
	h.mu.Lock()
	h.accept = f
	h.mu.Unlock()
	p := sc.connect() // it is accepted by the call that was under way
	p.ask("GET /up HTTP/1.1\r\n\r\n")
	p.conn.Close()
}

// core asks something of the core, on its loop.
func (sc *scene) core(f func(k *core) bool) func() bool {
	return func() (ok bool) {
		sc.on(func() { ok = f(sc.s.core) })
		return ok
	}
}

// heldDial has the next dials wait; it returns what tells that one came and what lets go.
func (sc *scene) heldDial(h *held) (came func() bool, release func()) {
	gate, at := sc.gate(), sc.gate()
	h.holdDials(func(int) error {
		at.Open()
		gate.Wait(h)
		return nil
	})
	return at.Opened, func() {
		h.holdDials(nil)
		gate.Open()
	}
}

// gate is one that opens with the scene's end at the latest.
func (sc *scene) gate() *env.Gate {
	g := &env.Gate{}
	sc.gates = append(sc.gates, g)
	return g
}

// over tells that nothing is waited for any more: each attempt has its outcome, each dial
// its end.
func (k *core) over() bool {
	total := uint64(0)
	for _, n := range k.counters.Outcomes {
		total += n
	}
	return total == k.counters.Sends && len(k.calls) == 0
}

func settled(sc *scene) func() bool {
	return sc.core(func(k *core) bool {
		expectedConns := 0
		for _, s := range sc.s.pool.servers {
			expectedConns += s.expectedConns
		}
		return k.over() && expectedConns == 0
	})
}
