package standin

import (
	"fmt"
	"time"

	"merlinhitch/internal/fleet/region"
	"merlinhitch/internal/protocol/inventory"
	"merlinhitch/internal/runtime/env"
)

// regionalState is the part of an inventory that serves one of two regions: it runs a region.Source
// and exchanges beats with the inventory of the other region.
type regionalState struct {
	source       *region.Source
	self         region.ID
	peerAddress  func() string // of the other region's inventory
	beatInterval time.Duration
	granting     bool              // whether the source granted leases when last checked
	history      []inventory.Event // oldest first
	historyAt    []float64         // time of each event of history, ms
	lastRecord   region.Record     // whose changes are in history
	saved        *InventoryState
}

// InventoryState is the state that an inventory keeps across restarts. Tests restore an older copy
// to restart an inventory with stale state.
type InventoryState struct {
	Record region.Record
	Book   *inventory.Book
	Starts uint64
}

// Clone returns a deep copy.
func (s *InventoryState) Clone() *InventoryState {
	return &InventoryState{Record: s.Record.Clone(), Book: s.Book.Clone(), Starts: s.Starts}
}

const maxHistory = 64 // events

// ServeRegion starts the inventory of one of two regions. Changes are published after delay ms.
// start must be greater than in every earlier run. saved is the state of an earlier run, or the
// record of a new service and a nil Book; it is updated as the inventory runs.
func ServeRegion(environment env.Environment, addr string, delay float64, cfg region.Config, self region.ID, start uint64, saved *InventoryState, peerAddress func() string) (*Inventory, error) {
	listener, err := environment.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	now := env.MS(environment.Now())
	state := &regionalState{self: self, peerAddress: peerAddress, beatInterval: env.Duration(cfg.Quiet / beatsPerQuiet), saved: saved, lastRecord: saved.Record.Clone()}
	server := &Inventory{Addr: listener.Addr().String(), environment: environment, delay: delay, listener: listener, regional: state}
	if saved.Book == nil {
		server.book = inventory.NewBook()
		state.source = region.NewSource(cfg, self, start, saved.Record, now)
	} else {
		server.book = saved.Book.Clone()
		state.source = region.Restart(cfg, self, start, saved.Record, now)
	}
	server.book.Own(self, start)
	server.tasks.Go(environment, server.accept)
	server.tasks.Go(environment, server.beatLoop)
	return server, nil
}

// beatsPerQuiet is the number of beats that an inventory sends within region.Config.Quiet. An echo may come
// for as long, so as many may be unanswered.
const beatsPerQuiet = 10

// beatLoop exchanges beats and node lists with the other region's inventory.
func (v *Inventory) beatLoop() {
	state := v.regional
	callers := inventory.NewCallerPool(v.environment, state.peerAddress, beatsPerQuiet+1)
	defer callers.Close()
	for env.Sleep(v.environment, state.beatInterval, &v.stopped) {
		v.mu.Lock()
		now := v.now()
		state.source.Tick(now)
		v.saveState(now)
		beat := state.source.Beat(now)
		known := v.book.Stamps()
		v.mu.Unlock()
		callers.Ask(inventory.Ask{Op: "beat", Beat: &beat, Known: known}, beatsPerQuiet*state.beatInterval, v.handleBeatReply)
	}
}

