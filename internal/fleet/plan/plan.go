// Package plan converts settings, with configured or measured rates, into a problem of package
// placement, and converts layouts and steps back into settings. docs/placement.md is the operators'
// page.
package plan

import (
	"fmt"
	"slices"

	"merlinhitch/internal/control/settings"
	"merlinhitch/internal/fleet/placement"
	"merlinhitch/internal/fleet/rates"
)

// Error reports settings or a step from which no plan can be made.
type Error struct{ Path, Reason string }

func (e *Error) Error() string { return "plan: " + e.Path + ": " + e.Reason }

// Plan is a placement problem made from settings, with the mapping back to them.
type Plan struct {
	Settings    *settings.Settings
	Problem     *placement.Problem
	Current     placement.Layout // layout of Settings
	slots       []slots          // by volume
	nodeOfShard map[int]int      // index in Problem.Nodes by shard
}

// slots holds, for each part of a volume, the index of its node and that of its copy (-1: none).
type slots struct{ data, copy []int }

// Options of From.
type Options struct {
	// Measured, if not nil, replaces the configured rates. Volumes that it does not contain have
	// rate 0.
	Measured []rates.Rate
	// LostHalls are halls that are down. They get no data, and the loss of a further hall need not be
	// survived.
	LostHalls []string
}

// maxParts is the largest Problem.Parts that package placement accepts.
const maxParts = 1024

// From makes a plan from settings.
func From(s *settings.Settings, options Options) (*Plan, error) {
	if len(s.Nodes) == 0 {
		return nil, &Error{"nodes", "is empty, but the hall and capacity of each shard are needed"}
	}
	config := s.Placement
	if config == (settings.Placement{}) {
		config = settings.DefaultPlacement
	}
	parts := config.Parts
	for i := range s.Volumes {
		parts = lcm(parts, len(s.Volumes[i].Layout))
		if parts > maxParts {
			return nil, &Error{fmt.Sprintf("volumes[%d].layout", i), fmt.Sprintf("has %d entries: the common number of parts of all volumes exceeds %d", len(s.Volumes[i].Layout), maxParts)}
		}
	}
	layoutPlan := &Plan{Settings: s, Problem: &placement.Problem{Parts: parts, SurviveHallLoss: config.SurviveLoss && len(options.LostHalls) == 0}, nodeOfShard: map[int]int{}}
	for i, n := range s.Nodes {
		layoutPlan.nodeOfShard[n.Shard] = i
		node := placement.Node{Name: fmt.Sprintf("shard %d", n.Shard), Hall: s.DomainOf(&n), Capacity: n.Capacity, Cost: n.Cost, Draining: n.Draining}
		if slices.Contains(options.LostHalls, node.Hall) {
			node.Capacity = 0
		}
		layoutPlan.Problem.Nodes = append(layoutPlan.Problem.Nodes, node)
	}
	layoutPlan.addTiers()
	layoutPlan.addVolumes(options, config.Margin)
	layoutPlan.Problem.Current = layoutPlan.Current
	return layoutPlan, layoutPlan.Problem.Validate()
}

func lcm(a, b int) int {
	x, y := a, b
	for y != 0 {
		x, y = y, x%y
	}
	return a / x * b
}

// addTiers adds a tier for each plan of the settings. Its reserve is 1, since every volume must be
// placed whole.
func (pl *Plan) addTiers() {
	for _, settingsPlan := range pl.Settings.Plans {
		pl.Problem.Tiers = append(pl.Problem.Tiers, placement.Tier{Name: settingsPlan.Name, Value: settingsPlan.Weight, Reserve: 1})
	}
}

