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
var regionFaults = map[string]func(d *dayRun, rng *rand.Rand, len time.Duration){
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
func regionLoss(d *dayRun, rng *rand.Rand, len time.Duration) {
	d.fleet.LoseRegion(rng.IntN(2), len, d.drawStaleInventories(rng))
}

// regionLossTwice loses a region again while it recovers.
func regionLossTwice(d *dayRun, rng *rand.Rand, len time.Duration) {
	r := rng.IntN(2)
	again := time.Duration(uniform(rng, 0.3, 4) * float64(time.Second))
	d.fleet.LoseRegion(r, len/3, d.drawStaleInventories(rng))
	d.fleet.afterFunc(len/3+again, func() { d.fleet.LoseRegion(r, len/3, [2]*standin.InventoryState{}) })
}

// drawStaleInventories is the inventories' state of long ago, or none.
func (d *dayRun) drawStaleInventories(rng *rand.Rand) (out [2]*standin.InventoryState) {
	if rng.IntN(2) == 0 {
		out = d.initialInventories
	}
	return out
}

func regionPartition(d *dayRun, _ *rand.Rand, len time.Duration) {
	d.degradeRegionLinks(len, true, true, world.LinkState{Partitioned: true})
}

// regionPacketLoss drops half of what passes between the regions.
func regionPacketLoss(d *dayRun, _ *rand.Rand, len time.Duration) {
	d.degradeRegionLinks(len, true, true, world.LinkState{Loss: 0.5})
}

func regionOneWayPartition(d *dayRun, rng *rand.Rand, len time.Duration) {
	there := rng.IntN(2) == 0
	d.degradeRegionLinks(len, there, !there, world.LinkState{Partitioned: true})
}

func regionDelay(d *dayRun, rng *rand.Rand, len time.Duration) {
	late := time.Duration(uniform(rng, 5, 80) * float64(time.Millisecond))
	d.degradeRegionLinks(len, true, true, world.LinkState{Delay: late, Jitter: late})
}

// regionHostFailures ends every host of the region that leads as the day begins, and one of the
// other.
func regionHostFailures(d *dayRun, _ *rand.Rand, len time.Duration) {
	spared := false
	for i := range d.fleet.hosts {
		if d.fleet.regionOf(i) == 0 || !spared {
			d.fleet.KillHost(i, len)
		}
		spared = spared || d.fleet.regionOf(i) == 1
	}
}

// degradeRegionLinks changes the ways between the regions for a while.
func (d *dayRun) degradeRegionLinks(len time.Duration, there, back bool, n world.LinkState) {
	set := func(n world.LinkState) {
		if there {
			d.fleet.SetCrossRegionLinks(0, n)
		}
		if back {
			d.fleet.SetCrossRegionLinks(1, n)
		}
	}
	set(n)
	d.fleet.afterFunc(len, func() { set(d.fleet.normalRegionLink) })
}

// inventoryPartition has nobody reach any inventory, nor these each other, while hosts and disk
// servers of both regions reach each other.
func inventoryPartition(d *dayRun, _ *rand.Rand, len time.Duration) {
	d.fleet.SetInventoryLinks(world.LinkState{Partitioned: true})
	d.fleet.afterFunc(len, func() { d.fleet.SetInventoryLinks(d.fleet.normalRegionLink) })
}

// staleInventory has a region's inventory come back with the state of long ago; all else runs on.
func staleInventory(d *dayRun, rng *rand.Rand, len time.Duration) {
	d.fleet.LoseInventory(rng.IntN(2), len/4, d.initialInventories)
}

// leaseStall has a host stand still for up to 30 s.
func leaseStall(d *dayRun, rng *rand.Rand, len time.Duration) {
	d.fleet.StallHost(rng.IntN(d.options.Hosts), min(time.Duration(uniform(rng, 1, 30)*float64(time.Second)), len))
}

// regionLossAtPeak is a region lost as the morning begins: 1.7 to 2.4 times the usual, for all of
// the loss and while the region comes back.
func regionLossAtPeak(d *dayRun, rng *rand.Rand, len time.Duration) {
	x := uniform(rng, 1.7, 2.4)
	d.changeBehaviour(len, func(h *ClientBehaviour) { h.RateFactor = x }, func(h *ClientBehaviour) { h.RateFactor = 0 })
	d.fleet.LoseRegion(rng.IntN(2), len/2, d.drawStaleInventories(rng))
}

// shardMoves has shards moved to and fro by an operator.
func shardMoves(d *dayRun, rng *rand.Rand, len time.Duration) {
	for range 4 {
		shard, to := rng.IntN(d.fleet.Settings.Shards), rng.IntN(2)
		d.fleet.afterFunc(time.Duration(rng.Float64()*float64(len)), func() {
			for r := range 2 { // one of them leads
				d.fleet.AskInventory(r, inventory.Ask{Op: "move", Shard: shard, To: region.ID(to)})
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

func (o *operator) run(over *env.Gate) {
	for env.Sleep(o.managedFleet.Environment, operatorPollInterval, over) {
		o.poll()
	}
}

func (o *operator) poll() {
	now := o.managedFleet.Environment.Now()
	for r := range 2 {
		switch gone := o.managedFleet.RegionDown(r); {
		case !gone:
			o.lostSince[r] = 0
		case o.lostSince[r] == 0:
			o.lostSince[r] = now
		}
	}
	grants, there := false, 0
	defer func() { o.handleMissingGrants(now, grants, there) }()
	for r := range 2 {
		if o.lostSince[r] != 0 {
			continue
		}
		l, err := o.managedFleet.AskInventory(r, inventory.Ask{Op: "record"})
		if err != nil || l.Kind != inventory.Told || l.Status == nil {
			continue
		}
		there++
		grants = grants || l.Status.Grants
		other := 1 - r
		// A region that was cut off before it was lost may have answered alone: better wait.
		heard := time.Duration(l.Status.HeardMS*float64(time.Millisecond))-(now-o.lostSince[other]) < maxSilenceBeforeLoss
		if o.lostSince[other] != 0 && now-o.lostSince[other] > operatorDelay && heard && (l.Record.Leader != region.ID(r) || !l.Status.Grants) {
			o.send(r, "lead")
		}
		if l.Record.Leader == region.ID(r) {
			o.returnShards(now, r, &l)
		}
	}
}

// handleMissingGrants has a region lead where both are there for long and neither grants: what came back
// with an old list can't know that there is no newer one.
func (o *operator) handleMissingGrants(now time.Duration, grants bool, there int) {
	switch {
	case grants || there < 2:
		o.noGrantSince = 0
	case o.noGrantSince == 0:
		o.noGrantSince = now
	case now-o.noGrantSince > 3*operatorDelay:
		o.noGrantSince = 0
		o.send(0, "lead")
	}
}

// returnShards has shards return after some calm.
func (o *operator) returnShards(now time.Duration, r int, l *inventory.List) {
	away := false
	for _, h := range l.Record.Homes {
		if h.Alone || h.Region == region.Nowhere {
			o.calmSince = 0
			return
		}
		away = away || h.Region != h.Prefer
	}
	switch {
	case l.Status.HeardMS > 500 || !away || !o.returnsShards:
		o.calmSince = 0
	case o.calmSince == 0:
		o.calmSince = now
	case now-o.calmSince > operatorDelay:
		o.calmSince = 0
		o.send(r, "return")
	}
}

func (o *operator) send(r int, op string) {
	if _, err := o.managedFleet.AskInventory(r, inventory.Ask{Op: op}); err == nil {
		o.CommandCounts[op]++
	}
}

// takeoverOutages are the times for which shards of a lost region were not served, of those that
// were served in the other before theirs came back.
func takeoverOutages(res *Result) (out []time.Duration) {
	homes := res.Checker.HomeHistory()
	for _, l := range res.RegionLosses {
		last := map[int]rules.FirstServed{} // by shard, before the loss
		for _, s := range homes {
			at := time.Duration(s.At) * time.Microsecond
			if was, ok := last[s.Shard]; ok && was.Region == l.Region && s.Region != l.Region && at > l.At && at < l.RestoredAt {
				out = append(out, at-l.At)
			}
			if at <= l.At || s.Region != l.Region {
				last[s.Shard] = s
			}
		}
	}
	return out
}

// PrintRegions writes what an exploration showed of regions.
func (e *ExploreSummary) PrintRegions(w io.Writer) {
	slices.Sort(e.Outages)
	at := func(q float64) float64 {
		if len(e.Outages) == 0 {
			return 0
		}
		return e.Outages[int(q*float64(len(e.Outages)-1))].Seconds()
	}
	fmt.Fprintf(w, "%d shards of lost regions were taken over: not served for %.1f s at the least, %.1f s in the median, %.1f s at the 90th percentile, %.1f s at the most\n",
		len(e.Outages), at(0), at(0.5), at(0.9), at(1))
	fmt.Fprintf(w, "%d writes lost that were acknowledged before their copy; operators said lead %d and return %d times\n", e.LostWrites, e.OperatorCommands["lead"], e.OperatorCommands["return"])
}

// EveryRegionFault is a day with each trouble of regions in turn, so long each and with
// so much calm between them.
func EveryRegionFault(each, calm time.Duration, seed uint64) (script []ScheduledFault, span time.Duration) {
	rng := rand.New(rand.NewPCG(seed, 23))
	span = calm / 2
	for _, k := range RegionFaultKinds() {
		script = append(script, ScheduledFault{Kind: k, At: span, Duration: each, Seed: rng.Uint64()})
		span += each + calm
	}
	return script, span
}

// RegionDay plays a day of a service over two regions on loopback.
func RegionDay(ctx context.Context, opt Options) (*Result, error) {
	if opt.Log == nil {
		opt.Log = zap.NewNop()
	}
	if opt.Settings == nil {
		opt.Settings = RegionSettings(opt.Hosts, opt.Servers)
	}
	w := env.NewReal()
	links := standin.NewLinks(w, opt.Seed)
	defer links.Close()
	return runDay(ctx, w, loopbackTestbed{w, links}, opt.Settings, opt)
}

// PrintRegions writes what a day of two regions showed of them.
func (r *Result) PrintRegions(w io.Writer) {
	e := &ExploreSummary{Outages: takeoverOutages(r), LostWrites: r.LostWrites, OperatorCommands: r.OperatorCommands}
	e.PrintRegions(w)
	writes := 0
	for k, row := range r.Checker.Stats.ByClass {
		if k.Class == "txn-write" || k.Class == "claim-write" {
			writes += row.Issued
		}
	}
	fmt.Fprintf(w, "%d keyed writes asked for, %d took effect more than once at the disk servers of both regions\n", writes, r.RepeatedEffects)
}
