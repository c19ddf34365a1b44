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
func From(s *settings.Settings, opt Options) (*Plan, error) {
	if len(s.Nodes) == 0 {
		return nil, &Error{"nodes", "is empty: a layout needs each shard's hall and capacity"}
	}
	set := s.Placement
	if set == (settings.Placement{}) {
		set = settings.DefaultPlacement
	}
	parts := set.Parts
	for i := range s.Volumes {
		parts = lcm(parts, len(s.Volumes[i].Layout))
		if parts > maxParts {
			return nil, &Error{fmt.Sprintf("volumes[%d].layout", i), fmt.Sprintf("with %d entries there is no common number of parts up to %d", len(s.Volumes[i].Layout), maxParts)}
		}
	}
	pl := &Plan{Settings: s, Problem: &placement.Problem{Parts: parts, SurviveHallLoss: set.SurviveLoss && len(opt.LostHalls) == 0}, nodeOfShard: map[int]int{}}
	for i, n := range s.Nodes {
		pl.nodeOfShard[n.Shard] = i
		node := placement.Node{Name: fmt.Sprintf("shard %d", n.Shard), Hall: s.DomainOf(&n), Capacity: n.Capacity, Cost: n.Cost, Draining: n.Draining}
		if slices.Contains(opt.LostHalls, node.Hall) {
			node.Capacity = 0
		}
		pl.Problem.Nodes = append(pl.Problem.Nodes, node)
	}
	pl.addTiers()
	pl.addVolumes(opt, set.Margin)
	pl.Problem.Current = pl.Current
	return pl, pl.Problem.Validate()
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
	for _, p := range pl.Settings.Plans {
		pl.Problem.Tiers = append(pl.Problem.Tiers, placement.Tier{Name: p.Name, Value: p.Weight, Reserve: 1})
	}
}

func (pl *Plan) addVolumes(opt Options, margin float64) {
	s := pl.Settings
	measured := map[string]rates.Rate{}
	for _, r := range opt.Measured {
		measured[r.Volume] = r
	}
	for i := range s.Volumes {
		v := &s.Volumes[i]
		cut := pl.layoutSlots(v, pl.Problem.Parts)
		now := groupPieces(cut)
		out := placement.Volume{Name: v.Name, Rate: s.RateOf(v), WriteFraction: v.WriteFraction, MaxNodes: v.MaxNodes, MinHalls: minDomains(s, v), Copies: max(v.Copies, 1),
			Tier: slices.IndexFunc(s.Plans, func(p settings.Plan) bool { return p.Name == v.Plan })}
		if out.MaxNodes == 0 {
			out.MaxNodes = max(len(now), 1)
		}
		if opt.Measured != nil {
			r := measured[v.Name]
			out.Rate, out.WriteFraction = r.Mean+margin*r.StdDev, min(max(r.WriteFraction, 0), 1)
		}
		for _, sh := range v.PinnedShards {
			out.PinnedNodes = append(out.PinnedNodes, pl.nodeOfShard[sh])
		}
		for _, sh := range v.ExcludedShards {
			out.ExcludedNodes = append(out.ExcludedNodes, pl.nodeOfShard[sh])
		}
		for n, node := range s.Nodes {
			if slices.Contains(opt.LostHalls, node.Hall) && !slices.Contains(out.ExcludedNodes, n) {
				out.ExcludedNodes = append(out.ExcludedNodes, n)
			}
		}
		out.PinnedNodes = slices.DeleteFunc(out.PinnedNodes, func(n int) bool { return slices.Contains(out.ExcludedNodes, n) })
		pl.Problem.Volumes = append(pl.Problem.Volumes, out)
		pl.slots = append(pl.slots, cut)
		pl.Current = append(pl.Current, now)
	}
}

// layoutSlots deals a volume's layout out over that many parts.
func (pl *Plan) layoutSlots(v *settings.Volume, parts int) slots {
	c := slots{make([]int, parts), make([]int, parts)}
	for i := range parts {
		c.data[i], c.copy[i] = pl.nodeOfShard[v.Layout[i%len(v.Layout)]], -1
		if len(v.CopyLayout) > 0 {
			c.copy[i] = pl.nodeOfShard[v.CopyLayout[i%len(v.CopyLayout)]]
		}
	}
	return c
}

