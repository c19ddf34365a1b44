package bgp_test

import (
	"context"
	"net"
	"os"
	"testing"
	"time"

	"go.uber.org/zap"

	"merlinhitch/internal/protocol/bgp"
	"merlinhitch/internal/runtime/env"
	"merlinhitch/internal/simulation/standin"
	"merlinhitch/internal/simulation/world"
)

// slowDialEnv is an environment in which each connection takes a time to be accepted.
type slowDialEnv struct {
	*world.Process
	delay time.Duration
}

func (e *slowDialEnv) Dial(ctx context.Context, network, address string, timeout time.Duration) (net.Conn, error) {
	full := env.SleepContext(ctx, e, min(e.delay, timeout))
	if !full || e.delay > timeout {
		return nil, os.ErrDeadlineExceeded
	}
	return e.Process.Dial(ctx, network, address, timeout-e.delay)
}

// A peer that accepts each connection slowly must be reached: each was given up after 2 s and opened anew.
func TestPeerThatAcceptsSlowly(t *testing.T) {
	for _, delay := range []time.Duration{0, 1500, 2500, 6000, 11000} {
		delay *= time.Millisecond
		t.Run(delay.String(), func(t *testing.T) {
			err := world.New(1).Run("n0", time.Hour, func(process *world.Process) {
				router, err := standin.ServeRouter(process, "127.0.0.1:0", 65010)
				if err != nil {
					panic(err)
				}
				peer := neighbour(router)
				peer.Times = bgp.DefaultTimes
				s, err := bgp.StartSpeaker(&slowDialEnv{process, delay}, zap.NewNop(), "", []bgp.Neighbour{peer})
				if err != nil {
					panic(err)
				}
				env.Sleep(process, delay+2*time.Second, nil)
				if status := s.Status()[0]; status.State != "Established" || status.Ups != 1 {
					t.Errorf("got peer %+v after %s, want it established once", status, process.Now())
				}
				env.Sleep(process, 3*delay, nil) // connections that came beside it
				if status := s.Status()[0]; status.State != "Established" || status.Ups != 1 {
					t.Errorf("got peer %+v after %s, want it still established", status, process.Now())
				}
				s.Close("end of the test")
				router.Close()
			})
			if err != nil {
				t.Fatal(err)
			}
		})
	}
}
