package lab

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"go.uber.org/zap"

	"merlinhitch/internal/control/settings"
	"merlinhitch/internal/fleet/region"
	"merlinhitch/internal/protocol/diskproto"
	"merlinhitch/internal/protocol/inventory"
	"merlinhitch/internal/runtime/env"
	"merlinhitch/internal/simulation/standin"
	"merlinhitch/internal/simulation/world"
	"merlinhitch/internal/verify/trail"
)

// regionClockDrift is the bound on clocks in the lab's services over two regions: far more than
// clocks of machines are off, so that what forgets it is found.
const regionClockDrift = 0.05

// RegionSettings is a service over two regions: hosts and shards alternate between them,
// each volume comes through hosts of both and lies on shards of one, and writes are
// acknowledged after their copy but in the plan basico.
func RegionSettings(hosts, shards int) *settings.Settings {
	config := SmallBlocks(settings.Example(hosts, shards))
	config.Regions = &settings.Regions{LeaseTime: 3000, PeerTimeout: 1500, Drift: regionClockDrift}
	for host := range hosts {
		config.Regions.Hosts = append(config.Regions.Hosts, host%2)
	}
	for i := range config.Plans {
		if config.Plans[i].Name == "basico" {
			config.Plans[i].WriteAck = settings.AckBeforeCopy
		}
	}
	for i := range config.Volumes {
		volume := &config.Volumes[i]
		volume.Layout, volume.Hosts = nil, nil
		for position := range 1 + i%3 {
			volume.Layout = append(volume.Layout, (i+2*position)%(shards&^1))
		}
		for position := range min(2+2*(i%2), hosts) {
			volume.Hosts = append(volume.Hosts, (i+position)%hosts)
		}
	}
	return config
}

// preferredRegion is the region that a shard prefers.
func preferredRegion(shard int) region.ID { return region.ID(shard % 2) }

// regionOf is the region of a host.
func (f *Fleet) regionOf(host int) int {
	if f.Settings.Regions == nil {
		return 0
	}
	return f.Settings.Regions.Hosts[host]
}

// initialRecord is that of a new service: region 0 leads, limits are split by the hosts.
func initialRecord(config *settings.Settings) region.Record {
	var homes []region.ID
	for i := range config.Shards {
		homes = append(homes, preferredRegion(i))
	}
	hostShares := [2]float64{}
	for _, regionIndex := range config.Regions.Hosts {
		hostShares[regionIndex] += 1 / float64(config.Hosts)
	}
	split := make([][2]float64, len(config.Plans))
	for i := range split {
		split[i] = hostShares
	}
	return region.Begin(0, homes, split)
}

// name is that of the inventory's program, without the number of its start.
func (p *inventoryProcess) name() string {
	if p.saved == nil {
		return "inventory"
	}
	return fmt.Sprintf("inventory-%d", p.region)
}

// startInventories starts the inventory, or both.
func (f *Fleet) startInventories() error {
	if f.Settings.Regions == nil {
		proc := &inventoryProcess{}
		proc.process = f.testbed.startProcess(proc.name())
		f.inventories = []*inventoryProcess{proc}
		var err error
		if proc.server, err = standin.ServeInventory(proc.process, "127.0.0.1:0", inventoryDelay); err == nil {
			proc.addr.Store(&proc.server.Addr)
		}
		return err
	}
	f.effects = map[effectKey]bool{}
	for regionIndex := range 2 {
		f.inventories = append(f.inventories, &inventoryProcess{region: regionIndex, saved: &standin.InventoryState{Record: initialRecord(f.Settings)}})
	}
	for _, proc := range f.inventories {
		if err := f.startInventory(proc); err != nil {
			return err
		}
	}
	return nil
}

// startInventory starts a region's inventory with what was saved.
func (f *Fleet) startInventory(proc *inventoryProcess) error {
	proc.starts++
	proc.process = f.testbed.startProcess(fmt.Sprintf("%s#%d", proc.name(), proc.starts))
	// One clock runs fast and one slow, by what the bound leaves.
	f.testbed.setClockRate(proc.process, 1+(0.9-1.8*float64(proc.region))*f.Settings.Regions.Drift)
	other := f.inventories[1-proc.region]
	regionConfig := f.Settings.Regions.Config()
	regionConfig.Fixed = f.fixedShares
	serve := func(addr string) (*standin.Inventory, error) {
		return standin.ServeRegion(proc.process, addr, inventoryDelay, regionConfig, region.ID(proc.region), uint64(proc.starts), proc.saved, func() string { return loadAddr(&other.addr) })
	}
	started, err := serve(cmp.Or(loadAddr(&proc.addr), "127.0.0.1:0"))
	if err != nil { // somebody else has the port that it had
		started, err = serve("127.0.0.1:0")
	}
	if err != nil {
		return err
	}
	proc.server = started
	proc.addr.Store(&started.Addr)
	for _, host := range f.hosts {
		if host.inventoryRelay != nil && f.regionOf(host.index) == proc.region {
			host.inventoryRelay.Point(started.Addr)
		}
	}
	return nil
}

