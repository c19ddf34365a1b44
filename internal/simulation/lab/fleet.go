// Package lab runs whole services (hosts, disk servers, the inventory, clients) in one process,
// on loopback sockets or in a virtual world, and injects faults into them. A run is checked
// against the trail of the recorded traffic and against the blocks that clients read back; the
// state of gateways is not inspected.
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

// Fleet is a running service: its hosts, disk servers and inventories.
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
	inventories      []*inventoryProcess // by region; a single one without regions
	disks            []*diskProcess      // sorted by region, then by shard
	hosts            []*hostProcess
	retiredRelays    []relay // replaced relays of hosts and disk servers, closed with the fleet
	testbed          testbed
	dedupCaches      []*standin.DedupCache
	overloadCrashed  []string
	pendingCalls     env.WaitGroup
	closed           bool
	currentSettings  *settings.Settings // applied to hosts that start
	effects          map[effectKey]bool // executed requests other than safe ones, in either region
	repeatedEffects  int
	regionDown       [2]bool         // regions lost as a whole
	stateDir         string          // directory for the hosts' snapshots; "": none are kept
	fixedShares      bool            // regions' shares of limits are not rebalanced
	normalRegionLink world.LinkState // of links between regions, without faults
	regionLosses     []RegionLoss
	// effectsMu guards effects and repeatedEffects. It is separate from mu because disk servers
	// call Fleet.effect with their own locks held.
	effectsMu sync.Mutex
	// Router is the BGP peer of the hosts; nil if the settings have no Announce section.
	Router *standin.Router
}

// routerID is a host's BGP identifier.
func routerID(host int) uint32 { return uint32(host + 1) }

// diskProcess is the disk server of one shard. Its relay's address stays the same across restarts
// and changes when ReplaceDisk starts a successor.
type diskProcess struct {
	shard       int
	name        string
	zone        string
	store       *standin.ShardStore
	dedupCache  *standin.DedupCache
	server      *standin.DiskServer // nil while down
	relay       relay
	process     env.Environment // environment of the current server process
	starts      int
	cores       int
	region      int
	coldSince   float64                // start time in ms of a server that started cold; 0 if it started warm
	formerAddrs []string               // earlier addresses of the relay
	serverAddr  atomic.Pointer[string] // the server's address behind the relay
}

// inventoryProcess is the inventory server of one region, or of the whole service.
type inventoryProcess struct {
	region  int
	server  *standin.Inventory // nil while down
	process env.Environment
	saved   *standin.InventoryState // state kept across restarts; nil without regions
	starts  int
	addr    atomic.Pointer[string]
}

// hostProcess is one host; its fields describe the current start.
type hostProcess struct {
	index          int
	name           string
	starts         int
	gateway        *gateway.Gateway
	process        env.Environment
	clientRelay    relay // nil while the host is down
	inventoryRelay relay
}

// Halls are the zones of hosts and disk servers.
var Halls = []string{"hall-a", "hall-b", "hall-c"}

// DefaultMachine returns the machine model of the lab's disk servers. Their behaviour after a cold
// start and under overload follows the rules of the settings.
func DefaultMachine(config *settings.Settings) standin.MachineConfig {
	rules := config.Rules
	return standin.MachineConfig{Cores: 2, QueueLimit: 120, UnitWork: 14, WriteFactor: 1.5, Spread: 0.25, CacheEntries: 2, CacheHitFactor: 0.5,
		DeferredWriteShare: 0.3, FlushInterval: 2500, ColdCapacity: rules.ColdCapacity, WarmUpTime: rules.WarmUpTime, OverloadFactor: rules.OverloadFactor,
		OverloadWindow: rules.OverloadWindow, ColdUnits: rules.ColdUnits}
}

// inventoryDelay is the default delay in ms before the inventory publishes a change.
const inventoryDelay = 300

