// Package top sums up what many hosts show of themselves: who serves how much, which shard,
// node and limited volume is worst, and who does not answer. It reads through functions
// that its caller gives it and decides nothing.
package top

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"slices"
	"sync"
	"text/tabwriter"
	"time"

	"merlinhitch/internal/fleet/roll"
	"merlinhitch/policy"
)

// State is a host's /state page.
type State struct {
	Status struct {
		Sessions, Open int
		Memory         int64
		LimitHeld      uint64
		Figures        roll.Figures
	} `json:"status"`
	Module  policy.View `json:"module"`
	Version uint64      `json:"settings_version"`
	Serves  bool        `json:"serves"`
}

// Source is a host and how its state is read.
type Source struct {
	Name string
	Read func(ctx context.Context) (*State, error)
}

// Sample is one reading of all hosts.
type Sample struct {
	At    time.Duration // on a clock that only goes forward
	Hosts []Reading     // as the sources
}

// Reading is a host's state, or why there is none.
type Reading struct {
	State *State
	Err   error
}

// atOnce bounds the hosts that are asked at the same time.
const atOnce = 64

// Take reads all hosts, each within a time; those that do not answer keep no other waiting
// for longer than that.
func Take(ctx context.Context, sources []Source, within time.Duration, now func() time.Duration) Sample {
	s := Sample{At: now(), Hosts: make([]Reading, len(sources))}
	var all sync.WaitGroup
	room := make(chan struct{}, atOnce)
	for i, src := range sources {
		room <- struct{}{}
		all.Go(func() {
			defer func() { <-room }()
			ctx, cancel := context.WithTimeout(ctx, within)
			defer cancel()
			st, err := src.Read(ctx)
			s.Hosts[i] = Reading{st, err}
		})
	}
	all.Wait()
	return s
}

// Host is a line of the summary. Rates are a second, since the sample before.
type Host struct {
	Name    string  `json:"name"`
	Error   string  `json:"error,omitempty"` // of one that did not answer
	Serves  bool    `json:"serves"`
	Version uint64  `json:"settings_version"`
	Taken   float64 `json:"taken_per_s"`
	Served  float64 `json:"served_per_s"`
	InAim   float64 `json:"in_aim"` // part of what ended
	Refused float64 `json:"refused"`
	Failed  float64 `json:"failed"`
	Open    int     `json:"open"`
	// What holds it back most, in words; "" if nothing does.
	Worst string `json:"worst,omitempty"`
}

// Fleet is the summary of all hosts.
type Fleet struct {
	Hosts    []Host   `json:"hosts"` // those that do not answer first, then the worst
	Silent   int      `json:"silent"`
	Served   float64  `json:"served_per_s"`
	InAim    float64  `json:"in_aim"`
	Refused  float64  `json:"refused"`
	Versions []uint64 `json:"settings_versions"` // in force, each once
	// The shard with the longest wait, the node that most hosts hold off, and the limited
	// volume with the least left, over all hosts.
	Shard  string `json:"worst_shard,omitempty"`
	Node   string `json:"worst_node,omitempty"`
	Volume string `json:"worst_volume,omitempty"`
}

// Sum compares two samples of the same sources.
func Sum(sources []Source, before, after Sample) *Fleet {
	f := &Fleet{}
	seconds := max((after.At - before.At).Seconds(), 1e-3)
	var total roll.Figures
	for i, src := range sources {
		r := after.Hosts[i]
		if r.Err != nil || r.State == nil {
			f.Silent++
			f.Hosts = append(f.Hosts, Host{Name: src.Name, Error: fmt.Sprint(r.Err)})
			continue
		}
		d := r.State.Status.Figures
		if b := before.Hosts[i]; b.State != nil {
			d = d.Since(b.State.Status.Figures)
		}
		total = total.Add(d)
		h := Host{Name: src.Name, Serves: r.State.Serves, Version: r.State.Version, Taken: float64(d.Taken) / seconds, Served: float64(d.Served) / seconds,
			Open: r.State.Status.Open, Worst: worstOf(r.State)}
		h.InAim, h.Refused, h.Failed = parts(d)
		f.Hosts = append(f.Hosts, h)
		if !slices.Contains(f.Versions, h.Version) {
			f.Versions = append(f.Versions, h.Version)
		}
	}
	slices.Sort(f.Versions)
	f.Served = float64(total.Served) / seconds
	f.InAim, f.Refused, _ = parts(total)
	slices.SortStableFunc(f.Hosts, func(a, b Host) int {
		return cmp.Or(cmp.Compare(boolInt(b.Error != ""), boolInt(a.Error != "")), cmp.Compare(boolInt(a.Serves), boolInt(b.Serves)),
			cmp.Compare(b.Refused+b.Failed, a.Refused+a.Failed), cmp.Compare(a.Name, b.Name))
	})
	f.worst(after)
	return f
}

