package gateway

import (
	"bufio"
	"net"
	"testing"
	"time"

	"go.uber.org/zap"

	"merlinhitch/internal/control/settings"
	"merlinhitch/internal/fleet/region"
	"merlinhitch/internal/protocol/inventory"
	"merlinhitch/internal/runtime/env"
	"merlinhitch/internal/simulation/world"
)

// slowLeaseInventory grants each lease after a delay, one request of a connection at a time.
type slowLeaseInventory struct {
	environment env.Environment
	delay       time.Duration // below 0: no request is answered
	conns       []net.Conn
	requests    int
}

func (s *slowLeaseInventory) serve(conn net.Conn) {
	reader := bufio.NewReader(conn)
	var request inventory.Ask
	for inventory.ReadLine(reader, &request) == nil {
		s.requests++
		if s.delay < 0 {
			continue
		}
		env.Sleep(s.environment, s.delay, nil)
		grant := region.Grant{Ask: request.Ask, Lease: 3000, Record: region.Begin(0, []region.ID{0}, nil)}
		if _, err := conn.Write(inventory.Line(inventory.List{Kind: inventory.Granted, Grant: &grant})); err != nil {
			return
		}
	}
}

// runLeaseRenewer runs test in a simulated environment with the leaseRenewer of a host.
func runLeaseRenewer(t *testing.T, test func(s *slowLeaseInventory, h *host)) {
	t.Helper()
	err := world.New(1).Run("n0", 10*time.Minute, func(process *world.Process) {
		listener, err := process.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			panic(err)
		}
		s := &slowLeaseInventory{environment: process}
		var tasks env.WaitGroup
		tasks.Go(process, func() {
			for {
				conn, err := listener.Accept()
				if err != nil {
					return
				}
				s.conns = append(s.conns, conn)
				tasks.Go(process, func() { s.serve(conn) })
			}
		})
		serviceSettings := settings.Example(1, 1)
		serviceSettings.Regions = &settings.Regions{LeaseTime: 3000, PeerTimeout: 1500, Drift: 0.01, Hosts: []int{0}}
		h := newHost(process, serviceSettings, 0, "h0", "z0", nil, zap.NewNop())
		renewer := newLeaseRenewer(process, h, listener.Addr().String(), serviceSettings.Regions, zap.NewNop())
		test(s, h)
		renewer.close()
		h.stop()
		listener.Close()
		for _, conn := range s.conns {
			conn.Close()
		}
		tasks.Wait(process)
	})
	if err != nil {
		t.Fatal(err)
	}
}

func (h *host) holdsLease() (holds bool) {
	h.runAndWait(func(c *core) { holds = c.regions.Holds(c.now) })
	return holds
}

// A host whose inventory grants leases late must hold one all the time from the first grant on: a request was
// given up after a third of a lease and made anew, so that no grant was ever heard.
func TestLeaseOfASlowInventory(t *testing.T) {
	for _, delay := range []time.Duration{0, 300, 900, 1100, 1500, 2000, 2300} {
		delay *= time.Millisecond
		t.Run(delay.String(), func(t *testing.T) {
			runLeaseRenewer(t, func(s *slowLeaseInventory, h *host) {
				s.delay = delay
				env.Sleep(s.environment, delay+50*time.Millisecond, nil)
				for s.environment.Now() < 30*time.Second {
					if !h.holdsLease() {
						t.Fatalf("no lease at %s, with %d connections and %d requests", s.environment.Now(), len(s.conns), s.requests)
					}
					env.Sleep(s.environment, 10*time.Millisecond, nil)
				}
				if wantConns := int(delay/(500*time.Millisecond)) + 1; len(s.conns) > wantConns || s.requests > 62 {
					t.Errorf("got %d connections and %d requests in 30 s, want %d and 62 at the most", len(s.conns), s.requests, wantConns)
				}
			})
		})
	}
}

// A host must have a lease again soon after an outage in which no request was answered, with a bounded number
// of connections at a time.
func TestLeaseAfterAnOutage(t *testing.T) {
	for _, outage := range []time.Duration{2000, 3300, 7900, 20100} {
		outage *= time.Millisecond
		t.Run(outage.String(), func(t *testing.T) {
			runLeaseRenewer(t, func(s *slowLeaseInventory, h *host) {
				env.Sleep(s.environment, time.Second, nil)
				s.delay = -1
				env.Sleep(s.environment, outage, nil)
				s.delay = 700 * time.Millisecond
				env.Sleep(s.environment, s.delay+600*time.Millisecond, nil)
				if !h.holdsLease() {
					t.Errorf("no lease 1.3 s after the outage, with %d connections and %d requests", len(s.conns), s.requests)
				}
			})
		})
	}
}
