// Package lab runs whole services on loopback: hosts, disk servers, the inventory
// and clients in one process, a scripted day of troubles over them, and what came
// of it. It judges by the trail of what passed on the sockets and by the blocks
// that clients read back; it never reaches into a gateway.
package lab

import (
	"context"
	"fmt"
	"net/netip"
	"path/filepath"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"merlinhitch/internal/control/gateway"
	"merlinhitch/internal/control/settings"
	"merlinhitch/internal/fleet/region"
	"merlinhitch/internal/fleet/rollout"
	"merlinhitch/internal/protocol/inventory"
	"merlinhitch/internal/runtime/env"
	"merlinhitch/internal/simulation/standin"
	"merlinhitch/internal/simulation/world"
	"merlinhitch/internal/verify/trail"
)

// Fleet is a service.
type Fleet struct {
	Environment env.Environment
	Settings    *settings.Settings
	Recorder    *trail.Recorder
	Meta        *trail.Meta
	log         *zap.Logger
	usageMeter  *standin.UsageMeter
	machine     standin.MachineConfig
	seed        uint64

	mu               sync.Mutex
	inventories      []*inventoryProcess // by region; one where there is one
	disks            []*diskProcess      // by region, then by shard
	hosts            []*hostProcess
	retiredRelays    []relay // of hosts that are gone
	testbed          testbed
	dedupCaches      []*standin.DedupCache
	overloadCrashed  []string
	pendingCalls     env.WaitGroup
	closed           bool
	currentSettings  *settings.Settings // what hosts start with
	effects          map[effectKey]bool // keyed and unsafe requests that took effect, in either region
	repeatedEffects  int
	regionDown       [2]bool         // regions that are lost as a whole
	stateDir         string          // folder for the hosts' snapshots, or none
	fixedShares      bool            // parts of limits never move
	normalRegionLink world.LinkState // of the ways between regions
	regionLosses     []Loss
	// effectsMu guards what effects are counted in: disk servers call with locks held.
	effectsMu sync.Mutex
	// Router is what hosts announce to, nil where the settings announce nothing.
	Router *standin.Router
}

// routerID is a host's BGP identifier.
func routerID(host int) uint32 { return uint32(host + 1) }

// diskProcess is the place of one shard: the diskProcess server that holds it now, behind an
// address that stays while its process is started anew, and changes by a deploy.
type diskProcess struct {
	shard       int
	name        string
	zone        string
	store       *standin.ShardStore
	dedupCache  *standin.DedupCache
	server      *standin.DiskServer // nil while down
	relay       relay
	process     env.Environment // of the server's process
	starts      int
	cores       int
	region      int
	coldSince   float64                // start of a server that began cold
	formerAddrs []string               // addresses that it had
	serverAddr  atomic.Pointer[string] // the server's own address
}

// inventoryProcess is a region's inventory.
type inventoryProcess struct {
	region  int
	server  *standin.Inventory // nil while down
	process env.Environment
	saved   *standin.InventoryState // nil where there is one region
	starts  int
	addr    atomic.Pointer[string]
}

// hostProcess is one start of a host.
type hostProcess struct {
	index          int
	name           string
	starts         int
	gateway        *gateway.Gateway
	process        env.Environment
	clientRelay    relay // nil while it is down
	inventoryRelay relay
}

// Halls are the zones over which servers are spread.
var Halls = []string{"hall-a", "hall-b", "hall-c"}

// DefaultMachine is the usual disk server of the lab: two cores, work for a unit such
// that the ordinary load takes a third of the fleet.
func DefaultMachine(s *settings.Settings) standin.MachineConfig {
	r := s.Rules
	return standin.MachineConfig{Cores: 2, QueueLimit: 120, UnitWork: 14, WriteFactor: 1.5, Spread: 0.25, CacheEntries: 2, CacheHitFactor: 0.5,
		DeferredWriteShare: 0.3, FlushInterval: 2500, ColdCapacity: r.ColdCapacity, WarmUpTime: r.WarmUpTime, OverloadFactor: r.OverloadFactor,
		OverloadWindow: r.OverloadWindow, ColdUnits: r.ColdUnits}
}

