package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"merlinhitch/internal/control/settings"
	"merlinhitch/internal/fleet/region"
	"merlinhitch/internal/protocol/initiator"
	"merlinhitch/internal/protocol/inventory"
	"merlinhitch/internal/runtime/env"
	"merlinhitch/internal/simulation/standin"
)

func init() {
	cases["returning-region"], servers["region-inventory"], servers["region-disk"] = returningRegion, serveRegion, serveRegionDisk
}

// regionSettings are those of a service of two regions with one host and one disk server in each: the
// example settings, with the bounds that the project's own days of regions have.
func regionSettings() *settings.Settings {
	s := settings.Example(2, 1)
	s.Regions = &settings.Regions{LeaseTime: 3000, PeerTimeout: 1500, Drift: 0.05, Hosts: []int{0, 1}}
	for i := range s.Volumes {
		s.Volumes[i].Hosts = []int{0, 1}
	}
	return s
}

// serveRegion is the process of a region's inventory: the project's, with its arguments region, own
// address, address of the other region's and address of the region's disk server.
func serveRegion(args []string) error {
	self, _ := strconv.Atoi(args[0])
	s := regionSettings()
	split := make([][2]float64, len(s.Plans))
	for i := range split {
		split[i] = [2]float64{0.5, 0.5}
	}
	saved := &standin.InventoryState{Record: region.Begin(0, []region.ID{0}, split)}
	server, err := standin.ServeRegion(env.NewReal(), args[1], 0, s.Regions.Config(), region.ID(self), 1, saved, func() string { return args[2] })
	if err != nil {
		return err
	}
	server.ChangeNow(func(b *inventory.Book) {
		b.Set(inventory.Node{Addr: args[3], Health: inventory.Ready, Shard: 0, Zone: fmt.Sprintf("hall-%d", self), Weight: 1, Incarnation: uint64(self + 1)}, 0)
	})
	waitForEnd()
	return nil
}

// serveRegionDisk is the process of a region's disk server: the project's, with its arguments region,
// address of the region's inventory and address of the other region's disk server. It prints its own.
func serveRegionDisk(args []string) error {
	self, _ := strconv.Atoi(args[0])
	store := standin.NewShardStore(func(string) int { return blockBytes })
	store.EnableReplication(region.ID(self))
	machine := standin.NewMachine(standin.MachineConfig{Cores: 2, QueueLimit: 120, UnitWork: 1, WriteFactor: 1.5, ColdCapacity: 1, OverloadWindow: 1000, OverloadFactor: 2},
		uint64(self+1), store, standin.NewDedupCache(6000), nil, 0, 0, false)
	server := &standin.DiskServer{Name: fmt.Sprintf("disk-%d", self), Zone: fmt.Sprintf("hall-%d", self), Rack: fmt.Sprintf("rack-%d", self),
		Inventory: func() string { return args[1] }, Peer: func() string { return args[2] }}
	if err := standin.ServeDisk(env.NewReal(), machine, server); err != nil {
		return err
	}
	fmt.Println(server.Addr)
	waitForEnd()
	return nil
}

// waitForEnd waits for a signal that ends the process.
func waitForEnd() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
	<-signals
}

// link is a connection between the regions that can be cut: what is on it then goes nowhere.
type link struct {
	listener net.Listener
	mu       sync.Mutex
	target   string
	cut      bool
	conns    []net.Conn
}

// startLink starts a link whose target is named later.
func startLink() *link {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	k := &link{listener: l}
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go k.carry(conn)
		}
	}()
	return k
}

func (k *link) addr() string { return k.listener.Addr().String() }

func (k *link) point(target string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.target = target
}

func (k *link) isCut() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.cut
}

// setCut cuts the link, or heals it: connections of a time of silence are reset then.
func (k *link) setCut(cut bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.cut = cut; !cut {
		for _, c := range k.conns {
			c.Close()
		}
		k.conns = nil
	}
}

func (k *link) carry(near net.Conn) {
	k.mu.Lock()
	target := k.target
	k.conns = append(k.conns, near)
	cut := k.cut
	k.mu.Unlock()
	if cut {
		return // silent until it is healed
	}
	far, err := net.DialTimeout("tcp", target, time.Second)
	if err != nil {
		near.Close()
		return
	}
	k.mu.Lock()
	k.conns = append(k.conns, far)
	k.mu.Unlock()
	go k.copy(near, far)
	k.copy(far, near)
}

// copy carries what comes until the link is cut; what comes then is dropped.
func (k *link) copy(to, from net.Conn) {
	buffer := make([]byte, 64<<10)
	for {
		n, err := from.Read(buffer)
		if k.isCut() {
			if err != nil {
				return
			}
			continue
		}
		if err == nil || err == io.EOF && n > 0 {
			if _, werr := to.Write(buffer[:n]); werr != nil {
				err = werr
			}
		}
		if err != nil {
			to.Close()
			from.Close()
			return
		}
	}
}