// groupPieces gathers parts by node and copy, in the order of the nodes.
func groupPieces(c slots) (out []placement.Piece) {
	for i := range c.data {
		k := slices.IndexFunc(out, func(p placement.Piece) bool { return p.Node == c.data[i] && p.Copy == c.copy[i] })
		if k < 0 {
			k = len(out)
			out = append(out, placement.Piece{Node: c.data[i], Copy: c.copy[i]})
		}
		out[k].Parts++
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
func (pl *Plan) ApplyStep(st placement.Step) (*settings.Settings, error) {
	c, left := pl.slots[st.Volume], st.To.Parts
	for i := range c.data {
		if left > 0 && c.data[i] == st.From.Node && c.copy[i] == st.From.Copy {
			c.data[i], c.copy[i] = st.To.Node, st.To.Copy
			left--
		}
	}
	if left > 0 {
		return nil, &Error{"volumes." + pl.Problem.Volumes[st.Volume].Name, "the step does not begin where the layout stands"}
	}
	pl.Current[st.Volume] = groupPieces(c)
	next := *pl.Settings
	next.Volumes = slices.Clone(next.Volumes)
	pl.setLayout(&next.Volumes[st.Volume], c)
	pl.Settings = &next
	return &next, nil
}

// WithLayout returns the settings with a layout put in at once; for services that hold
// no data yet, and for comparisons.
func (pl *Plan) WithLayout(to placement.Layout) (*settings.Settings, error) {
	next := *pl.Settings
	next.Volumes = slices.Clone(next.Volumes)
	for v := range to {
		var c slots
		for _, pc := range to[v] {
			for range pc.Parts {
				c.data, c.copy = append(c.data, pc.Node), append(c.copy, pc.Copy)
			}
		}
		if len(c.data) != pl.Problem.Parts {
			return nil, &Error{"volumes." + pl.Problem.Volumes[v].Name, fmt.Sprintf("%d parts of %d have a place", len(c.data), pl.Problem.Parts)}
		}
		pl.setLayout(&next.Volumes[v], interleave(c))
	}
	return &next, next.Check()
}

// interleave spreads the parts of each piece evenly over the slots, so that neighbouring
// extents, which are often busy together, lie apart.
func interleave(c slots) slots {
	n := len(c.data)
	out := slots{make([]int, n), make([]int, n)}
	stride := 1
	for s := n/2 + 1; s < n; s++ { // the nearest step above a half that meets every slot
		if lcm(s, n) == s*n {
			stride = s
			break
		}
	}
	for i := range n {
		out.data[i*stride%n], out.copy[i*stride%n] = c.data[i], c.copy[i]
	}
	return out
}

// setLayout writes parts into a volume.
func (pl *Plan) setLayout(v *settings.Volume, c slots) {
	v.Layout, v.CopyLayout = make([]int, len(c.data)), nil
	for i, n := range c.data {
		v.Layout[i] = pl.Settings.Nodes[n].Shard
		if c.copy[i] >= 0 {
			v.CopyLayout = append(v.CopyLayout, pl.Settings.Nodes[c.copy[i]].Shard)
		}
	}
	if len(v.CopyLayout) != len(v.Layout) {
		v.CopyLayout = nil
	}
}

// FailOver returns the settings with what lies in a hall served from its copies,
// and the names of volumes parts of which have none elsewhere.
func FailOver(s *settings.Settings, hall string) (*settings.Settings, []string) {
	in := map[int]bool{}
	for _, n := range s.Nodes {
		in[n.Shard] = s.DomainOf(&n) == hall
	}
	next := *s
	next.Volumes = slices.Clone(s.Volumes)
	var stranded []string
	for i := range next.Volumes {
		v := &next.Volumes[i]
		lay, lost := slices.Clone(v.Layout), false
		for k, sh := range lay {
			switch {
			case !in[sh]:
			case len(v.CopyLayout) == len(lay) && !in[v.CopyLayout[k]]:
				lay[k] = v.CopyLayout[k]
			default:
				lost = true
			}
		}
		if v.Layout = lay; lost {
			stranded = append(stranded, v.Name)
		}
	}
	return &next, stranded
}

// minDomains is how many domains a volume must lie in: there are two regions at most.
func minDomains(s *settings.Settings, v *settings.Volume) int {
	if s.Placement.FailureDomain == settings.DomainRegion {
		return min(v.MinDomains, 2)
	}
	return v.MinDomains
}