// inventoryDelay is how late the inventory tells a change, ms.
const inventoryDelay = 300

// NewFleet starts a service of the settings' hosts and shards.
func NewFleet(w env.Environment, at testbed, s *settings.Settings, cfg standin.MachineConfig, opt Options) (*Fleet, error) {
	seed := opt.Seed
	f := &Fleet{Environment: w, testbed: at, Settings: s, currentSettings: s, log: opt.Log, machine: cfg, seed: seed,
		fixedShares: opt.fixedShares, stateDir: opt.stateDir, Recorder: trail.NewRecorder(func() int64 { return int64(w.Now() / time.Microsecond) }),
		Meta: &trail.Meta{Settings: s, Servers: map[string]trail.Server{}, Seed: seed}}
	sizes, rates := map[string]int{}, map[string]float64{}
	for i := range s.Volumes {
		v := &s.Volumes[i]
		sizes[v.Name], rates[v.Name] = v.BlockSize, s.RateOf(v)
	}
	if s.Announce != nil {
		var err error
		if f.Router, err = standin.ServeRouter(at.startProcess("router"), "127.0.0.1:0", 65010); err != nil {
			return nil, err
		}
		next := *s
		ann := *s.Announce
		ann.Routers = []settings.Router{{Name: "r0", Addr: f.Router.Addr, AS: f.Router.AS}}
		next.Announce = &ann
		f.currentSettings = &next
	}
	f.usageMeter = &standin.UsageMeter{Period: 2000, Rate: func(v string) float64 { return rates[v] }}
	if err := f.startInventories(); err != nil {
		return nil, err
	}
	newCell := func() *standin.ShardStore { return standin.NewShardStore(func(v string) int { return sizes[v] }) }
	shelf := newCell()
	for k := range s.Shards * len(f.inventories) {
		i := k % s.Shards
		d := &diskProcess{shard: i, region: k / s.Shards, zone: Halls[i%len(Halls)], name: fmt.Sprintf("d%d", i), store: newCell(), dedupCache: standin.NewDedupCache(longestDedupWindow(s)), cores: cfg.Cores}
		if s.Regions != nil {
			d.name, d.zone = fmt.Sprintf("d%d.%d", i, d.region), fmt.Sprintf("%s.%d", d.zone, d.region)
			d.store.EnableReplication(region.ID(d.region))
			d.store.OnExecute = f.effect
		}
		if opt.SharedStores {
			d.store = shelf
		}
		if n := slices.IndexFunc(s.Nodes, func(n settings.Node) bool { return n.Shard == i }); n >= 0 && s.Regions == nil {
			d.zone = s.Nodes[n].Hall
			d.cores = max(int(s.Nodes[n].Capacity*cfg.UnitWork/1000+0.5), 1)
		}
		f.dedupCaches = append(f.dedupCaches, d.dedupCache)
		f.disks = append(f.disks, d)
	}
	for _, d := range f.disks { // which know each other
		if err := f.startDisk(d, false, true); err != nil {
			f.Close()
			return nil, err
		}
	}
	for i := range s.Hosts {
		f.hosts = append(f.hosts, &hostProcess{index: i})
	}
	if s.Regions != nil {
		f.normalRegionLink = at.regionLink()
		f.Across(0, f.normalRegionLink)
		f.Across(1, f.normalRegionLink)
	}
	for _, h := range f.hosts {
		if err := f.startHost(h); err != nil {
			f.Close()
			return nil, err
		}
	}
	return f, nil
}

func longestDedupWindow(s *settings.Settings) float64 {
	w := 0.0
	for _, k := range s.Classes {
		w = max(w, k.DedupWindow)
	}
	return w
}

