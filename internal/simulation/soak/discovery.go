package soak

import (
	"bufio"
	"encoding/json"
	"net"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"merlinhitch/internal/protocol/http1"
	"merlinhitch/internal/runtime/env"
)

// Entry is a disk server in discovery's words.
type Entry struct {
	Host   string  `json:"host"`
	Dial   string  `json:"dial"`
	Site   string  `json:"site"`
	Class  string  `json:"class"`
	Block  int     `json:"block"`
	Health string  `json:"health"`
	Share  float64 `json:"share"`
	BornMS int64   `json:"born_ms"`
}

type list struct {
	Seq   int     `json:"seq"`
	Whole bool    `json:"whole"`
	Hosts []Entry `json:"hosts"`
}

// pulse is how often an open watch says something at the least.
const pulse = 2 * time.Second

// Directory is what discovery knows: the disk servers and their changes by version.
type Directory struct {
	mu      sync.Mutex
	seq     int
	entries []Entry   // by server, as they are now
	log     [][]Entry // of version i+1
	agents  []*Agent
}

// NewDirectory knows all servers as active.
func NewDirectory(s *Servers) *Directory {
	d := &Directory{}
	for i := range s.all {
		d.entries = append(d.entries, Entry{Host: hostName(i), Dial: s.Address(i), Site: "a", Class: "m", Block: i, Health: "active", Share: 1})
	}
	return d
}

func hostName(server int) string { return "s-" + strconv.FormatInt(int64(0x10000000+server), 16) }

func mustJSON(v any) []byte {
	b, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	return b
}

// Change gives servers another state in one version and tells all agents. A server that
// comes back has just started.
func (d *Directory) Change(servers []int, health string) {
	d.mu.Lock()
	d.seq++
	var changed []Entry
	for _, i := range servers {
		e := &d.entries[i]
		if health == "active" && e.Health != "active" {
			e.BornMS = time.Now().UnixMilli()
		}
		e.Health = health
		changed = append(changed, *e)
	}
	d.log = append(d.log, changed)
	agents := slices.Clone(d.agents)
	d.mu.Unlock()
	for _, a := range agents {
		a.advance()
	}
}

// Agent is discovery as one scheduler meets it, on the scheduler's own machine.
type Agent struct {
	directory *Directory
	scheduler int
	record    *Record
	listener  net.Listener
	whole     bool // each watch begins with the whole list
	indented  bool
	tasks     sync.WaitGroup
	done      chan struct{}

	mu       sync.Mutex
	down     bool // it is silent and learns nothing
	knows    int  // version that it has
	watches  map[net.Conn]*watchState
	silent   time.Duration // since when the open watches have been silent; 0: they are not
	missed   []Change      // that count as told by silentCounts after that, or with the next watch
	notUntil time.Duration // nothing counts as told before that: the scheduler was just sent here
}

// What counts as told when: silentCounts after an open watch fell silent at the latest, and
// not before movedCounts after the word to go to another discovery.
const (
	silentCounts = 6 * time.Second
	movedCounts  = 4 * time.Second
)

type watchState struct {
	sent   int // version
	silent bool
}

// StartAgent listens for one scheduler.
func StartAgent(d *Directory, scheduler int, whole, indented bool, r *Record) (*Agent, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	a := &Agent{directory: d, scheduler: scheduler, record: r, listener: l, whole: whole, indented: indented,
		done: make(chan struct{}), watches: map[net.Conn]*watchState{}}
	d.mu.Lock()
	d.agents = append(d.agents, a)
	d.mu.Unlock()
	a.tasks.Add(2)
	go a.accept()
	go a.beat()
	return a, nil
}

// Follow takes over from the agent of a scheduler that is sent here: what that one had not
// heard, for it was down, may be known from now on, and what it forbids counts as told once
// the scheduler must have come.
func (a *Agent) Follow(old *Agent) {
	old.mu.Lock()
	knew := old.knows
	old.mu.Unlock()
	a.mu.Lock()
	a.knows, a.notUntil = knew, a.record.Now()+movedCounts
	a.mu.Unlock()
	a.advance()
}

// Address is where the agent listens.
func (a *Agent) Address() string { return a.listener.Addr().String() }

// Close ends the agent.
func (a *Agent) Close() {
	a.listener.Close()
	a.ResetWatches()
	close(a.done)
	a.tasks.Wait()
}

// ResetWatches resets the open watches.
func (a *Agent) ResetWatches() {
	a.mu.Lock()
	defer a.mu.Unlock()
	for c := range a.watches {
		reset(c)
	}
}

// Silence has the open watches say nothing any more; new ones do.
func (a *Agent) Silence() {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, w := range a.watches {
		w.silent = true
	}
	if len(a.watches) > 0 && a.silent == 0 {
		a.silent = a.record.Now()
	}
}

// SetDown has the agent fall silent and learn nothing, or come back: what it gets then
// counts as told at once.
func (a *Agent) SetDown(down bool) {
	a.mu.Lock()
	a.down = down
	a.mu.Unlock()
	if !down {
		a.advance()
	}
}

// advance learns what the directory has and tells it to the open watches.
func (a *Agent) advance() {
	a.directory.mu.Lock()
	defer a.directory.mu.Unlock()
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.down {
		return
	}
	now := a.record.Now()
	late := max(now, a.notUntil) // what forbids counts as told no sooner, what allows may be known now
	if a.silent > 0 {
		late = max(late, a.silent+silentCounts)
	}
	for ; a.knows < a.directory.seq; a.knows++ {
		for _, e := range a.directory.log[a.knows] {
			c := Change{Scheduler: a.scheduler, Server: e.Block, Health: e.Health, At: late, Born: a.bornAt(e)}
			if e.Health == "active" {
				c.At = now
			}
			a.record.addChanges(c)
			if a.silent > 0 {
				a.missed = append(a.missed, c)
			}
		}
	}
	for c, w := range a.watches {
		a.tellLocked(c, w)
	}
}

