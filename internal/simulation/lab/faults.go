package lab

import (
	"math/rand/v2"
	"time"

	"merlinhitch/internal/simulation/standin"
)

// The functions of faultFuncs start a fault immediately and schedule its end, if it does not end by
// itself.

// uniform draws a number from [low, high).
func uniform(random *rand.Rand, low, high float64) float64 { return low + (high-low)*random.Float64() }

// diskCount returns the number of disk servers in all regions.
func (d *dayRun) diskCount() int { return len(d.fleet.disks) }

// sample draws a share of the numbers 0 to n-1, at least one of them.
func sample(rng *rand.Rand, n int, share float64) []int {
	count := max(int(float64(n)*share+0.5), 1)
	return rng.Perm(n)[:min(count, n)]
}

// injectMachineFaults sets faults on a share of the disk servers for a duration; newFaults is called
// for each of them.
func (d *dayRun) injectMachineFaults(rng *rand.Rand, share float64, duration time.Duration, newFaults func() standin.MachineFaults) {
	for _, index := range sample(rng, d.diskCount(), share) {
		if server := d.fleet.DiskServer(index); server != nil {
			server.SetFaults(newFaults())
			d.fleet.afterFunc(duration, func() { server.SetFaults(standin.MachineFaults{}) })
		}
	}
}

// injectNetworkFaults sets faults on the connections of a share of the disk servers for a duration.
func (d *dayRun) injectNetworkFaults(rng *rand.Rand, share float64, duration time.Duration, faults standin.NetworkFaults) {
	for _, index := range sample(rng, d.diskCount(), share) {
		if server := d.fleet.DiskServer(index); server != nil {
			server.SetNetworkFaults(faults)
			d.fleet.afterFunc(duration, func() { server.SetNetworkFaults(standin.NetworkFaults{}) })
		}
	}
}

// changeBehaviour changes the clients' behaviour and reverts it after a duration.
func (d *dayRun) changeBehaviour(duration time.Duration, apply, revert func(*ClientBehaviour)) {
	d.clients.ChangeBehaviour(apply)
	d.fleet.afterFunc(duration, func() { d.clients.ChangeBehaviour(revert) })
}

// crash kills 15 % of the disk servers for half the duration, but at least 1 s.
func crash(d *dayRun, rng *rand.Rand, duration time.Duration) {
	for _, index := range sample(rng, d.diskCount(), 0.15) {
		d.fleet.KillDisk(index, max(duration/2, time.Second))
	}
}

func slow(d *dayRun, rng *rand.Rand, duration time.Duration) {
	d.injectMachineFaults(rng, 0.2, duration, func() standin.MachineFaults { return standin.MachineFaults{SlowFactor: uniform(rng, 4.5, 9.4)} })
}

func pauses(d *dayRun, rng *rand.Rand, duration time.Duration) {
	d.injectMachineFaults(rng, 0.45, duration, func() standin.MachineFaults {
		return standin.MachineFaults{PauseLength: uniform(rng, 75, 210), PauseInterval: uniform(rng, 800, 3000)}
	})
}

// noisyNeighbour lets another program use part of the capacity of 44 % of the disk servers.
func noisyNeighbour(d *dayRun, rng *rand.Rand, duration time.Duration) {
	d.injectMachineFaults(rng, 0.44, duration, func() standin.MachineFaults { return standin.MachineFaults{StolenShare: uniform(rng, 0.3, 0.58)} })
}

// fastErrors makes 20 % of the disk servers fail 44 to 97 % of their requests after 1 ms.
func fastErrors(d *dayRun, rng *rand.Rand, duration time.Duration) {
	d.injectMachineFaults(rng, 0.2, duration, func() standin.MachineFaults { return standin.MachineFaults{FailShare: uniform(rng, 0.44, 0.97)} })
}

// massRestart kills every third disk server within 0.4 s; with the example settings these are the
// servers of one hall. Each restarts after 1 to 4 s.
func massRestart(d *dayRun, rng *rand.Rand, duration time.Duration) {
	hall := rng.IntN(min(d.diskCount(), 3))
	for index := hall; index < d.diskCount(); index += 3 {
		downtime := time.Duration(uniform(rng, 1, 4) * float64(time.Second))
		d.fleet.afterFunc(time.Duration(uniform(rng, 0, 0.4)*float64(time.Second)), func() { d.fleet.KillDisk(index, downtime) })
	}
}

// deploy replaces half of the disk servers one after another.
func deploy(d *dayRun, rng *rand.Rand, duration time.Duration) {
	order := sample(rng, d.diskCount(), 0.5)
	for position, index := range order {
		d.fleet.afterFunc(duration*time.Duration(position)/time.Duration(d.diskCount()), func() { d.fleet.ReplaceDisk(index, 900*time.Millisecond) })
	}
}

// reportLate delays changes of the inventory and usage reports of the disk servers.
func reportLate(d *dayRun, rng *rand.Rand, duration time.Duration) {
	delay := uniform(rng, 500, 4800)
	d.fleet.eachInventory(func(inventory *standin.Inventory) { inventory.SetDelay(inventoryDelay + delay/4) })
	d.fleet.afterFunc(duration, func() {
		d.fleet.eachInventory(func(inventory *standin.Inventory) { inventory.SetDelay(inventoryDelay) })
	})
	d.injectMachineFaults(rng, 1, duration, func() standin.MachineFaults { return standin.MachineFaults{UsageDelay: delay} })
}

