// Package expect is what operators expect of routing and limits, written beside the
// settings, and the answers to it: from the module and the placement's code themselves,
// fed with a state made up for the purpose. It sends nothing and decides nothing.
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

// Expectation is one line of a file.
type Expectation struct {
	Line int
	Text string

	Kind   Kind
	Volume string  // Routes, Refused, Is
	Op     scsi.Op // of these
	Bytes  int     // size of the request; 0: one block
	Nodes  []string
	Class  string     // Is
	When   []NodeFact // Routes, Refused
	Plan   string     // Limits
	Times  float64
	Most   float64
	Domain string // Survives: a hall, or region-0 or region-1
}

// Kind is a form of expectation.
type Kind int

// The forms, in the words of the file.
const (
	Routes   Kind = iota // volume V write goes to n1, n2 when ...
	Refused              // volume V read is refused when ...
	Is                   // volume V write of 8192 bytes is class C
	Limits               // plan P at 8 times its rate gets at most 40 and others lose none
	Survives             // hall H lost keeps every volume; hall H lost keeps volume V
)

// NodeFact is a node that differs from the usual, which is that node n3 holds shard 3 and
// is ready.
type NodeFact struct {
	Node  string
	State string // ready, draining, gone
	Shard int    // of a ready node that is not the usual one
}

// Bounds of a file.
const (
	MaxFile         = 4 << 20
	MaxExpectations = 20000
	maxLine         = 4096
	maxFacts        = 64
	mostTimes       = 100
)

// Parse reads a file and checks it against settings as a whole. Faults have the path
// "line N"; an expectation about a volume that there isn't is one.
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
	sc := bufio.NewScanner(io.LimitReader(r, MaxFile+1))
	sc.Buffer(make([]byte, 0, 4096), maxLine)
	for size := 0; sc.Scan(); {
		p.line++
		if size += len(sc.Bytes()) + 1; size > MaxFile {
			return nil, &settings.FaultsError{Faults: []settings.Fault{{Path: p.at(), Reason: "the file is over 4 MiB"}}}
		}
		p.read(sc.Text())
	}
	if err := sc.Err(); err != nil {
		p.line++
		p.fault("%v", err)
	}
	if len(p.out) > MaxExpectations {
		p.fault("over %d expectations", MaxExpectations)
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
	bad                     bool
}

func (p *parser) at() string { return fmt.Sprintf("line %d", p.line) }

// fault notes the first thing wrong with a line.
func (p *parser) fault(format string, args ...any) {
	if p.bad {
		return
	}
	p.bad = true
	p.faults = append(p.faults, settings.Fault{Path: p.at(), Reason: fmt.Sprintf(format, args...)})
}

func (p *parser) read(text string) {
	text, _, _ = strings.Cut(text, "#")
	if p.words = strings.Fields(strings.ReplaceAll(text, ",", " , ")); len(p.words) == 0 {
		return
	}
	p.bad = false
	e := Expectation{Line: p.line, Text: strings.TrimSpace(text)}
	switch first := p.next(); first {
	case "volume":
		p.volume(&e)
	case "plan":
		p.plan(&e)
	case "hall", "region":
		p.domain(&e, first)
	default:
		p.fault("begins with %.40q, not with volume, plan, hall or region", first)
	}
	if !p.bad && len(p.words) > 0 {
		p.fault("%.40q is too much", strings.Join(p.words, " "))
	}
	if !p.bad {
		p.out = append(p.out, e)
	}
}

// next is the next word, "" at the end.
func (p *parser) next() string {
	if len(p.words) == 0 {
		return ""
	}
	w := p.words[0]
	p.words = p.words[1:]
	return w
}

// skip takes words that must come.
func (p *parser) skip(words ...string) {
	for _, want := range words {
		if p.bad {
			return
		}
		if got := p.next(); got != want {
			p.fault("has %.40q where %q belongs", got, want)
		}
	}
}

// taken tells whether the next word is that one, and takes it.
func (p *parser) taken(word string) bool {
	if len(p.words) == 0 || p.words[0] != word {
		return false
	}
	p.next()
	return true
}