func (a *Agent) bornAt(e Entry) time.Duration {
	if e.BornMS == 0 {
		return 0
	}
	return time.UnixMilli(e.BornMS).Sub(a.record.start)
}

// tellLocked writes to a watch the versions that it lacks. Both locks are held.
func (a *Agent) tellLocked(c net.Conn, w *watchState) {
	for ; w.sent < a.knows && !w.silent; w.sent++ {
		a.write(c, a.line(list{w.sent + 1, false, a.directory.log[w.sent]}))
	}
}

func (a *Agent) line(l list) []byte {
	if !a.indented {
		return append(mustJSON(l), '\n')
	}
	b, err := json.MarshalIndent(l, "", "    ")
	if err != nil {
		panic(err)
	}
	return append(b, '\n')
}

// write sends one chunk; the kernel takes what the scheduler does not read yet.
func (a *Agent) write(c net.Conn, b []byte) {
	a.record.listBytes.Add(int64(len(b)))
	c.SetWriteDeadline(time.Now().Add(pulse))
	head := strconv.AppendInt(nil, int64(len(b)), 16)
	c.Write(append(append(append(head, '\r', '\n'), b...), '\r', '\n'))
}

func (a *Agent) accept() {
	defer a.tasks.Done()
	for {
		c, err := a.listener.Accept()
		if err != nil {
			return
		}
		a.tasks.Add(1)
		go a.serve(c)
	}
}

// serve answers one call: a watch, which stays open, or the whole list. While the agent is
// down it says nothing until it is back or the scheduler leaves.
func (a *Agent) serve(c net.Conn) {
	defer a.tasks.Done()
	defer c.Close()
	in := bufio.NewReader(c)
	head, err := http1.ReadRequest(in, messageLimits)
	if err != nil || !a.answers(c) {
		return
	}
	held, watches := index(head.Target)
	a.open(c, held, watches)
	if watches {
		in.Peek(1) // until the other end closes
	}
	a.mu.Lock()
	delete(a.watches, c)
	a.mu.Unlock()
}

// answers waits while the agent is down; false if the caller left or the agent ends.
func (a *Agent) answers(c net.Conn) bool {
	for {
		a.mu.Lock()
		down := a.down
		a.mu.Unlock()
		if !down {
			return true
		}
		var one [1]byte
		c.SetReadDeadline(time.Now().Add(10 * time.Millisecond))
		if _, err := c.Read(one[:]); !env.IsTimeout(err) {
			return false
		}
		select {
		case <-a.done:
			return false
		default:
		}
		c.SetReadDeadline(time.Time{})
	}
}

// open answers with the list, and keeps the connection as a watch.
func (a *Agent) open(c net.Conn, held int, watches bool) {
	a.directory.mu.Lock()
	defer a.directory.mu.Unlock()
	a.mu.Lock()
	defer a.mu.Unlock()
	c.Write([]byte("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"))
	now := a.record.Now()
	for _, c := range a.missed {
		c.At = min(c.At, now)
		a.record.addChanges(c)
	}
	a.silent, a.missed = 0, nil
	if !watches || a.whole || held > a.knows {
		a.write(c, a.line(a.known()))
		held = a.knows
	}
	if !watches {
		c.Write([]byte("0\r\n\r\n"))
		return
	}
	w := &watchState{sent: held}
	a.watches[c] = w
	if w.sent == a.knows {
		a.write(c, []byte{'\n'})
	}
	a.tellLocked(c, w)
}

// Whole is the whole list as the agent has it, as JSON.
func (a *Agent) Whole() []byte {
	a.directory.mu.Lock()
	defer a.directory.mu.Unlock()
	a.mu.Lock()
	defer a.mu.Unlock()
	return mustJSON(a.known())
}

// known is the whole list as the agent has it. Both locks are held.
func (a *Agent) known() list {
	l := list{Seq: a.knows, Whole: true}
	late := map[int]Entry{} // what the directory has changed since, as it was before
	for v := a.knows; v < a.directory.seq; v++ {
		for _, e := range a.directory.log[v] {
			if _, ok := late[e.Block]; !ok {
				late[e.Block] = a.before(v, e.Block)
			}
		}
	}
	for i, e := range a.directory.entries {
		if old, ok := late[i]; ok {
			e = old
		}
		if e.Health != "left" {
			l.Hosts = append(l.Hosts, e)
		}
	}
	return l
}

// before is a server's entry in a version.
func (a *Agent) before(version, server int) Entry {
	for v := version - 1; v >= 0; v-- {
		for _, e := range a.directory.log[v] {
			if e.Block == server {
				return e
			}
		}
	}
	e := a.directory.entries[server]
	e.Health, e.BornMS = "active", 0
	return e
}

// index is the version that a watch names; false for a call of the whole list.
func index(target string) (held int, watches bool) {
	_, query, _ := strings.Cut(target, "?")
	for part := range strings.SplitSeq(query, "&") {
		if name, value, _ := strings.Cut(part, "="); name == "index" {
			held, _ = strconv.Atoi(value)
			watches = true
		}
	}
	return held, watches
}

// beat gives the open watches a sign of life.
func (a *Agent) beat() {
	defer a.tasks.Done()
	tick := time.NewTicker(pulse)
	defer tick.Stop()
	for {
		select {
		case <-a.done:
			return
		case <-tick.C:
		}
		a.mu.Lock()
		for c, w := range a.watches {
			if !w.silent && !a.down {
				a.write(c, []byte{'\n'})
			}
		}
		a.mu.Unlock()
	}
}
