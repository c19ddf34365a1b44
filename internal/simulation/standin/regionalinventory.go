package standin

import (
	"fmt"
	"time"

	"merlinhitch/internal/fleet/region"
	"merlinhitch/internal/protocol/inventory"
	"merlinhitch/internal/runtime/env"
)

// regionalState is what an inventory of one of two regions has beside its list: the shell of
// region.Source. The other region's inventory is told and asked by beats.
type regionalState struct {
	source       *region.Source
	self         region.ID
	peerAddress  func() string
	beatInterval time.Duration
	granting     bool // as watchers last knew
	history      []inventory.Event
	historyAt    []float64 // of history
	lastRecord   region.Record
	saved        *InventoryState
}

// InventoryState is what an inventory keeps through its own restarts. A copy of it that was put
// by is an old list to come back with.
type InventoryState struct {
	Record region.Record
	Book   *inventory.Book
	Starts uint64
}

// Clone is a copy that shares nothing.
func (s *InventoryState) Clone() *InventoryState {
	return &InventoryState{Record: s.Record.Clone(), Book: s.Book.Clone(), Starts: s.Starts}
}

const maxHistory = 64

// ServeRegion starts the inventory of one of two regions; other is the address of the
// other's. start is greater than that of every earlier run; in saved is what an earlier
// one kept, or a new service's record and no book.
func ServeRegion(w env.Environment, addr string, late float64, cfg region.Config, self region.ID, start uint64, saved *InventoryState, other func() string) (*Inventory, error) {
	l, err := w.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	now := env.MS(w.Now())
	g := &regionalState{self: self, peerAddress: other, beatInterval: env.Duration(cfg.Quiet / 10), saved: saved, lastRecord: saved.Record.Clone()}
	v := &Inventory{Addr: l.Addr().String(), environment: w, delay: late, listener: l, regional: g}
	if saved.Book == nil {
		v.book = inventory.NewBook()
		g.source = region.NewSource(cfg, self, start, saved.Record, now)
	} else {
		v.book = saved.Book.Clone()
		g.source = region.Restart(cfg, self, start, saved.Record, now)
	}
	v.book.Own(self, start)
	v.tasks.Go(w, v.accept)
	v.tasks.Go(w, v.beatLoop)
	return v, nil
}

// beatLoop tells the other region's inventory of this one, and hears of it.
func (v *Inventory) beatLoop() {
	g := v.regional
	c := inventory.NewCaller(v.environment, g.peerAddress)
	defer c.Close()
	for env.Sleep(v.environment, g.beatInterval, &v.stopped) {
		v.mu.Lock()
		now := v.now()
		g.source.Tick(now)
		v.saveState(now)
		b := g.source.Beat(now)
		known := v.book.Stamps()
		v.mu.Unlock()
		l, err := c.Ask(inventory.Ask{Op: "beat", Beat: &b, Known: known}, 3*g.beatInterval)
		if err != nil || l.Kind != inventory.Heard {
			continue
		}
		v.mu.Lock()
		v.handleBeat(l.Beat, l.Nodes)
		v.book.CaughtUp()
		v.mu.Unlock()
	}
}

func (v *Inventory) now() float64 { return env.MS(v.environment.Now()) }

// handleBeat takes the other's beat with what it lists. Held: mu.
func (v *Inventory) handleBeat(b *region.Beat, nodes []inventory.Node) {
	now := v.now()
	v.book.Merge(nodes, now)
	v.regional.source.Heard(now, *b)
	v.saveState(now)
	v.notifyWatchers()
}

// saveState saves the record and notes what became of it; watchers hear what was held back
// while nothing could be granted. Held: mu.
func (v *Inventory) saveState(now float64) {
	g := v.regional
	r := g.source.Record()
	if r.Term != g.lastRecord.Term {
		for _, text := range describeChanges(g.lastRecord, r) {
			g.history, g.historyAt = append(g.history, inventory.Event{Term: r.Term, Text: text}), append(g.historyAt, now)
		}
		n := max(len(g.history)-maxHistory, 0)
		g.history, g.historyAt = g.history[n:], g.historyAt[n:]
		g.lastRecord = r
	}
	g.saved.Record, g.saved.Book = r, v.book
	if on := g.source.Grants(now); on != g.granting {
		if g.granting = on; on {
			v.notifyWatchers()
		}
	}
}

