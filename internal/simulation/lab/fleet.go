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
	Set         *settings.Settings
	Rec         *trail.Recorder
	Meta        *trail.Meta
	log         *zap.Logger
	meter       *standin.UsageMeter
	cfg         standin.MachineConfig
	seed        uint64

	mu     sync.Mutex
	invs   []*invProc // by region; one where there is one
	disks  []*disk    // by region, then by shard
	hosts  []*hostProc
	old    []wire // of hosts that are gone
	site   site
	racks  []*standin.DedupCache
	fell   []string
	later  env.WaitGroup
	over   bool
	now    *settings.Settings // what hosts start with
	ran    map[effectKey]bool // keyed and unsafe requests that took effect, in either region
	again  int
	gone   [2]bool         // regions that are lost as a whole
	keep   string          // folder for the hosts' snapshots, or none
	fixed  bool            // parts of limits never move
	calm   world.LinkState // of the ways between regions
	losses []Loss
	// counting guards what effects are counted in: disk servers call with locks held.
	counting sync.Mutex
	// Router is what hosts announce to, nil where the settings announce nothing.
	Router *standin.Router
}

// routerID is a host's BGP identifier.
func routerID(host int) uint32 { return uint32(host + 1) }

// disk is the place of one shard: the disk server that holds it now, behind an
// address that stays while its process is started anew, and changes by a deploy.
type disk struct {
	shard  int
	name   string
	zone   string
	cell   *standin.ShardStore
	rack   *standin.DedupCache
	server *standin.DiskServer // nil while down
	relay  wire
	world  env.Environment // of the server's process
	starts int
	cores  int
	region int
	since  float64                // start of a server that began cold
	former []string               // addresses that it had
	where  atomic.Pointer[string] // the server's own address
}

// invProc is a region's inventory.
type invProc struct {
	region int
	inv    *standin.Inventory // nil while down
	world  env.Environment
	saved  *standin.InventoryState // nil where there is one region
	starts int
	where  atomic.Pointer[string]
}

// hostProc is one start of a host.
type hostProc struct {
	self    int
	name    string
	starts  int
	gate    *gateway.Gateway
	world   env.Environment
	clients wire // nil while it is down
	list    wire
}

// Halls are the zones over which servers are spread.
var Halls = []string{"hall-a", "hall-b", "hall-c"}

// Machine is the usual disk server of the lab: two cores, work for a unit such
// that the ordinary load takes a third of the fleet.
func Machine(s *settings.Settings) standin.MachineConfig {
	r := s.Rules
	return standin.MachineConfig{Cores: 2, QueueLimit: 120, UnitWork: 14, WriteFactor: 1.5, Spread: 0.25, CacheEntries: 2, CacheHitFactor: 0.5,
		DeferredWriteShare: 0.3, FlushInterval: 2500, ColdCapacity: r.ColdCapacity, WarmUpTime: r.WarmUpTime, OverloadFactor: r.OverloadFactor,
		OverloadWindow: r.OverloadWindow, ColdUnits: r.ColdUnits}
}

// listLate is how late the inventory tells a change, ms.
const listLate = 300

