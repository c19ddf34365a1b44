package lab

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"slices"
	"time"

	"go.uber.org/zap"

	"merlinhitch/internal/fleet/region"
	"merlinhitch/internal/protocol/inventory"
	"merlinhitch/internal/runtime/env"
	"merlinhitch/internal/simulation/standin"
	"merlinhitch/internal/simulation/world"
	"merlinhitch/internal/verify/rules"
)

// regionFaults maps the kinds of fault of a service over two regions to the functions that inject them.
var regionFaults = map[string]func(d *dayRun, rng *rand.Rand, duration time.Duration){
	"region_loss":     regionLoss,
	"region_loss_two": regionLossTwice,
	"region_cut":      regionPartition,
	"region_half":     regionPacketLoss,
	"region_hosts":    regionHostFailures,
	"region_one_way":  regionOneWayPartition,
	"region_slow":     regionDelay,
	"inventory_cut":   inventoryPartition,
	"inventory_old":   staleInventory,
	"lease_stall":     leaseStall,
	"opening":         regionLossAtPeak,
	"moves":           shardMoves,
}

// RegionFaultKinds returns the sorted kinds of fault of a service over two regions.
func RegionFaultKinds() []string { return sortedKeys(regionFaults) }

// regionLoss takes down a region for the duration; its inventory comes back with its saved state or
// with that of the start of the run.
func regionLoss(d *dayRun, rng *rand.Rand, duration time.Duration) {
	d.fleet.LoseRegion(rng.IntN(2), duration, d.drawStaleInventories(rng))
}

// regionLossTwice takes down a region again 0.3 to 4 s after it came back.
func regionLossTwice(d *dayRun, rng *rand.Rand, duration time.Duration) {
	regionIndex := rng.IntN(2)
	delay := time.Duration(uniform(rng, 0.3, 4) * float64(time.Second))
	d.fleet.LoseRegion(regionIndex, duration/3, d.drawStaleInventories(rng))
	d.fleet.afterFunc(duration/3+delay, func() { d.fleet.LoseRegion(regionIndex, duration/3, [2]*standin.InventoryState{}) })
}

// drawStaleInventories returns, with equal odds, the inventory states of the start of the run or none.
func (d *dayRun) drawStaleInventories(rng *rand.Rand) (states [2]*standin.InventoryState) {
	if rng.IntN(2) == 0 {
		states = d.initialInventories
	}
	return states
}

// regionPartition cuts all links between the regions.
func regionPartition(d *dayRun, _ *rand.Rand, duration time.Duration) {
	d.degradeRegionLinks(duration, true, true, world.LinkState{Partitioned: true})
}

// regionPacketLoss drops half of the packets between the regions.
func regionPacketLoss(d *dayRun, _ *rand.Rand, duration time.Duration) {
	d.degradeRegionLinks(duration, true, true, world.LinkState{Loss: 0.5})
}

// regionOneWayPartition cuts the links between the regions in one direction.
func regionOneWayPartition(d *dayRun, rng *rand.Rand, duration time.Duration) {
	forward := rng.IntN(2) == 0
	d.degradeRegionLinks(duration, forward, !forward, world.LinkState{Partitioned: true})
}

// regionDelay adds latency of 5 to 80 ms, and jitter of the same size, between the regions.
func regionDelay(d *dayRun, rng *rand.Rand, duration time.Duration) {
	delay := time.Duration(uniform(rng, 5, 80) * float64(time.Millisecond))
	d.degradeRegionLinks(duration, true, true, world.LinkState{Delay: delay, Jitter: delay})
}

// regionHostFailures kills every host of region 0, the initial leader, and the first of region 1.
func regionHostFailures(d *dayRun, _ *rand.Rand, duration time.Duration) {
	otherHit := false
	for host := range d.fleet.hosts {
		if d.fleet.regionOf(host) == 0 || !otherHit {
			d.fleet.KillHost(host, duration)
		}
		otherHit = otherHit || d.fleet.regionOf(host) == 1
	}
}

// degradeRegionLinks sets the state of the links from region 0 to region 1 (forward) and back (reverse)
// for the duration.
func (d *dayRun) degradeRegionLinks(duration time.Duration, forward, reverse bool, degraded world.LinkState) {
	setLinks := func(state world.LinkState) {
		if forward {
			d.fleet.SetCrossRegionLinks(0, state)
		}
		if reverse {
			d.fleet.SetCrossRegionLinks(1, state)
		}
	}
	setLinks(degraded)
	d.fleet.afterFunc(duration, func() { setLinks(d.fleet.normalRegionLink) })
}

// inventoryPartition cuts both inventories off from each other and from every host and disk server;
// hosts and disk servers still reach each other across the regions.
func inventoryPartition(d *dayRun, _ *rand.Rand, duration time.Duration) {
	d.fleet.SetInventoryLinks(world.LinkState{Partitioned: true})
	d.fleet.afterFunc(duration, func() { d.fleet.SetInventoryLinks(d.fleet.normalRegionLink) })
}

