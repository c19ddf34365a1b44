package lab

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/netip"
	"sync"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"go.uber.org/zap"

	"merlinhitch/internal/control/gateway"
	"merlinhitch/internal/control/settings"
	"merlinhitch/internal/protocol/inventory"
	"merlinhitch/internal/runtime/env"
	"merlinhitch/internal/simulation/standin"
)

// LossKinds names the failures after which a gateway cannot serve some or all of its volumes.
var LossKinds = []string{"all nodes", "a volume's nodes", "core hung", "process killed", "list lost past its bound"}

// LossRow summarizes the injected losses of one kind.
type LossRow struct {
	Kind               string
	Delays             *hdrhistogram.Histogram // from the loss to the route change at the router, microseconds
	OverSecond         int                     // delays over 1 s
	WrongAnnouncements int                     // announcements of prefixes that could not be served
	NotSeen            int                     // losses without a route change within lossTimeout
}

// MeasureLosses injects perKind losses of each kind into several gateways that announce to one
// router, and measures the time until the router receives the change of the routes.
func MeasureLosses(ctx context.Context, perKind, gateways int, progress io.Writer) ([]LossRow, error) {
	rig, err := newLossRig()
	if err != nil {
		return nil, err
	}
	defer rig.close()
	rows := make([]LossRow, len(LossKinds))
	for i, k := range LossKinds {
		rows[i] = LossRow{Kind: k, Delays: hdrhistogram.New(1, maxRecordedMicros, 3)}
	}
	var mu sync.Mutex
	var firstErr error
	remaining, done := perKind*len(LossKinds), 0
	var workers sync.WaitGroup
	for index := range gateways {
		workers.Go(func() {
			tested, err := rig.startGateway(index)
			for err == nil && ctx.Err() == nil {
				mu.Lock()
				remaining--
				kind := remaining % len(LossKinds)
				finished := remaining < 0
				mu.Unlock()
				if finished {
					break
				}
				var result lossResult
				if result, err = tested.injectLoss(kind); err == nil {
					mu.Lock()
					rows[kind].add(result)
					if done++; done%250 == 0 {
						fmt.Fprintf(progress, "%d of %d losses\n", done, perKind*len(LossKinds))
					}
					mu.Unlock()
				}
			}
			if tested != nil {
				tested.gateway.Kill()
			}
			if err != nil {
				mu.Lock()
				firstErr = err
				mu.Unlock()
			}
		})
	}
	workers.Wait()
	return rows, firstErr
}

const (
	maxRecordedMicros = 60_000_000 // largest value of the histograms
	lossTimeout       = 10 * time.Second
)

type lossResult struct {
	delay              time.Duration
	seen               bool
	wrongAnnouncements int
}

func (r *LossRow) add(result lossResult) {
	if !result.seen {
		r.NotSeen++
		return
	}
	r.Delays.RecordValue(max(result.delay.Microseconds(), 1)) // cannot fail: lossTimeout is within the range
	if result.delay > time.Second {
		r.OverSecond++
	}
	r.WrongAnnouncements += result.wrongAnnouncements
}

// lossRig holds the inventory, disk servers and router that the gateways share.
type lossRig struct {
	environment env.Environment
	inventory   *standin.Inventory
	disks       []*standin.DiskServer
	router      *standin.Router
	mu          sync.Mutex
	wake        *sync.Cond // signals a new entry in changes
	changes     []standin.RouteChange
}

func newLossRig() (*lossRig, error) {
	rig := &lossRig{environment: env.NewReal()}
	rig.wake = sync.NewCond(&rig.mu)
	var err error
	if rig.inventory, err = standin.ServeInventory(rig.environment, "127.0.0.1:0", 0); err != nil {
		return nil, err
	}
	if rig.router, err = standin.ServeRouter(rig.environment, "127.0.0.1:0", 65010); err != nil {
		return nil, err
	}
	rig.router.OnChange = func(change standin.RouteChange) {
		rig.mu.Lock()
		defer rig.mu.Unlock()
		rig.changes = append(rig.changes, change)
		rig.wake.Broadcast()
	}
	example := settings.Example(1, 3)
	for i := range 3 {
		machine := standin.NewMachine(DefaultMachine(example), uint64(i), standin.NewShardStore(func(string) int { return 4096 }), standin.NewDedupCache(6000), nil, uint32(i), 0, false)
		server := &standin.DiskServer{Name: fmt.Sprint("d", i), Zone: Halls[i], Rack: fmt.Sprint("d", i), Shard: i}
		if err := standin.ServeDisk(rig.environment, machine, server); err != nil {
			return nil, err
		}
		rig.disks = append(rig.disks, server)
		rig.inventory.ChangeNow(func(book *inventory.Book) {
			book.Set(inventory.Node{Addr: server.Addr, Health: inventory.Ready, Shard: i, Zone: server.Zone, Weight: 1, Incarnation: server.Started}, 0)
		})
	}
	return rig, nil
}

