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

// regionClockDrift is the clock drift bound of services over two regions, as a fraction of elapsed
// time. It is far above the drift of real machines, so that code that ignores it fails visibly.
const regionClockDrift = 0.05

// RegionSettings returns the settings of a service over two regions. Hosts and shards alternate
// between the regions; each volume is exported by consecutive hosts and laid out on shards that
// prefer the same region. Writes are acknowledged after replication, in the plan basico before it.
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

func preferredRegion(shard int) region.ID { return region.ID(shard % 2) }

// regionOf returns the region of a host, 0 in a service without regions.
func (f *Fleet) regionOf(host int) int {
	if f.Settings.Regions == nil {
		return 0
	}
	return f.Settings.Regions.Hosts[host]
}

// initialRecord returns the region record of a new service: region 0 leads, each shard is at its
// preferred region, and limits are split in proportion to the hosts of each region.
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

// name returns the inventory's stable process name, without the number of its start.
func (p *inventoryProcess) name() string {
	if p.saved == nil {
		return "inventory"
	}
	return fmt.Sprintf("inventory-%d", p.region)
}

// startInventories starts the inventory, or one inventory for each of two regions.
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

// startInventory starts a region's inventory from its saved state and points the relays of the
// region's hosts at it.
func (f *Fleet) startInventory(proc *inventoryProcess) error {
	proc.starts++
	proc.process = f.testbed.startProcess(fmt.Sprintf("%s#%d", proc.name(), proc.starts))
	// Region 0's clock runs fast and region 1's slow, each by 90% of the drift bound.
	f.testbed.setClockRate(proc.process, 1+(0.9-1.8*float64(proc.region))*f.Settings.Regions.Drift)
	other := f.inventories[1-proc.region]
	regionConfig := f.Settings.Regions.Config()
	regionConfig.Fixed = f.fixedShares
	serve := func(addr string) (*standin.Inventory, error) {
		return standin.ServeRegion(proc.process, addr, inventoryDelay, regionConfig, region.ID(proc.region), uint64(proc.starts), proc.saved, func() string { return loadAddr(&other.addr) })
	}
	started, err := serve(cmp.Or(loadAddr(&proc.addr), "127.0.0.1:0"))
	if err != nil { // the former port has been taken
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

// loadAddr returns the stored address, or "" if none has been stored yet.
func loadAddr(pointer interface{ Load() *string }) string {
	if addr := pointer.Load(); addr != nil {
		return *addr
	}
	return ""
}

// setInventoryAndPeer sets the addresses at which a disk server finds its region's inventory and the
// server of the same shard in the other region. Without regions it does nothing.
func (f *Fleet) setInventoryAndPeer(disk *diskProcess, server *standin.DiskServer) {
	if f.Settings.Regions == nil {
		return
	}
	inventoryProc := f.inventories[disk.region]
	server.Inventory = func() string { return loadAddr(&inventoryProc.addr) }
	peer := f.disks[disk.shard+(1-disk.region)*f.Settings.Shards]
	server.Peer = func() string { return loadAddr(&peer.serverAddr) }
}

// effectKey identifies a request across attempts and regions.
type effectKey struct{ host, seq uint64 }

// recordEffect records that a request took effect at a disk server, and counts requests that took
// effect more than once over both regions. Requests that are safe to repeat are not recorded.
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

// LoseRegion kills a region's inventory and hosts and powers off its disk servers at once. They start
// again after the outage; the inventory starts from its stale state if staleStates has one. Nothing
// happens if the region's inventory is already down.
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

// RegionLoss is one loss of a region, with the times of its start and end since the run's clock began.
type RegionLoss struct {
	Region         int
	At, RestoredAt time.Duration
}

// LoseInventory kills a region's inventory and starts it again after the outage, from its stale state
// if staleStates has one, else from the state that it had saved. It reports false if the inventory is
// already down.
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
		for _, disk := range f.disks { // disk servers that kept running are listed again
			if disk.region == regionIndex && disk.server != nil {
				f.changeInventory(regionIndex, true, disk.inventoryEntry())
			}
		}
	})
	return true
}

// RegionDown reports whether a whole region is lost.
func (f *Fleet) RegionDown(regionIndex int) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.regionDown[regionIndex]
}

// InventoryStates returns copies of the states of the inventories that are running, by region.
func (f *Fleet) InventoryStates() (states [2]*standin.InventoryState) {
	for regionIndex, proc := range f.inventories {
		if proc.server != nil && proc.saved != nil {
			states[regionIndex] = proc.server.State()
		}
	}
	return states
}

// regionPrograms returns the process names of a region's inventory, hosts and disk servers.
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

// SetCrossRegionLinks sets the state of every link from processes of one region to those of the other.
func (f *Fleet) SetCrossRegionLinks(from int, state world.LinkState) {
	for _, source := range f.regionPrograms(from) {
		for _, destination := range f.regionPrograms(1 - from) {
			f.testbed.setLink(source, destination, state)
		}
	}
}

// SetInventoryLinks sets the state of every link to and from the inventories.
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

// preferLocalPaths makes clients choose paths as multipath does: hosts in the preferred region of the
// volume's first shard come first, and paths with repeated failures are avoided for a while. It also
// marks the volumes whose writes are acknowledged before replication.
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
	maxPathFailures = 3 // consecutive
	pathAvoidTime   = time.Second
)

// recordResult counts consecutive failures on the path; at maxPathFailures the path is avoided for
// pathAvoidTime.
func (path *clientPath) recordResult(now time.Duration, served bool) {
	path.mu.Lock()
	defer path.mu.Unlock()
	if path.consecutiveFailures++; served {
		path.consecutiveFailures = 0
	} else if path.consecutiveFailures >= maxPathFailures {
		path.consecutiveFailures, path.avoidUntil = 0, now+pathAvoidTime
	}
}

// usable reports whether the path is not being avoided.
func (path *clientPath) usable(now time.Duration) bool {
	path.mu.Lock()
	defer path.mu.Unlock()
	return now >= path.avoidUntil
}

// AskInventory sends a request to a region's inventory, as an operator would, and waits up to 1 s.
func (f *Fleet) AskInventory(regionIndex int, request inventory.Ask) (inventory.List, error) {
	caller := inventory.NewCaller(f.Environment, func() string { return loadAddr(&f.inventories[regionIndex].addr) })
	defer caller.Close()
	return caller.Ask(request, time.Second)
}

// StallHost suspends a host for the given time: in a virtual world its process, on loopback its gateway.
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
