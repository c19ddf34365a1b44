package plan

import (
	"fmt"
	"io"
	"text/tabwriter"

	"merlinhitch/internal/fleet/placement"
)

// LossCase is a state of the halls for which uses are worked out.
type LossCase struct {
	Name     string
	LostHall string // hall, or none
}

// LossCases are all halls up, then each lost.
func (pl *Plan) LossCases() []LossCase {
	out := []LossCase{{"all up", ""}}
	for _, h := range pl.Problem.Halls() {
		out = append(out, LossCase{h + " lost", h})
	}
	return out
}

// Utilization is each node's load over its capacity under a layout; -1 for nodes in a
// lost hall, and for load on a node without capacity.
func (pl *Plan) Utilization(l placement.Layout, lost string) []float64 {
	out := placement.Loads(pl.Problem, l, lost)
	for n, x := range out {
		node := &pl.Problem.Nodes[n]
		switch {
		case lost != "" && node.Hall == lost || node.Capacity == 0 && x > 0:
			out[n] = -1
		case node.Capacity > 0:
			out[n] = x / node.Capacity
		}
	}
	return out
}

// Report is a plan as a machine reads it.
type Report struct {
	Objective  placement.Objective `json:"objective"`
	Bound      placement.Objective `json:"bound"`
	Optimal    bool                `json:"optimal"`
	Gap        float64             `json:"gap"`
	LossGap    float64             `json:"loss_gap"`
	Before     placement.Objective `json:"before"`
	Violations []string            `json:"broken_before,omitempty"` // what the layout in force breaks
	Nodes      []NodeReport        `json:"nodes"`
	Volumes    []VolumeReport      `json:"volumes"`
	Steps      []StepReport        `json:"steps"`
	Blocked    []string            `json:"blocked,omitempty"` // volumes that no order of steps brings to their place
}

// NodeReport is one node before and after.
type NodeReport struct {
	Shard              int     `json:"shard"`
	Hall               string  `json:"hall"`
	Capacity           float64 `json:"capacity"`
	LoadBefore         float64 `json:"load_before"`
	LoadAfter          float64 `json:"load_after"`
	SpareAfter         float64 `json:"spare_after"`
	LoadAfterWorstLoss float64 `json:"load_after_worst_loss"`
	// TierShares is the part of After that each tier has.
	TierShares map[string]float64 `json:"tier_shares"`
}

// VolumeReport is where a volume goes.
type VolumeReport struct {
	Name   string        `json:"name"`
	Rate   float64       `json:"rate"`
	Pieces []PieceReport `json:"pieces"`
}

// PieceReport is a share of a volume on one shard.
type PieceReport struct {
	Shard int     `json:"shard"`
	Copy  int     `json:"copy"` // shard, -1: none
	Share float64 `json:"share"`
}

// StepReport is one step.
type StepReport struct {
	Volume string  `json:"volume"`
	From   int     `json:"from"`
	To     int     `json:"to"`
	Copy   int     `json:"copy"`
	Parts  int     `json:"parts"`
	Moved  float64 `json:"moved"`
}

// Report tells what a result means for the settings.
func (pl *Plan) Report(r *placement.Result, steps []placement.Step, blocked []string) *Report {
	p := pl.Problem
	out := &Report{Objective: r.Objective, Bound: r.Bound, Optimal: r.Optimal, Gap: r.Gap(), LossGap: r.LossGap(), Blocked: blocked}
	out.Before, out.Violations = placement.Check(p, pl.Current)
	before, after := placement.Loads(p, pl.Current, ""), placement.Loads(p, r.Layout, "")
	for n := range p.Nodes {
		nr := NodeReport{Shard: pl.shard(n), Hall: p.Nodes[n].Hall, Capacity: p.Nodes[n].Capacity, LoadBefore: before[n], LoadAfter: after[n],
			SpareAfter: p.Nodes[n].Capacity - after[n], LoadAfterWorstLoss: after[n], TierShares: map[string]float64{}}
		out.Nodes = append(out.Nodes, nr)
	}
	for _, c := range pl.LossCases()[1:] {
		for n, x := range placement.Loads(p, r.Layout, c.LostHall) {
			if p.Nodes[n].Hall != c.LostHall {
				out.Nodes[n].LoadAfterWorstLoss = max(out.Nodes[n].LoadAfterWorstLoss, x)
			}
		}
	}
	for v := range r.Layout {
		vol := &p.Volumes[v]
		vr := VolumeReport{Name: vol.Name, Rate: vol.Rate}
		for _, pc := range r.Layout[v] {
			share := float64(pc.Parts) / float64(p.Parts)
			vr.Pieces = append(vr.Pieces, PieceReport{pl.shard(pc.Node), pl.shard(pc.Copy), share})
			tier := p.Tiers[vol.Tier].Name
			out.addTierShare(pc.Node, tier, vol.Rate*share)
			if pc.Copy >= 0 {
				out.addTierShare(pc.Copy, tier, vol.Rate*share*vol.WriteFraction)
			}
		}
		out.Volumes = append(out.Volumes, vr)
	}
	for _, st := range steps {
		out.Steps = append(out.Steps, StepReport{p.Volumes[st.Volume].Name, pl.shard(st.From.Node), pl.shard(st.To.Node), pl.shard(st.To.Copy), st.To.Parts, st.Moved})
	}
	return out
}

func (r *Report) addTierShare(n int, tier string, load float64) {
	if r.Nodes[n].LoadAfter > 0 {
		r.Nodes[n].TierShares[tier] += load / r.Nodes[n].LoadAfter
	}
}

func (pl *Plan) shard(node int) int {
	if node < 0 {
		return -1
	}
	return pl.Settings.Nodes[node].Shard
}

// Print writes a report as a table for people.
func (r *Report) Print(w io.Writer) error {
	tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(tw, "shard\thall\tcapacity\tload before\tafter\tspare\tafter worst loss\t")
	for _, n := range r.Nodes {
		fmt.Fprintf(tw, "%d\t%s\t%.1f\t%.1f\t%.1f\t%.1f\t%.1f\t\n", n.Shard, n.Hall, n.Capacity, n.LoadBefore, n.LoadAfter, n.SpareAfter, n.LoadAfterWorstLoss)
	}
	if err := tw.Flush(); err != nil {
		return err
	}
	fmt.Fprintf(w, "\nhighest use %.3f (before %.3f), after the worst loss %.3f (before %.3f)\n", r.Objective.Use, r.Before.Use, r.Objective.LossUse, r.Before.LossUse)
	if r.Optimal {
		fmt.Fprintln(w, "proved: no layout is better")
	} else {
		fmt.Fprintf(w, "at most %.2f%% above the best possible use, %.1f%% above that after a loss\n", 100*r.Gap, 100*r.LossGap)
	}
	for i, b := range r.Violations {
		if i == 5 {
			fmt.Fprintf(w, "the layout in force breaks %d more\n", len(r.Violations)-i)
			break
		}
		fmt.Fprintln(w, "the layout in force breaks:", b)
	}
	moved := 0.0
	for _, s := range r.Steps {
		moved += s.Moved
	}
	fmt.Fprintf(w, "%d steps move %.1f units a second\n", len(r.Steps), moved)
	if len(r.Blocked) > 0 {
		fmt.Fprintf(w, "no order of steps within capacity brings %d volumes to their place, first %s\n", len(r.Blocked), r.Blocked[0])
	}
	return nil
}