func (f *Fleet) nowMS() float64 { return env.MS(f.Environment.Now()) }

// startDisk starts a process for the shard, at the address that it has, or a new
// one where fresh. Held: mu, but for the fleet's own start.
func (f *Fleet) startDisk(d *diskProcess, cold, fresh bool) error {
	now := f.nowMS()
	d.starts++
	cfg := f.machine
	cfg.Cores = d.cores
	m := standin.NewMachine(cfg, f.seed*1000+uint64(d.shard*10+d.starts+d.region*1000), d.store, d.dedupCache, f.usageMeter, uint32(d.shard), now, cold)
	s := &standin.DiskServer{Name: fmt.Sprintf("%s#%d", d.name, d.starts), Zone: d.zone, Rack: d.name, Shard: d.shard}
	d.process = f.testbed.startProcess(s.Name)
	f.regional(d, s)
	if err := standin.ServeDisk(d.process, m, s); err != nil {
		return err
	}
	s.OnOverloadCrash = func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.overloadCrashed = append(f.overloadCrashed, s.Name)
	}
	d.server = s
	d.serverAddr.Store(&s.Addr)
	if fresh || d.relay == nil {
		r, err := f.testbed.newRelay(s.Addr, true, func(addr string) *standin.FrameRecorder { return standin.RecordDiskProtocol(f.Recorder, addr) })
		if err != nil {
			return err
		}
		if d.relay != nil {
			f.retiredRelays = append(f.retiredRelays, d.relay)
			d.formerAddrs = append(d.formerAddrs, d.relay.Address())
		}
		d.relay = r
		f.Meta.Servers[r.Address()] = trail.Server{Name: s.Name, Shard: d.shard, Zone: d.zone, Rack: d.name, Region: d.region,
			Rate: float64(cfg.Cores) / cfg.UnitWork * 1000}
	} else {
		d.relay.Point(s.Addr)
	}
	started := 0.0
	if cold {
		started = now
	}
	d.coldSince = started
	f.changeInventory(d.region, cold, d.inventoryEntry())
	return nil
}

// inventoryEntry enters the server in the list as it is now, and what it was no more. Held: mu.
func (d *diskProcess) inventoryEntry() func(b *inventory.Book) {
	n := inventory.Node{Addr: d.relay.Address(), Health: inventory.Ready, Shard: d.shard, Zone: d.zone, Weight: 1, Incarnation: d.server.Started}
	since, former := d.coldSince, slices.Clone(d.formerAddrs)
	return func(b *inventory.Book) {
		for _, addr := range former {
			b.Health(addr, inventory.Gone)
		}
		b.Set(n, since)
	}
}

// changeInventory changes a region's changeInventory, late or at once, if its inventory is up.
func (f *Fleet) changeInventory(region int, late bool, change func(*inventory.Book)) {
	switch v := f.inventories[region].server; {
	case v == nil:
	case late:
		v.Change(change)
	default:
		v.ChangeNow(change)
	}
}

// eachInventory does something with each inventory that is up.
func (f *Fleet) eachInventory(do func(*standin.Inventory)) {
	for _, p := range f.inventories {
		if p.server != nil {
			do(p.server)
		}
	}
}

