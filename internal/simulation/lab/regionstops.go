package lab

import (
	"math/rand/v2"
	"time"

	"merlinhitch/internal/runtime/env"
	"merlinhitch/internal/simulation/world"
)

// regionBackgroundFuncs are disturbances of a service over two regions in a virtual world that are played only
// if they are named: they last for a whole run.
var regionBackgroundFuncs = map[string]func(d *dayRun, rng *rand.Rand, duration time.Duration){
	"region_stops": regionStops,
}

// maxLinkDelay bounds by how much a link between the regions goes down before a stop, and comes back before or
// after the region goes on.
const maxLinkDelay = 4 * time.Second

// regionStops stops all processes of a region with their memory, twice in a run, for long enough that an operator
// has the other lead and that takes over. The links between the regions go down before or with the stop, and come
// back before or after the region goes on.
func regionStops(d *dayRun, rng *rand.Rand, duration time.Duration) {
	for _, start := range []float64{0.1, 0.55} {
		regionIndex := rng.IntN(2)
		stopAt := time.Duration((start + 0.1*rng.Float64()) * float64(duration))
		stop := time.Duration(uniform(rng, 3, 14) * float64(time.Second))
		cutBefore := time.Duration(max(uniform(rng, -1, 1), 0) * float64(maxLinkDelay))
		linkDelay := time.Duration(uniform(rng, -0.2, 1) * float64(maxLinkDelay))
		d.fleet.afterFunc(stopAt-min(cutBefore, stopAt), func() {
			d.degradeRegionLinks(cutBefore+stop+linkDelay, true, true, world.LinkState{Partitioned: true})
		})
		d.fleet.afterFunc(stopAt, func() { d.fleet.StallRegion(regionIndex, stop) })
	}
}

// StallRegion suspends all processes of a region for the given time. It is for a virtual world only. Nothing
// happens if the region's inventory is down.
func (f *Fleet) StallRegion(regionIndex int, stall time.Duration) {
	f.mu.Lock()
	inventoryProc := f.inventories[regionIndex]
	down := inventoryProc.server == nil
	f.regionDown[regionIndex] = f.regionDown[regionIndex] || !down
	f.mu.Unlock()
	if down {
		return
	}
	stallProcess(inventoryProc.process, stall)
	for i := range f.hosts {
		if f.regionOf(i) == regionIndex {
			f.StallHost(i, stall)
		}
	}
	for _, disk := range f.disks {
		if disk.region == regionIndex {
			stallProcess(disk.process, stall)
		}
	}
	f.afterFunc(stall, func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.regionDown[regionIndex] = false
	})
}

func stallProcess(process env.Environment, stall time.Duration) {
	if simulated, ok := process.(*world.Process); ok && !simulated.Dead() {
		simulated.Stall(stall)
	}
}