func (pl *Plan) addVolumes(options Options, margin float64) {
	s := pl.Settings
	measured := map[string]rates.Rate{}
	for _, r := range options.Measured {
		measured[r.Volume] = r
	}
	for i := range s.Volumes {
		volume := &s.Volumes[i]
		volumeSlots := pl.layoutSlots(volume, pl.Problem.Parts)
		current := groupPieces(volumeSlots)
		placed := placement.Volume{Name: volume.Name, Rate: s.RateOf(volume), WriteFraction: volume.WriteFraction, MaxNodes: volume.MaxNodes, MinHalls: minDomains(s, volume), Copies: max(volume.Copies, 1),
			Tier: slices.IndexFunc(s.Plans, func(p settings.Plan) bool { return p.Name == volume.Plan })}
		if placed.MaxNodes == 0 {
			placed.MaxNodes = max(len(current), 1)
		}
		if options.Measured != nil {
			rate := measured[volume.Name]
			placed.Rate, placed.WriteFraction = rate.Mean+margin*rate.StdDev, min(max(rate.WriteFraction, 0), 1)
		}
		for _, shard := range volume.PinnedShards {
			placed.PinnedNodes = append(placed.PinnedNodes, pl.nodeOfShard[shard])
		}
		for _, shard := range volume.ExcludedShards {
			placed.ExcludedNodes = append(placed.ExcludedNodes, pl.nodeOfShard[shard])
		}
		for n, node := range s.Nodes {
			if slices.Contains(options.LostHalls, node.Hall) && !slices.Contains(placed.ExcludedNodes, n) {
				placed.ExcludedNodes = append(placed.ExcludedNodes, n)
			}
		}
		placed.PinnedNodes = slices.DeleteFunc(placed.PinnedNodes, func(n int) bool { return slices.Contains(placed.ExcludedNodes, n) })
		pl.Problem.Volumes = append(pl.Problem.Volumes, placed)
		pl.slots = append(pl.slots, volumeSlots)
		pl.Current = append(pl.Current, current)
	}
}

// layoutSlots divides the layout of a volume into parts.
func (pl *Plan) layoutSlots(volume *settings.Volume, parts int) slots {
	divided := slots{make([]int, parts), make([]int, parts)}
	for i := range parts {
		divided.data[i], divided.copy[i] = pl.nodeOfShard[volume.Layout[i%len(volume.Layout)]], -1
		if len(volume.CopyLayout) > 0 {
			divided.copy[i] = pl.nodeOfShard[volume.CopyLayout[i%len(volume.CopyLayout)]]
		}
	}
	return divided
}

// groupPieces groups parts into pieces by node and copy node, in their order.
func groupPieces(volumeSlots slots) (out []placement.Piece) {
	for i := range volumeSlots.data {
		index := slices.IndexFunc(out, func(piece placement.Piece) bool {
			return piece.Node == volumeSlots.data[i] && piece.Copy == volumeSlots.copy[i]
		})
		if index < 0 {
			index = len(out)
			out = append(out, placement.Piece{Node: volumeSlots.data[i], Copy: volumeSlots.copy[i]})
		}
		out[index].Parts++
	}
	slices.SortFunc(out, func(a, b placement.Piece) int {
		if a.Node != b.Node {
			return a.Node - b.Node
		}
		return a.Copy - b.Copy
	})
	return out
}

// Steps returns the steps from the current layout to another, each within the limit of the settings
// on what one step may move. Its errors are those of placement.Steps.
func (pl *Plan) Steps(target placement.Layout) ([]placement.Step, error) {
	maxMoved := pl.Settings.Placement.MaxMoved
	if maxMoved == 0 {
		maxMoved = settings.DefaultPlacement.MaxMoved
	}
	return placement.Steps(pl.Problem, pl.Current, target, maxMoved)
}

// ApplyStep returns the settings after a step and makes them the plan's current ones.
func (pl *Plan) ApplyStep(step placement.Step) (*settings.Settings, error) {
	volumeSlots, remaining := pl.slots[step.Volume], step.To.Parts
	for i := range volumeSlots.data {
		if remaining > 0 && volumeSlots.data[i] == step.From.Node && volumeSlots.copy[i] == step.From.Copy {
			volumeSlots.data[i], volumeSlots.copy[i] = step.To.Node, step.To.Copy
			remaining--
		}
	}
	if remaining > 0 {
		return nil, &Error{"volumes." + pl.Problem.Volumes[step.Volume].Name, "the step does not start from the current layout"}
	}
	pl.Current[step.Volume] = groupPieces(volumeSlots)
	next := *pl.Settings
	next.Volumes = slices.Clone(next.Volumes)
	pl.setLayout(&next.Volumes[step.Volume], volumeSlots)
	pl.Settings = &next
	return &next, nil
}

