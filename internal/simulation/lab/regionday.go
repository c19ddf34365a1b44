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

// regionFaults are the troubles of a service over two regions.
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

// RegionFaultKinds lists the kinds of trouble of a service over two regions.
func RegionFaultKinds() []string { return sortedKeys(regionFaults) }

// regionLoss ends a region; it comes back with the inventory that it began the day with.
func regionLoss(d *dayRun, rng *rand.Rand, duration time.Duration) {
	d.fleet.LoseRegion(rng.IntN(2), duration, d.drawStaleInventories(rng))
}

// regionLossTwice loses a region again while it recovers.
func regionLossTwice(d *dayRun, rng *rand.Rand, duration time.Duration) {
	regionIndex := rng.IntN(2)
	delay := time.Duration(uniform(rng, 0.3, 4) * float64(time.Second))
	d.fleet.LoseRegion(regionIndex, duration/3, d.drawStaleInventories(rng))
	d.fleet.afterFunc(duration/3+delay, func() { d.fleet.LoseRegion(regionIndex, duration/3, [2]*standin.InventoryState{}) })
}

// drawStaleInventories is the inventories' state of long ago, or none.
func (d *dayRun) drawStaleInventories(rng *rand.Rand) (states [2]*standin.InventoryState) {
	if rng.IntN(2) == 0 {
		states = d.initialInventories
	}
	return states
}

func regionPartition(d *dayRun, _ *rand.Rand, duration time.Duration) {
	d.degradeRegionLinks(duration, true, true, world.LinkState{Partitioned: true})
}

// regionPacketLoss drops half of what passes between the regions.
func regionPacketLoss(d *dayRun, _ *rand.Rand, duration time.Duration) {
	d.degradeRegionLinks(duration, true, true, world.LinkState{Loss: 0.5})
}

func regionOneWayPartition(d *dayRun, rng *rand.Rand, duration time.Duration) {
	forward := rng.IntN(2) == 0
	d.degradeRegionLinks(duration, forward, !forward, world.LinkState{Partitioned: true})
}

func regionDelay(d *dayRun, rng *rand.Rand, duration time.Duration) {
	delay := time.Duration(uniform(rng, 5, 80) * float64(time.Millisecond))
	d.degradeRegionLinks(duration, true, true, world.LinkState{Delay: delay, Jitter: delay})
}

// regionHostFailures ends every host of the region that leads as the day begins, and one of the
// other.
func regionHostFailures(d *dayRun, _ *rand.Rand, duration time.Duration) {
	otherHit := false
	for host := range d.fleet.hosts {
		if d.fleet.regionOf(host) == 0 || !otherHit {
			d.fleet.KillHost(host, duration)
		}
		otherHit = otherHit || d.fleet.regionOf(host) == 1
	}
}

// degradeRegionLinks changes the ways between the regions for a while.
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

// inventoryPartition has nobody reach any inventory, nor these each other, while hosts and disk
// servers of both regions reach each other.
func inventoryPartition(d *dayRun, _ *rand.Rand, duration time.Duration) {
	d.fleet.SetInventoryLinks(world.LinkState{Partitioned: true})
	d.fleet.afterFunc(duration, func() { d.fleet.SetInventoryLinks(d.fleet.normalRegionLink) })
}

// staleInventory has a region's inventory come back with the state of long ago; all else runs on.
func staleInventory(d *dayRun, rng *rand.Rand, duration time.Duration) {
	d.fleet.LoseInventory(rng.IntN(2), duration/4, d.initialInventories)
}

// leaseStall has a host stand still for up to 30 s.
func leaseStall(d *dayRun, rng *rand.Rand, duration time.Duration) {
	d.fleet.StallHost(rng.IntN(d.options.Hosts), min(time.Duration(uniform(rng, 1, 30)*float64(time.Second)), duration))
}

// regionLossAtPeak is a region lost as the morning begins: 1.7 to 2.4 times the usual, for all of
// the loss and while the region comes back.
func regionLossAtPeak(d *dayRun, rng *rand.Rand, duration time.Duration) {
	factor := uniform(rng, 1.7, 2.4)
	d.changeBehaviour(duration, func(h *ClientBehaviour) { h.RateFactor = factor }, func(h *ClientBehaviour) { h.RateFactor = 0 })
	d.fleet.LoseRegion(rng.IntN(2), duration/2, d.drawStaleInventories(rng))
}

// shardMoves has shards moved to and fro by an operator.
func shardMoves(d *dayRun, rng *rand.Rand, duration time.Duration) {
	for range 4 {
		shard, destination := rng.IntN(d.fleet.Settings.Shards), rng.IntN(2)
		d.fleet.afterFunc(time.Duration(rng.Float64()*float64(duration)), func() {
			for regionIndex := range 2 { // one of them leads
				d.fleet.AskInventory(regionIndex, inventory.Ask{Op: "move", Shard: shard, To: region.ID(destination)})
			}
		})
	}
}