// NewFleet starts the hosts, disk servers and inventories that config describes.
func NewFleet(environment env.Environment, testbed testbed, config *settings.Settings, machine standin.MachineConfig, options Options) (*Fleet, error) {
	seed := options.Seed
	f := &Fleet{Environment: environment, testbed: testbed, Settings: config, currentSettings: config, log: options.Log, machine: machine, seed: seed,
		fixedShares: options.fixedShares, stateDir: options.stateDir, Recorder: trail.NewRecorder(func() int64 { return int64(environment.Now() / time.Microsecond) }),
		Meta: &trail.Meta{Settings: config, Servers: map[string]trail.Server{}, Seed: seed}}
	blockSizes, volumeRates := map[string]int{}, map[string]float64{}
	for i := range config.Volumes {
		v := &config.Volumes[i]
		blockSizes[v.Name], volumeRates[v.Name] = v.BlockSize, config.RateOf(v)
	}
	if config.Announce != nil {
		var err error
		if f.Router, err = standin.ServeRouter(testbed.startProcess("router"), "127.0.0.1:0", 65010); err != nil {
			return nil, err
		}
		withRouter := *config
		announce := *config.Announce
		announce.Routers = []settings.Router{{Name: "r0", Addr: f.Router.Addr, AS: f.Router.AS}}
		withRouter.Announce = &announce
		f.currentSettings = &withRouter
	}
	f.usageMeter = &standin.UsageMeter{Period: 2000, Rate: func(v string) float64 { return volumeRates[v] }}
	if err := f.startInventories(); err != nil {
		return nil, err
	}
	newStore := func() *standin.ShardStore { return standin.NewShardStore(func(v string) int { return blockSizes[v] }) }
	sharedStore := newStore()
	for index := range config.Shards * len(f.inventories) {
		shard := index % config.Shards
		disk := &diskProcess{shard: shard, region: index / config.Shards, zone: Halls[shard%len(Halls)], name: fmt.Sprintf("d%d", shard), store: newStore(), dedupCache: standin.NewDedupCache(longestDedupWindow(config)), cores: machine.Cores}
		if config.Regions != nil {
			disk.name, disk.zone = fmt.Sprintf("d%d.%d", shard, disk.region), fmt.Sprintf("%s.%d", disk.zone, disk.region)
			disk.store.EnableReplication(region.ID(disk.region))
			disk.store.OnExecute = f.recordEffect
		}
		if options.SharedStores {
			disk.store = sharedStore
		}
		if node := slices.IndexFunc(config.Nodes, func(n settings.Node) bool { return n.Shard == shard }); node >= 0 && config.Regions == nil {
			disk.zone = config.Nodes[node].Hall
			disk.cores = max(int(config.Nodes[node].Capacity*machine.UnitWork/1000+0.5), 1)
		}
		f.dedupCaches = append(f.dedupCaches, disk.dedupCache)
		f.disks = append(f.disks, disk)
	}
	for _, d := range f.disks { // all entries exist by now: a disk server looks up its peer in f.disks
		if err := f.startDisk(d, false, true); err != nil {
			f.Close()
			return nil, err
		}
	}
	for i := range config.Hosts {
		f.hosts = append(f.hosts, &hostProcess{index: i})
	}
	if config.Regions != nil {
		f.normalRegionLink = testbed.regionLink()
		f.SetCrossRegionLinks(0, f.normalRegionLink)
		f.SetCrossRegionLinks(1, f.normalRegionLink)
	}
	for _, h := range f.hosts {
		if err := f.startHost(h); err != nil {
			f.Close()
			return nil, err
		}
	}
	return f, nil
}

func longestDedupWindow(config *settings.Settings) float64 {
	longest := 0.0
	for _, class := range config.Classes {
		longest = max(longest, class.DedupWindow)
	}
	return longest
}

func (f *Fleet) nowMS() float64 { return env.MS(f.Environment.Now()) }

