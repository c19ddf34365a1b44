package scheduler

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"merlinhitch/internal/simulation/standin"
	"merlinhitch/policy"
)

// Each end of an attempt must be reported to the policy with its own result, which decides whether
// the request may have been executed and whether a write may be sent again.
func TestAttemptResults(t *testing.T) {
	const notStartedFields = "Not-Started: 1\r\nContent-Length: 0\r\n\r\n"
	for name, tc := range map[string]struct {
		response   standin.HTTPResponse
		wantResult policy.Result
	}{
		"complete response":               {standin.HTTPResponse{Raw: []byte(ok200)}, policy.Served},
		"complete response, then close":   {standin.HTTPResponse{Raw: []byte(ok200), Close: true}, policy.Served},
		"complete response, then reset":   {standin.HTTPResponse{Raw: []byte(ok200), Reset: true}, policy.ConnectionLost},
		"chunked response":                {standin.HTTPResponse{Raw: []byte("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\nX: y\r\n\r\n")}, policy.Served},
		"response after 1xx":              {standin.HTTPResponse{Raw: []byte("HTTP/1.1 102 Wait\r\n\r\n" + ok200)}, policy.Served},
		"body delimited by close":         {standin.HTTPResponse{Raw: []byte("HTTP/1.1 200 OK\r\n\r\nhi"), Close: true}, policy.Served},
		"500":                             {standin.HTTPResponse{Raw: []byte("HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n")}, policy.ServerError},
		"404":                             {standin.HTTPResponse{Raw: []byte("HTTP/1.1 404 No\r\nContent-Length: 0\r\n\r\n")}, policy.ServerError},
		"503":                             {standin.HTTPResponse{Raw: []byte("HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n")}, policy.ServerError},
		"503, not started":                {standin.HTTPResponse{Raw: []byte("HTTP/1.1 503 No\r\n" + notStartedFields)}, policy.Rejected},
		"504, not started":                {standin.HTTPResponse{Raw: []byte("HTTP/1.1 504 No\r\n" + notStartedFields)}, policy.Rejected},
		"500, not started":                {standin.HTTPResponse{Raw: []byte("HTTP/1.1 500 No\r\n" + notStartedFields)}, policy.ServerError},
		"malformed response":              {standin.HTTPResponse{Raw: []byte("\x00\x01\r\n\r\n")}, policy.ServerError},
		"close":                           {standin.HTTPResponse{Close: true}, policy.ConnectionLost},
		"reset":                           {standin.HTTPResponse{Reset: true}, policy.ConnectionLost},
		"partial head, then close":        {standin.HTTPResponse{Raw: []byte(ok200[:12]), Close: true}, policy.ConnectionLost},
		"partial body, then close":        {standin.HTTPResponse{Raw: []byte(ok200[:len(ok200)-1]), Close: true}, policy.ConnectionLost},
		"partial body, then reset":        {standin.HTTPResponse{Raw: []byte(ok200[:len(ok200)-1]), Reset: true}, policy.ConnectionLost},
		"no last chunk":                   {standin.HTTPResponse{Raw: []byte("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n"), Close: true}, policy.ConnectionLost},
		"body without length, then reset": {standin.HTTPResponse{Raw: []byte("HTTP/1.1 200 OK\r\n\r\nhi"), Reset: true}, policy.ConnectionLost},
		"no response":                     {standin.HTTPResponse{Delay: time.Hour}, policy.NoAnswer},
		"body without length, no close":   {standin.HTTPResponse{Raw: []byte("HTTP/1.1 200 OK\r\n\r\nhi")}, policy.NoAnswer},
		"body over the limit":             {standin.HTTPResponse{Raw: []byte("HTTP/1.1 200 OK\r\n\r\n" + strings.Repeat("x", maxResponseBytes+1))}, policy.ServerError},
	} {
		t.Run(name, func(t *testing.T) {
			response := tc.response
			if response.Delay > 0 {
				response = standin.HTTPResponse{}
			}
			// A write that must not be repeated: the response follows from its only attempt.
			makeUnsafe := func(config string) string {
				config = strings.Replace(config, `"effect":"idempotency_key","group":"cell","key_ttl_ms":6000`, `"effect":"unsafe"`, 1)
				return strings.Replace(config, `"attempts_cap":4`, `"attempts_cap":1`, 1)
			}
			runOnSockets(t, makeUnsafe, func(standin.HTTPRequest) standin.HTTPResponse { return response }, func(h *harness, hooks *hookedEnv) {
				timeout := "3" // seconds; enough for each response on a slow machine
				if tc.wantResult == policy.NoAnswer {
					timeout = "0.300"
				}
				got := h.connect().roundTrip(h.formatRequest("PUT", "txn-write", "00000000000000aa", timeout, "x"))
				wantStatus := map[policy.Result]int{policy.Served: 200, policy.Rejected: 503}[tc.wantResult]
				if wantStatus == 0 {
					wantStatus = 504
				}
				if got.status != wantStatus {
					t.Errorf("got response %+v, want status %d", got, wantStatus)
				}
				h.waitFor("all attempts and dials have ended", quiescent(h))
				if counters := h.counters(); counters.Sends != 1 || counters.Outcomes[tc.wantResult] != 1 {
					t.Errorf("got counters %+v, want one attempt with result %d", counters, tc.wantResult)
				}
			})
		})
	}
}

