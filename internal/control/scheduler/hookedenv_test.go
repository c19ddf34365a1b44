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

// hookedEnv is the real environment with hooks in dials and accepts. A hook can block or fail the
// call, so that a test can make another event happen during it.
type hookedEnv struct {
	*env.Real
	mu             sync.Mutex
	diskAddr       string                  // only dials to this address are hooked
	dialCount      int                     // hooked dials so far
	onDial         func(index int) error   // called for each hooked dial with its index; an error fails the dial
	wrapServerConn func(net.Conn) net.Conn // replaces hooked connections; nil: none is replaced
	onAccept       func(net.Conn) net.Conn // replaces accepted connections before Accept returns; nil: none is replaced
	acceptError    func() error            // called before Accept; an error fails it
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

// setDialHook makes hook run for each dial to the disk server, after the real dial and before Dial
// returns; nil removes the hook.
func (e *hookedEnv) setDialHook(hook func(index int) error) {
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

// closeNotifyConn opens writeClosed when its write side or the connection is closed, and closed
// when the connection is closed.
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

// runOnSockets runs test with a scheduler, a simulated disk server and discovery service on
// loopback sockets. editConfig, if not nil, changes the configuration's JSON.
func runOnSockets(t *testing.T, editConfig func(string) string, respond func(standin.HTTPRequest) standin.HTTPResponse, test func(h *harness, hooks *hookedEnv)) {
	t.Helper()
	runOnSocketsWithLog(t, zap.NewNop(), editConfig, respond, test)
}

// runOnSocketsWithLog is runOnSockets with a log of the scheduler.
func runOnSocketsWithLog(t *testing.T, log *zap.Logger, editConfig func(string) string, respond func(standin.HTTPRequest) standin.HTTPResponse, test func(h *harness, hooks *hookedEnv)) {
	t.Helper()
	hooks := &hookedEnv{Real: env.NewReal()}
	h := &harness{t: t, environment: hooks, schedulerAddr: "127.0.0.1:0"}
	must := func(err error) {
		if err != nil {
			t.Fatal(err)
		}
	}
	var err error
	h.diskServer, err = standin.ServeHTTPDiskServer(hooks.Real, respond)
	must(err)
	defer h.diskServer.Close()
	hooks.diskAddr = h.diskServer.Addr
	initialList := fullListJSON(7, entryJSON("s0", h.diskServer.Addr, "active", 0))
	h.discovery, err = standin.ServeHTTPDiscovery(hooks.Real, initialList)
	must(err)
	defer h.discovery.Close()
	configJSON := testConfig(h.schedulerAddr, h.discovery.Addr, initialList)
	if editConfig != nil {
		configJSON = editConfig(configJSON)
	}
	config, err := ParseConfig([]byte(configJSON), func(string) string { return "" })
	must(err)
	h.scheduler, err = Start(hooks, config, log)
	must(err)
	defer h.scheduler.Close()
	defer func() {
		for _, gate := range h.gates {
			gate.Open()
		}
	}()
	h.schedulerAddr = h.scheduler.frontend.listener.Addr().String()
	h.waitFor("the scheduler has received a server list", h.scheduler.listReceived.Opened)
	h.waitFor("the scheduler is ready", h.scheduler.frontend.ready.Opened)
	test(h, hooks)
}

// waitFor waits until satisfied returns true, and fails the test after 10 s.
func (h *harness) waitFor(condition string, satisfied func() bool) {
	h.t.Helper()
	for startedAt := time.Now(); !satisfied(); time.Sleep(200 * time.Microsecond) {
		if time.Since(startedAt) > 10*time.Second {
			h.t.Fatal("not reached within 10 s: " + condition)
		}
	}
}

// onLoop runs f on the scheduler's loop and waits for it.
func (h *harness) onLoop(f func()) {
	var done env.Gate
	h.scheduler.loop.post(h.scheduler.loop.now(), eventStop, func(float64) {
		f()
		done.Open()
	})
	done.Wait(h.environment)
}

// counters returns a copy of the core's counters, read on the loop.
func (h *harness) counters() (c Counters) {
	h.onLoop(func() {
		c = h.scheduler.core.counters
		c.Reasons = maps.Clone(c.Reasons)
	})
	return c
}

// setAcceptHook makes hook run for connections accepted from now on.
func (h *harness) setAcceptHook(hooks *hookedEnv, hook func(net.Conn) net.Conn) {
	hooks.mu.Lock()
	hooks.onAccept = hook
	hooks.mu.Unlock()
	client := h.connect() // accepted by the Accept call that began before the hook was set
	client.roundTrip("GET /up HTTP/1.1\r\n\r\n")
	client.conn.Close()
}

// coreCondition returns a function that evaluates condition on the loop.
func (h *harness) coreCondition(condition func(k *core) bool) func() bool {
	return func() (ok bool) {
		h.onLoop(func() { ok = condition(h.scheduler.core) })
		return ok
	}
}

// blockDials blocks dials to the disk server from now on. dialled reports whether a dial has been
// blocked; release unblocks them and later ones.
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

// newGate returns a gate that opens when the test ends, if not before.
func (h *harness) newGate() *env.Gate {
	gate := &env.Gate{}
	h.gates = append(h.gates, gate)
	return gate
}

// callsEnded reports whether no call is open and every attempt has an outcome.
func (k *core) callsEnded() bool {
	total := uint64(0)
	for _, n := range k.counters.Outcomes {
		total += n
	}
	return total == k.counters.Sends && len(k.calls) == 0
}

// quiescent returns a condition for waitFor: no call, attempt or dial is outstanding, and no
// connection to a disk server is in quarantine.
func quiescent(h *harness) func() bool {
	return h.coreCondition(func(k *core) bool {
		expectedConns := 0
		for _, server := range h.scheduler.pool.servers {
			expectedConns += server.expectedConns
		}
		return k.callsEnded() && expectedConns == 0
	})
}