func (f *Fleet) startHost(h *hostProcess) error {
	h.starts++
	h.name = fmt.Sprintf("h%d#%d", h.index, h.starts)
	var err error
	name := h.name
	h.process = f.testbed.startProcess(name)
	if f.Settings.Regions != nil { // clocks of hosts differ a little
		f.testbed.setClockRate(h.process, 1+0.002*float64(h.index%3-1))
	}
	if h.inventoryRelay, err = f.testbed.newRelay(*f.inventories[f.regionOf(h.index)].addr.Load(), true, func(string) *standin.FrameRecorder { return standin.RecordInventory(f.Recorder, name) }); err != nil {
		return err
	}
	h.gateway, err = gateway.Start(gateway.Config{Environment: h.process, Log: f.log, Name: h.name, HostIndex: h.index,
		Zone: Halls[h.index%len(Halls)], Listen: "127.0.0.1:0", Inventory: h.inventoryRelay.Address(), Admin: f.testbed.adminListen(), Snapshot: f.snapshotFile(h.index),
		RouterID: routerID(h.index), NextHop4: netip.AddrFrom4([4]byte{127, 0, 0, 1})})
	if err != nil {
		return err
	}
	if err = f.putSettings(h.gateway); err != nil {
		return err
	}
	h.gateway.Ready().Wait(f.Environment)
	h.clientRelay, err = f.testbed.newRelay(h.gateway.Addr().String(), false, func(string) *standin.FrameRecorder { return standin.RecordISCSI(f.Recorder, name, f.Settings) })
	return err
}

// snapshotFile is a host's file, "" where nothing is kept.
func (f *Fleet) snapshotFile(self int) string {
	if f.stateDir == "" {
		return ""
	}
	return filepath.Join(f.stateDir, fmt.Sprintf("h%d", self))
}

// putSettings gives a new host its settings, as an operator would: by a call of the admin
// API where there is one.
func (f *Fleet) putSettings(g *gateway.Gateway) error {
	if g.Settings().Get() != nil { // it has them from its snapshot
		return nil
	}
	first := *f.currentSettings
	first.Version = 0
	if g.Admin() == nil {
		_, err := g.Settings().Put(&first)
		return err
	}
	api := settings.NewAPI(g.Admin().String())
	defer api.Close()
	_, err := api.Put(context.Background(), &first, settings.ChangeOptions{})
	return err
}

// AdminAPIs are the admin APIs of the hosts that are up. The caller closes them.
func (f *Fleet) AdminAPIs() (out []*rollout.Host) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, h := range f.hosts {
		if h.clientRelay != nil {
			out = append(out, &rollout.Host{Name: h.name, API: settings.NewAPI(h.gateway.Admin().String())})
		}
	}
	return out
}

// HostAddr is where clients reach a host now; "" while it is down.
func (f *Fleet) HostAddr(i int) string {
	f.mu.Lock()
	defer f.mu.Unlock()
	if h := f.hosts[i]; h.clientRelay != nil {
		return h.clientRelay.Address()
	}
	return ""
}

// afterFunc runs g on a goroutine of its own, d from now, unless the fleet is over.
func (f *Fleet) afterFunc(d time.Duration, g func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.closed {
		return
	}
	f.pendingCalls.Add(1)
	f.Environment.AfterFunc(d, func() {
		defer f.pendingCalls.Done()
		f.mu.Lock()
		over := f.closed
		f.mu.Unlock()
		if !over {
			g()
		}
	})
}

// KillHost ends a host at once and starts it again after down.
func (f *Fleet) KillHost(i int, down time.Duration) {
	f.mu.Lock()
	h := f.hosts[i]
	if h.clientRelay == nil {
		f.mu.Unlock()
		return
	}
	gate, clients, list, at := h.gateway, h.clientRelay, h.inventoryRelay, h.process
	h.clientRelay = nil
	f.retiredRelays = append(f.retiredRelays, clients, list)
	f.mu.Unlock()
	f.Recorder.Add(trail.Event{Link: trail.LinkFault, Kind: trail.Killed, Host: h.name})
	if !f.testbed.killProcess(at, false) {
		gate.Kill()
	}
	f.afterFunc(down, func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		if err := f.startHost(h); err != nil {
			f.log.Error("host does not start", zap.Error(err))
		}
	})
}

// KillDisk ends a disk server at once; it comes back cold after down. The
// inventory hears of both, late.
func (f *Fleet) KillDisk(i int, down time.Duration) { f.stopDisk(i, down, false) }

