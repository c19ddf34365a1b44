// Package inventory is the protocol of the node list: one JSON object a line over
// TCP, asked for or pushed, with generations. It has the messages, a server's
// core that turns changes into pushes, and the client's shell. It never judges
// whether a node should be used.
package inventory

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"

	"merlinhitch/internal/fleet/region"
)

// MaxLine bounds a line in bytes; a list of a thousand nodes takes a fifth of it.
const MaxLine = 1 << 20

// Node is an entry of the list.
type Node struct {
	Addr   string  `json:"addr"`
	Health string  `json:"health"` // ready, draining, gone
	Shard  int     `json:"shard"`
	Zone   string  `json:"zone"`
	Weight float64 `json:"weight"`
	// Incarnation tells the starts of a node apart; AgeMS is how long ago the
	// last was, by the inventory's clock when it sends. 0: long ago.
	Incarnation uint64  `json:"incarnation"`
	AgeMS       float64 `json:"age_ms"`
	// Of a service over two regions: where the node is, and which change of that region's
	// source the entry is. Of two entries of a node the later change counts.
	Region region.ID `json:"region,omitempty"`
	Stamp  uint64    `json:"stamp,omitempty"`
}

// The states of a node.
const (
	Ready    = "ready"
	Draining = "draining"
	Gone     = "gone"
)

// Ask is what a client says: "watch" for changes from a generation on, "fetch" for the
// list once. In a service over two regions hosts ask for a "lease", disk servers tell of
// their "copies" and are told the record, the other region's source says "beat", and
// operators "record", "lead", "move", "return", "share" and "give up".
type Ask struct {
	Op     string        `json:"op"`
	From   uint64        `json:"from,omitempty"`
	Ask    uint64        `json:"ask,omitempty"` // of a lease
	Copies []region.Copy `json:"copies,omitempty"`
	Beat   *region.Beat  `json:"beat,omitempty"`
	Known  [2]uint64     `json:"known,omitzero"`  // of a beat: the last stamps of each region's list
	Shard  int           `json:"shard,omitempty"` // of a move; of a share the limit
	To     region.ID     `json:"to,omitempty"`
	Parts  [2]float64    `json:"parts,omitzero"`
}

// List is what a server says.
type List struct {
	Kind       string `json:"kind"`
	Generation uint64 `json:"generation,omitempty"`
	Nodes      []Node `json:"nodes,omitempty"`

	Grant  *region.Grant  `json:"grant,omitempty"`
	Record *region.Record `json:"record,omitempty"`
	Beat   *region.Beat   `json:"beat,omitempty"`
	Status *Status        `json:"status,omitempty"`
	Reason string         `json:"reason,omitempty"` // of a refusal
}

// Status is what an operator sees of a source.
type Status struct {
	Region  region.ID `json:"region"`
	Grants  bool      `json:"grants"`
	HeardMS float64   `json:"heard_ms"` // since the other was certainly alive
	History []Event   `json:"history"`  // the last changes, oldest first
}

// Event is a change of the record that a source saw.
type Event struct {
	AgoMS float64 `json:"ago_ms"`
	Term  uint64  `json:"term"`
	Text  string  `json:"text"`
}

// The kinds of a List.
const (
	Full    = "full"
	Delta   = "delta"
	Failed  = "failed"
	Granted = "grant"
	Told    = "record" // the record, as it stands
	Heard   = "beat"
	Refused = "refused"
)

// LineError says why a line can't be taken.
type LineError struct{ Reason string }

func (e *LineError) Error() string { return "inventory: " + e.Reason }

// ReadLine reads one line into v; a line over MaxLine is refused unread.
func ReadLine(r *bufio.Reader, v any) error {
	var line []byte
	for {
		part, err := r.ReadSlice('\n')
		if len(line)+len(part) > MaxLine {
			return &LineError{"line over 1 MiB"}
		}
		line = append(line, part...)
		if err == nil {
			break
		}
		if errors.Is(err, io.EOF) && len(line) > 0 {
			return io.ErrUnexpectedEOF
		}
		if !errors.Is(err, bufio.ErrBufferFull) {
			return err
		}
	}
	dec := json.NewDecoder(bytes.NewReader(line))
	if err := dec.Decode(v); err != nil {
		return &LineError{"not a message: " + err.Error()}
	}
	return nil
}

