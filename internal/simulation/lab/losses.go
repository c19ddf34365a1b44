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

// LossKinds are the ways in which a gateway loses the ability to serve.
var LossKinds = []string{"all nodes", "a volume's nodes", "core hung", "process killed", "list lost past its bound"}

// LossRow is one kind of loss over many.
type LossRow struct {
	Kind               string
	Delays             *hdrhistogram.Histogram // from the loss to the router's log, us
	OverSecond         int                     // over a second
	WrongAnnouncements int                     // announcements while unable to serve
	NotSeen            int                     // not seen within ten seconds
}

// MeasureLosses injects so many losses of each kind into gateways that all announce to one
// router, several gateways at once, and times on the router's sockets how long what it
// was told went on leading there.
func MeasureLosses(ctx context.Context, each, gateways int, progress io.Writer) ([]LossRow, error) {
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
	var failed error
	left, done := each*len(LossKinds), 0
	var all sync.WaitGroup
	for g := range gateways {
		all.Go(func() {
			s, err := rig.startGateway(g)
			for err == nil && ctx.Err() == nil {
				mu.Lock()
				left--
				kind := left % len(LossKinds)
				over := left < 0
				mu.Unlock()
				if over {
					break
				}
				var r lossResult
				if r, err = s.injectLoss(kind); err == nil {
					mu.Lock()
					rows[kind].add(r)
					if done++; done%250 == 0 {
						fmt.Fprintf(progress, "%d of %d losses\n", done, each*len(LossKinds))
					}
					mu.Unlock()
				}
			}
			if s != nil {
				s.gateway.Kill()
			}
			if err != nil {
				mu.Lock()
				failed = err
				mu.Unlock()
			}
		})
	}
	all.Wait()
	return rows, failed
}

const (
	maxRecordedMicros = 60_000_000
	lossTimeout       = 10 * time.Second
)

type lossResult struct {
	delay              time.Duration
	seen               bool
	wrongAnnouncements int
}

func (r *LossRow) add(x lossResult) {
	if !x.seen {
		r.NotSeen++
		return
	}
	r.Delays.RecordValue(max(x.delay.Microseconds(), 1)) // within range: lossWait is
	if x.delay > time.Second {
		r.OverSecond++
	}
	r.WrongAnnouncements += x.wrongAnnouncements
}

// lossRig is what the gateways share.
type lossRig struct {
	world   env.Environment
	inv     *standin.Inventory
	disks   []*standin.DiskServer
	router  *standin.Router
	mu      sync.Mutex
	wake    *sync.Cond
	changes []standin.RouteChange
}

func newLossRig() (*lossRig, error) {
	r := &lossRig{world: env.NewReal()}
	r.wake = sync.NewCond(&r.mu)
	var err error
	if r.inv, err = standin.ServeInventory(r.world, "127.0.0.1:0", 0); err != nil {
		return nil, err
	}
	if r.router, err = standin.ServeRouter(r.world, "127.0.0.1:0", 65010); err != nil {
		return nil, err
	}
	r.router.OnChange = func(c standin.RouteChange) {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.changes = append(r.changes, c)
		r.wake.Broadcast()
	}
	set := settings.Example(1, 3)
	for i := range 3 {
		m := standin.NewMachine(DefaultMachine(set), uint64(i), standin.NewShardStore(func(string) int { return 4096 }), standin.NewDedupCache(6000), nil, uint32(i), 0, false)
		d := &standin.DiskServer{Name: fmt.Sprint("d", i), Zone: Halls[i], Rack: fmt.Sprint("d", i), Shard: i}
		if err := standin.ServeDisk(r.world, m, d); err != nil {
			return nil, err
		}
		r.disks = append(r.disks, d)
		r.inv.ChangeNow(func(b *inventory.Book) {
			b.Set(inventory.Node{Addr: d.Addr, Health: inventory.Ready, Shard: i, Zone: d.Zone, Weight: 1, Incarnation: d.Started}, 0)
		})
	}
	return r, nil
}

func (r *lossRig) close() {
	r.router.Close()
	for _, d := range r.disks {
		d.Kill()
	}
	r.inv.Close()
}

