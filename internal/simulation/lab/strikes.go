package lab

import (
	"math/rand/v2"
	"slices"
	"time"

	"merlinhitch/internal/simulation/world"
	"merlinhitch/internal/verify/trail"
)

// worldFaultFuncs are the troubles that only a virtual world has: those of links, of
// processes that stand still or end in the midst of a step, and of clocks.
var worldFaultFuncs = map[string]func(d *dayRun, w *world.World, rng *rand.Rand, len time.Duration){
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

// WorldFaultKinds lists every kind of trouble of a virtual day.
func WorldFaultKinds() []string {
	out := FaultKinds()
	for k := range worldFaultFuncs {
		out = append(out, k)
	}
	slices.Sort(out)
	return out
}

// faultFunc is what a kind of trouble does.
func faultFunc(kind string) func(d *dayRun, rng *rand.Rand, len time.Duration) {
	if f := faultFuncs[kind]; f != nil {
		return f
	}
	if f := regionKinds[kind]; f != nil {
		return f
	}
	f := worldFaultFuncs[kind]
	return func(d *dayRun, rng *rand.Rand, len time.Duration) {
		f(d, d.fleet.testbed.(virtualTestbed).world, rng, len)
	}
}

// changeLink gives the ways between a host and a disk server another state for a while.
func changeLink(d *dayRun, w *world.World, host, disk string, there, back bool, len time.Duration, change func(*world.LinkState)) {
	set := func(from, to string) {
		l := w.Link(from, to)
		n := l.LinkState
		change(&n)
		l.SetState(n)
		d.fleet.afterFunc(len, func() { l.SetState(w.DefaultLink) })
	}
	if there {
		set(host, disk)
	}
	if back {
		set(disk, host)
	}
}

// samplePairs draws hosts and disk servers.
func samplePairs(d *dayRun, rng *rand.Rand, part float64, f func(host, disk string)) {
	for h := range d.opt.Hosts {
		for _, i := range sample(rng, d.diskCount(), part) {
			f(world.StableName(d.fleet.hosts[h].name), d.fleet.disks[i].name)
		}
	}
}

func linkCut(d *dayRun, w *world.World, rng *rand.Rand, len time.Duration) {
	samplePairs(d, rng, 0.15, func(h, s string) {
		changeLink(d, w, h, s, true, true, len/2, func(n *world.LinkState) { n.Partitioned = true })
	})
}

func linkOneWay(d *dayRun, w *world.World, rng *rand.Rand, len time.Duration) {
	there := rng.IntN(2) == 0
	samplePairs(d, rng, 0.15, func(h, s string) {
		changeLink(d, w, h, s, there, !there, len/2, func(n *world.LinkState) { n.Partitioned = true })
	})
}

func linkLoss(d *dayRun, w *world.World, rng *rand.Rand, len time.Duration) {
	loss := uniform(rng, 0.02, 0.3)
	samplePairs(d, rng, 0.3, func(h, s string) { changeLink(d, w, h, s, true, true, len, func(n *world.LinkState) { n.Loss = loss }) })
}

func linkSlow(d *dayRun, w *world.World, rng *rand.Rand, len time.Duration) {
	delay := time.Duration(uniform(rng, 2, 60) * float64(time.Millisecond))
	samplePairs(d, rng, 0.4, func(h, s string) {
		changeLink(d, w, h, s, true, true, len, func(n *world.LinkState) { n.Delay, n.Jitter = delay, delay })
	})
}

func linkSplit(d *dayRun, w *world.World, rng *rand.Rand, len time.Duration) {
	samplePairs(d, rng, 0.3, func(h, s string) {
		changeLink(d, w, h, s, true, true, len, func(n *world.LinkState) { n.SplitReads = true })
	})
}

// listHang has nothing pass between some hosts and the inventory, and nothing say so.
func listHang(d *dayRun, w *world.World, rng *rand.Rand, len time.Duration) {
	for _, h := range sample(rng, d.opt.Hosts, 0.5) {
		inv := world.StableName(d.fleet.inventories[d.fleet.regionOf(h)].name())
		changeLink(d, w, world.StableName(d.fleet.hosts[h].name), inv, true, true, len, func(n *world.LinkState) { n.Partitioned = true })
	}
}

// hostStall has a host stand still and then wake with all that came due meanwhile.
func hostStall(d *dayRun, _ *world.World, rng *rand.Rand, len time.Duration) {
	h := d.fleet.hosts[rng.IntN(d.opt.Hosts)]
	still := min(time.Duration(uniform(rng, 0.05, 8)*float64(time.Second)), len)
	p := h.process.(*world.Process)
	if p.Dead() {
		return
	}
	p.Stall(still)
	d.fleet.Recorder.Add(trail.Event{Link: trail.LinkFault, Kind: trail.Stalled, Host: h.name,
		Deadline: int64((d.fleet.Environment.Now() + still) / time.Microsecond)})
}

// hostTorn ends a host as the bytes of one of its next writes leave it.
func hostTorn(d *dayRun, _ *world.World, rng *rand.Rand, len time.Duration) {
	i := rng.IntN(d.opt.Hosts)
	h := d.fleet.hosts[i]
	p, name := h.process.(*world.Process), h.name
	p.CrashAfterWrites(1+rng.IntN(200), func() { d.fleet.Recorder.Add(trail.Event{Link: trail.LinkFault, Kind: trail.Killed, Host: name}) })
	d.fleet.afterFunc(len/2, func() {
		if p.Dead() {
			d.fleet.KillHost(i, 500*time.Millisecond)
			return
		}
		p.CrashAfterWrites(0, nil) // it wrote too little
	})
}

func diskStall(d *dayRun, _ *world.World, rng *rand.Rand, len time.Duration) {
	for _, i := range sample(rng, d.diskCount(), 0.2) {
		d.fleet.disks[i].process.(*world.Process).Stall(min(time.Duration(uniform(rng, 0.05, 4)*float64(time.Second)), len))
	}
}

// powerCut ends disk servers together with their machines: no connection is closed.
func powerCut(d *dayRun, _ *world.World, rng *rand.Rand, len time.Duration) {
	for _, i := range sample(rng, d.diskCount(), 0.15) {
		d.fleet.PowerOffDisk(i, max(len/2, time.Second))
	}
}

// clockJump sets a host's clock forward.
func clockJump(d *dayRun, _ *world.World, rng *rand.Rand, _ time.Duration) {
	p := d.fleet.hosts[rng.IntN(d.opt.Hosts)].process.(*world.Process)
	p.AdvanceClock(time.Duration(uniform(rng, 0.02, 3) * float64(time.Second)))
}
