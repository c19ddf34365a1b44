package settings

import "fmt"

// Example returns valid settings of a small fuel card service for a number of hosts and
// shards: three plans, classes of every effect and four volumes per shard.
func Example(hosts, shards int) *Settings {
	s := &Settings{
		Hosts: hosts, Shards: shards, UnitBytes: 16384, MeanUnits: 2, MaxUnits: 6, FairFactor: 1, SpareFactor: 0.05,
		Classes: []Class{
			{Name: "swap", Match: Match{Ops: []string{"compare-and-write"}}, Value: 3, LateValue: 0.1, LatencyTarget: 500, Deadline: 4000, Effect: "unsafe"},
			{Name: "txn-write", Match: Match{Ops: []string{"write", "write-same", "unmap"}, Plans: []string{"normal", "prioritario"}}, Value: 3, LateValue: 0.15, LatencyTarget: 500, Deadline: 4000, Effect: "keyed", DedupScope: "cell", DedupWindow: 6000},
			{Name: "claim-write", Match: Match{Ops: []string{"write", "write-same", "unmap"}}, Value: 2, LateValue: 0.15, LatencyTarget: 300, Deadline: 1500, Effect: "keyed", DedupScope: "cell", DedupWindow: 1500, Ordered: true},
			{Name: "card-read", Match: Match{Ops: []string{"read", "verify"}, MaxBytes: 65536}, Value: 2, LateValue: 0.1, LatencyTarget: 300, Deadline: 2000, Effect: "safe"},
			{Name: "bulk-read", Match: Match{Ops: []string{"read", "verify"}}, Value: 1, LateValue: 0.2, LatencyTarget: 1500, Deadline: 5000, Effect: "safe"},
		},
		Plans: []Plan{
			{Name: "basico", Price: 0.96, Weight: 1, Rate: 5, Limit: 40, Burst: 48, Overdraft: 10},
			{Name: "normal", Price: 1, Weight: 3, Rate: 10},
			{Name: "prioritario", Price: 1.5, Weight: 6, Rate: 15},
		},
		Limits: Limits{MaxAttempts: 4, RetryAfter: 500, DialTimeout: 250, MaxOpen: 33333},
		Rules: Rules{AnswerSlack: 100, DrainGrace: 500, OverloadFactor: 2, OverloadWindow: 1500, ColdCapacity: 0.2, WarmUpTime: 8000,
			ColdUnits: 26, KeyHoldoff: 200, Budget: &Budget{Base: 3, Ratio: 0.25, Window: 5000}},
		Target: Target{Prefix: "iqn.2026-11.example.merlinhitch", CommandWindow: 64, MaxSessions: 4096, MemoryBytes: 256 << 20,
			LoginTimeout: 5000, WriteTimeout: 5000, PingInterval: 10000, LogoutTimeout: 2000},
	}
	plans := []string{"basico", "normal", "prioritario", "basico", "normal", "normal"}
	for i := range 4 * shards {
		v := Volume{Name: fmt.Sprintf("vol-%03d", i), Plan: plans[i%len(plans)], Blocks: 1 << 14, BlockSize: 4096, ExtentBlocks: 32,
			Copies: min(2, shards), WriteFraction: 0.35, MaxNodes: 1 + i%3}
		for k := range 1 + i%3 {
			v.Layout = append(v.Layout, (i+k*3)%shards)
		}
		for k := range min(1+i%3, hosts) {
			v.Hosts = append(v.Hosts, (i+k)%hosts)
		}
		s.Volumes = append(s.Volumes, v)
	}
	halls := min(shards, 3)
	for i := range shards {
		s.Nodes = append(s.Nodes, Node{Shard: i, Hall: fmt.Sprintf("hall-%c", 'a'+i%halls), Capacity: 140, Cost: 1})
	}
	s.Placement = DefaultPlacement
	s.Placement.SurviveLoss = halls > 1
	return s
}