// site is the processes of one region.
type site struct {
	procs            []*process
	portal, operator string // where clients and operators connect
}

func (s *site) signal(number syscall.Signal) {
	for _, c := range s.procs {
		c.Process.Signal(number)
	}
}

// startSites starts both regions and returns them with the links between them.
func (b *bench) startSites() (sites [2]*site, links []*link, err error) {
	var lists, disks [2]*link // towards the inventory and the disk server of a region, from the other
	var inventories [2]string
	for i := range sites {
		sites[i] = &site{}
		lists[i], disks[i], inventories[i] = startLink(), startLink(), freePort()
		lists[i].point(inventories[i])
		links = append(links, lists[i], disks[i])
	}
	data, err := json.Marshal(regionSettings())
	if err != nil {
		return sites, links, err
	}
	settingsFile := filepath.Join(b.dir, "settings.json")
	if err := os.WriteFile(settingsFile, data, 0o644); err != nil {
		return sites, links, err
	}
	for i, s := range sites {
		name := fmt.Sprintf("disk-%d", i)
		disk, err := b.spawn(name, fmt.Sprintf("exec bin/review-second region-disk %d %s %s", i, inventories[i], disks[1-i].addr()))
		if err != nil {
			return sites, links, err
		}
		address, err := b.firstLine(name)
		if err != nil {
			return sites, links, err
		}
		disks[i].point(address)
		list, err := b.spawn(fmt.Sprintf("inventory-%d", i), fmt.Sprintf("exec bin/review-second region-inventory %d %s %s %s", i, inventories[i], lists[1-i].addr(), address))
		if err != nil {
			return sites, links, err
		}
		s.operator = inventories[i]
		s.procs = append(s.procs, disk, list)
	}
	for i, s := range sites {
		s.portal = freePort()
		admin := freePort()
		name := fmt.Sprintf("gateway-%d", i)
		c, err := b.spawn(name, fmt.Sprintf("exec bin/merlinhitch gateway --name %s --self %d --listen %s --admin %s --inventory %s --snapshot %s",
			name, i, s.portal, admin, s.operator, filepath.Join(b.dir, name+".snap")))
		if err != nil {
			return sites, links, err
		}
		s.procs = append(s.procs, c)
		if err := b.putSettings(admin, settingsFile); err != nil {
			return sites, links, err
		}
	}
	return sites, links, nil
}

// firstLine waits for the first line that a process prints.
func (b *bench) firstLine(name string) (string, error) {
	for range 200 {
		data, _ := os.ReadFile(filepath.Join(b.dir, name+".log"))
		if line, _, ok := strings.Cut(string(data), "\n"); ok {
			return line, nil
		}
		time.Sleep(20 * time.Millisecond)
	}
	return "", fmt.Errorf("%s prints nothing", name)
}

// putSettings puts settings at a gateway, with the project's command.
func (b *bench) putSettings(admin, file string) error {
	var last error
	for range 50 {
		c := exec.Command("/bin/sh", "-c", fmt.Sprintf("bin/merlinhitch settings put --admin %s %s", admin, file))
		c.Dir = b.root
		out, err := c.CombinedOutput()
		if err == nil {
			return nil
		}
		last = fmt.Errorf("settings put: %v: %s", err, out)
		time.Sleep(100 * time.Millisecond)
	}
	return last
}

// operate runs a command of an operator and writes its output to the record.
func (b *bench) operate(command string) {
	c := exec.Command("/bin/sh", "-c", "bin/merlinhitch "+command)
	c.Dir = b.root
	out, err := c.CombinedOutput()
	b.logf("operator: %s: %v\n%s", command, err, out)
}

// attempt repeats a command on new sessions until it is GOOD, for up to that long.
func (b *bench) attempt(portal, name string, number byte, cdb, write []byte, read int, within time.Duration) outcome {
	last := outcome{err: fmt.Errorf("not tried")}
	for deadline := time.Now().Add(within); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		c, err := login(portal, "vol-001", number)
		if err != nil {
			last = outcome{err: err}
			continue
		}
		last = await(b.submit(c, name, cdb, write, read), 6*time.Second)
		c.Close()
		if last.good() {
			return last
		}
	}
	return last
}

// limitSlack is for how long, s, a limit may fill beyond its slack: what the pages allow on sockets.
const limitSlack = 0.15

