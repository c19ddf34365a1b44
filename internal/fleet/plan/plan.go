// Package plan stands between the settings and the solver: it turns the settings
// in force, with typed or measured rates, into an instance of package placement,
// and layouts and steps back into settings. It is a core and decides nothing: what
// goes where is placement's. docs/placement.md is the operators' page.
package plan

import (
	"fmt"
	"slices"

	"merlinhitch/internal/control/settings"
	"merlinhitch/internal/fleet/placement"
	"merlinhitch/internal/fleet/rates"
)

// Error says why settings can't be planned with.
type Error struct{ Path, Reason string }

func (e *Error) Error() string { return "plan: " + e.Path + ": " + e.Reason }

// Plan is an instance made from settings, with what leads back to them.
type Plan struct {
	Settings    *settings.Settings
	Problem     *placement.Problem
	Current     placement.Layout // what the settings have in force
	slots       []slots          // by volume, one for each part
	nodeOfShard map[int]int      // index in Problem.Nodes, by shard
}

// slots are a volume's parts: the shard of each and the one of its copy (-1: none).
type slots struct{ data, copy []int }

// Options of From.
type Options struct {
	// Measured, if not nil, takes the place of the typed rates: a volume that is
	// not in it asked for nothing.
	Measured []rates.Rate
	// LostHalls halls carry nothing and take nothing; no further loss is planned for.
	LostHalls []string
}

// maxParts bounds the parts of a volume, as package placement does.
const maxParts = 1024

// From makes the instance of the settings.
func From(s *settings.Settings, options Options) (*Plan, error) {
	if len(s.Nodes) == 0 {
		return nil, &Error{"nodes", "is empty: a layout needs each shard's hall and capacity"}
	}
	config := s.Placement
	if config == (settings.Placement{}) {
		config = settings.DefaultPlacement
	}
	parts := config.Parts
	for i := range s.Volumes {
		parts = lcm(parts, len(s.Volumes[i].Layout))
		if parts > maxParts {
			return nil, &Error{fmt.Sprintf("volumes[%d].layout", i), fmt.Sprintf("with %d entries there is no common number of parts up to %d", len(s.Volumes[i].Layout), maxParts)}
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

// addTiers are the plans. Every volume must be reachable whole, so each tier's
// reserve is all of it.
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

// layoutSlots deals a volume's layout out over that many parts.
func (pl *Plan) layoutSlots(volume *settings.Volume, parts int) slots {
	cut := slots{make([]int, parts), make([]int, parts)}
	for i := range parts {
		cut.data[i], cut.copy[i] = pl.nodeOfShard[volume.Layout[i%len(volume.Layout)]], -1
		if len(volume.CopyLayout) > 0 {
			cut.copy[i] = pl.nodeOfShard[volume.CopyLayout[i%len(volume.CopyLayout)]]
		}
	}
	return cut
}

// groupPieces gathers parts by node and copy, in the order of the nodes.
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

// Steps orders the way from the layout in force to another, each within the amount
// that the settings let one step move.
func (pl *Plan) Steps(to placement.Layout) ([]placement.Step, error) {
	most := pl.Settings.Placement.MaxMoved
	if most == 0 {
		most = settings.DefaultPlacement.MaxMoved
	}
	return placement.Steps(pl.Problem, pl.Current, to, most)
}

// ApplyStep returns the settings after a step. The plan then stands where the step led.
func (pl *Plan) ApplyStep(step placement.Step) (*settings.Settings, error) {
	volumeSlots, left := pl.slots[step.Volume], step.To.Parts
	for i := range volumeSlots.data {
		if left > 0 && volumeSlots.data[i] == step.From.Node && volumeSlots.copy[i] == step.From.Copy {
			volumeSlots.data[i], volumeSlots.copy[i] = step.To.Node, step.To.Copy
			left--
		}
	}
	if left > 0 {
		return nil, &Error{"volumes." + pl.Problem.Volumes[step.Volume].Name, "the step does not begin where the layout stands"}
	}
	pl.Current[step.Volume] = groupPieces(volumeSlots)
	next := *pl.Settings
	next.Volumes = slices.Clone(next.Volumes)
	pl.setLayout(&next.Volumes[step.Volume], volumeSlots)
	pl.Settings = &next
	return &next, nil
}

// WithLayout returns the settings with a layout put in at once; for services that hold
// no data yet, and for comparisons.
func (pl *Plan) WithLayout(to placement.Layout) (*settings.Settings, error) {
	next := *pl.Settings
	next.Volumes = slices.Clone(next.Volumes)
	for v := range to {
		var volumeSlots slots
		for _, piece := range to[v] {
			for range piece.Parts {
				volumeSlots.data, volumeSlots.copy = append(volumeSlots.data, piece.Node), append(volumeSlots.copy, piece.Copy)
			}
		}
		if len(volumeSlots.data) != pl.Problem.Parts {
			return nil, &Error{"volumes." + pl.Problem.Volumes[v].Name, fmt.Sprintf("%d parts of %d have a place", len(volumeSlots.data), pl.Problem.Parts)}
		}
		pl.setLayout(&next.Volumes[v], interleave(volumeSlots))
	}
	return &next, next.Check()
}

// interleave spreads the parts of each piece evenly over the slots, so that neighbouring
// extents, which are often busy together, lie apart.
func interleave(grouped slots) slots {
	count := len(grouped.data)
	spread := slots{make([]int, count), make([]int, count)}
	stride := 1
	for candidate := count/2 + 1; candidate < count; candidate++ { // the nearest step above a half that meets every slot
		if lcm(candidate, count) == candidate*count {
			stride = candidate
			break
		}
	}
	for i := range count {
		spread.data[i*stride%count], spread.copy[i*stride%count] = grouped.data[i], grouped.copy[i]
	}
	return spread
}

// setLayout writes parts into a volume.
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

// FailOver returns the settings with what lies in a hall served from its copies,
// and the names of volumes parts of which have none elsewhere.
func FailOver(s *settings.Settings, hall string) (*settings.Settings, []string) {
	inHall := map[int]bool{}
	for _, n := range s.Nodes {
		inHall[n.Shard] = s.DomainOf(&n) == hall
	}
	next := *s
	next.Volumes = slices.Clone(s.Volumes)
	var stranded []string
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
			stranded = append(stranded, volume.Name)
		}
	}
	return &next, stranded
}

// minDomains is how many domains a volume must lie in: there are two regions at most.
func minDomains(s *settings.Settings, volume *settings.Volume) int {
	if s.Placement.FailureDomain == settings.DomainRegion {
		return min(volume.MinDomains, 2)
	}
	return volume.MinDomains
}
