package lab

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"merlinhitch/internal/simulation/standin"
	"merlinhitch/internal/verify/rules"
)

// regionScenario returns a scenario of a service over two regions with the given faults.
func regionScenario(seed uint64, seconds int, faults ...ScheduledFault) Scenario {
	scenario := faultScenario(seed, seconds, faults...)
	scenario.Regions, scenario.Hosts, scenario.Servers = true, 4, 8
	return scenario
}

// leaderWithRestartingHosts returns a scenario in which the leader takes over shards as its own hosts
// restart: without leases of its own to wait for, it relies on the clock drift bound alone.
func leaderWithRestartingHosts(seed uint64) Scenario {
	scenario := regionScenario(seed, 16, ScheduledFault{Kind: "region_cut", At: 5 * time.Second, Duration: 9 * time.Second},
		ScheduledFault{Kind: "region_hosts", At: 5 * time.Second, Duration: time.Duration(3950+seed%10*20) * time.Millisecond})
	scenario.Figures = map[string]float64{"regions.drift": 0.15}
	scenario.Rate, scenario.Commands = 300, 16*300
	return scenario
}

// Without faults two regions serve at least 99% of the load, and the rule on homes holds.
func TestTwoRegionsWithoutFaults(t *testing.T) {
	outcome := runPassing(t, regionScenario(1, 10))
	if outcome.Goodput < 0.99 || outcome.Checker.Checks[rules.Homes] == 0 {
		t.Errorf("goodput %.3f, want at least 0.99; %d checks of the rule on homes, want some", outcome.Goodput, outcome.Checker.Checks[rules.Homes])
	}
}

// seedForRegionLoss returns the first seed with which a region_loss fault hits the target region and
// its inventory comes back with stale state or not.
func seedForRegionLoss(target int, stale bool) uint64 {
	for seed := uint64(1); ; seed++ {
		rng := rand.New(rand.NewPCG(seed, 4))
		if rng.IntN(2) == target && (rng.IntN(2) == 0) == stale {
			return seed
		}
	}
}

// Rules hold under each fault of two regions, and each case occurs with at least one of the seeds.
func TestTwoRegionsUnderFaults(t *testing.T) {
	skipIfShort(t)
	second := time.Second
	for _, c := range []struct {
		name    string
		seconds int
		faults  []ScheduledFault
		causes  func(outcome *Outcome) bool
	}{
		{"half of the packets dropped for two minutes", 170, []ScheduledFault{{Kind: "region_half", At: 5 * second, Duration: 120 * second}},
			func(o *Outcome) bool { return o.Goodput < 0.995 }},
		{"one-way partition from region 1 to region 0", 60, []ScheduledFault{{Kind: "region_one_way", At: 5 * second, Duration: 15 * second, Seed: 1}}, hasTakeover},
		{"one-way partition from region 0 to region 1", 60, []ScheduledFault{{Kind: "region_one_way", At: 5 * second, Duration: 15 * second, Seed: 2}}, hasTakeover},
		{"region restored with a stale inventory", 70, []ScheduledFault{{Kind: "region_loss", At: 20 * second, Duration: 15 * second, Seed: seedForRegionLoss(1, true)}}, hasTakeover},
		{"leading region restored with a stale inventory", 70, []ScheduledFault{{Kind: "region_loss", At: 20 * second, Duration: 15 * second, Seed: seedForRegionLoss(0, true)}},
			func(o *Outcome) bool { return hasTakeover(o) && o.OperatorCommands["lead"] > 0 }},
		{"stale inventory in the leading region after a partition", 60, []ScheduledFault{{Kind: "region_cut", At: 3 * second, Duration: 10 * second},
			{Kind: "inventory_old", At: 30 * second, Duration: 8 * second, Seed: seedForRegionLoss(0, true)}}, hasTakeover},
		{"inventories unreachable", 60, []ScheduledFault{{Kind: "inventory_cut", At: 5 * second, Duration: 15 * second}},
			func(o *Outcome) bool { return o.Checker.Stats.GoodputBetween(10, 18) < 0.05 }},
		{"host suspended while its region is taken over", 80, []ScheduledFault{{Kind: "lease_stall", At: 8 * second, Duration: 30 * second, Seed: 3},
			{Kind: "region_cut", At: 7 * second, Duration: 20 * second}}, hasTakeover},
		{"region lost and restored during a load peak", 80, []ScheduledFault{{Kind: "opening", At: 8 * second, Duration: 40 * second, Seed: seedForRegionLoss(1, false)}},
			func(o *Outcome) bool { return hasTakeover(o) && o.OperatorCommands["return"] > 0 }},
		{"region lost again while it recovers", 80, []ScheduledFault{{Kind: "region_loss_two", At: 8 * second, Duration: 36 * second, Seed: seedForRegionLoss(1, true)}}, hasTakeover},
		{"shards moved between regions", 50, []ScheduledFault{{Kind: "moves", At: 3 * second, Duration: 20 * second, Seed: 5}},
			func(o *Outcome) bool { return len(o.Checker.HomeHistory()) > 8 }},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			caused := false
			for seed := range uint64(2) {
				scenario := regionScenario(seed+1, c.seconds, append(slices.Clone(c.faults), ScheduledFault{Kind: "tenant_burst", At: 4 * second, Duration: 20 * second, Seed: seed})...)
				caused = c.causes(runPassing(t, scenario)) || caused
			}
			if !caused {
				t.Error("no seed caused the case")
			}
		})
	}
}

// hasTakeover reports whether a shard was served outside its preferred region.
func hasTakeover(outcome *Outcome) bool {
	return slices.ContainsFunc(outcome.Checker.HomeHistory(), func(served rules.FirstServed) bool { return served.Region != int(preferredRegion(served.Shard)) })
}

// Writes that are acknowledged before replication may be lost with a region, but no more of each shard
// than the maximum replication lag.
func TestRegionLossLosesBoundedWrites(t *testing.T) {
	skipIfShort(t)
	lost := 0
	for seed := range uint64(3) {
		scenario := regionScenario(seed+1, 24, ScheduledFault{Kind: "region_cut", At: 5650 * time.Millisecond, Duration: 11 * time.Second},
			ScheduledFault{Kind: "region_loss", At: 6 * time.Second, Duration: 12 * time.Second, Seed: seedForRegionLoss(1, false)})
		scenario.Rate, scenario.Commands = 400, 24*400
		outcome := runPassing(t, scenario)
		if lost += outcome.LostWrites; outcome.LostWrites > standin.MaxReplicationLag*scenario.Servers/2 {
			t.Errorf("%d writes lost, want at most %d of each shard", outcome.LostWrites, standin.MaxReplicationLag)
		}
	}
	if lost == 0 {
		t.Error("no write was lost: the scenarios did not cause the case")
	}
}
