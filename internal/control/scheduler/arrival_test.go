package scheduler

import (
	"fmt"
	"net"
	"strings"
	"testing"
	"time"

	"merlinhitch/internal/runtime/env"
	"merlinhitch/internal/simulation/standin"
)

// The tests in this file hold up goroutines of the scheduler between the arrival of a request and the
// write of its attempt.

// heldUpTime is for how long the tests hold up a goroutine: well over the excess of Request-Timeout
// that the platform allows.
var heldUpTime = 3 * scenarioRules.maxTimeoutExcess

// heldReadConn holds back what its reads return while gate is set and not open.
type heldReadConn struct {
	*net.TCPConn
	gate chan *env.Gate // holds the gate of the next read
}

func (c *heldReadConn) Read(b []byte) (int, error) {
	n, err := c.TCPConn.Read(b)
	select {
	case gate := <-c.gate:
		<-gate.Chan()
	default:
	}
	return n, err
}

// connectHeld opens a client connection, has one request answered on it, and returns it with a function
// that holds back the scheduler's next read on it until the gate opens.
func connectHeld(h *harness, hooks *hookedEnv) (client *testClient, holdNextRead func() *env.Gate) {
	h.t.Helper()
	accepted := make(chan *heldReadConn, 1)
	h.setAcceptHook(hooks, func(conn net.Conn) net.Conn {
		held := &heldReadConn{conn.(*net.TCPConn), make(chan *env.Gate, 1)}
		accepted <- held
		return held
	})
	client = h.connect()
	conn := <-accepted
	if got := client.roundTrip(strings.Replace(h.getRequest(), "0.480", "9.000", 1)); got.status != 200 {
		h.t.Fatalf("first request of the connection: got %+v, want status 200", got)
	}
	return client, func() *env.Gate {
		gate := h.newGate()
		conn.gate <- gate
		return gate
	}
}

// A request that lies in its socket because the process runs late must be sent on with no more time
// than its client has left.
func TestTimeInTheSocketCountsForTheTimeTold(t *testing.T) {
	runOnSockets(t, longTimeouts.Replace, respondWith(ok200), func(h *harness, hooks *hookedEnv) {
		client, holdNextRead := connectHeld(h, hooks)
		gate := holdNextRead()
		fmt.Fprint(client.conn, strings.Replace(h.getRequest(), "0.480", "9.000", 1))
		sentAt := h.environment.Now()
		env.Sleep(h.environment, heldUpTime, nil)
		delay := h.environment.Now() - sentAt
		gate.Open()
		h.waitFor("the disk server has received the request", func() bool { return len(h.diskServer.Requests()) > 1 })
		timeout, err := time.ParseDuration(h.diskServer.Requests()[1].Fields.Get("request-timeout") + "s")
		if limit := 9*time.Second - delay + scenarioRules.maxTimeoutExcess; err != nil || timeout > limit {
			t.Errorf("got Request-Timeout %s after %s in the socket, want at most %s", timeout, delay, limit)
		}
	})
}

// A request that lies in its socket because the process runs late must get its final answer within
// half a second of its client's deadline.
func TestTimeInTheSocketCountsForTheFinalAnswer(t *testing.T) {
	answerFirst := func(r standin.HTTPRequest) standin.HTTPResponse {
		if r.Fields.Get("request-id") == fmt.Sprintf("%016x", 1) {
			return standin.HTTPResponse{Raw: []byte(ok200)}
		}
		return standin.HTTPResponse{}
	}
	runOnSockets(t, longTimeouts.Replace, answerFirst, func(h *harness, hooks *hookedEnv) {
		client, holdNextRead := connectHeld(h, hooks)
		gate := holdNextRead()
		const timeout, delay, answerSlack = 1500 * time.Millisecond, time.Second, 500 * time.Millisecond
		sentAt := h.environment.Now()
		fmt.Fprint(client.conn, strings.Replace(h.getRequest(), "0.480", "1.500", 1))
		env.Sleep(h.environment, delay, nil)
		gate.Open()
		got := client.readResponse(sentAt)
		if got.status == 0 || got.elapsed > timeout+answerSlack {
			t.Errorf("got status %d after %s, want a final answer within %s", got.status, got.elapsed, timeout+answerSlack)
		}
	})
}

// The time in the socket of one request must not count for the next on its connection.
func TestTimeInTheSocketDoesNotCountForTheNextRequest(t *testing.T) {
	runOnSockets(t, longTimeouts.Replace, respondWith(ok200), func(h *harness, hooks *hookedEnv) {
		client, holdNextRead := connectHeld(h, hooks)
		gate := holdNextRead()
		fmt.Fprint(client.conn, strings.Replace(h.getRequest(), "0.480", "9.000", 1))
		env.Sleep(h.environment, heldUpTime, nil)
		gate.Open()
		if got := client.readResponse(h.environment.Now()); got.status != 200 {
			t.Fatalf("second request: got %+v, want status 200", got)
		}
		sentAt := h.environment.Now()
		fmt.Fprint(client.conn, strings.Replace(h.getRequest(), "0.480", "9.000", 1))
		h.waitFor("the disk server has received the request", func() bool { return len(h.diskServer.Requests()) > 2 })
		elapsed := h.environment.Now() - sentAt
		timeout, err := time.ParseDuration(h.diskServer.Requests()[2].Fields.Get("request-timeout") + "s")
		if least := 9*time.Second - elapsed - 2*time.Millisecond; err != nil || timeout < least {
			t.Errorf("got Request-Timeout %s %s after the request was sent, want at least %s", timeout, elapsed, least)
		}
	})
}

// An attempt that waits, just before its write, for a list to be applied must tell its disk server no
// more time than is left afterwards.
func TestWaitForTheListCountsForTheTimeTold(t *testing.T) {
	runOnSockets(t, longTimeouts.Replace, respondWith(ok200), func(h *harness, hooks *hookedEnv) {
		reached, gate := h.blockWrites(hooks)
		fmt.Fprint(h.connect().conn, strings.Replace(h.getRequest(), "0.480", "9.000", 1))
		h.waitFor("a write is blocked", reached.Opened)
		states := &h.scheduler.pool.serverStates
		states.mu.Lock()
		gate.Open()
		startedAt := h.environment.Now()
		env.Sleep(h.environment, heldUpTime, nil)
		delay := h.environment.Now() - startedAt
		states.mu.Unlock()
		h.waitFor("the disk server has received the request", func() bool { return len(h.diskServer.Requests()) > 0 })
		timeout, err := time.ParseDuration(h.diskServer.Requests()[0].Fields.Get("request-timeout") + "s")
		if limit := 9*time.Second - delay + scenarioRules.maxTimeoutExcess; err != nil || timeout > limit {
			t.Errorf("got Request-Timeout %s after a wait of %s, want at most %s", timeout, delay, limit)
		}
	})
}