// An attempt whose connection is refused must count as not executed.
func TestConnectionRefusedByServer(t *testing.T) {
	runOnSockets(t, nil, respondWith(ok200), func(h *harness, hooks *hookedEnv) {
		h.diskServer.Close()
		got := h.connect().roundTrip(h.formatRequest("PUT", "txn-write", "00000000000000aa", "0.300", "x", "Idempotency-Key: k\r\n"))
		if counters := h.counters(); got.status != 503 || counters.Outcomes[policy.NoConnection] == 0 || counters.Outcomes[policy.NoConnection] != counters.Sends {
			t.Errorf("got response %+v with counters %+v, want status 503 and NoConnection for every attempt", got, counters)
		}
	})
}

// After a reload, new classes and plans must be served and removed ones refused, new timeouts must
// apply, and a request that is already open must end under the settings it arrived with.
func TestReloadAppliesToFrontend(t *testing.T) {
	runOnSockets(t, nil, respondWith(ok200), func(h *harness, hooks *hookedEnv) {
		oldConfigJSON := testConfig(h.schedulerAddr, h.discovery.Addr, fullListJSON(7))
		newConfigJSON := strings.NewReplacer(`"name":"txn-write"`, `"name":"audit-write"`, `"name":"gold"`, `"name":"iron"`, `"give_up_ms":4000`, `"give_up_ms":700`,
			`"give_up_ms":2000`, `"give_up_ms":600`, `"dial_timeout_ms":250`, `"dial_timeout_ms":400`, `"memory_mb":64`, `"memory_mb":32`).Replace(oldConfigJSON)
		oldRequest := h.formatRequest("PUT", "txn-write", "00000000000000aa", "3", "x", "Idempotency-Key: k\r\n")
		newRequest := strings.NewReplacer("txn-write", "audit-write", "gold", "iron", "aa", "ab").Replace(oldRequest)
		client := h.connect()
		if got := h.connect().roundTrip(newRequest); got.status != 404 {
			t.Error("class not configured before the reload: want status 404, got", got)
		}
		dialled, release := h.blockDials(hooks)
		fmt.Fprint(client.conn, oldRequest)
		h.waitFor("a dial has started", dialled)
		config, err := ParseConfig([]byte(newConfigJSON), func(string) string { return "" })
		if err != nil {
			t.Fatal(err)
		}
		h.scheduler.Reload(config)
		release()
		if got := client.readResponse(0); got.status != 200 {
			t.Error("request open during the reload: want status 200, got", got)
		}
		if got := h.connect().roundTrip(strings.Replace(newRequest, "ab", "ac", 1)); got.status != 200 {
			t.Error("new class and plan: want status 200, got", got)
		}
		if got := h.connect().roundTrip(strings.Replace(oldRequest, "aa", "ad", 1)); got.status != 404 {
			t.Error("removed class: want status 404, got", got)
		}
		var dialTimeout time.Duration
		h.onLoop(func() { dialTimeout = h.scheduler.pool.dialTimeout })
		oldPlan, newPlan := PlanMemory(Limits{MemoryMB: 64, Sockets: 64}), PlanMemory(Limits{MemoryMB: 32, Sockets: 64})
		limit := h.scheduler.memory.answers.limit.Load()
		if dialTimeout != 400*time.Millisecond || limit != newPlan.answers || newPlan.answers >= oldPlan.answers {
			t.Errorf("got a dial timeout of %s and a limit of %d bytes of answers, want 400 ms and %d, less than before, %d", dialTimeout, limit, newPlan.answers, oldPlan.answers)
		}
		drainStartedAt := time.Now()
		h.scheduler.Drain()
		if elapsed := time.Since(drainStartedAt); elapsed > 2500*time.Millisecond { // 3.7 s with the first settings
			t.Errorf("drain took %s, want at most 2.5 s", elapsed)
		}
	})
}