func (r *lossRig) close() {
	r.router.Close()
	for _, d := range r.disks {
		d.Kill()
	}
	r.inventory.Close()
}

// awaitChange waits for a route change that match accepts, among those from an index on.
func (r *lossRig) awaitChange(from int, timeout time.Duration, match func(standin.RouteChange) bool) (standin.RouteChange, bool) {
	deadline := r.environment.Now() + timeout
	timer := r.environment.AfterFunc(timeout, r.wake.Broadcast)
	defer timer.Stop()
	r.mu.Lock()
	defer r.mu.Unlock()
	for i := from; ; {
		for ; i < len(r.changes); i++ {
			if match(r.changes[i]) {
				return r.changes[i], true
			}
		}
		if r.environment.Now() >= deadline {
			return standin.RouteChange{}, false
		}
		r.wake.Wait()
	}
}

func (r *lossRig) changeCount() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.changes)
}

// Short values of settings that delay recovery, so that many losses fit in a minute. The delay
// from a loss to the router does not depend on them.
const (
	lossMaxListAge = 300 * time.Millisecond
	lossStableTime = 50 // ms
)

// lossGateway is a gateway into which losses are injected.
type lossGateway struct {
	rig          *lossRig
	index        int
	environment  *partitionEnvironment
	rng          *rand.Rand
	settings     *settings.Settings
	gateway      *gateway.Gateway
	singlePrefix netip.Prefix // of the group on shard 0
	pairPrefix   netip.Prefix // of the group on shards 1 and 2
}

func (r *lossRig) startGateway(index int) (*lossGateway, error) {
	tested := &lossGateway{rig: r, index: index, environment: newPartitionEnvironment(r.environment), rng: rand.New(rand.NewPCG(uint64(index), 9)), settings: settings.Example(1, 3)}
	tested.singlePrefix = netip.PrefixFrom(netip.AddrFrom4([4]byte{10, 0, byte(index), 1}), 32)
	tested.pairPrefix = netip.PrefixFrom(netip.AddrFrom4([4]byte{10, 0, byte(index), 2}), 32)
	for i := range tested.settings.Volumes {
		tested.settings.Volumes[i].Layout = []int{0}
		if i > 0 {
			tested.settings.Volumes[i].Layout = []int{1, 2}
		}
	}
	names := func(from, to int) (volumes []string) {
		for _, volume := range tested.settings.Volumes[from:to] {
			volumes = append(volumes, volume.Name)
		}
		return volumes
	}
	tested.settings.Announce = &settings.Announce{AS: 65001, HoldTime: 9000, Routers: []settings.Router{{Name: "r0", Addr: r.router.Addr, AS: r.router.AS}},
		StableTime: lossStableTime, MaxStableTime: lossStableTime, MaxLastResortTime: lossStableTime, MaxListAge: env.MS(lossMaxListAge),
		Groups: []settings.AddressGroup{{Name: "one", Prefixes: []string{tested.singlePrefix.String()}, Volumes: names(0, 1)},
			{Name: "both", Prefixes: []string{tested.pairPrefix.String()}, Volumes: names(1, len(tested.settings.Volumes))}}}
	return tested, tested.start()
}

// start starts the gateway and waits until the router has both prefixes.
func (s *lossGateway) start() (err error) {
	from := s.rig.changeCount()
	s.gateway, err = gateway.Start(gateway.Config{Environment: s.environment, Log: zap.NewNop(), Name: fmt.Sprint("h", s.index), Zone: Halls[0], Listen: "127.0.0.1:0",
		Inventory: s.rig.inventory.Addr, RouterID: uint32(s.index + 1), NextHop4: netip.AddrFrom4([4]byte{127, 0, 0, 1})})
	if err != nil {
		return err
	}
	if _, err := s.gateway.Settings().Put(s.settings); err != nil {
		return err
	}
	return s.awaitAnnounced(from)
}

// awaitAnnounced waits until both prefixes are announced without graceful shutdown.
func (s *lossGateway) awaitAnnounced(from int) error {
	for _, prefix := range []netip.Prefix{s.singlePrefix, s.pairPrefix} {
		if _, ok := s.rig.awaitChange(from, lossTimeout, func(change standin.RouteChange) bool {
			return change.Prefix == prefix && change.Announced && !change.Path.Shutdown
		}); !ok {
			return fmt.Errorf("lab: gateway %d: prefixes not announced in time", s.index)
		}
	}
	return nil
}

