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
	s := SmallBlocks(settings.Example(hosts, shards))
	s.Regions = &settings.Regions{LeaseTime: 3000, PeerTimeout: 1500, Drift: regionClockDrift}
	for h := range hosts {
		s.Regions.Hosts = append(s.Regions.Hosts, h%2)
	}
	for i := range s.Plans {
		if s.Plans[i].Name == "basico" {
			s.Plans[i].WriteAck = settings.AckBeforeCopy
		}
	}
	for i := range s.Volumes {
		v := &s.Volumes[i]
		v.Layout, v.Hosts = nil, nil
		for k := range 1 + i%3 {
			v.Layout = append(v.Layout, (i+2*k)%(shards&^1))
		}
		for k := range min(2+2*(i%2), hosts) {
			v.Hosts = append(v.Hosts, (i+k)%hosts)
		}
	}
	return s
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
func initialRecord(s *settings.Settings) region.Record {
	var homes []region.ID
	for i := range s.Shards {
		homes = append(homes, preferredRegion(i))
	}
	n := [2]float64{}
	for _, r := range s.Regions.Hosts {
		n[r] += 1 / float64(s.Hosts)
	}
	split := make([][2]float64, len(s.Plans))
	for i := range split {
		split[i] = n
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
		p := &inventoryProcess{}
		p.process = f.testbed.startProcess(p.name())
		f.inventories = []*inventoryProcess{p}
		var err error
		if p.server, err = standin.ServeInventory(p.process, "127.0.0.1:0", inventoryDelay); err == nil {
			p.addr.Store(&p.server.Addr)
		}
		return err
	}
	f.effects = map[effectKey]bool{}
	for r := range 2 {
		f.inventories = append(f.inventories, &inventoryProcess{region: r, saved: &standin.InventoryState{Record: initialRecord(f.Settings)}})
	}
	for _, p := range f.inventories {
		if err := f.startInventory(p); err != nil {
			return err
		}
	}
	return nil
}

// startInventory starts a region's inventory with what was saved.
func (f *Fleet) startInventory(p *inventoryProcess) error {
	p.starts++
	p.process = f.testbed.startProcess(fmt.Sprintf("%s#%d", p.name(), p.starts))
	// One clock runs fast and one slow, by what the bound leaves.
	f.testbed.setClockRate(p.process, 1+(0.9-1.8*float64(p.region))*f.Settings.Regions.Drift)
	other := f.inventories[1-p.region]
	cfg := f.Settings.Regions.Config()
	cfg.Fixed = f.fixedShares
	serve := func(addr string) (*standin.Inventory, error) {
		return standin.ServeRegion(p.process, addr, inventoryDelay, cfg, region.ID(p.region), uint64(p.starts), p.saved, func() string { return loadAddr(&other.addr) })
	}
	inv, err := serve(cmp.Or(loadAddr(&p.addr), "127.0.0.1:0"))
	if err != nil { // somebody else has the port that it had
		inv, err = serve("127.0.0.1:0")
	}
	if err != nil {
		return err
	}
	p.server = inv
	p.addr.Store(&inv.Addr)
	for _, h := range f.hosts {
		if h.inventoryRelay != nil && f.regionOf(h.index) == p.region {
			h.inventoryRelay.Point(inv.Addr)
		}
	}
	return nil
}

// loadAddr is an address that may not be there yet.
func loadAddr(p interface{ Load() *string }) string {
	if s := p.Load(); s != nil {
		return *s
	}
	return ""
}

// setInventoryAndPeer gives a disk server its inventory and its peer.
func (f *Fleet) setInventoryAndPeer(d *diskProcess, s *standin.DiskServer) {
	if f.Settings.Regions == nil {
		return
	}
	inv := f.inventories[d.region]
	s.Inventory = func() string { return loadAddr(&inv.addr) }
	peer := f.disks[d.shard+(1-d.region)*f.Settings.Shards]
	s.Peer = func() string { return loadAddr(&peer.serverAddr) }
}

type effectKey struct{ host, seq uint64 }

// recordEffect counts what takes recordEffect at disk servers of either region.
func (f *Fleet) recordEffect(d *diskproto.Do) {
	if d.Effect == diskproto.Safe {
		return
	}
	k := effectKey{d.Host, d.Seq}
	f.effectsMu.Lock()
	defer f.effectsMu.Unlock()
	if f.effects[k] {
		f.repeatedEffects++
	}
	f.effects[k] = true
}