// spendLimit asks both regions for all that a volume of a limited plan gets there, for 3 s. It returns the
// units that were served, one for each read, and the time from the first command to the last answer.
func (b *bench) spendLimit(sites [2]*site) (units int, span float64) {
	const readers, unitBlocks = 8, 4
	var mu sync.Mutex
	var tasks sync.WaitGroup
	began := b.since()
	stop := time.Now().Add(3 * time.Second)
	for i, s := range sites {
		c, err := login(s.portal, "vol-000", 5)
		if err != nil {
			b.logf("no session to vol-000 in region %d: %v", i, err)
			continue
		}
		defer c.Close()
		for reader := range readers {
			tasks.Go(func() {
				for time.Now().Before(stop) {
					name := fmt.Sprintf("read of the limited volume in region %d", i)
					o := await(b.submit(c, name, initiator.ReadCDB(uint64(reader*unitBlocks), unitBlocks), nil, unitBlocks*blockBytes), 6*time.Second)
					if o.good() {
						mu.Lock()
						units++
						span = max(span, o.at-began)
						mu.Unlock()
					} else {
						time.Sleep(20 * time.Millisecond)
					}
				}
			})
		}
	}
	tasks.Wait()
	return units, span
}

// returningRegion: the region that leads vanishes, an operator says that the other leads, and that takes
// over. Then the first comes back, as it was, while the link between the regions is still down.
func returningRegion(b *bench) (result, error) {
	sites, links, err := b.startSites()
	if err != nil {
		return failed, err
	}
	first := b.attempt(sites[0].portal, "write 1 in region 0", 1, initiator.WriteCDB(0, 1), fill('1', 1), 0, 15*time.Second)
	if !first.good() {
		return failed, fmt.Errorf("the first write: %v", first)
	}
	if b.trouble {
		b.logf("region 0 vanishes")
		for _, k := range links {
			k.setCut(true)
		}
		sites[0].signal(syscall.SIGSTOP)
		time.Sleep(2 * time.Second)
		b.operate("regions lead " + sites[1].operator)
	}
	second := b.attempt(sites[1].portal, "write 2 in region 1", 2, initiator.WriteCDB(0, 1), fill('2', 1), 0, 30*time.Second)
	if !second.good() {
		return failed, fmt.Errorf("region 1 does not take over: %v", second)
	}
	b.operate("regions show " + sites[1].operator)
	if b.trouble {
		time.Sleep(time.Second)
		sites[0].signal(syscall.SIGCONT)
		b.logf("the machines of region 0 are back, the link is not yet")
	}
	read := b.attempt(sites[0].portal, "read in region 0", 3, initiator.ReadCDB(0, 1), nil, blockBytes, 4*time.Second)
	third := b.attempt(sites[0].portal, "write 3 in region 0", 3, initiator.WriteCDB(0, 1), fill('3', 1), 0, 6*time.Second)
	other := b.attempt(sites[1].portal, "read in region 1", 4, initiator.ReadCDB(0, 1), nil, blockBytes, 4*time.Second)
	units, span := b.spendLimit(sites)
	b.operate("regions show " + sites[0].operator + " " + sites[1].operator)
	if b.trouble {
		for _, k := range links {
			k.setCut(false)
		}
		b.logf("the link is back")
	}
	time.Sleep(8 * time.Second)
	last := b.attempt(sites[1].portal, "last read in region 1", 4, initiator.ReadCDB(0, 1), nil, blockBytes, 10*time.Second)
	lastFirst := b.attempt(sites[0].portal, "last read in region 0", 3, initiator.ReadCDB(0, 1), nil, blockBytes, 10*time.Second)
	b.operate("regions show " + sites[0].operator + " " + sites[1].operator)
	b.say("after write 2 was acknowledged: read in region 0 %v, it holds %s; write 3 in region 0 %v; read in region 1 %v, it holds %s",
		read, content(read.data), third, other, content(other.data))
	b.say("with the link up again: region 1 %v reads %s, region 0 %v reads %s", last, content(last.data), lastFirst, content(lastFirst.data))
	stale := read.good() && content(read.data) != "2"
	expected := "2"
	if third.good() {
		expected = "3"
	}
	torn := other.good() && content(other.data) != expected
	lost := last.good() && content(last.data) != expected
	plan := regionSettings().Plans[0] // that of vol-000
	allowed := plan.Burst + plan.Overdraft + plan.Limit*(span+limitSlack)
	b.say("units of the volume of plan %s that both regions served within %.2f s: %d, where its limit allows %.0f", plan.Name, span, units, allowed)
	b.say("stale read in region 0: %v; region 1 does not see what was acknowledged: %v; an acknowledged write is gone: %v", stale, torn, lost)
	if units == 0 {
		return failed, fmt.Errorf("nothing of the limited volume was served")
	}
	if float64(units) > allowed { // the rule as written; the line above tells what it did to clients
		return broken, nil
	}
	return held, nil
}
