package placement

import (
	"fmt"
	"slices"
)

// Check judges a layout from the definitions alone: what it breaks, and what it is
// worth. It shares no bookkeeping with the search.
func Check(p *Problem, l Layout) (Objective, []string) {
	c := &checker{problem: p, layout: l}
	if len(l) != len(p.Volumes) {
		return Objective{}, []string{fmt.Sprintf("%d volumes of %d", len(l), len(p.Volumes))}
	}
	for v := range l {
		c.checkVolume(v)
	}
	c.checkLoads()
	return c.objective, c.violations
}

type checker struct {
	problem    *Problem
	layout     Layout
	objective  Objective
	violations []string
}

func (c *checker) addViolation(format string, args ...any) {
	c.violations = append(c.violations, fmt.Sprintf(format, args...))
}

func (c *checker) checkVolume(v int) {
	p, vol := c.problem, &c.problem.Volumes[v]
	placed, nodes, halls := 0, map[int]int{}, map[string]bool{}
	copies := map[int]int{}
	banned := map[int]bool{}
	for _, n := range vol.ExcludedNodes {
		banned[n] = true
	}
	for _, pc := range c.layout[v] {
		if pc.Parts < 1 || pc.Node < 0 || pc.Node >= len(p.Nodes) || pc.Copy >= len(p.Nodes) {
			c.addViolation("%s: piece %+v means nothing", vol.Name, pc)
			return
		}
		if nodes[pc.Node] > 0 {
			c.addViolation("%s has two pieces on %s", vol.Name, p.Nodes[pc.Node].Name)
		}
		placed += pc.Parts
		nodes[pc.Node] += pc.Parts
		halls[p.Nodes[pc.Node].Hall] = true
		if banned[pc.Node] || pc.Copy >= 0 && banned[pc.Copy] {
			c.addViolation("%s lies on a banned node", vol.Name)
		}
		if (vol.Copies == 2) != (pc.Copy >= 0) {
			c.addViolation("%s: a piece with the wrong number of copies", vol.Name)
		}
		if pc.Copy >= 0 {
			copies[pc.Copy] += pc.Parts
			if p.Nodes[pc.Copy].Hall == p.Nodes[pc.Node].Hall {
				c.addViolation("%s: a copy in the hall of its data", vol.Name)
			}
		}
	}
	if placed > p.Parts {
		c.addViolation("%s: %d parts of %d", vol.Name, placed, p.Parts)
	}
	if !vol.IgnoreReserve && float64(placed) < p.Tiers[vol.Tier].Reserve*float64(p.Parts)-tolerance {
		c.addViolation("%s: %d parts placed, below its reserve", vol.Name, placed)
	}
	if len(nodes) > vol.MaxNodes {
		c.addViolation("%s lies on %d nodes, at most %d", vol.Name, len(nodes), vol.MaxNodes)
	}
	if placed == p.Parts && len(halls) < vol.MinHalls {
		c.addViolation("%s lies in %d halls, at least %d", vol.Name, len(halls), vol.MinHalls)
	}
	if placed > 0 {
		for _, n := range vol.PinnedNodes {
			if nodes[n] == 0 {
				c.addViolation("%s is pinned to %s and has nothing there", vol.Name, p.Nodes[n].Name)
			}
		}
	}
	c.objective.Unmet += p.Tiers[vol.Tier].Value * vol.Rate * float64(p.Parts-placed) / float64(p.Parts)
	for n := range p.Nodes {
		data, copied := p.currentParts(v, n)
		if p.Nodes[n].Draining && (nodes[n] > data || copies[n] > copied) {
			c.addViolation("%s puts something new on %s, which drains", vol.Name, p.Nodes[n].Name)
		}
		if p.Current != nil {
			c.objective.Moves += vol.Rate / float64(p.Parts) * float64(max(nodes[n]-data, 0)+max(copies[n]-copied, 0))
		}
	}
}

// checkLoads reckons every node, with all halls and with each one lost.
func (c *checker) checkLoads() {
	lost := []string{""}
	_, names := c.problem.indexHalls()
	for _, h := range names {
		if c.problem.SurviveHallLoss && !slices.Contains(c.problem.ExemptHalls, h) {
			lost = append(lost, h)
		}
	}
	for _, hall := range lost {
		load := Loads(c.problem, c.layout, hall)
		worst := 0.0
		for n, x := range load {
			node := &c.problem.Nodes[n]
			if hall != "" && node.Hall == hall {
				continue
			}
			if x > node.Capacity*(1+tolerance)+tolerance {
				c.addViolation("%s carries %.3f of %.3f with hall %q lost", node.Name, x, node.Capacity, hall)
			}
			if x > 0 && node.Capacity > 0 {
				worst = max(worst, x/node.Capacity)
			}
			if hall == "" {
				c.objective.Cost += x * node.Cost
			}
		}
		if hall == "" {
			c.objective.Use = worst
		} else {
			c.objective.LossUse = max(c.objective.LossUse, worst)
		}
	}
}

// Loads is what a layout puts on each node, units a second, with a hall lost or
// with none ("").
func Loads(p *Problem, l Layout, hall string) []float64 {
	load := make([]float64, len(p.Nodes))
	for v, pieces := range l {
		vol := &p.Volumes[v]
		for _, pc := range pieces {
			part := vol.Rate * float64(pc.Parts) / float64(p.Parts)
			gone := hall != "" && p.Nodes[pc.Node].Hall == hall
			if !gone {
				load[pc.Node] += part
			}
			if pc.Copy >= 0 && gone {
				load[pc.Copy] += part
			} else if pc.Copy >= 0 {
				load[pc.Copy] += part * vol.WriteFraction
			}
		}
	}
	return load
}

// Halls names the halls, in the order of their first nodes.
func (p *Problem) Halls() []string {
	_, names := p.indexHalls()
	return names
}
