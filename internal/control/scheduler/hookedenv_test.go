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

// hookedEnv is the world of the machine, with real sockets, whose dials and accepts can be hookedEnv
// at a gate, so that what else happens comes just between.
type hookedEnv struct {
	*env.Real
	mu             sync.Mutex
	diskAddr       string // its dials are held
	dialCount      int    // of them so far
	onDial         func(n int) error
	wrapServerConn func(net.Conn) net.Conn // connections to the disk server
	onAccept       func(net.Conn) net.Conn // before the listener hands a connection over
	acceptError    func() error            // in place of an accepted connection
}

func (h *hookedEnv) Dial(ctx context.Context, network, address string, within time.Duration) (net.Conn, error) {
	c, err := h.Real.Dial(ctx, network, address, within)
	h.mu.Lock()
	f, n := h.onDial, h.dialCount
	if address != h.diskAddr || f == nil {
		h.mu.Unlock()
		return c, err
	}
	h.dialCount++
	if h.wrapServerConn != nil && err == nil {
		c = h.wrapServerConn(c)
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

// setDialHook has f called for each dial to the disk server before its connection is handed
// over.
func (h *hookedEnv) setDialHook(f func(n int) error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.onDial = f
}

func (h *hookedEnv) Listen(network, address string) (net.Listener, error) {
	l, err := h.Real.Listen(network, address)
	return &hookedListener{l, h}, err
}

type hookedListener struct {
	net.Listener
	env *hookedEnv
}

func (l *hookedListener) Accept() (net.Conn, error) {
	l.env.mu.Lock()
	refuse, accept := l.env.acceptError, l.env.onAccept
	l.env.mu.Unlock()
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

// closeNotifyConn tells when this side of a connection ended what it sends, and when it closed.
type closeNotifyConn struct {
	*net.TCPConn
	writeClosed, closed *env.Gate
}

func (c *closeNotifyConn) CloseWrite() error {
	defer c.writeClosed.Open()
	return c.TCPConn.CloseWrite()
}

func (c *closeNotifyConn) Close() error {
	defer c.closed.Open()
	defer c.writeClosed.Open()
	return c.TCPConn.Close()
}

// runOnSockets plays f on a scheduler, a simulated disk server and discovery on real sockets.
func runOnSockets(t *testing.T, settings func(string) string, do func(standin.HTTPAsk) standin.HTTPAnswer, f func(sc *harness, h *hookedEnv)) {
	t.Helper()
	h := &hookedEnv{Real: env.NewReal()}
	sc := &harness{t: t, environment: h, schedulerAddr: "127.0.0.1:0"}
	must := func(err error) {
		if err != nil {
			t.Fatal(err)
		}
	}
	var err error
	sc.diskServer, err = standin.ServeHTTPDisk(h.Real, do)
	must(err)
	defer sc.diskServer.Close()
	h.diskAddr = sc.diskServer.Addr
	first := fullListJSON(7, entryJSON("s0", sc.diskServer.Addr, "active", 0))
	sc.discovery, err = standin.ServeHTTPList(h.Real, first)
	must(err)
	defer sc.discovery.Close()
	conf := testConfig(sc.schedulerAddr, sc.discovery.Addr, first)
	if settings != nil {
		conf = settings(conf)
	}
	c, err := ParseConfig([]byte(conf), func(string) string { return "" })
	must(err)
	sc.scheduler, err = Start(h, c, zap.NewNop())
	must(err)
	defer sc.scheduler.Close()
	defer func() {
		for _, g := range sc.gates {
			g.Open()
		}
	}()
	sc.schedulerAddr = sc.scheduler.frontend.listener.Addr().String()
	sc.waitFor("discovery was heard", sc.scheduler.listReceived.Opened)
	sc.waitFor("ready", sc.scheduler.frontend.ready.Opened)
	f(sc, h)
}

// waitFor waits for something that is bound to come.
func (sc *harness) waitFor(what string, ok func() bool) {
	sc.t.Helper()
	for from := time.Now(); !ok(); time.Sleep(200 * time.Microsecond) {
		if time.Since(from) > 10*time.Second {
			sc.t.Fatal("never: " + what)
		}
	}
}

// onLoop runs f onLoop the loop and waits for it.
func (sc *harness) onLoop(f func()) {
	var done env.Gate
	sc.scheduler.loop.post(sc.scheduler.loop.now(), eventStop, func(float64) {
		f()
		done.Open()
	})
	done.Wait(sc.environment)
}

// counters are the core's, read on its loop.
func (sc *harness) counters() (c Counters) {
	sc.onLoop(func() {
		c = sc.scheduler.core.counters
		c.Reasons = maps.Clone(c.Reasons)
	})
	return c
}

// setAcceptHook has f called for what is accepted from now on.
func (sc *harness) setAcceptHook(h *hookedEnv, f func(net.Conn) net.Conn) {
	h.mu.Lock()
	h.onAccept = f
	h.mu.Unlock()
	p := sc.connect() // it is accepted by the call that was under way
	p.roundTrip("GET /up HTTP/1.1\r\n\r\n")
	p.conn.Close()
}

// coreCondition asks something of the coreCondition, on its loop.
func (sc *harness) coreCondition(f func(k *core) bool) func() bool {
	return func() (ok bool) {
		sc.onLoop(func() { ok = f(sc.scheduler.core) })
		return ok
	}
}

// blockDials has the next dials wait; it returns what tells that one came and what lets go.
func (sc *harness) blockDials(h *hookedEnv) (came func() bool, release func()) {
	gate, at := sc.newGate(), sc.newGate()
	h.setDialHook(func(int) error {
		at.Open()
		gate.Wait(h)
		return nil
	})
	return at.Opened, func() {
		h.setDialHook(nil)
		gate.Open()
	}
}

// newGate is one that opens with the scene's end at the latest.
func (sc *harness) newGate() *env.Gate {
	g := &env.Gate{}
	sc.gates = append(sc.gates, g)
	return g
}

// allEnded tells that nothing is waited for any more: each attempt has its outcome, each dial
// its end.
func (k *core) allEnded() bool {
	total := uint64(0)
	for _, n := range k.counters.Outcomes {
		total += n
	}
	return total == k.counters.Sends && len(k.calls) == 0
}

func allEndedAndDialled(sc *harness) func() bool {
	return sc.coreCondition(func(k *core) bool {
		expectedConns := 0
		for _, s := range sc.scheduler.pool.servers {
			expectedConns += s.expectedConns
		}
		return k.allEnded() && expectedConns == 0
	})
}
