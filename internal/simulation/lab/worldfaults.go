package lab

import (
	"math/rand/v2"
	"slices"
	"time"

	"merlinhitch/internal/simulation/world"
	"merlinhitch/internal/verify/trail"
)

// worldFaultFuncs are the kinds of fault that only a virtual world supports: faults of links and
// clocks, stalls of processes, and crashes in the middle of a write.
var worldFaultFuncs = map[string]func(d *dayRun, simulated *world.World, rng *rand.Rand, duration time.Duration){
	"link_cut":     linkCut,
	"link_one_way": linkOneWay,
	"link_loss":    linkLoss,
	"link_slow":    linkSlow,
	"link_split":   linkSplit,
	"list_hang":    listHang,
	"host_stall":   hostStall,
	"host_torn":    hostTorn,
	"disk_stall":   diskStall,
	"power_cut":    powerCut,
	"clock_jump":   clockJump,
}

// WorldFaultKinds returns all kinds of fault in a virtual world without regions, sorted.
func WorldFaultKinds() []string {
	kinds := FaultKinds()
	for kind := range worldFaultFuncs {
		kinds = append(kinds, kind)
	}
	slices.Sort(kinds)
	return kinds
}

// faultFunc returns the function that injects a kind of fault.
func faultFunc(kind string) func(d *dayRun, rng *rand.Rand, duration time.Duration) {
	if f := faultFuncs[kind]; f != nil {
		return f
	}
	if f := regionFaults[kind]; f != nil {
		return f
	}
	if f := backgroundFuncs[kind]; f != nil {
		return f
	}
	if f := regionBackgroundFuncs[kind]; f != nil {
		return f
	}
	f := worldFaultFuncs[kind]
	return func(d *dayRun, rng *rand.Rand, duration time.Duration) {
		f(d, d.fleet.testbed.(virtualTestbed).world, rng, duration)
	}
}

// changeLink changes the link between a host and a server, in one or both directions, for a
// duration.
func changeLink(d *dayRun, simulated *world.World, host, disk string, toDisk, toHost bool, duration time.Duration, change func(*world.LinkState)) {
	changeDirection := func(from, to string) {
		link := simulated.Link(from, to)
		state := link.LinkState
		change(&state)
		link.SetState(state)
		d.fleet.afterFunc(duration, func() { link.SetState(simulated.DefaultLink) })
	}
	if toDisk {
		changeDirection(host, disk)
	}
	if toHost {
		changeDirection(disk, host)
	}
}

// samplePairs calls apply for each host with a share of the disk servers.
func samplePairs(d *dayRun, rng *rand.Rand, share float64, apply func(host, disk string)) {
	for host := range d.options.Hosts {
		for _, index := range sample(rng, d.diskCount(), share) {
			apply(world.StableName(d.fleet.hosts[host].name), d.fleet.disks[index].name)
		}
	}
}

// linkCut partitions pairs of hosts and disk servers for half the duration.
func linkCut(d *dayRun, simulated *world.World, rng *rand.Rand, duration time.Duration) {
	samplePairs(d, rng, 0.15, func(host, disk string) {
		changeLink(d, simulated, host, disk, true, true, duration/2, func(state *world.LinkState) { state.Partitioned = true })
	})
}

// linkOneWay partitions pairs of hosts and disk servers in one direction for half the duration.
func linkOneWay(d *dayRun, simulated *world.World, rng *rand.Rand, duration time.Duration) {
	toDisk := rng.IntN(2) == 0
	samplePairs(d, rng, 0.15, func(host, disk string) {
		changeLink(d, simulated, host, disk, toDisk, !toDisk, duration/2, func(state *world.LinkState) { state.Partitioned = true })
	})
}

func linkLoss(d *dayRun, simulated *world.World, rng *rand.Rand, duration time.Duration) {
	loss := uniform(rng, 0.02, 0.3)
	samplePairs(d, rng, 0.3, func(host, disk string) {
		changeLink(d, simulated, host, disk, true, true, duration, func(state *world.LinkState) { state.Loss = loss })
	})
}

