package rules

import (
	"maps"
	"slices"
)

// This file checks that a shard of a service in two regions is served in one of them at a time.

// servedHome is the first answer of a shard's servers in a region under a generation.
type servedHome struct {
	generation uint64
	region     int
	servedAt   int64
}

// FirstServed tells when a shard was first served in a region under a generation.
type FirstServed struct {
	Shard, Region int
	Generation    uint64
	At            int64 // us since the run began
}

// HomeHistory lists, by shard and then by time, the regions and generations that served it.
func (c *Checker) HomeHistory() (out []FirstServed) {
	for _, shard := range slices.Sorted(maps.Keys(c.firstServed)) {
		for _, s := range c.firstServed[shard] {
			out = append(out, FirstServed{int(shard), s.region, s.generation, s.servedAt})
		}
	}
	return out
}

// checkHome checks rule 8 on each attempt that was served.
func (c *Checker) checkHome(served *attempt, now int64) {
	if served.generation == 0 {
		return
	}
	c.Checks[Homes]++
	server := c.meta.Servers[served.server]
	history := c.firstServed[int32(server.Shard)]
	known := false
	for _, s := range history {
		known = known || s.generation == served.generation && s.region == server.Region
		if s.region != server.Region && s.generation >= served.generation && s.servedAt < served.sentAt {
			c.violate(Violation{Rule: Homes, Time: now, HostID: served.req.id.hostID, Seq: served.req.id.seq},
				"shard %d was served in region %d under generation %d by an attempt sent %.1f ms after region %d had served it under generation %d",
				server.Shard, server.Region, served.generation, float64(served.sentAt-s.servedAt)/1000, s.region, s.generation)
		}
	}
	if !known {
		c.firstServed[int32(server.Shard)] = append(history, servedHome{served.generation, server.Region, now})
	}
}
