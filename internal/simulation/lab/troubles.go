package lab

import (
	"math/rand/v2"
	"time"

	"merlinhitch/internal/simulation/standin"
)

// Each trouble begins at once, lasts so long and undoes itself. Sizes are within
// what the deployments have seen.

func uniform(rng *rand.Rand, low, high float64) float64 { return low + (high-low)*rng.Float64() }

// diskCount is how many disk servers there are, in all regions.
func (d *dayRun) diskCount() int { return len(d.fleet.disks) }

// sample draws a part of n things, one at least.
func sample(rng *rand.Rand, n int, part float64) []int {
	k := max(int(float64(n)*part+0.5), 1)
	return rng.Perm(n)[:min(k, n)]
}

// injectMachineFaults gives some disk servers a trouble for a while.
func (d *dayRun) injectMachineFaults(rng *rand.Rand, part float64, len time.Duration, t func() standin.MachineFaults) {
	for _, i := range sample(rng, d.diskCount(), part) {
		if s := d.fleet.DiskServer(i); s != nil {
			s.SetFaults(t())
			d.fleet.afterFunc(len, func() { s.SetFaults(standin.MachineFaults{}) })
		}
	}
}

// injectNetworkFaults gives some disk servers' connections a trouble for a while.
func (d *dayRun) injectNetworkFaults(rng *rand.Rand, part float64, len time.Duration, t standin.NetworkFaults) {
	for _, i := range sample(rng, d.diskCount(), part) {
		if s := d.fleet.DiskServer(i); s != nil {
			s.SetNetworkFaults(t)
			d.fleet.afterFunc(len, func() { s.SetNetworkFaults(standin.NetworkFaults{}) })
		}
	}
}

// changeBehaviour changes the clients for a while.
func (d *dayRun) changeBehaviour(len time.Duration, on, off func(*ClientBehaviour)) {
	d.clients.ChangeBehaviour(on)
	d.fleet.afterFunc(len, func() { d.clients.ChangeBehaviour(off) })
}

func crash(d *dayRun, rng *rand.Rand, len time.Duration) {
	for _, i := range sample(rng, d.diskCount(), 0.15) {
		d.fleet.KillDisk(i, max(len/2, time.Second))
	}
}

func slow(d *dayRun, rng *rand.Rand, len time.Duration) {
	d.injectMachineFaults(rng, 0.2, len, func() standin.MachineFaults { return standin.MachineFaults{SlowFactor: uniform(rng, 4.5, 9.4)} })
}

func pauses(d *dayRun, rng *rand.Rand, len time.Duration) {
	d.injectMachineFaults(rng, 0.45, len, func() standin.MachineFaults {
		return standin.MachineFaults{PauseLength: uniform(rng, 75, 210), PauseInterval: uniform(rng, 800, 3000)}
	})
}

func noisyNeighbour(d *dayRun, rng *rand.Rand, len time.Duration) {
	d.injectMachineFaults(rng, 0.44, len, func() standin.MachineFaults { return standin.MachineFaults{StolenShare: uniform(rng, 0.3, 0.58)} })
}

func fastErrors(d *dayRun, rng *rand.Rand, len time.Duration) {
	d.injectMachineFaults(rng, 0.2, len, func() standin.MachineFaults { return standin.MachineFaults{FailShare: uniform(rng, 0.44, 0.97)} })
}

// massRestart strikes one hall: all its servers within 0.4 s.
func massRestart(d *dayRun, rng *rand.Rand, len time.Duration) {
	hall := rng.IntN(min(d.diskCount(), 3))
	for i := hall; i < d.diskCount(); i += 3 {
		back := time.Duration(uniform(rng, 1, 4) * float64(time.Second))
		d.fleet.afterFunc(time.Duration(uniform(rng, 0, 0.4)*float64(time.Second)), func() { d.fleet.KillDisk(i, back) })
	}
}

func deploy(d *dayRun, rng *rand.Rand, len time.Duration) {
	turn := sample(rng, d.diskCount(), 0.5)
	for k, i := range turn {
		d.fleet.afterFunc(len*time.Duration(k)/time.Duration(d.diskCount()), func() { d.fleet.ReplaceDisk(i, 900*time.Millisecond) })
	}
}

func reportLate(d *dayRun, rng *rand.Rand, len time.Duration) {
	late := uniform(rng, 500, 4800)
	d.fleet.eachInventory(func(v *standin.Inventory) { v.SetDelay(inventoryDelay + late/4) })
	d.fleet.afterFunc(len, func() { d.fleet.eachInventory(func(v *standin.Inventory) { v.SetDelay(inventoryDelay) }) })
	d.injectMachineFaults(rng, 1, len, func() standin.MachineFaults { return standin.MachineFaults{UsageDelay: late} })
}