// hotKey directs 10 to 40 % of the commands to three volumes.
func hotKey(d *dayRun, rng *rand.Rand, duration time.Duration) {
	volumes := rng.Perm(d.options.Servers)[:min(3, d.options.Servers)]
	share := uniform(rng, 0.1, 0.4)
	d.changeBehaviour(duration, func(h *ClientBehaviour) { h.HotVolumes, h.HotShare = volumes, share }, func(h *ClientBehaviour) { h.HotVolumes, h.HotShare = nil, 0 })
}

func burst(d *dayRun, rng *rand.Rand, duration time.Duration) {
	factor := uniform(rng, 1.7, 2.4)
	d.changeBehaviour(duration, func(h *ClientBehaviour) { h.RateFactor = factor }, func(h *ClientBehaviour) { h.RateFactor = 0 })
}

// tenantBurst multiplies the weight of the volumes of one plan.
func tenantBurst(d *dayRun, rng *rand.Rand, duration time.Duration) {
	plan := d.fleet.Settings.Plans[rng.IntN(3)].Name
	factor := uniform(rng, 2.8, 5.9)
	d.changeBehaviour(duration, func(h *ClientBehaviour) { h.BurstPlan, h.BurstFactor = plan, factor }, func(h *ClientBehaviour) { h.BurstPlan, h.BurstFactor = "", 0 })
}

// reconnect closes the sessions of about 40 % of the volumes, and clients prefer each volume's last
// host for the duration.
func reconnect(d *dayRun, rng *rand.Rand, duration time.Duration) {
	for _, paths := range d.clients.paths {
		if rng.Float64() > 0.4 {
			continue
		}
		for _, path := range paths {
			path.mu.Lock()
			session := path.client
			path.mu.Unlock()
			if session != nil {
				d.fleet.afterFunc(time.Duration(rng.Float64()*float64(duration)), func() { path.dropSession(session); session.Close() })
			}
		}
	}
	d.changeBehaviour(duration, func(h *ClientBehaviour) { h.PreferLastHost = true }, func(h *ClientBehaviour) { h.PreferLastHost = false })
}

// retryAbuse makes the clients of one plan abort early and retry immediately.
func retryAbuse(d *dayRun, rng *rand.Rand, duration time.Duration) {
	plan := d.fleet.Settings.Plans[rng.IntN(3)].Name
	abortFraction, maxRetries := uniform(rng, 0.2, 0.58), 5+rng.IntN(10)
	d.changeBehaviour(duration, func(h *ClientBehaviour) {
		h.AbusePlan, h.AbuseAbortFraction, h.AbuseMaxRetries = plan, abortFraction, maxRetries
	},
		func(h *ClientBehaviour) { h.AbusePlan, h.AbuseAbortFraction, h.AbuseMaxRetries = "", 0, 0 })
}

// giveUp makes clients abandon 10 to 40 % of the commands early.
func giveUp(d *dayRun, rng *rand.Rand, duration time.Duration) {
	share := uniform(rng, 0.1, 0.4)
	d.changeBehaviour(duration, func(h *ClientBehaviour) { h.AbandonShare = share }, func(h *ClientBehaviour) { h.AbandonShare = 0 })
}

// balancerCrash kills 40 % of the hosts for 1.2 to 3 s.
func balancerCrash(d *dayRun, rng *rand.Rand, duration time.Duration) {
	for _, index := range sample(rng, d.options.Hosts, 0.4) {
		d.fleet.KillHost(index, time.Duration(uniform(rng, 1.2, 3)*float64(time.Second)))
	}
}

func netHang(d *dayRun, rng *rand.Rand, duration time.Duration) {
	d.injectNetworkFaults(rng, 0.1, duration, standin.NetworkFaults{Hang: true})
}

func netTorn(d *dayRun, rng *rand.Rand, duration time.Duration) {
	d.injectNetworkFaults(rng, 0.2, duration, standin.NetworkFaults{TruncateShare: uniform(rng, 0.02, 0.1)})
}

func netBytewise(d *dayRun, rng *rand.Rand, duration time.Duration) {
	d.injectNetworkFaults(rng, 0.1, duration, standin.NetworkFaults{ByteAtATime: true})
}

// netLate delays part of the answers by 0.9 to 5 s, beyond most timeouts.
func netLate(d *dayRun, rng *rand.Rand, duration time.Duration) {
	d.injectNetworkFaults(rng, 0.2, duration, standin.NetworkFaults{Delay: uniform(rng, 900, 5000), DelayShare: uniform(rng, 0.05, 0.3)})
}

// listCut closes the hosts' connections to the inventory, now and after half the duration.
func listCut(d *dayRun, _ *rand.Rand, duration time.Duration) {
	dropAll := func() { d.fleet.eachInventory((*standin.Inventory).DropConnections) }
	dropAll()
	d.fleet.afterFunc(duration/2, dropAll)
}