// loadAddr is an address that may not be there yet.
func loadAddr(pointer interface{ Load() *string }) string {
	if addr := pointer.Load(); addr != nil {
		return *addr
	}
	return ""
}

// setInventoryAndPeer gives a disk server its inventory and its peer.
func (f *Fleet) setInventoryAndPeer(disk *diskProcess, server *standin.DiskServer) {
	if f.Settings.Regions == nil {
		return
	}
	inventoryProc := f.inventories[disk.region]
	server.Inventory = func() string { return loadAddr(&inventoryProc.addr) }
	peer := f.disks[disk.shard+(1-disk.region)*f.Settings.Shards]
	server.Peer = func() string { return loadAddr(&peer.serverAddr) }
}

type effectKey struct{ host, seq uint64 }

// recordEffect counts what takes recordEffect at disk servers of either region.
func (f *Fleet) recordEffect(request *diskproto.Do) {
	if request.Effect == diskproto.Safe {
		return
	}
	key := effectKey{request.Host, request.Seq}
	f.effectsMu.Lock()
	defer f.effectsMu.Unlock()
	if f.effects[key] {
		f.repeatedEffects++
	}
	f.effects[key] = true
}

// LoseRegion ends everything in a region at once, and starts it again after down, with
// the inventory that was put by, if any.
func (f *Fleet) LoseRegion(regionIndex int, outage time.Duration, staleStates [2]*standin.InventoryState) {
	if !f.LoseInventory(regionIndex, outage, staleStates) {
		return
	}
	f.mu.Lock()
	f.regionDown[regionIndex] = true
	f.regionLosses = append(f.regionLosses, RegionLoss{regionIndex, f.Environment.Now(), f.Environment.Now() + outage})
	f.mu.Unlock()
	for i := range f.hosts {
		if f.regionOf(i) == regionIndex {
			f.KillHost(i, outage+200*time.Millisecond)
		}
	}
	for i, disk := range f.disks {
		if disk.region == regionIndex {
			f.PowerOffDisk(i, outage+100*time.Millisecond)
		}
	}
}

// RegionLoss is the time for which a region was lost.
type RegionLoss struct {
	Region         int
	At, RestoredAt time.Duration
}

// LoseInventory ends a region's inventory, and starts it again after down, with what was
// put by, if anything; false if it is down.
func (f *Fleet) LoseInventory(regionIndex int, outage time.Duration, staleStates [2]*standin.InventoryState) bool {
	f.mu.Lock()
	proc := f.inventories[regionIndex]
	stoppedServer, stoppedProcess := proc.server, proc.process
	proc.server = nil
	f.mu.Unlock()
	if stoppedServer == nil {
		return false
	}
	if !f.testbed.killProcess(stoppedProcess, true) {
		stoppedServer.Close()
	}
	f.afterFunc(outage, func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.regionDown[regionIndex] = false
		if staleStates[regionIndex] != nil {
			proc.saved = staleStates[regionIndex].Clone()
		}
		if err := f.startInventory(proc); err != nil {
			f.log.Error("inventory does not start", zap.Error(err))
			return
		}
		for _, disk := range f.disks { // those that are up all the same
			if disk.region == regionIndex && disk.server != nil {
				f.changeInventory(regionIndex, true, disk.inventoryEntry())
			}
		}
	})
	return true
}

// RegionDown tells whether a region is lost as a whole.
func (f *Fleet) RegionDown(regionIndex int) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.regionDown[regionIndex]
}

// InventoryStates is a copy of what the inventories have now.
func (f *Fleet) InventoryStates() (states [2]*standin.InventoryState) {
	for regionIndex, proc := range f.inventories {
		if proc.server != nil && proc.saved != nil {
			states[regionIndex] = proc.server.State()
		}
	}
	return states
}