// staleInventory restarts one region's inventory from the state of the start of the run; everything
// else keeps running.
func staleInventory(d *dayRun, rng *rand.Rand, duration time.Duration) {
	d.fleet.LoseInventory(rng.IntN(2), duration/4, d.initialInventories)
}

// leaseStall suspends a host for 1 to 30 s, at most for the duration.
func leaseStall(d *dayRun, rng *rand.Rand, duration time.Duration) {
	d.fleet.StallHost(rng.IntN(d.options.Hosts), min(time.Duration(uniform(rng, 1, 30)*float64(time.Second)), duration))
}

// regionLossAtPeak takes down a region for the first half of a load peak of 1.7 to 2.4 times the usual
// rate, so that it also recovers under the peak.
func regionLossAtPeak(d *dayRun, rng *rand.Rand, duration time.Duration) {
	factor := uniform(rng, 1.7, 2.4)
	d.changeBehaviour(duration, func(h *ClientBehaviour) { h.RateFactor = factor }, func(h *ClientBehaviour) { h.RateFactor = 0 })
	d.fleet.LoseRegion(rng.IntN(2), duration/2, d.drawStaleInventories(rng))
}

// shardMoves sends four operator commands that move random shards to random regions, spread over the
// duration.
func shardMoves(d *dayRun, rng *rand.Rand, duration time.Duration) {
	for range 4 {
		shard, destination := rng.IntN(d.fleet.Settings.Shards), rng.IntN(2)
		d.fleet.afterFunc(time.Duration(rng.Float64()*float64(duration)), func() {
			for regionIndex := range 2 { // only the leader obeys
				d.fleet.AskInventory(regionIndex, inventory.Ask{Op: "move", Shard: shard, To: region.ID(destination)})
			}
		})
	}
}

const (
	operatorPollInterval = 500 * time.Millisecond
	// operatorDelay is how long a condition must last before the operator acts on it.
	operatorDelay = 2 * time.Second
	// maxSilenceBeforeLoss bounds the time between the last contact with a region and its loss for
	// which the operator makes the other one lead. It is below the time after which a region serves
	// alone, so that the lost region cannot have done so.
	maxSilenceBeforeLoss = 1200 * time.Millisecond
)

// operator simulates the human operator of a service over two regions. It makes the surviving region
// lead when the other is lost, and returns shards to their preferred regions once both have caught up.
type operator struct {
	managedFleet    *Fleet
	lostSince       [2]time.Duration // by region; 0 while the region is up
	returnableSince time.Duration    // since when shards could be returned; 0: not so
	noGrantSince    time.Duration    // since when both inventories answer but neither grants leases; 0: not so
	CommandCounts   map[string]int   // by operation
	returnsShards   bool             // whether displaced shards are returned
}

// run polls the service until finished opens.
func (o *operator) run(finished *env.Gate) {
	for env.Sleep(o.managedFleet.Environment, operatorPollInterval, finished) {
		o.poll()
	}
}

// poll reads the record of each region that is up and sends the commands that its state calls for.
func (o *operator) poll() {
	now := o.managedFleet.Environment.Now()
	for regionIndex := range 2 {
		switch down := o.managedFleet.RegionDown(regionIndex); {
		case !down:
			o.lostSince[regionIndex] = 0
		case o.lostSince[regionIndex] == 0:
			o.lostSince[regionIndex] = now
		}
	}
	granting, reachable := false, 0
	defer func() { o.handleMissingGrants(now, granting, reachable) }()
	for regionIndex := range 2 {
		if o.lostSince[regionIndex] != 0 {
			continue
		}
		reply, err := o.managedFleet.AskInventory(regionIndex, inventory.Ask{Op: "record"})
		if err != nil || reply.Kind != inventory.Told || reply.Status == nil {
			continue
		}
		reachable++
		granting = granting || reply.Status.Grants
		other := 1 - regionIndex
		// A region that was partitioned before it was lost may have served alone; making the other lead
		// would then lose acknowledged writes.
		contactedBeforeLoss := time.Duration(reply.Status.HeardMS*float64(time.Millisecond))-(now-o.lostSince[other]) < maxSilenceBeforeLoss
		if o.lostSince[other] != 0 && now-o.lostSince[other] > operatorDelay && contactedBeforeLoss && (reply.Record.Leader != region.ID(regionIndex) || !reply.Status.Grants) {
			o.send(regionIndex, "lead")
		}
		if reply.Record.Leader == region.ID(regionIndex) {
			o.returnShards(now, regionIndex, &reply)
		}
	}
}