// Line formats v as a line.
func Line(v any) []byte {
	b, err := json.Marshal(v)
	if err != nil {
		panic(err) // the types above always marshal
	}
	return append(b, '\n')
}

// Check tells what is wrong with a list.
func (l *List) Check() error {
	switch {
	case l.Kind == Granted && l.Grant == nil, l.Kind == Told && l.Record == nil, l.Kind == Heard && l.Beat == nil:
		return &LineError{"a " + l.Kind + " without what it is to say"}
	case !slices.Contains([]string{Full, Delta, Failed, Granted, Told, Heard, Refused}, l.Kind):
		return &LineError{fmt.Sprintf("unknown kind %.32q", l.Kind)}
	}
	if err := checkRecords(l.Grant, l.Record, l.Beat); err != nil {
		return err
	}
	for i, n := range l.Nodes {
		if err := n.check(i); err != nil {
			return err
		}
	}
	return nil
}

func (n *Node) check(i int) error {
	if n.Addr == "" || n.Shard < 0 || n.Shard > 1<<20 || n.Region < 0 || n.Region > 1 {
		return &LineError{fmt.Sprintf("nodes[%d]: no address, or a bad shard or region", i)}
	}
	if n.Health != Ready && n.Health != Draining && n.Health != Gone {
		return &LineError{fmt.Sprintf("nodes[%d]: unknown health %.32q", i, n.Health)}
	}
	return nil
}

func checkRecords(g *region.Grant, r *region.Record, b *region.Beat) error {
	var all []*region.Record
	if g != nil {
		if !(g.Lease >= 0 && g.Lease <= maxLease) {
			return &LineError{"a lease that can't be"}
		}
		all = append(all, &g.Record)
	}
	if b != nil {
		all = append(all, &b.Record)
	}
	if r != nil {
		all = append(all, r)
	}
	for _, r := range all {
		if err := r.Check(); err != nil {
			return &LineError{err.Error()}
		}
	}
	return nil
}

// maxLease bounds a lease, ms: nobody means a longer one.
const maxLease = 600_000

// Check tells what is wrong with a question.
func (a *Ask) Check() error {
	if a.Op == "beat" && a.Beat == nil || a.To < 0 || a.To > 1 {
		return &LineError{"a beat without one, or no region"}
	}
	return checkRecords(nil, nil, a.Beat)
}

// keepChanges bounds what a Book remembers of the past.
const keepChanges = 1024

// Book is the server's core: the list and its changes.
type Book struct {
	nodes   map[string]Node
	since   map[string]float64 // start of the incarnation, ms of the server's clock
	changes []change
	gen     uint64
	// Of a service over two regions: what entries of this book's own are stamped with.
	owned  bool
	own    region.ID
	stamp  uint64
	missed bool   // what earlier runs did after this book was put by may be known elsewhere
	floor  uint64 // generations before it are of earlier runs, which this book may not know
}

type change struct {
	gen  uint64
	addr string
}

// NewBook returns an empty list of generation 1.
func NewBook() *Book { return &Book{nodes: map[string]Node{}, since: map[string]float64{}, gen: 1} }

// runShift is the number of low bits of a generation that count the changes of a run.
const runShift = 20

// BeginRun makes the generations of the book those of a run of the server that started at that time, Unix time
// in ms: a client that knows the list of an earlier run is sent the full list, not the changes since a number
// that happens to be the same.
func (b *Book) BeginRun(startedMS int64) {
	b.gen = max(b.gen, uint64(startedMS)<<runShift)
	b.floor, b.changes = b.gen, nil
}