func (v *Inventory) handleBeatReply(reply inventory.List, err error) {
	if err != nil || reply.Kind != inventory.Heard {
		return
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	v.handleBeat(reply.Beat, reply.Nodes)
	v.book.CaughtUp()
}

func (v *Inventory) now() float64 { return env.MS(v.environment.Now()) }

// handleBeat applies a beat of the other region's inventory and the nodes it lists. The caller holds
// mu.
func (v *Inventory) handleBeat(beat *region.Beat, nodes []inventory.Node) {
	now := v.now()
	v.book.Merge(nodes, now)
	v.regional.source.Heard(now, *beat)
	v.saveState(now)
	v.notifyWatchers()
}

// saveState saves the record and the list and adds changes of the record to the history. If the
// source can grant leases again, it sends watchers the changes that were held back. The caller holds
// mu.
func (v *Inventory) saveState(now float64) {
	state := v.regional
	record := state.source.Record()
	if record.Term != state.lastRecord.Term {
		for _, text := range describeChanges(state.lastRecord, record) {
			state.history, state.historyAt = append(state.history, inventory.Event{Term: record.Term, Text: text}), append(state.historyAt, now)
		}
		dropped := max(len(state.history)-maxHistory, 0)
		state.history, state.historyAt = state.history[dropped:], state.historyAt[dropped:]
		state.lastRecord = record
	}
	state.saved.Record, state.saved.Book = record, v.book
	if grants := state.source.Grants(now); grants != state.granting {
		if state.granting = grants; grants {
			v.notifyWatchers()
		}
	}
}

// describeChanges returns a text for each change from one record to another.
func describeChanges(before, after region.Record) (texts []string) {
	add := func(format string, args ...any) { texts = append(texts, fmt.Sprintf(format, args...)) }
	if before.Leader != after.Leader {
		add("region %d leads, on an operator's word", after.Leader)
	}
	for i, home := range after.Homes {
		switch previous := before.Homes[i]; {
		case home.Region == region.Nowhere && previous.Region != home.Region:
			add("shard %d leaves region %d: every lease on it runs out first", i, home.From)
		case home.Region != previous.Region && home.From != previous.From && home.Alone:
			add("shard %d is at home in region %d under generation %s, alone: the other region is lost", i, home.Region, region.TermText(home.Gen))
		case home.Region != previous.Region && home.From != previous.From:
			add("shard %d is at home in region %d under generation %s: moved, with all that its copy had", i, home.Region, region.TermText(home.Gen))
		case home.Region != previous.Region:
			add("shard %d is at home in region %d again under generation %s", i, home.Region, region.TermText(home.Gen))
		case home.Alone && !previous.Alone:
			add("shard %d answers alone under generation %s: its copy can't be reached", i, region.TermText(home.Gen))
		case home.Leaving && !previous.Leaving:
			add("shard %d is to answer alone once the other region knows", i)
		case !home.Alone && previous.Alone:
			add("shard %d: its copy has everything again", i)
		}
	}
	shares := 0
	for i := range after.Shares {
		if before.Shares[i] != after.Shares[i] {
			shares++
		}
	}
	if shares > 0 {
		add("%d limits are split anew", shares)
	}
	return texts
}

// handleRequest answers every request other than watch and fetch. The caller holds mu.
func (v *Inventory) handleRequest(request *inventory.Ask) inventory.List {
	if v.regional == nil {
		return inventory.List{Kind: inventory.Refused, Reason: "this service has one region"}
	}
	now, source := v.now(), v.regional.source
	defer v.saveState(now)
	source.Tick(now)
	if leads := source.Leads(); !leads && (request.Op == "move" || request.Op == "return" || request.Op == "share" || request.Op == "give up") {
		return inventory.List{Kind: inventory.Refused, Reason: fmt.Sprintf("region %d leads: ask its inventory", source.Record().Leader)}
	}
	record := source.Record()
	switch {
	case request.Op == "lease":
		grant, ok := source.Grant(now, request.Ask, request.From)
		if !ok {
			reason := "the other region has not been heard of for too long"
			if !source.Sure(now) {
				reason = "this source came back, or something knows more than it: it waits for the other region's, or an operator's word"
			}
			return inventory.List{Kind: inventory.Refused, Reason: reason}
		}
		return inventory.List{Kind: inventory.Granted, Grant: &grant}
	case request.Op == "beat":
		v.handleBeat(request.Beat, nil)
		beat := source.Beat(now)
		return inventory.List{Kind: inventory.Heard, Beat: &beat, Nodes: v.book.Since(request.Known, now)}
	case request.Op == "copies":
		for _, status := range request.Copies {
			source.Report(now, status)
		}
	case request.Op == "record":
		return v.recordReply(now, v.status(now))
	case request.Op == "lead":
		source.Lead(now)
	case request.Op == "return":
		source.Return(now)
	case request.Op == "give up":
		source.GiveUp(now)
	case request.Op == "move" && request.Shard >= 0 && request.Shard < len(record.Homes):
		source.Move(now, request.Shard, request.To)
	case request.Op == "share" && request.Shard >= 0 && request.Shard < len(record.Shares) && request.Parts[0] >= 0 && request.Parts[1] >= 0 && request.Parts[0]+request.Parts[1] <= 1:
		source.Share(now, request.Shard, request.Parts)
	default:
		return inventory.List{Kind: inventory.Refused, Reason: "there is no such thing to ask for, or no such shard or limit"}
	}
	return v.recordReply(now, nil)
}

func (v *Inventory) recordReply(now float64, status *inventory.Status) inventory.List {
	record := v.regional.source.Record()
	return inventory.List{Kind: inventory.Told, Record: &record, Status: status}
}

func (v *Inventory) status(now float64) *inventory.Status {
	state := v.regional
	status := &inventory.Status{Region: state.self, Grants: state.source.Grants(now), HeardMS: now - state.source.Contact()}
	for i, event := range state.history {
		event.AgoMS = now - state.historyAt[i]
		status.History = append(status.History, event)
	}
	return status
}

// State returns a copy of the state that the inventory keeps across restarts.
func (v *Inventory) State() *InventoryState {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.regional.saved.Clone()
}