// injectLoss injects a loss, waits until the router has the change of the lost prefixes, and
// ends the loss.
func (s *lossGateway) injectLoss(kind int) (lossResult, error) {
	environment := s.rig.environment
	env.Sleep(environment, time.Duration(s.rng.Int64N(int64(200*time.Millisecond))), nil) // a random phase of the gateway's periodic work
	addrs := make([]string, len(s.rig.disks))
	for i, server := range s.rig.disks {
		addrs[i] = server.Addr
	}
	cut := partitionKind(s.rng.IntN(2))
	from, lostAt := s.rig.changeCount(), environment.Now()
	var resume env.Gate
	lost := []netip.Prefix{s.singlePrefix, s.pairPrefix}
	isLost := func(change standin.RouteChange) bool { return !change.Announced }
	var heal func() error
	switch LossKinds[kind] {
	case "all nodes":
		s.environment.partition(cut, addrs...)
		heal = func() error { s.environment.heal(addrs...); return nil }
	case "a volume's nodes":
		s.environment.partition(cut, addrs[0])
		lost = lost[:1]
		heal = func() error { s.environment.heal(addrs[0]); return nil }
	case "core hung":
		s.gateway.Freeze(&resume)
		heal = func() error { resume.Open(); return nil }
	case "process killed":
		s.gateway.Kill()
		heal = func() error { return s.start() }
	default:
		s.environment.partition(partitionReset, s.rig.inventory.Addr)
		lostAt += lossMaxListAge
		isLost = func(c standin.RouteChange) bool { return c.Announced && c.Path.Shutdown }
		heal = func() error { s.environment.heal(s.rig.inventory.Addr); return nil }
	}
	result := lossResult{seen: true}
	for _, prefix := range lost {
		change, ok := s.rig.awaitChange(from, lossTimeout, func(c standin.RouteChange) bool { return c.Prefix == prefix && isLost(c) })
		result.seen = result.seen && ok
		result.delay = max(result.delay, change.At-lostAt)
	}
	env.Sleep(environment, 100*time.Millisecond, nil) // no announcement may follow while the loss lasts
	result.wrongAnnouncements = s.countWrongAnnouncements(from, lost, LossKinds[kind] == LossKinds[4])
	from = s.rig.changeCount()
	if err := heal(); err != nil || LossKinds[kind] == "process killed" {
		return result, err
	}
	return result, s.awaitRecovery(from, lost)
}

// countWrongAnnouncements counts the announcements of lost prefixes since the loss, other than
// those as a last resort where these are allowed.
func (s *lossGateway) countWrongAnnouncements(from int, lost []netip.Prefix, allowLastResort bool) (n int) {
	s.rig.mu.Lock()
	defer s.rig.mu.Unlock()
	for _, change := range s.rig.changes[from:] {
		for _, prefix := range lost {
			if change.Prefix == prefix && change.Announced && !(allowLastResort && change.Path.Shutdown) {
				n++
			}
		}
	}
	return n
}

func (s *lossGateway) awaitRecovery(from int, lost []netip.Prefix) error {
	for _, prefix := range lost {
		if _, ok := s.rig.awaitChange(from, lossTimeout, func(change standin.RouteChange) bool {
			return change.Prefix == prefix && change.Announced && !change.Path.Shutdown
		}); !ok {
			return fmt.Errorf("lab: gateway %d: prefixes not announced again in time, routes %+v", s.index, s.gateway.Routes())
		}
	}
	return nil
}

// PrintLosses writes the rows as a Markdown table.
func PrintLosses(w io.Writer, rows []LossRow) error {
	tw := tabwriter.NewWriter(w, 0, 0, 1, ' ', 0)
	fmt.Fprintln(tw, "| loss\t| injected\t| p1 ms\t| p50 ms\t| p90 ms\t| p99 ms\t| worst ms\t| over 1 s\t| not seen\t| announced while unable\t|")
	fmt.Fprintln(tw, "| ---\t| ---\t| ---\t| ---\t| ---\t| ---\t| ---\t| ---\t| ---\t| ---\t|")
	for _, row := range rows {
		fmt.Fprintf(tw, "| %s\t| %d", row.Kind, int(row.Delays.TotalCount())+row.NotSeen)
		for _, q := range []float64{1, 50, 90, 99, 100} {
			fmt.Fprintf(tw, "\t| %.0f", float64(row.Delays.ValueAtQuantile(q))/1000)
		}
		fmt.Fprintf(tw, "\t| %d\t| %d\t| %d\t|\n", row.OverSecond, row.NotSeen, row.WrongAnnouncements)
	}
	return tw.Flush()
}
