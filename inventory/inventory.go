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
	"slices"
	"strings"
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
}

// The states of a node.
const (
	Ready    = "ready"
	Draining = "draining"
	Gone     = "gone"
)

// Ask is what a client says: "watch" for changes from a generation on, "fetch"
// for the list once.
type Ask struct {
	Op   string `json:"op"`
	From uint64 `json:"from"`
}

// List is what a server says.
type List struct {
	Kind       string `json:"kind"` // full, delta, failed
	Generation uint64 `json:"generation"`
	Nodes      []Node `json:"nodes"`
}

// The kinds of a List.
const (
	Full   = "full"
	Delta  = "delta"
	Failed = "failed"
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
	if l.Kind != Full && l.Kind != Delta && l.Kind != Failed {
		return &LineError{fmt.Sprintf("unknown kind %.32q", l.Kind)}
	}
	for i, n := range l.Nodes {
		if n.Addr == "" || n.Shard < 0 || n.Shard > 1<<20 {
			return &LineError{fmt.Sprintf("nodes[%d]: no address, or a bad shard", i)}
		}
		if n.Health != Ready && n.Health != Draining && n.Health != Gone {
			return &LineError{fmt.Sprintf("nodes[%d]: unknown health %.32q", i, n.Health)}
		}
	}
	return nil
}

// keepChanges bounds what a Book remembers of the past.
const keepChanges = 1024

// Book is the server's core: the list and its changes.
type Book struct {
	nodes   map[string]Node
	since   map[string]float64 // start of the incarnation, ms of the server's clock
	changes []change
	gen     uint64
}

type change struct {
	gen  uint64
	addr string
}

// NewBook returns an empty list of generation 1.
func NewBook() *Book { return &Book{nodes: map[string]Node{}, since: map[string]float64{}, gen: 1} }

// Generation is the number of the last change.
func (b *Book) Generation() uint64 { return b.gen }

// Set enters a node that started at that time (0: long ago), at time now.
func (b *Book) Set(n Node, started float64) {
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

// List is what a client that knows the list up to that generation is to be told:
// the changes, or all where they are no longer known. Nodes that are gone stay
// out of full lists.
func (b *Book) List(from uint64, now float64) List {
	if from > 0 && from <= b.gen && (len(b.changes) == 0 || from+1 >= b.changes[0].gen) {
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
