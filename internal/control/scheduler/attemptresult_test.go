package scheduler

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"merlinhitch/internal/simulation/standin"
	"merlinhitch/policy"
)

// Each way in which an attempt can end is told to the module as what it is: whether it may
// have run follows from it, and with it whether a write may go again.
func TestAttemptResults(t *testing.T) {
	const notStartedFields = "Not-Started: 1\r\nContent-Length: 0\r\n\r\n"
	for name, tc := range map[string]struct {
		response   standin.HTTPAnswer
		wantResult policy.Result
	}{
		"a whole answer":           {standin.HTTPAnswer{Raw: []byte(ok200)}, policy.Served},
		"a whole answer and end":   {standin.HTTPAnswer{Raw: []byte(ok200), Close: true}, policy.Served},
		"in chunks":                {standin.HTTPAnswer{Raw: []byte("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\nX: y\r\n\r\n")}, policy.Served},
		"after 1xx":                {standin.HTTPAnswer{Raw: []byte("HTTP/1.1 102 Wait\r\n\r\n" + ok200)}, policy.Served},
		"up to the close":          {standin.HTTPAnswer{Raw: []byte("HTTP/1.1 200 OK\r\n\r\nhi"), Close: true}, policy.Served},
		"500":                      {standin.HTTPAnswer{Raw: []byte("HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n")}, policy.ServerError},
		"404":                      {standin.HTTPAnswer{Raw: []byte("HTTP/1.1 404 No\r\nContent-Length: 0\r\n\r\n")}, policy.ServerError},
		"503":                      {standin.HTTPAnswer{Raw: []byte("HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n")}, policy.ServerError},
		"503 not started":          {standin.HTTPAnswer{Raw: []byte("HTTP/1.1 503 No\r\n" + notStartedFields)}, policy.Rejected},
		"504 not started":          {standin.HTTPAnswer{Raw: []byte("HTTP/1.1 504 No\r\n" + notStartedFields)}, policy.Rejected},
		"500 not started":          {standin.HTTPAnswer{Raw: []byte("HTTP/1.1 500 No\r\n" + notStartedFields)}, policy.ServerError},
		"noise":                    {standin.HTTPAnswer{Raw: []byte("\x00\x01\r\n\r\n")}, policy.ServerError},
		"its end":                  {standin.HTTPAnswer{Close: true}, policy.ConnectionLost},
		"a reset":                  {standin.HTTPAnswer{Reset: true}, policy.ConnectionLost},
		"half a head and end":      {standin.HTTPAnswer{Raw: []byte(ok200[:12]), Close: true}, policy.ConnectionLost},
		"half a body and end":      {standin.HTTPAnswer{Raw: []byte(ok200[:len(ok200)-1]), Close: true}, policy.ConnectionLost},
		"half a body and reset":    {standin.HTTPAnswer{Raw: []byte(ok200[:len(ok200)-1]), Reset: true}, policy.ConnectionLost},
		"chunks without the last":  {standin.HTTPAnswer{Raw: []byte("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n"), Close: true}, policy.ConnectionLost},
		"up to a reset":            {standin.HTTPAnswer{Raw: []byte("HTTP/1.1 200 OK\r\n\r\nhi"), Reset: true}, policy.ConnectionLost},
		"nothing":                  {standin.HTTPAnswer{After: time.Hour}, policy.NoAnswer},
		"a body that never ends":   {standin.HTTPAnswer{Raw: []byte("HTTP/1.1 200 OK\r\n\r\nhi")}, policy.NoAnswer},
		"a body beyond the bounds": {standin.HTTPAnswer{Raw: []byte("HTTP/1.1 200 OK\r\n\r\n" + strings.Repeat("x", maxResponseBytes+1))}, policy.ServerError},
	} {
		t.Run(name, func(t *testing.T) {
			response := tc.response
			if response.After > 0 {
				response = standin.HTTPAnswer{}
			}
			// A write that may have run and that nothing may repeat: one attempt tells it all.
			makeUnsafe := func(config string) string {
				config = strings.Replace(config, `"effect":"idempotency_key","group":"cell","key_ttl_ms":6000`, `"effect":"unsafe"`, 1)
				return strings.Replace(config, `"attempts_cap":4`, `"attempts_cap":1`, 1)
			}
			runOnSockets(t, makeUnsafe, func(standin.HTTPAsk) standin.HTTPAnswer { return response }, func(h *harness, hooks *hookedEnv) {
				timeout := "3" // enough for each answer, however slow the machine is
				if tc.wantResult == policy.NoAnswer {
					timeout = "0.300"
				}
				got := h.connect().roundTrip(h.formatRequest("PUT", "txn-write", "00000000000000aa", timeout, "x"))
				wantStatus := map[policy.Result]int{policy.Served: 200, policy.Rejected: 503}[tc.wantResult]
				if wantStatus == 0 {
					wantStatus = 504
				}
				if got.status != wantStatus {
					t.Errorf("%+v, want %d", got, wantStatus)
				}
				h.waitFor("it is over", quiescent(h))
				if counters := h.counters(); counters.Sends != 1 || counters.Outcomes[tc.wantResult] != 1 {
					t.Errorf("%+v, want one of %d", counters, tc.wantResult)
				}
			})
		})
	}
}