func hotKey(d *dayRun, rng *rand.Rand, len time.Duration) {
	hot := rng.Perm(d.opt.Servers)[:min(3, d.opt.Servers)]
	share := uniform(rng, 0.1, 0.4)
	d.changeBehaviour(len, func(h *ClientBehaviour) { h.HotVolumes, h.HotShare = hot, share }, func(h *ClientBehaviour) { h.HotVolumes, h.HotShare = nil, 0 })
}

func burst(d *dayRun, rng *rand.Rand, len time.Duration) {
	x := uniform(rng, 1.7, 2.4)
	d.changeBehaviour(len, func(h *ClientBehaviour) { h.RateFactor = x }, func(h *ClientBehaviour) { h.RateFactor = 0 })
}

func tenantBurst(d *dayRun, rng *rand.Rand, len time.Duration) {
	plan := d.fleet.Settings.Plans[rng.IntN(3)].Name
	x := uniform(rng, 2.8, 5.9)
	d.changeBehaviour(len, func(h *ClientBehaviour) { h.BurstPlan, h.BurstFactor = plan, x }, func(h *ClientBehaviour) { h.BurstPlan, h.BurstFactor = "", 0 })
}

// reconnect drops a share of the sessions, and the lead passes to other hosts.
func reconnect(d *dayRun, rng *rand.Rand, len time.Duration) {
	for _, ls := range d.clients.paths {
		if rng.Float64() > 0.4 {
			continue
		}
		for _, l := range ls {
			l.mu.Lock()
			s := l.client
			l.mu.Unlock()
			if s != nil {
				d.fleet.afterFunc(time.Duration(rng.Float64()*float64(len)), func() { l.dropSession(s); s.Close() })
			}
		}
	}
	d.changeBehaviour(len, func(h *ClientBehaviour) { h.PreferLastHost = true }, func(h *ClientBehaviour) { h.PreferLastHost = false })
}

func retryAbuse(d *dayRun, rng *rand.Rand, len time.Duration) {
	plan := d.fleet.Settings.Plans[rng.IntN(3)].Name
	at, more := uniform(rng, 0.2, 0.58), 5+rng.IntN(10)
	d.changeBehaviour(len, func(h *ClientBehaviour) { h.AbusePlan, h.AbuseAbortFraction, h.AbuseMaxRetries = plan, at, more },
		func(h *ClientBehaviour) { h.AbusePlan, h.AbuseAbortFraction, h.AbuseMaxRetries = "", 0, 0 })
}

func giveUp(d *dayRun, rng *rand.Rand, len time.Duration) {
	x := uniform(rng, 0.1, 0.4)
	d.changeBehaviour(len, func(h *ClientBehaviour) { h.AbandonShare = x }, func(h *ClientBehaviour) { h.AbandonShare = 0 })
}

func balancerCrash(d *dayRun, rng *rand.Rand, len time.Duration) {
	for _, i := range sample(rng, d.opt.Hosts, 0.4) {
		d.fleet.KillHost(i, time.Duration(uniform(rng, 1.2, 3)*float64(time.Second)))
	}
}

func netHang(d *dayRun, rng *rand.Rand, len time.Duration) {
	d.injectNetworkFaults(rng, 0.1, len, standin.NetworkFaults{Hang: true})
}

func netTorn(d *dayRun, rng *rand.Rand, len time.Duration) {
	d.injectNetworkFaults(rng, 0.2, len, standin.NetworkFaults{TruncateShare: uniform(rng, 0.02, 0.1)})
}

func netBytewise(d *dayRun, rng *rand.Rand, len time.Duration) {
	d.injectNetworkFaults(rng, 0.1, len, standin.NetworkFaults{ByteAtATime: true})
}

// netLate holds answers back until after most time-outs.
func netLate(d *dayRun, rng *rand.Rand, len time.Duration) {
	d.injectNetworkFaults(rng, 0.2, len, standin.NetworkFaults{Delay: uniform(rng, 900, 5000), DelayShare: uniform(rng, 0.05, 0.3)})
}

// listCut breaks the hosts' connections to the inventory.
func listCut(d *dayRun, _ *rand.Rand, len time.Duration) {
	cut := func() { d.fleet.eachInventory((*standin.Inventory).DropConnections) }
	cut()
	d.fleet.afterFunc(len/2, cut)
}
