package plan

import (
	"fmt"
	"io"
	"text/tabwriter"

	"merlinhitch/internal/fleet/placement"
)

// LossCase is a state of the halls: all up or one lost.
type LossCase struct {
	Name     string
	LostHall string // hall, or "" for none
}

// LossCases returns the case without a loss, then the loss of each hall.
func (pl *Plan) LossCases() []LossCase {
	out := []LossCase{{"all up", ""}}
	for _, hall := range pl.Problem.Halls() {
		out = append(out, LossCase{hall + " lost", hall})
	}
	return out
}

// Utilization returns the load of each node divided by its capacity. It is -1 for nodes in lostHall
// and for nodes that have load but no capacity.
func (pl *Plan) Utilization(layout placement.Layout, lostHall string) []float64 {
	utilization := placement.Loads(pl.Problem, layout, lostHall)
	for n, load := range utilization {
		node := &pl.Problem.Nodes[n]
		switch {
		case lostHall != "" && node.Hall == lostHall || node.Capacity == 0 && load > 0:
			utilization[n] = -1
		case node.Capacity > 0:
			utilization[n] = load / node.Capacity
		}
	}
	return utilization
}

// Report describes a plan; it is encoded as JSON.
type Report struct {
	Objective  placement.Objective `json:"objective"`
	Bound      placement.Objective `json:"bound"`
	Optimal    bool                `json:"optimal"`
	Gap        float64             `json:"gap"`
	LossGap    float64             `json:"loss_gap"`
	Before     placement.Objective `json:"before"`
	Violations []string            `json:"broken_before,omitempty"` // by the layout in force
	Nodes      []NodeReport        `json:"nodes"`
	Volumes    []VolumeReport      `json:"volumes"`
	Steps      []StepReport        `json:"steps"`
	Blocked    []string            `json:"blocked,omitempty"` // volumes for which no sequence of steps to the target was found
}

// NodeReport describes a node before and after the migration. Loads are in units/s.
type NodeReport struct {
	Shard              int     `json:"shard"`
	Hall               string  `json:"hall"`
	Capacity           float64 `json:"capacity"`
	LoadBefore         float64 `json:"load_before"`
	LoadAfter          float64 `json:"load_after"`
	SpareAfter         float64 `json:"spare_after"`
	LoadAfterWorstLoss float64 `json:"load_after_worst_loss"`
	// TierShares holds the fraction of LoadAfter of each tier, by name.
	TierShares map[string]float64 `json:"tier_shares"`
}

// VolumeReport describes the target placement of a volume.
type VolumeReport struct {
	Name   string        `json:"name"`
	Rate   float64       `json:"rate"`
	Pieces []PieceReport `json:"pieces"`
}

// PieceReport is the fraction of a volume on one shard.
type PieceReport struct {
	Shard int     `json:"shard"`
	Copy  int     `json:"copy"` // shard of the copy, -1: none
	Share float64 `json:"share"`
}

// StepReport is one step of the migration.
type StepReport struct {
	Volume string  `json:"volume"`
	From   int     `json:"from"`
	To     int     `json:"to"`
	Copy   int     `json:"copy"` // target shard of the copy, -1: none
	Parts  int     `json:"parts"`
	Moved  float64 `json:"moved"` // units/s
}

// Report returns the report of a solver result. blocked names the volumes that steps do not bring to
// the target.
func (pl *Plan) Report(result *placement.Result, steps []placement.Step, blocked []string) *Report {
	problem := pl.Problem
	report := &Report{Objective: result.Objective, Bound: result.Bound, Optimal: result.Optimal, Gap: result.Gap(), LossGap: result.LossGap(), Blocked: blocked}
	report.Before, report.Violations = placement.Check(problem, pl.Current)
	before, after := placement.Loads(problem, pl.Current, ""), placement.Loads(problem, result.Layout, "")
	for n := range problem.Nodes {
		nodeReport := NodeReport{Shard: pl.shard(n), Hall: problem.Nodes[n].Hall, Capacity: problem.Nodes[n].Capacity, LoadBefore: before[n], LoadAfter: after[n],
			SpareAfter: problem.Nodes[n].Capacity - after[n], LoadAfterWorstLoss: after[n], TierShares: map[string]float64{}}
		report.Nodes = append(report.Nodes, nodeReport)
	}
	for _, lossCase := range pl.LossCases()[1:] {
		for n, load := range placement.Loads(problem, result.Layout, lossCase.LostHall) {
			if problem.Nodes[n].Hall != lossCase.LostHall {
				report.Nodes[n].LoadAfterWorstLoss = max(report.Nodes[n].LoadAfterWorstLoss, load)
			}
		}
	}
	for v := range result.Layout {
		volume := &problem.Volumes[v]
		volumeReport := VolumeReport{Name: volume.Name, Rate: volume.Rate}
		for _, piece := range result.Layout[v] {
			share := float64(piece.Parts) / float64(problem.Parts)
			volumeReport.Pieces = append(volumeReport.Pieces, PieceReport{pl.shard(piece.Node), pl.shard(piece.Copy), share})
			tier := problem.Tiers[volume.Tier].Name
			report.addTierShare(piece.Node, tier, volume.Rate*share)
			if piece.Copy >= 0 {
				report.addTierShare(piece.Copy, tier, volume.Rate*share*volume.WriteFraction)
			}
		}
		report.Volumes = append(report.Volumes, volumeReport)
	}
	for _, step := range steps {
		report.Steps = append(report.Steps, StepReport{problem.Volumes[step.Volume].Name, pl.shard(step.From.Node), pl.shard(step.To.Node), pl.shard(step.To.Copy), step.To.Parts, step.Moved})
	}
	return report
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

// Print writes the report as text for operators.
func (r *Report) Print(w io.Writer) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(table, "shard\thall\tcapacity\tload before\tafter\tspare\tafter worst loss\t")
	for _, n := range r.Nodes {
		fmt.Fprintf(table, "%d\t%s\t%.1f\t%.1f\t%.1f\t%.1f\t%.1f\t\n", n.Shard, n.Hall, n.Capacity, n.LoadBefore, n.LoadAfter, n.SpareAfter, n.LoadAfterWorstLoss)
	}
	if err := table.Flush(); err != nil {
		return err
	}
	fmt.Fprintf(w, "\nmax utilization %.3f (before %.3f), after the worst loss %.3f (before %.3f)\n", r.Objective.Use, r.Before.Use, r.Objective.LossUse, r.Before.LossUse)
	if r.Optimal {
		fmt.Fprintln(w, "proved optimal")
	} else {
		fmt.Fprintf(w, "at most %.2f%% above the optimal maximum utilization, %.1f%% above that after a loss\n", 100*r.Gap, 100*r.LossGap)
	}
	for i, violation := range r.Violations {
		if i == 5 {
			fmt.Fprintf(w, "and %d more violations by the layout in force\n", len(r.Violations)-i)
			break
		}
		fmt.Fprintln(w, "violation by the layout in force:", violation)
	}
	moved := 0.0
	for _, s := range r.Steps {
		moved += s.Moved
	}
	fmt.Fprintf(w, "%d steps move %.1f units/s\n", len(r.Steps), moved)
	if len(r.Blocked) > 0 {
		fmt.Fprintf(w, "no feasible sequence of steps found for %d volumes, first %s\n", len(r.Blocked), r.Blocked[0])
	}
	return nil
}
