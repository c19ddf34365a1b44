package placement

import (
	"fmt"
	"slices"
)

// Check returns the objective of a layout and the constraints that it violates. It computes both
// from the definitions and shares no incremental state with the search, so that it can verify it.
func Check(problem *Problem, layout Layout) (Objective, []string) {
	c := &checker{problem: problem, layout: layout}
	if len(layout) != len(problem.Volumes) {
		return Objective{}, []string{fmt.Sprintf("layout has %d volumes, want %d", len(layout), len(problem.Volumes))}
	}
	for v := range layout {
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
	problem, volume := c.problem, &c.problem.Volumes[v]
	placed, partsByNode, halls := 0, map[int]int{}, map[string]bool{}
	copyPartsByNode := map[int]int{}
	excluded := map[int]bool{}
	for _, n := range volume.ExcludedNodes {
		excluded[n] = true
	}
	for _, piece := range c.layout[v] {
		if piece.Parts < 1 || piece.Node < 0 || piece.Node >= len(problem.Nodes) || piece.Copy >= len(problem.Nodes) {
			c.addViolation("%s: piece %+v is invalid", volume.Name, piece)
			return
		}
		if partsByNode[piece.Node] > 0 {
			c.addViolation("%s has more than one piece on %s", volume.Name, problem.Nodes[piece.Node].Name)
		}
		placed += piece.Parts
		partsByNode[piece.Node] += piece.Parts
		halls[problem.Nodes[piece.Node].Hall] = true
		if excluded[piece.Node] || piece.Copy >= 0 && excluded[piece.Copy] {
			c.addViolation("%s is placed on an excluded node", volume.Name)
		}
		if (volume.Copies == 2) != (piece.Copy >= 0) {
			c.addViolation("%s: a piece has the wrong number of copies", volume.Name)
		}
		if piece.Copy >= 0 {
			copyPartsByNode[piece.Copy] += piece.Parts
			if problem.Nodes[piece.Copy].Hall == problem.Nodes[piece.Node].Hall {
				c.addViolation("%s: a copy is in the hall of its data", volume.Name)
			}
		}
	}
	if placed > problem.Parts {
		c.addViolation("%s: %d parts placed, maximum %d", volume.Name, placed, problem.Parts)
	}
	if !volume.IgnoreReserve && float64(placed) < problem.Tiers[volume.Tier].Reserve*float64(problem.Parts)-tolerance {
		c.addViolation("%s: %d parts placed, below its reserve", volume.Name, placed)
	}
	if len(partsByNode) > volume.MaxNodes {
		c.addViolation("%s is on %d nodes, maximum %d", volume.Name, len(partsByNode), volume.MaxNodes)
	}
	if placed == problem.Parts && len(halls) < volume.MinHalls {
		c.addViolation("%s is in %d halls, minimum %d", volume.Name, len(halls), volume.MinHalls)
	}
	if placed > 0 {
		for _, n := range volume.PinnedNodes {
			if partsByNode[n] == 0 {
				c.addViolation("%s is pinned to %s but has no data there", volume.Name, problem.Nodes[n].Name)
			}
		}
	}
	c.objective.Unmet += problem.Tiers[volume.Tier].Value * volume.Rate * float64(problem.Parts-placed) / float64(problem.Parts)
	for n := range problem.Nodes {
		currentData, currentCopies := problem.currentParts(v, n)
		if problem.Nodes[n].Draining && (partsByNode[n] > currentData || copyPartsByNode[n] > currentCopies) {
			c.addViolation("%s has new data or copies on %s, which is draining", volume.Name, problem.Nodes[n].Name)
		}
		if problem.Current != nil {
			c.objective.Moves += volume.Rate / float64(problem.Parts) * float64(max(partsByNode[n]-currentData, 0)+max(copyPartsByNode[n]-currentCopies, 0))
		}
	}
}

// checkLoads checks the load of every node, with no hall lost and with each one lost that must be
// survived.
func (c *checker) checkLoads() {
	lostHalls := []string{""}
	_, hallNames := c.problem.indexHalls()
	for _, hall := range hallNames {
		if c.problem.SurviveHallLoss && !slices.Contains(c.problem.ExemptHalls, hall) {
			lostHalls = append(lostHalls, hall)
		}
	}
	for _, hall := range lostHalls {
		loads := Loads(c.problem, c.layout, hall)
		maxUtilization := 0.0
		for n, load := range loads {
			node := &c.problem.Nodes[n]
			if hall != "" && node.Hall == hall {
				continue
			}
			if load > node.Capacity*(1+tolerance)+tolerance {
				c.addViolation("%s: load %.3f exceeds capacity %.3f with hall %q lost", node.Name, load, node.Capacity, hall)
			}
			if load > 0 && node.Capacity > 0 {
				maxUtilization = max(maxUtilization, load/node.Capacity)
			}
			if hall == "" {
				c.objective.Cost += load * node.Cost
			}
		}
		if hall == "" {
			c.objective.Use = maxUtilization
		} else {
			c.objective.LossUse = max(c.objective.LossUse, maxUtilization)
		}
	}
}

// Loads returns the load of each node, units/s, after the loss of lostHall, or with none lost if it
// is "".
func Loads(problem *Problem, layout Layout, lostHall string) []float64 {
	loads := make([]float64, len(problem.Nodes))
	for v, pieces := range layout {
		volume := &problem.Volumes[v]
		for _, piece := range pieces {
			rate := volume.Rate * float64(piece.Parts) / float64(problem.Parts)
			dataLost := lostHall != "" && problem.Nodes[piece.Node].Hall == lostHall
			if !dataLost {
				loads[piece.Node] += rate
			}
			if piece.Copy >= 0 && dataLost {
				loads[piece.Copy] += rate
			} else if piece.Copy >= 0 {
				loads[piece.Copy] += rate * volume.WriteFraction
			}
		}
	}
	return loads
}

// Halls returns the names of the halls, in the order of their first nodes.
func (p *Problem) Halls() []string {
	_, names := p.indexHalls()
	return names
}
