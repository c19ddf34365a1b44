package lab

import (
	"math/rand/v2"
	"time"

	"merlinhitch/internal/simulation/standin"
)

// Each trouble begins at once, lasts so long and undoes itself. Sizes are within
// what the deployments have seen.

func between(rng *rand.Rand, low, high float64) float64 { return low + (high-low)*rng.Float64() }

// places is how many disk servers there are, in all regions.
func (d *day) places() int { return len(d.fleet.disks) }

// some draws a part of n things, one at least.
func some(rng *rand.Rand, n int, part float64) []int {
	k := max(int(float64(n)*part+0.5), 1)
	return rng.Perm(n)[:min(k, n)]
}

// machines gives some disk servers a trouble for a while.
func (d *day) machines(rng *rand.Rand, part float64, len time.Duration, t func() standin.MachineFaults) {
	for _, i := range some(rng, d.places(), part) {
		if s := d.fleet.Disk(i); s != nil {
			s.SetFaults(t())
			d.fleet.after(len, func() { s.SetFaults(standin.MachineFaults{}) })
		}
	}
}

// wires gives some disk servers' connections a trouble for a while.
func (d *day) wires(rng *rand.Rand, part float64, len time.Duration, t standin.NetworkFaults) {
	for _, i := range some(rng, d.places(), part) {
		if s := d.fleet.Disk(i); s != nil {
			s.SetNetworkFaults(t)
			d.fleet.after(len, func() { s.SetNetworkFaults(standin.NetworkFaults{}) })
		}
	}
}

// habit changes the clients for a while.
func (d *day) habit(len time.Duration, on, off func(*Habits)) {
	d.crowd.Set(on)
	d.fleet.after(len, func() { d.crowd.Set(off) })
}

func crash(d *day, rng *rand.Rand, len time.Duration) {
	for _, i := range some(rng, d.places(), 0.15) {
		d.fleet.KillDisk(i, max(len/2, time.Second))
	}
}

func slow(d *day, rng *rand.Rand, len time.Duration) {
	d.machines(rng, 0.2, len, func() standin.MachineFaults { return standin.MachineFaults{SlowFactor: between(rng, 4.5, 9.4)} })
}

func pauses(d *day, rng *rand.Rand, len time.Duration) {
	d.machines(rng, 0.45, len, func() standin.MachineFaults {
		return standin.MachineFaults{PauseLength: between(rng, 75, 210), PauseInterval: between(rng, 800, 3000)}
	})
}

func neighbour(d *day, rng *rand.Rand, len time.Duration) {
	d.machines(rng, 0.44, len, func() standin.MachineFaults { return standin.MachineFaults{StolenShare: between(rng, 0.3, 0.58)} })
}

func fastErrors(d *day, rng *rand.Rand, len time.Duration) {
	d.machines(rng, 0.2, len, func() standin.MachineFaults { return standin.MachineFaults{FailShare: between(rng, 0.44, 0.97)} })
}

// massRestart strikes one hall: all its servers within 0.4 s.
func massRestart(d *day, rng *rand.Rand, len time.Duration) {
	hall := rng.IntN(min(d.places(), 3))
	for i := hall; i < d.places(); i += 3 {
		back := time.Duration(between(rng, 1, 4) * float64(time.Second))
		d.fleet.after(time.Duration(between(rng, 0, 0.4)*float64(time.Second)), func() { d.fleet.KillDisk(i, back) })
	}
}

func deploy(d *day, rng *rand.Rand, len time.Duration) {
	turn := some(rng, d.places(), 0.5)
	for k, i := range turn {
		d.fleet.after(len*time.Duration(k)/time.Duration(d.places()), func() { d.fleet.Deploy(i, 900*time.Millisecond) })
	}
}

func reportLate(d *day, rng *rand.Rand, len time.Duration) {
	late := between(rng, 500, 4800)
	d.fleet.inventories(func(v *standin.Inventory) { v.SetDelay(listLate + late/4) })
	d.fleet.after(len, func() { d.fleet.inventories(func(v *standin.Inventory) { v.SetDelay(listLate) }) })
	d.machines(rng, 1, len, func() standin.MachineFaults { return standin.MachineFaults{UsageDelay: late} })
}