// handleMissingGrants makes region 0 lead after both inventories have answered for three operator delays
// and neither granted leases. Inventories restarted from stale state can't rule out a newer record, so
// they never resume by themselves.
func (o *operator) handleMissingGrants(now time.Duration, granting bool, reachable int) {
	switch {
	case granting || reachable < 2:
		o.noGrantSince = 0
	case o.noGrantSince == 0:
		o.noGrantSince = now
	case now-o.noGrantSince > 3*operatorDelay:
		o.noGrantSince = 0
		o.send(0, "lead")
	}
}

// returnShards returns displaced shards after both regions have been in contact, and no shard has been
// without a home or served by one region alone, for operatorDelay.
func (o *operator) returnShards(now time.Duration, regionIndex int, reply *inventory.List) {
	displaced := false
	for _, home := range reply.Record.Homes {
		if home.Alone || home.Region == region.Nowhere {
			o.returnableSince = 0
			return
		}
		displaced = displaced || home.Region != home.Prefer
	}
	switch {
	case reply.Status.HeardMS > 500 || !displaced || !o.returnsShards:
		o.returnableSince = 0
	case o.returnableSince == 0:
		o.returnableSince = now
	case now-o.returnableSince > operatorDelay:
		o.returnableSince = 0
		o.send(regionIndex, "return")
	}
}

// send sends a command to a region's inventory and counts it if it was answered.
func (o *operator) send(regionIndex int, op string) {
	if _, err := o.managedFleet.AskInventory(regionIndex, inventory.Ask{Op: op}); err == nil {
		o.CommandCounts[op]++
	}
}

// takeoverOutages returns, for each shard of a lost region that the other region took over during the
// loss, the time from the loss until it was first served there.
func takeoverOutages(result *Result) (durations []time.Duration) {
	history := result.Checker.HomeHistory()
	for _, loss := range result.RegionLosses {
		lastServed := map[int]rules.FirstServed{} // by shard, up to the loss
		for _, served := range history {
			servedAt := time.Duration(served.At) * time.Microsecond
			if previous, ok := lastServed[served.Shard]; ok && previous.Region == loss.Region && served.Region != loss.Region && servedAt > loss.At && servedAt < loss.RestoredAt {
				durations = append(durations, servedAt-loss.At)
			}
			if servedAt <= loss.At || served.Region != loss.Region {
				lastServed[served.Shard] = served
			}
		}
	}
	return durations
}

// PrintRegions writes the takeover times, lost writes and operator commands of an exploration.
func (e *ExploreSummary) PrintRegions(w io.Writer) {
	slices.Sort(e.Outages)
	quantile := func(q float64) float64 {
		if len(e.Outages) == 0 {
			return 0
		}
		return e.Outages[int(q*float64(len(e.Outages)-1))].Seconds()
	}
	fmt.Fprintf(w, "%d shards of lost regions were taken over: time without service minimum %.1f s, median %.1f s, 90th percentile %.1f s, maximum %.1f s\n",
		len(e.Outages), quantile(0), quantile(0.5), quantile(0.9), quantile(1))
	fmt.Fprintf(w, "%d writes lost that were acknowledged before replication; operator commands: lead %d times, return %d times\n", e.LostWrites, e.OperatorCommands["lead"], e.OperatorCommands["return"])
}

// EveryRegionFault returns a schedule with one fault of each region kind in turn, each of faultDuration
// and separated by gap, and the length of the schedule.
func EveryRegionFault(faultDuration, gap time.Duration, seed uint64) (faults []ScheduledFault, span time.Duration) {
	rng := rand.New(rand.NewPCG(seed, 23))
	span = gap / 2
	for _, kind := range RegionFaultKinds() {
		faults = append(faults, ScheduledFault{Kind: kind, At: span, Duration: faultDuration, Seed: rng.Uint64()})
		span += faultDuration + gap
	}
	return faults, span
}

// RegionDay runs a service over two regions with scheduled faults on loopback.
func RegionDay(ctx context.Context, options Options) (*Result, error) {
	if options.Log == nil {
		options.Log = zap.NewNop()
	}
	if options.Settings == nil {
		options.Settings = RegionSettings(options.Hosts, options.Servers)
	}
	environment := env.NewReal()
	links := standin.NewLinks(environment, options.Seed)
	defer links.Close()
	return runDay(ctx, environment, loopbackTestbed{environment, links}, options.Settings, options)
}

// PrintRegions writes the takeover times, lost writes, operator commands and repeated effects of a run.
func (r *Result) PrintRegions(w io.Writer) {
	summary := &ExploreSummary{Outages: takeoverOutages(r), LostWrites: r.LostWrites, OperatorCommands: r.OperatorCommands}
	summary.PrintRegions(w)
	writes := 0
	for key, row := range r.Checker.Stats.ByClass {
		if key.Class == "txn-write" || key.Class == "claim-write" {
			writes += row.Issued
		}
	}
	fmt.Fprintf(w, "%d keyed writes issued, %d took effect more than once at the disk servers of both regions\n", writes, r.RepeatedEffects)
}