// A disk server that can't be reached has run nothing.
func TestConnectionRefusedByServer(t *testing.T) {
	runOnSockets(t, nil, respondWith(ok200), func(h *harness, hooks *hookedEnv) {
		h.diskServer.Close()
		got := h.connect().roundTrip(h.formatRequest("PUT", "txn-write", "00000000000000aa", "0.300", "x", "Idempotency-Key: k\r\n"))
		if counters := h.counters(); got.status != 503 || counters.Outcomes[policy.NoConnection] == 0 || counters.Outcomes[policy.NoConnection] != counters.Sends {
			t.Errorf("%+v, %+v", got, counters)
		}
	})
}

// A reload brings classes, plans and deadlines that were not there; what is under way ends
// under those it was taken with, and what the file leaves out is served no more.
func TestReloadAppliesToFrontend(t *testing.T) {
	runOnSockets(t, nil, respondWith(ok200), func(h *harness, hooks *hookedEnv) {
		oldConfigJSON := testConfig(h.schedulerAddr, h.discovery.Addr, fullListJSON(7))
		newConfigJSON := strings.NewReplacer(`"name":"txn-write"`, `"name":"audit-write"`, `"name":"gold"`, `"name":"iron"`, `"give_up_ms":4000`, `"give_up_ms":700`,
			`"give_up_ms":2000`, `"give_up_ms":600`, `"dial_timeout_ms":250`, `"dial_timeout_ms":400`, `"memory_mb":64`, `"memory_mb":32`).Replace(oldConfigJSON)
		oldRequest := h.formatRequest("PUT", "txn-write", "00000000000000aa", "3", "x", "Idempotency-Key: k\r\n")
		newRequest := strings.NewReplacer("txn-write", "audit-write", "gold", "iron", "aa", "ab").Replace(oldRequest)
		client := h.connect()
		if got := h.connect().roundTrip(newRequest); got.status != 404 {
			t.Error("before the reload:", got)
		}
		dialled, release := h.blockDials(hooks)
		fmt.Fprint(client.conn, oldRequest)
		h.waitFor("the dial", dialled)
		config, err := ParseConfig([]byte(newConfigJSON), func(string) string { return "" })
		if err != nil {
			t.Fatal(err)
		}
		h.scheduler.Reload(config)
		release()
		if got := client.readResponse(0); got.status != 200 {
			t.Error("taken before the reload:", got)
		}
		if got := h.connect().roundTrip(strings.Replace(newRequest, "ab", "ac", 1)); got.status != 200 {
			t.Error("a new class and plan:", got)
		}
		if got := h.connect().roundTrip(strings.Replace(oldRequest, "aa", "ad", 1)); got.status != 404 {
			t.Error("a class that is gone:", got)
		}
		var dialTimeout time.Duration
		h.onLoop(func() { dialTimeout = h.scheduler.pool.dialTimeout })
		if dialTimeout != 400*time.Millisecond || h.scheduler.frontend.byteLimit.Load() != 4<<20 {
			t.Errorf("dials within %s, %d bytes of bodies", dialTimeout, h.scheduler.frontend.byteLimit.Load())
		}
		drainStart := time.Now()
		h.scheduler.Drain()
		if elapsed := time.Since(drainStart); elapsed > 2500*time.Millisecond { // 3.7 s with those of the start
			t.Errorf("the drain took %s", elapsed)
		}
	})
}