// NewFleet starts a service of the settings' hosts and shards.
func NewFleet(w env.Environment, at site, s *settings.Settings, cfg standin.MachineConfig, opt Options) (*Fleet, error) {
	seed := opt.Seed
	f := &Fleet{Environment: w, site: at, Set: s, now: s, log: opt.Log, cfg: cfg, seed: seed,
		fixed: opt.fixedShares, keep: opt.keep, Rec: trail.NewRecorder(func() int64 { return int64(w.Now() / time.Microsecond) }),
		Meta: &trail.Meta{Settings: s, Servers: map[string]trail.Server{}, Seed: seed}}
	sizes, rates := map[string]int{}, map[string]float64{}
	for i := range s.Volumes {
		v := &s.Volumes[i]
		sizes[v.Name], rates[v.Name] = v.BlockSize, s.RateOf(v)
	}
	if s.Announce != nil {
		var err error
		if f.Router, err = standin.ServeRouter(at.process("router"), "127.0.0.1:0", 65010); err != nil {
			return nil, err
		}
		next := *s
		ann := *s.Announce
		ann.Routers = []settings.Router{{Name: "r0", Addr: f.Router.Addr, AS: f.Router.AS}}
		next.Announce = &ann
		f.now = &next
	}
	f.meter = &standin.UsageMeter{Period: 2000, Rate: func(v string) float64 { return rates[v] }}
	if err := f.startInventories(); err != nil {
		return nil, err
	}
	newCell := func() *standin.ShardStore { return standin.NewShardStore(func(v string) int { return sizes[v] }) }
	shelf := newCell()
	for k := range s.Shards * len(f.invs) {
		i := k % s.Shards
		d := &disk{shard: i, region: k / s.Shards, zone: Halls[i%len(Halls)], name: fmt.Sprintf("d%d", i), cell: newCell(), rack: standin.NewDedupCache(longestWindow(s)), cores: cfg.Cores}
		if s.Regions != nil {
			d.name, d.zone = fmt.Sprintf("d%d.%d", i, d.region), fmt.Sprintf("%s.%d", d.zone, d.region)
			d.cell.EnableReplication(region.ID(d.region))
			d.cell.OnExecute = f.effect
		}
		if opt.Shared {
			d.cell = shelf
		}
		if n := slices.IndexFunc(s.Nodes, func(n settings.Node) bool { return n.Shard == i }); n >= 0 && s.Regions == nil {
			d.zone = s.Nodes[n].Hall
			d.cores = max(int(s.Nodes[n].Capacity*cfg.UnitWork/1000+0.5), 1)
		}
		f.racks = append(f.racks, d.rack)
		f.disks = append(f.disks, d)
	}
	for _, d := range f.disks { // which know each other
		if err := f.startDisk(d, false, true); err != nil {
			f.Close()
			return nil, err
		}
	}
	for i := range s.Hosts {
		f.hosts = append(f.hosts, &hostProc{self: i})
	}
	if s.Regions != nil {
		f.calm = at.between()
		f.Across(0, f.calm)
		f.Across(1, f.calm)
	}
	for _, h := range f.hosts {
		if err := f.startHost(h); err != nil {
			f.Close()
			return nil, err
		}
	}
	return f, nil
}

func longestWindow(s *settings.Settings) float64 {
	w := 0.0
	for _, k := range s.Classes {
		w = max(w, k.DedupWindow)
	}
	return w
}

func (f *Fleet) nowMS() float64 { return env.MS(f.Environment.Now()) }