// Own makes the book that of a region's source in its present run, which no earlier run
// had a greater number than: every change made here from now on is later than all of
// earlier runs.
func (b *Book) Own(r region.ID, start uint64) {
	b.owned, b.own, b.stamp = true, r, start<<32
	b.gen = max(b.gen, start<<32)
	b.floor, b.changes, b.missed = b.gen, nil, true
}

// Generation is the number of the last change.
func (b *Book) Generation() uint64 { return b.gen }

// Set enters a node that started at that time (0: long ago), at time now.
func (b *Book) Set(n Node, started float64) {
	if b.owned {
		b.stamp++
		n.Region, n.Stamp = b.own, b.stamp
	}
	b.enter(n, started)
}

func (b *Book) enter(n Node, started float64) {
	b.gen++
	b.nodes[n.Addr], b.since[n.Addr] = n, started
	b.changes = append(b.changes, change{b.gen, n.Addr})
	if len(b.changes) > keepChanges {
		b.changes = slices.Delete(b.changes, 0, len(b.changes)-keepChanges)
	}
}

// Health changes a node's state; false if it isn't in the list.
func (b *Book) Health(addr, health string) bool {
	n, ok := b.nodes[addr]
	if ok {
		n.Health = health
		b.Set(n, b.since[addr])
	}
	return ok
}

// Merge takes entries of another book; of each node the later change counts. It tells
// whether anything is new.
func (b *Book) Merge(nodes []Node, now float64) (news bool) {
	for _, n := range nodes {
		if old, ok := b.nodes[n.Addr]; ok && old.Stamp >= n.Stamp {
			continue
		}
		started := 0.0
		if n.AgeMS > 0 {
			started = now - n.AgeMS
		}
		n.AgeMS = 0
		b.enter(n, started)
		news = true
	}
	return news
}

// CaughtUp notes that all was merged that another book has.
func (b *Book) CaughtUp() { b.missed = false }

// Stamps are the latest stamps of each region's entries: another book need not tell them
// again. A new run wants to be told everything once.
func (b *Book) Stamps() (out [2]uint64) {
	if b.missed {
		return out
	}
	for _, n := range b.nodes {
		out[n.Region] = max(out[n.Region], n.Stamp)
	}
	return out
}

// Since lists the entries with later stamps than those, those of nodes that are gone too.
func (b *Book) Since(known [2]uint64, now float64) (out []Node) {
	for addr, n := range b.nodes {
		if n.Stamp > known[n.Region] {
			out = append(out, b.entry(addr, now))
		}
	}
	slices.SortFunc(out, func(a, c Node) int { return strings.Compare(a.Addr, c.Addr) })
	return out
}

// Clone is a copy that shares nothing.
func (b *Book) Clone() *Book {
	return &Book{nodes: maps.Clone(b.nodes), since: maps.Clone(b.since), changes: slices.Clone(b.changes), gen: b.gen, floor: b.floor, missed: b.missed}
}

// List is what a client that knows the list up to that generation is to be told:
// the changes, or all where they are no longer known. Nodes that are gone stay
// out of full lists.
func (b *Book) List(from uint64, now float64) List {
	if from > 0 && from >= b.floor && from <= b.gen && (len(b.changes) == 0 || from+1 >= b.changes[0].gen) {
		l := List{Kind: Delta, Generation: b.gen}
		seen := map[string]bool{}
		for _, c := range b.changes {
			if c.gen > from && !seen[c.addr] {
				seen[c.addr] = true
				l.Nodes = append(l.Nodes, b.entry(c.addr, now))
			}
		}
		return l
	}
	l := List{Kind: Full, Generation: b.gen}
	for addr, n := range b.nodes {
		if n.Health != Gone {
			l.Nodes = append(l.Nodes, b.entry(addr, now))
		}
	}
	slices.SortFunc(l.Nodes, func(a, c Node) int { return strings.Compare(a.Addr, c.Addr) })
	return l
}

func (b *Book) entry(addr string, now float64) Node {
	n := b.nodes[addr]
	if at := b.since[addr]; at > 0 {
		n.AgeMS = max(now-at, 0.001)
	}
	return n
}