const (
	operatorPollInterval = 500 * time.Millisecond
	// operatorDelay is how long an operator looks before a word that can't be taken back.
	operatorDelay = 2 * time.Second
	// maxSilenceBeforeLoss is how long before its loss a region was heard of for its word to count:
	// less than it takes one to answer alone.
	maxSilenceBeforeLoss = 1200 * time.Millisecond
)

// operator plays the person at a service over two regions until over opens: it says which
// region leads when the other is lost for certain, and has shards return once every copy
// has all.
type operator struct {
	managedFleet  *Fleet
	lostSince     [2]time.Duration // since when a region is gone; 0: it is not
	calmSince     time.Duration
	noGrantSince  time.Duration // since when no inventory grants although both are there
	CommandCounts map[string]int
	returnsShards bool // shards are brought back to where they prefer to be
}

func (o *operator) run(finished *env.Gate) {
	for env.Sleep(o.managedFleet.Environment, operatorPollInterval, finished) {
		o.poll()
	}
}

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
		// A region that was cut off before it was lost may have answered alone: better wait.
		contactedBeforeLoss := time.Duration(reply.Status.HeardMS*float64(time.Millisecond))-(now-o.lostSince[other]) < maxSilenceBeforeLoss
		if o.lostSince[other] != 0 && now-o.lostSince[other] > operatorDelay && contactedBeforeLoss && (reply.Record.Leader != region.ID(regionIndex) || !reply.Status.Grants) {
			o.send(regionIndex, "lead")
		}
		if reply.Record.Leader == region.ID(regionIndex) {
			o.returnShards(now, regionIndex, &reply)
		}
	}
}

// handleMissingGrants has a region lead where both are there for long and neither grants: what came back
// with an old list can't know that there is no newer one.
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

// returnShards has shards return after some calm.
func (o *operator) returnShards(now time.Duration, regionIndex int, reply *inventory.List) {
	displaced := false
	for _, home := range reply.Record.Homes {
		if home.Alone || home.Region == region.Nowhere {
			o.calmSince = 0
			return
		}
		displaced = displaced || home.Region != home.Prefer
	}
	switch {
	case reply.Status.HeardMS > 500 || !displaced || !o.returnsShards:
		o.calmSince = 0
	case o.calmSince == 0:
		o.calmSince = now
	case now-o.calmSince > operatorDelay:
		o.calmSince = 0
		o.send(regionIndex, "return")
	}
}

func (o *operator) send(regionIndex int, op string) {
	if _, err := o.managedFleet.AskInventory(regionIndex, inventory.Ask{Op: op}); err == nil {
		o.CommandCounts[op]++
	}
}

// takeoverOutages are the times for which shards of a lost region were not served, of those that
// were served in the other before theirs came back.
func takeoverOutages(result *Result) (durations []time.Duration) {
	history := result.Checker.HomeHistory()
	for _, loss := range result.RegionLosses {
		lastServed := map[int]rules.FirstServed{} // by shard, before the loss
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

// PrintRegions writes what an exploration showed of regions.
func (e *ExploreSummary) PrintRegions(w io.Writer) {
	slices.Sort(e.Outages)
	quantile := func(q float64) float64 {
		if len(e.Outages) == 0 {
			return 0
		}
		return e.Outages[int(q*float64(len(e.Outages)-1))].Seconds()
	}
	fmt.Fprintf(w, "%d shards of lost regions were taken over: not served for %.1f s at the least, %.1f s in the median, %.1f s at the 90th percentile, %.1f s at the most\n",
		len(e.Outages), quantile(0), quantile(0.5), quantile(0.9), quantile(1))
	fmt.Fprintf(w, "%d writes lost that were acknowledged before their copy; operators said lead %d and return %d times\n", e.LostWrites, e.OperatorCommands["lead"], e.OperatorCommands["return"])
}

// EveryRegionFault is a day with each trouble of regions in turn, so long each and with
// so much calm between them.
func EveryRegionFault(each, calm time.Duration, seed uint64) (script []ScheduledFault, span time.Duration) {
	rng := rand.New(rand.NewPCG(seed, 23))
	span = calm / 2
	for _, kind := range RegionFaultKinds() {
		script = append(script, ScheduledFault{Kind: kind, At: span, Duration: each, Seed: rng.Uint64()})
		span += each + calm
	}
	return script, span
}

// RegionDay plays a day of a service over two regions on loopback.
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

// PrintRegions writes what a day of two regions showed of them.
func (r *Result) PrintRegions(w io.Writer) {
	summary := &ExploreSummary{Outages: takeoverOutages(r), LostWrites: r.LostWrites, OperatorCommands: r.OperatorCommands}
	summary.PrintRegions(w)
	writes := 0
	for key, row := range r.Checker.Stats.ByClass {
		if key.Class == "txn-write" || key.Class == "claim-write" {
			writes += row.Issued
		}
	}
	fmt.Fprintf(w, "%d keyed writes asked for, %d took effect more than once at the disk servers of both regions\n", writes, r.RepeatedEffects)
}