func (p *parser) number() float64 {
	w := p.next()
	f, err := strconv.ParseFloat(w, 64)
	if err != nil || !(f >= 0 && f <= 1e12) {
		p.fault("%.40q is no number from 0 on", w)
	}
	return f
}

// known takes a name that must be one of some.
func (p *parser) known(what string, names map[string]bool) string {
	n := p.next()
	if !p.bad && !names[n] {
		p.fault("there is no %s %.70q", what, n)
	}
	return n
}

func (p *parser) volume(e *Expectation) {
	e.Volume = p.known("volume", p.volumes)
	op := p.next()
	if e.Op = scsi.OpByName(op); e.Op == 0 && !p.bad {
		p.fault("unknown operation %.40q", op)
	}
	if p.taken("of") {
		n := p.number()
		if n > 1<<24 {
			p.fault("a request of %v bytes is too large", n)
		}
		e.Bytes = int(n)
		p.skip("bytes")
	}
	switch w := p.next(); {
	case p.bad:
	case w == "goes":
		p.skip("to")
		e.Kind = Routes
		for e.Nodes = append(e.Nodes, p.node()); p.taken(","); {
			e.Nodes = append(e.Nodes, p.node())
		}
		p.when(e)
	case w == "is" && p.taken("refused"):
		e.Kind = Refused
		p.when(e)
	case w == "is":
		p.skip("class")
		e.Kind, e.Class = Is, p.next()
		if e.Class == "" {
			p.fault("names no class")
		}
	default:
		p.fault("has %.40q where goes or is belongs", w)
	}
}

func (p *parser) node() string {
	n := p.next()
	if n == "" || strings.ContainsAny(n, ",") {
		p.fault("names no node")
	}
	return n
}

// usual is the shard of a node with the usual name, -1 of another.
func (p *parser) usual(name string) int {
	n, err := strconv.Atoi(strings.TrimPrefix(name, "n"))
	if err != nil || NodeOf(n) != name || n >= p.set.Shards || n < 0 {
		return -1
	}
	return n
}

// NodeOf is the usual name of the node that holds a shard.
func NodeOf(shard int) string { return "n" + strconv.Itoa(shard) }

func (p *parser) when(e *Expectation) {
	if p.bad || !p.taken("when") {
		return
	}
	for more := true; more && !p.bad; more = p.taken(",") {
		f := NodeFact{Node: p.node(), State: p.next()}
		f.Shard = p.usual(f.Node)
		switch f.State {
		case "draining", "gone":
			if f.Shard < 0 {
				p.fault("there is no node %.70q", f.Node)
			}
		case "ready":
			p.skip("at", "shard")
			if n := p.number(); !p.bad {
				if f.Shard = int(n); f.Shard >= p.set.Shards {
					p.fault("there is no shard %d", f.Shard)
				}
			}
		default:
			p.fault("node %.70q is %.40q, not ready, draining or gone", f.Node, f.State)
		}
		if e.When = append(e.When, f); len(e.When) > maxFacts {
			p.fault("over %d nodes in one line", maxFacts)
		}
	}
}

func (p *parser) plan(e *Expectation) {
	e.Kind, e.Plan = Limits, p.known("plan", p.plans)
	p.skip("at")
	if e.Times = p.number(); e.Times > mostTimes || e.Times == 0 {
		p.fault("%v times is not from 0 to %d", e.Times, mostTimes)
	}
	p.skip("times", "its", "rate", "gets", "at", "most")
	e.Most = p.number()
	p.skip("and", "others", "lose", "none")
}

func (p *parser) domain(e *Expectation, what string) {
	e.Kind = Survives
	name := p.next()
	if what == "region" {
		name = "region-" + name
	}
	if e.Domain = name; !p.bad && !p.domains[name] {
		p.fault("there is no %s %.70q", what, name)
	}
	p.skip("lost", "keeps")
	if p.taken("volume") {
		e.Volume = p.known("volume", p.volumes)
	} else {
		p.skip("every", "volume")
	}
}
