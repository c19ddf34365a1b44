package lab

import (
	"math/rand/v2"
	"slices"
	"time"

	"merlinhitch/internal/simulation/world"
	"merlinhitch/internal/verify/trail"
)

// worldKinds are the troubles that only a virtual world has: those of links, of
// processes that stand still or end in the midst of a step, and of clocks.
var worldKinds = map[string]func(d *day, w *world.World, rng *rand.Rand, len time.Duration){
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

// WorldKinds lists every kind of trouble of a virtual day.
func WorldKinds() []string {
	out := Kinds()
	for k := range worldKinds {
		out = append(out, k)
	}
	slices.Sort(out)
	return out
}

// strikes is what a kind of trouble does.
func strikes(kind string) func(d *day, rng *rand.Rand, len time.Duration) {
	if f := kinds[kind]; f != nil {
		return f
	}
	if f := regionKinds[kind]; f != nil {
		return f
	}
	f := worldKinds[kind]
	return func(d *day, rng *rand.Rand, len time.Duration) { f(d, d.fleet.site.(virtual).w, rng, len) }
}

// link gives the ways between a host and a disk server another state for a while.
func link(d *day, w *world.World, host, disk string, there, back bool, len time.Duration, change func(*world.LinkState)) {
	set := func(from, to string) {
		l := w.Link(from, to)
		n := l.LinkState
		change(&n)
		l.SetState(n)
		d.fleet.after(len, func() { l.SetState(w.DefaultLink) })
	}
	if there {
		set(host, disk)
	}
	if back {
		set(disk, host)
	}
}

// pairs draws hosts and disk servers.
func pairs(d *day, rng *rand.Rand, part float64, f func(host, disk string)) {
	for h := range d.opt.Hosts {
		for _, i := range some(rng, d.places(), part) {
			f(world.StableName(d.fleet.hosts[h].name), d.fleet.disks[i].name)
		}
	}
}

func linkCut(d *day, w *world.World, rng *rand.Rand, len time.Duration) {
	pairs(d, rng, 0.15, func(h, s string) {
		link(d, w, h, s, true, true, len/2, func(n *world.LinkState) { n.Partitioned = true })
	})
}

func linkOneWay(d *day, w *world.World, rng *rand.Rand, len time.Duration) {
	there := rng.IntN(2) == 0
	pairs(d, rng, 0.15, func(h, s string) {
		link(d, w, h, s, there, !there, len/2, func(n *world.LinkState) { n.Partitioned = true })
	})
}

func linkLoss(d *day, w *world.World, rng *rand.Rand, len time.Duration) {
	loss := between(rng, 0.02, 0.3)
	pairs(d, rng, 0.3, func(h, s string) { link(d, w, h, s, true, true, len, func(n *world.LinkState) { n.Loss = loss }) })
}

func linkSlow(d *day, w *world.World, rng *rand.Rand, len time.Duration) {
	delay := time.Duration(between(rng, 2, 60) * float64(time.Millisecond))
	pairs(d, rng, 0.4, func(h, s string) {
		link(d, w, h, s, true, true, len, func(n *world.LinkState) { n.Delay, n.Jitter = delay, delay })
	})
}

func linkSplit(d *day, w *world.World, rng *rand.Rand, len time.Duration) {
	pairs(d, rng, 0.3, func(h, s string) { link(d, w, h, s, true, true, len, func(n *world.LinkState) { n.SplitReads = true }) })
}

// listHang has nothing pass between some hosts and the inventory, and nothing say so.
func listHang(d *day, w *world.World, rng *rand.Rand, len time.Duration) {
	for _, h := range some(rng, d.opt.Hosts, 0.5) {
		inv := world.StableName(d.fleet.invs[d.fleet.regionOf(h)].name())
		link(d, w, world.StableName(d.fleet.hosts[h].name), inv, true, true, len, func(n *world.LinkState) { n.Partitioned = true })
	}
}

// hostStall has a host stand still and then wake with all that came due meanwhile.
func hostStall(d *day, _ *world.World, rng *rand.Rand, len time.Duration) {
	h := d.fleet.hosts[rng.IntN(d.opt.Hosts)]
	still := min(time.Duration(between(rng, 0.05, 8)*float64(time.Second)), len)
	p := h.world.(*world.Process)
	if p.Dead() {
		return
	}
	p.Stall(still)
	d.fleet.Rec.Add(trail.Event{Link: trail.LinkFault, Kind: trail.Stalled, Host: h.name,
		Deadline: int64((d.fleet.Environment.Now() + still) / time.Microsecond)})
}

// hostTorn ends a host as the bytes of one of its next writes leave it.
func hostTorn(d *day, _ *world.World, rng *rand.Rand, len time.Duration) {
	i := rng.IntN(d.opt.Hosts)
	h := d.fleet.hosts[i]
	p, name := h.world.(*world.Process), h.name
	p.CrashAfterWrites(1+rng.IntN(200), func() { d.fleet.Rec.Add(trail.Event{Link: trail.LinkFault, Kind: trail.Killed, Host: name}) })
	d.fleet.after(len/2, func() {
		if p.Dead() {
			d.fleet.KillHost(i, 500*time.Millisecond)
			return
		}
		p.CrashAfterWrites(0, nil) // it wrote too little
	})
}

func diskStall(d *day, _ *world.World, rng *rand.Rand, len time.Duration) {
	for _, i := range some(rng, d.places(), 0.2) {
		d.fleet.disks[i].world.(*world.Process).Stall(min(time.Duration(between(rng, 0.05, 4)*float64(time.Second)), len))
	}
}

// powerCut ends disk servers together with their machines: no connection is closed.
func powerCut(d *day, _ *world.World, rng *rand.Rand, len time.Duration) {
	for _, i := range some(rng, d.places(), 0.15) {
		d.fleet.CutPower(i, max(len/2, time.Second))
	}
}

// clockJump sets a host's clock forward.
func clockJump(d *day, _ *world.World, rng *rand.Rand, _ time.Duration) {
	p := d.fleet.hosts[rng.IntN(d.opt.Hosts)].world.(*world.Process)
	p.AdvanceClock(time.Duration(between(rng, 0.02, 3) * float64(time.Second)))
}