func hotKey(d *day, rng *rand.Rand, len time.Duration) {
	hot := rng.Perm(d.opt.Servers)[:min(3, d.opt.Servers)]
	share := between(rng, 0.1, 0.4)
	d.habit(len, func(h *Habits) { h.Hot, h.HotShare = hot, share }, func(h *Habits) { h.Hot, h.HotShare = nil, 0 })
}

func burst(d *day, rng *rand.Rand, len time.Duration) {
	x := between(rng, 1.7, 2.4)
	d.habit(len, func(h *Habits) { h.Rate = x }, func(h *Habits) { h.Rate = 0 })
}

func tenantBurst(d *day, rng *rand.Rand, len time.Duration) {
	plan := d.fleet.Set.Plans[rng.IntN(3)].Name
	x := between(rng, 2.8, 5.9)
	d.habit(len, func(h *Habits) { h.Plan, h.PlanX = plan, x }, func(h *Habits) { h.Plan, h.PlanX = "", 0 })
}

// reconnect drops a share of the sessions, and the lead passes to other hosts.
func reconnect(d *day, rng *rand.Rand, len time.Duration) {
	for _, ls := range d.crowd.lanes {
		if rng.Float64() > 0.4 {
			continue
		}
		for _, l := range ls {
			l.mu.Lock()
			s := l.client
			l.mu.Unlock()
			if s != nil {
				d.fleet.after(time.Duration(rng.Float64()*float64(len)), func() { l.drop(s); s.Close() })
			}
		}
	}
	d.habit(len, func(h *Habits) { h.Swap = true }, func(h *Habits) { h.Swap = false })
}

func retryAbuse(d *day, rng *rand.Rand, len time.Duration) {
	plan := d.fleet.Set.Plans[rng.IntN(3)].Name
	at, more := between(rng, 0.2, 0.58), 5+rng.IntN(10)
	d.habit(len, func(h *Habits) { h.AbusePlan, h.AbuseAt, h.AbuseMore = plan, at, more },
		func(h *Habits) { h.AbusePlan, h.AbuseAt, h.AbuseMore = "", 0, 0 })
}

func giveUp(d *day, rng *rand.Rand, len time.Duration) {
	x := between(rng, 0.1, 0.4)
	d.habit(len, func(h *Habits) { h.LeaveEach = x }, func(h *Habits) { h.LeaveEach = 0 })
}

func balancerCrash(d *day, rng *rand.Rand, len time.Duration) {
	for _, i := range some(rng, d.opt.Hosts, 0.4) {
		d.fleet.KillHost(i, time.Duration(between(rng, 1.2, 3)*float64(time.Second)))
	}
}

func netHang(d *day, rng *rand.Rand, len time.Duration) {
	d.wires(rng, 0.1, len, standin.NetworkFaults{Hang: true})
}

func netTorn(d *day, rng *rand.Rand, len time.Duration) {
	d.wires(rng, 0.2, len, standin.NetworkFaults{TruncateShare: between(rng, 0.02, 0.1)})
}

func netBytewise(d *day, rng *rand.Rand, len time.Duration) {
	d.wires(rng, 0.1, len, standin.NetworkFaults{ByteAtATime: true})
}

// netLate holds answers back until after most time-outs.
func netLate(d *day, rng *rand.Rand, len time.Duration) {
	d.wires(rng, 0.2, len, standin.NetworkFaults{Delay: between(rng, 900, 5000), DelayShare: between(rng, 0.05, 0.3)})
}

// listCut breaks the hosts' connections to the inventory.
func listCut(d *day, _ *rand.Rand, len time.Duration) {
	cut := func() { d.fleet.inventories((*standin.Inventory).DropConnections) }
	cut()
	d.fleet.after(len/2, cut)
}