// startDisk starts a server process for disk. It keeps the relay's address unless newAddress is
// set or there is no relay yet. Requires f.mu, except in NewFleet.
func (f *Fleet) startDisk(disk *diskProcess, cold, newAddress bool) error {
	now := f.nowMS()
	disk.starts++
	config := f.machine
	config.Cores = disk.cores
	machine := standin.NewMachine(config, f.seed*1000+uint64(disk.shard*10+disk.starts+disk.region*1000), disk.store, disk.dedupCache, f.usageMeter, uint32(disk.shard), now, cold)
	server := &standin.DiskServer{Name: fmt.Sprintf("%s#%d", disk.name, disk.starts), Zone: disk.zone, Rack: disk.name, Shard: disk.shard}
	disk.process = f.testbed.startProcess(server.Name)
	f.setInventoryAndPeer(disk, server)
	if err := standin.ServeDisk(disk.process, machine, server); err != nil {
		return err
	}
	server.OnOverloadCrash = func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.overloadCrashed = append(f.overloadCrashed, server.Name)
	}
	disk.server = server
	disk.serverAddr.Store(&server.Addr)
	if newAddress || disk.relay == nil {
		relay, err := f.testbed.newRelay(server.Addr, true, func(addr string) *standin.FrameRecorder { return standin.RecordDiskProtocol(f.Recorder, addr) })
		if err != nil {
			return err
		}
		if disk.relay != nil {
			f.retiredRelays = append(f.retiredRelays, disk.relay)
			disk.formerAddrs = append(disk.formerAddrs, disk.relay.Address())
		}
		disk.relay = relay
		f.Meta.Servers[relay.Address()] = trail.Server{Name: server.Name, Shard: disk.shard, Zone: disk.zone, Rack: disk.name, Region: disk.region,
			Rate: float64(config.Cores) / config.UnitWork * 1000}
	} else {
		disk.relay.Point(server.Addr)
	}
	coldSince := 0.0
	if cold {
		coldSince = now
	}
	disk.coldSince = coldSince
	f.changeInventory(disk.region, cold, disk.inventoryEntry())
	return nil
}

// inventoryEntry returns a change that enters the server under its current address and marks its
// former addresses as gone. Requires f.mu.
func (d *diskProcess) inventoryEntry() func(b *inventory.Book) {
	node := inventory.Node{Addr: d.relay.Address(), Health: inventory.Ready, Shard: d.shard, Zone: d.zone, Weight: 1, Incarnation: d.server.Started}
	coldSince, formerAddrs := d.coldSince, slices.Clone(d.formerAddrs)
	return func(book *inventory.Book) {
		for _, addr := range formerAddrs {
			book.Health(addr, inventory.Gone)
		}
		book.Set(node, coldSince)
	}
}

// changeInventory changes a region's inventory, after its delay or immediately. It does nothing
// while that inventory is down.
func (f *Fleet) changeInventory(region int, delayed bool, change func(*inventory.Book)) {
	switch server := f.inventories[region].server; {
	case server == nil:
	case delayed:
		server.Change(change)
	default:
		server.ChangeNow(change)
	}
}

// eachInventory calls do for each inventory that is running.
func (f *Fleet) eachInventory(do func(*standin.Inventory)) {
	for _, process := range f.inventories {
		if process.server != nil {
			do(process.server)
		}
	}
}

func (f *Fleet) startHost(host *hostProcess) error {
	host.starts++
	host.name = fmt.Sprintf("h%d#%d", host.index, host.starts)
	var err error
	name := host.name
	host.process = f.testbed.startProcess(name)
	if f.Settings.Regions != nil { // clock rates of hosts differ by up to 0.4 %
		f.testbed.setClockRate(host.process, 1+0.002*float64(host.index%3-1))
	}
	if host.inventoryRelay, err = f.testbed.newRelay(*f.inventories[f.regionOf(host.index)].addr.Load(), true, func(string) *standin.FrameRecorder { return standin.RecordInventory(f.Recorder, name) }); err != nil {
		return err
	}
	host.gateway, err = gateway.Start(gateway.Config{Environment: host.process, Log: f.log, Name: host.name, HostIndex: host.index,
		Zone: Halls[host.index%len(Halls)], Listen: "127.0.0.1:0", Inventory: host.inventoryRelay.Address(), Admin: f.testbed.adminListen(), Snapshot: f.snapshotFile(host.index),
		RouterID: routerID(host.index), NextHop4: netip.AddrFrom4([4]byte{127, 0, 0, 1})})
	if err != nil {
		return err
	}
	if err = f.putSettings(host.gateway); err != nil {
		return err
	}
	host.gateway.Ready().Wait(f.Environment)
	host.clientRelay, err = f.testbed.newRelay(host.gateway.Addr().String(), false, func(string) *standin.FrameRecorder { return standin.RecordISCSI(f.Recorder, name, f.Settings) })
	return err
}