// parts of what ended.
func parts(d roll.Figures) (inAim, refused, failed float64) {
	ended := float64(d.Served + d.Refused + d.Failed)
	if ended == 0 {
		return 1, 0, 0
	}
	return float64(d.InAim) / ended, float64(d.Refused) / ended, float64(d.Failed) / ended
}

func boolInt(b bool) int {
	if b {
		return 1
	}
	return 0
}

// worstOf says what holds a host back most.
func worstOf(s *State) string {
	if !s.Serves {
		return "no lease"
	}
	for _, sh := range s.Module.Shards {
		if sh.Node == "" && sh.Waiting > 0 {
			return fmt.Sprintf("shard %d has no node, %d wait", sh.Shard, sh.Waiting)
		}
	}
	if b := s.Module.Budget; b >= 0 && b < 1 {
		return "the budget of repeats is spent"
	}
	most, worst := 0.0, ""
	for _, sh := range s.Module.Shards {
		if w := wait(sh); w > most && sh.Waiting > 0 {
			most, worst = w, fmt.Sprintf("shard %d: %d wait, %.0f ms", sh.Shard, sh.Waiting, w)
		}
	}
	return worst
}

// wait is that of the last in a shard's queue, ms.
func wait(sh policy.ShardView) float64 {
	return float64(sh.Waiting) * sh.Service / max(sh.Depth, 1)
}

func (f *Fleet) worst(s Sample) {
	waits, held, left := map[int]float64{}, map[string]int{}, map[string]float64{}
	for _, r := range s.Hosts {
		if r.State == nil {
			continue
		}
		for _, sh := range r.State.Module.Shards {
			waits[sh.Shard] = max(waits[sh.Shard], wait(sh))
		}
		for _, n := range r.State.Module.Nodes {
			if !n.Off && (n.Suspect || n.HeldFor > 0) {
				held[n.Addr]++
			}
		}
		for _, l := range r.State.Module.Limited {
			left[l.Volume] += l.Left
		}
	}
	if sh, w := extreme(waits, func(a, b float64) bool { return a > b }); w > 0 {
		f.Shard = fmt.Sprintf("%d: %.0f ms", sh, w)
	}
	if n, hosts := extreme(held, func(a, b int) bool { return a > b }); hosts > 0 {
		f.Node = fmt.Sprintf("%s: held off by %d hosts", n, hosts)
	}
	if v, units := extreme(left, func(a, b float64) bool { return a < b }); v != "" {
		f.Volume = fmt.Sprintf("%s: %.1f units left", v, units)
	}
}

// extreme is the entry that comes before all others; of equals the one with the least key.
func extreme[K cmp.Ordered, V any](m map[K]V, before func(a, b V) bool) (key K, value V) {
	first := true
	for k, v := range m {
		if first || before(v, value) || !before(value, v) && k < key {
			key, value, first = k, v, false
		}
	}
	return key, value
}

// Print writes the summary with so many hosts at the most; the rest are counted.
func (f *Fleet) Print(w io.Writer, most int) error {
	fmt.Fprintf(w, "%d hosts, %d silent; %.0f served a second, %.3f in aim, %.3f refused; settings %v\n", len(f.Hosts), f.Silent, f.Served, f.InAim, f.Refused, f.Versions)
	for _, x := range []struct{ what, text string }{{"worst shard", f.Shard}, {"worst node", f.Node}, {"least left of a limit", f.Volume}} {
		if x.text != "" {
			fmt.Fprintf(w, "%s %s\n", x.what, x.text)
		}
	}
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "HOST\tTAKEN/S\tSERVED/S\tIN AIM\tREFUSED\tFAILED\tOPEN\tSETTINGS\tHELD BACK BY")
	for _, h := range f.Hosts[:min(len(f.Hosts), most)] {
		if h.Error != "" {
			fmt.Fprintf(t, "%s\tsilent: %s\n", h.Name, h.Error)
			continue
		}
		fmt.Fprintf(t, "%s\t%.0f\t%.0f\t%.3f\t%.3f\t%.3f\t%d\t%d\t%s\n", h.Name, h.Taken, h.Served, h.InAim, h.Refused, h.Failed, h.Open, h.Version, h.Worst)
	}
	if err := t.Flush(); err != nil {
		return err
	}
	if n := len(f.Hosts) - most; n > 0 {
		fmt.Fprintf(w, "and %d more\n", n)
	}
	return nil
}