// regionPrograms names the regionPrograms of a region, without its clients.
func (f *Fleet) regionPrograms(regionIndex int) (names []string) {
	names = append(names, f.inventories[regionIndex].name())
	for i := range f.hosts {
		if f.regionOf(i) == regionIndex {
			names = append(names, fmt.Sprintf("h%d", i))
		}
	}
	for _, disk := range f.disks {
		if disk.region == regionIndex {
			names = append(names, disk.name)
		}
	}
	return names
}

// SetCrossRegionLinks gives the ways from programs of one region to those of the other a state.
func (f *Fleet) SetCrossRegionLinks(from int, state world.LinkState) {
	for _, source := range f.regionPrograms(from) {
		for _, destination := range f.regionPrograms(1 - from) {
			f.testbed.setLink(source, destination, state)
		}
	}
}

// SetInventoryLinks gives the ways from and to the inventories a state.
func (f *Fleet) SetInventoryLinks(state world.LinkState) {
	programs := append(f.regionPrograms(0), f.regionPrograms(1)...)
	for regionIndex := range 2 {
		inventoryName := f.inventories[regionIndex].name()
		for _, program := range programs {
			if program != inventoryName {
				f.testbed.setLink(program, inventoryName, state)
				f.testbed.setLink(inventoryName, program, state)
			}
		}
	}
}

// preferLocalPaths has clients try the hosts of the region that their volume prefers first, and
// others while those do not serve, as multipath does.
func (c *Clients) preferLocalPaths() {
	for volume, volumePaths := range c.paths {
		preferred := int(preferredRegion(c.fleet.Settings.Volumes[volume].Layout[0]))
		slices.SortStableFunc(volumePaths, func(a, b *clientPath) int {
			return cmp.Compare((c.fleet.regionOf(a.host)+preferred)%2, (c.fleet.regionOf(b.host)+preferred)%2)
		})
	}
	c.choosePath = func(volume int) *clientPath {
		now := c.fleet.Environment.Now()
		var firstUp *clientPath
		for _, path := range c.paths[volume] {
			if c.fleet.HostAddr(path.host) == "" {
				continue
			}
			if path.usable(now) {
				return path
			}
			if firstUp == nil {
				firstUp = path
			}
		}
		return firstUp
	}
	c.history.AsyncVolumes = map[string]bool{}
	for _, exported := range c.fleet.Settings.Volumes {
		for _, plan := range c.fleet.Settings.Plans {
			if plan.Name == exported.Plan && plan.WriteAck == settings.AckBeforeCopy {
				c.history.AsyncVolumes[exported.Name] = true
			}
		}
	}
}

const (
	maxPathFailures = 3
	pathAvoidTime   = time.Second
)

// recordResult notes how a command fared on the lane.
func (path *clientPath) recordResult(now time.Duration, served bool) {
	path.mu.Lock()
	defer path.mu.Unlock()
	if path.consecutiveFailures++; served {
		path.consecutiveFailures = 0
	} else if path.consecutiveFailures >= maxPathFailures {
		path.consecutiveFailures, path.avoidUntil = 0, now+pathAvoidTime
	}
}

// usable tells whether the lane is one to try now.
func (path *clientPath) usable(now time.Duration) bool {
	path.mu.Lock()
	defer path.mu.Unlock()
	return now >= path.avoidUntil
}

// AskInventory asks a region's inventory for something, as an operator would.
func (f *Fleet) AskInventory(regionIndex int, request inventory.Ask) (inventory.List, error) {
	caller := inventory.NewCaller(f.Environment, func() string { return loadAddr(&f.inventories[regionIndex].addr) })
	defer caller.Close()
	return caller.Ask(request, time.Second)
}

// StallHost has a host stand still and wake inside the lease that it had.
func (f *Fleet) StallHost(index int, stall time.Duration) {
	f.mu.Lock()
	host := f.hosts[index]
	f.mu.Unlock()
	f.Recorder.Add(trail.Event{Link: trail.LinkFault, Kind: trail.Stalled, Host: host.name, Deadline: int64((f.Environment.Now() + stall) / time.Microsecond)})
	if simulated, ok := host.process.(*world.Process); ok {
		if !simulated.Dead() {
			simulated.Stall(stall)
		}
		return
	}
	var resume env.Gate
	host.gateway.Freeze(&resume)
	f.Environment.AfterFunc(stall, resume.Open)
}