// snapshotFile returns the path of a host's snapshot, or "" if none is kept.
func (f *Fleet) snapshotFile(host int) string {
	if f.stateDir == "" {
		return ""
	}
	return filepath.Join(f.stateDir, fmt.Sprintf("h%d", host))
}

// putSettings applies the current settings to a host that has none from a snapshot, through its
// admin API if it has one.
func (f *Fleet) putSettings(gw *gateway.Gateway) error {
	if gw.Settings().Get() != nil { // restored from its snapshot
		return nil
	}
	initial := *f.currentSettings
	initial.Version = 0
	if gw.Admin() == nil {
		_, err := gw.Settings().Put(&initial)
		return err
	}
	api := settings.NewAPI(gw.Admin().String())
	defer api.Close()
	_, err := api.Put(context.Background(), &initial, settings.ChangeOptions{})
	return err
}

// AdminAPIs returns the admin APIs of the running hosts. The caller closes them.
func (f *Fleet) AdminAPIs() (apis []*rollout.Host) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, host := range f.hosts {
		if host.clientRelay != nil {
			apis = append(apis, &rollout.Host{Name: host.name, API: settings.NewAPI(host.gateway.Admin().String())})
		}
	}
	return apis
}

// HostAddr returns the current address of a host for clients, or "" while it is down.
func (f *Fleet) HostAddr(host int) string {
	f.mu.Lock()
	defer f.mu.Unlock()
	if process := f.hosts[host]; process.clientRelay != nil {
		return process.clientRelay.Address()
	}
	return ""
}

// afterFunc runs call on its own goroutine after delay, unless the fleet is closed by then.
func (f *Fleet) afterFunc(delay time.Duration, call func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.closed {
		return
	}
	f.pendingCalls.Add(1)
	f.Environment.AfterFunc(delay, func() {
		defer f.pendingCalls.Done()
		f.mu.Lock()
		closed := f.closed
		f.mu.Unlock()
		if !closed {
			call()
		}
	})
}

// KillHost kills a running host and restarts it after downtime.
func (f *Fleet) KillHost(index int, downtime time.Duration) {
	f.mu.Lock()
	host := f.hosts[index]
	if host.clientRelay == nil {
		f.mu.Unlock()
		return
	}
	gw, clientRelay, inventoryRelay, process := host.gateway, host.clientRelay, host.inventoryRelay, host.process
	host.clientRelay = nil
	f.retiredRelays = append(f.retiredRelays, clientRelay, inventoryRelay)
	f.mu.Unlock()
	f.Recorder.Add(trail.Event{Link: trail.LinkFault, Kind: trail.Killed, Host: host.name})
	if !f.testbed.killProcess(process, false) {
		gw.Kill()
	}
	f.afterFunc(downtime, func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		if err := f.startHost(host); err != nil {
			f.log.Error("host does not start", zap.Error(err))
		}
	})
}

// KillDisk kills a disk server and restarts it cold after downtime. The inventory publishes both
// changes after its delay.
func (f *Fleet) KillDisk(index int, downtime time.Duration) { f.stopDisk(index, downtime, false) }

// PowerOffDisk is KillDisk with a power loss of the machine: on a testbed that distinguishes the
// two, peers do not see their connections closed.
func (f *Fleet) PowerOffDisk(index int, downtime time.Duration) { f.stopDisk(index, downtime, true) }