// startDisk starts a process for the shard, at the address that it has, or a new
// one where fresh. Held: mu, but for the fleet's own start.
func (f *Fleet) startDisk(d *disk, cold, fresh bool) error {
	now := f.nowMS()
	d.starts++
	cfg := f.cfg
	cfg.Cores = d.cores
	m := standin.NewMachine(cfg, f.seed*1000+uint64(d.shard*10+d.starts+d.region*1000), d.cell, d.rack, f.meter, uint32(d.shard), now, cold)
	s := &standin.DiskServer{Name: fmt.Sprintf("%s#%d", d.name, d.starts), Zone: d.zone, Rack: d.name, Shard: d.shard}
	d.world = f.site.process(s.Name)
	f.regional(d, s)
	if err := standin.ServeDisk(d.world, m, s); err != nil {
		return err
	}
	s.OnOverloadCrash = func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.fell = append(f.fell, s.Name)
	}
	d.server = s
	d.where.Store(&s.Addr)
	if fresh || d.relay == nil {
		r, err := f.site.wire(s.Addr, true, func(addr string) *standin.FrameRecorder { return standin.RecordDiskProtocol(f.Rec, addr) })
		if err != nil {
			return err
		}
		if d.relay != nil {
			f.old = append(f.old, d.relay)
			d.former = append(d.former, d.relay.Address())
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
	d.since = started
	f.list(d.region, cold, d.entry())
	return nil
}

// entry enters the server in the list as it is now, and what it was no more. Held: mu.
func (d *disk) entry() func(b *inventory.Book) {
	n := inventory.Node{Addr: d.relay.Address(), Health: inventory.Ready, Shard: d.shard, Zone: d.zone, Weight: 1, Incarnation: d.server.Started}
	since, former := d.since, slices.Clone(d.former)
	return func(b *inventory.Book) {
		for _, addr := range former {
			b.Health(addr, inventory.Gone)
		}
		b.Set(n, since)
	}
}

// list changes a region's list, late or at once, if its inventory is up.
func (f *Fleet) list(region int, late bool, change func(*inventory.Book)) {
	switch v := f.invs[region].inv; {
	case v == nil:
	case late:
		v.Change(change)
	default:
		v.ChangeNow(change)
	}
}

// inventories does something with each inventory that is up.
func (f *Fleet) inventories(do func(*standin.Inventory)) {
	for _, p := range f.invs {
		if p.inv != nil {
			do(p.inv)
		}
	}
}

func (f *Fleet) startHost(h *hostProc) error {
	h.starts++
	h.name = fmt.Sprintf("h%d#%d", h.self, h.starts)
	var err error
	name := h.name
	h.world = f.site.process(name)
	if f.Set.Regions != nil { // clocks of hosts differ a little
		f.site.pace(h.world, 1+0.002*float64(h.self%3-1))
	}
	if h.list, err = f.site.wire(*f.invs[f.regionOf(h.self)].where.Load(), true, func(string) *standin.FrameRecorder { return standin.RecordInventory(f.Rec, name) }); err != nil {
		return err
	}
	h.gate, err = gateway.Start(gateway.Config{Environment: h.world, Log: f.log, Name: h.name, HostIndex: h.self,
		Zone: Halls[h.self%len(Halls)], Listen: "127.0.0.1:0", Inventory: h.list.Address(), Admin: f.site.admin(), Snapshot: f.snapshot(h.self),
		RouterID: routerID(h.self), NextHop4: netip.AddrFrom4([4]byte{127, 0, 0, 1})})
	if err != nil {
		return err
	}
	if err = f.configure(h.gate); err != nil {
		return err
	}
	h.gate.Ready().Wait(f.Environment)
	h.clients, err = f.site.wire(h.gate.Addr().String(), false, func(string) *standin.FrameRecorder { return standin.RecordISCSI(f.Rec, name, f.Set) })
	return err
}

// snapshot is a host's file, "" where nothing is kept.
func (f *Fleet) snapshot(self int) string {
	if f.keep == "" {
		return ""
	}
	return filepath.Join(f.keep, fmt.Sprintf("h%d", self))
}

// configure gives a new host its settings, as an operator would: by a call of the admin
// API where there is one.
func (f *Fleet) configure(g *gateway.Gateway) error {
	if g.Settings().Get() != nil { // it has them from its snapshot
		return nil
	}
	first := *f.now
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

// Admins are the admin APIs of the hosts that are up. The caller closes them.
func (f *Fleet) Admins() (out []*rollout.Host) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, h := range f.hosts {
		if h.clients != nil {
			out = append(out, &rollout.Host{Name: h.name, API: settings.NewAPI(h.gate.Admin().String())})
		}
	}
	return out
}

// HostAddr is where clients reach a host now; "" while it is down.
func (f *Fleet) HostAddr(i int) string {
	f.mu.Lock()
	defer f.mu.Unlock()
	if h := f.hosts[i]; h.clients != nil {
		return h.clients.Address()
	}
	return ""
}

// after runs g on a goroutine of its own, d from now, unless the fleet is over.
func (f *Fleet) after(d time.Duration, g func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.over {
		return
	}
	f.later.Add(1)
	f.Environment.AfterFunc(d, func() {
		defer f.later.Done()
		f.mu.Lock()
		over := f.over
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
	if h.clients == nil {
		f.mu.Unlock()
		return
	}
	gate, clients, list, at := h.gate, h.clients, h.list, h.world
	h.clients = nil
	f.old = append(f.old, clients, list)
	f.mu.Unlock()
	f.Rec.Add(trail.Event{Link: trail.LinkFault, Kind: trail.Killed, Host: h.name})
	if !f.site.crash(at, false) {
		gate.Kill()
	}
	f.after(down, func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		if err := f.startHost(h); err != nil {
			f.log.Error("host does not start", zap.Error(err))
		}
	})
}

// KillDisk ends a disk server at once; it comes back cold after down. The
// inventory hears of both, late.
func (f *Fleet) KillDisk(i int, down time.Duration) { f.endDisk(i, down, false) }

// CutPower is KillDisk with the machine gone too, where the site knows the difference:
// no connection is closed.
func (f *Fleet) CutPower(i int, down time.Duration) { f.endDisk(i, down, true) }

func (f *Fleet) endDisk(i int, down time.Duration, power bool) {
	f.mu.Lock()
	d := f.disks[i]
	s, addr, at := d.server, d.relay.Address(), d.world
	d.server = nil
	f.mu.Unlock()
	if s == nil {
		return
	}
	if !f.site.crash(at, power) {
		s.Kill()
	}
	d.cell.PowerLoss()
	f.list(d.region, true, func(b *inventory.Book) { b.Health(addr, inventory.Gone) })
	f.after(down, func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		if err := f.startDisk(d, true, false); err != nil {
			f.log.Error("disk server does not start", zap.Error(err))
		}
	})
}

// Deploy drains a disk server and puts a successor in its place, cold, at another
// address, with the same blocks.
func (f *Fleet) Deploy(i int, drain time.Duration) {
	f.mu.Lock()
	d := f.disks[i]
	s := d.server
	if s == nil {
		f.mu.Unlock()
		return
	}
	addr := d.relay.Address()
	f.mu.Unlock()
	f.list(d.region, true, func(b *inventory.Book) { b.Health(addr, inventory.Draining) })
	f.after(drain, func() {
		s.Drain()
		f.after(drain, func() {
			f.mu.Lock()
			defer f.mu.Unlock()
			if d.server != s {
				return // it died meanwhile
			}
			f.list(d.region, true, func(b *inventory.Book) { b.Health(addr, inventory.Gone) })
			f.Environment.Go(s.Kill)
			if err := f.startDisk(d, true, true); err != nil {
				f.log.Error("successor does not start", zap.Error(err))
			}
		})
	})
}

// Disk returns the server that holds a shard now, nil while it is down.
func (f *Fleet) Disk(i int) *standin.DiskServer {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.disks[i].server
}

// Repeats is the number of effects that the racks saw more than once.
func (f *Fleet) Repeats() int {
	f.counting.Lock()
	n := f.again
	f.counting.Unlock()
	for _, r := range f.racks {
		n += r.RepeatedEffects()
	}
	return n
}

// Fell names the disk servers that were pushed over.
func (f *Fleet) Fell() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]string(nil), f.fell...)
}

// StopHosts ends every host gracefully.
func (f *Fleet) StopHosts(ctx context.Context) {
	var all env.WaitGroup
	f.mu.Lock()
	hosts := f.hosts
	f.mu.Unlock()
	for _, h := range hosts {
		if h.gate != nil && h.clients != nil {
			all.Go(f.Environment, func() { h.gate.Stop(ctx) })
		}
	}
	all.Wait(f.Environment)
}

// Close ends everything at once.
func (f *Fleet) Close() {
	if !f.site.remains() {
		return
	}
	f.mu.Lock()
	f.over = true
	f.mu.Unlock()
	f.later.Wait(f.Environment)
	for _, h := range f.hosts {
		if h.gate != nil {
			h.gate.Kill()
		}
		f.old = append(f.old, h.clients, h.list)
	}
	for _, d := range f.disks {
		if d.server != nil {
			d.server.Kill()
		}
		f.old = append(f.old, d.relay)
	}
	for _, r := range f.old {
		if r != nil {
			r.Close()
		}
	}
	f.inventories((*standin.Inventory).Close)
	if f.Router != nil {
		f.Router.Close()
	}
}
