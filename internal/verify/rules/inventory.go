package rules

import (
	"encoding/json"

	"merlinhitch/internal/protocol/inventory"
	"merlinhitch/internal/verify/trail"
)

// This file follows events between hosts and the inventory.

func (c *Checker) inventoryEvent(e *trail.Event) {
	process := c.process(e.Host)
	switch e.Kind {
	case trail.Close:
		if e.Dir == trail.Up {
			process.diedAt = e.Time // until the host connects again
		}
	case trail.Open:
		if !process.killed {
			process.diedAt = 0
		}
	case trail.List:
		var list inventory.List
		if json.Unmarshal([]byte(e.Detail), &list) == nil {
			c.applyList(process, &list, e.Time)
		}
	}
}

func (c *Checker) applyList(process *hostProcess, list *inventory.List, now int64) {
	listed := map[string]bool{}
	for _, n := range list.Nodes {
		listed[n.Addr], process.knownServers[n.Addr] = true, true
		if n.Health == inventory.Ready {
			delete(process.notReadySince, n.Addr)
		} else {
			c.markNotReady(process, n.Addr, now)
		}
		if n.AgeMS > 0 {
			start := now - int64(n.AgeMS*1000)
			// Each list computes the same start from another age: treat starts within 1 s as one.
			if previous, ok := c.serverStarts[n.Addr]; !ok || start > previous+1_000_000 {
				c.serverStarts[n.Addr] = start
			}
			process.knownStarts[n.Addr] = c.serverStarts[n.Addr]
		}
	}
	if list.Kind == inventory.Full {
		for addr := range process.knownServers {
			if !listed[addr] {
				c.markNotReady(process, addr, now)
			}
		}
	}
}

func (c *Checker) markNotReady(process *hostProcess, addr string, now int64) {
	if _, already := process.notReadySince[addr]; !already {
		process.notReadySince[addr] = now
		c.Checks[Drains]++
	}
}