func (f *Fleet) stopDisk(index int, downtime time.Duration, powerLoss bool) {
	f.mu.Lock()
	disk := f.disks[index]
	server, addr, process := disk.server, disk.relay.Address(), disk.process
	disk.server = nil
	f.mu.Unlock()
	if server == nil {
		return
	}
	if !f.testbed.killProcess(process, powerLoss) {
		server.Kill()
	}
	disk.store.PowerLoss()
	f.changeInventory(disk.region, true, func(book *inventory.Book) { book.Health(addr, inventory.Gone) })
	f.afterFunc(downtime, func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		if err := f.startDisk(disk, true, false); err != nil {
			f.log.Error("disk server does not start", zap.Error(err))
		}
	})
}

// ReplaceDisk marks a disk server as draining, drains it after drainTime, and after another
// drainTime kills it and starts a cold successor at a new address with the same blocks.
func (f *Fleet) ReplaceDisk(index int, drainTime time.Duration) {
	f.mu.Lock()
	disk := f.disks[index]
	server := disk.server
	if server == nil {
		f.mu.Unlock()
		return
	}
	addr := disk.relay.Address()
	f.mu.Unlock()
	f.changeInventory(disk.region, true, func(book *inventory.Book) { book.Health(addr, inventory.Draining) })
	f.afterFunc(drainTime, func() {
		server.Drain()
		f.afterFunc(drainTime, func() {
			f.mu.Lock()
			defer f.mu.Unlock()
			if disk.server != server {
				return // the server was killed in the meantime
			}
			f.changeInventory(disk.region, true, func(b *inventory.Book) { b.Health(addr, inventory.Gone) })
			f.Environment.Go(server.Kill)
			if err := f.startDisk(disk, true, true); err != nil {
				f.log.Error("successor does not start", zap.Error(err))
			}
		})
	})
}

// DiskServer returns the current server at an index of f.disks, or nil while it is down.
func (f *Fleet) DiskServer(index int) *standin.DiskServer {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.disks[index].server
}

// RepeatedEffects returns how many effects were executed again, as counted by the disk servers'
// deduplication caches and, with regions, across the regions.
func (f *Fleet) RepeatedEffects() int {
	f.effectsMu.Lock()
	total := f.repeatedEffects
	f.effectsMu.Unlock()
	for _, cache := range f.dedupCaches {
		total += cache.RepeatedEffects()
	}
	return total
}

// OverloadCrashed returns the names of the disk servers that crashed from overload.
func (f *Fleet) OverloadCrashed() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]string(nil), f.overloadCrashed...)
}

// StopHosts stops all running hosts gracefully and waits for them.
func (f *Fleet) StopHosts(ctx context.Context) {
	var stops env.WaitGroup
	f.mu.Lock()
	hosts := f.hosts
	f.mu.Unlock()
	for _, host := range hosts {
		if host.gateway != nil && host.clientRelay != nil {
			stops.Go(f.Environment, func() { host.gateway.Stop(ctx) })
		}
	}
	stops.Wait(f.Environment)
}

// Close kills all processes and closes all relays. It does nothing on a testbed that stops its
// processes itself.
func (f *Fleet) Close() {
	if !f.testbed.mustStopProcesses() {
		return
	}
	f.mu.Lock()
	f.closed = true
	f.mu.Unlock()
	f.pendingCalls.Wait(f.Environment)
	for _, host := range f.hosts {
		if host.gateway != nil {
			host.gateway.Kill()
		}
		f.retiredRelays = append(f.retiredRelays, host.clientRelay, host.inventoryRelay)
	}
	for _, disk := range f.disks {
		if disk.server != nil {
			disk.server.Kill()
		}
		f.retiredRelays = append(f.retiredRelays, disk.relay)
	}
	for _, relay := range f.retiredRelays {
		if relay != nil {
			relay.Close()
		}
	}
	f.eachInventory((*standin.Inventory).Close)
	if f.Router != nil {
		f.Router.Close()
	}
}
