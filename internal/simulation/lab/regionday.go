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

// regionKinds are the troubles of a service over two regions.
var regionKinds = map[string]func(d *dayRun, rng *rand.Rand, len time.Duration){
	"region_loss":     regionLoss,
	"region_loss_two": regionLossTwice,
	"region_cut":      regionCut,
	"region_half":     regionHalf,
	"region_hosts":    regionHosts,
	"region_one_way":  regionOneWay,
	"region_slow":     regionSlow,
	"inventory_cut":   inventoryCut,
	"inventory_old":   inventoryOld,
	"lease_stall":     leaseStall,
	"opening":         opening,
	"moves":           moves,
}

// RegionKinds lists the kinds of trouble of a service over two regions.
func RegionKinds() []string { return sortedKeys(regionKinds) }

// regionLoss ends a region; it comes back with the inventory that it began the day with.
func regionLoss(d *dayRun, rng *rand.Rand, len time.Duration) {
	d.fleet.LoseRegion(rng.IntN(2), len, d.old(rng))
}

// regionLossTwice loses a region again while it recovers.
func regionLossTwice(d *dayRun, rng *rand.Rand, len time.Duration) {
	r := rng.IntN(2)
	again := time.Duration(uniform(rng, 0.3, 4) * float64(time.Second))
	d.fleet.LoseRegion(r, len/3, d.old(rng))
	d.fleet.afterFunc(len/3+again, func() { d.fleet.LoseRegion(r, len/3, [2]*standin.InventoryState{}) })
}

// old is the inventories' state of long ago, or none.
func (d *dayRun) old(rng *rand.Rand) (out [2]*standin.InventoryState) {
	if rng.IntN(2) == 0 {
		out = d.initialInventories
	}
	return out
}

func regionCut(d *dayRun, _ *rand.Rand, len time.Duration) {
	d.across(len, true, true, world.LinkState{Partitioned: true})
}

// regionHalf drops half of what passes between the regions.
func regionHalf(d *dayRun, _ *rand.Rand, len time.Duration) {
	d.across(len, true, true, world.LinkState{Loss: 0.5})
}

func regionOneWay(d *dayRun, rng *rand.Rand, len time.Duration) {
	there := rng.IntN(2) == 0
	d.across(len, there, !there, world.LinkState{Partitioned: true})
}

func regionSlow(d *dayRun, rng *rand.Rand, len time.Duration) {
	late := time.Duration(uniform(rng, 5, 80) * float64(time.Millisecond))
	d.across(len, true, true, world.LinkState{Delay: late, Jitter: late})
}

// regionHosts ends every host of the region that leads as the day begins, and one of the
// other.
func regionHosts(d *dayRun, _ *rand.Rand, len time.Duration) {
	spared := false
	for i := range d.fleet.hosts {
		if d.fleet.regionOf(i) == 0 || !spared {
			d.fleet.KillHost(i, len)
		}
		spared = spared || d.fleet.regionOf(i) == 1
	}
}

// across changes the ways between the regions for a while.
func (d *dayRun) across(len time.Duration, there, back bool, n world.LinkState) {
	set := func(n world.LinkState) {
		if there {
			d.fleet.Across(0, n)
		}
		if back {
			d.fleet.Across(1, n)
		}
	}
	set(n)
	d.fleet.afterFunc(len, func() { set(d.fleet.normalRegionLink) })
}

// inventoryCut has nobody reach any inventory, nor these each other, while hosts and disk
// servers of both regions reach each other.
func inventoryCut(d *dayRun, _ *rand.Rand, len time.Duration) {
	d.fleet.ToInventories(world.LinkState{Partitioned: true})
	d.fleet.afterFunc(len, func() { d.fleet.ToInventories(d.fleet.normalRegionLink) })
}

// inventoryOld has a region's inventory come back with the state of long ago; all else runs on.
func inventoryOld(d *dayRun, rng *rand.Rand, len time.Duration) {
	d.fleet.LoseInventory(rng.IntN(2), len/4, d.initialInventories)
}

// leaseStall has a host stand still for up to 30 s.
func leaseStall(d *dayRun, rng *rand.Rand, len time.Duration) {
	d.fleet.StallHost(rng.IntN(d.options.Hosts), min(time.Duration(uniform(rng, 1, 30)*float64(time.Second)), len))
}

// opening is a region lost as the morning begins: 1.7 to 2.4 times the usual, for all of
// the loss and while the region comes back.
func opening(d *dayRun, rng *rand.Rand, len time.Duration) {
	x := uniform(rng, 1.7, 2.4)
	d.changeBehaviour(len, func(h *ClientBehaviour) { h.RateFactor = x }, func(h *ClientBehaviour) { h.RateFactor = 0 })
	d.fleet.LoseRegion(rng.IntN(2), len/2, d.old(rng))
}

