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

func (e *hookedEnv) Dial(ctx context.Context, network, address string, timeout time.Duration) (net.Conn, error) {
	conn, err := e.Real.Dial(ctx, network, address, timeout)
	e.mu.Lock()
	hook, index := e.onDial, e.dialCount
	if address != e.diskAddr || hook == nil {
		e.mu.Unlock()
		return conn, err
	}
	e.dialCount++
	if e.wrapServerConn != nil && err == nil {
		conn = e.wrapServerConn(conn)
	}
	e.mu.Unlock()
	if hookErr := hook(index); hookErr != nil {
		if conn != nil {
			conn.Close()
		}
		return nil, hookErr
	}
	return conn, err
}

// setDialHook has f called for each dial to the disk server before its connection is handed
// over.
func (e *hookedEnv) setDialHook(hook func(n int) error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.onDial = hook
}

func (e *hookedEnv) Listen(network, address string) (net.Listener, error) {
	listener, err := e.Real.Listen(network, address)
	return &hookedListener{listener, e}, err
}

type hookedListener struct {
	net.Listener
	hooks *hookedEnv
}

func (l *hookedListener) Accept() (net.Conn, error) {
	l.hooks.mu.Lock()
	failAccept, hook := l.hooks.acceptError, l.hooks.onAccept
	l.hooks.mu.Unlock()
	if failAccept != nil {
		if err := failAccept(); err != nil {
			return nil, err
		}
	}
	conn, err := l.Listener.Accept()
	if err == nil && hook != nil {
		conn = hook(conn)
	}
	return conn, err
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
func runOnSockets(t *testing.T, editConfig func(string) string, respond func(standin.HTTPAsk) standin.HTTPAnswer, test func(h *harness, hooks *hookedEnv)) {
	t.Helper()
	hooks := &hookedEnv{Real: env.NewReal()}
	h := &harness{t: t, environment: hooks, schedulerAddr: "127.0.0.1:0"}
	must := func(err error) {
		if err != nil {
			t.Fatal(err)
		}
	}
	var err error
	h.diskServer, err = standin.ServeHTTPDisk(hooks.Real, respond)
	must(err)
	defer h.diskServer.Close()
	hooks.diskAddr = h.diskServer.Addr
	initialList := fullListJSON(7, entryJSON("s0", h.diskServer.Addr, "active", 0))
	h.discovery, err = standin.ServeHTTPList(hooks.Real, initialList)
	must(err)
	defer h.discovery.Close()
	configJSON := testConfig(h.schedulerAddr, h.discovery.Addr, initialList)
	if editConfig != nil {
		configJSON = editConfig(configJSON)
	}
	config, err := ParseConfig([]byte(configJSON), func(string) string { return "" })
	must(err)
	h.scheduler, err = Start(hooks, config, zap.NewNop())
	must(err)
	defer h.scheduler.Close()
	defer func() {
		for _, gate := range h.gates {
			gate.Open()
		}
	}()
	h.schedulerAddr = h.scheduler.frontend.listener.Addr().String()
	h.waitFor("discovery was heard", h.scheduler.listReceived.Opened)
	h.waitFor("ready", h.scheduler.frontend.ready.Opened)
	test(h, hooks)
}

// waitFor waits for something that is bound to come.
func (h *harness) waitFor(condition string, satisfied func() bool) {
	h.t.Helper()
	for startedAt := time.Now(); !satisfied(); time.Sleep(200 * time.Microsecond) {
		if time.Since(startedAt) > 10*time.Second {
			h.t.Fatal("never: " + condition)
		}
	}
}

// onLoop runs f onLoop the loop and waits for it.
func (h *harness) onLoop(f func()) {
	var done env.Gate
	h.scheduler.loop.post(h.scheduler.loop.now(), eventStop, func(float64) {
		f()
		done.Open()
	})
	done.Wait(h.environment)
}

// counters are the core's, read on its loop.
func (h *harness) counters() (c Counters) {
	h.onLoop(func() {
		c = h.scheduler.core.counters
		c.Reasons = maps.Clone(c.Reasons)
	})
	return c
}

// setAcceptHook has f called for what is accepted from now on.
func (h *harness) setAcceptHook(hooks *hookedEnv, hook func(net.Conn) net.Conn) {
	hooks.mu.Lock()
	hooks.onAccept = hook
	hooks.mu.Unlock()
	client := h.connect() // it is accepted by the call that was under way
	client.roundTrip("GET /up HTTP/1.1\r\n\r\n")
	client.conn.Close()
}

// coreCondition asks something of the coreCondition, on its loop.
func (h *harness) coreCondition(condition func(k *core) bool) func() bool {
	return func() (ok bool) {
		h.onLoop(func() { ok = condition(h.scheduler.core) })
		return ok
	}
}

// blockDials has the next dials wait; it returns what tells that one came and what lets go.
func (h *harness) blockDials(hooks *hookedEnv) (dialled func() bool, release func()) {
	gate, reached := h.newGate(), h.newGate()
	hooks.setDialHook(func(int) error {
		reached.Open()
		gate.Wait(hooks)
		return nil
	})
	return reached.Opened, func() {
		hooks.setDialHook(nil)
		gate.Open()
	}
}

// newGate is one that opens with the scene's end at the latest.
func (h *harness) newGate() *env.Gate {
	gate := &env.Gate{}
	h.gates = append(h.gates, gate)
	return gate
}

// callsEnded tells that nothing is waited for any more: each attempt has its outcome, each dial
// its end.
func (k *core) callsEnded() bool {
	total := uint64(0)
	for _, n := range k.counters.Outcomes {
		total += n
	}
	return total == k.counters.Sends && len(k.calls) == 0
}

func quiescent(h *harness) func() bool {
	return h.coreCondition(func(k *core) bool {
		expectedConns := 0
		for _, server := range h.scheduler.pool.servers {
			expectedConns += server.expectedConns
		}
		return k.callsEnded() && expectedConns == 0
	})
}