// PowerOffDisk is KillDisk with the machine gone too, where the site knows the difference:
// no connection is closed.
func (f *Fleet) PowerOffDisk(i int, down time.Duration) { f.stopDisk(i, down, true) }

func (f *Fleet) stopDisk(i int, down time.Duration, power bool) {
	f.mu.Lock()
	d := f.disks[i]
	s, addr, at := d.server, d.relay.Address(), d.process
	d.server = nil
	f.mu.Unlock()
	if s == nil {
		return
	}
	if !f.testbed.killProcess(at, power) {
		s.Kill()
	}
	d.store.PowerLoss()
	f.changeInventory(d.region, true, func(b *inventory.Book) { b.Health(addr, inventory.Gone) })
	f.afterFunc(down, func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		if err := f.startDisk(d, true, false); err != nil {
			f.log.Error("disk server does not start", zap.Error(err))
		}
	})
}

// ReplaceDisk drains a disk server and puts a successor in its place, cold, at another
// address, with the same blocks.
func (f *Fleet) ReplaceDisk(i int, drain time.Duration) {
	f.mu.Lock()
	d := f.disks[i]
	s := d.server
	if s == nil {
		f.mu.Unlock()
		return
	}
	addr := d.relay.Address()
	f.mu.Unlock()
	f.changeInventory(d.region, true, func(b *inventory.Book) { b.Health(addr, inventory.Draining) })
	f.afterFunc(drain, func() {
		s.Drain()
		f.afterFunc(drain, func() {
			f.mu.Lock()
			defer f.mu.Unlock()
			if d.server != s {
				return // it died meanwhile
			}
			f.changeInventory(d.region, true, func(b *inventory.Book) { b.Health(addr, inventory.Gone) })
			f.Environment.Go(s.Kill)
			if err := f.startDisk(d, true, true); err != nil {
				f.log.Error("successor does not start", zap.Error(err))
			}
		})
	})
}

// DiskServer returns the server that holds a shard now, nil while it is down.
func (f *Fleet) DiskServer(i int) *standin.DiskServer {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.disks[i].server
}

// RepeatedEffects is the number of effects that the racks saw more than once.
func (f *Fleet) RepeatedEffects() int {
	f.effectsMu.Lock()
	n := f.repeatedEffects
	f.effectsMu.Unlock()
	for _, r := range f.dedupCaches {
		n += r.RepeatedEffects()
	}
	return n
}

// OverloadCrashed names the disk servers that were pushed over.
func (f *Fleet) OverloadCrashed() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]string(nil), f.overloadCrashed...)
}

// StopHosts ends every host gracefully.
func (f *Fleet) StopHosts(ctx context.Context) {
	var all env.WaitGroup
	f.mu.Lock()
	hosts := f.hosts
	f.mu.Unlock()
	for _, h := range hosts {
		if h.gateway != nil && h.clientRelay != nil {
			all.Go(f.Environment, func() { h.gateway.Stop(ctx) })
		}
	}
	all.Wait(f.Environment)
}

// Close ends everything at once.
func (f *Fleet) Close() {
	if !f.testbed.mustStopProcesses() {
		return
	}
	f.mu.Lock()
	f.closed = true
	f.mu.Unlock()
	f.pendingCalls.Wait(f.Environment)
	for _, h := range f.hosts {
		if h.gateway != nil {
			h.gateway.Kill()
		}
		f.retiredRelays = append(f.retiredRelays, h.clientRelay, h.inventoryRelay)
	}
	for _, d := range f.disks {
		if d.server != nil {
			d.server.Kill()
		}
		f.retiredRelays = append(f.retiredRelays, d.relay)
	}
	for _, r := range f.retiredRelays {
		if r != nil {
			r.Close()
		}
	}
	f.eachInventory((*standin.Inventory).Close)
	if f.Router != nil {
		f.Router.Close()
	}
}
