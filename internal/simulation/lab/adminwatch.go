package lab

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"runtime/pprof"
	"sync/atomic"
	"time"

	"merlinhitch/internal/fleet/rollout"
	"merlinhitch/internal/runtime/env"
)

const (
	adminWatchInterval  = 100 * time.Millisecond
	adminAnswerDeadline = 10 * time.Second
)

// adminWatch reads the settings and the status of each running host all the time. A host that does
// not answer within adminAnswerDeadline hangs.
type adminWatch struct {
	fleet *Fleet
	calls atomic.Int64 // answered calls
	ended env.Gate
	tasks env.WaitGroup
	hangs chan error // receives the first hang
}

// hangError reports that a host does not answer.
type hangError struct {
	host, path string
	stacks     []byte // of all goroutines of the process
}

func (e *hangError) Error() string {
	return fmt.Sprintf("host %s has not answered GET %s within %s; stacks of all goroutines:\n%s", e.host, e.path, adminAnswerDeadline, e.stacks)
}

func newAdminWatch() *adminWatch { return &adminWatch{hangs: make(chan error, 1)} }

// start watches the hosts of a fleet until stop is called.
func (w *adminWatch) start(ctx context.Context, fleet *Fleet) {
	w.fleet = fleet
	w.tasks.Go(fleet.Environment, func() {
		for !w.ended.Opened() && ctx.Err() == nil {
			for _, host := range fleet.AdminAPIs() {
				w.readAll(ctx, host)
				host.API.Close()
			}
			env.Sleep(fleet.Environment, adminWatchInterval, &w.ended)
		}
	})
}

// stop ends the watch; no call is open afterwards.
func (w *adminWatch) stop() {
	w.ended.Open()
	w.tasks.Wait(w.fleet.Environment)
}

func (w *adminWatch) readAll(ctx context.Context, host *rollout.Host) {
	for _, path := range []string{"/settings", "/status"} {
		callContext, cancel := context.WithTimeout(ctx, adminAnswerDeadline)
		err := host.API.Read(callContext, path, &json.RawMessage{})
		cancel()
		switch {
		case err == nil:
			w.calls.Add(1)
		case errors.Is(err, context.DeadlineExceeded) && ctx.Err() == nil:
			w.reportHang(host.Name, path)
			return
		default:
			return // the host was stopped in between
		}
	}
}

func (w *adminWatch) reportHang(host, path string) {
	var stacks bytes.Buffer
	pprof.Lookup("goroutine").WriteTo(&stacks, 1)
	select {
	case w.hangs <- &hangError{host: host, path: path, stacks: stacks.Bytes()}:
	default: // one is enough
	}
}
