// Package expect parses files in which operators state what they expect of routing, classes,
// limits and failover, and checks them against settings. It runs the scheduler and the
// failover planner themselves, on simulated nodes and in simulated time.
package expect

import (
	"bufio"
	"fmt"
	"io"
	"strconv"
	"strings"

	"merlinhitch/internal/control/settings"
	"merlinhitch/internal/protocol/scsi"
)

// Expectation is a line of a file. Which of the fields after Kind are set depends on it.
type Expectation struct {
	Line int
	Text string

	Kind       Kind
	Volume     string  // Routes, Refused, ClassIs
	Op         scsi.Op // as Volume
	Bytes      int     // size of the request in bytes; 0: one block
	Nodes      []string
	Class      string      // ClassIs
	NodeStates []NodeState // Routes, Refused
	Plan       string      // Limits
	RateFactor float64
	MaxRate    float64
	Domain     string // Survives: a hall, or region-0 or region-1
}

// Kind is the kind of an expectation.
type Kind int

// The kinds, with their syntax.
const (
	Routes   Kind = iota // volume V write goes to n1, n2 when ...
	Refused              // volume V read is refused when ...
	ClassIs              // volume V write of 8192 bytes is class C
	Limits               // plan P at 8 times its rate gets at most 40 and others lose none
	Survives             // hall H lost keeps every volume; hall H lost keeps volume V
)

// NodeState is a node in a state other than the default, in which node n3 is ready and has
// shard 3.
type NodeState struct {
	Node  string
	State string // ready, draining, gone
	Shard int    // given for a ready node, by the default name for others
}

// Limits of a file: bytes, lines and values.
const (
	MaxFile         = 4 << 20
	MaxExpectations = 20000
	maxLine         = 4096
	maxNodeStates   = 64
	maxRateFactor   = 100
)

// Parse reads a file of expectations. All faults, also names that are not in the settings,
// are returned as one *settings.FaultsError, with the path "line N".
func Parse(r io.Reader, s *settings.Settings) ([]Expectation, error) {
	p := &parser{set: s, volumes: map[string]bool{}, plans: map[string]bool{}, domains: map[string]bool{}}
	for i := range s.Volumes {
		p.volumes[s.Volumes[i].Name] = true
	}
	for i := range s.Plans {
		p.plans[s.Plans[i].Name] = true
	}
	for i := range s.Nodes {
		p.domains[s.Nodes[i].Hall] = true
		p.domains[fmt.Sprintf("region-%d", s.Nodes[i].Region)] = true
	}
	scanner := bufio.NewScanner(io.LimitReader(r, MaxFile+1))
	scanner.Buffer(make([]byte, 0, 4096), maxLine)
	for size := 0; scanner.Scan(); {
		p.line++
		if size += len(scanner.Bytes()) + 1; size > MaxFile {
			return nil, &settings.FaultsError{Faults: []settings.Fault{{Path: p.path(), Reason: "the file is larger than 4 MiB"}}}
		}
		p.parseLine(scanner.Text())
	}
	if err := scanner.Err(); err != nil {
		p.line++
		p.fault("%v", err)
	}
	if len(p.out) > MaxExpectations {
		p.fault("more than %d expectations", MaxExpectations)
	}
	if len(p.faults) > 0 {
		return nil, &settings.FaultsError{Faults: p.faults}
	}
	return p.out, nil
}

type parser struct {
	set                     *settings.Settings
	volumes, plans, domains map[string]bool
	line                    int
	words                   []string
	out                     []Expectation
	faults                  []settings.Fault
	lineFaulty              bool
}

func (p *parser) path() string { return fmt.Sprintf("line %d", p.line) }

// fault records the first fault of a line.
func (p *parser) fault(format string, args ...any) {
	if p.lineFaulty {
		return
	}
	p.lineFaulty = true
	p.faults = append(p.faults, settings.Fault{Path: p.path(), Reason: fmt.Sprintf(format, args...)})
}

func (p *parser) parseLine(text string) {
	text, _, _ = strings.Cut(text, "#")
	if p.words = strings.Fields(strings.ReplaceAll(text, ",", " , ")); len(p.words) == 0 {
		return
	}
	p.lineFaulty = false
	e := Expectation{Line: p.line, Text: strings.TrimSpace(text)}
	switch first := p.next(); first {
	case "volume":
		p.parseVolume(&e)
	case "plan":
		p.parsePlan(&e)
	case "hall", "region":
		p.parseDomain(&e, first)
	default:
		p.fault("begins with %.40q, want volume, plan, hall or region", first)
	}
	if !p.lineFaulty && len(p.words) > 0 {
		p.fault("unexpected %.40q at the end", strings.Join(p.words, " "))
	}
	if !p.lineFaulty {
		p.out = append(p.out, e)
	}
}

// next consumes and returns the next word, "" at the end of the line.
func (p *parser) next() string {
	if len(p.words) == 0 {
		return ""
	}
	word := p.words[0]
	p.words = p.words[1:]
	return word
}