// moves has shards moved to and fro by an operator.
func moves(d *dayRun, rng *rand.Rand, len time.Duration) {
	for range 4 {
		shard, to := rng.IntN(d.fleet.Settings.Shards), rng.IntN(2)
		d.fleet.afterFunc(time.Duration(rng.Float64()*float64(len)), func() {
			for r := range 2 { // one of them leads
				d.fleet.Tell(r, inventory.Ask{Op: "move", Shard: shard, To: region.ID(to)})
			}
		})
	}
}

const (
	operatorLooks = 500 * time.Millisecond
	// operatorWaits is how long an operator looks before a word that can't be taken back.
	operatorWaits = 2 * time.Second
	// heardUntil is how long before its loss a region was heard of for its word to count:
	// less than it takes one to answer alone.
	heardUntil = 1200 * time.Millisecond
)

// operator plays the person at a service over two regions until over opens: it says which
// region leads when the other is lost for certain, and has shards return once every copy
// has all.
type operator struct {
	f       *Fleet
	lostAt  [2]time.Duration // since when a region is gone; 0: it is not
	calmAt  time.Duration
	stuckAt time.Duration // since when no inventory grants although both are there
	Said    map[string]int
	returns bool // shards are brought back to where they prefer to be
}

func (o *operator) run(over *env.Gate) {
	for env.Sleep(o.f.Environment, operatorLooks, over) {
		o.look()
	}
}

func (o *operator) look() {
	now := o.f.Environment.Now()
	for r := range 2 {
		switch gone := o.f.Gone(r); {
		case !gone:
			o.lostAt[r] = 0
		case o.lostAt[r] == 0:
			o.lostAt[r] = now
		}
	}
	grants, there := false, 0
	defer func() { o.stuck(now, grants, there) }()
	for r := range 2 {
		if o.lostAt[r] != 0 {
			continue
		}
		l, err := o.f.Tell(r, inventory.Ask{Op: "record"})
		if err != nil || l.Kind != inventory.Told || l.Status == nil {
			continue
		}
		there++
		grants = grants || l.Status.Grants
		other := 1 - r
		// A region that was cut off before it was lost may have answered alone: better wait.
		heard := time.Duration(l.Status.HeardMS*float64(time.Millisecond))-(now-o.lostAt[other]) < heardUntil
		if o.lostAt[other] != 0 && now-o.lostAt[other] > operatorWaits && heard && (l.Record.Leader != region.ID(r) || !l.Status.Grants) {
			o.say(r, "lead")
		}
		if l.Record.Leader == region.ID(r) {
			o.bringBack(now, r, &l)
		}
	}
}

// stuck has a region lead where both are there for long and neither grants: what came back
// with an old list can't know that there is no newer one.
func (o *operator) stuck(now time.Duration, grants bool, there int) {
	switch {
	case grants || there < 2:
		o.stuckAt = 0
	case o.stuckAt == 0:
		o.stuckAt = now
	case now-o.stuckAt > 3*operatorWaits:
		o.stuckAt = 0
		o.say(0, "lead")
	}
}

// bringBack has shards return after some calm.
func (o *operator) bringBack(now time.Duration, r int, l *inventory.List) {
	away := false
	for _, h := range l.Record.Homes {
		if h.Alone || h.Region == region.Nowhere {
			o.calmAt = 0
			return
		}
		away = away || h.Region != h.Prefer
	}
	switch {
	case l.Status.HeardMS > 500 || !away || !o.returns:
		o.calmAt = 0
	case o.calmAt == 0:
		o.calmAt = now
	case now-o.calmAt > operatorWaits:
		o.calmAt = 0
		o.say(r, "return")
	}
}

func (o *operator) say(r int, op string) {
	if _, err := o.f.Tell(r, inventory.Ask{Op: op}); err == nil {
		o.Said[op]++
	}
}

// outages are the times for which shards of a lost region were not served, of those that
// were served in the other before theirs came back.
func outages(res *Result) (out []time.Duration) {
	homes := res.Checker.HomeHistory()
	for _, l := range res.RegionLosses {
		last := map[int]rules.FirstServed{} // by shard, before the loss
		for _, s := range homes {
			at := time.Duration(s.At) * time.Microsecond
			if was, ok := last[s.Shard]; ok && was.Region == l.Region && s.Region != l.Region && at > l.At && at < l.Back {
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

// EveryRegionTrouble is a day with each trouble of regions in turn, so long each and with
// so much calm between them.
func EveryRegionTrouble(each, calm time.Duration, seed uint64) (script []ScheduledFault, span time.Duration) {
	rng := rand.New(rand.NewPCG(seed, 23))
	span = calm / 2
	for _, k := range RegionKinds() {
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
	e := &ExploreSummary{Outages: outages(r), LostWrites: r.LostWrites, OperatorCommands: r.OperatorCommands}
	e.PrintRegions(w)
	writes := 0
	for k, row := range r.Checker.Stats.ByClass {
		if k.Class == "txn-write" || k.Class == "claim-write" {
			writes += row.Issued
		}
	}
	fmt.Fprintf(w, "%d keyed writes asked for, %d took effect more than once at the disk servers of both regions\n", writes, r.RepeatedEffects)
}