func linkSlow(d *dayRun, simulated *world.World, rng *rand.Rand, duration time.Duration) {
	delay := time.Duration(uniform(rng, 2, 60) * float64(time.Millisecond))
	samplePairs(d, rng, 0.4, func(host, disk string) {
		changeLink(d, simulated, host, disk, true, true, duration, func(state *world.LinkState) { state.Delay, state.Jitter = delay, delay })
	})
}

// linkSplit splits reads on links between hosts and disk servers.
func linkSplit(d *dayRun, simulated *world.World, rng *rand.Rand, duration time.Duration) {
	samplePairs(d, rng, 0.3, func(host, disk string) {
		changeLink(d, simulated, host, disk, true, true, duration, func(state *world.LinkState) { state.SplitReads = true })
	})
}

// listHang partitions half of the hosts from their inventory without closing connections.
func listHang(d *dayRun, simulated *world.World, rng *rand.Rand, duration time.Duration) {
	for _, host := range sample(rng, d.options.Hosts, 0.5) {
		inventoryName := world.StableName(d.fleet.inventories[d.fleet.regionOf(host)].name())
		changeLink(d, simulated, world.StableName(d.fleet.hosts[host].name), inventoryName, true, true, duration, func(state *world.LinkState) { state.Partitioned = true })
	}
}

// hostStall stalls a host for up to 8 s; timers that expire meanwhile are due when it resumes.
func hostStall(d *dayRun, _ *world.World, rng *rand.Rand, duration time.Duration) {
	host := d.fleet.hosts[rng.IntN(d.options.Hosts)]
	stall := min(time.Duration(uniform(rng, 0.05, 8)*float64(time.Second)), duration)
	process := host.process.(*world.Process)
	if process.Dead() {
		return
	}
	process.Stall(stall)
	d.fleet.Recorder.Add(trail.Event{Link: trail.LinkFault, Kind: trail.Stalled, Host: host.name,
		Deadline: int64((d.fleet.Environment.Now() + stall) / time.Microsecond)})
}

// hostTorn crashes a host during one of its next 200 writes and restarts it 0.5 s after half the
// duration.
func hostTorn(d *dayRun, _ *world.World, rng *rand.Rand, duration time.Duration) {
	index := rng.IntN(d.options.Hosts)
	host := d.fleet.hosts[index]
	process, name := host.process.(*world.Process), host.name
	process.CrashAfterWrites(1+rng.IntN(200), func() { d.fleet.Recorder.Add(trail.Event{Link: trail.LinkFault, Kind: trail.Killed, Host: name}) })
	d.fleet.afterFunc(duration/2, func() {
		if process.Dead() {
			d.fleet.KillHost(index, 500*time.Millisecond)
			return
		}
		process.CrashAfterWrites(0, nil) // too few writes: cancel the crash
	})
}

// diskStall stalls 20 % of the disk servers for up to 4 s.
func diskStall(d *dayRun, _ *world.World, rng *rand.Rand, duration time.Duration) {
	for _, index := range sample(rng, d.diskCount(), 0.2) {
		d.fleet.disks[index].process.(*world.Process).Stall(min(time.Duration(uniform(rng, 0.05, 4)*float64(time.Second)), duration))
	}
}

// powerCut kills 15 % of the disk servers by a power loss: peers do not see their connections closed.
func powerCut(d *dayRun, _ *world.World, rng *rand.Rand, duration time.Duration) {
	for _, index := range sample(rng, d.diskCount(), 0.15) {
		d.fleet.PowerOffDisk(index, max(duration/2, time.Second))
	}
}

// clockJump advances a host's clock by up to 3 s.
func clockJump(d *dayRun, _ *world.World, rng *rand.Rand, _ time.Duration) {
	process := d.fleet.hosts[rng.IntN(d.options.Hosts)].process.(*world.Process)
	process.AdvanceClock(time.Duration(uniform(rng, 0.02, 3) * float64(time.Second)))
}