// expect consumes the given words and records a fault if others follow.
func (p *parser) expect(words ...string) {
	for _, want := range words {
		if p.lineFaulty {
			return
		}
		if got := p.next(); got != want {
			p.fault("got %.40q, want %q", got, want)
		}
	}
}

// accept consumes the next word if it is the given one and reports whether it is.
func (p *parser) accept(word string) bool {
	if len(p.words) == 0 || p.words[0] != word {
		return false
	}
	p.next()
	return true
}

func (p *parser) number() float64 {
	word := p.next()
	value, err := strconv.ParseFloat(word, 64)
	if err != nil || !(value >= 0 && value <= 1e12) {
		p.fault("%.40q is not a number from 0 to 1e12", word)
	}
	return value
}

// knownName consumes a name, which must be one of names.
func (p *parser) knownName(kind string, names map[string]bool) string {
	name := p.next()
	if !p.lineFaulty && !names[name] {
		p.fault("there is no %s %.70q", kind, name)
	}
	return name
}

func (p *parser) parseVolume(e *Expectation) {
	e.Volume = p.knownName("volume", p.volumes)
	op := p.next()
	if e.Op = scsi.OpByName(op); e.Op == 0 && !p.lineFaulty {
		p.fault("unknown operation %.40q", op)
	}
	if p.accept("of") {
		size := p.number()
		if size > 1<<24 {
			p.fault("a request of %v bytes is larger than 16 MiB", size)
		}
		e.Bytes = int(size)
		p.expect("bytes")
	}
	switch word := p.next(); {
	case p.lineFaulty:
	case word == "goes":
		p.expect("to")
		e.Kind = Routes
		for e.Nodes = append(e.Nodes, p.node()); p.accept(","); {
			e.Nodes = append(e.Nodes, p.node())
		}
		p.nodeStates(e)
	case word == "is" && p.accept("refused"):
		e.Kind = Refused
		p.nodeStates(e)
	case word == "is":
		p.expect("class")
		e.Kind, e.Class = ClassIs, p.next()
		if e.Class == "" {
			p.fault("class name is missing")
		}
	default:
		p.fault("got %.40q, want goes or is", word)
	}
}

func (p *parser) node() string {
	n := p.next()
	if n == "" || strings.ContainsAny(n, ",") {
		p.fault("node name is missing")
	}
	return n
}

// defaultShard returns the shard of a node with a default name, -1 for another name.
func (p *parser) defaultShard(name string) int {
	shard, err := strconv.Atoi(strings.TrimPrefix(name, "n"))
	if err != nil || NodeName(shard) != name || shard >= p.set.Shards || shard < 0 {
		return -1
	}
	return shard
}

// NodeName returns the default name of the node with a shard.
func NodeName(shard int) string { return "n" + strconv.Itoa(shard) }

func (p *parser) nodeStates(e *Expectation) {
	if p.lineFaulty || !p.accept("when") {
		return
	}
	for more := true; more && !p.lineFaulty; more = p.accept(",") {
		state := NodeState{Node: p.node(), State: p.next()}
		state.Shard = p.defaultShard(state.Node)
		switch state.State {
		case "draining", "gone":
			if state.Shard < 0 {
				p.fault("there is no node %.70q", state.Node)
			}
		case "ready":
			p.expect("at", "shard")
			if shard := p.number(); !p.lineFaulty {
				if state.Shard = int(shard); state.Shard >= p.set.Shards {
					p.fault("there is no shard %d", state.Shard)
				}
			}
		default:
			p.fault("node %.70q is %.40q, want ready, draining or gone", state.Node, state.State)
		}
		if e.NodeStates = append(e.NodeStates, state); len(e.NodeStates) > maxNodeStates {
			p.fault("more than %d node states in one line", maxNodeStates)
		}
	}
}

func (p *parser) parsePlan(e *Expectation) {
	e.Kind, e.Plan = Limits, p.knownName("plan", p.plans)
	p.expect("at")
	if e.RateFactor = p.number(); e.RateFactor > maxRateFactor || e.RateFactor == 0 {
		p.fault("%v times is not above 0 and at most %d", e.RateFactor, maxRateFactor)
	}
	p.expect("times", "its", "rate", "gets", "at", "most")
	e.MaxRate = p.number()
	p.expect("and", "others", "lose", "none")
}

func (p *parser) parseDomain(e *Expectation, kind string) {
	e.Kind = Survives
	name := p.next()
	if kind == "region" {
		name = "region-" + name
	}
	if e.Domain = name; !p.lineFaulty && !p.domains[name] {
		p.fault("there is no %s %.70q", kind, name)
	}
	p.expect("lost", "keeps")
	if p.accept("volume") {
		e.Volume = p.knownName("volume", p.volumes)
	} else {
		p.expect("every", "volume")
	}
}