// WithLayout returns the settings with a complete layout, without migration steps. It is for services
// that hold no data yet, and for comparisons. The plan itself is not changed.
func (pl *Plan) WithLayout(target placement.Layout) (*settings.Settings, error) {
	next := *pl.Settings
	next.Volumes = slices.Clone(next.Volumes)
	for v := range target {
		var volumeSlots slots
		for _, piece := range target[v] {
			for range piece.Parts {
				volumeSlots.data, volumeSlots.copy = append(volumeSlots.data, piece.Node), append(volumeSlots.copy, piece.Copy)
			}
		}
		if len(volumeSlots.data) != pl.Problem.Parts {
			return nil, &Error{"volumes." + pl.Problem.Volumes[v].Name, fmt.Sprintf("%d parts of %d are placed", len(volumeSlots.data), pl.Problem.Parts)}
		}
		pl.setLayout(&next.Volumes[v], interleave(volumeSlots))
	}
	return &next, next.Check()
}

// interleave distributes the parts of each piece evenly over the slots. Otherwise adjacent extents,
// which are often accessed together, would be on the same node.
func interleave(grouped slots) slots {
	count := len(grouped.data)
	spread := slots{make([]int, count), make([]int, count)}
	stride := 1
	for trial := count/2 + 1; trial < count; trial++ { // least stride above count/2 that visits every slot
		if lcm(trial, count) == trial*count {
			stride = trial
			break
		}
	}
	for i := range count {
		spread.data[i*stride%count], spread.copy[i*stride%count] = grouped.data[i], grouped.copy[i]
	}
	return spread
}

// setLayout writes the layout of the slots into a volume's settings.
func (pl *Plan) setLayout(volume *settings.Volume, volumeSlots slots) {
	volume.Layout, volume.CopyLayout = make([]int, len(volumeSlots.data)), nil
	for i, n := range volumeSlots.data {
		volume.Layout[i] = pl.Settings.Nodes[n].Shard
		if volumeSlots.copy[i] >= 0 {
			volume.CopyLayout = append(volume.CopyLayout, pl.Settings.Nodes[volumeSlots.copy[i]].Shard)
		}
	}
	if len(volume.CopyLayout) != len(volume.Layout) {
		volume.CopyLayout = nil
	}
}

// FailOver returns the settings with all data in hall served from its copies, and the names of the
// volumes that have parts without a copy in another hall.
func FailOver(s *settings.Settings, hall string) (*settings.Settings, []string) {
	inHall := map[int]bool{}
	for _, n := range s.Nodes {
		inHall[n.Shard] = s.DomainOf(&n) == hall
	}
	next := *s
	next.Volumes = slices.Clone(s.Volumes)
	var unrecoverable []string
	for i := range next.Volumes {
		volume := &next.Volumes[i]
		layout, hasLost := slices.Clone(volume.Layout), false
		for slot, shard := range layout {
			switch {
			case !inHall[shard]:
			case len(volume.CopyLayout) == len(layout) && !inHall[volume.CopyLayout[slot]]:
				layout[slot] = volume.CopyLayout[slot]
			default:
				hasLost = true
			}
		}
		if volume.Layout = layout; hasLost {
			unrecoverable = append(unrecoverable, volume.Name)
		}
	}
	return &next, unrecoverable
}

// minDomains returns the least number of failure domains of a volume, at most 2 if they are regions.
func minDomains(s *settings.Settings, volume *settings.Volume) int {
	if s.Placement.FailureDomain == settings.DomainRegion {
		return min(volume.MinDomains, 2)
	}
	return volume.MinDomains
}