// awaitChange waits until the log, from an entry on, has what is asked for.
func (r *lossRig) awaitChange(from int, most time.Duration, want func(standin.RouteChange) bool) (standin.RouteChange, bool) {
	end := r.world.Now() + most
	t := r.world.AfterFunc(most, r.wake.Broadcast)
	defer t.Stop()
	r.mu.Lock()
	defer r.mu.Unlock()
	for i := from; ; {
		for ; i < len(r.changes); i++ {
			if want(r.changes[i]) {
				return r.changes[i], true
			}
		}
		if r.world.Now() >= end {
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

// The list's bound in the rig, and its steady time: short, so that many losses fit in a
// minute; the way from a loss to the router does not depend on them.
const (
	lossMaxListAge = 300 * time.Millisecond
	lossStableTime = 50
)

// lossGateway is a gateway that loses things.
type lossGateway struct {
	rig          *lossRig
	index        int
	world        *partitionEnvironment
	rng          *rand.Rand
	set          *settings.Settings
	gateway      *gateway.Gateway
	singlePrefix netip.Prefix // of the group on shard 0
	pairPrefix   netip.Prefix // of the group on shards 1 and 2
}

func (r *lossRig) startGateway(n int) (*lossGateway, error) {
	s := &lossGateway{rig: r, index: n, world: newPartitionEnvironment(r.world), rng: rand.New(rand.NewPCG(uint64(n), 9)), set: settings.Example(1, 3)}
	s.singlePrefix = netip.PrefixFrom(netip.AddrFrom4([4]byte{10, 0, byte(n), 1}), 32)
	s.pairPrefix = netip.PrefixFrom(netip.AddrFrom4([4]byte{10, 0, byte(n), 2}), 32)
	for i := range s.set.Volumes {
		s.set.Volumes[i].Layout = []int{0}
		if i > 0 {
			s.set.Volumes[i].Layout = []int{1, 2}
		}
	}
	names := func(from, to int) (out []string) {
		for _, v := range s.set.Volumes[from:to] {
			out = append(out, v.Name)
		}
		return out
	}
	s.set.Announce = &settings.Announce{AS: 65001, HoldTime: 9000, Routers: []settings.Router{{Name: "r0", Addr: r.router.Addr, AS: r.router.AS}},
		StableTime: lossStableTime, MaxStableTime: lossStableTime, MaxLastResortTime: lossStableTime, MaxListAge: env.MS(lossMaxListAge),
		Groups: []settings.AddressGroup{{Name: "one", Prefixes: []string{s.singlePrefix.String()}, Volumes: names(0, 1)},
			{Name: "both", Prefixes: []string{s.pairPrefix.String()}, Volumes: names(1, len(s.set.Volumes))}}}
	return s, s.start()
}

// start starts the gateway and waits until the router has both addresses.
func (s *lossGateway) start() (err error) {
	from := s.rig.changeCount()
	s.gateway, err = gateway.Start(gateway.Config{Environment: s.world, Log: zap.NewNop(), Name: fmt.Sprint("h", s.index), Zone: Halls[0], Listen: "127.0.0.1:0",
		Inventory: s.rig.inv.Addr, RouterID: uint32(s.index + 1), NextHop4: netip.AddrFrom4([4]byte{127, 0, 0, 1})})
	if err != nil {
		return err
	}
	if _, err := s.gateway.Settings().Put(s.set); err != nil {
		return err
	}
	return s.awaitAnnounced(from)
}

// awaitAnnounced waits until both addresses are announced in full.
func (s *lossGateway) awaitAnnounced(from int) error {
	for _, p := range []netip.Prefix{s.singlePrefix, s.pairPrefix} {
		if _, ok := s.rig.awaitChange(from, lossTimeout, func(c standin.RouteChange) bool { return c.Prefix == p && c.Announced && !c.Path.Shutdown }); !ok {
			return fmt.Errorf("lab: gateway %d was not announced again", s.index)
		}
	}
	return nil
}

// injectLoss has the gateway injectLoss something, waits until the router has heard of it, and
// gives it back.
func (s *lossGateway) injectLoss(kind int) (lossResult, error) {
	w := s.rig.world
	env.Sleep(w, time.Duration(s.rng.Int64N(int64(200*time.Millisecond))), nil) // at any point of its rounds
	all := make([]string, len(s.rig.disks))
	for i, d := range s.rig.disks {
		all[i] = d.Addr
	}
	how := partitionKind(s.rng.IntN(2))
	from, at := s.rig.changeCount(), w.Now()
	var hung env.Gate
	gone := []netip.Prefix{s.singlePrefix, s.pairPrefix}
	down := func(c standin.RouteChange) bool { return !c.Announced }
	var heal func() error
	switch LossKinds[kind] {
	case "all nodes":
		s.world.partition(how, all...)
		heal = func() error { s.world.heal(all...); return nil }
	case "a volume's nodes":
		s.world.partition(how, all[0])
		gone = gone[:1]
		heal = func() error { s.world.heal(all[0]); return nil }
	case "core hung":
		s.gateway.Freeze(&hung)
		heal = func() error { hung.Open(); return nil }
	case "process killed":
		s.gateway.Kill()
		heal = func() error { return s.start() }
	default:
		s.world.partition(partitionReset, s.rig.inv.Addr)
		at += lossMaxListAge
		down = func(c standin.RouteChange) bool { return c.Announced && c.Path.Shutdown }
		heal = func() error { s.world.heal(s.rig.inv.Addr); return nil }
	}
	res := lossResult{seen: true}
	for _, p := range gone {
		c, ok := s.rig.awaitChange(from, lossTimeout, func(c standin.RouteChange) bool { return c.Prefix == p && down(c) })
		res.seen = res.seen && ok
		res.delay = max(res.delay, c.At-at)
	}
	env.Sleep(w, 100*time.Millisecond, nil) // nothing may come while it lasts
	res.wrongAnnouncements = s.countWrongAnnouncements(from, gone, LossKinds[kind] == LossKinds[4])
	from = s.rig.changeCount()
	if err := heal(); err != nil || LossKinds[kind] == "process killed" {
		return res, err
	}
	return res, s.awaitRecovery(from, gone)
}

// countWrongAnnouncements counts what was announced of the lost addresses since the loss, but for the
// last resort where that is what is due.
func (s *lossGateway) countWrongAnnouncements(from int, gone []netip.Prefix, resort bool) (n int) {
	s.rig.mu.Lock()
	defer s.rig.mu.Unlock()
	for _, c := range s.rig.changes[from:] {
		for _, p := range gone {
			if c.Prefix == p && c.Announced && !(resort && c.Path.Shutdown) {
				n++
			}
		}
	}
	return n
}

func (s *lossGateway) awaitRecovery(from int, gone []netip.Prefix) error {
	for _, p := range gone {
		if _, ok := s.rig.awaitChange(from, lossTimeout, func(c standin.RouteChange) bool { return c.Prefix == p && c.Announced && !c.Path.Shutdown }); !ok {
			return fmt.Errorf("lab: gateway %d was not announced again: %+v", s.index, s.gateway.Routes())
		}
	}
	return nil
}

// PrintLosses writes the rows as a table that is also Markdown.
func PrintLosses(w io.Writer, rows []LossRow) error {
	tw := tabwriter.NewWriter(w, 0, 0, 1, ' ', 0)
	fmt.Fprintln(tw, "| loss\t| injected\t| p1 ms\t| p50 ms\t| p90 ms\t| p99 ms\t| worst ms\t| over 1 s\t| not seen\t| announced while unable\t|")
	fmt.Fprintln(tw, "| ---\t| ---\t| ---\t| ---\t| ---\t| ---\t| ---\t| ---\t| ---\t| ---\t|")
	for _, r := range rows {
		fmt.Fprintf(tw, "| %s\t| %d", r.Kind, int(r.Delays.TotalCount())+r.NotSeen)
		for _, q := range []float64{1, 50, 90, 99, 100} {
			fmt.Fprintf(tw, "\t| %.0f", float64(r.Delays.ValueAtQuantile(q))/1000)
		}
		fmt.Fprintf(tw, "\t| %d\t| %d\t| %d\t|\n", r.OverSecond, r.NotSeen, r.WrongAnnouncements)
	}
	return tw.Flush()
}