// describeChanges says what a new term changes, and why.
func describeChanges(a, b region.Record) (out []string) {
	say := func(format string, args ...any) { out = append(out, fmt.Sprintf(format, args...)) }
	if a.Leader != b.Leader {
		say("region %d leads, on an operator's word", b.Leader)
	}
	for i, h := range b.Homes {
		switch o := a.Homes[i]; {
		case h.Region == region.Nowhere && o.Region != h.Region:
			say("shard %d leaves region %d: every lease on it runs out first", i, h.From)
		case h.Region != o.Region && h.From != o.From && h.Alone:
			say("shard %d is at home in region %d under generation %s, alone: the other region is lost", i, h.Region, region.TermText(h.Gen))
		case h.Region != o.Region && h.From != o.From:
			say("shard %d is at home in region %d under generation %s: moved, with all that its copy had", i, h.Region, region.TermText(h.Gen))
		case h.Region != o.Region:
			say("shard %d is at home in region %d again under generation %s", i, h.Region, region.TermText(h.Gen))
		case h.Alone && !o.Alone:
			say("shard %d answers alone under generation %s: its copy can't be reached", i, region.TermText(h.Gen))
		case h.Leaving && !o.Leaving:
			say("shard %d is to answer alone once the other region knows", i)
		case !h.Alone && o.Alone:
			say("shard %d: its copy has everything again", i)
		}
	}
	shares := 0
	for i := range b.Shares {
		if a.Shares[i] != b.Shares[i] {
			shares++
		}
	}
	if shares > 0 {
		say("%d limits are split anew", shares)
	}
	return out
}

// handleRequest is what is said to anything but a watch. Held: mu.
func (v *Inventory) handleRequest(a *inventory.Ask) inventory.List {
	if v.regional == nil {
		return inventory.List{Kind: inventory.Refused, Reason: "this service has one region"}
	}
	now, src := v.now(), v.regional.source
	defer v.saveState(now)
	src.Tick(now)
	if leads := src.Leads(); !leads && (a.Op == "move" || a.Op == "return" || a.Op == "share" || a.Op == "give up") {
		return inventory.List{Kind: inventory.Refused, Reason: fmt.Sprintf("region %d leads: ask its inventory", src.Record().Leader)}
	}
	rec := src.Record()
	switch {
	case a.Op == "lease":
		g, ok := src.Grant(now, a.Ask, a.From)
		if !ok {
			reason := "the other region has not been heard of for too long"
			if !src.Sure(now) {
				reason = "this source came back, or something knows more than it: it waits for the other region's, or an operator's word"
			}
			return inventory.List{Kind: inventory.Refused, Reason: reason}
		}
		return inventory.List{Kind: inventory.Granted, Grant: &g}
	case a.Op == "beat":
		v.handleBeat(a.Beat, nil)
		b := src.Beat(now)
		return inventory.List{Kind: inventory.Heard, Beat: &b, Nodes: v.book.Since(a.Known, now)}
	case a.Op == "copies":
		for _, c := range a.Copies {
			src.Report(now, c)
		}
	case a.Op == "record":
		return v.recordReply(now, v.status(now))
	case a.Op == "lead":
		src.Lead(now)
	case a.Op == "return":
		src.Return(now)
	case a.Op == "give up":
		src.GiveUp(now)
	case a.Op == "move" && a.Shard >= 0 && a.Shard < len(rec.Homes):
		src.Move(now, a.Shard, a.To)
	case a.Op == "share" && a.Shard >= 0 && a.Shard < len(rec.Shares) && a.Parts[0] >= 0 && a.Parts[1] >= 0 && a.Parts[0]+a.Parts[1] <= 1:
		src.Share(now, a.Shard, a.Parts)
	default:
		return inventory.List{Kind: inventory.Refused, Reason: "there is no such thing to ask for, or no such shard or limit"}
	}
	return v.recordReply(now, nil)
}

func (v *Inventory) recordReply(now float64, s *inventory.Status) inventory.List {
	r := v.regional.source.Record()
	return inventory.List{Kind: inventory.Told, Record: &r, Status: s}
}

func (v *Inventory) status(now float64) *inventory.Status {
	g := v.regional
	s := &inventory.Status{Region: g.self, Grants: g.source.Grants(now), HeardMS: now - g.source.Contact()}
	for i, e := range g.history {
		e.AgoMS = now - g.historyAt[i]
		s.History = append(s.History, e)
	}
	return s
}

// State is a copy of what the inventory keeps.
func (v *Inventory) State() *InventoryState {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.regional.saved.Clone()
}