// LoseRegion ends everything in a region at once, and starts it again after down, with
// the inventory that was put by, if any.
func (f *Fleet) LoseRegion(r int, down time.Duration, old [2]*standin.InventoryState) {
	if !f.LoseInventory(r, down, old) {
		return
	}
	f.mu.Lock()
	f.regionDown[r] = true
	f.regionLosses = append(f.regionLosses, RegionLoss{r, f.Environment.Now(), f.Environment.Now() + down})
	f.mu.Unlock()
	for i := range f.hosts {
		if f.regionOf(i) == r {
			f.KillHost(i, down+200*time.Millisecond)
		}
	}
	for i, d := range f.disks {
		if d.region == r {
			f.PowerOffDisk(i, down+100*time.Millisecond)
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
func (f *Fleet) LoseInventory(r int, down time.Duration, old [2]*standin.InventoryState) bool {
	f.mu.Lock()
	p := f.inventories[r]
	v, w := p.server, p.process
	p.server = nil
	f.mu.Unlock()
	if v == nil {
		return false
	}
	if !f.testbed.killProcess(w, true) {
		v.Close()
	}
	f.afterFunc(down, func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.regionDown[r] = false
		if old[r] != nil {
			p.saved = old[r].Clone()
		}
		if err := f.startInventory(p); err != nil {
			f.log.Error("inventory does not start", zap.Error(err))
			return
		}
		for _, d := range f.disks { // those that are up all the same
			if d.region == r && d.server != nil {
				f.changeInventory(r, true, d.inventoryEntry())
			}
		}
	})
	return true
}

// RegionDown tells whether a region is lost as a whole.
func (f *Fleet) RegionDown(r int) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.regionDown[r]
}

// InventoryStates is a copy of what the inventories have now.
func (f *Fleet) InventoryStates() (out [2]*standin.InventoryState) {
	for r, p := range f.inventories {
		if p.server != nil && p.saved != nil {
			out[r] = p.server.State()
		}
	}
	return out
}

// regionPrograms names the regionPrograms of a region, without its clients.
func (f *Fleet) regionPrograms(r int) (out []string) {
	out = append(out, f.inventories[r].name())
	for i := range f.hosts {
		if f.regionOf(i) == r {
			out = append(out, fmt.Sprintf("h%d", i))
		}
	}
	for _, d := range f.disks {
		if d.region == r {
			out = append(out, d.name)
		}
	}
	return out
}

// SetCrossRegionLinks gives the ways from programs of one region to those of the other a state.
func (f *Fleet) SetCrossRegionLinks(from int, n world.LinkState) {
	for _, a := range f.regionPrograms(from) {
		for _, b := range f.regionPrograms(1 - from) {
			f.testbed.setLink(a, b, n)
		}
	}
}

// SetInventoryLinks gives the ways from and to the inventories a state.
func (f *Fleet) SetInventoryLinks(n world.LinkState) {
	all := append(f.regionPrograms(0), f.regionPrograms(1)...)
	for r := range 2 {
		inv := f.inventories[r].name()
		for _, p := range all {
			if p != inv {
				f.testbed.setLink(p, inv, n)
				f.testbed.setLink(inv, p, n)
			}
		}
	}
}

// preferLocalPaths has clients try the hosts of the region that their volume prefers first, and
// others while those do not serve, as multipath does.
func (c *Clients) preferLocalPaths() {
	for i, ls := range c.paths {
		prefers := int(preferredRegion(c.fleet.Settings.Volumes[i].Layout[0]))
		slices.SortStableFunc(ls, func(a, b *clientPath) int {
			return cmp.Compare((c.fleet.regionOf(a.host)+prefers)%2, (c.fleet.regionOf(b.host)+prefers)%2)
		})
	}
	c.choosePath = func(volume int) *clientPath {
		now := c.fleet.Environment.Now()
		var up *clientPath
		for _, l := range c.paths[volume] {
			if c.fleet.HostAddr(l.host) == "" {
				continue
			}
			if l.usable(now) {
				return l
			}
			if up == nil {
				up = l
			}
		}
		return up
	}
	c.history.AsyncVolumes = map[string]bool{}
	for _, v := range c.fleet.Settings.Volumes {
		for _, p := range c.fleet.Settings.Plans {
			if p.Name == v.Plan && p.WriteAck == settings.AckBeforeCopy {
				c.history.AsyncVolumes[v.Name] = true
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
func (f *Fleet) AskInventory(r int, a inventory.Ask) (inventory.List, error) {
	c := inventory.NewCaller(f.Environment, func() string { return loadAddr(&f.inventories[r].addr) })
	defer c.Close()
	return c.Ask(a, time.Second)
}

// StallHost has a host stand still and wake inside the lease that it had.
func (f *Fleet) StallHost(i int, still time.Duration) {
	f.mu.Lock()
	h := f.hosts[i]
	f.mu.Unlock()
	f.Recorder.Add(trail.Event{Link: trail.LinkFault, Kind: trail.Stalled, Host: h.name, Deadline: int64((f.Environment.Now() + still) / time.Microsecond)})
	if p, ok := h.process.(*world.Process); ok {
		if !p.Dead() {
			p.Stall(still)
		}
		return
	}
	var until env.Gate
	h.gateway.Freeze(&until)
	f.Environment.AfterFunc(still, until.Open)
}
