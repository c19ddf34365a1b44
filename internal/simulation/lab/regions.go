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

// regionDrift is the bound on clocks in the lab's services over two regions: far more than
// clocks of machines are off, so that what forgets it is found.
const regionDrift = 0.05

// RegionSettings is a service over two regions: hosts and shards alternate between them,
// each volume comes through hosts of both and lies on shards of one, and writes are
// acknowledged after their copy but in the plan basico.
func RegionSettings(hosts, shards int) *settings.Settings {
	s := SmallBlocks(settings.Example(hosts, shards))
	s.Regions = &settings.Regions{LeaseTime: 3000, PeerTimeout: 1500, Drift: regionDrift}
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

// homeOf is the region that a shard prefers.
func homeOf(shard int) region.ID { return region.ID(shard % 2) }

// regionOf is the region of a host.
func (f *Fleet) regionOf(host int) int {
	if f.Set.Regions == nil {
		return 0
	}
	return f.Set.Regions.Hosts[host]
}

// firstRecord is that of a new service: region 0 leads, limits are split by the hosts.
func firstRecord(s *settings.Settings) region.Record {
	var homes []region.ID
	for i := range s.Shards {
		homes = append(homes, homeOf(i))
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
func (p *invProc) name() string {
	if p.saved == nil {
		return "inventory"
	}
	return fmt.Sprintf("inventory-%d", p.region)
}

// startInventories starts the inventory, or both.
func (f *Fleet) startInventories() error {
	if f.Set.Regions == nil {
		p := &invProc{}
		p.world = f.site.process(p.name())
		f.invs = []*invProc{p}
		var err error
		if p.inv, err = standin.ServeInventory(p.world, "127.0.0.1:0", listLate); err == nil {
			p.where.Store(&p.inv.Addr)
		}
		return err
	}
	f.ran = map[effectKey]bool{}
	for r := range 2 {
		f.invs = append(f.invs, &invProc{region: r, saved: &standin.InventoryState{Record: firstRecord(f.Set)}})
	}
	for _, p := range f.invs {
		if err := f.startInventory(p); err != nil {
			return err
		}
	}
	return nil
}

// startInventory starts a region's inventory with what was saved.
func (f *Fleet) startInventory(p *invProc) error {
	p.starts++
	p.world = f.site.process(fmt.Sprintf("%s#%d", p.name(), p.starts))
	// One clock runs fast and one slow, by what the bound leaves.
	f.site.pace(p.world, 1+(0.9-1.8*float64(p.region))*f.Set.Regions.Drift)
	other := f.invs[1-p.region]
	cfg := f.Set.Regions.Config()
	cfg.Fixed = f.fixed
	serve := func(addr string) (*standin.Inventory, error) {
		return standin.ServeRegion(p.world, addr, listLate, cfg, region.ID(p.region), uint64(p.starts), p.saved, func() string { return at(&other.where) })
	}
	inv, err := serve(cmp.Or(at(&p.where), "127.0.0.1:0"))
	if err != nil { // somebody else has the port that it had
		inv, err = serve("127.0.0.1:0")
	}
	if err != nil {
		return err
	}
	p.inv = inv
	p.where.Store(&inv.Addr)
	for _, h := range f.hosts {
		if h.list != nil && f.regionOf(h.self) == p.region {
			h.list.Point(inv.Addr)
		}
	}
	return nil
}

// at is an address that may not be there yet.
func at(p interface{ Load() *string }) string {
	if s := p.Load(); s != nil {
		return *s
	}
	return ""
}

// regional gives a disk server its inventory and its peer.
func (f *Fleet) regional(d *disk, s *standin.DiskServer) {
	if f.Set.Regions == nil {
		return
	}
	inv := f.invs[d.region]
	s.Inventory = func() string { return at(&inv.where) }
	peer := f.disks[d.shard+(1-d.region)*f.Set.Shards]
	s.Peer = func() string { return at(&peer.where) }
}

type effectKey struct{ host, seq uint64 }

// effect counts what takes effect at disk servers of either region.
func (f *Fleet) effect(d *diskproto.Do) {
	if d.Effect == diskproto.Safe {
		return
	}
	k := effectKey{d.Host, d.Seq}
	f.counting.Lock()
	defer f.counting.Unlock()
	if f.ran[k] {
		f.again++
	}
	f.ran[k] = true
}

// LoseRegion ends everything in a region at once, and starts it again after down, with
// the inventory that was put by, if any.
func (f *Fleet) LoseRegion(r int, down time.Duration, old [2]*standin.InventoryState) {
	if !f.LoseInventory(r, down, old) {
		return
	}
	f.mu.Lock()
	f.gone[r] = true
	f.losses = append(f.losses, Loss{r, f.Environment.Now(), f.Environment.Now() + down})
	f.mu.Unlock()
	for i := range f.hosts {
		if f.regionOf(i) == r {
			f.KillHost(i, down+200*time.Millisecond)
		}
	}
	for i, d := range f.disks {
		if d.region == r {
			f.CutPower(i, down+100*time.Millisecond)
		}
	}
}

// Loss is the time for which a region was lost.
type Loss struct {
	Region   int
	At, Back time.Duration
}

// LoseInventory ends a region's inventory, and starts it again after down, with what was
// put by, if anything; false if it is down.
func (f *Fleet) LoseInventory(r int, down time.Duration, old [2]*standin.InventoryState) bool {
	f.mu.Lock()
	p := f.invs[r]
	v, w := p.inv, p.world
	p.inv = nil
	f.mu.Unlock()
	if v == nil {
		return false
	}
	if !f.site.crash(w, true) {
		v.Close()
	}
	f.after(down, func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.gone[r] = false
		if old[r] != nil {
			p.saved = old[r].Clone()
		}
		if err := f.startInventory(p); err != nil {
			f.log.Error("inventory does not start", zap.Error(err))
			return
		}
		for _, d := range f.disks { // those that are up all the same
			if d.region == r && d.server != nil {
				f.list(r, true, d.entry())
			}
		}
	})
	return true
}

// Gone tells whether a region is lost as a whole.
func (f *Fleet) Gone(r int) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.gone[r]
}

// PutBy is a copy of what the inventories have now.
func (f *Fleet) PutBy() (out [2]*standin.InventoryState) {
	for r, p := range f.invs {
		if p.inv != nil && p.saved != nil {
			out[r] = p.inv.State()
		}
	}
	return out
}

// programs names the programs of a region, without its clients.
func (f *Fleet) programs(r int) (out []string) {
	out = append(out, f.invs[r].name())
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

// Across gives the ways from programs of one region to those of the other a state.
func (f *Fleet) Across(from int, n world.LinkState) {
	for _, a := range f.programs(from) {
		for _, b := range f.programs(1 - from) {
			f.site.link(a, b, n)
		}
	}
}

// ToInventories gives the ways from and to the inventories a state.
func (f *Fleet) ToInventories(n world.LinkState) {
	all := append(f.programs(0), f.programs(1)...)
	for r := range 2 {
		inv := f.invs[r].name()
		for _, p := range all {
			if p != inv {
				f.site.link(p, inv, n)
				f.site.link(inv, p, n)
			}
		}
	}
}

// spanRegions has clients try the hosts of the region that their volume prefers first, and
// others while those do not serve, as multipath does.
func (c *Crowd) spanRegions() {
	for i, ls := range c.lanes {
		prefers := int(homeOf(c.fleet.Set.Volumes[i].Layout[0]))
		slices.SortStableFunc(ls, func(a, b *lane) int {
			return cmp.Compare((c.fleet.regionOf(a.host)+prefers)%2, (c.fleet.regionOf(b.host)+prefers)%2)
		})
	}
	c.choose = func(volume int) *lane {
		now := c.fleet.Environment.Now()
		var up *lane
		for _, l := range c.lanes[volume] {
			if c.fleet.HostAddr(l.host) == "" {
				continue
			}
			if l.tried(now) {
				return l
			}
			if up == nil {
				up = l
			}
		}
		return up
	}
	c.ledger.Loose = map[string]bool{}
	for _, v := range c.fleet.Set.Volumes {
		for _, p := range c.fleet.Set.Plans {
			if p.Name == v.Plan && p.WriteAck == settings.AckBeforeCopy {
				c.ledger.Loose[v.Name] = true
			}
		}
	}
}

const (
	shunAfter = 3
	shunFor   = time.Second
)

// judge notes how a command fared on the lane.
func (l *lane) judge(now time.Duration, served bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.missed++; served {
		l.missed = 0
	} else if l.missed >= shunAfter {
		l.missed, l.shunned = 0, now+shunFor
	}
}

// tried tells whether the lane is one to try now.
func (l *lane) tried(now time.Duration) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return now >= l.shunned
}

// Tell asks a region's inventory for something, as an operator would.
func (f *Fleet) Tell(r int, a inventory.Ask) (inventory.List, error) {
	c := inventory.NewCaller(f.Environment, func() string { return at(&f.invs[r].where) })
	defer c.Close()
	return c.Ask(a, time.Second)
}

// StallHost has a host stand still and wake inside the lease that it had.
func (f *Fleet) StallHost(i int, still time.Duration) {
	f.mu.Lock()
	h := f.hosts[i]
	f.mu.Unlock()
	f.Rec.Add(trail.Event{Link: trail.LinkFault, Kind: trail.Stalled, Host: h.name, Deadline: int64((f.Environment.Now() + still) / time.Microsecond)})
	if p, ok := h.world.(*world.Process); ok {
		if !p.Dead() {
			p.Stall(still)
		}
		return
	}
	var until env.Gate
	h.gate.Freeze(&until)
	f.Environment.AfterFunc(still, until.Open)
}
